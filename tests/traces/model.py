"""Generated traces for tests and the bench: three tiers, servers in zones, and planted faults."""

from __future__ import annotations

import random
from typing import Any

from honeywharf.policy import interface as api
from honeywharf.traces import context
from honeywharf.traces.sampler import Sampler, Sampling
from honeywharf.traces.spans import AttemptSpan, HopTrace

TIERS = ("front", "render", "store")
ZONES = ("tallinn", "tartu", "parnu")
TENANTS = ("acme", "forest", "harbour", "survey")
NODES = 6


def hop(trace_id: str = "ab" * 16, how: str = "served", took_ms: float = 10.0, at: float = 0.0) -> HopTrace:
    """Returns the trace of a request that ended as `how` after `took_ms`."""
    trace = HopTrace(trace_id, "", "1" * 16, 0, "", at)
    trace.cls, trace.how, trace.answered_ms = "read", how, at + took_ms
    return trace


def attempt(outcome: api.Outcome, number: int = 0, server: str = "s", zone: str = "z") -> AttemptSpan:
    """Returns the span of an attempt with that outcome."""
    span = AttemptSpan(number, f"{number:016x}", api.Send("r", server, 100.0, zone), 0.0, False)
    span.ended(outcome, 5.0, False)
    return span


def day(seed: int, requests: int, planted: str = "", rate: float = 0.05) -> list[dict[str, Any]]:
    """Returns the hops that three tiers keep. A fifth of the requests of the planted cause fail.

    `planted`: `server`, `zone`, `tenant` or `node`, that is one store, the stores of one zone, one tenant or
    one of two proxies.
    """
    rng, kept = random.Random(seed), []

    def exporting(tier: str, node: str) -> Sampler:
        def export(h: HopTrace) -> None:
            kept.append(h.fields(tier, node, "tallinn"))

        return Sampler(Sampling(rate=rate), {"read": 400.0}, export, trusts=tier != "front")

    samplers = {(t, n): exporting(t, f"{t}-{n}") for t in TIERS for n in (0, 1)}
    now = 0.0
    for i in range(requests):
        now += 5.0
        trace_id, tenant = f"{rng.getrandbits(128):032x}", rng.choice(TENANTS)
        hops, bad, parent, total = [], False, "", 0.0
        targets = [(rng.randrange(NODES), rng.choice(ZONES), rng.randrange(2)) for _ in TIERS]
        number, zone, node = targets[-1]
        affected = {
            "server": (number, zone) == (2, "tartu"),
            "zone": zone == "tartu",
            "tenant": tenant == "forest",
            "node": node == 1,
        }.get(planted, False)
        fails = (affected and rng.random() < 0.2) or rng.random() < 0.002
        for tier, (server, where, node) in zip(TIERS, targets, strict=True):
            trace = HopTrace(trace_id, parent, f"{rng.getrandbits(64):016x}", 0, "", now)
            trace.request, trace.cls, trace.tenant = f"r{i}-{tier}", "read", tenant
            send = api.Send("", f"{tier}-{where}-{server}", 1.0, where)
            span = AttemptSpan(0, f"{rng.getrandbits(64):016x}", send, now, False)
            parent = span.span_id
            trace.attempts.append(span)
            samplers[tier, node].began(now, trace, False, trace_id[-context.RANDOM_DIGITS :])
            hops.append((trace, samplers[tier, node], span))
        for depth, (trace, sampler, span) in enumerate(reversed(hops)):  # Answers arrive in reverse order.
            total += rng.lognormvariate(3.0, 0.4)
            outcome = api.Outcome.ERROR if fails and (depth == 0 or bad) else api.Outcome.OK
            span.ended(outcome, now + total, False)
            trace.how, trace.answered_ms = ("failed" if fails else "served"), now + total
            if bad:
                trace.keep("below")
            bad = sampler.answered(trace)
            sampler.settled(now + total, trace)
    return kept
