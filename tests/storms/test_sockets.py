"""Storm control through a running proxy: answers to clients, paced accepting, and no effect when off."""

from __future__ import annotations

import asyncio
import errno
import os
import socket
import subprocess
import sys
from typing import cast

import pytest

from honeywharf.config.features import Features, Storms as On
from honeywharf.http.accept import Acceptor
from honeywharf.storms import StormsPart
from honeywharf.storms.detector import State
from honeywharf.storms.storms import SHORTAGE_MS, Storms
from tests.loopback import Backend, Client, RunningProxy, run, running_proxy, soon, until

ON = Features(storms=On(on=True))


def storms_of(w: RunningProxy) -> Storms:
    (part,) = [p for p in w.proxy.components if isinstance(p, StormsPart)]
    return part.storms


def acceptor(w: RunningProxy) -> Acceptor:
    server = w.proxy.front.server
    assert isinstance(server, Acceptor)
    return server


def test_in_a_storm_first_attempts_are_served_and_repeats_are_refused_with_a_return_time() -> None:
    async def main() -> None:
        backend = await Backend().start()
        async with running_proxy([backend.row("b")], ON) as w:
            client, s = await Client.to(w.port), storms_of(w)
            s.detector.state, s.last_shortage_ms = State.STORM, w.proxy.clock.now() + 60_000.0
            statuses, told = [], []
            for i in range(30):
                client.send("order", b"x", key="the same")
                first, headers, _ = await client.answer()
                statuses.append(int(first.split()[1]))
                if b"retry-after" in headers:
                    told.append(float(headers[b"retry-after"]))
                client.send("order", b"x", key=f"new {i}")
                assert await client.status() == 200
            assert statuses[0] == 200
            refused = statuses.count(503)
            assert refused >= 20
            assert refused == len(told) == s.refused_repeats
            assert all(0.0 < t <= 2.0 for t in told)
            assert w.proxy.driver.counts["refused:storm"] == refused
            assert len(backend.requests) == 60 - refused
            s.last_shortage_ms = w.proxy.clock.now() - SHORTAGE_MS - 1.0  # room is not short any more
            client.send("order", b"x", key="the same")
            assert await client.status() == 200
        await backend.stop()

    run(main())


def test_connections_are_accepted_late_in_a_storm_and_all_are_served() -> None:
    async def main() -> None:
        backend = await Backend().start()
        async with running_proxy([backend.row("b")], ON) as w:
            w.proxy.front.pace(100.0)
            begun = asyncio.get_running_loop().time()
            clients = [await Client.to(w.port) for _ in range(40)]  # the kernel has taken them
            for client in clients:
                client.send()
            assert [await client.status() for client in clients] == [200] * 40
            assert asyncio.get_running_loop().time() - begun >= 0.25
            w.proxy.front.pace(1.0)
            waiting = [await Client.to(w.port) for _ in range(5)]
            await until(lambda: acceptor(w).resume_timer is not None)
            w.proxy.front.pace(0.0)  # the pace is lifted: no connection waits for it
            for client in waiting:
                client.send()
            assert [await client.status() for client in waiting] == [200] * 5
        await backend.stop()

    run(main())


async def accept_one_then_pace(w: RunningProxy) -> None:
    """Accepts one connection now, and the next after 400 ms."""
    w.proxy.front.pace(2.5)
    known = len(w.proxy.front.connections)
    await Client.to(w.port)
    await until(lambda: len(w.proxy.front.connections) == known + 1)


def test_the_wait_to_be_accepted_counts_against_the_deadline() -> None:
    """Guards against work begun for a client past its deadline, or that goes on past it."""

    async def main() -> None:
        backend = await Backend().start()
        async with running_proxy([backend.row("b")], ON) as w:
            await accept_one_then_pace(w)
            client = await Client.to(w.port)
            client.send("read", b"", "3000m")
            assert await client.status() == 200
            _, headers, _ = backend.requests[0]
            assert 0.0 < float(headers[b"x-time-left"].rstrip(b"u")) < (3000.0 - 250.0) * 1000.0
            await accept_one_then_pace(w)
            client = await Client.to(w.port)
            client.send("read", b"", "200m")
            assert await client.status() == 503
            assert len(backend.requests) == 1
        await backend.stop()

    run(main())


@pytest.mark.parametrize("leaves", [True, False])
def test_work_begins_for_a_half_closed_client_but_not_for_one_that_has_left(leaves: bool) -> None:
    async def main() -> None:
        backend = await Backend().start()
        async with running_proxy([backend.row("b")], ON) as w:
            await accept_one_then_pace(w)
            waits = await Client.to(w.port)
            waits.send()
            if leaves:
                waits.writer.close()
                await waits.writer.wait_closed()
            else:
                waits.writer.write_eof()
                # An interim answer that probes whether the client is there.
                assert await waits.status() == 100
                assert await waits.status() == 200
            w.proxy.front.pace(0.0)
            after = await Client.to(w.port)  # accepted after it
            after.send()
            assert await after.status() == 200
            assert len(backend.requests) == (1 if leaves else 2)
        await backend.stop()

    run(main())


def test_connections_are_counted_and_the_counters_are_shown() -> None:
    async def main() -> None:
        backend = await Backend().start()
        async with running_proxy([backend.row("b")], ON) as w:
            s = storms_of(w)
            for _ in range(7):
                client = await Client.to(w.port)
                client.send()
                assert await client.status() == 200
            assert sum(slot[2] for slot in s.detector.slots) == 7
            part = next(p for p in w.proxy.components if isinstance(p, StormsPart))
            assert part.counts() == {
                "storms:turned away": 0,
                "storms:promises kept": 0,
                "storms:promises broken": 0,
                "storms:told beyond": 0,
                "storms:forgotten early": 0,
            }
        await backend.stop()

    run(main())


def test_the_listener_goes_on_after_it_ran_out_of_descriptors(monkeypatch: pytest.MonkeyPatch) -> None:
    class NoDescriptors(socket.socket):
        """A socket without a free descriptor for its first accepts."""

        left = 3

        def accept(self) -> tuple[socket.socket, object]:
            if NoDescriptors.left:
                NoDescriptors.left -= 1
                raise OSError(errno.EMFILE, os.strerror(errno.EMFILE))
            return super().accept()

    async def main() -> None:
        loop, made = asyncio.get_running_loop(), list[asyncio.Transport]()

        class Recorder(asyncio.Protocol):
            def connection_made(self, transport: asyncio.BaseTransport) -> None:
                made.append(cast(asyncio.Transport, transport))

        monkeypatch.setattr(socket, "socket", NoDescriptors)
        listener = Acceptor(loop, lambda waited_ms, ended: Recorder(), ("127.0.0.1", 0), 16)
        monkeypatch.undo()
        _, writer = await asyncio.open_connection(*listener.sockets[0].getsockname())
        await until(lambda: len(made) == 1)
        assert NoDescriptors.left == 0
        writer.close()
        for transport in made:
            transport.abort()
        listener.close()
        listener.close()
        with pytest.raises(OSError, match="refused"):
            await soon(asyncio.open_connection("127.0.0.1", writer.get_extra_info("peername")[1]))

    run(main())


def test_nothing_of_storm_control_is_imported_when_it_is_off() -> None:
    script = (
        "import asyncio, sys; from tests.loopback import make_config; from honeywharf import proxy; "
        "from honeywharf.config.features import Features; loop = asyncio.new_event_loop(); "
        "made = proxy.Proxy(make_config(1, []), loop, Features()); "
        "loop.run_until_complete(made.front.listen(('127.0.0.1', 0))); "
        "print([m for m in sys.modules if 'storms' in m or m in ('rbloom', 'honeywharf.http.accept')])"
    )
    done = subprocess.run([sys.executable, "-c", script], capture_output=True, text=True, check=True)
    assert done.stdout.strip() == "[]"
