"""The figures of a day: what an experiment keeps of it, and reports are made of.

Shares are of first tries unless said otherwise; times in s. With no trouble, figures about it are over the
whole day. NaN is not used: what there is nothing of is left out.
"""

from __future__ import annotations

from typing import Any

from honeywharf.lab.simulator import WINDOW_MS, Day, Result, play

SETTLE_MS = 4000.0  # of a day's begin, that says nothing of it
ENOUGH = 0.95  # of the former level
HELD = 4  # windows for which that has to hold
CALM_MS = 5000.0  # after which a recovery may be judged for swing
QUANTILES = (*(i / 50.0 for i in range(1, 50)), 0.99, 0.999)
LATER = float(10 ** 6)  # of a recovery that has not come


def level(result: Result, begin_ms: float, end_ms: float) -> float:
    """The share answered within the aim, of what was asked in that time."""
    return result.goodput(begin_ms, end_ms)


def span(day: Day) -> tuple[float, float]:
    """From the first trouble to the end of the last, ms; the whole day where there is none."""
    if not day.troubles:
        return SETTLE_MS, SETTLE_MS
    return min(t.at_ms for t in day.troubles), max(t.at_ms + t.for_ms for t in day.troubles)


def recovery_ms(result: Result, former: float, since_ms: float, end_ms: float) -> float | None:
    """How long after that time HELD windows in a row are at ENOUGH of the former level; None if never."""
    at = since_ms
    while at + HELD * WINDOW_MS <= end_ms:
        if min(level(result, at + i * WINDOW_MS, at + (i + 1) * WINDOW_MS) for i in range(HELD)) >= (
                ENOUGH * former):
            return at - since_ms
        at += WINDOW_MS
    return None


def of(day: Day, result: Result, fell: int) -> dict[str, float]:
    """The figures by name."""
    dies, back = span(day)
    end = day.length_ms - day.aim_ms  # what is asked later has not had its time
    former = level(result, SETTLE_MS, dies) if dies > SETTLE_MS else level(result, 0.0, end)
    took = recovery_ms(result, former, back, end)
    figures = {
        "level": level(result, 0.0, end), "former": former, "dead": level(result, dies, back),
        "after": level(result, back, end), "asked": float(result.asked), "refused": float(result.refused),
        "failed": float(result.failed), "fell": float(fell), "cut": float(result.cut),
        "for_gone": float(result.for_gone), "double_charges": float(result.double_charges),
        "late_drains": float(result.late_drains), "p50_s": result.quantile(0.5) / 1000.0,
        "p99_s": result.quantile(0.99) / 1000.0,
        "recovery_s": LATER if took is None else took / 1000.0,
        "alarms": float(sum(words.startswith("storm: storm") for _, _, words in result.states)),
    }
    calm = back + (took or 0.0) + CALM_MS
    steps = [level(result, calm + at, calm + at + 2000.0) for at in range(0, int(end - calm) - 1999, 2000)]
    if steps:
        figures["swing"] = max(steps) - min(steps)
    begin, last = int(dies // WINDOW_MS), int(end // WINDOW_MS)
    ratios = [_repeats(result, k, k + 4) for k in range(begin, last - 3)]
    if ratios:
        figures["repeats"], figures["repeats_most"] = _repeats(result, begin, last), max(ratios)
    if result.as_told:
        figures["wrong_advice"] = result.told_and_refused / result.as_told
    if result.connected:
        figures["connections_per_s_most"] = max(result.connected.values()) * 1000.0 / WINDOW_MS
    return figures


def _repeats(result: Result, begin: int, end: int) -> float:
    first = sum(result.windows.get(k, [0])[0] for k in range(begin, end))
    return sum(result.begun.get(k, [0, 0])[1] for k in range(begin, end)) / max(1, first)


def lines(day: Day, result: Result) -> list[list[int]]:
    """By window: first tries asked, those in time, refusals, first tries and repeats begun, connections."""
    return [[*result.windows.get(k, [0, 0, 0]), *result.begun.get(k, [0, 0]), result.connected.get(k, 0)]
            for k in range(int(day.length_ms // WINDOW_MS))]


def played(day: Day) -> dict[str, Any]:
    """Play a day: `figures`, `lines` by window, `latencies` (s) at QUANTILES."""
    result = play(day)
    latencies = [round(result.quantile(q) / 1000.0, 6) for q in QUANTILES]
    return {"figures": of(day, result, result.fell), "lines": lines(day, result), "latencies": latencies}
