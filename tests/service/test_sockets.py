"""A proxy that is emptied, told to leave backends out, and asked whatever comes, on loopback."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress

import pytest

from honeywharf.service import door, life
from honeywharf.service.door import HttpServer
from honeywharf.service.life import State
from tests.loopback import Backend, Client, RunningProxy, reply, row, run, running_proxy, soon, until


async def said(port: int, data: bytes, end: bool = False) -> bytes:
    """What one caller is told."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(data)
    if end:
        writer.write_eof()
    try:
        return await soon(reader.read())
    finally:
        writer.close()


@asynccontextmanager
async def operated(w: RunningProxy) -> AsyncIterator[int]:
    """The second address of a running proxy; its port."""
    made = HttpServer(asyncio.get_running_loop(), w.proxy.keeper.call)
    _, port = await made.listen(("127.0.0.1", 0))
    w.proxy.door = made
    yield port
    made.close()


def test_the_calls_and_their_answers() -> None:
    async def main() -> None:
        backend = await Backend().start()
        backend.default_reply = reply(200, b"tile")
        async with running_proxy([backend.row("b")], contract={"warmAfterMs": 0.0}) as w, operated(w) as port:
            assert await said(port, b"readyz\n") == b"OK ready\n"
            assert await said(port, b"exclude b\n") == b"OK b is out\n"
            assert await said(port, b"exclude b\n") == b"OK b was out already\n"
            assert await said(port, b"exclude c\n") == (
                b"ERR found 'c', which no list has named, wanted the id of a backend\n"
            )
            client = await Client.to(w.port)
            client.send()
            assert await client.status() == 503  # all are out: told, not overruled
            w.discovery.script_answer(2, backend.row("b", startedAtMs=99))  # whatever discovery says
            await until(lambda: w.proxy.directory.generation == 2)
            client.send()
            assert await client.status() == 503
            assert await said(port, b"include b\n") == b"OK b is used again\n"
            client.send()
            assert await client.status() == 200
            w.discovery.script_answer(3, row("b", 1, lifecycle="removed"))
            await until(lambda: "b" not in w.proxy.directory.rows)
            assert await said(port, b"exclude b\n") == b"OK b is out\n"  # it was listed once
            assert await said(port, b"evacuate\n") == b"OK evacuating\n"
            assert (await said(port, b"readyz\n")).startswith(b"ERR not ready: e")
            assert await said(port, b"activate\n") == b"OK ready\n"
            w.proxy.drain()
            assert (await said(port, b"evacuate\n")).startswith(b"ERR found 'evacuate' while ending")
        await backend.stop()

    run(main())


def test_a_ban_closes_idle_connections_and_leaves_calls_that_are_out() -> None:
    async def main() -> None:
        one, two = await Backend().start(), await Backend().start()
        one.default_reply = two.default_reply = None
        async with running_proxy([one.row("one"), two.row("two")]) as w, operated(w) as port:
            clients = [await Client.to(w.port) for _ in range(2)]
            for client in clients:
                client.send("pay")
            await until(lambda: len(one.requests) + len(two.requests) == 2)
            held, other = (one, two) if one.requests else (two, one)
            name = "one" if held is one else "two"
            assert await said(port, b"exclude %b\n" % name.encode()) == b"OK %b is out\n" % name.encode()
            before = len(held.requests)
            for writer in list(held.writers):
                writer.write(reply(200, b"done"))  # what was out ends well
            other.default_reply = reply(200, b"other")
            for writer in list(other.writers):
                writer.write(reply(200, b"other"))
            for client in clients:
                assert await client.status() == 200
            await until(lambda: not held.writers)  # and its connection is not kept
            for _ in range(20):
                clients[0].send()
                assert (await clients[0].answer())[2] == b"other"
            assert len(held.requests) == before
        await one.stop()
        await two.stop()

    run(main())


def test_a_connection_that_comes_up_after_the_ban_carries_nothing() -> None:
    """The request waits for the handshake of a backend that is taken out meanwhile."""

    async def main() -> None:
        with socket.socket() as full:  # a listener whose queue is full: connections to it come up late
            full.bind(("127.0.0.1", 0))
            full.listen(0)
            plugs = []
            for _ in range(3):
                plug = socket.socket()
                plug.setblocking(False)
                plug.connect_ex(full.getsockname())
                plugs.append(plug)
            async with running_proxy([row("slow", full.getsockname()[1])]) as w, operated(w) as port:
                client = await Client.to(w.port)
                client.send("pay")
                await until(lambda: w.proxy.pool.count == 1)
                assert (await said(port, b"exclude slow\n")).startswith(b"OK")
                full.setblocking(False)
                accepted = []
                for _ in range(200):
                    try:
                        accepted.append(full.accept()[0])
                    except BlockingIOError:
                        await asyncio.sleep(0.01)
                    if w.proxy.driver.open_requests == 0:
                        break
                assert await client.status() == 503  # nothing has run: a repeat is harmless
                for one in accepted:
                    one.setblocking(False)
                    with suppress(BlockingIOError, ConnectionError):
                        assert one.recv(4096) == b""
                    one.close()
            for plug in plugs:
                plug.close()

    run(main())


def test_an_evacuation_empties_the_proxy_and_activate_brings_it_back(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(life, "IDLE_UNTIL_MS", 150.0)
    monkeypatch.setattr(life, "LATE_FROM_MS", 300.0)

    async def main() -> None:
        backend = await Backend().start()
        async with running_proxy([backend.row("b")]) as w, operated(w) as port:
            backend.default_reply = reply(200, b"tile")
            asks, idles = await Client.to(w.port), await Client.to(w.port)
            for client in (asks, idles):
                client.send()
                assert await client.status() == 200
            half = await Client.to(w.port)
            half.writer.write(b"POST /api HTTP/1.1\r\nHost: x\r\n")
            silent = await Client.to(w.port)
            await until(lambda: len(w.proxy.front.partial) == 1)
            backend.default_reply = None
            held = await Client.to(w.port)
            held.send()
            await until(lambda: len(backend.requests) == 3)
            assert (await said(port, b"evacuate\n")) == b"OK evacuating\n"
            checks = await Client.to(w.port)
            assert await checks.send_raw(b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n") == 503
            backend.default_reply = reply(200, b"tile")
            asks.send()  # it never stops asking: an answer closes its connection, not a cut
            first, headers, _ = await asks.answer()
            assert (first.split()[1], headers[b"connection"]) == (b"200", b"close")
            assert await idles.closed()
            assert await half.status() == 503  # never taken
            assert await silent.closed()
            late = await Client.to(w.port)
            late.send()
            assert await late.status() == 503
            assert w.proxy.keeper.life.state is State.EVACUATING  # what it holds is still answered
            for writer in list(backend.writers):
                writer.write(reply(200, b"slow"))
            assert (await held.answer())[2] == b"slow"
            await until(lambda: w.proxy.keeper.life.state is State.EMPTY)
            assert (await said(port, b"activate\n")) == b"OK ready\n"
            again = await Client.to(w.port)
            assert await again.send_raw(b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n") == 200
            again.send()
            first, headers, _ = await again.answer()
            assert first.split()[1] == b"200"
            assert b"connection" not in headers
        await backend.stop()

    run(main())


def test_callers_that_finish_no_call_are_not_in_the_way(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(door, "MAX_AT_ONCE", 4)
    monkeypatch.setattr(door, "PATIENCE_S", 0.2)

    async def main() -> None:
        async with running_proxy([row("b", 1)]) as w, operated(w) as port:
            idle = [await asyncio.open_connection("127.0.0.1", port) for _ in range(10)]
            for _, writer in idle[:5]:
                writer.write(b"exc")
            assert await said(port, b"readyz\n") == b"OK ready\n"
            assert w.proxy.door is not None
            assert len(w.proxy.door.callers) <= 4
            assert w.proxy.door.cut >= 6
            told = [await soon(reader.read()) for reader, _ in idle[-3:]]
            assert all(answer.startswith(b"ERR found no whole line within") for answer in told)
            assert (await said(port, b"exclude b", end=True)).startswith(b"ERR found 9 bytes and no end")
            with suppress(ConnectionError):  # what is behind the bound is not read, so it may be reset
                assert (await said(port, b"x" * 1_000_000)).startswith(b"ERR found 513 bytes and no end")
            assert not w.proxy.keeper.bans.since
            for _, writer in idle:
                writer.close()

    run(main())
