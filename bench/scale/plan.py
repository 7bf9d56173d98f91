"""The layout of a fleet on loopback: addresses, zones, regions, services and settings files.

Each machine has an address of its own in 127.0.0.0/8, and all machines use the same ports, as the platform
has it. The second number of an address names the zone, so that a zone can be told from an address.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from pathlib import Path

from honeywharf.simulation import deployment
from honeywharf.standins.meshdemo import find_free_subnet

#: Zone and region; two regions of three and two zones.
ZONES = (
    ("north-a", "north"),
    ("north-b", "north"),
    ("north-c", "north"),
    ("south-a", "south"),
    ("south-b", "south"),
)
#: What loses each other in the two partitions: two zones, and the two regions.
DEAF_ZONES = (frozenset({"north-b"}), frozenset({"north-c"}))
DEAF_REGIONS = (
    frozenset(zone for zone, region in ZONES if region == "north"),
    frozenset(zone for zone, region in ZONES if region == "south"),
)
PER_ROW = 200  # sidecar machines of a zone that share the third number of their addresses
CONTROL_ROW = 250  # third number of the control machines' addresses
MANAGEMENT_ROW = 251  # third number of the addresses at which the run's own processes are asked
SEEDS = 3
HIGHEST_OCTET = 254 - len(ZONES)
MANAGEMENT = 8308  # port at which the run asks its processes, beside the ports of `field`
BOUNDS = {"config-apply": "6000ms"}  # the target's bound, in place of the simulation's


@dataclass(frozen=True)
class Node:
    """One sidecar machine, with its backend."""

    index: int
    ip: str
    zone: str
    service: str


@dataclass(frozen=True)
class Plan:
    """A fleet of `nodes` sidecar machines and `controls` control machines in `services` services.

    `octet`: second number of the first zone's addresses. `shift`: added to the ports of `field`.
    """

    nodes: int
    controls: int
    services: int
    octet: int
    shift: int

    @staticmethod
    def on_free_ports(nodes: int, controls: int, services: int) -> Plan:
        """A plan whose ports nobody uses. OSError where there is none."""
        subnet, shift = find_free_subnet()
        octet = min(HIGHEST_OCTET, int(subnet.split(".")[1]))
        return Plan(nodes, controls, services, octet, shift)

    def port(self, number: int) -> int:
        """The port that stands for one of `field`, or for `MANAGEMENT`."""
        return number + self.shift

    def node(self, index: int) -> Node:
        """A sidecar machine; machines go to the zones in turn."""
        rank, zone = divmod(index, len(ZONES))
        row, place_in_row = divmod(rank, PER_ROW)
        ip = f"127.{self.octet + zone}.{1 + row}.{1 + place_in_row}"
        return Node(index, ip, ZONES[zone][0], f"service-{index % self.services:03}")

    def control_ip(self, index: int) -> str:
        """The address of a control machine; they go to the zones in turn."""
        rank, zone = divmod(index, len(ZONES))
        return f"127.{self.octet + zone}.{CONTROL_ROW}.{1 + rank}"

    def control_zone(self, index: int) -> str:
        """The zone of a control machine."""
        return ZONES[index % len(ZONES)][0]

    def management_ip(self, process: int) -> str:
        """The address at which a process of hollow nodes is asked."""
        return f"127.{self.octet}.{MANAGEMENT_ROW}.{1 + process}"

    def zone_of(self, ip: str) -> str:
        """The zone of an address of this plan."""
        return ZONES[int(ip.split(".")[1]) - self.octet][0]

    def real_nodes(self, count: int) -> list[int]:
        """Indexes of the machines whose sidecar is a process of its own: the first ones."""
        return list(range(min(count, self.nodes)))

    # Settings files.

    def node_settings(self, node: Node) -> str:
        """The settings file of a sidecar."""
        return json.dumps(self._settings(node.ip, node.zone, node.service))

    def control_settings(self, index: int, disk: Path) -> str:
        """The settings file of a control process whose data directory is `disk`."""
        settings = self._settings(self.control_ip(index), self.control_zone(index), "")
        settings["data-directory"] = str(disk)
        return json.dumps(settings)

    def _settings(self, ip: str, zone: str, service: str) -> dict[str, object]:
        seeds = [self.control_ip(index) for index in range(min(SEEDS, self.controls))]
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
        kept = [line for line in bounds if line.partition("=")[0] not in BOUNDS]
        settings["bounds"] = kept + [f"{name}={value}" for name, value in BOUNDS.items()]
        return settings
