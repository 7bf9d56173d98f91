"""Heads of requests and responses, as the readers of the mesh deliver them."""

from __future__ import annotations

UNKNOWN = -1  # length of a body that is chunked or ends with the connection


class RequestHead:
    """The head of a request. `length` is the size of its body in bytes: 0 without one, UNKNOWN if chunked."""

    __slots__ = (
        "attempt",
        "expects",
        "fields",
        "host",
        "interim",
        "keep",
        "length",
        "method",
        "remaining_s",
        "target",
    )

    def __init__(self) -> None:
        self.method = self.target = self.host = self.attempt = b""
        self.fields: list[bytes] = []  # header lines forwarded to a backend, each with its line end
        self.remaining_s: float | None = None
        self.length = 0
        self.keep = self.interim = True
        self.expects = False

    @property
    def path(self) -> bytes:
        """The request target without its query."""
        return self.target.partition(b"?")[0]


class ResponseHead:
    """The head of a response. `length` as in `RequestHead`; `fields` are lines forwarded to the client."""

    __slots__ = (
        "attempt",
        "cold_s",
        "encoded",
        "fields",
        "idle_s",
        "instance",
        "keep",
        "length",
        "load",
        "not_executed",
        "sealed",
        "status",
    )

    def __init__(self) -> None:
        self.status = 0
        self.attempt = self.instance = self.load = b""
        self.fields: list[bytes] = []
        self.length = UNKNOWN
        self.keep = True
        self.sealed = self.encoded = self.not_executed = False
        self.idle_s = 0.0  # idle time-out that the backend states; 0 if it states none
        self.cold_s: float | None = None

    @property
    def is_not_executed(self) -> bool:
        """Whether the backend states that it has not executed the request."""
        return self.not_executed or self.status == 421
