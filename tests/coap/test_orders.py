"""Orders by both protocols over a bad network: each key is charged once, and not so without order keys."""

from __future__ import annotations

import asyncio
from pathlib import Path

from honeywharf.codecs import coap
from honeywharf.lab.histories import History
from honeywharf.standins.coapday import DELAY_S, day
from honeywharf.standins.keyday import KEPT_MS, PROCESS
from honeywharf.standins.units import GAVE_UP
from tests.coap.test_front import Unit, port_of, served, told
from tests.loopback import Client, reply, run, until
from tests.orderkeys.shared import deduplicator_of


def test_a_key_tried_by_coap_and_http_clients_is_charged_once(tmp_path: Path) -> None:
    found = {}
    for name, features in (("off", ""), ("on", PROCESS)):
        folder = tmp_path / name
        folder.mkdir()
        found[name] = asyncio.run(day(features, 150, 1, folder))
    assert found["off"]["twice"] > 0
    assert found["on"]["twice"] == 0
    assert not any(found["on"]["faults"].values())
    assert found["on"]["by CoAP"] > 100
    assert found["on"]["by CoAP nodes"] > 20
    assert found["on"]["duplicate"] > 0
    assert found["on"]["lost"] > 0


def test_a_datagram_of_a_unit_that_gave_up_runs_after_a_refusal_that_was_true() -> None:
    """The history behind a refusal that a checker took for untrue, made on purpose.

    A unit's order is on its way while it gives up. By HTTP the same key is asked for, and refused, as no node
    took it; the late datagram was joined to it, runs then, and is charged before the refusal is read.
    """

    async def main() -> None:
        async with served() as (w, backend, front):
            h, unit = History(), await Unit.to(port_of(front))
            h.asked("unit", "k", 0.0, False)
            h.answered("unit", 400.0, GAVE_UP, late_ms=DELAY_S * 1000.0 + 4000.0)  # sent, not arrived
            unseen = reply(503, b"", b"X-Unprocessed: 1")
            backend.script, backend.then = [None, unseen, unseen], reply(200, b"tile")
            caller = await Client.to(w.port)
            h.asked("http", "k", 450.0, True)
            caller.send("order", b"x", "4000m", "X-Repeat: 1", key="k")
            await until(lambda: len(backend.requests) == 1)
            unit.send(told(id="late"), payload=b"x")
            await until(lambda: any(run.joined for run in deduplicator_of(w).runs.values()))
            for writer in list(backend.writers):
                writer.write(unseen)
            answer = await unit.next()
            while answer.code == coap.EMPTY:
                answer = await unit.next()
            assert (answer.code, answer.payload) == (coap.CHANGED, b"tile")
            assert [m[1][b"x-correlation-id"] == b"late" for m in backend.requests] == [False] * 3 + [True]
            h.charged("k", "unit", 460.0)
            assert await caller.status() == 503
            h.answered("http", 470.0, 503)
            assert not any(h.faults(KEPT_MS).values())
            h.asks["unit"].late_until_ms = 0.0  # as the checker saw it before
            assert h.faults(KEPT_MS)["refused means no charge"] == ["http"]

    run(main())
