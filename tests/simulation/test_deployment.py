"""The shape of a deployment: the machines of each kind in each zone, and that all of them serve."""

from __future__ import annotations

from collections import Counter

from honeywharf.simulation.deployment import SERVICES, ZONES, Deployment, Shape
from honeywharf.simulation.fault_schedule import Fault, FaultSchedule
from honeywharf.simulation.run import real_control_node, real_sidecar
from tests.simulation.toymesh import toys


def test_the_machines_of_a_shape_stand_where_they_are_told() -> None:
    shape = Shape.from_text("400,90,7/5")
    deployment = Deployment(1, real_sidecar, real_control_node, shape)
    assert str(shape) == "400,90,7/5"
    assert Counter(sidecar_node.machine.zone for sidecar_node in deployment.sidecar_nodes) == dict(
        zip(ZONES, (400, 90, 7), strict=True)
    )
    assert Counter(core.machine.zone for core in deployment.cores) == dict(zip(ZONES, (2, 2, 1), strict=True))
    assert len({machine.ip for machine in deployment.network.machines.values()}) == 497 + 5 + 1
    assert all(0 <= int(part) < 256 for ip in deployment.network.machines for part in ip.split("."))


def test_an_uneven_field_with_five_core_machines_serves() -> None:
    deployment = Deployment(4, real_sidecar, real_control_node, Shape((3, 1, 2), 5), 3.0, 6.0)
    FaultSchedule(deployment, [])
    deployment.world.run(8.0)
    attempts = deployment.invariant_checker.attempts.values()
    assert (deployment.invariant_checker.violations, deployment.world.crashes) == ([], [])
    assert sum(attempt.status == 200 for attempt in attempts) > 0.98 * len(attempts) > 150


def test_the_last_backend_of_a_service_stays() -> None:
    for seed in range(3):
        deployment = Deployment(seed, *toys(""), until=6.0)
        kinds = ("scale_in", "replace_with_reuse")
        FaultSchedule(deployment, [Fault(6.0 + n, kinds[n % 2], "", 7 * seed + n) for n in range(14)])
        deployment.world.run(30.0)
        left = [sidecar_node for sidecar_node in deployment.sidecar_nodes if sidecar_node.proxy.is_restarted]
        assert {sidecar_node.service for sidecar_node in left} == set(SERVICES), seed
        assert len(left) < len(deployment.sidecar_nodes)
