"""The figures of a day: what an experiment keeps of it, and reports are made of.

Shares are of first tries unless said otherwise; times in s. With no trouble, figures about it are over the
whole day. NaN is not used: what there is nothing of is left out.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from honeywharf.lab.simulator import WINDOW_MS, Day, Result, play

SETTLE_MS = 4000.0  # of a day's begin, that says nothing of it
ENOUGH = 0.95  # of the former level
HELD = 4  # windows for which that has to hold
CALM_MS = 5000.0  # after which a recovery may be judged for swing
QUANTILES = (*(i / 50.0 for i in range(1, 50)), 0.99, 0.999)
SWING_MS = 2000.0
LATER = float(10**6)  # of a recovery that has not come
#: The share answered within the aim, of what was asked from a time to another, ms.
Level = Callable[[float, float], float]


def span(day: Day) -> tuple[float, float]:
    """From the first trouble to the end of the last, ms; the whole day where there is none."""
    if not day.faults:
        return SETTLE_MS, SETTLE_MS
    return min(t.at_ms for t in day.faults), max(t.at_ms + t.for_ms for t in day.faults)


def recovery_ms(level: Level, former: float, since_ms: float, end_ms: float) -> float | None:
    """How long after that time HELD windows in a row are at ENOUGH of the former level; None if never."""
    at = since_ms
    while at + HELD * WINDOW_MS <= end_ms:
        if min(level(at + i * WINDOW_MS, at + (i + 1) * WINDOW_MS) for i in range(HELD)) >= ENOUGH * former:
            return at - since_ms
        at += WINDOW_MS
    return None


def swing(level: Level, recovered_ms: float, end_ms: float) -> float | None:
    """The level's range over steps of SWING_MS, from CALM_MS after a recovery on; None without a step."""
    begin = recovered_ms + CALM_MS
    steps = [
        level(at, at + SWING_MS)
        for at in (begin + SWING_MS * i for i in range(max(0, int((end_ms - begin) // SWING_MS))))
    ]
    return max(steps) - min(steps) if steps else None


def of(day: Day, result: Result) -> dict[str, float]:
    """The figures by name."""
    level = result.goodput
    dies, back = span(day)
    end = day.length_ms - day.latency_target_ms  # what is asked later has not had its time
    former = level(SETTLE_MS, dies) if dies > SETTLE_MS else level(0.0, end)
    took = recovery_ms(level, former, back, end)
    figures = {
        "level": level(0.0, end),
        "former": former,
        "dead": level(dies, back),
        "after": level(back, end),
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
        "recovery_s": LATER if took is None else took / 1000.0,
        "alarms": float(sum(words.startswith("storm: storm") for _, _, words in result.states)),
    }
    swung = swing(level, back + (took or 0.0), end)
    if swung is not None:
        figures["swing"] = swung
    begin, last = int(dies // WINDOW_MS), int(end // WINDOW_MS)
    ratios = [_repeats(result, k, k + 4) for k in range(begin, last - 3)]
    if ratios:
        figures["repeats"], figures["repeats_most"] = _repeats(result, begin, last), max(ratios)
    if result.advised_attempts:
        figures["wrong_advice"] = result.advised_attempts_refused / result.advised_attempts
    if result.connections_accepted:
        figures["connections_per_s_most"] = max(result.connections_accepted.values()) * 1000.0 / WINDOW_MS
    return figures


def _repeats(result: Result, begin: int, end: int) -> float:
    first = sum(result.windows.get(k, [0])[0] for k in range(begin, end))
    return sum(result.forwarded.get(k, [0, 0])[1] for k in range(begin, end)) / max(1, first)


def lines(day: Day, result: Result) -> list[list[int]]:
    """By window: first tries asked, those in time, refusals, first tries and repeats begun, connections."""
    return [
        [
            *result.windows.get(k, [0, 0, 0]),
            *result.forwarded.get(k, [0, 0]),
            result.connections_accepted.get(k, 0),
        ]
        for k in range(int(day.length_ms // WINDOW_MS))
    ]


def played(day: Day) -> dict[str, Any]:
    """Play a day: `figures`, `lines` by window, `latencies` (s) at QUANTILES."""
    result = play(day)
    latencies = [round(result.quantile(q) / 1000.0, 6) for q in QUANTILES]
    return {"figures": of(day, result), "lines": lines(day, result), "latencies": latencies}
