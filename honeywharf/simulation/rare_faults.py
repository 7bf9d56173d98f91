"""Days that draw from every kind of trouble the bench can play, beside those that sites list (`days`).

Each kind is one method, named as the bench names it. Places follow the rules: a machine is marked as troubled
for as long as the rules hold nothing against it, and troubles that lose counted machines wait their turn.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from itertools import product
from typing import TYPE_CHECKING

from honeywharf.simulation.actors import MEAN_WORK, Clients
from honeywharf.simulation.deployment import SERVICES, ZONES, SidecarNode
from honeywharf.simulation.fault_schedule import CLOSING, COUNTED, KINDS, Fault, FaultSchedule

if TYPE_CHECKING:
    from honeywharf.simulation.disk import Disk
    from honeywharf.simulation.machine import Machine, Process

#: Kinds that `days` does not have, or variants of its own kinds that it does not draw.
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
EVERY_KIND = {**KINDS, **RARE_KINDS}
RARE_COUNTED = (*COUNTED, "core_resets", "disk_full", "disk_slow", "disk_stall", "zone_cut")

LOST_ACKS = 0.7  # share of the acknowledgements
LONG_CUT, SHORT_CUT = 20.0, 2.9  # s
LONG_STORM, STORM_PAUSE = 60, 0.08  # changes, s
MANY_ROUTES = 100
CLOCK_STEPS = {"back": -2.0, "ahead": 2.0, "hour": 3600.0}  # s
IDLE_S = 0.3  # after which a backend forgets a connection
SLOWER = 5  # times
SLOW_TURN = 0.05  # s that a slowed process stands still for each of its turns
RESTART_PAUSE = 1.2  # s between restarts of control machines during a cut
RESETS = 0.5  # share of a machine's connections
LEAVERS = 0.6  # share of the requests whose clients leave early
LEAVERS_S = 8.0  # for which they do
SLOW_WORK = 20 * MEAN_WORK  # s, of backends that are slow while clients leave


def draw_any(seed: int, begin: float, end: float) -> list[Fault]:
    """Some troubles of any kind between two times; one of three days ends with a closing fault."""
    chance, faults = random.Random(f"any {seed}"), []
    for _ in range(chance.randint(2, 6)):
        kind = chance.choice(list(EVERY_KIND))
        at = chance.uniform(begin, end)
        faults.append(Fault(at, kind, chance.choice(EVERY_KIND[kind]), chance.getrandbits(32)))
    if chance.random() < 1 / 3:
        faults.append(Fault(end + 6.0, "closing", chance.choice(CLOSING), chance.getrandbits(32)))
    return sorted(faults, key=lambda fault: fault.at)


class RareFaultSchedule(FaultSchedule):
    """A day with every kind of trouble."""

    counted = RARE_COUNTED

    def _lasts(self, fault: Fault) -> float:
        """Seconds that a trouble of counted machines takes at most."""
        if "long" in fault.how:
            return LONG_CUT
        if fault.how in ("twice", "then killed"):
            return 5.0 + self._caught_up()
        if "both" in fault.how:
            return 1.0 + RESTART_PAUSE * len(self.deployment.cores)
        return super()._lasts(fault)

    def _caught_up(self) -> float:
        """Seconds after which another machine may be lost once one was replaced."""
        return self.invariant_checker.bounds["catch-up"] + self.invariant_checker.bounds["seed-lag"] + 2.0

    # Networks.

    def _cut_groups(self, some: Iterable[Machine], others: Iterable[Machine], seconds: float) -> None:
        """Cut two groups off from each other; each machine of them is in trouble meanwhile."""
        groups = list(some), list(others)
        pairs = [(a.ip, b.ip) for a, b in product(*groups)]
        pairs += [(b, a) for a, b in pairs]
        self.deployment.network.cut(pairs)
        for machine in (*groups[0], *groups[1]):
            self._trouble(machine, seconds)
        self._later(seconds, self.deployment.network.join, pairs)

    def _machines(self, zone: str) -> list[Machine]:
        return [process.machine for process in self.deployment.programs() if process.machine.zone == zone]

    def bridge_cut(self, fault: Fault, chance: random.Random) -> None:
        """Two zones can't reach each other; the third reaches both."""
        one, other = chance.sample(ZONES, 2)
        self._cut_groups(self._machines(one), self._machines(other), 5.0)

    def zone_cut(self, fault: Fault, chance: random.Random) -> None:
        """A zone is cut off from the others; clients still reach it."""
        zone = chance.choice(ZONES)
        others = [machine for other in ZONES if other != zone for machine in self._machines(other)]
        self._cut_groups(self._machines(zone), others, 5.0)

    def core_cut(self, fault: Fault, chance: random.Random) -> None:
        """A control machine is cut off from the others: longer, with new seeds, or restarted meanwhile."""
        words = fault.how.split()
        core = chance.choice(self.deployment.cores)
        seconds = LONG_CUT if "long" in words else SHORT_CUT if "short" in words else 5.0
        others = [other.machine.ip for other in self.deployment.cores if other is not core]
        self._cut(core.machine, others, "one_way" in words, seconds)
        if "both" in words:
            for n, process in enumerate([core, *(one for one in self.deployment.cores if one is not core)]):
                self._later(1.0 + RESTART_PAUSE * n, self._kill, process, False)
        if "seeds" in words:
            self._reseed([core.machine.ip, *others])
            for n, sidecar_node in enumerate(self._choose_nodes(chance, 0.4)):
                self._later(1.0 + 0.5 * n, self._kill, sidecar_node.proxy, False)

    def _reset(self, process: Process, chance: random.Random, share: float) -> None:
        self.invariant_checker.mark_fault(process.machine.ip, 0, process.machine.disk is not None)
        for end in list(process.ends):
            if chance.random() < share:
                end.torn()

    def reset_conns(self, fault: Fault, chance: random.Random) -> None:
        """Connections of some proxies are reset."""
        for sidecar_node in self._choose_nodes(chance, 0.35):
            self._reset(sidecar_node.proxy, chance, RESETS)

    def core_resets(self, fault: Fault, chance: random.Random) -> None:
        """All connections of control machines are reset, twice."""
        for core in self.deployment.cores:
            self._reset(core, chance, 1.0)
            self._later(1.5, self._reset, core, chance, 1.0)

    # Machines and processes.

    def clock_step(self, fault: Fault, chance: random.Random) -> None:
        """The time of day jumps on some machines, and back after a while."""
        processes = self.deployment.programs()
        for process in chance.sample(processes, max(1, len(processes) // 3)):
            self._step(process.machine, CLOCK_STEPS[fault.how])
            self._later(5.0, self._step, process.machine, -CLOCK_STEPS[fault.how])

    def _step(self, machine: Machine, seconds: float) -> None:
        machine.skew += seconds
        self.invariant_checker.mark_fault(machine.ip, 0, machine.disk is not None)

    def node_slow(self, fault: Fault, chance: random.Random) -> None:
        """A process runs slower: it stands still again and again."""
        core = fault.how == "core"
        process = chance.choice(self.deployment.cores) if core else self._choose_nodes(chance, 0.1)[0].proxy
        turn = SLOW_TURN * SLOWER / (SLOWER - 1)
        turns = round(5.0 / turn)
        for n in range(turns):
            self._later(n * turn, process.freeze)
            self._later(n * turn + SLOW_TURN, process.thaw)
        self._trouble(process.machine, turns * turn)

    def scale_out(self, fault: Fault, chance: random.Random) -> None:
        """One more machine of each zone."""
        for n, zone in enumerate(ZONES):
            taken = {sidecar_node.ip for sidecar_node in self.deployment.sidecar_nodes}
            prefix = f"10.{n + 1}.200."
            ip = next(f"{prefix}{last}" for last in range(20, 220) if f"{prefix}{last}" not in taken)
            sidecar_node = SidecarNode(self.deployment, ip, zone, chance.choice(SERVICES))
            self.deployment.sidecar_nodes.append(sidecar_node)
            self._trouble(sidecar_node.machine, 1.0)
            sidecar_node.proxy.start()
            self._later(1.0, sidecar_node.backend.start)
            self._later(3.0, sidecar_node.clients.start)

    def seed_turnover(self, fault: Fault, chance: random.Random) -> None:
        """The settings of processes that start from now on name other seeds, or fewer."""
        ips = [core.machine.ip for core in self.deployment.cores]
        self._reseed(chance.sample(ips, chance.randint(1, len(ips))))
        for n, sidecar_node in enumerate(self._choose_nodes(chance, 0.3)):
            self._later(0.5 * n, self._kill, sidecar_node.proxy, False)

    def _reseed(self, seeds: list[str]) -> None:
        self.deployment.seeds = seeds

    # Disks.

    def _disk_trouble(self, chance: random.Random) -> Disk:
        core = chance.choice(self.deployment.cores)
        self._trouble(core.machine, 4.0)
        assert core.machine.disk is not None
        return core.machine.disk

    def disk_stall(self, fault: Fault, chance: random.Random) -> None:
        """A disk answers nothing for a while."""
        self._disk_trouble(chance).stalled_until = self.world.now + 4.0

    def disk_slow(self, fault: Fault, chance: random.Random) -> None:
        """A disk takes longer."""
        disk = self._disk_trouble(chance)
        disk.times = 30.0
        self._later(4.0, setattr, disk, "times", 1.0)

    def disk_full(self, fault: Fault, chance: random.Random) -> None:
        """A disk takes no more bytes."""
        disk = self._disk_trouble(chance)
        disk.full = True
        self._later(4.0, setattr, disk, "full", False)

    # Control machines that are lost.

    def core_replace(self, fault: Fault, chance: random.Random) -> None:
        """A control machine is replaced, then another, or then another is killed."""
        plain = Fault(fault.at, fault.kind, "planned" if fault.how == "then killed" else fault.how, 0)
        super().core_replace(plain, chance)
        if fault.how == "twice":
            self._later(self._caught_up(), self._replace_again, chance)
        if fault.how == "then killed":
            self._later(self._caught_up(), self._kill_a_core, chance)

    def _replace_again(self, chance: random.Random) -> None:
        super().core_replace(Fault(self.world.now, "core_replace", "", 0), chance)

    def _kill_a_core(self, chance: random.Random) -> None:
        self._kill(chance.choice(self.deployment.cores), True)

    def after_ack_kill(self, fault: Fault, chance: random.Random) -> None:
        """The machine that acknowledges a change is killed at once; or any does soon after it was sent."""
        power = fault.how != "kill"
        if fault.how == "timed":
            self._timed(chance, lambda core: self._kill(core, True))
        else:
            self._after_ack(lambda core: self._kill(core, power))

    def after_ack_wipe(self, fault: Fault, chance: random.Random) -> None:
        """The same, and it comes back with an empty disk."""
        if fault.how == "timed":
            self._timed(chance, self._wipe)
        else:
            super().after_ack_wipe(fault, chance)

    def _timed(self, chance: random.Random, strike: Callable[[Process], None]) -> None:
        """Change something, and strike a control machine 5 to 400 ms later, acknowledged or not."""
        self._change(3000)
        self._later(chance.uniform(0.005, 0.4), strike, chance.choice(self.deployment.cores))

    # The operator.

    def ack_lost(self, fault: Fault, chance: random.Random) -> None:
        """Most acknowledgements are lost for a while; the operator sends the same again, elsewhere."""
        operator = self.deployment.operator
        operator.loses = LOST_ACKS
        self._later(6.0, setattr, operator, "loses", 0.0)
        for n in range(8):
            self._later(0.6 * n, self.config_change, fault, random.Random(fault.seed + n))

    def config_storm(self, fault: Fault, chance: random.Random) -> None:
        """Changes in quick succession; "long": many more, faster."""
        if fault.how != "long":
            super().config_storm(fault, chance)
            return
        for n in range(LONG_STORM):
            self._later(STORM_PAUSE * n, self.config_change, fault, random.Random(fault.seed + n))

    def big_config(self, fault: Fault, chance: random.Random) -> None:
        """The configuration grows by many routes."""
        row = ("maps.example", "read_only", chance.choice(SERVICES))
        first = len(self.deployment.idlers)
        for n in range(first, first + MANY_ROUTES):
            self.deployment.idlers.insert(0, (row[0], f"/more{n}/", *row[1:]))
        self._change(3000)

    # Clients.

    def burst(self, fault: Fault, chance: random.Random) -> None:
        """More clients come for a while."""
        for flow in self.deployment.flows:
            flow.per_s *= 2.0
            self._later(3.0, setattr, flow, "per_s", flow.per_s / 2.0)

    def retry_abuse(self, fault: Fault, chance: random.Random) -> None:
        """Clients repeat more often."""
        for flow in self.deployment.flows:
            flow.tries += 3
            self._later(5.0, setattr, flow, "tries", flow.tries - 3)

    def give_up(self, fault: Fault, chance: random.Random) -> None:
        """Many clients leave early, by an orderly close; "slow": while backends work for seconds."""
        for sidecar_node in self.deployment.sidecar_nodes:
            clients = sidecar_node.clients.program
            if isinstance(clients, Clients):
                clients.leavers = LEAVERS
                self._later(LEAVERS_S, setattr, clients, "leavers", 0.0)
        if fault.how == "slow":
            self._worsen(chance, "mean", SLOW_WORK, well=MEAN_WORK, share=1.0)

    # Backends.

    def srv_crash(self, fault: Fault, chance: random.Random) -> None:
        """Some backends are down for a while."""
        for sidecar_node in self._choose_nodes(chance, 0.15):
            self._down(sidecar_node, 4.0)

    def _down(self, sidecar_node: SidecarNode, seconds: float) -> None:
        if sidecar_node not in self.leaving:
            self._crash(sidecar_node)
            self._later(seconds, self._begin, sidecar_node)

    def srv_flap(self, fault: Fault, chance: random.Random) -> None:
        """Some backends go down and up."""
        for sidecar_node in self._choose_nodes(chance, 0.15):
            for n in range(3):
                self._later(2.4 * n, self._down, sidecar_node, 1.2)

    def _worsen(
        self, chance: random.Random, name: str, value: float, well: float = 0.0, share: float = 0.2
    ) -> None:
        """Give a property of some backends a value for a while, then the one of those that are well."""
        self.invariant_checker.last_any_fault_at = self.world.now
        for sidecar_node in self._choose_nodes(chance, share):
            backend = sidecar_node.life()
            if backend is not None:
                setattr(backend, name, value)
                self._later(6.0, setattr, backend, name, well)

    def srv_grey(self, fault: Fault, chance: random.Random) -> None:
        """Some backends fail part of their requests, one way or another; their health answer is good."""
        self._worsen(chance, fault.how, 0.4)

    def srv_slow(self, fault: Fault, chance: random.Random) -> None:
        """Some backends work longer."""
        self._worsen(chance, "mean", 4 * MEAN_WORK, well=MEAN_WORK)

    def idle_race(self, fault: Fault, chance: random.Random) -> None:
        """Some backends forget connections that rest."""
        self._worsen(chance, "forgets", IDLE_S, share=0.5)
