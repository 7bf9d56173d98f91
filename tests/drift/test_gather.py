"""A register that has gone back gives up its vote; an honest one keeps it, in whatever order beats come."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from random import Random
from types import SimpleNamespace
from typing import Any, cast

from honeywharf.control.acceptor import AcceptorState
from honeywharf.control.mesh_state import MemberId
from honeywharf.control.messages import DiskMismatch, ProposalNumber, Read
from honeywharf.drift.gather import Gather
from honeywharf.programs.control import ControlNode
from tests.control.cluster import ControlCluster
from tests.drift.test_history import Shelf

PEER = ("10.0.0.9", 7620)


def older_copy(cluster: ControlCluster, ip: str) -> ControlNode:
    """Two words; then one machine's disk gives back what it held before the second."""
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


def lossy(program: ControlNode, many: int) -> list[str]:
    """Lose the first so many questions of one machine; names of those lost."""
    lost: list[str] = []
    call = program.caller.call

    def told(to: Any, name: str, *rest: Any) -> None:
        if name == "drift.older" and len(lost) < many:
            lost.append(name)
        else:
            call(to, name, *rest)

    program.caller = cast(Any, SimpleNamespace(call=told))
    return lost


def test_a_question_that_is_lost_is_asked_again() -> None:
    cluster = ControlCluster(3)
    cluster.run(0.1)
    lost = [lossy(cluster.programs[ip], 1) for ip in cluster.ips[:2]]
    back = older_copy(cluster, "10.0.0.3")
    cluster.run(1.5)
    assert lost == [["drift.older"]] * 2
    assert back.gather.went_back == 1
    assert back.replica.state.disk != "first"
    lines = [line for ip in cluster.ips[:2] for line in cluster.network.machines[ip].lines]
    assert sum("the register of 10.0.0.3" in line for line in lines) == 1, "the other came later"


def test_a_disk_that_fails_at_that_moment_gives_no_vote_either() -> None:
    cluster = ControlCluster(3)
    cluster.run(0.5)
    replica = cluster.programs["10.0.0.3"].replica
    gather = cluster.programs["10.0.0.3"].gather

    def fails(state: AcceptorState) -> None:
        raise OSError("no room")

    cast(Any, replica.store).save = fails
    answers: list[Any] = []
    gather._told_older(["first", [9, "n", 1]], answers.append, PEER)
    assert answers == [True]
    asked = Read("first", replica.state.decided)
    answer = replica.voter.vote(asked, None)
    assert answer is None or isinstance(answer, DiskMismatch)


class Honest:
    """A register whose disk keeps its word, one that hears its beats, and all that is on its way."""

    def __init__(self, chance: Random) -> None:
        self.chance, self.ballot, self.given_up, self.asked = chance, 0, 0, 0
        self.bag: list[Callable[[], None]] = []
        self.state = AcceptorState("first")
        self.accused, self.other = self._gather(), self._gather()

    def _gather(self) -> Gather:
        replica = SimpleNamespace(
            methods={},
            membership=SimpleNamespace(),
            local_address="10.0.0.1:7620",
            discard_vote=self._discard_vote,
        )
        program: Any = SimpleNamespace(
            host=Shelf(),
            replica=replica,
            caller=SimpleNamespace(call=self._ask),
            operator=SimpleNamespace(routes=SimpleNamespace(add=lambda *path: None)),
        )
        return Gather(program)

    def _discard_vote(self) -> None:
        self.given_up += 1

    def _ask(self, to: object, name: str, args: Any, within: float, answer: Callable[[Any], None]) -> None:
        self.asked += 1
        self.bag.append(lambda: self.accused._told_older(args, answer, PEER))

    def step(self) -> None:
        """It accepts more, or tells how far it is, or its machine is another one; or something arrives."""
        luck = self.chance.random()
        if luck < 0.25:
            self.ballot += 1
            accepted = ProposalNumber(self.ballot, "n", 1)
            self.state = replace(self.state, accepted=accepted, promised=accepted)
        elif luck < 0.5:
            key, told = MemberId("10.0.0.1:7620", self.state.disk), self.state.accepted
            self.bag.append(lambda: self.other.beat(key, told))
        elif luck < 0.53:  # a joiner with an empty disk takes the address over
            self.state = AcceptorState(self.chance.randbytes(4).hex())
        elif self.bag:
            cast(Any, self.accused.replica).state = self.state
            at = self.chance.randrange(len(self.bag))
            self.bag[at]()
            if self.chance.random() < 0.8:  # else it comes once more
                del self.bag[at]


def test_no_order_of_beats_takes_the_vote_of_an_honest_register() -> None:
    asked = 0
    for seed in range(200):
        honest = Honest(Random(seed))
        for _ in range(150):
            honest.step()
        assert honest.given_up == 0, seed
        asked += honest.asked
    assert asked > 1000
