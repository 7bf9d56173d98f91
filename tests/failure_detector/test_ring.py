"""The assignment of watchers to nodes."""

from __future__ import annotations

import random

import pytest

from honeywharf.failure_detector.ring import FAR_WATCHERS, NEAR_WATCHERS, Ring, Rings

SIZES = [(1, 1), (1, 2), (1, 9), (2, 3), (2, 20), (3, 4), (3, 100), (5, 60)]


@pytest.mark.parametrize(("zones", "nodes"), SIZES)
def test_watched_is_the_inverse_of_watchers(zones: int, nodes: int) -> None:
    rng = random.Random(zones * 1000 + nodes)
    rings = Rings()
    names = [f"10.{rng.randrange(9)}.{at}.{rng.randrange(250)}" for at in range(nodes)]
    zone = {name: f"z{rng.randrange(zones)}" for name in names}
    for node in zone:
        rings.add(node, zone[node])
    for gone in rng.sample(sorted(zone), nodes // 4):
        rings.remove(gone)
        del zone[gone]
    watched: dict[str, set[str]] = {node: set() for node in zone}
    for node in zone:
        near, far = rings.watchers(node, zone[node])
        assert node not in near + far
        assert len({*near, *far}) == len(near) + len(far)
        assert all(zone[by] == zone[node] for by in near)
        assert all(zone[by] != zone[node] for by in far)
        for by in near + far:
            watched[by].add(node)
    for node in zone:
        near, far = rings.watched(node, zone[node])
        assert {*near, *far} == watched[node]
        assert all(zone[of] == zone[node] for of in near)
    assert len(rings) == len(zone)


def test_watchers_in_other_zones_are_in_two_zones() -> None:
    rings = Rings()
    for at in range(30):
        rings.add(f"10.{at % 3}.0.{at}", f"z{at % 3}")
    for at in range(30):
        near, far = rings.watchers(f"10.{at % 3}.0.{at}", f"z{at % 3}")
        assert len(near) == NEAR_WATCHERS
        assert len({by.split(".")[1] for by in far}) == FAR_WATCHERS


def test_watchers_are_evenly_distributed() -> None:
    rings = Rings()
    nodes = [(f"10.{at % 3}.0.{at}", f"z{at % 3}") for at in range(90)]
    for node, zone in nodes:
        rings.add(node, zone)
    loads = [sum(map(len, rings.watched(node, zone))) for node, zone in nodes]
    assert sum(loads) == 90 * (NEAR_WATCHERS + FAR_WATCHERS)
    assert max(loads) <= 20


def test_adding_twice_and_removing_what_is_not_there_changes_nothing() -> None:
    ring = Ring()
    ring.add("a")
    ring.add("a")
    ring.remove("b")
    assert len(ring) == 1
    assert ring.after("a", 3) == ring.before("a", 3) == []
    assert ring.after("b", 3) == ["a"]
    rings = Rings()
    rings.add("a", "east")
    rings.add("a", "west")
    rings.remove("b")
    assert len(rings) == 1
    assert rings.watchers("b", "west") == (["a"], [])
