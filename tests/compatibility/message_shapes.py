"""Records the shape of every message between processes and of every stored file, in seeded simulations.

    PYTHONHASHSEED=0 python -m tests.compatibility.message_shapes > FILE

A shape contains what other builds rely on: the keys of maps, the number and the types of fields, the names of
remote methods. It omits values and the repetitions of list elements.
"""

from __future__ import annotations

import json
import sys
from typing import Any

import msgpack  # type: ignore[import-untyped]

from honeywharf.simulation import machine, regions, run, slips
from honeywharf.simulation.fault_schedule import Fault
from honeywharf.simulation.rare_faults import draw_any_faults
from honeywharf.transport.framing import FrameReader

MESH_SEEDS = (1, 3, 10, 29)
REGION_SEEDS = (0, 1, 2, 3)
DRIFTS = ("build", "disk")  # The injected kinds of drift cause drift reports and lease requests.
DRIFT_SEED, DRIFT_COUNT = 4, 3
VIEW_S = 2.0  # The virtual time for an operator's view of all sidecars.
#: Maps whose keys are values (zones, versions), not names of fields.
OPEN_MAPS = ("evac",)
ENTRY_ARRAYS = ("r", "h")  # These kinds of datagrams are arrays of entries.
STORED_HEADS = {b"hwr1": 8, b"hwa1": 8}  # The size of the header of a file, by its magic.


def shape(value: Any) -> Any:
    """Returns the shape of a value as a JSON value."""
    if isinstance(value, dict):
        return {str(key): "map" if key in OPEN_MAPS else shape(item) for key, item in sorted(value.items())}
    if isinstance(value, list | tuple):
        shapes = [shape(item) for item in value]
        distinct = {json.dumps(each): each for each in shapes}
        is_repeated = len(shapes) > 1 and len(distinct) == 1 and isinstance(shapes[0], list)
        return [shapes[0], "..."] if is_repeated else shapes
    return type(value).__name__


class ShapeRecorder:
    """Collects shapes by the name of the message."""

    def __init__(self) -> None:
        self.shapes: dict[str, set[str]] = {}
        self.readers: dict[machine.End, FrameReader] = {}
        self.protocols: dict[machine.End, str] = {}
        self.methods: dict[tuple[machine.End | None, int], str] = {}

    def add(self, name: str, value: Any) -> None:
        """Adds the shape of one message."""
        self.shapes.setdefault(name, set()).add(json.dumps(shape(value)))

    def sent(self, end: machine.End, data: bytes) -> None:
        """Records sent bytes, which are complete frames on a connection between processes of the mesh."""
        if self.protocols.get(end) == "http":
            return
        reader = self.readers.setdefault(end, FrameReader())
        try:
            frames = reader.feed(data)
        except (ValueError, TypeError):
            frames = []
        if not frames and end not in self.protocols:
            self.protocols[end] = "http"
            return
        for frame in frames:
            self.frame(end, frame)

    def frame(self, end: machine.End, frame: Any) -> None:
        """Records one frame: the greeting of a connection, or a later one."""
        if end not in self.protocols:
            answers = self.protocols.get(end.other) if end.other is not None else None
            if isinstance(frame, str):
                self.protocols[end] = frame
                self.add(f"greeting {frame}", frame)
                return
            if answers is None:
                self.protocols[end] = "http"
                return
            self.protocols[end] = f"{answers} answered"
        protocol = self.protocols[end]
        if protocol == "calls":
            number, method, arguments = frame
            self.methods[end, number] = method
            self.add(f"call {method}", arguments)
        elif protocol == "calls answered":
            number, known, answer = frame
            method = self.methods.get((end.other, number), "of an unknown number")
            self.add(f"answer {method} {known}", answer)
        else:
            self.add(f"{protocol} frame {frame[0]}", frame)

    def datagram(self, data: bytes) -> None:
        """Records one datagram: its kind in one byte, then its body."""
        kind, body = data[:1].decode("latin-1"), data[1:]
        try:
            value = msgpack.unpackb(body, strict_map_key=False)
        except (ValueError, msgpack.exceptions.UnpackException):
            value = b""
        for element in value if kind in ENTRY_ARRAYS else [value]:
            self.add(f"datagram {kind}", element)

    def stored(self, name: str, data: bytes) -> None:
        """Records one written file; the names of texts of configurations are reduced to their prefixes."""
        name = name.rpartition("-")[0] if name.startswith(("config-", "drift-text-")) else name
        head = STORED_HEADS.get(data[:4])
        body: Any = data
        if head is not None and not name.startswith("config"):
            body = msgpack.unpackb(data[head:], strict_map_key=False)
        self.add(f"file {name}", [data[:4].decode("latin-1") if head else "", body])

    def install(self) -> None:
        """Starts to record the messages and files of simulated processes."""
        send, original_datagram, write = (
            machine.End.send,
            machine.Process.send_datagram,
            machine.Process.write,
        )

        def recorded_send(end: machine.End, data: bytes) -> None:
            self.sent(end, data)
            send(end, data)

        def recorded_datagram(process: machine.Process, to: Any, data: bytes) -> None:
            self.datagram(data)
            original_datagram(process, to, data)

        def recorded_write(process: machine.Process, name: str, data: bytes) -> None:
            self.stored(name, data)
            write(process, name, data)

        machine.End.send = recorded_send  # type: ignore[method-assign, assignment]
        machine.Process.send_datagram = recorded_datagram  # type: ignore[method-assign, assignment]
        machine.Process.write = recorded_write  # type: ignore[method-assign, assignment]

    def result(self) -> dict[str, list[Any]]:
        """Returns all shapes, in a fixed order."""
        return {
            name: [json.loads(each) for each in sorted(shapes)]
            for name, shapes in sorted(self.shapes.items())
        }


class OperatorCall:
    """An operator's call whose answer is ignored."""

    method, path, body = b"GET", b"/api/drift", b""

    def answer(self, status: int, body: bytes = b"", lines: bytes = b"") -> None:
        """Ignores the answer."""


def view_drift(trial: slips.Trial) -> None:
    """Lets a control node request the drift view of every sidecar."""
    core: Any = trial.deployment.cores[0].program
    trial.deployment.cores[0].call(
        trial.deployment.cores[0].incarnation, core.operator.handle, OperatorCall()
    )
    trial.world.run(trial.world.now + VIEW_S)


def recorded_faults(seed: int) -> list[Fault]:
    """Returns the faults of the days that the golden file was recorded with."""
    begin = run.TRAFFIC_START_S + run.FAULT_FREE_S
    return draw_any_faults(seed, begin, begin + run.FAULTS_S, order_faults=False)


def record() -> dict[str, list[Any]]:
    """Runs the simulations; returns the shapes."""
    recorder = ShapeRecorder()
    recorder.install()
    for seed in MESH_SEEDS:
        run.run(seed, recorded_faults(seed), after=8.0)
    for drift in DRIFTS:
        trial = slips.Trial(DRIFT_SEED, drift, DRIFT_COUNT).play()
        view_drift(trial)
    for seed in REGION_SEEDS:
        regions.Day(seed, 2 + seed % 2).play()
    return recorder.result()


if __name__ == "__main__":
    json.dump(record(), sys.stdout, indent=1)
