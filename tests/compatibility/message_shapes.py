"""The shape of every message between processes and of every stored file, as two seeded days show them.

    PYTHONHASHSEED=0 python -m tests.compatibility.message_shapes > FILE

A shape keeps what another build relies on: the names of maps' keys, the number and the types of fields, the
names of remote methods. It leaves out values, and how often a list's element repeats.
"""

from __future__ import annotations

import json
import sys
from typing import Any

import msgpack  # type: ignore[import-untyped]

from honeywharf.simulation import machine, regions, run, slips
from honeywharf.transport.framing import FrameReader

MESH_SEEDS = (1, 3, 9)
REGION_SEEDS = (0, 1, 2, 3)
DRIFTS = ("build", "disk")  # injected, so that drift is reported and leases are wanted
DRIFT_SEED, DRIFT_COUNT = 5, 3
VIEW_S = 2.0  # virtual time for an operator's view of all sidecars
#: Maps whose keys are values (zones, versions), not names of fields.
OPEN_MAPS = ("evac",)
ENTRY_ARRAYS = ("r", "h")  # datagrams that are arrays of entries
STORED_HEADS = {b"hwr1": 8, b"hwa1": 8}  # bytes before the body, by the file's mark


def shape(value: Any) -> Any:
    """What of a value another build relies on, as JSON holds it."""
    if isinstance(value, dict):
        return {str(key): "map" if key in OPEN_MAPS else shape(item) for key, item in sorted(value.items())}
    if isinstance(value, list | tuple):
        shapes = [shape(item) for item in value]
        distinct = {json.dumps(one): one for one in shapes}
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
        """One message."""
        self.shapes.setdefault(name, set()).add(json.dumps(shape(value)))

    def sent(self, end: machine.End, data: bytes) -> None:
        """Bytes of a connection: whole frames, where it is one between processes of the mesh."""
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
        """One frame: the greeting of a connection, or what follows it."""
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
        """One datagram: a kind of one byte, then what that kind holds."""
        kind, body = data[:1].decode("latin-1"), data[1:]
        try:
            value = msgpack.unpackb(body, strict_map_key=False)
        except (ValueError, msgpack.exceptions.UnpackException):
            value = b""
        for element in value if kind in ENTRY_ARRAYS else [value]:
            self.add(f"datagram {kind}", element)

    def stored(self, name: str, data: bytes) -> None:
        """One file as it is written; texts of configurations count by their name's beginning."""
        name = name.rpartition("-")[0] if name.startswith(("config-", "drift-text-")) else name
        head = STORED_HEADS.get(data[:4])
        body: Any = data
        if head is not None and not name.startswith("config"):
            body = msgpack.unpackb(data[head:], strict_map_key=False)
        self.add(f"file {name}", [data[:4].decode("latin-1") if head else "", body])

    def install(self) -> None:
        """Record from now on what simulated processes send and store."""
        send, throw, write = machine.End.send, machine.Process.send_datagram, machine.Process.write

        def recorded_send(end: machine.End, data: bytes) -> None:
            self.sent(end, data)
            send(end, data)

        def recorded_datagram(process: machine.Process, to: Any, data: bytes) -> None:
            self.datagram(data)
            throw(process, to, data)

        def recorded_write(process: machine.Process, name: str, data: bytes) -> None:
            self.stored(name, data)
            write(process, name, data)

        machine.End.send = recorded_send  # type: ignore[method-assign, assignment]
        machine.Process.send_datagram = recorded_datagram  # type: ignore[method-assign, assignment]
        machine.Process.write = recorded_write  # type: ignore[method-assign, assignment]

    def result(self) -> dict[str, list[Any]]:
        """All shapes, in a fixed order."""
        return {
            name: [json.loads(one) for one in sorted(shapes)] for name, shapes in sorted(self.shapes.items())
        }


class OperatorCall:
    """A call of the operator whose answer nobody looks at."""

    method, path, body = b"GET", b"/api/drift", b""

    def answer(self, status: int, body: bytes = b"", lines: bytes = b"") -> None:
        """Called once, later."""


def view_drift(trial: slips.Trial) -> None:
    """Have a control node ask every sidecar for its view of drift."""
    core: Any = trial.field.cores[0].program
    trial.field.cores[0].call(trial.field.cores[0].life, core.operator.handle, OperatorCall())
    trial.world.run(trial.world.now + VIEW_S)


def record() -> dict[str, list[Any]]:
    """Play the days."""
    recorder = ShapeRecorder()
    recorder.install()
    for seed in MESH_SEEDS:
        run.run(seed, any_kind=True, after=8.0)
    for drift in DRIFTS:
        trial = slips.Trial(DRIFT_SEED, drift, DRIFT_COUNT).play()
        view_drift(trial)
    for seed in REGION_SEEDS:
        regions.Day(seed, 2 + seed % 2).play()
    return recorder.result()


if __name__ == "__main__":
    json.dump(record(), sys.stdout, indent=1)
