"""The gate before one backend: what must not run is refused here, before the backend has seen a byte.

Theory of operation. Every request reaches the backend through this process, so what is known here is known
first hand. A backend has a life (`instance`); which one is told by its beats or by a health answer. State:

    UNKNOWN   nothing has told of it since this process started, or it was not there when it was called
    READY     it takes requests
    DRAINING  it has said that it leaves: nothing more, from the moment at which that is acknowledged
    ENDED     it has deregistered

A life that has ended never comes back: late beats of it change nothing. `cold_until`: it is cold as far as is
known. `doubted`: it may have become cold without a word (evacuated and taken back, a new life, this process
new): the cold bound holds until a beat or a health answer from after that tells. Source: RULES (DRAIN, ROUTE,
EVAC, FAILBACK), PROTOCOL ("Backends", "Which backends there are"). Times are seconds, steady clock.
"""

from __future__ import annotations

from honeywharf.admission.admission_queue import Admission
from honeywharf.admission.cold_start import ColdBound
from honeywharf.verdict import COLD, DRAINING as IS_DRAINING, EVACUATED, NOBODY, OTHER_SERVICE, UNREADY

UNKNOWN, READY, DRAINING, ENDED = range(4)
STATES = ("unknown", "ready", "draining", "ended")
MAX_LIVES = 64  # ended ones that are remembered
FIRST_SLOTS = 4  # until something tells
RESTART_S = 0.3  # at least, from the end of one process of this program to the work of the next
COLD_MARGIN_S = 0.25  # beyond what is told: it was measured before it came here


class Gate:
    """What is known of the backend beside this proxy. `changed` counts what others should hear of."""

    def __init__(self, now: float, service: str, overage: float, slack: float) -> None:
        self.service, self.overage, self.slack = service, overage, slack
        self.state = UNKNOWN
        self.instance = ""
        self.sequence = -1
        self.ended: dict[str, None] = {}  # lives that are over, the oldest first
        self.admission = Admission(FIRST_SLOTS)
        self.cold = ColdBound(now, float("inf") if slack == float("inf") else 0.0, overage, slack, fresh=True)
        self.cold_start_s = float("inf")  # until a configuration tells how long backends are cold
        self.born = now
        self.cold_until = 0.0
        self.doubted = True
        self.evacuated = False
        self.taken_back = 0.0  # when the zone was taken back
        self.heard = 0.0  # when it was last heard of
        self.changes = 0

    # What is told.

    def beat(
        self,
        now: float,
        instance: str,
        sequence: int,
        draining: bool,
        slots: int,
        cold_s: float,
    ) -> bool:
        """A beat of a backend; False where it is late or of a life that is over, and changed nothing."""
        if instance in self.ended or (instance == self.instance and sequence <= self.sequence):
            return False
        self._life(now, instance)
        self.sequence, self.heard = sequence, now
        if slots > 0:
            self.admission.slots = slots
        self._told_cold(now, cold_s)
        self._become(DRAINING if draining else READY)
        return True

    def health(
        self,
        now: float,
        instance: str,
        well: bool,
        slots: int,
        cold_s: float | None,
        asked: float,
    ) -> None:
        """A health answer; `asked`: when it was asked for.

        It never undoes what a beat has said of draining.
        """
        if not instance or instance in self.ended:
            return
        self._life(now, instance)
        self.heard = now
        if slots > 0:
            self.admission.slots = slots
        if asked >= self.taken_back:
            self._told_cold(now, cold_s or 0.0)
        if self.state == UNKNOWN and well:
            self._become(READY)

    def deregister(self, instance: str) -> None:
        """It ends."""
        self._end(instance)
        if instance == self.instance:
            self._become(ENDED)

    def missing(self) -> None:
        """It was not there when it was called, or another one was: nothing is known of who is there now."""
        if self.state != UNKNOWN:
            self.doubted = True
        if self.state == READY:
            self._become(UNKNOWN)

    def evacuate(self, now: float, on: bool) -> None:
        """Its zone is emptied, or taken back."""
        if self.evacuated and not on:
            self.taken_back, self.doubted = now, True
        if self.evacuated != on:
            self.evacuated = on
            self.changes += 1

    def bound(self, per_s: float, start_s: float = 0.0) -> None:
        """The configuration's bound for cold backends: requests a second, and how long they are cold."""
        self.cold_start_s = start_s or float("inf")
        self.cold.set_bound(min(per_s, 1e9), self.overage, self.slack)

    def _life(self, now: float, instance: str) -> None:
        if instance == self.instance:
            return
        if self.instance:
            self._end(self.instance)
        self.instance, self.sequence, self.doubted = instance, -1, True
        self.state = UNKNOWN
        self.changes += 1

    def _end(self, instance: str) -> None:
        self.ended[instance] = None
        while len(self.ended) > MAX_LIVES:
            del self.ended[next(iter(self.ended))]

    def _told_cold(self, now: float, cold_s: float) -> None:
        self.doubted = False
        self.cold_until = now + cold_s + COLD_MARGIN_S if cold_s > 0 else 0.0
        if cold_s > 0 and self.cold_start_s - cold_s <= now - self.born + RESTART_S:
            self.cold.assume_unused()  # it is younger than the end of whoever ran before this process

    def _become(self, state: int) -> None:
        if state != self.state:
            self.state = state
            self.changes += 1

    # What is asked.

    def is_cold(self, now: float) -> bool:
        """Whether the cold bound holds."""
        return self.doubted or now < self.cold_until

    def refusal(self, now: float, service: str, expected: str = "") -> tuple[int, float] | None:
        """Why a request must not run here now, and when another try may do better (s); None where it may."""
        if service != self.service:
            return OTHER_SERVICE, 0.0
        if self.state == DRAINING or self.state == ENDED:
            return IS_DRAINING, 0.0
        if self.state == UNKNOWN or not self.instance:
            return (NOBODY if self.heard else UNREADY), 0.0
        if self.evacuated:
            return EVACUATED, 0.0
        if self.is_cold(now):
            wait = self.cold.wait_s(now)
            if wait > 0:
                return COLD, wait
        return None

    def sends(self, now: float) -> None:
        """A request goes to the backend now."""
        self.cold.record(now)

    def load(self) -> tuple[int, int, int]:
        """Running, waiting, slots."""
        admission = self.admission
        return admission.running, admission.waiting, admission.slots

    def say(self) -> dict[str, object]:
        """What others should know of it."""
        return {"s": self.service, "b": self.instance, "st": self.state, "sl": self.admission.slots}
