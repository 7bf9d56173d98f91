"""The destination's end of all sessions: bodies, the idempotency table, and unacknowledged answers.

Theory of operation. A session is kept from its first OPEN until `IDEMPOTENCY_RETENTION_S` after its deadline,
whatever its outcome. Within one incarnation of the destination nothing therefore runs twice, and what is not
known was never begun in it. A restart loses the table: an OPEN that names an earlier incarnation, or was
answered by one, is answered with UNKNOWN, and the source alone decides what that means. `run` is called only
once the complete body and its END are here. END is sent only to a known incarnation, for an empty body too.
What has not arrived completely has not run. An attempt is in the idempotency table from its head on, before a
backend can see it.

    state     complete body  answer begins  verdict    path lost for long  DROP
    RECEIVING RUNNING        .              FINISHED   FINISHED (not run)  FINISHED (not run)
    RUNNING   .              ANSWERING      FINISHED   goes on             FINISHED (may have run)
    ANSWERING .              .              FINISHED   goes on             FINISHED (may have run)
    FINISHED  the outcome is sent again on request, until the entry is removed

A session that brings an attempt already known joins the first one, if it requests the same operation, and
gets the same verdict or answer. Bounds: `body_quota` for bodies; `MAX_SESSIONS`; `MAX_JOINED` for each
attempt; `MAX_KEPT_ANSWER_BYTES` for acknowledged answers that are kept for a repeated attempt. The oldest
answer is discarded first, and the outcome of its attempt is "may have run" from then on.
"""

from __future__ import annotations

from honeywharf.sessions.body_quota import BodyQuota
from honeywharf.sessions.frames import (
    ACK,
    CHUNK_BYTES,
    CLOSE,
    DATA,
    DROP,
    END,
    EXPIRY_TOLERANCE_S,
    FENCED,
    GONE,
    HAVE,
    HEAD,
    OPEN,
    PART,
    UNKNOWN,
    VERDICT,
    WHOLE,
    WINDOW_BYTES,
)
from honeywharf.verdict import (
    CANCELLED,
    CONNECTION_BROKEN,
    FULL,
    LINK_LOST,
    MAY_HAVE_RUN,
    NOT_RUN,
    OTHER_SERVICE,
    SHUTTING_DOWN,
    TOO_LATE,
    Verdict,
)

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any

    Link = object  # A link to a gateway; opaque here.

RECEIVING, RUNNING, ANSWERING, FINISHED = range(4)
STATES = ("holding", "running", "answering", "over")
# An attempt is kept this long past its deadline: longer than any frame can be in flight.
IDEMPOTENCY_RETENTION_S = 30.0
DETACHED_TIMEOUT_S = 5.0  # An incomplete body is dropped after this time without progress.
MAX_SESSIONS = 16384
MAX_JOINED = 4
MAX_KEPT_ANSWER_BYTES = 8 << 20


class Receiver:
    """One session at its destination. Times are seconds of the steady clock."""

    __slots__ = (
        "answer_complete",
        "answer_consumed",
        "answer_head",
        "answer_limit",
        "answer_received",
        "answer_sent",
        "answer_start",
        "attempt",
        "body_parts",
        "body_received",
        "deadline",
        "epoch",
        "handler",
        "head",
        "joined",
        "kept_answer",
        "last_progress_at",
        "length",
        "link",
        "reserved_bytes",
        "session_id",
        "state",
        "tenant",
        "verdict",
    )

    def __init__(
        self,
        session_id: bytes,
        attempt: bytes,
        length: int,
        tenant: str,
        head: object,
        deadline: float,
    ) -> None:
        self.session_id, self.attempt, self.length, self.tenant = session_id, attempt, length, tenant
        self.head, self.deadline = head, deadline
        self.epoch = 0
        self.link: Link | None = None
        self.body_parts: list[bytes] = []
        self.body_received = 0
        self.reserved_bytes = -1  # The reservation in the quota; -1 if there is none.
        self.state = RECEIVING
        self.last_progress_at = 0.0
        self.verdict: Verdict | None = None
        self.answer_head: tuple[int, bytes, int] | None = None
        self.kept_answer = bytearray()  # The answer from offset `answer_start` on.
        self.answer_start = self.answer_received = self.answer_sent = self.answer_limit = 0
        self.answer_complete = False  # The backend has sent all of the answer.
        self.answer_consumed = 0  # Offset of the answer up to which `consumed` was called.
        self.joined: list[Receiver] = []  # Sessions that brought the same attempt.
        self.handler: Any = None  # The owner's RequestHandler.

    def body(self) -> bytes:
        """Returns the complete body and releases it here."""
        body, self.body_parts = b"".join(self.body_parts), []
        return body


class Receivers:
    """All sessions of one incarnation of a destination.

    `send(link, frame)` sends a frame. `run(receiver)` hands a complete request to the backend;
    `stop(receiver)` cancels it there; `consumed(receiver, size)` reports `size` further bytes of the answer
    acknowledged. `region`: the destination's.
    """

    def __init__(
        self,
        incarnation: bytes,
        region: str,
        body_quota: BodyQuota,
        send: Callable[[Link, list[Any]], None],
        run: Callable[[Receiver], None],
        stop: Callable[[Receiver], None],
        consumed: Callable[[Receiver, int], None],
        max_sessions: int = MAX_SESSIONS,
        max_kept_answer_bytes: int = MAX_KEPT_ANSWER_BYTES,
    ) -> None:
        self.incarnation, self.region, self.body_quota, self.send = incarnation, region, body_quota, send
        self.run, self.stop, self.consumed = run, stop, consumed
        self.max_sessions, self.max_kept_answer_bytes = max_sessions, max_kept_answer_bytes
        self.sessions: dict[bytes, Receiver] = {}
        self.idempotency_table: dict[bytes, Receiver] = {}  # The first session of each attempt id.
        # Acknowledged answers: bytes by session, oldest first.
        self.kept_answers: dict[bytes, int] = {}
        self.kept_answer_bytes = 0
        self.rejected = self.fenced_frames = self.joined_sessions = 0
        # Whether this process, which shuts down, may end before work with this deadline; never by itself.
        self.is_outlasted: Callable[[float], bool] = lambda deadline: False

    # Frames received.

    def receive(self, now: float, wall_ms: int, link: Link, frame: list[Any]) -> None:
        """Handles a frame of a link. Raises ValueError, TypeError or IndexError if it is malformed."""
        kind, session_id, epoch = frame[0], frame[1], frame[2]
        if kind == OPEN:
            self._open(now, wall_ms, link, frame)
            return
        receiver = self.sessions.get(session_id)
        if receiver is None or self._is_fenced(receiver, epoch):
            return
        if kind == DATA:
            self._on_data(now, receiver, frame[3], frame[4])
        elif kind == END:
            self._on_end(now, receiver, frame[3])
        elif kind == ACK:
            self._on_ack(receiver, frame[3], frame[4], frame[5])
        elif kind == CLOSE:
            self._on_close(receiver)
        elif kind == DROP:
            self._on_drop(receiver)
        elif kind == GONE:
            receiver.link, receiver.last_progress_at = None, now

    def _is_fenced(self, receiver: Receiver, epoch: int) -> bool:
        if epoch == receiver.epoch:
            return False
        self.fenced_frames += 1
        return True

    def _is_newer(self, receiver: Receiver, epoch: int) -> bool:
        return epoch > receiver.epoch

    def _open(self, now: float, wall_ms: int, link: Link, frame: list[Any]) -> None:
        (
            session_id,
            epoch,
            _,
            incarnation,
            heard,
            received,
            attempt,
            length,
            remaining,
            expires,
            tenant,
            _,
            allowed_regions,
            head,
            window_end,
        ) = frame[1:16]
        if not isinstance(session_id, bytes) or len(session_id) != 16 or not isinstance(attempt, bytes):
            raise ValueError(
                "session and attempt ids: expected bytes, 16 for the session, got another type or length"
            )
        receiver = self.sessions.get(session_id)
        if receiver is not None:
            if receiver.attempt == attempt and self._is_newer(receiver, epoch):
                self._attach(now, receiver, epoch, link, received, window_end)
            elif (
                epoch != receiver.epoch or link is not receiver.link
            ):  # Any other OPEN is a duplicate of the one in use.
                self.send(link, [FENCED, session_id, epoch])
            return
        if (incarnation and incarnation != self.incarnation) or heard:
            self.send(link, [UNKNOWN, session_id, epoch, self.incarnation])
            return
        reason = self._rejection_reason(wall_ms, expires, allowed_regions)
        if reason is not None:
            self._reject(link, session_id, epoch, reason)
            return
        new_receiver = Receiver(session_id, attempt, length, tenant, head, now + remaining / 1000.0)
        self._begin(now, link, new_receiver, epoch, window_end)

    def _rejection_reason(self, wall_ms: int, expires: int, allowed_regions: list[str]) -> int | None:
        """Returns the reason to reject a new session, or None."""
        if wall_ms > expires + EXPIRY_TOLERANCE_S * 1000.0:
            return TOO_LATE
        if allowed_regions and self.region not in allowed_regions:
            return OTHER_SERVICE
        return FULL if len(self.sessions) >= self.max_sessions else None

    def _reject(self, link: Link, session_id: bytes, epoch: int, reason: int) -> None:
        self.rejected += 1
        self.send(link, [VERDICT, session_id, epoch, NOT_RUN, reason, 0, 0])

    def _begin(self, now: float, link: Link, receiver: Receiver, epoch: int, window_end: int) -> None:
        first = self.idempotency_table.get(receiver.attempt)
        if first is not None:
            self._join(now, first, receiver, link, epoch, window_end)
            return
        if self.is_outlasted(receiver.deadline):  # not before: the first session of its attempt may have run
            self._reject(link, receiver.session_id, epoch, SHUTTING_DOWN)
            return
        size = receiver.length if receiver.length >= 0 else WINDOW_BYTES
        if not self.body_quota.reserve(receiver.tenant, size):
            self._reject(link, receiver.session_id, epoch, FULL)
            return
        receiver.reserved_bytes = size
        self._register(receiver)
        self._attach(now, receiver, epoch, link, 0, window_end)

    def _register(self, receiver: Receiver) -> None:
        self.sessions[receiver.session_id] = receiver
        self.idempotency_table.setdefault(receiver.attempt, receiver)

    def _join(
        self, now: float, first: Receiver, receiver: Receiver, link: Link, epoch: int, window_end: int
    ) -> None:
        """Joins a session to the first one of its attempt: it gets the same outcome."""
        same = (
            _requested_operation(first.head) == _requested_operation(receiver.head)
            and first.length == receiver.length
        )
        if not same or len(first.joined) >= MAX_JOINED:
            self.rejected += 1
            self.send(link, [VERDICT, receiver.session_id, epoch, MAY_HAVE_RUN, LINK_LOST, 0, 0])
            return
        self.joined_sessions += 1
        receiver.state, receiver.deadline = (
            RUNNING,
            first.deadline,
        )  # The body of a joined session is not read.
        first.joined.append(receiver)
        self.sessions[receiver.session_id] = receiver
        receiver.epoch, receiver.link, receiver.answer_limit, receiver.last_progress_at = (
            epoch,
            link,
            window_end,
            now,
        )
        if first.state == FINISHED or first.answer_complete or first.answer_start:
            self._copy_answer(first, receiver)

    def _copy_answer(self, first: Receiver, receiver: Receiver) -> None:
        """Gives a joined session the outcome of the first, if the answer is still here completely."""
        if first.verdict is not None:
            self._finish(receiver, first.verdict)
        elif first.answer_start or not first.answer_complete:
            self._finish(receiver, Verdict(MAY_HAVE_RUN, LINK_LOST, True))
        else:
            receiver.answer_head, receiver.kept_answer, receiver.answer_received = (
                first.answer_head,
                bytearray(first.kept_answer),
                first.answer_received,
            )
            receiver.state, receiver.answer_complete = ANSWERING, True
            self._send_answer(receiver, 0)

    # Paths.

    def _attach(
        self, now: float, receiver: Receiver, epoch: int, link: Link, received: int, window_end: int
    ) -> None:
        """Moves a session to a new path: fences the old one, and sends what the source lacks on this one."""
        if receiver.link is not None and receiver.link is not link:
            self.send(receiver.link, [FENCED, receiver.session_id, receiver.epoch])
        receiver.epoch, receiver.link, receiver.last_progress_at = epoch, link, now
        receiver.answer_limit = window_end
        if receiver.state == FINISHED and receiver.verdict is not None:
            self._send_verdict(receiver, receiver.verdict)
            return
        self._send_have(receiver, 0)
        if receiver.answer_head is not None:
            self._resume_answer(receiver, received)

    def link_lost(self, now: float, link: Link) -> None:
        """Handles the loss of a link: its sessions wait for a new path."""
        for receiver in self.sessions.values():
            if receiver.link is link:
                receiver.link, receiver.last_progress_at = None, now

    # The body.

    def _send_have(self, receiver: Receiver, missing: int) -> None:
        if receiver.link is not None:
            if receiver.length < 0 and receiver.state == RECEIVING:
                self._reserve_more(receiver)
            window_end = min(
                receiver.body_received + WINDOW_BYTES,
                receiver.length if receiver.length >= 0 else receiver.reserved_bytes,
            )
            code = missing if receiver.state == RECEIVING else 2
            self.send(
                receiver.link,
                [
                    HAVE,
                    receiver.session_id,
                    receiver.epoch,
                    self.incarnation,
                    receiver.body_received,
                    window_end,
                    code,
                ],
            )

    def _reserve_more(self, receiver: Receiver) -> None:
        """Reserves a further window for a body of unknown length; without capacity its source waits."""
        additional = receiver.body_received + WINDOW_BYTES - receiver.reserved_bytes
        if additional > 0 and self.body_quota.extend(receiver.tenant, additional):
            receiver.reserved_bytes += additional

    def _on_data(self, now: float, receiver: Receiver, offset: int, data: bytes) -> None:
        if receiver.state != RECEIVING:
            return
        if offset > receiver.body_received:
            self._send_have(receiver, 1)
            return
        new_data = data[receiver.body_received - offset :]
        if receiver.body_received + len(new_data) > receiver.reserved_bytes:
            self._finish(receiver, Verdict(NOT_RUN, FULL))  # The source sent more than was granted.
            return
        if new_data:
            receiver.body_parts.append(new_data)
            receiver.body_received += len(new_data)
            receiver.last_progress_at = now
        self._send_have(receiver, 0)

    def _on_end(self, now: float, receiver: Receiver, total: int) -> None:
        if receiver.state != RECEIVING:
            return
        if total != receiver.body_received:
            self._send_have(receiver, 1)
            return
        if receiver.length >= 0 and total != receiver.length:
            self._finish(receiver, Verdict(NOT_RUN, CONNECTION_BROKEN))
            return
        receiver.last_progress_at = now
        self._start(receiver)

    def _start(self, receiver: Receiver) -> None:
        """Hands a complete request to the backend. It has been in the idempotency table since its OPEN."""
        receiver.state = RUNNING
        self._send_have(receiver, 0)
        self.run(receiver)

    # The answer, as the owner reports it.

    def answer_started(self, receiver: Receiver, status: int, fields: bytes, length: int) -> None:
        """Handles the head of the backend's answer."""
        if receiver.state == RUNNING:
            receiver.state, receiver.answer_head = ANSWERING, (status, fields, length)
            self._release_body(receiver)
            self._send_answer(receiver, 0)

    def answer_data(self, receiver: Receiver, data: bytes) -> None:
        """Handles a part of the answer's body; the owner sends no more than `consumed` allows."""
        if receiver.state == ANSWERING:
            receiver.kept_answer += data
            receiver.answer_received += len(data)
            self._send_answer_data(receiver)

    def answer_completed(self, receiver: Receiver) -> None:
        """Handles the end of the answer."""
        if receiver.state == ANSWERING:
            receiver.answer_complete, receiver.handler = True, None
            self._send_answer_data(receiver)
            for joined in receiver.joined:
                if joined.state == RUNNING:
                    self._copy_answer(receiver, joined)

    def failed(self, receiver: Receiver, verdict: Verdict) -> None:
        """Handles a request that was rejected before it ran, or an attempt that failed."""
        if receiver.state in (RUNNING, ANSWERING):
            self._finish(receiver, verdict)

    def _send_answer(self, receiver: Receiver, at: int) -> None:
        """Sends the answer's head, and its body from an offset on."""
        assert receiver.answer_head is not None
        if receiver.link is not None:
            self.send(receiver.link, [HEAD, receiver.session_id, receiver.epoch, *receiver.answer_head])
        receiver.answer_sent = at
        self._send_answer_data(receiver)

    def _resume_answer(self, receiver: Receiver, received: int) -> None:
        if receiver.answer_start <= received <= receiver.answer_received:
            self._release_acked(receiver, received)
            self._send_answer(receiver, received)
        elif receiver.link is not None:  # The bytes that it lacks have been discarded.
            self._send_verdict(receiver, Verdict(MAY_HAVE_RUN, LINK_LOST, True))

    def _send_answer_data(self, receiver: Receiver) -> None:
        link = receiver.link
        if link is None:
            return
        while receiver.answer_sent < min(receiver.answer_received, receiver.answer_limit):
            at = receiver.answer_sent - receiver.answer_start
            piece = bytes(
                receiver.kept_answer[at : at + min(CHUNK_BYTES, receiver.answer_limit - receiver.answer_sent)]
            )
            self.send(link, [PART, receiver.session_id, receiver.epoch, receiver.answer_sent, piece])
            receiver.answer_sent += len(piece)
        if receiver.answer_complete and receiver.answer_sent == receiver.answer_received:
            self.send(link, [WHOLE, receiver.session_id, receiver.epoch, receiver.answer_received])

    def _on_ack(self, receiver: Receiver, received: int, window_end: int, missing: int) -> None:
        if receiver.answer_head is None or not receiver.answer_start <= received <= receiver.answer_received:
            return
        receiver.answer_limit = max(receiver.answer_limit, window_end)
        self._release_acked(receiver, received)
        if missing:
            self._send_answer(receiver, received)
        elif receiver.answer_sent < receiver.answer_received:
            self._send_answer_data(receiver)

    def _release_acked(self, receiver: Receiver, received: int) -> None:
        """Releases acknowledged bytes; an answer of at most a window is kept for a repeated attempt."""
        newly_acked = received - max(receiver.answer_start, receiver.answer_consumed)
        if newly_acked > 0:
            receiver.answer_consumed = received
            self.consumed(receiver, newly_acked)
        if receiver.answer_received > WINDOW_BYTES or not receiver.answer_complete:
            self._discard_acked(receiver, received)

    @staticmethod
    def _discard_acked(receiver: Receiver, received: int) -> None:
        if received > receiver.answer_start and received > CHUNK_BYTES:
            del receiver.kept_answer[: received - receiver.answer_start]
            receiver.answer_start = received

    def _on_close(self, receiver: Receiver) -> None:
        """Handles CLOSE: the source has the complete answer, which is kept only for a repeated attempt."""
        if receiver.state == ANSWERING and receiver.answer_complete:
            receiver.state = FINISHED
            receiver.link = None
            self.kept_answers[receiver.session_id] = len(receiver.kept_answer)
            self.kept_answer_bytes += len(receiver.kept_answer)
            while self.kept_answer_bytes > self.max_kept_answer_bytes:
                self._discard_answer(next(iter(self.kept_answers)))

    def _discard_answer(self, session_id: bytes) -> None:
        size = self.kept_answers.pop(session_id, 0)
        self.kept_answer_bytes -= size
        receiver = self.sessions.get(session_id)
        if receiver is not None:
            receiver.kept_answer = bytearray()
            receiver.verdict = Verdict(MAY_HAVE_RUN, LINK_LOST, True)

    # Outcomes.

    def _on_drop(self, receiver: Receiver) -> None:
        if receiver.state == RECEIVING:
            self._finish(receiver, Verdict(NOT_RUN, CANCELLED))
        elif receiver.state in (RUNNING, ANSWERING):
            self._cancel(receiver)

    def _cancel(self, receiver: Receiver) -> None:
        if any(joined.state != FINISHED for joined in receiver.joined):
            receiver.link = None  # Joined sessions wait for the outcome.
            return
        if receiver.handler is not None:
            self.stop(receiver)
        self._finish(receiver, Verdict(MAY_HAVE_RUN, CANCELLED, True))

    def _finish(self, receiver: Receiver, verdict: Verdict) -> None:
        """Ends a session and those joined to it with a verdict, which is kept for a repeated attempt."""
        if receiver.state == FINISHED:
            return
        receiver.state, receiver.verdict, receiver.handler = FINISHED, verdict, None
        self._release_body(receiver)
        receiver.kept_answer = bytearray()
        self._send_verdict(receiver, verdict)
        for joined in receiver.joined:
            if joined.state == RUNNING:
                self._finish(joined, verdict)

    def _send_verdict(self, receiver: Receiver, verdict: Verdict) -> None:
        if receiver.link is not None:
            self.send(
                receiver.link,
                [
                    VERDICT,
                    receiver.session_id,
                    receiver.epoch,
                    verdict.ran,
                    verdict.why,
                    int(verdict.retry_after_s * 1000.0),
                    int(verdict.reached_backend),
                ],
            )

    def _release_body(self, receiver: Receiver) -> None:
        """Releases the body and its reservation."""
        if receiver.reserved_bytes >= 0:
            self.body_quota.release(receiver.tenant, receiver.reserved_bytes)
            receiver.reserved_bytes = -1
        receiver.body_parts = []

    def expire(self, now: float) -> None:
        """Drops incomplete bodies without progress, and removes entries past their retention."""
        for receiver in list(self.sessions.values()):
            if receiver.state == RECEIVING and (
                now >= receiver.deadline or now - receiver.last_progress_at >= DETACHED_TIMEOUT_S
            ):
                self._finish(receiver, Verdict(NOT_RUN, TOO_LATE if now >= receiver.deadline else LINK_LOST))
            if now >= receiver.deadline:
                self._on_close(receiver)  # The client has given up at its deadline.
            if now >= receiver.deadline + IDEMPOTENCY_RETENTION_S and receiver.handler is None:
                self._remove(receiver)

    def _remove(self, receiver: Receiver) -> None:
        self._release_body(receiver)
        if receiver.session_id in self.kept_answers:
            self._discard_answer(receiver.session_id)
        del self.sessions[receiver.session_id]
        if self.idempotency_table.get(receiver.attempt) is receiver:
            del self.idempotency_table[receiver.attempt]


def _requested_operation(head: object) -> object:
    """Returns the first part of a head, the operation; the second holds what may differ between attempts."""
    return head[0] if isinstance(head, list) and head else head
