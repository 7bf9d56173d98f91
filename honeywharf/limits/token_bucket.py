"""A tenant's quota at one balancer: a token bucket (RFC 2697)."""

from __future__ import annotations

from dataclasses import dataclass

BURST_MS = 5000.0  # a tenant may save up this part of its quota, as one balancer gets its calls unevenly


@dataclass(slots=True, eq=False)
class TokenBucket:
    """A tenant's quota at this balancer: an even part of its quota over all balancers."""

    per_ms: float
    tokens: float
    filled_ms: float

    def take(self, now: float) -> bool:
        """Takes a token; returns whether there was one."""
        self.tokens = min(BURST_MS * self.per_ms, self.tokens + (now - self.filled_ms) * self.per_ms)
        self.filled_ms = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
