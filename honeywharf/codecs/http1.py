"""HTTP/1.1 on both sides of the proxy: readers, heads, and codecs of single headers."""

from __future__ import annotations

import re
from collections.abc import Callable

import httptools

from honeywharf.codecs.reader import (
    CHUNKED as CHUNKED,
    LAST_CHUNK as LAST_CHUNK,
    MAX_HEAD_BYTES as MAX_HEAD_BYTES,
    PARSE_SLICE_BYTES as PARSE_SLICE_BYTES,
    MalformedError as MalformedError,
    Reader,
    chunk as chunk,
    too_long,
)
from honeywharf.core import messages
from honeywharf.flow.buffer_budget import BufferBudget
from honeywharf.flow.pipe import Pipe

MAX_INTERIM_RESPONSES = 8  # 1xx responses ahead of one final response
REASON_PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    408: b"Request Timeout",
    409: b"Conflict",
    413: b"Content Too Large",
    422: b"Unprocessable Content",
    431: b"Request Header Fields Too Large",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}
METHODS = frozenset((b"GET", b"POST", b"HEAD", b"PUT", b"DELETE", b"OPTIONS", b"PATCH"))
#: Headers forwarded to a backend: those that the protocol names, and the media type of the body. All others
#: are dropped: a backend could read them as another framing, or as part of another request.
FORWARDED_HEADERS = frozenset(
    (
        b"host",
        b"x-correlation-id",
        b"x-service-class",
        b"x-account",
        b"cookie",
        b"x-repeat",
        b"idempotency-key",
        b"x-weight-hint",
        b"x-facts",
        b"content-type",
    )
)
_CORRELATION_ID = re.compile(rb"[!-~]{1,128}")
_DURATION = re.compile(rb"(\d{1,12}(?:\.\d{1,9})?)([mu])")
_SESSION_ID = re.compile(rb"(?:^|;)\s*sid=([^;\s]*)")


def parse_duration_ms(value: bytes) -> float | None:
    """Parses `480m` or `480000u`, in milliseconds; None if it is invalid."""
    match = _DURATION.fullmatch(value.strip())
    if match is None:
        return None
    amount = float(match[1])
    return amount if match[2] == b"m" else amount / 1000.0


def time_left_header(ms: float) -> bytes:
    """Encodes the header with the time left until the deadline."""
    return b"X-Time-Left: %du\r\n" % max(0, int(ms * 1000.0))


def response_head(
    status: int,
    length: int | None,
    *,
    keep: bool,
    chunked: bool,
    kind: bytes = b"",
    lines: bytes = b"",
) -> bytes:
    """Encodes the head of a response with a streamed body.

    With neither a length nor chunks, the body ends with the connection.
    """
    head = b"HTTP/1.1 %d %b\r\n" % (status, REASON_PHRASES.get(status, b"Answer"))
    if length is not None:
        head += b"Content-Length: %d\r\n" % length
    elif chunked:
        head += CHUNKED
    if kind:
        head += b"Content-Type: %b\r\n" % kind
    if not keep:
        head += b"Connection: close\r\n"
    return head + lines + b"\r\n"


def full_response(
    status: int,
    body: bytes = b"",
    *,
    keep: bool = True,
    retry_after_ms: float = 0.0,
    kind: bytes = b"",
    lines: bytes = b"",
) -> bytes:
    """Encodes a complete response to a client; `lines` are further header lines."""
    head = b"HTTP/1.1 %d %b\r\nContent-Length: %d\r\n" % (
        status,
        REASON_PHRASES.get(status, b"Answer"),
        len(body),
    )
    if kind:
        head += b"Content-Type: %b\r\n" % kind
    if retry_after_ms > 0:
        head += b"Retry-After: %.3f\r\n" % (retry_after_ms / 1000.0)
    if not keep:
        head += b"Connection: close\r\n"
    return head + lines + b"\r\n" + body


class Request(messages.Request):
    """A client's request; `forwarded` are the header lines forwarded to an HTTP node."""

    __slots__ = ("encoded_head", "expects", "forwarded", "interim", "keep")

    def __init__(self) -> None:
        super().__init__()
        self.forwarded: list[bytes] = []
        self.expects = False
        self.interim = True  # whether interim responses may be sent: not to HTTP/1.0 (RFC 9110, 15.2)
        self.keep = True
        self.encoded_head = b""  # cached result of `head`

    @property
    def streams(self) -> bool:
        """Whether the client accepts a streamed response."""
        return True

    def head(self) -> bytes:
        """Encodes the head for a node, up to the header of the time left."""
        if not self.encoded_head:
            lines = [b"%b %b HTTP/1.1\r\n" % (self.method, self.target), *self.forwarded]
            if self.pipe is not None:
                length = self.pipe.length
                lines.append(CHUNKED if length is None else b"Content-Length: %d\r\n" % length)
            elif self.body or self.method != b"GET":
                lines.append(b"Content-Length: %d\r\n" % len(self.body))
            self.encoded_head = b"".join(lines)
        return self.encoded_head


def request_head(request: messages.Request, host: bytes) -> bytes:
    """Encodes a request of any protocol for an HTTP node, up to the header of the time left.

    `host` is used where the request names none.
    """
    if isinstance(request, Request):
        return request.head()
    lines = [
        b"%b %b HTTP/1.1\r\nHost: %b\r\n" % (request.method, request.target, host),
        b"X-Correlation-Id: %b\r\n" % request.id.encode("latin-1"),
        b"X-Service-Class: %b\r\n" % request.class_name.encode("latin-1"),
    ]
    for name, value in (
        (b"X-Account", request.account.encode("latin-1")),
        (b"Idempotency-Key", request.idempotency_key),
        (b"X-Repeat", b"1" if request.repeat else b""),
        (b"X-Facts", request.facts),
        (b"Content-Type", request.kind),
    ):
        if value:
            lines.append(b"%b: %b\r\n" % (name, value))
    if request.work_hint_ms is not None:
        lines.append(b"X-Weight-Hint: %d\r\n" % int(request.work_hint_ms * 1000.0))
    if request.body or request.method != b"GET":
        lines.append(b"Content-Length: %d\r\n" % len(request.body))
    return b"".join(lines)


NO_REQUEST = Request()  # placeholder between messages


def _correlation_id(request: Request, value: bytes) -> None:
    if request.id or not _CORRELATION_ID.fullmatch(value):
        raise MalformedError(
            400,
            "x-correlation-id: expected one id of 1 to 128 visible ASCII characters, got another",
        )
    request.id = value.decode("latin-1")


def _service_class(request: Request, value: bytes) -> None:
    if request.class_name:
        raise MalformedError(400, "x-service-class: expected one value, got two")
    request.class_name = value.decode("latin-1")


def _account(request: Request, value: bytes) -> None:
    request.account = value.decode("latin-1")


def _cookie(request: Request, value: bytes) -> None:
    match = _SESSION_ID.search(value)
    if match is not None:
        request.session_id = match[1].decode("latin-1")


def _time_left(request: Request, value: bytes) -> None:
    again, request.left_ms = request.left_ms is not None, parse_duration_ms(value)
    if again or request.left_ms is None:
        raise MalformedError(400, "x-time-left: expected one duration, got an invalid value or two")


def _repeat(request: Request, value: bytes) -> None:
    request.repeat = value.strip() == b"1"


def _idempotency_key(request: Request, value: bytes) -> None:
    if request.idempotency_key:
        raise MalformedError(400, "idempotency-key: expected one value, got two")
    request.idempotency_key = value


def _work_hint(request: Request, value: bytes) -> None:
    hint = messages.parse_number(value)
    request.work_hint_ms = None if hint is None else hint / 1000.0


def _facts(request: Request, value: bytes) -> None:
    request.facts = value


def _content_type(request: Request, value: bytes) -> None:
    request.kind = value


def _trace_parent(request: Request, value: bytes) -> None:
    request.trace_parents = [*request.trace_parents, value]


def _trace_state(request: Request, value: bytes) -> None:
    request.trace_states = [*request.trace_states, value]


def _expect(request: Request, value: bytes) -> None:
    request.expects = value.strip().lower() == b"100-continue"


HEADER_SETTERS: dict[bytes, Callable[[Request, bytes], None]] = {
    b"x-correlation-id": _correlation_id,
    b"x-service-class": _service_class,
    b"x-account": _account,
    b"cookie": _cookie,
    b"x-time-left": _time_left,
    b"x-repeat": _repeat,
    b"idempotency-key": _idempotency_key,
    b"x-weight-hint": _work_hint,
    b"x-facts": _facts,
    b"expect": _expect,
    b"content-type": _content_type,
    b"traceparent": _trace_parent,
    b"tracestate": _trace_state,
}


DEFAULT_BUFFER_BYTES = 16 * 1024 * 1024  # bytes of long bodies buffered by readers that share no budget


class RequestReader(Reader):
    """Parses the bytes of one client into requests.

    A request whose body is too long to be buffered is returned as soon as that is known, and the rest of the
    body follows through its pipe. Where the buffer budget has no slot left, its pipe has none (`has_slot`).

    An offer to upgrade to another protocol (RFC 9110, 7.8) is ignored. The parser ends such a message at its
    head and treats its body as the other protocol. Therefore it is fed another head with the same framing,
    whose callbacks are ignored, and then parses the body.
    """

    def __init__(self, buffer_budget: BufferBudget | None = None) -> None:
        super().__init__(messages.MAX_BODY)
        self.buffer_budget = buffer_budget or BufferBudget(DEFAULT_BUFFER_BYTES)
        self.pipe: Pipe | None = None  # pipe of the body that is being read
        self.parser: httptools.HttpRequestParser = httptools.HttpRequestParser(self)
        self.request = NO_REQUEST
        self.length = -1  # Content-Length of the message being read; -1 without one
        self.done: list[Request] = []
        self.fault: MalformedError | None = None
        self.framing = b""  # header lines that frame the body
        self.replaying_head = False  # whether the parser reads the head fed after an upgrade

    def feed(self, data: bytes) -> list[Request]:
        """Returns the requests that these bytes complete; `fault` is set if the rest is malformed."""
        try:
            self._feed(data)
        except MalformedError as fault:
            self.fault = fault
        done, self.done = self.done, []
        return done

    def wants_continue(self) -> bool:
        """Returns, once per message, whether its sender waits for 100 (Continue) before the body."""
        wants = self.in_body and self.request.expects and not self.body_bytes
        if wants:
            self.request.expects = False
        return wants

    def _head_after_upgrade(self) -> bytes:
        self.replaying_head = True
        return b"POST * HTTP/1.1\r\n" + self.framing + b"\r\n"

    def on_message_begin(self) -> None:
        """Called by the parser when a message begins."""
        if not self.replaying_head:
            super().on_message_begin()
            self.request, self.framing, self.length = Request(), b"", -1

    def on_url(self, url: bytes) -> None:
        """Called by the parser with a part of the target."""
        if not self.replaying_head:
            self._count(len(url))
            self.request.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by the parser with a header field.

        A trailer field is not merged into the headers (RFC 9110, 6.5.1): it only counts towards the limit.
        """
        if self.replaying_head:
            return
        self.unreported_bytes = -1
        self.head_bytes += len(name) + len(value) + 4
        if self.head_bytes > self.max_head:
            raise MalformedError(431, "the head is too long")
        if not self.in_head:
            return
        key = name.lower()
        take = HEADER_SETTERS.get(key)
        if take is not None:
            take(self.request, value)
        if key in FORWARDED_HEADERS:
            self.request.forwarded.append(b"%b: %b\r\n" % (name, value))
        elif key == b"content-length":
            if too_long(value, self.max_body):
                raise MalformedError(413, "the body is too long")
            if value.strip().isdigit():
                self.length = int(value)
            self.framing += b"%b: %b\r\n" % (name, value)
        elif key == b"transfer-encoding":
            if value.strip().lower() != b"chunked":  # the parser accepts other codings
                raise MalformedError(400, "transfer-encoding: expected chunked, got another coding")
            self.framing += b"%b: %b\r\n" % (name, value)

    def on_headers_complete(self) -> None:
        """Called by the parser when the head is complete."""
        if self.replaying_head:
            self.replaying_head = False
            return
        self.in_head, self.in_body = False, True
        request = self.request
        request.method = self.parser.get_method()
        version = self.parser.get_http_version()
        if request.method not in METHODS or version not in ("1.1", "1.0"):
            raise MalformedError(
                400, "request line: expected HTTP/1.0 or HTTP/1.1 and a supported method, got another"
            )
        if version == "1.0":
            request.expects = request.interim = False  # HTTP/1.0 has no expectations (RFC 9110, 10.1.1)
        # A proxy must not keep a connection to an HTTP/1.0 client open, even if asked to (RFC 9112, 9.3).
        request.keep = version == "1.1" and self.parser.should_keep_alive()
        if self.length > messages.MAX_BUFFERED_BODY:
            self._begin_streaming(self.length)

    def on_body(self, data: bytes) -> None:
        """Called by the parser with a part of the body."""
        if self.pipe is None:
            super().on_body(data)
            if self.body_bytes > messages.MAX_BUFFERED_BODY:  # chunked: its length was not known
                self._begin_streaming(None)
            return
        self.unreported_bytes = -1
        self.body_bytes += len(data)
        if self.body_bytes > self.max_body:
            raise MalformedError(413, "the body is too long")
        self.pipe.push(data)

    def _begin_streaming(self, length: int | None) -> None:
        """Returns the request before its body is complete, as the body is too long to be buffered."""
        pipe = self.pipe = Pipe(self.buffer_budget, length, has_slot=self.buffer_budget.acquire())
        parts, self.parts = self.parts, []
        for part in parts:
            pipe.push(part)
        self.request.pipe = pipe
        self.done.append(self.request)

    def close(self) -> None:
        """Releases the parser and fails a body that is not complete."""
        if self.pipe is not None:
            pipe, self.pipe = self.pipe, None
            pipe.fail()
        super().close()

    def on_message_complete(self) -> None:
        """Called by the parser when the message is complete."""
        if self.parser.should_upgrade():
            return  # only the head is complete: see the class docstring
        if self.pipe is not None:
            pipe, self.pipe = self.pipe, None
            self.request, self.in_body = NO_REQUEST, False
            pipe.finish()
            return
        # An idle connection holds no request.
        request, self.request, self.in_body = self.request, NO_REQUEST, False
        request.body, self.parts = self.body(), []
        self.done.append(request)


class Response(messages.Response):
    """A response of a node or of discovery."""

    __slots__ = ("keep", "status", "unprocessed")

    def __init__(self) -> None:
        super().__init__()
        self.status = 0
        self.unprocessed = False
        self.keep = True


class ResponseReader(Reader):
    """Parses the bytes of one connection into responses, one for each request.

    With a buffer budget, a 200 whose body is longer than `max_buffered_body` is returned as soon as that is
    known, and the rest of the body follows through its pipe; `pipe` is None again once the body is complete.
    """

    def __init__(
        self, max_body: int = messages.MAX_ANSWER, buffer_budget: BufferBudget | None = None
    ) -> None:
        super().__init__(max_body)
        self.buffer_budget = buffer_budget
        self.max_buffered_body = 0  # bytes; longer bodies are streamed. 0: no body is streamed
        self.pipe: Pipe | None = None
        self.length = -1
        self.chunked = False
        self.is_reusable = False  # whether the connection may carry another call after a streamed response
        self.parser: httptools.HttpResponseParser = httptools.HttpResponseParser(self)
        self.response = Response()
        self.done: Response | None = None
        self.has_excess_bytes = False  # bytes beyond the response: the connection cannot be reused
        self.interim = 0

    def feed(self, data: bytes) -> Response | None:
        """Returns the response that these bytes complete, or None.

        Bytes after it are not parsed: a complete response is valid, as it answers the only request in flight.
        """
        self.done = None
        try:
            self._feed(data)
        except MalformedError:
            pipe, self.pipe = self.pipe, None
            self.has_excess_bytes = True
            if pipe is not None:
                pipe.fail()  # the recipient of the streamed part learns that it is truncated
            elif not self.is_complete:
                raise
        return self._take_done()

    @property
    def is_complete(self) -> bool:
        """Whether a response is ready that `feed` has not yet returned."""
        return self.done is not None

    def _take_done(self) -> Response | None:
        done, self.done = self.done, None
        return done

    def on_message_begin(self) -> None:
        """Called by the parser when a message begins."""
        if self.is_complete or self.pipe is not None:
            raise MalformedError(400, "responses: expected 1, got more")
        super().on_message_begin()
        self.response, self.length, self.chunked = Response(), -1, False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by the parser with a header field."""
        self._count(len(name) + len(value) + 4)
        if not self.in_head:
            return  # trailer fields are not merged into the headers
        key = name.lower()
        if key == b"x-unprocessed":
            self.response.unprocessed = value.strip() == b"1"
        elif key == b"x-backend-load":
            self.response.load = value
        elif key == b"content-type":
            self.response.kind = value
        elif key == b"traceresponse":
            self.response.trace = value
        elif key == b"content-length":
            limit = messages.MAX_BODY if self.max_buffered_body else self.max_body
            if too_long(value, limit):
                # Rejected now instead of after reading the body up to the limit.
                raise MalformedError(413, "the body is too long")
            if value.strip().isdigit():
                self.length = int(value)
        elif key == b"transfer-encoding":
            self.chunked = True

    def on_headers_complete(self) -> None:
        """Called by the parser when the head is complete."""
        self.in_head, self.in_body = False, True
        if 0 < self.max_buffered_body < self.length:
            self._begin_streaming(self.length)

    def on_body(self, data: bytes) -> None:
        """Called by the parser with a part of the body."""
        if self.pipe is None:
            super().on_body(data)
            if 0 < self.max_buffered_body < self.body_bytes:
                self._begin_streaming(None)
            return
        self.unreported_bytes = -1
        self.body_bytes += len(data)
        if self.body_bytes > messages.MAX_BODY:
            raise MalformedError(413, "the body is too long")
        self.pipe.push(data)

    def _begin_streaming(self, length: int | None) -> None:
        """Streams a body that is too long to be buffered; only that of a 200 is streamed."""
        if self.buffer_budget is None or self.parser.get_status_code() != 200:
            if self.body_bytes > self.max_body or self.length > self.max_body:
                raise MalformedError(413, "the body is too long")
            return
        response = self.response
        pipe = self.pipe = response.pipe = Pipe(self.buffer_budget, length, has_slot=False)
        parts, self.parts = self.parts, []
        for part in parts:
            pipe.push(part)
        response.status = 200
        self.is_reusable = response.keep = self.parser.should_keep_alive()
        self.done = response

    def end(self) -> Response | None:
        """Returns the response whose body ends with the connection, if there is one (RFC 9112, 6.3)."""
        if not self.in_body or self.length >= 0 or self.chunked:
            return None
        self.on_message_complete()
        return self._take_done()

    def on_message_complete(self) -> None:
        """Called by the parser when the message is complete."""
        self.in_body = False
        if self.pipe is not None:
            pipe, self.pipe = self.pipe, None
            self.response = Response()
            pipe.finish()
            return
        status = self.parser.get_status_code()
        if status < 200:  # an interim response is dropped: the final one follows
            self.parts, self.interim = [], self.interim + 1
            if self.interim > MAX_INTERIM_RESPONSES or status < 100:
                raise MalformedError(400, "interim responses: expected at most 8 with valid status codes")
            return
        response, self.interim = self.response, 0
        response.status, response.body, self.parts = status, self.body(), []
        response.keep = self.parser.should_keep_alive()
        self.response, self.done = Response(), response
