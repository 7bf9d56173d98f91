"""Serves remote procedure calls of other processes; the protocol is described in `rpc_client`."""

from __future__ import annotations

from honeywharf.transport.framing import MAX_FRAME, FrameReader, encode_frame
from honeywharf.transport.rpc_client import CALLS_GREETING, MAX_UNSENT_BYTES, STREAMS_GREETING

TYPE_CHECKING = False  # Importing `typing` costs 1.3 MB in each process.
if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any

    from honeywharf.transport.host import Address, Connection, Handler

    Reply = Callable[[object], None]
    Method = Callable[[Any, Reply, Address], None]
    StreamsHandler = Callable[[Connection, FrameReader, list[Any]], Handler]


class _ServerConnection:
    """One accepted connection."""

    __slots__ = ("connection", "is_greeted", "reader", "server", "stream_handler")

    def __init__(self, rpc_server: RpcServer, connection: Connection) -> None:
        self.server = rpc_server
        self.connection = connection
        self.reader = FrameReader(rpc_server.max_frame)
        self.is_greeted = False  # The first frame was "calls".
        self.stream_handler: Handler | None = None  # Handles a connection that greeted with "streams".

    def opened(self) -> None:
        """Does nothing: the host calls it only for outgoing connections."""

    def received(self, data: bytes) -> None:
        """Handles received calls; a malformed one closes the connection."""
        if self.stream_handler is not None:
            self.stream_handler.received(data)
            return
        try:
            frames = self.reader.feed(data)
            if not self.is_greeted and frames:
                first = frames.pop(0)
                if first == STREAMS_GREETING and self.server.streams is not None:
                    self.stream_handler = self.server.streams(self.connection, self.reader, frames)
                    return
                if first != CALLS_GREETING:
                    raise ValueError(f"greeting: expected 'calls', got {str(first)[:40]!r}")
                self.is_greeted = True
            for number, method, args in frames:
                self.server.answer(self.connection, number, method, args)
        except (ValueError, TypeError) as error:
            self.server.malformed += 1
            self.server.log(f"calls: from {self.connection.peer[0]} {error}")
            self.connection.abort()

    def ended(self) -> None:
        """Closes the connection after the peer's half-close, or passes it on."""
        if self.stream_handler is not None:
            self.stream_handler.ended()
        else:
            self.connection.close()

    def drained(self) -> None:
        """Passes the event on to the handler of streams."""
        if self.stream_handler is not None:
            self.stream_handler.drained()

    def closed(self, reason: str) -> None:
        """Passes the event on to the handler of streams."""
        if self.stream_handler is not None:
            self.stream_handler.closed(reason)


class RpcServer:
    """Answers calls; with None if the method raises ValueError, TypeError or LookupError."""

    __slots__ = ("log", "malformed", "max_frame", "methods", "streams")

    def __init__(
        self,
        methods: dict[str, Method],
        streams: StreamsHandler | None = None,
        most: int = MAX_FRAME,
        log: Callable[[str], None] = lambda line: None,
    ) -> None:
        self.methods = methods
        self.streams = streams
        self.max_frame = most
        self.log = log
        self.malformed = 0  # Malformed connections and calls.

    def accept(self, connection: Connection) -> Handler:
        """Accepts a connection, as `Host.listen` requires."""
        return _ServerConnection(self, connection)

    def answer(self, connection: Connection, number: object, name: object, args: object) -> None:
        """Runs one call. Its method may reply later, once."""
        method = self.methods.get(name) if isinstance(name, str) else None
        if method is None:
            connection.send(encode_frame([number, False, None]))
            return
        try:
            method(args, _Reply(connection, number), connection.peer)
        except (ValueError, TypeError, LookupError) as error:
            self.malformed += 1
            self.log(f"calls: {name} from {connection.peer[0]}: {type(error).__name__} {error}")
            connection.send(encode_frame([number, False, None]))


class _Reply:
    """Sends the answer of one call; further answers are dropped."""

    __slots__ = ("connection", "number")

    def __init__(self, connection: Connection, number: object) -> None:
        self.connection: Connection | None = connection
        self.number = number

    def __call__(self, answer: object) -> None:
        connection, self.connection = self.connection, None
        if connection is not None and connection.unsent <= MAX_UNSENT_BYTES:
            connection.send(encode_frame([self.number, True, answer]))
