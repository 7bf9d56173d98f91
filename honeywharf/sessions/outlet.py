"""The destination's end of all sessions: half-finished bodies, the ledger, answers until they came.

Theory of operation. A session is known here from its first OPEN on until its deadline has passed by
`LEDGER_S`, whatever becomes of it; so within one life of the destination nothing is run twice, and what is
not known was never begun in this life. A life that has ended takes its ledger with it: an OPEN that names
it, or that was heard by it, is answered UNKNOWN, and the source alone says what that means. A body is held
whole, and its END is here (which is sent only to a life that is known, with an empty body too), before `run`
is called: what has not come whole has not run. The ledger has the attempt from its head on, so before a
backend can see it.

    state     whole body   answer begins   verdict     way lost long   DROP
    HOLDING   RUNNING      .               OVER        OVER (not run)  OVER (not run)
    RUNNING   .            ANSWERING       OVER        goes on         OVER (may have run)
    ANSWERING .            .               OVER        goes on         OVER (may have run)
    OVER      what was told is told again, until the entry is forgotten

An attempt that comes by another session joins the first, if it asks for the same thing: it is told the same
verdict or answer. Bounds: `hold` for bodies; `MAX_ENTRIES`; `MAX_JOINED` for each; `MAX_ANSWERS` bytes of
answers that came and are kept for one who asks again: the oldest goes first, and then the word is "may have
run".
"""

from __future__ import annotations

from honeywharf.sessions.hold import Hold
from honeywharf.sessions.kinds import (
    ACK,
    CLOSE,
    DATA,
    DROP,
    END,
    FENCED,
    GONE,
    HAVE,
    HEAD,
    OPEN,
    PART,
    PIECE,
    STALE_S,
    UNKNOWN,
    VERDICT,
    WHOLE,
    WINDOW,
)
from honeywharf.verdict import (
    CANCELLED,
    CONNECTION_BROKEN,
    FULL,
    LINK_LOST,
    MAY_HAVE_RUN,
    NOT_RUN,
    OTHER_SERVICE,
    TOO_LATE,
    Verdict,
)

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any

    Path = object  # a link to a gateway, as its owner knows it

HOLDING, RUNNING, ANSWERING, OVER = range(4)
STATES = ("holding", "running", "answering", "over")
LEDGER_S = 30.0  # an attempt is remembered past its deadline: longer than any frame is on its way
APART_S = 5.0  # without a way or a byte, after which a half-finished body is given up
MAX_ENTRIES = 16384
MAX_JOINED = 4
MAX_ANSWERS = 8 << 20  # bytes of answers that were told


class Outlet:
    """One session at its destination. Times are seconds of the steady clock."""

    __slots__ = (
        "answer",
        "attempt",
        "base",
        "came",
        "credit",
        "epoch",
        "have",
        "head",
        "joined",
        "kept",
        "length",
        "moved_at",
        "parts",
        "path",
        "reserved",
        "sent",
        "sid",
        "state",
        "tenant",
        "until",
        "upto",
        "verdict",
        "whole",
        "work",
    )

    def __init__(
        self,
        sid: bytes,
        attempt: bytes,
        length: int,
        tenant: str,
        head: object,
        until: float,
    ) -> None:
        self.sid, self.attempt, self.length, self.tenant = sid, attempt, length, tenant
        self.head, self.until = head, until
        self.epoch = 0
        self.path: Path | None = None
        self.parts: list[bytes] = []
        self.have = 0
        self.reserved = -1  # bytes of room; -1: none is held
        self.state = HOLDING
        self.moved_at = 0.0
        self.verdict: Verdict | None = None
        self.answer: tuple[int, bytes, int] | None = None
        self.kept = bytearray()  # of the answer, from `base` on
        self.base = self.came = self.sent = self.upto = 0  # bytes of the answer
        self.whole = False  # the answer is here whole
        self.credit = 0  # bytes of the answer that went on and were not yet told to the work
        self.joined: list[Outlet] = []  # sessions that brought the same attempt
        self.work: Any = None  # of the owner

    def body(self) -> bytes:
        """The whole body; it is forgotten here."""
        body, self.parts = b"".join(self.parts), []
        return body


class Outlets:
    """All sessions of one life of a destination.

    `send(path, frame)` sends a frame. `run(outlet)` has the backend work on a whole request; `stop(outlet)`
    ends that; `flowed(outlet, size)`: so many bytes of the answer went on. `region`: where this is.
    """

    def __init__(
        self,
        life: bytes,
        region: str,
        hold: Hold,
        send: Callable[[Path, list[Any]], None],
        run: Callable[[Outlet], None],
        stop: Callable[[Outlet], None],
        flowed: Callable[[Outlet, int], None],
        most_entries: int = MAX_ENTRIES,
        most_answers: int = MAX_ANSWERS,
    ) -> None:
        self.life, self.region, self.hold, self.send = life, region, hold, send
        self.run, self.stop, self.flowed = run, stop, flowed
        self.most_entries, self.most_answers = most_entries, most_answers
        self.sessions: dict[bytes, Outlet] = {}
        self.ledger: dict[bytes, Outlet] = {}  # by attempt: the first session that brought it
        self.told: dict[bytes, int] = {}  # answers that came and are kept: bytes by session, oldest first
        self.told_bytes = 0
        self.refused = self.fenced = self.joins = 0

    # What comes.

    def take(self, now: float, wall_ms: int, path: Path, frame: list[Any]) -> None:
        """A frame by a way. ValueError, TypeError or IndexError where it is none."""
        kind, sid, epoch = frame[0], frame[1], frame[2]
        if kind == OPEN:
            self._open(now, wall_ms, path, frame)
            return
        outlet = self.sessions.get(sid)
        if outlet is None or self._fenced(outlet, epoch):
            return
        if kind == DATA:
            self._data(now, outlet, frame[3], frame[4])
        elif kind == END:
            self._end(now, outlet, frame[3])
        elif kind == ACK:
            self._ack(outlet, frame[3], frame[4], frame[5])
        elif kind == CLOSE:
            self._closed(outlet)
        elif kind == DROP:
            self._drop(outlet)
        elif kind == GONE:
            outlet.path, outlet.moved_at = None, now

    def _fenced(self, outlet: Outlet, epoch: int) -> bool:
        if epoch == outlet.epoch:
            return False
        self.fenced += 1
        return True

    def _newer(self, outlet: Outlet, epoch: int) -> bool:
        return epoch > outlet.epoch

    def _open(self, now: float, wall_ms: int, path: Path, frame: list[Any]) -> None:
        (
            sid,
            epoch,
            _,
            life,
            heard,
            got,
            attempt,
            length,
            remaining,
            expires,
            tenant,
            _,
            homes,
            head,
            upto,
        ) = frame[1:16]
        if not isinstance(sid, bytes) or len(sid) != 16 or not isinstance(attempt, bytes):
            raise ValueError("found a session without an id of 16 bytes, wanted one")
        outlet = self.sessions.get(sid)
        if outlet is not None:
            if outlet.attempt == attempt and self._newer(outlet, epoch):
                self._attach(now, outlet, epoch, path, got, upto)
            elif epoch != outlet.epoch or path is not outlet.path:  # else a frame that came twice
                self.send(path, [FENCED, sid, epoch])
            return
        if (life and life != self.life) or heard:
            self.send(path, [UNKNOWN, sid, epoch, self.life])
            return
        refusal = self._refusal(wall_ms, expires, homes)
        if refusal is not None:
            self._refuse(path, sid, epoch, refusal)
            return
        fresh = Outlet(sid, attempt, length, tenant, head, now + remaining / 1000.0)
        self._begin(now, path, fresh, epoch, upto)

    def _refusal(self, wall_ms: int, expires: int, homes: list[str]) -> int | None:
        """Why nothing is begun, or None."""
        if wall_ms > expires + STALE_S * 1000.0:
            return TOO_LATE
        if homes and self.region not in homes:
            return OTHER_SERVICE
        return FULL if len(self.sessions) >= self.most_entries else None

    def _refuse(self, path: Path, sid: bytes, epoch: int, why: int) -> None:
        self.refused += 1
        self.send(path, [VERDICT, sid, epoch, NOT_RUN, why, 0, 0])

    def _begin(self, now: float, path: Path, outlet: Outlet, epoch: int, upto: int) -> None:
        first = self.ledger.get(outlet.attempt)
        if first is not None:
            self._join(now, first, outlet, path, epoch, upto)
            return
        size = outlet.length if outlet.length >= 0 else WINDOW
        if not self.hold.enter(outlet.tenant, size):
            self._refuse(path, outlet.sid, epoch, FULL)
            return
        outlet.reserved = size
        self._enter(outlet)
        self._attach(now, outlet, epoch, path, 0, upto)

    def _enter(self, outlet: Outlet) -> None:
        self.sessions[outlet.sid] = outlet
        self.ledger.setdefault(outlet.attempt, outlet)

    def _join(self, now: float, first: Outlet, outlet: Outlet, path: Path, epoch: int, upto: int) -> None:
        """The same attempt by another session: it is told what the first is told."""
        same = _asked(first.head) == _asked(outlet.head) and first.length == outlet.length
        if not same or len(first.joined) >= MAX_JOINED:
            self.refused += 1
            self.send(path, [VERDICT, outlet.sid, epoch, MAY_HAVE_RUN, LINK_LOST, 0, 0])
            return
        self.joins += 1
        outlet.state, outlet.until = RUNNING, first.until  # of its own body nothing is wanted
        first.joined.append(outlet)
        self.sessions[outlet.sid] = outlet
        outlet.epoch, outlet.path, outlet.upto, outlet.moved_at = epoch, path, upto, now
        if first.state == OVER or first.whole or first.base:
            self._copy(first, outlet)

    def _copy(self, first: Outlet, outlet: Outlet) -> None:
        """Give a joined session what the first was told, where it is all here still."""
        if first.verdict is not None:
            self._finish(outlet, first.verdict)
        elif first.base or not first.whole:
            self._finish(outlet, Verdict(MAY_HAVE_RUN, LINK_LOST, True))
        else:
            outlet.answer, outlet.kept, outlet.came = first.answer, bytearray(first.kept), first.came
            outlet.state, outlet.whole = ANSWERING, True
            self._tell(outlet, 0)

    # Ways.

    def _attach(self, now: float, outlet: Outlet, epoch: int, path: Path, got: int, upto: int) -> None:
        """A new way: what is behind the old one is fenced, what the source lacks goes by this one."""
        if outlet.path is not None and outlet.path is not path:
            self.send(outlet.path, [FENCED, outlet.sid, outlet.epoch])
        outlet.epoch, outlet.path, outlet.moved_at = epoch, path, now
        outlet.upto = upto
        if outlet.state == OVER and outlet.verdict is not None:
            self._say(outlet, outlet.verdict)
            return
        self._have(outlet, 0)
        if outlet.answer is not None:
            self._rewind(outlet, got)

    def path_lost(self, now: float, path: Path) -> None:
        """A link is gone: its sessions wait for another."""
        for outlet in self.sessions.values():
            if outlet.path is path:
                outlet.path, outlet.moved_at = None, now

    # The body.

    def _have(self, outlet: Outlet, missing: int) -> None:
        if outlet.path is not None:
            if outlet.length < 0 and outlet.state == HOLDING:
                self._grow(outlet)
            upto = min(outlet.have + WINDOW, outlet.length if outlet.length >= 0 else outlet.reserved)
            code = missing if outlet.state == HOLDING else 2
            self.send(outlet.path, [HAVE, outlet.sid, outlet.epoch, self.life, outlet.have, upto, code])

    def _grow(self, outlet: Outlet) -> None:
        """Reserve a window more for a body of unknown length; without room its source waits."""
        wanted = outlet.have + WINDOW - outlet.reserved
        if wanted > 0 and self.hold.grow(outlet.tenant, wanted):
            outlet.reserved += wanted

    def _data(self, now: float, outlet: Outlet, offset: int, data: bytes) -> None:
        if outlet.state != HOLDING:
            return
        if offset > outlet.have:
            self._have(outlet, 1)
            return
        fresh = data[outlet.have - offset :]
        if outlet.have + len(fresh) > outlet.reserved:
            self._finish(outlet, Verdict(NOT_RUN, FULL))  # more than was granted
            return
        if fresh:
            outlet.parts.append(fresh)
            outlet.have += len(fresh)
            outlet.moved_at = now
        self._have(outlet, 0)

    def _end(self, now: float, outlet: Outlet, total: int) -> None:
        if outlet.state != HOLDING:
            return
        if total != outlet.have:
            self._have(outlet, 1)
            return
        if outlet.length >= 0 and total != outlet.length:
            self._finish(outlet, Verdict(NOT_RUN, CONNECTION_BROKEN))
            return
        outlet.moved_at = now
        self._start(outlet)

    def _start(self, outlet: Outlet) -> None:
        """All of it is here: it is the backend's. The ledger has had it since its head came."""
        outlet.state = RUNNING
        self._have(outlet, 0)
        self.run(outlet)

    # The answer, as the owner tells it.

    def answered(self, outlet: Outlet, status: int, fields: bytes, length: int) -> None:
        """The backend's answer begins."""
        if outlet.state == RUNNING:
            outlet.state, outlet.answer = ANSWERING, (status, fields, length)
            self._free(outlet)
            self._tell(outlet, 0)

    def answer_data(self, outlet: Outlet, data: bytes) -> None:
        """A part of its body; what is here unacknowledged is bounded by what `flowed` gave."""
        if outlet.state == ANSWERING:
            outlet.kept += data
            outlet.came += len(data)
            self._push(outlet)

    def answer_whole(self, outlet: Outlet) -> None:
        """It is whole."""
        if outlet.state == ANSWERING:
            outlet.whole, outlet.work = True, None
            self._push(outlet)
            for joined in outlet.joined:
                if joined.state == RUNNING:
                    self._copy(outlet, joined)

    def failed(self, outlet: Outlet, verdict: Verdict) -> None:
        """The gate refused, or the attempt failed."""
        if outlet.state in (RUNNING, ANSWERING):
            self._finish(outlet, verdict)

    def _tell(self, outlet: Outlet, at: int) -> None:
        """Tell the answer's head, and what follows from an offset on."""
        assert outlet.answer is not None
        if outlet.path is not None:
            self.send(outlet.path, [HEAD, outlet.sid, outlet.epoch, *outlet.answer])
        outlet.sent = at
        self._push(outlet)

    def _rewind(self, outlet: Outlet, got: int) -> None:
        if outlet.base <= got <= outlet.came:
            self._acked(outlet, got)
            self._tell(outlet, got)
        elif outlet.path is not None:  # what it lacks is not kept any more
            self._say(outlet, Verdict(MAY_HAVE_RUN, LINK_LOST, True))

    def _push(self, outlet: Outlet) -> None:
        path = outlet.path
        if path is None:
            return
        while outlet.sent < min(outlet.came, outlet.upto):
            at = outlet.sent - outlet.base
            piece = bytes(outlet.kept[at : at + min(PIECE, outlet.upto - outlet.sent)])
            self.send(path, [PART, outlet.sid, outlet.epoch, outlet.sent, piece])
            outlet.sent += len(piece)
        if outlet.whole and outlet.sent == outlet.came:
            self.send(path, [WHOLE, outlet.sid, outlet.epoch, outlet.came])

    def _ack(self, outlet: Outlet, got: int, upto: int, missing: int) -> None:
        if outlet.answer is None or not outlet.base <= got <= outlet.came:
            return
        outlet.upto = max(outlet.upto, upto)
        self._acked(outlet, got)
        if missing:
            self._tell(outlet, got)
        elif outlet.sent < outlet.came:
            self._push(outlet)

    def _acked(self, outlet: Outlet, got: int) -> None:
        """Bytes that the source has; a short answer is kept for one who asks again."""
        moved = got - max(outlet.base, outlet.credit)
        if moved > 0:
            outlet.credit = got
            self.flowed(outlet, moved)
        if outlet.came > WINDOW or not outlet.whole:
            self._forget(outlet, got)

    @staticmethod
    def _forget(outlet: Outlet, got: int) -> None:
        if got > outlet.base and got > PIECE:
            del outlet.kept[: got - outlet.base]
            outlet.base = got

    def _closed(self, outlet: Outlet) -> None:
        """The source has all of it: what is kept is kept for one who brings the attempt again."""
        if outlet.state == ANSWERING and outlet.whole:
            outlet.state = OVER
            outlet.path = None
            self.told[outlet.sid] = len(outlet.kept)
            self.told_bytes += len(outlet.kept)
            while self.told_bytes > self.most_answers:
                self._forget_told(next(iter(self.told)))

    def _forget_told(self, sid: bytes) -> None:
        size = self.told.pop(sid, 0)
        self.told_bytes -= size
        outlet = self.sessions.get(sid)
        if outlet is not None:
            outlet.kept = bytearray()
            outlet.verdict = Verdict(MAY_HAVE_RUN, LINK_LOST, True)

    # Ends.

    def _drop(self, outlet: Outlet) -> None:
        if outlet.state == HOLDING:
            self._finish(outlet, Verdict(NOT_RUN, CANCELLED))
        elif outlet.state in (RUNNING, ANSWERING):
            self._cancelled(outlet)

    def _cancelled(self, outlet: Outlet) -> None:
        if any(joined.state != OVER for joined in outlet.joined):
            outlet.path = None  # others wait for it
            return
        if outlet.work is not None:
            self.stop(outlet)
        self._finish(outlet, Verdict(MAY_HAVE_RUN, CANCELLED, True))

    def _finish(self, outlet: Outlet, verdict: Verdict) -> None:
        """A verdict, for this one and for those who joined it; it is told again to who asks again."""
        if outlet.state == OVER:
            return
        outlet.state, outlet.verdict, outlet.work = OVER, verdict, None
        self._free(outlet)
        outlet.kept = bytearray()
        self._say(outlet, verdict)
        for joined in outlet.joined:
            if joined.state == RUNNING:
                self._finish(joined, verdict)

    def _say(self, outlet: Outlet, verdict: Verdict) -> None:
        if outlet.path is not None:
            self.send(
                outlet.path,
                [
                    VERDICT,
                    outlet.sid,
                    outlet.epoch,
                    verdict.ran,
                    verdict.why,
                    int(verdict.retry_after_s * 1000.0),
                    int(verdict.reached_backend),
                ],
            )

    def _free(self, outlet: Outlet) -> None:
        """Give the room of its body back."""
        if outlet.reserved >= 0:
            self.hold.leave(outlet.tenant, outlet.reserved)
            outlet.reserved = -1
        outlet.parts = []

    def due(self, now: float) -> None:
        """Give up half-finished bodies that nothing comes for, and forget what is long over."""
        for outlet in list(self.sessions.values()):
            if outlet.state == HOLDING and (now >= outlet.until or now - outlet.moved_at >= APART_S):
                self._finish(outlet, Verdict(NOT_RUN, TOO_LATE if now >= outlet.until else LINK_LOST))
            if now >= outlet.until:
                self._closed(outlet)  # whoever asked has given up
            if now >= outlet.until + LEDGER_S and outlet.work is None:
                self._forget_all(outlet)

    def _forget_all(self, outlet: Outlet) -> None:
        self._free(outlet)
        if outlet.sid in self.told:
            self._forget_told(outlet.sid)
        del self.sessions[outlet.sid]
        if self.ledger.get(outlet.attempt) is outlet:
            del self.ledger[outlet.attempt]


def _asked(head: object) -> object:
    """What is asked for: of a head in two parts the first; the second is what may differ from try to try."""
    return head[0] if isinstance(head, list) and head else head
