"""The gate before one backend: rejects what must not run there, before the backend has seen a byte.

Theory of operation. Every request reaches the backend through this process, so the gate knows its state
directly. Each start of the backend has an id of its own (`instance`), which heartbeats and health answers
carry. States:

    UNKNOWN   no message from it since this process started, or it did not take a connection
    READY     it takes requests
    DRAINING  it shuts down: no further request from the moment at which its heartbeat is acknowledged
    ENDED     it has deregistered

An instance that has ended never returns: late heartbeats of it change nothing. Departures outlive this
process at others, as its memory does not (`sidecar.departures`): they tell what a backend said before it
departed from what it said later. What a restarted process hears first may be wrong, whoever says it: where
the first heartbeat and a health answer (503) contradict each other, whichever comes first, the backend is
ready from the next heartbeat or good health answer on. An instance that was displaced by a heartbeat of an
unknown one, which may have been a late one, returns when a health answer names it.

While the backend warms up, or may do so, slow start bounds its requests (`admission.warmup`).

Source: RULES (DRAIN, ROUTE, EVAC, FAILBACK), PROTOCOL ("Backends", "Which backends there are"). Times are
in seconds on the steady clock.
"""

from __future__ import annotations

from honeywharf.admission.admission_queue import Admission
from honeywharf.admission.cold_start import ColdBound
from honeywharf.admission.departures import (
    ATTRIBUTE,
    DEREGISTERED,
    MAX_SEQUENCE,
    backend_key,
    merge_departures,
    pack_departures,
    unpack_departures,
)
from honeywharf.admission.warmup import Warmup
from honeywharf.verdict import (
    DRAINING as IS_DRAINING,
    EVACUATED,
    NO_BACKEND,
    NOT_READY,
    OTHER_SERVICE,
    SLOW_START,
)

TYPE_CHECKING = False
if TYPE_CHECKING:
    from honeywharf.admission.departures import Departures

UNKNOWN, READY, DRAINING, ENDED = range(4)
STATES = ("unknown", "ready", "draining", "ended")
MAX_ENDED_INSTANCES = 64  # ids of ended instances that are remembered
HEALTH_CHECK_S = 0.2  # in which a health check is likely to tell whether the backend is cold
INITIAL_SLOTS = 4  # in force before the backend announces its own number


class Gate:
    """The state of the backend on this machine. `changes` counts the changes that other nodes should know."""

    def __init__(self, now: float, service: str, cold_overage: float, cold_slack: float) -> None:
        self.service, self.cold_overage, self.cold_slack = service, cold_overage, cold_slack
        self.state = UNKNOWN
        self.instance = ""
        self.sequence = -1
        self.ended_instances: dict[str, None] = {}  # oldest first
        self.displaced: dict[str, int] = {}  # last sequence of those ended only by another one's heartbeat
        self.departures: Departures = {}  # oldest first
        self.departure_changes = 0
        self.is_denied = False  # the last health answer of the present instance was bad
        self.is_unconfirmed = False  # the present instance is ready by one heartbeat, and nothing else
        self.admission = Admission(INITIAL_SLOTS)
        self.cold = ColdBound(
            now, float("inf") if cold_slack == float("inf") else 0.0, cold_overage, cold_slack, fresh=True
        )
        self.warmup = Warmup()
        self.evacuated = False
        self.last_report_at = 0.0  # when the last heartbeat or health answer came; 0 before the first
        self.changes = 0

    # Changes of state.

    def heartbeat(
        self,
        now: float,
        instance: str,
        sequence: int,
        draining: bool,
        slots: int,
        cold_s: float,
    ) -> bool:
        """Takes a heartbeat; False where it is out of order or of an ended instance, and changes nothing."""
        departed_at = self.departures.get(backend_key(instance), -1)
        if (
            instance in self.ended_instances
            or (instance == self.instance and sequence <= self.sequence)
            or (sequence <= departed_at and not draining)
        ):
            return False
        self._set_instance(now, instance)
        is_first = self.sequence < 0
        is_contradiction = self.is_denied and self.state == UNKNOWN and is_first and not draining
        self.sequence, self.last_report_at = sequence, now
        if slots > 0:
            self.admission.slots = slots
        self.warmup.heartbeat(now, cold_s)
        if is_contradiction:
            return True
        if draining and self.state != DRAINING:
            self._add_departures({backend_key(instance): min(sequence, MAX_SEQUENCE)})
        self.is_unconfirmed = is_first and self.state == UNKNOWN
        self._set_state(DRAINING if draining else READY)
        return True

    def health_answer(
        self,
        now: float,
        instance: str,
        is_healthy: bool,
        slots: int,
        cold_s: float | None,
        sent_at: float,
    ) -> None:
        """Takes the answer to a health check that began at `sent_at`.

        A heartbeat's draining state stays in force.
        """
        if not instance or (instance in self.ended_instances and not self._takes_back(instance)):
            return
        self._set_instance(now, instance)
        self.last_report_at, self.is_denied = now, not is_healthy
        if slots > 0:
            self.admission.slots = slots
        self.warmup.health_answer(now, cold_s or 0.0, sent_at)
        if self.state == UNKNOWN and is_healthy:
            self._set_state(READY)
        elif self.state == READY and self.is_unconfirmed and not is_healthy:
            self._set_state(UNKNOWN)
        self.is_unconfirmed = False
        self._apply_departures()

    def _takes_back(self, instance: str) -> bool:
        """Whether a displaced instance is the one at the address after all, and makes it return.

        The displaced one was a live instance, so the one that displaced it was announced by a late heartbeat.
        """
        if self.state != UNKNOWN or instance not in self.displaced:
            return False
        late, sequence = self.instance, self.displaced.pop(instance)
        del self.ended_instances[instance]
        self._mark_ended(late)
        self.instance, self.sequence, self.is_denied = instance, sequence, False
        self.changes += 1
        return True

    def note_departures(self, packed: object) -> None:
        """Takes departures that other processes remember, from before this process started."""
        self._add_departures(unpack_departures(packed))
        self._apply_departures()

    def _add_departures(self, departures: Departures) -> None:
        self.departure_changes += merge_departures(self.departures, departures)

    def _apply_departures(self) -> None:
        """Closes the gate if the present instance has departed by its last statement."""
        departed_at = self.departures.get(backend_key(self.instance), -1)
        if not self.instance or departed_at < self.sequence or departed_at < 0:
            return
        if departed_at == DEREGISTERED:
            self._mark_ended(self.instance)
            self._set_state(ENDED)
        elif self.state != ENDED:
            self._set_state(DRAINING)

    def deregister(self, instance: str) -> None:
        """Notes that an instance has ended."""
        self.displaced.pop(instance, None)
        self._add_departures({backend_key(instance): DEREGISTERED})
        self._mark_ended(instance)
        if instance == self.instance:
            self._set_state(ENDED)

    def backend_missing(self) -> None:
        """Notes that no backend, or another one than expected, was found: which one is there is not known."""
        if self.state != UNKNOWN:
            self.warmup.instance_missing()
        if self.state == READY:
            self._set_state(UNKNOWN)

    def set_evacuated(self, now: float, on: bool) -> None:
        """Notes that the zone is evacuated, or that its evacuation has ended."""
        if self.evacuated and not on:
            self.warmup.evacuation_ended(now)
        if self.evacuated != on:
            self.evacuated = on
            self.changes += 1

    def set_slow_start(self, per_s: float) -> None:
        """Sets slow start as configured: requests a second to a cold backend."""
        self.cold.set_bound(min(per_s, 1e9), self.cold_overage, self.cold_slack)

    def _set_instance(self, now: float, instance: str) -> None:
        if instance == self.instance:
            return
        if self.instance:
            if self.state in (READY, UNKNOWN):
                self.displaced[self.instance] = self.sequence
            self._mark_ended(self.instance)
        self.is_denied = self.is_unconfirmed = False
        self.instance, self.sequence = instance, -1
        self.warmup.instance_changed()
        self.state = UNKNOWN
        self.changes += 1

    def _mark_ended(self, instance: str) -> None:
        self.ended_instances[instance] = None
        while len(self.ended_instances) > MAX_ENDED_INSTANCES:
            oldest = next(iter(self.ended_instances))
            del self.ended_instances[oldest]
            self.displaced.pop(oldest, None)

    def _set_state(self, state: int) -> None:
        if state != self.state:
            self.state = state
            self.changes += 1

    # Admission.

    def rejection(self, now: float, service: str, expected: str = "") -> tuple[int, float] | None:
        """Returns why a request must not run here now, and after how many seconds a retry may succeed.

        Returns None where the request may run.
        """
        if service != self.service:
            return OTHER_SERVICE, 0.0
        if self.state == DRAINING or self.state == ENDED:
            return IS_DRAINING, 0.0
        if self.state == UNKNOWN or not self.instance:
            return (NO_BACKEND if self.last_report_at else NOT_READY), 0.0
        if self.evacuated:
            return EVACUATED, 0.0
        if self.warmup.is_warming_up(now):
            wait = self.cold.wait_s(now)
            if self.warmup.is_unknown:
                wait = min(wait, HEALTH_CHECK_S)
            if wait > 0:
                return SLOW_START, wait
        return None

    def request_sent(self, now: float) -> None:
        """Counts a request sent to the backend, for slow start."""
        self.cold.record(now)

    def load(self) -> tuple[int, int, int]:
        """Returns the requests running and queued, and the slots."""
        admission = self.admission
        return admission.running, admission.waiting, admission.slots

    def gossip_attributes(self) -> dict[str, object]:
        """Returns the backend's state as gossip sends it to other nodes."""
        attributes: dict[str, object] = {
            "s": self.service,
            "b": self.instance,
            "st": self.state,
            "sl": self.admission.slots,
        }
        if self.departures:
            attributes[ATTRIBUTE] = pack_departures(self.departures)
        return attributes
