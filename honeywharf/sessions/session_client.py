"""The source's sessions on its host: links to the gateways, the path of each session, and when it moves.

Theory of operation. There are three links to each gateway, one for each priority class: interactive reads
(those with a short latency target), other short requests, and long ones. The interactive link is always kept
up, and its STATE frames say whether the gateway is alive and accepts sessions. Bodies are sent in turns by
`send_scheduler`. Each session is a `ClientSession`, the channel of its request; its `Sender` reports to the
request's `ResponseHandler`. While there are sessions, a tick every `TICK_INTERVAL_S` leaves paths that are
drained or stalled, and chooses paths for sessions that have none. `resume=False` is for comparison only: a
session that loses its path fails.
"""

from __future__ import annotations

from honeywharf.sessions.choice import MAX_GATEWAYS, SUSPECT_S, Gateway, choose
from honeywharf.sessions.frames import (
    BULK,
    GONE,
    INTERACTIVE,
    INTERACTIVE_LATENCY_TARGET_S,
    LEAVE,
    SHORT_BODY_BYTES,
    SHORT_REQUESTS,
    STATE,
    WINDOW_BYTES,
)
from honeywharf.sessions.link import GATEWAY_GREETING, OutgoingLink
from honeywharf.sessions.receiver import DETACHED_TIMEOUT_S
from honeywharf.sessions.send_scheduler import LINK_MBPS, SendScheduler
from honeywharf.sessions.sender import (
    FINISHED,
    IDLE,
    LEAVE_TIMEOUT_S,
    LEAVING,
    STREAMING,
    Request,
    Sender,
)
from honeywharf.transport.stream import WINDOW_SIZE, ForwardedRequest
from honeywharf.verdict import DRAINING, LINK_LOST, MAY_HAVE_RUN, NOT_RUN, Verdict

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable, Iterable
    from typing import Any

    from honeywharf.sessions.gateway_location import GatewayLocation
    from honeywharf.transport.host import Host, Timer
    from honeywharf.transport.stream import ResponseHandler

TICK_INTERVAL_S = 0.02
# A path that owes an acknowledgement for this long is left. A full gateway can be silent for over a second.
STALL_TIMEOUT_S = 2.5
# The delays before the first, second, ... path in a row without an answer.
RETRY_BACKOFF_S = (0.0, 0.0, 0.05, 0.1, 0.2, 0.4)
RECONNECT_S = 0.4  # A lost link to a gateway is opened again after this time.
MIN_UNREACHED_GATEWAYS = 3
MAX_SESSIONS = 4096
MAX_INCARNATIONS = 1024  # The incarnations of at most this many destinations are remembered.


def request_head(forwarded: ForwardedRequest) -> list[object]:
    """Returns the head of a session in two parts: the operation, and what may differ between attempts."""
    return [
        [
            forwarded.service,
            forwarded.kind,
            forwarded.caller,
            forwarded.method,
            forwarded.target,
            forwarded.fields,
        ],
        [
            int(forwarded.max_queue_wait_s * 1000.0),
            forwarded.priority,
            int(forwarded.latency_target_s * 1000.0),
            forwarded.revision,
            forwarded.rule,
        ],
    ]


def priority_class_of(forwarded: ForwardedRequest) -> int:
    """Returns the priority class of a request, by its body length, its kind and its latency target."""
    if not 0 <= forwarded.length <= SHORT_BODY_BYTES:
        return BULK
    return (
        INTERACTIVE
        if forwarded.kind == 0 and forwarded.latency_target_s <= INTERACTIVE_LATENCY_TARGET_S
        else SHORT_REQUESTS
    )


class ClientSession:
    """One session: the channel of a request to another region."""

    __slots__ = (
        "attempts_without_reply",
        "client",
        "frames_seen",
        "is_read",
        "last_reply_at",
        "leaving_since",
        "next_attempt_at",
        "path",
        "priority_class",
        "progress_at",
        "response_handler",
        "sender",
        "unreached_gateways",
    )

    def __init__(
        self, client: SessionClient, response_handler: ResponseHandler, priority_class: int, is_read: bool
    ) -> None:
        self.client, self.response_handler, self.priority_class, self.is_read = (
            client,
            response_handler,
            priority_class,
            is_read,
        )
        self.sender: Sender
        self.path: GatewayPath | None = None
        self.leaving_since = self.progress_at = self.next_attempt_at = 0.0
        self.frames_seen = -1  # The sender's `frames_received` at `progress_at`.
        self.attempts_without_reply = 0  # This many paths in a row had no answer of the destination.
        self.unreached_gateways = 0  # This many of their gateways could not reach the destination.
        self.last_reply_at = client.host.now()

    # The channel, as the request uses it.

    def data(self, data: bytes) -> None:
        """Sends a part of the body."""
        self.sender.data(data)
        self.client.flush(self)

    def end(self) -> None:
        """Ends the body."""
        self.sender.end()
        self.client.flush(self)

    def window(self, size: int) -> None:
        """Grants `size` further bytes of the answer, as many as the client has taken."""
        self.sender.window(size)
        self.client.flush(self)

    def cancel(self) -> None:
        """Cancels the request."""
        self.sender.cancel()
        self.client.flush(self)


class _ResponseAdapter:
    """Adapts a `ResponseHandler` to a `SenderListener`."""

    __slots__ = ("answer_completed", "answered", "data", "failed", "response_handler", "window")

    def __init__(self, response_handler: ResponseHandler) -> None:
        self.response_handler = response_handler
        self.answered, self.data, self.failed = (
            response_handler.answered,
            response_handler.data,
            response_handler.failed,
        )
        self.answer_completed, self.window = response_handler.completed, response_handler.window

    def body_requested(self) -> None:
        """Grants the body; a handler begins with a smaller window than a session has."""
        self.response_handler.admitted()
        self.response_handler.window(WINDOW_BYTES - WINDOW_SIZE)


class GatewayPath:
    """The links of a source to one gateway, and the state that the gateway has reported."""

    def __init__(self, client: SessionClient, location: GatewayLocation) -> None:
        self.client, self.location = client, location
        self.gateway = Gateway(location.node, location.region, location.zone)
        self.links: dict[int, OutgoingLink] = {}  # Keyed by priority class.
        self.sessions: dict[bytes, ClientSession] = {}

    def link(self, priority_class: int) -> OutgoingLink:
        """Returns the link of a priority class; opens it if there is none."""
        link = self.links.get(priority_class)
        if link is None:
            link = self.links[priority_class] = OutgoingLink(
                self.client.host,
                self.location.address,
                GATEWAY_GREETING,
                self._on_frame,
                self._on_link_lost,
                priority_class == INTERACTIVE,
                priority_class != BULK,
            )
        return link

    def _on_frame(self, link: OutgoingLink, frame: list[Any]) -> None:
        if frame[0] == STATE:
            _, region, _, load, is_advertised, _ = frame
            if region != self.location.region:
                raise ValueError(f"region of gateway: expected {self.location.region!r}, got {region!r}")
            self.gateway.load, self.gateway.is_advertised, self.gateway.is_connected = (
                load,
                bool(is_advertised),
                True,
            )
            return
        session = self.sessions.get(frame[1])
        if session is not None:
            self.client.handle_frame(session, frame)

    def _on_link_lost(self, link: OutgoingLink) -> None:
        now = self.client.host.now()
        priority_class = next(
            (priority_class for priority_class, each in self.links.items() if each is link), -1
        )
        self.links.pop(priority_class, None)
        if priority_class == INTERACTIVE:
            self.gateway.is_connected = False
            self.client.host.after(RECONNECT_S, self.keep_connected)
        self.gateway.suspect_until = now + SUSPECT_S
        for session in list(self.sessions.values()):
            if session.priority_class == priority_class:
                self.client.path_lost(session)

    def keep_connected(self) -> None:
        """Keeps the interactive link up."""
        if not self.client.closed:
            self.link(INTERACTIVE)


class SessionClient:
    """All sessions of one source, and its gateways.

    `draw()`: uniform random numbers in [0, 1). `link_mbps`: the rate of this machine's link, in Mbit/s.
    """

    def __init__(
        self,
        host: Host,
        region: str,
        zone: str,
        locations: Iterable[GatewayLocation],
        draw: Callable[[], float],
        resume: bool = True,
        link_mbps: float = LINK_MBPS,
    ) -> None:
        self.send_scheduler = SendScheduler(host.now, host.after, link_mbps * 125_000.0)
        self.host, self.region, self.zone, self.draw, self.resumes_sessions = host, region, zone, draw, resume
        self.paths = {
            location.node: GatewayPath(self, location) for location in list(locations)[:MAX_GATEWAYS]
        }
        self.sessions: dict[ClientSession, None] = {}
        self.incarnations: dict[str, bytes] = {}
        self.timer: Timer | None = None
        self.closed = False
        self.moves = self.lost_paths = self.retransmitted_bytes = self.opened = 0
        for path in self.paths.values():
            path.keep_connected()

    def open(
        self,
        to: str,
        forwarded: ForwardedRequest,
        response_handler: ResponseHandler,
        tenant: str = "",
        allowed_regions: tuple[str, ...] = (),
    ) -> ClientSession | None:
        """Opens a session for a request to the sidecar at an IP address; None where there are too many."""
        if self.closed or len(self.sessions) >= MAX_SESSIONS:
            return None
        host = self.host
        deadline = host.now() + forwarded.remaining_s
        request = Request(
            to,
            forwarded.attempt_id,
            forwarded.length,
            deadline,
            int((host.wall_time() + forwarded.remaining_s) * 1000.0),
            tenant,
            self.region,
            allowed_regions,
            request_head(forwarded),
            priority_class_of(forwarded),
        )
        session = ClientSession(self, response_handler, request.priority_class, forwarded.kind == 0)
        session.sender = Sender(
            host.random(16), request, _ResponseAdapter(response_handler), self.incarnations.get(to, b"")
        )
        self.sessions[session] = None
        self.opened += 1
        host.after(0.0, lambda: self._choose_path(session))
        self._schedule_tick()
        return session

    # Paths.

    def _choose_path(self, session: ClientSession) -> None:
        """Chooses the next path for a session that has none."""
        now, sender = self.host.now(), session.sender
        if sender.state != IDLE or now < session.next_attempt_at:
            return
        last = session.path.gateway.node if session.path is not None else ""
        self._release_path(session)
        if self._should_give_up(session, now):
            sender.give_up(LINK_LOST)
            self._finish(session)
            return
        gateway = choose(
            [path.gateway for path in self.paths.values()],
            now,
            self.zone,
            self.region,
            sender.request.allowed_regions,
            last,
            self.draw,
        )
        session.next_attempt_at = (
            now + RETRY_BACKOFF_S[min(session.attempts_without_reply, len(RETRY_BACKOFF_S) - 1)]
        )
        session.attempts_without_reply += 1
        if gateway is None:
            return
        path = session.path = self.paths[gateway.node]
        path.sessions[sender.session_id] = session
        gateway.load += 1
        if sender.epoch:
            self.moves += 1
        session.progress_at, session.frames_seen = now, sender.frames_received
        sender.attach(now)
        self.flush(session)

    def _should_give_up(self, session: ClientSession, now: float) -> bool:
        """Returns whether to fail the session with a lost destination, so that another one may be tried.

        A request that may be repeated is given up once as many gateways as there are could not reach the
        destination. One whose body has arrived in part is tried for as long as the destination keeps that
        part, and one that may have run until its deadline.
        """
        sender = session.sender
        if session.is_read or not (sender.end_sent or sender.body_acked):
            return session.unreached_gateways >= max(MIN_UNREACHED_GATEWAYS, len(self.paths))
        return (
            not sender.end_sent
            and session.unreached_gateways > 0
            and now - session.last_reply_at > DETACHED_TIMEOUT_S + 1.0
        )

    def _release_path(self, session: ClientSession) -> None:
        path, session.path = session.path, None
        if path is not None:
            path.sessions.pop(session.sender.session_id, None)

    def path_lost(self, session: ClientSession) -> None:
        """Handles the loss of a session's path."""
        self.lost_paths += 1
        sender = session.sender
        if sender.state == FINISHED:
            return
        if not self.resumes_sessions and sender.epoch:
            ran = MAY_HAVE_RUN if sender.end_sent else NOT_RUN
            sender.cancel()
            self._finish(session)
            session.response_handler.failed(Verdict(ran, LINK_LOST, sender.end_sent))
            return
        sender.detach()
        self.host.after(0.0, lambda: self._choose_path(session))

    def handle_frame(self, session: ClientSession, frame: list[Any]) -> None:
        """Handles a frame of a session."""
        sender, kind = session.sender, frame[0]
        if kind == GONE and frame[2] == sender.epoch and session.path is not None:
            if frame[3] == LINK_LOST:
                session.unreached_gateways += 1
            if frame[3] != DRAINING:
                session.path.gateway.suspect_until = self.host.now() + SUSPECT_S
            self.path_lost(session)
            return
        if kind == LEAVE and not self.resumes_sessions:
            return
        before = sender.state
        sender.receive(frame)
        session.last_reply_at = self.host.now()
        if sender.state == STREAMING and before != STREAMING:
            session.attempts_without_reply = session.unreached_gateways = 0
            self._remember_incarnation(sender)
        if sender.state == LEAVING and before != LEAVING:
            session.leaving_since = self.host.now()
        self.flush(session)
        self._check(session, self.host.now())

    def _remember_incarnation(self, sender: Sender) -> None:
        if sender.request.to not in self.incarnations and len(self.incarnations) >= MAX_INCARNATIONS:
            self.incarnations.clear()
        self.incarnations[sender.request.to] = sender.incarnation

    def flush(self, session: ClientSession) -> None:
        """Sends the frames of a session, and removes it if it is finished."""
        sender = session.sender
        frames, sender.outgoing = sender.outgoing, []
        if session.path is not None and frames:
            link = session.path.link(session.priority_class)
            for frame in frames:
                self.send_scheduler.send(link, frame)
        if sender.state == FINISHED:
            self._finish(session)

    def _finish(self, session: ClientSession) -> None:
        if session in self.sessions:
            del self.sessions[session]
            self.retransmitted_bytes += session.sender.retransmitted_bytes
            self._release_path(session)
            to = session.sender.request.to
            if session.sender.incarnation and not session.sender.destination_done:
                self.incarnations.pop(to, None)  # The destination may have restarted.

    # Time.

    def _schedule_tick(self) -> None:
        if self.timer is None and self.sessions:
            self.timer = self.host.after(TICK_INTERVAL_S, self._tick)

    def _tick(self) -> None:
        self.timer = None
        now = self.host.now()
        for session in list(self.sessions):
            self._check(session, now)
        self._schedule_tick()

    def _check(self, session: ClientSession, now: float) -> None:
        """Fails a session at its deadline, leaves a drained or stalled path, or chooses a new one."""
        sender = session.sender
        if sender.state == FINISHED:
            return
        if now >= sender.request.deadline:
            sender.give_up()
            self.flush(session)
        elif sender.state == LEAVING:
            if sender.has_nothing_in_flight() or now - session.leaving_since >= LEAVE_TIMEOUT_S:
                sender.detach()
                self._choose_path(session)
        elif sender.state == IDLE:
            self._choose_path(session)
        elif session.frames_seen != sender.frames_received:
            session.frames_seen, session.progress_at = sender.frames_received, now
        elif sender.awaits_destination and now - session.progress_at >= STALL_TIMEOUT_S:
            if session.path is not None:
                session.path.gateway.suspect_until = now + SUSPECT_S
            self.path_lost(session)

    def close(self) -> None:
        """Closes all links."""
        self.closed = True
        for path in self.paths.values():
            for link in list(path.links.values()):
                link.drop()
