"""The driver without sockets: a scripted module, and a transport and a loop that note what they are asked."""

from __future__ import annotations

import gc
import random
import weakref
from collections.abc import Callable

import pytest

from honeywharf.codecs import http1
from honeywharf.core.driver import Driver
from honeywharf.core.forms import ANSWER_MARGIN_MS
from honeywharf.core.messages import Status
from honeywharf.core.transport import Clock, UpstreamRequest
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
        self.at, self.call, self.dead = at, call, False

    def cancel(self) -> None:
        self.dead = True


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

    def turn(self) -> None:
        while self.soon:
            self.soon.pop(0)()

    def advance(self, ms: float) -> None:
        """Pass time; run what falls due in order."""
        end = self.clock.ms + ms
        while due := [t for t in self.timers if not t.dead and t.at <= end]:
            first = min(due, key=lambda t: t.at)
            first.dead = True
            self.clock.ms = max(self.clock.ms, first.at)
            first.call()
            self.turn()
        self.clock.ms = end


class FakeTransport:
    def __init__(self) -> None:
        self.names = {"b1", "b2"}
        self.started: list[UpstreamRequest] = []
        self.aborted: list[UpstreamRequest] = []
        self.closed: list[str] = []

    def known(self, endpoint: str) -> bool:
        return endpoint in self.names

    def start(self, call: UpstreamRequest) -> None:
        self.started.append(call)

    def abort(self, call: UpstreamRequest) -> None:
        self.aborted.append(call)

    def close_idle(self, endpoint: str) -> None:
        self.closed.append(endpoint)


class Script:
    """Stands in for the module: each event is noted and answered by `on`."""

    def __init__(self) -> None:
        self.seen: list[tuple[float, api.Event]] = []
        self.on: Callable[[api.Event], list[api.Action]] = lambda event: []
        self.inside = False

    def handle(self, now_ms: float, event: api.Event) -> list[api.Action]:
        assert not self.inside
        self.inside = True
        try:
            if isinstance(event, api.LoopTurned):
                return []  # the loop's own time has tests of its own
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


class Bench:
    def __init__(self) -> None:
        self.clock = FakeClock()
        self.loop, self.transport, self.script = FakeLoop(self.clock), FakeTransport(), Script()
        self.driver = Driver(
            SETTINGS, self.script, self.transport, self.loop, self.clock, ("pending", "busy_reqs")
        )
        self.count = 0

    def arrive(self, left_ms: float = 1000.0) -> tuple[http1.Request, FakeCaller]:
        self.count += 1
        request, caller = http1.Request(), FakeCaller()
        request.id, request.class_name, request.left_ms = f"r{self.count}", "order", left_ms
        request.method, request.target, request.read_ms = b"POST", b"/api", self.clock.ms
        assert self.driver.arrived(request, caller)
        self.loop.turn()
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


def send_each(event: api.Event) -> list[api.Action]:
    return [api.Send(event.id, "b1", 0.0)] if isinstance(event, api.RequestArrived) else []


def ok(body: bytes = b"tile") -> http1.Response:
    response = http1.Response()
    response.status, response.body = 200, body
    return response


@pytest.fixture
def bench() -> Bench:
    return Bench()


def test_the_clock_is_unix_time_and_follows_the_monotonic_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    wall, mono = [1_700_000_000.0], [50.0]
    monkeypatch.setattr("time.time", lambda: wall[0])
    monkeypatch.setattr("time.monotonic", lambda: mono[0])
    clock = Clock()
    assert clock.now() == pytest.approx(1_700_000_000_000.0)
    wall[0] -= 3600.0  # somebody sets the machine's clock back
    mono[0] += 0.5
    assert clock.now() == pytest.approx(1_700_000_000_500.0)


def test_a_200_is_passed_on_at_once_and_concludes_the_request(bench: Bench) -> None:
    bench.script.on = send_each
    _, caller = bench.arrive()
    bench.clock.ms += 40.0
    bench.transport.started[0].ended(O.OK, ok())
    assert caller.answers == [(Status.SERVED, b"tile", 0.0)]
    bench.loop.turn()
    (event,) = bench.events(api.AttemptEnded)
    assert event == api.AttemptEnded("r1", 0, O.OK, 40.0, True, None, "b1")
    assert bench.driver.requests == {}
    assert bench.driver.open == 0


def test_events_come_one_at_a_time_and_actions_do_not_re_enter(bench: Bench) -> None:
    bench.transport.names = set()  # every send comes back as NOT_SENT, caused by an action

    def on(event: api.Event) -> list[api.Action]:
        if isinstance(event, api.RequestArrived):
            return [api.Send(event.id, "b1", 0.0), api.Send(event.id, "b2", 0.0)]
        if isinstance(event, api.AttemptEnded) and event.attempt == 1:
            return [api.Refuse(event.request)]
        return []

    bench.script.on = on
    _, caller = bench.arrive()
    assert bench.outcomes() == [(0, O.NOT_SENT, False), (1, O.NOT_SENT, False)]
    assert caller.answers == [(Status.REFUSED, b"", 0.0)]


def test_sends_that_may_not_leave_end_as_not_sent(bench: Bench) -> None:
    bench.script.on = send_each
    request, _ = bench.arrive()
    bench.script.on = on_timer(api.Send("r1", "b2", 0.0))
    for _ in range(3):  # the third is past the most attempts, which are three
        bench.driver._woken(0.0, "t")
        bench.loop.turn()
    assert len(bench.transport.started) == 3
    assert bench.outcomes() == [(3, O.NOT_SENT, False)]
    bench.driver.gone(request)
    bench.loop.turn()
    bench.driver._woken(0.0, "t")  # the request is over
    bench.loop.turn()
    assert len(bench.transport.started) == 3
    assert bench.outcomes()[-1] == (4, O.NOT_SENT, True)


def test_a_send_for_a_request_that_is_not_in_the_table_is_told_and_not_sent(bench: Bench) -> None:
    bench.script.on = on_timer(api.Send("nobody", "b1", 0.0))
    bench.driver._woken(0.0, "t")
    bench.loop.turn()
    assert bench.transport.started == []
    assert bench.outcomes() == [(0, O.NOT_SENT, True)]


def test_a_silent_backend_times_out_and_the_answer_is_out_before_the_client_gives_up(bench: Bench) -> None:
    def on(event: api.Event) -> list[api.Action]:
        return [api.Fail(event.request)] if isinstance(event, api.AttemptEnded) else send_each(event)

    bench.script.on = on
    start = bench.clock.ms
    _, caller = bench.arrive(1000.0)
    bench.loop.advance(980.0)
    assert caller.answers == []
    bench.loop.advance(15.0)
    assert caller.answers == [(Status.FAILED, b"", 0.0)]
    assert bench.script.seen[-1][0] < start + 1000.0
    assert bench.transport.aborted == bench.transport.started
    assert bench.outcomes() == [(0, O.TIMEOUT, False)]
    assert bench.driver.requests == {}


def test_the_time_that_passed_since_the_request_was_read_counts(bench: Bench) -> None:
    request, caller = http1.Request(), FakeCaller()
    request.id, request.class_name, request.left_ms = "r9", "order", 1000.0
    request.read_ms = bench.clock.ms - 300.0  # it waited behind another one on its connection
    assert bench.driver.arrived(request, caller)
    bench.loop.turn()
    (event,) = bench.events(api.RequestArrived)
    assert isinstance(event, api.RequestArrived)
    assert event.remaining_ms == pytest.approx(700.0 - ANSWER_MARGIN_MS)


def test_a_request_that_the_module_keeps_is_failed_at_its_time(bench: Bench) -> None:
    _, caller = bench.arrive(500.0)
    bench.loop.advance(499.0)
    assert caller.answers == [(Status.FAILED, b"", 0.0)]
    assert bench.events(api.RequestExpired) == [api.RequestExpired("r1")]
    assert bench.driver.requests == {}


def test_a_timer_that_comes_early_leaves_no_attempt_behind(bench: Bench) -> None:
    """Guards against a retry in the last part of a ms, which nothing would end if the backend is silent."""
    bench.script.on = lambda event: (
        [api.Send("r1", "b1", 0.0)]
        if isinstance(event, api.RequestArrived)
        or (isinstance(event, api.AttemptEnded) and event.outcome is O.TIMEOUT)
        else []
    )
    _, caller = bench.arrive()
    (timer,) = [t for t in bench.loop.timers if not t.dead]
    bench.clock.ms = timer.at - 0.5
    timer.dead = True
    timer.call()
    bench.loop.turn()
    assert [a[0] for a in caller.answers] == [Status.FAILED]
    assert [o for _, o, _ in bench.outcomes()] == [O.TIMEOUT, O.NOT_SENT]
    assert not bench.driver.requests


def test_an_attempt_of_shorter_time_ends_by_itself(bench: Bench) -> None:
    def on(event: api.Event) -> list[api.Action]:
        return [api.Send(event.id, "b1", 80.0)] if isinstance(event, api.RequestArrived) else []

    bench.script.on = on
    _, caller = bench.arrive(1000.0)
    assert bench.transport.started[0].until_ms == bench.clock.ms + 80.0
    bench.loop.advance(90.0)
    assert bench.outcomes() == [(0, O.TIMEOUT, False)]
    assert caller.answers == []


def test_after_the_client_has_gone_an_attempt_still_gets_its_end(bench: Bench) -> None:
    bench.script.on = send_each
    request, caller = bench.arrive()
    bench.driver.gone(request)
    bench.loop.turn()
    assert bench.transport.aborted == []
    bench.transport.started[0].ended(O.OK, ok())
    bench.loop.turn()
    assert caller.answers == []
    assert bench.outcomes() == [(0, O.OK, True)]
    assert bench.driver.requests == {}


def test_a_silent_attempt_of_a_client_that_has_gone_ends_at_its_time(bench: Bench) -> None:
    bench.script.on = send_each
    request, _ = bench.arrive(1000.0)
    bench.driver.gone(request)
    bench.loop.advance(1000.0)
    assert bench.outcomes() == [(0, O.TIMEOUT, True)]
    assert bench.driver.requests == {}


def test_a_second_copy_changes_nothing_for_the_client(bench: Bench) -> None:
    def on(event: api.Event) -> list[api.Action]:
        return (
            [*send_each(event), api.Send(event.id, "b2", 0.0)]
            if isinstance(event, api.RequestArrived)
            else []
        )

    bench.script.on = on
    _, caller = bench.arrive()
    bench.transport.started[1].ended(O.OK, ok(b"second"))
    bench.loop.turn()
    bench.transport.started[0].ended(O.OK, ok(b"first"))
    bench.loop.turn()
    assert caller.answers == [(Status.SERVED, b"second", 0.0)]
    assert bench.outcomes() == [(1, O.OK, True), (0, O.OK, True)]


def test_cancel_closes_and_ends_the_attempt_once(bench: Bench) -> None:
    bench.script.on = send_each
    bench.arrive()
    bench.script.on = on_timer(api.Cancel("r1", 0), api.Cancel("r1", 0), api.Cancel("r1", 7))
    bench.driver._woken(0.0, "t")
    bench.loop.turn()
    assert bench.transport.aborted == bench.transport.started
    assert bench.outcomes() == [(0, O.CANCELLED, False)]


def test_a_refusal_says_when_to_come_back_and_a_failure_is_never_worded_as_one(bench: Bench) -> None:
    bench.script.on = lambda event: [api.Refuse("r1", 250.0)]
    _, refused = bench.arrive()
    bench.script.on = lambda event: [api.Fail("r2"), api.Refuse("r2")]
    _, failed = bench.arrive()
    assert refused.answers == [(Status.REFUSED, b"", 250.0)]
    assert failed.answers == [(Status.FAILED, b"", 0.0)]


def test_a_module_that_raises_costs_one_request_only(
    bench: Bench,
    capsys: pytest.CaptureFixture[str],
) -> None:
    def on(event: api.Event) -> list[api.Action]:
        if isinstance(event, api.RequestArrived) and event.id == "r1":
            raise KeyError("broken")
        return send_each(event)

    bench.script.on = on
    _, first = bench.arrive()
    _, second = bench.arrive()
    assert first.answers == [(Status.FAILED, b"", 0.0)]
    bench.transport.started[0].ended(O.OK, ok())
    assert second.answers == [(Status.SERVED, b"tile", 0.0)]
    assert "broken" in capsys.readouterr().err


def test_a_module_that_raises_on_an_outcome_fails_that_request(bench: Bench) -> None:
    def on(event: api.Event) -> list[api.Action]:
        if isinstance(event, api.AttemptEnded):
            raise ZeroDivisionError
        return send_each(event)

    bench.script.on = on
    _, caller = bench.arrive()
    bench.transport.started[0].ended(O.RESET, None)
    bench.loop.turn()
    assert caller.answers == [(Status.FAILED, b"", 0.0)]
    assert bench.driver.requests == {}


def test_a_request_that_the_module_broke_on_is_taken_out_of_it(bench: Bench) -> None:
    def on(event: api.Event) -> list[api.Action]:
        if isinstance(event, api.AttemptEnded):
            raise ZeroDivisionError
        return send_each(event)

    bench.script.on = on
    _, caller = bench.arrive()
    bench.transport.started[0].ended(O.OK, ok())  # answered before the module is told
    bench.loop.turn()
    assert caller.answers == [(Status.SERVED, b"tile", 0.0)]
    assert bench.events(api.RequestExpired) == [api.RequestExpired("r1")]
    assert bench.driver.requests == {}


@pytest.mark.pure  # compiled attempts take no weak references
def test_nothing_of_a_request_that_is_over_refers_to_it(bench: Bench) -> None:
    """Memory comes back at once, and not when the collector comes."""
    bench.script.on = send_each
    gc.disable()
    try:
        request, _ = bench.arrive()
        held = weakref.ref(bench.driver.requests[request.id].attempts[0])
        bench.transport.started.pop().ended(O.OK, ok())
        bench.loop.turn()
        bench.loop.timers.clear()
        assert bench.driver.requests == {}
        assert held() is None
    finally:
        gc.enable()


def test_word_from_discovery_goes_before_what_waits(bench: Bench) -> None:
    request, caller = http1.Request(), FakeCaller()
    request.id, request.class_name, request.left_ms, request.read_ms = "r1", "order", 1000.0, bench.clock.ms
    bench.driver.arrived(request, caller)
    bench.driver.listed(api.EndpointsListed(api.ListKind.CHANGES))
    bench.loop.turn()
    assert [type(e) for _, e in bench.script.seen] == [api.EndpointsListed, api.RequestArrived]


def test_timers_never_come_early(bench: Bench) -> None:
    bench.driver._perform(api.SetTimer(bench.clock.ms + 50.0, "t"))
    (timer,) = bench.loop.timers
    bench.clock.ms += 49.5
    timer.dead = True
    timer.call()
    bench.loop.turn()
    assert bench.events(api.TimerFired) == []
    bench.loop.advance(1.0)
    assert bench.events(api.TimerFired) == [api.TimerFired("t")]


def test_reports_follow_the_order_of_the_settings_and_either_name(bench: Bench) -> None:
    assert bench.driver._report(b"busy_reqs=7,pending=2") == (2.0, 7.0)
    assert bench.driver._report(b"inflight=1, queue=3,in_flight=4") == (3.0, 4.0)
    assert bench.driver._report(b"pending=2") is None
    assert bench.driver._report(b"pending=x,busy_reqs=1") is None
    assert bench.driver._report(None) is None


def test_probes_end_once_with_what_they_found(bench: Bench) -> None:
    bench.script.on = on_timer(api.Probe("b1"), api.Probe("b2"), api.Probe("b9"))
    bench.driver._woken(0.0, "t")
    bench.loop.turn()
    response = ok(b"pending=1,busy_reqs=2")
    bench.transport.started[0].ended(O.OK, response)
    bench.loop.advance(1000.0)
    found = [(e.endpoint, e.outcome, e.report) for _, e in bench.script.seen if isinstance(e, api.ProbeEnded)]
    assert sorted(found, key=lambda x: x[0]) == [
        ("b1", O.OK, (1.0, 2.0)),
        ("b2", O.TIMEOUT, None),
        ("b9", O.NOT_SENT, None),
    ]


def test_an_id_in_the_table_is_not_taken_twice(bench: Bench) -> None:
    request, _ = bench.arrive()
    assert not bench.driver.arrived(request, FakeCaller())
    assert bench.driver.open == 1


def test_the_bound_on_open_requests(bench: Bench) -> None:
    bench.arrive()
    assert not bench.driver.full()
    bench.arrive()
    assert bench.driver.full()


def test_every_request_gets_one_answer_whatever_happens(bench: Bench) -> None:
    """Random outcomes, cancels, departures and times: one answer each at most, and nothing is left over."""
    choice = random.Random(4)

    def on(event: api.Event) -> list[api.Action]:
        if choice.random() < 0.02:
            raise RuntimeError("now and then")
        if isinstance(event, api.RequestArrived):
            return [api.Send(event.id, choice.choice(["b1", "b2", "b9"]), choice.choice([0.0, 30.0]))]
        if isinstance(event, api.AttemptEnded) and not event.request_over:
            again: list[api.Action] = [api.Send(event.request, "b1", 0.0), api.Cancel(event.request, 0)]
            return choice.choice([again, [api.Refuse(event.request, 5.0)], [api.Fail(event.request)], []])
        return []

    bench.script.on = on
    callers, left = [], set()
    for _ in range(400):
        request, caller = bench.arrive(choice.uniform(0.0, 300.0))
        callers.append((request.id, caller))
        for call in choice.sample(bench.transport.started[-5:], k=min(2, len(bench.transport.started))):
            call.ended(choice.choice([O.OK, O.RESET, O.ERROR, O.REJECTED, O.CONNECT_FAILED]), ok())
        if choice.random() < 0.1:
            if not caller.answers:
                left.add(request.id)
            bench.driver.gone(request)
        bench.loop.turn()
        bench.loop.advance(choice.uniform(0.0, 20.0))
    bench.loop.advance(1000.0)
    assert bench.driver.requests == {}
    assert bench.driver.open == 0
    for name, caller in callers:
        assert len(caller.answers) == (0 if name in left else 1)
