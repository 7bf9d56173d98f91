"""CoAP options that correspond to the headers of HTTP requests, in the experimental range.

The range is 65000 to 65535 (RFC 7252, 12.2). Odd numbers are critical: a server that does not know them
rejects the request (4.02) instead of running it without its key or its time left. All are safe to forward.
"""

from __future__ import annotations

from urllib.parse import quote_from_bytes, unquote_to_bytes

from honeywharf.codecs import coap, contentformat
from honeywharf.core.messages import Request

CLASS = 65001  # string: X-Service-Class
ID = 65005  # string: X-Correlation-Id; new for every request, also for a retry of the client
KEY = 65009  # opaque: Idempotency-Key
TIME_LEFT = 65033  # uint, us: X-Time-Left
ACCOUNT = 65037  # string: X-Account
REPEAT = 65016  # empty: X-Repeat: 1
WEIGHT = 65020  # uint, us: X-Weight-Hint
SID = 65024  # string: the cookie sid
RETRY_AFTER = 65028  # in a response, uint, ms: the time of Max-Age, which is in seconds
UNPROCESSED = 65040  # in a response, empty: the request has not run
LOAD = 65044  # in a response, string: X-Backend-Load
# W3C trace context: version, trace-id, parent-id and flags as 26 bytes, and the state as text.
# Elective, safe to forward, and not part of the cache key (RFC 7252, 5.4.6: the number has bits 2 to 4 set).
TRACE_PARENT = 65052
TRACE_STATE = 65084
TRACE_RESPONSE = 65116  # in a response: as TRACE_PARENT, of the responding hop
KNOWN_OPTIONS = frozenset(
    (
        CLASS,
        ID,
        KEY,
        TIME_LEFT,
        ACCOUNT,
        REPEAT,
        WEIGHT,
        SID,
        TRACE_PARENT,
        TRACE_STATE,
        coap.URI_HOST,
        coap.URI_PORT,
        coap.URI_PATH,
        coap.URI_QUERY,
        coap.CONTENT_FORMAT,
        coap.ECHO,
        coap.REQUEST_TAG,
        coap.SIZE1,
        coap.SIZE2,
        coap.BLOCK1,
        coap.BLOCK2,
    )
)
AT_MOST_ONCE = frozenset(
    (CLASS, ID, KEY, TIME_LEFT, ACCOUNT, coap.CONTENT_FORMAT, coap.ECHO, coap.BLOCK1, coap.BLOCK2)
)
TRACE_CONTEXT_BYTES = 26
TRACE_CONTEXT_OPTIONS = {b"traceparent": TRACE_PARENT, b"traceresponse": TRACE_RESPONSE}
METHODS = {coap.GET: b"GET", coap.POST: b"POST"}
MAX_CORRELATION_ID_BYTES = 128
UNESCAPED = (
    "!$'()*+,;=:@"  # pchar of RFC 3986 beyond the unreserved characters, except `&`, which separates queries
)


class OptionError(Exception):
    """Options that form no valid request; `code` is the code of the response."""

    def __init__(self, code: int, reason: str) -> None:
        super().__init__(reason)
        self.code = code


def decode_request(message: coap.Message) -> Request:
    """Converts a CoAP message to a request of the core; OptionError if it is no valid request."""
    request = Request()
    method = METHODS.get(message.code)
    if method is None:
        raise OptionError(coap.METHOD_NOT_ALLOWED, f"found method 0.{message.code:02d}, wanted GET or POST")
    path, query, seen = [], [], set()
    for number, value in message.options:
        if number not in KNOWN_OPTIONS:
            if coap.is_critical(number):
                raise OptionError(coap.BAD_OPTION, f"found critical option {number}, which is not known")
            continue
        if number in AT_MOST_ONCE and number in seen:
            raise OptionError(coap.BAD_OPTION, f"found option {number} twice")
        seen.add(number)
        if number == coap.URI_PATH:
            path.append(_percent_encoded(value))
        elif number == coap.URI_QUERY:
            query.append(_percent_encoded(value))
        elif number == CLASS:
            request.class_name = value.decode("latin-1")
        elif number == ID:
            request.id = _correlation_id(value)
        elif number == KEY:
            request.idempotency_key = value
        elif number == TIME_LEFT:
            if len(value) > 5:
                raise OptionError(coap.BAD_OPTION, "found a time left of more than 12 days")
            request.left_ms = coap.uint(value) / 1000.0
        elif number == ACCOUNT:
            request.account = value.decode("latin-1")
        elif number == REPEAT:
            request.repeat = True
        elif number == WEIGHT:
            request.work_hint_ms = coap.uint(value) / 1000.0 if len(value) <= 5 else None
        elif number == coap.CONTENT_FORMAT:
            request.kind = _media_type(value)
        elif number == SID:
            request.session_id = value.decode("latin-1")
        elif number == TRACE_PARENT:
            request.trace_parents = [*request.trace_parents, trace_context_text(value)]
        elif number == TRACE_STATE:
            request.trace_states = [*request.trace_states, value]
    request.method, request.body = method, message.payload
    request.target = b"/" + b"/".join(path) + (b"?" + b"&".join(query) if query else b"")
    return request


def encode_request(request: Request) -> list[tuple[int, bytes]]:
    """Returns the options that represent a request of any protocol, except the time left."""
    path, _, query = request.target.partition(b"?")
    request_options = [(coap.URI_PATH, unquote_to_bytes(part)) for part in path.strip(b"/").split(b"/")]
    request_options += [(coap.URI_QUERY, unquote_to_bytes(part)) for part in query.split(b"&") if part]
    request_options += [(CLASS, request.class_name.encode("latin-1")), (ID, request.id.encode("latin-1"))]
    for number, value in ((KEY, request.idempotency_key), (ACCOUNT, request.account.encode("latin-1"))):
        if value:
            request_options.append((number, value))
    if request.repeat:
        request_options.append((REPEAT, b""))
    return request_options + content_format_options(request.kind)


def trace_context_text(value: bytes) -> bytes:
    """Converts a binary trace context to header text; an invalid value is kept, to be counted as invalid."""
    if len(value) != TRACE_CONTEXT_BYTES:
        return value
    return b"%b-%b-%b-%b" % tuple(
        part.hex().encode() for part in (value[:1], value[1:17], value[17:25], value[25:])
    )


def trace_context_bytes(text: bytes) -> bytes:
    """Converts a trace context from header text to 26 bytes; empty if it is invalid."""
    try:
        value = bytes.fromhex(text.decode("ascii").strip().replace("-", ""))
    except ValueError:
        return b""
    return value if len(value) == TRACE_CONTEXT_BYTES else b""


def trace_context_options(lines: bytes) -> list[tuple[int, bytes]]:
    """Converts header lines of a trace context to options."""
    trace_options: list[tuple[int, bytes]] = []
    for line in lines.split(b"\r\n"):
        name, _, value = line.partition(b": ")
        if name == b"tracestate":
            trace_options.append((TRACE_STATE, value))
        elif name in TRACE_CONTEXT_OPTIONS and (request_options := trace_context_bytes(value)):
            trace_options.append((TRACE_CONTEXT_OPTIONS[name], request_options))
    return trace_options


def content_format_options(kind: bytes) -> list[tuple[int, bytes]]:
    """Returns the Content-Format option of a media type, if CoAP has a number for it."""
    value = contentformat.content_format(kind)
    return [(coap.CONTENT_FORMAT, value)] if value is not None else []


def _media_type(value: bytes) -> bytes:
    try:
        return contentformat.media_type(value)
    except ValueError as error:
        raise OptionError(coap.BAD_OPTION, str(error)) from None


def _correlation_id(value: bytes) -> str:
    if not 0 < len(value) <= MAX_CORRELATION_ID_BYTES or any(not 0x21 <= byte <= 0x7E for byte in value):
        raise OptionError(coap.BAD_OPTION, f"found an id of odd characters or {len(value)} bytes")
    return value.decode("latin-1")


def _percent_encoded(value: bytes) -> bytes:
    """Percent-encodes a path segment or query argument for a URI (RFC 7252, 6.5), also its separators."""
    return quote_from_bytes(value, safe=UNESCAPED).encode()
