"""Changes and reads of the register: one value, kept by a majority of a membership that may itself change.

Theory of operation (after CASPaxos). A round asks the members to promise a ballot, takes the value that was
accepted under the highest one, applies its change, and has the result accepted. It needs majorities, for both
halves, of every membership that it has seen: the one known as decided, the one in the value it found, and the
one that it puts in. What such majorities have accepted is committed, and its membership decided: from then on
that membership alone is enough. Whoever knows an older one meets, in any majority of it, a member that
accepted a value with the newer one, or knows it as decided and says so.

A member is an address with a disk. A machine whose disk was lost has another name, and does not answer in
place of the old one. No I/O and no clock here: times come as arguments, messages go out as results.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum
from random import Random
from typing import Any, NamedTuple

from honeywharf.control.mesh_state import Change, Key, MeshState, initial
from honeywharf.control.messages import (
    NO_BALLOT,
    Accept,
    Accepted,
    Answer,
    Ballot,
    Current,
    Decided,
    NewerMembership,
    OtherDisk,
    Prepare,
    Promised,
    Read,
    Rejected,
    Request,
    TextMissing,
)
from honeywharf.control.quorum import Quorums

RESEND_S = 0.06  # after a lost message, until it is sent again
STRAGGLERS_S = 0.02  # that a read waits for more answers before it gives up on finding all the same
BACKOFF_S = 0.02  # mean of the first pause after a refusal
MAX_DOUBLINGS = 4  # of the pause


class Result(Enum):
    """How a round or a read ended."""

    OK = "ok"
    UNSURE = "unsure"  # a read found more than one acceptance: it must be written back first
    UNREACHABLE = "unreachable"  # no majority in time
    CONTENDED = "contended"  # others went before each time


class Phase(Enum):
    """What a round is doing."""

    PREPARE = "prepare"
    ACCEPT = "accept"
    PAUSE = "pause"  # between tries


class Send(NamedTuple):
    """A request to a member; `with_text`: the configuration's text goes with it, where that is short or the
    member has asked for it (`text_missing`).
    """

    key: Key
    request: Request
    with_text: bool = False
    text_missing: bool = False


Sends = list[Send]


class Asking:
    """What a round and a read share: who was asked, whose message was lost, when something is due."""

    def __init__(self, decided: Decided, deadline: float, rng: Random) -> None:
        self.decided = decided
        self.deadline = deadline
        self.rng = rng
        self.quorums = Quorums([decided.members])
        self.result: Result | None = None
        self.value: MeshState | None = None  # of an OK
        self.again: dict[Key, float] = {}  # lost messages, and when they go again
        self.wake = deadline  # when something else is due
        self.asked: set[Key] = set()
        self.timer: Any = None  # the driver's

    @property
    def due(self) -> float:
        """When `tick` has something to do at the latest, on the clock of `now`."""
        return min([self.wake, self.deadline, *self.again.values()])

    def send(self, key: Key) -> Send:
        """What a member is asked now."""
        raise NotImplementedError

    def start(self) -> Sends:
        """Begin, or begin again."""
        raise NotImplementedError

    def tick(self, now: float) -> Sends:
        """Time has passed."""
        raise NotImplementedError

    def received(self, now: float, key: Key, answer: Answer) -> Sends:
        """A member has answered."""
        raise NotImplementedError

    def ask(self, members: Iterable[Key]) -> Sends:
        """Ask those who were not asked."""
        sends = [self.send(key) for key in members if key not in self.asked]
        self.asked.update(send.key for send in sends)
        return sends

    def lost(self, now: float, key: Key) -> None:
        """A message had no answer in time, or could not be sent."""
        if key in self.asked:
            self.again[key] = now + RESEND_S * (0.5 + self.rng.random())

    def resend(self, now: float) -> Sends:
        """The lost messages whose time has come."""
        due = [key for key, when in self.again.items() if when <= now]
        for key in due:
            del self.again[key]
        return [self.send(key) for key in due if key in self.asked]

    def adopt(self, decided: Decided) -> bool:
        """Take over a newer decided membership; False where it is none."""
        if decided.epoch <= self.decided.epoch:
            return False
        self.decided = decided
        return True


class Round(Asking):
    """One change of the register, tried until it is committed or the deadline has come.

    `received`, `lost` and `tick` give the messages to send; `result` tells when it is over: OK with `value`
    and `answer`, UNREACHABLE, or CONTENDED. Without an OK the change may be in force or not.
    """

    def __init__(
        self,
        proposer: tuple[str, int],
        decided: Decided,
        change: Change,
        deadline: float,
        rng: Random,
        counter: int = 0,
    ) -> None:
        super().__init__(decided, deadline, rng)
        self.proposer = proposer
        self.change = change
        self.answer: Any = None
        self.counter = counter
        self.tries = 0
        self.phase = Phase.PREPARE
        self.ballot = NO_BALLOT
        self.promises: dict[Key, tuple[Ballot, MeshState | None]] = {}
        self.accepts: set[Key] = set()
        self.refused: dict[Key, bool] = {}  # and whether by a higher ballot
        self.proposal: MeshState | None = None
        self.fresh = False  # the proposal names a text that its base did not

    def start(self) -> Sends:
        """Begin, or begin again, with a higher ballot."""
        self.tries += 1
        self.counter += 1
        self.ballot = Ballot(self.counter, *self.proposer)
        self.phase, self.wake = Phase.PREPARE, self.deadline
        self.quorums = Quorums([self.decided.members])
        self.promises, self.accepts, self.refused = {}, set(), {}
        self.asked, self.again = set(), {}
        return self.ask(self.quorums.members())

    def send(self, key: Key) -> Send:
        """What a member is asked now."""
        if self.phase is Phase.ACCEPT and self.proposal is not None:
            return Send(key, Accept(key[1], self.decided, self.ballot, self.proposal), self.fresh)
        return Send(key, Prepare(key[1], self.decided, self.ballot))

    def tick(self, now: float) -> Sends:
        """Time has passed."""
        if self.result is not None:
            return []
        if now >= self.deadline:
            self.result = Result.CONTENDED if any(self.refused.values()) else Result.UNREACHABLE
            return []
        if self.phase is Phase.PAUSE:
            return self.start() if now >= self.wake else []
        return self.resend(now)

    def received(self, now: float, key: Key, answer: Answer) -> Sends:
        """A member has answered."""
        if self.result is not None:
            return []
        if self.adopt(answer.decided):
            return self.start()
        if isinstance(answer, NewerMembership):  # it is known by now: ask again under it
            self.lost(now, key)
            return []
        if isinstance(answer, OtherDisk):
            return self._refused(now, key, by_ballot=False)
        if isinstance(answer, Current) or answer.ballot != self.ballot or self.phase is Phase.PAUSE:
            return []  # of an earlier try
        return self._vote(now, key, answer)

    def _vote(self, now: float, key: Key, answer: Promised | Accepted | Rejected | TextMissing) -> Sends:
        if isinstance(answer, Rejected):
            self.counter = max(self.counter, answer.promised.counter)
            return self._refused(now, key, by_ballot=True)
        if isinstance(answer, Promised) and self.phase is Phase.PREPARE:
            self.promises[key] = answer.accepted, answer.state
            return self._cover()
        if isinstance(answer, TextMissing) and self.phase is Phase.ACCEPT:
            return [self.send(key)._replace(with_text=True, text_missing=True)]
        if isinstance(answer, Accepted) and self.phase is Phase.ACCEPT:
            self.accepts.add(key)
            if self.quorums.covered(self.accepts):
                self._committed()
        return []

    def _refused(self, now: float, key: Key, by_ballot: bool) -> Sends:
        """One member says no: go on while the others may be enough, else pause and begin again."""
        self.refused[key] = by_ballot
        left = set(self.quorums.members()) - set(self.refused)
        if self.phase is not Phase.PAUSE and not self.quorums.covered(left):
            doublings = min(self.tries - 1, MAX_DOUBLINGS)
            pause = BACKOFF_S * (1 << doublings) * (0.5 + self.rng.random())
            self.phase, self.wake, self.again = Phase.PAUSE, now + pause, {}
        return []

    def _cover(self) -> Sends:
        """Once every membership in question is covered by promises, have the change accepted."""
        sends: Sends = []
        while self.quorums.covered(self.promises):
            found = max(self.promises.values(), key=lambda promise: promise[0])[1]
            base = found or initial(self.decided.members)
            if self.quorums.add(base.members):
                sends += self.ask(self.quorums.members())
                continue
            made, self.answer = self.change(base)
            self.proposal = made or base
            if self.quorums.add(self.proposal.members):
                sends += self.ask(self.quorums.members())
                continue
            self.fresh = self.proposal.digest != base.digest
            self.phase, self.asked, self.again = Phase.ACCEPT, set(), {}
            return self.ask(self.quorums.members())
        return sends

    def _committed(self) -> None:
        """Majorities have accepted: the value is in force, and its membership decided."""
        assert self.proposal is not None
        self.result, self.value = Result.OK, self.proposal
        self.adopt(Decided(self.proposal.epoch, self.proposal.members))


class QuorumRead(Asking):
    """A read: OK with `value` where majorities tell of one acceptance; UNSURE wants a round instead."""

    def __init__(self, decided: Decided, deadline: float, rng: Random) -> None:
        super().__init__(decided, deadline, rng)
        self.told: dict[Key, tuple[Ballot, MeshState | None]] = {}

    def start(self) -> Sends:
        """Begin, or begin again."""
        self.quorums, self.told = Quorums([self.decided.members]), {}
        self.asked, self.again = set(), {}
        return self.ask(self.quorums.members())

    def send(self, key: Key) -> Send:
        """What a member is asked."""
        return Send(key, Read(key[1], self.decided))

    def tick(self, now: float) -> Sends:
        """Time has passed."""
        if self.result is not None:
            return []
        if self.quorums.covered(self.told) and now >= self.wake:
            self.result = Result.UNSURE
        elif now >= self.deadline:
            self.result = Result.UNREACHABLE
        return [] if self.result is not None else self.resend(now)

    def received(self, now: float, key: Key, answer: Answer) -> Sends:
        """A member has answered."""
        if self.result is not None:
            return []
        if self.adopt(answer.decided):
            return self.start()
        if isinstance(answer, NewerMembership):
            self.lost(now, key)
        if not isinstance(answer, Current):
            return []
        self.told[key] = answer.accepted, answer.state
        return self._judge(now)

    def _judge(self, now: float) -> Sends:
        """Look for the same acceptance in majorities of each membership in question."""
        highest, found = max(self.told.values(), key=lambda told: told[0])
        value = found or initial(self.decided.members)
        sends = self.ask(self.quorums.members()) if self.quorums.add(value.members) else []
        if self.quorums.covered(key for key, (accepted, _) in self.told.items() if accepted == highest):
            self.result, self.value = Result.OK, value
            self.adopt(Decided(value.epoch, value.members))
        elif self.quorums.covered(self.told) and self.wake >= self.deadline:
            self.wake = min(now + STRAGGLERS_S, self.deadline)
            if len(self.told) == len(self.quorums.members()):
                self.result = Result.UNSURE
        return sends
