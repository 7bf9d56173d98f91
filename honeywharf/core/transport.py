"""The interfaces around the driver: clock, event loop, clients, transports, discovery, decision module."""

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


Sink = Callable[[str, str, str, Mapping[str, object]], None]  # level, event, message, fields
_sink: list[Sink] = []  # at most one; replaces standard error


def log(message: str, event: str, level: str = "info", fields: Mapping[str, object] | None = None) -> None:
    """Logs a line for the operator.

    `event` is one of `honeywharf.logs.EVENTS`; `fields` holds the values in the message for structured logs.
    """
    if _sink:
        _sink[0](level, event, message, fields or {})
    else:
        print(message, file=sys.stderr, flush=True)


def set_log_sink(sink: Sink | None) -> None:
    """Sends log lines to a sink; None restores plain text on standard error."""
    _sink[:] = [sink] if sink is not None else []


@mypyc_attr(allow_interpreted_subclasses=True)
class Clock:
    """Wall-clock time at the start plus the monotonic time since then, in ms; it never goes back.

    `startedAtMs` is Unix time, so it is not comparable with a clock of another origin or one that is set.
    """

    def __init__(self) -> None:
        self._offset_ms = time.time() * 1000.0 - time.monotonic() * 1000.0

    def now(self) -> float:
        """Returns Unix time in ms."""
        return self._offset_ms + time.monotonic() * 1000.0

    def at(self, monotonic_s: float) -> float:
        """Converts a time of the monotonic clock in s to Unix time in ms."""
        return self._offset_ms + monotonic_s * 1000.0


class Timer(Protocol):
    """A callback that the event loop has scheduled."""

    def cancel(self) -> None:
        """Cancels the callback."""


class Loop(Protocol):
    """The part of the event loop that the driver uses."""

    def time(self) -> float:
        """Returns when the current turn began to run callbacks, in s of the monotonic clock."""

    def call_soon(self, callback: Callable[..., object], *args: object) -> object:
        """Schedules a callback for the next turn of the loop."""

    def call_later(self, delay: float, callback: Callable[..., object], *args: object) -> Timer:
        """Schedules a callback after a delay in s."""


class Caller(Protocol):
    """The client side of one request, which receives its single final answer."""

    def answer(
        self,
        status: Status,
        body: bytes = b"",
        *,
        retry_after_ms: float = 0.0,
        kind: bytes = b"",
    ) -> None:
        """Writes the final answer."""


class StreamingCaller(Protocol):
    """A caller whose request has `streams` set."""

    def pass_on(self, pipe: Pipe, kind: bytes) -> None:
        """Writes the head of a successful answer at once, and its body as it arrives."""


@mypyc_attr(allow_interpreted_subclasses=True)
class UpstreamRequest:
    """A request to a backend. The transport calls `ended` exactly once, unless the request is aborted.

    Without a client's request it is a health check; `report`: it also requests the backend's load report.
    """

    __slots__ = (
        "connection",
        "endpoint",
        "header_lines",
        "opening",
        "report",
        "request",
        "streams",
        "until_ms",
    )

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
        self.header_lines = b""  # header lines of this attempt only
        self.streams = False  # whether a long answer may be streamed

    def ended(self, outcome: api.Outcome, response: Response | None) -> None:
        """Handles the outcome and the answer, if any came."""
        raise NotImplementedError


class Transport(Protocol):
    """Sends requests to backends."""

    def known(self, endpoint: str) -> bool:
        """Whether a list from discovery has named the endpoint."""

    def start(self, call: UpstreamRequest) -> None:
        """Sends the request; `ended` is called later, never from within this call."""

    def abort(self, call: UpstreamRequest) -> None:
        """Aborts the request: its connection is closed, and `ended` is not called."""

    def close_idle(self, endpoint: str) -> None:
        """Closes the idle connections to an endpoint."""


class AddressBook(Protocol):
    """Receives the addresses of endpoints."""

    def name(self, endpoint: str, address: Address, started_ms: float | None, *, open_for_work: bool) -> None:
        """Sets the address of an endpoint."""

    def forget(self, endpoint: str) -> None:
        """Removes an endpoint that has left; nothing can be sent there afterwards."""


class Registry(Protocol):
    """The source of endpoint lists."""

    def watch(self) -> None:
        """Starts to watch for changes."""

    def fetch(self) -> None:
        """Fetches the full list once."""


class DecisionModule(Protocol):
    """The decision module."""

    def handle(self, now_ms: float, event: api.Event) -> list[api.Action]:
        """Handles one event. Returns the actions to carry out, in order."""


def address(text: object) -> Address:
    """Parses `host:port`. ValueError if the text is not of that form."""
    if not isinstance(text, str):
        raise ValueError(f"address: expected host:port, got {text!r}")
    host, colon, port = text.rpartition(":")
    if not host or not colon or not port.isascii() or not port.isdigit() or not 0 <= int(port) < 65536:
        raise ValueError(f"address: expected host:port, got {text!r}")
    return host.strip("[]"), int(port)
