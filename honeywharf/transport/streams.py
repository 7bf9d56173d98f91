"""Links that carry requests between sidecars: many streams on one connection each way, bounded windows.

Theory of operation. The source opens a link to the sidecar beside a backend and keeps it. Each request is a
stream with a number of the source's. Frames are msgpack arrays `[kind, number, ...]`:

    OPEN    service, attempt, kind, remaining ms, patience ms, priority, aim ms, caller, method, target,
            fields, length, revision, digest of the rule that decided (8 bytes)
    GO      it is admitted: send the body
    DATA, END, WINDOW   either way: bytes, the end, bytes that may follow
    ANSWER  status, fields, length, load, whole body or nil (then it is whole)
    REFUSE  why, again ms, arrived, load: not run, a proof
    FAIL    ran, why, arrived, load
    CANCEL  the source wants no answer any more
    PING, PONG   where streams wait and nothing was heard for `PING_S`

No more than `WINDOW_BYTES` of a body are on the way unasked for (`FIRST_WINDOW` of a request's at first), so
a slow one holds up nobody else on the link. A link
on which nothing is heard for `SILENT_S` while streams wait is lost: what was opened on it may have run,
except a request whose body was not asked for, which has not. Requests that may run twice are given up on it
sooner, after `STALLED_S`.
"""

from __future__ import annotations

from honeywharf.transport.frames import FrameReader, encode
from honeywharf.verdict import LOST, MAY_HAVE_RUN, NOT_RUN, Verdict

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any, Protocol

    from honeywharf.transport.host import Address, Connection, Host, Timer

    class Replies(Protocol):
        """What a source's attempt is told."""

        def went(self) -> None:
            """It is admitted; its body is wanted."""

        def answered(self, status: int, fields: bytes, length: int, body: bytes | None) -> None:
            """The answer's head, and its whole body or None where it follows in parts."""

        def data(self, data: bytes) -> None:
            """A part of the answer's body."""

        def whole(self) -> None:
            """The answer is whole."""

        def window(self, size: int) -> None:
            """So many further bytes of the request's body may be sent."""

        def failed(self, verdict: Verdict) -> None:
            """No answer comes, or none further; nothing follows."""

        def load(self, load: tuple[int, int, int]) -> None:
            """Running, waiting and slots there, told with an answer, a refusal or a failure."""

    class Work(Protocol):
        """What the destination's part of a stream is told."""

        def data(self, data: bytes) -> None:
            """A part of the request's body."""

        def end(self) -> None:
            """The body is whole."""

        def window(self, size: int) -> None:
            """So many further bytes of the answer may be sent."""

        def cancel(self) -> None:
            """Nobody waits any more."""


OPEN, GO, DATA, END, WINDOW, ANSWER, REFUSE, FAIL, CANCEL, PING, PONG = range(11)
HANDED = 3  # an Ask's kind where the source decides nothing: the sidecar that is asked does, by its own rules
WINDOW_BYTES = 64 * 1024
FIRST_WINDOW = 8 * 1024  # bytes of a request's body that GO asks for; its gate asks for more
PIECE = 16 * 1024  # bytes of one DATA frame: other streams have their turn between
PING_S = 0.25
STALLED_S = 1.2  # of silence, after which what may run twice is not waited for on a link any more
SILENT_S = 2.6  # of silence, after which a link is lost; a choked one says little for a second and more
IDLE_S = 60.0  # without a stream, after which a link is closed
MAX_STREAMS = 2048  # on one link
MAX_FRAME = 1 << 20
MAX_UNSENT = 4 << 20  # bytes held for one link, after which no stream is opened on it


class Ask:
    """What a source asks of a gate. Times are seconds from now; `length` as in `codecs.mesh.Head`."""

    __slots__ = (
        "aim_s",
        "attempt",
        "caller",
        "fields",
        "kind",
        "length",
        "method",
        "patience_s",
        "peer",
        "priority",
        "remaining_s",
        "revision",
        "rule",
        "service",
        "target",
    )

    def __init__(
        self,
        service: str,
        attempt: bytes,
        kind: int,
        remaining_s: float,
        patience_s: float,
        priority: int,
        aim_s: float,
        caller: str,
        method: bytes,
        target: bytes,
        fields: bytes,
        length: int,
        revision: int,
        rule: bytes = b"",
    ) -> None:
        self.service, self.attempt, self.kind, self.remaining_s = service, attempt, kind, remaining_s
        self.patience_s, self.priority, self.aim_s = patience_s, priority, aim_s
        self.caller, self.method = caller, method
        self.target, self.fields, self.length, self.revision = target, fields, length, revision
        self.rule, self.peer = rule, ""  # `peer`: the source's address, where it came over a link

    def packed(self, number: int) -> bytes:
        """Its OPEN frame."""
        return encode(
            [
                OPEN,
                number,
                self.service,
                self.attempt,
                self.kind,
                int(self.remaining_s * 1000.0),
                int(self.patience_s * 1000.0),
                self.priority,
                int(self.aim_s * 1000.0),
                self.caller,
                self.method,
                self.target,
                self.fields,
                self.length,
                self.revision,
                self.rule,
            ]
        )

    @classmethod
    def unpacked(cls, frame: list[Any]) -> Ask:
        """From an OPEN frame. ValueError or TypeError where it is none."""
        (
            service,
            attempt,
            kind,
            remaining,
            patience,
            priority,
            aim,
            caller,
            method,
            target,
            fields,
            length,
            revision,
            *rule,
        ) = frame[2:]
        return cls(
            service,
            attempt,
            kind,
            remaining / 1000.0,
            patience / 1000.0,
            priority,
            aim / 1000.0,
            caller,
            method,
            target,
            fields,
            length,
            revision,
            *rule[:1],
        )


class Stream:
    """The source's end of one request on a link."""

    __slots__ = ("answering", "bodied", "link", "number", "opened_at", "repeatable", "replies", "went")

    def __init__(
        self,
        link: Link,
        number: int,
        replies: Replies,
        bodied: bool,
        repeatable: bool,
        now: float,
    ) -> None:
        self.link: Link | None = link
        self.number, self.replies, self.bodied, self.went = number, replies, bodied, False
        self.answering = False
        self.repeatable, self.opened_at = repeatable, now

    def begin(self) -> None:
        """The head of the answer has come; ValueError where it is the second."""
        if self.answering:
            raise ValueError(f"found a second answer of stream {self.number}, wanted one")
        self.answering = True

    def go_on(self) -> None:
        """More of the answer has come; ValueError where it has not begun."""
        if not self.answering:
            raise ValueError(f"found a part of an answer of stream {self.number}, wanted its head first")

    def data(self, data: bytes) -> None:
        """Send a part of the body, at most what the window allows."""
        if self.link is not None:
            for at in range(0, len(data), PIECE):
                self.link.send([DATA, self.number, data[at : at + PIECE]])

    def end(self) -> None:
        """The body is whole."""
        if self.link is not None:
            self.link.send([END, self.number])

    def window(self, size: int) -> None:
        """So many bytes of the answer have gone on."""
        if self.link is not None:
            self.link.send([WINDOW, self.number, size])

    def cancel(self) -> None:
        """Nobody waits any more; nothing is told to `replies` after this."""
        link, self.link = self.link, None
        if link is not None and link.streams.pop(self.number, None) is not None:
            link.send([CANCEL, self.number])


class Link:
    """The source's end of a link."""

    def __init__(self, host: Host, to: Address, gone: Callable[[Link], None]) -> None:
        self.host, self.to, self.gone = host, to, gone
        self.streams: dict[int, Stream] = {}
        self.number = 0
        self.reader = FrameReader(MAX_FRAME)
        self.heard = self.used = host.now()
        self.up = self.dead = False
        self.round_trip_s = 0.0
        self.asked = 0.0
        self.timer: Timer | None = None
        self.connection = host.connect(to, lambda connection: self)
        self.connection.send(encode("streams"))
        self._watch()

    def open(self, ask: Ask, replies: Replies) -> Stream | None:
        """Open a stream; None where the link has no room. `replies` is told later, never from within."""
        if self.dead or len(self.streams) >= MAX_STREAMS or self.connection.unsent > MAX_UNSENT:
            return None
        if not self.streams:
            self.heard = max(self.heard, self.host.now())  # silence is counted from here
        self.number += 1
        now = self.host.now()
        stream = self.streams[self.number] = Stream(
            self, self.number, replies, ask.length != 0, ask.kind == 0, now
        )
        self.connection.send(ask.packed(self.number))
        self.used = self.host.now()
        return stream

    def send(self, frame: list[Any]) -> None:
        """Send one frame."""
        if not self.dead:
            self.connection.send(encode(frame))

    def _watch(self) -> None:
        """Ask a silent peer; give a dead or an unused link up."""
        now = self.host.now()
        if self.streams and now - self.heard > SILENT_S:
            self.lose()
            return
        if self.streams and now - self.heard > STALLED_S:
            self._leave_stalled(now)
        if self.streams and now - self.heard >= PING_S:
            self.asked = now
            self.send([PING, 0])
        if not self.streams and now - self.used > IDLE_S:
            self.lose()
            return
        self.timer = self.host.after(PING_S, self._watch)

    def _leave_stalled(self, now: float) -> None:
        """Give up, one by one, what may run twice and has waited in silence; the rest may yet be answered."""
        for stream in [s for s in self.streams.values() if s.repeatable and now - s.opened_at > STALLED_S]:
            stream.cancel()
            stream.replies.failed(Verdict(MAY_HAVE_RUN, LOST))

    def lose(self) -> None:
        """Give it up: whatever was open on it has failed."""
        if self.dead:
            return
        self.dead = True
        if self.timer is not None:
            self.timer.cancel()
        self.gone(self)
        self.connection.abort()
        streams, self.streams = list(self.streams.values()), {}
        for stream in streams:
            stream.link = None
            # Guards what must not run twice: only a body that was never asked for proves anything, or a link
            # that was never up.
            proof = not self.up or (stream.bodied and not stream.went)
            stream.replies.failed(Verdict(NOT_RUN if proof else MAY_HAVE_RUN, LOST))

    def opened(self) -> None:
        """It is up."""
        self.up = True
        self.heard = self.host.now()

    def received(self, data: bytes) -> None:
        """Frames came."""
        self.heard = self.host.now()
        try:
            for frame in self.reader.feed(data):
                self._take(frame)
        except (ValueError, TypeError, IndexError, KeyError):
            self.lose()

    def _take(self, frame: list[Any]) -> None:
        kind, number = frame[0], frame[1]
        if kind == PONG:
            self.round_trip_s = self.heard - self.asked
            return
        stream = self.streams.get(number)
        if stream is None:
            return  # cancelled meanwhile
        replies = stream.replies
        if kind == GO:
            stream.went = True
            replies.went()
        elif kind == WINDOW:
            replies.window(frame[2])
        elif kind == ANSWER:
            stream.begin()
            replies.load(tuple(frame[5]))
            if frame[6] is not None:
                self._over(stream)
            replies.answered(frame[2], frame[3], frame[4], frame[6])
        elif kind == DATA:
            stream.go_on()
            replies.data(frame[2])
        elif kind == END:
            stream.go_on()
            self._over(stream)
            replies.whole()
        elif kind in (REFUSE, FAIL):
            self._over(stream)
            replies.load(tuple(frame[5]))
            ran = NOT_RUN if kind == REFUSE else frame[6]
            replies.failed(Verdict(ran, frame[2], frame[4], frame[3] / 1000.0))

    def _over(self, stream: Stream) -> None:
        stream.link = None
        del self.streams[stream.number]
        self.used = self.heard

    def ended(self) -> None:
        """The far side has closed."""
        self.lose()

    def drained(self) -> None:
        """All has gone."""

    def closed(self, why: str) -> None:
        """It is gone."""
        self.lose()


class Links:
    """The source's links, one a peer, opened on demand."""

    def __init__(self, host: Host, port: int) -> None:
        self.host, self.port = host, port
        self.links: dict[str, Link] = {}
        self.lost = 0

    def to(self, node: str) -> Link:
        """The link to the sidecar at an IP address."""
        link = self.links.get(node)
        if link is None or link.dead:
            link = self.links[node] = Link(self.host, (node, self.port), self._gone)
        return link

    def _gone(self, link: Link) -> None:
        if self.links.get(link.to[0]) is link:
            del self.links[link.to[0]]
            self.lost += 1


class Reception:
    """The destination's end of a link.

    `begin(ask, replies)` gives the work of a stream, or None if it is over.
    """

    def __init__(
        self,
        connection: Connection,
        reader: FrameReader,
        frames: list[Any],
        begin: Callable[[Ask, Answers], Work | None],
    ) -> None:
        self.connection, self.reader, self.begin = connection, reader, begin
        self.work: dict[int, Work] = {}
        self.last = 0  # the highest number of a stream so far
        for frame in frames:
            self._take(frame)

    def opened(self) -> None:
        """Not called on connections that came in."""

    def received(self, data: bytes) -> None:
        """Frames came."""
        try:
            for frame in self.reader.feed(data):
                self._take(frame)
        except (ValueError, TypeError, IndexError, KeyError):
            self.connection.abort()

    def _take(self, frame: list[Any]) -> None:
        kind, number = frame[0], frame[1]
        if kind == OPEN:
            self._open(number, Ask.unpacked(frame))
        elif kind == PING:
            self.send([PONG, 0])
        else:
            work = self.work.get(number)
            if work is None:
                return
            if kind == DATA:
                work.data(frame[2])
            elif kind == END:
                work.end()
            elif kind == WINDOW:
                work.window(frame[2])
            elif kind == CANCEL:
                del self.work[number]
                work.cancel()

    def _open(self, number: int, ask: Ask) -> None:
        if len(self.work) >= MAX_STREAMS:
            raise ValueError(f"found more than {MAX_STREAMS} streams on one link, wanted at most that")
        if number <= self.last:  # guards against an answer to one request that is read as another's
            raise ValueError(f"found stream {number} after {self.last}, wanted a higher number")
        self.last = number
        ask.peer = self.connection.peer[0]
        answers = Answers(self, number)
        work = self.begin(ask, answers)
        if work is not None and not answers.over:
            self.work[number] = work

    def send(self, frame: list[Any]) -> None:
        """Send one frame."""
        self.connection.send(encode(frame))

    def ended(self) -> None:
        """The far side has closed."""
        self.connection.close()

    def drained(self) -> None:
        """All has gone."""

    def closed(self, why: str) -> None:
        """It is gone: nobody waits for what is at work."""
        for work in list(self.work.values()):
            work.cancel()
        self.work.clear()


class Answers:
    """What the destination's work tells of one stream, as frames. `over`: nothing more may be told."""

    __slots__ = ("number", "over", "reception")

    def __init__(self, reception: Reception, number: int) -> None:
        self.reception, self.number, self.over = reception, number, False

    def _last(self) -> None:
        self.over = True
        self.reception.work.pop(self.number, None)

    def go(self) -> None:
        """It is admitted."""
        self.reception.send([GO, self.number])

    def window(self, size: int) -> None:
        """So many bytes of the request's body have gone on."""
        self.reception.send([WINDOW, self.number, size])

    def answer(
        self,
        status: int,
        fields: bytes,
        length: int,
        load: tuple[int, int, int],
        body: bytes | None,
    ) -> None:
        """The answer, whole, or its head."""
        self.reception.send([ANSWER, self.number, status, fields, length, load, body])
        if body is not None:
            self._last()

    def data(self, data: bytes) -> None:
        """A part of the answer's body."""
        for at in range(0, len(data), PIECE):
            self.reception.send([DATA, self.number, data[at : at + PIECE]])

    def whole(self) -> None:
        """The answer is whole."""
        self.reception.send([END, self.number])
        self._last()

    def fail(self, verdict: Verdict, load: tuple[int, int, int]) -> None:
        """No answer comes, or none further."""
        kind = REFUSE if verdict.ran == NOT_RUN else FAIL
        self.reception.send(
            [
                kind,
                self.number,
                verdict.why,
                int(verdict.again_s * 1000.0),
                verdict.arrived,
                load,
                verdict.ran,
            ]
        )
        self._last()
