"""The HTTP/1.1 messages of simulated clients and servers, and a client connection."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any

import httptools

from honeywharf.simulation.machine import Process
from honeywharf.transport.host import Address, Connection

CONTROL_TIMEOUT_S = 1.0  # The time-out of calls to the control plane.


class Message:
    """A complete request or answer."""

    __slots__ = ("body", "headers", "method", "path", "status")

    def __init__(self) -> None:
        self.method, self.path, self.status, self.body = "", "", 0, b""
        self.headers: dict[str, str] = {}


class Reader:
    """Parses bytes to messages; `feed` raises `httptools.HttpParserError` on malformed input."""

    def __init__(self, requests: bool) -> None:
        self.parser: Any = (httptools.HttpRequestParser if requests else httptools.HttpResponseParser)(self)
        self.requests, self.complete, self.message = requests, list[Message](), Message()
        self.begun = False

    def feed(self, data: bytes) -> list[Message]:
        """Returns the messages that these bytes complete."""
        self.parser.feed_data(data)
        complete, self.complete = self.complete, []
        return complete

    def on_message_begin(self) -> None:
        """Called when a message begins."""
        self.message, self.begun = Message(), True

    def on_url(self, part: bytes) -> None:
        """Appends a part of the path."""
        self.message.path += part.decode("latin-1")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a header field."""
        self.message.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, part: bytes) -> None:
        """Appends a part of the body."""
        self.message.body += part

    def on_message_complete(self) -> None:
        """Completes the message; informational answers (1xx) are dropped."""
        self.begun = False
        if self.requests:
            self.message.method = self.parser.get_method().decode()
        else:
            self.message.status = self.parser.get_status_code()
        if self.message.status >= 200 or self.requests:
            self.complete.append(self.message)


def text(first: str, headers: dict[str, object], body: bytes = b"") -> bytes:
    """Returns a message with a Content-Length."""
    lines = [first, *(f"{name}: {value}" for name, value in headers.items())]
    return "\r\n".join([*lines, f"Content-Length: {len(body)}"]).encode() + b"\r\n\r\n" + body


class Caller:
    """A client connection: sends requests, and passes answers in order to `on_answer(tag, message)`.

    The message is None if the connection ended before. Bytes that answer no request go to `on_stray_bytes`.
    """

    def __init__(
        self,
        host: Process,
        to: Address,
        answer_received: Callable[[Any, Message | None], None],
        on_stray_bytes: Callable[[str], None] = lambda what: None,
    ) -> None:
        self.on_answer, self.on_stray_bytes, self.reader = (
            answer_received,
            on_stray_bytes,
            Reader(requests=False),
        )
        self.waiting: deque[Any] = deque()
        self.is_open, self.is_connected = True, False
        self.on_opened: Callable[[], None] = lambda: None
        self.connection: Connection = host.connect(to, lambda connection: self)

    def send_request(self, tag: Any, data: bytes) -> None:
        """Sends one request."""
        self.waiting.append(tag)
        self.connection.send(data)

    def close(self) -> None:
        """Aborts the connection without further callbacks."""
        self.is_open = False
        self.waiting.clear()
        self.connection.abort()

    def leave(self) -> None:
        """Closes the connection without a reset, as a client that disconnects does."""
        self.is_open = False
        self.waiting.clear()
        self.connection.close()

    def opened(self) -> None:
        """Called when the connection is established, before anything is sent."""
        self.is_connected = True
        self.on_opened()

    def drained(self) -> None:
        """Called when all buffered bytes were sent."""

    def received(self, data: bytes) -> None:
        """Parses bytes of answers."""
        if not self.is_open:
            return
        try:
            messages = self.reader.feed(data)
        except httptools.HttpParserError as fault:
            self.on_stray_bytes(f"malformed answer: {data[:60]!r} ({fault})")
            self._cut()
            return
        for message in messages:
            if not self.waiting:
                self.on_stray_bytes(f"answer without a request: {message.status} {message.headers}")
                return
            leaves = message.headers.get("connection", "").lower() == "close"
            self.on_answer(self.waiting.popleft(), message)
            if leaves:
                self._cut()
                return

    def ended(self) -> None:
        """Called when the peer has closed its sending half."""
        self._cut()

    def closed(self, why: str) -> None:
        """Called when the connection is closed."""
        self._cut()

    def _cut(self) -> None:
        waiting, self.waiting = self.waiting, deque()
        if self.is_open:
            self.is_open = False
            self.connection.close()
        for tag in waiting:
            self.on_answer(tag, None)
