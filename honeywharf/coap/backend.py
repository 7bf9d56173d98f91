"""CoAP nodes: attempts over UDP, one socket for a node, and the outcome of each.

    UNSENT                           NOT_SENT        it never left
    RESET (RST, sent once)           REJECTED        the node has not taken it
    UNREACHABLE (ICMP, first sent)   CONNECT_FAILED  it never arrived
    PROBING                          CONNECT_FAILED  it never left: the node is silent, and may be asked
                                                     no more than PROBING_RATE allows
    LOST (later RST, ICMP; no ACK)   RESET           it may have run
    2.04, 2.05                       OK
    5.03 and UNPROCESSED, sent once  REJECTED        the node says that it has not run; of one sent again a
                                                     new process says so, though the old one may have run it
    any other code                   ERROR           the node is up, and has run it or not
    a block that doesn't fit         ERROR           it has run, and the answer is spoilt
    nothing in time, ACK or not      TIMEOUT         the driver's; it may have run

A body or answer longer than a block goes in blocks (RFC 7959). Blocks of a body ahead of its last are no
attempt to run it: until the last has been written, what fails never ran.
"""

from __future__ import annotations

import asyncio
import secrets
from typing import cast

from honeywharf.coap import blocks, options
from honeywharf.coap.client import NSTART, PROBING_RATE, Asked, Client, End
from honeywharf.codecs import coap, contentformat
from honeywharf.core.messages import MAX_ANSWER, Response
from honeywharf.core.transport import Address, Clock, UpstreamRequest
from honeywharf.policy import interface as api

O = api.Outcome  # noqa: E741
OUTCOMES = {
    End.RESET: O.REJECTED,
    End.UNREACHABLE: O.CONNECT_FAILED,
    End.LOST: O.RESET,
    End.UNSENT: O.NOT_SENT,
    End.PROBING: O.CONNECT_FAILED,
}
LIVE, REPORT = b"health/live", b"stats"


class Job:
    """One call: its body's blocks, then its answer's."""

    __slots__ = ("answer", "asked", "call", "etag", "node", "part", "szx", "told")

    def __init__(self, node: Node, call: UpstreamRequest) -> None:
        self.node, self.call = node, call
        self.asked: Asked | None = None
        self.part, self.szx = 0, blocks.MAX_SZX  # of the body
        self.answer, self.etag = bytearray(), b""
        request = call.request
        if request is None:
            self.told = [(coap.URI_PATH, p) for p in (REPORT if call.report else LIVE).split(b"/")]
        else:
            left = max(0, int((call.until_ms - node.pool.clock.now()) * 1000.0))
            self.told = [*options.of_request(request), (options.TIME_LEFT, coap.uint_bytes(left))]
            if call.header_lines:
                self.told += options.of_lines(call.header_lines)
            if len(request.body) > 1 << (self.szx + 4):
                self.told.append((coap.REQUEST_TAG, secrets.token_bytes(4)))

    def send(self) -> None:
        """Send the next block of the body, or all of it."""
        request = self.call.request
        body, size = request.body if request is not None else b"", 1 << (self.szx + 4)
        told = self.told
        if len(body) > size:
            more = (self.part + 1) * size < len(body)
            told = [*told, (coap.BLOCK1, blocks.Block(self.part, more, self.szx).value())]
            body = body[self.part * size : (self.part + 1) * size]
        code = coap.POST if request is not None and request.method == b"POST" else coap.GET
        # Guards a request that has an effect and no key: nobody would drop its repeat.
        again = request is None or request.method == b"GET" or bool(request.idempotency_key)
        self.asked = self.node.client.ask(
            code, told, body, self.call.until_ms, self.ended, again=again or self._before_last()
        )
        self.node.arm()

    def ended(self, how: End, message: coap.Message | None) -> None:
        """One request of it has ended."""
        if message is None:
            outcome = OUTCOMES[how]
            if self.answer:
                outcome = O.ERROR  # it has run
            elif self._before_last():
                outcome = O.CONNECT_FAILED if outcome is O.RESET else outcome  # no block was the last
            self.node.done(self, outcome, None)
            return
        try:
            self._take(message)
        except options.OptionError:
            self.node.done(self, O.ERROR, None)

    def _before_last(self) -> bool:
        request = self.call.request
        size = 1 << (self.szx + 4)
        return request is not None and (self.part + 1) * size < len(request.body)

    def _take(self, message: coap.Message) -> None:
        if message.code == coap.CONTINUE and self._before_last():
            self.part += 1
            self.send()
            return
        if message.code not in (coap.CONTENT, coap.CHANGED, coap.CREATED):
            unseen = (
                message.code == coap.SERVICE_UNAVAILABLE
                and (message.option(options.UNPROCESSED) is not None)
                and (self.asked is not None and self.asked.sent == 1)
            )
            self.node.done(self, O.REJECTED if unseen else O.ERROR, self._response(message))
            return
        block = blocks.block_of(message, coap.BLOCK2)
        if block is None:
            self.answer = bytearray(message.payload)
        else:
            etag = message.option(blocks.ETAG) or b""
            if len(self.answer) != block.number * block.size or (block.number and etag != self.etag):
                raise options.OptionError(coap.BAD_REQUEST, "found a block that does not fit")
            self.etag = etag
            self.answer += message.payload
            if len(self.answer) > MAX_ANSWER:
                raise options.OptionError(coap.REQUEST_ENTITY_TOO_LARGE, "found an answer without end")
            if block.more:
                self._next_block(blocks.Block(block.number + 1, False, block.szx), message)
                return
        self.node.done(self, O.OK, self._response(message))

    def _next_block(self, block: blocks.Block, message: coap.Message) -> None:
        request = self.call.request
        code = coap.POST if request is not None and request.method == b"POST" else coap.GET
        told = [*self.told, (coap.BLOCK2, block.value())]
        self.asked = self.node.client.ask(code, told, b"", self.call.until_ms, self.ended)
        self.node.arm()

    def _response(self, message: coap.Message) -> Response:
        response = Response()
        response.body, response.load = bytes(self.answer), message.option(options.LOAD)
        told = message.option(options.TRACE_RESPONSE)
        if told is not None:
            response.trace = options.context_text(told)
        value = message.option(coap.CONTENT_FORMAT)
        if value is not None and len(value) <= 2:
            response.kind = contentformat.media_type(value)
        return response


class Socket(asyncio.DatagramProtocol):
    """One socket towards a node. What comes on one that was given up, an error too, speaks for nothing."""

    def __init__(self, node: Node) -> None:
        self.node = node

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the way to write, and send what waits."""
        self.node.socket, self.node.transport = self, cast("asyncio.DatagramTransport", transport)
        self.node.client.resume()

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Hand it to the message layer."""
        if self.node.socket is self:
            self.node.client.received(data)
            self.node.arm()

    def error_received(self, exc: Exception) -> None:
        """ICMP: nothing listens there."""
        if self.node.socket is self:
            self.node.unreachable()


class Node:
    """One node's address and message layer."""

    def __init__(self, pool: Pool, address: Address, started_ms: float | None) -> None:
        self.pool, self.address, self.started_ms = pool, address, started_ms
        self.client = Client(
            pool.clock.now, self._send, secrets.randbits(64), pool.nstart, probing_rate=pool.probing_rate
        )
        self.socket: Socket | None = None
        self.transport: asyncio.DatagramTransport | None = None
        self.opening: asyncio.Task[None] | None = None
        self.jobs: set[Job] = set()
        self.timer: asyncio.TimerHandle | None = None

    def _send(self, data: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.sendto(data)

    async def open(self) -> None:
        """Open the socket, then send what waits; a failure here has sent nothing."""
        try:
            await self.pool.loop.create_datagram_endpoint(lambda: Socket(self), remote_addr=self.address)
        except OSError:
            self.client.none()
        finally:
            self.opening = None
        self.arm()

    def unreachable(self) -> None:
        """ICMP: nothing listens there. The socket is given up: what comes late must not speak for another."""
        transport, self.transport, self.socket = self.transport, None, None
        if transport is not None:
            transport.close()
        self.client.unreachable()
        if self.client.waiting:
            self._open_soon()
        self.arm()

    def _open_soon(self) -> None:
        if self.opening is None:
            self.opening = self.pool.loop.create_task(self.open())

    def start(self, call: UpstreamRequest) -> None:
        """Carry a call."""
        job = Job(self, call)
        call.connection = job
        self.jobs.add(job)
        if self.client.full():
            self.pool.loop.call_soon(self.done, job, O.NOT_SENT, None)
        else:
            job.send()
            if self.transport is None:
                self._open_soon()

    def done(self, job: Job, outcome: api.Outcome, response: Response | None) -> None:
        """A call has its one outcome."""
        if job in self.jobs:
            self.jobs.discard(job)
            job.call.connection = None
            job.call.ended(outcome, response)

    def abort(self, job: Job) -> None:
        """Give a call up."""
        self.jobs.discard(job)
        if job.asked is not None:
            self.client.give_up(job.asked)

    def arm(self) -> None:
        """Wake the message layer when its next timer is due."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        due = self.client.next_ms()
        if due < float("inf"):
            delay = max(0.0, due - self.pool.clock.now()) / 1000.0
            self.timer = self.pool.loop.call_later(delay, self._woken)

    def _woken(self) -> None:
        self.timer = None
        self.client.woken()
        self.arm()

    def close(self) -> None:
        """Close the socket once nothing is out."""
        if self.jobs or self.opening is not None:  # a socket that is still to come up, too
            self.pool.loop.call_later(1.0, self.close)
        elif self.transport is not None:
            self.transport.close()


class Pool:
    """All CoAP nodes that discovery has named."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Clock,
        nstart: int = NSTART,
        probing_rate: float = PROBING_RATE,
    ) -> None:
        self.loop, self.clock, self.nstart, self.probing_rate = loop, clock, nstart, probing_rate
        self.nodes: dict[str, Node] = {}
        self.starts = 0  # new processes that discovery has told of, cold ones

    def name(
        self,
        endpoint: str,
        address: Address,
        started_ms: float | None,
        *,
        open_for_work: bool,
    ) -> None:
        """Take over an endpoint's address; another one, or a new start, has a socket of its own."""
        known = self.nodes.get(endpoint)
        if known is None or known.address != address or known.started_ms != started_ms:
            self.forget(endpoint)
            self.starts += started_ms is not None
            self.nodes[endpoint] = Node(self, address, started_ms)

    def forget(self, endpoint: str) -> None:
        """The endpoint is gone: nothing can be sent there any more."""
        node = self.nodes.pop(endpoint, None)
        if node is not None:
            node.close()

    def known(self, endpoint: str) -> bool:
        """Whether a list has named the endpoint."""
        return endpoint in self.nodes

    def start(self, call: UpstreamRequest) -> None:
        """Carry the call."""
        self.nodes[call.endpoint].start(call)

    def abort(self, call: UpstreamRequest) -> None:
        """Give the call up."""
        job = call.connection
        if isinstance(job, Job):
            call.connection = None
            job.node.abort(job)

    def close_idle(self, endpoint: str) -> None:
        """There are no connections that could idle."""
