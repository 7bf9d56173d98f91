"""The shared retry budget: the sum over all proxies stays within the rule's bound in each window."""

from __future__ import annotations

from bisect import bisect_left
from random import Random

import pytest

from honeywharf.admission.retry_budget import WINDOW_SLICES, RetryBudget

RATIO, SLACK, WINDOW = 0.2, 56.0, 10.0


def within(times: list[float], start: float, end: float) -> int:
    """Returns how many of the sorted times lie in [start, end)."""
    return bisect_left(times, end) - bisect_left(times, start)


def excess(requests: list[float], repeats: list[float]) -> float:
    """Returns the largest excess over RULES, BUDGET in a window that ends with a repeat; negative if none."""
    worst = -SLACK
    for end in repeats:
        start = end - WINDOW
        asked = max(within(requests, start - back, end - back) for back in (0.0, WINDOW / 2, WINDOW))
        worst = max(worst, within(repeats, start, end + 1e-9) - (RATIO * asked + SLACK))
    return worst


def simulate(seed: int, proxies: int, rate: float, wrong: int) -> tuple[list[float], list[float]]:
    """Simulates requests and repeats of all proxies, where every request is repeated if the budget allows.

    `wrong`: the number of proxies that believe that they are the only one.
    """
    rng = Random(seed)
    budgets = [RetryBudget(RATIO, SLACK, WINDOW) for _ in range(proxies)]
    busy, now = rng.random() < 0.5, 0.0
    requests, repeats = [], []
    pending: list[tuple[float, int]] = []
    while now < 60.0:
        if rng.random() < 0.001:
            busy = not busy
        now += rng.expovariate(rate if busy else rate / 20.0)
        while pending and pending[0][0] <= now:
            when, proxy = pending.pop(0)
            if budgets[proxy].spend(when, 1 if proxy < wrong else proxies):
                repeats.append(when)
        proxy = rng.randrange(proxies)
        budgets[proxy].record_request(now)
        requests.append(now)
        pending.append((now + 0.9, proxy))
    return requests, repeats


@pytest.mark.parametrize(
    ("proxies", "rate", "wrong"),
    [(2, 40.0, 0), (2, 40.0, 2), (7, 200.0, 4), (30, 200.0, 4), (100, 400.0, 4), (100, 20.0, 4)],
)
def test_the_sum_over_all_proxies_keeps_the_bound_in_each_window(
    proxies: int, rate: float, wrong: int
) -> None:
    for seed in range(2):
        requests, repeats = simulate(seed, proxies, rate, wrong)
        assert repeats, "no request was repeated, so the test shows nothing"
        assert excess(requests, repeats) < 0.0


def test_a_proxy_can_spend_its_part_of_the_bound() -> None:
    budget = RetryBudget(RATIO, SLACK, WINDOW)
    for n in range(1000):
        budget.record_request(n / 100.0)
    spent = sum(budget.spend(10.0, 4) for _ in range(1000))
    assert RATIO * 1000 * 0.3 < spent < RATIO * 1000 * 0.5


def test_spent_budget_returns_after_a_window_and_not_before() -> None:
    budget = RetryBudget(0.0, 40.0, WINDOW)
    assert [budget.spend(0.0, 4) for _ in range(5)] == [True] * 4 + [False]
    assert not budget.spend(WINDOW - 0.001, 4)
    assert not budget.spend(WINDOW + 0.001, 4)  # the slice that counts the spending ends later
    assert budget.spend(WINDOW + WINDOW / WINDOW_SLICES + 0.001, 4)


def test_the_arrivals_of_one_repeat_are_spent_together_or_not_at_all() -> None:
    budget = RetryBudget(0.0, 40.0, WINDOW)
    assert budget.spend(0.0, 4, arrivals=3.0)
    assert not budget.spend(0.0, 4, arrivals=2.0)
    assert budget.spend(0.0, 4, arrivals=1.0)


def test_memory_does_not_grow_with_requests_or_time() -> None:
    budget = RetryBudget(RATIO, SLACK, WINDOW)
    rng, now = Random(3), 0.0
    for _ in range(5000):
        now += rng.expovariate(20.0)
        budget.record_request(now)
        budget.spend(now, 9)
        assert len(budget.slices) <= WINDOW_SLICES + 1
    assert budget.requests == sum(s[1] for s in budget.slices)
    assert budget.spent == sum(s[2] for s in budget.slices)


@pytest.mark.parametrize(("ratio", "slack", "window"), [(-0.1, 1.0, 1.0), (0.1, -1.0, 1.0), (0.1, 1.0, 0.0)])
def test_invalid_settings_are_rejected(ratio: float, slack: float, window: float) -> None:
    with pytest.raises(
        ValueError,
        match="retry budget: expected ratio and slack of at least 0 and a window above 0, got ratio",
    ):
        RetryBudget(ratio, slack, window)
