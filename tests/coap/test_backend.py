"""CoAP nodes behind a running proxy: each row of the table of outcomes, and the resulting retries."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from honeywharf.coap import blocks, options
from honeywharf.coap.backend import Pool
from honeywharf.coap.client import Client, RequestEnd
from honeywharf.coap.part import CoapPart
from honeywharf.codecs import coap
from honeywharf.config.features import Coap, Features
from honeywharf.core.transport_router import TransportRouter
from honeywharf.policy import interface as api
from honeywharf.standins.messages import row
from tests.loopback import Backend, Client as HttpClient, RunningProxy, run, running_proxy, until

O = api.Outcome  # noqa: E741
COAP_ON = Features(coap=Coap(nodes=True, nstart=16))


class Node(asyncio.DatagramProtocol):
    """A CoAP node that follows its script, one step per request, and then responds with `body`."""

    def __init__(self) -> None:
        self.script: list[str] = []
        self.got: list[coap.Message] = []
        self.bodies: list[bytes] = []
        self.body = b"tile"
        self.response_options: list[tuple[int, bytes]] = []
        self.transfers = blocks.Transfers()
        self.acks = 0
        self.port = 0
        self.transport: asyncio.DatagramTransport | None = None

    async def start(self) -> Node:
        self.transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: self, local_addr=("127.0.0.1", self.port)
        )
        self.port = self.transport.get_extra_info("sockname")[1]
        return self

    def stop(self) -> None:
        if self.transport is not None:
            self.transport.close()

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        message = coap.decode(data)
        if not message.is_request():
            self.acks += message.mtype == coap.ACK
            return
        self.got.append(message)
        step = self.script.pop(0) if self.script else "ok"

        def send(
            mtype: int,
            code: int,
            mid: int = message.mid,
            token: bytes = message.token,
            response_options: list[tuple[int, bytes]] | None = None,
            payload: bytes = b"",
        ) -> None:
            assert self.transport is not None
            self.transport.sendto(
                coap.encode(coap.Message(mtype, code, mid, token, response_options, payload)), addr
            )

        if step == "reset":
            send(coap.RST, coap.EMPTY, token=b"")
        elif step == "ack":
            send(coap.ACK, coap.EMPTY, token=b"")
        elif step == "separate":
            send(coap.ACK, coap.EMPTY, token=b"")
            for _ in range(2):  # retransmitted as if its ACK was lost
                send(coap.CON, coap.CHANGED, 999, payload=self.body)
        elif step == "unprocessed":
            send(coap.ACK, coap.SERVICE_UNAVAILABLE, response_options=[(options.UNPROCESSED, b"")])
        elif step == "busy":
            send(coap.ACK, coap.SERVICE_UNAVAILABLE)
        elif step == "foreign":
            send(coap.ACK, coap.CHANGED, token=b"other", payload=b"not yours")
        elif step == "ok":
            self._serve(message, send)

    def _serve(self, message: coap.Message, send: object) -> None:
        assert callable(send)
        key = blocks.transfer_key(message, ("", 0))
        part, body = blocks.decode_block(message, coap.BLOCK1), message.payload
        requested_block = blocks.decode_block(message, coap.BLOCK2)
        if part is not None:
            whole = self.transfers.body(key, part, body, 0.0)
            if whole is None:
                send(coap.ACK, coap.CONTINUE, response_options=[(coap.BLOCK1, part.value())])
                return
            body = whole
        if requested_block is None:
            self.bodies.append(body)
        if len(self.body) <= 1024:
            send(coap.ACK, coap.CHANGED, response_options=self.response_options, payload=self.body)
            return
        response_options, payload = blocks.response_block(
            self.body, requested_block or blocks.Block(0, False, 6)
        )
        send(coap.ACK, coap.CHANGED, response_options=response_options, payload=payload)


@asynccontextmanager
async def nodes(
    number: int = 1,
    features: Features = COAP_ON,
    **changes: object,
) -> AsyncIterator[tuple[RunningProxy, list[Node]]]:
    coap_nodes = [await Node().start() for _ in range(number)]
    rows = [row(f"c{i}", n.port, cell=i, scheme="coap") for i, n in enumerate(coap_nodes)]
    async with running_proxy(rows, features, **changes) as w:
        yield w, coap_nodes
        await until(lambda: not w.proxy.driver.requests)
    for node in coap_nodes:
        node.stop()


async def pay(
    w: RunningProxy, left: str = "4000m", body: bytes = b"x", kind: str = "pay"
) -> tuple[int, bytes]:
    caller = await HttpClient.to(w.port)
    caller.send(kind, body, left, "X-Account: acme", key="k" if kind == "order" else "")
    first, _, answer = await caller.answer()
    return int(first.split()[1]), answer


def test_an_http_client_is_served_by_a_coap_node() -> None:
    async def main() -> None:
        async with nodes() as (w, (node,)):
            assert await pay(w, kind="order") == (200, b"tile")
            message = node.got[0]
            assert (message.code, message.payload) == (coap.POST, b"x")
            request = options.decode_request(message)
            assert (request.target, request.class_name, request.account) == (b"/api?q=1", "order", "acme")
            assert request.idempotency_key == b"k"
            assert request.left_ms is not None
            assert 3000.0 < request.left_ms < 4000.0

    run(main())


@pytest.mark.parametrize(
    ("step", "outcome", "status"),
    [
        ("reset", O.REJECTED, 200),
        ("unprocessed", O.REJECTED, 200),  # has not run: retried
        ("busy", O.ERROR, 502),
        ("silent", O.TIMEOUT, 502),
        ("ack", O.TIMEOUT, 502),
        ("foreign", O.TIMEOUT, 502),
        ("separate", O.OK, 200),
    ],
)
def test_each_end_has_its_outcome(step: str, outcome: api.Outcome, status: int) -> None:
    """`pay` has an effect and no key: it is retried only if it is known not to have run."""

    async def main() -> None:
        async with nodes(2) as (w, coap_nodes):
            for node in coap_nodes:
                node.script = [step]
            assert (await pay(w, "400m"))[0] == status
            await until(lambda: len(w.ended()) >= 1)
            assert w.ended()[0].outcome is outcome
            if status == 502:
                assert sum(len({m.mid for m in n.got}) for n in coap_nodes) == 1
            if step == "separate":
                await until(lambda: sum(n.acks for n in coap_nodes) == 2)  # a lost ACK is sent again

    run(main())


def test_unprocessed_after_a_retransmission_is_an_error() -> None:
    """The process that had the first transmission may have run it and died; the new one cannot know."""

    async def main() -> None:
        async with nodes() as (w, (node,)):
            node.script = ["silent", "unprocessed"]
            await pay(w, "4500m", kind="order")
            assert w.ended()[0].outcome is O.ERROR
            assert len({m.mid for m in node.got[:2]}) == 1

    run(main())


def test_a_stopped_node_is_connect_failed() -> None:
    async def main() -> None:
        async with nodes(2) as (w, coap_nodes):
            coap_nodes[0].stop()
            for _ in range(6):
                assert (await pay(w))[0] == 200
            assert {e.outcome for e in w.ended()} == {O.OK, O.CONNECT_FAILED}
            assert sum(len(n.bodies) for n in coap_nodes) == 6

    run(main())


def test_nothing_is_sent_to_a_draining_coap_node() -> None:
    async def main() -> None:
        async with nodes(2) as (w, coap_nodes):
            for _ in range(12):
                assert (await pay(w))[0] == 200
            assert all(n.bodies for n in coap_nodes)
            w.discovery.script_answer(
                2, row("c0", coap_nodes[0].port, "z", "draining", cell=0, scheme="coap")
            )
            servers = w.proxy.balancer.endpoints.servers
            await until(lambda: servers["c0"].endpoint.state is api.EndpointState.DRAINING)
            before = len(coap_nodes[0].got)
            for _ in range(12):
                assert (await pay(w))[0] == 200
            assert len(coap_nodes[0].got) == before

    run(main())


def test_bodies_and_responses_are_transferred_block_wise() -> None:
    async def main() -> None:
        async with nodes() as (w, (node,)):
            node.body, body = bytes(range(256)) * 1000, bytes(reversed(range(256))) * 256
            assert await pay(w, body=body) == (200, node.body)
            assert node.bodies == [body]

    run(main())


def test_coap_nodes_are_ignored_without_the_feature_and_mix_with_http_nodes() -> None:
    async def main() -> None:
        http, node = await Backend().start(), await Node().start()
        rows = [http.row("h", cell=1), row("c", node.port, cell=2, scheme="coap")]
        async with running_proxy(rows, Features()) as w:
            assert list(w.proxy.balancer.endpoints.servers) == ["h"]
            assert (await pay(w))[0] == 200
        async with running_proxy(rows, COAP_ON) as w:
            for _ in range(12):
                assert (await pay(w))[0] == 200
            assert http.requests
            assert node.bodies
        node.stop()
        await http.stop()

    run(main())


def test_an_error_on_a_replaced_socket_does_not_affect_a_later_request() -> None:
    async def main() -> None:
        async with nodes() as (w, (node,)):
            assert (await pay(w))[0] == 200
            transport = w.proxy.driver.transport
            assert isinstance(transport, TransportRouter)
            pool = transport.transports[1]
            assert isinstance(pool, Pool)
            at = pool.nodes["c0"]
            old = at.socket
            assert old is not None
            old.error_received(ConnectionRefusedError())
            assert at.transport is None
            node.script = ["silent"]
            paid = asyncio.create_task(pay(w, "500m"))
            await until(lambda: len(node.got) == 2)  # on a new socket
            old.error_received(ConnectionRefusedError())  # late
            assert (await paid)[0] == 502
            assert w.ended()[1].outcome is O.TIMEOUT  # CONNECT_FAILED would have caused a retry

    run(main())


@pytest.mark.parametrize(("kind", "times"), [("order", 2), ("pay", 1)])
def test_a_request_without_a_key_is_not_retransmitted(kind: str, times: int) -> None:
    """A restarted node does not know the message ids: it would run a retransmission a second time."""

    async def main() -> None:
        async with nodes() as (w, (node,)):
            node.script = ["silent"]
            status, _ = await pay(w, "4500m", kind=kind)
            assert len(node.got) == times  # the ACK's time-out is 2 to 3 s
            assert status == (200 if times == 2 else 502)

    run(main())


# Tests of the client's message layer without sockets.


class Scene:
    def __init__(self, nstart: int = 1) -> None:
        self.now, self.sent, self.ends = 0.0, list[coap.Message](), list[RequestEnd]()
        self.client = Client(lambda: self.now, lambda data: self.sent.append(coap.decode(data)), 1, nstart, 4)
        self.client.resume()

    def send_request(self, until_ms: float = 60_000.0, payload: bytes = b"") -> None:
        self.client.send_request(coap.GET, [], payload, until_ms, lambda how, _: self.ends.append(how))

    def pass_time(self, ms: float) -> None:
        end = self.now + ms
        while self.client.next_timer_ms() <= end:
            self.now = max(self.now, self.client.next_timer_ms())
            self.client.handle_timers()
        self.now = end


def test_one_request_at_a_time_is_unacknowledged() -> None:
    s = Scene()
    for _ in range(3):
        s.send_request()
    assert len(s.sent) == 1
    s.client.received(coap.encode(coap.Message(coap.ACK, coap.EMPTY, s.sent[0].mid)))
    assert len(s.sent) == 2
    s.client.received(coap.encode(coap.Message(coap.ACK, coap.CONTENT, s.sent[1].mid, s.sent[1].token)))
    assert len(s.sent) == 3
    assert s.ends == [RequestEnd.ANSWERED]


def test_a_request_is_sent_five_times_and_then_lost() -> None:
    s = Scene()
    s.send_request(200_000.0)
    s.pass_time(150_000.0)
    assert len(s.sent) == 5
    assert len({m.mid for m in s.sent}) == 1
    assert s.ends == [RequestEnd.LOST]


@pytest.mark.parametrize(("passed", "end"), [(0.0, RequestEnd.RESET), (4000.0, RequestEnd.LOST)])
def test_a_reset_proves_rejection_only_of_a_request_sent_once(passed: float, end: RequestEnd) -> None:
    s = Scene()
    s.send_request()
    s.pass_time(passed)
    s.client.received(coap.encode(coap.Message(coap.RST, coap.EMPTY, s.sent[0].mid)))
    assert s.ends == [end]


def test_a_queued_request_that_times_out_is_unsent() -> None:
    s = Scene()
    s.send_request()
    s.send_request(500.0)
    s.pass_time(500.0)
    assert s.ends == [RequestEnd.UNSENT]
    assert len({m.token for m in s.sent}) == 1


def test_icmp_proves_unreachable_only_for_the_first_datagram_of_a_socket() -> None:
    s = Scene(nstart=2)
    s.send_request()
    s.client.unreachable()
    assert s.ends == [RequestEnd.UNREACHABLE]
    s.client.resume()  # a new socket
    s.send_request()
    s.send_request()
    s.client.unreachable()
    assert s.ends[1:] == [RequestEnd.LOST, RequestEnd.LOST]
    s.client.resume()
    s.send_request()
    s.pass_time(4000.0)  # retransmitted
    s.client.unreachable()
    assert s.ends[3:] == [RequestEnd.LOST]
    s.send_request()
    assert len(s.client.waiting) == 1  # queued while there is no socket


def test_the_queue_is_limited_and_an_unexpected_response_is_reset() -> None:
    s = Scene()
    for _ in range(5):
        s.send_request()
    assert s.client.is_full()
    s.client.received(coap.encode(coap.Message(coap.CON, coap.CONTENT, 5, b"old!")))
    assert (s.sent[-1].mtype, s.sent[-1].mid) == (coap.RST, 5)


def test_the_probing_rate_limits_datagrams_to_a_silent_node() -> None:
    """RFC 7252, 4.7: a mean of one byte per second, until a datagram is received."""
    s = Scene(nstart=16)
    s.send_request(1e9)
    s.pass_time(100_000.0)
    assert s.ends == [RequestEnd.LOST]
    assert s.client.is_silent
    begun, written = s.now, sum(len(coap.encode(m)) for m in s.sent)
    s.ends.clear()
    for _ in range(2000):
        s.send_request(1e9, bytes(100))
        s.pass_time(500.0)
    probed = sum(len(coap.encode(m)) for m in s.sent) - written
    longest = max(len(coap.encode(m)) for m in s.sent)
    assert 0 < probed <= (s.now - begun) / 1000.0 + 5 * longest  # a probe is sent five times in advance
    assert s.client.probes_held_back == s.ends.count(RequestEnd.PROBING) > 1900
    s.client.received(coap.encode(coap.Message(coap.CON, coap.EMPTY, 9)))
    before = len(s.sent)
    s.send_request(1e9)
    assert len(s.sent) > before


def test_a_request_held_back_by_the_probing_rate_is_sent_to_another_node() -> None:
    async def main() -> None:
        async with nodes(2) as (w, coap_nodes):
            (part,) = [p for p in w.proxy.components if isinstance(p, CoapPart)]
            assert part.pool is not None
            quiet = part.pool.nodes["c0"].client
            quiet.is_silent, quiet.next_probe_ms = True, w.proxy.clock.now() + 60_000.0
            while not quiet.probes_held_back:
                assert await pay(w) == (200, b"tile")
            assert not coap_nodes[0].got
            assert O.CONNECT_FAILED in [e.outcome for e in w.ended()]
            assert w.proxy.balancer.endpoints.servers["c0"].failures > 0
            assert part.counts()["coap:probes held back"] == quiet.probes_held_back

    run(main())


@pytest.mark.exclusive
def test_a_cold_coap_node_gets_its_share_and_its_starts_are_counted() -> None:
    async def main() -> None:
        quick = [{"name": "read", "aimMs": 100.0, "deadlineMs": 5000.0, "idempotency": "repeatable"}]
        cold = {"coldShare": 0.2, "warmAfterMs": 60_000.0}
        async with nodes(5, contract=cold, profiles=quick) as (w, coap_nodes):
            fresh = row("c0", coap_nodes[0].port, cell=0, scheme="coap", startedAtMs=int(w.proxy.clock.now()))
            w.discovery.script_answer(2, fresh)
            (part,) = [p for p in w.proxy.components if isinstance(p, CoapPart)]
            await until(lambda: part.counts()["coap:node starts"] == 1)
            before = [len(n.got) for n in coap_nodes]
            while len(coap_nodes[0].got) < before[0] + 6:
                assert await pay(w, kind="read") == (200, b"tile")
            got = [len(n.got) - b for n, b in zip(coap_nodes, before, strict=True)]
            # Five nodes, one of them at a fifth of its capacity.
            assert got[0] <= 1.35 * sum(got) * 0.22 / 4.22
            assert min(got[1:]) > 2 * got[0]

    run(main())
