"""HTTP/1.1 as the mesh speaks it to clients, backends, operators: heads as events, bodies as they come.

Theory of operation. Both readers give a head as soon as it is whole, then parts of its body, then its end, to
a `sink`. Bodies are not held here. Framing is never copied from one side to the other: the length or the
chunks are made anew from what the parser has found. Headers that concern one connection only (RFC 9110,
7.6.1) are left out, and so are those that the mesh sets itself. Source: PROTOCOL, "Requests", "Answers".
"""

from __future__ import annotations

import httptools

from honeywharf.codecs.heads import UNKNOWN, Answer, Head
from honeywharf.codecs.reader import MalformedError, Reader, too_long

TYPE_CHECKING = False
if TYPE_CHECKING:
    from honeywharf.codecs.sinks import AnswerSink, Sink

ATTEMPT, REMAINING = b"x-honeywharf-attempt-id", b"x-honeywharf-deadline-remaining"
SEAL, EXECUTED = b"x-honeywharf-server-seal", b"x-honeywharf-not-executed"
INSTANCE, LOAD = b"x-honeywharf-instance-id", b"x-honeywharf-instance-load"
COLD = b"x-honeywharf-cold-remaining"
HOP = frozenset(
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
#: Set by the mesh whatever was sent.
OURS = frozenset((REMAINING, b"x-honeywharf-expected-instance", b"x-honeywharf-caller-service"))
REASONS = {
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
MAX_INTERIM = 8  # 1xx answers ahead of one answer
INTERIM_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
MAX_ID = 128  # bytes of an attempt id


def milliseconds(value: bytes) -> float | None:
    """A whole or broken number of milliseconds, in seconds; None where it makes no sense."""
    value = value.strip()
    if not 0 < len(value) <= 16 or not value.replace(b".", b"", 1).isdigit():
        return None
    return float(value) / 1000.0


class RequestReader(Reader):
    """Turns what one client sends into heads, parts of bodies and ends.

    An offer of another protocol is ignored.
    """

    def __init__(self, sink: Sink, max_body: int, max_head: int) -> None:
        super().__init__(max_body, max_head)
        self.sink: Sink | None = sink
        self.parser: httptools.HttpRequestParser = httptools.HttpRequestParser(self)
        self.message = Head()
        self.framing = b""
        self.again = False
        self.listed: list[bytes] = []  # names that a Connection header has told of

    def feed(self, data: bytes) -> None:
        """Take bytes. MalformedError, with the status of the answer.

        Where they break the protocol or a bound.
        """
        self._feed(data)

    def _offered(self) -> bytes:
        self.again = True
        return b"POST * HTTP/1.1\r\n" + self.framing + b"\r\n"

    def on_message_begin(self) -> None:
        """A message begins."""
        if not self.again:
            super().on_message_begin()
            self.message, self.framing, self.listed = Head(), b"", []

    def on_url(self, url: bytes) -> None:
        """A part of the target."""
        if not self.again:
            self._count(len(url))
            self.message.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """A header, whole; a trailer's field only counts for the bound."""
        if self.again:
            return
        self._count(len(name) + len(value) + 4)
        if not self.in_head:
            return
        key, message = name.lower(), self.message
        if key in HOP:
            self._hop(key, value)
        elif key == REMAINING:
            message.remaining_s = milliseconds(value)
            if message.remaining_s is None:
                raise MalformedError(400, "senseless time left")
        elif key not in OURS:
            if key == ATTEMPT:
                if message.attempt or not 0 < len(value) <= MAX_ID:
                    raise MalformedError(400, "two attempt ids, or one of odd length")
                message.attempt = value
            elif key == b"host":
                if message.host:
                    raise MalformedError(400, "two hosts")
                message.host = value
            message.fields.append(b"%b: %b\r\n" % (name, value))

    def _hop(self, key: bytes, value: bytes) -> None:
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
            self.listed += [n.strip().lower() for n in value.split(b",")]

    def on_headers_complete(self) -> None:
        """The head is whole."""
        if self.again:
            self.again = False
            return
        self.in_head, self.in_body = False, True
        message = self.message
        message.method, version = self.parser.get_method(), self.parser.get_http_version()
        if version not in ("1.1", "1.0") or not message.target.startswith(b"/"):
            raise MalformedError(400, "not HTTP/1, or an odd target")
        message.keep = version == "1.1" and self.parser.should_keep_alive()
        if version == "1.0":
            message.expects = message.interim = False
        for listed in self.listed:
            if listed not in (b"close", b"keep-alive", b"host", ATTEMPT):
                message.fields = [f for f in message.fields if f.partition(b":")[0].lower() != listed]
        if self.sink is not None:
            self.sink.head(message)

    def on_body(self, data: bytes) -> None:
        """A part of the body."""
        self.unsaid = -1
        self.body_bytes += len(data)
        if self.body_bytes > self.max_body:
            raise MalformedError(413, "the body is too long")
        if self.sink is not None:
            self.sink.data(data)

    def on_message_complete(self) -> None:
        """The message is whole."""
        if self.parser.should_upgrade():
            return
        self.in_body = False
        if self.sink is not None:
            self.sink.whole()

    def close(self) -> None:
        """Let go of the parser and of the sink."""
        self.sink = None
        super().close()


class AnswerReader(Reader):
    """Turns what a backend sends into answers.

    `waiting`: how many may still come; what is beyond is an excess.
    """

    def __init__(self, sink: AnswerSink, max_body: int) -> None:
        super().__init__(max_body, 64 * 1024)
        self.sink: AnswerSink | None = sink
        self.parser: httptools.HttpResponseParser = httptools.HttpResponseParser(self)
        self.message = Answer()
        self.interim = 0

    def feed(self, data: bytes) -> None:
        """Take bytes. MalformedError where they are no answer in the protocol."""
        self._feed(data)

    def on_message_begin(self) -> None:
        """An answer begins."""
        super().on_message_begin()
        self.message = Answer()

    def on_header(self, name: bytes, value: bytes) -> None:
        """A header, whole."""
        self._count(len(name) + len(value) + 4)
        if not self.in_head:
            return
        key, message = name.lower(), self.message
        if key in HOP:
            if key == b"content-length" and value.strip().isdigit():
                if too_long(value, self.max_body):
                    raise MalformedError(413, "the body is too long")
                message.length = int(value)
            elif key == b"keep-alive":
                message.idle_s = _idle_seconds(value)
            return
        if key == ATTEMPT:
            message.attempt = value
        elif key == SEAL:
            message.sealed = bool(value)
        elif key == EXECUTED:
            message.unexecuted = True
        elif key == LOAD:
            message.load = value
        elif key == INSTANCE:
            message.instance = value
        elif key == COLD:
            message.cold_s = milliseconds(value)
            if message.cold_s is None:
                message.cold_s = duration(value.decode("latin-1").strip())
        elif key == b"content-encoding":
            message.encoded = True
        message.fields.append(b"%b: %b\r\n" % (name, value))

    def on_headers_complete(self) -> None:
        """The head is whole."""
        self.in_head, self.in_body = False, True
        self.message.status = self.parser.get_status_code()
        if self.message.status >= 200:
            self.message.keep = self.parser.should_keep_alive()
            if self.sink is not None:
                self.sink.answer(self.message)

    def on_body(self, data: bytes) -> None:
        """A part of the body."""
        self.unsaid = -1
        self.body_bytes += len(data)
        if self.body_bytes > self.max_body:
            raise MalformedError(413, "the body is too long")
        if self.sink is not None:
            self.sink.data(data)

    def on_message_complete(self) -> None:
        """The answer is whole, or an interim one is."""
        self.in_body = False
        if self.message.status < 200:
            self.interim += 1
            if self.interim > MAX_INTERIM:
                raise MalformedError(400, "too many interim answers")
            return
        self.interim = 0
        if self.sink is not None:
            self.sink.whole()

    def close(self) -> None:
        """Let go of the parser and of the sink."""
        self.sink = None
        super().close()


def _idle_seconds(value: bytes) -> float:
    for part in value.split(b","):
        name, _, figure = part.strip().partition(b"=")
        if name.lower() == b"timeout" and figure.isdigit():
            return float(figure)
    return 0.0


def duration(text: str) -> float | None:
    """`1500ms` or `2.5s` in seconds; None where it makes no sense. Source: PROTOCOL, the top."""
    for unit, scale in (("ms", 0.001), ("s", 1.0)):
        if text.endswith(unit):
            figure = text[: -len(unit)]
            sound = figure.isascii() and figure.replace(".", "", 1).isdigit() and len(figure) < 16
            return float(figure) * scale if sound else None
    return None


def final(
    status: int,
    body: bytes = b"",
    *,
    keep: bool = True,
    again_s: float = 0.0,
    lines: bytes = b"",
    kind: bytes = b"",
    bare: bool = False,
) -> bytes:
    """A whole answer of the mesh's own. `bare`: the head alone, to a HEAD request."""
    head = b"HTTP/1.1 %d %b\r\nContent-Length: %d\r\n" % (status, REASONS.get(status, b"Answer"), len(body))
    if kind:
        head += b"Content-Type: %b\r\n" % kind
    if again_s > 0:
        head += b"Retry-After: %.3f\r\n" % again_s
    if not keep:
        head += b"Connection: close\r\n"
    return head + lines + b"\r\n" + (b"" if bare else body)


def begun(status: int, fields: bytes, length: int, *, keep: bool, bodiless: bool = False) -> bytes:
    """The head of a backend's answer for a client. `length` UNKNOWN: chunks follow."""
    head = b"HTTP/1.1 %d %b\r\n%b" % (status, REASONS.get(status, b"Answer"), fields)
    if not bodiless or length >= 0:
        head += b"Transfer-Encoding: chunked\r\n" if length == UNKNOWN else b"Content-Length: %d\r\n" % length
    if not keep:
        head += b"Connection: close\r\n"
    return head + b"\r\n"
