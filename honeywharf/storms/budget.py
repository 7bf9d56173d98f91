"""How many repeats may be begun: a part of first tries, over clients, by tenant."""

from __future__ import annotations

from collections import OrderedDict

RATIO = 0.2  # repeats for each first try, while it storms
BURST_MS = 1000.0  # of first tries' earnings that may be saved
MIN_BURST = 3.0  # a quiet tenant may repeat so often at once
KEPT_PART = 0.5  # of what is saved, for those that come as told
STEP_MS, STEP = 500.0, 1.5  # while it ebbs the budget is widened by so much, each time
MAX_TENANTS = 256  # told apart; beyond it the one heard longest ago shares the others' bucket
RATE_OVER_MS = 2000.0


class Rate:
    """How many come a ms, over RATE_OVER_MS."""

    __slots__ = ("at_ms", "per_ms")

    def __init__(self, now: float) -> None:
        self.per_ms, self.at_ms = 0.0, now

    def came(self, now: float) -> None:
        """One more."""
        passed, self.at_ms = max(0.0, now - self.at_ms), now
        self.per_ms = self.per_ms * max(0.0, 1.0 - passed / RATE_OVER_MS) + 1.0 / RATE_OVER_MS


class Bucket:
    """Tokens that first tries earn and repeats cost."""

    __slots__ = ("rate", "tokens")

    def __init__(self, now: float) -> None:
        self.tokens, self.rate = MIN_BURST, Rate(now)

    def _most(self, ratio: float) -> float:
        return max(MIN_BURST, self.rate.per_ms * BURST_MS * ratio)

    def earn(self, now: float, ratio: float) -> None:
        """A first try."""
        self.rate.came(now)
        self.tokens = min(self._most(ratio), self.tokens + ratio)

    def spend(self, ratio: float, kept: bool) -> bool:
        """Whether a repeat may be begun; `kept`: what is kept for those that come as told is open to it."""
        most = self._most(ratio)
        if self.tokens < (1.0 if kept else 1.0 + KEPT_PART * most):
            return False
        self.tokens -= 1.0
        return True


class RepeatBudget:
    """The tenants' buckets. Each tenant's repeats are paid by its own first tries."""

    def __init__(self, ratio: float = RATIO, most: int = MAX_TENANTS) -> None:
        if not 0.0 < ratio <= 1.0:
            raise ValueError(f"repeat budget: wanted a ratio over 0 and up to 1, found {ratio}")
        self.ratio, self.most = ratio, most
        self.buckets: OrderedDict[str, Bucket] = OrderedDict()
        self.others: Bucket | None = None
        self.widened = 1.0

    def _bucket(self, now: float, tenant: str) -> Bucket:
        bucket = self.buckets.get(tenant)
        if bucket is None:
            if len(self.buckets) >= self.most:
                if self.others is None:
                    self.others = Bucket(now)
                oldest, spared = next(iter(self.buckets.items()))
                if now - spared.rate.at_ms < RATE_OVER_MS:  # all are at work: made-up tenants push nobody out
                    return self.others
                del self.buckets[oldest]
            bucket = self.buckets[tenant] = Bucket(now)
        return bucket

    def first(self, now: float, tenant: str) -> None:
        """A first try."""
        bucket = self._bucket(now, tenant)
        bucket.earn(now, self.ratio * self.widened)
        if tenant in self.buckets:
            self.buckets.move_to_end(tenant)

    def repeat(self, now: float, tenant: str, as_told: bool) -> bool:
        """Whether a repeat may be begun."""
        return self._bucket(now, tenant).spend(self.ratio * self.widened, as_told)

    def widen(self, ebbing_ms: float) -> None:
        """The storm ebbs, for so long: a step wider each STEP_MS, up to a repeat for each first try."""
        self.widened = min(1.0 / self.ratio, STEP ** int(ebbing_ms // STEP_MS))

    def narrow(self) -> None:
        """It storms."""
        self.widened = 1.0
