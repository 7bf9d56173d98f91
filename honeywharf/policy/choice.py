"""The choice: an even random pick in the first level that holds a usable server with room."""

from __future__ import annotations

import random

from honeywharf.limits.load import LoadControl
from honeywharf.limits.times import SLOW_FROM, Times
from honeywharf.policy import interface as api
from honeywharf.policy.endpoints import Endpoints, Server
from honeywharf.policy.requests import Request

FEW = 2  # calls at a server: of more, one is late by chance, and their answers are told by `health`
OWING_SHARE = 0.1  # of its calls that one that owes keeps: else nothing shows that a single call hangs
PICKS = 8  # random picks at a level before it counts as empty: finds a half-usable level 255 times in 256


class Choice:
    """Walks the levels: own zone, every zone, and all that is ready whatever is known of it."""

    def __init__(
        self,
        settings: api.Settings,
        rng: random.Random,
        endpoints: Endpoints,
        times: Times,
    ) -> None:
        self.settings, self.random, self.endpoints, self.times = settings, rng, endpoints, times
        self.loads: LoadControl | None = None  # where nodes' reports are read
        self.depth = 0  # of the level that the last choice was made in

    def server(self, now: float, request: Request) -> Server | None:
        """An even random choice in the first level where a few picks find a usable server."""
        endpoints = self.endpoints
        if now >= endpoints.review_at:
            endpoints.review(now)
            self.reported(now)
        endpoints.settle(now)
        home, chance = endpoints.zones.get(self.settings.zone), self.random.random()
        for depth, level in enumerate(endpoints.levels):
            crowded = home is not None and not home.has_room(request.room, chance)
            if depth == 0 and crowded and self.settings.tier == 0:
                continue  # deeper down a refusal would only become a retry above
            server = self._pick(now, level, depth, request, chance)
            if server is not None:
                self.depth = depth
                return server
        return None

    def reported(self, now: float) -> None:
        """Take over what nodes' reports leave open of each zone."""
        if self.loads is not None:
            for name, zone in self.endpoints.zones.items():
                self.loads.bound(name, zone.bound)
                zone.open, zone.away = self.loads.open(now, name, False), self.loads.open(now, name, True)
                zone.hold, zone.bound = self.loads.hold(), False

    def _pick(
        self,
        now: float,
        level: list[Server],
        depth: int,
        request: Request,
        chance: float,
    ) -> Server | None:
        """A few even picks; what is not usable, or has no room, is passed over."""
        if request.may_have_run() is not None:  # a retry that may only go to some servers
            level = [s for s in level if request.may_send_to(s.endpoint, now)]
        tried = request.attempts[-1].server if request.attempts else None
        gated, zones = depth > 0 and self.settings.tier == 0, self.endpoints.zones
        others = len(level) > 2  # guards against leaving a zone of one or two servers for what one call does
        late_ms = now - SLOW_FROM * self.times.typical_ms.get(request.cls.name, float("inf"))
        for _ in range(PICKS if level else 0):
            server = level[int(self.random.random() * len(level))]
            if (server is tried and len(level) > 1) or (server.cold and now < server.next_ms):
                continue
            if gated and not zones[server.endpoint.zone].has_room(
                request.room, chance, server.endpoint.zone != self.settings.zone
            ):
                continue
            if depth < 2 and not answers(now, server, request):
                continue
            if depth < 2 and owes(server, late_ms) and others and self.random.random() >= OWING_SHARE:
                continue
            share = server.share
            if self.loads is not None and depth < 2:
                share *= self.loads.share(now, server.endpoint.id)
            if share >= 1.0 or self.random.random() < share:
                return server
        return None


def owes(server: Server, late_ms: float) -> bool:
    """Whether the server holds few calls, and owes an answer to one sent before `late_ms`.

    Where many balancers share the servers, each has too few answers of a jammed one to eject it.
    """
    return 0 < len(server.calls) <= FEW and next(iter(server.calls)).sent_ms < late_ms


def answers(now: float, server: Server, request: Request) -> bool:
    """Whether the server is known to answer; half open, it gets one repeatable call at a time."""
    if server.pauses and (server.calls or request.cls.effect is api.Effect.ONCE):
        return False
    return not server.silent or server.silent.get(request.cls.name, 0.0) <= now
