"""Reference parser: parses a configuration's text independently of the routing table. No I/O.

Theory of operation. After each change the text is parsed once more by code that shares nothing with
`mesh_config.routes` but the names of the fields. The result takes 17 bytes for each route: the digest of its
location (host and prefix), the digest of its rule, and its kind. `find_rule` looks up the rule for a request;
`possible_services` repeats the choice of a service. If the routing table in use decides otherwise, one of the
two parsers is wrong, and `remediation` handles it. Source: PROTOCOL, "Requests" and "The operator".
"""

from __future__ import annotations

import json
from array import array
from bisect import bisect_left

from honeywharf.drift import digests

TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Any

KINDS = {"read_only": 0, "mutating": 1, "upload": 2}
WEIGHT_TOLERANCE = 1e-9  # A fraction of the total weight: the rounding of sums depends on their order.


def _seconds(text: str) -> float:
    """Parses a duration such as `250ms` or `3s`. Returns seconds."""
    if text[-2:] == "ms":
        return float(text[:-2]) / 1000.0
    return float(text[:-1])


def normalized_host(host: bytes) -> bytes:
    """Returns the host in lower case and without its port, as rules name it."""
    name, colon, port = host.rpartition(b":")
    return (name if colon and not port.strip(b"0123456789") else host).lower()


def possible_services(split: tuple[tuple[str, float], ...], draw: float) -> tuple[str, ...]:
    """Returns the services that a draw in [0, 1) may select: one, or two where it is on their boundary."""
    total = sum(weight for _, weight in split)
    target, cumulative, found = draw * total, 0.0, []
    for name, weight in split:
        if cumulative - WEIGHT_TOLERANCE * total <= target <= cumulative + weight + WEIGHT_TOLERANCE * total:
            found.append(name)
        cumulative += weight
    return tuple(found)


def _traffic_split(route: dict[str, Any]) -> tuple[tuple[str, float], ...]:
    shares = route.get("traffic-split")
    if not shares:
        return ((route["target-service"], 1.0),)
    return tuple((share["target-service"], float(share["weight"])) for share in shares if share["weight"] > 0)


def _value_or(fields: dict[str, Any], name: str, default: Any) -> Any:
    value = fields.get(name)
    return default if value is None else value


def _parse_rule(route: dict[str, Any]) -> tuple[bytes, bytes, int, bytes]:
    """Returns the host, the prefix, the number of the kind, and the digest of the rule."""
    host, prefix = normalized_host(route["hostname"].encode()), route["path-prefix"].encode()
    kind = route["route-kind"]
    rule_digest = digests.rule(
        host,
        prefix,
        kind,
        _seconds(route["timeout"]),
        _seconds(_value_or(route, "target-latency", route["timeout"])),
        int(_value_or(route, "priority", 0)),
        int(_value_or(route, "max-attempts", 1)),
        _traffic_split(route),
        tuple(sorted(set(_value_or(route, "allowed-regions", [])))),
    )
    return host, prefix, KINDS[kind], rule_digest


def _service_digest(fields: dict[str, Any]) -> bytes:
    return digests.service(
        fields["name"],
        _value_or(fields, "health-check-path", "/health"),
        int(_value_or(fields, "max-connections", 100)),
        _seconds(_value_or(fields, "cold-start", "0s")),
        float(_value_or(fields, "cold-per-s", float("inf"))),
    )


def _limits_digest(fields: dict[str, Any]) -> bytes:
    return digests.limits(
        int(_value_or(fields, "max-header-bytes", 16384)),
        int(_value_or(fields, "max-body-bytes", 64 << 20)),
        _seconds(_value_or(fields, "header-timeout", "3s")),
        _seconds(_value_or(fields, "idle-timeout", "15s")),
    )


def tree(text: bytes, evacuated: set[str]) -> dict[str, bytes]:
    """Returns the digest of each branch. Raises ValueError, KeyError or TypeError for invalid text."""
    document = json.loads(text)
    hosts: dict[bytes, list[bytes]] = {}
    for route in document["routes"]:
        host, _, _, rule_digest = _parse_rule(route)
        hosts.setdefault(host, []).append(rule_digest)
    branches = {
        digests.ROUTE_BRANCH_PREFIX + host.decode(): digests.branch(leaf_digests)
        for host, leaf_digests in hosts.items()
    }
    branches["services"] = digests.branch(map(_service_digest, document["services"]))
    branches["limits"] = _limits_digest(document.get("limits") or {})
    branches["evacuations"] = digests.evacuations(evacuated)
    return branches


class ReferenceTable:
    """The rules of one configuration text as parallel arrays, sorted by the digest of their location."""

    __slots__ = (
        "kinds",
        "limits_digest",
        "locations",
        "longest_prefix",
        "rule_digests",
        "service_digests",
        "version",
    )

    def __init__(self, text: bytes) -> None:
        """Raises ValueError, KeyError or TypeError for text that is not valid."""
        found: list[tuple[int, int, int]] = []
        self.longest_prefix = 0

        def read(fields: dict[str, Any]) -> Any:
            if "path-prefix" not in fields or "hostname" not in fields:
                return fields
            host, prefix, kind, rule_digest = _parse_rule(fields)
            self.longest_prefix = max(self.longest_prefix, len(prefix))
            found.append((digests.location(host, prefix), int.from_bytes(rule_digest, "big"), kind))
            return None

        document = json.loads(text, object_hook=read)
        found.sort()
        self.version: int = int(document["config-version"][1:])
        self.locations = array("Q", (row[0] for row in found))
        self.rule_digests = array("Q", (row[1] for row in found))
        self.kinds = bytes(row[2] for row in found)
        self.service_digests: dict[str, bytes] = {
            service["name"]: _service_digest(service) for service in document["services"]
        }
        self.limits_digest: bytes = _limits_digest(document.get("limits") or {})

    def index_of(self, host: bytes, prefix: bytes) -> int:
        """Returns the index of the rule at this host and prefix, or -1."""
        location = digests.location(host, prefix)
        found = bisect_left(self.locations, location)
        return found if found < len(self.locations) and self.locations[found] == location else -1

    def find_rule(self, host: bytes, path: bytes) -> tuple[bytes, int]:
        """Returns the digest of the rule for a request and the number of its kind; b"" and 0 for none."""
        name = normalized_host(host)
        for end in range(min(len(path), self.longest_prefix), 0, -1):
            if path[end - 1] == 47:
                found = self.index_of(name, path[:end])
                if found >= 0:
                    return self.rule_digests[found].to_bytes(digests.DIGEST_BYTES, "big"), self.kinds[found]
        return b"", 0

    def matches(self, host: bytes, prefix: bytes, rule_digest: bytes) -> bool:
        """Whether the rule at this host and prefix has the given digest."""
        found = self.index_of(host, prefix)
        return found >= 0 and self.rule_digests[found] == int.from_bytes(rule_digest, "big")
