"""The source's side on its host: links to the gateways, which session goes by which, and when it moves.

Theory of operation. To each gateway there are three lanes, links of their own: one for inner calls (reads
with a short aim), one for other short requests, and one for the rest. The lane of inner calls is always up
and tells whether the gateway lives and takes sessions. Bodies go out in turns (`spillway`). Each session is a
`Carriage`: for a course it is the channel, for its `Inlet` who is told. A tick every `TICK_S` while there are
sessions leaves ways that are quiet, or on which nothing moves any more, and finds ways for those that have
none. `sessions=False` is for comparison only: what loses its way fails.
"""

from __future__ import annotations

from honeywharf.sessions.choice import DOUBT_S, MAX_GATEWAYS, Gateway, choose
from honeywharf.sessions.inlet import FLOWING, IDLE, LEAVING, OVER, QUIET_S, Inlet, Request
from honeywharf.sessions.kinds import (
    BRIEF,
    BULK,
    GONE,
    LEAVE,
    QUICK,
    QUICK_AIM_S,
    SHORT,
    STATE,
    WINDOW,
)
from honeywharf.sessions.line import TO_SOURCES, Line
from honeywharf.sessions.outlet import APART_S
from honeywharf.sessions.spillway import LINK_MBPS, Spillway
from honeywharf.transport.stream import WINDOW_SIZE, ForwardedRequest
from honeywharf.verdict import DRAINING, LINK_LOST, MAY_HAVE_RUN, NOT_RUN, Verdict

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable, Iterable
    from typing import Any

    from honeywharf.sessions.places import Place
    from honeywharf.transport.host import Host, Timer
    from honeywharf.transport.stream import ResponseHandler

TICK_S = 0.02
STALL_S = 2.5  # nothing came on a way that owes a word; a full gateway says little for a second and more
PAUSES_S = (0.0, 0.0, 0.05, 0.1, 0.2, 0.4)  # before the first, second, ... way that is tried without success
AGAIN_S = 0.4  # before a lost link to a gateway is asked for again
MIN_UNREACHED = 3
MAX_SESSIONS = 4096
MAX_LIVES = 1024  # destinations whose life is remembered


def head_of(ask: ForwardedRequest) -> list[object]:
    """What a session carries of a request: first what is asked for, then what may differ from try to try."""
    return [
        [ask.service, ask.kind, ask.caller, ask.method, ask.target, ask.fields],
        [
            int(ask.max_queue_wait_s * 1000.0),
            ask.priority,
            int(ask.latency_target_s * 1000.0),
            ask.revision,
            ask.rule,
        ],
    ]


def lane_of(ask: ForwardedRequest) -> int:
    """The lane of a request: by its body, its kind and its aim, which is the operator's word of its haste."""
    if not 0 <= ask.length <= SHORT:
        return BULK
    return QUICK if ask.kind == 0 and ask.latency_target_s <= QUICK_AIM_S else BRIEF


class Carriage:
    """One session of a course."""

    __slots__ = (
        "apart_since",
        "conveyor",
        "inlet",
        "lane",
        "left_at",
        "moved_at",
        "next_at",
        "read",
        "replies",
        "seen",
        "tries",
        "unreached",
        "way",
    )

    def __init__(self, conveyor: Conveyor, replies: ResponseHandler, lane: int, read: bool) -> None:
        self.conveyor, self.replies, self.lane, self.read = conveyor, replies, lane, read
        self.inlet: Inlet
        self.way: Way | None = None
        self.left_at = self.moved_at = self.next_at = 0.0
        self.seen = -1  # frames of the inlet that were counted when it last moved
        self.tries = 0  # ways without a word, one after the other
        self.unreached = 0  # of these, gateways that did not reach the destination
        self.apart_since = conveyor.host.now()  # when the destination was last heard

    # For the course: the channel.

    def data(self, data: bytes) -> None:
        """A part of the body."""
        self.inlet.data(data)
        self.conveyor.flush(self)

    def end(self) -> None:
        """The body is whole."""
        self.inlet.end()
        self.conveyor.flush(self)

    def window(self, size: int) -> None:
        """So many bytes of the answer have gone on."""
        self.inlet.window(size)
        self.conveyor.flush(self)

    def cancel(self) -> None:
        """Nobody waits any more."""
        self.inlet.cancel()
        self.conveyor.flush(self)


class _Teller:
    """The replies of a course, as an inlet tells them."""

    __slots__ = ("answered", "data", "failed", "replies", "whole", "window")

    def __init__(self, replies: ResponseHandler) -> None:
        self.replies = replies
        self.answered, self.data, self.failed = replies.answered, replies.data, replies.failed
        self.whole, self.window = replies.completed, replies.window

    def went(self) -> None:
        """The body is wanted: a course begins with less than a window."""
        self.replies.admitted()
        self.replies.window(WINDOW - WINDOW_SIZE)


class Way:
    """A gateway as a source has it: its lanes, and what it told of itself."""

    def __init__(self, conveyor: Conveyor, place: Place) -> None:
        self.conveyor, self.place = conveyor, place
        self.gateway = Gateway(place.node, place.region, place.zone)
        self.lines: dict[int, Line] = {}  # by lane
        self.riders: dict[bytes, Carriage] = {}

    def line(self, lane: int) -> Line:
        """The link of a lane, asked for where there is none."""
        line = self.lines.get(lane)
        if line is None:
            line = self.lines[lane] = Line(
                self.conveyor.host,
                self.place.address,
                TO_SOURCES,
                self._took,
                self._gone,
                lane == QUICK,
                lane != BULK,
            )
        return line

    def _took(self, line: Line, frame: list[Any]) -> None:
        if frame[0] == STATE:
            _, region, _, load, offered, _ = frame
            if region != self.place.region:
                raise ValueError(f"found a gateway of {region!r}, wanted {self.place.region!r}")
            self.gateway.load, self.gateway.offered, self.gateway.up = load, bool(offered), True
            return
        rider = self.riders.get(frame[1])
        if rider is not None:
            self.conveyor.took(rider, frame)

    def _gone(self, line: Line) -> None:
        now = self.conveyor.host.now()
        lane = next((lane for lane, each in self.lines.items() if each is line), -1)
        self.lines.pop(lane, None)
        if lane == QUICK:
            self.gateway.up = False
            self.conveyor.host.after(AGAIN_S, self.look)
        self.gateway.doubted_until = now + DOUBT_S
        for rider in list(self.riders.values()):
            if rider.lane == lane:
                self.conveyor.lost(rider)

    def look(self) -> None:
        """Keep the lane of inner calls up."""
        if not self.conveyor.closed:
            self.line(QUICK)


class Conveyor:
    """All sessions of one source, and its gateways.

    `draw()`: even random numbers in [0, 1). `link_mbps`: of this machine, in Mbit/s.
    """

    def __init__(
        self,
        host: Host,
        region: str,
        zone: str,
        places: Iterable[Place],
        draw: Callable[[], float],
        sessions: bool = True,
        link_mbps: float = LINK_MBPS,
    ) -> None:
        self.send_scheduler = Spillway(host.now, host.after, link_mbps * 125_000.0)
        self.host, self.region, self.zone, self.draw, self.sessions = host, region, zone, draw, sessions
        self.ways = {place.node: Way(self, place) for place in list(places)[:MAX_GATEWAYS]}
        self.riders: dict[Carriage, None] = {}
        self.lives: dict[str, bytes] = {}
        self.timer: Timer | None = None
        self.closed = False
        self.moves = self.lost_ways = self.twice = self.opened = 0
        for way in self.ways.values():
            way.look()

    def open(
        self,
        to: str,
        ask: ForwardedRequest,
        replies: ResponseHandler,
        tenant: str = "",
        homes: tuple[str, ...] = (),
    ) -> Carriage | None:
        """Carry a request to the sidecar at an IP address; None where there is no room for one more."""
        if self.closed or len(self.riders) >= MAX_SESSIONS:
            return None
        host = self.host
        deadline = host.now() + ask.remaining_s
        request = Request(
            to,
            ask.attempt_id,
            ask.length,
            deadline,
            int((host.wall() + ask.remaining_s) * 1000.0),
            tenant,
            self.region,
            homes,
            head_of(ask),
            lane_of(ask),
        )
        rider = Carriage(self, replies, request.lane, ask.kind == 0)
        rider.inlet = Inlet(host.random(16), request, _Teller(replies), self.lives.get(to, b""))
        self.riders[rider] = None
        self.opened += 1
        host.after(0.0, lambda: self._find(rider))
        self._tick_soon()
        return rider

    # Ways.

    def _find(self, rider: Carriage) -> None:
        """The next way for a session that has none."""
        now, inlet = self.host.now(), rider.inlet
        if inlet.state != IDLE or now < rider.next_at:
            return
        last = rider.way.gateway.node if rider.way is not None else ""
        self._leave(rider)
        if self._hopeless(rider, now):
            inlet.late(LINK_LOST)
            self._over(rider)
            return
        gateway = choose(
            [way.gateway for way in self.ways.values()],
            now,
            self.zone,
            self.region,
            inlet.request.homes,
            last,
            self.draw,
        )
        rider.next_at = now + PAUSES_S[min(rider.tries, len(PAUSES_S) - 1)]
        rider.tries += 1
        if gateway is None:
            return
        way = rider.way = self.ways[gateway.node]
        way.riders[inlet.sid] = rider
        gateway.load += 1
        if inlet.epoch:
            self.moves += 1
        rider.moved_at, rider.seen = now, inlet.taken
        inlet.attach(now)
        self.flush(rider)

    def _hopeless(self, rider: Carriage, now: float) -> bool:
        """Whether the destination is given up, so that a course may ask another.

        What may be sent again is given up when as many gateways as there are have not reached it. What is
        half way is tried as long as the destination would hold it; what may have run, until its deadline.
        """
        inlet = rider.inlet
        if rider.read or not (inlet.finished or inlet.acked):
            return rider.unreached >= max(MIN_UNREACHED, len(self.ways))
        return not inlet.finished and rider.unreached > 0 and now - rider.apart_since > APART_S + 1.0

    def _leave(self, rider: Carriage) -> None:
        way, rider.way = rider.way, None
        if way is not None:
            way.riders.pop(rider.inlet.sid, None)

    def lost(self, rider: Carriage) -> None:
        """A session's way is lost."""
        self.lost_ways += 1
        inlet = rider.inlet
        if inlet.state == OVER:
            return
        if not self.sessions and inlet.epoch:
            ran = MAY_HAVE_RUN if inlet.finished else NOT_RUN
            inlet.cancel()
            self._over(rider)
            rider.replies.failed(Verdict(ran, LINK_LOST, inlet.finished))
            return
        inlet.detach()
        self.host.after(0.0, lambda: self._find(rider))

    def took(self, rider: Carriage, frame: list[Any]) -> None:
        """A frame for a session."""
        inlet, kind = rider.inlet, frame[0]
        if kind == GONE and frame[2] == inlet.epoch and rider.way is not None:
            if frame[3] == LINK_LOST:
                rider.unreached += 1
            if frame[3] != DRAINING:
                rider.way.gateway.doubted_until = self.host.now() + DOUBT_S
            self.lost(rider)
            return
        if kind == LEAVE and not self.sessions:
            return
        before = inlet.state
        inlet.take(frame)
        rider.apart_since = self.host.now()
        if inlet.state == FLOWING and before != FLOWING:
            rider.tries = rider.unreached = 0
            self._remember(inlet)
        if inlet.state == LEAVING and before != LEAVING:
            rider.left_at = self.host.now()
        self.flush(rider)
        self._see(rider, self.host.now())

    def _remember(self, inlet: Inlet) -> None:
        if inlet.request.to not in self.lives and len(self.lives) >= MAX_LIVES:
            self.lives.clear()
        self.lives[inlet.request.to] = inlet.life

    def flush(self, rider: Carriage) -> None:
        """Send what a session has to send; forget one that is over."""
        inlet = rider.inlet
        frames, inlet.out = inlet.out, []
        if rider.way is not None and frames:
            line = rider.way.line(rider.lane)
            for frame in frames:
                self.send_scheduler.send(line, frame)
        if inlet.state == OVER:
            self._over(rider)

    def _over(self, rider: Carriage) -> None:
        if rider in self.riders:
            del self.riders[rider]
            self.twice += rider.inlet.twice
            self._leave(rider)
            to = rider.inlet.request.to
            if rider.inlet.life and not rider.inlet.complete:
                self.lives.pop(to, None)  # it may have another life by now: ask first

    # Time.

    def _tick_soon(self) -> None:
        if self.timer is None and self.riders:
            self.timer = self.host.after(TICK_S, self._tick)

    def _tick(self) -> None:
        self.timer = None
        now = self.host.now()
        for rider in list(self.riders):
            self._see(rider, now)
        self._tick_soon()

    def _see(self, rider: Carriage, now: float) -> None:
        """Leave a way that is quiet or bad; find one; give up in time."""
        inlet = rider.inlet
        if inlet.state == OVER:
            return
        if now >= inlet.request.deadline:
            inlet.late()
            self.flush(rider)
        elif inlet.state == LEAVING:
            if inlet.quiet() or now - rider.left_at >= QUIET_S:
                inlet.detach()
                self._find(rider)
        elif inlet.state == IDLE:
            self._find(rider)
        elif rider.seen != inlet.taken:
            rider.seen, rider.moved_at = inlet.taken, now
        elif inlet.owed and now - rider.moved_at >= STALL_S:
            if rider.way is not None:
                rider.way.gateway.doubted_until = now + DOUBT_S
            self.lost(rider)

    def close(self) -> None:
        """Give all links up."""
        self.closed = True
        for way in self.ways.values():
            for line in list(way.lines.values()):
                line.lose()
