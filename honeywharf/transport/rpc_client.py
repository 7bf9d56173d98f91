"""Remote procedure calls to other processes of the mesh, over connections of a `Host`.

Theory of operation. The first frame on an internal connection is a greeting: "calls" here, "streams" for
the data plane. Then come requests `[number, method, arguments]` one way and responses `[number, known,
answer]` the other, in any order; `known` is false if the peer has no such method. A client keeps one
connection per peer, opened on demand and closed after `IDLE_TIMEOUT_S` without a call. A call ends exactly
once: with the peer's answer, or with None if it timed out, the connection was lost, the peer does not know
the method, or a bound was reached. When a call times out on a connection without any progress, the connection
is closed, so that later calls do not wait behind data that a partition delays. The methods are named in
`rpc_methods`; the server is `rpc_server`.
"""

from __future__ import annotations

from functools import partial

from honeywharf.transport.framing import FrameReader, encode_frame

TYPE_CHECKING = False  # Importing `typing` costs 1.3 MB in each process.
if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any

    from honeywharf.transport.host import Address, Connection, Handler, Host, Timer

    Done = Callable[[Any], None]

CALLS_GREETING, STREAMS_GREETING = "calls", "streams"
IDLE_TIMEOUT_S = 5.0
MAX_PEERS = 64
MAX_PENDING_CALLS = 512  # One connection has at most this many calls in flight.
MAX_UNSENT_BYTES = 160 << 20  # The limit applies to the buffered bytes of one peer.
# A call that times out closes its connection if no byte moved in either direction for this time.
STALL_TIMEOUT_S = 0.25
CONNECT_TIMEOUT_S = 1.0


class _PendingCall:
    """One call in flight."""

    __slots__ = ("done", "sent_at", "timer", "unsent")

    def __init__(self, done: Done, sent_at: float, unsent: int) -> None:
        self.done = done
        self.sent_at = sent_at
        self.unsent = unsent  # The bytes buffered right after this call was sent.
        self.timer: Timer | None = None


class _ClientConnection:
    """The client's connection to one peer."""

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

    def __init__(self, rpc_client: RpcClient, to: Address) -> None:
        self.client = rpc_client
        self.to = to
        self.reader = FrameReader()
        self.calls: dict[int, _PendingCall] = {}
        self.number = 0
        self.last_received_at = self.last_used_at = rpc_client.host.now()
        self.idle_timer: Timer | None = None
        self.connection = rpc_client.host.connect(to, self._handler, CONNECT_TIMEOUT_S)
        self.connection.send(encode_frame(CALLS_GREETING))
        self._check_idle()

    def _handler(self, connection: Connection) -> Handler:
        return self

    def opened(self) -> None:
        """Notes that the connection is established. The host sends the buffered calls."""
        self.last_received_at = self.client.host.now()

    def received(self, data: bytes) -> None:
        """Completes calls with their answers; a malformed answer closes the connection."""
        self.last_received_at = self.client.host.now()
        try:
            for number, is_known, answer in self.reader.feed(data):
                call = self.calls.pop(number, None)
                if call is not None:
                    _complete(call, answer if is_known else None)
        except (ValueError, TypeError) as error:
            self.client.host.log(f"calls: from {self.to[0]} {error}")
            self.drop()

    def ended(self) -> None:
        """Closes the connection after the peer's half-close."""
        self.drop()

    def drained(self) -> None:
        """Does nothing: `MAX_UNSENT_BYTES` bounds the buffered bytes."""

    def closed(self, reason: str) -> None:
        """Ends the calls in flight without an answer."""
        self.client.forget(self)

    def send(self, method: str, args: object, within: float, done: Done) -> None:
        """Sends a call."""
        host = self.client.host
        self.number += 1
        self.last_used_at = host.now()
        self.connection.send(encode_frame([self.number, method, args]))
        call = self.calls[self.number] = _PendingCall(done, self.last_used_at, self.connection.unsent)
        call.timer = host.after(within, partial(self._timed_out, self.number))

    def _timed_out(self, number: int) -> None:
        """Ends a call that has not been answered in time."""
        call = self.calls.pop(number, None)
        if call is None:
            return
        host, connection = self.client.host, self.connection
        has_progress = self.last_received_at > call.sent_at or connection.unsent < call.unsent
        if not has_progress and host.now() - call.sent_at >= STALL_TIMEOUT_S:
            self.drop()
        call.done(None)

    def _check_idle(self) -> None:
        """Closes an idle connection, or schedules the next check."""
        host = self.client.host
        if not self.calls and host.now() - self.last_used_at >= IDLE_TIMEOUT_S:
            self.drop()
            return
        self.idle_timer = host.after(IDLE_TIMEOUT_S, self._check_idle)

    def drop(self) -> None:
        """Closes the connection and ends its calls without an answer."""
        self.client.forget(self)
        self.connection.abort()


def _complete(call: _PendingCall, answer: object) -> None:
    """Ends one call with an answer."""
    if call.timer is not None:
        call.timer.cancel()
    call.done(answer)


class RpcClient:
    """Makes remote procedure calls to peers."""

    __slots__ = ("_connections", "host")

    def __init__(self, host: Host) -> None:
        self.host = host
        self._connections: dict[Address, _ClientConnection] = {}

    @property
    def peers(self) -> int:
        """Returns the number of connections."""
        return len(self._connections)

    def call(self, to: Address, method: str, args: object, within: float, done: Done) -> None:
        """Calls a peer's method. `done(answer)` or `done(None)` follows once, never within this call."""
        client_connection = self._connections.get(to)
        if client_connection is None:
            client_connection = self._open(to)
        if (
            client_connection is None
            or len(client_connection.calls) >= MAX_PENDING_CALLS
            or client_connection.connection.unsent > MAX_UNSENT_BYTES
        ):
            self.host.after(0.0, partial(done, None))
            return
        client_connection.send(method, args, within, done)

    def _open(self, to: Address) -> _ClientConnection | None:
        """Opens a connection; None if the limit is reached or the host cannot open one."""
        if len(self._connections) >= MAX_PEERS and not self._close_least_recently_used():
            return None
        try:
            client_connection = self._connections[to] = _ClientConnection(self, to)
        except OSError as error:  # No free descriptor, or no route.
            self.host.log(f"calls: to {to[0]} {error}")
            return None
        return client_connection

    def forget(self, client_connection: _ClientConnection) -> None:
        """Removes a closed connection and ends its calls without an answer."""
        if self._connections.get(client_connection.to) is client_connection:
            del self._connections[client_connection.to]
        if client_connection.idle_timer is not None:
            client_connection.idle_timer.cancel()
            client_connection.idle_timer = None
        for call in client_connection.calls.values():
            if call.timer is not None:
                call.timer.cancel()
            self.host.after(0.0, partial(call.done, None))
        client_connection.calls = {}

    def close(self) -> None:
        """Closes all connections."""
        for client_connection in list(self._connections.values()):
            client_connection.drop()

    def _close_least_recently_used(self) -> bool:
        """Closes the least recently used idle connection; False if there is none."""
        unused = [
            client_connection
            for client_connection in self._connections.values()
            if not client_connection.calls
        ]
        if not unused:
            return False
        min(unused, key=lambda client_connection: client_connection.last_used_at).drop()
        return True
