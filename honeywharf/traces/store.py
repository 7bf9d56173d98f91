"""Reads kept traces from the files of many proxies, and joins the hops of each trace to a row."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

import orjson

from honeywharf.traces.spans import BAD_ENDS, HopTrace

MAX_HOPS = 1_000_000  # The limit of `read`.


def read(paths: Iterable[Path]) -> tuple[list[dict[str, Any]], int]:
    """Returns the hops of all files in their order, up to MAX_HOPS, and the number of invalid lines."""
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


def row_of_hop(hop: HopTrace) -> dict[str, Any]:
    """Returns the row of one hop, for a sampler's rule; only `language.SINGLE_HOP_FIELDS` are valid."""
    return row([hop.fields("", "", "")])


def rows_by_trace(hops: Iterable[dict[str, Any]]) -> Iterator[dict[str, Any]]:
    """Yields a row for each trace, with its hops from the client's side down."""
    hops_by_trace: dict[str, list[dict[str, Any]]] = {}
    for hop in hops:
        hops_by_trace.setdefault(hop["trace_id"], []).append(hop)
    for trace_hops in hops_by_trace.values():
        yield row(callers_first(trace_hops))


def callers_first(hops: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """Sorts the hops of a trace so that callers precede the hops that they call, by parent ids alone.

    Times are not compared, as the clocks of hops may differ. A node between two proxies may have a span of
    its own that is not in the files; hops whose caller is unknown come after a root, the longest first.
    """
    hop_by_attempt = {a["span_id"]: h["span_id"] for h in hops for a in h["attempts"]}
    depths: dict[str, int] = {}

    def depth_of(hop: dict[str, Any], seen: frozenset[str]) -> int:
        known_depth = depths.get(hop["span_id"])
        if known_depth is not None:
            return known_depth
        caller = next((h for h in hops if h["span_id"] == hop_by_attempt.get(hop["parent_id"])), None)
        hop_depth = (
            0 if caller is None or hop["span_id"] in seen else 1 + depth_of(caller, seen | {hop["span_id"]})
        )
        depths[hop["span_id"]] = hop_depth
        return hop_depth

    return sorted(hops, key=lambda h: (depth_of(h, frozenset()), bool(h["parent_id"]), -h["duration_ms"]))


def row(hops: list[dict[str, Any]]) -> dict[str, Any]:
    """Returns the fields of one trace for expressions (`language.FIELDS`), and those for `causes`."""
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
