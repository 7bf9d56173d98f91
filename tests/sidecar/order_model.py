"""One order of a client over two proxies, under every single fault and every pair of them.

Theory of operation. A `Pair` is two machines on the simulated network, each with a proxy (the program's own
classes, without a control plane) and a backend of one service; the client sits on the first. A schedule is a
tuple of faults. Each names a step and what happens there: the step is the number of a delivery (bytes, an
acknowledgement of a connection, an end) on the connections that carry the order, so a fault can strike
between any two frames. What a TCP connection can do to a frame is covered by these: it arrives; it is late
(a short cut, a frozen process); it is lost with all that follows it (a long cut, one way or both, a reset of
both ends or of one). Nothing below the proxies sends a frame twice, so frames are doubled only where
a program does it: a backend that answers twice, and the client that tries again after a promise.

`play` runs a schedule to its end and lists what is wrong:

    TWICE    more than one whole request of the order reached a backend that runs it
    REFUSED  the client was told 429, 503, 408 or 421 for a try that has run, or that ran later
    MIXED    an answer was not the one of the request it was read for, or came where nothing waited
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from itertools import count
from typing import Any, NamedTuple, cast

from honeywharf.mesh_config.routes import RoutingTable
from honeywharf.sidecar.backend import Taps
from honeywharf.sidecar.gate import Gate
from honeywharf.sidecar.inbound import Inbound
from honeywharf.sidecar.mesh_state import Word
from honeywharf.sidecar.outbound import Outbound
from honeywharf.sidecar.shutdown import Shutdown
from honeywharf.sidecar.source import Source
from honeywharf.simulation.actors import Caller, Message, text
from honeywharf.simulation.deployment import APPLICATION, INTERNAL, OUTBOUND, SIGTERM
from honeywharf.simulation.machine import RESET, End, Machine, Network, Process
from honeywharf.simulation.world import World
from honeywharf.transport.framing import FrameReader
from honeywharf.transport.host import Connection, Handler
from honeywharf.transport.link_server import LinkServer
from honeywharf.transport.rpc_client import RpcClient as RpcCaller
from honeywharf.transport.rpc_server import RpcServer
from honeywharf.transport.stream import MAX_FRAME
from tests.sidecar.stage import SERVICE, TABLE, ZONE, Backend, Request, Visit, answer, settings
from tests.simulation.mutants import wrong

SOURCE, DESTINATION = "10.1.0.8", "10.1.0.20"
START_S, LENGTH_S = 2.0, 9.0  # the client begins; the run ends so long after it
DEADLINE_S = 2.0  # of the order
WORK_S = 0.05  # of a backend on one request
GRACE_S = 0.5  # from SIGTERM to the end of a process: less than the deadline, so that it can strike first
SHORT_S, LONG_S = 0.4, 4.5  # a fault that is over before anybody gives up, and one that is not
PROMISES = (408, 421, 429, 503)
MAX_TRIES = 3  # of the client
GIVEN_UP_S = 0.04  # of a request that no backend answers so soon
SHORT_BYTES = 8192  # of a body that comes with one read


class Scene(NamedTuple):
    """What the client sends.

    `size`: bytes of the order's body. `local`: the gate beside the client's own proxy is asked first.
    `before`: what becomes of another request that the client sends first: nothing yet ("pipelined", the order
    follows it on its connection), an answer ("answered", the order follows that), or a deadline ("given up").
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
    """One trouble: `what` happens just before delivery number `step`."""

    step: int
    what: str


#: What may happen before a delivery. Names of processes: a, b (proxies), x, y (the backends beside them).
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
#: How both backends treat the first request that they get; the rest they answer well.
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


class OrderBackend(Backend):
    """A backend that runs whatever comes whole, and answers in the manner of the schedule once."""

    def __init__(self, host: Process, pair: Pair) -> None:
        super().__init__(host)
        self.pair, self.life = pair, f"i-{host.machine.ip}-{host.incarnation}"
        self.serve = self._take
        pair.tell_gate(host.machine.ip, self.life)

    def _take(self, visit: Visit, request: Request) -> None:
        manner, self.pair.manner = self.pair.manner, "well"
        attempt = request.attempt
        if manner == "turned away":
            visit.send(answer(attempt, b"full", 503, False, b"X-Honeywharf-Not-Executed: 1\r\n"))
            return
        self.pair.runs.append(attempt.decode())
        self.host.after(WORK_S, lambda: self._answer(visit, attempt, manner))

    def _answer(self, visit: Visit, attempt: bytes, manner: str) -> None:
        if visit.gone is not None:
            return
        whole = answer(attempt, b"done " + attempt)
        if manner == "failed":
            visit.send(answer(attempt, b"error", 500))
        elif manner == "cut":
            visit.connection.abort()
        elif manner == "half":
            visit.send(whole[:-3])
            visit.connection.close()
        elif manner == "twice":
            visit.send(whole + whole)
        elif manner == "twice late":
            visit.send(whole)
            self.host.after(0.01, lambda: visit.send(whole))
        elif manner == "another's":
            visit.send(answer(b"nobody", b"done nobody") + whole)
        elif manner == "garbled":
            visit.send(b"\x00\x01garbled " + whole)
        elif manner == "well":
            visit.send(whole)


class Proxy:
    """One proxy put together from the program's classes; it knows both gates and never learns of others."""

    def __init__(self, host: Process, pair: Pair) -> None:
        own, ip = settings(host.machine.ip), host.machine.ip
        self.host, self.pair = host, pair
        self.gate = Gate(host.now(), SERVICE, 1.5, 5.0)
        self.gate.bound(22.0)
        taps = Taps(host, (ip, APPLICATION), lambda: None)
        self.inbound = Inbound(host, self.gate, taps)
        self.inbound.linked(own.link_mbps)
        word = Word(host, RpcCaller(host), list, lambda: None)
        word.table, word.ready, word.revision = RoutingTable(TABLE), True, 7
        self.source = Source(host, own, word, self.inbound, lambda: 0.0)
        self.source.slack = 100.0  # the retry budget is no guard here: it never stands in the way
        answerer = RpcServer({}, self._streams)
        host.listen((ip, INTERNAL), answerer.accept)
        self.outbound = Outbound(host, (ip, OUTBOUND), word, self.source)
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
        for gate in pair.gates():
            self.source.told(gate, {"s": SERVICE, "b": f"i-{gate}", "st": 1, "sl": 4}, ZONE)
        life = pair.life(ip)
        if life:
            self.gate.beat(host.now(), life, 1, False, 4, 0.0)

    def _streams(self, connection: Connection, reader: FrameReader, frames: list[Any]) -> Handler:
        reader.max_frame = MAX_FRAME
        return LinkServer(connection, reader, frames, self.inbound.begin)


class Try:
    """One request of the client: what it was answered. `message` is None where the connection ended."""

    def __init__(self, attempt: str) -> None:
        self.attempt, self.over = attempt, False
        self.message: Message | None = None


class Client:
    """Sends the order, and again where PROTOCOL lets it; reads each answer for the request it is due for."""

    def __init__(self, host: Process, pair: Pair) -> None:
        self.host, self.pair = host, pair
        self.tries: list[Try] = []
        self.other: Try | None = None
        self.unread = False  # an answer has closed the connection: what was sent behind it was not read
        self.until = host.world.now + DEADLINE_S
        before = pair.scene.before
        if before:
            self.other = Try("o1")
            caller = self._connect()
            within = GIVEN_UP_S if before == "given up" else DEADLINE_S
            caller.send_request(self.other, self._bytes(self.other, "GET", "read_only", 0, within))
        if before in ("", "pipelined"):
            self._send(caller if before else None)

    def _connect(self) -> Caller:
        return Caller(self.host, (SOURCE, OUTBOUND), self._told, self.pair.mixed)

    def _send(self, caller: Caller | None = None) -> None:
        left = self.until - self.host.world.now
        if left <= 0 or len(self.tries) >= MAX_TRIES:
            return
        scene, used = self.pair.scene, caller or self._connect()
        made = Try(f"t{len(self.tries) + 1}")
        self.tries.append(made)
        kind = "upload" if scene.size > SHORT_BYTES else "mutating"
        used.send_request(made, self._bytes(made, scene.method, kind, scene.size, left))
        self.host.after(left, lambda: None if made.over else used.close())

    def _bytes(self, made: Try, method: str, kind: str, size: int, left: float) -> bytes:
        headers = {
            "Host": "shop.example",
            "X-Honeywharf-Attempt-Id": made.attempt,
            "X-Honeywharf-Deadline-Remaining": max(1, round(left * 1000)),
        }
        return text(f"{method} /{kind}/x HTTP/1.1", headers, b"x" * size)

    def _told(self, tag: Any, message: Message | None) -> None:
        made = cast("Try", tag)
        made.over, made.message = True, message
        if message is not None:
            self._check(made, message)
        if made is self.other:
            closes = message is not None and message.headers.get("connection") == "close"
            if self.pair.scene.before == "pipelined":
                self.unread = closes
            else:
                self._send()
        elif message is None and self.unread:
            self.unread = False
            self._send()
        elif message is not None and promised(message):
            left = self.until - self.host.world.now
            wait = min(float(message.headers.get("retry-after", 0)), left / 3)
            self.host.after(max(0.0, wait) + 0.01, self._send)

    def _check(self, made: Try, message: Message) -> None:
        sealed = "x-honeywharf-server-seal" in message.headers
        if message.status < 300 and not (sealed and message.body == f"done {made.attempt}".encode()):
            self.pair.mixed(f"{made.attempt} was answered {message.status} {message.body[:40]!r}")


def promised(message: Message) -> bool:
    """Whether an answer says that its request has not run and never will."""
    return "x-honeywharf-server-seal" not in message.headers and message.status in PROMISES


class PairWorld(World):
    """The virtual time of one `Pair`."""

    def __init__(self, seed: int, pair: Pair) -> None:
        super().__init__(seed)
        self.pair = pair


class Pair:
    """The deployment of one schedule, and what its backends and its client have seen."""

    def __init__(self, scene: Scene, manner: str = "well", faults: tuple[Fault, ...] = ()) -> None:
        self.scene, self.manner = scene, manner
        self.due = {fault.step: fault.what for fault in faults}
        self.steps = count()
        self.last = -1  # the number of the last delivery
        self.begun = False
        self.runs: list[str] = []
        self.wrong: list[str] = []
        self.world = PairWorld(1, self)
        self.world.strict = True
        self.network = Network(self.world)
        machines = [Machine(self.network, ip, ZONE) for ip in (SOURCE, DESTINATION)]
        proxies = [
            Process(machine, f"proxy-{machine.ip}", lambda host: Proxy(host, self)) for machine in machines
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
        """The proxies' addresses, the one that is asked first in front."""
        return (SOURCE, DESTINATION) if self.scene.local else (DESTINATION, SOURCE)

    def life(self, ip: str) -> str:
        """The backend that lives beside a proxy now."""
        process = self.processes["x" if ip == SOURCE else "y"]
        return process.program.life if isinstance(process.program, OrderBackend) else ""

    def tell_gate(self, ip: str, life: str) -> None:
        """A backend's first beat."""
        program = self.processes["a" if ip == SOURCE else "b"].program
        if isinstance(program, Proxy):
            program.gate.beat(program.host.now(), life, 1, False, 4, 0.0)

    def mixed(self, what: str) -> None:
        """The client read what it must not."""
        self.wrong.append(f"MIXED: {what}")

    # Faults.

    def deliver(self, end: End, item: bytes | int | str, go_on: Callable[[End, Any], None]) -> None:
        """One delivery, and the fault that is due before it."""
        if not self.begun or isinstance(item, int):
            go_on(end, item)
            return
        self.last = next(self.steps)
        what = self.due.pop(self.last, "")
        if what:
            self._strike(what, end)
        go_on(end, item)

    def _strike(self, what: str, end: End) -> None:
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
        """What the client's tries were answered; 0 where a connection ended."""
        program = self.client.program
        assert isinstance(program, Client)
        return [0 if made.message is None else made.message.status for made in program.tries]

    def run(self) -> None:
        """Run it to its end; what is wrong is in `wrong` then."""
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
        for made in client.tries:
            status = 0 if made.message is None else made.message.status
            if made.message is not None and promised(made.message) and made.attempt in self.runs:
                self.wrong.append(f"REFUSED: {made.attempt} got {status} and ran")


@contextmanager
def watched() -> Iterator[None]:
    """Have each delivery of a `Pair` pass through it."""
    was = End._deliver

    def arrive(end: End, item: bytes | int | str) -> None:
        world = end.process.world
        if isinstance(world, PairWorld):
            world.pair.deliver(end, item, was)
        else:
            was(end, item)

    with wrong(lambda put: put(End, "_deliver", arrive)):
        yield


def play(scene: Scene, manner: str = "well", faults: tuple[Fault, ...] = ()) -> Pair:
    """One schedule, played to its end."""
    pair = Pair(scene, manner, faults)
    pair.run()
    return pair


def singles(scene: Scene, manner: str) -> Iterator[tuple[Fault, ...]]:
    """No fault, and each fault at each step that a run without one has."""
    yield ()
    for step in range(play(scene, manner).last + 1):
        for what in FAULTS:
            yield (Fault(step, what),)


def pairs(scene: Scene, manner: str, first: Fault) -> Iterator[tuple[Fault, ...]]:
    """A first fault, with each further one at each later step that a run with the first has."""
    for step in range(first.step + 1, play(scene, manner, (first,)).last + 1):
        for what in FAULTS:
            yield (first, Fault(step, what))
