"""`demo --storm`: the same outage in the laboratory, damped and not, a column for each half second."""

from __future__ import annotations

from collections.abc import Callable

from honeywharf.lab import days, measures
from honeywharf.lab.habits import MIXED
from honeywharf.lab.simulator import Day, Fault, play

DIES_MS, BACK_MS, LENGTH_MS = 6000.0, 12_000.0, 30_000.0
BARS = " ▁▂▃▄▅▆▇█"


def outage(seed: int, storms: bool) -> Day:
    """Twenty nodes that jam behind nine proxies; 0.4 of them die, and come back cold."""
    day = Day(
        "demo",
        seed,
        100.0,
        {"a": 7, "b": 7, "c": 6},
        days.none,
        spec=days.TILE,
        retries=6,
        length_ms=LENGTH_MS,
        habits=MIXED,
        storms=storms,
        marks=0.5,
        proxies=9,
        faults=(Fault(DIES_MS, "crash", part=0.4, for_ms=BACK_MS - DIES_MS),),
    )
    return days.load(day, 0.75)


def bars(values: list[float], most: float) -> str:
    """A line of blocks, one a value."""
    return "".join(BARS[min(len(BARS) - 1, round(v / most * (len(BARS) - 1)))] for v in values)


def show(seed: int, say: Callable[[str], None]) -> int:
    """Play and tell; status 0 where the rules held and repeats were fewer with the feature."""
    say("20 nodes, 0.4 of them dead from 6 to 12 s, then cold for 8; 9 proxies; clients of every habit")
    found = {}
    for storms in (False, True):
        day = outage(seed, storms)
        result = play(day)
        lines = measures.lines(day, result)
        level = [good / max(1, asked) for asked, good, *_ in lines]
        repeats = [line[4] / max(1, line[0]) for line in lines]
        found[storms] = measures.of(day, result)["repeats"]
        say(
            f"{'with' if storms else 'without'} storms = on: refused {result.refused}, repeats begun"
            f" {found[storms]:.2f} for each first try"
        )
        say(f"    in time |{bars(level, 1.0)}|")
        say(f"    repeats |{bars(repeats, 1.0)}|")
        if result.fell or result.double_charges or result.late_drains:
            say("BROKEN: a cold node fell, a key was charged twice, or a drain was not kept")
            return 1
    return 0 if found[True] < found[False] else 1
