"""Mutants of the mesh are detected: the quick ones here, all of them in bench/mesh_mutants.py."""

from __future__ import annotations

import pytest

from tests.simulation.mutants import MUTANTS, seeds_until_detected

QUICK = (
    "change drops evacuations",
    "nobody heeds draining",
    "cold bound off",
    "any service",
    "echo not checked",
    "answers as they come",
    "reset means not run",
    "503 for what may have run",
    "budget off",
    "SIGTERM exits at once",
    "word never renewed",
    "invalid is taken",
    "a close is a half-close",
    "cancellation is lost",
)


@pytest.mark.parametrize("name", QUICK)
def test_a_wrong_mesh_is_found_out(name: str) -> None:
    mutant = next(one for one in MUTANTS if one.name == name)
    count, rule = seeds_until_detected(mutant, 1, 4)
    assert count, f"{name} was not found out in 4 days"
    assert rule in mutant.rules


def test_the_list_is_long_enough_and_each_name_stands_once() -> None:
    assert len({mutant.name for mutant in MUTANTS}) == len(MUTANTS) >= 30
    assert set(QUICK) < {mutant.name for mutant in MUTANTS}
