"""Requests delegated by a sidecar that suspects its own rules of drift, decided here in its place.

Theory of operation. A sidecar that can't repair its rules must not decide, but its clients should get their
answers: it sends each complete request as a stream of the kind `DELEGATED` to a healthy sidecar of its zone.
Here the request becomes an `OutboundRequest` as if a client had sent it: this sidecar's rules, its draw, its
second reading and its retry budget apply, and gates treat it like any other. The attempt id and the header
lines are the client's; the calling service is that of the machine where the request began. A rejection sent
back proves that nothing has run.

    outcome here                            the delegating sidecar
    rejected at once (`rejection_reason`)   tries one more delegate, else answers 503
    503                                     answers 503 with the Retry-After of this outcome
    502, 504; the link was lost             answers the same; 502
    any other answer                        answers the same

Bounds: `MAX_DELEGATED` requests at once, and `READ_AHEAD_BYTES` buffered of each body. A sidecar rejects
requests of one whose mesh state is newer than its own, and a delegated request is not delegated again. This
module is loaded when it is first needed.
"""

from __future__ import annotations

from honeywharf.codecs.heads import RequestHead
from honeywharf.sidecar.outbound_request import OutboundRequest
from honeywharf.transport.stream import INITIAL_WINDOW
from honeywharf.verdict import (
    CONNECTION_BROKEN,
    DRIFT,
    FULL,
    MAY_HAVE_RUN,
    NOT_READY,
    NOT_RUN,
    SHUTTING_DOWN,
    TIMED_OUT,
    Verdict,
)

TYPE_CHECKING = False
if TYPE_CHECKING:
    from honeywharf.mesh_config.routes import Route
    from honeywharf.sidecar.inbound import Responder
    from honeywharf.sidecar.source import Source
    from honeywharf.transport.stream import ForwardedRequest, RequestHandler

MAX_DELEGATED = 256
READ_AHEAD_BYTES = 64 * 1024  # how far reading a body runs ahead of what a gate has taken
REJECTION_RETRY_AFTER_S = 0.05  # announced by a sidecar that can't decide the request now
NO_LOAD = (0, 0, 0)  # load of a responder without a backend


class DelegatedRequest:
    """One delegated request; receives the answer of its `OutboundRequest`."""

    __slots__ = ("request", "requested_bytes", "responder", "source")

    def __init__(self, source: Source, responder: Responder) -> None:
        self.source, self.responder = source, responder
        self.request: OutboundRequest | None = None
        self.requested_bytes = INITIAL_WINDOW  # bytes of the body that were asked for

    def begin(self, forwarded: ForwardedRequest, head: RequestHead, route: Route) -> OutboundRequest:
        """Starts deciding the request here."""
        source, now = self.source, self.source.host.now()
        source.accepted_delegations[self] = None
        request = self.request = OutboundRequest(
            source, self, head, route, now + min(forwarded.remaining_s, route.timeout_s), forwarded.caller
        )
        source.active_requests[request] = None
        if head.length != 0:
            self.responder.admit()
        request.start()
        return request

    def reject(self, why: int, retry_after_s: float) -> None:
        """Tells the delegating sidecar that the request has not run and is not decided here."""
        self._finish()
        self.responder.fail(Verdict(NOT_RUN, why, False, retry_after_s), NO_LOAD)

    def _finish(self) -> None:
        self.source.accepted_delegations.pop(self, None)

    def cancel(self) -> None:
        """Cancels the request: the delegating sidecar wants no answer any more."""
        self._finish()
        if self.request is not None:
            self.request.cancel()

    def final(self, request: OutboundRequest, status: int, retry_after_s: float, text: bytes) -> None:
        """Passes on an answer that the mesh itself gives.

        A 503 is sent as a rejection: nothing has run, or the request may run twice.
        """
        if status == 503:
            self.reject(FULL, retry_after_s)
            return
        self._finish()
        if status in (502, 504):
            why = TIMED_OUT if status == 504 else CONNECTION_BROKEN
            self.responder.fail(Verdict(MAY_HAVE_RUN, why, True), NO_LOAD)
        else:
            self.responder.answer(status, b"", len(text), NO_LOAD, text)

    def answer(
        self, request: OutboundRequest, status: int, fields: bytes, length: int, body: bytes | None
    ) -> None:
        """Passes on a backend's answer: complete, or its head where `body` is None."""
        if body is not None:
            self._finish()
        self.responder.answer(status, fields, length, NO_LOAD, body)

    def broken(self, request: OutboundRequest) -> None:
        """Reports that an answer that has begun can't be completed."""
        self._finish()
        self.responder.fail(Verdict(MAY_HAVE_RUN, CONNECTION_BROKEN, True), NO_LOAD)

    def data(self, request: OutboundRequest, data: bytes) -> None:
        """Passes on a part of the answer's body."""
        self.responder.data(data)

    def whole(self, request: OutboundRequest) -> None:
        """Reports that the answer is complete."""
        self._finish()
        self.responder.complete()

    def body_forwarded(self, request: OutboundRequest) -> None:
        """Asks for as many further bytes of the body as were forwarded."""
        more = request.bytes_received - request.pending_bytes + READ_AHEAD_BYTES - self.requested_bytes
        if more > 0 and not request.body_complete:
            self.requested_bytes += more
            self.responder.window(more)


class _DelegatedRequestHandler:
    """Adapts a delegated request to its stream's `RequestHandler`."""

    __slots__ = ("cancel", "data", "end", "window")

    def __init__(self, delegated: DelegatedRequest, request: OutboundRequest) -> None:
        self.data, self.end, self.window, self.cancel = (
            request.data,
            request.end,
            request.answer_forwarded,
            delegated.cancel,
        )


def rejection_reason(source: Source, forwarded: ForwardedRequest) -> int | None:
    """Returns why a request can't be decided here, before its route is looked up; None where it can."""
    if source.inbound.shutting_down:
        return SHUTTING_DOWN
    if source.lifetime.is_outlasted(source.host.now() + forwarded.remaining_s):
        source.lifetime.refused += 1
        return SHUTTING_DOWN
    if not source.mesh_state.ready:
        return NOT_READY
    if source.mesh_state.revision < forwarded.revision:
        return DRIFT
    return DRIFT if len(source.accepted_delegations) >= MAX_DELEGATED else None


def begin_delegated(
    source: Source, forwarded: ForwardedRequest, host: bytes, responder: Responder
) -> RequestHandler | None:
    """Begins a delegated request; None where it was answered at once. `host` is its `Host` header."""
    delegated = DelegatedRequest(source, responder)
    why = rejection_reason(source, forwarded)
    if why is not None:
        delegated.reject(why, REJECTION_RETRY_AFTER_S)
        return None
    head = RequestHead()
    head.method, head.target, head.host, head.attempt = (
        forwarded.method,
        forwarded.target,
        host,
        forwarded.attempt_id,
    )
    head.fields, head.remaining_s, head.length = [forwarded.fields], forwarded.remaining_s, forwarded.length
    route, retry_after_s = source.mesh_state.find(host, head.path), 0.0
    if source.drift_monitor is not None:
        route, retry_after_s = source.drift_monitor.check_route(host, head.path, route)
    if retry_after_s:
        delegated.reject(DRIFT, retry_after_s)
    elif route is None:
        delegated.responder.answer(404, b"", 8, NO_LOAD, b"no route")
    else:
        return _DelegatedRequestHandler(delegated, delegated.begin(forwarded, head, route))
    return None
