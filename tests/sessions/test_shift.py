"""A short working day in virtual time: latency during a drain, uploads that finish, and the chart."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any

import pytest

from bench.gateway import chart
from honeywharf.simulation.gateway_scenario import GatewayScenario, ScenarioPlan, quantile
from honeywharf.simulation.regions import UPLOAD

FILE = Path(__file__).parents[2] / "bench" / "days" / "gateway.toml"


def table(**fields: Any) -> dict[str, Any]:
    return {**tomllib.loads(FILE.read_text("utf-8")), **fields}


def day(trouble: str, sessions: bool = True) -> GatewayScenario:
    plan = ScenarioPlan(table(hours=[0.5, 1.0, 1.0, 1.0, 0.5], troubled=[2], rate=110.0))
    return GatewayScenario(4, plan, trouble, sessions).run_scenario()


def test_inner_calls_keep_their_p99_while_a_gateway_drains_and_every_upload_finishes() -> None:
    made = day("drain")
    took = made.durations_s("inner")
    assert min(len(values) for values in took.values()) > 15
    assert quantile(took["during"], 0.99) <= 1.2 * quantile(took["before"], 0.99)
    uploads = [client for client in made.clients if client.kind == UPLOAD]
    assert len(uploads) > 10
    assert {client.outcome for client in uploads} == {"done"}
    assert made.faults == []
    assert max(made.empty_s) < 1.5


def test_the_chart_shows_where_uploads_were() -> None:
    samples = [(k * 0.1, [2 if k < 50 else 0, 0 if k < 50 else 12]) for k in range(100)]
    marks, first, second, _ = chart(["first", "second"], samples, [5.0])
    assert marks.index("v") == pytest.approx(18 + 55, abs=1)
    assert first[18:].startswith("2" * 55)
    assert first.endswith("." * 45)
    assert second[18:].startswith("." * 50)
    assert second.endswith("+" * 50)
    assert chart(["none"], [], []) == []


@pytest.mark.parametrize(
    "wrong", [{"hours": []}, {"troubled": [24]}, {"shape": []}, {"shape": [{"name": "x"}]}, {"rate": None}]
)
def test_an_experiment_that_cannot_be_played_is_refused(wrong: dict[str, Any]) -> None:
    with pytest.raises(ValueError, match="wanted"):
        ScenarioPlan(table(**wrong))
