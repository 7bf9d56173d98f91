"""The bench of days round restarts prints the days that break a rule."""

from __future__ import annotations

import pytest

from bench.restart_days import line_of, play_drawn, play_fault
from honeywharf.sidecar.departures import DepartureRegistry
from honeywharf.simulation.restart_faults import RESTART_KINDS


def test_a_day_that_breaks_a_rule_has_a_line_and_another_one_has_none(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    assert line_of(play_fault("late_heartbeat", "deregister lying", 1)) == ""
    monkeypatch.setattr(DepartureRegistry, "entry_changed", lambda self, node, entry: None)
    assert "DRAIN" in line_of(play_fault("late_heartbeat", "deregister lying", 1))


def test_a_drawn_day_has_as_many_faults_round_restarts_besides() -> None:
    kinds = [fault.kind for fault in play_drawn(2, 8012).faults]
    assert sum(kind in RESTART_KINDS for kind in kinds) >= 2
    assert len(kinds) > 2
