"""The order of requests that share a key: one at a time, in the order taken."""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Protocol


class Waiting(Protocol):
    """What an order knows of a request."""

    id: str
    key: str
    deadline: float

    @property
    def attempts(self) -> Sequence[object]:
        """Those made so far."""


@dataclass(slots=True, eq=False)
class Line:
    """The requests of ordered classes that share a key, as they came: the first has the turn."""

    queue: deque[Waiting] = field(default_factory=deque)
    rests_until: float = 0.0  # an attempt that may still run ended so short a time ago


class Order:
    """Requests of one key run one at a time, in the order taken. One key space over all ordered classes."""

    def __init__(self, turn_gap_ms: float) -> None:
        self.turn_gap_ms = turn_gap_ms
        self.lines: dict[str, Line] = {}
        self.rests: deque[tuple[float, str]] = deque()  # when keys have rested: all rest equally long
        self.turns: deque[str] = deque()  # keys whose first request may have the turn now
        self.waiting: list[tuple[float, str]] = []  # a heap: deadlines of requests that wait for their turn

    def join(self, now: float, request: Waiting) -> bool:
        """Whether the request has the turn; else it waits, to its own deadline."""
        line = self.lines.setdefault(request.key, Line())
        line.queue.append(request)
        if line.queue[0] is request and line.rests_until <= now:
            return True
        heapq.heappush(self.waiting, (request.deadline, request.id))
        return False

    def leave(self, request: Waiting) -> None:
        """The request is over; the next of its key may have the turn."""
        self.lines[request.key].queue.remove(request)
        self.turns.append(request.key)

    def first(self, now: float, key: str) -> Waiting | None:
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
