"""Frames of the links that carry requests between sidecars: many streams on one connection, bounded windows.

Theory of operation. The source opens a link to the sidecar beside a backend and keeps it (`link`); the
destination serves it (`link_server`). Each request is a stream with a number of the source's. Frames are
msgpack arrays `[kind, number, ...]`:

    OPEN    service, attempt id, kind, remaining ms, longest queue wait ms, priority, latency target ms,
            caller, method, target, fields, length, revision, digest of the rule that decided (8 bytes)
    GO      it is admitted: send the body
    DATA    either way: bytes of a body
    END     either way: the body is complete
    WINDOW  either way: how many further bytes may be sent
    ANSWER  status, fields, length, load, complete body or nil (then it follows)
    FAIL    why, retry-after ms, arrived, load, whether it ran
    REFUSE  the same; proves that the request has not run
    CANCEL  the source wants no answer any more
    PING    where streams wait and nothing was received for a while
    PONG    the answer to a PING

No more than `WINDOW_SIZE` bytes of a body are on the way unacknowledged (`INITIAL_WINDOW` of a request's at
first), so that a slow one holds up nobody else on the link.
"""

from __future__ import annotations

from honeywharf.transport.framing import encode_frame

TYPE_CHECKING = False  # `typing` is 1.3 MB in each process
if TYPE_CHECKING:
    from typing import Any, Protocol

    from honeywharf.verdict import Verdict

    class ResponseHandler(Protocol):
        """The source's side of a stream: called with what the destination sends."""

        def admitted(self) -> None:
            """The request is admitted; its body may be sent."""

        def answered(self, status: int, fields: bytes, length: int, body: bytes | None) -> None:
            """The answer's head, and its complete body, or None where that follows in parts."""

        def data(self, data: bytes) -> None:
            """A part of the answer's body."""

        def completed(self) -> None:
            """The answer is complete."""

        def window(self, size: int) -> None:
            """So many further bytes of the request's body may be sent."""

        def failed(self, verdict: Verdict) -> None:
            """No answer comes, or none further; nothing follows."""

        def load(self, load: tuple[int, int, int]) -> None:
            """Running, queued and slots there, which come with an answer, a rejection or a failure."""

    class RequestHandler(Protocol):
        """The destination's side of a stream: called with what the source sends."""

        def data(self, data: bytes) -> None:
            """A part of the request's body."""

        def end(self) -> None:
            """The body is complete."""

        def window(self, size: int) -> None:
            """So many further bytes of the answer may be sent."""

        def cancel(self) -> None:
            """Nobody waits any more."""


#: Kinds of frames. Plain integers, as each frame of the data plane is told apart by them.
OPEN, GO, DATA, END, WINDOW, ANSWER, REFUSE, FAIL, CANCEL, PING, PONG = range(11)
DELEGATED = 3  # a request whose source decides nothing: the sidecar that is asked does, by its own rules
WINDOW_SIZE = 64 * 1024
INITIAL_WINDOW = 8 * 1024  # bytes of a request's body that GO asks for; its gate asks for more
MAX_CHUNK = 16 * 1024  # bytes of one DATA frame: other streams have their turn between
MAX_STREAMS = 2048  # on one link
MAX_FRAME = 1 << 20


class ForwardedRequest:
    """What a source asks of the destination's gate. Times are seconds from now.

    `kind`: 0 for an idempotent request, else how it may run, `DELEGATED` for one that the callee decides;
    `caller`: the service that sent it; `length`: as in `codecs.mesh.Head`; `revision`: of the mesh state that
    the source decided by; `rule`: the digest of the route that it chose, 8 bytes.
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

    def __init__(  # noqa: PLR0913 - one parameter a field of the frame, all by keyword
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
        self.peer = ""  # the source's address, where it came over a link

    def pack(self, number: int) -> bytes:
        """Its OPEN frame."""
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
        """From an OPEN frame. ValueError or TypeError where it is none."""
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
