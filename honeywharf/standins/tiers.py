"""Three tiers on loopback: `tile-front` nodes call `tile-render` nodes call `tile-store` nodes, each through
a proxy of its own; clients come through two entry proxies. All note what they saw, for a check afterwards.

    clients -> entry-0, entry-1 -> front nodes -> a proxy each -> render nodes -> a proxy each -> store nodes

Nodes of a tier run in a process of their own (`python -m honeywharf.standins.tiers FILE`), which writes its
record when it is ended. A node makes one or two calls to the next tier, one after the other, passes the trace
context on (but for one that drops it, where asked for), and fails where a call fails.
"""

from __future__ import annotations

import asyncio
import random
import signal
import subprocess
import sys
import time
from collections import Counter
from contextlib import suppress
from pathlib import Path

import msgspec

from honeywharf.standins import node
from honeywharf.standins.messages import read_message, reply, row
from honeywharf.standins.registry import Registry

TIERS = ("tile-front", "tile-render", "tile-store")
ZONES = ("tallinn", "tartu", "parnu")
CLASS = "tile-order"
DEADLINE_MS = 3000.0
CALLS_TWICE = 0.3  # part of the requests of a node for which it calls the next tier twice
SETTINGS = node.settings(
    [
        {
            "name": CLASS,
            "aimMs": 1500.0,
            "deadlineMs": DEADLINE_MS,
            "idempotency": "by_key",
            "group": "cell",
            "windowMs": 7500.0,
        }
    ],
    bounds={"mostTries": 4, "secondCopies": False, "openCap": 1000},
    zones=list(ZONES),
    tiers=list(TIERS),
    report={"fields": [], "how": "silent"},
)
PROXY = (
    "import sys, time; real = time.time; off = float(sys.argv.pop(1)); time.time = lambda: real() + off;"
    " from honeywharf.__main__ import main; sys.exit(main())"
)  # one whose wall clock is off


class Seen(msgspec.Struct, array_like=True):
    """One request at one node: who asked by which span, what it answered, and the calls that it made."""

    id: str
    tier: int
    node: str
    trace_id: str
    span_id: str
    status: int
    calls: list[tuple[str, int]] = []
    dropped: bool = False  # it passed no context on


class Asked(msgspec.Struct, array_like=True):
    """One request of a client; `status` 0 where its connection broke, -1 where no proxy took it."""

    id: str
    proxy: str
    status: int
    begun_s: float


class NodeShape(msgspec.Struct):
    """One node: its port, that of its own proxy (0 in the last tier), and what is wrong with it."""

    name: str
    port: int
    proxy: int = 0
    errors: float = 0.0
    drops: bool = False
    work_ms: float = 0.0


class TierShape(msgspec.Struct):
    """The nodes of one process, and where their record goes."""

    tier: int
    nodes: list[NodeShape]
    record: str
    seed: int


class TierNode:
    """One node at work."""

    def __init__(self, shape: NodeShape, tier: int, seed: int, record: list[Seen]) -> None:
        self.shape, self.tier, self.record = shape, tier, record
        self.random = random.Random(seed)
        self.idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        self.serial = 0

    async def start(self) -> None:
        """Listen."""
        await asyncio.start_server(self._serve, "127.0.0.1", self.shape.port)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                _, headers, _ = await read_message(reader)
                writer.write(await self._answer(headers))
        writer.close()

    async def _answer(self, headers: dict[bytes, bytes]) -> bytes:
        name = headers.get(b"x-correlation-id", b"").decode()
        parent = headers.get(b"traceparent", b"").decode()
        seen = Seen(
            name, self.tier, self.shape.name, parent[3:35], parent[36:52], 200, dropped=self.shape.drops
        )
        self.record.append(seen)
        begun, below = time.monotonic(), b""
        if self.shape.work_ms:
            await asyncio.sleep(self.shape.work_ms * self.random.uniform(0.5, 1.5) / 1000.0)
        if self.random.random() < self.shape.errors:
            seen.status = 500
        elif self.shape.proxy:
            left = float(headers.get(b"x-time-left", b"0m")[:-1])
            if headers.get(b"x-time-left", b"0m")[-1:] == b"u":
                left /= 1000.0
            for number in range(2 if self.random.random() < CALLS_TWICE else 1):
                if seen.status == 200:
                    self.serial += 1
                    call = f"{self.shape.name}.{self.serial}"
                    key = headers.get(b"idempotency-key", b"").decode() + f"/{number}"
                    spent = (time.monotonic() - begun) * 1000.0
                    status, told = await self._call(call, key, left - spent, headers)
                    if told and not self.shape.drops and not below.endswith(b"-01"):
                        below = told  # one that says that its hop keeps the trace stays
                    seen.calls.append((call, status))
                    seen.status = 200 if status == 200 else 500
        more = (b"traceresponse: " + below,) if below else ()
        return reply(seen.status, b"tile" if seen.status == 200 else b"", *more)

    async def _call(
        self,
        name: str,
        key: str,
        left_ms: float,
        above: dict[bytes, bytes],
    ) -> tuple[int, bytes]:
        """One call to the next tier: as `exchange`."""
        lines = [
            f"POST /api/tile HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: {name}\r\n"
            f"X-Service-Class: {CLASS}\r\nX-Account: {above.get(b'x-account', b'').decode()}\r\n"
            f"X-Time-Left: {max(1.0, left_ms):.0f}m\r\nIdempotency-Key: {key}\r\nContent-Length: 0\r\n"
        ]
        if not self.shape.drops:
            lines += [
                f"{k.decode()}: {above[k].decode()}\r\n"
                for k in (b"traceparent", b"tracestate")
                if k in above
            ]
        return await exchange(self.idle, self.shape.proxy, "".join(lines).encode() + b"\r\n")


async def exchange(
    idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]],
    port: int,
    data: bytes,
) -> tuple[int, bytes]:
    """One request on an idle connection or a new one: its status and what it says of its trace.

    Status 0 where the connection broke, -1 where nobody was there.
    """
    while True:  # the proxy may close those that are idle just as a request comes
        fresh = not idle
        try:
            pair = await asyncio.open_connection("127.0.0.1", port) if fresh else idle.pop()
        except OSError:
            return -1, b""
        try:
            pair[1].write(data)
            first, headers, _ = await read_message(pair[0])
        except (asyncio.IncompleteReadError, ConnectionError):
            if fresh:
                return 0, b""
            continue
        if headers.get(b"connection") == b"close":
            pair[1].close()
        else:
            idle.append(pair)
        return int(first.split()[1]), headers.get(b"traceresponse", b"")


class NotesNetwork:
    """UDP between proxies, by way of one socket for each: of the datagrams a part is lost, and it is noted
    which trace-ids that cost whom.
    """

    def __init__(self, ports: dict[str, int], loss: float, seed: int) -> None:
        self.ports, self.loss, self.random = ports, loss, random.Random(seed)
        self.names = {port: name for name, port in ports.items()}
        self.sockets: dict[str, asyncio.DatagramTransport] = {}
        self.delivered = self.lost = 0
        self.told: Counter[tuple[str, str]] = Counter()  # by hearer and trace-id: how often it arrived
        self.missed: Counter[tuple[str, str]] = Counter()  # and how often it did not

    async def start(self) -> dict[str, int]:
        """Open; by proxy, the port at which the others find it."""
        loop, found = asyncio.get_running_loop(), {}
        for name in self.ports:
            made, _ = await loop.create_datagram_endpoint(
                lambda name=name: _Hub(self, name),  # type: ignore[misc]
                local_addr=("127.0.0.1", 0),
            )
            self.sockets[name] = made
            found[name] = made.get_extra_info("sockname")[1]
        return found

    def came(self, to: str, data: bytes, port: int) -> None:
        """A datagram from the proxy at `port` for `to`."""
        sender = self.names.get(port)
        if sender is None:
            return
        lost = self.random.random() < self.loss
        for i in range(4, len(data), 16):
            (self.missed if lost else self.told)[to, data[i : i + 16].hex()] += 1
        if lost:
            self.lost += 1
            return
        self.delivered += 1
        self.sockets[sender].sendto(data, ("127.0.0.1", self.ports[to]))

    def stop(self) -> None:
        """Carry nothing more."""
        for made in self.sockets.values():
            made.close()


class _Hub(asyncio.DatagramProtocol):
    def __init__(self, network: NotesNetwork, name: str) -> None:
        self.network, self.name = network, name

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self.network.came(self.name, data, addr[1])


class House:
    """All of it: registries, nodes, proxies, clients' requests, and their record."""

    def __init__(
        self,
        folder: Path,
        *,
        seed: int = 1,
        fronts: int = 3,
        renders: int = 3,
        stores: int = 6,
        errors: float = 0.001,
        sick: str = "",
        sick_errors: float = 0.3,
        drops: bool = False,
        clock_s: float = 0.0,
        notes_loss: float = 0.0,
        rate: float = 0.01,
        work_ms: float = 0.0,
        rack: int = 2,
        tries: tuple[int, int, int] = (4, 4, 4),
        command: list[str] | None = None,
    ) -> None:
        self.rack = rack  # nodes of one cell, in which a keyed request that may have run is sent again
        self.folder, self.seed, self.rate, self.clock_s = folder, seed, rate, clock_s
        self.notes_loss, self.tries = notes_loss, tries  # tries: attempts of a request, by tier
        self.command = command or [sys.executable]
        ports = node.free_ports(2 * fronts + 2 * renders + stores + 2)
        self.nodes: list[list[NodeShape]] = []
        for tier, number in enumerate((fronts, renders, stores)):
            made = []
            for i in range(number):
                name = f"{TIERS[tier].removeprefix('tile-')}-{i}"
                shape = NodeShape(name, ports.pop(), ports.pop() if tier < 2 else 0, work_ms=work_ms)
                if tier == 2:
                    shape.errors = sick_errors if name == sick else errors
                made.append(shape)
            self.nodes.append(made)
        self.nodes[0][-1].drops = drops
        self.entries = {f"entry-{i}": ports.pop() for i in range(2)}
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.registries: list[Registry] = []
        self.network: NotesNetwork | None = None
        self.notes: dict[str, int] = {}
        self.hubs: dict[str, int] = {}
        self.asked: list[Asked] = []
        self.killed: dict[str, float] = {}

    def proxies(self) -> dict[str, tuple[int, int, str]]:
        """By name: its port, its tier, its zone."""
        found = {name: (port, 0, ZONES[i]) for i, (name, port) in enumerate(self.entries.items())}
        for tier in (0, 1):
            for i, shape in enumerate(self.nodes[tier]):
                found[f"p-{shape.name}"] = (shape.proxy, tier + 1, ZONES[i % len(ZONES)])
        return found

    async def start(self) -> None:
        """Start everything, and wait until the proxies are ready."""
        for tier, shapes in enumerate(self.nodes):
            registry = await Registry().start()
            self.registries.append(registry)
            await registry.put(
                *(
                    row(s.name, s.port, ZONES[i // self.rack % len(ZONES)], cell=i // self.rack + 1)
                    for i, s in enumerate(shapes)
                )
            )
            file = self.folder / f"tier-{tier}.json"
            file.write_bytes(
                msgspec.json.encode(
                    TierShape(tier, shapes, str(self.folder / f"seen-{tier}.json"), self.seed * 10 + tier)
                )
            )
            self.processes[TIERS[tier]] = subprocess.Popen(
                [sys.executable, "-m", "honeywharf.standins.tiers", str(file)]
            )
        names = list(self.proxies())
        self.notes = dict(zip(names, node.free_ports(len(names)), strict=True))
        self.network = NotesNetwork(self.notes, self.notes_loss, self.seed)
        self.hubs = await self.network.start()
        for name in names:
            self.start_proxy(name)
        await asyncio.gather(*(self.ready(port) for port, _, _ in self.proxies().values()))

    def start_proxy(self, name: str) -> None:
        """Start one proxy, or start it again."""
        port, tier, zone = self.proxies()[name]
        peers = [f"127.0.0.1:{hub}" for other, hub in self.hubs.items() if other != name]
        (self.folder / f"{name}.toml").write_text(
            f'[traces]\nfile = "{self.folder}/{name}.jsonl"\nrate = {self.rate}\n'
            f'notes = "127.0.0.1:{self.notes[name]}"\npeers = {peers!r}\n'
        )
        conf = self.folder / f"{name}.json"
        told = {
            **SETTINGS,
            "tier": tier,
            "zone": zone,
            "bounds": {**SETTINGS["bounds"], "mostTries": self.tries[tier]},
        }
        conf.write_bytes(
            msgspec.json.encode(node.configuration(told, self.registries[tier].port, port=port, name=name))
        )
        own = ["-c", PROXY, str(self.clock_s if name == "entry-1" else 0.0)]
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                [*self.command, *own],
                stdout=log,
                stderr=log,
                env={"NODE_CONFIG": str(conf), "HONEYWHARF_FEATURES": str(self.folder / f"{name}.toml")},
            )

    async def ready(self, port: int) -> None:
        """Wait until the proxy there takes requests."""
        async with asyncio.timeout(30.0):
            while True:
                if await exchange(
                    [], port, b"GET /health/ready HTTP/1.1\r\nHost: p\r\nConnection: close\r\n\r\n"
                ) == (200, b""):
                    return
                await asyncio.sleep(0.05)

    async def ask(self, requests: int, per_s: float, connections: int = 24) -> None:
        """So many orders through the entry proxies, at most so many a second."""
        begun, taken = time.monotonic(), 0
        rng = random.Random(self.seed)

        async def client(number: int) -> None:
            nonlocal taken
            idle: dict[str, list[tuple[asyncio.StreamReader, asyncio.StreamWriter]]] = {}
            while taken < requests:
                i, taken = taken, taken + 1
                wait = begun + i / per_s - time.monotonic()
                if wait > 0.0:
                    await asyncio.sleep(wait)
                proxy = list(self.entries)[(i + number) % 2]
                name, now = f"c{self.seed}-{i}", time.monotonic()
                tenant = rng.choice(("acme", "forest", "harbour"))
                status, _ = await exchange(
                    idle.setdefault(proxy, []),
                    self.entries[proxy],
                    (
                        f"POST /api/tile HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: {name}\r\n"
                        f"X-Service-Class: {CLASS}\r\nX-Account: {tenant}\r\nX-Time-Left: 2500m\r\n"
                        f"Idempotency-Key: {name}\r\nContent-Length: 0\r\n\r\n"
                    ).encode(),
                )
                self.asked.append(Asked(name, proxy, status, now))
                if status <= 0:
                    await asyncio.sleep(0.1)
            for pairs in idle.values():
                for _, writer in pairs:
                    writer.close()

        await asyncio.gather(*(client(i) for i in range(connections)))

    async def kill(self, name: str, back_s: float) -> None:
        """Kill a proxy outright, and start it again after a while."""
        self.killed[name] = time.monotonic()
        self.processes[name].kill()
        await asyncio.to_thread(self.processes[name].wait)
        await asyncio.sleep(back_s)
        self.start_proxy(name)
        await self.ready(self.proxies()[name][0])

    async def stop(self) -> None:
        """End the proxies, then the nodes, so that both write what they hold."""
        proxies = [p for name, p in self.processes.items() if name not in TIERS]
        for group in (proxies, [self.processes[t] for t in TIERS if t in self.processes]):
            for process in group:
                process.send_signal(signal.SIGTERM)
            for process in group:
                with suppress(subprocess.TimeoutExpired):
                    await asyncio.to_thread(process.wait, 10.0)
                if process.poll() is None:
                    process.kill()
        if self.network is not None:
            self.network.stop()
        for registry in self.registries:
            await registry.stop()

    def files(self) -> list[Path]:
        """The proxies' traces."""
        return sorted([*self.folder.glob("*.jsonl"), *self.folder.glob("*.jsonl.1")])

    def seen(self) -> list[Seen]:
        """What all nodes have seen."""
        return [
            seen
            for tier in range(3)
            for seen in msgspec.json.decode((self.folder / f"seen-{tier}.json").read_bytes(), type=list[Seen])
        ]


async def nodes(file: Path) -> None:
    """The nodes of one tier until SIGTERM; then their record."""
    shape = msgspec.json.decode(file.read_bytes(), type=TierShape)
    record: list[Seen] = []
    for i, one in enumerate(shape.nodes):
        await TierNode(one, shape.tier, shape.seed * 100 + i, record).start()
    ended = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, ended.set)
    await ended.wait()
    Path(shape.record).write_bytes(msgspec.json.encode(record))


def main() -> None:
    """The process of one tier's nodes."""
    import uvloop

    uvloop.run(nodes(Path(sys.argv[1])))


if __name__ == "__main__":
    main()
