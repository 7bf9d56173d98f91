"""Joins the parts of storm control behind the interface that the decision module uses."""

from __future__ import annotations

import random
from dataclasses import dataclass

from honeywharf.policy.interface import Coming
from honeywharf.storms import detector as detection
from honeywharf.storms.budget import RATIO, Rate, RepeatBudget
from honeywharf.storms.detector import Detector, State
from honeywharf.storms.return_schedule import SLOT_MS, ReturnSchedule
from honeywharf.storms.sketch import RecentNames, digest

# The pace of new connections in a storm, in baselines, and its minimum.
PACE_FACTOR, MIN_CONNECTIONS_PER_S = 2.0, 100.0
USEFUL_PART_OF_TARGET = 0.4  # a client that returns later would be answered past the latency target
SHORTAGE_MS = 500.0  # the budget limits repeats for this long after a refusal for lack of capacity
RETURN_TIME_LIMIT_FACTOR = 1.25  # applies to repeats at their return time, which are few and promised
REPEAT_LIMIT_FACTOR = 0.5  # applies to all other repeats: first attempts go before them


@dataclass(frozen=True, slots=True)
class Rules:
    """Settings of storm control.

    `span_ms`: how long after an attempt a request counts as its repeat; `max_names`: names in that time;
    `ratio`: admitted repeats for each first attempt in a storm; `max_return_ms`: the longest return time;
    `aim_ms`: the shortest latency target.
    """

    span_ms: float = 5000.0
    max_names: int = 20_000
    ratio: float = RATIO
    max_return_ms: float = 2000.0
    aim_ms: float = 2000.0


class Storms:
    """Storm control of one proxy. `secret` keys the hash of the sketches."""

    def __init__(self, rules: Rules, rng: random.Random, secret: bytes) -> None:
        self.rules, self.secret = rules, secret
        self.seen = RecentNames(rules.span_ms, rules.max_names)
        self.detector = Detector()
        self.budget = RepeatBudget(rules.ratio)
        self.schedule = ReturnSchedule(rng, rules.max_return_ms, USEFUL_PART_OF_TARGET * rules.aim_ms)
        self.last_shortage_ms = float("-inf")  # when a request was last refused for lack of capacity
        self.first_attempts = Rate(0.0)
        self.refused_repeats = self.kept_promises = self.broken_promises = 0

    @property
    def size_bytes(self) -> int:
        """The size of the sketches."""
        return self.seen.size_bytes + self.schedule.promises.size_bytes

    @property
    def state(self) -> State:
        """The state of detection."""
        return self.detector.state

    def words(self) -> str:
        """Returns the state and its reason, for the operator."""
        window = self.detector.window
        return (
            f"storm: {self.state.value} ({self.detector.reason}): {window.repeats} repeats of"
            f" {window.first} first tries, {window.connections} connections, {window.refused} refused"
        )

    def pace(self) -> float:
        """Returns how many connections per second may be accepted; 0 for no bound.

        Guards against delaying first attempts: nothing is paced before the baseline is known.
        """
        usual = self.detector.window.baseline_connections / (
            detection.WINDOW_SLOTS * detection.SLOT_MS / 1000.0
        )
        if self.state is not State.STORM or usual == float("inf"):
            return 0.0
        return max(MIN_CONNECTIONS_PER_S, PACE_FACTOR * usual)

    def connected(self, now: float, number: int) -> bool:
        """Counts new client connections; returns whether the state has changed."""
        return self._changed(now, self.detector.count(now, detection.CONNECTION, number))

    def arrived(self, now: float, name: bytes, tenant: str, marked: bool) -> tuple[Coming, int, bool]:
        """Classifies a request; returns its kind, the digest of its name, and whether the state has changed.

        `name` is the same for all attempts of a request: its idempotency key, or caller and target. A request
        with an empty name is a repeat only if it is marked as one.
        """
        code = digest(name, self.secret) if name else 0
        again = self.seen.add(now, code) if name else False
        coming = Coming.FIRST
        if again or marked:
            due = self.schedule.promises.due(now, code) if name else None
            coming = Coming.UNTOLD if due is None else Coming.AS_TOLD if due <= now else Coming.EARLY
        if coming is Coming.FIRST:
            changed = self.detector.count(now, detection.FIRST)
            self.budget.record_first(now, tenant)
            self.first_attempts.record(now)
        else:
            changed = self.detector.count(now, detection.REPEAT)
        return coming, code, self._changed(now, changed)

    def _changed(self, now: float, changed: bool) -> bool:
        if self.state is State.EBBING:
            self.budget.widen(now - self.detector.since_ms)
        elif changed and self.state is State.STORM:
            self.budget.narrow()
        return changed

    def admits(self, now: float, tenant: str, coming: Coming) -> bool:
        """Whether the budget for repeats admits the request. A first attempt is always admitted."""
        if (
            coming is Coming.FIRST
            or self.state in (State.CALM, State.RISING)
            or (now - self.last_shortage_ms > SHORTAGE_MS)
        ):
            return True
        if self.budget.admits_repeat(now, tenant, coming is Coming.AS_TOLD):
            self.kept_promises += coming is Coming.AS_TOLD
            return True
        self.refused_repeats += 1
        self.broken_promises += coming is Coming.AS_TOLD
        return False

    def limit_factor(self, coming: Coming) -> float:
        """Returns the factor on the part of a limit that is open to a first attempt.

        A repeat at its return time gets a little more than a first attempt, and any other repeat less.
        """
        if coming is Coming.AS_TOLD:
            return RETURN_TIME_LIMIT_FACTOR
        storms = self.state in (State.STORM, State.EBBING)
        return REPEAT_LIMIT_FACTOR if storms and coming is not Coming.FIRST else 1.0

    def refused(self, now: float, code: int, coming: Coming, short: bool) -> float:
        """Records a refusal; returns the ms after which to return. An early repeat keeps its return time.

        `short`: the refusal is for lack of capacity. Refusals by storm control itself are not counted, or a
        storm would sustain itself.
        """
        if short:
            self.detector.count(now, detection.REFUSED)
            self.last_shortage_ms = now
        if coming is Coming.EARLY and code:
            due = self.schedule.promises.due(now, code)
            if due is not None and due > now:
                return due - now + 0.5 * SLOT_MS
        if self.state is State.CALM:
            return self.schedule.assign_calm(now, code)
        per_ms = self.first_attempts.per_ms * self.rules.ratio * self.budget.widened
        return self.schedule.assign(now, code, per_ms)
