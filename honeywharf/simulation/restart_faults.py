"""Faults round the end and the start of a sidecar: work that outlasts it, and statements that it forgets."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from honeywharf.simulation.backends import MEAN_WORK_S, Backend
from honeywharf.simulation.deployment import COLD_START_S, ZONES, SidecarNode
from honeywharf.simulation.fault_schedule import Fault, FaultSchedule
from honeywharf.simulation.invariants import Order

if TYPE_CHECKING:
    from collections.abc import Callable

#: Drawn beside the others, by a generator of their own.
RESTART_KINDS: dict[str, tuple[str, ...]] = {
    "late_heartbeat": (
        "deregister",
        "drain",
        "deregister lying",
        "drain lying",
        "deregister twice",
        "deregister all",
        "deregister all lying",
        "drain all twice",
    ),
    "late_cold_time": ("evacuation", "restart", "restart twice"),
    "slow_stop": ("",),
}
RESTART_FAULT_SHARE = 0.25
SLOW_STOP_WORK_S = 1.0  # The mean working time of backends while sidecars are stopped.
LONG_DEADLINE_S = 5.0  # The deadline of requests meanwhile; requests may last nearly as long as a stop.
SLOW_STOP_S = 10.0
ALL_KILLED_AT_S, FIRST_S = 1.0, 0.02  # Of "all"; a heartbeat arrives before the first health check.
EVACUATED_S = 6.0  # The length of the evacuation of `late_cold_time`.
COLD_AGAIN_S = 2.3  # Less than a backend is cold, and after the first restart.
COLD_TRAFFIC_FACTOR, COLD_TRAFFIC_S = 4.0, 2.5  # The load when backends that have become cold return.
LATE_COLD_TIMES_S = (0.05, 0.1, 0.15, 0.2, 0.3)  # Of late heartbeats, since the zone or the process returns.
# Times of `late_heartbeat` since the departure: kill, late heartbeats, and the backend's end.
MAX_KILL_DELAY_S, LATE_HEARTBEAT_AT_S, LATER_HEARTBEAT_AT_S, DEPARTED_S = 1.0, 4.5, 5.5, 9.0


class RestartFaultSchedule(FaultSchedule):
    """Injects these faults beside those of `FaultSchedule`."""

    def slow_stop(self, fault: Fault, rng: random.Random) -> None:
        """Stops some proxies under load while backends work for seconds and clients wait for it."""
        self.invariant_checker.last_any_fault_at = self.world.now
        for flow in self.deployment.flows:
            self._schedule(SLOW_STOP_S, setattr, flow, "deadline", flow.deadline)
            flow.deadline = LONG_DEADLINE_S
        for sidecar_node in self.deployment.sidecar_nodes:
            backend = sidecar_node.live_backend()
            if backend is not None:
                backend.mean_work_s = SLOW_STOP_WORK_S
                self._schedule(SLOW_STOP_S, setattr, backend, "mean_work_s", MEAN_WORK_S)
        self._send_change(round(LONG_DEADLINE_S * 1000))
        quiet_s = self.invariant_checker.bounds["contact"] + 0.1
        for n, sidecar_node in enumerate(self._choose_nodes(rng, 0.3)):
            self._schedule(quiet_s + 0.4 * n, self._terminate_under_load, sidecar_node)

    def late_heartbeat(self, fault: Fault, rng: random.Random) -> None:
        """Lets a backend depart, kills its proxy, and delivers a heartbeat of before the departure.

        With "lying" the backend's health answers are good all the same, with "twice" two are late. With "all"
        all proxies and control nodes are killed, and the heartbeat is the first message after the restart.
        """
        words = fault.how.split()
        candidates = [node for node in self.deployment.sidecar_nodes if self._may_depart(node)]
        if not candidates:
            return
        sidecar_node = rng.choice(candidates)
        backend = sidecar_node.live_backend()
        assert backend is not None
        self.departing_nodes.add(sidecar_node)
        backend.health_lies = "lying" in words
        late_heartbeats = backend.depart(words[0])[: 2 if "twice" in words else 1]
        kill_at, late_at = rng.uniform(0.01, MAX_KILL_DELAY_S), LATE_HEARTBEAT_AT_S
        if "all" in words:
            kill_at, late_at = ALL_KILLED_AT_S, ALL_KILLED_AT_S + sidecar_node.proxy.restart_delay_s + FIRST_S
            self._schedule(kill_at, self._kill_all)
        else:
            self._schedule(kill_at, self._kill, sidecar_node.proxy, False)
        for at, send in zip((late_at, LATER_HEARTBEAT_AT_S), late_heartbeats, strict=False):
            self._schedule(at, self._send_late, sidecar_node, backend, send)
        self._schedule(DEPARTED_S, self._replace_departed, sidecar_node)

    def _kill_all(self) -> None:
        """Kills all proxies and control nodes, so that nobody remembers what only memories hold."""
        self.invariant_checker.last_any_fault_at = self.world.now
        for process in [node.proxy for node in self.deployment.sidecar_nodes] + self.deployment.cores:
            self._kill(process, False)

    def late_cold_time(self, fault: Fault, rng: random.Random) -> None:
        """Lets the backends of a zone become cold; heartbeats of before that are late.

        With "evacuation" they do so before its end, with "restart" while their proxies restart, with "twice"
        once more while they are cold.
        """
        zone = rng.choice(ZONES)
        if fault.how == "evacuation":
            self.deployment.operator.order(Order("start", zone=zone))
            self._schedule(EVACUATED_S, self._return_cold, zone)
            return
        self._restart_cold(zone)
        if "twice" in fault.how:
            self._schedule(COLD_AGAIN_S, self._restart_cold, zone)

    def _return_cold(self, zone: str) -> None:
        self._become_cold(zone, 0.0)
        self.deployment.operator.order(Order("complete", zone=zone))

    def _restart_cold(self, zone: str) -> None:
        proxies = [node.proxy for node in self.deployment.sidecar_nodes if node.machine.zone == zone]
        for proxy in proxies:
            self._kill(proxy, False)
        self._become_cold(zone, max(proxy.restart_delay_s for proxy in proxies))

    def _become_cold(self, zone: str, delay_s: float) -> None:
        """Lets a zone's backends become cold under load; late heartbeats begin to arrive after `delay_s`."""
        self._scale_traffic(COLD_TRAFFIC_FACTOR)
        self._schedule(COLD_TRAFFIC_S, self._scale_traffic, 1 / COLD_TRAFFIC_FACTOR)
        for sidecar_node in self.deployment.sidecar_nodes:
            backend = sidecar_node.live_backend()
            if sidecar_node.machine.zone == zone and backend is not None:
                late_heartbeats = backend.become_cold(COLD_START_S, len(LATE_COLD_TIMES_S))
                for at, send in zip(LATE_COLD_TIMES_S, late_heartbeats, strict=True):
                    self._schedule(delay_s + at, self._send_late, sidecar_node, backend, send)

    def _scale_traffic(self, factor: float) -> None:
        """Multiplies the rates of requests; periods of several faults may overlap."""
        for flow in self.deployment.flows:
            flow.per_s *= factor

    def _may_depart(self, sidecar_node: SidecarNode) -> bool:
        backend = sidecar_node.live_backend()
        is_ready = backend is not None and backend.state == "ready"
        return (
            is_ready and sidecar_node not in self.departing_nodes and self._has_other_instance(sidecar_node)
        )

    def _send_late(self, sidecar_node: SidecarNode, backend: Backend, send: Callable[[], None]) -> None:
        if sidecar_node.live_backend() is backend:
            send()

    def _replace_departed(self, sidecar_node: SidecarNode) -> None:
        self.departing_nodes.discard(sidecar_node)
        sidecar_node.backend.is_restarted = False
        sidecar_node.backend.end()
        self._schedule(self.invariant_checker.bounds["address-reuse"], self._start_backend, sidecar_node)
