"""The bound on requests to a cold backend, enforced by the sidecar that all of them pass through.

Theory of operation. RULES, FAILBACK: a cold backend may receive at most `cold-per-s` x `cold-overage` +
`cold-slack` requests in any second. The sidecar sends at most `BOUND_PART` of that in any sliding `WINDOW_S`,
which is a little longer than a second, as the delay between sending and arrival varies. A sidecar that has
just started does not know how much its predecessor sent, so it treats the bound as used up at its start. That
the backend states a whole start's cold time does not prove that it started since: it may have become cold
again while it was cold.
"""

from __future__ import annotations

from collections import deque

WINDOW_S = 1.15
BOUND_PART = 0.9
MAX_KEPT = 8192  # send times; a higher bound has no effect
STARTUP_WAIT_S = 1.15


class ColdBound:
    """Keeps the send times of the last window, and bounds them while the backend is cold."""

    __slots__ = ("most", "sent", "starts_at")

    def __init__(self, now: float, per_s: float, overage: float, slack: float, fresh: bool) -> None:
        self.sent: deque[float] = deque()
        self.most = 0
        self.starts_at = now + (STARTUP_WAIT_S if fresh else 0.0)
        self.set_bound(per_s, overage, slack)

    def set_bound(self, per_s: float, overage: float, slack: float) -> None:
        """Applies a new bound: the configured requests per second, and the rule's overage and slack."""
        self.most = max(1, min(MAX_KEPT, int(BOUND_PART * min(1e6, per_s * overage + slack))))

    def wait_s(self, now: float) -> float:
        """Returns the seconds until one more request may be sent; 0.0 for at once."""
        if now < self.starts_at:
            return self.starts_at - now
        while self.sent and self.sent[0] <= now - WINDOW_S:
            self.sent.popleft()
        return 0.0 if len(self.sent) < self.most else self.sent[len(self.sent) - self.most] + WINDOW_S - now

    def record(self, now: float) -> None:
        """Records a request that was sent, also while the backend is not known to be cold.

        The report that a backend is cold may be late, and the window then covers the requests sent before.
        """
        self.sent.append(now)
        while self.sent[0] <= now - WINDOW_S or len(self.sent) > MAX_KEPT:
            self.sent.popleft()
