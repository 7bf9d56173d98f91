"""Tail sampling: keeps each bad trace on every hop, and an unbiased share of the others. Without I/O.

Theory of operation. A hop decides on a request once it is answered and no attempt is in flight. A bad one
(failed, refused, retried or slow) is exported at once. An ordinary one is exported if the trace's randomness
reaches the threshold of the rate, which gives the same result at every hop; it represents 1/rate ordinary
traces. Other ordinary ones are pending for `hold_ms`, as another hop may keep the trace:

- Upstream hops learn it from the answer, which says whether its hop keeps the trace.
- Downstream hops learn it from the trace's next request, or from a note (`notes`). They export what is
  pending of the trace, and for `hold_ms` also its parts that end later.

Pending traces are limited in number and in bytes, and dropped ones are counted. A client may give all its
requests one trace-id and let one fail, so `MAX_FURTHER_PARTS` limits the parts that one bad part keeps.

    pending -> exported   a note or a request of the trace says that it is kept
    pending -> dropped    after hold_ms, or beyond the limits
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass

from ddsketch import DDSketch

from honeywharf.traces import context
from honeywharf.traces.spans import BAD_ENDS, HopTrace

RELATIVE_ACCURACY = 0.02  # The relative error of the sketches.
MIN_ANSWERS = 200  # The quantile is unknown before that.
QUANTILE_UPDATE_ANSWERS = 64  # The interval between updates of the quantile.
ANSWERS_PER_SAMPLE = 4  # Above MIN_ANSWERS only some are added, as a sketch costs more than a comparison.
MAX_SKETCH_ANSWERS = 50_000  # A class gets a new sketch after that.
EXPIRY_INTERVAL_FRACTION = 0.01  # The time between two checks for expired traces, as a part of `hold_ms`.
MAX_FURTHER_PARTS = 32  # The parts of one trace that a hop keeps within `hold_ms` as another part was bad.
HOP_SIZE_BYTES, ATTEMPT_SIZE_BYTES = 900, 700  # Estimates of the memory of a pending trace.


@dataclass(frozen=True)
class Sampling:
    """The settings of a sampler.

    `rate`: the share of ordinary traces that is kept. `hold_ms`, `max_pending`, `max_pending_bytes`: limits
    of pending traces. `quantile`: answers of a class that take longer than this quantile are slow.
    """

    rate: float = 0.01
    hold_ms: float = 10_000.0
    max_pending: int = 4000
    max_pending_bytes: int = 8 * 1024 * 1024
    quantile: float = 0.99


class LatencyQuantile:
    """A learned quantile of the durations of one class's answers."""

    __slots__ = ("answers", "quantile", "sketch", "slow_threshold_ms")

    def __init__(self, quantile: float) -> None:
        self.quantile = quantile
        self.sketch = DDSketch(RELATIVE_ACCURACY)
        self.answers = 0
        self.slow_threshold_ms = float("inf")  # The quantile, with a margin for the sketch's error.

    def observe(self, duration_ms: float) -> bool:
        """Adds the duration of an answer. Returns whether it exceeds the quantile of those before."""
        self.answers += 1
        if self.answers <= MIN_ANSWERS or self.answers % ANSWERS_PER_SAMPLE == 0:
            self.sketch.add(duration_ms)
        if self.answers >= MIN_ANSWERS and self.answers % QUANTILE_UPDATE_ANSWERS == 0:
            # The margin keeps equal durations from being slow when the sketch underestimates them.
            found = self.sketch.get_quantile_value(self.quantile) or float("inf")
            self.slow_threshold_ms = found * (1.0 + 2.0 * RELATIVE_ACCURACY)
            if self.answers >= MAX_SKETCH_ANSWERS:
                self.sketch, self.answers = DDSketch(RELATIVE_ACCURACY), 0
        return duration_ms > self.slow_threshold_ms


class KeptTrace:
    """A trace that some hop keeps: when this hop forgets it, and how many more parts it may keep."""

    __slots__ = ("expires_ms", "remaining_parts")

    def __init__(self, expires_ms: float) -> None:
        self.expires_ms, self.remaining_parts = expires_ms, MAX_FURTHER_PARTS


class Sampler:
    """The sampling decisions of one hop. Times are ms on a clock that never goes back."""

    def __init__(
        self,
        settings: Sampling,
        latency_targets_ms: dict[str, float],
        export: Callable[[HopTrace], None],
        *,
        trusts: bool,
        rule: Callable[[HopTrace], bool] | None = None,
    ) -> None:
        self.settings, self.latency_targets_ms, self.export, self.rule = (
            settings,
            latency_targets_ms,
            export,
            rule,
        )
        self.trusts = trusts  # Whether a caller's randomness and its request to keep a trace are accepted.
        self.threshold = context.threshold(settings.rate)
        self.latency_quantiles: dict[str, LatencyQuantile] = {}  # The keys are classes.
        self.pending: dict[str, list[HopTrace]] = {}  # The keys are trace-ids.
        # Pending traces from the oldest on, with those that were exported since.
        self.queue: deque[HopTrace] = deque()
        self.pending_bytes = 0
        self.next_expiry_ms = 0.0  # When expired traces are dropped next.
        # The keys are trace-ids, in the order of expiry.
        self.kept_traces: OrderedDict[str, KeptTrace] = OrderedDict()
        self.counts = dict.fromkeys(
            ("bad", "ordinary", "ordinary kept", "told kept", "told over", "held out", "no room"), 0
        )

    def ordinary(self, randomness: str) -> bool:
        """Returns whether ordinary traces with that randomness, 14 hex digits, are kept."""
        return randomness >= self.threshold

    def began(self, now: float, hop: HopTrace, bad: bool, randomness: str) -> None:
        """Notes the arrival of a request; `bad`: whether its caller says that it keeps the trace."""
        hop.ordinary = randomness >= self.threshold
        if self.trusts and bad:
            hop.keep("told")
            self.keep_trace(now, hop.trace_id)

    def answered(self, hop: HopTrace) -> bool:
        """Notes the answer. Returns whether this hop keeps the trace, as far as is known by now."""
        if hop.how in BAD_ENDS:
            hop.keep("failed")
        elif hop.how == "refused":
            hop.keep("refused")
        elif hop.how == "served":
            latency_quantile = self.latency_quantiles.get(hop.cls)
            if latency_quantile is None and hop.cls in self.latency_targets_ms:
                latency_quantile = self.latency_quantiles[hop.cls] = LatencyQuantile(self.settings.quantile)
            latency_ms = hop.duration_ms
            if (
                latency_quantile is not None and latency_quantile.observe(latency_ms)
            ) or latency_ms > self.latency_targets_ms.get(hop.cls, latency_ms):
                hop.keep("slow")
        if len(hop.attempts) > 1:
            hop.keep("copied" if any(a.copy for a in hop.attempts) else "retried")
        if self.rule is not None and self.rule(hop):
            hop.keep("rule")
        return bool(hop.kept)

    def settled(self, now: float, hop: HopTrace) -> None:
        """Exports the trace of a request that is settled, or makes it pending."""
        if now >= self.next_expiry_ms:
            self.expire(now)
        for attempt in hop.attempts:
            if attempt.after_answer and attempt.outcome != "ok":
                hop.keep("late attempt")
        kept_trace = self.kept_traces.get(hop.trace_id)
        if kept_trace is not None and not hop.kept:
            if kept_trace.remaining_parts > 0:
                kept_trace.remaining_parts -= 1
                hop.keep("told")
            else:
                self.counts["told over"] += 1
        if hop.kept:
            self.counts["bad"] += 1
            self.export(hop)
            self.keep_trace(now, hop.trace_id)  # Keeps other requests of the trace at this hop.
            return
        self.counts["ordinary"] += 1
        if hop.ordinary:
            hop.weight = 1.0 / self.settings.rate
            self.counts["ordinary kept"] += 1
            self.export(hop)
            return
        hop.bytes = HOP_SIZE_BYTES + ATTEMPT_SIZE_BYTES * len(hop.attempts)
        self.pending_bytes += hop.bytes
        hops = self.pending.get(hop.trace_id)
        if hops is None:
            self.pending[hop.trace_id] = [hop]
        else:
            hops.append(hop)
        self.queue.append(hop)
        while (
            len(self.queue) > self.settings.max_pending
            or self.pending_bytes > self.settings.max_pending_bytes
        ):
            self._drop_oldest("no room")

    def keep_trace(self, now: float, trace_id: str) -> None:
        """Exports the pending parts of a trace that another hop or request keeps."""
        kept_trace = self.kept_traces.get(trace_id)
        if kept_trace is None:
            kept_trace = self.kept_traces[trace_id] = KeptTrace(now + self.settings.hold_ms)
            while len(self.kept_traces) > self.settings.max_pending:
                self.kept_traces.popitem(last=False)
        # A known trace does not get more parts before it expires.
        for hop in self.pending.pop(trace_id, ()):
            self.pending_bytes -= hop.bytes
            hop.bytes = 0  # Marks the entry in the queue as exported.
            if kept_trace.remaining_parts <= 0:
                self.counts["told over"] += 1
                continue
            kept_trace.remaining_parts -= 1
            hop.keep("told")
            self.counts["told kept"] += 1
            self.export(hop)

    def expire(self, now: float) -> None:
        """Drops pending and kept traces that have expired."""
        self.next_expiry_ms = now + EXPIRY_INTERVAL_FRACTION * self.settings.hold_ms
        while self.queue and self.queue[0].answered_ms + self.settings.hold_ms <= now:
            self._drop_oldest("held out")
        while self.kept_traces and next(iter(self.kept_traces.values())).expires_ms <= now:
            self.kept_traces.popitem(last=False)

    def _drop_oldest(self, reason: str) -> None:
        """Drops the oldest entry of the queue, and counts it unless it was exported."""
        hop = self.queue.popleft()
        if hop.bytes:
            self.pending_bytes -= hop.bytes
            hops = self.pending[hop.trace_id]
            hops.remove(hop)
            if not hops:
                del self.pending[hop.trace_id]
            self.counts[reason] += 1
