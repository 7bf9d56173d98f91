"""A small fleet on loopback: registry, three zones of nodes, three proxies, clients; and what became of it.

A node crashes on the way and comes back cold, another drains. The four rules are checked at the end from what
the nodes, the racks and the clients have seen, not from what the proxies say.
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
NODES = 4  # in each zone, in two racks
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
    """All that runs, by name."""

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
        """How the registry lists a node."""
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
        """Start registry, nodes, proxies; wait until the proxies are ready."""
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
            await self._proxy(i, zone)
        for i, zone in enumerate(ZONES):
            front = Front([self.ports[zone]], self.seed + i)
            share = (0.5, 0.3, 0.2)[i]
            self.clients[zone] = Clients(front, zone, rate * share, seed=self.seed + i, deadline_ms=3000.0)

    async def _proxy(self, number: int, zone: str) -> None:
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
                    raise RuntimeError(f"the proxy of {zone} ended at its start: {log.read_text().strip()}")
                await asyncio.sleep(0.05)
            self.ports[zone] = int(match[1])
            while not await self._ready(self.ports[zone]):
                await asyncio.sleep(0.05)

    async def _ready(self, port: int) -> bool:
        with suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(b"GET /health/ready HTTP/1.1\r\nHost: p\r\nConnection: close\r\n\r\n")
            first, _, _ = await read_message(reader)
            writer.close()
            return first.split()[1] == b"200"
        return False

    async def troubles(self, seconds: float, say: Callable[[str], None]) -> None:
        """A crash at a quarter of the time, back cold at a half; a drain from then on."""
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
        """End the proxies by SIGTERM, then all else."""
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
        """Refusals by reason, as the proxies' last lines tell."""
        total: Counter[str] = Counter()
        for zone in ZONES:
            for name, number in re.findall(r"refused:(\w+)=(\d+)", (self.folder / f"{zone}.log").read_text()):
                total[name] += int(number)
        return total


def table(fleet: Fleet, second: int) -> str:
    """What each zone holds, serves and refuses, in one line."""
    cells = []
    for zone in ZONES:
        held = sum(b.node.held for n, b in fleet.backends.items() if b.node and fleet.zone_of[n] == zone)
        tally = fleet.clients[zone].tally
        cells.append(f"{zone:>8}: holds {held:>3} served {tally.served:>5} refused {tally.refused:>4}")
    return f"{second:>4} s |" + " |".join(cells)


def verdicts(fleet: Fleet) -> dict[str, bool]:
    """The four rules, from what stand-ins saw."""
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
    """Play; the exit status."""
    fleet = Fleet(seed, folder)
    try:
        await fleet.start(rate)
        say(f"3 zones of {NODES} nodes, 3 proxies, {rate:g} orders/s for {seconds:g} s, seed {seed}")
        work = [asyncio.create_task(c.run(seconds)) for c in fleet.clients.values()]
        work.append(asyncio.create_task(fleet.troubles(seconds, say)))
        for second in range(1, int(seconds) + 1):
            await asyncio.sleep(1.0)
            say(table(fleet, second))
        await asyncio.gather(*work)
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
    held = verdicts(fleet)
    for rule, kept in held.items():
        say(f"{'held' if kept else 'BROKEN':>8}: {rule}")
    return 0 if all(held.values()) else 1


def play(seconds: float, rate: float, seed: int, say: Callable[[str], None]) -> int:
    """Play the demo; the exit status is 0 only where all four rules held."""
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(run(seconds, rate, seed, Path(folder), say))


def tell_day(words: str, found: dict[str, Any], say: Callable[[str], None]) -> bool:
    """Say what a day of order keys came to; whether a rule was broken."""
    faults = {rule: number for rule, number in found["faults"].items() if number}
    more = ", ".join(
        f"{name} {found[name]}"
        for name in ("killed", "paused", "by CoAP", "datagrams", "lost", "duplicate")
        if found.get(name)
    )
    say(f"{words}: {found['requests']} requests ({more}), answers {found['answers']}")
    told = ", ".join(f"{rule} {number} times" for rule, number in faults.items()) or "none"
    say(
        f"    {found['keys charged']} keys charged, {found['twice']} of them twice or more;"
        f" rules broken: {told}"
    )
    return bool(faults)


def play_keys(seconds: float, seed: int, say: Callable[[str], None]) -> int:
    """A day of order keys without the feature and with it; status 0 where it kept what it promises."""
    from honeywharf.standins import keyday
    from honeywharf.standins.redis import Redis

    keys = int(seconds / keyday.SPACING_S)
    say(f"{keys} order keys, each sent up to five times over 3 proxies and 4 racks; nodes and proxies die")
    broken = False
    for words, features, redis in (
        ("without order keys", "", None),
        ("with keys shared in Redis", keyday.SHARED, Redis()),
    ):
        with tempfile.TemporaryDirectory() as folder:
            found = asyncio.run(keyday.day(features, redis, keys, seed, Path(folder), 3))
        broken = tell_day(words, found, say)
    return 1 if broken else 0


def play_coap(seconds: float, seed: int, say: Callable[[str], None]) -> int:
    """The same by CoAP and HTTP clients over a bad network; status 0 where keys kept what they promise."""
    from honeywharf.standins import coapday, keyday

    keys = int(seconds / keyday.SPACING_S)
    say(
        f"{keys} order keys, each sent up to five times by HTTP clients and {coapday.UNITS} CoAP units, whose"
        " datagrams are lost, doubled and delayed; nodes die"
    )
    broken = False
    for words, features in (("without order keys", ""), ("with order keys", keyday.PROCESS)):
        with tempfile.TemporaryDirectory() as folder:
            broken = tell_day(words, asyncio.run(coapday.day(features, keys, seed, Path(folder))), say)
    return 1 if broken else 0
