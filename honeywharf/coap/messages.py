"""The message layer of a CoAP server (RFC 7252, section 4), without sockets or clock.

Theory of operation. A request is known by its peer and message id for EXCHANGE_LIFETIME (NON_LIFETIME where
it is not confirmable), and what is known of it is one of

    OPEN      given to the front, nothing sent yet        a duplicate: nothing, the answer is on its way
    ACKED     as OPEN, an empty ACK has left               a duplicate: the ACK again
    ANSWERED  the answer was in the ACK, or a NON          a duplicate: the same datagram again
    SEPARATE  the answer left as a CON of its own          a duplicate: the ACK again
    a mark    that it has come, and no more                a duplicate: nothing

so that no duplicate ever reaches the front, and no lost reply needs the front again. An answered exchange
becomes a mark after MAX_TRANSMIT_SPAN, in which its client may send it again, or earlier where there are too
many, the one answered longest ago first; 247 s of whole exchanges are more than a proxy can hold at a few
hundred requests a second. A GET needs no mark: to run it again does no harm (4.5). A separate answer is sent
again (4.2) until it is acknowledged, reset, or MAX_RETRANSMIT is reached. Times are ms on the caller's clock.

Bounds: `most` open exchanges, `most_of_peer` of one peer; `most` answered ones and `most_bytes` of their
answers; `most` separate answers that are not acknowledged, beyond which the oldest is sent no more;
`most_marks`. What is refused is marked too: else a datagram that the network doubled could run after its
client was told that it had not. It has half of the marks, so that who sends what is only refused, from
made-up addresses too, leaves the rest to what has run. Without room for a mark it is dropped unanswered.
"""

from __future__ import annotations

import heapq
import random
from collections import OrderedDict
from collections.abc import Callable
from enum import Enum

from honeywharf.codecs import coap

Peer = tuple[str, int]
Key = tuple[Peer, int]  # a peer and a message id

ACK_TIMEOUT = 2000.0  # RFC 7252, 4.8, and 4.8.2 for what follows from them; ms
ACK_RANDOM_FACTOR = 1.5
MAX_RETRANSMIT = 4
MAX_LATENCY = 100_000.0
MAX_TRANSMIT_SPAN = ACK_TIMEOUT * (2**MAX_RETRANSMIT - 1) * ACK_RANDOM_FACTOR
EXCHANGE_LIFETIME = MAX_TRANSMIT_SPAN + 2 * MAX_LATENCY + ACK_TIMEOUT
NON_LIFETIME = MAX_TRANSMIT_SPAN + MAX_LATENCY
ACK_AFTER = ACK_TIMEOUT / 4  # an answer that takes longer comes by itself, behind an empty ACK
MARKS_SPAN = 30_000.0  # marks are forgotten in groups that expire within so long
NO_DEADLINE = float("inf")


class State(Enum):
    """What is known of a request, beyond a mark."""

    OPEN = "open"
    ACKED = "acked"
    ANSWERED = "answered"
    SEPARATE = "separate"


class Exchange:
    """One request of one peer. `data`: the datagram that answers a duplicate."""

    __slots__ = (
        "answered_ms",
        "data",
        "expires_ms",
        "message",
        "mid",
        "peer",
        "ran",
        "safe",
        "sent",
        "state",
        "wait_ms",
    )

    def __init__(self, peer: Peer, message: coap.Message, expires_ms: float) -> None:
        self.peer, self.expires_ms, self.answered_ms = peer, expires_ms, 0.0
        self.safe = message.code == coap.GET
        self.ran = True  # may have; the front says so where it has refused it
        self.message: coap.Message | None = message  # while it is open
        self.state = State.OPEN
        self.data = b""
        self.mid = message.mid
        self.sent = 0  # transmissions of a separate answer
        self.wait_ms = 0.0  # until the next of them


class Layer:
    """All exchanges on one socket. `send` writes a datagram; `serve` is given each request once."""

    def __init__(
        self,
        clock: Callable[[], float],
        send: Callable[[bytes, Peer], None],
        serve: Callable[[Exchange, coap.Message], None],
        seed: int,
        *,
        most: int = 8192,
        most_bytes: int = 8 * 1024 * 1024,
        most_of_peer: int = 64,
        most_marks: int = 262_144,
    ) -> None:
        self.clock, self.send, self.serve = clock, send, serve
        self.most, self.most_bytes = most, most_bytes
        self.most_of_peer, self.most_marks = most_of_peer, most_marks
        self.random = random.Random(seed)
        self.next_mid = self.random.randrange(65536)  # guards a restart: ids of before are not used again
        self.open: dict[Key, Exchange] = {}
        self.open_of: dict[Peer, int] = {}
        self.done: OrderedDict[Key, Exchange] = OrderedDict()  # the one answered longest ago first
        self.done_bytes = 0
        self.marks: dict[int, set[int]] = {}  # hashes of keys, by the span of time in which they expire
        self.marked = 0
        self.resend: dict[Key, Exchange] = {}  # separate answers, by the id of their CON
        # What is to be done when: an open exchange's ACK, and answers sent again.
        self.due: list[tuple[float, int, Exchange | Resend]] = []
        self.serial = 0
        self.counts: dict[str, int] = {}

    def count(self, what: str) -> None:
        """One more of it, for the operator's line."""
        self.counts[what] = self.counts.get(what, 0) + 1

    # Datagrams.

    def received(self, data: bytes, peer: Peer) -> None:
        """Take a datagram."""
        now = self.clock()
        self.expire(now)
        try:
            message = coap.decode(data)
        except coap.MalformedError as fault:
            self.count("coap:malformed")
            if fault.mtype == coap.CON:  # 4.2: a CON that can't be processed is rejected
                self._send(coap.Message(coap.RST, coap.EMPTY, fault.mid), peer)
            return
        if message.mtype in (coap.ACK, coap.RST):
            self._settled(message, peer)
        elif message.is_request():
            self._request(message, peer, now)
        elif message.mtype == coap.CON:  # a ping (4.3), or a response that nobody asked for
            self._send(coap.Message(coap.RST, coap.EMPTY, message.mid), peer)

    def _send(self, message: coap.Message, peer: Peer) -> None:
        self.send(coap.encode(message), peer)

    def _request(self, message: coap.Message, peer: Peer, now: float) -> None:
        key = (peer, message.mid)
        known = self.open.get(key) or self.done.get(key)
        if known is not None:
            self.count("coap:duplicate")
            if known.data:
                self.send(known.data, peer)
            return
        if self._is_marked(key):
            self.count("coap:late duplicate")
            return
        confirmable = message.mtype == coap.CON
        expires = now + (EXCHANGE_LIFETIME if confirmable else NON_LIFETIME)
        if len(self.open) >= self.most or self.open_of.get(peer, 0) >= self.most_of_peer:
            self._turn_away(message, key, expires)
            return
        exchange = self.open[key] = Exchange(peer, message, expires)
        self.open_of[peer] = self.open_of.get(peer, 0) + 1
        if confirmable:
            self._at(now + ACK_AFTER, exchange)
        self.serve(exchange, message)

    def _turn_away(self, message: coap.Message, key: Key, expires_ms: float) -> None:
        """Refuse a request unseen; in silence where it can't be remembered that it was."""
        if not self._mark(key, expires_ms, self.most_marks // 2):
            self.count("coap:dropped")
            return
        self.count("coap:turned away")
        told = [(coap.MAX_AGE, b"\x02")]
        self._send(self._reply(message, coap.SERVICE_UNAVAILABLE, told, b""), key[0])

    # Marks.

    def _mark(self, key: Key, expires_ms: float, most: int) -> bool:
        """Remember of a request that it has come, and no more; False where there are `most` marks."""
        if self.marked >= most:
            return False
        group = self.marks.setdefault(int(expires_ms // MARKS_SPAN), set())
        before = len(group)
        group.add(hash(key))
        self.marked += len(group) - before
        return True

    def _is_marked(self, key: Key) -> bool:
        if not self.marked:
            return False
        name = hash(key)
        return any(name in group for group in self.marks.values())

    def _to_mark(self) -> None:
        """Keep no more of the exchange that was answered longest ago than that it came."""
        key, exchange = self.done.popitem(last=False)
        self.done_bytes -= len(exchange.data)
        most = self.most_marks if exchange.ran else self.most_marks // 2
        if not exchange.safe and not self._mark(key, exchange.expires_ms, most):
            # 247 s of orders that no table holds. Its client has stopped sending; the network may not have.
            self.count("coap:forgotten")

    # Answers.

    def _reply(
        self,
        message: coap.Message,
        code: int,
        options: list[tuple[int, bytes]],
        payload: bytes,
    ) -> coap.Message:
        """An answer in the ACK of a CON, or a NON to a NON (5.2.1, 5.2.3)."""
        if message.mtype == coap.CON:
            return coap.Message(coap.ACK, code, message.mid, message.token, options, payload)
        return coap.Message(coap.NON, code, self._mid(), message.token, options, payload)

    def _mid(self) -> int:
        self.next_mid = (self.next_mid + 1) & 0xFFFF
        return self.next_mid

    def answer(
        self,
        exchange: Exchange,
        code: int,
        options: list[tuple[int, bytes]] | None = None,
        payload: bytes = b"",
    ) -> None:
        """The one answer to a request: in its ACK, or where that has left, as a CON of its own."""
        message, options = exchange.message, options if options is not None else []
        if message is None:
            raise ValueError("coap: a request has one answer")
        exchange.message, exchange.answered_ms = None, self.clock()
        key = (exchange.peer, exchange.mid)
        del self.open[key]
        self.done[key] = exchange
        left = self.open_of[exchange.peer] - 1
        if left:
            self.open_of[exchange.peer] = left
        else:
            del self.open_of[exchange.peer]
        if exchange.state is State.OPEN:
            exchange.state = State.ANSWERED
            exchange.data = data = coap.encode(self._reply(message, code, options, payload))
            self._keep(exchange)
            self.send(data, exchange.peer)
            return
        self._keep(exchange)
        exchange.state = State.SEPARATE
        mid = self._free_mid(exchange.peer)
        if mid < 0:
            self.count("coap:no message id")  # 65,536 answers are out to this peer
            return
        data = coap.encode(coap.Message(coap.CON, code, mid, message.token, options, payload))
        exchange.wait_ms = ACK_TIMEOUT * self.random.uniform(1.0, ACK_RANDOM_FACTOR)
        self.resend[(exchange.peer, mid)] = exchange
        if len(self.resend) > self.most:
            del self.resend[next(iter(self.resend))]
            self.count("coap:not acknowledged")
        self._transmit(exchange, mid, data)

    def _keep(self, exchange: Exchange) -> None:
        """Count what an answered exchange holds, within the bounds."""
        self.done_bytes += len(exchange.data)
        while self.done and (len(self.done) > self.most or self.done_bytes > self.most_bytes):
            self._to_mark()

    def _free_mid(self, peer: Peer) -> int:
        """An id that no separate answer to this peer is out under (4.4)."""
        for _ in range(65536):
            mid = self._mid()
            if (peer, mid) not in self.resend:
                return mid
        return -1

    def _transmit(self, exchange: Exchange, mid: int, data: bytes) -> None:
        """Send a separate answer, and again later."""
        exchange.sent += 1
        self.send(data, exchange.peer)
        self._at(self.clock() + exchange.wait_ms, Resend(exchange, mid, data))
        exchange.wait_ms *= 2.0

    def _settled(self, message: coap.Message, peer: Peer) -> None:
        """An ACK or RST ends the sending of a separate answer."""
        exchange = self.resend.pop((peer, message.mid), None)
        if exchange is not None and message.mtype == coap.RST:
            self.count("coap:reset")

    # Time.

    def _at(self, due_ms: float, what: Exchange | Resend) -> None:
        self.serial += 1
        heapq.heappush(self.due, (due_ms, self.serial, what))

    def next_ms(self) -> float:
        """When `woken` is to be called next; infinity where nothing waits."""
        return self.due[0][0] if self.due else NO_DEADLINE

    def woken(self) -> None:
        """Time has passed: acknowledge what is still open, and send again what was not acknowledged."""
        now = self.clock()
        while self.due and self.due[0][0] <= now:
            what = heapq.heappop(self.due)[2]
            if isinstance(what, Resend):
                self._again(what)
            elif what.state is State.OPEN and what.message is not None:
                what.state = State.ACKED
                what.data = coap.encode(coap.Message(coap.ACK, coap.EMPTY, what.mid))
                self.send(what.data, what.peer)
        self.expire(now)

    def _again(self, what: Resend) -> None:
        exchange, key = what.exchange, (what.exchange.peer, what.mid)
        if self.resend.get(key) is not exchange:
            return
        if exchange.sent > MAX_RETRANSMIT:
            del self.resend[key]
            self.count("coap:not acknowledged")
            return
        self._transmit(exchange, what.mid, what.data)

    def expire(self, now: float) -> None:
        """Forget what is over. An exchange that is still open stays until it is answered."""
        while self.done:
            first = next(iter(self.done.values()))
            if first.answered_ms > now - MAX_TRANSMIT_SPAN:
                break
            self._to_mark()
        span = int(now // MARKS_SPAN)
        for group in [group for group in self.marks if group < span]:
            self.marked -= len(self.marks.pop(group))


class Resend:
    """A separate answer that is sent until it is acknowledged."""

    __slots__ = ("data", "exchange", "mid")

    def __init__(self, exchange: Exchange, mid: int, data: bytes) -> None:
        self.exchange, self.mid, self.data = exchange, mid, data
