"""Keys that proxies share, through running proxies and a Redis server on loopback."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from honeywharf.orderkeys.redis import address_of
from honeywharf.policy import interface as api
from tests.loopback import Client, World, reply, run, until
from tests.orderkeys.shared import edge_of, sharing, store_of, up


async def clients(*worlds: World) -> list[Client]:
    return [await Client.to(w.port) for w in worlds]


def counted(w: World, what: str) -> int:
    return w.proxy.driver.counts.get(what, 0)


def test_five_copies_through_five_proxies_run_once_and_have_one_answer() -> None:
    async def main() -> None:
        async with sharing(5, 4) as (_, worlds, backends):
            for backend in backends:
                backend.then = None
            copies = await clients(*worlds)
            for client in copies:
                client.send("order", b"x", key="k")
            await until(lambda: sum(len(edge_of(w).waiting) for w in worlds) == 4)
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


def test_the_repeats_window_is_counted_on_one_clock_though_the_proxies_differ_by_two_seconds() -> None:
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


def test_a_key_that_was_turned_away_is_free_for_all() -> None:
    async def main() -> None:
        async with sharing(2, 1) as (redis, worlds, (backend,)):
            backend.script = [reply(503, b"", b"X-Unprocessed: 1")] * 3
            first, second = await clients(*worlds)
            first.send("order", b"x", key="k")
            assert await first.status() == 503
            await until(lambda: not store_of(worlds[0]).shared.owed)
            assert await redis.ask("ZCARD", "honeywharf:x") == 0
            second.send("order", b"x", key="k")
            assert await second.status() == 200

    run(main())


def test_a_repeat_of_less_time_has_its_own_end_though_the_first_runs_elsewhere() -> None:
    async def main() -> None:
        async with sharing(2, 1) as (_, worlds, (backend,)):
            backend.then = None
            first, repeat = await clients(*worlds)
            first.send("order", b"x", key="k")
            await until(lambda: backend.came.is_set())
            repeat.send("order", b"x", "150m", key="k")
            assert await repeat.status() == 502
            for writer in list(backend.writers):
                writer.write(reply(200, b"tile"))
            assert await first.status() == 200
            assert len(backend.requests) == 1

    run(main())


def test_an_attempt_in_another_cell_leaves_only_once_the_store_knows_it() -> None:
    async def main() -> None:
        async with sharing(1, 2) as (redis, (w,), backends):
            for backend in backends:
                backend.script = [reply(503, b"", b"X-Unprocessed: 1")]
            notes: list[bool] = []
            shared = store_of(w).shared
            inner = shared.note

            def note(name: bytes, fence: int, place: api.Earlier, sure: object = None) -> bool:
                notes.append(sure is not None)
                return inner(name, fence, place, sure)  # type: ignore[arg-type]

            shared.note = note  # type: ignore[method-assign]
            (client,) = await clients(w)
            client.send("order", b"x", key="k")
            assert await client.status() == 200
            assert notes[0] is False  # the first leaves at once
            assert True in notes[1:]
            sent = [e for e in w.actions if isinstance(e, api.Send)]
            name = (await redis.ask("ZRANGE", "honeywharf:x", "0", "0"))[0]  # type: ignore[index]
            kept = await redis.ask("HGET", b"honeywharf:k:" + name, "c")
            assert kept == b"%d" % sent[-1].cell

    run(main())


def test_where_the_store_is_gone_new_keys_are_refused_at_once_and_repeats_fail() -> None:
    async def main() -> None:
        async with sharing(1, 1) as (redis, (w,), (backend,)):
            redis.kill()
            await until(lambda: not up(w))
            (client,) = await clients(w)
            client.send("order", b"x", key="k")
            status, headers, _ = await client.answer()
            assert status.split()[1] == b"503"
            assert float(headers[b"retry-after"]) > 0
            client.send("order", b"x", "4000m", "X-Repeat: 1", key="k")
            assert await client.status() == 502  # an earlier one may have run: no promise
            client.send("read")
            assert await client.status() == 200  # what needs no key goes on
            assert len(backend.requests) == 1
            await redis.start()
            await until(lambda: up(w))
            client.send("order", b"x", key="k")
            assert await client.status() == 200

    run(main())


def test_a_class_that_may_go_on_alone_does_so_and_its_repeats_are_known_here() -> None:
    async def main() -> None:
        async with sharing(1, 1, {"alone": ("order",)}) as (redis, (w,), (backend,)):
            redis.kill()
            await until(lambda: not up(w))
            (client,) = await clients(w)
            for _ in range(2):
                client.send("order", b"x", key="k")
                assert await client.status() == 200
            assert len(backend.requests) == 1

    run(main())


def test_an_answer_that_comes_while_the_store_is_gone_is_told_later() -> None:
    async def main() -> None:
        async with sharing(2, 1) as (redis, worlds, (backend,)):
            backend.then = None
            (first,) = await clients(worlds[0])
            first.send("order", b"x", key="k")
            await until(lambda: backend.came.is_set())
            redis.kill()
            await until(lambda: not any(up(w) for w in worlds))
            for writer in list(backend.writers):
                writer.write(reply(200, b"tile"))
            assert await first.status() == 200  # what is in flight ends by the rules
            shared = store_of(worlds[0]).shared
            await until(lambda: len(shared.owed) == 1)
            first.send("order", b"x", key="k")
            assert await first.status() == 502  # known to have run: never refused as harmless
            await redis.start()
            await until(lambda: all(up(w) for w in worlds) and not shared.owed)
            (repeat,) = await clients(worlds[1])  # not before: who says nothing for 2 s is cut off
            repeat.send("order", b"x", key="k")
            assert (await repeat.answer())[2] == b"tile"
            assert len(backend.requests) == 1

    run(main())


def test_a_store_that_started_empty_is_not_believed_until_all_keys_would_have_ended() -> None:
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
            assert await first.status() == 503  # new, and so as good as one that has lost its keys
            while True:
                first.send("order", b"x", "400m", key="k")
                if await first.status() == 200:
                    break
                await asyncio.sleep(0.02)
            redis.kill()
            await until(lambda: not any(up(w) for w in worlds))
            await redis.start()
            await until(lambda: all(up(w) for w in worlds))
            (repeat,) = await clients(worlds[1])
            repeat.send("order", b"x", "400m", "X-Repeat: 1", key="k")
            assert await repeat.status() == 502
            repeat.send("order", b"x", "400m", key="new")
            assert await repeat.status() == 503
            await redis.ask("FLUSHALL")  # and likewise where all is lost on a connection that stands
            await asyncio.sleep(1.72)
            repeat.send("order", b"x", "400m", key="new")
            assert await repeat.status() == 503
            assert sum(len(b.requests) for b in backends) == 1

    run(main())


def test_a_store_that_may_forget_keys_is_not_used() -> None:
    async def main() -> None:
        async with sharing(1, 1) as (redis, (w,), _):
            await redis.ask("CONFIG", "SET", "maxmemory", "100mb")
            await redis.ask("CONFIG", "SET", "maxmemory-policy", "allkeys-lru")
            store = store_of(w)
            store.reset()
            await until(lambda: store.told.startswith("found maxmemory-policy allkeys-lru"))
            assert not up(w)
            await redis.ask("CONFIG", "SET", "maxmemory-policy", "noeviction")
            await until(lambda: up(w))

    run(main())


def test_a_store_without_memory_takes_no_new_key_and_the_end_of_those_it_has() -> None:
    async def main() -> None:
        async with sharing(1, 1) as (redis, (w,), (backend,)):
            backend.then = None
            first, second = [await Client.to(w.port) for _ in range(2)]
            first.send("order", b"x", key="k")
            await until(lambda: backend.came.is_set())
            await redis.ask("CONFIG", "SET", "maxmemory", "1")
            second.send("order", b"x", key="other")
            assert await second.status() == 503
            for writer in list(backend.writers):
                writer.write(reply(200, b"tile"))
            assert await first.status() == 200
            await until(lambda: not store_of(w).shared.owed)
            name = (await redis.ask("ZRANGE", "honeywharf:x", "0", "0"))[0]  # type: ignore[index]
            assert await redis.ask("HGET", b"honeywharf:k:" + name, "s") == b"D"
            assert up(w)
            assert len(backend.requests) == 1

    run(main())


def test_a_paused_store_costs_one_wait_and_then_nothing() -> None:
    async def main() -> None:
        async with sharing(1, 1, {"wait_ms": 100.0}) as (redis, (w,), (backend,)):
            redis.pause()
            try:
                (client,) = await clients(w)
                client.send("order", b"x", key="k")
                assert await client.status() == 503
                assert counted(w, "keys:store late") == 1
                claims = store_of(w).shared.fences
                for i in range(20):
                    client.send("order", b"x", key=f"k{i}")
                    assert await client.status() == 503
                assert store_of(w).shared.fences == claims  # nobody was asked, so nobody waited
                assert not backend.requests
            finally:
                redis.resume()
            await until(lambda: up(w))
            await until(lambda: not store_of(w).shared.owed)
            client.send("order", b"x", key="k")  # the claim that was taken late is given back
            assert await client.status() == 200

    run(main())


def test_the_password_is_read_from_its_file(tmp_path: Path) -> None:
    async def main() -> None:
        secret = tmp_path / "password"
        secret.write_text("wrong\n")
        async with sharing(1, 1, {"password_file": str(secret)}) as (redis, (w,), _):
            await redis.ask("CONFIG", "SET", "requirepass", "right")
            store = store_of(w)
            store.reset()
            await until(lambda: store.told.startswith("WRONGPASS"))
            secret.write_text("right\n")
            await until(lambda: up(w))

    run(main())


@pytest.mark.parametrize(
    "url", ["http://x", "redis://h:port", "redis://u:secret@h", "redis://h/a", "unix://"]
)
def test_a_bad_address_is_told(url: str) -> None:
    with pytest.raises(ValueError, match=r"order_keys.redis.url: found .* wanted redis://"):
        address_of(url)
