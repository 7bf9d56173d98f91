"""Orders by both protocols over a lossy network: each key is charged once, unlike without order keys."""

from __future__ import annotations

import asyncio
from pathlib import Path

from honeywharf.codecs import coap
from honeywharf.lab.histories import History
from honeywharf.standins.coap_scenario import MAX_DELAY_S, run_scenario
from honeywharf.standins.order_key_scenario import KEY_RETENTION_MS, PROCESS_STORE
from honeywharf.standins.units import GIVEN_UP
from tests.coap.test_front import Unit, port_of, request_options, served
from tests.loopback import Client, reply, run, until
from tests.orderkeys.shared import deduplicator_of


def test_a_key_used_by_coap_and_http_clients_is_charged_once(tmp_path: Path) -> None:
    results = {}
    for name, features in (("off", ""), ("on", PROCESS_STORE)):
        folder = tmp_path / name
        folder.mkdir()
        results[name] = asyncio.run(run_scenario(features, 150, 1, folder))
    assert results["off"]["twice"] > 0
    assert results["on"]["twice"] == 0
    assert not any(results["on"]["faults"].values())
    assert results["on"]["by CoAP"] > 100
    assert results["on"]["by CoAP nodes"] > 20
    assert results["on"]["duplicate"] > 0
    assert results["on"]["lost"] > 0


def test_a_late_datagram_may_run_after_a_correct_rejection() -> None:
    """Guards against a checker that takes a correct rejection for a wrong one.

    A unit gives up while its order is in flight. An HTTP request with the same key is rejected, as no node
    took it. The late datagram, which had joined that request, then runs and is charged before the rejection
    is read.
    """

    async def main() -> None:
        async with served() as (w, backend, front):
            h, unit = History(), await Unit.to(port_of(front))
            h.requested("unit", "k", 0.0, False)
            h.answered(
                "unit", 400.0, GIVEN_UP, late_ms=MAX_DELAY_S * 1000.0 + 4000.0
            )  # sent, but not received
            unprocessed = reply(503, b"", b"X-Unprocessed: 1")
            backend.script, backend.default_reply = [None, unprocessed, unprocessed], reply(200, b"tile")
            client = await Client.to(w.port)
            h.requested("http", "k", 450.0, True)
            client.send("order", b"x", "4000m", "X-Repeat: 1", key="k")
            await until(lambda: len(backend.requests) == 1)
            unit.send(request_options(id="late"), payload=b"x")
            await until(lambda: any(run.joined for run in deduplicator_of(w).runs.values()))
            for writer in list(backend.writers):
                writer.write(unprocessed)
            answer = await unit.next()
            while answer.code == coap.EMPTY:
                answer = await unit.next()
            assert (answer.code, answer.payload) == (coap.CHANGED, b"tile")
            assert [m[1][b"x-correlation-id"] == b"late" for m in backend.requests] == [False] * 3 + [True]
            h.charged("k", "unit", 460.0)
            assert await client.status() == 503
            h.answered("http", 470.0, 503)
            assert not any(h.violations(KEY_RETENTION_MS).values())
            h.requests_by_id["unit"].late_until_ms = 0.0  # the checker ignores the late datagram
            assert h.violations(KEY_RETENTION_MS)["refused means no charge"] == ["http"]

    run(main())
