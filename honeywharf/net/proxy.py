"""The driver: events into the decision module one at a time, its actions carried out in order.

It owns the clock, the timers and the table of requests, and knows nothing of sockets: callers and backends
are behind `Caller` and `Transport`. It decides nothing.
"""

from __future__ import annotations

import sys
import time
from collections import deque
from collections.abc import Callable
from typing import Protocol

from mypy_extensions import mypyc_attr

from honeywharf import interface as api
from honeywharf.net import http1

# The final answer has to be on its way before the client gives up: its time ran from its sending, so part of
# it was gone when the request was read, and the timer may run late.
ANSWER_MARGIN_MS = 10.0
# The request's timer may come so early, and ends its attempts. Guards against one that is sent after that, to
# a silent backend: it would stay for ever.
LAST_MS = 1.0
FAILED = 502
REFUSED = 503
COUNTED = {outcome: outcome.value for outcome in api.Outcome}  # looked up faster than an enum's value
REFUSED_BY = {reason: f"refused:{reason.value or 'unsaid'}" for reason in api.Reason}


def log(words: str) -> None:
    """A line for the operator."""
    print(words, file=sys.stderr, flush=True)


@mypyc_attr(allow_interpreted_subclasses=True)
class Clock:
    """Wall-clock time at the start plus the monotonic time since, in ms: it never goes back.

    Guards against comparing `startedAtMs`, which is Unix time, with a clock of another origin, or one that
    somebody sets.
    """

    def __init__(self) -> None:
        self._offset_ms = time.time() * 1000.0 - time.monotonic() * 1000.0

    def now(self) -> float:
        """Milliseconds of Unix time."""
        return self._offset_ms + time.monotonic() * 1000.0

    def at(self, monotonic_s: float) -> float:
        """A time of the monotonic clock in milliseconds of Unix time."""
        return self._offset_ms + monotonic_s * 1000.0


class Timer(Protocol):
    """What the event loop gives for a callback that is to come."""

    def cancel(self) -> None:
        """Take the callback back."""


class Loop(Protocol):
    """The part of the event loop that the driver needs."""

    def time(self) -> float:
        """When the loop's present turn began to carry callbacks out, in s of the monotonic clock."""

    def call_soon(self, callback: Callable[..., object], *args: object) -> object:
        """Call back in the loop's next turn."""

    def call_later(self, delay: float, callback: Callable[..., object], *args: object) -> Timer:
        """Call back after so many seconds."""


class Caller(Protocol):
    """Where a request came from and its one final answer goes."""

    def answer(
        self, status: int, body: bytes = b"", *, retry_after_ms: float = 0.0, kind: bytes = b"",
    ) -> None:
        """Write the final answer."""


@mypyc_attr(allow_interpreted_subclasses=True)
class Call:
    """Bytes on their way to a backend and back. The transport calls `ended` once, unless it is aborted."""

    __slots__ = ("body", "connection", "endpoint", "head", "opening", "probe", "until_ms")

    def __init__(
        self, endpoint: str, head: bytes, body: bytes, until_ms: float, *, probe: bool = False,
    ) -> None:
        self.endpoint, self.head, self.body = endpoint, head, body
        self.until_ms, self.probe = until_ms, probe
        self.connection: object = None
        self.opening = False

    def ended(self, outcome: api.Outcome, response: http1.Response | None) -> None:
        """What came of it."""
        raise NotImplementedError


class Transport(Protocol):
    """The way to the backends."""

    def known(self, endpoint: str) -> bool:
        """Whether a list has named the endpoint."""

    def start(self, call: Call) -> None:
        """Carry the call; its end comes later, never from within."""

    def abort(self, call: Call) -> None:
        """Give the call up: its connection closes, and no end is told."""

    def close_idle(self, endpoint: str) -> None:
        """Close the idle connections to an endpoint."""


class Registry(Protocol):
    """Where lists of endpoints come from."""

    def watch(self) -> None:
        """Ask for changes from now on."""

    def fetch(self) -> None:
        """Ask for the whole list once."""


class Decider(Protocol):
    """The decision module."""

    def handle(self, now_ms: float, event: api.Event) -> list[api.Action]:
        """Take one event; what to do, in order."""


class Watcher(Protocol):
    """Who is told of what becomes of a request's attempts: the holder of an idempotency key's claim."""

    def sent(self, number: int, zone: str, cell: int, now_ms: float) -> bool:
        """An attempt is about to leave; False where it may only once the driver is told by `go`."""

    def ended(self, number: int, outcome: api.Outcome, response: http1.Response | None) -> None:
        """An attempt has its one outcome."""

    def settled(self) -> None:
        """Nothing of the request is out or owed any more."""


class Keys(Protocol):
    """What joins requests of one idempotency key, before the driver."""

    def arrived(self, request: http1.Request, caller: Caller, left_ms: float) -> bool:
        """Take a sound request of a keyed class that has `left_ms`; False where it can't be joined."""

    def gone(self, request: http1.Request) -> None:
        """The client of a request that waits for another has left."""

    def fail_all(self) -> None:
        """Answer all that wait."""


class Held:
    """A request in the table: until it is over, its attempts have ended and the module has been told."""

    __slots__ = ("attempts", "caller", "deadline_ms", "head", "live", "over", "queued", "request", "timer",
                 "watcher")

    def __init__(self, request: http1.Request, caller: Caller, deadline_ms: float) -> None:
        self.request, self.caller, self.deadline_ms = request, caller, deadline_ms
        self.head = request.head()
        self.attempts: list[Attempt | None] = []  # None where it was never sent
        self.live = 0
        self.queued = 0  # events that name it and are not handled yet
        self.over = False
        self.timer: Timer | None = None
        self.watcher: Watcher | None = None


class Attempt(Call):
    """One attempt of a request."""

    __slots__ = ("__weakref__", "driver", "held", "live", "number", "sent_ms", "timer")

    def __init__(self, driver: Driver, held: Held, endpoint: str, now: float, until_ms: float) -> None:
        super().__init__(endpoint, held.head, held.request.body, until_ms)
        self.driver, self.held, self.number, self.sent_ms = driver, held, len(held.attempts), now
        self.live = True
        self.timer: Timer | None = None

    def ended(self, outcome: api.Outcome, response: http1.Response | None) -> None:
        """Pass the outcome on."""
        self.driver.attempt_ended(self, outcome, response)


class Probe(Call):
    """A health check of a backend."""

    __slots__ = ("driver", "live", "sent_ms", "timer")

    def __init__(self, driver: Driver, endpoint: str, head: bytes, now: float, until_ms: float) -> None:
        super().__init__(endpoint, head, b"", until_ms, probe=True)
        self.driver, self.sent_ms, self.live = driver, now, True
        self.timer: Timer | None = None

    def ended(self, outcome: api.Outcome, response: http1.Response | None) -> None:
        """Pass the finding on."""
        self.driver.probe_ended(self, outcome, response)


PROBE_TIMEOUT_MS = 250.0
LOOP_MS = 100.0  # how often the module is told of the loop's turns: of the shortest in that time
BUSY_MS = 0.5  # a wait for I/O shorter than that is none: the loop knows its own time by the ms only


class Driver:
    """One proxy's decision module at work."""

    def __init__(
        self, settings: api.Settings, balancer: Decider, transport: Transport, loop: Loop, clock: Clock,
        report_fields: tuple[str, ...] = (),
    ) -> None:
        self.settings, self.transport, self.loop, self.clock = settings, transport, loop, clock
        self.decide: Callable[[float, api.Event], list[api.Action]] = balancer.handle
        self.registry: Registry | None = None
        self.keys: Keys | None = None  # where idempotency keys are known at the edge
        self.classes = {c.name: c for c in settings.classes}
        # A report's figures by the settings' names, or by the interface's where they are the same thing.
        self.report_fields = tuple(zip(report_fields, settings.report_fields, strict=False))
        self.probe_path = b"/stats" if self.report_fields else b"/health/live"
        self.requests: dict[str, Held] = {}
        self.open = 0  # requests that are owed an answer
        self.events: deque[tuple[api.Event, Held | None]] = deque()
        self.scheduled = self.running = False
        self.counts: dict[str, int] = {}
        # The loop's turns: since when what came in may have waited for this proxy, when it last went to wait
        # for I/O, when the module is told next, and the shortest turn since it was told.
        self.blind_ms = self.turn_ms = self.waits_ms = self.tell_ms = 0.0
        self.least_turn_ms = float("inf")
        self.marked = False  # whether anything came in this turn

    def start(self, known: api.EndpointsListed) -> None:
        """Tell the module that it runs, and the list that it held last."""
        self._feed(api.Started())
        self._feed(known)
        self._run()

    # What happens.

    def fault_of(self, request: http1.Request) -> str | None:
        """Why the request can't be given to the module, if so."""
        cls = self.classes.get(request.class_name)
        if cls is None:
            return "unknown class"
        if not request.id:
            return "no id"
        if request.left_ms is None:
            return "no time left"
        if request.method != (b"GET" if cls.effect is api.Effect.REPEATABLE else b"POST"):
            return "a method that is not the class's"
        if request.method == b"GET" and request.body:
            return "a body where none belongs"
        if (cls.effect is api.Effect.KEYED) != bool(request.idempotency_key):
            return "an idempotency key where none belongs, or none where one does"
        return None

    def full(self) -> bool:
        """Whether the site's bound on open requests is reached."""
        return 0 < self.settings.limits.max_open <= self.open

    def arrived(self, request: http1.Request, caller: Caller) -> bool:
        """Take a sound request; False where its id is in the table, or its key's request can't be joined."""
        if request.left_ms is None:
            return False
        # Guards against a time left of years: no client of the class waits longer than its deadline.
        cls = self.classes[request.class_name]
        left = max(0.0, min(request.left_ms, cls.deadline_ms) - ANSWER_MARGIN_MS)
        left -= self.clock.now() - request.read_ms
        if self.keys is not None and cls.effect is api.Effect.KEYED:
            return self.keys.arrived(request, caller, left)
        return self.take(request, caller, left)

    def take(
        self, request: http1.Request, caller: Caller, left: float, earlier: api.Earlier | None = None,
        watcher: Watcher | None = None,
    ) -> bool:
        """Take a request that has `left` ms; False where its id is already in the table."""
        if request.id in self.requests:
            return False
        self._blind()
        held = Held(request, caller, self.clock.now() + left)
        held.watcher = watcher
        self.requests[request.id] = held
        self.open += 1
        held.timer = self.loop.call_later(max(0.0, left) / 1000.0, self._overdue, held)
        self._feed(api.RequestArrived(
            request.id, request.class_name, left, request.account, request.repeat, request.sid,
            http1.pairs(request.facts).get("isWrite", 0.0) > 0 if request.facts else False, request.hint_ms,
            earlier,
        ), held)
        return True

    def gone(self, request: http1.Request) -> None:
        """The client has left. Attempts that are out go on, as they do at the backend."""
        held = self.requests.get(request.id)
        if held is not None and held.request is request and not held.over:
            self._over(held, "gone")
            self._feed(api.RequestExpired(request.id), held)
        elif self.keys is not None:
            self.keys.gone(request)

    def listed(self, event: api.EndpointsListed) -> None:
        """Word from discovery goes before all that waits: a drain holds for each send after it."""
        self.events.appendleft((event, None))
        self._run()

    def attempt_ended(self, attempt: Attempt, outcome: api.Outcome, response: http1.Response | None) -> None:
        """Note an attempt's one outcome; the first 200 goes to the client at once."""
        if not attempt.live:
            return
        held, now = attempt.held, self.clock.now()
        attempt.live = False
        held.live -= 1
        if attempt.timer is not None:
            attempt.timer.cancel()
        own = now - max(attempt.sent_ms, self._blind())
        if held.watcher is not None:
            held.watcher.ended(attempt.number, outcome, response)
        if outcome is api.Outcome.OK and response is not None and not held.over:
            self._over(held, "served")
            held.caller.answer(200, response.body, kind=response.kind)
        self.count(COUNTED[outcome])
        self._feed(api.AttemptEnded(
            held.request.id, attempt.number, outcome, now - attempt.sent_ms, held.over,
            self._report(response.load) if response is not None else None, attempt.endpoint, max(0.0, own),
        ), held)

    def probe_ended(self, probe: Probe, outcome: api.Outcome, response: http1.Response | None) -> None:
        """Tell the module what a probe found."""
        if not probe.live:
            return
        probe.live = False
        if probe.timer is not None:
            probe.timer.cancel()
        report = None
        if response is not None:
            report = self._report(response.load or response.body)
        self._feed(api.ProbeEnded(probe.endpoint, outcome, self.clock.now() - probe.sent_ms, report))

    def _blind(self) -> float:
        """Since when this proxy's own work may have kept it from reading what came.

        Guards against taking its own lateness for a zone's: while it is busy, an answer that came in the last
        turn is read in this one, behind others.
        """
        turn = self.clock.at(self.loop.time())
        if turn != self.turn_ms:
            busy = turn - self.waits_ms < BUSY_MS
            self.blind_ms, self.turn_ms = self.turn_ms if busy else turn, turn
        self.marked = True
        return self.blind_ms

    def _turned(self) -> None:
        """The loop is about to wait for I/O again: measure its turn."""
        before, self.waits_ms = self.waits_ms, self.clock.now()
        if not self.marked:
            return  # nothing that counts came in this turn: its start is not known
        self.marked = False
        self.least_turn_ms = min(self.least_turn_ms, self.waits_ms - max(before, self.turn_ms))
        if self.waits_ms >= self.tell_ms:
            self.tell_ms = self.waits_ms + LOOP_MS
            self._feed(api.LoopTurned(self.least_turn_ms))
            self.least_turn_ms = float("inf")

    # Timers.

    def _overdue(self, held: Held) -> None:
        """The client's time is up: what is out has timed out, and the answer is due now."""
        early = held.deadline_ms - self.clock.now()
        if early > LAST_MS:  # the loop's timers may come a little early
            held.timer = self.loop.call_later(early / 1000.0, self._overdue, held)
            return
        for attempt in held.attempts:
            if attempt is not None and attempt.live:
                self._time_out(attempt)
        self._run()
        if not held.over:
            # Guards against a module that keeps a request past its time, or broke on it.
            self._over(held, "overdue")
            held.caller.answer(FAILED)
            self._feed(api.RequestExpired(held.request.id), held)

    def _time_out(self, attempt: Attempt) -> None:
        """Nothing came in time. Guards against a vanished machine, which says nothing ever."""
        if attempt.live:
            self.transport.abort(attempt)
            self.attempt_ended(attempt, api.Outcome.TIMEOUT, None)

    def _probe_time_out(self, probe: Probe) -> None:
        if probe.live:
            self.transport.abort(probe)
            self.probe_ended(probe, api.Outcome.TIMEOUT, None)

    def _woken(self, at_ms: float, token: str) -> None:
        early = at_ms - self.clock.now()
        if early > 0:
            self.loop.call_later(early / 1000.0, self._woken, at_ms, token)
        else:
            self._feed(api.TimerFired(token))

    # Events in, actions out.

    def _feed(self, event: api.Event, held: Held | None = None) -> None:
        if held is not None:
            held.queued += 1
        self.events.append((event, held))
        if not self.scheduled:
            self.scheduled = True
            self.loop.call_soon(self._run)

    def _run(self) -> None:
        """Hand the module all that waits, one at a time; what its actions cause is queued behind."""
        if self.running:
            return
        self.running = True
        while self.events:
            event, held = self.events.popleft()
            try:
                actions = self.decide(self.clock.now(), event)
            except Exception as fault:  # one broken decision must not take the others' requests along
                log(f"decision failed on {type(event).__name__}: {type(fault).__name__}: {fault}")
                actions = []
                if held is not None and not held.over:
                    self._over(held, "broken")
                    held.caller.answer(FAILED)
                if held is not None and not isinstance(event, api.RequestExpired):
                    self._feed(api.RequestExpired(held.request.id), held)  # nothing of it stays in the module
            for action in actions:
                try:
                    self._perform(action)
                except Exception as fault:
                    log(f"action failed: {action!r}: {type(fault).__name__}: {fault}")
            if held is not None:
                held.queued -= 1
                if held.over and not held.live and not held.queued:
                    self._forget(held)
        self.running = self.scheduled = False
        self._turned()

    def _perform(self, action: api.Action) -> None:
        if isinstance(action, api.Send):
            self._send(action)
        elif isinstance(action, api.Refuse):
            if self._answer(action.request, REFUSED, "refused", action.retry_after_ms):
                self.count(REFUSED_BY[action.reason])
        elif isinstance(action, api.Fail):
            self._answer(action.request, FAILED, "failed")
        elif isinstance(action, api.SetTimer):
            delay = max(0.0, action.at_ms - self.clock.now()) / 1000.0
            self.loop.call_later(delay, self._woken, action.at_ms, action.token)
        elif isinstance(action, api.Cancel):
            self._cancel(action)
        elif isinstance(action, api.Probe):
            self._probe(action.endpoint)
        elif isinstance(action, api.WatchEndpoints):
            if self.registry is not None:
                self.registry.watch()
        elif isinstance(action, api.FetchEndpoints):
            if self.registry is not None:
                self.registry.fetch()
        elif isinstance(action, api.CloseIdle):
            self.transport.close_idle(action.endpoint)
        else:
            log(action.words)

    def _send(self, action: api.Send) -> None:
        held, now = self.requests.get(action.request), self.clock.now()
        if held is None:
            self._feed(api.AttemptEnded(
                action.request, 0, api.Outcome.NOT_SENT, 0.0, True, None, action.endpoint))
            return
        until = held.deadline_ms
        if action.timeout_ms:
            until = min(until, now + action.timeout_ms)
        if (held.over or len(held.attempts) >= self.settings.limits.max_attempts or until <= now + LAST_MS
                or not self.transport.known(action.endpoint)):
            # Guards the rules on answers, effects and drains, whatever the module asks for.
            self._feed(api.AttemptEnded(
                held.request.id, len(held.attempts), api.Outcome.NOT_SENT, 0.0, held.over, None,
                action.endpoint,
            ), held)
            held.attempts.append(None)
            return
        attempt = Attempt(self, held, action.endpoint, now, until)
        held.attempts.append(attempt)
        held.live += 1
        if until < held.deadline_ms - LAST_MS:  # else the request's own timer ends it
            attempt.timer = self.loop.call_later((until - now) / 1000.0, self._time_out, attempt)
        if held.watcher is None or held.watcher.sent(attempt.number, action.zone, action.cell, now):
            self.transport.start(attempt)

    def go(self, request: str, number: int, sure: bool) -> None:
        """An attempt that its watcher has held back leaves now, or never."""
        held = self.requests.get(request)
        attempt = held.attempts[number] if held is not None and number < len(held.attempts) else None
        if attempt is not None and attempt.live:
            if sure and not attempt.held.over and attempt.until_ms > self.clock.now() + LAST_MS:
                self.transport.start(attempt)
            else:
                self.attempt_ended(attempt, api.Outcome.NOT_SENT, None)

    def _cancel(self, action: api.Cancel) -> None:
        held = self.requests.get(action.request)
        attempt = held.attempts[action.attempt] if held and 0 <= action.attempt < len(held.attempts) else None
        if attempt is not None and attempt.live:
            self.transport.abort(attempt)
            self.attempt_ended(attempt, api.Outcome.CANCELLED, None)

    def _probe(self, endpoint: str) -> None:
        now = self.clock.now()
        if not self.transport.known(endpoint):
            self._feed(api.ProbeEnded(endpoint, api.Outcome.NOT_SENT, 0.0))
            return
        probe = Probe(self, endpoint, b"GET %b HTTP/1.1\r\n" % self.probe_path, now, now + PROBE_TIMEOUT_MS)
        probe.timer = self.loop.call_later(PROBE_TIMEOUT_MS / 1000.0, self._probe_time_out, probe)
        self.transport.start(probe)

    def _answer(self, request: str, status: int, how: str, retry_after_ms: float = 0.0) -> bool:
        """Give the final answer; False where there is none to give any more."""
        held = self.requests.get(request)
        if held is None or held.over:
            return False
        self._over(held, how)
        held.caller.answer(status, retry_after_ms=retry_after_ms)
        return True

    def fail_all(self) -> None:
        """Answer all that is open: the process is about to be killed."""
        for held in list(self.requests.values()):
            if not held.over:
                self._over(held, "cut off")
                held.caller.answer(FAILED)
        if self.keys is not None:
            self.keys.fail_all()

    # The table.

    def _over(self, held: Held, how: str) -> None:
        """Nothing is owed any more; the one place that says so, so that there is one final answer."""
        held.over = True
        self.open -= 1
        self.count(how)

    def _forget(self, held: Held) -> None:
        if self.requests.get(held.request.id) is held:
            del self.requests[held.request.id]
        if held.timer is not None:
            held.timer.cancel()
        if held.watcher is not None:
            held.watcher.settled()
        held.attempts = []  # guards against memory that waits for the collector: they hold it in turn

    def count(self, what: str) -> None:
        """One more of it, for the operator's line."""
        self.counts[what] = self.counts.get(what, 0) + 1

    def _report(self, load: bytes | None) -> tuple[float, ...] | None:
        """A load report in the order of the settings; None where it is none, or lacks a figure."""
        if not load or not self.report_fields:
            return None
        figures = http1.pairs(load)
        row = [figures.get(told, figures.get(own)) for told, own in self.report_fields]
        return None if None in row else tuple(x for x in row if x is not None)
