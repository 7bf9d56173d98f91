"""The gate's table: what each word of a backend does in each state, and why a request is refused."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from honeywharf.sidecar.gate import COLD_MARGIN_S, DRAINING, ENDED, MAX_ENDED_INSTANCES, READY, UNKNOWN, Gate
from honeywharf.verdict import DRAINING as LEAVES, EVACUATED, NO_BACKEND, NOT_READY, OTHER_SERVICE, SLOW_START

SERVICE = "order-desk"
Do = Callable[[Gate], object]


def beat(instance: str = "i-1", sequence: int = 2, draining: bool = False, cold_s: float = 0.0) -> Do:
    return lambda gate: gate.heartbeat(10.0, instance, sequence, draining, 8, cold_s)


def health(instance: str = "i-1", well: bool = True, asked: float = 9.9) -> Do:
    return lambda gate: gate.health_answer(10.0, instance, well, 8, None, asked)


def made() -> Gate:
    gate = Gate(0.0, SERVICE, 1.5, 5.0)
    gate.set_slow_start(22.0)
    return gate


START: dict[str, tuple[Do, ...]] = {
    "unknown": (),
    "ready": (beat(sequence=1),),
    "draining": (beat(sequence=1, draining=True),),
    "ended": (beat(sequence=1), lambda gate: gate.deregister("i-1")),
    "missing": (beat(sequence=1), lambda gate: gate.backend_missing()),
}
TABLE: list[tuple[str, str, Do, int]] = [
    ("unknown", "beat", beat(), READY),
    ("unknown", "last beat", beat(draining=True), DRAINING),
    ("unknown", "health", health(), READY),
    ("unknown", "ill", health(well=False), UNKNOWN),
    ("unknown", "no id", health(instance=""), UNKNOWN),
    ("unknown", "deregister", lambda g: g.deregister("i-1"), UNKNOWN),
    ("unknown", "missing", lambda g: g.backend_missing(), UNKNOWN),
    ("ready", "beat", beat(), READY),
    ("ready", "last beat", beat(draining=True), DRAINING),
    ("ready", "late beat", beat(sequence=1, draining=True), READY),
    ("ready", "health", health(), READY),
    ("ready", "ill", health(well=False), READY),
    ("ready", "deregister", lambda g: g.deregister("i-1"), ENDED),
    ("ready", "another's end", lambda g: g.deregister("i-0"), READY),
    ("ready", "missing", lambda g: g.backend_missing(), UNKNOWN),
    ("ready", "new life", beat(instance="i-2", sequence=0), READY),
    ("ready", "new life, ill", health(instance="i-2", well=False), UNKNOWN),
    ("draining", "late beat", beat(sequence=1), DRAINING),
    ("draining", "health", health(), DRAINING),
    ("draining", "taken back", beat(), READY),
    ("draining", "missing", lambda g: g.backend_missing(), DRAINING),
    ("draining", "deregister", lambda g: g.deregister("i-1"), ENDED),
    ("draining", "new life", beat(instance="i-2", sequence=0), READY),
    ("ended", "beat", beat(sequence=9), ENDED),
    ("ended", "health", health(), ENDED),
    ("ended", "missing", lambda g: g.backend_missing(), ENDED),
    ("ended", "new life", beat(instance="i-2", sequence=0), READY),
    ("ended", "new life's health", health(instance="i-2"), READY),
    ("missing", "late beat", beat(sequence=1), UNKNOWN),
    ("missing", "beat", beat(), READY),
    ("missing", "health", health(), READY),
    ("missing", "last beat", beat(draining=True), DRAINING),
]


@pytest.mark.parametrize(
    ("start", "word", "do", "after"), TABLE, ids=lambda v: v if isinstance(v, str) else ""
)
def test_the_table(start: str, word: str, do: Do, after: int) -> None:
    gate = made()
    for each in START[start]:
        each(gate)
    state, life, changes = gate.state, gate.instance, gate.changes
    do(gate)
    assert gate.state == after
    assert (gate.changes > changes) == ((gate.state, gate.instance) != (state, life))
    assert (gate.rejection(20.0, SERVICE) is None) == (
        after == READY and (not gate.cold_unknown or "life" in word)
    )


def test_a_life_that_has_ended_never_comes_back() -> None:
    gate = made()
    beat("i-1", 1)(gate)
    beat("i-2", 1)(gate)
    assert beat("i-1", 99)(gate) is False
    health("i-1")(gate)
    assert (gate.instance, gate.state) == ("i-2", READY)
    gate.deregister("i-3")  # before its first beat came here
    assert beat("i-3", 1)(gate) is False
    assert gate.instance == "i-2"


def test_lives_that_are_over_are_remembered_up_to_a_bound() -> None:
    gate = made()
    for n in range(3 * MAX_ENDED_INSTANCES):
        beat(f"i-{n}", 1)(gate)
    assert len(gate.ended_instances) == MAX_ENDED_INSTANCES
    assert beat(f"i-{2 * MAX_ENDED_INSTANCES + 2}", 99)(gate) is False


def test_why_it_refuses() -> None:
    gate = made()
    assert gate.rejection(0.0, "another") == (OTHER_SERVICE, 0.0)
    assert gate.rejection(0.0, SERVICE) == (NOT_READY, 0.0)
    beat()(gate)
    assert gate.rejection(20.0, SERVICE) is None
    gate.backend_missing()
    assert gate.rejection(20.0, SERVICE) == (NO_BACKEND, 0.0)
    beat(sequence=3, draining=True)(gate)
    assert gate.rejection(20.0, SERVICE) == (LEAVES, 0.0)
    gate.deregister("i-1")
    assert gate.rejection(20.0, SERVICE) == (LEAVES, 0.0)
    beat("i-2")(gate)
    gate.set_evacuated(11.0, on=True)
    assert gate.rejection(20.0, SERVICE) == (EVACUATED, 0.0)


def spent(gate: Gate, now: float) -> int:
    """Send until it refuses; how many went."""
    went = 0
    while gate.rejection(now, SERVICE) is None and went < 500:
        gate.request_sent(now)
        went += 1
    return went


def test_a_cold_one_takes_what_the_rule_allows_until_it_is_warm() -> None:
    gate = made()
    beat(cold_s=3.0)(gate)
    allowed = int(22.0 * 1.5 + 5.0)
    assert 0.8 * allowed < spent(gate, 10.0) <= allowed
    refusal = gate.rejection(10.5, SERVICE)
    assert refusal is not None
    assert refusal[0] == SLOW_START
    assert refusal[1] == pytest.approx(0.65)
    assert gate.rejection(10.0 + 3.0 + COLD_MARGIN_S, SERVICE) is None
    assert spent(gate, 10.0 + 3.0 + COLD_MARGIN_S) == 500


def test_a_new_process_and_a_new_life_are_doubted_until_they_are_told_of() -> None:
    gate = made()
    assert gate.is_cold(50.0)
    health()(gate)
    assert not gate.is_cold(50.0)
    gate.backend_missing()
    assert gate.is_cold(50.0)
    beat()(gate)
    assert not gate.is_cold(50.0)


def test_after_its_zone_was_taken_back_only_words_from_after_that_tell() -> None:
    gate = made()
    beat()(gate)
    gate.set_evacuated(11.0, on=True)
    gate.set_evacuated(12.0, on=False)
    assert gate.is_cold(50.0)
    assert gate.state == READY
    gate.health_answer(12.1, "i-1", True, 8, 0.0, asked_at=11.9)
    assert gate.is_cold(50.0)
    gate.health_answer(12.2, "i-1", True, 8, 2.0, asked_at=12.05)
    assert gate.is_cold(12.2 + 2.0)
    assert not gate.is_cold(12.2 + 2.0 + COLD_MARGIN_S)
    gate.set_evacuated(60.0, on=True)
    gate.set_evacuated(61.0, on=False)
    assert gate.is_cold(70.0)
    gate.heartbeat(61.5, "i-1", 3, False, 8, 0.0)
    assert not gate.is_cold(70.0)


def test_withdrawing_what_was_never_ordered_changes_nothing() -> None:
    gate = made()
    beat()(gate)
    changes = gate.changes
    gate.set_evacuated(11.0, on=False)
    assert (gate.changes, gate.cold_unknown) == (changes, False)


def test_what_it_says_of_itself() -> None:
    gate = made()
    beat()(gate)
    assert gate.gossip_attributes() == {"s": SERVICE, "b": "i-1", "st": READY, "sl": 8}
    gate.admission.running = 1
    assert gate.load() == (1, 0, 8)


@pytest.mark.parametrize(("cold_s", "refused"), [(2.9, False), (2.75, False), (2.4, True), (1.0, True)])
def test_a_new_process_sends_to_a_cold_backend_at_once_only_if_none_before_it_can_have(
    cold_s: float,
    refused: bool,
) -> None:
    gate = Gate(10.0, SERVICE, 1.5, 5.0)
    gate.set_slow_start(22.0, 3.0)
    gate.heartbeat(10.0, "i-1", 1, False, 8, cold_s)
    assert (gate.rejection(10.0, SERVICE) is not None) == refused
