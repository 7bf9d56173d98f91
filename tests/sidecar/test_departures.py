"""Departures that outlive the process that acknowledged them: data, keepers, recording, gate."""

from __future__ import annotations

import struct
from collections.abc import Callable
from itertools import permutations
from typing import Any, cast

import pytest

from honeywharf import rpc_methods
from honeywharf.admission.departures import (
    ATTRIBUTE,
    DEREGISTERED,
    MAX_DEPARTURES,
    backend_key,
    merge_departures,
    pack_departures,
    unpack_departures,
)
from honeywharf.sidecar.departures import (
    CONFIRM_TIMEOUT_S,
    MAX_MACHINES,
    MAX_NOTIFY_DELAY_S,
    NOTIFY_TIMEOUT_S,
    SAVE_DELAY_S,
    DepartureRegistry,
    Replication,
    notify_delay_s,
)
from honeywharf.sidecar.gate import DRAINING, ENDED, READY, UNKNOWN, Gate
from tests.sidecar.fixtures import IP, SERVICE, ManualClock

Done = Callable[[Any], None]
PORT = 7620
X, Y = backend_key("i-x"), backend_key("i-y")


class FakeCaller:
    """Records calls of peers' methods; a test answers them."""

    def __init__(self) -> None:
        self.calls: list[tuple[Any, str, Any, Done]] = []

    def call(self, to: Any, method: str, args: Any, within: float, done: Done) -> None:
        self.calls.append((to, method, args, done))


# Data.


def test_departures_are_the_same_in_any_order_and_however_often_they_come() -> None:
    statements = [{X: 3}, {Y: 9}, {X: DEREGISTERED}, {Y: 4}]
    for order in permutations(statements):
        known: dict[int, int] = {}
        for statement in (*order, *order):
            merge_departures(known, statement)
        assert known == {X: DEREGISTERED, Y: 9}
        assert not merge_departures(known, {X: 5, Y: 9})


def test_departures_of_one_machine_are_bounded_and_the_oldest_are_forgotten() -> None:
    known: dict[int, int] = {}
    for key in range(3 * MAX_DEPARTURES):
        merge_departures(known, {key: 1})
    assert list(known) == list(range(2 * MAX_DEPARTURES, 3 * MAX_DEPARTURES))


def test_a_departure_that_was_stated_again_is_not_the_oldest_any_more() -> None:
    known = {X: 3}
    merge_departures(known, dict.fromkeys(range(MAX_DEPARTURES - 1), 1))
    merge_departures(known, {X: DEREGISTERED})
    merge_departures(known, dict.fromkeys(range(MAX_DEPARTURES, 2 * MAX_DEPARTURES - 1), 1))
    assert known[X] == DEREGISTERED
    assert len(known) == MAX_DEPARTURES


@pytest.mark.parametrize(
    "value", [None, 7, "x", {}, [7], [[1]], [[1, "2"]], [[True, 2]], [[1, 2, 3]], [None]]
)
def test_malformed_departures_are_left_out(value: object) -> None:
    assert unpack_departures(value) == {}
    assert unpack_departures(pack_departures({X: 3})) == {X: 3}


# The registry.


class FakeEntry:
    """A gossip entry."""

    def __init__(self, attributes: dict[str, Any] | None) -> None:
        self.attributes = attributes


class FakeMembership:
    """The entries that a process sees; a test may mark machines down."""

    local_node = "10.1.0.99"

    def __init__(self) -> None:
        self.by_node: dict[str, FakeEntry] = {}
        self.down: set[str] = set()

    def entries(self) -> dict[str, FakeEntry]:
        return self.by_node

    def is_alive(self, node: str) -> bool:
        return node not in self.down


class LoggingClock(ManualClock):
    """A clock with a log."""

    def log(self, text: str) -> None:
        """Drops a line."""


class RegistrySetup:
    """A registry, and the machines that its process sees."""

    def __init__(self) -> None:
        self.clock, self.caller, self.membership = LoggingClock(), FakeCaller(), FakeMembership()
        self.registry = DepartureRegistry(
            cast("Any", self.clock), cast("Any", self.caller), PORT, self.membership
        )

    def publish(self, departures: dict[int, int] | None = None) -> None:
        """Changes the entry of the machine."""
        attributes: dict[str, Any] = {"s": SERVICE}
        if departures:
            attributes[ATTRIBUTE] = pack_departures(departures)
        self.membership.by_node[IP] = FakeEntry(attributes)
        self.registry.entry_changed(IP, self.membership.by_node[IP])


def test_a_restarted_machine_is_told_what_its_entry_lacks() -> None:
    """Guards against a departure that only the process knew which acknowledged it (review/8)."""
    setup = RegistrySetup()
    setup.publish({X: 4})
    setup.publish({X: DEREGISTERED})
    setup.clock.move(1.0)
    assert setup.caller.calls == []
    setup.registry.entry_changed(IP, FakeEntry(None))  # it has left
    setup.publish()
    setup.clock.move(MAX_NOTIFY_DELAY_S)
    ((to, method, args, _),) = setup.caller.calls
    assert (to, method, args) == ((IP, PORT), rpc_methods.DEPARTURES_MISSED, [[X, DEREGISTERED]])


def test_a_machine_that_another_process_has_told_is_not_told_again() -> None:
    setup = RegistrySetup()
    setup.publish({X: 4})
    setup.publish()
    setup.publish({X: 4})
    setup.clock.move(2.0)
    assert setup.caller.calls == []
    assert not setup.registry.scheduled


def test_a_machine_is_told_again_until_its_entry_has_it_or_it_is_gone() -> None:
    setup = RegistrySetup()
    setup.publish({X: 4})
    setup.publish()
    for _ in range(3):
        setup.clock.move(MAX_NOTIFY_DELAY_S + NOTIFY_TIMEOUT_S)
        setup.caller.calls[-1][3](None)
    assert setup.registry.notifications == 3
    setup.membership.down.add(IP)
    setup.clock.move(5.0)
    assert len(setup.caller.calls) == 3
    assert not setup.registry.scheduled


def test_a_machine_with_as_many_departures_as_it_keeps_is_not_told_another_one() -> None:
    """Guards against processes that tell a machine for ever what it has to forget for newer ones."""
    setup = RegistrySetup()
    setup.publish(dict.fromkeys(range(MAX_DEPARTURES - 1), 1))
    setup.registry.record(IP, {X: 5})
    setup.publish(dict.fromkeys(range(MAX_DEPARTURES), 1))
    assert X in setup.registry.departures[IP]
    setup.clock.move(2.0)
    assert setup.caller.calls == []


def test_a_machine_that_has_forgotten_the_oldest_is_not_told_them() -> None:
    setup = RegistrySetup()
    setup.publish({X: 4})
    setup.registry.record(IP, {X: 5})
    setup.publish(dict.fromkeys(range(MAX_DEPARTURES), 1))
    setup.clock.move(2.0)
    assert setup.caller.calls == []


def test_departures_are_recorded_under_the_machine_that_is_named_whatever_address_it_calls_from() -> None:
    """Guards against departures that are kept under 127.0.0.1, from which no entry ever comes."""
    setup, replies = RegistrySetup(), list[object]()
    record = setup.registry.methods()[rpc_methods.RECORD_DEPARTURES]
    record([IP, [[X, 4]]], replies.append, ("127.0.0.1", 40_000))
    record("x", replies.append, ("127.0.0.1", 40_000))
    assert replies == [True, None]
    setup.publish()
    setup.clock.move(MAX_NOTIFY_DELAY_S)
    assert [(to, args) for to, _, args, _ in setup.caller.calls] == [((IP, PORT), [[X, 4]])]


def test_the_machines_of_a_registry_are_bounded_and_the_oldest_is_forgotten() -> None:
    setup = RegistrySetup()
    nodes = [f"10.{n >> 8}.{n & 255}.1" for n in range(MAX_MACHINES + 5)]
    for node in nodes:
        setup.registry.record(node, {X: 1})
        setup.registry.record(nodes[0], {X: 1})  # it is not the oldest
    assert list(setup.registry.departures) == [*nodes[6:], nodes[0]]


def test_processes_notify_a_machine_at_different_times() -> None:
    delays = {notify_delay_s(f"10.1.0.{n}", IP) for n in range(50)}
    assert len(delays) == 50
    assert max(delays) < MAX_NOTIFY_DELAY_S


class FakeStorage:
    """A storage of departures that can fail."""

    def __init__(self, stored: list[Any] | None = None) -> None:
        self.stored: list[Any] = stored or []
        self.saves = 0
        self.fails = False

    def load(self) -> object:
        if self.fails:
            raise OSError("no disk")
        return self.stored

    def save(self, rows: list[Any]) -> None:
        if self.fails:
            raise OSError("full")
        self.saves += 1
        self.stored = [list(row) for row in rows]


def test_a_departure_is_on_disk_before_a_control_node_says_that_it_is_recorded() -> None:
    """Guards against DRAIN after a kill of all processes at once, whose memories are gone."""
    setup, storage, replies = RegistrySetup(), FakeStorage(), list[object]()
    setup.registry.use_storage(storage)
    record = setup.registry.methods()[rpc_methods.RECORD_DEPARTURES]
    record([IP, [[X, 4]]], lambda reply: replies.append((reply, list(storage.stored))), (IP, PORT))
    assert replies == [(True, [[IP, [[X, 4]]]])]
    record([IP, [[X, 4]]], replies.append, (IP, PORT))
    assert storage.saves == 1  # nothing is new
    storage.fails = True
    record([IP, [[X, 5]]], replies.append, (IP, PORT))
    assert replies[1:] == [True, None]
    restarted, kept = RegistrySetup(), FakeStorage(storage.stored)
    restarted.registry.use_storage(kept)
    restarted.publish()
    restarted.clock.move(MAX_NOTIFY_DELAY_S + SAVE_DELAY_S)
    assert kept.saves == 0  # what was read is not written again
    ((to, method, args, _),) = restarted.caller.calls
    assert (to, method, args) == ((IP, PORT), rpc_methods.DEPARTURES_MISSED, [[X, 4]])


def test_a_departure_that_is_known_but_not_on_disk_yet_is_not_said_to_be_recorded() -> None:
    """Guards against DRAIN: gossip is faster than the call, and its departures are written later."""
    setup, storage, replies = RegistrySetup(), FakeStorage(), list[object]()
    setup.registry.use_storage(storage)
    record = setup.registry.methods()[rpc_methods.RECORD_DEPARTURES]
    setup.publish({X: 4})
    record([IP, [[X, 4]]], lambda reply: replies.append((reply, storage.stored)), (IP, PORT))
    assert replies == [(True, [[IP, [[X, 4]]]])]
    storage.fails = True
    for _ in range(2):
        record([IP, [[X, 5]]], replies.append, (IP, PORT))
    storage.fails = False
    record([IP, [[X, 5]]], replies.append, (IP, PORT))
    assert replies[1:] == [None, None, True]
    setup.clock.move(SAVE_DELAY_S)
    assert (storage.saves, storage.stored) == (2, [[IP, [[X, 5]]]])  # nothing is left to be written


def test_departures_that_gossip_brings_are_written_together_soon() -> None:
    setup, storage = RegistrySetup(), FakeStorage()
    setup.registry.use_storage(storage)
    setup.publish({X: 4})
    setup.publish({X: 4, Y: 2})
    setup.publish({X: 4, Y: 2})
    assert storage.saves == 0
    setup.clock.move(SAVE_DELAY_S)
    assert (storage.saves, storage.stored) == (1, [[IP, [[X, 4], [Y, 2]]]])
    setup.clock.move(5.0)
    assert storage.saves == 1


@pytest.mark.parametrize("stored", [None, 3, ["x"], [["a", 3, 4]], [[5, [[X, 1]]]], [["a", [["b", 1], 7]]]])
def test_damaged_rows_of_a_storage_are_left_out(stored: Any) -> None:
    setup = RegistrySetup()
    setup.registry.use_storage(FakeStorage(stored))
    assert setup.registry.departures == {}


def test_a_storage_that_can_not_be_read_is_not_overwritten() -> None:
    setup, storage = RegistrySetup(), FakeStorage()
    storage.fails = True
    setup.registry.use_storage(storage)
    storage.fails = False
    setup.publish({X: 4})
    setup.clock.move(SAVE_DELAY_S)
    assert storage.saves == 0
    assert setup.registry.departures == {IP: {X: 4}}


# Recording.


class RecordingSetup:
    """The recording of departures at five control nodes."""

    def __init__(self, nodes: int = 5) -> None:
        self.clock, self.caller = LoggingClock(), FakeCaller()
        self.done: list[bool] = []
        nodes_at = [(f"10.1.0.{n}", PORT) for n in range(nodes)]
        self.replication = Replication(
            cast("Any", self.clock), cast("Any", self.caller), IP, lambda: nodes_at
        )

    def record(self, departures: dict[int, int]) -> None:
        """Begins to record departures."""
        self.replication.record(departures, lambda: self.done.append(True))

    def answer(self, *replies: object) -> None:
        """Answers the next calls."""
        for reply in replies:
            self.caller.calls.pop(0)[3](reply)


def test_a_departure_is_acknowledged_once_a_majority_has_recorded_it() -> None:
    """Guards against an acknowledgement that dies with the process that gave it."""
    setup = RecordingSetup()
    setup.record({X: 4})
    assert [call[1:3] for call in setup.caller.calls] == [(rpc_methods.RECORD_DEPARTURES, [IP, [[X, 4]]])] * 5
    setup.answer(True, None, True)
    assert setup.done == []
    setup.answer(True, True)
    assert setup.done == [True]
    setup.record({X: 4})  # the backend says it again, as the answer was lost
    assert setup.done == [True, True]
    assert len(setup.caller.calls) == 0
    setup.record({X: DEREGISTERED})
    assert len(setup.caller.calls) == 5


def test_without_a_majority_a_departure_is_acknowledged_all_the_same_and_counted() -> None:
    setup = RecordingSetup(3)
    setup.record({X: 4})
    setup.answer(True, None, None)
    assert setup.done == [True]
    assert setup.replication.unconfirmed == 1
    alone = RecordingSetup(0)
    alone.record({X: 4})
    assert alone.done == [True]
    assert CONFIRM_TIMEOUT_S < 0.5  # a backend waits a second for its acknowledgement


# The gate.


def restarted_gate() -> Gate:
    """Returns the gate of a process that has just started."""
    gate = Gate(10.0, SERVICE, 1.5, 5.0)
    gate.set_slow_start(22.0)
    return gate


def beat(gate: Gate, sequence: int, instance: str = "i-x", draining: bool = False) -> bool:
    """Sends a heartbeat."""
    return gate.heartbeat(10.0, instance, sequence, draining, 8, 0.0)


@pytest.mark.parametrize("told_first", [True, False])
@pytest.mark.parametrize("is_healthy", [True, False])
def test_no_late_statement_brings_back_a_deregistered_instance(told_first: bool, is_healthy: bool) -> None:
    gate = restarted_gate()
    if not told_first:
        beat(gate, 7)
        gate.health_answer(10.0, "i-x", is_healthy, 8, None, 9.9)
    gate.note_departures([[X, DEREGISTERED]])
    assert beat(gate, 8) is False
    gate.health_answer(10.0, "i-x", is_healthy, 8, None, 9.9)
    assert gate.state == ENDED
    assert gate.rejection(10.0, SERVICE) is not None
    assert beat(gate, 1, "i-y")
    assert (gate.instance, gate.state) == ("i-y", READY)


def test_a_drained_instance_returns_only_by_a_later_statement() -> None:
    gate = restarted_gate()
    gate.note_departures([[X, 7]])
    gate.health_answer(10.0, "i-x", True, 8, None, 9.9)
    assert gate.state == DRAINING
    assert beat(gate, 6) is False
    assert gate.state == DRAINING
    assert beat(gate, 8)
    assert gate.state == READY
    gate.note_departures([[X, 7]])  # told once more, late
    assert gate.state == READY


def test_a_heartbeat_that_a_health_answer_contradicts_counts_from_the_next_one_on() -> None:
    gate = restarted_gate()
    gate.health_answer(10.0, "i-x", False, 8, None, 9.9)
    assert beat(gate, 5)
    assert gate.state == UNKNOWN
    assert beat(gate, 5) is False
    assert beat(gate, 6)
    assert gate.state == READY
    agreed = restarted_gate()
    agreed.health_answer(10.0, "i-x", False, 8, None, 9.9)
    beat(agreed, 5)
    agreed.health_answer(10.0, "i-x", True, 8, None, 9.9)
    assert agreed.state == READY


def test_an_instance_that_a_late_heartbeat_displaced_returns_once_a_health_answer_names_it() -> None:
    """Guards against a late beat of an earlier instance that ends the present one for good."""
    gate = restarted_gate()
    beat(gate, 5, "i-y")
    beat(gate, 99, "i-x")  # of an earlier instance, late: this process does not know it
    assert gate.instance == "i-x"
    gate.backend_missing()  # the backend has answered 421
    gate.health_answer(10.0, "i-y", True, 8, None, 9.9)
    assert (gate.instance, gate.state) == ("i-y", READY)
    assert beat(gate, 100, "i-x") is False
    assert beat(gate, 6, "i-y")
    gate.deregister("i-y")
    gate.health_answer(10.0, "i-y", True, 8, None, 9.9)
    assert gate.state == ENDED


def test_a_displaced_instance_that_has_deregistered_since_does_not_displace_the_present_one() -> None:
    gate = restarted_gate()
    beat(gate, 5, "i-x")
    beat(gate, 1, "i-y")
    gate.deregister("i-x")
    gate.backend_missing()
    gate.health_answer(10.0, "i-x", True, 8, None, 9.9)  # a false one: it has ended
    assert gate.instance == "i-y"
    assert beat(gate, 2, "i-y")
    assert gate.state == READY


def test_an_ended_instance_stays_ended_when_its_older_departure_is_told_late() -> None:
    gate = restarted_gate()
    beat(gate, 5)
    gate.deregister("i-x")
    gate.note_departures([[key, 1] for key in range(MAX_DEPARTURES)])
    gate.note_departures([[X, 6]])
    assert gate.state == ENDED


def test_a_call_sequence_of_any_size_can_be_published_and_is_no_deregistration() -> None:
    """Guards against a departure that can't be packed, so that no entry of its machine is published."""
    gate = restarted_gate()
    beat(gate, 1 << 70)
    beat(gate, (1 << 70) + 1, draining=True)
    packed = gate.gossip_attributes()[ATTRIBUTE]
    assert packed == [[X, DEREGISTERED - 1]]
    struct.pack(">q", DEREGISTERED)  # messages hold 64 bits
    again = restarted_gate()
    again.note_departures(packed)
    again.health_answer(10.0, "i-x", True, 8, None, 9.9)
    assert again.state == DRAINING


def test_departures_are_published_and_told_ones_too() -> None:
    gate = restarted_gate()
    assert ATTRIBUTE not in gate.gossip_attributes()
    gate.note_departures([[Y, 3]])
    beat(gate, 4)
    beat(gate, 5, draining=True)
    beat(gate, 6, draining=True)
    assert gate.gossip_attributes()[ATTRIBUTE] == [[Y, 3], [X, 5]]
    gate.deregister("i-x")
    assert gate.gossip_attributes()[ATTRIBUTE] == [[Y, 3], [X, DEREGISTERED]]
