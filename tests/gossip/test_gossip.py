"""Gossip of one node and of two, without a network."""

from __future__ import annotations

import random
from typing import Any

import msgpack  # type: ignore[import-untyped]
import pytest

from honeywharf.gossip import dissemination, table
from honeywharf.gossip.entry import Entry, key_of, node_of, pack_datagrams
from honeywharf.gossip.gossip import Gossip

ME, OTHER = "10.0.0.1", "10.0.0.2"


def gossip(local_node: str = ME, **attributes: Any) -> Gossip:
    return Gossip(local_node, "east", random.Random(1), attributes, 1, [OTHER])


def entry(
    node: str, sequence: int = 1, zone: str = "east", attributes: dict[str, Any] | None = None
) -> Entry:
    return Entry(key_of(node), 1, sequence, zone, {"kind": "sidecar"} if attributes is None else attributes)


def rumour(*entries: Entry, hops: int = table.NO_FORWARD_HOPS) -> list[bytes]:
    return pack_datagrams(b"r", [one.pack(hops) for one in entries], 10000)


def fill(held: Gossip, nodes: range, sequence: int = 1) -> None:
    for data in rumour(*[entry(f"10.9.{at >> 8}.{at & 255}", sequence) for at in nodes]):
        held.received(0.0, OTHER, data)


def talk(one: Gossip, other: Gossip, now: float) -> int:
    """One summary from the first to the second, and all answers; the number of datagrams."""
    waiting = [(one, other, one._anti_entropy.summary())]
    count = 0
    while waiting:
        sender, receiver, data = waiting.pop(0)
        assert len(data) <= 1400
        count += 1
        waiting += [
            (receiver, sender, back) for _, back in receiver.received(now, sender.table.local_node, data)
        ]
        assert count < 500
    return count


def test_two_tables_of_a_thousand_become_one() -> None:
    one, other = gossip(), gossip(OTHER)
    fill(one, range(0, 1000))
    fill(one, range(100, 140), sequence=2)
    fill(other, range(30, 1030))
    fill(other, range(500, 520), sequence=2)
    rounds = 0
    while one.table.checksum != other.table.checksum:
        talk(one, other, 100.0)
        rounds += 1
        assert rounds < 6
    assert len(one.table.entries) == len(other.table.entries) == 1032
    assert talk(one, other, 100.0) == 1


def test_two_small_tables_become_one_in_one_round() -> None:
    one, other = gossip(), gossip(OTHER)
    fill(one, range(0, 60))
    fill(other, range(30, 90))
    fill(other, range(40, 50), sequence=2)
    assert talk(one, other, 100.0) < 25
    assert one.table.checksum == other.table.checksum
    assert {node: held.version for node, held in one.table.entries.items()} == {
        node: held.version for node, held in other.table.entries.items()
    }


def test_like_changes_of_two_nodes_show_in_the_checksum() -> None:
    for pair in range(0, 100, 2):
        one, other = gossip(), gossip(OTHER)
        fill(one, range(100))
        fill(other, range(100))
        talk(one, other, 100.0)
        fill(one, range(pair, pair + 2), sequence=2)
        assert one.table.checksum != other.table.checksum


def test_the_table_is_bounded() -> None:
    held = gossip()
    fill(held, range(5000))
    assert len(held.table.entries) == table.MAX_NODES
    assert held.table.rejected == 5001 - table.MAX_NODES
    fill(held, range(10), sequence=2)
    assert held.table.entries["10.9.0.3"].sequence == 2, "who is known is still heard"


def test_what_waits_to_be_passed_on_is_bounded_at_each_turn() -> None:
    held = gossip()
    for data in rumour(*[entry(f"10.9.0.{at}") for at in range(200)], hops=1):
        held.received(1.0, OTHER, data)
    held.next(1.0)
    sent = [data for _, data in held.tick(1.1) if data[:1] == b"r"]
    peers = dissemination.FANOUT + 1
    assert sum(len(msgpack.unpackb(data[1:])) for data in sent) == peers * dissemination.MAX_BATCH_ENTRIES
    assert held.next(1.1) <= 1.1 + dissemination.BATCH_DELAY_S


def test_what_is_too_large_is_not_said() -> None:
    held = gossip(id="a")
    with pytest.raises(ValueError, match="over 1200 bytes"):
        held.publish(1.0, id="a" * 1300)
    assert held.table.entries[ME].attributes == {"id": "a"}
    assert held.table.entries[ME].sequence == 1


def test_foreign_datagrams_have_no_effect() -> None:
    held = gossip()
    fill(held, range(10))
    version = {node: one.version for node, one in held.table.entries.items()}
    rng = random.Random(3)
    word = b"w" + msgpack.packb((1, 2))
    good = [
        rumour(entry("10.9.0.1"))[0],
        held._anti_entropy.summary(),
        held._anti_entropy.digest_for(OTHER)[0][1],
        word,
    ]
    wrong = b"r" + msgpack.packb([["a", 1, 1, "", {}, 0]])
    foreign = [b"", b"x", b"r", b"d\x00", b"a\x00", b"w\x93\x01\x02\x03", wrong, b"GET / HTTP/1.1"]
    for data in foreign:
        assert held.received(1.0, OTHER, data) == []
    assert held.malformed_datagrams == len(foreign)
    for _ in range(3000):
        data = bytearray(rng.choice(good))
        data[rng.randrange(1, len(data))] = rng.randrange(256)
        held.received(1.0, "10.8.0.1", bytes(data[: rng.randrange(1, len(data) + 1)]))
    held.tick(2.0)
    assert held.malformed_datagrams > 1000
    assert held.table.entries[ME].attributes == {}
    assert all(held.table.entries[node].version >= was for node, was in version.items())


def test_who_hears_of_itself_what_it_has_not_said_jumps_above_it() -> None:
    held = gossip(id="new")
    told = entry(ME, 7, attributes={"id": "old"})
    held.received(1.0, OTHER, rumour(told)[0])
    assert held.table.entries[ME].version == (1, 8, False)
    assert held.table.entries[ME].attributes == {"id": "new"}
    held.received(1.0, OTHER, rumour(entry(ME, 8, attributes={"id": "other"}))[0])
    assert held.table.entries[ME].sequence == 9, "the same number with other contents"
    held.received(1.0, OTHER, rumour(entry(ME, 9, attributes={"id": "new", "rev": 3}))[0])
    assert held.table.entries[ME].sequence == 9, "but for what is quiet"
    back = held.received(1.0, OTHER, rumour(entry(ME, 2))[0])
    assert len(back) == 1, "who is behind is told"


def test_who_left_says_nothing_more() -> None:
    held = gossip()
    fill(held, range(5))
    held.leave(1.0)
    held.publish(1.0, id="late")
    assert held.table.entries[ME].attributes is None
    assert [data[:1] for _, data in held.tick(1.0)].count(b"r") >= 3
    held.received(1.0, OTHER, rumour(entry(ME, 50))[0])
    assert held.table.entries[ME].attributes is None


def test_nodes_are_named_by_their_addresses() -> None:
    assert node_of(key_of("10.1.200.8")) == "10.1.200.8"
    for wrong in ("10.1.0", "10.1.0.256", "a.b.c.d", "", "1.2.3.4.5"):
        with pytest.raises(ValueError, match="not an IPv4 address"):
            key_of(wrong)
