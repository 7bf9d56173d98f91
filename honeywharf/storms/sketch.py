"""Records names in Bloom filters (Bloom, 1970) of a fixed size, and drops them by age.

All names pass a keyed hash (BLAKE2b, RFC 7693) under a secret of the process: without it, a client can make
up names, but none that collide with another client's. A false positive, which is `FALSE_POSITIVE_RATE` of the
look-ups in a full filter, counts a first attempt as a repeat.
"""

from __future__ import annotations

from collections import deque
from hashlib import blake2b

from rbloom import Bloom

FALSE_POSITIVE_RATE = 0.001


def digest(name: bytes, secret: bytes) -> int:
    """Returns 128 bits for a name, as the filters take them."""
    return int.from_bytes(blake2b(name, key=secret, digest_size=16).digest(), "big", signed=True)


class RecentNames:
    """Names seen within `span_ms`, and up to twice that. Drops them sooner if more than `max_names` come.

    Two filters rotate: names are added to the current one and looked up in both.
    """

    def __init__(self, span_ms: float, max_names: int) -> None:
        if span_ms <= 0 or max_names < 1:
            raise ValueError(
                f"span_ms, max_names: expected over 0 and at least 1, got {span_ms} and {max_names}"
            )
        self.span_ms, self.max_names = span_ms, max_names
        self.current, self.previous = (
            Bloom(max_names, FALSE_POSITIVE_RATE, int),
            Bloom(max_names, FALSE_POSITIVE_RATE, int),
        )
        self.added, self.rotated_ms = 0, float("-inf")
        self.early_rotations = 0  # rotations because the filter was full

    @property
    def size_bytes(self) -> int:
        """The size of the filters, which is fixed."""
        return (self.current.size_in_bits + self.previous.size_in_bits) // 8

    def rotate(self, now: float) -> None:
        """Drops names that are too old. A clock that went back drops nothing early."""
        age = now - self.rotated_ms
        if age >= self.span_ms or self.added >= self.max_names:
            self.early_rotations += age < self.span_ms
            self.current, self.previous = self.previous, self.current
            self.current.clear()
            if age >= 2.0 * self.span_ms:
                self.previous.clear()
            self.added, self.rotated_ms = 0, now

    def add(self, now: float, name: int) -> bool:
        """Adds a name; returns whether it had been seen."""
        self.rotate(now)
        known = name in self.current
        if not known:
            self.current.add(name)
            self.added += 1
        return known or name in self.previous


class Promises:
    """Names by their promised return time: a filter for each `slot_ms`, up to `horizon_ms` ahead.

    A promise is forgotten `kept_ms` after its time.
    """

    def __init__(self, slot_ms: float, horizon_ms: float, kept_ms: float, max_per_slot: int) -> None:
        self.slot_ms, self.kept_ms = slot_ms, kept_ms
        self.past_slots = int(kept_ms // slot_ms) + 1
        self.slot_count = self.past_slots + int(horizon_ms // slot_ms) + 2
        self.max_per_slot = max_per_slot
        self.oldest_slot = 0
        self.filters: deque[Bloom] = deque(
            Bloom(max_per_slot, FALSE_POSITIVE_RATE, int) for _ in range(self.slot_count)
        )
        self.counts: deque[int] = deque([0] * self.slot_count)
        self.unrecorded = 0  # promises left out because their slot was full or out of range

    @property
    def size_bytes(self) -> int:
        """The size of the filters."""
        return sum(one.size_in_bits for one in self.filters) // 8

    def _advance(self, now: float) -> None:
        wanted = int(now // self.slot_ms) - self.past_slots
        if (
            wanted - self.oldest_slot >= self.slot_count or wanted < self.oldest_slot - self.slot_count
        ):  # the clock jumped
            for one in self.filters:
                one.clear()
            self.counts = deque([0] * self.slot_count)
            self.oldest_slot = wanted
        while self.oldest_slot < wanted:
            one = self.filters.popleft()
            one.clear()
            self.filters.append(one)
            self.counts.rotate(-1)
            self.counts[-1] = 0
            self.oldest_slot += 1

    def promise(self, now: float, name: int, due_ms: float) -> None:
        """Records that the return time `due_ms` was announced to the name."""
        self._advance(now)
        place = int(due_ms // self.slot_ms) - self.oldest_slot
        if not 0 <= place < self.slot_count or self.counts[place] >= self.max_per_slot:
            self.unrecorded += 1
            return
        self.filters[place].add(name)
        self.counts[place] += 1

    def due(self, now: float, name: int) -> float | None:
        """Returns the start of the latest slot promised to the name, or None."""
        self._advance(now)
        for place in range(self.slot_count - 1, -1, -1):
            if self.counts[place] and name in self.filters[place]:
                return (self.oldest_slot + place) * self.slot_ms
        return None

    def promised(self, now: float, due_ms: float) -> int:
        """Returns how many names are promised the slot of `due_ms`."""
        self._advance(now)
        place = int(due_ms // self.slot_ms) - self.oldest_slot
        return self.counts[place] if 0 <= place < self.slot_count else 0

    def outstanding(self, now: float) -> int:
        """Returns how many names are promised a slot from now on."""
        self._advance(now)
        return sum(self.counts[place] for place in range(self.past_slots, self.slot_count))
