"""Days round the end and the start of a sidecar; a data plane that forgets or outlasts is detected."""

from __future__ import annotations

import pytest

from honeywharf.admission.warmup import Warmup
from honeywharf.sidecar.departures import DepartureRegistry
from honeywharf.sidecar.gate import Gate
from honeywharf.sidecar.lifetime import Lifetime
from honeywharf.simulation.deployment import BOUNDS
from honeywharf.simulation.fault_schedule import Fault
from honeywharf.simulation.invariants import Attempt, InvariantChecker, Order
from honeywharf.simulation.restart_faults import RESTART_KINDS
from honeywharf.simulation.run import run
from honeywharf.simulation.world import World

AFTER_S = 12.0  # Of traffic after the period of faults: a late heartbeat has its effect in it.
SEEDS = (1, 2)
COLD_SEEDS = (3, 4)


def broken_rules(fault: Fault) -> set[str]:
    """Returns the rules that days with this fault break, each day with a random generator of its own."""
    reports = [run(seed, [Fault(fault.at, fault.kind, fault.how, seed)], after=AFTER_S) for seed in SEEDS]
    return {rule for report in reports for rule, _, _ in report.broken}


@pytest.mark.parametrize("how", RESTART_KINDS["late_heartbeat"])
def test_a_heartbeat_of_before_a_departure_brings_no_backend_back_after_a_restart(how: str) -> None:
    """Guards against DRAIN: a restarted sidecar took a late beat of a backend that had left (review/8)."""
    for seed in SEEDS:
        assert run(seed, [Fault(10.0, "late_heartbeat", how, seed)], after=AFTER_S).broken == []


def test_a_sidecar_that_is_told_nothing_after_a_restart_is_found_out(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(DepartureRegistry, "entry_changed", lambda self, node, entry: None)
    reports = [
        run(seed, [Fault(10.0, "late_heartbeat", "deregister lying", seed)], after=AFTER_S) for seed in SEEDS
    ]
    assert {rule for report in reports for rule, _, _ in report.broken} == {"DRAIN"}


def test_a_health_answer_alone_does_not_bring_back_what_departed(monkeypatch: pytest.MonkeyPatch) -> None:
    """Where nobody remembers, a heartbeat that a health answer contradicts counts from the next one on."""
    monkeypatch.setattr(DepartureRegistry, "entry_changed", lambda self, node, entry: None)
    for seed in SEEDS:
        assert run(seed, [Fault(10.0, "late_heartbeat", "deregister", seed)], after=AFTER_S).broken == []
    monkeypatch.setattr(
        Gate, "is_denied", property(lambda self: False, lambda self, value: None), raising=False
    )
    reports = [
        run(seed, [Fault(10.0, "late_heartbeat", "deregister", seed)], after=AFTER_S) for seed in SEEDS
    ]
    assert {rule for report in reports for rule, _, _ in report.broken} == {"DRAIN"}


@pytest.mark.parametrize("how", RESTART_KINDS["late_cold_time"])
def test_a_heartbeat_of_before_a_backend_became_cold_lifts_no_slow_start(how: str) -> None:
    """Guards against FAILBACK: late heartbeats made cold backends warm after an evacuation or a restart."""
    for seed in COLD_SEEDS:
        assert run(seed, [Fault(10.0, "late_cold_time", how, seed)], after=AFTER_S).broken == []


@pytest.mark.parametrize("how", RESTART_KINDS["late_cold_time"])
def test_a_sidecar_that_believes_each_cold_time_is_found_out(
    how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(Warmup, "heartbeat", Warmup._set)
    assert broken_rules(Fault(10.0, "late_cold_time", how, 0)) == {"FAILBACK"}


def test_slow_work_is_not_broken_off_by_planned_stops_under_load() -> None:
    """Guards against LOST: a stopping sidecar took orders that it could not finish (review/6)."""
    for seed in SEEDS:
        assert run(seed, [Fault(8.0, "slow_stop", "", seed)], after=AFTER_S).broken == []


def test_a_sidecar_that_takes_everything_until_its_end_is_found_out(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Lifetime, "may_begin", lambda self, now, deadline: True)
    assert broken_rules(Fault(8.0, "slow_stop", "", 0)) == {"LOST"}


@pytest.mark.parametrize(
    ("sent_after_s", "lasted_s", "is_lost"),
    [
        (2.9, 2.2, False),  # sent within 3 s, broken off in the last sixth of the grace period of 6 s
        (2.9, 2.0, True),
        (3.1, 2.2, True),
        (3.1, 2.496, False),  # the route's time-out of 2.5 s
        (3.1, 2.49, True),
        (-1.0, 2.496, False),
    ],
)
def test_an_answer_of_the_mesh_during_a_stop_is_excused_only_as_the_pages_say(
    sent_after_s: float, lasted_s: float, is_lost: bool
) -> None:
    world = World(1)
    checker = InvariantChecker(world, {**BOUNDS})
    order = Order("config", 1)
    order.sent = order.acked = 0.0
    order.timeout_s = 2.5
    checker.orders.append(order)
    attempt = Attempt("a1", "10.1.0.20", "s", "POST", "h", "/p", "mutating")
    attempt.sent, attempt.deadline = 20.0 + sent_after_s, 20.0 + sent_after_s + 5.0
    attempt.runs.append((attempt.sent, None))
    world.at(20.0, checker.notify, "terminated", attempt.machine)
    world.at(attempt.sent + lasted_s, checker.notify, "answered", attempt, 502, {}, b"")
    world.run(30.0)
    assert [rule for rule, _, _ in checker.violations] == ["LOST"] * is_lost
