"""Injects drift into running sidecars by seed: which detector notices it, how soon, and what runs meanwhile.

Theory of operation. A `Trial` runs a deployment with traffic and injects drift of one kind, one after the
other, into sidecars drawn from the seed. A hook where the head of a request goes to a backend checks what
runs against the operator's orders, independently of the sidecars. Drift that is not repaired in time is
undone, and counts as unnoticed unless a detector noticed it. Each of the three detectors can be disabled.
"""

from __future__ import annotations

import json
import random
from collections.abc import Callable
from typing import Any, cast

from honeywharf.drift import reference_parser
from honeywharf.drift.monitor import DriftMonitor
from honeywharf.mesh_config.routes import Route, RoutingTable
from honeywharf.sidecar.inbound import InboundRequest
from honeywharf.simulation.deployment import SERVICES, SMALL_SHAPE, ZONES, Deployment, SidecarNode
from honeywharf.simulation.invariants import Attempt, Order
from honeywharf.simulation.run import real_control_node, real_sidecar

TRAFFIC_START_S = 4.0
FIRST_DRIFT_S = 9.0
DRIFT_PERIOD_S = 1.4  # The time until drift is undone; some kinds have a longer one below.
DETECTORS = ("scanning", "judging", "reading")
NON_REPEATABLE_PREFIXES = (b"/orders/", b"/uploads/")
Undo = Callable[[], None]


def _copy_route(route: Route, **fields: Any) -> Route:
    made = Route()
    for name in Route.__slots__:
        setattr(made, name, fields.get(name, getattr(route, name)))
    return made


def _hosts(sidecar: Any) -> Any:
    return sidecar.mesh_state.table._hosts


def _choose_route(sidecar: Any, rng: random.Random, strict: bool = True) -> tuple[Any, bytes]:
    places = [
        (of, prefix)
        for of in _hosts(sidecar).values()
        for prefix in of.routes
        if not strict or prefix in NON_REPEATABLE_PREFIXES
    ]
    return rng.choice(places)


def _replace_route(sidecar: Any, rng: random.Random, **fields: Any) -> Undo:
    """Replaces a route by a copy with other fields."""
    of, prefix = _choose_route(sidecar, rng)
    before = of.routes[prefix]
    of.routes[prefix] = _copy_route(before, **fields)
    return lambda: of.routes.__setitem__(prefix, before)


class DriftKinds:
    """Each method injects drift of one kind into a sidecar, and returns the call that undoes it."""

    def __init__(self, trial: Trial) -> None:
        self.trial = trial

    def stored(self, sidecar: Any, rng: random.Random) -> Undo:
        """The stored version differs from the version in force."""
        node_state, value = sidecar.mesh_state, sidecar.mesh_state.value
        table, revision, version = node_state.table, node_state.revision, node_state.version
        how = rng.randrange(3)
        if how == 0:
            node_state.revision += rng.randint(1, 9)
        elif how == 1:
            node_state.value = {**value, "version": value["version"] + rng.choice((-1, 1))}
        else:
            node_state.table = RoutingTable(self.trial.previous_text)

        def undo() -> None:
            node_state.table, node_state.revision, node_state.version, node_state.value = (
                table,
                revision,
                version,
                value,
            )

        return undo

    def weights(self, sidecar: Any, rng: random.Random) -> Undo:
        """The weights are swapped, or a route has another service."""
        of, prefix = _choose_route(sidecar, rng)
        before = of.routes[prefix]
        split = before.split[::-1] if len(before.split) > 1 else ((rng.choice(SERVICES[:1]), 1.0),)
        of.routes[prefix] = _copy_route(
            before,
            split=tuple((name, weight) for (name, _), (_, weight) in zip(split, before.split, strict=True)),
        )
        return lambda: of.routes.__setitem__(prefix, before)

    def lost(self, sidecar: Any, rng: random.Random) -> Undo:
        """A route is missing."""
        of, prefix = _choose_route(sidecar, rng)
        before = of.routes.pop(prefix)
        return lambda: of.routes.__setitem__(prefix, before)

    def added(self, sidecar: Any, rng: random.Random) -> Undo:
        """A route that nobody ordered takes requests of a route that must not run twice."""
        of, prefix = _choose_route(sidecar, rng)
        before = of.routes[prefix]
        odd = prefix + b"1" + b"/"
        of.routes[odd] = _copy_route(before, prefix=odd, kind="read_only")
        of.routes[prefix] = _copy_route(before, max_attempts=before.max_attempts + 1)
        longest, of.longest = of.longest, max(of.longest, len(odd))

        def undo() -> None:
            of.routes.pop(odd, None)
            of.routes[prefix], of.longest = before, longest

        return undo

    def timeout(self, sidecar: Any, rng: random.Random) -> Undo:
        """A route has the time-out of another route."""
        return _replace_route(sidecar, rng, timeout_s=rng.choice((1.5, 2.0, 6.0, 60.0)))

    def kind(self, sidecar: Any, rng: random.Random) -> Undo:
        """A route that must not run twice is treated as `read_only`."""
        return _replace_route(sidecar, rng, kind="read_only")

    def limits(self, sidecar: Any, rng: random.Random) -> Undo:
        """Limits or attempts of an older version stay in force."""
        how = rng.randrange(4)
        if how == 0:
            return _replace_route(sidecar, rng, max_attempts=5)
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
        """An evacuation is missing, or stays after its end."""
        node_state, gate = sidecar.mesh_state, sidecar.gate
        before, evacuated = set(node_state.evacuated), gate.evacuated
        if rng.random() < 0.5:
            gate.evacuated = not gate.evacuated
        else:
            node_state.evacuated ^= {rng.choice(ZONES)}

        def undo() -> None:
            node_state.evacuated, gate.evacuated = before, evacuated

        return undo

    def list(self, sidecar: Any, rng: random.Random) -> Undo:
        """The backend list has a wrong instance, zone, state or usability of one node."""
        source = sidecar.source
        node = rng.choice([node for node in source.backends if node != sidecar.settings.ip])
        entry, how = source.backends[node], rng.randrange(4)
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
        """The process is frozen while the configuration changes."""
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
        """The content differs from that of others at the same revision, at random with a matching digest."""
        node_state = sidecar.mesh_state
        kept = node_state.table, node_state.packed, node_state.digest, node_state.value
        text, other = self.trial.make_differing_text(rng)
        node_state.table, node_state.packed = RoutingTable(text), other
        if rng.random() < 0.5:  # The digest matches the differing content.
            node_state.restore(
                {**node_state.value, "digest": self.trial.digest(text)}, node_state.table, other
            )

        def undo() -> None:
            node_state.table, node_state.packed, node_state.digest, node_state.value = kept
            sidecar.drift_monitor.reference_digest = ""
            sidecar.drift_monitor._parse_reference()

        return undo

    def build(self, sidecar: Any, rng: random.Random) -> Undo:
        """A program of another build parses the same text differently, each time."""
        drift_monitor, node_state = sidecar.drift_monitor, sidecar.mesh_state

        def other(text: bytes) -> RoutingTable:
            table = RoutingTable(text)
            for of in table._hosts.values():
                for route in of.routes.values():
                    route.latency_target_s, route.max_attempts = route.timeout_s, 1
            return table

        drift_monitor.build_table, kept = other, node_state.table
        node_state.table = other(self.trial.latest_text)

        def undo() -> None:
            drift_monitor.build_table, node_state.table = RoutingTable, kept

        return undo

    def liar(self, sidecar: Any, rng: random.Random) -> Undo:
        """The sidecar reports the right digest but decides differently, and its own check does not see it."""
        drift_monitor, source, node_state = sidecar.drift_monitor, sidecar.source, sidecar.mesh_state
        find = node_state.find
        if rng.random() < 0.5:  # The sidecar chooses another service.
            source.draw_service = lambda route: (
                SERVICES[0]
                if route.prefix in NON_REPEATABLE_PREFIXES
                else Route.service(route, source.draw())
            )
        else:  # The sidecar uses another kind.

            def found(host: bytes, path: bytes) -> Route | None:
                route = find(host, path)
                return (
                    route
                    if route is None or route.prefix not in NON_REPEATABLE_PREFIXES
                    else _copy_route(route, kind="read_only")
                )

            told = {
                prefix: drift_monitor.digest_cache.digest_of(of.routes[prefix])
                for of in _hosts(sidecar).values()
                for prefix in of.routes
                if prefix in NON_REPEATABLE_PREFIXES
            }
            node_state.find = found
            drift_monitor.check_route = lambda host, path, route: (found(host, path), 0.0)
            source.rule = lambda route: told.get(route.prefix) or drift_monitor.digest_cache.digest_of(route)

        def undo() -> None:
            for thing, name in (
                (source, "draw_service"),
                (node_state, "find"),
                (drift_monitor, "check_route"),
                (source, "rule"),
            ):
                thing.__dict__.pop(name, None)

        return undo

    def checker(self, sidecar: Any, rng: random.Random) -> Undo:
        """The second reading, which the checks compare with, is itself wrong."""
        told = sidecar.drift_monitor.reference
        at = rng.randrange(len(told.rule_digests))
        told.rule_digests[at] ^= 1 << rng.randrange(64)
        return lambda: None

    def disk(self, sidecar: Any, rng: random.Random) -> Undo:
        """The disk of a control node returns an older state."""
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
LONG_PERIODS_S = {"freeze": 4.5, "build": 8.0, "liar": 8.0, "disk": 6.0, "content": 6.0}  # Seconds.


class InjectedDrift:
    """One injected drift; `requests_until_noticed` counts requests sent at its node, -1 if unnoticed."""

    __slots__ = ("at", "noticed_by", "ran", "requests_until_noticed", "victim")

    def __init__(self, victim: str, at: float) -> None:
        self.victim, self.at, self.requests_until_noticed, self.noticed_by, self.ran = victim, at, -1, "", 0


class Trial:
    """A run with drift of one kind; `detectors` are those of `DETECTORS` that are enabled."""

    def __init__(self, seed: int, kind: str, count: int, detectors: tuple[str, ...] = DETECTORS) -> None:
        self.rng, self.kind, self.count, self.detectors = random.Random(seed), kind, count, detectors
        self.period_s = LONG_PERIODS_S.get(kind, DRIFT_PERIOD_S) + 0.4
        self.deployment = Deployment(
            seed,
            self._sidecar,
            real_control_node,
            SMALL_SHAPE,
            TRAFFIC_START_S,
            FIRST_DRIFT_S + count * self.period_s + 2.0,
        )
        self.world, self.invariant_checker = self.deployment.world, self.deployment.invariant_checker
        self.injected_drifts: list[InjectedDrift] = []
        self.victim: SidecarNode = self.deployment.sidecar_nodes[0]
        self.undo: Undo = lambda: None
        self.orders_sent: list[Order] = []
        self.readings: dict[bytes, reference_parser.ReferenceTable] = {}
        self.non_repeatable = {"runs": 0, "slipped": 0}
        self.wrong: list[str] = []  # Requests that must not run twice and ran by another rule than ordered.
        self.alarms: list[tuple[float, str, str]] = []
        self.previous_text = b""
        self.core: Any = None  # The control node whose disk returned an older state.
        self.traffic_splits: dict[str, dict[str, int]] = {"/orders/": {"order-desk": 3, "survey-intake": 1}}
        self.world.at(2.0, self.order, random.Random(seed))
        self.world.at(6.5, self.order, random.Random(seed + 1))
        for n in range(count):
            self.world.at(FIRST_DRIFT_S + n * self.period_s, self._inject)
            self.world.at(FIRST_DRIFT_S + n * self.period_s + self.period_s - 0.4, self._undo_injection)

    # Injection.

    def _sidecar(self, host: Any, settings: str) -> object:
        sidecar: Any = real_sidecar(host, settings)
        for detector in DETECTORS:
            setattr(sidecar.drift_monitor, detector, detector in self.detectors)
        ip, drift_monitor = sidecar.settings.ip, sidecar.drift_monitor

        def injected_drift(by: str, what: str, renew: bool = False) -> None:
            self._noticed(ip, by, what)
            DriftMonitor.report_drift(drift_monitor, by, what, renew)

        def refuse(inbound_request: InboundRequest, retry_delay_s: float) -> bool:
            self._noticed(
                inbound_request.forwarded.peer or ip,
                "judge" if inbound_request.forwarded.peer else "reading",
                "refused",
            )
            return DriftMonitor._refuse_request(drift_monitor, inbound_request, retry_delay_s)

        def hold(inbound_request: InboundRequest, node: Any) -> bool:
            if self.kind == "freeze":
                self._noticed(ip, "judge", "asks first")
            return DriftMonitor._hold(drift_monitor, inbound_request, node)

        drift_monitor.report_drift, drift_monitor._refuse_request, drift_monitor._hold = (
            injected_drift,
            refuse,
            hold,
        )
        return sidecar

    def later(self, seconds: float, call: Callable[[], None]) -> None:
        """Calls after a delay in seconds."""
        self.world.at(self.world.now + seconds, call)

    def order(self, rng: random.Random) -> None:
        """Sends a valid change of routes that must not run twice."""
        self.previous_text = self.latest_text
        self.traffic_splits["/orders/"] = {
            "order-desk": rng.randint(2, 5),
            "survey-intake": rng.randint(1, 2),
        }
        self.traffic_splits["/parcels/"] = {rng.choice(SERVICES): 1}
        order = self.deployment.make_configuration(
            self.deployment.next_version(), self.traffic_splits, 2500 + 100 * (len(self.orders_sent) % 9)
        )
        self.orders_sent.append(order)
        self.deployment.operator.order(order)

    @property
    def latest_text(self) -> bytes:
        """The text of the last order."""
        return self.orders_sent[-1].text if self.orders_sent else b""

    def make_differing_text(self, rng: random.Random) -> tuple[bytes, bytes]:
        """Returns another text of the newest version, plain and compressed."""
        import zlib

        whole = json.loads(self.latest_text)
        for route in whole["routes"]:
            if route["route-kind"] != "read_only":
                route["max-attempts"] = 3 + rng.randrange(3)
                route["traffic-split"] = route["traffic-split"][:1]
        text = json.dumps(whole).encode()
        return text, zlib.compress(text)

    @staticmethod
    def digest(text: bytes) -> str:
        """Returns the digest of a configuration text."""
        from honeywharf.mesh_config.configuration import digest

        return digest(text)

    def _inject(self) -> None:
        running = [
            sidecar_node
            for sidecar_node in self.deployment.sidecar_nodes
            if sidecar_node.proxy.program is not None
            and cast(Any, sidecar_node.proxy.program).mesh_state.table is not None
        ]
        self.victim = self.rng.choice(running)
        self.injected_drifts.append(InjectedDrift(self.victim.ip, self.world.now))
        self.undo = getattr(DriftKinds(self), self.kind)(self.victim.proxy.program, self.rng)

    def _undo_injection(self) -> None:
        undo, self.undo = self.undo, lambda: None
        if (
            self.core is not None
            and self.core.program is not None
            and self.core.program.drift_aggregator.acceptor_regressions
        ):
            self.injected_drifts[-1].requests_until_noticed, self.injected_drifts[-1].noticed_by = (
                0,
                "register",
            )
        sidecar: Any = self.victim.proxy.program
        if sidecar is None:
            return
        healed = sidecar.drift_monitor.state.current in (2, 5) and self.kind not in ("build", "liar")
        if healed and not sidecar.drift_monitor._scan_all():
            return
        undo()
        sidecar.drift_monitor.relapses = 0
        sidecar.drift_monitor.rebuild()
        if sidecar.drift_monitor.state.is_suspect:
            sidecar.drift_monitor._handle_event(2, "undone by the trial")

    # Observation.

    def _noticed(self, ip: str, by: str, what: str) -> None:
        injected_drift = self.injected_drifts[-1] if self.injected_drifts else None
        if (
            injected_drift is None
            or injected_drift.victim != ip
            or self.world.now > injected_drift.at + self.period_s
        ):
            if by != "judge" and what != "refused":  # A valid change also causes these.
                self.alarms.append((self.world.now, ip, f"{by}: {what}"))
        elif injected_drift.requests_until_noticed < 0:
            injected_drift.noticed_by = by
            injected_drift.requests_until_noticed = sum(
                attempt.machine == ip and attempt.sent >= injected_drift.at
                for attempt in self.invariant_checker.attempts.values()
            )

    def _read(self, order: Order) -> reference_parser.ReferenceTable:
        found = self.readings.get(order.text)
        if found is None:
            found = self.readings[order.text] = reference_parser.ReferenceTable(order.text)
        return found

    def _applicable_orders(self, sent: Attempt) -> list[Order]:
        """Returns the configurations by which a request may run; without drift all at a disturbed node."""
        bound = sent.sent - self.invariant_checker.bounds["config-apply"]
        orders = [order for order in self.invariant_checker.configs() if order.sent <= self.world.now]
        if self.kind == "none" and not self.invariant_checker.is_undisturbed(sent.machine, sent.sent):
            return orders
        floor = max((order.version for order in orders if order.acked <= bound), default=0)
        return [order for order in orders if order.version >= floor]

    def ran(self, inbound_request: InboundRequest) -> None:
        """Checks a request whose head goes to a backend."""
        forwarded_request = inbound_request.forwarded
        sent = self.invariant_checker.attempts.get(forwarded_request.attempt_id.decode())
        if sent is None or sent.repeatable:
            return
        self.non_repeatable["runs"] += 1
        for order in self._applicable_orders(sent):
            made, kind = self._read(order).find_rule(sent.host.encode(), sent.path.encode())
            if (
                made == forwarded_request.rule
                and kind == forwarded_request.kind
                and forwarded_request.service in order.services(sent.host, sent.path)
            ):
                return
        self.non_repeatable["slipped"] += 1
        if self.injected_drifts:
            self.injected_drifts[-1].ran += 1
        self.wrong.append(
            f"{self.world.now:.3f} {sent.id} {sent.path} of {sent.machine} at {forwarded_request.service}, "
            f"kind {forwarded_request.kind}, from {forwarded_request.peer or 'home'}"
        )

    def play(self, until: float = 0.0) -> Trial:
        """Runs all of the simulated time, or until a time."""
        plain = InboundRequest._encode_head

        def heads(inbound_request: InboundRequest) -> bytes:
            self.ran(inbound_request)
            return plain(inbound_request)

        cast(Any, InboundRequest)._encode_head = heads
        try:
            self.world.strict = True
            self.world.run(until or FIRST_DRIFT_S + self.count * self.period_s + 4.0)
        finally:
            cast(Any, InboundRequest)._encode_head = plain
        return self

    def statuses(self) -> dict[int, int]:
        """Counts the final statuses of all attempts; 0 and 1 are no answer."""
        found: dict[int, int] = {}
        for attempt in self.invariant_checker.attempts.values():
            found[attempt.status] = found.get(attempt.status, 0) + 1
        return found
