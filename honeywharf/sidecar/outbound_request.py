"""One request at the sidecar that took it from the client: gates tried, retries, and the final answer.

Theory of operation. A request is sent to one gate at a time. A gate's rejection proves that nothing has run
and costs one round trip, so the next gate is tried at once: each gate once, `MAX_GATES_TRIED` in all. When no
gate with room is left, the request is queued at the gate that announced the shortest wait, at most until
`MAX_QUEUE_WAIT_SHARE` of its latency target has passed. Once it has reached a backend's socket, another
backend is tried only as the verdict, the kind, the route's `max-attempts` and the retry budget allow. The
client gets exactly one final answer; `is_over` is set when it is given.

    verdict                     read_only                  mutating, upload
    not run                     another gate               another gate
    not run, reached a backend  another, by the budget     another, by the budget
    may have run                another, by the budget     502, 504
    (no gate left)              503 with Retry-After       503 with Retry-After, only where nothing has run

A sidecar that suspects its own rules of drift does not decide: it delegates the request, with
`DELEGATED_ROUTE`, to a healthy sidecar (`delegation`), which handles it as an `OutboundRequest` of its own.
At most `MAX_DELEGATES` are tried, and none after one that may have run the request.

Source: RULES (TWICE, REFUSED, BUDGET), PROTOCOL ("Requests", "Answers").
"""

from __future__ import annotations

from honeywharf.codecs.heads import UNKNOWN, RequestHead
from honeywharf.mesh_config.routes import Route
from honeywharf.transport.stream import DELEGATED, INITIAL_WINDOW, ForwardedRequest
from honeywharf.verdict import DRIFT, FULL, LINK_LOST, MAY_HAVE_RUN, NOT_RUN, TIMED_OUT, Verdict

TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Protocol

    from honeywharf.sidecar.source import Source
    from honeywharf.transport.host import Timer

    class Channel(Protocol):
        """The sending side of an attempt: a stream of a link, or an `InboundRequest` of this process."""

        def data(self, data: bytes) -> None:
            """Sends a part of the request's body."""

        def end(self) -> None:
            """Tells the gate that the body is complete."""

        def window(self, size: int) -> None:
            """Lets the gate send `size` further bytes of the answer."""

        def cancel(self) -> None:
            """Tells the gate that no answer is wanted any more."""

    class Client(Protocol):
        """Receives the answer of an `OutboundRequest`."""

        def final(self, request: OutboundRequest, status: int, retry_after_s: float, text: bytes) -> None:
            """Takes an answer that the mesh itself gives; ends the request."""

        def answer(
            self, request: OutboundRequest, status: int, fields: bytes, length: int, body: bytes | None
        ) -> None:
            """Takes a backend's answer: complete, or its head where `body` is None."""

        def data(self, request: OutboundRequest, data: bytes) -> None:
            """Takes a part of the answer's body."""

        def whole(self, request: OutboundRequest) -> None:
            """Called when the answer is complete."""

        def broken(self, request: OutboundRequest) -> None:
            """Called when an answer that has begun can't be completed."""

        def body_forwarded(self, request: OutboundRequest) -> None:
            """Called when a part of the request's body was forwarded, so that more may be read."""


# A share of the latency target, counted from the request's arrival.
MAX_QUEUE_WAIT_SHARE = 0.22
MAX_RETAINED_BODY_BYTES = 512 * 1024  # retained for a further attempt
MAX_GATES_TRIED = 6
MAX_ROUTE_LOOKUPS = 3  # bounds the lookups of a request whose gates decide by another rule
DEFAULT_DEADLINE_S = 10.0  # applies to a request without a deadline header
MAX_QUEUES_TRIED = 3
RETRY_AFTER_SHARES = (0.08, 0.3)  # range of Retry-After, as shares of the latency target
ANSWER_MARGIN_S = 0.004  # a final answer sent this long before the deadline arrives in time
MAX_DELEGATES = 2
DELEGATE_MARGIN_S = 0.012  # a delegate's deadline ends earlier, so that its final answer arrives in time


def _delegated_route() -> Route:
    """Returns the route of requests decided by another sidecar: no service, and no retry from here."""
    route = Route()
    route.allowed_regions = ()
    route.name, route.host, route.prefix, route.kind = "aside", b"", b"", "mutating"
    route.timeout_s, route.latency_target_s, route.priority, route.max_attempts = 600.0, 1.0, 0, 1
    route.split = (("", 1.0),)
    return route


DELEGATED_ROUTE = _delegated_route()


def kind_on_wire(route: Route) -> int:
    """Returns a route's kind as it is sent to gates."""
    return (
        DELEGATED if route is DELEGATED_ROUTE else 0 if route.is_idempotent else 2 if route.is_upload else 1
    )


class OutboundRequest:
    """One request of a client. `deadline` is in seconds on the steady clock.

    `caller` is the calling service of a request delegated to this sidecar; it is not delegated again.
    """

    __slots__ = (
        "answering",
        "arrived_at",
        "attempts",
        "backends_reached",
        "body_complete",
        "body_dropped",
        "body_sent",
        "bytes_received",
        "bytes_sent",
        "caller",
        "channel",
        "client",
        "deadline",
        "deadline_timer",
        "gate",
        "head",
        "is_admitted",
        "is_over",
        "is_sending",
        "kind",
        "may_have_run",
        "queue_tried",
        "rejected_for_drift",
        "retained",
        "retained_bytes",
        "revision",
        "route",
        "route_lookups",
        "send_window",
        "service",
        "source",
        "tried",
    )

    def __init__(
        self,
        source: Source,
        client: Client,
        head: RequestHead,
        route: Route,
        deadline: float,
        caller: str | None = None,
    ) -> None:
        self.source, self.client, self.head, self.route, self.deadline = source, client, head, route, deadline
        self.arrived_at, self.caller = source.host.now(), caller
        self.kind = kind_on_wire(route)
        self.service = source.draw_service(route)
        self.tried: set[str] = set()  # gates, or delegates
        self.queue_tried: set[str] = set()  # gates whose queue was tried
        self.gate = ""  # the gate of the attempt under way
        self.channel: Channel | None = None
        self.backends_reached = 0  # attempts that reached a backend's socket
        self.may_have_run = False  # whether an attempt may have run
        self.attempts = 0
        self.is_admitted = self.body_sent = self.answering = self.body_complete = self.is_over = (
            self.body_dropped
        ) = False
        self.route_lookups, self.revision = (
            1,
            source.revision(),
        )
        self.rejected_for_drift = False  # whether the last gate decides by another rule
        self.is_sending = False  # guards against re-entry: a gate in this process calls back from within
        self.retained: list[bytes] = []
        self.retained_bytes = self.bytes_received = self.bytes_sent = 0
        self.send_window = 0
        self.deadline_timer: Timer | None = None

    def start(self) -> None:
        """Sends the request to the first gate."""
        now = self.source.host.now()
        self.source.budget(self.service).record_request(now)
        self.deadline_timer = self.source.host.after(
            max(0.0, self.deadline - now - ANSWER_MARGIN_S), self._deadline_passed
        )
        self._try_next_gate()

    # Choice of the gate.

    def _try_next_gate(self) -> None:
        now, lifetime = self.source.host.now(), self.source.lifetime
        if self.deadline - now <= ANSWER_MARGIN_S:
            self._give_up(0.0)
            return
        if not lifetime.may_begin(now, self.deadline):
            self._give_up(lifetime.restart_wait_s(now))
            return
        if self.route is DELEGATED_ROUTE:
            self._try_next_delegate()
            return
        balancer = self.source.levels_of(self.service)
        excluded = self._backends_outside_regions()
        skipped = self.tried | excluded if excluded else self.tried
        if self._has_large_body():
            skipped = skipped | self.source.saturated_gates()
        key = balancer.pick(now, skipped) if len(self.tried) < MAX_GATES_TRIED else None
        if key is not None:
            self.tried.add(key)
            self._send_to(key, 0.0)
            return
        max_wait_s = self.arrived_at + MAX_QUEUE_WAIT_SHARE * self.route.latency_target_s - now
        if max_wait_s > ANSWER_MARGIN_S and len(self.queue_tried) < MAX_QUEUES_TRIED:
            key = balancer.pick_shortest_wait(
                now, self.queue_tried | excluded if excluded else self.queue_tried
            )
            if key is not None:
                self.queue_tried.add(key)
                self._send_to(key, min(max_wait_s, self.deadline - now))
                return
        if self.rejected_for_drift and self._may_delegate():
            self.delegate()
        else:
            self._give_up(self._retry_after_s())

    def _try_next_delegate(self) -> None:
        """Delegates the request to a healthy sidecar that was not tried."""
        key = self.source.pick_delegate(self.tried) if len(self.tried) < MAX_DELEGATES else None
        if key is None:
            self._give_up(self._retry_after_s())
            return
        self.source.delegated += not self.tried
        self.tried.add(key)
        self._send_to(key, 0.0)

    def _has_large_body(self) -> bool:
        """Whether the body exceeds the initial window, so that the gate's link needs room for it."""
        return self.head.length == UNKNOWN or self.head.length > INITIAL_WINDOW

    def _backends_outside_regions(self) -> set[str]:
        """Returns the backends outside the route's allowed regions; most routes allow all regions."""
        regions = self.route.allowed_regions
        return self.source.backends_outside(regions, self.service) if regions else set()

    def _send_to(self, key: str, queue_wait_s: float) -> None:
        now, head = self.source.host.now(), self.head
        self.gate, self.is_admitted, self.body_sent, self.send_window, self.bytes_sent = (
            key,
            False,
            False,
            0,
            0,
        )
        self.attempts += 1
        attempts = self.attempts
        caller = self.source.service if self.caller is None else self.caller
        remaining, rule = min(self.deadline, self.source.lifetime.end_at) - now, b""
        if self.route is DELEGATED_ROUTE:
            remaining = max(ANSWER_MARGIN_S, remaining - DELEGATE_MARGIN_S)
        else:
            rule = self.source.rule(self.route)
        forwarded = ForwardedRequest(
            service=self.service,
            attempt_id=head.attempt,
            kind=self.kind,
            remaining_s=remaining,
            max_queue_wait_s=queue_wait_s,
            priority=self.route.priority,
            latency_target_s=self.route.latency_target_s,
            caller=caller,
            method=head.method,
            target=head.target,
            fields=b"".join(head.fields),
            length=head.length,
            revision=self.revision,
            rule=rule,
        )
        self.source.sent += 1
        self.channel = None
        channel = self.source.open(key, forwarded, self)
        if self.is_over or self.attempts != attempts:
            return  # the gate in this process has answered from within `open`
        if channel is None:  # the link has no room: nothing was sent
            self._rejected(Verdict(NOT_RUN, LINK_LOST))
        else:
            self.channel = channel
            if self.is_admitted:  # the gate in this process has admitted it from within `open`
                self._send_body()

    def reroute(self) -> None:
        """Looks the route up again, by the rules in force now; nothing has run."""
        if self.is_over:
            return
        source, head = self.source, self.head
        self.route_lookups, self.revision = self.route_lookups + 1, source.revision()
        route = source.mesh_state.find(head.host, head.path)
        if route is None:
            self._answer_locally(404, 0.0, b"no route")
            return
        if route is not self.route:
            self._apply_route(route)
        self._try_next_gate()

    def delegate(self) -> None:
        """Delegates the request to another sidecar, which decides in this one's place; nothing has run."""
        self._apply_route(DELEGATED_ROUTE)
        self._try_next_gate()

    def _apply_route(self, route: Route) -> None:
        """Switches to another route, with its kind, its deadline and a service drawn for it."""
        source, now, service = self.source, self.source.host.now(), self.service
        self.route, self.service = route, source.draw_service(route)
        self.kind = kind_on_wire(route)
        remaining = DEFAULT_DEADLINE_S if self.head.remaining_s is None else self.head.remaining_s
        self.deadline = self.arrived_at + min(remaining, route.timeout_s)
        if self.deadline_timer is not None:
            self.deadline_timer.cancel()
        self.deadline_timer = source.host.after(
            max(0.0, self.deadline - now - ANSWER_MARGIN_S), self._deadline_passed
        )
        if self.service != service:
            self.tried.clear()
            self.queue_tried.clear()
            source.budget(self.service).record_request(now)

    def _retry_after_s(self) -> float:
        low, high = RETRY_AFTER_SHARES
        return max(0.02, self.route.latency_target_s * (low + (high - low) * self.source.draw()))

    def _give_up(self, retry_after_s: float) -> None:
        """Gives the final answer of a request that is not retried."""
        if self.may_have_run and self.kind != 0:
            self._answer_locally(
                504 if self.source.host.now() >= self.deadline - 2 * ANSWER_MARGIN_S else 502, 0.0
            )
        else:
            self._answer_locally(503, retry_after_s)

    def _deadline_passed(self) -> None:
        """Ends the request at its deadline: 503 only where it is proved that nothing has run."""
        self.deadline_timer = None
        if self.is_over:
            return
        channel, self.channel = self.channel, None
        if channel is not None:
            channel.cancel()
        if self.answering:
            self._end()
            self.client.broken(self)
        elif channel is None or (not self.is_admitted and self.head.length != 0):
            self.source.attempt_abandoned(self.service, self.gate)
            self._answer_locally(503 if not self.may_have_run or self.kind == 0 else 504, 0.0)
        else:
            self.source.attempt_failed(self.service, self.gate, False)
            self._answer_locally(504, 0.0)

    def finish(self, retry_after_s: float) -> None:
        """Gives the final answer because this process ends; Retry-After where the request may be repeated."""
        if self.is_over:
            return
        channel, self.channel = self.channel, None
        # 503 promises that nothing has run; a request that a gate has received completely may have run there.
        unproven = self.may_have_run or (channel is not None and (self.is_admitted or self.head.length == 0))
        if channel is not None:
            channel.cancel()
            self.source.attempt_abandoned(self.service, self.gate)
        if self.answering:
            self._end()
            self.client.broken(self)
        elif unproven and self.kind != 0:
            self._answer_locally(502, 0.0)
        else:
            self._answer_locally(503, retry_after_s)

    def _answer_locally(self, status: int, retry_after_s: float, text: bytes = b"") -> None:
        self._end()
        self.source.count_answer(status)
        self.client.final(self, status, retry_after_s, text)

    def _end(self) -> None:
        self.is_over = True
        if self.deadline_timer is not None:
            self.deadline_timer.cancel()
        self.retained.clear()
        self.retained_bytes = 0
        self.source.active_requests.pop(self, None)

    # The request's body.

    def data(self, data: bytes) -> None:
        """Takes a part of the body from the client."""
        if self.is_over:
            return
        self.bytes_received += len(data)
        self.retained.append(data)
        self.retained_bytes += len(data)
        self._send_body()

    def end(self) -> None:
        """Notes that the client has sent all of the body."""
        self.body_complete = True
        if not self.is_over:
            self._send_body()

    @property
    def pending_bytes(self) -> int:
        """Bytes of the body received and not yet sent to the gate."""
        return max(0, self.bytes_received - self.bytes_sent)

    def _send_body(self) -> None:
        """Sends what the window allows; a gate in this process may widen it, or reject, from within."""
        channel = self.channel
        if channel is None or not self.is_admitted or self.body_sent or self.is_sending:
            return
        self.is_sending = True
        while self.channel is channel and (chunk := self._next_chunk()):
            self.bytes_sent += len(chunk)
            self.send_window -= len(chunk)
            channel.data(chunk)
        self.is_sending = False
        if self.channel is not channel:
            self._send_body()  # another gate may have admitted the request meanwhile
        elif self.body_complete and self.bytes_sent == self.bytes_received and self.head.length != 0:
            self.body_sent = True
            channel.end()
        else:
            self._trim_retained()

    def _next_chunk(self) -> bytes:
        """Returns the next bytes of the body; empty where none are left or the window is used up."""
        start = self.bytes_received - self.retained_bytes
        for part in self.retained:
            if start + len(part) > self.bytes_sent:
                return part[self.bytes_sent - start :][: self.send_window]
            start += len(part)
        return b""

    def _trim_retained(self) -> None:
        """Drops sent parts of the body beyond `MAX_RETAINED_BODY_BYTES`, after which no retry is possible."""
        while (
            self.retained
            and self.retained_bytes > MAX_RETAINED_BODY_BYTES
            and (self.bytes_received - self.retained_bytes + len(self.retained[0]) <= self.bytes_sent)
        ):
            self.retained_bytes -= len(self.retained.pop(0))
            self.body_dropped = True

    # Calls by the gate.

    def gate_admitted(self) -> None:
        """Starts sending the body: the gate has admitted the request."""
        self.is_admitted, self.send_window = True, INITIAL_WINDOW
        self._send_body()

    def window(self, size: int) -> None:
        """Widens the window: `size` further bytes of the body may be sent."""
        self.send_window += size
        self._send_body()
        if not self.is_over:
            self.client.body_forwarded(self)

    def load(self, load: tuple[int, int, int]) -> None:
        """Ignores the backend's load; part of `ResponseHandler`."""

    def answered(self, status: int, fields: bytes, length: int, body: bytes | None) -> None:
        """Takes a backend's answer: complete, or its head where `body` is None."""
        self.source.backend_answered(self.service, self.gate, status)
        drift_monitor = self.source.drift_monitor
        if drift_monitor is not None and drift_monitor.disagreeing_peers and self.kind:
            drift_monitor.confirm_rule(drift_monitor.rule_digest(self.route), self.gate)
        self.answering = True
        if body is not None:
            self.channel = None
            self._end()
        self.client.answer(self, status, fields, length, body)

    def answer_data(self, data: bytes) -> None:
        """Passes a part of the answer's body to the client."""
        self.client.data(self, data)

    def whole(self) -> None:
        """Ends the request: the answer is complete."""
        self.channel = None
        self._end()
        self.client.whole(self)

    def answer_forwarded(self, size: int) -> None:
        """Lets the gate send more: `size` bytes of the answer have been sent to the client."""
        if self.channel is not None and not self.is_over:
            self.channel.window(size)

    def failed(self, verdict: Verdict) -> None:
        """Ends an attempt that gets no answer, or no more of it."""
        self.channel = None
        if self.is_over:
            return
        if self.answering:
            self.source.attempt_failed(self.service, self.gate, False)
            self._end()
            self.client.broken(self)
        elif verdict.ran == NOT_RUN and not verdict.reached_backend:
            self._rejected(verdict)
        else:
            self._reached_backend(verdict)

    def _rejected(self, verdict: Verdict) -> None:
        """Tries the next gate: nothing has run, and no backend was reached, so the budget is not used."""
        if self.route is DELEGATED_ROUTE:
            self._delegate_rejected(verdict)
            return
        self.rejected_for_drift = verdict.why == DRIFT and not verdict.retry_after_s
        if self.rejected_for_drift and self._resolve_drift():
            return
        if verdict.why == LINK_LOST:
            self.source.attempt_failed(self.service, self.gate, True)
        else:
            self.source.attempt_rejected(self.service, self.gate, verdict)
        if self.body_dropped:
            self._give_up(self._retry_after_s())
        else:
            self._try_next_gate()

    def _resolve_drift(self) -> bool:
        """Looks the route up again after a gate decided by another rule, or delegates as a last resort.

        Returns False where neither is possible.
        """
        source, drift_monitor, may_reroute = (
            self.source,
            self.source.drift_monitor,
            self.route_lookups < MAX_ROUTE_LOOKUPS,
        )
        if drift_monitor is None or self.body_dropped or not (may_reroute or self._may_delegate()):
            return False
        source.attempt_abandoned(self.service, self.gate)
        self.attempts += 1  # shows `_send_to` that a gate in this process has rejected it from within `open`
        if may_reroute:
            drift_monitor.refresh_and_retry(self, self.gate)
        else:
            self.delegate()
        return True

    def _may_delegate(self) -> bool:
        """Whether the request may be delegated: only once, and never after it has reached a backend."""
        return (
            self.caller is None
            and not self.backends_reached
            and not self.body_dropped
            and self.source.pick_delegate(()) is not None
        )

    def _delegate_rejected(self, verdict: Verdict) -> None:
        """Handles a delegate's rejection, which proves that nothing ran: a 503, or it can't decide either."""
        if verdict.why == FULL:
            self._answer_locally(503, verdict.retry_after_s)
        elif self.body_dropped:
            self._give_up(self._retry_after_s())
        else:
            self._try_next_gate()

    def _reached_backend(self, verdict: Verdict) -> None:
        """Retries an attempt that reached a backend where verdict, kind, `max-attempts` and budget allow."""
        if self.route is DELEGATED_ROUTE:
            self._answer_locally(verdict.status(False), 0.0)
            return
        self.backends_reached += 1
        if verdict.ran == MAY_HAVE_RUN:
            self.may_have_run = True
            self.source.attempt_failed(self.service, self.gate, False)
        else:
            self.source.attempt_rejected(self.service, self.gate, verdict)
        if (
            self.body_dropped
            or not verdict.may_retry(self.kind == 0)
            or self.backends_reached >= self.route.max_attempts
            or verdict.why == TIMED_OUT
            or not self.source.spend_retry(self.service)
        ):
            self._give_up(self._retry_after_s())
        else:
            self._try_next_gate()

    def cancel(self) -> None:
        """Ends the request without an answer: the client has disconnected."""
        if self.is_over:
            return
        channel, self.channel = self.channel, None
        self.source.attempt_abandoned(self.service, self.gate)
        self._end()
        if channel is not None:
            channel.cancel()
