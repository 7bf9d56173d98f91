"""The choice of a server: an even random pick in the first level that has a usable server with room."""

from __future__ import annotations

import random

from honeywharf.limits.load_control import LoadControl
from honeywharf.limits.response_times import SLOW_MULTIPLE, ResponseTimes
from honeywharf.policy import interface as api
from honeywharf.policy.endpoints import Endpoints, Server
from honeywharf.policy.requests import Request

FEW_CALLS = 2  # with more calls in flight at a server, one is late by chance
OVERDUE_SHARE = 0.1  # a server with an overdue answer keeps this part of its calls, so that recovery shows
MAX_PICKS = 8  # this many random picks find a half-usable level 255 times in 256


class Choice:
    """Tries the levels in order: own zone, every zone, and every ready server whatever its health."""

    def __init__(
        self,
        settings: api.Settings,
        rng: random.Random,
        endpoints: Endpoints,
        times: ResponseTimes,
    ) -> None:
        self.settings, self.random, self.endpoints, self.times = settings, rng, endpoints, times
        self.loads: LoadControl | None = None  # set where the nodes' load reports are read
        self.depth = 0  # the level that the last choice was made in

    def pick_server(self, now: float, request: Request) -> Server | None:
        """Returns an even random choice in the first level where a few picks find a usable server."""
        endpoints = self.endpoints
        if now >= endpoints.refresh_at:
            endpoints.refresh(now)
            self.apply_reports(now)
        endpoints.end_open_start(now)
        home, chance = endpoints.zones.get(self.settings.zone), self.random.random()
        for depth, level in enumerate(endpoints.levels):
            full = home is not None and not home.has_room(request.limit_share, chance)
            if depth == 0 and full and self.settings.tier == 0:
                continue  # in deeper tiers a refusal would only become a retry in the tier above
            server = self._pick(now, level, depth, request, chance)
            if server is not None:
                self.depth = depth
                return server
        return None

    def apply_reports(self, now: float) -> None:
        """Updates each zone's bounds on calls in flight by the nodes' load reports."""
        if self.loads is not None:
            for name, zone in self.endpoints.zones.items():
                self.loads.note_limited(name, zone.reports_limited)
                zone.local_factor, zone.remote_factor = (
                    self.loads.admitted_factor(now, name, False),
                    self.loads.admitted_factor(now, name, True),
                )
                zone.calls_per_server, zone.reports_limited = self.loads.hold(), False

    def _pick(
        self,
        now: float,
        level: list[Server],
        depth: int,
        request: Request,
        chance: float,
    ) -> Server | None:
        """Makes a few even picks and skips servers that are not usable or have no room."""
        if request.first_possible_run() is not None:  # only some servers may receive the retry
            level = [s for s in level if request.may_send_to(s.endpoint, now)]
        tried = request.attempts[-1].server if request.attempts else None
        limited, zones = depth > 0 and self.settings.tier == 0, self.endpoints.zones
        others = len(level) > 2  # guards against leaving a zone of one or two servers for one call
        late_ms = now - SLOW_MULTIPLE * self.times.typical_ms.get(request.cls.name, float("inf"))
        for _ in range(MAX_PICKS if level else 0):
            server = level[int(self.random.random() * len(level))]
            if (server is tried and len(level) > 1) or (server.cold and now < server.next_send_ms):
                continue
            if limited and not zones[server.endpoint.zone].has_room(
                request.limit_share, chance, server.endpoint.zone != self.settings.zone
            ):
                continue
            if depth < 2 and not accepts(now, server, request):
                continue
            if depth < 2 and is_overdue(server, late_ms) and others and self.random.random() >= OVERDUE_SHARE:
                continue
            weight = server.weight
            if self.loads is not None and depth < 2:
                weight *= self.loads.share(now, server.endpoint.id)
            if weight >= 1.0 or self.random.random() < weight:
                return server
        return None


def is_overdue(server: Server, late_ms: float) -> bool:
    """Whether the server has few calls in flight, and the oldest of them was sent before `late_ms`.

    Where many balancers share the servers, each gets too few answers of an overloaded server to eject it.
    """
    return 0 < len(server.calls) <= FEW_CALLS and next(iter(server.calls)).sent_ms < late_ms


def accepts(now: float, server: Server, request: Request) -> bool:
    """Whether the server may get the request: after an ejection, one repeatable call at a time."""
    if server.eject_streak and (server.calls or request.cls.effect is api.Effect.ONCE):
        return False
    return not server.unresponsive_until or server.unresponsive_until.get(request.cls.name, 0.0) <= now
