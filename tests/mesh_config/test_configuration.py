"""Valid and invalid configurations, the errors of the latter, and random junk for the check."""

from __future__ import annotations

import json
from collections.abc import Callable
from random import Random
from typing import Any

import pytest
from result import Err, Ok

from honeywharf.mesh_config.configuration import (
    MAX_BYTES,
    MAX_ERRORS,
    MAX_VERSION,
    Configuration,
    check,
    digest,
    errors,
)
from honeywharf.mesh_config.routes import RoutingTable
from tests.mesh_config.examples import CONFIGURATION, drawn, example, text

Change = Callable[[Any], object]


def changed(change: Change) -> bytes:
    """Returns the example with a change."""
    document = example()
    change(document)
    return text(document)


def test_the_example_is_taken_as_it_was_sent() -> None:
    assert check(CONFIGURATION) == Ok(Configuration(7, digest(CONFIGURATION), CONFIGURATION))
    assert len(digest(CONFIGURATION)) == 32
    spaced = json.dumps(example(), indent=3).encode()
    assert check(spaced).unwrap().text == spaced
    assert digest(spaced) != digest(CONFIGURATION)


VALID: list[Change] = [
    lambda c: c["routes"][0].update(timeout="600s"),
    lambda c: c["routes"][0].update(
        {"timeout": "600000ms", "allowed-regions": ["jm-south"], "new": {"deep": [None]}}
    ),
    lambda c: c.update({"routes": [], "base-version": "r6"}),
    lambda c: c.update(services=[{"name": "huvo11a"}, {"name": "wuno96b"}, {"name": "kafi81c"}], limits={}),
    lambda c: c["routes"][0]["traffic-split"][0].update(weight=0),
    lambda c: c["routes"][0]["traffic-split"][0].update(weight=0.001),
    lambda c: c["routes"][0].update({"traffic-split": None, "target-service": "kafi81c"}),
    lambda c: c["routes"][1].update({"hostname": "jepu9.example", "path-prefix": "/lepu270/x/"}),
    lambda c: c["routes"][1].update({"path-prefix": "/lepu270/"}),  # Another host has this prefix.
    lambda c: c["routes"][1].update({"path-prefix": "/", "name": "r-n2ctnfz"}),
    lambda c: c["routes"][0].update({"route-kind": "upload", "max-attempts": 1, "priority": 0}),
    lambda c: [c["routes"][0].pop(key) for key in ("target-latency", "priority")],
    lambda c: c.update({"config-version": f"r{MAX_VERSION}"}),
    lambda c: c.update({"config-version": "r0"}),
    lambda c: c["services"][0].update({"cold-start": "0s", "cold-per-s": 0}),
]


@pytest.mark.parametrize("change", VALID)
def test_a_valid_one_is_accepted(change: Change) -> None:
    sent = changed(change)
    accepted = check(sent).unwrap()
    assert accepted.text == sent
    assert RoutingTable(sent).version == accepted.version


INVALID: list[tuple[Change, str]] = [
    (
        lambda c: c["routes"][1].update({"target-service": "gone"}),
        'routes[1].target-service: expected the name of a service in services, got "gone"',
    ),
    (
        lambda c: c["routes"][0]["traffic-split"][1].update({"target-service": "gone", "weight": 0}),
        'routes[0].traffic-split[1].target-service: expected the name of a service in services, got "gone"',
    ),
    (
        lambda c: [share.update(weight=0) for share in c["routes"][0]["traffic-split"]],
        "routes[0].traffic-split: expected weights with a finite sum above 0, got a sum of 0",
    ),
    (
        lambda c: c["routes"][0].update({"traffic-split": []}),
        "routes[0].traffic-split: expected weights with a finite sum above 0, got a sum of 0",
    ),
    (
        lambda c: c["routes"][0]["traffic-split"][1].update(weight=-1),
        "routes[0].traffic-split[1].weight: expected 0 or more, got -1",
    ),
    (
        lambda c: c["routes"][0]["traffic-split"][1].update(weight=True),
        "routes[0].traffic-split[1].weight: expected number, got true",
    ),
    (
        lambda c: c["routes"][1].update(timeout="600001ms"),
        'routes[1].timeout: expected at most 600s, got "600001ms"',
    ),
    (
        lambda c: c["routes"][1].update(timeout="0ms"),
        'routes[1].timeout: expected a finite time above 0, got "0ms"',
    ),
    (lambda c: c["routes"][1].update(timeout=1500), "routes[1].timeout: expected string, got 1500"),
    (
        lambda c: c["routes"][1].update({"max-attempts": 0}),
        "routes[1].max-attempts: expected 1 or more, got 0",
    ),
    (
        lambda c: c["routes"][1].update({"max-attempts": "2"}),
        'routes[1].max-attempts: expected integer, got "2"',
    ),
    (
        lambda c: c["routes"][1].update({"path-prefix": "/a"}),
        'routes[1].path-prefix: expected a path that begins and ends with a slash, got "/a"',
    ),
    (
        lambda c: c["routes"][1].update({"path-prefix": "a/"}),
        'routes[1].path-prefix: expected a path that begins and ends with a slash, got "a/"',
    ),
    (
        lambda c: c["routes"][1].update({"hostname": "JEPU9.example:80", "path-prefix": "/lepu270/"}),
        'routes[1].path-prefix: expected another prefix than routes[0] of the same host, got "/lepu270/"',
    ),
    (
        lambda c: c["routes"][1].update({"route-kind": "odd"}),
        'routes[1].route-kind: expected read_only or mutating or upload, got "odd"',
    ),
    (
        lambda c: c["routes"][1].pop("target-service"),
        "routes[1]: expected one of target-service and traffic-split, got neither",
    ),
    (
        lambda c: c["routes"][0].update({"target-service": "huvo11a"}),
        "routes[0]: expected one of target-service and traffic-split, got both",
    ),
    (lambda c: c["routes"].append("r-x"), 'routes[2]: expected object, got "r-x"'),
    (
        lambda c: c["routes"][1].update(hostname="\ud800"),
        "routes[1]: expected valid text in hostname and path-prefix, got half a character",
    ),
    (
        lambda c: c["services"].append(c["services"][0]),
        'services[3].name: expected a name that no other service has, got "huvo11a"',
    ),
    (
        lambda c: c["services"][0].update({"max-connections": 0}),
        "services[0].max-connections: expected 1 or more, got 0",
    ),
    (
        lambda c: c["services"][0].update({"health-check-path": "x"}),
        'services[0].health-check-path: expected a path that begins with a slash, got "x"',
    ),
    (
        lambda c: c["services"][0].update({"cold-start": "3"}),
        'services[0].cold-start: expected a time such as 1500ms or 2.5s, got "3"',
    ),
    (lambda c: c.pop("limits"), "limits: expected a value, got nothing"),
    (
        lambda c: c["limits"].update({"idle-timeout": "x"}),
        'limits.idle-timeout: expected a time such as 1500ms or 2.5s, got "x"',
    ),
    (
        lambda c: c["limits"].update({"max-body-bytes": -1}),
        "limits.max-body-bytes: expected 0 or more, got -1",
    ),
    (lambda c: c.pop("routes"), "routes: expected a value, got nothing"),
    (lambda c: c.update({"config-version": 7}), "config-version: expected string, got 7"),
    (
        lambda c: c.update({"config-version": "7"}),
        'config-version: expected r and a number, such as r12, got "7"',
    ),
    (
        lambda c: c.update({"config-version": f"r{MAX_VERSION + 1}"}),
        "config-version: expected r and a number, such as r12, got ",
    ),
    (
        lambda c: c.update({"config-version": "r"}),
        'config-version: expected r and a number, such as r12, got "r"',
    ),
]


@pytest.mark.parametrize(("change", "error"), INVALID)
def test_an_invalid_one_is_rejected_with_the_place(change: Change, error: str) -> None:
    sent = changed(change)
    rejected = check(sent)
    assert isinstance(rejected, Err)
    assert rejected.err_value.startswith(error)
    assert len(list(errors(sent))) == 1


@pytest.mark.parametrize(
    "sent",
    [
        b"",
        b"[]",
        b"null",
        b"\xff\xfe",
        b'{"a":NaN}',
        b"[" * 100000,
        b'{"a":' + b"9" * 5000 + b"}",
        CONFIGURATION.decode().encode("utf-16"),
        CONFIGURATION + b"x",
        CONFIGURATION.replace(b":90}", b":1e999}"),
        b"{}",
    ],
)
def test_an_incomplete_configuration_is_rejected(sent: bytes) -> None:
    rejected = check(sent)
    assert isinstance(rejected, Err)
    assert "expected" in rejected.err_value
    assert "got" in rejected.err_value


def test_one_that_is_truncated_anywhere_is_rejected() -> None:
    assert not [length for length in range(len(CONFIGURATION)) if check(CONFIGURATION[:length]).is_ok()]


def test_the_size_of_a_text_and_the_number_of_reported_errors_are_bounded() -> None:
    assert check(CONFIGURATION + b" " * (MAX_BYTES - len(CONFIGURATION))).is_ok()
    assert f"expected at most {MAX_BYTES} bytes" in check(CONFIGURATION + b" " * MAX_BYTES).unwrap_err()
    document = drawn(1, 200)
    for route in document["routes"]:
        route["max-attempts"] = 0
    assert check(text(document)).unwrap_err().count("; ") == MAX_ERRORS - 1
    assert len(list(errors(text(document)))) == 200


def test_every_error_is_reported_with_its_place() -> None:
    document = example()
    document["routes"][0]["route-kind"] = 5
    document["routes"][1]["timeout"] = "601s"
    document["services"][2]["max-connections"] = "many"
    assert [error.partition(":")[0] for error in errors(text(document))] == [
        "services[2].max-connections",
        "routes[0].route-kind",
        "routes[1].timeout",
    ]


JUNK: list[object] = [
    None,
    True,
    0,
    -1,
    1.5,
    10**40,
    "",
    "x",
    "/",
    "\ud800",
    "5s",
    "r8",
    [],
    [[]],
    [{}],
    {},
    {"name": []},
]


def places(value: Any, path: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
    """Returns the path of every place in a value."""
    paths = [path] if path else []
    steps = value.items() if isinstance(value, dict) else enumerate(value) if isinstance(value, list) else ()
    for key, each in steps:
        paths += places(each, (*path, key))
    return paths


@pytest.mark.parametrize("seed", range(4))
def test_junk_in_any_place_is_rejected_or_a_table_can_be_built(seed: int) -> None:
    """Guards against a text that a control node accepts and a sidecar cannot read."""
    random, accepted, rejected = Random(seed), 0, 0
    for _ in range(1500):
        document = example()
        for path in random.sample(places(document), random.choice([1, 1, 2])):
            parent = document
            try:
                for step in path[:-1]:
                    parent = parent[step]
                if random.random() < 0.2:
                    del parent[path[-1]]
                else:
                    parent[path[-1]] = random.choice(JUNK)
            except (KeyError, IndexError, TypeError):
                continue  # The first change has removed the place of the second.
        sent = text(document)
        if check(sent).is_ok():
            accepted += 1
            assert RoutingTable(sent).route_count == len(document["routes"])
        else:
            rejected += 1
    assert accepted > 100
    assert rejected > 500
