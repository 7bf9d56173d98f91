"""The cost of a further attempt, and the detection of hung calls."""

from __future__ import annotations

from honeywharf.policy import interface as api
from honeywharf.policy.admission import UNDELIVERED
from honeywharf.policy.endpoints import Attempt
from honeywharf.policy.requests import Request

REJECTED_COST = 0.25  # a rejected call is little load, and giving up wastes the work of the tiers above
HUNG_MULTIPLE = 3.0  # in typical times; about one answer in some hundred takes that long by chance


def retry_cost(outcome: api.Outcome, elapsed_ms: float, typical_ms: float) -> float:
    """Returns the cost of another attempt, in proportion to the load that the ended attempt was.

    Guards against a retry budget used up by connections that are reset as soon as they are written to.
    """
    if outcome is api.Outcome.RESET:
        return max(REJECTED_COST, min(1.0, elapsed_ms / max(typical_ms, 1.0)))
    return REJECTED_COST if outcome is api.Outcome.REJECTED else 0.0 if outcome in UNDELIVERED else 1.0


def may_hedge(request: Request, site: api.Limits, now: float) -> bool:
    """Whether a request whose call is hung may have a second attempt in flight."""
    cls = request.cls
    return not (
        request.answered
        or not site.concurrent_attempts
        or cls.in_order
        or cls.stream
        or len(request.attempts) >= site.max_attempts
        or any(a.pending and not a.hung for a in request.attempts)
        or request.deadline <= now
    )


def find_hung(
    now: float,
    answered: Attempt,
    requests: dict[str, Request],
    typical_ms: dict[str, float],
) -> list[tuple[Attempt, Request]]:
    """Returns the hung calls: far past the typical time, at a server that has answered a later one.

    Guards against calls that were lost silently, which would count against their zone's limit until their
    time-out. A server that answers nothing, or late, is left to outlier detection. Where work differs much
    within a class, long calls may run twice.
    """
    found: list[tuple[Attempt, Request]] = []
    for call in answered.server.calls:
        request = requests.get(call.request)
        if request is not None and request.arriving:
            continue  # a request whose body is still arriving cannot have been answered
        if request is None or call.sent_ms >= answered.sent_ms:
            break
        if now - call.sent_ms > HUNG_MULTIPLE * typical_ms.get(request.cls.name, float("inf")):
            found.append((call, request))
    return found
