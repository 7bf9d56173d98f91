"""The gateway between regions.

It relays sessions, buffers at most what it has granted, keeps no durable state, and can be drained.
"""

from __future__ import annotations

import os
import sys

if __name__ == "__main__":  # Run by its path: the package is found in the directory above it.
    sys.path[0] = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

from honeywharf.programs.start import load_settings
from honeywharf.sessions.drain import (
    CANCEL,
    FINISHING,
    GONE,
    MOVES_PER_TICK,
    MOVING,
    ORDER,
    REPEAT_LEAVE_S,
    SERVING,
    STATE_NAMES,
    TERM,
    TICK_INTERVAL_S,
    Drain,
    smallest_remainder_first,
)
from honeywharf.sessions.frames import BULK, OPEN, SHORT_BODY_BYTES, STATE
from honeywharf.sessions.gateway_location import GatewayLocation
from honeywharf.sessions.link import DESTINATION_GREETING, GATEWAY_GREETING, IncomingLink, OutgoingLink
from honeywharf.sessions.relay import Relay, RelayedSession
from honeywharf.sessions.send_scheduler import LINK_MBPS, SendScheduler
from honeywharf.transport.http_server import HttpRequest, HttpServer

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any

    from honeywharf.transport.host import Address, Connection, Handler, Host

STATE_INTERVAL_S = 0.5  # A source gets a STATE frame at this interval.
MAX_QUEUE_S = 0.5  # Bytes in flight are limited to what the link carries in this time.
UNREACHABLE_S = 0.5  # An unreachable destination is not tried again for this time.
MIN_BUFFERED_BYTES = 4 << 20  # The limit of bytes in flight is never lower.
SHORT_SESSIONS_S = 1.0  # A drain waits this long for short sessions before it sends LEAVE to them too.
EXIT_MARGIN_S = 0.4  # The process exits this long before the end of `grace-period`.
COUNTERS_INTERVAL_S = 10.0
MAX_LINKS = 2048
MAX_OPERATOR_BODY_BYTES = 1 << 16
BYTES_PER_MEGABIT = 125_000.0
BYTES_PER_QUARTER_MEGABYTE = 262_144.0
RECONNECT_S = 0.4  # A lost link to another gateway is opened again after this time.


class GatewayOptions:
    """Options of a gateway.

    `grace_s`: seconds from SIGTERM until it has to exit. `operator_address`: the address of its HTTP API,
    or None. `max_bytes`: the limit of bytes in flight. `order`: the sort key by which sessions are asked to
    move, from remaining bytes, length, and seconds since the session opened. `link_mbps`: the rate of this
    machine's link, in Mbit/s.
    """

    __slots__ = ("grace_s", "link_mbps", "max_bytes", "operator_address", "order")

    def __init__(
        self,
        *,
        grace_s: float = 8.0,
        operator_address: Address | None = None,
        max_bytes: int = 64 << 20,
        order: Callable[[int, int, float], float] = smallest_remainder_first,
        link_mbps: float = LINK_MBPS,
    ) -> None:
        self.grace_s, self.operator_address, self.max_bytes = grace_s, operator_address, max_bytes
        self.order, self.link_mbps = order, link_mbps


class GatewayNode:
    """One gateway on its host.

    `gateways`: all gateways; those of the same region decide whether this is the last one. `session_port`:
    the port on which sidecars accept sessions.
    """

    def __init__(
        self,
        host: Host,
        location: GatewayLocation,
        gateways: list[GatewayLocation],
        session_port: int,
        options: GatewayOptions,
    ) -> None:
        self.host, self.region, self.zone, self.options = host, location.region, location.zone, options
        self.session_port = session_port
        self.send_scheduler = SendScheduler(host.now, host.after, options.link_mbps * BYTES_PER_MEGABIT)
        self.relay = Relay(self.region, self.send_scheduler.send, options.max_bytes)
        self.drain = Drain()
        self.source_links: dict[IncomingLink, None] = {}
        self.destination_links: dict[
            tuple[str, int], OutgoingLink
        ] = {}  # Keyed by address and priority class.
        self.unreachable_until: dict[str, float] = {}  # Keyed by destination.
        self.asked_to_leave_at: dict[bytes, float] = {}  # Keyed by session id.
        self.other_gateways = [
            OtherGateway(self, other)
            for other in gateways
            if other.region == self.region and other.address != location.address
        ]
        self.is_ticking = False
        if options.operator_address is not None:
            HttpServer(host, options.operator_address, self._answer_operator, MAX_OPERATOR_BODY_BYTES)
        host.listen(location.address, self._accept)
        host.after(STATE_INTERVAL_S, self._broadcast_periodically)
        host.after(COUNTERS_INTERVAL_S, self._log_counters_periodically)

    # Links.

    def _accept(self, connection: Connection) -> Handler:
        link = IncomingLink(
            connection, GATEWAY_GREETING, self._from_source, self._source_lost, self._send_state
        )
        self.source_links[link] = None
        if len(self.source_links) > MAX_LINKS:
            connection.abort()
        return link

    def _from_source(self, link: IncomingLink, frame: list[Any]) -> None:
        if frame[0] == OPEN:
            self.relay.open_session(self.host.now(), link, frame, self._link_to)
        else:
            self.relay.from_source(link, frame)

    def _source_lost(self, link: IncomingLink) -> None:
        self.source_links.pop(link, None)
        self.relay.link_lost(link)

    def _link_to(self, to: str, priority_class: int) -> OutgoingLink | None:
        """Returns the link of a priority class to a destination, opened if needed; None if unreachable."""
        link = self.destination_links.get((to, priority_class))
        if link is None:
            if len(self.destination_links) >= MAX_LINKS or self.host.now() < self.unreachable_until.get(
                to, 0.0
            ):
                return None
            link = self.destination_links[to, priority_class] = OutgoingLink(
                self.host,
                (to, self.session_port),
                DESTINATION_GREETING,
                self._from_destination,
                self._destination_lost,
                carries_short_bodies=priority_class != BULK,
            )
        return link

    def _from_destination(self, link: OutgoingLink, frame: list[Any]) -> None:
        self.relay.from_destination(link, frame)

    def _destination_lost(self, link: OutgoingLink) -> None:
        for key in [key for key, each in self.destination_links.items() if each is link]:
            del self.destination_links[key]
            if not link.is_up:
                if len(self.unreachable_until) >= MAX_LINKS:
                    self.unreachable_until.clear()
                self.unreachable_until[key[0]] = self.host.now() + UNREACHABLE_S
        self.relay.link_lost(link)

    # State sent to sources.

    def _send_state(self, link: IncomingLink) -> None:
        link.send(
            [
                STATE,
                self.region,
                self.zone,
                len(self.relay.relayed_sessions),
                int(self.drain.is_advertised),
                1,
            ]
        )

    def _broadcast_state(self) -> None:
        for link in list(self.source_links):
            if link.is_greeted:
                self._send_state(link)

    def _broadcast_periodically(self) -> None:
        self._broadcast_state()
        self.host.after(STATE_INTERVAL_S, self._broadcast_periodically)

    @property
    def is_last(self) -> bool:
        """Returns whether no other gateway of the region is known to accept sessions."""
        return not any(other.accepts_sessions for other in self.other_gateways)

    # The drain.

    def order_drain(self) -> int:
        """Handles an operator's order to drain; returns the new state."""
        return self._event(ORDER)

    def cancel_drain(self) -> int:
        """Handles an operator's order to cancel the drain; returns the new state."""
        return self._event(CANCEL)

    def terminate(self) -> None:
        """Handles SIGTERM."""
        self._event(TERM)

    def _event(self, event: int) -> int:
        before = self.drain.state
        state = self.drain.event(
            self.host.now(), event, self.is_last, max(0.1, self.options.grace_s - EXIT_MARGIN_S)
        )
        self._changed(before)
        if not self.is_ticking and (state != SERVING or self.drain.exits_when_empty):
            self.is_ticking = True
            self.host.after(TICK_INTERVAL_S, self._tick)
        return state

    def _changed(self, before: int) -> None:
        if self.drain.state == before:
            return
        self.host.log(
            f"gateway is {STATE_NAMES[self.drain.state]}, sessions {len(self.relay.relayed_sessions)}"
        )
        self.relay.accepts_sessions = self.drain.accepts_sessions
        if self.drain.state == SERVING:
            self.asked_to_leave_at.clear()
        self._broadcast_state()

    def _tick(self) -> None:
        now, before = self.host.now(), self.drain.state
        sessions = self._sessions_to_move(now)
        if before in (MOVING, FINISHING):
            for session in sessions[:MOVES_PER_TICK]:
                self.asked_to_leave_at[session.session_id] = now
                self.relay.ask_to_leave(session)
        self.drain.tick(now, len(sessions[MOVES_PER_TICK:]), len(self.relay.relayed_sessions))
        self._changed(before)
        if self.drain.state == GONE:
            self.counters()
            self.host.exit(0)
        elif self.drain.state == SERVING and not self.drain.exits_when_empty:
            self.is_ticking = False
        else:
            self.host.after(TICK_INTERVAL_S, self._tick)

    def _sessions_to_move(self, now: float) -> list[RelayedSession]:
        """Returns the sessions to move next, in order; short ones only after `SHORT_SESSIONS_S`."""
        self.asked_to_leave_at = {
            session_id: at
            for session_id, at in self.asked_to_leave_at.items()
            if session_id in self.relay.relayed_sessions
        }
        wait = self.drain.state == FINISHING and now - self.drain.state_since >= SHORT_SESSIONS_S
        sessions = [
            session
            for session in self.relay.relayed_sessions.values()
            if (wait or not 0 <= session.length <= SHORT_BODY_BYTES)
            and now - self.asked_to_leave_at.get(session.session_id, -REPEAT_LEAVE_S) >= REPEAT_LEAVE_S
        ]
        sessions.sort(
            key=lambda session: self.options.order(
                session.remaining_bytes, session.length, now - session.opened_at
            )
        )
        return sessions

    def _answer_operator(self, call: HttpRequest) -> None:
        """Handles the operators' API: POST /api/gateway/drain, POST /api/gateway/back, GET /api/gateway."""
        if call.method == b"POST" and call.path == b"/api/gateway/drain":
            call.answer(200, STATE_NAMES[self.order_drain()].encode())
        elif call.method == b"POST" and call.path == b"/api/gateway/back":
            call.answer(200, STATE_NAMES[self.cancel_drain()].encode())
        elif call.method == b"GET" and call.path == b"/api/gateway":
            call.answer(200, self.summary().encode())
        else:
            call.answer(404)

    # Counters.

    def summary(self) -> str:
        """Returns one line with the state and the counters."""
        one = self.relay
        return (
            f"state={STATE_NAMES[self.drain.state].replace(' ', '-')} sessions={len(one.relayed_sessions)} "
            f"passed={one.passed} refused={one.rejected} forbidden={one.forbidden} "
            f"granted={one.in_flight_bytes} waiting={self.send_scheduler.queued_bytes} up={one.bytes_up} "
            f"down={one.bytes_down} sources={len(self.source_links)} landings={len(self.destination_links)} "
            f"last={int(self.is_last)}"
        )

    def counters(self) -> None:
        """Logs the summary."""
        self.host.log(self.summary())

    def _log_counters_periodically(self) -> None:
        self.counters()
        self.host.after(COUNTERS_INTERVAL_S, self._log_counters_periodically)


class OtherGateway:
    """Another gateway of the region, and whether it accepts sessions."""

    def __init__(self, gateway: GatewayNode, location: GatewayLocation) -> None:
        self.gateway, self.location, self.accepts_sessions = gateway, location, False
        self._connect()

    def _connect(self) -> None:
        OutgoingLink(
            self.gateway.host,
            self.location.address,
            GATEWAY_GREETING,
            self._received,
            self._link_lost,
            is_persistent=True,
        )

    def _received(self, link: OutgoingLink, frame: list[Any]) -> None:
        if frame[0] == STATE:
            self.accepts_sessions = bool(frame[4])

    def _link_lost(self, link: OutgoingLink) -> None:
        self.accepts_sessions = False
        self.gateway.host.after(RECONNECT_S, self._connect)


def granted_bytes(memory_mb: float, link_mbps: float) -> int:
    """Returns the limit of bytes in flight through a gateway.

    The limit is what the link carries in `MAX_QUEUE_S`, at most a quarter of the memory. More bytes would
    only queue here, and delay the frame that asks a session to move.
    """
    return max(
        MIN_BUFFERED_BYTES,
        int(min(memory_mb * BYTES_PER_QUARTER_MEGABYTE, link_mbps * BYTES_PER_MEGABIT * MAX_QUEUE_S)),
    )


def main() -> int:
    """Runs the gateway until SIGTERM; returns the exit status."""
    from signal import SIGTERM

    from honeywharf.transport.event_loop import EventLoop

    settings = load_settings()
    if settings is None:
        return 2
    loop = EventLoop(None)
    gateway = GatewayNode(
        loop,
        GatewayLocation((settings.ip, settings.internal_ports[0]), settings.region, settings.zone),
        [GatewayLocation(*each) for each in settings.gateways],
        settings.internal_ports[0] + 1,
        GatewayOptions(
            grace_s=settings.bound("grace-period", 8.0),
            operator_address=settings.listen_addresses.get("control-plane"),
            max_bytes=granted_bytes(settings.memory_mb, settings.link_mbps),
            link_mbps=settings.link_mbps,
        ),
    )
    loop.on_signal(SIGTERM, gateway.terminate)
    return loop.run()


if __name__ == "__main__":
    sys.exit(main())
