"""A second reading of the told text: slow, its own, and compared with what decided. No I/O.

Theory of operation. The text is read once more after each change, by code that shares nothing with
`mesh_config.routes` but the wire's words, and kept as 17 bytes a route: where it stands, the digest of its
rule, its kind. `decide` finds by that which rule a request is under; `shares` draws a service once more.
Where the live decision differs, one of the two readings is wrong: what follows is `watch`'s. Source:
PROTOCOL, "Requests" and "The operator".
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
NEAR = 1e-9  # of all weight: two ways of adding may differ by so much


def _s(told: str) -> float:
    """A time as the wire has it, in seconds."""
    if told[-2:] == "ms":
        return float(told[:-2]) / 1000.0
    return float(told[:-1])


def bare(host: bytes) -> bytes:
    """A host as rules name it."""
    name, colon, port = host.rpartition(b":")
    return (name if colon and not port.strip(b"0123456789") else host).lower()


def pick(split: tuple[tuple[str, float], ...], draw: float) -> tuple[str, ...]:
    """The services that a draw in [0, 1) may give: one, or two where it falls between them."""
    whole = sum(weight for _, weight in split)
    mark, reached, found = draw * whole, 0.0, []
    for name, weight in split:
        if reached - NEAR * whole <= mark <= reached + weight + NEAR * whole:
            found.append(name)
        reached += weight
    return tuple(found)


def _split(route: dict[str, Any]) -> tuple[tuple[str, float], ...]:
    shares = route.get("traffic-split")
    if not shares:
        return ((route["target-service"], 1.0),)
    return tuple((share["target-service"], float(share["weight"])) for share in shares if share["weight"] > 0)


def _given(fields: dict[str, Any], name: str, otherwise: Any) -> Any:
    value = fields.get(name)
    return otherwise if value is None else value


def _rule(route: dict[str, Any]) -> tuple[bytes, bytes, int, bytes]:
    """Host, prefix, kind and the rule's digest."""
    host, prefix = bare(route["hostname"].encode()), route["path-prefix"].encode()
    kind = route["route-kind"]
    made = digests.rule(
        host,
        prefix,
        kind,
        _s(route["timeout"]),
        _s(_given(route, "target-latency", route["timeout"])),
        int(_given(route, "priority", 0)),
        int(_given(route, "max-attempts", 1)),
        _split(route),
        tuple(sorted(set(_given(route, "allowed-regions", [])))),
    )
    return host, prefix, KINDS[kind], made


def _service(fields: dict[str, Any]) -> bytes:
    return digests.service(
        fields["name"],
        _given(fields, "health-check-path", "/health"),
        int(_given(fields, "max-connections", 100)),
        _s(_given(fields, "cold-start", "0s")),
        float(_given(fields, "cold-per-s", float("inf"))),
    )


def _limits(fields: dict[str, Any]) -> bytes:
    return digests.limits(
        int(_given(fields, "max-header-bytes", 16384)),
        int(_given(fields, "max-body-bytes", 64 << 20)),
        _s(_given(fields, "header-timeout", "3s")),
        _s(_given(fields, "idle-timeout", "15s")),
    )


def tree(text: bytes, evacuated: set[str]) -> dict[str, bytes]:
    """The branches of a told word. ValueError, KeyError or TypeError where the text was never checked."""
    whole = json.loads(text)
    hosts: dict[bytes, list[bytes]] = {}
    for route in whole["routes"]:
        host, _, _, made = _rule(route)
        hosts.setdefault(host, []).append(made)
    branches = {digests.ROUTES + host.decode(): digests.branch(leaves) for host, leaves in hosts.items()}
    branches["services"] = digests.branch(map(_service, whole["services"]))
    branches["limits"] = _limits(whole.get("limits") or {})
    branches["evacuations"] = digests.evacuations(evacuated)
    return branches


class Told:
    """What one text tells, packed."""

    __slots__ = ("kinds", "limits", "longest", "places", "rules", "services", "version")

    def __init__(self, text: bytes) -> None:
        """ValueError, KeyError or TypeError where the text was never checked."""
        found: list[tuple[int, int, int]] = []
        self.longest = 0

        def read(fields: dict[str, Any]) -> Any:
            if "path-prefix" not in fields or "hostname" not in fields:
                return fields
            host, prefix, kind, made = _rule(fields)
            self.longest = max(self.longest, len(prefix))
            found.append((digests.place(host, prefix), int.from_bytes(made, "big"), kind))
            return None

        whole = json.loads(text, object_hook=read)
        found.sort()
        self.version: int = int(whole["config-version"][1:])
        self.places = array("Q", (row[0] for row in found))
        self.rules = array("Q", (row[1] for row in found))
        self.kinds = bytes(row[2] for row in found)
        self.services: dict[str, bytes] = {one["name"]: _service(one) for one in whole["services"]}
        self.limits: bytes = _limits(whole.get("limits") or {})

    def at(self, host: bytes, prefix: bytes) -> int:
        """The index of the rule that stands there; -1 without one."""
        place = digests.place(host, prefix)
        found = bisect_left(self.places, place)
        return found if found < len(self.places) and self.places[found] == place else -1

    def decide(self, host: bytes, path: bytes) -> tuple[bytes, int]:
        """The digest of the rule that a request is under, and its kind; b"" and 0 without one."""
        name = bare(host)
        for end in range(min(len(path), self.longest), 0, -1):
            if path[end - 1] == 47:
                found = self.at(name, path[:end])
                if found >= 0:
                    return self.rules[found].to_bytes(digests.SIZE, "big"), self.kinds[found]
        return b"", 0

    def holds(self, host: bytes, prefix: bytes, made: bytes) -> bool:
        """Whether a live rule is the one told for its place."""
        found = self.at(host, prefix)
        return found >= 0 and self.rules[found] == int.from_bytes(made, "big")
