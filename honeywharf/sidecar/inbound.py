"""The destination's side of a request: admitted by the gate, given a slot, sent to the backend, answered.

Theory of operation. `begin` queries the gate at once, and again when a queued request gets a slot. An
admitted request holds its slot until it is over. Its head is written to the backend only when its body has
begun to arrive, or is complete where it is short: a source that has sent no byte of a body knows that nothing
has run. Where that took longer than `RECHECK_AFTER_S`, the gate is queried again, as a request that was
admitted earlier may be forbidden by now. An answer up to `MAX_WHOLE_ANSWER_BYTES` is forwarded only when it
is complete, so that the client has seen nothing of it if the connection breaks earlier.

    begun -> receiving -> queued -> started -> sent -> answering -> over
      \\________\\__________\\________ rejected (not run)   \\_______ failed (may have run)

A body over `MAX_SHORT_BODY_BYTES` and up to `MAX_HELD_BODY_BYTES` is received before a slot is taken: over a
slow link it takes longer than the work, and the slot would be idle meanwhile. `BodyFlowControl` decides how
much of it is requested at a time. A longer body takes its slot first and is forwarded as it arrives.

Each `InboundRequest` reports its end once. Only `_release` gives the slot and the connection back.
"""

from __future__ import annotations

from honeywharf.admission.body_flow_control import STALL_S, BodyFlowControl
from honeywharf.codecs.heads import UNKNOWN, ResponseHead
from honeywharf.sidecar.backend import BackendConnectionPool
from honeywharf.sidecar.backend_encoding import encode_body, encode_head
from honeywharf.sidecar.queue_runner import QueueRunner
from honeywharf.transport.stream import INITIAL_WINDOW, WINDOW_SIZE
from honeywharf.verdict import (
    CONNECTION_BROKEN,
    CONNECTION_FAILED,
    FULL,
    LINK_SATURATED,
    MALFORMED_ANSWER,
    MAY_HAVE_RUN,
    NO_BACKEND,
    NOT_RUN,
    REJECTED_BY_BACKEND,
    SHUTTING_DOWN,
    SLOW_START,
    TIMED_OUT,
    TOO_LATE,
    Verdict,
)

TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Protocol

    from honeywharf.admission.admission_queue import Waiter
    from honeywharf.admission.body_flow_control import PendingBody
    from honeywharf.drift.monitor import DriftMonitor
    from honeywharf.sidecar.backend import BackendConnection
    from honeywharf.sidecar.gate import Gate
    from honeywharf.sidecar.lifetime import Lifetime
    from honeywharf.transport.host import Host, Timer
    from honeywharf.transport.stream import ForwardedRequest

    class Responder(Protocol):
        """Receives the outcome of an `InboundRequest`: a stream's frames, or the source in this process."""

        def admit(self) -> None:
            """Tells the source that the request is admitted."""

        def window(self, size: int) -> None:
            """Lets the source send `size` further bytes of the request's body."""

        def answer(
            self, status: int, fields: bytes, length: int, load: tuple[int, int, int], body: bytes | None
        ) -> None:
            """Sends the answer: complete, or its head where `body` is None."""

        def data(self, data: bytes) -> None:
            """Sends a part of the answer's body."""

        def complete(self) -> None:
            """Reports that the answer is complete."""

        def fail(self, verdict: Verdict, load: tuple[int, int, int]) -> None:
            """Reports that no answer comes, or that the rest of it does not."""


MAX_SHORT_BODY_BYTES = INITIAL_WINDOW  # up to this size a body is received before the head is written
MAX_WHOLE_ANSWER_BYTES = 64 * 1024  # an answer up to this size is forwarded only when it is complete
UNLIMITED_WINDOW = 1 << 62  # for the rest of an answer that is complete, which is not read any more
MAX_HELD_BODY_BYTES = 512 * 1024  # a body up to this size is received before a slot is taken
# Shares of the request's latency target.
MAX_BACKLOG_SHARE = 0.3  # wait of a body's first byte for the link
MAX_SLOT_WAIT_SHARE = 0.5  # wait for a slot once the body is received
MAX_IN_FLIGHT_S = 0.1  # link time that all long bodies may use at once; bounds the wait of data behind them
MAX_WAITING_FOR_SLOW_START = 64  # requests
# The wait announced by a gate that shuts down is long, so that its queue is tried after all others.
SHUTDOWN_RETRY_AFTER_S = 1.0
DEADLINE_GRACE_S = 0.03  # added to the deadline, so that the backend's own time-out answer comes first
MIN_REMAINING_S = 0.005  # a request with less time left is not begun
# An admission holds this long: less than the part of the slow-start window that exceeds a second.
RECHECK_AFTER_S = 0.1


class InboundRequest:
    """One request at its destination. `deadline` is in seconds on the steady clock."""

    __slots__ = (
        "answer_complete",
        "answer_parts",
        "answer_window",
        "attempt",
        "backend_connection",
        "begun_at",
        "body",
        "body_complete",
        "bytes_received",
        "checked_at",
        "connection_ready",
        "deadline",
        "deadline_timer",
        "forwarded",
        "gate",
        "head",
        "head_written",
        "inbound",
        "is_admitted",
        "is_forwarding",
        "is_over",
        "pending_body",
        "receiving",
        "responder",
        "short",
        "slow_start_timer",
        "started",
        "streaming",
        "unacknowledged",
        "waiter",
    )

    def __init__(self, inbound: Inbound, forwarded: ForwardedRequest, responder: Responder) -> None:
        self.inbound, self.forwarded, self.responder, self.gate = inbound, forwarded, responder, inbound.gate
        self.attempt = forwarded.attempt_id
        self.deadline = inbound.host.now() + forwarded.remaining_s
        self.waiter: Waiter | None = None
        self.slow_start_timer: Timer | None = None  # set while it waits for a cold backend
        self.pending_body: PendingBody | None = None  # the entry of the body in `body_flow_control`
        # Whether the body is received before a slot is taken, and whether the source may send it.
        self.receiving = self.is_admitted = False
        self.backend_connection: BackendConnection | None = None
        self.deadline_timer: Timer | None = None
        self.body: list[bytes] = []  # parts not yet written to the backend
        # Bytes of the body received, and of these the ones that the source has got no window for again.
        self.bytes_received = self.unacknowledged = 0
        self.body_complete = self.is_over = self.started = self.head_written = self.connection_ready = (
            self.streaming
        ) = False
        self.head: ResponseHead | None = None
        # Parts of an answer that is not complete, or for which there is no window.
        self.answer_parts: list[bytes] = []
        self.answer_window = WINDOW_SIZE
        self.answer_complete = self.is_forwarding = False
        self.begun_at = self.checked_at = 0.0

    # Admission.

    def admit_or_reject(self) -> None:
        """Starts the request, queues it, receives its body first, or rejects it."""
        inbound, forwarded, now = self.inbound, self.forwarded, self.inbound.host.now()
        if not self._passes_gate(now):
            return
        self.short = inbound.gate.admission.is_short(forwarded.latency_target_s)
        if not self.body_complete and (
            MAX_SHORT_BODY_BYTES < forwarded.length <= MAX_HELD_BODY_BYTES or forwarded.length == UNKNOWN
        ):
            self._receive_body(now)
        else:
            self._take_slot(now)

    def _take_slot(self, now: float) -> None:
        """Takes a slot, queues for one, or rejects the request."""
        forwarded, admission = self.forwarded, self.inbound.gate.admission
        if admission.can_start(now, self.short):
            self._start(now)
        elif forwarded.max_queue_wait_s > 0:
            self.waiter = admission.enqueue(
                now,
                (forwarded.priority, forwarded.latency_target_s),
                min(forwarded.max_queue_wait_s, forwarded.remaining_s),
                self._slot_granted,
                self._queue_timed_out,
            )
            if self.waiter is None:
                self.reject(FULL, admission.expected_wait_s((forwarded.priority, forwarded.latency_target_s)))
            else:
                self.inbound.queue_runner.schedule_expiry()
        else:
            self.reject(FULL, admission.expected_wait_s((forwarded.priority, forwarded.latency_target_s)))

    def _receive_body(self, now: float) -> None:
        """Starts receiving the body if a slot is likely to be free once it is here.

        Until the source has sent a byte of it, a rejection proves that nothing has run.
        """
        inbound, forwarded = self.inbound, self.forwarded
        expected = inbound.expected_s(self)
        if expected > forwarded.max_queue_wait_s:
            self.reject(FULL, expected)
        elif not forwarded.peer:  # from a client of this machine, so over no network link
            self.receiving = self.is_admitted = True
            inbound.receiving += 1
            self.responder.admit()
            if not self.is_over:
                self.responder.window(WINDOW_SIZE - INITIAL_WINDOW)
        else:
            backlog, pending_body = inbound.body_flow_control.backlog_s(), None
            if backlog <= MAX_BACKLOG_SHARE * forwarded.latency_target_s:
                pending_body = inbound.body_flow_control.add(now, forwarded.length, self._request_bytes)
            if pending_body is None:
                self.reject(LINK_SATURATED, max(0.02, backlog))
                return
            self.receiving, self.pending_body = True, pending_body
            inbound.receiving += 1
            inbound.request_body_bytes()
        if self.receiving and not self.is_over:
            self._start_deadline_timer(now)

    def _start_deadline_timer(self, now: float) -> None:
        if self.deadline_timer is None:
            self.deadline_timer = self.inbound.host.after(
                self.deadline - now + DEADLINE_GRACE_S, self._deadline_passed
            )

    def _request_bytes(self, size: int) -> None:
        """Lets the source send `size` further bytes of the body, as the link has room for them."""
        if not self.is_admitted:
            self.is_admitted = True
            self.responder.admit()
            size -= INITIAL_WINDOW
        if size > 0:
            self.responder.window(size)

    def _body_part_received(self, size: int) -> None:
        """Accounts for a part of a body that is received before a slot is taken."""
        inbound, now = self.inbound, self.inbound.host.now()
        if self.bytes_received > MAX_HELD_BODY_BYTES:  # a body of unknown length is forwarded from here on
            self._stop_receiving(now)
            self.forwarded.max_queue_wait_s = max(
                self.forwarded.max_queue_wait_s, MAX_SLOT_WAIT_SHARE * self.forwarded.latency_target_s
            )
            if self._passes_gate(now):
                self._take_slot(now)
        elif self.pending_body is None:
            self.responder.window(size)
        else:
            inbound.body_flow_control.record_received(now, self.pending_body, size)
            inbound.request_body_bytes()

    def _stop_receiving(self, now: float) -> None:
        """Removes the body from the flow control: it is complete, or is not wanted any more."""
        if self.receiving:
            self.receiving = False
            self.inbound.receiving -= 1
        if self.pending_body is not None:
            self.inbound.body_flow_control.discard(self.pending_body)
            self.pending_body = None
            self.inbound.request_body_bytes()

    def _passes_gate(self, now: float) -> bool:
        inbound, forwarded = self.inbound, self.forwarded
        if self.deadline - now < MIN_REMAINING_S:
            self.reject(TOO_LATE, 0.0)
        elif inbound.shutting_down and not forwarded.max_queue_wait_s:
            self.reject(SHUTTING_DOWN, SHUTDOWN_RETRY_AFTER_S)
        elif inbound.lifetime.is_outlasted(self.deadline):
            self._reject_as_outlasting()
        else:
            rejection = inbound.gate.rejection(now, forwarded.service)
            if rejection is None:
                return True
            if (
                rejection[0] == SLOW_START
                and rejection[1] <= forwarded.max_queue_wait_s
                and inbound.waiting_for_slow_start < MAX_WAITING_FOR_SLOW_START
            ):
                inbound.waiting_for_slow_start += 1
                forwarded.max_queue_wait_s -= rejection[1]
                self.slow_start_timer = inbound.host.after(rejection[1], self._slow_start_over)
                return False
            self.reject(*rejection)
        return False

    def _reject_as_outlasting(self) -> None:
        """Rejects a request that the backend may still be working on when this process ends."""
        self.inbound.lifetime.refused += 1
        self.reject(SHUTTING_DOWN, SHUTDOWN_RETRY_AFTER_S)

    def _slow_start_over(self) -> None:
        """Tries again after the wait for a cold backend, whose next request may be another one."""
        self.slow_start_timer = None
        self.inbound.waiting_for_slow_start -= 1
        self.admit_or_reject()

    def _slot_granted(self) -> None:
        self.waiter = None
        now, drift_monitor = self.inbound.host.now(), self.inbound.drift_monitor
        if self._passes_gate(now) and (drift_monitor is None or drift_monitor.admits_after_wait(self)):
            self._start(now)

    def _queue_timed_out(self) -> None:
        self.waiter = None
        self.reject(
            FULL,
            self.inbound.gate.admission.expected_wait_s(
                (self.forwarded.priority, self.forwarded.latency_target_s)
            ),
        )

    def reject(self, why: int, retry_after_s: float) -> None:
        """Tells the source that the request has not run, and after how many seconds a retry may succeed."""
        self.inbound.rejections[why] = self.inbound.rejections.get(why, 0) + 1
        self._fail(Verdict(NOT_RUN, why, False, retry_after_s))

    # Sending the request to the backend.

    def _start(self, now: float) -> None:
        self.gate.admission.start(now, self.short)
        self.gate.request_sent(now)
        self.started, self.begun_at, self.checked_at = True, now, now
        self._start_deadline_timer(now)
        if self.forwarded.length != 0 and not self.is_admitted:
            self.is_admitted = True
            self.responder.admit()
            more = self.inbound.window() - INITIAL_WINDOW
            if more > 0 and not self.is_over and not 0 <= self.forwarded.length <= INITIAL_WINDOW:
                self.responder.window(more)
        self._write()

    def _write(self) -> None:
        """Writes what may be written: the head first, once enough of the body is here."""
        if not self.started or self.is_over:
            return
        if self.backend_connection is None:
            short = 0 <= self.forwarded.length <= MAX_SHORT_BODY_BYTES
            if not self.body_complete and self.forwarded.length != 0 and (short or not self.bytes_received):
                return
            if not self._passes_gate_again():
                return
            self.backend_connection = self.inbound.pool.take(
                _RequestConnectionUser(self), fresh=self.forwarded.kind != 0
            )
            if self.backend_connection is None:
                self.reject(FULL, 0.05)
            return
        if not self.connection_ready or not (self.head_written or self._passes_gate_again()):
            return
        data = b"".join(self.body)
        self.body.clear()
        if not self.head_written:
            data = self._encode_head() + self._encode_body(data)
            self.head_written = True
            self.backend_connection.write(data, last=self.body_complete or self.forwarded.length == 0)
        elif data or self.body_complete:
            self.backend_connection.write(self._encode_body(data), last=self.body_complete)
        if not self.backend_connection.unsent:
            self.drained()

    def _passes_gate_again(self) -> bool:
        """Queries the gate again where its admission is old, as the body or the connection was slow.

        A shutdown that has begun since counts at once: the backend has not seen a byte yet.
        """
        now = self.inbound.host.now()
        if self.inbound.lifetime.is_outlasted(self.deadline):
            self._reject_as_outlasting()
            return False
        if now - self.checked_at <= RECHECK_AFTER_S:
            return True
        self.checked_at = now
        rejection = self.gate.rejection(now, self.forwarded.service)
        if rejection is not None:
            self.reject(*rejection)
            return False
        if self.inbound.drift_monitor is not None and not self.inbound.drift_monitor.admits_after_wait(self):
            return False
        self.gate.request_sent(now)
        return True

    def _encode_head(self) -> bytes:
        return encode_head(self.forwarded, self.deadline - self.inbound.host.now(), self.gate.instance)

    def _encode_body(self, data: bytes) -> bytes:
        return encode_body(data, self.forwarded.length, is_last=self.body_complete)

    # Calls by the source.

    def data(self, data: bytes) -> None:
        """Takes a part of the request's body."""
        if self.is_over:
            return
        self.body.append(data)
        self.bytes_received += len(data)
        if self.receiving:
            self._body_part_received(len(data))
        else:
            self.unacknowledged += len(data)
            self._write()

    def end(self) -> None:
        """Notes that the body is complete."""
        if self.is_over:
            return
        self.body_complete = True
        if not self.receiving:
            self._write()
            return
        now, drift_monitor = self.inbound.host.now(), self.inbound.drift_monitor
        self._stop_receiving(now)
        self.forwarded.max_queue_wait_s = max(
            self.forwarded.max_queue_wait_s, MAX_SLOT_WAIT_SHARE * self.forwarded.latency_target_s
        )
        if self._passes_gate(now) and (drift_monitor is None or drift_monitor.admits_after_wait(self)):
            self._take_slot(now)

    def window(self, size: int) -> None:
        """Widens the window: `size` further bytes of the answer may be sent."""
        self.answer_window += size
        if self.streaming and not self.is_over:
            self._forward_answer()

    def cancel(self) -> None:
        """Ends the request without an outcome: the source wants no answer any more."""
        if not self.is_over:
            self.inbound.cancelled += 1
            self._release()

    def finish(self) -> None:
        """Reports what is known of the request because this process ends; a lost link would report less."""
        if self.is_over:
            return
        if self.head_written:
            self._fail(Verdict(MAY_HAVE_RUN, SHUTTING_DOWN, True))
        else:
            self.reject(SHUTTING_DOWN, SHUTDOWN_RETRY_AFTER_S)

    # Calls by the connection to the backend.

    def ready(self) -> None:
        """Starts writing: the connection is up."""
        if not self.is_over:
            self.connection_ready = True
            self._write()

    def drained(self) -> None:
        """Lets the source send as much again as the backend has taken."""
        if self.unacknowledged and not self.body and not self.is_over:
            unacknowledged, self.unacknowledged = self.unacknowledged, 0
            self.responder.window(unacknowledged)

    def answered(self, answer: ResponseHead) -> None:
        """Takes the answer's head."""
        self.head = answer
        if answer.cold_s is not None:
            self.gate.warmup.answer(self.inbound.host.now(), answer.cold_s)
        if answer.load:
            self.inbound.update_slots(answer.load)

    def answer_data(self, data: bytes) -> None:
        """Takes a part of the answer's body."""
        self.answer_parts.append(data)
        if self.streaming:
            self._forward_answer()
        elif sum(map(len, self.answer_parts)) > MAX_WHOLE_ANSWER_BYTES:
            head = self.head
            assert head is not None
            if not self._may_reach_client():
                self._discard_answer(head)  # now, so that no more of the body is buffered
                return
            self.streaming = True
            self.responder.answer(head.status, b"".join(head.fields), head.length, self.gate.load(), None)
            self._forward_answer()

    def _forward_answer(self) -> None:
        """Forwards what the window allows, and pauses reading from the backend while more is left.

        A source in this process widens the window from within `Responder.data`. That call returns here at
        once; the loop forwards what it allows, and what is left is judged last.
        """
        if self.is_forwarding:
            return
        self.is_forwarding = True
        try:
            while not self.is_over and (part := self._next_answer_part()):
                self.responder.data(part)
        finally:
            self.is_forwarding = False
        if self.is_over:
            return
        if self.answer_complete and not self.answer_parts:
            self._complete_answer()
        elif self.backend_connection is not None:
            connection = self.backend_connection.connection
            connection.pause() if self.answer_parts else connection.resume()

    def _next_answer_part(self) -> bytes:
        """Takes the bytes of the answer that the window allows; empty if there are none."""
        data = b"".join(self.answer_parts)
        part, rest = data[: self.answer_window], data[self.answer_window :]
        self.answer_window -= len(part)
        self.answer_parts = [rest] if rest else []
        return part

    def _complete_answer(self) -> None:
        """Ends a request whose answer was forwarded in parts."""
        self.inbound.served += 1
        self.responder.complete()
        self._release()

    def _may_reach_client(self) -> bool:
        """Whether a client may see the answer: not a rejection, not encoded, and a success has the seal."""
        head = self.head
        return (
            head is not None
            and not head.is_not_executed
            and (head.status >= 300 or head.sealed)
            and not head.encoded
        )

    def whole(self) -> None:
        """Forwards the rest of the answer, which is complete."""
        self.backend_connection = None
        head = self.head
        assert head is not None
        if self.streaming:
            self.answer_window, self.answer_complete = UNLIMITED_WINDOW, True
            self._forward_answer()
        elif not self._may_reach_client():
            self._discard_answer(head)
        else:
            body = b"".join(self.answer_parts)
            self.inbound.served += 1
            length = head.length if self.forwarded.method == b"HEAD" else len(body)
            self.responder.answer(head.status, b"".join(head.fields), length, self.gate.load(), body)
            self._release()

    def _discard_answer(self, head: ResponseHead) -> None:
        """Reports an answer that no client may see: the backend's rejection, or a malformed answer."""
        if head.is_not_executed:
            if head.status == 421:
                self.inbound.other_backend_found()
            self._fail(Verdict(NOT_RUN, REJECTED_BY_BACKEND, True, 0.05))
        else:
            self._fail(Verdict(MAY_HAVE_RUN, MALFORMED_ANSWER, True))

    def broken(self, why: str, sent: bool, answer_begun: bool) -> None:
        """Reports that the connection to the backend is lost; only an unsent request has not run."""
        self.backend_connection = None
        if not sent:
            if why == "refused":
                self.inbound.connection_refused()
            self._fail(Verdict(NOT_RUN, NO_BACKEND if why == "refused" else CONNECTION_FAILED))
        else:
            self._fail(Verdict(MAY_HAVE_RUN, MALFORMED_ANSWER if answer_begun else CONNECTION_BROKEN, True))

    # End of the request.

    def _deadline_passed(self) -> None:
        self.deadline_timer = None
        if not self.is_over:
            ran = MAY_HAVE_RUN if self.head_written else NOT_RUN
            self._fail(Verdict(ran, TIMED_OUT, self.head_written))

    def _fail(self, verdict: Verdict) -> None:
        if not self.is_over:
            if verdict.ran != NOT_RUN:
                self.inbound.failed += 1
            load = self.gate.load()
            self._release()
            self.responder.fail(verdict, load)

    def _release(self) -> None:
        """Gives the slot and the connection back."""
        self.is_over = True
        if self.deadline_timer is not None:
            self.deadline_timer.cancel()
        if self.backend_connection is not None:
            backend_connection, self.backend_connection = self.backend_connection, None
            backend_connection.release()
        if self.waiter is not None:
            self.gate.admission.remove(self.waiter)
            self.waiter = None
        self.body.clear()
        self._stop_receiving(0.0)
        if self.slow_start_timer is not None:
            self.slow_start_timer.cancel()
            self.slow_start_timer = None
            self.inbound.waiting_for_slow_start -= 1
        if self.started:
            now = self.inbound.host.now()
            self.gate.admission.finish(
                now, self.short, now - self.begun_at if self.head is not None else None
            )
            self.inbound.queue_runner.start_soon()
        self.inbound.pending_requests.pop(self, None)


class _RequestConnectionUser:
    """Adapts an `InboundRequest` to a `ConnectionUser`, whose `data` takes the answer's body."""

    __slots__ = ("answered", "attempt", "bodiless", "broken", "data", "drained", "method", "ready", "whole")

    def __init__(self, request: InboundRequest) -> None:
        self.attempt, self.method = request.attempt, request.forwarded.method
        self.bodiless = self.method == b"HEAD"
        self.ready, self.answered, self.data = request.ready, request.answered, request.answer_data
        self.whole, self.broken, self.drained = request.whole, request.broken, request.drained


class Inbound:
    """All requests sent through one gate to its backend."""

    def __init__(self, host: Host, gate: Gate, pool: BackendConnectionPool, lifetime: Lifetime) -> None:
        self.host, self.gate, self.pool, self.lifetime = host, gate, pool, lifetime
        self.pending_requests: dict[InboundRequest, None] = {}
        self.rejections: dict[int, int] = {}
        self.served = self.failed = self.cancelled = 0
        self.shutting_down = False
        self.waiting_for_slow_start = 0  # requests
        self.link_bytes_s = float("inf")  # rate of this machine's network link, in bytes a second
        self.body_flow_control = BodyFlowControl()
        self.receiving = 0  # requests whose bodies are received before they have a slot
        self.stall_timer: Timer | None = None
        self.queue_runner = QueueRunner(host, gate.admission)
        self.drift_monitor: DriftMonitor | None = None
        self.backend_mismatches = 0  # times that no backend, or another one, was found at the address

    def begin(self, forwarded: ForwardedRequest, responder: Responder) -> InboundRequest:
        """Takes a request from a source; `responder` gets its outcome, possibly from within this call."""
        request = InboundRequest(self, forwarded, responder)
        self.pending_requests[request] = None
        if self.drift_monitor is None or self.drift_monitor.admits(request):
            request.admit_or_reject()
        return request

    def finish(self) -> None:
        """Ends every request because this process ends; each source gets what is known."""
        for request in list(self.pending_requests):
            request.finish()

    def window(self) -> int:
        """Returns the bytes of one more body that may be in flight: its share of the link's time."""
        bodies = 1 + sum(
            1 for request in self.pending_requests if request.started and not request.body_complete
        )
        return int(max(INITIAL_WINDOW, min(WINDOW_SIZE, self.link_bytes_s * MAX_IN_FLIGHT_S / bodies)))

    def set_link_speed(self, mbps: float) -> None:
        """Sets the rate of this machine's network link, in megabits a second."""
        self.link_bytes_s = mbps * 125_000.0
        self.body_flow_control.set_link_rate(self.link_bytes_s)

    def expected_s(self, request: InboundRequest) -> float:
        """Returns the expected wait for a slot in s, behind requests whose bodies are being received."""
        admission, now = self.gate.admission, self.host.now()
        if admission.can_start(now, request.short) and admission.running + self.receiving < admission.slots:
            return 0.0
        return admission.expected_wait_s((request.forwarded.priority, request.forwarded.latency_target_s)) + (
            self.receiving * admission.mean_s / max(1, admission.slots)
        )

    def request_body_bytes(self) -> None:
        """Requests bytes of bodies, and again after `STALL_S` where a stalled body may delay others."""
        if self.body_flow_control.request_more(self.host.now()) and self.stall_timer is None:
            self.stall_timer = self.host.after(STALL_S, self._stall_ended)

    def _stall_ended(self) -> None:
        self.stall_timer = None
        self.request_body_bytes()

    def update_slots(self, load: bytes) -> None:
        """Takes the number of slots from a load header, which has the form `running,waiting,slots`."""
        figures = load.split(b",")
        if len(figures) == 3 and figures[2].strip().isdigit():
            slots = int(figures[2])
            if 0 < slots < 100000:
                self.gate.admission.slots = slots

    def connection_refused(self) -> None:
        """Notes that the backend refused a connection, so that none is there."""
        self.backend_mismatches += 1
        self.gate.backend_missing()
        self.pool.close_idle()

    def other_backend_found(self) -> None:
        """Notes that another backend answers at the address than the expected instance."""
        self.backend_mismatches += 1
        self.gate.backend_missing()
        self.pool.close_idle()
