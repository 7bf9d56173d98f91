"""Servers as discovery lists them, their zones, and the levels that a choice is made from."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from honeywharf import limits
from honeywharf.limits.answer_rate import AnswerRate
from honeywharf.limits.slow_start import spacing, warm_fraction
from honeywharf.limits.zone import Zone
from honeywharf.policy import interface as api

REFRESH_INTERVAL_MS = 250.0  # weights and levels change slowly
MAX_EVEN_RELATIVE_LATENCY = 1.2  # the weight of a slower server falls with the square of its relative latency
OPEN_START_MS = 50.0  # limits may be open for so long after the first call; overload takes longer to build up
REINSTATE_MS = 100.0  # first calls to a reinstated server are spread over so long for each balancer
SMALL_ZONE = 3  # a zone with fewer ready servers is too small to compare one of them with the others


@dataclass(slots=True, eq=False)
class Server:
    """The state that this balancer keeps for one listed endpoint."""

    endpoint: api.Endpoint
    calls: dict[Attempt, None] = field(default_factory=dict)  # in flight, oldest first, not hung
    unresponsive_until: dict[str, float] = field(default_factory=dict)  # the time for each request class
    failures: int = 0  # the number of consecutive failures
    ejections: int = 0
    suspicion: float = 0.0
    relative_latency: float = 1.0  # running mean of answer times, in typical answer times
    eject_streak: int = 0  # ejections since the last success
    ejected_until: float = 0.0
    ejection_reason: str = ""  # the reason for the latest ejection
    cold: bool = False
    next_send_ms: float = 0.0  # the earliest time of the next call while the server is cold
    weight: float = 1.0  # factor on the even choice; below 1 for slow servers and during slow start
    reinstated_ms: float = 0.0  # when an operator reinstated the server, unless it restarted meanwhile


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a request. `possibly_ran` is False once it is proven never to have run."""

    request: str
    server: Server
    zone: Zone
    sent_ms: float
    ejections: int  # the server's ejections when the attempt was sent
    pending: bool = True
    possibly_ran: bool = True
    counted: bool = True  # whether it is among the calls in flight of its zone
    hung: bool = False

    def release(self) -> None:
        """Removes the attempt from its zone's calls in flight, only once, so that the count stays exact."""
        if self.counted:
            self.counted = False
            self.zone.in_flight -= 1


class Endpoints:
    """All listed servers by id, with the weights and levels that are recomputed regularly. Times are ms."""

    def __init__(
        self,
        settings: api.Settings,
        rng: random.Random,
        make_limiter: Callable[[], limits.Limiter],
    ) -> None:
        self.settings, self.random, self.make_limiter = settings, rng, make_limiter
        self.servers: dict[str, Server] = {}
        self.excluded: dict[str, float] = {}  # endpoints that an operator has excluded, and since when
        self.zones: dict[str, Zone] = {}
        self.levels: list[list[Server]] = [[], [], []]
        self.refresh_at = 0.0
        aim = max(c.aim_ms for c in settings.classes)
        # All balancers together get at least one answer of a warm server per latency target.
        self.rate = AnswerRate(1.0 / (aim * settings.balancers))
        self.open_start_ends_ms = 0.0  # 0 before the first call, infinite once the first limits are in use

    def apply_list(self, now: float, event: api.EndpointsListed) -> None:
        """Applies a complete list of endpoints, or changes of it."""
        if event.kind is not api.ListKind.CHANGES:
            named = {e.id for e in event.endpoints}
            for gone in [key for key in self.servers if key not in named]:
                self.discount_attempts(self.servers.pop(gone))
        for endpoint in event.endpoints:
            if endpoint.zone not in self.zones:
                self.zones[endpoint.zone] = Zone(self.make_limiter())
                if self.open_start_ends_ms == float("inf"):
                    self.zones[endpoint.zone].limiter.use_first_limit()
            known = self.servers.get(endpoint.id)
            if known is not None and (
                endpoint.state is not api.EndpointState.READY
                or known.endpoint.started_ms != endpoint.started_ms
            ):
                self.discount_attempts(known)
            if endpoint.state is api.EndpointState.GONE:
                self.servers.pop(endpoint.id, None)
            elif known is None or known.endpoint.started_ms != endpoint.started_ms:
                known = self.servers[endpoint.id] = Server(endpoint)  # a new process has a clean record
                if self.warm_fraction(now, known) < 1.0:
                    known.next_send_ms = now + self.random.uniform(0.0, 1.0) * self.spacing(now, known)
            else:
                known.endpoint = endpoint
        self.refresh(now)

    def discount_attempts(self, server: Server) -> None:
        """Stops counting the server's calls: they use no part of a limit, and their ends are ignored."""
        server.ejections += 1
        for call in server.calls:
            call.release()

    def exclude(self, now: float, names: frozenset[str]) -> None:
        """Applies the set of endpoints that an operator has excluded."""
        for name in [n for n in self.excluded if n not in names]:
            since, server = self.excluded.pop(name), self.servers.get(name)
            if server is not None and (server.endpoint.started_ms or 0.0) < since:
                # Guards against a backend that was restarted meanwhile, which discovery may report later.
                server = self.servers[name] = Server(server.endpoint, reinstated_ms=now)
                server.next_send_ms = now + self.random.uniform(0.0, REINSTATE_MS * self.settings.balancers)
        for name in names:
            if self.excluded.setdefault(name, now) == now and name in self.servers:
                self.discount_attempts(self.servers[name])
        self.refresh(now)

    def refresh(self, now: float) -> None:
        """Recomputes each server's weight and the levels: own zone, every zone, and every ready server."""
        self.refresh_at = now + REFRESH_INTERVAL_MS
        ready = [
            s
            for s in self.servers.values()
            if s.endpoint.state is api.EndpointState.READY and s.endpoint.id not in self.excluded
        ]
        for server in ready:
            speed = min(1.0, MAX_EVEN_RELATIVE_LATENCY / server.relative_latency) ** 2
            fraction = self.warm_fraction(now, server)
            server.cold, server.weight = fraction < 1.0, fraction * max(0.2, speed)
        # Ejection never empties a fleet: with no server usable, all ready servers count as usable.
        usable = [s for s in ready if s.ejected_until <= now] or ready
        self.rate.update(now, sum(s.weight for s in usable))
        self.levels = [[s for s in usable if s.endpoint.zone == self.settings.zone], usable, usable]
        for zone in self.zones.values():
            zone.ejection_headroom, zone.ready, zone.capacity = 0, 0, 0.0
        for server in ready:
            self.zones[server.endpoint.zone].ejection_headroom -= 2
            self.zones[server.endpoint.zone].ready += 1
            if server.cold and server.next_send_ms > now + 1.5 * self.spacing(now, server):
                # Guards against a wait computed before this balancer knew the servers' answer rate.
                server.next_send_ms = now + self.random.uniform(0.0, 1.5) * self.spacing(now, server)
        for server in usable:
            # Guards against overloading the first cold servers of a zone that has lost all others.
            self.zones[server.endpoint.zone].capacity += server.weight
            self.zones[server.endpoint.zone].ejection_headroom += 3
        for zone in self.zones.values():
            zone.update_overage(self.settings.balancers)

    def warm_fraction(self, now: float, server: Server) -> float:
        """Returns the part of its capacity that a server has at least, which bounds its part of the calls."""
        rules, started = self.settings.rules, max(server.endpoint.started_ms or 0.0, server.reinstated_ms)
        return warm_fraction(now, started, rules.cold_share, rules.warm_after_ms)

    def spacing(self, now: float, server: Server) -> float:
        """Returns the mean time between two calls from this balancer to a cold server."""
        return spacing(self.warm_fraction(now, server), self.settings.rules.cold_multiple, self.rate.per_ms)

    def end_open_start(self, now: float) -> None:
        """Puts the first limit into use in zones without an answer `OPEN_START_MS` after the first call."""
        self.open_start_ends_ms = self.open_start_ends_ms or now + OPEN_START_MS
        if now >= self.open_start_ends_ms < float("inf"):
            self.open_start_ends_ms = float("inf")
            for zone in self.zones.values():
                zone.limiter.use_first_limit()

    def may_eject(self, server: Server) -> bool:
        """Whether two thirds of the server's zone stay usable; if more are slow, the cause lies elsewhere.

        For a zone of one or two servers, the entire fleet is considered, as their calls spill over to it.
        """
        zone = self.zones[server.endpoint.zone]
        return zone.ejection_headroom >= 3 or (
            zone.ready < SMALL_ZONE and sum(z.ejection_headroom for z in self.zones.values()) >= 3
        )
