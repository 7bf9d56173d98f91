"""The limiter in use: lowered by the mean lateness of answers, raised slowly while it binds.

An answer is at ease up to `EASE` base times, but no sooner than `AIM_LEAST` of the target: what is so far
within the aim shows no crowd, however it compares with the fastest answers seen. Above the target it is late,
unless servers at ease take longer than that. A proxy that has the servers to itself is open at first: what it
holds is all they hold. The first answer sets the limit to what was in flight, or to its first value if that
is more; where none comes soon, the caller lets it `settle` at the first value. One that shares the servers
knows nothing of what others have in flight, and begins there. From there on the limit moves by time, not by
answers, so that proxies of much and of little traffic agree: multiplicative both ways, e-fold in `ADAPT_MS`
(once it was lowered, in `ADAPT_BASES` base times where those are more) for answers late by once the ease, and
`GROWTH` times more slowly upwards, for answers tell of a limit one round trip late: what was let in by then
jams servers, which stay slow for long.
"""

from __future__ import annotations

from honeywharf.limits.base import Limiter

EASE = 1.35  # base times: a mean so late, over many answers, is a crowd
AIM_LEAST = 0.25  # of the target: sooner than that nothing is late
ADAPT_MS = 500.0
ADAPT_BASES = 1.5  # base times, where those are more: moving faster than answers tell of it swings
GROWTH = 5.0
SLOW_START = 4.0  # how much faster a limit under its first value grows: that much is known to be safe
IN_USE = 0.8  # part of a limit that must be in use for it to grow: else it has not been tried
FOLLOWS = 0.3  # of an answer, in the mean: single ones come late by chance, and lowering goes faster
LATEST = 3.0  # eases that one answer may count as late
EASE_LEAST_MS = 1e-3  # no answer is sooner: guards the division where no base time is known
SPAN_MS = 250.0  # the longest time that one answer may speak for
OPEN = 64.0  # calls for each unit of capacity before the first answer: one answer time of them jams nothing
SLOWEST = 1.75  # targets: answers at ease may take so long before the aim is out of reach
FLIGHT_MS = 1000.0  # over which the calls that are needed in flight are formed
FLIGHT_PART = 0.9  # of these, below which no limit goes: some have to go, or a standing queue stays
CALM = 0.5  # part of answers dropped or past the ease's bound: under it, nothing bad is known
MIN_PART = 0.25  # of its first value that a limit keeps where servers turn away or answer past the target


class LatenessLimiter(Limiter):
    """AIMD in continuous time on answers' lateness; of our own, after TCP's congestion avoidance (RFC 5681).

    `stays_open`: it waits for the first answer however long that takes, and also where servers are shared:
    for servers that take many calls at once and do not jam. `aim_least` 0 and `little` False give the limiter
    as it was before Little's law: see `formerly`.
    """

    __slots__ = (
        "aim_least",
        "flight",
        "lateness",
        "learned_ms",
        "little",
        "lowered",
        "overload",
        "stays_open",
    )

    def __init__(
        self,
        first: float,
        part: float = 1.0,
        *,
        aim_least: float = AIM_LEAST,
        little: bool = True,
        stays_open: bool = False,
    ) -> None:
        super().__init__(first, part)
        self.aim_least, self.little, self.stays_open = aim_least, little, stays_open
        self.learned_ms = 0.0
        self.lowered = False  # a crowd has been seen: slow start is over
        self.lateness = 1.0  # the running mean
        self.flight = 0.0
        self.overload = 0.0  # the running share of answers that were dropped or past the target
        if little and (part >= 1.0 or stays_open):
            self.limit = max(first, OPEN)

    def crowded(self) -> bool:
        """Whether the running mean of lateness is past ease."""
        return self.lateness > 1.0

    def settle(self) -> None:
        """Begin at the first value, unless an answer has come or it is to wait for one."""
        if self.learned_ms == 0.0 and not self.stays_open:
            super().settle()

    def learn(
        self,
        now_ms: float,
        latency_ms: float,
        base_ms: float,
        target_ms: float,
        in_flight: float,
        *,
        one: float = 0.0,
        dropped: bool = False,
    ) -> None:
        """Move the limit by one answer. It is on the path of each request: comparisons, not min and max."""
        latest, ease = target_ms, EASE * base_ms
        if self.little:
            if ease > target_ms:
                latest = min(ease, SLOWEST * target_ms)
            if self.learned_ms == 0.0 and self.limit > self.first:  # the open start is over
                self.limit = max(self.first, in_flight / IN_USE)
        wait = now_ms - self.learned_ms
        if not dropped:
            # Little's law again, now with what the servers do: calls in flight at their rate without a queue.
            # Guards against lowering a limit of many calls a server, at one answer a round trip, to far below
            # what keeps the servers at work. A jam is let drain, as its rate falls.
            needed = in_flight - one
            if latency_ms > base_ms:
                needed *= base_ms / latency_ms
            self.flight += (needed - self.flight) * (wait / FLIGHT_MS if wait < FLIGHT_MS else 1.0)
        if ease < self.aim_least * target_ms:
            ease = self.aim_least * target_ms
        if ease > latest:
            ease = latest
        if ease < EASE_LEAST_MS:
            ease = EASE_LEAST_MS
        span = wait if wait < SPAN_MS else SPAN_MS
        self.learned_ms = now_ms
        late = LATEST if dropped or latency_ms > LATEST * ease else latency_ms / ease
        self.lateness += (late - self.lateness) * FOLLOWS
        short = 1.0 - self.lateness
        least = MIN_PART * self.first
        if self.little:
            least = max(least, FLIGHT_PART * self.flight)
            # Guards against a floor that starves servers of which nothing bad is known. Where they turn away
            # or answer past the target, more is known, and a jam must be able to drain.
            self.overload += (float(dropped or latency_ms > latest) - self.overload) * FOLLOWS
            if self.overload < CALM:
                least = max(least, self.least(base_ms, ease))
        limit = self.limit
        adapt = ADAPT_BASES * base_ms if short < 0 or self.lowered else ADAPT_MS
        span /= adapt if adapt > ADAPT_MS else ADAPT_MS
        if short < 0:
            self.lowered = True
            limit *= 1.0 + max(-0.5, short * span)
        elif in_flight > limit * IN_USE:
            limit *= 1.0 + short * span / (GROWTH / SLOW_START if limit < self.first else GROWTH)
        self.bound(limit, least)


def open_start(first: float, part: float = 1.0) -> LatenessLimiter:
    """The limiter in use, open until the first answer."""
    return LatenessLimiter(first, part, stays_open=True)


def formerly(first: float, part: float = 1.0) -> LatenessLimiter:
    """The limiter of the build before: late against the base time alone, and no floor by Little's law."""
    return LatenessLimiter(first, part, aim_least=0.0, little=False)
