"""`honeywharf simulation`: seeded runs on several processes, and the report of a broken one."""

from __future__ import annotations

import pytest

from honeywharf.cli import simulation as command
from honeywharf.simulation.fault_schedule import Fault
from honeywharf.simulation.run import run
from tests.simulation.toymesh import toys


def test_the_same_days_whatever_the_processes(capsys: pytest.CaptureFixture[str]) -> None:
    assert command.main(["run", "3"]) == 0
    day = capsys.readouterr().out.splitlines()[0]
    assert day.startswith("day 3: ")
    assert command.main(["replay", "3"]) == 0
    told = capsys.readouterr().out.splitlines()
    assert told[0] == day, "as it was before, in another process"
    assert any("operator has an ack of config r" in line for line in told)
    assert command.main(["hunt", "3", "2", "--jobs", "2", "--shape", "2,2,2/3"]) == 0
    assert capsys.readouterr().out.startswith("0 of 2 days broke a rule; ")


WRONG = [
    ["hunt", "3", "0"],
    ["hunt", "3", "2", "--jobs", "-1"],
    ["hunt"],
    ["run", "x"],
    *(["run", "3", "--shape", shape] for shape in ("2,2/3", "2,2,0/3", "2,2,2/2", "2,2,9999/3", "x")),
]


@pytest.mark.parametrize("words", WRONG)
def test_a_wrong_call_is_told(words: list[str]) -> None:
    assert command.main(words) != 0


def test_the_history_of_a_broken_day_ends_with_the_request_that_shows_it() -> None:
    report = run(5, [Fault(11.0, "release", "", 1)], *toys("DRAIN"), after=4.0)
    rule, _, what = report.broken[0]
    assert rule == "DRAIN"
    history = report.history()
    assert any("FAULT 11.0 release" in line for line in history)
    assert any("operator sends config r" in line for line in history)
    name, backend = what.split()[0], what.split()[3]
    assert any(f"{name} came to {backend}" in line for line in history[-4:])
    assert f"step {report.steps}" in str(report)
