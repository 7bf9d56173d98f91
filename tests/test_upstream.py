"""Attempts over real sockets: their outcomes, and that a request is sent at most once."""

from __future__ import annotations

import asyncio
import os
import socket

import pytest

from honeywharf.codecs import http1
from honeywharf.core.messages import Response
from honeywharf.core.transport import Clock, UpstreamRequest
from honeywharf.http import backend as upstream
from honeywharf.http.backend import Pool
from honeywharf.policy import interface as api
from tests.loopback import Backend, Client, reply, row, run, running_proxy, soon, until

O = api.Outcome  # noqa: E741


@pytest.mark.parametrize(
    ("step", "outcome", "report"),
    [
        (reply(200, b"x", b"X-Backend-Load: busy_reqs=7,pending=2"), O.OK, (2.0, 7.0)),
        (reply(500, b"x", b"X-Backend-Load: pending=1,busy_reqs=0"), O.ERROR, (1.0, 0.0)),
        (reply(503, b"", b"X-Unprocessed: 1"), O.REJECTED, None),
        (reply(504, b"", b"X-Unprocessed: 1"), O.REJECTED, None),
        (reply(503), O.ERROR, None),
        (reply(503, b"", b"X-Unprocessed: 0"), O.ERROR, None),
        (reply(504), O.ERROR, None),
        (reply(404), O.ERROR, None),
        ("close", O.RESET, None),
        (b"HTTP/1.1 200 OK\r\nContent-Le", O.RESET, None),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort", O.RESET, None),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nno end", O.RESET, None),
        (b"not http at all\r\n\r\n", O.ERROR, None),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nit keeps coming", O.ERROR, None),
        (b"HTTP/1.1 200 OK\r\nX-Endless: " + b"x" * 40000, O.ERROR, None),
        (reply(200, b"x" * 400_000, b"X-Backend-Load: pending=0,busy_reqs=1"), O.OK, (0.0, 1.0)),
        (reply(200, b"x" * 1_100_000), O.OK, None),
        (reply(500, b"x" * 1_100_000), O.ERROR, None),
        (reply() + reply(200, b"copy"), O.OK, None),
        (reply() + b"noise", O.OK, None),
        (reply(200, b"ok", b"X-Backend-Load: pending=nan,busy_reqs=1"), O.OK, None),
        (b"HTTP/1.1 102 X\r\nX-Backend-Load: pending=9,busy_reqs=9\r\n\r\n" + reply(), O.OK, None),
    ],
)
def test_outcomes(step: bytes | str, outcome: api.Outcome, report: tuple[float, ...] | None) -> None:
    async def main() -> None:
        backend = await Backend().start()
        cut = isinstance(step, bytes) and outcome is O.RESET
        backend.script = [step]
        async with running_proxy([backend.row("b")], bounds={"mostTries": 1}) as w:
            client = await Client.to(w.port)
            client.send("pay")
            await soon(backend.request_received.wait())
            if cut:  # the response is truncated: close the connection after it
                for writer in list(backend.writers):
                    await writer.drain()
                    writer.close()
            event = await w.outcome()
            assert (event.outcome, event.report, event.endpoint) == (outcome, report, "b")
            assert event.request_over == (outcome is O.OK)
            status = await client.status()
            assert (status == 200) == (outcome is O.OK)
            if outcome not in api.NEVER_RAN:
                assert status not in (429, 503) or status == 200
                assert len(backend.requests) == 1  # an unsafe request that may have run is sent once
        await backend.stop()

    run(main())


def test_after_a_refused_connection_nothing_has_run() -> None:
    async def main() -> None:
        with socket.socket() as taken:
            taken.bind(("127.0.0.1", 0))  # bound but not listening
            async with running_proxy([row("b", taken.getsockname()[1])]) as w:
                client = await Client.to(w.port)
                client.send("pay")
                assert await client.status() == 503
                assert {e.outcome for e in w.ended()} == {O.CONNECT_FAILED}

    run(main())


def test_a_connection_attempt_times_out() -> None:
    async def main() -> None:
        with socket.socket() as listener:
            listener.bind(("127.0.0.1", 0))
            listener.listen(0)
            fillers = []
            for _ in range(4):  # the accept queue is full: further connections hang
                filler = socket.socket()
                filler.setblocking(False)
                filler.connect_ex(listener.getsockname())
                fillers.append(filler)
            async with running_proxy([row("b", listener.getsockname()[1])], bounds={"mostTries": 1}) as w:
                client = await Client.to(w.port)
                client.send("pay")
                assert await client.status() == 503
                event = await w.outcome()
                assert event.outcome is O.CONNECT_FAILED
                assert event.elapsed_ms >= 150.0
            for filler in fillers:
                filler.close()

    run(main())


class RecordedCall(UpstreamRequest):
    """A call that records its outcomes."""

    __slots__ = ("body_seen", "outcome", "outcomes")

    def __init__(self, body: bytes) -> None:
        request = http1.Request()
        request.method, request.target, request.body = b"POST", b"/api", body
        super().__init__("b", request, 1e15)
        self.outcomes: list[api.Outcome] = []
        self.outcome = asyncio.Event()

    def ended(self, outcome: api.Outcome, response: Response | None) -> None:
        self.outcomes.append(outcome)
        self.body_seen = response.body if response is not None else b""
        self.outcome.set()


def test_a_break_before_the_last_byte_is_sent_is_connect_failed() -> None:
    """The body exceeds the socket buffers, and the backend never reads it."""

    async def main() -> None:
        with socket.socket() as listener:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            listener.bind(("127.0.0.1", 0))
            listener.listen()
            listener.setblocking(False)
            loop = asyncio.get_running_loop()
            pool = Pool(loop, Clock(), api.Limits(connect_timeout_ms=2000.0), 10)
            pool.name("b", listener.getsockname(), None, open_for_work=True)
            call = RecordedCall(b"x" * (64 << 20))
            pool.start(call)
            peer, _ = await soon(loop.sock_accept(listener))
            await until(lambda: call.connection is not None)
            peer.close()
            await soon(call.outcome.wait())
            assert call.outcomes == [O.CONNECT_FAILED]
            assert pool.count == 0

    run(main())


def test_a_silent_backend_times_out_and_its_connection_is_closed() -> None:
    async def main() -> None:
        backend = await Backend().start()
        backend.default_reply = None
        async with running_proxy([backend.row("b")]) as w:
            client = await Client.to(w.port)
            client.send("pay", left="300m")
            assert await client.status() == 502
            assert [e.outcome for e in w.ended()] == [O.TIMEOUT]
            await until(lambda: backend.closed == 1)
            assert len(backend.requests) == 1
        await backend.stop()

    run(main())


def test_the_forwarded_request() -> None:
    async def main() -> None:
        backend = await Backend().start()
        backend.default_reply = reply(200, bytes(range(256)) * 256)
        async with running_proxy([backend.row("b")]) as w:
            client = await Client.to(w.port)
            body = bytes(reversed(range(256))) * 256
            name = client.send("order", body, "4000m", "X-Account: acme", "Cookie: sid=7")
            first, _, answer = await client.answer()
            assert first.startswith(b"HTTP/1.1 200")
            assert answer == bytes(range(256)) * 256
            line, headers, got = backend.requests[0]
            assert line == b"POST /api?q=1 HTTP/1.1"
            assert got == body
            assert headers[b"x-correlation-id"] == name.encode()
            assert headers[b"idempotency-key"] == f"key-{name}".encode()
            left = http1.parse_duration_ms(headers[b"x-time-left"])
            assert left is not None
            assert 0.0 < left < 4000.0
        await backend.stop()

    run(main())


def test_connections_are_reused_for_one_request_at_a_time() -> None:
    async def main() -> None:
        backend = await Backend().start()
        async with running_proxy([backend.row("b")]) as w:
            client = await Client.to(w.port)
            for _ in range(5):
                client.send()
                assert await client.status() == 200
            assert backend.connections == 1
            backend.default_reply = None
            other = await Client.to(w.port)
            client.send()
            other.send()
            await until(lambda: len(backend.requests) == 7)
            assert backend.connections == 2
        await backend.stop()

    run(main())


@pytest.mark.parametrize("stray", [b"", b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", b"?"])
def test_an_idle_connection_that_ends_or_gets_stray_bytes_is_not_reused(stray: bytes) -> None:
    async def main() -> None:
        backend = await Backend().start()
        async with running_proxy([backend.row("b")]) as w:
            client = await Client.to(w.port)
            client.send()
            assert await client.status() == 200
            for writer in list(backend.writers):
                if stray:
                    writer.write(stray)
                else:
                    writer.close()
            await until(lambda: w.proxy.pool.count == 0)
            client.send("pay")
            assert await client.status() == 200
            assert backend.connections == 2
        await backend.stop()

    run(main())


def test_a_response_with_connection_close_ends_its_connection() -> None:
    async def main() -> None:
        backend = await Backend().start()
        backend.script = [reply(200, b"x", b"Connection: close"), reply(200, b"y")]
        async with running_proxy([backend.row("b")]) as w:
            client = await Client.to(w.port)
            for number in (1, 2):
                client.send()
                assert await client.status() == 200
                assert backend.connections == number
        await backend.stop()

    run(main())


def test_a_connection_is_closed_before_the_idle_time_of_the_settings() -> None:
    async def main() -> None:
        backend = await Backend().start()
        async with running_proxy(
            [backend.row("b")], bounds={"connIdleMs": 800.0}
        ) as w:  # 50 ms short of the margin
            client = await Client.to(w.port)
            client.send()
            assert await client.status() == 200
            await until(lambda: backend.closed == 1)  # closed by the proxy: this backend never closes
            client.send()
            assert await client.status() == 200
            assert backend.connections == 2
        await backend.stop()

    run(main())


def test_a_client_that_disconnects_does_not_abort_its_attempt() -> None:
    async def main() -> None:
        backend = await Backend().start()
        backend.default_reply = None
        async with running_proxy([backend.row("b")]) as w:
            client = await Client.to(w.port)
            client.send("pay")
            await soon(backend.request_received.wait())
            client.writer.close()
            await until(lambda: any(isinstance(e, api.RequestExpired) for e in w.events))
            assert backend.closed == 0
            for writer in list(backend.writers):
                writer.write(reply())
            event = await w.outcome()
            assert (event.outcome, event.request_over) == (O.OK, True)
            await until(lambda: w.proxy.driver.requests == {})
        await backend.stop()

    run(main())


def test_at_the_connection_limit_idle_ones_are_closed_and_then_nothing_is_sent() -> None:
    async def main() -> None:
        first, second = await Backend().start(), await Backend().start()
        pool = Pool(asyncio.get_running_loop(), Clock(), api.Limits(connect_timeout_ms=2000.0), 1)
        pool.name("b", ("127.0.0.1", first.port), None, open_for_work=True)
        one = RecordedCall(b"")
        pool.start(one)
        await soon(one.outcome.wait())
        pool.name("c", ("127.0.0.1", second.port), None, open_for_work=True)
        second.default_reply = None
        two, three = RecordedCall(b""), RecordedCall(b"")
        two.endpoint = three.endpoint = "c"
        pool.start(two)  # closes the idle connection to the other backend
        await soon(second.request_received.wait())
        await until(lambda: first.closed == 1)
        pool.start(three)  # no idle connection is left to close
        assert three.outcomes == []
        await soon(three.outcome.wait())
        # The backend is not to blame for a limit of this proxy.
        assert (one.outcomes, two.outcomes, three.outcomes) == ([O.OK], [], [O.NOT_SENT])
        await first.stop()
        await second.stop()

    run(main())


def test_probes_request_the_load_report() -> None:
    async def main() -> None:
        backend = await Backend().start()
        backend.script = [reply(200, b"pending=4,busy_reqs=5")]
        async with running_proxy([backend.row("b")]) as w:
            w.proxy.driver._perform(api.Probe("b"))
            await until(lambda: any(isinstance(e, api.ProbeEnded) for e in w.events))
            (event,) = [e for e in w.events if isinstance(e, api.ProbeEnded)]
            assert (event.endpoint, event.outcome, event.report) == ("b", O.OK, (4.0, 5.0))
            assert backend.requests[0][0] == b"GET /stats HTTP/1.1"
        await backend.stop()

    run(main())


def test_a_stalled_response_leaves_time_for_another_attempt(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(upstream, "RESPONSE_STALL_TIMEOUT_S", 0.05)

    async def main() -> None:
        backend = await Backend().start()
        backend.script = [b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort"]
        async with running_proxy([backend.row("b")]) as w:
            client = await Client.to(w.port)
            client.send("order")
            assert await client.status() == 200
            assert [e.outcome for e in w.ended()] == [O.ERROR, O.OK]
            # The first attempt was cancelled before the second was sent.
            await until(lambda: backend.closed == 1)
            assert len({r[1][b"idempotency-key"] for r in backend.requests}) == 1
        await backend.stop()

    run(main())


@pytest.mark.parametrize("behind", [reply(200, b"another's"), b"noise"])
def test_bytes_before_a_request_are_not_taken_for_its_response(behind: bytes) -> None:
    """The excess bytes are unread in the socket buffer when the connection is reused."""

    async def main() -> None:
        backend = await Backend().start()
        loop = asyncio.get_running_loop()
        pool = Pool(loop, Clock(), api.Limits(connect_timeout_ms=2000.0), 10)
        pool.name("b", ("127.0.0.1", backend.port), None, open_for_work=True)
        first = RecordedCall(b"1")
        pool.start(first)
        await soon(first.outcome.wait())
        (writer,) = backend.writers
        sent = writer.get_extra_info("socket")
        with socket.socket(fileno=os.dup(sent.fileno())) as raw:
            raw.send(behind)  # bypasses the event loop: nothing is read before `start`
        second = RecordedCall(b"2")
        pool.start(second)
        await soon(second.outcome.wait())
        assert second.body_seen == b"ok"
        assert (backend.connections, len(backend.requests)) == (2, 2)
        await until(lambda: backend.closed == 1)
        await backend.stop()

    run(main())


def test_a_connection_with_excess_bytes_is_not_reused_and_its_backend_not_ejected() -> None:
    async def main() -> None:
        backend = await Backend().start()
        backend.script = [reply(200, b"one") + reply(200, b"copy"), reply(200, b"two")]
        async with running_proxy([backend.row("b")]) as w:
            client = await Client.to(w.port)
            for body in (b"one", b"two"):
                client.send()
                assert (await client.answer())[2] == body
            assert backend.connections == 2
            assert w.proxy.balancer.endpoints.servers["b"].ejections == 0
        await backend.stop()

    run(main())


def test_early_idle_closes_are_learned(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(upstream, "MIN_EARLY_CLOSE_MS", 20.0)

    async def main() -> None:
        backend = await Backend().start()
        pool = Pool(asyncio.get_running_loop(), Clock(), api.Limits(connect_timeout_ms=2000.0), 10)
        pool.name("b", ("127.0.0.1", backend.port), None, open_for_work=True)
        first = RecordedCall(b"1")
        pool.start(first)
        await soon(first.outcome.wait())
        await asyncio.sleep(0.1)
        for writer in list(backend.writers):
            writer.close()
        await until(lambda: pool.count == 0)
        learned = pool.backends["b"].idle_ms
        assert 20.0 <= learned < 15000.0
        second, third = RecordedCall(b"2"), RecordedCall(b"3")
        pool.start(second)
        await soon(second.outcome.wait())
        pool.backends["b"].idle[0].idle_since_ms -= learned  # simulates a longer idle time
        pool.start(third)
        await soon(third.outcome.wait())
        assert (backend.connections, third.outcomes) == (3, [O.OK])
        assert pool.early_close_ms == float("inf")  # a single backend may be an exception
        pool.name("c", ("127.0.0.1", backend.port), None, open_for_work=True)
        pool.name("d", ("127.0.0.1", backend.port), None, open_for_work=True)
        pool.record_early_close(pool.backends["c"], 500.0)
        assert pool.early_close_ms == 400.0  # the second shortest, less a margin
        for opened in (4, 5):
            call = RecordedCall(b"%d" % opened)
            call.endpoint = "d"  # the idle time of this backend is unknown
            pool.start(call)
            await soon(call.outcome.wait())
            assert (backend.connections, call.outcomes) == (opened, [O.OK])
            pool.backends["d"].idle[0].idle_since_ms -= 400.0
        await backend.stop()

    run(main())


def test_a_long_response_in_many_writes_is_forwarded_completely(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against failing requests whose valid responses arrive slowly."""
    monkeypatch.setattr(upstream, "RESPONSE_STALL_TIMEOUT_S", 2.0)

    async def main() -> None:
        backend = await Backend().start()
        backend.default_reply = None
        body = os.urandom(400_000)
        response = reply(200, body)
        async with running_proxy([backend.row("b")]) as w:
            client = await Client.to(w.port)
            client.send()
            await soon(backend.request_received.wait())
            (writer,) = backend.writers
            for start in range(0, len(response), 50_000):
                writer.write(response[start : start + 50_000])
                await writer.drain()
                await asyncio.sleep(0.3)  # in total longer than the stall time-out
            assert (await client.answer())[2] == body
            assert (await w.outcome()).outcome is O.OK
            assert w.proxy.pool.bytes_read == 0
        await backend.stop()

    run(main())


def test_partial_responses_share_a_limit(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against running out of memory by responses that never end."""
    monkeypatch.setattr(upstream, "MAX_RESPONSE_BYTES_IN_FLIGHT", 300_000)

    async def main() -> None:
        backend = await Backend().start()
        backend.default_reply = None
        async with running_proxy([backend.row("b")], bounds={"mostTries": 1}) as w:
            client = await Client.to(w.port)
            client.send("pay")
            await soon(backend.request_received.wait())
            (writer,) = backend.writers
            writer.write(reply(500, b"x" * 400_000)[:-1])
            assert await client.status() == 502
            assert (await w.outcome()).outcome is O.ERROR
            assert w.proxy.pool.bytes_read == 0
        await backend.stop()

    run(main())
