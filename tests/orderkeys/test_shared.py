"""Keys that proxies share, through running proxies and a Redis server on loopback."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from honeywharf.orderkeys.redis import address_of
from honeywharf.policy import interface as api
from tests.loopback import Client, RunningProxy, reply, run, until
from tests.orderkeys.shared import deduplicator_of, sharing, store_available, store_of


async def clients(*worlds: RunningProxy) -> list[Client]:
    return [await Client.to(w.port) for w in worlds]


def counted(w: RunningProxy, what: str) -> int:
    return w.proxy.driver.counts.get(what, 0)


def test_five_copies_through_five_proxies_run_once_and_have_one_answer() -> None:
    async def main() -> None:
        async with sharing(5, 4) as (_, worlds, backends):
            for backend in backends:
                backend.default_reply = None
            copies = await clients(*worlds)
            for client in copies:
                client.send("order", b"x", key="k")
            await until(lambda: sum(len(deduplicator_of(w).waiting) for w in worlds) == 4)
            await until(lambda: any(b.requests for b in backends))
            for backend in backends:
                for writer in list(backend.writers):
                    writer.write(reply(200, b"the one"))
            answers = [await client.answer() for client in copies]
            assert {(a[0].split()[1], a[2]) for a in answers} == {(b"200", b"the one")}
            assert sum(len(b.requests) for b in backends) == 1
            copies[0].send("order", b"x", key="k")
            assert (await copies[0].answer())[2] == b"the one"
            assert sum(len(b.requests) for b in backends) == 1

    run(main())


def test_a_repeat_through_another_proxy_goes_to_the_same_cell_only() -> None:
    async def main() -> None:
        async with sharing(2, 4) as (_, worlds, backends):
            for backend in backends:
                backend.script = [None, None]
            first, repeat = await clients(*worlds)
            first.send("order", b"x", "300m", key="k")
            assert await first.status() == 502
            await until(lambda: not worlds[0].proxy.driver.requests)
            for backend in backends:
                backend.script = []
            repeat.send("order", b"x", key="k")
            assert await repeat.status() == 200
            assert sorted(len(b.requests) > 0 for b in backends) == [False, False, False, True]
            (place,) = [e.earlier for e in worlds[1].events if isinstance(e, api.RequestArrived)]
            assert place is not None
            assert backends[place.cell].requests

    run(main())


def test_the_window_of_a_repeat_is_counted_on_the_stores_clock() -> None:
    async def main() -> None:
        async with sharing(2, 1) as (_, worlds, (backend,)):
            worlds[1].proxy.clock._offset_ms += 2000.0
            backend.script = [None, None]
            first, repeat = await clients(*worlds)
            first.send("order", b"x", "200m", key="k")
            sent = asyncio.get_running_loop().time()
            assert await first.status() == 502
            await until(lambda: not worlds[0].proxy.driver.requests)
            backend.script = []
            repeat.send("order", b"x", key="k")
            assert await repeat.status() == 200
            ago = (asyncio.get_running_loop().time() - sent) * 1000.0
            (arrived,) = [e for e in worlds[1].events if isinstance(e, api.RequestArrived)]
            assert arrived.earlier is not None
            now = worlds[1].proxy.clock.now()
            assert 150.0 < now - arrived.earlier.sent_ms < ago + 150.0

    run(main())


def test_another_payload_is_422_and_another_tenant_has_its_own_key_at_every_proxy() -> None:
    async def main() -> None:
        async with sharing(2, 1) as (_, worlds, (backend,)):
            pair = await clients(*worlds)
            tries = ((0, b"x", "a", 200), (1, b"y", "a", 422), (1, b"y", "b", 200), (1, b"x", "a", 200))
            for who, body, account, status in tries:
                pair[who].send("order", body, "4000m", f"X-Account: {account}", key="k")
                assert await pair[who].status() == status
            assert [m[2] for m in backend.requests] == [b"x", b"y"]

    run(main())


def test_a_key_that_the_backend_rejected_is_free_at_every_proxy() -> None:
    async def main() -> None:
        async with sharing(2, 1) as (redis, worlds, (backend,)):
            backend.script = [reply(503, b"", b"X-Unprocessed: 1")] * 3
            first, second = await clients(*worlds)
            first.send("order", b"x", key="k")
            assert await first.status() == 503
            await until(lambda: not store_of(worlds[0]).shared.unconfirmed_ends)
            assert await redis.execute("ZCARD", "honeywharf:x") == 0
            second.send("order", b"x", key="k")
            assert await second.status() == 200

    run(main())


def test_a_repeat_with_less_time_times_out_alone_while_the_first_runs_through_another_proxy() -> None:
    async def main() -> None:
        async with sharing(2, 1) as (_, worlds, (backend,)):
            backend.default_reply = None
            first, repeat = await clients(*worlds)
            first.send("order", b"x", key="k")
            await until(lambda: backend.request_received.is_set())
            repeat.send("order", b"x", "150m", key="k")
            assert await repeat.status() == 502
            for writer in list(backend.writers):
                writer.write(reply(200, b"tile"))
            assert await first.status() == 200
            assert len(backend.requests) == 1

    run(main())


def test_an_attempt_to_another_cell_is_sent_only_after_the_store_has_the_note() -> None:
    async def main() -> None:
        async with sharing(1, 2) as (redis, (w,), backends):
            for backend in backends:
                backend.script = [reply(503, b"", b"X-Unprocessed: 1")]
            notes: list[bool] = []
            shared = store_of(w).shared
            inner = shared.note

            def note(name: bytes, fence: int, place: api.Earlier, on_confirmed: object = None) -> bool:
                notes.append(on_confirmed is not None)
                return inner(name, fence, place, on_confirmed)  # type: ignore[arg-type]

            shared.note = note  # type: ignore[method-assign]
            (client,) = await clients(w)
            client.send("order", b"x", key="k")
            assert await client.status() == 200
            assert notes[0] is False  # the first attempt is sent at once
            assert True in notes[1:]
            sent = [e for e in w.actions if isinstance(e, api.Send)]
            name = (await redis.execute("ZRANGE", "honeywharf:x", "0", "0"))[0]  # type: ignore[index]
            kept = await redis.execute("HGET", b"honeywharf:k:" + name, "c")
            assert kept == b"%d" % sent[-1].cell

    run(main())


def test_without_the_store_new_keys_are_refused_at_once_and_repeats_fail() -> None:
    async def main() -> None:
        async with sharing(1, 1) as (redis, (w,), (backend,)):
            redis.kill()
            await until(lambda: not store_available(w))
            (client,) = await clients(w)
            client.send("order", b"x", key="k")
            status, headers, _ = await client.answer()
            assert status.split()[1] == b"503"
            assert float(headers[b"retry-after"]) > 0
            client.send("order", b"x", "4000m", "X-Repeat: 1", key="k")
            assert await client.status() == 502  # an earlier request may have run
            client.send("read")
            assert await client.status() == 200  # requests without a key go on
            assert len(backend.requests) == 1
            await redis.start()
            await until(lambda: store_available(w))
            client.send("order", b"x", key="k")
            assert await client.status() == 200

    run(main())


def test_without_the_store_a_class_in_alone_is_deduplicated_by_the_proxy() -> None:
    async def main() -> None:
        async with sharing(1, 1, {"alone": ("order",)}) as (redis, (w,), (backend,)):
            redis.kill()
            await until(lambda: not store_available(w))
            (client,) = await clients(w)
            for _ in range(2):
                client.send("order", b"x", key="k")
                assert await client.status() == 200
            assert len(backend.requests) == 1

    run(main())


def test_an_answer_while_the_store_is_unavailable_is_reported_later() -> None:
    async def main() -> None:
        async with sharing(2, 1) as (redis, worlds, (backend,)):
            backend.default_reply = None
            (first,) = await clients(worlds[0])
            first.send("order", b"x", key="k")
            await until(lambda: backend.request_received.is_set())
            redis.kill()
            await until(lambda: not any(store_available(w) for w in worlds))
            for writer in list(backend.writers):
                writer.write(reply(200, b"tile"))
            assert await first.status() == 200  # requests in flight end as usual
            shared = store_of(worlds[0]).shared
            await until(lambda: len(shared.unconfirmed_ends) == 1)
            first.send("order", b"x", key="k")
            assert await first.status() == 502  # known to have run, so never refused
            await redis.start()
            await until(lambda: all(store_available(w) for w in worlds) and not shared.unconfirmed_ends)
            # The client connects late, because a silent one is disconnected after 2 s.
            (repeat,) = await clients(worlds[1])
            repeat.send("order", b"x", key="k")
            assert (await repeat.answer())[2] == b"tile"
            assert len(backend.requests) == 1

    run(main())


def test_a_store_that_started_empty_grants_no_claim_until_all_keys_would_have_expired() -> None:
    async def main() -> None:
        window = [
            {
                "name": "order",
                "aimMs": 100.0,
                "deadlineMs": 400.0,
                "idempotency": "by_key",
                "group": "cell",
                "windowMs": 1300.0,
            }
        ]
        told = {"empty": "wait", "keep_ms": {"order": 1300.0}}
        async with sharing(2, 2, told, profiles=window) as (redis, worlds, backends):
            (first,) = await clients(worlds[0])
            first.send("order", b"x", "400m", key="k")
            assert await first.status() == 503  # a new store is treated like one that has lost its keys
            while True:
                first.send("order", b"x", "400m", key="k")
                if await first.status() == 200:
                    break
                await asyncio.sleep(0.02)
            redis.kill()
            await until(lambda: not any(store_available(w) for w in worlds))
            await redis.start()
            await until(lambda: all(store_available(w) for w in worlds))
            (repeat,) = await clients(worlds[1])
            repeat.send("order", b"x", "400m", "X-Repeat: 1", key="k")
            assert await repeat.status() == 502
            repeat.send("order", b"x", "400m", key="new")
            assert await repeat.status() == 503
            await redis.execute("FLUSHALL")  # the same when data is lost while the connection is open
            await asyncio.sleep(1.72)
            repeat.send("order", b"x", "400m", key="new")
            assert await repeat.status() == 503
            assert sum(len(b.requests) for b in backends) == 1

    run(main())


def test_a_store_that_may_evict_keys_is_not_used() -> None:
    async def main() -> None:
        async with sharing(1, 1) as (redis, (w,), _):
            await redis.execute("CONFIG", "SET", "maxmemory", "100mb")
            await redis.execute("CONFIG", "SET", "maxmemory-policy", "allkeys-lru")
            store = store_of(w)
            store.reset()
            await until(
                lambda: store.last_fault.startswith("maxmemory-policy: expected noeviction, got allkeys-lru")
            )
            assert not store_available(w)
            await redis.execute("CONFIG", "SET", "maxmemory-policy", "noeviction")
            await until(lambda: store_available(w))

    run(main())


def test_a_store_out_of_memory_accepts_ends_but_no_new_keys() -> None:
    async def main() -> None:
        async with sharing(1, 1) as (redis, (w,), (backend,)):
            backend.default_reply = None
            first, second = [await Client.to(w.port) for _ in range(2)]
            first.send("order", b"x", key="k")
            await until(lambda: backend.request_received.is_set())
            await redis.execute("CONFIG", "SET", "maxmemory", "1")
            second.send("order", b"x", key="other")
            assert await second.status() == 503
            for writer in list(backend.writers):
                writer.write(reply(200, b"tile"))
            assert await first.status() == 200
            await until(lambda: not store_of(w).shared.unconfirmed_ends)
            name = (await redis.execute("ZRANGE", "honeywharf:x", "0", "0"))[0]  # type: ignore[index]
            assert await redis.execute("HGET", b"honeywharf:k:" + name, "s") == b"D"
            assert store_available(w)
            assert len(backend.requests) == 1

    run(main())


def test_a_paused_store_delays_one_claim_and_later_ones_fail_at_once() -> None:
    async def main() -> None:
        async with sharing(1, 1, {"wait_ms": 100.0}) as (redis, (w,), (backend,)):
            redis.pause()
            try:
                (client,) = await clients(w)
                client.send("order", b"x", key="k")
                assert await client.status() == 503
                assert counted(w, "keys:store late") == 1
                claims = store_of(w).shared.last_fence
                for i in range(20):
                    client.send("order", b"x", key=f"k{i}")
                    assert await client.status() == 503
                assert store_of(w).shared.last_fence == claims  # no claim was sent, so none waited
                assert not backend.requests
            finally:
                redis.resume()
            await until(lambda: store_available(w))
            await until(lambda: not store_of(w).shared.unconfirmed_ends)
            client.send("order", b"x", key="k")  # the claim that was granted late is given back
            assert await client.status() == 200

    run(main())


def test_the_password_is_read_from_its_file(tmp_path: Path) -> None:
    async def main() -> None:
        secret = tmp_path / "password"
        secret.write_text("wrong\n")
        async with sharing(1, 1, {"password_file": str(secret)}) as (redis, (w,), _):
            await redis.execute("CONFIG", "SET", "requirepass", "right")
            store = store_of(w)
            store.reset()
            await until(lambda: store.last_fault.startswith("WRONGPASS"))
            secret.write_text("right\n")
            await until(lambda: store_available(w))

    run(main())


@pytest.mark.parametrize(
    "url", ["http://x", "redis://h:port", "redis://u:secret@h", "redis://h/a", "unix://"]
)
def test_an_invalid_url_is_an_error(url: str) -> None:
    with pytest.raises(ValueError, match=r"order_keys.redis.url: expected redis://.* got "):
        address_of(url)
