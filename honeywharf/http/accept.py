"""A listener whose accepting can be paced: connections wait in the kernel's queue, and none is turned away.

Only where storms are watched: the event loop's own listener accepts as fast as it can, and has no rate.
"""

from __future__ import annotations

import asyncio
import socket
import sys
from collections.abc import Callable

from honeywharf.core.transport import Address

BURST_S = 0.05  # of accepting that may be saved up
TCP_INFO_BYTES, CLOSE_WAIT = 60, 8  # Linux: struct tcp_info up to its times, and a state of it
LAST_HEARD = slice(52, 56)  # of it: tcpi_last_data_recv, ms since bytes came, or since the connection did
AT_ONCE = 64  # accepted in one turn of the loop: the others' requests are waiting


def waited(made: socket.socket) -> tuple[float, bool]:
    """For how many ms what came on a connection has waited to be accepted, and whether nothing more comes.

    (0, False) where the system does not tell. Guards against taking the time left, which its caller wrote
    when it sent the request, for what is left when it is read.
    """
    try:
        info = made.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
    except OSError:
        return 0.0, False
    if len(info) < TCP_INFO_BYTES:
        return 0.0, False
    return float(int.from_bytes(info[LAST_HEARD], sys.byteorder)), info[0] == CLOSE_WAIT


class Acceptor:
    """One listening socket. Stands in for the loop's server: `sockets`, `close`."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        factory: Callable[[float, bool], asyncio.Protocol],
        where: Address,
        backlog: int,
        inherited: socket.socket | None = None,
    ) -> None:
        self.loop, self.factory = loop, factory
        family = socket.AF_INET6 if ":" in where[0] else socket.AF_INET
        made = inherited or socket.socket(family, socket.SOCK_STREAM)
        try:
            made.setblocking(False)
            if inherited is None:
                made.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                made.bind(where)
            made.listen(backlog)
        except OSError:
            made.close()
            raise
        self.sockets = [made]
        self.per_s = 0.0
        self.tokens, self.filled_s = 0.0, 0.0
        self.waits: asyncio.TimerHandle | None = None
        self.joining: set[asyncio.Task[object]] = set()
        loop.add_reader(made.fileno(), self._ready)

    def pace(self, per_s: float) -> None:
        """So many connections a second from now on; 0 for no bound."""
        self.per_s, self.tokens, self.filled_s = per_s, 1.0, self.loop.time()
        if self.waits is not None:
            self.waits.cancel()
            self._resume()

    def _resume(self) -> None:
        self.waits = None
        if self.sockets:
            self.loop.add_reader(self.sockets[0].fileno(), self._ready)

    def _ready(self) -> None:
        for _ in range(AT_ONCE):
            if self.per_s and not self._token():
                return
            try:
                made, _ = self.sockets[0].accept()
            except BlockingIOError:
                return
            except OSError:  # out of descriptors, or it has gone again; what waits stays in the queue
                self._wait(BURST_S)
                return
            made.setblocking(False)
            task = self.loop.create_task(self._join(made))
            self.joining.add(task)
            task.add_done_callback(self.joining.discard)

    def _token(self) -> bool:
        """Whether one more may be accepted now; else it is waited for."""
        now = self.loop.time()
        self.tokens = min(max(1.0, self.per_s * BURST_S), self.tokens + (now - self.filled_s) * self.per_s)
        self.filled_s = now
        if self.tokens >= 1.0:
            self.tokens -= 1.0
            return True
        self._wait((1.0 - self.tokens) / self.per_s)
        return False

    def _wait(self, seconds: float) -> None:
        self.loop.remove_reader(self.sockets[0].fileno())
        self.waits = self.loop.call_later(seconds, self._resume)

    async def _join(self, made: socket.socket) -> None:
        try:
            waited_ms, ended = waited(made)
            await self.loop.connect_accepted_socket(lambda: self.factory(waited_ms, ended), made)
        except OSError:
            made.close()

    def close(self) -> None:
        """Accept nothing more."""
        if self.waits is not None:
            self.waits.cancel()
            self.waits = None
        for one in self.sockets:
            self.loop.remove_reader(one.fileno())
            one.close()
        self.sockets = []
