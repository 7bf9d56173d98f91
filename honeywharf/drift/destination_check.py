"""How a destination treats a request, by its own rule and the rule that the source decided by. No I/O.

    same rule, whatever the revision       RUN: equal rules have equal digests, so a rollout is no drift
    another rule, the source is older      SOURCE_STALE: does not run; the source updates its configuration
    another rule, the source is newer      VERIFY_FIRST: this node may be stale, and verifies before it runs
    another rule, the same revision        CONFLICT: does not run; both scan themselves, a majority decides
    same rule, but another decision        CONFLICT: the kind differs, or the rule does not name the service

Each request that either side treats as `mutating` or `upload` is checked; `read_only` requests are sampled.
Nothing that a client sends is used: the revision and the digest come with the frame of the source's sidecar.
"""

from __future__ import annotations

TYPE_CHECKING = False
if TYPE_CHECKING:
    from honeywharf.mesh_config.routes import Route

RUN, SOURCE_STALE, VERIFY_FIRST, CONFLICT = range(4)
OUTCOME_NAMES = ("run", "stale", "ask", "conflict")
READ_SAMPLE_INTERVAL = 8  # One in this many read_only requests is checked.


def kind_number(route: Route) -> int:
    """Returns the number of a route's kind as it is sent between sidecars."""
    return 0 if route.is_idempotent else 2 if route.is_upload else 1


def check(source: tuple[int, bytes, int, str], revision: int, route: Route | None, rule: bytes) -> int:
    """Returns the outcome. `source` holds the source's revision, rule digest, kind and service.

    `revision` and `rule` are this node's own. If a source sends no rule digest (an older program), only the
    kind and the service are compared.
    """
    source_revision, digest, kind, service = source
    if route is not None and digest in (rule, b""):
        if kind == kind_number(route) and any(name == service for name, _ in route.split):
            return RUN
        if digest:
            return CONFLICT
    if source_revision < revision:
        return SOURCE_STALE
    return VERIFY_FIRST if source_revision > revision else CONFLICT


def host_of(fields: bytes) -> bytes:
    """Returns the value of `Host` in lower case from a request's header lines, or b""."""
    lines = b"\n" + fields.lower()
    at = lines.find(b"\nhost:")
    return b"" if at < 0 else lines[at + 6 : lines.find(b"\r", at)].strip()
