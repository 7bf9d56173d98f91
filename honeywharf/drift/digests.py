"""The canonical form of a rule, its digest, and the tree of digests of a configuration. No I/O.

Theory of operation. The canonical form of a rule is one line of all fields that affect a decision: host,
prefix, kind, timeout and latency target in microseconds, priority, attempts, the traffic split in the order
of the text (the choice of a service depends on it), and, if there are any, the allowed regions, sorted. The
route's name affects no decision and is left out. A digest is the first 8 bytes of BLAKE2b. The tree has a
branch for each host, one for services, one for limits and one for evacuations. The digest of a branch covers
its sorted leaves, and the root covers all branches. Equal parts have equal digests, whatever their order and
the configuration's revision.
"""

from __future__ import annotations

from _blake2 import blake2b  # `hashlib` would load OpenSSL, which takes 2 MB in each sidecar.

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Iterable

    from honeywharf.mesh_config.routes import Limits, Route, Service

    Split = tuple[tuple[str, float], ...]

DIGEST_BYTES = 8
MAX_CACHED_DIGESTS = 256
ROUTE_BRANCH_PREFIX = "routes/"  # The name of a branch is this prefix and the host.


def digest(data: bytes) -> bytes:
    """Returns the first 8 bytes of the BLAKE2b hash."""
    return blake2b(data, digest_size=DIGEST_BYTES).digest()


def _us(seconds: float) -> int:
    return round(seconds * 1e6)


def rule(
    host: bytes,
    prefix: bytes,
    kind: str,
    timeout_s: float,
    latency_target_s: float,
    priority: int,
    max_attempts: int,
    split: Split,
    allowed_regions: tuple[str, ...] = (),
) -> bytes:
    """Returns the digest of a route's rule. `host` is in lower case and without its port."""
    shares = ",".join(f"{name}={weight!r}" for name, weight in split)
    line = f"\0{kind}\0{_us(timeout_s)}\0{_us(latency_target_s)}\0{priority}\0{max_attempts}\0{shares}"
    if allowed_regions:
        line += "\0" + ",".join(allowed_regions)
    return digest(b"%b\0%b%b" % (host, prefix, line.encode()))


def service(
    name: str,
    health_check_path: str,
    max_connections: int,
    slow_start_s: float,
    requests_per_s: float,
) -> bytes:
    """Returns the digest of a service."""
    return digest(
        f"{name}\0{health_check_path}\0{max_connections}\0{_us(slow_start_s)}\0{requests_per_s!r}".encode()
    )


def limits(header_bytes: int, body_bytes: int, header_timeout_s: float, idle_timeout_s: float) -> bytes:
    """Returns the digest of the limits for clients."""
    return digest(f"{header_bytes}\0{body_bytes}\0{_us(header_timeout_s)}\0{_us(idle_timeout_s)}".encode())


def evacuations(zones: Iterable[str]) -> bytes:
    """Returns the digest of the set of evacuated zones."""
    return digest("\0".join(sorted(zones)).encode())


def location(host: bytes, prefix: bytes) -> int:
    """Returns the digest of a rule's host and prefix as a 64-bit integer."""
    return int.from_bytes(digest(b"%b\0%b" % (host, prefix)), "big")


def branch(leaf_digests: Iterable[bytes]) -> bytes:
    """Returns the digest of a branch from those of its leaves."""
    return digest(b"".join(sorted(leaf_digests)))


def root(branches: dict[str, bytes]) -> bytes:
    """Returns the digest of the tree from those of its branches."""
    return digest(b"".join(name.encode() + b"\0" + branches[name] for name in sorted(branches)))


def differing_branches(one: dict[str, bytes], other: dict[str, bytes]) -> list[str]:
    """Returns the names of the branches in which two trees differ."""
    return sorted(name for name in one.keys() | other.keys() if one.get(name) != other.get(name))


def of_service(live: Service) -> bytes:
    """Returns the digest of a service of the routing table in use."""
    return service(
        live.name,
        live.health_check_path,
        live.max_connections,
        live.slow_start_s,
        live.slow_start_requests_per_s,
    )


def of_limits(live: Limits) -> bytes:
    """Returns the digest of the limits of the routing table in use."""
    return limits(
        live.max_header_bytes,
        live.max_body_bytes,
        live.header_timeout_s,
        live.idle_timeout_s,
    )


class RuleDigestCache:
    """Caches digests of routes in use. The key is the contents of all fields, so no entry becomes stale."""

    __slots__ = ("cached",)

    def __init__(self) -> None:
        self.cached: dict[tuple[object, ...], bytes] = {}

    def digest_of(self, route: Route) -> bytes:
        """Returns the digest of a route's current fields."""
        key = (
            route.host,
            route.prefix,
            route.kind,
            route.timeout_s,
            route.latency_target_s,
            route.priority,
            route.max_attempts,
            route.split,
            route.allowed_regions,
        )
        found = self.cached.get(key)
        if found is None:
            if len(self.cached) >= MAX_CACHED_DIGESTS:
                self.cached.clear()
            found = self.cached[key] = rule(*key)
        return found
