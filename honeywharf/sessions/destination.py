"""The destination's sessions on its host: accepts links, and hands complete requests to the sidecar."""

from __future__ import annotations

from honeywharf.sessions.body_quota import BodyQuota
from honeywharf.sessions.link import DESTINATION_GREETING, IncomingLink
from honeywharf.sessions.receiver import FINISHED, Receiver, Receivers
from honeywharf.sessions.send_scheduler import LINK_MBPS, SendScheduler
from honeywharf.transport.stream import ForwardedRequest
from honeywharf.verdict import MALFORMED_ANSWER, NOT_RUN, Verdict

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any

    from honeywharf.transport.host import Address, Connection, Handler, Host, Timer
    from honeywharf.transport.stream import RequestHandler

EXPIRY_INTERVAL_S = 0.25
MAX_LINKS = 256


class AnswerWriter:
    """Receives the outcome of a request from the sidecar (as `sidecar.inbound.Answers`)."""

    __slots__ = ("destination", "is_finished", "receiver")

    def __init__(self, destination: Destination, receiver: Receiver) -> None:
        self.destination, self.receiver, self.is_finished = destination, receiver, False

    def admit(self) -> None:
        """Does nothing: the body of an admitted request is complete already."""

    def window(self, size: int) -> None:
        """Does nothing: the complete body has been received."""

    def answer(
        self,
        status: int,
        fields: bytes,
        length: int,
        load: tuple[int, int, int],
        body: bytes | None,
    ) -> None:
        """Sends the answer's head, and its complete body; `body` is None if it follows in parts."""
        receivers = self.destination.receivers
        receivers.answer_started(self.receiver, status, fields, length)
        if body is not None:
            self.is_finished = True
            if body:
                receivers.answer_data(self.receiver, body)
            receivers.answer_completed(self.receiver)

    def data(self, data: bytes) -> None:
        """Sends a part of the answer's body."""
        self.destination.receivers.answer_data(self.receiver, data)

    def complete(self) -> None:
        """Ends the answer."""
        self.is_finished = True
        self.destination.receivers.answer_completed(self.receiver)

    def fail(self, verdict: Verdict, load: tuple[int, int, int]) -> None:
        """Fails the request."""
        self.is_finished = True
        self.destination.receivers.failed(self.receiver, verdict)


class Destination:
    """All sessions that end at this sidecar.

    `begin(forwarded, answers)` starts a request and returns its handler, as `sidecar.inbound.Inbound.begin`.
    """

    def __init__(
        self,
        host: Host,
        address: Address,
        region: str,
        begin: Callable[[ForwardedRequest, Any], RequestHandler | None],
        body_quota: BodyQuota | None = None,
        link_mbps: float = LINK_MBPS,
    ) -> None:
        self.host, self.begin = host, begin
        self.send_scheduler = SendScheduler(host.now, host.after, link_mbps * 125_000.0)
        self.receivers = Receivers(
            host.random(8),
            region,
            body_quota or BodyQuota(),
            self.send_scheduler.send,
            self._run,
            self._stop,
            self._consumed,
        )
        self.links: dict[IncomingLink, None] = {}
        self.timer: Timer | None = None
        host.listen(address, self._accept)

    def _accept(self, connection: Connection) -> Handler:
        link = IncomingLink(
            connection, DESTINATION_GREETING, self._on_frame, self._on_link_lost, lambda link: None
        )
        self.links[link] = None
        if len(self.links) > MAX_LINKS:
            connection.abort()
        return link

    def _on_frame(self, link: IncomingLink, frame: list[Any]) -> None:
        self.receivers.receive(self.host.now(), int(self.host.wall_time() * 1000.0), link, frame)
        if self.timer is None:
            self.timer = self.host.after(EXPIRY_INTERVAL_S, self._expire)

    def _on_link_lost(self, link: IncomingLink) -> None:
        self.links.pop(link, None)
        self.receivers.link_lost(self.host.now(), link)

    def _expire(self) -> None:
        self.timer = None
        self.receivers.expire(self.host.now())
        if self.receivers.sessions:
            self.timer = self.host.after(EXPIRY_INTERVAL_S, self._expire)

    def _run(self, receiver: Receiver) -> None:
        """Hands a complete request to the sidecar, which admits it and sends it to the backend."""
        body = receiver.body()
        try:
            forwarded = self._forwarded_request(receiver, receiver.head, len(body))
        except (TypeError, ValueError):
            self.receivers.failed(receiver, Verdict(NOT_RUN, MALFORMED_ANSWER))
            return
        answers = AnswerWriter(self, receiver)
        handler = self.begin(forwarded, answers)
        if handler is None or answers.is_finished:
            return
        receiver.handler = handler
        if body:
            handler.data(body)
            if not answers.is_finished:
                handler.end()
        if answers.is_finished:
            receiver.handler = None

    def _forwarded_request(self, receiver: Receiver, head: Any, length: int) -> ForwardedRequest:
        """Returns the request for the sidecar, from a head made by `session_client.request_head`."""
        (
            (service, kind, caller, method, target, fields),
            (max_queue_wait_ms, priority, latency_target_ms, revision, rule),
        ) = head
        remaining = max(0.0, receiver.deadline - self.host.now())
        return ForwardedRequest(
            service=service,
            attempt_id=receiver.attempt,
            kind=kind,
            remaining_s=remaining,
            max_queue_wait_s=max_queue_wait_ms / 1000.0,
            priority=priority,
            latency_target_s=latency_target_ms / 1000.0,
            caller=caller,
            method=method,
            target=target,
            fields=fields,
            length=length,
            revision=revision,
            rule=rule,
        )

    @staticmethod
    def _stop(receiver: Receiver) -> None:
        handler, receiver.handler = receiver.handler, None
        if handler is not None:
            handler.cancel()

    @staticmethod
    def _consumed(receiver: Receiver, size: int) -> None:
        if receiver.handler is not None and receiver.state != FINISHED:
            receiver.handler.window(size)
