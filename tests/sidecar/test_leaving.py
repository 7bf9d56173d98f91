"""Shutdown of a sidecar: its backend is used until shortly before the end, and no request is lost."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any, cast

import pytest

from honeywharf.programs.sidecar import Sidecar
from honeywharf.sidecar.gate import DRAINING, READY
from honeywharf.sidecar.lifetime import Lifetime
from honeywharf.sidecar.shutdown import GATE_CLOSES_BEFORE_S, QUIET_AFTER_S, Shutdown
from honeywharf.simulation.clients import Clients
from honeywharf.simulation.deployment import SIGTERM, Deployment
from honeywharf.simulation.fault_schedule import Fault, FaultSchedule
from honeywharf.simulation.invariants import EXCUSED_LAST_SHARE, EXCUSED_SENT_WITHIN_S
from honeywharf.simulation.run import real_control_node, real_sidecar
from tests.simulation.mutants import end_without_a_word, wrong


def test_the_gate_takes_requests_until_shortly_before_the_end_of_a_shutdown() -> None:
    deployment = Deployment(31, real_sidecar, real_control_node, until=16.0)
    world, side = deployment.world, deployment.sidecar_nodes[0]
    FaultSchedule(deployment, [])
    world.run(9.0)
    sidecar = side.proxy.program
    assert isinstance(sidecar, Sidecar)
    told, other = sidecar.inbound, deployment.sidecar_nodes[1].proxy.program
    assert isinstance(other, Sidecar)
    at_term = told.served
    side.proxy.signal(SIGTERM)
    world.run(9.0 + QUIET_AFTER_S - GATE_CLOSES_BEFORE_S - 0.05)
    assert not told.shutting_down
    assert other.source.backends[side.ip].state == READY
    open_for = told.served
    assert open_for - at_term > 10
    world.run(9.0 + QUIET_AFTER_S - 0.1)
    assert other.source.backends[side.ip].state == DRAINING
    closed = told.served
    world.run(9.0 + 6.0)
    assert side.proxy.program is not sidecar
    assert told.served - closed <= 1
    assert not told.pending_requests
    assert deployment.invariant_checker.violations == []


def let_requests_last(deployment: Deployment, seconds: float) -> None:
    """Lets clients wait that long, and the routes' time-outs allow it."""
    for flow in deployment.flows:
        flow.deadline = seconds
    schedule = FaultSchedule(deployment, [])
    deployment.world.at(3.0, schedule._send_change, round(seconds * 1000))


@pytest.mark.parametrize("seed", [6, 7, 8])
def test_no_request_that_was_sent_late_is_broken_off_at_the_end(seed: int) -> None:
    """Guards against work that a stopping sidecar takes and can't finish (review/6)."""
    deployment = Deployment(seed, real_sidecar, real_control_node, until=16.0, per_s=2.0)
    world, side = deployment.world, deployment.sidecar_nodes[0]
    let_requests_last(deployment, 5.0)
    world.run(10.0)
    clients = side.clients.program
    assert isinstance(clients, Clients)
    clients.ignores_readiness = True  # as if too few other proxies of its zone were ready
    for each in deployment.sidecar_nodes:
        backend = each.live_backend()
        assert backend is not None
        backend.mean_work_s = 1.0
    deployment.invariant_checker.notify("terminated", side.ip)
    side.proxy.signal(SIGTERM)
    world.run(10.0 + 7.0)
    assert deployment.invariant_checker.violations == []


def loaded_until_the_end(seed: int) -> Deployment:
    """Restarts enough sidecars at a time that the platform sends clients to those that shut down."""
    deployment = Deployment(seed, real_sidecar, real_control_node, until=17.0, per_s=6.0)
    FaultSchedule(deployment, [Fault(9.0, "roll_term", "busy", seed)])
    world = deployment.world
    world.strict = True
    world.run(19.0)
    assert not world.crashes
    return deployment


@pytest.mark.parametrize("seed", [1, 2])
def test_requests_until_the_end_of_a_sidecar_get_whole_answers(seed: int) -> None:
    deployment = loaded_until_the_end(seed)
    assert deployment.invariant_checker.violations == []  # the LOST rule is among those checked
    rolled = {ip for ip, until in deployment.invariant_checker.last_fault_at.items() if until > 9.0}
    late = [
        attempt
        for attempt in deployment.invariant_checker.attempts.values()
        if attempt.machine in rolled and 13.0 < attempt.sent < 15.0
    ]
    assert len(late) > 50


def test_a_process_that_ends_without_final_answers_is_detected() -> None:
    with wrong(end_without_a_word):
        found = loaded_until_the_end(1).invariant_checker.violations
    assert [rule for rule, _, _ in found] == ["LOST"]


def test_every_request_under_way_at_the_end_gets_a_final_answer() -> None:
    deployment = Deployment(5, real_sidecar, real_control_node, until=16.0, per_s=2.0)
    world, side = deployment.world, deployment.sidecar_nodes[0]
    let_requests_last(deployment, 9.0)
    world.run(9.0)
    sidecar = side.proxy.program
    assert isinstance(sidecar, Sidecar)
    clients = side.clients.program
    assert isinstance(clients, Clients)
    clients.ignores_readiness = True
    side.proxy.signal(SIGTERM)
    world.run(9.0 + 1.5)
    for each in deployment.sidecar_nodes:
        backend = each.live_backend()
        assert backend is not None
        backend.mean_work_s = 60.0  # requests from here on run until after the end
    world.run(9.0 + 5.59)
    under_way = [
        attempt
        for attempt in deployment.invariant_checker.attempts.values()
        if attempt.machine == side.ip and not attempt.status
    ]
    assert under_way
    assert sidecar.source.active_requests
    world.run(9.0 + 5.62)
    assert not sidecar.source.active_requests
    assert not sidecar.inbound.pending_requests
    world.run(9.0 + 6.0)
    assert side.proxy.program is not sidecar
    assert all(attempt.status >= 500 for attempt in under_way), [attempt.status for attempt in under_way]


@pytest.mark.parametrize("grace_s", [0.5, 1.0, 2.0, 3.0, 6.0, 20.0])
def test_a_request_is_broken_off_only_in_the_last_sixth_of_any_grace_period(grace_s: float) -> None:
    shutdown = Shutdown(
        cast("Any", None),
        grace_s,
        cast("Any", SimpleNamespace(lifetime=Lifetime())),
        cast("Any", None),
        cast("Any", None),
        gate_closed=lambda: None,
        ended=lambda: None,
    )
    assert grace_s * (1.0 - EXCUSED_LAST_SHARE) < shutdown.grace_s < grace_s
    assert shutdown.quiet_s <= EXCUSED_SENT_WITHIN_S
