"""Outcomes at the destination, and the state machine of a node, as tables."""

from __future__ import annotations

from random import Random

import pytest

from honeywharf.drift import states
from honeywharf.drift.destination_check import CONFLICT, RUN, SOURCE_STALE, VERIFY_FIRST, check, host_of
from tests.sidecar.fixtures import SERVICE, route

OWN, OTHER = b"m" * 8, b"o" * 8


@pytest.mark.parametrize(
    ("source_revision", "digest", "kind", "service", "expected"),
    [
        (7, OWN, 1, SERVICE, RUN),
        (6, OWN, 1, SERVICE, RUN),  # An equal rule of an older revision.
        (8, OWN, 1, SERVICE, RUN),
        (6, OTHER, 1, SERVICE, SOURCE_STALE),
        (8, OTHER, 1, SERVICE, VERIFY_FIRST),
        (7, OTHER, 1, SERVICE, CONFLICT),
        (7, OWN, 0, SERVICE, CONFLICT),  # The digest matches, the kind does not.
        (7, OWN, 1, "tile-vault", CONFLICT),  # The digest matches, the service does not.
        (7, b"", 1, SERVICE, RUN),  # The source sends no rule digest.
        (7, b"", 0, SERVICE, CONFLICT),
    ],
)
def test_the_outcome_at_the_destination(
    source_revision: int, digest: bytes, kind: int, service: str, expected: int
) -> None:
    assert check((source_revision, digest, kind, service), 7, route("mutating"), OWN) == expected


@pytest.mark.parametrize(
    ("source_revision", "expected"), [(6, SOURCE_STALE), (7, CONFLICT), (8, VERIFY_FIRST)]
)
def test_the_outcome_without_a_route_at_the_destination(source_revision: int, expected: int) -> None:
    assert check((source_revision, OTHER, 1, SERVICE), 7, None, b"") == expected


@pytest.mark.parametrize(
    ("fields", "expected"),
    [
        (b"Host: a.example\r\nX: 1\r\n", b"a.example"),
        (b"X-Host: no\r\nhOsT:B.example:80\r\n", b"b.example:80"),
        (b"X-Host: no\r\n", b""),
        (b"", b""),
    ],
)
def test_the_host_is_read_from_the_forwarded_header_lines(fields: bytes, expected: bytes) -> None:
    assert host_of(fields) == expected


def test_each_transition_of_the_table_is_taken_and_all_others_are_rejected() -> None:
    for at, row in states.TRANSITIONS.items():
        for event in range(len(states.EVENT_NAMES)):
            state = states.NodeState(0.0)
            state.current = at
            if event not in row:
                with pytest.raises(ValueError, match=states.EVENT_NAMES[event]):
                    state.handle(100.0, event)
                continue
            state.failed_renewals = states.MAX_FAILED_RENEWALS
            state.handle(100.0, event, "why", may_quarantine=True)
            assert state.current == row[event]


def test_a_node_is_quarantined_only_after_failed_renewals_and_with_capacity() -> None:
    state = states.NodeState(0.0)
    state.handle(1.0, states.DRIFT_FOUND)
    for _ in range(10):
        state.handle(2.0, states.RENEWAL_FAILED, may_quarantine=False)
    assert state.current == states.DOUBTED
    assert state.is_suspect
    state = states.NodeState(0.0)
    state.handle(1.0, states.DRIFT_FOUND)
    for failed in range(states.MAX_FAILED_RENEWALS):
        assert state.current == states.DOUBTED, failed
        state.handle(2.0, states.RENEWAL_FAILED, may_quarantine=True)
    assert state.current == states.QUARANTINED
    state.handle(3.0, states.SCAN_PASSED)
    assert state.current == states.HEALED
    state.handle(3.0 + states.STABLE_S / 2, states.STABLE)
    assert state.current == states.HEALED
    state.handle(3.0 + states.STABLE_S, states.STABLE)
    assert state.current == states.AGREED


def test_delays_between_renewals_grow_up_to_the_maximum() -> None:
    state, seen = states.NodeState(0.0), []
    state.handle(1.0, states.DRIFT_FOUND)
    for _ in range(12):
        seen.append(state.retry_delay_s())
        state.handle(1.0, states.RENEWAL_FAILED, may_quarantine=False)
    assert seen == sorted(seen)
    assert (seen[0], seen[-1]) == states.RENEWAL_BACKOFF_S


def test_neither_a_whole_zone_nor_half_of_all_nodes_is_quarantined() -> None:
    random = Random(4)
    for _ in range(300):
        zones = [random.randint(1, 30) for _ in range(random.randint(1, 4))]
        quarantined = [0] * len(zones)
        for _ in range(200):
            at = random.randrange(len(zones))
            if quarantined[at] < zones[at] and states.has_quarantine_capacity(
                quarantined[at], zones[at], sum(quarantined), sum(zones)
            ):
                quarantined[at] += 1
        assert all(count <= max(1, zone // 4) for count, zone in zip(quarantined, zones, strict=True))
        assert 2 * sum(quarantined) < max(3, sum(zones))
