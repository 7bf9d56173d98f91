"""Reads of the register, without I/O: the value that a quorum has accepted, or that a write has to settle.

Theory of operation. A read asks the members what they have accepted last. If a quorum, as in a write
(`register`), reports the value under the highest number, it is committed. Different answers are no proof: the
value may still be lost or win, so a write has to settle which one is current.
"""

from __future__ import annotations

from random import Random

from honeywharf.control.mesh_state import MemberId, initial_state
from honeywharf.control.messages import Answer, CurrentValue, DecidedMembership, NewerMembership, Read
from honeywharf.control.quorum import Quorums
from honeywharf.control.register import (
    AcceptedValue,
    OutgoingRequest,
    OutgoingRequests,
    QuorumOperation,
    QuorumResult,
)

STRAGGLER_WAIT_S = 0.02  # A read waits this long for more answers before it is inconclusive.


class QuorumRead(QuorumOperation):
    """A read of the register.

    `result` is OK, with `value`, if a quorum has accepted the same value; INCONCLUSIVE if a write is needed
    to settle which value is current; else UNREACHABLE.
    """

    def __init__(self, decided: DecidedMembership, deadline: float, rng: Random) -> None:
        super().__init__(decided, deadline, rng)
        self.answers: dict[MemberId, AcceptedValue] = {}

    def start(self) -> OutgoingRequests:
        """Starts the read, or restarts it; returns the requests to send."""
        self.quorums, self.answers = Quorums([self.decided.members]), {}
        self.contacted, self.resend_at = set(), {}
        return self.contact(self.quorums.members())

    def request_for(self, member: MemberId) -> OutgoingRequest:
        """Returns the request for a member."""
        return OutgoingRequest(member, Read(member.disk, self.decided))

    def tick(self, now: float) -> OutgoingRequests:
        """Does what is due at `now`; returns the requests to send."""
        if self.result is not None:
            return []
        if self.quorums.covered(self.answers) and now >= self.wake_at:
            self.result = QuorumResult.INCONCLUSIVE
        elif now >= self.deadline:
            self.result = QuorumResult.UNREACHABLE
        return [] if self.result is not None else self.resend_due(now)

    def received(self, now: float, member: MemberId, answer: Answer) -> OutgoingRequests:
        """Processes a member's answer; returns the requests to send."""
        if self.result is not None:
            return []
        if self.adopt(answer.decided):
            return self.start()
        if isinstance(answer, NewerMembership):
            self.schedule_resend(now, member)
        if not isinstance(answer, CurrentValue):
            return []
        self.answers[member] = AcceptedValue(answer.accepted, answer.state)
        return self._evaluate(now)

    def _evaluate(self, now: float) -> OutgoingRequests:
        """Checks whether a quorum has accepted the value with the highest number."""
        highest, newest = max(self.answers.values(), key=lambda answer: answer.number)
        value = newest or initial_state(self.decided.members)
        requests = self.contact(self.quorums.members()) if self.quorums.add(value.members) else []
        if self.quorums.covered(
            member for member, answer in self.answers.items() if answer.number == highest
        ):
            self.result, self.value = QuorumResult.OK, value
            self.adopt(DecidedMembership(value.epoch, value.members))
        elif self.quorums.covered(self.answers) and self.wake_at >= self.deadline:
            self.wake_at = min(now + STRAGGLER_WAIT_S, self.deadline)
            if len(self.answers) == len(self.quorums.members()):
                self.result = QuorumResult.INCONCLUSIVE
        return requests
