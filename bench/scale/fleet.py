"""A fleet that runs: control processes, a few sidecar processes, and processes of hollow sidecars."""

from __future__ import annotations

import json
import time
from collections.abc import Callable, Iterable
from dataclasses import asdict
from functools import partial
from pathlib import Path
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
ANSWER_S = 20.0  # that a process of the run has for one answer
POLL_S = 0.05
NOWHERE: Zones = frozenset()
ORDER_S = 1.0  # that a control machine has to acknowledge before the operator asks the next one
ORDER_PAUSE_S = 0.1


class FleetError(Exception):
    """The fleet did not do what the run waits for: `what`, after `seconds`."""

    def __init__(self, what: str, seconds: float) -> None:
        super().__init__(f"{what}: not within {seconds:g} s")
        self.what, self.seconds = what, seconds


class Fleet:
    """See the module. Use it as a context: its end ends every process that it started."""

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
        """Start what must be there before the nodes."""
        for process in [*self.controls, *self.hollow]:
            process.start()
        return self

    def __exit__(self, *exception: object) -> None:
        """End everything."""
        for process in self.all:
            process.kill()

    @property
    def all(self) -> list[Spawned]:
        """Every process of the fleet."""
        return [*self.hollow, *self.sidecars, *self.controls]

    @property
    def machines(self) -> int:
        """Sidecar and control machines."""
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

    # Asking the processes.

    def wait(self, what: str, seconds: float, until: Callable[[], bool]) -> float:
        """Look every `POLL_S` until something has come true; how long it took. FleetError if it does not."""
        begun = time.monotonic()
        while not until():
            if time.monotonic() - begun > seconds:
                raise FleetError(what, seconds)
            self.pause(POLL_S)
        return time.monotonic() - begun

    def pause(self, seconds: float) -> None:
        """Let time pass."""
        self.loop.status = None
        self.loop.after(seconds, partial(self.loop.exit, 0))
        self.loop.run()

    def _answers(self, method: str, asked: list[tuple[Spawned, Any]]) -> dict[int, Any]:
        """Answers by the place of the question; None where none came."""
        answers: dict[int, Any] = {}
        if not asked:
            return answers

        def answered(rank: int, answer: Any) -> None:
            answers[rank] = answer
            if len(answers) == len(asked):
                self.loop.exit(0)

        for rank, (process, arguments) in enumerate(asked):
            self.caller.call(process.address, method, arguments, ANSWER_S, partial(answered, rank))
        self.loop.status = None
        self.loop.run()
        return answers

    def answering(self, processes: list[Spawned]) -> bool:
        """Whether all of some processes can be asked."""
        answers = self._answers(messages.SAMPLE, [(process, None) for process in processes])
        return all(answer is not None for answer in answers.values())

    def ask(self, method: str, args: Iterable[tuple[Spawned, Any]]) -> list[Any]:
        """Answers of some processes, asked at once, in their order. FleetError where one does not answer."""
        asked = list(args)
        answers = self._answers(method, asked)
        silent = [asked[rank][0].name for rank, answer in answers.items() if answer is None]
        if silent:
            raise FleetError(f"{method}: answers of {', '.join(silent)}", ANSWER_S)
        return [answers[rank] for rank in range(len(asked))]

    def samples(self, processes: list[Spawned]) -> list[NodeSample]:
        """Every node of some processes."""
        answers = self.ask(messages.SAMPLE, [(process, None) for process in processes])
        return [NodeSample.unpacked(sample) for answer in answers for sample in answer]

    def hollow_samples(self) -> list[NodeSample]:
        """Every hollow node that has been started."""
        return self.samples(self.hollow)

    # What is done to the fleet.

    def start_nodes(self, spread_s: float) -> None:
        """Start all sidecars, hollow and real, spread over some seconds."""
        for process in self.sidecars:
            process.start()
        orders = [
            (process, Start(share, spread_s, self.machines).packed())
            for process, share in zip(self.hollow, self.shares, strict=True)
        ]
        orders[0][1][3] = self.real_indexes
        self.ask(messages.START, orders)

    def _by_process(self, indexes: list[int]) -> list[tuple[Spawned, list[int]]]:
        """Hollow nodes by their process; processes without any of them are left out."""
        chosen = set(indexes)
        by_process = [
            (process, [index for index in share if index in chosen])
            for process, share in zip(self.hollow, self.shares, strict=True)
        ]
        return [(process, some) for process, some in by_process if some]

    def kill_hollow(self, indexes: list[int]) -> None:
        """End hollow nodes at once."""
        self.ask(messages.KILL, self._by_process(indexes))

    def revive_hollow(self, indexes: list[int]) -> None:
        """Start hollow nodes that were ended."""
        orders = [
            (process, Start(some, 0.0, self.machines).packed()) for process, some in self._by_process(indexes)
        ]
        self.ask(messages.START, orders)

    def partition(self, one: Zones = NOWHERE, other: Zones = NOWHERE) -> None:
        """Separate two groups of zones; without them, join all again."""
        sides = [sorted(one), sorted(other)]
        self.ask(messages.PARTITION, [(process, sides) for process in self.all if process.running])

    def change(self, first: int = 0) -> tuple[float, float]:
        """Put a new configuration in force; when it was sent first and when it was acknowledged.

        The operator asks control machine `first`, and after a failure or a second of silence the next one.
        """
        self.version += 1
        text = configuration(self.version, self.plan.services)
        begun = time.monotonic()
        for turn in range(60):
            ip = self.plan.control_ip((first + turn) % self.plan.controls)
            at = f"{ip}:{self.plan.port(deployment.CONTROL)}"
            try:
                status, _ = call(at, "POST", "/api/configuration/replace", text, ORDER_S)
            except MeshCallError:
                status = 0
            if status == 200:
                return begun, time.monotonic()
            self.pause(ORDER_PAUSE_S)
        raise FleetError(f"acknowledgement of r{self.version}", time.monotonic() - begun)

    def in_force(self, version: int) -> list[float]:
        """When each running hollow node had a version in force; 0 for those that do not have it yet."""
        answers = self.ask(messages.APPLIED, [(process, version) for process in self.hollow])
        return [at for answer in answers for at in answer]

    def in_force_at_processes(self, version: int) -> list[float]:
        """The same of the running sidecar processes."""
        return [process.in_force(version) for process in self.sidecars if process.running]

    def is_ready(self, ip: str, port: int) -> bool:
        """Whether a machine says that it is ready."""
        try:
            return call(f"{ip}:{self.plan.port(port)}", "GET", "/api/readiness", b"", ORDER_S)[0] == 200
        except MeshCallError:
            return False
