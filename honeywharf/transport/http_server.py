"""A door for calls of backends, operators and the platform: whole HTTP/1.1 requests in, whole answers out.

Theory of operation. One call at a time on a connection; what is sent behind it waits unread. Bodies over
`SMALL` share one place: the process holds one long body at a time, and others wait unread. What breaks the
protocol is answered with its status, after the answers that are owed, and the connection closed.
"""

from __future__ import annotations

from honeywharf.codecs.heads import Head
from honeywharf.codecs.mesh import RequestReader, final
from honeywharf.codecs.reader import MalformedError

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable

    from honeywharf.transport.host import Address, Connection, Handler, Host

SMALL = 256 * 1024  # bytes of a body of which there may be as many as connections
MAX_CONNECTIONS = 1024
IDLE_S = 30.0  # without a whole call, after which a connection is closed
MAX_HEAD = 16 * 1024


class Call:
    """One call, whole. `answer` may be called later, and counts once."""

    __slots__ = ("_guest", "body", "head", "method", "path", "peer")

    def __init__(self, guest: _Guest, head: Head, body: bytes) -> None:
        self._guest: _Guest | None = guest
        self.head, self.body = head, body
        self.method, self.path, self.peer = head.method, head.path, guest.connection.peer

    def answer(self, status: int, body: bytes = b"", lines: bytes = b"") -> None:
        """Answer it; `lines`: further header lines, each with its line end."""
        guest, self._guest = self._guest, None
        if guest is not None:
            guest.answer(status, body, lines)


class _Guest:
    """One connection at the door."""

    __slots__ = (
        "at_work",
        "behind",
        "connection",
        "door",
        "fault",
        "gone",
        "head",
        "long",
        "parts",
        "queue",
        "reader",
        "reading",
        "size",
        "timer",
    )

    def __init__(self, door: HttpServer, connection: Connection) -> None:
        self.door, self.connection = door, connection
        self.reader = RequestReader(_Reading(self), door.most_body, MAX_HEAD)
        self.head: Head | None = None  # of the call at work
        self.reading: Head | None = None  # of the one that is read
        self.behind: list[tuple[Head, bytes]] = []  # calls of the same read as the one at work
        self.parts: list[bytes] = []
        self.queue: list[bytes] = []  # unread bytes while a call is at work, one read at most
        self.fault = b""  # the answer to what made no sense; it comes after those that are owed
        self.size = 0
        self.at_work = self.long = self.gone = False
        self.timer = door.host.after(IDLE_S, self._idle)

    def _idle(self) -> None:
        if not self.at_work:
            self.connection.abort()

    def head_(self) -> Head:
        """The head of the call at work."""
        assert self.head is not None
        return self.head

    def opened(self) -> None:
        """Not called on connections that came in."""

    def received(self, data: bytes) -> None:
        """Bytes came."""
        if self.at_work:
            self.queue.append(data)
            self.connection.pause()
            return
        try:
            self.reader.feed(data)
        except MalformedError as fault:
            self.fault = final(fault.status, str(fault).encode(), keep=False)
            if not self.at_work:
                self._refuse()

    def _refuse(self) -> None:
        """Answer what made no sense, and close."""
        self.connection.send(self.fault)
        self.connection.close()

    def data(self, data: bytes) -> None:
        """A part of a body."""
        self.parts.append(data)
        self.size += len(data)
        if self.size > SMALL and not self.long:
            self.long = True
            self.door.enter(self)

    def whole(self) -> None:
        """A call is whole."""
        head, body = self.reading, b"".join(self.parts)
        assert head is not None
        self.parts, self.size = [], 0
        if self.at_work:
            self.behind.append((head, body))
        else:
            self._take(head, body)

    def _take(self, head: Head, body: bytes) -> None:
        self.head, self.at_work = head, True
        self.timer.cancel()
        self.door.calls += 1
        self.door.take(Call(self, head, body))

    def _next(self) -> None:
        if self.behind:
            self._take(*self.behind.pop(0))

    def answer(self, status: int, body: bytes, lines: bytes) -> None:
        """Answer the call at work, and read on."""
        keep = self.head_().keep and not self.door.closing
        bare = self.head_().method == b"HEAD"
        kind = b"application/json" if body[:1] in (b"{", b"[") else b"text/plain" if body else b""
        self.connection.send(final(status, body, keep=keep, lines=lines, kind=kind, bare=bare))
        self.at_work = bool(self.behind)
        self.leave()
        if not keep:
            self.behind.clear()
            self.connection.close()
            return
        if self.behind:
            self.door.host.after(0.0, self._next)
            return
        if self.fault:
            self._refuse()
            return
        self.timer = self.door.host.after(IDLE_S, self._idle)
        queue, self.queue = self.queue, []
        if queue:
            self.door.host.after(0.0, lambda: self._resume(queue))
        else:
            self.connection.resume()

    def _resume(self, queue: list[bytes]) -> None:
        if self.gone:
            return
        self.connection.resume()
        for data in queue:
            self.received(data)

    def leave(self) -> None:
        """Give the place of a long body back."""
        if self.long:
            self.long = False
            self.door.left(self)

    def ended(self) -> None:
        """The caller sends nothing more."""
        if not self.at_work:
            self.connection.close()

    def drained(self) -> None:
        """All has gone."""

    def closed(self, why: str) -> None:
        """It is gone."""
        self.gone = True
        self.timer.cancel()
        self.leave()
        self.behind.clear()
        self.door.guests -= 1
        self.reader.close()


class _Reading:
    """Ties a reader to its guest: a sink's `head` is a method, and a guest keeps the head."""

    __slots__ = ("guest",)

    def __init__(self, guest: _Guest) -> None:
        self.guest = guest

    def head(self, head: Head) -> None:
        """A head is whole."""
        self.guest.reading = head
        if head.expects and not self.guest.at_work:
            self.guest.connection.send(b"HTTP/1.1 100 Continue\r\n\r\n")

    def data(self, data: bytes) -> None:
        """A part of its body."""
        self.guest.data(data)

    def whole(self) -> None:
        """The call is whole."""
        self.guest.whole()


class HttpServer:
    """Listens at an address; `take` is given each whole call.

    `most_body`: bytes, longer ones are answered 413.
    """

    def __init__(
        self,
        host: Host,
        address: Address,
        take: Callable[[Call], None],
        most_body: int = 65 << 20,
    ) -> None:
        self.host, self.address, self.take, self.most_body = host, address, take, most_body
        self.guests = self.calls = 0
        self.closing = False
        self.long: list[_Guest] = []  # with long bodies; the first reads, the others wait
        host.listen(address, self._accept)

    def _accept(self, connection: Connection) -> Handler:
        guest = _Guest(self, connection)
        self.guests += 1
        if self.guests > MAX_CONNECTIONS:
            connection.abort()
        return guest

    def enter(self, guest: _Guest) -> None:
        """A long body is coming; it waits where another one has the place."""
        self.long.append(guest)
        if self.long[0] is not guest:
            guest.connection.pause()

    def left(self, guest: _Guest) -> None:
        """A long body is done with, or its caller has gone."""
        self.long.remove(guest)
        if self.long:
            self.long[0].connection.resume()

    def close(self) -> None:
        """Take no further connections; answers close those that are open."""
        self.closing = True
        self.host.unlisten(self.address)
