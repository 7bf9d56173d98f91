"""`honeywharf demo`: a fleet of three zones on loopback with a crash and a drain, checked by four rules.

A node crashes and restarts cold, another drains. The rules are checked by the records of nodes, racks and
clients, not by the counters of the proxies.
"""

from __future__ import annotations

import asyncio
import json
import os
import re
import signal
import subprocess
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

from honeywharf.lab.model import Node, NodeSpec, Rack
from honeywharf.standins import node
from honeywharf.standins.backend import Backend, now_ms
from honeywharf.standins.clients import Clients, Front
from honeywharf.standins.messages import read_message, row
from honeywharf.standins.registry import Registry

ZONES = ("tallinn", "tartu", "parnu")
NODES = 4  # Per zone, in two racks.
SPEC = NodeSpec(cores=2, queue=12, cold_share=0.25, warm_ms=4000.0, jam_at=8.0)
WORK_MS = 40.0
SETTINGS = node.settings(
    [
        {
            "name": "order",
            "aimMs": 1000.0,
            "deadlineMs": 3000.0,
            "idempotency": "by_key",
            "group": "cell",
            "windowMs": 7500.0,
        }
    ],
    bounds={"mostTries": 4, "secondCopies": False, "openCap": 1000},
    contract={"coldShare": 0.25, "warmAfterMs": 4000.0, "stopSendingWithinMs": 500.0},
    nInstances=len(ZONES),
    report={"fields": ["queue"], "how": "piggyback"},
    tiers=["tile-front"],
    zones=list(ZONES),
)


class Fleet:
    """Registry, backends, proxies and clients by name."""

    def __init__(self, seed: int, folder: Path) -> None:
        self.seed, self.folder = seed, folder
        self.registry = Registry()
        self.backends: dict[str, Backend] = {}
        self.zone_of: dict[str, str] = {}
        self.racks: dict[int, Rack] = {}
        self.proxies: dict[str, subprocess.Popen[bytes]] = {}
        self.ports: dict[str, int] = {}
        self.started_ms: dict[str, int] = {}
        self.clients: dict[str, Clients] = {}
        self.fallen: set[str] = set()

    def row(self, name: str, lifecycle: str = "up") -> dict[str, Any]:
        """Returns the entry of a node in the registry."""
        return row(
            name,
            self.backends[name].port,
            self.zone_of[name],
            lifecycle,
            cell=self._cell(name),
            startedAtMs=self.started_ms.get(name, 0),
        )

    def _cell(self, name: str) -> int:
        zone, number = name.rsplit("-", 1)
        return 10 * ZONES.index(zone) + int(number) // 2

    async def start(self, rate: float) -> None:
        """Starts registry, nodes and proxies, and waits until the proxies are ready."""
        await self.registry.start()
        for zone in ZONES:
            for i in range(NODES):
                name = f"{zone}-{i}"
                self.zone_of[name] = zone
                rack = self.racks.setdefault(self._cell(name), Rack())
                self.backends[name] = await Backend(
                    Node(SPEC), rack, work_ms=WORK_MS, seed=self.seed * 100 + len(self.backends)
                ).start()
        await self.registry.put(*(self.row(name) for name in self.backends))
        for i, zone in enumerate(ZONES):
            await self._start_proxy(i, zone)
        for i, zone in enumerate(ZONES):
            front = Front([self.ports[zone]], self.seed + i)
            share = (0.5, 0.3, 0.2)[i]
            self.clients[zone] = Clients(front, zone, rate * share, seed=self.seed + i, deadline_ms=3000.0)

    async def _start_proxy(self, number: int, zone: str) -> None:
        conf = self.folder / f"{zone}.json"
        conf.write_text(
            json.dumps(
                node.configuration(
                    {**SETTINGS, "zone": zone, "me": number},
                    self.registry.port,
                    name=zone,
                    seed=f"{self.seed + number:x}",
                )
            )
        )
        log = self.folder / f"{zone}.log"
        with log.open("wb") as file:
            self.proxies[zone] = subprocess.Popen(
                [sys.executable, "-m", "honeywharf"],
                stdout=file,
                stderr=file,
                env={**os.environ, "NODE_CONFIG": str(conf)},
            )
        async with asyncio.timeout(20.0):
            while (match := re.search(r"listens on 127\.0\.0\.1:(\d+)", log.read_text())) is None:
                if self.proxies[zone].poll() is not None:
                    raise RuntimeError(
                        f"proxy of {zone}: expected it to listen, but it ended: {log.read_text().strip()}"
                    )
                await asyncio.sleep(0.05)
            self.ports[zone] = int(match[1])
            while not await self._ready(self.ports[zone]):
                await asyncio.sleep(0.05)

    async def _ready(self, port: int) -> bool:
        with suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(b"GET /health/ready HTTP/1.1\r\nHost: p\r\nConnection: close\r\n\r\n")
            status_line, _, _ = await read_message(reader)
            writer.close()
            return status_line.split()[1] == b"200"
        return False

    async def inject_faults(self, seconds: float, say: Callable[[str], None]) -> None:
        """Crashes a node at a quarter of the time; restarts it and drains another at a half."""
        await asyncio.sleep(seconds / 4.0)
        crashed, drained = f"{ZONES[0]}-1", f"{ZONES[1]}-0"
        say(f"  {crashed} dies")
        await self.backends[crashed].crash()
        await asyncio.sleep(seconds / 4.0)
        say(f"  {crashed} is back, cold; {drained} drains")
        await self.backends[crashed].restart()
        self.started_ms[crashed] = int(time.time() * 1000.0)
        await self.registry.put(self.row(crashed), self.row(drained, "draining"))
        self.backends[drained].drain_announced_ms = now_ms()

    async def stop(self) -> None:
        """Stops the proxies by SIGTERM, then everything else."""
        for process in self.proxies.values():
            process.send_signal(signal.SIGTERM)
        for process in self.proxies.values():
            with suppress(subprocess.TimeoutExpired):
                await asyncio.to_thread(process.wait, 8.0)
            if process.poll() is None:
                process.kill()
        for backend in self.backends.values():
            await backend.stop()
        await self.registry.stop()

    def refusals(self) -> Counter[str]:
        """Returns the rejections by reason, from the last log lines of the proxies."""
        total: Counter[str] = Counter()
        for zone in ZONES:
            for name, number in re.findall(r"refused:(\w+)=(\d+)", (self.folder / f"{zone}.log").read_text()):
                total[name] += int(number)
        return total


def progress_line(fleet: Fleet, second: int) -> str:
    """Returns one line with the requests in flight, served and rejected by zone."""
    cells = []
    for zone in ZONES:
        in_flight = sum(
            b.node.in_flight for n, b in fleet.backends.items() if b.node and fleet.zone_of[n] == zone
        )
        tally = fleet.clients[zone].tally
        cells.append(f"{zone:>8}: holds {in_flight:>3} served {tally.served:>5} refused {tally.refused:>4}")
    return f"{second:>4} s |" + " |".join(cells)


def verdicts(fleet: Fleet) -> dict[str, bool]:
    """Returns whether each of the four rules was kept, from the records of the stand-ins."""
    charges: Counter[str] = Counter()
    for rack in fleet.racks.values():
        charges.update(rack.charges)
    tallies = [c.tally for c in fleet.clients.values()]
    served = set().union(*(t.keys for t in tallies))
    return {
        "no request lost": not any(t.lost or t.mismatched for t in tallies)
        and all(t.orders == t.served + t.refused + t.failed for t in tallies),
        "no effect twice": all(n == 1 for n in charges.values()) and served <= set(charges),
        "drains kept": not any(b.requests_after_drain for b in fleet.backends.values()),
        "no cold node pushed over": not any(b.node.fallen for b in fleet.backends.values() if b.node),
    }


async def run(seconds: float, rate: float, seed: int, folder: Path, say: Callable[[str], None]) -> int:
    """Runs the demo. Returns the exit status."""
    fleet = Fleet(seed, folder)
    try:
        await fleet.start(rate)
        say(f"3 zones of {NODES} nodes, 3 proxies, {rate:g} orders/s for {seconds:g} s, seed {seed}")
        tasks = [asyncio.create_task(c.run(seconds)) for c in fleet.clients.values()]
        tasks.append(asyncio.create_task(fleet.inject_faults(seconds, say)))
        for second in range(1, int(seconds) + 1):
            await asyncio.sleep(1.0)
            say(progress_line(fleet, second))
        await asyncio.gather(*tasks)
    finally:
        await fleet.stop()
    tallies = [c.tally for c in fleet.clients.values()]
    charges: Counter[int] = Counter()
    for rack in fleet.racks.values():
        charges.update(rack.charges.values())
    say(
        f"asked {sum(t.orders for t in tallies)}, served {sum(t.served for t in tallies)}, refused "
        f"{sum(t.refused for t in tallies)}, failed {sum(t.failed for t in tallies)}, clients' repeats "
        f"{sum(t.repeats for t in tallies)}"
    )
    say("charges: " + ", ".join(f"{number} keys {times} times" for times, number in sorted(charges.items())))
    say(
        "refusals by reason: "
        + (", ".join(f"{name} {number}" for name, number in sorted(fleet.refusals().items())) or "none")
    )
    for zone, client in fleet.clients.items():
        tally = client.tally
        say(f"{zone:>8}: p50 {tally.quantile(0.5):.0f} ms, p99 {tally.quantile(0.99):.0f} ms")
    rules = verdicts(fleet)
    for rule, is_kept in rules.items():
        say(f"{'held' if is_kept else 'BROKEN':>8}: {rule}")
    return 0 if all(rules.values()) else 1


def play(seconds: float, rate: float, seed: int, say: Callable[[str], None]) -> int:
    """Runs the demo in a temporary folder. Returns 0 only if all four rules were kept."""
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(run(seconds, rate, seed, Path(folder), say))


def print_summary(label: str, figures: dict[str, Any], say: Callable[[str], None]) -> bool:
    """Prints the figures of an order key scenario. Returns whether a rule was violated."""
    violations = {rule: number for rule, number in figures["faults"].items() if number}
    extra_counts = ", ".join(
        f"{name} {figures[name]}"
        for name in ("killed", "paused", "by CoAP", "datagrams", "lost", "duplicate")
        if figures.get(name)
    )
    say(f"{label}: {figures['requests']} requests ({extra_counts}), answers {figures['answers']}")
    violated_rules = ", ".join(f"{rule} {number} times" for rule, number in violations.items()) or "none"
    say(
        f"    {figures['keys charged']} keys charged, {figures['twice']} of them twice or more;"
        f" rules broken: {violated_rules}"
    )
    return bool(violations)


def play_keys(seconds: float, seed: int, say: Callable[[str], None]) -> int:
    """Runs the order key scenario without and with the feature. Returns 0 if it keeps its rules."""
    from honeywharf.standins import order_key_scenario
    from honeywharf.standins.redis import Redis

    keys = int(seconds / order_key_scenario.KEY_INTERVAL_S)
    say(f"{keys} order keys, each sent up to five times over 3 proxies and 4 racks; nodes and proxies die")
    broken = False
    for label, features, redis in (
        ("without order keys", "", None),
        ("with keys shared in Redis", order_key_scenario.REDIS_STORE, Redis()),
    ):
        with tempfile.TemporaryDirectory() as folder:
            figures = asyncio.run(
                order_key_scenario.run_scenario(features, redis, keys, seed, Path(folder), 3)
            )
        broken = print_summary(label, figures, say)
    return 1 if broken else 0


def play_coap(seconds: float, seed: int, say: Callable[[str], None]) -> int:
    """Runs the order key scenario with CoAP and HTTP clients. Returns 0 if order keys keep their rules."""
    from honeywharf.standins import coap_scenario, order_key_scenario

    keys = int(seconds / order_key_scenario.KEY_INTERVAL_S)
    say(
        f"{keys} order keys, each sent up to five times by HTTP clients and {coap_scenario.UNITS} CoAP units,"
        " whose datagrams are lost, doubled and delayed; nodes die"
    )
    broken = False
    for label, features in (
        ("without order keys", ""),
        ("with order keys", order_key_scenario.PROCESS_STORE),
    ):
        with tempfile.TemporaryDirectory() as folder:
            broken = print_summary(
                label, asyncio.run(coap_scenario.run_scenario(features, keys, seed, Path(folder))), say
            )
    return 1 if broken else 0
