"""Storm control in virtual time: the same days with and without it, and days without a storm."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import pytest
from click.testing import CliRunner

from honeywharf.cli import main
from honeywharf.lab import measures, runs
from honeywharf.lab.experiments import Cell, day_of, load
from honeywharf.lab.simulator import play
from honeywharf.policy.interface import Reason
from honeywharf.storms.budget import RATIO

EXPERIMENTS = Path(__file__).parents[2] / "bench" / "experiments"
HABITS = ("obedient", "30 % deaf", "all deaf", "mixed", "several at once")


def cells_of(experiment: str, seed: int, **labels: str) -> Iterator[Cell]:
    for cell in load(EXPERIMENTS / f"{experiment}.toml")[1]:
        if cell.seed == seed and labels.items() <= cell.labels.items():
            yield cell


def figures(seed: int, **labels: str) -> tuple[dict[str, float], dict[str, float]]:
    """Returns the figures of the day without storm control and with it."""
    off, on = cells_of("storms", seed, **labels)
    assert (off.labels["storms"], on.labels["storms"]) == ("false", "true")
    return runs.play(off)[1]["figures"], runs.play(on)[1]["figures"]


@pytest.mark.parametrize("clients", HABITS)
def test_repeats_stay_within_the_budget_after_a_loss_of_40_percent(clients: str) -> None:
    off, on = figures(1, dead="0.4", clients=clients)
    assert on["repeats"] <= RATIO + 0.02
    assert off["repeats"] > 1.4 * on["repeats"]  # clients do repeat on this day
    assert on["swing"] <= 0.1
    assert on["after"] >= off["after"] - 0.08
    for one in (off, on):
        assert one["fell"] == one["double_charges"] == one["late_drains"] == 0.0


@pytest.mark.parametrize("clients", HABITS)
def test_goodput_recovers_within_5_seconds_after_a_loss_of_15_percent(clients: str) -> None:
    _, on = figures(2, dead="0.15", clients=clients)
    assert on["recovery_s"] <= 5.0
    assert on["swing"] <= 0.1
    assert on["repeats"] <= RATIO
    assert on.get("wrong_advice", 0.0) < 0.05


def test_a_storm_that_begins_before_nodes_return_is_reported_and_ends() -> None:
    off, on = cells_of("storms", 1, dead="0.4", clients="mixed")
    day = day_of(on)
    result, (dies, back) = play(day), measures.fault_span(day)
    begun = [at for at, _, words in result.states if words.startswith("storm: storm")]
    ended = [at for at, _, words in result.states if words.startswith("storm: calm (quiet)")]
    assert dies < min(begun) < back
    assert len(ended) >= 1
    assert result.reasons[Reason.STORM.value] > 100
    assert play(day_of(off)).reasons.get(Reason.STORM.value, 0) == 0


@pytest.mark.parametrize("flood", ["0.0", "0.75"])
@pytest.mark.parametrize("seed", range(1, 4))
def test_no_storm_is_reported_on_calm_and_busy_days(seed: int, flood: str) -> None:
    (cell,) = cells_of("quiet", seed, flood=flood)
    assert runs.play(cell)[1]["figures"]["alarms"] == 0.0


def test_the_demo_shows_the_same_outage_twice() -> None:
    told = CliRunner().invoke(main, ["demo", "--storm"])
    assert told.exit_code == 0, told.output
    assert told.output.count("in time |") == told.output.count("repeats |") == 2
