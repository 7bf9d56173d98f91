"""The destination's side of a request: judged by the gate, given a slot, sent to the backend, answered.

Theory of operation. `begin` judges at once and again when a waiting request's turn comes. One that is
admitted
holds a slot until it is over. Its head is written to the backend only when its body has begun to come, or
is whole
where it is short: a source that has sent no byte of a body knows that nothing has run. Where that took a
while, the gate judges once more: what was admitted then may be forbidden now. An answer up to
`WHOLE_BYTES` goes on whole, so that what breaks off before has shown the client nothing.

    asked -> receiving -> waiting -> admitted -> sent -> answering -> over
      \\________\\__________\\________ refused (not run)   \\_______ failed (may have run)

A body over `SHORT_BYTES` and up to `HELD_BYTES` is received before a slot is asked for: over a thin link it
takes longer than the work, and a slot held meanwhile is a slot that nobody uses. How much of it is asked for
when is the `Intake`'s word. A longer one takes its slot first and goes on as it comes.

Each `Job` tells its end once. `_over` is the only place that gives the slot and the connection back.
"""

from __future__ import annotations

from honeywharf.admission.body_intake import STALL_S, Intake
from honeywharf.codecs.heads import UNKNOWN, ResponseHead
from honeywharf.sidecar.backend import Taps
from honeywharf.transport.stream import INITIAL_WINDOW, WINDOW_SIZE
from honeywharf.verdict import (
    BROKEN_OFF,
    CHOKED,
    COLD,
    FULL,
    GARBLED,
    LATE,
    LEAVING,
    MAY_HAVE_RUN,
    NOBODY,
    NOT_RUN,
    REFUSED,
    TIMED_OUT,
    TURNED_AWAY,
    Verdict,
)

TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Protocol

    from honeywharf.admission.admission_queue import Waiter
    from honeywharf.admission.body_intake import PendingBody
    from honeywharf.drift.requests import DriftMonitor
    from honeywharf.sidecar.backend import Tap
    from honeywharf.sidecar.gate import Gate
    from honeywharf.transport.host import Host, Timer
    from honeywharf.transport.stream import ForwardedRequest

    class Responder(Protocol):
        """Where a job's outcome goes: a stream's frames, or the source in this process."""

        def admit(self) -> None:
            """It is admitted."""

        def window(self, size: int) -> None:
            """So many bytes of the request's body have gone on."""

        def answer(
            self, status: int, fields: bytes, length: int, load: tuple[int, int, int], body: bytes | None
        ) -> None:
            """The answer, whole, or its head."""

        def data(self, data: bytes) -> None:
            """A part of the answer's body."""

        def complete(self) -> None:
            """The answer is whole."""

        def fail(self, verdict: Verdict, load: tuple[int, int, int]) -> None:
            """No answer comes, or none further."""


SHORT_BYTES = INITIAL_WINDOW  # of a body that is held whole before the backend sees its head
WHOLE_BYTES = 64 * 1024  # of an answer that goes on whole
HELD_BYTES = 512 * 1024  # of a request's body that is held before it has a slot
BACKLOG = 0.3  # of the aim, that a body's first byte may wait for the link
WAIT = 0.5  # of the aim, that one whose body is here may wait for a slot
ON_THE_WAY_S = 0.1  # of the link's time, for longer bodies: what comes behind them waits no longer
MAX_THAWING = 64  # requests that wait for a cold backend
LEAVING_S = 1.0  # told by one that leaves: it is asked to let a request wait only after all others
LATE_S = 0.03  # past the deadline, for the backend's own word of it
MIN_REMAINING_S = 0.005  # left, under which a request is not begun
JUDGED_S = 0.1  # for so long a judgement holds; less than the cold bound's window is over a second


class Job:
    """One request at its destination."""

    __slots__ = (
        "answers",
        "ask",
        "attempt",
        "begun_at",
        "body",
        "credit",
        "due",
        "ended",
        "gate",
        "head",
        "held",
        "inbound",
        "judged_at",
        "kept",
        "over",
        "place",
        "read",
        "receiving",
        "short",
        "started",
        "streaming",
        "tap",
        "tap_up",
        "thaw",
        "until",
        "waiter",
        "went",
        "wrote",
    )

    def __init__(self, inbound: Inbound, ask: ForwardedRequest, answers: Responder) -> None:
        self.inbound, self.ask, self.answers, self.gate = inbound, ask, answers, inbound.gate
        self.attempt = ask.attempt_id
        self.until = inbound.host.now() + ask.remaining_s
        self.waiter: Waiter | None = None
        self.thaw: Timer | None = None  # while it waits for a cold backend
        self.place: PendingBody | None = None  # of its body on the link
        self.receiving = self.went = False  # its body comes before a slot; the source was told to send it
        self.tap: Tap | None = None
        self.due: Timer | None = None
        self.body: list[bytes] = []  # of the request, not yet written
        self.read = self.held = 0  # bytes of it that came, that are held
        self.ended = self.over = self.started = self.wrote = self.tap_up = self.streaming = False
        self.head: ResponseHead | None = None
        self.kept: list[bytes] = []  # of an answer that goes on whole, or for which there is no window
        self.credit = WINDOW_SIZE
        self.begun_at = self.judged_at = 0.0

    # Judged.

    def judge(self) -> None:
        """Run it, queue it, or refuse it."""
        inbound, ask, now = self.inbound, self.ask, self.inbound.host.now()
        if not self._passes(now):
            return
        self.short = inbound.gate.admission.is_short(ask.latency_target_s)
        if not self.ended and (SHORT_BYTES < ask.length <= HELD_BYTES or ask.length == UNKNOWN):
            self._receive(now)
        else:
            self._seat(now)

    def _seat(self, now: float) -> None:
        """Have a slot, wait for one, or be refused."""
        ask, admission = self.ask, self.inbound.gate.admission
        if admission.can_start(now, self.short):
            self._start(now)
        elif ask.max_queue_wait_s > 0:
            self.waiter = admission.enqueue(
                now,
                (ask.priority, ask.latency_target_s),
                min(ask.max_queue_wait_s, ask.remaining_s),
                self._turn,
                self._too_long,
            )
            if self.waiter is None:
                self.refuse(FULL, admission.expected_wait_s((ask.priority, ask.latency_target_s)))
            else:
                self.inbound.look_soon()
        else:
            self.refuse(FULL, admission.expected_wait_s((ask.priority, ask.latency_target_s)))

    def _receive(self, now: float) -> None:
        """Have the body come, if a slot is likely once it is here; before a byte of it there is a proof."""
        inbound, ask = self.inbound, self.ask
        expected = inbound.expected_s(self)
        if expected > ask.max_queue_wait_s:
            self.refuse(FULL, expected)
        elif not ask.peer:  # from this machine's own client, over no link of ours
            self.receiving = self.went = True
            inbound.receiving += 1
            self.answers.admit()
            if not self.over:
                self.answers.window(WINDOW_SIZE - INITIAL_WINDOW)
        else:
            backlog, place = inbound.intake.backlog_s(), None
            if backlog <= BACKLOG * ask.latency_target_s:
                place = inbound.intake.add(now, ask.length, self._give)
            if place is None:
                self.refuse(CHOKED, max(0.02, backlog))
                return
            self.receiving, self.place = True, place
            inbound.receiving += 1
            inbound.pump_intake()
        if self.receiving and not self.over:
            self._due(now)

    def _due(self, now: float) -> None:
        if self.due is None:
            self.due = self.inbound.host.after(self.until - now + LATE_S, self._late)

    def _give(self, size: int) -> None:
        """The link has room for so many further bytes."""
        if not self.went:
            self.went = True
            self.answers.admit()
            size -= INITIAL_WINDOW
        if size > 0:
            self.answers.window(size)

    def _received(self, size: int) -> None:
        """A part of a body that is received before it has a slot."""
        inbound, now = self.inbound, self.inbound.host.now()
        if self.read > HELD_BYTES:  # longer than it looked: it goes on as it comes from here
            self._no_more(now)
            self.ask.max_queue_wait_s = max(self.ask.max_queue_wait_s, WAIT * self.ask.latency_target_s)
            if self._passes(now):
                self._seat(now)
        elif self.place is None:
            self.answers.window(size)
        else:
            inbound.intake.record_received(now, self.place, size)
            inbound.pump_intake()

    def _no_more(self, now: float) -> None:
        """Its body is whole, or is not received any more."""
        if self.receiving:
            self.receiving = False
            self.inbound.receiving -= 1
        if self.place is not None:
            self.inbound.intake.discard(self.place)
            self.place = None
            self.inbound.pump_intake()

    def _passes(self, now: float) -> bool:
        inbound, ask = self.inbound, self.ask
        if self.until - now < MIN_REMAINING_S:
            self.refuse(LATE, 0.0)
        elif (inbound.leaving and not ask.max_queue_wait_s) or self.until > inbound.end_at:
            self.refuse(LEAVING, LEAVING_S)
        else:
            refusal = inbound.gate.refusal(now, ask.service)
            if refusal is None:
                return True
            if refusal[0] == COLD and refusal[1] <= ask.max_queue_wait_s and inbound.thawing < MAX_THAWING:
                inbound.thawing += 1
                ask.max_queue_wait_s -= refusal[1]
                self.thaw = inbound.host.after(refusal[1], self._thawed)
                return False
            self.refuse(*refusal)
        return False

    def _thawed(self) -> None:
        """A cold backend may take one more: this one, or another that waited as long."""
        self.thaw = None
        self.inbound.thawing -= 1
        self.judge()

    def _turn(self) -> None:
        self.waiter = None
        now, drift_monitor = self.inbound.host.now(), self.inbound.drift_monitor
        if self._passes(now) and (drift_monitor is None or drift_monitor.still(self)):
            self._start(now)

    def _too_long(self) -> None:
        self.waiter = None
        self.refuse(
            FULL, self.inbound.gate.admission.expected_wait_s((self.ask.priority, self.ask.latency_target_s))
        )

    def refuse(self, why: int, again_s: float) -> None:
        """It does not run here: the proof, and seconds after which another try may do better."""
        self.inbound.refused[why] = self.inbound.refused.get(why, 0) + 1
        self._fail(Verdict(NOT_RUN, why, False, again_s))

    # Runs.

    def _start(self, now: float) -> None:
        self.gate.admission.start(now, self.short)
        self.gate.sends(now)
        self.started, self.begun_at, self.judged_at = True, now, now
        self._due(now)
        if self.ask.length != 0 and not self.went:
            self.went = True
            self.answers.admit()
            more = self.inbound.window() - INITIAL_WINDOW
            if more > 0 and not self.over and not 0 <= self.ask.length <= INITIAL_WINDOW:
                self.answers.window(more)
        self._write()

    def _write(self) -> None:
        """Write what may be written: the head first, once there is reason to."""
        if not self.started or self.over:
            return
        if self.tap is None:
            short = 0 <= self.ask.length <= SHORT_BYTES
            if not self.ended and self.ask.length != 0 and (short or not self.read):
                return
            if not self._still_passes():
                return
            self.tap = self.inbound.taps.take(_User(self), fresh=self.ask.kind != 0)
            if self.tap is None:
                self.refuse(FULL, 0.05)
            return
        if not self.tap_up or not (self.wrote or self._still_passes()):
            return
        data = b"".join(self.body)
        self.body.clear()
        if not self.wrote:
            data = self._head_bytes() + self._framed(data)
            self.wrote = True
            self.tap.write(data, last=self.ended or self.ask.length == 0)
        elif data or self.ended:
            self.tap.write(self._framed(data), last=self.ended)
        if not self.tap.unsent:
            self.drained()

    def _still_passes(self) -> bool:
        """Judge once more where the last judgement is old: its body was slow, or the connection was."""
        now = self.inbound.host.now()
        if now - self.judged_at <= JUDGED_S:
            return True
        self.judged_at = now
        refusal = self.gate.refusal(now, self.ask.service)
        if refusal is not None:
            self.refuse(*refusal)
            return False
        if self.inbound.drift_monitor is not None and not self.inbound.drift_monitor.still(self):
            return False
        self.gate.sends(now)
        return True

    def _head_bytes(self) -> bytes:
        ask = self.ask
        remaining = max(1, int((self.until - self.inbound.host.now()) * 1000.0))
        framing = b""
        if ask.length == UNKNOWN:
            framing = b"Transfer-Encoding: chunked\r\n"
        elif ask.length or ask.method not in (b"GET", b"HEAD"):
            framing = b"Content-Length: %d\r\n" % ask.length
        return (
            b"%b %b HTTP/1.1\r\n%b%bX-Honeywharf-Deadline-Remaining: %d\r\n"
            b"X-Honeywharf-Expected-Instance: %b\r\nX-Honeywharf-Caller-Service: %b\r\n\r\n"
            % (
                ask.method,
                ask.target,
                ask.fields,
                framing,
                remaining,
                self.gate.instance.encode(),
                ask.caller.encode(),
            )
        )

    def _framed(self, data: bytes) -> bytes:
        if self.ask.length != UNKNOWN:
            return data
        chunk = b"%x\r\n%b\r\n" % (len(data), data) if data else b""
        return chunk + b"0\r\n\r\n" if self.ended else chunk

    # What the source says.

    def data(self, data: bytes) -> None:
        """A part of the request's body."""
        if self.over:
            return
        self.body.append(data)
        self.read += len(data)
        if self.receiving:
            self._received(len(data))
        else:
            self.held += len(data)
            self._write()

    def end(self) -> None:
        """The body is whole."""
        if self.over:
            return
        self.ended = True
        if not self.receiving:
            self._write()
            return
        now, drift_monitor = self.inbound.host.now(), self.inbound.drift_monitor
        self._no_more(now)
        self.ask.max_queue_wait_s = max(self.ask.max_queue_wait_s, WAIT * self.ask.latency_target_s)
        if self._passes(now) and (drift_monitor is None or drift_monitor.still(self)):
            self._seat(now)

    def window(self, size: int) -> None:
        """So many further bytes of the answer may be sent."""
        self.credit += size
        if self.streaming and not self.over:
            self._pass_on()

    def cancel(self) -> None:
        """Nobody waits any more."""
        if not self.over:
            self.inbound.cancelled += 1
            self._done()

    def finish(self) -> None:
        """This process ends: tell the source what is known of the request, instead of a lost link."""
        if self.over:
            return
        if self.wrote:
            self._fail(Verdict(MAY_HAVE_RUN, LEAVING, True))
        else:
            self.refuse(LEAVING, LEAVING_S)

    # What the connection to the backend says.

    def ready(self) -> None:
        """It is up."""
        if not self.over:
            self.tap_up = True
            self._write()

    def drained(self) -> None:
        """What was written has gone: the source may send as much again."""
        if self.held and not self.body and not self.over:
            held, self.held = self.held, 0
            self.answers.window(held)

    def answered(self, answer: ResponseHead) -> None:
        """The head of the answer."""
        self.head = answer
        if answer.cold_s is not None:
            self.gate.cold_until = max(self.gate.cold_until, self.inbound.host.now() + answer.cold_s)
        if answer.load:
            self.inbound.told_load(answer.load)

    def answer_data(self, data: bytes) -> None:
        """A part of the answer's body."""
        self.kept.append(data)
        if self.streaming:
            self._pass_on()
        elif sum(map(len, self.kept)) > WHOLE_BYTES:
            head = self.head
            assert head is not None
            if not self._good():
                self._no_answer(head)  # nobody may see it, so nothing more of it is held
                return
            self.streaming = True
            self.answers.answer(head.status, b"".join(head.fields), head.length, self.gate.load(), None)
            self._pass_on()

    def _pass_on(self) -> None:
        """Pass on what the window allows; read on when all of it has gone."""
        data = b"".join(self.kept)
        now, rest = data[: self.credit], data[self.credit :]
        self.credit -= len(now)
        self.kept = [rest] if rest else []
        if now:
            self.answers.data(now)
        if self.tap is not None:
            (self.tap.connection.pause if rest else self.tap.connection.resume)()

    def _good(self) -> bool:
        """Whether the answer is one that a client may see: a success has the seal, and is not encoded."""
        head = self.head
        return (
            head is not None
            and not head.is_not_executed
            and (head.status >= 300 or head.sealed)
            and not head.encoded
        )

    def whole(self) -> None:
        """The answer is whole."""
        self.tap = None
        head = self.head
        assert head is not None
        if self.streaming:
            self.credit = 1 << 62
            self._pass_on()
            self.inbound.served += 1
            self.answers.complete()
            self._done()
        elif not self._good():
            self._no_answer(head)
        else:
            body = b"".join(self.kept)
            self.inbound.served += 1
            length = head.length if self.ask.method == b"HEAD" else len(body)
            self.answers.answer(head.status, b"".join(head.fields), length, self.gate.load(), body)
            self._done()

    def _no_answer(self, head: ResponseHead) -> None:
        """What came is none that a client may see: the backend's word that it has not run, or nonsense."""
        if head.is_not_executed:
            if head.status == 421:
                self.inbound.other_there()
            self._fail(Verdict(NOT_RUN, TURNED_AWAY, True, 0.05))
        else:
            self._fail(Verdict(MAY_HAVE_RUN, GARBLED, True))

    def broken(self, why: str, sent: bool, heard: bool) -> None:
        """The connection to the backend is gone."""
        self.tap = None
        if not sent:
            if why == "refused":
                self.inbound.nobody_there()
            self._fail(Verdict(NOT_RUN, NOBODY if why == "refused" else REFUSED))
        else:
            self._fail(Verdict(MAY_HAVE_RUN, GARBLED if heard else BROKEN_OFF, True))

    # Ends.

    def _late(self) -> None:
        self.due = None
        if not self.over:
            ran = MAY_HAVE_RUN if self.wrote else NOT_RUN
            self._fail(Verdict(ran, TIMED_OUT, self.wrote))

    def _fail(self, verdict: Verdict) -> None:
        if not self.over:
            if verdict.ran != NOT_RUN:
                self.inbound.failed += 1
            load = self.gate.load()
            self._done()
            self.answers.fail(verdict, load)

    def _done(self) -> None:
        """Give the slot and the connection back."""
        self.over = True
        if self.due is not None:
            self.due.cancel()
        if self.tap is not None:
            tap, self.tap = self.tap, None
            tap.release()
        if self.waiter is not None:
            self.gate.admission.remove(self.waiter)
            self.waiter = None
        self.body.clear()
        self._no_more(0.0)
        if self.thaw is not None:
            self.thaw.cancel()
            self.thaw = None
            self.inbound.thawing -= 1
        if self.started:
            now = self.inbound.host.now()
            self.gate.admission.finish(
                now, self.short, now - self.begun_at if self.head is not None else None
            )
            self.inbound.pump_soon()
        self.inbound.jobs.pop(self, None)


class _User:
    """A job as a connection's user: a request's body and an answer's both come as `data`."""

    __slots__ = ("answered", "attempt", "bodiless", "broken", "data", "drained", "method", "ready", "whole")

    def __init__(self, job: Job) -> None:
        self.attempt, self.method = job.attempt, job.ask.method
        self.bodiless = self.method == b"HEAD"
        self.ready, self.answered, self.data = job.ready, job.answered, job.answer_data
        self.whole, self.broken, self.drained = job.whole, job.broken, job.drained


class Inbound:
    """All jobs before one backend."""

    def __init__(self, host: Host, gate: Gate, taps: Taps) -> None:
        self.host, self.gate, self.taps = host, gate, taps
        self.jobs: dict[Job, None] = {}
        self.refused: dict[int, int] = {}
        self.served = self.failed = self.cancelled = 0
        self.leaving = False
        self.end_at = float("inf")  # when this process ends: what may take longer is not begun
        self.thawing = 0  # requests that wait for a cold backend
        self.link_bytes_s = float("inf")  # of this machine's link
        self.intake = Intake()
        self.receiving = 0  # requests whose bodies come before they have a slot
        self.intake_due: Timer | None = None
        self.look: Timer | None = None
        self.look_at = 0.0
        self.pumping = False
        self.drift_monitor: DriftMonitor | None = None
        self.suspects = 0  # times at which the backend was found missing or another

    def begin(self, ask: ForwardedRequest, answers: Responder) -> Job:
        """Take a request from a source; its outcome goes to `answers`, perhaps from within this call."""
        job = Job(self, ask, answers)
        self.jobs[job] = None
        if self.drift_monitor is None or self.drift_monitor.passes(job):
            job.judge()
        return job

    def finish(self) -> None:
        """This process ends now: the source of each job is told what is known of it."""
        for job in list(self.jobs):
            job.finish()

    def window(self) -> int:
        """Bytes of one more request's body that may be on the way: its share of the link's time."""
        bodies = 1 + sum(1 for job in self.jobs if job.started and not job.ended)
        return int(max(INITIAL_WINDOW, min(WINDOW_SIZE, self.link_bytes_s * ON_THE_WAY_S / bodies)))

    def linked(self, mbps: float) -> None:
        """How fast this machine's link is, in megabits a second."""
        self.link_bytes_s = mbps * 125_000.0
        self.intake.set_link_rate(self.link_bytes_s)

    def expected_s(self, job: Job) -> float:
        """How long it would wait for a slot if its body were here, after those whose bodies come."""
        admission, now = self.gate.admission, self.host.now()
        if admission.can_start(now, job.short) and admission.running + self.receiving < admission.slots:
            return 0.0
        return admission.expected_wait_s((job.ask.priority, job.ask.latency_target_s)) + (
            self.receiving * admission.mean_s / max(1, admission.slots)
        )

    def pump_intake(self) -> None:
        """Ask for bytes of bodies; look again soon where some wait behind one that may have stalled."""
        if self.intake.request_more(self.host.now()) and self.intake_due is None:
            self.intake_due = self.host.after(STALL_S, self._pump_intake)

    def _pump_intake(self) -> None:
        self.intake_due = None
        self.pump_intake()

    def told_load(self, load: bytes) -> None:
        """The backend told running, waiting, slots."""
        figures = load.split(b",")
        if len(figures) == 3 and figures[2].strip().isdigit():
            slots = int(figures[2])
            if 0 < slots < 100000:
                self.gate.admission.slots = slots

    def nobody_there(self) -> None:
        """A connection was refused."""
        self.suspects += 1
        self.gate.missing()
        self.taps.flush()

    def other_there(self) -> None:
        """The backend there is not the one that was meant."""
        self.suspects += 1
        self.gate.missing()
        self.taps.flush()

    def pump_soon(self) -> None:
        """Let those who wait run, when what is under way has returned."""
        if not self.pumping:
            self.pumping = True
            self.host.after(0.0, self._pump)

    def _pump(self) -> None:
        self.pumping = False
        admission = self.gate.admission
        while True:
            waiter = admission.pop_next(self.host.now())
            if waiter is None:
                return
            waiter.start()

    def look_soon(self) -> None:
        """See to those who wait too long."""
        due = self.gate.admission.next_expiry()
        if due is None or (self.look is not None and self.look_at <= due):
            return
        if self.look is not None:
            self.look.cancel()
        self.look_at = due
        self.look = self.host.after(max(0.0, due - self.host.now()), self._look)

    def _look(self) -> None:
        self.look = None
        for waiter in self.gate.admission.pop_expired(self.host.now()):
            waiter.refuse()
        self.look_soon()
