"""The canonical form of a rule and its digest, and the tree of digests of a whole word. No I/O.

Theory of operation. A rule's canonical form is one line of what decides: host, prefix, kind, timeout and aim
in microseconds, priority, attempts, the shares in the order of the text (a draw depends on it), and its
homes, sorted, where it has some. Its name decides nothing and is left out. A digest is the first 8 bytes of
BLAKE2b. A tree has a branch for each host, one for services, one for limits and one for evacuations; a branch
is the digest of its sorted leaves and the root that of all branches, so equal parts have equal digests,
whatever the order and the revision.
"""

from __future__ import annotations

from _blake2 import blake2b  # `hashlib` would load OpenSSL: 2 MB in each sidecar

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Iterable

    from honeywharf.mesh_config.routes import Limits, Route, Service

    Split = tuple[tuple[str, float], ...]

SIZE = 8  # bytes of a digest
MAX_KEPT = 256  # rules whose digests are held by content
ROUTES = "routes/"  # and a host: the name of a branch


def digest(data: bytes) -> bytes:
    """Its 8 bytes."""
    return blake2b(data, digest_size=SIZE).digest()


def _us(seconds: float) -> int:
    return round(seconds * 1e6)


def rule(
    host: bytes,
    prefix: bytes,
    kind: str,
    timeout_s: float,
    aim_s: float,
    priority: int,
    attempts: int,
    split: Split,
    homes: tuple[str, ...] = (),
) -> bytes:
    """The digest of one route's rule. `host` in lower case, without its port."""
    shares = ",".join(f"{name}={weight!r}" for name, weight in split)
    line = f"\0{kind}\0{_us(timeout_s)}\0{_us(aim_s)}\0{priority}\0{attempts}\0{shares}"
    if homes:
        line += "\0" + ",".join(homes)
    return digest(b"%b\0%b%b" % (host, prefix, line.encode()))


def service(name: str, health: str, most: int, cold_start_s: float, cold_per_s: float) -> bytes:
    """The digest of one service."""
    return digest(f"{name}\0{health}\0{most}\0{_us(cold_start_s)}\0{cold_per_s!r}".encode())


def limits(header_bytes: int, body_bytes: int, header_s: float, idle_s: float) -> bytes:
    """The digest of the limits for clients."""
    return digest(f"{header_bytes}\0{body_bytes}\0{_us(header_s)}\0{_us(idle_s)}".encode())


def evacuations(zones: Iterable[str]) -> bytes:
    """The digest of the zones that are evacuated."""
    return digest("\0".join(sorted(zones)).encode())


def place(host: bytes, prefix: bytes) -> int:
    """Where a rule stands, as a number of 64 bits."""
    return int.from_bytes(digest(b"%b\0%b" % (host, prefix)), "big")


def branch(leaves: Iterable[bytes]) -> bytes:
    """The digest of a branch."""
    return digest(b"".join(sorted(leaves)))


def root(branches: dict[str, bytes]) -> bytes:
    """The digest of a whole tree."""
    return digest(b"".join(name.encode() + b"\0" + branches[name] for name in sorted(branches)))


def differing(one: dict[str, bytes], other: dict[str, bytes]) -> list[str]:
    """Branches in which two trees differ."""
    return sorted(name for name in one.keys() | other.keys() if one.get(name) != other.get(name))


def of_service(it: Service) -> bytes:
    """A live service's digest."""
    return service(
        it.name, it.health_check_path, it.max_connections, it.slow_start_s, it.slow_start_requests_per_s
    )


def of_limits(it: Limits) -> bytes:
    """Live limits' digest."""
    return limits(it.max_header_bytes, it.max_body_bytes, it.header_timeout_s, it.idle_timeout_s)


class Rules:
    """Digests of live routes, taken from their fields each time; held by content, so that none goes stale."""

    __slots__ = ("held",)

    def __init__(self) -> None:
        self.held: dict[tuple[object, ...], bytes] = {}

    def of(self, it: Route) -> bytes:
        """A live route's digest."""
        key = (
            it.host,
            it.prefix,
            it.kind,
            it.timeout_s,
            it.latency_target_s,
            it.priority,
            it.max_attempts,
            it.split,
            it.allowed_regions,
        )
        found = self.held.get(key)
        if found is None:
            if len(self.held) >= MAX_KEPT:
                self.held.clear()
            found = self.held[key] = rule(*key)
        return found
