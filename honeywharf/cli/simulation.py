"""`honeywharf simulation`: seeded runs ("days") of the mesh in a simulated network, checked after each step.

Exit status: 0 no rule is broken; 1 a rule is broken; 2 the arguments are invalid. For a broken day the seed,
the rule, the step, a minimal list of faults that break the rule, and the history up to the step are printed.

A day is determined by its seed and by the shape of the deployment, such as `2,2,2/3`: the number of sidecar
machines in each of three zones, and of control machines.
"""

from __future__ import annotations

import os
import time
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from contextlib import contextmanager
from dataclasses import dataclass, field
from itertools import repeat
from multiprocessing import get_context
from typing import Annotated

import cappa

from honeywharf.simulation.deployment import Shape
from honeywharf.simulation.run import Report, play, run

HASH_SEED_VARIABLE = "PYTHONHASHSEED"  # The iteration order of sets of strings affects a day.
MAX_JOBS = 512
PROGRESS_INTERVAL_DAYS = 50

ShapeOption = Annotated[
    Shape,
    cappa.Arg(
        long="--shape",
        parse=Shape.from_text,
        help="Number of sidecar machines in each zone, and of control machines: 2,2,2/3.",
    ),
]
SeedArgument = Annotated[int, cappa.Arg(help="The seed of the day's random choices.")]


AnyKindOption = Annotated[
    bool, cappa.Arg(long="--any-kind", help="Draw from every kind of fault, not only those that sites list.")
]


@cappa.command(name="run", help="Run one day.")
@dataclass
class Run:
    """`simulation run SEED`."""

    seed: SeedArgument
    shape: ShapeOption = field(default_factory=Shape)
    any_kind: AnyKindOption = False

    def __call__(self) -> int:
        """Executes the command and returns its exit status."""
        return _run_days(self.seed, 1, 1, self.shape, self.any_kind, quiet=False)


@cappa.command(name="hunt", help="Run days with consecutive seeds, and print those that break a rule.")
@dataclass
class Hunt:
    """`simulation hunt FIRST COUNT`."""

    first: Annotated[int, cappa.Arg(help="The first seed.")]
    count: Annotated[int, cappa.Arg(help="The number of days.")]
    jobs: Annotated[int, cappa.Arg(long=True, help="Number of processes; 0: one per core.")] = 0
    shape: ShapeOption = field(default_factory=Shape)
    any_kind: AnyKindOption = False

    def __call__(self) -> int:
        """Executes the command and returns its exit status."""
        if self.count < 1 or not 0 <= self.jobs <= MAX_JOBS:
            print(f"expected 1 day or more and 0 to {MAX_JOBS} jobs, got {self.count} and {self.jobs}")
            return 2
        jobs = self.jobs or os.cpu_count() or 1
        return _run_days(self.first, self.count, jobs, self.shape, self.any_kind, quiet=True)


@cappa.command(name="replay", help="Run one day with all its faults, and print its last steps too.")
@dataclass
class Replay:
    """`simulation replay SEED`."""

    seed: SeedArgument
    shape: ShapeOption = field(default_factory=Shape)
    any_kind: AnyKindOption = False

    def __call__(self) -> int:
        """Executes the command and returns its exit status."""
        with _pool(1) as pool:
            report = pool.submit(run, self.seed, shape=self.shape, any_kind=self.any_kind).result()
        print(report)
        for line in [*report.trace_lines, *report.history()]:
            print(f"    {line}")
        return 1 if report.broken else 0


@cappa.command(
    name="honeywharf simulation", help="Run the mesh in a simulated network, and check every rule."
)
@dataclass
class Simulation:
    """`honeywharf simulation ...`."""

    command: cappa.Subcommands[Run | Hunt | Replay]


def main(arguments: list[str]) -> int:
    """Executes `honeywharf simulation` and returns the exit status."""
    try:
        return cappa.parse(Simulation, argv=arguments, completion=False).command()
    except cappa.Exit as exiting:
        return int(exiting.code or 0)


@contextmanager
def _pool(jobs: int) -> Iterator[ProcessPoolExecutor]:
    """Yields a pool of processes with equal hash seeds; restores this process's environment afterwards."""
    previous = os.environ.get(HASH_SEED_VARIABLE)
    os.environ[HASH_SEED_VARIABLE] = "0"
    try:
        with ProcessPoolExecutor(jobs, mp_context=get_context("spawn")) as pool:
            yield pool
    finally:
        if previous is None:
            del os.environ[HASH_SEED_VARIABLE]
        else:
            os.environ[HASH_SEED_VARIABLE] = previous


def _run_days(first: int, count: int, jobs: int, shape: Shape, any_kind: bool, quiet: bool) -> int:
    broken_days, started_at = 0, time.monotonic()
    seeds = range(first, first + count)
    with _pool(min(jobs, count)) as pool:
        for completed, report in enumerate(pool.map(play, seeds, repeat(shape), repeat(any_kind)), 1):
            broken_days += bool(report.broken)
            _print(report, quiet)
            if completed % PROGRESS_INTERVAL_DAYS == 0 and completed < count:
                print(f"{completed} days so far, {broken_days} broke a rule", flush=True)
    duration_s = time.monotonic() - started_at
    per_day_s = duration_s * min(jobs, count) / count
    print(f"{broken_days} of {count} days broke a rule; {duration_s:.0f} s in all, {per_day_s:.2f} s a day")
    return 1 if broken_days else 0


def _print(report: Report, quiet: bool) -> None:
    if report.broken or not quiet:
        print(report, flush=True)
    if report.broken:
        for line in report.history():
            print(f"    {line}", flush=True)
