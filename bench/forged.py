"""What a client that makes up trace-ids has kept, through a running proxy, beside earlier checkouts.

    python -m bench.forged [--requests 3000] [--rate 0.01] [--also PATH]

Each proxy gets so many ordinary requests whose trace-ids end in fourteen times f and whose tracestate claims
the highest randomness, and as many with no context. Printed: what is kept of each as ordinary, for how many
it stands, and what the rate would keep. Status 1 where this checkout keeps a part of the forged that chance
(five standard deviations) does not explain.
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


def ask(port: int, requests: int) -> None:
    """Requests of both tenants in turn, on one connection."""
    line = http.client.HTTPConnection("127.0.0.1", port)
    for i in range(requests):
        for tenant in TENANTS:
            more = (
                {}
                if tenant == "plain"
                else {
                    "traceparent": f"00-{i + 1:018x}{'f' * 14}-b7ad6b7169203331-03",
                    "tracestate": "ot=rv:ffffffffffffff",
                }
            )
            line.request(
                "GET",
                "/api/x",
                headers={
                    "X-Correlation-Id": f"{tenant}-{i}",
                    "X-Service-Class": "read",
                    "X-Account": tenant,
                    "X-Time-Left": "4000m",
                    **more,
                },
            )
            answer = line.getresponse()
            answer.read()
            if answer.status != 200:
                raise SystemExit(f"found status {answer.status}, wanted 200: nothing here is crowded")
    line.close()


def main() -> int:
    """Play and print."""
    parser = argparse.ArgumentParser(description="forged trace-ids and what is kept of them")
    parser.add_argument("--requests", type=int, default=3000)
    parser.add_argument("--rate", type=float, default=0.01)
    parser.add_argument("--also", type=Path, action="append", default=[], help="another checkout")
    args = parser.parse_args()
    wanted, held = args.requests * args.rate, True
    print(f"{args.requests} requests of each kind, of which chance keeps {wanted:.0f} at {args.rate:g}")
    with tempfile.TemporaryDirectory() as folder, backends(["1"]) as servers:
        rows = [row(f"n{i}", p, cell=i) for i, p in enumerate(servers)]
        for name, where in checkouts(args.also).items():
            (port,), file = node.free_ports(1), Path(folder) / f"{name}.jsonl"
            features = f'[traces]\nfile = "{file}"\nrate = {args.rate}\n'
            with (
                registry(rows) as discovery,
                proxy(where, "0", port, discovery, servers, Path(folder), features=features),
            ):
                wait_for(port)
                time.sleep(0.3)
                ask(port, args.requests)
                time.sleep(1.0)
            hops = [orjson.loads(line) for line in file.read_bytes().splitlines()]
            for tenant in TENANTS:
                kept = [h for h in hops if h["tenant"] == tenant and h["kept"] == ["ordinary"]]
                print(
                    f"{name:<16} {tenant:<7} kept {len(kept):>5} as ordinary, standing for"
                    f" {sum(h['weight'] for h in kept):>8.0f}"
                )
                if name == "honeywharf" and abs(len(kept) - wanted) > 5.0 * wanted**0.5:
                    held = False
    return 0 if held else 1


if __name__ == "__main__":
    sys.exit(main())
