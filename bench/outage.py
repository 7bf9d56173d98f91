"""An outage on loopback, without and with storm rules: 5,000 clients, three proxies, twenty nodes.

    python -m bench.outage [--clients 5000] [--seconds 34] [--rate 500] [--seed N] [--cores 0,1,2]

Simulated nodes run in this process, the proxies on the first three cores, and the clients in separate
processes. Each client has its own connection and repeats a refused or failed request by its habit (mixed
habits of lab/habits.py), up to six times in 5 s. Three nodes die at 10 s and are back at 16 s. Prints the
level (first attempts answered within 2 s) before, during and after, the recovery time, repeats per first
attempt, the swing of the level, wrong advice, and the maximum connection rate.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import random
import subprocess
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path
from typing import Any

import uvloop

from bench.processes import HERE, proxy, wait_for
from honeywharf.lab import measures
from honeywharf.lab.habits import MIXED, backoff_ms
from honeywharf.lab.model import Node, NodeSpec
from honeywharf.standins import node
from honeywharf.standins.backend import Backend
from honeywharf.standins.messages import read_message
from honeywharf.standins.registry import Registry

TILE_NODE = NodeSpec(cores=2, queue=12, cold_share=0.25, warm_ms=4000.0, jam_at=4.5)
NODE_COUNT, WORK_MS, DEAD_NODE_COUNT = 20, 60.0, 3
CRASH_S, RESTART_S = 10.0, 16.0
LATENCY_TARGET_S, REQUEST_DEADLINE_S, MAX_REPEATS, WINDOW_S = 2.0, 5.0, 6, 0.5
STORM_FEATURES = "[storms]\non = true\n"
REQUEST_FORMAT = (
    "GET /api/{target} HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: {name}\r\n"
    "X-Service-Class: read\r\nX-Account: acme\r\nCookie: sid={sid}\r\n"
    "X-Time-Left: {left}m\r\n{mark}\r\n"
)


class Client:
    """One client with one connection, one request at a time, and one habit."""

    def __init__(self, number: int, ports: list[int], seed: int, counts: dict[int, Counter[str]]) -> None:
        self.sid, self.ports, self.counts = f"c{number}", ports, counts
        self.random = random.Random(seed * 1_000_003 + number)
        names, weights = zip(*MIXED, strict=True)
        self.habit = self.random.choices(names, weights)[0]
        self.streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        self.serial = 0

    def count(self, event: str, time_s: float | None = None) -> None:
        """Counts an event in the window of `time_s`, or in the current one."""
        window = int((time.monotonic() if time_s is None else time_s) // WINDOW_S)
        self.counts.setdefault(window, Counter())[event] += 1

    async def run_until(self, until: float, think_s: float) -> None:
        """Sends requests at random intervals until a time."""
        await asyncio.sleep(self.random.uniform(0.0, think_s))
        while time.monotonic() < until:
            await self.request_tile()
            remaining_s = until - time.monotonic()
            await asyncio.sleep(max(0.0, min(remaining_s, self.random.expovariate(1.0 / think_s))))
        self.drop()

    def drop(self) -> None:
        """Closes the connection."""
        if self.streams is not None:
            self.streams[1].transport.abort()
            self.streams = None

    async def request_tile(self) -> None:
        """Requests one tile, with repeats."""
        self.serial += 1
        started_at, advice_followed, target = time.monotonic(), False, f"tile{self.serial}"
        self.count("first", started_at)
        for attempt_number in range(1, MAX_REPEATS + 2):
            if attempt_number > 1:
                self.count("repeats")
            status, wait_ms = await self.send_attempt(
                target, attempt_number, REQUEST_DEADLINE_S - (time.monotonic() - started_at)
            )
            if advice_followed:
                self.count("told")
            if status == 200:
                if time.monotonic() - started_at <= LATENCY_TARGET_S:
                    self.count("good", started_at)
                return
            if status in (429, 503):
                self.count("refused")
                if advice_followed:
                    self.count("told again")
            pause, advice_followed = backoff_ms(self.habit, attempt_number, wait_ms, self.random)
            if time.monotonic() - started_at + pause / 1000.0 >= REQUEST_DEADLINE_S:
                return
            await asyncio.sleep(pause / 1000.0)

    async def send_attempt(self, target: str, attempt_number: int, remaining_s: float) -> tuple[int, float]:
        """Sends one attempt; returns its status (0 without an answer) and the Retry-After in ms."""
        mark_header = "X-Repeat: 1\r\n" if attempt_number > 1 and self.random.random() < 0.5 else ""
        data = REQUEST_FORMAT.format(
            target=target,
            name=f"{self.sid}-{target}-{attempt_number}",
            sid=self.sid,
            left=max(1, int(remaining_s * 1000)),
            mark=mark_header,
        ).encode()
        try:
            async with asyncio.timeout(max(0.01, remaining_s)):
                for _ in range(2):
                    is_reused = self.streams is not None
                    if self.streams is None:
                        self.count("connections")
                        self.streams = await asyncio.open_connection(
                            "127.0.0.1", self.random.choice(self.ports)
                        )
                    try:
                        self.streams[1].write(data)
                        status_line, headers, _ = await read_message(self.streams[0])
                        break
                    except (asyncio.IncompleteReadError, ConnectionError):
                        self.drop()
                        if not is_reused:
                            return 0, 0.0
        except (TimeoutError, OSError):
            self.drop()
            return 0, 0.0
        if headers.get(b"connection") == b"close":
            self.drop()
        return int(status_line.split()[1]), float(headers.get(b"retry-after", b"0")) * 1000.0


async def clients(args: argparse.Namespace) -> None:
    """Runs the clients of this process; writes their counts by window as JSON to standard output."""
    counts: dict[int, Counter[str]] = {}
    ports = [int(p) for p in args.ports.split(",")]
    all_clients = [Client(args.first + i, ports, args.seed, counts) for i in range(args.number)]
    await asyncio.gather(*(client.run_until(args.until, args.think) for client in all_clients))
    json.dump(counts, sys.stdout)


async def fleet(args: argparse.Namespace, features: str, folder: Path) -> dict[str, Any]:
    """Runs one outage; returns the figures."""
    backends = [
        Backend(Node(TILE_NODE), work_ms=WORK_MS, seed=args.seed * 100 + i) for i in range(NODE_COUNT)
    ]
    for backend in backends:
        await backend.start()
    registry = await Registry().start()
    await registry.put(*(backend.row(f"n{i}", cell=i) for i, backend in enumerate(backends)))
    ports, cores = node.free_ports(3), args.cores.split(",")
    with contextlib.ExitStack() as stack:
        for core, port in zip(cores, ports, strict=False):
            stack.enter_context(
                proxy(
                    HERE,
                    core,
                    port,
                    registry.port,
                    [backend.port for backend in backends],
                    folder,
                    features=features,
                )
            )
        for port in ports:
            await asyncio.to_thread(wait_for, port)
        started_at, clients_per_process = time.monotonic() + 1.0, args.clients // 4
        client_processes = [
            subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "bench.outage",
                    "--part",
                    "--ports",
                    ",".join(map(str, ports)),
                    "--first",
                    str(k * clients_per_process),
                    "--number",
                    str(clients_per_process),
                    "--seed",
                    str(args.seed),
                    "--until",
                    str(started_at + args.seconds),
                    "--think",
                    str(args.clients / args.rate),
                ],
                stdout=subprocess.PIPE,
                cwd=HERE,
            )
            for k in range(4)
        ]
        await asyncio.sleep(started_at + CRASH_S - time.monotonic())
        for backend in backends[:DEAD_NODE_COUNT]:
            await backend.crash()
        await asyncio.sleep(started_at + RESTART_S - time.monotonic())
        for i, backend in enumerate(backends[:DEAD_NODE_COUNT]):
            await backend.restart()
            await registry.put(backend.row(f"n{i}", cell=i, startedAtMs=int(time.time() * 1000)))
        accepted_requests = sum(backend.accepted for backend in backends)
        outputs = await asyncio.gather(
            *(asyncio.to_thread(process.communicate) for process in client_processes)
        )
    total: dict[int, Counter[str]] = {}
    for output, _ in outputs:
        for window, row in json.loads(output).items():
            total.setdefault(int(window), Counter()).update(row)
    await registry.stop()
    for backend in backends:
        await backend.stop()
    return figures(total, int(started_at // WINDOW_S), args.seconds) | {"taken by 16 s": accepted_requests}


def figures(total: dict[int, Counter[str]], first_window: int, seconds: float) -> dict[str, Any]:
    """Returns the printed figures for the counts by window."""

    def rows(start_s: float, end_s: float) -> Counter[str]:
        window_counts: Counter[str] = Counter()
        for k in range(int(start_s / WINDOW_S), int(end_s / WINDOW_S)):
            window_counts.update(total.get(first_window + k, Counter()))
        return window_counts

    def level(start_s: float, end_s: float) -> float:
        window_counts = rows(start_s, end_s)
        return window_counts["good"] / max(1, window_counts["first"])

    former_level, last_s = level(4.0, CRASH_S), seconds - REQUEST_DEADLINE_S

    def level_ms(start_ms: float, end_ms: float) -> float:
        return level(start_ms / 1000.0, end_ms / 1000.0)

    recovered_after_ms = measures.recovery_ms(level_ms, former_level, RESTART_S * 1000.0, last_s * 1000.0)
    level_swing = measures.swing(level_ms, RESTART_S * 1000.0 + (recovered_after_ms or 0.0), last_s * 1000.0)
    counts_of_outage, counts_until_end = rows(CRASH_S, RESTART_S + 5.0), rows(CRASH_S, last_s)
    max_connections_per_s = max((row["connections"] for row in total.values()), default=0) / WINDOW_S
    return {
        "before": round(former_level, 3),
        "dead": round(level(CRASH_S, RESTART_S), 3),
        "after": round(level(RESTART_S, last_s), 3),
        "recovery s": "never" if recovered_after_ms is None else recovered_after_ms / 1000.0,
        "repeats sent": round(counts_of_outage["repeats"] / max(1, counts_of_outage["first"]), 3),
        "refused": counts_until_end["refused"],
        "swing": None if level_swing is None else round(level_swing, 3),
        "wrong advice": round(counts_until_end["told again"] / max(1, counts_until_end["told"]), 3),
        "told": counts_until_end["told"],
        "connections/s": max_connections_per_s,
    }


def main() -> int:
    """Runs the outage without and with storm rules and prints the figures."""
    parser = argparse.ArgumentParser(description="an outage, with 5,000 clients on loopback")
    parser.add_argument("--clients", type=int, default=5000)
    parser.add_argument("--seconds", type=float, default=34.0)
    parser.add_argument("--rate", type=float, default=500.0, help="first attempts per second")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--cores", default="0,1,2", help="one for each proxy")
    for name, kind in (
        ("part", None),
        ("ports", str),
        ("first", int),
        ("number", int),
        ("until", float),
        ("think", float),
    ):  # Options of a client process.
        if kind is None:
            parser.add_argument(f"--{name}", action="store_true", help=argparse.SUPPRESS)
        else:
            parser.add_argument(f"--{name}", type=kind, help=argparse.SUPPRESS)
    args = parser.parse_args()
    if args.part:
        uvloop.run(clients(args))
        return 0
    for name, features in (("off", ""), ("on", STORM_FEATURES)):
        with tempfile.TemporaryDirectory() as folder:
            results = uvloop.run(fleet(args, features, Path(folder)))
        print(f"{name:>4}", *(f"{k}: {v}" for k, v in results.items()), sep="  ", flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
