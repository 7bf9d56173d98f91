"""Answers' times by class and end, in buckets, each with the trace of one that is kept. Without I/O.

Prometheus' own histograms take a lock and a label look-up for each observation; this costs a search of the
bounds and two additions, and is turned into Prometheus' form when somebody asks (`families`). An exemplar is
the latest answer of its bucket whose trace this hop keeps, so that who looks at a slow bucket finds a trace
that is there.
"""

from __future__ import annotations

from bisect import bisect_left

from honeywharf.core.messages import RequestTrace

#: Upper bounds in s: the client's whole deadline of 5 s, and the aim of 2 s, are bounds of their own.
BOUNDS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 3.0, 5.0, 10.0)
MAX_SERIES = 200  # of class and end: classes are the settings' own, ends a dozen


class Durations:
    """The times of one class's answers of one end."""

    __slots__ = ("buckets", "exemplars", "sum_s")

    def __init__(self) -> None:
        self.buckets = [0] * (len(BOUNDS_S) + 1)
        self.exemplars: dict[int, tuple[str, float, float]] = {}  # by bucket: trace-id, s, Unix time in s
        self.sum_s = 0.0


class Answers:
    """All of one proxy. `answered` is the driver's seam at each final answer."""

    def __init__(self) -> None:
        self.series: dict[tuple[str, str], Durations] = {}
        self.left_out = 0  # beyond the bound on series

    def answered(
        self, cls: str, how: str, took_ms: float, now_ms: float, traced: RequestTrace | None
    ) -> None:
        """One final answer of class `cls`, ended so, `took_ms` after its request had come."""
        found = self.series.get((cls, how))
        if found is None:
            if len(self.series) >= MAX_SERIES:
                self.left_out += 1
                return
            found = self.series[cls, how] = Durations()
        took_s = max(0.0, took_ms / 1000.0)
        bucket = bisect_left(BOUNDS_S, took_s)
        found.buckets[bucket] += 1
        found.sum_s += took_s
        if traced is not None and traced.kept():
            trace_id = traced.mark().partition(b"-")[0].decode()
            found.exemplars[bucket] = (trace_id, took_s, now_ms / 1000.0)
