"""The source's end of a session: what was sent, what is acknowledged, by which way it goes on.

Theory of operation. Bytes stay here until the *destination* holds them; a gateway's word counts for nothing.
A new way is a new epoch; it begins with OPEN, and where the destination has spoken before nothing is sent
until it tells how much it holds. The body's end is sent only to a life of the destination that is known: so
one that was begun anew can't run what an old one may have run. `finished` says that the end was sent: without
it nothing can have run, since a backend sees whole requests only.

    state      OPEN sent   HAVE      LEAVE     GONE, link lost   verdict, whole answer
    IDLE       ASKING      .         .         .                 .
    ASKING     .           FLOWING   IDLE      IDLE              OVER
    FLOWING    .           .         LEAVING   IDLE              OVER
    LEAVING    .           .         .         IDLE              OVER

In LEAVING nothing further is sent; the way is left when all that was sent is acknowledged, or by the caller
after `QUIET_S`. So a drain repeats no byte.
"""

from __future__ import annotations

from honeywharf.sessions.kinds import (
    ACK,
    ANSWER_WINDOW,
    BULK,
    CLOSE,
    DATA,
    DROP,
    END,
    FIRST,
    GONE,
    HAVE,
    HEAD,
    LEAVE,
    OPEN,
    PART,
    PIECE,
    SHORT,
    UNKNOWN,
    VERDICT,
    WHOLE,
    WHOLE_ANSWER,
    WINDOW,
)
from honeywharf.verdict import LINK_LOST, MAY_HAVE_RUN, NOT_RUN, TIMED_OUT, Verdict

TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Any, Protocol

    class Teller(Protocol):
        """Who waits for the answer. Nothing is told after `failed`, `whole` or a whole `answered`."""

        def went(self) -> None:
            """The body is wanted, `WINDOW` bytes at first."""

        def window(self, size: int) -> None:
            """So many further bytes are wanted."""

        def answered(self, status: int, fields: bytes, length: int, body: bytes | None) -> None:
            """The answer, whole, or its head."""

        def data(self, data: bytes) -> None:
            """A part of the answer's body."""

        def whole(self) -> None:
            """The answer is whole."""

        def failed(self, verdict: Verdict) -> None:
            """No answer comes, or none further."""


IDLE, ASKING, FLOWING, LEAVING, OVER = range(5)
STATES = ("idle", "asking", "flowing", "leaving", "over")
QUIET_S = 1.5  # for acknowledgements before a way is left: what is on its way arrives meanwhile


class Request:
    """What a session carries. `length`: bytes of the body, -1 unknown; `head`: msgpack's, not read here.

    `deadline`: seconds of the source's steady clock; `expires_ms`: the same by the wall clock. `homes`:
    regions that may run it and hold its body, none where any may.
    """

    __slots__ = (
        "attempt",
        "deadline",
        "expires_ms",
        "head",
        "homes",
        "lane",
        "length",
        "origin",
        "tenant",
        "to",
    )

    def __init__(
        self,
        to: str,
        attempt: bytes,
        length: int,
        deadline: float,
        expires_ms: int,
        tenant: str = "",
        origin: str = "",
        homes: tuple[str, ...] = (),
        head: object = None,
        lane: int = BULK,
    ) -> None:
        self.lane = lane
        self.to, self.attempt, self.length, self.deadline, self.expires_ms = (
            to,
            attempt,
            length,
            deadline,
            expires_ms,
        )
        self.tenant, self.origin, self.homes, self.head = tenant, origin, homes, head


class Inlet:
    """One session at its source. `out`: frames that wait to be sent by the present way.

    `life`: the destination's, where it is known; it is told again by each HAVE.
    """

    __slots__ = (
        "acked",
        "answer",
        "before",
        "collected",
        "complete",
        "early",
        "ended",
        "epoch",
        "finished",
        "got",
        "heard",
        "kept",
        "life",
        "out",
        "read",
        "request",
        "sent",
        "sid",
        "state",
        "taken",
        "teller",
        "told",
        "total",
        "twice",
        "upto",
        "went",
    )

    def __init__(self, sid: bytes, request: Request, teller: Teller, life: bytes = b"") -> None:
        self.sid, self.request, self.teller, self.life = sid, request, teller, life
        self.state, self.epoch = IDLE, 0
        self.kept = bytearray()  # of the body, from `acked` on
        self.acked = self.sent = self.upto = self.total = self.twice = 0  # bytes
        self.ended = request.length == 0  # the body is here whole
        self.finished = False  # its end was sent, by some way
        self.told = False  # its end was sent by this way
        self.early = False  # the body follows OPEN unasked
        self.before = False  # its end was sent by a way before this one
        self.heard = self.went = False
        self.complete = False  # the destination has all of it, the end too, or has told its verdict
        self.taken = 0  # frames that counted: who waits sees by it whether anything moves
        self.answer: tuple[int, bytes, int] | None = None  # status, fields, length
        self.collected: bytearray | None = None  # a short answer until it is whole
        self.got = self.read = 0  # bytes of the answer that came, that went on
        self.out: list[list[Any]] = []

    # Ways.

    def attach(self, now: float) -> None:
        """Begin a new way: from here on, frames of those before it count for nothing."""
        if self.state == OVER:
            return
        self.epoch += 1
        self.state, self.told, self.before = ASKING, False, self.finished
        request = self.request
        remaining = max(0, int((request.deadline - now) * 1000.0))
        self.out = [
            [
                OPEN,
                self.sid,
                self.epoch,
                request.to,
                self.life,
                int(self.heard),
                self.got,
                request.attempt,
                request.length,
                remaining,
                request.expires_ms,
                request.tenant,
                request.origin,
                list(request.homes),
                request.head,
                self.read + ANSWER_WINDOW,
                request.lane,
            ]
        ]
        self.early = bool(self.life) and not self.heard and 0 <= request.length <= SHORT
        if self.early:
            self.twice += self.sent
            self.sent, self.upto = 0, FIRST
            if not self.went:
                self.went = True
                self.teller.went()
            self._send()

    def detach(self) -> None:
        """The present way is lost."""
        if self.state != OVER:
            self.state = IDLE
            self.out = []

    def quiet(self) -> bool:
        """Whether a way that is to be left has nothing of this session under way."""
        return self.state == LEAVING and self.sent == self.acked

    # The request's body.

    def data(self, data: bytes) -> None:
        """A part of the body."""
        if self.state != OVER:
            self.kept += data
            self.total += len(data)
            self._send()

    def end(self) -> None:
        """The body is whole."""
        if self.state != OVER and not self.ended:
            self.ended = True
            self._send()

    def window(self, size: int) -> None:
        """So many bytes of the answer went on: as many may come."""
        if self.state != OVER:
            self.read += size
            self._acknowledge(0)

    def _acknowledge(self, missing: int) -> None:
        self._frame(ACK, self.got, self.read + ANSWER_WINDOW, missing)

    def cancel(self) -> None:
        """Nobody waits any more; nothing further is told."""
        if self.state != OVER:
            self._frame(DROP)
            self._over()

    def late(self, why: int = TIMED_OUT) -> None:
        """The time is up, or there is no way left: what is known then is the verdict."""
        if self.state != OVER:
            self._frame(DROP)
            self._fail(Verdict(self._ran(), why, self.finished))

    def _ran(self) -> int:
        return MAY_HAVE_RUN if self.finished else NOT_RUN

    def _frame(self, kind: int, *rest: object) -> None:
        if self.state != IDLE:
            self.out.append([kind, self.sid, self.epoch, *rest])

    def _send(self) -> None:
        """Send what the window allows; the end only to a life that is known."""
        if self.state != FLOWING and not (self.state == ASKING and self.early):
            return
        while self.sent < min(self.upto, self.total):
            at = self.sent - self.acked
            piece = bytes(self.kept[at : at + min(PIECE, self.upto - self.sent)])
            self._frame(DATA, self.sent, piece)
            self.sent += len(piece)
        if self.ended and self.sent == self.total and not self.told:
            self.told = self.finished = True
            self._frame(END, self.total)

    # What comes.

    def take(self, frame: list[Any]) -> None:
        """A frame for this session; one of another epoch counts for nothing."""
        kind, epoch = frame[0], frame[2]
        if self.state in (OVER, IDLE) or self._fenced(epoch):
            return
        self.taken += 1
        if kind == HAVE:
            self._have(*frame[3:7])
        elif kind == HEAD:
            self._head(frame[3], frame[4], frame[5])
        elif kind == PART:
            self._part(frame[3], frame[4])
        elif kind == WHOLE:
            self._whole(frame[3])
        elif kind == VERDICT:
            self.complete = True
            self._fail(Verdict(frame[3], frame[4], bool(frame[6]), frame[5] / 1000.0))
        elif kind == UNKNOWN:
            # This way has led to a new life, and all of it: what an old one has had came by ways before.
            self._fail(Verdict(MAY_HAVE_RUN if self.before else NOT_RUN, LINK_LOST, self.before))
        elif kind == LEAVE:
            self.state = LEAVING if self.state == FLOWING else IDLE
        elif kind == GONE:
            self.detach()

    def _fenced(self, epoch: int) -> bool:
        return epoch != self.epoch

    def _have(self, life: bytes, offset: int, upto: int, missing: int) -> None:
        if self.life and life != self.life:
            return  # another life knows nothing of this session: its own word is UNKNOWN
        if not self.acked <= offset <= self.total:
            return  # nobody can hold what was not sent, or forget what it held
        fresh, self.life = not self.heard, life
        if self.state == ASKING:
            self.state = FLOWING
            if self.heard and missing != 2:
                missing = 1
        self.heard = True
        if missing == 2:
            self.complete, missing = True, 0
        if not self.went:
            self.went = True
            self.teller.went()
        if offset > self.sent or (missing and not self.complete):
            self.twice += max(0, self.sent - offset)
            self.sent, self.told = offset, False
        moved, self.acked = offset - self.acked, offset
        del self.kept[:moved]
        self.upto = max(self.upto, upto) if not missing and not fresh else upto
        self._send()
        if moved and self.state != OVER:
            self.teller.window(moved)

    def _head(self, status: int, fields: bytes, length: int) -> None:
        if self.answer is None:
            self.answer = (status, fields, length)
            if 0 <= length <= WHOLE_ANSWER:
                self.collected = bytearray()
            else:
                self.teller.answered(status, fields, length, None)

    def _part(self, offset: int, data: bytes) -> None:
        if self.answer is None or offset > self.got:
            self._acknowledge(1)
            return
        fresh = data[self.got - offset :]
        if not fresh:
            return
        self.got += len(fresh)
        if self.collected is not None:
            self.collected += fresh
            self.window(len(fresh))
        else:
            self.teller.data(fresh)

    def _whole(self, total: int) -> None:
        if self.answer is None or self.got != total:
            self._acknowledge(1)
            return
        self._frame(CLOSE)
        self._over()
        if self.collected is not None:
            self.teller.answered(*self.answer, bytes(self.collected))
        else:
            self.teller.whole()

    def _fail(self, verdict: Verdict) -> None:
        self._over()
        self.teller.failed(verdict)

    def _over(self) -> None:
        self.state = OVER
        self.kept.clear()

    @property
    def owed(self) -> bool:
        """Whether the destination has yet to say something to what was sent: if not soon, this way is bad."""
        return self.state == ASKING or (
            self.state == FLOWING and not self.complete and (self.sent > self.acked or self.told)
        )

    @property
    def held(self) -> int:
        """Bytes of the body held here: at most `WINDOW` and what the client sent unasked."""
        return len(self.kept)

    @property
    def spare(self) -> int:
        """Bytes that the client may still send beyond what is held."""
        return max(0, WINDOW - len(self.kept))
