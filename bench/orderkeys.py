"""Duplicate orders with and without order keys at the edge.

    python -m bench.orderkeys [--keys 20000] [--proxies 5] [--seed N] [--store redis]

Proxy processes serve four racks of two nodes on loopback. Each key is sent up to five times to any proxy,
some with too little remaining time, while nodes fall silent and die, proxies are killed and restarted, and a
shared Redis pauses for up to 3 s. A rack drops a repeat that it knows; another rack charges it. Prints,
without and with the feature: charged keys, keys charged twice, final answers by status (0: the proxy died),
and the violations of the history by rule. The exit status is 1 if the feature is
on and there is one.
"""

from __future__ import annotations

import argparse
import asyncio
import sys
import tempfile
from pathlib import Path

from bench.processes import HERE, command
from honeywharf.standins import order_key_scenario
from honeywharf.standins.redis import Redis


def main() -> int:
    """Runs the scenario and prints the results."""
    parser = argparse.ArgumentParser(description="order keys at the edge")
    parser.add_argument("--keys", type=int, default=20_000)
    parser.add_argument("--proxies", type=int, default=5)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--store", choices=("redis", "process"), default="redis")
    args = parser.parse_args()
    program = tuple(command(HERE))
    feature = (
        (order_key_scenario.REDIS_STORE, Redis())
        if args.store == "redis"
        else (order_key_scenario.PROCESS_STORE, None)
    )
    broken = False
    for name, (features, redis) in {"off": ("", None), args.store: feature}.items():
        with tempfile.TemporaryDirectory() as folder:
            results = asyncio.run(
                order_key_scenario.run_scenario(
                    features, redis, args.keys, args.seed, Path(folder), args.proxies, program
                )
            )
        histories = results.pop("of these")
        print(f"{name:>7}", *(f"{k}: {v}" for k, v in results.items()), sep="  ", flush=True)
        broken = any(results["faults"].values())
        if broken and features:
            print(
                *(f"        {rule}: {key_histories}" for rule, key_histories in histories.items()),
                sep="\n",
                flush=True,
            )
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
