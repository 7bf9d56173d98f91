"""Extension points of a request's processing, in the order in which a request passes them.

1. Arrival: `Hooks.tracer` begins a trace; `Hooks.request_deduplicator` may keep a request of a known
   idempotency key out of the driver, and later admits it with an observer of its own (`Driver.admit`).
2. Before a send: each observer may add header lines, or delay the attempt until `Driver.release_attempt`.
3. Bodies: the `pipe` of a request or response that is streamed; an observer that `needs_complete_answer`
   gets no pipe.
4. End of an attempt: observers are notified of its single outcome, before the client is answered with it.
5. Answer: observers may add header lines; then the `Hooks.answer_callbacks` are called, also for requests
   that the decision module never saw.
6. Settled: the request is answered and none of its attempts is in flight.

Hooks must not block. Without observers a request costs no more than checks of an empty tuple.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from honeywharf.core.messages import Request, RequestTrace, Response
from honeywharf.core.transport import Caller
from honeywharf.policy import interface as api


class RequestObserver(Protocol):
    """Observes one request from its admission until it is settled."""

    def needs_complete_answer(self) -> bool:
        """Whether answers have to be read to their end before they are passed on."""

    def sending(self, number: int, action: api.Send, now_ms: float) -> bytes | None:
        """Returns header lines for attempt `number` before it is sent, or None to delay it.

        A delayed attempt waits for `Driver.release_attempt`.
        """

    def ended(self, number: int, outcome: api.Outcome, response: Response | None, now_ms: float) -> None:
        """Notes an attempt's single outcome. `response` is given if its head or all of it came."""

    def answered(self, how: str, reason: str, why: api.Why | None, now_ms: float) -> bytes:
        """Returns header lines for the final answer, before it is written or when the client disconnects."""

    def settled(self, now_ms: float) -> None:
        """Notes that the request is answered and no attempt is in flight."""


class Tracer(Protocol):
    """Records traces."""

    def begin(self, request: Request, now_ms: float) -> RequestTrace:
        """Begins the trace of a request that was accepted."""


class RequestDeduplicator(Protocol):
    """Joins requests that have the same idempotency key before they reach the driver."""

    def accept(self, request: Request, caller: Caller, remaining_ms: float) -> bool:
        """Takes a valid request of a keyed class. Returns False if it can't be joined."""

    def knows(self, request: Request) -> bool:
        """Whether the key of a request is known, so that its operation may have run."""

    def client_disconnected(self, request: Request) -> None:
        """Drops a waiting request whose client has disconnected."""

    def fail_all(self) -> None:
        """Fails all waiting requests."""


#: Arguments: class, how the request ended, ms since its arrival, the time now in ms, and its trace.
AnswerCallback = Callable[[str, str, float, float, RequestTrace | None], None]

NO_OBSERVERS: tuple[RequestObserver, ...] = ()


class Hooks:
    """The extensions that are registered with one driver."""

    def __init__(self) -> None:
        self.tracer: Tracer | None = None
        self.request_deduplicator: RequestDeduplicator | None = None
        self.answer_callbacks: list[AnswerCallback] = []
        self.storm_control = False  # whether the decision module gets connection counts and retry groups
        self.new_connections = 0  # client connections since `take_new_connections`
        self.pace: Callable[[float], None] | None = None  # limits the accepted connections a second

    def begin(self, request: Request, now_ms: float) -> None:
        """Begins the trace of an arriving request if there is a tracer."""
        if self.tracer is not None:
            request.trace = self.tracer.begin(request, now_ms)
            if request.waited_ms:
                request.trace.waited("accept", request.read_ms, request.read_ms + request.waited_ms)

    def take_new_connections(self) -> int:
        """Returns the number of client connections since the last call."""
        number, self.new_connections = self.new_connections, 0
        return number

    def answered(
        self,
        request: Request,
        how: str,
        elapsed_ms: float,
        now_ms: float,
        trace: RequestTrace | None,
    ) -> None:
        """Calls all callbacks for a final answer."""
        for callback in self.answer_callbacks:
            callback(request.class_name, how, elapsed_ms, now_ms, trace)

    def answered_without_decision(self, request: Request, how: str, reason: str, now_ms: float) -> None:
        """Ends the trace of a request that the decision module has not seen, before its answer is written."""
        trace = request.trace
        if trace is not None:
            request.trace = None
            request.answer_header_lines = trace.answered(how, reason, None, now_ms)
            trace.settled(now_ms)
        self.answered(request, how, now_ms - request.read_ms, now_ms, trace)
