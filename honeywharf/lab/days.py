"""The seeded days on which limiters are compared, one kind for each difficulty of admission control."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import replace

from honeywharf.lab.model import NodeSpec
from honeywharf.lab.simulator import Day, Fault, capacity

#: A tile node: more than 4.5 calls in flight for each core over 2 s jam it, and it is cold for 8 s.
TILE = NodeSpec(cores=2, queue=12, cold_share=0.25, warm_ms=8000.0, jam_at=4.5)
STEADY = NodeSpec(cores=2, queue=64, warm_ms=0.0)
THREE_ZONES = {"a": 5, "b": 5, "c": 5}


def load(day: Day, part: float | Callable[[float], float], shares: dict[str, float] | None = None) -> Day:
    """Returns the day with a load in parts of its capacity, divided by `shares` or by the zones' nodes."""
    calls_per_s = capacity(day)
    weights = shares or {z: n / sum(day.nodes.values()) for z, n in day.nodes.items()}
    load_at = part if callable(part) else lambda now_ms, part=part: part
    return replace(day, rate_per_s=lambda zone, now_ms: calls_per_s * weights[zone] * load_at(now_ms))


def no_arrivals(zone: str, now_ms: float) -> float:
    """Returns a rate of no arrivals, which `load` replaces."""
    return 0.0


def fast(seed: int) -> Day:
    """Returns a day of answers in 2 ms at a third of capacity: nothing may be refused."""
    day = Day("fast", seed, 2.0, {"a": 1, "b": 1, "c": 1}, no_arrivals, length_ms=4000.0, spec=STEADY)
    return load(replace(day, work_ms=2.0), 0.3)


def slow(seed: int) -> Day:
    """Returns a day of answers in 1000 ms, for a latency target of 2000 ms, at 0.6 of capacity."""
    spec = replace(STEADY, cores=16)
    return load(
        Day("slow", seed, 900.0, THREE_ZONES, no_arrivals, length_ms=40000.0, spec=spec, spread=0.1), 0.6
    )


def over(seed: int) -> Day:
    """Returns a day at twice the capacity."""
    return load(Day("over", seed, 100.0, THREE_ZONES, no_arrivals, spec=STEADY, retries=1), 2.0)


def twice(seed: int, work_ms: float, cores: int, length_ms: float, limiter: str) -> Day:
    """Returns a day of four servers at twice their capacity."""
    spec = NodeSpec(cores=cores, queue=8192, warm_ms=0.0)
    day = Day(
        "twice",
        seed,
        work_ms,
        {"z": 4},
        no_arrivals,
        length_ms=length_ms,
        spec=spec,
        proxies=1,
        spread=0.1,
        limiter=limiter,
    )
    return load(day, 2.0)


def speeds(seed: int) -> Day:
    """Returns a day on which all nodes become ten times slower at once, and ten times faster again."""
    rng = random.Random(seed)
    slow_at_ms = 5000.0 + 2000.0 * rng.random()
    day = Day(
        "speeds",
        seed,
        20.0,
        {"a": 2, "b": 2, "c": 2},
        no_arrivals,
        spec=STEADY,
        faults=(
            Fault(slow_at_ms, "slow", part=1.0, factor=10.0),
            Fault(slow_at_ms + 6000.0, "slow", part=1.0, factor=0.1),
        ),
    )
    return load(day, 0.25)


def growth(seed: int) -> Day:
    """Returns a day on which the load rises while a third of the nodes are cold."""
    day = Day(
        "growth",
        seed,
        100.0,
        THREE_ZONES,
        no_arrivals,
        spec=TILE,
        retries=1,
        faults=(Fault(1000.0, "crash", part=0.33, for_ms=1500.0),),
    )
    return load(day, lambda now: 0.3 + 0.5 * min(1.0, now / 8000.0))


def jam(seed: int) -> Day:
    """Returns a day of nodes that may jam, near their capacity, with a burst beyond it."""
    day = Day("jam", seed, 100.0, THREE_ZONES, no_arrivals, spec=TILE, retries=2, length_ms=30000.0)
    return load(day, lambda now: 1.5 if 6000.0 <= now < 9000.0 else 0.75)


def crowd(seed: int) -> Day:
    """Returns a day on which one zone has most of the load, and the others have spare capacity."""
    day = Day("crowd", seed, 100.0, THREE_ZONES, no_arrivals, spec=TILE, retries=1)
    return load(day, 0.7, {"a": 0.66, "b": 0.2, "c": 0.14})


def delays(seed: int) -> Day:
    """Returns a day on which all answers are delayed by more than their work takes, with spare capacity."""
    return load(Day("delays", seed, 60.0, THREE_ZONES, no_arrivals, spec=TILE, answer_delay_ms=120.0), 0.6)


def outage(seed: int) -> Day:
    """Returns a day on which 15 % of the nodes stop at once and return cold, while refused clients retry."""
    rng = random.Random(seed)
    day = Day(
        "outage",
        seed,
        100.0,
        {"a": 7, "b": 7, "c": 6},
        no_arrivals,
        spec=TILE,
        retries=2,
        length_ms=30000.0,
        faults=(Fault(8000.0 + 1000.0 * rng.random(), "crash", part=0.15, for_ms=6000.0),),
    )
    return load(day, 0.75)


KINDS: dict[str, Callable[[int], Day]] = {
    f.__name__: f for f in (fast, slow, over, speeds, growth, jam, crowd, delays, outage)
}
