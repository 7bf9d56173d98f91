"""Models a proxy's HTTP server: its accept queue and rate, its descriptors, and the one core that it uses.

The model has no I/O. Decisions are those of `policy` and `storms`. Times are in ms.
"""

from __future__ import annotations

from dataclasses import dataclass

ACCEPT_BACKLOG = 1024  # Connections that the kernel queues for a listener.
ACCEPT_RETRY_MS = 50.0
FULL = -1.0


@dataclass(slots=True)
class HttpServer:
    """A proxy's server. A connection takes `accept_ms` of its core, and a request `request_ms`."""

    accept_ms: float = 0.0
    request_ms: float = 0.0
    max_connections: int = 1000  # Client connections that the descriptors allow.
    up: bool = True
    listed: bool = True  # The front sends connections to it, even while it is down.
    restarted_ms: float = float("-inf")
    open_connections: int = 0
    accepts_per_ms: float = 0.0  # 0 for no bound.
    next_accept_ms: float = 0.0  # Used only with a bound.
    core_free_ms: float = 0.0  # The time at which the core has no more work.
    queued: int = 0  # Connections that wait to be accepted.

    def set_accept_rate(self, now: float, per_s: float) -> None:
        """Bounds the connections accepted each second from now on; 0 for no bound."""
        self.accepts_per_ms, self.next_accept_ms = per_s / 1000.0, now

    def work(self, now: float, cost_ms: float) -> float:
        """Adds work for the core, and returns the time at which it is done."""
        self.core_free_ms = max(self.core_free_ms, now) + cost_ms
        return self.core_free_ms

    def accept(self, now: float) -> float:
        """Returns the time at which a new connection is accepted, or FULL without a descriptor or a place."""
        if self.open_connections + self.queued >= self.max_connections or self.queued >= ACCEPT_BACKLOG:
            return FULL
        if self.accepts_per_ms <= 0.0:
            return self.work(now, self.accept_ms)
        self.next_accept_ms = max(self.next_accept_ms, now) + 1.0 / self.accepts_per_ms
        return self.work(self.next_accept_ms, self.accept_ms)

    def crash(self, now: float) -> None:
        """Ends the process with all its connections."""
        self.up, self.restarted_ms = False, now
        self.open_connections = self.queued = 0

    def start(self, now: float) -> None:
        """Starts a new process without a bound on accepted connections."""
        self.up, self.accepts_per_ms, self.next_accept_ms, self.core_free_ms = True, 0.0, now, now
