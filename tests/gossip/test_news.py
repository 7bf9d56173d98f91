"""News in a simulated network that loses one datagram in twenty."""

from __future__ import annotations

from functools import partial

import pytest

from tests.gossip.net import Net, sample, settled


@pytest.mark.parametrize(("nodes", "seed"), [(3, 1), (13, 1), (13, 2), (100, 1), (100, 2)])
def test_all_know_all_soon_after_the_first_start(nodes: int, seed: int) -> None:
    net = Net(seed, nodes)
    net.start_all(spread=0.5)
    net.run(0.6)
    assert net.run(2.5, net.all_know)


@pytest.mark.parametrize("nodes", [13, 100])
def test_a_change_reaches_all(nodes: int) -> None:
    net = settled(nodes)
    for name in net.names[5:8]:
        net.societies[name].tell(state="draining")
        assert net.run(2.0, net.all_know)
        assert all(membership.entries()[name].say["state"] == "draining" for membership in net.live())  # type: ignore[index]


def note(told: list[tuple[int, str]], revision: int, holder: str) -> None:
    told.append((revision, holder))


def test_a_word_reaches_all_and_is_told_until_it_is_taken() -> None:
    net = settled(100)
    told: dict[str, list[tuple[int, str]]] = {name: [] for name in net.names}
    for name, membership in net.societies.items():
        membership.on_word = partial(note, told[name])
    first = net.names[7]
    net.societies[first].shout_word(9)
    assert net.run(1.0, lambda: all(told[name] for name in net.names if name != first))
    assert not told[first]
    assert told[net.names[8]][0] == (9, first)
    for name in net.names[50:]:
        net.societies[name].tell(rev=9)
    before = len(told[net.names[8]])
    net.run(2.0)
    assert len(told[net.names[8]]) > before, "who has not taken it is told again"
    for name in net.names:
        net.societies[name].tell(rev=9)
        told[name].clear()
    net.run(3.0)
    assert not any(told.values())
    watched = net.societies[first].watch.rings.watched(first, net.machines[first].zone)
    for name in watched[0] + watched[1]:
        assert net.societies[first].entries()[name].say["rev"] == 9, "beats carry it"  # type: ignore[index]


def test_a_revision_alone_costs_no_rumour() -> None:
    net = settled(100, loss=0.0)
    net.run(2.0)
    before = net.sent
    net.run(2.0)
    idle, before = net.sent - before, net.sent
    for membership in net.live():
        membership.tell(rev=5)
    net.run(2.0)
    assert net.sent - before < 1.1 * idle


def test_who_leaves_is_known_to_have_left_is_dropped_and_does_not_come_back() -> None:
    net = settled(30)
    name = net.names[11]
    net.societies[name].leave()
    assert net.run(2.0, lambda: not any(membership.alive(name) for membership in net.live()))
    net.kill(name)
    net.run(40.0)
    assert not any(name in membership.entries() for membership in net.live())
    net.run(80.0)
    assert not any(name in membership.entries() for membership in net.live())
    assert all(not membership.news._buried for membership in net.live())
    assert net.downs == []


@pytest.mark.parametrize("incarnation", [0, 1, 2])
def test_a_node_that_starts_again_is_heard_whatever_its_clock_says(incarnation: int) -> None:
    net = settled(30)
    name = net.names[11]
    net.societies[name].tell(state="draining")
    net.run(2.0)
    net.start(name, incarnation, **{**sample(name), "id": "i-new"})
    net.run(0.2)
    assert net.run(4.0, net.all_know)
    assert all(membership.entries()[name].say["id"] == "i-new" for membership in net.live())  # type: ignore[index]


@pytest.mark.parametrize("away", [8.0, 20.0, 60.0])
def test_two_halves_that_were_cut_find_each_other(away: float) -> None:
    net = settled(40)
    near = [name for name in net.names if name.startswith("10.1.")]
    far = [name for name in net.names if name not in near]
    net.cut(near, far)
    net.societies[near[1]].tell(state="draining")
    net.run(away)
    assert not any(membership.alive(near[1]) for membership in net.live() if membership.news.me in far)
    net.societies[far[1]].tell(state="draining")
    net.cuts.clear()
    net.run(0.5)
    everyone = len(net.names)
    assert net.run(
        15.0, lambda: net.all_know() and all(sum(map(s.alive, s.entries())) == everyone for s in net.live())
    )
    net.downs.clear()
    net.run(10.0)
    assert net.downs == []


def test_who_was_frozen_until_it_was_dropped_comes_back() -> None:
    net = settled(30)
    name = net.names[11]
    net.machines[name].frozen = True
    net.run(45.0)
    assert not any(name in membership.entries() for membership in net.live() if membership.news.me != name)
    net.machines[name].thaw()
    net.run(0.2)
    assert net.run(8.0, lambda: net.all_know() and all(membership.alive(name) for membership in net.live()))


def test_seeds_that_are_down_are_found_later() -> None:
    net = Net(1, 12)
    for name in net.names[1:]:
        net.start(name, **sample(name))
    net.run(10.0)
    net.start(net.names[0], **sample(net.names[0]))
    net.run(0.1)
    assert net.run(3.0, net.all_know)
