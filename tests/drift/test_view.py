"""The operator's view of drift, of a running mesh in the simulated network."""

from __future__ import annotations

import json
from typing import Any, cast

import pytest

from honeywharf.cli import drift, exit_status
from honeywharf.cli.exit_status import MeshCallError
from honeywharf.simulation.slips import Trial


class OperatorCall:
    """An operator's HTTP call."""

    def __init__(self, path: bytes) -> None:
        self.method, self.path, self.body = b"GET", path, b""
        self.status, self.answered = 0, b""

    def answer(self, status: int, body: bytes = b"", lines: bytes = b"") -> None:
        self.status, self.answered = status, body


def get(trial: Trial, path: bytes) -> OperatorCall:
    call, core = OperatorCall(path), cast(Any, trial.deployment.cores[0].program)
    core.operator.handle(call)
    trial.world.run(trial.world.now + 1.5)
    return call


def run_trial(kind: str) -> Trial:
    trial = Trial(5, kind, 2)
    trial.world.run(14.0 if kind != "build" else 11.0)
    return trial


def test_the_view_shows_what_each_sidecar_runs() -> None:
    trial = run_trial("kind")
    call = get(trial, b"/api/drift")
    found = json.loads(call.answered)
    assert (call.status, len(found["views"]), found["silent"]) == (200, 6, [])
    assert {view["root"] for view in found["views"]} == {found["told"]["root"]}
    assert drift.exit_status_of(found) == 0
    slips = [line for line in drift.format_overview(found) if line.startswith("slip")]
    assert len(slips) == 2
    view = next(one for one in found["views"] if one["node"] == trial.injected_drifts[0].victim)
    explanation = list(drift.format_view(view, found))
    assert "runs in every branch what a majority holds" in explanation
    assert any(line.startswith("slip ") for line in explanation)


def test_the_view_of_a_node_that_cannot_heal_names_the_branch_that_differs() -> None:
    trial = run_trial("build")
    found = json.loads(get(trial, b"/api/drift").answered)
    view = next(one for one in found["views"] if one["node"] == trial.injected_drifts[0].victim)
    assert view["state"] in ("doubted", "quarantined")
    assert drift.exit_status_of(found) == 1
    explanation = list(drift.format_view(view, found))
    assert "refuses mutating requests and uploads until it has healed" in explanation
    assert any(line.startswith("differs in routes/shop.example") for line in explanation)


def test_the_changes_between_two_versions_are_listed() -> None:
    trial = run_trial("kind")
    first, second = [order.version for order in trial.orders_sent[:2]]
    call = get(trial, b"/api/drift/between/r%d/r%d" % (first, second))
    assert call.status == 200
    assert b"/orders/" in call.answered
    assert get(trial, b"/api/drift/between/r1/r2").status == 404
    assert get(trial, b"/api/drift/between/odd/r2").status == 404


def test_without_an_answer_the_exit_status_is_unknown(monkeypatch: pytest.MonkeyPatch) -> None:
    def no_answer(*arguments: object) -> tuple[int, bytes]:
        raise MeshCallError("no clear answer")

    monkeypatch.setattr(drift, "call", no_answer)
    assert drift.main([]) == exit_status.UNKNOWN
    assert drift.main(["between", "r1", "r2"]) == exit_status.UNKNOWN
    monkeypatch.setattr(drift, "call", lambda *arguments: (503, b"no majority"))
    assert drift.main(["explain", "10.1.0.8"]) == exit_status.UNKNOWN
    assert drift.main(["between", "r1", "r2"]) == exit_status.NEGATIVE
