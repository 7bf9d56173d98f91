"""When each machine was last in contact, and which members are therefore unreachable."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from honeywharf.control.mesh_state import MemberId, member_ids

if TYPE_CHECKING:
    from honeywharf.control.messages import Heartbeat
    from honeywharf.control.voter import Voter
    from honeywharf.transport.host import Host

UNREACHABLE_S = 1.0  # without contact, after which another machine may take a member's place
SUSPECT_S = 0.45  # without contact, at which a joiner is asked to come back
REMOVE_S = 2.0  # without contact, after which a member leaves a membership that is larger than its target
MAX_CONTACTS = 256  # machines whose last contact is remembered


class ContactTracker:
    """Contacts of one control node. Bounded by `MAX_CONTACTS`; times are on the steady clock.

    `on_restored` is called with a member that was unreachable and is in contact again.
    """

    def __init__(self, host: Host, voter: Voter) -> None:
        self.host, self.voter = host, voter
        self.last_contact_at: dict[MemberId, float] = {}
        self.heartbeats: dict[MemberId, Heartbeat] = {}  # the last of each machine that is remembered
        self.running_since = host.now()  # since this process last stood still
        self.on_restored: Callable[[MemberId], None] = lambda member: None

    def record(self, member: MemberId) -> None:
        """A machine has sent something.

        Where too many are remembered, the oldest is forgotten, members last.
        """
        is_restored = member in self.unreachable(UNREACHABLE_S)
        if member not in self.last_contact_at and len(self.last_contact_at) >= MAX_CONTACTS:
            self._forget_oldest()
        self.last_contact_at[member] = self.host.now()
        if is_restored:
            self.on_restored(member)

    def _forget_oldest(self) -> None:
        members = member_ids(self.voter.state.members)
        oldest = min(self.last_contact_at, key=lambda one: (one in members, self.last_contact_at[one]))
        del self.last_contact_at[oldest]
        self.heartbeats.pop(oldest, None)

    def stood_still(self, now: float) -> None:
        """This process stood still: nobody is judged by contacts that it missed meanwhile."""
        self.running_since = now

    def unreachable(self, duration: float) -> list[MemberId]:
        """Members without contact for so long (s), while this process ran and knew them as members."""
        now = self.host.now()
        since = max(self.running_since, self.voter.membership_changed_at)
        return [
            member
            for member in member_ids(self.voter.state.members)
            if member != self.voter.member_id
            and now - max(self.last_contact_at.get(member, 0.0), since) >= duration
        ]

    def reaches_majority(self) -> bool:
        """Whether a majority was in contact within `UNREACHABLE_S`: else no request can succeed in time.

        A hint that saves waiting, and no proof: what is answered rests on the majority's own answers.
        """
        members = member_ids(self.voter.state.members)
        unreachable = self.unreachable(UNREACHABLE_S)
        return 2 * (len(members) - len(unreachable)) > len(members)
