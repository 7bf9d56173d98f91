"""Standbys: machines that hold the state and have no vote, until one takes the place of a member that leaves.

Theory of operation. A machine that is not needed as a member calls all members with every heartbeat, tells
which configuration's text it holds, and learns each newer state like they do. A member that ends as planned
hands its place to one of them before it ends, by a change of the membership (`mesh_state.hand_over`), so the
membership never grows and never holds one that has gone. Where a member fails without a word, a standby asks
for its place (`membership`). In both cases it must hold the text of the newest configuration first.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any, NamedTuple

from honeywharf.control import mesh_state
from honeywharf.control.mesh_state import Admission, Key, Member, keys
from honeywharf.control.register import Result

if TYPE_CHECKING:
    from honeywharf.control.messages import Heartbeat
    from honeywharf.control.proposals import Proposals
    from honeywharf.control.voter import Voter
    from honeywharf.transport.host import Host

FRESH_S = 1.0  # for which a standby counts as there after its last heartbeat
MAX_STANDBYS = 16
TRY_S = 0.6  # for one round of a handover
AGAIN_S = 0.05  # between tries


class Standby(NamedTuple):
    """One standby as it last told of itself. `digest`: of the configuration whose text it holds."""

    member: Member
    digest: str
    heard_at: float


class Standbys:
    """The standbys that this member hears."""

    def __init__(self) -> None:
        self.heard: dict[Key, Standby] = {}

    def hear(self, heartbeat: Heartbeat, now: float) -> None:
        """A machine that is no member has told of itself; the one unheard for longest gives way."""
        member = Member(heartbeat.address, heartbeat.disk, heartbeat.zone, False)
        if member.key not in self.heard and len(self.heard) >= MAX_STANDBYS:
            del self.heard[min(self.heard, key=lambda key: self.heard[key].heard_at)]
        self.heard[member.key] = Standby(member, heartbeat.digest, now)

    def present(self, now: float, members: list[Key]) -> list[Standby]:
        """Those that are there now and have no vote."""
        return [
            standby
            for key, standby in self.heard.items()
            if key not in members and now - standby.heard_at <= FRESH_S
        ]


class Handover:
    """Gives this member's place to a standby, at a planned end."""

    def __init__(self, host: Host, voter: Voter, proposals: Proposals, standbys: Standbys, zone: str) -> None:
        self.host, self.voter, self.proposals, self.standbys = host, voter, proposals, standbys
        self.zone = zone
        self.deadline = 0.0
        self.done: Callable[[], None] = lambda: None

    def begin(self, within: float, done: Callable[[], None]) -> None:
        """Hand over; `done()` follows once, in time: at once where there is nobody to take the place."""
        self.deadline, self.done = self.host.now() + within, done
        self._try()

    def _try(self) -> None:
        now, members = self.host.now(), keys(self.voter.state.members)
        present = self.standbys.present(now, members)
        if not self.voter.is_member() or not present or now >= self.deadline:
            self.done()
            return
        standby = min(present, key=self._preference)
        change = mesh_state.when_holding(mesh_state.hand_over(self.voter.key, standby.member), standby.digest)
        self.proposals.submit(change, min(TRY_S, self.deadline - now), self._answered)

    def _preference(self, standby: Standby) -> tuple[bool, float]:
        """One of the own zone first, then the one heard last."""
        return standby.member.zone != self.zone, -standby.heard_at

    def _answered(self, result: Result, answer: Any) -> None:
        if result is Result.OK and answer is Admission.MEMBER:
            self.done()
        else:
            self.host.after(AGAIN_S, self._try)
