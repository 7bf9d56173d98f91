"""The clients, backends and operators of a simulated deployment, which speak HTTP/1.1.

Each is a small program on a `Process` and notifies the `InvariantChecker` of what its connections show. They
follow PROTOCOL.md with two omissions: backends make no calls, and clients send no chunked bodies.
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
FINAL_STATUSES = (400, 401, 404, 413, 431)  # After these answers a client does not retry.
CONTROL_TIMEOUT_S = 1.0  # The time-out of calls to the control plane.
MEAN_WORK_S = 0.06  # The mean time that a backend works on a request.
COLD_PER_S = 9.0  # The rate of requests that a cold backend can serve.
MAX_DISCONNECT_DELAY_S = 0.2  # Clients that disconnect early do so within this time.
NO_ANSWER = 1  # The status of an attempt whose client has disconnected or got no answer.


class Message:
    """A complete request or answer."""

    __slots__ = ("body", "headers", "method", "path", "status")

    def __init__(self) -> None:
        self.method, self.path, self.status, self.body = "", "", 0, b""
        self.headers: dict[str, str] = {}


class Reader:
    """Parses bytes to messages; `feed` raises `httptools.HttpParserError` on malformed input."""

    def __init__(self, requests: bool) -> None:
        self.parser: Any = (httptools.HttpRequestParser if requests else httptools.HttpResponseParser)(self)
        self.requests, self.complete, self.message = requests, list[Message](), Message()
        self.begun = False

    def feed(self, data: bytes) -> list[Message]:
        """Returns the messages that these bytes complete."""
        self.parser.feed_data(data)
        complete, self.complete = self.complete, []
        return complete

    def on_message_begin(self) -> None:
        """Called when a message begins."""
        self.message, self.begun = Message(), True

    def on_url(self, part: bytes) -> None:
        """Appends a part of the path."""
        self.message.path += part.decode("latin-1")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a header field."""
        self.message.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, part: bytes) -> None:
        """Appends a part of the body."""
        self.message.body += part

    def on_message_complete(self) -> None:
        """Completes the message; informational answers (1xx) are dropped."""
        self.begun = False
        if self.requests:
            self.message.method = self.parser.get_method().decode()
        else:
            self.message.status = self.parser.get_status_code()
        if self.message.status >= 200 or self.requests:
            self.complete.append(self.message)


def text(first: str, headers: dict[str, object], body: bytes = b"") -> bytes:
    """Returns a message with a Content-Length."""
    lines = [first, *(f"{name}: {value}" for name, value in headers.items())]
    return "\r\n".join([*lines, f"Content-Length: {len(body)}"]).encode() + b"\r\n\r\n" + body


class Caller:
    """A client connection: sends requests, and passes answers in order to `on_answer(tag, message)`.

    The message is None if the connection ended before. Bytes that answer no request go to `on_stray_bytes`.
    """

    def __init__(
        self,
        host: Process,
        to: Address,
        answer_received: Callable[[Any, Message | None], None],
        on_stray_bytes: Callable[[str], None] = lambda what: None,
    ) -> None:
        self.on_answer, self.on_stray_bytes, self.reader = (
            answer_received,
            on_stray_bytes,
            Reader(requests=False),
        )
        self.waiting: deque[Any] = deque()
        self.is_open, self.is_connected = True, False
        self.on_opened: Callable[[], None] = lambda: None
        self.connection: Connection = host.connect(to, lambda connection: self)

    def send_request(self, tag: Any, data: bytes) -> None:
        """Sends one request."""
        self.waiting.append(tag)
        self.connection.send(data)

    def close(self) -> None:
        """Aborts the connection without further callbacks."""
        self.is_open = False
        self.waiting.clear()
        self.connection.abort()

    def leave(self) -> None:
        """Closes the connection without a reset, as a client that disconnects does."""
        self.is_open = False
        self.waiting.clear()
        self.connection.close()

    def opened(self) -> None:
        """Called when the connection is established, before anything is sent."""
        self.is_connected = True
        self.on_opened()

    def drained(self) -> None:
        """Called when all buffered bytes were sent."""

    def received(self, data: bytes) -> None:
        """Parses bytes of answers."""
        if not self.is_open:
            return
        try:
            messages = self.reader.feed(data)
        except httptools.HttpParserError as fault:
            self.on_stray_bytes(f"malformed answer: {data[:60]!r} ({fault})")
            self._cut()
            return
        for message in messages:
            if not self.waiting:
                self.on_stray_bytes(f"answer without a request: {message.status} {message.headers}")
                return
            leaves = message.headers.get("connection", "").lower() == "close"
            self.on_answer(self.waiting.popleft(), message)
            if leaves:
                self._cut()
                return

    def ended(self) -> None:
        """Called when the peer has closed its sending half."""
        self._cut()

    def closed(self, why: str) -> None:
        """Called when the connection is closed."""
        self._cut()

    def _cut(self) -> None:
        waiting, self.waiting = self.waiting, deque()
        if self.is_open:
            self.is_open = False
            self.connection.close()
        for tag in waiting:
            self.on_answer(tag, None)


class Flow:
    """The traffic on a route; `habit` is how clients use connections: "fresh", "pool" or "pipeline"."""

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

    They send nothing new while the proxy is not ready, unless `ignores_readiness`: the platform keeps sending
    clients to proxies while fewer than half of the zone's proxies are ready.
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
        self.missed_probes, self.until = 2, float("inf")
        self.ignores_readiness = False
        self.disconnect_share = 0.0  # The share of the requests whose clients disconnect early.
        self.count = 0
        self._probe()
        self._send_next()

    def _probe(self) -> None:
        answered: list[bool] = []

        def answer_received(tag: object, message: Message | None) -> None:
            answered.append(message is not None and message.status == 200)
            caller.close()

        def finished() -> None:
            caller.close()
            self.missed_probes = 0 if True in answered else self.missed_probes + 1
            self._probe()

        caller = Caller(self.host, (self.ip, self.readiness), answer_received)
        caller.send_request(None, text("GET /api/readiness HTTP/1.1", {"Host": "ready"}))
        self.host.after(1.0, finished)

    def _send_next(self) -> None:
        rng, total = self.host.world.random, sum(flow.per_s for flow in self.flows)
        self.host.after(rng.expovariate(total) if total else 0.1, self._send_next)
        sends = self.missed_probes < 2 or self.ignores_readiness
        if total and sends and self.host.world.now < self.until:
            flow = rng.choices(self.flows, [flow.per_s for flow in self.flows])[0]
            ends = self.host.world.now + flow.deadline
            many = rng.randint(2, 4) if flow.habit == "pipeline" else 1
            caller = self._connection(flow)
            for place in range(many):
                self._send(caller, self._new_attempt(flow, ends, place > 0), flow, flow.tries)

    def _connection(self, flow: Flow) -> Caller:
        self.pool = [caller for caller in self.pool if caller.is_open]
        free = [caller for caller in self.pool if not caller.waiting]
        if free and flow.habit == "pool":
            return free[0]
        caller = Caller(
            self.host,
            (self.ip, self.outbound),
            self._answer_received,
            lambda what: self.invariant_checker.notify("unexpected_bytes", what),
        )
        self.pool += [caller] * (flow.habit == "pool" and len(self.pool) < 20)
        return caller

    def _new_attempt(self, flow: Flow, ends: float, is_pipelined: bool) -> Attempt:
        self.count += 1
        name = self.host.random(8).hex()
        method = "GET" if flow.kind == "read_only" else "POST"
        attempt = Attempt(
            name, self.ip, self.service(), method, flow.host, f"{flow.prefix}{self.count}", flow.kind
        )
        attempt.body = zlib.compress(name.encode()) * (flow.size // 20) if method == "POST" else b""
        attempt.deadline, attempt.is_pipelined, attempt.incarnation = (
            ends,
            is_pipelined,
            self.proxy.incarnation,
        )
        return attempt

    def _send(self, caller: Caller, attempt: Attempt, flow: Flow, tries: int) -> None:
        attempt.sent = self.host.world.now
        self.invariant_checker.attempts[attempt.id] = attempt
        self.invariant_checker.notify("sent", attempt)
        remaining_ms = max(1, round((attempt.deadline - attempt.sent) * 1000))
        caller.send_request(
            (attempt, flow, tries, caller),
            text(
                f"{attempt.method} {attempt.path} HTTP/1.1",
                {
                    "Host": attempt.host,
                    "X-Honeywharf-Attempt-Id": attempt.id,
                    "X-Honeywharf-Deadline-Remaining": remaining_ms,
                    "X-Honeywharf-Caller-Service": "forged",
                },
                attempt.body,
            ),
        )

        self.host.after(attempt.deadline - attempt.sent, lambda: self._disconnect(attempt, caller))
        rng = self.host.world.random
        if self.disconnect_share and rng.random() < self.disconnect_share:
            self.host.after(
                rng.uniform(0.0, MAX_DISCONNECT_DELAY_S), lambda: self._disconnect(attempt, caller)
            )

    def _disconnect(self, attempt: Attempt, caller: Caller) -> None:
        """Closes the connection of an unanswered request, and abandons all requests that wait on it."""
        if attempt.status or not caller.is_open:
            return
        given_up = [tag[0] for tag in caller.waiting]
        caller.leave()
        for other in given_up:
            other.status, other.abandoned_at = NO_ANSWER, self.host.world.now
            self.invariant_checker.notify("client_left", other)

    def _answer_received(self, tag: tuple[Attempt, Flow, int, Caller], message: Message | None) -> None:
        attempt, flow, tries, caller = tag
        if attempt.status:
            return
        if message is None:
            attempt.status = NO_ANSWER
            if caller.is_connected:  # Otherwise no process has read the request.
                self.invariant_checker.notify("connection_lost", attempt)
        else:
            attempt.status = message.status
            self.invariant_checker.notify("answered", attempt, message.status, message.headers, message.body)
            if flow.habit != "pool" and not caller.waiting:
                caller.close()
        promised = (
            message is not None
            and "x-honeywharf-server-seal" not in message.headers
            and (message.status in (408, 421, 429, 503))
        )
        failed = message is None or message.status >= 500 or promised
        if tries and failed and attempt.status not in FINAL_STATUSES and (attempt.repeatable or promised):
            wait = float(message.headers.get("retry-after", 0)) if message is not None else 0.0
            remaining_s = attempt.deadline - self.host.world.now
            self.host.after(min(wait, remaining_s / 3) + 0.02, lambda: self._retry(flow, attempt, tries - 1))

    def _retry(self, flow: Flow, attempt: Attempt, tries: int) -> None:
        if self.host.world.now < attempt.deadline - 0.05:
            self._send(
                self._connection(Flow(flow.host, flow.prefix, flow.kind, 0)),
                self._new_attempt(flow, attempt.deadline, False),
                flow,
                tries,
            )


class BackendRequest:
    """A request at a backend."""

    __slots__ = ("connection", "head", "name")

    def __init__(self, connection: ServerConnection, head: Message) -> None:
        self.connection, self.head = connection, head
        self.name = head.headers.get("x-honeywharf-attempt-id", "")


class ServerConnection:
    """A connection to a backend, which serves one request at a time."""

    def __init__(self, backend: Backend, connection: Connection) -> None:
        self.backend, self.connection, self.reader = backend, connection, Reader(requests=True)
        self.next: deque[Message] = deque()
        self.request: BackendRequest | None = None
        self.answers = 0
        self.is_open = True

    def opened(self) -> None:
        """Not called, since the connection was accepted."""

    def drained(self) -> None:
        """Called when all buffered bytes were sent."""

    def received(self, data: bytes) -> None:
        """Parses bytes of requests."""
        try:
            self.next.extend(self.reader.feed(data))
        except httptools.HttpParserError as fault:
            self.backend.invariant_checker.notify(
                "unexpected_bytes", f"malformed request at {self.backend.id}: {data[:60]!r} ({fault})"
            )
            self.connection.abort()
            return
        self.go()

    def go(self) -> None:
        """Starts the next request."""
        if self.request is None and self.next and self.is_open:
            self.request = BackendRequest(self, self.next.popleft())
            self.backend.start_request(self.request)

    def answer(self, status: int, headers: dict[str, object], body: bytes = b"") -> None:
        """Answers the running request, and starts the next one."""
        self.request = None
        self.connection.send(text(f"HTTP/1.1 {status} {REASONS.get(status, 'Other')}", headers, body))
        self.answers += 1
        if self.backend.idle_timeout_s:
            self.backend.host.after(self.backend.idle_timeout_s, partial(self._close_idle, self.answers))
        self.go()

    def _close_idle(self, answers: int) -> None:
        """Resets the connection if it has been idle since that many answers."""
        if self.is_open and self.request is None and self.answers == answers:
            self.connection.abort()

    def ended(self) -> None:
        """Cancels the requests: the client has closed its sending half."""
        self.connection.close()

    def closed(self, why: str) -> None:
        """Called when the connection is closed."""
        self.is_open = False
        self.backend.connection_closed(self)


class Backend:
    """One incarnation of a backend; `lose`, `garble`, `extra` and `unsealed` are shares of bad answers."""

    def __init__(
        self,
        host: Process,
        invariant_checker: InvariantChecker,
        service: str,
        application: int,
        control: int,
        slots: int = 9,
        queue: int = 36,
        max_connections: int = 110,
        cold: float = 0.0,
    ) -> None:
        self.host, self.invariant_checker, self.service = host, invariant_checker, service
        self.machine, self.zone = host.machine.ip, host.machine.zone
        self.id = "i-" + host.random(4).hex()
        self.address, self.control = f"{self.machine}:{application}", (self.machine, control)
        self.slots, self.queue, self.max_connections = slots, queue, max_connections
        self.cold_until, self.cold_per_s = host.world.now + cold, COLD_PER_S
        self.lose = self.garble = self.extra = self.unsealed = 0.0
        self.errors = self.busy = self.hang = 0.0  # The shares answered with 500, refused, and unanswered.
        self.health_lies = False  # Whether health answers are good while it leaves, and bad while it is well.
        self.idle_timeout_s = 0.0  # The time after which an idle connection is reset; 0 for never.
        self.mean_work_s, self.state, self.call_sequence = MEAN_WORK_S, "ready", 0
        self.connections: dict[ServerConnection, None] = {}
        self.running: dict[BackendRequest, None] = {}
        self.waiting: deque[BackendRequest] = deque()
        host.listen((self.machine, application), self._accept)
        self._send_heartbeat()

    def _accept(self, connection: Connection) -> ServerConnection:
        served = ServerConnection(self, connection)
        if connection.peer[0] != self.machine:
            self.invariant_checker.notify(
                "unexpected_bytes",
                f"{connection.peer[0]} connected to the backend at {self.machine} without its proxy",
            )
        if len(self.connections) >= self.max_connections:
            connection.abort()
        else:
            self.connections[served] = None
        return served

    # Requests.

    def start_request(self, request: BackendRequest) -> None:
        """Starts, queues or refuses a complete request."""
        expected = request.head.headers.get("x-honeywharf-expected-instance", self.id)
        answer = request.connection.answer
        if expected != self.id:
            answer(421, {"X-Honeywharf-Instance-Id": self.id, "X-Honeywharf-Attempt-Id": request.name})
            return
        if request.head.path == "/health":
            answer(
                200 if (self.state == "ready") != self.health_lies else 503,
                {
                    "X-Honeywharf-Instance-Id": self.id,
                    "X-Honeywharf-Cold-Remaining": self._cold_remaining_ms(),
                },
            )
            return
        attempt = self.invariant_checker.attempts.get(request.name)
        if attempt is not None:
            attempt.arrivals.append((self.host.world.now, self))
        self.invariant_checker.notify("arrived", self, request.name)
        if self._is_drawn(self.busy):
            answer(503, {"X-Honeywharf-Not-Executed": 1, "X-Honeywharf-Attempt-Id": request.name})
        elif len(self.running) < self.slots:
            self._run(request)
        elif len(self.waiting) < self.queue:
            self.waiting.append(request)
        else:
            answer(503, {"X-Honeywharf-Not-Executed": 1, "X-Honeywharf-Attempt-Id": request.name})

    def _is_drawn(self, share: float) -> bool:
        return share > 0.0 and self.host.world.random.random() < share

    def _run(self, request: BackendRequest) -> None:
        self.running[request] = None
        attempt, head = self.invariant_checker.attempts.get(request.name), request.head
        if attempt is not None:
            attempt.runs.append((self.host.world.now, self))
        self.invariant_checker.notify(
            "ran",
            self,
            request.name,
            (
                head.method,
                head.headers.get("host", ""),
                head.path,
                head.body,
                head.headers.get("x-honeywharf-caller-service", ""),
            ),
        )
        duration_s = self.host.world.random.expovariate(1 / self.mean_work_s) + 0.005
        if attempt is not None:
            attempt.ends.append((self.host.world.now + duration_s, self))
        self.host.after(duration_s, lambda: self._finish(request))

    def _finish(self, request: BackendRequest) -> None:
        if request not in self.running or self._is_drawn(self.hang):
            return
        del self.running[request]
        attempt, rng = self.invariant_checker.attempts.get(request.name), self.host.world.random
        wire, seal = request.connection.connection, f"{self.id}.{request.name}.{len(request.head.body)}"
        status = 500 if rng.random() < 0.001 or self._is_drawn(self.errors) else 200
        body = zlib.crc32(request.name.encode()).to_bytes(4, "big") * rng.randint(0, 2000)
        headers: dict[str, object] = {
            "X-Honeywharf-Attempt-Id": request.name,
            "X-Honeywharf-Server-Seal": seal,
            "X-Honeywharf-Instance-Load": f"{len(self.running)},{len(self.waiting)},{self.slots}",
        }
        if self.state != "ready" or rng.random() < 0.01:
            headers["Connection"] = "close"
        draw = rng.random()
        if attempt is not None:
            attempt.answers[seal] = (status, body)
            attempt.answer_corrupted = (
                attempt.answer_corrupted or draw < self.lose + self.garble or draw > 1 - self.unsealed
            )
        if draw > 1 - self.unsealed:
            del headers["X-Honeywharf-Server-Seal"]
        complete = text(f"HTTP/1.1 {status} {REASONS[status]}", headers, body)
        if draw < self.lose:
            wire.abort()
        elif draw < self.lose + self.garble:
            half = rng.randint(1, len(complete) - 1)
            wire.send(complete[:half] if rng.random() < 0.5 else b"\x00garbled " + complete)
            wire.close()
        else:
            request.connection.answer(status, headers, body)
            if draw > 1 - self.extra:  # The copy arrives where the next answer is due.
                self.host.after(rng.choice((0.0, 0.01, 0.1)), lambda: wire.send(complete))
            if "Connection" in headers:
                wire.close()
        self._start_waiting()

    def is_running(self, id_: str) -> bool:
        """Whether the backend is running the attempt."""
        return any(request.name == id_ for request in self.running)

    def connection_closed(self, served: ServerConnection) -> None:
        """Cancels the requests of a closed connection."""
        self.connections.pop(served, None)
        if served.request is not None:
            self.running.pop(served.request, None)
            self.waiting = deque(request for request in self.waiting if request is not served.request)
        self._start_waiting()

    def _start_waiting(self) -> None:
        while self.waiting and len(self.running) < self.slots:
            self._run(self.waiting.popleft())

    # Registration with the control plane.

    def depart(self, how: str) -> list[Callable[[], None]]:
        """Drains or deregisters, and serves on. Returns calls that send two heartbeats of before that."""
        late_heartbeats = [self._heartbeat_body() for _ in range(2)]
        self.state = "draining" if how == "drain" else "gone"
        if how == "drain":
            self._call("heartbeat", self._heartbeat_body())
        else:
            self._call("deregister", b"")
        return [partial(self._call, "heartbeat", body, state="ready") for body in late_heartbeats]

    def become_cold(self, cold_s: float, late: int) -> list[Callable[[], None]]:
        """Becomes cold for `cold_s`. Returns calls that send `late` heartbeats of before that, in order."""
        heartbeats = [self._heartbeat_body() for _ in range(late)]
        self.cold_until = self.host.world.now + cold_s
        return [partial(self._call, "heartbeat", body) for body in heartbeats]

    def leave(self, complete: Callable[[], None]) -> None:
        """Reports `draining`, serves on for a while, deregisters, then calls `complete`."""
        self.state = "draining"

        def gone() -> None:
            self.state = "gone"
            self._call("deregister", b"")
            self.host.after(0.5, complete)

        self._call("heartbeat", self._heartbeat_body())
        self.host.after(self.invariant_checker.bounds["drain-timeout"] + 1.0, gone)

    def _send_heartbeat(self) -> None:
        if self.state != "gone":
            self._call("heartbeat", self._heartbeat_body())
            self.host.after(1.3 * self.host.world.random.uniform(0.9, 1.1), self._send_heartbeat)

    def _cold_remaining_ms(self) -> int:
        return max(0, round((self.cold_until - self.host.world.now) * 1000))

    def _heartbeat_body(self) -> bytes:
        self.call_sequence += 1
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
                    "call-sequence": self.call_sequence,
                    "cold-remaining": f"{self._cold_remaining_ms()}ms",
                },
            }
        ).encode()

    def _call(self, what: str, body: bytes, state: str = "") -> None:
        """Calls the control plane. `state`: what the call says, if it is not the present state."""
        state = state or self.state

        def answer_received(tag: object, message: Message | None) -> None:
            if message is not None and 200 <= message.status < 300:
                self.invariant_checker.notify("heartbeat_acked", self, state)
            caller.close()

        caller = Caller(self.host, self.control, answer_received)
        caller.send_request(
            None,
            text(
                f"POST /api/instances/{self.id}/{what} HTTP/1.1",
                {"Host": self.address, "Content-Type": "application/json"},
                body,
            ),
        )
        self.host.after(CONTROL_TIMEOUT_S, caller.close)


class Operator:
    """Sends orders to control nodes until one gives a final answer; reads back at the end of the run."""

    def __init__(
        self, host: Process, invariant_checker: InvariantChecker, targets: Callable[[], list[Address]]
    ) -> None:
        self.host, self.invariant_checker, self.targets = host, invariant_checker, targets
        self.acked_by = ""  # The control node of the last acknowledgement.
        self.ack_loss_share = 0.0  # The share of the answers that are lost in transit.
        self.on_ack: Callable[[Order, str], None] = lambda order, ip: None
        # Called with the address of a control node when a connection to it is established.
        self.on_connected: Callable[[str], None] = lambda ip: None

    def order(self, order: Order, tries: int = 40, *, first: str = "") -> None:
        """Sends an order, and retries until it has a final answer.

        `first` is the address of the node to try first, and not again; empty for any.
        """
        self.invariant_checker.orders.append(order)
        order.sent = self.host.world.now
        self.host.world.record_event("operator", "sends", order)
        self.invariant_checker.notify("ordered", order)
        path = "configuration/replace" if order.kind == "config" else f"evacuations/{order.zone}/{order.kind}"
        headers: dict[str, object] = {"Host": "mesh", "Content-Type": "application/json"}
        self._send_until_answered(
            text(f"POST /api/{path} HTTP/1.1", headers, order.text),
            tries,
            lambda message, ip: self._finish_order(order, message, ip),
            first=first,
        )

    def _finish_order(self, order: Order, message: Message, ip: str) -> None:
        if message.status < 300:
            order.acked, self.acked_by = self.host.world.now, ip
            self.host.world.record_event("operator", "has an ack of", order, "from", ip)
            self.invariant_checker.notify("acked", order)
            self.on_ack(order, ip)
        else:
            self.host.world.record_event("operator", "is refused", order, "by", ip, message.status)
            self.invariant_checker.notify("refused", order, message.status)

    def read_back(self, tries: int = 40) -> None:
        """Reads the configuration, and retries until it has an answer."""
        self._send_until_answered(
            text("GET /api/configuration/describe HTTP/1.1", {"Host": "mesh"}),
            tries,
            lambda message, ip: self.invariant_checker.notify("read_back", message.body),
            lambda: self.invariant_checker.notify("read_back", b""),
        )

    def _send_until_answered(
        self,
        data: bytes,
        tries: int,
        on_final_answer: Callable[[Message, str], None],
        on_failure: Callable[[], None] = lambda: None,
        first: str = "",
        avoided: str = "",
    ) -> None:
        if not tries:
            on_failure()
            return
        targets = [to for to in self.targets() if to[0] != avoided]
        to = self.host.world.random.choice([to for to in targets if to[0] == first] or targets)
        finished: list[bool] = []

        def end(message: Message | None) -> None:
            if finished:
                return
            finished.append(True)
            caller.leave() if message is None else caller.close()
            if (
                message is not None
                and self.ack_loss_share
                and self.host.world.random.random() < self.ack_loss_share
            ):
                message = None
            status = 0 if message is None else message.status
            if message is not None and 200 <= status < 500 and status not in (307, 404, 408, 429):
                on_final_answer(message, to[0])
            else:
                self.host.after(0.1, retry)

        def retry() -> None:
            self._send_until_answered(data, tries - 1, on_final_answer, on_failure, avoided=first or avoided)

        caller = Caller(self.host, to, lambda tag, message: end(message))
        caller.on_opened = lambda: self.on_connected(to[0])
        caller.send_request(None, data)
        self.host.after(CONTROL_TIMEOUT_S, lambda: end(None))
