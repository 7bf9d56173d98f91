"""Changes and reads of the register: one value, kept by a majority of a membership that may itself change.

Theory of operation (after CASPaxos: Denis Rystsov, "CASPaxos: Replicated State Machines without logs",
2018). A write asks the members to promise a proposal number, takes the value that was accepted under the
highest one, applies its change, and has the result accepted. It needs majorities, in both phases, of every
membership that it has seen: the one known as decided, the one in the value it found, and the one that it
puts in. What such majorities have accepted is committed, and its membership decided: from then on that
membership alone is enough. Whoever knows an older one meets, in any majority of it, a member that accepted
a value with the newer one, or knows it as decided and says so. `docs/design/control-state.md` has the
argument in full.

A member is an address with a disk. A machine whose disk was lost has another name, and does not answer in
place of the old one. No I/O and no clock here: times come as arguments, messages go out as results.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum
from random import Random
from typing import Any, NamedTuple

from honeywharf.control.mesh_state import Change, MemberId, MeshState, initial_state
from honeywharf.control.messages import (
    NO_PROPOSAL,
    Accept,
    Accepted,
    Answer,
    CurrentValue,
    DecidedMembership,
    DiskMismatch,
    NewerMembership,
    Prepare,
    Promised,
    ProposalNumber,
    Read,
    Rejected,
    Request,
    TextMissing,
)
from honeywharf.control.quorum import Quorums

RESEND_S = 0.06  # from a message's loss to its resend, on average
STRAGGLERS_S = 0.02  # that a read waits for more answers before it is inconclusive
BACKOFF_S = 0.02  # mean of the first pause after a rejection
MAX_BACKOFF_DOUBLINGS = 4


class QuorumResult(Enum):
    """How a write or a read ended. The values are shown to operators."""

    OK = "ok"
    INCONCLUSIVE = "unsure"  # a read found more than one acceptance: it must be written back first
    UNREACHABLE = "unreachable"  # no majority in time
    CONTENDED = "contended"  # other proposers went before each time


class Phase(Enum):
    """What a write is doing."""

    PREPARE = "prepare"
    ACCEPT = "accept"
    BACKOFF = "backoff"  # between attempts


class Proposer(NamedTuple):
    """Who makes a change: an address, and a number drawn at the start of its process."""

    address: str
    incarnation: int


class AcceptedValue(NamedTuple):
    """What a member told that it accepted last; `state` is None where it has accepted nothing."""

    number: ProposalNumber
    state: MeshState | None


class OutgoingRequest(NamedTuple):
    """A request to a member.

    `with_text`: the configuration's text goes with it, where that is short or the member has asked for it
    (`text_missing`).
    """

    to: MemberId
    request: Request
    with_text: bool = False
    text_missing: bool = False


OutgoingRequests = list[OutgoingRequest]


class QuorumOperation:
    """What a write and a read share: who was contacted, whose message was lost, when something is due.

    The caller sends what `start`, `received` and `tick` return, calls `tick` by `due_at`, and stops once
    `result` is set. Times are seconds on the caller's steady clock.
    """

    def __init__(self, decided: DecidedMembership, deadline: float, rng: Random) -> None:
        self.decided = decided
        self.deadline = deadline
        self.rng = rng
        self.quorums = Quorums([decided.members])
        self.result: QuorumResult | None = None
        self.value: MeshState | None = None  # of an OK
        self.resend_at: dict[MemberId, float] = {}  # whose message was lost, and when it is sent again
        self.wake_at = deadline  # when something else is due
        self.contacted: set[MemberId] = set()
        self.timer: Any = None  # the caller's

    @property
    def due_at(self) -> float:
        """When `tick` has something to do at the latest."""
        return min([self.wake_at, self.deadline, *self.resend_at.values()])

    def request_for(self, member: MemberId) -> OutgoingRequest:
        """What a member is asked now."""
        raise NotImplementedError

    def start(self) -> OutgoingRequests:
        """Begin, or begin again."""
        raise NotImplementedError

    def tick(self, now: float) -> OutgoingRequests:
        """Time has passed."""
        raise NotImplementedError

    def received(self, now: float, member: MemberId, answer: Answer) -> OutgoingRequests:
        """A member has answered."""
        raise NotImplementedError

    def contact(self, members: Iterable[MemberId]) -> OutgoingRequests:
        """Ask those who were not contacted yet."""
        requests = [self.request_for(member) for member in members if member not in self.contacted]
        self.contacted.update(request.to for request in requests)
        return requests

    def message_lost(self, now: float, member: MemberId) -> None:
        """A message had no answer in time, or could not be sent."""
        if member in self.contacted:
            self.resend_at[member] = now + RESEND_S * (0.5 + self.rng.random())

    def resend_due(self, now: float) -> OutgoingRequests:
        """The lost messages whose time has come."""
        due = [member for member, when in self.resend_at.items() if when <= now]
        for member in due:
            del self.resend_at[member]
        return [self.request_for(member) for member in due if member in self.contacted]

    def adopt(self, decided: DecidedMembership) -> bool:
        """Take over a newer decided membership; False where it is none."""
        if decided.epoch <= self.decided.epoch:
            return False
        self.decided = decided
        return True


class QuorumWrite(QuorumOperation):
    """One change of the register, attempted until it is committed or the deadline has come.

    `result` is OK, with `value` (the committed state) and `answer` (the change's), UNREACHABLE or CONTENDED.
    Without an OK the change may be in force or not.
    """

    def __init__(
        self,
        proposer: Proposer,
        decided: DecidedMembership,
        change: Change,
        deadline: float,
        rng: Random,
        counter: int = 0,
    ) -> None:
        """`counter`: of the highest proposal number known; the first attempt's is one more."""
        super().__init__(decided, deadline, rng)
        self.proposer = proposer
        self.change = change
        self.answer: Any = None
        self.counter = counter
        self.attempts = 0
        self.phase = Phase.PREPARE
        self.number = NO_PROPOSAL
        self.promises: dict[MemberId, AcceptedValue] = {}
        self.accepted_by: set[MemberId] = set()
        self.rejections: dict[MemberId, bool] = {}  # and whether by a higher number
        self.proposal: MeshState | None = None
        self.introduces_text = False  # the proposal names a configuration that its base did not

    def start(self) -> OutgoingRequests:
        """Begin, or begin again, with a higher number."""
        self.attempts += 1
        self.counter += 1
        self.number = ProposalNumber(self.counter, *self.proposer)
        self.phase, self.wake_at = Phase.PREPARE, self.deadline
        self.quorums = Quorums([self.decided.members])
        self.promises, self.accepted_by, self.rejections = {}, set(), {}
        self.contacted, self.resend_at = set(), {}
        return self.contact(self.quorums.members())

    def request_for(self, member: MemberId) -> OutgoingRequest:
        """What a member is asked now."""
        if self.phase is Phase.ACCEPT and self.proposal is not None:
            accept = Accept(member.disk, self.decided, self.number, self.proposal)
            return OutgoingRequest(member, accept, self.introduces_text)
        return OutgoingRequest(member, Prepare(member.disk, self.decided, self.number))

    def tick(self, now: float) -> OutgoingRequests:
        """Time has passed."""
        if self.result is not None:
            return []
        if now >= self.deadline:
            is_contended = any(self.rejections.values())
            self.result = QuorumResult.CONTENDED if is_contended else QuorumResult.UNREACHABLE
            return []
        if self.phase is Phase.BACKOFF:
            return self.start() if now >= self.wake_at else []
        return self.resend_due(now)

    def received(self, now: float, member: MemberId, answer: Answer) -> OutgoingRequests:
        """A member has answered."""
        if self.result is not None:
            return []
        if self.adopt(answer.decided):
            return self.start()
        if isinstance(answer, NewerMembership):  # it is known by now: ask again under it
            self.message_lost(now, member)
            return []
        if isinstance(answer, DiskMismatch):
            return self._rejected(now, member, by_number=False)
        if isinstance(answer, CurrentValue):
            return []  # no answer to a write
        if answer.number != self.number or self.phase is Phase.BACKOFF:
            return []  # of an earlier attempt
        return self._count(now, member, answer)

    def _count(
        self, now: float, member: MemberId, answer: Promised | Accepted | Rejected | TextMissing
    ) -> OutgoingRequests:
        """Count an answer to the present attempt."""
        if isinstance(answer, Rejected):
            self.counter = max(self.counter, answer.promised.counter)
            return self._rejected(now, member, by_number=True)
        if isinstance(answer, Promised) and self.phase is Phase.PREPARE:
            self.promises[member] = AcceptedValue(answer.accepted, answer.state)
            return self._propose_when_promised()
        if isinstance(answer, TextMissing) and self.phase is Phase.ACCEPT:
            return [self.request_for(member)._replace(with_text=True, text_missing=True)]
        if isinstance(answer, Accepted) and self.phase is Phase.ACCEPT:
            self.accepted_by.add(member)
            if self.quorums.covered(self.accepted_by):
                self._commit()
        return []

    def _rejected(self, now: float, member: MemberId, by_number: bool) -> OutgoingRequests:
        """One member rejects: go on while the others may be enough, else back off and begin again."""
        self.rejections[member] = by_number
        left = set(self.quorums.members()) - set(self.rejections)
        if self.phase is not Phase.BACKOFF and not self.quorums.covered(left):
            doublings = min(self.attempts - 1, MAX_BACKOFF_DOUBLINGS)
            backoff = BACKOFF_S * (1 << doublings) * (0.5 + self.rng.random())
            self.phase, self.wake_at, self.resend_at = Phase.BACKOFF, now + backoff, {}
        return []

    def _propose_when_promised(self) -> OutgoingRequests:
        """Once every membership in question is covered by promises, have the change accepted."""
        requests: OutgoingRequests = []
        while self.quorums.covered(self.promises):
            found = max(self.promises.values(), key=lambda promise: promise.number).state
            base = found or initial_state(self.decided.members)
            if self.quorums.add(base.members):
                requests += self.contact(self.quorums.members())
                continue
            made, self.answer = self.change(base)
            self.proposal = made or base
            if self.quorums.add(self.proposal.members):
                requests += self.contact(self.quorums.members())
                continue
            self.introduces_text = self.proposal.digest != base.digest
            self.phase, self.contacted, self.resend_at = Phase.ACCEPT, set(), {}
            return self.contact(self.quorums.members())
        return requests

    def _commit(self) -> None:
        """Majorities have accepted: the value is in force, and its membership decided."""
        assert self.proposal is not None
        self.result, self.value = QuorumResult.OK, self.proposal
        self.adopt(DecidedMembership(self.proposal.epoch, self.proposal.members))


class QuorumRead(QuorumOperation):
    """A read: OK with `value` where majorities tell of one acceptance; INCONCLUSIVE wants a write instead."""

    def __init__(self, decided: DecidedMembership, deadline: float, rng: Random) -> None:
        super().__init__(decided, deadline, rng)
        self.answers: dict[MemberId, AcceptedValue] = {}

    def start(self) -> OutgoingRequests:
        """Begin, or begin again."""
        self.quorums, self.answers = Quorums([self.decided.members]), {}
        self.contacted, self.resend_at = set(), {}
        return self.contact(self.quorums.members())

    def request_for(self, member: MemberId) -> OutgoingRequest:
        """What a member is asked."""
        return OutgoingRequest(member, Read(member.disk, self.decided))

    def tick(self, now: float) -> OutgoingRequests:
        """Time has passed."""
        if self.result is not None:
            return []
        if self.quorums.covered(self.answers) and now >= self.wake_at:
            self.result = QuorumResult.INCONCLUSIVE
        elif now >= self.deadline:
            self.result = QuorumResult.UNREACHABLE
        return [] if self.result is not None else self.resend_due(now)

    def received(self, now: float, member: MemberId, answer: Answer) -> OutgoingRequests:
        """A member has answered."""
        if self.result is not None:
            return []
        if self.adopt(answer.decided):
            return self.start()
        if isinstance(answer, NewerMembership):
            self.message_lost(now, member)
        if not isinstance(answer, CurrentValue):
            return []
        self.answers[member] = AcceptedValue(answer.accepted, answer.state)
        return self._evaluate(now)

    def _evaluate(self, now: float) -> OutgoingRequests:
        """Look for the same acceptance in majorities of each membership in question."""
        highest, found = max(self.answers.values(), key=lambda answer: answer.number)
        value = found or initial_state(self.decided.members)
        requests = self.contact(self.quorums.members()) if self.quorums.add(value.members) else []
        if self.quorums.covered(
            member for member, answer in self.answers.items() if answer.number == highest
        ):
            self.result, self.value = QuorumResult.OK, value
            self.adopt(DecidedMembership(value.epoch, value.members))
        elif self.quorums.covered(self.answers) and self.wake_at >= self.deadline:
            self.wake_at = min(now + STRAGGLERS_S, self.deadline)
            if len(self.answers) == len(self.quorums.members()):
                self.result = QuorumResult.INCONCLUSIVE
        return requests
