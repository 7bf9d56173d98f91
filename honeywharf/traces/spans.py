"""Spans of one request at one hop: for the request, each attempt and each wait, with the decision's reasons.

Names follow OpenTelemetry's semantic conventions (`http.request.resend_count`, `server.address`,
`error.type`); others begin with `honeywharf.`. Times are ms of Unix time on this hop's clock, and durations
are from its monotonic clock. Times of two hops are never compared, as their clocks may differ.
"""

from __future__ import annotations

from typing import Any

from honeywharf.policy import interface as api

KEEP_REASONS = (
    "failed",
    "refused",
    "retried",
    "copied",
    "joined",
    "slow",
    "late attempt",
    "below",
    "told",
    "rule",
)
#: A request waits for a paced listener to accept it, for the running request of its idempotency key, for the
#: shared store to grant its key, or for the store to record the place of an attempt.
WAIT_KINDS = ("accept", "key joined", "key claim", "key note")
#: Ends of a request that got no valid answer from a node.
BAD_ENDS = frozenset({"failed", "overdue", "broken", "cut off"})


def decision_fields(why: api.Why) -> dict[str, Any]:
    """Returns the decision module's reasons as fields of a record."""
    return {
        "level": why.level,
        "usable": why.usable,
        "ready": why.ready,
        "ejected": why.ready - why.usable,
        "limit": round(why.limit, 3),
        "in_flight": why.in_flight,
        "budget": round(why.budget, 3),
        "room": round(why.room, 3),
    }


class AttemptSpan:
    """The CLIENT span of one attempt. `outcome` is empty while the attempt is in flight."""

    __slots__ = (
        "after_answer",
        "begun_ms",
        "copy",
        "ended_ms",
        "endpoint",
        "number",
        "outcome",
        "proof",
        "span_id",
        "why",
        "zone",
    )

    def __init__(self, number: int, span_id: str, action: api.Send, begun_ms: float, copy: bool) -> None:
        self.number = number  # The attempt's index, where attempts that were never sent count too.
        self.span_id, self.begun_ms, self.ended_ms = span_id, begun_ms, 0.0
        self.endpoint, self.zone, self.why = action.endpoint, action.zone, action.why
        self.copy = copy  # Whether another attempt of the request was in flight when this one was sent.
        self.outcome = ""
        self.proof = ""  # Whether the outcome proves that the request ran.
        self.after_answer = False  # Whether the attempt ended after its request was answered.

    def ended(self, outcome: api.Outcome, now_ms: float, answered: bool) -> None:
        """Records the attempt's single outcome."""
        self.outcome, self.ended_ms, self.after_answer = outcome.value, now_ms, answered
        self.proof = (
            "never ran"
            if outcome in api.NEVER_RAN
            else ("may still run" if outcome in api.STILL_RUNS else "ran")
        )

    def fields(self) -> dict[str, Any]:
        """Returns the record that is exported."""
        found: dict[str, Any] = {
            "span_id": self.span_id,
            "kind": "attempt",
            "start_ms": self.begun_ms,
            "duration_ms": max(0.0, self.ended_ms - self.begun_ms),
            "server.address": self.endpoint,
            "honeywharf.zone": self.zone,
            "honeywharf.outcome": self.outcome or "unknown",
            "honeywharf.proof": self.proof,
        }
        if self.number:
            found["http.request.resend_count"] = self.number
        if self.outcome != "ok":
            found["error.type"] = self.outcome or "unknown"
        if self.copy:
            found["honeywharf.copy"] = True
        if self.after_answer:
            found["honeywharf.after_answer"] = True
        if self.why is not None:
            found["honeywharf.why"] = decision_fields(self.why)
        return found


class WaitSpan:
    """The INTERNAL span of a time in which a request waited. `kind` is one of WAIT_KINDS.

    `link` names the span that was waited for, `trace-id "-" span-id`; empty if none is known.
    """

    __slots__ = ("begun_ms", "ended_ms", "kind", "link", "span_id")

    def __init__(self, kind: str, span_id: str, begun_ms: float, ended_ms: float, link: str) -> None:
        self.kind, self.span_id, self.link = kind, span_id, link
        self.begun_ms, self.ended_ms = begun_ms, ended_ms

    def fields(self) -> dict[str, Any]:
        """Returns the record that is exported."""
        found: dict[str, Any] = {
            "span_id": self.span_id,
            "kind": "wait",
            "for": self.kind,
            "start_ms": self.begun_ms,
            "duration_ms": max(0.0, self.ended_ms - self.begun_ms),
        }
        if self.link:
            found["link"] = self.link
        return found


class HopTrace:
    """The SERVER span of one request at this hop, with its attempts and waits."""

    __slots__ = (
        "answered_ms",
        "attempts",
        "begun_ms",
        "bytes",
        "cls",
        "flags",
        "how",
        "kept",
        "link",
        "ordinary",
        "parent_id",
        "reason",
        "request",
        "span_id",
        "tenant",
        "trace_id",
        "trace_state",
        "waits",
        "weight",
        "why",
    )

    def __init__(
        self,
        trace_id: str,
        parent_id: str,
        span_id: str,
        flags: int,
        trace_state: str,
        now_ms: float,
    ) -> None:
        self.trace_id, self.parent_id, self.span_id = trace_id, parent_id, span_id
        self.flags, self.trace_state, self.begun_ms = flags, trace_state, now_ms
        self.request = self.cls = self.tenant = self.how = self.reason = ""
        self.answered_ms = 0.0
        self.attempts: list[AttemptSpan] = []
        self.waits: list[WaitSpan] | None = None  # None saves a list, as most requests do not wait.
        self.link = ""  # The span of the request whose answer this one got, `trace-id "-" span-id`.
        self.kept: list[str] = []  # The reasons to keep the trace, each one of KEEP_REASONS.
        self.weight = 1.0  # The number of ordinary traces that a sampled one represents.
        self.why: api.Why | None = None  # The decision's reasons, if it gave the request up.
        self.ordinary = False  # Whether the trace is sampled as an ordinary one.
        self.bytes = 0  # The estimated size while the trace is pending; 0 otherwise.

    @property
    def duration_ms(self) -> float:
        """The ms from the request's arrival to its answer."""
        return max(0.0, self.answered_ms - self.begun_ms)

    @property
    def wait_ms(self) -> float:
        """The ms from the request's arrival to its first attempt; 0 if it had none."""
        return max(0.0, self.attempts[0].begun_ms - self.begun_ms) if self.attempts else 0.0

    def keep(self, why: str) -> None:
        """Adds a reason to keep the trace, unless it is there already."""
        if why not in self.kept:
            self.kept.append(why)

    def fields(self, hop: str, node: str, zone: str) -> dict[str, Any]:
        """Returns the record that is exported: one object for each request and hop."""
        found = {
            "trace_id": self.trace_id,
            "parent_id": self.parent_id,
            "span_id": self.span_id,
            "hop": hop,
            "node": node,
            "zone": zone,
            "request": self.request,
            "class": self.cls,
            "tenant": self.tenant,
            "start_ms": self.begun_ms,
            "duration_ms": self.duration_ms,
            "end": self.how,
            "reason": self.reason,
            "wait_ms": self.wait_ms,
            "kept": self.kept or ["ordinary"],
            "weight": self.weight,
            "attempts": [a.fields() for a in self.attempts],
        }
        if self.waits:
            found["waits"] = [w.fields() for w in self.waits]
        if self.link:
            found["link"] = self.link
        if self.why is not None:
            found["honeywharf.why"] = decision_fields(self.why)
        return found
