"""Replaces members: a lost disk by the new one at its address, and an unreachable member by a standby.

Theory of operation. Machines that are not members send heartbeats to all members (`membership`), so each
member knows by itself which members are unreachable and which standbys are present. The first reachable
member, in the order of the membership, replaces; each further one takes over if the need lasts for
`TAKEOVER_DELAY_S` more. So no replacement waits for one particular node, or for a joiner to ask the right
one. A failed attempt is repeated for as long as there is a need. The register keeps this safe whoever tries:
a change is for the epoch at which the need was seen, an unreachable member is replaced under a lease, and the
joiner accepts its own admission first (`register`).
"""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING, NamedTuple

from honeywharf.control import mesh_state
from honeywharf.control.admission_log import AdmissionLog
from honeywharf.control.contacts import UNREACHABLE_AFTER_S
from honeywharf.control.member_removal import WRITE_TIMEOUT_S, admission_outcome
from honeywharf.control.mesh_state import Admission, Change, Member, MemberId, member_ids

if TYPE_CHECKING:
    from honeywharf.control.contacts import ContactTracker
    from honeywharf.control.member_removal import MemberRemoval
    from honeywharf.control.register_queues import ChangeQueue
    from honeywharf.control.standby import Standby, Standbys
    from honeywharf.control.voter import Voter
    from honeywharf.transport.host import Host, Timer

TAKEOVER_DELAY_S = 0.6  # The next reachable member takes over after this time.
RETRY_INTERVAL_S = 0.1  # The interval of checks while there is a need.


class Replacement(NamedTuple):
    """A replacement that is needed in `epoch`: by `joiner`, of its lost disk or of an unreachable member."""

    joiner: Member
    unreachable: list[MemberId]
    epoch: int

    @property
    def change(self) -> Change:
        """Returns the change of the membership."""
        return mesh_state.admit(self.joiner, self.unreachable)


class MemberReplacement:
    """The replacements that this member makes, one at a time."""

    def __init__(
        self,
        host: Host,
        voter: Voter,
        changes: ChangeQueue,
        contacts: ContactTracker,
        removal: MemberRemoval,
        standbys: Standbys,
    ) -> None:
        self.host, self.voter, self.changes = host, voter, changes
        self.contacts, self.removal, self.standbys = contacts, removal, standbys
        self.log = AdmissionLog(host)
        self.needed_since: float | None = None  # When a need was first seen in this epoch.
        self.needed_in = 0  # That epoch.
        self.is_in_progress = False
        self.next_attempt_at = 0.0  # Not before this time, so that another member takes over.
        self.timer: Timer | None = None

    def check(self) -> None:
        """Starts a replacement if one is needed and it is this member's turn; else checks again soon."""
        now = self.host.now()
        need = self._needed(now)
        if need is None:
            self.needed_since = None
            return
        if self.needed_since is None or self.needed_in != need.epoch:
            self.needed_since, self.needed_in = now, need.epoch
        if self.is_in_progress:
            return
        turn_at = self.needed_since + self._rank(need) * TAKEOVER_DELAY_S
        if now >= max(turn_at, self.next_attempt_at):
            self._replace(need)
        else:
            self._check_later()

    def _check_later(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.host.after(RETRY_INTERVAL_S, self.check)

    def _needed(self, now: float) -> Replacement | None:
        """Returns the replacement that is needed now; None if there is none, or if this is not a member."""
        state = self.voter.state
        present = [
            standby
            for standby in self.standbys.present(now, member_ids(state.members))
            if standby.member.address != self.voter.local_address  # A late heartbeat of an earlier disk.
        ]
        if not present or not self.voter.is_staying_member():
            return None
        addresses = [member.address for member in state.members]
        new_disks = [standby for standby in present if standby.member.address in addresses]
        if new_disks:
            return Replacement(self._best(new_disks, []).member, [], state.epoch)
        unreachable = self.contacts.unreachable(UNREACHABLE_AFTER_S)
        if not unreachable:
            return None
        zones = [member.zone for member in state.members if member.id in unreachable]
        return Replacement(self._best(present, zones).member, unreachable, state.epoch)

    def _best(self, candidates: list[Standby], zones: list[str]) -> Standby:
        """Returns the best candidate: one that did not decline, in one of the zones, in contact last."""

        def preference(standby: Standby) -> tuple[float, bool, float]:
            declined_at = self.standbys.declined_at(standby.member.id)
            return declined_at, standby.member.zone not in zones, -standby.last_contact_at

        return min(candidates, key=preference)

    def _rank(self, need: Replacement) -> int:
        """Returns this member's position among the reachable members, from 0."""
        unreachable = self.contacts.unreachable(UNREACHABLE_AFTER_S)
        reachable = [
            member.id
            for member in self.voter.state.members
            if member.id not in unreachable and member.address != need.joiner.address
        ]
        return reachable.index(self.voter.member_id)

    def _replace(self, need: Replacement) -> None:
        self.is_in_progress = True
        done = partial(self._replaced, need.joiner)
        if need.unreachable:
            self.removal.submit_under_lease(need.change, need.epoch, done)
            return
        fenced = mesh_state.fenced(need.change, need.epoch)
        self.changes.submit_with_precedence(
            fenced, WRITE_TIMEOUT_S, lambda result, answer: done(admission_outcome(result, answer))
        )

    def _replaced(self, joiner: Member, outcome: Admission) -> None:
        """Records the outcome, and tries again if it was no success."""
        self.is_in_progress = False
        self.log.decided(joiner.address, outcome)
        if outcome is Admission.NOT_JOINED:
            self.standbys.decline(joiner.id, self.host.now())
        if outcome is Admission.NOT_COMMITTED:
            self.next_attempt_at = self.host.now() + TAKEOVER_DELAY_S
        if outcome is Admission.CHANGED:
            self.host.after(0.0, self.check)
        elif outcome is not Admission.MEMBER:
            self._check_later()
