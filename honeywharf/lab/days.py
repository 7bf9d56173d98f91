"""The seeded days on which limiters are compared: each kind of trouble that admission must live with."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import replace

from honeywharf.lab.model import NodeSpec
from honeywharf.lab.simulator import Day, Fault, capacity

#: As tile nodes: jam at more than 4.5 calls for each core over 2 s, and are cold for 8 s.
TILE = NodeSpec(cores=2, queue=12, cold_share=0.25, warm_ms=8000.0, jam_at=4.5)
STEADY = NodeSpec(cores=2, queue=64, warm_ms=0.0)
THREE = {"a": 5, "b": 5, "c": 5}


def load(day: Day, part: float | Callable[[float], float], shares: dict[str, float] | None = None) -> Day:
    """The day with arrivals of so much of its capacity, by zone as its nodes or as `shares` say."""
    able = capacity(day)
    weights = shares or {z: n / sum(day.nodes.values()) for z, n in day.nodes.items()}
    wave = part if callable(part) else lambda now_ms, part=part: part
    return replace(day, rate_per_s=lambda zone, now_ms: able * weights[zone] * wave(now_ms))


def none(zone: str, now_ms: float) -> float:
    """No arrivals: replaced by `load`."""
    return 0.0


def fast(seed: int) -> Day:
    """Answers in 2 ms, a third of capacity in use: nothing may be refused."""
    day = Day("fast", seed, 2.0, {"a": 1, "b": 1, "c": 1}, none, length_ms=4000.0, spec=STEADY)
    return load(replace(day, work_ms=2.0), 0.3)


def slow(seed: int) -> Day:
    """Answers in 1000 ms of the 2000 wanted, 0.6 of capacity in use."""
    spec = replace(STEADY, cores=16)
    return load(Day("slow", seed, 900.0, THREE, none, length_ms=40000.0, spec=spec, spread=0.1), 0.6)


def over(seed: int) -> Day:
    """Twice what the fleet can do."""
    return load(Day("over", seed, 100.0, THREE, none, spec=STEADY, retries=1), 2.0)


def twice(seed: int, work_ms: float, cores: int, length_ms: float, limiter: str) -> Day:
    """Four servers of so many cores, and twice what they can do."""
    spec = NodeSpec(cores=cores, queue=8192, warm_ms=0.0)
    day = Day(
        "twice",
        seed,
        work_ms,
        {"z": 4},
        none,
        length_ms=length_ms,
        spec=spec,
        proxies=1,
        spread=0.1,
        limiter=limiter,
    )
    return load(day, 2.0)


def speeds(seed: int) -> Day:
    """All nodes turn ten times slower at once, and ten times faster again."""
    draw = random.Random(seed)
    turn = 5000.0 + 2000.0 * draw.random()
    day = Day(
        "speeds",
        seed,
        20.0,
        {"a": 2, "b": 2, "c": 2},
        none,
        spec=STEADY,
        faults=(
            Fault(turn, "slow", part=1.0, factor=10.0),
            Fault(turn + 6000.0, "slow", part=1.0, factor=0.1),
        ),
    )
    return load(day, 0.25)


def growth(seed: int) -> Day:
    """A wave comes while a third of the nodes are cold."""
    day = Day(
        "growth",
        seed,
        100.0,
        THREE,
        none,
        spec=TILE,
        retries=1,
        faults=(Fault(1000.0, "crash", part=0.33, for_ms=1500.0),),
    )
    return load(day, lambda now: 0.3 + 0.5 * min(1.0, now / 8000.0))


def jam(seed: int) -> Day:
    """Jamming nodes at the edge of what they can do, and a burst over it."""
    day = Day("jam", seed, 100.0, THREE, none, spec=TILE, retries=2, length_ms=30000.0)
    return load(day, lambda now: 1.5 if 6000.0 <= now < 9000.0 else 0.75)


def crowd(seed: int) -> Day:
    """One zone has most of the traffic, and room is in the others."""
    day = Day("crowd", seed, 100.0, THREE, none, spec=TILE, retries=1)
    return load(day, 0.7, {"a": 0.66, "b": 0.2, "c": 0.14})


def delays(seed: int) -> Day:
    """Answers come late for all, by more than the work takes, with capacity to spare."""
    return load(Day("delays", seed, 60.0, THREE, none, spec=TILE, answer_delay_ms=120.0), 0.6)


def outage(seed: int) -> Day:
    """15 % of the nodes die at once and come back cold, and refused clients return."""
    draw = random.Random(seed)
    day = Day(
        "outage",
        seed,
        100.0,
        {"a": 7, "b": 7, "c": 6},
        none,
        spec=TILE,
        retries=2,
        length_ms=30000.0,
        faults=(Fault(8000.0 + 1000.0 * draw.random(), "crash", part=0.15, for_ms=6000.0),),
    )
    return load(day, 0.75)


KINDS: dict[str, Callable[[int], Day]] = {
    f.__name__: f for f in (fast, slow, over, speeds, growth, jam, crowd, delays, outage)
}
