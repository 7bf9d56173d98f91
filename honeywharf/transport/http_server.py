"""An HTTP/1.1 server for backends, operators and the platform: complete requests in, complete answers out.

Theory of operation. One request at a time on a connection; what is pipelined behind it waits unread. The
process holds one body over `SMALL_BODY` at a time, and others wait unread, so that its memory is bounded.
What breaks the protocol is answered with its status, after the answers that are owed, and the connection is
closed.
"""

from __future__ import annotations

from honeywharf.codecs.heads import RequestHead
from honeywharf.codecs.mesh import INTERIM_RESPONSE, RequestReader, full_response
from honeywharf.codecs.reader import MalformedError

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable

    from honeywharf.transport.host import Address, Connection, Handler, Host

SMALL_BODY = 256 * 1024  # bytes; there may be as many of these as connections
MAX_CONNECTIONS = 1024
IDLE_TIMEOUT_S = 30.0  # without a whole call, after which a connection is closed
MAX_HEAD = 16 * 1024


class HttpRequest:
    """One complete request. `answer` may be called later; only the first call counts."""

    __slots__ = ("_connection", "body", "head", "method", "path", "peer")

    def __init__(self, http_connection: _HttpConnection, head: RequestHead, body: bytes) -> None:
        self._connection: _HttpConnection | None = http_connection
        self.head, self.body = head, body
        self.method, self.path, self.peer = head.method, head.path, http_connection.connection.peer

    def answer(self, status: int, body: bytes = b"", lines: bytes = b"") -> None:
        """Answer it; `lines`: further header lines, each with its line end."""
        http_connection, self._connection = self._connection, None
        if http_connection is not None:
            http_connection.answer(status, body, lines)


class _HttpConnection:
    """One connection of the server."""

    __slots__ = (
        "connection",
        "error_answer",
        "has_long_body",
        "head",
        "is_busy",
        "is_closed",
        "parts",
        "pipelined",
        "reader",
        "reading",
        "server",
        "size",
        "timer",
        "unread",
    )

    def __init__(self, server: HttpServer, connection: Connection) -> None:
        self.server, self.connection = server, connection
        self.reader = RequestReader(_Reading(self), server.max_body, MAX_HEAD)
        self.head: RequestHead | None = None  # of the call at work
        self.reading: RequestHead | None = None  # of the one that is read
        self.pipelined: list[tuple[RequestHead, bytes]] = []  # calls of the same read as the one at work
        self.parts: list[bytes] = []
        self.unread: list[bytes] = []  # unread bytes while a call is at work, one read at most
        self.error_answer = b""  # the answer to what made no sense; it comes after those that are owed
        self.size = 0
        self.is_busy = self.has_long_body = self.is_closed = False
        self.timer = server.host.after(IDLE_TIMEOUT_S, self._idle)

    def _idle(self) -> None:
        if not self.is_busy:
            self.connection.abort()

    def current_head(self) -> RequestHead:
        """The head of the call at work."""
        assert self.head is not None
        return self.head

    def opened(self) -> None:
        """Not called on connections that came in."""

    def received(self, data: bytes) -> None:
        """Bytes came."""
        if self.is_busy:
            self.unread.append(data)
            self.connection.pause()
            return
        try:
            self.reader.feed(data)
        except MalformedError as error:
            self.error_answer = full_response(error.status, str(error).encode(), keep=False)
            if not self.is_busy:
                self._reject()

    def _reject(self) -> None:
        """Answer what made no sense, and close."""
        self.connection.send(self.error_answer)
        self.connection.close()

    def data(self, data: bytes) -> None:
        """A part of a body."""
        self.parts.append(data)
        self.size += len(data)
        if self.size > SMALL_BODY and not self.has_long_body:
            self.has_long_body = True
            self.server.reserve_long_body(self)

    def whole(self) -> None:
        """A call is whole."""
        head, body = self.reading, b"".join(self.parts)
        assert head is not None
        self.parts, self.size = [], 0
        if self.is_busy:
            self.pipelined.append((head, body))
        else:
            self._take(head, body)

    def _take(self, head: RequestHead, body: bytes) -> None:
        self.head, self.is_busy = head, True
        self.timer.cancel()
        self.server.calls += 1
        self.server.handle(HttpRequest(self, head, body))

    def _next(self) -> None:
        if self.pipelined:
            self._take(*self.pipelined.pop(0))

    def answer(self, status: int, body: bytes, lines: bytes) -> None:
        """Answer the call at work, and read on."""
        keep = self.current_head().keep and not self.server.is_closing
        bare = self.current_head().method == b"HEAD"
        kind = b"application/json" if body[:1] in (b"{", b"[") else b"text/plain" if body else b""
        self.connection.send(full_response(status, body, keep=keep, lines=lines, kind=kind, head_only=bare))
        self.is_busy = bool(self.pipelined)
        self.release_long_body()
        if not keep:
            self.pipelined.clear()
            self.connection.close()
            return
        if self.pipelined:
            self.server.host.after(0.0, self._next)
            return
        if self.error_answer:
            self._reject()
            return
        self.timer = self.server.host.after(IDLE_TIMEOUT_S, self._idle)
        queue, self.unread = self.unread, []
        if queue:
            self.server.host.after(0.0, lambda: self._resume(queue))
        else:
            self.connection.resume()

    def _resume(self, queue: list[bytes]) -> None:
        if self.is_closed:
            return
        self.connection.resume()
        for data in queue:
            self.received(data)

    def release_long_body(self) -> None:
        """Give the place of a long body back."""
        if self.has_long_body:
            self.has_long_body = False
            self.server.release_long_body(self)

    def ended(self) -> None:
        """The caller sends nothing more."""
        if not self.is_busy:
            self.connection.close()

    def drained(self) -> None:
        """All has gone."""

    def closed(self, why: str) -> None:
        """It is gone."""
        self.is_closed = True
        self.timer.cancel()
        self.release_long_body()
        self.pipelined.clear()
        self.server.connections -= 1
        self.reader.close()


class _Reading:
    """Ties a reader to its connection: a sink's `head` is a method, while a connection keeps the head."""

    __slots__ = ("http_connection",)

    def __init__(self, http_connection: _HttpConnection) -> None:
        self.http_connection = http_connection

    def head(self, head: RequestHead) -> None:
        """A head is whole."""
        self.http_connection.reading = head
        if head.expects and not self.http_connection.is_busy:
            self.http_connection.connection.send(INTERIM_RESPONSE)

    def data(self, data: bytes) -> None:
        """A part of its body."""
        self.http_connection.data(data)

    def whole(self) -> None:
        """The call is whole."""
        self.http_connection.whole()


class HttpServer:
    """Listens at an address; `take` is given each whole call.

    `most_body`: bytes, longer ones are answered 413.
    """

    def __init__(
        self,
        host: Host,
        address: Address,
        take: Callable[[HttpRequest], None],
        most_body: int = 65 << 20,
    ) -> None:
        self.host, self.address, self.handle, self.max_body = host, address, take, most_body
        self.connections = self.calls = 0
        self.is_closing = False
        self.long_bodies: list[_HttpConnection] = []  # with long bodies; the first reads, the others wait
        host.listen(address, self._accept)

    def _accept(self, connection: Connection) -> Handler:
        http_connection = _HttpConnection(self, connection)
        self.connections += 1
        if self.connections > MAX_CONNECTIONS:
            connection.abort()
        return http_connection

    def reserve_long_body(self, http_connection: _HttpConnection) -> None:
        """A long body is coming; it waits where another one has the place."""
        self.long_bodies.append(http_connection)
        if self.long_bodies[0] is not http_connection:
            http_connection.connection.pause()

    def release_long_body(self, http_connection: _HttpConnection) -> None:
        """A long body is done with, or its caller has gone."""
        self.long_bodies.remove(http_connection)
        if self.long_bodies:
            self.long_bodies[0].connection.resume()

    def close(self) -> None:
        """Take no further connections; answers close those that are open."""
        self.is_closing = True
        self.host.unlisten(self.address)
