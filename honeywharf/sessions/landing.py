"""The destination's side on its host: takes links of gateways, and gives whole requests to the gate."""

from __future__ import annotations

from honeywharf.sessions.hold import Hold
from honeywharf.sessions.line import TO_LANDING, Caught
from honeywharf.sessions.outlet import OVER, Outlet, Outlets
from honeywharf.sessions.spillway import LINK_MBPS, Spillway
from honeywharf.transport.stream import ForwardedRequest
from honeywharf.verdict import MALFORMED_ANSWER, NOT_RUN, Verdict

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any

    from honeywharf.transport.host import Address, Connection, Handler, Host, Timer
    from honeywharf.transport.stream import RequestHandler

DUE_S = 0.25
MAX_LINKS = 256


class Landed:
    """Where the gate's work tells its outcome (`sidecar.inbound.Answers`)."""

    __slots__ = ("is_over", "landing", "outlet")

    def __init__(self, landing: Landing, outlet: Outlet) -> None:
        self.landing, self.outlet, self.is_over = landing, outlet, False

    def admit(self) -> None:
        """It is admitted; the body is there already."""

    def window(self, size: int) -> None:
        """Bytes of the body have gone on: all of it is held here."""

    def answer(
        self,
        status: int,
        fields: bytes,
        length: int,
        load: tuple[int, int, int],
        body: bytes | None,
    ) -> None:
        """The answer, whole, or its head."""
        outlets = self.landing.outlets
        outlets.answered(self.outlet, status, fields, length)
        if body is not None:
            self.is_over = True
            if body:
                outlets.answer_data(self.outlet, body)
            outlets.answer_whole(self.outlet)

    def data(self, data: bytes) -> None:
        """A part of the answer's body."""
        self.landing.outlets.answer_data(self.outlet, data)

    def complete(self) -> None:
        """The answer is whole."""
        self.is_over = True
        self.landing.outlets.answer_whole(self.outlet)

    def fail(self, verdict: Verdict, load: tuple[int, int, int]) -> None:
        """No answer comes."""
        self.is_over = True
        self.landing.outlets.failed(self.outlet, verdict)


class Landing:
    """All sessions that end here. `begin(ask, answers)` gives the work, as
    `sidecar.inbound.Inbound.begin`.
    """

    def __init__(
        self,
        host: Host,
        at: Address,
        region: str,
        begin: Callable[[ForwardedRequest, Any], RequestHandler | None],
        hold: Hold | None = None,
        link_mbps: float = LINK_MBPS,
    ) -> None:
        self.host, self.begin = host, begin
        self.send_scheduler = Spillway(host.now, host.after, link_mbps * 125_000.0)
        self.outlets = Outlets(
            host.random(8),
            region,
            hold or Hold(),
            self.send_scheduler.send,
            self._run,
            self._stop,
            self._flowed,
        )
        self.links: dict[Caught, None] = {}
        self.timer: Timer | None = None
        host.listen(at, self._accept)

    def _accept(self, connection: Connection) -> Handler:
        line = Caught(connection, TO_LANDING, self._took, self._gone, lambda line: None)
        self.links[line] = None
        if len(self.links) > MAX_LINKS:
            connection.abort()
        return line

    def _took(self, line: Caught, frame: list[Any]) -> None:
        self.outlets.take(self.host.now(), int(self.host.wall() * 1000.0), line, frame)
        if self.timer is None:
            self.timer = self.host.after(DUE_S, self._due)

    def _gone(self, line: Caught) -> None:
        self.links.pop(line, None)
        self.outlets.path_lost(self.host.now(), line)

    def _due(self) -> None:
        self.timer = None
        self.outlets.due(self.host.now())
        if self.outlets.sessions:
            self.timer = self.host.after(DUE_S, self._due)

    def _run(self, outlet: Outlet) -> None:
        """The body is whole: judged by the gate, then the backend's."""
        body = outlet.body()
        try:
            ask = self._ask(outlet, outlet.head, len(body))
        except (TypeError, ValueError):
            self.outlets.failed(outlet, Verdict(NOT_RUN, MALFORMED_ANSWER))
            return
        answers = Landed(self, outlet)
        work = self.begin(ask, answers)
        if work is None or answers.is_over:
            return
        outlet.work = work
        if body:
            work.data(body)
            if not answers.is_over:
                work.end()
        if answers.is_over:
            outlet.work = None

    def _ask(self, outlet: Outlet, head: Any, length: int) -> ForwardedRequest:
        """What the gate is asked, out of a head as `conveyor.head_of` makes it."""
        (service, kind, caller, method, target, fields), (patience, priority, aim, revision, rule) = head
        remaining = max(0.0, outlet.until - self.host.now())
        return ForwardedRequest(
            service=service,
            attempt_id=outlet.attempt,
            kind=kind,
            remaining_s=remaining,
            max_queue_wait_s=patience / 1000.0,
            priority=priority,
            latency_target_s=aim / 1000.0,
            caller=caller,
            method=method,
            target=target,
            fields=fields,
            length=length,
            revision=revision,
            rule=rule,
        )

    @staticmethod
    def _stop(outlet: Outlet) -> None:
        work, outlet.work = outlet.work, None
        if work is not None:
            work.cancel()

    @staticmethod
    def _flowed(outlet: Outlet, size: int) -> None:
        if outlet.work is not None and outlet.state != OVER:
            outlet.work.window(size)
