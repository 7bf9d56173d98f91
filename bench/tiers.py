"""Three tiers on sockets: are all hops and attempts kept of the requests that went wrong?

    python -m bench.tiers [--requests 200000] [--rate 1200] [--errors 0.001] [--notes-loss 0.1]

Stand-in nodes call the next tier through proxies of ours (honeywharf.standins.tiers). One store answer in
1,000 is an error; an entry proxy is killed halfway and comes back; the other entry's clock is 2 s off; one
front node drops the trace's header; one datagram of notes in ten is lost. What the proxies kept is held
against the record of clients and nodes: a request went wrong where its client or any node below saw no 200,
or anything was sent twice. Each hop and each attempt of it has to be there. What is missing is put down to
the kill, to the dropped header, or to notes lost twice, each only where the record shows it; status 1 where
anything else is missing. Beside it: what head sampling that keeps as many spans would have kept.
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
    """One request at one hop, as clients and nodes saw it."""

    hop: str
    id: str
    proxy: str
    status: int
    attempts: list[ServedRequest]
    split: bool  # a node above dropped the header


@dataclass
class Verdict:
    """What came of a day."""

    requests: int = 0
    bad: int = 0
    whole: int = 0  # bad ones of which every hop and attempt is kept
    parts: int = 0  # of bad ones
    kept_parts: int = 0
    attempts: int = 0
    kept_attempts: int = 0
    missing: Counter[str] = field(default_factory=Counter)  # parts and attempts, by what explains them
    unexplained: list[str] = field(default_factory=list)
    spans: int = 0  # all hops that were kept
    of_spans: int = 0  # all that there were
    head: int = 0  # bad ones that head sampling keeps whole, at as many spans


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
    """Hold what was kept against what was seen."""
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
        if any(map(wrong, tree)):
            bad.append((asked, tree))
    made.bad = len(bad)
    rng = random.Random(seed)
    made.head = sum(rng.random() < made.spans / max(1, made.of_spans) for _ in bad)
    for asked, tree in bad:
        cut = asked.proxy in killed and asked.status == 0
        seen_above = any(not p.split and wrong(p) for p in tree)
        traces = {s.trace_id for p in tree if not p.split for s in p.attempts}
        whole = True
        for part in tree:
            spans = kept.get((part.hop, part.id))
            made.parts += 1
            made.kept_parts += spans is not None
            lost = [s for s in part.attempts if s.span_id not in (spans or ())]
            if part.split and part.attempts and spans is None:
                lost = []  # counted once, as a part
            made.attempts += len(part.attempts)
            made.kept_attempts += len(part.attempts) - len(
                [s for s in part.attempts if s.span_id not in (spans or ())]
            )
            if spans is not None and not lost:
                continue
            whole = False
            why = explained(part, cut, seen_above, traces, asked, killed, network)
            made.missing[why or "unexplained"] += 1
            if why is None:
                made.unexplained.append(
                    f"{asked.id}, answered {asked.status}: {part.hop} {part.id} by {part.proxy}, attempts"
                    f" {[(s.node, s.status) for s in part.attempts]}, kept {spans}"
                )
        made.whole += whole
    return made


def wrong(part: Part) -> bool:
    """Whether a part alone shows that something went wrong."""
    return part.status != 200 or len(part.attempts) > 1 or any(s.status != 200 for s in part.attempts)


def explained(
    part: Part,
    cut: bool,
    seen_above: bool,
    traces: set[str],
    asked: ClientRequest,
    killed: dict[str, float],
    network: NotesNetwork,
) -> str | None:
    """What the record shows to have cost a part; None where it shows nothing."""
    if cut or (part.proxy in killed and asked.begun_s <= killed[part.proxy]):
        return "the killed proxy"
    if part.split or not seen_above:  # two traces: neither knows of the other
        return "the dropped header"
    if any(network.missed[part.proxy, t] and not network.received[part.proxy, t] for t in traces):
        return "notes lost twice"
    return None


async def play(args: argparse.Namespace, folder: Path) -> Verdict:
    """A day, checked."""
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
        await asyncio.sleep(1.0)  # notes are sent twice, and files written now and then
    finally:
        await house.stop()
    assert house.network is not None
    network = house.network
    print(f"notes: {network.delivered} datagrams carried, {network.lost} lost")
    return checked(
        house.client_requests, house.served_requests(), house.trace_files(), house.killed, network, args.seed
    )


def main() -> int:
    """Play and print."""
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
    for why, number in made.missing.most_common():
        print(f"  {number} missing for {why}")
    for line in made.unexplained[:10]:
        print(f"  unexplained: {line}")
    print(
        f"{made.spans} of {made.of_spans} hops kept in all; head sampling that keeps as many keeps"
        f" {made.head} of the {made.bad}"
    )
    return 1 if made.unexplained else 0


if __name__ == "__main__":
    sys.exit(main())
