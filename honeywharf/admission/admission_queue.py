"""Concurrency slots of one backend, with a short queue in order of rank.

Theory of operation. A backend works on `slots` requests at once; each admitted one holds a slot until its
answer is complete or it is given up. Others wait here, where they can still be refused with a proof that they
have not run. The lowest `priority` goes first, then the shortest latency target, then the oldest. Short
targets go first, as calls made for other services' requests have them, and a request fails with its calls;
under overload they also take the least capacity. A request is short if its target is at most
`SHORT_TARGET_PART` of the longest one seen here. `RESERVED_PART` of the slots that short requests have
recently used is reserved for them.

No request waits past its own limit: `pop_expired` returns the expired ones, and `next_expiry` is the time to
call it. An expired request that is among the next to run (the first `slots` / `SLOTS_PER_NEXT`) may wait once
more for the same time. A request whose expected wait exceeds its limit is not queued at all.
"""

from __future__ import annotations

from heapq import heappop, heappush

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable

MAX_WAITING_PER_SLOT = 4
MEAN_SAMPLES = 16  # the number of requests in the running mean of service times
INITIAL_MEAN_S = 0.1
RESERVED_PART = 0.5  # a larger part of the slots that short requests used leaves too many idle
SHORT_TARGET_PART = 0.5
SLOTS_PER_NEXT = 4  # one waiting request per this many slots counts as next to run
SHORT_SLOTS_MEAN_S = 1.0  # the time over which the slots of short requests are averaged
LONGEST_DECAY = 0.999  # the factor on the longest target at each request, as routes change
MAX_REMOVED = 32  # removed entries that may stay in the heap until it is rebuilt


class Waiter:
    """A waiting request. `start` is called when it is admitted, `refuse` when it expires."""

    __slots__ = ("expires_at", "extension_s", "queued", "refuse", "short", "start")

    def __init__(
        self,
        start: Callable[[], None],
        refuse: Callable[[], None],
        expires_at: float,
        short: bool,
        extension_s: float,
    ) -> None:
        self.start, self.refuse, self.expires_at, self.short, self.queued = (
            start,
            refuse,
            expires_at,
            short,
            True,
        )
        self.extension_s = extension_s  # the further wait if it is among the next to run


class Admission:
    """The slots of one backend, whose number its heartbeats announce, and its queue."""

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.running = self.short = 0  # all running requests, and the short ones among them
        self.short_slots = 0.0  # the mean number of slots that short requests have recently used
        self.averaged_at = 0.0
        self.longest_s = 0.0
        self.mean_s = INITIAL_MEAN_S
        self.queue: list[tuple[tuple[int, float], int, Waiter]] = []
        self.waiting = self.waiting_short = 0
        self.serial = 0

    def is_short(self, target_s: float) -> bool:
        """Whether a request with this latency target counts as short."""
        self.longest_s = max(target_s, self.longest_s * LONGEST_DECAY)
        return target_s <= SHORT_TARGET_PART * self.longest_s

    def can_start(self, now: float, short: bool) -> bool:
        """Whether one more may run at once: a slot is free for it, and no waiting request could take it."""
        self._average(now)
        return not (self.waiting_short if short else self.waiting) and self._has_slot(short)

    def _has_slot(self, short: bool) -> bool:
        if short or not self.running:
            return self.running < self.slots
        reserved = RESERVED_PART * self.short_slots
        return self.running - self.short + max(self.short, reserved) + 1 <= self.slots

    def _average(self, now: float) -> None:
        part = min(1.0, (now - self.averaged_at) / SHORT_SLOTS_MEAN_S)
        self.short_slots += (self.short - self.short_slots) * part
        self.averaged_at = now

    def expected_wait_s(self, rank: tuple[int, float]) -> float:
        """Returns the expected wait of a request of this rank (priority, latency target in seconds)."""
        ahead = sum(1 for r, _, w in self.queue if w.queued and r <= rank)
        return (ahead + 1) * self.mean_s / max(1, self.slots)

    def start(self, now: float, short: bool) -> None:
        """Takes a slot for a request that starts to run."""
        self._average(now)
        self.running += 1
        self.short += short

    def enqueue(
        self,
        now: float,
        rank: tuple[int, float],
        max_wait_s: float,
        start: Callable[[], None],
        refuse: Callable[[], None],
    ) -> Waiter | None:
        """Queues a request; returns None if the queue is full or the wait would be too long."""
        if self.waiting >= MAX_WAITING_PER_SLOT * self.slots or self.expected_wait_s(rank) > max_wait_s:
            return None
        waiter = Waiter(start, refuse, now + max_wait_s, self.is_short(rank[1]), max_wait_s)
        self.serial += 1
        heappush(self.queue, (rank, self.serial, waiter))
        self.waiting += 1
        self.waiting_short += waiter.short
        return waiter

    def remove(self, waiter: Waiter) -> None:
        """Removes a request from the queue."""
        if waiter.queued:
            waiter.queued = False
            self.waiting -= 1
            self.waiting_short -= waiter.short
            if len(self.queue) > 2 * self.waiting + MAX_REMOVED:
                self.queue = [entry for entry in self.queue if entry[2].queued]
                self.queue.sort()

    def finish(self, now: float, short: bool, service_time_s: float | None) -> None:
        """Frees a slot; `service_time_s`: the service time, if it shows the backend's speed."""
        self._average(now)
        self.running -= 1
        self.short -= short
        if service_time_s is not None:
            self.mean_s += (service_time_s - self.mean_s) / MEAN_SAMPLES

    def pop_next(self, now: float) -> Waiter | None:
        """Removes and returns the next request to run, if a slot is free for it; it is not started yet."""
        self._average(now)
        skipped: list[tuple[tuple[int, float], int, Waiter]] = []
        found = None
        while self.queue and self.running < self.slots and found is None:
            entry = heappop(self.queue)
            waiter = entry[2]
            if not waiter.queued:
                continue
            if waiter.expires_at <= now:
                self.remove(waiter)
                waiter.refuse()
            elif self._has_slot(waiter.short):
                self.remove(waiter)
                found = waiter
            else:
                skipped.append(entry)
        for entry in skipped:
            heappush(self.queue, entry)
        return found

    def pop_expired(self, now: float) -> list[Waiter]:
        """Removes and returns the requests that have waited as long as they may."""
        self.queue = sorted(entry for entry in self.queue if entry[2].queued)
        expired: list[Waiter] = []
        for place, (_, _, waiter) in enumerate(self.queue):
            if waiter.expires_at <= now:
                if place - len(expired) < max(1, self.slots // SLOTS_PER_NEXT) and waiter.extension_s > 0:
                    waiter.expires_at += waiter.extension_s
                    waiter.extension_s = 0.0
                else:
                    expired.append(waiter)
        for waiter in expired:
            self.remove(waiter)
        if expired:
            self.queue = [entry for entry in self.queue if entry[2].queued]
        return expired

    def next_expiry(self) -> float | None:
        """Returns when the next waiting request expires, or None."""
        return min((w.expires_at for _, _, w in self.queue if w.queued), default=None)
