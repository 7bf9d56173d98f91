"""One client's connection: requests read, routed and given to courses, answers written in order.

Theory of operation. Each request on a connection is an `Exchange`. Several may be under way (pipelining); the
first writes, the others hold their answers, which the windows of their courses bound. Reading stops while
`MAX_PIPELINED` requests are under way, or while more of a body is held than `MAX_HELD_BODY`. What breaks the
protocol or a bound of the configuration is answered (400, 408, 413, 431) behind the answers that are owed,
and ends the connection. A client that ends its bytes is asked whether it still waits (`disconnects`).
Source: PROTOCOL, "Requests"; RULES, LOST, MIXED and GONE.
"""

from __future__ import annotations

from honeywharf.codecs.heads import UNKNOWN, RequestHead
from honeywharf.codecs.mesh import INTERIM_RESPONSE, RequestReader, full_response, response_head
from honeywharf.codecs.reader import MalformedError
from honeywharf.sidecar.course import ASIDE, DEADLINE_S, Course
from honeywharf.sidecar.disconnects import DisconnectProbe
from honeywharf.transport.stream import WINDOW_SIZE

TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Protocol

    from honeywharf.mesh_config.routes import Route
    from honeywharf.sidecar.disconnects import DisconnectCounters
    from honeywharf.sidecar.mesh_state import Word
    from honeywharf.sidecar.source import Source
    from honeywharf.transport.host import Connection, Host, Timer

    class Listener(Protocol):
        """What a connection needs of the address that it came to."""

        host: Host
        word: Word
        source: Source
        disconnects: DisconnectCounters
        draining: bool  # this process ends: answers close their connections
        clients: dict[ClientConnection, None]

        def ends_before(self, now: float, route: Route) -> bool:
            """Whether this process is likely to end before a request that begins now has its answer."""

        def return_s(self, now: float) -> float:
            """Seconds after which the next process of this program may serve a client that returns."""


MAX_PIPELINED = 16
NO_CONFIGURATION_RETRY_S = 0.2  # after which a client may come back to a sidecar that has just started
MAX_HELD_BODY = 64 * 1024  # of a body that waits to be sent
MAX_DISCARDED_BODY = 4 << 20  # of a body that is read to its end though the answer is given
SLOW_BODY = b"the body was too slow"


class LocalAnswer:
    """An answer of the mesh's own. `retry_after_s`: 0 where the client is not told when to come back."""

    __slots__ = ("retry_after_s", "status", "text")

    def __init__(self, status: int, retry_after_s: float, text: bytes) -> None:
        self.status, self.retry_after_s, self.text = status, retry_after_s, text


class Exchange:
    """One request and its answer. `out`: bytes that wait until those before it have been answered."""

    __slots__ = (
        "bodiless",
        "chunked",
        "closes",
        "course",
        "done",
        "interim",
        "keep",
        "long",
        "out",
        "request_complete",
        "waiting",
    )

    def __init__(self, keep: bool, bodiless: bool, interim: bool) -> None:
        self.course: Course | None = None
        self.keep, self.bodiless, self.interim = keep, bodiless, interim
        self.done = self.chunked = self.request_complete = self.closes = self.long = False
        self.out: list[bytes] = []
        self.waiting = 0  # bytes of the answer's body not yet told as gone

    def may_take_interim(self) -> bool:
        """Whether an interim response may be written: the client knows them, and no answer has begun."""
        course = self.course
        return self.interim and not (self.done or self.out or course is None or course.answering)


class ClientConnection:
    """One client's connection."""

    __slots__ = (
        "closing",
        "connection",
        "disconnected",
        "exchange",
        "exchanges",
        "is_closed",
        "outbound",
        "paused",
        "probe",
        "reader",
        "since",
        "timer",
    )

    def __init__(self, outbound: Listener, connection: Connection) -> None:
        self.outbound, self.connection = outbound, connection
        limits = outbound.word.limits()
        self.reader = RequestReader(_RequestSink(self), limits.max_body_bytes, limits.max_header_bytes + 4096)
        self.exchanges: list[Exchange] = []  # the first is answered first
        self.exchange: Exchange | None = None  # whose body is being read
        self.closing = self.is_closed = self.paused = False
        self.disconnected = False  # with requests under way
        self.probe: DisconnectProbe | None = None  # since the client has ended its bytes
        self.since = outbound.host.now()  # of what the timer waits for
        self.timer: Timer | None = None
        self._time()

    # Time.

    def _time(self) -> None:
        """Bound how long a head or a body may take, and how long the connection may rest."""
        if self.timer is not None:
            self.timer.cancel()
        limits = self.outbound.word.limits()
        wait = limits.header_timeout_s if self.reader.in_head else limits.idle_timeout_s
        self.timer = self.outbound.host.after(wait, self._timed_out)

    def _timed_out(self) -> None:
        self.timer = None
        if self.is_closed or self.closing:
            return
        if self.reader.in_head or (self.exchange is not None and not self.paused):
            self._fault(408, SLOW_BODY)
        elif not self.exchanges:
            self.closing = True
            self.connection.close()
        else:
            self._time()

    # What comes.

    def opened(self) -> None:
        """Not called on connections that came in."""

    def received(self, data: bytes) -> None:
        """Bytes of requests."""
        if self.closing:
            return
        in_head = self.reader.in_head
        try:
            self.reader.feed(data)
        except MalformedError as fault:
            self._fault(fault.status, str(fault).encode())
            return
        if self.is_closed:
            return
        if not (in_head and self.reader.in_head):
            self._time()
        self.gauge()

    def head(self, head: RequestHead) -> None:
        """A request's head is whole."""
        exchange = Exchange(head.keep, head.method == b"HEAD", head.interim)
        exchange.request_complete, exchange.long = head.length == 0, head.length > MAX_DISCARDED_BODY
        behind = self.exchanges[-1].closes if self.exchanges else False
        self.exchanges.append(exchange)
        if self.closing or behind:
            exchange.closes = True
            return  # behind one that closes: it counts as not read
        if not exchange.keep:
            exchange.closes = True
        self.exchange = exchange
        route, retry_after_s = self._find_route(head)
        rejection = self._reject(head, route, retry_after_s)
        if rejection is not None:
            self.own(exchange, rejection)
        elif route is not None:
            self._begin(exchange, head, route)

    def _find_route(self, head: RequestHead) -> tuple[Route | None, float]:
        """The route of a request, and for how many seconds its rule is in doubt; 0 without doubt."""
        outbound, retry_after_s = self.outbound, 0.0
        route = outbound.word.find(head.host, head.path)
        drift_monitor = outbound.source.drift_monitor
        if drift_monitor is not None:
            route, retry_after_s = drift_monitor.look(head.host, head.path, route)
        if retry_after_s and outbound.source.helper(()) is not None:
            return ASIDE, 0.0
        return route, retry_after_s

    def _reject(self, head: RequestHead, route: Route | None, retry_after_s: float) -> LocalAnswer | None:
        """Why a request is not begun; None where it is."""
        if retry_after_s:
            return LocalAnswer(503, retry_after_s, b"rules in doubt here")
        if route is None and not self.outbound.word.ready:
            return LocalAnswer(503, NO_CONFIGURATION_RETRY_S, b"no configuration yet")
        if route is None:
            return LocalAnswer(404, 0.0, b"no route")
        if not head.attempt:
            return LocalAnswer(400, 0.0, b"found no attempt id, wanted one")
        return None

    def _begin(self, exchange: Exchange, head: RequestHead, route: Route) -> None:
        """Start the course of a request, unless this process is likely to end before its answer."""
        if head.expects:
            self._continue(exchange)
        outbound = self.outbound
        now = outbound.host.now()
        if outbound.ends_before(now, route):
            self.own(exchange, LocalAnswer(503, outbound.return_s(now), b"leaving"))
            return
        remaining = DEADLINE_S if head.remaining_s is None else head.remaining_s
        deadline = now + min(remaining, route.timeout_s)
        course = Course(outbound.source, ExchangeClient(self, exchange), head, route, deadline)
        exchange.course = course
        outbound.source.courses[course] = None
        course.start()

    def _continue(self, exchange: Exchange) -> None:
        if self.exchanges[0] is exchange:
            self.connection.send(INTERIM_RESPONSE)

    def data(self, data: bytes) -> None:
        """A part of a body."""
        if self.exchange is not None and self.exchange.course is not None:
            self.exchange.course.data(data)

    def whole(self) -> None:
        """The request is whole."""
        exchange, self.exchange = self.exchange, None
        if exchange is not None:
            exchange.request_complete = True
            if exchange.course is not None:
                exchange.course.end()
            self._flush()

    def gauge(self) -> None:
        """Stop or go on reading."""
        course = self.exchange.course if self.exchange is not None else None
        full = len(self.exchanges) >= MAX_PIPELINED or (
            course is not None and not course.over and course.held > MAX_HELD_BODY
        )
        if full != self.paused and not self.is_closed:
            self.paused = full
            self.outbound.disconnects.paused += full
            (self.connection.pause if full else self.connection.resume)()
            if full and self.probe is None:
                self.connection.watch_end(self._start_probe)

    def _fault(self, status: int, text: bytes) -> None:
        """What came makes no sense, or not in time: it is answered last, and the connection ends."""
        exchange = self.exchange
        self.exchange = None
        if exchange is None:
            exchange = Exchange(False, False, False)
            self.exchanges.append(exchange)
        elif exchange.course is not None and not exchange.course.over:
            course = exchange.course
            if status == 408 and (course.ran or course.sent):
                status = 502  # guards the promise of 408: a part has gone on
            course.cancel()
            if course.answering:  # guards against a second answer behind the beginning of one
                self.broken(exchange)
                self.closing = True
                return
        exchange.closes = True
        if exchange.out or exchange.done:
            exchange.done = True
        else:
            self.own(exchange, LocalAnswer(status, 0.0, text))
        self.closing = True
        self._flush()

    # What goes.

    def own(self, exchange: Exchange, answer: LocalAnswer) -> None:
        """An answer of the mesh's own."""
        if exchange.done:
            return
        if self._is_last_answer(exchange) or (not exchange.request_complete and exchange.long):
            exchange.closes = True  # else the rest is read and dropped: a reset could eat the answer
        exchange.out.append(
            full_response(
                answer.status,
                answer.text,
                keep=not exchange.closes,
                retry_after_s=answer.retry_after_s,
                head_only=exchange.bodiless,
            )
        )
        exchange.done = True
        self._flush()

    def _is_last_answer(self, exchange: Exchange) -> bool:
        """Whether this answer is the last because the process leaves; those at work behind it are owed."""
        return self.outbound.draining and self.exchanges[-1:] == [exchange]

    def answer(self, exchange: Exchange, status: int, fields: bytes, length: int, body: bytes | None) -> None:
        """A backend's answer."""
        if self._is_last_answer(exchange):
            exchange.closes = True
        exchange.chunked = length == UNKNOWN and body is None
        bodiless = exchange.bodiless or status in (204, 304)
        exchange.out.append(
            response_head(status, fields, length, keep=not exchange.closes, bodiless=bodiless)
        )
        if body is not None:
            if not bodiless:
                exchange.out.append(body)
            exchange.done = True
        self._flush()

    def answer_data(self, exchange: Exchange, data: bytes) -> None:
        """A part of its body."""
        exchange.out.append(b"%x\r\n%b\r\n" % (len(data), data) if exchange.chunked else data)
        exchange.waiting += len(data)
        self._flush()

    def complete_answer(self, exchange: Exchange) -> None:
        """It is whole."""
        if exchange.chunked:
            exchange.out.append(b"0\r\n\r\n")
        exchange.done = True
        self._flush()

    def broken(self, exchange: Exchange) -> None:
        """An answer that has begun breaks off: the connection must not look as if it had not."""
        if not self.is_closed:
            if self.exchanges and self.exchanges[0] is exchange:
                self.connection.abort()
            else:
                self.closing = exchange.closes = exchange.done = True
                exchange.out = []
                self._flush()

    def _flush(self) -> None:
        """Write what may be written, and read on if there is room now, or a rest to be dropped."""
        self._write()
        if not self.is_closed:
            self.gauge()

    def _write(self) -> None:
        """Write what may be written, in order."""
        while self.exchanges and not self.is_closed:
            exchange = self.exchanges[0]
            if exchange.out:
                data = b"".join(exchange.out)
                exchange.out.clear()
                self.connection.send(data)
            if exchange.waiting and exchange.course is not None and self.connection.unsent < WINDOW_SIZE:
                waiting, exchange.waiting = exchange.waiting, 0
                exchange.course.gone_on(waiting)
            if not exchange.done:
                return
            if exchange.closes:
                self._close()
                return
            if not exchange.request_complete:
                return
            del self.exchanges[0]
            if not self.exchanges and self.outbound.draining and self.reader.idle:
                self._close()
                return

    def _close(self) -> None:
        """All that is owed has been written; what is behind counts as not read."""
        self.closing = True
        for exchange in self.exchanges[1:]:
            if exchange.course is not None:
                exchange.course.cancel()
        del self.exchanges[:]
        self.connection.close()

    def ended(self) -> None:
        """The client sends nothing more: it has closed, or it still waits for what it is owed."""
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
        """The client has ended its bytes, all of which may not be read yet: find out whether it is there."""
        if self.probe is None and not self.is_closed:
            self._note_disconnect(reset=False)
            self.probe = DisconnectProbe(self.outbound.host, self.connection, self._may_probe)
            self.probe.start()

    def _may_probe(self) -> bool:
        return bool(self.exchanges) and self.exchanges[0].may_take_interim()

    def drained(self) -> None:
        """What was written has gone."""
        self._flush()

    def closed(self, why: str) -> None:
        """It is gone: nobody waits."""
        self.is_closed = True
        if self.timer is not None:
            self.timer.cancel()
        if self.probe is not None:
            self.probe.stop()
        if why:
            self._note_disconnect(reset=True)
        for course in self._under_way():
            course.cancel()
            self.outbound.disconnects.cancelled += self.disconnected
        self.exchanges.clear()
        self.outbound.clients.pop(self, None)
        self.reader.close()

    def _under_way(self) -> list[Course]:
        """Requests of this client that have no final answer yet."""
        courses = [exchange.course for exchange in self.exchanges if exchange.course is not None]
        return [course for course in courses if not course.over]

    def _note_disconnect(self, *, reset: bool) -> None:
        """Count that the client has left requests of its own under way; once for a connection."""
        under_way, disconnects = len(self._under_way()), self.outbound.disconnects
        if not under_way or self.disconnected:
            return
        self.disconnected = True
        disconnects.reset += reset
        disconnects.closed += not reset
        disconnects.requests += under_way

    def close_idle(self) -> None:
        """This process leaves: close if nothing is owed."""
        if not self.exchanges and self.reader.idle:
            self.closing = True
            self.connection.close()


class _RequestSink:
    """A client's connection as a reader's sink."""

    __slots__ = ("data", "head", "whole")

    def __init__(self, client: ClientConnection) -> None:
        self.head, self.data, self.whole = client.head, client.data, client.whole


class ExchangeClient:
    """An exchange as the place where a course's answer goes."""

    __slots__ = ("client", "exchange")

    def __init__(self, client: ClientConnection, exchange: Exchange) -> None:
        self.client, self.exchange = client, exchange

    def final(self, course: Course, status: int, retry_after_s: float, text: bytes) -> None:
        """An answer of the mesh's own."""
        self.client.own(self.exchange, LocalAnswer(status, retry_after_s, text))

    def answer(self, course: Course, status: int, fields: bytes, length: int, body: bytes | None) -> None:
        """A backend's answer."""
        self.client.answer(self.exchange, status, fields, length, body)

    def data(self, course: Course, data: bytes) -> None:
        """A part of its body."""
        self.client.answer_data(self.exchange, data)

    def whole(self, course: Course) -> None:
        """It is whole."""
        self.client.complete_answer(self.exchange)

    def broken(self, course: Course) -> None:
        """It breaks off."""
        self.client.broken(self.exchange)

    def taken(self, course: Course) -> None:
        """More of the request's body may be read."""
        self.client.gauge()
