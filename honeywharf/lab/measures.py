"""Computes the figures of a day, which results keep and reports show.

Shares are of first attempts and times are in s, unless stated otherwise. Without a fault, the figures of
faults cover the complete day. A figure without a value is left out; NaN is not used.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from honeywharf.lab.simulator import WINDOW_MS, Day, Result, play

SETTLE_MS = 4000.0  # The start of a day, before limits have adapted.
RECOVERED_SHARE = 0.95  # Share of the level before the faults.
RECOVERED_WINDOWS = 4  # Consecutive windows at the recovered level.
SWING_DELAY_MS = 5000.0  # From the recovery until the swing is computed.
QUANTILES = (*(i / 50.0 for i in range(1, 50)), 0.99, 0.999)
SWING_STEP_MS = 2000.0
NOT_RECOVERED_S = float(10**6)  # The `recovery_s` of a day without a recovery.
#: Returns the share of requests served within the latency target, between two times in ms.
Level = Callable[[float, float], float]


def fault_span(day: Day) -> tuple[float, float]:
    """Returns the start of the first fault and the end of the last, in ms, or SETTLE_MS twice without one."""
    if not day.faults:
        return SETTLE_MS, SETTLE_MS
    return min(t.at_ms for t in day.faults), max(t.at_ms + t.for_ms for t in day.faults)


def recovery_ms(level: Level, former: float, since_ms: float, end_ms: float) -> float | None:
    """Returns the ms from `since_ms` until RECOVERED_WINDOWS windows are at the recovered level, or None."""
    at = since_ms
    while at + RECOVERED_WINDOWS * WINDOW_MS <= end_ms:
        if (
            min(level(at + i * WINDOW_MS, at + (i + 1) * WINDOW_MS) for i in range(RECOVERED_WINDOWS))
            >= RECOVERED_SHARE * former
        ):
            return at - since_ms
        at += WINDOW_MS
    return None


def swing(level: Level, recovered_ms: float, end_ms: float) -> float | None:
    """Returns the range of the level over steps of SWING_STEP_MS after a recovery, or None without a step."""
    begin = recovered_ms + SWING_DELAY_MS
    steps = [
        level(at, at + SWING_STEP_MS)
        for at in (begin + SWING_STEP_MS * i for i in range(max(0, int((end_ms - begin) // SWING_STEP_MS))))
    ]
    return max(steps) - min(steps) if steps else None


def figures_of(day: Day, result: Result) -> dict[str, float]:
    """Returns the figures of a day by name."""
    level = result.goodput
    faults_begin_ms, faults_end_ms = fault_span(day)
    end = day.length_ms - day.latency_target_ms  # Later requests may be unanswered at the end.
    former = level(SETTLE_MS, faults_begin_ms) if faults_begin_ms > SETTLE_MS else level(0.0, end)
    recovered_after_ms = recovery_ms(level, former, faults_end_ms, end)
    figures = {
        "level": level(0.0, end),
        "former": former,
        "dead": level(faults_begin_ms, faults_end_ms),
        "after": level(faults_end_ms, end),
        "asked": float(result.requests),
        "refused": float(result.refused),
        "failed": float(result.failed),
        "fell": float(result.fell),
        "cut": float(result.disconnected),
        "for_gone": float(result.sent_past_deadline),
        "double_charges": float(result.double_charges),
        "late_drains": float(result.late_drains),
        "p50_s": result.quantile(0.5) / 1000.0,
        "p99_s": result.quantile(0.99) / 1000.0,
        "recovery_s": NOT_RECOVERED_S if recovered_after_ms is None else recovered_after_ms / 1000.0,
        "alarms": float(sum(line.startswith("storm: storm") for _, _, line in result.states)),
    }
    swing_range = swing(level, faults_end_ms + (recovered_after_ms or 0.0), end)
    if swing_range is not None:
        figures["swing"] = swing_range
    begin, last = int(faults_begin_ms // WINDOW_MS), int(end // WINDOW_MS)
    ratios = [_repeat_ratio(result, k, k + 4) for k in range(begin, last - 3)]
    if ratios:
        figures["repeats"], figures["repeats_most"] = _repeat_ratio(result, begin, last), max(ratios)
    if result.advised_attempts:
        figures["wrong_advice"] = result.advised_attempts_refused / result.advised_attempts
    if result.connections_accepted:
        figures["connections_per_s_most"] = max(result.connections_accepted.values()) * 1000.0 / WINDOW_MS
    return figures


def _repeat_ratio(result: Result, begin: int, end: int) -> float:
    first_attempts = sum(result.windows.get(k, [0])[0] for k in range(begin, end))
    return sum(result.forwarded.get(k, [0, 0])[1] for k in range(begin, end)) / max(1, first_attempts)


def window_lines(day: Day, result: Result) -> list[list[int]]:
    """Returns the counts of each window.

    The columns are requests, requests in time, refusals, forwarded first attempts, forwarded repeats and
    accepted connections.
    """
    return [
        [
            *result.windows.get(k, [0, 0, 0]),
            *result.forwarded.get(k, [0, 0]),
            result.connections_accepted.get(k, 0),
        ]
        for k in range(int(day.length_ms // WINDOW_MS))
    ]


def play_and_measure(day: Day) -> dict[str, Any]:
    """Simulates a day. Returns its `figures`, its `lines` by window and its `latencies` (s) at QUANTILES."""
    result = play(day)
    latencies = [round(result.quantile(q) / 1000.0, 6) for q in QUANTILES]
    return {"figures": figures_of(day, result), "lines": window_lines(day, result), "latencies": latencies}
