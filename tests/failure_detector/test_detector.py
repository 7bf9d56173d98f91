"""The failure detector in a simulated network that loses one datagram in twenty."""

from __future__ import annotations

import random

import pytest

from honeywharf.failure_detector import detector
from honeywharf.failure_detector.detector import FailureDetector
from honeywharf.gossip.entry import Entry, key_of
from tests.gossip.network import GossipNetwork, converged_network


def nodes_in_zone(network: GossipNetwork, zone: int) -> list[str]:
    return [name for name in network.names if name.startswith(f"10.{zone}.")]


def zones_marked_down(network: GossipNetwork) -> dict[str, set[str]]:
    """Returns by zone the zones that all nodes of that zone mark down."""
    zone = {name: machine.zone for name, machine in network.machines.items()}
    marked_down: dict[str, set[str]] = {}
    for at in sorted({*zone.values()}):
        views = [
            {*membership.failure_detector.down}
            for membership in network.live()
            if membership.gossip.table.zone == at
        ]
        marked_down[at] = {zone[down] for down in set.intersection(*views)}
    return marked_down


def all_mark_down(network: GossipNetwork, *nodes: str) -> bool:
    """Returns whether all live nodes mark exactly these nodes down."""
    return all(set(membership.failure_detector.down) == {*nodes} for membership in network.live())


@pytest.mark.parametrize("nodes", [13, 100])
def test_only_a_failed_node_is_marked_down_by_all(nodes: int) -> None:
    network = converged_network(nodes)
    network.run(20.0)
    assert network.down_reports == []
    network.kill(network.names[9])
    assert network.run(4.0, lambda: all_mark_down(network, network.names[9]))
    network.run(5.0)
    assert all_mark_down(network, network.names[9])
    assert not network.memberships[network.names[8]].is_alive(network.names[9])


def test_a_failed_zone_is_marked_down() -> None:
    network = converged_network(60)
    failed_nodes = nodes_in_zone(network, 2)
    for name in failed_nodes:
        network.kill(name)
    assert network.run(8.0, lambda: all_mark_down(network, *failed_nodes))


def test_a_partitioned_zone_marks_all_other_zones_down() -> None:
    network = converged_network(40)
    network.cut(nodes_in_zone(network, 1), nodes_in_zone(network, 2) + nodes_in_zone(network, 3))
    expected = {"east": {"north", "west"}, "north": {"east"}, "west": {"east"}}
    assert network.run(10.0, lambda: zones_marked_down(network) == expected)
    network.run(100.0)
    assert {len(membership.entries()) for membership in network.live()} == {14, 26}, "dropped after 30 s"
    network.cuts.clear()
    network.run(0.1)
    assert network.run(10.0, network.all_know)


@pytest.mark.parametrize("seconds", [0.6, 1.5, 3.0])
def test_watchers_that_were_frozen_suspect_no_node(seconds: float) -> None:
    network = converged_network(60)
    frozen = random.Random(4).sample(network.names, 20)
    for name in frozen:
        network.machines[name].is_frozen = True
    network.run(seconds)
    for name in frozen:
        network.machines[name].resume()
    network.run(0.02)
    assert network.run(6.0, lambda: network.all_know() and all_mark_down(network))
    assert {node for _, _, node in network.down_reports} <= {*frozen}
    assert seconds > 1.5 or network.down_reports == []


def test_an_isolated_node_suspects_no_node_and_is_accepted_again() -> None:
    network = converged_network(30)
    alone = network.names[7]
    network.cut([alone], [name for name in network.names if name != alone])
    network.run(8.0)
    assert not network.memberships[alone].failure_detector.down
    assert all(not network.memberships[name].is_alive(alone) for name in network.names if name != alone)
    network.cuts.clear()
    assert network.run(4.0, lambda: all_mark_down(network))


def test_links_broken_in_one_direction_mark_no_node_down() -> None:
    network = converged_network(30)
    for at, name in enumerate(network.names):
        for by in network.memberships[name].failure_detector.rings.watchers(
            name, network.machines[name].zone
        )[at % 2][:1]:
            network.cuts.add((name, by))
    before = network.sent
    network.run(40.0)
    assert network.down_reports == []
    late = network.sent
    network.run(40.0)
    assert network.sent - late < 1.1 * (late - before), "refuted suspicions become less frequent"


def test_two_zones_without_contact_are_not_marked_down_by_the_third() -> None:
    network = converged_network(60)
    network.cut(nodes_in_zone(network, 1), nodes_in_zone(network, 2))
    network.run(20.0)
    assert network.down_reports == []


def test_nodes_with_contact_to_a_third_zone_are_not_suspected() -> None:
    network = converged_network(60, loss=0.0)
    network.cut(nodes_in_zone(network, 1), nodes_in_zone(network, 2))
    suspicions: list[list[tuple[int, int, int]]] = []
    callbacks = [
        (membership.failure_detector, membership.failure_detector.on_suspicions)
        for membership in network.live()
    ]
    for each, _ in callbacks:
        each.on_suspicions = suspicions.append
    network.run(30.0)
    assert suspicions == []
    for each, callback in callbacks:
        each.on_suspicions = callback
    ended = nodes_in_zone(network, 1)[5]
    network.kill(ended)
    assert network.run(4.0, lambda: all_mark_down(network, ended)), (
        "a failed node is detected as fast as without the partition"
    )


def test_a_watcher_reports_only_direct_contact() -> None:
    nodes = ["10.1.0.1", "10.2.0.1", "10.3.0.1"]
    table = {
        node: Entry(key_of(node), 1, 1, zone, {}) for node, zone in zip(nodes, ("a", "b", "c"), strict=True)
    }
    local = FailureDetector(nodes[0], "a", table)
    for node in nodes[1:]:
        local.entry_changed(0.0, node, table[node], None)
    local.record_contact(0.0, nodes[2])
    local.tick(0.0)  # The local node watches both, and neither is in contact.
    key = key_of(nodes[1]).to_bytes(4, "big")
    assert local.answer_contact_query(0.2, nodes[2], key) == []
    local.record_contact(0.5, nodes[1])
    assert local.answer_contact_query(0.75, nodes[2], key) == [
        (nodes[2], detector.CONTACT_REPORT + key + b"\x00\xfa")
    ]
    assert (
        local.answer_contact_query(
            0.5 + detector.PROBE_TIMEOUT_S * detector.CROSS_ZONE_TIMEOUT_FACTOR + 0.01, nodes[2], key
        )
        == []
    )
    for malformed in (b"", key[:3], key + b"\0", b"\xff" * 4):
        assert local.answer_contact_query(0.6, nodes[2], malformed) == []
        local.receive_contact_report(0.6, malformed)


def test_a_contact_report_counts_from_the_time_of_contact() -> None:
    nodes = ["10.1.0.1", "10.2.0.1", "10.3.0.1"]
    table = {
        node: Entry(key_of(node), 1, 1, zone, {}) for node, zone in zip(nodes, ("a", "b", "c"), strict=True)
    }
    local = FailureDetector(nodes[0], "a", table)
    for node in nodes[1:]:
        local.entry_changed(0.0, node, table[node], None)
    key = key_of(nodes[1]).to_bytes(4, "big")
    datagrams: list[tuple[str, bytes]] = []
    for at in range(1, 5):
        local.record_contact(0.4 * at, nodes[2])
        datagrams += local.tick(0.4 * at)
    assert (nodes[2], detector.CONTACT_QUERY + key) not in datagrams
    local.record_contact(2.0, nodes[2])
    assert (nodes[2], detector.CONTACT_QUERY + key) in local.tick(2.0)
    local.receive_contact_report(2.1, key + (300).to_bytes(2, "big"))
    assert local._last_contact_at[nodes[1]] == pytest.approx(1.8)
    local.receive_contact_report(2.2, key + (2000).to_bytes(2, "big"))
    assert local._last_contact_at[nodes[1]] == pytest.approx(1.8), "an older contact changes nothing"


def test_two_nodes_mark_no_node_down_and_three_do() -> None:
    network = converged_network(2)
    network.kill(network.names[1])
    network.run(10.0)
    assert network.down_reports == []
    network = converged_network(3)
    network.kill(network.names[1])
    assert network.run(5.0, lambda: all_mark_down(network, network.names[1]))


def test_a_node_that_joins_later_learns_of_down_nodes() -> None:
    network = converged_network(30)
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


def test_published_suspicions_are_bounded() -> None:
    nodes = [f"10.0.0.{at}" for at in range(60)]
    table = table_of(*nodes)
    local = FailureDetector(nodes[0], "east", table)
    published: list[list[tuple[int, int, int]]] = []
    local.on_suspicions = published.append
    for node in nodes[1:]:
        local.entry_changed(0.0, node, table[node], None)
    for at in range(200):
        local.record_contact(at * 0.41, "10.7.7.7")
        local.tick(at * 0.41)
    assert local._suspicions
    assert max(map(len, published)) <= detector.MAX_SUSPICIONS
    assert len(local._last_contact_at) <= detector.MAX_SUSPICIONS + len(local.down) + 4
    assert "10.7.7.7" not in local._last_contact_at


def test_malformed_suspicions_and_those_of_unknown_nodes_are_ignored() -> None:
    nodes = ["10.0.0.1", "10.0.0.2", "10.0.0.3"]
    table = table_of(*nodes)
    local = FailureDetector(nodes[0], "east", table)
    for suspicions in (7, [7], [["a", 1, 1]], [[key_of("10.5.5.5"), 1, 1]], [[-1, 1, 1]], [[1, 2]]):
        table[nodes[1]].attributes = {"doubts": suspicions}
        local.entry_changed(0.0, nodes[1], table[nodes[1]], None)
    assert local._suspected_by == {}
