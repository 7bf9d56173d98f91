"""Records the driver's requests as spans, and makes the header lines that propagate traces. Without I/O."""

from __future__ import annotations

import random

from honeywharf.core.messages import Request, RequestTrace, Response
from honeywharf.policy import interface as api
from honeywharf.traces import context
from honeywharf.traces.sampler import Sampler
from honeywharf.traces.spans import AttemptSpan, HopTrace, WaitSpan

MAX_WAIT_SPANS = 16  # Per request, as one can wait again for each request of its key that fails.


class Recorder:
    """Begins a trace for each request.

    `rng` draws the ids; its seed has to be secret, as clients could otherwise predict the ids of others.
    """

    def __init__(self, sampler: Sampler, rng: random.Random) -> None:
        self.sampler, self.random = sampler, rng
        self.damaged = {"parent": 0, "twice": 0, "state": 0}

    def begin(self, request: Request, now_ms: float) -> RequestTrace:
        """Begins the trace of a request that was accepted."""
        found, fault, bad = None, "", False
        if request.trace_parents:
            found, fault = context.parse(
                request.trace_parents, request.trace_states, trusts=self.sampler.trusts
            )
            if fault:
                self.damaged[fault] += 1
        if found is None:
            # A span-id of zeros, which receivers drop, is drawn once in 2**64 requests.
            drawn = f"{self.random.getrandbits(192):048x}"
            randomness = drawn[32 - context.RANDOM_DIGITS : 32]
            hop = HopTrace(drawn[:32], "", drawn[32:], context.RANDOM, "", now_ms)
        elif found.randomness:
            span_id = f"{self.random.getrandbits(64):016x}"
            hop, randomness = (
                HopTrace(found.trace_id, found.parent_id, span_id, found.flags, found.trace_state, now_ms),
                found.randomness,
            )
            bad = found.bad
        else:
            # Keeps clients from choosing by their trace-ids which traces are sampled: the trace-id stays, but
            # the randomness is drawn here. The random flag is cleared, as the trace-id may not be random.
            drawn = f"{self.random.getrandbits(120):030x}"
            randomness = drawn[16:]
            hop = HopTrace(
                found.trace_id,
                found.parent_id,
                drawn[:16],
                0,
                context.with_randomness(randomness, found.trace_state),
                now_ms,
            )
            bad = found.bad
        hop.request, hop.cls, hop.tenant = request.id, request.class_name, request.account
        self.sampler.began(now_ms, hop, bad, randomness)
        return RequestRecorder(self, hop)


class RequestRecorder(RequestTrace):
    """Records the trace of one request."""

    __slots__ = ("hop", "recorder")

    def __init__(self, recorder: Recorder, hop: HopTrace) -> None:
        self.recorder, self.hop = recorder, hop

    def sending(self, number: int, action: api.Send, now_ms: float) -> bytes:
        """Begins an attempt's span. Returns the header lines that propagate the trace to the server."""
        hop, copy = self.hop, False
        for earlier in hop.attempts:
            copy = copy or not earlier.outcome
        span = AttemptSpan(number, f"{self.recorder.random.getrandbits(64):016x}", action, now_ms, copy)
        hop.attempts.append(span)
        # A second attempt is a reason to keep the trace, so its header lines say so to downstream hops.
        bad = bool(hop.kept) or len(hop.attempts) > 1
        flags = hop.flags | (context.SAMPLED if bad or hop.ordinary else 0)
        return context.request_header_lines(hop.trace_id, span.span_id, flags, hop.trace_state, bad=bad)

    def ended(self, number: int, outcome: api.Outcome, response: Response | None, now_ms: float) -> None:
        """Ends an attempt's span with its single outcome."""
        hop = self.hop
        for span in hop.attempts:
            if span.number == number:
                span.ended(outcome, now_ms, bool(hop.how))
        if response is not None and response.trace and context.kept_below(response.trace, hop.trace_id):
            hop.keep("below")

    def waited(self, kind: str, begun_ms: float, now_ms: float, link: bytes = b"") -> None:
        """Adds a span for a wait of the given kind; `link` is the trace mark of the request waited for."""
        hop = self.hop
        if hop.waits is None:
            hop.waits = []
        if len(hop.waits) < MAX_WAIT_SPANS:
            hop.waits.append(
                WaitSpan(
                    kind,
                    f"{self.recorder.random.getrandbits(64):016x}",
                    begun_ms,
                    now_ms,
                    link.decode("latin-1"),
                )
            )

    def linked(self, link: bytes) -> None:
        """Records that the answer was made for the request with that trace mark."""
        self.hop.link = link.decode("latin-1")

    def kept(self) -> bool:
        """Returns whether this hop keeps the trace, as far as is known by now."""
        return self.hop.ordinary or bool(self.hop.kept)

    def mark(self) -> bytes:
        """Returns the trace mark, `trace-id "-" span-id`, under which other requests link to this one.

        The span is that of the last attempt that is in flight or succeeded, or else the request's own.
        """
        hop = self.hop
        span_id = hop.span_id
        for span in hop.attempts:
            if not span.outcome or span.outcome == "ok":
                span_id = span.span_id
        return f"{hop.trace_id}-{span_id}".encode()

    def answered(self, how: str, reason: str, why: api.Why | None, now_ms: float) -> bytes:
        """Records the final answer. Returns the header line that propagates the trace to the client."""
        hop = self.hop
        hop.how, hop.reason, hop.why, hop.answered_ms = how, reason, why, now_ms
        return context.response_header_line(
            hop.trace_id, hop.span_id, bad=self.recorder.sampler.answered(hop)
        )

    def settled(self, now_ms: float) -> None:
        """Decides on the trace once the request is answered and no attempt is in flight."""
        self.recorder.sampler.settled(now_ms, self.hop)
