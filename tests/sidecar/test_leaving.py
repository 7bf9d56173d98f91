"""A sidecar that is told to end: its backend is of use until shortly before, and nothing is cut off."""

from __future__ import annotations

import pytest

from honeywharf.programs.sidecar import Sidecar
from honeywharf.sidecar.gate import DRAINING, READY
from honeywharf.sidecar.shutdown import GATE_S, UNTIL_QUIET_S
from honeywharf.simulation.actors import Clients
from honeywharf.simulation.deployment import SIGTERM, Deployment
from honeywharf.simulation.fault_schedule import Fault, FaultSchedule
from honeywharf.simulation.run import real_control_node, real_sidecar
from tests.simulation.mutants import end_without_a_word, wrong


def test_the_gate_of_one_that_leaves_takes_requests_until_shortly_before_its_end() -> None:
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
    world.run(9.0 + UNTIL_QUIET_S - GATE_S - 0.05)
    assert not told.leaving
    assert other.source.list[side.ip].state == READY
    open_for = told.served
    assert open_for - at_term > 10
    world.run(9.0 + UNTIL_QUIET_S - 0.1)
    assert other.source.list[side.ip].state == DRAINING
    closed = told.served
    world.run(9.0 + 6.0)
    assert side.proxy.program is not sidecar
    assert told.served - closed <= 1
    assert not told.jobs
    assert deployment.invariant_checker.violations == []


def pressed(seed: int) -> Deployment:
    """A roll that takes so many at a time that the platform sends clients to those that leave."""
    deployment = Deployment(seed, real_sidecar, real_control_node, until=17.0, per_s=6.0)
    FaultSchedule(deployment, [Fault(9.0, "roll_term", "busy", seed)])
    world = deployment.world
    world.strict = True
    world.run(19.0)
    assert not world.crashes
    return deployment


@pytest.mark.parametrize("seed", [1, 2])
def test_clients_that_press_on_until_the_end_get_whole_answers(seed: int) -> None:
    deployment = pressed(seed)
    assert deployment.invariant_checker.violations == []  # LOST among them
    rolled = {ip for ip, until in deployment.invariant_checker.last_fault_at.items() if until > 9.0}
    late = [
        attempt
        for attempt in deployment.invariant_checker.attempts.values()
        if attempt.machine in rolled and 13.0 < attempt.sent < 15.0
    ]
    assert len(late) > 50


def test_a_process_that_ends_without_a_word_is_found_out() -> None:
    with wrong(end_without_a_word):
        found = pressed(1).invariant_checker.violations
    assert [rule for rule, _, _ in found] == ["LOST"]


def test_whatever_is_under_way_at_the_end_gets_a_final_answer() -> None:
    deployment = Deployment(5, real_sidecar, real_control_node, until=16.0, per_s=2.0)
    world, side = deployment.world, deployment.sidecar_nodes[0]
    FaultSchedule(deployment, [])
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
        backend.mean_work_s = 60.0  # what runs from here on is at work until after the end
    world.run(9.0 + 5.59)
    under_way = [
        attempt
        for attempt in deployment.invariant_checker.attempts.values()
        if attempt.machine == side.ip and not attempt.status
    ]
    assert under_way
    assert sidecar.source.courses
    world.run(9.0 + 5.62)
    assert not sidecar.source.courses
    assert not sidecar.inbound.jobs
    world.run(9.0 + 6.0)
    assert side.proxy.program is not sidecar
    assert all(attempt.status >= 500 for attempt in under_way), [attempt.status for attempt in under_way]
