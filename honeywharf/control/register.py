"""Writes of the register: one value, kept by a majority of a membership that may itself change.

Theory of operation (after CASPaxos: Denis Rystsov, "CASPaxos: Replicated State Machines without logs", 2018).
A write asks the members to promise a proposal number, takes the value that was accepted under the highest
number, applies its change, and has the result accepted. In both phases it needs majorities of every
membership that it has seen: the decided one that it knows, the one in the value that it found, and the one in
the value that it proposes. A value that such majorities have accepted is committed, and its membership is
decided: from then on that membership alone is enough. A proposer that knows only an older membership meets,
in any majority of it, a member that has accepted a value with the newer membership, or that knows it as
decided and reports it. `docs/design/control-state.md` has the full argument.

A machine that a change makes a member accepts the value that admits it before any member is asked to: it has
that value and its configuration's text on disk before its vote counts, however often the configuration
changes meanwhile. A machine that does not accept in time is not admitted, and nothing has changed.

A member is an address with a disk. A machine whose disk was lost gets another disk name, and does not answer
for the old one. There is no I/O and no clock in this module: times are arguments, and messages to send are
return values.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from enum import Enum
from random import Random
from typing import Any, NamedTuple

from honeywharf.control.mesh_state import Change, MemberId, MeshState, initial_state, member_ids
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
    Rejected,
    Request,
    TextMissing,
)
from honeywharf.control.quorum import Quorums

MEAN_RESEND_DELAY_S = 0.06  # The mean time from the loss of a message to its resend.
MEAN_FIRST_BACKOFF_S = 0.02  # The mean of the first backoff after a rejection.
MAX_BACKOFF_DOUBLINGS = 4


class QuorumResult(Enum):
    """The result of a write or a read. The values are shown to operators."""

    OK = "ok"
    INCONCLUSIVE = "unsure"  # A read found different accepted values; a write has to settle which is current.
    UNREACHABLE = "unreachable"  # No majority answered in time.
    NOT_JOINED = "not joined"  # A machine that the change admits has not accepted it; nothing has changed.
    YIELDED = "yielded"  # The write has ended between two attempts, as its proposer wanted.
    CONTENDED = "contended"  # Other proposers used higher numbers in every attempt.


class Phase(Enum):
    """The phase of a write."""

    PREPARE = "prepare"
    ADMIT = "admit"  # The machines that the change admits are asked to accept, before any member.
    ACCEPT = "accept"
    BACKOFF = "backoff"  # The write waits between two attempts.


ACCEPT_PHASES = (Phase.ADMIT, Phase.ACCEPT)


class Proposer(NamedTuple):
    """The process that makes a change: its address, and a number drawn at the start of the process."""

    address: str
    incarnation: int


class AcceptedValue(NamedTuple):
    """The value that a member reports as accepted last; `state` is None if it has accepted nothing."""

    number: ProposalNumber
    state: MeshState | None


class OutgoingRequest(NamedTuple):
    """A request to a member.

    With `with_text` the configuration's text is sent along if it is short or the member has reported it
    missing (`text_missing`).
    """

    to: MemberId
    request: Request
    with_text: bool = False
    text_missing: bool = False


OutgoingRequests = list[OutgoingRequest]


class QuorumOperation:
    """The common part of a write and a read: contacted members, lost messages and the time of the next step.

    The caller sends the requests that `start`, `received` and `tick` return, calls `tick` no later than
    `due_at`, and stops once `result` is set. Times are seconds on the caller's steady clock.
    """

    def __init__(self, decided: DecidedMembership, deadline: float, rng: Random) -> None:
        self.decided = decided
        self.deadline = deadline
        self.rng = rng
        self.quorums = Quorums([decided.members])
        self.result: QuorumResult | None = None
        self.value: MeshState | None = None  # The committed state, set with the result OK.
        self.resend_at: dict[MemberId, float] = {}  # When a lost message is sent to its member again.
        self.wake_at = deadline  # When a step other than a resend is due.
        self.contacted: set[MemberId] = set()
        self.timer: Any = None  # The caller stores its timer for `tick` here.
        self.wake: Callable[[], None] = lambda: None  # The caller stores a function that calls `tick` here.

    @property
    def due_at(self) -> float:
        """Returns the time by which `tick` has to be called."""
        return min([self.wake_at, self.deadline, *self.resend_at.values()])

    def request_for(self, member: MemberId) -> OutgoingRequest:
        """Returns the request for a member in the current phase."""
        raise NotImplementedError

    def start(self) -> OutgoingRequests:
        """Starts the operation, or restarts it; returns the requests to send."""
        raise NotImplementedError

    def tick(self, now: float) -> OutgoingRequests:
        """Does what is due at `now`; returns the requests to send."""
        raise NotImplementedError

    def received(self, now: float, member: MemberId, answer: Answer) -> OutgoingRequests:
        """Processes a member's answer; returns the requests to send."""
        raise NotImplementedError

    def contact(self, members: Iterable[MemberId]) -> OutgoingRequests:
        """Returns the requests for members that were not contacted yet, and marks them as contacted."""
        requests = [self.request_for(member) for member in members if member not in self.contacted]
        self.contacted.update(request.to for request in requests)
        return requests

    def request_lost(self, now: float, request: OutgoingRequest) -> None:
        """Records that a request was not answered in time or could not be sent."""
        self.schedule_resend(now, request.to)

    def schedule_resend(self, now: float, member: MemberId) -> None:
        """Schedules a resend of the current request for a member."""
        if member in self.contacted:
            self.resend_at[member] = now + MEAN_RESEND_DELAY_S * (0.5 + self.rng.random())

    def resend_due(self, now: float) -> OutgoingRequests:
        """Returns the requests whose resend is due."""
        due = [member for member, at in self.resend_at.items() if at <= now]
        for member in due:
            del self.resend_at[member]
        return [self.request_for(member) for member in due if member in self.contacted]

    def adopt(self, decided: DecidedMembership) -> bool:
        """Adopts a decided membership if it is newer; returns whether it was."""
        if decided.epoch <= self.decided.epoch:
            return False
        self.decided = decided
        return True


def newcomers(base: MeshState, proposal: MeshState) -> tuple[MemberId, ...]:
    """Returns the members of a proposal that its base does not have."""
    members = member_ids(base.members)
    return tuple(member for member in member_ids(proposal.members) if member not in members)


class QuorumWrite(QuorumOperation):
    """One change of the register, attempted until it is committed or its deadline has passed.

    `result` is OK, with `value` (the committed state) and `answer` (the change's answer), UNREACHABLE,
    CONTENDED, NOT_JOINED or YIELDED. Without OK the change may or may not be in force; with NOT_JOINED it is
    not.
    """

    def __init__(
        self,
        proposer: Proposer,
        decided: DecidedMembership,
        change: Change,
        deadline: float,
        rng: Random,
        counter: int = 0,
        silent: Iterable[MemberId] = (),
    ) -> None:
        """`counter` belongs to the highest proposal number known; the first attempt uses the next one.

        `silent` are members that are expected not to answer; an attempt that needs them starts again.
        """
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
        self.rejections: dict[MemberId, bool] = {}  # The value is True for a rejection by a higher number.
        self.silent = set(silent)  # Members that did not answer last time.
        self.held_until = 0.0  # No further attempt is started before this time.
        self.yields = False  # Whether the write ends instead of another attempt.
        self.proposal: MeshState | None = None
        self.newcomers: tuple[MemberId, ...] = ()  # The machines that the proposal admits.
        self.introduces_text = False  # Whether the proposal names a configuration that its base did not name.

    def start(self) -> OutgoingRequests:
        """Starts an attempt with a higher number; returns the requests to send."""
        self.attempts += 1
        self.counter += 1
        self.number = ProposalNumber(self.counter, *self.proposer)
        self.phase, self.wake_at = Phase.PREPARE, self.deadline
        self.quorums = Quorums([self.decided.members])
        self.promises, self.accepted_by, self.rejections = {}, set(), {}
        self.contacted, self.resend_at = set(), {}
        return self.contact(self.quorums.members())

    def request_for(self, member: MemberId) -> OutgoingRequest:
        """Returns the request for a member in the current phase."""
        if self.phase in ACCEPT_PHASES and self.proposal is not None:
            accept = Accept(member.disk, self.decided, self.number, self.proposal)
            return OutgoingRequest(member, accept, self.introduces_text)
        return OutgoingRequest(member, Prepare(member.disk, self.decided, self.number))

    def request_lost(self, now: float, request: OutgoingRequest) -> None:
        """Records that a request was not answered; without a newcomer's acceptance the write ends."""
        if self._admits(request.to) and isinstance(request.request, Accept):
            if request.request.number == self.number:
                self.result = QuorumResult.NOT_JOINED
            return
        self.silent.add(request.to)
        self.schedule_resend(now, request.to)
        if self.rejections:
            self._back_off_if_hopeless(now)

    def _admits(self, member: MemberId) -> bool:
        """Returns whether the write waits for a machine to accept its own admission."""
        return self.phase is Phase.ADMIT and member in self.newcomers

    def tick(self, now: float) -> OutgoingRequests:
        """Does what is due at `now`; returns the requests to send."""
        if self.result is not None:
            return []
        if now >= self.deadline:
            is_contended = any(self.rejections.values())
            self.result = QuorumResult.CONTENDED if is_contended else QuorumResult.UNREACHABLE
            return []
        if self.phase is Phase.BACKOFF and self.yields:
            self.result = QuorumResult.YIELDED
            return []
        if self.phase is Phase.BACKOFF:
            return self.start() if now >= self.wake_at else []
        return self.resend_due(now)

    def received(self, now: float, member: MemberId, answer: Answer) -> OutgoingRequests:
        """Processes a member's answer; returns the requests to send."""
        if self.result is not None:
            return []
        self.silent.discard(member)
        if self.adopt(answer.decided):
            return self.start()
        if isinstance(answer, NewerMembership):
            # The newer membership is adopted by now; the request is sent again under it.
            self.schedule_resend(now, member)
            return []
        if isinstance(answer, DiskMismatch):
            return self._rejected(now, member, by_number=False)
        if isinstance(answer, CurrentValue):
            return []  # A write gets no such answer.
        if answer.number != self.number or self.phase is Phase.BACKOFF:
            return []  # The answer belongs to an earlier attempt.
        return self._count(now, member, answer)

    def _count(
        self, now: float, member: MemberId, answer: Promised | Accepted | Rejected | TextMissing
    ) -> OutgoingRequests:
        """Counts an answer to the current attempt."""
        if isinstance(answer, Rejected):
            self.counter = max(self.counter, answer.promised.counter)
            return self._rejected(now, member, by_number=True)
        if isinstance(answer, Promised) and self.phase is Phase.PREPARE:
            self.promises[member] = AcceptedValue(answer.accepted, answer.state)
            return self._propose_when_promised()
        if isinstance(answer, TextMissing) and self.phase in ACCEPT_PHASES:
            return [self.request_for(member)._replace(with_text=True, text_missing=True)]
        if isinstance(answer, Accepted) and self.phase in ACCEPT_PHASES:
            self.accepted_by.add(member)
            return self._accepted()
        return []

    def _accepted(self) -> OutgoingRequests:
        """Goes on to the members once all newcomers have accepted, and commits once a quorum has."""
        if self.phase is Phase.ADMIT:
            if not self.accepted_by.issuperset(self.newcomers):
                return []
            self.phase = Phase.ACCEPT
            return self.contact(self.quorums.members())
        if self.quorums.covered(self.accepted_by):
            self._commit()
        return []

    def _rejected(self, now: float, member: MemberId, by_number: bool) -> OutgoingRequests:
        """Counts a rejection; a newcomer that does not vote with its disk ends the write."""
        if self._admits(member) and not by_number:
            self.result = QuorumResult.NOT_JOINED  # Its disk is gone, or it declines.
            return []
        self.rejections[member] = by_number
        self._back_off_if_hopeless(now)
        return []

    def _back_off_if_hopeless(self, now: float) -> None:
        """Starts a backoff after a rejection if the members that may still answer are no quorum.

        Silent members are not waited for: the next attempt asks them too.
        """
        remaining = set(self.quorums.members()) - set(self.rejections) - self.silent
        can_succeed = self.quorums.covered(remaining) and not any(map(self._admits, self.rejections))
        if self.phase is Phase.BACKOFF or can_succeed:
            return
        doublings = min(self.attempts - 1, MAX_BACKOFF_DOUBLINGS)
        backoff = MEAN_FIRST_BACKOFF_S * (1 << doublings) * (0.5 + self.rng.random())
        self.phase, self.resend_at = Phase.BACKOFF, {}
        self.wake_at = now if self.yields else max(now + backoff, self.held_until)

    def _propose_when_promised(self) -> OutgoingRequests:
        """Applies the change and starts the accept phase once there are promises from a quorum."""
        requests: OutgoingRequests = []
        while self.quorums.covered(self.promises):
            newest = max(self.promises.values(), key=lambda promise: promise.number).state
            base = newest or initial_state(self.decided.members)
            if self.quorums.add(base.members):
                requests += self.contact(self.quorums.members())
                continue
            changed, self.answer = self.change(base)
            self.proposal = changed or base
            if self.quorums.add(self.proposal.members):
                requests += self.contact(self.quorums.members())
                continue
            self.introduces_text = self.proposal.digest != base.digest
            self.newcomers = newcomers(base, self.proposal)
            self.phase = Phase.ADMIT if self.newcomers else Phase.ACCEPT
            self.contacted, self.resend_at = set(), {}
            return self.contact(self.newcomers or self.quorums.members())
        return requests

    def _commit(self) -> None:
        """Ends the write as committed: the proposal is in force, and its membership is decided."""
        assert self.proposal is not None
        self.result, self.value = QuorumResult.OK, self.proposal
        self.adopt(DecidedMembership(self.proposal.epoch, self.proposal.members))
