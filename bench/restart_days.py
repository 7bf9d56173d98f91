"""Plays simulated days with faults round restarts of sidecars, and prints those that break a rule.

    PYTHONHASHSEED=0 python -m bench.restart_days --kind late_cold_time --how evacuation --seeds 1-6
    PYTHONHASHSEED=0 python -m bench.restart_days --more 2 --seeds 8012-8051

With `--kind` a day has that fault alone, `--how` names its variant. With `--more` it has the faults that the
seed draws, and as many of `RESTART_KINDS` besides, which may meet. Exit status 1 if a rule was broken.
"""

from __future__ import annotations

import argparse
import random
import sys
from concurrent.futures import ProcessPoolExecutor
from functools import partial

from honeywharf.simulation.fault_schedule import Fault
from honeywharf.simulation.rare_faults import draw_any_faults
from honeywharf.simulation.restart_faults import RESTART_KINDS
from honeywharf.simulation.run import Report, run

FAULT_AT_S, AFTER_S = 10.0, 12.0  # The time of a single fault, and the traffic after the period of faults.
BEGIN_S, END_S, LAST_S = 10.0, 20.0, 16.0  # The period of drawn faults, and the latest one that is added.


def play_fault(kind: str, how: str, seed: int) -> Report:
    """Plays a day with one fault."""
    return run(seed, [Fault(FAULT_AT_S, kind, how, seed)], after=AFTER_S)


def play_drawn(more: int, seed: int) -> Report:
    """Plays the drawn faults of a seed, and `more` of `RESTART_KINDS`."""
    rng = random.Random(f"soak {seed}")
    faults = draw_any_faults(seed, BEGIN_S, END_S)
    for _ in range(more):
        kind = rng.choice(list(RESTART_KINDS))
        at = rng.uniform(BEGIN_S, LAST_S)
        faults.append(Fault(at, kind, rng.choice(RESTART_KINDS[kind]), rng.getrandbits(32)))
    return run(seed, faults)


def line_of(report: Report) -> str:
    """Returns the line of a day that broke a rule; empty for one that broke none."""
    return f"{report.seed}: {report.faults}: {report.broken[0]}" if report.broken else ""


def play(arguments: argparse.Namespace, seed: int) -> str:
    """Plays one day in a process of its own."""
    if arguments.kind:
        return line_of(play_fault(arguments.kind, arguments.how, seed))
    return line_of(play_drawn(arguments.more, seed))


def main() -> int:
    """Plays the days; returns the exit status."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0] if __doc__ else None)
    parser.add_argument("--kind", choices=list(RESTART_KINDS))
    parser.add_argument("--how", default="")
    parser.add_argument("--more", type=int, default=1)
    parser.add_argument("--seeds", default="1-6", help="FIRST-LAST")
    parser.add_argument("--jobs", type=int, default=2)
    arguments = parser.parse_args()
    first, _, last = arguments.seeds.partition("-")
    seeds = range(int(first), int(last or first) + 1)
    with ProcessPoolExecutor(arguments.jobs) as pool:
        broken = [line for line in pool.map(partial(play, arguments), seeds) if line]
    print("\n".join([*broken, f"{len(seeds)} days, {len(broken)} with a rule broken"]))
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
