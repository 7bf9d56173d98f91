"""A node and its rack, without I/O: the one model that the sockets and the simulator share. Times in ms.

A node runs up to `cores` calls at once and `queue` more wait; beyond that it turns calls away unseen. It
starts cold and warms evenly. Held too full for long it jams: it turns slower until it has been mostly idle
for a while. Sent far more than it can do while cold, it falls over and stays down.
"""

from __future__ import annotations

import heapq
from collections import OrderedDict, deque
from dataclasses import dataclass

INFINITY = float("inf")


@dataclass(frozen=True)
class NodeSpec:
    """What a node can do. `jam_at`: calls held for each core, over `jam_over_ms`, that jam it."""

    cores: int = 2
    queue: int = 64
    speed: float = 1.0
    cold_share: float = 0.25
    warm_ms: float = 10000.0
    jam_at: float = INFINITY
    jam_over_ms: float = 2000.0
    jam_slower: float = 3.0
    jam_below: float = 0.35  # of its cores busy, for so long:
    jam_rest_ms: float = 3000.0
    jam_most_ms: float = 25000.0
    fall_multiple: float = 4.0  # times what it can do at that moment, for so long:
    fall_ms: float = 2000.0

    def __post_init__(self) -> None:
        """Refuse what no node is."""
        for name, least in (("cores", 1), ("queue", 0), ("speed", 1e-9), ("cold_share", 1e-9)):
            value = getattr(self, name)
            if value < least:
                raise ValueError(f"node: {name} of at least {least} is wanted, not {value!r}")


class Node:
    """One node at work. The caller moves time: `due` tells when, `finish` what has ended by then."""

    def __init__(self, spec: NodeSpec, started_ms: float = -INFINITY) -> None:
        self.spec, self.started_ms = spec, started_ms
        self.alive, self.draining, self.fallen, self.silent = True, False, False, False
        self.running: list[tuple[float, str]] = []  # a heap: when each ends
        self.waiting: deque[tuple[str, float]] = deque()
        self.jammed_ms = -INFINITY  # when it jammed; -inf where it is not
        self.held_mean, self.busy_mean, self.mean_ms = 0.0, 0.0, 0.0
        self.rested_ms = 0.0  # how long it has been mostly idle
        self.offered: deque[tuple[float, float]] = deque()  # while cold: when, and how much work
        self.offered_sum = 0.0

    @property
    def held(self) -> int:
        """Calls running or waiting."""
        return len(self.running) + len(self.waiting)

    def warmth(self, now: float) -> float:
        """The part of its speed that it has now."""
        if self.spec.warm_ms <= 0:
            return 1.0
        age = min(1.0, max(0.0, now - self.started_ms) / self.spec.warm_ms)
        return self.spec.cold_share + (1.0 - self.spec.cold_share) * age

    def pace(self, now: float) -> float:
        """Work done in a ms by each core."""
        jam = self.spec.jam_slower if self.jammed_ms > -INFINITY else 1.0
        return self.spec.speed * self.warmth(now) / jam

    def offer(self, now: float, call: str, work_ms: float) -> bool:
        """Take a call in; False where it is turned away unseen."""
        self._observe(now)
        self._strain(now, work_ms)
        if not self.alive or self.draining or self.fallen:
            return False
        if len(self.running) < self.spec.cores:
            self._run(now, call, work_ms)
            return True
        if len(self.waiting) >= self.spec.queue:
            return False
        self.waiting.append((call, work_ms))
        return True

    def _run(self, now: float, call: str, work_ms: float) -> None:
        heapq.heappush(self.running, (now + work_ms / self.pace(now), call))

    def due(self) -> float:
        """When the next call ends; infinity where none runs."""
        return self.running[0][0] if self.running else INFINITY

    def finish(self, now: float) -> list[str]:
        """The calls that have ended by now; those that waited take their cores."""
        self._observe(now)
        ended = []
        while self.running and self.running[0][0] <= now:
            ended.append(heapq.heappop(self.running)[1])
            if self.waiting:
                self._run(now, *self.waiting.popleft())
        return ended

    def crash(self) -> list[str]:
        """Die; the calls that are lost."""
        lost = [call for _, call in self.running] + [call for call, _ in self.waiting]
        self.running.clear()
        self.waiting.clear()
        self.alive = False
        return lost

    def restart(self, now: float) -> None:
        """Come back cold and empty."""
        self.__init__(self.spec, now)  # type: ignore[misc]

    def _observe(self, now: float) -> None:
        """Follow how full and how busy it is, and jam or recover."""
        spec, span = self.spec, now - self.mean_ms
        self.mean_ms = now
        if span > 0.0:
            part = min(1.0, span / spec.jam_over_ms)
            self.held_mean += (self.held - self.held_mean) * part
            busy = len(self.running) / spec.cores
            self.rested_ms = self.rested_ms + span if busy < spec.jam_below else 0.0
        if self.jammed_ms == -INFINITY:
            if self.held_mean > spec.jam_at * spec.cores:
                self.jammed_ms, self.rested_ms = now, 0.0
        elif self.rested_ms >= spec.jam_rest_ms or now - self.jammed_ms >= spec.jam_most_ms:
            self.jammed_ms, self.held_mean = -INFINITY, float(self.held)

    def _strain(self, now: float, work_ms: float) -> None:
        """Count what is sent to it while cold; too much of it pushes it over."""
        if self.warmth(now) >= 1.0:
            return
        self.offered.append((now, work_ms))
        self.offered_sum += work_ms
        while self.offered[0][0] <= now - self.spec.fall_ms:
            self.offered_sum -= self.offered.popleft()[1]
        able = self.spec.cores * self.spec.speed * self.warmth(now) * self.spec.fall_ms
        slack = 3.0 * work_ms * self.spec.cores  # for chance
        if self.offered_sum > self.spec.fall_multiple * able + slack:
            self.fallen = True


class Rack:
    """Nodes that know each other's keys: a repeat is dropped for `window_ms` after the first, then charged.

    `charges` counts for each key what was charged; `most_keys` bounds it, the oldest going first.
    """

    def __init__(self, window_ms: float = 7500.0, most_keys: int = 200_000) -> None:
        self.window_ms, self.most_keys = window_ms, most_keys
        self.seen: OrderedDict[str, float] = OrderedDict()
        self.charges: OrderedDict[str, int] = OrderedDict()

    def charge(self, key: str, now: float) -> bool:
        """Charge a key; False where it is a repeat that is dropped."""
        while self.seen and next(iter(self.seen.values())) <= now - self.window_ms:
            self.seen.popitem(last=False)
        if key in self.seen:
            return False
        self.seen[key] = now
        self.charges[key] = self.charges.get(key, 0) + 1
        while len(self.charges) > self.most_keys:
            self.charges.popitem(last=False)
        while len(self.seen) > self.most_keys:
            self.seen.popitem(last=False)
        return True
