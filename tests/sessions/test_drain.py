"""The state machine of a drain, and the choice of a gateway."""

from __future__ import annotations

import itertools
import random
import re

import pytest

from honeywharf.sessions import drain
from honeywharf.sessions.choice import Gateway, choose, may_hold_body
from honeywharf.sessions.drain import (
    ANNOUNCED,
    CANCEL,
    CLOSED,
    EMPTY,
    FINISHING,
    GONE,
    MOVING,
    ORDER,
    SERVING,
    STATE_NAMES,
    TERM,
    WARNED,
    Drain,
)


def test_every_state_handles_every_event_as_the_documented_table_says() -> None:
    assert set(drain.TRANSITIONS) == set(itertools.product(range(len(STATE_NAMES)), (ORDER, TERM, CANCEL)))
    names = {
        name: getattr(drain, name)
        for name in ("SERVING", "WARNED", "ANNOUNCED", "CLOSED", "MOVING", "FINISHING", "EMPTY", "GONE")
    }
    rows = re.findall(r"^    ([A-Z]+) +(\S+) +(\S+) +(\S+)", drain.__doc__ or "", re.MULTILINE)
    documented = {row[0]: row[1:] for row in rows if row[0] in names}
    assert len(documented) == len(names)
    for name, cells in documented.items():
        for event, cell in enumerate(cells):
            wanted = names[name] if cell in (".", "(ends)") else names[cell]
            assert drain.TRANSITIONS[names[name], event] == wanted, (name, event)


def test_a_drain_goes_through_its_states_in_order() -> None:
    one = Drain()
    assert one.accepts_sessions
    assert one.event(0.0, ORDER, last=False) == ANNOUNCED
    assert not one.is_advertised
    seen: list[int] = []
    left = 5
    for k in range(40):
        state = one.tick(k * 0.02, pending_moves=max(0, left - 2), remaining=left)
        left -= state in (MOVING, FINISHING) and left > 0
        if not seen or seen[-1] != state:
            seen.append(state)
    assert seen == [ANNOUNCED, CLOSED, MOVING, FINISHING, EMPTY]
    assert one.event(2.0, CANCEL, last=False) == SERVING


def test_the_last_gateway_needs_a_second_order() -> None:
    one = Drain()
    assert one.event(0.0, ORDER, last=True) == WARNED
    assert one.tick(29.0, 3, 3) == WARNED
    assert one.accepts_sessions
    assert one.tick(30.5, 3, 3) == SERVING
    assert one.event(31.0, ORDER, last=True) == WARNED
    assert one.event(32.0, ORDER, last=True) == ANNOUNCED


def test_the_last_gateway_serves_after_sigterm_until_the_deadline_is_near() -> None:
    one = Drain()
    assert one.event(0.0, TERM, last=True, grace_s=8.0) == WARNED
    assert one.tick(4.9, 3, 3) == WARNED
    assert one.tick(5.1, 3, 3) == ANNOUNCED
    assert one.event(5.2, CANCEL, last=True) == ANNOUNCED  # SIGTERM can't be cancelled.
    assert one.tick(8.0, 3, 3) == GONE


def test_a_drain_by_sigterm_exits_when_empty() -> None:
    one = Drain()
    one.event(0.0, TERM, last=False, grace_s=8.0)
    states = [one.tick(0.2 * k, 0, 0) for k in range(8)]
    assert states[-1] == GONE
    assert EMPTY in states


@pytest.mark.parametrize("state", [ANNOUNCED, CLOSED, MOVING, FINISHING, EMPTY])
def test_a_drain_by_order_can_be_cancelled_in_any_state(state: int) -> None:
    one = Drain()
    one.state = state
    assert one.event(1.0, CANCEL, last=False) == SERVING
    assert one.accepts_sessions


def test_random_sequences_of_events_keep_to_the_table() -> None:
    for seed in range(300):
        draw = random.Random(seed)
        one, now = Drain(), 0.0
        for _ in range(60):
            now += draw.choice((0.02, 0.5, 5.0))
            before, last = one.state, draw.random() < 0.3
            if draw.random() < 0.4:
                event = draw.choice((ORDER, TERM, CANCEL))
                after = one.event(now, event, last, 8.0)
                assert after in (before, drain.TRANSITIONS[before, event], WARNED)
                assert not (last and before == SERVING and after == ANNOUNCED)
            else:
                after = one.tick(now, draw.randrange(3), draw.randrange(3))
            assert before != GONE or after == GONE
            assert one.accepts_sessions == (after in (SERVING, WARNED, ANNOUNCED))
            if one.exits_when_empty and now >= one.deadline:
                assert one.tick(now, 3, 3) == GONE


def gateways_of_three_regions() -> list[Gateway]:
    found = [Gateway(node, node[0], f"{node[0]}-{node[1]}") for node in ("a1", "a2", "b1", "c1")]
    for gateway in found:
        gateway.is_connected = True
    return found


def picked(gateways: list[Gateway], allowed_regions: tuple[str, ...] = (), avoid: str = "") -> str | None:
    one = choose(gateways, 10.0, "a-1", "a", allowed_regions, avoid, random.Random(1).random)
    return None if one is None else one.node


def test_near_advertised_connected_gateways_come_first_and_the_one_just_left_last() -> None:
    gateways = gateways_of_three_regions()
    assert picked(gateways) == "a1"
    assert picked(gateways, avoid="a1") == "a2"
    gateways[0].is_advertised = False
    assert picked(gateways) == "a2"
    gateways[1].suspect_until = 11.0
    assert picked(gateways) in ("b1", "c1")
    for gateway in gateways[1:]:
        gateway.is_advertised = False
    gateways[0].is_advertised = True
    assert picked(gateways, avoid="a1") == "a1"  # Draining gateways rank behind the one just left.


def test_of_two_of_the_same_rank_the_one_with_less_load() -> None:
    gateways = [Gateway(f"g{k}", "a", "a-1") for k in range(2)]
    for gateway in gateways:
        gateway.is_connected = True
    gateways[0].load = 10
    draw = random.Random(3)
    nodes = [choose(gateways, 0.0, "a-1", "a", (), "", draw.random) for _ in range(400)]
    assert 250 < sum(node is gateways[1] for node in nodes) < 350  # Three out of four.


def test_allowed_regions_apply_to_gateways() -> None:
    assert may_hold_body("c", "a", ())
    assert not may_hold_body("c", "a", ("b",))
    assert picked(gateways_of_three_regions(), allowed_regions=("b",)) == "a1"
    assert (
        picked([each for each in gateways_of_three_regions() if each.region == "c"], allowed_regions=("b",))
        is None
    )
