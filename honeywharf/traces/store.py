"""Kept traces as rows: files of many proxies read, the hops of a trace joined. Without sockets."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

import orjson

from honeywharf.traces.spans import BAD_ENDS, HopTrace

MAX_HOPS = 1_000_000  # that are read, in the order of the files


def read(paths: Iterable[Path]) -> tuple[list[dict[str, Any]], int]:
    """The hops of all files, and how many lines were no hop: cut at a kill, or of somebody else."""
    hops, damaged = [], 0
    for path in paths:
        with path.open("rb") as lines:
            for line in lines:
                try:
                    hop = orjson.loads(line)
                    hop["trace_id"], hop["attempts"], hop["kept"], hop["duration_ms"]
                except (orjson.JSONDecodeError, KeyError, TypeError):
                    damaged += 1
                    continue
                hops.append(hop)
                if len(hops) >= MAX_HOPS:
                    return hops, damaged
    return hops, damaged


def of_hop(hop: HopTrace) -> dict[str, Any]:
    """One hop's fields, for a sampler's rule (`language.OF_A_HOP`)."""
    return row([hop.fields("", "", "")])


def joined(hops: Iterable[dict[str, Any]]) -> Iterator[dict[str, Any]]:
    """A row for each trace; its hops stand from the client's side down."""
    by: dict[str, list[dict[str, Any]]] = {}
    for hop in hops:
        by.setdefault(hop["trace_id"], []).append(hop)
    for some in by.values():
        yield row(ordered(some))


def ordered(hops: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """Callers before those whom they call, by parent ids alone: clocks of hops may differ.

    A node between two proxies passes its caller's context on, or has a span of its own that is not here; hops
    whose caller is not known come after a root, the longest first.
    """
    attempts = {a["span_id"]: h["span_id"] for h in hops for a in h["attempts"]}
    depth: dict[str, int] = {}

    def deep(hop: dict[str, Any], seen: frozenset[str]) -> int:
        found = depth.get(hop["span_id"])
        if found is not None:
            return found
        above = next((h for h in hops if h["span_id"] == attempts.get(hop["parent_id"])), None)
        own = 0 if above is None or hop["span_id"] in seen else 1 + deep(above, seen | {hop["span_id"]})
        depth[hop["span_id"]] = own
        return own

    return sorted(hops, key=lambda h: (deep(h, frozenset()), bool(h["parent_id"]), -h["duration_ms"]))


def row(hops: list[dict[str, Any]]) -> dict[str, Any]:
    """The fields that expressions know (`language.FIELDS`), of one trace."""
    root = hops[0]
    attempts = [a for h in hops for a in h["attempts"]]
    kept = frozenset(k for h in hops for k in h["kept"])
    failing = next(
        (
            h
            for h in reversed(hops)
            if h["end"] in BAD_ENDS
            or h["end"] == "refused"
            or any(a["honeywharf.outcome"] != "ok" for a in h["attempts"])
        ),
        None,
    )
    return {
        "failed": root["end"] in BAD_ENDS,
        "refused": root["end"] == "refused",
        "served": root["end"] == "served",
        "retried": any(len(h["attempts"]) > 1 for h in hops),
        "slow": "slow" in kept,
        "copied": any(a.get("honeywharf.copy") for a in attempts),
        "late": any(a.get("honeywharf.after_answer") for a in attempts),
        "duration": root["duration_ms"],
        "attempts": float(len(attempts)),
        "hops": float(len(hops)),
        "errors": float(sum(a["honeywharf.outcome"] != "ok" for a in attempts)),
        "class": frozenset((root["class"],)),
        "tenant": frozenset((root["tenant"],)),
        "zone": frozenset(a["honeywharf.zone"] for a in attempts),
        "server": frozenset(a["server.address"] for a in attempts),
        "hop": frozenset(h["hop"] for h in hops),
        "node": frozenset(h["node"] for h in hops),
        "outcome": frozenset(a["honeywharf.outcome"] for a in attempts),
        "reason": frozenset(h["reason"] for h in hops if h["reason"]),
        "kept": kept,
        "request": frozenset(h["request"] for h in hops),
        "trace": frozenset((root["trace_id"],)),
        "weight": max(h["weight"] for h in hops) if kept == {"ordinary"} else 1.0,
        "spans": hops,
        "failing": failing["hop"] if failing is not None else "",
    }
