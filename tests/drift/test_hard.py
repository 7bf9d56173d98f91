"""Configuration changes during requests, nodes ahead or behind, no majority; and no false alarm."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any, cast

import pytest

from honeywharf import rpc_methods
from honeywharf.drift import periodic_scan, states
from honeywharf.simulation.deployment import ZONES, SidecarNode
from honeywharf.simulation.fault_schedule import Fault, FaultSchedule
from honeywharf.simulation.http_peer import Caller
from honeywharf.simulation.invariants import Attempt, Order
from honeywharf.simulation.slips import DriftKinds, Trial
from honeywharf.verdict import REJECTED_BY_BACKEND


def program(side: SidecarNode) -> Any:
    """Returns the sidecar that runs on a machine."""
    return cast(Any, side.proxy.program)


def assert_no_alarm(trial: Trial) -> None:
    """Asserts that no rule was broken and no alarm raised."""
    assert trial.world.crashes == []
    assert trial.invariant_checker.violations == []
    assert trial.wrong == []
    assert trial.alarms == []
    assert all(not program(side).drift_monitor.state.is_suspect for side in trial.deployment.sidecar_nodes)


def ignore_announcements(side: SidecarNode) -> None:
    """Makes a sidecar ignore announced revisions; it may still fetch a state."""
    program(side).mesh_state.revision_announced = lambda revision, holder: None


def order_change(trial: Trial) -> int:
    """Orders a valid change of the routes that must not run twice. Returns its version."""
    trial.order(random.Random(17))
    return trial.orders_sent[-1].version


@pytest.mark.parametrize("moved", [False, True])
def test_a_change_during_an_upload_neither_loses_nor_repeats_it(moved: bool) -> None:
    trial = Trial(11, "none", 0)
    trial.play(8.0)
    side = trial.deployment.sidecar_nodes[0]
    answers: list[Any] = []
    caller = Caller(side.clients, (side.ip, 8304), lambda tag, message: answers.append(message))
    ask = trial.invariant_checker.attempts["aa01"] = Attempt(
        "aa01", side.ip, side.service, "PUT", "shop.example", "/uploads/9", "upload"
    )
    ask.body = bytes(40_000)
    ask.deadline, ask.sent = trial.world.now + 2.0, trial.world.now
    caller.send_request(
        None,
        b"PUT /uploads/9 HTTP/1.1\r\nHost: shop.example\r\nX-Honeywharf-Attempt-Id: aa01\r\n"
        b"Content-Length: 40000\r\n\r\n" + ask.body[:20_000],
    )
    trial.play(8.5)
    if moved:
        trial.traffic_splits["/uploads/"] = {"tile-vault": 1}
    order_change(trial)
    trial.play(9.2)
    assert len({program(one).mesh_state.version for one in trial.deployment.sidecar_nodes}) == 1
    caller.connection.send(ask.body[20_000:])
    trial.play(12.0)
    assert [message.status for message in answers] == [200]
    assert len(ask.runs) == 1
    assert_no_alarm(trial)


def test_changes_during_retries_and_421_answers_raise_no_alarm() -> None:
    trial = Trial(12, "none", 0)
    trial.deployment.until = 18.0
    FaultSchedule(
        trial.deployment,
        [Fault(8.0 + n, kind, "", 40 + n) for n in range(6) for kind in ("answer_lost", "config_change")],
    )

    def change_instance() -> None:
        for side in trial.deployment.sidecar_nodes[:3]:
            program(side).gate.instance = "i-other"  # The backend answers 421 until its next heartbeat.

    for n in range(24):
        trial.world.at(8.0 + n / 4, change_instance)
    trial.play(22.0)
    not_run = sum(
        program(side).source.rejections.get(REJECTED_BY_BACKEND, 0) for side in trial.deployment.sidecar_nodes
    )
    assert not_run > 10
    assert_no_alarm(trial)


def test_a_rollout_that_reaches_half_of_the_nodes_for_two_seconds_is_no_drift() -> None:
    trial = Trial(13, "none", 0)
    trial.play(8.0)
    behind = trial.deployment.sidecar_nodes[::2]
    before = program(behind[0]).mesh_state.version
    for side in behind:
        configuration = program(side).mesh_state
        configuration.revision_announced, configuration._adopt = (
            (lambda revision, holder: None),
            (lambda holder, value: None),
        )
    version = order_change(trial)
    trial.play(10.0)
    assert {program(side).mesh_state.version for side in behind} == {before}
    assert {program(side).mesh_state.version for side in trial.deployment.sidecar_nodes[1::2]} == {version}
    assert all(side.proxy.program is not None for side in behind)
    assert all(program(side).drift_monitor.detections == {} for side in trial.deployment.sidecar_nodes)
    for side in behind:
        configuration = program(side).mesh_state
        del configuration.revision_announced, configuration._adopt
    trial.play(14.0)
    assert {program(side).mesh_state.version for side in trial.deployment.sidecar_nodes} == {version}
    assert_no_alarm(trial)


def test_a_zone_that_is_behind_learns_from_the_first_request_of_a_newer_revision() -> None:
    trial = Trial(14, "none", 0)
    trial.play(8.0)
    zone = [side for side in trial.deployment.sidecar_nodes if side.machine.zone == ZONES[1]]
    for side in zone:
        ignore_announcements(side)
    version = order_change(trial)
    trial.play(11.5)
    assert {program(side).mesh_state.version for side in trial.deployment.sidecar_nodes} == {version}
    assert not any(ask.status in (502, 504) for ask in trial.invariant_checker.attempts.values())
    assert_no_alarm(trial)


def test_a_thousand_routes_changed_at_once_are_compared_within_the_bound() -> None:
    trial = Trial(15, "none", 0)
    trial.deployment.idle_routes = [
        (
            "maps.example" if n % 2 else "shop.example",
            f"/many{n}/",
            "read_only" if n % 3 else "mutating",
            "tile-vault",
        )
        for n in range(1000)
    ]
    trial.play(8.0)
    order_change(trial)  # The change sets another timeout for each route.
    sidecars = [program(side) for side in trial.deployment.sidecar_nodes]
    trial.play(8.6)
    assert {sidecar.mesh_state.version for sidecar in sidecars} == {trial.orders_sent[-1].version}
    assert all(sidecar.drift_monitor.state.current == states.APPLYING for sidecar in sidecars)
    trial.play(8.6 + periodic_scan.STEPS_PER_ROUND * periodic_scan.SCAN_STEP_S + 0.5)
    assert all(sidecar.drift_monitor.state.current == states.AGREED for sidecar in sidecars)
    assert len({sidecar.drift_monitor.view()["root"] for sidecar in sidecars}) == 1
    assert_no_alarm(trial)


def test_without_a_majority_drift_is_repaired_and_a_node_that_cannot_heal_runs_nothing() -> None:
    trial = Trial(16, "none", 0)
    trial.deployment.until = 14.0
    trial.play(8.0)
    for core in trial.deployment.cores[:2]:
        core.machine.power_off()
    chance, (first, second) = random.Random(2), trial.deployment.sidecar_nodes[:2]
    DriftKinds(trial).kind(program(first), chance)
    trial.play(9.5)
    assert program(first).drift_monitor.state.current in (states.HEALED, states.AGREED)
    DriftKinds(trial).build(program(second), chance)
    before = program(second).source.delegated
    trial.play(14.0)
    drift_monitor = program(second).drift_monitor
    assert (drift_monitor.state.current, drift_monitor.quarantine_active, drift_monitor.is_quarantined) == (
        states.DOUBTED,
        False,
        False,
    )  # No majority grants a lease.
    assert program(second).source.delegated > before
    asked = [
        ask
        for ask in trial.invariant_checker.attempts.values()
        if ask.machine == second.ip and ask.sent > 10.0
    ]
    assert {ask.kind for ask in asked} == {"read_only", "mutating", "upload"}
    assert {ask.status for ask in asked if ask.sent < 12.0} <= {200, 500}
    assert trial.wrong == []
    assert trial.world.crashes == []


class HeldReads:
    """A sidecar's RPC client that holds the answers to reads of a majority back, until `release`."""

    def __init__(self, rpc_client: Any) -> None:
        self.rpc_client = rpc_client
        self.held: list[Callable[[], None]] = []

    def call(self, to: Any, method: str, args: Any, within: float, done: Any) -> None:
        """Makes a call."""

        def hold(answer: Any) -> None:
            self.held.append(lambda: done(answer))

        self.rpc_client.call(to, method, args, within, hold if method == rpc_methods.READ_STATE else done)

    def release(self) -> None:
        """Delivers the first answer that was held back."""
        self.held.pop(0)()


def test_a_renewal_that_is_read_late_does_not_undo_a_newer_state() -> None:
    """Guards against CONFIG and EVAC: a node that renews itself went back to a state that was read before."""
    trial = Trial(5, "build", 1)
    trial.world.run(11.0)
    side = next(s for s in trial.deployment.sidecar_nodes if program(s).drift_monitor.state.is_suspect)
    sidecar = program(side)
    held = sidecar.caller = HeldReads(sidecar.caller)
    while not held.held:
        trial.world.run(trial.world.now + 0.01)
    before = sidecar.mesh_state.revision
    trial.deployment.operator.order(Order("start", zone=ZONES[0]))
    trial.world.run(trial.world.now + 0.6)
    assert sidecar.mesh_state.revision > before
    held.release()
    assert sidecar.mesh_state.revision > before
    assert sidecar.mesh_state.evacuated == {ZONES[0]}
    while not held.held:
        trial.world.run(trial.world.now + 0.01)
    assert trial.world.crashes == []
