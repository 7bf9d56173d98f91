"""Traces with every attempt: what came of a request, at which hop, by which server, and why it was chosen.

Theory of operation. The driver tells of a request's course (`core.transport.RequestTrace`); `recorder` makes
spans of it and the header lines that carry the trace on; `sampler` settles which are kept; `spool` writes
those to a file. Rules without I/O but for the spool and the line:

    context    W3C Trace Context: strict, a damaged one begins a new trace
    spans      a span for the request at this hop, one for each attempt, with outcome, proof and reasons
    sampler    every bad trace on every hop, a stated part of the ordinary, bounded
    recorder   the driver's word as spans
    notes      late word between proxies over UDP that a trace is kept
    line       the socket of notes
    queue      what waits to be exported, bounded, what is lost and counted
    spool      the file and its bound
    delivery   when a batch leaves for a collector, and what becomes of it
    otlp       a collector: spans as protobuf, and the thread that sends them
    store      files of many proxies as rows, one a trace
    language   expressions over rows
    causes     what bad traces have in common

A trace never costs a request: what is wrong with a context, the disk or a rule is counted, and the request
goes on.
"""

from __future__ import annotations

import random
import secrets
from collections.abc import Mapping
from pathlib import Path
from typing import TYPE_CHECKING, Protocol

import orjson

from honeywharf.core.components import Component
from honeywharf.core.transport import Address, address
from honeywharf.traces.notes import LOCAL_REASONS, Notes
from honeywharf.traces.notes_socket import NotesSocket
from honeywharf.traces.recorder import Recorder
from honeywharf.traces.sampler import Sampler, Sampling
from honeywharf.traces.spans import HopTrace
from honeywharf.traces.spool import Spool

if TYPE_CHECKING:
    from honeywharf.config.features import Traces as Features
    from honeywharf.core.components import ProxyContext

__all__ = ["Recorder", "Sampler", "Sampling", "Spool", "TracesPart", "attach"]


class Exporter(Protocol):
    """Where kept traces of this hop go. `put` never waits."""

    def start(self) -> str:
        """Begin; a few words for the operator. OSError where it can't be."""

    def put(self, line: bytes, bad: bool) -> None:
        """Take one, as JSON."""

    def counts(self) -> Mapping[str, int]:
        """What was exported and lost, by kind."""

    def close(self) -> None:
        """Export what waits, for a bounded time."""


class TracesPart(Component):
    """The traces of one proxy."""

    def __init__(
        self,
        recorder: Recorder,
        exporters: list[Exporter],
        notes_socket: NotesSocket | None = None,
        at: Address = ("", 0),
    ) -> None:
        self.recorder, self.exporters, self.notes_socket, self.at = recorder, exporters, notes_socket, at

    async def start(self) -> str:
        """Begin to export, and to hear peers."""
        words = [exporter.start() for exporter in self.exporters]
        if self.notes_socket is not None:
            self.at = await self.notes_socket.open(self.at)
            words.append(f"hears of others' at {self.at[0]}:{self.at[1]} (UDP)")
        return ", ".join(words)

    def counts(self) -> Mapping[str, int]:
        """What was kept, held and lost, and damaged contexts, by kind."""
        found = {f"traces:{k}": v for k, v in self.recorder.sampler.counts.items()}
        for exporter in self.exporters:
            found.update((f"traces:{k}", v) for k, v in exporter.counts().items())
        found.update((f"traces:damaged {k}", v) for k, v in self.recorder.damaged.items())
        if self.notes_socket is not None:
            found.update((f"traces:notes {k}", v) for k, v in self.notes_socket.notes.counts.items())
        return found

    def close(self) -> None:
        """Export what waits."""
        if self.notes_socket is not None:
            self.notes_socket.close()
        for exporter in self.exporters:
            exporter.close()


def exporters_of(features: Features) -> list[Exporter]:
    """Those that are configured; ValueError where a library of one is not there."""
    made: list[Exporter] = []
    if features.file:
        made.append(Spool(Path(features.file), features.bytes))
    if features.otlp.endpoint:
        try:
            from honeywharf.traces.otlp import Collector
        except ModuleNotFoundError as fault:
            raise ValueError(
                f"traces.otlp: found no {fault.name}, wanted what requirements-export.txt names:"
                " pip install -r requirements-export.txt"
            ) from None
        from honeywharf.traces.queue import Queue

        otlp = features.otlp
        made.append(
            Collector(
                otlp.endpoint, otlp.headers, otlp.wait_ms / 1000.0, Queue(otlp.queued, otlp.queued_bytes)
            )
        )
    return made


def attach(proxy: ProxyContext, features: Features) -> Component:
    """Let the proxy's driver tell of its requests, and its decision module explain itself."""
    settings = proxy.driver.settings
    exporters = exporters_of(features)
    hop = settings.tier_names[settings.tier] if settings.tier_names else f"tier-{settings.tier}"

    notes_socket: NotesSocket | None = None

    def export(trace: HopTrace) -> None:
        told, bad = orjson.dumps(trace.fields(hop, proxy.name, settings.zone)), bool(trace.kept)
        for exporter in exporters:
            exporter.put(told, bad)
        if notes_socket is not None and not LOCAL_REASONS.isdisjoint(trace.kept):
            notes_socket.send_note(trace.trace_id)

    rule = None
    if features.keep:
        from honeywharf.traces import language, store

        asked = language.compiled(features.keep, language.OF_A_HOP, quantiles=False)
        figures = language.Figures()

        def rule(trace: HopTrace) -> bool:
            return bool(asked.holds(store.of_hop(trace), figures))

    rules = Sampling(features.rate, features.hold_ms, features.held, features.held_bytes, features.quantile)
    sampler = Sampler(
        rules,
        {c.name: c.aim_ms for c in settings.classes},
        export,
        rule=rule,
        trusts=features.trust == "callers" or (features.trust == "tier" and settings.tier > 0),
    )
    recorder = Recorder(sampler, random.Random(secrets.randbits(64)))
    if features.notes:
        peers = frozenset(address(peer) for peer in features.peers)
        notes_socket = NotesSocket(Notes(), peers, proxy.clock.now, sampler.keep_trace)
    proxy.driver.hooks.tracer = recorder
    proxy.balancer.explains = True
    return TracesPart(
        recorder, exporters, notes_socket, address(features.notes) if features.notes else ("", 0)
    )
