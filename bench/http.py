"""HTTP requests per second and latencies on one core, beside a byte relay and other checkouts.

    python -m bench.http [--connections 1,16,64,256] [--seconds 3] [--rounds 3] [--sources] [--also PATH]

Clients and servers are those of bench.peers: four servers that answer at once, clients in a closed loop, and
a byte relay as the upper bound. The proxies share a core and run one after the other within each round.
honeywharf is what `deploy/build.sh` has installed in `.venv`; `--sources` also runs the sources, and `--also`
another checkout with its own `.venv`. Status 1 where honeywharf refused a request or any answer was neither
200 nor a refusal.
"""

from __future__ import annotations

import argparse
import contextlib
import statistics
import subprocess
import sys
import tempfile
import time
from array import array
from dataclasses import dataclass
from pathlib import Path

from bench.processes import HERE, backends, checkouts, peer, proxy, registry, running_process, wait_for
from honeywharf.standins import node
from honeywharf.standins.messages import row


@dataclass(frozen=True)
class Result:
    """One run: answers per second, latencies, the share of refused answers, the count of unexpected ones."""

    per_s: float
    p50_ms: float
    p99_ms: float
    refused: float
    unexpected: int


def run_load(port: int, connections: int, seconds: float, cores: list[str], name: str) -> Result:
    """Runs a closed loop of connections, spread evenly over these cores."""
    parts = [len(range(i, connections, len(cores))) for i in range(len(cores))]
    processes = [
        subprocess.Popen(
            [
                "taskset",
                "-c",
                core,
                *peer(
                    "load",
                    "--port",
                    str(port),
                    "--connections",
                    str(part),
                    "--seconds",
                    str(seconds),
                    "--name",
                    f"{name}{i}",
                ),
            ],
            stdout=subprocess.PIPE,
            cwd=HERE,
        )
        for i, (core, part) in enumerate(zip(cores, parts, strict=True))
        if part
    ]
    durations_us, refused, unexpected = array("I"), 0, 0
    for process in processes:
        output, _ = process.communicate(timeout=60 + seconds)
        counts, _, durations = output.partition(b"\n")
        if process.returncode or not durations:
            raise SystemExit(f"port {port}: a client's connection broke")
        refused, unexpected = refused + int(counts.split()[0]), unexpected + int(counts.split()[1])
        durations_us.frombytes(durations)
    ordered = sorted(durations_us)
    return Result(
        len(ordered) / seconds,
        ordered[len(ordered) // 2] / 1000.0,
        ordered[int(len(ordered) * 0.99)] / 1000.0,
        refused / len(ordered),
        unexpected,
    )


def main() -> int:
    """Runs the measurements and prints them."""
    parser = argparse.ArgumentParser(description="answers a second on one core, under closed-loop load")
    parser.add_argument("--connections", default="1,16,64,256")
    parser.add_argument("--seconds", type=float, default=3.0)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument(
        "--cores", default="0,1,2,3,4", help="one for the proxy, two for clients, two for servers"
    )
    parser.add_argument("--sources", action="store_true", help="also run the sources, not compiled")
    parser.add_argument("--also", type=Path, action="append", default=[], help="another checkout")
    args = parser.parse_args()
    core, first, second, *server_cores = args.cores.split(",")
    counts = [int(c) for c in args.connections.split(",")]
    results: dict[tuple[int, str], list[Result]] = {}
    with tempfile.TemporaryDirectory() as folder, contextlib.ExitStack() as stack:
        servers = stack.enter_context(backends(server_cores))
        discovery = stack.enter_context(
            registry([row(f"n{i}", result, cell=i) for i, result in enumerate(servers)])
        )
        checkout_paths = checkouts(args.also, args.sources)
        relay, *ports = node.free_ports(1 + len(checkout_paths))
        stack.enter_context(
            running_process(
                peer("relay", "--port", str(relay), "--to", ",".join(map(str, servers))), core, cwd=HERE
            )
        )
        targets = {"relay": relay}
        for (name, checkout), port in zip(checkout_paths.items(), ports, strict=True):
            stack.enter_context(
                proxy(checkout, core, port, discovery, servers, Path(folder), sources=name == "sources")
            )
            targets[name] = port
        for port in targets.values():
            wait_for(port)
        time.sleep(0.5)
        for round_number in range(args.rounds):
            for count in counts:
                for name, port in targets.items():
                    results.setdefault((count, name), []).append(
                        run_load(port, count, args.seconds, [first, second], f"{round_number}-{count}-")
                    )
    print(f"medians of {args.rounds}, {args.seconds:g} s each; one core for the proxy")
    print(
        f"{'connections':>11}  {'proxy':<16}{'answers/s':>10}{'of relay':>10}{'p50 ms':>9}{'p99 ms':>9}"
        f"{'refused %':>11}  (least to most answers/s)"
    )
    for (count, name), results_of_proxy in sorted(results.items(), key=lambda item: item[0][0]):
        per_s = [result.per_s for result in results_of_proxy]
        middle = statistics.median(per_s)
        ceiling = statistics.median(result.per_s for result in results[count, "relay"])
        p50, p99, refused = (
            statistics.median(getattr(result, field) for result in results_of_proxy)
            for field in ("p50_ms", "p99_ms", "refused")
        )
        print(
            f"{count:>11}  {name:<16}{middle:>10.0f}{middle / ceiling:>10.2f}{p50:>9.3f}{p99:>9.3f}"
            f"{100 * refused:>11.2f}  ({min(per_s):.0f} to {max(per_s):.0f})"
        )
    own_results = [
        result
        for (_, name), results_of_proxy in results.items()
        for result in results_of_proxy
        if name == "honeywharf"
    ]
    return (
        1
        if any(result.refused for result in own_results)
        or any(result.unexpected for results_of_proxy in results.values() for result in results_of_proxy)
        else 0
    )


if __name__ == "__main__":
    sys.exit(main())
