"""Orders that are read, proposed or accepted late, after their caller has given them up."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import replace
from itertools import count

import pytest

from honeywharf import rpc_methods
from honeywharf.control import mesh_state
from honeywharf.control.member_removal import AlwaysGranted
from honeywharf.control.mesh_state import EvacuationOutcome, MeshState, initial_membership, initial_state
from honeywharf.control.register import QuorumResult
from tests.control.cluster import Call, ControlCluster

A, B, C, SPARE = "10.0.0.1", "10.0.0.2", "10.0.0.3", "10.0.0.9"
OPERATOR_WAIT_S = 1.0  # An operator gives a call up after this time.
OPERATOR_TRIES = 3  # Within `ack-timeout`.
STEP_S = 0.01
# How long a caller waits before it gives up; a node that wakes after the shorter time is still in its order's
# time, and proposes the order again.
WAITS_S = (OPERATOR_WAIT_S, 0.15)
MOMENT_STEP_S = 0.002
MIN_MOMENTS = 8  # An order takes at least so many steps: the caller's proof, and two rounds with their syncs.


def order(cluster: ControlCluster, ip: str, step: str) -> Call:
    """Sends an order for zone `a`."""
    return cluster.call(ip, "POST", f"/api/evacuations/a/{step}")


def acknowledged(cluster: ControlCluster, ip: str, step: str) -> Call:
    """Sends an order for zone `a`, again like an operator, until it is acknowledged; returns that call."""
    for _ in range(OPERATOR_TRIES):
        call = order(cluster, ip, step)
        sent_at = cluster.network.time
        while not call.status and cluster.network.time < sent_at + OPERATOR_WAIT_S:
            cluster.run(STEP_S)
        call.give_up()
        if call.status == 200:
            return call
    raise AssertionError(f"{step} was not acknowledged")


def evacuated_cluster(seed: int) -> ControlCluster:
    """Returns a cluster in which zone `a` is evacuated."""
    cluster = ControlCluster(seed)
    cluster.run(1.0)
    acknowledged(cluster, B, "start")
    return cluster


def give_up_and_start_again(cluster: ControlCluster, late: Call, wait_s: float = OPERATOR_WAIT_S) -> None:
    """Gives a `complete` up, has it acknowledged elsewhere, and evacuates the zone again."""
    cluster.run(wait_s)
    late.give_up()
    acknowledged(cluster, B, "complete")
    acknowledged(cluster, B, "start")


def check_evacuated(cluster: ControlCluster) -> None:
    """Checks that the zone is evacuated, on all nodes, as the newest order wants."""
    cluster.run(3.0)
    assert [cluster.known(ip).evacuations for ip in cluster.ips] == [{"a": True}] * 3


def orders_under_way(seed: int) -> Iterator[tuple[ControlCluster, Call]]:
    """Yields clusters with a `complete` at node A, each a step later in its course, until it is answered."""
    for step in count():
        cluster = evacuated_cluster(seed + step)
        late = order(cluster, A, "complete")
        cluster.run(step * MOMENT_STEP_S)
        if late.status:
            assert step >= MIN_MOMENTS
            return
        yield cluster, late


@pytest.mark.parametrize("read_after_s", [0.0, 0.02, 0.1, 0.5])
def test_an_order_in_the_socket_of_a_frozen_node_takes_no_effect_when_it_wakes(read_after_s: float) -> None:
    """Guards against EVAC: a `complete` that was given up withdrew an evacuation acknowledged since."""
    cluster = evacuated_cluster(1)
    machine = cluster.network.machines[A]
    machine.frozen = True
    late = Call(machine, "POST", "/api/evacuations/a/complete")
    give_up_and_start_again(cluster, late)
    machine.unfreeze()
    machine.after(read_after_s, lambda: cluster.programs[A].operator.handle(late))
    check_evacuated(cluster)


def test_an_order_that_the_network_delays_takes_no_effect_on_a_node_that_was_never_stopped() -> None:
    """Guards against EVAC without any freeze: the packets of a `complete` arrive after a newer order."""
    cluster = evacuated_cluster(2)
    machine = cluster.network.machines[A]
    late = Call(machine, "POST", "/api/evacuations/a/complete")
    cluster.network.at(cluster.network.time + 3.5, lambda: cluster.programs[A].operator.handle(late))
    give_up_and_start_again(cluster, late)
    cluster.run(2.0)
    check_evacuated(cluster)
    assert sum("does not wait" in line for line in machine.lines) == 1


@pytest.mark.parametrize("wait_s", WAITS_S)
def test_a_proposer_that_is_stopped_at_any_moment_of_an_order_does_not_undo_a_newer_one(
    wait_s: float,
) -> None:
    """Guards against EVAC: an order is confirmed, or half proposed, when its node is stopped."""
    for cluster, late in orders_under_way(seed=100):
        cluster.network.machines[A].frozen = True
        give_up_and_start_again(cluster, late, wait_s)
        cluster.network.machines[A].unfreeze()
        check_evacuated(cluster)


@pytest.mark.parametrize("wait_s", WAITS_S)
@pytest.mark.parametrize("way", ["out", "both"])
def test_proposals_that_the_network_delays_do_not_undo_a_newer_order(way: str, wait_s: float) -> None:
    """Guards against EVAC: the messages of an order between control nodes arrive after a newer order."""
    for cluster, late in orders_under_way(seed=200):
        cluster.network.cuts = {(A, B), (A, C)} | ({(B, A), (C, A)} if way == "both" else set())
        give_up_and_start_again(cluster, late, wait_s)
        cluster.network.cuts.clear()
        check_evacuated(cluster)


def test_an_order_that_is_proposed_again_after_a_conflict_does_not_undo_a_newer_one() -> None:
    """Guards against EVAC: a value that one member accepted is adopted by another, then proposed again."""
    state = initial_state(initial_membership([A, B, C]))
    late = mesh_state.set_evacuation("a", False, state.revision)
    adopted = applied(late, state)
    newer = applied(mesh_state.set_evacuation("a", True, adopted.revision), adopted)
    changed, answer = late(newer)
    assert (changed, answer.outcome) == (None, EvacuationOutcome.SUPERSEDED)
    assert late(adopted)[0] is None


def test_an_order_that_changes_nothing_supersedes_the_ones_before_it() -> None:
    """Guards against EVAC: a `complete` is late, after a `start` that left the zone as it was."""
    state = initial_state(initial_membership([A, B, C]))
    evacuated = applied(mesh_state.set_evacuation("a", True, state.revision), state)
    late = mesh_state.set_evacuation("a", False, evacuated.revision)
    again = applied(mesh_state.set_evacuation("a", True, evacuated.revision), evacuated)
    assert late(again)[0] is None


def applied(change: mesh_state.Change, state: MeshState) -> MeshState:
    """Returns the state that a change makes."""
    changed, _ = change(state)
    assert changed is not None
    return changed


def test_orders_of_operators_who_wait_supersede_each_other_and_are_all_acknowledged() -> None:
    cluster = evacuated_cluster(3)
    steps = ["start", "complete"] * 4
    calls = [order(cluster, ip, step) for step, ip in zip(steps, [A, B, C] * 3, strict=False)]
    cluster.run(OPERATOR_WAIT_S)
    assert {call.status for call in calls} <= {200, 503}
    assert [call.status for call in calls].count(200) >= len(calls) / 2
    for step, call in zip(steps, calls, strict=True):
        if call.status != 200:
            acknowledged(cluster, A, step)
    acknowledged(cluster, C, "start")
    cluster.run(1.0)
    assert cluster.known(A).evacuations == {"a": True}


def test_an_order_is_acknowledged_beside_a_storm_of_configurations() -> None:
    cluster = evacuated_cluster(6)
    for round_ in range(10):
        call = order(cluster, A, "complete" if round_ % 2 else "start")
        for version in range(8):
            cluster.replace(cluster.ips[version % 3], 100 * round_ + version + 1)
            cluster.run(0.08)
        cluster.run(OPERATOR_WAIT_S)
        assert call.status == 200


def test_a_node_that_knows_only_an_old_state_still_takes_orders() -> None:
    cluster = evacuated_cluster(4)
    cluster.programs[C].replica.committed.known = None
    call = acknowledged(cluster, C, "complete")
    assert call.confirmations == 2, "the first attempt was superseded by the newer state"
    cluster.run(1.0)
    assert cluster.known(A).evacuations == {"a": False}


def test_an_operator_without_interim_responses_is_told_what_is_missing() -> None:
    cluster = evacuated_cluster(5)
    call = Call(cluster.network.machines[A], "POST", "/api/evacuations/a/complete")
    call.takes_interim_responses = False
    handle: Callable[[Call], None] = cluster.programs[A].operator.handle
    handle(call)
    assert call.status == 505
    cluster.run(1.0)
    assert cluster.known(B).evacuations == {"a": True}


def admission_of(cluster: ControlCluster, ip: str, digest: str = "") -> list[object]:
    """Returns the request by which a machine with its present disk asks to be admitted."""
    replica = cluster.programs[ip].replica
    return [*replica.member_id, replica.settings.zone, True, digest]


def member_ips(cluster: ControlCluster, ip: str) -> list[str]:
    """Returns the addresses of the members, as a control node knows them."""
    return sorted(member.address.rpartition(":")[0] for member in cluster.programs[ip].replica.state.members)


def read_late(cluster: ControlCluster, ip: str, admission: list[object]) -> None:
    """Lets a node read a request of another machine to be admitted; the membership must stay as it is."""
    admit = cluster.programs[ip].replica.methods[rpc_methods.ADMIT_MEMBER]
    cluster.network.machines[ip].after(0.0, lambda: admit(admission, lambda answer: None, (B, 1)))
    voters = mesh_state.member_ids(cluster.programs[ip].replica.state.members)
    for _ in range(int(2.0 / STEP_S)):
        cluster.run(STEP_S)
        assert mesh_state.member_ids(cluster.programs[ip].replica.state.members) == voters


def test_a_late_admission_of_a_lost_disk_does_not_replace_the_new_one() -> None:
    """Guards against a membership that names a disk which is gone, and has lost the vote of the new one."""
    cluster = ControlCluster(7)
    cluster.run(1.0)
    late = admission_of(cluster, C)
    cluster.lose(C)
    cluster.start(C)
    cluster.run(3.0)
    new = cluster.programs[C].replica.member_id
    assert cluster.programs[C].replica.is_member()
    read_late(cluster, A, late)
    assert new in mesh_state.member_ids(cluster.programs[A].replica.state.members)


def test_a_late_admission_of_a_machine_that_is_gone_does_not_grow_the_membership() -> None:
    """Guards against a member that nobody hears: four members, of whom one is gone, bear no loss."""
    cluster = ControlCluster(8)
    cluster.run(1.0)
    late = admission_of(cluster, C)
    cluster.network.machines[C].off(power=True)
    del cluster.network.machines[C]
    cluster.add(SPARE)
    cluster.run(5.0)
    assert member_ips(cluster, A) == sorted([A, B, SPARE])
    read_late(cluster, A, late)
    assert member_ips(cluster, A) == sorted([A, B, SPARE])
    assert cluster.known(A).target_size == 3


def test_a_handover_that_is_proposed_late_changes_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a member that nobody hears, by the handover of a leaver that was stopped half-way."""
    cluster = ControlCluster(9)
    cluster.run(1.0)
    cluster.add(SPARE)
    cluster.run(4.0)
    proposed: list[mesh_state.Change] = []
    changes = cluster.programs[A].replica.changes
    monkeypatch.setattr(
        changes, "submit_with_precedence", lambda change, timeout, done: proposed.append(change)
    )
    cluster.programs[A].stop()
    change, state = proposed[0], cluster.known(B)
    assert change(state)[1] is mesh_state.Admission.MEMBER
    later = state.with_members(state.members, state.target_size)
    assert change(later) == (None, mesh_state.Admission.CHANGED)
    cluster.run(1.0)
    assert change(state) == (None, mesh_state.Admission.CHANGED)


def test_a_committed_state_that_is_told_late_does_not_replace_a_newer_one() -> None:
    """Guards against EVAC: a message of an older write arrives after those of a newer one."""
    cluster = evacuated_cluster(10)
    replica = cluster.programs[A].replica
    late = cluster.known(A).pack_public()
    acknowledged(cluster, B, "complete")
    cluster.run(1.0)
    newest = cluster.known(A)
    for method in (rpc_methods.STATE_COMMITTED, rpc_methods.HINTED_HANDOFF):
        replica.methods[method](late, lambda answer: None, (B, 1))
    assert cluster.known(A) == newest
    assert newest.evacuations == {"a": False}


class EndingLease(AlwaysGranted):
    """A lease that the test ends."""

    is_held = True

    def holds(self) -> bool:
        """Returns whether the test has not ended it."""
        return self.is_held


def test_a_removal_that_is_proposed_late_changes_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a member that is removed after it was heard again, by a node that was stopped."""
    cluster = ControlCluster(11)
    cluster.run(1.0)
    proposed: list[mesh_state.Change] = []
    removal = cluster.programs[A].replica.membership.removal
    lease = removal.lease = EndingLease()
    monkeypatch.setattr(
        removal.changes, "submit_with_precedence", lambda change, timeout, done: proposed.append(change)
    )
    state = cluster.known(A)
    larger = replace(state, members=(*state.members, mesh_state.Member("d", "x", "a", True)))
    lost = mesh_state.member_ids(state.members)[2:]
    removal.submit_under_lease(mesh_state.remove_unreachable(lost), state.epoch, lambda answer: None)
    assert proposed[0](larger)[1] is True
    assert proposed[0](replace(larger, epoch=state.epoch + 1)) == (None, mesh_state.Admission.CHANGED)
    lease.is_held = False
    assert proposed[0](larger) == (None, mesh_state.Admission.CHANGED)


def test_an_order_that_is_confirmed_after_its_time_is_not_proposed(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against EVAC: a node is stopped between the proof of the caller and the proposal."""
    cluster = evacuated_cluster(12)
    held: list[Callable[[], None]] = []
    late = Call(cluster.network.machines[A], "POST", "/api/evacuations/a/complete")
    monkeypatch.setattr(late, "confirm_caller", held.append)
    handle: Callable[[Call], None] = cluster.programs[A].operator.handle
    handle(late)
    cluster.run(OPERATOR_WAIT_S)
    assert late.status == 503
    proposed = cluster.programs[A].replica.changes.counter
    held[0]()
    check_evacuated(cluster)
    assert cluster.programs[A].replica.changes.counter == proposed


def test_a_joiner_of_the_first_start_enlarges_no_membership_in_which_a_member_was_replaced() -> None:
    """Guards against a fourth member: a machine that was a member asks once more, or is read late."""
    state = initial_state(initial_membership([A, B, C]))
    lost = mesh_state.member_ids(state.members)[:1]
    late = mesh_state.Member("d", "x", "a", True)
    assert len(applied(mesh_state.admit(late, []), state).members) == 4
    for replacement in (mesh_state.Member("e", "y", "a", False), mesh_state.Member(A, "y", "a", True)):
        replaced = applied(mesh_state.admit(replacement, lost), state)
        assert not replaced.members[0].is_initial
        assert mesh_state.admit(late, [])(replaced) == (None, mesh_state.Admission.STANDBY)


class RecordedSubmissions:
    """The changes of the membership that a node submits; the test answers them."""

    def __init__(self, cluster: ControlCluster, ip: str, monkeypatch: pytest.MonkeyPatch) -> None:
        manager = cluster.programs[ip].replica.membership
        self.changes: list[mesh_state.Change] = []
        self.done: list[Callable[[object], None]] = []
        monkeypatch.setattr(manager.changes, "submit_with_precedence", self._submit)

    def _submit(
        self, change: mesh_state.Change, timeout: float, done: Callable[[object, object], None]
    ) -> None:
        self.changes.append(change)
        self.done.append(lambda outcome: done(QuorumResult.OK, outcome))


def test_an_admission_is_for_the_epoch_before_its_joiner_was_asked(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against an admission that undoes a newer change of the membership; it is tried again."""
    cluster = ControlCluster(13)
    cluster.run(1.0)
    submissions = RecordedSubmissions(cluster, A, monkeypatch)
    RecordedSubmissions(cluster, B, monkeypatch)  # The joiner may ask B first, which does nothing here.
    cluster.lose(C)
    cluster.start(C)
    while not submissions.changes:
        cluster.run(STEP_S)
    state = cluster.known(A)
    assert submissions.changes[0](state)[1] is mesh_state.Admission.MEMBER
    assert submissions.changes[0](replace(state, epoch=state.epoch + 1))[1] is mesh_state.Admission.CHANGED
    asked = len(submissions.changes)
    submissions.done[-1](mesh_state.Admission.CHANGED)
    cluster.run(0.05)
    assert len(submissions.changes) == asked + 1


class OvertakenLease(AlwaysGranted):
    """A lease that is granted after the membership has changed."""

    def __init__(self, overtake: Callable[[], None]) -> None:
        self.overtake = overtake

    def begin(self, done: Callable[[bool], None]) -> None:
        """Lets the membership change, and grants the lease."""
        self.overtake()
        done(True)


def test_a_replacement_is_for_the_epoch_before_its_joiner_was_asked(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a replacement that undoes a newer change of the membership."""
    cluster = ControlCluster(14)
    cluster.run(1.0)
    manager = cluster.programs[A].replica.membership
    voter, state = manager.voter, cluster.known(A)
    proposed: list[mesh_state.Change] = []
    monkeypatch.setattr(
        manager.changes, "submit_with_precedence", lambda change, timeout, done: proposed.append(change)
    )

    def overtake() -> None:
        voter.acceptor.state = replace(voter.state, epoch=state.epoch + 1)

    manager.removal.lease = OvertakenLease(overtake)
    cluster.network.machines[C].off(power=True)
    cluster.add(SPARE)
    cluster.run(4.0)
    assert proposed[0](state)[1] is mesh_state.Admission.MEMBER
    assert proposed[0](replace(state, epoch=state.epoch + 1))[1] is mesh_state.Admission.CHANGED


ACK_TIMEOUT_S = 4.0  # The sites' `ack-timeout`.
DENSE_GAP_S = 0.01  # An eighth of the gap in a `config_storm` of the sites.


def test_an_evacuation_is_acknowledged_while_all_nodes_change_the_configuration_without_a_pause() -> None:
    """Guards against EVAC: each change of the configuration supersedes an order of an evacuation."""
    cluster = ControlCluster(15)
    cluster.run(1.5)
    longest, version = 0.0, 0
    for number in range(6):
        began_at = cluster.network.time
        step = "complete" if number % 2 else "start"
        call = order(cluster, cluster.ips[number % 3], step)
        while call.status != 200 and cluster.network.time < began_at + 2 * ACK_TIMEOUT_S:
            if call.answers or cluster.network.time >= began_at + OPERATOR_WAIT_S:
                call.give_up()
                call = order(cluster, cluster.ips[(number + version) % 3], step)
            for _ in range(round(OPERATOR_WAIT_S / DENSE_GAP_S)):
                version += 1
                cluster.replace(cluster.ips[version % 3], version)
                cluster.run(DENSE_GAP_S)
                if call.answers:
                    break
        longest = max(longest, cluster.network.time - began_at)
    assert longest <= ACK_TIMEOUT_S
