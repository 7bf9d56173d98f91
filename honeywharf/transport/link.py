"""The source's end of links: streams to the sidecar beside a backend, with one connection per peer.

A link is lost if nothing is received on it for `LINK_TIMEOUT_S` while streams are open. Its requests may have
run, except those whose body the destination had not requested. An idempotent request fails sooner, after
`STREAM_TIMEOUT_S`. The frames are described in `stream`; the destination's end is `link_server`.
"""

from __future__ import annotations

from honeywharf.transport.framing import FrameReader, encode_frame
from honeywharf.transport.rpc_client import STREAMS_GREETING
from honeywharf.transport.stream import (
    ANSWER,
    CANCEL,
    DATA,
    END,
    FAIL,
    GO,
    MAX_CHUNK,
    MAX_FRAME,
    MAX_STREAMS,
    PING,
    PONG,
    REFUSE,
    WINDOW,
)
from honeywharf.verdict import LINK_LOST, MAY_HAVE_RUN, NOT_RUN, Verdict

TYPE_CHECKING = False  # Importing `typing` costs 1.3 MB in each process.
if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any

    from honeywharf.transport.host import Address, Host, Timer
    from honeywharf.transport.stream import ForwardedRequest, ResponseHandler

PING_INTERVAL_S = 0.25
STREAM_TIMEOUT_S = 1.2  # Idempotent requests fail after this time without a received byte.
# A link is lost after this time without a received byte. A congested link may carry little for a second.
LINK_TIMEOUT_S = 2.6
IDLE_TIMEOUT_S = 60.0  # A link without a stream for this time is closed.
MAX_UNSENT_BYTES = 4 << 20  # No stream is opened on a link with more buffered bytes.


class ClientStream:
    """The source's end of one request on a link."""

    __slots__ = (
        "handler",
        "has_body",
        "has_head",
        "is_admitted",
        "is_idempotent",
        "link",
        "number",
        "opened_at",
    )

    def __init__(
        self,
        link: Link,
        number: int,
        handler: ResponseHandler,
        has_body: bool,
        is_idempotent: bool,
        now: float,
    ) -> None:
        self.link: Link | None = link
        self.number, self.handler, self.has_body, self.is_admitted = number, handler, has_body, False
        self.has_head = False
        self.is_idempotent, self.opened_at = is_idempotent, now

    def head_received(self) -> None:
        """Records the response head. Raises ValueError for a second one."""
        if self.has_head:
            raise ValueError(f"stream {self.number}: expected one response head, got a second")
        self.has_head = True

    def part_received(self) -> None:
        """Checks a part of the response. Raises ValueError if it precedes the head."""
        if not self.has_head:
            raise ValueError(f"stream {self.number}: expected a response head, got a part of the body")

    def data(self, data: bytes) -> None:
        """Sends a part of the body. The caller keeps within the window."""
        if self.link is not None:
            for at in range(0, len(data), MAX_CHUNK):
                self.link.send([DATA, self.number, data[at : at + MAX_CHUNK]])

    def end(self) -> None:
        """Ends the body."""
        if self.link is not None:
            self.link.send([END, self.number])

    def window(self, size: int) -> None:
        """Allows the destination to send `size` further bytes of the response."""
        if self.link is not None:
            self.link.send([WINDOW, self.number, size])

    def cancel(self) -> None:
        """Cancels the request. `handler` is not called afterwards."""
        link, self.link = self.link, None
        if link is not None and link.streams.pop(self.number, None) is not None:
            link.send([CANCEL, self.number])


class Link:
    """The source's end of a link. `on_closed` is called once, with the link."""

    def __init__(self, host: Host, to: Address, on_closed: Callable[[Link], None]) -> None:
        self.host, self.to, self.on_closed = host, to, on_closed
        self.streams: dict[int, ClientStream] = {}
        self.number = 0
        self.reader = FrameReader(MAX_FRAME)
        self.last_received_at = self.last_used_at = host.now()
        self.is_up = self.is_closed = False
        self.round_trip_s = 0.0
        self.pinged_at = 0.0
        self.timer: Timer | None = None
        self.connection = host.connect(to, lambda connection: self)
        self.connection.send(encode_frame(STREAMS_GREETING))
        self._check()

    def open(self, request: ForwardedRequest, handler: ResponseHandler) -> ClientStream | None:
        """Opens a stream; None if the link is full. `handler` is never called within this call."""
        if self.is_closed or len(self.streams) >= MAX_STREAMS or self.connection.unsent > MAX_UNSENT_BYTES:
            return None
        if not self.streams:
            # The time-out starts when a stream is opened.
            self.last_received_at = max(self.last_received_at, self.host.now())
        self.number += 1
        now = self.host.now()
        stream = self.streams[self.number] = ClientStream(
            self, self.number, handler, request.length != 0, request.kind == 0, now
        )
        self.connection.send(request.pack(self.number))
        self.last_used_at = self.host.now()
        return stream

    def send(self, frame: list[Any]) -> None:
        """Sends one frame."""
        if not self.is_closed:
            self.connection.send(encode_frame(frame))

    def _check(self) -> None:
        """Pings a peer that sends nothing; closes a lost or an idle link."""
        now = self.host.now()
        if self.streams and now - self.last_received_at > LINK_TIMEOUT_S:
            self.fail()
            return
        if self.streams and now - self.last_received_at > STREAM_TIMEOUT_S:
            self._fail_stalled_streams(now)
        if self.streams and now - self.last_received_at >= PING_INTERVAL_S:
            self.pinged_at = now
            self.send([PING, 0])
        if not self.streams and now - self.last_used_at > IDLE_TIMEOUT_S:
            self.fail()
            return
        self.timer = self.host.after(PING_INTERVAL_S, self._check)

    def _fail_stalled_streams(self, now: float) -> None:
        """Fails the idempotent streams after their time-out; the others wait for the link's."""
        for stream in [
            s for s in self.streams.values() if s.is_idempotent and now - s.opened_at > STREAM_TIMEOUT_S
        ]:
            stream.cancel()
            stream.handler.failed(Verdict(MAY_HAVE_RUN, LINK_LOST))

    def fail(self) -> None:
        """Closes the link and fails its streams."""
        if self.is_closed:
            return
        self.is_closed = True
        if self.timer is not None:
            self.timer.cancel()
        self.on_closed(self)
        self.connection.abort()
        streams, self.streams = list(self.streams.values()), {}
        for stream in streams:
            stream.link = None
            # Guards against running a request twice: it has certainly not run only if its body was never
            # requested, or if the link was never established.
            is_proven_not_run = not self.is_up or (stream.has_body and not stream.is_admitted)
            stream.handler.failed(Verdict(NOT_RUN if is_proven_not_run else MAY_HAVE_RUN, LINK_LOST))

    def opened(self) -> None:
        """Marks the link as established."""
        self.is_up = True
        self.last_received_at = self.host.now()

    def received(self, data: bytes) -> None:
        """Handles received frames; a malformed one fails the link."""
        self.last_received_at = self.host.now()
        try:
            for frame in self.reader.feed(data):
                self._handle_frame(frame)
        except (ValueError, TypeError, IndexError, KeyError):
            self.fail()

    def _handle_frame(self, frame: list[Any]) -> None:
        kind, number = frame[0], frame[1]
        if kind == PONG:
            self.round_trip_s = self.last_received_at - self.pinged_at
            return
        stream = self.streams.get(number)
        if stream is None:
            return  # The stream has been cancelled.
        handler = stream.handler
        if kind == GO:
            stream.is_admitted = True
            handler.admitted()
        elif kind == WINDOW:
            handler.window(frame[2])
        elif kind == ANSWER:
            stream.head_received()
            handler.load(tuple(frame[5]))
            if frame[6] is not None:
                self._end_stream(stream)
            handler.answered(frame[2], frame[3], frame[4], frame[6])
        elif kind == DATA:
            stream.part_received()
            handler.data(frame[2])
        elif kind == END:
            stream.part_received()
            self._end_stream(stream)
            handler.completed()
        elif kind in (REFUSE, FAIL):
            self._end_stream(stream)
            handler.load(tuple(frame[5]))
            ran = NOT_RUN if kind == REFUSE else frame[6]
            handler.failed(Verdict(ran, frame[2], frame[4], frame[3] / 1000.0))

    def _end_stream(self, stream: ClientStream) -> None:
        stream.link = None
        del self.streams[stream.number]
        self.last_used_at = self.last_received_at

    def ended(self) -> None:
        """Fails the link after the peer's half-close."""
        self.fail()

    def drained(self) -> None:
        """Does nothing: windows bound the bytes of each stream."""

    def closed(self, reason: str) -> None:
        """Fails the link after its connection has closed."""
        self.fail()


class LinkPool:
    """The source's links, one per peer, opened on demand. `port` is the peers' internal port."""

    def __init__(self, host: Host, port: int) -> None:
        self.host, self.port = host, port
        self.links: dict[str, Link] = {}
        self.lost = 0

    def link_to(self, node: str) -> Link:
        """Returns the link to the sidecar at an IP address."""
        link = self.links.get(node)
        if link is None or link.is_closed:
            link = self.links[node] = Link(self.host, (node, self.port), self._link_closed)
        return link

    def _link_closed(self, link: Link) -> None:
        if self.links.get(link.to[0]) is link:
            del self.links[link.to[0]]
            self.lost += 1
