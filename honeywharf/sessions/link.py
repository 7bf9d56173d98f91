"""One link of a source, a gateway and a destination: frames either way, and whether the far side lives.

The side that asked for it sends PING every `PING_S`, and gives it up after `SILENT_S` without a byte; the
side that took it answers. The first frame is a greeting: a word that says who is meant.
"""

from __future__ import annotations

from honeywharf.sessions.frames import PING, PONG
from honeywharf.transport.framing import FrameReader, encode_frame

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any

    from honeywharf.transport.host import Address, Connection, Host, Timer

PING_S = 0.25
SILENT_S = 1.2
IDLE_S = 60.0  # without a frame but PING and PONG, after which a link that need not stay is closed
MAX_FRAME = 1 << 20
MAX_UNSENT = 128 << 20  # more than any bound on what is granted: a guard, not a measure
TO_SOURCES, TO_LANDING = "passage", "landing"  # greetings


class Line:
    """The side that asked for the link. `took(line, frame)` for each frame, `gone(line)` once."""

    def __init__(
        self,
        host: Host,
        to: Address,
        greeting: str,
        took: Callable[[Line, list[Any]], None],
        gone: Callable[[Line], None],
        stays: bool = False,
        short: bool = False,
    ) -> None:
        self.host, self.to, self.took, self.gone, self.stays = host, to, took, gone, stays
        self.short = short  # it carries bodies of short requests only
        self.reader = FrameReader(MAX_FRAME)
        self.heard = self.used = host.now()
        self.dead = self.is_up = False
        self.round_trip_s = 0.0
        self.asked = 0.0
        self.timer: Timer | None = None
        self.connection = host.connect(to, lambda connection: self, SILENT_S)
        self.connection.send(encode_frame(greeting))
        self._watch()

    @property
    def unsent(self) -> int:
        """Bytes that the connection holds."""
        return self.connection.unsent

    def send(self, frame: list[Any]) -> int:
        """Send one frame; its bytes. A link that does not take what was granted is lost."""
        if self.dead:
            return 0
        self.used = self.host.now()
        data = encode_frame(frame)
        self.connection.send(data)
        if self.connection.unsent > MAX_UNSENT:
            self.lose()
        return len(data)

    def _watch(self) -> None:
        now = self.host.now()
        if now - self.heard > SILENT_S or (not self.stays and now - self.used > IDLE_S):
            self.lose()
            return
        self.asked = now
        self.connection.send(encode_frame([PING]))
        self.timer = self.host.after(PING_S, self._watch)

    def lose(self) -> None:
        """Give it up; it is told, once."""
        if not self.dead:
            self.dead = True
            if self.timer is not None:
                self.timer.cancel()
            self.connection.abort()
            self.gone(self)

    def opened(self) -> None:
        """It is up."""
        self.heard = self.host.now()

    def received(self, data: bytes) -> None:
        """Frames came; what is none ends the link."""
        if self.dead:
            return
        self.heard = self.host.now()
        self.is_up = True
        try:
            for frame in self.reader.feed(data):
                if frame[0] == PONG:
                    self.round_trip_s = self.heard - self.asked
                else:
                    self.used = self.heard
                    self.took(self, frame)
        except (ValueError, TypeError, IndexError, KeyError):
            self.lose()

    def ended(self) -> None:
        """The far side has closed."""
        self.lose()

    def drained(self) -> None:
        """All has gone."""

    def closed(self, why: str) -> None:
        """It is gone."""
        self.lose()


class Caught:
    """The side that took the link. `took(line, frame)`, `gone(line)` once, `greeted(line)` once."""

    def __init__(
        self,
        connection: Connection,
        greeting: str,
        took: Callable[[Caught, list[Any]], None],
        gone: Callable[[Caught], None],
        greeted: Callable[[Caught], None],
    ) -> None:
        self.connection, self.greeting, self.took, self.gone = connection, greeting, took, gone
        self.greeted = greeted
        self.reader = FrameReader(MAX_FRAME)
        self.known = self.dead = False

    short = True  # bodies of requests come by this side, and none goes

    @property
    def unsent(self) -> int:
        """Bytes that the connection holds."""
        return self.connection.unsent

    def send(self, frame: list[Any]) -> int:
        """Send one frame; its bytes."""
        if self.dead:
            return 0
        data = encode_frame(frame)
        self.connection.send(data)
        if self.connection.unsent > MAX_UNSENT:
            self.lose()
        return len(data)

    def lose(self) -> None:
        """Give it up; it is told, once."""
        if not self.dead:
            self.dead = True
            self.connection.abort()
            self.gone(self)

    def opened(self) -> None:
        """Not called on connections that came in."""

    def received(self, data: bytes) -> None:
        """Frames came; what is none ends the link."""
        if self.dead:
            return
        try:
            for frame in self.reader.feed(data):
                self._take(frame)
        except (ValueError, TypeError, IndexError, KeyError):
            self.lose()

    def _take(self, frame: Any) -> None:
        if not self.known:
            if frame != self.greeting:
                raise ValueError(f"found {str(frame)[:40]!r}, wanted {self.greeting!r}")
            self.known = True
            self.greeted(self)
        elif frame[0] == PING:
            self.connection.send(encode_frame([PONG]))
        else:
            self.took(self, frame)

    def ended(self) -> None:
        """The far side has closed."""
        self.lose()

    def drained(self) -> None:
        """All has gone."""

    def closed(self, why: str) -> None:
        """It is gone."""
        self.lose()
