"""Hard cases: changes in the middle of things, nodes ahead or behind, nobody to ask; and no false alarm."""

from __future__ import annotations

import random
from typing import Any, cast

import pytest

from honeywharf.drift import rounds, states
from honeywharf.simulation.actors import Caller
from honeywharf.simulation.deployment import ZONES, SidecarNode
from honeywharf.simulation.fault_schedule import Fault, FaultSchedule
from honeywharf.simulation.invariants import Attempt
from honeywharf.simulation.slips import DriftKinds, Trial
from honeywharf.verdict import TURNED_AWAY


def program(side: SidecarNode) -> Any:
    """The sidecar that runs there."""
    return cast(Any, side.proxy.program)


def calm(trial: Trial) -> None:
    """Nothing was broken, and nobody was alarmed."""
    assert trial.world.crashes == []
    assert trial.invariant_checker.violations == []
    assert trial.wrong == []
    assert trial.alarms == []
    assert all(not program(side).drift_monitor.state.aside for side in trial.deployment.sidecar_nodes)


def deaf(side: SidecarNode) -> None:
    """It hears no news of words; it may still ask for one, and be told by whom it asks."""
    program(side).mesh_state.heard = lambda revision, holder: None


def ordered(trial: Trial) -> int:
    """An honest change of what must not run twice; its version."""
    trial.order(random.Random(17))
    return trial.orders_sent[-1].version


@pytest.mark.parametrize("moved", [False, True])
def test_a_change_in_the_middle_of_an_upload_neither_loses_nor_doubles_it(moved: bool) -> None:
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
    ordered(trial)
    trial.play(9.2)
    assert len({program(one).mesh_state.version for one in trial.deployment.sidecar_nodes}) == 1
    caller.connection.send(ask.body[20_000:])
    trial.play(12.0)
    assert [message.status for message in answers] == [200]
    assert len(ask.runs) == 1
    calm(trial)


def test_a_change_in_the_middle_of_retries_and_of_answers_421_alarms_nobody() -> None:
    trial = Trial(12, "none", 0)
    trial.deployment.until = 18.0
    FaultSchedule(
        trial.deployment,
        [Fault(8.0 + n, kind, "", 40 + n) for n in range(6) for kind in ("answer_lost", "config_change")],
    )

    def other() -> None:
        for side in trial.deployment.sidecar_nodes[:3]:
            program(side).gate.instance = "i-other"  # until its next beat, its backend answers 421

    for n in range(24):
        trial.world.at(8.0 + n / 4, other)
    trial.play(22.0)
    turned = sum(program(side).source.refusals.get(TURNED_AWAY, 0) for side in trial.deployment.sidecar_nodes)
    assert turned > 10
    calm(trial)


def test_half_on_one_word_and_half_on_the_next_for_two_seconds_is_no_slip() -> None:
    trial = Trial(13, "none", 0)
    trial.play(8.0)
    behind = trial.deployment.sidecar_nodes[::2]
    before = program(behind[0]).mesh_state.version
    for side in behind:
        word = program(side).mesh_state
        word.heard, word._take = (lambda revision, holder: None), (lambda holder, value: None)
    version = ordered(trial)
    trial.play(10.0)
    assert {program(side).mesh_state.version for side in behind} == {before}
    assert {program(side).mesh_state.version for side in trial.deployment.sidecar_nodes[1::2]} == {version}
    assert all(side.proxy.program is not None for side in behind)
    assert all(program(side).drift_monitor.caught == {} for side in trial.deployment.sidecar_nodes)
    for side in behind:
        word = program(side).mesh_state
        del word.heard, word._take
    trial.play(14.0)
    assert {program(side).mesh_state.version for side in trial.deployment.sidecar_nodes} == {version}
    calm(trial)


def test_a_whole_zone_that_is_behind_learns_from_the_first_request_that_is_ahead() -> None:
    trial = Trial(14, "none", 0)
    trial.play(8.0)
    zone = [side for side in trial.deployment.sidecar_nodes if side.machine.zone == ZONES[1]]
    for side in zone:
        deaf(side)
    version = ordered(trial)
    trial.play(11.5)
    assert {program(side).mesh_state.version for side in trial.deployment.sidecar_nodes} == {version}
    assert not any(ask.status in (502, 504) for ask in trial.invariant_checker.attempts.values())
    calm(trial)


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
    ordered(trial)  # another timeout in each
    whole = [program(side) for side in trial.deployment.sidecar_nodes]
    trial.play(8.6)
    assert {sidecar.mesh_state.version for sidecar in whole} == {trial.orders_sent[-1].version}
    assert all(sidecar.drift_monitor.state.at == states.APPLYING for sidecar in whole)
    trial.play(8.6 + rounds.WHOLE_STEPS * rounds.STEP_S + 0.5)
    assert all(sidecar.drift_monitor.state.at == states.AGREED for sidecar in whole)
    assert len({sidecar.drift_monitor.view()["root"] for sidecar in whole}) == 1
    calm(trial)


def test_with_the_majority_out_of_reach_slips_heal_and_what_can_not_is_not_run_here() -> None:
    trial = Trial(16, "none", 0)
    trial.deployment.until = 14.0
    trial.play(8.0)
    for core in trial.deployment.cores[:2]:
        core.machine.power_off()
    chance, (first, second) = random.Random(2), trial.deployment.sidecar_nodes[:2]
    DriftKinds(trial).kind(program(first), chance)
    trial.play(9.5)
    assert program(first).drift_monitor.state.at in (states.HEALED, states.AGREED)
    DriftKinds(trial).build(program(second), chance)
    before = program(second).source.handed
    trial.play(14.0)
    drift_monitor = program(second).drift_monitor
    assert (drift_monitor.state.at, drift_monitor.standing, drift_monitor.unfit) == (
        states.DOUBTED,
        False,
        False,
    )  # no leave
    assert program(second).source.handed > before
    asked = [
        ask
        for ask in trial.invariant_checker.attempts.values()
        if ask.machine == second.ip and ask.sent > 10.0
    ]
    assert {ask.kind for ask in asked} == {"read_only", "mutating", "upload"}
    assert {ask.status for ask in asked if ask.sent < 12.0} <= {200, 500}
    assert trial.wrong == []
    assert trial.world.crashes == []
