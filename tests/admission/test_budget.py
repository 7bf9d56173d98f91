"""The retry budget: whoever knows whom, the sum over all proxies keeps the rule's bound in each window."""

from __future__ import annotations

from bisect import bisect_left
from random import Random

import pytest

from honeywharf.admission.budget import SLICES, RetryBudget

RATIO, SLACK, WINDOW = 0.2, 56.0, 10.0


def within(times: list[float], start: float, end: float) -> int:
    """How many of the sorted times lie in [start, end)."""
    return bisect_left(times, end) - bisect_left(times, start)


def excess(requests: list[float], repeats: list[float]) -> float:
    """The most by which any window that ends with a repeat breaks RULES, BUDGET; below 0: none does."""
    worst = -SLACK
    for end in repeats:
        start = end - WINDOW
        asked = max(within(requests, start - back, end - back) for back in (0.0, WINDOW / 2, WINDOW))
        worst = max(worst, within(repeats, start, end + 1e-9) - (RATIO * asked + SLACK))
    return worst


def play(seed: int, proxies: int, rate: float, wrong: int) -> tuple[list[float], list[float]]:
    """Requests and repeats of all proxies, where every request wants to be repeated within a second.

    `wrong`: that many proxies believe that they are alone, the others know `proxies`.
    """
    rng = Random(seed)
    budgets = [RetryBudget(RATIO, SLACK, WINDOW) for _ in range(proxies)]
    busy, now = rng.random() < 0.5, 0.0
    requests, repeats = [], []
    due: list[tuple[float, int]] = []
    while now < 60.0:
        if rng.random() < 0.001:
            busy = not busy
        now += rng.expovariate(rate if busy else rate / 20.0)
        while due and due[0][0] <= now:
            when, who = due.pop(0)
            if budgets[who].spend(when, 1 if who < wrong else proxies):
                repeats.append(when)
        who = rng.randrange(proxies)
        budgets[who].took(now)
        requests.append(now)
        due.append((now + 0.9, who))
    return requests, repeats


@pytest.mark.parametrize(
    ("proxies", "rate", "wrong"),
    [(2, 40.0, 0), (2, 40.0, 2), (7, 200.0, 4), (30, 200.0, 4), (100, 400.0, 4), (100, 20.0, 4)],
)
def test_the_sum_over_all_proxies_keeps_the_bound_in_each_window(
    proxies: int, rate: float, wrong: int
) -> None:
    for seed in range(2):
        requests, repeats = play(seed, proxies, rate, wrong)
        assert repeats, "nobody repeated anything: the test has tried nothing"
        assert excess(requests, repeats) < 0.0


def test_a_part_of_what_is_allowed_can_be_used() -> None:
    budget = RetryBudget(RATIO, SLACK, WINDOW)
    for n in range(1000):
        budget.took(n / 100.0)
    spent = sum(budget.spend(10.0, 4) for _ in range(1000))
    assert RATIO * 1000 * 0.3 < spent < RATIO * 1000 * 0.5


def test_what_was_spent_comes_back_after_a_window_and_not_before() -> None:
    budget = RetryBudget(0.0, 40.0, WINDOW)
    assert [budget.spend(0.0, 4) for _ in range(5)] == [True] * 4 + [False]
    assert not budget.spend(WINDOW - 0.001, 4)
    assert not budget.spend(WINDOW + 0.001, 4)  # the slice in which it was spent reaches until then
    assert budget.spend(WINDOW + WINDOW / SLICES + 0.001, 4)


def test_arrivals_that_a_repeat_may_cause_are_spent_together_or_not_at_all() -> None:
    budget = RetryBudget(0.0, 40.0, WINDOW)
    assert budget.spend(0.0, 4, arrivals=3.0)
    assert not budget.spend(0.0, 4, arrivals=2.0)
    assert budget.spend(0.0, 4, arrivals=1.0)


def test_what_is_kept_does_not_grow_with_requests_or_time() -> None:
    budget = RetryBudget(RATIO, SLACK, WINDOW)
    rng, now = Random(3), 0.0
    for _ in range(5000):
        now += rng.expovariate(20.0)
        budget.took(now)
        budget.spend(now, 9)
        assert len(budget.slices) <= SLICES + 1
    assert budget.taken == sum(s[1] for s in budget.slices)
    assert budget.spent == sum(s[2] for s in budget.slices)


@pytest.mark.parametrize(("ratio", "slack", "window"), [(-0.1, 1.0, 1.0), (0.1, -1.0, 1.0), (0.1, 1.0, 0.0)])
def test_figures_that_make_no_sense_are_refused(ratio: float, slack: float, window: float) -> None:
    with pytest.raises(ValueError, match="wanted 0 or more, a window above 0"):
        RetryBudget(ratio, slack, window)
