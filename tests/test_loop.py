"""The proxy's own lateness: recorded by the driver, excluded by the module, and limited by load shedding."""

from __future__ import annotations

import pytest

from honeywharf import limits
from honeywharf.codecs import http1
from honeywharf.core.driver import Driver
from honeywharf.policy import interface as api
from tests import helpers
from tests.test_driver import (
    SETTINGS,
    FakeCaller,
    FakeClock,
    FakeLoop,
    FakeTransport,
    ScriptedModule,
    ok,
    send_to_b1,
)


class BusyLoop(FakeLoop):
    """A loop whose turn began at a time that the test sets."""

    turn_began_ms = 0.0

    def time(self) -> float:
        return self.turn_began_ms / 1000.0


class BusyDriver:
    """A driver whose loop turns take as long as the test sets."""

    def __init__(self) -> None:
        self.clock = FakeClock()
        self.loop = BusyLoop(self.clock)
        self.transport, self.script = FakeTransport(), ScriptedModule()
        self.script.on = send_to_b1
        self.turns: list[float] = []
        inner = self.script.handle

        def handle(now_ms: float, event: api.Event) -> list[api.Action]:
            if isinstance(event, api.LoopTurned):
                self.turns.append(event.turn_ms)
            return inner(now_ms, event)

        self.script.handle = handle  # type: ignore[method-assign]
        self.driver = Driver(SETTINGS, self.script, self.transport, self.loop, self.clock)
        self.count = 0

    def begin_turn_after(self, waited_ms: float) -> None:
        """Let the loop wait for I/O and begin a turn."""
        self.clock.ms += waited_ms
        self.loop.turn_began_ms = self.clock.ms

    def arrive(self) -> None:
        request = http1.Request()
        self.count += 1
        request.id, request.class_name, request.left_ms = f"r{self.count}", "order", 1000.0
        request.read_ms = self.clock.ms
        assert self.driver.accept(request, FakeCaller())

    def last_attempt_end(self) -> api.AttemptEnded:
        return next(e for _, e in reversed(self.script.seen) if isinstance(e, api.AttemptEnded))


def test_an_answer_read_in_a_busy_turn_may_have_arrived_during_the_previous_turn() -> None:
    busy = BusyDriver()
    busy.begin_turn_after(5.0)
    busy.arrive()
    busy.loop.run_soon()  # the attempt is sent
    busy.clock.ms += 30.0  # other requests take the rest of the turn
    busy.script.on = lambda event: []
    busy.driver._enqueue(api.TimerFired("x"))
    busy.loop.run_soon()
    busy.begin_turn_after(0.0)  # no wait, because the answer had arrived
    busy.clock.ms += 8.0
    busy.transport.started[0].ended(api.Outcome.OK, ok())
    busy.loop.run_soon()
    assert busy.last_attempt_end().elapsed_ms == pytest.approx(38.0)
    assert busy.last_attempt_end().proxy_ms == pytest.approx(38.0)


def test_an_answer_that_the_loop_waited_for_is_the_servers_time() -> None:
    busy = BusyDriver()
    busy.begin_turn_after(5.0)
    busy.arrive()
    busy.loop.run_soon()
    busy.begin_turn_after(40.0)
    busy.transport.started[0].ended(api.Outcome.OK, ok())
    busy.loop.run_soon()
    assert busy.last_attempt_end().elapsed_ms == pytest.approx(40.0)
    assert busy.last_attempt_end().proxy_ms == 0.0


def test_the_shortest_turn_is_reported_periodically() -> None:
    busy = BusyDriver()
    for length in (70.0, 20.0, 70.0, 70.0):
        busy.begin_turn_after(1.0)
        busy.arrive()
        busy.clock.ms += length
        busy.loop.run_soon()
    assert busy.turns == pytest.approx([70.0, 20.0])  # the first at once, later ones every 100 ms


def test_a_saturated_proxy_sheds_load_by_its_own_limit_and_keeps_the_zones_limits() -> None:
    driver = helpers.Driver()
    driver.list([helpers.endpoint(f"a{i}") for i in range(4)])
    driver.fill(200)
    before = [z.limiter.limit for z in driver.balancer.endpoints.zones.values()]
    for _ in range(40):  # turns of 100 ms with a latency target of 1000 ms
        driver.now += 100.0
        driver.feed(api.LoopTurned(100.0))
    refused = []
    for _ in range(300):
        refused += [a for a in driver.request() if isinstance(a, api.Refuse)]
        driver.feed(api.AttemptEnded(f"r{driver.count}", 0, api.Outcome.OK, 800.0, True, proxy_ms=795.0))
    assert len(refused) > 200
    assert {a.reason for a in refused} == {api.Reason.PROXY}
    assert [z.limiter.limit for z in driver.balancer.endpoints.zones.values()] == before
    for _ in range(40):
        driver.now += 100.0
        driver.feed(api.LoopTurned(1.0))
    assert driver.balancer.admission.loop.share == 1.0
    assert isinstance(driver.request()[0], api.Send)


def test_without_the_proxys_own_time_the_same_answers_would_close_the_zone() -> None:
    """Shows that the exclusion of the proxy's own lateness makes the difference."""
    limiter = limits.LatenessLimiter(8.0)
    for i in range(300):
        limiter.learn(1000.0 + 10.0 * i, 800.0, 5.0, 400.0, 8.0)
    assert limiter.limit == 2.0


def test_shed_requests_of_an_ordered_class_leave_no_queue_behind() -> None:
    ordered = api.RequestClass("read", 1000, 2000, in_order=True)
    driver = helpers.Driver(helpers.make_settings(classes=(ordered,)))
    driver.list([helpers.endpoint("a0")])
    driver.balancer.admission.loop.share = 0.0
    (refusal,) = driver.request(key="k")
    assert isinstance(refusal, api.Refuse)
    assert not driver.balancer.order.queues
    assert not driver.balancer.requests
