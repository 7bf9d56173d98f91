"""Distributed traces of requests, with a span and the decision's reasons for each attempt.

Theory of operation. The driver notifies `core.messages.RequestTrace` of a request's events. `recorder` turns
them into spans and propagates the trace in headers, `sampler` decides which traces are kept, and exporters
write them to a file (`spool`) or send them to a collector (`otlp`). All modules but `spool`, `otlp` and
`notes_socket` are without I/O.

    context       W3C Trace Context; an invalid one begins a new trace
    spans         spans of the request at this hop, its attempts and its waits
    sampler       tail sampling: every bad trace, and a share of the ordinary ones
    recorder      the driver's events as spans
    notes         notes between proxies over UDP that a trace is kept
    notes_socket  the socket of the notes
    queue         the bounded queue of an exporter
    spool         the exporter to a file of limited size
    delivery      batches and retries towards a collector
    otlp          the exporter to a collector
    store         the files of many proxies as rows, one for each trace
    language      expressions over rows
    causes        root-cause analysis of bad traces

Faults of a context, the disk, a collector or a rule never fail a request; they are counted.
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

__all__ = ["Recorder", "Sampler", "Sampling", "Spool", "TracesComponent", "attach"]


class Exporter(Protocol):
    """Exports kept traces of this hop."""

    def start(self) -> str:
        """Starts to export. Returns a message for the operator; OSError if it fails."""

    def put(self, line: bytes, bad: bool) -> None:
        """Queues one trace, as JSON. Never waits."""

    def counts(self) -> Mapping[str, int]:
        """Returns the numbers of exported and lost traces, by kind."""

    def close(self) -> None:
        """Exports queued traces for a limited time, and stops."""


class TracesComponent(Component):
    """The component that records and exports the traces of one proxy."""

    def __init__(
        self,
        recorder: Recorder,
        exporters: list[Exporter],
        notes_socket: NotesSocket | None = None,
        notes_address: Address = ("", 0),
    ) -> None:
        self.recorder, self.exporters, self.notes_socket, self.notes_address = (
            recorder,
            exporters,
            notes_socket,
            notes_address,
        )

    async def start(self) -> str:
        """Starts the exporters, and opens the socket of notes. Returns a message for the operator."""
        messages = [exporter.start() for exporter in self.exporters]
        if self.notes_socket is not None:
            self.notes_address = await self.notes_socket.open(self.notes_address)
            messages.append(f"receives notes at {self.notes_address[0]}:{self.notes_address[1]} (UDP)")
        return ", ".join(messages)

    def counts(self) -> Mapping[str, int]:
        """Returns the numbers of kept, dropped and lost traces and of invalid contexts, by kind."""
        totals = {f"traces:{k}": v for k, v in self.recorder.sampler.counts.items()}
        for exporter in self.exporters:
            totals.update((f"traces:{k}", v) for k, v in exporter.counts().items())
        totals.update((f"traces:damaged {k}", v) for k, v in self.recorder.damaged.items())
        if self.notes_socket is not None:
            totals.update((f"traces:notes {k}", v) for k, v in self.notes_socket.notes.counts.items())
        return totals

    def close(self) -> None:
        """Closes the socket of notes and the exporters."""
        if self.notes_socket is not None:
            self.notes_socket.close()
        for exporter in self.exporters:
            exporter.close()


def make_exporters(features: Features) -> list[Exporter]:
    """Returns the configured exporters; ValueError if a package that one needs is not installed."""
    exporters: list[Exporter] = []
    if features.file:
        exporters.append(Spool(Path(features.file), features.bytes))
    if features.otlp.endpoint:
        try:
            from honeywharf.traces.otlp import OtlpExporter
        except ModuleNotFoundError as fault:
            raise ValueError(
                f"traces.otlp: expected the packages of requirements-export.txt, got no {fault.name}:"
                " run pip install -r requirements-export.txt"
            ) from None
        from honeywharf.traces.queue import Queue

        otlp = features.otlp
        exporters.append(
            OtlpExporter(
                otlp.endpoint, otlp.headers, otlp.wait_ms / 1000.0, Queue(otlp.queued, otlp.queued_bytes)
            )
        )
    return exporters


def attach(proxy: ProxyContext, features: Features) -> Component:
    """Records traces of the proxy's requests, with the reasons of its decision module."""
    settings = proxy.driver.settings
    exporters = make_exporters(features)
    hop = settings.tier_names[settings.tier] if settings.tier_names else f"tier-{settings.tier}"

    notes_socket: NotesSocket | None = None

    def export(trace: HopTrace) -> None:
        record, bad = orjson.dumps(trace.fields(hop, proxy.name, settings.zone)), bool(trace.kept)
        for exporter in exporters:
            exporter.put(record, bad)
        if notes_socket is not None and not LOCAL_REASONS.isdisjoint(trace.kept):
            notes_socket.send_note(trace.trace_id)

    rule = None
    if features.keep:
        from honeywharf.traces import language, store

        expression = language.compile_expression(
            features.keep, language.SINGLE_HOP_FIELDS, allow_quantiles=False
        )
        quantiles = language.Quantiles()

        def rule(trace: HopTrace) -> bool:
            return bool(expression.holds(store.row_of_hop(trace), quantiles))

    sampling = Sampling(
        features.rate, features.hold_ms, features.held, features.held_bytes, features.quantile
    )
    sampler = Sampler(
        sampling,
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
    return TracesComponent(
        recorder, exporters, notes_socket, address(features.notes) if features.notes else ("", 0)
    )
