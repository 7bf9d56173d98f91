"""Outlier detection: which servers are ejected, and for how long."""

from __future__ import annotations

import random

from honeywharf.limits.response_times import SLOW_MULTIPLE, ResponseTimes
from honeywharf.policy import interface as api
from honeywharf.policy.endpoints import SMALL_ZONE, Endpoints, Server
from honeywharf.policy.requests import Request

FAILURES_TO_EJECT = 4  # in a row; a failed connection counts twice, as a dead process fails the next one too
MAX_CALL_SUSPICION = 3.0  # a failed call adds no more either, so that no single call ejects a server
SUSPICION_TO_EJECT = 6.0  # healthy servers reach it by chance about once in some hundred calls
EARLY_RESET_MULTIPLE = 0.5  # in typical times; an earlier reset is as likely the connection's fault
EARLY_RESET_SUSPICION = 1.0
SUSPICION_TO_EJECT_SMALL_ZONE = 12.0  # an ejection takes at least half of a zone of one or two servers
EJECTION_MS = 2500.0  # long enough for an overloaded server to drain; repeated ones take up to 4 times that
RELATIVE_LATENCY_SAMPLES = 6  # the number of answers in the running mean
UNRESPONSIVE_MS = 10000.0  # a class that timed out at a server avoids it, as each attempt may cost a request
FULL_EJECTION_MS = 1000.0  # a full server needs that long to work off its queue


class OutlierDetection:
    """Ejects servers whose recent calls failed, or came far later than is typical (a running sum)."""

    def __init__(self, rng: random.Random, endpoints: Endpoints, times: ResponseTimes) -> None:
        self.random, self.endpoints, self.times = rng, endpoints, times

    def lacked_time(self, request: Request, event: api.AttemptEnded) -> bool:
        """Whether the attempt failed as its caller had too little time left (`ResponseTimes.too_short`)."""
        if event.outcome not in (api.Outcome.TIMEOUT, api.Outcome.ERROR):
            return False
        available_ms = request.deadline - request.attempts[event.attempt].sent_ms
        return self.times.too_short(request.cls.name, available_ms)

    def record(self, now: float, server: Server, request: Request, event: api.AttemptEnded) -> None:
        """Updates a server's health by one outcome, and ejects the server where that is called for."""
        times = self.times
        if event.outcome in (api.Outcome.CANCELLED, api.Outcome.NOT_SENT) or self.lacked_time(request, event):
            return
        name, suspicion = request.cls.name, MAX_CALL_SUSPICION
        if event.outcome is api.Outcome.OK:
            latency, suspicion = times.compare(name, event.elapsed_ms, MAX_CALL_SUSPICION + SLOW_MULTIPLE)
            server.relative_latency += (latency - server.relative_latency) / RELATIVE_LATENCY_SAMPLES
            server.failures = 0
            server.unresponsive_until.pop(name, None)
            self.endpoints.rate.answers += 1
            if suspicion < 0:
                server.eject_streak = 0
        else:
            if event.outcome is api.Outcome.TIMEOUT and server.failures > 0:
                # Guards against a server that takes calls, of all classes or of one, and answers none.
                # A single time-out may be the fault of one connection.
                server.unresponsive_until[name] = now + UNRESPONSIVE_MS * self.random.uniform(0.75, 1.25)
            server.failures += 2 if event.outcome is api.Outcome.CONNECT_FAILED else 1
        if event.outcome is api.Outcome.REJECTED:
            # Guards against filling each slot of an overloaded server as soon as it becomes free.
            if server.ejected_until <= now and self.endpoints.may_eject(server):
                self._eject(now, server, FULL_EJECTION_MS, "turned a call away")
            return
        if (
            event.outcome is api.Outcome.RESET
            and event.elapsed_ms < EARLY_RESET_MULTIPLE * times.typical_ms.get(name, 0.0)
        ):
            suspicion = EARLY_RESET_SUSPICION
        self.add_suspicion(now, server, suspicion, event.outcome is not api.Outcome.CONNECT_FAILED)

    def add_suspicion(self, now: float, server: Server, added: float, headroom: bool = True) -> None:
        """Adds suspicion, and ejects the server if it suffices and, for `headroom`, enough others work."""
        server.suspicion = max(0.0, server.suspicion + added)
        small = self.endpoints.zones[server.endpoint.zone].ready < SMALL_ZONE
        enough = SUSPICION_TO_EJECT_SMALL_ZONE if small else SUSPICION_TO_EJECT
        unhealthy = server.failures >= FAILURES_TO_EJECT or server.suspicion >= enough
        # Guards against emptying a zone for faults of a tier behind all its servers.
        if server.ejected_until <= now and unhealthy and (not headroom or self.endpoints.may_eject(server)):
            dead = server.failures >= FAILURES_TO_EJECT
            self._eject(now, server, EJECTION_MS, "failures in a row" if dead else "late or failing answers")

    def _eject(self, now: float, server: Server, ms: float, why: str) -> None:
        """Ejects the server for a while; afterwards it gets single calls until one succeeds."""
        server.ejected_until = now + ms * 2 ** min(server.eject_streak, 2) * self.random.uniform(0.75, 1.25)
        server.ejection_reason = why
        self.endpoints.discount_attempts(server)
        server.suspicion = SUSPICION_TO_EJECT / 2
        server.eject_streak += 1
        self.endpoints.refresh(now)
