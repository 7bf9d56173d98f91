"""Admissions of successors: what is logged and counted of them."""

from __future__ import annotations

from honeywharf.control.admission_log import MAX_JOINERS, AdmissionLog, AdmissionOutcome
from tests.control.cluster import ControlCluster
from tests.control.virtual_network import VirtualNetwork

A, B, C, NEW = (f"10.0.0.{number}" for number in (1, 2, 3, 18))


def started(seed: int, count: int = 3) -> ControlCluster:
    """Returns control nodes with version 5 in force."""
    cluster = ControlCluster(seed, count)
    cluster.run(2.5 if count > 3 else 1.5)
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


def test_a_machine_that_shuts_down_is_not_admitted_again() -> None:
    """Guards against a member that has left: its place was given back to it by the next one that left."""
    cluster = started(50, 5)
    cluster.add(NEW)
    cluster.run(2.0)
    cluster.programs[A].operator.pending_calls += 1  # Its process waits for the call's end.
    cluster.programs[A].stop()
    while cluster.programs[A].replica.is_member():
        cluster.run(0.01)
    cluster.run(0.5)  # Its next heartbeat is due.
    assert cluster.network.machines[A].on
    cluster.programs[B].stop()
    for _ in range(200):
        cluster.run(0.01)
        members = cluster.programs[C].replica.state.members
        assert A not in [member.address.partition(":")[0] for member in members]
