"""The routing table, which maps requests to services; every sidecar builds it from a checked configuration.

Theory of operation. The table has one dictionary of prefixes for each host. A path is looked up by its
longest beginning that ends with a slash and does not exceed the host's longest prefix, then by the next
shorter one, and so on: the cost depends on the number of slashes, not on the number of routes. Prefixes begin
and end with a slash, so nothing else can match. Values that many routes share (names, times, splits) are
interned, and the JSON of each route is dropped as soon as it is read: a table takes some 260 bytes per route,
and 460 besides the text while it is built (1,000 routes).
"""

from __future__ import annotations

import json
from collections.abc import Callable

from honeywharf.mesh_config.quantities import seconds

READ_ONLY = "read_only"
MUTATING = "mutating"
UPLOAD = "upload"

#: The defaults of optional fields. Source: PROTOCOL, "Configurations".
DEFAULT_HEALTH_CHECK_PATH = "/health"
DEFAULT_MAX_CONNECTIONS = 100
DEFAULT_MAX_HEADER_BYTES = 16384
DEFAULT_MAX_BODY_BYTES = 64 << 20
DEFAULT_HEADER_TIMEOUT_S = 3.0
DEFAULT_IDLE_TIMEOUT_S = 15.0
SLASH = b"/"


class Service:
    """One service: its health check, and the capacity of its backends.

    `slow_start_s` is the duration of a backend's slow start; `slow_start_requests_per_s` is its capacity
    meanwhile.
    """

    __slots__ = ("health_check_path", "max_connections", "name", "slow_start_requests_per_s", "slow_start_s")

    def __init__(self, fields: dict[str, object]) -> None:
        """Reads a service's JSON object. Raises KeyError, TypeError or ValueError for an unchecked one."""
        self.name = str(fields["name"])
        self.health_check_path = str(_get(fields, "health-check-path", DEFAULT_HEALTH_CHECK_PATH))
        self.max_connections = _integer(_get(fields, "max-connections", DEFAULT_MAX_CONNECTIONS))
        self.slow_start_s = seconds(_get(fields, "cold-start", "0s"))
        self.slow_start_requests_per_s = _float(_get(fields, "cold-per-s", float("inf")))


class Limits:
    """The limits of a client's requests and connections, in bytes and seconds."""

    __slots__ = ("header_timeout_s", "idle_timeout_s", "max_body_bytes", "max_header_bytes")

    def __init__(self, fields: dict[str, object]) -> None:
        """Reads the JSON object of the limits. Raises TypeError or ValueError for an unchecked one."""
        self.max_header_bytes = _integer(_get(fields, "max-header-bytes", DEFAULT_MAX_HEADER_BYTES))
        self.max_body_bytes = _integer(_get(fields, "max-body-bytes", DEFAULT_MAX_BODY_BYTES))
        self.header_timeout_s = seconds(_get(fields, "header-timeout", f"{DEFAULT_HEADER_TIMEOUT_S}s"))
        self.idle_timeout_s = seconds(_get(fields, "idle-timeout", f"{DEFAULT_IDLE_TIMEOUT_S}s"))


class Route:
    """One route. Times are seconds; `split` has pairs (service, weight) with weights above 0.

    A request may run, and its body may be stored, only in the `allowed_regions`, sorted by name; an empty
    tuple allows all regions.
    """

    __slots__ = (
        "allowed_regions",
        "host",
        "kind",
        "latency_target_s",
        "max_attempts",
        "name",
        "prefix",
        "priority",
        "split",
        "timeout_s",
    )

    name: str
    host: bytes  # In lower case, without a port.
    prefix: bytes
    kind: str
    timeout_s: float
    latency_target_s: float
    priority: int  # The highest priority is 0.
    max_attempts: int  # A request of a client may be sent to at most this many backends.
    allowed_regions: tuple[str, ...]
    split: tuple[tuple[str, float], ...]

    @property
    def is_idempotent(self) -> bool:
        """Returns whether a request may run more than once, because it only reads."""
        return self.kind == READ_ONLY

    @property
    def is_upload(self) -> bool:
        """Returns whether the route takes uploads, whose bodies are large."""
        return self.kind == UPLOAD

    def service(self, draw: float) -> str:
        """Returns the service for a request, by weight; `draw` is a uniform random number in [0, 1)."""
        split = self.split
        if len(split) == 1:
            return split[0][0]
        remaining = draw * sum(weight for _, weight in split)
        for name, weight in split:
            remaining -= weight
            if remaining < 0.0:
                return name
        return split[-1][0]  # Rounding errors can leave a remainder.


def _get(fields: dict[str, object], key: str, default: object) -> object:
    value = fields.get(key)
    return default if value is None else value


def _integer(value: object) -> int:
    if not isinstance(value, int | float):
        raise ValueError(f"expected a number, got {value!r}")
    return int(value)


def _float(value: object) -> float:
    if not isinstance(value, int | float):
        raise ValueError(f"expected a number, got {value!r}")
    return float(value)


def _objects(value: object) -> list[dict[str, object]]:
    if not isinstance(value, list):
        raise ValueError("traffic-split: expected a list")
    return value


def bare_host(host: bytes) -> bytes:
    """Returns a `Host` header's value in lower case, without its port, which may be empty."""
    colon = host.rfind(b":")
    if colon >= 0 and (colon == len(host) - 1 or host[colon + 1 :].isdigit()):
        host = host[:colon]
    return host.lower()


def version_number(value: object) -> int:
    """Returns the number of a version such as `r12`. Raises ValueError for anything else."""
    if isinstance(value, str) and value[:1] == "r" and value[1:].isascii() and value[1:].isdigit():
        return int(value[1:])
    raise ValueError(f"expected a version such as 'r12', got {value!r}")


class _InternedValues:
    """Returns one object for all equal values while a table is built."""

    __slots__ = ("times", "values")

    def __init__(self) -> None:
        self.values: dict[object, object] = {}
        self.times: dict[object, float] = {}

    def host(self, value: object) -> bytes:
        name = bare_host(str(value).encode())
        interned = self.values.setdefault(name, name)
        return interned if isinstance(interned, bytes) else name

    def text(self, value: object) -> str:
        interned = self.values.setdefault(value, value)
        if not isinstance(interned, str):
            raise ValueError(f"expected a text, got {value!r}")
        return interned

    def seconds(self, value: object) -> float:
        time_s = self.times.get(value)
        if time_s is None:
            time_s = self.times[value] = seconds(value)
        return time_s

    def regions(self, value: object) -> tuple[str, ...]:
        if value is None:
            return ()
        if not isinstance(value, list):
            raise ValueError(f"allowed-regions: expected a list of regions, got {value!r}")
        names = tuple(sorted({self.text(region) for region in value}))
        interned = self.values.setdefault(("regions", names), names)
        return interned if isinstance(interned, tuple) else names

    def split(self, fields: dict[str, object]) -> tuple[tuple[str, float], ...]:
        shares = fields.get("traffic-split")
        if shares is None:
            weights: object = ((self.text(fields["target-service"]), 1.0),)
        else:
            pairs = [(self.text(s["target-service"]), _float(s["weight"])) for s in _objects(shares)]
            weights = tuple(pair for pair in pairs if pair[1] > 0)
        interned = self.values.setdefault(weights, weights)
        if not isinstance(interned, tuple) or not interned:
            raise ValueError("traffic-split: expected a weight above 0")
        return interned


def _route(fields: dict[str, object], shared: _InternedValues) -> Route:
    route = Route()
    route.name = str(fields["name"])
    route.host = shared.host(fields["hostname"])
    route.prefix = str(fields["path-prefix"]).encode()
    route.kind = shared.text(fields["route-kind"])
    route.timeout_s = shared.seconds(fields["timeout"])
    route.latency_target_s = shared.seconds(_get(fields, "target-latency", fields["timeout"]))
    route.priority = _integer(_get(fields, "priority", 0))
    route.max_attempts = _integer(_get(fields, "max-attempts", 1))
    route.allowed_regions = shared.regions(fields.get("allowed-regions"))
    route.split = shared.split(fields)
    return route


def _route_reader(shared: _InternedValues) -> Callable[[dict[str, object]], object]:
    """Returns a hook that turns each JSON object that is a route into a `Route` as soon as it is parsed."""

    def read(fields: dict[str, object]) -> object:
        if "path-prefix" not in fields:
            return fields
        try:
            return _route(fields, shared)
        except (KeyError, TypeError, ValueError):
            return fields  # `RoutingTable` rejects the object among the routes; elsewhere it is no route.

    return read


class _HostRoutes:
    """The routes of one host."""

    __slots__ = ("longest", "routes")

    def __init__(self) -> None:
        self.longest = 0  # The length of the longest prefix in bytes.
        self.routes: dict[bytes, Route] = {}


class RoutingTable:
    """The routes, services and limits of one configuration."""

    __slots__ = ("_hosts", "limits", "route_count", "services", "version")

    def __init__(self, text: bytes) -> None:
        """Builds the table from a checked configuration's text. Raises ValueError for any other text."""
        try:
            document = json.loads(text, object_hook=_route_reader(_InternedValues()))
            self.version: int = version_number(document["config-version"])
            self.services: dict[str, Service] = {}
            for fields in document["services"]:
                service = Service(fields)
                self.services[service.name] = service
            self.limits: Limits = Limits(document.get("limits") or {})
            self._hosts: dict[bytes, _HostRoutes] = {}
            self.route_count: int = 0
            self._fill(document["routes"])
        except (KeyError, TypeError, AttributeError, RecursionError) as error:
            raise ValueError(f"expected a checked configuration, got {error!r}") from None

    def _fill(self, routes: list[object]) -> None:
        for route in routes:
            if not isinstance(route, Route):
                raise ValueError(f"expected a checked route, got {route!r}")
            host = self._hosts.get(route.host)
            if host is None:
                host = self._hosts[route.host] = _HostRoutes()
            host.longest = max(host.longest, len(route.prefix))
            host.routes[route.prefix] = route
        self.route_count = sum(len(host.routes) for host in self._hosts.values())

    def find(self, host: bytes, path: bytes) -> Route | None:
        """Returns the route of `host` with the longest prefix that begins `path` (without its query).

        `host` is the `Host` header's value; case and port are ignored. The result is None if there is no
        route.
        """
        routes = self._hosts.get(host)
        if routes is None:
            routes = self._hosts.get(bare_host(host))
            if routes is None:
                return None
        get = routes.routes.get
        end = path.rfind(SLASH, 0, routes.longest) + 1
        while end:
            route = get(path[:end])
            if route is not None:
                return route
            end = path.rfind(SLASH, 0, end - 1) + 1
        return None

    def all_routes(self) -> list[Route]:
        """Returns all routes, by host and in the order of the configuration."""
        return [route for host in self._hosts.values() for route in host.routes.values()]
