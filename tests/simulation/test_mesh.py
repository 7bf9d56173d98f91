"""The mesh's own programs under faults: no rule is broken, and most requests are served."""

from __future__ import annotations

import pytest

from honeywharf.simulation.fault_schedule import Fault
from honeywharf.simulation.run import run

#: The faults, and the share of requests that must be served nevertheless.
DAYS = {
    "quiet": ([], 0.99),
    "core": ([Fault(10.5, "core_cut", "one_way", 1), Fault(11.0, "config_storm", "", 2)], 0.9),
    "machines": ([Fault(11.0, "node_kill", "power", 3), Fault(12.0, "node_freeze", "", 4)], 0.8),
    "answers": ([Fault(11.0, "answer_lost", "heavy", 5), Fault(18.0, "garble", "extra", 6)], 0.4),
    "zones": ([Fault(11.0, "evacuate", "", 7), Fault(12.0, "cold_return", "", 8)], 0.5),
    "power": ([Fault(12.0, "closing", "power_off_all", 9)], 0.6),
    "clients that leave": ([Fault(11.0, "give_up", "slow", 11)], 0.4),
    "wiped": ([Fault(12.0, "closing", "wipe_after_ack", 10)], 0.6),
}


@pytest.mark.parametrize("name", DAYS)
def test_a_day_of_trouble_breaks_no_rule(name: str) -> None:
    faults, share = DAYS[name]
    report = run(21, faults, after=8.0)
    assert report.broken == [], report
    assert report.served > share * report.asked > 500, report
