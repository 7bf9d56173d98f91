"""Read-only views of the balancer's state, for operators. Without I/O.

Times are in ms; calls and limits are those of this proxy alone. A limit is the number of calls in flight to
all usable servers of a zone together.
"""

from __future__ import annotations

from typing import Any

from honeywharf.policy import interface as api
from honeywharf.policy.balancer import Balancer
from honeywharf.policy.endpoints import Server

MAX_ROWS = 5000  # The limit applies to endpoints; their full number is reported beside them.


def zones(balancer: Balancer) -> list[dict[str, Any]]:
    """Returns each zone with its limit, calls in flight and servers."""
    ejected: dict[str, int] = {}
    for server in balancer.endpoints.servers.values():
        if server.ejected_until > balancer.now:
            ejected[server.endpoint.zone] = ejected.get(server.endpoint.zone, 0) + 1
    return [
        {
            "zone": name,
            "own": name == balancer.settings.zone,
            "limit": zone.limiter.limit * zone.capacity,
            "in_flight": zone.in_flight,
            "capacity": zone.capacity,
            "ready": zone.ready,
            "ejected": ejected.get(name, 0),
            "crowded": zone.limiter.congested(),
            # Load reports give these factors and this limit; without reports they are omitted.
            **(
                {
                    "open": zone.local_factor,
                    "open_to_others": zone.remote_factor,
                    "hold": zone.calls_per_server * zone.capacity,
                }
                if zone.local_factor >= 0.0
                else {}
            ),
        }
        for name, zone in sorted(balancer.endpoints.zones.items())
    ]


def state_of(server: Server, now: float) -> str:
    """Returns the state of a server as the balancer sees it."""
    state = server.endpoint.state
    if state is not api.EndpointState.READY:
        return str(state.value)
    if server.ejected_until > now:
        return "ejected"
    if server.eject_streak:
        return "on trial"
    return "cold" if server.cold else "usable"


def endpoint(server: Server, now: float) -> dict[str, Any]:
    """Returns one server, with the reason and the remaining time of its ejection."""
    row: dict[str, Any] = {
        "endpoint": server.endpoint.id,
        "zone": server.endpoint.zone,
        "state": state_of(server, now),
        "calls": len(server.calls),
        "share": server.weight,
        "pace": server.relative_latency,
        "suspicion": server.suspicion,
        "failures": server.failures,
        "ejections": server.ejections,
    }
    if server.ejected_until > now:
        row["why"], row["out_for_ms"] = server.ejection_reason, server.ejected_until - now
    silent = sorted(name for name, until in server.unresponsive_until.items() if until > now)
    if silent:
        row["silent"] = silent
    return row


def endpoints(balancer: Balancer) -> dict[str, Any]:
    """Returns all servers: ejected ones first, then by zone and id."""
    servers = sorted(
        balancer.endpoints.servers.values(),
        key=lambda s: (s.ejected_until <= balancer.now, s.endpoint.zone, s.endpoint.id),
    )
    return {"number": len(servers), "endpoints": [endpoint(s, balancer.now) for s in servers[:MAX_ROWS]]}


def status(balancer: Balancer) -> dict[str, Any]:
    """Returns a summary of the balancer's state."""
    now, servers = balancer.now, balancer.endpoints.servers.values()
    states: dict[str, int] = {}
    for server in servers:
        server_state = state_of(server, now)
        states[server_state] = states.get(server_state, 0) + 1
    return {
        "zones": zones(balancer),
        "endpoints": states,
        "requests": len(balancer.requests),
        "retry_budget": balancer.budget.tokens,
        "own_share": balancer.admission.loop.share,
        "usual_ms": dict(balancer.times.typical_ms),
        "base_ms": dict(balancer.times.base_ms),
        "storms": balancer.storms.words() if balancer.storms is not None else "",
    }
