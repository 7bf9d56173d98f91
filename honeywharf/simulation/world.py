"""Virtual time: one heap of what is due, one seed. The same seed gives the same steps."""

from __future__ import annotations

import heapq
import random
import zlib
from collections import deque
from collections.abc import Callable
from typing import Any

KEPT_NOTES = 400  # last lines kept to tell what happened before a rule broke
KEPT_STORY = 120  # last lines of what a reader of a broken day wants to know


class Event:
    """A call that is due."""

    __slots__ = ("args", "call")

    def __init__(self, call: Callable[..., None] | None, args: tuple[Any, ...] = ()) -> None:
        self.call, self.args = call, args

    def cancel(self) -> None:
        """Do not call; harmless when it has been called."""
        self.call = None


class World:
    """Seconds since the start, what is due, chance, and a checksum of all that was noted."""

    def __init__(self, seed: int) -> None:
        self.now, self.steps, self.digest = 0.0, 0, 0
        self.random = random.Random(seed)
        self.notes: deque[str] = deque(maxlen=KEPT_NOTES)
        self.story: deque[str] = deque(maxlen=KEPT_STORY)
        self.strict = False  # whether a program's error halts the world
        self.halted = False  # something was found: nothing more is done
        self.crashes: list[tuple[float, str, str]] = []  # programs that ended by an error: when, who, where
        self._heap: list[tuple[float, int, Event]] = []  # when, the order of asking: no two are equal
        self._count = 0

    def at(self, when: float, call: Callable[..., None], *args: Any) -> Event:
        """Call at `when`, or now where that has passed; equal times in the order of asking."""
        self._count += 1
        event = Event(call, args)
        heapq.heappush(self._heap, (when if when > self.now else self.now, self._count, event))
        return event

    def note(self, *what: object) -> None:
        """Keep a line of history, and take it into the checksum of the run."""
        line = f"{self.now:.6f} " + " ".join(map(str, what))
        self.digest = zlib.crc32(line.encode(), self.digest)
        self.notes.append(line)

    def tell(self, *what: object) -> None:
        """Note what belongs to the story of the day: starts, ends, troubles, orders."""
        self.note(*what)
        self.story.append(self.notes[-1])

    def crashed(self, who: str, trace: str) -> None:
        """A program ended by an error of its own."""
        self.crashes.append((self.now, who, trace))
        self.halted = self.halted or self.strict

    def run(self, until: float) -> None:
        """Do all that is due up to `until`, or until something halts the world."""
        heap = self._heap
        while heap and heap[0][0] <= until and not self.halted:
            when, _, event = heapq.heappop(heap)
            call, event.call = event.call, None
            if call is None:
                continue
            self.now = when
            self.steps += 1
            call(*event.args)
        if not self.halted:
            self.now = max(self.now, until)
