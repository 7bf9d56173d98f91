"""A short run of `bench/mesh_explore.py`, and faulty registers that it detects quickly."""

from __future__ import annotations

import pytest

from bench.mesh_explore import CASES, FAULTY_REGISTERS, MAX_FAULTY_STATES, ORDER_SEEDS, explore_case
from honeywharf.control.quorum import Quorums

QUICK = (
    "accepted before the sync",
    "majority of the living",
    "version by arrival",
    "one version, two contents",
    "an overtaken version, two contents",
    "promise forgotten",
    "what others accepted is not taken over",
    "reader without write back",
    "a wiped disk keeps its name",
)


@pytest.mark.parametrize("name", [case.name for case in CASES])
def test_no_order_breaks_a_rule(name: str) -> None:
    case = next(case for case in CASES if case.name == name)
    count, is_complete, broken = explore_case(case, 700, 1)
    assert broken == ""
    assert is_complete or count == 700


@pytest.mark.parametrize("name", [f"3: {name}" for name in QUICK])
def test_a_faulty_register_is_detected(name: str) -> None:
    case = next(case for case in FAULTY_REGISTERS if case.name == name)
    covered = Quorums.covered
    assert any(explore_case(case, MAX_FAULTY_STATES, seed)[2] for seed in ORDER_SEEDS[:15])
    assert Quorums.covered is covered, "the patch is reverted"
