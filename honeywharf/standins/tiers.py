"""Three tiers of nodes on loopback, which call each other through proxies and record all requests.

Nodes of `tile-front` call nodes of `tile-render`, which call nodes of `tile-store`. Each node has a proxy for
its calls; clients use two entry proxies.

    clients -> entry-0, entry-1 -> front nodes -> a proxy each -> render nodes -> a proxy each -> store nodes

The nodes of a tier share a process (`python -m honeywharf.standins.tiers FILE`), which writes its record at
SIGTERM. A node makes one or two consecutive calls to the next tier, propagates the trace context (unless it
`drops` it) and fails if a call fails.
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
SECOND_CALL_SHARE = 0.3  # Share of requests with two calls to the next tier.
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
PROXY_PROGRAM = (
    "import sys, time; real = time.time; off = float(sys.argv.pop(1)); time.time = lambda: real() + off;"
    " from honeywharf.__main__ import main; sys.exit(main())"
)  # Runs the proxy with an offset of its wall clock.


class ServedRequest(msgspec.Struct, array_like=True):
    """One request at one node: the span of the caller, the status, and the calls to the next tier."""

    id: str
    tier: int
    node: str
    trace_id: str
    span_id: str
    status: int
    calls: list[tuple[str, int]] = []
    dropped: bool = False  # Whether the trace context was not propagated.


class ClientRequest(msgspec.Struct, array_like=True):
    """One request of a client. `status` is 0 if the connection broke, -1 if it was refused."""

    id: str
    proxy: str
    status: int
    begun_s: float


class NodeShape(msgspec.Struct):
    """One node: its port, the port of its proxy (0 in the last tier) and its faults."""

    name: str
    port: int
    proxy: int = 0
    errors: float = 0.0
    drops: bool = False
    work_ms: float = 0.0


class TierShape(msgspec.Struct):
    """The nodes of one process, and the file for their record."""

    tier: int
    nodes: list[NodeShape]
    record: str
    seed: int


class TierNode:
    """A running node."""

    def __init__(self, shape: NodeShape, tier: int, seed: int, record: list[ServedRequest]) -> None:
        self.shape, self.tier, self.record = shape, tier, record
        self.random = random.Random(seed)
        self.idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        self.serial = 0

    async def start(self) -> None:
        """Listens on its port of 127.0.0.1."""
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
        served = ServedRequest(
            name, self.tier, self.shape.name, parent[3:35], parent[36:52], 200, dropped=self.shape.drops
        )
        self.record.append(served)
        started, traceresponse = time.monotonic(), b""
        if self.shape.work_ms:
            await asyncio.sleep(self.shape.work_ms * self.random.uniform(0.5, 1.5) / 1000.0)
        if self.random.random() < self.shape.errors:
            served.status = 500
        elif self.shape.proxy:
            left_ms = float(headers.get(b"x-time-left", b"0m")[:-1])
            if headers.get(b"x-time-left", b"0m")[-1:] == b"u":
                left_ms /= 1000.0
            for number in range(2 if self.random.random() < SECOND_CALL_SHARE else 1):
                if served.status == 200:
                    self.serial += 1
                    call = f"{self.shape.name}.{self.serial}"
                    key = headers.get(b"idempotency-key", b"").decode() + f"/{number}"
                    elapsed_ms = (time.monotonic() - started) * 1000.0
                    status, response_trace = await self._call(call, key, left_ms - elapsed_ms, headers)
                    if response_trace and not self.shape.drops and not traceresponse.endswith(b"-01"):
                        traceresponse = response_trace  # A traceresponse with the sampled flag is kept.
                    served.calls.append((call, status))
                    served.status = 200 if status == 200 else 500
        extra_headers = (b"traceresponse: " + traceresponse,) if traceresponse else ()
        return reply(served.status, b"tile" if served.status == 200 else b"", *extra_headers)

    async def _call(
        self,
        name: str,
        key: str,
        left_ms: float,
        request_headers: dict[bytes, bytes],
    ) -> tuple[int, bytes]:
        """Sends one call to the next tier. Returns as `exchange` does."""
        lines = [
            f"POST /api/tile HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: {name}\r\n"
            f"X-Service-Class: {CLASS}\r\nX-Account: {request_headers.get(b'x-account', b'').decode()}\r\n"
            f"X-Time-Left: {max(1.0, left_ms):.0f}m\r\nIdempotency-Key: {key}\r\nContent-Length: 0\r\n"
        ]
        if not self.shape.drops:
            lines += [
                f"{k.decode()}: {request_headers[k].decode()}\r\n"
                for k in (b"traceparent", b"tracestate")
                if k in request_headers
            ]
        return await exchange(self.idle, self.shape.proxy, "".join(lines).encode() + b"\r\n")


async def exchange(
    idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]],
    port: int,
    data: bytes,
) -> tuple[int, bytes]:
    """Sends one request on an idle or new connection. Returns its status and its `traceresponse`.

    The status is 0 if the connection broke, -1 if it was refused.
    """
    while True:  # The proxy may close an idle connection at any time.
        is_new = not idle
        try:
            connection = await asyncio.open_connection("127.0.0.1", port) if is_new else idle.pop()
        except OSError:
            return -1, b""
        try:
            connection[1].write(data)
            status_line, headers, _ = await read_message(connection[0])
        except (asyncio.IncompleteReadError, ConnectionError):
            if is_new:
                return 0, b""
            continue
        if headers.get(b"connection") == b"close":
            connection[1].close()
        else:
            idle.append(connection)
        return int(status_line.split()[1]), headers.get(b"traceresponse", b"")


class NotesNetwork:
    """Relays UDP datagrams between proxies by a socket for each, and loses a share of them.

    Counts the trace notes that each proxy received and missed.
    """

    def __init__(self, ports: dict[str, int], loss: float, seed: int) -> None:
        self.ports, self.loss, self.random = ports, loss, random.Random(seed)
        self.names = {port: name for name, port in ports.items()}
        self.sockets: dict[str, asyncio.DatagramTransport] = {}
        self.delivered = self.lost = 0
        self.received: Counter[tuple[str, str]] = Counter()  # Keys are receiving proxy and trace id.
        self.missed: Counter[tuple[str, str]] = Counter()  # Keys are receiving proxy and trace id.

    async def start(self) -> dict[str, int]:
        """Opens the sockets. Returns for each proxy the port at which the others reach it."""
        loop, ports_by_name = asyncio.get_running_loop(), {}
        for name in self.ports:
            transport, _ = await loop.create_datagram_endpoint(
                lambda name=name: _RelaySocket(self, name),  # type: ignore[misc]
                local_addr=("127.0.0.1", 0),
            )
            self.sockets[name] = transport
            ports_by_name[name] = transport.get_extra_info("sockname")[1]
        return ports_by_name

    def forward(self, to: str, data: bytes, port: int) -> None:
        """Forwards a datagram from the proxy at `port` to the proxy `to`."""
        sender = self.names.get(port)
        if sender is None:
            return
        lost = self.random.random() < self.loss
        for i in range(4, len(data), 16):
            (self.missed if lost else self.received)[to, data[i : i + 16].hex()] += 1
        if lost:
            self.lost += 1
            return
        self.delivered += 1
        self.sockets[sender].sendto(data, ("127.0.0.1", self.ports[to]))

    def stop(self) -> None:
        """Closes all sockets."""
        for transport in self.sockets.values():
            transport.close()


class _RelaySocket(asyncio.DatagramProtocol):
    def __init__(self, network: NotesNetwork, name: str) -> None:
        self.network, self.name = network, name

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self.network.forward(self.name, data, addr[1])


class TieredFleet:
    """Registries, nodes, proxies, clients and their records."""

    def __init__(
        self,
        folder: Path,
        *,
        seed: int = 1,
        fronts: int = 3,
        renders: int = 3,
        stores: int = 6,
        errors: float = 0.001,
        faulty_node: str = "",
        faulty_errors: float = 0.3,
        drops: bool = False,
        clock_s: float = 0.0,
        notes_loss: float = 0.0,
        rate: float = 0.01,
        work_ms: float = 0.0,
        rack: int = 2,
        max_attempts: tuple[int, int, int] = (4, 4, 4),
        command: list[str] | None = None,
    ) -> None:
        self.rack = rack  # Nodes of a cell; keyed requests are retried in their cell.
        self.folder, self.seed, self.rate, self.clock_s = folder, seed, rate, clock_s
        self.notes_loss, self.max_attempts = notes_loss, max_attempts
        self.command = command or [sys.executable]
        ports = node.free_ports(2 * fronts + 2 * renders + stores + 2)
        self.nodes: list[list[NodeShape]] = []
        for tier, number in enumerate((fronts, renders, stores)):
            shapes = []
            for i in range(number):
                name = f"{TIERS[tier].removeprefix('tile-')}-{i}"
                shape = NodeShape(name, ports.pop(), ports.pop() if tier < 2 else 0, work_ms=work_ms)
                if tier == 2:
                    shape.errors = faulty_errors if name == faulty_node else errors
                shapes.append(shape)
            self.nodes.append(shapes)
        self.nodes[0][-1].drops = drops
        self.entries = {f"entry-{i}": ports.pop() for i in range(2)}
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.registries: list[Registry] = []
        self.network: NotesNetwork | None = None
        self.notes: dict[str, int] = {}
        self.relay_ports: dict[str, int] = {}
        self.client_requests: list[ClientRequest] = []
        self.killed: dict[str, float] = {}

    def proxies(self) -> dict[str, tuple[int, int, str]]:
        """Returns port, tier and zone of each proxy by name."""
        by_name = {name: (port, 0, ZONES[i]) for i, (name, port) in enumerate(self.entries.items())}
        for tier in (0, 1):
            for i, shape in enumerate(self.nodes[tier]):
                by_name[f"p-{shape.name}"] = (shape.proxy, tier + 1, ZONES[i % len(ZONES)])
        return by_name

    async def start(self) -> None:
        """Starts everything and waits until the proxies are ready."""
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
        self.relay_ports = await self.network.start()
        for name in names:
            self.start_proxy(name)
        await asyncio.gather(*(self.ready(port) for port, _, _ in self.proxies().values()))

    def start_proxy(self, name: str) -> None:
        """Starts or restarts a proxy."""
        port, tier, zone = self.proxies()[name]
        peers = [f"127.0.0.1:{relay_port}" for other, relay_port in self.relay_ports.items() if other != name]
        (self.folder / f"{name}.toml").write_text(
            f'[traces]\nfile = "{self.folder}/{name}.jsonl"\nrate = {self.rate}\n'
            f'notes = "127.0.0.1:{self.notes[name]}"\npeers = {peers!r}\n'
        )
        conf = self.folder / f"{name}.json"
        settings = {
            **SETTINGS,
            "tier": tier,
            "zone": zone,
            "bounds": {**SETTINGS["bounds"], "mostTries": self.max_attempts[tier]},
        }
        conf.write_bytes(
            msgspec.json.encode(
                node.configuration(settings, self.registries[tier].port, port=port, name=name)
            )
        )
        arguments = ["-c", PROXY_PROGRAM, str(self.clock_s if name == "entry-1" else 0.0)]
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                [*self.command, *arguments],
                stdout=log,
                stderr=log,
                env={"NODE_CONFIG": str(conf), "HONEYWHARF_FEATURES": str(self.folder / f"{name}.toml")},
            )

    async def ready(self, port: int) -> None:
        """Waits until the proxy at a port is ready. TimeoutError after 30 s."""
        async with asyncio.timeout(30.0):
            while True:
                if await exchange(
                    [], port, b"GET /health/ready HTTP/1.1\r\nHost: p\r\nConnection: close\r\n\r\n"
                ) == (200, b""):
                    return
                await asyncio.sleep(0.05)

    async def send_requests(self, requests: int, per_s: float, connections: int = 24) -> None:
        """Sends `requests` orders through the entry proxies, at most `per_s` a second."""
        started, sent = time.monotonic(), 0
        rng = random.Random(self.seed)

        async def client(number: int) -> None:
            nonlocal sent
            idle: dict[str, list[tuple[asyncio.StreamReader, asyncio.StreamWriter]]] = {}
            while sent < requests:
                i, sent = sent, sent + 1
                wait = started + i / per_s - time.monotonic()
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
                self.client_requests.append(ClientRequest(name, proxy, status, now))
                if status <= 0:
                    await asyncio.sleep(0.1)
            for connections_of_proxy in idle.values():
                for _, writer in connections_of_proxy:
                    writer.close()

        await asyncio.gather(*(client(i) for i in range(connections)))

    async def kill(self, name: str, back_s: float) -> None:
        """Kills a proxy by SIGKILL and restarts it after `back_s`."""
        self.killed[name] = time.monotonic()
        self.processes[name].kill()
        await asyncio.to_thread(self.processes[name].wait)
        await asyncio.sleep(back_s)
        self.start_proxy(name)
        await self.ready(self.proxies()[name][0])

    async def stop(self) -> None:
        """Stops the proxies, then the nodes, by SIGTERM, so that both write their records."""
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

    def trace_files(self) -> list[Path]:
        """Returns the trace files of the proxies."""
        return sorted([*self.folder.glob("*.jsonl"), *self.folder.glob("*.jsonl.1")])

    def served_requests(self) -> list[ServedRequest]:
        """Returns the records of all nodes."""
        return [
            served
            for tier in range(3)
            for served in msgspec.json.decode(
                (self.folder / f"seen-{tier}.json").read_bytes(), type=list[ServedRequest]
            )
        ]


async def serve_nodes(file: Path) -> None:
    """Runs the nodes of one tier until SIGTERM, then writes their record."""
    shape = msgspec.json.decode(file.read_bytes(), type=TierShape)
    record: list[ServedRequest] = []
    for i, node_shape in enumerate(shape.nodes):
        await TierNode(node_shape, shape.tier, shape.seed * 100 + i, record).start()
    ended = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, ended.set)
    await ended.wait()
    Path(shape.record).write_bytes(msgspec.json.encode(record))


def main() -> None:
    """Runs the nodes that the file in the first argument describes."""
    import uvloop

    uvloop.run(serve_nodes(Path(sys.argv[1])))


if __name__ == "__main__":
    main()
