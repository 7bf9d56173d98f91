"""Homes of routes: read from the word, kept to at the choice, part of the rule that a gate judges by."""

from __future__ import annotations

import json
from typing import Any

import pytest
from result import Err

from honeywharf.drift import digests, reference_parser
from honeywharf.mesh_config.changes import changes
from honeywharf.mesh_config.configuration import check
from honeywharf.mesh_config.routes import RoutingTable
from honeywharf.sidecar.course import Course
from honeywharf.verdict import DRAINING, FULL, NOT_RUN, Verdict
from tests.sidecar.stage import TABLE, Client, Clock, Scripted, head, route


def text(homes: Any) -> bytes:
    whole = json.loads(TABLE)
    whole["routes"][0]["allowed-regions"] = homes
    return json.dumps(whole).encode()


def test_homes_are_read_sorted_and_once_and_none_means_any() -> None:
    assert RoutingTable(text(["b", "a", "b"])).all_routes()[0].allowed_regions == ("a", "b")
    assert (
        RoutingTable(text(None)).all_routes()[0].allowed_regions
        == RoutingTable(text([])).all_routes()[0].allowed_regions
        == ()
    )
    assert RoutingTable(TABLE).all_routes()[0].allowed_regions == ()


@pytest.mark.parametrize("wrong", ["a", {"a": 1}, [1], [""], [None], ["x"] * 65])
def test_homes_that_are_no_list_of_regions_are_refused(wrong: Any) -> None:
    found = check(text(wrong))
    assert isinstance(found, Err)
    assert "allowed-regions" in str(found.err_value)


def test_homes_are_part_of_the_rule_for_both_readings_and_of_what_a_change_tells() -> None:
    rules = digests.RuleDigestCache()
    made = {}
    for homes in ((), ("a",), ("a", "b")):
        one = RoutingTable(text(list(homes)[::-1])).all_routes()[0]
        made[homes] = rules.digest_of(one)
        told = reference_parser.ReferenceTable(text(list(homes)[::-1]))
        assert told.matches(one.host, one.prefix, made[homes])
    assert len(set(made.values())) == 3
    assert made[()] == digests.RuleDigestCache().digest_of(RoutingTable(TABLE).all_routes()[0])
    lines = list(changes(RoutingTable(TABLE), RoutingTable(text(["a"]))))
    assert len(lines) == 1
    assert "allowed-regions" in lines[0]


def course(homes: tuple[str, ...], zones: dict[str, str]) -> tuple[Scripted, Client, Course]:
    source, client, one = Scripted(Clock()), Client(), route()
    one.allowed_regions = homes
    source.regions = {zone: zone[0] for zone in zones.values()}
    for key, zone in zones.items():
        source.list_gates(key, zone=zone)
    made = Course(source, client, head(), one, source.host.now() + 2.0)
    source.courses[made] = None
    made.start()
    return source, client, made


def asked(homes: tuple[str, ...], zones: dict[str, str], verdict: Verdict) -> list[str]:
    """Every gate that is asked until nobody is left."""
    source, _, made = course(homes, zones)
    for _ in range(12):
        if made.over or not source.channels:
            break
        made.failed(verdict)
    return [channel.key for channel in source.channels]


@pytest.mark.parametrize("verdict", [Verdict(NOT_RUN, DRAINING), Verdict(NOT_RUN, FULL, again_s=0.02)])
def test_no_gate_outside_the_homes_is_asked_for_room_or_to_wait(verdict: Verdict) -> None:
    zones = {"1": "a-1", "2": "b-1", "3": "b-2", "4": "c-1"}
    assert set(asked((), zones, verdict)) == {"1", "2", "3", "4"}
    assert set(asked(("b",), zones, verdict)) == {"2", "3"}
    assert set(asked(("a", "c"), zones, verdict)) == {"1", "4"}


def test_where_no_home_has_a_backend_the_client_is_told_that_nothing_ran() -> None:
    source, client, made = course(("x",), {"1": "a-1"})
    assert source.channels == []
    assert made.over
    assert source.statuses == {503: 1}
    assert client is made.who


def test_a_zone_whose_region_is_not_known_is_no_home() -> None:
    source, _, _ = course((), {"1": "a-1"})
    source.regions = {}
    assert source.abroad_of(("a",), "basket") | source.abroad_of(("",), "basket") == set()
    source, _, made = course(("a",), {"1": "a-1"})
    assert made.gate == "1"
    source.regions = {}
    assert source.abroad_of(("a",), made.service) == {"1"}
