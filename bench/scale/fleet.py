"""A running fleet: control processes, a few sidecar processes, and processes of hollow sidecars."""

from __future__ import annotations

import json
import time
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import asdict
from functools import partial
from http import HTTPStatus
from pathlib import Path
from types import TracebackType
from typing import Any

from bench.scale import messages
from bench.scale.messages import NodeSample, Start
from bench.scale.payload import configuration
from bench.scale.plan import MANAGEMENT, Plan
from bench.scale.processes import Spawned
from bench.scale.reach import Zones
from honeywharf.cli.exit_status import MeshCallError
from honeywharf.cli.mesh import call
from honeywharf.programs.start import SETTINGS_VARIABLE
from honeywharf.simulation import deployment
from honeywharf.transport.event_loop import EventLoop
from honeywharf.transport.rpc_client import RpcClient

CONTROL_PROGRAM, SIDECAR_PROGRAM = "control", "sidecar"
CALL_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.05
NO_ZONES: Zones = frozenset()
REQUEST_TIMEOUT_S = 1.0
RETRY_INTERVAL_S = 0.1
MAX_CHANGE_ATTEMPTS = 60
MAX_LOG_LINES = 40  # Of each process, in the notes of an exception.


class FleetError(Exception):
    """The fleet did not reach the condition within `seconds`."""

    def __init__(self, condition: str, seconds: float) -> None:
        super().__init__(f"{condition}: not within {seconds:g} s")
        self.condition, self.seconds = condition, seconds


class Fleet:
    """A fleet as a context manager, which kills every process that it has started when it exits."""

    def __init__(self, plan: Plan, folder: Path, real: int, processes: int, limit_s: float) -> None:
        self.plan, self.folder = plan, folder
        self.loop = EventLoop(None)
        self.caller = RpcClient(self.loop)
        self.real_indexes = plan.real_nodes(real)
        self.controls = [self._control(index, limit_s) for index in range(plan.controls)]
        self.sidecars = [self._sidecar(index, limit_s) for index in self.real_indexes]
        self.hollow = [self._hollow(process, limit_s) for process in range(processes)]
        self.hollow_indexes = [index for index in range(plan.nodes) if index not in self.real_indexes]
        self.shares = [self.hollow_indexes[process::processes] for process in range(processes)]
        self.version = 0

    def __enter__(self) -> Fleet:
        """Starts the control processes and the processes of hollow nodes."""
        for process in [*self.controls, *self.hollow]:
            process.start()
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        """Kills all processes; an exception gets the last lines of their logs as notes."""
        for process in self.all:
            if error is not None:
                error.add_note(process.report(MAX_LOG_LINES))
            process.kill()

    @property
    def all(self) -> list[Spawned]:
        """All processes of the fleet."""
        return [*self.hollow, *self.sidecars, *self.controls]

    @property
    def machines(self) -> int:
        """The number of sidecar and control machines."""
        return self.plan.nodes + self.plan.controls

    # Processes.

    def _real(self, name: str, program: str, ip: str, settings: str, limit_s: float) -> Spawned:
        file = self.folder / f"{name}.yaml"
        file.write_text(settings)
        arguments = ["bench.scale.real_process", json.dumps(asdict(self.plan)), program, str(limit_s)]
        address = (ip, self.plan.port(MANAGEMENT))
        return Spawned(self.folder, name, address, arguments, {SETTINGS_VARIABLE: str(file)})

    def _control(self, index: int, limit_s: float) -> Spawned:
        disk = self.folder / f"disk-{index}"
        disk.mkdir()
        settings = self.plan.control_settings(index, disk)
        return self._real(f"control-{index}", CONTROL_PROGRAM, self.plan.control_ip(index), settings, limit_s)

    def _sidecar(self, index: int, limit_s: float) -> Spawned:
        node = self.plan.node(index)
        settings = self.plan.node_settings(node)
        return self._real(f"sidecar-{index}", SIDECAR_PROGRAM, node.ip, settings, limit_s)

    def _hollow(self, process: int, limit_s: float) -> Spawned:
        address = (self.plan.management_ip(process), self.plan.port(MANAGEMENT))
        arguments = ["bench.scale.hollow_process", json.dumps(asdict(self.plan)), str(process), str(limit_s)]
        return Spawned(self.folder, f"hollow-{process}", address, arguments)

    # Calls to the processes.

    def wait(self, condition: str, seconds: float, until: Callable[[], bool]) -> float:
        """Polls until a condition holds; returns the elapsed seconds.

        FleetError if the condition does not hold within `seconds`.
        """
        started_at = time.monotonic()
        while not until():
            if time.monotonic() - started_at > seconds:
                raise FleetError(condition, seconds)
            self.pause(POLL_INTERVAL_S)
        return time.monotonic() - started_at

    def pause(self, seconds: float) -> None:
        """Runs the event loop for some seconds."""
        self.loop.status = None
        self.loop.after(seconds, partial(self.loop.exit, 0))
        self.loop.run()

    def _answers(self, method: str, calls: list[tuple[Spawned, Any]]) -> dict[int, Any]:
        """Returns the answers by the rank of the call; None if none arrived."""
        answers: dict[int, Any] = {}
        if not calls:
            return answers

        def answered(rank: int, answer: Any) -> None:
            answers[rank] = answer
            if len(answers) == len(calls):
                self.loop.exit(0)

        for rank, (process, arguments) in enumerate(calls):
            self.caller.call(process.address, method, arguments, CALL_TIMEOUT_S, partial(answered, rank))
        self.loop.status = None
        self.loop.run()
        return answers

    def all_answer(self, processes: list[Spawned]) -> bool:
        """Returns whether all of these processes answer."""
        answers = self._answers(messages.SAMPLE, [(process, None) for process in processes])
        return all(answer is not None for answer in answers.values())

    def call_all(self, method: str, args: Iterable[tuple[Spawned, Any]]) -> list[Any]:
        """Calls a method of several processes at once; returns their answers in order.

        FleetError if one does not answer.
        """
        calls = list(args)
        answers = self._answers(method, calls)
        unanswered = [calls[rank][0].name for rank, answer in answers.items() if answer is None]
        if unanswered:
            raise FleetError(f"{method}: answers of {', '.join(unanswered)}", CALL_TIMEOUT_S)
        return [answers[rank] for rank in range(len(calls))]

    def samples(self, processes: list[Spawned]) -> list[NodeSample]:
        """Returns the samples of all nodes of these processes."""
        answers = self.call_all(messages.SAMPLE, [(process, None) for process in processes])
        return [NodeSample.unpacked(sample) for answer in answers for sample in answer]

    def hollow_samples(self) -> list[NodeSample]:
        """Returns the samples of all hollow nodes that have been started."""
        return self.samples(self.hollow)

    # Operations on the fleet.

    def start_nodes(self, spread_s: float) -> None:
        """Starts all sidecars, hollow and real, spread over some seconds."""
        for process in self.sidecars:
            process.start()
        calls = [
            (process, Start(share, spread_s, self.machines).packed())
            for process, share in zip(self.hollow, self.shares, strict=True)
        ]
        calls[0][1][3] = self.real_indexes
        self.call_all(messages.START, calls)

    def _by_process(self, indexes: list[int]) -> list[tuple[Spawned, list[int]]]:
        """Returns hollow nodes by their process, without processes that have none of them."""
        chosen = set(indexes)
        by_process = [
            (process, [index for index in share if index in chosen])
            for process, share in zip(self.hollow, self.shares, strict=True)
        ]
        return [
            (process, indexes_of_process) for process, indexes_of_process in by_process if indexes_of_process
        ]

    def kill_hollow(self, indexes: list[int]) -> None:
        """Kills hollow nodes."""
        self.call_all(messages.KILL, self._by_process(indexes))

    def restart_hollow(self, indexes: list[int]) -> None:
        """Starts hollow nodes that were killed."""
        calls = [
            (process, Start(indexes_of_process, 0.0, self.machines).packed())
            for process, indexes_of_process in self._by_process(indexes)
        ]
        self.call_all(messages.START, calls)

    def partition(self, first: Zones = NO_ZONES, second: Zones = NO_ZONES) -> None:
        """Separates two groups of zones; without arguments, removes the partition."""
        sides = [sorted(first), sorted(second)]
        self.call_all(messages.PARTITION, [(process, sides) for process in self.all if process.running])

    def change(self, first: int = 0) -> tuple[float, float]:
        """Replaces the configuration; returns the times of the first request and of the acknowledgement.

        Sends the request to control machine `first`, and after each failure or time-out to the next one.
        FleetError, with each kind of answer and its number, if none acknowledges it.
        """
        self.version += 1
        text = configuration(self.version, self.plan.services)
        started_at = time.monotonic()
        answers: Counter[str] = Counter()
        for attempt in range(MAX_CHANGE_ATTEMPTS):
            ip = self.plan.control_ip((first + attempt) % self.plan.controls)
            address = f"{ip}:{self.plan.port(deployment.CONTROL)}"
            try:
                status, body = call(address, "POST", "/api/configuration/replace", text, REQUEST_TIMEOUT_S)
            except MeshCallError as unanswered:
                answers[str(unanswered)] += 1
            else:
                if status == HTTPStatus.OK:
                    return started_at, time.monotonic()
                answers[f"{address}: {status} {body!r}"] += 1
            self.pause(RETRY_INTERVAL_S)
        error = FleetError(f"acknowledgement of r{self.version}", time.monotonic() - started_at)
        for answer, count in answers.items():
            error.add_note(f"{count} times {answer}")
        raise error

    def application_times(self, version: int) -> list[float]:
        """Returns when each running hollow node applied a version; 0 for those that have not."""
        answers = self.call_all(messages.APPLIED, [(process, version) for process in self.hollow])
        return [applied_at for answer in answers for applied_at in answer]

    def process_application_times(self, version: int) -> list[float]:
        """Returns when each running sidecar process applied a version; 0 if it has not."""
        return [process.applied_at(version) for process in self.sidecars if process.running]

    def is_ready(self, ip: str, port: int) -> bool:
        """Returns whether a machine reports that it is ready."""
        try:
            return (
                call(f"{ip}:{self.plan.port(port)}", "GET", "/api/readiness", b"", REQUEST_TIMEOUT_S)[0]
                == 200
            )
        except MeshCallError:
            return False
