"""Order keys on a bad day: proxies as processes before four racks, with all that fails, and its history.

Every key is sent up to five times, one after the other or at once, each time to any proxy, some with too
little time left, while nodes fall silent and die, proxies are killed (SIGKILL) and started again, and, where
keys are shared, Redis is paused for up to 3 s.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import subprocess
import sys
import time
from collections import Counter
from pathlib import Path
from typing import Any

from honeywharf.lab.histories import LOST, History
from honeywharf.lab.model import Node, NodeSpec, Rack
from honeywharf.standins import node
from honeywharf.standins.backend import Backend, now_ms
from honeywharf.standins.messages import read_message
from honeywharf.standins.redis import Redis
from honeywharf.standins.registry import Registry

ORDER = {
    "name": "order",
    "aimMs": 500.0,
    "deadlineMs": 1500.0,
    "idempotency": "by_key",
    "group": "cell",
    "windowMs": 7500.0,
}
KEPT_MS = 30000.0
REQUEST = (
    b"POST /api/order HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: %b\r\nX-Service-Class: order\r\n"
    b"X-Time-Left: %dm\r\nIdempotency-Key: %b\r\nContent-Length: 1\r\n%b\r\nx"
)
PROCESS = '[order_keys]\nstore = "process"\n'
SHARED = '[order_keys]\nstore = "redis"\n[order_keys.redis]\nurl = "%s"\nempty = "trust"\n'
SPACING_S = 0.004  # between the first requests of two keys


async def ask(port: int, name: str, key: str, left_ms: int, repeat: bool) -> tuple[int, bytes]:
    """One order on a connection of its own: status and body; LOST where none came."""
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
    except OSError:
        return LOST, b""
    try:
        mark = b"X-Repeat: 1\r\n" if repeat else b""
        writer.write(REQUEST % (name.encode(), left_ms, key.encode(), mark + b"Connection: close\r\n"))
        first, _, body = await asyncio.wait_for(read_message(reader), 5.0)
        return int(first.split()[1]), body
    except (OSError, asyncio.IncompleteReadError, TimeoutError):
        return LOST, b""
    finally:
        writer.close()


Kinds = tuple[type[Backend], ...]  # of the nodes: each rack has one of the first and one of the last


class Day:
    """All keys at one site, and its troubles."""

    def __init__(self, site: Site, keys: int, seed: int) -> None:
        self.site, self.keys, self.seed = site, keys, seed
        self.history, self.serial = History(), 0
        self.ended = asyncio.Event()
        self.kills = self.pauses = 0
        for backend in site.fleet:
            backend.history = self.history

    async def order(self, number: int) -> None:
        """One key, up to five times."""
        key, draw = f"k{self.seed}-{number}", random.Random(self.seed * 10**6 + number)
        await asyncio.sleep(number * SPACING_S)
        times, at_once = draw.randint(1, 5), draw.random() < 0.3
        plan = [(draw.choice(self.site.ports), draw.choice((40, 150, 1400))) for _ in range(times)]
        if at_once:
            await asyncio.gather(*(self.once(key, i > 0, *way) for i, way in enumerate(plan)))
            return
        for i, way in enumerate(plan):
            await self.once(key, i > 0, *way)
            await asyncio.sleep(draw.uniform(0.0, 0.1))

    async def once(self, key: str, repeat: bool, port: int, left_ms: int) -> None:
        """One request, recorded."""
        self.serial += 1
        name = f"o{self.serial}"
        self.history.requested(name, key, now_ms(), repeat)
        status, body = await ask(port, name, key, left_ms, repeat)
        self.history.answered(name, now_ms(), status, body)

    async def troubled_nodes(self) -> None:
        """Nodes fall silent, or die and come back."""
        draw = random.Random(self.seed)
        while not self.ended.is_set():
            hit = draw.choice(self.site.fleet)
            if draw.random() < 0.5 and hit.node is not None:
                hit.node.unresponsive = True
                await asyncio.sleep(0.3)
                hit.node.unresponsive = False
            else:
                await hit.crash()
                await asyncio.sleep(0.3)
                await hit.restart()
            await asyncio.sleep(0.1)

    async def troubled_proxies(self) -> None:
        """Proxies are killed, one at a time, and started again."""
        draw = random.Random(self.seed + 1)
        while not self.ended.is_set() and len(self.site.ports) > 1:
            await asyncio.sleep(draw.uniform(1.0, 3.0))
            number, begun = draw.randrange(len(self.site.ports)), now_ms()
            self.site.kill(number)
            self.kills += 1
            await asyncio.sleep(0.2)
            self.site.launch(number)
            await self.site.listens(number)
            self.history.outage(begun, now_ms())

    async def troubled_store(self) -> None:
        """Redis stands still for a while, every third time for 3 s."""
        draw, redis = random.Random(self.seed + 2), self.site.redis
        while redis is not None and not self.ended.is_set():
            await asyncio.sleep(draw.uniform(3.0, 6.0))
            redis.pause()
            self.pauses += 1
            await asyncio.sleep(3.0 if self.pauses % 3 == 0 else draw.uniform(0.05, 0.6))
            redis.resume()

    def key_of(self, name: str) -> str:
        """The key of a request, or the key itself."""
        ask = self.history.requests_by_id.get(name)
        return ask.key if ask is not None else name

    async def play(self) -> dict[str, Any]:
        """Play it; the figures, and the history of the first key that broke each rule."""
        troubles = [
            asyncio.create_task(t())
            for t in (self.troubled_nodes, self.troubled_proxies, self.troubled_store)
        ]
        await asyncio.gather(*(self.order(i) for i in range(self.keys)))
        self.ended.set()
        await asyncio.gather(*troubles)
        charges, faults = self.history.charges.values(), self.history.violations(KEPT_MS)
        return {
            "keys charged": len(charges),
            "twice": sum(len(c) > 1 for c in charges),
            "requests": len(self.history.requests_by_id),
            "answers": dict(sorted(Counter(a.status for a in self.history.requests_by_id.values()).items())),
            "killed": self.kills,
            "paused": self.pauses,
            "faults": {rule: len(found) for rule, found in faults.items()},
            "of these": {
                rule: self.history.events_of(self.key_of(found[0])) for rule, found in faults.items() if found
            },
        }


class Site:
    """A fleet, its registry and proxies with these features; `redis` where they share their keys."""

    def __init__(
        self,
        features: str,
        seed: int,
        folder: Path,
        proxies: int,
        redis: Redis | None,
        program: tuple[str, ...] = (sys.executable, "-m", "honeywharf"),
        kinds: Kinds = (Backend,),
    ) -> None:
        self.features, self.folder, self.redis, self.program = features, folder, redis, program
        racks, spec = [Rack(7500.0) for _ in range(4)], NodeSpec(cores=8, warm_ms=0.0)
        self.fleet = [
            kinds[i // 4 % len(kinds)](Node(spec), racks[i % 4], work_ms=15.0, seed=seed + i)
            for i in range(8)
        ]
        self.registry = Registry()
        self.ports = node.free_ports(proxies)
        self.processes: list[subprocess.Popen[bytes] | None] = [None] * proxies

    async def start(self) -> Site:
        """Serve."""
        if self.redis is not None:
            await self.redis.start()
        for backend in self.fleet:
            await backend.start()
        await self.registry.start()
        rows = [b.row(f"n{i}", cell=i % 4) for i, b in enumerate(self.fleet)]
        await self.registry.put(*rows)
        for number, port in enumerate(self.ports):
            self._file(port, "json").write_text(
                json.dumps(node.configuration(node.settings([ORDER]), self.registry.port, rows, port=port))
            )
            self._file(port, "toml").write_text(
                self.features % self.redis.url if self.redis is not None else self.features
            )
            self.launch(number)
        for number, port in enumerate(self.ports):
            await self.listens(number)
            end = time.monotonic() + 20.0
            while (await ask(port, f"first{time.monotonic_ns()}", f"first{port}", 1000, False))[0] != 200:
                if time.monotonic() > end:
                    raise SystemExit("the proxy does not serve")
                await asyncio.sleep(0.05)
        return self

    def _file(self, port: int, kind: str) -> Path:
        return self.folder / f"{port}.{kind}"

    def launch(self, number: int) -> None:
        """Start a proxy."""
        port = self.ports[number]
        with self._file(port, "log").open("ab") as log:
            self.processes[number] = subprocess.Popen(
                self.program,
                stderr=log,
                env={
                    **os.environ,
                    "NODE_CONFIG": str(self._file(port, "json")),
                    "HONEYWHARF_FEATURES": str(self._file(port, "toml")),
                },
            )

    async def listens(self, number: int) -> None:
        """Wait until a proxy accepts connections."""
        async with asyncio.timeout(20.0):
            while True:
                try:
                    _, writer = await asyncio.open_connection("127.0.0.1", self.ports[number])
                    writer.close()
                    return
                except OSError:
                    await asyncio.sleep(0.02)

    def kill(self, number: int) -> None:
        """End a proxy by SIGKILL."""
        process = self.processes[number]
        if process is not None:
            process.kill()
            process.wait()

    async def stop(self) -> None:
        """End all of it."""
        for process in self.processes:
            if process is not None:
                process.terminate()
        for process in self.processes:
            if process is not None:
                await asyncio.to_thread(process.wait, 10)
        for backend in self.fleet:
            await backend.stop()
        await self.registry.stop()
        if self.redis is not None:
            self.redis.kill()


async def day(
    features: str,
    redis: Redis | None,
    keys: int,
    seed: int,
    folder: Path,
    proxies: int,
    program: tuple[str, ...] = (sys.executable, "-m", "honeywharf"),
) -> dict[str, Any]:
    """One day at a site of its own; its figures."""
    site = Site(features, seed, folder, proxies, redis, program)
    try:
        return await Day(await site.start(), keys, seed).play()
    finally:
        await site.stop()
