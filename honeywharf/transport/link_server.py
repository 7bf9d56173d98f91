"""The destination's end of links: requests that come from other sidecars, and the way back of each."""

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

TYPE_CHECKING = False  # `typing` is 1.3 MB in each process
if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any

    from honeywharf.transport.framing import FrameReader
    from honeywharf.transport.host import Connection
    from honeywharf.transport.stream import RequestHandler
    from honeywharf.verdict import Verdict


class LinkServer:
    """The destination's end of a link.

    `on_request(request, responder)` gives what handles a stream, or None where it is over already.
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
        self.highest_number = 0  # the highest number of a stream so far
        for frame in frames:
            self._handle_frame(frame)

    def opened(self) -> None:
        """Not called on connections that came in."""

    def received(self, data: bytes) -> None:
        """Frames came."""
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
            raise ValueError(f"found more than {MAX_STREAMS} streams on one link, wanted at most that")
        if number <= self.highest_number:  # guards against an answer to one request that is read as another's
            raise ValueError(f"found stream {number} after {self.highest_number}, wanted a higher number")
        self.highest_number = number
        request.peer = self.connection.peer[0]
        responder = StreamResponder(self, number)
        handler = self.on_request(request, responder)
        if handler is not None and not responder.is_over:
            self.handlers[number] = handler

    def send(self, frame: list[Any]) -> None:
        """Send one frame."""
        self.connection.send(encode_frame(frame))

    def ended(self) -> None:
        """The far side has closed."""
        self.connection.close()

    def drained(self) -> None:
        """All has gone."""

    def closed(self, why: str) -> None:
        """It is gone: nobody waits for the streams that are open."""
        for handler in list(self.handlers.values()):
            handler.cancel()
        self.handlers.clear()


class StreamResponder:
    """Sends the destination's side of one stream, as frames. `is_over`: nothing more may be sent."""

    __slots__ = ("is_over", "link", "number")

    def __init__(self, reception: LinkServer, number: int) -> None:
        self.link, self.number, self.is_over = reception, number, False

    def _end(self) -> None:
        self.is_over = True
        self.link.handlers.pop(self.number, None)

    def admit(self) -> None:
        """The request is admitted."""
        self.link.send([GO, self.number])

    def window(self, size: int) -> None:
        """So many further bytes of the request's body may be sent."""
        self.link.send([WINDOW, self.number, size])

    def answer(
        self,
        status: int,
        fields: bytes,
        length: int,
        load: tuple[int, int, int],
        body: bytes | None,
    ) -> None:
        """The complete answer, or its head where `body` is None. `load`: running, queued and slots here."""
        self.link.send([ANSWER, self.number, status, fields, length, load, body])
        if body is not None:
            self._end()

    def data(self, data: bytes) -> None:
        """A part of the answer's body."""
        for at in range(0, len(data), MAX_CHUNK):
            self.link.send([DATA, self.number, data[at : at + MAX_CHUNK]])

    def complete(self) -> None:
        """The answer is complete."""
        self.link.send([END, self.number])
        self._end()

    def fail(self, verdict: Verdict, load: tuple[int, int, int]) -> None:
        """No answer comes, or none further."""
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
