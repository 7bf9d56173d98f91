"""A mesh that keeps the rules passes, one that breaks a rule is detected, and its faults are reduced."""

from __future__ import annotations

import pytest

from honeywharf.simulation.fault_schedule import KINDS, Fault, draw_faults
from honeywharf.simulation.run import Report, run, shrink
from tests.simulation.toymesh import toys


def day(fault: str, faults: list[Fault], seed: int = 5, after: float = 4.0) -> Report:
    return run(seed, faults, *toys(fault), after=after)


QUIET: list[Fault] = []
#: The defect of the toy mesh, the fault, and the rule that must be reported as broken.
WRONG = [
    ("MIXED", "", "MIXED"),
    ("UNASKED", "", "UNASKED"),
    ("TWICE", "", "TWICE"),
    ("REFUSED", "", "REFUSED"),
    ("ROUTE", "", "ROUTE"),
    ("BUDGET", "", "BUDGET"),
    ("READ BACK", "config_change", "CONFIG"),
    ("CONFIG", "bad_config", "CONFIG"),
    ("TWO CONTENTS", "config_race", "CONFIG"),
    ("REFUSED AGAIN", "late_again", "CONFIG"),
    ("CONFIG BACK", "config_storm", "CONFIG"),
    ("DRAIN", "release", "DRAIN"),
    ("LOST", "roll_term", "LOST"),
    ("FAILBACK", "cold_return", "FAILBACK"),
    ("EVAC", "evacuate", "EVAC"),
    ("GONE", "give_up", "GONE"),
    ("RECOVER", "herd_kill", "RECOVER"),
]


@pytest.mark.parametrize(("wrong", "kind", "rule"), WRONG)
def test_a_mesh_that_breaks_a_rule_is_found_out(wrong: str, kind: str, rule: str) -> None:
    how = "slow" if kind == "give_up" else ""
    faults = [Fault(11.0, kind, how, 1)] if kind else QUIET
    report = day(wrong, faults, after=26.0 if wrong == "RECOVER" else 4.0)
    assert report.broken, wrong
    assert report.broken[0][0] == rule, report


KEPT = ["", "release", "roll_term", "evacuate", "config_storm", "cold_return", "closing", "give_up"]


@pytest.mark.parametrize("kind", KEPT)
def test_a_mesh_that_keeps_the_rules_is_found_to(kind: str) -> None:
    how = {"closing": "kill_all", "give_up": "slow"}.get(kind, "")
    report = day("", [Fault(11.0, kind, how, 1)] if kind else QUIET)
    assert report.broken == [], report
    assert report.served > 0.5 * report.asked > 1000


def test_the_same_seed_is_the_same_day() -> None:
    days = [day("", draw_faults(3, 10.0, 20.0), seed) for seed in (3, 3, 4)]
    assert days[0].digest == days[1].digest != days[2].digest


def test_every_kind_of_trouble_can_be_drawn_and_is_carried_out() -> None:
    drawn = {(fault.kind, fault.how) for seed in range(400) for fault in draw_faults(seed, 10.0, 20.0)}
    assert {(kind, how) for kind, hows in KINDS.items() for how in hows} < drawn
    for n in range(0, len(KINDS), 5):
        some = list(KINDS)[n : n + 5]
        report = day("", [Fault(9.0 + m, kind, KINDS[kind][-1], m) for m, kind in enumerate(some)], n)
        assert all(rule != "FAULT" for rule, _, _ in report.broken), report


def test_a_broken_day_is_made_small() -> None:
    kinds = ("config_change", "release", "config_race")
    faults = [Fault(10.0 + n, kind, "", 1) for n, kind in enumerate(kinds)]
    least = shrink(run(5, faults, *toys("DRAIN")), *toys("DRAIN"))
    assert [fault.kind for fault in least.faults] == ["release"]
    assert least.broken[0][0] == "DRAIN"
