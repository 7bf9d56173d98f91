"""Slips of each kind put into running sluices; and days without one, in which nobody may be alarmed."""

from __future__ import annotations

import pytest

from honeywharf.flume.days import Day, Fault
from honeywharf.flume.slips import KINDS, Trial

#: Kinds that need nobody's notice where no request is under way: the node asks by itself first.
QUIET = ("freeze",)


@pytest.mark.parametrize("kind", [kind for kind in KINDS if kind != "disk"])
def test_a_slip_is_caught_and_nothing_that_must_not_run_twice_runs_by_it(kind: str) -> None:
    trial = Trial(5, kind, 3).play()
    assert trial.strict["runs"] > 100
    assert trial.wrong == []
    assert trial.book.found == []
    assert trial.world.crashes == []
    if kind not in QUIET:
        assert all(slip.after >= 0 for slip in trial.slips)
    assert trial.alarms == []


@pytest.mark.parametrize("way", ["scanning", "judging", "reading"])
def test_each_way_catches_a_wrong_kind_alone(way: str) -> None:
    trial = Trial(6, "kind", 4, (way,)).play()
    assert sum(slip.after >= 0 for slip in trial.slips) >= 1
    assert {slip.by for slip in trial.slips if slip.by} == {
        "scanning": {"scan"}, "judging": {"judge"}, "reading": {"reading"}}[way]


HONEST = {
    "storm": [Fault(8.0, "config_storm", "", 2), Fault(9.0, "config_storm", "", 3)],
    "frozen": [Fault(8.0, "node_freeze", "", 4), Fault(9.5, "config_change", "", 5)],
    "cut": [Fault(8.0, "node_cut", "", 6), Fault(9.0, "config_change", "", 7), Fault(9.0, "evacuate", "", 8)],
    "killed": [Fault(8.0, "herd_kill", "", 9), Fault(8.2, "config_race", "", 10)],
    "rolled": [Fault(8.0, "roll_term", "", 11), Fault(9.0, "config_change", "", 12)],
}


@pytest.mark.parametrize("name", HONEST)
def test_honest_changes_and_troubles_alarm_nobody(name: str) -> None:
    trial = Trial(7, "none", 0)
    trial.field.until = 20.0
    Day(trial.field, HONEST[name])
    trial.world.strict = True
    trial.world.run(24.0)
    assert trial.book.found == []
    assert trial.world.crashes == []
    assert trial.alarms == []
