"""Tracks the last contact with each machine, and derives which members are unreachable."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from honeywharf.control.mesh_state import MemberId, member_ids

if TYPE_CHECKING:
    from honeywharf.control.messages import Heartbeat
    from honeywharf.control.voter import Voter
    from honeywharf.transport.host import Host

# The times without contact until each consequence.
UNREACHABLE_AFTER_S = 1.0  # Another machine may replace the member.
REMOVE_AFTER_S = 2.0  # The member is removed from a membership that is larger than its target size.
MAX_CONTACTS = 256  # The number of machines whose last contact is stored.


class ContactTracker:
    """The contacts of one control node, at most `MAX_CONTACTS`; times are on the steady clock.

    `on_restored` is called with a member that was unreachable and is in contact again.
    """

    def __init__(self, host: Host, voter: Voter) -> None:
        self.host, self.voter = host, voter
        self.last_contact_at: dict[MemberId, float] = {}
        self.heartbeats: dict[MemberId, Heartbeat] = {}  # The last heartbeat of each machine.
        self.running_since = host.now()  # When the process started or its last stall ended.
        self.on_restored: Callable[[MemberId], None] = lambda member: None

    def record(self, member: MemberId) -> None:
        """Records a message from a machine.

        Above `MAX_CONTACTS` the machine with the oldest contact is forgotten, members last.
        """
        is_restored = member in self.unreachable(UNREACHABLE_AFTER_S)
        if member not in self.last_contact_at and len(self.last_contact_at) >= MAX_CONTACTS:
            self._forget_oldest()
        self.last_contact_at[member] = self.host.now()
        if is_restored:
            self.on_restored(member)

    def _forget_oldest(self) -> None:
        members = member_ids(self.voter.state.members)
        oldest = min(
            self.last_contact_at, key=lambda member: (member in members, self.last_contact_at[member])
        )
        del self.last_contact_at[oldest]
        self.heartbeats.pop(oldest, None)

    def reset_after_stall(self, now: float) -> None:
        """Restarts the observation of members after a stall, in which this process may miss contacts."""
        self.running_since = now

    def unreachable(self, duration: float) -> list[MemberId]:
        """Returns members without contact for `duration` seconds in which this process ran and knew them."""
        now = self.host.now()
        since = max(self.running_since, self.voter.membership_changed_at)
        return [
            member
            for member in member_ids(self.voter.state.members)
            if member != self.voter.member_id
            and now - max(self.last_contact_at.get(member, 0.0), since) >= duration
        ]

    def reaches_majority(self) -> bool:
        """Returns whether a majority was in contact within `UNREACHABLE_AFTER_S`.

        Without one no request succeeds in time. This check only saves waiting and is no proof: every result
        of the register rests on answers of a majority.
        """
        members = member_ids(self.voter.state.members)
        unreachable = self.unreachable(UNREACHABLE_AFTER_S)
        return 2 * (len(members) - len(unreachable)) > len(members)
