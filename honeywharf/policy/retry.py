"""What a further attempt costs, and which calls hang."""

from __future__ import annotations

from honeywharf.policy import interface as api
from honeywharf.policy.admission import UNREACHED
from honeywharf.policy.endpoints import Attempt
from honeywharf.policy.requests import Request

REJECTED_COST = 0.25  # of a retry: turned away unseen is little load; giving up wastes the tiers above
HUNG_AFTER = 3.0  # typical answer times: about one answer in some hundred comes that late by chance


def cost_after(outcome: api.Outcome, elapsed_ms: float, typical_ms: float) -> float:
    """What another attempt costs after such an end: as much as the one that ended was load.

    Guards against a budget used up by connections that are reset as soon as they are written to: such calls
    were next to no load, and giving up wastes the tiers above.
    """
    if outcome is api.Outcome.RESET:
        return max(REJECTED_COST, min(1.0, elapsed_ms / max(typical_ms, 1.0)))
    return REJECTED_COST if outcome is api.Outcome.REJECTED else 0.0 if outcome in UNREACHED else 1.0


def may_copy(request: Request, site: api.Limits, now: float) -> bool:
    """Whether a request whose call hangs may have a second copy out."""
    cls = request.cls
    return not (
        request.answered
        or not site.concurrent_attempts
        or cls.in_order
        or cls.stream
        or len(request.attempts) >= site.max_attempts
        or any(a.live and not a.hangs for a in request.attempts)
        or request.deadline <= now
    )


def hung(
    now: float,
    answered: Attempt,
    requests: dict[str, Request],
    typical_ms: dict[str, float],
) -> list[tuple[Attempt, Request]]:
    """The calls that hang: far past the usual time, at a server that has answered a later one.

    Guards against calls that were lost on the way or forgotten by the server: each would take a place in
    its zone until its time is up, which shuts the gate before idle servers, and its request fails.
    Also covers connections cut off silently beside live ones. A server that answers nothing, or late, is
    not judged here. Could hurt where work differs much within a class: long calls then run twice.
    """
    found: list[tuple[Attempt, Request]] = []
    for call in answered.server.calls:
        request = requests.get(call.request)
        if request is not None and request.arriving:
            continue  # of which nobody can have answered yet
        if request is None or call.sent_ms >= answered.sent_ms:
            break
        if now - call.sent_ms > HUNG_AFTER * typical_ms.get(request.cls.name, float("inf")):
            found.append((call, request))
    return found
