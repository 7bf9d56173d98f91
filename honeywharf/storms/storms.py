"""The parts together: what the decision module asks for each request, and what it is told."""

from __future__ import annotations

import random
from dataclasses import dataclass

from honeywharf.policy.interface import Coming
from honeywharf.storms import detector as signs
from honeywharf.storms.advice import SLOT_MS, Advice
from honeywharf.storms.budget import RATIO, Rate, RepeatBudget
from honeywharf.storms.detector import Detector, State
from honeywharf.storms.sketch import Seen, digest

PACE, MIN_PACE = 2.0, 100.0  # in a storm: times the connections that are usual a second, and at least
USEFUL = 0.4  # of an aim: who returns later is answered past it
SHORT_MS = 500.0  # after a refusal for want of room, repeats are held to their budget
PROMISED_ROOM = 1.25  # times what is open to a first try, for those that come as told: few, and promised
REPEAT_ROOM = 0.5  # part of a limit open to repeats that do not come as told: first tries go before them


@dataclass(frozen=True, slots=True)
class Rules:
    """What the operator sets. `span_ms`: how long a repeat may come after; `most`: names in that time.

    `ratio`: repeats begun for each first try while it storms. `cap_ms`: the longest time to return. `aim_ms`:
    the shortest time in which answers are wanted.
    """

    span_ms: float = 5000.0
    most: int = 20_000
    ratio: float = RATIO
    cap_ms: float = 2000.0
    aim_ms: float = 2000.0


class Storms:
    """One proxy's view of its clients. `secret` keys the sketches."""

    def __init__(self, rules: Rules, rng: random.Random, secret: bytes) -> None:
        self.rules, self.secret = rules, secret
        self.seen = Seen(rules.span_ms, rules.most)
        self.detector = Detector()
        self.budget = RepeatBudget(rules.ratio)
        self.advice = Advice(rng, rules.cap_ms, USEFUL * rules.aim_ms)
        self.short_ms = float("-inf")  # when room was last found short
        self.first = Rate(0.0)  # of first tries
        self.turned_away = self.kept_promises = self.broken_promises = 0

    @property
    def size_bytes(self) -> int:
        """Bytes of the sketches."""
        return self.seen.size_bytes + self.advice.promises.size_bytes

    @property
    def state(self) -> State:
        """How it stands."""
        return self.detector.state

    def words(self) -> str:
        """The state and why, for the operator."""
        window = self.detector.window
        return (
            f"storm: {self.state.value} ({self.detector.reason}): {window.repeats} repeats of"
            f" {window.first} first tries, {window.connections} connections, {window.refused} refused"
        )

    def pace(self) -> float:
        """Connections a second that may be accepted; 0 where there is no bound.

        Guards against keeping first tries out: nothing is paced before it is known what is usual.
        """
        usual = self.detector.window.usual_connections / (signs.SLOTS * signs.SLOT_MS / 1000.0)
        if self.state is not State.STORM or usual == float("inf"):
            return 0.0
        return max(MIN_PACE, PACE * usual)

    def connected(self, now: float, number: int) -> bool:
        """So many clients have connected; whether the state has changed."""
        return self._changed(now, self.detector.count(now, signs.CONNECTION, number))

    def arrived(self, now: float, name: bytes, tenant: str, marked: bool) -> tuple[Coming, int, bool]:
        """A request: how it comes, its digest, whether the state has changed.

        `name` tells a try's repeats: its idempotency key, or who asks for what. Without one (empty) a request
        is a repeat only where it is marked.
        """
        code = digest(name, self.secret) if name else 0
        again = self.seen.add(now, code) if name else False
        coming = Coming.FIRST
        if again or marked:
            due = self.advice.promises.due(now, code) if name else None
            coming = Coming.UNTOLD if due is None else Coming.AS_TOLD if due <= now else Coming.EARLY
        if coming is Coming.FIRST:
            changed = self.detector.count(now, signs.FIRST)
            self.budget.first(now, tenant)
            self.first.came(now)
        else:
            changed = self.detector.count(now, signs.REPEAT)
        return coming, code, self._changed(now, changed)

    def _changed(self, now: float, changed: bool) -> bool:
        if self.state is State.EBBING:
            self.budget.widen(now - self.detector.since_ms)
        elif changed and self.state is State.STORM:
            self.budget.narrow()
        return changed

    def admits(self, now: float, tenant: str, coming: Coming) -> bool:
        """Whether the request may be begun, as far as repeats go. A first try always may."""
        if (
            coming is Coming.FIRST
            or self.state in (State.CALM, State.RISING)
            or (now - self.short_ms > SHORT_MS)
        ):
            return True
        if self.budget.repeat(now, tenant, coming is Coming.AS_TOLD):
            self.kept_promises += coming is Coming.AS_TOLD
            return True
        self.turned_away += 1
        self.broken_promises += coming is Coming.AS_TOLD
        return False

    def room(self, coming: Coming) -> float:
        """The part of what is open to a first try that is open to the request.

        A promise is worth a little more than a first try, and no other repeat as much.
        """
        if coming is Coming.AS_TOLD:
            return PROMISED_ROOM
        storms = self.state in (State.STORM, State.EBBING)
        return REPEAT_ROOM if storms and coming is not Coming.FIRST else 1.0

    def refused(self, now: float, code: int, coming: Coming, short: bool) -> float:
        """A request is refused: in how many ms to return. One that came early keeps the time that it had.

        `short`: for want of room, not for this storm's sake, which must not feed itself.
        """
        if short:
            self.detector.count(now, signs.REFUSED)
            self.short_ms = now
        if coming is Coming.EARLY and code:
            due = self.advice.promises.due(now, code)
            if due is not None and due > now:
                return due - now + 0.5 * SLOT_MS
        if self.state is State.CALM:
            return self.advice.calm(now, code)
        per_ms = self.first.per_ms * self.rules.ratio * self.budget.widened
        return self.advice.tell(now, code, per_ms)
