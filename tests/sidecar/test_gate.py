"""The gate: its state after each event, reasons of rejections, slow start."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from honeywharf.admission.cold_start import STARTUP_WAIT_S
from honeywharf.admission.warmup import WARMUP_MARGIN_S
from honeywharf.sidecar.gate import DRAINING, ENDED, HEALTH_CHECK_S, MAX_ENDED_INSTANCES, READY, UNKNOWN, Gate
from honeywharf.verdict import (
    DRAINING as IS_DRAINING,
    EVACUATED,
    NO_BACKEND,
    NOT_READY,
    OTHER_SERVICE,
    SLOW_START,
)

SERVICE = "order-desk"
Do = Callable[[Gate], object]


def send_heartbeat(
    instance: str = "i-1", sequence: int = 2, draining: bool = False, cold_s: float = 0.0
) -> Do:
    return lambda gate: gate.heartbeat(10.0, instance, sequence, draining, 8, cold_s)


def send_health_answer(instance: str = "i-1", is_healthy: bool = True, asked: float = 9.9) -> Do:
    return lambda gate: gate.health_answer(10.0, instance, is_healthy, 8, None, asked)


def new_gate() -> Gate:
    """Returns the gate of a process that has just started."""
    gate = Gate(0.0, SERVICE, 1.5, 5.0)
    gate.set_slow_start(22.0)
    return gate


def gate_of_order_desk() -> Gate:
    """Returns the gate of a process whose first health check is over."""
    gate = new_gate()
    gate.warmup.needs_check = False
    return gate


FIRST_EVENTS: dict[str, tuple[Do, ...]] = {
    "unknown": (),
    "ready": (send_heartbeat(sequence=1),),
    "confirmed": (send_heartbeat(sequence=0), send_heartbeat(sequence=1)),
    "answered": (send_heartbeat(sequence=1), send_health_answer()),
    "contradicted": (send_heartbeat(sequence=1), send_health_answer(is_healthy=False)),
    "draining": (send_heartbeat(sequence=1, draining=True),),
    "ended": (send_heartbeat(sequence=1), lambda gate: gate.deregister("i-1")),
    "missing": (send_heartbeat(sequence=1), lambda gate: gate.backend_missing()),
}
TRANSITIONS: list[tuple[str, str, Do, int]] = [
    ("unknown", "heartbeat", send_heartbeat(), READY),
    ("unknown", "last heartbeat", send_heartbeat(draining=True), DRAINING),
    ("unknown", "healthy", send_health_answer(), READY),
    ("unknown", "unhealthy", send_health_answer(is_healthy=False), UNKNOWN),
    ("unknown", "no id", send_health_answer(instance=""), UNKNOWN),
    ("unknown", "deregister", lambda g: g.deregister("i-1"), UNKNOWN),
    ("unknown", "missing", lambda g: g.backend_missing(), UNKNOWN),
    ("ready", "heartbeat", send_heartbeat(), READY),
    ("ready", "last heartbeat", send_heartbeat(draining=True), DRAINING),
    ("ready", "late heartbeat", send_heartbeat(sequence=1, draining=True), READY),
    ("ready", "healthy", send_health_answer(), READY),
    ("ready", "unhealthy", send_health_answer(is_healthy=False), UNKNOWN),
    ("confirmed", "unhealthy", send_health_answer(is_healthy=False), READY),
    ("answered", "unhealthy", send_health_answer(is_healthy=False), READY),
    ("contradicted", "late heartbeat", send_heartbeat(sequence=1), UNKNOWN),
    ("contradicted", "heartbeat", send_heartbeat(), READY),
    ("contradicted", "healthy", send_health_answer(), READY),
    ("ready", "deregister", lambda g: g.deregister("i-1"), ENDED),
    ("ready", "another's end", lambda g: g.deregister("i-0"), READY),
    ("ready", "missing", lambda g: g.backend_missing(), UNKNOWN),
    ("ready", "new instance", send_heartbeat(instance="i-2", sequence=0), READY),
    ("ready", "new instance, unhealthy", send_health_answer(instance="i-2", is_healthy=False), UNKNOWN),
    ("draining", "late heartbeat", send_heartbeat(sequence=1), DRAINING),
    ("draining", "healthy", send_health_answer(), DRAINING),
    ("draining", "ready again", send_heartbeat(), READY),
    ("draining", "missing", lambda g: g.backend_missing(), DRAINING),
    ("draining", "deregister", lambda g: g.deregister("i-1"), ENDED),
    ("draining", "new instance", send_heartbeat(instance="i-2", sequence=0), READY),
    ("ended", "heartbeat", send_heartbeat(sequence=9), ENDED),
    ("ended", "healthy", send_health_answer(), ENDED),
    ("ended", "missing", lambda g: g.backend_missing(), ENDED),
    ("ended", "new instance", send_heartbeat(instance="i-2", sequence=0), READY),
    ("ended", "new instance, healthy", send_health_answer(instance="i-2"), READY),
    ("missing", "late heartbeat", send_heartbeat(sequence=1), UNKNOWN),
    ("missing", "heartbeat", send_heartbeat(), READY),
    ("missing", "healthy", send_health_answer(), READY),
    ("missing", "last heartbeat", send_heartbeat(draining=True), DRAINING),
]


@pytest.mark.parametrize(
    ("start", "event", "do", "after"), TRANSITIONS, ids=lambda v: v if isinstance(v, str) else ""
)
def test_transitions(start: str, event: str, do: Do, after: int) -> None:
    gate = gate_of_order_desk()
    for each in FIRST_EVENTS[start]:
        each(gate)
    state, instance_before, changes = gate.state, gate.instance, gate.changes
    do(gate)
    assert gate.state == after
    assert (gate.changes > changes) == ((gate.state, gate.instance) != (state, instance_before))
    assert (gate.rejection(20.0, SERVICE) is None) == (
        after == READY and (not gate.warmup.is_unknown or "new instance" in event)
    )


def test_an_ended_instance_never_returns() -> None:
    gate = gate_of_order_desk()
    send_heartbeat("i-1", 1)(gate)
    send_heartbeat("i-2", 1)(gate)
    assert send_heartbeat("i-1", 99)(gate) is False
    send_health_answer("i-1")(gate)
    assert (gate.instance, gate.state) == ("i-2", READY)
    gate.deregister("i-3")  # before its first heartbeat arrives
    assert send_heartbeat("i-3", 1)(gate) is False
    assert gate.instance == "i-2"


def test_ended_instances_are_remembered_up_to_a_bound() -> None:
    gate = gate_of_order_desk()
    for n in range(3 * MAX_ENDED_INSTANCES):
        send_heartbeat(f"i-{n}", 1)(gate)
    assert len(gate.ended_instances) == MAX_ENDED_INSTANCES
    assert gate.displaced.keys() <= gate.ended_instances.keys()
    assert send_heartbeat(f"i-{2 * MAX_ENDED_INSTANCES + 2}", 99)(gate) is False


def test_reasons_of_rejections() -> None:
    gate = gate_of_order_desk()
    assert gate.rejection(0.0, "another") == (OTHER_SERVICE, 0.0)
    assert gate.rejection(0.0, SERVICE) == (NOT_READY, 0.0)
    send_heartbeat()(gate)
    assert gate.rejection(20.0, SERVICE) is None
    gate.backend_missing()
    assert gate.rejection(20.0, SERVICE) == (NO_BACKEND, 0.0)
    send_heartbeat(sequence=3, draining=True)(gate)
    assert gate.rejection(20.0, SERVICE) == (IS_DRAINING, 0.0)
    gate.deregister("i-1")
    assert gate.rejection(20.0, SERVICE) == (IS_DRAINING, 0.0)
    send_heartbeat("i-2")(gate)
    gate.set_evacuated(11.0, on=True)
    assert gate.rejection(20.0, SERVICE) == (EVACUATED, 0.0)


def send_until_rejected(gate: Gate, now: float) -> int:
    """Sends requests until the gate rejects one; returns how many were sent."""
    count_sent = 0
    while gate.rejection(now, SERVICE) is None and count_sent < 500:
        gate.request_sent(now)
        count_sent += 1
    return count_sent


def test_a_cold_backend_gets_what_slow_start_allows_until_it_is_warm() -> None:
    gate = gate_of_order_desk()
    send_heartbeat(cold_s=3.0)(gate)
    allowed = int(22.0 * 1.5 + 5.0)
    assert 0.8 * allowed < send_until_rejected(gate, 10.0) <= allowed
    rejection_with_wait = gate.rejection(10.5, SERVICE)
    assert rejection_with_wait is not None
    assert rejection_with_wait[0] == SLOW_START
    assert rejection_with_wait[1] == pytest.approx(0.65)
    assert gate.rejection(10.0 + 3.0 + WARMUP_MARGIN_S, SERVICE) is None
    assert send_until_rejected(gate, 10.0 + 3.0 + WARMUP_MARGIN_S) == 500


def test_a_backend_is_taken_for_cold_until_it_tells_after_a_restart_or_a_new_instance() -> None:
    gate = gate_of_order_desk()
    assert gate.warmup.is_warming_up(50.0)
    send_health_answer()(gate)
    assert not gate.warmup.is_warming_up(50.0)
    gate.backend_missing()
    assert gate.warmup.is_warming_up(50.0)
    send_heartbeat()(gate)
    assert not gate.warmup.is_warming_up(50.0)


def test_after_an_evacuation_only_later_heartbeats_and_health_checks_count() -> None:
    gate = gate_of_order_desk()
    send_heartbeat()(gate)
    gate.set_evacuated(11.0, on=True)
    gate.set_evacuated(12.0, on=False)
    assert gate.warmup.is_warming_up(50.0)
    assert gate.state == READY
    gate.health_answer(12.1, "i-1", True, 8, 0.0, sent_at=11.9)
    assert gate.warmup.is_warming_up(50.0)
    gate.health_answer(12.2, "i-1", True, 8, 2.0, sent_at=12.05)
    assert gate.warmup.is_warming_up(12.2 + 2.0)
    assert not gate.warmup.is_warming_up(12.2 + 2.0 + WARMUP_MARGIN_S)
    gate.heartbeat(12.3, "i-1", 3, False, 8, 0.0)  # of before the evacuation, like all that follow
    assert gate.warmup.is_warming_up(12.2 + 2.0)
    gate.set_evacuated(60.0, on=True)
    gate.set_evacuated(61.0, on=False)
    assert gate.warmup.is_warming_up(70.0)
    gate.heartbeat(61.5, "i-1", 4, False, 8, 0.0)
    assert gate.warmup.is_warming_up(70.0)
    gate.health_answer(62.0, "i-1", True, 8, None, sent_at=61.9)
    assert not gate.warmup.is_warming_up(70.0)


def test_a_late_heartbeat_does_not_make_a_cold_backend_warm_after_a_start() -> None:
    """Guards against FAILBACK: a heartbeat of before the backend became cold lifted slow start."""
    gate = new_gate()
    send_heartbeat()(gate)
    assert gate.state == READY
    assert gate.warmup.is_warming_up(50.0)
    gate.heartbeat(10.1, "i-1", 3, False, 8, 2.0)
    assert gate.warmup.until == 10.1 + 2.0 + WARMUP_MARGIN_S
    gate.health_answer(10.2, "i-1", True, 8, 2.5, sent_at=10.15)
    gate.heartbeat(10.3, "i-1", 4, False, 8, 0.0)
    gate.heartbeat(10.4, "i-1", 5, False, 8, 1.0)
    assert gate.warmup.is_warming_up(10.2 + 2.5)
    assert not gate.warmup.is_warming_up(10.2 + 2.5 + WARMUP_MARGIN_S)
    gate.heartbeat(20.0, "i-1", 6, False, 8, 3.0)  # it has become cold once more
    assert gate.warmup.is_warming_up(23.0)


def test_without_answers_to_health_checks_heartbeats_have_to_do() -> None:
    gate = new_gate()
    gate.warmup.checks_failed()
    send_heartbeat()(gate)
    assert not gate.warmup.is_warming_up(50.0)
    gate.set_evacuated(60.0, on=True)
    gate.set_evacuated(61.0, on=False)
    gate.heartbeat(61.5, "i-1", 3, False, 8, 0.0)
    assert gate.warmup.is_warming_up(70.0)  # checks are due anew


def test_the_cold_time_of_an_instance_does_not_bind_the_next_one() -> None:
    gate = gate_of_order_desk()
    send_heartbeat(cold_s=30.0)(gate)
    send_heartbeat("i-2")(gate)
    assert not gate.warmup.is_warming_up(10.0)


def test_ending_an_evacuation_that_was_not_in_force_changes_nothing() -> None:
    gate = gate_of_order_desk()
    send_heartbeat()(gate)
    changes = gate.changes
    gate.set_evacuated(11.0, on=False)
    assert (gate.changes, gate.warmup.is_unknown) == (changes, False)


def test_gossip_attributes_and_load() -> None:
    gate = gate_of_order_desk()
    send_heartbeat()(gate)
    assert gate.gossip_attributes() == {"s": SERVICE, "b": "i-1", "st": READY, "sl": 8}
    gate.admission.running = 1
    assert gate.load() == (1, 0, 8)


@pytest.mark.parametrize("cold_s", [3.0, 2.9, 2.4, 1.0])
def test_a_new_process_sends_nothing_to_a_cold_backend_before_its_predecessors_requests_are_old(
    cold_s: float,
) -> None:
    """Guards against FAILBACK: a backend that became cold again was taken for one that had just started."""
    gate = Gate(10.0, SERVICE, 1.5, 5.0)
    gate.set_slow_start(22.0)
    gate.heartbeat(10.0, "i-1", 1, False, 8, cold_s)
    assert gate.rejection(10.0, SERVICE) == (SLOW_START, HEALTH_CHECK_S)  # a check is due
    gate.health_answer(10.0, "i-1", True, 8, cold_s, sent_at=10.0)
    assert gate.rejection(10.0, SERVICE) == (SLOW_START, 10.0 + STARTUP_WAIT_S - 10.0)
    assert gate.rejection(10.0 + STARTUP_WAIT_S, SERVICE) is None


def test_requests_wait_for_the_first_health_check_and_not_for_the_end_of_slow_start() -> None:
    """Guards against a warm backend that a restarted sidecar keeps idle for a second."""
    gate = new_gate()
    gate.heartbeat(0.0, "i-1", 1, False, 8, 0.0)
    assert gate.rejection(0.0, SERVICE) == (SLOW_START, HEALTH_CHECK_S)
    gate.health_answer(HEALTH_CHECK_S, "i-1", True, 8, 0.0, sent_at=0.1)
    assert gate.rejection(HEALTH_CHECK_S, SERVICE) is None
