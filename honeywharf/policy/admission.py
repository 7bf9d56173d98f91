"""Load shedding by limits of zones and of this proxy, tenants' quotas, and requests' values (`worth`)."""

from __future__ import annotations

import random

from honeywharf import limits
from honeywharf.limits.token_bucket import TokenBucket
from honeywharf.limits.zone import WORTH_POWER, Zone
from honeywharf.policy import interface as api
from honeywharf.policy.requests import Request

#: Outcomes of calls that never reached a server: they are no load, and show nothing of the server's health.
UNDELIVERED = frozenset({api.Outcome.CONNECT_FAILED, api.Outcome.NOT_SENT, api.Outcome.CANCELLED})
# An answer that takes longer than this part of its latency target is late; the rest is for variance.
TARGET_PART = 0.4
SAFE_FIRST_CALLS = 1.0  # calls that any server can take, for its own tier and for each tier below it
OVER_QUOTA_LIMIT_SHARE = 0.25  # tenants over their quota may use this part of a limit


class Admission:
    """Decides how much of a zone's limit is open to a request, and feeds outcomes to the limiters."""

    def __init__(self, settings: api.Settings, rng: random.Random, limiter: str) -> None:
        self.settings, self.random, self.limiter = settings, rng, limiter
        self.tenants = {t.name: t for t in settings.tenants}
        self.buckets: dict[str, TokenBucket] = {}  # only of tenants in the settings
        self.mean_worth = max(c.worth for c in settings.classes) or 1.0
        self.loop = limits.LoopLimiter(min(c.aim_ms for c in settings.classes))

    def apply_settings(self, settings: api.Settings) -> None:
        """Applies new settings; tenants whose quota changed begin with a full bucket."""
        before, self.settings = self.tenants, settings
        self.tenants = {t.name: t for t in settings.tenants}
        self.buckets = {n: b for n, b in self.buckets.items() if self.tenants.get(n) == before.get(n)}

    def make_limiter(self) -> limits.Limiter:
        """Returns a limiter of a zone's calls; the balancers of a zone share its servers evenly."""
        settings = self.settings
        share = min(1.0, settings.zones / settings.balancers)
        return limits.make(self.limiter, SAFE_FIRST_CALLS * (settings.tiers - settings.tier) * share, share)

    def sheds_for_proxy(self) -> bool:
        """Whether this request is shed because this proxy's event loop is overloaded."""
        return self.loop.share < 1.0 and not self.loop.accepts(self.random.random())

    def assess(self, now: float, request: Request, tenant: str) -> None:
        """Sets the request's value (`worth`), and how much of a zone's limit is open to it."""
        request.limit_share = min(1.0, (request.worth / self.mean_worth) ** WORTH_POWER)
        bucket = self.buckets.get(tenant)
        if bucket is None and tenant in self.tenants:
            quota = self.tenants[tenant].quota_per_s / self.settings.balancers
            bucket = self.buckets[tenant] = TokenBucket(quota / 1000.0, quota, now)
        if bucket is not None and not bucket.take(now):
            request.worth *= self.settings.over_share_worth
            request.limit_share *= OVER_QUOTA_LIMIT_SHARE
        self.mean_worth += (request.worth - self.mean_worth) / 100.0

    def learn(
        self,
        now: float,
        zone: Zone,
        cls: api.RequestClass,
        event: api.AttemptEnded,
        base_ms: float | None,
    ) -> None:
        """Adjusts a zone's limit by one outcome. `base_ms`: the class's unloaded answer time, if known."""
        target = TARGET_PART * cls.aim_ms
        base = target if base_ms is None else base_ms
        zone.learn(
            now,
            event.elapsed_ms - event.proxy_ms,
            base,
            target,
            event.outcome is api.Outcome.OK,
            event.outcome is api.Outcome.REJECTED,
            event.outcome not in UNDELIVERED,
        )
