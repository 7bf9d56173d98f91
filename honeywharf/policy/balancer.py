"""The processing of a request: takes events, and returns the actions that the other modules decided on."""

from __future__ import annotations

import random

from mypy_extensions import mypyc_attr

from honeywharf import limits
from honeywharf.limits.budget import RetryBudget
from honeywharf.limits.key_order import KeyOrder
from honeywharf.limits.response_times import ResponseTimes
from honeywharf.limits.storm_control import StormControl
from honeywharf.limits.zone import Zone
from honeywharf.policy import interface as api
from honeywharf.policy.admission import TARGET_PART, Admission
from honeywharf.policy.choice import Choice
from honeywharf.policy.endpoints import Attempt, Endpoints, Server
from honeywharf.policy.health import MAX_CALL_SUSPICION, OutlierDetection
from honeywharf.policy.requests import Request
from honeywharf.policy.retry import find_hung, may_hedge, retry_cost

RETRY_AFTER_RANGE_MS = (200.0, 600.0)  # about as long as the answers of an overloaded server take


@mypyc_attr(allow_interpreted_subclasses=True)
class Balancer:
    """Takes the events of one balancer, and returns the actions to carry out at once, in order."""

    def __init__(self, settings: api.Settings, seed: int, limiter: str = limits.DEFAULT) -> None:
        self.settings = settings
        self.storms: StormControl | None = None  # set where retry storms are watched
        self.explains = False  # whether each Send, Refuse and Fail carries a `Why`
        self.random = rng = random.Random(seed)
        self.classes = {c.name: c for c in settings.classes}
        self.admission = Admission(settings, rng, limiter)
        self.endpoints = Endpoints(settings, rng, self.admission.make_limiter)
        self.requests: dict[str, Request] = {}
        self.order = KeyOrder(settings.rules.turn_gap_ms)
        self.budget = RetryBudget()
        self.times = ResponseTimes()
        self.choice = Choice(settings, rng, self.endpoints, self.times)
        self.outliers = OutlierDetection(rng, self.endpoints, self.times)
        self.failed_watches, self.now = 0, 0.0
        self.actions: list[api.Action] = []

    def handle(self, now_ms: float, event: api.Event) -> list[api.Action]:
        """Handles one event; `now_ms` never goes back."""
        self.now, self.actions = now_ms, []
        if isinstance(event, api.RequestArrived):
            self._arrived(event)
        elif isinstance(event, api.AttemptEnded):
            self._ended(event)
        elif isinstance(event, api.EndpointsListed):
            self._endpoints_listed(event)
        elif isinstance(event, api.RequestExpired):
            if event.request in self.requests:
                self._close(self.requests[event.request])
        elif isinstance(event, api.ProbeEnded):
            server = self.endpoints.servers.get(event.endpoint)
            if server is not None and event.report is not None:
                self._load_reported(server, event.report, self.settings.classes[0], None)
        elif isinstance(event, api.Started):
            self._schedule_watch(self.settings.rules.ask_every_ms / 10)
        elif isinstance(event, api.TimerFired):
            self._timer_fired(event.token)
        elif isinstance(event, api.LoopTurned):
            self.admission.loop.learn(now_ms, event.turn_ms)
        elif isinstance(event, api.ClientsConnected):
            if self.storms is not None and self.storms.connected(now_ms, event.number):
                self._storm_state_changed(self.storms)
        elif isinstance(event, api.EndpointsExcluded):
            self.endpoints.exclude(now_ms, event.names)
        elif isinstance(event, api.RequestWhole) and event.request in self.requests:
            self._request_complete(self.requests[event.request], event.remaining_ms)
        elif isinstance(event, api.AnswerBroken) and event.endpoint in self.endpoints.servers:
            self.outliers.add_suspicion(now_ms, self.endpoints.servers[event.endpoint], MAX_CALL_SUSPICION)
        elif isinstance(event, api.CallsBeside):
            for name, zone in self.endpoints.zones.items():
                zone.handover_in_flight = event.zones.get(name, 0)
        elif isinstance(event, api.SettingsChanged):
            self.settings = self.endpoints.settings = self.choice.settings = event.settings
            self.classes = {c.name: c for c in event.settings.classes}
            self.admission.apply_settings(event.settings)
            self.order.turn_gap_ms = event.settings.rules.turn_gap_ms
        elif isinstance(event, api.AttemptOpened) and event.request in self.requests:
            self.requests[event.request].answered = True  # the stream is the client's answer
        while self.order.ready_keys:
            request = self.order.next_ready(now_ms, self.order.ready_keys.popleft())
            if request is not None:
                self._send_next_attempt(self.requests[request.id])
        return self.actions

    def _timer_fired(self, token: str) -> None:
        if token == "watch":
            self.actions.append(api.WatchEndpoints())
        elif token == "turn":
            self.order.end_holds(self.now)
        elif token == "wait":
            while name := self.order.pop_expired(self.now):
                request = self.requests.get(name)
                if request is not None and not request.attempts and not request.answered:
                    self._give_up(request, api.Reason.TIME)

    # Discovery

    def _schedule_watch(self, spread_ms: float) -> None:
        """Subscribes after a random wait, so that balancers that start together do not call together."""
        if self.settings.polled_discovery:
            self.actions.append(api.SetTimer(self.now + self.random.uniform(0.0, spread_ms), "watch"))

    def _endpoints_listed(self, event: api.EndpointsListed) -> None:
        if event.kind is api.ListKind.FAILED:
            self.failed_watches += 1
            longest = self.settings.rules.ask_every_ms
            self._schedule_watch(min(longest, longest / 10 * 2**self.failed_watches))
        else:
            self.failed_watches = 0
            self.endpoints.apply_list(self.now, event)
            if self.choice.loads is not None:
                self.choice.loads.listed(
                    {name: s.endpoint.started_ms for name, s in self.endpoints.servers.items()}
                )

    # Requests

    def _arrived(self, event: api.RequestArrived) -> None:
        cls = self.classes.get(event.class_name)
        if cls is None:
            self.actions.append(api.Fail(event.id, api.Reason.UNKNOWN_CLASS))
            return
        key = event.key if cls.in_order else ""
        due = float("inf") if event.arriving else self.now + event.remaining_ms
        request = Request(event.id, cls, key, due, cls.worth, arriving=event.arriving, earlier=event.earlier)
        self.requests[event.id] = request
        self.admission.assess(self.now, request, event.tenant)
        self.budget.earn()
        storm_refused = self.storms is not None and not self._admitted_in_storm(self.storms, request, event)
        if storm_refused or self.admission.sheds_for_proxy():
            request.key = ""  # the request has not joined the queue of its key
            self._give_up(request, api.Reason.STORM if storm_refused else api.Reason.PROXY)
        elif not request.key or self.order.join(self.now, request):
            self._send_next_attempt(request)
        else:
            self.actions.append(api.SetTimer(request.deadline, "wait"))

    def _request_complete(self, request: Request, remaining_ms: float) -> None:
        """Starts the time of a request whose body is now complete, and that of its pending attempt."""
        request.arriving, request.deadline = False, self.now + remaining_ms
        for attempt in request.attempts:
            if attempt.pending:  # the attempt becomes its server's latest call, behind those sent meanwhile
                attempt.sent_ms = self.now
                if attempt.server.calls.pop(attempt, attempt) is None:
                    attempt.server.calls[attempt] = None

    def _admitted_in_storm(self, storms: StormControl, request: Request, event: api.RequestArrived) -> bool:
        """Whether storm control admits the request; a smaller part of a limit is open to some repeats."""
        request.coming, request.code, changed = storms.arrived(
            self.now, event.name, event.tenant, event.is_retry
        )
        if changed:
            self._storm_state_changed(storms)
        request.limit_share *= storms.limit_factor(request.coming)
        return storms.admits(self.now, event.tenant, request.coming)

    def _storm_state_changed(self, storms: StormControl) -> None:
        self.actions.append(api.PaceConnections(storms.pace()))
        self.actions.append(api.Log(storms.words()))

    def _send_next_attempt(self, request: Request) -> None:
        """Sends the request's next attempt, or gives the request up where no server can take it."""
        if request.deadline <= self.now:
            self._give_up(request, api.Reason.TIME)
            return
        server = self.choice.pick_server(self.now, request)
        if server is None:
            full = bool(self.endpoints.levels[1]) and request.first_possible_run() is None
            self._give_up(request, api.Reason.CROWDED if full else api.Reason.NO_SERVER)
            return
        self._send(request, server)

    def _send(self, request: Request, server: Server) -> None:
        zone = self.endpoints.zones[server.endpoint.zone]
        attempt = Attempt(
            request.id, server, zone, float("inf") if request.arriving else self.now, server.ejections
        )
        request.attempts.append(attempt)
        server.calls[attempt] = None
        zone.in_flight += 1
        if server.cold:
            spacing = self.endpoints.spacing(self.now, server)
            server.next_send_ms = self.now + self.random.uniform(0.5, 1.5) * spacing
        to = server.endpoint
        why = self._explain(request, self.choice.depth, [zone]) if self.explains else None
        self.actions.append(api.Send(request.id, to.id, request.deadline - self.now, to.zone, to.cell, why))

    def _explain(self, request: Request, depth: int, zones: list[Zone]) -> api.Why:
        """Returns the state that a choice at the level was made from; the call itself is not counted."""
        level, known = self.endpoints.levels[depth], self.endpoints.zones.values()
        return api.Why(
            depth,
            len(level),
            sum(z.ready for z in known) if depth else zones[0].ready,
            sum(z.limiter.limit * z.capacity for z in zones),
            sum(z.in_flight for z in zones) - any(a.pending for a in request.attempts),
            self.budget.tokens,
            request.limit_share,
        )

    def _load_reported(
        self,
        server: Server,
        report: tuple[float, ...],
        cls: api.RequestClass,
        event: api.AttemptEnded | None,
    ) -> None:
        """Feeds a server's load report, which came with an answer or by a probe, to load control."""
        loads, zone = self.choice.loads, server.endpoint.zone
        base = self.times.base_ms.get(cls.name)
        if loads is not None and base is not None:
            answer = event is not None and event.outcome is api.Outcome.OK
            answer_ms = event.elapsed_ms - event.proxy_ms if answer and event is not None else -1.0
            loads.record_report(
                self.now, server.endpoint.id, zone, report, answer_ms, base, TARGET_PART * cls.aim_ms
            )
            self.choice.apply_reports(self.now)

    def _give_up(self, request: Request, reason: api.Reason) -> None:
        why = self._explain(request, 1, list(self.endpoints.zones.values())) if self.explains else None
        if request.may_refuse():
            site, retry_after_ms = self.settings.limits, 0.0
            if site.retry_after:  # random, so that clients that were refused together do not return together
                retry_after_ms = min(site.max_retry_after_ms, self._retry_after_ms(request, reason))
            self.actions.append(api.Refuse(request.id, retry_after_ms, reason, why))
        else:
            self.actions.append(api.Fail(request.id, reason, why))
        self._close(request)

    def _retry_after_ms(self, request: Request, reason: api.Reason) -> float:
        if self.storms is not None:
            return self.storms.refused(self.now, request.code, request.coming, reason is not api.Reason.STORM)
        queue_ms = self.choice.loads.drain_ms(self.now) if self.choice.loads is not None else 0.0
        return queue_ms + self.random.uniform(*RETRY_AFTER_RANGE_MS)

    def _close(self, request: Request) -> None:
        """Marks the request answered, and forgets it once no attempt is pending."""
        request.answered = True
        if any(a.pending for a in request.attempts) or self.requests.pop(request.id, None) is None:
            return
        if request.key:
            self.order.leave(request)

    def _ended(self, event: api.AttemptEnded) -> None:
        request = self.requests.get(event.request)
        if request is None or not 0 <= event.attempt < len(request.attempts):
            return
        attempt = request.attempts[event.attempt]
        if not attempt.pending:
            return
        attempt.pending, attempt.possibly_ran = False, event.outcome not in api.NEVER_RAN
        attempt.server.calls.pop(attempt, None)
        attempt.release()
        cls = request.cls
        if attempt.ejections == attempt.server.ejections and not attempt.hung:  # others are already counted
            self.admission.learn(self.now, attempt.zone, cls, event, self.times.base_ms.get(cls.name))
            self.outliers.record(self.now, attempt.server, request, event)
        if event.report is not None:
            self._load_reported(attempt.server, event.report, cls, event)
        if request.key and event.outcome in api.STILL_RUNS:
            # Guards the order of the key: the endpoint may still be at work on the attempt.
            self.actions.append(api.SetTimer(self.order.hold(self.now, request.key), "turn"))
        if event.request_over or request.answered:
            self._close(request)
        elif not any(a.pending for a in request.attempts):
            self._retry_or_give_up(request, event)
        else:  # the pending attempt is hung and may still be answered, so there is no final answer yet
            self._hedge(request)
        if event.outcome is api.Outcome.OK and not attempt.hung:
            self._hedge_hung_calls(attempt, cls)

    def _retry_or_give_up(self, request: Request, event: api.AttemptEnded) -> None:
        """Makes a further attempt within the rules and the retry budget, or else gives the final answer."""
        allowed = not event.last and len(request.attempts) < self.settings.limits.max_attempts
        typical = self.times.typical_ms.get(request.cls.name, 0.0)
        if allowed and self.budget.spend(retry_cost(event.outcome, event.elapsed_ms, typical)):
            self._send_next_attempt(request)
        else:  # an attempt that got no connection failed by this proxy's own limits
            own = event.outcome is api.Outcome.NOT_SENT
            self._give_up(request, api.Reason.PROXY if own else api.Reason.BUDGET)

    def _hedge_hung_calls(self, answered: Attempt, cls: api.RequestClass) -> None:
        """Hedges the earlier calls of a server that an answer in the usual time shows to be hung."""
        if not self.times.on_time(cls.name, self.now - answered.sent_ms):
            return
        for call, request in find_hung(self.now, answered, self.requests, self.times.typical_ms):
            call.hung = True
            del call.server.calls[call]
            call.release()
            if call.ejections == call.server.ejections:
                self.outliers.add_suspicion(self.now, call.server, MAX_CALL_SUSPICION)
            self._hedge(request)

    def _hedge(self, request: Request) -> None:
        """Sends a second attempt of a request whose call is hung, where the class and the budget allow it."""
        if self.budget.tokens < 1.0 or not may_hedge(request, self.settings.limits, self.now):
            return
        server = self.choice.pick_server(self.now, request)
        if server is not None:
            self.budget.spend(1.0)
            self._send(request, server)
