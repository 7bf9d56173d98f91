"""Limiters side by side on seeded days in virtual time.

    python -m bench.limiters [--seeds 24] [--kinds fast,jam] [--limiters lateness,formerly] [--jobs 4]

Each limiter plays the same days (kinds x seeds). Printed for each kind and over all: goodput (share answered
within the aim) as mean and spread over seeds, the least goodput, refusals in 100 first tries while 30 in 100
cores were idle, and the 99th percentile of the answers in ms (the mean over days). Status 1 where a rule
broke with the limiter in use.
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

Row = tuple[str, str, float, float, float, int]  # limiter, kind, goodput, refused with room, p99, broken


def one(task: tuple[str, str, int]) -> Row:
    """Play one day."""
    limiter, kind, seed = task
    got = play(replace(days.KINDS[kind](seed), limiter=limiter))
    broken = got.fell + got.double_charges + got.late_drains
    return (
        limiter,
        kind,
        got.good / max(1, got.requests),
        100.0 * got.refused_with_spare_capacity / max(1, got.requests),
        got.quantile(0.99),
        broken,
    )


def main() -> int:
    """Play all and print."""
    parser = argparse.ArgumentParser(description="limiters side by side on seeded days")
    parser.add_argument("--seeds", type=int, default=24)
    parser.add_argument("--kinds", default=",".join(days.KINDS))
    parser.add_argument("--limiters", default=",".join(limits.LIMITERS))
    parser.add_argument("--jobs", type=int, default=4)
    args = parser.parse_args()
    kinds, names = args.kinds.split(","), args.limiters.split(",")
    tasks = [(name, kind, seed) for kind in kinds for seed in range(args.seeds) for name in names]
    with multiprocessing.Pool(args.jobs) as pool:
        rows = pool.map(one, tasks, chunksize=2)
    print(f"{len(kinds) * args.seeds} days for each limiter")
    print(
        f"{'day':<8}{'limiter':<10}{'goodput':>9}{'spread':>8}{'least':>7}{'refused with room %':>21}"
        f"{'p99 ms':>8}{'broken':>8}"
    )
    for kind in (*kinds, "all"):
        for name in names:
            of = [r for r in rows if r[0] == name and kind in (r[1], "all")]
            good = [r[2] for r in of]
            print(
                f"{kind:<8}{name:<10}{statistics.mean(good):>9.3f}{statistics.pstdev(good):>8.3f}"
                f"{min(good):>7.3f}{statistics.mean(r[3] for r in of):>21.2f}"
                f"{statistics.mean(r[4] for r in of):>8.0f}{sum(r[5] for r in of):>8}"
            )
    return 1 if any(r[5] for r in rows if r[0] == limits.DEFAULT) else 0


if __name__ == "__main__":
    sys.exit(main())
