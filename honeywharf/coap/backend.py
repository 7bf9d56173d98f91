"""The transport to CoAP nodes over UDP: one socket for each node, and the outcome of each attempt.

    UNSENT                           NOT_SENT        it was never sent
    RESET (RST, sent once)           REJECTED        the node has not taken it
    UNREACHABLE (ICMP, first sent)   CONNECT_FAILED  it never arrived
    PROBING                          CONNECT_FAILED  it was never sent: the node is silent, and PROBING_RATE
                                                     allows no more datagrams
    LOST (later RST, ICMP; no ACK)   RESET           it may have run
    2.04, 2.05                       OK
    5.03 and UNPROCESSED, sent once  REJECTED        the node states that it has not run; if it was
                                                     retransmitted, a new process may state that although
                                                     the old one has run it
    any other code                   ERROR           the node is up, and may have run it
    a block that does not fit        ERROR           it has run, and the response is corrupt
    nothing in time, ACK or not      TIMEOUT         set by the driver; it may have run

A body or response longer than a block is transferred block-wise (RFC 7959). The blocks of a body before its
last cannot run it: until the last has been sent, a failed request has not run.
"""

from __future__ import annotations

import asyncio
import secrets
from typing import cast

from honeywharf.coap import blocks, options
from honeywharf.coap.client import NSTART, PROBING_RATE, Client, PendingRequest, RequestEnd
from honeywharf.codecs import coap, contentformat
from honeywharf.core.messages import MAX_ANSWER, Response
from honeywharf.core.transport import Address, Clock, UpstreamRequest
from honeywharf.policy import interface as api

O = api.Outcome  # noqa: E741
OUTCOMES = {
    RequestEnd.RESET: O.REJECTED,
    RequestEnd.UNREACHABLE: O.CONNECT_FAILED,
    RequestEnd.LOST: O.RESET,
    RequestEnd.UNSENT: O.NOT_SENT,
    RequestEnd.PROBING: O.CONNECT_FAILED,
}
LIVENESS_PATH, REPORT_PATH = b"health/live", b"stats"


class NodeCall:
    """One call: the blocks of its body, then those of its response."""

    __slots__ = ("block_number", "call", "etag", "node", "pending", "request_options", "response_body", "szx")

    def __init__(self, node: Node, call: UpstreamRequest) -> None:
        self.node, self.call = node, call
        self.pending: PendingRequest | None = None
        self.block_number, self.szx = 0, blocks.MAX_SZX  # next block of the request body
        self.response_body, self.etag = bytearray(), b""
        request = call.request
        if request is None:
            self.request_options = [
                (coap.URI_PATH, p) for p in (REPORT_PATH if call.report else LIVENESS_PATH).split(b"/")
            ]
        else:
            time_left_us = max(0, int((call.until_ms - node.pool.clock.now()) * 1000.0))
            self.request_options = [
                *options.encode_request(request),
                (options.TIME_LEFT, coap.uint_bytes(time_left_us)),
            ]
            if call.header_lines:
                self.request_options += options.trace_context_options(call.header_lines)
            if len(request.body) > 1 << (self.szx + 4):
                self.request_options.append((coap.REQUEST_TAG, secrets.token_bytes(4)))

    def send(self) -> None:
        """Sends the next block of the body, or all of it."""
        request = self.call.request
        body, size = request.body if request is not None else b"", 1 << (self.szx + 4)
        request_options = self.request_options
        if len(body) > size:
            more = (self.block_number + 1) * size < len(body)
            request_options = [
                *request_options,
                (coap.BLOCK1, blocks.Block(self.block_number, more, self.szx).value()),
            ]
            body = body[self.block_number * size : (self.block_number + 1) * size]
        code = coap.POST if request is not None and request.method == b"POST" else coap.GET
        # A request with an effect and without an idempotency key must not be retransmitted: nobody would
        # detect the duplicate.
        may_retransmit = request is None or request.method == b"GET" or bool(request.idempotency_key)
        self.pending = self.node.client.send_request(
            code,
            request_options,
            body,
            self.call.until_ms,
            self.ended,
            may_retransmit=may_retransmit or self._is_before_last_block(),
        )
        self.node.set_timer()

    def ended(self, end: RequestEnd, message: coap.Message | None) -> None:
        """Handles the end of one of its requests."""
        if message is None:
            outcome = OUTCOMES[end]
            if self.response_body:
                outcome = O.ERROR  # a part of the response came: it has run
            elif self._is_before_last_block():
                outcome = O.CONNECT_FAILED if outcome is O.RESET else outcome  # the last block was not sent
            self.node.call_ended(self, outcome, None)
            return
        try:
            self._handle_response(message)
        except options.OptionError:
            self.node.call_ended(self, O.ERROR, None)

    def _is_before_last_block(self) -> bool:
        request = self.call.request
        size = 1 << (self.szx + 4)
        return request is not None and (self.block_number + 1) * size < len(request.body)

    def _handle_response(self, message: coap.Message) -> None:
        if message.code == coap.CONTINUE and self._is_before_last_block():
            self.block_number += 1
            self.send()
            return
        if message.code not in (coap.CONTENT, coap.CHANGED, coap.CREATED):
            not_run = (
                message.code == coap.SERVICE_UNAVAILABLE
                and (message.option(options.UNPROCESSED) is not None)
                and (self.pending is not None and self.pending.transmissions == 1)
            )
            self.node.call_ended(self, O.REJECTED if not_run else O.ERROR, self._response(message))
            return
        block = blocks.decode_block(message, coap.BLOCK2)
        if block is None:
            self.response_body = bytearray(message.payload)
        else:
            etag = message.option(blocks.ETAG) or b""
            if len(self.response_body) != block.number * block.size or (block.number and etag != self.etag):
                raise options.OptionError(coap.BAD_REQUEST, "found a block that does not fit")
            self.etag = etag
            self.response_body += message.payload
            if len(self.response_body) > MAX_ANSWER:
                raise options.OptionError(coap.REQUEST_ENTITY_TOO_LARGE, "found an answer without end")
            if block.more:
                self._next_block(blocks.Block(block.number + 1, False, block.szx), message)
                return
        self.node.call_ended(self, O.OK, self._response(message))

    def _next_block(self, block: blocks.Block, message: coap.Message) -> None:
        request = self.call.request
        code = coap.POST if request is not None and request.method == b"POST" else coap.GET
        request_options = [*self.request_options, (coap.BLOCK2, block.value())]
        self.pending = self.node.client.send_request(
            code, request_options, b"", self.call.until_ms, self.ended
        )
        self.node.set_timer()

    def _response(self, message: coap.Message) -> Response:
        response = Response()
        response.body, response.load = bytes(self.response_body), message.option(options.LOAD)
        request_options = message.option(options.TRACE_RESPONSE)
        if request_options is not None:
            response.trace = options.trace_context_text(request_options)
        value = message.option(coap.CONTENT_FORMAT)
        if value is not None and len(value) <= 2:
            response.kind = contentformat.media_type(value)
        return response


class Socket(asyncio.DatagramProtocol):
    """A socket towards a node. Datagrams and errors on a socket that was replaced are ignored."""

    def __init__(self, node: Node) -> None:
        self.node = node

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Registers the socket and sends queued requests."""
        self.node.socket, self.node.transport = self, cast("asyncio.DatagramTransport", transport)
        self.node.client.resume()

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Passes a datagram to the message layer."""
        if self.node.socket is self:
            self.node.client.received(data)
            self.node.set_timer()

    def error_received(self, exc: Exception) -> None:
        """Handles an ICMP error: no socket listens there."""
        if self.node.socket is self:
            self.node.unreachable()


class Node:
    """The address and message layer of one node."""

    def __init__(self, pool: Pool, address: Address, started_ms: float | None) -> None:
        self.pool, self.address, self.started_ms = pool, address, started_ms
        self.client = Client(
            pool.clock.now, self._send, secrets.randbits(64), pool.nstart, probing_rate=pool.probing_rate
        )
        self.socket: Socket | None = None
        self.transport: asyncio.DatagramTransport | None = None
        self.opening: asyncio.Task[None] | None = None
        self.node_calls: set[NodeCall] = set()
        self.timer: asyncio.TimerHandle | None = None

    def _send(self, data: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.sendto(data)

    async def open(self) -> None:
        """Opens the socket, which sends queued requests; after a failure here nothing was sent."""
        try:
            await self.pool.loop.create_datagram_endpoint(lambda: Socket(self), remote_addr=self.address)
        except OSError:
            self.client.fail_waiting()
        finally:
            self.opening = None
        self.set_timer()

    def unreachable(self) -> None:
        """Replaces the socket after an ICMP error: a late error must not apply to a later request."""
        transport, self.transport, self.socket = self.transport, None, None
        if transport is not None:
            transport.close()
        self.client.unreachable()
        if self.client.waiting:
            self._open_soon()
        self.set_timer()

    def _open_soon(self) -> None:
        if self.opening is None:
            self.opening = self.pool.loop.create_task(self.open())

    def start(self, call: UpstreamRequest) -> None:
        """Starts a call."""
        node_call = NodeCall(self, call)
        call.connection = node_call
        self.node_calls.add(node_call)
        if self.client.is_full():
            self.pool.loop.call_soon(self.call_ended, node_call, O.NOT_SENT, None)
        else:
            node_call.send()
            if self.transport is None:
                self._open_soon()

    def call_ended(self, node_call: NodeCall, outcome: api.Outcome, response: Response | None) -> None:
        """Reports the outcome of a call, once."""
        if node_call in self.node_calls:
            self.node_calls.discard(node_call)
            node_call.call.connection = None
            node_call.call.ended(outcome, response)

    def abort(self, node_call: NodeCall) -> None:
        """Cancels a call."""
        self.node_calls.discard(node_call)
        if node_call.pending is not None:
            self.client.cancel(node_call.pending)

    def set_timer(self) -> None:
        """Schedules the next timer of the message layer."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        due = self.client.next_timer_ms()
        if due < float("inf"):
            delay = max(0.0, due - self.pool.clock.now()) / 1000.0
            self.timer = self.pool.loop.call_later(delay, self._on_timer)

    def _on_timer(self) -> None:
        self.timer = None
        self.client.handle_timers()
        self.set_timer()

    def close(self) -> None:
        """Closes the socket once no call is in flight."""
        if self.node_calls or self.opening is not None:  # also while a socket is being opened
            self.pool.loop.call_later(1.0, self.close)
        elif self.transport is not None:
            self.transport.close()


class Pool:
    """The CoAP nodes listed by discovery."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Clock,
        nstart: int = NSTART,
        probing_rate: float = PROBING_RATE,
    ) -> None:
        self.loop, self.clock, self.nstart, self.probing_rate = loop, clock, nstart, probing_rate
        self.nodes: dict[str, Node] = {}
        self.process_starts = 0  # cold starts of nodes reported by discovery

    def name(
        self,
        endpoint: str,
        address: Address,
        started_ms: float | None,
        *,
        open_for_work: bool,
    ) -> None:
        """Adds or updates an endpoint; another address or start time gets a new socket."""
        known = self.nodes.get(endpoint)
        if known is None or known.address != address or known.started_ms != started_ms:
            self.forget(endpoint)
            self.process_starts += started_ms is not None
            self.nodes[endpoint] = Node(self, address, started_ms)

    def forget(self, endpoint: str) -> None:
        """Removes an endpoint: no further call can be sent to it."""
        node = self.nodes.pop(endpoint, None)
        if node is not None:
            node.close()

    def known(self, endpoint: str) -> bool:
        """Returns whether discovery has listed the endpoint."""
        return endpoint in self.nodes

    def start(self, call: UpstreamRequest) -> None:
        """Starts the call."""
        self.nodes[call.endpoint].start(call)

    def abort(self, call: UpstreamRequest) -> None:
        """Cancels the call."""
        node_call = call.connection
        if isinstance(node_call, NodeCall):
            call.connection = None
            node_call.node.abort(node_call)

    def close_idle(self, endpoint: str) -> None:
        """Does nothing: there are no idle connections."""
