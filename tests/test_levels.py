"""The choice at the source: own zone first, even, absence and the way back."""

from __future__ import annotations

from collections import Counter
from random import Random

import pytest

from honeywharf.policy.levels import DEAD_AFTER, FULL_HOME, FULL_S, LONGEST_S, MOST, PAUSE_S, Levels

HOME = [f"h{n}" for n in range(5)]
AWAY = [f"a{n}" for n in range(5)]


def made(seed: int = 1) -> Levels:
    levels = Levels("home", Random(seed).random)
    for key in HOME:
        levels.listed(key, "home", usable=True, renewed=True)
    for key in AWAY:
        levels.listed(key, "away", usable=True, renewed=True)
    return levels


def chi_square(counts: Counter[str], among: list[str]) -> float:
    expected = sum(counts.values()) / len(among)
    return sum((counts[key] - expected) ** 2 / expected for key in among)


def test_the_choice_is_even_among_the_own_zone() -> None:
    levels = made()
    counts = Counter(key for _ in range(5000) if (key := levels.pick(0.0)) is not None)
    assert set(counts) == set(HOME)
    assert levels.depth == 0
    assert chi_square(counts, HOME) < 18.5  # 4 degrees of freedom, one in a thousand


def test_an_empty_level_opens_the_next_and_it_is_even_too() -> None:
    levels = made(2)
    for home in HOME:
        levels.listed(home, "home", usable=False, renewed=False)
    counts = Counter(key for _ in range(5000) if (key := levels.pick(0.0)) is not None)
    assert set(counts) == set(AWAY)
    assert levels.depth == 1
    assert chi_square(counts, AWAY) < 18.5


def test_a_request_that_found_its_zone_full_spills_and_others_do_not() -> None:
    levels = made(5)
    for asked in range(len(HOME) + 1):
        picked = {levels.pick(0.0, set(HOME[:asked])) for _ in range(300)}
        assert picked == (set(HOME[asked:]) if asked < FULL_HOME else set(AWAY)), asked
        assert levels.depth == (asked >= FULL_HOME)
    assert {levels.pick(0.0, set(AWAY)) for _ in range(300)} == set(HOME)
    for away in AWAY:
        levels.listed(away, "away", usable=False, renewed=False)
    assert {levels.pick(0.0, set(HOME[:FULL_HOME])) for _ in range(300)} == set(HOME[FULL_HOME:])
    assert levels.depth == 0


def test_those_passed_over_and_those_not_usable_are_never_picked() -> None:
    rng, levels = Random(7), made(3)
    state = dict.fromkeys(HOME + AWAY, True)
    for _ in range(3000):
        key = rng.choice(HOME + AWAY)
        state[key] = rng.random() < 0.4
        levels.listed(key, "home" if key in HOME else "away", state[key], renewed=False)
        passed = {k for k in state if rng.random() < 0.4}
        able = {k for k in state if state[k] and k not in passed}
        picked = levels.pick(0.0, passed)
        spills = len(passed & set(HOME)) >= FULL_HOME
        first = able & set(AWAY if spills else HOME)
        assert picked in (first or able) if able else picked is None


def test_one_that_is_gone_is_not_picked_and_may_be_told_of() -> None:
    levels = made()
    for key in HOME[1:] + AWAY:
        levels.gone(key)
    assert levels.pick(0.0) == "h0"
    levels.gone("h0")
    levels.served("h0")
    levels.failed(0.0, "h0", certain=True)
    levels.refused(0.0, "h0", 1.0)
    levels.released("h0")
    assert levels.pick(0.0) is None
    assert not levels.targets


@pytest.mark.parametrize(("certain", "times"), [(True, 1), (False, DEAD_AFTER)])
def test_failures_in_a_row_make_it_absent(certain: bool, times: int) -> None:
    levels = made()
    for n in range(times):
        assert any(levels.pick(0.0) == "h0" for _ in range(100)), f"absent after {n} failures"
        levels.failed(0.0, "h0", certain)
    assert all(levels.pick(0.0) != "h0" for _ in range(200))


def test_a_success_between_failures_counts() -> None:
    levels = made()
    for _ in range(20):
        levels.failed(0.0, "h0")
        levels.served("h0")
    assert any(levels.pick(0.0) == "h0" for _ in range(100))


def alone() -> Levels:
    levels = Levels("home", Random(5).random)
    levels.listed("x", "home", usable=True, renewed=True)
    return levels


def test_pauses_double_and_one_trial_is_out_at_a_time() -> None:
    levels, now, pauses = alone(), 0.0, []
    levels.failed(now, "x", certain=True)
    for _ in range(8):
        begun = now
        while levels.pick(now) is None:
            now += 0.001
        assert levels.pick(now + 100.0) is None, "a second trial"
        pauses.append(now - begun)
        levels.failed(now, "x")
    for n, pause in enumerate(pauses):
        whole = min(LONGEST_S, PAUSE_S * 2**n)
        assert 0.75 * whole <= pause <= 1.25 * whole + 0.002


def test_one_success_brings_it_back() -> None:
    levels = alone()
    levels.failed(0.0, "x", certain=True)
    assert levels.pick(10.0) == "x"
    levels.served("x")
    assert [levels.pick(10.0) for _ in range(3)] == ["x"] * 3


@pytest.mark.parametrize("end", ["refused", "released"])
def test_a_trial_that_tells_nothing_makes_room_for_another(end: str) -> None:
    levels = alone()
    levels.failed(0.0, "x", certain=True)
    assert levels.pick(10.0) == "x"
    if end == "refused":
        levels.refused(10.0, "x", 0.0)
    else:
        levels.released("x")
    assert levels.pick(11.0) == "x"


def test_another_life_has_a_clean_record() -> None:
    levels = alone()
    levels.failed(0.0, "x", certain=True)
    levels.listed("x", "home", usable=True, renewed=False)
    assert levels.pick(0.0) is None
    levels.listed("x", "home", usable=True, renewed=True)
    assert levels.pick(0.0) == "x"


def test_one_that_was_full_is_asked_last_for_a_moment() -> None:
    levels = made()
    for key in HOME:
        levels.refused(0.0, key, 0.0)
    assert levels.pick(FULL_S / 2) in AWAY
    assert levels.pick(FULL_S / 2, AWAY) is None
    assert levels.pick(FULL_S * 1.01) in HOME
    levels.refused(1.0, "h0", 0.5)
    assert all(levels.pick(1.2) != "h0" for _ in range(100))


def test_the_table_is_bounded() -> None:
    levels = Levels("home", Random(1).random)
    for n in range(MOST):
        levels.listed(str(n), "home", usable=True, renewed=True)
    levels.listed("0", "home", usable=False, renewed=True)
    with pytest.raises(ValueError, match=f"found more than {MOST} backends"):
        levels.listed("new", "home", usable=True, renewed=True)


def test_of_those_that_lack_room_the_shortest_wait_is_found_and_for_so_long_only() -> None:
    levels = made()
    assert levels.shortest(0.0) is None, "nobody has said that there is no room"
    for key, wait in zip((*HOME, *AWAY), (0.2, 0.25, 0.2, 0.22, 0.2, 0.02, 0.2, 0.2, 0.2, 0.2), strict=True):
        levels.refused(0.0, key, wait)
    assert {levels.shortest(0.01) for _ in range(50)} == {AWAY[0]}
    assert levels.shortest(0.01, {AWAY[0]}) not in (None, AWAY[0])
    assert levels.pick(0.01) is None
    assert levels.pick(0.03) == AWAY[0], "its wait is over"
    assert levels.shortest(1.0) is None
