"""The table of news by itself."""

from __future__ import annotations

import random
from typing import Any

import msgpack  # type: ignore[import-untyped]
import pytest

from honeywharf.gossip import table
from honeywharf.gossip.entry import Entry, datagrams, key_of, node_of
from honeywharf.gossip.table import News

ME, OTHER = "10.0.0.1", "10.0.0.2"


def news(me: str = ME, **say: Any) -> News:
    return News(me, "east", random.Random(1), say, 1, [OTHER])


def entry(node: str, number: int = 1, zone: str = "east", say: dict[str, Any] | None = None) -> Entry:
    return Entry(key_of(node), 1, number, zone, {"kind": "sidecar"} if say is None else say)


def rumour(*entries: Entry, hop: int = table.LAST) -> list[bytes]:
    return datagrams(b"r", [one.pack(hop) for one in entries], 10000)


def fill(held: News, nodes: range, number: int = 1) -> None:
    for data in rumour(*[entry(f"10.9.{at >> 8}.{at & 255}", number) for at in nodes]):
        held.received(0.0, OTHER, data)


def talk(one: News, other: News, now: float) -> int:
    """One summary from the first to the second, and all answers; the number of datagrams."""
    waiting = [(one, other, one._summary())]
    count = 0
    while waiting:
        sender, receiver, data = waiting.pop(0)
        assert len(data) <= 1400
        count += 1
        waiting += [(receiver, sender, back) for _, back in receiver.received(now, sender.me, data)]
        assert count < 500
    return count


def test_two_tables_of_a_thousand_become_one() -> None:
    one, other = news(), news(OTHER)
    fill(one, range(0, 1000))
    fill(one, range(100, 140), number=2)
    fill(other, range(30, 1030))
    fill(other, range(500, 520), number=2)
    rounds = 0
    while one._sum != other._sum:
        talk(one, other, 100.0)
        rounds += 1
        assert rounds < 6
    assert len(one.table) == len(other.table) == 1032
    assert talk(one, other, 100.0) == 1


def test_two_small_tables_become_one_in_one_round() -> None:
    one, other = news(), news(OTHER)
    fill(one, range(0, 60))
    fill(other, range(30, 90))
    fill(other, range(40, 50), number=2)
    assert talk(one, other, 100.0) < 25
    assert one._sum == other._sum
    assert {node: held.version for node, held in one.table.items()} == {
        node: held.version for node, held in other.table.items()
    }


def test_like_changes_of_two_nodes_show_in_the_sum() -> None:
    for pair in range(0, 100, 2):
        one, other = news(), news(OTHER)
        fill(one, range(100))
        fill(other, range(100))
        talk(one, other, 100.0)
        fill(one, range(pair, pair + 2), number=2)
        assert one._sum != other._sum


def test_the_table_is_bounded() -> None:
    held = news()
    fill(held, range(5000))
    assert len(held.table) == table.NODES
    assert held.refused == 5001 - table.NODES
    fill(held, range(10), number=2)
    assert held.table["10.9.0.3"].number == 2, "who is known is still heard"


def test_what_waits_to_be_passed_on_is_bounded_at_each_turn() -> None:
    held = news()
    for data in rumour(*[entry(f"10.9.0.{at}") for at in range(200)], hop=1):
        held.received(1.0, OTHER, data)
    held.next(1.0)
    sent = [data for _, data in held.tick(1.1) if data[:1] == b"r"]
    peers = table.PEERS + 1
    assert sum(len(msgpack.unpackb(data[1:])) for data in sent) == peers * table.FLUSH
    assert held.next(1.1) <= 1.1 + table.GATHER


def test_what_is_too_large_is_not_said() -> None:
    held = news(id="a")
    with pytest.raises(ValueError, match="over 1200 bytes"):
        held.tell(1.0, id="a" * 1300)
    assert held.table[ME].say == {"id": "a"}
    assert held.table[ME].number == 1


def test_foreign_datagrams_have_no_effect() -> None:
    held = news()
    fill(held, range(10))
    version = {node: one.version for node, one in held.table.items()}
    rng = random.Random(3)
    word = b"w" + msgpack.packb((1, 2))
    good = [rumour(entry("10.9.0.1"))[0], held._summary(), held._differ(OTHER)[0][1], word]
    wrong = b"r" + msgpack.packb([["a", 1, 1, "", {}, 0]])
    foreign = [b"", b"x", b"r", b"d\x00", b"a\x00", b"w\x93\x01\x02\x03", wrong, b"GET / HTTP/1.1"]
    for data in foreign:
        assert held.received(1.0, OTHER, data) == []
    assert held.ignored == len(foreign)
    for _ in range(3000):
        data = bytearray(rng.choice(good))
        data[rng.randrange(1, len(data))] = rng.randrange(256)
        held.received(1.0, "10.8.0.1", bytes(data[: rng.randrange(1, len(data) + 1)]))
    held.tick(2.0)
    assert held.ignored > 1000
    assert held.table[ME].say == {}
    assert all(held.table[node].version >= was for node, was in version.items())


def test_who_hears_of_itself_what_it_has_not_said_jumps_above_it() -> None:
    held = news(id="new")
    told = entry(ME, 7, say={"id": "old"})
    held.received(1.0, OTHER, rumour(told)[0])
    assert held.table[ME].version == (1, 8, False)
    assert held.table[ME].say == {"id": "new"}
    held.received(1.0, OTHER, rumour(entry(ME, 8, say={"id": "other"}))[0])
    assert held.table[ME].number == 9, "the same number with other contents"
    held.received(1.0, OTHER, rumour(entry(ME, 9, say={"id": "new", "rev": 3}))[0])
    assert held.table[ME].number == 9, "but for what is quiet"
    back = held.received(1.0, OTHER, rumour(entry(ME, 2))[0])
    assert len(back) == 1, "who is behind is told"


def test_who_left_says_nothing_more() -> None:
    held = news()
    fill(held, range(5))
    held.leave(1.0)
    held.tell(1.0, id="late")
    assert held.table[ME].say is None
    assert [data[:1] for _, data in held.tick(1.0)].count(b"r") >= 3
    held.received(1.0, OTHER, rumour(entry(ME, 50))[0])
    assert held.table[ME].say is None


def test_nodes_are_named_by_their_addresses() -> None:
    assert node_of(key_of("10.1.200.8")) == "10.1.200.8"
    for wrong in ("10.1.0", "10.1.0.256", "a.b.c.d", "", "1.2.3.4.5"):
        with pytest.raises(ValueError, match="not an IPv4 address"):
            key_of(wrong)
