"""Order by key: one request at a time, and a hold after an attempt that may still run."""

from __future__ import annotations

import pytest

from honeywharf.policy import interface as api
from tests.helpers import Actions, Driver, endpoint, make_settings, only_refusal

O = api.Outcome  # noqa: E741
BORROW = api.RequestClass("borrow", 1000, 2000, effect=api.Effect.ONCE, in_order=True)
RENEW = api.RequestClass("renew", 1000, 2000, effect=api.Effect.KEYED, window_ms=1500, in_order=True)
READ = api.RequestClass("read", 1000, 2000)
GAP_MS = 150.0


@pytest.fixture
def driver() -> Driver:
    settings = make_settings(
        classes=(BORROW, RENEW, READ), rules=api.Rules(ask_every_ms=10000, turn_gap_ms=GAP_MS)
    )
    new_driver = Driver(settings)
    new_driver.list([endpoint(f"a{i}") for i in range(6)])
    return new_driver


def fire_timer(driver: Driver, token: str, after_ms: float) -> Actions:
    driver.now += after_ms
    return driver.feed(api.TimerFired(token))


def sends(actions: Actions) -> list[str]:
    return [a.request for a in actions if isinstance(a, api.Send)]


def test_requests_of_one_key_run_one_at_a_time_in_order_across_classes(driver: Driver) -> None:
    assert sends(driver.request("borrow", key="k")) == ["r1"]
    assert sends(driver.request("renew", key="k")) == []
    assert sends(driver.request("borrow", key="k")) == []
    assert sends(driver.end(O.OK, request="r1")) == ["r2"]
    assert sends(driver.end(O.OK, request="r2")) == ["r3"]


def test_requests_of_other_keys_or_unordered_classes_do_not_wait(driver: Driver) -> None:
    driver.request("borrow", key="k")
    assert sends(driver.request("borrow", key="j")) == ["r2"]
    assert sends(driver.request("borrow")) == ["r3"]
    assert sends(driver.request("borrow")) == ["r4"]
    assert sends(driver.request("read", key="k")) == ["r5"]


@pytest.mark.parametrize("outcome", [O.TIMEOUT, O.RESET])
def test_a_key_is_held_after_an_attempt_that_may_still_run(driver: Driver, outcome: api.Outcome) -> None:
    driver.request("borrow", key="k")
    driver.request("borrow", key="k")
    actions = driver.end(outcome, request="r1")
    assert api.Fail("r1") in actions
    assert sends(actions) == []
    (timer,) = [a for a in actions if isinstance(a, api.SetTimer)]
    assert timer.at_ms == driver.now + GAP_MS
    assert sends(fire_timer(driver, timer.token, GAP_MS)) == ["r2"]


def test_the_first_request_of_a_key_is_retried_without_a_wait(driver: Driver) -> None:
    driver.request("renew", key="k")
    driver.request("renew", key="k")
    assert sends(driver.end(O.TIMEOUT, request="r1", after_ms=100)) == ["r1"]


def test_the_next_request_follows_at_once_one_that_never_ran(driver: Driver) -> None:
    driver.list([endpoint("a0")])
    driver.request("borrow", key="k")
    driver.request("borrow", key="k")
    actions: Actions = []
    for attempt in range(3):
        actions = driver.end(O.CONNECT_FAILED, attempt, request="r1")
    assert any(isinstance(a, api.Refuse) and a.request == "r1" for a in actions)
    assert sends(actions) == ["r2"]


def test_a_waiting_request_is_refused_at_its_deadline(driver: Driver) -> None:
    driver.request("borrow", key="k", remaining_ms=2000)
    actions = driver.request("borrow", key="k", remaining_ms=300)
    (timer,) = actions
    assert isinstance(timer, api.SetTimer)
    assert timer.at_ms <= driver.now + 300
    assert only_refusal(fire_timer(driver, timer.token, 300)).request == "r2"
    assert sends(driver.end(O.OK, request="r1")) == []
    assert not driver.balancer.order.queues


def test_a_waiting_request_whose_client_left_is_skipped(driver: Driver) -> None:
    for _ in range(3):
        driver.request("borrow", key="k")
    driver.feed(api.RequestExpired("r2"))
    assert sends(driver.end(O.OK, request="r1")) == ["r3"]


def test_a_pending_attempt_blocks_its_key_after_its_client_left(driver: Driver) -> None:
    driver.request("borrow", key="k")
    driver.request("borrow", key="k")
    assert sends(driver.feed(api.RequestExpired("r1"))) == []
    assert sends(driver.end(O.OK, request="r1", request_over=True)) == ["r2"]


def test_an_idle_key_leaves_no_state(driver: Driver) -> None:
    for i in range(50):
        driver.request("borrow", key=f"k{i}")
        driver.end(O.TIMEOUT if i % 2 else O.OK)
    fire_timer(driver, "turn", GAP_MS)
    assert not driver.balancer.order.queues
    assert not driver.balancer.order.holds


def test_a_long_queue_without_servers_is_answered(driver: Driver) -> None:
    """Guards against a recursion that is as deep as the queue is long."""
    for _ in range(3000):
        driver.request("borrow", key="k")
    driver.list([])
    actions = driver.end(O.OK, request="r1")
    assert sum(isinstance(a, api.Refuse) for a in actions) == 2999
