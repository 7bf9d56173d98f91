"""An operator's order to begin or end an evacuation: applied only while its caller still waits for it.

Theory of operation. Evacuation orders carry no version, so an order that is read late (from the socket of a
process that was stopped, or after its packets were delayed) can't be told from a new one by its text. Three
steps together keep it from undoing a newer order of the same operator:

1. The fence is taken: the revision of a state that this node knows to be committed.
2. The caller is confirmed: an interim response is acknowledged by its host, so it had not given the call up
   when the response arrived, which was after step 1. An operator gives a newer order only after it has given
   the older one up and closed its connection.
3. The order is submitted with the fence. A state with a higher revision supersedes it, whenever it is
   proposed, now or again after a conflict (`mesh_state.set_evacuation`).

So any newer order of this caller is given after step 2, commits at a higher revision than the fence, and
supersedes this one. An order that was superseded by another change, by its own result in an attempt that was
half done, or because this node knew only an older state, starts again with a newer fence, within its time.
Source: PROTOCOL, "The operator"; RULES, EVAC. `docs/design/late-orders.md` lists all orders.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from honeywharf.control import mesh_state
from honeywharf.control.mesh_state import EvacuationOutcome
from honeywharf.control.register import QuorumResult

if TYPE_CHECKING:
    from honeywharf.control.mesh_state import EvacuationAnswer
    from honeywharf.control.replica import Replica

MAX_ATTEMPTS = 4  # Each sends one interim response; clients accept a few.

ConfirmCaller = Callable[[Callable[[], None]], None]
Done = Callable[[QuorumResult, EvacuationOutcome | None], None]


class EvacuationCall:
    """One order. `done` is called once, within `timeout` seconds, with the outcome if the result is OK.

    `confirm_caller(confirmed)` calls `confirmed` once the caller is known to have waited after that call.
    """

    def __init__(
        self, replica: Replica, zone: str, begin: bool, confirm_caller: ConfirmCaller, timeout: float
    ) -> None:
        self.replica, self.host = replica, replica.host
        self.zone, self.begin, self.confirm_caller = zone, begin, confirm_caller
        self.deadline = self.host.now() + timeout
        self.timer = self.host.after(timeout, self._timed_out)
        self.attempts = 0
        self.is_confirmed = False  # Whether the caller was confirmed in the present attempt.
        self.done: Done | None = None

    def start(self, done: Done) -> None:
        """Applies the order."""
        self.done = done
        self._confirm(self.replica.committed.revision)

    def _confirm(self, fence: int) -> None:
        """Confirms the caller, after the fence is known."""
        self.attempts += 1
        self.is_confirmed = False
        self.confirm_caller(lambda: self._confirmed(fence))

    def _confirmed(self, fence: int) -> None:
        remaining = self.deadline - self.host.now()
        if self.done is None or remaining <= 0:
            return
        self.is_confirmed = True
        change = mesh_state.set_evacuation(self.zone, self.begin, fence)
        if self.attempts == 1:
            self.replica.submit(change, remaining, self._answered)
        else:
            self.replica.changes.submit_with_precedence(change, remaining, self._answered)

    def _answered(self, result: QuorumResult, answer: EvacuationAnswer) -> None:
        if result is not QuorumResult.OK:
            self._finish(result, None)
        elif answer.outcome is not EvacuationOutcome.SUPERSEDED:
            self._finish(result, answer.outcome)
        elif self.attempts < MAX_ATTEMPTS and self.done is not None:
            self.replica.precedence.claim(holds_here=True)  # Until the change is written, or expired.
            self._confirm(answer.revision)
        else:
            self._finish(QuorumResult.CONTENDED, None)

    def _timed_out(self) -> None:
        if not self.is_confirmed:
            step = "start" if self.begin else "complete"
            self.host.log(f"operator: {step} {self.zone} not applied: its caller does not wait for it")
        self._finish(QuorumResult.UNREACHABLE, None)

    def _finish(self, result: QuorumResult, outcome: EvacuationOutcome | None) -> None:
        self.timer.cancel()
        done, self.done = self.done, None
        if done is not None:
            done(result, outcome)
