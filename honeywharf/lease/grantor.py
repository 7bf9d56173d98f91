"""One grantor's votes: who may have a role now. Time comes as an argument; nothing is on disk.

Theory of operation. A role is (kind, scope, slot): of each kind and scope there are so many slots, and each
has one holder at most. A lease is the votes of a majority of the membership; a vote lasts one term of its
kind, by the grantor's steady clock. What keeps two holders from having one slot:

* A vote goes to one holder until it has ended or was released.
* Who has just started remembers nothing, so it grants nothing for one whole term: votes that it may have
  given in its last incarnation have ended by then.
* Votes count for one membership. A majority of the old one accepts the new one before it is decided; who has
  accepted it votes no more under the old one, and who takes it over waits a term before it votes under it.
* The holder counts its time from before it asked, and stops early (`lease.py`).

Each lease has a fencing number. A grantor takes none below the highest that it has granted, so that a
delayed request is known for late. A holder's numbers begin at its time of day in milliseconds: they grow
past a grantor that has forgotten, unless that clock was set back; the lease itself depends on no time of
day.
"""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable

MEMBER_REMOVAL, QUARANTINE = "upkeep", "aside"  # kinds, as they stand on the wire
TERMS = {MEMBER_REMOVAL: 1.0, QUARANTINE: 3.0}  # seconds that a vote lasts, by kind
MAX_VOTES = 512  # roles that a grantor has votes for
MAX_SCOPE = 128  # characters
MAX_NUMBER = 1 << 62


class Role(NamedTuple):
    """What one holder does at a time. `scope`: a zone, or empty for the whole mesh; `slot`: from 0."""

    kind: str
    scope: str
    slot: int


class VoteAnswer(StrEnum):
    """A grantor's answer, as it stands on the wire."""

    GRANTED = "granted"
    HELD = "held"  # another holder has it
    LOW_NUMBER = "low"  # a higher number was granted: ask above it
    WAITING = "waits"  # this grantor has forgotten its votes, or the membership is new
    OTHER_EPOCH = "roster"  # the caller goes by another membership
    NO_SLOT = "none"  # there is no such slot
    FULL = "full"  # too many votes are out


class Vote:
    """Given to one holder until a time of the grantor's clock."""

    __slots__ = ("holder", "number", "until")

    def __init__(self, holder: str, number: int, until: float) -> None:
        self.holder, self.number, self.until = holder, number, until


class Grantor:
    """One grantor. `slots(kind, scope)`: how many may have that role at once, as this one knows."""

    def __init__(self, now: float, slots: Callable[[str, str], int]) -> None:
        self.slots = slots
        self.waiting_since = now  # start, or when the membership was taken over
        self.epoch = -1
        self.is_epoch_pending = False  # another membership was accepted, and is not decided as far as known
        self.highest_number = 0  # granted here
        self.votes: dict[Role, Vote] = {}
        self.rejections: dict[str, int] = {}  # by answer

    def adopt_epoch(self, now: float, epoch: int, accepted_epoch: int) -> None:
        """The decided membership's epoch, and that of the accepted value (0: none). Call before `request`."""
        if epoch != self.epoch:
            if self.epoch >= 0:
                self.waiting_since = now
            self.epoch = epoch
        self.is_epoch_pending = accepted_epoch > epoch

    def request(self, now: float, role: Role, holder: str, number: int, epoch: int) -> tuple[VoteAnswer, int]:
        """A vote for a holder, or why not; and the highest number granted here."""
        answer = self._judge(now, role, holder, number, epoch)
        if answer is VoteAnswer.GRANTED:
            self.highest_number = max(self.highest_number, number)
            self.votes[role] = Vote(holder, number, now + TERMS[role.kind])
        else:
            self.rejections[answer] = self.rejections.get(answer, 0) + 1
        return answer, self.highest_number

    def _judge(self, now: float, role: Role, holder: str, number: int, epoch: int) -> VoteAnswer:
        if role.kind not in TERMS or len(role.scope) > MAX_SCOPE or not 0 < number < MAX_NUMBER:
            return VoteAnswer.NO_SLOT
        if epoch != self.epoch or self.is_epoch_pending:
            return VoteAnswer.OTHER_EPOCH
        if self.must_wait(now, role.kind):
            return VoteAnswer.WAITING
        vote = self.votes.get(role)
        if vote is not None and now < vote.until:
            if vote.holder != holder:
                return VoteAnswer.HELD
            if vote.number == number:
                return VoteAnswer.GRANTED  # a renewal
        if number <= self.highest_number:
            return VoteAnswer.LOW_NUMBER
        if not 0 <= role.slot < self.slots(role.kind, role.scope):
            return VoteAnswer.NO_SLOT
        return VoteAnswer.GRANTED if self._has_capacity(now, role) else VoteAnswer.FULL

    def must_wait(self, now: float, kind: str) -> bool:
        """Whether votes that this grantor does not know of may still hold."""
        return now < self.waiting_since + TERMS[kind]

    def _has_capacity(self, now: float, role: Role) -> bool:
        if role not in self.votes and len(self.votes) >= MAX_VOTES:
            self.votes = {one: vote for one, vote in self.votes.items() if now < vote.until}
        return role in self.votes or len(self.votes) < MAX_VOTES

    def release(self, role: Role, holder: str, number: int) -> None:
        """A holder has stopped, or did not become one; a late call of an earlier lease changes nothing."""
        vote = self.votes.get(role)
        if vote is not None and (vote.holder, vote.number) == (holder, number):
            del self.votes[role]

    def allows(self, role: Role, number: int) -> bool:
        """Whether an act under a fencing number may still be taken: nobody has a higher one for that role."""
        vote = self.votes.get(role)
        return vote is None or number >= vote.number

    def view(self, now: float) -> list[list[object]]:
        """Votes that are out: kind, scope, slot, holder, number, seconds left."""
        return [
            [*role, vote.holder, vote.number, round(vote.until - now, 3)]
            for role, vote in sorted(self.votes.items())
            if now < vote.until
        ]
