"""The layout of a fleet on loopback: addresses, zones, regions, services and settings files.

Each machine has an address of its own in 127.0.0.0/8, and all machines use the same ports, as in a
deployment. The second octet of an address identifies the zone.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from pathlib import Path

from honeywharf.simulation import deployment
from honeywharf.standins.meshdemo import find_free_subnet

#: Each zone with its region; the regions have three and two zones.
ZONES = (
    ("north-a", "north"),
    ("north-b", "north"),
    ("north-c", "north"),
    ("south-a", "south"),
    ("south-b", "south"),
)
#: The two sides of a partition between zones, and of one between regions.
PARTITIONED_ZONES = (frozenset({"north-b"}), frozenset({"north-c"}))
PARTITIONED_REGIONS = (
    frozenset(zone for zone, region in ZONES if region == "north"),
    frozenset(zone for zone, region in ZONES if region == "south"),
)
MACHINES_PER_ROW = 200  # Sidecar machines of a zone that share the third octet of their addresses.
CONTROL_ROW = 250  # Third octet of the control machines' addresses.
MANAGEMENT_ROW = 251  # Third octet of the addresses at which the bench's own processes answer calls.
SEED_COUNT = 3
HIGHEST_OCTET = 254 - len(ZONES)
MANAGEMENT = 8308  # Port for the bench's calls to its processes, beside the ports of `deployment`.
BOUND_OVERRIDES = {"config-apply": "6000ms"}  # The bound of a real deployment replaces the simulation's.


@dataclass(frozen=True)
class Node:
    """One sidecar machine with its backend."""

    index: int
    ip: str
    zone: str
    service: str


@dataclass(frozen=True)
class Plan:
    """A fleet of `nodes` sidecar machines and `controls` control machines in `services` services.

    `octet` is the second octet of the first zone's addresses, `shift` the offset of all ports from those of
    `honeywharf.simulation.deployment`.
    """

    nodes: int
    controls: int
    services: int
    octet: int
    shift: int

    @staticmethod
    def on_free_ports(nodes: int, controls: int, services: int) -> Plan:
        """Returns a plan whose ports are free. OSError if there is none."""
        subnet, shift = find_free_subnet()
        octet = min(HIGHEST_OCTET, int(subnet.split(".")[1]))
        return Plan(nodes, controls, services, octet, shift)

    def port(self, number: int) -> int:
        """Returns the port in this fleet for a port of `deployment`, or for `MANAGEMENT`."""
        return number + self.shift

    def node(self, index: int) -> Node:
        """Returns a sidecar machine; machines are assigned to the zones in turn."""
        rank, zone = divmod(index, len(ZONES))
        row, place_in_row = divmod(rank, MACHINES_PER_ROW)
        ip = f"127.{self.octet + zone}.{1 + row}.{1 + place_in_row}"
        return Node(index, ip, ZONES[zone][0], f"service-{index % self.services:03}")

    def control_ip(self, index: int) -> str:
        """Returns the address of a control machine; they are assigned to the zones in turn."""
        rank, zone = divmod(index, len(ZONES))
        return f"127.{self.octet + zone}.{CONTROL_ROW}.{1 + rank}"

    def control_zone(self, index: int) -> str:
        """Returns the zone of a control machine."""
        return ZONES[index % len(ZONES)][0]

    def management_ip(self, process: int) -> str:
        """Returns the address at which a process of hollow nodes answers calls."""
        return f"127.{self.octet}.{MANAGEMENT_ROW}.{1 + process}"

    def zone_of(self, ip: str) -> str:
        """Returns the zone of an address of this plan."""
        return ZONES[int(ip.split(".")[1]) - self.octet][0]

    def real_nodes(self, count: int) -> list[int]:
        """Returns the indexes of the first machines, whose sidecar is a separate process."""
        return list(range(min(count, self.nodes)))

    # Settings files.

    def node_settings(self, node: Node) -> str:
        """Returns the settings file of a sidecar."""
        return json.dumps(self._settings(node.ip, node.zone, node.service))

    def control_settings(self, index: int, disk: Path) -> str:
        """Returns the settings file of a control process with the data directory `disk`."""
        settings = self._settings(self.control_ip(index), self.control_zone(index), "")
        settings["data-directory"] = str(disk)
        return json.dumps(settings)

    def _settings(self, ip: str, zone: str, service: str) -> dict[str, object]:
        seeds = [self.control_ip(index) for index in range(min(SEED_COUNT, self.controls))]
        settings: dict[str, object] = json.loads(deployment.settings(ip, zone, seeds, True, service))
        settings["zones"] = dict(ZONES)
        settings["region"] = dict(ZONES)[zone]
        listen = {"control-plane": deployment.CONTROL}
        if service:
            listen |= {
                "inbound": deployment.INBOUND,
                "outbound": deployment.OUTBOUND,
                "readiness": deployment.READINESS,
            }
            settings["application"] = f"{ip}:{self.port(deployment.APPLICATION)}"
        settings["listen-addresses"] = {name: f"{ip}:{self.port(port)}" for name, port in listen.items()}
        settings["seed-nodes"] = [f"{seed}:{self.port(deployment.CONTROL)}" for seed in seeds]
        first = self.port(deployment.INTERNAL)
        settings["internal-port-range"] = [first, first + 15]
        bounds = settings["bounds"]
        assert isinstance(bounds, list)
        remaining_bounds = [line for line in bounds if line.partition("=")[0] not in BOUND_OVERRIDES]
        settings["bounds"] = remaining_bounds + [f"{name}={value}" for name, value in BOUND_OVERRIDES.items()]
        return settings
