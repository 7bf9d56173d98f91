"""Gossip in a simulated network that loses one datagram in twenty."""

from __future__ import annotations

from functools import partial

import pytest

from tests.gossip.network import GossipNetwork, attribute, converged_network, sample_attributes


@pytest.mark.parametrize(("nodes", "seed"), [(3, 1), (13, 1), (13, 2), (100, 1), (100, 2)])
def test_all_nodes_know_each_other_soon_after_the_start(nodes: int, seed: int) -> None:
    network = GossipNetwork(seed, nodes)
    network.start_all(spread=0.5)
    network.run(0.6)
    assert network.run(2.5, network.all_know)


@pytest.mark.parametrize("nodes", [13, 100])
def test_a_published_change_reaches_all_nodes(nodes: int) -> None:
    network = converged_network(nodes)
    for name in network.names[5:8]:
        network.memberships[name].publish(state="draining")
        assert network.run(2.0, network.all_know)
        assert all(attribute(each, name, "state") == "draining" for each in network.live())


def record_revision(revisions: list[tuple[int, str]], revision: int, holder: str) -> None:
    revisions.append((revision, holder))


def test_a_revision_reaches_all_nodes_and_is_reported_until_published() -> None:
    network = converged_network(100)
    revisions: dict[str, list[tuple[int, str]]] = {name: [] for name in network.names}
    for name, membership in network.memberships.items():
        membership.on_newer_revision = partial(record_revision, revisions[name])
    first = network.names[7]
    network.memberships[first].broadcast_revision(9)
    assert network.run(1.0, lambda: all(revisions[name] for name in network.names if name != first))
    assert not revisions[first]
    assert revisions[network.names[8]][0] == (9, first)
    for name in network.names[50:]:
        network.memberships[name].publish(rev=9)
    before = len(revisions[network.names[8]])
    network.run(2.0)
    assert len(revisions[network.names[8]]) > before, (
        "the callback repeats until the node publishes the revision"
    )
    for name in network.names:
        network.memberships[name].publish(rev=9)
        revisions[name].clear()
    network.run(3.0)
    assert not any(revisions.values())
    watched = network.memberships[first].failure_detector.rings.watched(first, network.machines[first].zone)
    for name in watched[0] + watched[1]:
        assert attribute(network.memberships[first], name, "rev") == 9, "heartbeats carry it"


def test_a_revision_without_other_changes_sends_no_rumour() -> None:
    network = converged_network(100, loss=0.0)
    network.run(2.0)
    before = network.sent
    network.run(2.0)
    idle, before = network.sent - before, network.sent
    for membership in network.live():
        membership.publish(rev=5)
    network.run(2.0)
    assert network.sent - before < 1.1 * idle


def test_a_node_that_leaves_is_dropped_and_does_not_reappear() -> None:
    network = converged_network(30)
    name = network.names[11]
    network.memberships[name].leave()
    assert network.run(2.0, lambda: not any(membership.is_alive(name) for membership in network.live()))
    network.kill(name)
    network.run(40.0)
    assert not any(name in membership.entries() for membership in network.live())
    network.run(80.0)
    assert not any(name in membership.entries() for membership in network.live())
    assert all(not membership.gossip.table.dropped for membership in network.live())
    assert network.down_reports == []


@pytest.mark.parametrize("incarnation", [0, 1, 2])
def test_a_restarted_node_is_accepted_with_any_incarnation(incarnation: int) -> None:
    network = converged_network(30)
    name = network.names[11]
    network.memberships[name].publish(state="draining")
    network.run(2.0)
    network.start(name, incarnation, **{**sample_attributes(name), "id": "i-new"})
    network.run(0.2)
    assert network.run(4.0, network.all_know)
    assert all(attribute(each, name, "id") == "i-new" for each in network.live())


@pytest.mark.parametrize("away", [8.0, 20.0, 60.0])
def test_partitioned_halves_merge_after_the_partition(away: float) -> None:
    network = converged_network(40)
    near = [name for name in network.names if name.startswith("10.1.")]
    far = [name for name in network.names if name not in near]
    network.cut(near, far)
    network.memberships[near[1]].publish(state="draining")
    network.run(away)
    assert not any(
        membership.is_alive(near[1]) for membership in network.live() if membership.local_node in far
    )
    network.memberships[far[1]].publish(state="draining")
    network.cuts.clear()
    network.run(0.5)
    everyone = len(network.names)
    assert network.run(
        15.0,
        lambda: (
            network.all_know() and all(sum(map(s.is_alive, s.entries())) == everyone for s in network.live())
        ),
    )
    network.down_reports.clear()
    network.run(10.0)
    assert network.down_reports == []


def test_a_node_frozen_until_it_was_dropped_returns() -> None:
    network = converged_network(30)
    name = network.names[11]
    network.machines[name].is_frozen = True
    network.run(45.0)
    assert not any(
        name in membership.entries() for membership in network.live() if membership.local_node != name
    )
    network.machines[name].resume()
    network.run(0.2)
    assert network.run(
        8.0, lambda: network.all_know() and all(membership.is_alive(name) for membership in network.live())
    )


def test_a_seed_that_starts_late_is_found() -> None:
    network = GossipNetwork(1, 12)
    for name in network.names[1:]:
        network.start(name, **sample_attributes(name))
    network.run(10.0)
    network.start(network.names[0], **sample_attributes(network.names[0]))
    network.run(0.1)
    assert network.run(3.0, network.all_know)
