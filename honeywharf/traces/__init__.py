"""Traces with every attempt: what came of a request, at which hop, by which server, and why it was chosen.

Theory of operation. The driver tells of a request's course (`core.transport.Traced`); `recorder` makes
spans of it and the header lines that carry the trace on; `sampler` settles which are kept; `spool` writes
those to a file. Rules without I/O but for the spool and the line:

    context    W3C Trace Context: strict, a damaged one begins a new trace
    spans      a span for the request at this hop, one for each attempt, with outcome, proof and reasons
    sampler    every bad trace on every hop, a stated part of the ordinary, bounded
    recorder   the driver's word as spans
    notes      late word between proxies over UDP that a trace is kept
    line       the socket of notes
    spool      the file, its bound, what is lost and counted
    store      files of many proxies as rows, one a trace
    language   expressions over rows
    causes     what bad traces have in common

A trace never costs a request: what is wrong with a context, the disk or a rule is counted, and the request
goes on."""

from __future__ import annotations

import random
import secrets
from collections.abc import Mapping
from pathlib import Path
from typing import TYPE_CHECKING

import orjson

from honeywharf.core.parts import Part
from honeywharf.core.transport import Address, address
from honeywharf.traces.line import Line
from honeywharf.traces.notes import OWN, Notes
from honeywharf.traces.recorder import Recorder
from honeywharf.traces.sampler import Sampler, Sampling
from honeywharf.traces.spans import HopTrace
from honeywharf.traces.spool import Spool

if TYPE_CHECKING:
    from honeywharf.config.features import Traces as Features
    from honeywharf.core.parts import Assembly

__all__ = ["Recorder", "Sampler", "Sampling", "Spool", "TracesPart", "attach"]


class TracesPart(Part):
    """The traces of one proxy."""

    def __init__(
        self, recorder: Recorder, spool: Spool, line: Line | None = None, at: Address = ("", 0),
    ) -> None:
        self.recorder, self.spool, self.line, self.at = recorder, spool, line, at

    async def start(self) -> str:
        """Begin to write, and to hear peers."""
        self.spool.start()
        words = f"writes traces to {self.spool.path}"
        if self.line is not None:
            self.at = await self.line.open(self.at)
            words += f", hears of others' at {self.at[0]}:{self.at[1]} (UDP)"
        return words

    def counts(self) -> Mapping[str, int]:
        """What was kept, held and lost, and damaged contexts, by kind."""
        found = {f"traces:{k}": v for k, v in self.recorder.sampler.counts.items()}
        found.update((f"traces:{k}", v) for k, v in self.spool.counts.items())
        found.update((f"traces:damaged {k}", v) for k, v in self.recorder.damaged.items())
        if self.line is not None:
            found.update((f"traces:notes {k}", v) for k, v in self.line.notes.counts.items())
        return found

    def close(self) -> None:
        """Write what waits."""
        if self.line is not None:
            self.line.close()
        self.spool.close()


def attach(proxy: Assembly, features: Features) -> Part:
    """Let the proxy's driver tell of its requests, and its decision module explain itself."""
    settings = proxy.driver.settings
    spool = Spool(Path(features.file), features.bytes)
    hop = settings.tier_names[settings.tier] if settings.tier_names else f"tier-{settings.tier}"

    line: Line | None = None

    def export(trace: HopTrace) -> None:
        spool.put(orjson.dumps(trace.fields(hop, proxy.name, settings.zone)), bool(trace.kept))
        if line is not None and not OWN.isdisjoint(trace.kept):
            line.tell(trace.trace_id)

    rule = None
    if features.keep:
        from honeywharf.traces import language, store

        asked = language.compiled(features.keep, language.OF_A_HOP, quantiles=False)
        figures = language.Figures()

        def rule(trace: HopTrace) -> bool:
            return bool(asked.holds(store.of_hop(trace), figures))

    rules = Sampling(features.rate, features.hold_ms, features.held, features.held_bytes, features.quantile)
    sampler = Sampler(
        rules, {c.name: c.aim_ms for c in settings.classes}, export, rule=rule,
        trusts=features.trust == "callers" or (features.trust == "tier" and settings.tier > 0))
    recorder = Recorder(sampler, random.Random(secrets.randbits(64)))
    if features.notes:
        peers = frozenset(address(peer) for peer in features.peers)
        line = Line(Notes(), peers, proxy.clock.now, sampler.note)
    proxy.driver.tracer = recorder
    proxy.balancer.explains = True
    return TracesPart(recorder, spool, line, address(features.notes) if features.notes else ("", 0))
