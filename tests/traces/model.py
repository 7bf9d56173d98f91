"""Hops of made-up days, for the tests and the bench: three tiers, servers in zones, planted troubles."""

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
    """A hop's trace whose request has come and is answered so."""
    made = HopTrace(trace_id, "", "1" * 16, 0, "", at)
    made.cls, made.how, made.answered_ms = "read", how, at + took_ms
    return made


def attempt(outcome: api.Outcome, number: int = 0, server: str = "s", zone: str = "z") -> AttemptSpan:
    """An attempt that ended so."""
    made = AttemptSpan(number, f"{number:016x}", api.Send("r", server, 100.0, zone), 0.0, False)
    made.ended(outcome, 5.0, False)
    return made


def day(seed: int, requests: int, planted: str = "", rate: float = 0.05) -> list[dict[str, Any]]:
    """The hops that three tiers keep of a day; `planted`: what is wrong, for a fifth of its requests.

    `server`, `zone`, `tenant` or `node`: one store, one zone's stores, one tenant, one proxy of two.
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
        picks = [(rng.randrange(NODES), rng.choice(ZONES), rng.randrange(2)) for _ in TIERS]
        number, zone, node = picks[-1]
        hit = {
            "server": (number, zone) == (2, "tartu"),
            "zone": zone == "tartu",
            "tenant": tenant == "forest",
            "node": node == 1,
        }.get(planted, False)
        wrong = (hit and rng.random() < 0.2) or rng.random() < 0.002
        for tier, (server, where, node) in zip(TIERS, picks, strict=True):
            made = HopTrace(trace_id, parent, f"{rng.getrandbits(64):016x}", 0, "", now)
            made.request, made.cls, made.tenant = f"r{i}-{tier}", "read", tenant
            send = api.Send("", f"{tier}-{where}-{server}", 1.0, where)
            span = AttemptSpan(0, f"{rng.getrandbits(64):016x}", send, now, False)
            parent = span.span_id
            made.attempts.append(span)
            samplers[tier, node].began(now, made, False, trace_id[-context.RANDOM_DIGITS :])
            hops.append((made, samplers[tier, node], span))
        for depth, (made, sampler, span) in enumerate(reversed(hops)):  # answers come from below
            total += rng.lognormvariate(3.0, 0.4)
            outcome = api.Outcome.ERROR if wrong and (depth == 0 or bad) else api.Outcome.OK
            span.ended(outcome, now + total, False)
            made.how, made.answered_ms = ("failed" if wrong else "served"), now + total
            if bad:
                made.keep("below")
            bad = sampler.answered(made)
            sampler.settled(now + total, made)
    return kept
