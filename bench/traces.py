"""What traces cost and what they keep: a request's share of the recorder, memory, and causes found and not.

    python -m bench.traces [--requests 200000] [--days 20] [--clean 50]

Printed: microseconds a request for the recorder, the sampler and the line of JSON, at 1 in 100 ordinary
kept, with one attempt each, beside the same loop with no recorder; bytes held at rest and full; of
`requests` over three tiers, of which 1 in 1,000 fails at the last, how many bad ones are kept with all
their hops, the rate of the ordinary, and what head sampling at the same rate keeps of the bad; the days of
each planted cause that is named first, and the clean days on which anything is named.
"""

from __future__ import annotations

import argparse
import random
import time
import tracemalloc

import orjson

from honeywharf.core.messages import Request, Response
from honeywharf.policy import interface as api
from honeywharf.traces import causes, store
from honeywharf.traces.recorder import Recorder
from honeywharf.traces.sampler import Sampler, Sampling
from honeywharf.traces.spans import HopTrace
from tests.traces.model import TIERS, day

PLANTED = {"server": "store-tartu-2", "zone": "tartu (store)", "tenant": "forest", "node": "store-1"}


def recorder(lines: list[bytes], rate: float, tier: str = "front", trusts: bool = False) -> Recorder:
    """A recorder whose kept traces end as lines."""

    def export(hop: HopTrace) -> None:
        lines.append(orjson.dumps(hop.fields(tier, "n", "tallinn")))

    rules = Sampling(rate=rate)
    return Recorder(Sampler(rules, {"read": 400.0}, export, trusts=trusts), random.Random(1))


def cost(requests: int) -> None:
    """Microseconds a request, beside the bare loop; the best of three, as other work only adds."""
    why = api.Why(0, 4, 4, 12.0, 3, 5.0)
    times: dict[bool, float] = {}
    for on in (False, True):
        best = float("inf")
        for _ in range(3):
            lines: list[bytes] = []
            made, now = recorder(lines, 0.01), 0.0
            rng = random.Random(2)
            works = [rng.lognormvariate(3.0, 0.3) for _ in range(1000)]
            begun = time.perf_counter()
            for i in range(requests):
                request, response, now = Request(), Response(), now + 1.0
                request.id, request.class_name = "id", "read"
                action, took = api.Send("id", "s", 100.0, "tallinn", why=why), works[i % 1000]
                if on:
                    traced = made.begin(request, now)
                    traced.sending(0, action, now)
                    traced.ended(0, api.Outcome.OK, response, now + took)
                    traced.answered("served", "", None, now + took)
                    traced.settled(now + took)
            best = min(best, (time.perf_counter() - begun) / requests * 1e6)
        times[on] = best
    print(f"cost: {times[True] - times[False]:.2f} us a request; the loop alone {times[False]:.2f}")


def memory() -> None:
    """Bytes of a sampler at rest and with all that it may hold."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    made, lines = recorder([], 1e-9), 0
    rest = tracemalloc.get_traced_memory()[0] - before
    request = Request()
    request.id, request.class_name = "id", "read"
    for _ in range(10_000):
        traced = made.begin(request, 0.0)
        action = api.Send("id", "s", 100.0, "tallinn", why=api.Why(0, 4, 4, 12.0, 3, 5.0))
        traced.sending(0, action, 0.0)
        traced.ended(0, api.Outcome.OK, None, 5.0)
        traced.answered("served", "", None, 5.0)
        traced.settled(5.0)
        del traced
        lines += 1
    full = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    held = made.sampler
    print(
        f"memory: {rest} bytes at rest, {full} full ({len(held.pending)} held, counted with"
        f" {held.pending_bytes}; {held.counts['no room']} of {lines} went for want of room)"
    )


def keeping(requests: int) -> None:
    """Three tiers, each with a recorder; answers and headers carry the word from one to the other."""
    files: dict[str, list[bytes]] = {tier: [] for tier in TIERS}
    made = {tier: recorder(files[tier], 0.01, tier, tier != "front") for tier in TIERS}
    rng, bad, ordinary, heads, now = random.Random(7), 0, 0, 0, 0.0
    bad_ids: set[str] = set()
    for _ in range(requests):
        now += 1.0
        parents: list[bytes] = []
        states: list[bytes] = []
        course, wrong = [], rng.random() < 0.001
        for tier in TIERS:
            request = Request()
            request.id, request.class_name = "id", "read"
            request.trace_parents, request.trace_states = parents, states
            traced = made[tier].begin(request, now)
            action = api.Send("id", f"{tier}-{rng.randrange(6)}", 100.0, "tallinn")
            lines = (traced.sending(0, action, now) or b"").split(b"\r\n")
            parents = [line[13:] for line in lines if line.startswith(b"traceparent: ")]
            states = [line[12:] for line in lines if line.startswith(b"tracestate: ")]
            course.append(traced)
        trace_id = parents[0][3:35].decode()
        answer, took = b"", 0.0
        for depth, traced in enumerate(reversed(course)):
            response, took = Response(), took + 5.0
            response.trace = answer
            # a retry above would hide it; here the tier above answers all the same
            failed = wrong and depth == 0
            traced.ended(0, api.Outcome.ERROR if failed else api.Outcome.OK, response, now + took)
            answer = traced.answered("failed" if failed else "served", "", None, now + took).strip()[15:]
            traced.settled(now + took)
        if wrong:
            bad += 1
            bad_ids.add(trace_id)
            heads += made["front"].sampler.ordinary(trace_id[-14:])
        else:
            ordinary += 1
    whole = dict.fromkeys(bad_ids, 0)
    kept = 0
    weight = 0.0
    for tier in TIERS:
        for line in files[tier]:
            hop = orjson.loads(line)
            if hop["trace_id"] in whole:
                whole[hop["trace_id"]] += 1
            elif tier == "front" and hop["kept"] == ["ordinary"]:
                kept += 1
                weight += hop["weight"]
    print(
        f"keeping: {sum(n == len(TIERS) for n in whole.values())} of {bad} bad traces kept with all"
        f" {len(TIERS)} hops; head sampling keeps {heads}; ordinary kept {kept} of {ordinary}"
        f" ({kept / ordinary:.5f}), which stand for {weight:.0f}"
    )


def named(days: int, clean: int) -> None:
    """Planted causes, and clean days."""
    for planted, text in PLANTED.items():
        hits = 0
        for seed in range(days):
            found = asked(day(1000 + seed, 3000, planted))
            hits += bool(found) and (found[0].field, found[0].text) == (planted, text)
        print(f"causes: {planted} named first on {hits} of {days} days")
    false = sum(bool(asked(day(5000 + seed, 3000))) for seed in range(clean))
    print(f"causes: something named on {false} of {clean} clean days")


def asked(hops: list[dict[str, object]]) -> list[causes.Cause]:
    """What is named of a day's failed and slow traces."""
    rows = list(store.rows_by_trace(hops))
    bad = [r for r in rows if r["failed"] or r["slow"]]
    found = causes.by_kind(bad, [r for r in rows if r["kept"] == {"ordinary"}])
    return [c for some in found.values() for c in some]


def main() -> None:
    """All of it."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n\n")[0])
    parser.add_argument("--requests", type=int, default=200_000)
    parser.add_argument("--days", type=int, default=20)
    parser.add_argument("--clean", type=int, default=50)
    args = parser.parse_args()
    cost(min(args.requests, 50_000))
    memory()
    keeping(args.requests)
    named(args.days, args.clean)


if __name__ == "__main__":
    main()
