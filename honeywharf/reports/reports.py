"""All that one proxy hears of load, and what it makes of it for the decision module. Without I/O.

Two figures join calls to times, and are learned from answers: `turn_ms`, by which each waiting call makes the
next one wait longer (a node's service time over its cores), and from it how many calls a node runs at once.
What a node can hold without a wait past the reference follows by Little's law; `hold` is this proxy's part of
that, with a margin for traffic unlike the others', and bounds what a proxy may send into one moment's gap
before the next report can tell of it.
"""

from __future__ import annotations

from honeywharf.policy import interface as api
from honeywharf.reports.fields import Reader
from honeywharf.reports.node import NodeReports
from honeywharf.reports.room import Room

CORES = 2.0  # of a node, until answers tell
MAX_CORES = 64.0
LEARN = 0.02  # weight of one answer in `turn_ms`, once some have told of it
FIRST_TURNS = 3  # answers that the first guess counts for
ENOUGH = 1.0  # calls that wait, from which an answer tells what one is
MARGIN = 1.0  # times its even part of the calls that a proxy may hold
SERVICE_OVER, BASE_OVER = 30, 300.0  # answers that make the time at a node, and over which the base rises
IDLE = 0.25  # of a call's turn: under that wait a node counts as one where nothing waits
SPARED_MS = 4000.0  # for which a node's own wait counts
MIN_SHARE = 0.1
EASE, AIM_LEAST = 1.35, 0.3  # as the limits: what is at ease, in base times and in targets
MIN_REFERENCE_MS = 5.0


class LoadReports:
    """One proxy's. All times in ms, on a clock that never goes back."""

    def __init__(self, settings: api.Settings) -> None:
        self.reader = Reader(settings.report_fields)
        self.part = min(1.0, settings.zones / settings.balancers)
        self.nodes: dict[str, NodeReports] = {}  # of listed endpoints only: `listed` forgets the others
        self.rooms: dict[str, Room] = {}  # as many as there are zones
        self.started: dict[str, float | None] = {}
        self.turn_ms = self.base_ms = self.reference_ms = self.service_ms = 0.0
        self.turns = 0  # answers that told of `turn_ms`
        self.served = 0  # answers that the service time is the mean of
        self.counts = {"heard": 0, "no figure": 0, "doubted": 0, "late": 0}

    def listed(self, started: dict[str, float | None]) -> None:
        """Forget what is listed no more, and what has started anew: `started`, by endpoint."""
        for name in [n for n in self.nodes if n not in started or started[n] != self.started.get(n)]:
            del self.nodes[name]
        self.started = started

    def heard(
        self,
        now: float,
        endpoint: str,
        zone: str,
        report: tuple[float, ...],
        took_ms: float,
        base_ms: float,
        target_ms: float,
    ) -> None:
        """A report of an endpoint; `took_ms`: of the answer that it came with, under 0 where it was none.

        `base_ms`: an answer's time at ease; `target_ms`: the time that a zone's answers may take.
        """
        if not base_ms > 0.0:
            return
        if self.turn_ms == 0.0:
            self.turn_ms = base_ms / CORES
        if self.served < SERVICE_OVER:
            self.base_ms = base_ms
        base_ms = self.base_ms
        self.reference_ms = max(MIN_REFERENCE_MS, EASE * base_ms - base_ms, AIM_LEAST * target_ms - base_ms)
        figure = self.reader.read(report, base_ms / self.turn_ms)
        if not figure.said:
            self.counts["no figure"] += 1
            return
        self.counts["heard"] += 1
        value = figure.waiting if figure.waiting >= 0.0 else figure.took_ms
        wait = figure.waiting * self.turn_ms if figure.waiting >= 0.0 else max(0.0, value - base_ms)
        node = self.nodes.get(endpoint)
        if node is None:
            node = self.nodes[endpoint] = NodeReports()
        if took_ms >= 0.0 and value == 0.0 and node.wait_ms < IDLE * self.turn_ms:
            # An answer of a node where nothing waits: the time of the work itself.
            self.served += 1
            self.service_ms += (took_ms - self.service_ms) / min(SERVICE_OVER, self.served)
            if self.served == SERVICE_OVER:
                self.base_ms = self.service_ms
            elif self.served > SERVICE_OVER:
                risen = self.base_ms + (self.service_ms - self.base_ms) / BASE_OVER
                self.base_ms = min(self.service_ms, risen)
        if took_ms >= 0.0:
            # The call waited in the queue of some moments ago, and the report is of another: their mean.
            before = node.wait_ms if node.weight(now) > 0.0 else wait
            node.compared(took_ms / (base_ms + 0.5 * (before + wait)))
            if figure.waiting >= ENOUGH and node.believed:
                turn = min(base_ms, max(base_ms / MAX_CORES, (took_ms - base_ms) / figure.waiting))
                self.turns += 1
                self.turn_ms += (turn - self.turn_ms) * max(LEARN, 1.0 / (self.turns + FIRST_TURNS))
        node.heard(now, value, wait)
        room = self.rooms.get(zone)
        if room is None:
            room = self.rooms[zone] = Room(self.part)
        if took_ms >= 0.0:
            room.age.add(now, max(0.0, took_ms - base_ms), wait, self.reference_ms)
        weight = node.weight(now)
        self.counts["late"] += room.age.late
        self.counts["doubted"] += weight == 0.0
        room.heard(now, wait, self.reference_ms, weight)

    def note_limited(self, zone: str, binds: bool) -> None:
        """Whether what a zone is open to has kept a call out since this was told last."""
        room = self.rooms.get(zone)
        if room is not None and binds:
            room.binds = True

    def admitted_factor(self, now: float, zone: str, away: bool) -> float:
        """The factor on `hold` that a zone is open to, under 0 where nothing is known of it.

        `away`: for calls of another zone.
        """
        room = self.rooms.get(zone)
        if room is None or not room.known(now):
            return -1.0
        return room.away.open if away else room.own.open

    def share(self, now: float, endpoint: str) -> float:
        """The part of the even choice that an endpoint may get: less where its own queue is far too long."""
        node = self.nodes.get(endpoint)
        if node is None or node.wait_ms <= 2.0 * self.reference_ms or not node.believed:
            return 1.0
        age = now - node.at_ms
        if age > SPARED_MS:
            return 1.0
        return max(MIN_SHARE, 2.0 * self.reference_ms / node.wait_ms)

    def hold(self) -> float:
        """Calls that this proxy may hold for each warm server of a zone that it is told of."""
        if self.turn_ms == 0.0:
            return 0.0
        return MARGIN * self.part * (self.base_ms + self.reference_ms) / self.turn_ms

    def drain_ms(self, now: float) -> float:
        """How long the shortest queue that is known takes to come down to its reference."""
        waits = [room.wait_ms for room in self.rooms.values() if room.known(now)]
        return max(0.0, min(waits) - self.reference_ms) if waits else 0.0
