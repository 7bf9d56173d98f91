"""The message layer of a CoAP client towards one node (RFC 7252, section 4), without sockets or clock.

Theory of operation. A request waits in line until fewer than NSTART are out (4.7: written, and neither
acknowledged nor answered), is sent as a CON, again (4.2) until it is acknowledged or answered, and ends once:

    ANSWERED     a response with its token came, alone or in the ACK
    RESET        RST, and it was sent once: the node has not taken it. Of one sent again it proves nothing:
                 the process that had the first may be gone, and the next does not know of it
    UNREACHABLE  ICMP, and it was all that the socket ever sent: it never arrived
    LOST         any other RST or ICMP, or never acknowledged: it may have run. We are not told which datagram
                 ICMP is about: one that came late must not speak for a later request, which may have arrived
    UNSENT       no room in the line, or its time ended while it waited there
    PROBING      never written: the node has been silent since a request was lost, and what has been sent to
                 it since has used up what PROBING_RATE allows (4.7)

The caller gives up what takes too long. Times are ms on the caller's clock. Bounds: `most_waiting` in line.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from enum import Enum

from honeywharf.coap.messages import ACK_RANDOM_FACTOR, ACK_TIMEOUT, MAX_RETRANSMIT, NO_DEADLINE
from honeywharf.codecs import coap

NSTART = 1  # RFC 7252, 4.8
PROBING_RATE = 1.0  # bytes a second, on the mean, to a node that does not respond; RFC 7252, 4.8
MAX_WAITING = 256
HEARD_MOST = 64  # message ids of the last separate answers: a duplicate is acknowledged again, and no more
UNSENT_MS = 5.0  # so long before its end what still waits in line is told to be unsent


class End(Enum):
    """How a request ended."""

    ANSWERED = "answered"
    RESET = "reset"
    UNREACHABLE = "unreachable"
    LOST = "lost"
    UNSENT = "unsent"
    PROBING = "probing"


Ended = Callable[[End, coap.Message | None], None]


class Asked:
    """One request to the node."""

    __slots__ = (
        "acked",
        "done",
        "due_ms",
        "ended",
        "message",
        "most_sent",
        "probing",
        "sent",
        "until_ms",
        "wait_ms",
    )

    def __init__(self, message: coap.Message, until_ms: float, ended: Ended, most_sent: int) -> None:
        self.message, self.until_ms, self.ended, self.most_sent = message, until_ms, ended, most_sent
        self.sent, self.wait_ms, self.due_ms = 0, 0.0, until_ms - UNSENT_MS
        self.acked = self.done = self.probing = False


class Client:
    """All requests to one node."""

    def __init__(
        self,
        clock: Callable[[], float],
        send: Callable[[bytes], None],
        seed: int,
        nstart: int = NSTART,
        most_waiting: int = MAX_WAITING,
        probing_rate: float = PROBING_RATE,
    ) -> None:
        self.clock, self.send, self.nstart, self.most_waiting = clock, send, nstart, most_waiting
        self.random = random.Random(seed)
        self.next_mid = self.random.randrange(65536)
        self.next_token = self.random.getrandbits(32)  # guards a restart: an answer to a request of before
        self.paused = True  # until there is a socket
        self.written = 0  # datagrams, by the present one
        self.waiting: deque[Asked] = deque()
        self.out: dict[bytes, Asked] = {}  # written, by token
        self.by_mid: dict[int, Asked] = {}  # those not acknowledged yet
        self.probing_rate = probing_rate
        self.silent = False  # a request was lost, and nothing has come since
        self.probe_ms = 0.0  # while it is silent: what was sent is paid for then
        self.held_back = 0  # requests that PROBING_RATE has kept from being written
        self.heard: deque[int] = deque(maxlen=HEARD_MOST)

    def ask(
        self,
        code: int,
        options: list[tuple[int, bytes]],
        payload: bytes,
        until_ms: float,
        ended: Ended,
        *,
        again: bool = True,
    ) -> Asked:
        """Send a request when there is room; `ended` is called once, never from within.

        `again`: whether it may be sent more than once. A node that has started anew does not know the message
        id, and would run it a second time.
        """
        most_sent = 1 + MAX_RETRANSMIT if again else 1
        asked = Asked(coap.Message(coap.CON, code, 0, b"", options, payload), until_ms, ended, most_sent)
        self.waiting.append(asked)
        self._fill()
        return asked

    def full(self) -> bool:
        """Whether the line takes no more."""
        return len(self.waiting) >= self.most_waiting

    def give_up(self, asked: Asked) -> None:
        """Nobody waits for it any more; `ended` is not called."""
        asked.done = True
        self._leave(asked)
        self._fill()

    def _leave(self, asked: Asked) -> None:
        if self.out.get(asked.message.token) is asked:
            del self.out[asked.message.token]
        if self.by_mid.get(asked.message.mid) is asked:
            del self.by_mid[asked.message.mid]
        if not asked.sent and asked in self.waiting:
            self.waiting.remove(asked)

    def _end(self, asked: Asked, how: End, message: coap.Message | None = None) -> None:
        if not asked.done:
            asked.done = True
            self._leave(asked)
            asked.ended(how, message)

    def _fill(self) -> None:
        """Write what is first in line while fewer than NSTART are out unacknowledged."""
        while self.waiting and len(self.by_mid) < self.nstart and not self.paused:
            if self.silent and self.clock() < self.probe_ms:
                for asked in self.waiting:  # told when time is asked for next, as never from within
                    asked.probing, asked.due_ms = True, 0.0
                return
            asked = self.waiting.popleft()
            self.next_token = (self.next_token + 1) & 0xFFFFFFFF
            while self.next_mid in self.by_mid:
                self.next_mid = (self.next_mid + 1) & 0xFFFF
            message = asked.message
            message.mid, message.token = self.next_mid, self.next_token.to_bytes(4, "big")
            self.next_mid = (self.next_mid + 1) & 0xFFFF
            self.out[message.token] = self.by_mid[message.mid] = asked
            asked.wait_ms = ACK_TIMEOUT * self.random.uniform(1.0, ACK_RANDOM_FACTOR)
            self._write(asked)

    def _write(self, asked: Asked) -> None:
        asked.sent += 1
        asked.due_ms = self.clock() + asked.wait_ms
        asked.wait_ms *= 2.0
        self._send(asked.message)

    def _send(self, message: coap.Message) -> None:
        self.written += 1
        data = coap.encode(message)
        if self.silent:
            self.probe_ms = max(self.probe_ms, self.clock()) + len(data) / self.probing_rate * 1000.0
        self.send(data)

    def resume(self) -> None:
        """There is a socket, which has sent nothing yet."""
        self.paused, self.written = False, 0
        self._fill()

    def none(self) -> None:
        """No socket can be had: what waits is unsent."""
        for asked in list(self.waiting):
            self._end(asked, End.UNSENT)

    # What comes.

    def received(self, data: bytes) -> None:
        """Take a datagram of the node."""
        self.silent = False
        try:
            message = coap.decode(data)
        except coap.MalformedError as fault:
            if fault.mtype == coap.CON:
                self._send(coap.Message(coap.RST, coap.EMPTY, fault.mid))
            return
        if message.mtype in (coap.ACK, coap.RST):
            asked = self.by_mid.get(message.mid)
            if asked is None:
                return
            del self.by_mid[message.mid]
            if message.mtype == coap.RST:
                self._end(asked, End.RESET if asked.sent == 1 else End.LOST)
            elif message.code == coap.EMPTY:
                asked.acked, asked.due_ms = True, NO_DEADLINE
            elif message.token == asked.message.token:
                self._end(asked, End.ANSWERED, message)
            self._fill()
            return
        asked = self.out.get(message.token) if message.code >= 0x40 else None
        if message.mtype == coap.CON:
            kind = coap.ACK if asked is not None or message.mid in self.heard else coap.RST
            self._send(coap.Message(kind, coap.EMPTY, message.mid))
            if asked is not None:
                self.heard.append(message.mid)
        if asked is not None:
            self._end(asked, End.ANSWERED, message)
            self._fill()

    def unreachable(self) -> None:
        """ICMP says that nothing listens there. Paused from now on: what follows has a socket of its own."""
        self.paused = True
        how = End.UNREACHABLE if self.written == 1 else End.LOST
        for asked in list(self.out.values()):
            self._end(asked, how)

    # Time.

    def next_ms(self) -> float:
        """When `woken` is to be called next."""
        due = min((a.due_ms for a in self.by_mid.values()), default=NO_DEADLINE)
        return min(due, min((a.due_ms for a in self.waiting), default=NO_DEADLINE))

    def woken(self) -> None:
        """Time has passed: send again, and tell what never left."""
        now = self.clock()
        for asked in [a for a in self.waiting if a.due_ms <= now]:
            self.held_back += asked.probing
            self._end(asked, End.PROBING if asked.probing else End.UNSENT)
        for asked in [a for a in self.by_mid.values() if a.due_ms <= now]:
            if asked.sent >= asked.most_sent:
                if not self.silent:
                    self.silent, self.probe_ms = True, now
                self._end(asked, End.LOST)
            else:
                self._write(asked)
        self._fill()
