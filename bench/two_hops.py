"""What two sidecars on the way of a call add: time, and processor time at each of them.

    python -m bench.two_hops [--rates 117,500,1000,0] [--seconds 10] [--lanes 16] [--controls 3]

A client calls a backend that answers at once, first directly, then through the sidecar beside the caller and
the one beside the backend; all are processes on loopback. A rate of 0 sends each request as soon as the last
one is answered, on `--lanes` connections. Printed for each rate: p50 and p99 of both ways and their
difference, answers a second, and processor time a call at the source and at the destination. 117 calls a
second are the share of one proxy of 1,200 at 140,000. Status 1 where a call failed.
"""

from __future__ import annotations

import argparse
import sys
import tempfile
import time
from pathlib import Path

from bench.scale import phases
from bench.scale.fleet import Fleet
from bench.scale.load import Answers, Load
from bench.scale.payload import host_and_prefix
from bench.scale.plan import Plan
from bench.scale.processes import Spawned
from honeywharf.simulation import deployment
from honeywharf.transport.host import Address

NODES = 5  # one in each zone; two of them are processes of their own
WARM_S = 2.0
LIMIT_S = 600.0
READ_ONLY = 0  # rank of the route that is asked for
SPARE_S = 5.0  # that the last answers may take


class Course:
    """A client's way to the backend of a machine: directly, or by the sidecar of another machine."""

    def __init__(self, fleet: Fleet, lanes: int) -> None:
        self.fleet, self.lanes = fleet, lanes
        source, destination = (fleet.plan.node(index) for index in fleet.real_indexes)
        self.direct: Address = (destination.ip, fleet.plan.port(deployment.APPLICATION))
        self.meshed: Address = (source.ip, fleet.plan.port(deployment.OUTBOUND))
        self.host, self.prefix = host_and_prefix(destination.service, READ_ONLY)

    def answers(self, to: Address, rate: float, seconds: float) -> Answers:
        """Send for so long; what came back."""
        load = Load(self.fleet.loop, to, self.host, f"{self.prefix}item", rate, self.lanes, seconds)
        self.fleet.wait("answers", seconds + SPARE_S, lambda: load.over)
        load.answers.failed += load.skipped
        return load.answers


def measure(course: Course, rate: float, seconds: float) -> tuple[str, int]:
    """One rate: a line, and how many calls failed."""
    course.answers(course.direct, rate, WARM_S)
    direct = course.answers(course.direct, rate, seconds)
    course.answers(course.meshed, rate, WARM_S)
    sidecars = course.fleet.sidecars
    before, begun = [process.processor_s() for process in sidecars], time.monotonic()
    meshed = course.answers(course.meshed, rate, seconds)
    spent = [process.processor_s() - earlier for process, earlier in zip(sidecars, before, strict=True)]
    per_s = len(meshed.times) / (time.monotonic() - begun)
    source_us, destination_us = (1e6 * each / max(1, len(meshed.times)) for each in spent)
    figures = [rate, per_s]
    for share in (0.5, 0.99):
        alone, through = direct.percentile_ms(share), meshed.percentile_ms(share)
        figures += [alone, through, through - alone]
    figures += [source_us, destination_us]
    failed = direct.failed + meshed.failed
    return "".join(f"{figure:10.2f}" for figure in figures) + f"{failed:10}", failed


COLUMNS = (
    "rate",
    "answers/s",
    "p50 alone",
    "through",
    "added",
    "p99 alone",
    "through",
    "added",
    "source us",
    "dest. us",
    "failed",
)


def main(given: list[str]) -> int:
    """Print a line for each rate."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else "")
    parser.add_argument("--rates", default="117,500,1000,0")
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--lanes", type=int, default=16)
    parser.add_argument("--controls", type=int, default=3)
    asked = parser.parse_args(given)
    plan = Plan.on_free_ports(NODES, asked.controls, NODES)
    failed = 0
    with tempfile.TemporaryDirectory() as name, Fleet(plan, Path(name), 2, 1, LIMIT_S) as fleet:
        course = Course(fleet, asked.lanes)
        backend = Spawned(
            Path(name),
            "backend",
            course.direct,
            ["bench.scale.backend_process", course.direct[0], str(course.direct[1]), str(LIMIT_S)],
        )
        backend.start()
        try:
            phases.start(fleet, phases.Schedule(0.0, 0.0, 0, 0.0, 0, 0.0))
            print("".join(f"{column:>10}" for column in COLUMNS))
            for rate in map(float, asked.rates.split(",")):
                line, some = measure(course, rate, asked.seconds)
                failed += some
                print(line, flush=True)
        finally:
            backend.kill()
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
