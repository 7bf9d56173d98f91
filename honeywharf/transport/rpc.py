"""Remote calls between the mesh's processes, over connections of a `Host`.

Theory of operation. The first frame on an internal connection is a string: "calls" here, "streams" for the
data plane. Then come `[number, method, args]` one way and `[number, known, answer]` the other, in any order.
A caller keeps one connection to a peer, opened on demand, closed after `IDLE` seconds without a call. A
call ends once: with the peer's answer, or with None when none came in time, the link was lost, the peer does
not know the method, or a bound was reached. A link on which nothing moved while a call waited in vain is
given up, so that what a cut has held up does not hold up what follows it.
"""

from __future__ import annotations

from functools import partial

from honeywharf.transport.frames import MOST, FrameReader, encode

TYPE_CHECKING = False  # `typing` is 1.3 MB in each process
if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any

    from honeywharf.transport.host import Address, Connection, Handler, Host, Timer

    Done = Callable[[Any], None]
    Reply = Callable[[object], None]
    Method = Callable[[Any, Reply, Address], None]
    Streams = Callable[[Connection, FrameReader, list[Any]], Handler]

IDLE = 5.0  # s without a call, after which a link is closed
MAX_PEERS = 64
MAX_WAITING = 512  # calls on one link
MAX_UNSENT = 160 << 20  # bytes held for one peer
STILL = 0.25  # s without a byte either way, after which a call in vain gives its link up
UP = 1.0  # s that a connection may take to come up


class _Call:
    """One call under way."""

    __slots__ = ("done", "sent_at", "timer", "unsent")

    def __init__(self, done: Done, sent_at: float, unsent: int) -> None:
        self.done = done
        self.sent_at = sent_at
        self.unsent = unsent  # bytes held just behind it
        self.timer: Timer | None = None


class _Link:
    """A caller's connection to one peer."""

    __slots__ = ("caller", "calls", "connection", "heard_at", "idle", "number", "reader", "to", "used_at")

    def __init__(self, caller: Caller, to: Address) -> None:
        self.caller = caller
        self.to = to
        self.reader = FrameReader()
        self.calls: dict[int, _Call] = {}
        self.number = 0
        self.heard_at = self.used_at = caller.host.now()
        self.idle: Timer | None = None
        self.connection = caller.host.connect(to, self._handler, UP)
        self.connection.send(encode("calls"))
        self._watch_idle()

    def _handler(self, connection: Connection) -> Handler:
        return self

    def opened(self) -> None:
        """It is up; what was sent goes by itself."""
        self.heard_at = self.caller.host.now()

    def received(self, data: bytes) -> None:
        """Answers; what is no answer ends the link."""
        self.heard_at = self.caller.host.now()
        try:
            for number, known, answer in self.reader.feed(data):
                call = self.calls.pop(number, None)
                if call is not None:
                    _settle(call, answer if known else None)
        except (ValueError, TypeError) as fault:
            self.caller.host.log(f"calls: from {self.to[0]} {fault}")
            self.drop()

    def ended(self) -> None:
        """The peer answers nothing more."""
        self.drop()

    def drained(self) -> None:
        """Nothing waits for it."""

    def closed(self, why: str) -> None:
        """The calls under way have no answer."""
        self.caller.forget(self)

    def send(self, method: str, args: object, within: float, done: Done) -> None:
        """Make a call."""
        host = self.caller.host
        self.number += 1
        self.used_at = host.now()
        self.connection.send(encode([self.number, method, args]))
        call = self.calls[self.number] = _Call(done, self.used_at, self.connection.unsent)
        call.timer = host.after(within, partial(self._late, self.number))

    def _late(self, number: int) -> None:
        """No answer in time."""
        call = self.calls.pop(number, None)
        if call is None:
            return
        host, connection = self.caller.host, self.connection
        moved = self.heard_at > call.sent_at or connection.unsent < call.unsent
        if not moved and host.now() - call.sent_at >= STILL:
            self.drop()
        call.done(None)

    def _watch_idle(self) -> None:
        """Close it when it was not used; else look again later."""
        host = self.caller.host
        if not self.calls and host.now() - self.used_at >= IDLE:
            self.drop()
            return
        self.idle = host.after(IDLE, self._watch_idle)

    def drop(self) -> None:
        """Give it up; what waits on it has no answer."""
        self.caller.forget(self)
        self.connection.abort()


def _settle(call: _Call, answer: object) -> None:
    """End one call."""
    if call.timer is not None:
        call.timer.cancel()
    call.done(answer)


class Caller:
    """Makes calls to peers."""

    __slots__ = ("_links", "host")

    def __init__(self, host: Host) -> None:
        self.host = host
        self._links: dict[Address, _Link] = {}

    @property
    def peers(self) -> int:
        """Links held."""
        return len(self._links)

    def call(self, to: Address, method: str, args: object, within: float, done: Done) -> None:
        """Call a peer's method; `done(answer)` or `done(None)` follows once, never from within this call."""
        link = self._links.get(to)
        if link is None:
            link = self._open(to)
        if link is None or len(link.calls) >= MAX_WAITING or link.connection.unsent > MAX_UNSENT:
            self.host.after(0.0, partial(done, None))
            return
        link.send(method, args, within, done)

    def _open(self, to: Address) -> _Link | None:
        """A new link; None where there is no room for one."""
        if len(self._links) >= MAX_PEERS and not self._make_room():
            return None
        try:
            link = self._links[to] = _Link(self, to)
        except OSError as fault:  # no descriptor, no route
            self.host.log(f"calls: to {to[0]} {fault}")
            return None
        return link

    def forget(self, link: _Link) -> None:
        """A link has gone: its calls have no answer."""
        if self._links.get(link.to) is link:
            del self._links[link.to]
        if link.idle is not None:
            link.idle.cancel()
            link.idle = None
        for call in link.calls.values():
            if call.timer is not None:
                call.timer.cancel()
            self.host.after(0.0, partial(call.done, None))
        link.calls = {}

    def close(self) -> None:
        """Give all links up."""
        for link in list(self._links.values()):
            link.drop()

    def _make_room(self) -> bool:
        """Close the link that was unused for longest; False where all are at work."""
        unused = [link for link in self._links.values() if not link.calls]
        if not unused:
            return False
        min(unused, key=lambda link: link.used_at).drop()
        return True


class _Served:
    """One connection that came in."""

    __slots__ = ("answerer", "connection", "inner", "known", "reader")

    def __init__(self, answerer: Answerer, connection: Connection) -> None:
        self.answerer = answerer
        self.connection = connection
        self.reader = FrameReader(answerer.most)
        self.known = False  # the first frame was "calls"
        self.inner: Handler | None = None  # who has it instead

    def opened(self) -> None:
        """Not called on connections that came in."""

    def received(self, data: bytes) -> None:
        """Calls; what is none ends the connection."""
        if self.inner is not None:
            self.inner.received(data)
            return
        try:
            frames = self.reader.feed(data)
            if not self.known and frames:
                first = frames.pop(0)
                if first == "streams" and self.answerer.streams is not None:
                    self.inner = self.answerer.streams(self.connection, self.reader, frames)
                    return
                if first != "calls":
                    raise ValueError(f"found {str(first)[:40]!r}, wanted 'calls'")
                self.known = True
            for number, method, args in frames:
                self.answerer.answer(self.connection, number, method, args)
        except (ValueError, TypeError) as fault:
            self.answerer.foreign += 1
            self.answerer.log(f"calls: from {self.connection.peer[0]} {fault}")
            self.connection.abort()

    def ended(self) -> None:
        """The peer calls nothing more."""
        if self.inner is not None:
            self.inner.ended()
        else:
            self.connection.close()

    def drained(self) -> None:
        """All has gone."""
        if self.inner is not None:
            self.inner.drained()

    def closed(self, why: str) -> None:
        """It is gone."""
        if self.inner is not None:
            self.inner.closed(why)


class Answerer:
    """Answers the calls of peers; where a method raises ValueError, TypeError or LookupError, with None."""

    __slots__ = ("foreign", "log", "methods", "most", "streams")

    def __init__(
        self,
        methods: dict[str, Method],
        streams: Streams | None = None,
        most: int = MOST,
        log: Callable[[str], None] = lambda line: None,
    ) -> None:
        self.methods = methods
        self.streams = streams
        self.most = most
        self.log = log
        self.foreign = 0  # connections and calls that made no sense

    def accept(self, connection: Connection) -> Handler:
        """What `Host.listen` wants."""
        return _Served(self, connection)

    def answer(self, connection: Connection, number: object, name: object, args: object) -> None:
        """Run one call; its method replies when it likes, once."""
        method = self.methods.get(name) if isinstance(name, str) else None
        if method is None:
            connection.send(encode([number, False, None]))
            return
        try:
            method(args, _Reply(connection, number), connection.peer)
        except (ValueError, TypeError, LookupError) as fault:
            self.foreign += 1
            self.log(f"calls: {name} from {connection.peer[0]}: {type(fault).__name__} {fault}")
            connection.send(encode([number, False, None]))


class _Reply:
    """The way back of one call; further answers are dropped."""

    __slots__ = ("connection", "number")

    def __init__(self, connection: Connection, number: object) -> None:
        self.connection: Connection | None = connection
        self.number = number

    def __call__(self, answer: object) -> None:
        connection, self.connection = self.connection, None
        if connection is not None and connection.unsent <= MAX_UNSENT:
            connection.send(encode([self.number, True, answer]))
