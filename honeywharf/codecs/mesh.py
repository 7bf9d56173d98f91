"""HTTP/1.1 of the mesh towards clients, backends and operators, with streamed bodies.

Theory of operation. Both readers pass a head to a `sink` as soon as it is complete, then the parts of its
body, then its end. Bodies are not buffered here. Framing is never copied from one side to the other: the
length or the chunks are written anew from what the parser has found. Hop-by-hop headers (RFC 9110, 7.6.1)
are removed, and so are those that the mesh sets itself. Source: PROTOCOL, "Requests", "Answers".
"""

from __future__ import annotations

import httptools

from honeywharf.codecs.heads import UNKNOWN, RequestHead, ResponseHead
from honeywharf.codecs.reader import MalformedError, Reader, too_long

TYPE_CHECKING = False
if TYPE_CHECKING:
    from honeywharf.codecs.sinks import RequestSink, ResponseSink

ATTEMPT_ID, DEADLINE_REMAINING = b"x-honeywharf-attempt-id", b"x-honeywharf-deadline-remaining"
SERVER_SEAL, NOT_EXECUTED = b"x-honeywharf-server-seal", b"x-honeywharf-not-executed"
INSTANCE_ID, INSTANCE_LOAD = b"x-honeywharf-instance-id", b"x-honeywharf-instance-load"
COLD_REMAINING = b"x-honeywharf-cold-remaining"
HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
        b"http2-settings",
        b"proxy-authenticate",
        b"proxy-authorization",
    )
)
#: Headers that the mesh sets itself: those of the sender are dropped.
SET_BY_MESH = frozenset(
    (DEADLINE_REMAINING, b"x-honeywharf-expected-instance", b"x-honeywharf-caller-service")
)
REASON_PHRASES = {
    200: b"OK",
    201: b"Created",
    204: b"No Content",
    307: b"Temporary Redirect",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    409: b"Conflict",
    413: b"Content Too Large",
    421: b"Misdirected Request",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}
MAX_INTERIM_RESPONSES = 8  # 1xx responses ahead of one final response
INTERIM_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
MAX_ATTEMPT_ID_BYTES = 128


def parse_milliseconds(value: bytes) -> float | None:
    """Parses an integer or decimal number of milliseconds, in seconds; None if it is invalid."""
    value = value.strip()
    if not 0 < len(value) <= 16 or not value.replace(b".", b"", 1).isdigit():
        return None
    return float(value) / 1000.0


class RequestReader(Reader):
    """Parses the bytes of one client into heads, parts of bodies and ends of requests.

    An offer of another protocol is ignored.
    """

    def __init__(self, sink: RequestSink, max_body: int, max_head: int) -> None:
        super().__init__(max_body, max_head)
        self.sink: RequestSink | None = sink
        self.parser: httptools.HttpRequestParser = httptools.HttpRequestParser(self)
        self.message = RequestHead()
        self.framing = b""
        self.replaying_head = False
        self.connection_options: list[bytes] = []  # names listed in the Connection header

    def feed(self, data: bytes) -> None:
        """Parses received bytes.

        MalformedError, with the status of the response, if they violate the protocol or a limit.
        """
        self._feed(data)

    def _head_after_upgrade(self) -> bytes:
        self.replaying_head = True
        return b"POST * HTTP/1.1\r\n" + self.framing + b"\r\n"

    def on_message_begin(self) -> None:
        """Called by the parser when a message begins."""
        if not self.replaying_head:
            super().on_message_begin()
            self.message, self.framing, self.connection_options = RequestHead(), b"", []

    def on_url(self, url: bytes) -> None:
        """Called by the parser with a part of the target."""
        if not self.replaying_head:
            self._count(len(url))
            self.message.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by the parser with a header field; a trailer field only counts towards the limit."""
        if self.replaying_head:
            return
        self._count(len(name) + len(value) + 4)
        if not self.in_head:
            return
        key, message = name.lower(), self.message
        if key in HOP_BY_HOP:
            self._connection_header(key, value)
        elif key == DEADLINE_REMAINING:
            message.remaining_s = parse_milliseconds(value)
            if message.remaining_s is None:
                raise MalformedError(400, "senseless time left")
        elif key not in SET_BY_MESH:
            if key == ATTEMPT_ID:
                if message.attempt or not 0 < len(value) <= MAX_ATTEMPT_ID_BYTES:
                    raise MalformedError(400, "two attempt ids, or one of odd length")
                message.attempt = value
            elif key == b"host":
                if message.host:
                    raise MalformedError(400, "two hosts")
                message.host = value
            message.fields.append(b"%b: %b\r\n" % (name, value))

    def _connection_header(self, key: bytes, value: bytes) -> None:
        if key == b"content-length":
            if too_long(value, self.max_body):
                raise MalformedError(413, "the body is too long")
            if value.strip().isdigit():
                self.message.length = int(value)
            self.framing += b"Content-Length: %b\r\n" % value
        elif key == b"transfer-encoding":
            if value.strip().lower() != b"chunked":
                raise MalformedError(400, "an odd transfer coding")
            self.message.length = UNKNOWN
            self.framing += b"Transfer-Encoding: chunked\r\n"
        elif key == b"expect":
            self.message.expects = value.strip().lower() == b"100-continue"
        elif key == b"connection":
            self.connection_options += [n.strip().lower() for n in value.split(b",")]

    def on_headers_complete(self) -> None:
        """Called by the parser when the head is complete."""
        if self.replaying_head:
            self.replaying_head = False
            return
        self.in_head, self.in_body = False, True
        message = self.message
        message.method, version = self.parser.get_method(), self.parser.get_http_version()
        if version not in ("1.1", "1.0") or not message.target.startswith(b"/"):
            raise MalformedError(400, "not HTTP/1, or an odd target")
        message.keep = version == "1.1" and self.parser.should_keep_alive()
        if version == "1.0":
            message.expects = message.interim = False
        for option in self.connection_options:
            if option not in (b"close", b"keep-alive", b"host", ATTEMPT_ID):
                message.fields = [f for f in message.fields if f.partition(b":")[0].lower() != option]
        if self.sink is not None:
            self.sink.head(message)

    def on_body(self, data: bytes) -> None:
        """Called by the parser with a part of the body."""
        self.unreported_bytes = -1
        self.body_bytes += len(data)
        if self.body_bytes > self.max_body:
            raise MalformedError(413, "the body is too long")
        if self.sink is not None:
            self.sink.data(data)

    def on_message_complete(self) -> None:
        """Called by the parser when the message is complete."""
        if self.parser.should_upgrade():
            return
        self.in_body = False
        if self.sink is not None:
            self.sink.whole()

    def close(self) -> None:
        """Releases the parser and the sink."""
        self.sink = None
        super().close()


class ResponseReader(Reader):
    """Parses the bytes of one backend into responses."""

    def __init__(self, sink: ResponseSink, max_body: int) -> None:
        super().__init__(max_body, 64 * 1024)
        self.sink: ResponseSink | None = sink
        self.parser: httptools.HttpResponseParser = httptools.HttpResponseParser(self)
        self.message = ResponseHead()
        self.interim = 0

    def feed(self, data: bytes) -> None:
        """Parses received bytes; MalformedError if they are no valid response."""
        self._feed(data)

    def on_message_begin(self) -> None:
        """Called by the parser when a response begins."""
        super().on_message_begin()
        self.message = ResponseHead()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by the parser with a header field."""
        self._count(len(name) + len(value) + 4)
        if not self.in_head:
            return
        key, message = name.lower(), self.message
        if key in HOP_BY_HOP:
            if key == b"content-length" and value.strip().isdigit():
                if too_long(value, self.max_body):
                    raise MalformedError(413, "the body is too long")
                message.length = int(value)
            elif key == b"keep-alive":
                message.idle_s = _keep_alive_timeout_s(value)
            return
        if key == ATTEMPT_ID:
            message.attempt = value
        elif key == SERVER_SEAL:
            message.sealed = bool(value)
        elif key == NOT_EXECUTED:
            message.not_executed = True
        elif key == INSTANCE_LOAD:
            message.load = value
        elif key == INSTANCE_ID:
            message.instance = value
        elif key == COLD_REMAINING:
            message.cold_s = parse_milliseconds(value)
            if message.cold_s is None:
                message.cold_s = parse_duration(value.decode("latin-1").strip())
        elif key == b"content-encoding":
            message.encoded = True
        message.fields.append(b"%b: %b\r\n" % (name, value))

    def on_headers_complete(self) -> None:
        """Called by the parser when the head is complete."""
        self.in_head, self.in_body = False, True
        self.message.status = self.parser.get_status_code()
        if self.message.status >= 200:
            self.message.keep = self.parser.should_keep_alive()
            if self.sink is not None:
                self.sink.answer(self.message)

    def on_body(self, data: bytes) -> None:
        """Called by the parser with a part of the body."""
        self.unreported_bytes = -1
        self.body_bytes += len(data)
        if self.body_bytes > self.max_body:
            raise MalformedError(413, "the body is too long")
        if self.sink is not None:
            self.sink.data(data)

    def on_message_complete(self) -> None:
        """Called by the parser when a final or interim response is complete."""
        self.in_body = False
        if self.message.status < 200:
            self.interim += 1
            if self.interim > MAX_INTERIM_RESPONSES:
                raise MalformedError(400, "too many interim answers")
            return
        self.interim = 0
        if self.sink is not None:
            self.sink.whole()

    def close(self) -> None:
        """Releases the parser and the sink."""
        self.sink = None
        super().close()


def _keep_alive_timeout_s(value: bytes) -> float:
    for part in value.split(b","):
        name, _, digits = part.strip().partition(b"=")
        if name.lower() == b"timeout" and digits.isdigit():
            return float(digits)
    return 0.0


def parse_duration(text: str) -> float | None:
    """Parses `1500ms` or `2.5s`, in seconds; None if it is invalid. Source: PROTOCOL, the top."""
    for unit, scale in (("ms", 0.001), ("s", 1.0)):
        if text.endswith(unit):
            digits = text[: -len(unit)]
            is_valid = digits.isascii() and digits.replace(".", "", 1).isdigit() and len(digits) < 16
            return float(digits) * scale if is_valid else None
    return None


def full_response(
    status: int,
    body: bytes = b"",
    *,
    keep: bool = True,
    retry_delay_s: float = 0.0,
    lines: bytes = b"",
    kind: bytes = b"",
    head_only: bool = False,
) -> bytes:
    """Encodes a response of the mesh's own. `head_only`: without the body, in response to HEAD."""
    head = b"HTTP/1.1 %d %b\r\nContent-Length: %d\r\n" % (
        status,
        REASON_PHRASES.get(status, b"Answer"),
        len(body),
    )
    if kind:
        head += b"Content-Type: %b\r\n" % kind
    if retry_delay_s > 0:
        head += b"Retry-After: %.3f\r\n" % retry_delay_s
    if not keep:
        head += b"Connection: close\r\n"
    return head + lines + b"\r\n" + (b"" if head_only else body)


def response_head(status: int, fields: bytes, length: int, *, keep: bool, bodiless: bool = False) -> bytes:
    """Encodes the head of a backend's response for a client; with length UNKNOWN, chunks follow."""
    head = b"HTTP/1.1 %d %b\r\n%b" % (status, REASON_PHRASES.get(status, b"Answer"), fields)
    if not bodiless or length >= 0:
        head += b"Transfer-Encoding: chunked\r\n" if length == UNKNOWN else b"Content-Length: %d\r\n" % length
    if not keep:
        head += b"Connection: close\r\n"
    return head + b"\r\n"
