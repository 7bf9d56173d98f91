"""The bound on what a cold backend receives, held by the one gate that it is reached through.

Theory of operation. RULES, FAILBACK: in no second may a cold backend receive more than `cold-per-s` x
`cold-overage` + `cold-slack` requests. The gate sends at most `PART` of that in any sliding `WINDOW_S`, which
is a little longer than a second: sending and arrival do not fall together. A gate that has just started
does not know what its predecessor sent, so it takes the bound as used up at its start.
"""

from __future__ import annotations

from collections import deque

WINDOW_S = 1.15
PART = 0.9
MOST = 8192  # times kept; a bound above that binds nobody
FRESH_S = 1.15  # after a start


class ColdBound:
    """Times of what was sent in the last window, cold or not."""

    __slots__ = ("begun", "most", "sent")

    def __init__(self, now: float, per_s: float, overage: float, slack: float, fresh: bool) -> None:
        self.sent: deque[float] = deque()
        self.most = 0
        self.begun = now + (FRESH_S if fresh else 0.0)
        self.bound(per_s, overage, slack)

    def bound(self, per_s: float, overage: float, slack: float) -> None:
        """Take a new bound over: requests a second as configured, and the rule's figures."""
        self.most = max(1, min(MOST, int(PART * min(1e6, per_s * overage + slack))))

    def unused(self) -> None:
        """Nobody can have sent anything before this process did."""
        self.begun = 0.0

    def wait(self, now: float) -> float:
        """Seconds until one more may be sent; 0.0 now."""
        if now < self.begun:
            return self.begun - now
        while self.sent and self.sent[0] <= now - WINDOW_S:
            self.sent.popleft()
        return 0.0 if len(self.sent) < self.most else self.sent[len(self.sent) - self.most] + WINDOW_S - now

    def took(self, now: float) -> None:
        """One was sent, cold or not.

        Coldness may be told late, and the window then holds what went before.
        """
        self.sent.append(now)
        while self.sent[0] <= now - WINDOW_S or len(self.sent) > MOST:
            self.sent.popleft()
