"""Schedules of faults of every kind, including kinds that sites do not list.

Each kind has a method of its name. A fault is marked at its machines for as long as the invariants must not
hold them to their bounds. Faults that remove control nodes are injected one at a time.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from functools import partial
from itertools import product
from typing import TYPE_CHECKING

from honeywharf.simulation.backends import MEAN_WORK_S
from honeywharf.simulation.clients import Clients
from honeywharf.simulation.deployment import SERVICES, ZONES, SidecarNode
from honeywharf.simulation.fault_schedule import (
    CLOSING_VARIANTS,
    KINDS,
    SERIALIZED_KINDS,
    Fault,
    draw_occasional_fault,
)
from honeywharf.simulation.invariants import Order
from honeywharf.simulation.membership_faults import (
    MEMBERSHIP_FAULT_SHARE,
    MEMBERSHIP_KINDS,
    TURNOVERS,
    MembershipFaultSchedule,
)
from honeywharf.simulation.restart_faults import RESTART_FAULT_SHARE, RESTART_KINDS

if TYPE_CHECKING:
    from honeywharf.simulation.disk import Disk
    from honeywharf.simulation.machine import Machine, Process

#: Kinds, or variants of kinds, that `fault_schedule` does not draw.
RARE_KINDS: dict[str, tuple[str, ...]] = {
    "ack_lost": ("",),
    "after_ack_kill": ("", "timed", "kill"),
    "after_ack_wipe": ("", "timed"),
    "big_config": ("",),
    "bridge_cut": ("",),
    "burst": ("",),
    "clock_step": ("back", "ahead", "hour"),
    "config_storm": ("", "long"),
    "core_cut": ("", "one_way", "long", "long one_way", "short", "both", "seeds"),
    "core_replace": ("", "planned", "twice", "then killed"),
    "core_resets": ("",),
    "disk_full": ("",),
    "disk_slow": ("",),
    "disk_stall": ("",),
    "give_up": ("", "slow"),
    "idle_race": ("",),
    "node_slow": ("", "core"),
    "reset_conns": ("",),
    "retry_abuse": ("",),
    "scale_out": ("",),
    "seed_turnover": ("",),
    "srv_crash": ("",),
    "srv_flap": ("",),
    "srv_grey": ("errors", "busy", "hang"),
    "srv_slow": ("",),
    "zone_cut": ("",),
}
#: Drawn beside the others, by a generator of their own.
ORDER_KINDS: dict[str, tuple[str, ...]] = {"late_order": ("", "delayed")}
EVERY_KIND = {**KINDS, **RARE_KINDS, **ORDER_KINDS, **RESTART_KINDS, **MEMBERSHIP_KINDS}
RARE_SERIALIZED_KINDS = (
    *SERIALIZED_KINDS,
    "core_resets",
    "core_turnover",
    "disk_full",
    "disk_slow",
    "disk_stall",
    "late_order",
    "zone_cut",
)

LOST_ACK_SHARE = 0.7
ORDER_FAULT_SHARE = 0.25
LONG_CUT_S, SHORT_CUT_S = 20.0, 2.9
LONG_STORM_CHANGES, STORM_INTERVAL_S = 60, 0.08
ADDED_ROUTES = 100
CLOCK_STEPS_S = {"back": -2.0, "ahead": 2.0, "hour": 3600.0}
BACKEND_IDLE_TIMEOUT_S = 0.3  # After this time a backend resets an idle connection.
SLOWDOWN_FACTOR = 5
FREEZE_S = 0.05  # A slow process is repeatedly frozen for this long.
RESTART_INTERVAL_S = 1.2  # The time between restarts of control nodes during a partition.
RESET_SHARE = 0.5  # The share of a machine's connections that are reset.
DISCONNECT_SHARE = 0.6  # The share of the requests whose clients disconnect early.
DISCONNECT_PERIOD_S = 8.0
# Times of `late_order` since its first order: of the order that is read late, and of the end of the last one.
LATE_ORDER_AT_S, LATE_ORDER_S = 4.0, 18.0
STOPPED_S = 3.5
# The node is stopped this long before the order is sent, so that its heartbeats are due first when it wakes.
STOPPED_BEFORE_S = 0.5
HELD_UP_S = 2.5  # Less than the time after which a connection to a silent peer is lost.
NEWER_ORDER_DELAY_S = 0.5  # From the acknowledgement of the repeated order to the newer one.
SLOW_WORK_S = 20 * MEAN_WORK_S  # The working time of backends while clients disconnect.


def draw_any_faults(seed: int, begin: float, end: float, order_faults: bool = True) -> list[Fault]:
    """Returns faults of any kind between two times; one of three schedules ends with a closing fault.

    Without `order_faults` there are none of `ORDER_KINDS`, `RESTART_KINDS` and `MEMBERSHIP_KINDS`.
    """
    rng, faults = random.Random(f"any {seed}"), []
    kinds = {**KINDS, **RARE_KINDS}
    for _ in range(rng.randint(2, 6)):
        kind = rng.choice(list(kinds))
        at = rng.uniform(begin, end)
        faults.append(Fault(at, kind, rng.choice(kinds[kind]), rng.getrandbits(32)))
    if rng.random() < 1 / 3:
        faults.append(Fault(end + 6.0, "closing", rng.choice(CLOSING_VARIANTS), rng.getrandbits(32)))
    if order_faults:
        faults += draw_occasional_fault(f"orders {seed}", ORDER_KINDS, ORDER_FAULT_SHARE, begin, end)
        faults += draw_occasional_fault(f"restarts {seed}", RESTART_KINDS, RESTART_FAULT_SHARE, begin, end)
        faults += draw_occasional_fault(
            f"members {seed}", MEMBERSHIP_KINDS, MEMBERSHIP_FAULT_SHARE, begin, begin
        )
    return sorted(faults, key=lambda fault: fault.at)


class RareFaultSchedule(MembershipFaultSchedule):
    """Injects faults of every kind."""

    serialized_kinds = RARE_SERIALIZED_KINDS

    def _max_duration_s(self, fault: Fault) -> float:
        """Returns the longest duration of a serialized fault."""
        if "long" in fault.how:
            return LONG_CUT_S
        if fault.how in ("twice", "then killed"):
            return 5.0 + self._recovery_s()
        if "both" in fault.how:
            return 1.0 + RESTART_INTERVAL_S * len(self.deployment.cores)
        if fault.kind == "core_turnover":
            return TURNOVERS * self.turnover_interval_s()
        if fault.kind == "late_order":
            return LATE_ORDER_S
        return super()._max_duration_s(fault)

    def _recovery_s(self) -> float:
        """Returns the time after a replacement until another control node may be lost."""
        return self.invariant_checker.bounds["catch-up"] + self.invariant_checker.bounds["seed-lag"] + 2.0

    # Faults of the network.

    def _partition_groups(self, some: Iterable[Machine], others: Iterable[Machine], seconds: float) -> None:
        """Partitions two groups of machines, and marks the fault at each of them."""
        groups = list(some), list(others)
        pairs = [(a.ip, b.ip) for a, b in product(*groups)]
        pairs += [(b, a) for a, b in pairs]
        self.deployment.network.cut(pairs)
        for machine in (*groups[0], *groups[1]):
            self._mark_fault(machine, seconds)
        self._schedule(seconds, self.deployment.network.remove_cuts, pairs)

    def _machines(self, zone: str) -> list[Machine]:
        return [
            process.machine for process in self.deployment.mesh_processes() if process.machine.zone == zone
        ]

    def bridge_cut(self, fault: Fault, rng: random.Random) -> None:
        """Partitions two zones from each other; the third zone reaches both."""
        one, other = rng.sample(ZONES, 2)
        self._partition_groups(self._machines(one), self._machines(other), 5.0)

    def zone_cut(self, fault: Fault, rng: random.Random) -> None:
        """Partitions a zone from the others; clients still reach it."""
        zone = rng.choice(ZONES)
        others = [machine for other in ZONES if other != zone for machine in self._machines(other)]
        self._partition_groups(self._machines(zone), others, 5.0)

    # Faults of orders.

    def late_order(self, fault: Fault, rng: random.Random) -> None:
        """Lets a control node read an order late, after it was repeated elsewhere and a newer one given.

        The node is stopped meanwhile while its kernel receives; with `delayed` nothing is stopped, and only
        the packets with the order are held up.
        """
        zone, core = rng.choice(ZONES), rng.choice(self.deployment.cores)
        operator, complete = self.deployment.operator, Order("complete", zone=zone)
        operator.order(Order("start", zone=zone))

        def acknowledged(order: Order, ip: str) -> None:
            if order is complete:
                self._schedule(NEWER_ORDER_DELAY_S, operator.order, Order("start", zone=zone))

        operator.on_ack = acknowledged
        if fault.how == "delayed":
            self._schedule(LATE_ORDER_AT_S, self._hold_up_operator, core)
        else:
            self._schedule(LATE_ORDER_AT_S - STOPPED_BEFORE_S, self._stop_core, core)
        self._schedule(LATE_ORDER_AT_S, partial(operator.order, complete, first=core.machine.ip))
        self._schedule(LATE_ORDER_S, operator.order, Order("complete", zone=zone))

    def _stop_core(self, core: Process) -> None:
        core.freeze(kernel_runs=True)
        self._mark_fault(core.machine, STOPPED_S)
        self._schedule(STOPPED_S, core.thaw)

    def _hold_up_operator(self, core: Process) -> None:
        """Holds up what the operator sends to a control node on its next connection."""
        operator, network = self.deployment.operator, self.deployment.network
        pairs = [(operator.host.machine.ip, core.machine.ip)]

        def connected(ip: str) -> None:
            if ip == core.machine.ip:
                operator.on_connected = lambda ip: None
                network.cut(pairs)
                self._schedule(HELD_UP_S, network.remove_cuts, pairs)

        operator.on_connected = connected

    def core_cut(self, fault: Fault, rng: random.Random) -> None:
        """Partitions a control node from the others; variants are longer, change seeds or restart nodes."""
        words = fault.how.split()
        core = rng.choice(self.deployment.cores)
        seconds = LONG_CUT_S if "long" in words else SHORT_CUT_S if "short" in words else 5.0
        others = [other.machine.ip for other in self.deployment.cores if other is not core]
        self._partition(core.machine, others, "one_way" in words, seconds)
        if "both" in words:
            for n, process in enumerate([core, *(one for one in self.deployment.cores if one is not core)]):
                self._schedule(1.0 + RESTART_INTERVAL_S * n, self._kill, process, False)
        if "seeds" in words:
            self._set_seeds([core.machine.ip, *others])
            for n, sidecar_node in enumerate(self._choose_nodes(rng, 0.4)):
                self._schedule(1.0 + 0.5 * n, self._kill, sidecar_node.proxy, False)

    def _reset_connections(self, process: Process, rng: random.Random, share: float) -> None:
        self.invariant_checker.mark_fault(process.machine.ip, 0, process.machine.disk is not None)
        for end in list(process.ends):
            if rng.random() < share:
                end.reset_both_ends()

    def reset_conns(self, fault: Fault, rng: random.Random) -> None:
        """Resets connections of some proxies."""
        for sidecar_node in self._choose_nodes(rng, 0.35):
            self._reset_connections(sidecar_node.proxy, rng, RESET_SHARE)

    def core_resets(self, fault: Fault, rng: random.Random) -> None:
        """Resets all connections of the control nodes twice."""
        for core in self.deployment.cores:
            self._reset_connections(core, rng, 1.0)
            self._schedule(1.5, self._reset_connections, core, rng, 1.0)

    # Faults of machines and processes.

    def clock_step(self, fault: Fault, rng: random.Random) -> None:
        """Steps the time of day on some machines, and back after a while."""
        processes = self.deployment.mesh_processes()
        for process in rng.sample(processes, max(1, len(processes) // 3)):
            self._step_clock(process.machine, CLOCK_STEPS_S[fault.how])
            self._schedule(5.0, self._step_clock, process.machine, -CLOCK_STEPS_S[fault.how])

    def _step_clock(self, machine: Machine, seconds: float) -> None:
        machine.clock_skew_s += seconds
        self.invariant_checker.mark_fault(machine.ip, 0, machine.disk is not None)

    def node_slow(self, fault: Fault, rng: random.Random) -> None:
        """Slows a process down by freezing it again and again."""
        core = fault.how == "core"
        process = rng.choice(self.deployment.cores) if core else self._choose_nodes(rng, 0.1)[0].proxy
        turn = FREEZE_S * SLOWDOWN_FACTOR / (SLOWDOWN_FACTOR - 1)
        turns = round(5.0 / turn)
        for n in range(turns):
            self._schedule(n * turn, process.freeze)
            self._schedule(n * turn + FREEZE_S, process.thaw)
        self._mark_fault(process.machine, turns * turn)

    def scale_out(self, fault: Fault, rng: random.Random) -> None:
        """Adds a machine to each zone."""
        for n, zone in enumerate(ZONES):
            taken = {sidecar_node.ip for sidecar_node in self.deployment.sidecar_nodes}
            prefix = f"10.{n + 1}.200."
            ip = next(f"{prefix}{last}" for last in range(20, 220) if f"{prefix}{last}" not in taken)
            sidecar_node = SidecarNode(self.deployment, ip, zone, rng.choice(SERVICES))
            self.deployment.sidecar_nodes.append(sidecar_node)
            self._mark_fault(sidecar_node.machine, 1.0)
            sidecar_node.proxy.start()
            self._schedule(1.0, sidecar_node.backend.start)
            self._schedule(3.0, sidecar_node.clients.start)

    def seed_turnover(self, fault: Fault, rng: random.Random) -> None:
        """Changes the seed nodes in the settings of processes that start later, and restarts some proxies."""
        ips = [core.machine.ip for core in self.deployment.cores]
        self._set_seeds(rng.sample(ips, rng.randint(1, len(ips))))
        for n, sidecar_node in enumerate(self._choose_nodes(rng, 0.3)):
            self._schedule(0.5 * n, self._kill, sidecar_node.proxy, False)

    def _set_seeds(self, seeds: list[str]) -> None:
        self.deployment.seeds = seeds

    # Faults of disks.

    def _choose_faulty_disk(self, rng: random.Random) -> Disk:
        core = rng.choice(self.deployment.cores)
        self._mark_fault(core.machine, 4.0)
        assert core.machine.disk is not None
        return core.machine.disk

    def disk_stall(self, fault: Fault, rng: random.Random) -> None:
        """Stalls the disk of a control node for a while."""
        self._choose_faulty_disk(rng).stalled_until = self.world.now + 4.0

    def disk_slow(self, fault: Fault, rng: random.Random) -> None:
        """Slows the disk of a control node down for a while."""
        disk = self._choose_faulty_disk(rng)
        disk.slowdown = 30.0
        self._schedule(4.0, setattr, disk, "slowdown", 1.0)

    def disk_full(self, fault: Fault, rng: random.Random) -> None:
        """Fills the disk of a control node for a while."""
        disk = self._choose_faulty_disk(rng)
        disk.full = True
        self._schedule(4.0, setattr, disk, "full", False)

    # Loss of control nodes.

    def core_replace(self, fault: Fault, rng: random.Random) -> None:
        """Replaces a control node, and with some variants replaces or kills another one after it."""
        plain = Fault(fault.at, fault.kind, "planned" if fault.how == "then killed" else fault.how, 0)
        super().core_replace(plain, rng)
        if fault.how == "twice":
            self._schedule(self._recovery_s(), self._replace_again, rng)
        if fault.how == "then killed":
            self._schedule(self._recovery_s(), self._kill_another_core, rng)

    def _replace_again(self, rng: random.Random) -> None:
        super().core_replace(Fault(self.world.now, "core_replace", "", 0), rng)

    def _kill_another_core(self, rng: random.Random) -> None:
        self._kill(rng.choice(self.deployment.cores), True)

    def after_ack_kill(self, fault: Fault, rng: random.Random) -> None:
        """Kills the control node that acknowledges a change, or any control node soon after the change."""
        power = fault.how != "kill"
        if fault.how == "timed":
            self._run_after_delay(rng, lambda core: self._kill(core, True))
        else:
            self._run_after_ack(lambda core: self._kill(core, power))

    def after_ack_wipe(self, fault: Fault, rng: random.Random) -> None:
        """Wipes the disk of the control node that acknowledges a change, or of any one soon after it."""
        if fault.how == "timed":
            self._run_after_delay(rng, self._wipe_disk)
        else:
            super().after_ack_wipe(fault, rng)

    def _run_after_delay(self, rng: random.Random, action: Callable[[Process], None]) -> None:
        """Sends a change, and runs the action on any control node 5 to 400 ms later."""
        self._send_change(3000)
        self._schedule(rng.uniform(0.005, 0.4), action, rng.choice(self.deployment.cores))

    # Orders of the operator.

    def ack_lost(self, fault: Fault, rng: random.Random) -> None:
        """Loses most acknowledgements for a while, so that the operator retries at other control nodes."""
        operator = self.deployment.operator
        operator.ack_loss_share = LOST_ACK_SHARE
        self._schedule(6.0, setattr, operator, "ack_loss_share", 0.0)
        for n in range(8):
            self._schedule(0.6 * n, self.config_change, fault, random.Random(fault.seed + n))

    def config_storm(self, fault: Fault, rng: random.Random) -> None:
        """Sends configuration changes in quick succession; with "long" many more and faster."""
        if fault.how != "long":
            super().config_storm(fault, rng)
            return
        for n in range(LONG_STORM_CHANGES):
            self._schedule(STORM_INTERVAL_S * n, self.config_change, fault, random.Random(fault.seed + n))

    def big_config(self, fault: Fault, rng: random.Random) -> None:
        """Adds many routes to the configuration."""
        row = ("maps.example", "read_only", rng.choice(SERVICES))
        first = len(self.deployment.idle_routes)
        for n in range(first, first + ADDED_ROUTES):
            self.deployment.idle_routes.insert(0, (row[0], f"/more{n}/", *row[1:]))
        self._send_change(3000)

    # Faults of clients.

    def burst(self, fault: Fault, rng: random.Random) -> None:
        """Doubles the rate of requests for a while."""
        for flow in self.deployment.flows:
            flow.per_s *= 2.0
            self._schedule(3.0, setattr, flow, "per_s", flow.per_s / 2.0)

    def retry_abuse(self, fault: Fault, rng: random.Random) -> None:
        """Lets clients retry more often for a while."""
        for flow in self.deployment.flows:
            flow.tries += 3
            self._schedule(5.0, setattr, flow, "tries", flow.tries - 3)

    def give_up(self, fault: Fault, rng: random.Random) -> None:
        """Lets many clients close their connections early; with "slow", backends work for seconds."""
        for sidecar_node in self.deployment.sidecar_nodes:
            clients = sidecar_node.clients.program
            if isinstance(clients, Clients):
                clients.disconnect_share = DISCONNECT_SHARE
                self._schedule(DISCONNECT_PERIOD_S, setattr, clients, "disconnect_share", 0.0)
        if fault.how == "slow":
            self._degrade_backends(rng, "mean_work_s", SLOW_WORK_S, normal=MEAN_WORK_S, share=1.0)

    # Faults of backends.

    def srv_crash(self, fault: Fault, rng: random.Random) -> None:
        """Stops some backends for a while."""
        for sidecar_node in self._choose_nodes(rng, 0.15):
            self._stop_backend(sidecar_node, 4.0)

    def _stop_backend(self, sidecar_node: SidecarNode, seconds: float) -> None:
        if sidecar_node not in self.departing_nodes:
            self._crash_backend(sidecar_node)
            self._schedule(seconds, self._start_backend, sidecar_node)

    def srv_flap(self, fault: Fault, rng: random.Random) -> None:
        """Stops and starts some backends several times."""
        for sidecar_node in self._choose_nodes(rng, 0.15):
            for n in range(3):
                self._schedule(2.4 * n, self._stop_backend, sidecar_node, 1.2)

    def _degrade_backends(
        self, rng: random.Random, name: str, value: float, normal: float = 0.0, share: float = 0.2
    ) -> None:
        """Sets an attribute of some backends for a while, then restores its normal value."""
        self.invariant_checker.last_any_fault_at = self.world.now
        for sidecar_node in self._choose_nodes(rng, share):
            backend = sidecar_node.live_backend()
            if backend is not None:
                setattr(backend, name, value)
                self._schedule(6.0, setattr, backend, name, normal)

    def srv_grey(self, fault: Fault, rng: random.Random) -> None:
        """Lets some backends fail part of their requests although their health checks pass."""
        self._degrade_backends(rng, fault.how, 0.4)

    def srv_slow(self, fault: Fault, rng: random.Random) -> None:
        """Lets some backends work longer."""
        self._degrade_backends(rng, "mean_work_s", 4 * MEAN_WORK_S, normal=MEAN_WORK_S)

    def idle_race(self, fault: Fault, rng: random.Random) -> None:
        """Lets some backends reset idle connections."""
        self._degrade_backends(rng, "idle_timeout_s", BACKEND_IDLE_TIMEOUT_S, share=0.5)
