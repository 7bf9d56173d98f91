"""Cost of two sidecars on the path of a call: latency, and processor time at each of them.

    python -m bench.two_hops [--rates 117,500,1000,0] [--seconds 10] [--lanes 16] [--controls 3]

A client calls a backend that answers at once, first directly, then through the sidecar beside the caller and
the one beside the backend; all are processes on loopback. A rate of 0 sends each request as soon as the last
one is answered, on `--lanes` connections. Prints for each rate p50 and p99 of both paths and their
difference, answers per second, and processor time per call at the source and at the destination. 117 calls
per second are one of 1,200 proxies' share of 140,000. Status 1 where a call failed.
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

NODES = 5  # One in each zone; two of them run as separate processes.
WARMUP_S = 2.0
LIMIT_S = 600.0
READ_ONLY_RANK = 0  # Rank of the requested route.
ANSWER_TIMEOUT_S = 5.0  # Time limit of the last answers.


class Client:
    """The client's paths to the backend of a machine: directly, or through another machine's sidecar."""

    def __init__(self, fleet: Fleet, connections: int) -> None:
        self.fleet, self.connections = fleet, connections
        source, destination = (fleet.plan.node(index) for index in fleet.real_indexes)
        self.direct: Address = (destination.ip, fleet.plan.port(deployment.APPLICATION))
        self.through_sidecars: Address = (source.ip, fleet.plan.port(deployment.OUTBOUND))
        self.host, self.prefix = host_and_prefix(destination.service, READ_ONLY_RANK)

    def send_requests(self, to: Address, rate: float, seconds: float) -> Answers:
        """Sends requests for some seconds; returns the answers."""
        load = Load(self.fleet.loop, to, self.host, f"{self.prefix}item", rate, self.connections, seconds)
        self.fleet.wait("answers", seconds + ANSWER_TIMEOUT_S, lambda: load.over)
        load.answers.failed += load.skipped
        return load.answers


def measure(client: Client, rate: float, seconds: float) -> tuple[str, int]:
    """Measures one rate; returns a line and the number of failed calls."""
    client.send_requests(client.direct, rate, WARMUP_S)
    direct = client.send_requests(client.direct, rate, seconds)
    client.send_requests(client.through_sidecars, rate, WARMUP_S)
    sidecars = client.fleet.sidecars
    earlier_processor_s, started_at = [process.processor_s() for process in sidecars], time.monotonic()
    through_sidecars = client.send_requests(client.through_sidecars, rate, seconds)
    processor_s_of_sidecars = [
        process.processor_s() - earlier_s
        for process, earlier_s in zip(sidecars, earlier_processor_s, strict=True)
    ]
    per_s = len(through_sidecars.times) / (time.monotonic() - started_at)
    source_us, destination_us = (
        1e6 * each / max(1, len(through_sidecars.times)) for each in processor_s_of_sidecars
    )
    figures = [rate, per_s]
    for share in (0.5, 0.99):
        direct_ms, sidecars_ms = direct.percentile_ms(share), through_sidecars.percentile_ms(share)
        figures += [direct_ms, sidecars_ms, sidecars_ms - direct_ms]
    figures += [source_us, destination_us]
    failed = direct.failed + through_sidecars.failed
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


def main(command_line: list[str]) -> int:
    """Prints a line for each rate."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else "")
    parser.add_argument("--rates", default="117,500,1000,0")
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--lanes", type=int, default=16)
    parser.add_argument("--controls", type=int, default=3)
    options = parser.parse_args(command_line)
    plan = Plan.on_free_ports(NODES, options.controls, NODES)
    failed = 0
    with tempfile.TemporaryDirectory() as name, Fleet(plan, Path(name), 2, 1, LIMIT_S) as fleet:
        client = Client(fleet, options.lanes)
        backend = Spawned(
            Path(name),
            "backend",
            client.direct,
            ["bench.scale.backend_process", client.direct[0], str(client.direct[1]), str(LIMIT_S)],
        )
        backend.start()
        try:
            phases.start(fleet, phases.Schedule(0.0, 0.0, 0, 0.0, 0, 0.0))
            print("".join(f"{column:>10}" for column in COLUMNS))
            for rate in map(float, options.rates.split(",")):
                line, failed_of_rate = measure(client, rate, options.seconds)
                failed += failed_of_rate
                print(line, flush=True)
        finally:
            backend.kill()
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
