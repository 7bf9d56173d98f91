"""Cost and completeness of traces: time per request, memory, kept bad traces, and reported causes.

    python -m bench.traces [--requests 200000] [--days 20] [--clean 50]

Prints the us per request of recorder, sampler and JSON line, with 1 in 100 ordinary requests kept; the bytes
of an empty and a full sampler; the kept bad and ordinary requests over three tiers, where 1 in 1,000 fails,
beside head sampling; and the days on which a planted cause is reported first, or any without a fault.
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


def make_recorder(lines: list[bytes], rate: float, tier: str = "front", trusts: bool = False) -> Recorder:
    """Returns a recorder that appends its kept traces to `lines`."""

    def export(hop: HopTrace) -> None:
        lines.append(orjson.dumps(hop.fields(tier, "n", "tallinn")))

    rules = Sampling(rate=rate)
    return Recorder(Sampler(rules, {"read": 400.0}, export, trusts=trusts), random.Random(1))


def measure_cost(requests: int) -> None:
    """Prints the us per request as the minimum of three runs, without the bare loop."""
    reasons = api.Why(0, 4, 4, 12.0, 3, 5.0)
    times: dict[bool, float] = {}
    for with_recorder in (False, True):
        min_us = float("inf")
        for _ in range(3):
            lines: list[bytes] = []
            recorder, now = make_recorder(lines, 0.01), 0.0
            rng = random.Random(2)
            durations_ms = [rng.lognormvariate(3.0, 0.3) for _ in range(1000)]
            started_at = time.perf_counter()
            for i in range(requests):
                request, response, now = Request(), Response(), now + 1.0
                request.id, request.class_name = "id", "read"
                action, duration_ms = (
                    api.Send("id", "s", 100.0, "tallinn", why=reasons),
                    durations_ms[i % 1000],
                )
                if with_recorder:
                    hop_trace = recorder.begin(request, now)
                    hop_trace.sending(0, action, now)
                    hop_trace.ended(0, api.Outcome.OK, response, now + duration_ms)
                    hop_trace.answered("served", "", None, now + duration_ms)
                    hop_trace.settled(now + duration_ms)
            min_us = min(min_us, (time.perf_counter() - started_at) / requests * 1e6)
        times[with_recorder] = min_us
    print(f"cost: {times[True] - times[False]:.2f} us a request; the loop alone {times[False]:.2f}")


def measure_memory() -> None:
    """Prints the bytes of a sampler when empty and when full."""
    tracemalloc.start()
    initial_bytes = tracemalloc.get_traced_memory()[0]
    recorder, request_count = make_recorder([], 1e-9), 0
    empty_bytes = tracemalloc.get_traced_memory()[0] - initial_bytes
    request = Request()
    request.id, request.class_name = "id", "read"
    for _ in range(10_000):
        hop_trace = recorder.begin(request, 0.0)
        action = api.Send("id", "s", 100.0, "tallinn", why=api.Why(0, 4, 4, 12.0, 3, 5.0))
        hop_trace.sending(0, action, 0.0)
        hop_trace.ended(0, api.Outcome.OK, None, 5.0)
        hop_trace.answered("served", "", None, 5.0)
        hop_trace.settled(5.0)
        del hop_trace
        request_count += 1
    full_bytes = tracemalloc.get_traced_memory()[0] - initial_bytes
    tracemalloc.stop()
    full_sampler = recorder.sampler
    print(
        f"memory: {empty_bytes} bytes at rest, {full_bytes} full ({len(full_sampler.pending)} held,"
        f" counted with {full_sampler.pending_bytes}; {full_sampler.counts['no room']} of {request_count}"
        " went for want of room)"
    )


def measure_completeness(requests: int) -> None:
    """Runs three tiers with a recorder each; headers and answers propagate the trace context."""
    files: dict[str, list[bytes]] = {tier: [] for tier in TIERS}
    recorders = {tier: make_recorder(files[tier], 0.01, tier, tier != "front") for tier in TIERS}
    rng, bad, ordinary, kept_by_head_sampling, now = random.Random(7), 0, 0, 0, 0.0
    bad_ids: set[str] = set()
    for _ in range(requests):
        now += 1.0
        parents: list[bytes] = []
        states: list[bytes] = []
        traces, is_failed = [], rng.random() < 0.001
        for tier in TIERS:
            request = Request()
            request.id, request.class_name = "id", "read"
            request.trace_parents, request.trace_states = parents, states
            hop_trace = recorders[tier].begin(request, now)
            action = api.Send("id", f"{tier}-{rng.randrange(6)}", 100.0, "tallinn")
            lines = (hop_trace.sending(0, action, now) or b"").split(b"\r\n")
            parents = [line[13:] for line in lines if line.startswith(b"traceparent: ")]
            states = [line[12:] for line in lines if line.startswith(b"tracestate: ")]
            traces.append(hop_trace)
        trace_id = parents[0][3:35].decode()
        answer, elapsed_ms = b"", 0.0
        for depth, hop_trace in enumerate(reversed(traces)):
            response, elapsed_ms = Response(), elapsed_ms + 5.0
            response.trace = answer
            # The upstream tier answers 200 all the same, as after a successful retry.
            failed = is_failed and depth == 0
            hop_trace.ended(0, api.Outcome.ERROR if failed else api.Outcome.OK, response, now + elapsed_ms)
            answer = hop_trace.answered("failed" if failed else "served", "", None, now + elapsed_ms).strip()[
                15:
            ]
            hop_trace.settled(now + elapsed_ms)
        if is_failed:
            bad += 1
            bad_ids.add(trace_id)
            kept_by_head_sampling += recorders["front"].sampler.ordinary(trace_id[-14:])
        else:
            ordinary += 1
    hop_counts = dict.fromkeys(bad_ids, 0)
    kept = 0
    weight = 0.0
    for tier in TIERS:
        for line in files[tier]:
            hop = orjson.loads(line)
            if hop["trace_id"] in hop_counts:
                hop_counts[hop["trace_id"]] += 1
            elif tier == "front" and hop["kept"] == ["ordinary"]:
                kept += 1
                weight += hop["weight"]
    print(
        f"keeping: {sum(n == len(TIERS) for n in hop_counts.values())} of {bad} bad traces kept with all"
        f" {len(TIERS)} hops; head sampling keeps {kept_by_head_sampling}; ordinary kept {kept} of {ordinary}"
        f" ({kept / ordinary:.5f}), which stand for {weight:.0f}"
    )


def count_reported_causes(days: int, clean: int) -> None:
    """Prints how often planted causes are reported, and how often one is reported without a fault."""
    for planted, text in PLANTED.items():
        first_reports = 0
        for seed in range(days):
            reported = reported_causes(day(1000 + seed, 3000, planted))
            first_reports += bool(reported) and (reported[0].field, reported[0].text) == (planted, text)
        print(f"causes: {planted} named first on {first_reports} of {days} days")
    false_reports = sum(bool(reported_causes(day(5000 + seed, 3000))) for seed in range(clean))
    print(f"causes: something named on {false_reports} of {clean} clean days")


def reported_causes(hops: list[dict[str, object]]) -> list[causes.Cause]:
    """Returns the causes reported for the failed and slow traces of a day."""
    rows = list(store.rows_by_trace(hops))
    bad = [r for r in rows if r["failed"] or r["slow"]]
    causes_by_kind = causes.by_kind(bad, [r for r in rows if r["kept"] == {"ordinary"}])
    return [c for causes_of_kind in causes_by_kind.values() for c in causes_of_kind]


def main() -> None:
    """Runs all measurements."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n\n")[0])
    parser.add_argument("--requests", type=int, default=200_000)
    parser.add_argument("--days", type=int, default=20)
    parser.add_argument("--clean", type=int, default=50)
    args = parser.parse_args()
    measure_cost(min(args.requests, 50_000))
    measure_memory()
    measure_completeness(args.requests)
    count_reported_causes(args.days, args.clean)


if __name__ == "__main__":
    main()
