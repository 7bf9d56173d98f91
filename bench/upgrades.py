"""Repeated upgrades of the proxy process under load, with the outcomes of the clients' requests.

    python -m bench.upgrades [--upgrades 100] [--per-s 2000] [--connections 64] [--no-handover]

One proxy serves four backends that answer at once; clients reuse connections; all run on loopback. An upgrade
starts a new process on the same listening socket, waits for readyz, and sends SIGTERM to the old process.
`--no-handover` empties the directory in which the new process looks for the handover.
"""

from __future__ import annotations

import argparse
import asyncio
import statistics
import sys
import tempfile
from pathlib import Path

from honeywharf.standins import node
from honeywharf.standins.backend import Backend
from honeywharf.standins.messages import reply
from honeywharf.standins.platform import Load, Platform
from honeywharf.standins.registry import Registry

ORDER = {
    "name": "order",
    "aimMs": 1000.0,
    "deadlineMs": 2000.0,
    "idempotency": "by_key",
    "group": "cell",
    "windowMs": 7500.0,
}
MIN_INTERVAL_MS = 50.0  # Minimum time of load between two upgrades.


async def run_upgrades(
    upgrades: int,
    per_s: float,
    connections: int,
    handover: bool,
) -> tuple[Load, list[float], str]:
    """Runs the upgrades; returns the load, the seconds until each old process ended, and the log."""
    backends = [await Backend().start() for _ in range(4)]
    for backend in backends:
        backend.default_reply = reply(200, b"tile")
    registry = await Registry().start()
    await registry.put(*(backend.row(f"n{i}") for i, backend in enumerate(backends)))
    with tempfile.TemporaryDirectory() as folder:
        platform = Platform(Path(folder), node.configuration(node.settings([ORDER]), registry.port))
        try:
            await platform.start()
            load = Load(platform.port, per_s, connections)
            load.begin()
            end_durations_s = []
            for _ in range(upgrades):
                await asyncio.sleep(MIN_INTERVAL_MS / 1000.0)
                if not handover:
                    for leftover in (Path(folder) / "tmp").iterdir():
                        leftover.unlink()
                end_durations_s.append(await platform.replace(2.0))
            await load.end()
            return load, end_durations_s, platform.log_text()
        finally:
            platform.close()
            for backend in backends:
                await backend.stop()
            await registry.stop()


def main() -> int:
    """Runs the upgrades; returns 1 if a request was lost, refused or failed on a closed connection."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--upgrades", type=int, default=100)
    parser.add_argument("--per-s", type=float, default=2000.0)
    parser.add_argument("--connections", type=int, default=64)
    parser.add_argument("--no-handover", action="store_true")
    parser.add_argument("--log", type=Path, help="file for the log lines of the processes")
    args = parser.parse_args()
    load, end_durations_s, log_text = asyncio.run(
        run_upgrades(args.upgrades, args.per_s, args.connections, not args.no_handover)
    )
    if args.log:
        args.log.write_text(log_text)
    request_count = sum(load.outcomes.values())
    print(
        f"{args.upgrades} upgrades, {request_count} requests: "
        + ", ".join(f"{n} {outcome}" for outcome, n in sorted(load.outcomes.items()))
    )
    ordered = sorted(load.latencies_ms)
    print(
        f"answers: p50 {statistics.median(ordered):.1f} ms, p99 {ordered[int(0.99 * len(ordered))]:.1f} ms,"
        f" most {ordered[-1]:.1f} ms; the old process ended after {statistics.median(end_durations_s):.2f} s"
        f" (most {max(end_durations_s):.2f} s)"
    )
    return 0 if set(load.outcomes) == {"200"} else 1


if __name__ == "__main__":
    sys.exit(main())
