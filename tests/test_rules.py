"""The rules on answers, effects and draining: single outcomes, then random event sequences."""

from __future__ import annotations

import random
from dataclasses import replace
from typing import Any

import pytest
from hypothesis import given, settings as hypothesis_settings, strategies as st

from honeywharf import limits
from honeywharf.limits.key_order import KeyOrder, OrderedRequest
from honeywharf.policy import interface as api
from honeywharf.policy.balancer import Balancer
from tests.helpers import KEYED, ONCE, REPEATABLE, Driver, endpoint, make_settings, only_refusal, only_send

hypothesis_settings.register_profile("ci", derandomize=True, deadline=None, max_examples=150)
hypothesis_settings.load_profile("ci")

O = api.Outcome  # noqa: E741
NEVER_RAN = [O.REJECTED, O.CONNECT_FAILED, O.NOT_SENT]
MAY_HAVE_RUN = [O.ERROR, O.TIMEOUT, O.RESET, O.CANCELLED]
CELLS = [endpoint(f"a{i}", cell=i % 2) for i in range(6)] + [endpoint(f"b{i}", "b", cell=2) for i in range(3)]


@pytest.mark.parametrize("outcome", MAY_HAVE_RUN)
def test_a_once_request_that_may_have_run_fails(outcome: api.Outcome) -> None:
    driver = Driver()
    driver.list(CELLS)
    driver.request("write")
    assert driver.end(outcome) == [api.Fail("r1")]


@pytest.mark.parametrize("outcome", NEVER_RAN)
def test_a_request_that_never_ran_may_be_sent_elsewhere(outcome: api.Outcome) -> None:
    driver = Driver()
    driver.list(CELLS)
    first = only_send(driver.request("write")).endpoint
    assert only_send(driver.end(outcome)).endpoint != first


@pytest.mark.parametrize("outcome", MAY_HAVE_RUN)
def test_a_keyed_repeat_stays_in_its_cell(outcome: api.Outcome) -> None:
    driver = Driver()
    driver.list(CELLS)
    cells = {e.id: e.cell for e in CELLS}
    first = only_send(driver.request("keyed")).endpoint
    assert cells[only_send(driver.end(outcome)).endpoint] == cells[first]


def test_a_keyed_repeat_past_its_window_fails() -> None:
    driver = Driver()
    driver.list(CELLS)
    driver.request("keyed")
    assert driver.end(O.ERROR, after_ms=KEYED.window_ms) == [api.Fail("r1")]


def test_the_number_of_attempts_is_bounded() -> None:
    driver = Driver()
    driver.list(CELLS)
    driver.request()
    assert only_send(driver.end(O.CONNECT_FAILED, 0))
    assert only_send(driver.end(O.CONNECT_FAILED, 1))
    assert only_refusal(driver.end(O.CONNECT_FAILED, 2)).request == "r1"


def test_retries_are_limited_by_the_budget() -> None:
    """Guards against retry storms: when all calls fail, retries stay a small fraction of first attempts."""
    driver = Driver()
    driver.list(CELLS)
    retries = 0
    for _ in range(300):
        driver.request()
        actions = driver.end(O.ERROR)
        while isinstance(actions[0], api.Send):
            retries += 1
            actions = driver.end(O.ERROR, attempt=1, after_ms=0.0)
            if isinstance(actions[0], api.Send):
                retries += 1
                actions = driver.end(O.ERROR, attempt=2, after_ms=0.0)
    assert 5 <= retries <= 36


def test_without_endpoints_requests_are_refused_until_a_list_comes() -> None:
    driver = Driver()
    assert only_refusal(driver.request()).request == "r1"
    driver.list(CELLS)
    assert only_send(driver.request())


@pytest.mark.parametrize("remaining", [0.0, -5.0])
def test_a_request_without_time_left_is_answered_at_once(remaining: float) -> None:
    driver = Driver()
    driver.list(CELLS)
    assert only_refusal(driver.request(remaining_ms=remaining)).request == "r1"


def test_an_unknown_class_is_answered() -> None:
    driver = Driver()
    driver.list(CELLS)
    assert driver.request("mystery") == [api.Fail("r1")]


def test_events_of_forgotten_requests_are_ignored() -> None:
    driver = Driver()
    driver.list(CELLS)
    driver.request()
    assert driver.feed(api.RequestExpired("r1")) == []
    assert driver.end(O.TIMEOUT) == []
    assert driver.end(O.OK) == []
    assert driver.feed(api.RequestExpired("r1")) == []
    assert driver.feed(api.AttemptOpened("nobody", 0)) == []
    assert driver.feed(api.TimerFired("nothing")) == []
    assert driver.feed(api.ProbeEnded("a0", O.OK, 1.0)) == []
    assert not driver.balancer.requests


def test_a_time_out_at_the_deadline_is_answered() -> None:
    driver = Driver()
    driver.list(CELLS)
    driver.request("write")
    assert driver.end(O.TIMEOUT, after_ms=2000.0) == [api.Fail("r1")]


class RuleBrokenError(AssertionError):
    """A violation of a rule."""


class Checker:
    """Checks rules 1 to 3 and the order of keys from the events and actions alone."""

    def __init__(
        self, classes: tuple[api.RequestClass, ...], limits: api.Limits, gap_ms: float = 0.0
    ) -> None:
        self.gap_ms = gap_ms
        self.held_until: dict[str, float] = {}
        self.classes = {c.name: c for c in classes}
        self.limits = limits
        self.listed: dict[str, api.Endpoint] = {}
        self.requests: dict[str, dict[str, Any]] = {}
        self.ended: set[str] = set()

    def on_event(self, now: float, event: api.Event) -> None:
        if isinstance(event, api.EndpointsListed) and event.kind is not api.ListKind.FAILED:
            if event.kind is not api.ListKind.CHANGES:
                self.listed.clear()
            self.listed.update({e.id: e for e in event.endpoints})
        elif isinstance(event, api.RequestArrived):
            self.requests[event.id] = {
                "cls": self.classes[event.class_name],
                "deadline": now + event.remaining_ms,
                "attempts": [],
                "key": event.key,
            }
        elif isinstance(event, api.RequestExpired):
            self.ended.add(event.request)
        elif isinstance(event, api.AttemptEnded):
            attempt = self.requests[event.request]["attempts"][event.attempt]
            attempt["pending"] = False
            attempt["may_have_run"] = event.outcome not in NEVER_RAN
            record = self.requests[event.request]
            if event.outcome in (O.TIMEOUT, O.RESET, O.CANCELLED) and record["cls"].in_order:
                self.held_until[record["key"]] = now + self.gap_ms
            if event.request_over:
                self.ended.add(event.request)

    def on_action(self, now: float, action: api.Action) -> None:
        if isinstance(action, api.Send):
            self._sent(now, action)
        elif isinstance(action, api.Refuse | api.Fail):
            if action.request in self.ended:
                raise RuleBrokenError("answered twice")
            self.ended.add(action.request)
            record = self.requests[action.request]
            ran = any(t["may_have_run"] for t in record["attempts"])
            cls = record["cls"]
            harmless = cls.effect is api.Effect.REPEATABLE or (
                cls.effect is api.Effect.KEYED and cls.scope is api.DedupeScope.ALL
            )
            if isinstance(action, api.Refuse) and ran and not harmless:
                raise RuleBrokenError("refused a request that may have run")

    def _sent(self, now: float, action: api.Send) -> None:
        if action.request in self.ended:
            raise RuleBrokenError("sent after the final answer")
        record, target = self.requests[action.request], self.listed.get(action.endpoint)
        if target is None or target.state is not api.EndpointState.READY:
            raise RuleBrokenError("sent to a server that is not ready")
        cls, attempts = record["cls"], record["attempts"]
        if cls.in_order and record["key"]:
            for key, other in self.requests.items():
                if key == action.request:
                    break
                if (
                    other["cls"].in_order
                    and other["key"] == record["key"]
                    and (key not in self.ended or any(t["pending"] for t in other["attempts"]))
                ):
                    raise RuleBrokenError("sent out of order")
            if not attempts and self.held_until.get(record["key"], 0.0) > now + 1e-6:
                raise RuleBrokenError("sent while the key is held")
        if len(attempts) >= self.limits.max_attempts:
            raise RuleBrokenError("too many attempts")
        if any(t["pending"] for t in attempts) and not self.limits.concurrent_attempts:
            raise RuleBrokenError("two concurrent attempts")
        ran = [t for t in attempts if t["may_have_run"]]
        if ran and cls.effect is api.Effect.ONCE:
            raise RuleBrokenError("once-only request sent again")
        if ran and cls.effect is api.Effect.KEYED:
            if now >= ran[0]["sent"] + cls.window_ms:
                raise RuleBrokenError("repeated after the window")
            for t in ran:
                same = (True, t["endpoint"].zone == target.zone, t["endpoint"].cell == target.cell)
                if not same[list(api.DedupeScope).index(cls.scope)]:
                    raise RuleBrokenError("repeated outside the group")
        attempts.append({"endpoint": target, "sent": now, "pending": True, "may_have_run": True})

    def check_deadlines(self, now: float) -> None:
        """Checks that every request whose deadline has passed was answered."""
        for key, record in self.requests.items():
            if key not in self.ended and record["deadline"] < now:
                raise RuleBrokenError("no answer in time")


class World:
    """Feeds random but legal events to one balancer and to a checker."""

    def __init__(self, balancer: Balancer, conf: api.Settings, seed: int) -> None:
        self.balancer, self.random = balancer, random.Random(seed)
        self.checker = Checker(conf.classes, conf.limits, conf.rules.turn_gap_ms)
        self.timers: list[tuple[float, str]] = []
        self.now, self.count = 1000.0, 0
        self.pending: list[tuple[float, str, int, api.Outcome]] = []
        self.names = [e.id for e in CELLS]
        self.feed(api.Started())
        self.feed(api.EndpointsListed(api.ListKind.CACHED, tuple(CELLS)))

    def feed(self, event: api.Event) -> None:
        self.checker.on_event(self.now, event)
        for action in self.balancer.handle(self.now, event):
            self.checker.on_action(self.now, action)
            if isinstance(action, api.SetTimer):
                self.timers.append((action.at_ms, action.token))
            if isinstance(action, api.Send):
                record = self.checker.requests[action.request]
                end = min(self.now + self.random.choice([1, 50, 300, 5000]), self.now + action.timeout_ms)
                outcome = self.random.choice([O.OK, O.OK, *O])
                if end >= record["deadline"] or end >= self.now + action.timeout_ms:
                    outcome = O.TIMEOUT
                self.pending.append((end, action.request, len(record["attempts"]) - 1, outcome))

    def run_to(self, until: float) -> None:
        while self.pending or self.timers:
            self.pending.sort()
            self.timers.sort()
            timer_due = self.timers[0][0] if self.timers else float("inf")
            due = min(self.pending[0][0] if self.pending else float("inf"), timer_due)
            if due > until:
                break
            self.now = max(self.now, due)
            if due == timer_due:
                self.feed(api.TimerFired(self.timers.pop(0)[1]))
                continue
            _, request, attempt, outcome = self.pending.pop(0)
            ended = request in self.checker.ended or outcome is O.OK
            elapsed = due - self.checker.requests[request]["attempts"][attempt]["sent"]
            self.feed(api.AttemptEnded(request, attempt, outcome, elapsed, ended))
        self.now = until
        self.checker.check_deadlines(until)

    def step(self, kind: int) -> None:
        if kind < 6:
            self.count += 1
            cls = self.random.choice([c.name for c in self.balancer.settings.classes])
            remaining = self.random.choice([0.0, 20.0, 800.0, 2000.0])
            key = self.random.choice(["", "k1", "k2"])
            self.feed(api.RequestArrived(f"q{self.count}", cls, remaining, key=key))
        elif kind < 8:
            self.run_to(self.now + self.random.choice([0.5, 20, 400]))
        elif kind == 8:
            old = CELLS[self.random.randrange(len(CELLS))]
            state = self.random.choice(list(api.EndpointState))
            new = endpoint(old.id, old.zone, cell=old.cell, state=state, started_ms=self.now)
            self.feed(api.EndpointsListed(api.ListKind.CHANGES, (new,)))
        elif self.count and f"q{self.count}" not in self.checker.ended:
            self.feed(api.RequestExpired(f"q{self.count}"))


def run_world(balancer_type: type[Balancer], seed: int, steps: list[int], **changes: Any) -> Balancer:
    conf = make_settings(**changes)
    world = World(balancer_type(conf, seed), conf, seed)
    for kind in steps:
        world.step(kind)
    world.run_to(world.now + 10000)
    return world.balancer


STEPS = st.lists(st.integers(0, 9), min_size=5, max_size=120)


@given(
    seed=st.integers(0, 2**32),
    steps=STEPS,
    tier=st.integers(0, 1),
    scope=st.sampled_from(api.DedupeScope),
    hedged=st.booleans(),
    ordered=st.booleans(),
)
def test_random_events_keep_the_rules_and_leave_no_state(
    seed: int, steps: list[int], tier: int, scope: api.DedupeScope, hedged: bool, ordered: bool
) -> None:
    keyed = api.RequestClass("keyed", 1000, 2000, api.Effect.KEYED, scope, 700, in_order=ordered)
    write = api.RequestClass("write", 1000, 2000, api.Effect.ONCE, in_order=ordered)
    limits = api.Limits(max_attempts=3, cancel=True, concurrent_attempts=hedged)
    balancer = run_world(
        Balancer,
        seed,
        steps,
        tier=tier,
        tiers=2,
        classes=(REPEATABLE, write, keyed),
        limits=limits,
        rules=api.Rules(cold_share=0.2, warm_after_ms=10000, ask_every_ms=10000, turn_gap_ms=150.0),
    )
    assert not balancer.requests
    assert not balancer.order.queues
    assert not balancer.order.waiting
    assert all(not s.calls for s in balancer.endpoints.servers.values())


class SendsTwice(Balancer):
    """Broken on purpose: repeats every failed request."""

    def handle(self, now_ms: float, event: api.Event) -> list[api.Action]:
        actions = super().handle(now_ms, event)
        return [api.Send(a.request, "a0", 100.0) if isinstance(a, api.Fail) else a for a in actions]


class AnswersTwice(Balancer):
    """Broken on purpose: fails each request that it has refused."""

    def handle(self, now_ms: float, event: api.Event) -> list[api.Action]:
        actions = super().handle(now_ms, event)
        return actions + [api.Fail(a.request) for a in actions if isinstance(a, api.Refuse)]


class IgnoresChanges(Balancer):
    """Broken on purpose: ignores changes of the list."""

    def handle(self, now_ms: float, event: api.Event) -> list[api.Action]:
        if isinstance(event, api.EndpointsListed) and event.kind is api.ListKind.CHANGES:
            return []
        return super().handle(now_ms, event)


class NeverAnswers(Balancer):
    """Broken on purpose: drops its failures."""

    def handle(self, now_ms: float, event: api.Event) -> list[api.Action]:
        return [a for a in super().handle(now_ms, event) if not isinstance(a, api.Fail)]


class UnorderedKeys(KeyOrder):
    """Broken on purpose: every request may run at once."""

    def join(self, now: float, request: OrderedRequest) -> bool:
        super().join(now, request)
        return True


class IgnoresOrder(Balancer):
    """Broken on purpose: sends requests that should wait."""

    def __init__(self, settings: api.Settings, seed: int, limiter: str = limits.DEFAULT) -> None:
        super().__init__(settings, seed, limiter)
        self.order = UnorderedKeys(settings.rules.turn_gap_ms)


class UnheldKeys(KeyOrder):
    """Broken on purpose: does not hold a key after a time-out."""

    def next_ready(self, now: float, key: str) -> OrderedRequest | None:
        if key in self.queues:
            self.queues[key].held_until = 0.0
        return super().next_ready(now, key)


class IgnoresHolds(Balancer):
    """Broken on purpose: uses `UnheldKeys`."""

    def __init__(self, settings: api.Settings, seed: int, limiter: str = limits.DEFAULT) -> None:
        super().__init__(settings, seed, limiter)
        self.order = UnheldKeys(settings.rules.turn_gap_ms)


@pytest.mark.pure
@pytest.mark.parametrize(
    "broken", [SendsTwice, AnswersTwice, IgnoresChanges, NeverAnswers, IgnoresOrder, IgnoresHolds]
)
def test_the_checker_catches_broken_balancers(broken: type[Balancer]) -> None:
    rng = random.Random(5)
    detected = False
    for seed in range(30):
        try:
            run_world(
                broken,
                seed,
                [rng.randrange(10) for _ in range(100)],
                classes=(REPEATABLE, ONCE, KEYED, replace(ONCE, name="ordered", in_order=True)),
                rules=api.Rules(turn_gap_ms=150.0),
            )
        except RuleBrokenError:
            detected = True
    assert detected


def test_calls_to_a_cold_server_stay_within_its_share() -> None:
    """The bound of the cold-start rule per balancer: no window gives a server more than its warm share."""
    driver = Driver()
    start = driver.now
    driver.list([endpoint("a0", started_ms=start), *(endpoint(f"a{i}") for i in range(1, 5))])
    sent: list[float] = []
    total_actions = 0
    while driver.now < start + 10000:
        for action in driver.request():
            total_actions += 1
            if isinstance(action, api.Send) and action.endpoint == "a0":
                sent.append(driver.now)
        driver.end(api.Outcome.OK, after_ms=1.0)
    per_ms = total_actions / (driver.now - start)
    for window in range(0, 10000, 1000):
        fraction = 0.2 + 0.8 * (window + 2000) / 10000
        share = fraction / (4 + fraction)
        calls_in_window = sum(start + window <= t < start + window + 2000 for t in sent)
        assert calls_in_window <= 1.35 * share * per_ms * 2000


def test_an_attempt_that_was_never_made_is_ignored() -> None:
    driver = Driver()
    driver.list(CELLS)
    driver.request()
    assert driver.end(O.ERROR, attempt=-1) == []
    assert driver.end(O.ERROR, attempt=7) == []
    assert only_send(driver.end(O.CONNECT_FAILED, attempt=0))
