"""Kept traces to a collector: OTLP over HTTP, binary protobuf. One more exporter behind the file's interface.

`encoded` is without I/O; `Collector` owns the thread and the connection round `queue` and `delivery`. Spans:
SERVER for the request at this hop, CLIENT for each attempt, INTERNAL for each wait; links to what a request
waited on or was answered from. `ot=th` tells a collector how many ordinary traces one stands for.
"""

from __future__ import annotations

import http.client
import random
import secrets
import threading
import time
from collections.abc import Iterable, Mapping
from typing import Any
from urllib.parse import urlsplit

import orjson
from google.protobuf.message import DecodeError
from opentelemetry.proto.collector.trace.v1.trace_service_pb2 import (
    ExportTraceServiceRequest,
    ExportTraceServiceResponse,
)
from opentelemetry.proto.common.v1.common_pb2 import AnyValue, KeyValue
from opentelemetry.proto.trace.v1.trace_pb2 import Span, Status

from honeywharf import VERSION
from honeywharf.traces import delivery
from honeywharf.traces.context import RANDOM_BITS
from honeywharf.traces.queue import Queue
from honeywharf.traces.spans import BAD_ENDS

MAX_ANSWER = 64 * 1024  # bytes of a collector's answer that are read
NANOS = 1_000_000  # in a ms
LAST_S = 1.0  # at the end of the process, for the last batch


def attribute(key: str, value: object) -> KeyValue:
    """One attribute; what is neither number, text nor list goes as JSON."""
    made = AnyValue()
    if isinstance(value, bool):
        made.bool_value = value
    elif isinstance(value, int):
        made.int_value = value
    elif isinstance(value, float):
        made.double_value = value
    elif isinstance(value, list):
        made.array_value.values.extend(AnyValue(string_value=str(v)) for v in value)
    else:
        made.string_value = value if isinstance(value, str) else orjson.dumps(value).decode()
    return KeyValue(key=key, value=made)


def attributes(found: Mapping[str, object]) -> list[KeyValue]:
    """All that says something."""
    return [attribute(k, v) for k, v in found.items() if v not in ("", None)]


def threshold(weight: float) -> str:
    """The member `ot=th` of a trace that stands for `weight` traces: hex digits without zeros at the end."""
    rejected = round((1.0 - 1.0 / weight) * (1 << RANDOM_BITS))
    return "ot=th:" + (f"{rejected:014x}".rstrip("0") or "0")


def _span(
    trace_id: bytes,
    made: Mapping[str, Any],
    parent: str,
    name: str,
    kind: Span.SpanKind.ValueType,
) -> Span:
    begun = int(made["start_ms"] * NANOS)
    return Span(
        trace_id=trace_id,
        span_id=bytes.fromhex(made["span_id"]),
        parent_span_id=bytes.fromhex(parent),
        name=name,
        kind=kind,
        start_time_unix_nano=begun,
        end_time_unix_nano=begun + int(made["duration_ms"] * NANOS),
    )


def _link(span: Span, told: str) -> None:
    trace_id, _, span_id = told.partition("-")
    span.links.append(Span.Link(trace_id=bytes.fromhex(trace_id), span_id=bytes.fromhex(span_id)))


def spans(hop: Mapping[str, Any]) -> Iterable[Span]:
    """The spans of one request at one hop; as `HopTrace.fields` gives it."""
    trace_id, own = bytes.fromhex(hop["trace_id"]), hop["span_id"]
    server = _span(trace_id, hop, hop["parent_id"], hop["class"] or "request", Span.SPAN_KIND_SERVER)
    server.trace_state = threshold(hop["weight"])
    server.attributes.extend(
        attributes(
            {
                "honeywharf.request": hop["request"],
                "honeywharf.class": hop["class"],
                "honeywharf.tenant": hop["tenant"],
                "honeywharf.end": hop["end"],
                "honeywharf.reason": hop["reason"],
                "honeywharf.kept": hop["kept"],
                "honeywharf.wait_ms": hop["wait_ms"],
                "honeywharf.why": hop.get("honeywharf.why"),
            }
        )
    )
    if hop["end"] in BAD_ENDS:
        server.status.CopyFrom(Status(code=Status.STATUS_CODE_ERROR, message=hop["reason"]))
    if "link" in hop:
        _link(server, hop["link"])
    yield server
    for attempt in hop["attempts"]:
        client = _span(trace_id, attempt, own, "attempt", Span.SPAN_KIND_CLIENT)
        client.attributes.extend(
            attributes(
                {k: v for k, v in attempt.items() if k not in ("span_id", "kind", "start_ms", "duration_ms")}
            )
        )
        if "error.type" in attempt:
            client.status.CopyFrom(Status(code=Status.STATUS_CODE_ERROR, message=attempt["error.type"]))
        yield client
    for wait in hop.get("waits", ()):
        inner = _span(trace_id, wait, own, wait["for"], Span.SPAN_KIND_INTERNAL)
        if "link" in wait:
            _link(inner, wait["link"])
        yield inner


def encoded(lines: Iterable[bytes]) -> bytes:
    """A batch of lines, each one trace at one hop, as an ExportTraceServiceRequest."""
    request = ExportTraceServiceRequest()
    by: dict[tuple[str, str, str], Any] = {}
    for line in lines:
        hop = orjson.loads(line)
        where = (hop["node"], hop["hop"], hop["zone"])
        scope = by.get(where)
        if scope is None:
            resource = request.resource_spans.add()
            resource.resource.attributes.extend(
                attributes(
                    {
                        "service.name": "honeywharf",
                        "service.version": VERSION,
                        "service.instance.id": hop["node"],
                        "honeywharf.hop": hop["hop"],
                        "cloud.availability_zone": hop["zone"],
                    }
                )
            )
            scope = by[where] = resource.scope_spans.add()
            scope.scope.name, scope.scope.version = "honeywharf.traces", VERSION
        scope.spans.extend(spans(hop))
    return bytes(request.SerializeToString())


def decoded(status: int, headers: Mapping[str, str | None], body: bytes) -> delivery.Answer:
    """A collector's answer. One that is no such message says nothing beyond its status."""
    rejected, words = 0, ""
    if status == 200 and body:
        made = ExportTraceServiceResponse()
        try:
            made.ParseFromString(body)
            rejected, words = max(0, made.partial_success.rejected_spans), made.partial_success.error_message
        except DecodeError:
            words = "found an answer that is no ExportTraceServiceResponse"
    after: float | None = None
    text = (headers.get("retry-after") or "").strip()
    if text.isascii() and text.isdigit() and len(text) < 7:
        after = float(text)
    return delivery.Answer(status, rejected, after, words)


class Collector:
    """The exporter: `put` takes a line, a thread sends batches. Nothing of it ever waits in the loop."""

    def __init__(
        self,
        endpoint: str,
        headers: Mapping[str, str],
        wait_s: float,
        queue: Queue,
        rng: random.Random | None = None,
    ) -> None:
        url = urlsplit(endpoint)
        self.endpoint, self.wait_s, self.queue = endpoint, wait_s, queue
        self.host, self.port = url.hostname or "", url.port or (443 if url.scheme == "https" else 4318)
        self.path, self.secure = url.path or "/v1/traces", url.scheme == "https"
        self.headers = {"Content-Type": "application/x-protobuf", **headers}
        self.delivery = delivery.Delivery(rng or random.Random(secrets.randbits(64)))
        self.sent = 0  # traces that a collector took
        self.words = ""  # what it said last that was not well
        self.wake = threading.Event()
        self.closing = False
        self.line: http.client.HTTPConnection | None = None
        self.thread: threading.Thread | None = None

    def start(self) -> str:
        """Begin to send; the collector need not be there."""
        self.thread = threading.Thread(target=self._work, name="otlp", daemon=True)
        self.thread.start()
        return f"sends traces to {self.endpoint}"

    def put(self, line: bytes, bad: bool) -> None:
        """Take one trace of this hop, as JSON."""
        self.queue.put(line, bad)
        if len(self.queue) in (1, delivery.BATCH):  # else the thread has nothing else to do than before
            self.wake.set()

    def counts(self) -> dict[str, int]:
        """What was sent, sent again, refused and lost, by kind."""
        return {
            f"otlp {k}": v for k, v in {"sent": self.sent, **self.delivery.counts, **self.queue.lost}.items()
        }

    def close(self) -> None:
        """Send what waits, for a second at most."""
        self.closing = True
        self.wake.set()
        if self.thread is not None:
            self.thread.join(LAST_S)

    def _work(self) -> None:
        while True:
            now = time.monotonic() * 1000.0
            due = self.delivery.due(now, len(self.queue))
            if self.closing:
                if not self.queue or self.delivery.failures or not self._send(now):
                    self.queue.count_lost(self.queue.take())
                    return
            elif due > 0.0:
                self.wake.wait(min(due / 1000.0, 3600.0))
                self.wake.clear()
            else:
                self._send(now)

    def _send(self, now: float) -> bool:
        """One batch; whether it is done with."""
        batch = self.queue.take(delivery.BATCH)
        try:
            body = encoded(line for line, _ in batch)
        except (ValueError, KeyError, TypeError) as fault:  # of ours, and not the collector's matter
            self.words = f"not encoded: {fault!r}"
            self.queue.count_lost(batch)
            return True
        answer = self._post(body)
        done = self.delivery.answered(time.monotonic() * 1000.0, answer)
        if answer.words or answer.status != 200:
            self.words = answer.words or f"status {answer.status}"
        if answer.status == 200:
            self.sent += len(batch)
        elif done:
            self.queue.count_lost(batch)
        else:
            self.queue.put_back(batch)
        return done

    def _post(self, body: bytes) -> delivery.Answer:
        kind = http.client.HTTPSConnection if self.secure else http.client.HTTPConnection
        try:
            if self.line is None:
                self.line = kind(self.host, self.port, timeout=self.wait_s)
            self.line.request("POST", self.path, body, self.headers)
            answer = self.line.getresponse()
            read = answer.read(MAX_ANSWER + 1)
            if len(read) > MAX_ANSWER or answer.will_close:
                self.line.close()
                self.line = None
            return decoded(answer.status, {k.lower(): v for k, v in answer.getheaders()}, read[:MAX_ANSWER])
        except (OSError, http.client.HTTPException) as fault:
            if self.line is not None:
                self.line.close()
            self.line = None
            return delivery.Answer(0, words=f"{type(fault).__name__}: {fault}")
