"""Connections to the backend on this machine: one request at a time on each, kept warm, never trusted.

Theory of operation. An idle connection is used again only if less time has passed than the backend keeps it
(`Keep-Alive`, less a margin); the one used last is used first, so the rest age out. An answer belongs to a
request only if it echoes its attempt id: what does not is skipped, and the connection is closed afterwards.
So is one on which anything comes while no request is out, one whose answer came before all of its request
was written, and one that carried a refusal, as a refused request may come back under the id it had. A new
connection's request is written once it is up, so one that is refused has seen nothing: a proof.

A backend may forget a connection that rests, and says so only by a reset of what is sent next. So one that
has rested for `TRUSTED_S` is tried first: the method's bytes go alone, which no backend can take for a
request, and the rest `TRIED_S` later. One that breaks in between is replaced by a new one, and its request
has not run.
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

    class User(Protocol):
        """Who has a connection for one request."""

        attempt: bytes
        bodiless: bool  # its answer has a head only, whatever that tells of a body
        method: bytes  # with which its head begins

        def ready(self) -> None:
            """The connection is up: write."""

        def answered(self, answer: ResponseHead) -> None:
            """The head of its answer."""

        def data(self, data: bytes) -> None:
            """A part of its answer's body."""

        def whole(self) -> None:
            """Its answer is whole; the connection is not the user's any more."""

        def broken(self, why: str, sent: bool, heard: bool) -> None:
            """The connection is gone.

            `sent`: bytes of the request may have arrived; `heard`: of an answer came.
            """

        def drained(self) -> None:
            """What was written has gone."""


MAX_ANSWER = 1 << 30
MARGIN_S = 1.0  # before the backend closes an idle connection, it is not used any more
UNTOLD_S = 2.0  # how long a backend that says nothing of it keeps one, as far as is assumed
CONNECT_S = 0.6
TRUSTED_S = 0.1  # of rest, after which a connection is tried before a whole request goes on it
TRIED_S = 0.002  # a reset comes back on the same machine in a tenth of that


class Tap:
    """One connection to the backend."""

    __slots__ = (
        "answering",
        "begun",
        "connection",
        "idle_since",
        "idle_until",
        "pool",
        "reader",
        "request_whole",
        "sent",
        "skipping",
        "spoilt",
        "trying",
        "up",
        "user",
    )

    def __init__(self, pool: Taps, user: User) -> None:
        self.pool = pool
        self.user: User | None = user
        self.begun = b""  # bytes of the request that have gone ahead
        self.trying = False  # whether the backend still knows the connection
        self.request_whole = False  # what was written is all of the user's request
        self.up = self.sent = self.spoilt = self.skipping = self.answering = False
        self.idle_since = self.idle_until = 0.0
        self.reader = ResponseReader(self, MAX_ANSWER)
        self.connection: Connection = pool.host.connect(pool.address, self._made, CONNECT_S)

    def _made(self, connection: Connection) -> Handler:
        return self

    def opened(self) -> None:
        """It is up."""
        self.up = True
        if self.user is not None:
            self.user.ready()

    def again(self, user: User, now: float) -> None:
        """Serve one more request: at once after a short rest, else once it has been tried."""
        self.user, self.sent, self.begun = user, False, b""
        self.request_whole = False
        if now - self.idle_since <= TRUSTED_S:
            self.pool.host.after(0.0, partial(_begin, self, user))
            return
        self.trying, self.begun = True, user.method
        self.connection.send(user.method)
        self.pool.host.after(TRIED_S, partial(self._tried, user))

    def _tried(self, user: User) -> None:
        if self.trying and self.user is user:
            self.trying = False
            user.ready()

    def _renew(self) -> None:
        """The backend had forgotten it: a new connection takes its place, as nothing has run."""
        self.trying, self.up, self.begun = False, False, b""
        self.request_whole = False
        self.spoilt = self.skipping = self.answering = False
        self.reader = ResponseReader(self, MAX_ANSWER)
        self.pool.forgotten += 1
        self.pool.made()
        self.connection = self.pool.host.connect(self.pool.address, self._made, CONNECT_S)

    def write(self, data: bytes, last: bool) -> None:
        """Send bytes of the request, from its first on; what has gone ahead is not sent twice.

        `last`: nothing of the request follows.
        """
        self.request_whole = last
        if not data:
            return
        if self.begun:
            data, self.begun = data[len(self.begun) :], b""
        self.sent = True
        self.connection.send(data)

    @property
    def unsent(self) -> int:
        """Bytes that the backend has not taken yet."""
        return self.connection.unsent

    def release(self) -> None:
        """The user gives its request up: the backend is told by the close."""
        self.user = None
        self.pool.leave(self)
        self.connection.abort()

    # What comes.

    def received(self, data: bytes) -> None:
        """Bytes of an answer, or bytes that belong to nothing."""
        if self.user is None:
            self._discard()
            return
        if self.trying:
            self.connection.abort()  # `closed` follows, and a new one
            return
        try:
            self.reader.feed(data)
        except MalformedError:
            self.spoilt = True
            if self.user is not None:
                self._break("garbled")
        if self.user is None and self.connection is not None:
            if self.spoilt or not self.reader.idle:
                self._discard()
            elif self in self.pool.taps:
                self.pool.rest(self)

    def answer(self, answer: ResponseHead) -> None:
        """A head is whole."""
        user = self.user
        if user is None:  # behind a whole answer: it belongs to nothing
            self.spoilt = True
            return
        if answer.attempt != user.attempt:
            self.skipping = self.spoilt = True
            return
        self.skipping, self.answering = False, True
        if not answer.keep or answer.is_not_executed:
            # A refused request may come here again under the same id: a late repeat of this refusal must not
            # be where its answer is due.
            self.spoilt = True
        self.idle_until = (answer.idle_s - MARGIN_S) if answer.idle_s else UNTOLD_S
        user.answered(answer)
        if user.bodiless:  # the parser waits for a body that does not come
            self.spoilt = True
            self.whole()

    def data(self, data: bytes) -> None:
        """A part of a body."""
        if self.user is not None and not self.skipping:
            self.user.data(data)

    def whole(self) -> None:
        """An answer is whole."""
        if self.skipping:
            self.skipping = False
            return
        user, self.user = self.user, None
        self.answering = False
        if not self.request_whole:
            self.spoilt = True  # guards the next request: it would be read as the rest of this one's body
        self.connection.resume()  # a user that held it up is done with it
        if user is not None:
            user.whole()

    def ended(self) -> None:
        """The backend sends nothing more."""
        if self.user is not None and self.trying:
            self.connection.abort()  # `closed` follows, and a new one
        elif self.user is not None:
            self._break("ended")
        else:
            self._discard()

    def drained(self) -> None:
        """What was written has gone."""
        if self.user is not None:
            self.user.drained()

    def closed(self, why: str) -> None:
        """It is gone."""
        if self.trying and self.user is not None:
            self._renew()
            return
        self.pool.leave(self)
        if self.user is not None:
            self._break(why)

    def _break(self, why: str) -> None:
        user, self.user = self.user, None
        heard = self.answering
        self._discard()
        if user is not None:
            user.broken(why, self.sent, heard)

    def _discard(self) -> None:
        self.pool.leave(self)
        self.connection.abort()


def _begin(tap: Tap, user: User) -> None:
    """Tell the user that the connection is up, if it is still its own."""
    if tap.user is user:
        user.ready()


class Taps:
    """The connections to one backend. `most`: connections at once, as the configuration says."""

    def __init__(self, host: Host, address: Address, made: Callable[[], None]) -> None:
        self.host, self.address, self.made = host, address, made
        self.taps: dict[Tap, None] = {}
        self.idle: list[Tap] = []  # the one that rests for longest first
        self.most = 100
        self.forgotten = 0  # by the backend, found before a request went on them

    def take(self, user: User, fresh: bool = False) -> Tap | None:
        """A connection for one request; None where no more may be open.

        `user.ready` is called when it may be written to.

        `fresh`: one that has just been used or is new, as what must not run twice should not meet a
        closing one.
        """
        now = self.host.now()
        while self.idle:
            tap = self.idle.pop()
            if now - tap.idle_since < tap.idle_until * (0.5 if fresh else 1.0):
                tap.again(user, now)
                return tap
            tap.release()
        if len(self.taps) >= self.most:
            return None
        tap = Tap(self, user)
        self.taps[tap] = None
        self.made()
        return tap

    def rest(self, tap: Tap) -> None:
        """It is free; those that rest for too long are closed."""
        now = tap.idle_since = self.host.now()
        if tap.idle_until <= 0:
            tap.release()
            return
        self.idle.append(tap)
        while self.idle and now - self.idle[0].idle_since >= self.idle[0].idle_until:
            self.idle.pop(0).release()

    def leave(self, tap: Tap) -> None:
        """It is of no further use."""
        self.taps.pop(tap, None)
        if tap in self.idle:
            self.idle.remove(tap)

    def flush(self) -> None:
        """Close all that rest: another backend is there now."""
        for tap in list(self.idle):
            tap.release()
