"""The gateway between regions.

Relays sessions, buffers what it has granted, keeps no state of its own, drains.
"""

from __future__ import annotations

import os
import sys

if __name__ == "__main__":  # run by its path: the folder above the package is where the package is found
    sys.path[0] = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

from honeywharf.programs.start import load_settings
from honeywharf.sessions.drain import (
    ASK_AGAIN_S,
    AT_ONCE,
    BACK,
    GONE,
    LAST,
    MOVING,
    NAMES,
    ORDER,
    SERVING,
    TERM,
    TICK_S,
    Drain,
    rest_first,
)
from honeywharf.sessions.frames import BULK, OPEN, SHORT, STATE
from honeywharf.sessions.gateway_location import Place
from honeywharf.sessions.link import TO_LANDING, TO_SOURCES, Caught, Line
from honeywharf.sessions.relay import Passages, Row
from honeywharf.sessions.send_scheduler import LINK_MBPS, Spillway
from honeywharf.transport.http_server import HttpRequest, HttpServer

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any

    from honeywharf.transport.host import Address, Connection, Handler, Host

STATE_INTERVAL_S = 0.5  # between two messages about its load
MAX_QUEUE_S = 0.5  # of its link's time that bytes may be on the way
UNREACHABLE_S = 0.5  # for which an unreachable destination is not tried again
MIN_BUFFERED_BYTES = 4 << 20  # on the way, however small the machine is
SHORT_SESSIONS_S = 1.0  # for which short sessions are waited for before they are asked to move too
EXIT_MARGIN_S = 0.4  # before the end of `grace-period`, at which it exits
COUNTERS_S = 10.0
MAX_LINKS = 2048
MAX_OPERATOR_BODY = 1 << 16  # bytes
BYTES_PER_MEGABIT = 125_000.0
BYTES_PER_QUARTER_MEGABYTE = 262_144.0
RECONNECT_S = 0.4  # before the link to another gateway is opened again


class GatewayOptions:
    """What a gateway can be given beside its place. All keywords.

    `grace_s`: seconds that it has to end after SIGTERM; `operator_address`: of its HTTP API, None for none;
    `max_bytes`: of bodies on the way; `order`: which session is asked to move first, by (bytes left, length,
    seconds since its begin), the least first; `link_mbps`: megabits a second of this machine's link.
    """

    __slots__ = ("grace_s", "link_mbps", "max_bytes", "operator_address", "order")

    def __init__(
        self,
        *,
        grace_s: float = 8.0,
        operator_address: Address | None = None,
        max_bytes: int = 64 << 20,
        order: Callable[[int, int, float], float] = rest_first,
        link_mbps: float = LINK_MBPS,
    ) -> None:
        self.grace_s, self.operator_address, self.max_bytes = grace_s, operator_address, max_bytes
        self.order, self.link_mbps = order, link_mbps


class GatewayNode:
    """One gateway on its host.

    `gateways`: all gateways, of which those of the same region tell whether this is the last one;
    `session_port`: where the sidecars of any region take sessions.
    """

    def __init__(
        self, host: Host, place: Place, gateways: list[Place], session_port: int, options: GatewayOptions
    ) -> None:
        self.host, self.region, self.zone, self.options = host, place.region, place.zone, options
        self.session_port = session_port
        self.send_scheduler = Spillway(host.now, host.after, options.link_mbps * BYTES_PER_MEGABIT)
        self.relay = Passages(self.region, self.send_scheduler.send, options.max_bytes)
        self.drain = Drain()
        self.source_links: dict[Caught, None] = {}
        self.destination_links: dict[tuple[str, int], Line] = {}  # by address and priority class
        self.unreachable_until: dict[str, float] = {}  # destinations
        self.asked_to_leave_at: dict[bytes, float] = {}  # by session
        self.other_gateways = [
            OtherGateway(self, other)
            for other in gateways
            if other.region == self.region and other.address != place.address
        ]
        self.is_ticking = False
        if options.operator_address is not None:
            HttpServer(host, options.operator_address, self._answer_operator, MAX_OPERATOR_BODY)
        host.listen(place.address, self._accept)
        host.after(STATE_INTERVAL_S, self._broadcast_periodically)
        host.after(COUNTERS_S, self._log_counters_periodically)

    # Links.

    def _accept(self, connection: Connection) -> Handler:
        line = Caught(connection, TO_SOURCES, self._from_source, self._source_lost, self._send_state)
        self.source_links[line] = None
        if len(self.source_links) > MAX_LINKS:
            connection.abort()
        return line

    def _from_source(self, line: Caught, frame: list[Any]) -> None:
        if frame[0] == OPEN:
            self.relay.opens(self.host.now(), line, frame, self._link_to)
        else:
            self.relay.from_source(line, frame)

    def _source_lost(self, line: Caught) -> None:
        self.source_links.pop(line, None)
        self.relay.path_lost(line)

    def _link_to(self, to: str, priority_class: int) -> Line | None:
        """The link to a destination, opened where there is none; each priority class has its own."""
        line = self.destination_links.get((to, priority_class))
        if line is None:
            if len(self.destination_links) >= MAX_LINKS or self.host.now() < self.unreachable_until.get(
                to, 0.0
            ):
                return None
            line = self.destination_links[to, priority_class] = Line(
                self.host,
                (to, self.session_port),
                TO_LANDING,
                self._from_destination,
                self._destination_lost,
                short=priority_class != BULK,
            )
        return line

    def _from_destination(self, line: Line, frame: list[Any]) -> None:
        self.relay.from_destination(line, frame)

    def _destination_lost(self, line: Line) -> None:
        for key in [key for key, each in self.destination_links.items() if each is line]:
            del self.destination_links[key]
            if not line.is_up:
                if len(self.unreachable_until) >= MAX_LINKS:
                    self.unreachable_until.clear()
                self.unreachable_until[key[0]] = self.host.now() + UNREACHABLE_S
        self.relay.path_lost(line)

    # Its state, as it is sent to sources.

    def _send_state(self, line: Caught) -> None:
        line.send([STATE, self.region, self.zone, len(self.relay.rows), int(self.drain.offered), 1])

    def _broadcast_state(self) -> None:
        for line in list(self.source_links):
            if line.known:
                self._send_state(line)

    def _broadcast_periodically(self) -> None:
        self._broadcast_state()
        self.host.after(STATE_INTERVAL_S, self._broadcast_periodically)

    @property
    def is_last(self) -> bool:
        """Whether no other gateway of the region is known to take sessions."""
        return not any(other.takes_sessions for other in self.other_gateways)

    # The drain.

    def order_drain(self) -> int:
        """An operator orders the drain; the state that it leads to."""
        return self._event(ORDER)

    def cancel_drain(self) -> int:
        """An operator cancels the drain; the state that it leads to."""
        return self._event(BACK)

    def terminate(self) -> None:
        """SIGTERM."""
        self._event(TERM)

    def _event(self, event: int) -> int:
        before = self.drain.state
        state = self.drain.event(
            self.host.now(), event, self.is_last, max(0.1, self.options.grace_s - EXIT_MARGIN_S)
        )
        self._changed(before)
        if not self.is_ticking and (state != SERVING or self.drain.ends):
            self.is_ticking = True
            self.host.after(TICK_S, self._tick)
        return state

    def _changed(self, before: int) -> None:
        if self.drain.state == before:
            return
        self.host.log(f"gateway is {NAMES[self.drain.state]}, sessions {len(self.relay.rows)}")
        self.relay.taking = self.drain.taking
        if self.drain.state == SERVING:
            self.asked_to_leave_at.clear()
        self._broadcast_state()

    def _tick(self) -> None:
        now, before = self.host.now(), self.drain.state
        rows = self._sessions_to_move(now)
        if before in (MOVING, LAST):
            for row in rows[:AT_ONCE]:
                self.asked_to_leave_at[row.sid] = now
                self.relay.ask_to_leave(row)
        self.drain.tick(now, len(rows[AT_ONCE:]), len(self.relay.rows))
        self._changed(before)
        if self.drain.state == GONE:
            self.counters()
            self.host.exit(0)
        elif self.drain.state == SERVING and not self.drain.ends:
            self.is_ticking = False
        else:
            self.host.after(TICK_S, self._tick)

    def _sessions_to_move(self, now: float) -> list[Row]:
        """Sessions to be asked to move, in order: the long ones, and in time the short ones too."""
        self.asked_to_leave_at = {
            sid: at for sid, at in self.asked_to_leave_at.items() if sid in self.relay.rows
        }
        wait = self.drain.state == LAST and now - self.drain.since >= SHORT_SESSIONS_S
        rows = [
            row
            for row in self.relay.rows.values()
            if (wait or not 0 <= row.length <= SHORT)
            and now - self.asked_to_leave_at.get(row.sid, -ASK_AGAIN_S) >= ASK_AGAIN_S
        ]
        rows.sort(key=lambda row: self.options.order(row.rest, row.length, now - row.since))
        return rows

    def _answer_operator(self, call: HttpRequest) -> None:
        """The operator's API: POST /api/gateway/drain, POST /api/gateway/back, GET /api/gateway."""
        if call.method == b"POST" and call.path == b"/api/gateway/drain":
            call.answer(200, NAMES[self.order_drain()].encode())
        elif call.method == b"POST" and call.path == b"/api/gateway/back":
            call.answer(200, NAMES[self.cancel_drain()].encode())
        elif call.method == b"GET" and call.path == b"/api/gateway":
            call.answer(200, self.summary().encode())
        else:
            call.answer(404)

    # Counters.

    def summary(self) -> str:
        """One line of what it is and has done."""
        one = self.relay
        return (
            f"state={NAMES[self.drain.state].replace(' ', '-')} sessions={len(one.rows)} "
            f"passed={one.passed} refused={one.refused} forbidden={one.forbidden} "
            f"granted={one.granted} waiting={self.send_scheduler.waiting_bytes} up={one.bytes_up} "
            f"down={one.bytes_down} sources={len(self.source_links)} landings={len(self.destination_links)} "
            f"last={int(self.is_last)}"
        )

    def counters(self) -> None:
        """Log the summary."""
        self.host.log(self.summary())

    def _log_counters_periodically(self) -> None:
        self.counters()
        self.host.after(COUNTERS_S, self._log_counters_periodically)


class OtherGateway:
    """Another gateway of the region: whether it takes sessions."""

    def __init__(self, gateway: GatewayNode, place: Place) -> None:
        self.gateway, self.place, self.takes_sessions = gateway, place, False
        self._connect()

    def _connect(self) -> None:
        Line(self.gateway.host, self.place.address, TO_SOURCES, self._received, self._lost, stays=True)

    def _received(self, line: Line, frame: list[Any]) -> None:
        if frame[0] == STATE:
            self.takes_sessions = bool(frame[4])

    def _lost(self, line: Line) -> None:
        self.takes_sessions = False
        self.gateway.host.after(RECONNECT_S, self._connect)


def granted_bytes(memory_mb: float, link_mbps: float) -> int:
    """Bytes that a gateway may have on the way.

    That is what its link carries in `MAX_QUEUE_S`, at most a quarter of its memory. More would only wait
    here, and so would the frame behind it that asks a session to move.
    """
    return max(
        MIN_BUFFERED_BYTES,
        int(min(memory_mb * BYTES_PER_QUARTER_MEGABYTE, link_mbps * BYTES_PER_MEGABIT * MAX_QUEUE_S)),
    )


def main() -> int:
    """Run until the platform or an operator's SIGTERM ends it; the exit status."""
    from signal import SIGTERM

    from honeywharf.transport.event_loop import EventLoop

    settings = load_settings()
    if settings is None:
        return 2
    loop = EventLoop(None)
    gateway = GatewayNode(
        loop,
        Place((settings.ip, settings.internal_ports[0]), settings.region, settings.zone),
        [Place(*each) for each in settings.gateways],
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
