"""The drain's table, and the choice of a gateway."""

from __future__ import annotations

import itertools
import random
import re

import pytest

from honeywharf.sessions import drain
from honeywharf.sessions.choice import Gateway, allowed, choose
from honeywharf.sessions.drain import (
    ANNOUNCED,
    BACK,
    CLOSED,
    EMPTY,
    GONE,
    LAST,
    MOVING,
    NAMES,
    ORDER,
    SERVING,
    TERM,
    WARNED,
    Drain,
)


def test_every_state_has_an_answer_to_every_event_and_the_text_tells_the_same() -> None:
    assert set(drain.STEPS) == set(itertools.product(range(len(NAMES)), (ORDER, TERM, BACK)))
    names = {
        name: getattr(drain, name)
        for name in ("SERVING", "WARNED", "ANNOUNCED", "CLOSED", "MOVING", "LAST", "EMPTY", "GONE")
    }
    rows = re.findall(r"^    ([A-Z]+) +(\S+) +(\S+) +(\S+)", drain.__doc__ or "", re.MULTILINE)
    told = {row[0]: row[1:] for row in rows if row[0] in names}
    assert len(told) == len(names)
    for name, cells in told.items():
        for event, cell in enumerate(cells):
            wanted = names[name] if cell in (".", "(ends)") else names[cell]
            assert drain.STEPS[names[name], event] == wanted, (name, event)


def test_a_drain_goes_through_its_states_in_order() -> None:
    one = Drain()
    assert one.taking
    assert one.event(0.0, ORDER, last=False) == ANNOUNCED
    assert not one.offered
    seen: list[int] = []
    left = 5
    for k in range(40):
        state = one.tick(k * 0.02, unasked=max(0, left - 2), left=left)
        left -= state in (MOVING, LAST) and left > 0
        if not seen or seen[-1] != state:
            seen.append(state)
    assert seen == [ANNOUNCED, CLOSED, MOVING, LAST, EMPTY]
    assert one.event(2.0, BACK, last=False) == SERVING


def test_the_last_gateway_wants_a_second_order() -> None:
    one = Drain()
    assert one.event(0.0, ORDER, last=True) == WARNED
    assert one.tick(29.0, 3, 3) == WARNED
    assert one.taking
    assert one.tick(30.5, 3, 3) == SERVING
    assert one.event(31.0, ORDER, last=True) == WARNED
    assert one.event(32.0, ORDER, last=True) == ANNOUNCED


def test_the_last_gateway_serves_on_after_sigterm_until_time_is_short() -> None:
    one = Drain()
    assert one.event(0.0, TERM, last=True, grace_s=8.0) == WARNED
    assert one.tick(4.9, 3, 3) == WARNED
    assert one.tick(5.1, 3, 3) == ANNOUNCED
    assert one.event(5.2, BACK, last=True) == ANNOUNCED  # SIGTERM is not taken back
    assert one.tick(8.0, 3, 3) == GONE


def test_a_drain_by_sigterm_ends_when_empty() -> None:
    one = Drain()
    one.event(0.0, TERM, last=False, grace_s=8.0)
    states = [one.tick(0.2 * k, 0, 0) for k in range(8)]
    assert states[-1] == GONE
    assert EMPTY in states


@pytest.mark.parametrize("state", [ANNOUNCED, CLOSED, MOVING, LAST, EMPTY])
def test_a_drain_by_order_is_taken_back_anywhere(state: int) -> None:
    one = Drain()
    one.state = state
    assert one.event(1.0, BACK, last=False) == SERVING
    assert one.taking


def test_any_order_of_events_and_times_keeps_to_the_table() -> None:
    for seed in range(300):
        draw = random.Random(seed)
        one, now = Drain(), 0.0
        for _ in range(60):
            now += draw.choice((0.02, 0.5, 5.0))
            before, last = one.state, draw.random() < 0.3
            if draw.random() < 0.4:
                event = draw.choice((ORDER, TERM, BACK))
                after = one.event(now, event, last, 8.0)
                assert after in (before, drain.STEPS[before, event], WARNED)
                assert not (last and before == SERVING and after == ANNOUNCED)
            else:
                after = one.tick(now, draw.randrange(3), draw.randrange(3))
            assert before != GONE or after == GONE
            assert one.taking == (after in (SERVING, WARNED, ANNOUNCED))
            if one.ends and now >= one.deadline:
                assert one.tick(now, 3, 3) == GONE


def town() -> list[Gateway]:
    found = [Gateway(node, node[0], f"{node[0]}-{node[1]}") for node in ("a1", "a2", "b1", "c1")]
    for gateway in found:
        gateway.up = True
    return found


def picked(gateways: list[Gateway], homes: tuple[str, ...] = (), avoid: str = "") -> str | None:
    one = choose(gateways, 10.0, "a-1", "a", homes, avoid, random.Random(1).random)
    return None if one is None else one.node


def test_near_first_then_what_is_offered_reached_and_was_not_just_left() -> None:
    gateways = town()
    assert picked(gateways) == "a1"
    assert picked(gateways, avoid="a1") == "a2"
    gateways[0].offered = False
    assert picked(gateways) == "a2"
    gateways[1].doubted_until = 11.0
    assert picked(gateways) in ("b1", "c1")
    for gateway in gateways[1:]:
        gateway.offered = False
    gateways[0].offered = True
    assert picked(gateways, avoid="a1") == "a1"  # a drain is worse than the one that was left


def test_of_two_alike_the_less_busy() -> None:
    gateways = [Gateway(f"g{k}", "a", "a-1") for k in range(2)]
    for gateway in gateways:
        gateway.up = True
    gateways[0].load = 10
    draw = random.Random(3)
    nodes = [choose(gateways, 0.0, "a-1", "a", (), "", draw.random) for _ in range(400)]
    assert 250 < sum(node is gateways[1] for node in nodes) < 350  # three of four


def test_homes_bind_the_gateway_too() -> None:
    assert allowed("c", "a", ())
    assert not allowed("c", "a", ("b",))
    assert picked(town(), homes=("b",)) == "a1"
    assert picked([each for each in town() if each.region == "c"], homes=("b",)) is None
