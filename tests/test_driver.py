"""The driver without sockets, with a scripted decision module and recording transport and loop."""

from __future__ import annotations

import gc
import random
import weakref
from collections.abc import Callable

import pytest

from honeywharf.codecs import http1
from honeywharf.core.driver import Driver
from honeywharf.core.messages import Status
from honeywharf.core.transport import Clock, UpstreamRequest
from honeywharf.core.validation import ANSWER_MARGIN_MS
from honeywharf.policy import interface as api

O = api.Outcome  # noqa: E741
SETTINGS = api.Settings(
    zone="z",
    classes=(api.RequestClass("order", 2000, 5000, effect=api.Effect.KEYED, window_ms=7500),),
    limits=api.Limits(max_attempts=3, max_open=2),
    report_fields=("queue", "in_flight"),
)


class FakeClock(Clock):
    def __init__(self) -> None:
        self.ms = 1000.0

    def now(self) -> float:
        return self.ms

    def at(self, monotonic_s: float) -> float:
        return monotonic_s * 1000.0


class FakeTimer:
    def __init__(self, at: float, call: Callable[[], object]) -> None:
        self.at, self.call, self.cancelled = at, call, False

    def cancel(self) -> None:
        self.cancelled = True


class FakeLoop:
    def __init__(self, clock: FakeClock) -> None:
        self.clock = clock
        self.soon: list[Callable[[], object]] = []
        self.timers: list[FakeTimer] = []

    def time(self) -> float:
        return self.clock.now() / 1000.0

    def call_soon(self, callback: Callable[..., object], *args: object) -> object:
        self.soon.append(lambda: callback(*args))
        return None

    def call_later(self, delay: float, callback: Callable[..., object], *args: object) -> FakeTimer:
        self.timers.append(FakeTimer(self.clock.ms + delay * 1000.0, lambda: callback(*args)))
        return self.timers[-1]

    def run_soon(self) -> None:
        while self.soon:
            self.soon.pop(0)()

    def advance(self, ms: float) -> None:
        """Advance the clock and run due timers in order."""
        end = self.clock.ms + ms
        while due := [t for t in self.timers if not t.cancelled and t.at <= end]:
            first = min(due, key=lambda t: t.at)
            first.cancelled = True
            self.clock.ms = max(self.clock.ms, first.at)
            first.call()
            self.run_soon()
        self.clock.ms = end


class FakeTransport:
    def __init__(self) -> None:
        self.known_endpoints = {"b1", "b2"}
        self.started: list[UpstreamRequest] = []
        self.aborted: list[UpstreamRequest] = []
        self.closed: list[str] = []

    def known(self, endpoint: str) -> bool:
        return endpoint in self.known_endpoints

    def start(self, call: UpstreamRequest) -> None:
        self.started.append(call)

    def abort(self, call: UpstreamRequest) -> None:
        self.aborted.append(call)

    def close_idle(self, endpoint: str) -> None:
        self.closed.append(endpoint)


class ScriptedModule:
    """A decision module that records each event and answers it with `on`."""

    def __init__(self) -> None:
        self.seen: list[tuple[float, api.Event]] = []
        self.on: Callable[[api.Event], list[api.Action]] = lambda event: []
        self.inside = False

    def handle(self, now_ms: float, event: api.Event) -> list[api.Action]:
        assert not self.inside
        self.inside = True
        try:
            if isinstance(event, api.LoopTurned):
                return []  # tests/test_loop.py covers it
            self.seen.append((now_ms, event))
            return self.on(event)
        finally:
            self.inside = False


class FakeCaller:
    def __init__(self) -> None:
        self.answers: list[tuple[int, bytes, float]] = []

    def answer(
        self,
        status: int,
        body: bytes = b"",
        *,
        retry_after_ms: float = 0.0,
        kind: bytes = b"",
    ) -> None:
        self.answers.append((status, body, retry_after_ms))


class DriverHarness:
    def __init__(self) -> None:
        self.clock = FakeClock()
        self.loop, self.transport, self.script = FakeLoop(self.clock), FakeTransport(), ScriptedModule()
        self.driver = Driver(
            SETTINGS, self.script, self.transport, self.loop, self.clock, ("pending", "busy_reqs")
        )
        self.count = 0

    def arrive(self, left_ms: float = 1000.0) -> tuple[http1.Request, FakeCaller]:
        self.count += 1
        request, caller = http1.Request(), FakeCaller()
        request.id, request.class_name, request.left_ms = f"r{self.count}", "order", left_ms
        request.method, request.target, request.read_ms = b"POST", b"/api", self.clock.ms
        assert self.driver.accept(request, caller)
        self.loop.run_soon()
        return request, caller

    def events(self, kind: type) -> list[api.Event]:
        return [e for _, e in self.script.seen if isinstance(e, kind)]

    def outcomes(self) -> list[tuple[int, api.Outcome, bool]]:
        return [
            (e.attempt, e.outcome, e.request_over)
            for _, e in self.script.seen
            if isinstance(e, api.AttemptEnded)
        ]


def on_timer(*actions: api.Action) -> Callable[[api.Event], list[api.Action]]:
    return lambda event: list(actions) if isinstance(event, api.TimerFired) else []


def send_to_b1(event: api.Event) -> list[api.Action]:
    return [api.Send(event.id, "b1", 0.0)] if isinstance(event, api.RequestArrived) else []


def ok(body: bytes = b"tile") -> http1.Response:
    response = http1.Response()
    response.status, response.body = 200, body
    return response


@pytest.fixture
def harness() -> DriverHarness:
    return DriverHarness()


def test_the_clock_is_unix_time_and_follows_the_monotonic_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    wall, mono = [1_700_000_000.0], [50.0]
    monkeypatch.setattr("time.time", lambda: wall[0])
    monkeypatch.setattr("time.monotonic", lambda: mono[0])
    clock = Clock()
    assert clock.now() == pytest.approx(1_700_000_000_000.0)
    wall[0] -= 3600.0  # the wall clock is set back
    mono[0] += 0.5
    assert clock.now() == pytest.approx(1_700_000_000_500.0)


def test_a_200_is_forwarded_at_once_and_ends_the_request(harness: DriverHarness) -> None:
    harness.script.on = send_to_b1
    _, caller = harness.arrive()
    harness.clock.ms += 40.0
    harness.transport.started[0].ended(O.OK, ok())
    assert caller.answers == [(Status.SERVED, b"tile", 0.0)]
    harness.loop.run_soon()
    (event,) = harness.events(api.AttemptEnded)
    assert event == api.AttemptEnded("r1", 0, O.OK, 40.0, True, None, "b1")
    assert harness.driver.requests == {}
    assert harness.driver.open_requests == 0


def test_events_come_one_at_a_time_and_actions_do_not_re_enter(harness: DriverHarness) -> None:
    harness.transport.known_endpoints = set()  # every send ends as NOT_SENT while actions are carried out

    def on(event: api.Event) -> list[api.Action]:
        if isinstance(event, api.RequestArrived):
            return [api.Send(event.id, "b1", 0.0), api.Send(event.id, "b2", 0.0)]
        if isinstance(event, api.AttemptEnded) and event.attempt == 1:
            return [api.Refuse(event.request)]
        return []

    harness.script.on = on
    _, caller = harness.arrive()
    assert harness.outcomes() == [(0, O.NOT_SENT, False), (1, O.NOT_SENT, False)]
    assert caller.answers == [(Status.REFUSED, b"", 0.0)]


def test_sends_that_are_not_allowed_end_as_not_sent(harness: DriverHarness) -> None:
    harness.script.on = send_to_b1
    request, _ = harness.arrive()
    harness.script.on = on_timer(api.Send("r1", "b2", 0.0))
    for _ in range(3):  # the third exceeds the limit of three attempts
        harness.driver._timer_due(0.0, "t")
        harness.loop.run_soon()
    assert len(harness.transport.started) == 3
    assert harness.outcomes() == [(3, O.NOT_SENT, False)]
    harness.driver.client_disconnected(request)
    harness.loop.run_soon()
    harness.driver._timer_due(0.0, "t")  # the request has ended
    harness.loop.run_soon()
    assert len(harness.transport.started) == 3
    assert harness.outcomes()[-1] == (4, O.NOT_SENT, True)


def test_a_send_for_an_unknown_request_ends_as_not_sent(harness: DriverHarness) -> None:
    harness.script.on = on_timer(api.Send("nobody", "b1", 0.0))
    harness.driver._timer_due(0.0, "t")
    harness.loop.run_soon()
    assert harness.transport.started == []
    assert harness.outcomes() == [(0, O.NOT_SENT, True)]


def test_a_silent_backend_times_out_and_the_client_is_answered_before_its_deadline(
    harness: DriverHarness,
) -> None:
    def on(event: api.Event) -> list[api.Action]:
        return [api.Fail(event.request)] if isinstance(event, api.AttemptEnded) else send_to_b1(event)

    harness.script.on = on
    start = harness.clock.ms
    _, caller = harness.arrive(1000.0)
    harness.loop.advance(980.0)
    assert caller.answers == []
    harness.loop.advance(15.0)
    assert caller.answers == [(Status.FAILED, b"", 0.0)]
    assert harness.script.seen[-1][0] < start + 1000.0
    assert harness.transport.aborted == harness.transport.started
    assert harness.outcomes() == [(0, O.TIMEOUT, False)]
    assert harness.driver.requests == {}


def test_the_time_since_the_request_was_read_counts(harness: DriverHarness) -> None:
    request, caller = http1.Request(), FakeCaller()
    request.id, request.class_name, request.left_ms = "r9", "order", 1000.0
    request.read_ms = harness.clock.ms - 300.0  # the request waited behind another on its connection
    assert harness.driver.accept(request, caller)
    harness.loop.run_soon()
    (event,) = harness.events(api.RequestArrived)
    assert isinstance(event, api.RequestArrived)
    assert event.remaining_ms == pytest.approx(700.0 - ANSWER_MARGIN_MS)


def test_a_request_that_the_module_never_ends_fails_at_its_deadline(harness: DriverHarness) -> None:
    _, caller = harness.arrive(500.0)
    harness.loop.advance(499.0)
    assert caller.answers == [(Status.FAILED, b"", 0.0)]
    assert harness.events(api.RequestExpired) == [api.RequestExpired("r1")]
    assert harness.driver.requests == {}


def test_a_timer_that_fires_early_leaves_no_attempt_in_flight(harness: DriverHarness) -> None:
    """Guards against a retry in the last fraction of a ms, which nothing would end at a silent backend."""
    harness.script.on = lambda event: (
        [api.Send("r1", "b1", 0.0)]
        if isinstance(event, api.RequestArrived)
        or (isinstance(event, api.AttemptEnded) and event.outcome is O.TIMEOUT)
        else []
    )
    _, caller = harness.arrive()
    (timer,) = [t for t in harness.loop.timers if not t.cancelled]
    harness.clock.ms = timer.at - 0.5
    timer.cancelled = True
    timer.call()
    harness.loop.run_soon()
    assert [a[0] for a in caller.answers] == [Status.FAILED]
    assert [o for _, o, _ in harness.outcomes()] == [O.TIMEOUT, O.NOT_SENT]
    assert not harness.driver.requests


def test_an_attempt_with_a_shorter_time_out_ends_alone(harness: DriverHarness) -> None:
    def on(event: api.Event) -> list[api.Action]:
        return [api.Send(event.id, "b1", 80.0)] if isinstance(event, api.RequestArrived) else []

    harness.script.on = on
    _, caller = harness.arrive(1000.0)
    assert harness.transport.started[0].until_ms == harness.clock.ms + 80.0
    harness.loop.advance(90.0)
    assert harness.outcomes() == [(0, O.TIMEOUT, False)]
    assert caller.answers == []


def test_after_the_client_disconnects_an_attempt_still_gets_its_outcome(harness: DriverHarness) -> None:
    harness.script.on = send_to_b1
    request, caller = harness.arrive()
    harness.driver.client_disconnected(request)
    harness.loop.run_soon()
    assert harness.transport.aborted == []
    harness.transport.started[0].ended(O.OK, ok())
    harness.loop.run_soon()
    assert caller.answers == []
    assert harness.outcomes() == [(0, O.OK, True)]
    assert harness.driver.requests == {}


def test_after_the_client_disconnects_a_silent_attempt_times_out_at_the_deadline(
    harness: DriverHarness,
) -> None:
    harness.script.on = send_to_b1
    request, _ = harness.arrive(1000.0)
    harness.driver.client_disconnected(request)
    harness.loop.advance(1000.0)
    assert harness.outcomes() == [(0, O.TIMEOUT, True)]
    assert harness.driver.requests == {}


def test_a_second_copy_changes_nothing_for_the_client(harness: DriverHarness) -> None:
    def on(event: api.Event) -> list[api.Action]:
        return (
            [*send_to_b1(event), api.Send(event.id, "b2", 0.0)]
            if isinstance(event, api.RequestArrived)
            else []
        )

    harness.script.on = on
    _, caller = harness.arrive()
    harness.transport.started[1].ended(O.OK, ok(b"second"))
    harness.loop.run_soon()
    harness.transport.started[0].ended(O.OK, ok(b"first"))
    harness.loop.run_soon()
    assert caller.answers == [(Status.SERVED, b"second", 0.0)]
    assert harness.outcomes() == [(1, O.OK, True), (0, O.OK, True)]


def test_cancel_aborts_and_ends_the_attempt_once(harness: DriverHarness) -> None:
    harness.script.on = send_to_b1
    harness.arrive()
    harness.script.on = on_timer(api.Cancel("r1", 0), api.Cancel("r1", 0), api.Cancel("r1", 7))
    harness.driver._timer_due(0.0, "t")
    harness.loop.run_soon()
    assert harness.transport.aborted == harness.transport.started
    assert harness.outcomes() == [(0, O.CANCELLED, False)]


def test_a_refusal_has_a_retry_delay_and_a_failure_never_becomes_a_refusal(harness: DriverHarness) -> None:
    harness.script.on = lambda event: [api.Refuse("r1", 250.0)]
    _, refused = harness.arrive()
    harness.script.on = lambda event: [api.Fail("r2"), api.Refuse("r2")]
    _, failed = harness.arrive()
    assert refused.answers == [(Status.REFUSED, b"", 250.0)]
    assert failed.answers == [(Status.FAILED, b"", 0.0)]


def test_a_module_that_raises_fails_only_one_request(
    harness: DriverHarness,
    capsys: pytest.CaptureFixture[str],
) -> None:
    def on(event: api.Event) -> list[api.Action]:
        if isinstance(event, api.RequestArrived) and event.id == "r1":
            raise KeyError("broken")
        return send_to_b1(event)

    harness.script.on = on
    _, first = harness.arrive()
    _, second = harness.arrive()
    assert first.answers == [(Status.FAILED, b"", 0.0)]
    harness.transport.started[0].ended(O.OK, ok())
    assert second.answers == [(Status.SERVED, b"tile", 0.0)]
    assert "broken" in capsys.readouterr().err


def test_a_module_that_raises_on_an_outcome_fails_that_request(harness: DriverHarness) -> None:
    def on(event: api.Event) -> list[api.Action]:
        if isinstance(event, api.AttemptEnded):
            raise ZeroDivisionError
        return send_to_b1(event)

    harness.script.on = on
    _, caller = harness.arrive()
    harness.transport.started[0].ended(O.RESET, None)
    harness.loop.run_soon()
    assert caller.answers == [(Status.FAILED, b"", 0.0)]
    assert harness.driver.requests == {}


def test_a_request_on_which_the_module_raised_is_removed_from_it(harness: DriverHarness) -> None:
    def on(event: api.Event) -> list[api.Action]:
        if isinstance(event, api.AttemptEnded):
            raise ZeroDivisionError
        return send_to_b1(event)

    harness.script.on = on
    _, caller = harness.arrive()
    harness.transport.started[0].ended(O.OK, ok())  # answered before the module handles the outcome
    harness.loop.run_soon()
    assert caller.answers == [(Status.SERVED, b"tile", 0.0)]
    assert harness.events(api.RequestExpired) == [api.RequestExpired("r1")]
    assert harness.driver.requests == {}


@pytest.mark.pure  # compiled attempts take no weak references
def test_a_request_that_has_ended_leaves_no_reference_cycle(harness: DriverHarness) -> None:
    """Memory is freed at once, not by the garbage collector."""
    harness.script.on = send_to_b1
    gc.disable()
    try:
        request, _ = harness.arrive()
        attempt = weakref.ref(harness.driver.requests[request.id].attempts[0])
        harness.transport.started.pop().ended(O.OK, ok())
        harness.loop.run_soon()
        harness.loop.timers.clear()
        assert harness.driver.requests == {}
        assert attempt() is None
    finally:
        gc.enable()


def test_a_list_from_discovery_is_handled_before_queued_events(harness: DriverHarness) -> None:
    request, caller = http1.Request(), FakeCaller()
    request.id, request.class_name, request.left_ms, request.read_ms = "r1", "order", 1000.0, harness.clock.ms
    harness.driver.accept(request, caller)
    harness.driver.endpoints_listed(api.EndpointsListed(api.ListKind.CHANGES))
    harness.loop.run_soon()
    assert [type(e) for _, e in harness.script.seen] == [api.EndpointsListed, api.RequestArrived]


def test_timers_never_fire_early(harness: DriverHarness) -> None:
    harness.driver._perform(api.SetTimer(harness.clock.ms + 50.0, "t"))
    (timer,) = harness.loop.timers
    harness.clock.ms += 49.5
    timer.cancelled = True
    timer.call()
    harness.loop.run_soon()
    assert harness.events(api.TimerFired) == []
    harness.loop.advance(1.0)
    assert harness.events(api.TimerFired) == [api.TimerFired("t")]


def test_reports_follow_the_order_of_the_settings_and_either_name(harness: DriverHarness) -> None:
    assert harness.driver._parse_report(b"busy_reqs=7,pending=2") == (2.0, 7.0)
    assert harness.driver._parse_report(b"inflight=1, queue=3,in_flight=4") == (3.0, 4.0)
    assert harness.driver._parse_report(b"pending=2") is None
    assert harness.driver._parse_report(b"pending=x,busy_reqs=1") is None
    assert harness.driver._parse_report(None) is None


def test_probes_end_once_with_their_result(harness: DriverHarness) -> None:
    harness.script.on = on_timer(api.Probe("b1"), api.Probe("b2"), api.Probe("b9"))
    harness.driver._timer_due(0.0, "t")
    harness.loop.run_soon()
    response = ok(b"pending=1,busy_reqs=2")
    harness.transport.started[0].ended(O.OK, response)
    harness.loop.advance(1000.0)
    found = [
        (e.endpoint, e.outcome, e.report) for _, e in harness.script.seen if isinstance(e, api.ProbeEnded)
    ]
    assert sorted(found, key=lambda x: x[0]) == [
        ("b1", O.OK, (1.0, 2.0)),
        ("b2", O.TIMEOUT, None),
        ("b9", O.NOT_SENT, None),
    ]


def test_an_id_in_the_table_is_not_taken_twice(harness: DriverHarness) -> None:
    request, _ = harness.arrive()
    assert not harness.driver.accept(request, FakeCaller())
    assert harness.driver.open_requests == 1


def test_the_limit_on_open_requests(harness: DriverHarness) -> None:
    harness.arrive()
    assert not harness.driver.is_full()
    harness.arrive()
    assert harness.driver.is_full()


def test_every_request_gets_at_most_one_answer_under_random_events(harness: DriverHarness) -> None:
    """Random outcomes, cancels, disconnects and times: at most one answer each, and no request is left."""
    draw = random.Random(4)

    def on(event: api.Event) -> list[api.Action]:
        if draw.random() < 0.02:
            raise RuntimeError("random failure")
        if isinstance(event, api.RequestArrived):
            return [api.Send(event.id, draw.choice(["b1", "b2", "b9"]), draw.choice([0.0, 30.0]))]
        if isinstance(event, api.AttemptEnded) and not event.request_over:
            retry: list[api.Action] = [api.Send(event.request, "b1", 0.0), api.Cancel(event.request, 0)]
            return draw.choice([retry, [api.Refuse(event.request, 5.0)], [api.Fail(event.request)], []])
        return []

    harness.script.on = on
    callers, disconnected = [], set()
    for _ in range(400):
        request, caller = harness.arrive(draw.uniform(0.0, 300.0))
        callers.append((request.id, caller))
        for call in draw.sample(harness.transport.started[-5:], k=min(2, len(harness.transport.started))):
            call.ended(draw.choice([O.OK, O.RESET, O.ERROR, O.REJECTED, O.CONNECT_FAILED]), ok())
        if draw.random() < 0.1:
            if not caller.answers:
                disconnected.add(request.id)
            harness.driver.client_disconnected(request)
        harness.loop.run_soon()
        harness.loop.advance(draw.uniform(0.0, 20.0))
    harness.loop.advance(1000.0)
    assert harness.driver.requests == {}
    assert harness.driver.open_requests == 0
    for name, caller in callers:
        assert len(caller.answers) == (0 if name in disconnected else 1)


@pytest.mark.parametrize(("time_left_ms", "is_taken"), [(900.0, False), (1100.0, True)])
def test_a_request_that_may_outlast_the_process_is_refused_at_once(
    harness: DriverHarness, time_left_ms: float, is_taken: bool
) -> None:
    """Guards against an attempt that a backend is at work on when the process answers all and ends."""
    harness.script.on = send_to_b1
    harness.driver.answers_until_ms = harness.clock.now() + time_left_ms
    request, caller = http1.Request(), FakeCaller()
    request.id, request.class_name, request.left_ms = "r1", "order", 1000.0
    request.method, request.target, request.read_ms = b"POST", b"/api", harness.clock.ms
    request.idempotency_key = b"k"
    assert harness.driver.submit(request, caller) is None
    harness.loop.run_soon()
    assert len(harness.transport.started) == is_taken
    assert caller.answers == ([] if is_taken else [(Status.REFUSED, b"", 0.0)])
