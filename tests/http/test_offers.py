"""HTTP/1.1 features around a request: upgrade offers, 100 (Continue), half-closed connections."""

from __future__ import annotations

import asyncio
import random
import socket

import pytest

from honeywharf.codecs import http1
from tests.loopback import Backend, Client, reply, run, running_proxy, soon, until

HEAD = b"X-Correlation-Id: %b\r\nX-Service-Class: %b\r\nX-Time-Left: 4000m\r\n"
UPGRADE_OFFERS = [
    b"Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AAMAAABk\r\n",
    b"Connection: Upgrade\r\nUpgrade: websocket\r\nSec-WebSocket-Key: x\r\n",
]


def get(name: bytes, more: bytes = b"", version: bytes = b"1.1") -> bytes:
    return b"GET /api HTTP/%b\r\n" % version + HEAD % (name, b"read") + more + b"\r\n"


def pay(name: bytes, body: bytes, more: bytes = b"", chunked: bool = False) -> bytes:
    head = b"POST /api HTTP/1.1\r\n" + HEAD % (name, b"pay") + more
    if chunked:
        return head + b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
    return head + b"Content-Length: %d\r\n\r\n%b" % (len(body), body)


@pytest.mark.parametrize("offer", UPGRADE_OFFERS)
@pytest.mark.parametrize(
    "make",
    [
        lambda offer: get(b"one", offer),
        lambda offer: pay(b"one", b"GET / HTTP/1.1\r\n\r\n", offer),  # a body that looks like a request
        lambda offer: pay(b"one", b"hello", offer, chunked=True),
        lambda offer: pay(b"one", b"", offer),
    ],
)
def test_an_upgrade_offer_is_ignored_and_the_next_request_is_served(
    offer: bytes,
    make: object,
) -> None:
    first = make(offer)  # type: ignore[operator]

    async def main() -> None:
        backend = await Backend().start()
        backend.script = [reply(200, b"1"), reply(200, b"2"), reply(200, b"3")]
        async with running_proxy([backend.row("b")]) as w:
            client = await Client.to(w.port)
            client.writer.write(first + get(b"two", offer))  # in a single write
            assert [(await client.answer())[2] for _ in range(2)] == [b"1", b"2"]
            client.writer.write(get(b"three"))
            assert (await client.answer())[2] == b"3"
            assert [r[1][b"x-correlation-id"] for r in backend.requests] == [b"one", b"two", b"three"]
            assert not any(b"upgrade" in r[1] for r in backend.requests)
            client.writer.write_eof()
            assert await client.closed()  # and nothing more was sent
        await backend.stop()

    run(main())


@pytest.mark.parametrize("seed", range(20))
def test_messages_split_anywhere_parse_as_unsplit(seed: int) -> None:
    """Upgrade offers, chunks, trailers and plain requests in any order, split at random places."""
    rng, stream, expected = random.Random(seed), b"", []
    for i in range(12):
        more = rng.choice([b"", b"", *UPGRADE_OFFERS])
        body = rng.randbytes(rng.choice((0, 1, 40, 20000)))
        kind = rng.randrange(4)
        name = b"m%d" % i
        if kind == 0:
            stream, body = stream + get(name, more), b""
        else:
            message = pay(name, body, more, chunked=kind == 2)
            if kind == 3 and body:
                message = pay(name, body, more, chunked=True)[:-2] + b"X-Correlation-Id: trailer\r\n\r\n"
            elif kind == 2 and not body:
                message = pay(name, body, more)
            stream += message
        expected.append((name.decode(), body))
    reader, got = http1.RequestReader(), []
    while stream:
        size = rng.choice((1, 2, 7, 100, 5000, 70000))
        got += [(r.id, r.body) for r in reader.feed(stream[:size])]
        stream = stream[size:]
    assert reader.fault is None
    assert got == expected
    assert reader.idle


def test_trailer_fields_are_no_headers_and_an_endless_trailer_is_rejected() -> None:
    head = b"POST /api HTTP/1.1\r\n" + HEAD % (b"one", b"order") + b"Transfer-Encoding: chunked\r\n\r\n"
    reader = http1.RequestReader()
    (request,) = reader.feed(head + b"1\r\nx\r\n0\r\nIdempotency-Key: t\r\nX-Repeat: 1\r\n\r\n")
    assert request.idempotency_key == b""
    assert b"Idempotency-Key" not in request.head()
    for lines in ([b"X-A: b\r\n"] * 10_000, [b"X-A: "] + [b"x"] * 40_000, [b"X-A: " + b"x" * 40_000]):
        reader = http1.RequestReader()
        reader.feed(head + b"1\r\nx\r\n0\r\n")
        read = 0
        for line in lines:
            if reader.fault is None:
                reader.feed(line)
                read += len(line)
        assert reader.fault is not None
        assert reader.fault.status == 431
        assert read <= http1.MAX_HEAD_BYTES + 8 or len(lines) == 1


def test_the_head_limit_counts_split_heads_once_and_each_message_separately() -> None:
    reader, text = http1.RequestReader(), get(b"one", b"X-Pad: " + b"p" * 12_000 + b"\r\n")
    assert [r.id for i in range(0, len(text), 1000) for r in reader.feed(text[i : i + 1000])] == ["one"]
    many = b"".join(get(b"m%d" % i, b"X-Pad: " + b"p" * 9000 + b"\r\n") for i in range(6))
    assert len(reader.feed(many[:-10])) == 5
    assert reader.fault is None
    assert [r.id for r in reader.feed(many[-10:])] == ["m5"]


def test_100_continue_follows_earlier_responses_and_is_never_sent_to_http_1_0() -> None:
    async def main() -> None:
        backend = await Backend().start()
        backend.script = [None, reply(200, b"2"), reply(200, b"3")]
        async with running_proxy([backend.row("b")]) as w:
            client = await Client.to(w.port)
            second = pay(b"two", b"hello", b"Expect: 100-continue\r\n")
            client.writer.write(get(b"one") + second[:-5])
            await soon(backend.request_received.wait())
            for writer in list(backend.writers):
                writer.write(reply(200, b"1"))
            assert (await client.answer())[2] == b"1"
            assert (await soon(client.reader.readline())) == b"HTTP/1.1 100 Continue\r\n"
            await soon(client.reader.readline())
            client.writer.write(second[-5:])
            assert (await client.answer())[2] == b"2"
            # Sent without waiting: no 100 (Continue).
            client.writer.write(pay(b"three", b"hello", b"Expect: 100-continue\r\n"))
            assert (await client.answer())[2] == b"3"
            old = await Client.to(w.port)
            old.writer.write(second.replace(b"HTTP/1.1", b"HTTP/1.0").replace(b"two", b"old"))
            head, _, _ = await old.answer()
            assert head.startswith(b"HTTP/1.1 200")
            assert await old.closed()
        await backend.stop()

    run(main())


@pytest.mark.parametrize(
    ("raw", "status"),
    [
        (b"CONNECT db:5432 HTTP/1.1\r\nHost: db:5432\r\n\r\nGET /api HTTP/1.1\r\n\r\n", 400),
        (b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", 400),
        (pay(b"one", b"", b"Expect: 100-continue\r\n").replace(b"Length: 0", b"Length: 2000000000"), 413),
        (
            get(b"one", b"Connection: keep-alive\r\n", b"1.0"),
            200,
        ),  # never persistent through a proxy (RFC 9112, 9.3)
    ],
)
def test_one_response_then_close(raw: bytes, status: int) -> None:
    async def main() -> None:
        backend = await Backend().start()
        async with running_proxy([backend.row("b")]) as w:
            client = await Client.to(w.port)
            assert await client.send_raw(raw) == status
            assert await client.closed()
            assert len(backend.requests) == (status == 200)
        await backend.stop()

    run(main())


@pytest.mark.parametrize("version", [b"1.1", b"1.0"])
def test_a_half_closed_client_gets_its_response(version: bytes) -> None:
    async def main() -> None:
        backend = await Backend().start()
        backend.default_reply = None
        async with running_proxy([backend.row("b")]) as w:
            client = await Client.to(w.port)
            client.writer.write(get(b"one", version=version))
            client.writer.write_eof()
            await soon(backend.request_received.wait())
            await until(lambda: any(c.half_closed for c in w.proxy.front.connections))
            await asyncio.sleep(0.1)  # several checks for a reset happen meanwhile
            for writer in list(backend.writers):
                writer.write(reply(200, b"tile"))
            if version == b"1.1":
                assert (await soon(client.reader.readexactly(25))) == b"HTTP/1.1 100 Continue\r\n\r\n"
            assert (await client.answer())[2] == b"tile"
            assert await client.closed()
            await until(lambda: not w.proxy.front.connections)
        await backend.stop()

    run(main())


def test_a_closed_client_is_detected_at_once() -> None:
    async def main() -> None:
        backend = await Backend().start()
        backend.default_reply = None
        async with running_proxy([backend.row("b")]) as w:
            client = await Client.to(w.port)
            client.writer.write(get(b"one"))
            await soon(backend.request_received.wait())
            client.writer.close()
            await until(lambda: w.proxy.driver.counts.get("gone") == 1)
            assert not w.proxy.front.connections
        await backend.stop()

    run(main())


def test_valid_requests_are_served_despite_1100_partial_heads() -> None:
    async def main() -> None:
        backend = await Backend().start()
        async with running_proxy([backend.row("b")]) as w:
            kept = await Client.to(w.port)
            kept.send()
            assert await kept.status() == 200
            connections, statuses = [], []
            for n in range(1100):
                connection = socket.socket()
                connection.setblocking(False)
                await soon(asyncio.get_running_loop().sock_connect(connection, ("127.0.0.1", w.port)))
                connection.send(b"GET /api HTTP/1.1\r\nX-Corr")
                connections.append(connection)
                if n % 50 == 49:  # an idle connection is closed after 2 s while so many are in use
                    kept.send()
                    statuses.append(await kept.status())
            for _ in range(40):
                client = await Client.to(w.port)
                client.send()
                statuses.append(await client.status())
                client.writer.close()
                kept.send()
                statuses.append(await kept.status())
            for connection in connections:
                connection.close()
            assert statuses == [200] * (22 + 80)
        await backend.stop()

    run(main())
