"""What goes wrong in a day, drawn by seed from what sites list; each fault has chance of its own."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from typing import TYPE_CHECKING

from honeywharf.simulation.actors import Clients
from honeywharf.simulation.deployment import SERVICES, TERM, ZONES, Deployment, SidecarNode
from honeywharf.simulation.invariants import Order

if TYPE_CHECKING:
    from honeywharf.simulation.machine import Machine, Process

#: Kinds with their variants. Those of the core wait their turn: one counted machine at a time is lost.
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
COUNTED = (
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
STORM = 12  # changes of a storm
CLOSING = ("power_off_all", "kill_all", "wipe_after_ack")


class Fault:
    """One trouble: `at` seconds, what, how, and a seed of its own."""

    __slots__ = ("at", "how", "kind", "seed")

    def __init__(self, at: float, kind: str, how: str, seed: int) -> None:
        self.at, self.kind, self.how, self.seed = at, kind, how, seed

    def __repr__(self) -> str:
        """For reports."""
        return f"{self.at:.1f} {self.kind} {self.how}".strip()


def draw(seed: int, begin: float, end: float) -> list[Fault]:
    """Some troubles between two times; one of three days ends with a closing fault."""
    chance, faults = random.Random(seed), []
    for _ in range(chance.randint(1, 5)):
        kind = chance.choice(list(KINDS))
        at = chance.uniform(begin, end)
        faults.append(Fault(at, kind, chance.choice(KINDS[kind]), chance.getrandbits(32)))
    if chance.random() < 1 / 3:
        faults.append(Fault(end + 6.0, "closing", chance.choice(CLOSING), chance.getrandbits(32)))
    return sorted(faults, key=lambda fault: fault.at)


class FaultSchedule:
    """Carries faults out on a field: one method for each kind."""

    counted: tuple[str, ...] = COUNTED  # kinds that lose counted machines

    def __init__(self, deployment: Deployment, faults: list[Fault]) -> None:
        self.deployment, self.world, self.invariant_checker = (
            deployment,
            deployment.world,
            deployment.invariant_checker,
        )
        self.leaving: set[SidecarNode] = set()  # those that leave for good, or have left
        self.counted_until = 0.0  # a counted machine is lost until then
        self.moves: dict[str, dict[str, int]] = {}
        self.struck: Counter[str] = Counter()  # what really came, by kind; a storm is its changes
        self.world.at(2.0, self._change, 3000)
        for fault in faults:
            self.world.at(fault.at, self._strike, fault)

    def _strike(self, fault: Fault) -> None:
        if fault.kind in self.counted:
            takes = self._lasts(fault) + self.invariant_checker.bounds["catch-up"]
            if self.world.now < self.counted_until:
                if (
                    self.counted_until + takes <= self.deployment.until
                ):  # else the day has no turn left for it
                    self.world.at(self.counted_until, self._strike, fault)
                return
            self.counted_until = self.world.now + takes
        self.world.tell("FAULT", repr(fault))
        self.struck[fault.kind] += STORM if fault.kind == "config_storm" else 1
        getattr(self, fault.kind)(fault, random.Random(fault.seed))

    def _lasts(self, fault: Fault) -> float:
        """Seconds that a trouble of counted machines takes at most."""
        return 3.0 * len(self.deployment.cores) if fault.kind == "core_roll" else 5.0

    def _choose_nodes(self, chance: random.Random, share: float) -> list[SidecarNode]:
        return chance.sample(
            self.deployment.sidecar_nodes, max(1, round(share * len(self.deployment.sidecar_nodes)))
        )

    def _later(self, seconds: float, call: Callable[..., None], *args: object) -> None:
        self.world.at(self.world.now + seconds, call, *args)

    def _trouble(self, machine: Machine, seconds: float) -> None:
        core = machine.disk is not None
        self.invariant_checker.mark_fault(machine.ip, 1, core)
        self._later(seconds, self.invariant_checker.mark_fault, machine.ip, -1, core)

    def _kill(self, process: Process, power: bool, seconds: float = 3.0) -> None:
        machine = process.machine
        self._trouble(machine, seconds + process.back if power else process.back + 0.1)
        if power and machine.power:
            machine.power_off()
            self._later(seconds, machine.power_on)
        elif not power:
            process.kill()

    # Processes and machines.

    def node_kill(self, fault: Fault, chance: random.Random) -> None:
        """Some proxies are killed."""
        for sidecar_node in self._choose_nodes(chance, 0.16):
            self._kill(sidecar_node.proxy, fault.how == "power")

    def herd_kill(self, fault: Fault, chance: random.Random) -> None:
        """Many proxies are killed at once."""
        for sidecar_node in self._choose_nodes(chance, 0.55):
            self._kill(sidecar_node.proxy, fault.how == "power", 2.0)

    def core_kill(self, fault: Fault, chance: random.Random) -> None:
        """A control node is killed."""
        self._kill(chance.choice(self.deployment.cores), fault.how == "power")

    def core_herd(self, fault: Fault, chance: random.Random) -> None:
        """All control nodes are killed at once; their disks stay."""
        for core in self.deployment.cores:
            self._kill(core, False)

    def core_freeze(self, fault: Fault, chance: random.Random) -> None:
        """A control node stands still."""
        core = chance.choice(self.deployment.cores)
        core.freeze()
        self._trouble(core.machine, 3.5)
        self._later(3.5, core.thaw)

    def core_roll(self, fault: Fault, chance: random.Random) -> None:
        """The control nodes get SIGTERM in turn, and start again."""
        for n, core in enumerate(self.deployment.cores):
            self._later(3.0 * n, self._term_core, core)

    def _term_core(self, core: Process) -> None:
        self._trouble(core.machine, 1.5)
        core.signal(TERM)

    def core_replace(self, fault: Fault, chance: random.Random) -> None:
        """A control node goes for good, with SIGTERM or without; another one comes, elsewhere and empty."""
        old = chance.choice(self.deployment.cores)
        if fault.how == "planned":
            self._trouble(old.machine, 1.5)
            old.signal(TERM)
        self._later(1.0 if fault.how == "planned" else 0.0, self._remove, old)

    def _remove(self, old: Process) -> None:
        self._trouble(old.machine, 4.0)
        old.kept = False
        old.machine.power_off()
        new = self.deployment.core_instead(old)
        self._trouble(new.machine, 1.5)
        self._later(1.0, new.start)
        self._later(self.invariant_checker.bounds["seed-lag"], self.deployment.listed, old, new)

    def zone_loss(self, fault: Fault, chance: random.Random) -> None:
        """A zone is without power."""
        zone = chance.choice(ZONES)
        for process in self.deployment.programs():
            if process.machine.zone == zone:
                self._kill(process, True, 5.0)

    def node_freeze(self, fault: Fault, chance: random.Random) -> None:
        """Some proxies stand still."""
        for sidecar_node in self._choose_nodes(chance, 0.11):
            sidecar_node.proxy.freeze()
            self._trouble(sidecar_node.machine, 3.5)
            self._later(3.5, sidecar_node.proxy.thaw)

    def _cut(self, machine: Machine, others: list[str], one_way: bool, seconds: float) -> None:
        pairs = [(other, machine.ip) for other in others if other != machine.ip]
        pairs += [] if one_way else [(b, a) for a, b in pairs]
        self.deployment.network.cut(pairs)
        self._trouble(machine, seconds)
        self._later(seconds, self.deployment.network.join, pairs)

    def core_cut(self, fault: Fault, chance: random.Random) -> None:
        """A control node is cut off from the others."""
        ips = [core.machine.ip for core in self.deployment.cores]
        self._cut(chance.choice(self.deployment.cores).machine, ips, fault.how == "one_way", 5.0)

    def node_cut(self, fault: Fault, chance: random.Random) -> None:
        """Some proxies are cut off from all control nodes."""
        for sidecar_node in self._choose_nodes(chance, 0.17):
            ips = [core.machine.ip for core in self.deployment.cores]
            self._cut(sidecar_node.machine, ips, fault.how == "one_way", 5.5)

    def roll_term(self, fault: Fault, chance: random.Random) -> None:
        """Some proxies get SIGTERM in turn, and SIGKILL after `grace-period`.

        busy: so many of a zone at a time that the platform goes on sending them clients until they end.
        """
        busy = fault.how == "busy"
        for n, sidecar_node in enumerate(self._choose_nodes(chance, 0.45)):
            self._later(
                (0.4 if busy else 1.3) * n, self._press_and_term if busy else self._term, sidecar_node
            )

    def _press_and_term(self, sidecar_node: SidecarNode) -> None:
        clients = sidecar_node.clients.program
        if isinstance(clients, Clients):
            clients.presses = True
            self._later(
                self.invariant_checker.bounds["grace-period"] + 1.0, setattr, clients, "presses", False
            )
        self._term(sidecar_node)

    def _term(self, sidecar_node: SidecarNode) -> None:
        life = sidecar_node.proxy.life
        self.invariant_checker.notify("terminated", sidecar_node.ip)
        self.invariant_checker.last_fault_at[sidecar_node.ip] = (
            self.world.now + self.invariant_checker.bounds["grace-period"]
        )
        sidecar_node.proxy.signal(TERM)
        self._later(
            self.invariant_checker.bounds["grace-period"],
            lambda: sidecar_node.proxy.kill() if sidecar_node.proxy.life == life else None,
        )

    # Backends.

    def release(self, fault: Fault, chance: random.Random) -> None:
        """Some backends drain and end, one after the other; new ones take their places."""
        for n, sidecar_node in enumerate(self._choose_nodes(chance, 0.45)):
            self._later(1.0 * n, self._renew, sidecar_node, sidecar_node.service)

    def _renew(self, sidecar_node: SidecarNode, service: str) -> None:
        backend = sidecar_node.life()
        if backend is not None and backend.state == "ready":
            backend.leave(lambda: self._ended(sidecar_node, service))

    def _ended(self, sidecar_node: SidecarNode, service: str) -> None:
        """The backend ends; its proxy is stopped after it, then both start as new ones."""
        sidecar_node.backend.kept, sidecar_node.service = False, service
        sidecar_node.backend.end()
        self._term(sidecar_node)
        self._later(self.invariant_checker.bounds["address-reuse"] + 5.0, self._begin, sidecar_node)

    def scale_in(self, fault: Fault, chance: random.Random) -> None:
        """A backend drains and leaves, and its machine with it."""
        sidecar_node = self._choose_nodes(chance, 0.1)[0]
        backend = sidecar_node.life()
        if backend is not None and backend.state == "ready" and self._spare(sidecar_node):
            self.leaving.add(sidecar_node)
            backend.leave(lambda: self._gone(sidecar_node))

    def _spare(self, sidecar_node: SidecarNode) -> bool:
        """Whether another machine that stays has the same service: without any, nothing could be served."""
        return any(
            other.service == sidecar_node.service
            for other in self.deployment.sidecar_nodes
            if other is not sidecar_node and other not in self.leaving
        )

    def _gone(self, sidecar_node: SidecarNode) -> None:
        sidecar_node.backend.kept = sidecar_node.clients.kept = sidecar_node.proxy.kept = False
        sidecar_node.backend.end()
        self._term(sidecar_node)

    def _begin(self, sidecar_node: SidecarNode) -> None:
        sidecar_node.backend.kept = True
        sidecar_node.backend.start()

    def replace_with_reuse(self, fault: Fault, chance: random.Random) -> None:
        """A machine ends for good; its address goes to one of another service, with a proxy of its own."""
        sidecar_node = self._choose_nodes(chance, 0.1)[0]
        pause = self.invariant_checker.bounds["address-reuse"]
        self._kill(sidecar_node.proxy, True, pause)
        if self._spare(sidecar_node):
            sidecar_node.service = chance.choice(
                [service for service in SERVICES if service != sidecar_node.service]
            )

    def cold_return(self, fault: Fault, chance: random.Random) -> None:
        """A zone's backends are down, and come back together, cold."""
        zone = chance.choice(ZONES)
        for sidecar_node in self.deployment.sidecar_nodes:
            if sidecar_node.machine.zone == zone:
                self._crash(sidecar_node)
                self._later(4.5, self._begin, sidecar_node)

    def _crash(self, sidecar_node: SidecarNode) -> None:
        self.invariant_checker.last_any_fault_at = self.world.now
        sidecar_node.backend.kept = False
        sidecar_node.backend.end()

    def life_swap(self, fault: Fault, chance: random.Random) -> None:
        """Some backends crash and are there again at once, as other lives, cold."""
        for sidecar_node in self._choose_nodes(chance, 0.4):
            self.invariant_checker.last_any_fault_at = self.world.now
            sidecar_node.backend.end()
            sidecar_node.backend.start()

    def _spoil(self, chance: random.Random, name: str, share: float, sidecar_nodes: float = 0.45) -> None:
        self.invariant_checker.last_any_fault_at = self.world.now
        for sidecar_node in self._choose_nodes(chance, sidecar_nodes):
            backend = sidecar_node.life()
            if backend is not None:
                setattr(backend, name, share)
                self._later(5.5, setattr, backend, name, 0.0)

    def answer_lost(self, fault: Fault, chance: random.Random) -> None:
        """Some backends lose answers of requests that they ran."""
        heavy = fault.how == "heavy"  # more than sites do: it is the retry budget that is tried
        self._spoil(chance, "lose", 0.7 if heavy else 0.05, 1.0 if heavy else 0.45)

    def garble(self, fault: Fault, chance: random.Random) -> None:
        """Some backends spoil answers, or send them twice."""
        self._spoil(chance, fault.how or "garble", 0.04)

    # The operator.

    def _change(self, timeout: int) -> None:
        self.deployment.operator.order(
            self.deployment.moved(self.deployment.next_version(), self.moves, timeout)
        )

    def config_change(self, fault: Fault, chance: random.Random) -> None:
        """A route moves, an idle one is added or dropped, and maybe another time-out is given."""
        if chance.random() < 0.5:
            services = chance.sample(SERVICES, chance.choice((1, 1, 2)))
            self.moves[chance.choice(("/tiles/", "/orders/", "/parcels/"))] = {
                name: chance.randint(1, 3) for name in services
            }
        else:
            self.deployment.idle(chance.random() < 0.5)
        self._change(chance.choice((2500, 3000, 3500)))

    def config_storm(self, fault: Fault, chance: random.Random) -> None:
        """Changes in quick succession."""
        for n in range(STORM):
            self._later(0.33 * n, self.config_change, fault, random.Random(fault.seed + n))

    def late_again(self, fault: Fault, chance: random.Random) -> None:
        """Older changes arrive a second time."""
        old = [order for order in self.invariant_checker.configs() if order.text]
        for order in chance.sample(old, min(3, len(old))):
            again = Order("config", order.version, text=order.text)
            again.routes = order.routes
            self.deployment.operator.order(again)

    def config_race(self, fault: Fault, chance: random.Random) -> None:
        """Two contents under one version, at once; or two versions, several times."""
        if fault.how == "versions":
            for n in range(8):
                for _ in range(2):
                    self._later(0.3 * n, self.config_change, fault, random.Random(chance.getrandbits(32)))
            return
        version = self.deployment.next_version()
        for service in ("tile-vault", "order-desk"):
            moves = {"/parcels/": {service: 1, "survey-intake": 1}}
            self.deployment.operator.order(self.deployment.moved(version, moves))

    def bad_config(self, fault: Fault, chance: random.Random) -> None:
        """Configurations that are not valid."""
        good = self.deployment.moved(self.deployment.next_version(), self.moves).text
        wrong = (
            good[:-40],
            good.replace(b'"weight": ', b'"weight": -', 1),
            good.replace(b"3000ms", b"601s"),
            good.replace(b'"max-attempts": 2', b'"max-attempts": 0'),
            good.replace(b'[{"target-service": "', b'[{"target-service": "no', 1),
        )
        for n, text in enumerate(wrong):
            order = Order("config", self.deployment.version, text=text, valid=False)
            self._later(0.5 * n, self.deployment.operator.order, order, 3)

    def evacuate(self, fault: Fault, chance: random.Random) -> None:
        """A zone's backends are to get nothing for a while."""
        zone = chance.choice(ZONES)
        self.deployment.operator.order(Order("start", zone=zone))
        self._later(8.0, lambda: self.deployment.operator.order(Order("complete", zone=zone)))

    def _after_ack(self, strike: Callable[[Process], None]) -> None:
        """Change something, and strike within 4 ms of the acknowledgement."""
        order = self.deployment.moved(self.deployment.next_version(), self.moves)

        def acked(done: Order, ip: str) -> None:
            if done is order:
                core = next(core for core in self.deployment.cores if core.machine.ip == ip)
                self._later(0.004 * self.world.random.random(), strike, core)

        self.deployment.operator.on_ack = acked
        self.deployment.operator.order(order)

    def after_ack_kill(self, fault: Fault, chance: random.Random) -> None:
        """The machine that acknowledges a change loses power at once."""
        self._after_ack(lambda core: self._kill(core, True))

    def after_ack_wipe(self, fault: Fault, chance: random.Random) -> None:
        """The same, and it comes back with an empty disk."""
        self._after_ack(self._wipe)

    def _wipe(self, core: Process) -> None:
        self._kill(core, True)
        assert core.machine.disk is not None
        core.machine.disk.wipe()

    def closing(self, fault: Fault, chance: random.Random) -> None:
        """Right after an ack all lose power, or are killed, or one loses its disk and the others power."""

        def strike(acked: Process) -> None:
            for process in self.deployment.programs():
                self._kill(process, fault.how != "kill_all", 2.0)
            if fault.how == "wipe_after_ack":
                self._wipe(acked)

        self._after_ack(strike)
