"""One grantor's votes for the holders of roles. The time is an argument; nothing is stored on disk.

Theory of operation. A role is (kind, scope, slot): each kind and scope has a number of slots, and each slot
has one holder at most. A lease consists of votes of a majority of the membership; a vote lasts one term of
its kind, by the grantor's steady clock. These rules keep two holders from having one slot:

* A vote belongs to one holder until it has expired or was released.
* A grantor that has just started knows no earlier votes, so it grants nothing for one full term: votes that
  it may have granted in its last incarnation have expired by then.
* Votes count for one membership. A majority of the old membership accepts the new one before that is decided;
  a grantor that has accepted the new one does not vote under the old one, and a grantor that adopts the new
  one waits a term before it votes under it.
* The holder counts its time from before its request, and stops early (`lease.py`).

The number of a lease is its fencing token. A grantor accepts none below the highest that it has granted, so
that it recognizes a delayed request. A holder's numbers start at its time of day in milliseconds: they also
exceed those of a grantor that has restarted, unless that clock was set back. The lease itself does not depend
on the time of day.
"""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable

MEMBER_REMOVAL, QUARANTINE = "upkeep", "aside"  # The kinds of roles; part of the wire protocol.
TERMS = {MEMBER_REMOVAL: 1.0, QUARANTINE: 3.0}  # The term of a vote in seconds, by kind.
MAX_VOTES = 512  # A grantor has votes for at most this many roles.
MAX_SCOPE_LENGTH = 128  # The maximum length of a scope in characters.
MAX_NUMBER = 1 << 62


class Role(NamedTuple):
    """A role with one holder at a time. `scope` is a zone, or empty for the mesh; `slot` counts from 0."""

    kind: str
    scope: str
    slot: int


class VoteAnswer(StrEnum):
    """A grantor's answer. The values are part of the wire protocol."""

    GRANTED = "granted"
    HELD = "held"  # Another holder has the role.
    LOW_NUMBER = "low"  # A higher number was granted; the holder retries above it.
    WAITING = "waits"  # The grantor has just started, or its membership is new.
    OTHER_EPOCH = "roster"  # The caller uses another membership.
    NO_SLOT = "none"  # The slot does not exist.
    FULL = "full"  # The grantor has its maximum number of votes.


class Vote:
    """A vote for one holder. It expires at a time of the grantor's clock."""

    __slots__ = ("expires_at", "holder", "number")

    def __init__(self, holder: str, number: int, expires_at: float) -> None:
        self.holder, self.number, self.expires_at = holder, number, expires_at


class Grantor:
    """One grantor. `slots(kind, scope)` returns the number of slots of a role, as this grantor knows it."""

    def __init__(self, now: float, slots: Callable[[str, str], int]) -> None:
        self.slots = slots
        self.waiting_since = now  # When the process started or the membership was adopted.
        self.epoch = -1
        self.is_epoch_pending = False  # Whether another membership is accepted but not known to be decided.
        self.highest_number = 0  # The highest number that this grantor has granted.
        self.votes: dict[Role, Vote] = {}
        self.rejections: dict[str, int] = {}  # The number of rejections by answer.

    def adopt_epoch(self, now: float, epoch: int, accepted_epoch: int) -> None:
        """Sets the epoch of the decided membership and that of the accepted value (0 without one).

        It is called at the start, when a membership is adopted, and before each `request`.
        """
        if epoch != self.epoch:
            if self.epoch >= 0:
                self.waiting_since = now
            self.epoch = epoch
        self.is_epoch_pending = accepted_epoch > epoch

    def request(self, now: float, role: Role, holder: str, number: int, epoch: int) -> tuple[VoteAnswer, int]:
        """Decides on a request for a vote; returns the answer and the highest number granted here."""
        answer = self._decide(now, role, holder, number, epoch)
        if answer is VoteAnswer.GRANTED:
            self.highest_number = max(self.highest_number, number)
            self.votes[role] = Vote(holder, number, now + TERMS[role.kind])
        else:
            self.rejections[answer] = self.rejections.get(answer, 0) + 1
        return answer, self.highest_number

    def _decide(self, now: float, role: Role, holder: str, number: int, epoch: int) -> VoteAnswer:
        if role.kind not in TERMS or len(role.scope) > MAX_SCOPE_LENGTH or not 0 < number < MAX_NUMBER:
            return VoteAnswer.NO_SLOT
        if epoch != self.epoch or self.is_epoch_pending:
            return VoteAnswer.OTHER_EPOCH
        if self.must_wait(now, role.kind):
            return VoteAnswer.WAITING
        vote = self.votes.get(role)
        if vote is not None and now < vote.expires_at:
            if vote.holder != holder:
                return VoteAnswer.HELD
            if vote.number == number:
                return VoteAnswer.GRANTED  # The request is a renewal.
        if number <= self.highest_number:
            return VoteAnswer.LOW_NUMBER
        if not 0 <= role.slot < self.slots(role.kind, role.scope):
            return VoteAnswer.NO_SLOT
        return VoteAnswer.GRANTED if self._has_capacity(now, role) else VoteAnswer.FULL

    def must_wait(self, now: float, kind: str) -> bool:
        """Returns whether votes that this grantor does not know of may still be valid."""
        return now < self.waiting_since + TERMS[kind]

    def _has_capacity(self, now: float, role: Role) -> bool:
        if role not in self.votes and len(self.votes) >= MAX_VOTES:
            self.votes = {key: vote for key, vote in self.votes.items() if now < vote.expires_at}
        return role in self.votes or len(self.votes) < MAX_VOTES

    def release(self, role: Role, holder: str, number: int) -> None:
        """Removes a holder's vote; a delayed call for an earlier lease changes nothing."""
        vote = self.votes.get(role)
        if vote is not None and (vote.holder, vote.number) == (holder, number):
            del self.votes[role]

    def allows(self, role: Role, number: int) -> bool:
        """Returns whether an action under a fencing token is still allowed: the role has no higher token."""
        vote = self.votes.get(role)
        return vote is None or number >= vote.number

    def view(self, now: float) -> list[list[object]]:
        """Returns the valid votes, each as kind, scope, slot, holder, number and remaining seconds."""
        return [
            [*role, vote.holder, vote.number, round(vote.expires_at - now, 3)]
            for role, vote in sorted(self.votes.items())
            if now < vote.expires_at
        ]
