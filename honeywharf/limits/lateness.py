"""The default limiter: lowered by the mean lateness of answers, raised slowly while it is in use.

An answer is on time up to `ON_TIME_BASES` base times, but never late within `MIN_ON_TIME_PART` of the target:
so far within the target it shows no congestion, however it compares with the fastest answers seen. Beyond the
target it is late, unless unloaded servers take longer than that.

A proxy that has the servers to itself starts open, as all their load is its own. The first answer sets the
limit to the number of calls in flight, or to its first value if that is more; where none comes soon, the
caller lowers it with `use_first_limit`. A proxy that shares the servers does not know the others' calls in
flight, and starts at the first value.

From there on the limit moves with time, not with the number of answers, so that proxies of much and of little
traffic agree. It moves multiplicatively both ways: by a factor of e in `ADAPT_TIME_MS` (once it was lowered,
in `ADAPT_BASE_TIMES` base times where those are more) for a mean lateness of twice the time that is on time,
and `GROWTH_SLOWDOWN` times more slowly upwards. Answers describe the limit of one round trip ago: the calls
admitted since then may overload the servers, which then stay slow for long.
"""

from __future__ import annotations

from honeywharf.limits.base import Limiter

ON_TIME_BASES = 1.35  # base times; a mean beyond them, over many answers, shows congestion
MIN_ON_TIME_PART = 0.25  # no answer within this part of the target is late
ADAPT_TIME_MS = 500.0
# In base times, where those are more than `ADAPT_TIME_MS`.
ADAPT_BASE_TIMES = 1.5  # a limit that moves faster than its answers arrive oscillates
GROWTH_SLOWDOWN = 5.0
SLOW_START_SPEEDUP = 4.0  # growth is faster below the first value, which is known to be safe
MIN_UTILIZATION_TO_GROW = 0.8  # answers say nothing about a limit that is not in use
LATENESS_WEIGHT = 0.3  # single answers are late by chance
MAX_LATENESS = 3.0  # the most that a single answer counts as
MIN_ON_TIME_MS = 1e-3  # guards the division where no base time is known
MAX_SPAN_MS = 250.0  # the longest time that one answer stands for
OPEN_LIMIT = 64.0  # calls per unit of capacity before the first answer, too few for lasting overload
MAX_ON_TIME_TARGETS = 1.75  # in targets; unloaded servers slower than that cannot meet the latency target
IN_FLIGHT_MEAN_MS = 1000.0  # the time constant of the mean of the calls that are needed in flight
# The limit goes no lower than this part of that mean; a queue can drain, as it is below 1.
MIN_IN_FLIGHT_PART = 0.9
MAX_NORMAL_OVERLOAD = 0.5  # Little's law bounds the limit while fewer answers are rejected or too late
MIN_LIMIT_PART = 0.25  # the limit goes no lower than this part of its first value


class LatenessLimiter(Limiter):
    """Moves the limit in continuous time by lateness, after TCP's congestion avoidance (RFC 5681).

    `stays_open`: the limit stays open until the first answer however long that takes, also where servers are
    shared; this is for servers that take many calls at once without overload. `min_on_time_part` 0 and
    `use_littles_law` False leave the base time as the only measure (`base_time_only`).
    """

    __slots__ = (
        "last_answer_ms",
        "lateness",
        "lowered",
        "min_on_time_part",
        "overload_share",
        "required_in_flight",
        "stays_open",
        "use_littles_law",
    )

    def __init__(
        self,
        first_limit: float,
        proxy_share: float = 1.0,
        *,
        min_on_time_part: float = MIN_ON_TIME_PART,
        use_littles_law: bool = True,
        stays_open: bool = False,
    ) -> None:
        super().__init__(first_limit, proxy_share)
        self.min_on_time_part, self.use_littles_law, self.stays_open = (
            min_on_time_part,
            use_littles_law,
            stays_open,
        )
        self.last_answer_ms = 0.0
        self.lowered = False  # congestion has been seen, which ends slow start
        self.lateness = 1.0  # running mean of answer times over the longest time that is on time
        self.required_in_flight = 0.0
        self.overload_share = 0.0  # running mean of answers that were rejected or too late
        if use_littles_law and (proxy_share >= 1.0 or stays_open):
            self.limit = max(first_limit, OPEN_LIMIT)

    def congested(self) -> bool:
        """Whether the mean of the latest answers was late."""
        return self.lateness > 1.0

    def use_first_limit(self) -> None:
        """Lowers the limit to its first value, unless an answer has come or the limit stays open."""
        if self.last_answer_ms == 0.0 and not self.stays_open:
            super().use_first_limit()

    def learn(
        self,
        now_ms: float,
        latency_ms: float,
        base_ms: float,
        target_ms: float,
        in_flight: float,
        *,
        per_call: float = 0.0,
        dropped: bool = False,
    ) -> None:
        """Adjusts the limit by one answer; compares in place of `min` and `max`, which are slower."""
        late_ms, on_time_ms = target_ms, ON_TIME_BASES * base_ms
        if self.use_littles_law:
            if on_time_ms > target_ms:
                late_ms = min(on_time_ms, MAX_ON_TIME_TARGETS * target_ms)
            if self.last_answer_ms == 0.0 and self.limit > self.first_limit:  # the open start is over
                self.limit = max(self.first_limit, in_flight / MIN_UTILIZATION_TO_GROW)
        wait = now_ms - self.last_answer_ms
        if not dropped:
            # Little's law gives the calls that the servers' rate needs in flight without a queue. This guards
            # against lowering a limit of many calls per server far below what keeps the servers busy. A queue
            # can still drain, as its growth lowers the rate.
            needed = in_flight - per_call
            if latency_ms > base_ms:
                needed *= base_ms / latency_ms
            self.required_in_flight += (needed - self.required_in_flight) * (
                wait / IN_FLIGHT_MEAN_MS if wait < IN_FLIGHT_MEAN_MS else 1.0
            )
        if on_time_ms < self.min_on_time_part * target_ms:
            on_time_ms = self.min_on_time_part * target_ms
        if on_time_ms > late_ms:
            on_time_ms = late_ms
        if on_time_ms < MIN_ON_TIME_MS:
            on_time_ms = MIN_ON_TIME_MS
        span = wait if wait < MAX_SPAN_MS else MAX_SPAN_MS
        self.last_answer_ms = now_ms
        answer = (
            MAX_LATENESS if dropped or latency_ms > MAX_LATENESS * on_time_ms else latency_ms / on_time_ms
        )
        self.lateness += (answer - self.lateness) * LATENESS_WEIGHT
        slack = 1.0 - self.lateness
        least = MIN_LIMIT_PART * self.first_limit
        if self.use_littles_law:
            least = max(least, MIN_IN_FLIGHT_PART * self.required_in_flight)
            # Guards against limits too low for servers that show no overload. Servers that reject calls or
            # answer too late must be able to drain their queues, so this bound does not apply to them.
            self.overload_share += (
                float(dropped or latency_ms > late_ms) - self.overload_share
            ) * LATENESS_WEIGHT
            if self.overload_share < MAX_NORMAL_OVERLOAD:
                least = max(least, self.min_limit(base_ms, on_time_ms))
        limit = self.limit
        adapt_ms = ADAPT_BASE_TIMES * base_ms if slack < 0 or self.lowered else ADAPT_TIME_MS
        span /= adapt_ms if adapt_ms > ADAPT_TIME_MS else ADAPT_TIME_MS
        if slack < 0:
            self.lowered = True
            limit *= 1.0 + max(-0.5, slack * span)
        elif in_flight > limit * MIN_UTILIZATION_TO_GROW:
            limit *= 1.0 + slack * span / (
                GROWTH_SLOWDOWN / SLOW_START_SPEEDUP if limit < self.first_limit else GROWTH_SLOWDOWN
            )
        self.set_limit(limit, least)


def open_start(first_limit: float, proxy_share: float = 1.0) -> LatenessLimiter:
    """Returns the default limiter, open until the first answer."""
    return LatenessLimiter(first_limit, proxy_share, stays_open=True)


def base_time_only(first_limit: float, proxy_share: float = 1.0) -> LatenessLimiter:
    """Returns a limiter that compares answers with the base time alone and has no bound by Little's law."""
    return LatenessLimiter(first_limit, proxy_share, min_on_time_part=0.0, use_littles_law=False)
