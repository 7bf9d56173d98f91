"""Detection of clients that disconnect while requests of theirs are under way, with counters.

Theory of operation. A client's FIN means that it has closed its connection, or only its sending half and
still waits for answers. An interim response, which every client has to skip (RFC 9110, 15.2), distinguishes
these cases: where the client has closed, it is answered by a reset; the connection is then lost, and its
requests are cancelled. A client that has sent a FIN is sent an interim response at once, and again until it
has its answers, as it may close fully later.

No interim response can be sent once an answer has begun, or to HTTP/1.0: there the next bytes of the answer
detect the disconnect.
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
    """Sends interim responses to a client that has sent a FIN, to learn whether it still waits.

    `may_probe` returns whether the next bytes on the connection may be an interim response. Where the client
    has closed, the connection is reset, and its handler is called.
    """

    __slots__ = ("connection", "host", "interval_s", "may_probe", "timer")

    def __init__(self, host: Host, connection: Connection, may_probe: Callable[[], bool]) -> None:
        self.host, self.connection, self.may_probe = host, connection, may_probe
        self.interval_s = FIRST_INTERVAL_S
        self.timer: Timer | None = None

    def start(self) -> None:
        """Probes now, and again until stopped."""
        if self.may_probe():
            self.connection.send(INTERIM_RESPONSE)
        self.timer = self.host.after(self.interval_s, self.start)
        self.interval_s = min(MAX_INTERVAL_S, INTERVAL_GROWTH * self.interval_s)

    def stop(self) -> None:
        """Stops probing."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None


class DisconnectCounters:
    """Counts how clients' connections ended with requests under way, and how many requests were cancelled.

    The counters distinguish three faults with the same symptom, backends that work for disconnected clients:

    - a FIN is not taken for a disconnect: `cancelled` stays behind `requests`
    - the FIN is not read: `paused` rises, `requests` does not
    - the cancellation does not reach the gates: `cancelled` rises here, and not at the gates
    """

    __slots__ = ("cancelled", "closed", "paused", "requests", "reset")

    def __init__(self) -> None:
        self.closed = 0  # connections whose client sent a FIN
        self.reset = 0  # connections lost otherwise
        self.requests = 0  # requests under way on these connections
        self.cancelled = 0  # those of these requests that were cancelled
        self.paused = 0  # times that reading from a connection was paused

    def counters(self) -> str:
        """Returns what happened so far, for a log line."""
        return (
            f"clients disconnected closed={self.closed} reset={self.reset} "
            f"requests={self.requests} cancelled={self.cancelled} paused={self.paused}"
        )
