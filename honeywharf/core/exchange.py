"""A request in the driver's table, its attempts, and the calls of its observers.

Each hook of a single request (`core.hooks`) is called from one place here: before a send, at an attempt's
end, before the answer, and when settled. Actions of the decision module are only passed on to observers.
"""

from __future__ import annotations

from typing import Protocol

from honeywharf.core.hooks import NO_OBSERVERS, RequestObserver
from honeywharf.core.messages import Request, Response
from honeywharf.core.transport import Caller, Timer, UpstreamRequest
from honeywharf.policy import interface as api


class Exchange:
    """A request in the table until it is answered, its attempts have ended and its events are handled."""

    __slots__ = (
        "answered",
        "attempts",
        "caller",
        "deadline_ms",
        "in_flight",
        "observers",
        "queued_events",
        "request",
        "timer",
    )

    def __init__(
        self,
        request: Request,
        caller: Caller,
        deadline_ms: float,
        observers: tuple[RequestObserver, ...],
    ) -> None:
        self.request, self.caller, self.deadline_ms = request, caller, deadline_ms
        self.attempts: list[Attempt | None] = []  # None for an attempt that was never sent
        self.in_flight = 0
        self.queued_events = 0  # events of this request that are not handled yet
        self.answered = False
        self.timer: Timer | None = None
        self.observers = observers

    def attempts_in_flight(self) -> list[Attempt]:
        """Returns the attempts that have no outcome yet."""
        return [a for a in self.attempts if a is not None and a.live]

    def streams(self) -> bool:
        """Whether an answer may be streamed to the client; not if an observer needs it complete."""
        if self.request.streams:
            for observer in self.observers:
                if observer.needs_complete_answer():
                    return False
        return self.request.streams

    # Calls of the observers.

    def sending(self, attempt: Attempt, action: api.Send, now: float) -> bool:
        """Notifies observers before a send. Returns False if one delays the attempt."""
        send_now = True
        for observer in self.observers:
            header_lines = observer.sending(attempt.number, action, now)
            if header_lines is None:
                send_now = False
            else:
                attempt.header_lines += header_lines
        return send_now

    def ended(self, number: int, outcome: api.Outcome, response: Response | None, now: float) -> None:
        """Notifies observers of an attempt's single outcome."""
        for observer in self.observers:
            observer.ended(number, outcome, response, now)

    def finished(self, how: str, reason: str, why: api.Why | None, now: float) -> None:
        """Notifies observers before the final answer is written, or when the client has disconnected."""
        for observer in self.observers:
            header_lines = observer.answered(how, reason, why, now)
            if header_lines:
                self.request.answer_header_lines = header_lines

    def settled(self, now: float) -> None:
        """Notifies observers that the request is answered and no attempt is in flight."""
        for observer in self.observers:
            observer.settled(now)
        self.observers = NO_OBSERVERS
        # Breaks the reference cycle with the attempts, so that memory is freed without the collector.
        self.attempts = []


class AttemptOwner(Protocol):
    """Sends attempts, and is notified of their outcomes."""

    def attempt_ended(self, attempt: Attempt, outcome: api.Outcome, response: Response | None) -> None:
        """Handles the end of an attempt; `response` is the answer, if any came."""


class Attempt(UpstreamRequest):
    """One attempt of a request."""

    __slots__ = ("__weakref__", "driver", "exchange", "live", "number", "sent_ms", "timer")

    def __init__(
        self,
        driver: AttemptOwner,
        exchange: Exchange,
        endpoint: str,
        now: float,
        until_ms: float,
    ) -> None:
        super().__init__(endpoint, exchange.request, until_ms)
        self.driver, self.exchange, self.number, self.sent_ms = driver, exchange, len(exchange.attempts), now
        self.live = True
        self.timer: Timer | None = None
        self.streams = exchange.streams()

    def ended(self, outcome: api.Outcome, response: Response | None) -> None:
        """Passes the outcome to the driver."""
        self.driver.attempt_ended(self, outcome, response)
