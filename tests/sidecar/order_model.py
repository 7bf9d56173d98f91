"""One client's order over two sidecars, under every single fault and every pair of faults.

Theory of operation. `TwoSidecars` is two machines on the simulated network, each with a sidecar (the
program's own classes, without a control plane) and a backend of one service; the client runs on the first. A
schedule is a tuple of faults, each with the number of the delivery before which it happens. Deliveries are
bytes, acknowledgements of connections and ends on the connections that carry the order, so a fault can happen
between any two frames. These faults cover what a TCP connection can do to a frame: it arrives; it is late (a
short partition, a frozen process); it is lost with all that follows it (a long partition, one way or both, a
reset of both ends or of one). Nothing below the sidecars sends a frame twice, so frames are doubled only
where a program does it: a backend that answers twice, and the client that retries after a 503 or the like.

`play` runs a schedule to its end and lists what is wrong:

    TWICE    more than one complete request of the order reached a backend that runs it
    REFUSED  the client got 429, 503, 408 or 421 for an attempt that has run, or that ran later
    MIXED    an answer was not that of the request it was read for, or came where none was due
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from itertools import count
from typing import Any, NamedTuple, cast

from honeywharf.mesh_config.routes import RoutingTable
from honeywharf.sidecar.backend import BackendConnectionPool
from honeywharf.sidecar.gate import Gate
from honeywharf.sidecar.inbound import Inbound
from honeywharf.sidecar.lifetime import Lifetime
from honeywharf.sidecar.mesh_state import MeshStateReplica
from honeywharf.sidecar.outbound import Outbound
from honeywharf.sidecar.shutdown import Shutdown
from honeywharf.sidecar.source import Source
from honeywharf.simulation.deployment import APPLICATION, INTERNAL, OUTBOUND, SIGTERM
from honeywharf.simulation.http_peer import Caller, Message, text
from honeywharf.simulation.machine import RESET, End, Machine, Network, Process
from honeywharf.simulation.world import World
from honeywharf.transport.framing import FrameReader
from honeywharf.transport.host import Connection, Handler
from honeywharf.transport.link_server import LinkServer
from honeywharf.transport.rpc_client import RpcClient as RpcCaller
from honeywharf.transport.rpc_server import RpcServer
from honeywharf.transport.stream import MAX_FRAME
from tests.sidecar.fixtures import (
    SERVICE,
    TABLE,
    ZONE,
    ReceivedRequest,
    ScriptedBackend,
    ScriptedConnection,
    answer,
    settings,
)
from tests.simulation.mutants import wrong

SOURCE, DESTINATION = "10.1.0.8", "10.1.0.20"
START_S, LENGTH_S = 2.0, 9.0  # start of the client, and time from then to the end of the run
DEADLINE_S = 2.0  # time that the client has for the order
WORK_S = 0.05  # time that a backend needs for one request
GRACE_S = 0.5  # from SIGTERM to the end of a process; ends before the deadline
SHORT_S, LONG_S = 0.4, 4.5  # duration of a fault: less, and more, than any timeout
PROMISES = (408, 421, 429, 503)
MAX_ATTEMPTS = 3  # bounds the client
GIVEN_UP_S = 0.04  # a deadline before any backend answers
SHORT_BYTES = 8192  # largest body that arrives with one read


class Scene(NamedTuple):
    """The requests that the client sends.

    `size`: bytes of the order's body. `local`: the gate of the client's own sidecar is tried first. `before`:
    the state of another request, sent first, when the order is sent: "pipelined" (unanswered, on the same
    connection), "answered", or "given up" (its deadline has passed).
    """

    name: str
    method: str = "POST"
    size: int = 5
    local: bool = False
    before: str = ""


SCENES = (
    Scene("short body"),
    Scene("no body", "DELETE", 0),
    Scene("long body", size=20_000),
    Scene("own backend first", local=True),
    Scene("behind another request", before="pipelined"),
    Scene("after another's answer", before="answered"),
    Scene("after one given up", before="given up"),
)


class Fault(NamedTuple):
    """A fault: `what` happens just before delivery number `step`."""

    step: int
    what: str


#: Faults before a delivery. Names of processes: a, b (sidecars), x, y (the backends beside them).
CUTS = {
    f"cut {way} {span}": (way, seconds)
    for way in ("a-b", "b-a", "both")
    for span, seconds in (("short", SHORT_S), ("long", LONG_S))
}
RESETS = ("reset both ends", "reset the sender", "reset the receiver")
KILLS = tuple(f"kill {name}" for name in "abxy")
TERMS = ("terminate a", "terminate b")
FREEZES = {
    f"freeze {name} {span}": (name, seconds)
    for name in "ab"
    for span, seconds in (("short", SHORT_S), ("long", LONG_S))
}
FAULTS = (*CUTS, *RESETS, *KILLS, *TERMS, *FREEZES)
#: How both backends treat their first request; they answer all later ones normally.
MANNERS = (
    "well",
    "turned away",
    "failed",
    "cut",
    "half",
    "twice",
    "twice late",
    "another's",
    "garbled",
    "silent",
)


class OrderBackend(ScriptedBackend):
    """A backend that runs every complete request; the first answer is in the schedule's manner."""

    def __init__(self, host: Process, deployment: TwoSidecars) -> None:
        super().__init__(host)
        self.deployment, self.instance = deployment, f"i-{host.machine.ip}-{host.incarnation}"
        self.serve = self._take
        deployment.send_first_heartbeat(host.machine.ip, self.instance)

    def _take(self, scripted: ScriptedConnection, request: ReceivedRequest) -> None:
        manner, self.deployment.manner = self.deployment.manner, "well"
        attempt = request.attempt
        if manner == "turned away":
            scripted.send(answer(attempt, b"full", 503, False, b"X-Honeywharf-Not-Executed: 1\r\n"))
            return
        self.deployment.runs.append(attempt.decode())
        self.host.after(WORK_S, lambda: self._answer(scripted, attempt, manner))

    def _answer(self, scripted: ScriptedConnection, attempt: bytes, manner: str) -> None:
        if scripted.close_reason is not None:
            return
        whole = answer(attempt, b"done " + attempt)
        if manner == "failed":
            scripted.send(answer(attempt, b"error", 500))
        elif manner == "cut":
            scripted.connection.abort()
        elif manner == "half":
            scripted.send(whole[:-3])
            scripted.connection.close()
        elif manner == "twice":
            scripted.send(whole + whole)
        elif manner == "twice late":
            scripted.send(whole)
            self.host.after(0.01, lambda: scripted.send(whole))
        elif manner == "another's":
            scripted.send(answer(b"nobody", b"done nobody") + whole)
        elif manner == "garbled":
            scripted.send(b"\x00\x01garbled " + whole)
        elif manner == "well":
            scripted.send(whole)


class SidecarUnderTest:
    """A sidecar made of the program's classes; it knows both gates and learns of no others."""

    def __init__(self, host: Process, deployment: TwoSidecars) -> None:
        own, ip = settings(host.machine.ip), host.machine.ip
        self.host, self.deployment = host, deployment
        self.gate = Gate(host.now(), SERVICE, 1.5, 5.0)
        self.gate.warmup.needs_check = False  # as after a first health check
        self.gate.set_slow_start(22.0)
        pool = BackendConnectionPool(host, (ip, APPLICATION), lambda: None)
        lifetime = Lifetime()
        self.inbound = Inbound(host, self.gate, pool, lifetime)
        self.inbound.set_link_speed(own.link_mbps)
        mesh_state = MeshStateReplica(host, RpcCaller(host), list, lambda: None)
        mesh_state.table, mesh_state.ready, mesh_state.revision = RoutingTable(TABLE), True, 7
        self.source = Source(host, own, mesh_state, self.inbound, lambda: 0.0, lifetime)
        self.source.retry_slack = 100.0  # large, so that the retry budget prevents no retry
        answerer = RpcServer({}, self._streams)
        host.listen((ip, INTERNAL), answerer.accept)
        self.outbound = Outbound(host, (ip, OUTBOUND), mesh_state, self.source)
        self.shutdown = Shutdown(
            host,
            GRACE_S,
            self.source,
            self.inbound,
            self.outbound,
            gate_closed=lambda: None,
            ended=lambda: None,
        )
        host.on_signal(SIGTERM, self.shutdown.begin)
        for gate in deployment.gates():
            self.source.update_backend(gate, {"s": SERVICE, "b": f"i-{gate}", "st": 1, "sl": 4}, ZONE)
        instance = deployment.instance(ip)
        if instance:
            self.gate.heartbeat(host.now(), instance, 1, False, 4, 0.0)

    def _streams(self, connection: Connection, reader: FrameReader, frames: list[Any]) -> Handler:
        reader.max_frame = MAX_FRAME
        return LinkServer(connection, reader, frames, self.inbound.begin)


class ClientAttempt:
    """One request of the client and its answer. `message` is None where the connection ended."""

    def __init__(self, attempt: str) -> None:
        self.attempt, self.over = attempt, False
        self.message: Message | None = None


class Client:
    """Sends the order, and retries it where PROTOCOL allows; matches answers to requests."""

    def __init__(self, host: Process, deployment: TwoSidecars) -> None:
        self.host, self.deployment = host, deployment
        self.attempts: list[ClientAttempt] = []
        self.other_attempt: ClientAttempt | None = None
        self.unread = False  # whether an answer closed the connection before a pipelined request was read
        self.until = host.world.now + DEADLINE_S
        before = deployment.scene.before
        if before:
            self.other_attempt = ClientAttempt("o1")
            caller = self._connect()
            within = GIVEN_UP_S if before == "given up" else DEADLINE_S
            caller.send_request(
                self.other_attempt, self._bytes(self.other_attempt, "GET", "read_only", 0, within)
            )
        if before in ("", "pipelined"):
            self._send(caller if before else None)

    def _connect(self) -> Caller:
        return Caller(self.host, (SOURCE, OUTBOUND), self._answered, self.deployment.report_mixed)

    def _send(self, caller: Caller | None = None) -> None:
        left = self.until - self.host.world.now
        if left <= 0 or len(self.attempts) >= MAX_ATTEMPTS:
            return
        scene, used = self.deployment.scene, caller or self._connect()
        client_attempt = ClientAttempt(f"t{len(self.attempts) + 1}")
        self.attempts.append(client_attempt)
        kind = "upload" if scene.size > SHORT_BYTES else "mutating"
        used.send_request(client_attempt, self._bytes(client_attempt, scene.method, kind, scene.size, left))
        self.host.after(left, lambda: None if client_attempt.over else used.close())

    def _bytes(self, client_attempt: ClientAttempt, method: str, kind: str, size: int, left: float) -> bytes:
        headers = {
            "Host": "shop.example",
            "X-Honeywharf-Attempt-Id": client_attempt.attempt,
            "X-Honeywharf-Deadline-Remaining": max(1, round(left * 1000)),
        }
        return text(f"{method} /{kind}/x HTTP/1.1", headers, b"x" * size)

    def _answered(self, tag: Any, message: Message | None) -> None:
        client_attempt = cast("ClientAttempt", tag)
        client_attempt.over, client_attempt.message = True, message
        if message is not None:
            self._check(client_attempt, message)
        if client_attempt is self.other_attempt:
            closes = message is not None and message.headers.get("connection") == "close"
            if self.deployment.scene.before == "pipelined":
                self.unread = closes
            else:
                self._send()
        elif message is None and self.unread:
            self.unread = False
            self._send()
        elif message is not None and promises_not_run(message):
            left = self.until - self.host.world.now
            wait = min(float(message.headers.get("retry-after", 0)), left / 3)
            self.host.after(max(0.0, wait) + 0.01, self._send)

    def _check(self, client_attempt: ClientAttempt, message: Message) -> None:
        sealed = "x-honeywharf-server-seal" in message.headers
        if message.status < 300 and not (
            sealed and message.body == f"done {client_attempt.attempt}".encode()
        ):
            self.deployment.report_mixed(
                f"{client_attempt.attempt} was answered {message.status} {message.body[:40]!r}"
            )


def promises_not_run(message: Message) -> bool:
    """Whether an answer promises that its request has not run and never will."""
    return "x-honeywharf-server-seal" not in message.headers and message.status in PROMISES


class TwoSidecarsWorld(World):
    """The simulation of one `TwoSidecars`."""

    def __init__(self, seed: int, deployment: TwoSidecars) -> None:
        super().__init__(seed)
        self.deployment = deployment


class TwoSidecars:
    """The deployment of one schedule, with what its backends ran and what was wrong."""

    def __init__(self, scene: Scene, manner: str = "well", faults: tuple[Fault, ...] = ()) -> None:
        self.scene, self.manner = scene, manner
        self.due = {fault.step: fault.what for fault in faults}
        self.steps = count()
        self.last = -1  # the number of the last delivery
        self.begun = False
        self.runs: list[str] = []
        self.wrong: list[str] = []
        self.world = TwoSidecarsWorld(1, self)
        self.world.strict = True
        self.network = Network(self.world)
        machines = [Machine(self.network, ip, ZONE) for ip in (SOURCE, DESTINATION)]
        proxies = [
            Process(machine, f"proxy-{machine.ip}", lambda host: SidecarUnderTest(host, self))
            for machine in machines
        ]
        backends = [
            Process(machine, f"backend-{machine.ip}", lambda host: OrderBackend(host, self))
            for machine in machines
        ]
        self.client = Process(machines[0], "client", lambda host: Client(host, self))
        self.processes = dict(zip("abxy", (*proxies, *backends), strict=True))
        for process in self.processes.values():
            process.start()

    def gates(self) -> tuple[str, ...]:
        """Returns the sidecars' addresses, the one tried first in front."""
        return (SOURCE, DESTINATION) if self.scene.local else (DESTINATION, SOURCE)

    def instance(self, ip: str) -> str:
        """Returns the instance of the backend beside a sidecar; empty without one."""
        process = self.processes["x" if ip == SOURCE else "y"]
        return process.program.instance if isinstance(process.program, OrderBackend) else ""

    def send_first_heartbeat(self, ip: str, instance: str) -> None:
        """Sends a backend's first heartbeat."""
        program = self.processes["a" if ip == SOURCE else "b"].program
        if isinstance(program, SidecarUnderTest):
            program.gate.heartbeat(program.host.now(), instance, 1, False, 4, 0.0)

    def report_mixed(self, what: str) -> None:
        """Notes an answer that the client must not have read."""
        self.wrong.append(f"MIXED: {what}")

    # Faults.

    def deliver(self, end: End, item: bytes | int | str, go_on: Callable[[End, Any], None]) -> None:
        """Applies the fault due before a delivery, then makes the delivery."""
        if not self.begun or isinstance(item, int):
            go_on(end, item)
            return
        self.last = next(self.steps)
        what = self.due.pop(self.last, "")
        if what:
            self._apply_fault(what, end)
        go_on(end, item)

    def _apply_fault(self, what: str, end: End) -> None:
        world, other = self.world, end.other
        if what in CUTS:
            way, seconds = CUTS[what]
            pairs = [(SOURCE, DESTINATION)] * (way != "b-a") + [(DESTINATION, SOURCE)] * (way != "a-b")
            self.network.cut(pairs)
            world.at(world.now + seconds, self.network.remove_cuts, pairs)
        elif what in RESETS:
            if what != "reset the receiver":
                end.receive(RESET)
            if what != "reset the sender" and other is not None:
                other.receive(RESET)
        elif what in FREEZES:
            name, seconds = FREEZES[what]
            self.processes[name].freeze()
            world.at(world.now + seconds, self.processes[name].thaw)
        else:
            verb, name = what.split()
            process = self.processes[name]
            if verb == "kill":
                process.kill()
            else:
                process.signal(SIGTERM)

    # The run.

    def statuses(self) -> list[int]:
        """Returns the statuses of the client's attempts; 0 where a connection ended."""
        program = self.client.program
        assert isinstance(program, Client)
        return [
            0 if client_attempt.message is None else client_attempt.message.status
            for client_attempt in program.attempts
        ]

    def run(self) -> None:
        """Runs the schedule to its end and fills `wrong`."""
        self.world.run(START_S)
        self.begun = True
        self.client.start()
        self.world.run(START_S + LENGTH_S)
        self.wrong += [f"CRASH: {trace}" for _, _, trace in self.world.crashes]
        client = self.client.program
        assert isinstance(client, Client)
        order = [run for run in self.runs if run != "o1"]
        if len(order) > 1:
            self.wrong.append(f"TWICE: {order}")
        for client_attempt in client.attempts:
            status = 0 if client_attempt.message is None else client_attempt.message.status
            if (
                client_attempt.message is not None
                and promises_not_run(client_attempt.message)
                and client_attempt.attempt in self.runs
            ):
                self.wrong.append(f"REFUSED: {client_attempt.attempt} got {status} and ran")


@contextmanager
def watched() -> Iterator[None]:
    """Passes each delivery of a `TwoSidecars` through its `deliver`."""
    was = End._deliver

    def arrive(end: End, item: bytes | int | str) -> None:
        world = end.process.world
        if isinstance(world, TwoSidecarsWorld):
            world.deployment.deliver(end, item, was)
        else:
            was(end, item)

    with wrong(lambda put: put(End, "_deliver", arrive)):
        yield


def play(scene: Scene, manner: str = "well", faults: tuple[Fault, ...] = ()) -> TwoSidecars:
    """Plays one schedule to its end."""
    deployment = TwoSidecars(scene, manner, faults)
    deployment.run()
    return deployment


def singles(scene: Scene, manner: str) -> Iterator[tuple[Fault, ...]]:
    """Yields no fault, and each fault at each step of a run without faults."""
    yield ()
    for step in range(play(scene, manner).last + 1):
        for what in FAULTS:
            yield (Fault(step, what),)


def pairs(scene: Scene, manner: str, first: Fault) -> Iterator[tuple[Fault, ...]]:
    """Yields a first fault with each further one at each later step of a run with the first."""
    for step in range(first.step + 1, play(scene, manner, (first,)).last + 1):
        for what in FAULTS:
            yield (first, Fault(step, what))
