"""Typical and unloaded answer times by request class, which limits, health and retries are compared with."""

from __future__ import annotations

SLOW_MULTIPLE = 1.7  # in typical times; an answer beyond it adds to suspicion, a faster one subtracts
CONGESTED_MULTIPLE = 1.35  # in base times; a longer typical time means queues, whose lengths vary
SLOW_MULTIPLE_CONGESTED = 2.5  # replaces `SLOW_MULTIPLE` under congestion
TYPICAL_SAMPLES = 30  # answers in the running mean of the typical time
BASE_SAMPLES = 500  # answers over which the base time rises towards a longer typical time


class ResponseTimes:
    """The typical answer time of each class, and its base time, which is that of unloaded servers; in ms."""

    def __init__(self) -> None:
        self.typical_ms: dict[str, float] = {}
        self.base_ms: dict[str, float] = {}
        self.samples: dict[str, int] = {}  # answers in the mean of the typical time

    def record(self, name: str, typical: float, elapsed_ms: float) -> None:
        """Updates a class's typical time, and its base time, which falls at once and rises slowly."""
        samples = self.samples[name] = min(TYPICAL_SAMPLES, self.samples.get(name, 0) + 1)
        typical += (elapsed_ms - typical) / samples
        self.typical_ms[name] = typical
        # Guards against a base time of one or two short answers, which a balancer with little traffic keeps.
        base = self.base_ms.get(name, typical)
        raised = base + (typical - base) / BASE_SAMPLES
        self.base_ms[name] = typical if samples < TYPICAL_SAMPLES else min(typical, raised)

    def compare(self, name: str, elapsed_ms: float, cap: float) -> tuple[float, float]:
        """Records an answer; returns its relative latency, at most `cap`, and the suspicion that it adds."""
        typical = self.typical_ms.get(name, elapsed_ms)
        latency = min(elapsed_ms / max(typical, 1.0), cap)
        congested = typical > CONGESTED_MULTIPLE * self.base_ms.get(name, typical)
        self.record(name, typical, elapsed_ms)
        return latency, latency - (SLOW_MULTIPLE_CONGESTED if congested else SLOW_MULTIPLE)

    def on_time(self, name: str, elapsed_ms: float) -> bool:
        """Whether the typical time is known and an answer in `elapsed_ms` is not late."""
        late = elapsed_ms > SLOW_MULTIPLE * self.typical_ms.get(name, 0.0)
        return not late and self.samples.get(name, 0) >= TYPICAL_SAMPLES

    def too_short(self, name: str, available_ms: float) -> bool:
        """Whether `available_ms` is less than answers usually take, so that a failure is not the server's.

        Guards against ejecting healthy servers of this tier for callers with short deadlines, for retries
        sent late, or for time used up in the tiers above; an error then comes from a call to the next tier
        that ran out of time. Where all callers have short deadlines, failing servers are detected only by
        refused, broken or reset connections.
        """
        return available_ms < SLOW_MULTIPLE * self.typical_ms.get(name, 0.0)
