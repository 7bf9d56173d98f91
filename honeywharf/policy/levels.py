"""The sidecar's choice of a backend: own zone first, then every zone; evenly at random within a level.

Theory of operation. There is one `Levels` for each service. It is updated from the list (`update`, `remove`)
and by the result of each call (`record_success`, `record_failure`, `record_refusal`), and queried by `pick`.
The destination enforces the rules on draining, cold, evacuated and full backends; the knowledge of them here
only saves refused attempts, and may be stale. Times are seconds on the caller's monotonic clock; no I/O.

Ejection: after failures in a row (one refused connection, or two of any other kind) a backend is ejected for
a time that doubles up to `MAX_EJECTION_S`; then a single call probes it, and one success reinstates it. A
level whose members are all ejected or excluded is empty. So is the own zone for a request that
`MAX_OWN_ZONE_REFUSALS` of its backends have refused: traffic and backends are not spread alike over the
zones, and a full zone must not use up all attempts of a request. Source: DESIGN and SYSTEM, "The design".
"""

from __future__ import annotations

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable, Container

FAILURES_TO_EJECT = 2  # the number of consecutive failures
FIRST_EJECTION_S, MAX_EJECTION_S = 0.4, 4.0
MIN_FULL_S, MAX_FULL_S = 0.02, 0.3  # bounds on the announced wait, after which a full backend is tried again
MAX_OWN_ZONE_REFUSALS = 3  # after this many refusals in its own zone a request is sent to other zones
MAX_BACKENDS = 8192  # the bound holds for each service


class Target:
    """The state kept for one backend. `key` names its sidecar."""

    __slots__ = (
        "eject_streak",
        "ejected_until",
        "failures",
        "full_until",
        "key",
        "trial_pending",
        "usable",
        "wait_s",
        "zone",
    )

    def __init__(self, key: str, zone: str) -> None:
        self.key, self.zone = key, zone
        self.usable = True  # listed as ready, with its sidecar reachable and its zone not evacuated
        self.failures = self.eject_streak = 0
        self.ejected_until = self.full_until = self.wait_s = 0.0
        self.trial_pending = False  # the one call that shows whether the backend has recovered


class Levels:
    """The backends of one service. `draw()` returns a uniform random number in [0, 1)."""

    def __init__(self, zone: str, draw: Callable[[], float]) -> None:
        self.zone, self.draw = zone, draw
        self.targets: dict[str, Target] = {}
        self.depth = 0  # level of the last pick: 0 own zone, 1 every zone

    def update(self, key: str, zone: str, usable: bool, renewed: bool) -> None:
        """Applies one entry of the list.

        `renewed`: the backend has restarted, and gets a clean record.
        """
        target = self.targets.get(key)
        if target is None or renewed or target.zone != zone:
            if target is None and len(self.targets) >= MAX_BACKENDS:
                raise ValueError(f"backends: expected at most {MAX_BACKENDS} of one service, got more")
            target = self.targets[key] = Target(key, zone)
        target.usable = usable

    def remove(self, key: str) -> None:
        """Removes a backend that left the list."""
        self.targets.pop(key, None)

    def pick(self, now: float, excluded: Container[str] = ()) -> str | None:
        """Returns an even random choice in the first level that has a usable backend with room, not excluded.

        Returns None where there is none; a backend that was full at its last answer may still let a request
        wait (`pick_shortest_wait`).
        """
        usable, refused = [], 0
        for target in self.targets.values():
            if target.key in excluded:
                refused += target.zone == self.zone
            elif target.usable and target.full_until <= now and self._available(now, target):
                usable.append(target)
        home = [t for t in usable if t.zone == self.zone]
        away = [t for t in usable if t.zone != self.zone] if refused >= MAX_OWN_ZONE_REFUSALS else []
        level = away or home or usable
        if not level:
            return None
        self.depth = 0 if level is home else 1
        return self._picked(level[int(self.draw() * len(level))])

    def pick_shortest_wait(self, now: float, excluded: Container[str] = ()) -> str | None:
        """Returns the full but usable backend that announced the shortest wait, or None."""
        best, least = None, float("inf")
        for target in self.targets.values():
            full = target.usable and target.full_until > now and target.wait_s > 0
            if full and target.key not in excluded and self._available(now, target):
                wait = target.wait_s * (0.5 + self.draw())  # other callers got the same wait
                if wait < least:
                    best, least = target, wait
        return None if best is None else self._picked(best)

    @staticmethod
    def _available(now: float, target: Target) -> bool:
        return not target.eject_streak or (target.ejected_until <= now and not target.trial_pending)

    @staticmethod
    def _picked(target: Target) -> str:
        if target.eject_streak:
            target.trial_pending = True
        return target.key

    def record_success(self, key: str) -> None:
        """Records an answer, whatever its status."""
        target = self.targets.get(key)
        if target is not None:
            target.failures = target.eject_streak = 0
            target.trial_pending = False

    def record_failure(self, now: float, key: str, unreachable: bool = False) -> None:
        """Records an error, a time-out or a reset; `unreachable`: the connection was refused, or no link."""
        target = self.targets.get(key)
        if target is None:
            return
        target.failures += 1
        target.trial_pending = False
        if unreachable or target.eject_streak or target.failures >= FAILURES_TO_EJECT:
            duration = min(MAX_EJECTION_S, FIRST_EJECTION_S * 2 ** min(target.eject_streak, 8))
            target.eject_streak += 1
            target.ejected_until = now + duration * (0.75 + 0.5 * self.draw())

    def record_refusal(self, now: float, key: str, wait_s: float) -> None:
        """Records a refusal by the destination's sidecar: nothing ran, and it announced a wait."""
        target = self.targets.get(key)
        if target is not None:
            target.wait_s = wait_s
            target.full_until = now + min(MAX_FULL_S, max(MIN_FULL_S, wait_s))
            target.trial_pending = False

    def record_abandoned(self, key: str) -> None:
        """Records a call that ended without a result, as its client disconnected."""
        target = self.targets.get(key)
        if target is not None:
            target.trial_pending = False
