"""Order keys with CoAP and HTTP clients, over a network that loses, duplicates and delays datagrams.

    python -m bench.coap_orders [--keys 20000] [--seed N] [--on] [--histories]

One proxy process serves four racks of two nodes on loopback, which fall silent and die. Each key is sent up
to five times, by HTTP or by one of 32 CoAP clients, whose datagrams are lost (30 % each way), duplicated
(10 %) and delayed by up to 0.2 s. Prints, without and with order keys: charged keys, keys charged twice,
final answers by status (408: a client gave up), datagrams, and the violations of the history. The exit status
is 1 if order keys are on and there is one.
"""

from __future__ import annotations

import argparse
import asyncio
import sys
import tempfile
from pathlib import Path

from bench.processes import HERE, command
from honeywharf.standins import coap_scenario
from honeywharf.standins.order_key_scenario import PROCESS_STORE


def main() -> int:
    """Runs the scenario and prints the results."""
    parser = argparse.ArgumentParser(description="order keys by CoAP and HTTP")
    parser.add_argument("--keys", type=int, default=20_000)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--on", action="store_true", help="only with order keys")
    parser.add_argument("--histories", action="store_true", help="print the first key that broke each rule")
    args = parser.parse_args()
    program, broken = tuple(command(HERE)), False
    for name, features in (("off", ""), ("on", PROCESS_STORE))[args.on :]:
        with tempfile.TemporaryDirectory() as folder:
            results = asyncio.run(
                coap_scenario.run_scenario(features, args.keys, args.seed, Path(folder), program)
            )
        histories = results.pop("of these")
        print(f"{name:>4}", *(f"{k}: {v}" for k, v in results.items()), sep="  ", flush=True)
        broken = any(results["faults"].values())
        for rule, key_histories in histories.items() if args.histories else ():
            print(f"      {rule}:", *key_histories, sep="\n        ", flush=True)
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
