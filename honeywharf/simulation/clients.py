"""The clients of a simulated deployment, which follow PROTOCOL.md but send no chunked bodies.

They notify the `InvariantChecker` of what their connections show.
"""

from __future__ import annotations

import zlib
from collections.abc import Callable

from honeywharf.simulation.http_peer import Caller, Message, text
from honeywharf.simulation.invariants import Attempt, InvariantChecker
from honeywharf.simulation.machine import Process

FINAL_STATUSES = (400, 401, 404, 413, 431)  # After these answers a client does not retry.
MAX_DISCONNECT_DELAY_S = 0.2  # Clients that disconnect early do so within this time.
NO_ANSWER = 1  # The status of an attempt whose client has disconnected or got no answer.


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
