"""The course of a request: an event in, and the actions that the parts have settled, in order."""

from __future__ import annotations

import random

from mypy_extensions import mypyc_attr

from honeywharf import limits
from honeywharf.limits.budget import RetryBudget
from honeywharf.limits.storm import StormControl
from honeywharf.limits.times import Times
from honeywharf.limits.turns import Order
from honeywharf.limits.zone import Zone
from honeywharf.policy import interface as api
from honeywharf.policy.admission import TARGET, Admission
from honeywharf.policy.choice import Choice
from honeywharf.policy.endpoints import Attempt, Endpoints, Server
from honeywharf.policy.health import STRAIN_MOST, OutlierDetection
from honeywharf.policy.requests import Request
from honeywharf.policy.retry import cost_after, hung, may_copy

COME_BACK_MS = (200.0, 600.0)  # in which a refused client may come back: a jam's answers take about that long


@mypyc_attr(allow_interpreted_subclasses=True)
class Balancer:
    """The decisions of one balancer: an event in, the actions to carry out at once in order out."""

    def __init__(self, settings: api.Settings, seed: int, limiter: str = limits.DEFAULT) -> None:
        self.settings = settings
        self.storms: StormControl | None = None  # where storms are watched
        self.explains = False  # whether each Send, Refuse and Fail says why
        self.random = rng = random.Random(seed)
        self.classes = {c.name: c for c in settings.classes}
        self.admission = Admission(settings, rng, limiter)
        self.endpoints = Endpoints(settings, rng, self.admission.make_limiter)
        self.requests: dict[str, Request] = {}
        self.order = Order(settings.rules.turn_gap_ms)
        self.budget = RetryBudget()
        self.times = Times()
        self.choice = Choice(settings, rng, self.endpoints, self.times)
        self.outliers = OutlierDetection(rng, self.endpoints, self.times)
        self.failed_watches, self.now = 0, 0.0
        self.actions: list[api.Action] = []

    def handle(self, now_ms: float, event: api.Event) -> list[api.Action]:
        """Take one event; `now_ms` never goes back."""
        self.now, self.actions = now_ms, []
        if isinstance(event, api.RequestArrived):
            self._arrived(event)
        elif isinstance(event, api.AttemptEnded):
            self._ended(event)
        elif isinstance(event, api.EndpointsListed):
            self._listed(event)
        elif isinstance(event, api.RequestExpired):
            if event.request in self.requests:
                self._close(self.requests[event.request])
        elif isinstance(event, api.ProbeEnded):
            server = self.endpoints.servers.get(event.endpoint)
            if server is not None and event.report is not None:
                self._reported(server, event.report, self.settings.classes[0], None)
        elif isinstance(event, api.Started):
            self._watch_soon(self.settings.rules.ask_every_ms / 10)
        elif isinstance(event, api.TimerFired):
            self._woken(event.token)
        elif isinstance(event, api.LoopTurned):
            self.admission.loop.learn(now_ms, event.turn_ms)
        elif isinstance(event, api.ClientsConnected):
            if self.storms is not None and self.storms.connected(now_ms, event.number):
                self._changed(self.storms)
        elif isinstance(event, api.EndpointsExcluded):
            self.endpoints.exclude(now_ms, event.names)
        elif isinstance(event, api.RequestWhole) and event.request in self.requests:
            self._whole(self.requests[event.request], event.remaining_ms)
        elif isinstance(event, api.AnswerBroken) and event.endpoint in self.endpoints.servers:
            self.outliers.suspect(now_ms, self.endpoints.servers[event.endpoint], STRAIN_MOST)
        elif isinstance(event, api.CallsBeside):
            for name, zone in self.endpoints.zones.items():
                zone.beside = event.zones.get(name, 0)
        elif isinstance(event, api.SettingsChanged):
            self.settings = self.endpoints.settings = self.choice.settings = event.settings
            self.classes = {c.name: c for c in event.settings.classes}
            self.admission.retune(event.settings)
            self.order.turn_gap_ms = event.settings.rules.turn_gap_ms
        elif isinstance(event, api.AttemptOpened) and event.request in self.requests:
            self.requests[event.request].answered = True  # the stream is the client's: nothing more is owed
        while self.order.turns:
            request = self.order.first(now_ms, self.order.turns.popleft())
            if request is not None:
                self._attempt(self.requests[request.id])
        return self.actions

    def _woken(self, token: str) -> None:
        if token == "watch":
            self.actions.append(api.WatchEndpoints())
        elif token == "turn":
            self.order.rested(self.now)
        elif token == "wait":
            while name := self.order.overdue(self.now):
                request = self.requests.get(name)
                if request is not None and not request.attempts and not request.answered:
                    self._give_up(request, api.Reason.TIME)

    # The list of endpoints.

    def _watch_soon(self, spread_ms: float) -> None:
        """Subscribe after a random wait: balancers that start or fail together must not call together."""
        if self.settings.polled_discovery:
            self.actions.append(api.SetTimer(self.now + self.random.uniform(0.0, spread_ms), "watch"))

    def _listed(self, event: api.EndpointsListed) -> None:
        if event.kind is api.ListKind.FAILED:
            self.failed_watches += 1
            longest = self.settings.rules.ask_every_ms
            self._watch_soon(min(longest, longest / 10 * 2**self.failed_watches))
        else:
            self.failed_watches = 0
            self.endpoints.listed(self.now, event)
            if self.choice.loads is not None:
                self.choice.loads.listed(
                    {name: s.endpoint.started_ms for name, s in self.endpoints.servers.items()}
                )

    # A request's course.

    def _arrived(self, event: api.RequestArrived) -> None:
        cls = self.classes.get(event.class_name)
        if cls is None:
            self.actions.append(api.Fail(event.id, api.Reason.UNKNOWN_CLASS))
            return
        key = event.key if cls.in_order else ""
        due = float("inf") if event.arriving else self.now + event.remaining_ms
        request = Request(event.id, cls, key, due, cls.worth, arriving=event.arriving, earlier=event.earlier)
        self.requests[event.id] = request
        self.admission.rank(self.now, request, event.tenant)
        self.budget.earn()
        damped = self.storms is not None and not self._weathers(self.storms, request, event)
        if damped or self.admission.sheds():
            request.key = ""  # it never stood in line
            self._give_up(request, api.Reason.STORM if damped else api.Reason.PROXY)
        elif not request.key or self.order.join(self.now, request):
            self._attempt(request)
        else:
            self.actions.append(api.SetTimer(request.deadline, "wait"))

    def _whole(self, request: Request, remaining_ms: float) -> None:
        """What has been arriving is whole: its time, and that of the attempt that is out, runs from now."""
        request.arriving, request.deadline = False, self.now + remaining_ms
        for attempt in request.attempts:
            if attempt.live:  # the latest of its server: those that were sent meanwhile came before it
                attempt.sent_ms = self.now
                if attempt.server.calls.pop(attempt, attempt) is None:
                    attempt.server.calls[attempt] = None

    def _weathers(self, storms: StormControl, request: Request, event: api.RequestArrived) -> bool:
        """Whether the request may be begun as far as storms go; less room is open to some repeats."""
        request.coming, request.code, changed = storms.arrived(
            self.now, event.name, event.tenant, event.is_retry
        )
        if changed:
            self._changed(storms)
        request.room *= storms.room(request.coming)
        return storms.admits(self.now, event.tenant, request.coming)

    def _changed(self, storms: StormControl) -> None:
        self.actions.append(api.PaceConnections(storms.pace()))
        self.actions.append(api.Log(storms.words()))

    def _attempt(self, request: Request) -> None:
        """Send the request's next attempt, or end the request where there is nowhere to send it."""
        if request.deadline <= self.now:
            self._give_up(request, api.Reason.TIME)
            return
        server = self.choice.server(self.now, request)
        if server is None:
            full = bool(self.endpoints.levels[1]) and request.may_have_run() is None
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
            server.next_ms = self.now + self.random.uniform(0.5, 1.5) * spacing
        to = server.endpoint
        why = self._why(request, self.choice.depth, [zone]) if self.explains else None
        self.actions.append(api.Send(request.id, to.id, request.deadline - self.now, to.zone, to.cell, why))

    def _why(self, request: Request, depth: int, zones: list[Zone]) -> api.Why:
        """What a choice in that level was made from, or found no room in; the call itself is not counted."""
        level, known = self.endpoints.levels[depth], self.endpoints.zones.values()
        return api.Why(
            depth,
            len(level),
            sum(z.ready for z in known) if depth else zones[0].ready,
            sum(z.limiter.limit * z.capacity for z in zones),
            sum(z.in_flight for z in zones) - any(a.live for a in request.attempts),
            self.budget.tokens,
            request.room,
        )

    def _reported(
        self,
        server: Server,
        report: tuple[float, ...],
        cls: api.RequestClass,
        event: api.AttemptEnded | None,
    ) -> None:
        """A server says what it holds, with an answer or without one."""
        loads, zone = self.choice.loads, server.endpoint.zone
        base = self.times.base_ms.get(cls.name)
        if loads is not None and base is not None:
            answer = event is not None and event.outcome is api.Outcome.OK
            took = event.elapsed_ms - event.proxy_ms if answer and event is not None else -1.0
            loads.heard(self.now, server.endpoint.id, zone, report, took, base, TARGET * cls.aim_ms)
            self.choice.reported(self.now)

    def _give_up(self, request: Request, reason: api.Reason) -> None:
        why = self._why(request, 1, list(self.endpoints.zones.values())) if self.explains else None
        if request.may_refuse():
            site, again_ms = self.settings.limits, 0.0
            if site.retry_after:  # spread, so that those who were refused together do not return together
                again_ms = min(site.max_retry_after_ms, self._come_back_ms(request, reason))
            self.actions.append(api.Refuse(request.id, again_ms, reason, why))
        else:
            self.actions.append(api.Fail(request.id, reason, why))
        self._close(request)

    def _come_back_ms(self, request: Request, reason: api.Reason) -> float:
        if self.storms is not None:
            return self.storms.refused(self.now, request.code, request.coming, reason is not api.Reason.STORM)
        drains = self.choice.loads.drain_ms(self.now) if self.choice.loads is not None else 0.0
        return drains + self.random.uniform(*COME_BACK_MS)

    def _close(self, request: Request) -> None:
        """The request is answered; it is forgotten once no attempt is out."""
        request.answered = True
        if any(a.live for a in request.attempts) or self.requests.pop(request.id, None) is None:
            return
        if request.key:
            self.order.leave(request)

    def _ended(self, event: api.AttemptEnded) -> None:
        request = self.requests.get(event.request)
        if request is None or not 0 <= event.attempt < len(request.attempts):
            return
        attempt = request.attempts[event.attempt]
        if not attempt.live:
            return
        attempt.live, attempt.ran = False, event.outcome not in api.NEVER_RAN
        attempt.server.calls.pop(attempt, None)
        attempt.release()
        cls = request.cls
        if attempt.ejections == attempt.server.ejections and not attempt.hangs:  # else this is old news
            self.admission.learn(self.now, attempt.zone, cls, event, self.times.base_ms.get(cls.name))
            self.outliers.judge(self.now, attempt.server, request, event)
        if event.report is not None:
            self._reported(attempt.server, event.report, cls, event)
        if request.key and event.outcome in api.STILL_RUNS:
            # Guards order: the endpoint may be at work on it yet.
            self.actions.append(api.SetTimer(self.order.rest(self.now, request.key), "turn"))
        if event.request_over or request.answered:
            self._close(request)
        elif not any(a.live for a in request.attempts):
            self._again(request, event)
        else:  # what is still out hangs: it may yet come, so there is no final answer
            self._copy(request)
        if event.outcome is api.Outcome.OK and not attempt.hangs:
            self._look_for_hung(attempt, cls)

    def _again(self, request: Request, event: api.AttemptEnded) -> None:
        """A further attempt within the rules and the retry budget, else the final answer."""
        spared = not event.last and len(request.attempts) < self.settings.limits.max_attempts
        typical = self.times.typical_ms.get(request.cls.name, 0.0)
        if spared and self.budget.spend(cost_after(event.outcome, event.elapsed_ms, typical)):
            self._attempt(request)
        else:  # what was never sent for want of a connection is this proxy's
            own = event.outcome is api.Outcome.NOT_SENT
            self._give_up(request, api.Reason.PROXY if own else api.Reason.BUDGET)

    def _look_for_hung(self, answered: Attempt, cls: api.RequestClass) -> None:
        """An answer as usual shows which earlier calls of its server hang: others take their places."""
        if not self.times.usual(cls.name, self.now - answered.sent_ms):
            return
        for call, request in hung(self.now, answered, self.requests, self.times.typical_ms):
            call.hangs = True
            del call.server.calls[call]
            call.release()
            if call.ejections == call.server.ejections:
                self.outliers.suspect(self.now, call.server, STRAIN_MOST)
            self._copy(request)

    def _copy(self, request: Request) -> None:
        """A second copy of a request whose call hangs, where the class and the budget allow one."""
        if self.budget.tokens < 1.0 or not may_copy(request, self.settings.limits, self.now):
            return
        server = self.choice.server(self.now, request)
        if server is not None:
            self.budget.spend(1.0)
            self._send(request, server)
