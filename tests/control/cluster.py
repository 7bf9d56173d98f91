"""Complete control nodes on a virtual network, and an operator that calls their API directly."""

from __future__ import annotations

import hashlib
from collections.abc import Callable

from result import Err, Ok, Result

from honeywharf.control.mesh_state import MeshState
from honeywharf.control.operator_api import OperatorApi
from honeywharf.mesh_config.configuration import Configuration
from honeywharf.mesh_config.settings import Settings
from honeywharf.programs.control import ControlNode
from tests.control.virtual_network import DELAY, Machine, VirtualNetwork

ZONES = {"a": "r", "b": "r", "c": "r"}
PORT, INTERNAL_PORT = 8306, 7620


def settings(ip: str, seeds: list[str], first: bool) -> Settings:
    """Returns the settings of a control node."""
    made = Settings()
    made.node_name, made.ip, made.zone, made.zones = f"core-{ip}", ip, "abc"[int(ip[-1]) % 3], ZONES
    made.listen_addresses, made.internal_ports = (
        {"control-plane": (ip, PORT)},
        (INTERNAL_PORT, INTERNAL_PORT + 15),
    )
    made.bounds = {"grace-period": 6.0}
    made.link_mbps = 1000.0
    made.seeds, made.initial_start = [(seed, PORT) for seed in seeds], first
    return made


def check(raw: bytes) -> Result[Configuration, str]:
    """Replaces the check of `mesh_config`: `r7 anything` is a valid configuration."""
    head = raw.split(b" ", 1)[0]
    if not head.startswith(b"r"):
        return Err(f"version: expected r and a number, got {head!r}")
    return Ok(Configuration(int(head[1:]), hashlib.sha256(raw).hexdigest()[:32], raw))


class Call:
    """A call as the HTTP server passes it to the API. The caller gives it up by `give_up`."""

    takes_interim_responses = True

    def __init__(self, machine: Machine, method: str, path: str, body: bytes = b"") -> None:
        self.machine = machine
        self.method, self.path, self.body = method.encode(), path.encode(), body
        self.answers: list[tuple[int, bytes, bytes]] = []
        self.is_waiting = True
        self.confirmations = 0  # The interim responses sent to the caller.

    def give_up(self) -> None:
        """Closes the caller's connection."""
        self.is_waiting = False

    def confirm_caller(self, confirmed: Callable[[], None]) -> None:
        """Carries an interim response to the caller, and its acknowledgement back if the caller waits."""
        network = self.machine.network
        self.confirmations += 1

        def arrive() -> None:
            if self.is_waiting:
                network.at(network.time + network.rng.uniform(*DELAY), acknowledged)

        def acknowledged() -> None:
            self.machine.after(0.0, confirmed)

        network.at(network.time + network.rng.uniform(*DELAY), arrive)

    def answer(self, status: int, body: bytes = b"", lines: bytes = b"") -> None:
        self.answers.append((status, body, lines))

    @property
    def status(self) -> int:
        """Returns the status of the answer; 0 while there is none."""
        assert len(self.answers) <= 1
        return self.answers[0][0] if self.answers else 0


class ControlCluster:
    """Control nodes on a virtual network."""

    def __init__(self, seed: int, count: int = 3) -> None:
        self.network = VirtualNetwork(seed)
        self.ips = [f"10.0.0.{n + 1}" for n in range(count)]
        self.seeds = self.ips[:3]
        self.programs: dict[str, ControlNode] = {}
        for ip in self.ips:
            self.network.machine(ip)
            self.start(ip, first=True)

    def start(self, ip: str, first: bool = False) -> None:
        """Starts the process of a machine."""

        def make(machine: Machine) -> ControlNode:
            return ControlNode(machine, settings(ip, self.seeds, first))

        made = self.network.machines[ip].start(make)
        if isinstance(made, ControlNode):
            made.operator = OperatorApi(made.replica, ZONES, PORT, check)
            self.programs[ip] = made

    def add(self, ip: str) -> None:
        """Adds a machine with an empty disk, and starts its process."""
        self.network.machine(ip)
        self.start(ip)

    def lose(self, ip: str) -> None:
        """Loses a machine with its disk for good."""
        self.network.machines[ip].off(power=True)
        self.network.machines[ip].disk.files.clear()

    def call(self, ip: str, method: str, path: str, body: bytes = b"", delay_s: float = 0.0) -> Call:
        """Calls a control node, which reads the call after a delay; the answer arrives as time passes."""
        machine = self.network.machines[ip]
        call = Call(machine, method, path, body)
        if machine.on:
            machine.after(0.001 + delay_s, lambda: self.programs[ip].operator.handle(call))
        return call

    def replace(self, ip: str, version: int, content: str = "") -> Call:
        """Sends a configuration to a control node."""
        return self.call(ip, "POST", "/api/configuration/replace", f"r{version} {content}".encode())

    def describe(self, ip: str) -> Call:
        """Reads the configuration from a control node."""
        return self.call(ip, "GET", "/api/configuration/describe")

    def run(self, seconds: float) -> None:
        """Lets time pass."""
        self.network.run(self.network.time + seconds)

    def split(self, *groups: list[str]) -> None:
        """Partitions the network into groups of machines."""
        self.network.cuts = {
            (a, b) for group in groups for other in groups if group is not other for a in group for b in other
        }

    def known(self, ip: str) -> MeshState:
        """Returns the committed state that a control node knows."""
        known = self.programs[ip].replica.known_state
        assert known is not None
        return known
