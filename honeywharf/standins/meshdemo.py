"""`honeywharf demo --mesh`: a small mesh on loopback, with a change, a drain and a kill; the rules counted.

Theory of operation. Each program is a process of its own on an address of its own (127.x.y.n, all with the
same ports, as the platform has it). Clients, backends and the operator are the simulation's stand-ins
(`simulation.standins`) on one loop of this process, and what they see goes into the simulation's book
(`simulation.rules`), so the rules are judged by the same code on sockets and in virtual time.
"""

from __future__ import annotations

import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
from collections import Counter
from collections.abc import Callable
from contextlib import suppress
from functools import partial
from pathlib import Path
from types import SimpleNamespace
from typing import Any, cast

from honeywharf.simulation import deployment
from honeywharf.simulation.actors import Backend, Caller, Clients, Flow, Message, Operator, text
from honeywharf.simulation.invariants import (
    INVARIANTS,
    TRANSIT_S,
    Attempt,
    Invariant,
    InvariantChecker,
    Order,
)
from honeywharf.transport.event_loop import EventLoop, EventLoopTimer
from honeywharf.transport.host import Address, Connection, Handler

ZONES = ("tartu-saal", "voru-saal")
CORES, SIDES = 3, 5
TILES, ORDERS = "tile-vault", "order-desk"
#: host, prefix, kind, service, share of the requests, habit of the clients, bytes of a body
ROUTES = (
    ("maps.example", "/tiles/", "read_only", TILES, 0.5, "fresh", 0),
    ("maps.example", "/parcels/", "read_only", TILES, 0.15, "pipeline", 0),
    ("shop.example", "/orders/", "mutating", ORDERS, 0.3, "fresh", 2000),
    ("shop.example", "/uploads/", "upload", ORDERS, 0.05, "pool", 60_000),
)
MOVED = "/parcels/"  # the route that the change gives to the other service
COLD_PER_S = 9.0
UP_S, END_S = 15.0, 10.0  # bounds of the start, and of the end of the programs
LOOK_S = 1.05  # clients ask whether their proxy is ready, and send a second later
MIN_SERVED = 0.9
PORTS = range(8300, 30000, 100)  # below those that the kernel gives to connections
USED = (0, 1, 2, 4, 6, *range(-680, -664))  # beside the first of them: as `simulation.field` numbers them


class World:
    """What the stand-ins and the book want of the simulation's world, by the steady clock."""

    def __init__(self, loop: EventLoop, seed: int) -> None:
        self.loop, self.random, self.halted = loop, random.Random(seed), False
        self.begun = loop.now()

    @property
    def now(self) -> float:
        """Seconds since the begin."""
        return self.loop.now() - self.begun

    def record(self, *what: object) -> None:
        """Nothing is kept: what was broken is in the book."""

    record_event = record  # the day's story, which nobody reads here


class Quay:
    """A stand-in's place on a machine: the loop, with the machine's address and what belongs to it."""

    def __init__(self, world: World, ip: str, zone: str) -> None:
        self.world, self.loop = world, world.loop
        self.machine = SimpleNamespace(ip=ip, zone=zone)
        self.after, self.connect, self.stop_listening = (
            self.loop.after,
            self.loop.connect,
            self.loop.stop_listening,
        )

    def random(self, size: int) -> bytes:
        """Random bytes, by the world's seed."""
        return self.world.random.randbytes(size)

    def listen(self, at: Address, accept: Callable[[Connection], Handler]) -> None:
        """Take connections; what comes from loopback's first address comes from this machine."""

        def taken(connection: Connection) -> Handler:
            connection.peer = (at[0], connection.peer[1])
            return accept(connection)

        self.loop.listen(at, taken)


class Heard(Invariant):
    """No rule: hears beside the rules when a leave was acknowledged, and what was read back."""

    def reset(self) -> None:
        """Nothing yet."""
        self.left: dict[str, float] = {}
        self.text: bytes | None = None

    def heartbeat_acked(self, backend: Backend, state: str) -> None:
        """A call of a backend was acknowledged."""
        if state != "ready":
            self.left.setdefault(backend.id, self.now)

    def read_back(self, text: bytes) -> None:
        """The configuration at the end; empty where it did not come."""
        self.text = text


class Program:
    """A program of the mesh: its settings file, its log, its process. `incarnation` counts the starts."""

    def __init__(self, folder: Path, name: str, ip: str, settings: dict[str, Any]) -> None:
        self.name, self.ip, self.incarnation = name, ip, 0
        self.module = f"honeywharf.programs.{name}"
        self.file, self.log = folder / f"{name}-{ip}.yaml", folder / f"{name}-{ip}.log"
        self.file.write_text(json.dumps(settings))
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Begin a life."""
        self.incarnation += 1
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", self.module],
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
                env={**os.environ, "HONEYWHARF_SETTINGS": str(self.file)},
            )

    def send(self, number: int) -> None:
        """Send a signal, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    @property
    def status(self) -> int | None:
        """The exit status; None while it runs, and before its start."""
        return None if self.process is None else self.process.poll()

    def peak_mb(self) -> float:
        """Its largest resident memory in megabytes; 0.0 where the kernel does not tell."""
        with suppress(OSError, StopIteration):
            if self.process is not None:
                lines = Path(f"/proc/{self.process.pid}/status").read_text().splitlines()
                return int(next(line for line in lines if line.startswith("VmHWM")).split()[1]) / 1024.0
        return 0.0


class Side:
    """A sidecar machine: its proxy, its clients and the backend that lives there now."""

    def __init__(self, mesh: Mesh, number: int, service: str) -> None:
        self.mesh, self.service = mesh, service
        self.ip, self.zone = mesh.address(20 + number), ZONES[number % len(ZONES)]
        self.proxy = mesh.program("sidecar", self.ip, self.zone, service)
        self.ready = False
        self.backend: Backend | None = None

    def live(self, cold: float = 0.0) -> None:
        """Begin a life of the backend, in place of the last."""
        application, control = self.mesh.port(deployment.APPLICATION), self.mesh.port(deployment.CONTROL)
        if self.backend is not None:
            self.mesh.loop.stop_listening((self.ip, application))
            for served in list(self.backend.connections):
                served.connection.abort()
        self.backend = Backend(
            cast(Any, Quay(self.mesh.world, self.ip, self.zone)),
            self.mesh.invariant_checker,
            self.service,
            application,
            control,
            cold=cold,
        )

    def drive(self, flows: list[Flow], until: float) -> None:
        """Have the machine's clients ask until a time of the world."""
        clients = Clients(
            cast(Any, Quay(self.mesh.world, self.ip, self.zone)),
            self.mesh.invariant_checker,
            flows,
            lambda: self.service,
            cast(Any, self.proxy),
            self.mesh.port(deployment.OUTBOUND),
            self.mesh.port(deployment.READINESS),
        )
        clients.until = until


class Mesh:
    """All that runs. At `subnet`, such as "127.9.4", the ports of `simulation.field` plus `shift` are
    free.
    """

    def __init__(self, folder: Path, subnet: str, shift: int, seed: int) -> None:
        self.folder, self.subnet, self.shift = folder, subnet, shift
        self.loop = EventLoop(None)
        self.world = World(self.loop, seed)
        self.invariant_checker = InvariantChecker(
            cast(Any, self.world),
            {**deployment.BOUNDS, **deployment.NUMERIC_BOUNDS, **deployment.WINDOW_BOUNDS},
        )
        self.heard = Heard(self.invariant_checker)
        self.invariant_checker.invariants.append(self.heard)
        self.seeds = [self.address(10 + n) for n in range(CORES)]
        self.cores = [self.program("control", ip, ZONES[n % len(ZONES)]) for n, ip in enumerate(self.seeds)]
        self.sides = [Side(self, n, (TILES, ORDERS, ORDERS, TILES, TILES)[n]) for n in range(SIDES)]
        self.operator = Operator(
            cast(Any, Quay(self.world, self.address(5), "outside")),
            self.invariant_checker,
            lambda: [(core.ip, self.port(deployment.CONTROL)) for core in self.cores],
        )

    def address(self, number: int) -> str:
        """A machine's address."""
        return f"{self.subnet}.{number}"

    def port(self, number: int) -> int:
        """The port that stands for one of `simulation.field`."""
        return number + self.shift

    @property
    def programs(self) -> list[Program]:
        """Control nodes, then sidecars."""
        return [*self.cores, *(side.proxy for side in self.sides)]

    def program(self, name: str, ip: str, zone: str, service: str = "") -> Program:
        """A program with its settings, as the platform would write them."""
        told = json.loads(deployment.settings(ip, zone, self.seeds, True, service))
        told["zones"] = dict.fromkeys(ZONES, told["region"])
        for key, at in told["listen-addresses"].items():
            told["listen-addresses"][key] = self._moved(at)
        told["seed-nodes"] = [self._moved(at) for at in told["seed-nodes"]]
        told["internal-port-range"] = [self.port(number) for number in told["internal-port-range"]]
        if service:
            told["application"] = self._moved(told["application"])
        else:
            told["data-directory"] = str(self.folder / ip)
            (self.folder / ip).mkdir()
        return Program(self.folder, name, ip, told)

    def _moved(self, at: str) -> str:
        ip, _, number = at.rpartition(":")
        return f"{ip}:{self.port(int(number))}"

    def wait(self, seconds: float, until: Callable[[], bool] = lambda: False) -> bool:
        """Let the loop run for so long, or until something has come true; whether it has."""
        self.loop.status = None
        end = self.loop.after(seconds, partial(self.loop.exit, 1))
        timer: list[EventLoopTimer] = []

        def look() -> None:
            if until():
                self.loop.exit(0)
            else:
                timer[:] = [self.loop.after(0.02, look)]

        look()
        came = self.loop.run() == 0
        for each in (end, *timer):
            each.cancel()
        return came

    def ask(self, to: Address, path: str, told: Callable[[Message | None], None]) -> None:
        """A GET of the platform's."""

        def answered(tag: object, message: Message | None) -> None:
            told(message)
            caller.close()

        caller = Caller(cast(Any, self.operator.host), to, answered)
        caller.send_request(None, text(f"GET {path} HTTP/1.1", {"Host": "mesh"}))

    def stop(self) -> None:
        """End whatever still runs."""
        for program in self.programs:
            program.send(signal.SIGKILL)
            if program.process is not None:
                program.process.wait()


def configuration(version: int, moved: bool) -> Order:
    """An order with all routes; `moved`: one of them goes to the other service."""
    order = Order("config", version)
    routes = []
    for host, prefix, kind, service, *_ in ROUTES:
        to = ORDERS if moved and prefix == MOVED else service
        order.routes[host, prefix] = frozenset((to,))
        routes.append(
            {
                "name": f"r-{prefix.strip('/')}",
                "hostname": host,
                "path-prefix": prefix,
                "route-kind": kind,
                "timeout": "3000ms",
                "target-latency": "600ms",
                "priority": 1,
                "max-attempts": 2,
                "target-service": to,
            }
        )
    services = [
        {
            "name": name,
            "health-check-path": "/health",
            "max-connections": 110,
            "protocol": "h1",
            "tls-enabled": False,
            "cold-start": "3s",
            "cold-per-s": COLD_PER_S,
        }
        for name in (TILES, ORDERS)
    ]
    order.text = json.dumps(
        {
            "config-version": f"r{version}",
            "routes": routes,
            "services": services,
            "limits": {
                "max-header-bytes": 16384,
                "max-body-bytes": 67108864,
                "header-timeout": "3000ms",
                "idle-timeout": "15000ms",
            },
        }
    ).encode()
    return order


def place() -> tuple[str, int]:
    """A subnet of loopback and a shift of ports where nobody listens. OSError where there is none."""
    chance = random.SystemRandom()
    for _ in range(20):
        subnet = f"127.{chance.randint(1, 254)}.{chance.randint(0, 254)}"
        base = chance.choice(PORTS)
        if all(_free(f"{subnet}.1", base + more) for more in USED):
            return subnet, base - PORTS.start
    raise OSError("found no free ports on loopback")


def _free(ip: str, port: int) -> bool:
    with socket.socket() as stream, socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagrams:
        try:
            stream.bind((ip, port))
            datagrams.bind((ip, port))
        except OSError:
            return False
    return True


class Day:
    """What happens to a mesh, and what it is judged by. `seconds` of traffic, `rate` requests a second."""

    def __init__(self, mesh: Mesh, seconds: float, rate: float, say: Callable[[str], None]) -> None:
        self.mesh, self.seconds, self.rate, self.say = mesh, seconds, rate, say
        self.first, self.change = configuration(10, moved=False), configuration(13, moved=True)
        self.leaver, self.victim = mesh.sides[0], mesh.sides[3]
        self.left: Backend | None = None
        self.ends: list[int | None] = []
        self.memory: dict[str, float] = {}

    def up(self) -> bool:
        """Start everything; whether all proxies became ready in time, by the first configuration."""
        mesh = self.mesh
        for program in mesh.programs:
            program.start()
        for side in mesh.sides:
            side.live()
            mesh.loop.after(0.2, partial(self._look, side))
        mesh.loop.after(0.3, partial(mesh.operator.order, self.first))
        mesh.wait(UP_S, lambda: all(side.ready for side in mesh.sides) or mesh.loop.errors > 0)
        return mesh.loop.errors == 0 and all(side.ready for side in mesh.sides)

    def _look(self, side: Side) -> None:
        """Ask whether a proxy is ready, until it is."""

        def told(message: Message | None) -> None:
            side.ready = message is not None and message.status == 200
            if not side.ready:
                self.mesh.loop.after(0.1, partial(self._look, side))

        self.mesh.ask((side.ip, self.mesh.port(deployment.READINESS)), "/api/readiness", told)

    def play(self) -> None:
        """Traffic, and what happens meanwhile."""
        mesh, span = self.mesh, self.seconds
        flows = [Flow(*row[:3], self.rate * row[4] / len(mesh.sides), *row[5:]) for row in ROUTES]
        for side in mesh.sides:
            side.drive(flows, mesh.world.now + LOOK_S + span)
        mesh.wait(LOOK_S)
        for at, do in ((0.1, self._configure), (0.2, self._drain), (0.5, self._kill)):
            mesh.loop.after(at * span, do)
        for second in range(1, int(span) + 1):
            mesh.loop.after(second, partial(self._line, second))
        mesh.wait(span + 2.5)  # the last requests have 2 s

    def _configure(self) -> None:
        self.mesh.operator.on_ack = lambda order, ip: self.say(
            f"  r{order.version} is acknowledged after {(order.acked - order.sent) * 1000.0:.0f} ms"
        )
        self.say(f"  the operator gives {MOVED} to {ORDERS} (r{self.change.version})")
        self.mesh.operator.order(self.change)

    def _drain(self) -> None:
        self.left = self.leaver.backend
        self.say(f"  the backend at {self.leaver.ip} drains, and one that is cold takes its place")
        if self.left is not None:
            self.left.leave(partial(self.leaver.live, deployment.COLD_START_S))

    def _kill(self) -> None:
        self.say(f"  the sidecar at {self.victim.ip} is killed by SIGKILL, and starts again")
        self.mesh.invariant_checker.mark_fault(self.victim.ip, 1)
        self.victim.proxy.send(signal.SIGKILL)
        self.mesh.loop.after(0.3, self._again)

    def _again(self) -> None:
        self.victim.proxy.start()
        self.mesh.invariant_checker.mark_fault(self.victim.ip, -1)

    def _line(self, second: int) -> None:
        cells = []
        for zone in ZONES:
            here = {side.ip for side in self.mesh.sides if side.zone == zone}
            attempts = [ask for ask in self.mesh.invariant_checker.attempts.values() if ask.machine in here]
            served = sum(200 <= ask.status < 300 for ask in attempts)
            cells.append(f"{zone:>10}: sent {len(attempts):>5} served {served:>5}")
        self.say(f"{second:>4} s |" + " |".join(cells))

    def end(self) -> None:
        """Read the configuration back, then end the programs by SIGTERM, the proxies first."""
        mesh = self.mesh
        mesh.operator.read_back()
        mesh.wait(END_S, lambda: mesh.heard.text is not None)
        for name in ("sidecar", "control"):
            group = [program for program in mesh.programs if program.name == name]
            self.memory[name] = max(program.peak_mb() for program in group)
            for program in group:
                program.send(signal.SIGTERM)
            mesh.wait(END_S, partial(self._ended, group))
            self.ends += [program.status for program in group]

    @staticmethod
    def _ended(group: list[Program]) -> bool:
        return all(program.status is not None for program in group)

    # The figures.

    def figures(self) -> dict[str, int]:
        """What must be 0, counted from what clients and backends saw."""
        attempts = list(self.mesh.invariant_checker.attempts.values())
        return {
            "requests run twice that may not be": sum(
                not ask.repeatable and len(ask.runs) > 1 for ask in attempts
            ),
            "requests run after a promise that they had not": sum(
                ask.status in (408, 421, 429, 503) and bool(ask.runs) and not ask.repeatable
                for ask in attempts
            ),
            "requests that reached the backend after its drain": sum(
                when > self._drained() for ask in attempts for when, at in ask.arrivals if at is self.left
            ),
            "requests by the old route after its change applied": sum(map(self._outdated, attempts)),
            "programs that did not end with status 0": sum(status != 0 for status in self.ends),
            "faults told in the programs' logs, or met by the clients, backends and operator": sum(
                line.startswith(("fault ", "calls: "))
                for program in self.mesh.programs
                for line in program.log.read_text("utf-8", "replace").splitlines()
            )
            + self.mesh.loop.errors,
        }

    def _drained(self) -> float:
        """From when on no request may reach the backend that left; seconds of the world."""
        since = self.mesh.heard.left.get(self.left.id, 1e9) if self.left is not None else 1e9
        return since + deployment.BOUNDS["drain-timeout"] + TRANSIT_S

    def _outdated(self, ask: Attempt) -> bool:
        late = ask.sent > self.change.acked + deployment.BOUNDS["config-apply"]
        return late and ask.path.startswith(MOVED) and any(at.service != ORDERS for _, at in ask.runs)

    def judge(self) -> int:
        """Say the figures; the exit status."""
        invariant_checker, figures = self.mesh.invariant_checker, self.figures()
        here, others = self._statuses(at_victim=True), self._statuses(at_victim=False)
        self._say_statuses("where no proxy was killed", others)
        self._say_statuses("where the proxy was killed", here)
        self.say("largest memory: " + ", ".join(f"a {name} {mb:.1f} MB" for name, mb in self.memory.items()))
        for what, number in figures.items():
            self.say(f"{number:>8}  {what}")
        rules = {rule.__name__.upper() for rule in INVARIANTS}
        checks = {
            ", ".join(sorted(rules - {rule for rule, _, _ in invariant_checker.violations})): True,
            **{f"{rule} at {when:.1f} s: {what}": False for rule, when, what in invariant_checker.violations},
            f"at least {MIN_SERVED:.0%} served where no proxy was killed": others["200"]
            >= MIN_SERVED * max(1, others.total()),
            "the change was acknowledged, and was read back at the end": self.change.acked < 1e9
            and self.mesh.heard.text == self.change.text,
        }
        for what, kept in checks.items():
            self.say(f"{'held' if kept else 'BROKEN':>8}: {what}")
        return 0 if all(checks.values()) and not any(figures.values()) else 1

    def _statuses(self, at_victim: bool) -> Counter[str]:
        return Counter(
            "no answer" if ask.status < 100 else str(ask.status)
            for ask in self.mesh.invariant_checker.attempts.values()
            if (ask.machine == self.victim.ip) == at_victim
        )

    def _say_statuses(self, where: str, statuses: Counter[str]) -> None:
        self.say(
            f"{statuses.total()} requests {where}: "
            + ", ".join(f"{status} {number} times" for status, number in sorted(statuses.items()))
        )


def play(seconds: float, rate: float, seed: int, say: Callable[[str], None]) -> int:
    """Play the demo; the exit status is 0 only where every rule held and nearly all was served."""
    subnet, shift = place()
    with tempfile.TemporaryDirectory() as name:
        mesh = Mesh(Path(name), subnet, shift, seed)
        day = Day(mesh, seconds, rate, say)
        say(
            f"{len(ZONES)} zones, {CORES} control nodes, {SIDES} sidecars with a backend each at {subnet}.x, "
            f"{rate:g} requests/s for {seconds:g} s, seed {seed}"
        )
        try:
            if not day.up():
                say(
                    "not all proxies became ready: "
                    + "; ".join(
                        f"{program.name} {program.ip}: {program.log.read_text('utf-8', 'replace')[-500:]!r}"
                        for program in mesh.programs
                    )
                )
                return 1
            say(f"all are ready after {mesh.world.now:.1f} s")
            day.play()
            day.end()
            return day.judge()
        finally:
            mesh.stop()
