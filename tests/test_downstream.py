"""Clients over real sockets: local responses, invalid input, limits, the end of service."""

from __future__ import annotations

import asyncio
from contextlib import suppress

import pytest

from honeywharf.codecs import http1
from honeywharf.http import front as downstream
from honeywharf.policy import interface as api
from tests.loopback import Backend, Client, reply, run, running_proxy, soon, until

HEAD = b"X-Correlation-Id: abc\r\nX-Service-Class: read\r\nX-Time-Left: 900m\r\n"
ORDER, PAY = HEAD.replace(b"read", b"order"), HEAD.replace(b"read", b"pay")


@pytest.mark.parametrize(
    ("raw", "status"),
    [
        (b"nonsense\r\n\r\n", 400),
        (b"GET /api HTTP/1.1\r\n" + HEAD.replace(b"read", b"unheard") + b"\r\n", 400),
        (b"GET /api HTTP/1.1\r\n" + HEAD.replace(b"X-Time-Left: 900m\r\n", b"") + b"\r\n", 400),
        (b"GET /api HTTP/1.1\r\n" + HEAD.replace(b"900m", b"later") + b"\r\n", 400),
        (b"GET /api HTTP/1.1\r\n" + HEAD.replace(b"X-Correlation-Id: abc\r\n", b"") + b"\r\n", 400),
        (b"POST /api HTTP/1.1\r\nContent-Length: 0\r\n" + ORDER + b"\r\n", 400),
        (b"POST /api HTTP/1.1\r\nContent-Length: 0\r\n" + HEAD + b"\r\n", 400),
        (b"GET /api HTTP/1.1\r\nContent-Length: 1\r\n" + HEAD + b"\r\nx", 400),
        (b"GET /api HTTP/1.1\r\nIdempotency-Key: k\r\n" + HEAD + b"\r\n", 400),
        (b"GET /api HTTP/1.1\r\nIdempotency-Key: k\r\n" + ORDER + b"\r\n", 400),
        (
            b"POST /api HTTP/1.1\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n"
            + PAY
            + b"\r\n0\r\n\r\nPOST /api HTTP/1.1\r\nContent-Length: 0\r\n"
            + PAY
            + b"\r\n",
            400,
        ),
        (b"POST /api HTTP/1.1\r\nContent-Length: 2000000000\r\n" + HEAD + b"\r\n", 413),
        (b"GET /api HTTP/1.1\r\nX-Long: " + b"x" * 20000 + b"\r\n\r\n", 431),
    ],
)
def test_invalid_requests_are_answered_by_the_proxy_and_not_forwarded(raw: bytes, status: int) -> None:
    async def main() -> None:
        backend = await Backend().start()
        async with running_proxy([backend.row("b")]) as w:
            client = await Client.to(w.port)
            assert await client.send_raw(raw) == status
            assert await client.closed()
            assert backend.requests == []
            other = await Client.to(w.port)  # other clients are served
            other.send()
            assert await other.status() == 200
        await backend.stop()

    run(main())


@pytest.mark.parametrize("path", [b"/", b"/apis", b"/health", b"/health/ready/x", b"*"])
def test_an_unknown_path_is_not_found_and_the_connection_stays(path: bytes) -> None:
    async def main() -> None:
        backend = await Backend().start()
        async with running_proxy([backend.row("b")]) as w:
            client = await Client.to(w.port)
            assert await client.send_raw(b"OPTIONS " + path + b" HTTP/1.1\r\n" + HEAD + b"\r\n") == 404
            client.send()
            assert await client.status() == 200
        await backend.stop()

    run(main())


def test_pipelined_requests_are_answered_in_order() -> None:
    async def main() -> None:
        backend = await Backend().start()
        backend.script = [reply(200, b"one"), reply(200, b"two"), reply(200, b"three")]
        async with running_proxy([backend.row("b")]) as w:
            client = await Client.to(w.port)
            names = [client.send() for _ in range(3)]
            assert [(await client.answer())[2] for _ in names] == [b"one", b"two", b"three"]
            assert [r[1][b"x-correlation-id"].decode() for r in backend.requests] == names
        await backend.stop()

    run(main())


@pytest.mark.parametrize("number", [downstream.MAX_PIPELINED + 1, 400])
def test_a_client_that_pipelines_too_many_requests_is_answered_once_and_closed(number: int) -> None:
    async def main() -> None:
        backend = await Backend().start()
        backend.default_reply = None
        async with running_proxy([backend.row("b")]) as w:
            client, other = await Client.to(w.port), await Client.to(w.port)
            for k in range(number):
                client.writer.write(b"GET /api HTTP/1.1\r\n" + HEAD.replace(b"abc", b"abc%d" % k) + b"\r\n")
            assert await client.status() == 400
            assert await client.closed()
            assert len(backend.requests) <= 1
            backend.default_reply = reply()
            other.send()
            assert await other.status() == 200
            for writer in list(backend.writers):
                writer.write(reply())
            await until(lambda: not w.proxy.driver.requests and w.proxy.driver.open_requests == 0)
        await backend.stop()

    run(main())


@pytest.mark.parametrize(
    "raw",
    [
        b"POST /api HTTP/1.1\r\nContent-Length: 60000000\r\n" + HEAD + b"\r\n" + b"x" * 4_000_000,
        b"GET /api HTTP/1.1\r\n" + b"X-Pad: pppp\r\n" * 400_000,
        b"\x00\xff" * 2_000_000,
    ],
)
def test_a_client_that_continues_sending_still_gets_the_response(raw: bytes) -> None:
    """Excess data is read and discarded for a while: closing with unread bytes could destroy the response."""

    async def main() -> None:
        backend = await Backend().start()
        async with running_proxy([backend.row("b")]) as w:
            client = await Client.to(w.port)
            client.writer.write(raw)
            assert await client.status() >= 400
            with suppress(ConnectionError):
                assert await client.closed()
            await until(lambda: not w.proxy.front.connections)
            assert backend.requests == []
        await backend.stop()

    run(main())


def test_a_last_response_arrives_despite_bytes_after_the_request() -> None:
    async def main() -> None:
        backend = await Backend().start()
        async with running_proxy([backend.row("b")]) as w:
            client = await Client.to(w.port)
            client.send("read", b"", "4000m", "Connection: close")
            client.writer.write(b"x" * 100_000)
            assert await client.status() == 200
            await until(lambda: not w.proxy.front.connections)
        await backend.stop()

    run(main())


@pytest.mark.parametrize("sent", [b"", b"POST /api HTTP/1.1\r\nContent-Le", b"GET /none HTTP/1.1\r\n\r\n"])
def test_connections_without_a_request_time_out(sent: bytes, monkeypatch: pytest.MonkeyPatch) -> None:
    for name in ("FIRST_REQUEST_TIMEOUT_MS", "IDLE_TIMEOUT_MS", "HEADER_TIMEOUT_MS"):
        monkeypatch.setattr(downstream, name, 50.0)
    monkeypatch.setattr(downstream, "SWEEP_S", 0.02)

    async def main() -> None:
        async with running_proxy([]) as w:
            client = await Client.to(w.port)
            client.writer.write(sent)
            await soon(client.reader.read())  # returns when it is closed
            front = w.proxy.front
            await until(lambda: not front.connections)
            assert not any((front.silent, front.partial, front.idle))

    run(main())


def test_a_huge_time_left_is_limited_to_the_deadline_of_the_class() -> None:
    async def main() -> None:
        backend = await Backend().start()
        async with running_proxy([backend.row("b")]) as w:
            client = await Client.to(w.port)
            client.send("read", b"", "999999999999m")
            assert await client.status() == 200
            (event,) = [e for e in w.events if isinstance(e, api.RequestArrived)]
            assert event.remaining_ms <= 5000.0
            left = http1.parse_duration_ms(backend.requests[0][1][b"x-time-left"])
            assert left is not None
            assert left <= 5000.0
        await backend.stop()

    run(main())


def test_a_valid_request_is_answered_before_the_malformed_one_after_it() -> None:
    async def main() -> None:
        backend = await Backend().start()
        async with running_proxy([backend.row("b")]) as w:
            client = await Client.to(w.port)
            client.send()
            client.writer.write(b"nonsense\r\n\r\n")
            assert await client.status() == 200
            assert await client.status() == 400
            assert await client.closed()
        await backend.stop()

    run(main())


def test_expect_100_continue_is_answered() -> None:
    async def main() -> None:
        backend = await Backend().start()
        async with running_proxy([backend.row("b")]) as w:
            client = await Client.to(w.port)
            client.writer.write(
                b"POST /api HTTP/1.1\r\nContent-Length: 2\r\nExpect: 100-continue\r\n"
                + HEAD.replace(b"read", b"pay")
                + b"\r\n"
            )
            assert await client.status() == 100
            client.writer.write(b"ok")
            assert await client.status() == 200
            assert backend.requests[0][2] == b"ok"
            assert b"expect" not in backend.requests[0][1]
        await backend.stop()

    run(main())


def test_over_the_limit_on_open_requests_a_request_is_rejected_at_once() -> None:
    async def main() -> None:
        backend = await Backend().start()
        backend.default_reply = None
        async with running_proxy([backend.row("b")], bounds={"openCap": 1}) as w:
            first, second = await Client.to(w.port), await Client.to(w.port)
            first.send()
            await soon(backend.request_received.wait())
            second.send()
            assert await second.status() == 503
            assert len(backend.requests) == 1
        await backend.stop()

    run(main())


def test_the_id_of_an_open_request_is_rejected() -> None:
    async def main() -> None:
        backend = await Backend().start()
        backend.default_reply = None
        async with running_proxy([backend.row("b")]) as w:
            first, second = await Client.to(w.port), await Client.to(w.port)
            first.writer.write(b"GET /api HTTP/1.1\r\n" + HEAD + b"\r\n")
            await soon(backend.request_received.wait())
            assert await second.send_raw(b"GET /api HTTP/1.1\r\n" + HEAD + b"\r\n") == 409
            for writer in list(backend.writers):
                writer.write(reply())
            assert await first.status() == 200
        await backend.stop()

    run(main())


def test_at_the_connection_limit_silent_clients_are_evicted_and_then_new_ones_rejected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(downstream, "MIN_AGE_TO_EVICT_MS", 0.0)

    async def main() -> None:
        backend = await Backend().start()
        async with running_proxy([backend.row("b")]) as w:
            w.proxy.front.max_connections = 3
            idle, busy = await Client.to(w.port), await Client.to(w.port)
            idle.send()
            assert await idle.status() == 200
            backend.default_reply = None
            backend.request_received.clear()
            busy.send()
            await soon(backend.request_received.wait())
            silent = await Client.to(w.port)
            await until(lambda: len(w.proxy.front.silent) == 1)
            third = await Client.to(w.port)
            assert await silent.closed()
            third.writer.write(b"GET /api HT")
            await until(lambda: len(w.proxy.front.partial) == 1)
            fourth = await Client.to(w.port)
            assert await third.closed()
            for client in (idle, fourth):
                backend.request_received.clear()
                client.send()
                await soon(backend.request_received.wait())
            fifth = await Client.to(w.port)  # all have a request in flight
            assert await fifth.status() == 503
            assert await fifth.closed()
            assert len(backend.requests) == 4
            for writer in list(backend.writers):
                writer.write(reply())
            for client in (busy, idle, fourth):
                assert await client.status() == 200
        await backend.stop()

    run(main())


def test_a_partial_request_times_out(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(downstream, "HEADER_TIMEOUT_MS", 50.0)
    monkeypatch.setattr(downstream, "SWEEP_S", 0.02)

    async def main() -> None:
        backend = await Backend().start()
        async with running_proxy([backend.row("b")]) as w:
            idle, slow = await Client.to(w.port), await Client.to(w.port)
            idle.send()
            assert await idle.status() == 200
            assert await slow.send_raw(b"POST /api HTTP/1.1\r\nContent-Length: 9\r\n\r\nhalf") == 408
            assert await slow.closed()
            idle.send()  # an idle one stays open
            assert await idle.status() == 200
        await backend.stop()

    run(main())


def test_draining_completes_accepted_requests_and_closes_the_rest() -> None:
    async def main() -> None:
        backend = await Backend().start()
        backend.default_reply = None
        async with running_proxy([backend.row("b")]) as w:
            busy, idle = await Client.to(w.port), await Client.to(w.port)
            assert await idle.send_raw(b"GET /health/ready HTTP/1.1\r\n\r\n") == 200
            busy.send()
            await soon(backend.request_received.wait())
            w.proxy.drain()
            assert await idle.closed()
            late = await Client.to(w.port)  # clients still connect for a moment
            assert await late.send_raw(b"GET /health/ready HTTP/1.1\r\n\r\n") == 503
            assert await late.closed()
            late = await Client.to(w.port)
            late.send()
            await until(lambda: len(backend.requests) == 2)
            for writer in list(backend.writers):
                writer.write(reply(200, b"done"))
            for client in (busy, late):
                first, headers, body = await client.answer()
                assert (first.split()[1], headers[b"connection"], body) == (b"200", b"close", b"done")
                assert await client.closed()
            assert w.running is not None
            await soon(asyncio.shield(w.running))  # ends by itself when nothing is open
        await backend.stop()

    run(main())


def test_service_ends_even_if_a_backend_never_answers(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("honeywharf.service.lifecycle.KILL_AFTER_MS", 100.0)

    async def main() -> None:
        backend = await Backend().start()
        backend.default_reply = None
        async with running_proxy([backend.row("b")]) as w:
            client = await Client.to(w.port)
            client.send("pay")
            await soon(backend.request_received.wait())
            w.proxy.drain()
            assert await client.status() == 502
            assert w.running is not None
            await soon(asyncio.shield(w.running))
        await backend.stop()

    run(main())
