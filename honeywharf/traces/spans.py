"""What one hop records of one request: its span, one for each attempt, and the decision module's reasons.

Names follow OpenTelemetry's semantic conventions where they have one (`http.request.resend_count`,
`server.address`, `error.type`); the rest is under `honeywharf.`. Times are ms of Unix time on this hop's
clock, durations of its monotonic one: clocks of hops may differ, so nothing is concluded from times of two
hops.
"""

from __future__ import annotations

from typing import Any

from honeywharf.policy import interface as api

KINDS = ("failed", "refused", "retried", "copied", "joined", "slow", "late attempt", "below", "told", "rule")
#: What a request may wait for: a paced listener to accept it, the request of its key, the shared store's word
#: on its key, and the store's note of where an attempt goes.
WAITS = ("accept", "key joined", "key claim", "key note")
#: Ends of a request that are no answer of a node.
BAD_ENDS = frozenset({"failed", "overdue", "broken", "cut off"})


def told(why: api.Why) -> dict[str, Any]:
    """The decision module's reasons, as they are exported."""
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
    """One attempt: a CLIENT span. `outcome` is empty while it is out."""

    __slots__ = (
        "begun_ms",
        "copy",
        "ended_ms",
        "endpoint",
        "late",
        "number",
        "outcome",
        "proof",
        "span_id",
        "why",
        "zone",
    )

    def __init__(self, number: int, span_id: str, action: api.Send, begun_ms: float, copy: bool) -> None:
        self.number = number  # of the request's attempts, those never sent counted
        self.span_id, self.begun_ms, self.ended_ms = span_id, begun_ms, 0.0
        self.endpoint, self.zone, self.why = action.endpoint, action.zone, action.why
        self.copy = copy  # another attempt of the request was out when it was sent
        self.outcome = ""
        self.proof = ""  # what the outcome proves of the effect
        self.late = False  # it ended after its request was answered

    def ended(self, outcome: api.Outcome, now_ms: float, answered: bool) -> None:
        """Its one outcome."""
        self.outcome, self.ended_ms, self.late = outcome.value, now_ms, answered
        self.proof = (
            "never ran"
            if outcome in api.NEVER_RAN
            else ("may still run" if outcome in api.STILL_RUNS else "ran")
        )

    def fields(self) -> dict[str, Any]:
        """As it is exported."""
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
        if self.late:
            found["honeywharf.after_answer"] = True
        if self.why is not None:
            found["honeywharf.why"] = told(self.why)
        return found


class WaitSpan:
    """A time in which a request waited: an INTERNAL span. `kind` is one of WAITS.

    `link` names the trace and span that it waited on, `trace-id "-" span-id`; empty where none is known.
    """

    __slots__ = ("begun_ms", "ended_ms", "kind", "link", "span_id")

    def __init__(self, kind: str, span_id: str, begun_ms: float, ended_ms: float, link: str) -> None:
        self.kind, self.span_id, self.link = kind, span_id, link
        self.begun_ms, self.ended_ms = begun_ms, ended_ms

    def fields(self) -> dict[str, Any]:
        """As it is exported."""
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
    """One request at this hop: a SERVER span with its attempts, until all of them have ended."""

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
        self.waits: list[WaitSpan] | None = None  # most requests have none
        self.link = ""  # the trace and span of the request whose answer it was given
        self.kept: list[str] = []  # why, of KINDS
        self.weight = 1.0  # of ordinary traces, that it stands for
        self.why: api.Why | None = None  # where it was given up
        self.ordinary = False  # one of the ordinary that are kept
        self.bytes = 0  # that it is counted with, while it is held

    @property
    def duration_ms(self) -> float:
        """From its arrival to its answer."""
        return max(0.0, self.answered_ms - self.begun_ms)

    @property
    def wait_ms(self) -> float:
        """From its arrival to its first attempt.

        In the line of its key, or for a note of its order's place.
        """
        return max(0.0, self.attempts[0].begun_ms - self.begun_ms) if self.attempts else 0.0

    def keep(self, why: str) -> None:
        """Note a reason to keep it, once."""
        if why not in self.kept:
            self.kept.append(why)

    def fields(self, hop: str, node: str, zone: str) -> dict[str, Any]:
        """As it is exported: one object for each request and hop."""
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
            found["honeywharf.why"] = told(self.why)
        return found
