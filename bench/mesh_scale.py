"""Cost of the control plane as the fleet grows: real processes beside hollow sidecars, on loopback.

    python -m bench.mesh_scale [--nodes 30,100,300] [--controls 6] [--services 160] [--real 3] [--target 1200]

Each size has `--controls` control processes, `--real` sidecar processes and hollow sidecars
(`bench.scale.hollow`) for all other machines, and runs all phases of `bench.scale.phases` but those of
`--without PHASE,...`. Prints for each figure its value by size, the exponent of its growth, and its
extrapolation to the target by a line and by a power. `--report FILE` writes the figures as JSON. Status 1
where a program's log reports a fault or a phase does not complete.
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
LIMIT_S = 900.0  # Every process of a size ends after this time at the latest.
NODE_STARTS_PER_S = 60.0


def measure(plan: Plan, real: int, schedule: Schedule, phase_names: list[str]) -> Figures:
    """Runs the phases of one size; returns the figures."""
    processes = max(1, -(-plan.nodes // NODES_PER_PROCESS))
    figures: Figures = {}
    with (
        tempfile.TemporaryDirectory() as folder,
        Fleet(plan, Path(folder), real, processes, LIMIT_S) as fleet,
    ):
        for name in phase_names:
            try:
                figures |= phases.prefixed(name, phases.PHASES[name](fleet, schedule))
            except FleetError as error:
                print(f"{plan.nodes} nodes, {name}: {error}", flush=True)
                figures |= phases.prefixed(name, {"failed": 1.0})
        figures |= phases.prefixed("end", phases.memory(fleet))
    return figures


def table(sizes: list[int], columns: list[Figures], target: int) -> list[str]:
    """Returns one line for each figure: values, exponent, and the target by a line and by a power."""
    header = f"{'':52}" + "".join(f"{size:>11}" for size in sizes)
    lines = [f"{header}{'exponent':>11}{f'line {target}':>12}{f'power {target}':>12}"]
    for name in dict.fromkeys(name for column in columns for name in column):
        points = [
            (float(size), column[name]) for size, column in zip(sizes, columns, strict=True) if name in column
        ]
        cells = [f"{column[name]:.2f}" if name in column else "-" for column in columns]
        line = f"{name:52}" + "".join(f"{cell:>11}" for cell in cells)
        if len(points) > 1:
            power = fits.fit_power(points)
            exponent, power_value = (power.exponent, power.at(target)) if power else (0.0, 0.0)
            line += f"{exponent:11.2f}{fits.fit_line(points).at(target):12.2f}{power_value:12.2f}"
        lines.append(line)
    return lines


def arguments(command_line: list[str]) -> argparse.Namespace:
    """Parses the command line."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else "")
    parser.add_argument("--nodes", default="30,100,300")
    parser.add_argument("--controls", type=int, default=6)
    parser.add_argument("--services", type=int, default=160)
    parser.add_argument("--real", type=int, default=3)
    parser.add_argument("--target", type=int, default=1200)
    parser.add_argument("--changes", type=int, default=3)
    parser.add_argument("--every", type=float, default=20.0)
    parser.add_argument("--without", default="", help="phases to omit, separated by commas")
    parser.add_argument("--report", default="")
    return parser.parse_args(command_line)


def main(command_line: list[str]) -> int:
    """Measures every size and prints the table."""
    signal.signal(
        signal.SIGTERM, lambda *_: sys.exit("ended by SIGTERM")
    )  # The exit kills the processes too.
    options = arguments(command_line)
    sizes = [int(text) for text in options.nodes.split(",")]
    excluded = [name for name in options.without.split(",") if name]
    if unknown := set(excluded) - set(phases.PHASES):
        sys.exit(
            f"--without: expected phases of {', '.join(phases.PHASES)}, got {', '.join(sorted(unknown))}"
        )
    phase_names = [name for name in phases.PHASES if name not in excluded]
    columns: list[Figures] = []
    for nodes in sizes:
        started_at = time.monotonic()
        schedule = Schedule(nodes / NODE_STARTS_PER_S, 15.0, options.changes, options.every, 3, 12.0)
        plan = Plan.on_free_ports(nodes, options.controls, options.services)
        columns.append(measure(plan, options.real, schedule, phase_names))
        print(f"{nodes} nodes: {time.monotonic() - started_at:.0f} s", flush=True)
        if options.report:
            report = {str(size): column for size, column in zip(sizes, columns, strict=False)}
            Path(options.report).write_text(json.dumps(report, indent=1))
    print("\n".join(table(sizes, columns, options.target)))
    failed = any(name.endswith("| failed") for column in columns for name in column)
    return 1 if failed or any(column["end | faults in the logs"] for column in columns) else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
