"""Protocol-independent requests and answers, for the driver, order keys and all protocols."""

from __future__ import annotations

import math
import re
from enum import IntEnum

from mypy_extensions import mypyc_attr

from honeywharf.flow.pipe import Pipe
from honeywharf.policy import interface as api

FORWARDED_PATH = b"/api"  # requests under this path go to backends
MAX_BUFFERED_BODY = 64 * 1024  # Bytes of a request body that are buffered; a longer body is streamed.
# Bytes of an answer that is buffered because it can't be streamed, for CoAP clients and for order keys. A
# longer answer counts as broken there. The connection pool bounds the memory for all of them.
MAX_ANSWER = 1024 * 1024
# Bytes of other answers that are buffered; a longer one is streamed, and can't be requested again.
MAX_BUFFERED_ANSWER = 64 * 1024
MAX_BODY = 1024**3  # bytes of any body; an answer that announces more counts as broken
MAX_PAIRS = 32  # values that are read from one report
_NUMBER = re.compile(rb"\d{1,12}(?:\.\d{1,12})?")


class Status(IntEnum):
    """The meaning of a final answer. Looking one up in a table is faster with an `IntEnum` than an `Enum`."""

    SERVED = 1
    REFUSED = 2  # nothing has run, so a retry is safe
    FAILED = 3  # the request may have run
    CONFLICT = 4  # a request with this id, or too many with this key, are in progress
    UNPROCESSABLE = 5  # the key was used with another payload


def is_forwarded_path(target: bytes) -> bool:
    """Whether a target's path is forwarded to backends."""
    path = target.partition(b"?")[0]
    return path == FORWARDED_PATH or path.startswith(FORWARDED_PATH + b"/")


def whole_seconds(ms: float, chance: float) -> int:
    """Rounds a delay up or down at random to full seconds, so that the mean stays the same.

    `chance`: evenly distributed in 0 to 1. A delay above 0 becomes 1 s at least, because 0 s would mean an
    immediate retry.
    """
    return max(1, math.floor(ms / 1000.0 + chance)) if ms > 0 else 0


def parse_number(value: bytes) -> float | None:
    """Parses a number in plain notation that is not negative; None for anything else.

    Guards against input that `float` accepts, such as `nan`, `inf` and `1_0`, and against absurdly long
    numbers.
    """
    return float(value) if _NUMBER.fullmatch(value.strip()) else None


def parse_pairs(value: bytes) -> dict[str, float]:
    """Parses `name=value,name=value` with numeric values; other items are left out."""
    found: dict[str, float] = {}
    for item in value.split(b",", MAX_PAIRS)[:MAX_PAIRS]:
        name, _, text = item.partition(b"=")
        number = parse_number(text)
        if number is not None:
            found[name.strip().decode("latin-1")] = number
    return found


NO_HEADERS: list[bytes] = []  # shared by all requests without such headers; never appended to


@mypyc_attr(allow_interpreted_subclasses=True)
class Request:
    """A client's request; each protocol has a subclass with the fields that only it needs.

    `method` is GET or POST, which HTTP and CoAP share (RFC 7252, 5.8); `target` is path and query.
    """

    __slots__ = (
        "account",
        "answer_header_lines",
        "body",
        "class_name",
        "facts",
        "id",
        "idempotency_key",
        "kind",
        "left_ms",
        "method",
        "pipe",
        "read_ms",
        "repeat",
        "session_id",
        "target",
        "trace",
        "trace_parents",
        "trace_states",
        "waited_ms",
        "work_hint_ms",
    )

    def __init__(self) -> None:
        self.method = self.target = self.body = b""
        self.kind = b""  # media type of the body; empty if unknown
        self.id = self.class_name = self.account = self.session_id = ""
        self.idempotency_key = self.facts = b""
        self.left_ms: float | None = None
        self.work_hint_ms: float | None = None
        self.repeat = False
        self.trace_parents: list[bytes] = NO_HEADERS  # headers of the trace context, as received
        self.trace_states: list[bytes] = NO_HEADERS
        self.answer_header_lines = b""  # header lines for its answer
        self.read_ms = 0.0  # when it was read to its end, on the proxy's clock
        self.waited_ms = 0.0  # wait for the proxy to accept its connection, after `read_ms`
        self.trace: RequestTrace | None = None  # from its arrival, if traces are recorded
        self.pipe: Pipe | None = None  # the body, if it is streamed

    @property
    def streams(self) -> bool:
        """Whether the client accepts an answer while it is still arriving."""
        return False


@mypyc_attr(allow_interpreted_subclasses=True)
class Response:
    """A backend's answer, read completely or with its body still arriving.

    `load` is its load report, `name=value,...`; None if it sent none.
    """

    __slots__ = ("body", "kind", "load", "pipe", "trace")

    def __init__(self) -> None:
        self.load: bytes | None = None
        self.trace = b""  # the trace context that the backend returned
        self.kind = b""
        self.body = b""
        self.pipe: Pipe | None = None  # the body, if it is streamed; `body` is empty then


@mypyc_attr(allow_interpreted_subclasses=True)
class RequestTrace:
    """Records the trace of one request: a `core.hooks.RequestObserver` that is also notified of waits."""

    __slots__ = ()

    def needs_complete_answer(self) -> bool:
        """Whether answers have to be read to their end before they are passed on."""
        return False

    def sending(self, number: int, action: api.Send, now_ms: float) -> bytes | None:
        """Returns header lines for an attempt that is about to be sent."""
        raise NotImplementedError

    def ended(self, number: int, outcome: api.Outcome, response: Response | None, now_ms: float) -> None:
        """Notes an attempt's single outcome."""
        raise NotImplementedError

    def waited(self, kind: str, begun_ms: float, now_ms: float, link: bytes = b"") -> None:
        """Notes a wait of the given kind; `link` is the trace mark of the request that was waited for."""
        raise NotImplementedError

    def linked(self, link: bytes) -> None:
        """Notes that the answer was made for the request with that trace mark."""
        raise NotImplementedError

    def kept(self) -> bool:
        """Whether the trace is going to be kept, as far as is known by now."""
        raise NotImplementedError

    def mark(self) -> bytes:
        """Returns the trace mark under which other requests link to this one."""
        raise NotImplementedError

    def answered(self, how: str, reason: str, why: api.Why | None, now_ms: float) -> bytes:
        """Notes the final answer or the client's disconnect. Returns header lines for the answer."""
        raise NotImplementedError

    def settled(self, now_ms: float) -> None:
        """Notes that the request is answered and no attempt is in flight."""
        raise NotImplementedError
