"""Counters of clients that leave while requests of theirs are under way.

They tell three faults apart that look alike from outside, as work that goes on for nobody:

- the end of a client's bytes is not taken for its departure: `cancelled` stays behind `requests`
- the end is not read: `paused` rises, `requests` does not
- the cancellation is lost behind the source: `cancelled` rises here, and not at the gates
"""

from __future__ import annotations


class Departures:
    """How clients' connections ended while requests were under way, and what became of those requests."""

    __slots__ = ("cancelled", "closed", "paused", "requests", "reset")

    def __init__(self) -> None:
        self.closed = 0  # connections whose client sent the end of its bytes
        self.reset = 0  # connections that broke off
        self.requests = 0  # requests under way on those
        self.cancelled = 0  # of those requests
        self.paused = 0  # times at which a connection was no longer read

    def counters(self) -> str:
        """What happened so far, for a log line."""
        return (
            f"clients left closed={self.closed} reset={self.reset} "
            f"requests={self.requests} cancelled={self.cancelled} paused={self.paused}"
        )
