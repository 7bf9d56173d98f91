"""Standbys: machines that have the state but no vote, until one replaces a member that leaves.

Theory of operation. A machine that is not needed as a member sends heartbeats to all members, reports which
configuration's text it has, and learns each newer state like a member. A member that shuts down as planned
first hands its place to a standby, by a change of the membership (`mesh_state.hand_over`), so the membership
never grows and never contains a member that has gone. If a member fails without notice, another one gives
its place to a standby (`replacement`). In both cases the standby accepts its admission, with the newest text,
before any member does.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING, Any, NamedTuple

from honeywharf.control import mesh_state
from honeywharf.control.mesh_state import Admission, Member, MemberId, member_ids
from honeywharf.control.register import QuorumResult

if TYPE_CHECKING:
    from honeywharf.control.messages import Heartbeat
    from honeywharf.control.register_queues import ChangeQueue
    from honeywharf.control.voter import Voter
    from honeywharf.transport.host import Host

PRESENCE_TIMEOUT_S = 1.0  # A standby counts as present for this long after its last heartbeat.
MAX_STANDBYS = 16
ATTEMPT_TIMEOUT_S = 0.6  # The time-out of one attempt to hand over.
RETRY_DELAY_S = 0.05


class Standby(NamedTuple):
    """A standby and its last report about itself."""

    member: Member
    last_contact_at: float


class Standbys:
    """The standbys in contact with this member, at most `MAX_STANDBYS`."""

    def __init__(self) -> None:
        self.by_id: dict[MemberId, Standby] = {}
        self._declined_at: dict[MemberId, float] = {}  # At most `MAX_STANDBYS`.

    def decline(self, member: MemberId, now: float) -> None:
        """Records that a standby did not accept its admission, so that others are preferred."""
        self._declined_at.pop(member, None)
        if len(self._declined_at) >= MAX_STANDBYS:
            del self._declined_at[next(iter(self._declined_at))]
        self._declined_at[member] = now

    def declined_at(self, member: MemberId) -> float:
        """Returns when a standby last did not accept its admission; 0 if it never did."""
        return self._declined_at.get(member, 0.0)

    def record(self, heartbeat: Heartbeat, now: float) -> bool:
        """Records the heartbeat of a machine that is not a member; returns whether it was absent before.

        Above `MAX_STANDBYS` the standby with the oldest contact is dropped.
        """
        member = Member(heartbeat.address, heartbeat.disk, heartbeat.zone, False)
        if member.id not in self.by_id and len(self.by_id) >= MAX_STANDBYS:
            del self.by_id[min(self.by_id, key=lambda key: self.by_id[key].last_contact_at)]
        known = self.by_id.get(member.id)
        self.by_id[member.id] = Standby(member, now)
        return known is None or now - known.last_contact_at > PRESENCE_TIMEOUT_S

    def present(self, now: float, members: list[MemberId]) -> list[Standby]:
        """Returns the standbys that are present at `now` and are not members."""
        return [
            standby
            for key, standby in self.by_id.items()
            if key not in members and now - standby.last_contact_at <= PRESENCE_TIMEOUT_S
        ]


class Handover:
    """Hands this member's place to a standby, when its process shuts down as planned."""

    def __init__(self, host: Host, voter: Voter, changes: ChangeQueue, standbys: Standbys) -> None:
        self.host, self.voter, self.changes, self.standbys = host, voter, changes, standbys
        self.zone = ""  # The zone of this machine.
        self.deadline = 0.0
        self.done: Callable[[], None] = lambda: None

    def begin(self, timeout: float, done: Callable[[], None]) -> None:
        """Hands over within `timeout` seconds.

        `done()` is called once; without waiting if no standby can take the place.
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
        change = mesh_state.hand_over(self.voter.member_id, standby.member)
        attempt_ends_at = min(now + ATTEMPT_TIMEOUT_S, self.deadline)
        fenced = mesh_state.fenced(change, self.voter.state.epoch, lambda: self.host.now() < attempt_ends_at)
        self.changes.submit_with_precedence(
            fenced, attempt_ends_at - now, partial(self._answered, standby.member.id)
        )

    def _preference(self, standby: Standby) -> tuple[float, bool, float]:
        """Returns a sort key: those that did not decline, of this zone, with the most recent contact."""
        declined_at = self.standbys.declined_at(standby.member.id)
        return declined_at, standby.member.zone != self.zone, -standby.last_contact_at

    def _answered(self, standby: MemberId, result: QuorumResult, answer: Any) -> None:
        if result is QuorumResult.NOT_JOINED:
            self.standbys.decline(standby, self.host.now())
        if result is QuorumResult.OK and answer is Admission.MEMBER:
            self.done()
        else:
            self.host.after(RETRY_DELAY_S, self._attempt)
