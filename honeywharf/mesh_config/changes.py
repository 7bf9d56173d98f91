"""Lists the differences between two configurations, a line each, for a review before one is sent."""

from __future__ import annotations

from collections.abc import Iterator

from honeywharf.mesh_config.routes import Route, RoutingTable, Service

#: The compared attributes, each with its name in the configuration.
ROUTE_FIELDS = (
    ("name", "name"),
    ("kind", "route-kind"),
    ("timeout_s", "timeout"),
    ("latency_target_s", "target-latency"),
    ("priority", "priority"),
    ("max_attempts", "max-attempts"),
    ("allowed_regions", "allowed-regions"),
)
SERVICE_FIELDS = (
    ("health_check_path", "health-check-path"),
    ("max_connections", "max-connections"),
    ("slow_start_s", "cold-start"),
    ("slow_start_requests_per_s", "cold-per-s"),
)
LIMIT_FIELDS = (
    ("max_header_bytes", "max-header-bytes"),
    ("max_body_bytes", "max-body-bytes"),
    ("header_timeout_s", "header-timeout"),
    ("idle_timeout_s", "idle-timeout"),
)


def changes(before: RoutingTable, after: RoutingTable) -> Iterator[str]:
    """Yields one line for each change: the version, limits, services by name, routes by host and prefix."""
    if before.version != after.version:
        yield f"version: r{before.version} -> r{after.version}"
    yield from _fields("limits", before.limits, after.limits, LIMIT_FIELDS)
    for name in sorted({*before.services, *after.services}):
        yield from _service(name, before.services.get(name), after.services.get(name))
    old = {(route.host, route.prefix): route for route in before.all_routes()}
    new = {(route.host, route.prefix): route for route in after.all_routes()}
    for key in sorted({*old, *new}):
        yield from _route(old.get(key), new.get(key))


def format_route(route: Route) -> str:
    """Returns a route's host and prefix as text."""
    return (route.host + route.prefix).decode("utf-8", "backslashreplace")


def format_split(route: Route) -> str:
    """Returns the services of a route, with the percentage of each if there are several."""
    total = sum(weight for _, weight in route.split)
    if len(route.split) == 1:
        return route.split[0][0]
    return ", ".join(f"{name} {100 * weight / total:.4g}%" for name, weight in route.split)


def format_value(name: str, value: object) -> str:
    """Returns an attribute's value with its unit; names of times end in `_s`, those of rates in `_per_s`."""
    if isinstance(value, float):
        is_time = name.endswith("_s") and not name.endswith("_per_s")
        return f"{value:g}s" if is_time else f"{value:g}"
    return str(value)


def _fields(
    label: str,
    before: object,
    after: object,
    names: tuple[tuple[str, str], ...],
) -> Iterator[str]:
    parts = []
    for name, setting in names:
        old, new = getattr(before, name), getattr(after, name)
        if old != new:
            parts.append(f"{setting} {format_value(name, old)} -> {format_value(name, new)}")
    if parts:
        yield f"{label}: {'; '.join(parts)}"


def _service(name: str, before: Service | None, after: Service | None) -> Iterator[str]:
    if before is None or after is None:
        yield f"service {name}: {'added' if before is None else 'removed'}"
    else:
        yield from _fields(f"service {name}", before, after, SERVICE_FIELDS)


def _route(before: Route | None, after: Route | None) -> Iterator[str]:
    if before is None or after is None:
        route = after if before is None else before
        if route is not None:
            action = "added" if before is None else "removed"
            yield f"{format_route(route)}: {action}, {route.kind}, to {format_split(route)}"
        return
    if sorted(before.split) != sorted(after.split):
        yield f"{format_route(after)}: to {format_split(before)} -> {format_split(after)}"
    yield from _fields(format_route(after), before, after, ROUTE_FIELDS)
