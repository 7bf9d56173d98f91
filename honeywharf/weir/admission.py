"""Who runs and who waits at a backend: slots, and a short queue by priority.

Theory of operation. A backend works on `slots` requests at once; each admitted one holds a slot until its
answer is whole or it is given up. Others wait here, where they can still be refused with a proof: the lowest
`priority` number first, among those the shortest aim, then the oldest. Short aims go first because calls of
other services' requests have them, and a request fails with its calls; where there is not enough for all, short
ones also cost least of it. Nobody waits past their own limit: `expired`
gives those who have, and the sooner of `due` is when to look again. A request that would wait longer than it
may, by what requests have taken here of late, is not queued at all.
"""

from __future__ import annotations

from heapq import heappop, heappush

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable

QUEUE_SLOTS = 4  # waiting for each slot, at most
MEAN_OVER = 16  # requests over which the mean time is formed
FIRST_MEAN_S = 0.1
SPARE = 32  # of those who have left, kept until they are sorted out


class Waiter:
    """One that waits. `go` is called when its turn comes; `until`: the time at which it waits no more."""

    __slots__ = ("go", "live", "refuse", "until")

    def __init__(self, go: Callable[[], None], refuse: Callable[[], None], until: float) -> None:
        self.go, self.refuse, self.until, self.live = go, refuse, until, True


class Admission:
    """Slots of one backend. `slots` as its beats say."""

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.running = 0
        self.mean_s = FIRST_MEAN_S
        self.queue: list[tuple[tuple[int, float], int, Waiter]] = []
        self.waiting = 0
        self.serial = 0

    def free(self) -> bool:
        """Whether one more may run at once: a slot is free and nobody waits."""
        return self.running < self.slots and not self.waiting

    def expected_s(self, rank: tuple[int, float]) -> float:
        """How long one of that rank (priority, aim in seconds) would wait, by the mean."""
        ahead = sum(1 for r, _, w in self.queue if w.live and r <= rank)
        return (ahead + 1) * self.mean_s / max(1, self.slots)

    def start(self) -> None:
        """One runs."""
        self.running += 1

    def wait(self, now: float, rank: tuple[int, float], patience_s: float, go: Callable[[], None],
             refuse: Callable[[], None]) -> Waiter | None:
        """Queue one; None where the queue is full or the wait would be too long."""
        if self.waiting >= QUEUE_SLOTS * self.slots or self.expected_s(rank) > patience_s:
            return None
        waiter = Waiter(go, refuse, now + patience_s)
        self.serial += 1
        heappush(self.queue, (rank, self.serial, waiter))
        self.waiting += 1
        return waiter

    def leave(self, waiter: Waiter) -> None:
        """It waits no more."""
        if waiter.live:
            waiter.live = False
            self.waiting -= 1
            if len(self.queue) > 2 * self.waiting + SPARE:
                self.queue = [entry for entry in self.queue if entry[2].live]
                self.queue.sort()

    def ended(self, took_s: float | None) -> None:
        """One runs no more; `took_s`: its time, where it tells of the backend's pace."""
        self.running -= 1
        if took_s is not None:
            self.mean_s += (took_s - self.mean_s) / MEAN_OVER

    def next(self, now: float) -> Waiter | None:
        """The next to run, if a slot is free. It is not started yet."""
        while self.queue and self.running < self.slots:
            waiter = heappop(self.queue)[2]
            if waiter.live:
                self.leave(waiter)
                if waiter.until > now:
                    return waiter
                waiter.refuse()
        return None

    def expired(self, now: float) -> list[Waiter]:
        """Those who have waited as long as they may; they are out."""
        late = [w for _, _, w in self.queue if w.live and w.until <= now]
        for waiter in late:
            self.leave(waiter)
        if late:
            self.queue = [entry for entry in self.queue if entry[2].live]
            self.queue.sort()
        return late

    def due(self) -> float | None:
        """When the first of those who wait has waited as long as it may."""
        return min((w.until for _, _, w in self.queue if w.live), default=None)
