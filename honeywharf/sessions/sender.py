"""The source's end of a session: the request's body until it is acknowledged, and the path it takes.

Theory of operation. Bytes of the body are kept here until the *destination* acknowledges them; a gateway
never acknowledges. Each path is a new epoch and begins with OPEN. Where the destination has answered before,
nothing is sent on a new path until HAVE says how much it holds. The body's END is sent only to a known
incarnation of the destination: a restarted destination can't run what the one before may have run. `end_sent`
says that END was sent on some path: without it nothing can have run, since a backend sees complete requests
only.

    state      OPEN sent   HAVE       LEAVE     GONE, link lost   verdict, complete answer
    IDLE       OPENING     .          .         .                 .
    OPENING    .           STREAMING  IDLE      IDLE              FINISHED
    STREAMING  .           .          LEAVING   IDLE              FINISHED
    LEAVING    .           .          .         IDLE              FINISHED

In LEAVING no more of the body is sent; the path is left when all that was sent is acknowledged, or by the
caller after `LEAVE_TIMEOUT_S`. A drain therefore retransmits nothing.
"""

from __future__ import annotations

from honeywharf.sessions.frames import (
    ACK,
    ANSWER_WINDOW_BYTES,
    BUFFERED_ANSWER_BYTES,
    BULK,
    CHUNK_BYTES,
    CLOSE,
    DATA,
    DROP,
    END,
    GONE,
    HAVE,
    HEAD,
    INITIAL_BODY_BYTES,
    LEAVE,
    OPEN,
    PART,
    SHORT_BODY_BYTES,
    UNKNOWN,
    VERDICT,
    WHOLE,
    WINDOW_BYTES,
)
from honeywharf.verdict import LINK_LOST, MAY_HAVE_RUN, NOT_RUN, TIMED_OUT, Verdict

TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Any, Protocol

    class SenderListener(Protocol):
        """Receives the outcome; `failed`, `answer_completed` or `answered` with a body is the last call."""

        def body_requested(self) -> None:
            """Called when the body may be sent; the first window is `WINDOW_BYTES`."""

        def window(self, size: int) -> None:
            """Called when `size` further bytes of the body may be sent."""

        def answered(self, status: int, fields: bytes, length: int, body: bytes | None) -> None:
            """Called with the answer's head, and its complete body, or None if it follows in parts."""

        def data(self, data: bytes) -> None:
            """Called with a part of the answer's body."""

        def answer_completed(self) -> None:
            """Called when the answer is complete."""

        def failed(self, verdict: Verdict) -> None:
            """Called when the request failed; no answer follows, or no further part of it."""


IDLE, OPENING, STREAMING, LEAVING, FINISHED = range(5)
STATES = ("idle", "asking", "flowing", "leaving", "over")
LEAVE_TIMEOUT_S = 1.5  # A path in LEAVING is kept this long for acknowledgements of frames in flight.


class Request:
    """The request of a session.

    `length`: bytes of the body, -1 where it is not known. `head`: any object that msgpack encodes, passed on
    as it is. `deadline`: seconds of the source's steady clock; `expires_ms`: the same by the wall clock.
    `origin`: the client's region. `allowed_regions`: the regions that may run it and hold its body; any may
    where there are none.
    """

    __slots__ = (
        "allowed_regions",
        "attempt",
        "deadline",
        "expires_ms",
        "head",
        "length",
        "origin",
        "priority_class",
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
        allowed_regions: tuple[str, ...] = (),
        head: object = None,
        priority_class: int = BULK,
    ) -> None:
        self.priority_class = priority_class
        self.to, self.attempt, self.length, self.deadline, self.expires_ms = (
            to,
            attempt,
            length,
            deadline,
            expires_ms,
        )
        self.tenant, self.origin, self.allowed_regions, self.head = tenant, origin, allowed_regions, head


class Sender:
    """One session at its source. `outgoing`: frames to be sent on the present path.

    `incarnation`: the destination's, empty while it is not known; each HAVE carries it.
    """

    __slots__ = (
        "answer_consumed",
        "answer_head",
        "answer_received",
        "body_acked",
        "body_bytes",
        "body_complete",
        "body_limit",
        "body_requested",
        "body_sent",
        "collected_answer",
        "destination_done",
        "destination_replied",
        "end_sent",
        "end_sent_before",
        "end_sent_on_path",
        "epoch",
        "frames_received",
        "incarnation",
        "listener",
        "outgoing",
        "request",
        "retransmitted_bytes",
        "sends_early",
        "session_id",
        "state",
        "unacked_body",
    )

    def __init__(
        self, session_id: bytes, request: Request, listener: SenderListener, incarnation: bytes = b""
    ) -> None:
        self.session_id, self.request, self.listener, self.incarnation = (
            session_id,
            request,
            listener,
            incarnation,
        )
        self.state, self.epoch = IDLE, 0
        self.unacked_body = bytearray()  # The body from offset `body_acked` on.
        self.body_acked = self.body_sent = self.body_limit = self.body_bytes = self.retransmitted_bytes = 0
        self.body_complete = request.length == 0  # The client has sent all of the body.
        self.end_sent = False  # END was sent, on any path.
        self.end_sent_on_path = False  # END was sent on the present path.
        self.sends_early = False  # Whether the body follows OPEN without waiting for HAVE.
        self.end_sent_before = False  # END was sent on an earlier path.
        self.destination_replied = self.body_requested = False
        self.destination_done = False  # The destination has acknowledged END or sent a verdict.
        self.frames_received = 0  # Frames of the present epoch; the caller detects a stalled path by it.
        self.answer_head: tuple[int, bytes, int] | None = None  # status, fields, length
        self.collected_answer: bytearray | None = None  # A short answer until it is complete.
        self.answer_received = self.answer_consumed = 0  # Bytes received here, and taken by the client.
        self.outgoing: list[list[Any]] = []

    # Paths.

    def attach(self, now: float) -> None:
        """Begins a new path; frames of earlier ones are ignored from here on."""
        if self.state == FINISHED:
            return
        self.epoch += 1
        self.state, self.end_sent_on_path, self.end_sent_before = OPENING, False, self.end_sent
        request = self.request
        remaining = max(0, int((request.deadline - now) * 1000.0))
        self.outgoing = [
            [
                OPEN,
                self.session_id,
                self.epoch,
                request.to,
                self.incarnation,
                int(self.destination_replied),
                self.answer_received,
                request.attempt,
                request.length,
                remaining,
                request.expires_ms,
                request.tenant,
                request.origin,
                list(request.allowed_regions),
                request.head,
                self.answer_consumed + ANSWER_WINDOW_BYTES,
                request.priority_class,
            ]
        ]
        self.sends_early = (
            bool(self.incarnation)
            and not self.destination_replied
            and 0 <= request.length <= SHORT_BODY_BYTES
        )
        if self.sends_early:
            self.retransmitted_bytes += self.body_sent
            self.body_sent, self.body_limit = 0, INITIAL_BODY_BYTES
            if not self.body_requested:
                self.body_requested = True
                self.listener.body_requested()
            self._send_body()

    def detach(self) -> None:
        """Handles the loss of the present path."""
        if self.state != FINISHED:
            self.state = IDLE
            self.outgoing = []

    def has_nothing_in_flight(self) -> bool:
        """Returns whether a path that is to be left has no unacknowledged bytes of this session."""
        return self.state == LEAVING and self.body_sent == self.body_acked

    # The request's body.

    def data(self, data: bytes) -> None:
        """Takes a part of the body from the client."""
        if self.state != FINISHED:
            self.unacked_body += data
            self.body_bytes += len(data)
            self._send_body()

    def end(self) -> None:
        """Ends the body: the client has sent all of it."""
        if self.state != FINISHED and not self.body_complete:
            self.body_complete = True
            self._send_body()

    def window(self, size: int) -> None:
        """Grants `size` further bytes of the answer, as many as the client has taken."""
        if self.state != FINISHED:
            self.answer_consumed += size
            self._acknowledge(0)

    def _acknowledge(self, missing: int) -> None:
        self._queue_frame(ACK, self.answer_received, self.answer_consumed + ANSWER_WINDOW_BYTES, missing)

    def cancel(self) -> None:
        """Cancels the request; the listener is not called again."""
        if self.state != FINISHED:
            self._queue_frame(DROP)
            self._finish()

    def give_up(self, reason: int = TIMED_OUT) -> None:
        """Fails the request as its deadline has passed, or as there is no path left."""
        if self.state != FINISHED:
            self._queue_frame(DROP)
            self._fail(Verdict(self._execution(), reason, self.end_sent))

    def _execution(self) -> int:
        return MAY_HAVE_RUN if self.end_sent else NOT_RUN

    def _queue_frame(self, kind: int, *rest: object) -> None:
        if self.state != IDLE:
            self.outgoing.append([kind, self.session_id, self.epoch, *rest])

    def _send_body(self) -> None:
        """Sends what the window allows; END only to a known incarnation."""
        if self.state != STREAMING and not (self.state == OPENING and self.sends_early):
            return
        while self.body_sent < min(self.body_limit, self.body_bytes):
            at = self.body_sent - self.body_acked
            piece = bytes(self.unacked_body[at : at + min(CHUNK_BYTES, self.body_limit - self.body_sent)])
            self._queue_frame(DATA, self.body_sent, piece)
            self.body_sent += len(piece)
        if self.body_complete and self.body_sent == self.body_bytes and not self.end_sent_on_path:
            self.end_sent_on_path = self.end_sent = True
            self._queue_frame(END, self.body_bytes)

    # Frames received.

    def receive(self, frame: list[Any]) -> None:
        """Handles a frame of this session; one of another epoch is ignored."""
        kind, epoch = frame[0], frame[2]
        if self.state in (FINISHED, IDLE) or self._is_fenced(epoch):
            return
        self.frames_received += 1
        if kind == HAVE:
            self._on_have(*frame[3:7])
        elif kind == HEAD:
            self._on_head(frame[3], frame[4], frame[5])
        elif kind == PART:
            self._on_part(frame[3], frame[4])
        elif kind == WHOLE:
            self._on_whole(frame[3])
        elif kind == VERDICT:
            self.destination_done = True
            self._fail(Verdict(frame[3], frame[4], bool(frame[6]), frame[5] / 1000.0))
        elif kind == UNKNOWN:
            # All frames of this path have reached the new incarnation: an earlier one can have run the
            # request only if END was sent on an earlier path.
            self._fail(
                Verdict(MAY_HAVE_RUN if self.end_sent_before else NOT_RUN, LINK_LOST, self.end_sent_before)
            )
        elif kind == LEAVE:
            self.state = LEAVING if self.state == STREAMING else IDLE
        elif kind == GONE:
            self.detach()

    def _is_fenced(self, epoch: int) -> bool:
        return epoch != self.epoch

    def _on_have(self, incarnation: bytes, offset: int, window_end: int, missing: int) -> None:
        if self.incarnation and incarnation != self.incarnation:
            return  # Another incarnation does not have this session, and answers with UNKNOWN.
        if not self.body_acked <= offset <= self.body_bytes:
            return  # Guards against offsets that were never sent, or below what is acknowledged.
        is_first, self.incarnation = not self.destination_replied, incarnation
        if self.state == OPENING:
            self.state = STREAMING
            if self.destination_replied and missing != 2:
                missing = 1
        self.destination_replied = True
        if missing == 2:
            self.destination_done, missing = True, 0
        if not self.body_requested:
            self.body_requested = True
            self.listener.body_requested()
        if offset > self.body_sent or (missing and not self.destination_done):
            self.retransmitted_bytes += max(0, self.body_sent - offset)
            self.body_sent, self.end_sent_on_path = offset, False
        newly_acked, self.body_acked = offset - self.body_acked, offset
        del self.unacked_body[:newly_acked]
        self.body_limit = max(self.body_limit, window_end) if not missing and not is_first else window_end
        self._send_body()
        if newly_acked and self.state != FINISHED:
            self.listener.window(newly_acked)

    def _on_head(self, status: int, fields: bytes, length: int) -> None:
        if self.answer_head is None:
            self.answer_head = (status, fields, length)
            if 0 <= length <= BUFFERED_ANSWER_BYTES:
                self.collected_answer = bytearray()
            else:
                self.listener.answered(status, fields, length, None)

    def _on_part(self, offset: int, data: bytes) -> None:
        if self.answer_head is None or offset > self.answer_received:
            self._acknowledge(1)
            return
        new_data = data[self.answer_received - offset :]
        if not new_data:
            return
        self.answer_received += len(new_data)
        if self.collected_answer is not None:
            self.collected_answer += new_data
            self.window(len(new_data))
        else:
            self.listener.data(new_data)

    def _on_whole(self, total: int) -> None:
        if self.answer_head is None or self.answer_received != total:
            self._acknowledge(1)
            return
        self._queue_frame(CLOSE)
        self._finish()
        if self.collected_answer is not None:
            self.listener.answered(*self.answer_head, bytes(self.collected_answer))
        else:
            self.listener.answer_completed()

    def _fail(self, verdict: Verdict) -> None:
        self._finish()
        self.listener.failed(verdict)

    def _finish(self) -> None:
        self.state = FINISHED
        self.unacked_body.clear()

    @property
    def awaits_destination(self) -> bool:
        """Whether the destination owes an acknowledgement; without one the path counts as stalled."""
        return self.state == OPENING or (
            self.state == STREAMING
            and not self.destination_done
            and (self.body_sent > self.body_acked or self.end_sent_on_path)
        )

    @property
    def buffered_bytes(self) -> int:
        """Unacknowledged bytes: at most `WINDOW_BYTES`, plus what the client sent beyond its window."""
        return len(self.unacked_body)

    @property
    def spare_bytes(self) -> int:
        """The number of bytes that the client may still send."""
        return max(0, WINDOW_BYTES - len(self.unacked_body))
