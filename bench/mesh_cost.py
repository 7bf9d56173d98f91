"""What a machine of the mesh costs as the fleet grows: whole programs in the simulated network, by size.

    python -m bench.mesh_cost [--shapes 4,3,3/3 31,31,29/3 99,99,99/3 333,332,332/3] [--span 8] [--rate 0.3]

Each shape (sidecar machines of three zones, core machines) is started from nothing, has one configuration put
in force and `--rate` requests a second from each machine; after 8 s of settling it is measured for `--span`
seconds of virtual time. Told for each sidecar and core machine: bytes a second that leave it within its zone
and to others; links open to other machines (mean, most); entries of news; calls that are due (timers and what
is on its way); steps of the simulation a second; bytes that the start took; memory: the growth of this
process by machine, all of its stand-ins included. Then how each grows: the exponent of the fleet's size from
the second shape to the last, 0 for what does not grow and 1 for what grows with the fleet. Status 1 where
anything at a machine grows faster than with the fleet, or a rule was broken.
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
LEAD, SETTLED = 5.0, 13.0  # seconds until traffic, and until measuring begins
STEEPEST = 1.15  # exponent at one machine; one for the fleet's square would be 1 in all and 1 at a machine
PAGE = os.sysconf("SC_PAGE_SIZE")


def memory() -> int:
    """Bytes of this process that are resident."""
    return int(Path("/proc/self/statm").read_text("ascii").split()[1]) * PAGE


def links(process: Process) -> int:
    """Connections of a process to other machines."""
    others = [end.other.process.machine for end in process.ends if end.other is not None]
    return sum(machine is not process.machine for machine in others)


class Sent:
    """Bytes that left machines, by kind of machine and of way."""

    def __init__(self, deployment: Deployment) -> None:
        self.cores = {core.machine for core in deployment.cores}
        self.bytes: dict[tuple[str, str], int] = {}
        before = Machine.depart

        def depart(machine: Machine, size: int, to: Machine) -> float:
            if to is not machine:
                way = "within its zone" if machine.zone == to.zone else "to other zones"
                key = ("core" if machine in self.cores else "sidecar", way)
                self.bytes[key] = self.bytes.get(key, 0) + size
            return before(machine, size, to)

        cast(Any, Machine).depart = depart


def measure(told: str, span: float, rate: float) -> dict[str, float]:
    """One shape: what a machine of it costs, by name."""
    shape, begun, empty = Shape.from_text(told), time.monotonic(), memory()
    per_s = rate * shape.node_count / sum(row[4] for row in ROUTES)
    deployment = Deployment(1, real_sidecar, real_control_node, shape, LEAD, SETTLED + span, per_s)
    FaultSchedule(deployment, [])
    sent = Sent(deployment)
    deployment.world.run(LEAD - 0.1)
    start = dict(sent.bytes)
    deployment.world.run(SETTLED)
    sent.bytes.clear()
    steps = deployment.world.steps
    deployment.world.run(SETTLED + span)
    sidecar_nodes = [side.proxy for side in deployment.sidecar_nodes]
    many = {"sidecar": len(sidecar_nodes), "core": len(deployment.cores)}
    machines = sum(many.values())
    out: dict[str, float] = {"machines": machines}
    for kind in many:
        for way in ("within its zone", "to other zones"):
            out[f"{kind}: bytes/s {way}"] = sent.bytes.get((kind, way), 0) / span / many[kind]
        out[f"{kind}: bytes of the start"] = (
            sum(size for (of, _), size in start.items() if of == kind) / many[kind]
        )
        open_now = [links(process) for process in (sidecar_nodes if kind == "sidecar" else deployment.cores)]
        out[f"{kind}: links"], out[f"{kind}: links, most"] = sum(open_now) / many[kind], max(open_now)
    program: Any = sidecar_nodes[0].program
    out["entries of news"] = len(program.membership.entries())
    out["calls that are due"] = len(deployment.world._heap) / machines
    out["steps/s"] = (deployment.world.steps - steps) / span / machines
    out["memory, KiB"] = (memory() - empty) / machines / 1024
    attempts = deployment.invariant_checker.attempts.values()
    out["requests served, share"] = sum(ask.status == 200 for ask in attempts) / max(1, len(attempts))
    out["rules broken"] = len(deployment.invariant_checker.violations) + len(deployment.world.crashes)
    out["seconds to play"] = time.monotonic() - begun
    return out


def exponent(first: dict[str, float], last: dict[str, float], name: str) -> float:
    """How steeply something grows with the machines; 0 where there is none of it."""
    if min(first[name], last[name]) <= 0:
        return 0.0
    return math.log(last[name] / first[name]) / math.log(last["machines"] / first["machines"])


UNJUDGED = ("machines", "requests served, share", "rules broken", "seconds to play")


def main(arguments: list[str]) -> int:
    """Measure all shapes, each in a process of its own, and print the table."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else "")
    parser.add_argument("--shapes", nargs="+", default=list(SHAPES))
    parser.add_argument("--span", type=float, default=8.0)
    parser.add_argument("--rate", type=float, default=0.3)
    asked = parser.parse_args(arguments)
    os.environ["PYTHONHASHSEED"] = "0"
    columns: list[dict[str, float]] = []
    for shape in asked.shapes:
        with ProcessPoolExecutor(1, mp_context=get_context("spawn")) as pool:
            columns.append(pool.submit(measure, shape, asked.span, asked.rate).result())
        print(f"{shape}: {columns[-1]['seconds to play']:.0f} s", flush=True)
    bad = any(column["rules broken"] for column in columns)
    for name in columns[0]:
        line = f"{name:34}" + "".join(f"{column[name]:12.1f}" for column in columns)
        if name not in UNJUDGED and len(columns) > 1:
            grows = exponent(columns[min(1, len(columns) - 2)], columns[-1], name)
            bad = bad or grows > STEEPEST
            line += f"   exponent {grows:5.2f}"
        print(line)
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
