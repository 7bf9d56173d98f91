"""What the tests of the sidecar share: a clock by hand, a source with scripted gates, a scripted backend."""

from __future__ import annotations

import heapq
import json
from collections.abc import Callable
from random import Random
from typing import Any, cast

from honeywharf.codecs.heads import Head
from honeywharf.mesh_config.routes import Route, RoutingTable
from honeywharf.mesh_config.settings import Settings, parse
from honeywharf.sidecar.backend import Taps
from honeywharf.sidecar.course import Course
from honeywharf.sidecar.gate import Gate
from honeywharf.sidecar.inbound import Inbound, Job
from honeywharf.sidecar.mesh_state import Word
from honeywharf.sidecar.outbound import Outbound
from honeywharf.sidecar.source import Source
from honeywharf.simulation.deployment import APPLICATION, OUTBOUND, settings as settings_text
from honeywharf.simulation.machine import Machine, Network, Process
from honeywharf.simulation.world import World
from honeywharf.transport.host import Address, Connection, Handler, Host
from honeywharf.transport.stream import ForwardedRequest
from honeywharf.verdict import Verdict

IP, ZONE, SERVICE = "10.1.0.8", "tartu-saal", "order-desk"
LIFE = "i-7f3a91c2"
ATTEMPT = b"9c41d07be2a35f68"


def settings(ip: str = IP) -> Settings:
    """A sidecar's settings."""
    return parse(settings_text(ip, ZONE, ["10.1.0.12"], True, SERVICE))


# A clock by hand.


class Due:
    """A call that is due at a time of a clock."""

    def __init__(self, call: Callable[[], None]) -> None:
        self.call: Callable[[], None] | None = call

    def cancel(self) -> None:
        """Do not call."""
        self.call = None


class Clock:
    """The part of a host that rules need: time and timers, moved by hand."""

    def __init__(self) -> None:
        self.time, self.serial = 100.0, 0
        self.heap: list[tuple[float, int, Due]] = []

    def now(self) -> float:
        """Seconds."""
        return self.time

    def after(self, seconds: float, call: Callable[[], None]) -> Due:
        """Call once, when the clock is moved that far."""
        due = Due(call)
        self.serial += 1
        heapq.heappush(self.heap, (self.time + seconds, self.serial, due))
        return due

    def move(self, seconds: float) -> None:
        """Move on and call what is due on the way."""
        until = self.time + seconds
        while self.heap and self.heap[0][0] <= until:
            when, _, due = heapq.heappop(self.heap)
            self.time = max(self.time, when)
            if due.call is not None:
                call, due.call = due.call, None
                call()
        self.time = until

    def pending(self) -> int:
        """Timers that would still call."""
        return sum(due.call is not None for _, _, due in self.heap)


# A source whose gates are scripted.


class Channel:
    """The way to a scripted gate, and what came over it."""

    def __init__(self, key: str, ask: ForwardedRequest, course: Course) -> None:
        self.key, self.ask, self.course = key, ask, course
        self.body = bytearray()
        self.ends = self.passed = 0
        self.cancelled = False
        self.on_data: Callable[[bytes], None] = lambda data: None

    def data(self, data: bytes) -> None:
        """A part of the body."""
        assert not self.cancelled
        assert not self.ends, "a part of the body behind its end"
        self.body += data
        self.on_data(data)

    def end(self) -> None:
        """The body is whole."""
        self.ends += 1

    def window(self, size: int) -> None:
        """Bytes of the answer have gone on."""
        self.passed += size

    def cancel(self) -> None:
        """Nobody waits any more."""
        assert not self.cancelled
        self.cancelled = True


class Scripted(Source):
    """A source that asks no real gate: each ask is kept, and `script` may answer from within."""

    def __init__(self, clock: Clock | Host, seed: int = 1) -> None:
        host = cast("Host", clock)
        word = Word(host, cast("Any", None), list, lambda: None)
        super().__init__(host, settings(), word, cast("Inbound", None), Random(seed).random)
        self.channels: list[Channel] = []
        self.took_spends: list[bool] = []
        self.may_spend = True
        self.script: Callable[[Channel], bool] = lambda channel: True
        self.links.link_to = None  # type: ignore[assignment,method-assign]

    def list_gates(self, *keys: str, zone: str = ZONE) -> None:
        """Make gates known."""
        for key in keys:
            self.told(key, {"s": SERVICE, "b": f"i-{key}", "st": 1, "sl": 8}, zone)

    def open(self, key: str, ask: ForwardedRequest, course: Course) -> Channel | None:
        """Keep the ask; None where the script says that the link has no room."""
        channel = Channel(key, ask, course)
        self.channels.append(channel)
        return channel if self.script(channel) else None

    def spend(self, service: str) -> bool:
        """As the test says."""
        self.took_spends.append(self.may_spend)
        return self.may_spend


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


class Caller:
    """A client's connection to the outbound address; what came back, read as it came."""

    def __init__(self, host: Process, to: Address) -> None:
        self.host = host
        self.data = b""
        self.gone: str | None = None
        self.closed_at = 0.0
        self.half = False
        self.connection = host.connect(to, lambda connection: self)

    def send(self, data: bytes) -> None:
        """Send bytes of whatever kind."""
        self.connection.send(data)

    def answers(self) -> list[tuple[int, bytes, bytes]]:
        """Status, head and body of all whole answers; what is left over must be nothing."""
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
        """Statuses of all answers."""
        return [status for status, _, _ in self.answers()]

    def opened(self) -> None:
        """It is up."""

    def received(self, data: bytes) -> None:
        """Bytes of answers."""
        self.data += data

    def ended(self) -> None:
        """The sidecar sends nothing more."""
        self.half = True
        self.connection.close()

    def drained(self) -> None:
        """All has gone."""

    def closed(self, why: str) -> None:
        """It is gone."""
        self.gone, self.closed_at = why, self.host.world.now


class Front:
    """One machine with an outbound address over scripted gates, and clients on it."""

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
        source = Scripted(host)
        source.word.table = RoutingTable(TABLE)
        source.word.ready = True
        source.list_gates("10.1.0.20", "10.1.0.21")
        return Outbound(host, (IP, OUTBOUND), source.word, source)

    @property
    def outbound(self) -> Outbound:
        """What is tested."""
        return cast("Outbound", self.sidecar.program)

    @property
    def source(self) -> Scripted:
        """Its source."""
        return cast("Scripted", self.outbound.source)

    @property
    def channels(self) -> list[Channel]:
        """What the gates were asked."""
        return self.source.channels

    def call(self, data: bytes = b"", seconds: float = 0.01) -> Caller:
        """Connect and send."""
        caller = Caller(self.client, (IP, OUTBOUND))
        caller.send(data)
        self.run(seconds)
        return caller

    def run(self, seconds: float = 0.01) -> None:
        """Let time pass; a fault of a program fails the test."""
        self.world.run(self.world.now + seconds)
        assert not self.world.crashes, self.world.crashes[0][2]


class Client:
    """Where a course's answer goes: kept. `ends` counts what ends a request."""

    def __init__(self) -> None:
        self.events: list[tuple[object, ...]] = []
        self.body = b""
        self.ends = self.taken_times = 0

    def final(self, course: Course, status: int, again_s: float, words: bytes) -> None:
        """An answer of the mesh's own."""
        self.events.append(("final", status, again_s))
        self.ends += 1

    def answer(self, course: Course, status: int, fields: bytes, length: int, body: bytes | None) -> None:
        """A backend's answer."""
        self.events.append(("answer", status))
        if body is not None:
            self.body += body
            self.ends += 1

    def data(self, course: Course, data: bytes) -> None:
        """A part of it."""
        assert not self.ends
        self.body += data

    def whole(self, course: Course) -> None:
        """It is whole."""
        self.events.append(("whole",))
        self.ends += 1

    def broken(self, course: Course) -> None:
        """It breaks off."""
        self.events.append(("broken",))
        self.ends += 1

    def taken(self, course: Course) -> None:
        """More may be read."""
        self.taken_times += 1


def route(kind: str = "read_only", attempts: int = 2, aim_s: float = 0.5, timeout_s: float = 3.0) -> Route:
    """One route to the service."""
    made = Route()
    made.name, made.host, made.prefix, made.kind = "r-1", b"shop.example", b"/orders/", kind
    made.timeout_s, made.latency_target_s, made.priority, made.max_attempts = timeout_s, aim_s, 1, attempts
    made.split, made.allowed_regions = ((SERVICE, 1.0),), ()
    return made


def head(length: int = 0) -> Head:
    """The head of one request."""
    made = Head()
    made.method, made.target, made.host = b"POST" if length else b"GET", b"/orders/2f", b"shop.example"
    made.attempt, made.length = ATTEMPT, length
    made.fields = [b"Host: shop.example\r\n", b"X-Honeywharf-Attempt-Id: %b\r\n" % ATTEMPT]
    return made


def ask(
    kind: int = 0,
    length: int = 0,
    remaining_s: float = 1.0,
    patience_s: float = 0.0,
    method: bytes = b"",
    attempt: bytes = ATTEMPT,
    service: str = SERVICE,
    priority: int = 1,
) -> ForwardedRequest:
    """What a source asks."""
    fields = b"Host: shop.example\r\nX-Honeywharf-Attempt-Id: %b\r\n" % attempt
    return ForwardedRequest(
        service=service,
        attempt_id=attempt,
        kind=kind,
        remaining_s=remaining_s,
        max_queue_wait_s=patience_s,
        priority=priority,
        latency_target_s=0.5,
        caller="tile-vault",
        method=method or (b"POST" if length else b"GET"),
        target=b"/orders/2f?a=1",
        fields=fields,
        length=length,
        revision=7,
    )


# A backend by script, on a simulated machine.


class Request:
    """One whole request as a backend read it."""

    def __init__(self, line: bytes, headers: dict[bytes, bytes], body: bytes) -> None:
        self.line, self.headers, self.body = line, headers, body

    @property
    def attempt(self) -> bytes:
        """Its attempt id."""
        return self.headers[b"x-honeywharf-attempt-id"]


class Visit:
    """One connection at the scripted backend. Its reader is not the one under test."""

    def __init__(self, backend: Backend, connection: Connection) -> None:
        self.backend, self.connection = backend, connection
        self.raw = b""
        self.bytes = 0
        self.requests: list[Request] = []
        self.gone: str | None = None

    def opened(self) -> None:
        """Not called."""

    def received(self, data: bytes) -> None:
        """Bytes of requests."""
        self.bytes += len(data)
        if self.backend.read is not None:
            self.backend.read(self, data)
            return
        self.raw += data
        while (request := self._cut()) is not None:
            self.requests.append(request)
            self.backend.requests.append(request)
            self.backend.serve(self, request)

    def _cut(self) -> Request | None:
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
        return Request(line, headers, body)

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
        """Send bytes of whatever kind."""
        self.connection.send(data)

    def ended(self) -> None:
        """The sidecar sends nothing more."""
        self.connection.close()

    def drained(self) -> None:
        """All has gone."""

    def closed(self, why: str) -> None:
        """It is gone."""
        self.gone = why


def answer(
    attempt: bytes,
    body: bytes = b"done",
    status: int = 200,
    seal: bool = True,
    more: bytes = b"",
    chunked: bool = False,
) -> bytes:
    """A backend's answer."""
    sealed = b"X-Honeywharf-Server-Seal: 3e1b.07\r\n" if seal else b""
    top = b"HTTP/1.1 %d OK\r\nX-Honeywharf-Attempt-Id: %b\r\n%b%b" % (status, attempt, sealed, more)
    if chunked:
        parts = [body[n : n + 9000] for n in range(0, len(body), 9000)]
        chunks = b"".join(b"%x\r\n%b\r\n" % (len(p), p) for p in parts)
        return top + b"Transfer-Encoding: chunked\r\n\r\n" + chunks + b"0\r\n\r\n"
    return top + b"Content-Length: %d\r\n\r\n%b" % (len(body), body)


class Backend:
    """Listens at the application's address; `serve` is the test's."""

    def __init__(self, host: Process) -> None:
        self.host = host
        self.visits: list[Visit] = []
        self.requests: list[Request] = []
        self.serve: Callable[[Visit, Request], None] = self.usual
        self.read: Callable[[Visit, bytes], None] | None = None  # takes bytes before they make a request
        host.listen((host.machine.ip, APPLICATION), self._accept)

    def _accept(self, connection: Connection) -> Handler:
        visit = Visit(self, connection)
        self.visits.append(visit)
        return visit

    def usual(self, visit: Visit, request: Request) -> None:
        """Answer with success."""
        visit.send(answer(request.attempt))

    @property
    def open(self) -> int:
        """Connections that are up."""
        return sum(visit.gone is None for visit in self.visits)


class Answers:
    """Where a job's outcome goes: kept."""

    def __init__(self) -> None:
        self.events: list[tuple[Any, ...]] = []
        self.body = b""
        self.windows = self.ends = 0
        self.verdict: Verdict | None = None
        self.on_go: Callable[[], None] = lambda: None

    def admit(self) -> None:
        """It is admitted."""
        self.events.append(("go",))
        self.on_go()

    def window(self, size: int) -> None:
        """Bytes of the request's body have gone on."""
        self.windows += size

    def answer(
        self, status: int, fields: bytes, length: int, load: tuple[int, int, int], body: bytes | None
    ) -> None:
        """The answer, whole, or its head."""
        assert not self.ends
        self.events.append(("answer", status, length, body is not None))
        if body is not None:
            self.body += body
            self.ends += 1

    def data(self, data: bytes) -> None:
        """A part of it."""
        assert not self.ends
        self.body += data

    def complete(self) -> None:
        """It is whole."""
        assert not self.ends
        self.events.append(("whole",))
        self.ends += 1

    def fail(self, verdict: Verdict, load: tuple[int, int, int]) -> None:
        """No answer comes."""
        assert not self.ends
        self.events.append(("fail", verdict.ran, verdict.why, verdict.arrived))
        self.verdict = verdict
        self.ends += 1


class Stage:
    """One machine with a gate, its inbound jobs, and a scripted backend; a strict simulated world."""

    def __init__(self, seed: int = 1, slots: int = 4, connections: int = 20) -> None:
        self.world = World(seed)
        self.world.strict = True
        self.network = Network(self.world)
        self.machine = Machine(self.network, IP, ZONE)
        self.sidecar = Process(self.machine, "sidecar", self._sidecar)
        self.app = Process(self.machine, "app", Backend)
        self.slots, self.connections = slots, connections
        self.sidecar.start()
        self.app.start()
        self.run(2.0)  # what a fresh gate takes as used up is over

    def _sidecar(self, host: Process) -> Inbound:
        gate = Gate(host.now(), SERVICE, 1.5, 5.0)
        gate.bound(22.0)
        taps = Taps(host, (IP, APPLICATION), lambda: None)
        taps.most = self.connections
        gate.beat(host.now(), LIFE, 1, False, self.slots, 0.0)
        return Inbound(host, gate, taps)

    @property
    def inbound(self) -> Inbound:
        """The jobs."""
        return cast("Inbound", self.sidecar.program)

    @property
    def gate(self) -> Gate:
        """The gate."""
        return self.inbound.gate

    @property
    def backend(self) -> Backend:
        """The scripted backend."""
        return cast("Backend", self.app.program)

    def begin(self, request: ForwardedRequest, answers: Answers | None = None) -> tuple[Job, Answers]:
        """Begin one job."""
        kept = answers or Answers()
        return self.inbound.begin(request, kept), kept

    def run(self, seconds: float = 0.2) -> None:
        """Let time pass; a fault of a program fails the test."""
        self.world.run(self.world.now + seconds)
        assert not self.world.crashes, self.world.crashes[0][2]
