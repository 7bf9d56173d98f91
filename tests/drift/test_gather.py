"""An acceptor whose state has regressed gives up its vote; an intact one keeps it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from random import Random
from types import SimpleNamespace
from typing import Any, cast

from honeywharf.control.acceptor import AcceptorState
from honeywharf.control.mesh_state import MemberId
from honeywharf.control.messages import DiskMismatch, ProposalNumber, Read
from honeywharf.drift.aggregator import DriftAggregator
from honeywharf.programs.control import ControlNode
from tests.control.cluster import ControlCluster
from tests.drift.test_history import MemoryHost

PEER = ("10.0.0.9", 7620)


def restart_with_older_disk(cluster: ControlCluster, ip: str) -> ControlNode:
    """Commits two configurations, then restarts one machine with its disk as it was before the second."""
    machine = cluster.network.machines[ip]
    cluster.run(0.5)
    assert cluster.replace("10.0.0.1", 1, "one") is not None
    cluster.run(0.5)
    before = dict(machine.disk.files)
    cluster.replace("10.0.0.1", 2, "two")
    cluster.run(0.8)
    machine.off(power=True)
    machine.disk.files = before
    cluster.start(ip)
    return cluster.programs[ip]


def drop_questions(program: ControlNode, count: int) -> list[str]:
    """Drops the first questions of one machine. Returns the names of the dropped ones."""
    lost: list[str] = []
    call = program.caller.call

    def dropping_call(to: Any, name: str, *rest: Any) -> None:
        if name == "drift.older" and len(lost) < count:
            lost.append(name)
        else:
            call(to, name, *rest)

    program.caller = cast(Any, SimpleNamespace(call=dropping_call))
    return lost


def test_a_lost_question_about_a_regression_is_repeated() -> None:
    cluster = ControlCluster(3)
    cluster.run(0.1)
    lost = [drop_questions(cluster.programs[ip], 1) for ip in cluster.ips[:2]]
    back = restart_with_older_disk(cluster, "10.0.0.3")
    cluster.run(1.5)
    assert lost == [["drift.older"]] * 2
    assert back.drift_aggregator.acceptor_regressions == 1
    assert back.replica.state.disk != "first"
    lines = [line for ip in cluster.ips[:2] for line in cluster.network.machines[ip].lines]
    assert sum("the register of 10.0.0.3:7620 is older" in line for line in lines) == 1, (
        "the second answer came later"
    )


def test_a_disk_that_fails_to_give_up_the_vote_still_has_no_vote() -> None:
    cluster = ControlCluster(3)
    cluster.run(0.5)
    replica = cluster.programs["10.0.0.3"].replica
    drift_aggregator = cluster.programs["10.0.0.3"].drift_aggregator

    def failing_save(state: AcceptorState) -> None:
        raise OSError("no room")

    cast(Any, replica.store).save = failing_save
    answers: list[Any] = []
    drift_aggregator._on_regression_report(["first", [9, "n", 1]], answers.append, PEER)
    assert answers == [True]
    asked = Read("first", replica.state.decided)
    answer = replica.voter.vote(asked, None)
    assert answer is None or isinstance(answer, DiskMismatch)


class IntactAcceptor:
    """An acceptor with an intact disk, a peer that receives its heartbeats, and the messages in flight."""

    def __init__(self, rng: Random) -> None:
        self.rng, self.ballot, self.votes_given_up, self.questions = rng, 0, 0, 0
        self.in_flight: list[Callable[[], None]] = []
        self.state = AcceptorState("first")
        self.own_aggregator, self.peer_aggregator = self._aggregator(), self._aggregator()

    def _aggregator(self) -> DriftAggregator:
        replica = SimpleNamespace(
            methods={},
            membership=SimpleNamespace(),
            local_address="10.0.0.1:7620",
            discard_vote=self._discard_vote,
        )
        program: Any = SimpleNamespace(
            host=MemoryHost(),
            replica=replica,
            caller=SimpleNamespace(call=self._ask),
            operator=SimpleNamespace(routes=SimpleNamespace(add=lambda *path: None)),
        )
        return DriftAggregator(program)

    def _discard_vote(self) -> None:
        self.votes_given_up += 1

    def _ask(self, to: object, name: str, args: Any, within: float, answer: Callable[[Any], None]) -> None:
        self.questions += 1
        self.in_flight.append(lambda: self.own_aggregator._on_regression_report(args, answer, PEER))

    def step(self) -> None:
        """Accepts a proposal, sends a heartbeat, replaces the machine, or delivers a message."""
        draw = self.rng.random()
        if draw < 0.25:
            self.ballot += 1
            accepted = ProposalNumber(self.ballot, "n", 1)
            self.state = replace(self.state, accepted=accepted, promised=accepted)
        elif draw < 0.5:
            sender, reported = MemberId("10.0.0.1:7620", self.state.disk), self.state.accepted
            self.in_flight.append(lambda: self.peer_aggregator.check_accepted(sender, reported))
        elif draw < 0.53:  # A new member with an empty disk takes over the address.
            self.state = AcceptorState(self.rng.randbytes(4).hex())
        elif self.in_flight:
            cast(Any, self.own_aggregator.replica).state = self.state
            at = self.rng.randrange(len(self.in_flight))
            self.in_flight[at]()
            if self.rng.random() < 0.8:  # Otherwise it is delivered again.
                del self.in_flight[at]


def test_no_order_of_heartbeats_takes_the_vote_of_an_intact_acceptor() -> None:
    questions = 0
    for seed in range(200):
        intact = IntactAcceptor(Random(seed))
        for _ in range(150):
            intact.step()
        assert intact.votes_given_up == 0, seed
        questions += intact.questions
    assert questions > 1000
