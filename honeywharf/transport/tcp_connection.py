"""One TCP connection of an event loop."""

from __future__ import annotations

import socket
import sys
from functools import partial

TYPE_CHECKING = False  # Importing `typing` costs 1.3 MB in each process.
if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Protocol

    from honeywharf.transport.host import Address, Handler, Timer

    class ConnectionOwner(Protocol):
        """The methods of an event loop that a connection uses."""

        def soon(self, call: Callable[[], None]) -> None:
            """Schedules a call for after the current one returns."""

        def after(self, seconds: float, call: Callable[[], None]) -> Timer:
            """Schedules one call after a delay."""

        def update_interest(self, connection: TcpConnection) -> None:
            """Registers the events that the connection waits for."""

        def fail(self, connection: TcpConnection, error: OSError) -> None:
            """Ends a failed connection."""

        def drop(self, connection: TcpConnection, reason: str) -> None:
            """Closes the socket and calls the handler's `closed`, once."""


# The interval at which the acknowledgement of sent bytes is polled; it doubles up to the maximum.
MIN_DELIVERY_POLL_S = 0.001
MAX_DELIVERY_POLL_S = 0.02
TCP_INFO_BYTES = 104
NO_USER_TIMEOUT = 0
C_INT_BYTES = 4
TCP_ESTABLISHED, TCP_CLOSE_WAIT = 1, 8  # The states of tcp(7) in which the peer may still receive.


class TcpConnection:
    """One TCP connection of an event loop (`host.Connection`)."""

    __slots__ = (
        "buffer",
        "connect_timer",
        "end_callback",
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
        self.end_callback: Callable[[], None] | None = None

    def send(self, data: bytes) -> None:
        """Sends bytes, or buffers those that the socket does not yet accept."""
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
        """Sends the buffered bytes, then closes."""
        if self.is_closing:
            return
        self.is_closing = True
        if not self.buffer:
            self.loop.soon(self._close_now)

    def abort(self) -> None:
        """Closes at once and drops the buffered bytes."""
        self.is_closing = True
        self.buffer.clear()
        self.unsent = 0
        self.loop.soon(self._close_now)

    def _close_now(self) -> None:
        self.loop.drop(self, "")

    def pause(self) -> None:
        """Stops reading."""
        if not self.is_paused:
            self.is_paused = True
            self.loop.update_interest(self)

    def resume(self) -> None:
        """Starts reading again."""
        if self.is_paused:
            self.is_paused = False
            self.loop.update_interest(self)

    def watch_half_close(self, call: Callable[[], None]) -> None:
        """Calls `call` once if the peer half-closes while reading is paused."""
        self.end_callback = call
        self.loop.update_interest(self)

    def tolerate_unread(self) -> None:
        """Keeps the connection for as long as a peer on this machine does not read what was sent."""
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, NO_USER_TIMEOUT)

    def watch_delivery(self, call: Callable[[], None]) -> None:
        """Calls `call` once the peer's host has acknowledged all bytes sent so far."""
        self.loop.after(MIN_DELIVERY_POLL_S, partial(self._poll_delivery, call, MIN_DELIVERY_POLL_S))

    def _poll_delivery(self, call: Callable[[], None], interval_s: float) -> None:
        """Calls `call`, or polls again; the kernel signals no event for an acknowledgement."""
        if self.handler is None:
            return
        if not self.buffer and is_all_acknowledged(self.socket):
            call()
            return
        interval_s = min(MAX_DELIVERY_POLL_S, 2 * interval_s)
        self.loop.after(interval_s, partial(self._poll_delivery, call, interval_s))


def is_all_acknowledged(sock: socket.socket) -> bool:
    """Returns whether the peer's host has acknowledged all bytes and the connection is not lost.

    The state is read last: a connection that was reset keeps no queue.
    """
    from fcntl import ioctl
    from termios import TIOCOUTQ

    try:
        unacknowledged = int.from_bytes(ioctl(sock.fileno(), TIOCOUTQ, bytes(C_INT_BYTES)), sys.byteorder)
        state = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)[0]
    except OSError:
        return False
    return unacknowledged == 0 and state in (TCP_ESTABLISHED, TCP_CLOSE_WAIT)
