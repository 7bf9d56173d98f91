"""Standbys: machines that hold the state and have no vote, until one takes the place of a member that leaves.

Theory of operation. A machine that is not needed as a member sends heartbeats to all members, tells which
configuration's text it holds, and learns each newer state like they do. A member that ends as planned
hands its place to one of them before it ends, by a change of the membership (`mesh_state.hand_over`), so the
membership never grows and never holds one that has gone. Where a member fails without notice, a standby asks
for its place (`joining`). In both cases it must hold the text of the newest configuration first.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any, NamedTuple

from honeywharf.control import mesh_state
from honeywharf.control.mesh_state import Admission, Member, MemberId, member_ids
from honeywharf.control.register import QuorumResult

if TYPE_CHECKING:
    from honeywharf.control.messages import Heartbeat
    from honeywharf.control.register_queues import ChangeQueue
    from honeywharf.control.voter import Voter
    from honeywharf.transport.host import Host

PRESENT_S = 1.0  # after its last heartbeat, for which a standby counts as present
MAX_STANDBYS = 16
ATTEMPT_TIMEOUT_S = 0.6  # of one attempt to hand over
RETRY_DELAY_S = 0.05


class Standby(NamedTuple):
    """A standby as it last reported about itself. `digest`: of the configuration whose text it holds."""

    member: Member
    digest: str
    last_contact_at: float


class Standbys:
    """The standbys in contact with this member, at most `MAX_STANDBYS`."""

    def __init__(self) -> None:
        self.by_id: dict[MemberId, Standby] = {}

    def record(self, heartbeat: Heartbeat, now: float) -> None:
        """A machine that is no member has reported about itself.

        The one without contact for longest gives way.
        """
        member = Member(heartbeat.address, heartbeat.disk, heartbeat.zone, False)
        if member.id not in self.by_id and len(self.by_id) >= MAX_STANDBYS:
            del self.by_id[min(self.by_id, key=lambda key: self.by_id[key].last_contact_at)]
        self.by_id[member.id] = Standby(member, heartbeat.digest, now)

    def present(self, now: float, members: list[MemberId]) -> list[Standby]:
        """Those that are present at `now` and have no vote."""
        return [
            standby
            for key, standby in self.by_id.items()
            if key not in members and now - standby.last_contact_at <= PRESENT_S
        ]


class Handover:
    """Gives this member's place to a standby, when its process ends as planned."""

    def __init__(self, host: Host, voter: Voter, changes: ChangeQueue, standbys: Standbys) -> None:
        self.host, self.voter, self.changes, self.standbys = host, voter, changes, standbys
        self.zone = ""  # this machine's
        self.deadline = 0.0
        self.done: Callable[[], None] = lambda: None

    def begin(self, timeout: float, done: Callable[[], None]) -> None:
        """Hand over within `timeout` seconds.

        `done()` follows once, at once where nobody can take the place.
        """
        self.deadline, self.done = self.host.now() + timeout, done
        self._attempt()

    def _attempt(self) -> None:
        now, members = self.host.now(), member_ids(self.voter.state.members)
        present = self.standbys.present(now, members)
        if not self.voter.is_member() or not present or now >= self.deadline:
            self.done()
            return
        standby = min(present, key=self._preference)
        change = mesh_state.require_text(
            mesh_state.hand_over(self.voter.member_id, standby.member), standby.digest
        )
        self.changes.submit(change, min(ATTEMPT_TIMEOUT_S, self.deadline - now), self._answered)

    def _preference(self, standby: Standby) -> tuple[bool, float]:
        """One of the own zone first, then the one in contact last."""
        return standby.member.zone != self.zone, -standby.last_contact_at

    def _answered(self, result: QuorumResult, answer: Any) -> None:
        if result is QuorumResult.OK and answer is Admission.MEMBER:
            self.done()
        else:
            self.host.after(RETRY_DELAY_S, self._attempt)
