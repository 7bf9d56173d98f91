"""The bound for cold backends: it holds in every second, through restarts and changes of the bound."""

from __future__ import annotations

from random import Random

import pytest

from honeywharf.admission.cold_start import MAX_KEPT, STARTUP_WAIT_S, WINDOW_S, ColdBound

PER_S, OVERAGE, SLACK = 22.0, 1.5, 5.0
ALLOWED = PER_S * OVERAGE + SLACK


def most_in_a_second(times: list[float]) -> int:
    """Returns the largest count in any span of one second."""
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
    rate = 200.0
    for _ in range(4000):
        now += rng.expovariate(rate)
        if rng.random() < 0.001:  # the sidecar is killed and restarts
            bound = ColdBound(now, PER_S, OVERAGE, SLACK, fresh=True)
        if rng.random() < 0.002:
            rate = rng.choice((5.0, 30.0, 200.0, 2000.0))
        if bound.wait_s(now) == 0.0:
            bound.record(now)
            sent.append(now)
    assert len(sent) > 200
    assert most_in_a_second(sent) <= ALLOWED


def test_the_announced_wait_is_the_shortest_that_suffices() -> None:
    rng, now = Random(1), 0.0
    bound = ColdBound(now, PER_S, OVERAGE, SLACK, fresh=False)
    for _ in range(500):
        now += rng.expovariate(60.0)
        wait = bound.wait_s(now)
        if wait == 0.0:
            bound.record(now)
        else:
            assert 0.0 < wait <= WINDOW_S
            assert ColdBound.wait_s(bound, now + wait * 0.99) > 0.0
            now += wait + 1e-9
            assert bound.wait_s(now) == 0.0


def test_requests_sent_before_the_backend_was_cold_count() -> None:
    bound = ColdBound(0.0, PER_S, OVERAGE, SLACK, fresh=False)
    for n in range(300):  # at full rate, without asking for the wait
        bound.record(5.0 + n / 300.0)
    assert bound.wait_s(6.0) == pytest.approx(5.0 + (300 - bound.most) / 300.0 + WINDOW_S - 6.0)


def test_a_new_sidecar_treats_the_bound_as_used_up_by_its_predecessor() -> None:
    bound = ColdBound(7.0, PER_S, OVERAGE, SLACK, fresh=True)
    assert bound.wait_s(7.0) == pytest.approx(STARTUP_WAIT_S)
    assert bound.wait_s(7.0 + STARTUP_WAIT_S + 1e-9) == 0.0


def test_the_number_of_send_times_is_bounded() -> None:
    bound = ColdBound(0.0, PER_S, OVERAGE, SLACK, fresh=False)
    for n in range(20_000):
        bound.record(n / 1e5)
        assert len(bound.sent) <= MAX_KEPT
    bound.record(10.0)
    assert len(bound.sent) == 1, "send times older than the window are dropped"


def test_requests_sent_under_a_looser_bound_count_under_the_new_one() -> None:
    bound = ColdBound(0.0, 0.1, 1.0, 0.0, fresh=False)
    for n in range(100):
        bound.record(n / 100.0)
    bound.set_bound(PER_S, OVERAGE, SLACK)
    assert bound.wait_s(1.0) > 0.0


def test_one_request_may_always_be_sent_however_small_the_bound() -> None:
    bound = ColdBound(0.0, 0.1, 1.0, 0.0, fresh=False)
    assert bound.wait_s(0.0) == 0.0
    bound.record(0.0)
    assert bound.wait_s(0.5) == pytest.approx(WINDOW_S - 0.5)
