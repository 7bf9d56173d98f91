"""The order of requests that share a key: one at a time, in the order of arrival."""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Protocol


class OrderedRequest(Protocol):
    """The parts of a request that `KeyOrder` uses."""

    id: str
    key: str
    deadline: float

    @property
    def attempts(self) -> Sequence[object]:
        """The attempts made so far."""


@dataclass(slots=True, eq=False)
class KeyQueue:
    """The requests of ordered classes that share a key, in order of arrival; the first one may run."""

    requests: deque[OrderedRequest] = field(default_factory=deque)
    held_until: float = 0.0  # the end of the hold, in which the endpoint may still execute an attempt


class KeyOrder:
    """Runs requests of one key one at a time, in order of arrival. All ordered classes share their keys."""

    def __init__(self, turn_gap_ms: float) -> None:
        self.turn_gap_ms = turn_gap_ms
        self.queues: dict[str, KeyQueue] = {}
        self.holds: deque[tuple[float, str]] = deque()  # ends of holds, sorted, as all holds are equally long
        self.ready_keys: deque[str] = deque()  # keys whose first request may be ready to run
        self.waiting: list[tuple[float, str]] = []  # a heap of the deadlines of waiting requests

    def join(self, now: float, request: OrderedRequest) -> bool:
        """Queues the request; returns whether it may run at once. Else it waits until its deadline."""
        key_queue = self.queues.setdefault(request.key, KeyQueue())
        key_queue.requests.append(request)
        if key_queue.requests[0] is request and key_queue.held_until <= now:
            return True
        heapq.heappush(self.waiting, (request.deadline, request.id))
        return False

    def leave(self, request: OrderedRequest) -> None:
        """Removes a request that has ended; the next one of its key may be ready to run."""
        self.queues[request.key].requests.remove(request)
        self.ready_keys.append(request.key)

    def next_ready(self, now: float, key: str) -> OrderedRequest | None:
        """Returns the request that may run and was not sent before; None while the key is blocked or idle."""
        key_queue = self.queues.get(key)
        if key_queue is None or key_queue.held_until > now:
            return None  # the timer at the end of the hold tries again
        if not key_queue.requests:
            del self.queues[key]
            return None
        return None if key_queue.requests[0].attempts else key_queue.requests[0]

    def hold(self, now: float, key: str) -> float:
        """Holds the key, as the endpoint may still execute an attempt; returns the end of the hold in ms."""
        until = self.queues[key].held_until = now + self.turn_gap_ms
        self.holds.append((until, key))
        return until

    def end_holds(self, now: float) -> None:
        """Makes the keys ready whose hold has ended."""
        while self.holds and self.holds[0][0] <= now:
            self.ready_keys.append(self.holds.popleft()[1])

    def pop_expired(self, now: float) -> str:
        """Returns the id of the next request whose deadline passed while it waited; empty if none.

        The request may have run since.
        """
        return heapq.heappop(self.waiting)[1] if self.waiting and self.waiting[0][0] <= now else ""
