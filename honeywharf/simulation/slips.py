"""Slips put into running sidecars by seed: who catches them, how soon, and what ran meanwhile.

Theory of operation. A `Trial` plays a field with traffic and, one after the other, puts slips of one kind
into sidecars drawn by seed. What runs is judged here, by the operator's orders and a hook where a request's
head goes to a backend, not by the sidecars. A slip that is not healed in time is undone, and counts as not
caught unless somebody noticed. The three ways of noticing can be switched off.
"""

from __future__ import annotations

import json
import random
from collections.abc import Callable
from typing import Any, cast

from honeywharf.drift import second
from honeywharf.drift.requests import DriftMonitor
from honeywharf.mesh_config.routes import Route, RoutingTable
from honeywharf.sidecar.inbound import Job
from honeywharf.simulation.deployment import SERVICES, SMALL_SHAPE, ZONES, Deployment, SidecarNode
from honeywharf.simulation.invariants import Attempt, Order
from honeywharf.simulation.run import real_control_node, real_sidecar

LEAD = 4.0
FIRST = 9.0  # seconds, when the first slip comes
UNDONE = 1.4  # seconds that a slip may stay; longer kinds below
WAYS = ("scanning", "judging", "reading")
STRICT = (b"/orders/", b"/uploads/")
Undo = Callable[[], None]


def _copy(route: Route, **fields: Any) -> Route:
    made = Route()
    for name in Route.__slots__:
        setattr(made, name, fields.get(name, getattr(route, name)))
    return made


def _hosts(sidecar: Any) -> Any:
    return sidecar.mesh_state.table._hosts


def _place(sidecar: Any, rng: random.Random, strict: bool = True) -> tuple[Any, bytes]:
    places = [
        (of, prefix)
        for of in _hosts(sidecar).values()
        for prefix in of.routes
        if not strict or prefix in STRICT
    ]
    return rng.choice(places)


def _change(sidecar: Any, rng: random.Random, **fields: Any) -> Undo:
    """A copy of an entry with other fields in its place."""
    of, prefix = _place(sidecar, rng)
    before = of.routes[prefix]
    of.routes[prefix] = _copy(before, **fields)
    return lambda: of.routes.__setitem__(prefix, before)


class Kinds:
    """Each method puts one slip into a sidecar and gives what undoes it."""

    def __init__(self, trial: Trial) -> None:
        self.trial = trial

    def stored(self, sidecar: Any, rng: random.Random) -> Undo:
        """The stored version is not the one in force."""
        word, value = sidecar.mesh_state, sidecar.mesh_state.value
        table, revision, version = word.table, word.revision, word.version
        how = rng.randrange(3)
        if how == 0:
            word.revision += rng.randint(1, 9)
        elif how == 1:
            word.value = {**value, "version": value["version"] + rng.choice((-1, 1))}
        else:
            word.table = RoutingTable(self.trial.older)

        def undo() -> None:
            word.table, word.revision, word.version, word.value = table, revision, version, value

        return undo

    def weights(self, sidecar: Any, rng: random.Random) -> Undo:
        """Weights are turned, or another service stands there."""
        of, prefix = _place(sidecar, rng)
        before = of.routes[prefix]
        split = before.split[::-1] if len(before.split) > 1 else ((rng.choice(SERVICES[:1]), 1.0),)
        of.routes[prefix] = _copy(
            before,
            split=tuple((name, weight) for (name, _), (_, weight) in zip(split, before.split, strict=True)),
        )
        return lambda: of.routes.__setitem__(prefix, before)

    def lost(self, sidecar: Any, rng: random.Random) -> Undo:
        """An entry is missing."""
        of, prefix = _place(sidecar, rng)
        before = of.routes.pop(prefix)
        return lambda: of.routes.__setitem__(prefix, before)

    def added(self, sidecar: Any, rng: random.Random) -> Undo:
        """An entry that nobody ordered stands before one that must not run twice."""
        of, prefix = _place(sidecar, rng)
        before = of.routes[prefix]
        odd = prefix + b"1" + b"/"
        of.routes[odd] = _copy(before, prefix=odd, kind="read_only")
        of.routes[prefix] = _copy(before, max_attempts=before.max_attempts + 1)
        longest, of.longest = of.longest, max(of.longest, len(odd))

        def undo() -> None:
            of.routes.pop(odd, None)
            of.routes[prefix], of.longest = before, longest

        return undo

    def timeout(self, sidecar: Any, rng: random.Random) -> Undo:
        """A timeout of another route."""
        return _change(sidecar, rng, timeout_s=rng.choice((1.5, 2.0, 6.0, 60.0)))

    def kind(self, sidecar: Any, rng: random.Random) -> Undo:
        """What must not run twice is held for `read_only`."""
        return _change(sidecar, rng, kind="read_only")

    def limits(self, sidecar: Any, rng: random.Random) -> Undo:
        """Bounds or attempts of an older version are kept."""
        how = rng.randrange(4)
        if how == 0:
            return _change(sidecar, rng, max_attempts=5)
        if how == 1:
            most, sidecar.backend_connections.most = (
                sidecar.backend_connections.most,
                sidecar.backend_connections.most + 50,
            )
            return lambda: setattr(sidecar.backend_connections, "most", most)
        if how == 2:
            cold, sidecar.gate.cold.most = sidecar.gate.cold.most, sidecar.gate.cold.most + 20
            return lambda: setattr(sidecar.gate.cold, "most", cold)
        limits = sidecar.mesh_state.table.limits
        body, limits.max_body_bytes = limits.max_body_bytes, 1 << 30
        return lambda: setattr(limits, "max_body_bytes", body)

    def evacuation(self, sidecar: Any, rng: random.Random) -> Undo:
        """An evacuation is forgotten, or never withdrawn."""
        word, gate = sidecar.mesh_state, sidecar.gate
        before, evacuated = set(word.evacuated), gate.evacuated
        if rng.random() < 0.5:
            gate.evacuated = not gate.evacuated
        else:
            word.evacuated ^= {rng.choice(ZONES)}

        def undo() -> None:
            word.evacuated, gate.evacuated = before, evacuated

        return undo

    def list(self, sidecar: Any, rng: random.Random) -> Undo:
        """The list has one id, zone or draining mark wrong, or this backend's cold time."""
        source = sidecar.source
        node = rng.choice([node for node in source.list if node != sidecar.settings.ip])
        entry, how = source.list[node], rng.randrange(4)
        target = source.levels_of(entry.service).targets[node]
        kept = (entry.instance, entry.zone, entry.state, target.zone, target.usable)
        if how == 0:
            entry.instance = "i-odd"
        elif how == 1:
            entry.zone = target.zone = rng.choice([zone for zone in ZONES if zone != entry.zone])
        elif how == 2:
            entry.state = 2 if entry.state == 1 else 1
            target.usable = entry.state == 1
        else:
            target.usable = not target.usable

        def undo() -> None:
            entry.instance, entry.zone, entry.state, target.zone, target.usable = kept

        return undo

    def freeze(self, sidecar: Any, rng: random.Random) -> Undo:
        """The process stands still while the word changes."""
        sidecar_node = self.trial.victim
        sidecar_node.proxy.freeze()
        self.trial.deployment.invariant_checker.mark_fault(sidecar_node.ip, 1)
        self.trial.order(rng)

        def thaw() -> None:
            self.trial.deployment.invariant_checker.mark_fault(sidecar_node.ip, -1)
            sidecar_node.proxy.thaw()

        self.trial.later(3.0, thaw)
        return lambda: None

    def content(self, sidecar: Any, rng: random.Random) -> Undo:
        """Two nodes believe one revision and differ in content; half of them with a digest that fits."""
        word = sidecar.mesh_state
        kept = word.table, word.packed, word.digest, word.value
        text, other = self.trial.odd(rng)
        word.table, word.packed = RoutingTable(text), other
        if rng.random() < 0.5:  # as if somebody had told it so
            word.restore({**word.value, "digest": self.trial.digest(text)}, word.table, other)

        def undo() -> None:
            word.table, word.packed, word.digest, word.value = kept
            sidecar.drift_monitor.told_digest = ""
            sidecar.drift_monitor._read()

        return undo

    def build(self, sidecar: Any, rng: random.Random) -> Undo:
        """A program of another build reads the same text otherwise, each time."""
        drift_monitor, word = sidecar.drift_monitor, sidecar.mesh_state

        def other(text: bytes) -> RoutingTable:
            table = RoutingTable(text)
            for of in table._hosts.values():
                for route in of.routes.values():
                    route.latency_target_s, route.max_attempts = route.timeout_s, 1
            return table

        drift_monitor.build, kept = other, word.table
        word.table = other(self.trial.newest)

        def undo() -> None:
            drift_monitor.build, word.table = RoutingTable, kept

        return undo

    def liar(self, sidecar: Any, rng: random.Random) -> Undo:
        """It says the right digest and decides otherwise; its own second reading is blind to it."""
        drift_monitor, source, word = sidecar.drift_monitor, sidecar.source, sidecar.mesh_state
        find = word.find
        if rng.random() < 0.5:  # another service
            source.draw_service = lambda route: (
                SERVICES[0] if route.prefix in STRICT else Route.service(route, source.draw())
            )
        else:  # another kind

            def found(host: bytes, path: bytes) -> Route | None:
                route = find(host, path)
                return (
                    route if route is None or route.prefix not in STRICT else _copy(route, kind="read_only")
                )

            told = {
                prefix: drift_monitor.rules.of(of.routes[prefix])
                for of in _hosts(sidecar).values()
                for prefix in of.routes
                if prefix in STRICT
            }
            word.find = found
            drift_monitor.look = lambda host, path, route: (found(host, path), 0.0)
            source.rule = lambda route: told.get(route.prefix) or drift_monitor.rules.of(route)

        def undo() -> None:
            for thing, name in (
                (source, "draw_service"),
                (word, "find"),
                (drift_monitor, "look"),
                (source, "rule"),
            ):
                thing.__dict__.pop(name, None)

        return undo

    def checker(self, sidecar: Any, rng: random.Random) -> Undo:
        """What was read a second time is itself wrong."""
        told = sidecar.drift_monitor.told
        at = rng.randrange(len(told.rules))
        told.rules[at] ^= 1 << rng.randrange(64)
        return lambda: None

    def disk(self, sidecar: Any, rng: random.Random) -> Undo:
        """A control node's disk gives back an older word."""
        deployment = self.trial.deployment
        core = self.trial.core = rng.choice(deployment.cores)
        disk = cast(Any, core.machine.disk)
        older = dict(disk.files)
        self.trial.order(rng)

        def strike() -> None:
            deployment.invariant_checker.mark_fault(core.machine.ip, 1, True)
            core.machine.power_off()
            disk.files.clear()
            disk.files.update(older)

        def back() -> None:
            core.machine.power_on()
            deployment.invariant_checker.mark_fault(core.machine.ip, -1, True)

        self.trial.later(1.5, strike)
        self.trial.later(2.5, back)
        return lambda: None


KINDS = (
    "stored",
    "weights",
    "lost",
    "added",
    "timeout",
    "kind",
    "limits",
    "evacuation",
    "list",
    "freeze",
    "content",
    "build",
    "liar",
    "checker",
    "disk",
)
LONG = {"freeze": 4.5, "build": 8.0, "liar": 8.0, "disk": 6.0, "content": 6.0}  # seconds that each may stay


class Slip:
    """One that was put in. `after`: requests sent at its node until it was noticed; -1: never."""

    __slots__ = ("after", "at", "by", "ran", "victim")

    def __init__(self, victim: str, at: float) -> None:
        self.victim, self.at, self.after, self.by, self.ran = victim, at, -1, "", 0


class Trial:
    """One field with slips of one kind. `ways`: those of `WAYS` that are on."""

    def __init__(self, seed: int, kind: str, many: int, ways: tuple[str, ...] = WAYS) -> None:
        self.rng, self.kind, self.many, self.ways = random.Random(seed), kind, many, ways
        self.gap = LONG.get(kind, UNDONE) + 0.4
        self.deployment = Deployment(
            seed, self._sidecar, real_control_node, SMALL_SHAPE, LEAD, FIRST + many * self.gap + 2.0
        )
        self.world, self.invariant_checker = self.deployment.world, self.deployment.invariant_checker
        self.slips: list[Slip] = []
        self.victim: SidecarNode = self.deployment.sidecar_nodes[0]
        self.undo: Undo = lambda: None
        self.told: list[Order] = []
        self.readings: dict[bytes, second.Told] = {}
        self.strict = {"runs": 0, "slipped": 0}
        self.wrong: list[str] = []  # mutating requests that ran by another rule than told
        self.alarms: list[tuple[float, str, str]] = []
        self.older = b""
        self.core: Any = None  # the control node whose disk went back
        self.traffic_splits: dict[str, dict[str, int]] = {"/orders/": {"order-desk": 3, "survey-intake": 1}}
        self.world.at(2.0, self.order, random.Random(seed))
        self.world.at(6.5, self.order, random.Random(seed + 1))
        for n in range(many):
            self.world.at(FIRST + n * self.gap, self._put)
            self.world.at(FIRST + n * self.gap + self.gap - 0.4, self._take_out)

    # What the trial does.

    def _sidecar(self, host: Any, settings: str) -> object:
        sidecar: Any = real_sidecar(host, settings)
        for way in WAYS:
            setattr(sidecar.drift_monitor, way, way in self.ways)
        ip, drift_monitor = sidecar.settings.ip, sidecar.drift_monitor

        def slip(by: str, what: str, renew: bool = False) -> None:
            self._noticed(ip, by, what)
            DriftMonitor.slip(drift_monitor, by, what, renew)

        def refuse(job: Job, again_s: float) -> bool:
            self._noticed(job.ask.peer or ip, "judge" if job.ask.peer else "reading", "refused")
            return DriftMonitor._refuse_job(drift_monitor, job, again_s)

        def hold(job: Job, holder: Any) -> bool:
            if self.kind == "freeze":
                self._noticed(ip, "judge", "asks first")
            return DriftMonitor._hold(drift_monitor, job, holder)

        drift_monitor.slip, drift_monitor._refuse_job, drift_monitor._hold = slip, refuse, hold
        return sidecar

    def later(self, seconds: float, call: Callable[[], None]) -> None:
        """Call so much later."""
        self.world.at(self.world.now + seconds, call)

    def order(self, rng: random.Random) -> None:
        """An honest change, which touches what must not run twice."""
        self.older = self.newest
        self.traffic_splits["/orders/"] = {
            "order-desk": rng.randint(2, 5),
            "survey-intake": rng.randint(1, 2),
        }
        self.traffic_splits["/parcels/"] = {rng.choice(SERVICES): 1}
        order = self.deployment.make_configuration(
            self.deployment.next_version(), self.traffic_splits, 2500 + 100 * (len(self.told) % 9)
        )
        self.told.append(order)
        self.deployment.operator.order(order)

    @property
    def newest(self) -> bytes:
        """The text that was ordered last."""
        return self.told[-1].text if self.told else b""

    def odd(self, rng: random.Random) -> tuple[bytes, bytes]:
        """A text under the newest version with another rule, plain and packed."""
        import zlib

        whole = json.loads(self.newest)
        for route in whole["routes"]:
            if route["route-kind"] != "read_only":
                route["max-attempts"] = 3 + rng.randrange(3)
                route["traffic-split"] = route["traffic-split"][:1]
        text = json.dumps(whole).encode()
        return text, zlib.compress(text)

    @staticmethod
    def digest(text: bytes) -> str:
        """As words name a text."""
        from honeywharf.mesh_config.configuration import digest

        return digest(text)

    def _put(self) -> None:
        running = [
            sidecar_node
            for sidecar_node in self.deployment.sidecar_nodes
            if sidecar_node.proxy.program is not None
            and cast(Any, sidecar_node.proxy.program).mesh_state.table is not None
        ]
        self.victim = self.rng.choice(running)
        self.slips.append(Slip(self.victim.ip, self.world.now))
        self.undo = getattr(Kinds(self), self.kind)(self.victim.proxy.program, self.rng)

    def _take_out(self) -> None:
        undo, self.undo = self.undo, lambda: None
        if self.core is not None and self.core.program is not None and self.core.program.gather.went_back:
            self.slips[-1].after, self.slips[-1].by = 0, "register"
        sidecar: Any = self.victim.proxy.program
        if sidecar is None:
            return
        healed = sidecar.drift_monitor.state.at in (2, 5) and self.kind not in ("build", "liar")
        if healed and not sidecar.drift_monitor._whole():
            return
        undo()
        sidecar.drift_monitor.relapses = 0
        sidecar.drift_monitor.rebuild()
        if sidecar.drift_monitor.state.aside:
            sidecar.drift_monitor._event(2, "undone by the trial")

    # What it sees.

    def _noticed(self, ip: str, by: str, what: str) -> None:
        slip = self.slips[-1] if self.slips else None
        if slip is None or slip.victim != ip or self.world.now > slip.at + self.gap:
            if by != "judge" and what != "refused":  # an honest change is decided again
                self.alarms.append((self.world.now, ip, f"{by}: {what}"))
        elif slip.after < 0:
            slip.by = by
            slip.after = sum(
                ask.machine == ip and ask.sent >= slip.at for ask in self.invariant_checker.attempts.values()
            )

    def _read(self, order: Order) -> second.Told:
        found = self.readings.get(order.text)
        if found is None:
            found = self.readings[order.text] = second.Told(order.text)
        return found

    def _may(self, sent: Attempt) -> list[Order]:
        """Configurations by which a request may run. Without slips, only machines in touch are held to it."""
        bound = sent.sent - self.invariant_checker.bounds["config-apply"]
        orders = [order for order in self.invariant_checker.configs() if order.sent <= self.world.now]
        if self.kind == "none" and not self.invariant_checker.is_undisturbed(sent.machine, sent.sent):
            return orders
        floor = max((order.version for order in orders if order.acked <= bound), default=0)
        return [order for order in orders if order.version >= floor]

    def ran(self, job: Job) -> None:
        """A request's head goes to a backend now."""
        ask = job.ask
        sent = self.invariant_checker.attempts.get(ask.attempt_id.decode())
        if sent is None or sent.repeatable:
            return
        self.strict["runs"] += 1
        for order in self._may(sent):
            made, kind = self._read(order).decide(sent.host.encode(), sent.path.encode())
            if made == ask.rule and kind == ask.kind and ask.service in order.services(sent.host, sent.path):
                return
        self.strict["slipped"] += 1
        if self.slips:
            self.slips[-1].ran += 1
        self.wrong.append(
            f"{self.world.now:.3f} {sent.id} {sent.path} of {sent.machine} at {ask.service}, "
            f"kind {ask.kind}, from {ask.peer or 'home'}"
        )

    def play(self, until: float = 0.0) -> Trial:
        """Play it whole, or until a time."""
        plain = Job._head_bytes

        def heads(job: Job) -> bytes:
            self.ran(job)
            return plain(job)

        cast(Any, Job)._head_bytes = heads
        try:
            self.world.strict = True
            self.world.run(until or FIRST + self.many * self.gap + 4.0)
        finally:
            cast(Any, Job)._head_bytes = plain
        return self

    def statuses(self) -> dict[int, int]:
        """Final statuses of all tries; 0 and 1: no answer."""
        found: dict[int, int] = {}
        for ask in self.invariant_checker.attempts.values():
            found[ask.status] = found.get(ask.status, 0) + 1
        return found
