"""What comes beside what is usual, and the state that follows: a table of transitions with reasons."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

FIRST, REPEAT, CONNECTION, REFUSED = KINDS = range(4)  # what is counted
SLOT_MS = 250.0
SLOTS = 8  # of a window: 2 s, longer than a client's back-off and shorter than an outage
HOUR_MS = 3_600_000.0
MIN_REPEATS = 10  # in a window: fewer are chance, whatever part of first tries they are
MIN_CONNECTIONS = 40
USUAL_OVER = 240  # slots, a minute, over which what is usual for an hour is formed
RISE_AT, STORM_AT, EBB_AT = 0.2, 0.4, 0.15  # repeats for each first try; below the budget all is well
RECONNECT_AT = 4.0  # times the connections that are usual
HOLD_MS = 1000.0  # that a sign has to last before the state falls: no swing from chance
QUIET_MS = 3000.0  # of quiet after which an ebb has ended


class State(Enum):
    """How repeats and reconnects stand."""

    CALM = "calm"
    RISING = "rising"
    STORM = "storm"
    EBBING = "ebbing"


@dataclass(slots=True)
class Window:
    """What came in the last SLOTS slots, and for how long the signs have stood."""

    first: int = 0
    repeats: int = 0
    connections: int = 0
    refused: int = 0  # for want of room
    usual_ratio: float = 0.0
    usual_connections: float = float("inf")  # in a window; without bound while it is not known
    quiet_ms: float = 0.0  # for so long neither sign has stood

    @property
    def ratio(self) -> float:
        """Repeats for each first try."""
        return self.repeats / max(1, self.first)

    @property
    def repeating(self) -> bool:
        """Whether repeats are more than chance and more than usual."""
        return self.repeats >= MIN_REPEATS and self.ratio > max(RISE_AT, 2.0 * self.usual_ratio)

    @property
    def reconnecting(self) -> bool:
        """Whether connections come as after a cut."""
        return self.connections >= max(MIN_CONNECTIONS, RECONNECT_AT * self.usual_connections)

    @property
    def stormy(self) -> bool:
        """Whether it is worse than a rise: repeats alone, or reconnects while requests are refused."""
        return (self.repeating and self.ratio > STORM_AT) or (self.reconnecting and self.refused > 0)

    @property
    def ebbs(self) -> bool:
        """Whether repeats are few again, for some time."""
        return self.ratio < EBB_AT + self.usual_ratio and self.quiet_ms >= HOLD_MS


Sign = Callable[[Window], bool]
#: State, sign, next state, reason: the first row that applies is taken; no other transition is possible.
TABLE: tuple[tuple[State, Sign, State, str], ...] = (
    (State.CALM, lambda w: w.repeating, State.RISING, "repeats"),
    (State.CALM, lambda w: w.reconnecting, State.RISING, "connections"),
    (State.RISING, lambda w: w.repeating and w.stormy, State.STORM, "repeats"),
    (State.RISING, lambda w: w.stormy, State.STORM, "connections while refusing"),
    (State.RISING, lambda w: w.quiet_ms >= HOLD_MS, State.CALM, "passed"),
    (State.STORM, lambda w: w.ebbs, State.EBBING, "fewer repeats"),
    (State.EBBING, lambda w: w.stormy, State.STORM, "again"),
    (State.EBBING, lambda w: w.quiet_ms >= QUIET_MS, State.CALM, "quiet"),
)


class Detector:
    """Counts by slot, what is usual by hour of the day (24 figures each), and the state."""

    def __init__(self) -> None:
        self.state, self.reason, self.since_ms = State.CALM, "start", 0.0
        self.slots: deque[list[int]] = deque([[0] * len(KINDS) for _ in range(SLOTS)], maxlen=SLOTS)
        self.window = Window()
        self.slot = -1
        self.quiet_slots = 0
        self.ratios, self.connects, self.heard = [0.0] * 24, [0.0] * 24, [0] * 24

    def count(self, now: float, kind: int, number: int = 1) -> bool:
        """So many more of one of KINDS; whether the state has changed."""
        changed = self.turn(now)
        self.slots[-1][kind] += number
        return changed

    def turn(self, now: float) -> bool:
        """Time has passed; whether the state has changed. Judged once a slot, on whole slots."""
        slot = int(now // SLOT_MS)
        if slot == self.slot:
            return False
        if self.slot < 0 or not 0 < slot - self.slot <= 4 * SLOTS:  # the start, or a clock that jumped
            passed, self.quiet_slots = SLOTS, 0 if self.slot >= 0 and slot < self.slot else self.quiet_slots
        else:
            passed = slot - self.slot
        before = self.state
        self._judge(now)
        for _ in range(min(passed, SLOTS)):
            self.slots.append([0] * len(KINDS))
        self.quiet_slots += passed - 1 if not self.window.repeating and not self.window.reconnecting else 0
        self.slot = slot
        return self.state is not before

    def _judge(self, now: float) -> None:
        w, hour = self.window, int(now // HOUR_MS) % 24
        w.first, w.repeats, w.connections, w.refused = (
            sum(column) for column in zip(*self.slots, strict=True)
        )
        known = self.heard[hour] >= USUAL_OVER // 8
        w.usual_ratio = self.ratios[hour] if known else 0.0
        w.usual_connections = self.connects[hour] if known else float("inf")
        if w.repeating or (known and w.reconnecting):
            self.quiet_slots = 0
        else:
            self.quiet_slots += 1
        w.quiet_ms = self.quiet_slots * SLOT_MS
        for state, sign, then, reason in TABLE:
            if state is self.state and sign(w):
                self.state, self.reason, self.since_ms = then, reason, now
                return
        if self.state is State.CALM:  # what a storm does is not usual
            self.heard[hour] = min(USUAL_OVER, self.heard[hour] + 1)
            part = 1.0 / self.heard[hour]
            self.ratios[hour] += (w.ratio - self.ratios[hour]) * part
            self.connects[hour] += (w.connections - self.connects[hour]) * part
