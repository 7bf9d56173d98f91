"""The holder's side of one lease: it counts votes and computes the expiry. The time is an argument.

Theory of operation. A round requests the votes of all members. The votes of one round count together, and
their lease expires `duration` after the *start* of the round: each vote starts later than that and lasts a
term by the grantor's clock. `duration` is a term minus the difference that two steady clocks may accumulate
meanwhile (`CLOCK_RATE_ERROR`) and minus `CALL_MARGIN_S`, in which a call that was started under the lease may
finish. A renewal is a round under the same number. Steps of the time of day have no effect; a holder that was
stalled finds by its steady clock that its lease has expired.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from honeywharf.lease.grantor import TERMS, VoteAnswer

if TYPE_CHECKING:
    from collections.abc import Sequence

    from honeywharf.lease.grantor import Role

    MemberId = tuple[str, str]  # The address and the name of the disk.

CLOCK_RATE_ERROR = 0.01  # A steady clock may run fast or slow by this share.
CALL_MARGIN_S = 0.05  # A call that was started in time may take this long to finish.
RENEWALS_PER_TERM = 3


class Lease:
    """A lease on one role for one holder in its current incarnation (`holder` is new with each start)."""

    def __init__(self, role: Role, holder: str, floor: int) -> None:
        """The number of the lease will be above `floor`."""
        self.role, self.holder = role, holder
        self.number = floor  # The fencing token of the lease, or of the last attempt.
        self.expires_at = 0.0  # The expiry by the holder's steady clock; 0 without a lease.
        self.round = 0
        self.begun_at = 0.0
        self.epoch = 0
        self.members: list[MemberId] = []
        self.votes: set[MemberId] = set()
        self.answered: set[MemberId] = set()
        self.highest_number = floor  # The highest number that a grantor has reported.
        self.rejections: set[str] = set()  # The rejecting answers of this round.

    def duration(self) -> float:
        """Returns the seconds from the start of a round to the expiry of its lease."""
        return TERMS[self.role.kind] * (1 - 2 * CLOCK_RATE_ERROR) - CALL_MARGIN_S

    def renewal_interval(self) -> float:
        """Returns the seconds between renewals."""
        return TERMS[self.role.kind] / RENEWALS_PER_TERM

    def majority(self) -> int:
        """Returns the number of votes that a lease needs: a majority of all members, in contact or not."""
        return len(self.members) // 2 + 1

    def begin(self, now: float, epoch: int, members: Sequence[MemberId], wall_ms: int) -> list[MemberId]:
        """Starts a round; returns the members whose votes are requested.

        The requests carry `role`, `holder`, `number` and `epoch`. `wall_ms` is the time of day in ms. A valid
        lease is renewed under its number; else the round gets a new number.
        """
        if not self.holds(now) or epoch != self.epoch:
            self.number = max(self.highest_number + 1, wall_ms)
        self.round += 1
        self.begun_at, self.epoch, self.members = now, epoch, list(members)
        self.votes, self.answered, self.rejections = set(), set(), set()
        return self.members

    def received(self, now: float, round_number: int, member: MemberId, answer: str, highest: int) -> bool:
        """Counts a grantor's answer to a round; returns whether the lease is valid now."""
        self.highest_number = max(self.highest_number, highest)
        if round_number != self.round or member not in self.members:
            return self.holds(now)
        self.answered.add(member)
        if answer == VoteAnswer.GRANTED:
            self.votes.add(member)
            if len(self.votes) >= self.majority():
                self.expires_at = max(self.expires_at, self.begun_at + self.duration())
        else:
            self.rejections.add(answer)
        return self.holds(now)

    def timed_out(self, round_number: int, member: MemberId) -> None:
        """Records that a grantor did not answer in time."""
        if round_number == self.round:
            self.answered.add(member)

    def cannot_reach_majority(self) -> bool:
        """Returns whether this round can't get a majority any more."""
        unanswered = len(set(self.members) - self.answered)
        return len(self.votes) + unanswered < self.majority()

    def holds(self, now: float) -> bool:
        """Returns whether the lease is valid now. Callers check this before each action, without caching."""
        return now < self.expires_at

    def stop(self) -> None:
        """Ends the lease at the holder; the grantors may be notified only after this."""
        self.expires_at, self.round = 0.0, self.round + 1

    def needs_higher_number(self) -> bool:
        """Returns whether this round was rejected only because its number is too low."""
        return self.rejections == {VoteAnswer.LOW_NUMBER}
