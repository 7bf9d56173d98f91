"""Limits admitted repeats to a ratio of first attempts, with a token bucket for each tenant."""

from __future__ import annotations

from collections import OrderedDict

RATIO = 0.2  # repeats admitted for each first attempt during a storm
BURST_MS = 1000.0  # tokens earned in this time may be saved
MIN_BURST = 3.0  # tokens that a tenant with little traffic may save
RESERVED_PART = 0.5  # part of a bucket's capacity that only repeats at their return time may use
WIDEN_STEP_MS, WIDEN_FACTOR = 500.0, 1.5  # widening of the budget while the storm ebbs
MAX_TENANTS = 256  # with a bucket of their own; any beyond that share one bucket
RATE_WINDOW_MS = 2000.0


class Rate:
    """A moving average of events per ms, over RATE_WINDOW_MS."""

    __slots__ = ("at_ms", "per_ms")

    def __init__(self, now: float) -> None:
        self.per_ms, self.at_ms = 0.0, now

    def record(self, now: float) -> None:
        """Counts one event."""
        passed, self.at_ms = max(0.0, now - self.at_ms), now
        self.per_ms = self.per_ms * max(0.0, 1.0 - passed / RATE_WINDOW_MS) + 1.0 / RATE_WINDOW_MS


class Bucket:
    """Tokens that first attempts earn and repeats spend."""

    __slots__ = ("rate", "tokens")

    def __init__(self, now: float) -> None:
        self.tokens, self.rate = MIN_BURST, Rate(now)

    def _capacity(self, ratio: float) -> float:
        return max(MIN_BURST, self.rate.per_ms * BURST_MS * ratio)

    def earn(self, now: float, ratio: float) -> None:
        """Adds the tokens that a first attempt earns."""
        self.rate.record(now)
        self.tokens = min(self._capacity(ratio), self.tokens + ratio)

    def spend(self, ratio: float, reserved: bool) -> bool:
        """Spends a token for a repeat if it may; `reserved`: whether it may use the reserved part."""
        capacity = self._capacity(ratio)
        if self.tokens < (1.0 if reserved else 1.0 + RESERVED_PART * capacity):
            return False
        self.tokens -= 1.0
        return True


class RepeatBudget:
    """The tenants' buckets. Each tenant's repeats are paid for by its own first attempts."""

    def __init__(self, ratio: float = RATIO, max_tenants: int = MAX_TENANTS) -> None:
        if not 0.0 < ratio <= 1.0:
            raise ValueError(f"ratio: expected over 0 and up to 1, got {ratio}")
        self.ratio, self.max_tenants = ratio, max_tenants
        self.buckets: OrderedDict[str, Bucket] = OrderedDict()
        self.shared: Bucket | None = None
        self.widened = 1.0

    def _bucket(self, now: float, tenant: str) -> Bucket:
        bucket = self.buckets.get(tenant)
        if bucket is None:
            if len(self.buckets) >= self.max_tenants:
                if self.shared is None:
                    self.shared = Bucket(now)
                oldest_tenant, oldest_bucket = next(iter(self.buckets.items()))
                # Guards against made-up tenant names that evict tenants with traffic.
                if now - oldest_bucket.rate.at_ms < RATE_WINDOW_MS:
                    return self.shared
                del self.buckets[oldest_tenant]
            bucket = self.buckets[tenant] = Bucket(now)
        return bucket

    def record_first(self, now: float, tenant: str) -> None:
        """Counts a first attempt of a tenant."""
        bucket = self._bucket(now, tenant)
        bucket.earn(now, self.ratio * self.widened)
        if tenant in self.buckets:
            self.buckets.move_to_end(tenant)

    def admits_repeat(self, now: float, tenant: str, at_return_time: bool) -> bool:
        """Whether a tenant's repeat is admitted; `at_return_time`: it comes at its return time."""
        return self._bucket(now, tenant).spend(self.ratio * self.widened, at_return_time)

    def widen(self, ebbing_ms: float) -> None:
        """Widens the budget by a step each WIDEN_STEP_MS of ebbing, up to a repeat for each first attempt."""
        self.widened = min(1.0 / self.ratio, WIDEN_FACTOR ** int(ebbing_ms // WIDEN_STEP_MS))

    def narrow(self) -> None:
        """Returns the budget to its ratio, when a storm begins."""
        self.widened = 1.0
