"""The queue of an exporter, limited in lines and bytes. Without I/O.

A line is one trace of this hop. `put` never waits, so no request is delayed. If an exporter is slow or fails,
the oldest ordinary lines are dropped first, as they are a sample, then the oldest bad ones; both are counted.
A lock guards the queue, as an exporter empties it from a thread of its own.
"""

from __future__ import annotations

import threading
from collections import deque

MAX_QUEUED_LINES = 4000
MAX_QUEUED_BYTES = 8 * 1024 * 1024

Line = tuple[bytes, bool]  # One trace as JSON, and whether it is bad.


class Queue:
    """A queue of bad and of ordinary lines, each from the oldest on."""

    def __init__(self, max_lines: int = MAX_QUEUED_LINES, max_bytes: int = MAX_QUEUED_BYTES) -> None:
        self.max_lines, self.max_bytes = max_lines, max_bytes
        self.bad: deque[bytes] = deque()
        self.ordinary: deque[bytes] = deque()
        self.bytes = 0
        self.lost = {"lost bad": 0, "lost ordinary": 0}
        self.lock = threading.Lock()

    def __len__(self) -> int:
        """Returns the number of queued lines."""
        return len(self.bad) + len(self.ordinary)

    def put(self, line: bytes, bad: bool) -> None:
        """Adds a line, and drops others beyond the limits."""
        with self.lock:
            (self.bad if bad else self.ordinary).append(line)
            self.bytes += len(line)
            self._enforce_limits()

    def take(self, max_lines: int | None = None) -> list[Line]:
        """Removes and returns up to `max_lines` lines, or all if it is None; bad ones come first."""
        with self.lock:
            found: list[Line] = []
            for group, bad in ((self.bad, True), (self.ordinary, False)):
                while group and (max_lines is None or len(found) < max_lines):
                    line = group.popleft()
                    self.bytes -= len(line)
                    found.append((line, bad))
            return found

    def put_back(self, lines: list[Line]) -> None:
        """Puts lines that could not be exported back at the head of the queue, within the limits."""
        with self.lock:
            for line, bad in reversed(lines):
                (self.bad if bad else self.ordinary).appendleft(line)
                self.bytes += len(line)
            self._enforce_limits()

    def count_lost(self, lines: list[Line]) -> None:
        """Counts lines that were taken and will not be exported."""
        with self.lock:
            for _, bad in lines:
                self.lost["lost bad" if bad else "lost ordinary"] += 1

    def _enforce_limits(self) -> None:
        while len(self) > self.max_lines or self.bytes > self.max_bytes:
            group, name = (self.ordinary, "lost ordinary") if self.ordinary else (self.bad, "lost bad")
            self.bytes -= len(group.popleft())
            self.lost[name] += 1
