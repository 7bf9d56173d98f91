"""How a CoAP request tells what an HTTP request tells in headers: options of the experimental range.

RFC 7252, 12.2: 65000 to 65535. Odd numbers are critical, so a server that does not know them refuses the
request (4.02) instead of running it without its key or its time. All are safe to forward.
"""

from __future__ import annotations

from urllib.parse import quote_from_bytes, unquote_to_bytes

from honeywharf.codecs import coap, contentformat
from honeywharf.core.messages import Request

CLASS = 65001  # string: X-Service-Class
ID = 65005  # string: X-Correlation-Id; new with every request, also with a client's repeat
KEY = 65009  # opaque: Idempotency-Key
TIME_LEFT = 65033  # uint, us: X-Time-Left
ACCOUNT = 65037  # string: X-Account
REPEAT = 65016  # empty: X-Repeat: 1
WEIGHT = 65020  # uint, us: X-Weight-Hint
SID = 65024  # string: the cookie sid
RETRY_AFTER = 65028  # in a response, uint, ms: what Max-Age tells in whole seconds
UNPROCESSED = 65040  # in a response, empty: nothing of the request has run
LOAD = 65044  # in a response, string: X-Backend-Load
# The trace's context (W3C): version, trace-id, parent-id and flags as 26 bytes, and the state as text.
# Elective, safe to forward, and no part of a cache's key (RFC 7252, 5.4.6: the number's bits 2 to 4 are set).
TRACE_PARENT = 65052
TRACE_STATE = 65084
TRACE_RESPONSE = 65116  # in a response: as TRACE_PARENT, of the hop that answers
KNOWN = frozenset(
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
ONCE = frozenset(
    (CLASS, ID, KEY, TIME_LEFT, ACCOUNT, coap.CONTENT_FORMAT, coap.ECHO, coap.BLOCK1, coap.BLOCK2)
)
CONTEXT_BYTES = 26
CONTEXTS = {b"traceparent": TRACE_PARENT, b"traceresponse": TRACE_RESPONSE}
METHODS = {coap.GET: b"GET", coap.POST: b"POST"}
MAX_ID = 128
PLAIN = "!$'()*+,;=:@"  # RFC 3986, pchar, besides what is never escaped; but for `&`, which parts queries


class OptionError(Exception):
    """Options that make no request; `code` is the answer to them."""

    def __init__(self, code: int, words: str) -> None:
        super().__init__(words)
        self.code = code


def request_of(message: coap.Message) -> Request:
    """A CoAP request as the core knows it; OptionError where it is none."""
    request = Request()
    method = METHODS.get(message.code)
    if method is None:
        raise OptionError(coap.METHOD_NOT_ALLOWED, f"found method 0.{message.code:02d}, wanted GET or POST")
    path, query, seen = [], [], set()
    for number, value in message.options:
        if number not in KNOWN:
            if coap.is_critical(number):
                raise OptionError(coap.BAD_OPTION, f"found critical option {number}, which is not known")
            continue
        if number in ONCE and number in seen:
            raise OptionError(coap.BAD_OPTION, f"found option {number} twice")
        seen.add(number)
        if number == coap.URI_PATH:
            path.append(_escaped(value))
        elif number == coap.URI_QUERY:
            query.append(_escaped(value))
        elif number == CLASS:
            request.class_name = value.decode("latin-1")
        elif number == ID:
            request.id = _id(value)
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
            request.kind = _kind(value)
        elif number == SID:
            request.session_id = value.decode("latin-1")
        elif number == TRACE_PARENT:
            request.trace_parents = [*request.trace_parents, context_text(value)]
        elif number == TRACE_STATE:
            request.trace_states = [*request.trace_states, value]
    request.method, request.body = method, message.payload
    request.target = b"/" + b"/".join(path) + (b"?" + b"&".join(query) if query else b"")
    return request


def of_request(request: Request) -> list[tuple[int, bytes]]:
    """The options by which a node is told any protocol's request, but for the time left."""
    path, _, query = request.target.partition(b"?")
    told = [(coap.URI_PATH, unquote_to_bytes(part)) for part in path.strip(b"/").split(b"/")]
    told += [(coap.URI_QUERY, unquote_to_bytes(part)) for part in query.split(b"&") if part]
    told += [(CLASS, request.class_name.encode("latin-1")), (ID, request.id.encode("latin-1"))]
    for number, value in ((KEY, request.idempotency_key), (ACCOUNT, request.account.encode("latin-1"))):
        if value:
            told.append((number, value))
    if request.repeat:
        told.append((REPEAT, b""))
    return told + format_of(request.kind)


def context_text(value: bytes) -> bytes:
    """26 bytes of context as the header has them; what is no such value stays as it is, to be counted so."""
    if len(value) != CONTEXT_BYTES:
        return value
    return b"%b-%b-%b-%b" % tuple(
        part.hex().encode() for part in (value[:1], value[1:17], value[17:25], value[25:])
    )


def context_bytes(text: bytes) -> bytes:
    """A header's context as 26 bytes; empty where it is none."""
    try:
        value = bytes.fromhex(text.decode("ascii").strip().replace("-", ""))
    except ValueError:
        return b""
    return value if len(value) == CONTEXT_BYTES else b""


def of_lines(lines: bytes) -> list[tuple[int, bytes]]:
    """The options that say what header lines of a trace's context say."""
    found: list[tuple[int, bytes]] = []
    for line in lines.split(b"\r\n"):
        name, _, value = line.partition(b": ")
        if name == b"tracestate":
            found.append((TRACE_STATE, value))
        elif name in CONTEXTS and (told := context_bytes(value)):
            found.append((CONTEXTS[name], told))
    return found


def format_of(kind: bytes) -> list[tuple[int, bytes]]:
    """The option that names a body's media type, where CoAP has a number for it."""
    value = contentformat.content_format(kind)
    return [(coap.CONTENT_FORMAT, value)] if value is not None else []


def _kind(value: bytes) -> bytes:
    try:
        return contentformat.media_type(value)
    except ValueError as fault:
        raise OptionError(coap.BAD_OPTION, str(fault)) from None


def _id(value: bytes) -> str:
    if not 0 < len(value) <= MAX_ID or any(not 0x21 <= byte <= 0x7E for byte in value):
        raise OptionError(coap.BAD_OPTION, f"found an id of odd characters or {len(value)} bytes")
    return value.decode("latin-1")


def _escaped(value: bytes) -> bytes:
    """A part of path or query as it stands in a URI (6.5): what could be read as more than one is escaped."""
    return quote_from_bytes(value, safe=PLAIN).encode()
