"""The message layer of a CoAP server (RFC 7252, section 4), without sockets or clock.

Theory of operation. A request is identified by its peer and message id for EXCHANGE_LIFETIME (NON_LIFETIME if
it is non-confirmable). Its state determines the reply to a duplicate:

    OPEN      passed to the front, nothing sent yet         nothing, as the response is pending
    ACKED     as OPEN, an empty ACK is sent                 the ACK again
    ANSWERED  the response was in the ACK, or a NON         the same datagram again
    SEPARATE  the response was sent in a CON of its own     the ACK again
    seen id   only its message id is remembered             nothing

No duplicate ever reaches the front, and no lost reply needs the front again. An answered exchange is reduced
to a seen id after MAX_TRANSMIT_SPAN, in which its client may retransmit it, or earlier where there are too
many, the one answered longest ago first: at a few hundred requests per second, a proxy cannot store the
complete exchanges of 247 s. A GET needs no seen id, as it may run again (4.5). A separate response is
retransmitted (4.2) until it is acknowledged, reset, or MAX_RETRANSMIT is reached. Times are in ms on the
caller's clock.

Bounds: `max_exchanges` open exchanges, `max_exchanges_per_peer` of one peer; `max_exchanges` answered ones
and `max_bytes` of their responses; `max_exchanges` unacknowledged separate responses, beyond which the oldest
is no longer retransmitted; `max_seen_ids`. The id of a rejected request is remembered too: otherwise a
datagram that the network duplicated could run after its client was told that it had not. Rejected requests
may use half of the seen ids: a sender whose requests are only rejected, also from forged addresses, leaves
the rest to requests that have run. A request to be rejected is dropped without a reply if its id cannot be
remembered.
"""

from __future__ import annotations

import heapq
import random
from collections import OrderedDict
from collections.abc import Callable
from enum import Enum

from honeywharf.codecs import coap

Peer = tuple[str, int]
Key = tuple[Peer, int]  # peer and message id

# The transmission parameters of RFC 7252, 4.8, and the times derived from them (4.8.2), in ms.
ACK_TIMEOUT = 2000.0
ACK_RANDOM_FACTOR = 1.5
MAX_RETRANSMIT = 4
MAX_LATENCY = 100_000.0
MAX_TRANSMIT_SPAN = ACK_TIMEOUT * (2**MAX_RETRANSMIT - 1) * ACK_RANDOM_FACTOR
EXCHANGE_LIFETIME = MAX_TRANSMIT_SPAN + 2 * MAX_LATENCY + ACK_TIMEOUT
NON_LIFETIME = MAX_TRANSMIT_SPAN + MAX_LATENCY
ACK_DELAY_MS = ACK_TIMEOUT / 4  # a later response is sent separately, after an empty ACK
SEEN_GROUP_SPAN_MS = 30_000.0  # seen ids expire in groups of this span
NO_DEADLINE = float("inf")


class State(Enum):
    """The state of an exchange."""

    OPEN = "open"
    ACKED = "acked"
    ANSWERED = "answered"
    SEPARATE = "separate"


class Exchange:
    """One request of one peer. `data` is the datagram that answers a duplicate."""

    __slots__ = (
        "answered_ms",
        "data",
        "expires_ms",
        "is_safe",
        "may_have_run",
        "message",
        "mid",
        "peer",
        "retransmit_after_ms",
        "state",
        "transmissions",
    )

    def __init__(self, peer: Peer, message: coap.Message, expires_ms: float) -> None:
        self.peer, self.expires_ms, self.answered_ms = peer, expires_ms, 0.0
        self.is_safe = message.code == coap.GET
        self.may_have_run = True  # the front clears it when it rejects the request
        self.message: coap.Message | None = message  # while it is open
        self.state = State.OPEN
        self.data = b""
        self.mid = message.mid
        self.transmissions = 0  # transmissions of a separate response
        self.retransmit_after_ms = 0.0  # interval before the next transmission


class MessageLayer:
    """The exchanges on one socket. `send` writes a datagram; `serve` is called once for each request."""

    def __init__(
        self,
        clock: Callable[[], float],
        send: Callable[[bytes, Peer], None],
        serve: Callable[[Exchange, coap.Message], None],
        seed: int,
        *,
        max_exchanges: int = 8192,
        max_bytes: int = 8 * 1024 * 1024,
        max_exchanges_per_peer: int = 64,
        max_seen_ids: int = 262_144,
    ) -> None:
        self.clock, self.send, self.serve = clock, send, serve
        self.max_exchanges, self.max_bytes = max_exchanges, max_bytes
        self.max_exchanges_per_peer, self.max_seen_ids = max_exchanges_per_peer, max_seen_ids
        self.random = random.Random(seed)
        self.next_mid = self.random.randrange(65536)  # random, so that a restart does not reuse recent ids
        self.open: dict[Key, Exchange] = {}
        self.open_count_by_peer: dict[Peer, int] = {}
        self.answered: OrderedDict[Key, Exchange] = OrderedDict()  # the one answered longest ago first
        self.answered_bytes = 0
        self.seen_ids: dict[int, set[int]] = {}  # hashes of keys by span of expiry
        self.seen_count = 0
        self.separate_responses: dict[Key, Exchange] = {}  # keyed by peer and id of the CON
        # Due times of the ACKs of open exchanges and of retransmissions.
        self.timers: list[tuple[float, int, Exchange | Retransmission]] = []
        self.serial = 0
        self.counts: dict[str, int] = {}

    def count(self, counter: str) -> None:
        """Increments a counter."""
        self.counts[counter] = self.counts.get(counter, 0) + 1

    # Datagrams.

    def received(self, data: bytes, peer: Peer) -> None:
        """Handles a datagram."""
        now = self.clock()
        self.expire(now)
        try:
            message = coap.decode(data)
        except coap.MalformedError as fault:
            self.count("coap:malformed")
            if fault.mtype == coap.CON:  # RFC 7252, 4.2: a CON that cannot be processed is rejected
                self._send(coap.Message(coap.RST, coap.EMPTY, fault.mid), peer)
            return
        if message.mtype in (coap.ACK, coap.RST):
            self._handle_ack_or_reset(message, peer)
        elif message.is_request():
            self._request(message, peer, now)
        elif message.mtype == coap.CON:  # a ping (RFC 7252, 4.3) or an unexpected response
            self._send(coap.Message(coap.RST, coap.EMPTY, message.mid), peer)

    def _send(self, message: coap.Message, peer: Peer) -> None:
        self.send(coap.encode(message), peer)

    def _request(self, message: coap.Message, peer: Peer, now: float) -> None:
        key = (peer, message.mid)
        known = self.open.get(key) or self.answered.get(key)
        if known is not None:
            self.count("coap:duplicate")
            if known.data:
                self.send(known.data, peer)
            return
        if self._is_seen(key):
            self.count("coap:late duplicate")
            return
        confirmable = message.mtype == coap.CON
        expires = now + (EXCHANGE_LIFETIME if confirmable else NON_LIFETIME)
        if (
            len(self.open) >= self.max_exchanges
            or self.open_count_by_peer.get(peer, 0) >= self.max_exchanges_per_peer
        ):
            self._reject_overload(message, key, expires)
            return
        exchange = self.open[key] = Exchange(peer, message, expires)
        self.open_count_by_peer[peer] = self.open_count_by_peer.get(peer, 0) + 1
        if confirmable:
            self._schedule(now + ACK_DELAY_MS, exchange)
        self.serve(exchange, message)

    def _reject_overload(self, message: coap.Message, key: Key, expires_ms: float) -> None:
        """Rejects a request under overload; drops it without a reply if its id cannot be remembered."""
        if not self._remember_id(key, expires_ms, self.max_seen_ids // 2):
            self.count("coap:dropped")
            return
        self.count("coap:turned away")
        options = [(coap.MAX_AGE, b"\x02")]
        self._send(self._reply(message, coap.SERVICE_UNAVAILABLE, options, b""), key[0])

    # Seen ids.

    def _remember_id(self, key: Key, expires_ms: float, max_ids: int) -> bool:
        """Remembers the id of a request; False if `max_ids` ids are remembered already."""
        if self.seen_count >= max_ids:
            return False
        group = self.seen_ids.setdefault(int(expires_ms // SEEN_GROUP_SPAN_MS), set())
        before = len(group)
        group.add(hash(key))
        self.seen_count += len(group) - before
        return True

    def _is_seen(self, key: Key) -> bool:
        if not self.seen_count:
            return False
        key_hash = hash(key)
        return any(key_hash in group for group in self.seen_ids.values())

    def _reduce_to_seen_id(self) -> None:
        """Reduces the exchange answered longest ago to its id."""
        key, exchange = self.answered.popitem(last=False)
        self.answered_bytes -= len(exchange.data)
        max_ids = self.max_seen_ids if exchange.may_have_run else self.max_seen_ids // 2
        if not exchange.is_safe and not self._remember_id(key, exchange.expires_ms, max_ids):
            # More ids in 247 s than can be remembered. The client has stopped retransmitting this one, but
            # the network may still deliver a duplicate.
            self.count("coap:forgotten")

    # Responses.

    def _reply(
        self,
        message: coap.Message,
        code: int,
        options: list[tuple[int, bytes]],
        payload: bytes,
    ) -> coap.Message:
        """Returns a response in the ACK of a CON, or a NON to a NON (RFC 7252, 5.2.1 and 5.2.3)."""
        if message.mtype == coap.CON:
            return coap.Message(coap.ACK, code, message.mid, message.token, options, payload)
        return coap.Message(coap.NON, code, self._next_mid(), message.token, options, payload)

    def _next_mid(self) -> int:
        self.next_mid = (self.next_mid + 1) & 0xFFFF
        return self.next_mid

    def answer(
        self,
        exchange: Exchange,
        code: int,
        options: list[tuple[int, bytes]] | None = None,
        payload: bytes = b"",
    ) -> None:
        """Sends the response to a request: in its ACK, or in a separate CON if an ACK was sent."""
        message, options = exchange.message, options if options is not None else []
        if message is None:
            raise ValueError("coap exchange: expected one response, got another")
        exchange.message, exchange.answered_ms = None, self.clock()
        key = (exchange.peer, exchange.mid)
        del self.open[key]
        self.answered[key] = exchange
        open_count = self.open_count_by_peer[exchange.peer] - 1
        if open_count:
            self.open_count_by_peer[exchange.peer] = open_count
        else:
            del self.open_count_by_peer[exchange.peer]
        if exchange.state is State.OPEN:
            exchange.state = State.ANSWERED
            exchange.data = data = coap.encode(self._reply(message, code, options, payload))
            self._account_answered(exchange)
            self.send(data, exchange.peer)
            return
        self._account_answered(exchange)
        exchange.state = State.SEPARATE
        mid = self._free_mid(exchange.peer)
        if mid < 0:
            self.count("coap:no message id")  # 65,536 responses to this peer are unacknowledged
            return
        data = coap.encode(coap.Message(coap.CON, code, mid, message.token, options, payload))
        exchange.retransmit_after_ms = ACK_TIMEOUT * self.random.uniform(1.0, ACK_RANDOM_FACTOR)
        self.separate_responses[(exchange.peer, mid)] = exchange
        if len(self.separate_responses) > self.max_exchanges:
            del self.separate_responses[next(iter(self.separate_responses))]
            self.count("coap:not acknowledged")
        self._transmit(exchange, mid, data)

    def _account_answered(self, exchange: Exchange) -> None:
        """Accounts for an answered exchange and enforces the limits."""
        self.answered_bytes += len(exchange.data)
        while self.answered and (
            len(self.answered) > self.max_exchanges or self.answered_bytes > self.max_bytes
        ):
            self._reduce_to_seen_id()

    def _free_mid(self, peer: Peer) -> int:
        """Returns a message id that no response to this peer is pending under (RFC 7252, 4.4), or -1."""
        for _ in range(65536):
            mid = self._next_mid()
            if (peer, mid) not in self.separate_responses:
                return mid
        return -1

    def _transmit(self, exchange: Exchange, mid: int, data: bytes) -> None:
        """Sends a separate response and schedules its retransmission."""
        exchange.transmissions += 1
        self.send(data, exchange.peer)
        self._schedule(self.clock() + exchange.retransmit_after_ms, Retransmission(exchange, mid, data))
        exchange.retransmit_after_ms *= 2.0

    def _handle_ack_or_reset(self, message: coap.Message, peer: Peer) -> None:
        """Stops the retransmission of a separate response after an ACK or RST."""
        exchange = self.separate_responses.pop((peer, message.mid), None)
        if exchange is not None and message.mtype == coap.RST:
            self.count("coap:reset")

    # Timers.

    def _schedule(self, due_ms: float, item: Exchange | Retransmission) -> None:
        self.serial += 1
        heapq.heappush(self.timers, (due_ms, self.serial, item))

    def next_timer_ms(self) -> float:
        """Returns when `handle_timers` is due; infinity without a timer."""
        return self.timers[0][0] if self.timers else NO_DEADLINE

    def handle_timers(self) -> None:
        """Acknowledges exchanges that are still open, and retransmits unacknowledged responses."""
        now = self.clock()
        while self.timers and self.timers[0][0] <= now:
            item = heapq.heappop(self.timers)[2]
            if isinstance(item, Retransmission):
                self._retransmit(item)
            elif item.state is State.OPEN and item.message is not None:
                item.state = State.ACKED
                item.data = coap.encode(coap.Message(coap.ACK, coap.EMPTY, item.mid))
                self.send(item.data, item.peer)
        self.expire(now)

    def _retransmit(self, item: Retransmission) -> None:
        exchange, key = item.exchange, (item.exchange.peer, item.mid)
        if self.separate_responses.get(key) is not exchange:
            return
        if exchange.transmissions > MAX_RETRANSMIT:
            del self.separate_responses[key]
            self.count("coap:not acknowledged")
            return
        self._transmit(exchange, item.mid, item.data)

    def expire(self, now: float) -> None:
        """Drops expired state. An open exchange stays until it is answered."""
        while self.answered:
            first = next(iter(self.answered.values()))
            if first.answered_ms > now - MAX_TRANSMIT_SPAN:
                break
            self._reduce_to_seen_id()
        span = int(now // SEEN_GROUP_SPAN_MS)
        for group in [group for group in self.seen_ids if group < span]:
            self.seen_count -= len(self.seen_ids.pop(group))


class Retransmission:
    """A separate response that is retransmitted until it is acknowledged."""

    __slots__ = ("data", "exchange", "mid")

    def __init__(self, exchange: Exchange, mid: int, data: bytes) -> None:
        self.exchange, self.mid, self.data = exchange, mid, data
