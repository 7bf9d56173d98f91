"""Whole control nodes on a virtual network, and an operator that calls their API without a connection."""

from __future__ import annotations

import hashlib

from result import Err, Ok, Result

from honeywharf.control.mesh_state import MeshState
from honeywharf.control.operator_api import OperatorApi
from honeywharf.mesh_config.configuration import Configuration
from honeywharf.mesh_config.settings import Settings
from honeywharf.programs.control import ControlNode
from tests.control.virtual_network import Machine, VirtualNetwork

ZONES = {"a": "r", "b": "r", "c": "r"}
PORT, INNER = 8306, 7620


def settings(ip: str, seeds: list[str], first: bool) -> Settings:
    """As the file would tell it."""
    made = Settings()
    made.node_name, made.ip, made.zone, made.zones = f"core-{ip}", ip, "abc"[int(ip[-1]) % 3], ZONES
    made.listen_addresses, made.internal_ports = {"control-plane": (ip, PORT)}, (INNER, INNER + 15)
    made.bounds = {"grace-period": 6.0}
    made.link_mbps = 1000.0
    made.seeds, made.initial_start = [(seed, PORT) for seed in seeds], first
    return made


def check(raw: bytes) -> Result[Configuration, str]:
    """Stands for the mesh_config's: `r7 anything` is a configuration."""
    head = raw.split(b" ", 1)[0]
    if not head.startswith(b"r"):
        return Err(f"version: found {head!r}, wanted r and a number")
    return Ok(Configuration(int(head[1:]), hashlib.sha256(raw).hexdigest()[:32], raw))


class Call:
    """A call as the HTTP server hands it over."""

    def __init__(self, method: str, path: str, body: bytes = b"") -> None:
        self.method, self.path, self.body = method.encode(), path.encode(), body
        self.answers: list[tuple[int, bytes, bytes]] = []

    def answer(self, status: int, body: bytes = b"", lines: bytes = b"") -> None:
        self.answers.append((status, body, lines))

    @property
    def status(self) -> int:
        """0 while there is no answer."""
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
        """Start a process."""

        def make(machine: Machine) -> ControlNode:
            return ControlNode(machine, settings(ip, self.seeds, first))

        made = self.network.machines[ip].start(make)
        if isinstance(made, ControlNode):
            made.operator = OperatorApi(made.replica, ZONES, PORT, check)
            self.programs[ip] = made

    def add(self, ip: str) -> None:
        """A new machine with an empty disk."""
        self.network.machine(ip)
        self.start(ip)

    def call(self, ip: str, method: str, path: str, body: bytes = b"") -> Call:
        """Call one; the answer comes as time passes."""
        call = Call(method, path, body)
        if self.network.machines[ip].on:
            self.network.machines[ip].after(0.001, lambda: self.programs[ip].operator.handle(call))
        return call

    def replace(self, ip: str, version: int, content: str = "") -> Call:
        """A configuration."""
        return self.call(ip, "POST", "/api/configuration/replace", f"r{version} {content}".encode())

    def describe(self, ip: str) -> Call:
        """Read it back."""
        return self.call(ip, "GET", "/api/configuration/describe")

    def run(self, seconds: float) -> None:
        """Let time pass."""
        self.network.run(self.network.time + seconds)

    def split(self, *groups: list[str]) -> None:
        """Cut groups of machines off from one another."""
        self.network.cuts = {
            (a, b) for one in groups for other in groups if one is not other for a in one for b in other
        }

    def known(self, ip: str) -> MeshState:
        """The state as one knows it."""
        known = self.programs[ip].replica.known_state
        assert known is not None
        return known
