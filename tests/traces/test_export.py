"""Export to a collector: spans, batches, retries, and an unreachable collector."""

from __future__ import annotations

import asyncio
import random
import socket
import time
from pathlib import Path
from typing import Any

import orjson
import pytest
from hypothesis import given, settings, strategies as st
from opentelemetry.proto.collector.trace.v1.trace_service_pb2 import ExportTraceServiceRequest
from opentelemetry.proto.trace.v1.trace_pb2 import Span, Status

from honeywharf.config.features import Features, Otlp, Traces
from honeywharf.policy import interface as api
from honeywharf.standins.collector import Collector as StandIn
from honeywharf.traces import TracesComponent, delivery, otlp
from honeywharf.traces.delivery import (
    BATCH_TRACES,
    MAX_BACKOFF_MS,
    MAX_BATCH_WAIT_MS,
    CollectorResponse,
    Delivery,
)
from honeywharf.traces.queue import Queue
from honeywharf.traces.spans import WaitSpan
from tests.loopback import Backend, Client, RunningProxy, run, running_proxy, until
from tests.traces.model import attempt, hop


def trace_features(collector: StandIn, **changes: Any) -> Features:
    settings = Otlp(endpoint=collector.endpoint, headers={"X-Scope": "tiles"}, wait_ms=300.0, **changes)
    return Features(traces=Traces(rate=1e-9, otlp=settings))


def exporter(w: RunningProxy) -> otlp.OtlpExporter:
    (part,) = [p for p in w.proxy.components if isinstance(p, TracesComponent)]
    (found,) = part.exporters
    assert isinstance(found, otlp.OtlpExporter)
    return found


def test_spans_have_parents_kinds_links_and_weights() -> None:
    h = hop("ab" * 16, "failed", 40.0, at=1000.0)
    h.reason, h.request, h.tenant, h.parent_id, h.kept = "no server", "r7", "acme", "2" * 16, ["failed"]
    h.attempts += [attempt(api.Outcome.RESET), attempt(api.Outcome.OK, 1)]
    h.waits = [WaitSpan("key joined", "3" * 16, 1001.0, 1005.5, "cd" * 16 + "-" + "4" * 16)]
    h.link = "ef" * 16 + "-" + "5" * 16
    line = orjson.dumps(h.fields("tile-front", "n3", "tartu"))
    export_request = ExportTraceServiceRequest.FromString(otlp.encode_request([line, line]))
    (resource,) = export_request.resource_spans
    resource_attributes = {a.key: a.value.string_value for a in resource.resource.attributes}
    assert (
        resource_attributes["service.name"],
        resource_attributes["service.instance.id"],
        resource_attributes["cloud.availability_zone"],
    ) == (
        "honeywharf",
        "n3",
        "tartu",
    )
    server, lost, good, wait, *_ = resource.scope_spans[0].spans
    assert len(resource.scope_spans[0].spans) == 8  # Both requests have the same resource.
    assert (server.kind, server.parent_span_id.hex(), server.status.code, server.status.message) == (
        Span.SPAN_KIND_SERVER,
        "2" * 16,
        Status.STATUS_CODE_ERROR,
        "no server",
    )
    assert (server.start_time_unix_nano, server.end_time_unix_nano) == (1_000_000_000, 1_040_000_000)
    assert (server.links[0].trace_id.hex(), server.trace_state) == ("ef" * 16, "ot=th:0")
    assert {s.parent_span_id.hex() for s in (lost, good, wait)} == {server.span_id.hex()}
    assert (lost.kind, lost.status.code, good.status.code) == (
        Span.SPAN_KIND_CLIENT,
        Status.STATUS_CODE_ERROR,
        Status.STATUS_CODE_UNSET,
    )
    assert {a.key for a in good.attributes} >= {"server.address", "http.request.resend_count"}
    assert (wait.kind, wait.name, wait.links[0].span_id.hex()) == (
        Span.SPAN_KIND_INTERNAL,
        "key joined",
        "4" * 16,
    )
    assert wait.end_time_unix_nano - wait.start_time_unix_nano == 4_500_000


@given(st.floats(1e-6, 1.0))
@settings(deadline=None)
def test_threshold_gives_the_weight(rate: float) -> None:
    digits = otlp.threshold(1.0 / rate).removeprefix("ot=th:")
    rejected = int(digits.ljust(14, "0"), 16) / 2**56
    assert abs(1.0 / (1.0 - rejected) - 1.0 / rate) < 1e-6 / rate


@given(
    st.lists(st.tuples(st.booleans(), st.integers(1, 50)), max_size=60),
    st.integers(1, 9),
    st.integers(20, 200),
    st.data(),
)
@settings(deadline=None)
def test_queue_stays_in_its_limits_and_counts_lost_lines(
    lines: list[tuple[bool, int]],
    most: int,
    most_bytes: int,
    data: st.DataObject,
) -> None:
    queue, taken = Queue(most, most_bytes), 0
    for put, (bad, size) in enumerate(lines, 1):
        before = len(queue.ordinary)
        lost_bad = queue.lost["lost bad"]
        queue.put(b"x" * size, bad)
        assert len(queue) <= most
        assert queue.bytes == sum(map(len, [*queue.bad, *queue.ordinary])) <= most_bytes
        if queue.lost["lost bad"] > lost_bad:
            assert not queue.ordinary
            assert before <= most
        if data.draw(st.booleans()):
            batch = queue.take(data.draw(st.integers(1, 4)))
            assert [b for _, b in batch] == sorted((b for _, b in batch), reverse=True)
            if data.draw(st.booleans()):
                queue.put_back(batch)
            else:
                taken += len(batch)
        assert len(queue) + taken + sum(queue.lost.values()) == put


@given(st.lists(st.sampled_from([0, 200, 400, 429, 500, 503]), max_size=40), st.integers(0, 9))
@settings(deadline=None)
def test_backoff_is_limited_and_grows_only_with_failures(
    statuses: list[int],
    seed: int,
) -> None:
    deliveries, now = Delivery(random.Random(seed)), 0.0
    for status in statuses:
        now += deliveries.due(now, BATCH_TRACES)
        assert deliveries.due(now, BATCH_TRACES) == 0.0
        failures = deliveries.failures
        done = deliveries.response_received(now, CollectorResponse(status))
        assert done == (status in (200, 400, 500))
        wait = deliveries.due(now, BATCH_TRACES)
        assert wait <= (0.0 if done else min(MAX_BACKOFF_MS, 1000.0 * 2.0**failures))
        now += wait
    now += MAX_BACKOFF_MS
    assert deliveries.due(now, 0) == float("inf")
    first = deliveries.due(now, 1)
    assert first == pytest.approx(MAX_BATCH_WAIT_MS)  # A batch that is not full waits.
    assert deliveries.due(now + 100.0, 1) == pytest.approx(MAX_BATCH_WAIT_MS - 100.0)
    deliveries.response_received(now, CollectorResponse(503, retry_after_s=7.0))
    assert deliveries.due(now, BATCH_TRACES) == pytest.approx(7000.0)
    deliveries.response_received(now, CollectorResponse(429, retry_after_s=1e9))
    assert deliveries.due(now, BATCH_TRACES) == pytest.approx(delivery.MAX_RETRY_AFTER_MS)


@pytest.mark.parametrize(
    ("headers", "body", "answer"),
    [
        ({}, b"", CollectorResponse(200)),
        ({"retry-after": " 12 "}, b"", CollectorResponse(200, retry_after_s=12.0)),
        ({"retry-after": "-1"}, b"", CollectorResponse(200)),
        ({"retry-after": "Wed, 21 Oct 2026 07:28:00 GMT"}, b"", CollectorResponse(200)),
        (
            {},
            b"\xff\xff no message",
            CollectorResponse(200, message="expected an ExportTraceServiceResponse, got another body"),
        ),
    ],
)
def test_collector_responses_are_decoded(
    headers: dict[str, str | None],
    body: bytes,
    answer: CollectorResponse,
) -> None:
    assert otlp.decode_response(200, headers, body) == answer


async def failed(w: RunningProxy, backend: Backend, number: int) -> float:
    """Sends failing requests one after the other. Returns the longest duration in ms."""
    client, longest = await Client.to(w.port), 0.0
    backend.script += [b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n"] * number
    for _ in range(number):
        begun = time.monotonic()
        client.send("pay", b"x")
        assert await client.status() in (502, 503)
        longest = max(longest, (time.monotonic() - begun) * 1000.0)
    return longest


def test_bad_traces_arrive_after_collector_failures() -> None:
    async def main() -> None:
        collector, backend = await StandIn().start(), await Backend().start()
        collector.script = [503, (429, 1), ("two of them", 2)]
        async with running_proxy([backend.row("b")], trace_features(collector)) as w:
            await failed(w, backend, 1)
            otlp_exporter = exporter(w)
            await until(lambda: otlp_exporter.sent == 1)
            assert (collector.refused, otlp_exporter.delivery.counts["rejected spans"]) == (2, 2)
            assert collector.headers[b"x-scope"] == b"tiles"
            assert otlp_exporter.last_error == "two of them"
            collector.silent = True
            await failed(w, backend, 1)
            await until(lambda: otlp_exporter.delivery.counts["retried"] >= 3)  # The time-out is 300 ms.
            collector.silent = False
            await collector.stop()
            await failed(w, backend, 1)
            await collector.start()
            await until(lambda: otlp_exporter.sent == 3)
            assert len({s.trace_id for s in collector.spans}) == 3
            assert otlp_exporter.queue.lost == {"lost bad": 0, "lost ordinary": 0}
        await backend.stop()
        await collector.close()

    run(main())


def test_stand_in_keeps_its_port_while_stopped() -> None:
    async def main() -> None:
        collector = await StandIn().start()
        await collector.stop()
        with socket.socket() as other, pytest.raises(OSError, match="in use"):
            other.bind(("127.0.0.1", collector.port))
        with pytest.raises(ConnectionRefusedError):
            await asyncio.open_connection("127.0.0.1", collector.port)
        await collector.start()
        _, writer = await asyncio.open_connection("127.0.0.1", collector.port)
        writer.close()
        await collector.close()

    run(main())


def test_unreachable_collector_loses_the_oldest_traces_counted() -> None:
    async def main() -> None:
        collector, backend = await StandIn().start(), await Backend().start()
        await collector.stop()
        async with running_proxy([backend.row("b")], trace_features(collector, queued=2)) as w:
            otlp_exporter = exporter(w)
            backend.default_reply = b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n"
            client = await Client.to(w.port)
            for _ in range(5):
                client.send("pay", b"x")
                assert await client.status() in (502, 503)
            await until(lambda: len(otlp_exporter.queue) == 2 or otlp_exporter.delivery.failures > 0)
            (part,) = w.proxy.components
            await until(lambda: part.counts()["traces:otlp lost bad"] == 3)
            await collector.start()
            await until(lambda: otlp_exporter.sent == 2)
        await backend.stop()
        await collector.close()

    run(main())


def test_close_sends_queued_traces_and_does_not_hang() -> None:
    async def main(alive: bool) -> int:
        collector = await StandIn().start()
        if not alive:
            await collector.stop()
        otlp_exporter = otlp.OtlpExporter(collector.endpoint, {}, 0.2, Queue())
        otlp_exporter.start()
        otlp_exporter.put(orjson.dumps(hop().fields("t", "n", "z")), True)
        begun = time.monotonic()
        await asyncio.to_thread(otlp_exporter.close)
        assert time.monotonic() - begun < 30.0  # The bound allows for a busy machine.
        assert otlp_exporter.sent + otlp_exporter.queue.lost["lost bad"] == 1
        await collector.close()
        return len(collector.spans)

    assert run(main(True)) == 1
    assert run(main(False)) == 0


def test_missing_package_is_reported(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    import sys

    from honeywharf.traces import make_exporters

    monkeypatch.setitem(sys.modules, "honeywharf.traces.otlp", None)
    with pytest.raises(
        ValueError, match=r"traces\.otlp: expected the packages .*, got no honeywharf\.traces\.otlp: run pip"
    ):
        make_exporters(Traces(otlp=Otlp(endpoint="http://127.0.0.1:1/v1/traces")))
