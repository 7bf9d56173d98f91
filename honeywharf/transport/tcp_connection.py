"""One TCP connection of an event loop."""

from __future__ import annotations

TYPE_CHECKING = False  # `typing` is 1.3 MB in each process
if TYPE_CHECKING:
    import socket
    from collections.abc import Callable
    from typing import Protocol

    from honeywharf.transport.host import Address, Handler, Timer

    class ConnectionOwner(Protocol):
        """What a connection needs of its event loop."""

        def soon(self, call: Callable[[], None]) -> None:
            """Call when what is under way has returned."""

        def update_interest(self, connection: TcpConnection) -> None:
            """Wait for what the connection waits for."""

        def fail(self, connection: TcpConnection, error: OSError) -> None:
            """The connection broke off."""

        def drop(self, connection: TcpConnection, why: str) -> None:
            """Close the socket and tell the handler, once."""


class TcpConnection:
    """One TCP connection of a loop (`host.Connection`)."""

    __slots__ = (
        "buffer",
        "connect_timer",
        "end_watcher",
        "handler",
        "is_closing",
        "is_connecting",
        "is_paused",
        "is_read_closed",
        "loop",
        "mask",
        "peer",
        "socket",
        "unsent",
    )

    def __init__(self, loop: ConnectionOwner, sock: socket.socket, peer: Address, connecting: bool) -> None:
        self.loop, self.socket, self.peer, self.is_connecting = loop, sock, peer, connecting
        self.handler: Handler | None = None
        self.buffer: list[bytes | memoryview] = []
        self.unsent = 0
        self.is_closing = self.is_paused = self.is_read_closed = False
        self.mask = 0
        self.connect_timer: Timer | None = None
        self.end_watcher: Callable[[], None] | None = None

    def send(self, data: bytes) -> None:
        """Send, later if need be."""
        if self.is_closing or (self.handler is None and not self.is_connecting):
            return
        if not self.buffer and not self.is_connecting:
            try:
                sent = self.socket.send(data)
            except BlockingIOError:
                sent = 0
            except OSError as error:
                self.loop.fail(self, error)
                return
            if sent == len(data):
                return
            self.buffer.append(memoryview(data)[sent:] if sent else data)
            self.unsent += len(data) - sent
        else:
            self.buffer.append(data)
            self.unsent += len(data)
        self.loop.update_interest(self)

    def close(self) -> None:
        """Send what is held, then close."""
        if self.is_closing:
            return
        self.is_closing = True
        if not self.buffer:
            self.loop.soon(self._close_now)

    def abort(self) -> None:
        """Close at once and drop what is held."""
        self.is_closing = True
        self.buffer.clear()
        self.unsent = 0
        self.loop.soon(self._close_now)

    def _close_now(self) -> None:
        self.loop.drop(self, "")

    def pause(self) -> None:
        """Read nothing more."""
        if not self.is_paused:
            self.is_paused = True
            self.loop.update_interest(self)

    def resume(self) -> None:
        """Read again."""
        if self.is_paused:
            self.is_paused = False
            self.loop.update_interest(self)

    def watch_end(self, call: Callable[[], None]) -> None:
        """Call once if the far side ends its bytes while reading is paused."""
        self.end_watcher = call
        self.loop.update_interest(self)
