"""What control costs as the fleet grows: real processes beside hollow sidecars, on loopback, by size.

    python -m bench.mesh_scale [--nodes 30,100,300] [--controls 6] [--services 160] [--real 3] [--target 1200]

For each size: `--controls` control processes and `--real` sidecar processes as they are deployed, and hollow
sidecars (`bench.scale.hollow`) for all other machines, in five zones of two regions. They start, rest, take a
change every 20 s, restart, lose a control process, a rack and a zone, and are split between two zones and
between the regions (`--without PHASE,...` leaves some of that out). Printed for each figure: its value by
size, the power of the size with which it grows, and what a line and that power make of it at the target.
`--report FILE` keeps the figures as JSON. A size takes some four minutes, and every process that was started
ends with it. Status 1 where a program's log tells of a fault, or a phase did not come to its end (it is told,
and the next one begins).
"""

from __future__ import annotations

import argparse
import json
import signal
import sys
import tempfile
import time
from pathlib import Path

from bench.scale import fits, phases
from bench.scale.fleet import Fleet, FleetError
from bench.scale.phases import Figures, Schedule
from bench.scale.plan import Plan

NODES_PER_PROCESS = 150
LIMIT_S = 900.0  # after which every process of a size ends by itself
STARTS_PER_S = 60.0  # nodes


def measure(plan: Plan, real: int, schedule: Schedule, chosen: list[str]) -> Figures:
    """The chosen phases of one size."""
    processes = max(1, -(-plan.nodes // NODES_PER_PROCESS))
    figures: Figures = {}
    with (
        tempfile.TemporaryDirectory() as folder,
        Fleet(plan, Path(folder), real, processes, LIMIT_S) as fleet,
    ):
        for name in chosen:
            try:
                figures |= phases.prefixed(name, phases.PHASES[name](fleet, schedule))
            except FleetError as error:
                print(f"{plan.nodes} nodes, {name}: {error}", flush=True)
                figures |= phases.prefixed(name, {"failed": 1.0})
        figures |= phases.prefixed("end", phases.memory(fleet))
    return figures


def table(sizes: list[int], columns: list[Figures], target: int) -> list[str]:
    """A line a figure: its values, the exponent, and the target by a line and by a power."""
    head = f"{'':52}" + "".join(f"{size:>11}" for size in sizes)
    lines = [f"{head}{'exponent':>11}{f'line {target}':>12}{f'power {target}':>12}"]
    for name in dict.fromkeys(name for column in columns for name in column):
        points = [
            (float(size), column[name]) for size, column in zip(sizes, columns, strict=True) if name in column
        ]
        cells = [f"{column[name]:.2f}" if name in column else "-" for column in columns]
        line = f"{name:52}" + "".join(f"{cell:>11}" for cell in cells)
        if len(points) > 1:
            power = fits.power(points)
            exponent, there = (power.exponent, power.at(target)) if power else (0.0, 0.0)
            line += f"{exponent:11.2f}{fits.line(points).at(target):12.2f}{there:12.2f}"
        lines.append(line)
    return lines


def arguments(given: list[str]) -> argparse.Namespace:
    """From the command line."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else "")
    parser.add_argument("--nodes", default="30,100,300")
    parser.add_argument("--controls", type=int, default=6)
    parser.add_argument("--services", type=int, default=160)
    parser.add_argument("--real", type=int, default=3)
    parser.add_argument("--target", type=int, default=1200)
    parser.add_argument("--changes", type=int, default=3)
    parser.add_argument("--every", type=float, default=20.0)
    parser.add_argument("--without", default="", help="phases that are left out, separated by commas")
    parser.add_argument("--report", default="")
    return parser.parse_args(given)


def main(given: list[str]) -> int:
    """Measure every size and print the table."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit("ended by SIGTERM"))  # which ends the processes too
    asked = arguments(given)
    sizes = [int(text) for text in asked.nodes.split(",")]
    left_out = [name for name in asked.without.split(",") if name]
    if unknown := set(left_out) - set(phases.PHASES):
        sys.exit(f"found no phase {', '.join(sorted(unknown))}, wanted of {', '.join(phases.PHASES)}")
    chosen = [name for name in phases.PHASES if name not in left_out]
    columns: list[Figures] = []
    for nodes in sizes:
        begun = time.monotonic()
        schedule = Schedule(nodes / STARTS_PER_S, 15.0, asked.changes, asked.every, 3, 12.0)
        plan = Plan.on_free_ports(nodes, asked.controls, asked.services)
        columns.append(measure(plan, asked.real, schedule, chosen))
        print(f"{nodes} nodes: {time.monotonic() - begun:.0f} s", flush=True)
        if asked.report:
            report = {str(size): column for size, column in zip(sizes, columns, strict=False)}
            Path(asked.report).write_text(json.dumps(report, indent=1))
    print("\n".join(table(sizes, columns, asked.target)))
    failed = any(name.endswith("| failed") for column in columns for name in column)
    return 1 if failed or any(column["end | faults in the logs"] for column in columns) else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
