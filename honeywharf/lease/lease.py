"""A holder's side of one duty: votes counted, and the time at which it stops. Time comes as an argument.

Theory of operation. A round asks every member of the roster. Votes of one round count together, and the
lease they make ends `span` after the round was *begun*: each vote began later than that and lasts a term by
the grantor's clock. `span` is a term less what two steady clocks may differ by meanwhile (`RATE`) and less
`MARGIN`, in which a call that was begun under the lease may end. A renewal is a round under the same number.
Steps of the time of day touch nothing here; a holder that stood still finds by its clock that its time is up.
"""

from __future__ import annotations

from honeywharf.lease.grants import GRANTED, LOW, TERMS

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Sequence

    from honeywharf.lease.grants import Duty

    Key = tuple[str, str]  # address, disk

RATE = 0.01  # by which a steady clock may run fast or slow
MARGIN = 0.05  # seconds that what was begun in time may take to end
RENEWED = 3  # rounds in a term


class Lease:
    """One duty wanted by one holder, of its present life (`holder` is new with each start)."""

    def __init__(self, duty: Duty, holder: str, floor: int) -> None:
        self.duty, self.holder = duty, holder
        self.number = floor  # of the lease, or the last one tried
        self.until = 0.0  # by the own clock; 0 without a lease
        self.round = 0
        self.begun = 0.0
        self.epoch = 0
        self.members: list[Key] = []
        self.votes: set[Key] = set()
        self.answered: set[Key] = set()
        self.above = floor  # the highest number that a grantor has told
        self.why: set[str] = set()  # refusals of this round

    def span(self) -> float:
        """Seconds that the holder may count on, from before it asked."""
        return TERMS[self.duty[0]] * (1 - 2 * RATE) - MARGIN

    def every(self) -> float:
        """Seconds between renewals."""
        return TERMS[self.duty[0]] / RENEWED

    def need(self) -> int:
        """Votes that make a lease: a majority of the whole roster, whoever is there."""
        return len(self.members) // 2 + 1

    def begin(self, now: float, epoch: int, members: Sequence[Key], wall: int) -> list[Key]:
        """Begin a round; whom to ask, with `duty`, `holder`, `number`, `epoch` and `round`.

        `wall`: time of day in ms. A lease that is held is renewed; else there is a new number.
        """
        if not self.holds(now) or epoch != self.epoch:
            self.number = max(self.above + 1, wall)
        self.round += 1
        self.begun, self.epoch, self.members = now, epoch, list(members)
        self.votes, self.answered, self.why = set(), set(), set()
        return self.members

    def heard(self, now: float, number: int, key: Key, answer: str, highest: int) -> bool:
        """A grantor's answer to round `number`; whether the lease is held now."""
        self.above = max(self.above, highest)
        if number != self.round or key not in self.members:
            return self.holds(now)
        self.answered.add(key)
        if answer == GRANTED:
            self.votes.add(key)
            if len(self.votes) >= self.need():
                self.until = max(self.until, self.begun + self.span())
        else:
            self.why.add(answer)
        return self.holds(now)

    def lost(self, number: int, key: Key) -> None:
        """A grantor did not answer in time."""
        if number == self.round:
            self.answered.add(key)

    def hopeless(self) -> bool:
        """Whether this round can't bring a majority any more."""
        left = len(set(self.members) - self.answered)
        return len(self.votes) + left < self.need()

    def holds(self, now: float) -> bool:
        """Whether the duty may be done now. Asked before each act, and not remembered."""
        return now < self.until

    def stop(self) -> None:
        """Do it no more; only then may others be told."""
        self.until, self.round = 0.0, self.round + 1

    def raised(self) -> bool:
        """Whether all that this round wants is a higher number."""
        return self.why == {LOW}
