"""The sessions that a gateway relays: which link leads to which, and how many bytes may be in flight.

Theory of operation. A gateway keeps no state that matters beyond a session's present path: it passes frames
on, and never acknowledges anything itself. It buffers at most what it has allowed the senders to send. For
each session and direction that is the offset granted less the offset acknowledged: at most `WINDOW_BYTES`,
and less where there are many sessions. Over all sessions it is at most `max_bytes`. Windows may use up to
`WINDOW_SHARE` of that. The rest is for new sessions, so that a short one is not rejected because of many long
bodies. A grant that does not fit is reduced, and the remainder is granted, oldest first, when other sessions
are acknowledged. A session is rejected (GONE) where there is no capacity, while the gateway drains, and where
its allowed regions exclude this one.
"""

from __future__ import annotations

from honeywharf.sessions.frames import (
    ACK,
    ANSWER_WINDOW_BYTES,
    CHUNK_BYTES,
    CLOSE,
    DATA,
    DROP,
    END,
    FENCED,
    GONE,
    HAVE,
    INITIAL_ANSWER_BYTES,
    INITIAL_BODY_BYTES,
    LEAVE,
    PART,
    PRIORITY_CLASSES,
    SHORT_BODY_BYTES,
    UNKNOWN,
    VERDICT,
    WINDOW_BYTES,
)
from honeywharf.verdict import DRAINING, FULL, LINK_LOST, OTHER_SERVICE

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any

    Link = object  # A link; opaque here.

MAX_SESSIONS = 4096
WINDOW_SHARE = 0.75  # The part of `max_bytes` for windows; the rest is for new sessions.


class FlowWindow:
    """The flow control of one direction of one session, as offsets in bytes.

    `acked`: the receiver has acknowledged up to here. `requested`: the receiver allows up to here. `granted`:
    the gateway allows up to here; it follows `requested` as capacity permits.
    """

    __slots__ = ("acked", "granted", "requested")

    def __init__(self, acked: int, granted: int, requested: int) -> None:
        self.acked, self.granted, self.requested = acked, granted, requested

    @property
    def in_flight(self) -> int:
        """The number of bytes that may be in flight."""
        return max(0, self.granted - self.acked)


class RelayedSession:
    """One session on its present path through this gateway."""

    __slots__ = (
        "answer",
        "body",
        "body_ended",
        "destination",
        "epoch",
        "incarnation",
        "leave_requested",
        "length",
        "opened_at",
        "session_id",
        "source",
    )

    def __init__(
        self,
        session_id: bytes,
        epoch: int,
        source: Link,
        destination: Link,
        length: int,
        opened_at: float,
        body: FlowWindow,
        answer: FlowWindow,
    ) -> None:
        self.session_id, self.epoch, self.source, self.destination = session_id, epoch, source, destination
        self.length, self.opened_at = length, opened_at
        self.body, self.answer = body, answer
        self.incarnation = b""
        self.leave_requested = False
        self.body_ended = False  # END has been relayed.

    @property
    def remaining_bytes(self) -> int:
        """Bytes of the body that the destination has not acknowledged; 0 where the length is not known."""
        return max(0, self.length - self.body.acked)


class Relay:
    """All sessions of one gateway. `send(link, frame)` sends a frame; `region` is the gateway's."""

    def __init__(
        self,
        region: str,
        send: Callable[[Link, list[Any]], None],
        max_bytes: int = 64 << 20,
        max_sessions: int = MAX_SESSIONS,
    ) -> None:
        self.region, self.send, self.max_bytes, self.max_sessions = region, send, max_bytes, max_sessions
        self.relayed_sessions: dict[bytes, RelayedSession] = {}
        self.waiting_for_grant: dict[bytes, None] = {}
        self.in_flight_bytes = 0  # The sum over all sessions and both directions.
        self.accepts_sessions = True
        self.passed = self.rejected = self.forbidden = 0
        self.bytes_up = self.bytes_down = 0  # Bytes of bodies and of answers relayed.

    # From sources.

    def open_session(
        self,
        now: float,
        source: Link,
        frame: list[Any],
        link_to: Callable[[str, int], Link | None],
    ) -> None:
        """Handles OPEN. `link_to(to, priority_class)` returns the link to a destination, or None."""
        session_id, epoch, to, incarnation = frame[1:5]
        origin, allowed_regions, length, window_end, priority_class = (
            frame[12],
            frame[13],
            frame[8],
            frame[15],
            frame[16],
        )
        if priority_class not in PRIORITY_CLASSES:
            raise ValueError(
                f"priority class: expected one of {len(PRIORITY_CLASSES)}, got {priority_class!r}"
            )
        old = self.relayed_sessions.get(session_id)
        if old is not None and old.epoch >= epoch:
            return  # A duplicate frame.
        if old is not None:
            self.remove(old)
        first = INITIAL_BODY_BYTES if incarnation and 0 <= length <= SHORT_BODY_BYTES else 0
        reason = self._rejection_reason(origin, allowed_regions, first + INITIAL_ANSWER_BYTES)
        destination = link_to(to, priority_class) if reason is None else None
        if destination is None:
            self.rejected += 1
            self.send(source, [GONE, session_id, epoch, LINK_LOST if reason is None else reason])
            return
        session = RelayedSession(
            session_id,
            epoch,
            source,
            destination,
            length,
            now,
            FlowWindow(0, first, 0),
            FlowWindow(
                frame[6],
                min(window_end, frame[6] + INITIAL_ANSWER_BYTES),
                min(window_end, frame[6] + INITIAL_ANSWER_BYTES),
            ),
        )
        self.relayed_sessions[session_id] = session
        self.in_flight_bytes += session.body.in_flight + session.answer.in_flight
        # The answer to a long body is expected to be short: more is granted as the destination acknowledges.
        if 0 <= length <= SHORT_BODY_BYTES:
            session.answer.requested = min(
                window_end, frame[6] + min(INITIAL_BODY_BYTES, self._window_share())
            )
            self._extend_grant(session, session.answer)
        self.passed += 1
        self.send(destination, [*frame[:15], session.answer.granted, priority_class])

    def _rejection_reason(self, origin: str, allowed_regions: list[str], size: int) -> int | None:
        if allowed_regions and self.region not in allowed_regions and self.region != origin:
            self.forbidden += 1
            return OTHER_SERVICE
        if not self.accepts_sessions:
            return DRAINING
        has_capacity = (
            self.in_flight_bytes + size <= self.max_bytes and len(self.relayed_sessions) < self.max_sessions
        )
        return None if has_capacity else FULL

    def from_source(self, source: Link, frame: list[Any]) -> None:
        """Relays any other frame of a source."""
        kind, session_id, epoch = frame[0], frame[1], frame[2]
        session = self.relayed_sessions.get(session_id)
        if session is None or session.epoch != epoch or session.source is not source:
            return
        if kind == DATA:
            self.bytes_up += len(frame[4])
            if frame[3] + len(frame[4]) > session.body.granted:
                self.fail(session, FULL)  # The source sent more than was granted.
                return
        elif kind == END:
            self._end_body(session, frame[3])
        elif kind == ACK:
            self._acknowledge(session, session.answer, frame[3], frame[4], ANSWER_WINDOW_BYTES)
            frame = [ACK, session_id, epoch, frame[3], session.answer.granted, frame[5]]
        self.send(session.destination, frame)
        if kind in (CLOSE, DROP):
            self.remove(session)

    # From destinations.

    def from_destination(self, destination: Link, frame: list[Any]) -> None:
        """Relays a frame of a destination."""
        kind, session_id, epoch = frame[0], frame[1], frame[2]
        session = self.relayed_sessions.get(session_id)
        if session is None or session.epoch != epoch or session.destination is not destination:
            return
        if kind == HAVE:
            session.incarnation = frame[3]
            self._acknowledge(session, session.body, frame[4], frame[5], WINDOW_BYTES)
            frame = [HAVE, session_id, epoch, frame[3], frame[4], session.body.granted, frame[6]]
        elif kind == PART:
            self.bytes_down += len(frame[4])
        if kind != FENCED:  # After FENCED the source knows, as it has sent the newer epoch.
            self.send(session.source, frame)
        if kind in (VERDICT, UNKNOWN, FENCED):
            self.remove(session)

    def _acknowledge(
        self, session: RelayedSession, flow_window: FlowWindow, acked: int, requested: int, max_window: int
    ) -> None:
        """Handles an acknowledgement: grants the capacity it frees, first to this session."""
        before = flow_window.in_flight
        flow_window.acked = max(flow_window.acked, acked)
        flow_window.granted = max(flow_window.granted, flow_window.acked)
        if flow_window is session.body and session.body_ended:
            requested = flow_window.requested
        flow_window.requested = max(
            flow_window.requested, min(requested, flow_window.acked + min(max_window, self._window_share()))
        )
        self.in_flight_bytes += flow_window.in_flight - before
        self._extend_grant(session, flow_window)
        if flow_window.granted < flow_window.requested:
            self.waiting_for_grant[session.session_id] = None
        self._serve_waiting(session.session_id)

    def _end_body(self, session: RelayedSession, total: int) -> None:
        """Handles END: takes back what was granted beyond the end of the body."""
        before, session.body_ended = session.body.in_flight, True
        session.body.granted = session.body.requested = max(
            session.body.acked, min(session.body.granted, total)
        )
        self.in_flight_bytes += session.body.in_flight - before
        self._serve_waiting(session.session_id)

    def _window_share(self) -> int:
        """Returns the bytes of one window if all sessions share the capacity for windows evenly."""
        return max(CHUNK_BYTES, int(WINDOW_SHARE * self.max_bytes) // max(1, len(self.relayed_sessions)))

    def _extend_grant(self, session: RelayedSession, flow_window: FlowWindow) -> bool:
        more = min(
            flow_window.requested - flow_window.granted,
            int(WINDOW_SHARE * self.max_bytes) - self.in_flight_bytes,
        )
        if more <= 0:
            return False
        flow_window.granted += more
        self.in_flight_bytes += more
        return True

    def _serve_waiting(self, excluded: bytes) -> None:
        """Grants free capacity to the sessions that have waited longest."""
        for session_id in list(self.waiting_for_grant):
            if self.in_flight_bytes >= int(WINDOW_SHARE * self.max_bytes):
                return
            session = self.relayed_sessions.get(session_id)
            if session is None or (
                session.body.granted >= session.body.requested
                and session.answer.granted >= session.answer.requested
            ):
                del self.waiting_for_grant[session_id]
                continue
            if session_id == excluded:
                continue
            if self._extend_grant(session, session.body):
                self.send(
                    session.source,
                    [
                        HAVE,
                        session_id,
                        session.epoch,
                        session.incarnation,
                        session.body.acked,
                        session.body.granted,
                        0,
                    ],
                )
            if self._extend_grant(session, session.answer):
                self.send(
                    session.destination,
                    [ACK, session_id, session.epoch, session.answer.acked, session.answer.granted, 0],
                )

    # Ends of paths.

    def remove(self, session: RelayedSession) -> None:
        """Removes a session and frees its capacity."""
        if self.relayed_sessions.get(session.session_id) is session:
            del self.relayed_sessions[session.session_id]
            self.waiting_for_grant.pop(session.session_id, None)
            self.in_flight_bytes -= session.body.in_flight + session.answer.in_flight
            self._serve_waiting(b"")

    def fail(self, session: RelayedSession, reason: int) -> None:
        """Ends this path of a session and notifies both ends."""
        self.remove(session)
        self.send(session.source, [GONE, session.session_id, session.epoch, reason])
        self.send(session.destination, [GONE, session.session_id, session.epoch, reason])

    def link_lost(self, link: Link) -> None:
        """Handles the loss of a link: notifies the other end of each of its sessions."""
        for session in list(self.relayed_sessions.values()):
            if session.source is link or session.destination is link:
                self.remove(session)
                self.send(
                    session.destination if session.source is link else session.source,
                    [GONE, session.session_id, session.epoch, LINK_LOST],
                )

    def ask_to_leave(self, session: RelayedSession) -> None:
        """Asks a session to continue on another path; it stays here until its source does so."""
        session.leave_requested = True
        self.send(session.source, [LEAVE, session.session_id, session.epoch])
