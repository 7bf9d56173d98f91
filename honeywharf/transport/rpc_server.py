"""Answers the remote calls of the mesh's other processes; the protocol is in `rpc_client`."""

from __future__ import annotations

from honeywharf.transport.framing import MAX_FRAME, FrameReader, encode_frame
from honeywharf.transport.rpc_client import CALLS_GREETING, MAX_UNSENT_BYTES, STREAMS_GREETING

TYPE_CHECKING = False  # `typing` is 1.3 MB in each process
if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any

    from honeywharf.transport.host import Address, Connection, Handler

    Reply = Callable[[object], None]
    Method = Callable[[Any, Reply, Address], None]
    StreamsHandler = Callable[[Connection, FrameReader, list[Any]], Handler]


class _ServerConnection:
    """One connection that came in."""

    __slots__ = ("connection", "is_greeted", "reader", "server", "stream_handler")

    def __init__(self, answerer: RpcServer, connection: Connection) -> None:
        self.server = answerer
        self.connection = connection
        self.reader = FrameReader(answerer.max_frame)
        self.is_greeted = False  # the first frame was "calls"
        self.stream_handler: Handler | None = None  # who has it instead

    def opened(self) -> None:
        """Not called on connections that came in."""

    def received(self, data: bytes) -> None:
        """Calls; what is none ends the connection."""
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
                    raise ValueError(f"found {str(first)[:40]!r}, wanted 'calls'")
                self.is_greeted = True
            for number, method, args in frames:
                self.server.answer(self.connection, number, method, args)
        except (ValueError, TypeError) as error:
            self.server.malformed += 1
            self.server.log(f"calls: from {self.connection.peer[0]} {error}")
            self.connection.abort()

    def ended(self) -> None:
        """The peer calls nothing more."""
        if self.stream_handler is not None:
            self.stream_handler.ended()
        else:
            self.connection.close()

    def drained(self) -> None:
        """All has gone."""
        if self.stream_handler is not None:
            self.stream_handler.drained()

    def closed(self, why: str) -> None:
        """It is gone."""
        if self.stream_handler is not None:
            self.stream_handler.closed(why)


class RpcServer:
    """Answers the calls of peers; where a method raises ValueError, TypeError or LookupError, with None."""

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
        self.malformed = 0  # connections and calls that made no sense

    def accept(self, connection: Connection) -> Handler:
        """What `Host.listen` wants."""
        return _ServerConnection(self, connection)

    def answer(self, connection: Connection, number: object, name: object, args: object) -> None:
        """Run one call; its method replies when it likes, once."""
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
    """The way back of one call; further answers are dropped."""

    __slots__ = ("connection", "number")

    def __init__(self, connection: Connection, number: object) -> None:
        self.connection: Connection | None = connection
        self.number = number

    def __call__(self, answer: object) -> None:
        connection, self.connection = self.connection, None
        if connection is not None and connection.unsent <= MAX_UNSENT_BYTES:
            connection.send(encode_frame([self.number, True, answer]))
