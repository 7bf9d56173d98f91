"""Clients' connections: requests read, routed and given to courses, answers written in order.

Theory of operation. Each request on a connection is an `Exchange`. Several may be under way (pipelining); the
first writes, the others hold their answers, which the windows of their courses bound. Reading stops while
`MAX_AHEAD` requests are under way, or while more of a body is held than `HELD_BYTES`. What breaks the
protocol or a
bound of the configuration is answered (400, 408, 413, 431) behind the answers that are owed, and ends the
connection.
Source: PROTOCOL, "Requests"; RULES, LOST and MIXED.
"""

from __future__ import annotations

from honeywharf.codecs.heads import UNKNOWN, Head
from honeywharf.codecs.mesh import RequestReader, begun, final
from honeywharf.codecs.reader import MalformedError
from honeywharf.sidecar.course import ASIDE, DEADLINE_S, Course
from honeywharf.sidecar.departures import INTERIM_RESPONSE, DepartureProbe, Departures
from honeywharf.transport.stream import WINDOW_SIZE

TYPE_CHECKING = False
if TYPE_CHECKING:
    from honeywharf.mesh_config.routes import Route
    from honeywharf.sidecar.mesh_state import Word
    from honeywharf.sidecar.source import Source
    from honeywharf.transport.host import Address, Connection, Handler, Host, Timer

MAX_AHEAD = 16
LAST_PART = 0.25  # of the time from SIGTERM to the end, in which requests are refused at most
SUCCESSOR_S = 1.0  # from the end of one process of this program until the next one serves
NO_WORD_S = 0.2  # after which a client may come back to a sidecar that has just started
HELD_BYTES = 64 * 1024  # of a body that waits to be sent
MAX_CONNECTIONS = 3000
DROPPED_BYTES = 4 << 20  # of a body that is read to its end though the answer is given
UNREAD = b"the body was too slow"


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
        "waiting",
        "whole_request",
    )

    def __init__(self, keep: bool, bodiless: bool, interim: bool) -> None:
        self.course: Course | None = None
        self.keep, self.bodiless, self.interim = keep, bodiless, interim
        self.done = self.chunked = self.whole_request = self.closes = self.long = False
        self.out: list[bytes] = []
        self.waiting = 0  # bytes of the answer's body not yet told as gone

    def may_take_interim(self) -> bool:
        """Whether an interim response may be written: the client knows them, and no answer has begun."""
        course = self.course
        return self.interim and not (self.done or self.out or course is None or course.answering)


class Guest:
    """One client's connection."""

    __slots__ = (
        "closing",
        "connection",
        "departed",
        "exchange",
        "exchanges",
        "gone",
        "outbound",
        "paused",
        "probe",
        "reader",
        "since",
        "timer",
    )

    def __init__(self, outbound: Outbound, connection: Connection) -> None:
        self.outbound, self.connection = outbound, connection
        limits = outbound.word.limits()
        self.reader = RequestReader(_Reading(self), limits.max_body_bytes, limits.max_header_bytes + 4096)
        self.exchanges: list[Exchange] = []  # the first is answered first
        self.exchange: Exchange | None = None  # whose body is being read
        self.closing = self.gone = self.paused = False
        self.departed = False  # with requests under way
        self.probe: DepartureProbe | None = None  # since the client has ended its bytes
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
        if self.gone or self.closing:
            return
        if self.reader.in_head or (self.exchange is not None and not self.paused):
            self._fault(408, UNREAD)
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
        if self.gone:
            return
        if not (in_head and self.reader.in_head):
            self._time()
        self.gauge()

    def head(self, head: Head) -> None:
        """A request's head is whole."""
        exchange = Exchange(head.keep, head.method == b"HEAD", head.interim)
        exchange.whole_request, exchange.long = head.length == 0, head.length > DROPPED_BYTES
        behind = self.exchanges[-1].closes if self.exchanges else False
        self.exchanges.append(exchange)
        if self.closing or behind:
            exchange.closes = True
            return  # behind one that closes: it counts as not read
        outbound = self.outbound
        if not exchange.keep:
            exchange.closes = True
        self.exchange = exchange
        route = outbound.word.find(head.host, head.path)
        drift_monitor, again_s = outbound.source.drift_monitor, 0.0
        if drift_monitor is not None:
            route, again_s = drift_monitor.look(head.host, head.path, route)
        if again_s and outbound.source.helper(()) is not None:
            route = ASIDE
        elif again_s:
            self.own(exchange, 503, again_s, b"rules in doubt here")
            return
        if route is None and not outbound.word.ready:
            self.own(exchange, 503, NO_WORD_S, b"no configuration yet")
            return
        if route is None:
            self.own(exchange, 404, 0.0, b"no route")
            return
        if not head.attempt:
            self.own(exchange, 400, 0.0, b"found no attempt id, wanted one")
            return
        if head.expects:
            self._continue(exchange)
        now = outbound.host.now()
        if outbound.ends_before(now, route):
            self.own(exchange, 503, outbound.return_s(now), b"leaving")
            return
        remaining = DEADLINE_S if head.remaining_s is None else head.remaining_s
        course = exchange.course = Course(
            outbound.source, Asker(self, exchange), head, route, now + min(remaining, route.timeout_s)
        )
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
            exchange.whole_request = True
            if exchange.course is not None:
                exchange.course.end()
            self._flush()

    def gauge(self) -> None:
        """Stop or go on reading."""
        course = self.exchange.course if self.exchange is not None else None
        full = len(self.exchanges) >= MAX_AHEAD or (
            course is not None and not course.over and course.held > HELD_BYTES
        )
        if full != self.paused and not self.gone:
            self.paused = full
            self.outbound.departures.paused += full
            (self.connection.pause if full else self.connection.resume)()
            if full and self.probe is None:
                self.connection.watch_end(self._start_probe)

    def _fault(self, status: int, words: bytes) -> None:
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
            self.own(exchange, status, 0.0, words)
        self.closing = True
        self._flush()

    # What goes.

    def own(self, exchange: Exchange, status: int, again_s: float, words: bytes) -> None:
        """An answer of the mesh's own."""
        if exchange.done:
            return
        if self._leaves(exchange) or (not exchange.whole_request and exchange.long):
            exchange.closes = True  # else the rest is read and dropped: a reset could eat the answer
        exchange.out.append(
            final(status, words, keep=not exchange.closes, again_s=again_s, bare=exchange.bodiless)
        )
        exchange.done = True
        self._flush()

    def _leaves(self, exchange: Exchange) -> bool:
        """Whether this answer is the last because the process leaves; those at work behind it are owed."""
        return self.outbound.leaving and self.exchanges[-1:] == [exchange]

    def answer(self, exchange: Exchange, status: int, fields: bytes, length: int, body: bytes | None) -> None:
        """A backend's answer."""
        if self._leaves(exchange):
            exchange.closes = True
        exchange.chunked = length == UNKNOWN and body is None
        bodiless = exchange.bodiless or status in (204, 304)
        exchange.out.append(begun(status, fields, length, keep=not exchange.closes, bodiless=bodiless))
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

    def answer_whole(self, exchange: Exchange) -> None:
        """It is whole."""
        if exchange.chunked:
            exchange.out.append(b"0\r\n\r\n")
        exchange.done = True
        self._flush()

    def broken(self, exchange: Exchange) -> None:
        """An answer that has begun breaks off: the connection must not look as if it had not."""
        if not self.gone:
            if self.exchanges and self.exchanges[0] is exchange:
                self.connection.abort()
            else:
                self.closing = exchange.closes = exchange.done = True
                exchange.out = []
                self._flush()

    def _flush(self) -> None:
        """Write what may be written, and read on if there is room now, or a rest to be dropped."""
        self._write()
        if not self.gone:
            self.gauge()

    def _write(self) -> None:
        """Write what may be written, in order."""
        while self.exchanges and not self.gone:
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
            if not exchange.whole_request:
                return
            del self.exchanges[0]
            if not self.exchanges and self.outbound.leaving and self.reader.idle:
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
            self._note_departure(reset=False)
            self.connection.abort()
        else:
            self.exchanges[-1].closes = True
            self._start_probe()
            self._flush()

    def _start_probe(self) -> None:
        """The client has ended its bytes, all of which may not be read yet: find out whether it is there."""
        if self.probe is None and not self.gone:
            self._note_departure(reset=False)
            self.probe = DepartureProbe(self.outbound.host, self.connection, self._may_probe)
            self.probe.start()

    def _may_probe(self) -> bool:
        return bool(self.exchanges) and self.exchanges[0].may_take_interim()

    def drained(self) -> None:
        """What was written has gone."""
        self._flush()

    def closed(self, why: str) -> None:
        """It is gone: nobody waits."""
        self.gone = True
        if self.timer is not None:
            self.timer.cancel()
        if self.probe is not None:
            self.probe.stop()
        if why:
            self._note_departure(reset=True)
        for course in self._under_way():
            course.cancel()
            self.outbound.departures.cancelled += self.departed
        self.exchanges.clear()
        self.outbound.guests.pop(self, None)
        self.reader.close()

    def _under_way(self) -> list[Course]:
        """Requests of this client that have no final answer yet."""
        courses = [exchange.course for exchange in self.exchanges if exchange.course is not None]
        return [course for course in courses if not course.over]

    def _note_departure(self, *, reset: bool) -> None:
        """Count that the client has left requests of its own under way; once for a connection."""
        under_way, departures = len(self._under_way()), self.outbound.departures
        if not under_way or self.departed:
            return
        self.departed = True
        departures.reset += reset
        departures.closed += not reset
        departures.requests += under_way

    def settle(self) -> None:
        """This process leaves: close if nothing is owed."""
        if not self.exchanges and self.reader.idle:
            self.closing = True
            self.connection.close()


class _Reading:
    """A guest as a reader's sink."""

    __slots__ = ("data", "head", "whole")

    def __init__(self, guest: Guest) -> None:
        self.head, self.data, self.whole = guest.head, guest.data, guest.whole


class Asker:
    """An exchange as the place where a course's answer goes."""

    __slots__ = ("exchange", "guest")

    def __init__(self, guest: Guest, exchange: Exchange) -> None:
        self.guest, self.exchange = guest, exchange

    def final(self, course: Course, status: int, again_s: float, words: bytes) -> None:
        """An answer of the mesh's own."""
        self.guest.own(self.exchange, status, again_s, words)

    def answer(self, course: Course, status: int, fields: bytes, length: int, body: bytes | None) -> None:
        """A backend's answer."""
        self.guest.answer(self.exchange, status, fields, length, body)

    def data(self, course: Course, data: bytes) -> None:
        """A part of its body."""
        self.guest.answer_data(self.exchange, data)

    def whole(self, course: Course) -> None:
        """It is whole."""
        self.guest.answer_whole(self.exchange)

    def broken(self, course: Course) -> None:
        """It breaks off."""
        self.guest.broken(self.exchange)

    def taken(self, course: Course) -> None:
        """More of the request's body may be read."""
        self.guest.gauge()


class Outbound:
    """Where clients come: the `outbound` address."""

    def __init__(self, host: Host, address: Address, word: Word, source: Source) -> None:
        self.host, self.address, self.word, self.source = host, address, word, source
        self.guests: dict[Guest, None] = {}
        self.departures = Departures()
        self.leaving = False
        self.last_s = 0.0  # before the end of this process, in which requests are refused at most
        host.listen(address, self._accept)

    def _accept(self, connection: Connection) -> Handler:
        guest = Guest(self, connection)
        self.guests[guest] = None
        if len(self.guests) > MAX_CONNECTIONS:
            connection.abort()
        return guest

    def leave(self, end_at: float = float("inf")) -> None:
        """This process ends at `end_at`: answers close their connections."""
        self.leaving, self.source.end_at = True, end_at
        self.last_s = LAST_PART * (end_at - self.host.now())

    def ends_before(self, now: float, route: Route) -> bool:
        """Whether this process is likely to end before a request that begins now has its answer."""
        return now + min(route.latency_target_s, self.last_s) > self.source.end_at

    def return_s(self, now: float) -> float:
        """Seconds after which the next process of this program may serve a client that returns."""
        return max(0.0, self.source.end_at - now) + SUCCESSOR_S

    def finish(self) -> None:
        """This process ends now: every request under way gets its final answer."""
        again_s = self.return_s(self.host.now())
        for course in list(self.source.courses):
            course.finish(again_s)

    def settle(self) -> None:
        """Close connections on which nothing is owed."""
        for guest in list(self.guests):
            guest.settle()

    def close(self) -> None:
        """Take no further connections."""
        self.host.unlisten(self.address)
