"""A proxy process that is killed, and a network that fails, between the steps of a key shared in Redis."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import pytest

from honeywharf.policy import interface as api
from honeywharf.standins.redis import Redis
from honeywharf.standins.relay import Relay
from tests.loopback import Backend, Client, RunningProxy, reply, run, running_proxy, soon, until
from tests.orderkeys.shared import features_on, sharing, store_available, store_of
from tests.test_process import Process

TOML = '[order_keys]\nstore = "redis"\n[order_keys.redis]\nurl = "redis://127.0.0.1:{}"\nempty = "trust"\n'


class KillScenario:
    """A proxy process that reaches Redis through a relay, and a proxy in the test, before two backends."""

    def __init__(
        self,
        redis: Redis,
        relay: Relay,
        first: Process,
        other: RunningProxy,
        backends: list[Backend],
    ) -> None:
        self.redis, self.relay, self.first, self.other, self.backends = redis, relay, first, other, backends

    async def order(self, left: str = "500m") -> Client:
        client = await Client.to(self.first.port)
        client.send("order", b"x", left, key="k")
        return client

    async def unanswered_order(self) -> tuple[Client, int]:
        """Send an order that a backend receives and does not answer. Returns the client and the cell."""
        for backend in self.backends:
            backend.script = [None] * 9
        client = await self.order()
        await until(lambda: any(self.requests_by_cell()))
        return client, self.used_cell()

    async def states(self) -> list[object]:
        """The state and the noted cell of all keys in Redis."""
        names = await self.redis.execute("ZRANGE", "honeywharf:x", "0", "-1")
        assert isinstance(names, list)
        return [await self.redis.execute("HMGET", b"honeywharf:k:" + name, "s", "c") for name in names]

    def kill_first(self) -> None:
        self.first.process.kill()
        self.first.process.wait()

    def requests_by_cell(self) -> list[int]:
        return [len(b.requests) for b in self.backends]

    def used_cell(self) -> int:
        (cell,) = [i for i, number in enumerate(self.requests_by_cell()) if number]
        return cell

    async def repeat(self) -> int:
        client = await Client.to(self.other.port)
        client.send("order", b"x", "4000m", "X-Repeat: 1", key="k")
        return await client.status()


@asynccontextmanager
async def kill_scenario(path: Path, monkeypatch: pytest.MonkeyPatch) -> AsyncIterator[KillScenario]:
    redis, backends = await Redis().start(), [await Backend().start() for _ in range(2)]
    relay = await Relay(redis.port).start()
    rows = [b.row(f"b{i}", cell=i) for i, b in enumerate(backends)]
    features = path / "features.toml"
    features.write_text(TOML.format(relay.port))
    monkeypatch.setenv("HONEYWHARF_FEATURES", str(features))
    process = await asyncio.to_thread(
        Process, path, known={"generation": 1, "reset": True, "instances": rows}
    )
    try:
        pipe, lines = process.process.stderr, process.early
        assert pipe is not None
        while not any("connected to the shared store" in line for line in lines):
            lines.append(await soon(asyncio.to_thread(pipe.readline)))
            assert lines[-1], "the process has ended"
        async with running_proxy(rows, features_on(redis)) as other:
            await until(lambda: store_available(other))
            yield KillScenario(redis, relay, process, other, backends)
    finally:
        process.process.kill()
        process.process.wait()
        await relay.stop()
        redis.kill()
        for backend in backends:
            await backend.stop()


def test_killed_between_claim_and_send_the_key_fails_and_is_not_sent(
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def main() -> None:
        async with kill_scenario(tmp_path, monkeypatch) as s:
            s.relay.hold_replies = True
            client = await s.order()
            # The claim is granted, but the proxy has no reply yet.
            await until(lambda: s.relay.pending_reply_bytes > 0)
            s.kill_first()
            assert await client.closed()
            assert await s.states() == [[b"R", None]]
            assert await s.repeat() == 502  # waits for the lease to end; no place is noted
            assert await s.states() == [[b"U", None]]
            assert s.requests_by_cell() == [0, 0]

    run(main())


def test_killed_between_send_and_answer_the_key_goes_to_the_same_cell_only(
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def main() -> None:
        async with kill_scenario(tmp_path, monkeypatch) as s:
            client, used = await s.unanswered_order()
            s.kill_first()
            assert await s.states() == [[b"R", b"%d" % used]]
            assert await client.closed()
            s.backends[used].script = []
            assert await s.repeat() == 200
            assert s.requests_by_cell()[1 - used] == 0
            assert await s.states() == [[b"D", b"%d" % used]]

    run(main())


def test_killed_between_answer_and_finish_the_key_goes_to_the_same_cell_only(
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def main() -> None:
        async with kill_scenario(tmp_path, monkeypatch) as s:
            client, used = await s.unanswered_order()
            s.relay.hold_requests = True
            for writer in list(s.backends[used].writers):
                writer.write(reply(200, b"tile"))
            assert await client.status() == 200
            await until(lambda: s.relay.pending_request_bytes > 0)
            s.kill_first()
            s.backends[used].script = []
            s.relay.cut()  # the report of the key's end is lost
            assert await s.repeat() == 200
            assert s.requests_by_cell()[1 - used] == 0
            (place,) = [e.earlier for e in s.other.events if isinstance(e, api.RequestArrived)]
            assert place is not None
            assert place.cell == used

    run(main())


@pytest.mark.parametrize("after", [0, 1, 5, 20])
def test_a_connection_cut_in_the_middle_of_a_reply_loses_no_key_and_no_answer(after: int) -> None:
    async def main() -> None:
        async with sharing(1, 1) as (redis, _, (backend,)):
            relay = await Relay(redis.port).start()
            rows = [backend.row("b0", cell=0)]
            async with running_proxy(rows, features_on(relay)) as w:
                await until(lambda: store_available(w))
                client = await Client.to(w.port)
                relay.cut_after_reply_bytes = after
                client.send("order", b"x", key="k")
                status = await client.status()
                assert status in ((503,) if after < 20 else (200, 503))
                await until(lambda: store_available(w) and not store_of(w).shared.unconfirmed_ends)
                client.send("order", b"x", key="k")
                assert await client.status() == 200
                assert len(backend.requests) == 1
            await relay.stop()

    run(main())


def test_an_answer_after_the_lease_still_settles_a_key_that_nobody_else_has_claimed() -> None:
    async def main() -> None:
        async with sharing(1, 1, {"wait_ms": 100.0}) as (redis, (w,), (backend,)):
            backend.default_reply = None
            client = await Client.to(w.port)
            client.send("order", b"x", "600m", key="k")
            await until(lambda: backend.request_received.is_set())
            redis.pause()
            try:
                for writer in list(backend.writers):
                    writer.write(reply(200, b"tile"))
                assert await client.status() == 200
                await asyncio.sleep(1.2)  # the lease of 850 ms has ended
            finally:
                redis.resume()
            await until(lambda: not store_of(w).shared.unconfirmed_ends and store_available(w))
            client.send("order", b"x", key="k")
            assert (await client.answer())[2] == b"tile"
            assert len(backend.requests) == 1

    run(main())


def test_a_store_that_is_paused_for_three_seconds_loses_no_key() -> None:
    async def main() -> None:
        async with sharing(2, 2, {"wait_ms": 100.0}) as (redis, worlds, backends):
            clients = [await Client.to(w.port) for w in worlds]
            clients[0].send("order", b"x", key="before")
            assert await clients[0].status() == 200
            await until(lambda: not store_of(worlds[0]).shared.unconfirmed_ends)
            redis.pause()
            try:
                end = asyncio.get_running_loop().time() + 3.0
                while asyncio.get_running_loop().time() < end:
                    for client in clients:
                        client.send("order", b"x", "4000m", "X-Repeat: 1", key="before")
                        assert await client.status() == 502
                        client.send("order", b"x", key="during")
                        assert await client.status() == 503
                    await asyncio.sleep(0.05)
            finally:
                redis.resume()
            await until(
                lambda: all(store_available(w) and not store_of(w).shared.unconfirmed_ends for w in worlds)
            )
            for client in clients:
                for key in ("before", "during"):
                    client.send("order", b"x", key=key)
                    assert await client.status() == 200
            assert sum(len(b.requests) for b in backends) == 2

    run(main())
