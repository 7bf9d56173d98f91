"""Runs a deployment by seed, and reduces the faults of a run that breaks a rule (`honeywharf simulation`).

The iteration order of sets of strings affects a run. A run is therefore repeatable only under the same
PYTHONHASHSEED, which is 0.
"""

from __future__ import annotations

from honeywharf.simulation.deployment import SIGTERM, SMALL_SHAPE, Deployment, ProgramFactory, Shape
from honeywharf.simulation.fault_schedule import Fault, draw_faults
from honeywharf.simulation.machine import Process
from honeywharf.simulation.rare_faults import RareFaultSchedule, draw_any_faults

TRAFFIC_START_S, FAULT_FREE_S = 5.0, 5.0  # The start of traffic, and the time from there to the first fault.
FAULTS_S, AFTER_FAULTS_S = 10.0, 26.0  # The period of faults, and the time of traffic after it.


class Report:
    """The result of a run. `broken` are (rule, seconds, description); equal runs have equal digests."""

    def __init__(self, seed: int, faults: list[Fault], deployment: Deployment) -> None:
        attempts = deployment.invariant_checker.attempts.values()
        self.seed, self.faults = seed, faults
        self.steps, self.digest = deployment.world.steps, deployment.world.digest
        self.broken = list(deployment.invariant_checker.violations)
        self.broken += [("FAULT", when, f"{who}: {trace}") for when, who, trace in deployment.world.crashes]
        self.asked, self.served = len(attempts), sum(200 <= attempt.status < 300 for attempt in attempts)
        if not self.served and not self.broken:
            self.broken.append(("FAULT", deployment.world.now, "no request was served"))
        self.trace_lines = list(deployment.world.trace_lines)
        self.event_lines = list(deployment.world.event_lines)
        description = self.broken[0][2].split() if self.broken else []
        self.attempt_history = [
            line
            for word in description[:1]
            if word in deployment.invariant_checker.attempts
            for line in deployment.invariant_checker.attempts[word].history()
        ]

    def __str__(self) -> str:
        """Returns a line for the run and a line for each broken rule."""
        lines = [f"day {self.seed}: {self.served} of {self.asked} served, {self.steps} steps, {self.faults}"]
        lines += [
            f"  BROKEN {rule} at {when:.3f}, step {self.steps}: {what}" for rule, when, what in self.broken
        ]
        return "\n".join(lines)

    def history(self) -> list[str]:
        """Returns the faults, starts, ends and orders before the violation, then the affected request."""
        return [*self.event_lines, *self.attempt_history]


def real_sidecar(host: Process, settings: str) -> object:
    """Creates the program of the data plane."""
    from honeywharf.mesh_config.settings import parse
    from honeywharf.programs.sidecar import Sidecar

    sidecar = Sidecar(host, parse(settings))
    host.on_signal(SIGTERM, sidecar.terminate)
    return sidecar


def real_control_node(host: Process, settings: str) -> object:
    """Creates the program of the control plane."""
    from honeywharf.mesh_config.settings import parse
    from honeywharf.programs.control import ControlNode

    control_node = ControlNode(host, parse(settings))
    host.on_signal(SIGTERM, control_node.stop)
    return control_node


def run(
    seed: int,
    faults: list[Fault] | None = None,
    sidecar: ProgramFactory = real_sidecar,
    control_node: ProgramFactory = real_control_node,
    shape: Shape = SMALL_SHAPE,
    after: float = AFTER_FAULTS_S,
    any_kind: bool = False,
) -> Report:
    """Runs the given faults, or those drawn from the seed; stops at the first broken rule.

    `after`: the time in seconds of traffic after the period of faults; RECOVER needs the default.
    `any_kind`: draws from every kind of fault, not only from those that sites list.
    """
    begin = TRAFFIC_START_S + FAULT_FREE_S
    until = begin + FAULTS_S + after
    deployment = Deployment(seed, sidecar, control_node, shape, TRAFFIC_START_S, until)
    if faults is None:
        faults = (draw_any_faults if any_kind else draw_faults)(seed, begin, begin + FAULTS_S)
    RareFaultSchedule(deployment, faults)
    deployment.world.strict = True
    deployment.world.run(until + 2.0)
    if not deployment.world.halted:
        deployment.invariant_checker.notify("closing", until - 1.0)
        deployment.operator.read_back()
        deployment.world.run(until + 8.0)
    return Report(seed, faults, deployment)


def shrink(
    report: Report,
    sidecar: ProgramFactory = real_sidecar,
    control_node: ProgramFactory = real_control_node,
    shape: Shape = SMALL_SHAPE,
) -> Report:
    """Removes faults one by one while the same rule is still broken."""
    smallest, position = report, 0
    while position < len(smallest.faults):
        remaining_faults = smallest.faults[:position] + smallest.faults[position + 1 :]
        again = run(report.seed, remaining_faults, sidecar, control_node, shape)
        if again.broken and again.broken[0][0] == report.broken[0][0]:
            smallest = again
        else:
            position += 1
    return smallest


def play(seed: int, shape: Shape = SMALL_SHAPE, any_kind: bool = False) -> Report:
    """Runs a seed; reduces the faults if a rule is broken."""
    report = run(seed, shape=shape, any_kind=any_kind)
    return shrink(report, shape=shape) if report.broken else report
