"""Requests at a rate, or as many as are answered, and the time that each took."""

from __future__ import annotations

from dataclasses import dataclass, field

from bench.scale.fits import percentile
from honeywharf.transport.event_loop import EventLoop
from honeywharf.transport.host import Address, Connection, Handler

DEADLINE_MS = 1400
HEAD_END = b"\r\n\r\n"
LENGTH = b"\r\ncontent-length:"


@dataclass
class Answers:
    """What came back. Times are seconds; a request that got no 200 has none."""

    times: list[float] = field(default_factory=list)
    failed: int = 0

    def percentile_ms(self, share: float) -> float:
        """Milliseconds within which that share of the answers came."""
        return 1000.0 * percentile(self.times, share)


class Lane:
    """One connection that carries one request at a time."""

    def __init__(self, load: Load, to: Address) -> None:
        self.load, self.to = load, to
        self.sent_at = 0.0
        self.held = b""
        self.connection: Connection | None = None

    def send(self, request: bytes) -> None:
        """Send a request, due now."""
        loop = self.load.loop
        if self.connection is None:
            self.connection = loop.connect(self.to, self._opening)
        self.sent_at = loop.now()
        self.connection.send(request)

    def _opening(self, connection: Connection) -> Handler:
        return self

    def opened(self) -> None:
        """It is up."""

    def received(self, data: bytes) -> None:
        """Bytes of the answer."""
        self.held += data
        head, found, body = self.held.partition(HEAD_END)
        if not found:
            return
        length = int(head.lower().partition(LENGTH)[2].partition(b"\r\n")[0])
        if len(body) < length:
            return
        self.held = b""
        self.load.answered(self, head.startswith(b"HTTP/1.1 200 "), self.load.loop.now() - self.sent_at)

    def ended(self) -> None:
        """The server closes."""
        if self.connection is not None:
            self.connection.close()

    def drained(self) -> None:
        """All has gone."""

    def closed(self, why: str) -> None:
        """The next request opens another one."""
        self.connection, self.held = None, b""
        if self in self.load.busy:
            self.load.answered(self, False, 0.0)


class Load:
    """Sends to `to` for `seconds`: `rate` requests a second; with 0 each as soon as the last is answered."""

    def __init__(
        self,
        loop: EventLoop,
        to: Address,
        host: str,
        path: str,
        rate: float,
        lanes: int,
        seconds: float,
    ) -> None:
        self.loop, self.rate = loop, rate
        self.answers = Answers()
        self.busy: set[Lane] = set()
        self.idle = [Lane(self, to) for _ in range(lanes)]
        self._host, self._path, self._serial = host, path, 0
        self._due = self._begun = loop.now()
        self._until = self._begun + seconds
        self.skipped = 0  # requests that were due while every lane was busy
        if rate:
            self._tick()
        else:
            for lane in list(self.idle):
                self._send(lane)

    @property
    def over(self) -> bool:
        """Whether all that was sent is answered, and nothing more is."""
        return self.loop.now() >= self._until and not self.busy

    def _tick(self) -> None:
        now = self.loop.now()
        if now >= self._until:
            return
        if self.idle:
            self._send(self.idle[-1])
        else:
            self.skipped += 1
        self._due += 1.0 / self.rate
        self.loop.after(max(0.0, self._due - now), self._tick)

    def _send(self, lane: Lane) -> None:
        self.idle.remove(lane)
        self.busy.add(lane)
        self._serial += 1
        lane.send(
            (
                f"GET {self._path} HTTP/1.1\r\nHost: {self._host}\r\n"
                f"X-Honeywharf-Attempt-Id: attempt-{self._serial:09}\r\n"
                f"X-Honeywharf-Deadline-Remaining: {DEADLINE_MS}\r\n\r\n"
            ).encode()
        )

    def answered(self, lane: Lane, well: bool, seconds: float) -> None:
        """One request is over."""
        self.busy.discard(lane)
        self.idle.append(lane)
        if well:
            self.answers.times.append(seconds)
        else:
            self.answers.failed += 1
        if not self.rate and self.loop.now() < self._until:
            self.loop.soon(lambda: self._send(lane))
