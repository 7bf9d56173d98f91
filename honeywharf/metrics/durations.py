"""Histograms of request durations by class and end, with traces as exemplars. Without I/O.

They are cheaper than those of `prometheus_client`, which take a lock and look up labels for each observation;
`families` converts them at a scrape. A bucket's exemplar is its latest answer whose trace this hop keeps.
"""

from __future__ import annotations

from bisect import bisect_left

from honeywharf.core.messages import RequestTrace

#: Upper bounds in s. They include the client's deadline of 5 s and the latency target of 2 s.
BOUNDS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 3.0, 5.0, 10.0)
MAX_SERIES = 200  # A series is a class and an end; the settings limit classes, and there are about 12 ends.


class DurationHistogram:
    """The durations of one class's requests with one end."""

    __slots__ = ("buckets", "exemplars", "sum_s")

    def __init__(self) -> None:
        self.buckets = [0] * (len(BOUNDS_S) + 1)
        self.exemplars: dict[int, tuple[str, float, float]] = {}  # Trace-id, s and Unix time in s, by bucket.
        self.sum_s = 0.0


class DurationHistograms:
    """The histograms of one proxy. `answered` is a callback of `core.hooks` for final answers."""

    def __init__(self) -> None:
        self.series: dict[tuple[str, str], DurationHistogram] = {}
        self.dropped = 0  # The number of answers beyond MAX_SERIES.

    def answered(
        self, cls: str, how: str, duration_ms: float, now_ms: float, trace: RequestTrace | None
    ) -> None:
        """Counts a final answer of class `cls`, `duration_ms` after the arrival of its request."""
        histogram = self.series.get((cls, how))
        if histogram is None:
            if len(self.series) >= MAX_SERIES:
                self.dropped += 1
                return
            histogram = self.series[cls, how] = DurationHistogram()
        duration_s = max(0.0, duration_ms / 1000.0)
        bucket = bisect_left(BOUNDS_S, duration_s)
        histogram.buckets[bucket] += 1
        histogram.sum_s += duration_s
        if trace is not None and trace.kept():
            trace_id = trace.mark().partition(b"-")[0].decode()
            histogram.exemplars[bucket] = (trace_id, duration_s, now_ms / 1000.0)
