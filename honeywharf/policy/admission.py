"""What is turned away: limits of zones and of this proxy, tenants' shares, and what a request is worth."""

from __future__ import annotations

import random

from honeywharf import limits
from honeywharf.limits.bucket import Bucket
from honeywharf.limits.zone import WORTH_POWER, Zone
from honeywharf.policy import interface as api
from honeywharf.policy.requests import Request

#: What never left for a server, or never reached it: no load, and no word of how the server does.
UNREACHED = frozenset({api.Outcome.CONNECT_FAILED, api.Outcome.NOT_SENT, api.Outcome.CANCELLED})
TARGET = 0.4  # of its aim that an answer may take before a zone counts as crowded; the rest is for chance
FIRST_CALLS = 1.0  # calls that are safe for any server, for itself and each tier below it
OVER_SHARE_ROOM = 0.25  # part of a limit open to tenants over their share: the rest is kept for the others


class Admission:
    """How much of the room in a zone is open to a request, and what answers teach of that room."""

    def __init__(self, settings: api.Settings, rng: random.Random, limiter: str) -> None:
        self.settings, self.random, self.limiter = settings, rng, limiter
        self.tenants = {t.name: t for t in settings.tenants}
        self.buckets: dict[str, Bucket] = {}  # of those that are in the settings: no more
        self.mean_worth = max(c.worth for c in settings.classes) or 1.0
        self.loop = limits.LoopLimiter(min(c.aim_ms for c in settings.classes))

    def retune(self, settings: api.Settings) -> None:
        """Take new settings over; tenants whose quota changed begin with a full share of the new one."""
        before, self.settings = self.tenants, settings
        self.tenants = {t.name: t for t in settings.tenants}
        self.buckets = {n: b for n, b in self.buckets.items() if self.tenants.get(n) == before.get(n)}

    def make_limiter(self) -> limits.Limiter:
        """A limiter of a zone's calls; the balancers of a zone share its servers evenly."""
        settings = self.settings
        part = min(1.0, settings.zones / settings.balancers)
        return limits.make(self.limiter, FIRST_CALLS * (settings.tiers - settings.tier) * part, part)

    def sheds(self) -> bool:
        """Whether this proxy itself is so short of time that this request has to go."""
        return self.loop.share < 1.0 and not self.loop.takes(self.random.random())

    def rank(self, now: float, request: Request, tenant: str) -> None:
        """What the request is worth here, and how much of a zone's limit is open to it."""
        request.room = min(1.0, (request.worth / self.mean_worth) ** WORTH_POWER)
        bucket = self.buckets.get(tenant)
        if bucket is None and tenant in self.tenants:
            quota = self.tenants[tenant].quota_per_s / self.settings.balancers
            bucket = self.buckets[tenant] = Bucket(quota / 1000.0, quota, now)
        if bucket is not None and not bucket.take(now):
            request.worth *= self.settings.over_share_worth
            request.room *= OVER_SHARE_ROOM
        self.mean_worth += (request.worth - self.mean_worth) / 100.0

    def learn(
        self,
        now: float,
        zone: Zone,
        cls: api.RequestClass,
        event: api.AttemptEnded,
        base_ms: float | None,
    ) -> None:
        """Teach a zone's limit by one outcome. `base_ms`: the class's time at ease, where one is known."""
        target = TARGET * cls.aim_ms
        base = target if base_ms is None else base_ms
        zone.learn(
            now,
            event.elapsed_ms - event.proxy_ms,
            base,
            target,
            event.outcome is api.Outcome.OK,
            event.outcome is api.Outcome.REJECTED,
            event.outcome not in UNREACHED,
        )
