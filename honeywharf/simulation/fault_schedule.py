"""Draws a schedule of faults from a seed, and injects them; each fault has its own random generator."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from typing import TYPE_CHECKING

from honeywharf.simulation.clients import Clients
from honeywharf.simulation.deployment import SERVICES, SIGTERM, ZONES, Deployment, SidecarNode
from honeywharf.simulation.invariants import Order

if TYPE_CHECKING:
    from honeywharf.simulation.machine import Machine, Process

#: The kinds of faults with their variants, as sites list them in their deployments' files.
KINDS = {
    "after_ack_kill": ("",),
    "after_ack_wipe": ("",),
    "answer_lost": ("", "heavy"),
    "bad_config": ("",),
    "cold_return": ("",),
    "config_change": ("",),
    "config_race": ("", "versions"),
    "config_storm": ("",),
    "core_cut": ("", "one_way"),
    "core_freeze": ("",),
    "core_herd": ("",),
    "core_kill": ("", "power"),
    "core_replace": ("", "planned"),
    "core_roll": ("",),
    "evacuate": ("",),
    "garble": ("", "extra", "unsealed"),
    "herd_kill": ("", "power"),
    "late_again": ("",),
    "life_swap": ("",),
    "node_cut": ("", "one_way"),
    "node_freeze": ("",),
    "node_kill": ("", "power"),
    "release": ("",),
    "replace_with_reuse": ("",),
    "roll_term": ("", "busy"),
    "scale_in": ("",),
    "zone_loss": ("",),
}
#: Faults of these kinds are injected one at a time, since only one control node may be lost at once.
SERIALIZED_KINDS = (
    "after_ack_kill",
    "after_ack_wipe",
    "closing",
    "core_cut",
    "core_freeze",
    "core_kill",
    "core_replace",
    "core_roll",
    "zone_loss",
)
STORM_CHANGES = 12  # The number of configuration changes in a `config_storm`.
CLOSING_VARIANTS = ("power_off_all", "kill_all", "wipe_after_ack")


class Fault:
    """One fault: its time in seconds, its kind, its variant `how`, and the seed of its random generator."""

    __slots__ = ("at", "how", "kind", "seed")

    def __init__(self, at: float, kind: str, how: str, seed: int) -> None:
        self.at, self.kind, self.how, self.seed = at, kind, how, seed

    def __repr__(self) -> str:
        """Returns the description in reports."""
        return f"{self.at:.1f} {self.kind} {self.how}".strip()


def draw_occasional_fault(
    stream: str, kinds: dict[str, tuple[str, ...]], share: float, begin: float, end: float
) -> list[Fault]:
    """Returns a fault of one of the kinds for a share of the random streams, which are named by text."""
    rng = random.Random(stream)
    if rng.random() >= share:
        return []
    kind = rng.choice(list(kinds))
    return [Fault(rng.uniform(begin, end), kind, rng.choice(kinds[kind]), rng.getrandbits(32))]


def draw_faults(seed: int, begin: float, end: float) -> list[Fault]:
    """Returns faults between two times; one of three schedules ends with a closing fault."""
    rng, faults = random.Random(seed), []
    for _ in range(rng.randint(1, 5)):
        kind = rng.choice(list(KINDS))
        at = rng.uniform(begin, end)
        faults.append(Fault(at, kind, rng.choice(KINDS[kind]), rng.getrandbits(32)))
    if rng.random() < 1 / 3:
        faults.append(Fault(end + 6.0, "closing", rng.choice(CLOSING_VARIANTS), rng.getrandbits(32)))
    return sorted(faults, key=lambda fault: fault.at)


class FaultSchedule:
    """Injects faults into a deployment; each kind has a method of its name."""

    serialized_kinds: tuple[str, ...] = SERIALIZED_KINDS

    def __init__(self, deployment: Deployment, faults: list[Fault]) -> None:
        self.deployment, self.world, self.invariant_checker = (
            deployment,
            deployment.world,
            deployment.invariant_checker,
        )
        self.departing_nodes: set[SidecarNode] = set()  # Nodes that are being removed or were removed.
        self.serialized_until = 0.0  # The end of the serialized fault that is active.
        self.traffic_splits: dict[str, dict[str, int]] = {}
        self.injected: Counter[str] = Counter()  # Injected faults by kind; a storm counts its changes.
        self.world.at(2.0, self._send_change, 3000)
        for fault in faults:
            self.world.at(fault.at, self._inject, fault)

    def _inject(self, fault: Fault) -> None:
        if fault.kind in self.serialized_kinds:
            takes = self._max_duration_s(fault) + self.invariant_checker.bounds["catch-up"]
            if self.world.now < self.serialized_until:
                # A fault that would not end within the run is left out.
                if self.serialized_until + takes <= self.deployment.until:
                    self.world.at(self.serialized_until, self._inject, fault)
                return
            self.serialized_until = self.world.now + takes
        self.world.record_event("FAULT", repr(fault))
        self.injected[fault.kind] += STORM_CHANGES if fault.kind == "config_storm" else 1
        getattr(self, fault.kind)(fault, random.Random(fault.seed))

    def _max_duration_s(self, fault: Fault) -> float:
        """Returns the longest duration of a serialized fault."""
        return 3.0 * len(self.deployment.cores) if fault.kind == "core_roll" else 5.0

    def _choose_nodes(self, rng: random.Random, share: float) -> list[SidecarNode]:
        return rng.sample(
            self.deployment.sidecar_nodes, max(1, round(share * len(self.deployment.sidecar_nodes)))
        )

    def _schedule(self, seconds: float, call: Callable[..., None], *args: object) -> None:
        self.world.at(self.world.now + seconds, call, *args)

    def _mark_fault(self, machine: Machine, seconds: float) -> None:
        core = machine.disk is not None
        self.invariant_checker.mark_fault(machine.ip, 1, core)
        self._schedule(seconds, self.invariant_checker.mark_fault, machine.ip, -1, core)

    def _kill(self, process: Process, power: bool, seconds: float = 3.0) -> None:
        machine = process.machine
        self._mark_fault(
            machine, seconds + process.restart_delay_s if power else process.restart_delay_s + 0.1
        )
        if power and machine.power:
            machine.power_off()
            self._schedule(seconds, machine.power_on)
        elif not power:
            process.kill()

    # Faults of processes and machines.

    def node_kill(self, fault: Fault, rng: random.Random) -> None:
        """Kills some proxies."""
        for sidecar_node in self._choose_nodes(rng, 0.16):
            self._kill(sidecar_node.proxy, fault.how == "power")

    def herd_kill(self, fault: Fault, rng: random.Random) -> None:
        """Kills many proxies at once."""
        for sidecar_node in self._choose_nodes(rng, 0.55):
            self._kill(sidecar_node.proxy, fault.how == "power", 2.0)

    def core_kill(self, fault: Fault, rng: random.Random) -> None:
        """Kills a control node."""
        self._kill(rng.choice(self.deployment.cores), fault.how == "power")

    def core_herd(self, fault: Fault, rng: random.Random) -> None:
        """Kills all control nodes at once; their disks stay."""
        for core in self.deployment.cores:
            self._kill(core, False)

    def core_freeze(self, fault: Fault, rng: random.Random) -> None:
        """Freezes a control node for a while."""
        core = rng.choice(self.deployment.cores)
        core.freeze()
        self._mark_fault(core.machine, 3.5)
        self._schedule(3.5, core.thaw)

    def core_roll(self, fault: Fault, rng: random.Random) -> None:
        """Restarts the control nodes one after the other with SIGTERM."""
        for n, core in enumerate(self.deployment.cores):
            self._schedule(3.0 * n, self._terminate_core, core)

    def _terminate_core(self, core: Process) -> None:
        self._mark_fault(core.machine, 1.5)
        core.signal(SIGTERM)

    def core_replace(self, fault: Fault, rng: random.Random) -> None:
        """Replaces a control node, with or without SIGTERM, by one at another address with an empty disk."""
        old = rng.choice(self.deployment.cores)
        if fault.how == "planned":
            self._mark_fault(old.machine, 1.5)
            old.signal(SIGTERM)
        self._schedule(1.0 if fault.how == "planned" else 0.0, self._replace_core, old)

    def _replace_core(self, old: Process) -> None:
        self._mark_fault(old.machine, 4.0)
        old.is_restarted = False
        old.machine.power_off()
        new = self.deployment.make_replacement_core(old)
        self._mark_fault(new.machine, 1.5)
        self._schedule(1.0, new.start)
        self._schedule(self.invariant_checker.bounds["seed-lag"], self.deployment.replace_core, old, new)

    def zone_loss(self, fault: Fault, rng: random.Random) -> None:
        """Cuts the power of a zone for a while."""
        zone = rng.choice(ZONES)
        for process in self.deployment.mesh_processes():
            if process.machine.zone == zone:
                self._kill(process, True, 5.0)

    def node_freeze(self, fault: Fault, rng: random.Random) -> None:
        """Freezes some proxies for a while."""
        for sidecar_node in self._choose_nodes(rng, 0.11):
            sidecar_node.proxy.freeze()
            self._mark_fault(sidecar_node.machine, 3.5)
            self._schedule(3.5, sidecar_node.proxy.thaw)

    def _partition(self, machine: Machine, others: list[str], one_way: bool, seconds: float) -> None:
        pairs = [(other, machine.ip) for other in others if other != machine.ip]
        pairs += [] if one_way else [(b, a) for a, b in pairs]
        self.deployment.network.cut(pairs)
        self._mark_fault(machine, seconds)
        self._schedule(seconds, self.deployment.network.remove_cuts, pairs)

    def core_cut(self, fault: Fault, rng: random.Random) -> None:
        """Partitions a control node from the others."""
        ips = [core.machine.ip for core in self.deployment.cores]
        self._partition(rng.choice(self.deployment.cores).machine, ips, fault.how == "one_way", 5.0)

    def node_cut(self, fault: Fault, rng: random.Random) -> None:
        """Partitions some proxies from all control nodes."""
        for sidecar_node in self._choose_nodes(rng, 0.17):
            ips = [core.machine.ip for core in self.deployment.cores]
            self._partition(sidecar_node.machine, ips, fault.how == "one_way", 5.5)

    def roll_term(self, fault: Fault, rng: random.Random) -> None:
        """Sends some proxies SIGTERM one after the other, and SIGKILL after `grace-period`.

        With "busy", enough proxies of a zone end at a time that the platform keeps sending them clients.
        """
        busy = fault.how == "busy"
        for n, sidecar_node in enumerate(self._choose_nodes(rng, 0.45)):
            self._schedule(
                (0.4 if busy else 1.3) * n,
                self._terminate_under_load if busy else self._terminate,
                sidecar_node,
            )

    def _terminate_under_load(self, sidecar_node: SidecarNode) -> None:
        clients = sidecar_node.clients.program
        if isinstance(clients, Clients):
            clients.ignores_readiness = True
            self._schedule(
                self.invariant_checker.bounds["grace-period"] + 1.0,
                setattr,
                clients,
                "ignores_readiness",
                False,
            )
        self._terminate(sidecar_node)

    def _terminate(self, sidecar_node: SidecarNode) -> None:
        incarnation = sidecar_node.proxy.incarnation
        self.invariant_checker.notify("terminated", sidecar_node.ip)
        self.invariant_checker.last_fault_at[sidecar_node.ip] = (
            self.world.now + self.invariant_checker.bounds["grace-period"]
        )
        sidecar_node.proxy.signal(SIGTERM)
        self._schedule(
            self.invariant_checker.bounds["grace-period"],
            lambda: sidecar_node.proxy.kill() if sidecar_node.proxy.incarnation == incarnation else None,
        )

    # Faults of backends.

    def release(self, fault: Fault, rng: random.Random) -> None:
        """Drains and replaces some backends one after the other."""
        for n, sidecar_node in enumerate(self._choose_nodes(rng, 0.45)):
            self._schedule(1.0 * n, self._restart_backend, sidecar_node, sidecar_node.service)

    def _restart_backend(self, sidecar_node: SidecarNode, service: str) -> None:
        backend = sidecar_node.live_backend()
        if backend is not None and backend.state == "ready":
            backend.leave(lambda: self._restart_drained(sidecar_node, service))

    def _restart_drained(self, sidecar_node: SidecarNode, service: str) -> None:
        """Ends the drained backend, then terminates its proxy, and starts new ones later."""
        sidecar_node.backend.is_restarted, sidecar_node.service = False, service
        sidecar_node.backend.end()
        self._terminate(sidecar_node)
        self._schedule(
            self.invariant_checker.bounds["address-reuse"] + 5.0, self._start_backend, sidecar_node
        )

    def scale_in(self, fault: Fault, rng: random.Random) -> None:
        """Drains a backend and removes its machine."""
        sidecar_node = self._choose_nodes(rng, 0.1)[0]
        backend = sidecar_node.live_backend()
        if backend is not None and backend.state == "ready" and self._has_other_instance(sidecar_node):
            self.departing_nodes.add(sidecar_node)
            backend.leave(lambda: self._remove_node(sidecar_node))

    def _has_other_instance(self, sidecar_node: SidecarNode) -> bool:
        """Whether another machine that stays serves the same service, so that it can still be served."""
        return any(
            other.service == sidecar_node.service
            for other in self.deployment.sidecar_nodes
            if other is not sidecar_node and other not in self.departing_nodes
        )

    def _remove_node(self, sidecar_node: SidecarNode) -> None:
        sidecar_node.backend.is_restarted = sidecar_node.clients.is_restarted = (
            sidecar_node.proxy.is_restarted
        ) = False
        sidecar_node.backend.end()
        self._terminate(sidecar_node)

    def _start_backend(self, sidecar_node: SidecarNode) -> None:
        sidecar_node.backend.is_restarted = True
        sidecar_node.backend.start()

    def replace_with_reuse(self, fault: Fault, rng: random.Random) -> None:
        """Removes a machine, and gives its address to a new machine that may serve another service."""
        sidecar_node = self._choose_nodes(rng, 0.1)[0]
        pause = self.invariant_checker.bounds["address-reuse"]
        self._kill(sidecar_node.proxy, True, pause)
        if self._has_other_instance(sidecar_node):
            sidecar_node.service = rng.choice(
                [service for service in SERVICES if service != sidecar_node.service]
            )

    def cold_return(self, fault: Fault, rng: random.Random) -> None:
        """Crashes the backends of a zone, which come back cold all at once."""
        zone = rng.choice(ZONES)
        for sidecar_node in self.deployment.sidecar_nodes:
            if sidecar_node.machine.zone == zone:
                self._crash_backend(sidecar_node)
                self._schedule(4.5, self._start_backend, sidecar_node)

    def _crash_backend(self, sidecar_node: SidecarNode) -> None:
        self.invariant_checker.last_any_fault_at = self.world.now
        sidecar_node.backend.is_restarted = False
        sidecar_node.backend.end()

    def life_swap(self, fault: Fault, rng: random.Random) -> None:
        """Crashes some backends, whose new incarnations start at once and are cold."""
        for sidecar_node in self._choose_nodes(rng, 0.4):
            self.invariant_checker.last_any_fault_at = self.world.now
            sidecar_node.backend.end()
            sidecar_node.backend.start()

    def _corrupt_answers(
        self, rng: random.Random, name: str, share: float, sidecar_nodes: float = 0.45
    ) -> None:
        self.invariant_checker.last_any_fault_at = self.world.now
        for sidecar_node in self._choose_nodes(rng, sidecar_nodes):
            backend = sidecar_node.live_backend()
            if backend is not None:
                setattr(backend, name, share)
                self._schedule(5.5, setattr, backend, name, 0.0)

    def answer_lost(self, fault: Fault, rng: random.Random) -> None:
        """Lets some backends lose answers of requests that they ran."""
        heavy = fault.how == "heavy"  # More answers than at any site are lost, to exhaust the retry budget.
        self._corrupt_answers(rng, "lose", 0.7 if heavy else 0.05, 1.0 if heavy else 0.45)

    def garble(self, fault: Fault, rng: random.Random) -> None:
        """Lets some backends corrupt answers or send them twice."""
        self._corrupt_answers(rng, fault.how or "garble", 0.04)

    # Orders of the operator.

    def _send_change(self, timeout: int) -> None:
        self.deployment.operator.order(
            self.deployment.make_configuration(self.deployment.next_version(), self.traffic_splits, timeout)
        )

    def config_change(self, fault: Fault, rng: random.Random) -> None:
        """Moves a route, or adds or removes an idle route, with one of three time-outs."""
        if rng.random() < 0.5:
            services = rng.sample(SERVICES, rng.choice((1, 1, 2)))
            self.traffic_splits[rng.choice(("/tiles/", "/orders/", "/parcels/"))] = {
                name: rng.randint(1, 3) for name in services
            }
        else:
            self.deployment.change_idle_route(rng.random() < 0.5)
        self._send_change(rng.choice((2500, 3000, 3500)))

    def config_storm(self, fault: Fault, rng: random.Random) -> None:
        """Sends configuration changes in quick succession."""
        for n in range(STORM_CHANGES):
            self._schedule(0.33 * n, self.config_change, fault, random.Random(fault.seed + n))

    def late_again(self, fault: Fault, rng: random.Random) -> None:
        """Sends older changes a second time."""
        old = [order for order in self.invariant_checker.configs() if order.text]
        for order in rng.sample(old, min(3, len(old))):
            again = Order("config", order.version, text=order.text)
            again.routes = order.routes
            self.deployment.operator.order(again)

    def config_race(self, fault: Fault, rng: random.Random) -> None:
        """Sends two contents under one version at once, or two versions at once several times."""
        if fault.how == "versions":
            for n in range(8):
                for _ in range(2):
                    self._schedule(0.3 * n, self.config_change, fault, random.Random(rng.getrandbits(32)))
            return
        version = self.deployment.next_version()
        for service in ("tile-vault", "order-desk"):
            traffic_splits = {"/parcels/": {service: 1, "survey-intake": 1}}
            self.deployment.operator.order(self.deployment.make_configuration(version, traffic_splits))

    def bad_config(self, fault: Fault, rng: random.Random) -> None:
        """Sends invalid configurations."""
        good = self.deployment.make_configuration(self.deployment.next_version(), self.traffic_splits).text
        wrong = (
            good[:-40],
            good.replace(b'"weight": ', b'"weight": -', 1),
            good.replace(b"3000ms", b"601s"),
            good.replace(b'"max-attempts": 2', b'"max-attempts": 0'),
            good.replace(b'[{"target-service": "', b'[{"target-service": "no', 1),
        )
        for n, text in enumerate(wrong):
            order = Order("config", self.deployment.version, text=text, valid=False)
            self._schedule(0.5 * n, self.deployment.operator.order, order, 3)

    def evacuate(self, fault: Fault, rng: random.Random) -> None:
        """Evacuates a zone for a while."""
        zone = rng.choice(ZONES)
        self.deployment.operator.order(Order("start", zone=zone))
        self._schedule(8.0, lambda: self.deployment.operator.order(Order("complete", zone=zone)))

    def _run_after_ack(self, action: Callable[[Process], None]) -> None:
        """Sends a change, and runs the action on the acknowledging node at most 4 ms after its answer."""
        order = self.deployment.make_configuration(self.deployment.next_version(), self.traffic_splits)

        def acked(done: Order, ip: str) -> None:
            if done is order:
                core = next(core for core in self.deployment.cores if core.machine.ip == ip)
                self._schedule(0.004 * self.world.random.random(), action, core)

        self.deployment.operator.on_ack = acked
        self.deployment.operator.order(order)

    def after_ack_kill(self, fault: Fault, rng: random.Random) -> None:
        """Cuts the power of the control node that acknowledges a change."""
        self._run_after_ack(lambda core: self._kill(core, True))

    def after_ack_wipe(self, fault: Fault, rng: random.Random) -> None:
        """Cuts the power and wipes the disk of the control node that acknowledges a change."""
        self._run_after_ack(self._wipe_disk)

    def _wipe_disk(self, core: Process) -> None:
        self._kill(core, True)
        assert core.machine.disk is not None
        core.machine.disk.wipe()

    def closing(self, fault: Fault, rng: random.Random) -> None:
        """Cuts the power of all machines after an acknowledgement, kills all, or also wipes one disk."""

        def action(acked: Process) -> None:
            for process in self.deployment.mesh_processes():
                self._kill(process, fault.how != "kill_all", 2.0)
            if fault.how == "wipe_after_ack":
                self._wipe_disk(acked)

        self._run_after_ack(action)
