"""The operators' listener: one request line and one reply line per connection (see `operator_protocol`).

Connections are bounded in number, bytes and time. A connection over the limit evicts the oldest one, so idle
clients can't keep an operator out.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

from honeywharf.core.transport import Address
from honeywharf.service import operator_protocol

MAX_CONNECTIONS = 16  # Each holds a descriptor.
REQUEST_TIMEOUT_S = 5.0
BACKLOG = 64
Execute = Callable[[operator_protocol.OperatorRequest], str]


class OperatorConnection(asyncio.Protocol):
    """One client connection."""

    def __init__(self, operator_server: OperatorServer) -> None:
        self.operator_server, self.data, self.replied = operator_server, b"", False
        self.transport: asyncio.Transport
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Starts the request time-out."""
        self.transport = cast(asyncio.Transport, transport)
        self.timer = self.operator_server.loop.call_later(REQUEST_TIMEOUT_S, self.request_timed_out)
        self.operator_server.add_connection(self)

    def data_received(self, data: bytes) -> None:
        """Replies once the request is complete; later data is ignored."""
        if self.replied:
            return
        self.data += data[: operator_protocol.MAX_LINE_BYTES + 1 - len(self.data)]
        if operator_protocol.is_complete(self.data):
            self._reply(*self.operator_server.handle(self.data))

    def eof_received(self) -> bool:
        """Rejects a request without its LF, because a truncated id could name another backend."""
        if not self.replied:
            self._reply(False, f"found {len(self.data)} bytes and no end of a line, wanted a whole line")
        return False

    def request_timed_out(self) -> None:
        """Replies with an error if no complete request has arrived in time."""
        if not self.replied:
            self._reply(False, f"found no whole line within {REQUEST_TIMEOUT_S:g} s, wanted one")

    def _reply(self, ok: bool, text: str) -> None:
        self.replied = True
        self.transport.write(operator_protocol.encode_reply(ok, text))
        self.transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Removes the connection from the server."""
        if self.timer is not None:
            self.timer.cancel()
        self.operator_server.connections.pop(self, None)


class OperatorServer:
    """The listener; `execute` runs a request and returns the text of the reply, or raises ValueError."""

    def __init__(self, loop: asyncio.AbstractEventLoop, execute: Execute) -> None:
        self.loop, self.execute = loop, execute
        self.connections: dict[OperatorConnection, None] = {}  # oldest first
        self.server: asyncio.Server | None = None
        self.answered = self.rejected = self.evicted = 0

    async def listen(self, address: Address) -> Address:
        """Opens the listener and returns its address."""
        self.server = await self.loop.create_server(
            lambda: OperatorConnection(self), *address, backlog=BACKLOG
        )
        host, port = self.server.sockets[0].getsockname()[:2]
        return host, port

    def add_connection(self, connection: OperatorConnection) -> None:
        """Adds a connection; aborts the oldest one if there are more than `MAX_CONNECTIONS`."""
        self.connections[connection] = None
        if len(self.connections) > MAX_CONNECTIONS:
            oldest = next(iter(self.connections))
            del self.connections[oldest]
            self.evicted += 1
            oldest.replied = True
            oldest.transport.abort()

    def handle(self, data: bytes) -> tuple[bool, str]:
        """Executes a request; returns whether it succeeded, and the text of the reply."""
        try:
            text = self.execute(operator_protocol.parse_request(data))
        except ValueError as fault:
            self.rejected += 1
            return False, str(fault)
        self.answered += 1
        return True, text

    def close(self) -> None:
        """Closes the listener."""
        if self.server is not None:
            self.server.close()
            self.server = None
