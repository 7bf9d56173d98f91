"""Frames of the links that carry requests between sidecars: many streams on one connection, bounded windows.

Theory of operation. The source opens a link to the sidecar beside a backend and keeps it open (`link`); the
destination serves it (`link_server`). Each request is a stream with a number that the source assigns. Frames
are msgpack arrays `[kind, number, ...]`:

    OPEN    service, attempt id, kind, remaining ms, longest queue wait ms, priority, latency target ms,
            caller, method, target, fields, length, revision, digest of the rule that decided (8 bytes)
    GO      the request is admitted; the source sends the body
    DATA    either way: bytes of a body
    END     either way: the body is complete
    WINDOW  either way: the number of further bytes that may be sent
    ANSWER  status, fields, length, load, complete body or nil (then the body follows)
    FAIL    reason, retry-after ms, whether the request arrived, load, whether it ran
    REFUSE  the same; proves that the request has not run
    CANCEL  the source cancels the request
    PING    sent while streams are open and nothing has been received for a while
    PONG    the answer to a PING

At most `WINDOW_SIZE` bytes of a body are in flight unacknowledged (`INITIAL_WINDOW` of a request's body at
first), so that a slow stream does not block the others on the link.
"""

from __future__ import annotations

from honeywharf.transport.framing import encode_frame

TYPE_CHECKING = False  # Importing `typing` costs 1.3 MB in each process.
if TYPE_CHECKING:
    from typing import Any, Protocol

    from honeywharf.verdict import Verdict

    class ResponseHandler(Protocol):
        """The source's side of a stream: receives the destination's frames."""

        def admitted(self) -> None:
            """Called when the request is admitted and its body may be sent."""

        def answered(self, status: int, fields: bytes, length: int, body: bytes | None) -> None:
            """Called with the response head and the complete body, or None if the body follows in parts."""

        def data(self, data: bytes) -> None:
            """Called with a part of the response body."""

        def completed(self) -> None:
            """Called when the response is complete."""

        def window(self, size: int) -> None:
            """Called when `size` further bytes of the request body may be sent."""

        def failed(self, verdict: Verdict) -> None:
            """Called when no response, or no further part of it, will come. Nothing follows."""

        def load(self, load: tuple[int, int, int]) -> None:
            """Called with running, queued and slots at the destination, before a response or failure."""

    class RequestHandler(Protocol):
        """The destination's side of a stream: receives the source's frames."""

        def data(self, data: bytes) -> None:
            """Called with a part of the request body."""

        def end(self) -> None:
            """Called when the body is complete."""

        def window(self, size: int) -> None:
            """Called when `size` further bytes of the response may be sent."""

        def cancel(self) -> None:
            """Called when the source cancels the request."""


#: Kinds of frames. Plain integers keep the dispatch of each frame cheap.
OPEN, GO, DATA, END, WINDOW, ANSWER, REFUSE, FAIL, CANCEL, PING, PONG = range(11)
DELEGATED = 3  # Kind of a request that the receiving sidecar routes by its own rules.
WINDOW_SIZE = 64 * 1024
INITIAL_WINDOW = 8 * 1024  # GO requests this many bytes of a request body; WINDOW requests more.
MAX_CHUNK = 16 * 1024  # The limit of one DATA frame in bytes, so that other streams can send in between.
MAX_STREAMS = 2048  # One link has at most this many open streams.
MAX_FRAME = 1 << 20


class ForwardedRequest:
    """A request that a source forwards to a destination. Times are seconds from now.

    `kind` is 0 for an idempotent request, `DELEGATED` for one that the receiver routes, and otherwise states
    how the request may run. `caller` is the service that sent it, `length` is as in `codecs.mesh.Head`,
    `revision` is that of the mesh state used for the decision, and `rule` is the digest of the selected
    route, 8 bytes.
    """

    __slots__ = (
        "attempt_id",
        "caller",
        "fields",
        "kind",
        "latency_target_s",
        "length",
        "max_queue_wait_s",
        "method",
        "peer",
        "priority",
        "remaining_s",
        "revision",
        "rule",
        "service",
        "target",
    )

    def __init__(  # noqa: PLR0913 - one parameter per field of the frame, all by keyword
        self,
        *,
        service: str,
        attempt_id: bytes,
        kind: int,
        remaining_s: float,
        max_queue_wait_s: float,
        priority: int,
        latency_target_s: float,
        caller: str,
        method: bytes,
        target: bytes,
        fields: bytes,
        length: int,
        revision: int,
        rule: bytes = b"",
    ) -> None:
        self.service = service
        self.attempt_id = attempt_id
        self.kind = kind
        self.remaining_s = remaining_s
        self.max_queue_wait_s = max_queue_wait_s
        self.priority = priority
        self.latency_target_s = latency_target_s
        self.caller = caller
        self.method = method
        self.target = target
        self.fields = fields
        self.length = length
        self.revision = revision
        self.rule = rule
        self.peer = ""  # The source's IP address if the request came over a link.

    def pack(self, number: int) -> bytes:
        """Encodes the OPEN frame."""
        return encode_frame(
            [
                OPEN,
                number,
                self.service,
                self.attempt_id,
                self.kind,
                int(self.remaining_s * 1000.0),
                int(self.max_queue_wait_s * 1000.0),
                self.priority,
                int(self.latency_target_s * 1000.0),
                self.caller,
                self.method,
                self.target,
                self.fields,
                self.length,
                self.revision,
                self.rule,
            ]
        )

    @classmethod
    def unpack(cls, frame: list[Any]) -> ForwardedRequest:
        """Decodes an OPEN frame. Raises ValueError or TypeError if it is malformed."""
        (
            service,
            attempt_id,
            kind,
            remaining_ms,
            max_queue_wait_ms,
            priority,
            latency_target_ms,
            caller,
            method,
            target,
            fields,
            length,
            revision,
            *rule,
        ) = frame[2:]
        return cls(
            service=service,
            attempt_id=attempt_id,
            kind=kind,
            remaining_s=remaining_ms / 1000.0,
            max_queue_wait_s=max_queue_wait_ms / 1000.0,
            priority=priority,
            latency_target_s=latency_target_ms / 1000.0,
            caller=caller,
            method=method,
            target=target,
            fields=fields,
            length=length,
            revision=revision,
            rule=rule[0] if rule else b"",
        )
