"""The cold bound: no second of any day holds more than the rule allows, through restarts and new bounds."""

from __future__ import annotations

from random import Random

import pytest

from honeywharf.admission.cold import FRESH_S, MOST, WINDOW_S, ColdBound

PER_S, OVERAGE, SLACK = 22.0, 1.5, 5.0
ALLOWED = PER_S * OVERAGE + SLACK


def most_in_a_second(times: list[float]) -> int:
    """The largest count in any span of one second."""
    most = start = 0
    for end, when in enumerate(times):
        while times[start] <= when - 1.0:
            start += 1
        most = max(most, end - start + 1)
    return most


@pytest.mark.parametrize("seed", range(6))
def test_no_second_holds_more_than_the_bound_through_restarts(seed: int) -> None:
    rng, now, sent = Random(seed), 100.0, []
    bound = ColdBound(now, PER_S, OVERAGE, SLACK, fresh=True)
    pace = 200.0
    for _ in range(4000):
        now += rng.expovariate(pace)
        if rng.random() < 0.001:  # killed, and there again after a moment
            bound = ColdBound(now, PER_S, OVERAGE, SLACK, fresh=True)
        if rng.random() < 0.002:
            pace = rng.choice((5.0, 30.0, 200.0, 2000.0))
        if bound.wait(now) == 0.0:
            bound.took(now)
            sent.append(now)
    assert len(sent) > 200
    assert most_in_a_second(sent) <= ALLOWED


def test_what_is_told_to_wait_is_the_shortest_that_helps() -> None:
    rng, now = Random(1), 0.0
    bound = ColdBound(now, PER_S, OVERAGE, SLACK, fresh=False)
    for _ in range(500):
        now += rng.expovariate(60.0)
        wait = bound.wait(now)
        if wait == 0.0:
            bound.took(now)
        else:
            assert 0.0 < wait <= WINDOW_S
            assert ColdBound.wait(bound, now + wait * 0.99) > 0.0
            now += wait + 1e-9
            assert bound.wait(now) == 0.0


def test_sends_from_before_it_was_cold_count() -> None:
    bound = ColdBound(0.0, PER_S, OVERAGE, SLACK, fresh=False)
    for n in range(300):  # at full pace, nobody asks
        bound.took(5.0 + n / 300.0)
    assert bound.wait(6.0) == pytest.approx(5.0 + (300 - bound.most) / 300.0 + WINDOW_S - 6.0)


def test_a_fresh_one_takes_the_bound_as_used_up_by_its_predecessor() -> None:
    bound = ColdBound(7.0, PER_S, OVERAGE, SLACK, fresh=True)
    assert bound.wait(7.0) == pytest.approx(FRESH_S)
    assert bound.wait(7.0 + FRESH_S + 1e-9) == 0.0


def test_memory_is_bounded_by_the_bound() -> None:
    bound = ColdBound(0.0, PER_S, OVERAGE, SLACK, fresh=False)
    for n in range(20_000):
        bound.took(n / 1e5)
        assert len(bound.sent) <= MOST
    bound.took(10.0)
    assert len(bound.sent) == 1, "what is older than the window is forgotten"


def test_what_went_while_it_was_hot_counts_once_it_is_cold() -> None:
    bound = ColdBound(0.0, 0.1, 1.0, 0.0, fresh=False)
    for n in range(100):
        bound.took(n / 100.0)
    bound.bound(PER_S, OVERAGE, SLACK)
    assert bound.wait(1.0) > 0.0


def test_one_may_always_go_however_small_the_bound() -> None:
    bound = ColdBound(0.0, 0.1, 1.0, 0.0, fresh=False)
    assert bound.wait(0.0) == 0.0
    bound.took(0.0)
    assert bound.wait(0.5) == pytest.approx(WINDOW_S - 0.5)
