"""Leases under faults: seeded runs in which no two machines may hold one lease at the same time.

    python -m bench.lease [--seeds 40] [--seconds 60] [--mutants]

Five machines with clocks that run 1 % fast or slow, three of them in a membership that changes every 3 to 8
s; one freezes, is partitioned, restarts or has its clock set every 0.1 to 0.9 s (tests/lease/cluster.py).
Prints the runs with two lease holders, the number of leases, and the median and maximum of the seconds
between two grants. With `--mutants`, prints for each wrong lease the number of seeds until it is detected.
Status 1 where there was such a run.
"""

from __future__ import annotations

import argparse
import statistics
import sys

from tests.lease.cluster import Cluster
from tests.lease.test_seeded_runs import MUTANTS


def main() -> int:
    """Runs the seeds and prints the results."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=40)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--mutants", action="store_true")
    args = parser.parse_args()
    runs = [Cluster(seed).run(args.seconds) for seed in range(1, args.seeds + 1)]
    gaps = [
        later[0] - earlier[0]
        for cluster in runs
        for earlier, later in zip(cluster.granted, cluster.granted[1:], strict=False)
    ]
    runs_with_two_holders = sum(bool(cluster.violations) for cluster in runs)
    print(
        f"{args.seeds} runs of {args.seconds:.0f} s: two held it in {runs_with_two_holders}; "
        f"{sum(len(cluster.granted) for cluster in runs)} leases, between two grants "
        f"{statistics.median(gaps):.2f} s (median), {max(gaps):.2f} s (most)"
    )
    if args.mutants:
        for name, (owner, attribute, replacement) in MUTANTS.items():
            original = getattr(owner, attribute)
            setattr(owner, attribute, replacement)
            seeds = range(1, args.seeds + 1)
            detecting_seed = next((seed for seed in seeds if Cluster(seed).run(args.seconds).violations), 0)
            setattr(owner, attribute, original)
            print(f"{name:44} {detecting_seed or 'not found'}", flush=True)
    return 1 if runs_with_two_holders else 0


if __name__ == "__main__":
    sys.exit(main())
