"""CoAP clients of a running proxy, over reliable and over lossy networks."""

from __future__ import annotations

import asyncio
import os
import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import aiocoap
import pytest
from aiocoap.numbers import OptionNumber
from aiocoap.optiontypes import OpaqueOption

from honeywharf.coap import blocks, options
from honeywharf.coap.front import MAX_VALIDATED_PEERS, Front
from honeywharf.coap.part import CoapPart
from honeywharf.codecs import coap
from honeywharf.config.features import Coap, Features, OrderKeys
from honeywharf.policy import interface as api
from honeywharf.service.lifecycle import Step
from honeywharf.standins.lossy import LossyNetwork
from tests.loopback import Backend, Client, RunningProxy, reply, run, running_proxy, soon, until

COAP_ON = Features(coap=Coap(listen="127.0.0.1:0"), order_keys=OrderKeys(store="process"))


@asynccontextmanager
async def served(
    features: Features = COAP_ON, **changes: object
) -> AsyncIterator[tuple[RunningProxy, Backend, Front]]:
    """Runs a proxy in front of one scripted HTTP node."""
    backend = await Backend().start()
    async with running_proxy([backend.row("b0", cell=0)], features, **changes) as w:
        (part,) = [p for p in w.proxy.components if isinstance(p, CoapPart)]
        front = part.front
        assert front is not None
        await until(lambda: front.transport is not None)
        yield w, backend, front
        await until(lambda: not w.proxy.driver.requests and not front.layer.open_count_by_peer)
        front.close()
    await backend.stop()


def port_of(front: Front) -> int:
    assert front.transport is not None
    return int(front.transport.get_extra_info("sockname")[1])


def request_options(
    class_name: str = "order",
    key: bytes = b"k",
    left_ms: int = 4000,
    **more: str,
) -> list[tuple[int, bytes]]:
    result = [
        (coap.URI_PATH, b"api"),
        (coap.URI_QUERY, b"q=1"),
        (options.CLASS, class_name.encode()),
        (options.TIME_LEFT, coap.uint_bytes(left_ms * 1000)),
    ]
    if class_name == "order":
        result.append((options.KEY, key))
    return result + [(getattr(options, name.upper()), value.encode()) for name, value in more.items()]


class Unit(asyncio.DatagramProtocol):
    """A field unit that sends single datagrams on demand."""

    def __init__(self) -> None:
        self.got: asyncio.Queue[coap.Message] = asyncio.Queue()
        self.transport: asyncio.DatagramTransport | None = None
        self.mid, self.echo = 100, b""

    @classmethod
    async def to(cls, port: int, *, validated: bool = True) -> Unit:
        _, unit = await asyncio.get_running_loop().create_datagram_endpoint(
            cls, remote_addr=("127.0.0.1", port)
        )
        if validated:
            challenge = await unit.ask(request_options("read"))
            assert challenge.code == coap.UNAUTHORIZED
            unit.echo = challenge.option(coap.ECHO) or b""
        return unit

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.DatagramTransport) or transport is not None
        self.transport = transport  # type: ignore[assignment]

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self.got.put_nowait(coap.decode(data))

    def send(
        self,
        message_options: list[tuple[int, bytes]],
        code: int = coap.POST,
        *,
        mid: int = 0,
        token: bytes = b"tok",
        payload: bytes = b"",
        mtype: int = coap.CON,
    ) -> int:
        self.mid += 1
        if self.echo:
            message_options = [*message_options, (coap.ECHO, self.echo)]
        message = coap.Message(mtype, code, mid or self.mid, token, message_options, payload)
        assert self.transport is not None
        self.transport.sendto(coap.encode(message))
        return message.mid

    def acknowledge(self, message: coap.Message) -> None:
        assert self.transport is not None
        self.transport.sendto(coap.encode(coap.Message(coap.ACK, coap.EMPTY, message.mid)))

    async def next(self) -> coap.Message:
        return await soon(self.got.get())

    async def ask(self, message_options: list[tuple[int, bytes]], code: int = 0) -> coap.Message:
        read = (options.CLASS, b"read") in message_options
        self.send(message_options, code or (coap.GET if read else coap.POST), payload=b"" if read else b"x")
        return await self.next()


def test_a_coap_client_is_served_by_an_http_node() -> None:
    async def main() -> None:
        async with served() as (w, backend, front):
            backend.default_reply = reply(200, b"tile")
            unit = await Unit.to(port_of(front))
            answer = await unit.ask(request_options(account="acme", id="my-id"))
            assert (answer.mtype, answer.code, answer.payload) == (coap.ACK, coap.CHANGED, b"tile")
            first, headers, body = backend.requests[0]
            assert (first, body) == (b"POST /api?q=1 HTTP/1.1", b"x")
            assert headers[b"x-correlation-id"] == b"my-id"
            assert headers[b"idempotency-key"] == b"k"
            assert headers[b"x-account"] == b"acme"
            assert headers[b"x-service-class"] == b"order"
            answer = await unit.ask(request_options("read"))
            assert (answer.code, answer.payload) == (coap.CONTENT, b"tile")
            arrived = [e for e in w.events if isinstance(e, api.RequestArrived)]
            assert 3000.0 < arrived[0].remaining_ms < 4000.0

    run(main())


def test_the_same_key_by_http_and_by_coap_runs_once() -> None:
    async def main() -> None:
        async with served() as (w, backend, front):
            backend.default_reply = reply(200, b"tile")
            client, unit = await Client.to(w.port), await Unit.to(port_of(front))
            client.send("order", b"x", key="k")
            assert await client.status() == 200
            answer = await unit.ask(request_options())
            assert (answer.code, answer.payload) == (coap.CHANGED, b"tile")
            assert len(backend.requests) == 1
            unit.send(request_options(), payload=b"another")
            assert (await unit.next()).code == coap.UNPROCESSABLE_ENTITY

    run(main())


def test_a_duplicate_of_a_forwarded_request_does_not_run_even_without_order_keys() -> None:
    async def main() -> None:
        async with served(Features(coap=Coap(listen="127.0.0.1:0"))) as (_, backend, front):
            backend.default_reply = None
            unit = await Unit.to(port_of(front))
            mid = unit.send(request_options("pay"), payload=b"x")
            await until(lambda: len(backend.requests) == 1)
            for _ in range(3):
                unit.send(request_options("pay"), mid=mid, payload=b"x")
            ack = await unit.next()  # an empty ACK, later a separate response
            assert (ack.mtype, ack.code, ack.mid) == (coap.ACK, coap.EMPTY, mid)
            for writer in list(backend.writers):
                writer.write(reply(200, b"paid"))
            while (answer := await unit.next()).code == coap.EMPTY:
                pass
            assert (answer.mtype, answer.code, answer.payload) == (coap.CON, coap.CHANGED, b"paid")
            unit.acknowledge(answer)
            await until(lambda: not front.layer.separate_responses)
            unit.send(request_options("pay"), mid=mid, payload=b"x")  # a late duplicate
            assert (await unit.next()).code == coap.EMPTY
            assert len(backend.requests) == 1

    run(main())


def test_an_unproved_address_gets_short_replies_and_nothing_runs_for_it() -> None:
    async def main() -> None:
        async with served() as (_, backend, front):
            unit = await Unit.to(port_of(front), validated=False)
            challenge = await unit.ask(request_options())
            assert challenge.code == coap.UNAUTHORIZED
            unit.echo = b"\0" * 12  # guessed
            assert (await unit.ask(request_options())).code == coap.UNAUTHORIZED
            assert not backend.requests
            other = await Unit.to(port_of(front), validated=False)
            other.echo = challenge.option(coap.ECHO) or b""  # another peer's
            assert (await other.ask(request_options())).code == coap.UNAUTHORIZED
            unit.echo = challenge.option(coap.ECHO) or b""
            assert (await unit.ask(request_options())).code == coap.CHANGED
            unit.echo = b""
            assert (await unit.ask(request_options())).code == coap.CHANGED  # validated from now on
            tiny = await Unit.to(port_of(front), validated=False)
            tiny.send([], coap.GET, token=b"")
            answer = await tiny.next()
            assert (answer.code, len(coap.encode(answer))) == (coap.BAD_REQUEST, 4)  # at most 3 times 4 bytes

    run(main())


def test_validated_peers_are_limited() -> None:
    async def main() -> None:
        async with served() as (_, backend, front):
            for port in range(MAX_VALIDATED_PEERS):
                front.validated_peers[("127.0.0.2", port)] = front.clock.now()
            unit = await Unit.to(port_of(front))
            assert (await unit.ask(request_options())).code == coap.CHANGED
            assert len(front.validated_peers) == MAX_VALIDATED_PEERS
            assert ("127.0.0.2", 0) not in front.validated_peers
            assert backend.requests

    run(main())


@pytest.mark.parametrize(
    ("path", "query", "target"),
    [
        (b"tile-7_a.b~c", b"q=1", b"/api/tile-7_a.b~c?q=1"),
        (b"a/b?c", b"x&y=#", b"/api/a%2Fb%3Fc?x%26y=%23"),
        (b"\xc3\xb5 %", b"!$'()*+,;=:@", b"/api/%C3%B5%20%25?!$'()*+,;=:@"),
    ],
)
def test_a_segment_of_the_target_round_trips(path: bytes, query: bytes, target: bytes) -> None:
    message_options = [
        (coap.URI_PATH, b"api"),
        (coap.URI_PATH, path),
        (coap.URI_QUERY, query),
        (options.ID, b"i"),
    ]
    request = options.decode_request(coap.Message(coap.CON, coap.GET, 1, b"", message_options))
    assert request.target == target
    assert options.encode_request(request)[:3] == message_options[:3]


@pytest.mark.parametrize(
    ("message_options", "code", "expected"),
    [
        ([(coap.URI_PATH, b"elsewhere")], coap.GET, coap.NOT_FOUND),
        (request_options(), coap.GET, coap.BAD_REQUEST),
        (request_options("none"), coap.POST, coap.BAD_REQUEST),
        ([*request_options(), (9, b"critical")], coap.POST, coap.BAD_OPTION),
        (request_options(), 3, coap.METHOD_NOT_ALLOWED),
        ([*request_options(), (options.KEY, b"two")], coap.POST, coap.BAD_OPTION),
        (request_options(id="two words"), coap.POST, coap.BAD_OPTION),
        ([o for o in request_options() if o[0] != options.TIME_LEFT], coap.POST, coap.BAD_REQUEST),
        ([*request_options(), (coap.BLOCK1, b"\x07")], coap.POST, coap.BAD_REQUEST),  # a reserved size
        (
            [*request_options(), (coap.BLOCK1, b"\x08")],
            coap.POST,
            coap.BAD_REQUEST,
        ),  # a block of 1 byte instead of 16
        (
            [*request_options(), (coap.BLOCK1, b"\x10")],
            coap.POST,
            coap.REQUEST_ENTITY_INCOMPLETE,
        ),  # the first block is missing
        (
            [*request_options("read"), (coap.BLOCK2, b"\x16")],
            coap.GET,
            coap.REQUEST_ENTITY_INCOMPLETE,
        ),  # no response is stored
    ],
)
def test_invalid_requests_get_their_code(
    message_options: list[tuple[int, bytes]], code: int, expected: int
) -> None:
    async def main() -> None:
        async with served() as (_, backend, front):
            unit = await Unit.to(port_of(front))
            unit.send(message_options, code, payload=b"x")
            assert (await unit.next()).code == expected
            assert not backend.requests

    run(main())


def test_an_unknown_elective_option_is_ignored() -> None:
    async def main() -> None:
        async with served() as (_, _, front):
            unit = await Unit.to(port_of(front))
            assert (await unit.ask([*request_options(), (65500, b"?")])).code == coap.CHANGED

    run(main())


def test_a_rejection_has_max_age_and_a_failure_has_not() -> None:
    async def main() -> None:
        async with served() as (_, backend, front):
            unit = await Unit.to(port_of(front))
            backend.default_reply = reply(503, b"", b"X-Unprocessed: 1")
            refused = await unit.ask(request_options(key=b"a"))
            assert refused.code == coap.SERVICE_UNAVAILABLE
            # Rounded up: 0 would mean at once, and 200 to 600 ms are meant.
            assert refused.option(coap.MAX_AGE) == b"\x01"
            backend.default_reply = None
            failed = await unit.ask(request_options(key=b"b", left_ms=150))
            assert failed.code == coap.BAD_GATEWAY
            assert failed.option(coap.MAX_AGE) is None

    run(main())


def test_with_coap_off_nothing_listens() -> None:
    async def main() -> None:
        backend = await Backend().start()
        async with running_proxy([backend.row("b0")], Features()) as w:
            assert w.proxy.components == []
        await backend.stop()

    run(main())


def test_aiocoap_gets_piggybacked_and_separate_responses() -> None:
    async def main() -> None:
        async with served() as (_, backend, front):
            context = await aiocoap.Context.create_client_context()
            uri = f"coap://127.0.0.1:{port_of(front)}/api?q=1"
            echo = b""
            for pause, expected in ((0.0, "4.01"), (0.0, "2.04"), (0.9, "2.04")):
                backend.reply_delay_s = pause
                request = aiocoap.Message(code=aiocoap.POST, uri=uri, payload=b"x")
                for number, value in request_options(key=b"%f" % pause):
                    if number > 60000:
                        request.opt.add_option(OpaqueOption(OptionNumber(number), value))
                if echo:
                    request.opt.echo = echo
                answer = await soon(context.request(request).response)
                assert str(answer.code).startswith(expected)
                echo = answer.opt.echo or echo
            await context.shutdown()
            assert len(backend.requests) == 2

    run(main())


def test_over_a_lossy_network_each_order_runs_at_most_once() -> None:
    async def main() -> None:
        async with served(Features(coap=Coap(listen="127.0.0.1:0"))) as (_, backend, front):
            network = await LossyNetwork(
                ("127.0.0.1", port_of(front)), 1, loss=0.3, duplicate=0.1, delay_s=0.05
            ).start()
            unit = await Unit.to(network.port, validated=False)
            reads_sent = 0
            while not unit.echo:
                unit.send(request_options("read"), coap.GET)
                reads_sent += 1
                await asyncio.sleep(0.02)
                while not unit.got.empty():
                    unit.echo = unit.got.get_nowait().option(coap.ECHO) or unit.echo
            served_by: dict[bytes, set[bytes]] = {}
            for i in range(60):
                token, mid = b"%d" % i, 1000 + i
                result = served_by.setdefault(token, set())
                for _ in range(12):
                    unit.send(request_options("pay"), mid=mid, token=token, payload=token)
                    await asyncio.sleep(0.03)
                    while not unit.got.empty():
                        message = unit.got.get_nowait()
                        if message.code == coap.CHANGED:
                            served_by.setdefault(message.token, set()).add(message.payload)
                            if message.mtype == coap.CON:
                                unit.acknowledge(message)
                    if result:
                        break
            assert sum(bool(f) for f in served_by.values()) > 50
            # Each message id reaches the node at most once. A read that the network delays until the address
            # is validated reaches it, too.
            orders = [body for first, _, body in backend.requests if first.startswith(b"POST ")]
            assert len(orders) == len(set(orders)) <= 60
            assert len(backend.requests) - len(orders) <= reads_sent
            assert front.layer.counts["coap:duplicate"] > 10
            network.stop()

    run(main())


def in_blocks(body: bytes, szx: int = 2, tag: bytes = b"") -> list[tuple[list[tuple[int, bytes]], bytes]]:
    """Returns the options and payloads of the blocks of a body."""
    size = 1 << (szx + 4)
    parts = [body[i : i + size] for i in range(0, len(body), size)]
    return [
        (
            [
                *request_options(),
                (coap.BLOCK1, blocks.Block(i, i + 1 < len(parts), szx).value()),
                *([(coap.REQUEST_TAG, tag)] if tag else []),
            ],
            one,
        )
        for i, one in enumerate(parts)
    ]


async def send_block(unit: Unit, one: tuple[list[tuple[int, bytes]], bytes]) -> int:
    unit.send(one[0], payload=one[1])
    return (await unit.next()).code


def test_block_wise_bodies_are_distinguished_by_request_tags() -> None:
    async def main() -> None:
        async with served(Features(coap=Coap(listen="127.0.0.1:0"))) as (_, backend, front):
            unit = await Unit.to(port_of(front))
            one, two = bytes(range(200)), bytes(reversed(range(200)))
            result = [
                await send_block(unit, part)
                for pair in zip(in_blocks(one, tag=b"1"), in_blocks(two, tag=b"2"), strict=True)
                for part in pair
            ]
            assert result == [coap.CONTINUE] * 6 + [coap.CHANGED] * 2
            assert [m[2] for m in backend.requests] == [one, two]
            assert front.transfers.held_bytes == 0

    run(main())


def test_blocks_out_of_order_run_nothing() -> None:
    async def main() -> None:
        async with served() as (_, backend, front):
            unit = await Unit.to(port_of(front))
            parts = in_blocks(bytes(200))
            for order in ([0, 2], [0, 1, 1, 2, 3], [1, 0], [0, 1, 3]):
                result = [await send_block(unit, parts[i]) for i in order]
                assert coap.REQUEST_ENTITY_INCOMPLETE in result
                assert coap.CHANGED not in result
            assert not backend.requests
            assert [await send_block(unit, p) for p in parts] == [coap.CONTINUE] * 3 + [coap.CHANGED]
            assert [m[2] for m in backend.requests] == [bytes(200)]

    run(main())


def test_a_body_over_the_limit_is_rejected_before_it_is_complete() -> None:
    async def main() -> None:
        async with served() as (_, backend, front):
            unit = await Unit.to(port_of(front))
            for part in in_blocks(bytes(64 * 1024 + 1), 6):
                code = await send_block(unit, part)
                if code != coap.CONTINUE:
                    break
            assert code == coap.REQUEST_ENTITY_TOO_LARGE
            assert not backend.requests
            assert front.transfers.held_bytes == 0

    run(main())


def test_aiocoap_sends_64_kib_and_receives_1_mib() -> None:
    async def main() -> None:
        async with served() as (_, backend, front):
            answer, body = bytes(range(256)) * 4096, bytes(reversed(range(256))) * 256
            backend.default_reply = reply(200, answer)
            context = await aiocoap.Context.create_client_context()
            uri = f"coap://127.0.0.1:{port_of(front)}/api?q=1"
            echo = b""
            for payload in (b"", body):
                request = aiocoap.Message(code=aiocoap.POST, uri=uri, payload=payload)
                for number, value in request_options():
                    if number > 60000:
                        request.opt.add_option(OpaqueOption(OptionNumber(number), value))
                if echo:
                    request.opt.echo = echo
                got = await soon(context.request(request).response)
                echo = got.opt.echo or echo
            assert (str(got.code), got.payload) == ("2.04 Changed", answer)
            await context.shutdown()
            assert [m[2] for m in backend.requests] == [body]

    run(main())


def test_after_a_restart_a_transfer_restarts_and_the_key_yields_the_same_response() -> None:
    async def main() -> None:
        async with served() as (_, backend, front):
            backend.default_reply = reply(200, b"x" * 3000)
            unit = await Unit.to(port_of(front))
            first = await unit.ask(request_options())
            assert (len(first.payload), first.option(coap.SIZE2)) == (1024, coap.uint_bytes(3000))
            front.transfers = blocks.Transfers()  # the state after a restart
            second = [*request_options(), (coap.BLOCK2, blocks.Block(1, False, 6).value())]
            assert (await unit.ask(second)).code == coap.REQUEST_ENTITY_INCOMPLETE
            again = await unit.ask(request_options())
            assert again.option(blocks.ETAG) == first.option(blocks.ETAG)
            third = await unit.ask(second)
            assert (third.code, len(third.payload)) == (coap.CHANGED, 1024)
            assert len(backend.requests) == 1

    run(main())


def test_transfers_are_limited() -> None:
    t, peer = blocks.Transfers(max_transfers=3, max_bytes=5000), ("127.0.0.1", 1)
    for i in range(10):
        assert t.body((peer, b"%d" % i), blocks.Block(0, True, 6), bytes(1024), 0.0) is None
        assert len(t.bodies) <= 3
    for i in range(10):
        t.store_response((peer, b"%d" % i), bytes(2000), 1.0)
        assert t.held_bytes <= 5000
    kept = [*(row[1] for row in t.bodies.values()), *(row[1] for row in t.responses.values())]
    assert t.held_bytes == sum(map(len, kept))
    t.store_response((peer, b"x"), b"late", blocks.TRANSFER_LIFETIME_MS + 2.0)
    assert list(t.responses) == [(peer, b"x")]
    assert not t.bodies
    assert t.held_bytes == 4


def test_draining_rejects_new_requests_and_answers_open_ones() -> None:
    async def main() -> None:
        async with served() as (w, backend, front):
            backend.default_reply = None
            first, second = await Unit.to(port_of(front)), await Unit.to(port_of(front))
            first.send(request_options(), payload=b"x")
            await until(lambda: len(backend.requests) == 1)
            w.proxy.drain()
            assert (await second.ask(request_options(key=b"new"))).code == coap.SERVICE_UNAVAILABLE
            await until(
                lambda: not any(s is Step.STOP_ACCEPTING for _, s in w.proxy.controller.lifecycle.due)
            )
            assert w.running is not None
            assert not w.running.done()  # open requests keep the process running
            for writer in list(backend.writers):
                writer.write(reply(200, b"tile"))
            while (answer := await first.next()).code == coap.EMPTY:
                pass
            assert answer.payload == b"tile"
            await soon(w.running)

    run(main())


def test_aiocoap_proves_its_address_and_receives_a_block_wise_response() -> None:
    """aiocoap handles Block2 itself and leaves Echo (RFC 9175) to its user."""

    async def main() -> None:
        async with served() as (_, backend, front):
            backend.default_reply = reply(200, b"t" * 3000)
            context = await aiocoap.Context.create_client_context()
            try:

                def request(echo: bytes) -> aiocoap.Message:
                    message = aiocoap.Message(
                        code=aiocoap.POST, payload=b"x", uri=f"coap://127.0.0.1:{port_of(front)}/api?q=1"
                    )
                    for number, value in ((65001, b"order"), (65009, b"key"), (65033, b"\x3d\x09\x00")):
                        message.opt.add_option(OpaqueOption(OptionNumber(number), value))
                    if echo:
                        message.opt.add_option(OpaqueOption(OptionNumber(252), echo))
                    return message

                asked = await soon(context.request(request(b"")).response)
                assert asked.code == aiocoap.UNAUTHORIZED
                assert backend.requests == []
                (echo,) = [o for o in asked.opt.option_list() if o.number == 252]
                answer = await soon(context.request(request(echo.encode())).response)
                assert (answer.code, answer.payload) == (aiocoap.CHANGED, b"t" * 3000)
                assert len(front.validated_peers) == 1
                assert [m[2] for m in backend.requests] == [b"x"]
            finally:
                await context.shutdown()

    run(main())


def test_no_datagram_causes_a_fault_or_exceeds_a_limit_of_the_front() -> None:
    """Sends corrupted and random datagrams of validated and forged peers (1,000,000: HONEYWHARF_LONG=1)."""
    number = 1_000_000 if os.environ.get("HONEYWHARF_LONG") else 15_000

    async def main() -> None:
        async with served() as (w, backend, front):
            faults: list[object] = []
            asyncio.get_running_loop().set_exception_handler(lambda loop, context: faults.append(context))
            sent, rng = list[tuple[bytes, tuple[str, int]]](), random.Random(1)
            front.layer.send = lambda data, peer: sent.append((data, peer))
            unit = await Unit.to(port_of(front), validated=False)
            peers = [("127.0.0.1", 1024 + i) for i in range(200)]
            for peer in peers[:50]:
                front.validated_peers[peer] = w.proxy.clock.now()
            good = [
                coap.encode(coap.Message(kind, code, 7, b"t", message_options, body))
                for kind, code, message_options, body in (
                    (coap.CON, coap.POST, request_options(), b"x"),
                    (coap.NON, coap.GET, request_options("read"), b""),
                    (coap.CON, coap.POST, [*request_options(), (coap.BLOCK1, b"\x0e")], bytes(1024)),
                    (coap.CON, coap.GET, [*request_options("read"), (coap.BLOCK2, b"\x1e")], b""),
                    (coap.ACK, coap.EMPTY, [], b""),
                    (coap.RST, coap.EMPTY, [], b""),
                )
            ]
            for i in range(number):
                data = bytearray(rng.choice(good) if i % 4 else rng.randbytes(rng.randrange(60)))
                if len(data) > 3:
                    data[2:4] = rng.randbytes(2)
                for _ in range(rng.randrange(4)):
                    if data:
                        data[rng.randrange(len(data))] = rng.randrange(256)
                if rng.random() < 0.2:
                    del data[rng.randrange(len(data) + 1) :]
                peer = rng.choice(peers)
                front.datagram_received(bytes(data), peer)
                if peer not in front.validated_peers:  # limited amplification for unproved addresses
                    assert sum(len(d) for d, p in sent if p == peer) <= 3 * len(data)
                sent.clear()
                if i % 200 == 0:
                    await asyncio.sleep(0)
                    layer = front.layer
                    assert len(layer.open) <= layer.max_exchanges
                    assert len(layer.answered) <= layer.max_exchanges
                    assert layer.answered_bytes <= layer.max_bytes
                    assert layer.seen_count <= layer.max_seen_ids
                    assert front.transfers.held_bytes <= front.transfers.max_bytes
                    await until(lambda: len(w.proxy.driver.requests) < 50)
            await until(lambda: not w.proxy.driver.requests)
            front.layer.send = front._send
            challenge = await unit.ask(request_options("read"))
            unit.echo = challenge.option(coap.ECHO) or b""
            assert (await unit.ask(request_options("read"))).code == coap.CONTENT
            assert faults == []
            assert backend.requests

    run(main(), 60.0 if number < 100_000 else 1800.0)
