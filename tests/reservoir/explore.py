"""All orders of messages between proposers, readers and acceptors, one step at a time, each state once.

A message that is never delivered is a lost one, for what must hold is judged after each step. Actors are
rounds and surveys of the very classes that the program runs; each may begin at any step.
"""

from __future__ import annotations

import copy
from collections.abc import Callable, Iterator
from random import Random
from typing import Any

from honeywharf.reservoir.register import Acceptor, Asking, Quorums, Round, State, Survey
from honeywharf.reservoir.word import Change, Key, Roster, Value


class Half(Random):
    """No chance where all orders are tried anyway."""

    def random(self) -> float:
        return 0.5


HALF = Half()


class BrokenError(AssertionError):
    """A rule of the register does not hold."""


class Actor:
    """A round or a survey that may begin; never changed once made (`asking` is copied for each step)."""

    __slots__ = ("asking", "begun", "floor", "key", "over")

    def __init__(self, asking: Asking, begun: bool = False, floor: int = -1, over: bool = False) -> None:
        self.asking, self.begun, self.floor, self.over = asking, begun, floor, over
        kept = {name: value for name, value in vars(asking).items()
                if name not in ("rng", "change", "timer", "wake", "quorums", "deadline", "answer", "again")}
        held = sorted(kept.items(), key=lambda one: one[0])
        self.key = repr((begun, over, floor, held, asking.quorums.rosters))


def copied(asking: Asking) -> Any:
    """One that can be changed by itself."""
    made = copy.copy(asking)
    for name, value in vars(made).items():
        if isinstance(value, dict | set | list):
            setattr(made, name, value.copy())
    made.quorums = Quorums([])
    made.quorums.rosters = list(asking.quorums.rosters)
    return made


class Vote:
    """An acceptor's state in memory and on its disk."""

    __slots__ = ("durable", "key", "state")

    def __init__(self, state: State, durable: State) -> None:
        self.state, self.durable = state, durable
        self.key = repr((state.pack(), durable is state or durable.pack()))


class Node:
    """One state of the whole."""

    __slots__ = ("actors", "faults", "told", "votes", "wire")

    def __init__(self, votes: dict[str, Vote], actors: tuple[Actor, ...], wire: tuple[Any, ...],
                 told: dict[int, str], faults: int) -> None:
        self.votes, self.actors, self.wire, self.told, self.faults = votes, actors, wire, told, faults

    def key(self) -> int:
        """The same for states that nothing tells apart."""
        votes = tuple(vote.key for vote in self.votes.values())
        actors = tuple(actor.key for actor in self.actors)
        wire = tuple(sorted(letter[0] for letter in self.wire))
        return hash((votes, actors, wire, tuple(sorted(self.told.items())), self.faults))


class World:
    """What may happen, and what must hold."""

    def __init__(self, tries: int = 1, faults: int = 0, late_sync: bool = False,
                 wiped: Callable[[State], State] | None = None,
                 acceptor: type[Acceptor] = Acceptor) -> None:
        self.tries = tries  # of each round
        self.faults = faults  # losses of power, or wipes, in one run
        self.late_sync = late_sync  # mutation: answers go out before the disk is synced
        self.wiped = wiped  # what a wipe leaves; None: faults are losses of power
        self.acceptor = acceptor

    def steps(self, node: Node) -> Iterator[Callable[[], Node]]:
        """Everything that may happen next."""
        seen = set()
        for at, letter in enumerate(node.wire):
            if letter[0] not in seen:
                seen.add(letter[0])
                yield lambda at=at: self.deliver(node, at)  # type: ignore[misc]
        for number, actor in enumerate(node.actors):
            if not actor.begun:
                yield lambda number=number: self.begin(node, number)  # type: ignore[misc]
            elif isinstance(actor.asking, Round) and actor.asking.phase == "pause" \
                    and actor.asking.result is None and actor.asking.tries < self.tries:
                yield lambda number=number: self.act(node, number, lambda made: made.start())  # type: ignore[misc]
        for where, vote in node.votes.items():
            if vote.durable is not vote.state:
                yield lambda where=where: self.with_vote(node, where, node.votes[where].state, True)  # type: ignore[misc]
            if node.faults < self.faults and (self.wiped is not None or vote.durable is not vote.state):
                yield lambda where=where: self.fault(node, where)  # type: ignore[misc]

    def begin(self, node: Node, number: int) -> Node:
        actor = node.actors[number]
        floor = max(node.told, default=-1)
        begun = Actor(actor.asking, True, floor)
        actors = (*node.actors[:number], begun, *node.actors[number + 1:])
        return self.act(Node(node.votes, actors, node.wire, node.told, node.faults), number,
                        lambda made: made.start())

    def deliver(self, node: Node, at: int) -> Node:
        _, number, key, message, back = node.wire[at]
        wire = node.wire[:at] + node.wire[at + 1:]
        node = Node(node.votes, node.actors, wire, node.told, node.faults)
        if back:
            return self.act(node, number, lambda made: made.heard(0.0, key, message))
        vote = node.votes.get(key[0])
        if vote is None:
            return node
        state, answer = self.acceptor(vote.state).answer(message)
        letter = (repr((number, key, answer)), number, key, answer, True)
        node = self.with_vote(node, key[0], state, not self.late_sync)
        node.wire = (*node.wire, letter)
        return node

    def with_vote(self, node: Node, where: str, state: State, synced: bool) -> Node:
        old = node.votes[where]
        vote = old
        if state is not old.state or synced:
            vote = Vote(state, state if synced else old.durable)
        return Node({**node.votes, where: vote}, node.actors, node.wire, node.told, node.faults)

    def fault(self, node: Node, where: str) -> Node:
        durable = node.votes[where].durable
        made = self.with_vote(node, where, self.wiped(durable) if self.wiped is not None else durable, True)
        made.faults += 1
        return made

    def act(self, node: Node, number: int, step: Callable[[Any], Any]) -> Node:
        """Let an actor take a step, and judge its result."""
        old = node.actors[number]
        asking = copied(old.asking)
        sends = step(asking)
        told = node.told
        wire = list(node.wire)
        if asking.result is not None:
            if asking.result == "ok" and not old.over:
                told = self.judge(told, asking.value, old.floor)
            wire = [letter for letter in wire if letter[1] != number or not letter[4]]
        for key, message in sends:
            plain = {name: value for name, value in message.items() if name != "carry"}
            wire.append((repr((number, key, plain)), number, key, plain, False))
        actor = Actor(asking, True, old.floor, asking.result is not None)
        actors = (*node.actors[:number], actor, *node.actors[number + 1:])
        return Node(node.votes, actors, tuple(wire), told, node.faults)

    @staticmethod
    def judge(told: dict[int, str], value: Value, floor: int) -> dict[int, str]:
        """What was told as in force: never older than what was told before it was asked for."""
        if value["rev"] < floor:
            raise BrokenError(f"revision {value['rev']} was told after {floor}")
        shown = repr(sorted(value.items(), key=lambda one: one[0]))
        if told.get(value["rev"], shown) != shown:
            raise BrokenError(f"two contents of revision {value['rev']}: {told[value['rev']]} and {shown}")
        return {**told, value["rev"]: shown}


def explore(world: World, start: Node, most: int, seed: int | None = None) -> tuple[int, bool]:
    """(states met, whether that is all); BrokenError where a rule does not hold. `seed`: of the order."""
    rng = Random(seed) if seed is not None else None
    seen = {start.key()}
    stack = [start]
    while stack:
        node = stack.pop()
        steps = list(world.steps(node))
        if rng is not None:
            rng.shuffle(steps)
        for step in steps:
            made = step()
            key = made.key()
            if key not in seen:
                if len(seen) >= most:
                    return len(seen), False
                seen.add(key)
                stack.append(made)
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


def proposer(name: str, change: Change, epoch: int, roster: Roster, counter: int = 0,
             made: type[Round] = Round) -> Actor:
    """A round that has not begun."""
    return Actor(made((name, 1), (epoch, roster), change, 1.0, HALF, counter))


def reader(epoch: int, roster: Roster) -> Actor:
    """A survey that has not begun."""
    return Actor(Survey((epoch, roster), 1.0, HALF))


def settled(world: World, node: Node, number: int, by: set[str]) -> Node:
    """Run one actor to its end with some acceptors only; its other messages are lost."""
    node = world.begin(node, number)
    while not node.actors[number].over:
        at = next(at for at, letter in enumerate(node.wire)
                  if letter[1] == number and (letter[4] or letter[2][0] in by))
        node = world.deliver(node, at)
    wire = tuple(letter for letter in node.wire if letter[1] != number)
    return Node(node.votes, node.actors, wire, node.told, node.faults)


def members(keys: list[Key]) -> Roster:
    """A roster of these."""
    return [[where, disk, "", True] for where, disk in keys]
