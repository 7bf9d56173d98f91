"""The `demo --storm` command: one simulated outage with storm control and without it."""

from __future__ import annotations

from collections.abc import Callable

from honeywharf.lab import days, measures
from honeywharf.lab.habits import MIXED
from honeywharf.lab.simulator import Day, Fault, play

CRASH_MS, RESTART_MS, LENGTH_MS = 6000.0, 12_000.0, 30_000.0
BARS = " ▁▂▃▄▅▆▇█"


def outage(seed: int, storms: bool) -> Day:
    """Returns a day of 20 nodes behind nine proxies, on which 0.4 of the nodes stop and return cold."""
    day = Day(
        "demo",
        seed,
        100.0,
        {"a": 7, "b": 7, "c": 6},
        days.no_arrivals,
        spec=days.TILE,
        retries=6,
        length_ms=LENGTH_MS,
        habits=MIXED,
        storms=storms,
        marks=0.5,
        proxies=9,
        faults=(Fault(CRASH_MS, "crash", part=0.4, for_ms=RESTART_MS - CRASH_MS),),
    )
    return days.load(day, 0.75)


def bars(values: list[float], maximum: float) -> str:
    """Returns a line of blocks, one for each value."""
    return "".join(BARS[min(len(BARS) - 1, round(v / maximum * (len(BARS) - 1)))] for v in values)


def show(seed: int, echo: Callable[[str], None]) -> int:
    """Simulates the outage twice and prints both.

    Returns the exit status: 0 if no rule was broken and storm control reduced the repeats, 1 otherwise.
    """
    echo("20 nodes, 0.4 of them dead from 6 to 12 s, then cold for 8; 9 proxies; clients of every habit")
    repeat_ratios = {}
    for storms in (False, True):
        day = outage(seed, storms)
        result = play(day)
        lines = measures.window_lines(day, result)
        level = [good / max(1, requests) for requests, good, *_ in lines]
        repeats = [line[4] / max(1, line[0]) for line in lines]
        repeat_ratios[storms] = measures.figures_of(day, result)["repeats"]
        echo(
            f"{'with' if storms else 'without'} storms = on: refused {result.refused}, repeats begun"
            f" {repeat_ratios[storms]:.2f} for each first try"
        )
        echo(f"    in time |{bars(level, 1.0)}|")
        echo(f"    repeats |{bars(repeats, 1.0)}|")
        if result.fell or result.double_charges or result.late_drains:
            echo("BROKEN: a cold node fell, a key was charged twice, or a drain was not kept")
            return 1
    return 0 if repeat_ratios[True] < repeat_ratios[False] else 1
