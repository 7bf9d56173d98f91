"""The phases of a scale run: each operates on a running fleet and returns figures by name."""

from __future__ import annotations

import os
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from bench.scale.fits import percentile
from bench.scale.fleet import Fleet, FleetError
from bench.scale.messages import NodeSample
from bench.scale.plan import PARTITIONED_REGIONS, PARTITIONED_ZONES
from bench.scale.processes import Spawned
from bench.scale.traffic import Traffic
from honeywharf.simulation import deployment as machines

Figures = dict[str, float]
APPLY_TIMEOUT_S = 30.0  # Time limit of a change to be applied everywhere.
START_TIMEOUT_S = 120.0  # Time limit of all nodes to know each other.
SETTLE_S = 3.0
RACK_COUNT = 30
LOST_ZONE = "south-b"  # With three sidecar processes, none runs in this zone.
RECOVERY_TIMEOUT_S = 60.0
ENTRY_EXPIRY_S = 50.0  # All tables have dropped an unreachable node after this time.


@dataclass(frozen=True)
class Schedule:
    """Durations of the phases in seconds, and the numbers of changes and restarts."""

    spread_s: float
    idle_s: float
    changes: int
    change_every_s: float
    restarts: int
    partition_s: float


class Meter:
    """Measures what each role sends, receives and computes between its creation and `read`."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.roles: dict[str, list[Spawned]] = {
            "hollow": fleet.hollow,
            "sidecar": [process for process in fleet.sidecars if process.running],
            "control": [process for process in fleet.controls if process.running],
        }
        self.started_at = time.monotonic()
        self.earlier_traffic = {role: self._traffic(role) for role in self.roles}
        self.earlier_processor_s = {role: self._processor_s(role) for role in self.roles}

    def _traffic(self, role: str) -> list[Traffic]:
        return [sample.traffic for sample in self.fleet.samples(self.roles[role])]

    def _processor_s(self, role: str) -> float:
        return sum(process.processor_s() for process in self.roles[role])

    def read(self) -> Figures:
        """Returns figures per second for one node of each role."""
        seconds = time.monotonic() - self.started_at
        figures: Figures = {}
        for role in self.roles:
            traffic_of_nodes = [
                after - before
                for after, before in zip(self._traffic(role), self.earlier_traffic[role], strict=True)
            ]
            if not traffic_of_nodes:
                continue
            total, node_seconds = sum(traffic_of_nodes, Traffic()), len(traffic_of_nodes) * seconds
            processor_s = self._processor_s(role) - self.earlier_processor_s[role]
            figures |= {
                f"{role}: bytes/s sent": total.bytes_sent / node_seconds,
                f"{role}: bytes/s received": total.bytes_received / node_seconds,
                f"{role}: bytes/s sent, most": max(each.bytes_sent for each in traffic_of_nodes) / seconds,
                f"{role}: datagrams/s sent": total.datagrams_sent / node_seconds,
                f"{role}: segments/s sent": total.segments_sent / node_seconds,
                f"{role}: links/s opened": total.links_opened / node_seconds,
                f"{role}: % of a core": 100.0 * processor_s / node_seconds,
            }
        return figures


def prefixed(phase: str, figures: Figures) -> Figures:
    """Returns figures with the phase in their names."""
    return {f"{phase} | {name}": value for name, value in figures.items()}


def start(fleet: Fleet, schedule: Schedule) -> Figures:
    """Starts all nodes; ends when all know each other and have applied the first configuration."""
    fleet.wait("the processes", START_TIMEOUT_S, lambda: fleet.all_answer([*fleet.hollow, *fleet.controls]))
    fleet.change()
    started_at = time.monotonic()
    fleet.start_nodes(schedule.spread_s)
    fleet.pause(schedule.spread_s)
    samples: list[NodeSample] = []
    hollow = sum(map(len, fleet.shares))

    def complete() -> bool:
        samples[:] = fleet.hollow_samples()
        return len(samples) == hollow and all(sample.complete for sample in samples)

    fleet.wait("all nodes know all others", START_TIMEOUT_S, complete)
    fleet.wait(
        "the sidecar processes are ready",
        START_TIMEOUT_S,
        lambda: all(fleet.is_ready(process.address[0], machines.READINESS) for process in fleet.sidecars),
    )
    return {
        "seconds until all know all": max(sample.complete for sample in samples) - started_at,
        "node: seconds until ready, p99": percentile([s.ready - s.started for s in samples], 0.99),
        "node: bytes received": sum(sample.traffic.bytes_received for sample in samples) / hollow,
        "node: bytes sent": sum(sample.traffic.bytes_sent for sample in samples) / hollow,
        "control: bytes sent": sum(sample.traffic.bytes_sent for sample in fleet.samples(fleet.controls))
        / fleet.plan.controls,
    }


def idle(fleet: Fleet, schedule: Schedule) -> Figures:
    """Leaves the fleet idle."""
    fleet.pause(SETTLE_S)
    meter = Meter(fleet)
    fleet.pause(schedule.idle_s)
    return meter.read()


@dataclass
class Changes:
    """Measured changes, in seconds.

    `hollow` and `processes` are the times from the acknowledgement until a node has applied the change.
    """

    acknowledgements: list[float] = field(default_factory=list)
    hollow: list[float] = field(default_factory=list)
    processes: list[float] = field(default_factory=list)

    def make(self, fleet: Fleet, first: int = 0) -> None:
        """Makes one change and waits until all nodes have applied it. FleetError after `APPLY_TIMEOUT_S`."""
        sent, acknowledged = fleet.change(first)
        version = fleet.version
        hollow: list[float] = []
        processes: list[float] = []

        def applied_everywhere() -> bool:
            hollow[:] = fleet.application_times(version)
            processes[:] = fleet.process_application_times(version)
            return all(hollow) and all(processes)

        try:
            fleet.wait(f"r{version} is in force everywhere", APPLY_TIMEOUT_S, applied_everywhere)
        except FleetError as error:
            behind = hollow.count(0.0) + processes.count(0.0)
            raise FleetError(f"{error.condition} ({behind} nodes are behind)", error.seconds) from None
        self.acknowledgements.append(acknowledged - sent)
        self.hollow += [max(0.0, at - acknowledged) for at in hollow]
        self.processes += [max(0.0, at - acknowledged) for at in processes]

    def figures(self) -> Figures:
        """Returns the figures in milliseconds."""
        return {
            "acknowledged after, ms, p50": 1000.0 * percentile(self.acknowledgements, 0.5),
            "acknowledged after, ms, most": 1000.0 * max(self.acknowledgements),
            "hollow: in force after that, ms, p50": 1000.0 * percentile(self.hollow, 0.5),
            "hollow: in force after that, ms, p99": 1000.0 * percentile(self.hollow, 0.99),
            "hollow: in force after that, ms, most": 1000.0 * max(self.hollow),
            "sidecar: in force after that, ms, most": 1000.0 * max(self.processes, default=0.0),
        }


def changes(fleet: Fleet, schedule: Schedule) -> Figures:
    """Makes a change every `change_every_s`."""
    meter, results = Meter(fleet), Changes()
    for _ in range(schedule.changes):
        started_at = time.monotonic()
        results.make(fleet)
        fleet.pause(max(0.0, schedule.change_every_s - (time.monotonic() - started_at)))
    return {**results.figures(), **meter.read()}


def _sample_of(fleet: Fleet, index: int) -> NodeSample:
    """Returns the sample of one hollow node."""
    return next(sample for sample in fleet.hollow_samples() if sample.index == index)


def _restart_hollow(fleet: Fleet, index: int) -> tuple[float, float, float]:
    """Restarts a hollow node.

    Returns the seconds until it is ready and until it knows all nodes, and the bytes it receives until then.
    """
    before = _sample_of(fleet, index)
    fleet.kill_hollow([index])
    fleet.restart_hollow([index])
    fleet.wait(
        f"node {index} is complete again", RECOVERY_TIMEOUT_S, lambda: bool(_sample_of(fleet, index).complete)
    )
    after = _sample_of(fleet, index)
    received = (after.traffic - before.traffic).bytes_received
    return after.ready - after.started, after.complete - after.started, float(received)


def restarts(fleet: Fleet, schedule: Schedule) -> Figures:
    """Restarts machines one after the other: hollow ones, and a sidecar process."""
    restarted = [_restart_hollow(fleet, index) for index in fleet.shares[0][: schedule.restarts]]
    ready, complete, received = zip(*restarted, strict=True)
    figures = {
        "hollow: ms until ready": 1000.0 * max(ready),
        "hollow: ms until it knows all": 1000.0 * max(complete),
        "hollow: bytes received until then": max(received),
    }
    if fleet.sidecars:
        process = fleet.sidecars[0]
        figures["sidecar process: ms until ready"] = 1000.0 * _restart_process(
            fleet, process, lambda: fleet.is_ready(process.address[0], machines.READINESS)
        )
    return figures


def _restart_process(fleet: Fleet, process: Spawned, ready: Callable[[], bool]) -> float:
    """Kills a process and starts it at once; returns the seconds from its start until it is ready."""
    process.kill()
    process.start()
    return fleet.wait(f"{process.name} is ready again", RECOVERY_TIMEOUT_S, ready)


def _lose_machines(fleet: Fleet, lost: list[int], seconds: float) -> Figures:
    """Kills hollow nodes and starts them again after `seconds` or more."""
    meter, started_at = Meter(fleet), time.monotonic()
    fleet.kill_hollow(lost)

    def noticed() -> bool:  # The entry is marked as unreachable, or has expired since.
        remaining = [sample for sample in fleet.hollow_samples() if sample.index not in lost_indexes]
        alive = fleet.machines - len(lost)
        return all(sample.known - sample.unreachable <= alive for sample in remaining)

    lost_indexes = set(lost)
    noticed_after_s = fleet.wait("all hold the lost machines unreachable", RECOVERY_TIMEOUT_S, noticed)
    fleet.pause(max(0.0, seconds - (time.monotonic() - started_at)))
    figures = meter.read()
    meter = Meter(fleet)
    fleet.restart_hollow(lost)
    recovered_after_s = fleet.wait(
        "all nodes know all others again", RECOVERY_TIMEOUT_S, lambda: _all_reachable(fleet)
    )
    fleet.pause(max(0.0, seconds - recovered_after_s))
    return {
        "machines": len(lost),
        "seconds until all hold them unreachable": noticed_after_s,
        "seconds until all is well again": recovered_after_s,
        **prefixed("lost", figures),
        **prefixed("back", meter.read()),
    }


def rack_lost(fleet: Fleet, schedule: Schedule) -> Figures:
    """Kills a thirtieth of the machines, all in one zone."""
    zone = [index for index in fleet.hollow_indexes if fleet.plan.node(index).zone == LOST_ZONE]
    return _lose_machines(fleet, zone[: max(1, fleet.plan.nodes // RACK_COUNT)], schedule.partition_s)


def zone_lost(fleet: Fleet, schedule: Schedule) -> Figures:
    """Kills all machines of a zone except those of control."""
    zone = [index for index in fleet.hollow_indexes if fleet.plan.node(index).zone == LOST_ZONE]
    return _lose_machines(fleet, zone, schedule.partition_s)


def control_loss(fleet: Fleet, schedule: Schedule) -> Figures:
    """Kills a control process, sends a change to it at once, and starts it again."""
    fleet.controls[0].kill()
    results = Changes()
    results.make(fleet, first=0)
    fleet.controls[0].start()
    ready = fleet.wait(
        "the control process is ready again",
        RECOVERY_TIMEOUT_S,
        lambda: fleet.is_ready(fleet.plan.control_ip(0), machines.CONTROL),
    )
    return {
        **results.figures(),
        "control: ms until ready again": 1000.0 * ready,
    }


def _all_reachable(fleet: Fleet) -> bool:
    """Returns whether every hollow node knows every machine and considers none unreachable."""
    return all(sample.known >= fleet.machines and not sample.unreachable for sample in fleet.hollow_samples())


def _heal_partition(fleet: Fleet) -> float:
    """Removes the partition; returns the seconds until all nodes reach each other."""
    fleet.partition()
    return fleet.wait("all nodes know all others again", RECOVERY_TIMEOUT_S, lambda: _all_reachable(fleet))


def zone_partition(fleet: Fleet, schedule: Schedule) -> Figures:
    """Separates two zones; measures the spread of the failure and then the steady state."""
    fleet.pause(SETTLE_S)
    meter = Meter(fleet)
    fleet.partition(*PARTITIONED_ZONES)
    fleet.pause(schedule.partition_s)
    figures = prefixed("first", meter.read())
    meter = Meter(fleet)
    fleet.pause(2 * schedule.partition_s)
    figures |= prefixed("later", meter.read())
    max_unreachable = max(sample.unreachable for sample in fleet.hollow_samples())
    results = Changes()
    results.make(fleet)
    return {
        "nodes held unreachable, most": max_unreachable,
        **results.figures(),
        "seconds until all is well again": _heal_partition(fleet),
        **figures,
    }


def region_partition(fleet: Fleet, schedule: Schedule) -> Figures:
    """Separates the regions for longer than entries of unreachable nodes are kept."""
    fleet.pause(SETTLE_S)
    meter = Meter(fleet)
    fleet.partition(*PARTITIONED_REGIONS)
    fleet.pause(schedule.partition_s)
    figures = prefixed("first", meter.read())
    fleet.pause(max(0.0, ENTRY_EXPIRY_S - schedule.partition_s))
    meter = Meter(fleet)
    fleet.pause(schedule.partition_s)
    figures |= prefixed("later", meter.read())
    sent, acknowledged = fleet.change()
    meter = Meter(fleet)
    figures["seconds until all is well again"] = _heal_partition(fleet)
    figures["seconds until the change of meanwhile is everywhere"] = fleet.wait(
        "the change", APPLY_TIMEOUT_S, lambda: all(fleet.application_times(fleet.version))
    )
    figures["acknowledged after, ms"] = 1000.0 * (acknowledged - sent)
    return {**figures, **prefixed("joined", meter.read())}


def memory(fleet: Fleet) -> Figures:
    """Returns the resident memory of all roles, and the number of logged faults."""
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
    "rest": idle,
    "changes": changes,
    "restarts": restarts,
    "control lost": control_loss,
    "rack lost": rack_lost,
    "zone lost": zone_lost,
    "zones deaf": zone_partition,
    "regions deaf": region_partition,
}
