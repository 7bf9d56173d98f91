"""Runs of an operator's orders; a control plane that compares only versions is detected."""

from __future__ import annotations

from typing import Any

import pytest

from bench.operator_days import FAULT_VARIANTS, draw_faults
from honeywharf.control import mesh_state
from honeywharf.control.mesh_state import Change, Confirmation, MeshState, Outcome
from honeywharf.simulation.fault_schedule import Fault
from honeywharf.simulation.rare_faults import EVERY_KIND
from honeywharf.simulation.run import run

RACE = [Fault(11.0, "config_race", "", 1)]


def test_each_day_races_and_repeats_and_has_losses_beside() -> None:
    assert {(kind, how) for kind, how in FAULT_VARIANTS if how not in EVERY_KIND[kind]} == set()
    for seed in range(50):
        kinds = [fault.kind for fault in draw_faults(seed)]
        assert {"config_race", "late_again"} <= set(kinds)
        assert 6 <= len(kinds) <= 11


def test_one_of_two_contents_under_a_version_is_acknowledged() -> None:
    assert run(1, RACE, after=4.0).broken == []


def test_a_control_plane_that_looks_at_versions_only_is_found_out(monkeypatch: pytest.MonkeyPatch) -> None:
    right = mesh_state.replace_configuration

    def by_version(version: int, digest: str) -> Change:
        def change(state: MeshState) -> tuple[MeshState | None, Any]:
            if version > state.version:
                return right(version, digest)(state)
            return None, Confirmation(Outcome.CONFIRMED, version, digest, digest)

        return change

    monkeypatch.setattr(mesh_state, "replace_configuration", by_version)
    report = run(1, RACE, after=4.0)
    assert [rule for rule, _, _ in report.broken] == ["CONFIG"]
    assert "two contents were acknowledged" in report.broken[0][2]
