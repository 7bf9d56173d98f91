"""What is kept of a request: attempts, what they prove of its effect, its place in the order of its key."""

from __future__ import annotations

import heapq
from collections import deque
from dataclasses import dataclass, field

from honeywharf.policy import interface as api
from honeywharf.policy.endpoints import Attempt


@dataclass(slots=True, eq=False)
class Request:
    """A request taken and not yet forgotten: it is kept until its last attempt has ended."""

    id: str
    cls: api.RequestClass
    key: str  # of its line; empty where no order is asked
    deadline: float
    worth: float
    room: float = 1.0  # part of a zone's limit that is open to it
    attempts: list[Attempt] = field(default_factory=list)
    answered: bool = False
    coming: api.Coming = api.Coming.FIRST
    code: int = 0  # of what its tries have in common, where storms are watched
    earlier: api.Earlier | None = None  # of another request of its key, which may have run

    def may_have_run(self) -> api.Earlier | None:
        """The first attempt that is not proven never to have run."""
        if self.earlier is not None:
            return self.earlier
        for a in self.attempts:
            if a.ran:
                return api.Earlier(a.server.endpoint.zone, a.server.endpoint.cell, a.sent_ms)
        return None

    def may_send_to(self, endpoint: api.Endpoint, now: float) -> bool:
        """Whether a further attempt there could not have an effect twice."""
        first, cls = self.may_have_run(), self.cls
        if first is None or cls.effect is api.Effect.REPEATABLE:
            return True
        if cls.effect is api.Effect.ONCE or now >= first.sent_ms + cls.window_ms:
            return False
        return (cls.scope is api.DedupeScope.ALL or first.zone == endpoint.zone) and (
            cls.scope is not api.DedupeScope.CELL or first.cell == endpoint.cell)

    def may_refuse(self) -> bool:
        """Whether a refusal, which tells the client that a repeat is harmless, would be true."""
        cls = self.cls
        if self.earlier is not None:
            return False  # guards against a promise made for an attempt of which this request knows no end
        return cls.effect is api.Effect.REPEATABLE or self.may_have_run() is None or (
            cls.effect is api.Effect.KEYED and cls.scope is api.DedupeScope.ALL)


@dataclass(slots=True, eq=False)
class Line:
    """The requests of ordered classes that share a key, as they came: the first has the turn."""

    queue: deque[Request] = field(default_factory=deque)
    rests_until: float = 0.0  # an attempt that may still run ended so short a time ago


class Order:
    """Requests of one key run one at a time, in the order taken. One key space over all ordered classes."""

    def __init__(self, turn_gap_ms: float) -> None:
        self.turn_gap_ms = turn_gap_ms
        self.lines: dict[str, Line] = {}
        self.rests: deque[tuple[float, str]] = deque()  # when keys have rested: all rest equally long
        self.turns: deque[str] = deque()  # keys whose first request may have the turn now
        self.waiting: list[tuple[float, str]] = []  # a heap: deadlines of requests that wait for their turn

    def join(self, now: float, request: Request) -> bool:
        """Whether the request has the turn; else it waits, to its own deadline."""
        line = self.lines.setdefault(request.key, Line())
        line.queue.append(request)
        if line.queue[0] is request and line.rests_until <= now:
            return True
        heapq.heappush(self.waiting, (request.deadline, request.id))
        return False

    def leave(self, request: Request) -> None:
        """The request is over; the next of its key may have the turn."""
        self.lines[request.key].queue.remove(request)
        self.turns.append(request.key)

    def first(self, now: float, key: str) -> Request | None:
        """Who has the turn and was not sent before; None while the key rests, or nobody waits."""
        line = self.lines.get(key)
        if line is None or line.rests_until > now:
            return None  # its timer comes back to it
        if not line.queue:
            del self.lines[key]
            return None
        return None if line.queue[0].attempts else line.queue[0]

    def rest(self, now: float, key: str) -> float:
        """The key rests, as the endpoint may be at work on it yet; until when."""
        until = self.lines[key].rests_until = now + self.turn_gap_ms
        self.rests.append((until, key))
        return until

    def rested(self, now: float) -> None:
        """Keys that have rested may go on."""
        while self.rests and self.rests[0][0] <= now:
            self.turns.append(self.rests.popleft()[1])

    def overdue(self, now: float) -> str:
        """The next request whose time is up while it waits, or waited; empty where there is none."""
        return heapq.heappop(self.waiting)[1] if self.waiting and self.waiting[0][0] <= now else ""
