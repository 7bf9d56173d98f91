"""The operators' second address: one line to a connection, one line back (`calls` has the form).

Bounded in places, bytes and time, and never in the way of the next caller: who comes when all places are
taken gets that of the one who has said nothing for longest.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

from honeywharf.core.transport import Address
from honeywharf.service import operator_protocol

MAX_AT_ONCE = 16  # callers; each holds a descriptor
PATIENCE_S = 5.0  # for a call to be whole: callers who finish none are met for some seconds
BACKLOG = 64
Do = Callable[[operator_protocol.OperatorRequest], str]


class Caller(asyncio.Protocol):
    """One connection."""

    def __init__(self, door: HttpServer) -> None:
        self.door, self.data, self.told = door, b"", False
        self.transport: asyncio.Transport
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take a place."""
        self.transport = cast(asyncio.Transport, transport)
        self.timer = self.door.loop.call_later(PATIENCE_S, self.late)
        self.door.joined(self)

    def data_received(self, data: bytes) -> None:
        """Answer once the call is whole; what comes after that is not read."""
        if self.told:
            return
        self.data += data[: operator_protocol.MAX_LINE_BYTES + 1 - len(self.data)]
        if operator_protocol.is_complete(self.data):
            self._say(*self.door.answer(self.data))

    def eof_received(self) -> bool:
        """Half a line is no call. Guards against an id that was cut short naming another backend."""
        if not self.told:
            self._say(False, f"found {len(self.data)} bytes and no end of a line, wanted a whole line")
        return False

    def late(self) -> None:
        """Nothing whole has come for long."""
        if not self.told:
            self._say(False, f"found no whole line within {PATIENCE_S:g} s, wanted one")

    def _say(self, yes: bool, words: str) -> None:
        self.told = True
        self.transport.write(operator_protocol.encode_reply(yes, words))
        self.transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Leave the place."""
        if self.timer is not None:
            self.timer.cancel()
        self.door.callers.pop(self, None)


class HttpServer:
    """The listener; `do` carries a call out and says what to tell, or raises ValueError."""

    def __init__(self, loop: asyncio.AbstractEventLoop, do: Do) -> None:
        self.loop, self.do = loop, do
        self.callers: dict[Caller, None] = {}  # the first that came first
        self.server: asyncio.Server | None = None
        self.answered = self.refused = self.cut = 0

    async def listen(self, where: Address) -> Address:
        """Open it; the address it has."""
        self.server = await self.loop.create_server(lambda: Caller(self), *where, backlog=BACKLOG)
        host, port = self.server.sockets[0].getsockname()[:2]
        return host, port

    def joined(self, caller: Caller) -> None:
        """A caller has connected; the oldest one goes where all places are taken."""
        self.callers[caller] = None
        if len(self.callers) > MAX_AT_ONCE:
            oldest = next(iter(self.callers))
            del self.callers[oldest]
            self.cut += 1
            oldest.told = True
            oldest.transport.abort()

    def answer(self, data: bytes) -> tuple[bool, str]:
        """Carry a call out: whether it was, and what to say."""
        try:
            words = self.do(operator_protocol.parse_request(data))
        except ValueError as fault:
            self.refused += 1
            return False, str(fault)
        self.answered += 1
        return True, words

    def close(self) -> None:
        """Take no further calls."""
        if self.server is not None:
            self.server.close()
            self.server = None
