"""Detects storms by comparing recent traffic with the hour's baseline: a table of state transitions."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

FIRST, REPEAT, CONNECTION, REFUSED = KINDS = range(4)  # the kinds of events counted
SLOT_MS = 250.0
WINDOW_SLOTS = 8  # a window of 2 s: longer than a client's backoff and shorter than an outage
HOUR_MS = 3_600_000.0
MIN_REPEATS = 10  # fewer in a window count as chance, whatever their ratio to first attempts
MIN_CONNECTIONS = 40  # fewer in a window do not count as a mass reconnect
BASELINE_SLOTS = 240  # the baseline of an hour averages over a minute of slots
RISING_RATIO, STORM_RATIO, EBBING_RATIO = 0.2, 0.4, 0.15  # repeats for each first attempt
RECONNECT_FACTOR = 4.0  # a mass reconnect has this many times the baseline of connections
MIN_QUIET_MS = 1000.0  # the state falls after this time without a sign of a storm; guards against flapping
EBBING_MS = 3000.0  # an ebbing storm ends after this time without a sign of it


class State(Enum):
    """The state of storm detection."""

    CALM = "calm"
    RISING = "rising"
    STORM = "storm"
    EBBING = "ebbing"


@dataclass(slots=True)
class Window:
    """Counts of the last WINDOW_SLOTS slots, their baselines, and the time without a sign of a storm."""

    first: int = 0
    repeats: int = 0
    connections: int = 0
    refused: int = 0  # requests refused for lack of capacity
    baseline_ratio: float = 0.0
    baseline_connections: float = float("inf")  # connections in a usual window; infinite while unknown
    quiet_ms: float = 0.0  # time since the last sign of a storm

    @property
    def ratio(self) -> float:
        """Repeats for each first attempt."""
        return self.repeats / max(1, self.first)

    @property
    def repeating(self) -> bool:
        """Whether repeats exceed both chance and the baseline."""
        return self.repeats >= MIN_REPEATS and self.ratio > max(RISING_RATIO, 2.0 * self.baseline_ratio)

    @property
    def reconnecting(self) -> bool:
        """Whether connections come in numbers that suggest a mass reconnect."""
        return self.connections >= max(MIN_CONNECTIONS, RECONNECT_FACTOR * self.baseline_connections)

    @property
    def severe(self) -> bool:
        """Whether it is a storm: by repeats alone, or by reconnects while requests are refused."""
        return (self.repeating and self.ratio > STORM_RATIO) or (self.reconnecting and self.refused > 0)

    @property
    def receding(self) -> bool:
        """Whether repeats have been few for some time."""
        return self.ratio < EBBING_RATIO + self.baseline_ratio and self.quiet_ms >= MIN_QUIET_MS


Condition = Callable[[Window], bool]
#: State, condition, next state, reason. The first row that applies is taken; no other transition is possible.
TRANSITIONS: tuple[tuple[State, Condition, State, str], ...] = (
    (State.CALM, lambda w: w.repeating, State.RISING, "repeats"),
    (State.CALM, lambda w: w.reconnecting, State.RISING, "connections"),
    (State.RISING, lambda w: w.repeating and w.severe, State.STORM, "repeats"),
    (State.RISING, lambda w: w.severe, State.STORM, "connections while refusing"),
    (State.RISING, lambda w: w.quiet_ms >= MIN_QUIET_MS, State.CALM, "passed"),
    (State.STORM, lambda w: w.receding, State.EBBING, "fewer repeats"),
    (State.EBBING, lambda w: w.severe, State.STORM, "again"),
    (State.EBBING, lambda w: w.quiet_ms >= EBBING_MS, State.CALM, "quiet"),
)


class Detector:
    """Detects storms by counts for each slot, and by baselines for each hour of the day (24 entries each)."""

    def __init__(self) -> None:
        self.state, self.reason, self.since_ms = State.CALM, "start", 0.0
        self.slots: deque[list[int]] = deque(
            [[0] * len(KINDS) for _ in range(WINDOW_SLOTS)], maxlen=WINDOW_SLOTS
        )
        self.window = Window()
        self.slot = -1
        self.quiet_slots = 0
        self.baseline_ratios, self.baseline_connects, self.baseline_samples = [0.0] * 24, [0.0] * 24, [0] * 24

    def count(self, now: float, kind: int, number: int = 1) -> bool:
        """Counts events of one of KINDS; returns whether the state has changed."""
        changed = self.advance(now)
        self.slots[-1][kind] += number
        return changed

    def advance(self, now: float) -> bool:
        """Advances time; returns whether the state has changed. Evaluates once for each complete slot."""
        slot = int(now // SLOT_MS)
        if slot == self.slot:
            return False
        if self.slot < 0 or not 0 < slot - self.slot <= 4 * WINDOW_SLOTS:  # the start, or the clock jumped
            passed, self.quiet_slots = (
                WINDOW_SLOTS,
                0 if self.slot >= 0 and slot < self.slot else self.quiet_slots,
            )
        else:
            passed = slot - self.slot
        before = self.state
        self._evaluate(now)
        for _ in range(min(passed, WINDOW_SLOTS)):
            self.slots.append([0] * len(KINDS))
        self.quiet_slots += passed - 1 if not self.window.repeating and not self.window.reconnecting else 0
        self.slot = slot
        return self.state is not before

    def _evaluate(self, now: float) -> None:
        w, hour = self.window, int(now // HOUR_MS) % 24
        w.first, w.repeats, w.connections, w.refused = (
            sum(column) for column in zip(*self.slots, strict=True)
        )
        known = self.baseline_samples[hour] >= BASELINE_SLOTS // 8
        w.baseline_ratio = self.baseline_ratios[hour] if known else 0.0
        w.baseline_connections = self.baseline_connects[hour] if known else float("inf")
        if w.repeating or (known and w.reconnecting):
            self.quiet_slots = 0
        else:
            self.quiet_slots += 1
        w.quiet_ms = self.quiet_slots * SLOT_MS
        for state, condition, following, reason in TRANSITIONS:
            if state is self.state and condition(w):
                self.state, self.reason, self.since_ms = following, reason, now
                return
        if self.state is State.CALM:  # guards against a storm that becomes the baseline
            self.baseline_samples[hour] = min(BASELINE_SLOTS, self.baseline_samples[hour] + 1)
            weight = 1.0 / self.baseline_samples[hour]
            self.baseline_ratios[hour] += (w.ratio - self.baseline_ratios[hour]) * weight
            self.baseline_connects[hour] += (w.connections - self.baseline_connects[hour]) * weight
