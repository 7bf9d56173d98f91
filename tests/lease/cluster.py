"""Simulated machines that grant and acquire leases.

Their clocks drift and are stepped; they freeze, restart and are partitioned, and the membership changes.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable, Sequence
from functools import partial
from typing import Any, cast

from honeywharf import rpc_methods
from honeywharf.lease.acquisition import LeaseAcquisition
from honeywharf.lease.grantor import MEMBER_REMOVAL, Grantor, Role
from honeywharf.lease.lease import CLOCK_RATE_ERROR
from honeywharf.transport.host import Address, Host

Key = tuple[str, str]  # The address and the name of the disk.

PORT = 7620
MEMBERSHIP_INTERVAL_S = (3.0, 8.0)  # The range of the time between changes of the membership.
PAUSE_S = (0.002, 0.04)  # The range of the pause after a rejected or ended acquisition.


class ScheduledCall:
    """A call that is scheduled and may be cancelled."""

    def __init__(self, call: Callable[[], None]) -> None:
        self.call: Callable[[], None] | None = call

    def cancel(self) -> None:
        self.call = None


class Node:
    """One machine: its grantor, and its acquisition while it requests the role."""

    def __init__(self, cluster: Cluster, name: str) -> None:
        self.cluster, self.name, self.key = cluster, name, (f"{name}:{PORT}", "disk")
        self.rate = 1 + cluster.rng.choice((-CLOCK_RATE_ERROR, CLOCK_RATE_ERROR))
        self.offset, self.step = cluster.rng.uniform(10.0, 900.0), 0.0
        self.epoch = self.accepted = 1
        self.incarnation, self.frozen = 0, False
        self.held_back: list[Callable[[], None]] = []
        self.start()

    def start(self) -> None:
        self.incarnation += 1
        self.held_back = []
        self.acquisition: LeaseAcquisition | None = None
        self.grantor = Grantor(self.now(), lambda kind, scope: 1)
        self.after(self.cluster.rng.uniform(0.0, 0.1), self.acquire)

    # The methods of a host.

    def now(self) -> float:
        return self.offset + self.rate * self.cluster.time

    def wall_time(self) -> float:
        return 1.7e9 + self.step + self.cluster.time

    def after(self, seconds: float, call: Callable[[], None]) -> ScheduledCall:
        due, life = ScheduledCall(call), self.incarnation
        self.cluster.at(
            seconds / self.rate, lambda: self.run(life, lambda: due.call() if due.call is not None else None)
        )
        return due

    def run(self, life: int, call: Callable[[], None]) -> None:
        if life == self.incarnation:
            if self.frozen:
                self.held_back.append(lambda: self.run(life, call))
            else:
                call()

    def resume(self) -> None:
        self.frozen = False
        calls, self.held_back = self.held_back, []
        self.cluster.rng.shuffle(calls)
        for call in calls:
            call()

    # The methods of a holder.

    def acquire(self) -> None:
        self.acquisition = LeaseAcquisition(
            cast("Host", self),
            self.call,
            self.membership,
            f"{self.name}/{self.incarnation}",
            [[Role(MEMBER_REMOVAL, "", 0)]],
            self.ended,
        )
        self.acquisition.begin(self.acquired)

    def membership(self) -> tuple[int, Sequence[Key]]:
        return self.epoch, self.cluster.memberships[self.epoch]

    def acquired(self, granted: bool) -> None:
        if granted:
            assert self.acquisition is not None
            self.cluster.granted.append((self.cluster.time, self.name, self.acquisition.numbers()[0]))
            self.after(self.cluster.rng.uniform(0.0, 4.0), partial(self.release, self.acquisition))
        else:
            self.ended()

    def release(self, acquisition: LeaseAcquisition) -> None:
        if self.acquisition is acquisition:
            acquisition.end()
            self.ended()

    def ended(self) -> None:
        self.acquisition = None
        self.after(self.cluster.rng.uniform(*PAUSE_S), self.acquire)

    def call(self, to: Address, method: str, args: Any, within: float, done: Callable[[Any], None]) -> None:
        answered: list[bool] = []
        life = self.incarnation

        def finish(answer: Any) -> None:
            if not answered and life == self.incarnation:  # A connection ends with its process.
                answered.append(True)
                done(answer)

        self.after(within, lambda: finish(None))
        self.cluster.carry(
            self,
            self.cluster.nodes[to[0]],
            lambda there: there.handle_request(
                method, args, lambda answer: self.cluster.carry(there, self, lambda here: finish(answer))
            ),
        )

    def handle_request(self, method: str, args: Any, reply: Callable[[Any], None]) -> None:
        if method == rpc_methods.LEASE_REQUEST:
            kind, scope, slot, holder, number, epoch, _ = args
            self.grantor.adopt_epoch(self.now(), self.epoch, self.accepted)
            reply(self.grantor.request(self.now(), Role(kind, scope, slot), holder, number, epoch))
        else:
            self.grantor.release(Role(*args[:3]), args[3], args[4])

    def holds(self) -> bool:
        return not self.frozen and self.acquisition is not None and self.acquisition.holds()


class Cluster:
    """Five machines, three of them members. `violations` has the times and names of several holders."""

    def __init__(self, seed: int, steps: bool = True) -> None:
        self.rng, self.time, self.order = random.Random(seed), 0.0, 0
        self.steps = steps  # Whether the time of day is stepped.
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.cuts: set[tuple[str, str]] = set()
        self.granted: list[tuple[float, str, int]] = []
        self.violations: list[tuple[float, list[str]]] = []
        self.nodes: dict[str, Node] = {}
        for name in [f"10.0.0.{at}" for at in range(1, 6)]:
            self.nodes[name] = Node(self, name)
        self.memberships: dict[int, list[Key]] = {1: [self.nodes[name].key for name in list(self.nodes)[:3]]}
        self.at(2.0, self.inject_fault)
        self.at(3.0, self.change_membership)

    def at(self, seconds: float, call: Callable[[], None]) -> None:
        self.order += 1
        heapq.heappush(self.events, (self.time + max(0.0, seconds), self.order, call))

    def carry(self, one: Node, other: Node, do: Callable[[Node], None]) -> None:
        if self.rng.random() < 0.01:
            return
        life = other.incarnation
        late = self.rng.uniform(0.2, 1.5) if self.rng.random() < 0.005 else 0.0
        self.at(
            self.rng.uniform(0.0002, 0.002) + late,
            lambda: other.run(life, lambda: do(other)) if (one.name, other.name) not in self.cuts else None,
        )

    def inject_fault(self) -> None:
        """Freezes, partitions or restarts one machine, or steps its time of day."""
        self.at(self.rng.uniform(0.1, 0.9), self.inject_fault)
        node = self.rng.choice(list(self.nodes.values()))
        kind = self.rng.choice(("freeze", "cut", "start", "wall"))
        if self.rng.random() < 0.6:  # The fault hits the holder, if there is one.
            node = next((each for each in self.nodes.values() if each.holds()), node)
        if kind == "freeze" and not node.frozen:
            node.frozen = True
            self.at(self.rng.uniform(0.05, 2.5), node.resume)
        elif kind == "cut":
            pairs = {
                (a, b)
                for other in self.nodes
                for a, b in ((node.name, other), (other, node.name))
                if other != node.name and self.rng.random() < 0.8
            }
            self.cuts |= pairs
            self.at(self.rng.uniform(0.5, 2.5), lambda: self.cuts.difference_update(pairs))
        elif kind == "start":
            node.frozen = False
            node.start()
        elif self.steps:
            node.step += self.rng.uniform(-500.0, 500.0)

    def change_membership(self) -> None:
        """Lets a majority of the old membership accept another one, which is decided then."""
        self.at(self.rng.uniform(*MEMBERSHIP_INTERVAL_S), self.change_membership)
        epoch = max(self.memberships)
        old = self.memberships[epoch]
        keys = [node.key for node in self.nodes.values()]
        fresh = [key for key in keys if key not in old]
        new = [*self.rng.sample(old, 2), self.rng.choice(fresh)]
        self.memberships[epoch + 1] = new
        accepting = {*self.rng.sample(old, 2), *self.rng.sample(new, 2)}
        for node in self.nodes.values():
            if node.key in accepting:
                node.accepted = epoch + 1
        for node in self.nodes.values():
            late = 0.0 if self.rng.random() < 0.6 else self.rng.uniform(0.0, 2.0)
            self.at(late, partial(self.learn, node, epoch + 1))

    @staticmethod
    def learn(node: Node, epoch: int) -> None:
        node.epoch = max(node.epoch, epoch)
        node.accepted = max(node.accepted, node.epoch)

    def run(self, until: float) -> Cluster:
        """Lets time pass; after each step at most one machine may hold the role."""
        while self.events and self.events[0][0] <= until and not self.violations:
            self.time, _, call = heapq.heappop(self.events)
            call()
            holders = [node.name for node in self.nodes.values() if node.holds()]
            if len(holders) > 1:
                self.violations.append((self.time, holders))
        return self
