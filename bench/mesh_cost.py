"""Cost of a machine of the mesh as the fleet grows, with the real programs in the simulated network.

    python -m bench.mesh_cost [--shapes 4,3,3/3 31,31,29/3 99,99,99/3 333,332,332/3] [--span 8] [--rate 0.3]

Each shape (sidecar machines of three zones, core machines) is started, gets one configuration and `--rate`
requests per second from each machine, and runs for 8 s and then for `--span` seconds of virtual time.
Prints the figures of the latter for each sidecar and core machine, and the exponent of their growth from the
second shape to the last: 1 for growth in proportion to the fleet. Status 1 where a figure grows faster than
the fleet, or a rule was broken.
"""

from __future__ import annotations

import argparse
import math
import os
import sys
import time
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context
from pathlib import Path
from typing import Any, cast

from honeywharf.simulation.deployment import ROUTES, Deployment, Shape
from honeywharf.simulation.fault_schedule import FaultSchedule
from honeywharf.simulation.machine import Machine, Process
from honeywharf.simulation.run import real_control_node, real_sidecar

SHAPES = ("4,3,3/3", "31,31,29/3", "99,99,99/3", "333,332,332/3")
TRAFFIC_START_S, MEASUREMENT_START_S = 5.0, 13.0  # Start of the traffic, and of the measurement.
MAX_EXPONENT = 1.15
PAGE_SIZE_BYTES = os.sysconf("SC_PAGE_SIZE")


def memory() -> int:
    """Returns the resident bytes of this process."""
    return int(Path("/proc/self/statm").read_text("ascii").split()[1]) * PAGE_SIZE_BYTES


def links(process: Process) -> int:
    """Returns the number of a process's connections to other machines."""
    others = [end.other.process.machine for end in process.ends if end.other is not None]
    return sum(machine is not process.machine for machine in others)


class SentBytes:
    """Counts the bytes that leave machines, by kind of machine and destination."""

    def __init__(self, deployment: Deployment) -> None:
        self.cores = {core.machine for core in deployment.cores}
        self.bytes: dict[tuple[str, str], int] = {}
        original_depart = Machine.depart

        def depart(machine: Machine, size: int, to: Machine) -> float:
            if to is not machine:
                destination = "within its zone" if machine.zone == to.zone else "to other zones"
                key = ("core" if machine in self.cores else "sidecar", destination)
                self.bytes[key] = self.bytes.get(key, 0) + size
            return original_depart(machine, size, to)

        cast(Any, Machine).depart = depart


def measure(shape_text: str, span: float, rate: float) -> dict[str, float]:
    """Runs one shape; returns the figures of one machine by name."""
    shape, started_at, initial_memory = Shape.from_text(shape_text), time.monotonic(), memory()
    per_s = rate * shape.node_count / sum(row[4] for row in ROUTES)
    deployment = Deployment(
        1, real_sidecar, real_control_node, shape, TRAFFIC_START_S, MEASUREMENT_START_S + span, per_s
    )
    FaultSchedule(deployment, [])
    sent = SentBytes(deployment)
    deployment.world.run(TRAFFIC_START_S - 0.1)
    start_bytes = dict(sent.bytes)
    deployment.world.run(MEASUREMENT_START_S)
    sent.bytes.clear()
    steps = deployment.world.steps
    deployment.world.run(MEASUREMENT_START_S + span)
    sidecar_nodes = [sidecar.proxy for sidecar in deployment.sidecar_nodes]
    machine_counts = {"sidecar": len(sidecar_nodes), "core": len(deployment.cores)}
    machines = sum(machine_counts.values())
    figures: dict[str, float] = {"machines": machines}
    for kind in machine_counts:
        for destination in ("within its zone", "to other zones"):
            figures[f"{kind}: bytes/s {destination}"] = (
                sent.bytes.get((kind, destination), 0) / span / machine_counts[kind]
            )
        figures[f"{kind}: bytes of the start"] = (
            sum(size for (machine_kind, _), size in start_bytes.items() if machine_kind == kind)
            / machine_counts[kind]
        )
        open_now = [links(process) for process in (sidecar_nodes if kind == "sidecar" else deployment.cores)]
        figures[f"{kind}: links"], figures[f"{kind}: links, most"] = (
            sum(open_now) / machine_counts[kind],
            max(open_now),
        )
    program: Any = sidecar_nodes[0].program
    figures["entries of news"] = len(program.membership.entries())
    figures["calls that are due"] = len(deployment.world._heap) / machines
    figures["steps/s"] = (deployment.world.steps - steps) / span / machines
    figures["memory, KiB"] = (memory() - initial_memory) / machines / 1024
    attempts = deployment.invariant_checker.attempts.values()
    figures["requests served, share"] = sum(attempt.status == 200 for attempt in attempts) / max(
        1, len(attempts)
    )
    figures["rules broken"] = len(deployment.invariant_checker.violations) + len(deployment.world.crashes)
    figures["seconds to play"] = time.monotonic() - started_at
    return figures


def exponent(first: dict[str, float], last: dict[str, float], name: str) -> float:
    """Returns the exponent of a figure's growth with the number of machines; 0 for a figure of 0."""
    if min(first[name], last[name]) <= 0:
        return 0.0
    return math.log(last[name] / first[name]) / math.log(last["machines"] / first["machines"])


UNCHECKED_FIGURES = ("machines", "requests served, share", "rules broken", "seconds to play")


def main(arguments: list[str]) -> int:
    """Measures all shapes, each in a separate process, and prints the table."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else "")
    parser.add_argument("--shapes", nargs="+", default=list(SHAPES))
    parser.add_argument("--span", type=float, default=8.0)
    parser.add_argument("--rate", type=float, default=0.3)
    options = parser.parse_args(arguments)
    os.environ["PYTHONHASHSEED"] = "0"
    columns: list[dict[str, float]] = []
    for shape in options.shapes:
        with ProcessPoolExecutor(1, mp_context=get_context("spawn")) as pool:
            columns.append(pool.submit(measure, shape, options.span, options.rate).result())
        print(f"{shape}: {columns[-1]['seconds to play']:.0f} s", flush=True)
    is_bad = any(column["rules broken"] for column in columns)
    for name in columns[0]:
        line = f"{name:34}" + "".join(f"{column[name]:12.1f}" for column in columns)
        if name not in UNCHECKED_FIGURES and len(columns) > 1:
            growth_exponent = exponent(columns[min(1, len(columns) - 2)], columns[-1], name)
            is_bad = is_bad or growth_exponent > MAX_EXPONENT
            line += f"   exponent {growth_exponent:5.2f}"
        print(line)
    return 1 if is_bad else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
