"""Who is met outside: clients and a backend on each sidecar machine, and operators, speaking HTTP/1.1.

Each is a small program on a `Process`, and tells the `InvariantChecker` what its sockets saw. What they do is
PROTOCOL.md's, in little: no calls of backends, no chunked bodies of clients.
"""

from __future__ import annotations

import json
import zlib
from collections import deque
from collections.abc import Callable
from functools import partial
from typing import Any

import httptools

from honeywharf.simulation.invariants import Attempt, InvariantChecker, Order
from honeywharf.simulation.machine import Process
from honeywharf.transport.host import Address, Connection

REASONS = {200: "OK", 421: "Misdirected Request", 500: "Internal Server Error", 503: "Service Unavailable"}
FINAL = (400, 401, 404, 413, 431)  # answers after which a client does not try again
SILENCE = 1.0  # seconds that callers of the control plane wait
MEAN_WORK = 0.06  # seconds that a backend works on a request
COLD_PER_S = 9.0  # requests a second that a cold backend bears
PATIENCE_S = 0.2  # after which clients that leave early have left
GAVE_UP = 1  # in the place of a status: the client has left, or was told nothing


class Message:
    """A request or an answer that has come whole."""

    __slots__ = ("body", "headers", "method", "path", "status")

    def __init__(self) -> None:
        self.method, self.path, self.status, self.body = "", "", 0, b""
        self.headers: dict[str, str] = {}


class Reader:
    """Bytes to messages; `feed` raises `httptools.HttpParserError` on what is none."""

    def __init__(self, requests: bool) -> None:
        self.parser: Any = (httptools.HttpRequestParser if requests else httptools.HttpResponseParser)(self)
        self.requests, self.whole, self.message = requests, list[Message](), Message()
        self.begun = False

    def feed(self, data: bytes) -> list[Message]:
        """Messages that are whole with these bytes."""
        self.parser.feed_data(data)
        whole, self.whole = self.whole, []
        return whole

    def on_message_begin(self) -> None:
        """Its first byte."""
        self.message, self.begun = Message(), True

    def on_url(self, part: bytes) -> None:
        """A part of the path."""
        self.message.path += part.decode("latin-1")

    def on_header(self, name: bytes, value: bytes) -> None:
        """A line."""
        self.message.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, part: bytes) -> None:
        """A part of the body."""
        self.message.body += part

    def on_message_complete(self) -> None:
        """Its last byte."""
        self.begun = False
        if self.requests:
            self.message.method = self.parser.get_method().decode()
        else:
            self.message.status = self.parser.get_status_code()
        if self.message.status >= 200 or self.requests:
            self.whole.append(self.message)


def text(first: str, headers: dict[str, object], body: bytes = b"") -> bytes:
    """A message with a length."""
    lines = [first, *(f"{name}: {value}" for name, value in headers.items())]
    return "\r\n".join([*lines, f"Content-Length: {len(body)}"]).encode() + b"\r\n\r\n" + body


class Caller:
    """A connection of a caller: requests out, answers in order back by `told(tag, message)`.

    The message is None where the connection was cut. `stray` is told of bytes that belong to no request.
    """

    def __init__(
        self,
        host: Process,
        to: Address,
        told: Callable[[Any, Message | None], None],
        stray: Callable[[str], None] = lambda what: None,
    ) -> None:
        self.told, self.stray, self.reader = told, stray, Reader(requests=False)
        self.waiting: deque[Any] = deque()
        self.live, self.up = True, False
        self.connection: Connection = host.connect(to, lambda connection: self)

    def ask(self, tag: Any, data: bytes) -> None:
        """Send one request."""
        self.waiting.append(tag)
        self.connection.send(data)

    def close(self) -> None:
        """End it from here; nothing more is told."""
        self.live = False
        self.waiting.clear()
        self.connection.abort()

    def leave(self) -> None:
        """Close in order, as a client that loses interest does: no reset, just the end of its bytes."""
        self.live = False
        self.waiting.clear()
        self.connection.close()

    def opened(self) -> None:
        """It is up."""
        self.up = True

    def drained(self) -> None:
        """Nothing is held."""

    def received(self, data: bytes) -> None:
        """Bytes of answers."""
        if not self.live:
            return
        try:
            messages = self.reader.feed(data)
        except httptools.HttpParserError as fault:
            self.stray(f"no answer: {data[:60]!r} ({fault})")
            self._cut()
            return
        for message in messages:
            if not self.waiting:
                self.stray(f"an answer where nothing waits: {message.status} {message.headers}")
                return
            leaves = message.headers.get("connection", "").lower() == "close"
            self.told(self.waiting.popleft(), message)
            if leaves:
                self._cut()
                return

    def ended(self) -> None:
        """The far side has ended."""
        self._cut()

    def closed(self, why: str) -> None:
        """It is gone."""
        self._cut()

    def _cut(self) -> None:
        waiting, self.waiting = self.waiting, deque()
        if self.live:
            self.live = False
            self.connection.close()
        for tag in waiting:
            self.told(tag, None)


class Flow:
    """What clients ask for: a route's host, prefix and kind, and how much of it."""

    __slots__ = ("deadline", "habit", "host", "kind", "per_s", "prefix", "size", "tries")

    def __init__(
        self,
        host: str,
        prefix: str,
        kind: str,
        per_s: float,
        habit: str = "fresh",
        size: int = 0,
        deadline: float = 2.0,
        tries: int = 2,
    ) -> None:
        self.host, self.prefix, self.kind, self.per_s, self.habit = host, prefix, kind, per_s, habit
        self.size, self.deadline, self.tries = size, deadline, tries


class Clients:
    """The clients of one machine.

    They send nothing new while its proxy is not ready, unless the platform `presses`: it goes on sending them
    where under half of the zone's proxies are ready.
    """

    def __init__(
        self,
        host: Process,
        invariant_checker: InvariantChecker,
        flows: list[Flow],
        service: Callable[[], str],
        proxy: Process,
        outbound: int,
        readiness: int,
    ) -> None:
        self.host, self.invariant_checker, self.flows, self.service, self.proxy = (
            host,
            invariant_checker,
            flows,
            service,
            proxy,
        )
        self.ip, self.outbound, self.readiness = host.machine.ip, outbound, readiness
        self.pool: list[Caller] = []
        self.missed, self.until = 2, float("inf")
        self.presses = False
        self.leavers = 0.0  # share of the requests whose client leaves within `PATIENCE_S`
        self.count = 0
        self._probe()
        self._next()

    def _probe(self) -> None:
        answered: list[bool] = []

        def told(tag: object, message: Message | None) -> None:
            answered.append(message is not None and message.status == 200)
            caller.close()

        def over() -> None:
            caller.close()
            self.missed = 0 if True in answered else self.missed + 1
            self._probe()

        caller = Caller(self.host, (self.ip, self.readiness), told)
        caller.ask(None, text("GET /api/readiness HTTP/1.1", {"Host": "ready"}))
        self.host.after(1.0, over)

    def _next(self) -> None:
        chance, total = self.host.world.random, sum(flow.per_s for flow in self.flows)
        self.host.after(chance.expovariate(total) if total else 0.1, self._next)
        sends = self.missed < 2 or self.presses
        if total and sends and self.host.world.now < self.until:
            flow = chance.choices(self.flows, [flow.per_s for flow in self.flows])[0]
            ends = self.host.world.now + flow.deadline
            many = chance.randint(2, 4) if flow.habit == "pipeline" else 1
            caller = self._connection(flow)
            for place in range(many):
                self._send(caller, self._ask(flow, ends, place > 0), flow, flow.tries)

    def _connection(self, flow: Flow) -> Caller:
        self.pool = [caller for caller in self.pool if caller.live]
        free = [caller for caller in self.pool if not caller.waiting]
        if free and flow.habit == "pool":
            return free[0]
        caller = Caller(
            self.host,
            (self.ip, self.outbound),
            self._told,
            lambda what: self.invariant_checker.notify("unexpected_bytes", what),
        )
        self.pool += [caller] * (flow.habit == "pool" and len(self.pool) < 20)
        return caller

    def _ask(self, flow: Flow, ends: float, is_pipelined: bool) -> Attempt:
        self.count += 1
        name = self.host.random(8).hex()
        method = "GET" if flow.kind == "read_only" else "POST"
        ask = Attempt(
            name, self.ip, self.service(), method, flow.host, f"{flow.prefix}{self.count}", flow.kind
        )
        ask.body = zlib.compress(name.encode()) * (flow.size // 20) if method == "POST" else b""
        ask.deadline, ask.is_pipelined, ask.life = ends, is_pipelined, self.proxy.life
        return ask

    def _send(self, caller: Caller, ask: Attempt, flow: Flow, tries: int) -> None:
        ask.sent = self.host.world.now
        self.invariant_checker.attempts[ask.id] = ask
        self.invariant_checker.notify("sent", ask)
        left = max(1, round((ask.deadline - ask.sent) * 1000))
        caller.ask(
            (ask, flow, tries, caller),
            text(
                f"{ask.method} {ask.path} HTTP/1.1",
                {
                    "Host": ask.host,
                    "X-Honeywharf-Attempt-Id": ask.id,
                    "X-Honeywharf-Deadline-Remaining": left,
                    "X-Honeywharf-Caller-Service": "forged",
                },
                ask.body,
            ),
        )

        self.host.after(ask.deadline - ask.sent, lambda: self._leave(ask, caller))
        chance = self.host.world.random
        if self.leavers and chance.random() < self.leavers:
            self.host.after(chance.uniform(0.0, PATIENCE_S), lambda: self._leave(ask, caller))

    def _leave(self, ask: Attempt, caller: Caller) -> None:
        """Close the connection on which a request still waits: all that wait there are given up."""
        if ask.status or not caller.live:
            return
        given_up = [tag[0] for tag in caller.waiting]
        caller.leave()
        for other in given_up:
            other.status, other.abandoned_at = GAVE_UP, self.host.world.now
            self.invariant_checker.notify("client_left", other)

    def _told(self, tag: tuple[Attempt, Flow, int, Caller], message: Message | None) -> None:
        ask, flow, tries, caller = tag
        if ask.status:
            return
        if message is None:
            ask.status = GAVE_UP
            if caller.up:  # else no process has read it
                self.invariant_checker.notify("connection_lost", ask)
        else:
            ask.status = message.status
            self.invariant_checker.notify("answered", ask, message.status, message.headers, message.body)
            if flow.habit != "pool" and not caller.waiting:
                caller.close()
        promised = (
            message is not None
            and "x-honeywharf-server-seal" not in message.headers
            and (message.status in (408, 421, 429, 503))
        )
        failed = message is None or message.status >= 500 or promised
        if tries and failed and ask.status not in FINAL and (ask.repeatable or promised):
            wait = float(message.headers.get("retry-after", 0)) if message is not None else 0.0
            left = ask.deadline - self.host.world.now
            self.host.after(min(wait, left / 3) + 0.02, lambda: self._again(flow, ask, tries - 1))

    def _again(self, flow: Flow, ask: Attempt, tries: int) -> None:
        if self.host.world.now < ask.deadline - 0.05:
            self._send(
                self._connection(Flow(flow.host, flow.prefix, flow.kind, 0)),
                self._ask(flow, ask.deadline, False),
                flow,
                tries,
            )


class Work:
    """A request at a backend."""

    __slots__ = ("connection", "head", "name")

    def __init__(self, connection: Served, head: Message) -> None:
        self.connection, self.head = connection, head
        self.name = head.headers.get("x-honeywharf-attempt-id", "")


class Served:
    """A connection to a backend: one request at a time."""

    def __init__(self, backend: Backend, connection: Connection) -> None:
        self.backend, self.connection, self.reader = backend, connection, Reader(requests=True)
        self.next: deque[Message] = deque()
        self.work: Work | None = None
        self.answers = 0
        self.live = True

    def opened(self) -> None:
        """Never: it was accepted."""

    def drained(self) -> None:
        """Nothing is held."""

    def received(self, data: bytes) -> None:
        """Bytes of requests."""
        try:
            self.next.extend(self.reader.feed(data))
        except httptools.HttpParserError as fault:
            self.backend.invariant_checker.notify(
                "unexpected_bytes", f"no request at {self.backend.id}: {data[:60]!r} ({fault})"
            )
            self.connection.abort()
            return
        self.go()

    def go(self) -> None:
        """Take the next request."""
        if self.work is None and self.next and self.live:
            self.work = Work(self, self.next.popleft())
            self.backend.take(self.work)

    def answer(self, status: int, headers: dict[str, object], body: bytes = b"") -> None:
        """Answer what is at work, and go on."""
        self.work = None
        self.connection.send(text(f"HTTP/1.1 {status} {REASONS.get(status, 'Other')}", headers, body))
        self.answers += 1
        if self.backend.forgets:
            self.backend.host.after(self.backend.forgets, partial(self._forget, self.answers))
        self.go()

    def _forget(self, answers: int) -> None:
        """End the connection where it has rested since so many answers."""
        if self.live and self.work is None and self.answers == answers:
            self.connection.abort()

    def ended(self) -> None:
        """The caller has ended: what it asked for is dropped."""
        self.connection.close()

    def closed(self, why: str) -> None:
        """It is gone."""
        self.live = False
        self.backend.dropped(self)


class Backend:
    """One life of a backend; `lose`, `garble` and `extra` are shares of bad answers."""

    def __init__(
        self,
        host: Process,
        invariant_checker: InvariantChecker,
        service: str,
        application: int,
        control: int,
        slots: int = 9,
        queue: int = 36,
        most: int = 110,
        cold: float = 0.0,
    ) -> None:
        self.host, self.invariant_checker, self.service = host, invariant_checker, service
        self.machine, self.zone = host.machine.ip, host.machine.zone
        self.id = "i-" + host.random(4).hex()
        self.address, self.control = f"{self.machine}:{application}", (self.machine, control)
        self.slots, self.queue, self.most = slots, queue, most
        self.cold_until, self.cold_per_s = host.world.now + cold, COLD_PER_S
        self.lose = self.garble = self.extra = self.unsealed = 0.0  # shares of the answers
        self.errors = self.busy = self.hang = 0.0  # shares that fail, are turned away, are never answered
        self.forgets = 0.0  # seconds that a connection may rest; 0 for ever
        self.mean, self.state, self.serial = MEAN_WORK, "ready", 0
        self.connections: dict[Served, None] = {}
        self.running: dict[Work, None] = {}
        self.waiting: deque[Work] = deque()
        host.listen((self.machine, application), self._accept)
        self._beat()

    def _accept(self, connection: Connection) -> Served:
        served = Served(self, connection)
        if connection.peer[0] != self.machine:
            self.invariant_checker.notify(
                "unexpected_bytes", f"{connection.peer[0]} reached for the backend at {self.machine}"
            )
        if len(self.connections) >= self.most:
            connection.abort()
        else:
            self.connections[served] = None
        return served

    # Requests.

    def take(self, work: Work) -> None:
        """A request has come whole."""
        expected = work.head.headers.get("x-honeywharf-expected-instance", self.id)
        answer = work.connection.answer
        if expected != self.id:
            answer(421, {"X-Honeywharf-Instance-Id": self.id, "X-Honeywharf-Attempt-Id": work.name})
            return
        if work.head.path == "/health":
            answer(
                200 if self.state == "ready" else 503,
                {"X-Honeywharf-Instance-Id": self.id, "X-Honeywharf-Cold-Remaining": self._cold()},
            )
            return
        ask = self.invariant_checker.attempts.get(work.name)
        if ask is not None:
            ask.arrivals.append((self.host.world.now, self))
        self.invariant_checker.notify("arrived", self, work.name)
        if self._unlucky(self.busy):
            answer(503, {"X-Honeywharf-Not-Executed": 1, "X-Honeywharf-Attempt-Id": work.name})
        elif len(self.running) < self.slots:
            self._run(work)
        elif len(self.waiting) < self.queue:
            self.waiting.append(work)
        else:
            answer(503, {"X-Honeywharf-Not-Executed": 1, "X-Honeywharf-Attempt-Id": work.name})

    def _unlucky(self, share: float) -> bool:
        return share > 0.0 and self.host.world.random.random() < share

    def _run(self, work: Work) -> None:
        self.running[work] = None
        ask, head = self.invariant_checker.attempts.get(work.name), work.head
        if ask is not None:
            ask.runs.append((self.host.world.now, self))
        self.invariant_checker.notify(
            "ran",
            self,
            work.name,
            (
                head.method,
                head.headers.get("host", ""),
                head.path,
                head.body,
                head.headers.get("x-honeywharf-caller-service", ""),
            ),
        )
        lasts = self.host.world.random.expovariate(1 / self.mean) + 0.005
        if ask is not None:
            ask.ends.append((self.host.world.now + lasts, self))
        self.host.after(lasts, lambda: self._done(work))

    def _done(self, work: Work) -> None:
        if work not in self.running or self._unlucky(self.hang):
            return
        del self.running[work]
        ask, chance = self.invariant_checker.attempts.get(work.name), self.host.world.random
        wire, seal = work.connection.connection, f"{self.id}.{work.name}.{len(work.head.body)}"
        status = 500 if chance.random() < 0.001 or self._unlucky(self.errors) else 200
        body = zlib.crc32(work.name.encode()).to_bytes(4, "big") * chance.randint(0, 2000)
        headers: dict[str, object] = {
            "X-Honeywharf-Attempt-Id": work.name,
            "X-Honeywharf-Server-Seal": seal,
            "X-Honeywharf-Instance-Load": f"{len(self.running)},{len(self.waiting)},{self.slots}",
        }
        if self.state != "ready" or chance.random() < 0.01:
            headers["Connection"] = "close"
        luck = chance.random()
        if ask is not None:
            ask.answers[seal] = (status, body)
            ask.answer_corrupted = (
                ask.answer_corrupted or luck < self.lose + self.garble or luck > 1 - self.unsealed
            )
        if luck > 1 - self.unsealed:
            del headers["X-Honeywharf-Server-Seal"]
        whole = text(f"HTTP/1.1 {status} {REASONS[status]}", headers, body)
        if luck < self.lose:
            wire.abort()
        elif luck < self.lose + self.garble:
            half = chance.randint(1, len(whole) - 1)
            wire.send(whole[:half] if chance.random() < 0.5 else b"\x00garbled " + whole)
            wire.close()
        else:
            work.connection.answer(status, headers, body)
            if luck > 1 - self.extra:  # late: in the place where the next answer is due
                self.host.after(chance.choice((0.0, 0.01, 0.1)), lambda: wire.send(whole))
            if "Connection" in headers:
                wire.close()
        self._fill()

    def works_on(self, id_: str) -> bool:
        """Whether a request is at work here now."""
        return any(work.name == id_ for work in self.running)

    def dropped(self, served: Served) -> None:
        """A connection is gone, and with it what it asked for."""
        self.connections.pop(served, None)
        if served.work is not None:
            self.running.pop(served.work, None)
            self.waiting = deque(work for work in self.waiting if work is not served.work)
        self._fill()

    def _fill(self) -> None:
        while self.waiting and len(self.running) < self.slots:
            self._run(self.waiting.popleft())

    # The list.

    def leave(self, whole: Callable[[], None]) -> None:
        """Report `draining`, serve on for a while, deregister, then `whole()`."""
        self.state = "draining"

        def gone() -> None:
            self.state = "gone"
            self._call("deregister", b"")
            self.host.after(0.5, whole)

        self._call("heartbeat", self._fields())
        self.host.after(self.invariant_checker.bounds["drain-timeout"] + 1.0, gone)

    def _beat(self) -> None:
        if self.state != "gone":
            self._call("heartbeat", self._fields())
            self.host.after(1.3 * self.host.world.random.uniform(0.9, 1.1), self._beat)

    def _cold(self) -> int:
        return max(0, round((self.cold_until - self.host.world.now) * 1000))

    def _fields(self) -> bytes:
        self.serial += 1
        return json.dumps(
            {
                "address": self.address,
                "details": {
                    "target-service": self.service,
                    "config-version": "v1",
                    "zone": self.zone,
                    "capacity-slots": self.slots,
                },
                "status": {
                    "state": self.state,
                    "call-sequence": self.serial,
                    "cold-remaining": f"{self._cold()}ms",
                },
            }
        ).encode()

    def _call(self, what: str, body: bytes) -> None:
        state = self.state

        def told(tag: object, message: Message | None) -> None:
            if message is not None and 200 <= message.status < 300:
                self.invariant_checker.notify("heartbeat_acked", self, state)
            caller.close()

        caller = Caller(self.host, self.control, told)
        caller.ask(
            None,
            text(
                f"POST /api/instances/{self.id}/{what} HTTP/1.1",
                {"Host": self.address, "Content-Type": "application/json"},
                body,
            ),
        )
        self.host.after(SILENCE, caller.close)


class Operator:
    """Sends orders to one control node after another until an answer is clear; reads back at the end."""

    def __init__(
        self, host: Process, invariant_checker: InvariantChecker, targets: Callable[[], list[Address]]
    ) -> None:
        self.host, self.invariant_checker, self.targets = host, invariant_checker, targets
        self.by = ""  # the machine that acknowledged last
        self.loses = 0.0  # share of the answers that are lost on their way
        self.on_ack: Callable[[Order, str], None] = lambda order, ip: None

    def order(self, order: Order, tries: int = 40) -> None:
        """Send, and again until it is clear."""
        self.invariant_checker.orders.append(order)
        order.sent = self.host.world.now
        self.host.world.tell("operator", "sends", order)
        self.invariant_checker.notify("ordered", order)
        path = "configuration/replace" if order.kind == "config" else f"evacuations/{order.zone}/{order.kind}"
        headers: dict[str, object] = {"Host": "mesh", "Content-Type": "application/json"}
        self._try(
            text(f"POST /api/{path} HTTP/1.1", headers, order.text),
            tries,
            lambda message, ip: self._clear(order, message, ip),
        )

    def _clear(self, order: Order, message: Message, ip: str) -> None:
        if message.status < 300:
            order.acked, self.by = self.host.world.now, ip
            self.host.world.tell("operator", "has an ack of", order, "from", ip)
            self.invariant_checker.notify("acked", order)
            self.on_ack(order, ip)
        else:
            self.host.world.tell("operator", "is refused", order, "by", ip, message.status)
            self.invariant_checker.notify("refused", order, message.status)

    def read_back(self, tries: int = 40) -> None:
        """Ask for the configuration until it comes."""
        self._try(
            text("GET /api/configuration/describe HTTP/1.1", {"Host": "mesh"}),
            tries,
            lambda message, ip: self.invariant_checker.notify("read_back", message.body),
            lambda: self.invariant_checker.notify("read_back", b""),
        )

    def _try(
        self,
        data: bytes,
        tries: int,
        clear: Callable[[Message, str], None],
        never: Callable[[], None] = lambda: None,
    ) -> None:
        if not tries:
            never()
            return
        to = self.host.world.random.choice(self.targets())
        over: list[bool] = []

        def end(message: Message | None) -> None:
            if over:
                return
            over.append(True)
            caller.close()
            if message is not None and self.loses and self.host.world.random.random() < self.loses:
                message = None
            status = 0 if message is None else message.status
            if message is not None and 200 <= status < 500 and status not in (307, 404, 408, 429):
                clear(message, to[0])
            else:
                self.host.after(0.1, lambda: self._try(data, tries - 1, clear, never))

        caller = Caller(self.host, to, lambda tag, message: end(message))
        caller.ask(None, data)
        self.host.after(SILENCE, lambda: end(None))
