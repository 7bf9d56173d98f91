"""Slips of each kind put into running sidecars; and days without one, in which nobody may be alarmed."""

from __future__ import annotations

from typing import Any, cast

import pytest

from honeywharf.simulation.actors import Caller
from honeywharf.simulation.fault_schedule import Fault, FaultSchedule
from honeywharf.simulation.invariants import Attempt
from honeywharf.simulation.slips import KINDS, Trial

#: Kinds that need nobody's notice where no request is under way: the node asks by itself first.
QUIET = ("freeze",)


@pytest.mark.parametrize("kind", [kind for kind in KINDS if kind != "disk"])
def test_a_slip_is_caught_and_nothing_that_must_not_run_twice_runs_by_it(kind: str) -> None:
    trial = Trial(5, kind, 3).play()
    assert trial.non_repeatable["runs"] > 100
    assert trial.wrong == []
    assert trial.invariant_checker.violations == []
    assert trial.world.crashes == []
    if kind not in QUIET:
        assert all(slip.requests_until_noticed >= 0 for slip in trial.injected_drifts)
    assert trial.alarms == []


@pytest.mark.parametrize("kind", ["build", "liar"])
def test_clients_of_a_node_that_can_not_heal_feel_nothing(kind: str) -> None:
    trial = Trial(1000, kind, 3).play()
    assert set(trial.statuses()) <= {200, 500}  # 500 is the stand-in backends' own
    assert trial.wrong == []
    assert trial.alarms == []
    assert sum(cast(Any, side.proxy.program).source.handed for side in trial.deployment.sidecar_nodes) > 10


def test_who_stands_aside_accuses_nobody_nor_does_one_whose_rule_a_third_has_run() -> None:
    trial = Trial(3, "none", 0)
    trial.world.run(8.0)
    sidecar = cast(Any, trial.deployment.sidecar_nodes[0].proxy.program)
    gates, rule = [side.ip for side in trial.deployment.sidecar_nodes[1:4]], b"12345678"
    trial.deployment.sidecar_nodes[1].proxy.program.membership.publish(q=1)  # type: ignore[attr-defined]
    trial.world.run(9.0)
    for gate in gates[:2]:
        sidecar.drift_monitor._accuse(gate, rule)
    assert list(sidecar.drift_monitor.accused) == [gates[1]]
    sidecar.drift_monitor.agreed(rule, gates[2])
    sidecar.drift_monitor._accuse(gates[2], rule)
    assert sidecar.drift_monitor.caught == {}
    sidecar.drift_monitor._accuse(gates[1], rule)
    assert sidecar.drift_monitor.caught == {"peers": 1}


@pytest.mark.parametrize("way", ["scanning", "judging", "reading"])
def test_each_way_catches_a_wrong_kind_alone(way: str) -> None:
    trial = Trial(6, "kind", 4, (way,)).play()
    assert sum(slip.requests_until_noticed >= 0 for slip in trial.injected_drifts) >= 1
    assert {slip.noticed_by for slip in trial.injected_drifts if slip.noticed_by} == {
        "scanning": {"scan"},
        "judging": {"judge"},
        "reading": {"reading"},
    }[way]


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
    trial.deployment.until = 20.0
    FaultSchedule(trial.deployment, HONEST[name])
    trial.world.strict = True
    trial.world.run(24.0)
    assert trial.invariant_checker.violations == []
    assert trial.world.crashes == []
    assert trial.alarms == []


def test_a_flood_of_mismatches_is_little_work_and_few_lines() -> None:
    trial = Trial(8, "liar", 1)
    trial.world.run(16.5)
    sidecar = cast(Any, trial.victim.proxy.program)
    lines = [line for line in trial.victim.proxy.lines if " drift monitor: " in line]
    assert sidecar.drift_monitor.refused > 20
    assert sidecar.drift_monitor.state.changes == len(lines) <= 20
    assert len(sidecar.drift_monitor.slips) <= 16
    assert len(sidecar.drift_monitor.courses) <= 256
    assert len(sidecar.drift_monitor.jobs) <= 256


def test_what_a_client_says_of_rules_and_revisions_is_not_looked_at() -> None:
    trial = Trial(9, "none", 0)
    trial.world.run(5.5)
    side = trial.deployment.sidecar_nodes[0]
    caller = Caller(side.clients, (side.ip, 8304), lambda tag, message: statuses.append(message))
    statuses: list[Any] = []
    trial.invariant_checker.attempts["f0f0"] = ask = Attempt(
        "f0f0", side.ip, side.service, "POST", "shop.example", "/orders/9", "mutating"
    )
    ask.deadline = trial.world.now + 2.0
    caller.send_request(
        None,
        b"POST /orders/9 HTTP/1.1\r\nHost: shop.example\r\nX-Honeywharf-Attempt-Id: f0f0\r\n"
        b"X-Honeywharf-Revision: 9999\r\nX-Honeywharf-Rule: 00000000\r\nContent-Length: 0\r\n\r\n",
    )
    trial.world.run(8.0)
    assert [message.status for message in statuses] == [200]
    assert trial.alarms == []
    assert all(cast(Any, one.proxy.program).mesh_state.newest < 100 for one in trial.deployment.sidecar_nodes)
