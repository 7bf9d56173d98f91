"""The sidecar's choice of a backend: own zone first, even, ejection and reinstatement."""

from __future__ import annotations

from collections import Counter
from random import Random

import pytest

from honeywharf.policy.levels import (
    FAILURES_TO_EJECT,
    FIRST_EJECTION_S,
    MAX_BACKENDS,
    MAX_EJECTION_S,
    MAX_OWN_ZONE_REFUSALS,
    MIN_FULL_S,
    Levels,
)

HOME = [f"h{n}" for n in range(5)]
AWAY = [f"a{n}" for n in range(5)]


def make_levels(seed: int = 1) -> Levels:
    levels = Levels("home", Random(seed).random)
    for key in HOME:
        levels.update(key, "home", usable=True, renewed=True)
    for key in AWAY:
        levels.update(key, "away", usable=True, renewed=True)
    return levels


def chi_square(counts: Counter[str], among: list[str]) -> float:
    expected = sum(counts.values()) / len(among)
    return sum((counts[key] - expected) ** 2 / expected for key in among)


def test_the_choice_is_even_within_the_own_zone() -> None:
    levels = make_levels()
    counts = Counter(key for _ in range(5000) if (key := levels.pick(0.0)) is not None)
    assert set(counts) == set(HOME)
    assert levels.depth == 0
    assert chi_square(counts, HOME) < 18.5  # The 99.9 % quantile at 4 degrees of freedom is about 18.5.


def test_an_empty_own_zone_spills_evenly_to_every_zone() -> None:
    levels = make_levels(2)
    for home in HOME:
        levels.update(home, "home", usable=False, renewed=False)
    counts = Counter(key for _ in range(5000) if (key := levels.pick(0.0)) is not None)
    assert set(counts) == set(AWAY)
    assert levels.depth == 1
    assert chi_square(counts, AWAY) < 18.5


def test_only_a_request_refused_by_its_zone_spills() -> None:
    levels = make_levels(5)
    for refusals in range(len(HOME) + 1):
        picked = {levels.pick(0.0, set(HOME[:refusals])) for _ in range(300)}
        assert picked == (set(HOME[refusals:]) if refusals < MAX_OWN_ZONE_REFUSALS else set(AWAY)), refusals
        assert levels.depth == (refusals >= MAX_OWN_ZONE_REFUSALS)
    assert {levels.pick(0.0, set(AWAY)) for _ in range(300)} == set(HOME)
    for away in AWAY:
        levels.update(away, "away", usable=False, renewed=False)
    assert {levels.pick(0.0, set(HOME[:MAX_OWN_ZONE_REFUSALS])) for _ in range(300)} == set(
        HOME[MAX_OWN_ZONE_REFUSALS:]
    )
    assert levels.depth == 0


def test_excluded_and_unusable_backends_are_never_picked() -> None:
    rng, levels = Random(7), make_levels(3)
    state = dict.fromkeys(HOME + AWAY, True)
    for _ in range(3000):
        key = rng.choice(HOME + AWAY)
        state[key] = rng.random() < 0.4
        levels.update(key, "home" if key in HOME else "away", state[key], renewed=False)
        excluded = {k for k in state if rng.random() < 0.4}
        usable = {k for k in state if state[k] and k not in excluded}
        picked = levels.pick(0.0, excluded)
        spills = len(excluded & set(HOME)) >= MAX_OWN_ZONE_REFUSALS
        expected = usable & set(AWAY if spills else HOME)
        assert picked in (expected or usable) if usable else picked is None


def test_a_removed_backend_is_not_picked_and_its_results_are_ignored() -> None:
    levels = make_levels()
    for key in HOME[1:] + AWAY:
        levels.remove(key)
    assert levels.pick(0.0) == "h0"
    levels.remove("h0")
    levels.record_success("h0")
    levels.record_failure(0.0, "h0", unreachable=True)
    levels.record_refusal(0.0, "h0", 1.0)
    levels.record_abandoned("h0")
    assert levels.pick(0.0) is None
    assert not levels.targets


@pytest.mark.parametrize(("unreachable", "times"), [(True, 1), (False, FAILURES_TO_EJECT)])
def test_failures_in_a_row_eject(unreachable: bool, times: int) -> None:
    levels = make_levels()
    for n in range(times):
        assert any(levels.pick(0.0) == "h0" for _ in range(100)), f"ejected after {n} failures"
        levels.record_failure(0.0, "h0", unreachable)
    assert all(levels.pick(0.0) != "h0" for _ in range(200))


def test_a_success_between_failures_resets_their_count() -> None:
    levels = make_levels()
    for _ in range(20):
        levels.record_failure(0.0, "h0")
        levels.record_success("h0")
    assert any(levels.pick(0.0) == "h0" for _ in range(100))


def single_backend() -> Levels:
    levels = Levels("home", Random(5).random)
    levels.update("x", "home", usable=True, renewed=True)
    return levels


def test_ejections_double_in_length_and_allow_one_trial_at_a_time() -> None:
    levels, now, durations = single_backend(), 0.0, []
    levels.record_failure(now, "x", unreachable=True)
    for _ in range(8):
        started = now
        while levels.pick(now) is None:
            now += 0.001
        assert levels.pick(now + 100.0) is None, "a second trial"
        durations.append(now - started)
        levels.record_failure(now, "x")
    for n, duration in enumerate(durations):
        mean = min(MAX_EJECTION_S, FIRST_EJECTION_S * 2**n)
        assert 0.75 * mean <= duration <= 1.25 * mean + 0.002


def test_one_success_reinstates() -> None:
    levels = single_backend()
    levels.record_failure(0.0, "x", unreachable=True)
    assert levels.pick(10.0) == "x"
    levels.record_success("x")
    assert [levels.pick(10.0) for _ in range(3)] == ["x"] * 3


@pytest.mark.parametrize("end", ["refused", "released"])
def test_an_inconclusive_trial_allows_another(end: str) -> None:
    levels = single_backend()
    levels.record_failure(0.0, "x", unreachable=True)
    assert levels.pick(10.0) == "x"
    if end == "refused":
        levels.record_refusal(10.0, "x", 0.0)
    else:
        levels.record_abandoned("x")
    assert levels.pick(11.0) == "x"


def test_a_restarted_backend_has_a_clean_record() -> None:
    levels = single_backend()
    levels.record_failure(0.0, "x", unreachable=True)
    levels.update("x", "home", usable=True, renewed=False)
    assert levels.pick(0.0) is None
    levels.update("x", "home", usable=True, renewed=True)
    assert levels.pick(0.0) == "x"


def test_a_full_backend_is_avoided_for_a_moment() -> None:
    levels = make_levels()
    for key in HOME:
        levels.record_refusal(0.0, key, 0.0)
    assert levels.pick(MIN_FULL_S / 2) in AWAY
    assert levels.pick(MIN_FULL_S / 2, AWAY) is None
    assert levels.pick(MIN_FULL_S * 1.01) in HOME
    levels.record_refusal(1.0, "h0", 0.5)
    assert all(levels.pick(1.2) != "h0" for _ in range(100))


def test_the_number_of_backends_is_bounded() -> None:
    levels = Levels("home", Random(1).random)
    for n in range(MAX_BACKENDS):
        levels.update(str(n), "home", usable=True, renewed=True)
    levels.update("0", "home", usable=False, renewed=True)
    with pytest.raises(
        ValueError, match=f"backends: expected at most {MAX_BACKENDS} of one service, got more"
    ):
        levels.update("new", "home", usable=True, renewed=True)


def test_the_shortest_announced_wait_is_picked_until_it_is_over() -> None:
    levels = make_levels()
    assert levels.pick_shortest_wait(0.0) is None, "no backend has announced that it is full"
    for key, wait in zip((*HOME, *AWAY), (0.2, 0.25, 0.2, 0.22, 0.2, 0.02, 0.2, 0.2, 0.2, 0.2), strict=True):
        levels.record_refusal(0.0, key, wait)
    assert {levels.pick_shortest_wait(0.01) for _ in range(50)} == {AWAY[0]}
    assert levels.pick_shortest_wait(0.01, {AWAY[0]}) not in (None, AWAY[0])
    assert levels.pick(0.01) is None
    assert levels.pick(0.03) == AWAY[0], "its wait is over"
    assert levels.pick_shortest_wait(1.0) is None
