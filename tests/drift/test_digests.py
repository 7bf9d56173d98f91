"""Digests of rules, the reference parser and the scan, compared with the routing table in use."""

from __future__ import annotations

from random import Random

import pytest

from honeywharf.drift import digests, scan
from honeywharf.drift.reference_parser import ReferenceTable, normalized_host, possible_services, tree
from honeywharf.mesh_config.routes import Route, RoutingTable
from tests.mesh_config.examples import drawn, text

SEEDS = range(12)


def faults(table: RoutingTable, reference: ReferenceTable) -> list[str]:
    return [fault for fault in scan.routes(table, reference, digests.RuleDigestCache()) if fault]


@pytest.mark.parametrize("seed", SEEDS)
def test_both_parsers_agree_on_every_request(seed: int) -> None:
    configuration = text(drawn(seed, 80, hosts=3))
    table, reference, digest_cache, random = (
        RoutingTable(configuration),
        ReferenceTable(configuration),
        digests.RuleDigestCache(),
        Random(seed),
    )
    assert faults(table, reference) == []
    prefixes = [route.prefix for route in table.all_routes()]
    for _ in range(300):
        host = random.choice([b"ho0.example", b"HO1.example:80", b"ho2.example:", b"ho9.example"])
        path = random.choice(prefixes) + random.choice([b"", b"x", b"/", b"a/b/", b"1/2"])
        route = table.find(host, path)
        rule, kind = reference.find_rule(host, path)
        assert rule == (b"" if route is None else digest_cache.digest_of(route))
        if route is not None:
            assert kind == ("read_only", "mutating", "upload").index(route.kind)
            draw = random.random()
            assert route.service(draw) in possible_services(route.split, draw)


def test_equal_parts_have_equal_digests_in_any_order() -> None:
    one = drawn(3, 40, hosts=3)
    other = {**one, "config-version": "r99", "routes": [dict(route) for route in one["routes"][::-1]]}
    assert tree(text(one), {"a", "b"}) == tree(text(other), {"b", "a"})
    table = RoutingTable(text(one))
    assert scan.tree(table, digests.RuleDigestCache(), {"a", "b"}) == tree(text(one), {"a", "b"})
    other["routes"][0]["timeout"] = "9999ms"
    host = normalized_host(str(other["routes"][0]["hostname"]).encode()).decode()
    differing = digests.differing_branches(tree(text(one), set()), tree(text(other), set()))
    assert differing == [digests.ROUTE_BRANCH_PREFIX + host]
    assert digests.root(tree(text(one), set())) != digests.root(tree(text(one), {"a"}))


@pytest.mark.parametrize(
    "field", ["timeout_s", "latency_target_s", "priority", "max_attempts", "kind", "split", "prefix"]
)
def test_a_change_of_each_deciding_field_changes_the_digest(field: str) -> None:
    table, digest_cache = RoutingTable(text(drawn(1, 5, hosts=1))), digests.RuleDigestCache()
    route = table.all_routes()[0]
    before = digest_cache.digest_of(route)
    kept = getattr(route, field)
    odd = {"kind": "odd", "split": (("x", 1.0),), "prefix": b"/odd/"}
    setattr(route, field, odd.get(field, 12345))
    assert digest_cache.digest_of(route) != before
    setattr(route, field, kept)
    assert digest_cache.digest_of(route) == before


def test_the_cache_of_digests_is_bounded() -> None:
    digest_cache, route = digests.RuleDigestCache(), RoutingTable(text(drawn(1, 5, hosts=1))).all_routes()[0]
    for priority in range(3 * digests.MAX_CACHED_DIGESTS):
        route.priority = priority
        digest_cache.digest_of(route)
    assert len(digest_cache.cached) <= digests.MAX_CACHED_DIGESTS


def _corrupt(table: RoutingTable, random: Random) -> None:
    host_routes = random.choice([candidate for candidate in table._hosts.values() if candidate.routes])
    prefix = random.choice(list(host_routes.routes))
    route, corruption = host_routes.routes[prefix], random.randrange(6)
    if corruption == 0:
        del host_routes.routes[prefix]
    elif corruption == 1:
        odd = Route()
        for name in Route.__slots__:
            setattr(odd, name, getattr(route, name))
        odd.prefix = prefix + b"odd/"
        host_routes.routes[odd.prefix] = odd
    elif corruption == 2:
        route.split = (("nobody", 1.0),)
    elif corruption == 3:
        route.timeout_s += 0.001
    elif corruption == 4:
        host_routes.longest -= 1
    else:
        table.limits.max_body_bytes += 1


@pytest.mark.parametrize("seed", range(60))
def test_the_scan_finds_one_corrupted_part(seed: int) -> None:
    configuration = text(drawn(seed, 60, hosts=3))
    table, reference = RoutingTable(configuration), ReferenceTable(configuration)
    _corrupt(table, Random(seed))
    assert faults(table, reference)


def test_the_reference_table_takes_at_most_17_bytes_per_route() -> None:
    reference = ReferenceTable(text(drawn(5, 1000, hosts=20)))
    held = sum(
        len(part) * size
        for part, size in ((reference.locations, 8), (reference.rule_digests, 8), (reference.kinds, 1))
    )
    assert held <= 17 * 1000
