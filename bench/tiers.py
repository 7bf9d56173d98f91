"""Completeness of the kept traces of bad requests through three tiers on sockets.

    python -m bench.tiers [--requests 200000] [--rate 1200] [--errors 0.001] [--notes-loss 0.1]

Stand-in nodes call the next tier through proxies (honeywharf.standins.tiers). An entry proxy is killed
halfway and restarts, another's clock is 2 s off, one node drops the trace's header, and notes are lost. A
request is bad where its client or any node below saw no 200, or anything was sent twice; each hop and each
attempt of it must be kept. Missing ones count by recorded cause; status 1 where one is unknown. Also prints
how many bad requests head sampling of as many spans would keep.
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
class Part:
    """One request at one hop, as clients and nodes recorded it."""

    hop: str
    id: str
    proxy: str
    status: int
    attempts: list[ServedRequest]
    split: bool  # a node above dropped the header


@dataclass
class Verdict:
    """The counts of a day."""

    requests: int = 0
    bad: int = 0
    whole: int = 0  # Bad requests with every hop and attempt kept.
    parts: int = 0  # Parts of bad requests.
    kept_parts: int = 0
    attempts: int = 0
    kept_attempts: int = 0
    missing: Counter[str] = field(default_factory=Counter)  # Parts and attempts, by cause.
    unexplained: list[str] = field(default_factory=list)
    spans: int = 0  # All kept hops.
    of_spans: int = 0  # All hops.
    head: int = 0  # Bad requests that head sampling keeps with as many spans.


def parts(asked: ClientRequest, by_id: dict[tuple[int, str], list[ServedRequest]]) -> Iterator[Part]:
    """All parts of a client's request."""
    waiting = [(0, asked.id, asked.proxy, asked.status, False)]
    while waiting:
        tier, name, proxy, status, split = waiting.pop()
        found = by_id.get((tier, name), [])
        yield Part(TIERS[tier], name, proxy, status, found, split)
        for seen in found:
            waiting += [
                (tier + 1, call, f"p-{seen.node}", got, split or seen.dropped) for call, got in seen.calls
            ]


def checked(
    all_asked: list[ClientRequest],
    all_seen: list[ServedRequest],
    files: list[Path],
    killed: dict[str, float],
    network: NotesNetwork,
    seed: int = 1,
) -> Verdict:
    """Compares the kept traces with the record."""
    all_asked = [a for a in all_asked if a.status >= 0]  # what no proxy took has no trace
    made = Verdict(requests=len(all_asked))
    by_id: dict[tuple[int, str], list[ServedRequest]] = defaultdict(list)
    for seen in all_seen:
        by_id[seen.tier, seen.id].append(seen)
    kept: dict[tuple[str, str], set[str]] = defaultdict(set)
    hops, _ = store.read(files)
    for hop in hops:
        kept[hop["hop"], hop["request"]].update(a["span_id"] for a in hop["attempts"])
    made.spans, bad = len(hops), []
    for asked in all_asked:
        tree = list(parts(asked, by_id))
        made.of_spans += len(tree)
        if any(map(is_bad, tree)):
            bad.append((asked, tree))
    made.bad = len(bad)
    rng = random.Random(seed)
    made.head = sum(rng.random() < made.spans / max(1, made.of_spans) for _ in bad)
    for asked, tree in bad:
        is_killed = asked.proxy in killed and asked.status == 0
        seen_above = any(not p.split and is_bad(p) for p in tree)
        traces = {s.trace_id for p in tree if not p.split for s in p.attempts}
        is_complete = True
        for part in tree:
            spans = kept.get((part.hop, part.id))
            made.parts += 1
            made.kept_parts += spans is not None
            missing_attempts = [s for s in part.attempts if s.span_id not in (spans or ())]
            if part.split and part.attempts and spans is None:
                missing_attempts = []  # The part is counted, and its attempts are not.
            made.attempts += len(part.attempts)
            made.kept_attempts += len(part.attempts) - len(
                [s for s in part.attempts if s.span_id not in (spans or ())]
            )
            if spans is not None and not missing_attempts:
                continue
            is_complete = False
            cause = recorded_cause(part, is_killed, seen_above, traces, asked, killed, network)
            made.missing[cause or "unexplained"] += 1
            if cause is None:
                made.unexplained.append(
                    f"{asked.id}, answered {asked.status}: {part.hop} {part.id} by {part.proxy}, attempts"
                    f" {[(s.node, s.status) for s in part.attempts]}, kept {spans}"
                )
        made.whole += is_complete
    return made


def is_bad(part: Part) -> bool:
    """Returns whether a part by itself shows a failure or a repeat."""
    return part.status != 200 or len(part.attempts) > 1 or any(s.status != 200 for s in part.attempts)


def recorded_cause(
    part: Part,
    cut: bool,
    seen_above: bool,
    traces: set[str],
    asked: ClientRequest,
    killed: dict[str, float],
    network: NotesNetwork,
) -> str | None:
    """Returns the recorded cause of a missing part; None where there is none."""
    if cut or (part.proxy in killed and asked.begun_s <= killed[part.proxy]):
        return "the killed proxy"
    if part.split or not seen_above:  # The dropped header split the request into two traces.
        return "the dropped header"
    if any(network.missed[part.proxy, t] and not network.received[part.proxy, t] for t in traces):
        return "notes lost twice"
    return None


async def play(args: argparse.Namespace, folder: Path) -> Verdict:
    """Runs a day and checks it."""
    compiled = HERE / ".venv" / "bin" / "python"
    house = TieredFleet(
        folder,
        seed=args.seed,
        errors=args.errors,
        notes_loss=args.notes_loss,
        drops=not args.no_trouble,
        clock_s=0.0 if args.no_trouble else 2.0,
        command=[str(compiled), "-P"] if (HERE / ".venv" / "honeywharf.sources").exists() else None,
    )
    try:
        await house.start()
        work = asyncio.create_task(house.send_requests(args.requests, args.rate))
        if not args.no_trouble:
            await asyncio.sleep(0.5 * args.requests / args.rate)
            await house.kill("entry-0", 2.0)
        await work
        await asyncio.sleep(1.0)  # Notes are sent twice, and files are written at intervals.
    finally:
        await house.stop()
    assert house.network is not None
    network = house.network
    print(f"notes: {network.delivered} datagrams carried, {network.lost} lost")
    return checked(
        house.client_requests, house.served_requests(), house.trace_files(), house.killed, network, args.seed
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
        made = uvloop.run(play(args, Path(folder)))
    print(
        f"{made.requests} requests, {made.bad} of them went wrong: {made.whole} kept whole,"
        f" {made.kept_parts} of {made.parts} hops, {made.kept_attempts} of {made.attempts} attempts"
    )
    for cause, number in made.missing.most_common():
        print(f"  {number} missing for {cause}")
    for line in made.unexplained[:10]:
        print(f"  unexplained: {line}")
    print(
        f"{made.spans} of {made.of_spans} hops kept in all; head sampling that keeps as many keeps"
        f" {made.head} of the {made.bad}"
    )
    return 1 if made.unexplained else 0


if __name__ == "__main__":
    sys.exit(main())
