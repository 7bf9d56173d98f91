"""Faults that sites don't list: each is injected and has its effect, and the mesh keeps the rules."""

from __future__ import annotations

import pytest

from honeywharf.simulation.deployment import Deployment
from honeywharf.simulation.disk import Disk
from honeywharf.simulation.fault_schedule import Fault
from honeywharf.simulation.rare_faults import (
    EVERY_KIND,
    RARE_KINDS,
    RARE_SERIALIZED_KINDS,
    RareFaultSchedule,
    draw_any_faults,
)
from honeywharf.simulation.run import run
from tests.simulation.toymesh import toys
from tests.simulation.toys import TwoMachines

VARIANTS = [(kind, how) for kind, hows in RARE_KINDS.items() for how in hows]


def run_with_fault(kind: str, how: str, until: float) -> RareFaultSchedule:
    """Runs the toy mesh with one fault at 8 s until a time."""
    day = RareFaultSchedule(Deployment(3, *toys("")), [Fault(8.0, kind, how, 1)])
    day.world.run(until)
    return day


def test_every_kind_can_be_drawn() -> None:
    drawn = {(fault.kind, fault.how) for seed in range(800) for fault in draw_any_faults(seed, 10.0, 20.0)}
    assert {(kind, how) for kind, hows in EVERY_KIND.items() for how in hows} <= drawn
    assert set(RARE_SERIALIZED_KINDS) <= {*EVERY_KIND, "closing"}


@pytest.mark.parametrize("first", range(0, len(VARIANTS), 6))
def test_every_variant_is_carried_out(first: int) -> None:
    faults = [Fault(9.0 + n, *variant, n) for n, variant in enumerate(VARIANTS[first : first + 6])]
    report = run(first, faults, *toys(""), after=10.0)
    assert all(rule != "FAULT" for rule, _, _ in report.broken), report


def test_zones_of_a_bridge_cut_are_deaf_to_each_other_and_the_third_to_none() -> None:
    for kind, pairs in (("bridge_cut", 2), ("zone_cut", 4)):
        day = run_with_fault(kind, "", 8.1)
        machines = [sidecar_node.machine for sidecar_node in day.deployment.sidecar_nodes]
        network = day.deployment.network
        deaf = {(a.zone, b.zone) for a in machines for b in machines if network.blocked(a, b)}
        assert len(deaf) == pairs, kind
        day.world.run(14.0)
        assert not any(network.blocked(a, b) for a in machines for b in machines), kind


def test_clocks_step_and_come_back() -> None:
    day = run_with_fault("clock_step", "hour", 7.9)
    before = {process.name: process.machine.clock_skew_s for process in day.deployment.mesh_processes()}
    day.world.run(8.1)
    moved = [
        process
        for process in day.deployment.mesh_processes()
        if process.machine.clock_skew_s > before[process.name]
    ]
    assert {process.machine.clock_skew_s - before[process.name] for process in moved} == {3600.0}
    assert len(moved) == len(before) // 3
    day.world.run(14.0)
    assert all(abs(process.machine.clock_skew_s - before[process.name]) < 1e-6 for process in moved)


def test_an_operator_whose_answers_are_lost_asks_again_until_one_comes() -> None:
    day = run_with_fault("ack_lost", "", 20.0)
    sent = [order for order in day.invariant_checker.orders if order.sent >= 8.0]
    assert len(sent) == 8
    assert all(order.acked < 20.0 for order in sent)
    assert max(order.acked - order.sent for order in sent) > 0.1


def test_a_closing_fault_and_a_replacement_do_not_lose_two_machines_at_once() -> None:
    faults = [Fault(8.0, "closing", "wipe_after_ack", 1), Fault(8.5, "core_replace", "", 2)]
    day = RareFaultSchedule(Deployment(3, *toys("")), faults)
    day.world.run(16.9)
    assert day.injected == {"closing": 1}
    day.world.run(17.1)
    assert day.injected == {"closing": 1, "core_replace": 1}


def test_what_finds_no_turn_before_the_end_is_left_out() -> None:
    faults = [Fault(8.0 + n, "core_replace", "", n) for n in range(9)]
    day = RareFaultSchedule(Deployment(3, *toys(""), until=30.0), faults)
    day.world.run(60.0)
    assert day.injected == {"core_replace": 2}


def test_a_torn_connection_is_told_at_both_ends() -> None:
    two = TwoMachines()
    log = two.open_connection()
    two.world.run(0.1)
    two.call_in(two.here, lambda: log.connection.send(b"lost"))
    log.connection.reset_both_ends()  # type: ignore[attr-defined]
    two.world.run(0.2)
    assert log.names()[-1] == "closed reset"
    assert two.accepted[0].names()[-1] == "closed reset"
    assert log.data == b""


def test_a_stalled_disk_begins_nothing_and_a_slow_one_takes_longer() -> None:
    disk = Disk()
    well = disk.run("write", "a", 1.0, b"1") - 1.0
    disk.stalled_until = 5.0
    assert disk.run("write", "a", 2.0, b"1") == pytest.approx(5.0 + well)
    disk.slowdown = 30.0
    assert disk.run("write", "a", 6.0, b"1") == pytest.approx(6.0 + 30 * well)


def test_a_full_disk_refuses_writes_and_keeps_what_it_has() -> None:
    two = TwoMachines()
    two.call_in(two.there, lambda: two.there.write("a", b"kept"))
    two.world.run(0.5)
    disk = two.there.machine.disk
    assert disk is not None
    disk.full = True
    with pytest.raises(OSError, match="No space"):
        two.there.write("a", b"new")
    assert two.there.read("a") == b"kept"
    two.there.remove("a")
    assert two.there.names() == []


#: The faults of the mesh's own programs, and the share of requests that must be served nevertheless.
DAYS = {
    "cut off": ([Fault(10.2, "core_cut", "long one_way", 1), Fault(11.0, "ack_lost", "", 2)], 0.9),
    "disks": ([Fault(10.5, "disk_stall", "", 3), Fault(10.6, "config_storm", "long", 4)], 0.9),
    "resets": ([Fault(11.0, "core_resets", "", 5), Fault(12.0, "reset_conns", "", 6)], 0.8),
    "replaced": ([Fault(10.5, "core_replace", "then killed", 7), Fault(12.0, "big_config", "", 8)], 0.9),
    "zones": ([Fault(11.0, "zone_cut", "", 9), Fault(12.0, "clock_step", "hour", 10)], 0.5),
    "backends": ([Fault(11.0, "srv_grey", "hang", 11), Fault(12.0, "srv_flap", "", 12)], 0.5),
}


@pytest.mark.parametrize("name", DAYS)
def test_a_day_of_rare_trouble_breaks_no_rule(name: str) -> None:
    faults, share = DAYS[name]
    report = run(21, faults, after=16.0)
    assert report.broken == [], report
    assert report.served > share * report.asked > 500, report
