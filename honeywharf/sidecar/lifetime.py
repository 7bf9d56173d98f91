"""The planned end of this process, and the work that it may still begin before it.

Theory of operation. How long a request takes is not known before it is over: earlier answers of a backend do
not bound its next one. What bounds a request is its deadline, the earlier one of the client's and the route's
time-out. A process that stops therefore begins an attempt only if the deadline is not after its own end.

One exception is needed: the platform needs some time to notice that this process is not ready, and sends it
clients until then, which have no other way into the mesh. Until `accepts_all_until` their requests are
accepted whatever their deadlines are. Source: RULES and NEWS-22 (LOST), PROTOCOL ("How clients arrive").

    before SIGTERM           everything is begun
    until `accepts_all_until` requests of clients here: everything; of other sidecars: what ends in time
    later                    what ends in time
"""

from __future__ import annotations

NEVER = float("inf")
RESTART_S = 1.0  # from the end of one process of this program until the next one serves
ROUNDING_S = 0.001  # a deadline that was derived from `end_at` may be later by this much


class Lifetime:
    """When this process ends, shared by all of its parts. Times are in seconds on the steady clock."""

    __slots__ = ("accepts_all_until", "end_at", "refused")

    def __init__(self) -> None:
        self.end_at = self.accepts_all_until = NEVER
        self.refused = 0  # requests and attempts not begun because they could outlast this process

    def plan_end(self, end_at: float, accepts_all_until: float) -> None:
        """Plans the end of this process, and how long clients' requests are accepted all the same."""
        self.end_at, self.accepts_all_until = end_at, accepts_all_until

    def is_outlasted(self, deadline: float) -> bool:
        """Whether work that may last until `deadline` (in s) may be under way when this process ends."""
        return deadline > self.end_at + ROUNDING_S

    def may_begin(self, now: float, deadline: float) -> bool:
        """Whether an attempt for a client of this machine may begin; counts a refusal. Times are in s."""
        if now <= self.accepts_all_until or not self.is_outlasted(deadline):
            return True
        self.refused += 1
        return False

    def restart_wait_s(self, now: float) -> float:
        """Returns the seconds after which the next process of this program is likely to serve."""
        return max(0.0, self.end_at - now) + RESTART_S
