"""One link between a source and a gateway, or a gateway and a destination: frames and failure detection.

The side that opened the link sends PING every `PING_INTERVAL_S`, and drops it after `SILENCE_TIMEOUT_S`
without a byte; the side that accepted it answers. The first frame is a greeting that names the expected
peer.
"""

from __future__ import annotations

from honeywharf.sessions.frames import PING, PONG
from honeywharf.transport.framing import FrameReader, encode_frame

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any

    from honeywharf.transport.host import Address, Connection, Host, Timer

PING_INTERVAL_S = 0.25
SILENCE_TIMEOUT_S = 1.2
# A link that is not persistent is closed after this time without a frame other than PING and PONG.
IDLE_TIMEOUT_S = 60.0
MAX_FRAME_BYTES = 1 << 20
MAX_UNSENT_BYTES = 128 << 20  # Flow control grants less; this guards against a peer that does not read.
GATEWAY_GREETING, DESTINATION_GREETING = "passage", "landing"  # Both are part of the wire protocol.


class OutgoingLink:
    """The side that opened the link.

    Calls `on_frame(link, frame)` for each frame other than PONG, and `on_lost(link)` once.
    """

    def __init__(
        self,
        host: Host,
        to: Address,
        greeting: str,
        on_frame: Callable[[OutgoingLink, list[Any]], None],
        on_lost: Callable[[OutgoingLink], None],
        is_persistent: bool = False,
        carries_short_bodies: bool = False,
    ) -> None:
        self.host, self.to, self.on_frame, self.on_lost, self.is_persistent = (
            host,
            to,
            on_frame,
            on_lost,
            is_persistent,
        )
        self.carries_short_bodies = carries_short_bodies  # Request bodies on it bypass the send queue.
        self.reader = FrameReader(MAX_FRAME_BYTES)
        self.received_at = self.used_at = host.now()
        self.is_closed = self.is_up = False
        self.round_trip_s = 0.0
        self.ping_sent_at = 0.0
        self.timer: Timer | None = None
        self.connection = host.connect(to, lambda connection: self, SILENCE_TIMEOUT_S)
        self.connection.send(encode_frame(greeting))
        self._keep_alive()

    @property
    def unsent(self) -> int:
        """The number of bytes in the connection's send buffer."""
        return self.connection.unsent

    def send(self, frame: list[Any]) -> int:
        """Sends one frame and returns its size in bytes. Drops a link whose peer does not read."""
        if self.is_closed:
            return 0
        self.used_at = self.host.now()
        data = encode_frame(frame)
        self.connection.send(data)
        if self.connection.unsent > MAX_UNSENT_BYTES:
            self.drop()
        return len(data)

    def _keep_alive(self) -> None:
        now = self.host.now()
        if now - self.received_at > SILENCE_TIMEOUT_S or (
            not self.is_persistent and now - self.used_at > IDLE_TIMEOUT_S
        ):
            self.drop()
            return
        self.ping_sent_at = now
        self.connection.send(encode_frame([PING]))
        self.timer = self.host.after(PING_INTERVAL_S, self._keep_alive)

    def drop(self) -> None:
        """Aborts the connection and reports the loss, once."""
        if not self.is_closed:
            self.is_closed = True
            if self.timer is not None:
                self.timer.cancel()
            self.connection.abort()
            self.on_lost(self)

    def opened(self) -> None:
        """Called when the connection is established."""
        self.received_at = self.host.now()

    def received(self, data: bytes) -> None:
        """Handles received bytes; drops the link at a malformed frame."""
        if self.is_closed:
            return
        self.received_at = self.host.now()
        self.is_up = True
        try:
            for frame in self.reader.feed(data):
                if frame[0] == PONG:
                    self.round_trip_s = self.received_at - self.ping_sent_at
                else:
                    self.used_at = self.received_at
                    self.on_frame(self, frame)
        except (ValueError, TypeError, IndexError, KeyError):
            self.drop()

    def ended(self) -> None:
        """Called when the peer has closed its side."""
        self.drop()

    def drained(self) -> None:
        """Does nothing: no sender waits for an empty send buffer."""

    def closed(self, reason: str) -> None:
        """Called when the connection is closed."""
        self.drop()


class IncomingLink:
    """The side that accepted the link.

    Calls `on_greeted(link)` once, `on_frame(link, frame)` for each later frame, and `on_lost(link)` once.
    """

    def __init__(
        self,
        connection: Connection,
        greeting: str,
        on_frame: Callable[[IncomingLink, list[Any]], None],
        on_lost: Callable[[IncomingLink], None],
        on_greeted: Callable[[IncomingLink], None],
    ) -> None:
        self.connection, self.greeting, self.on_frame, self.on_lost = connection, greeting, on_frame, on_lost
        self.on_greeted = on_greeted
        self.reader = FrameReader(MAX_FRAME_BYTES)
        self.is_greeted = self.is_closed = False

    carries_short_bodies = True  # Request bodies are only received on this side, never sent.

    @property
    def unsent(self) -> int:
        """The number of bytes in the connection's send buffer."""
        return self.connection.unsent

    def send(self, frame: list[Any]) -> int:
        """Sends one frame and returns its size in bytes."""
        if self.is_closed:
            return 0
        data = encode_frame(frame)
        self.connection.send(data)
        if self.connection.unsent > MAX_UNSENT_BYTES:
            self.drop()
        return len(data)

    def drop(self) -> None:
        """Aborts the connection and reports the loss, once."""
        if not self.is_closed:
            self.is_closed = True
            self.connection.abort()
            self.on_lost(self)

    def opened(self) -> None:
        """Does nothing: the host calls it only for outgoing connections."""

    def received(self, data: bytes) -> None:
        """Handles received bytes; drops the link at a malformed frame."""
        if self.is_closed:
            return
        try:
            for frame in self.reader.feed(data):
                self._receive(frame)
        except (ValueError, TypeError, IndexError, KeyError):
            self.drop()

    def _receive(self, frame: Any) -> None:
        if not self.is_greeted:
            if frame != self.greeting:
                raise ValueError(f"greeting: expected {self.greeting!r}, got {str(frame)[:40]!r}")
            self.is_greeted = True
            self.on_greeted(self)
        elif frame[0] == PING:
            self.connection.send(encode_frame([PONG]))
        else:
            self.on_frame(self, frame)

    def ended(self) -> None:
        """Called when the peer has closed its side."""
        self.drop()

    def drained(self) -> None:
        """Does nothing: no sender waits for an empty send buffer."""

    def closed(self, reason: str) -> None:
        """Called when the connection is closed."""
        self.drop()
