"""Remote calls to the mesh's other processes, over connections of a `Host`.

Theory of operation. The first frame on an internal connection is a greeting: "calls" here, "streams" for
the data plane. Then come `[number, method, arguments]` one way and `[number, known, answer]` the other, in
any order. A client keeps one connection to a peer, opened on demand and closed after `IDLE_TIMEOUT_S`
without a call. A call ends once: with the peer's answer, or with None when none came in time, the
connection was lost, the peer does not know the method, or a bound was reached. A connection on which
nothing moved while a call waited in vain is given up, so that what a partition has held up does not hold up
what follows it. The methods are named in `rpc_methods`, the callee's side is `rpc_server`.
"""

from __future__ import annotations

from functools import partial

from honeywharf.transport.framing import FrameReader, encode_frame

TYPE_CHECKING = False  # `typing` is 1.3 MB in each process
if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any

    from honeywharf.transport.host import Address, Connection, Handler, Host, Timer

    Done = Callable[[Any], None]

CALLS_GREETING, STREAMS_GREETING = "calls", "streams"
IDLE_TIMEOUT_S = 5.0  # s without a call, after which a link is closed
MAX_PEERS = 64
MAX_PENDING_CALLS = 512  # calls on one link
MAX_UNSENT_BYTES = 160 << 20  # bytes held for one peer
STALL_S = 0.25  # s without a byte either way, after which a call in vain gives its link up
CONNECT_TIMEOUT_S = 1.0  # s that a connection may take to come up


class _PendingCall:
    """One call under way."""

    __slots__ = ("done", "sent_at", "timer", "unsent")

    def __init__(self, done: Done, sent_at: float, unsent: int) -> None:
        self.done = done
        self.sent_at = sent_at
        self.unsent = unsent  # bytes held just behind it
        self.timer: Timer | None = None


class _ClientConnection:
    """A caller's connection to one peer."""

    __slots__ = (
        "calls",
        "client",
        "connection",
        "idle_timer",
        "last_received_at",
        "last_used_at",
        "number",
        "reader",
        "to",
    )

    def __init__(self, caller: RpcClient, to: Address) -> None:
        self.client = caller
        self.to = to
        self.reader = FrameReader()
        self.calls: dict[int, _PendingCall] = {}
        self.number = 0
        self.last_received_at = self.last_used_at = caller.host.now()
        self.idle_timer: Timer | None = None
        self.connection = caller.host.connect(to, self._handler, CONNECT_TIMEOUT_S)
        self.connection.send(encode_frame(CALLS_GREETING))
        self._check_idle()

    def _handler(self, connection: Connection) -> Handler:
        return self

    def opened(self) -> None:
        """It is up; what was sent goes by itself."""
        self.last_received_at = self.client.host.now()

    def received(self, data: bytes) -> None:
        """Answers; what is no answer ends the link."""
        self.last_received_at = self.client.host.now()
        try:
            for number, known, answer in self.reader.feed(data):
                call = self.calls.pop(number, None)
                if call is not None:
                    _complete(call, answer if known else None)
        except (ValueError, TypeError) as error:
            self.client.host.log(f"calls: from {self.to[0]} {error}")
            self.drop()

    def ended(self) -> None:
        """The peer answers nothing more."""
        self.drop()

    def drained(self) -> None:
        """Nothing waits for it."""

    def closed(self, why: str) -> None:
        """The calls under way have no answer."""
        self.client.forget(self)

    def send(self, method: str, args: object, within: float, done: Done) -> None:
        """Make a call."""
        host = self.client.host
        self.number += 1
        self.last_used_at = host.now()
        self.connection.send(encode_frame([self.number, method, args]))
        call = self.calls[self.number] = _PendingCall(done, self.last_used_at, self.connection.unsent)
        call.timer = host.after(within, partial(self._timed_out, self.number))

    def _timed_out(self, number: int) -> None:
        """No answer in time."""
        call = self.calls.pop(number, None)
        if call is None:
            return
        host, connection = self.client.host, self.connection
        moved = self.last_received_at > call.sent_at or connection.unsent < call.unsent
        if not moved and host.now() - call.sent_at >= STALL_S:
            self.drop()
        call.done(None)

    def _check_idle(self) -> None:
        """Close it when it was not used; else look again later."""
        host = self.client.host
        if not self.calls and host.now() - self.last_used_at >= IDLE_TIMEOUT_S:
            self.drop()
            return
        self.idle_timer = host.after(IDLE_TIMEOUT_S, self._check_idle)

    def drop(self) -> None:
        """Give it up; what waits on it has no answer."""
        self.client.forget(self)
        self.connection.abort()


def _complete(call: _PendingCall, answer: object) -> None:
    """End one call."""
    if call.timer is not None:
        call.timer.cancel()
    call.done(answer)


class RpcClient:
    """Makes calls to peers."""

    __slots__ = ("_connections", "host")

    def __init__(self, host: Host) -> None:
        self.host = host
        self._connections: dict[Address, _ClientConnection] = {}

    @property
    def peers(self) -> int:
        """Links held."""
        return len(self._connections)

    def call(self, to: Address, method: str, args: object, within: float, done: Done) -> None:
        """Call a peer's method; `done(answer)` or `done(None)` follows once, never from within this call."""
        link = self._connections.get(to)
        if link is None:
            link = self._open(to)
        if link is None or len(link.calls) >= MAX_PENDING_CALLS or link.connection.unsent > MAX_UNSENT_BYTES:
            self.host.after(0.0, partial(done, None))
            return
        link.send(method, args, within, done)

    def _open(self, to: Address) -> _ClientConnection | None:
        """A new link; None where there is no room for one."""
        if len(self._connections) >= MAX_PEERS and not self._close_least_used():
            return None
        try:
            link = self._connections[to] = _ClientConnection(self, to)
        except OSError as error:  # no descriptor, no route
            self.host.log(f"calls: to {to[0]} {error}")
            return None
        return link

    def forget(self, link: _ClientConnection) -> None:
        """A link has gone: its calls have no answer."""
        if self._connections.get(link.to) is link:
            del self._connections[link.to]
        if link.idle_timer is not None:
            link.idle_timer.cancel()
            link.idle_timer = None
        for call in link.calls.values():
            if call.timer is not None:
                call.timer.cancel()
            self.host.after(0.0, partial(call.done, None))
        link.calls = {}

    def close(self) -> None:
        """Give all links up."""
        for link in list(self._connections.values()):
            link.drop()

    def _close_least_used(self) -> bool:
        """Close the link that was unused for longest; False where all are at work."""
        unused = [link for link in self._connections.values() if not link.calls]
        if not unused:
            return False
        min(unused, key=lambda link: link.last_used_at).drop()
        return True
