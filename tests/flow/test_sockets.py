"""Long bodies both ways on loopback: split, slow, aborted, answered early, in all forms of HTTP/1.1."""

from __future__ import annotations

import asyncio
import hashlib
from collections.abc import Callable

import pytest

from honeywharf.flow import buffer_budget
from honeywharf.http import backend as upstream, front as downstream
from honeywharf.http.body_streams import ConnectionSource
from honeywharf.policy import interface as api
from tests.loopback import Backend, Client, reply, run, running_proxy, soon, until

MB = 1024 * 1024
LONG = bytes(range(256)) * 4 * 1024  # 1 MB


async def raw(answer: Callable[[asyncio.StreamReader, asyncio.StreamWriter], object]) -> asyncio.Server:
    """A server that calls `answer` with each connection."""
    return await asyncio.start_server(answer, "127.0.0.1", 0)  # type: ignore[arg-type]


def port_of(server: asyncio.Server) -> int:
    return int(server.sockets[0].getsockname()[1])


async def head(reader: asyncio.StreamReader) -> bytes:
    return await soon(reader.readuntil(b"\r\n\r\n"))


async def unchunked(reader: asyncio.StreamReader) -> bytes:
    body = b""
    while size := int((await soon(reader.readline())).partition(b";")[0], 16):
        body += await soon(reader.readexactly(size))
        await soon(reader.readexactly(2))
    await soon(reader.readline())
    return body


FORMS = {
    "length": (b"Content-Length: %d\r\n\r\n" % len(LONG), LONG),
    "chunked": (
        b"Transfer-Encoding: chunked\r\n\r\n",
        b"".join(b"%x;a=b\r\n%b\r\n" % (65_536, LONG[i : i + 65_536]) for i in range(0, MB, 65_536))
        + b"0\r\nX-Trailer: t\r\n\r\n",
    ),
    "up to the end": (b"Connection: close\r\n\r\n", LONG),
}


@pytest.mark.parametrize("form", FORMS)
@pytest.mark.parametrize("version", ["HTTP/1.1", "HTTP/1.0"])
def test_a_long_answer_is_forwarded_as_it_arrives_in_each_form(form: str, version: str) -> None:
    async def main() -> None:
        first_half = asyncio.Event()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            for _ in range(2):
                await head(reader)
                more, body = FORMS[form]
                writer.write(b"HTTP/1.1 200 OK\r\n" + more + body[:300_000])
                await soon(first_half.wait())
                writer.write(body[300_000:])
                if form == "up to the end":
                    break
            await writer.drain()
            writer.close()

        server = await raw(serve)
        backend = Backend()
        backend.port = port_of(server)
        async with running_proxy([backend.row("b")]) as w:
            client = await Client.to(w.port)
            client.writer.write(
                f"GET /api {version}\r\nHost: x\r\nX-Correlation-Id: i1\r\nX-Service-Class: read\r\n"
                "X-Time-Left: 4000m\r\n\r\n".encode()
            )
            response_head = await head(client.reader)  # Before the backend has sent all of it.
            assert response_head.startswith(b"HTTP/1.1 200 ")
            if b"chunked" in response_head:
                assert version == "HTTP/1.1"
                assert form != "length"
                size = int(await soon(client.reader.readline()), 16)
                first_part = (await soon(client.reader.readexactly(size + 2)))[:-2]
            else:
                first_part = await soon(client.reader.readexactly(10_000))
            first_half.set()
            if b"chunked" in response_head:
                body = first_part + await unchunked(client.reader)
            elif b"Content-Length" in response_head:
                body = first_part + await soon(client.reader.readexactly(len(LONG) - len(first_part)))
            else:
                assert (version, b"Connection: close" in response_head) == ("HTTP/1.0", True)
                body = first_part + await soon(client.reader.read(-1))
            assert body == LONG
            if version == "HTTP/1.1":  # The connection can be reused.
                client.send()
                assert (await head(client.reader)).startswith(b"HTTP/1.1 200 ")
            (ended, *_) = w.ended()
            assert ended.outcome is api.Outcome.OK
            assert w.proxy.buffer_budget.open_pipes <= 1
        server.close()

    run(main())


@pytest.mark.parametrize("chunked", [False, True])
def test_a_long_body_is_forwarded_as_it_arrives(chunked: bool) -> None:
    async def main() -> None:
        got = hashlib.sha256()
        began = asyncio.Event()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            response_head = await head(reader)
            began.set()
            whole = unchunked(reader) if b"chunked" in response_head else soon(reader.readexactly(4 * MB))
            got.update(await whole)
            writer.write(reply(200, b"mosaic"))

        server = await raw(serve)
        backend = Backend()
        backend.port = port_of(server)
        async with running_proxy([backend.row("b")]) as w:
            client = await Client.to(w.port)
            form = "Transfer-Encoding: chunked" if chunked else f"Content-Length: {4 * MB}"
            client.writer.write(
                f"POST /api HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: i1\r\nX-Service-Class: pay\r\n"
                f"X-Time-Left: 3000m\r\nExpect: 100-continue\r\n{form}\r\n\r\n".encode()
            )
            assert (await head(client.reader)).startswith(b"HTTP/1.1 100 ")
            for i in range(4):
                piece = LONG
                client.writer.write(b"%x\r\n%b\r\n" % (len(piece), piece) if chunked else piece)
                if i == 1:
                    await soon(began.wait())  # The backend has begun before the client has sent all.
            if chunked:
                client.writer.write(b"0\r\n\r\n")
            assert (await client.answer())[2] == b"mosaic"
            assert got.digest() == hashlib.sha256(LONG * 4).digest()
            assert (w.proxy.buffer_budget.open_pipes, w.proxy.front.uploads) == (0, {})
        server.close()

    run(main())


def test_a_message_split_at_any_byte_is_read_the_same() -> None:
    async def main() -> None:
        body = b"z" * 300
        answer = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x;x=y\r\n%b\r\n0\r\nT: t\r\n\r\n" % (
            len(body),
            body,
        )
        backend = await Backend().start()
        backend.default_reply = None
        async with running_proxy([backend.row("b")]) as w:
            client = await Client.to(w.port)
            for at in range(1, len(answer)):
                client.send()
                await until(lambda at=at: len(backend.requests) == at)  # type: ignore[misc]
                (writer,) = backend.writers
                writer.write(answer[:at])
                await asyncio.sleep(0)
                writer.write(answer[at:])
                assert (await client.answer())[2] == body
            request = (
                b"POST /api HTTP/1.1\r\nX-Correlation-Id: c%d\r\nX-Service-Class: pay\r\n"
                b"X-Time-Left: 4000m\r\nTransfer-Encoding: chunked\r\n\r\n"
                b"3;e\r\nabc\r\n0\r\nT: t\r\n\r\n"
            )
            backend.default_reply = reply(200, b"ok")
            for at in range(1, len(request) - 1):
                whole = request % at
                client.writer.write(whole[:at])
                await asyncio.sleep(0)
                client.writer.write(whole[at:])
                assert await client.status() == 200
                assert backend.requests[-1][2] == b"abc"
        await backend.stop()

    run(main())


def test_an_aborted_answer_is_visibly_incomplete_and_reported() -> None:
    async def main() -> None:
        for form in ("length", "chunked"):
            backend = await Backend().start()
            backend.default_reply = None
            async with running_proxy([backend.row("b")], bounds={"mostTries": 3}) as w:
                client = await Client.to(w.port)
                client.send("read")
                await soon(backend.request_received.wait())
                (writer,) = backend.writers
                more, body = FORMS[form]
                writer.write(b"HTTP/1.1 200 OK\r\n" + more + body[:200_000])
                await head(client.reader)
                writer.close()
                with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
                    await soon(client.reader.readexactly(len(body)))
                await until(lambda w=w: any(isinstance(e, api.AnswerBroken) for e in w.events))  # type: ignore[misc]
                assert len(backend.requests) == 1  # A request whose answer has begun is not retried.
                assert w.proxy.buffer_budget.open_pipes == 0
            await backend.stop()

    run(main())


def test_a_caller_that_does_not_read_buffers_a_bounded_part_and_is_disconnected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(downstream, "STALL_TIMEOUT_MS", 400.0)

    async def main() -> None:
        written = 0

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            nonlocal written
            await head(reader)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (64 * MB))
            try:
                while written < 64 * MB:
                    writer.write(LONG)
                    await writer.drain()
                    written += MB
            except ConnectionError:
                pass
            finally:
                writer.close()

        server = await raw(serve)
        backend = Backend()
        backend.port = port_of(server)
        async with running_proxy([backend.row("b")]) as w:
            client = await Client.to(w.port)
            client.reader._transport.pause_reading()  # type: ignore[attr-defined]
            client.send()
            await until(lambda: bool(w.proxy.front.downloads))
            (connection,) = w.proxy.front.downloads
            await until(lambda: connection.transport.get_write_buffer_size() > 0)
            held = connection.transport.get_write_buffer_size()
            assert held <= w.proxy.buffer_budget.share() + buffer_budget.MAX_READ
            await until(lambda: not w.proxy.front.downloads)  # Closed, and its backend's connection with it.
            await until(lambda: w.proxy.pool.count == 0)
            assert written < 32 * MB
            assert w.proxy.buffer_budget.open_pipes == 0
        server.close()

    run(main())


def test_an_upload_that_stops_halfway_never_runs_and_releases_its_slot(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("honeywharf.flow.transfer_rate.HEADER_TIMEOUT_MS", 100.0)

    async def main() -> None:
        backend = await Backend().start()
        async with running_proxy([backend.row("b")]) as w:
            for leaves in (True, False):
                client = await Client.to(w.port)
                client.send("pay", b"")  # An ordinary request first.
                assert await client.status() == 200
                client.writer.write(
                    b"POST /api HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: u%d\r\nX-Service-Class: pay\r\n"
                    b"X-Time-Left: 3000m\r\nContent-Length: 1000000\r\n\r\n" % leaves + b"y" * 100_000
                )
                await until(lambda: w.proxy.driver.open_requests == 1)
                if leaves:
                    client.writer.transport.abort()
                else:
                    assert await client.status() == 408
                await until(lambda: w.proxy.driver.open_requests == 0 and not w.proxy.driver.requests)
                await until(lambda: w.proxy.buffer_budget.open_pipes == 0)
            assert len(backend.requests) == 2  # Neither upload became a request there.
        await backend.stop()

    run(main())


def test_an_early_rejection_is_forwarded_while_the_body_still_arrives() -> None:
    """A backend that answers before it has all of the body has not run the request: callers may retry."""

    async def main() -> None:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await head(reader)
            await reader.read(50_000)
            writer.write(reply(500, b"full"))
            await reader.read(-1)

        server = await raw(serve)
        backend = Backend()
        backend.port = port_of(server)
        async with running_proxy([backend.row("b")]) as w:
            client = await Client.to(w.port)
            client.writer.write(
                b"POST /api HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: e1\r\nX-Service-Class: pay\r\n"
                b"X-Time-Left: 3000m\r\nContent-Length: %d\r\n\r\n" % (8 * MB)
            )
            for _ in range(8):  # The client reads nothing before it has written all.
                client.writer.write(LONG)
                await soon(client.writer.drain())
            assert await client.status() == 503
            assert next(e.outcome for e in w.ended()) is api.Outcome.REJECTED
            assert w.ended()[0].last
            await until(lambda: w.proxy.buffer_budget.open_pipes == 0)
        server.close()

    run(main())


def test_a_buffered_body_is_retried_and_a_forwarded_one_is_not() -> None:
    """A body rejected before more than is kept has arrived goes to another backend, complete."""

    async def main() -> None:
        async def close_connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await head(reader)
            writer.close()

        seen = asyncio.Event()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            for _ in range(12):
                await head(reader)
                seen.set()
                body = await soon(reader.readexactly(200_000))
                writer.write(reply(200, hashlib.sha256(body).hexdigest().encode()))

        bad, good = await raw(close_connection), await raw(serve)
        one, two = Backend(), Backend()
        one.port, two.port = port_of(bad), port_of(good)
        async with running_proxy([one.row("one"), two.row("two")]) as w:
            client = await Client.to(w.port)
            for i in range(12):  # Some of these requests reach the bad backend first.
                client.writer.write(
                    b"POST /api HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: a%d\r\nX-Service-Class: pay\r\n"
                    b"X-Time-Left: 3000m\r\nContent-Length: 200000\r\n\r\n" % i + b"w" * 30_000
                )
                await soon(seen.wait())
                seen.clear()
                client.writer.write(b"w" * 170_000)
                assert (await client.answer())[2] == hashlib.sha256(b"w" * 200_000).hexdigest().encode()
            assert any(e.outcome is api.Outcome.CONNECT_FAILED for e in w.ended())
        bad.close()
        good.close()

    run(main())


def test_bodies_beyond_the_slots_wait_or_are_rejected(monkeypatch: pytest.MonkeyPatch) -> None:
    async def main() -> None:
        backend = await Backend().start()
        async with running_proxy([backend.row("b")], memory_mb=16.0) as w:
            w.proxy.buffer_budget.max_pipes = 1
            first, second = await Client.to(w.port), await Client.to(w.port)
            upload = (
                b"POST /api HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: %b\r\nX-Service-Class: pay\r\n"
                b"X-Time-Left: 3000m\r\nContent-Length: 100000\r\n\r\n"
            )
            first.writer.write(upload % b"p1" + b"x" * 90_000)
            await until(lambda: w.proxy.buffer_budget.open_pipes == 1)
            second.writer.write(upload % b"p2" + b"x" * 90_000)
            assert await second.status() == 503
            reading_client = await Client.to(w.port)
            backend.default_reply = reply(200, LONG)
            reading_client.send()
            response_head = await head(
                reading_client.reader
            )  # The first bytes arrive, the rest waits for a slot.
            assert b"200" in response_head
            # Guards against answers that are read without a slot, once a client takes them.
            (download,) = w.proxy.front.downloads
            assert download.stream is not None
            assert isinstance(download.stream.source, ConnectionSource)
            backend_connection = download.stream.source.connection
            assert isinstance(backend_connection, upstream.Connection)
            assert backend_connection.read_paused
            first.writer.write(b"x" * 10_000)
            assert len((await first.answer())[2]) == len(LONG)
            assert len(await soon(reading_client.reader.readexactly(len(LONG)))) == len(LONG)
            await until(lambda: w.proxy.buffer_budget.open_pipes == 0)
            assert w.proxy.buffer_budget.rejected == 1
        await backend.stop()

    run(main())


def test_a_long_answer_that_stalls_is_aborted(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(upstream, "STREAM_STALL_TIMEOUT_S", 0.1)

    async def main() -> None:
        backend = await Backend().start()
        backend.default_reply = None
        async with running_proxy([backend.row("b")]) as w:
            client = await Client.to(w.port)
            client.send()
            await soon(backend.request_received.wait())
            (writer,) = backend.writers
            writer.write(reply(200, LONG)[:100_000])
            await head(client.reader)
            with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
                await soon(client.reader.readexactly(len(LONG)))
            await until(lambda: w.proxy.pool.count == 0)
        await backend.stop()

    run(main())
