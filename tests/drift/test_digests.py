"""The canonical form, the second reading and the scan, beside the tables that decide."""

from __future__ import annotations

from random import Random

import pytest

from honeywharf.drift import digests, scan
from honeywharf.drift.second import Told, bare, pick, tree
from honeywharf.mesh_config.routes import Route, RoutingTable
from tests.mesh_config.examples import drawn, text

SEEDS = range(12)


def faults(table: RoutingTable, told: Told) -> list[str]:
    return [fault for fault in scan.routes(table, told, digests.Rules()) if fault]


@pytest.mark.parametrize("seed", SEEDS)
def test_both_readings_agree_on_every_request(seed: int) -> None:
    whole = text(drawn(seed, 80, hosts=3))
    table, told, rules, random = RoutingTable(whole), Told(whole), digests.Rules(), Random(seed)
    assert faults(table, told) == []
    prefixes = [route.prefix for route in table.all_routes()]
    for _ in range(300):
        host = random.choice([b"ho0.example", b"HO1.example:80", b"ho2.example:", b"ho9.example"])
        path = random.choice(prefixes) + random.choice([b"", b"x", b"/", b"a/b/", b"1/2"])
        route = table.find(host, path)
        made, kind = told.decide(host, path)
        assert made == (b"" if route is None else rules.of(route))
        if route is not None:
            assert kind == ("read_only", "mutating", "upload").index(route.kind)
            draw = random.random()
            assert route.service(draw) in pick(route.split, draw)


def test_an_equal_part_has_an_equal_digest_whatever_the_order() -> None:
    one = drawn(3, 40, hosts=3)
    other = {**one, "config-version": "r99", "routes": [dict(route) for route in one["routes"][::-1]]}
    assert tree(text(one), {"a", "b"}) == tree(text(other), {"b", "a"})
    table = RoutingTable(text(one))
    assert scan.tree(table, digests.Rules(), {"a", "b"}) == tree(text(one), {"a", "b"})
    other["routes"][0]["timeout"] = "9999ms"
    host = bare(str(other["routes"][0]["hostname"]).encode()).decode()
    differing = digests.differing(tree(text(one), set()), tree(text(other), set()))
    assert differing == [digests.ROUTES + host]
    assert digests.root(tree(text(one), set())) != digests.root(tree(text(one), {"a"}))


@pytest.mark.parametrize(
    "field", ["timeout_s", "latency_target_s", "priority", "max_attempts", "kind", "split", "prefix"]
)
def test_each_field_that_decides_is_in_the_digest_at_once(field: str) -> None:
    table, rules = RoutingTable(text(drawn(1, 5, hosts=1))), digests.Rules()
    route = table.all_routes()[0]
    before = rules.of(route)
    kept = getattr(route, field)
    odd = {"kind": "odd", "split": (("x", 1.0),), "prefix": b"/odd/"}
    setattr(route, field, odd.get(field, 12345))
    assert rules.of(route) != before
    setattr(route, field, kept)
    assert rules.of(route) == before


def test_the_digests_held_are_bounded() -> None:
    rules, route = digests.Rules(), RoutingTable(text(drawn(1, 5, hosts=1))).all_routes()[0]
    for priority in range(3 * digests.MAX_KEPT):
        route.priority = priority
        rules.of(route)
    assert len(rules.held) <= digests.MAX_KEPT


def _spoil(table: RoutingTable, random: Random) -> None:
    of = random.choice([of for of in table._hosts.values() if of.routes])
    prefix = random.choice(list(of.routes))
    route, how = of.routes[prefix], random.randrange(6)
    if how == 0:
        del of.routes[prefix]
    elif how == 1:
        made = Route()
        for name in Route.__slots__:
            setattr(made, name, getattr(route, name))
        made.prefix = prefix + b"odd/"
        of.routes[made.prefix] = made
    elif how == 2:
        route.split = (("nobody", 1.0),)
    elif how == 3:
        route.timeout_s += 0.001
    elif how == 4:
        of.longest -= 1
    else:
        table.limits.max_body_bytes += 1


@pytest.mark.parametrize("seed", range(60))
def test_the_scan_finds_one_wrong_part_of_many(seed: int) -> None:
    whole = text(drawn(seed, 60, hosts=3))
    table, told = RoutingTable(whole), Told(whole)
    _spoil(table, Random(seed))
    assert faults(table, told)


def test_what_is_told_is_small() -> None:
    told = Told(text(drawn(5, 1000, hosts=20)))
    held = sum(len(part) * size for part, size in ((told.places, 8), (told.rules, 8), (told.kinds, 1)))
    assert held <= 17 * 1000
