"""Evacuation, bans and the operators' listener of a proxy on loopback."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress

import pytest

from honeywharf.service import lifecycle, operator_server
from honeywharf.service.lifecycle import State
from honeywharf.service.operator_server import OperatorServer
from tests.loopback import Backend, Client, RunningProxy, reply, row, run, running_proxy, soon, until


async def send_line(port: int, data: bytes, end: bool = False) -> bytes:
    """Sends data to the operators' listener; returns the reply."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(data)
    if end:
        writer.write_eof()
    try:
        return await soon(reader.read())
    finally:
        writer.close()


@asynccontextmanager
async def operator_listener(w: RunningProxy) -> AsyncIterator[int]:
    """Runs an operators' listener for a proxy; yields its port."""
    made = OperatorServer(asyncio.get_running_loop(), w.proxy.controller.execute)
    _, port = await made.listen(("127.0.0.1", 0))
    w.proxy.operator_server = made
    yield port
    made.close()


def test_the_commands_and_their_replies() -> None:
    async def main() -> None:
        backend = await Backend().start()
        backend.default_reply = reply(200, b"tile")
        async with (
            running_proxy([backend.row("b")], contract={"warmAfterMs": 0.0}) as w,
            operator_listener(w) as port,
        ):
            assert await send_line(port, b"readyz\n") == b"OK ready\n"
            assert await send_line(port, b"exclude b\n") == b"OK b is out\n"
            assert await send_line(port, b"exclude b\n") == b"OK b was out already\n"
            assert await send_line(port, b"exclude c\n") == (
                b"ERR found 'c', which no list has named, wanted the id of a backend\n"
            )
            client = await Client.to(w.port)
            client.send()
            assert await client.status() == 503  # All backends are banned.
            w.discovery.script_answer(2, backend.row("b", startedAtMs=99))  # A restart does not lift the ban.
            await until(lambda: w.proxy.directory.generation == 2)
            client.send()
            assert await client.status() == 503
            assert await send_line(port, b"include b\n") == b"OK b is used again\n"
            client.send()
            assert await client.status() == 200
            w.discovery.script_answer(3, row("b", 1, lifecycle="removed"))
            await until(lambda: "b" not in w.proxy.directory.rows)
            assert (
                await send_line(port, b"exclude b\n") == b"OK b is out\n"
            )  # An id that was listed before can be banned.
            assert await send_line(port, b"evacuate\n") == b"OK evacuating\n"
            assert (await send_line(port, b"readyz\n")).startswith(b"ERR not ready: e")
            assert await send_line(port, b"activate\n") == b"OK ready\n"
            w.proxy.drain()
            assert (await send_line(port, b"evacuate\n")).startswith(b"ERR found 'evacuate' while ending")
        await backend.stop()

    run(main())


def test_a_ban_closes_idle_connections_and_completes_calls_in_flight() -> None:
    async def main() -> None:
        one, two = await Backend().start(), await Backend().start()
        one.default_reply = two.default_reply = None
        async with running_proxy([one.row("one"), two.row("two")]) as w, operator_listener(w) as port:
            clients = [await Client.to(w.port) for _ in range(2)]
            for client in clients:
                client.send("pay")
            await until(lambda: len(one.requests) + len(two.requests) == 2)
            held, other = (one, two) if one.requests else (two, one)
            name = "one" if held is one else "two"
            assert await send_line(port, b"exclude %b\n" % name.encode()) == b"OK %b is out\n" % name.encode()
            before = len(held.requests)
            for writer in list(held.writers):
                writer.write(reply(200, b"done"))  # A call that was in flight at the ban is completed.
            other.default_reply = reply(200, b"other")
            for writer in list(other.writers):
                writer.write(reply(200, b"other"))
            for client in clients:
                assert await client.status() == 200
            await until(lambda: not held.writers)  # The connection to a banned backend is closed.
            for _ in range(20):
                clients[0].send()
                assert (await clients[0].answer())[2] == b"other"
            assert len(held.requests) == before
        await one.stop()
        await two.stop()

    run(main())


def test_a_connection_established_after_the_ban_carries_no_request() -> None:
    """The request waits for the handshake of a backend that is banned meanwhile."""

    async def main() -> None:
        with socket.socket() as full:  # A listener with a full backlog delays the handshake.
            full.bind(("127.0.0.1", 0))
            full.listen(0)
            plugs = []
            for _ in range(3):
                plug = socket.socket()
                plug.setblocking(False)
                plug.connect_ex(full.getsockname())
                plugs.append(plug)
            async with running_proxy([row("slow", full.getsockname()[1])]) as w, operator_listener(w) as port:
                client = await Client.to(w.port)
                client.send("pay")
                await until(lambda: w.proxy.pool.count == 1)
                assert (await send_line(port, b"exclude slow\n")).startswith(b"OK")
                full.setblocking(False)
                accepted = []
                for _ in range(200):
                    try:
                        accepted.append(full.accept()[0])
                    except BlockingIOError:
                        await asyncio.sleep(0.01)
                    if w.proxy.driver.open_requests == 0:
                        break
                assert await client.status() == 503  # The request was not executed, so it may be retried.
                for one in accepted:
                    one.setblocking(False)
                    with suppress(BlockingIOError, ConnectionError):
                        assert one.recv(4096) == b""
                    one.close()
            for plug in plugs:
                plug.close()

    run(main())


def test_an_evacuation_moves_all_clients_away_and_activate_ends_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(lifecycle, "CLOSE_IDLE_AFTER_MS", 150.0)
    monkeypatch.setattr(lifecycle, "REJECT_AFTER_MS", 300.0)

    async def main() -> None:
        backend = await Backend().start()
        async with running_proxy([backend.row("b")]) as w, operator_listener(w) as port:
            backend.default_reply = reply(200, b"tile")
            active_client, idle_client = await Client.to(w.port), await Client.to(w.port)
            for client in (active_client, idle_client):
                client.send()
                assert await client.status() == 200
            partial_client = await Client.to(w.port)
            partial_client.writer.write(b"POST /api HTTP/1.1\r\nHost: x\r\n")
            silent = await Client.to(w.port)
            await until(lambda: len(w.proxy.front.partial) == 1)
            backend.default_reply = None
            held = await Client.to(w.port)
            held.send()
            await until(lambda: len(backend.requests) == 3)
            assert (await send_line(port, b"evacuate\n")) == b"OK evacuating\n"
            checks = await Client.to(w.port)
            assert await checks.send_raw(b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n") == 503
            backend.default_reply = reply(200, b"tile")
            active_client.send()  # A response closes the connection of a client that keeps sending requests.
            first, headers, _ = await active_client.answer()
            assert (first.split()[1], headers[b"connection"]) == (b"200", b"close")
            assert await idle_client.closed()
            assert await partial_client.status() == 503  # The request was not accepted.
            assert await silent.closed()
            late = await Client.to(w.port)
            late.send()
            assert await late.status() == 503
            # A request in flight is still answered.
            assert w.proxy.controller.lifecycle.state is State.EVACUATING
            for writer in list(backend.writers):
                writer.write(reply(200, b"slow"))
            assert (await held.answer())[2] == b"slow"
            await until(lambda: w.proxy.controller.lifecycle.state is State.EMPTY)
            assert (await send_line(port, b"activate\n")) == b"OK ready\n"
            again = await Client.to(w.port)
            assert await again.send_raw(b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n") == 200
            again.send()
            first, headers, _ = await again.answer()
            assert first.split()[1] == b"200"
            assert b"connection" not in headers
        await backend.stop()

    run(main())


def test_idle_connections_to_the_operators_listener_are_evicted(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(operator_server, "MAX_CONNECTIONS", 4)
    monkeypatch.setattr(operator_server, "REQUEST_TIMEOUT_S", 0.2)

    async def main() -> None:
        async with running_proxy([row("b", 1)]) as w, operator_listener(w) as port:
            idle = [await asyncio.open_connection("127.0.0.1", port) for _ in range(10)]
            for _, writer in idle[:5]:
                writer.write(b"exc")
            assert await send_line(port, b"readyz\n") == b"OK ready\n"
            assert w.proxy.operator_server is not None
            assert len(w.proxy.operator_server.connections) <= 4
            assert w.proxy.operator_server.evicted >= 6
            replies = [await soon(reader.read()) for reader, _ in idle[-3:]]
            assert all(answer.startswith(b"ERR found no whole line within") for answer in replies)
            assert (await send_line(port, b"exclude b", end=True)).startswith(b"ERR found 9 bytes and no end")
            # Data over the limit is not read, so the connection may be reset.
            with suppress(ConnectionError):
                assert (await send_line(port, b"x" * 1_000_000)).startswith(b"ERR found 513 bytes and no end")
            assert not w.proxy.controller.bans.excluded_ms
            for _, writer in idle:
                writer.close()

    run(main())
