"""A listener with a limited accept rate: connections wait in the kernel's queue, and none is rejected.

Used only with storm control: the event loop's own listener accepts as fast as it can.
"""

from __future__ import annotations

import asyncio
import socket
import sys
from collections.abc import Callable

from honeywharf.core.transport import Address

MAX_BURST_S = 0.05  # the token bucket holds the tokens for this time
TCP_INFO_BYTES, CLOSE_WAIT = 60, 8  # Linux: size of struct tcp_info up to its times; TCP_CLOSE_WAIT
LAST_DATA_RECEIVED = slice(52, 56)  # tcpi_last_data_recv: ms since the last data, or since the connection
MAX_ACCEPTS_PER_TURN = 64  # the event loop serves other connections between its turns


def queue_wait(connection: socket.socket) -> tuple[float, bool]:
    """Returns for how many ms received data has waited for the accept, and whether the client has closed.

    (0, False) if the system does not provide it. The time left in a request counts from when the client sent
    it: this wait has to be subtracted.
    """
    try:
        info = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
    except OSError:
        return 0.0, False
    if len(info) < TCP_INFO_BYTES:
        return 0.0, False
    return float(int.from_bytes(info[LAST_DATA_RECEIVED], sys.byteorder)), info[0] == CLOSE_WAIT


class Acceptor:
    """One listening socket. Replaces `asyncio.Server` as far as it is used: `sockets`, `close`."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        factory: Callable[[float, bool], asyncio.Protocol],
        listen_address: Address,
        backlog: int,
        inherited: socket.socket | None = None,
    ) -> None:
        self.loop, self.factory = loop, factory
        family = socket.AF_INET6 if ":" in listen_address[0] else socket.AF_INET
        connection = inherited or socket.socket(family, socket.SOCK_STREAM)
        try:
            connection.setblocking(False)
            if inherited is None:
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                connection.bind(listen_address)
            connection.listen(backlog)
        except OSError:
            connection.close()
            raise
        self.sockets = [connection]
        self.per_s = 0.0
        self.tokens, self.refilled_s = 0.0, 0.0
        self.resume_timer: asyncio.TimerHandle | None = None
        self.connecting: set[asyncio.Task[object]] = set()
        loop.add_reader(connection.fileno(), self._accept_ready)

    def pace(self, per_s: float) -> None:
        """Limits the accept rate to `per_s` connections per second; 0 removes the limit."""
        self.per_s, self.tokens, self.refilled_s = per_s, 1.0, self.loop.time()
        if self.resume_timer is not None:
            self.resume_timer.cancel()
            self._resume()

    def _resume(self) -> None:
        self.resume_timer = None
        if self.sockets:
            self.loop.add_reader(self.sockets[0].fileno(), self._accept_ready)

    def _accept_ready(self) -> None:
        for _ in range(MAX_ACCEPTS_PER_TURN):
            if self.per_s and not self._take_token():
                return
            try:
                connection, _ = self.sockets[0].accept()
            except BlockingIOError:
                return
            except OSError:  # no file descriptor left, or the connection is gone; the others stay queued
                self._pause_accepting(MAX_BURST_S)
                return
            connection.setblocking(False)
            task = self.loop.create_task(self._connect(connection))
            self.connecting.add(task)
            task.add_done_callback(self.connecting.discard)

    def _take_token(self) -> bool:
        """Takes a token; without one, pauses accepting until the next and returns False."""
        now = self.loop.time()
        self.tokens = min(
            max(1.0, self.per_s * MAX_BURST_S), self.tokens + (now - self.refilled_s) * self.per_s
        )
        self.refilled_s = now
        if self.tokens >= 1.0:
            self.tokens -= 1.0
            return True
        self._pause_accepting((1.0 - self.tokens) / self.per_s)
        return False

    def _pause_accepting(self, seconds: float) -> None:
        self.loop.remove_reader(self.sockets[0].fileno())
        self.resume_timer = self.loop.call_later(seconds, self._resume)

    async def _connect(self, connection: socket.socket) -> None:
        try:
            waited_ms, ended = queue_wait(connection)
            await self.loop.connect_accepted_socket(lambda: self.factory(waited_ms, ended), connection)
        except OSError:
            connection.close()

    def close(self) -> None:
        """Stops accepting and closes the socket."""
        if self.resume_timer is not None:
            self.resume_timer.cancel()
            self.resume_timer = None
        for listener in self.sockets:
            self.loop.remove_reader(listener.fileno())
            listener.close()
        self.sockets = []
