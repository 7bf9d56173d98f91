"""Servers as discovery lists them, their zones, and the levels that a choice is made from."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from honeywharf import limits
from honeywharf.limits.rate import AnswerRate
from honeywharf.limits.warmth import spacing, warmth
from honeywharf.limits.zone import Zone
from honeywharf.policy import interface as api

REVIEW_MS = 250.0  # how often slowly changing judgements are renewed: short against any trouble
EVEN_PACE = 1.2  # up to here a server keeps its even share; a slower one gets less, in the square of its pace
OPEN_MS = 50.0  # after the first call for which limits may be open: jams take longer, and fast servers answer
BACK_MS = 100.0  # for each balancer, in which the first call goes to one that an operator lets back
SMALL_ZONE = 3  # ready servers, under which one or two are no measure of their zone


@dataclass(slots=True, eq=False)
class Server:
    """What this balancer knows of one listed endpoint."""

    endpoint: api.Endpoint
    calls: dict[Attempt, None] = field(default_factory=dict)  # out, the oldest first; not those that hang
    silent: dict[str, float] = field(default_factory=dict)  # by class: until when it counts as absent
    failures: int = 0  # in a row
    ejections: int = 0
    suspicion: float = 0.0
    pace: float = 1.0
    pauses: int = 0  # ejections in a row without a success
    usable_at: float = 0.0  # ejected until then
    ejected_for: str = ""  # what it was ejected for last
    cold: bool = False
    next_ms: float = 0.0  # while it is cold: nothing is sent to it before
    share: float = 1.0  # of the even share that it is given; under 1 while it warms up
    back_ms: float = 0.0  # when an operator let it back, where nothing tells of a start since it was out


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a request. `ran` is False once it is proven never to have run."""

    request: str
    server: Server
    zone: Zone
    sent_ms: float
    ejections: int  # of the server when it was sent
    live: bool = True
    ran: bool = True
    counts: bool = True  # among the calls in flight of its zone
    hangs: bool = False

    def release(self) -> None:
        """Take it off its zone's calls in flight, once: the figure stays the sum of the calls that count."""
        if self.counts:
            self.counts = False
            self.zone.in_flight -= 1


class Endpoints:
    """All listed servers by id, and what is renewed of them now and then. Times are ms."""

    def __init__(
        self,
        settings: api.Settings,
        rng: random.Random,
        make_limiter: Callable[[], limits.Limiter],
    ) -> None:
        self.settings, self.random, self.make_limiter = settings, rng, make_limiter
        self.servers: dict[str, Server] = {}
        self.excluded: dict[str, float] = {}  # by an operator's word, since when
        self.zones: dict[str, Zone] = {}
        self.levels: list[list[Server]] = [[], [], []]
        self.review_at = 0.0
        aim = max(c.aim_ms for c in settings.classes)
        # Answers a ms of a warm server, to this balancer: at least one for each aim, over all balancers.
        self.rate = AnswerRate(1.0 / (aim * settings.balancers))
        self.settles_ms = 0.0  # when zones that have not answered since the first call begin at a first value

    def listed(self, now: float, event: api.EndpointsListed) -> None:
        """Take over a list, or changes of it."""
        if event.kind is not api.ListKind.CHANGES:
            named = {e.id for e in event.endpoints}
            for gone in [key for key in self.servers if key not in named]:
                self.leave(self.servers.pop(gone))
        for endpoint in event.endpoints:
            if endpoint.zone not in self.zones:
                self.zones[endpoint.zone] = Zone(self.make_limiter())
                if self.settles_ms == float("inf"):
                    self.zones[endpoint.zone].limiter.settle()
            known = self.servers.get(endpoint.id)
            if known is not None and (
                endpoint.state is not api.EndpointState.READY
                or known.endpoint.started_ms != endpoint.started_ms
            ):
                self.leave(known)
            if endpoint.state is api.EndpointState.GONE:
                self.servers.pop(endpoint.id, None)
            elif known is None or known.endpoint.started_ms != endpoint.started_ms:
                known = self.servers[endpoint.id] = Server(endpoint)  # a new process has a clean record
                if self.warmth(now, known) < 1.0:
                    known.next_ms = now + self.random.uniform(0.0, 1.0) * self.spacing(now, known)
            else:
                known.endpoint = endpoint
        self.review(now)

    def leave(self, server: Server) -> None:
        """It takes nothing new: its calls hold no others up, nor do their ends teach what fits elsewhere."""
        server.ejections += 1
        for call in server.calls:
            call.release()

    def exclude(self, now: float, names: frozenset[str]) -> None:
        """Take over who is out by an operator's word."""
        for name in [n for n in self.excluded if n not in names]:
            since, server = self.excluded.pop(name), self.servers.get(name)
            if server is not None and (server.endpoint.started_ms or 0.0) < since:
                # Guards a backend that was restarted meanwhile, which discovery may tell of later.
                server = self.servers[name] = Server(server.endpoint, back_ms=now)
                server.next_ms = now + self.random.uniform(0.0, BACK_MS * self.settings.balancers)
        for name in names:
            if self.excluded.setdefault(name, now) == now and name in self.servers:
                self.leave(self.servers[name])
        self.review(now)

    def review(self, now: float) -> None:
        """Renew each server's share and the levels: own zone, every zone, and all that is ready."""
        self.review_at = now + REVIEW_MS
        ready = [
            s
            for s in self.servers.values()
            if s.endpoint.state is api.EndpointState.READY and s.endpoint.id not in self.excluded
        ]
        for server in ready:
            fitness = min(1.0, EVEN_PACE / server.pace) ** 2
            warmth = self.warmth(now, server)
            server.cold, server.share = warmth < 1.0, warmth * max(0.2, fitness)
        # Ejection never leaves a live fleet unusable: with none usable, all that are ready count as usable.
        usable = [s for s in ready if s.usable_at <= now] or ready
        self.rate.look(now, sum(s.share for s in usable))
        self.levels = [[s for s in usable if s.endpoint.zone == self.settings.zone], usable, usable]
        for zone in self.zones.values():
            zone.spare, zone.ready, zone.capacity = 0, 0, 0.0
        for server in ready:
            self.zones[server.endpoint.zone].spare -= 2
            self.zones[server.endpoint.zone].ready += 1
            if server.cold and server.next_ms > now + 1.5 * self.spacing(now, server):
                # Guards against a wait from when this balancer did not know yet what servers answer.
                server.next_ms = now + self.random.uniform(0.0, 1.5) * self.spacing(now, server)
        for server in usable:
            # Guards against pushing over the first cold servers of a zone that has lost all others.
            self.zones[server.endpoint.zone].capacity += server.share
            self.zones[server.endpoint.zone].spare += 3
        for zone in self.zones.values():
            zone.share_sliver(self.settings.balancers)

    def warmth(self, now: float, server: Server) -> float:
        """The part of its capacity that a server has at least: its part of the calls never exceeds that."""
        rules, started = self.settings.rules, max(server.endpoint.started_ms or 0.0, server.back_ms)
        return warmth(now, started, rules.cold_share, rules.warm_after_ms)

    def spacing(self, now: float, server: Server) -> float:
        """The usual time between two calls from this balancer to a cold server."""
        return spacing(self.warmth(now, server), self.settings.rules.cold_multiple, self.rate.per_ms)

    def settle(self, now: float) -> None:
        """Some time after the first call: zones that have not answered begin at a first value."""
        self.settles_ms = self.settles_ms or now + OPEN_MS
        if now >= self.settles_ms < float("inf"):
            self.settles_ms = float("inf")
            for zone in self.zones.values():
                zone.limiter.settle()

    def can_spare(self, server: Server) -> bool:
        """Whether two thirds of its zone stay usable: if more is slow, the trouble is not the server's.

        One or two servers are no measure of that: there the whole fleet is, and calls spill to it.
        """
        zone = self.zones[server.endpoint.zone]
        return zone.spare >= 3 or (zone.ready < SMALL_ZONE and sum(z.spare for z in self.zones.values()) >= 3)
