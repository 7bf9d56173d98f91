"""Runs one seeded day of the simulation and records everything that its nodes send and store.

    python -m bench.compatibility.record_traffic DAY SEED FILE

DAY is `mesh` (control nodes and sidecars under faults of all kinds), `regions` (gateways between regions) or
`drift` (a sidecar with an injected deviation). `simulated_traffic` runs this file under two checkouts, so it
imports honeywharf from the checkout on the path and uses only the simulated network and disk. FILE has one
event in each line: the virtual time, the kind, the node, and the size and a hash of the bytes. Log lines are
left out, because their texts may change.
"""

from __future__ import annotations

import hashlib
import sys
from pathlib import Path
from typing import Any

from honeywharf.simulation import machine, regions, run, slips

HASH_DIGITS = 16
DRIFT_COUNT = 3  # Deviations that are injected in a day of `drift`.


class TrafficRecorder:
    """Collects events from the simulation's processes and connections."""

    def __init__(self) -> None:
        self.lines: list[str] = []

    def add(self, process: machine.Process, kind: str, destination: object, data: bytes) -> None:
        """Adds one event."""
        digest = hashlib.sha256(data).hexdigest()[:HASH_DIGITS]
        machine_ip = process.machine.ip
        self.lines.append(f"{process.now():.9f} {kind} {machine_ip} {destination} {len(data)} {digest}")

    def install(self) -> None:
        """Starts to record whatever any simulated process sends or stores."""
        self._record_connections()
        self._record_datagrams()
        self._record_disk()

    def _record_connections(self) -> None:
        send = machine.End.send

        def recorded(end: machine.End, data: bytes) -> None:
            self.add(end.process, "stream", end.peer, data)
            send(end, data)

        machine.End.send = recorded  # type: ignore[method-assign, assignment]

    def _record_datagrams(self) -> None:
        send = machine.Process.send_datagram

        def recorded(process: machine.Process, to: Any, data: bytes) -> None:
            self.add(process, "datagram", to, data)
            send(process, to, data)

        machine.Process.send_datagram = recorded  # type: ignore[method-assign, assignment]

    def _record_disk(self) -> None:
        write, rename = machine.Process.write, machine.Process.rename

        def recorded_write(process: machine.Process, name: str, data: bytes) -> None:
            self.add(process, "write", name, data)
            write(process, name, data)

        def recorded_rename(process: machine.Process, name: str, to: str) -> None:
            self.add(process, "rename", name, to.encode())
            rename(process, name, to)

        machine.Process.write = recorded_write  # type: ignore[method-assign, assignment]
        machine.Process.rename = recorded_rename  # type: ignore[method-assign, assignment]


def run_day(day: str, seed: int) -> int:
    """Runs a day; returns the number of broken rules. ValueError for an unknown day."""
    if day == "mesh":
        return len(run.run(seed, any_kind=True).broken)
    if day == "regions":
        return len(regions.Day(seed, 2 + seed % 2).play().faults)
    if day == "drift":
        kinds = list(slips.KINDS)
        return len(slips.Trial(seed, kinds[seed % len(kinds)], DRIFT_COUNT).play().wrong)
    raise ValueError(f"day: expected mesh, regions or drift, got {day!r}")


def main(arguments: list[str]) -> int:
    """Runs the day and writes its events."""
    day, seed, path = arguments[0], int(arguments[1]), Path(arguments[2])
    recorder = TrafficRecorder()
    recorder.install()
    violation_count = run_day(day, seed)
    path.write_text("\n".join([*recorder.lines, ""]))
    print(f"{len(recorder.lines)} events, {violation_count} rules broken")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
