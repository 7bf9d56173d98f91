"""Admissions of successors: in time whatever else happens, logged and counted."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from itertools import pairwise

import pytest

from honeywharf import rpc_methods
from honeywharf.control import mesh_state
from honeywharf.control.admission_log import MAX_JOINERS, AdmissionLog
from honeywharf.control.joining import MAX_PEERS_ASKED
from honeywharf.control.member_removal import WRITE_TIMEOUT_S, AlwaysGranted
from honeywharf.control.membership import HEARTBEAT_INTERVAL_S, HEARTBEAT_JITTER
from honeywharf.control.mesh_state import Admission, Change, MeshState
from honeywharf.control.messages import Accept, Accepted, DecidedMembership, DiskMismatch, ProposalNumber
from honeywharf.control.register import QuorumResult
from honeywharf.control.register_queues import ChangeDone, ChangeQueue
from honeywharf.control.replacement import TAKEOVER_DELAY_S
from tests.control.cluster import ControlCluster
from tests.control.virtual_network import VirtualNetwork

A, B, C, NEW, NEWER = (f"10.0.0.{number}" for number in (1, 2, 3, 18, 19))


def started(seed: int, count: int = 3) -> ControlCluster:
    """Returns control nodes with version 5 in force."""
    cluster = ControlCluster(seed, count)
    cluster.run(2.5 if count > 3 else 1.5)
    order = cluster.replace(A, 5, "five")
    cluster.run(1.0)
    assert order.status == 200
    return cluster


def test_an_admission_is_logged_where_it_is_requested_and_where_it_is_decided() -> None:
    cluster = started(1)
    cluster.lose(A)
    cluster.add(NEW)
    cluster.run(4.0)
    own = [line for line in cluster.network.machines[NEW].lines if line.startswith("admission: ")]
    assert "first request" in own[0]
    assert "this machine has a vote" in own[-1]
    views = [cluster.programs[ip].leases.view()["admissions"] for ip in (B, C)]
    assert sum(view.get(Admission.MEMBER.value, 0) for view in views) == 1
    lines = cluster.network.machines[B].lines + cluster.network.machines[C].lines
    assert f"admission: {NEW}:7620: admitted" in lines


def test_a_repeated_outcome_is_counted_but_logged_once_and_the_joiners_are_bounded() -> None:
    machine = VirtualNetwork(1).machine(A)
    log = AdmissionLog(machine)
    for _ in range(3):
        log.decided(NEW, Admission.NO_LEASE)
    assert machine.lines == [f"admission: {NEW}: no-lease"]
    assert log.outcomes == {"no-lease": 3}
    for number in range(2 * MAX_JOINERS):
        log.decided(str(number), Admission.STANDBY)
    assert len(log._last_outcomes) == MAX_JOINERS


CATCH_UP_S = 4.0  # The least `catch-up` of the sites.
GONE = [f"10.0.0.{number}:7620" for number in range(100, 120)]


def time_to_vote(cluster: ControlCluster, ip: str, until: float = CATCH_UP_S) -> float:
    """Returns the seconds from now until a machine is a member; `until` if it is not by then."""
    began_at = cluster.network.time
    while cluster.network.time < began_at + until and not cluster.programs[ip].replica.is_member():
        cluster.run(0.01)
    return cluster.network.time - began_at


@pytest.mark.parametrize("seed", range(6))
def test_addresses_of_machines_that_are_gone_do_not_delay_an_admission(seed: int) -> None:
    """Guards against CONFIG: a joiner asked one random address, which was mostly that of a lost machine."""
    cluster = started(10 + seed)
    cluster.lose(A)
    cluster.add(NEW)
    joining = cluster.programs[NEW].replica.membership.joining
    known = joining.other_addresses
    joining.other_addresses = lambda: GONE + known()
    assert time_to_vote(cluster, NEW) < CATCH_UP_S


@pytest.mark.parametrize("seed", range(6))
def test_a_member_whose_replacements_all_fail_is_relieved_by_the_next_one(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against CONFIG: an admission that waits for one member, which can't make it."""
    cluster = started(20 + seed, 5)
    cluster.lose(A)
    changes = cluster.programs[B].replica.changes

    def fail(change: Change, timeout: float, done: ChangeDone) -> None:
        changes.host.after(timeout, lambda: done(QuorumResult.UNREACHABLE, None))

    monkeypatch.setattr(changes, "submit_with_precedence", fail)
    cluster.add(NEW)
    assert time_to_vote(cluster, NEW) < CATCH_UP_S


@pytest.mark.parametrize("seed", range(4))
def test_a_successor_that_dies_half_admitted_is_replaced_in_time(seed: int) -> None:
    """Guards against CONFIG: a machine that has accepted its admission is gone before it is a member."""
    cluster = started(30 + seed)
    cluster.lose(A)
    cluster.add(NEW)
    voter = cluster.programs[NEW].replica.voter
    while voter.state.value is None:
        cluster.run(0.001)
    cluster.lose(NEW)
    cluster.add(NEWER)
    assert time_to_vote(cluster, NEWER) < CATCH_UP_S


@pytest.mark.parametrize("seed", range(4))
def test_two_members_of_five_are_replaced_at_once(seed: int) -> None:
    """Guards against CONFIG: the second replacement waits for the term after the first one."""
    cluster = started(40 + seed, 5)
    for lost, new in ((A, NEW), (B, NEWER)):
        cluster.lose(lost)
        cluster.add(new)
    assert max(time_to_vote(cluster, new) for new in (NEW, NEWER)) < CATCH_UP_S


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


@pytest.mark.parametrize("seed", range(6))
def test_a_successor_that_comes_late_waits_for_no_heartbeat(seed: int) -> None:
    """Guards the bound: it shows itself once it knows the members, and a member looks at once."""
    cluster = started(60 + seed)
    cluster.lose(A)
    cluster.run(3.0)
    cluster.add(NEW)
    assert time_to_vote(cluster, NEW) < HEARTBEAT_INTERVAL_S * HEARTBEAT_JITTER[0]


def test_a_joiner_asks_some_peers_at_once_and_each_in_its_turn(monkeypatch: pytest.MonkeyPatch) -> None:
    cluster = started(70)
    cluster.add(NEW)
    joining = cluster.programs[NEW].replica.membership.joining
    known = [f"10.0.1.{number}:7620" for number in range(3 * MAX_PEERS_ASKED)]
    asked: list[str] = []
    monkeypatch.setattr(joining, "other_addresses", lambda: known)
    monkeypatch.setattr(joining, "request_decided_membership", asked.append)
    for count in (1, 2, 3):
        joining.request_admission([])
        assert len(asked) == count * MAX_PEERS_ASKED
    assert sorted(asked) == sorted(known)


def test_a_standby_that_does_not_accept_gives_way_to_another_one() -> None:
    """Guards against CONFIG: a machine of the lost one's zone, whose disk fails, was tried for ever."""
    cluster = started(71)
    zone = {ip: cluster.programs[ip].settings.zone for ip in cluster.ips}
    same, other = "10.0.0.14", "10.0.0.15"
    for new in (other, same):
        cluster.add(new)
    assert cluster.programs[same].settings.zone == zone[A] != cluster.programs[other].settings.zone
    cluster.programs[same].replica.methods[rpc_methods.REGISTER_REQUEST] = lambda args, reply, peer: None
    cluster.run(1.0)
    cluster.lose(A)
    assert time_to_vote(cluster, other) < CATCH_UP_S


class RefusedLease(AlwaysGranted):
    """A lease that is always refused; counts the requests."""

    requests = 0

    def begin(self, done: Callable[[bool], None]) -> None:
        """Refuses the lease at once."""
        self.requests += 1
        done(False)


def test_a_refused_replacement_is_tried_again_before_the_next_heartbeat() -> None:
    cluster = started(72)
    cluster.lose(A)
    cluster.add(NEW)
    leases = {ip: RefusedLease() for ip in (B, C)}
    for ip, lease in leases.items():
        cluster.programs[ip].replica.membership.removal.lease = lease
    cluster.run(1.5)  # The lost member is unreachable by then.
    before = leases[B].requests
    cluster.run(2.0)
    assert leases[B].requests - before > 2 * 2.0 / HEARTBEAT_INTERVAL_S


def test_a_member_without_a_majority_leaves_the_turn_to_the_next_one(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    cluster = started(73)
    begun: list[float] = []
    for ip in (B, C):
        changes = cluster.programs[ip].replica.changes

        def fail(
            change: Change, timeout: float, done: ChangeDone, ip: str = ip, changes: ChangeQueue = changes
        ) -> None:
            if ip == B:
                begun.append(changes.host.now())
            changes.host.after(timeout, lambda: done(QuorumResult.UNREACHABLE, None))

        monkeypatch.setattr(changes, "submit_with_precedence", fail)
    cluster.lose(A)
    cluster.add(NEW)
    cluster.run(10.0)
    pauses = [later - earlier for earlier, later in pairwise(begun)]
    assert len(pauses) >= 2
    assert min(pauses) >= WRITE_TIMEOUT_S + TAKEOVER_DELAY_S


def test_a_machine_that_shuts_down_declines_its_admission_and_nothing_else() -> None:
    cluster = started(74)
    voter = cluster.programs[A].replica.voter
    state = cluster.known(B)
    newcomer = mesh_state.Member(voter.local_address, "new", "a", False)
    admission = applied(mesh_state.admit(newcomer, []), state)
    voter.is_leaving = True
    number = ProposalNumber(99, "z", 1)
    as_member = voter.vote(Accept("first", state_decided(state), number, state), None)
    assert isinstance(as_member, Accepted)
    voter.acceptor.state = replace(voter.state, disk="new")
    as_newcomer = voter.vote(
        Accept("new", state_decided(state), number._replace(counter=100), admission), None
    )
    assert isinstance(as_newcomer, DiskMismatch)


def test_a_machine_that_has_handed_its_place_over_calls_nobody() -> None:
    cluster = started(75)
    cluster.add(NEW)
    cluster.run(2.0)
    leaver = cluster.programs[A].replica
    cluster.programs[A].operator.pending_calls += 1  # Its process waits for the call's end.
    cluster.programs[A].stop()
    while leaver.is_member():
        cluster.run(0.01)
    cluster.run(0.05)  # What it had sent as a member has arrived.
    contacts = cluster.programs[B].replica.membership.contacts
    heard_at = contacts.last_contact_at[leaver.member_id]
    cluster.run(0.6)
    assert cluster.network.machines[A].on
    assert contacts.last_contact_at[leaver.member_id] == heard_at


def state_decided(state: MeshState) -> DecidedMembership:
    """Returns the membership of a state as the decided one."""
    return DecidedMembership(state.epoch, state.members)


def applied(change: Change, state: MeshState) -> MeshState:
    """Returns the state that a change makes."""
    changed, _ = change(state)
    assert changed is not None
    return changed
