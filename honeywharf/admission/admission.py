"""Who runs and who waits at a backend: slots, and a short queue by rank.

Theory of operation. A backend works on `slots` requests at once; each admitted one holds a slot until its
answer is whole or it is given up. Others wait here, where they can still be refused with a proof: the lowest
`priority` first, among those the shortest aim, then the oldest. Short aims go first because the calls that
other services' requests make have them, and a request fails with its calls; where there is not enough for
all, short ones also cost least of it. A request is short where its aim is at most `SHORT` of the longest seen
here; half as many slots as short ones have held of late are not given to others.

Nobody waits past their own limit: `expired` gives those who have, and `due` is when to look again. One that
is then among the next to run (the first `slots` / `NEXT`) stays once more for as long as it has waited. A
request that would wait longer than it may, by what requests have taken here of late, is not queued at all.
"""

from __future__ import annotations

from heapq import heappop, heappush

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable

QUEUE_SLOTS = 4  # waiting for each slot, at most
MEAN_OVER = 16  # requests over which the mean time is formed
FIRST_MEAN_S = 0.1
KEPT = 0.5  # of the slots that short ones have held; all of them and their root leave too many idle
SHORT = 0.5  # of the longest aim
NEXT = 4  # slots for each one that counts as next to run
HELD_S = 1.0  # over which the slots that short ones hold are averaged
FORGET = 0.999  # of the longest aim that is kept at each request: routes change
SPARE = 32  # of those who have left, kept until they are sorted out


class Waiter:
    """One that waits. `go` is called when its turn comes; `until`: the time at which it waits no more."""

    __slots__ = ("go", "live", "more_s", "refuse", "short", "until")

    def __init__(
        self,
        go: Callable[[], None],
        refuse: Callable[[], None],
        until: float,
        short: bool,
        more_s: float,
    ) -> None:
        self.go, self.refuse, self.until, self.short, self.live = go, refuse, until, short, True
        self.more_s = more_s  # that it may stay longer, where it is among the next


class Admission:
    """Slots of one backend. `slots` as its beats say."""

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.running = self.short = 0  # of all, of short ones
        self.held = 0.0  # slots that short ones have held of late, on the mean
        self.held_at = 0.0
        self.longest_s = 0.0
        self.mean_s = FIRST_MEAN_S
        self.queue: list[tuple[tuple[int, float], int, Waiter]] = []
        self.waiting = self.waiting_short = 0
        self.serial = 0

    def is_short(self, aim_s: float) -> bool:
        """Whether a request with such an aim is among the short ones here."""
        self.longest_s = max(aim_s, self.longest_s * FORGET)
        return aim_s <= SHORT * self.longest_s

    def free(self, now: float, short: bool) -> bool:
        """Whether one more may run at once: a slot is free for it and nobody waits who could take it."""
        self._average(now)
        return not (self.waiting_short if short else self.waiting) and self._room(short)

    def _room(self, short: bool) -> bool:
        if short or not self.running:
            return self.running < self.slots
        kept = KEPT * self.held
        return self.running - self.short + max(self.short, kept) + 1 <= self.slots

    def _average(self, now: float) -> None:
        part = min(1.0, (now - self.held_at) / HELD_S)
        self.held += (self.short - self.held) * part
        self.held_at = now

    def expected_s(self, rank: tuple[int, float]) -> float:
        """How long one of that rank (priority, aim in seconds) would wait, by the mean."""
        ahead = sum(1 for r, _, w in self.queue if w.live and r <= rank)
        return (ahead + 1) * self.mean_s / max(1, self.slots)

    def start(self, now: float, short: bool) -> None:
        """One runs."""
        self._average(now)
        self.running += 1
        self.short += short

    def wait(
        self,
        now: float,
        rank: tuple[int, float],
        patience_s: float,
        go: Callable[[], None],
        refuse: Callable[[], None],
    ) -> Waiter | None:
        """Queue one; None where the queue is full or the wait would be too long."""
        if self.waiting >= QUEUE_SLOTS * self.slots or self.expected_s(rank) > patience_s:
            return None
        waiter = Waiter(go, refuse, now + patience_s, self.is_short(rank[1]), patience_s)
        self.serial += 1
        heappush(self.queue, (rank, self.serial, waiter))
        self.waiting += 1
        self.waiting_short += waiter.short
        return waiter

    def leave(self, waiter: Waiter) -> None:
        """It waits no more."""
        if waiter.live:
            waiter.live = False
            self.waiting -= 1
            self.waiting_short -= waiter.short
            if len(self.queue) > 2 * self.waiting + SPARE:
                self.queue = [entry for entry in self.queue if entry[2].live]
                self.queue.sort()

    def ended(self, now: float, short: bool, took_s: float | None) -> None:
        """One runs no more; `took_s`: its time, where it tells of the backend's pace."""
        self._average(now)
        self.running -= 1
        self.short -= short
        if took_s is not None:
            self.mean_s += (took_s - self.mean_s) / MEAN_OVER

    def next(self, now: float) -> Waiter | None:
        """The next to run, if a slot is free for it. It is not started yet."""
        self._average(now)
        passed: list[tuple[tuple[int, float], int, Waiter]] = []
        found = None
        while self.queue and self.running < self.slots and found is None:
            entry = heappop(self.queue)
            waiter = entry[2]
            if not waiter.live:
                continue
            if waiter.until <= now:
                self.leave(waiter)
                waiter.refuse()
            elif self._room(waiter.short):
                self.leave(waiter)
                found = waiter
            else:
                passed.append(entry)
        for entry in passed:
            heappush(self.queue, entry)
        return found

    def expired(self, now: float) -> list[Waiter]:
        """Those who have waited as long as they may; they are out."""
        self.queue = sorted(entry for entry in self.queue if entry[2].live)
        late: list[Waiter] = []
        for place, (_, _, waiter) in enumerate(self.queue):
            if waiter.until <= now:
                if place - len(late) < max(1, self.slots // NEXT) and waiter.more_s > 0:
                    waiter.until += waiter.more_s
                    waiter.more_s = 0.0
                else:
                    late.append(waiter)
        for waiter in late:
            self.leave(waiter)
        if late:
            self.queue = [entry for entry in self.queue if entry[2].live]
        return late

    def due(self) -> float | None:
        """When the first of those who wait has waited as long as it may."""
        return min((w.until for _, _, w in self.queue if w.live), default=None)
