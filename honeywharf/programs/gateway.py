"""The gateway between regions: passes sessions on, holds what it has granted and no truth, and drains."""

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
from honeywharf.sessions.kinds import BULK, OPEN, SHORT, STATE
from honeywharf.sessions.line import TO_LANDING, TO_SOURCES, Caught, Line
from honeywharf.sessions.passage import Passages, Row
from honeywharf.sessions.places import Place
from honeywharf.sessions.spillway import LINK_MBPS, Spillway
from honeywharf.transport.http_server import HttpRequest, HttpServer

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any

    from honeywharf.transport.host import Address, Connection, Handler, Host

TELL_S = 0.5  # between words of its load
QUEUE_S = 0.5  # of its link that a gateway may have on the way
DOWN_S = 0.5  # for which a destination that could not be reached is not tried again
MIN_BYTES = 4 << 20
LAST_S = 1.0  # for which short requests are waited for before they are asked to leave too
END_S = 0.4  # before the end of `grace-period`
COUNTERS_S = 10.0
MAX_LINKS = 2048
AGAIN_S = 0.4  # before another gateway that was lost is looked for again


class GatewayNode:
    """One gateway on its host.

    `others`: gateways of the same region, to know whether this is the last one. `landing_port`: where the
    sidecars of any region take sessions. `order`: which session is asked to leave first.
    """

    def __init__(
        self,
        host: Host,
        at: Address,
        region: str,
        zone: str,
        others: list[Place],
        landing_port: int,
        grace_s: float = 8.0,
        door: Address | None = None,
        most_bytes: int = 64 << 20,
        order: Callable[[int, int, float], float] = rest_first,
        link_mbps: float = LINK_MBPS,
    ) -> None:
        self.host, self.region, self.zone, self.order = host, region, zone, order
        self.landing_port, self.grace_s = landing_port, grace_s
        self.spillway = Spillway(host.now, host.after, link_mbps * 125_000.0)
        self.passages = Passages(region, self.spillway.send, most_bytes)
        self.drain = Drain()
        self.sources: dict[Caught, None] = {}
        self.landings: dict[tuple[str, int], Line] = {}
        self.down: dict[str, float] = {}  # destinations that could not be reached, and until when
        self.asked_at: dict[bytes, float] = {}
        self.others = [
            Other(self, place) for place in others if place.region == region and place.address != at
        ]
        self.ticking = False
        if door is not None:
            HttpServer(host, door, self._order, 1 << 16)
        host.listen(at, self._accept)
        host.after(TELL_S, self._tell_again)
        host.after(COUNTERS_S, self._counters)

    # Links.

    def _accept(self, connection: Connection) -> Handler:
        line = Caught(connection, TO_SOURCES, self._from_source, self._source_gone, self._tell)
        self.sources[line] = None
        if len(self.sources) > MAX_LINKS:
            connection.abort()
        return line

    def _from_source(self, line: Caught, frame: list[Any]) -> None:
        if frame[0] == OPEN:
            self.passages.opens(self.host.now(), line, frame, self._reach)
        else:
            self.passages.from_source(line, frame)

    def _source_gone(self, line: Caught) -> None:
        self.sources.pop(line, None)
        self.passages.path_lost(line)

    def _reach(self, to: str, lane: int) -> Line | None:
        """The link to a destination, asked for where there is none; each lane has its own."""
        line = self.landings.get((to, lane))
        if line is None:
            if len(self.landings) >= MAX_LINKS or self.host.now() < self.down.get(to, 0.0):
                return None
            line = self.landings[to, lane] = Line(
                self.host,
                (to, self.landing_port),
                TO_LANDING,
                self._from_landing,
                self._landing_gone,
                short=lane != BULK,
            )
        return line

    def _from_landing(self, line: Line, frame: list[Any]) -> None:
        self.passages.from_destination(line, frame)

    def _landing_gone(self, line: Line) -> None:
        for key in [key for key, each in self.landings.items() if each is line]:
            del self.landings[key]
            if not line.is_up:
                if len(self.down) >= MAX_LINKS:
                    self.down.clear()
                self.down[key[0]] = self.host.now() + DOWN_S
        self.passages.path_lost(line)

    # What is told of it.

    def _tell(self, line: Caught) -> None:
        line.send([STATE, self.region, self.zone, len(self.passages.rows), int(self.drain.offered), 1])

    def _tell_all(self) -> None:
        for line in list(self.sources):
            if line.known:
                self._tell(line)

    def _tell_again(self) -> None:
        self._tell_all()
        self.host.after(TELL_S, self._tell_again)

    @property
    def last(self) -> bool:
        """Whether no other gateway of the region is known to take sessions."""
        return not any(other.offered for other in self.others)

    # The drain.

    def order_drain(self) -> int:
        """An operator's order; the state that it leads to."""
        return self._event(ORDER)

    def take_back(self) -> int:
        """The order back; the state that it leads to."""
        return self._event(BACK)

    def terminate(self) -> None:
        """SIGTERM."""
        self._event(TERM)

    def _event(self, event: int) -> int:
        before = self.drain.state
        state = self.drain.event(self.host.now(), event, self.last, max(0.1, self.grace_s - END_S))
        self._changed(before)
        if not self.ticking and (state != SERVING or self.drain.ends):
            self.ticking = True
            self.host.after(TICK_S, self._tick)
        return state

    def _changed(self, before: int) -> None:
        if self.drain.state == before:
            return
        self.host.log(f"gateway is {NAMES[self.drain.state]}, sessions {len(self.passages.rows)}")
        self.passages.taking = self.drain.taking
        if self.drain.state == SERVING:
            self.asked_at.clear()
        self._tell_all()

    def _tick(self) -> None:
        now, before = self.host.now(), self.drain.state
        rows = self._to_ask(now)
        if before in (MOVING, LAST):
            for row in rows[:AT_ONCE]:
                self.asked_at[row.sid] = now
                self.passages.ask_to_leave(row)
        self.drain.tick(now, len(rows[AT_ONCE:]), len(self.passages.rows))
        self._changed(before)
        if self.drain.state == GONE:
            self.counters()
            self.host.exit(0)
        elif self.drain.state == SERVING and not self.drain.ends:
            self.ticking = False
        else:
            self.host.after(TICK_S, self._tick)

    def _to_ask(self, now: float) -> list[Row]:
        """Sessions to be asked to leave, in order: the long ones, and in time the short ones too."""
        self.asked_at = {sid: at for sid, at in self.asked_at.items() if sid in self.passages.rows}
        wait = self.drain.state == LAST and now - self.drain.since >= LAST_S
        rows = [
            row
            for row in self.passages.rows.values()
            if (wait or not 0 <= row.length <= SHORT)
            and now - self.asked_at.get(row.sid, -ASK_AGAIN_S) >= ASK_AGAIN_S
        ]
        rows.sort(key=lambda row: self.order(row.rest, row.length, now - row.since))
        return rows

    def _order(self, call: HttpRequest) -> None:
        """The operator's door: POST /api/gateway/drain, POST /api/gateway/back, GET /api/gateway."""
        if call.method == b"POST" and call.path == b"/api/gateway/drain":
            call.answer(200, NAMES[self.order_drain()].encode())
        elif call.method == b"POST" and call.path == b"/api/gateway/back":
            call.answer(200, NAMES[self.take_back()].encode())
        elif call.method == b"GET" and call.path == b"/api/gateway":
            call.answer(200, self.summary().encode())
        else:
            call.answer(404)

    # Counters.

    def summary(self) -> str:
        """One line of what it is and has done."""
        one = self.passages
        return (
            f"state={NAMES[self.drain.state].replace(' ', '-')} sessions={len(one.rows)} "
            f"passed={one.passed} refused={one.refused} forbidden={one.forbidden} "
            f"granted={one.granted} waiting={self.spillway.waiting_bytes} up={one.bytes_up} "
            f"down={one.bytes_down} sources={len(self.sources)} landings={len(self.landings)} "
            f"last={int(self.last)}"
        )

    def counters(self) -> None:
        """Log the summary."""
        self.host.log(self.summary())

    def _counters(self) -> None:
        self.counters()
        self.host.after(COUNTERS_S, self._counters)


class Other:
    """Another gateway of the region: whether it takes sessions."""

    def __init__(self, keeper: GatewayNode, place: Place) -> None:
        self.keeper, self.place, self.offered = keeper, place, False
        self._look()

    def _look(self) -> None:
        Line(self.keeper.host, self.place.address, TO_SOURCES, self._took, self._gone, stays=True)

    def _took(self, line: Line, frame: list[Any]) -> None:
        if frame[0] == STATE:
            self.offered = bool(frame[4])

    def _gone(self, line: Line) -> None:
        self.offered = False
        self.keeper.host.after(AGAIN_S, self._look)


def granted_bytes(memory_mb: float, link_mbps: float) -> int:
    """How much a gateway may have on the way: what its link carries in `QUEUE_S`, in a quarter of its memory.

    More would only wait here, and the word that a session is to move would wait behind it.
    """
    return max(MIN_BYTES, int(min(memory_mb * 262144.0, link_mbps * 125000.0 * QUEUE_S)))


def main() -> int:
    """Run until the platform or an operator's SIGTERM ends it; the exit status."""
    from signal import SIGTERM

    from honeywharf.transport.event_loop import EventLoop

    settings = load_settings()
    if settings is None:
        return 2
    loop = EventLoop(None)
    keeper = GatewayNode(
        loop,
        (settings.ip, settings.internal_ports[0]),
        settings.region,
        settings.zone,
        [Place(*each) for each in settings.gateways],
        settings.internal_ports[0] + 1,
        settings.bound("grace-period", 8.0),
        settings.listen_addresses.get("control-plane"),
        granted_bytes(settings.memory_mb, settings.link_mbps),
        link_mbps=settings.link_mbps,
    )
    loop.on_signal(SIGTERM, keeper.terminate)
    return loop.run()


if __name__ == "__main__":
    sys.exit(main())
