"""Membership: gossip and the failure detector on one host."""

from __future__ import annotations

import random

from honeywharf.gossip.membership import XorShift
from tests.gossip.network import PORT, attribute, converged_network


def test_random_datagrams_of_every_kind_have_no_effect() -> None:
    network = converged_network(5, loss=0.0)
    rng = random.Random(5)
    membership = network.memberships[network.names[0]]
    for first in range(256):
        for size in (0, 1, 7, 8, 9, 40, 1399):
            membership._received((network.names[1], PORT), bytes([first]) + rng.randbytes(size))
    membership._received((network.names[1], PORT), b"")
    membership._received(("8.8.8.8", 53), b"p")
    membership._received(("no address", PORT), b"t\x01")
    malformed = membership.gossip.malformed_datagrams
    assert malformed > 1000
    network.run(4.0)
    assert network.all_know()
    assert membership.gossip.malformed_datagrams == malformed
    assert network.down_reports == []


def test_published_suspicions_that_return_are_not_renumbered() -> None:
    network = converged_network(13)
    frozen_node = network.names[6]
    network.machines[frozen_node].is_frozen = True
    network.run(3.0)
    assert network.down_reports
    datagrams_before = [
        membership.gossip for membership in network.live() if membership.local_node != frozen_node
    ]
    sequences = [one.table.own.sequence for one in datagrams_before]
    assert max(sequences) <= 4, "each suspicion is published once, not again with each copy that returns"
    datagrams_before_quiet = network.sent
    network.run(3.0)
    assert network.sent - datagrams_before_quiet < 3 * 250, "a frozen node adds no traffic"


def test_a_stopped_membership_sends_nothing_and_calls_no_callback() -> None:
    network = converged_network(5)
    membership = network.memberships[network.names[0]]
    membership.leave()
    membership.stop()
    membership.on_change = lambda *_: calls.append("change")
    membership.on_newer_revision = lambda *_: calls.append("word")
    membership.on_down = lambda *_: calls.append("down")
    calls: list[str] = []
    datagrams_before = network.sent
    network.run(0.0)
    assert network.sent == datagrams_before
    network.memberships[network.names[1]].broadcast_revision(4)
    network.run(5.0)
    assert calls == []
    assert not network.memberships[network.names[1]].is_alive(network.names[0])


def test_an_attribute_published_in_a_callback_reaches_all_nodes() -> None:
    network = converged_network(13)
    one, other = network.memberships[network.names[1]], network.memberships[network.names[2]]
    one.on_change = lambda node, entry, old: one.publish(seen=node) if node == network.names[2] else None
    other.publish(state="draining")
    assert network.run(2.0, lambda: all(attribute(each, network.names[1], "seen") for each in network.live()))
    assert network.run(2.0, network.all_know)


def test_xorshift_is_roughly_uniform() -> None:
    generator = XorShift(b"\x00" * 8)
    values = [generator.random() for _ in range(4000)]
    assert all(0.0 <= value < 1.0 for value in values)
    tenths = [sum(at <= value * 10 < at + 1 for value in values[100:]) for at in range(10)]
    assert min(tenths) > 300


def test_traffic_returns_to_normal_after_a_node_fails() -> None:
    network = converged_network(13)
    network.run(2.0)
    network.kill(network.names[6])
    network.run(3.0)
    assert all(not membership.is_alive(network.names[6]) for membership in network.live())
    assert max(entry.sequence for entry in network.live()[0].entries().values()) <= 6
    network.bytes = dict.fromkeys(network.bytes, 0)
    network.run(2.0)
    assert sum(network.bytes.values()) / 2.0 / 12 < 500, "bytes per second and node"


def test_attributes_changed_by_encoding_are_not_refuted() -> None:
    network = converged_network(4)
    first = network.memberships[network.names[3]]
    before = first.entries()[first.local_node].sequence
    first.publish(odd=(1, (2, b"x")), more=[(3,)], none=None)
    network.run(3.0)
    assert first.entries()[first.local_node].sequence == before + 1
    assert (
        network.memberships[network.names[0]].entries()[first.local_node].attributes
        == first.entries()[first.local_node].attributes
    )
