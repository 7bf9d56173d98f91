"""Idempotency keys of one proxy, through a running proxy on loopback sockets."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import pytest

from honeywharf.config.features import Features, OrderKeys
from honeywharf.orderkeys.deduplicator import MAX_JOINED_PER_KEY, KeyDeduplicator
from honeywharf.policy import interface as api
from honeywharf.proxy import Proxy
from tests.loopback import (
    SETTINGS,
    Backend,
    Client,
    RunningProxy,
    make_config,
    reply,
    run,
    running_proxy,
    soon,
    until,
)

ENABLED = Features(order_keys=OrderKeys(store="process"))


def short_window(window_ms: float) -> list[dict[str, Any]]:
    return [{**p, "windowMs": window_ms} if p["name"] == "order" else p for p in SETTINGS["profiles"]]


@asynccontextmanager
async def proxy_with_backends(
    number: int = 1,
    features: Features | None = ENABLED,
    **changes: Any,
) -> AsyncIterator[tuple[RunningProxy, list[Backend]]]:
    """A proxy before `number` backends, each in its own cell. Checks at the end that no request is left."""
    backends = [await Backend().start() for _ in range(number)]
    async with running_proxy(
        [b.row(f"b{i}", cell=i) for i, b in enumerate(backends)], features, **changes
    ) as w:
        yield w, backends
        await until(lambda: not w.proxy.driver.requests)
        deduplicator = w.proxy.driver.hooks.request_deduplicator
        assert w.proxy.driver.open_requests == 0
        if isinstance(deduplicator, KeyDeduplicator):
            assert not deduplicator.runs
            assert not deduplicator.waiting
    for backend in backends:
        await backend.stop()


def deduplicator_of(w: RunningProxy) -> KeyDeduplicator:
    assert isinstance(w.proxy.driver.hooks.request_deduplicator, KeyDeduplicator)
    return w.proxy.driver.hooks.request_deduplicator


async def clients(w: RunningProxy, number: int) -> list[Client]:
    return [await Client.to(w.port) for _ in range(number)]


async def running_and_joined(w: RunningProxy, backend: Backend) -> tuple[Client, Client]:
    """A client whose order runs at a silent backend, and a client that waits for the same key."""
    backend.default_reply = None
    first, repeat = await clients(w, 2)
    first.send("order", b"x", key="k")
    await until(lambda: backend.request_received.is_set())
    repeat.send("order", b"x", key="k")
    await until(lambda: len(deduplicator_of(w).waiting) == 1)
    return first, repeat


async def answer_all(backend: Backend, body: bytes = b"tile") -> None:
    """Answer on every connection once a request has come; earlier bytes would answer no request."""
    await soon(backend.request_received.wait())
    for writer in list(backend.writers):
        writer.write(reply(200, body))


def test_five_copies_of_a_key_at_once_run_once_and_have_one_answer() -> None:
    async def main() -> None:
        async with proxy_with_backends() as (w, (backend,)):
            backend.default_reply = None
            copies = await clients(w, 5)
            for client in copies:
                client.send("order", b"x", key="k")
            await until(lambda: len(deduplicator_of(w).waiting) == 4)
            await answer_all(backend, b"the one")
            answers = [await client.answer() for client in copies]
            assert {(a[0].split()[1], a[2]) for a in answers} == {(b"200", b"the one")}
            copies[0].send("order", b"x", key="k")  # once more, when the key is done
            assert (await copies[0].answer())[2] == b"the one"
            assert len(backend.requests) == 1

    run(main())


def test_a_process_that_ends_refuses_new_keys_and_joins_known_ones() -> None:
    """Guards against a refusal that says of a repeated order that it has not run."""

    async def main() -> None:
        async with proxy_with_backends() as (w, (backend,)):
            backend.default_reply = None
            first, repeat, other = await clients(w, 3)
            first.send("order", b"x", key="k")
            await until(lambda: backend.request_received.is_set())
            w.proxy.controller.shares_listener = True
            w.proxy.drain()
            for client, key in ((repeat, "k"), (other, "new")):
                client.send("order", b"x", key=key)
            assert await other.status() == 503
            await until(lambda: len(deduplicator_of(w).waiting) == 1)
            await answer_all(backend, b"the one")
            assert [(await client.answer())[2] for client in (first, repeat)] == [b"the one"] * 2
            assert len(backend.requests) == 1

    run(main())


def test_without_the_feature_each_copy_is_sent() -> None:
    """Shows that the test above passes because of the feature."""

    async def main() -> None:
        async with proxy_with_backends(features=None) as (w, (backend,)):
            (client,) = await clients(w, 1)
            for _ in range(2):
                client.send("order", b"x", key="k")
                assert await client.status() == 200
            assert len(backend.requests) == 2
            assert w.proxy.driver.hooks.request_deduplicator is None

    run(main())


def test_a_repeat_gets_the_answer_after_the_first_client_disconnected() -> None:
    async def main() -> None:
        async with proxy_with_backends() as (w, (backend,)):
            first, repeat = await running_and_joined(w, backend)
            first.writer.transport.abort()
            await until(lambda: w.proxy.driver.open_requests == 1)
            await answer_all(backend)
            assert await repeat.status() == 200
            assert len(backend.requests) == 1

    run(main())


def test_a_repeat_that_disconnects_does_not_affect_the_first_request() -> None:
    async def main() -> None:
        async with proxy_with_backends() as (w, (backend,)):
            first, repeat = await running_and_joined(w, backend)
            repeat.writer.transport.abort()
            await until(lambda: not deduplicator_of(w).waiting)
            await answer_all(backend)
            assert await first.status() == 200

    run(main())


def test_a_repeat_with_less_time_times_out_alone_and_the_first_request_goes_on() -> None:
    async def main() -> None:
        async with proxy_with_backends() as (w, (backend,)):
            backend.default_reply = None
            first, repeat = await clients(w, 2)
            first.send("order", b"x", key="k")
            await until(lambda: backend.request_received.is_set())
            repeat.send("order", b"x", "150m", key="k")
            assert await repeat.status() == 502  # not refused, because the first may have run
            await answer_all(backend)
            assert await first.status() == 200
            assert len(backend.requests) == 1  # the repeat was not sent

    run(main())


@pytest.mark.parametrize("waits", [True, False])
def test_a_repeat_with_more_time_is_sent_to_the_same_cell_only(waits: bool) -> None:
    async def main() -> None:
        async with proxy_with_backends(4) as (w, backends):
            for backend in backends:
                backend.script = [None, None]  # a last attempt may be sent just before the deadline
            first, repeat = await clients(w, 2)
            first.send("order", b"x", "300m", key="k")
            await until(lambda: any(b.request_received.is_set() for b in backends))
            if waits:
                repeat.send("order", b"x", key="k")
            assert await first.status() == 502
            for backend in backends:
                backend.script = []
            if not waits:
                await until(lambda: not w.proxy.driver.requests)
                repeat.send("order", b"x", key="k")
            assert await repeat.status() == 200
            assert sorted(len(b.requests) > 0 for b in backends) == [False, False, False, True]
            places = [e.earlier for e in w.events if isinstance(e, api.RequestArrived)]
            assert places[0] is None
            place = places[1]
            assert place is not None
            assert len(backends[place.cell].requests) >= 2

    run(main())


def test_after_the_window_an_uncertain_key_fails_and_is_not_sent() -> None:
    async def main() -> None:
        keep = Features(order_keys=OrderKeys(store="process", keep_ms={"order": 60000.0}))
        async with proxy_with_backends(2, keep, profiles=short_window(400.0)) as (w, backends):
            for backend in backends:
                backend.script = [None, None]  # a last attempt may be sent just before the deadline
            (client,) = await clients(w, 1)
            client.send("order", b"x", "200m", key="k")
            assert await client.status() == 502
            await until(lambda: not w.proxy.driver.requests)
            sent = sum(len(b.requests) for b in backends)
            await asyncio.sleep(0.4)
            client.send("order", b"x", key="k")
            assert await client.status() == 502  # a refusal would promise that a retry is safe
            assert sum(len(b.requests) for b in backends) == sent > 0

    run(main())


def test_when_its_cell_is_gone_an_uncertain_key_fails_and_is_never_refused() -> None:
    async def main() -> None:
        async with proxy_with_backends(2) as (w, backends):
            for backend in backends:
                backend.script = [None, None]  # a last attempt may be sent just before the deadline
            (client,) = await clients(w, 1)
            client.send("order", b"x", "200m", key="k")
            assert await client.status() == 502
            await until(lambda: not w.proxy.driver.requests)
            sent = sum(len(b.requests) for b in backends)
            used = next(i for i, b in enumerate(backends) if b.requests)
            w.discovery.script_answer(2, backends[used].row(f"b{used}", lifecycle="removed", cell=used))
            await until(lambda: f"b{used}" not in w.proxy.balancer.endpoints.servers)
            client.send("order", b"x", key="k")
            assert await client.status() == 502
            assert sum(len(b.requests) for b in backends) == sent > 0
            for backend in backends:
                backend.script = []
            client.send("order", b"x", key="new")  # the other cell serves
            assert await client.status() == 200

    run(main())


def test_a_key_that_the_backend_rejected_is_free() -> None:
    async def main() -> None:
        async with proxy_with_backends() as (w, (backend,)):
            backend.default_reply = reply(503, b"", b"X-Unprocessed: 1")
            (client,) = await clients(w, 1)
            client.send("order", b"x", key="k")
            assert await client.status() == 503
            await until(lambda: not w.proxy.driver.requests)
            assert not deduplicator_of(w).table.entries
            assert all(e.earlier is None for e in w.events if isinstance(e, api.RequestArrived))

    run(main())


def test_another_payload_is_422_and_another_tenant_has_its_own_key() -> None:
    async def main() -> None:
        async with proxy_with_backends() as (w, (backend,)):
            (client,) = await clients(w, 1)
            tries = ((b"x", "a", 200), (b"y", "a", 422), (b"y", "b", 200), (b"x", "a", 200))
            for body, account, status in tries:
                client.send("order", body, "4000m", f"X-Account: {account}", key="k")
                assert await client.status() == status
            assert [m[2] for m in backend.requests] == [b"x", b"y"]

    run(main())


@pytest.mark.parametrize("key", [b"\x80\xff", b"k" * 10240, b'"quoted, ; key"'], ids=["binary", "10 KB", "q"])
def test_unusual_keys_are_accepted(key: bytes) -> None:
    async def main() -> None:
        async with proxy_with_backends() as (w, (backend,)):
            (client,) = await clients(w, 1)
            head = (
                b"POST /api?q=1 HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: %d\r\n"
                b"X-Service-Class: order\r\nX-Time-Left: 4000m\r\nContent-Length: 1\r\n"
                b"Idempotency-Key: %b\r\n\r\nx"
            )
            for serial in range(2):
                assert await client.send_raw(head % (serial, key)) == 200
            assert [m[1][b"idempotency-key"] for m in backend.requests] == [key]

    run(main())


@pytest.mark.parametrize("features", [None, ENABLED], ids=["off", "on"])
def test_an_empty_key_is_invalid(features: Features | None) -> None:
    async def main() -> None:
        async with proxy_with_backends(features=features) as (w, (backend,)):
            (client,) = await clients(w, 1)
            assert (
                await client.send_raw(
                    b"POST /api HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: empty\r\n"
                    b"X-Service-Class: order\r\nX-Time-Left: 4000m\r\n"
                    b"Content-Length: 1\r\nIdempotency-Key:\r\n\r\nx"
                )
                == 400
            )
            assert not backend.requests

    run(main())


def test_repeats_beyond_the_limit_get_status_409() -> None:
    async def main() -> None:
        async with proxy_with_backends() as (w, (backend,)):
            backend.default_reply = None
            copies = await clients(w, MAX_JOINED_PER_KEY + 2)
            for client in copies[:-1]:
                client.send("order", b"x", key="k")
            await until(lambda: len(deduplicator_of(w).waiting) == MAX_JOINED_PER_KEY)
            copies[-1].send("order", b"x", key="k")
            assert await copies[-1].status() == 409
            await answer_all(backend)
            assert [await c.status() for c in copies[:-1]] == [200] * (MAX_JOINED_PER_KEY + 1)

    run(main())


def test_a_full_table_refuses_a_new_key_before_anything_has_run() -> None:
    async def main() -> None:
        two = Features(order_keys=OrderKeys(store="process", entries=2))
        async with proxy_with_backends(features=two) as (w, (backend,)):
            backend.default_reply = None
            first, second = await clients(w, 2)
            first.send("order", b"x", "4000m", "X-Account: a", key="k")
            await until(lambda: backend.request_received.is_set())
            # A tenant gets half of the entries at most.
            second.send("order", b"x", "4000m", "X-Account: a", key="other")
            status, headers, _ = await second.answer()
            assert status.split()[1] == b"503"
            assert float(headers[b"retry-after"]) > 0
            await answer_all(backend)
            assert await first.status() == 200
            assert len(backend.requests) == 1

    run(main())


def test_a_long_answer_is_requested_again_from_its_cell_and_a_different_one_is_not_passed_on() -> None:
    async def main() -> None:
        digest = Features(order_keys=OrderKeys(store="process", whole_answer_bytes=1))
        async with proxy_with_backends(3, digest) as (w, backends):
            (client,) = await clients(w, 1)
            for status in (200, 200):
                client.send("order", b"x", key="k")
                assert await client.status() == status
                await until(lambda: not w.proxy.driver.requests)
            for backend in backends:
                backend.default_reply = reply(200, b"not the same")
            client.send("order", b"x", key="k")
            assert await client.status() == 502
            assert sorted(len(b.requests) for b in backends) == [0, 0, 3]

    run(main())


def test_a_keep_time_below_the_window_and_a_class_without_keys_are_errors() -> None:
    async def main() -> None:
        for keep, words in (
            ({"order": 1000.0}, "wanted 7500 at least"),
            ({"read": 9000.0}, "found class 'read'"),
        ):
            features = Features(order_keys=OrderKeys(store="process", keep_ms=keep))
            with pytest.raises(ValueError, match=words):
                Proxy(make_config(1, []), asyncio.get_running_loop(), features)

    run(main())
