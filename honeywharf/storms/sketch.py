"""What has been seen lately, in Bloom filters (Bloom, 1970): bounded bytes, forgetting by age.

All names go through a keyed hash (BLAKE2b, RFC 7693) under a secret of the process: who doesn't know it can
make up names, but not names that collide with another's. False positives take a first try for a repeat:
`ERRORS` of those asked, with a filter that is full.
"""

from __future__ import annotations

from collections import deque
from hashlib import blake2b

from rbloom import Bloom

ERRORS = 0.001


def digest(name: bytes, secret: bytes) -> int:
    """128 bits of a name, as the filters take them."""
    return int.from_bytes(blake2b(name, key=secret, digest_size=16).digest(), "big", signed=True)


class Seen:
    """Names seen within `span_ms`, and up to twice that. Forgets sooner where more than `most` come.

    Two filters take turns: what is added goes into the younger, what is asked for is looked for in both.
    """

    def __init__(self, span_ms: float, most: int) -> None:
        if span_ms <= 0 or most < 1:
            raise ValueError(f"seen: wanted over 0 ms and one name at least, found {span_ms} and {most}")
        self.span_ms, self.most = span_ms, most
        self.young, self.old = Bloom(most, ERRORS, int), Bloom(most, ERRORS, int)
        self.added, self.turned_ms = 0, float("-inf")
        self.early = 0  # turns for want of room

    @property
    def size_bytes(self) -> int:
        """Bytes of the filters, whatever has come."""
        return (self.young.size_in_bits + self.old.size_in_bits) // 8

    def turn(self, now: float) -> None:
        """Forget what is too old. A clock that went back forgets nothing early."""
        age = now - self.turned_ms
        if age >= self.span_ms or self.added >= self.most:
            self.early += age < self.span_ms
            self.young, self.old = self.old, self.young
            self.young.clear()
            if age >= 2.0 * self.span_ms:
                self.old.clear()
            self.added, self.turned_ms = 0, now

    def add(self, now: float, name: int) -> bool:
        """Whether it was seen; it is from now on."""
        self.turn(now)
        known = name in self.young
        if not known:
            self.young.add(name)
            self.added += 1
        return known or name in self.old


class Promises:
    """Names by the time at which they were told to return: a filter for each `slot_ms`, `horizon_ms` ahead.

    A promise is forgotten `kept_ms` after its time, when it does not matter any more that it was kept.
    """

    def __init__(self, slot_ms: float, horizon_ms: float, kept_ms: float, most: int) -> None:
        self.slot_ms, self.kept_ms = slot_ms, kept_ms
        self.behind = int(kept_ms // slot_ms) + 1
        self.slots = self.behind + int(horizon_ms // slot_ms) + 2
        self.most = most
        self.first = 0  # the number of the oldest slot
        self.filters: deque[Bloom] = deque(Bloom(most, ERRORS, int) for _ in range(self.slots))
        self.counts: deque[int] = deque([0] * self.slots)
        self.full = 0  # promises that found no room in their slot, and are not known

    @property
    def size_bytes(self) -> int:
        """Bytes of the filters."""
        return sum(one.size_in_bits for one in self.filters) // 8

    def _move(self, now: float) -> None:
        wanted = int(now // self.slot_ms) - self.behind
        if wanted - self.first >= self.slots or wanted < self.first - self.slots:  # a clock that jumped
            for one in self.filters:
                one.clear()
            self.counts = deque([0] * self.slots)
            self.first = wanted
        while self.first < wanted:
            one = self.filters.popleft()
            one.clear()
            self.filters.append(one)
            self.counts.rotate(-1)
            self.counts[-1] = 0
            self.first += 1

    def promise(self, now: float, name: int, due_ms: float) -> None:
        """The name was told to return then."""
        self._move(now)
        place = int(due_ms // self.slot_ms) - self.first
        if not 0 <= place < self.slots or self.counts[place] >= self.most:
            self.full += 1
            return
        self.filters[place].add(name)
        self.counts[place] += 1

    def due(self, now: float, name: int) -> float | None:
        """The latest begin of a slot that it was told to return in; None where no such promise is known."""
        self._move(now)
        for place in range(self.slots - 1, -1, -1):
            if self.counts[place] and name in self.filters[place]:
                return (self.first + place) * self.slot_ms
        return None

    def promised(self, now: float, due_ms: float) -> int:
        """How many were told to return in the slot of that time."""
        self._move(now)
        place = int(due_ms // self.slot_ms) - self.first
        return self.counts[place] if 0 <= place < self.slots else 0

    def outstanding(self, now: float) -> int:
        """How many were told to return from now on."""
        self._move(now)
        return sum(self.counts[place] for place in range(self.behind, self.slots))
