"""A tenant's share of a site's requests at one balancer: a token bucket (RFC 2697 has the field's form)."""

from __future__ import annotations

from dataclasses import dataclass

SHARE_BURST_MS = 5000.0  # of its share that a tenant may save: one balancer sees few of its calls


@dataclass(slots=True, eq=False)
class Bucket:
    """A tenant's share at this balancer: an even part of its quota over all balancers."""

    per_ms: float
    tokens: float
    filled_ms: float

    def take(self, now: float) -> bool:
        """Whether one more request is within the share."""
        self.tokens = min(SHARE_BURST_MS * self.per_ms, self.tokens + (now - self.filled_ms) * self.per_ms)
        self.filled_ms = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
