"""Completeness of the kept traces of bad requests through three tiers on sockets.

    python -m bench.tiers [--requests 200000] [--rate 1200] [--errors 0.001] [--notes-loss 0.1]

Stand-in nodes call the next tier through proxies (honeywharf.standins.tiers). An entry proxy is killed
halfway and restarts, another's clock is 2 s off, one node drops the trace's header, and notes are lost. A
request is bad where its client or any node below got no 200, or anything was sent twice; each hop and each
attempt of it must be kept. Missing ones are counted by recorded cause; the exit status is 1 if a cause is
unknown. Also prints how many bad requests head sampling of as many spans would keep.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import sys
import tempfile
from collections import Counter, defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path

import uvloop

from bench.processes import HERE
from honeywharf.standins.tiers import TIERS, ClientRequest, NotesNetwork, ServedRequest, TieredFleet
from honeywharf.traces import store


@dataclass
class HopRequest:
    """One request at one hop, as clients and nodes recorded it."""

    hop: str
    id: str
    proxy: str
    status: int
    attempts: list[ServedRequest]
    header_dropped: bool  # A node above dropped the header.


@dataclass
class CompletenessCounts:
    """Counts of bad requests, hops and attempts, and how many of them are kept."""

    requests: int = 0
    bad: int = 0
    complete: int = 0  # Bad requests with every hop and attempt kept.
    hop_requests: int = 0  # Hops of bad requests.
    kept_hop_requests: int = 0
    attempts: int = 0
    kept_attempts: int = 0
    missing: Counter[str] = field(default_factory=Counter)  # Missing hops and attempts, by cause.
    unexplained: list[str] = field(default_factory=list)
    spans: int = 0  # All kept hops.
    total_spans: int = 0  # All hops.
    head_sampled: int = 0  # Bad requests that head sampling keeps with as many spans.


def hop_requests(
    client_request: ClientRequest, by_id: dict[tuple[int, str], list[ServedRequest]]
) -> Iterator[HopRequest]:
    """Yields the client's request at each hop."""
    pending = [(0, client_request.id, client_request.proxy, client_request.status, False)]
    while pending:
        tier, name, proxy, status, header_dropped = pending.pop()
        attempts = by_id.get((tier, name), [])
        yield HopRequest(TIERS[tier], name, proxy, status, attempts, header_dropped)
        for served in attempts:
            pending += [
                (tier + 1, call, f"p-{served.node}", call_status, header_dropped or served.dropped)
                for call, call_status in served.calls
            ]


def check_traces(
    client_requests: list[ClientRequest],
    served_requests: list[ServedRequest],
    files: list[Path],
    killed: dict[str, float],
    network: NotesNetwork,
    seed: int = 1,
) -> CompletenessCounts:
    """Compares the kept traces with the record."""
    client_requests = [
        a for a in client_requests if a.status >= 0
    ]  # A request that no proxy accepted has no trace.
    counts = CompletenessCounts(requests=len(client_requests))
    by_id: dict[tuple[int, str], list[ServedRequest]] = defaultdict(list)
    for served in served_requests:
        by_id[served.tier, served.id].append(served)
    kept: dict[tuple[str, str], set[str]] = defaultdict(set)
    hops, _ = store.read(files)
    for hop in hops:
        kept[hop["hop"], hop["request"]].update(a["span_id"] for a in hop["attempts"])
    counts.spans, bad = len(hops), []
    for client_request in client_requests:
        hops_of_request = list(hop_requests(client_request, by_id))
        counts.total_spans += len(hops_of_request)
        if any(map(is_bad, hops_of_request)):
            bad.append((client_request, hops_of_request))
    counts.bad = len(bad)
    rng = random.Random(seed)
    counts.head_sampled = sum(rng.random() < counts.spans / max(1, counts.total_spans) for _ in bad)
    for client_request, hops_of_request in bad:
        is_killed = client_request.proxy in killed and client_request.status == 0
        visible_above = any(not p.header_dropped and is_bad(p) for p in hops_of_request)
        traces = {s.trace_id for p in hops_of_request if not p.header_dropped for s in p.attempts}
        is_complete = True
        for hop_request in hops_of_request:
            spans = kept.get((hop_request.hop, hop_request.id))
            counts.hop_requests += 1
            counts.kept_hop_requests += spans is not None
            missing_attempts = [s for s in hop_request.attempts if s.span_id not in (spans or ())]
            if hop_request.header_dropped and hop_request.attempts and spans is None:
                missing_attempts = []  # The hop is counted, and its attempts are not.
            counts.attempts += len(hop_request.attempts)
            counts.kept_attempts += len(hop_request.attempts) - len(
                [s for s in hop_request.attempts if s.span_id not in (spans or ())]
            )
            if spans is not None and not missing_attempts:
                continue
            is_complete = False
            cause = recorded_cause(
                hop_request, is_killed, visible_above, traces, client_request, killed, network
            )
            counts.missing[cause or "unexplained"] += 1
            if cause is None:
                counts.unexplained.append(
                    f"{client_request.id}, answered {client_request.status}: {hop_request.hop}"
                    f" {hop_request.id} by {hop_request.proxy}, attempts"
                    f" {[(s.node, s.status) for s in hop_request.attempts]}, kept {spans}"
                )
        counts.complete += is_complete
    return counts


def is_bad(hop_request: HopRequest) -> bool:
    """Returns whether a hop by itself shows a failure or a repeat."""
    return (
        hop_request.status != 200
        or len(hop_request.attempts) > 1
        or any(s.status != 200 for s in hop_request.attempts)
    )


def recorded_cause(
    hop_request: HopRequest,
    is_killed: bool,
    visible_above: bool,
    traces: set[str],
    client_request: ClientRequest,
    killed: dict[str, float],
    network: NotesNetwork,
) -> str | None:
    """Returns the recorded cause of a missing hop; None if there is none."""
    if is_killed or (hop_request.proxy in killed and client_request.begun_s <= killed[hop_request.proxy]):
        return "the killed proxy"
    # The dropped header splits the request into two traces.
    if hop_request.header_dropped or not visible_above:
        return "the dropped header"
    if any(
        network.missed[hop_request.proxy, t] and not network.received[hop_request.proxy, t] for t in traces
    ):
        return "notes lost twice"
    return None


async def run_day(args: argparse.Namespace, folder: Path) -> CompletenessCounts:
    """Runs a day and checks it."""
    compiled = HERE / ".venv" / "bin" / "python"
    fleet = TieredFleet(
        folder,
        seed=args.seed,
        errors=args.errors,
        notes_loss=args.notes_loss,
        drops=not args.no_trouble,
        clock_s=0.0 if args.no_trouble else 2.0,
        command=[str(compiled), "-P"] if (HERE / ".venv" / "honeywharf.sources").exists() else None,
    )
    try:
        await fleet.start()
        load = asyncio.create_task(fleet.send_requests(args.requests, args.rate))
        if not args.no_trouble:
            await asyncio.sleep(0.5 * args.requests / args.rate)
            await fleet.kill("entry-0", 2.0)
        await load
        await asyncio.sleep(1.0)  # Notes are sent twice, and files are written at intervals.
    finally:
        await fleet.stop()
    assert fleet.network is not None
    network = fleet.network
    print(f"notes: {network.delivered} datagrams carried, {network.lost} lost")
    return check_traces(
        fleet.client_requests, fleet.served_requests(), fleet.trace_files(), fleet.killed, network, args.seed
    )


def main() -> int:
    """Runs a day and prints the counts."""
    parser = argparse.ArgumentParser(description="three tiers on sockets, checked against their record")
    parser.add_argument("--requests", type=int, default=200_000)
    parser.add_argument("--rate", type=float, default=1200.0)
    parser.add_argument("--errors", type=float, default=0.001)
    parser.add_argument("--notes-loss", type=float, default=0.1)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--no-trouble", action="store_true")
    args = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        counts = uvloop.run(run_day(args, Path(folder)))
    print(
        f"{counts.requests} requests, {counts.bad} of them went wrong: {counts.complete} kept whole,"
        f" {counts.kept_hop_requests} of {counts.hop_requests} hops,"
        f" {counts.kept_attempts} of {counts.attempts} attempts"
    )
    for cause, number in counts.missing.most_common():
        print(f"  {number} missing for {cause}")
    for line in counts.unexplained[:10]:
        print(f"  unexplained: {line}")
    print(
        f"{counts.spans} of {counts.total_spans} hops kept in all; head sampling that keeps as many keeps"
        f" {counts.head_sampled} of the {counts.bad}"
    )
    return 1 if counts.unexplained else 0


if __name__ == "__main__":
    sys.exit(main())
