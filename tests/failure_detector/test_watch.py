"""Who is silent, in a simulated network that loses one datagram in twenty."""

from __future__ import annotations

import random

import pytest

from honeywharf.failure_detector import watch
from honeywharf.failure_detector.watch import Watch
from honeywharf.gossip.entry import Entry, key_of
from tests.gossip.net import Net, settled


def zone_of(net: Net, zone: int) -> list[str]:
    return [name for name in net.names if name.startswith(f"10.{zone}.")]


def sides(net: Net) -> dict[str, set[str]]:
    """By zone, the zones whose nodes all of that zone hold down."""
    zone = {name: machine.zone for name, machine in net.machines.items()}
    held: dict[str, set[str]] = {}
    for at in sorted({*zone.values()}):
        views = [{*membership.watch.down} for membership in net.live() if membership.news.zone == at]
        held[at] = {zone[down] for down in set.intersection(*views)}
    return held


def held_down(net: Net, *nodes: str) -> bool:
    """Whether all live ones hold just these down."""
    return all(set(membership.watch.down) == {*nodes} for membership in net.live())


@pytest.mark.parametrize("nodes", [13, 100])
def test_who_ends_is_held_down_by_all_and_no_other(nodes: int) -> None:
    net = settled(nodes)
    net.run(20.0)
    assert net.downs == []
    net.kill(net.names[9])
    assert net.run(4.0, lambda: held_down(net, net.names[9]))
    net.run(5.0)
    assert held_down(net, net.names[9])
    assert not net.societies[net.names[8]].alive(net.names[9])


def test_a_whole_zone_ends() -> None:
    net = settled(60)
    gone = zone_of(net, 2)
    for name in gone:
        net.kill(name)
    assert net.run(8.0, lambda: held_down(net, *gone))


def test_a_zone_that_is_cut_off_holds_all_others_down() -> None:
    net = settled(40)
    net.cut(zone_of(net, 1), zone_of(net, 2) + zone_of(net, 3))
    expected = {"east": {"north", "west"}, "north": {"east"}, "west": {"east"}}
    assert net.run(10.0, lambda: sides(net) == expected)
    net.run(100.0)
    assert {len(membership.entries()) for membership in net.live()} == {14, 26}, "dropped after 30 s"
    net.cuts.clear()
    net.run(0.1)
    assert net.run(10.0, net.all_know)


@pytest.mark.parametrize("seconds", [0.6, 1.5, 3.0])
def test_watchers_that_were_frozen_blame_nobody(seconds: float) -> None:
    net = settled(60)
    frozen = random.Random(4).sample(net.names, 20)
    for name in frozen:
        net.machines[name].frozen = True
    net.run(seconds)
    for name in frozen:
        net.machines[name].thaw()
    net.run(0.02)
    assert net.run(6.0, lambda: net.all_know() and held_down(net))
    assert {node for _, _, node in net.downs} <= {*frozen}
    assert seconds > 1.5 or net.downs == []


def test_who_is_cut_off_blames_nobody_and_is_taken_back() -> None:
    net = settled(30)
    alone = net.names[7]
    net.cut([alone], [name for name in net.names if name != alone])
    net.run(8.0)
    assert not net.societies[alone].watch.down
    assert all(not net.societies[name].alive(alone) for name in net.names if name != alone)
    net.cuts.clear()
    assert net.run(4.0, lambda: held_down(net))


def test_a_link_that_is_cut_one_way_is_no_reason() -> None:
    net = settled(30)
    for at, name in enumerate(net.names):
        for by in net.societies[name].watch.rings.watchers(name, net.machines[name].zone)[at % 2][:1]:
            net.cuts.add((name, by))
    before = net.sent
    net.run(40.0)
    assert net.downs == []
    late = net.sent
    net.run(40.0)
    assert net.sent - late < 1.1 * (late - before), "doubts in vain grow rare"


def test_two_zones_that_lose_sight_of_each_other_are_not_held_down_in_the_third() -> None:
    net = settled(60)
    net.cut(zone_of(net, 1), zone_of(net, 2))
    net.run(20.0)
    assert net.downs == []


def test_who_is_heard_in_a_third_zone_is_not_doubted_where_two_zones_lose_each_other() -> None:
    net = settled(60, loss=0.0)
    net.cut(zone_of(net, 1), zone_of(net, 2))
    doubts: list[list[tuple[int, int, int]]] = []
    tells = [(membership.watch, membership.watch.tell) for membership in net.live()]
    for each, _ in tells:
        each.tell = doubts.append
    net.run(30.0)
    assert doubts == []
    for each, tell in tells:
        each.tell = tell
    ended = zone_of(net, 1)[5]
    net.kill(ended)
    assert net.run(4.0, lambda: held_down(net, ended)), "a real end is known as soon as ever"


def test_a_witness_tells_only_what_it_heard_of_the_node_itself() -> None:
    nodes = ["10.1.0.1", "10.2.0.1", "10.3.0.1"]
    table = {
        node: Entry(key_of(node), 1, 1, zone, {}) for node, zone in zip(nodes, ("a", "b", "c"), strict=True)
    }
    one = Watch(nodes[0], "a", table)
    for node in nodes[1:]:
        one.changed(0.0, node, table[node], None)
    one.heard(0.0, nodes[2])
    one.tick(0.0)  # watches both; has heard neither since
    about = key_of(nodes[1]).to_bytes(4, "big")
    assert one.inquired(0.2, nodes[2], about) == []
    one.heard(0.5, nodes[1])
    assert one.inquired(0.75, nodes[2], about) == [(nodes[2], watch.TESTIMONY + about + b"\x00\xfa")]
    assert one.inquired(0.5 + watch.ASKED * watch.ELSEWHERE + 0.01, nodes[2], about) == []
    for malformed in (b"", about[:3], about + b"\0", b"\xff" * 4):
        assert one.inquired(0.6, nodes[2], malformed) == []
        one.testified(0.6, malformed)


def test_a_testimony_counts_from_when_the_node_was_heard() -> None:
    nodes = ["10.1.0.1", "10.2.0.1", "10.3.0.1"]
    table = {
        node: Entry(key_of(node), 1, 1, zone, {}) for node, zone in zip(nodes, ("a", "b", "c"), strict=True)
    }
    one = Watch(nodes[0], "a", table)
    for node in nodes[1:]:
        one.changed(0.0, node, table[node], None)
    about = key_of(nodes[1]).to_bytes(4, "big")
    questions: list[tuple[str, bytes]] = []
    for at in range(1, 5):
        one.heard(0.4 * at, nodes[2])
        questions += one.tick(0.4 * at)
    assert (nodes[2], watch.INQUIRY + about) not in questions
    one.heard(2.0, nodes[2])
    assert (nodes[2], watch.INQUIRY + about) in one.tick(2.0)
    one.testified(2.1, about + (300).to_bytes(2, "big"))
    assert one._heard[nodes[1]] == pytest.approx(1.8)
    one.testified(2.2, about + (2000).to_bytes(2, "big"))
    assert one._heard[nodes[1]] == pytest.approx(1.8), "an older sign changes nothing"


def test_two_nodes_alone_blame_nobody_and_three_hold_one_down() -> None:
    net = settled(2)
    net.kill(net.names[1])
    net.run(10.0)
    assert net.downs == []
    net = settled(3)
    net.kill(net.names[1])
    assert net.run(5.0, lambda: held_down(net, net.names[1]))


def test_who_comes_later_learns_of_it() -> None:
    net = settled(30)
    net.kill(net.names[9])
    net.kill(net.names[12])
    net.run(5.0)
    late = "10.2.9.9"
    net.join(late)
    assert net.run(3.0, lambda: {*net.names[9:13:3]} <= {*net.societies[late].watch.down})


def table_of(*nodes: str) -> dict[str, Entry]:
    return {node: Entry(key_of(node), 1, 1, "east", {}) for node in nodes}


def test_what_one_node_tells_is_bounded() -> None:
    nodes = [f"10.0.0.{at}" for at in range(60)]
    table = table_of(*nodes)
    one = Watch(nodes[0], "east", table)
    told: list[list[tuple[int, int, int]]] = []
    one.tell = told.append
    for node in nodes[1:]:
        one.changed(0.0, node, table[node], None)
    for at in range(200):
        one.heard(at * 0.41, "10.7.7.7")
        one.tick(at * 0.41)
    assert one._doubts
    assert max(map(len, told)) <= watch.DOUBTS
    assert len(one._heard) <= watch.DOUBTS + len(one.down) + 4
    assert "10.7.7.7" not in one._heard


def test_doubts_that_are_not_understood_or_of_strangers_are_left_out() -> None:
    nodes = ["10.0.0.1", "10.0.0.2", "10.0.0.3"]
    table = table_of(*nodes)
    one = Watch(nodes[0], "east", table)
    for doubts in (7, [7], [["a", 1, 1]], [[key_of("10.5.5.5"), 1, 1]], [[-1, 1, 1]], [[1, 2]]):
        table[nodes[1]].say = {"doubts": doubts}
        one.changed(0.0, nodes[1], table[nodes[1]], None)
    assert one._against == {}
