"""Allowed regions of routes: parsing, choice of gates, part of the digest that gates compare."""

from __future__ import annotations

import json
from typing import Any

import pytest
from result import Err

from honeywharf.drift import digests, reference_parser
from honeywharf.mesh_config.changes import changes
from honeywharf.mesh_config.configuration import check
from honeywharf.mesh_config.routes import RoutingTable
from honeywharf.sidecar.outbound_request import OutboundRequest
from honeywharf.verdict import DRAINING, FULL, NOT_RUN, Verdict
from tests.sidecar.fixtures import TABLE, FakeSource, ManualClock, RecordingClient, head, route


def text(homes: Any) -> bytes:
    whole = json.loads(TABLE)
    whole["routes"][0]["allowed-regions"] = homes
    return json.dumps(whole).encode()


def test_allowed_regions_are_sorted_without_duplicates_and_none_means_any() -> None:
    assert RoutingTable(text(["b", "a", "b"])).all_routes()[0].allowed_regions == ("a", "b")
    assert (
        RoutingTable(text(None)).all_routes()[0].allowed_regions
        == RoutingTable(text([])).all_routes()[0].allowed_regions
        == ()
    )
    assert RoutingTable(TABLE).all_routes()[0].allowed_regions == ()


@pytest.mark.parametrize("wrong", ["a", {"a": 1}, [1], [""], [None], ["x"] * 65])
def test_allowed_regions_that_are_no_list_of_names_are_rejected(wrong: Any) -> None:
    found = check(text(wrong))
    assert isinstance(found, Err)
    assert "allowed-regions" in str(found.err_value)


def test_allowed_regions_are_part_of_the_route_digest_of_both_readings_and_of_the_listed_changes() -> None:
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


def request(
    homes: tuple[str, ...], zones: dict[str, str]
) -> tuple[FakeSource, RecordingClient, OutboundRequest]:
    source, client, one = FakeSource(ManualClock()), RecordingClient(), route()
    one.allowed_regions = homes
    source.regions = {zone: zone[0] for zone in zones.values()}
    for key, zone in zones.items():
        source.list_gates(key, zone=zone)
    made = OutboundRequest(source, client, head(), one, source.host.now() + 2.0)
    source.active_requests[made] = None
    made.start()
    return source, client, made


def asked(homes: tuple[str, ...], zones: dict[str, str], verdict: Verdict) -> list[str]:
    """Returns the gates tried until none is left."""
    source, _, made = request(homes, zones)
    for _ in range(12):
        if made.is_over or not source.channels:
            break
        made.failed(verdict)
    return [channel.key for channel in source.channels]


@pytest.mark.parametrize("verdict", [Verdict(NOT_RUN, DRAINING), Verdict(NOT_RUN, FULL, retry_after_s=0.02)])
def test_no_gate_outside_the_allowed_regions_is_tried(verdict: Verdict) -> None:
    zones = {"1": "a-1", "2": "b-1", "3": "b-2", "4": "c-1"}
    assert set(asked((), zones, verdict)) == {"1", "2", "3", "4"}
    assert set(asked(("b",), zones, verdict)) == {"2", "3"}
    assert set(asked(("a", "c"), zones, verdict)) == {"1", "4"}


def test_without_a_backend_in_the_allowed_regions_the_client_gets_503() -> None:
    source, expected_client, made = request(("x",), {"1": "a-1"})
    assert source.channels == []
    assert made.is_over
    assert source.statuses == {503: 1}
    assert expected_client is made.client


def test_a_zone_of_unknown_region_is_not_allowed() -> None:
    source, _, _ = request((), {"1": "a-1"})
    source.regions = {}
    assert source.backends_outside(("a",), "basket") | source.backends_outside(("",), "basket") == set()
    source, _, made = request(("a",), {"1": "a-1"})
    assert made.gate == "1"
    source.regions = {}
    assert source.backends_outside(("a",), made.service) == {"1"}
