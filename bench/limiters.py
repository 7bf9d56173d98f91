"""Comparison of limiters on seeded days in virtual time.

    python -m bench.limiters [--seeds 24] [--kinds fast,jam] [--limiters lateness,NAME] [--jobs 4]

Each limiter runs the same days (kinds x seeds). Prints for each kind and over all: goodput (share answered
within the latency target) as mean, spread over seeds and minimum; refusals per 100 first attempts while 30 of
100 cores were idle; and the 99th percentile of the latency in ms (mean over days). The exit status is
1 if a rule was broken with the default limiter.
"""

from __future__ import annotations

import argparse
import multiprocessing
import statistics
import sys
from dataclasses import replace

from honeywharf import limits
from honeywharf.lab import days
from honeywharf.lab.simulator import play

#: Limiter, kind, goodput, refusals with idle cores, p99 in ms, and broken rules.
Row = tuple[str, str, float, float, float, int]


def run_day(task: tuple[str, str, int]) -> Row:
    """Runs one day."""
    limiter, kind, seed = task
    result = play(replace(days.KINDS[kind](seed), limiter=limiter))
    broken = result.fell + result.double_charges + result.late_drains
    return (
        limiter,
        kind,
        result.good / max(1, result.requests),
        100.0 * result.refused_with_spare_capacity / max(1, result.requests),
        result.quantile(0.99),
        broken,
    )


def main() -> int:
    """Runs all days and prints the results."""
    parser = argparse.ArgumentParser(description="comparison of limiters on seeded days")
    parser.add_argument("--seeds", type=int, default=24)
    parser.add_argument("--kinds", default=",".join(days.KINDS))
    parser.add_argument("--limiters", default=",".join(limits.LIMITERS))
    parser.add_argument("--jobs", type=int, default=4)
    args = parser.parse_args()
    kinds, names = args.kinds.split(","), args.limiters.split(",")
    tasks = [(name, kind, seed) for kind in kinds for seed in range(args.seeds) for name in names]
    with multiprocessing.Pool(args.jobs) as pool:
        rows = pool.map(run_day, tasks, chunksize=2)
    print(f"{len(kinds) * args.seeds} days for each limiter")
    print(
        f"{'day':<8}{'limiter':<10}{'goodput':>9}{'spread':>8}{'least':>7}{'refused with room %':>21}"
        f"{'p99 ms':>8}{'broken':>8}"
    )
    for kind in (*kinds, "all"):
        for name in names:
            selected = [row for row in rows if row[0] == name and kind in (row[1], "all")]
            goodputs = [row[2] for row in selected]
            print(
                f"{kind:<8}{name:<10}{statistics.mean(goodputs):>9.3f}{statistics.pstdev(goodputs):>8.3f}"
                f"{min(goodputs):>7.3f}{statistics.mean(row[3] for row in selected):>21.2f}"
                f"{statistics.mean(row[4] for row in selected):>8.0f}{sum(row[5] for row in selected):>8}"
            )
    return 1 if any(row[5] for row in rows if row[0] == limits.DEFAULT) else 0


if __name__ == "__main__":
    sys.exit(main())
