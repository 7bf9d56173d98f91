"""Gossip in a simulated network that loses one datagram in twenty."""

from __future__ import annotations

from functools import partial

import pytest

from tests.gossip.network import GossipNetwork, attribute, sample, settled


@pytest.mark.parametrize(("nodes", "seed"), [(3, 1), (13, 1), (13, 2), (100, 1), (100, 2)])
def test_all_know_all_soon_after_the_first_start(nodes: int, seed: int) -> None:
    network = GossipNetwork(seed, nodes)
    network.start_all(spread=0.5)
    network.run(0.6)
    assert network.run(2.5, network.all_know)


@pytest.mark.parametrize("nodes", [13, 100])
def test_a_change_reaches_all(nodes: int) -> None:
    network = settled(nodes)
    for name in network.names[5:8]:
        network.memberships[name].publish(state="draining")
        assert network.run(2.0, network.all_know)
        assert all(attribute(each, name, "state") == "draining" for each in network.live())


def note(told: list[tuple[int, str]], revision: int, holder: str) -> None:
    told.append((revision, holder))


def test_a_word_reaches_all_and_is_told_until_it_is_taken() -> None:
    network = settled(100)
    told: dict[str, list[tuple[int, str]]] = {name: [] for name in network.names}
    for name, membership in network.memberships.items():
        membership.on_newer_revision = partial(note, told[name])
    first = network.names[7]
    network.memberships[first].broadcast_revision(9)
    assert network.run(1.0, lambda: all(told[name] for name in network.names if name != first))
    assert not told[first]
    assert told[network.names[8]][0] == (9, first)
    for name in network.names[50:]:
        network.memberships[name].publish(rev=9)
    before = len(told[network.names[8]])
    network.run(2.0)
    assert len(told[network.names[8]]) > before, "who has not taken it is told again"
    for name in network.names:
        network.memberships[name].publish(rev=9)
        told[name].clear()
    network.run(3.0)
    assert not any(told.values())
    watched = network.memberships[first].failure_detector.rings.watched(first, network.machines[first].zone)
    for name in watched[0] + watched[1]:
        assert attribute(network.memberships[first], name, "rev") == 9, "heartbeats carry it"


def test_a_revision_alone_costs_no_rumour() -> None:
    network = settled(100, loss=0.0)
    network.run(2.0)
    before = network.sent
    network.run(2.0)
    idle, before = network.sent - before, network.sent
    for membership in network.live():
        membership.publish(rev=5)
    network.run(2.0)
    assert network.sent - before < 1.1 * idle


def test_who_leaves_is_known_to_have_left_is_dropped_and_does_not_come_back() -> None:
    network = settled(30)
    name = network.names[11]
    network.memberships[name].leave()
    assert network.run(2.0, lambda: not any(membership.is_alive(name) for membership in network.live()))
    network.kill(name)
    network.run(40.0)
    assert not any(name in membership.entries() for membership in network.live())
    network.run(80.0)
    assert not any(name in membership.entries() for membership in network.live())
    assert all(not membership.gossip.table.dropped for membership in network.live())
    assert network.downs == []


@pytest.mark.parametrize("incarnation", [0, 1, 2])
def test_a_node_that_starts_again_is_heard_whatever_its_clock_says(incarnation: int) -> None:
    network = settled(30)
    name = network.names[11]
    network.memberships[name].publish(state="draining")
    network.run(2.0)
    network.start(name, incarnation, **{**sample(name), "id": "i-new"})
    network.run(0.2)
    assert network.run(4.0, network.all_know)
    assert all(attribute(each, name, "id") == "i-new" for each in network.live())


@pytest.mark.parametrize("away", [8.0, 20.0, 60.0])
def test_two_halves_that_were_cut_find_each_other(away: float) -> None:
    network = settled(40)
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
    network.downs.clear()
    network.run(10.0)
    assert network.downs == []


def test_who_was_frozen_until_it_was_dropped_comes_back() -> None:
    network = settled(30)
    name = network.names[11]
    network.machines[name].frozen = True
    network.run(45.0)
    assert not any(
        name in membership.entries() for membership in network.live() if membership.local_node != name
    )
    network.machines[name].resume()
    network.run(0.2)
    assert network.run(
        8.0, lambda: network.all_know() and all(membership.is_alive(name) for membership in network.live())
    )


def test_seeds_that_are_down_are_found_later() -> None:
    network = GossipNetwork(1, 12)
    for name in network.names[1:]:
        network.start(name, **sample(name))
    network.run(10.0)
    network.start(network.names[0], **sample(network.names[0]))
    network.run(0.1)
    assert network.run(3.0, network.all_know)
