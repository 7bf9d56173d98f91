"""Explores the register: a reported state is never followed by an older one, and memberships never fork."""

from __future__ import annotations

import os
from collections.abc import Callable
from dataclasses import replace
from random import Random

import pytest

from honeywharf.control import mesh_state
from honeywharf.control.acceptor import Acceptor, AcceptorState
from honeywharf.control.mesh_state import Admission, Member, MemberId, MeshState, initial_state, member_ids
from honeywharf.control.messages import (
    NO_PROPOSAL,
    Accept,
    Answer,
    DecidedMembership,
    ProposalNumber,
    Rejected,
)
from honeywharf.control.quorum import Quorums
from honeywharf.control.quorum_client import CALL_TIMEOUT_S
from honeywharf.control.register import (
    OutgoingRequest,
    OutgoingRequests,
    Phase,
    Proposer,
    QuorumResult,
    QuorumWrite,
    newcomers,
)
from tests.control.cluster import ControlCluster
from tests.control.explore import (
    FIXED_RANDOM,
    Actor,
    BrokenError,
    Node,
    Vote,
    World,
    explore,
    members,
    proposer,
    random_run,
    reader,
    run_to_end,
)

FIRST = members([MemberId("a", "first"), MemberId("b", "first"), MemberId("c", "first")])
MAX_STATES = int(os.environ.get("EXPLORE", "10000"))  # The number of states of one exploration.


def vote(disk: str, epoch: int = 1) -> Vote:
    state = AcceptorState(disk, epoch, FIRST if epoch else ())
    return Vote(state, state)


def node(*actors: Actor, more: tuple[str, ...] = ()) -> Node:
    votes = {where: vote("first") for where in "abc"} | {where: vote(f"disk-{where}", 0) for where in more}
    return Node(votes, tuple(actors), (), {}, 0)


def two(made: type[QuorumWrite] = QuorumWrite, tries: int = 1) -> Node:
    return node(
        proposer("p", mesh_state.replace_configuration(1, "one"), 1, FIRST, made=made),
        proposer("q", mesh_state.replace_configuration(1, "other"), 1, FIRST, made=made, counter=tries),
    )


def random_runs(world: World, start: Callable[[], Node], count: int) -> int:
    """Runs random orders of steps; returns the number of steps."""
    return sum(random_run(world, start(), Random(seed)) for seed in range(count))


def test_two_proposers_in_all_orders() -> None:
    count, is_complete = explore(World(), two(), MAX_STATES, seed=1)
    assert is_complete or count == MAX_STATES


@pytest.mark.parametrize("seed", range(4))
def test_two_proposers_with_second_tries_and_a_reader(seed: int) -> None:
    start = two()
    start.actors += (reader(1, FIRST),)
    count, _ = explore(World(tries=3), start, MAX_STATES, seed)
    assert count == MAX_STATES


def membership_changes(made: type[QuorumWrite] = QuorumWrite) -> Node:
    """Returns a start with two replacements of members and a write under the old membership."""
    start = node(
        proposer(
            "p",
            mesh_state.admit(Member("d", "disk-d", "", False), [MemberId("c", "first")]),
            1,
            FIRST,
            made=made,
        ),
        proposer(
            "q",
            mesh_state.admit(Member("e", "disk-e", "", False), [MemberId("a", "first")]),
            1,
            FIRST,
            made=made,
        ),
        proposer("s", mesh_state.replace_configuration(1, "one"), 1, FIRST, made=made),
        reader(1, FIRST),
        more=("d", "e"),
    )
    return start


def test_changes_of_the_membership_never_fork() -> None:
    random_runs(World(tries=3), membership_changes, 300)
    count, _ = explore(World(tries=2), membership_changes(), MAX_STATES, seed=3)
    assert count == MAX_STATES


def outdated_proposer(made: type[QuorumWrite] = QuorumWrite) -> Node:
    """Returns a start after a change from a, b, c to a, b, d, which only one of two proposers knows."""
    swap = proposer(
        "r", mesh_state.admit(Member("d", "disk-d", "", False), [MemberId("c", "first")]), 1, FIRST
    )
    world = World()
    start = run_to_end(world, node(swap, more=("d",)), 0, {"a", "b", "d"})
    operation = start.actors[0].operation
    assert operation.decided.epoch == 2
    for where in "ab":  # These two don't know that the change was decided.
        assert start.votes[where].state.epoch == 1
    start.actors = (
        proposer("p", mesh_state.replace_configuration(1, "one"), 2, operation.decided.members, 2, made),
        proposer("q", mesh_state.replace_configuration(1, "other"), 1, FIRST, 5, made),
    )
    return start


def test_a_proposer_with_an_older_membership_overwrites_nothing() -> None:
    count, is_complete = explore(World(), outdated_proposer(), MAX_STATES, seed=5)
    assert is_complete or count == MAX_STATES
    random_runs(World(tries=3), outdated_proposer, 300)


def other_name(state: AcceptorState) -> AcceptorState:
    """The correct behaviour: a wiped disk has another name."""
    return AcceptorState("new", 1, FIRST)


def same_name(state: AcceptorState) -> AcceptorState:
    """A mutation: a wiped disk keeps its name and its vote."""
    return AcceptorState(state.disk, 1, FIRST)


def committed_by_two() -> Node:
    """Returns a start with a state that a and b have accepted, another proposer and a reader."""
    start = run_to_end(
        World(), node(proposer("r", mesh_state.replace_configuration(3, "three"), 1, FIRST)), 0, {"a", "b"}
    )
    start.actors = (reader(1, FIRST), proposer("q", mesh_state.replace_configuration(2, "two"), 1, FIRST, 3))
    return start


def test_a_wiped_disk_has_no_vote() -> None:
    explore(World(faults=1, wiped=other_name), committed_by_two(), MAX_STATES, seed=7)
    for seed in range(100):
        start = two()
        start.actors += (reader(1, FIRST),)
        random_run(World(tries=2, faults=1, wiped=other_name), start, Random(seed))


# Mutations that the exploration must detect.


def test_found_a_wiped_acceptor_that_keeps_voting() -> None:
    with pytest.raises(BrokenError):
        explore(World(faults=1, wiped=same_name), committed_by_two(), MAX_STATES, seed=7)


def acknowledged(world: World) -> Node:
    """Returns a start with a write that a and b have acknowledged, and a reader."""
    start = run_to_end(
        world, node(proposer("p", mesh_state.replace_configuration(1, "one"), 1, FIRST)), 0, {"a", "b"}
    )
    start.actors = (*start.actors, reader(1, FIRST))
    return start


def test_found_an_answer_before_the_sync() -> None:
    right = World(faults=3)
    assert explore(right, acknowledged(right), MAX_STATES, seed=7)[1]
    wrong = World(faults=3, late_sync=("promised", "accepted"))
    with pytest.raises(BrokenError):
        explore(wrong, acknowledged(wrong), MAX_STATES, seed=7)


def test_found_a_majority_of_those_that_answer(monkeypatch: pytest.MonkeyPatch) -> None:
    def living(self: Quorums, by: object) -> bool:
        present = set(by)  # type: ignore[call-overload]
        return all(any(key in present for key in required) for required in self.memberships)

    monkeypatch.setattr(Quorums, "covered", living)
    with pytest.raises(BrokenError):
        explore(World(), two(), MAX_STATES, seed=1)


class PrepareInOldMembership(QuorumWrite):
    """A mutation: promises of the known membership are enough; the others only get accept requests."""

    def _propose_when_promised(self) -> OutgoingRequests:
        if not self.quorums.covered(self.promises):
            return []
        base = max(self.promises.values(), key=lambda promise: promise[0])[1] or initial_state(
            self.decided.members
        )
        made, self.answer = self.change(base)
        self.proposal = made or base
        self.quorums.add(base.members)
        self.quorums.add(self.proposal.members)
        self.phase, self.contacted, self.resend_at = Phase.ACCEPT, set(), {}
        return self.contact(self.quorums.members())


class OldMembershipOnly(QuorumWrite):
    """A mutation: majorities of the known membership are enough in both phases."""

    def _propose_when_promised(self) -> OutgoingRequests:
        if not self.quorums.covered(self.promises):
            return []
        base = max(self.promises.values(), key=lambda promise: promise[0])[1] or initial_state(
            self.decided.members
        )
        made, self.answer = self.change(base)
        self.proposal = made or base
        self.phase, self.contacted, self.resend_at = Phase.ACCEPT, set(), {}
        return self.contact(self.quorums.members())


def test_found_no_joint_prepare() -> None:
    with pytest.raises(BrokenError):
        random_runs(World(), lambda: outdated_proposer(PrepareInOldMembership), 3000)


def test_found_a_membership_changed_by_the_old_one_alone() -> None:
    with pytest.raises(BrokenError):
        random_runs(World(tries=3), lambda: outdated_proposer(OldMembershipOnly), 3000)


class PromiseForgettingAcceptor(Acceptor):
    """A mutation: an acceptor ignores its promises when it accepts."""

    def _accept(
        self, state: AcceptorState, number: ProposalNumber, value: MeshState
    ) -> tuple[AcceptorState, Answer]:
        return super()._accept(replace(state, promised=NO_PROPOSAL), number, value)


def test_found_an_acceptor_that_forgets_its_promise() -> None:
    with pytest.raises(BrokenError):
        explore(World(acceptor=PromiseForgettingAcceptor), two(), 20 * MAX_STATES, seed=1)


# Unit tests.


def test_quorums_want_a_majority_of_each() -> None:
    both = Quorums(
        [FIRST, members([MemberId("a", "first"), MemberId("d", "x"), MemberId("e", "x"), MemberId("f", "x")])]
    )
    a, b, d, e = (MemberId(*one) for one in (("a", "first"), ("b", "first"), ("d", "x"), ("e", "x")))
    wanted: list[tuple[list[MemberId], bool]] = [
        ([a, b], False),
        ([a, b, d], False),
        ([a, b, d, e], True),
        ([a, d, e], False),
    ]
    for by, covered in wanted:
        assert both.covered(by) == covered


def test_swap_rules() -> None:
    value = initial_state(FIRST)
    joiner = Member("d", "x", "z", False)
    assert mesh_state.admit(joiner, [])(value) == (None, Admission.STANDBY)
    smaller = replace(value, members=FIRST[:2])
    appended, _ = mesh_state.admit(joiner, [])(smaller)
    assert appended is not None
    assert [key[0] for key in member_ids(appended.members)] == ["a", "b", "d"]
    assert (appended.epoch, appended.target_size, appended.revision) == (2, 3, 1)
    swapped, _ = mesh_state.admit(joiner, [MemberId("b", "first")])(value)
    assert swapped is not None
    assert [key[0] for key in member_ids(swapped.members)] == ["a", "d", "c"]
    wiped, _ = mesh_state.admit(Member("c", "y", "z", False), [MemberId("b", "first")])(value)
    assert wiped is not None
    assert member_ids(wiped.members)[1:] == [("b", "first"), ("c", "y")]
    fourth, _ = mesh_state.admit(Member("d", "x", "z", True), [MemberId("b", "first")])(value)
    assert fourth is not None
    assert (len(fourth.members), fourth.target_size) == (4, 4)
    assert mesh_state.remove_unreachable([MemberId("a", "first")])(value) == (None, False)
    larger = replace(fourth, target_size=3)
    dropped, _ = mesh_state.remove_unreachable([MemberId("a", "first"), MemberId("b", "first")])(larger)
    assert dropped is not None
    assert [key[0] for key in member_ids(dropped.members)] == ["b", "c", "d"]
    full = replace(value, members=members([MemberId(str(n), "x") for n in range(mesh_state.MAX_MEMBERS)]))
    assert mesh_state.admit(Member("d", "x", "z", True), [])(full) == (None, Admission.FULL)
    zones = replace(value, evacuations=dict.fromkeys(map(str, range(mesh_state.MAX_ZONES)), False))
    answer = mesh_state.EvacuationAnswer(mesh_state.EvacuationOutcome.TOO_MANY_ZONES, zones.revision)
    assert mesh_state.set_evacuation("new", True, zones.revision)(zones) == (None, answer)


def test_a_handover_swaps_and_never_grows_the_membership() -> None:
    value, standby = initial_state(FIRST), Member("d", "x", "z", False)
    made, answer = mesh_state.hand_over(MemberId("b", "first"), standby)(value)
    assert made is not None
    assert answer is Admission.MEMBER
    assert [key[0] for key in member_ids(made.members)] == ["a", "d", "c"]
    assert (made.epoch, made.target_size) == (2, 3)
    assert mesh_state.hand_over(MemberId("b", "first"), standby)(made) == (None, Admission.MEMBER)
    assert mesh_state.hand_over(MemberId("c", "first"), standby)(made) == (None, Admission.CHANGED)


JOINER = Member("d", "disk-d", "z", False)
ADMISSIONS = [
    mesh_state.hand_over(MemberId("b", "first"), JOINER),
    mesh_state.admit(JOINER, [MemberId("b", "first")]),
    mesh_state.admit(Member("b", "disk-b", "z", False), []),
    mesh_state.admit(Member("d", "disk-d", "z", True), []),
]


class AdmissionInProgress:
    """A write that admits a machine to a register with version 7, and the acceptors that answer it."""

    def __init__(self, change: mesh_state.Change) -> None:
        held, _ = mesh_state.replace_configuration(7, "seven")(initial_state(FIRST))
        assert held is not None
        changed, _ = change(held)
        assert changed is not None
        self.joiner = newcomers(held, changed)[0]
        number = ProposalNumber(1, "r", 1)
        state = AcceptorState("first", 1, FIRST, number, number, held)
        self.texts: dict[MemberId, set[str]] = {MemberId(where, "first"): {"seven"} for where in "abc"}
        self.texts[self.joiner] = {"six"}
        self.states = {member: state for member in member_ids(FIRST)}
        self.states[self.joiner] = AcceptorState(self.joiner.disk)
        self.write = QuorumWrite(
            Proposer("a", 1), DecidedMembership(1, FIRST), change, 1.0, FIXED_RANDOM, counter=1
        )
        self.requests = self.write.start()

    def answer(self, request: OutgoingRequest) -> None:
        """Lets an acceptor answer a request; the requests that follow are added to `requests`."""
        self.requests.remove(request)
        if request.with_text and isinstance(request.request, Accept):
            self.texts[request.to].add(request.request.state.digest)
        acceptor = Acceptor(self.states[request.to], lambda digest: digest in self.texts[request.to])
        self.states[request.to], answer = acceptor.answer(request.request)
        self.requests += self.write.received(0.0, request.to, answer)

    def until_the_joiner_is_asked(self) -> None:
        """Lets all members answer until the write waits for the joiner alone."""
        while not any(isinstance(request.request, Accept) for request in self.requests):
            self.answer(self.requests[0])
        self.requests = [one for one in self.requests if isinstance(one.request, Accept)]
        assert [request.to for request in self.requests] == [self.joiner]


@pytest.mark.parametrize("change", ADMISSIONS)
def test_a_machine_holds_the_newest_text_before_any_member_is_asked_to_admit_it(
    change: mesh_state.Change,
) -> None:
    """Guards against CONFIG: an admission waited for a moment without changes of the configuration."""
    admission = AdmissionInProgress(change)
    admission.until_the_joiner_is_asked()
    admission.answer(admission.requests[0])
    assert [(one.to, one.with_text) for one in admission.requests] == [(admission.joiner, True)]
    admission.answer(admission.requests[0])
    assert "seven" in admission.texts[admission.joiner]
    while admission.requests:
        assert admission.joiner in admission.write.accepted_by
        admission.answer(admission.requests[0])
    assert admission.write.result is QuorumResult.OK
    assert admission.write.value is not None
    assert admission.joiner in member_ids(admission.write.value.members)


@pytest.mark.parametrize("change", ADMISSIONS)
@pytest.mark.parametrize("how", ["is silent", "has another disk"])
def test_a_machine_that_does_not_accept_is_not_admitted_and_nothing_changes(
    change: mesh_state.Change, how: str
) -> None:
    """Guards against a member that is gone when it is admitted, and against one with a lost disk."""
    admission = AdmissionInProgress(change)
    admission.until_the_joiner_is_asked()
    before = {member: state.value for member, state in admission.states.items()}
    if how == "is silent":
        admission.write.request_lost(0.4, admission.requests[0])
    else:
        admission.states[admission.joiner] = AcceptorState("another")
        admission.answer(admission.requests[0])
    assert admission.write.result is QuorumResult.NOT_JOINED
    assert {member: state.value for member, state in admission.states.items()} == before


def test_a_joiner_that_has_promised_more_is_asked_again_with_a_higher_number() -> None:
    admission = AdmissionInProgress(ADMISSIONS[0])
    admission.until_the_joiner_is_asked()
    promised = ProposalNumber(9, "z", 1)
    admission.states[admission.joiner] = AcceptorState(admission.joiner.disk, 1, FIRST, promised)
    admission.answer(admission.requests[0])
    assert (admission.write.result, admission.write.phase) == (None, Phase.BACKOFF)
    admission.requests = admission.write.tick(0.5)
    admission.until_the_joiner_is_asked()
    assert admission.write.number > promised


@pytest.mark.parametrize("how", ["silent before", "lost first", "lost last"])
def test_a_rejected_write_does_not_wait_for_a_silent_member(how: str) -> None:
    """Guards against a change that waits for its deadline: one of three is gone, and one rejected it."""
    a, b, c = member_ids(FIRST)
    write = QuorumWrite(
        Proposer("a", 1), DecidedMembership(1, FIRST), mesh_state.no_change, 4.0, FIXED_RANDOM
    )
    if how == "silent before":
        write.silent.add(c)
    requests = {request.to: request for request in write.start()}
    rejected = Rejected(write.decided, write.number, ProposalNumber(9, "z", 1))
    if how == "lost first":
        write.request_lost(0.4, requests[c])
    write.received(0.4, b, rejected)
    if how == "lost last":
        assert write.phase is Phase.PREPARE
        write.request_lost(0.5, requests[c])
    assert write.phase is Phase.BACKOFF
    assert {request.to for request in write.tick(1.0)} == {a, b, c}
    assert write.number > rejected.promised


def test_a_node_does_not_wait_for_a_member_that_it_knows_to_be_unreachable() -> None:
    """Guards against a change that takes a call's time-out: one of three is gone, and one rejects it."""
    cluster = ControlCluster(80)
    cluster.run(1.5)
    cluster.lose("10.0.0.3")
    cluster.run(1.5)
    voter = cluster.programs["10.0.0.2"].replica.voter
    voter.acceptor.state = replace(voter.state, promised=ProposalNumber(999, "z", 1))
    results: list[QuorumResult] = []
    cluster.programs["10.0.0.1"].replica.submit(
        mesh_state.no_change, 2.0, lambda result, answer: results.append(result)
    )
    cluster.run(CALL_TIMEOUT_S / 2)
    assert results == [QuorumResult.OK]


class AdmitWithoutAsking(QuorumWrite):
    """A mutation: members accept an admission though the machine has not."""

    def _propose_when_promised(self) -> OutgoingRequests:
        requests = super()._propose_when_promised()
        if self.phase is Phase.ADMIT:
            self.phase = Phase.ACCEPT
            requests += self.contact(self.quorums.members())
        return requests


def test_found_a_vote_for_a_machine_that_has_not_accepted_it() -> None:
    with pytest.raises(BrokenError):
        random_runs(World(tries=3), lambda: membership_changes(AdmitWithoutAsking), 3000)


def test_every_change_is_nothing_the_second_time() -> None:
    for change in (
        mesh_state.replace_configuration(3, "x"),
        mesh_state.set_evacuation("z", True, 0),
        mesh_state.admit(Member("d", "x", "z", False), [MemberId("a", "first")]),
        mesh_state.hand_over(MemberId("a", "first"), Member("d", "x", "z", False)),
    ):
        made, _ = change(initial_state(FIRST))
        assert made is not None
        assert change(made)[0] is None
