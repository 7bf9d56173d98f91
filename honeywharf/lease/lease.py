"""A holder's side of one role: votes counted, and the time at which it stops. Time comes as an argument.

Theory of operation. A round asks every member. Votes of one round count together, and the lease that they
make ends `duration` after the round was *begun*: each vote began later than that and lasts a term by the
grantor's clock. `duration` is a term less what two steady clocks may differ by meanwhile
(`CLOCK_RATE_ERROR`) and less `MARGIN_S`, in which a call that was begun under the lease may end. A renewal
is a round under the same number. Steps of the time of day change nothing here; a holder that stood still
finds by its clock that its time is up.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from honeywharf.lease.grantor import TERMS, VoteAnswer

if TYPE_CHECKING:
    from collections.abc import Sequence

    from honeywharf.lease.grantor import Role

    MemberId = tuple[str, str]  # address, disk

CLOCK_RATE_ERROR = 0.01  # by which a steady clock may run fast or slow
MARGIN_S = 0.05  # that what was begun in time may take to end
RENEWALS_PER_TERM = 3


class Lease:
    """One role wanted by one holder, of its present incarnation (`holder` is new with each start)."""

    def __init__(self, role: Role, holder: str, floor: int) -> None:
        """`floor`: the lease's number will be above it."""
        self.role, self.holder = role, holder
        self.number = floor  # of the lease, or the last one tried
        self.until = 0.0  # by the own clock; 0 without a lease
        self.round = 0
        self.begun_at = 0.0
        self.epoch = 0
        self.members: list[MemberId] = []
        self.votes: set[MemberId] = set()
        self.answered: set[MemberId] = set()
        self.highest_number = floor  # that a grantor has told
        self.rejections: set[str] = set()  # of this round

    def duration(self) -> float:
        """Seconds that the holder may count on, from before it asked."""
        return TERMS[self.role.kind] * (1 - 2 * CLOCK_RATE_ERROR) - MARGIN_S

    def renewal_interval(self) -> float:
        """Seconds between renewals."""
        return TERMS[self.role.kind] / RENEWALS_PER_TERM

    def majority(self) -> int:
        """Votes that make a lease: a majority of the whole membership, whoever is in contact."""
        return len(self.members) // 2 + 1

    def begin(self, now: float, epoch: int, members: Sequence[MemberId], wall_ms: int) -> list[MemberId]:
        """Begin a round; whom to ask, with `role`, `holder`, `number`, `epoch` and `round`.

        `wall_ms`: time of day in ms. A lease that is held is renewed; else there is a new number.
        """
        if not self.holds(now) or epoch != self.epoch:
            self.number = max(self.highest_number + 1, wall_ms)
        self.round += 1
        self.begun_at, self.epoch, self.members = now, epoch, list(members)
        self.votes, self.answered, self.rejections = set(), set(), set()
        return self.members

    def received(self, now: float, round_number: int, member: MemberId, answer: str, highest: int) -> bool:
        """A grantor's answer to a round; whether the lease is held now."""
        self.highest_number = max(self.highest_number, highest)
        if round_number != self.round or member not in self.members:
            return self.holds(now)
        self.answered.add(member)
        if answer == VoteAnswer.GRANTED:
            self.votes.add(member)
            if len(self.votes) >= self.majority():
                self.until = max(self.until, self.begun_at + self.duration())
        else:
            self.rejections.add(answer)
        return self.holds(now)

    def timed_out(self, round_number: int, member: MemberId) -> None:
        """A grantor did not answer in time."""
        if round_number == self.round:
            self.answered.add(member)

    def is_hopeless(self) -> bool:
        """Whether this round can't bring a majority any more."""
        left = len(set(self.members) - self.answered)
        return len(self.votes) + left < self.majority()

    def holds(self, now: float) -> bool:
        """Whether the role may be acted in now. Asked before each act, and not remembered."""
        return now < self.until

    def stop(self) -> None:
        """Act no more; only then may others be told."""
        self.until, self.round = 0.0, self.round + 1

    def needs_higher_number(self) -> bool:
        """Whether all that this round lacks is a higher number."""
        return self.rejections == {VoteAnswer.LOW_NUMBER}
