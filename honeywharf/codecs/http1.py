"""HTTP/1.1 as both sides of the proxy speak it: readers, heads, and the codecs of single headers."""

from __future__ import annotations

import re
from collections.abc import Callable

import httptools

from honeywharf.codecs.reader import (
    CHUNKED as CHUNKED,
    LAST_CHUNK as LAST_CHUNK,
    MAX_HEAD as MAX_HEAD,
    SLICE as SLICE,
    MalformedError as MalformedError,
    Reader,
    chunk as chunk,
    too_long,
)
from honeywharf.core import messages
from honeywharf.flow.buffer_budget import BufferBudget
from honeywharf.flow.pipe import Pipe

MAX_INTERIM = 8  # 1xx answers ahead of one answer
REASONS = {
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
#: Headers that go on to a backend: those that the protocol names, and the kind of the body. Guards against
#: passing on what a backend might read as another framing, or as part of another request.
PASSED = frozenset(
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
_ID = re.compile(rb"[!-~]{1,128}")
_DURATION = re.compile(rb"(\d{1,12}(?:\.\d{1,9})?)([mu])")
_SID = re.compile(rb"(?:^|;)\s*sid=([^;\s]*)")


def duration(value: bytes) -> float | None:
    """`480m` or `480000u` in milliseconds; None where it makes no sense."""
    match = _DURATION.fullmatch(value.strip())
    if match is None:
        return None
    figure = float(match[1])
    return figure if match[2] == b"m" else figure / 1000.0


def time_left(ms: float) -> bytes:
    """The header that tells a backend how long it has."""
    return b"X-Time-Left: %du\r\n" % max(0, int(ms * 1000.0))


def begun_answer(
    status: int,
    length: int | None,
    *,
    keep: bool,
    chunked: bool,
    kind: bytes = b"",
    lines: bytes = b"",
) -> bytes:
    """The head of an answer whose body follows as it arrives; with neither length nor chunks, up to the end
    of the connection.
    """
    head = b"HTTP/1.1 %d %b\r\n" % (status, REASONS.get(status, b"Answer"))
    if length is not None:
        head += b"Content-Length: %d\r\n" % length
    elif chunked:
        head += CHUNKED
    if kind:
        head += b"Content-Type: %b\r\n" % kind
    if not keep:
        head += b"Connection: close\r\n"
    return head + lines + b"\r\n"


def answer(
    status: int,
    body: bytes = b"",
    *,
    keep: bool = True,
    retry_after_ms: float = 0.0,
    kind: bytes = b"",
    lines: bytes = b"",
) -> bytes:
    """A whole answer to a caller; `lines`: further header lines."""
    head = b"HTTP/1.1 %d %b\r\nContent-Length: %d\r\n" % (status, REASONS.get(status, b"Answer"), len(body))
    if kind:
        head += b"Content-Type: %b\r\n" % kind
    if retry_after_ms > 0:
        head += b"Retry-After: %.3f\r\n" % (retry_after_ms / 1000.0)
    if not keep:
        head += b"Connection: close\r\n"
    return head + lines + b"\r\n" + body


class Request(messages.Request):
    """A caller's request; `forwarded` are the header lines that go on to an HTTP node."""

    __slots__ = ("expects", "forwarded", "interim", "keep", "made_head")

    def __init__(self) -> None:
        super().__init__()
        self.forwarded: list[bytes] = []
        self.expects = False
        self.interim = True  # whether interim answers may be sent to it: not to HTTP/1.0 (RFC 9110, 15.2)
        self.keep = True
        self.made_head = b""  # its head for a node, once it has been asked for

    @property
    def streams(self) -> bool:
        """Its caller takes an answer as it arrives."""
        return True

    def head(self) -> bytes:
        """Its head for a node, up to the time left."""
        if not self.made_head:
            lines = [b"%b %b HTTP/1.1\r\n" % (self.method, self.target), *self.forwarded]
            if self.pipe is not None:
                length = self.pipe.length
                lines.append(CHUNKED if length is None else b"Content-Length: %d\r\n" % length)
            elif self.body or self.method != b"GET":
                lines.append(b"Content-Length: %d\r\n" % len(self.body))
            self.made_head = b"".join(lines)
        return self.made_head


def head_of(request: messages.Request, host: bytes) -> bytes:
    """The head for a node of any protocol's request, up to the time left; `host` where it named none."""
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


NONE = Request()  # between messages


def _id(request: Request, value: bytes) -> None:
    if request.id or not _ID.fullmatch(value):
        raise MalformedError(400, "two ids, or one of odd characters")
    request.id = value.decode("latin-1")


def _class(request: Request, value: bytes) -> None:
    if request.class_name:
        raise MalformedError(400, "two classes")
    request.class_name = value.decode("latin-1")


def _account(request: Request, value: bytes) -> None:
    request.account = value.decode("latin-1")


def _cookie(request: Request, value: bytes) -> None:
    match = _SID.search(value)
    if match is not None:
        request.session_id = match[1].decode("latin-1")


def _left(request: Request, value: bytes) -> None:
    again, request.left_ms = request.left_ms is not None, duration(value)
    if again or request.left_ms is None:
        raise MalformedError(400, "senseless time left")


def _repeat(request: Request, value: bytes) -> None:
    request.repeat = value.strip() == b"1"


def _idempotency(request: Request, value: bytes) -> None:
    if request.idempotency_key:
        raise MalformedError(400, "two idempotency keys")
    request.idempotency_key = value


def _hint(request: Request, value: bytes) -> None:
    hint = messages.parse_number(value)
    request.work_hint_ms = None if hint is None else hint / 1000.0


def _facts(request: Request, value: bytes) -> None:
    request.facts = value


def _kind(request: Request, value: bytes) -> None:
    request.kind = value


def _trace_parent(request: Request, value: bytes) -> None:
    request.trace_parents = [*request.trace_parents, value]


def _trace_state(request: Request, value: bytes) -> None:
    request.trace_states = [*request.trace_states, value]


def _expect(request: Request, value: bytes) -> None:
    request.expects = value.strip().lower() == b"100-continue"


HEADERS: dict[bytes, Callable[[Request, bytes], None]] = {
    b"x-correlation-id": _id,
    b"x-service-class": _class,
    b"x-account": _account,
    b"cookie": _cookie,
    b"x-time-left": _left,
    b"x-repeat": _repeat,
    b"idempotency-key": _idempotency,
    b"x-weight-hint": _hint,
    b"x-facts": _facts,
    b"expect": _expect,
    b"content-type": _kind,
    b"traceparent": _trace_parent,
    b"tracestate": _trace_state,
}


ALONE = 16 * 1024 * 1024  # bytes of long bodies that a reader without an account may hold


class RequestReader(Reader):
    """Turns what one caller sends into requests.

    One whose body is longer than may be held whole is given as soon as that is known, with the rest of its
    body on the way in its pipe; where the account has no place for it, its pipe has none either (`has_slot`).

    An offer of another protocol (RFC 9110, 7.8) is ignored. The parser ends such a message at its head and
    takes its body for the other protocol, so it is given a head of the same framing once more, of which
    nothing is noted: what it then finds is the body.
    """

    def __init__(self, buffer_budget: BufferBudget | None = None) -> None:
        super().__init__(messages.MAX_BODY)
        self.buffer_budget = buffer_budget or BufferBudget(ALONE)
        self.pipe: Pipe | None = None  # of the request that is being read
        self.parser: httptools.HttpRequestParser = httptools.HttpRequestParser(self)
        self.request = NONE
        self.length = -1  # of its body, where that was said
        self.done: list[Request] = []
        self.fault: MalformedError | None = None
        self.framing = b""  # header lines that say where the message ends
        self.again = False  # the head that is being read is one that was given once more

    def feed(self, data: bytes) -> list[Request]:
        """The requests whose last byte has come with these; `fault` is what is wrong with the rest."""
        try:
            self._feed(data)
        except MalformedError as fault:
            self.fault = fault
        done, self.done = self.done, []
        return done

    def wants_continue(self) -> bool:
        """Whether the sender of the message that is being read waits for word before its body; said once."""
        wants = self.in_body and self.request.expects and not self.body_bytes
        if wants:
            self.request.expects = False
        return wants

    def _offered(self) -> bytes:
        self.again = True
        return b"POST * HTTP/1.1\r\n" + self.framing + b"\r\n"

    def on_message_begin(self) -> None:
        """A message begins."""
        if not self.again:
            super().on_message_begin()
            self.request, self.framing, self.length = Request(), b"", -1

    def on_url(self, url: bytes) -> None:
        """A part of the target."""
        if not self.again:
            self._count(len(url))
            self.request.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """A header, whole; a trailer's field is none (RFC 9110, 6.5.1) and only counts for the bound."""
        if self.again:
            return
        self.unsaid = -1
        self.head_bytes += len(name) + len(value) + 4
        if self.head_bytes > self.max_head:
            raise MalformedError(431, "the head is too long")
        if not self.in_head:
            return
        key = name.lower()
        take = HEADERS.get(key)
        if take is not None:
            take(self.request, value)
        if key in PASSED:
            self.request.forwarded.append(b"%b: %b\r\n" % (name, value))
        elif key == b"content-length":
            if too_long(value, self.max_body):
                raise MalformedError(413, "the body is too long")
            if value.strip().isdigit():
                self.length = int(value)
            self.framing += b"%b: %b\r\n" % (name, value)
        elif key == b"transfer-encoding":
            if value.strip().lower() != b"chunked":  # the parser lets them pass
                raise MalformedError(400, "an odd transfer coding")
            self.framing += b"%b: %b\r\n" % (name, value)

    def on_headers_complete(self) -> None:
        """The head is whole."""
        if self.again:
            self.again = False
            return
        self.in_head, self.in_body = False, True
        request = self.request
        request.method = self.parser.get_method()
        version = self.parser.get_http_version()
        if request.method not in METHODS or version not in ("1.1", "1.0"):
            raise MalformedError(400, "not HTTP/1, or an odd method")
        if version == "1.0":
            request.expects = request.interim = False  # its expectations are ignored (RFC 9110, 10.1.1)
        # A proxy keeps no connection with a client of HTTP/1.0 (RFC 9112, 9.3), whatever that asks for.
        request.keep = version == "1.1" and self.parser.should_keep_alive()
        if self.length > messages.MAX_BUFFERED_BODY:
            self._begin(self.length)

    def on_body(self, data: bytes) -> None:
        """A part of the body."""
        if self.pipe is None:
            super().on_body(data)
            if self.body_bytes > messages.MAX_BUFFERED_BODY:  # in chunks: nothing had said so
                self._begin(None)
            return
        self.unsaid = -1
        self.body_bytes += len(data)
        if self.body_bytes > self.max_body:
            raise MalformedError(413, "the body is too long")
        self.pipe.push(data)

    def _begin(self, length: int | None) -> None:
        """The body is too long to be held whole: its request is given, and the rest follows."""
        pipe = self.pipe = Pipe(self.buffer_budget, length, has_slot=self.buffer_budget.acquire())
        parts, self.parts = self.parts, []
        for part in parts:
            pipe.push(part)
        self.request.pipe = pipe
        self.done.append(self.request)

    def close(self) -> None:
        """Let go of the parser; a body that is on the way breaks off."""
        if self.pipe is not None:
            pipe, self.pipe = self.pipe, None
            pipe.fail()
        super().close()

    def on_message_complete(self) -> None:
        """The message is whole."""
        if self.parser.should_upgrade():
            return  # only its head: see above
        if self.pipe is not None:
            pipe, self.pipe = self.pipe, None
            self.request, self.in_body = NONE, False
            pipe.finish()
            return
        request, self.request, self.in_body = self.request, NONE, False  # an idle connection keeps none
        request.body, self.parts = self.body(), []
        self.done.append(request)


class Response(messages.Response):
    """A node's or discovery's answer, whole."""

    __slots__ = ("keep", "status", "unprocessed")

    def __init__(self) -> None:
        super().__init__()
        self.status = 0
        self.unprocessed = False
        self.keep = True


class ResponseReader(Reader):
    """Turns what comes back on one connection into answers, one to a request.

    With an account, a 200 whose body is longer than `whole` is given as soon as that is known, with the
    rest of its body on the way in its pipe; `pipe` is None again once all of it has come.
    """

    def __init__(
        self, max_body: int = messages.MAX_ANSWER, buffer_budget: BufferBudget | None = None
    ) -> None:
        super().__init__(max_body)
        self.buffer_budget = buffer_budget
        self.whole_most = 0  # bytes of a body that is held whole, where longer ones are passed on; 0: none is
        self.pipe: Pipe | None = None
        self.length = -1
        self.chunked = False
        self.keeps = False  # whether the connection may carry another call after the answer that is passed on
        self.parser: httptools.HttpResponseParser = httptools.HttpResponseParser(self)
        self.response = Response()
        self.done: Response | None = None
        self.surplus = False  # more has come than belongs to the answer: the connection is of no further use
        self.interim = 0

    def feed(self, data: bytes) -> Response | None:
        """The answer that is whole with these bytes, if one is.

        What comes behind it is not read, whatever it is: the answer that is whole is good, and was made for
        the one request that was out.
        """
        self.done = None
        try:
            self._feed(data)
        except MalformedError:
            pipe, self.pipe = self.pipe, None
            self.surplus = True
            if pipe is not None:
                pipe.fail()  # what was passed on of it is visibly broken
            elif not self.whole:
                raise
        return self._take()

    @property
    def whole(self) -> bool:
        """Whether the answer has come to its end."""
        return self.done is not None

    def _take(self) -> Response | None:
        done, self.done = self.done, None
        return done

    def on_message_begin(self) -> None:
        """A message begins."""
        if self.whole or self.pipe is not None:
            raise MalformedError(400, "more than one answer")
        super().on_message_begin()
        self.response, self.length, self.chunked = Response(), -1, False

    def on_header(self, name: bytes, value: bytes) -> None:
        """A header, whole."""
        self._count(len(name) + len(value) + 4)
        if not self.in_head:
            return  # a trailer's: nothing that a head may say is taken from there
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
            most = messages.MAX_BODY if self.whole_most else self.max_body
            if too_long(value, most):
                # Guards against reading, up to the cap, what is said to be gigabytes.
                raise MalformedError(413, "the body is too long")
            if value.strip().isdigit():
                self.length = int(value)
        elif key == b"transfer-encoding":
            self.chunked = True

    def on_headers_complete(self) -> None:
        """The head is whole."""
        self.in_head, self.in_body = False, True
        if 0 < self.whole_most < self.length:
            self._begin(self.length)

    def on_body(self, data: bytes) -> None:
        """A part of the body."""
        if self.pipe is None:
            super().on_body(data)
            if 0 < self.whole_most < self.body_bytes:
                self._begin(None)
            return
        self.unsaid = -1
        self.body_bytes += len(data)
        if self.body_bytes > messages.MAX_BODY:
            raise MalformedError(413, "the body is too long")
        self.pipe.push(data)

    def _begin(self, length: int | None) -> None:
        """The body is too long to be held whole; only one that answers the request is passed on."""
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
        self.keeps = response.keep = self.parser.should_keep_alive()
        self.done = response

    def end(self) -> Response | None:
        """The connection has ended: the answer, where that is how its body ends (RFC 9112, 6.3)."""
        if not self.in_body or self.length >= 0 or self.chunked:
            return None
        self.on_message_complete()
        return self._take()

    def on_message_complete(self) -> None:
        """The message is whole."""
        self.in_body = False
        if self.pipe is not None:
            pipe, self.pipe = self.pipe, None
            self.response = Response()
            pipe.finish()
            return
        status = self.parser.get_status_code()
        if status < 200:  # an interim answer: the real one follows, and nothing of this one stays
            self.parts, self.interim = [], self.interim + 1
            if self.interim > MAX_INTERIM or status < 100:
                raise MalformedError(400, "too many interim answers")
            return
        response, self.interim = self.response, 0
        response.status, response.body, self.parts = status, self.body(), []
        response.keep = self.parser.should_keep_alive()
        self.response, self.done = Response(), response
