"""A day by seed, and the least of its faults that breaks a rule (`honeywharf simulation` plays them).

The order of sets of texts belongs to a day, so one is played again only under the same PYTHONHASHSEED: 0.
"""

from __future__ import annotations

from honeywharf.simulation.deployment import SIGTERM, SMALL_SHAPE, Deployment, ProgramFactory, Shape
from honeywharf.simulation.fault_schedule import Fault, draw_faults
from honeywharf.simulation.machine import Process
from honeywharf.simulation.rare_faults import RareFaultSchedule, draw_any_faults

LEAD, QUIET = 5.0, 5.0  # seconds until traffic, and of traffic before troubles
TROUBLES, AFTER = 10.0, 26.0  # seconds of troubles, and of traffic after the last may have begun


class Report:
    """What a day showed. `broken` is (rule, seconds, what); `digest` is equal for equal days."""

    def __init__(self, seed: int, faults: list[Fault], deployment: Deployment) -> None:
        attempts = deployment.invariant_checker.attempts.values()
        self.seed, self.faults = seed, faults
        self.steps, self.digest = deployment.world.steps, deployment.world.digest
        self.broken = list(deployment.invariant_checker.violations)
        self.broken += [("FAULT", when, f"{who}: {trace}") for when, who, trace in deployment.world.crashes]
        self.asked, self.served = len(attempts), sum(200 <= attempt.status < 300 for attempt in attempts)
        if not self.served and not self.broken:
            self.broken.append(("FAULT", deployment.world.now, "no request was served"))
        self.notes = list(deployment.world.notes)
        self.story = list(deployment.world.story)
        words = self.broken[0][2].split() if self.broken else []
        self.about = [
            line
            for word in words[:1]
            if word in deployment.invariant_checker.attempts
            for line in deployment.invariant_checker.attempts[word].history()
        ]

    def __str__(self) -> str:
        """One line for the day, one for each rule that was broken."""
        told = [f"day {self.seed}: {self.served} of {self.asked} served, {self.steps} steps, {self.faults}"]
        told += [
            f"  BROKEN {rule} at {when:.3f}, step {self.steps}: {what}" for rule, when, what in self.broken
        ]
        return "\n".join(told)

    def history(self) -> list[str]:
        """What led to the break: troubles, starts, ends, orders, then the request that shows it."""
        return [*self.story, *self.about]


def real_sidecar(host: Process, settings: str) -> object:
    """The data plane's program."""
    from honeywharf.mesh_config.settings import parse
    from honeywharf.programs.sidecar import Sidecar

    sidecar = Sidecar(host, parse(settings))
    host.on_signal(SIGTERM, sidecar.terminate)
    return sidecar


def real_control_node(host: Process, settings: str) -> object:
    """The control plane's program."""
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
    after: float = AFTER,
    any_kind: bool = False,
) -> Report:
    """Play a day, with the faults that its seed draws or with those given; stop at the first broken rule.

    `after`: seconds of traffic after the last trouble may have begun; RECOVER needs all of them.
    `any_kind`: the seed draws from every kind of trouble, not just from those that sites list.
    """
    begin = LEAD + QUIET
    until = begin + TROUBLES + after
    deployment = Deployment(seed, sidecar, control_node, shape, LEAD, until)
    if faults is None:
        faults = (draw_any_faults if any_kind else draw_faults)(seed, begin, begin + TROUBLES)
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
    """Leave out one fault after the other while the same rule is still broken."""
    least, tried = report, 0
    while tried < len(least.faults):
        fewer = least.faults[:tried] + least.faults[tried + 1 :]
        again = run(report.seed, fewer, sidecar, control_node, shape)
        if again.broken and again.broken[0][0] == report.broken[0][0]:
            least = again
        else:
            tried += 1
    return least


def play(seed: int, shape: Shape = SMALL_SHAPE, any_kind: bool = False) -> Report:
    """The day of a seed; where it breaks a rule, with as few of its faults as still do."""
    report = run(seed, shape=shape, any_kind=any_kind)
    return shrink(report, shape=shape) if report.broken else report
