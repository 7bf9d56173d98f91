"""The backends of a simulated deployment, which follow PROTOCOL.md but make no calls of their own.

They notify the `InvariantChecker` of what their connections show.
"""

from __future__ import annotations

import json
import zlib
from collections import deque
from collections.abc import Callable
from functools import partial

import httptools

from honeywharf.simulation.http_peer import CONTROL_TIMEOUT_S, Caller, Message, Reader, text
from honeywharf.simulation.invariants import InvariantChecker
from honeywharf.simulation.machine import Process
from honeywharf.transport.host import Connection

REASONS = {200: "OK", 421: "Misdirected Request", 500: "Internal Server Error", 503: "Service Unavailable"}
SLOTS, MAX_QUEUED, MAX_CONNECTIONS = 9, 36, 110  # Of requests running, requests waiting, connections.
MEAN_WORK_S = 0.06  # The mean time that a backend works on a request.
COLD_PER_S = 9.0  # The rate of requests that a cold backend can serve.


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
        cold: float = 0.0,
    ) -> None:
        self.host, self.invariant_checker, self.service = host, invariant_checker, service
        self.machine, self.zone = host.machine.ip, host.machine.zone
        self.id = "i-" + host.random(4).hex()
        self.address, self.control = f"{self.machine}:{application}", (self.machine, control)
        self.slots, self.queue, self.max_connections = SLOTS, MAX_QUEUED, MAX_CONNECTIONS
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
