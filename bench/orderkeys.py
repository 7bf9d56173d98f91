"""What order keys at the edge prevent, and what they cost, with the feature and without it.

    python -m bench.orderkeys [--keys 20000] [--proxies 5] [--seed 1] [--store redis] [--part day|cost]

The day: proxies, each a process of its own, before four racks of two nodes on loopback. Every key is sent
up to five times, one after the other or at once, each time to any proxy, some with too little time left,
while nodes fall silent and die, proxies are killed (SIGKILL) and started again, and, where they share
keys, Redis is paused for up to 3 s. A rack drops a repeat that it knows; another rack charges it. Played
without the feature and with it; printed for both: keys charged, keys charged twice, final answers by status
(0 where the connection ended with its proxy), and what a checker of the whole history found by rule.

The cost: what a new key takes without the feature, with a table in the proxy and with Redis, one proxy each,
asked in turn on one connection (p50); the table alone, us for a claim and its end, bytes for each key; one
proxy's side of the shared store, claims and ends a second, Redis's bytes for each key. Status 1 where the
checker found a fault with the feature on.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import random
import statistics
import subprocess
import sys
import tempfile
import time
import tracemalloc
from collections import Counter
from pathlib import Path
from typing import Any

from bench.beside_haproxy import command, free_ports
from honeywharf import interface as api
from honeywharf.orderkeys.redis import Store
from honeywharf.orderkeys.shared import Rules
from honeywharf.orderkeys.table import Answer, Claim, Table, Verdict
from honeywharf.standins import node
from honeywharf.standins.backend import Backend, now_ms
from honeywharf.standins.histories import LOST, History
from honeywharf.standins.messages import read_message
from honeywharf.standins.model import Node, NodeSpec, Rack
from honeywharf.standins.redis import Redis
from honeywharf.standins.registry import Registry

ORDER = {"name": "order", "aimMs": 500.0, "deadlineMs": 1500.0, "idempotency": "by_key", "group": "cell",
         "windowMs": 7500.0}
KEPT_MS = 30000.0
REQUEST = (b"POST /api/order HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: %b\r\nX-Service-Class: order\r\n"
           b"X-Time-Left: %dm\r\nIdempotency-Key: %b\r\nContent-Length: 1\r\n%b\r\nx")
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
        key, draw = f"k{self.seed}-{number}", random.Random(self.seed * 10 ** 6 + number)
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
        self.history.asked(name, key, now_ms(), repeat)
        status, body = await ask(port, name, key, left_ms, repeat)
        self.history.answered(name, now_ms(), status, body)

    async def troubled_nodes(self) -> None:
        """Nodes fall silent, or die and come back."""
        draw = random.Random(self.seed)
        while not self.ended.is_set():
            hit = draw.choice(self.site.fleet)
            if draw.random() < 0.5 and hit.node is not None:
                hit.node.silent = True
                await asyncio.sleep(0.3)
                hit.node.silent = False
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

    async def play(self) -> dict[str, Any]:
        """Play it; the figures."""
        troubles = [asyncio.create_task(t()) for t in (
            self.troubled_nodes, self.troubled_proxies, self.troubled_store)]
        await asyncio.gather(*(self.order(i) for i in range(self.keys)))
        self.ended.set()
        await asyncio.gather(*troubles)
        charges = self.history.charges.values()
        return {
            "keys charged": len(charges), "twice": sum(len(c) > 1 for c in charges),
            "requests": len(self.history.asks),
            "answers": dict(sorted(Counter(a.status for a in self.history.asks.values()).items())),
            "killed": self.kills, "paused": self.pauses,
            "faults": {rule: len(found) for rule, found in self.history.faults(KEPT_MS).items()},
        }


class Site:
    """A fleet, its registry and proxies with these features; `redis` where they share their keys."""

    def __init__(self, features: str, seed: int, folder: Path, proxies: int, redis: Redis | None) -> None:
        self.features, self.folder, self.redis = features, folder, redis
        racks, spec = [Rack(7500.0) for _ in range(4)], NodeSpec(cores=8, warm_ms=0.0)
        self.fleet = [Backend(Node(spec), racks[i % 4], work_ms=15.0, seed=seed + i) for i in range(8)]
        self.registry = Registry()
        self.ports = free_ports(proxies)
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
            self._file(port, "json").write_text(json.dumps(
                node.configuration(node.settings([ORDER]), self.registry.port, rows, port=port)))
            self._file(port, "toml").write_text(
                self.features % self.redis.url if self.redis is not None else self.features)
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
                command(Path(__file__).resolve().parent.parent), stderr=log,
                env={**os.environ, "NODE_CONFIG": str(self._file(port, "json")),
                     "HONEYWHARF_FEATURES": str(self._file(port, "toml"))})

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


async def new_keys(sites: list[Site], number: int) -> list[float]:
    """What a new key takes at each site, in ms (p50), the sites asked in turn on one connection each."""
    opened = [await asyncio.open_connection("127.0.0.1", site.ports[0]) for site in sites]
    took: list[list[float]] = [[] for _ in sites]
    for site in sites:
        for backend in site.fleet:
            backend.node, backend.then = None, b"HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\nok"
    for i in range(number):
        for (reader, writer), times in zip(opened, took, strict=True):
            begun = time.perf_counter()
            writer.write(REQUEST % (b"p%d" % i, 1400, b"p%d" % i, b""))
            await read_message(reader)
            times.append((time.perf_counter() - begun) * 1000.0)
    for _, writer in opened:
        writer.close()
    return [statistics.median(times[number // 5:]) for times in took]


async def day(features: str, redis: Redis | None, args: argparse.Namespace, folder: Path) -> dict[str, Any]:
    """One day at a site of its own."""
    site = Site(features, args.seed, folder, args.proxies, redis)
    try:
        return await Day(await site.start(), args.keys, args.seed).play()
    finally:
        await site.stop()


async def side_by_side(seed: int, folder: Path) -> list[float]:
    """p50 of a new key in ms: off, in the process, in Redis."""
    sites = [Site("", seed, folder, 1, None), Site(PROCESS, seed, folder, 1, None),
             Site(SHARED, seed, folder, 1, Redis())]
    try:
        for site in sites:
            await site.start()
        return await new_keys(sites, 5000)
    finally:
        for site in sites:
            await site.stop()


def alone(number: int = 100_000) -> tuple[float, float]:
    """The table alone: us for a claim and its end, and bytes for each key, of so many new keys."""
    names = [b"%016d" % i for i in range(number)]
    table, place, answer = Table(number, 10 ** 9, 1000), api.Earlier("a", 1, 1.0), Answer(b"ok")
    begun = time.perf_counter()
    for name in names:
        table.finish(name, table.claim(name, "t", b"p", 0.0).fence, answer, place, 1e9)
    took = (time.perf_counter() - begun) / number * 1e6
    tracemalloc.start()
    table = Table(number, 10 ** 9, 1000)
    for name in names:
        table.finish(name, table.claim(name, "t", b"p", 0.0).fence, answer, api.Earlier("a", 1, 1.0), 1e9)
    used = tracemalloc.get_traced_memory()[0] / number
    tracemalloc.stop()
    return took, used


class Claimer:
    """Claims and ends new keys in a shared store, `most` at a time, as fast as a proxy's side goes."""

    def __init__(self, store: Store, number: int, most: int) -> None:
        self.store, self.left, self.most = store, number, most
        self.out, self.done = 0, asyncio.get_running_loop().create_future()
        self.serial = 0
        self.refused: Counter[str] = Counter()

    def fill(self) -> None:
        """Ask for as many as may be asked for."""
        while self.left and self.out < self.most:
            self.left, self.out, self.serial = self.left - 1, self.out + 1, self.serial + 1
            one = Claiming(self, b"%016d" % self.serial)
            if not self.store.shared.claim(one.name, "tenant", b"p" * 16, 1000.0, KEPT_MS, 0.0, one):
                one.claimed(Claim(Verdict.AWAY))
        if not self.left and not self.out and not self.done.done():
            self.done.set_result(None)


class Claiming:
    """One key of these."""

    def __init__(self, owner: Claimer, name: bytes) -> None:
        self.owner, self.name = owner, name

    def claimed(self, claim: Claim) -> None:
        """Note a place, and end it with a short answer."""
        owner, place = self.owner, api.Earlier("z", 1, time.time() * 1000.0)
        owner.out -= 1
        if claim.verdict is Verdict.RUN:
            owner.store.shared.note(self.name, claim.fence, place)
            owner.store.shared.end(
                self.name, claim.fence, "tenant", b"p" * 16, Answer(b"tile for one"), place, KEPT_MS)
        else:
            owner.refused[claim.verdict.value] += 1
        asyncio.get_running_loop().call_soon(owner.fill)


async def shared_alone(number: int = 30_000) -> tuple[float, float, Counter[str]]:
    """Keys claimed, noted and ended a second by one proxy's side, and Redis's bytes for each."""
    redis = await Redis().start()
    store = Store(asyncio.get_running_loop(), redis.url, "", "bench", Rules(
        10 * number, 10 ** 9, 16384, wait_ms=1000.0, trust_empty=True), lambda: time.time() * 1000.0,
        lambda what: None)
    try:
        store.start()
        while not store.shared.available():
            await asyncio.sleep(0.01)
        before = await used_memory(redis)
        claimer, begun = Claimer(store, number, 64), time.perf_counter()
        claimer.fill()
        await claimer.done
        while store.shared.owed:
            await asyncio.sleep(0.001)
        rate = number / (time.perf_counter() - begun)
        return rate, (await used_memory(redis) - before) / number, claimer.refused
    finally:
        redis.kill()


async def used_memory(redis: Redis) -> int:
    """The bytes that Redis has in use."""
    told = await redis.ask("INFO", "memory")
    text = bytes(told) if isinstance(told, bytes) else str(told).encode()
    return int(text.split(b"used_memory:")[1].split(b"\r\n")[0])


def main() -> int:
    """Play and print."""
    parser = argparse.ArgumentParser(description="order keys at the edge")
    parser.add_argument("--keys", type=int, default=20_000)
    parser.add_argument("--proxies", type=int, default=5)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--store", choices=("redis", "process"), default="redis")
    parser.add_argument("--part", choices=("day", "cost"))
    args = parser.parse_args()
    broken = False
    if args.part != "cost":
        feature = (SHARED, Redis()) if args.store == "redis" else (PROCESS, None)
        for name, (features, redis) in {"off": ("", None), args.store: feature}.items():
            with tempfile.TemporaryDirectory() as folder:
                found = asyncio.run(day(features, redis, args, Path(folder)))
            print(f"{name:>7}", *(f"{k}: {v}" for k, v in found.items()), sep="  ", flush=True)
            broken = any(found["faults"].values())
    if args.part != "day":
        with tempfile.TemporaryDirectory() as folder:
            off, process, redis_ms = asyncio.run(side_by_side(args.seed, Path(folder)))
        print(f"a new key, p50: {off:.4f} ms off, {(process - off) * 1000.0:+.1f} us in the process, "
              f"{(redis_ms - off) * 1000.0:+.1f} us in Redis")
        took, used = alone()
        print(f"table: {took:.2f} us for a claim and its end, {1e6 / took:.0f} a second, {used:.0f} bytes"
              " each")
        rate, used, refused = asyncio.run(shared_alone())
        print(f"shared: {rate:.0f} keys a second claimed, noted and ended by one proxy's side, {used:.0f}"
              f" bytes each in Redis, refused {dict(refused)}")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
