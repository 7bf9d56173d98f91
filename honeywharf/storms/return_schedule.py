"""Schedules the times at which refused clients return, spread by how many repeats can be admitted."""

from __future__ import annotations

import random

from honeywharf.storms.sketch import Promises

SLOT_MS = 100.0
MIN_RETURN_MS = 200.0  # about the time of an answer under overload: the load has not changed before
CALM_SPREAD_MS = 400.0  # return times are drawn from this span outside storms
PROMISE_RETENTION_MS = 1500.0  # a repeat this late still counts as one at its return time


class ReturnSchedule:
    """Promised return times, counted by slot.

    `max_return_ms`: the longest return time. `capacity_horizon_ms`: up to it a slot is promised to no more
    clients than can be admitted in it. Past the horizon, where an answer would come close to the latency
    target, times are spread evenly up to the longest and are promises as well: clients that keep them are
    served before the others, however many they are.
    """

    def __init__(
        self,
        rng: random.Random,
        max_return_ms: float,
        capacity_horizon_ms: float,
        max_per_slot: int = 1024,
    ) -> None:
        if max_return_ms < MIN_RETURN_MS:
            raise ValueError(f"max_return_ms: expected at least {MIN_RETURN_MS} ms, got {max_return_ms}")
        self.random, self.max_return_ms = rng, max_return_ms
        self.capacity_horizon_ms = min(max_return_ms, max(MIN_RETURN_MS + SLOT_MS, capacity_horizon_ms))
        self.promises = Promises(SLOT_MS, max_return_ms, PROMISE_RETENTION_MS, max_per_slot)
        self.past_horizon = 0  # clients that got a time past the horizon, as no slot before it was free

    def assign(self, now: float, name: int, repeats_per_ms: float) -> float:
        """Returns the ms after which to return; `repeats_per_ms`: repeats that can be admitted per ms.

        The time is drawn evenly from the first slot with room, or, where no slot before the horizon has
        room, evenly between the horizon and the longest return time.
        """
        p, room = self.promises, max(1.0, repeats_per_ms * SLOT_MS)
        soonest, last = now + MIN_RETURN_MS, now + self.capacity_horizon_ms
        due = soonest + self.random.random() * SLOT_MS
        while due <= last and p.promised(now, due) >= room:
            due += SLOT_MS
        if due > last:
            self.past_horizon += 1
            due = now + self.random.uniform(self.capacity_horizon_ms, self.max_return_ms)
        p.promise(now, name, due)
        return due - now

    def assign_calm(self, now: float, name: int) -> float:
        """Returns the ms after which to return outside storms: a short time with jitter."""
        due = (
            now
            + MIN_RETURN_MS
            + self.random.random() * min(CALM_SPREAD_MS, self.max_return_ms - MIN_RETURN_MS)
        )
        self.promises.promise(now, name, due)
        return due - now
