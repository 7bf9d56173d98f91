"""When the refused are told to come back: spread over the time that the backlog needs, and kept to."""

from __future__ import annotations

import random

from honeywharf.storms.sketch import Promises

SLOT_MS = 100.0
MIN_MS = 200.0  # sooner nothing has changed: an answer takes about that long in a jam
SPREAD_MS = 400.0  # over which they are told to return while nothing storms
KEPT_MS = 1500.0  # after its time a promise is still known to have been kept


class Advice:
    """A calendar of promises.

    `cap_ms`: the longest time that may be told. `useful_ms`: up to which a slot is promised to no more than
    it can take. Beyond it, where an answer would be near its aim, times are spread evenly up to the cap and
    every one is a promise: those that come as told go before the others, however many they are.
    """

    def __init__(
        self,
        rng: random.Random,
        cap_ms: float,
        useful_ms: float,
        most_of_slot: int = 1024,
    ) -> None:
        if cap_ms < MIN_MS:
            raise ValueError(f"advice: wanted a longest time of {MIN_MS} ms at least, found {cap_ms}")
        self.random, self.cap_ms = rng, cap_ms
        self.useful_ms = min(cap_ms, max(MIN_MS + SLOT_MS, useful_ms))
        self.promises = Promises(SLOT_MS, cap_ms, KEPT_MS, most_of_slot)
        self.beyond = 0  # told a time beyond, as no useful slot was free

    def tell(self, now: float, name: int, per_ms: float) -> float:
        """In how many ms to return; `per_ms`: repeats that can be begun a ms.

        The first slot that has not been promised to as many as it can take, and a time drawn evenly in it.
        Who finds none that is of use is told a time up to the longest, drawn evenly.
        """
        p, room = self.promises, max(1.0, per_ms * SLOT_MS)
        soonest, last = now + MIN_MS, now + self.useful_ms
        due = soonest + self.random.random() * SLOT_MS
        while due <= last and p.promised(now, due) >= room:
            due += SLOT_MS
        if due > last:
            self.beyond += 1
            due = now + self.random.uniform(self.useful_ms, self.cap_ms)
        p.promise(now, name, due)
        return due - now

    def calm(self, now: float, name: int) -> float:
        """In how many ms to return while nothing storms: soon, and not together."""
        due = now + MIN_MS + self.random.random() * min(SPREAD_MS, self.cap_ms - MIN_MS)
        self.promises.promise(now, name, due)
        return due - now
