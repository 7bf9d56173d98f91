"""Usual times of answers, by class: an estimate that limits, health and retries are judged against."""

from __future__ import annotations

SLOW_FROM = 1.7  # times the typical answer time: what is beyond adds to the suspicion, less takes from it
CROWD = 1.35  # base times: a typical time beyond is that of a crowd, where queues differ by chance
SLOW_IN_CROWD = 2.5  # then it takes so many typical times to add to the suspicion
TYPICAL_OVER = 30  # answers over which the typical answer time is formed
BASE_OVER = 500  # answers over which the base time, that of days at ease, follows a typical time above it


class Times:
    """By class: the typical time of an answer, and its base time, that of days at ease; ms."""

    def __init__(self) -> None:
        self.typical_ms: dict[str, float] = {}
        self.base_ms: dict[str, float] = {}
        self.heard: dict[str, int] = {}  # answers that the typical time is the mean of

    def learn(self, name: str, typical: float, elapsed_ms: float) -> None:
        """Follow a class's typical time, and its base time: down at once, up slowly."""
        heard = self.heard[name] = min(TYPICAL_OVER, self.heard.get(name, 0) + 1)
        typical += (elapsed_ms - typical) / heard
        self.typical_ms[name] = typical
        # Guards against a base of one or two short answers, which a balancer of little traffic keeps long.
        base = self.base_ms.get(name, typical)
        slowly = base + (typical - base) / BASE_OVER
        self.base_ms[name] = typical if heard < TYPICAL_OVER else min(typical, slowly)

    def pace(self, name: str, elapsed_ms: float, most: float) -> tuple[float, float]:
        """An answer's time in typical ones, `most` at most, and how much it adds to the suspicion."""
        typical = self.typical_ms.get(name, elapsed_ms)
        pace = min(elapsed_ms / max(typical, 1.0), most)
        crowded = typical > CROWD * self.base_ms.get(name, typical)
        self.learn(name, typical, elapsed_ms)
        return pace, pace - (SLOW_IN_CROWD if crowded else SLOW_FROM)

    def usual(self, name: str, elapsed_ms: float) -> bool:
        """Whether the typical time is known and an answer in `elapsed_ms` is not a late one."""
        late = elapsed_ms > SLOW_FROM * self.typical_ms.get(name, 0.0)
        return not late and self.heard.get(name, 0) >= TYPICAL_OVER

    def hurried(self, name: str, given_ms: float) -> bool:
        """Whether a call that was given so long had too little for what is usual, and so tells of no server.

        Guards against taking out sound servers of this tier for callers in a hurry, or for time used up in
        the tiers above; an error is then that of a call behind which ran out of time. Also covers retries
        sent late. Could hurt where all callers are in a hurry: servers that fail are then told from sound
        ones only by refused, broken or reset connections.
        """
        return given_ms < SLOW_FROM * self.typical_ms.get(name, 0.0)
