"""Heads of requests and answers as the mesh's readers give them."""

from __future__ import annotations

UNKNOWN = -1  # a body's length: it comes in chunks, or up to the end of the connection


class Head:
    """The head of a request. `length`: bytes of its body, 0 where it has none, UNKNOWN in chunks."""

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
        self.fields: list[bytes] = []  # lines that go on to a backend, each with its line end
        self.remaining_s: float | None = None
        self.length = 0
        self.keep = self.interim = True
        self.expects = False

    @property
    def path(self) -> bytes:
        """The target without its query."""
        return self.target.partition(b"?")[0]


class Answer:
    """The head of an answer. `length` as in `Head`; `fields` are the lines that go on to the client."""

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
        "sealed",
        "status",
        "unexecuted",
    )

    def __init__(self) -> None:
        self.status = 0
        self.attempt = self.instance = self.load = b""
        self.fields: list[bytes] = []
        self.length = UNKNOWN
        self.keep = True
        self.sealed = self.encoded = self.unexecuted = False
        self.idle_s = 0.0  # how long the backend keeps the connection, where it says so
        self.cold_s: float | None = None

    @property
    def refuses(self) -> bool:
        """Whether it is the backend's word that it has not run the request."""
        return self.unexecuted or self.status == 421
