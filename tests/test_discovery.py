"""The watch on discovery over real sockets, and the effect of lists on the pool."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from honeywharf.discovery.watch import endpoint
from honeywharf.policy import interface as api
from honeywharf.standins.registry import Registry
from tests.loopback import (
    Backend,
    Client,
    RunningProxy,
    make_config,
    reply,
    row,
    run,
    running_proxy,
    scripted_registry,
    soon,
    until,
)


def lists_of(w: RunningProxy) -> list[api.EndpointsListed]:
    return [e for e in w.events if isinstance(e, api.EndpointsListed)]


async def nth_list(w: RunningProxy, number: int) -> api.EndpointsListed:
    await until(lambda: len(lists_of(w)) >= number)
    return lists_of(w)[number - 1]


def test_an_entry_becomes_an_endpoint() -> None:
    entry, where = endpoint(row("s", 3000, "y", "draining", startedAtMs=17, weight=1.5, cell=3))
    assert entry == api.Endpoint("s", "y", api.EndpointState.DRAINING, 3, 17.0, 1.5, "k")
    assert where == ("127.0.0.1", 3000)
    assert endpoint(row("s", 1))[0].started_ms is None
    gone = {"instanceId": "s", "lifecycle": "removed"}
    assert endpoint(gone)[0].state is api.EndpointState.GONE


@pytest.mark.parametrize(
    "bad",
    [
        {"lifecycle": "asleep"},
        {"hostPort": "nowhere"},
        {"hostPort": None},
        {"hostPort": "h:99999"},
        {"instanceId": 5},
        {"instanceId": ""},
        {"startedAtMs": "x"},
        {"weight": []},
        {"cell": "c"},
        {"startedAtMs": -1},
        {"startedAtMs": 1e300},
        {"weight": -0.5},
        {"weight": float("nan")},
        {"weight": float("inf")},
    ],
)
def test_an_invalid_entry_is_an_error(bad: dict[str, Any]) -> None:
    with pytest.raises(ValueError, match=r"\w"):
        endpoint({**row("s", 3000), **bad})


def test_the_watch_continues_at_once_from_the_last_generation() -> None:
    async def main() -> None:
        async with running_proxy([row("b", 1)]) as w:
            await until(lambda: len(w.discovery.calls) == 2)
            assert w.discovery.calls[0].startswith(b"GET /registry/instances?after=1&wait_ms=0 ")
            assert w.discovery.calls[1].startswith(b"GET /registry/instances?after=1&wait_ms=5000 ")
            w.discovery.script_answer(7, row("c", 2))
            event = await nth_list(w, 2)
            assert (event.kind, event.serial) == (api.ListKind.CHANGES, 7)
            await until(lambda: len(w.discovery.calls) == 3)
            assert b"after=7&" in w.discovery.calls[2]
            assert len(w.discovery.connections) == 1

    run(main())


def test_a_draining_backend_gets_no_new_requests_and_a_full_list_replaces() -> None:
    async def main() -> None:
        one, two = await Backend().start(), await Backend().start()
        async with running_proxy([one.row("one"), two.row("two")]) as w:
            client = await Client.to(w.port)
            w.discovery.script_answer(2, one.row("one", lifecycle="draining"))
            await nth_list(w, 2)
            for _ in range(12):
                client.send()
                assert await client.status() == 200
            assert one.requests == []
            w.discovery.script_answer(3, one.row("one"), reset=True)
            event = await nth_list(w, 3)
            assert event.kind is api.ListKind.FULL
            assert not w.proxy.pool.known("two")
            for _ in range(3):
                client.send()
                assert await client.status() == 200
            assert len(one.requests) == 3
        await one.stop()
        await two.stop()

    run(main())


@pytest.mark.parametrize("change", [{"lifecycle": "removed"}, {"lifecycle": "draining"}, {"startedAtMs": 99}])
def test_idle_connections_to_removed_or_restarted_backends_are_closed(change: dict[str, Any]) -> None:
    async def main() -> None:
        backend = await Backend().start()
        async with running_proxy([backend.row("b")]) as w:
            client = await Client.to(w.port)
            client.send()
            assert await client.status() == 200
            w.discovery.script_answer(2, {**backend.row("b"), **change})
            await nth_list(w, 2)
            await until(lambda: backend.closed == 1)
            assert w.proxy.pool.known("b") == (change.get("lifecycle") != "removed")
        await backend.stop()

    run(main())


def test_a_connection_busy_while_its_backend_moves_is_not_kept_for_the_new_address() -> None:
    async def main() -> None:
        old, new = await Backend().start(), await Backend().start()
        old.default_reply = None
        async with running_proxy([old.row("b")]) as w:
            client = await Client.to(w.port)
            client.send()
            await soon(old.request_received.wait())
            w.discovery.script_answer(2, new.row("b"))
            await nth_list(w, 2)
            for writer in list(old.writers):
                writer.write(reply())
            assert await client.status() == 200
            client.send()
            assert await client.status() == 200
            assert (len(old.requests), len(new.requests)) == (1, 1)
            await until(lambda: old.closed == 1)
        await old.stop()
        await new.stop()

    run(main())


@pytest.mark.parametrize(
    "bad",
    [
        b"garbage\r\n\r\n",
        reply(503),
        reply(200, b"{"),
        reply(200, b"[]"),
        reply(200, b'{"instances":3}'),
        reply(200, b'{"generation":"x","instances":[]}'),
        b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n{",
    ],
)
def test_the_watch_recovers_after_a_bad_answer(bad: bytes) -> None:
    async def main() -> None:
        async with running_proxy([row("b", 1)]) as w:
            await until(lambda: len(w.discovery.calls) == 2)
            w.discovery.answers.put_nowait(bad)
            if bad.endswith(b"{") and b"Length: 5" in bad:
                await until(lambda: w.discovery.answers.empty())
                for writer in list(w.discovery.connections):
                    await writer.drain()
                    writer.close()
            await until(lambda: len(w.discovery.calls) >= 3)
            w.discovery.script_answer(4, {"odd": 1}, row("c", 2))  # the valid entry counts
            event = await nth_list(w, 2)
            assert [e.id for e in event.endpoints] == ["c"]
            assert w.proxy.pool.known("b")

    run(main())


def test_ready_only_once_the_first_watch_is_up() -> None:
    async def main() -> None:
        discovery = await scripted_registry()
        w = RunningProxy(make_config(discovery.port, [row("b", 1)]), discovery)
        await w.start()
        await soon(discovery.called.wait())
        ready = b"GET /health/ready HTTP/1.1\r\n\r\n"
        client = await Client.to(w.port)
        assert await client.send_raw(ready) == 503
        assert [e.kind for e in lists_of(w)] == [api.ListKind.CACHED]
        discovery.script_answer(1)
        await until(lambda: w.proxy.watch.up)
        assert await client.send_raw(ready) == 200
        assert w.running is not None
        w.running.cancel()
        await discovery.stop()

    run(main())


def test_ready_with_the_cached_list_if_discovery_does_not_answer() -> None:
    async def main() -> None:
        discovery = await scripted_registry()  # accepts calls and answers none
        backend = await Backend().start()
        w = RunningProxy(make_config(discovery.port, [backend.row("b")]), discovery)
        await w.start()
        await until(lambda: w.proxy.watch.up)
        client = await Client.to(w.port)
        assert await client.send_raw(b"GET /health/ready HTTP/1.1\r\n\r\n") == 200
        client.send()
        assert await client.status() == 200
        await until(lambda: len(discovery.calls) == 2)  # the watch continues to call
        assert w.running is not None
        w.running.cancel()
        await backend.stop()
        await discovery.stop()

    run(main())


def test_not_ready_if_discovery_is_unreachable() -> None:
    async def main() -> None:
        discovery = await scripted_registry()
        port = discovery.port
        await discovery.stop()
        w = RunningProxy(make_config(port, [row("b", 1)]), discovery)
        await w.start()
        await until(lambda: w.proxy.watch.failures >= 2)
        client = await Client.to(w.port)
        assert await client.send_raw(b"GET /health/ready HTTP/1.1\r\n\r\n") == 503
        assert w.running is not None
        w.running.cancel()

    run(main())


def test_a_module_that_requests_watches_is_notified_of_failures() -> None:
    async def main() -> None:
        discovery = await scripted_registry()
        w = RunningProxy(make_config(discovery.port, [row("b", 1)], discovery="ask"), discovery)
        await w.start()
        assert discovery.calls == []
        w.proxy.driver._perform(api.WatchEndpoints())
        await soon(discovery.called.wait())
        discovery.answers.put_nowait(reply(503))
        await until(lambda: lists_of(w)[-1].kind is api.ListKind.FAILED)
        calls = len(discovery.calls)
        w.proxy.driver._perform(api.FetchEndpoints())
        await until(lambda: len(discovery.calls) > calls)
        assert discovery.calls[-1].startswith(b"GET /registry/instances ")
        discovery.script_answer(9, row("c", 2))
        await until(lambda: lists_of(w)[-1].kind is api.ListKind.FULL)
        assert not w.proxy.pool.known("b")
        assert w.running is not None
        w.running.cancel()
        await asyncio.sleep(0)
        await discovery.stop()

    run(main())


async def wait_for_move(w: RunningProxy, discovery: Registry) -> None:
    """Waits until the watch has moved to `discovery`, by its calls for the full list and then for changes."""
    await until(lambda: len(discovery.calls) >= 2)
    assert discovery.calls[0] == b"GET /registry/instances HTTP/1.1"
    assert b"?after=" in discovery.calls[1]


def test_a_moved_watch_requests_the_full_list_and_keeps_the_current_one() -> None:
    async def main() -> None:
        backend, other = await Backend().start(), await scripted_registry()
        backend.default_reply = None
        async with running_proxy([backend.row("b")]) as w:
            await until(lambda: len(w.discovery.calls) == 2)
            client = await Client.to(w.port)
            client.send()
            await soon(backend.request_received.wait())
            record = w.proxy.balancer.endpoints.servers["b"]
            w.proxy.watch.move(("127.0.0.1", other.port))
            assert w.proxy.watch.up  # the watch stays in service
            await until(lambda: len(other.calls) == 1)
            w.discovery.script_answer(50, row("late", 9))  # a late answer on the old connection
            other.script_answer(3, backend.row("b"), row("c", 2), reset=False)  # generations start anew
            await wait_for_move(w, other)
            assert b"after=3&" in other.calls[1]
            assert [e.kind for e in lists_of(w)] == [api.ListKind.CACHED, api.ListKind.FULL]
            assert w.proxy.balancer.endpoints.servers["b"] is record
            assert not w.proxy.pool.known("late")
            for writer in list(backend.writers):
                writer.write(reply())
            assert await client.status() == 200
            assert backend.connections == 1
            for writer in list(w.discovery.connections):  # the late loss of the old connection has no effect
                writer.transport.abort()
            other.script_answer(4, row("d", 3))
            await until(lambda: w.proxy.pool.known("d"))
            assert len(other.connections) == 1
        await other.stop()
        await backend.stop()

    run(main())


def test_a_watch_moved_repeatedly_ends_at_the_last_address() -> None:
    async def main() -> None:
        first, last = await scripted_registry(), await scripted_registry()
        async with running_proxy([row("b", 1)]) as w:
            for _ in range(5):  # each while the previous connection is being set up
                w.proxy.watch.move(("127.0.0.1", first.port))
                await asyncio.sleep(0)
                w.proxy.watch.move(("127.0.0.1", last.port))
                await asyncio.sleep(0)
            await until(lambda: len(last.calls) >= 1)
            last.script_answer(1, row("e", 5))
            await wait_for_move(w, last)
            assert len(last.connections) == 1
            assert w.proxy.pool.known("e")
            assert not w.proxy.pool.known("b")
            await until(lambda: not first.connections)
        await first.stop()
        await last.stop()

    run(main())


def test_an_unreachable_address_is_retried_until_it_sends_the_full_list() -> None:
    async def main() -> None:
        other = await scripted_registry()
        port = other.port
        await other.stop()
        async with running_proxy([row("b", 1)]) as w:
            w.proxy.watch.move(("127.0.0.1", port))
            await until(lambda: w.proxy.watch.failures >= 2)
            assert w.proxy.watch.up
            assert w.proxy.pool.known("b")
            await other.start(port)
            other.answers.put_nowait(reply(503))
            other.script_answer(2, row("f", 6))
            await until(lambda: w.proxy.pool.known("f"))
            assert other.calls[:2] == [b"GET /registry/instances HTTP/1.1"] * 2
        await other.stop()

    run(main())


def test_a_watch_moves_while_the_proxy_drains() -> None:
    async def main() -> None:
        backend, other = await Backend().start(), await scripted_registry()
        backend.default_reply = None
        async with running_proxy([backend.row("b")]) as w:
            client = await Client.to(w.port)
            client.send()
            await soon(backend.request_received.wait())
            w.proxy.drain()
            w.proxy.watch.move(("127.0.0.1", other.port))
            other.script_answer(1, backend.row("b"))
            await wait_for_move(w, other)
            for writer in list(backend.writers):
                writer.write(reply())
            assert await client.status() == 200
        await other.stop()
        await backend.stop()

    run(main())


@pytest.mark.parametrize("cut_at", [1, 20, 60, -1])
@pytest.mark.parametrize("closes", [True, False])
def test_a_partial_list_is_never_applied_and_is_soon_requested_again(
    cut_at: int,
    closes: bool,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a full list, cut or stalled at some byte, that removes known endpoints."""
    monkeypatch.setattr("honeywharf.discovery.watch.STALL_TIMEOUT_S", 0.05)

    async def main() -> None:
        backend = await Backend().start()
        async with running_proxy([backend.row("b")]) as w:
            full_answer = w.discovery._body(2, (row("other", 1),), reset=True)
            calls = len(w.discovery.calls)
            before = set(w.discovery.connections)
            w.discovery.answers.put_nowait(full_answer[:cut_at])
            if closes:
                await until(lambda: w.discovery.answers.empty())
                await asyncio.sleep(0.01)
                for writer in before:
                    writer.close()
            await until(lambda: len(w.discovery.calls) > calls)  # well before the call's time-out
            assert set(w.proxy.directory.rows) == {"b"}
            client = await Client.to(w.port)
            client.send()
            assert await client.status() == 200
            w.discovery.script_answer(3, row("c", 1, lifecycle="draining"))
            await until(lambda: w.proxy.directory.generation == 3)
            assert set(w.proxy.directory.rows) == {"b", "c"}
        await backend.stop()

    run(main())
