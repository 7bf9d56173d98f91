"""`honeywharf demo --mesh`: a small mesh on loopback with a configuration change, a drain and a kill.

Theory of operation. Each program is a process with an address of its own (127.x.y.n) and the same ports, as
on the platform. Clients, backends and the operator are those of `simulation.actors` on one event loop in
this process. They report to the `InvariantChecker` of `simulation.invariants`, so that the same code checks
the rules on sockets and in virtual time.
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
from honeywharf.simulation.backends import Backend
from honeywharf.simulation.clients import Clients, Flow
from honeywharf.simulation.http_peer import Caller, Message, text
from honeywharf.simulation.invariants import (
    INVARIANTS,
    TRANSIT_S,
    Attempt,
    Invariant,
    InvariantChecker,
    Order,
)
from honeywharf.simulation.operators import Operator
from honeywharf.transport.event_loop import EventLoop, EventLoopTimer
from honeywharf.transport.host import Address, Connection, Handler

ZONES = ("tartu-saal", "voru-saal")
CONTROL_NODES, SIDECARS = 3, 5
TILE_SERVICE, ORDER_SERVICE = "tile-vault", "order-desk"
#: Host, prefix, kind, service, share of the requests, connection habit of the clients, bytes of a body.
ROUTES = (
    ("maps.example", "/tiles/", "read_only", TILE_SERVICE, 0.5, "fresh", 0),
    ("maps.example", "/parcels/", "read_only", TILE_SERVICE, 0.15, "pipeline", 0),
    ("shop.example", "/orders/", "mutating", ORDER_SERVICE, 0.3, "fresh", 2000),
    ("shop.example", "/uploads/", "upload", ORDER_SERVICE, 0.05, "pool", 60_000),
)
MOVED_PREFIX = "/parcels/"  # The change moves this route to the other service.
COLD_REQUESTS_PER_S = 9.0
START_TIMEOUT_S, STOP_TIMEOUT_S = 15.0, 10.0
READINESS_WAIT_S = 1.05  # Clients poll readiness every second before they send.
MIN_SERVED_SHARE = 0.9
BASE_PORTS = range(8300, 30000, 100)  # Below the ephemeral ports of Linux.
# Ports that `simulation.deployment` uses, relative to the first one.
PORT_OFFSETS = (0, 1, 2, 4, 6, *range(-680, -664))


class World:
    """Replaces `simulation.world.World` for the actors and the invariants, with the monotonic clock."""

    def __init__(self, loop: EventLoop, seed: int) -> None:
        self.loop, self.random, self.halted = loop, random.Random(seed), False
        self.started_at = loop.now()

    @property
    def now(self) -> float:
        """The seconds since the start."""
        return self.loop.now() - self.started_at

    def record(self, *what: object) -> None:
        """Discards a trace line: violations are in the invariant checker."""

    record_event = record


class LoopbackHost:
    """Replaces `simulation.machine.Process` for an actor: the event loop with the address of a machine."""

    def __init__(self, world: World, ip: str, zone: str) -> None:
        self.world, self.loop = world, world.loop
        self.machine = SimpleNamespace(ip=ip, zone=zone)
        self.after, self.connect, self.stop_listening = (
            self.loop.after,
            self.loop.connect,
            self.loop.stop_listening,
        )

    def random(self, size: int) -> bytes:
        """Returns random bytes, drawn by the seed of the world."""
        return self.world.random.randbytes(size)

    def listen(self, address: Address, accept: Callable[[Connection], Handler]) -> None:
        """Accepts connections. Their peer address becomes that of this machine."""

        def accept_from_loopback(connection: Connection) -> Handler:
            connection.peer = (address[0], connection.peer[1])
            return accept(connection)

        self.loop.listen(address, accept_from_loopback)


class EventRecorder(Invariant):
    """Records acknowledged leaves and the configuration that is read back. Checks no rule."""

    def reset(self) -> None:
        """Clears the records."""
        self.left_at: dict[str, float] = {}
        self.text: bytes | None = None

    def heartbeat_acked(self, backend: Backend, state: str) -> None:
        """A heartbeat of a backend was acknowledged."""
        if state != "ready":
            self.left_at.setdefault(backend.id, self.now)

    def read_back(self, text: bytes) -> None:
        """The configuration was read back. It is empty if there was no answer."""
        self.text = text


class Program:
    """A program of the mesh with its settings file, log and process. `incarnation` counts the starts."""

    def __init__(self, folder: Path, name: str, ip: str, settings: dict[str, Any]) -> None:
        self.name, self.ip, self.incarnation = name, ip, 0
        self.module = f"honeywharf.programs.{name}"
        self.file, self.log = folder / f"{name}-{ip}.yaml", folder / f"{name}-{ip}.log"
        self.file.write_text(json.dumps(settings))
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Starts the process."""
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
        """Sends a signal if the process runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    @property
    def status(self) -> int | None:
        """The exit status, None before the start and while the process runs."""
        return None if self.process is None else self.process.poll()

    def peak_mb(self) -> float:
        """Returns the peak resident memory in megabytes, 0.0 if the kernel does not report it."""
        with suppress(OSError, StopIteration):
            if self.process is not None:
                lines = Path(f"/proc/{self.process.pid}/status").read_text().splitlines()
                return int(next(line for line in lines if line.startswith("VmHWM")).split()[1]) / 1024.0
        return 0.0


class SidecarMachine:
    """A machine with a sidecar, its clients and its current backend."""

    def __init__(self, mesh: Mesh, number: int, service: str) -> None:
        self.mesh, self.service = mesh, service
        self.ip, self.zone = mesh.address(20 + number), ZONES[number % len(ZONES)]
        self.proxy = mesh.program("sidecar", self.ip, self.zone, service)
        self.ready = False
        self.backend: Backend | None = None

    def start_backend(self, cold_start_s: float = 0.0) -> None:
        """Starts a backend in place of the last one."""
        application, control = self.mesh.port(deployment.APPLICATION), self.mesh.port(deployment.CONTROL)
        if self.backend is not None:
            self.mesh.loop.stop_listening((self.ip, application))
            for served in list(self.backend.connections):
                served.connection.abort()
        self.backend = Backend(
            cast(Any, LoopbackHost(self.mesh.world, self.ip, self.zone)),
            self.mesh.invariant_checker,
            self.service,
            application,
            control,
            cold=cold_start_s,
        )

    def start_clients(self, flows: list[Flow], until: float) -> None:
        """Starts the clients of the machine, which send until `until` in seconds of the world."""
        clients = Clients(
            cast(Any, LoopbackHost(self.mesh.world, self.ip, self.zone)),
            self.mesh.invariant_checker,
            flows,
            lambda: self.service,
            cast(Any, self.proxy),
            self.mesh.port(deployment.OUTBOUND),
            self.mesh.port(deployment.READINESS),
        )
        clients.until = until


class Mesh:
    """All programs and actors.

    On `subnet`, such as "127.9.4", the ports of `simulation.deployment` plus `port_offset` must be free.
    """

    def __init__(self, folder: Path, subnet: str, port_offset: int, seed: int) -> None:
        self.folder, self.subnet, self.port_offset = folder, subnet, port_offset
        self.loop = EventLoop(None)
        self.world = World(self.loop, seed)
        self.invariant_checker = InvariantChecker(
            cast(Any, self.world),
            {**deployment.BOUNDS, **deployment.NUMERIC_BOUNDS, **deployment.WINDOW_BOUNDS},
        )
        self.event_recorder = EventRecorder(self.invariant_checker)
        self.invariant_checker.invariants.append(self.event_recorder)
        self.seeds = [self.address(10 + n) for n in range(CONTROL_NODES)]
        self.control_nodes = [
            self.program("control", ip, ZONES[n % len(ZONES)]) for n, ip in enumerate(self.seeds)
        ]
        self.sidecars = [
            SidecarMachine(
                self, n, (TILE_SERVICE, ORDER_SERVICE, ORDER_SERVICE, TILE_SERVICE, TILE_SERVICE)[n]
            )
            for n in range(SIDECARS)
        ]
        self.operator = Operator(
            cast(Any, LoopbackHost(self.world, self.address(5), "outside")),
            self.invariant_checker,
            lambda: [(control_node.ip, self.port(deployment.CONTROL)) for control_node in self.control_nodes],
        )

    def address(self, number: int) -> str:
        """Returns the address of a machine."""
        return f"{self.subnet}.{number}"

    def port(self, number: int) -> int:
        """Returns the port for one of `simulation.deployment`."""
        return number + self.port_offset

    @property
    def programs(self) -> list[Program]:
        """All control nodes, then all sidecars."""
        return [*self.control_nodes, *(sidecar.proxy for sidecar in self.sidecars)]

    def program(self, name: str, ip: str, zone: str, service: str = "") -> Program:
        """Returns a program with the settings that the platform would write."""
        program_settings = json.loads(deployment.settings(ip, zone, self.seeds, True, service))
        program_settings["zones"] = dict.fromkeys(ZONES, program_settings["region"])
        for key, address in program_settings["listen-addresses"].items():
            program_settings["listen-addresses"][key] = self._offset_port(address)
        program_settings["seed-nodes"] = [
            self._offset_port(address) for address in program_settings["seed-nodes"]
        ]
        program_settings["internal-port-range"] = [
            self.port(number) for number in program_settings["internal-port-range"]
        ]
        if service:
            program_settings["application"] = self._offset_port(program_settings["application"])
        else:
            program_settings["data-directory"] = str(self.folder / ip)
            (self.folder / ip).mkdir()
        return Program(self.folder, name, ip, program_settings)

    def _offset_port(self, address: str) -> str:
        ip, _, number = address.rpartition(":")
        return f"{ip}:{self.port(int(number))}"

    def wait(self, seconds: float, until: Callable[[], bool] = lambda: False) -> bool:
        """Runs the event loop for `seconds` or until the condition holds. Returns whether it holds."""
        self.loop.status = None
        expiry = self.loop.after(seconds, partial(self.loop.exit, 1))
        timer: list[EventLoopTimer] = []

        def poll() -> None:
            if until():
                self.loop.exit(0)
            else:
                timer[:] = [self.loop.after(0.02, poll)]

        poll()
        is_met = self.loop.run() == 0
        for scheduled in (expiry, *timer):
            scheduled.cancel()
        return is_met

    def fetch(self, to: Address, path: str, on_response: Callable[[Message | None], None]) -> None:
        """Sends a GET and passes the answer on, None if there is none."""

        def answer_received(tag: object, message: Message | None) -> None:
            on_response(message)
            caller.close()

        caller = Caller(cast(Any, self.operator.host), to, answer_received)
        caller.send_request(None, text(f"GET {path} HTTP/1.1", {"Host": "mesh"}))

    def stop(self) -> None:
        """Kills all programs that still run."""
        for program in self.programs:
            program.send(signal.SIGKILL)
            if program.process is not None:
                program.process.wait()


def configuration(version: int, moved: bool) -> Order:
    """Returns an order with all routes. `moved` sends one of them to the other service."""
    order = Order("config", version)
    routes = []
    for host, prefix, kind, service, *_ in ROUTES:
        to = ORDER_SERVICE if moved and prefix == MOVED_PREFIX else service
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
            "cold-per-s": COLD_REQUESTS_PER_S,
        }
        for name in (TILE_SERVICE, ORDER_SERVICE)
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


def find_free_subnet() -> tuple[str, int]:
    """Returns a subnet of loopback and a port offset without listeners. OSError if none is found."""
    rng = random.SystemRandom()
    for _ in range(20):
        subnet = f"127.{rng.randint(1, 254)}.{rng.randint(0, 254)}"
        base = rng.choice(BASE_PORTS)
        if all(_free(f"{subnet}.1", base + offset) for offset in PORT_OFFSETS):
            return subnet, base - BASE_PORTS.start
    raise OSError("expected free ports on loopback, got none in 20 attempts")


def _free(ip: str, port: int) -> bool:
    with socket.socket() as stream, socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagrams:
        try:
            stream.bind((ip, port))
            datagrams.bind((ip, port))
        except OSError:
            return False
    return True


class MeshDemo:
    """The events of the demo and its verdict. Runs `seconds` of traffic with `rate` requests a second."""

    def __init__(self, mesh: Mesh, seconds: float, rate: float, say: Callable[[str], None]) -> None:
        self.mesh, self.seconds, self.rate, self.say = mesh, seconds, rate, say
        self.first, self.change = configuration(10, moved=False), configuration(13, moved=True)
        self.draining_sidecar, self.killed_sidecar = mesh.sidecars[0], mesh.sidecars[3]
        self.drained_backend: Backend | None = None
        self.exit_statuses: list[int | None] = []
        self.peak_memory_mb: dict[str, float] = {}

    def bring_up(self) -> bool:
        """Starts everything. Returns whether all sidecars became ready by the first configuration in time."""
        mesh = self.mesh
        for program in mesh.programs:
            program.start()
        for sidecar in mesh.sidecars:
            sidecar.start_backend()
            mesh.loop.after(0.2, partial(self._poll_readiness, sidecar))
        mesh.loop.after(0.3, partial(mesh.operator.order, self.first))
        mesh.wait(
            START_TIMEOUT_S, lambda: all(sidecar.ready for sidecar in mesh.sidecars) or mesh.loop.errors > 0
        )
        return mesh.loop.errors == 0 and all(sidecar.ready for sidecar in mesh.sidecars)

    def _poll_readiness(self, sidecar: SidecarMachine) -> None:
        """Polls the readiness of a sidecar until it is ready."""

        def on_response(message: Message | None) -> None:
            sidecar.ready = message is not None and message.status == 200
            if not sidecar.ready:
                self.mesh.loop.after(0.1, partial(self._poll_readiness, sidecar))

        self.mesh.fetch((sidecar.ip, self.mesh.port(deployment.READINESS)), "/api/readiness", on_response)

    def run(self) -> None:
        """Runs the traffic and, meanwhile, the change, the drain and the kill."""
        mesh, duration_s = self.mesh, self.seconds
        flows = [Flow(*row[:3], self.rate * row[4] / len(mesh.sidecars), *row[5:]) for row in ROUTES]
        for sidecar in mesh.sidecars:
            sidecar.start_clients(flows, mesh.world.now + READINESS_WAIT_S + duration_s)
        mesh.wait(READINESS_WAIT_S)
        for share, action in ((0.1, self._change_configuration), (0.2, self._drain), (0.5, self._kill)):
            mesh.loop.after(share * duration_s, action)
        for second in range(1, int(duration_s) + 1):
            mesh.loop.after(second, partial(self._print_progress, second))
        mesh.wait(duration_s + 2.5)  # The last requests have a deadline of 2 s.

    def _change_configuration(self) -> None:
        self.mesh.operator.on_ack = lambda order, ip: self.say(
            f"  r{order.version} is acknowledged after {(order.acked - order.sent) * 1000.0:.0f} ms"
        )
        self.say(f"  the operator gives {MOVED_PREFIX} to {ORDER_SERVICE} (r{self.change.version})")
        self.mesh.operator.order(self.change)

    def _drain(self) -> None:
        self.drained_backend = self.draining_sidecar.backend
        self.say(f"  the backend at {self.draining_sidecar.ip} drains, and one that is cold takes its place")
        if self.drained_backend is not None:
            self.drained_backend.leave(partial(self.draining_sidecar.start_backend, deployment.COLD_START_S))

    def _kill(self) -> None:
        self.say(f"  the sidecar at {self.killed_sidecar.ip} is killed by SIGKILL, and starts again")
        self.mesh.invariant_checker.mark_fault(self.killed_sidecar.ip, 1)
        self.killed_sidecar.proxy.send(signal.SIGKILL)
        self.mesh.loop.after(0.3, self._restart)

    def _restart(self) -> None:
        self.killed_sidecar.proxy.start()
        self.mesh.invariant_checker.mark_fault(self.killed_sidecar.ip, -1)

    def _print_progress(self, second: int) -> None:
        cells = []
        for zone in ZONES:
            here = {sidecar.ip for sidecar in self.mesh.sidecars if sidecar.zone == zone}
            attempts = [
                attempt
                for attempt in self.mesh.invariant_checker.attempts.values()
                if attempt.machine in here
            ]
            served = sum(200 <= attempt.status < 300 for attempt in attempts)
            cells.append(f"{zone:>10}: sent {len(attempts):>5} served {served:>5}")
        self.say(f"{second:>4} s |" + " |".join(cells))

    def shut_down(self) -> None:
        """Reads the configuration back, then stops the programs by SIGTERM, the sidecars first."""
        mesh = self.mesh
        mesh.operator.read_back()
        mesh.wait(STOP_TIMEOUT_S, lambda: mesh.event_recorder.text is not None)
        for name in ("sidecar", "control"):
            group = [program for program in mesh.programs if program.name == name]
            self.peak_memory_mb[name] = max(program.peak_mb() for program in group)
            for program in group:
                program.send(signal.SIGTERM)
            mesh.wait(STOP_TIMEOUT_S, partial(self._ended, group))
            self.exit_statuses += [program.status for program in group]

    @staticmethod
    def _ended(group: list[Program]) -> bool:
        return all(program.status is not None for program in group)

    def violation_counts(self) -> dict[str, int]:
        """Returns the counts that must be 0, from the records of clients and backends."""
        attempts = list(self.mesh.invariant_checker.attempts.values())
        return {
            "requests run twice that may not be": sum(
                not attempt.repeatable and len(attempt.runs) > 1 for attempt in attempts
            ),
            "requests run after a promise that they had not": sum(
                attempt.status in (408, 421, 429, 503) and bool(attempt.runs) and not attempt.repeatable
                for attempt in attempts
            ),
            "requests that reached the backend after its drain": sum(
                when > self._drain_deadline()
                for attempt in attempts
                for when, backend in attempt.arrivals
                if backend is self.drained_backend
            ),
            "requests by the old route after its change applied": sum(map(self._outdated, attempts)),
            "programs that did not end with status 0": sum(status != 0 for status in self.exit_statuses),
            "faults told in the programs' logs, or met by the clients, backends and operator": sum(
                line.startswith(("fault ", "calls: "))
                for program in self.mesh.programs
                for line in program.log.read_text("utf-8", "replace").splitlines()
            )
            + self.mesh.loop.errors,
        }

    def _drain_deadline(self) -> float:
        """The time after which no request may reach the drained backend, in seconds of the world."""
        since = (
            self.mesh.event_recorder.left_at.get(self.drained_backend.id, 1e9)
            if self.drained_backend is not None
            else 1e9
        )
        return since + deployment.BOUNDS["drain-timeout"] + TRANSIT_S

    def _outdated(self, attempt: Attempt) -> bool:
        is_late = attempt.sent > self.change.acked + deployment.BOUNDS["config-apply"]
        return (
            is_late
            and attempt.path.startswith(MOVED_PREFIX)
            and any(backend.service != ORDER_SERVICE for _, backend in attempt.runs)
        )

    def print_verdict(self) -> int:
        """Prints the counts and rules. Returns the exit status."""
        invariant_checker, counts = self.mesh.invariant_checker, self.violation_counts()
        here, others = self._statuses(at_killed_sidecar=True), self._statuses(at_killed_sidecar=False)
        self._print_statuses("where no proxy was killed", others)
        self._print_statuses("where the proxy was killed", here)
        self.say(
            "largest memory: "
            + ", ".join(f"a {name} {mb:.1f} MB" for name, mb in self.peak_memory_mb.items())
        )
        for title, number in counts.items():
            self.say(f"{number:>8}  {title}")
        rules = {rule.__name__.upper() for rule in INVARIANTS}
        checks = {
            ", ".join(sorted(rules - {rule for rule, _, _ in invariant_checker.violations})): True,
            **{f"{rule} at {when:.1f} s: {what}": False for rule, when, what in invariant_checker.violations},
            f"at least {MIN_SERVED_SHARE:.0%} served where no proxy was killed": others["200"]
            >= MIN_SERVED_SHARE * max(1, others.total()),
            "the change was acknowledged, and was read back at the end": self.change.acked < 1e9
            and self.mesh.event_recorder.text == self.change.text,
        }
        for title, is_kept in checks.items():
            self.say(f"{'held' if is_kept else 'BROKEN':>8}: {title}")
        return 0 if all(checks.values()) and not any(counts.values()) else 1

    def _statuses(self, at_killed_sidecar: bool) -> Counter[str]:
        return Counter(
            "no answer" if attempt.status < 100 else str(attempt.status)
            for attempt in self.mesh.invariant_checker.attempts.values()
            if (attempt.machine == self.killed_sidecar.ip) == at_killed_sidecar
        )

    def _print_statuses(self, where: str, statuses: Counter[str]) -> None:
        self.say(
            f"{statuses.total()} requests {where}: "
            + ", ".join(f"{status} {number} times" for status, number in sorted(statuses.items()))
        )


def play(seconds: float, rate: float, seed: int, say: Callable[[str], None]) -> int:
    """Runs the demo. Returns 0 only if every rule was kept and nearly all requests were served."""
    subnet, port_offset = find_free_subnet()
    with tempfile.TemporaryDirectory() as name:
        mesh = Mesh(Path(name), subnet, port_offset, seed)
        demo = MeshDemo(mesh, seconds, rate, say)
        say(
            f"{len(ZONES)} zones, {CONTROL_NODES} control nodes, {SIDECARS} sidecars with a backend each at "
            f"{subnet}.x, "
            f"{rate:g} requests/s for {seconds:g} s, seed {seed}"
        )
        try:
            if not demo.bring_up():
                say(
                    "not all proxies became ready: "
                    + "; ".join(
                        f"{program.name} {program.ip}: {program.log.read_text('utf-8', 'replace')[-500:]!r}"
                        for program in mesh.programs
                    )
                )
                return 1
            say(f"all are ready after {mesh.world.now:.1f} s")
            demo.run()
            demo.shut_down()
            return demo.print_verdict()
        finally:
            mesh.stop()
