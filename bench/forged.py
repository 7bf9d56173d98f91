"""Trace sampling of requests with forged trace ids, through a running proxy, beside other checkouts.

    python -m bench.forged [--requests 3000] [--rate 0.01] [--also PATH]

Each proxy gets ordinary requests whose trace ids end in fourteen times f and whose tracestate claims the
highest randomness, and as many without a context. Prints how many of each are kept as ordinary, their total
weight, and the number that the rate would keep. Status 1 where this checkout's count of forged ones deviates
by more than five standard deviations.
"""

from __future__ import annotations

import argparse
import http.client
import sys
import tempfile
import time
from pathlib import Path

import orjson

from bench.processes import backends, checkouts, proxy, registry, wait_for
from honeywharf.standins import node
from honeywharf.standins.messages import row

TENANTS = ("forger", "plain")


def send_requests(port: int, requests: int) -> None:
    """Sends requests of both tenants in turn on one connection. SystemExit for a status other than 200."""
    connection = http.client.HTTPConnection("127.0.0.1", port)
    for i in range(requests):
        for tenant in TENANTS:
            trace_headers = (
                {}
                if tenant == "plain"
                else {
                    "traceparent": f"00-{i + 1:018x}{'f' * 14}-b7ad6b7169203331-03",
                    "tracestate": "ot=rv:ffffffffffffff",
                }
            )
            connection.request(
                "GET",
                "/api/x",
                headers={
                    "X-Correlation-Id": f"{tenant}-{i}",
                    "X-Service-Class": "read",
                    "X-Account": tenant,
                    "X-Time-Left": "4000m",
                    **trace_headers,
                },
            )
            response = connection.getresponse()
            response.read()
            if response.status != 200:
                raise SystemExit(f"status: expected 200, got {response.status}")
    connection.close()


def main() -> int:
    """Runs the measurement and prints it."""
    parser = argparse.ArgumentParser(description="forged trace-ids and what is kept of them")
    parser.add_argument("--requests", type=int, default=3000)
    parser.add_argument("--rate", type=float, default=0.01)
    parser.add_argument("--also", type=Path, action="append", default=[], help="another checkout")
    args = parser.parse_args()
    expected, is_unbiased = args.requests * args.rate, True
    print(f"{args.requests} requests of each kind, of which chance keeps {expected:.0f} at {args.rate:g}")
    with tempfile.TemporaryDirectory() as folder, backends(["1"]) as servers:
        rows = [row(f"n{i}", p, cell=i) for i, p in enumerate(servers)]
        for name, checkout in checkouts(args.also).items():
            (port,), file = node.free_ports(1), Path(folder) / f"{name}.jsonl"
            features = f'[traces]\nfile = "{file}"\nrate = {args.rate}\n'
            with (
                registry(rows) as discovery,
                proxy(checkout, "0", port, discovery, servers, Path(folder), features=features),
            ):
                wait_for(port)
                time.sleep(0.3)
                send_requests(port, args.requests)
                time.sleep(1.0)
            hops = [orjson.loads(line) for line in file.read_bytes().splitlines()]
            for tenant in TENANTS:
                kept_hops = [hop for hop in hops if hop["tenant"] == tenant and hop["kept"] == ["ordinary"]]
                print(
                    f"{name:<16} {tenant:<7} kept {len(kept_hops):>5} as ordinary, standing for"
                    f" {sum(hop['weight'] for hop in kept_hops):>8.0f}"
                )
                if name == "honeywharf" and abs(len(kept_hops) - expected) > 5.0 * expected**0.5:
                    is_unbiased = False
    return 0 if is_unbiased else 1


if __name__ == "__main__":
    sys.exit(main())
