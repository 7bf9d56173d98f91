"""Order keys under faults: proxy processes in front of four racks, and the history of all requests.

Every key is sent up to five times, in sequence or concurrently, to random proxies and partly with a deadline
that is too short. Meanwhile nodes are partitioned and crash, proxies are killed and restarted and, if Redis
shares the keys, Redis is paused for up to 3 s.
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

ORDER_CLASS = {
    "name": "order",
    "aimMs": 500.0,
    "deadlineMs": 1500.0,
    "idempotency": "by_key",
    "group": "cell",
    "windowMs": 7500.0,
}
KEY_RETENTION_MS = 30000.0
REQUEST_FORMAT = (
    b"POST /api/order HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: %b\r\nX-Service-Class: order\r\n"
    b"X-Time-Left: %dm\r\nIdempotency-Key: %b\r\nContent-Length: 1\r\n%b\r\nx"
)
PROCESS_STORE = '[order_keys]\nstore = "process"\n'
REDIS_STORE = '[order_keys]\nstore = "redis"\n[order_keys.redis]\nurl = "%s"\nempty = "trust"\n'
KEY_INTERVAL_S = 0.004  # Between the first requests of two keys.


async def post(port: int, name: str, key: str, left_ms: int, repeat: bool) -> tuple[int, bytes]:
    """Sends one order on a new connection. Returns status and body, LOST without an answer."""
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
    except OSError:
        return LOST, b""
    try:
        extra_headers = b"X-Repeat: 1\r\n" if repeat else b""
        writer.write(
            REQUEST_FORMAT % (name.encode(), left_ms, key.encode(), extra_headers + b"Connection: close\r\n")
        )
        first, _, body = await asyncio.wait_for(read_message(reader), 5.0)
        return int(first.split()[1]), body
    except (OSError, asyncio.IncompleteReadError, TimeoutError):
        return LOST, b""
    finally:
        writer.close()


BackendTypes = tuple[type[Backend], ...]  # Each rack has a node of the first and one of the last type.


class OrderKeyScenario:
    """Sends all keys to one fleet and injects faults."""

    def __init__(self, fleet: OrderKeyFleet, keys: int, seed: int) -> None:
        self.fleet, self.keys, self.seed = fleet, keys, seed
        self.history, self.serial = History(), 0
        self.ended = asyncio.Event()
        self.kills = self.pauses = 0
        for backend in fleet.backends:
            backend.history = self.history

    async def send_key(self, number: int) -> None:
        """Sends one key up to five times."""
        key, rng = f"k{self.seed}-{number}", random.Random(self.seed * 10**6 + number)
        await asyncio.sleep(number * KEY_INTERVAL_S)
        attempts, concurrent = rng.randint(1, 5), rng.random() < 0.3
        targets = [(rng.choice(self.fleet.ports), rng.choice((40, 150, 1400))) for _ in range(attempts)]
        if concurrent:
            await asyncio.gather(*(self.send_once(key, i > 0, *target) for i, target in enumerate(targets)))
            return
        for i, target in enumerate(targets):
            await self.send_once(key, i > 0, *target)
            await asyncio.sleep(rng.uniform(0.0, 0.1))

    async def send_once(self, key: str, repeat: bool, port: int, left_ms: int) -> None:
        """Sends and records one request."""
        self.serial += 1
        name = f"o{self.serial}"
        self.history.requested(name, key, now_ms(), repeat)
        status, body = await post(port, name, key, left_ms, repeat)
        self.history.answered(name, now_ms(), status, body)

    async def inject_node_faults(self) -> None:
        """Partitions nodes, or crashes and restarts them."""
        rng = random.Random(self.seed)
        while not self.ended.is_set():
            target = rng.choice(self.fleet.backends)
            if rng.random() < 0.5 and target.node is not None:
                target.node.unresponsive = True
                await asyncio.sleep(0.3)
                target.node.unresponsive = False
            else:
                await target.crash()
                await asyncio.sleep(0.3)
                await target.restart()
            await asyncio.sleep(0.1)

    async def kill_proxies(self) -> None:
        """Kills and restarts one proxy at a time."""
        rng = random.Random(self.seed + 1)
        while not self.ended.is_set() and len(self.fleet.ports) > 1:
            await asyncio.sleep(rng.uniform(1.0, 3.0))
            number, started_ms = rng.randrange(len(self.fleet.ports)), now_ms()
            self.fleet.kill_proxy(number)
            self.kills += 1
            await asyncio.sleep(0.2)
            self.fleet.start_proxy(number)
            await self.fleet.wait_until_listening(number)
            self.history.outage(started_ms, now_ms())

    async def pause_store(self) -> None:
        """Pauses Redis for up to 0.6 s, every third time for 3 s."""
        rng, redis = random.Random(self.seed + 2), self.fleet.redis
        while redis is not None and not self.ended.is_set():
            await asyncio.sleep(rng.uniform(3.0, 6.0))
            redis.pause()
            self.pauses += 1
            await asyncio.sleep(3.0 if self.pauses % 3 == 0 else rng.uniform(0.05, 0.6))
            redis.resume()

    def key_of(self, name: str) -> str:
        """Returns the key of a request, or the name itself if it is a key."""
        request = self.history.requests_by_id.get(name)
        return request.key if request is not None else name

    async def run(self) -> dict[str, Any]:
        """Runs the scenario. Returns the figures, and the history of the first violation of each rule."""
        fault_tasks = [
            asyncio.create_task(t()) for t in (self.inject_node_faults, self.kill_proxies, self.pause_store)
        ]
        await asyncio.gather(*(self.send_key(i) for i in range(self.keys)))
        self.ended.set()
        await asyncio.gather(*fault_tasks)
        charges, faults = self.history.charges.values(), self.history.violations(KEY_RETENTION_MS)
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


class OrderKeyFleet:
    """Backends, registry and proxies with these features. `redis` is the server for shared keys."""

    def __init__(
        self,
        features: str,
        seed: int,
        folder: Path,
        proxies: int,
        redis: Redis | None,
        program: tuple[str, ...] = (sys.executable, "-m", "honeywharf"),
        backend_types: BackendTypes = (Backend,),
    ) -> None:
        self.features, self.folder, self.redis, self.program = features, folder, redis, program
        racks, spec = [Rack(7500.0) for _ in range(4)], NodeSpec(cores=8, warm_ms=0.0)
        self.backends = [
            backend_types[i // 4 % len(backend_types)](Node(spec), racks[i % 4], work_ms=15.0, seed=seed + i)
            for i in range(8)
        ]
        self.registry = Registry()
        self.ports = node.free_ports(proxies)
        self.processes: list[subprocess.Popen[bytes] | None] = [None] * proxies

    async def start(self) -> OrderKeyFleet:
        """Starts everything and waits until each proxy serves an order."""
        if self.redis is not None:
            await self.redis.start()
        for backend in self.backends:
            await backend.start()
        await self.registry.start()
        entries = [b.row(f"n{i}", cell=i % 4) for i, b in enumerate(self.backends)]
        await self.registry.put(*entries)
        for number, port in enumerate(self.ports):
            self._file(port, "json").write_text(
                json.dumps(
                    node.configuration(node.settings([ORDER_CLASS]), self.registry.port, entries, port=port)
                )
            )
            self._file(port, "toml").write_text(
                self.features % self.redis.url if self.redis is not None else self.features
            )
            self.start_proxy(number)
        for number, port in enumerate(self.ports):
            await self.wait_until_listening(number)
            deadline = time.monotonic() + 20.0
            while (await post(port, f"first{time.monotonic_ns()}", f"first{port}", 1000, False))[0] != 200:
                if time.monotonic() > deadline:
                    raise SystemExit("proxy: expected status 200 within 20 s, got none")
                await asyncio.sleep(0.05)
        return self

    def _file(self, port: int, suffix: str) -> Path:
        return self.folder / f"{port}.{suffix}"

    def start_proxy(self, number: int) -> None:
        """Starts or restarts a proxy."""
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

    async def wait_until_listening(self, number: int) -> None:
        """Waits until a proxy accepts connections. TimeoutError after 20 s."""
        async with asyncio.timeout(20.0):
            while True:
                try:
                    _, writer = await asyncio.open_connection("127.0.0.1", self.ports[number])
                    writer.close()
                    return
                except OSError:
                    await asyncio.sleep(0.02)

    def kill_proxy(self, number: int) -> None:
        """Kills a proxy by SIGKILL."""
        process = self.processes[number]
        if process is not None:
            process.kill()
            process.wait()

    async def stop(self) -> None:
        """Stops everything."""
        for process in self.processes:
            if process is not None:
                process.terminate()
        for process in self.processes:
            if process is not None:
                await asyncio.to_thread(process.wait, 10)
        for backend in self.backends:
            await backend.stop()
        await self.registry.stop()
        if self.redis is not None:
            self.redis.kill()


async def run_scenario(
    features: str,
    redis: Redis | None,
    keys: int,
    seed: int,
    folder: Path,
    proxies: int,
    program: tuple[str, ...] = (sys.executable, "-m", "honeywharf"),
) -> dict[str, Any]:
    """Runs the scenario on a fleet of its own. Returns the figures."""
    fleet = OrderKeyFleet(features, seed, folder, proxies, redis, program)
    try:
        return await OrderKeyScenario(await fleet.start(), keys, seed).run()
    finally:
        await fleet.stop()
