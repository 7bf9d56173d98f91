"""The destination's end of links: receives requests from other sidecars and sends the responses."""

from __future__ import annotations

from honeywharf.transport.framing import encode_frame
from honeywharf.transport.stream import (
    ANSWER,
    CANCEL,
    DATA,
    END,
    FAIL,
    GO,
    MAX_CHUNK,
    MAX_STREAMS,
    OPEN,
    PING,
    PONG,
    REFUSE,
    WINDOW,
    ForwardedRequest,
)
from honeywharf.verdict import NOT_RUN

TYPE_CHECKING = False  # Importing `typing` costs 1.3 MB in each process.
if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any

    from honeywharf.transport.framing import FrameReader
    from honeywharf.transport.host import Connection
    from honeywharf.transport.stream import RequestHandler
    from honeywharf.verdict import Verdict


class LinkServer:
    """The destination's end of a link.

    `on_request(request, responder)` returns the handler of a stream, or None if the stream has ended already.
    """

    def __init__(
        self,
        connection: Connection,
        reader: FrameReader,
        frames: list[Any],
        on_request: Callable[[ForwardedRequest, StreamResponder], RequestHandler | None],
    ) -> None:
        self.connection, self.reader, self.on_request = connection, reader, on_request
        self.handlers: dict[int, RequestHandler] = {}
        self.highest_number = 0  # The highest stream number so far.
        for frame in frames:
            self._handle_frame(frame)

    def opened(self) -> None:
        """Does nothing: the host calls it only for outgoing connections."""

    def received(self, data: bytes) -> None:
        """Handles received frames; a malformed one closes the link."""
        try:
            for frame in self.reader.feed(data):
                self._handle_frame(frame)
        except (ValueError, TypeError, IndexError, KeyError):
            self.connection.abort()

    def _handle_frame(self, frame: list[Any]) -> None:
        kind, number = frame[0], frame[1]
        if kind == OPEN:
            self._open(number, ForwardedRequest.unpack(frame))
        elif kind == PING:
            self.send([PONG, 0])
        else:
            handler = self.handlers.get(number)
            if handler is None:
                return
            if kind == DATA:
                handler.data(frame[2])
            elif kind == END:
                handler.end()
            elif kind == WINDOW:
                handler.window(frame[2])
            elif kind == CANCEL:
                del self.handlers[number]
                handler.cancel()

    def _open(self, number: int, request: ForwardedRequest) -> None:
        if len(self.handlers) >= MAX_STREAMS:
            raise ValueError(f"link: expected at most {MAX_STREAMS} streams, got one more")
        if number <= self.highest_number:  # Guards against a response that is matched to another request.
            raise ValueError(f"stream number: expected above {self.highest_number}, got {number}")
        self.highest_number = number
        request.peer = self.connection.peer[0]
        responder = StreamResponder(self, number)
        handler = self.on_request(request, responder)
        if handler is not None and not responder.is_over:
            self.handlers[number] = handler

    def send(self, frame: list[Any]) -> None:
        """Sends one frame."""
        self.connection.send(encode_frame(frame))

    def ended(self) -> None:
        """Closes the connection after the peer's half-close."""
        self.connection.close()

    def drained(self) -> None:
        """Does nothing: windows bound the bytes of each stream."""

    def closed(self, reason: str) -> None:
        """Cancels the open streams."""
        for handler in list(self.handlers.values()):
            handler.cancel()
        self.handlers.clear()


class StreamResponder:
    """Sends the destination's frames of one stream. After `is_over` nothing more may be sent."""

    __slots__ = ("is_over", "link", "number")

    def __init__(self, server: LinkServer, number: int) -> None:
        self.link, self.number, self.is_over = server, number, False

    def _end(self) -> None:
        self.is_over = True
        self.link.handlers.pop(self.number, None)

    def admit(self) -> None:
        """Reports that the request is admitted, and requests its body."""
        self.link.send([GO, self.number])

    def window(self, size: int) -> None:
        """Allows the source to send `size` further bytes of the request body."""
        self.link.send([WINDOW, self.number, size])

    def answer(
        self,
        status: int,
        fields: bytes,
        length: int,
        load: tuple[int, int, int],
        body: bytes | None,
    ) -> None:
        """Sends the complete response, or its head if `body` is None. `load`: running, queued and slots."""
        self.link.send([ANSWER, self.number, status, fields, length, load, body])
        if body is not None:
            self._end()

    def data(self, data: bytes) -> None:
        """Sends a part of the response body."""
        for at in range(0, len(data), MAX_CHUNK):
            self.link.send([DATA, self.number, data[at : at + MAX_CHUNK]])

    def complete(self) -> None:
        """Ends the response."""
        self.link.send([END, self.number])
        self._end()

    def fail(self, verdict: Verdict, load: tuple[int, int, int]) -> None:
        """Fails the request, or the rest of its response."""
        kind = REFUSE if verdict.ran == NOT_RUN else FAIL
        self.link.send(
            [
                kind,
                self.number,
                verdict.why,
                int(verdict.retry_after_s * 1000.0),
                verdict.reached_backend,
                load,
                verdict.ran,
            ]
        )
        self._end()
