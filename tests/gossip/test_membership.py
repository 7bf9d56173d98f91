"""Gossip and the failure detector joined on a host."""

from __future__ import annotations

import random

from honeywharf.gossip.membership import XorShift
from tests.gossip.network import PORT, attribute, settled


def test_foreign_datagrams_of_every_first_byte_are_survived() -> None:
    network = settled(5, loss=0.0)
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
    assert network.downs == []


def test_who_doubts_another_does_not_take_its_own_words_back_for_news() -> None:
    network = settled(13)
    gone = network.names[6]
    network.machines[gone].frozen = True
    network.run(3.0)
    assert network.downs
    others = [membership.gossip for membership in network.live() if membership.local_node != gone]
    numbers = [one.table.own.sequence for one in others]
    assert max(numbers) <= 4, "each doubt is told once; a storm renumbers with each echo"
    held = network.sent
    network.run(3.0)
    assert network.sent - held < 3 * 250, "a silent node costs the others no more than a quiet day"


def test_who_has_stopped_sends_nothing_and_calls_nobody() -> None:
    network = settled(5)
    membership = network.memberships[network.names[0]]
    membership.leave()
    membership.stop()
    membership.on_change = lambda *_: calls.append("change")
    membership.on_newer_revision = lambda *_: calls.append("word")
    membership.on_down = lambda *_: calls.append("down")
    calls: list[str] = []
    others = network.sent
    network.run(0.0)
    assert network.sent == others
    network.memberships[network.names[1]].broadcast_revision(4)
    network.run(5.0)
    assert calls == []
    assert not network.memberships[network.names[1]].is_alive(network.names[0])


def test_a_program_that_tells_in_a_callback_is_heard() -> None:
    network = settled(13)
    one, other = network.memberships[network.names[1]], network.memberships[network.names[2]]
    one.on_change = lambda node, entry, old: one.publish(seen=node) if node == network.names[2] else None
    other.publish(state="draining")
    assert network.run(2.0, lambda: all(attribute(each, network.names[1], "seen") for each in network.live()))
    assert network.run(2.0, network.all_know)


def test_chance_is_even_enough() -> None:
    generator = XorShift(b"\x00" * 8)
    drawn = [generator.random() for _ in range(4000)]
    assert all(0.0 <= value < 1.0 for value in drawn)
    tenths = [sum(at <= value * 10 < at + 1 for value in drawn[100:]) for at in range(10)]
    assert min(tenths) > 300


def test_an_end_is_told_and_then_it_is_quiet_again() -> None:
    network = settled(13)
    network.run(2.0)
    network.kill(network.names[6])
    network.run(3.0)
    assert all(not membership.is_alive(network.names[6]) for membership in network.live())
    assert max(entry.sequence for entry in network.live()[0].entries().values()) <= 6
    network.bytes = dict.fromkeys(network.bytes, 0)
    network.run(2.0)
    assert sum(network.bytes.values()) / 2.0 / 12 < 500, "bytes a second of a node"


def test_who_hears_its_own_words_again_does_not_take_them_for_others() -> None:
    network = settled(4)
    first = network.memberships[network.names[3]]
    before = first.entries()[first.local_node].sequence
    first.publish(odd=(1, (2, b"x")), more=[(3,)], none=None)
    network.run(3.0)
    assert first.entries()[first.local_node].sequence == before + 1
    assert (
        network.memberships[network.names[0]].entries()[first.local_node].attributes
        == first.entries()[first.local_node].attributes
    )
