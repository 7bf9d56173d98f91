"""Connections to the backend on this machine: one request at a time on each, kept open and reused.

Theory of operation. An idle connection is reused only if less time has passed than the backend keeps it open
(`Keep-Alive`, less a margin); the one used last is taken first, so the rest age out. An answer belongs to a
request only if it echoes its attempt id; any other is skipped, and the connection is closed afterwards. So is
a connection that received bytes while no request was in flight, one whose answer came before all of its
request was written, and one that carried a rejection, as a rejected request may come back under the id it
had. On a new connection the request is written once it is up, so a connection that is refused proves that
nothing ran.

A backend may have dropped an idle connection, which shows only by a reset of what is sent next. So one that
was idle for more than `MAX_IDLE_UNPROBED_S` is probed: the bytes of the method are sent alone, which no
backend can take for a request, and the rest `PROBE_WAIT_S` later. A connection that breaks in between is
replaced by a new one, and its request has not run.
Source: PROTOCOL, "Backends"; LATER, "New on the wire".
"""

from __future__ import annotations

from functools import partial

from honeywharf.codecs.heads import ResponseHead
from honeywharf.codecs.mesh import ResponseReader
from honeywharf.codecs.reader import MalformedError

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Protocol

    from honeywharf.transport.host import Address, Connection, Handler, Host

    class ConnectionUser(Protocol):
        """The request that uses a connection."""

        attempt: bytes
        bodiless: bool  # the answer has no body, whatever its head announces
        method: bytes  # the first bytes of the request's head

        def ready(self) -> None:
            """Called when the connection is up and may be written to."""

        def answered(self, answer: ResponseHead) -> None:
            """Called with the head of the answer."""

        def data(self, data: bytes) -> None:
            """Called with a part of the answer's body."""

        def whole(self) -> None:
            """Called when the answer is complete; the connection is not the user's any more."""

        def broken(self, why: str, sent: bool, answer_begun: bool) -> None:
            """Called when the connection is lost.

            `sent`: bytes of the request may have arrived; `answer_begun`: bytes of an answer were received.
            """

        def drained(self) -> None:
            """Called when the backend has taken all that was written."""


MAX_ANSWER_BYTES = 1 << 30
KEEP_ALIVE_MARGIN_S = 1.0  # an idle connection is not used any more this long before the backend closes it
DEFAULT_KEEP_ALIVE_S = 2.0  # where the backend sends no Keep-Alive header
CONNECT_TIMEOUT_S = 0.6
MAX_IDLE_UNPROBED_S = 0.1  # a connection idle for longer is probed before its next request
PROBE_WAIT_S = 0.002  # enough for a reset to come back on the same machine


class BackendConnection:
    """One connection to the backend."""

    __slots__ = (
        "answering",
        "connection",
        "idle_since",
        "is_probing",
        "is_up",
        "max_idle_s",
        "must_close",
        "pool",
        "reader",
        "request_complete",
        "sent",
        "sent_ahead",
        "skipping_answer",
        "user",
    )

    def __init__(self, pool: BackendConnectionPool, user: ConnectionUser) -> None:
        self.pool = pool
        self.user: ConnectionUser | None = user
        self.sent_ahead = b""  # bytes of the request that were sent as a probe
        self.is_probing = False  # while the probe may still be answered by a reset
        self.request_complete = False  # whether the user has written all of its request
        self.is_up = self.sent = self.must_close = self.skipping_answer = self.answering = False
        self.idle_since = self.max_idle_s = 0.0
        self.reader = ResponseReader(self, MAX_ANSWER_BYTES)
        self.connection: Connection = pool.host.connect(pool.address, self._made, CONNECT_TIMEOUT_S)

    def _made(self, connection: Connection) -> Handler:
        """Takes a new connection. Its requests have deadlines, which bound the wait for a busy backend."""
        connection.tolerate_unread()
        return self

    def opened(self) -> None:
        """Tells the user that the connection is up."""
        self.is_up = True
        if self.user is not None:
            self.user.ready()

    def reuse(self, user: ConnectionUser, now: float) -> None:
        """Serves one more request: at once after a short idle time, else after a probe."""
        self.user, self.sent, self.sent_ahead = user, False, b""
        self.request_complete = False
        if now - self.idle_since <= MAX_IDLE_UNPROBED_S:
            self.pool.host.after(0.0, partial(_notify_ready, self, user))
            return
        self.is_probing, self.sent_ahead = True, user.method
        self.connection.send(user.method)
        self.pool.host.after(PROBE_WAIT_S, partial(self._probe_passed, user))

    def _probe_passed(self, user: ConnectionUser) -> None:
        if self.is_probing and self.user is user:
            self.is_probing = False
            user.ready()

    def _reconnect(self) -> None:
        """Replaces a connection that the backend had closed; nothing has run."""
        self.is_probing, self.is_up, self.sent_ahead = False, False, b""
        self.request_complete = False
        self.must_close = self.skipping_answer = self.answering = False
        self.reader = ResponseReader(self, MAX_ANSWER_BYTES)
        self.pool.stale_found += 1
        self.pool.on_connect()
        self.connection = self.pool.host.connect(self.pool.address, self._made, CONNECT_TIMEOUT_S)

    def write(self, data: bytes, last: bool) -> None:
        """Sends bytes of the request; what the probe sent is not sent twice.

        `last`: these bytes complete the request.
        """
        self.request_complete = last
        if not data:
            return
        if self.sent_ahead:
            data, self.sent_ahead = data[len(self.sent_ahead) :], b""
        self.sent = True
        self.connection.send(data)

    @property
    def unsent(self) -> int:
        """Bytes written that the backend has not taken yet."""
        return self.connection.unsent

    def release(self) -> None:
        """Closes the connection, which cancels the request at the backend."""
        self.user = None
        self.pool.discard(self)
        self.connection.abort()

    # Calls by the host and the answer's reader.

    def received(self, data: bytes) -> None:
        """Reads bytes of an answer; bytes that belong to no request close the connection."""
        if self.user is None:
            self._discard()
            return
        if self.is_probing:
            self.connection.abort()  # `closed` follows, and a new one
            return
        try:
            self.reader.feed(data)
        except MalformedError:
            self.must_close = True
            if self.user is not None:
                self._fail("garbled")
        if self.user is None and self.connection is not None:
            if self.must_close or not self.reader.idle:
                self._discard()
            elif self in self.pool.open_connections:
                self.pool.add_idle(self)

    def answer(self, answer: ResponseHead) -> None:
        """Takes the head of an answer, if it echoes the request's attempt id."""
        user = self.user
        if user is None:  # an answer that follows a complete one belongs to no request
            self.must_close = True
            return
        if answer.attempt != user.attempt:
            self.skipping_answer = self.must_close = True
            return
        self.skipping_answer, self.answering = False, True
        if not answer.keep or answer.is_not_executed:
            # A rejected request may come here again under the same id: a late repeat of this rejection must
            # not be taken for its answer.
            self.must_close = True
        self.max_idle_s = (answer.idle_s - KEEP_ALIVE_MARGIN_S) if answer.idle_s else DEFAULT_KEEP_ALIVE_S
        user.answered(answer)
        if user.bodiless:  # the parser waits for a body that does not come
            self.must_close = True
            self.whole()

    def data(self, data: bytes) -> None:
        """Takes a part of an answer's body."""
        if self.user is not None and not self.skipping_answer:
            self.user.data(data)

    def whole(self) -> None:
        """Ends the request: its answer is complete."""
        if self.skipping_answer:
            self.skipping_answer = False
            return
        user, self.user = self.user, None
        self.answering = False
        if not self.request_complete:
            self.must_close = True  # else the next request would be read as the rest of this one's body
        self.connection.resume()  # the user may have paused it
        if user is not None:
            user.whole()

    def ended(self) -> None:
        """Called when the backend has closed its sending half."""
        if self.user is not None and self.is_probing:
            self.connection.abort()  # `closed` follows, and a new one
        elif self.user is not None:
            self._fail("ended")
        else:
            self._discard()

    def drained(self) -> None:
        """Tells the user that the backend has taken all that was written."""
        if self.user is not None:
            self.user.drained()

    def closed(self, why: str) -> None:
        """Called when the connection is closed."""
        if self.is_probing and self.user is not None:
            self._reconnect()
            return
        self.pool.discard(self)
        if self.user is not None:
            self._fail(why)

    def _fail(self, why: str) -> None:
        user, self.user = self.user, None
        answer_begun = self.answering
        self._discard()
        if user is not None:
            user.broken(why, self.sent, answer_begun)

    def _discard(self) -> None:
        self.pool.discard(self)
        self.connection.abort()


def _notify_ready(connection: BackendConnection, user: ConnectionUser) -> None:
    """Tells the user that the connection is up, if it still has it."""
    if connection.user is user:
        user.ready()


class BackendConnectionPool:
    """The connections to one backend; at most `most` of them are open at once, as configured."""

    def __init__(self, host: Host, address: Address, made: Callable[[], None]) -> None:
        self.host, self.address, self.on_connect = host, address, made
        self.open_connections: dict[BackendConnection, None] = {}
        self.idle: list[BackendConnection] = []  # longest idle first
        self.most = 100
        self.stale_found = 0  # connections closed by the backend, found by a probe

    def take(self, user: ConnectionUser, fresh: bool = False) -> BackendConnection | None:
        """Returns a connection for one request; None if the number of connections is at its limit.

        `user.ready` is called once the connection may be written to.

        `fresh`: the connection is new or was used recently, as a request that must not run twice should not
        be sent on one that the backend is about to close.
        """
        now = self.host.now()
        while self.idle:
            connection = self.idle.pop()
            if now - connection.idle_since < connection.max_idle_s * (0.5 if fresh else 1.0):
                connection.reuse(user, now)
                return connection
            connection.release()
        if len(self.open_connections) >= self.most:
            return None
        connection = BackendConnection(self, user)
        self.open_connections[connection] = None
        self.on_connect()
        return connection

    def add_idle(self, connection: BackendConnection) -> None:
        """Takes a connection that is free again, and closes those idle for too long."""
        now = connection.idle_since = self.host.now()
        if connection.max_idle_s <= 0:
            connection.release()
            return
        self.idle.append(connection)
        while self.idle and now - self.idle[0].idle_since >= self.idle[0].max_idle_s:
            self.idle.pop(0).release()

    def discard(self, connection: BackendConnection) -> None:
        """Removes a connection that is not used any more."""
        self.open_connections.pop(connection, None)
        if connection in self.idle:
            self.idle.remove(connection)

    def close_idle(self) -> None:
        """Closes all idle connections, as another backend is at the address now."""
        for connection in list(self.idle):
            connection.release()
