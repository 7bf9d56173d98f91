"""A load generator with a fixed rate, or a closed loop, that records response times."""

from __future__ import annotations

from dataclasses import dataclass, field

from bench.scale.fits import percentile
from honeywharf.transport.event_loop import EventLoop
from honeywharf.transport.host import Address, Connection, Handler

DEADLINE_MS = 1400
HEAD_END = b"\r\n\r\n"
CONTENT_LENGTH_FIELD = b"\r\ncontent-length:"


@dataclass
class Answers:
    """Response times in seconds of requests that were answered with 200, and the count of all others."""

    times: list[float] = field(default_factory=list)
    failed: int = 0

    def percentile_ms(self, share: float) -> float:
        """Returns a percentile of the response times in milliseconds."""
        return 1000.0 * percentile(self.times, share)


class ClientConnection:
    """One connection, which carries one request at a time."""

    def __init__(self, load: Load, to: Address) -> None:
        self.load, self.to = load, to
        self.sent_at = 0.0
        self.buffer = b""
        self.connection: Connection | None = None

    def send(self, request: bytes) -> None:
        """Sends a request."""
        loop = self.load.loop
        if self.connection is None:
            self.connection = loop.connect(self.to, self._accept_connection)
        self.sent_at = loop.now()
        self.connection.send(request)

    def _accept_connection(self, connection: Connection) -> Handler:
        return self

    def opened(self) -> None:
        """Does nothing."""

    def received(self, data: bytes) -> None:
        """Collects the response and reports it when it is complete."""
        self.buffer += data
        head, found, body = self.buffer.partition(HEAD_END)
        if not found:
            return
        length = int(head.lower().partition(CONTENT_LENGTH_FIELD)[2].partition(b"\r\n")[0])
        if len(body) < length:
            return
        self.buffer = b""
        self.load.answered(self, head.startswith(b"HTTP/1.1 200 "), self.load.loop.now() - self.sent_at)

    def ended(self) -> None:
        """Closes the connection after the server has closed its side."""
        if self.connection is not None:
            self.connection.close()

    def drained(self) -> None:
        """Does nothing."""

    def closed(self, reason: str) -> None:
        """Counts a pending request as failed; the next request opens another connection."""
        self.connection, self.buffer = None, b""
        if self in self.load.busy:
            self.load.answered(self, False, 0.0)


class Load:
    """Sends requests to `to` for some seconds.

    `rate` is in requests per second; with 0, each connection sends as soon as its last request is answered.
    """

    def __init__(
        self,
        loop: EventLoop,
        to: Address,
        host: str,
        path: str,
        rate: float,
        connections: int,
        seconds: float,
    ) -> None:
        self.loop, self.rate = loop, rate
        self.answers = Answers()
        self.busy: set[ClientConnection] = set()
        self.idle = [ClientConnection(self, to) for _ in range(connections)]
        self._host, self._path, self._serial = host, path, 0
        self._due = self._started_at = loop.now()
        self._end = self._started_at + seconds
        self.skipped = 0  # Requests that were due while all connections were busy.
        if rate:
            self._tick()
        else:
            for client_connection in list(self.idle):
                self._send(client_connection)

    @property
    def over(self) -> bool:
        """Whether all requests have been answered and no more will be sent."""
        return self.loop.now() >= self._end and not self.busy

    def _tick(self) -> None:
        now = self.loop.now()
        if now >= self._end:
            return
        if self.idle:
            self._send(self.idle[-1])
        else:
            self.skipped += 1
        self._due += 1.0 / self.rate
        self.loop.after(max(0.0, self._due - now), self._tick)

    def _send(self, client_connection: ClientConnection) -> None:
        self.idle.remove(client_connection)
        self.busy.add(client_connection)
        self._serial += 1
        client_connection.send(
            (
                f"GET {self._path} HTTP/1.1\r\nHost: {self._host}\r\n"
                f"X-Honeywharf-Attempt-Id: attempt-{self._serial:09}\r\n"
                f"X-Honeywharf-Deadline-Remaining: {DEADLINE_MS}\r\n\r\n"
            ).encode()
        )

    def answered(self, client_connection: ClientConnection, is_ok: bool, seconds: float) -> None:
        """Records the end of one request."""
        self.busy.discard(client_connection)
        self.idle.append(client_connection)
        if is_ok:
            self.answers.times.append(seconds)
        else:
            self.answers.failed += 1
        if not self.rate and self.loop.now() < self._end:
            self.loop.soon(lambda: self._send(client_connection))
