"""The retry budget that all proxies share, spent without asking anybody.

Theory of operation. The rule (RULES, BUDGET) bounds the arrivals beyond the first at a service, over all
proxies, in each window of `retry-window`, by `ratio` x requests + `slack`. Each proxy may spend in a window
`PART` x ratio x the requests that it took itself for the service in the window, and a share of `PART` x slack
that is even over the proxies it knows of, but at most a quarter of it: the sum stays below the bound as
long as four proxies or fewer are wrong about how many there are at a time. A try whose calls are repeats
too counts for each: `spend` takes how many arrivals it may come to.
"""

from __future__ import annotations

from collections import deque

PART = 0.4  # of the bound: the windows of several proxies do not lie the same, and repeats call on
SLICES = 10  # of a window


class RetryBudget:
    """One service's budget at one proxy. `ratio`, `slack`, `window_s` as the settings' bounds say."""

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        if ratio < 0 or slack < 0 or window_s <= 0:
            raise ValueError(
                f"found ratio {ratio}, slack {slack}, window {window_s} s, wanted 0 or more, a window above 0"
            )
        self.ratio, self.slack, self.window_s = ratio, slack, window_s
        self.slices: deque[list[float]] = deque()  # [number of the slice, requests, spent], the oldest first
        self.taken = self.spent = 0.0

    def _slice(self, now: float) -> list[float]:
        number = float(int(now * SLICES / self.window_s))
        while self.slices and self.slices[0][0] < number - SLICES:
            _, taken, spent = self.slices.popleft()
            self.taken -= taken
            self.spent -= spent
        if not self.slices or self.slices[-1][0] != number:
            self.slices.append([number, 0.0, 0.0])
        return self.slices[-1]

    def took(self, now: float) -> None:
        """A client's request for the service came."""
        self._slice(now)[1] += 1.0
        self.taken += 1.0

    def spend(self, now: float, proxies: int, arrivals: float = 1.0) -> bool:
        """Whether so many further arrivals may be caused; they are counted if so."""
        part = self._slice(now)
        share = self.slack / max(4, proxies)
        if self.spent + arrivals > PART * (self.ratio * self.taken + share):
            return False
        part[2] += arrivals
        self.spent += arrivals
        return True
