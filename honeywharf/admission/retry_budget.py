"""The retry budget that all proxies share, spent without coordination.

Theory of operation. The rule (RULES, BUDGET) bounds the repeated arrivals at a service, over all proxies, in
each window of `retry-window`, by `ratio` x requests + `slack`. In a window each proxy may spend `BOUND_PART`
x ratio x its own requests for the service in the window, and an even share of `BOUND_PART` x slack over the
proxies that it knows of, but at most a quarter. The sum stays below the bound as long as at most four proxies
at a time are wrong about their number. An attempt whose calls are repeats as well counts for each of them:
`spend` takes the number of arrivals that it may cause.
"""

from __future__ import annotations

from collections import deque

BOUND_PART = 0.4  # the margin covers the proxies' unaligned windows, and repeats that cause further calls
WINDOW_SLICES = 10


class RetryBudget:
    """One service's budget at one proxy. The settings' bounds give `ratio`, `slack` and `window_s`."""

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        if ratio < 0 or slack < 0 or window_s <= 0:
            raise ValueError(
                f"retry budget: expected ratio and slack of at least 0 and a window above 0, "
                f"got ratio {ratio}, slack {slack}, window {window_s} s"
            )
        self.ratio, self.slack, self.window_s = ratio, slack, window_s
        self.slices: deque[list[float]] = deque()  # [number of the slice, requests, spent], oldest first
        self.requests = self.spent = 0.0

    def _slice(self, now: float) -> list[float]:
        number = float(int(now * WINDOW_SLICES / self.window_s))
        while self.slices and self.slices[0][0] < number - WINDOW_SLICES:
            _, requests, spent = self.slices.popleft()
            self.requests -= requests
            self.spent -= spent
        if not self.slices or self.slices[-1][0] != number:
            self.slices.append([number, 0.0, 0.0])
        return self.slices[-1]

    def record_request(self, now: float) -> None:
        """Counts a client's request for the service."""
        self._slice(now)[1] += 1.0
        self.requests += 1.0

    def spend(self, now: float, proxies: int, arrivals: float = 1.0) -> bool:
        """Whether the budget covers `arrivals` repeated arrivals; if so, they are counted."""
        current = self._slice(now)
        share = self.slack / max(4, proxies)
        if self.spent + arrivals > BOUND_PART * (self.ratio * self.requests + share):
            return False
        current[2] += arrivals
        self.spent += arrivals
        return True
