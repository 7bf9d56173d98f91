"""One client's connection: requests are read and routed, and their answers written in order.

Theory of operation. Each request on a connection is an `Exchange`. Several may be under way (pipelining); the
first one's answer is written, the others' answers are buffered, bounded by the windows of their requests.
Reading stops while `MAX_PIPELINED` requests are under way, or while more of a body than `MAX_HELD_BODY_BYTES`
waits to be sent. A request that breaks the protocol or a configured limit is answered (400, 408, 413, 431)
after the answers due before it, and ends the connection. A client that sends a FIN is probed (`disconnects`).
Source: PROTOCOL, "Requests"; RULES, LOST, MIXED and GONE.
"""

from __future__ import annotations

from honeywharf.codecs.heads import UNKNOWN, RequestHead
from honeywharf.codecs.mesh import INTERIM_RESPONSE, RequestReader, full_response, response_head
from honeywharf.codecs.reader import MalformedError
from honeywharf.sidecar.disconnects import DisconnectProbe
from honeywharf.sidecar.outbound_request import DEFAULT_DEADLINE_S, DELEGATED_ROUTE, OutboundRequest
from honeywharf.transport.stream import WINDOW_SIZE

TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Protocol

    from honeywharf.mesh_config.routes import Route
    from honeywharf.sidecar.disconnects import DisconnectCounters
    from honeywharf.sidecar.mesh_state import MeshStateReplica
    from honeywharf.sidecar.source import Source
    from honeywharf.transport.host import Connection, Host, Timer

    class Listener(Protocol):
        """The listening address, as its connections use it."""

        host: Host
        mesh_state: MeshStateReplica
        source: Source
        disconnects: DisconnectCounters
        draining: bool  # this process shuts down: answers close their connections
        clients: dict[ClientConnection, None]


MAX_PIPELINED = 16
NO_CONFIGURATION_RETRY_S = 0.2  # Retry-After of a sidecar that has no configuration yet
HEAD_MARGIN_BYTES = 4096  # A head may exceed the configured size of its fields by its first line.
MAX_HELD_BODY_BYTES = 64 * 1024  # bounds the received part of a body that waits to be forwarded
MAX_DISCARDED_BODY_BYTES = 4 << 20  # a longer body is not read to its end once its request is answered
SLOW_BODY = b"the body was too slow"


class LocalAnswer:
    """An answer that the mesh itself gives. `retry_after_s`: 0 for an answer without Retry-After."""

    __slots__ = ("retry_after_s", "status", "text")

    def __init__(self, status: int, retry_after_s: float, text: bytes) -> None:
        self.status, self.retry_after_s, self.text = status, retry_after_s, text


class Exchange:
    """One request and its answer. `pending_output` waits until the requests before it have been answered."""

    __slots__ = (
        "awaits_continue",
        "bodiless",
        "chunked",
        "closes",
        "discards_body",
        "done",
        "has_long_body",
        "interim",
        "keep",
        "pending_output",
        "request",
        "request_complete",
        "unreported_bytes",
    )

    def __init__(self, keep: bool, bodiless: bool, interim: bool) -> None:
        self.request: OutboundRequest | None = None
        self.keep, self.bodiless, self.interim = keep, bodiless, interim
        self.done = self.chunked = self.request_complete = self.closes = self.has_long_body = False
        self.awaits_continue = False  # the client sends its body after an interim response, which it lacks
        self.discards_body = False  # the rest of the body is read and dropped before the connection closes
        self.pending_output: list[bytes] = []
        self.unreported_bytes = 0  # bytes of the answer's body not yet reported as sent

    def may_take_interim(self) -> bool:
        """Whether an interim response may be written: the client supports them and no answer has begun."""
        request = self.request
        return self.interim and not (self.done or self.pending_output or request is None or request.answering)


class ClientConnection:
    """One client's connection."""

    __slots__ = (
        "closing",
        "connection",
        "created_at",
        "disconnected",
        "exchange",
        "exchanges",
        "is_closed",
        "is_writing",
        "outbound",
        "paused",
        "probe",
        "reader",
        "timer",
    )

    def __init__(self, outbound: Listener, connection: Connection) -> None:
        self.outbound, self.connection = outbound, connection
        limits = outbound.mesh_state.limits()
        max_head_bytes = limits.max_header_bytes + HEAD_MARGIN_BYTES
        self.reader = RequestReader(_RequestSink(self), limits.max_body_bytes, max_head_bytes)
        self.exchanges: list[Exchange] = []  # in the order of their answers
        self.exchange: Exchange | None = None  # the one whose body is being read
        self.closing = self.is_closed = self.is_writing = self.paused = False
        self.disconnected = False  # whether the client has left with requests under way
        self.probe: DisconnectProbe | None = None  # set once the client has sent a FIN
        self.created_at = outbound.host.now()
        self.timer: Timer | None = None
        self._restart_timer()

    # Time-outs.

    def _restart_timer(self) -> None:
        """Starts the timer for a head, for a part of a body, or for an idle connection."""
        if self.timer is not None:
            self.timer.cancel()
        limits = self.outbound.mesh_state.limits()
        wait = limits.header_timeout_s if self.reader.in_head else limits.idle_timeout_s
        self.timer = self.outbound.host.after(wait, self._timed_out)

    def _timed_out(self) -> None:
        self.timer = None
        if self.is_closed or self.closing:
            return
        if self.reader.in_head or (self.exchange is not None and not self.paused):
            self._answer_fault(408, SLOW_BODY)
        elif not self.exchanges:
            self.closing = True
            self.connection.close()
        else:
            self._restart_timer()

    # Requests.

    def opened(self) -> None:
        """Part of `Handler`; not called on incoming connections."""

    def received(self, data: bytes) -> None:
        """Reads bytes of requests."""
        if self.closing:
            return
        if self.reader.idle:
            self._update_limits()
        in_head = self.reader.in_head
        try:
            self.reader.feed(data)
        except MalformedError as fault:
            self._answer_fault(fault.status, str(fault).encode())
            return
        if self.is_closed:
            return
        if not (in_head and self.reader.in_head):
            self._restart_timer()
        self.update_reading()

    def _update_limits(self) -> None:
        """Sets the limits in force for the next request; one that is being read keeps its own."""
        limits = self.outbound.mesh_state.limits()
        self.reader.max_body = limits.max_body_bytes
        self.reader.max_head = limits.max_header_bytes + HEAD_MARGIN_BYTES

    def head(self, head: RequestHead) -> None:
        """Takes the head of a request: routes it, and begins or rejects it."""
        exchange = Exchange(head.keep, head.method == b"HEAD", head.interim)
        exchange.request_complete, exchange.has_long_body = (
            head.length == 0,
            head.length > MAX_DISCARDED_BODY_BYTES,
        )
        exchange.awaits_continue = head.expects
        follows_last = self.exchanges[-1].closes if self.exchanges else False
        self.exchanges.append(exchange)
        if self.closing or follows_last:
            exchange.closes = True
            return  # a request behind the one that closes the connection counts as not read
        if not exchange.keep:
            exchange.closes = True
        self.exchange = exchange
        route, retry_after_s = self._find_route(head)
        rejection = self._reject(head, route, retry_after_s)
        if rejection is not None:
            self.answer_locally(exchange, rejection)
        elif route is not None:
            self._begin(exchange, head, route)

    def _find_route(self, head: RequestHead) -> tuple[Route | None, float]:
        """Returns a request's route, and the Retry-After where its rule is suspected of drift, else 0."""
        outbound, retry_after_s = self.outbound, 0.0
        route = outbound.mesh_state.find(head.host, head.path)
        drift_monitor = outbound.source.drift_monitor
        if drift_monitor is not None:
            route, retry_after_s = drift_monitor.check_route(head.host, head.path, route)
        if retry_after_s and outbound.source.pick_delegate(()) is not None:
            return DELEGATED_ROUTE, 0.0
        return route, retry_after_s

    def _reject(self, head: RequestHead, route: Route | None, retry_after_s: float) -> LocalAnswer | None:
        """Returns the answer of a request that is not begun; None where it is begun."""
        if retry_after_s:
            return LocalAnswer(503, retry_after_s, b"rules in doubt here")
        if route is None and not self.outbound.mesh_state.ready:
            return LocalAnswer(503, NO_CONFIGURATION_RETRY_S, b"no configuration yet")
        if route is None:
            return LocalAnswer(404, 0.0, b"no route")
        if not head.attempt:
            return LocalAnswer(400, 0.0, b"found no attempt id, wanted one")
        return None

    def _begin(self, exchange: Exchange, head: RequestHead, route: Route) -> None:
        """Starts a request, unless it may outlast this process."""
        outbound = self.outbound
        now, lifetime = outbound.host.now(), outbound.source.lifetime
        remaining = DEFAULT_DEADLINE_S if head.remaining_s is None else head.remaining_s
        deadline = now + min(remaining, route.timeout_s)
        if not lifetime.may_begin(now, deadline):
            self.answer_locally(exchange, LocalAnswer(503, lifetime.restart_wait_s(now), b"leaving"))
            return
        if head.expects:
            self._continue(exchange)
        request = OutboundRequest(outbound.source, ExchangeClient(self, exchange), head, route, deadline)
        exchange.request = request
        outbound.source.active_requests[request] = None
        request.start()

    def _continue(self, exchange: Exchange) -> None:
        if self.exchanges[0] is exchange:
            exchange.awaits_continue = False
            self.connection.send(INTERIM_RESPONSE)

    def data(self, data: bytes) -> None:
        """Takes a part of the body being read."""
        if self.exchange is not None and self.exchange.request is not None:
            self.exchange.request.data(data)

    def whole(self) -> None:
        """Notes that the request being read is complete."""
        self._update_limits()
        exchange, self.exchange = self.exchange, None
        if exchange is not None:
            exchange.request_complete = True
            if exchange.request is not None:
                exchange.request.end()
            self._flush()

    def update_reading(self) -> None:
        """Pauses or resumes reading, by the requests under way and the bytes that wait to be sent."""
        request = self.exchange.request if self.exchange is not None else None
        full = len(self.exchanges) >= MAX_PIPELINED or (
            request is not None and not request.is_over and request.pending_bytes > MAX_HELD_BODY_BYTES
        )
        if full != self.paused and not self.is_closed:
            self.paused = full
            self.outbound.disconnects.paused += full
            (self.connection.pause if full else self.connection.resume)()
            if full and self.probe is None:
                self.connection.watch_half_close(self._start_probe)

    def _answer_fault(self, status: int, text: bytes) -> None:
        """Answers a malformed or slow request after those before it, and ends the connection."""
        exchange = self.exchange
        self.exchange = None
        if exchange is None:
            exchange = Exchange(False, False, False)
            self.exchanges.append(exchange)
        elif exchange.request is not None and not exchange.request.is_over:
            request = exchange.request
            if status == 408 and (request.may_have_run or request.bytes_sent):
                status = 502  # 408 promises that nothing has run, but a part of the request was forwarded
            request.cancel()
            if request.answering:  # no second answer may follow one that has begun
                self.broken(exchange)
                self.closing = True
                return
        exchange.closes = True
        if exchange.pending_output or exchange.done:
            exchange.done = True
        else:
            self.answer_locally(exchange, LocalAnswer(status, 0.0, text))
        exchange.discards_body = False
        self.closing = True
        self._flush()

    # Answers.

    def answer_locally(self, exchange: Exchange, answer: LocalAnswer) -> None:
        """Writes an answer that the mesh itself gives."""
        if exchange.done:
            return
        if self._is_last_answer(exchange) or (not exchange.request_complete and exchange.has_long_body):
            exchange.closes = True
        # Closing a connection with unread bytes resets it, which could destroy the answer.
        exchange.discards_body = not (
            exchange.request_complete or exchange.has_long_body or exchange.awaits_continue
        )
        exchange.pending_output.append(
            full_response(
                answer.status,
                answer.text,
                keep=not exchange.closes,
                retry_delay_s=answer.retry_after_s,
                head_only=exchange.bodiless,
            )
        )
        exchange.done = True
        self._flush()

    def _is_last_answer(self, exchange: Exchange) -> bool:
        """Whether the process shuts down and no request follows that still has to be answered."""
        return self.outbound.draining and self.exchanges[-1:] == [exchange]

    def answer(self, exchange: Exchange, status: int, fields: bytes, length: int, body: bytes | None) -> None:
        """Writes a backend's answer: complete, or its head where `body` is None."""
        if self._is_last_answer(exchange):
            exchange.closes = True
        exchange.chunked = length == UNKNOWN and body is None
        bodiless = exchange.bodiless or status in (204, 304)
        exchange.pending_output.append(
            response_head(status, fields, length, keep=not exchange.closes, bodiless=bodiless)
        )
        if body is not None:
            if not bodiless:
                exchange.pending_output.append(body)
            exchange.done = True
        self._flush()

    def answer_data(self, exchange: Exchange, data: bytes) -> None:
        """Writes a part of the answer's body."""
        exchange.pending_output.append(b"%x\r\n%b\r\n" % (len(data), data) if exchange.chunked else data)
        exchange.unreported_bytes += len(data)
        self._flush()

    def complete_answer(self, exchange: Exchange) -> None:
        """Ends the answer, which is complete."""
        if exchange.chunked:
            exchange.pending_output.append(b"0\r\n\r\n")
        exchange.done = True
        self._flush()

    def broken(self, exchange: Exchange) -> None:
        """Aborts the connection, so that an answer that breaks off is not taken for a complete one."""
        if not self.is_closed:
            if self.exchanges and self.exchanges[0] is exchange:
                self.connection.abort()
            else:
                self.closing = exchange.closes = exchange.done = True
                exchange.pending_output = []
                self._flush()

    def _flush(self) -> None:
        """Writes what may be written, and reads on where there is room now, or a body to be dropped.

        A gate in this process answers from within `_write`, which then writes on itself.
        """
        if self.is_writing:
            return
        self.is_writing = True
        try:
            self._write()
        finally:
            self.is_writing = False
        if not self.is_closed:
            self.update_reading()

    def _write(self) -> None:
        """Writes what may be written, in the order of the requests."""
        while self.exchanges and not self.is_closed:
            exchange = self.exchanges[0]
            if exchange.pending_output:
                data = b"".join(exchange.pending_output)
                exchange.pending_output.clear()
                self.connection.send(data)
            if (
                exchange.unreported_bytes
                and exchange.request is not None
                and self.connection.unsent < WINDOW_SIZE
            ):
                unreported_bytes, exchange.unreported_bytes = exchange.unreported_bytes, 0
                exchange.request.answer_forwarded(unreported_bytes)
                continue  # more of the answer may have come meanwhile
            if not exchange.done:
                return
            if exchange.closes and not (exchange.discards_body and not exchange.request_complete):
                self._close()
                return
            if not exchange.request_complete:
                return
            del self.exchanges[0]
            if not self.exchanges and self.outbound.draining and self.reader.idle:
                self._close()
                return

    def _close(self) -> None:
        """Closes the connection after the last answer; requests that follow count as not read."""
        self.closing = True
        for exchange in self.exchanges[1:]:
            if exchange.request is not None:
                exchange.request.cancel()
        del self.exchanges[:]
        self.connection.close()

    def ended(self) -> None:
        """Handles the client's FIN: it has closed, or still waits for its answers."""
        if not self.exchanges:
            self.connection.close()
        elif not self.reader.idle:
            self._note_disconnect(reset=False)
            self.connection.abort()
        else:
            self.exchanges[-1].closes = True
            self._start_probe()
            self._flush()

    def _start_probe(self) -> None:
        """Starts probing a client that has sent a FIN; bytes before it may still be unread."""
        if self.probe is None and not self.is_closed:
            self._note_disconnect(reset=False)
            self.probe = DisconnectProbe(self.outbound.host, self.connection, self._may_probe)
            self.probe.start()

    def _may_probe(self) -> bool:
        return bool(self.exchanges) and self.exchanges[0].may_take_interim()

    def drained(self) -> None:
        """Writes on: the client has taken all that was written."""
        self._flush()

    def closed(self, why: str) -> None:
        """Cancels the requests under way: the connection is closed."""
        self.is_closed = True
        if self.timer is not None:
            self.timer.cancel()
        if self.probe is not None:
            self.probe.stop()
        if why:
            self._note_disconnect(reset=True)
        for request in self._under_way():
            request.cancel()
            self.outbound.disconnects.cancelled += self.disconnected
        self.exchanges.clear()
        self.outbound.clients.pop(self, None)
        self.reader.close()

    def _under_way(self) -> list[OutboundRequest]:
        """Returns this client's requests that have no final answer yet."""
        requests = [exchange.request for exchange in self.exchanges if exchange.request is not None]
        return [request for request in requests if not request.is_over]

    def _note_disconnect(self, *, reset: bool) -> None:
        """Counts, once for a connection, a client that leaves with requests under way."""
        under_way, disconnects = len(self._under_way()), self.outbound.disconnects
        if not under_way or self.disconnected:
            return
        self.disconnected = True
        disconnects.reset += reset
        disconnects.closed += not reset
        disconnects.requests += under_way

    def close_idle(self) -> None:
        """Closes the connection if no request is under way, as this process shuts down."""
        if not self.exchanges and self.reader.idle:
            self.closing = True
            self.connection.close()


class _RequestSink:
    """Adapts a client's connection to the sink of a `RequestReader`."""

    __slots__ = ("data", "head", "whole")

    def __init__(self, client: ClientConnection) -> None:
        self.head, self.data, self.whole = client.head, client.data, client.whole


class ExchangeClient:
    """Adapts an exchange to the `Client` of an `OutboundRequest`."""

    __slots__ = ("client", "exchange")

    def __init__(self, client: ClientConnection, exchange: Exchange) -> None:
        self.client, self.exchange = client, exchange

    def final(self, request: OutboundRequest, status: int, retry_after_s: float, text: bytes) -> None:
        """Passes on an answer that the mesh itself gives."""
        self.client.answer_locally(self.exchange, LocalAnswer(status, retry_after_s, text))

    def answer(
        self, request: OutboundRequest, status: int, fields: bytes, length: int, body: bytes | None
    ) -> None:
        """Passes on a backend's answer."""
        self.client.answer(self.exchange, status, fields, length, body)

    def data(self, request: OutboundRequest, data: bytes) -> None:
        """Passes on a part of the answer's body."""
        self.client.answer_data(self.exchange, data)

    def whole(self, request: OutboundRequest) -> None:
        """Passes on that the answer is complete."""
        self.client.complete_answer(self.exchange)

    def broken(self, request: OutboundRequest) -> None:
        """Passes on that the answer breaks off."""
        self.client.broken(self.exchange)

    def body_forwarded(self, request: OutboundRequest) -> None:
        """Lets the connection read more of the request's body."""
        self.client.update_reading()
