"""Checks the history of all calls of several operators and their answers for linearizability.

Up to eight orders are in flight at once, from two operators, to any machine. Answers are lost and orders
retried; machines are killed, wiped, partitioned, frozen or lose power, and their clocks are stepped. At most
one content is confirmed for each version, a read is no older than what was confirmed before it started, and
the evacuations that are read correspond to some order of their calls.
"""

from __future__ import annotations

import os
from itertools import count
from typing import NamedTuple

import pytest

from honeywharf.control.mesh_state import MeshState
from tests.control.cluster import Call
from tests.control.test_runs import FaultRun

RUNS = int(os.environ.get("RUNS", "6"))
MAX_IN_FLIGHT = 8
LOST_ANSWERS = 0.3
HELD_UP_ORDERS, MAX_HELD_UP_S = 0.2, 4.0  # The share of orders whose packets the network holds up.
ZONES = "abc"


class Order(NamedTuple):
    """A call that an operator may retry. `key` is (version, content), or (zone, whether to begin)."""

    path: str
    body: bytes
    key: tuple[object, object]


class Event(NamedTuple):
    """One call of the history; `status` is 0 if the answer was lost or missing."""

    order: Order
    began: float
    ended: float
    status: int


class ReadEvent(NamedTuple):
    """A state that a quorum read returned."""

    began: float
    ended: float
    state: MeshState


class Operators(FaultRun):
    """Two operators and a reader, during the faults of a run."""

    def __init__(self, seed: int, count: int) -> None:
        super().__init__(seed, count)
        self.orders: list[Order] = []
        self.in_flight: list[tuple[Order, float, Call]] = []
        self.events: list[Event] = []
        self.states: list[ReadEvent] = []
        self.numbers = count_from(1)

    def operate(self) -> None:
        """Receives or loses answers; sends new orders, and retries old ones."""
        self.collect()
        if len(self.in_flight) < MAX_IN_FLIGHT and self.rng.random() < 0.5:
            self.order(self.draw())
        if self.rng.random() < 0.3:
            self.read()
        if self.rng.random() < 0.02:
            machine = self.rng.choice(list(self.cluster.network.machines.values()))
            machine.clock_step = self.rng.choice((-3600.0, 0.0, 2.0, 3600.0))

    def draw(self) -> Order:
        """Draws a new version, a version that is in use, an evacuation, or an old order."""
        chance = self.rng.random()
        if self.orders and chance < 0.45:
            return self.rng.choice(self.orders[-30:])
        if chance < 0.65:
            zone, begin = self.rng.choice(ZONES), self.rng.random() < 0.5
            path = f"/api/evacuations/{zone}/{'start' if begin else 'complete'}"
            return Order(path, b"", (zone, begin))
        in_use = bool(self.orders) and chance < 0.85
        version = self.rng.choice((0, 1, 2)) + self.version if in_use else next(self.numbers) + self.version
        self.version = max(self.version, version)
        content = self.rng.randbytes(6).hex()
        body = f"r{version} {content}".encode()
        return Order("/api/configuration/replace", body, (version, content))

    def order(self, order: Order) -> None:
        """Sends an order to a random machine."""
        self.orders.append(order)
        ip = self.rng.choice(list(self.cluster.network.machines))
        now, delay = self.cluster.network.time, 0.0
        if self.rng.random() < HELD_UP_ORDERS:
            delay = self.rng.uniform(0.0, MAX_HELD_UP_S)
        self.in_flight.append((order, now, self.cluster.call(ip, "POST", order.path, order.body, delay)))

    def read(self) -> None:
        """Reads the committed state from a random machine."""
        ip = self.rng.choice(list(self.cluster.network.machines))
        began = self.cluster.network.time
        if not self.cluster.network.machines[ip].on:
            return

        def done(state: MeshState | None) -> None:
            if state is not None:
                self.states.append(ReadEvent(began, self.cluster.network.time, state))

        self.cluster.programs[ip].replica.read(0.8, done)

    def collect(self) -> None:
        """Collects the answers; some are lost, and an operator waits at most one second."""
        now, remaining = self.cluster.network.time, []
        for order, began, call in self.in_flight:
            if call.answers or now - began > 1.0:
                call.give_up()
                lost = self.rng.random() < LOST_ANSWERS
                self.events.append(Event(order, began, now, 0 if lost else call.status))
            else:
                remaining.append((order, began, call))
        self.in_flight = remaining


def count_from(first: int) -> count[int]:
    """Returns consecutive numbers."""
    return count(first)


def check(operators: Operators) -> None:
    """Checks that the history is that of one register."""
    replaces = [event for event in operators.events if isinstance(event.order.key[0], int)]
    confirmed: dict[object, object] = {}
    for event in replaces:
        if event.status == 200:
            version, content = event.order.key
            assert confirmed.setdefault(version, content) == content, f"two contents of r{version}"
    for event in replaces:
        version, content = event.order.key
        assert event.status in (0, 200, 409, 503)
        if event.status == 409:
            assert confirmed.get(version) != content, f"r{version} {content} was confirmed and then rejected"
    check_reads(operators, replaces)
    check_evacuations(operators)


def check_reads(operators: Operators, replaces: list[Event]) -> None:
    """Checks that no read is older than what was confirmed or read before it started."""
    done: list[tuple[float, int]] = []
    for event in replaces:
        version = event.order.key[0]
        if event.status == 200 and isinstance(version, int):
            done.append((event.ended, version))
    newest: list[tuple[float, int]] = []
    for read in sorted(operators.states, key=lambda read: read.ended):
        floor = max((version for ended, version in done if ended < read.began), default=-1)
        assert read.state.version >= floor, f"r{read.state.version} was read after r{floor} was confirmed"
        before = max((revision for ended, revision in newest if ended < read.began), default=-1)
        assert read.state.revision >= before, "reads went back"
        newest.append((read.ended, read.state.revision))


def check_evacuations(operators: Operators) -> None:
    """Checks that each evacuation that is read was set by a call that no confirmed call has replaced.

    A call whose caller has given it up may not replace one that was made afterwards and is confirmed.
    """
    for zone in ZONES:
        events = [event for event in operators.events if event.order.key[0] == zone]
        for read in operators.states:
            evacuated = read.state.evacuations.get(zone, False)
            settled = [e for e in events if e.status == 200 and e.ended < read.began]
            last = max((e.began for e in settled), default=None)
            if last is None:
                continue
            unsettled = [e for e in events if e.began < read.ended and e.ended >= last]
            possible = {e.order.key[1] for e in unsettled} | {
                e.order.key[1] for e in settled if e.began == last
            }
            assert evacuated in possible, f"{zone}: got {evacuated} at {read.ended}, which no call explains"


def play(seed: int, members: int, steps: int = 400) -> Operators:
    """Runs a history of 20 s, and its end without faults."""
    operators = Operators(seed, members)
    operators.cluster.run(1.0)
    for _ in range(steps):
        operators.step()
        operators.operate()
        operators.inject_fault()
    operators.end_faults()
    operators.collect()
    check(operators)
    return operators


@pytest.mark.parametrize("members", [3, 5])
def test_every_history_is_that_of_one_register(members: int) -> None:
    played = [play(seed, members) for seed in range(RUNS)]
    statuses = [event.status for each in played for event in each.events]
    assert statuses.count(200) > 30 * RUNS
    assert statuses.count(409) > RUNS
    assert statuses.count(0) > 10 * RUNS
    assert sum(len(each.states) for each in played) > 30 * RUNS
