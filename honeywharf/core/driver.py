"""The driver hands events to the decision module one at a time and carries out its actions in order.

The driver owns the clock, the timers and the table of requests, but no sockets: clients and backends are
behind `Caller` and `Transport`. It makes no balancing decisions. Other parts observe a request through the
hooks (`core.hooks`); bodies are streamed through the `pipe` of a request or response.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import cast

from honeywharf.core.exchange import Attempt, Exchange
from honeywharf.core.hooks import NO_OBSERVERS, Hooks, RequestObserver
from honeywharf.core.messages import Request, Response, Status, parse_pairs
from honeywharf.core.probes import Probes
from honeywharf.core.transport import (
    Caller,
    Clock,
    DecisionModule,
    Loop,
    Registry,
    StreamingCaller,
    Transport,
    log,
)
from honeywharf.core.turns import LoopTurns
from honeywharf.core.validation import RequestValidator, retry_group
from honeywharf.policy import interface as api

# Attempts with less time left are not sent. The request's timer may fire this much early and end its
# attempts, so nothing would end one that is sent after that to a silent backend.
MIN_ATTEMPT_MS = 1.0
INFINITY = float("inf")
# A table, because an enum's `value` is slower to look up.
OUTCOME_COUNTERS = {outcome: outcome.value for outcome in api.Outcome}
FAILURE_COUNTERS = {reason: f"failed:{reason.value or 'unsaid'}" for reason in api.Reason}
REFUSAL_COUNTERS = {reason: f"refused:{reason.value or 'unsaid'}" for reason in api.Reason}


class Driver:
    """Runs the decision module of one proxy."""

    def __init__(
        self,
        settings: api.Settings,
        balancer: DecisionModule,
        transport: Transport,
        loop: Loop,
        clock: Clock,
        report_fields: tuple[str, ...] = (),
    ) -> None:
        self.settings, self.transport, self.loop, self.clock = settings, transport, loop, clock
        self.decide: Callable[[float, api.Event], list[api.Action]] = balancer.handle
        self.registry: Registry | None = None
        self.hooks = Hooks()
        self.loop_turns = LoopTurns(clock)
        self.validator = RequestValidator(settings)
        # The fields of a load report under the names of the settings, or of the interface.
        self.report_fields = tuple(zip(report_fields, settings.report_fields, strict=False))
        self.requests: dict[str, Exchange] = {}
        self.open_requests = 0  # requests without a final answer
        self.event_queue: deque[tuple[api.Event, Exchange | None]] = deque()
        self.scheduled = self.running = False
        # Every request in flight is answered at this time, as the process ends then. It is in ms.
        self.answers_until_ms = INFINITY
        self.counts: dict[str, int] = {}
        self.probes = Probes(transport, loop, clock, self._enqueue, self._parse_report)

    def start(self, known: api.EndpointsListed) -> None:
        """Starts the decision module with the list of endpoints that was known last."""
        self._enqueue(api.Started())
        self._enqueue(known)
        self._process_events()

    # Input from clients, discovery and operators.

    def is_full(self) -> bool:
        """Whether the configured limit on open requests is reached."""
        return 0 < self.settings.limits.max_open <= self.open_requests

    def submit(self, request: Request, caller: Caller) -> str | None:
        """Accepts a request, or answers it without a decision. Returns what is invalid, if anything."""
        error = self.validator.error_of(request)
        if error is None:
            if self.hooks.tracer is not None:
                self.hooks.begin(request, request.read_ms or self.clock.now())
            if self.is_full():
                self.close_without_decision(request, "refused", "too many open")
                caller.answer(Status.REFUSED)  # nothing has run, so a retry is safe
            elif self._may_outlast(request):
                self.close_without_decision(request, "refused", "may outlast this process")
                caller.answer(Status.REFUSED)  # how long a backend takes is bounded by the deadline alone
            elif not self.accept(request, caller):
                self.close_without_decision(request, "failed", "conflict")
                caller.answer(Status.CONFLICT)
        return error

    def _may_outlast(self, request: Request) -> bool:
        """Whether a request would begin to run now, and may still be running when this process ends.

        A repetition of a known key begins nothing, and a refusal would deny what its first may have done.
        """
        if self.clock.now() + self.validator.answer_time_ms(request) <= self.answers_until_ms:
            return False
        deduplicator = self.hooks.request_deduplicator
        return deduplicator is None or not deduplicator.knows(request)

    def close_without_decision(self, request: Request, how: str, reason: str) -> None:
        """Ends the trace of a request that is answered without a decision, before its answer."""
        self.hooks.answered_without_decision(request, how, reason, self.clock.now())

    def accept(self, request: Request, caller: Caller) -> bool:
        """Accepts a valid request. Returns False if its id is in the table or it can't be joined."""
        if request.left_ms is None:
            return False
        remaining_ms = self.validator.answer_time_ms(request) - (self.clock.now() - request.read_ms)
        cls = self.validator.classes[request.class_name]
        if (
            self.hooks.request_deduplicator is not None
            and cls.effect is api.Effect.KEYED
            and (request.idempotency_key and request.pipe is None)
        ):  # Joining compares payloads, and a streamed body has not been read yet.
            return self.hooks.request_deduplicator.accept(request, caller, remaining_ms)
        return self.admit(request, caller, remaining_ms)

    def admit(
        self,
        request: Request,
        caller: Caller,
        remaining_ms: float,
        earlier: api.Earlier | None = None,
        observer: RequestObserver | None = None,
    ) -> bool:
        """Adds a request that has `remaining_ms` to the table. Returns False if its id is already there."""
        if request.id in self.requests:
            return False
        self._note_arrival()
        arriving = request.pipe is not None and not request.pipe.ended
        observers = NO_OBSERVERS
        if observer is not None:
            observers += (observer,)
        if request.trace is not None:
            observers += (request.trace,)
        exchange = Exchange(
            request, caller, INFINITY if arriving else self.clock.now() + remaining_ms, observers
        )
        self.requests[request.id] = exchange
        self.open_requests += 1
        if arriving and request.pipe is not None:
            # the time limit starts with the last byte
            request.pipe.on_complete = lambda: self.body_completed(exchange)
        else:
            exchange.timer = self.loop.call_later(
                max(0.0, remaining_ms) / 1000.0, self._deadline_passed, exchange
            )
        if self.hooks.new_connections:
            self._enqueue(api.ClientsConnected(self.hooks.take_new_connections()))
        self._enqueue(
            api.RequestArrived(
                request.id,
                request.class_name,
                remaining_ms,
                request.account,
                request.repeat,
                request.session_id,
                parse_pairs(request.facts).get("isWrite", 0.0) > 0 if request.facts else False,
                request.work_hint_ms,
                earlier,
                retry_group(request) if self.hooks.storm_control else b"",
                arriving,
            ),
            exchange,
        )
        return True

    def body_completed(self, exchange: Exchange) -> None:
        """Starts the time limit of a request, and of its attempts, when its streamed body has been read."""
        request, now = exchange.request, self.clock.now()
        if exchange.answered or request.left_ms is None:
            return
        remaining_ms = self.validator.answer_time_ms(request)
        exchange.deadline_ms = now + remaining_ms
        exchange.timer = self.loop.call_later(remaining_ms / 1000.0, self._deadline_passed, exchange)
        for attempt in exchange.attempts_in_flight():
            attempt.sent_ms, attempt.until_ms = now, exchange.deadline_ms
        self._enqueue(api.RequestWhole(request.id, remaining_ms), exchange)

    def client_disconnected(self, request: Request) -> None:
        """Ends a request whose client disconnected. Attempts in flight go on, as they do at the backend."""
        exchange = self.requests.get(request.id)
        if exchange is not None and exchange.request is request and not exchange.answered:
            self._finish(exchange, "gone")
            if exchange.deadline_ms == INFINITY:  # the body is never going to be complete
                for attempt in exchange.attempts_in_flight():
                    self._abort(attempt, api.Outcome.CANCELLED)
            self._enqueue(api.RequestExpired(request.id), exchange)
        elif self.hooks.request_deduplicator is not None:
            self.hooks.request_deduplicator.client_disconnected(request)

    def sibling_calls_changed(self, zones: dict[str, int]) -> None:
        """Passes on how many calls, by zone, the other process of this proxy has in flight."""
        self._enqueue(api.CallsBeside(zones))

    def answer_broken(self, endpoint: str) -> None:
        """Reports that a streamed answer broke off before its end."""
        self.count("broken off")
        self._enqueue(api.AnswerBroken(endpoint))

    def endpoints_listed(self, event: api.EndpointsListed) -> None:
        """Handles a list from discovery before all queued events: a drain applies to every later send."""
        self.event_queue.appendleft((event, None))
        self._process_events()

    def change_settings(
        self,
        settings: api.Settings,
        report_fields: tuple[str, ...],
        previous: dict[str, api.RequestClass],
    ) -> None:
        """Applies new settings before all queued events.

        `previous`: older forms of classes whose requests are still accepted.
        """
        self.settings, self.validator = settings, RequestValidator(settings, previous)
        self.report_fields = tuple(zip(report_fields, settings.report_fields, strict=False))
        self.event_queue.appendleft((api.SettingsChanged(settings), None))
        self._process_events()

    def endpoints_excluded(self, names: frozenset[str]) -> None:
        """Applies an operator's list of excluded endpoints before all queued events."""
        self.event_queue.appendleft((api.EndpointsExcluded(names), None))
        self._process_events()

    def attempt_ended(self, attempt: Attempt, outcome: api.Outcome, response: Response | None) -> None:
        """Records an attempt's single outcome; the first successful answer goes to the client at once."""
        if not attempt.live:
            return
        exchange, now = attempt.exchange, self.clock.now()
        attempt.live = False
        exchange.in_flight -= 1
        if attempt.timer is not None:
            attempt.timer.cancel()
        own_ms = now - max(attempt.sent_ms, self._note_arrival())
        pipe = exchange.request.pipe
        if exchange.observers:
            exchange.ended(attempt.number, outcome, response, now)
        if outcome is api.Outcome.OK and response is not None and not exchange.answered:
            self._finish(exchange, "served")
            if response.pipe is None:  # The common case passes fewer arguments, for speed.
                exchange.caller.answer(Status.SERVED, response.body, kind=response.kind)
            else:
                cast("StreamingCaller", exchange.caller).pass_on(response.pipe, response.kind)
        elif response is not None and response.pipe is not None:
            response.pipe.cancel()  # an answer to a redundant attempt is discarded
        self.count(OUTCOME_COUNTERS[outcome])
        self._enqueue(
            api.AttemptEnded(
                exchange.request.id,
                attempt.number,
                outcome,
                now - attempt.sent_ms,
                exchange.answered,
                self._parse_report(response.load) if response is not None else None,
                attempt.endpoint,
                max(0.0, own_ms),
                pipe is not None and pipe.replay_lost,
            ),
            exchange,
        )

    def _note_arrival(self) -> float:
        """Notes input in the current turn. Returns the earliest time at which it may have arrived unread."""
        return self.loop_turns.note_arrival(self.loop.time())

    # Timers.

    def _deadline_passed(self, exchange: Exchange) -> None:
        """Times out the attempts of a request whose deadline has passed, and makes sure it is answered."""
        early_ms = exchange.deadline_ms - self.clock.now()
        if early_ms > MIN_ATTEMPT_MS:  # the loop's timers may fire early
            exchange.timer = self.loop.call_later(early_ms / 1000.0, self._deadline_passed, exchange)
            return
        for attempt in exchange.attempts_in_flight():
            self._time_out(attempt)
        self._process_events()
        if not exchange.answered:
            # Guards against a decision module that keeps a request past its deadline or raised on it.
            self._finish(exchange, "overdue")
            exchange.caller.answer(Status.FAILED)
            self._enqueue(api.RequestExpired(exchange.request.id), exchange)

    def _time_out(self, attempt: Attempt) -> None:
        """Times an attempt out. Guards against a backend that vanished and never closes its connection."""
        self._abort(attempt, api.Outcome.TIMEOUT)

    def _abort(self, attempt: Attempt, outcome: api.Outcome) -> None:
        """Aborts an attempt whose answer is not needed."""
        if attempt.live:
            self.transport.abort(attempt)
            self.attempt_ended(attempt, outcome, None)

    def _timer_due(self, at_ms: float, token: str) -> None:
        early_ms = at_ms - self.clock.now()
        if early_ms > 0:
            self.loop.call_later(early_ms / 1000.0, self._timer_due, at_ms, token)
        else:
            self._enqueue(api.TimerFired(token))

    # Events in, actions out.

    def _enqueue(self, event: api.Event, exchange: Exchange | None = None) -> None:
        if exchange is not None:
            exchange.queued_events += 1
        self.event_queue.append((event, exchange))
        if not self.scheduled:
            self.scheduled = True
            self.loop.call_soon(self._process_events)

    def _process_events(self) -> None:
        """Handles all queued events one at a time; events caused by their actions are queued behind them."""
        if self.running:
            return
        self.running = True
        while self.event_queue:
            event, exchange = self.event_queue.popleft()
            try:
                actions = self.decide(self.clock.now(), event)
            except Exception as error:  # an error in one decision must not affect other requests
                log(
                    f"decision failed on {type(event).__name__}: {type(error).__name__}: {error}",
                    "decision.failed",
                    "error",
                )
                actions = []
                if exchange is not None and not exchange.answered:
                    self._finish(exchange, "broken")
                    exchange.caller.answer(Status.FAILED)
                if exchange is not None and not isinstance(event, api.RequestExpired):
                    # The decision module must not keep any state of the request.
                    self._enqueue(api.RequestExpired(exchange.request.id), exchange)
            for action in actions:
                try:
                    self._perform(action)
                except Exception as error:
                    log(
                        f"action failed: {action!r}: {type(error).__name__}: {error}",
                        "action.failed",
                        "error",
                    )
            if exchange is not None:
                exchange.queued_events -= 1
                if exchange.answered and not exchange.in_flight and not exchange.queued_events:
                    self._forget(exchange)
        self.running = self.scheduled = False
        turn_ms = self.loop_turns.turn_ended()
        if turn_ms >= 0.0:
            self._enqueue(api.LoopTurned(turn_ms))

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
                self.count(REFUSAL_COUNTERS[action.reason])
        elif isinstance(action, api.Fail):
            if self._answer(
                action.request, Status.FAILED, "failed", reason=action.reason.value, why=action.why
            ):
                self.count(FAILURE_COUNTERS[action.reason])
        elif isinstance(action, api.SetTimer):
            if action.at_ms < INFINITY:  # a request whose body is still arriving has no deadline yet
                delay = max(0.0, action.at_ms - self.clock.now()) / 1000.0
                self.loop.call_later(delay, self._timer_due, action.at_ms, action.token)
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
            if self.hooks.pace is not None:
                self.hooks.pace(action.per_s)
        else:
            log(action.words, "module")

    def _send(self, action: api.Send) -> None:
        exchange, now = self.requests.get(action.request), self.clock.now()
        if exchange is None:
            self._enqueue(
                api.AttemptEnded(action.request, 0, api.Outcome.NOT_SENT, 0.0, True, None, action.endpoint)
            )
            return
        attempt_deadline_ms = exchange.deadline_ms
        if action.timeout_ms:
            attempt_deadline_ms = min(attempt_deadline_ms, now + action.timeout_ms)
        pipe = exchange.request.pipe
        body_unavailable = pipe is not None and (pipe.replay_lost or pipe.failed or pipe.cancelled)
        if (
            body_unavailable
            or exchange.answered
            or len(exchange.attempts) >= self.settings.limits.max_attempts
            or attempt_deadline_ms <= now + MIN_ATTEMPT_MS
            or not self.transport.known(action.endpoint)
        ):
            # Enforces the rules on answers, effects and drains whatever the decision module returns.
            self._enqueue(
                api.AttemptEnded(
                    exchange.request.id,
                    len(exchange.attempts),
                    api.Outcome.NOT_SENT,
                    0.0,
                    exchange.answered,
                    None,
                    action.endpoint,
                    0.0,
                    body_unavailable,
                ),
                exchange,
            )
            exchange.attempts.append(None)
            return
        attempt = Attempt(self, exchange, action.endpoint, now, attempt_deadline_ms)
        exchange.attempts.append(attempt)
        exchange.in_flight += 1
        send_now = not exchange.observers or exchange.sending(attempt, action, now)
        if (
            attempt_deadline_ms < exchange.deadline_ms - MIN_ATTEMPT_MS
        ):  # otherwise the request's own timer ends it
            attempt.timer = self.loop.call_later(
                (attempt_deadline_ms - now) / 1000.0, self._time_out, attempt
            )
        if send_now:
            self.transport.start(attempt)

    def release_attempt(self, request: str, number: int, may_send: bool) -> None:
        """Sends an attempt that an observer delayed, or ends it as not sent if `may_send` is False."""
        attempt = self._attempt(request, number)
        if attempt is not None and attempt.live:
            if (
                may_send
                and not attempt.exchange.answered
                and attempt.until_ms > self.clock.now() + MIN_ATTEMPT_MS
            ):
                self.transport.start(attempt)
            else:
                self.attempt_ended(attempt, api.Outcome.NOT_SENT, None)

    def _attempt(self, request: str, number: int) -> Attempt | None:
        """Returns an attempt by number; None if the request is unknown or the attempt was never sent."""
        exchange = self.requests.get(request)
        if exchange is None or not 0 <= number < len(exchange.attempts):
            return None
        return exchange.attempts[number]

    def _cancel(self, action: api.Cancel) -> None:
        attempt = self._attempt(action.request, action.attempt)
        if attempt is not None:
            self._abort(attempt, api.Outcome.CANCELLED)

    def _answer(
        self,
        request: str,
        status: Status,
        how: str,
        retry_after_ms: float = 0.0,
        reason: str = "",
        why: api.Why | None = None,
    ) -> bool:
        """Gives the final answer. Returns False if the request was already answered or is unknown."""
        exchange = self.requests.get(request)
        if exchange is None or exchange.answered:
            return False
        self._finish(exchange, how, reason, why)
        exchange.caller.answer(status, retry_after_ms=retry_after_ms)
        return True

    def fail_all(self) -> None:
        """Fails all open requests because the process is about to be killed."""
        for exchange in list(self.requests.values()):
            if not exchange.answered:
                self._finish(exchange, "cut off")
                exchange.caller.answer(Status.FAILED)
        if self.hooks.request_deduplicator is not None:
            self.hooks.request_deduplicator.fail_all()

    # The table of requests.

    def _finish(
        self,
        exchange: Exchange,
        how: str,
        reason: str = "",
        why: api.Why | None = None,
    ) -> None:
        """Marks a request as answered. Every answer passes through here, so that there is exactly one."""
        exchange.answered = True
        self.open_requests -= 1
        self.count(how)
        if exchange.observers:
            exchange.finished(how, reason, why, self.clock.now())
        if self.hooks.answer_callbacks:
            request, now = exchange.request, self.clock.now()
            self.hooks.answered(request, how, now - (request.read_ms or now), now, request.trace)

    def _forget(self, exchange: Exchange) -> None:
        if self.requests.get(exchange.request.id) is exchange:
            del self.requests[exchange.request.id]
        if exchange.timer is not None:
            exchange.timer.cancel()
        exchange.settled(self.clock.now() if exchange.observers else 0.0)

    def count(self, what: str) -> None:
        """Increments an event counter of the operator's status."""
        self.counts[what] = self.counts.get(what, 0) + 1

    def _parse_report(self, load: bytes | None) -> tuple[float, ...] | None:
        """Parses a load report into the order of the settings; None if it is empty or lacks a field."""
        if not load or not self.report_fields:
            return None
        values = parse_pairs(load)
        row = [
            values.get(field, values.get(interface_field)) for field, interface_field in self.report_fields
        ]
        return None if None in row else tuple(x for x in row if x is not None)
