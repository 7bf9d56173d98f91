"""Models a backend node and its rack without I/O, for the simulator and for backends on sockets. Times in ms.

A node runs up to `cores` calls at once, queues `queue` more, and rejects any other call before it starts. Its
speed rises linearly from a cold start. A node that is overfull for long jams: it runs slower until it has
been mostly idle for a while. A cold node that is sent far more work than it can do falls over and stays down.
"""

from __future__ import annotations

import heapq
from collections import OrderedDict, deque
from dataclasses import dataclass

INFINITY = float("inf")


@dataclass(frozen=True)
class NodeSpec:
    """The capacity of a node. It jams at a mean of `jam_at` calls in flight for each core over `jam_over_ms`.

    A jam ends when less than `jam_below` of the cores have been busy for `jam_rest_ms`, or after
    `jam_most_ms`. A cold node falls over when it is sent `fall_multiple` times what it can do over `fall_ms`.

    Raises:
        ValueError: if a value is below its minimum.
    """

    cores: int = 2
    queue: int = 64
    speed: float = 1.0
    cold_share: float = 0.25
    warm_ms: float = 10000.0
    jam_at: float = INFINITY
    jam_over_ms: float = 2000.0
    jam_slower: float = 3.0
    jam_below: float = 0.35
    jam_rest_ms: float = 3000.0
    jam_most_ms: float = 25000.0
    fall_multiple: float = 4.0
    fall_ms: float = 2000.0

    def __post_init__(self) -> None:
        """Checks the values that have a minimum."""
        for name, least in (("cores", 1), ("queue", 0), ("speed", 1e-9), ("cold_share", 1e-9)):
            value = getattr(self, name)
            if value < least:
                raise ValueError(f"node.{name}: expected at least {least}, got {value!r}")


class Node:
    """A running node. The caller advances the time: to `due`, when it calls `finish`."""

    def __init__(self, spec: NodeSpec, started_ms: float = -INFINITY) -> None:
        self.spec, self.started_ms = spec, started_ms
        self.alive, self.draining, self.fallen, self.unresponsive = True, False, False, False
        self.running: list[tuple[float, str]] = []  # A heap by end time.
        self.waiting: deque[tuple[str, float]] = deque()
        self.jammed_at_ms = -INFINITY  # -INFINITY while the node is not jammed.
        self.in_flight_mean, self.busy_mean, self.observed_ms = 0.0, 0.0, 0.0
        self.idle_ms = 0.0  # Time for which it has been mostly idle.
        self.slow_start_work: deque[tuple[float, float]] = deque()  # Time and ms of work.
        self.slow_start_work_ms = 0.0

    @property
    def in_flight(self) -> int:
        """Calls that run or wait."""
        return len(self.running) + len(self.waiting)

    def speed_share(self, now: float) -> float:
        """Returns the share of full speed that the node has after its cold start."""
        if self.spec.warm_ms <= 0:
            return 1.0
        age = min(1.0, max(0.0, now - self.started_ms) / self.spec.warm_ms)
        return self.spec.cold_share + (1.0 - self.spec.cold_share) * age

    def current_speed(self, now: float) -> float:
        """Returns the ms of work that each core does in a ms."""
        jam = self.spec.jam_slower if self.jammed_at_ms > -INFINITY else 1.0
        return self.spec.speed * self.speed_share(now) / jam

    def offer(self, now: float, call: str, work_ms: float) -> bool:
        """Starts or queues a call. Returns False if the node rejects it."""
        self._observe(now)
        self._track_slow_start_work(now, work_ms)
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
        heapq.heappush(self.running, (now + work_ms / self.current_speed(now), call))

    def due(self) -> float:
        """Returns the time at which the next call ends, INFINITY if none runs."""
        return self.running[0][0] if self.running else INFINITY

    def finish(self, now: float) -> list[str]:
        """Returns the calls that have ended by `now`, and starts waiting calls on the free cores."""
        self._observe(now)
        ended = []
        while self.running and self.running[0][0] <= now:
            ended.append(heapq.heappop(self.running)[1])
            if self.waiting:
                self._run(now, *self.waiting.popleft())
        return ended

    def crash(self) -> list[str]:
        """Stops the node and returns the calls that are lost."""
        lost = [call for _, call in self.running] + [call for call, _ in self.waiting]
        self.running.clear()
        self.waiting.clear()
        self.alive = False
        return lost

    def restart(self, now: float) -> None:
        """Starts the node again, cold and without calls."""
        self.__init__(self.spec, now)  # type: ignore[misc]

    def _observe(self, now: float) -> None:
        """Updates the mean number of calls in flight and the idle time, and starts or ends a jam."""
        spec, elapsed_ms = self.spec, now - self.observed_ms
        self.observed_ms = now
        if elapsed_ms > 0.0:
            weight = min(1.0, elapsed_ms / spec.jam_over_ms)
            self.in_flight_mean += (self.in_flight - self.in_flight_mean) * weight
            busy = len(self.running) / spec.cores
            self.idle_ms = self.idle_ms + elapsed_ms if busy < spec.jam_below else 0.0
        if self.jammed_at_ms == -INFINITY:
            if self.in_flight_mean > spec.jam_at * spec.cores:
                self.jammed_at_ms, self.idle_ms = now, 0.0
        elif self.idle_ms >= spec.jam_rest_ms or now - self.jammed_at_ms >= spec.jam_most_ms:
            self.jammed_at_ms, self.in_flight_mean = -INFINITY, float(self.in_flight)

    def _track_slow_start_work(self, now: float, work_ms: float) -> None:
        """Sums the work that a cold node is sent. Too much of it makes the node fall over."""
        if self.speed_share(now) >= 1.0:
            return
        self.slow_start_work.append((now, work_ms))
        self.slow_start_work_ms += work_ms
        while self.slow_start_work[0][0] <= now - self.spec.fall_ms:
            self.slow_start_work_ms -= self.slow_start_work.popleft()[1]
        possible_ms = self.spec.cores * self.spec.speed * self.speed_share(now) * self.spec.fall_ms
        slack = 3.0 * work_ms * self.spec.cores  # Tolerance for a few long calls.
        if self.slow_start_work_ms > self.spec.fall_multiple * possible_ms + slack:
            self.fallen = True


class Rack:
    """Nodes that share their idempotency keys: a repeat within `window_ms` of the charge is dropped.

    `charges` counts the charges of each key. Beyond `max_keys` the oldest keys are evicted.
    """

    def __init__(self, window_ms: float = 7500.0, max_keys: int = 200_000) -> None:
        self.window_ms, self.max_keys = window_ms, max_keys
        self.seen: OrderedDict[str, float] = OrderedDict()
        self.charges: OrderedDict[str, int] = OrderedDict()

    def charge(self, key: str, now: float) -> bool:
        """Charges a key. Returns False for a repeat, which is dropped."""
        while self.seen and next(iter(self.seen.values())) <= now - self.window_ms:
            self.seen.popitem(last=False)
        if key in self.seen:
            return False
        self.seen[key] = now
        self.charges[key] = self.charges.get(key, 0) + 1
        while len(self.charges) > self.max_keys:
            self.charges.popitem(last=False)
        while len(self.seen) > self.max_keys:
            self.seen.popitem(last=False)
        return True
