"""An outage on loopback: 5,000 clients, three proxies, twenty nodes of which three die; damped and not.

    python -m bench.outage [--clients 5000] [--seconds 34] [--rate 500] [--seed 1] [--cores 0,1,2]

Nodes of the model (they jam, and come back cold for 4 s) in this process, three proxies as processes on the
first three cores, clients in processes of their own. Each client has a connection of its own, asks for a
tile now and then, and after a refusal or failure asks again by its habit (lab/habits.py, mixed), up to
six times in its 5 s; half mark that. At 10 s 15 in 100 of the nodes die, at 16 s they are back. Printed for
off and on: the level (first tries answered within 2 s) before, while they are dead, and after; when 95 % of
the former level is reached for 2 s; repeats sent for each first try; the level's swing from 5 s after that
on; wrong advice; connections a second at the most.
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

TILE = NodeSpec(cores=2, queue=12, cold_share=0.25, warm_ms=4000.0, jam_at=4.5)
NODES, WORK_MS, DEAD = 20, 60.0, 3
DIES_S, BACK_S = 10.0, 16.0
AIM_S, PATIENCE_S, TRIES, WINDOW_S = 2.0, 5.0, 6, 0.5
STORMS = "[storms]\non = true\n"
REQUEST = (
    "GET /api/{target} HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: {name}\r\n"
    "X-Service-Class: read\r\nX-Account: acme\r\nCookie: sid={sid}\r\n"
    "X-Time-Left: {left}m\r\n{mark}\r\n"
)


class Client:
    """One client: one connection, one request at a time, one habit."""

    def __init__(self, number: int, ports: list[int], seed: int, counts: dict[int, Counter[str]]) -> None:
        self.sid, self.ports, self.counts = f"c{number}", ports, counts
        self.random = random.Random(seed * 1_000_003 + number)
        names, weights = zip(*MIXED, strict=True)
        self.habit = self.random.choices(names, weights)[0]
        self.pair: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        self.serial = 0

    def count(self, what: str, when: float | None = None) -> None:
        """One more of it, in the window of now or of then."""
        window = int((time.monotonic() if when is None else when) // WINDOW_S)
        self.counts.setdefault(window, Counter())[what] += 1

    async def live(self, until: float, think_s: float) -> None:
        """Ask now and then."""
        await asyncio.sleep(self.random.uniform(0.0, think_s))
        while time.monotonic() < until:
            await self.want()
            rest = until - time.monotonic()
            await asyncio.sleep(max(0.0, min(rest, self.random.expovariate(1.0 / think_s))))
        self.drop()

    def drop(self) -> None:
        """Close the connection."""
        if self.pair is not None:
            self.pair[1].transport.abort()
            self.pair = None

    async def want(self) -> None:
        """One tile, with its tries."""
        self.serial += 1
        begun, told, target = time.monotonic(), False, f"tile{self.serial}"
        self.count("first", begun)
        for tries in range(1, TRIES + 2):
            if tries > 1:
                self.count("repeats")
            status, wait_ms = await self.ask(target, tries, PATIENCE_S - (time.monotonic() - begun))
            if told:
                self.count("told")
            if status == 200:
                if time.monotonic() - begun <= AIM_S:
                    self.count("good", begun)
                return
            if status in (429, 503):
                self.count("refused")
                if told:
                    self.count("told again")
            pause, told = backoff_ms(self.habit, tries, wait_ms, self.random)
            if time.monotonic() - begun + pause / 1000.0 >= PATIENCE_S:
                return
            await asyncio.sleep(pause / 1000.0)

    async def ask(self, target: str, tries: int, left_s: float) -> tuple[int, float]:
        """One try: its status, 0 without an answer, and the ms to stay away."""
        mark = "X-Repeat: 1\r\n" if tries > 1 and self.random.random() < 0.5 else ""
        data = REQUEST.format(
            target=target,
            name=f"{self.sid}-{target}-{tries}",
            sid=self.sid,
            left=max(1, int(left_s * 1000)),
            mark=mark,
        ).encode()
        try:
            async with asyncio.timeout(max(0.01, left_s)):
                for _ in range(2):
                    kept = self.pair is not None
                    if self.pair is None:
                        self.count("connections")
                        self.pair = await asyncio.open_connection("127.0.0.1", self.random.choice(self.ports))
                    try:
                        self.pair[1].write(data)
                        first, headers, _ = await read_message(self.pair[0])
                        break
                    except (asyncio.IncompleteReadError, ConnectionError):
                        self.drop()
                        if not kept:
                            return 0, 0.0
        except (TimeoutError, OSError):
            self.drop()
            return 0, 0.0
        if headers.get(b"connection") == b"close":
            self.drop()
        return int(first.split()[1]), float(headers.get(b"retry-after", b"0")) * 1000.0


async def clients(args: argparse.Namespace) -> None:
    """So many clients in this process; their counts by window, as JSON on standard output."""
    counts: dict[int, Counter[str]] = {}
    ports = [int(p) for p in args.ports.split(",")]
    made = [Client(args.first + i, ports, args.seed, counts) for i in range(args.number)]
    await asyncio.gather(*(one.live(args.until, args.think) for one in made))
    json.dump(counts, sys.stdout)


async def fleet(args: argparse.Namespace, features: str, folder: Path) -> dict[str, Any]:
    """One play; the figures."""
    made = [Backend(Node(TILE), work_ms=WORK_MS, seed=args.seed * 100 + i) for i in range(NODES)]
    for one in made:
        await one.start()
    registry = await Registry().start()
    await registry.put(*(one.row(f"n{i}", cell=i) for i, one in enumerate(made)))
    ports, cores = node.free_ports(3), args.cores.split(",")
    with contextlib.ExitStack() as stack:
        for core, port in zip(cores, ports, strict=False):
            stack.enter_context(
                proxy(HERE, core, port, registry.port, [one.port for one in made], folder, features=features)
            )
        for port in ports:
            await asyncio.to_thread(wait_for, port)
        begun, per = time.monotonic() + 1.0, args.clients // 4
        ways = [
            subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "bench.outage",
                    "--part",
                    "--ports",
                    ",".join(map(str, ports)),
                    "--first",
                    str(k * per),
                    "--number",
                    str(per),
                    "--seed",
                    str(args.seed),
                    "--until",
                    str(begun + args.seconds),
                    "--think",
                    str(args.clients / args.rate),
                ],
                stdout=subprocess.PIPE,
                cwd=HERE,
            )
            for k in range(4)
        ]
        await asyncio.sleep(begun + DIES_S - time.monotonic())
        for one in made[:DEAD]:
            await one.crash()
        await asyncio.sleep(begun + BACK_S - time.monotonic())
        for i, one in enumerate(made[:DEAD]):
            await one.restart()
            await registry.put(one.row(f"n{i}", cell=i, startedAtMs=int(time.time() * 1000)))
        taken = sum(one.accepted for one in made)
        said = await asyncio.gather(*(asyncio.to_thread(way.communicate) for way in ways))
    total: dict[int, Counter[str]] = {}
    for out, _ in said:
        for window, row in json.loads(out).items():
            total.setdefault(int(window), Counter()).update(row)
    await registry.stop()
    for one in made:
        await one.stop()
    return figures(total, int(begun // WINDOW_S), args.seconds) | {"taken by 16 s": taken}


def figures(total: dict[int, Counter[str]], first: int, seconds: float) -> dict[str, Any]:
    """What is printed, of the counts by window."""

    def rows(begin_s: float, end_s: float) -> Counter[str]:
        found: Counter[str] = Counter()
        for k in range(int(begin_s / WINDOW_S), int(end_s / WINDOW_S)):
            found.update(total.get(first + k, Counter()))
        return found

    def level(begin_s: float, end_s: float) -> float:
        found = rows(begin_s, end_s)
        return found["good"] / max(1, found["first"])

    former, last = level(4.0, DIES_S), seconds - PATIENCE_S

    def level_ms(begin_ms: float, end_ms: float) -> float:
        return level(begin_ms / 1000.0, end_ms / 1000.0)

    took = measures.recovery_ms(level_ms, former, BACK_S * 1000.0, last * 1000.0)
    swung = measures.swing(level_ms, BACK_S * 1000.0 + (took or 0.0), last * 1000.0)
    out, told = rows(DIES_S, BACK_S + 5.0), rows(DIES_S, last)
    peak = max((row["connections"] for row in total.values()), default=0) / WINDOW_S
    return {
        "before": round(former, 3),
        "dead": round(level(DIES_S, BACK_S), 3),
        "after": round(level(BACK_S, last), 3),
        "recovery s": "never" if took is None else took / 1000.0,
        "repeats sent": round(out["repeats"] / max(1, out["first"]), 3),
        "refused": told["refused"],
        "swing": None if swung is None else round(swung, 3),
        "wrong advice": round(told["told again"] / max(1, told["told"]), 3),
        "told": told["told"],
        "connections/s": peak,
    }


def main() -> int:
    """Play and print."""
    parser = argparse.ArgumentParser(description="an outage, with 5,000 clients on loopback")
    parser.add_argument("--clients", type=int, default=5000)
    parser.add_argument("--seconds", type=float, default=34.0)
    parser.add_argument("--rate", type=float, default=500.0, help="first tries a second")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--cores", default="0,1,2", help="of the proxies")
    for name, kind in (
        ("part", None),
        ("ports", str),
        ("first", int),
        ("number", int),
        ("until", float),
        ("think", float),
    ):  # of a process of clients
        if kind is None:
            parser.add_argument(f"--{name}", action="store_true", help=argparse.SUPPRESS)
        else:
            parser.add_argument(f"--{name}", type=kind, help=argparse.SUPPRESS)
    args = parser.parse_args()
    if args.part:
        uvloop.run(clients(args))
        return 0
    for name, features in (("off", ""), ("on", STORMS)):
        with tempfile.TemporaryDirectory() as folder:
            found = uvloop.run(fleet(args, features, Path(folder)))
        print(f"{name:>4}", *(f"{k}: {v}" for k, v in found.items()), sep="  ", flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
