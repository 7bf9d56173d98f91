"""What a decision module has learned, as plain values, and another one that is to know it. Without I/O.

Zones' limits, usual times of answers, the rate of answers, what is held of single servers, and the retry
budget. What is read back is checked figure by figure: what makes no sense is left out, and the module
begins there as it would from nothing. Nothing that is learned is needed: it only spares the first
seconds.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Any

from honeywharf.limits.base import MAX_LIMIT
from honeywharf.limits.budget import RETRY_BURST
from honeywharf.limits.lateness import LatenessLimiter
from honeywharf.limits.response_times import TYPICAL_SAMPLES
from honeywharf.policy.balancer import Balancer
from honeywharf.policy.health import EJECTION_MS, SUSPICION_TO_EJECT_SMALL_ZONE

LONGEST_MS = 3600_000.0  # of any time of an answer
LONGEST_PAUSE_MS = 5.0 * EJECTION_MS  # that an ejection may still last
PACE_MOST = 10.0
MAX_ROWS = 20000  # servers, zones or classes that are read


def learned(balancer: Balancer) -> dict[str, Any]:
    """All that is given on."""
    zones = {}
    for name, zone in balancer.endpoints.zones.items():
        row: dict[str, Any] = {"limit": zone.limiter.limit}
        if isinstance(zone.limiter, LatenessLimiter):
            row.update(
                lateness=zone.limiter.lateness,
                flight=zone.limiter.required_in_flight,
                lowered=zone.limiter.lowered,
                overload=zone.limiter.overload_share,
                learned=zone.limiter.last_answer_ms,
            )
        zones[name] = row
    return {
        "at": balancer.now,
        "zones": zones,
        "rate": balancer.endpoints.rate.per_ms,
        "typical": dict(balancer.times.typical_ms),
        "base": dict(balancer.times.base_ms),
        "heard": dict(balancer.times.samples),
        "budget": balancer.budget.tokens,
        "settled": balancer.endpoints.open_start_ends_ms == float("inf"),
        "servers": {
            name: {
                "started": s.endpoint.started_ms,
                "out": s.ejected_until,
                "why": s.ejection_reason,
                "pauses": s.eject_streak,
                "suspicion": s.suspicion,
                "pace": s.relative_latency,
                "failures": s.failures,
                "back": s.reinstated_ms,
            }
            for name, s in balancer.endpoints.servers.items()
            if s.ejected_until > balancer.now
            or s.suspicion > 0
            or s.eject_streak
            or s.failures
            or s.reinstated_ms
            or abs(s.relative_latency - 1.0) > 0.05
        },
    }


def figure(row: Mapping[str, Any], name: str, least: float, most: float) -> float | None:
    """One figure within its bounds; None where it makes no sense."""
    value = row.get(name)
    if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
        return None
    return float(value) if least <= value <= most else None


def rows(value: Any) -> dict[str, Any]:
    """A table of objects by name, bounded; what is none is empty."""
    if not isinstance(value, dict):
        return {}
    return {k: v for k, v in list(value.items())[:MAX_ROWS] if isinstance(k, str) and isinstance(v, dict)}


def know(balancer: Balancer, now: float, given: Any) -> int:
    """Take over what another has learned; how many zones and servers were."""
    if not isinstance(given, dict):
        return 0
    _times(balancer, given)
    taken, endpoints = 0, balancer.endpoints
    for name, row in rows(given.get("zones")).items():
        zone, limit = endpoints.zones.get(name), figure(row, "limit", 1e-3, MAX_LIMIT)
        if zone is None or limit is None:
            continue
        zone.limiter.limit = limit
        if isinstance(zone.limiter, LatenessLimiter):
            _lateness(zone.limiter, row, now)
        taken += 1
    rate = figure(given, "rate", endpoints.rate.min_per_ms, 1e3)
    if rate is not None:
        endpoints.rate.per_ms = rate
    budget = figure(given, "budget", 0.0, RETRY_BURST)
    if budget is not None:
        balancer.budget.tokens = budget
    if given.get("settled") is True:
        endpoints.open_start_ends_ms = float("inf")
    for name, row in rows(given.get("servers")).items():
        server = endpoints.servers.get(name)
        if server is None or server.endpoint.started_ms != row.get("started"):
            continue  # another process than the one that this was learned of
        server.ejected_until = figure(row, "out", 0.0, now + LONGEST_PAUSE_MS) or 0.0
        server.ejection_reason = str(row.get("why"))[:64]
        server.eject_streak = int(figure(row, "pauses", 0, 1000) or 0)
        server.failures = int(figure(row, "failures", 0, 1000) or 0)
        server.suspicion = figure(row, "suspicion", 0.0, SUSPICION_TO_EJECT_SMALL_ZONE) or 0.0
        server.relative_latency = figure(row, "pace", 0.0, PACE_MOST) or 1.0
        server.reinstated_ms = figure(row, "back", 0.0, now) or 0.0
        taken += 1
    endpoints.refresh(now)
    return taken


def _lateness(limiter: LatenessLimiter, row: Mapping[str, Any], now: float) -> None:
    lateness, flight = figure(row, "lateness", 0.0, 100.0), figure(row, "flight", 0.0, MAX_LIMIT)
    overload, at = figure(row, "overload", 0.0, 1.0), figure(row, "learned", 0.0, now)
    if None not in (lateness, flight, overload, at) and isinstance(row.get("lowered"), bool):
        limiter.lateness, limiter.required_in_flight = lateness or 0.0, flight or 0.0
        limiter.overload_share, limiter.last_answer_ms, limiter.lowered = (
            overload or 0.0,
            at or 0.0,
            row["lowered"],
        )


def _times(balancer: Balancer, given: Mapping[str, Any]) -> None:
    typical, base, heard = (
        t if isinstance(t, dict) else {}
        for t in (given.get("typical"), given.get("base"), given.get("heard"))
    )
    for name in balancer.classes:
        usual, ease = figure(typical, name, 1e-3, LONGEST_MS), figure(base, name, 1e-3, LONGEST_MS)
        number = figure(heard, name, 1, TYPICAL_SAMPLES)
        if usual is not None and ease is not None and number is not None:
            balancer.times.typical_ms[name], balancer.times.base_ms[name] = usual, ease
            balancer.times.samples[name] = int(number)
