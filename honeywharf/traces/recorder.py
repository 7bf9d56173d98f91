"""What the driver tells of its requests, as spans; the header lines that carry a trace on. Without I/O."""

from __future__ import annotations

import random

from honeywharf.core.messages import Request, RequestTrace, Response
from honeywharf.policy import interface as api
from honeywharf.traces import context
from honeywharf.traces.sampler import Sampler
from honeywharf.traces.spans import AttemptSpan, HopTrace, WaitSpan

MAX_WAITS = 16  # of one request: a key's line is left and joined again with each request that gives it up


class Recorder:
    """Begins a trace for each request.

    `rng` draws ids: of a secret seed, or clients could make up others' ids.
    """

    def __init__(self, sampler: Sampler, rng: random.Random) -> None:
        self.sampler, self.random = sampler, rng
        self.damaged = {"parent": 0, "twice": 0, "state": 0}

    def begin(self, request: Request, now_ms: float) -> RequestTrace:
        """A request has been taken."""
        found, fault, bad = None, "", False
        if request.trace_parents:
            found, fault = context.parse(
                request.trace_parents, request.trace_states, trusts=self.sampler.trusts
            )
            if fault:
                self.damaged[fault] += 1
        if found is None:
            # all zeros once in 2**64 draws, which receivers drop
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
            # Guards what is kept, and for how many it stands, against trace-ids that a client has made up:
            # the id stays, to find it again, and chance is ours. The random flag would vouch for its bits.
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
        return Course(self, hop)


class Course(RequestTrace):
    """One request on its course."""

    __slots__ = ("hop", "recorder")

    def __init__(self, recorder: Recorder, hop: HopTrace) -> None:
        self.recorder, self.hop = recorder, hop

    def sending(self, number: int, action: api.Send, now_ms: float) -> bytes:
        """An attempt leaves; the header lines that go with it."""
        hop, copy = self.hop, False
        for earlier in hop.attempts:
            copy = copy or not earlier.outcome
        span = AttemptSpan(number, f"{self.recorder.random.getrandbits(64):016x}", action, now_ms, copy)
        hop.attempts.append(span)
        # A second attempt is a reason to keep the trace: the hops behind it learn that with the request.
        bad = bool(hop.kept) or len(hop.attempts) > 1
        flags = hop.flags | (context.SAMPLED if bad or hop.ordinary else 0)
        return context.request_header_lines(hop.trace_id, span.span_id, flags, hop.trace_state, bad=bad)

    def ended(self, number: int, outcome: api.Outcome, response: Response | None, now_ms: float) -> None:
        """An attempt has its one outcome."""
        hop = self.hop
        for span in hop.attempts:
            if span.number == number:
                span.ended(outcome, now_ms, bool(hop.how))
        if response is not None and response.trace and context.kept_below(response.trace, hop.trace_id):
            hop.keep("below")

    def waited(self, kind: str, begun_ms: float, now_ms: float, link: bytes = b"") -> None:
        """It waited before it went on: for what, since when, and on whose span."""
        hop = self.hop
        if hop.waits is None:
            hop.waits = []
        if len(hop.waits) < MAX_WAITS:
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
        """Its answer was made for the request of that span."""
        self.hop.link = link.decode("latin-1")

    def kept(self) -> bool:
        """Whether this hop keeps it, as far as is known by now."""
        return self.hop.ordinary or bool(self.hop.kept)

    def mark(self) -> bytes:
        """What others link to: the trace and the last attempt that is out, or the request's own span."""
        hop = self.hop
        span_id = hop.span_id
        for span in hop.attempts:
            if not span.outcome or span.outcome == "ok":
                span_id = span.span_id
        return f"{hop.trace_id}-{span_id}".encode()

    def answered(self, how: str, reason: str, why: api.Why | None, now_ms: float) -> bytes:
        """The request has its one final answer; the header line that goes with it."""
        hop = self.hop
        hop.how, hop.reason, hop.why, hop.answered_ms = how, reason, why, now_ms
        return context.response_header_line(
            hop.trace_id, hop.span_id, bad=self.recorder.sampler.answered(hop)
        )

    def settled(self, now_ms: float) -> None:
        """Nothing of the request is out any more."""
        self.recorder.sampler.settled(now_ms, self.hop)
