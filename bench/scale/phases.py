"""What is done to a running fleet, one phase after the other, and what each shows as figures by name."""

from __future__ import annotations

import os
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from bench.scale.fits import percentile
from bench.scale.fleet import Fleet, FleetError
from bench.scale.messages import NodeSample
from bench.scale.plan import DEAF_REGIONS, DEAF_ZONES
from bench.scale.processes import Spawned
from bench.scale.traffic import Traffic
from honeywharf.simulation import deployment as machines

Figures = dict[str, float]
IN_FORCE_S = 30.0  # that a change may take everywhere before the run gives up
START_S = 120.0  # that all nodes may take to know each other
SETTLE_S = 3.0
RACKS = 30  # of the fleet
LOST_ZONE = "south-b"  # no sidecar process runs there with three of them
RECOVERY_S = 60.0
GONE_S = 50.0  # after which a node that is held unreachable has been dropped from every table


@dataclass(frozen=True)
class Schedule:
    """How long each phase is watched, in seconds, and how many changes and restarts there are."""

    spread_s: float
    rest_s: float
    changes: int
    change_every_s: float
    restarts: int
    partition_s: float


class Meter:
    """What each role spends between its making and `read`."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.roles: dict[str, list[Spawned]] = {
            "hollow": fleet.hollow,
            "sidecar": [process for process in fleet.sidecars if process.running],
            "control": [process for process in fleet.controls if process.running],
        }
        self.begun = time.monotonic()
        self.before = {role: self._sampled(role) for role in self.roles}
        self.processor = {role: self._processor(role) for role in self.roles}

    def _sampled(self, role: str) -> list[Traffic]:
        return [sample.traffic for sample in self.fleet.samples(self.roles[role])]

    def _processor(self, role: str) -> float:
        return sum(process.processor_s() for process in self.roles[role])

    def read(self) -> Figures:
        """Figures a second of one node of each role."""
        seconds = time.monotonic() - self.begun
        figures: Figures = {}
        for role in self.roles:
            spent = [
                after - before for after, before in zip(self._sampled(role), self.before[role], strict=True)
            ]
            if not spent:
                continue
            total, nodes = sum(spent, Traffic()), len(spent) * seconds
            processor = self._processor(role) - self.processor[role]
            figures |= {
                f"{role}: bytes/s sent": total.bytes_sent / nodes,
                f"{role}: bytes/s received": total.bytes_received / nodes,
                f"{role}: bytes/s sent, most": max(each.bytes_sent for each in spent) / seconds,
                f"{role}: datagrams/s sent": total.datagrams_sent / nodes,
                f"{role}: segments/s sent": total.segments_sent / nodes,
                f"{role}: links/s opened": total.links_opened / nodes,
                f"{role}: % of a core": 100.0 * processor / nodes,
            }
        return figures


def prefixed(phase: str, figures: Figures) -> Figures:
    """Figures under the name of their phase."""
    return {f"{phase} | {name}": value for name, value in figures.items()}


def start(fleet: Fleet, schedule: Schedule) -> Figures:
    """From nothing until every node knows every other one and has the first configuration in force."""
    fleet.wait("the processes", START_S, lambda: fleet.answering([*fleet.hollow, *fleet.controls]))
    fleet.change()
    begun = time.monotonic()
    fleet.start_nodes(schedule.spread_s)
    fleet.pause(schedule.spread_s)
    samples: list[NodeSample] = []
    hollow = sum(map(len, fleet.shares))

    def complete() -> bool:
        samples[:] = fleet.hollow_samples()
        return len(samples) == hollow and all(sample.complete for sample in samples)

    fleet.wait("all nodes know all others", START_S, complete)
    fleet.wait(
        "the sidecar processes are ready",
        START_S,
        lambda: all(fleet.is_ready(process.address[0], machines.READINESS) for process in fleet.sidecars),
    )
    return {
        "seconds until all know all": max(sample.complete for sample in samples) - begun,
        "node: seconds until ready, p99": percentile([s.ready - s.started for s in samples], 0.99),
        "node: bytes received": sum(sample.traffic.bytes_received for sample in samples) / hollow,
        "node: bytes sent": sum(sample.traffic.bytes_sent for sample in samples) / hollow,
        "control: bytes sent": sum(sample.traffic.bytes_sent for sample in fleet.samples(fleet.controls))
        / fleet.plan.controls,
    }


def rest(fleet: Fleet, schedule: Schedule) -> Figures:
    """Nothing happens."""
    fleet.pause(SETTLE_S)
    meter = Meter(fleet)
    fleet.pause(schedule.rest_s)
    return meter.read()


@dataclass
class Changes:
    """Changes that were made. Seconds; `hollow` and `processes` from the acknowledgement until in force."""

    acknowledgements: list[float] = field(default_factory=list)
    hollow: list[float] = field(default_factory=list)
    processes: list[float] = field(default_factory=list)

    def make(self, fleet: Fleet, first: int = 0) -> None:
        """Make one, and wait until it is in force everywhere."""
        sent, acknowledged = fleet.change(first)
        version = fleet.version
        hollow: list[float] = []
        processes: list[float] = []

        def everywhere() -> bool:
            hollow[:] = fleet.in_force(version)
            processes[:] = fleet.in_force_at_processes(version)
            return all(hollow) and all(processes)

        try:
            fleet.wait(f"r{version} is in force everywhere", IN_FORCE_S, everywhere)
        except FleetError as error:
            behind = hollow.count(0.0) + processes.count(0.0)
            raise FleetError(f"{error.what} ({behind} nodes are behind)", error.seconds) from None
        self.acknowledgements.append(acknowledged - sent)
        self.hollow += [max(0.0, at - acknowledged) for at in hollow]
        self.processes += [max(0.0, at - acknowledged) for at in processes]

    def figures(self) -> Figures:
        """In milliseconds."""
        return {
            "acknowledged after, ms, p50": 1000.0 * percentile(self.acknowledgements, 0.5),
            "acknowledged after, ms, most": 1000.0 * max(self.acknowledgements),
            "hollow: in force after that, ms, p50": 1000.0 * percentile(self.hollow, 0.5),
            "hollow: in force after that, ms, p99": 1000.0 * percentile(self.hollow, 0.99),
            "hollow: in force after that, ms, most": 1000.0 * max(self.hollow),
            "sidecar: in force after that, ms, most": 1000.0 * max(self.processes, default=0.0),
        }


def changes(fleet: Fleet, schedule: Schedule) -> Figures:
    """A change every `change_every_s`."""
    meter, made = Meter(fleet), Changes()
    for _ in range(schedule.changes):
        begun = time.monotonic()
        made.make(fleet)
        fleet.pause(max(0.0, schedule.change_every_s - (time.monotonic() - begun)))
    return {**made.figures(), **meter.read()}


def _node(fleet: Fleet, index: int) -> NodeSample:
    """One hollow node."""
    return next(sample for sample in fleet.hollow_samples() if sample.index == index)


def _restarted(fleet: Fleet, index: int) -> tuple[float, float, float]:
    """Restart a hollow node: seconds until it is ready, and knows all, and the bytes received until then."""
    before = _node(fleet, index)
    fleet.kill_hollow([index])
    fleet.revive_hollow([index])
    fleet.wait(f"node {index} is complete again", RECOVERY_S, lambda: bool(_node(fleet, index).complete))
    after = _node(fleet, index)
    received = (after.traffic - before.traffic).bytes_received
    return after.ready - after.started, after.complete - after.started, float(received)


def restarts(fleet: Fleet, schedule: Schedule) -> Figures:
    """Machines restart one after the other: hollow ones, and a sidecar process."""
    restarted = [_restarted(fleet, index) for index in fleet.shares[0][: schedule.restarts]]
    ready, complete, received = zip(*restarted, strict=True)
    figures = {
        "hollow: ms until ready": 1000.0 * max(ready),
        "hollow: ms until it knows all": 1000.0 * max(complete),
        "hollow: bytes received until then": max(received),
    }
    if fleet.sidecars:
        process = fleet.sidecars[0]
        figures["sidecar process: ms until ready"] = 1000.0 * _process_restart(
            fleet, process, lambda: fleet.is_ready(process.address[0], machines.READINESS)
        )
    return figures


def _process_restart(fleet: Fleet, process: Spawned, ready: Callable[[], bool]) -> float:
    """Kill a process and start it at once; seconds from its start until it is ready."""
    process.kill()
    process.start()
    return fleet.wait(f"{process.name} is ready again", RECOVERY_S, ready)


def _machines_lost(fleet: Fleet, lost: list[int], seconds: float) -> Figures:
    """Hollow nodes end at once without a word, and come back after `seconds` or more."""
    meter, begun = Meter(fleet), time.monotonic()
    fleet.kill_hollow(lost)

    def noticed() -> bool:  # held unreachable, or dropped since
        left = [sample for sample in fleet.hollow_samples() if sample.index not in gone]
        alive = fleet.machines - len(lost)
        return all(sample.known - sample.held_down <= alive for sample in left)

    gone = set(lost)
    known = fleet.wait("all hold the lost machines unreachable", RECOVERY_S, noticed)
    fleet.pause(max(0.0, seconds - (time.monotonic() - begun)))
    figures = meter.read()
    meter = Meter(fleet)
    fleet.revive_hollow(lost)
    back = fleet.wait("all nodes know all others again", RECOVERY_S, lambda: _all_well(fleet))
    fleet.pause(max(0.0, seconds - back))
    return {
        "machines": len(lost),
        "seconds until all hold them unreachable": known,
        "seconds until all is well again": back,
        **prefixed("lost", figures),
        **prefixed("back", meter.read()),
    }


def rack_lost(fleet: Fleet, schedule: Schedule) -> Figures:
    """A thirtieth of the machines, of one zone, ends at once: forty of 1,200."""
    zone = [index for index in fleet.hollow_indexes if fleet.plan.node(index).zone == LOST_ZONE]
    return _machines_lost(fleet, zone[: max(1, fleet.plan.nodes // RACKS)], schedule.partition_s)


def zone_lost(fleet: Fleet, schedule: Schedule) -> Figures:
    """All machines of a zone but those of control end at once."""
    zone = [index for index in fleet.hollow_indexes if fleet.plan.node(index).zone == LOST_ZONE]
    return _machines_lost(fleet, zone, schedule.partition_s)


def control_loss(fleet: Fleet, schedule: Schedule) -> Figures:
    """A control process is killed, a change is sent to it at once, and it starts again."""
    fleet.controls[0].kill()
    made = Changes()
    made.make(fleet, first=0)
    fleet.controls[0].start()
    ready = fleet.wait(
        "the control process is ready again",
        RECOVERY_S,
        lambda: fleet.is_ready(fleet.plan.control_ip(0), machines.CONTROL),
    )
    return {
        **made.figures(),
        "control: ms until ready again": 1000.0 * ready,
    }


def _all_well(fleet: Fleet) -> bool:
    """Whether every hollow node knows every machine and holds none unreachable."""
    return all(sample.known >= fleet.machines and not sample.held_down for sample in fleet.hollow_samples())


def _joined(fleet: Fleet) -> float:
    """Join all again; seconds until all is well."""
    fleet.partition()
    return fleet.wait("all nodes know all others again", RECOVERY_S, lambda: _all_well(fleet))


def zones_deaf(fleet: Fleet, schedule: Schedule) -> Figures:
    """Two zones cannot reach each other; first the time in which that is news, then what stays of it."""
    fleet.pause(SETTLE_S)
    meter = Meter(fleet)
    fleet.partition(*DEAF_ZONES)
    fleet.pause(schedule.partition_s)
    figures = prefixed("first", meter.read())
    meter = Meter(fleet)
    fleet.pause(2 * schedule.partition_s)
    figures |= prefixed("later", meter.read())
    held = max(sample.held_down for sample in fleet.hollow_samples())
    made = Changes()
    made.make(fleet)
    return {
        "nodes held unreachable, most": held,
        **made.figures(),
        "seconds until all is well again": _joined(fleet),
        **figures,
    }


def regions_deaf(fleet: Fleet, schedule: Schedule) -> Figures:
    """The regions cannot reach each other, for longer than entries of the unreachable are kept."""
    fleet.pause(SETTLE_S)
    meter = Meter(fleet)
    fleet.partition(*DEAF_REGIONS)
    fleet.pause(schedule.partition_s)
    figures = prefixed("first", meter.read())
    fleet.pause(max(0.0, GONE_S - schedule.partition_s))
    meter = Meter(fleet)
    fleet.pause(schedule.partition_s)
    figures |= prefixed("later", meter.read())
    sent, acknowledged = fleet.change()
    meter = Meter(fleet)
    figures["seconds until all is well again"] = _joined(fleet)
    figures["seconds until the change of meanwhile is everywhere"] = fleet.wait(
        "the change", IN_FORCE_S, lambda: all(fleet.in_force(fleet.version))
    )
    figures["acknowledged after, ms"] = 1000.0 * (acknowledged - sent)
    return {**figures, **prefixed("joined", meter.read())}


def memory(fleet: Fleet) -> Figures:
    """Resident memory at the end."""
    hollow = sum(process.memory_mb() for process in fleet.hollow)
    figures = {
        "hollow: MB a node": hollow / max(1, fleet.plan.nodes - len(fleet.sidecars)),
        "control: MB, most": max(process.memory_mb() for process in fleet.controls),
        "control: MB, peak": max(process.memory_mb("VmHWM") for process in fleet.controls),
        "run: MB in all": sum(process.memory_mb() for process in fleet.all),
        "run: load average of the machine": os.getloadavg()[0],
        "faults in the logs": float(sum(process.faults() for process in fleet.all)),
    }
    if fleet.sidecars:
        figures["sidecar: MB, most"] = max(process.memory_mb() for process in fleet.sidecars)
        figures["sidecar: MB, peak"] = max(process.memory_mb("VmHWM") for process in fleet.sidecars)
    return figures


PHASES: dict[str, Callable[[Fleet, Schedule], Figures]] = {
    "start": start,
    "rest": rest,
    "changes": changes,
    "restarts": restarts,
    "control lost": control_loss,
    "rack lost": rack_lost,
    "zone lost": zone_lost,
    "zones deaf": zones_deaf,
    "regions deaf": regions_deaf,
}
