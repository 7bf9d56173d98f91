"""An HTTP/1.1 server for backends, operators and the platform, with complete requests and responses.

Theory of operation. Each connection serves one request at a time; pipelined requests wait unread. To bound
memory, the process reads one body over `MAX_SMALL_BODY_BYTES` at a time, and connections with other large
bodies are paused. A malformed request is answered with its error status after the pending responses, and the
connection is closed.
"""

from __future__ import annotations

from honeywharf.codecs.heads import RequestHead
from honeywharf.codecs.mesh import INTERIM_RESPONSE, RequestReader, full_response
from honeywharf.codecs.reader import MalformedError

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable

    from honeywharf.transport.host import Address, Connection, Handler, Host

MAX_SMALL_BODY_BYTES = 256 * 1024  # Every connection may hold a body of this size.
MAX_CONNECTIONS = 1024
IDLE_TIMEOUT_S = 30.0  # A connection without a complete request for this time is closed.
MAX_HEAD_BYTES = 16 * 1024


class HttpRequest:
    """One complete request. `answer` may be called later; only the first call counts."""

    __slots__ = ("_connection", "body", "head", "method", "path", "peer")

    def __init__(self, http_connection: _HttpConnection, head: RequestHead, body: bytes) -> None:
        self._connection: _HttpConnection | None = http_connection
        self.head, self.body = head, body
        self.method, self.path, self.peer = head.method, head.path, http_connection.connection.peer

    def answer(self, status: int, body: bytes = b"", lines: bytes = b"") -> None:
        """Sends the response. `lines` holds further header lines, each with its line end."""
        http_connection, self._connection = self._connection, None
        if http_connection is not None:
            http_connection.answer(status, body, lines)

    @property
    def takes_interim_responses(self) -> bool:
        """Whether the caller understands interim responses; HTTP/1.0 has none."""
        return self.head.interim

    def confirm_caller(self, confirmed: Callable[[], None]) -> None:
        """Calls `confirmed` once it is known that the caller has waited for the answer after this call.

        An interim response is sent, which every caller skips (RFC 9110, 15.2); a caller that has closed its
        connection meets it with a reset, and `confirmed` is not called.
        """
        if self._connection is not None:
            self._connection.connection.send(INTERIM_RESPONSE)
            self._connection.connection.watch_delivery(confirmed)


class _HttpConnection:
    """One connection of the server."""

    __slots__ = (
        "body_parts",
        "body_size",
        "connection",
        "error_answer",
        "has_long_body",
        "head",
        "is_busy",
        "is_closed",
        "pending_head",
        "pipelined",
        "reader",
        "server",
        "timer",
        "unread",
    )

    def __init__(self, server: HttpServer, connection: Connection) -> None:
        self.server, self.connection = server, connection
        self.reader = RequestReader(_RequestSink(self), server.max_body, MAX_HEAD_BYTES)
        self.head: RequestHead | None = None  # Head of the request in progress.
        self.pending_head: RequestHead | None = None  # Head of the request that is being read.
        self.pipelined: list[
            tuple[RequestHead, bytes]
        ] = []  # Requests read together with the one in progress.
        self.body_parts: list[bytes] = []
        self.unread: list[bytes] = []  # Bytes of at most one read during a request.
        self.error_answer = b""  # The response to a malformed request.
        self.body_size = 0
        self.is_busy = self.has_long_body = self.is_closed = False
        self.timer = server.host.after(IDLE_TIMEOUT_S, self._close_if_idle)

    def _close_if_idle(self) -> None:
        if not self.is_busy:
            self.connection.abort()

    def current_head(self) -> RequestHead:
        """Returns the head of the request in progress."""
        assert self.head is not None
        return self.head

    def opened(self) -> None:
        """Does nothing: the host calls it only for outgoing connections."""

    def received(self, data: bytes) -> None:
        """Parses received bytes, or keeps them while a request is in progress."""
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
        """Answers a malformed request and closes the connection."""
        self.connection.send(self.error_answer)
        self.connection.close()

    def data(self, data: bytes) -> None:
        """Takes a part of a request body."""
        self.body_parts.append(data)
        self.body_size += len(data)
        if self.body_size > MAX_SMALL_BODY_BYTES and not self.has_long_body:
            self.has_long_body = True
            self.server.reserve_long_body(self)

    def whole(self) -> None:
        """Takes a complete request: handles it, or queues it behind the one in progress."""
        head, body = self.pending_head, b"".join(self.body_parts)
        assert head is not None
        self.body_parts, self.body_size = [], 0
        if self.is_busy:
            self.pipelined.append((head, body))
        else:
            self._handle_request(head, body)

    def _handle_request(self, head: RequestHead, body: bytes) -> None:
        self.head, self.is_busy = head, True
        self.timer.cancel()
        self.server.calls += 1
        self.server.handle(HttpRequest(self, head, body))

    def _handle_pipelined(self) -> None:
        if self.pipelined:
            self._handle_request(*self.pipelined.pop(0))

    def answer(self, status: int, body: bytes, lines: bytes) -> None:
        """Sends the response to the request in progress, and resumes reading."""
        keep = self.current_head().keep and not self.server.is_closing
        is_head_request = self.current_head().method == b"HEAD"
        kind = b"application/json" if body[:1] in (b"{", b"[") else b"text/plain" if body else b""
        self.connection.send(
            full_response(status, body, keep=keep, lines=lines, kind=kind, head_only=is_head_request)
        )
        self.is_busy = bool(self.pipelined)
        self.release_long_body()
        if not keep:
            self.pipelined.clear()
            self.connection.close()
            return
        if self.pipelined:
            self.server.host.after(0.0, self._handle_pipelined)
            return
        if self.error_answer:
            self._reject()
            return
        self.timer = self.server.host.after(IDLE_TIMEOUT_S, self._close_if_idle)
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
        """Releases the permission to read a long body."""
        if self.has_long_body:
            self.has_long_body = False
            self.server.release_long_body(self)

    def ended(self) -> None:
        """Closes the connection after the client's half-close, unless a request is in progress."""
        if not self.is_busy:
            self.connection.close()

    def drained(self) -> None:
        """Does nothing: responses need no flow control."""

    def closed(self, reason: str) -> None:
        """Releases the connection's resources."""
        self.is_closed = True
        self.timer.cancel()
        self.release_long_body()
        self.pipelined.clear()
        self.server.connections -= 1
        self.reader.close()


class _RequestSink:
    """Passes a reader's events to its connection, whose `head` is an attribute and not the sink's method."""

    __slots__ = ("http_connection",)

    def __init__(self, http_connection: _HttpConnection) -> None:
        self.http_connection = http_connection

    def head(self, head: RequestHead) -> None:
        """Takes a complete head, and answers `Expect: 100-continue`."""
        self.http_connection.pending_head = head
        if head.expects and not self.http_connection.is_busy:
            self.http_connection.connection.send(INTERIM_RESPONSE)

    def data(self, data: bytes) -> None:
        """Takes a part of the body."""
        self.http_connection.data(data)

    def whole(self) -> None:
        """Ends the request."""
        self.http_connection.whole()


class HttpServer:
    """Listens at an address and passes each complete request to `on_request`.

    A body of more than `max_body_size` bytes is answered with 413.
    """

    def __init__(
        self,
        host: Host,
        address: Address,
        on_request: Callable[[HttpRequest], None],
        max_body_size: int = 65 << 20,
    ) -> None:
        self.host, self.address, self.handle, self.max_body = host, address, on_request, max_body_size
        self.connections = self.calls = 0
        self.is_closing = False
        self.long_bodies: list[_HttpConnection] = []  # Only the first one reads its long body.
        host.listen(address, self._accept)

    def _accept(self, connection: Connection) -> Handler:
        http_connection = _HttpConnection(self, connection)
        self.connections += 1
        if self.connections > MAX_CONNECTIONS:
            connection.abort()
        return http_connection

    def reserve_long_body(self, http_connection: _HttpConnection) -> None:
        """Queues a connection with a long body, and pauses it unless it is the first."""
        self.long_bodies.append(http_connection)
        if self.long_bodies[0] is not http_connection:
            http_connection.connection.pause()

    def release_long_body(self, http_connection: _HttpConnection) -> None:
        """Removes a connection from the queue of long bodies, and resumes the first one."""
        self.long_bodies.remove(http_connection)
        if self.long_bodies:
            self.long_bodies[0].connection.resume()

    def close(self) -> None:
        """Stops accepting connections. Each open one is closed after its next response."""
        self.is_closing = True
        self.host.stop_listening(self.address)
