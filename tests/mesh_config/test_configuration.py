"""Configurations: what is taken, what is refused and in which words; nothing makes the check itself fail."""

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
    """The example with a change."""
    whole = example()
    change(whole)
    return text(whole)


def test_the_example_is_taken_as_it_was_sent() -> None:
    assert check(CONFIGURATION) == Ok(Configuration(7, digest(CONFIGURATION), CONFIGURATION))
    assert len(digest(CONFIGURATION)) == 32
    spaced = json.dumps(example(), indent=3).encode()
    assert check(spaced).unwrap().text == spaced
    assert digest(spaced) != digest(CONFIGURATION)


TAKEN: list[Change] = [
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
    lambda c: c["routes"][1].update({"path-prefix": "/lepu270/"}),  # of another host
    lambda c: c["routes"][1].update({"path-prefix": "/", "name": "r-n2ctnfz"}),
    lambda c: c["routes"][0].update({"route-kind": "upload", "max-attempts": 1, "priority": 0}),
    lambda c: [c["routes"][0].pop(key) for key in ("target-latency", "priority")],
    lambda c: c.update({"config-version": f"r{MAX_VERSION}"}),
    lambda c: c.update({"config-version": "r0"}),
    lambda c: c["services"][0].update({"cold-start": "0s", "cold-per-s": 0}),
]


@pytest.mark.parametrize("change", TAKEN)
def test_a_valid_one_is_taken(change: Change) -> None:
    sent = changed(change)
    taken = check(sent).unwrap()
    assert taken.text == sent
    assert RoutingTable(sent).version == taken.version


REFUSED: list[tuple[Change, str]] = [
    (
        lambda c: c["routes"][1].update({"target-service": "gone"}),
        'routes[1].target-service: found "gone", wanted the name of a service in services',
    ),
    (
        lambda c: c["routes"][0]["traffic-split"][1].update({"target-service": "gone", "weight": 0}),
        'routes[0].traffic-split[1].target-service: found "gone", wanted the name of a service',
    ),
    (
        lambda c: [share.update(weight=0) for share in c["routes"][0]["traffic-split"]],
        "routes[0].traffic-split: found weights with a sum of 0, wanted a sum above 0",
    ),
    (
        lambda c: c["routes"][0].update({"traffic-split": []}),
        "routes[0].traffic-split: found weights with a sum of 0",
    ),
    (
        lambda c: c["routes"][0]["traffic-split"][1].update(weight=-1),
        "routes[0].traffic-split[1].weight: found -1, wanted 0 or more",
    ),
    (
        lambda c: c["routes"][0]["traffic-split"][1].update(weight=True),
        "routes[0].traffic-split[1].weight: found true, wanted number",
    ),
    (
        lambda c: c["routes"][1].update(timeout="600001ms"),
        'routes[1].timeout: found "600001ms", wanted at most 600s',
    ),
    (lambda c: c["routes"][1].update(timeout="0ms"), 'routes[1].timeout: found "0ms", wanted a time above 0'),
    (lambda c: c["routes"][1].update(timeout=1500), "routes[1].timeout: found 1500, wanted string"),
    (
        lambda c: c["routes"][1].update({"max-attempts": 0}),
        "routes[1].max-attempts: found 0, wanted 1 or more",
    ),
    (
        lambda c: c["routes"][1].update({"max-attempts": "2"}),
        'routes[1].max-attempts: found "2", wanted integer',
    ),
    (
        lambda c: c["routes"][1].update({"path-prefix": "/a"}),
        'routes[1].path-prefix: found "/a", wanted a path that',
    ),
    (
        lambda c: c["routes"][1].update({"path-prefix": "a/"}),
        'routes[1].path-prefix: found "a/", wanted a path that',
    ),
    (
        lambda c: c["routes"][1].update({"hostname": "JEPU9.example:80", "path-prefix": "/lepu270/"}),
        'routes[1].path-prefix: found "/lepu270/", wanted one that routes[0] of the same host has not',
    ),
    (
        lambda c: c["routes"][1].update({"route-kind": "odd"}),
        'routes[1].route-kind: found "odd", wanted read_only or mutating or upload',
    ),
    (
        lambda c: c["routes"][1].pop("target-service"),
        "routes[1]: found neither of target-service and traffic-split",
    ),
    (
        lambda c: c["routes"][0].update({"target-service": "huvo11a"}),
        "routes[0]: found both of target-service and",
    ),
    (lambda c: c["routes"].append("r-x"), 'routes[2]: found "r-x", wanted object'),
    (lambda c: c["routes"][1].update(hostname="\ud800"), "routes[1]: found half a character in hostname"),
    (
        lambda c: c["services"].append(c["services"][0]),
        'services[3].name: found "huvo11a", wanted each service once',
    ),
    (
        lambda c: c["services"][0].update({"max-connections": 0}),
        "services[0].max-connections: found 0, wanted 1 or",
    ),
    (
        lambda c: c["services"][0].update({"health-check-path": "x"}),
        'services[0].health-check-path: found "x", wanted',
    ),
    (
        lambda c: c["services"][0].update({"cold-start": "3"}),
        'services[0].cold-start: found "3", wanted a time',
    ),
    (lambda c: c.pop("limits"), "limits: found nothing, wanted it there"),
    (lambda c: c["limits"].update({"idle-timeout": "x"}), 'limits.idle-timeout: found "x", wanted a time'),
    (
        lambda c: c["limits"].update({"max-body-bytes": -1}),
        "limits.max-body-bytes: found -1, wanted 0 or more",
    ),
    (lambda c: c.pop("routes"), "routes: found nothing, wanted it there"),
    (lambda c: c.update({"config-version": 7}), "config-version: found 7, wanted string"),
    (lambda c: c.update({"config-version": "7"}), 'config-version: found "7", wanted r and a number'),
    (lambda c: c.update({"config-version": f"r{MAX_VERSION + 1}"}), "config-version: found "),
    (lambda c: c.update({"config-version": "r"}), 'config-version: found "r", wanted r and a number'),
]


@pytest.mark.parametrize(("change", "told"), REFUSED)
def test_an_invalid_one_is_refused_with_the_place(change: Change, told: str) -> None:
    sent = changed(change)
    refused = check(sent)
    assert isinstance(refused, Err)
    assert refused.err_value.startswith(told)
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
def test_what_is_no_whole_configuration_is_refused(sent: bytes) -> None:
    refused = check(sent)
    assert isinstance(refused, Err)
    assert "found" in refused.err_value
    assert "wanted" in refused.err_value


def test_one_that_is_cut_anywhere_is_refused() -> None:
    assert not [length for length in range(len(CONFIGURATION)) if check(CONFIGURATION[:length]).is_ok()]


def test_the_size_of_a_text_and_the_number_of_faults_told_are_bounded() -> None:
    assert check(CONFIGURATION + b" " * (MAX_BYTES - len(CONFIGURATION))).is_ok()
    assert f"wanted at most {MAX_BYTES}" in check(CONFIGURATION + b" " * MAX_BYTES).unwrap_err()
    whole = drawn(1, 200)
    for route in whole["routes"]:
        route["max-attempts"] = 0
    assert check(text(whole)).unwrap_err().count("; ") == MAX_ERRORS - 1
    assert len(list(errors(text(whole)))) == 200


def test_every_fault_is_told_by_its_place_whatever_else_is_wrong() -> None:
    whole = example()
    whole["routes"][0]["route-kind"] = 5
    whole["routes"][1]["timeout"] = "601s"
    whole["services"][2]["max-connections"] = "many"
    assert [fault.partition(":")[0] for fault in errors(text(whole))] == [
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
    """Every place in a value."""
    found = [path] if path else []
    steps = value.items() if isinstance(value, dict) else enumerate(value) if isinstance(value, list) else ()
    for key, each in steps:
        found += places(each, (*path, key))
    return found


@pytest.mark.parametrize("seed", range(4))
def test_junk_in_any_place_is_refused_or_else_a_table_can_be_built(seed: int) -> None:
    """What a control node takes, every sidecar can read: no text passes the one and breaks the other."""
    random, taken, refused = Random(seed), 0, 0
    for _ in range(1500):
        whole = example()
        for path in random.sample(places(whole), random.choice([1, 1, 2])):
            spot = whole
            try:
                for step in path[:-1]:
                    spot = spot[step]
                if random.random() < 0.2:
                    del spot[path[-1]]
                else:
                    spot[path[-1]] = random.choice(JUNK)
            except (KeyError, IndexError, TypeError):
                continue  # the first of two took the second's place away
        sent = text(whole)
        if check(sent).is_ok():
            taken += 1
            assert RoutingTable(sent).route_count == len(whole["routes"])
        else:
            refused += 1
    assert taken > 100
    assert refused > 500
