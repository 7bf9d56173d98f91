"""Real sidecars of two regions connected by gateways, checked by the rules for all simulated days."""

from __future__ import annotations

import json
from typing import Any

import pytest

from honeywharf.mesh_config.settings import parse
from honeywharf.programs.gateway import GatewayNode, GatewayOptions
from honeywharf.programs.sidecar import Sidecar
from honeywharf.sessions.gateway_location import GatewayLocation
from honeywharf.simulation import deployment, fault_schedule
from honeywharf.simulation.deployment import SIGTERM, SMALL_SHAPE, Deployment
from honeywharf.simulation.machine import Machine, Process
from honeywharf.simulation.run import real_control_node

ZONES = {"tartu-saal": "a", "voru-saal": "b", "polva-saal": "b"}
GATEWAY_PORT = 7700
LOCATIONS = [
    GatewayLocation((f"10.8.{n}.{k}", GATEWAY_PORT), region, zone)
    for n, (region, zone) in enumerate((("a", "tartu-saal"), ("b", "voru-saal")))
    for k in (1, 2)
]
END_S = 24.0
Plan = list[tuple[float, str, int]]


def sidecar_with_gateways(host: Process, text: str) -> Sidecar:
    """A sidecar of one of the regions, whose settings name the gateways."""
    gateways = [
        {"address": location.node, "region": location.region, "zone": location.zone} for location in LOCATIONS
    ]
    zone = json.loads(text)["zone"]
    sidecar = Sidecar(
        host,
        parse(json.dumps({**json.loads(text), "zones": ZONES, "region": ZONES[zone], "gateways": gateways})),
    )
    host.on_signal(SIGTERM, sidecar.terminate)
    return sidecar


def gateway_program(location: GatewayLocation) -> Any:
    def make(host: Process) -> GatewayNode:
        one = GatewayNode(host, location, LOCATIONS, deployment.INTERNAL + 1, GatewayOptions(grace_s=5.0))
        host.on_signal(SIGTERM, one.terminate)
        return one

    return make


def day(seed: int, plan: Plan, faults: list[fault_schedule.Fault]) -> Deployment:
    """A simulated day; `plan`: time, "drain", "back", "term" or "kill", and the index of the gateway."""
    made = Deployment(seed, sidecar_with_gateways, real_control_node, SMALL_SHAPE, 5.0, END_S)
    gateways = [
        Process(
            Machine(made.network, location.address[0], location.zone),
            f"keeper-{n}",
            gateway_program(location),
        )
        for n, location in enumerate(LOCATIONS)
    ]
    for process in gateways:
        made.world.at(0.1, process.start)
    fault_schedule.FaultSchedule(made, faults)
    for at, what, which in plan:
        made.world.at(at, inject, gateways[which], what)
    made.world.strict = True
    made.world.run(END_S + 2.0)
    return made


def inject(process: Process, what: str) -> None:
    one = process.program
    if what == "kill":
        process.kill()
    elif what == "term":
        process.signal(SIGTERM)
    elif isinstance(one, GatewayNode):
        (one.order_drain if what == "drain" else one.cancel_drain)()


PLANS: dict[str, tuple[Plan, list[fault_schedule.Fault], float]] = {
    "quiet": ([], [], 0.98),
    "drains": ([(9.0, "drain", 0), (12.0, "back", 0), (13.0, "drain", 1), (16.0, "back", 1)], [], 0.98),
    "kills": ([(9.0, "kill", 0), (11.0, "kill", 1), (12.0, "kill", 0), (14.0, "term", 1)], [], 0.95),
    "killed in its drain": (
        [(9.0, "drain", 0), (9.15, "kill", 0), (12.0, "drain", 1), (12.1, "kill", 0)],
        [],
        0.95,
    ),
    "a destination dies": (
        [(9.5, "kill", 0)],
        [fault_schedule.Fault(9.0, "node_kill", "power", 3), fault_schedule.Fault(12.0, "node_kill", "", 8)],
        0.8,
    ),
    "a source ends in a move": (
        [(9.0, "drain", 0), (9.5, "back", 0), (12.0, "drain", 0), (12.0, "drain", 1), (13.0, "back", 0)],
        [fault_schedule.Fault(9.1, "roll_term", "", 2), fault_schedule.Fault(12.1, "roll_term", "", 5)],
        0.7,
    ),
    "rules differ in a move": (
        [(9.0, "drain", 0), (10.0, "back", 0), (12.0, "kill", 1)],
        [fault_schedule.Fault(at, "config_change", "", 3) for at in (8.9, 9.1, 9.3, 12.0, 12.2)],
        0.6,
    ),
    "change, evacuation": (
        [(9.0, "drain", 0), (9.5, "back", 0), (12.0, "kill", 0)],
        [fault_schedule.Fault(9.0, "config_change", "", 3), fault_schedule.Fault(11.9, "evacuate", "", 7)],
        0.6,
    ),
}


@pytest.mark.parametrize("name", PLANS)
def test_no_rule_is_broken_where_gateways_connect_regions(name: str) -> None:
    plan, faults, share = PLANS[name]
    made = day(31, plan, faults)
    assert [*made.invariant_checker.violations, *made.world.crashes] == []
    attempts = made.invariant_checker.attempts.values()
    served = sum(200 <= ask.status < 300 for ask in attempts)
    assert served > share * len(attempts) > 400, (served, len(attempts))
    opened = sum(
        side.proxy.program.source.remote_regions.session_client.opened  # type: ignore[attr-defined]
        for side in made.sidecar_nodes
        if side.proxy.program is not None
    )
    assert opened > 50


def test_a_sidecar_that_is_stopped_rejects_sessions_that_may_outlast_it() -> None:
    made = day(31, [], [])
    side = made.sidecar_nodes[0]
    sidecar = side.proxy.program
    assert isinstance(sidecar, Sidecar)
    assert sidecar.source.remote_regions is not None
    receivers = sidecar.source.remote_regions.destination.receivers
    assert not receivers.is_outlasted(sidecar.host.now() + 60.0)
    side.proxy.signal(SIGTERM)
    made.world.run(made.world.now + 0.1)
    assert receivers.is_outlasted(sidecar.host.now() + 60.0)
    assert not receivers.is_outlasted(sidecar.host.now() + 1.0)
