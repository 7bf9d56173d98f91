"""Models a zone as a fluid queue under load control by reports, for the tests and the bench."""

from __future__ import annotations

import random

from honeywharf.reports.zone_load import ZoneLoad


def loop(delay_ms: float, proxies: int, seed: int = 1, factor: float = 2.0) -> tuple[float, float]:
    """Runs a zone's queue for a minute behind `proxies`, each with 20 reports per second of age `delay_ms`.

    Returns the mean wait and its range over the last half minute, in references.
    """
    rng = random.Random(seed)
    zone_loads = [ZoneLoad(1.0 / proxies) for _ in range(proxies)]
    waits, wait, reference, seen = [0.0], 0.0, 100.0, []
    for step in range(6000):  # steps of 10 ms
        now = step * 10.0
        for zone_load in zone_loads:
            if rng.random() < 0.2:
                old = waits[max(0, len(waits) - 1 - int(delay_ms / 10.0))]
                zone_load.record_report(now, old * rng.lognormvariate(0.0, 0.15), reference, 1.0)
        # The demand is `factor` times the capacity; calls admitted beyond the capacity wait.
        taken = factor * sum(min(1.0, zone_load.own.value) for zone_load in zone_loads) / proxies
        wait = max(0.0, wait + (taken - 1.0) * 10.0)
        waits.append(wait)
        if step >= 3000:
            seen.append(wait / reference)
    return sum(seen) / len(seen), max(seen) - min(seen)
