"""Cost of the decision module for one request and its answer, beside other checkouts.

    python -m bench.decisions [--number 60000] [--rounds 5] [--also PATH]

Prints us of one core: two classes in turn, 16 servers in two zones, every attempt answered at once. Each
round runs each checkout in its own process and takes the minimum of seven runs; the median over rounds is
printed. Each checkout runs what `deploy/build.sh` has installed in its `.venv`.
"""

from __future__ import annotations

import argparse
import statistics
import subprocess
import sys
from pathlib import Path

from bench.processes import checkouts, command

PLAY = """
import time
import honeywharf
try:
    from honeywharf.policy import interface as api
except ImportError:  # checkouts of before the package
    from honeywharf import interface as api
keyed = dict(effect=api.Effect.KEYED, scope=api.DedupeScope.CELL, window_ms=1500)
classes = (api.RequestClass("read", aim_ms=1000, deadline_ms=2000),
           api.RequestClass("keyed", aim_ms=1000, deadline_ms=2000, **keyed))

def play(number):
    settings = api.Settings(zone="a", zones=2, classes=classes, limits=api.Limits(max_attempts=3))
    balancer, now = honeywharf.Balancer(settings, 7), 1.0
    balancer.handle(0.0, api.Started())
    balancer.handle(0.0, api.EndpointsListed(api.ListKind.FULL, tuple(
        api.Endpoint(f"e{i}", "a" if i < 8 else "b", cell=i %% 4) for i in range(16))))
    begun = time.process_time()
    for i in range(number):
        now += 0.5
        balancer.handle(now, api.RequestArrived(f"r{i}", "read" if i & 1 else "keyed", 2000.0))
        balancer.handle(now + 0.3, api.AttemptEnded(f"r{i}", 0, api.Outcome.OK, 0.3, True))
    return (time.process_time() - begun) / number * 1e6

print(min(play(%d) for _ in range(7)))
"""


def main() -> int:
    """Runs the measurement and prints it."""
    parser = argparse.ArgumentParser(description="cost of a decision")
    parser.add_argument("--number", type=int, default=60_000)
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--also", type=Path, action="append", default=[], help="another checkout")
    args = parser.parse_args()
    times_us_by_name: dict[str, list[float]] = {}
    for _ in range(args.rounds):
        for name, checkout in checkouts(args.also).items():
            python = command(checkout)[:-2]  # The interpreter's part of the command.
            completed = subprocess.run(
                [*python, "-c", PLAY % args.number], cwd="/", capture_output=True, text=True, check=True
            )
            times_us_by_name.setdefault(name, []).append(float(completed.stdout))
    for name, times_us in times_us_by_name.items():
        print(f"{name:<16}{statistics.median(times_us):6.3f} us ({min(times_us):.3f} to {max(times_us):.3f})")
    return 0


if __name__ == "__main__":
    sys.exit(main())
