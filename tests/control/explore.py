"""All orders of messages between proposers, readers and acceptors, one step at a time, each state once.

A message that is never delivered is a lost one, for what must hold is judged after each step. Actors are
rounds and surveys of the very classes that the program runs; each may begin at any step. With `split` an
acceptor's write and its sync are two steps, and the power may go between them, with the write kept or lost;
while it waits for the sync it answers nobody. Where the roster never changes, its members are alike: states
that differ by names only count once (`alike`).
"""

from __future__ import annotations

import copy
from collections.abc import Callable, Iterator
from functools import partial
from random import Random
from typing import Any

from honeywharf.control.acceptor import Acceptor, AcceptorState
from honeywharf.control.mesh_state import (
    Change,
    Confirmation,
    Member,
    MemberId,
    Membership,
    MeshState,
    Outcome,
)
from honeywharf.control.messages import DecidedMembership
from honeywharf.control.quorum import Quorums
from honeywharf.control.register import (
    Phase,
    Proposer,
    QuorumOperation,
    QuorumRead,
    QuorumResult,
    QuorumWrite,
)


class Half(Random):
    """No chance where all orders are tried anyway."""

    def random(self) -> float:
        return 0.5


HALF = Half()


class BrokenError(AssertionError):
    """A rule of the register does not hold."""


Orders = tuple[tuple[int, str, bool], ...]  # answered: version, digest, whether it was refused
LOCAL = (
    "contacted",
    "promises",
    "accepted_by",
    "rejections",
    "answers",
)  # what an actor holds of each member
NO_STATE = ("rng", "change", "timer", "wake_at", "quorums", "deadline", "answer", "resend_at")


class Actor:
    """A round or a survey that may begin; never changed once made (`asking` is copied for each step)."""

    __slots__ = ("asking", "begun", "floor", "keys", "over")

    def __init__(
        self, asking: QuorumOperation, begun: bool = False, floor: int = -1, over: bool = False
    ) -> None:
        self.asking, self.begun, self.floor, self.over = asking, begun, floor, over
        self.keys: dict[bool, Any] = {}

    def _kept(self) -> list[tuple[str, Any]]:
        kept = [(name, value) for name, value in vars(self.asking).items() if name not in NO_STATE]
        return sorted(
            ((name, sorted(value) if isinstance(value, set) else value) for name, value in kept),
            key=lambda one: one[0],
        )

    @property
    def key(self) -> str:
        """All of its state."""
        if False not in self.keys:
            parts = (self.begun, self.over, self.floor, self._kept(), self.asking.quorums.memberships)
            self.keys[False] = repr(parts)
        return str(self.keys[False])

    @property
    def parts(self) -> tuple[str, dict[str, str]]:
        """The same as what belongs to no member, and what belongs to each."""
        if True not in self.keys:
            kept = self._kept()
            rest = repr((self.begun, self.over, self.floor, [one for one in kept if one[0] not in LOCAL]))
            of = [value for name, value in kept if name in LOCAL]
            local = {
                key[0]: repr([value.get(key) if isinstance(value, dict) else key in value for value in of])
                for key in self.asking.quorums.members()
            }
            self.keys[True] = rest, local
        made: tuple[str, dict[str, str]] = self.keys[True]
        return made


def copied(asking: QuorumOperation) -> Any:
    """One that can be changed by itself."""
    made = copy.copy(asking)
    for name, value in vars(made).items():
        if isinstance(value, dict | set | list):
            setattr(made, name, value.copy())
    made.quorums = Quorums([])
    made.quorums.memberships = list(asking.quorums.memberships)
    return made


class Letter:
    """A message on its way to a member (`back`: from it), of one actor."""

    __slots__ = ("back", "key", "member", "message", "number", "short")

    def __init__(self, number: int, member: MemberId, message: Any, back: bool) -> None:
        self.number, self.member, self.message, self.back = number, member, message, back
        self.short = repr((number, back, message))
        self.key = (member, self.short)


class Vote:
    """An acceptor's state in memory and on its disk, and the answer that waits for the sync."""

    __slots__ = ("durable", "held", "key", "state")

    def __init__(self, state: AcceptorState, durable: AcceptorState, held: Letter | None = None) -> None:
        self.state, self.durable, self.held = state, durable, held
        self.key = repr((state.pack(), durable is state or durable.pack(), held and held.short))


class Node:
    """One state of the whole."""

    __slots__ = ("actors", "faults", "orders", "told", "votes", "wire")

    def __init__(
        self,
        votes: dict[str, Vote],
        actors: tuple[Actor, ...],
        wire: tuple[Letter, ...],
        told: dict[int, tuple[int, str]],
        faults: int,
        orders: Orders = (),
    ) -> None:
        self.votes, self.actors, self.wire, self.told, self.faults = votes, actors, wire, told, faults
        self.orders = orders

    def key(self, alike: bool = False) -> int:
        """The same for states that nothing tells apart."""
        told = (*sorted(self.told.items()), self.orders)
        if not alike:
            votes = tuple(vote.key for vote in self.votes.values())
            actors = tuple(actor.key for actor in self.actors)
            return hash((votes, actors, tuple(sorted(letter.key for letter in self.wire)), told, self.faults))
        wires: dict[str, list[str]] = {where: [] for where in self.votes}
        for letter in self.wire:
            wires[letter.member[0]].append(letter.short)
        parts = [actor.parts for actor in self.actors]
        members = sorted(
            (vote.key, tuple(local[where] for _, local in parts), tuple(sorted(wires[where])))
            for where, vote in self.votes.items()
        )
        return hash((tuple(members), tuple(rest for rest, _ in parts), told, self.faults))


class World:
    """What may happen, and what must hold."""

    def __init__(
        self,
        tries: int = 1,
        faults: int = 0,
        late_sync: tuple[str, ...] = (),
        wiped: Callable[[AcceptorState], AcceptorState] | None = None,
        acceptor: type[Acceptor] = Acceptor,
        split: bool = False,
        alike: bool = False,
        twice: bool = False,
    ) -> None:
        self.tries = tries  # of each round
        self.faults = faults  # losses of power, wipes, or messages that come twice, in one run
        self.late_sync = late_sync  # mutation: answers of these kinds go out before the disk is synced
        self.wiped = wiped  # what a wipe leaves; None: faults are losses of power
        self.acceptor = acceptor
        self.split = split  # write, sync and answer are steps of their own
        self.alike = alike  # members may be told apart by nothing but their names
        self.twice = twice  # a message may come twice

    def steps(self, node: Node) -> Iterator[Callable[[], Node]]:
        """Everything that may happen next."""
        seen = set()
        for at, letter in enumerate(node.wire):
            if letter.key in seen or (not letter.back and self._waits(node, letter.member[0])):
                continue
            seen.add(letter.key)
            yield partial(self.deliver, node, at)
            if self.twice and node.faults < self.faults:
                yield partial(self.deliver, node, at, True)
        for number, actor in enumerate(node.actors):
            if not actor.begun:
                yield partial(self.begin, node, number)
            elif (
                isinstance(actor.asking, QuorumWrite)
                and actor.asking.phase is Phase.BACKOFF
                and actor.asking.result is None
                and actor.asking.attempts < self.tries
            ):
                yield partial(self.act, node, number, lambda made: made.start())
        for where, vote in node.votes.items():
            yield from self._disk_steps(node, where, vote)

    @staticmethod
    def _waits(node: Node, where: str) -> bool:
        return where in node.votes and node.votes[where].held is not None

    def _disk_steps(self, node: Node, where: str, vote: Vote) -> Iterator[Callable[[], Node]]:
        if vote.durable is not vote.state or vote.held is not None:
            yield partial(self.sync, node, where)
        if node.faults < self.faults and (self.wiped is not None or vote.durable is not vote.state):
            yield partial(self.fault, node, where, False)
            if self.split and self.wiped is None:
                yield partial(self.fault, node, where, True)

    def begin(self, node: Node, number: int) -> Node:
        """An actor begins."""
        actor = node.actors[number]
        floor = max(node.told, default=-1)
        begun = Actor(actor.asking, True, floor)
        actors = (*node.actors[:number], begun, *node.actors[number + 1 :])
        node = Node(node.votes, actors, node.wire, node.told, node.faults, node.orders)
        return self.act(node, number, lambda made: made.start())

    def deliver(self, node: Node, at: int, again: bool = False) -> Node:
        """A message comes; `again`: it will come once more."""
        letter = node.wire[at]
        wire = node.wire if again else node.wire[:at] + node.wire[at + 1 :]
        node = Node(node.votes, node.actors, wire, node.told, node.faults + again, node.orders)
        number, key = letter.number, letter.member
        if letter.back:
            return self.act(node, number, lambda made: made.received(0.0, key, letter.message))
        vote = node.votes.get(key[0])
        if vote is None:
            return node
        state, answer = self.acceptor(vote.state).answer(letter.message)
        reply = Letter(number, key, answer, True)
        late = answer.KIND in self.late_sync
        if self.split and not late and state is not vote.state:
            made = Vote(state, vote.durable, reply)
        else:
            made = Vote(state, vote.durable if late else state)
            node.wire = (*node.wire, reply)
        node.votes = {**node.votes, key[0]: made}
        return node

    def sync(self, node: Node, where: str) -> Node:
        """What was written is safe, and what waited for that goes out."""
        vote = node.votes[where]
        wire = node.wire if vote.held is None else (*node.wire, vote.held)
        votes = {**node.votes, where: Vote(vote.state, vote.state)}
        return Node(votes, node.actors, wire, node.told, node.faults, node.orders)

    def fault(self, node: Node, where: str, kept: bool) -> Node:
        """The power goes, or the disk; `kept`: what was not synced is there nevertheless."""
        vote = node.votes[where]
        left = vote.state if kept else vote.durable
        left = left if self.wiped is None else self.wiped(left)
        votes = {**node.votes, where: Vote(left, left)}
        return Node(votes, node.actors, node.wire, node.told, node.faults + 1, node.orders)

    def act(self, node: Node, number: int, step: Callable[[Any], Any]) -> Node:
        """Let an actor take a step, and judge its result."""
        old = node.actors[number]
        asking = copied(old.asking)
        sends = step(asking)
        told, orders = node.told, node.orders
        wire = list(node.wire)
        if asking.result is not None:
            if asking.result is QuorumResult.OK and not old.over:
                told = self.judge(told, asking.value, old.floor)
                orders = self.judge_order(orders, getattr(asking, "answer", None))
            wire = [letter for letter in wire if letter.number != number or not letter.back]
        wire += [Letter(number, send.to, send.request, False) for send in sends]
        actor = Actor(asking, True, old.floor, asking.result is not None)
        actors = (*node.actors[:number], actor, *node.actors[number + 1 :])
        return Node(node.votes, actors, tuple(wire), told, node.faults, orders)

    @staticmethod
    def judge(told: dict[int, tuple[int, str]], value: MeshState, floor: int) -> dict[int, tuple[int, str]]:
        """What was told as in force: never older than what was told before it was asked for."""
        rev, version = value.revision, value.version
        if rev < floor:
            raise BrokenError(f"revision {rev} was told after {floor}")
        shown = repr(value.without_history())
        if told.get(rev, (0, shown))[1] != shown:
            raise BrokenError(f"two contents of revision {rev}: {told[rev][1]} and {shown}")
        for other, (known, _) in told.items():
            if (other - rev) * (known - version) < 0:
                raise BrokenError(f"revision {other} has r{known}, revision {rev} has r{version}")
        return {**told, rev: (version, shown)}

    @staticmethod
    def judge_order(orders: Orders, answer: object) -> Orders:
        """One content for each version is ever confirmed, and what was refused is not."""
        if not isinstance(answer, Confirmation):
            return orders
        version, digest = answer.version, answer.digest
        refused = answer.outcome is Outcome.CONFLICT
        for other_version, other, other_refused in orders:
            if other_version != version or (refused and other_refused):
                continue
            if (other == digest) == (refused != other_refused):
                raise BrokenError(f"r{version}: {other} and {digest}, refused: {other_refused}, {refused}")
        return tuple(sorted({*orders, (version, digest, refused)}))


def explore(
    world: World, start: Node, most: int, seed: int | None = None, counts: list[int] | None = None
) -> tuple[int, bool]:
    """(states met, whether that is all); BrokenError where a rule does not hold. `seed`: of the order.

    `counts`, where given, gets the states met so far, for whoever catches the error.
    """
    rng = Random(seed) if seed is not None else None
    seen = {start.key(world.alike)}
    stack = [start]
    while stack:
        node = stack.pop()
        steps = list(world.steps(node))
        if rng is not None:
            rng.shuffle(steps)
        for step in steps:
            made = step()
            key = made.key(world.alike)
            if key not in seen:
                if len(seen) >= most:
                    return len(seen), False
                seen.add(key)
                stack.append(made)
        if counts is not None:
            counts[:] = [len(seen)]
    return len(seen), True


def walk(world: World, start: Node, rng: Random, most: int = 400) -> int:
    """One run by chance, to its end; steps taken."""
    node = start
    for count in range(most):
        steps = list(world.steps(node))
        if not steps:
            return count
        node = rng.choice(steps)()
    return most


def proposer(
    name: str,
    change: Change,
    epoch: int,
    roster: Membership,
    counter: int = 0,
    made: type[QuorumWrite] = QuorumWrite,
) -> Actor:
    """A round that has not begun."""
    return Actor(made(Proposer(name, 1), DecidedMembership(epoch, roster), change, 1.0, HALF, counter))


def reader(epoch: int, roster: Membership, made: type[QuorumRead] = QuorumRead) -> Actor:
    """A survey that has not begun."""
    return Actor(made(DecidedMembership(epoch, roster), 1.0, HALF))


def along(world: World, node: Node, number: int, by: set[str], until: Callable[[Node], bool]) -> Node:
    """Run one actor with some acceptors only, until something holds; its other messages stay on their way."""
    node = world.begin(node, number)
    while not until(node):
        node = next((world.sync(node, where) for where, vote in node.votes.items() if vote.held), node)
        at = next(
            at
            for at, letter in enumerate(node.wire)
            if letter.number == number and (letter.back or letter.member[0] in by)
        )
        node = world.deliver(node, at)
    return node


def settled(world: World, node: Node, number: int, by: set[str]) -> Node:
    """Run one actor to its end with some acceptors only; its other messages are lost."""
    node = along(world, node, number, by, lambda node: node.actors[number].over)
    wire = tuple(letter for letter in node.wire if letter.number != number)
    return Node(node.votes, node.actors, wire, node.told, node.faults, node.orders)


def members(keys: list[MemberId]) -> Membership:
    """A membership of these."""
    return tuple(Member(where, disk, "", True) for where, disk in keys)
