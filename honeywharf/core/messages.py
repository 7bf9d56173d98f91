"""Requests and answers of no protocol, as driver, order keys and every protocol's package know them."""

from __future__ import annotations

import math
import re
from enum import IntEnum

from mypy_extensions import mypyc_attr

from honeywharf.flow.pipe import Pipe
from honeywharf.policy import interface as api

CALLS = b"/api"  # the paths that are passed on
MAX_BUFFERED_BODY = 64 * 1024  # of a request that is held whole; a longer one is passed on as it arrives
# Of an answer that is held whole, where it can't be passed on as it arrives: for CoAP clients, and for
# order keys. What is said to be longer is spoilt there. The pool bounds what they hold together.
MAX_ANSWER = 1024 * 1024
WHOLE_ANSWER = 64 * 1024  # else: a longer one is passed on as it arrives, and can't be asked for again
MAX_BODY = 1024**3  # bytes of any body: an answer that is said to be longer is spoilt
MAX_PAIRS = 32  # figures that one report is read for
_FIGURE = re.compile(rb"\d{1,12}(?:\.\d{1,12})?")


class Status(IntEnum):
    """What a final answer says. An `IntEnum`, as looking one up in a table costs a fifth of an `Enum`."""

    SERVED = 1
    REFUSED = 2  # nothing has run: trying again is harmless
    FAILED = 3  # no promise
    CONFLICT = 4  # a request of this id, or too many of this key, are held
    UNPROCESSABLE = 5  # the key was used with another payload


def is_call(target: bytes) -> bool:
    """Whether a target is under the paths that are passed on."""
    path = target.partition(b"?")[0]
    return path == CALLS or path.startswith(CALLS + b"/")


def whole_seconds(ms: float, chance: float) -> int:
    """A time to come back in whole seconds, rounded at random so that its mean is the time meant.

    `chance`: evenly random, 0 to 1. Rounding down could tell 0 s, which says to come back at once: it is 1 s
    at least where it is any.
    """
    return max(1, math.floor(ms / 1000.0 + chance)) if ms > 0 else 0


def figure(value: bytes) -> float | None:
    """A number of the usual form, not negative; None where it is none.

    Guards against what `float` would take: `nan`, `inf`, `1_0`, and figures that no load has.
    """
    return float(value) if _FIGURE.fullmatch(value.strip()) else None


def pairs(value: bytes) -> dict[str, float]:
    """`name=value,name=value` as numbers; what is none is left out."""
    found: dict[str, float] = {}
    for item in value.split(b",", MAX_PAIRS)[:MAX_PAIRS]:
        name, _, text = item.partition(b"=")
        number = figure(text)
        if number is not None:
            found[name.strip().decode("latin-1")] = number
    return found


NONE: list[bytes] = []  # shared by all requests that have none: never added to


@mypyc_attr(allow_interpreted_subclasses=True)
class Request:
    """A client's request, read to its last byte; a protocol's own kind of it adds what only that one needs.

    `method` is GET or POST, which HTTP and CoAP share (RFC 7252, 5.8); `target` is path and query.
    """

    __slots__ = (
        "account",
        "answer_lines",
        "body",
        "class_name",
        "facts",
        "hint_ms",
        "id",
        "idempotency_key",
        "kind",
        "left_ms",
        "method",
        "pipe",
        "read_ms",
        "repeat",
        "sid",
        "target",
        "trace_parents",
        "trace_states",
        "traced",
        "waited_ms",
    )

    def __init__(self) -> None:
        self.method = self.target = self.body = b""
        self.kind = b""  # the media type of the body; empty where it is not told
        self.id = self.class_name = self.account = self.sid = ""
        self.idempotency_key = self.facts = b""
        self.left_ms: float | None = None
        self.hint_ms: float | None = None
        self.repeat = False
        self.trace_parents: list[bytes] = NONE  # headers of trace context, as they came
        self.trace_states: list[bytes] = NONE
        self.answer_lines = b""  # header lines that go with its answer
        self.read_ms = 0.0  # when its last byte had come, on the proxy's clock
        self.waited_ms = 0.0  # from then on, for the proxy to accept its connection
        self.traced: Traced | None = None  # where traces are recorded, from its arrival on
        self.pipe: Pipe | None = None  # its body, where that is too long to be held whole

    @property
    def streams(self) -> bool:
        """Whether its caller takes an answer as it arrives."""
        return False


@mypyc_attr(allow_interpreted_subclasses=True)
class Response:
    """A node's answer, whole or with its body on the way.

    `load` is its report of load, `name=value,...`; None where it gave none.
    """

    __slots__ = ("body", "kind", "load", "pipe", "trace")

    def __init__(self) -> None:
        self.load: bytes | None = None
        self.trace = b""  # what it says of its hop's trace
        self.kind = b""
        self.body = b""
        self.pipe: Pipe | None = None  # its body, where that is passed on as it arrives; `body` is empty then


@mypyc_attr(allow_interpreted_subclasses=True)
class Traced:
    """Who is told of one request's course, for its trace: a `core.seams.Follower`, and what waits tell."""

    __slots__ = ()

    def needs_whole(self) -> bool:
        """Whether answers must come whole."""
        return False

    def sending(self, number: int, action: api.Send, now_ms: float) -> bytes | None:
        """An attempt is about to leave."""
        raise NotImplementedError

    def ended(self, number: int, outcome: api.Outcome, response: Response | None, now_ms: float) -> None:
        """An attempt has its one outcome."""
        raise NotImplementedError

    def waited(self, kind: str, begun_ms: float, now_ms: float, link: bytes = b"") -> None:
        """It has waited from one time to the other, for `kind`; `link`: the mark of what it waited on."""
        raise NotImplementedError

    def linked(self, link: bytes) -> None:
        """Its answer was made for the request of that mark."""
        raise NotImplementedError

    def kept(self) -> bool:
        """Whether its trace is kept, as far as is known by now."""
        raise NotImplementedError

    def mark(self) -> bytes:
        """What names it for requests that wait on it."""
        raise NotImplementedError

    def answered(self, how: str, reason: str, why: api.Why | None, now_ms: float) -> bytes:
        """The request has its one final answer, or its client has left."""
        raise NotImplementedError

    def settled(self, now_ms: float) -> None:
        """Nothing of the request is out or owed any more."""
        raise NotImplementedError
