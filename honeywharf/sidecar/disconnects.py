"""Clients that leave while requests of theirs are under way: found out, and counted.

Theory of operation. The end of a client's bytes (a FIN) means that it has closed its connection, or that it
has closed its sending half only and waits for its answers; TCP tells these apart by what comes back. An
interim response, which every client has to skip (RFC 9110, 15.2), is met by a reset where the client has
closed: then the connection is gone, and its requests with it. So a client that has ended its bytes is sent
one at once, and again from time to time until its answers have gone, as it may close wholly later.

An answer that has begun leaves no place for an interim response, and HTTP/1.0 knows none: there the next
bytes of the answer are what finds out.
Source: RULES, GONE; RFC 9112, 9.6.
"""

from __future__ import annotations

from honeywharf.codecs.mesh import INTERIM_RESPONSE

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable

    from honeywharf.transport.host import Connection, Host, Timer

FIRST_INTERVAL_S = 0.2  # between the first and the second interim response; each further interval is longer
INTERVAL_GROWTH = 2.0
MAX_INTERVAL_S = 2.0


class DisconnectProbe:
    """Asks a client that has ended its bytes whether it is still there, by interim responses.

    `may_probe` tells whether the next bytes on the connection may be an interim response. Where the client
    has closed, the connection is reset, and its handler is told.
    """

    __slots__ = ("connection", "host", "interval_s", "may_probe", "timer")

    def __init__(self, host: Host, connection: Connection, may_probe: Callable[[], bool]) -> None:
        self.host, self.connection, self.may_probe = host, connection, may_probe
        self.interval_s = FIRST_INTERVAL_S
        self.timer: Timer | None = None

    def start(self) -> None:
        """Ask now, and again until stopped."""
        if self.may_probe():
            self.connection.send(INTERIM_RESPONSE)
        self.timer = self.host.after(self.interval_s, self.start)
        self.interval_s = min(MAX_INTERVAL_S, INTERVAL_GROWTH * self.interval_s)

    def stop(self) -> None:
        """Ask no further."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None


class DisconnectCounters:
    """How clients' connections ended while requests were under way, and what became of those requests.

    The counters tell three faults apart that look alike from outside, as work that goes on for nobody:

    - the end of a client's bytes is not taken for a disconnect: `cancelled` stays behind `requests`
    - the end is not read: `paused` rises, `requests` does not
    - the cancellation is lost behind the source: `cancelled` rises here, and not at the gates
    """

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
            f"clients disconnected closed={self.closed} reset={self.reset} "
            f"requests={self.requests} cancelled={self.cancelled} paused={self.paused}"
        )
