"""False alarms of the storm rules, and their cost for each request.

    python -m bench.storms [--experiment bench/experiments/quiet.toml]

Runs the days of the experiment (200: 0.2 to 0.6 of capacity, and floods of first attempts up to 0.75) and
counts changes to the state of a storm; status 1 where there was one. Then prints the us of one core for a
first attempt and for a refused repeat, and the bytes of the sketches. The effect of the rules is shown by
`honeywharf lab run bench/experiments/storms.toml`.
"""

from __future__ import annotations

import argparse
import random
import sys
import time
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from honeywharf.lab import runs
from honeywharf.lab.experiments import load
from honeywharf.storms import Rules, Storms

QUIET = Path(__file__).parent / "experiments" / "quiet.toml"


def cost(number: int = 200_000) -> tuple[float, float, int]:
    """Returns us for a first attempt and for a refused repeat, and the bytes of the sketches."""
    storms, now = Storms(Rules(), random.Random(1), b"secret"), 1e6
    names = [b"name %d" % i for i in range(number)]
    started_at = time.process_time()
    for name in names:
        now += 1.0
        storms.arrived(now, name, "t", False)
    first_us = (time.process_time() - started_at) / number * 1e6
    started_at = time.process_time()
    for name in names[-4000:] * 10:
        now += 0.01
        arrival, code, _ = storms.arrived(now, name, "t", True)
        storms.admits(now, "t", arrival)
        storms.refused(now, code, arrival, True)
    return first_us, (time.process_time() - started_at) / 40_000 * 1e6, storms.size_bytes


def main() -> int:
    """Runs the days and prints the results."""
    parser = argparse.ArgumentParser(description="false alarms and the cost of the rules of storms")
    parser.add_argument("--experiment", type=Path, default=QUIET)
    args = parser.parse_args()
    _, cells = load(args.experiment)
    with ProcessPoolExecutor() as pool:
        alarms = sum(result["figures"]["alarms"] for _, result in pool.map(runs.play, cells))
    print(f"false alarms on {len(cells)} days without trouble: {alarms:.0f}")
    first, repeat, size = cost()
    print(f"{first:.1f} us for a first try, {repeat:.1f} for a refused repeat; sketches of {size} bytes")
    return int(alarms > 0)


if __name__ == "__main__":
    sys.exit(main())
