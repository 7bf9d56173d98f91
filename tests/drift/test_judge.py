"""What a destination does, and what a doubt leads to, as tables."""

from __future__ import annotations

from random import Random

import pytest

from honeywharf.drift import states
from honeywharf.drift.judge import ASK, CONFLICT, RUN, STALE, host_of, judge
from tests.sidecar.fixtures import SERVICE, route

MINE, OTHER = b"m" * 8, b"o" * 8


@pytest.mark.parametrize(
    ("theirs", "digest", "kind", "service", "wanted"),
    [
        (7, MINE, 1, SERVICE, RUN),
        (6, MINE, 1, SERVICE, RUN),  # an equal part of an older word
        (8, MINE, 1, SERVICE, RUN),
        (6, OTHER, 1, SERVICE, STALE),
        (8, OTHER, 1, SERVICE, ASK),
        (7, OTHER, 1, SERVICE, CONFLICT),
        (7, MINE, 0, SERVICE, CONFLICT),  # the right digest, but held for read_only
        (7, MINE, 1, "tile-vault", CONFLICT),  # the right digest, but another service drawn
        (7, b"", 1, SERVICE, RUN),  # a source that tells no rule
        (7, b"", 0, SERVICE, CONFLICT),
    ],
)
def test_the_four_ways(theirs: int, digest: bytes, kind: int, service: str, wanted: int) -> None:
    assert judge((theirs, digest, kind, service), 7, route("mutating"), MINE) == wanted


@pytest.mark.parametrize(("theirs", "wanted"), [(6, STALE), (7, CONFLICT), (8, ASK)])
def test_a_route_that_is_not_here(theirs: int, wanted: int) -> None:
    assert judge((theirs, OTHER, 1, SERVICE), 7, None, b"") == wanted


@pytest.mark.parametrize(
    ("fields", "wanted"),
    [
        (b"Host: a.example\r\nX: 1\r\n", b"a.example"),
        (b"X-Host: no\r\nhOsT:B.example:80\r\n", b"b.example:80"),
        (b"X-Host: no\r\n", b""),
        (b"", b""),
    ],
)
def test_the_host_is_read_from_the_lines_that_travel(fields: bytes, wanted: bytes) -> None:
    assert host_of(fields) == wanted


def test_every_row_of_the_table_leads_where_it_says_and_nothing_else_passes() -> None:
    for at, row in states.TABLE.items():
        for event in range(len(states.EVENTS)):
            state = states.State(0.0)
            state.at = at
            if event not in row:
                with pytest.raises(ValueError, match=states.EVENTS[event]):
                    state.event(100.0, event)
                continue
            state.tries = states.VAIN_TRIES
            state.event(100.0, event, "why", room=True)
            assert state.at == row[event]


def test_a_node_stands_aside_only_after_renewals_in_vain_and_with_room() -> None:
    state = states.State(0.0)
    state.event(1.0, states.SLIPPED)
    for _ in range(10):
        state.event(2.0, states.VAIN, room=False)
    assert state.at == states.DOUBTED
    assert state.aside
    state = states.State(0.0)
    state.event(1.0, states.SLIPPED)
    for tries in range(states.VAIN_TRIES):
        assert state.at == states.DOUBTED, tries
        state.event(2.0, states.VAIN, room=True)
    assert state.at == states.QUARANTINED
    state.event(3.0, states.MATCHED)
    assert state.at == states.HEALED
    state.event(3.0 + states.CALM_S / 2, states.CALM)
    assert state.at == states.HEALED
    state.event(3.0 + states.CALM_S, states.CALM)
    assert state.at == states.AGREED


def test_pauses_between_renewals_grow_and_end() -> None:
    state, seen = states.State(0.0), []
    state.event(1.0, states.SLIPPED)
    for _ in range(12):
        seen.append(state.again_s())
        state.event(1.0, states.VAIN, room=False)
    assert seen == sorted(seen)
    assert (seen[0], seen[-1]) == states.AGAIN_S


def test_neither_a_zone_nor_half_of_all_stands_aside_whatever_alarms() -> None:
    random = Random(4)
    for _ in range(300):
        zones = [random.randint(1, 30) for _ in range(random.randint(1, 4))]
        aside = [0] * len(zones)
        for _ in range(200):
            at = random.randrange(len(zones))
            if aside[at] < zones[at] and states.room(aside[at], zones[at], sum(aside), sum(zones)):
                aside[at] += 1
        assert all(many <= max(1, zone // 4) for many, zone in zip(aside, zones, strict=True))
        assert 2 * sum(aside) < max(3, sum(zones))
