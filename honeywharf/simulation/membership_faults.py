"""Faults of the membership: control nodes that are replaced in turn while the configuration changes."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Any

from honeywharf.programs.admission_bound import ADMISSION_BOUND_S
from honeywharf.simulation.deployment import SIGTERM
from honeywharf.simulation.fault_schedule import Fault
from honeywharf.simulation.restart_faults import RestartFaultSchedule

if TYPE_CHECKING:
    from honeywharf.simulation.machine import Process

#: Drawn beside the others, by a generator of their own.
MEMBERSHIP_KINDS: dict[str, tuple[str, ...]] = {"core_turnover": ("", "planned", "successor dies")}
MEMBERSHIP_FAULT_SHARE = 0.25
TURNOVERS = 3
START_DELAY_S = 0.05  # From the loss of a machine to the start of its successor.
STORM_GAP_S = 0.08  # Between two changes of the configuration.
MAX_DEATH_AT_S = 2.0  # A successor that dies does so at most this long after its start.
STOP_S = 1.0  # From SIGTERM to the end of the machine.
RECORDED_AFTER_S = 2.0  # From a successor's start until it is in the operator's list.
QUIET_S = 2.0  # Without faults of the other control nodes before the start of a successor.
MARGIN_S = 0.2


class MembershipFaultSchedule(RestartFaultSchedule):
    """Injects these faults beside those of `RestartFaultSchedule`."""

    def turnover_interval_s(self) -> float:
        """Returns the time between two losses: a successor has had `catch-up` since its start."""
        return self.invariant_checker.bounds["catch-up"] + START_DELAY_S + STOP_S + MARGIN_S

    def core_turnover(self, fault: Fault, rng: random.Random) -> None:
        """Replaces control nodes in turn under a storm of changes; each successor has a vote in time.

        With "planned" each has a standby and SIGTERM before its end; with "successor dies" the first
        successor is lost too, soon after its start, and replaced.
        """
        interval = self.turnover_interval_s()
        changes = round(TURNOVERS * interval / STORM_GAP_S)
        for n in range(changes):
            self._schedule(STORM_GAP_S * n, self.config_change, fault, random.Random(fault.seed + n))
        for n in range(TURNOVERS):
            dies = n == 0 and fault.how == "successor dies"
            self._schedule(interval * n, self._turn_over, rng, fault.how == "planned", dies)

    def _turn_over(self, rng: random.Random, is_planned: bool, dies: bool) -> None:
        old = rng.choice(self.deployment.cores)
        self._mark_fault(old.machine, STOP_S)
        new = self.deployment.make_replacement_core(old)
        if is_planned:
            self._start_successor(old, new)
            self._schedule(STOP_S, old.signal, SIGTERM)
            self._schedule(2 * STOP_S, self._lose, old)
            return
        self._lose(old)
        if dies:
            self._schedule(START_DELAY_S, new.start)
            death_at = START_DELAY_S + rng.uniform(0.0, MAX_DEATH_AT_S)
            self._schedule(death_at, self._lose, new)
            successor = self.deployment.make_replacement_core(old)
            self._schedule(death_at + START_DELAY_S, self._start_successor, old, successor)
        else:
            self._schedule(START_DELAY_S, self._start_successor, old, new)

    def _lose(self, process: Process) -> None:
        """Loses a machine with its disk for good."""
        self._mark_fault(process.machine, MARGIN_S)
        process.is_restarted = False
        process.machine.power_off()

    def _start_successor(self, old: Process, new: Process) -> None:
        self._mark_fault(new.machine, MARGIN_S)
        new.start()
        self._schedule(RECORDED_AFTER_S, self.deployment.replace_core, old, new)
        self._schedule(ADMISSION_BOUND_S, self._check_vote, old, new, self.world.now)

    def _check_vote(self, old: Process, new: Process, started_at: float) -> None:
        """Notifies the invariants of a successor's vote, unless another control node had a fault."""
        others = [core for core in self.deployment.cores if core not in (old, new)]
        faults = self.invariant_checker.last_fault_at
        active = self.invariant_checker.active_faults
        is_quiet = not any(
            active.get(core.machine.ip) or faults.get(core.machine.ip, 0.0) > started_at - QUIET_S
            for core in others
        )
        program: Any = new.program
        has_vote = program is not None and program.replica.is_member()
        self.world.record_event("successor", new.machine.ip, "has a vote" if has_vote else "has no vote")
        if is_quiet:
            self.invariant_checker.notify("successor_judged", new.machine.ip, has_vote)
