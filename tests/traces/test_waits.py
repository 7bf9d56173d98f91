"""Spans and links of waits and joined requests, and the context of CoAP clients and nodes."""

from __future__ import annotations

import random
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, strategies as st

from honeywharf.coap import options
from honeywharf.coap.part import CoapPart
from honeywharf.codecs import coap
from honeywharf.config.features import Coap, Features, OrderKeys, Traces
from honeywharf.traces import Recorder, Sampler, Sampling, Spool, TracesComponent, store
from honeywharf.traces.spans import HopTrace
from tests.coap.test_backend import Node
from tests.coap.test_front import Unit, request_options
from tests.loopback import Backend, Client, RunningProxy, reply, row, run, running_proxy, until
from tests.orderkeys.shared import sharing

PARENT = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
ID = PARENT[3:35]


def trace_features(path: Path, **others: Any) -> Features:
    return Features(traces=Traces(file=str(path), rate=1.0), **others)


async def kept(w: RunningProxy, number: int) -> list[dict[str, Any]]:
    (part,) = [p for p in w.proxy.components if isinstance(p, TracesComponent)]
    (spool,) = part.exporters
    assert isinstance(spool, Spool)
    await until(lambda: spool.written >= number)
    return sorted(store.read([spool.path])[0], key=lambda h: h["start_ms"])


def mark(hop: dict[str, Any], attempt: int = 0) -> str:
    return f"{hop['trace_id']}-{hop['attempts'][attempt]['span_id']}"


def test_joined_and_late_repeats_link_to_the_attempt_that_was_answered(
    tmp_path: Path,
) -> None:
    async def main() -> None:
        backend = await Backend().start()
        backend.default_reply = None
        features = trace_features(tmp_path / "t", order_keys=OrderKeys(store="process"))
        async with running_proxy([backend.row("b")], features) as w:
            first, repeat = await Client.to(w.port), await Client.to(w.port)
            first.send("order", b"x", key="k")
            await until(lambda: bool(backend.requests))
            repeat.send("order", b"x", "4000m", f"traceparent: {PARENT}", key="k")
            await until(lambda: w.proxy.driver.counts.get("keys:joined") == 1)
            for writer in list(backend.writers):
                writer.write(reply(200, b"the one"))
            _, headers, body = await repeat.answer()
            assert body == b"the one"
            assert (await first.answer())[2] == b"the one"
            late = await Client.to(w.port)
            late.send("order", b"x", key="k")
            assert (await late.answer())[2] == b"the one"
            late.send("order", b"other", key="k")
            assert await late.status() == 422
            one, joined, after, other = await kept(w, 4)
            assert "waits" not in one
            assert (joined["trace_id"], joined["end"], joined["reason"]) == (ID, "served", "another's answer")
            assert headers[b"traceresponse"].decode()[:52] == f"00-{ID}-{joined['span_id']}"
            (wait,) = joined["waits"]
            assert (wait["for"], wait["link"]) == ("key joined", mark(one))
            assert 0.0 < wait["duration_ms"] <= joined["duration_ms"]
            assert joined["attempts"] == []
            assert joined["link"] == after["link"] == mark(one)
            assert "waits" not in after
            assert (other["end"], other["reason"], other["kept"]) == ("failed", "other payload", ["failed"])
        await backend.stop()

    run(main())


def test_repeat_that_runs_after_a_wait_has_a_wait_span(tmp_path: Path) -> None:
    async def main() -> None:
        backend = await Backend().start()
        backend.script = [None]  # The first request is never answered.
        features = trace_features(tmp_path / "t", order_keys=OrderKeys(store="process"))
        async with running_proxy([backend.row("b")], features) as w:
            first, repeat = await Client.to(w.port), await Client.to(w.port)
            first.send("order", b"x", "300m", key="k")
            await until(lambda: bool(backend.requests))
            repeat.send("order", b"x", key="k")
            assert await first.status() == 502
            assert await repeat.status() == 200
            _, ran = await kept(w, 2)
            (wait,) = ran["waits"]
            (attempt,) = ran["attempts"]
            assert wait["for"] == "key joined"
            assert ran["end"] == "served"
            assert ran["start_ms"] + ran["wait_ms"] == pytest.approx(attempt["start_ms"])
            assert wait["start_ms"] + wait["duration_ms"] <= attempt["start_ms"] + 1.0
            assert "link" not in ran  # The answer was made for this request.
        await backend.stop()

    run(main())


def test_claims_and_notes_of_a_shared_key_are_waits(tmp_path: Path) -> None:
    async def main() -> None:
        async with sharing(1, 2) as (_, (w,), backends):
            traced: list[HopTrace] = []
            w.proxy.driver.hooks.tracer = Recorder(
                Sampler(Sampling(1.0), {}, traced.append, trusts=False), random.Random(1)
            )
            for backend in backends:
                backend.script = ["close"]  # The outcome is unknown, so a retry has to stay in the cell.
            client = await Client.to(w.port)
            client.send("order", b"x", key="k1")
            await client.status()
            for backend in backends:
                backend.script = [reply(503, b"", b"X-Unprocessed: 1")] if not backend.requests else []
            client.send("order", b"x", key="k2")
            assert await client.status() == 200
            await until(lambda: len(traced) == 2)
            kinds = [[x.kind for x in h.waits or ()] for h in traced]
            assert all(k[0] == "key claim" for k in kinds)
            moved = [
                k for h, k in zip(traced, kinds, strict=True) if len({a.endpoint for a in h.attempts}) > 1
            ]
            assert all("key note" in k for k in moved)

    run(main())


def test_coap_client_context_is_propagated_to_http_and_answered(tmp_path: Path) -> None:
    async def main() -> None:
        backend = await Backend().start()
        features = trace_features(tmp_path / "t", coap=Coap(listen="127.0.0.1:0"))
        async with running_proxy([backend.row("b")], features) as w:
            front = next(p for p in w.proxy.components if isinstance(p, CoapPart)).front
            assert front is not None
            await until(lambda: front.transport is not None)
            assert front.transport is not None
            unit = await Unit.to(front.transport.get_extra_info("sockname")[1])
            parent = options.trace_context_bytes(PARENT.encode())
            answer = await unit.ask(
                [*request_options("read"), (options.TRACE_PARENT, parent), (options.TRACE_STATE, b"other=1")]
            )
            assert answer.code == coap.CONTENT
            (hop,) = await kept(w, 1)
            assert (hop["trace_id"], hop["parent_id"]) == (ID, PARENT[36:52])
            response = options.trace_context_text(answer.option(options.TRACE_RESPONSE) or b"").decode()
            assert response[:52] == f"00-{ID}-{hop['span_id']}"
            headers = backend.requests[0][1]
            assert headers[b"traceparent"].decode()[3:35] == ID
            assert headers[b"tracestate"].endswith(b",other=1")
            await unit.ask([*request_options("read"), (options.TRACE_PARENT, b"too short")])
            await unit.ask(
                [*request_options("read"), (options.TRACE_PARENT, parent), (options.TRACE_PARENT, parent)]
            )
            part = next(p for p in w.proxy.components if isinstance(p, TracesComponent))
            assert (part.recorder.damaged["parent"], part.recorder.damaged["twice"]) == (1, 1)
            await until(lambda: not w.proxy.driver.requests and not front.layer.open_count_by_peer)
            front.close()
        await backend.stop()

    run(main())


def test_coap_node_gets_the_context_and_reports_that_it_keeps_the_trace(tmp_path: Path) -> None:
    async def main() -> None:
        node = await Node().start()
        features = Features(traces=Traces(file=str(tmp_path / "t"), rate=1e-9), coap=Coap(nodes=True))
        async with running_proxy([row("c0", node.port, cell=0, scheme="coap")], features) as w:
            client = await Client.to(w.port)
            node.response_options = [
                (options.TRACE_RESPONSE, options.trace_context_bytes(f"00-{ID}-{'1' * 16}-01".encode()))
            ]
            client.send("order", b"x", "4000m", f"traceparent: {PARENT}", key="k")
            assert await client.status() == 200
            (hop,) = await kept(w, 1)
            request = options.decode_request(node.got[0])
            assert request.trace_parents[0].decode()[3:52] == f"{ID}-{hop['attempts'][0]['span_id']}"
            assert request.trace_states[0].startswith(b"ot=rv:")
            assert hop["kept"] == ["below"]
            await until(lambda: not w.proxy.driver.requests)
        node.stop()

    run(main())


@given(st.binary(max_size=40))
def test_context_bytes_convert_to_a_header_and_back(value: bytes) -> None:
    text = options.trace_context_text(value)
    if len(value) == options.TRACE_CONTEXT_BYTES:
        assert options.trace_context_bytes(text) == value
        assert len(text) == 55
    else:
        assert text == value
    assert options.trace_context_options(b"traceparent: " + value.replace(b"\r\n", b"") + b"\r\n") in (
        [],
        [(options.TRACE_PARENT, options.trace_context_bytes(value))],
    )


def test_request_refused_before_the_decision_has_a_trace(tmp_path: Path) -> None:
    async def main() -> None:
        backend = await Backend().start()
        backend.default_reply = None
        async with running_proxy(
            [backend.row("b")], trace_features(tmp_path / "t"), bounds={"openCap": 1}
        ) as w:
            first, second = await Client.to(w.port), await Client.to(w.port)
            first.send("read", b"", "500m")
            await until(lambda: bool(backend.requests))
            second.send()
            assert await second.status() == 503
            (hop,) = await kept(w, 1)
            assert (hop["end"], hop["reason"], hop["kept"]) == ("refused", "too many open", ["refused"])
            await first.status()
        await backend.stop()

    run(main())
