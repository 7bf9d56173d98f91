"""Explores all orders of messages between proposers, readers and acceptors, and visits each state once.

The rules are checked after each step, so a message that is never delivered stands for a lost one. Actors are
writes and reads of the same classes that the program runs; each may start at any step. With `split` an
acceptor's write and its sync are two steps, and a power failure may happen between them, with the write kept
or lost; an acceptor that waits for the sync answers no requests. If the membership never changes, its members
are interchangeable: states that differ only by names count once (`alike`).
"""

from __future__ import annotations

import copy
from collections.abc import Callable, Iterator
from functools import partial
from random import Random
from typing import Any

from honeywharf.control.acceptor import Acceptor, AcceptorState
from honeywharf.control.mesh_state import (
    INITIAL_DISK,
    Change,
    Confirmation,
    Member,
    MemberId,
    Membership,
    MeshState,
    Outcome,
    member_ids,
)
from honeywharf.control.messages import DecidedMembership
from honeywharf.control.quorum import Quorums
from honeywharf.control.register import (
    Phase,
    Proposer,
    QuorumOperation,
    QuorumResult,
    QuorumWrite,
)
from honeywharf.control.register_read import QuorumRead


class FixedRandom(Random):
    """A random generator with a fixed result, because all orders are tried anyway."""

    def random(self) -> float:
        return 0.5


FIXED_RANDOM = FixedRandom()


class BrokenError(AssertionError):
    """A rule of the register does not hold."""


Orders = tuple[tuple[int, str, bool], ...]  # Answered orders: version, digest, whether it was rejected.
# The attributes of an operation with an entry for each member.
LOCAL = (
    "contacted",
    "promises",
    "accepted_by",
    "rejections",
    "answers",
)
# The attributes of an operation that do not distinguish states.
NO_STATE = ("rng", "change", "timer", "wake_at", "quorums", "deadline", "answer", "resend_at")


class Actor:
    """A write or a read that may start; it is immutable (`operation` is copied for each step)."""

    __slots__ = ("floor", "has_begun", "is_done", "keys", "operation")

    def __init__(
        self, operation: QuorumOperation, has_begun: bool = False, floor: int = -1, is_done: bool = False
    ) -> None:
        self.operation, self.has_begun, self.floor, self.is_done = operation, has_begun, floor, is_done
        self.keys: dict[bool, Any] = {}

    def _kept(self) -> list[tuple[str, Any]]:
        kept = [(name, value) for name, value in vars(self.operation).items() if name not in NO_STATE]
        return sorted(
            ((name, sorted(value) if isinstance(value, set) else value) for name, value in kept),
            key=lambda one: one[0],
        )

    @property
    def key(self) -> str:
        """Returns a text that identifies the actor's state."""
        if False not in self.keys:
            parts = (
                self.has_begun,
                self.is_done,
                self.floor,
                self._kept(),
                self.operation.quorums.memberships,
            )
            self.keys[False] = repr(parts)
        return str(self.keys[False])

    @property
    def parts(self) -> tuple[str, dict[str, str]]:
        """Returns the actor's state in two parts: the part without members, and the part of each member."""
        if True not in self.keys:
            kept = self._kept()
            rest = repr(
                (self.has_begun, self.is_done, self.floor, [one for one in kept if one[0] not in LOCAL])
            )
            of = [value for name, value in kept if name in LOCAL]
            local = {
                key[0]: repr([value.get(key) if isinstance(value, dict) else key in value for value in of])
                for key in self.operation.quorums.members()
            }
            self.keys[True] = rest, local
        made: tuple[str, dict[str, str]] = self.keys[True]
        return made


def copied(operation: QuorumOperation) -> Any:
    """Returns a copy of an operation that can be changed independently."""
    made = copy.copy(operation)
    for name, value in vars(made).items():
        if isinstance(value, dict | set | list):
            setattr(made, name, value.copy())
    made.quorums = Quorums([])
    made.quorums.memberships = list(operation.quorums.memberships)
    return made


class Envelope:
    """A message in flight from actor `number` to a member, or `back` from the member."""

    __slots__ = ("back", "key", "member", "message", "number", "short")

    def __init__(self, number: int, member: MemberId, message: Any, back: bool) -> None:
        self.number, self.member, self.message, self.back = number, member, message, back
        self.short = repr((number, back, message))
        self.key = (member, self.short)


class Vote:
    """An acceptor: its state in memory and on its disk, and the answer that is `held` until the sync."""

    __slots__ = ("durable", "held", "key", "state")

    def __init__(self, state: AcceptorState, durable: AcceptorState, held: Envelope | None = None) -> None:
        self.state, self.durable, self.held = state, durable, held
        self.key = repr((state.pack(), durable is state or durable.pack(), held and held.short))


class Node:
    """One state of the system. `wire` has the messages in flight, `committed` the reported states.

    `joined` are the machines that had their own admission on disk at some time.
    """

    __slots__ = ("actors", "committed", "faults", "joined", "orders", "votes", "wire")

    def __init__(
        self,
        votes: dict[str, Vote],
        actors: tuple[Actor, ...],
        wire: tuple[Envelope, ...],
        committed: dict[int, tuple[int, str]],
        faults: int,
        orders: Orders = (),
        joined: frozenset[MemberId] = frozenset(),
    ) -> None:
        self.joined = joined
        self.votes, self.actors, self.wire, self.committed, self.faults = (
            votes,
            actors,
            wire,
            committed,
            faults,
        )
        self.orders = orders

    def key(self, alike: bool = False) -> int:
        """Returns a key that is equal for equivalent states."""
        committed = (*sorted(self.committed.items()), self.orders, self.joined)
        if not alike:
            votes = tuple(vote.key for vote in self.votes.values())
            actors = tuple(actor.key for actor in self.actors)
            return hash(
                (votes, actors, tuple(sorted(envelope.key for envelope in self.wire)), committed, self.faults)
            )
        wires: dict[str, list[str]] = {where: [] for where in self.votes}
        for envelope in self.wire:
            wires[envelope.member[0]].append(envelope.short)
        parts = [actor.parts for actor in self.actors]
        members = sorted(
            (vote.key, tuple(local[where] for _, local in parts), tuple(sorted(wires[where])))
            for where, vote in self.votes.items()
        )
        return hash((tuple(members), tuple(rest for rest, _ in parts), committed, self.faults))


class World:
    """The possible steps, and the rules that must hold after each."""

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
        self.tries = tries  # The maximum number of attempts of each write.
        self.faults = faults  # The maximum number of power failures, wipes or duplicated messages in one run.
        self.late_sync = late_sync  # A mutation: answers of these kinds are sent before the disk is synced.
        self.wiped = wiped  # Returns the state after a wipe; without it faults are power failures.
        self.acceptor = acceptor
        self.split = split  # Whether write, sync and answer are separate steps.
        self.alike = alike  # Whether members differ only by their names.
        self.twice = twice  # Whether a message may be delivered twice.

    def steps(self, node: Node) -> Iterator[Callable[[], Node]]:
        """Yields all possible next steps."""
        seen = set()
        for at, envelope in enumerate(node.wire):
            if envelope.key in seen or (not envelope.back and self._waits(node, envelope.member[0])):
                continue
            seen.add(envelope.key)
            yield partial(self.deliver, node, at)
            if self.twice and node.faults < self.faults:
                yield partial(self.deliver, node, at, True)
        for number, actor in enumerate(node.actors):
            if not actor.has_begun:
                yield partial(self.begin, node, number)
            elif (
                isinstance(actor.operation, QuorumWrite)
                and actor.operation.phase is Phase.BACKOFF
                and actor.operation.result is None
                and actor.operation.attempts < self.tries
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
        """Starts an actor."""
        actor = node.actors[number]
        floor = max(node.committed, default=-1)
        started = Actor(actor.operation, True, floor)
        actors = (*node.actors[:number], started, *node.actors[number + 1 :])
        node = Node(node.votes, actors, node.wire, node.committed, node.faults, node.orders, node.joined)
        return self.act(node, number, lambda made: made.start())

    def deliver(self, node: Node, at: int, again: bool = False) -> Node:
        """Delivers a message; with `again` it stays in flight and is delivered once more."""
        envelope = node.wire[at]
        wire = node.wire if again else node.wire[:at] + node.wire[at + 1 :]
        node = Node(
            node.votes, node.actors, wire, node.committed, node.faults + again, node.orders, node.joined
        )
        number, key = envelope.number, envelope.member
        if envelope.back:
            return self.act(node, number, lambda made: made.received(0.0, key, envelope.message))
        vote = node.votes.get(key[0])
        if vote is None:
            return node
        state, answer = self.acceptor(vote.state).answer(envelope.message)
        reply = Envelope(number, key, answer, True)
        late = answer.KIND in self.late_sync
        if self.split and not late and state is not vote.state:
            made = Vote(state, vote.durable, reply)
        else:
            made = Vote(state, vote.durable if late else state)
            node.wire = (*node.wire, reply)
        node.votes = {**node.votes, key[0]: made}
        node.joined |= self.own_admission(key[0], made.durable)
        return node

    @staticmethod
    def own_admission(where: str, durable: AcceptorState) -> frozenset[MemberId]:
        """Returns the machine if the value on its disk has it among the members."""
        member = MemberId(where, durable.disk)
        admits = durable.value is not None and member in member_ids(durable.value.members)
        return frozenset([member] if admits else [])

    def sync(self, node: Node, where: str) -> Node:
        """Syncs an acceptor's write, and sends the answer that was held for it."""
        vote = node.votes[where]
        wire = node.wire if vote.held is None else (*node.wire, vote.held)
        votes = {**node.votes, where: Vote(vote.state, vote.state)}
        joined = node.joined | self.own_admission(where, vote.state)
        return Node(votes, node.actors, wire, node.committed, node.faults, node.orders, joined)

    def fault(self, node: Node, where: str, kept: bool) -> Node:
        """Fails the power or the disk of an acceptor; with `kept` an unsynced write survives."""
        vote = node.votes[where]
        remaining = vote.state if kept else vote.durable
        remaining = remaining if self.wiped is None else self.wiped(remaining)
        votes = {**node.votes, where: Vote(remaining, remaining)}
        joined = node.joined | self.own_admission(where, remaining)
        return Node(votes, node.actors, node.wire, node.committed, node.faults + 1, node.orders, joined)

    def act(self, node: Node, number: int, step: Callable[[Any], Any]) -> Node:
        """Lets an actor take a step, and checks its result."""
        old = node.actors[number]
        operation = copied(old.operation)
        sends = step(operation)
        committed, orders = node.committed, node.orders
        wire = list(node.wire)
        if operation.result is not None:
            if operation.result is QuorumResult.OK and not old.is_done:
                committed = self.check_result(committed, operation.value, old.floor)
                self.check_joined(operation.value, node.joined)
                orders = self.check_order(orders, getattr(operation, "answer", None))
            wire = [envelope for envelope in wire if envelope.number != number or not envelope.back]
        wire += [Envelope(number, send.to, send.request, False) for send in sends]
        actor = Actor(operation, True, old.floor, operation.result is not None)
        actors = (*node.actors[:number], actor, *node.actors[number + 1 :])
        return Node(node.votes, actors, tuple(wire), committed, node.faults, orders, node.joined)

    @staticmethod
    def check_joined(value: MeshState, joined: frozenset[MemberId]) -> None:
        """Checks that each machine that has got a vote had accepted the value that gave it the vote."""
        for member in member_ids(value.members):
            if member.disk != INITIAL_DISK and member not in joined:
                raise BrokenError(f"{member.address} has a vote, and has not accepted its admission")

    @staticmethod
    def check_result(
        committed: dict[int, tuple[int, str]], value: MeshState, floor: int
    ) -> dict[int, tuple[int, str]]:
        """Checks a reported state against `floor`, the newest one reported before its actor started."""
        rev, version = value.revision, value.version
        if rev < floor:
            raise BrokenError(f"revision {rev} was reported after {floor}")
        shown = repr(value.without_history())
        if committed.get(rev, (0, shown))[1] != shown:
            raise BrokenError(f"two contents of revision {rev}: {committed[rev][1]} and {shown}")
        for other, (known, _) in committed.items():
            if (other - rev) * (known - version) < 0:
                raise BrokenError(f"revision {other} has r{known}, revision {rev} has r{version}")
        return {**committed, rev: (version, shown)}

    @staticmethod
    def check_order(orders: Orders, answer: object) -> Orders:
        """Checks that each version is confirmed with one content only, and a rejected content never."""
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
    """Returns the number of visited states and whether these are all. Raises BrokenError for a violated rule.

    `seed` determines the order of steps; `counts` gets the number of states visited so far, for the handler
    of an error.
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


def random_run(world: World, start: Node, rng: Random, most: int = 400) -> int:
    """Runs random steps to the end; returns their number."""
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
    membership: Membership,
    counter: int = 0,
    made: type[QuorumWrite] = QuorumWrite,
) -> Actor:
    """Returns a write that has not started."""
    return Actor(
        made(Proposer(name, 1), DecidedMembership(epoch, membership), change, 1.0, FIXED_RANDOM, counter)
    )


def reader(epoch: int, membership: Membership, made: type[QuorumRead] = QuorumRead) -> Actor:
    """Returns a read that has not started."""
    return Actor(made(DecidedMembership(epoch, membership), 1.0, FIXED_RANDOM))


def run_until(world: World, node: Node, number: int, by: set[str], until: Callable[[Node], bool]) -> Node:
    """Runs one actor with only the acceptors `by` until a condition holds; other messages stay in flight."""
    node = world.begin(node, number)
    while not until(node):
        node = next((world.sync(node, where) for where, vote in node.votes.items() if vote.held), node)
        at = next(
            at
            for at, envelope in enumerate(node.wire)
            if envelope.number == number and (envelope.back or envelope.member[0] in by)
        )
        node = world.deliver(node, at)
    return node


def run_to_end(world: World, node: Node, number: int, by: set[str]) -> Node:
    """Runs one actor to its end with only the acceptors `by`; its other messages are lost."""
    node = run_until(world, node, number, by, lambda node: node.actors[number].is_done)
    wire = tuple(envelope for envelope in node.wire if envelope.number != number)
    return Node(node.votes, node.actors, wire, node.committed, node.faults, node.orders, node.joined)


def members(keys: list[MemberId]) -> Membership:
    """Returns a membership of these members."""
    return tuple(Member(where, disk, "", True) for where, disk in keys)
