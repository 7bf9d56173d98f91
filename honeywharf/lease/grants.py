"""Who may do a duty: one grantor's votes. Time comes as an argument; nothing is on disk.

Theory of operation. A duty is (kind, scope, place): of each kind and scope there are so many places, and each
has one holder at most. A lease is the votes of a majority of the roster; a vote lasts one term of its kind,
by the grantor's steady clock. What keeps two from holding one place:

* A vote goes to one holder until it has ended or was given back.
* Who has just started remembers nothing, so it grants nothing for one whole term: votes that it may have
  given in its last life have ended by then.
* Votes count for one roster. A majority of the old roster accepts the new one before it is decided; who has
  accepted it votes no more under the old one, and who takes it over waits a term before it votes under it.
* The holder counts its time from before it asked, and stops early (`lease.py`).

Each lease has a number. A grantor takes none below the highest that it has granted, so that an act or an ask
that was held up is known for late. An asker's numbers begin at its time of day in milliseconds: they grow
past a grantor that has forgotten unless that clock was set back; the lease itself depends on no time of day.
"""

from __future__ import annotations

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable

    Duty = tuple[str, str, int]  # kind, scope, place

TERMS = {"upkeep": 1.0, "aside": 3.0}  # seconds that a vote lasts, by kind
MAX_VOTES = 512  # duties that a grantor has votes for
MAX_SCOPE = 128  # characters
MAX_NUMBER = 1 << 62

GRANTED = "granted"
HELD = "held"  # another one has it
LOW = "low"  # a higher number was granted: ask above it
WAITS = "waits"  # this one has forgotten, or the roster is new
ROSTER = "roster"  # the asker goes by another roster
NONE = "none"  # there is no such place
FULL = "full"  # too many votes are out


class Vote:
    """Given to one holder until a time of the grantor's clock."""

    __slots__ = ("holder", "number", "until")

    def __init__(self, holder: str, number: int, until: float) -> None:
        self.holder, self.number, self.until = holder, number, until


class Grantor:
    """One grantor. `places(kind, scope)`: how many may do that duty at once, as this one knows."""

    def __init__(self, now: float, places: Callable[[str, str], int]) -> None:
        self.places = places
        self.since = now  # start, or when the roster was taken over
        self.epoch = -1
        self.pending = False  # another roster was accepted and is not decided, as far as this one knows
        self.number = 0  # the highest granted
        self.votes: dict[Duty, Vote] = {}
        self.refused: dict[str, int] = {}  # by answer

    def roster(self, now: float, epoch: int, accepted: int) -> None:
        """The decided roster's epoch, and that of the value accepted (0 without one). Call before `ask`."""
        if epoch != self.epoch:
            if self.epoch >= 0:
                self.since = now
            self.epoch = epoch
        self.pending = accepted > epoch

    def ask(self, now: float, duty: Duty, holder: str, number: int, epoch: int) -> tuple[str, int]:
        """A vote for a holder, or why not; and the highest number granted here."""
        answer = self._judge(now, duty, holder, number, epoch)
        if answer == GRANTED:
            self.number = max(self.number, number)
            self.votes[duty] = Vote(holder, number, now + TERMS[duty[0]])
        else:
            self.refused[answer] = self.refused.get(answer, 0) + 1
        return answer, self.number

    def _judge(self, now: float, duty: Duty, holder: str, number: int, epoch: int) -> str:
        kind, scope, place = duty
        if kind not in TERMS or len(scope) > MAX_SCOPE or not 0 < number < MAX_NUMBER:
            return NONE
        if epoch != self.epoch or self.pending:
            return ROSTER
        if self.waits(now, kind):
            return WAITS
        vote = self.votes.get(duty)
        if vote is not None and now < vote.until:
            if vote.holder != holder:
                return HELD
            if vote.number == number:
                return GRANTED  # a renewal
        if number <= self.number:
            return LOW
        if not 0 <= place < self.places(kind, scope):
            return NONE
        return GRANTED if self._room(now, duty) else FULL

    def waits(self, now: float, kind: str) -> bool:
        """Whether votes that this one does not know of may still hold."""
        return now < self.since + TERMS[kind]

    def _room(self, now: float, duty: Duty) -> bool:
        if duty not in self.votes and len(self.votes) >= MAX_VOTES:
            self.votes = {one: vote for one, vote in self.votes.items() if now < vote.until}
        return duty in self.votes or len(self.votes) < MAX_VOTES

    def free(self, duty: Duty, holder: str, number: int) -> None:
        """A holder has stopped, or did not become one; a late word of an earlier lease changes nothing."""
        vote = self.votes.get(duty)
        if vote is not None and (vote.holder, vote.number) == (holder, number):
            del self.votes[duty]

    def passes(self, duty: Duty, number: int) -> bool:
        """Whether an act under a number may still be taken: nobody has a higher one for that duty here."""
        vote = self.votes.get(duty)
        return vote is None or number >= vote.number

    def view(self, now: float) -> list[list[object]]:
        """Votes that are out: kind, scope, place, holder, number, seconds left."""
        return [
            [*duty, vote.holder, vote.number, round(vote.until - now, 3)]
            for duty, vote in sorted(self.votes.items())
            if now < vote.until
        ]
