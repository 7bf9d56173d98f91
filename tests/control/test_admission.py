"""Admissions of successors: what is logged and counted of them."""

from __future__ import annotations

from honeywharf.control.admission_log import MAX_JOINERS, AdmissionLog, AdmissionOutcome
from tests.control.cluster import ControlCluster
from tests.control.virtual_network import VirtualNetwork

A, B, C, NEW = (f"10.0.0.{number}" for number in (1, 2, 3, 18))


def started(seed: int) -> ControlCluster:
    """Returns three control nodes with version 5 in force."""
    cluster = ControlCluster(seed)
    cluster.run(1.5)
    order = cluster.replace(A, 5, "five")
    cluster.run(1.0)
    assert order.status == 200
    return cluster


def lose(cluster: ControlCluster, ip: str) -> None:
    """Loses a machine with its disk for good."""
    cluster.network.machines[ip].off(power=True)
    cluster.network.machines[ip].disk.files.clear()


def test_an_admission_is_logged_where_it_is_requested_and_where_it_is_decided() -> None:
    cluster = started(1)
    lose(cluster, A)
    cluster.add(NEW)
    cluster.run(4.0)
    own = [line for line in cluster.network.machines[NEW].lines if line.startswith("admission: ")]
    assert "first request" in own[0]
    assert "this machine has a vote" in own[-1]
    views = [cluster.programs[ip].leases.view()["admissions"] for ip in (B, C)]
    assert sum(view.get(AdmissionOutcome.ADMITTED, 0) for view in views) == 1
    lines = cluster.network.machines[B].lines + cluster.network.machines[C].lines
    assert f"admission: {NEW}:7620: admitted" in lines


def test_a_repeated_outcome_is_counted_but_logged_once_and_the_joiners_are_bounded() -> None:
    machine = VirtualNetwork(1).machine(A)
    log = AdmissionLog(machine)
    for _ in range(3):
        log.decided(NEW, AdmissionOutcome.NO_LEASE)
    assert machine.lines == [f"admission: {NEW}: no-lease"]
    assert log.outcomes == {"no-lease": 3}
    for number in range(2 * MAX_JOINERS):
        log.decided(str(number), AdmissionOutcome.NO_PLACE)
    assert len(log._last_outcomes) == MAX_JOINERS
