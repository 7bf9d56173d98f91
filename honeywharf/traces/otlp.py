"""Exports kept traces to a collector by OTLP over HTTP with binary protobuf.

Each record becomes a SERVER span for the request at this hop, a CLIENT span for each attempt and an INTERNAL
span for each wait, with links to the requests that it waited for or got its answer from. `ot=th` states how
many ordinary traces a sampled one represents.
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

MAX_RESPONSE_BYTES = 64 * 1024
NANOSECONDS_PER_MS = 1_000_000
CLOSE_TIMEOUT_S = 1.0  # For the last batch, at the end of the process.


def attribute(key: str, value: object) -> KeyValue:
    """Returns an attribute; values other than numbers, texts and lists are encoded as JSON."""
    any_value = AnyValue()
    if isinstance(value, bool):
        any_value.bool_value = value
    elif isinstance(value, int):
        any_value.int_value = value
    elif isinstance(value, float):
        any_value.double_value = value
    elif isinstance(value, list):
        any_value.array_value.values.extend(AnyValue(string_value=str(v)) for v in value)
    else:
        any_value.string_value = value if isinstance(value, str) else orjson.dumps(value).decode()
    return KeyValue(key=key, value=any_value)


def attributes(values: Mapping[str, object]) -> list[KeyValue]:
    """Returns the attributes of all values that are not empty."""
    return [attribute(k, v) for k, v in values.items() if v not in ("", None)]


def threshold(weight: float) -> str:
    """Returns the member `ot=th` of a trace that represents `weight` traces: hex without trailing zeros."""
    rejected = round((1.0 - 1.0 / weight) * (1 << RANDOM_BITS))
    return "ot=th:" + (f"{rejected:014x}".rstrip("0") or "0")


def _span(
    trace_id: bytes,
    record: Mapping[str, Any],
    parent: str,
    name: str,
    kind: Span.SpanKind.ValueType,
) -> Span:
    start_ns = int(record["start_ms"] * NANOSECONDS_PER_MS)
    return Span(
        trace_id=trace_id,
        span_id=bytes.fromhex(record["span_id"]),
        parent_span_id=bytes.fromhex(parent),
        name=name,
        kind=kind,
        start_time_unix_nano=start_ns,
        end_time_unix_nano=start_ns + int(record["duration_ms"] * NANOSECONDS_PER_MS),
    )


def _link(span: Span, link: str) -> None:
    trace_id, _, span_id = link.partition("-")
    span.links.append(Span.Link(trace_id=bytes.fromhex(trace_id), span_id=bytes.fromhex(span_id)))


def spans(hop: Mapping[str, Any]) -> Iterable[Span]:
    """Yields the spans of a record of `HopTrace.fields`, the request at one hop."""
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


def encode_request(lines: Iterable[bytes]) -> bytes:
    """Encodes a batch of lines, each one trace at one hop, as an ExportTraceServiceRequest."""
    request = ExportTraceServiceRequest()
    scopes: dict[tuple[str, str, str], Any] = {}
    for line in lines:
        hop = orjson.loads(line)
        resource_key = (hop["node"], hop["hop"], hop["zone"])
        scope = scopes.get(resource_key)
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
            scope = scopes[resource_key] = resource.scope_spans.add()
            scope.scope.name, scope.scope.version = "honeywharf.traces", VERSION
        scope.spans.extend(spans(hop))
    return bytes(request.SerializeToString())


def decode_response(
    status: int, headers: Mapping[str, str | None], body: bytes
) -> delivery.CollectorResponse:
    """Decodes a collector's response; a body that is no ExportTraceServiceResponse is ignored."""
    rejected, message = 0, ""
    if status == 200 and body:
        response = ExportTraceServiceResponse()
        try:
            response.ParseFromString(body)
            rejected, message = (
                max(0, response.partial_success.rejected_spans),
                response.partial_success.error_message,
            )
        except DecodeError:
            message = "expected an ExportTraceServiceResponse, got another body"
    retry_after_s: float | None = None
    text = (headers.get("retry-after") or "").strip()
    if text.isascii() and text.isdigit() and len(text) < 7:
        retry_after_s = float(text)
    return delivery.CollectorResponse(status, rejected, retry_after_s, message)


class OtlpExporter:
    """Sends queued traces to a collector from a thread of its own, so the event loop never waits."""

    def __init__(
        self,
        endpoint: str,
        headers: Mapping[str, str],
        timeout_s: float,
        queue: Queue,
        rng: random.Random | None = None,
    ) -> None:
        url = urlsplit(endpoint)
        self.endpoint, self.timeout_s, self.queue = endpoint, timeout_s, queue
        self.host, self.port = url.hostname or "", url.port or (443 if url.scheme == "https" else 4318)
        self.path, self.secure = url.path or "/v1/traces", url.scheme == "https"
        self.headers = {"Content-Type": "application/x-protobuf", **headers}
        self.delivery = delivery.Delivery(rng or random.Random(secrets.randbits(64)))
        self.sent = 0  # The number of traces that the collector accepted.
        self.last_error = ""
        self.wake = threading.Event()
        self.closing = False
        self.connection: http.client.HTTPConnection | None = None
        self.thread: threading.Thread | None = None

    def start(self) -> str:
        """Starts the thread; the collector need not be reachable."""
        self.thread = threading.Thread(target=self._run, name="otlp", daemon=True)
        self.thread.start()
        return f"sends traces to {self.endpoint}"

    def put(self, line: bytes, bad: bool) -> None:
        """Queues one trace of this hop, as JSON."""
        self.queue.put(line, bad)
        # Other lengths do not change the thread's next action.
        if len(self.queue) in (1, delivery.BATCH_TRACES):
            self.wake.set()

    def counts(self) -> dict[str, int]:
        """Returns the numbers of sent, retried, refused and lost traces, by kind."""
        return {
            f"otlp {k}": v for k, v in {"sent": self.sent, **self.delivery.counts, **self.queue.lost}.items()
        }

    def close(self) -> None:
        """Sends queued traces within CLOSE_TIMEOUT_S, and stops the thread."""
        self.closing = True
        self.wake.set()
        if self.thread is not None:
            self.thread.join(CLOSE_TIMEOUT_S)

    def _run(self) -> None:
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
        """Sends one batch. Returns whether it is finished."""
        batch = self.queue.take(delivery.BATCH_TRACES)
        try:
            body = encode_request(line for line, _ in batch)
        except (ValueError, KeyError, TypeError) as fault:  # A fault of the record.
            self.last_error = f"batch not encoded: {fault!r}"
            self.queue.count_lost(batch)
            return True
        response = self._post(body)
        done = self.delivery.response_received(time.monotonic() * 1000.0, response)
        if response.message or response.status != 200:
            self.last_error = response.message or f"status {response.status}"
        if response.status == 200:
            self.sent += len(batch)
        elif done:
            self.queue.count_lost(batch)
        else:
            self.queue.put_back(batch)
        return done

    def _post(self, body: bytes) -> delivery.CollectorResponse:
        connection_type = http.client.HTTPSConnection if self.secure else http.client.HTTPConnection
        try:
            if self.connection is None:
                self.connection = connection_type(self.host, self.port, timeout=self.timeout_s)
            self.connection.request("POST", self.path, body, self.headers)
            response = self.connection.getresponse()
            read = response.read(MAX_RESPONSE_BYTES + 1)
            if len(read) > MAX_RESPONSE_BYTES or response.will_close:
                self.connection.close()
                self.connection = None
            return decode_response(
                response.status, {k.lower(): v for k, v in response.getheaders()}, read[:MAX_RESPONSE_BYTES]
            )
        except (OSError, http.client.HTTPException) as fault:
            if self.connection is not None:
                self.connection.close()
            self.connection = None
            return delivery.CollectorResponse(0, message=f"{type(fault).__name__}: {fault}")
