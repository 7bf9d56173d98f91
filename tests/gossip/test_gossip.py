"""Gossip of one node and of two, without a network."""

from __future__ import annotations

import random
from typing import Any

import msgpack  # type: ignore[import-untyped]
import pytest

from honeywharf.gossip import dissemination, table
from honeywharf.gossip.entry import Entry, key_of, node_of, pack_datagrams
from honeywharf.gossip.gossip import Gossip

LOCAL_NODE, PEER_NODE = "10.0.0.1", "10.0.0.2"


def gossip(local_node: str = LOCAL_NODE, **attributes: Any) -> Gossip:
    return Gossip(local_node, "east", random.Random(1), attributes, 1, [PEER_NODE])


def entry(
    node: str, sequence: int = 1, zone: str = "east", attributes: dict[str, Any] | None = None
) -> Entry:
    return Entry(key_of(node), 1, sequence, zone, {"kind": "sidecar"} if attributes is None else attributes)


def rumour(*entries: Entry, hops: int = table.NO_FORWARD_HOPS) -> list[bytes]:
    return pack_datagrams(b"r", [one.pack(hops) for one in entries], 10000)


def add_entries(local: Gossip, nodes: range, sequence: int = 1) -> None:
    for data in rumour(*[entry(f"10.9.{at >> 8}.{at & 255}", sequence) for at in nodes]):
        local.received(0.0, PEER_NODE, data)


def compare_tables(one: Gossip, other: Gossip, now: float) -> int:
    """Sends a summary from the first to the second, and all answers. Returns the number of datagrams."""
    in_flight = [(one, other, one._anti_entropy.summary())]
    count = 0
    while in_flight:
        sender, receiver, data = in_flight.pop(0)
        assert len(data) <= 1400
        count += 1
        in_flight += [
            (receiver, sender, answers)
            for _, answers in receiver.received(now, sender.table.local_node, data)
        ]
        assert count < 500
    return count


def test_two_large_tables_converge() -> None:
    one, other = gossip(), gossip(PEER_NODE)
    add_entries(one, range(0, 1000))
    add_entries(one, range(100, 140), sequence=2)
    add_entries(other, range(30, 1030))
    add_entries(other, range(500, 520), sequence=2)
    rounds = 0
    while one.table.checksum != other.table.checksum:
        compare_tables(one, other, 100.0)
        rounds += 1
        assert rounds < 6
    assert len(one.table.entries) == len(other.table.entries) == 1032
    assert compare_tables(one, other, 100.0) == 1


def test_two_small_tables_converge_in_one_round() -> None:
    one, other = gossip(), gossip(PEER_NODE)
    add_entries(one, range(0, 60))
    add_entries(other, range(30, 90))
    add_entries(other, range(40, 50), sequence=2)
    assert compare_tables(one, other, 100.0) < 25
    assert one.table.checksum == other.table.checksum
    assert {node: local.version for node, local in one.table.entries.items()} == {
        node: local.version for node, local in other.table.entries.items()
    }


def test_equal_changes_of_two_nodes_do_not_cancel_in_the_checksum() -> None:
    for pair in range(0, 100, 2):
        one, other = gossip(), gossip(PEER_NODE)
        add_entries(one, range(100))
        add_entries(other, range(100))
        compare_tables(one, other, 100.0)
        add_entries(one, range(pair, pair + 2), sequence=2)
        assert one.table.checksum != other.table.checksum


def test_an_entry_that_arrives_late_does_not_replace_a_newer_one() -> None:
    """Guards against a backend in service that has left: its older entry comes after the newer one."""
    local = gossip()
    node = "10.9.0.7"
    older, newer = (entry(node, n, attributes={"kind": "sidecar", "st": n}) for n in (4, 5))
    for each in (newer, older):
        for data in rumour(each):
            local.received(0.0, PEER_NODE, data)
    assert (local.table.entries[node].sequence, local.table.entries[node].attributes) == (5, newer.attributes)


def test_the_table_is_bounded() -> None:
    local = gossip()
    add_entries(local, range(5000))
    assert len(local.table.entries) == table.MAX_NODES
    assert local.table.rejected == 5001 - table.MAX_NODES
    add_entries(local, range(10), sequence=2)
    assert local.table.entries["10.9.0.3"].sequence == 2, (
        "a full table still accepts newer entries of known nodes"
    )


def test_forwarded_entries_are_bounded_per_tick() -> None:
    local = gossip()
    for data in rumour(*[entry(f"10.9.0.{at}") for at in range(200)], hops=1):
        local.received(1.0, PEER_NODE, data)
    local.next(1.0)
    sent = [data for _, data in local.tick(1.1) if data[:1] == b"r"]
    peers = dissemination.FANOUT + 1
    assert sum(len(msgpack.unpackb(data[1:])) for data in sent) == peers * dissemination.MAX_BATCH_ENTRIES
    assert local.next(1.1) <= 1.1 + dissemination.BATCH_DELAY_S


def test_a_too_large_entry_is_not_published() -> None:
    local = gossip(id="a")
    with pytest.raises(ValueError, match="expected at most 1200 bytes"):
        local.publish(1.0, id="a" * 1300)
    assert local.table.entries[LOCAL_NODE].attributes == {"id": "a"}
    assert local.table.entries[LOCAL_NODE].sequence == 1


def test_malformed_datagrams_have_no_effect() -> None:
    local = gossip()
    add_entries(local, range(10))
    version = {node: one.version for node, one in local.table.entries.items()}
    rng = random.Random(3)
    revision_rumour = b"w" + msgpack.packb((1, 2))
    well_formed = [
        rumour(entry("10.9.0.1"))[0],
        local._anti_entropy.summary(),
        local._anti_entropy.digest_for(PEER_NODE)[0][1],
        revision_rumour,
    ]
    wrong = b"r" + msgpack.packb([["a", 1, 1, "", {}, 0]])
    malformed = [b"", b"x", b"r", b"d\x00", b"a\x00", b"w\x93\x01\x02\x03", wrong, b"GET / HTTP/1.1"]
    for data in malformed:
        assert local.received(1.0, PEER_NODE, data) == []
    assert local.malformed_datagrams == len(malformed)
    for _ in range(3000):
        data = bytearray(rng.choice(well_formed))
        data[rng.randrange(1, len(data))] = rng.randrange(256)
        local.received(1.0, "10.8.0.1", bytes(data[: rng.randrange(1, len(data) + 1)]))
    local.tick(2.0)
    assert local.malformed_datagrams > 1000
    assert local.table.entries[LOCAL_NODE].attributes == {}
    assert all(local.table.entries[node].version >= was for node, was in version.items())


def test_a_node_refutes_an_unpublished_entry_of_itself() -> None:
    local = gossip(id="new")
    stale_entry = entry(LOCAL_NODE, 7, attributes={"id": "old"})
    local.received(1.0, PEER_NODE, rumour(stale_entry)[0])
    assert local.table.entries[LOCAL_NODE].version == (1, 8, False)
    assert local.table.entries[LOCAL_NODE].attributes == {"id": "new"}
    local.received(1.0, PEER_NODE, rumour(entry(LOCAL_NODE, 8, attributes={"id": "other"}))[0])
    assert local.table.entries[LOCAL_NODE].sequence == 9, "the same sequence number with other attributes"
    local.received(1.0, PEER_NODE, rumour(entry(LOCAL_NODE, 9, attributes={"id": "new", "rev": 3}))[0])
    assert local.table.entries[LOCAL_NODE].sequence == 9, "a revision alone is not refuted"
    answers = local.received(1.0, PEER_NODE, rumour(entry(LOCAL_NODE, 2))[0])
    assert len(answers) == 1, "a sender with an older entry gets the newer one"


def test_a_node_that_left_publishes_nothing() -> None:
    local = gossip()
    add_entries(local, range(5))
    local.leave(1.0)
    local.publish(1.0, id="late")
    assert local.table.entries[LOCAL_NODE].attributes is None
    assert [data[:1] for _, data in local.tick(1.0)].count(b"r") >= 3
    local.received(1.0, PEER_NODE, rumour(entry(LOCAL_NODE, 50))[0])
    assert local.table.entries[LOCAL_NODE].attributes is None


def test_nodes_are_named_by_their_addresses() -> None:
    assert node_of(key_of("10.1.200.8")) == "10.1.200.8"
    for wrong in ("10.1.0", "10.1.0.256", "a.b.c.d", "", "1.2.3.4.5"):
        with pytest.raises(ValueError, match="expected an IPv4 address"):
            key_of(wrong)
