"""The event queue of a simulation in virtual time. The same seed gives the same steps."""

from __future__ import annotations

import heapq
import random
import zlib
from collections import deque
from collections.abc import Callable
from typing import Any

MAX_TRACE_LINES = 400  # The last lines, which tell what happened before a rule was broken.
MAX_EVENT_LINES = 120  # The last main events, for the reader of a run that broke a rule.


class Event:
    """A scheduled call."""

    __slots__ = ("args", "call")

    def __init__(self, call: Callable[..., None] | None, args: tuple[Any, ...] = ()) -> None:
        self.call, self.args = call, args

    def cancel(self) -> None:
        """Cancels the call; has no effect after it was made."""
        self.call = None


class World:
    """The virtual time in seconds, the scheduled calls, the random generator and the trace."""

    def __init__(self, seed: int) -> None:
        self.now, self.steps, self.digest = 0.0, 0, 0
        self.random = random.Random(seed)
        self.trace_lines: deque[str] = deque(maxlen=MAX_TRACE_LINES)
        self.event_lines: deque[str] = deque(maxlen=MAX_EVENT_LINES)
        self.strict = False  # Whether an exception of a program halts the simulation.
        self.halted = False  # Whether the simulation has stopped at a violation or an exception.
        self.crashes: list[tuple[float, str, str]] = []  # Exceptions of programs: (time, process, traceback).
        self._heap: list[
            tuple[float, int, Event]
        ] = []  # (time, sequence number, event); the number makes entries distinct.
        self._count = 0

    def at(self, when: float, call: Callable[..., None], *args: Any) -> Event:
        """Schedules a call at `when`, at the earliest now; equal times run in the order of scheduling."""
        self._count += 1
        event = Event(call, args)
        heapq.heappush(self._heap, (when if when > self.now else self.now, self._count, event))
        return event

    def record(self, *what: object) -> None:
        """Appends a line to the trace and to its checksum."""
        line = f"{self.now:.6f} " + " ".join(map(str, what))
        self.digest = zlib.crc32(line.encode(), self.digest)
        self.trace_lines.append(line)

    def record_event(self, *what: object) -> None:
        """Records one of the main events of a run: starts, ends, faults and orders."""
        self.record(*what)
        self.event_lines.append(self.trace_lines[-1])

    def record_crash(self, process: str, trace: str) -> None:
        """Records an exception that ended a program."""
        self.crashes.append((self.now, process, trace))
        self.halted = self.halted or self.strict

    def run(self, until: float) -> None:
        """Runs all calls due up to `until`, or until the simulation is halted."""
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
