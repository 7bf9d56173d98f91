"""A proxy as its clients meet it: up or down, its accept queue and pace, its descriptors, its one core.

Without I/O and without decisions: these are `policy`'s and `storms`'. Times in ms.
"""

from __future__ import annotations

from dataclasses import dataclass

QUEUE = 1024  # connections that the kernel holds for one listener; one more is not taken
LOOK_MS = 50.0  # until a full proxy is tried again
FULL = -1.0


@dataclass(slots=True)
class HttpServer:
    """One proxy's door. `accept_ms`, `request_ms`: of its core, for a connection and for a request."""

    accept_ms: float = 0.0
    request_ms: float = 0.0
    most: int = 1000  # connections of callers that its descriptors allow
    up: bool = True
    listed: bool = True  # the front sends to it, whether it is up or not
    restarted_ms: float = float("-inf")
    open: int = 0
    per_ms: float = 0.0  # connections that may be accepted; 0 for no bound
    next_ms: float = 0.0  # when the next may be, where there is one
    free_ms: float = 0.0  # when the core has done what it has taken
    queued: int = 0  # connections that wait to be accepted

    def pace(self, now: float, per_s: float) -> None:
        """Accept so many connections a second from now on; 0 for no bound."""
        self.per_ms, self.next_ms = per_s / 1000.0, now

    def work(self, now: float, cost_ms: float) -> float:
        """When the core has done that, after what it has taken before."""
        self.free_ms = max(self.free_ms, now) + cost_ms
        return self.free_ms

    def accept(self, now: float) -> float:
        """When a connection that comes now is accepted; FULL where no descriptor or place is left."""
        if self.open + self.queued >= self.most or self.queued >= QUEUE:
            return FULL
        if self.per_ms <= 0.0:
            return self.work(now, self.accept_ms)
        self.next_ms = max(self.next_ms, now) + 1.0 / self.per_ms
        return self.work(self.next_ms, self.accept_ms)

    def die(self, now: float) -> None:
        """The process ends, and with it all that it held."""
        self.up, self.restarted_ms = False, now
        self.open = self.queued = 0

    def start(self, now: float) -> None:
        """A new process, which knows of no storm."""
        self.up, self.per_ms, self.next_ms, self.free_ms = True, 0.0, now, now
