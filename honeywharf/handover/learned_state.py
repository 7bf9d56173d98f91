"""Export and import of a balancer's learned state as plain values. Without I/O.

The state holds the limits of zones, typical and base response times, the response rate, the health of servers
and the retry budget. The import checks each number; an invalid one is skipped, and the balancer keeps its
initial value. No part of the state is required: it only shortens the time until the balancer has adapted.
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

MAX_RESPONSE_TIME_MS = 3600_000.0
MAX_REMAINING_EJECTION_MS = 5.0 * EJECTION_MS
MAX_RELATIVE_LATENCY = 10.0
MAX_ROWS = 20000  # The limit applies to servers and to zones.


def export_learned_state(balancer: Balancer) -> dict[str, Any]:
    """Returns the learned state of a balancer as plain values."""
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


def bounded_number(row: Mapping[str, Any], name: str, minimum: float, maximum: float) -> float | None:
    """Returns a number of a row; None if it is missing, not a number or out of bounds."""
    value = row.get(name)
    if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
        return None
    return float(value) if minimum <= value <= maximum else None


def named_rows(value: Any) -> dict[str, Any]:
    """Returns at most `MAX_ROWS` objects by name; an invalid table counts as empty."""
    if not isinstance(value, dict):
        return {}
    return {k: v for k, v in list(value.items())[:MAX_ROWS] if isinstance(k, str) and isinstance(v, dict)}


def import_learned_state(balancer: Balancer, now: float, learned: Any) -> int:
    """Imports the state of another balancer; returns the number of imported zones and servers."""
    if not isinstance(learned, dict):
        return 0
    _import_response_times(balancer, learned)
    imported, endpoints = 0, balancer.endpoints
    for name, row in named_rows(learned.get("zones")).items():
        zone, limit = endpoints.zones.get(name), bounded_number(row, "limit", 1e-3, MAX_LIMIT)
        if zone is None or limit is None:
            continue
        zone.limiter.limit = limit
        if isinstance(zone.limiter, LatenessLimiter):
            _import_lateness(zone.limiter, row, now)
        imported += 1
    rate = bounded_number(learned, "rate", endpoints.rate.min_per_ms, 1e3)
    if rate is not None:
        endpoints.rate.per_ms = rate
    budget = bounded_number(learned, "budget", 0.0, RETRY_BURST)
    if budget is not None:
        balancer.budget.tokens = budget
    if learned.get("settled") is True:
        endpoints.open_start_ends_ms = float("inf")
    for name, row in named_rows(learned.get("servers")).items():
        server = endpoints.servers.get(name)
        if server is None or server.endpoint.started_ms != row.get("started"):
            continue  # The server has restarted since the state was learned.
        server.ejected_until = bounded_number(row, "out", 0.0, now + MAX_REMAINING_EJECTION_MS) or 0.0
        server.ejection_reason = str(row.get("why"))[:64]
        server.eject_streak = int(bounded_number(row, "pauses", 0, 1000) or 0)
        server.failures = int(bounded_number(row, "failures", 0, 1000) or 0)
        server.suspicion = bounded_number(row, "suspicion", 0.0, SUSPICION_TO_EJECT_SMALL_ZONE) or 0.0
        server.relative_latency = bounded_number(row, "pace", 0.0, MAX_RELATIVE_LATENCY) or 1.0
        server.reinstated_ms = bounded_number(row, "back", 0.0, now) or 0.0
        imported += 1
    endpoints.refresh(now)
    return imported


def _import_lateness(limiter: LatenessLimiter, row: Mapping[str, Any], now: float) -> None:
    lateness, required_in_flight_calls = (
        bounded_number(row, "lateness", 0.0, 100.0),
        bounded_number(row, "flight", 0.0, MAX_LIMIT),
    )
    overload, learned_ms = (
        bounded_number(row, "overload", 0.0, 1.0),
        bounded_number(row, "learned", 0.0, now),
    )
    if None not in (lateness, required_in_flight_calls, overload, learned_ms) and isinstance(
        row.get("lowered"), bool
    ):
        limiter.lateness, limiter.required_in_flight = lateness or 0.0, required_in_flight_calls or 0.0
        limiter.overload_share, limiter.last_answer_ms, limiter.lowered = (
            overload or 0.0,
            learned_ms or 0.0,
            row["lowered"],
        )


def _import_response_times(balancer: Balancer, learned: Mapping[str, Any]) -> None:
    typical_times_ms, base_times_ms, sample_counts = (
        t if isinstance(t, dict) else {}
        for t in (learned.get("typical"), learned.get("base"), learned.get("heard"))
    )
    for name in balancer.classes:
        typical_time_ms, base_time_ms = (
            bounded_number(typical_times_ms, name, 1e-3, MAX_RESPONSE_TIME_MS),
            bounded_number(base_times_ms, name, 1e-3, MAX_RESPONSE_TIME_MS),
        )
        sample_count = bounded_number(sample_counts, name, 1, TYPICAL_SAMPLES)
        if typical_time_ms is not None and base_time_ms is not None and sample_count is not None:
            balancer.times.typical_ms[name], balancer.times.base_ms[name] = typical_time_ms, base_time_ms
            balancer.times.samples[name] = int(sample_count)
