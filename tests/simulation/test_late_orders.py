"""Days with an order that a control node reads late; a control plane that applies it is detected."""

from __future__ import annotations

import pytest

from honeywharf.control.evacuation_calls import EvacuationCall
from honeywharf.simulation.fault_schedule import Fault
from honeywharf.simulation.run import run

ANY_REVISION = 1 << 60
MUTANT_SEEDS = (1, 2, 3)  # Not each day has a request for the evacuated zone at the wrong moment.
DAY_S = 20.0  # Of traffic after the first order of a fault, which takes 18 s.


@pytest.mark.parametrize("how", ["", "delayed"])
def test_an_order_that_is_read_late_undoes_no_newer_one(how: str) -> None:
    """Guards against EVAC: an order that was given up withdrew an evacuation acknowledged since."""
    for seed in range(2):
        assert run(seed, [Fault(8.0, "late_order", how, seed)], after=DAY_S).broken == []


@pytest.mark.parametrize("how", ["", "delayed"])
def test_a_control_plane_that_applies_late_orders_is_found_out(
    how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    def apply(self: EvacuationCall, fence: int) -> None:
        self._confirmed(ANY_REVISION)

    monkeypatch.setattr(EvacuationCall, "_confirm", apply)
    reports = [run(seed, [Fault(8.0, "late_order", how, seed)], after=DAY_S) for seed in MUTANT_SEEDS]
    assert {rule for report in reports for rule, _, _ in report.broken} == {"EVAC"}
