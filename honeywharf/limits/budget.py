"""The retry budget: tokens that first attempts earn and further attempts cost (as in Finagle)."""

from __future__ import annotations

RETRY_RATIO = 0.1  # retries earned by each first attempt, which bounds the added load when all calls fail
RETRY_BURST = 5.0  # retries that an idle balancer may make at once


class RetryBudget:
    """Tokens that first attempts earn and further attempts cost, up to `RETRY_BURST`."""

    def __init__(self) -> None:
        self.tokens = RETRY_BURST

    def earn(self) -> None:
        """Credits a first attempt."""
        self.tokens = min(RETRY_BURST, self.tokens + RETRY_RATIO)

    def spend(self, cost: float) -> bool:
        """Takes `cost` from the budget; returns whether the budget covered it."""
        if self.tokens < cost:
            return False
        self.tokens -= cost
        return True
