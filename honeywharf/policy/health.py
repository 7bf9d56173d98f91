"""Outlier detection: which servers count as absent for a while."""

from __future__ import annotations

import random

from honeywharf.limits.times import SLOW_FROM, Times
from honeywharf.policy import interface as api
from honeywharf.policy.endpoints import SMALL_ZONE, Endpoints, Server
from honeywharf.policy.requests import Request

DEAD_AFTER = 4  # failures in a row; a failed connection counts twice: a dead process refuses the next one too
STRAIN_MOST = 3.0  # what one call can add, a failed one included: no server is judged by a single call
SUSPECT_AT = 6.0  # suspicion that ejects: by chance alone about once in some hundred calls
EARLY = 0.5  # typical times: a reset before that tells of a connection at least as much as of its server
EARLY_STRAIN = 1.0  # of one
SUSPECT_SMALL = 12.0  # the same in a zone of one or two servers, of which an ejection takes half at least
PAUSE_MS = 2500.0  # first ejection: long enough for a crowded server to empty; doubled up to 4 times that
PACE_OVER = 6  # answers over which a server's own pace, in typical answer times, is formed
SILENT_MS = 10000.0  # without calls of a class that ran out of time there: each trial may cost a request
FULL_MS = 1000.0  # pause after a refusal: a server that is full needs that long to work its queue down


class OutlierDetection:
    """Ejects servers whose recent calls failed, or came far later than is typical (a running sum)."""

    def __init__(self, rng: random.Random, endpoints: Endpoints, times: Times) -> None:
        self.random, self.endpoints, self.times = rng, endpoints, times

    def hurried(self, request: Request, event: api.AttemptEnded) -> bool:
        """Whether the attempt failed for the little time that its caller had left (`Times.hurried`)."""
        if event.outcome not in (api.Outcome.TIMEOUT, api.Outcome.ERROR):
            return False
        given = request.deadline - request.attempts[event.attempt].sent_ms
        return self.times.hurried(request.cls.name, given)

    def judge(self, now: float, server: Server, request: Request, event: api.AttemptEnded) -> None:
        """Take one outcome into account."""
        times = self.times
        if event.outcome in (api.Outcome.CANCELLED, api.Outcome.NOT_SENT) or self.hurried(request, event):
            return
        name, strain = request.cls.name, STRAIN_MOST
        if event.outcome is api.Outcome.OK:
            pace, strain = times.pace(name, event.elapsed_ms, STRAIN_MOST + SLOW_FROM)
            server.pace += (pace - server.pace) / PACE_OVER
            server.failures = 0
            server.silent.pop(name, None)
            self.endpoints.rate.answers += 1
            if strain < 0:
                server.pauses = 0
        else:
            if event.outcome is api.Outcome.TIMEOUT and server.failures > 0:
                # Guards against a server that takes calls, of all classes or of one, and answers none.
                # One call alone may be a connection that fell silent.
                server.silent[name] = now + SILENT_MS * self.random.uniform(0.75, 1.25)
            server.failures += 2 if event.outcome is api.Outcome.CONNECT_FAILED else 1
        if event.outcome is api.Outcome.REJECTED:
            # Guards against filling each slot of a jammed server at the moment it frees.
            if server.usable_at <= now and self.endpoints.can_spare(server):
                self._eject(now, server, FULL_MS, "turned a call away")
            return
        if event.outcome is api.Outcome.RESET and event.elapsed_ms < EARLY * times.typical_ms.get(name, 0.0):
            strain = EARLY_STRAIN
        self.suspect(now, server, strain, event.outcome is not api.Outcome.CONNECT_FAILED)

    def suspect(self, now: float, server: Server, strain: float, spare: bool = True) -> None:
        """Add to the suspicion, and eject where it is enough."""
        server.suspicion = max(0.0, server.suspicion + strain)
        small = self.endpoints.zones[server.endpoint.zone].ready < SMALL_ZONE
        enough = SUSPECT_SMALL if small else SUSPECT_AT
        suspect = server.failures >= DEAD_AFTER or server.suspicion >= enough
        # Guards against emptying a zone for what a tier behind all its servers gets wrong.
        if server.usable_at <= now and suspect and (not spare or self.endpoints.can_spare(server)):
            dead = server.failures >= DEAD_AFTER
            self._eject(now, server, PAUSE_MS, "failures in a row" if dead else "late or failing answers")

    def _eject(self, now: float, server: Server, pause_ms: float, why: str) -> None:
        """Take the server out for a while; the first calls after that are trials, one at a time."""
        server.usable_at = now + pause_ms * 2 ** min(server.pauses, 2) * self.random.uniform(0.75, 1.25)
        server.ejected_for = why
        self.endpoints.leave(server)
        server.suspicion = SUSPECT_AT / 2
        server.pauses += 1
        self.endpoints.review(now)
