"""The seams of a request's course: where what is no part of the driver hangs on, in the order they come.

1. Arrival: `Seams.tracer` begins a trace; `Seams.joins` may take a request of a known key out of the
   driver's hands, and gives it back with a follower of its own (`Driver.take`).
2. Before a send: each follower may add header lines, or hold the attempt back until `Driver.go`.
3. Bytes either way: the `pipe` of a request or response that is passed on as it arrives; a follower that
   `needs_whole` gets none.
4. An attempt's end: followers are told its one outcome, before the caller is answered by it.
5. The answer: followers may add header lines; then `Seams.answers` are told, also of requests that the
   module never saw.
6. Settled: the request is answered and nothing of it is out any more.

Nothing here may wait, and nobody is called where nobody has hung on: a request without followers costs the
looks at an empty tuple.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from honeywharf.core.messages import Request, Response, Traced
from honeywharf.core.transport import Caller
from honeywharf.policy import interface as api


class Follower(Protocol):
    """Who is told of one request's course, from its being taken until it is settled."""

    def needs_whole(self) -> bool:
        """Whether answers have to be read whole before they are passed on."""

    def sending(self, number: int, action: api.Send, now_ms: float) -> bytes | None:
        """Attempt `number` is about to leave: header lines for it, or None to hold it until `Driver.go`."""

    def ended(self, number: int, outcome: api.Outcome, response: Response | None, now_ms: float) -> None:
        """An attempt has its one outcome; `response` where one came whole, or its head did."""

    def answered(self, how: str, reason: str, why: api.Why | None, now_ms: float) -> bytes:
        """The one final answer is about to be written, or the client has left: header lines for it."""

    def settled(self, now_ms: float) -> None:
        """Nothing of the request is out or owed any more."""


class Tracer(Protocol):
    """Who records traces."""

    def begin(self, request: Request, now_ms: float) -> Traced:
        """A request has been taken."""


class Joins(Protocol):
    """What joins requests of one idempotency key, before the driver."""

    def arrived(self, request: Request, caller: Caller, left_ms: float) -> bool:
        """Take a sound request of a keyed class that has `left_ms`; False where it can't be joined."""

    def gone(self, request: Request) -> None:
        """The client of a request that waits for another has left."""

    def fail_all(self) -> None:
        """Answer all that wait."""


#: Of a final answer: its class, how it ended, ms since its request came, now in ms, and its trace.
Answers = Callable[[str, str, float, float, Traced | None], None]

NOBODY: tuple[Follower, ...] = ()


class Seams:
    """What hangs on one driver."""

    def __init__(self) -> None:
        self.tracer: Tracer | None = None
        self.joins: Joins | None = None
        self.answers: list[Answers] = []
        self.storms = False  # the module is told of connections, and what tries have in common
        self.connected = 0  # since it was told
        self.pace: Callable[[float], None] | None = None  # who accepts so many connections a second

    def begin(self, request: Request, now_ms: float) -> None:
        """Arrival, where there is a tracer: the request's trace begins."""
        if self.tracer is not None:
            request.traced = self.tracer.begin(request, now_ms)
            if request.waited_ms:
                request.traced.waited("accept", request.read_ms, request.read_ms + request.waited_ms)

    def connections(self) -> int:
        """The clients that have connected since the module was told, which it is now."""
        number, self.connected = self.connected, 0
        return number

    def answered(
        self,
        request: Request,
        how: str,
        took_ms: float,
        now_ms: float,
        traced: Traced | None,
    ) -> None:
        """The answer: all are told of it."""
        for told in self.answers:
            told(request.class_name, how, took_ms, now_ms, traced)

    def unseen(self, request: Request, how: str, reason: str, now_ms: float) -> None:
        """The answer of a request that the module has not seen: its trace ends before it is written."""
        traced = request.traced
        if traced is not None:
            request.traced = None
            request.answer_lines = traced.answered(how, reason, None, now_ms)
            traced.settled(now_ms)
        self.answered(request, how, now_ms - request.read_ms, now_ms, traced)
