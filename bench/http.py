"""Answers a second and their times on one core, beside a bare byte relay and earlier checkouts.

    python -m bench.http [--connections 1,16,64,256] [--seconds 3] [--rounds 3] [--sources] [--also PATH]

All ends are our own (bench.peers): four servers that answer at once, callers that ask again as soon as they
are answered, and, as the ceiling, a relay on the same kind of loop that carries bytes and reads none of
them. Proxies share a core and are played one after the other within each round. honeywharf is what
`deploy/build.sh` has installed in `.venv`; `--sources` plays the code as it lies here too, not compiled;
`--also` names another checkout, with an environment of its own in `.venv`. Status 1 where honeywharf
refused anything, as nothing here is crowded, or where an answer was neither 200 nor a refusal.
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

from bench.processes import HERE, backends, checkouts, peer, proxy, registry, started, wait_for
from honeywharf.standins import node
from honeywharf.standins.messages import row


@dataclass(frozen=True)
class Result:
    """One play: answers a second, ms, and parts of all answers."""

    per_s: float
    p50_ms: float
    p99_ms: float
    refused: float
    odd: int


def play(port: int, connections: int, seconds: float, cores: list[str], name: str) -> Result:
    """So many connections from these cores, an even part from each, in a closed loop."""
    parts = [len(range(i, connections, len(cores))) for i in range(len(cores))]
    callers = [
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
    took, refused, odd = array("I"), 0, 0
    for caller in callers:
        said, _ = caller.communicate(timeout=60 + seconds)
        counts, _, times = said.partition(b"\n")
        if caller.returncode or not times:
            raise SystemExit(f"port {port}: a caller's connection broke")
        refused, odd = refused + int(counts.split()[0]), odd + int(counts.split()[1])
        took.frombytes(times)
    ordered = sorted(took)
    return Result(
        len(ordered) / seconds,
        ordered[len(ordered) // 2] / 1000.0,
        ordered[int(len(ordered) * 0.99)] / 1000.0,
        refused / len(ordered),
        odd,
    )


def main() -> int:
    """Play and print."""
    parser = argparse.ArgumentParser(description="answers a second on one core, under closed-loop load")
    parser.add_argument("--connections", default="1,16,64,256")
    parser.add_argument("--seconds", type=float, default=3.0)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--cores", default="0,1,2,3,4", help="of the proxy, two of callers, two of servers")
    parser.add_argument("--sources", action="store_true", help="play the sources too, not compiled")
    parser.add_argument("--also", type=Path, action="append", default=[], help="another checkout")
    args = parser.parse_args()
    core, first, second, *server_cores = args.cores.split(",")
    counts = [int(c) for c in args.connections.split(",")]
    results: dict[tuple[int, str], list[Result]] = {}
    with tempfile.TemporaryDirectory() as folder, contextlib.ExitStack() as stack:
        servers = stack.enter_context(backends(server_cores))
        discovery = stack.enter_context(registry([row(f"n{i}", p, cell=i) for i, p in enumerate(servers)]))
        wheres = checkouts(args.also, args.sources)
        relay, *ports = node.free_ports(1 + len(wheres))
        stack.enter_context(
            started(peer("relay", "--port", str(relay), "--to", ",".join(map(str, servers))), core, cwd=HERE)
        )
        targets = {"relay": relay}
        for (name, where), port in zip(wheres.items(), ports, strict=True):
            stack.enter_context(
                proxy(where, core, port, discovery, servers, Path(folder), sources=name == "sources")
            )
            targets[name] = port
        for port in targets.values():
            wait_for(port)
        time.sleep(0.5)
        for turn in range(args.rounds):
            for count in counts:
                for name, port in targets.items():
                    results.setdefault((count, name), []).append(
                        play(port, count, args.seconds, [first, second], f"{turn}-{count}-")
                    )
    print(f"medians of {args.rounds}, {args.seconds:g} s each; one core for the proxy")
    print(
        f"{'connections':>11}  {'proxy':<16}{'answers/s':>10}{'of relay':>10}{'p50 ms':>9}{'p99 ms':>9}"
        f"{'refused %':>11}  (least to most answers/s)"
    )
    for (count, name), plays in sorted(results.items(), key=lambda item: item[0][0]):
        per_s = [p.per_s for p in plays]
        middle = statistics.median(per_s)
        ceiling = statistics.median(p.per_s for p in results[count, "relay"])
        p50, p99, refused = (
            statistics.median(getattr(p, field) for p in plays) for field in ("p50_ms", "p99_ms", "refused")
        )
        print(
            f"{count:>11}  {name:<16}{middle:>10.0f}{middle / ceiling:>10.2f}{p50:>9.3f}{p99:>9.3f}"
            f"{100 * refused:>11.2f}  ({min(per_s):.0f} to {max(per_s):.0f})"
        )
    own = [p for (_, name), plays in results.items() for p in plays if name == "honeywharf"]
    return 1 if any(p.refused for p in own) or any(p.odd for plays in results.values() for p in plays) else 0


if __name__ == "__main__":
    sys.exit(main())
