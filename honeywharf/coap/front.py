"""CoAP clients' requests over UDP: the socket round the message layer, requests into the core, answers out.

    served    2.05 (GET), 2.04 (POST)    conflict       4.09
    refused   5.03 and Max-Age           unprocessable  4.22
    failed    5.02                       bad            4.xx

A peer's address is believed only once it has shown that it receives there (RFC 9175, 2.4): until then a
request is answered 4.01 with an Echo value, before anything has run, so that nobody can have our answers sent
to another by naming its address. A 4.01 is no longer than three times the request.
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
from honeywharf.coap.messages import Exchange, Layer, Peer
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
MAX_PEERS = 16384  # that are believed at a time; beyond it the one believed longest has to show itself anew
PEER_MS = 600_000.0  # for which a peer is believed since it last showed it
ECHO_MS = 10_000.0  # for which an Echo value is good
AMPLIFICATION = 3  # times what came from an address that is not believed is sent there at most


class Caller:
    """Where one request's final answer goes."""

    __slots__ = ("exchange", "front", "key", "request", "told", "wanted")

    def __init__(self, front: Front, exchange: Exchange, message: coap.Message, request: Request) -> None:
        self.front, self.exchange, self.request = front, exchange, request
        self.key = blocks.key_of(message, exchange.peer)
        self.wanted = blocks.block_of(message, coap.BLOCK2) or blocks.Block(0, False, blocks.MAX_SZX)
        last = message.option(coap.BLOCK1)  # 2.3: told back in the answer to the last block
        self.told: list[tuple[int, bytes]] = [(coap.BLOCK1, last)] if last is not None else []

    def answer(
        self,
        status: Status,
        body: bytes = b"",
        *,
        retry_after_ms: float = 0.0,
        kind: bytes = b"",
    ) -> None:
        """Write the final answer."""
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
        self.layer = Layer(clock.now, self._send, self._serve, self.random.getrandbits(64))
        self.transfers = blocks.Transfers()
        self.secret = secrets.token_bytes(16)
        self.peers: OrderedDict[Peer, float] = OrderedDict()  # believed, since when, the oldest first
        self.transport: asyncio.DatagramTransport | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.timer_ms = math.inf
        self.draining = False

    async def listen(self, where: Address) -> Address:
        """Open the socket; the address it has."""
        transport, _ = await self.loop.create_datagram_endpoint(lambda: self, local_addr=where)
        self.transport = transport
        host, port = transport.get_extra_info("sockname")[:2]
        return host, port

    def close(self) -> None:
        """Close the socket."""
        if self.transport is not None:
            self.transport.close()
        if self.timer is not None:
            self.timer.cancel()

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Hand a datagram to the message layer."""
        self.layer.received(data, addr[:2])
        self._arm()

    def error_received(self, exc: Exception) -> None:
        """ICMP says that a client is gone; what it is owed is sent until its time is over."""
        self.layer.count("coap:icmp")

    def _send(self, data: bytes, peer: Peer) -> None:
        if self.transport is not None:
            self.transport.sendto(data, peer)

    def _arm(self) -> None:
        """Wake the layer when its next timer is due."""
        due = self.layer.next_ms()
        if due < self.timer_ms:
            if self.timer is not None:
                self.timer.cancel()
            self.timer_ms = due
            self.timer = self.loop.call_later(max(0.0, due - self.clock.now()) / 1000.0, self._woken)

    def _woken(self) -> None:
        self.timer, self.timer_ms = None, math.inf
        self.layer.woken()
        self._arm()

    # Requests.

    def _serve(self, exchange: Exchange, message: coap.Message) -> None:
        """A request that is new."""
        if not self._believed(exchange.peer, message):
            self._challenge(exchange, message)
            return
        try:
            request = options.request_of(message)
            caller = Caller(self, exchange, message, request)
            if self._in_blocks(caller, message):
                return
        except options.OptionError as fault:
            self.layer.answer(exchange, fault.code, payload=str(fault).encode())
            return
        request.read_ms = self.clock.now()
        if not request.id:
            request.id = "coap-" + secrets.token_hex(8)
        if not is_forwarded_path(request.target):
            self.layer.answer(exchange, coap.NOT_FOUND)
        elif self.draining:
            caller.answer(Status.REFUSED)  # before it reaches the module: nothing has run
        elif (wrong := self.driver.submit(request, caller)) is not None:
            self.layer.answer(exchange, coap.BAD_REQUEST, payload=wrong.encode())

    def _in_blocks(self, caller: Caller, message: coap.Message) -> bool:
        """Whether the request was one block of many and is answered as that; else its body is whole now."""
        now, block = self.clock.now(), blocks.block_of(message, coap.BLOCK1)
        if block is not None:
            body = self.transfers.body(caller.key, block, message.payload, now)
            if body is None:
                self.layer.answer(caller.exchange, coap.CONTINUE, [(coap.BLOCK1, block.value())])
                return True
            caller.request.body = body
        if caller.wanted.number:
            kept, told = self.transfers.kept(caller.key, now)
            more, payload = blocks.part(kept, caller.wanted)
            self.layer.answer(caller.exchange, self._code(caller), told + more, payload)
            return True
        return False

    def _code(self, caller: Caller) -> int:
        return coap.CONTENT if caller.request.method == b"GET" else coap.CHANGED

    def _challenge(self, exchange: Exchange, message: coap.Message) -> None:
        """Ask a peer to show that it receives at its address, in no more than three times what it sent."""
        value, exchange.ran = self._echo(exchange.peer), False
        if 4 + len(message.token) + 3 + len(value) > AMPLIFICATION * message.size:
            self.layer.answer(exchange, coap.BAD_REQUEST)
        else:
            self.layer.answer(exchange, coap.UNAUTHORIZED, [(coap.ECHO, value)])

    def answer(
        self,
        caller: Caller,
        status: Status,
        body: bytes,
        retry_after_ms: float,
        kind: bytes = b"",
    ) -> None:
        """A final answer, as a code."""
        if caller.exchange.message is None:
            return
        if caller.request.answer_header_lines:
            caller.told += options.of_lines(caller.request.answer_header_lines)
        if status is not Status.SERVED:
            told = self._come_back(retry_after_ms) if status is Status.REFUSED else []
            self.layer.answer(caller.exchange, CODES[status], caller.told + told)
            return
        told = options.format_of(kind)
        if len(body) > caller.wanted.size:
            self.transfers.keep(caller.key, body, self.clock.now(), told)
            more, body = blocks.part(body, caller.wanted)
            told = told + more
        self.layer.answer(caller.exchange, self._code(caller), caller.told + told, body)

    def _come_back(self, ms: float) -> list[tuple[int, bytes]]:
        """Max-Age in whole seconds, and our own option with the time in ms."""
        if ms <= 0.0:
            return [(coap.MAX_AGE, b"")]
        seconds = whole_seconds(ms, self.random.random())
        return [(coap.MAX_AGE, coap.uint_bytes(seconds)), (options.RETRY_AFTER, coap.uint_bytes(round(ms)))]

    # Who is who.

    def _believed(self, peer: Peer, message: coap.Message) -> bool:
        """Whether the peer has shown that it receives at its address."""
        now, since = self.clock.now(), self.peers.get(peer)
        if since is not None and now - since < PEER_MS:
            return True
        value = message.option(coap.ECHO)
        if value is None or not self._good(peer, value, now):
            return False
        self.peers[peer] = now
        self.peers.move_to_end(peer)
        while len(self.peers) > MAX_PEERS:
            self.peers.popitem(last=False)
        return True

    def _echo(self, peer: Peer) -> bytes:
        """A value that only who receives at that address can send back: a time, and a MAC of both."""
        stamp = int(self.clock.now()).to_bytes(8, "big")[3:]
        return stamp + self._mac(peer, stamp)

    def _mac(self, peer: Peer, stamp: bytes) -> bytes:
        words = b"%b %d %b" % (peer[0].encode(), peer[1], stamp)
        return hashlib.blake2b(words, key=self.secret, digest_size=7).digest()

    def _good(self, peer: Peer, value: bytes, now: float) -> bool:
        if len(value) != 12 or not hmac.compare_digest(value[5:], self._mac(peer, value[:5])):
            return False
        age = (int(now) - int.from_bytes(value[:5], "big")) & 0xFFFFFFFFFF
        return age <= ECHO_MS
