"""What a gateway knows of the sessions that pass it: which link leads to which, how much may be on the way.

Theory of operation. A gateway holds no truth: it passes frames on, and never acknowledges by itself. What it
may hold is what it has let the senders send: for each session and direction the offset granted less the
offset acknowledged, at most `WINDOW`, less where the sessions are many; the sum over all is at most
`most_bytes`, of which windows get `FOR_WINDOWS` and the rest is for sessions that begin, so that a short one
is not refused because bodies are many. A grant that does not fit is made smaller, and the rest is given,
oldest first, when others are acknowledged. A session is refused (GONE) where there is no room, while the
gateway drains, and where the rule of homes forbids the region.
"""

from __future__ import annotations

from honeywharf.sessions.kinds import (
    ACK,
    ANSWER_FIRST,
    ANSWER_WINDOW,
    CLOSE,
    DATA,
    DROP,
    END,
    FENCED,
    FIRST,
    GONE,
    HAVE,
    LANES,
    LEAVE,
    PART,
    PIECE,
    SHORT,
    UNKNOWN,
    VERDICT,
    WINDOW,
)
from honeywharf.verdict import DRAINING, FULL, LINK_LOST, OTHER_SERVICE

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any

    Path = object  # a link, as its owner knows it

MAX_SESSIONS = 4096
FOR_WINDOWS = 0.75  # of `most_bytes`


class Meter:
    """One direction of one session: `had` is acknowledged, `given` may be sent, `wanted` was granted."""

    __slots__ = ("given", "had", "wanted")

    def __init__(self, had: int, given: int, wanted: int) -> None:
        self.had, self.given, self.wanted = had, given, wanted

    @property
    def out(self) -> int:
        """Bytes that may be on their way."""
        return max(0, self.given - self.had)


class Row:
    """One session at a gateway."""

    __slots__ = (
        "answer",
        "asked",
        "body",
        "destination",
        "epoch",
        "length",
        "life",
        "sid",
        "since",
        "source",
        "whole",
    )

    def __init__(
        self,
        sid: bytes,
        epoch: int,
        source: Path,
        destination: Path,
        length: int,
        since: float,
        body: Meter,
        answer: Meter,
    ) -> None:
        self.sid, self.epoch, self.source, self.destination = sid, epoch, source, destination
        self.length, self.since = length, since
        self.body, self.answer = body, answer
        self.life = b""
        self.asked = False  # to leave
        self.whole = False  # the body's end has passed

    @property
    def rest(self) -> int:
        """Bytes of the body that the destination has not acknowledged; 0 where the length is not known."""
        return max(0, self.length - self.body.had)


class Passages:
    """All sessions that pass. `send(path, frame)`; `region`: of this gateway."""

    def __init__(
        self,
        region: str,
        send: Callable[[Path, list[Any]], None],
        most_bytes: int = 64 << 20,
        most_sessions: int = MAX_SESSIONS,
    ) -> None:
        self.region, self.send, self.most_bytes, self.most_sessions = region, send, most_bytes, most_sessions
        self.rows: dict[bytes, Row] = {}
        self.starved: dict[bytes, None] = {}
        self.granted = 0  # bytes that may be on their way, over all
        self.taking = True
        self.passed = self.refused = self.forbidden = 0
        self.bytes_up = self.bytes_down = 0  # of bodies and answers, between regions

    # From sources.

    def opens(
        self,
        now: float,
        source: Path,
        frame: list[Any],
        reach: Callable[[str, int], Path | None],
    ) -> None:
        """An OPEN. `reach(to, lane)` gives the link to a destination, or None."""
        sid, epoch, to, life = frame[1:5]
        origin, homes, length, upto, lane = frame[12], frame[13], frame[8], frame[15], frame[16]
        if lane not in LANES:
            raise ValueError(f"found lane {lane!r}, wanted one of {len(LANES)}")
        old = self.rows.get(sid)
        if old is not None and old.epoch >= epoch:
            return  # a repeated frame
        if old is not None:
            self.forget(old)
        first = FIRST if life and 0 <= length <= SHORT else 0
        why = self._refusal(origin, homes, first + ANSWER_FIRST)
        destination = reach(to, lane) if why is None else None
        if destination is None:
            self.refused += 1
            self.send(source, [GONE, sid, epoch, LINK_LOST if why is None else why])
            return
        row = Row(
            sid,
            epoch,
            source,
            destination,
            length,
            now,
            Meter(0, first, 0),
            Meter(frame[6], min(upto, frame[6] + ANSWER_FIRST), min(upto, frame[6] + ANSWER_FIRST)),
        )
        self.rows[sid] = row
        self.granted += row.body.out + row.answer.out
        if 0 <= length <= SHORT:  # a long body's answer is short: what else it needs is granted as it comes
            row.answer.wanted = min(upto, frame[6] + min(FIRST, self._share()))
            self._give(row, row.answer)
        self.passed += 1
        self.send(destination, [*frame[:15], row.answer.given, lane])

    def _refusal(self, origin: str, homes: list[str], size: int) -> int | None:
        if homes and self.region not in homes and self.region != origin:
            self.forbidden += 1
            return OTHER_SERVICE
        if not self.taking:
            return DRAINING
        room = self.granted + size <= self.most_bytes and len(self.rows) < self.most_sessions
        return None if room else FULL

    def from_source(self, source: Path, frame: list[Any]) -> None:
        """Any other frame of a source."""
        kind, sid, epoch = frame[0], frame[1], frame[2]
        row = self.rows.get(sid)
        if row is None or row.epoch != epoch or row.source is not source:
            return
        if kind == DATA:
            self.bytes_up += len(frame[4])
            if frame[3] + len(frame[4]) > row.body.given:
                self.lose(row, FULL)  # more than it was let
                return
        elif kind == END:
            self._shrink(row, frame[3])
        elif kind == ACK:
            self._grant(row, row.answer, frame[3], frame[4], ANSWER_WINDOW)
            frame = [ACK, sid, epoch, frame[3], row.answer.given, frame[5]]
        self.send(row.destination, frame)
        if kind in (CLOSE, DROP):
            self.forget(row)

    # From destinations.

    def from_destination(self, destination: Path, frame: list[Any]) -> None:
        """A frame of a destination."""
        kind, sid, epoch = frame[0], frame[1], frame[2]
        row = self.rows.get(sid)
        if row is None or row.epoch != epoch or row.destination is not destination:
            return
        if kind == HAVE:
            row.life = frame[3]
            self._grant(row, row.body, frame[4], frame[5], WINDOW)
            frame = [HAVE, sid, epoch, frame[3], frame[4], row.body.given, frame[6]]
        elif kind == PART:
            self.bytes_down += len(frame[4])
        if kind != FENCED:  # who sent the newer epoch knows
            self.send(row.source, frame)
        if kind in (VERDICT, UNKNOWN, FENCED):
            self.forget(row)

    def _grant(self, row: Row, meter: Meter, had: int, wanted: int, window: int) -> None:
        """An acknowledgement: what it sets free is given out, here first as far as it was granted."""
        before = meter.out
        meter.had = max(meter.had, had)
        meter.given = max(meter.given, meter.had)
        if meter is row.body and row.whole:
            wanted = meter.wanted
        meter.wanted = max(meter.wanted, min(wanted, meter.had + min(window, self._share())))
        self.granted += meter.out - before
        self._give(row, meter)
        if meter.given < meter.wanted:
            self.starved[row.sid] = None
        self._feed(row.sid)

    def _shrink(self, row: Row, total: int) -> None:
        """The body is whole: what it was granted beyond its end is free."""
        before, row.whole = row.body.out, True
        row.body.given = row.body.wanted = max(row.body.had, min(row.body.given, total))
        self.granted += row.body.out - before
        self._feed(row.sid)

    def _share(self) -> int:
        """Bytes of a window, where all sessions have one."""
        return max(PIECE, int(FOR_WINDOWS * self.most_bytes) // max(1, len(self.rows)))

    def _give(self, row: Row, meter: Meter) -> bool:
        more = min(meter.wanted - meter.given, int(FOR_WINDOWS * self.most_bytes) - self.granted)
        if more <= 0:
            return False
        meter.given += more
        self.granted += more
        return True

    def _feed(self, but: bytes) -> None:
        """Give what is free to those who waited for it longest."""
        for sid in list(self.starved):
            if self.granted >= int(FOR_WINDOWS * self.most_bytes):
                return
            row = self.rows.get(sid)
            if row is None or (row.body.given >= row.body.wanted and row.answer.given >= row.answer.wanted):
                del self.starved[sid]
                continue
            if sid == but:
                continue
            if self._give(row, row.body):
                self.send(row.source, [HAVE, sid, row.epoch, row.life, row.body.had, row.body.given, 0])
            if self._give(row, row.answer):
                self.send(row.destination, [ACK, sid, row.epoch, row.answer.had, row.answer.given, 0])

    # Ends.

    def forget(self, row: Row) -> None:
        """Drop a session's row."""
        if self.rows.get(row.sid) is row:
            del self.rows[row.sid]
            self.starved.pop(row.sid, None)
            self.granted -= row.body.out + row.answer.out
            self._feed(b"")

    def lose(self, row: Row, why: int) -> None:
        """This way of a session ends here: both ends are told."""
        self.forget(row)
        self.send(row.source, [GONE, row.sid, row.epoch, why])
        self.send(row.destination, [GONE, row.sid, row.epoch, why])

    def path_lost(self, path: Path) -> None:
        """A link is gone: the other end of each of its sessions is told."""
        for row in list(self.rows.values()):
            if row.source is path or row.destination is path:
                self.forget(row)
                self.send(
                    row.destination if row.source is path else row.source,
                    [GONE, row.sid, row.epoch, LINK_LOST],
                )

    def ask_to_leave(self, row: Row) -> None:
        """Have a session go on by another way; its row stays until its source does so."""
        row.asked = True
        self.send(row.source, [LEAVE, row.sid, row.epoch])
