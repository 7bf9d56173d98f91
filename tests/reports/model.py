"""A zone as a fluid queue, steered by what is reported of it, for the tests and the bench."""

from __future__ import annotations

import random

from honeywharf.reports.room import Room


def loop(delay_ms: float, proxies: int, seed: int = 1, factor: float = 2.0) -> tuple[float, float]:
    """A fluid queue of one zone behind so many proxies, each hearing 20 reports a second of a wait that is so
    old: the mean wait in references over the last half of a minute, and its widest swing there."""
    rng = random.Random(seed)
    rooms = [Room(1.0 / proxies) for _ in range(proxies)]
    waits, wait, reference, seen = [0.0], 0.0, 100.0, []
    for step in range(6000):  # of 10 ms
        now = step * 10.0
        for room in rooms:
            if rng.random() < 0.2:
                old = waits[max(0, len(waits) - 1 - int(delay_ms / 10.0))]
                room.heard(now, old * rng.lognormvariate(0.0, 0.15), reference, 1.0)
        # `factor` times what the zone can do is asked for; what is let in beyond that waits.
        taken = factor * sum(min(1.0, room.own.open) for room in rooms) / proxies
        wait = max(0.0, wait + (taken - 1.0) * 10.0)
        waits.append(wait)
        if step >= 3000:
            seen.append(wait / reference)
    return sum(seen) / len(seen), max(seen) - min(seen)
