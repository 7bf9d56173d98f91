"""The front of CoAP clients over UDP: requests to the core, and their responses.

    served    2.05 (GET), 2.04 (POST)    conflict       4.09
    refused   5.03 and Max-Age           unprocessable  4.22
    failed    5.02                       bad            4.xx

A peer's address is trusted only after it has proved that it receives there (RFC 9175, 2.4). Until then a
request is answered 4.01 with an Echo value, before anything has run, so that nobody can direct responses
to a victim by forging its address. A 4.01 is no longer than three times the request.
"""

from __future__ import annotations

import asyncio
import hashlib
import hmac
import math
import random
import secrets
from collections import OrderedDict

from honeywharf.coap import blocks, options
from honeywharf.coap.messages import Exchange, MessageLayer, Peer
from honeywharf.codecs import coap
from honeywharf.core.driver import Driver
from honeywharf.core.messages import Request, Status, is_forwarded_path, whole_seconds
from honeywharf.core.transport import Address, Clock

CODES = {
    Status.REFUSED: coap.SERVICE_UNAVAILABLE,
    Status.FAILED: coap.BAD_GATEWAY,
    Status.CONFLICT: coap.CONFLICT,
    Status.UNPROCESSABLE: coap.UNPROCESSABLE_ENTITY,
}
MAX_VALIDATED_PEERS = 16384  # excess peers, the oldest first, have to prove their address again
PEER_VALIDITY_MS = 600_000.0  # validity of a proof of a peer's address
ECHO_VALIDITY_MS = 10_000.0  # validity of an Echo value
MAX_AMPLIFICATION = 3  # largest ratio of response to request for an unproved address


class Responder:
    """Sends the response to one request."""

    __slots__ = ("exchange", "front", "key", "request", "requested_block", "response_options")

    def __init__(self, front: Front, exchange: Exchange, message: coap.Message, request: Request) -> None:
        self.front, self.exchange, self.request = front, exchange, request
        self.key = blocks.transfer_key(message, exchange.peer)
        self.requested_block = blocks.decode_block(message, coap.BLOCK2) or blocks.Block(
            0, False, blocks.MAX_SZX
        )
        last = message.option(coap.BLOCK1)  # RFC 7959, 2.3: repeated in the response to the last block
        self.response_options: list[tuple[int, bytes]] = [(coap.BLOCK1, last)] if last is not None else []

    def answer(
        self,
        status: Status,
        body: bytes = b"",
        *,
        retry_after_ms: float = 0.0,
        kind: bytes = b"",
    ) -> None:
        """Sends the final response."""
        self.front.answer(self, status, body, retry_after_ms, kind)


class Front(asyncio.DatagramProtocol):
    """One UDP socket and its clients."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Clock,
        driver: Driver,
        seed: int = 0,
    ) -> None:
        self.loop, self.clock, self.driver = loop, clock, driver
        self.random = random.Random(seed or secrets.randbits(64))
        self.layer = MessageLayer(clock.now, self._send, self._serve, self.random.getrandbits(64))
        self.transfers = blocks.Transfers()
        self.secret = secrets.token_bytes(16)
        self.validated_peers: OrderedDict[Peer, float] = OrderedDict()  # time of the proof, the oldest first
        self.transport: asyncio.DatagramTransport | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.timer_ms = math.inf
        self.draining = False

    async def listen(self, listen_address: Address) -> Address:
        """Opens the socket and returns its address."""
        transport, _ = await self.loop.create_datagram_endpoint(lambda: self, local_addr=listen_address)
        self.transport = transport
        host, port = transport.get_extra_info("sockname")[:2]
        return host, port

    def close(self) -> None:
        """Closes the socket."""
        if self.transport is not None:
            self.transport.close()
        if self.timer is not None:
            self.timer.cancel()

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Passes a datagram to the message layer."""
        self.layer.received(data, addr[:2])
        self._set_timer()

    def error_received(self, exc: Exception) -> None:
        """Counts an ICMP error: a client is gone. Its responses are still retransmitted until they expire."""
        self.layer.count("coap:icmp")

    def _send(self, data: bytes, peer: Peer) -> None:
        if self.transport is not None:
            self.transport.sendto(data, peer)

    def _set_timer(self) -> None:
        """Schedules the next timer of the message layer."""
        due = self.layer.next_timer_ms()
        if due < self.timer_ms:
            if self.timer is not None:
                self.timer.cancel()
            self.timer_ms = due
            self.timer = self.loop.call_later(max(0.0, due - self.clock.now()) / 1000.0, self._on_timer)

    def _on_timer(self) -> None:
        self.timer, self.timer_ms = None, math.inf
        self.layer.handle_timers()
        self._set_timer()

    # Requests.

    def _serve(self, exchange: Exchange, message: coap.Message) -> None:
        """Handles a new request."""
        if not self._is_validated(exchange.peer, message):
            self._challenge(exchange, message)
            return
        try:
            request = options.decode_request(message)
            responder = Responder(self, exchange, message, request)
            if self._handle_blocks(responder, message):
                return
        except options.OptionError as error:
            self.layer.answer(exchange, error.code, payload=str(error).encode())
            return
        request.read_ms = self.clock.now()
        if not request.id:
            request.id = "coap-" + secrets.token_hex(8)
        if not is_forwarded_path(request.target):
            self.layer.answer(exchange, coap.NOT_FOUND)
        elif self.draining:
            responder.answer(Status.REFUSED)  # before the decision module: nothing has run
        elif (error_text := self.driver.submit(request, responder)) is not None:
            self.layer.answer(exchange, coap.BAD_REQUEST, payload=error_text.encode())

    def _handle_blocks(self, responder: Responder, message: coap.Message) -> bool:
        """Returns whether the request was one block of several; if not, its body is complete."""
        now, block = self.clock.now(), blocks.decode_block(message, coap.BLOCK1)
        if block is not None:
            body = self.transfers.body(responder.key, block, message.payload, now)
            if body is None:
                self.layer.answer(responder.exchange, coap.CONTINUE, [(coap.BLOCK1, block.value())])
                return True
            responder.request.body = body
        if responder.requested_block.number:
            response, response_options = self.transfers.stored_response(responder.key, now)
            more, payload = blocks.response_block(response, responder.requested_block)
            self.layer.answer(
                responder.exchange, self._success_code(responder), response_options + more, payload
            )
            return True
        return False

    def _success_code(self, responder: Responder) -> int:
        return coap.CONTENT if responder.request.method == b"GET" else coap.CHANGED

    def _challenge(self, exchange: Exchange, message: coap.Message) -> None:
        """Requests a proof of the peer's address, in at most three times the size of its request."""
        value, exchange.may_have_run = self._echo_value(exchange.peer), False
        if 4 + len(message.token) + 3 + len(value) > MAX_AMPLIFICATION * message.size:
            self.layer.answer(exchange, coap.BAD_REQUEST)
        else:
            self.layer.answer(exchange, coap.UNAUTHORIZED, [(coap.ECHO, value)])

    def answer(
        self,
        responder: Responder,
        status: Status,
        body: bytes,
        retry_after_ms: float,
        kind: bytes = b"",
    ) -> None:
        """Sends a final response as a code of CoAP."""
        if responder.exchange.message is None:
            return
        if responder.request.answer_header_lines:
            responder.response_options += options.trace_context_options(responder.request.answer_header_lines)
        if status is not Status.SERVED:
            response_options = self._retry_after_options(retry_after_ms) if status is Status.REFUSED else []
            self.layer.answer(
                responder.exchange, CODES[status], responder.response_options + response_options
            )
            return
        response_options = options.content_format_options(kind)
        if len(body) > responder.requested_block.size:
            self.transfers.store_response(responder.key, body, self.clock.now(), response_options)
            more, body = blocks.response_block(body, responder.requested_block)
            response_options = response_options + more
        self.layer.answer(
            responder.exchange,
            self._success_code(responder),
            responder.response_options + response_options,
            body,
        )

    def _retry_after_options(self, ms: float) -> list[tuple[int, bytes]]:
        """Returns Max-Age in seconds, and the option RETRY_AFTER with the time in ms."""
        if ms <= 0.0:
            return [(coap.MAX_AGE, b"")]
        seconds = whole_seconds(ms, self.random.random())
        return [(coap.MAX_AGE, coap.uint_bytes(seconds)), (options.RETRY_AFTER, coap.uint_bytes(round(ms)))]

    # Validation of addresses.

    def _is_validated(self, peer: Peer, message: coap.Message) -> bool:
        """Returns whether the peer has proved that it receives at its address."""
        now, since = self.clock.now(), self.validated_peers.get(peer)
        if since is not None and now - since < PEER_VALIDITY_MS:
            return True
        value = message.option(coap.ECHO)
        if value is None or not self._is_valid_echo(peer, value, now):
            return False
        self.validated_peers[peer] = now
        self.validated_peers.move_to_end(peer)
        while len(self.validated_peers) > MAX_VALIDATED_PEERS:
            self.validated_peers.popitem(last=False)
        return True

    def _echo_value(self, peer: Peer) -> bytes:
        """Returns an Echo value that only a receiver at that address can return: a time and a MAC."""
        stamp = int(self.clock.now()).to_bytes(8, "big")[3:]
        return stamp + self._mac(peer, stamp)

    def _mac(self, peer: Peer, stamp: bytes) -> bytes:
        mac_input = b"%b %d %b" % (peer[0].encode(), peer[1], stamp)
        return hashlib.blake2b(mac_input, key=self.secret, digest_size=7).digest()

    def _is_valid_echo(self, peer: Peer, value: bytes, now: float) -> bool:
        if len(value) != 12 or not hmac.compare_digest(value[5:], self._mac(peer, value[:5])):
            return False
        age = (int(now) - int.from_bytes(value[:5], "big")) & 0xFFFFFFFFFF
        return age <= ECHO_VALIDITY_MS
