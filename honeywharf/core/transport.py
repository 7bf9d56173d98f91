"""What the driver stands between: clock and loop, callers, transports, discovery, the decision module."""

from __future__ import annotations

import sys
import time
from collections.abc import Callable, Mapping
from typing import Protocol

from mypy_extensions import mypyc_attr

from honeywharf.core.messages import Request, Response, Status
from honeywharf.flow.pipe import Pipe
from honeywharf.policy import interface as api

Address = tuple[str, int]


Sink = Callable[[str, str, str, Mapping[str, object]], None]  # level, event, words, fields
_sinks: list[Sink] = []  # one at most: where lines go in place of standard error


def log(words: str, event: str, level: str = "info", fields: Mapping[str, object] | None = None) -> None:
    """A line for the operator.

    `event` is one of `honeywharf.logs.EVENTS`, `fields` what the words say, for those who read by machine.
    """
    if _sinks:
        _sinks[0](level, event, words, fields or {})
    else:
        print(words, file=sys.stderr, flush=True)


def log_through(sink: Sink | None) -> None:
    """Let lines go there; None for plain words on standard error."""
    _sinks[:] = [sink] if sink is not None else []


@mypyc_attr(allow_interpreted_subclasses=True)
class Clock:
    """Wall-clock time at the start plus the monotonic time since, in ms: it never goes back.

    Guards against comparing `startedAtMs`, which is Unix time, with a clock of another origin, or one that
    somebody sets.
    """

    def __init__(self) -> None:
        self._offset_ms = time.time() * 1000.0 - time.monotonic() * 1000.0

    def now(self) -> float:
        """Milliseconds of Unix time."""
        return self._offset_ms + time.monotonic() * 1000.0

    def at(self, monotonic_s: float) -> float:
        """A time of the monotonic clock in milliseconds of Unix time."""
        return self._offset_ms + monotonic_s * 1000.0


class Timer(Protocol):
    """What the event loop gives for a callback that is to come."""

    def cancel(self) -> None:
        """Take the callback back."""


class Loop(Protocol):
    """The part of the event loop that the driver needs."""

    def time(self) -> float:
        """When the loop's present turn began to carry callbacks out, in s of the monotonic clock."""

    def call_soon(self, callback: Callable[..., object], *args: object) -> object:
        """Call back in the loop's next turn."""

    def call_later(self, delay: float, callback: Callable[..., object], *args: object) -> Timer:
        """Call back after so many seconds."""


class Caller(Protocol):
    """Where a request came from and its one final answer goes."""

    def answer(
        self,
        status: Status,
        body: bytes = b"",
        *,
        retry_after_ms: float = 0.0,
        kind: bytes = b"",
    ) -> None:
        """Write the final answer."""


class StreamingCaller(Protocol):
    """A caller whose request says that it `streams`."""

    def pass_on(self, pipe: Pipe, kind: bytes) -> None:
        """Write the head of a final answer that serves, and its body as it arrives."""


@mypyc_attr(allow_interpreted_subclasses=True)
class UpstreamRequest:
    """A request on its way to a node and back. The transport calls `ended` once, unless it is aborted.

    Without a request it is a health check, which asks for the node's report of load where `report` says so.
    """

    __slots__ = ("connection", "endpoint", "lines", "opening", "report", "request", "streams", "until_ms")

    def __init__(
        self,
        endpoint: str,
        request: Request | None,
        until_ms: float,
        *,
        report: bool = False,
    ) -> None:
        self.endpoint, self.request, self.until_ms, self.report = endpoint, request, until_ms, report
        self.connection: object = None
        self.opening = False
        self.lines = b""  # header lines that go with it alone
        self.streams = False  # whether a long answer may be passed on as it arrives

    def ended(self, outcome: api.Outcome, response: Response | None) -> None:
        """What came of it."""
        raise NotImplementedError


class Transport(Protocol):
    """The way to the backends."""

    def known(self, endpoint: str) -> bool:
        """Whether a list has named the endpoint."""

    def start(self, call: UpstreamRequest) -> None:
        """Carry the call; its end comes later, never from within."""

    def abort(self, call: UpstreamRequest) -> None:
        """Give the call up: its connection closes, and no end is told."""

    def close_idle(self, endpoint: str) -> None:
        """Close the idle connections to an endpoint."""


class AddressBook(Protocol):
    """Who is told where endpoints are."""

    def name(self, endpoint: str, address: Address, started_ms: float | None, *, open_for_work: bool) -> None:
        """Take over an endpoint's address."""

    def forget(self, endpoint: str) -> None:
        """The endpoint is gone: nothing can be sent there any more."""


class Registry(Protocol):
    """Where lists of endpoints come from."""

    def watch(self) -> None:
        """Ask for changes from now on."""

    def fetch(self) -> None:
        """Ask for the whole list once."""


class Decider(Protocol):
    """The decision module."""

    def handle(self, now_ms: float, event: api.Event) -> list[api.Action]:
        """Take one event; what to do, in order."""


def address(text: object) -> Address:
    """A `host:port` as a pair; ValueError where it is none."""
    if not isinstance(text, str):
        raise ValueError(f"an address is wanted, not {text!r}")
    host, colon, port = text.rpartition(":")
    if not host or not colon or not port.isascii() or not port.isdigit() or not 0 <= int(port) < 65536:
        raise ValueError(f"an address is host:port, not {text!r}")
    return host.strip("[]"), int(port)
