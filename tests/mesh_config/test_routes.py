"""Routing tables compared with a linear search through all routes, and their cost."""

from __future__ import annotations

import gc
import tracemalloc
from collections import Counter
from random import Random

import pytest
from hypothesis import given, settings, strategies as st

from honeywharf.mesh_config.routes import Route, RoutingTable, bare_host
from tests.mesh_config.examples import CONFIGURATION, drawn, example, text


def linear_search(table: RoutingTable, host: bytes, path: bytes) -> Route | None:
    """The documented rule: of the host's routes the one with the longest prefix that begins the path."""
    matches = [route for route in table.all_routes() if route.host == host and path.startswith(route.prefix)]
    return max(matches, key=lambda route: len(route.prefix), default=None)


def test_the_example_is_read() -> None:
    table = RoutingTable(CONFIGURATION)
    route = table.find(b"jepu9.example", b"/lepu270/2f")
    assert route is not None
    assert (route.name, route.kind, route.is_idempotent, route.is_upload) == (
        "r-n2ctnfz",
        "read_only",
        True,
        False,
    )
    assert (route.timeout_s, route.latency_target_s, route.priority, route.max_attempts) == (1.5, 0.4, 2, 2)
    assert route.split == (("huvo11a", 90.0), ("kafi81c", 10.0))
    service = table.services["kafi81c"]
    assert (service.health_check_path, service.max_connections) == ("/health", 130)
    assert (service.slow_start_s, service.slow_start_requests_per_s) == (3.0, 22.0)
    limits = table.limits
    assert (limits.max_header_bytes, limits.max_body_bytes) == (16384, 67108864)
    assert (limits.header_timeout_s, limits.idle_timeout_s, table.version) == (3.0, 15.0, 7)


@given(st.integers(0, 2**32), st.integers(1, 120))
@settings(max_examples=60, deadline=None)
def test_a_path_takes_the_route_with_the_longest_prefix(seed: int, routes: int) -> None:
    table = RoutingTable(text(drawn(seed, routes, hosts=3)))
    random = Random(seed)
    paths = [route.prefix for route in table.all_routes()]
    for _ in range(200):
        host = f"ho{random.randrange(4)}.example".encode()
        path = random.choice(paths)
        path = path[: random.randrange(len(path) + 1)] + random.choice([b"", b"/", b"x", b"p1/p2/", b"//p3"])
        assert table.find(host, path) is linear_search(table, host, path)


@pytest.mark.parametrize(
    "path", [b"", b"*", b"/", b"lepu270/", b"/lepu270", b"/lepu2701/x", b"/LEPU270/", b"//lepu270/"]
)
def test_a_path_that_begins_with_no_prefix_has_no_route(path: bytes) -> None:
    assert RoutingTable(CONFIGURATION).find(b"jepu9.example", path) is None


def test_a_prefix_of_one_slash_matches_all_other_paths() -> None:
    document = example()
    document["routes"].append(
        {**document["routes"][1], "hostname": "jepu9.example", "path-prefix": "/", "name": "rest"}
    )
    table = RoutingTable(text(document))
    for path, name in ((b"/lepu270/x", "r-n2ctnfz"), (b"/lepu270", "rest"), (b"/", "rest")):
        found = table.find(b"jepu9.example", path)
        assert found is not None
        assert found.name == name


@pytest.mark.parametrize(
    "host", [b"JEPU9.example", b"jepu9.example:8304", b"Jepu9.Example:", b"jepu9.example"]
)
def test_case_and_port_of_a_host_make_no_difference(host: bytes) -> None:
    assert RoutingTable(CONFIGURATION).find(host, b"/lepu270/") is not None


@pytest.mark.parametrize(
    "host", [b"", b":80", b"jepu9", b"jepu9.example.org", b"jepu9.example:x", b"[::1]:80"]
)
def test_another_host_has_no_route(host: bytes) -> None:
    assert RoutingTable(CONFIGURATION).find(host, b"/lepu270/") is None


def test_a_bare_host_keeps_the_brackets_of_ipv6() -> None:
    assert bare_host(b"[::1]:80") == b"[::1]"


def test_services_are_drawn_by_weight_and_never_one_of_no_weight() -> None:
    document = example()
    document["routes"][0]["traffic-split"] = [
        {"target-service": "huvo11a", "weight": 0},
        {"target-service": "kafi81c", "weight": 0.5},
        {"target-service": "wuno96b", "weight": 1.5},
        {"target-service": "huvo11a", "weight": 0},
    ]
    route = RoutingTable(text(document)).all_routes()[0]
    drawn_of = Counter(route.service(step / 1000) for step in range(1000))
    assert drawn_of == {"kafi81c": 250, "wuno96b": 750}
    assert route.service(1.0 - 2**-53) == "wuno96b"


class CountingBytes(bytes):
    """Bytes that count their searches."""

    searches = 0

    def rfind(self, *where: object) -> int:
        CountingBytes.searches += 1
        return super().rfind(*where)  # type: ignore[arg-type]


def test_the_cost_is_the_depth_of_prefixes_not_their_number_nor_the_length_of_the_path() -> None:
    for routes in (10, 2000):
        CountingBytes.searches = 0
        assert RoutingTable(text(drawn(1, routes))).find(b"ho1.example", CountingBytes(b"/a" * 8000)) is None
        assert CountingBytes.searches <= 10


def test_a_table_of_a_thousand_routes_needs_little_memory_also_while_it_is_built() -> None:
    sent = text(drawn(3, 1000))
    RoutingTable(sent)
    gc.collect()
    tracemalloc.start()
    table = RoutingTable(sent)
    size, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert table.route_count == 1000
    assert size < 330 * table.route_count
    assert peak < 600 * table.route_count


def test_a_field_that_is_left_out_has_a_default() -> None:
    document = example()
    document["services"] = [{"name": service["name"]} for service in document["services"]]
    document["limits"] = {}
    for key in ("target-latency", "priority"):
        del document["routes"][0][key]
    table = RoutingTable(text(document))
    assert table.services["huvo11a"].health_check_path == "/health"
    assert table.services["huvo11a"].slow_start_requests_per_s == float("inf")
    assert table.limits.idle_timeout_s == 15.0
    assert table.all_routes()[0].latency_target_s == 1.5


@pytest.mark.parametrize(
    "sent",
    [
        b"",
        b"{",
        b"[]",
        b"null",
        b"{}",
        b"[" * 100000,
        CONFIGURATION.replace(b'"r7"', b'"7"'),
        CONFIGURATION.replace(b"1500ms", b"long"),
        CONFIGURATION.replace(b'"routes":[', b'"routes":[{},'),
        CONFIGURATION.replace(b'"hostname"', b'"host"'),
    ],
)
def test_an_unchecked_text_is_rejected(sent: bytes) -> None:
    with pytest.raises(ValueError):  # noqa: PT011  (some messages are those of json)
        RoutingTable(sent)


def test_an_object_like_a_route_elsewhere_is_ignored() -> None:
    document = example()
    document["shadow"] = [{"path-prefix": 5}, document["routes"][0]]
    assert RoutingTable(text(document)).route_count == 2
