"""Fixtures of the sidecar tests: a manual clock, a source with fake gates, a scripted backend."""

from __future__ import annotations

import heapq
import json
from collections.abc import Callable
from random import Random
from typing import Any, cast

from honeywharf.codecs.heads import RequestHead
from honeywharf.mesh_config.routes import Route, RoutingTable
from honeywharf.mesh_config.settings import Settings, parse
from honeywharf.sidecar.backend import BackendConnectionPool
from honeywharf.sidecar.gate import Gate
from honeywharf.sidecar.inbound import Inbound, InboundRequest
from honeywharf.sidecar.lifetime import Lifetime
from honeywharf.sidecar.mesh_state import MeshStateReplica
from honeywharf.sidecar.outbound import Outbound
from honeywharf.sidecar.outbound_request import OutboundRequest
from honeywharf.sidecar.source import Source
from honeywharf.simulation.deployment import APPLICATION, OUTBOUND, settings as settings_text
from honeywharf.simulation.machine import Machine, Network, Process
from honeywharf.simulation.world import World
from honeywharf.transport.host import Address, Connection, Handler, Host
from honeywharf.transport.stream import ForwardedRequest
from honeywharf.verdict import Verdict

IP, ZONE, SERVICE = "10.1.0.8", "tartu-saal", "order-desk"
INSTANCE = "i-7f3a91c2"
ATTEMPT = b"9c41d07be2a35f68"


def settings(ip: str = IP) -> Settings:
    """A sidecar's settings."""
    return parse(settings_text(ip, ZONE, ["10.1.0.12"], True, SERVICE))


# A manual clock.


class ScheduledCall:
    """A call scheduled on a manual clock."""

    def __init__(self, call: Callable[[], None]) -> None:
        self.call: Callable[[], None] | None = call

    def cancel(self) -> None:
        """Cancels the call."""
        self.call = None


class ManualClock:
    """The part of a host that code without I/O needs: time and timers, moved by the test."""

    def __init__(self) -> None:
        self.time, self.serial = 100.0, 0
        self.heap: list[tuple[float, int, ScheduledCall]] = []

    def now(self) -> float:
        """Returns the time in seconds."""
        return self.time

    def after(self, seconds: float, call: Callable[[], None]) -> ScheduledCall:
        """Schedules a call."""
        due = ScheduledCall(call)
        self.serial += 1
        heapq.heappush(self.heap, (self.time + seconds, self.serial, due))
        return due

    def move(self, seconds: float) -> None:
        """Moves the time forward and makes the calls that are due."""
        until = self.time + seconds
        while self.heap and self.heap[0][0] <= until:
            when, _, due = heapq.heappop(self.heap)
            self.time = max(self.time, when)
            if due.call is not None:
                call, due.call = due.call, None
                call()
        self.time = until

    def pending(self) -> int:
        """Returns the number of timers that are not cancelled."""
        return sum(due.call is not None for _, _, due in self.heap)


# A source with fake gates.


class FakeChannel:
    """Records what an outbound request sends to one gate."""

    def __init__(self, key: str, forwarded: ForwardedRequest, outbound_request: OutboundRequest) -> None:
        self.key, self.forwarded, self.outbound_request = key, forwarded, outbound_request
        self.body = bytearray()
        self.ends = self.answer_bytes_forwarded = 0
        self.cancelled = False
        self.on_data: Callable[[bytes], None] = lambda data: None
        self.on_window: Callable[[], None] = lambda: None

    def data(self, data: bytes) -> None:
        """Records a part of the request's body."""
        assert not self.cancelled
        assert not self.ends, "a part of the body behind its end"
        self.body += data
        self.on_data(data)

    def end(self) -> None:
        """Counts the ends of the body."""
        self.ends += 1

    def window(self, size: int) -> None:
        """Counts the bytes of the answer that were forwarded."""
        self.answer_bytes_forwarded += size
        self.on_window()

    def cancel(self) -> None:
        """Notes the cancellation."""
        assert not self.cancelled
        self.cancelled = True


class FakeSource(Source):
    """A source that records each attempt instead of sending it; `script` may answer from within."""

    def __init__(self, clock: ManualClock | Host, seed: int = 1) -> None:
        host = cast("Host", clock)
        mesh_state = MeshStateReplica(host, cast("Any", None), list, lambda: None)
        super().__init__(host, settings(), mesh_state, cast("Inbound", None), Random(seed).random, Lifetime())
        self.channels: list[FakeChannel] = []
        self.retry_decisions: list[bool] = []
        self.allow_retries = True
        self.script: Callable[[FakeChannel], bool] = lambda channel: True
        self.links.link_to = None  # type: ignore[assignment,method-assign]

    def list_gates(self, *keys: str, zone: str = ZONE) -> None:
        """Makes gates known."""
        for key in keys:
            self.update_backend(key, {"s": SERVICE, "b": f"i-{key}", "st": 1, "sl": 8}, zone)

    def open(
        self, key: str, forwarded: ForwardedRequest, outbound_request: OutboundRequest
    ) -> FakeChannel | None:
        """Records an attempt; None where the script says that the link has no room."""
        channel = FakeChannel(key, forwarded, outbound_request)
        self.channels.append(channel)
        return channel if self.script(channel) else None

    def spend_retry(self, service: str) -> bool:
        """Allows a retry if the test does."""
        self.retry_decisions.append(self.allow_retries)
        return self.allow_retries


TABLE = json.dumps(
    {
        "config-version": "r7",
        "routes": [
            {
                "name": f"r-{kind}",
                "hostname": "shop.example",
                "path-prefix": f"/{kind}/",
                "route-kind": kind,
                "timeout": "3000ms",
                "target-latency": "500ms",
                "priority": 1,
                "target-service": SERVICE,
                "max-attempts": 2,
            }
            for kind in ("read_only", "mutating", "upload")
        ],
        "services": [
            {"name": SERVICE, "health-check-path": "/health", "max-connections": 20, "cold-per-s": 22.0}
        ],
        "limits": {
            "max-header-bytes": 8192,
            "max-body-bytes": 8 << 20,
            "header-timeout": "1s",
            "idle-timeout": "2s",
        },
    }
).encode()


class HttpClient:
    """A client's connection to the outbound address; records the bytes received."""

    def __init__(self, host: Process, to: Address) -> None:
        self.host = host
        self.data = b""
        self.close_reason: str | None = None
        self.closed_at = 0.0
        self.half = False
        self.connection = host.connect(to, lambda connection: self)

    def send(self, data: bytes) -> None:
        """Sends bytes."""
        self.connection.send(data)

    def answers(self) -> list[tuple[int, bytes, bytes]]:
        """Returns status, head and body of all answers; fails where an answer is incomplete."""
        made, rest = [], self.data
        while rest:
            top, end, rest = rest.partition(b"\r\n\r\n")
            assert end, f"bytes that are no answer: {top[:80]!r}"
            size = int(top.partition(b"Content-Length: ")[2].partition(b"\r\n")[0] or b"-1")
            if size < 0:
                assert b"Transfer-Encoding: chunked" in top
                body = b""
                while (line := rest.partition(b"\r\n"))[0] != b"0":
                    step = int(line[0], 16)
                    body, rest = body + line[2][:step], line[2][step + 2 :]
                rest = rest[5:]
            else:
                assert len(rest) >= size
                body, rest = rest[:size], rest[size:]
            made.append((int(top.split(b" ", 2)[1]), top, body))
        return made

    def statuses(self) -> list[int]:
        """Returns the statuses of all answers."""
        return [status for status, _, _ in self.answers()]

    def opened(self) -> None:
        """Does nothing."""

    def received(self, data: bytes) -> None:
        """Records bytes of answers."""
        self.data += data

    def ended(self) -> None:
        """Closes the connection: the sidecar has closed its sending half."""
        self.half = True
        self.connection.close()

    def drained(self) -> None:
        """Does nothing."""

    def closed(self, why: str) -> None:
        """Notes the end of the connection."""
        self.close_reason, self.closed_at = why, self.host.world.now


class OutboundSetup:
    """One machine with an outbound address over fake gates, and clients on it."""

    def __init__(self, seed: int = 1) -> None:
        self.world = World(seed)
        self.world.strict = True
        self.machine = Machine(Network(self.world), IP, ZONE)
        self.sidecar = Process(self.machine, "sidecar", self._sidecar)
        self.client = Process(self.machine, "client", lambda host: None)
        self.sidecar.start()
        self.client.start()
        self.run(0.1)

    def _sidecar(self, host: Process) -> Outbound:
        source = FakeSource(host)
        source.mesh_state.table = RoutingTable(TABLE)
        source.mesh_state.ready = True
        source.list_gates("10.1.0.20", "10.1.0.21")
        return Outbound(host, (IP, OUTBOUND), source.mesh_state, source)

    @property
    def outbound(self) -> Outbound:
        """The object under test."""
        return cast("Outbound", self.sidecar.program)

    @property
    def source(self) -> FakeSource:
        """The source of its requests."""
        return cast("FakeSource", self.outbound.source)

    @property
    def channels(self) -> list[FakeChannel]:
        """The attempts made so far."""
        return self.source.channels

    def call(self, data: bytes = b"", seconds: float = 0.01) -> HttpClient:
        """Connects a client and sends bytes."""
        caller = HttpClient(self.client, (IP, OUTBOUND))
        caller.send(data)
        self.run(seconds)
        return caller

    def shut_down(self, ends_after_s: float, accepts_all_for_s: float) -> None:
        """Begins a shutdown whose times count from now."""
        now = self.sidecar.now()
        self.source.lifetime.plan_end(now + ends_after_s, now + accepts_all_for_s)
        self.outbound.drain()

    def run(self, seconds: float = 0.01) -> None:
        """Lets time pass; an exception in a program fails the test."""
        self.world.run(self.world.now + seconds)
        assert not self.world.crashes, self.world.crashes[0][2]


class RecordingClient:
    """Records the answer of an outbound request. `ends` counts the calls that end it."""

    def __init__(self) -> None:
        self.events: list[tuple[object, ...]] = []
        self.body = b""
        self.ends = self.taken_times = 0

    def final(
        self, outbound_request: OutboundRequest, status: int, retry_after_s: float, words: bytes
    ) -> None:
        """Notes an answer of the mesh's own."""
        self.events.append(("final", status, retry_after_s))
        self.ends += 1

    def answer(
        self, outbound_request: OutboundRequest, status: int, fields: bytes, length: int, body: bytes | None
    ) -> None:
        """Notes a backend's answer."""
        self.events.append(("answer", status))
        if body is not None:
            self.body += body
            self.ends += 1

    def data(self, outbound_request: OutboundRequest, data: bytes) -> None:
        """Records a part of the answer's body."""
        assert not self.ends
        self.body += data

    def whole(self, outbound_request: OutboundRequest) -> None:
        """Notes that the answer is complete."""
        self.events.append(("whole",))
        self.ends += 1

    def broken(self, outbound_request: OutboundRequest) -> None:
        """Notes that the answer broke off."""
        self.events.append(("broken",))
        self.ends += 1

    def body_forwarded(self, outbound_request: OutboundRequest) -> None:
        """Counts the calls."""
        self.taken_times += 1


def route(kind: str = "read_only", attempts: int = 2, target_s: float = 0.5, timeout_s: float = 3.0) -> Route:
    """Returns a route to the service."""
    made = Route()
    made.name, made.host, made.prefix, made.kind = "r-1", b"shop.example", b"/orders/", kind
    made.timeout_s, made.latency_target_s, made.priority, made.max_attempts = timeout_s, target_s, 1, attempts
    made.split, made.allowed_regions = ((SERVICE, 1.0),), ()
    return made


def head(length: int = 0) -> RequestHead:
    """Returns the head of a request."""
    made = RequestHead()
    made.method, made.target, made.host = b"POST" if length else b"GET", b"/orders/2f", b"shop.example"
    made.attempt, made.length = ATTEMPT, length
    made.fields = [b"Host: shop.example\r\n", b"X-Honeywharf-Attempt-Id: %b\r\n" % ATTEMPT]
    return made


def forwarded_request(
    kind: int = 0,
    length: int = 0,
    remaining_s: float = 1.0,
    queue_wait_s: float = 0.0,
    method: bytes = b"",
    attempt: bytes = ATTEMPT,
    service: str = SERVICE,
    priority: int = 1,
) -> ForwardedRequest:
    """Returns a request as a source forwards it."""
    fields = b"Host: shop.example\r\nX-Honeywharf-Attempt-Id: %b\r\n" % attempt
    return ForwardedRequest(
        service=service,
        attempt_id=attempt,
        kind=kind,
        remaining_s=remaining_s,
        max_queue_wait_s=queue_wait_s,
        priority=priority,
        latency_target_s=0.5,
        caller="tile-vault",
        method=method or (b"POST" if length else b"GET"),
        target=b"/orders/2f?a=1",
        fields=fields,
        length=length,
        revision=7,
    )


# A scripted backend on a simulated machine.


class ReceivedRequest:
    """A request as the scripted backend read it."""

    def __init__(self, line: bytes, headers: dict[bytes, bytes], body: bytes) -> None:
        self.line, self.headers, self.body = line, headers, body

    @property
    def attempt(self) -> bytes:
        """The attempt id."""
        return self.headers[b"x-honeywharf-attempt-id"]


class ScriptedConnection:
    """A connection at the scripted backend, with a reader independent of the one under test."""

    def __init__(self, backend: ScriptedBackend, connection: Connection) -> None:
        self.backend, self.connection = backend, connection
        self.raw = b""
        self.bytes = 0
        self.requests: list[ReceivedRequest] = []
        self.close_reason: str | None = None

    def opened(self) -> None:
        """Does nothing."""

    def received(self, data: bytes) -> None:
        """Reads bytes of requests."""
        self.bytes += len(data)
        if self.backend.read is not None:
            self.backend.read(self, data)
            return
        self.raw += data
        while (request := self._cut()) is not None:
            self.requests.append(request)
            self.backend.requests.append(request)
            self.backend.serve(self, request)

    def _cut(self) -> ReceivedRequest | None:
        top, end, rest = self.raw.partition(b"\r\n\r\n")
        if not end:
            return None
        line, *lines = top.split(b"\r\n")
        assert line.endswith(b" HTTP/1.1"), f"not a request: {line[:60]!r}"
        headers = {}
        for each in lines:
            name, _, value = each.partition(b": ")
            assert name.lower() not in headers, f"{name!r} stands twice"
            headers[name.lower()] = value
        if headers.get(b"transfer-encoding") == b"chunked":
            found = self._chunks(rest)
            if found is None:
                return None
            body, self.raw = found
        else:
            size = int(headers.get(b"content-length", b"0"))
            if len(rest) < size:
                return None
            body, self.raw = rest[:size], rest[size:]
        return ReceivedRequest(line, headers, body)

    @staticmethod
    def _chunks(rest: bytes) -> tuple[bytes, bytes] | None:
        body = b""
        while True:
            line, end, rest = rest.partition(b"\r\n")
            if not end or len(rest) < int(line, 16) + 2:
                return None
            size = int(line, 16)
            assert rest[size : size + 2] == b"\r\n"
            body, rest = body + rest[:size], rest[size + 2 :]
            if not size:
                return body, rest

    def send(self, data: bytes) -> None:
        """Sends bytes."""
        self.connection.send(data)

    def ended(self) -> None:
        """Closes the connection: the sidecar has closed its sending half."""
        self.connection.close()

    def drained(self) -> None:
        """Does nothing."""

    def closed(self, why: str) -> None:
        """Notes the end of the connection."""
        self.close_reason = why


def answer(
    attempt: bytes,
    body: bytes = b"done",
    status: int = 200,
    seal: bool = True,
    more: bytes = b"",
    chunked: bool = False,
) -> bytes:
    """Returns a backend's answer."""
    sealed = b"X-Honeywharf-Server-Seal: 3e1b.07\r\n" if seal else b""
    top = b"HTTP/1.1 %d OK\r\nX-Honeywharf-Attempt-Id: %b\r\n%b%b" % (status, attempt, sealed, more)
    if chunked:
        parts = [body[n : n + 9000] for n in range(0, len(body), 9000)]
        chunks = b"".join(b"%x\r\n%b\r\n" % (len(p), p) for p in parts)
        return top + b"Transfer-Encoding: chunked\r\n\r\n" + chunks + b"0\r\n\r\n"
    return top + b"Content-Length: %d\r\n\r\n%b" % (len(body), body)


class ScriptedBackend:
    """Listens at the application's address; the test sets `serve`."""

    def __init__(self, host: Process) -> None:
        self.host = host
        self.accepted: list[ScriptedConnection] = []
        self.requests: list[ReceivedRequest] = []
        self.serve: Callable[[ScriptedConnection, ReceivedRequest], None] = self.usual
        self.read: Callable[[ScriptedConnection, bytes], None] | None = (
            None  # takes the bytes instead of the reader
        )
        host.listen((host.machine.ip, APPLICATION), self._accept)

    def _accept(self, connection: Connection) -> Handler:
        scripted = ScriptedConnection(self, connection)
        self.accepted.append(scripted)
        return scripted

    def usual(self, scripted: ScriptedConnection, request: ReceivedRequest) -> None:
        """Answers with success."""
        scripted.send(answer(request.attempt))

    @property
    def open(self) -> int:
        """The number of open connections."""
        return sum(scripted.close_reason is None for scripted in self.accepted)


class RecordingResponder:
    """Records the outcome of an inbound request."""

    def __init__(self) -> None:
        self.events: list[tuple[Any, ...]] = []
        self.body = b""
        self.windows = self.ends = 0
        self.verdict: Verdict | None = None
        self.on_go: Callable[[], None] = lambda: None

    def admit(self) -> None:
        """Notes the admission."""
        self.events.append(("go",))
        self.on_go()

    def window(self, size: int) -> None:
        """Counts the bytes granted."""
        self.windows += size

    def answer(
        self, status: int, fields: bytes, length: int, load: tuple[int, int, int], body: bytes | None
    ) -> None:
        """Notes the answer, or its head."""
        assert not self.ends
        self.events.append(("answer", status, length, body is not None))
        if body is not None:
            self.body += body
            self.ends += 1

    def data(self, data: bytes) -> None:
        """Records a part of the answer's body."""
        assert not self.ends
        self.body += data

    def complete(self) -> None:
        """Notes that the answer is complete."""
        assert not self.ends
        self.events.append(("whole",))
        self.ends += 1

    def fail(self, verdict: Verdict, load: tuple[int, int, int]) -> None:
        """Notes the verdict."""
        assert not self.ends
        self.events.append(("fail", verdict.ran, verdict.why, verdict.reached_backend))
        self.verdict = verdict
        self.ends += 1


def make_inbound(host: Process, slots: int = 4, connections: int = 20) -> Inbound:
    """Returns the inbound side of a machine: a gate whose backend is ready, and connections to it."""
    gate = Gate(host.now(), SERVICE, 1.5, 5.0)
    gate.warmup.needs_check = False  # as after a first health check
    gate.set_slow_start(22.0)
    gate.heartbeat(host.now(), INSTANCE, 1, False, slots, 0.0)
    pool = BackendConnectionPool(host, (host.machine.ip, APPLICATION), lambda: None)
    pool.most = connections
    return Inbound(host, gate, pool, Lifetime())


class InboundSetup:
    """One machine with a gate, its inbound requests and a scripted backend, in a strict simulation."""

    def __init__(self, seed: int = 1, slots: int = 4, connections: int = 20) -> None:
        self.world = World(seed)
        self.world.strict = True
        self.network = Network(self.world)
        self.machine = Machine(self.network, IP, ZONE)
        self.sidecar = Process(self.machine, "sidecar", self._sidecar)
        self.app = Process(self.machine, "app", ScriptedBackend)
        self.slots, self.connections = slots, connections
        self.sidecar.start()
        self.app.start()
        self.run(2.0)  # the slow-start window that a new gate takes as used up is over

    def _sidecar(self, host: Process) -> Inbound:
        return make_inbound(host, self.slots, self.connections)

    @property
    def inbound(self) -> Inbound:
        """The inbound side under test."""
        return cast("Inbound", self.sidecar.program)

    @property
    def gate(self) -> Gate:
        """The gate."""
        return self.inbound.gate

    @property
    def backend(self) -> ScriptedBackend:
        """The scripted backend."""
        return cast("ScriptedBackend", self.app.program)

    def begin(
        self, request: ForwardedRequest, answers: RecordingResponder | None = None
    ) -> tuple[InboundRequest, RecordingResponder]:
        """Begins one inbound request."""
        kept = answers or RecordingResponder()
        return self.inbound.begin(request, kept), kept

    def run(self, seconds: float = 0.2) -> None:
        """Lets time pass; an exception in a program fails the test."""
        self.world.run(self.world.now + seconds)
        assert not self.world.crashes, self.world.crashes[0][2]
