"""`honeywharf simulation`: days of the simulated network by seed, the rules checked after each step.

Exit status: 0 no rule was broken; 1 one was; 2 the call was wrong. A broken day is printed with its seed, the
rule, the step and as few of its troubles as still break the rule, then what happened up to there.

A day belongs to its seed and the shape of its field: sidecar machines in each of three zones, and core
machines, as `2,2,2/3`.
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

HASHES = "PYTHONHASHSEED"  # the order of sets of texts belongs to a day
MAX_JOBS = 512
TOLD = 50  # days after which a hunt says how far it is

Shaped = Annotated[
    Shape,
    cappa.Arg(
        long="--shape",
        parse=Shape.from_text,
        help="Sidecar machines of each zone, and core machines: 2,2,2/3.",
    ),
]
Seed = Annotated[int, cappa.Arg(help="The number that a day is drawn from.")]


AnyKind = Annotated[
    bool, cappa.Arg(long="--any-kind", help="Draw from every kind of trouble, not just those of sites.")
]


@cappa.command(name="run", help="Play one day.")
@dataclass
class Run:
    """`simulation run SEED`."""

    seed: Seed
    shape: Shaped = field(default_factory=Shape)
    any_kind: AnyKind = False

    def __call__(self) -> int:
        """Executes the command and returns its exit status."""
        return _days(self.seed, 1, 1, self.shape, self.any_kind, quiet=False)


@cappa.command(name="hunt", help="Play days from a seed on, and print those that break a rule.")
@dataclass
class Hunt:
    """`simulation hunt FIRST COUNT`."""

    first: Annotated[int, cappa.Arg(help="The first seed.")]
    count: Annotated[int, cappa.Arg(help="How many days.")]
    jobs: Annotated[int, cappa.Arg(long=True, help="Processes; 0 for one a core.")] = 0
    shape: Shaped = field(default_factory=Shape)
    any_kind: AnyKind = False

    def __call__(self) -> int:
        """Executes the command and returns its exit status."""
        if self.count < 1 or not 0 <= self.jobs <= MAX_JOBS:
            print(f"found {self.count} days and {self.jobs} jobs, wanted 1 or more, and 0 to {MAX_JOBS}")
            return 2
        jobs = self.jobs or os.cpu_count() or 1
        return _days(self.first, self.count, jobs, self.shape, self.any_kind, quiet=True)


@cappa.command(name="replay", help="Play one day whole, and print its last steps too.")
@dataclass
class Replay:
    """`simulation replay SEED`."""

    seed: Seed
    shape: Shaped = field(default_factory=Shape)
    any_kind: AnyKind = False

    def __call__(self) -> int:
        """Executes the command and returns its exit status."""
        with _pool(1) as pool:
            report = pool.submit(run, self.seed, shape=self.shape, any_kind=self.any_kind).result()
        print(report)
        for line in [*report.trace_lines, *report.history()]:
            print(f"    {line}")
        return 1 if report.broken else 0


@cappa.command(name="honeywharf simulation", help="Play days of the simulated network, and check every rule.")
@dataclass
class Simulation:
    """`honeywharf simulation ...`."""

    command: cappa.Subcommands[Run | Hunt | Replay]


def main(arguments: list[str]) -> int:
    """The command line behind `honeywharf simulation`. Exit status."""
    try:
        return cappa.parse(Simulation, argv=arguments, completion=False).command()
    except cappa.Exit as ended:
        return int(ended.code or 0)


@contextmanager
def _pool(jobs: int) -> Iterator[ProcessPoolExecutor]:
    """Processes that know the same order of sets; what was set here before is set again afterwards."""
    before = os.environ.get(HASHES)
    os.environ[HASHES] = "0"
    try:
        with ProcessPoolExecutor(jobs, mp_context=get_context("spawn")) as pool:
            yield pool
    finally:
        if before is None:
            del os.environ[HASHES]
        else:
            os.environ[HASHES] = before


def _days(first: int, count: int, jobs: int, shape: Shape, any_kind: bool, quiet: bool) -> int:
    bad, begun = 0, time.monotonic()
    seeds = range(first, first + count)
    with _pool(min(jobs, count)) as pool:
        for done, report in enumerate(pool.map(play, seeds, repeat(shape), repeat(any_kind)), 1):
            bad += bool(report.broken)
            _print(report, quiet)
            if done % TOLD == 0 and done < count:
                print(f"{done} days so far, {bad} broke a rule", flush=True)
    spent = time.monotonic() - begun
    each = spent * min(jobs, count) / count
    print(f"{bad} of {count} days broke a rule; {spent:.0f} s in all, {each:.2f} s a day")
    return 1 if bad else 0


def _print(report: Report, quiet: bool) -> None:
    if report.broken or not quiet:
        print(report, flush=True)
    if report.broken:
        for line in report.history():
            print(f"    {line}", flush=True)
