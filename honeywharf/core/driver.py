"""The driver: events into the decision module one at a time, its actions carried out in order.

It owns the clock, the timers and the table of requests, and knows nothing of sockets: callers and backends
are behind `Caller` and `Transport`. It decides nothing. What else is told of a request's course hangs on
the seams (`core.seams`); bytes either way are a request's and a response's `pipe`.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import cast

from honeywharf.core.exchange import Attempt, Exchange
from honeywharf.core.forms import Forms, tries_name
from honeywharf.core.messages import Request, Response, Status, pairs
from honeywharf.core.probes import Probes
from honeywharf.core.seams import NOBODY, Follower, Seams
from honeywharf.core.transport import (
    Caller,
    Clock,
    Decider,
    Loop,
    Registry,
    StreamingCaller,
    Transport,
    log,
)
from honeywharf.core.turns import Turns
from honeywharf.policy import interface as api

# The request's timer may come so early, and ends its attempts. Guards against one that is sent after that, to
# a silent backend: it would stay for ever.
LAST_MS = 1.0
INFINITY = float("inf")
COUNTED = {outcome: outcome.value for outcome in api.Outcome}  # looked up faster than an enum's value
FAILED_BY = {reason: f"failed:{reason.value or 'unsaid'}" for reason in api.Reason}
REFUSED_BY = {reason: f"refused:{reason.value or 'unsaid'}" for reason in api.Reason}


class Driver:
    """One proxy's decision module at work."""

    def __init__(
        self,
        settings: api.Settings,
        balancer: Decider,
        transport: Transport,
        loop: Loop,
        clock: Clock,
        report_fields: tuple[str, ...] = (),
    ) -> None:
        self.settings, self.transport, self.loop, self.clock = settings, transport, loop, clock
        self.decide: Callable[[float, api.Event], list[api.Action]] = balancer.handle
        self.registry: Registry | None = None
        self.seams = Seams()
        self.turns = Turns(clock)
        self.forms = Forms(settings)
        # A report's figures by the settings' names, or by the interface's where they are the same thing.
        self.report_fields = tuple(zip(report_fields, settings.report_fields, strict=False))
        self.requests: dict[str, Exchange] = {}
        self.open = 0  # requests that are owed an answer
        self.events: deque[tuple[api.Event, Exchange | None]] = deque()
        self.scheduled = self.running = False
        self.counts: dict[str, int] = {}
        self.probes = Probes(transport, loop, clock, self._feed, self._report)

    def start(self, known: api.EndpointsListed) -> None:
        """Tell the module that it runs, and the list that it held last."""
        self._feed(api.Started())
        self._feed(known)
        self._run()

    # What happens.

    def full(self) -> bool:
        """Whether the site's bound on open requests is reached."""
        return 0 < self.settings.limits.max_open <= self.open

    def offer(self, request: Request, caller: Caller) -> str | None:
        """Take a request, or refuse it before it reaches the module; what is wrong with it, if so."""
        fault = self.forms.fault_of(request)
        if fault is None:
            if self.seams.tracer is not None:
                self.seams.begin(request, request.read_ms or self.clock.now())
            if self.full():
                self.closed(request, "refused", "too many open")
                caller.answer(Status.REFUSED)  # nothing has run
            elif not self.arrived(request, caller):
                self.closed(request, "failed", "conflict")
                caller.answer(Status.CONFLICT)
        return fault

    def closed(self, request: Request, how: str, reason: str) -> None:
        """End the trace of a request that is answered without the module; before its answer is written."""
        self.seams.unseen(request, how, reason, self.clock.now())

    def arrived(self, request: Request, caller: Caller) -> bool:
        """Take a sound request; False where its id is in the table, or its key's request can't be joined."""
        if request.left_ms is None:
            return False
        left = self.forms.left_ms(request) - (self.clock.now() - request.read_ms)
        cls = self.forms.classes[request.class_name]
        if (
            self.seams.joins is not None
            and cls.effect is api.Effect.KEYED
            and (request.idempotency_key and request.pipe is None)
        ):  # it is known by its payload: not in hand
            return self.seams.joins.arrived(request, caller, left)
        return self.take(request, caller, left)

    def take(
        self,
        request: Request,
        caller: Caller,
        left: float,
        earlier: api.Earlier | None = None,
        follower: Follower | None = None,
    ) -> bool:
        """Take a request that has `left` ms; False where its id is already in the table."""
        if request.id in self.requests:
            return False
        self._blind()
        arriving = request.pipe is not None and not request.pipe.ended
        followers = NOBODY
        if follower is not None:
            followers += (follower,)
        if request.traced is not None:
            followers += (request.traced,)
        exchange = Exchange(request, caller, INFINITY if arriving else self.clock.now() + left, followers)
        self.requests[request.id] = exchange
        self.open += 1
        if arriving and request.pipe is not None:
            request.pipe.on_complete = lambda: self.whole(exchange)  # its time runs from its last byte
        else:
            exchange.timer = self.loop.call_later(max(0.0, left) / 1000.0, self._overdue, exchange)
        if self.seams.connected:
            self._feed(api.ClientsConnected(self.seams.connections()))
        self._feed(
            api.RequestArrived(
                request.id,
                request.class_name,
                left,
                request.account,
                request.repeat,
                request.sid,
                pairs(request.facts).get("isWrite", 0.0) > 0 if request.facts else False,
                request.hint_ms,
                earlier,
                tries_name(request) if self.seams.storms else b"",
                arriving,
            ),
            exchange,
        )
        return True

    def whole(self, exchange: Exchange) -> None:
        """The last byte of a long body has come: the request's time, and its attempt's, runs from now."""
        request, now = exchange.request, self.clock.now()
        if exchange.answered or request.left_ms is None:
            return
        left = self.forms.left_ms(request)
        exchange.deadline_ms = now + left
        exchange.timer = self.loop.call_later(left / 1000.0, self._overdue, exchange)
        for attempt in exchange.out():
            attempt.sent_ms, attempt.until_ms = now, exchange.deadline_ms
        self._feed(api.RequestWhole(request.id, left), exchange)

    def gone(self, request: Request) -> None:
        """The client has left. Attempts that are out go on, as they do at the backend."""
        exchange = self.requests.get(request.id)
        if exchange is not None and exchange.request is request and not exchange.answered:
            self._finish(exchange, "gone")
            if exchange.deadline_ms == INFINITY:  # nobody will ever have all of its body
                for attempt in exchange.out():
                    self._end(attempt, api.Outcome.CANCELLED)
            self._feed(api.RequestExpired(request.id), exchange)
        elif self.seams.joins is not None:
            self.seams.joins.gone(request)

    def beside(self, zones: dict[str, int]) -> None:
        """The other process of this proxy has so many calls out, by zone."""
        self._feed(api.CallsBeside(zones))

    def broken(self, endpoint: str) -> None:
        """An answer that had begun has broken off in the middle."""
        self.count("broken off")
        self._feed(api.AnswerBroken(endpoint))

    def listed(self, event: api.EndpointsListed) -> None:
        """Word from discovery goes before all that waits: a drain holds for each send after it."""
        self.events.appendleft((event, None))
        self._run()

    def retune(
        self,
        settings: api.Settings,
        report_fields: tuple[str, ...],
        former: dict[str, api.RequestClass],
    ) -> None:
        """Take new settings over, before all that waits. `former`: classes that may come in that form too."""
        self.settings, self.forms = settings, Forms(settings, former)
        self.report_fields = tuple(zip(report_fields, settings.report_fields, strict=False))
        self.events.appendleft((api.SettingsChanged(settings), None))
        self._run()

    def excluded(self, names: frozenset[str]) -> None:
        """An operator's word on who is out goes before all that waits, as discovery's does."""
        self.events.appendleft((api.EndpointsExcluded(names), None))
        self._run()

    def attempt_ended(self, attempt: Attempt, outcome: api.Outcome, response: Response | None) -> None:
        """Note an attempt's one outcome; the first 200 goes to the client at once."""
        if not attempt.live:
            return
        exchange, now = attempt.exchange, self.clock.now()
        attempt.live = False
        exchange.live -= 1
        if attempt.timer is not None:
            attempt.timer.cancel()
        own = now - max(attempt.sent_ms, self._blind())
        pipe = exchange.request.pipe
        if exchange.followers:
            exchange.ended(attempt.number, outcome, response, now)
        if outcome is api.Outcome.OK and response is not None and not exchange.answered:
            self._finish(exchange, "served")
            if response.pipe is None:  # the usual one: an argument less is some time less
                exchange.caller.answer(Status.SERVED, response.body, kind=response.kind)
            else:
                cast("StreamingCaller", exchange.caller).pass_on(response.pipe, response.kind)
        elif response is not None and response.pipe is not None:
            response.pipe.cancel()  # of a copy that nobody waits for
        self.count(COUNTED[outcome])
        self._feed(
            api.AttemptEnded(
                exchange.request.id,
                attempt.number,
                outcome,
                now - attempt.sent_ms,
                exchange.answered,
                self._report(response.load) if response is not None else None,
                attempt.endpoint,
                max(0.0, own),
                pipe is not None and pipe.replay_lost,
            ),
            exchange,
        )

    def _blind(self) -> float:
        """Since when this proxy's own work may have kept it from reading what came."""
        return self.turns.came(self.loop.time())

    # Timers.

    def _overdue(self, exchange: Exchange) -> None:
        """The client's time is up: what is out has timed out, and the answer is due now."""
        early = exchange.deadline_ms - self.clock.now()
        if early > LAST_MS:  # the loop's timers may come a little early
            exchange.timer = self.loop.call_later(early / 1000.0, self._overdue, exchange)
            return
        for attempt in exchange.out():
            self._time_out(attempt)
        self._run()
        if not exchange.answered:
            # Guards against a module that keeps a request past its time, or broke on it.
            self._finish(exchange, "overdue")
            exchange.caller.answer(Status.FAILED)
            self._feed(api.RequestExpired(exchange.request.id), exchange)

    def _time_out(self, attempt: Attempt) -> None:
        """Nothing came in time. Guards against a vanished machine, which says nothing ever."""
        self._end(attempt, api.Outcome.TIMEOUT)

    def _end(self, attempt: Attempt, outcome: api.Outcome) -> None:
        """Nobody waits for what is out any more."""
        if attempt.live:
            self.transport.abort(attempt)
            self.attempt_ended(attempt, outcome, None)

    def _woken(self, at_ms: float, token: str) -> None:
        early = at_ms - self.clock.now()
        if early > 0:
            self.loop.call_later(early / 1000.0, self._woken, at_ms, token)
        else:
            self._feed(api.TimerFired(token))

    # Events in, actions out.

    def _feed(self, event: api.Event, exchange: Exchange | None = None) -> None:
        if exchange is not None:
            exchange.queued += 1
        self.events.append((event, exchange))
        if not self.scheduled:
            self.scheduled = True
            self.loop.call_soon(self._run)

    def _run(self) -> None:
        """Hand the module all that waits, one at a time; what its actions cause is queued behind."""
        if self.running:
            return
        self.running = True
        while self.events:
            event, exchange = self.events.popleft()
            try:
                actions = self.decide(self.clock.now(), event)
            except Exception as fault:  # one broken decision must not take the others' requests along
                log(
                    f"decision failed on {type(event).__name__}: {type(fault).__name__}: {fault}",
                    "decision.failed",
                    "error",
                )
                actions = []
                if exchange is not None and not exchange.answered:
                    self._finish(exchange, "broken")
                    exchange.caller.answer(Status.FAILED)
                if exchange is not None and not isinstance(event, api.RequestExpired):
                    # Nothing of it stays in the module.
                    self._feed(api.RequestExpired(exchange.request.id), exchange)
            for action in actions:
                try:
                    self._perform(action)
                except Exception as fault:
                    log(
                        f"action failed: {action!r}: {type(fault).__name__}: {fault}",
                        "action.failed",
                        "error",
                    )
            if exchange is not None:
                exchange.queued -= 1
                if exchange.answered and not exchange.live and not exchange.queued:
                    self._forget(exchange)
        self.running = self.scheduled = False
        turn_ms = self.turns.turned()
        if turn_ms >= 0.0:
            self._feed(api.LoopTurned(turn_ms))

    def _perform(self, action: api.Action) -> None:
        if isinstance(action, api.Send):
            self._send(action)
        elif isinstance(action, api.Refuse):
            if self._answer(
                action.request,
                Status.REFUSED,
                "refused",
                action.retry_after_ms,
                action.reason.value,
                action.why,
            ):
                self.count(REFUSED_BY[action.reason])
        elif isinstance(action, api.Fail):
            if self._answer(
                action.request, Status.FAILED, "failed", reason=action.reason.value, why=action.why
            ):
                self.count(FAILED_BY[action.reason])
        elif isinstance(action, api.SetTimer):
            if action.at_ms < INFINITY:  # not for what is still arriving
                delay = max(0.0, action.at_ms - self.clock.now()) / 1000.0
                self.loop.call_later(delay, self._woken, action.at_ms, action.token)
        elif isinstance(action, api.Cancel):
            self._cancel(action)
        elif isinstance(action, api.Probe):
            self.probes.start(action.endpoint, bool(self.report_fields))
        elif isinstance(action, api.WatchEndpoints):
            if self.registry is not None:
                self.registry.watch()
        elif isinstance(action, api.FetchEndpoints):
            if self.registry is not None:
                self.registry.fetch()
        elif isinstance(action, api.CloseIdle):
            self.transport.close_idle(action.endpoint)
        elif isinstance(action, api.PaceConnections):
            if self.seams.pace is not None:
                self.seams.pace(action.per_s)
        else:
            log(action.words, "module")

    def _send(self, action: api.Send) -> None:
        exchange, now = self.requests.get(action.request), self.clock.now()
        if exchange is None:
            self._feed(
                api.AttemptEnded(action.request, 0, api.Outcome.NOT_SENT, 0.0, True, None, action.endpoint)
            )
            return
        until = exchange.deadline_ms
        if action.timeout_ms:
            until = min(until, now + action.timeout_ms)
        pipe = exchange.request.pipe
        gone = pipe is not None and (pipe.replay_lost or pipe.failed or pipe.cancelled)
        if (
            gone
            or exchange.answered
            or len(exchange.attempts) >= self.settings.limits.max_attempts
            or until <= now + LAST_MS
            or not self.transport.known(action.endpoint)
        ):
            # Guards the rules on answers, effects and drains, whatever the module asks for.
            self._feed(
                api.AttemptEnded(
                    exchange.request.id,
                    len(exchange.attempts),
                    api.Outcome.NOT_SENT,
                    0.0,
                    exchange.answered,
                    None,
                    action.endpoint,
                    0.0,
                    gone,
                ),
                exchange,
            )
            exchange.attempts.append(None)
            return
        attempt = Attempt(self, exchange, action.endpoint, now, until)
        exchange.attempts.append(attempt)
        exchange.live += 1
        leaves = not exchange.followers or exchange.sending(attempt, action, now)
        if until < exchange.deadline_ms - LAST_MS:  # else the request's own timer ends it
            attempt.timer = self.loop.call_later((until - now) / 1000.0, self._time_out, attempt)
        if leaves:
            self.transport.start(attempt)

    def go(self, request: str, number: int, sure: bool) -> None:
        """An attempt that a follower has held back leaves now, or never."""
        attempt = self._attempt(request, number)
        if attempt is not None and attempt.live:
            if sure and not attempt.exchange.answered and attempt.until_ms > self.clock.now() + LAST_MS:
                self.transport.start(attempt)
            else:
                self.attempt_ended(attempt, api.Outcome.NOT_SENT, None)

    def _attempt(self, request: str, number: int) -> Attempt | None:
        """One of a request's attempts; None where there is none, or it was never sent."""
        exchange = self.requests.get(request)
        if exchange is None or not 0 <= number < len(exchange.attempts):
            return None
        return exchange.attempts[number]

    def _cancel(self, action: api.Cancel) -> None:
        attempt = self._attempt(action.request, action.attempt)
        if attempt is not None:
            self._end(attempt, api.Outcome.CANCELLED)

    def _answer(
        self,
        request: str,
        status: Status,
        how: str,
        retry_after_ms: float = 0.0,
        reason: str = "",
        why: api.Why | None = None,
    ) -> bool:
        """Give the final answer; False where there is none to give any more."""
        exchange = self.requests.get(request)
        if exchange is None or exchange.answered:
            return False
        self._finish(exchange, how, reason, why)
        exchange.caller.answer(status, retry_after_ms=retry_after_ms)
        return True

    def fail_all(self) -> None:
        """Answer all that is open: the process is about to be killed."""
        for exchange in list(self.requests.values()):
            if not exchange.answered:
                self._finish(exchange, "cut off")
                exchange.caller.answer(Status.FAILED)
        if self.seams.joins is not None:
            self.seams.joins.fail_all()

    # The table.

    def _finish(
        self,
        exchange: Exchange,
        how: str,
        reason: str = "",
        why: api.Why | None = None,
    ) -> None:
        """Nothing is owed any more; the one place that says so, so that there is one final answer."""
        exchange.answered = True
        self.open -= 1
        self.count(how)
        if exchange.followers:
            exchange.finished(how, reason, why, self.clock.now())
        if self.seams.answers:
            request, now = exchange.request, self.clock.now()
            self.seams.answered(request, how, now - (request.read_ms or now), now, request.traced)

    def _forget(self, exchange: Exchange) -> None:
        if self.requests.get(exchange.request.id) is exchange:
            del self.requests[exchange.request.id]
        if exchange.timer is not None:
            exchange.timer.cancel()
        exchange.settled(self.clock.now() if exchange.followers else 0.0)

    def count(self, what: str) -> None:
        """One more of it, for the operator's line."""
        self.counts[what] = self.counts.get(what, 0) + 1

    def _report(self, load: bytes | None) -> tuple[float, ...] | None:
        """A load report in the order of the settings; None where it is none, or lacks a figure."""
        if not load or not self.report_fields:
            return None
        figures = pairs(load)
        row = [figures.get(told, figures.get(own)) for told, own in self.report_fields]
        return None if None in row else tuple(x for x in row if x is not None)
