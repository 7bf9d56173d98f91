"""The message layer of a CoAP client towards one node (RFC 7252, section 4), without sockets or clock.

Theory of operation. A request waits until fewer than NSTART are outstanding (4.7: sent, and neither
acknowledged nor answered). It is sent as a CON, retransmitted (4.2) until it is acknowledged or answered, and
ends once:

    ANSWERED     a response with its token came, alone or in the ACK
    RESET        RST, and it was sent once: the node has not taken it. If it was retransmitted, an RST proves
                 nothing: the process that had the first may be gone, and the next does not know of it
    UNREACHABLE  ICMP, and it was all that the socket ever sent: it never arrived
    LOST         any other RST or ICMP, or never acknowledged: it may have run. ICMP does not identify the
                 datagram: a late one must not apply to a later request, which may have arrived
    UNSENT       the queue was full, or its time ended while it waited there
    PROBING      never sent: the node has been silent since a request was lost, and what has been sent to it
                 since has used up what PROBING_RATE allows (4.7)

The caller cancels requests that take too long. Times are in ms on the caller's clock. Bounds: `max_waiting`
queued requests.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from enum import Enum

from honeywharf.coap.messages import ACK_RANDOM_FACTOR, ACK_TIMEOUT, MAX_RETRANSMIT, NO_DEADLINE
from honeywharf.codecs import coap

NSTART = 1  # RFC 7252, 4.8
PROBING_RATE = 1.0  # RFC 7252, 4.8: mean bytes per second to a node that does not respond
MAX_WAITING = 256
MAX_RECENT_CON_IDS = 64  # duplicates of this many separate responses are acknowledged again
UNSENT_MARGIN_MS = 5.0  # a queued request ends as UNSENT this long before its time-out


class RequestEnd(Enum):
    """How a request ended."""

    ANSWERED = "answered"
    RESET = "reset"
    UNREACHABLE = "unreachable"
    LOST = "lost"
    UNSENT = "unsent"
    PROBING = "probing"


OnEnded = Callable[[RequestEnd, coap.Message | None], None]


class PendingRequest:
    """One request to the node."""

    __slots__ = (
        "blocked_by_probing_rate",
        "done",
        "due_ms",
        "ended",
        "is_acknowledged",
        "max_transmissions",
        "message",
        "retransmit_after_ms",
        "transmissions",
        "until_ms",
    )

    def __init__(
        self, message: coap.Message, until_ms: float, ended: OnEnded, max_transmissions: int
    ) -> None:
        self.message, self.until_ms, self.ended, self.max_transmissions = (
            message,
            until_ms,
            ended,
            max_transmissions,
        )
        self.transmissions, self.retransmit_after_ms, self.due_ms = 0, 0.0, until_ms - UNSENT_MARGIN_MS
        self.is_acknowledged = self.done = self.blocked_by_probing_rate = False


class Client:
    """All requests to one node."""

    def __init__(
        self,
        clock: Callable[[], float],
        send: Callable[[bytes], None],
        seed: int,
        nstart: int = NSTART,
        max_waiting: int = MAX_WAITING,
        probing_rate: float = PROBING_RATE,
    ) -> None:
        self.clock, self.send, self.nstart, self.max_waiting = clock, send, nstart, max_waiting
        self.random = random.Random(seed)
        self.next_mid = self.random.randrange(65536)
        # Random, so that a response to a request from before a restart does not match.
        self.next_token = self.random.getrandbits(32)
        self.paused = True  # True without a socket
        self.datagrams_sent = 0  # the count for the current socket
        self.waiting: deque[PendingRequest] = deque()
        self.in_flight: dict[bytes, PendingRequest] = {}  # sent, by token
        self.unacknowledged: dict[int, PendingRequest] = {}  # keyed by message id
        self.probing_rate = probing_rate
        self.is_silent = False  # a request was lost, and nothing was received since
        self.next_probe_ms = 0.0  # while the node is silent: when PROBING_RATE allows the next datagram
        self.probes_held_back = 0  # requests that PROBING_RATE has kept from being sent
        self.recent_con_ids: deque[int] = deque(maxlen=MAX_RECENT_CON_IDS)

    def send_request(
        self,
        code: int,
        options: list[tuple[int, bytes]],
        payload: bytes,
        until_ms: float,
        ended: OnEnded,
        *,
        may_retransmit: bool = True,
    ) -> PendingRequest:
        """Queues a request; `ended` is called once, never from within this call.

        Without `may_retransmit` it is sent only once: a node that has restarted does not know the message
        id, and would run a retransmission a second time.
        """
        max_transmissions = 1 + MAX_RETRANSMIT if may_retransmit else 1
        pending = PendingRequest(
            coap.Message(coap.CON, code, 0, b"", options, payload), until_ms, ended, max_transmissions
        )
        self.waiting.append(pending)
        self._send_waiting()
        return pending

    def is_full(self) -> bool:
        """Returns whether the queue is full."""
        return len(self.waiting) >= self.max_waiting

    def cancel(self, pending: PendingRequest) -> None:
        """Cancels a request; `ended` is not called."""
        pending.done = True
        self._remove(pending)
        self._send_waiting()

    def _remove(self, pending: PendingRequest) -> None:
        if self.in_flight.get(pending.message.token) is pending:
            del self.in_flight[pending.message.token]
        if self.unacknowledged.get(pending.message.mid) is pending:
            del self.unacknowledged[pending.message.mid]
        if not pending.transmissions and pending in self.waiting:
            self.waiting.remove(pending)

    def _end(self, pending: PendingRequest, end: RequestEnd, message: coap.Message | None = None) -> None:
        if not pending.done:
            pending.done = True
            self._remove(pending)
            pending.ended(end, message)

    def _send_waiting(self) -> None:
        """Sends queued requests while fewer than NSTART are unacknowledged."""
        while self.waiting and len(self.unacknowledged) < self.nstart and not self.paused:
            if self.is_silent and self.clock() < self.next_probe_ms:
                # They are ended by `handle_timers`, as `ended` is never called from within.
                for pending in self.waiting:
                    pending.blocked_by_probing_rate, pending.due_ms = True, 0.0
                return
            pending = self.waiting.popleft()
            self.next_token = (self.next_token + 1) & 0xFFFFFFFF
            while self.next_mid in self.unacknowledged:
                self.next_mid = (self.next_mid + 1) & 0xFFFF
            message = pending.message
            message.mid, message.token = self.next_mid, self.next_token.to_bytes(4, "big")
            self.next_mid = (self.next_mid + 1) & 0xFFFF
            self.in_flight[message.token] = self.unacknowledged[message.mid] = pending
            pending.retransmit_after_ms = ACK_TIMEOUT * self.random.uniform(1.0, ACK_RANDOM_FACTOR)
            self._write(pending)

    def _write(self, pending: PendingRequest) -> None:
        pending.transmissions += 1
        pending.due_ms = self.clock() + pending.retransmit_after_ms
        pending.retransmit_after_ms *= 2.0
        self._send(pending.message)

    def _send(self, message: coap.Message) -> None:
        self.datagrams_sent += 1
        data = coap.encode(message)
        if self.is_silent:
            self.next_probe_ms = (
                max(self.next_probe_ms, self.clock()) + len(data) / self.probing_rate * 1000.0
            )
        self.send(data)

    def resume(self) -> None:
        """Starts sending on a new socket."""
        self.paused, self.datagrams_sent = False, 0
        self._send_waiting()

    def fail_waiting(self) -> None:
        """Ends all queued requests as unsent, as no socket can be opened."""
        for pending in list(self.waiting):
            self._end(pending, RequestEnd.UNSENT)

    # Datagrams.

    def received(self, data: bytes) -> None:
        """Handles a datagram of the node."""
        self.is_silent = False
        try:
            message = coap.decode(data)
        except coap.MalformedError as fault:
            if fault.mtype == coap.CON:
                self._send(coap.Message(coap.RST, coap.EMPTY, fault.mid))
            return
        if message.mtype in (coap.ACK, coap.RST):
            pending = self.unacknowledged.get(message.mid)
            if pending is None:
                return
            del self.unacknowledged[message.mid]
            if message.mtype == coap.RST:
                self._end(pending, RequestEnd.RESET if pending.transmissions == 1 else RequestEnd.LOST)
            elif message.code == coap.EMPTY:
                pending.is_acknowledged, pending.due_ms = True, NO_DEADLINE
            elif message.token == pending.message.token:
                self._end(pending, RequestEnd.ANSWERED, message)
            self._send_waiting()
            return
        pending = self.in_flight.get(message.token) if message.code >= 0x40 else None
        if message.mtype == coap.CON:
            kind = coap.ACK if pending is not None or message.mid in self.recent_con_ids else coap.RST
            self._send(coap.Message(kind, coap.EMPTY, message.mid))
            if pending is not None:
                self.recent_con_ids.append(message.mid)
        if pending is not None:
            self._end(pending, RequestEnd.ANSWERED, message)
            self._send_waiting()

    def unreachable(self) -> None:
        """Handles an ICMP error: no socket listens there. Pauses until there is a new socket."""
        self.paused = True
        end = RequestEnd.UNREACHABLE if self.datagrams_sent == 1 else RequestEnd.LOST
        for pending in list(self.in_flight.values()):
            self._end(pending, end)

    # Timers.

    def next_timer_ms(self) -> float:
        """Returns when `handle_timers` is due; infinity without a timer."""
        timer_due_ms = min((a.due_ms for a in self.unacknowledged.values()), default=NO_DEADLINE)
        return min(timer_due_ms, min((a.due_ms for a in self.waiting), default=NO_DEADLINE))

    def handle_timers(self) -> None:
        """Retransmits requests, and ends those that were never sent or never acknowledged."""
        now = self.clock()
        for pending in [a for a in self.waiting if a.due_ms <= now]:
            self.probes_held_back += pending.blocked_by_probing_rate
            self._end(pending, RequestEnd.PROBING if pending.blocked_by_probing_rate else RequestEnd.UNSENT)
        for pending in [a for a in self.unacknowledged.values() if a.due_ms <= now]:
            if pending.transmissions >= pending.max_transmissions:
                if not self.is_silent:
                    self.is_silent, self.next_probe_ms = True, now
                self._end(pending, RequestEnd.LOST)
            else:
                self._write(pending)
        self._send_waiting()
