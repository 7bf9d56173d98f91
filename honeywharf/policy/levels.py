"""The mesh's choice at the source: own zone, then every zone; even and random among the usable of a level.

Theory of operation. One `Levels` for each service. It is fed by the list (`listed`, `gone`) and by what came
back from each backend (`served`, `failed`, `refused`), and asked with `pick`. Judgement that must hold (what
drains, is cold, evacuated or full) is the destination's; what is known of it here only spares refused tries,
and may be late without breaking a rule. All times are seconds on the caller's steady clock; no I/O.

Absence: after failures in a row (one refused connection, or two of any other kind) a backend counts as absent
for a pause that doubles up to `LONGEST_S`; after it a single trial goes there, and one success brings it
back. A level whose members are all absent or passed over is empty, and so is the own zone for a request that
`FULL_HOME` of its backends have turned away: traffic and backends do not lie over the zones in the same
proportions, and a zone that is full must not spend all that one request may ask. Source: DESIGN and SYSTEM,
"The design".
"""

from __future__ import annotations

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable, Container

DEAD_AFTER = 2  # failures in a row
PAUSE_S, LONGEST_S = 0.4, 4.0  # the first absence, and the longest
FULL_S, SPARED_S = 0.02, 0.3  # a backend that was full is asked again after the wait that it told, in between
FULL_HOME = 3  # of the own zone that one request has asked in vain; then it asks every zone
MOST = 8192  # backends of one service


class Target:
    """What is known here of one backend. `key` names the proxy beside it."""

    __slots__ = (
        "absent_until",
        "failures",
        "key",
        "pauses",
        "spared_until",
        "trial",
        "usable",
        "wait_s",
        "zone",
    )

    def __init__(self, key: str, zone: str) -> None:
        self.key, self.zone = key, zone
        self.usable = True  # listed as ready, its proxy not doubted, its zone not evacuated
        self.failures = self.pauses = 0
        self.absent_until = self.spared_until = self.wait_s = 0.0
        self.trial = False  # one call is out to see whether it is back


class Levels:
    """The backends of one service. `draw()` gives an even random number in [0, 1)."""

    def __init__(self, zone: str, draw: Callable[[], float]) -> None:
        self.zone, self.draw = zone, draw
        self.targets: dict[str, Target] = {}
        self.depth = 0  # of the level of the last pick: 0 own zone, 1 every zone

    def listed(self, key: str, zone: str, usable: bool, renewed: bool) -> None:
        """Take over one entry of the list.

        `renewed`: it is another life of the backend, with a clean record.
        """
        target = self.targets.get(key)
        if target is None or renewed or target.zone != zone:
            if target is None and len(self.targets) >= MOST:
                raise ValueError(f"found more than {MOST} backends of one service, wanted at most that")
            target = self.targets[key] = Target(key, zone)
        target.usable = usable

    def gone(self, key: str) -> None:
        """It is listed no more."""
        self.targets.pop(key, None)

    def pick(self, now: float, passed: Container[str] = ()) -> str | None:
        """An even random choice in the first level that has a usable backend with room, not passed over.

        None where there is none; those that were full when last heard of may still be asked to let a request
        wait (`shortest`).
        """
        usable, asked_home = [], 0
        for target in self.targets.values():
            if target.key in passed:
                asked_home += target.zone == self.zone
            elif target.usable and target.spared_until <= now and self._there(now, target):
                usable.append(target)
        home = [t for t in usable if t.zone == self.zone]
        away = [t for t in usable if t.zone != self.zone] if asked_home >= FULL_HOME else []
        level = away or home or usable
        if not level:
            return None
        self.depth = 0 if level is home else 1
        return self._take(level[int(self.draw() * len(level))])

    def shortest(self, now: float, passed: Container[str] = ()) -> str | None:
        """The usable backend, of those that lack room, that told the shortest wait; None without one."""
        best, least = None, float("inf")
        for target in self.targets.values():
            full = target.usable and target.spared_until > now and target.wait_s > 0
            if full and target.key not in passed and self._there(now, target):
                wait = target.wait_s * (0.5 + self.draw())  # told a while ago, and to others as well
                if wait < least:
                    best, least = target, wait
        return None if best is None else self._take(best)

    @staticmethod
    def _there(now: float, target: Target) -> bool:
        return not target.pauses or (target.absent_until <= now and not target.trial)

    @staticmethod
    def _take(target: Target) -> str:
        if target.pauses:
            target.trial = True
        return target.key

    def served(self, key: str) -> None:
        """An answer came, whatever its status: it is there."""
        target = self.targets.get(key)
        if target is not None:
            target.failures = target.pauses = 0
            target.trial = False

    def failed(self, now: float, key: str, certain: bool = False) -> None:
        """A call ended in an error, a time-out or a reset; `certain`: nobody is there (refused, no link)."""
        target = self.targets.get(key)
        if target is None:
            return
        target.failures += 1
        target.trial = False
        if certain or target.pauses or target.failures >= DEAD_AFTER:
            pause = min(LONGEST_S, PAUSE_S * 2 ** min(target.pauses, 8))
            target.pauses += 1
            target.absent_until = now + pause * (0.75 + 0.5 * self.draw())

    def refused(self, now: float, key: str, wait_s: float) -> None:
        """Its gate refused, a proof that nothing has run; it is there, and told how long a wait is."""
        target = self.targets.get(key)
        if target is not None:
            target.wait_s = wait_s
            target.spared_until = now + min(SPARED_S, max(FULL_S, wait_s))
            target.trial = False

    def released(self, key: str) -> None:
        """A call there ended without telling anything (its client left)."""
        target = self.targets.get(key)
        if target is not None:
            target.trial = False
