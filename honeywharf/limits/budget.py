"""The budget of further attempts: tokens that first attempts earn (a retry budget in Finagle's sense)."""

from __future__ import annotations

RETRY_RATIO = 0.1  # retries earned by each first attempt: a tenth more load at most when all fails
RETRY_BURST = 5.0  # retries a quiet balancer may make at once


class RetryBudget:
    """Tokens that first attempts earn and further ones cost, up to a bound."""

    def __init__(self) -> None:
        self.tokens = RETRY_BURST

    def earn(self) -> None:
        """A first attempt."""
        self.tokens = min(RETRY_BURST, self.tokens + RETRY_RATIO)

    def spend(self, cost: float) -> bool:
        """Whether there was so much, which is gone now."""
        if self.tokens < cost:
            return False
        self.tokens -= cost
        return True
