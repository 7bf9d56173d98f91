"""Leases under trouble: runs by seed in which nobody may hold a role beside another; how long it is idle.

    python -m bench.lease [--seeds 40] [--seconds 60] [--mutants]

Five machines with clocks that run 1 % fast or slow, three of them in a membership that changes every 3 to 8
s; one stands still, is cut off, starts anew or has its clock set every 0.1 to 0.9 s
(tests/lease/cluster.py). Printed: runs in which two held the role, leases granted, median and most seconds
between two grants. With `--mutants`, for each wrong lease the seeds that were needed to find it out. Status
1 where two held it.
"""

from __future__ import annotations

import argparse
import statistics
import sys

from tests.lease.cluster import Cluster
from tests.lease.test_seeded_runs import MUTANTS


def main() -> int:
    """Play and print."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=40)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--mutants", action="store_true")
    args = parser.parse_args()
    runs = [Cluster(seed).run(args.seconds) for seed in range(1, args.seeds + 1)]
    gaps = [
        late[0] - early[0]
        for cluster in runs
        for early, late in zip(cluster.granted, cluster.granted[1:], strict=False)
    ]
    two = sum(bool(cluster.violations) for cluster in runs)
    print(
        f"{args.seeds} runs of {args.seconds:.0f} s: two held it in {two}; "
        f"{sum(len(cluster.granted) for cluster in runs)} leases, between two grants "
        f"{statistics.median(gaps):.2f} s (median), {max(gaps):.2f} s (most)"
    )
    if args.mutants:
        for name, (where, what, wrong) in MUTANTS.items():
            right = getattr(where, what)
            setattr(where, what, wrong)
            seeds = range(1, args.seeds + 1)
            needed = next((seed for seed in seeds if Cluster(seed).run(args.seconds).violations), 0)
            setattr(where, what, right)
            print(f"{name:44} {needed or 'not found'}", flush=True)
    return 1 if two else 0


if __name__ == "__main__":
    sys.exit(main())
