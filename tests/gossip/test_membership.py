"""News and watch joined on a host."""

from __future__ import annotations

import random

from honeywharf.gossip.membership import Draws
from tests.gossip.net import PORT, settled


def test_foreign_datagrams_of_every_first_byte_are_survived() -> None:
    net = settled(5, loss=0.0)
    rng = random.Random(5)
    membership = net.societies[net.names[0]]
    for first in range(256):
        for size in (0, 1, 7, 8, 9, 40, 1399):
            membership._received((net.names[1], PORT), bytes([first]) + rng.randbytes(size))
    membership._received((net.names[1], PORT), b"")
    membership._received(("8.8.8.8", 53), b"p")
    membership._received(("no address", PORT), b"t\x01")
    ignored = membership.news.ignored
    assert ignored > 1000
    net.run(4.0)
    assert net.all_know()
    assert membership.news.ignored == ignored
    assert net.downs == []


def test_who_doubts_another_does_not_take_its_own_words_back_for_news() -> None:
    net = settled(13)
    gone = net.names[6]
    net.machines[gone].frozen = True
    net.run(3.0)
    assert net.downs
    others = [membership.news for membership in net.live() if membership.news.me != gone]
    numbers = [news.table[news.me].number for news in others]
    assert max(numbers) <= 4, "each doubt is told once; a storm renumbers with each echo"
    held = net.sent
    net.run(3.0)
    assert net.sent - held < 3 * 250, "a silent node costs the others no more than a quiet day"


def test_who_has_stopped_sends_nothing_and_calls_nobody() -> None:
    net = settled(5)
    membership = net.societies[net.names[0]]
    membership.leave()
    membership.stop()
    membership.on_change = lambda *_: calls.append("change")
    membership.on_word = lambda *_: calls.append("word")
    membership.on_down = lambda *_: calls.append("down")
    calls: list[str] = []
    others = net.sent
    net.run(0.0)
    assert net.sent == others
    net.societies[net.names[1]].shout_word(4)
    net.run(5.0)
    assert calls == []
    assert not net.societies[net.names[1]].alive(net.names[0])


def test_a_program_that_tells_in_a_callback_is_heard() -> None:
    net = settled(13)
    one, other = net.societies[net.names[1]], net.societies[net.names[2]]
    one.on_change = lambda node, entry, old: one.tell(seen=node) if node == net.names[2] else None
    other.tell(state="draining")
    assert net.run(2.0, lambda: all(s.entries()[net.names[1]].say.get("seen") for s in net.live()))  # type: ignore[union-attr]
    assert net.run(2.0, net.all_know)


def test_chance_is_even_enough() -> None:
    draws = Draws(b"\x00" * 8)
    drawn = [draws.random() for _ in range(4000)]
    assert all(0.0 <= value < 1.0 for value in drawn)
    tenths = [sum(at <= value * 10 < at + 1 for value in drawn[100:]) for at in range(10)]
    assert min(tenths) > 300


def test_an_end_is_told_and_then_it_is_quiet_again() -> None:
    net = settled(13)
    net.run(2.0)
    net.kill(net.names[6])
    net.run(3.0)
    assert all(not membership.alive(net.names[6]) for membership in net.live())
    assert max(entry.number for entry in net.live()[0].entries().values()) <= 6
    net.bytes = dict.fromkeys(net.bytes, 0)
    net.run(2.0)
    assert sum(net.bytes.values()) / 2.0 / 12 < 500, "bytes a second of a node"


def test_who_hears_its_own_words_again_does_not_take_them_for_others() -> None:
    net = settled(4)
    first = net.societies[net.names[3]]
    before = first.entries()[first.news.me].number
    first.tell(odd=(1, (2, b"x")), more=[(3,)], none=None)
    net.run(3.0)
    assert first.entries()[first.news.me].number == before + 1
    assert net.societies[net.names[0]].entries()[first.news.me].say == first.entries()[first.news.me].say
