"""What a destination does with a request, by its own word and what the source decided by. No I/O.

    same rule, same revision or not      RUN: equal parts have equal digests, so a rolling change is no slip
    other rule, the source is older      STALE: not run, the proof is our revision; the source renews itself
    other rule, the source is newer      ASK: we may be the stale one; ask before it runs
    other rule, one revision             CONFLICT: not run, and both look at themselves; a majority settles it
    right rule, but decided otherwise    CONFLICT: the kind, or a service that the rule does not name

`mutating` and `upload` are judged each time, by whichever side holds them for that; `read_only` by sample.
Nothing that a client sends is looked at: revision and digest come with the frame of the source's sidecar.
"""

from __future__ import annotations

TYPE_CHECKING = False
if TYPE_CHECKING:
    from honeywharf.mesh_config.routes import Route

RUN, STALE, ASK, CONFLICT = range(4)
NAMES = ("run", "stale", "ask", "conflict")
EACH = 8  # of the read_only requests, one is judged


def number(route: Route) -> int:
    """A route's kind as it travels."""
    return 0 if route.is_idempotent else 2 if route.is_upload else 1


def judge(told: tuple[int, bytes, int, str], revision: int, route: Route | None, rule: bytes) -> int:
    """One of the four. `told`: the source's revision, rule, kind, service; then our own revision and rule.

    A source that tells no rule (an older program) is judged by kind and service alone.
    """
    theirs, digest, kind, service = told
    if route is not None and digest in (rule, b""):
        if kind == number(route) and any(name == service for name, _ in route.split):
            return RUN
        if digest:
            return CONFLICT
    if theirs < revision:
        return STALE
    return ASK if theirs > revision else CONFLICT


def host_of(fields: bytes) -> bytes:
    """The value of `Host`, in lower case, among the header lines that travel; b"" without one."""
    lines = b"\n" + fields.lower()
    at = lines.find(b"\nhost:")
    return b"" if at < 0 else lines[at + 6 : lines.find(b"\r", at)].strip()
