"""Drift of each kind injected into running sidecars, and runs without drift that must raise no alarm."""

from __future__ import annotations

from typing import Any, cast

import pytest

from honeywharf.simulation.fault_schedule import Fault, FaultSchedule
from honeywharf.simulation.http_peer import Caller
from honeywharf.simulation.invariants import Attempt
from honeywharf.simulation.slips import KINDS, Trial

#: Kinds that may go undetected while no request is in flight: the node first confirms its state by itself.
SELF_DETECTED = ("freeze",)


@pytest.mark.parametrize("kind", [kind for kind in KINDS if kind != "disk"])
def test_drift_is_detected_and_no_request_that_must_not_run_twice_runs_by_it(kind: str) -> None:
    trial = Trial(5, kind, 3).play()
    assert trial.non_repeatable["runs"] > 100
    assert trial.wrong == []
    assert trial.invariant_checker.violations == []
    assert trial.world.crashes == []
    if kind not in SELF_DETECTED:
        assert all(slip.requests_until_noticed >= 0 for slip in trial.injected_drifts)
    assert trial.alarms == []


@pytest.mark.parametrize("kind", ["build", "liar"])
def test_clients_of_a_node_that_cannot_heal_get_normal_responses(kind: str) -> None:
    trial = Trial(1000, kind, 3).play()
    assert set(trial.statuses()) <= {200, 500}  # The stand-in backends answer 500 themselves.
    assert trial.wrong == []
    assert trial.alarms == []
    assert sum(cast(Any, side.proxy.program).source.delegated for side in trial.deployment.sidecar_nodes) > 10


def test_disagreements_of_quarantined_peers_and_on_confirmed_rules_do_not_count() -> None:
    trial = Trial(3, "none", 0)
    trial.world.run(8.0)
    sidecar = cast(Any, trial.deployment.sidecar_nodes[0].proxy.program)
    peers, rule = [side.ip for side in trial.deployment.sidecar_nodes[1:4]], b"12345678"
    trial.deployment.sidecar_nodes[1].proxy.program.membership.publish(q=1)  # type: ignore[attr-defined]
    trial.world.run(9.0)
    for peer in peers[:2]:
        sidecar.drift_monitor._record_disagreement(peer, rule)
    assert list(sidecar.drift_monitor.disagreeing_peers) == [peers[1]]
    sidecar.drift_monitor.confirm_rule(rule, peers[2])
    sidecar.drift_monitor._record_disagreement(peers[2], rule)
    assert sidecar.drift_monitor.detections == {}
    sidecar.drift_monitor._record_disagreement(peers[1], rule)
    assert sidecar.drift_monitor.detections == {"peers": 1}


@pytest.mark.parametrize("way", ["scanning", "judging", "reading"])
def test_each_way_of_detection_finds_a_wrong_kind_alone(way: str) -> None:
    trial = Trial(6, "kind", 4, (way,)).play()
    assert sum(slip.requests_until_noticed >= 0 for slip in trial.injected_drifts) >= 1
    assert {slip.noticed_by for slip in trial.injected_drifts if slip.noticed_by} == {
        "scanning": {"scan"},
        "judging": {"judge"},
        "reading": {"reading"},
    }[way]


FAULTS_WITHOUT_DRIFT = {
    "storm": [Fault(8.0, "config_storm", "", 2), Fault(9.0, "config_storm", "", 3)],
    "frozen": [Fault(8.0, "node_freeze", "", 4), Fault(9.5, "config_change", "", 5)],
    "cut": [Fault(8.0, "node_cut", "", 6), Fault(9.0, "config_change", "", 7), Fault(9.0, "evacuate", "", 8)],
    "killed": [Fault(8.0, "herd_kill", "", 9), Fault(8.2, "config_race", "", 10)],
    "rolled": [Fault(8.0, "roll_term", "", 11), Fault(9.0, "config_change", "", 12)],
}


@pytest.mark.parametrize("name", FAULTS_WITHOUT_DRIFT)
def test_valid_changes_and_faults_raise_no_alarm(name: str) -> None:
    trial = Trial(7, "none", 0)
    trial.deployment.until = 20.0
    FaultSchedule(trial.deployment, FAULTS_WITHOUT_DRIFT[name])
    trial.world.strict = True
    trial.world.run(24.0)
    assert trial.invariant_checker.violations == []
    assert trial.world.crashes == []
    assert trial.alarms == []


def test_a_flood_of_mismatches_is_bounded_in_work_and_log_lines() -> None:
    trial = Trial(8, "liar", 1)
    trial.world.run(16.5)
    sidecar = cast(Any, trial.victim.proxy.program)
    lines = [line for line in trial.victim.proxy.lines if " drift monitor: " in line]
    assert sidecar.drift_monitor.refused_requests > 20
    assert sidecar.drift_monitor.state.transitions == len(lines) <= 20
    assert len(sidecar.drift_monitor.drift_reports) <= 16
    assert len(sidecar.drift_monitor.waiting_outbound_requests) <= 256
    assert len(sidecar.drift_monitor.waiting_inbound_requests) <= 256


def test_revisions_and_rules_in_client_headers_are_ignored() -> None:
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
