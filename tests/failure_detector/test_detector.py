"""Who is silent, in a simulated network that loses one datagram in twenty."""

from __future__ import annotations

import random

import pytest

from honeywharf.failure_detector import detector
from honeywharf.failure_detector.detector import FailureDetector
from honeywharf.gossip.entry import Entry, key_of
from tests.gossip.network import GossipNetwork, settled


def zone_of(network: GossipNetwork, zone: int) -> list[str]:
    return [name for name in network.names if name.startswith(f"10.{zone}.")]


def sides(network: GossipNetwork) -> dict[str, set[str]]:
    """By zone, the zones whose nodes all of that zone hold down."""
    zone = {name: machine.zone for name, machine in network.machines.items()}
    held: dict[str, set[str]] = {}
    for at in sorted({*zone.values()}):
        views = [
            {*membership.failure_detector.down}
            for membership in network.live()
            if membership.gossip.table.zone == at
        ]
        held[at] = {zone[down] for down in set.intersection(*views)}
    return held


def held_down(network: GossipNetwork, *nodes: str) -> bool:
    """Whether all live ones hold just these down."""
    return all(set(membership.failure_detector.down) == {*nodes} for membership in network.live())


@pytest.mark.parametrize("nodes", [13, 100])
def test_who_ends_is_held_down_by_all_and_no_other(nodes: int) -> None:
    network = settled(nodes)
    network.run(20.0)
    assert network.downs == []
    network.kill(network.names[9])
    assert network.run(4.0, lambda: held_down(network, network.names[9]))
    network.run(5.0)
    assert held_down(network, network.names[9])
    assert not network.memberships[network.names[8]].is_alive(network.names[9])


def test_a_whole_zone_ends() -> None:
    network = settled(60)
    gone = zone_of(network, 2)
    for name in gone:
        network.kill(name)
    assert network.run(8.0, lambda: held_down(network, *gone))


def test_a_zone_that_is_cut_off_holds_all_others_down() -> None:
    network = settled(40)
    network.cut(zone_of(network, 1), zone_of(network, 2) + zone_of(network, 3))
    expected = {"east": {"north", "west"}, "north": {"east"}, "west": {"east"}}
    assert network.run(10.0, lambda: sides(network) == expected)
    network.run(100.0)
    assert {len(membership.entries()) for membership in network.live()} == {14, 26}, "dropped after 30 s"
    network.cuts.clear()
    network.run(0.1)
    assert network.run(10.0, network.all_know)


@pytest.mark.parametrize("seconds", [0.6, 1.5, 3.0])
def test_watchers_that_were_frozen_blame_nobody(seconds: float) -> None:
    network = settled(60)
    frozen = random.Random(4).sample(network.names, 20)
    for name in frozen:
        network.machines[name].frozen = True
    network.run(seconds)
    for name in frozen:
        network.machines[name].resume()
    network.run(0.02)
    assert network.run(6.0, lambda: network.all_know() and held_down(network))
    assert {node for _, _, node in network.downs} <= {*frozen}
    assert seconds > 1.5 or network.downs == []


def test_who_is_cut_off_blames_nobody_and_is_taken_back() -> None:
    network = settled(30)
    alone = network.names[7]
    network.cut([alone], [name for name in network.names if name != alone])
    network.run(8.0)
    assert not network.memberships[alone].failure_detector.down
    assert all(not network.memberships[name].is_alive(alone) for name in network.names if name != alone)
    network.cuts.clear()
    assert network.run(4.0, lambda: held_down(network))


def test_a_link_that_is_cut_one_way_is_no_reason() -> None:
    network = settled(30)
    for at, name in enumerate(network.names):
        for by in network.memberships[name].failure_detector.rings.watchers(
            name, network.machines[name].zone
        )[at % 2][:1]:
            network.cuts.add((name, by))
    before = network.sent
    network.run(40.0)
    assert network.downs == []
    late = network.sent
    network.run(40.0)
    assert network.sent - late < 1.1 * (late - before), "doubts in vain grow rare"


def test_two_zones_that_lose_sight_of_each_other_are_not_held_down_in_the_third() -> None:
    network = settled(60)
    network.cut(zone_of(network, 1), zone_of(network, 2))
    network.run(20.0)
    assert network.downs == []


def test_who_is_heard_in_a_third_zone_is_not_doubted_where_two_zones_lose_each_other() -> None:
    network = settled(60, loss=0.0)
    network.cut(zone_of(network, 1), zone_of(network, 2))
    doubts: list[list[tuple[int, int, int]]] = []
    tells = [
        (membership.failure_detector, membership.failure_detector.on_suspicions)
        for membership in network.live()
    ]
    for each, _ in tells:
        each.on_suspicions = doubts.append
    network.run(30.0)
    assert doubts == []
    for each, tell in tells:
        each.on_suspicions = tell
    ended = zone_of(network, 1)[5]
    network.kill(ended)
    assert network.run(4.0, lambda: held_down(network, ended)), "a real end is known as soon as ever"


def test_a_witness_tells_only_what_it_heard_of_the_node_itself() -> None:
    nodes = ["10.1.0.1", "10.2.0.1", "10.3.0.1"]
    table = {
        node: Entry(key_of(node), 1, 1, zone, {}) for node, zone in zip(nodes, ("a", "b", "c"), strict=True)
    }
    one = FailureDetector(nodes[0], "a", table)
    for node in nodes[1:]:
        one.entry_changed(0.0, node, table[node], None)
    one.record_contact(0.0, nodes[2])
    one.tick(0.0)  # watches both; has heard neither since
    about = key_of(nodes[1]).to_bytes(4, "big")
    assert one.answer_contact_query(0.2, nodes[2], about) == []
    one.record_contact(0.5, nodes[1])
    assert one.answer_contact_query(0.75, nodes[2], about) == [
        (nodes[2], detector.CONTACT_REPORT + about + b"\x00\xfa")
    ]
    assert (
        one.answer_contact_query(
            0.5 + detector.PROBE_TIMEOUT_S * detector.CROSS_ZONE_TIMEOUT_FACTOR + 0.01, nodes[2], about
        )
        == []
    )
    for malformed in (b"", about[:3], about + b"\0", b"\xff" * 4):
        assert one.answer_contact_query(0.6, nodes[2], malformed) == []
        one.receive_contact_report(0.6, malformed)


def test_a_testimony_counts_from_when_the_node_was_heard() -> None:
    nodes = ["10.1.0.1", "10.2.0.1", "10.3.0.1"]
    table = {
        node: Entry(key_of(node), 1, 1, zone, {}) for node, zone in zip(nodes, ("a", "b", "c"), strict=True)
    }
    one = FailureDetector(nodes[0], "a", table)
    for node in nodes[1:]:
        one.entry_changed(0.0, node, table[node], None)
    about = key_of(nodes[1]).to_bytes(4, "big")
    questions: list[tuple[str, bytes]] = []
    for at in range(1, 5):
        one.record_contact(0.4 * at, nodes[2])
        questions += one.tick(0.4 * at)
    assert (nodes[2], detector.CONTACT_QUERY + about) not in questions
    one.record_contact(2.0, nodes[2])
    assert (nodes[2], detector.CONTACT_QUERY + about) in one.tick(2.0)
    one.receive_contact_report(2.1, about + (300).to_bytes(2, "big"))
    assert one._last_contact_at[nodes[1]] == pytest.approx(1.8)
    one.receive_contact_report(2.2, about + (2000).to_bytes(2, "big"))
    assert one._last_contact_at[nodes[1]] == pytest.approx(1.8), "an older sign changes nothing"


def test_two_nodes_alone_blame_nobody_and_three_hold_one_down() -> None:
    network = settled(2)
    network.kill(network.names[1])
    network.run(10.0)
    assert network.downs == []
    network = settled(3)
    network.kill(network.names[1])
    assert network.run(5.0, lambda: held_down(network, network.names[1]))


def test_who_comes_later_learns_of_it() -> None:
    network = settled(30)
    network.kill(network.names[9])
    network.kill(network.names[12])
    network.run(5.0)
    late = "10.2.9.9"
    network.join(late)
    assert network.run(
        3.0, lambda: {*network.names[9:13:3]} <= {*network.memberships[late].failure_detector.down}
    )


def table_of(*nodes: str) -> dict[str, Entry]:
    return {node: Entry(key_of(node), 1, 1, "east", {}) for node in nodes}


def test_what_one_node_tells_is_bounded() -> None:
    nodes = [f"10.0.0.{at}" for at in range(60)]
    table = table_of(*nodes)
    one = FailureDetector(nodes[0], "east", table)
    told: list[list[tuple[int, int, int]]] = []
    one.on_suspicions = told.append
    for node in nodes[1:]:
        one.entry_changed(0.0, node, table[node], None)
    for at in range(200):
        one.record_contact(at * 0.41, "10.7.7.7")
        one.tick(at * 0.41)
    assert one._suspicions
    assert max(map(len, told)) <= detector.MAX_SUSPICIONS
    assert len(one._last_contact_at) <= detector.MAX_SUSPICIONS + len(one.down) + 4
    assert "10.7.7.7" not in one._last_contact_at


def test_doubts_that_are_not_understood_or_of_strangers_are_left_out() -> None:
    nodes = ["10.0.0.1", "10.0.0.2", "10.0.0.3"]
    table = table_of(*nodes)
    one = FailureDetector(nodes[0], "east", table)
    for doubts in (7, [7], [["a", 1, 1]], [[key_of("10.5.5.5"), 1, 1]], [[-1, 1, 1]], [[1, 2]]):
        table[nodes[1]].attributes = {"doubts": doubts}
        one.entry_changed(0.0, nodes[1], table[nodes[1]], None)
    assert one._suspected_by == {}
