"""A request in the driver's table, its attempts, and those who are told of its course.

Each seam of one request (`core.seams`) is named here once: before a send, an attempt's end, the answer,
settled. Nothing here knows the decision module's actions but by what is told on.
"""

from __future__ import annotations

from typing import Protocol

from honeywharf.core.messages import Request, Response
from honeywharf.core.seams import NOBODY, Follower
from honeywharf.core.transport import Caller, Timer, UpstreamRequest
from honeywharf.policy import interface as api


class Exchange:
    """A request in the table: until it is answered, its attempts have ended and the module was told."""

    __slots__ = (
        "answered",
        "attempts",
        "caller",
        "deadline_ms",
        "followers",
        "live",
        "queued",
        "request",
        "timer",
    )

    def __init__(
        self,
        request: Request,
        caller: Caller,
        deadline_ms: float,
        followers: tuple[Follower, ...],
    ) -> None:
        self.request, self.caller, self.deadline_ms = request, caller, deadline_ms
        self.attempts: list[Attempt | None] = []  # None where it was never sent
        self.live = 0
        self.queued = 0  # events that name it and are not handled yet
        self.answered = False
        self.timer: Timer | None = None
        self.followers = followers

    def out(self) -> list[Attempt]:
        """The attempts that have no outcome yet."""
        return [a for a in self.attempts if a is not None and a.live]

    def streams(self) -> bool:
        """Whether an answer may be passed on as it arrives: who asks for it whole gets it whole."""
        if self.request.streams:
            for follower in self.followers:
                if follower.needs_whole():
                    return False
        return self.request.streams

    # Its seams.

    def sending(self, attempt: Attempt, action: api.Send, now: float) -> bool:
        """An attempt is about to leave; False where a follower holds it back until `Driver.go`."""
        leaves = True
        for follower in self.followers:
            lines = follower.sending(attempt.number, action, now)
            if lines is None:
                leaves = False
            else:
                attempt.lines += lines
        return leaves

    def ended(self, number: int, outcome: api.Outcome, response: Response | None, now: float) -> None:
        """An attempt has its one outcome."""
        for follower in self.followers:
            follower.ended(number, outcome, response, now)

    def finished(self, how: str, reason: str, why: api.Why | None, now: float) -> None:
        """The one final answer is about to be written, or nobody waits for it any more."""
        for follower in self.followers:
            lines = follower.answered(how, reason, why, now)
            if lines:
                self.request.answer_lines = lines

    def settled(self, now: float) -> None:
        """Nothing of it is out or owed any more."""
        for follower in self.followers:
            follower.settled(now)
        self.followers = NOBODY
        self.attempts = []  # guards against memory that waits for the collector: they hold it in turn


class AttemptOwner(Protocol):
    """Who sends attempts, and is told how each has ended."""

    def attempt_ended(self, attempt: Attempt, outcome: api.Outcome, response: Response | None) -> None:
        """An attempt is over; `response`: what came, where anything did."""


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
        """Pass the outcome on."""
        self.driver.attempt_ended(self, outcome, response)
