"""What waits to be exported: bounded in number and bytes, the ordinary going first. Without I/O.

Exporters take lines, one trace of this hop each, and never make a request wait: `put` costs no more than a
place in a deque. Where an exporter is slow or away, the oldest ordinary lines go first, as they are a sample,
then the oldest bad ones; what went is counted by kind. One lock guards it, as exporters empty it from a
thread of their own.
"""

from __future__ import annotations

import threading
from collections import deque

MAX_QUEUED = 4000  # lines
MAX_QUEUED_BYTES = 8 * 1024 * 1024

Line = tuple[bytes, bool]  # one trace as JSON, and whether it is bad


class Queue:
    """Lines of two kinds, the oldest of each first."""

    def __init__(self, most: int = MAX_QUEUED, most_bytes: int = MAX_QUEUED_BYTES) -> None:
        self.most, self.most_bytes = most, most_bytes
        self.bad: deque[bytes] = deque()
        self.ordinary: deque[bytes] = deque()
        self.bytes = 0
        self.lost = {"lost bad": 0, "lost ordinary": 0}
        self.lock = threading.Lock()

    def __len__(self) -> int:
        """How many wait."""
        return len(self.bad) + len(self.ordinary)

    def put(self, line: bytes, bad: bool) -> None:
        """Take one; make room for it where there is none."""
        with self.lock:
            (self.bad if bad else self.ordinary).append(line)
            self.bytes += len(line)
            self._bound()

    def take(self, most: int | None = None) -> list[Line]:
        """Take out so many, the bad ones first; all where no number is given."""
        with self.lock:
            found: list[Line] = []
            for group, bad in ((self.bad, True), (self.ordinary, False)):
                while group and (most is None or len(found) < most):
                    line = group.popleft()
                    self.bytes -= len(line)
                    found.append((line, bad))
            return found

    def back(self, lines: list[Line]) -> None:
        """Put in front again what could not be exported; the bound holds for them too."""
        with self.lock:
            for line, bad in reversed(lines):
                (self.bad if bad else self.ordinary).appendleft(line)
                self.bytes += len(line)
            self._bound()

    def lose(self, lines: list[Line]) -> None:
        """Count what nobody will get."""
        with self.lock:
            for _, bad in lines:
                self.lost["lost bad" if bad else "lost ordinary"] += 1

    def _bound(self) -> None:
        while len(self) > self.most or self.bytes > self.most_bytes:
            group, name = (self.ordinary, "lost ordinary") if self.ordinary else (self.bad, "lost bad")
            self.bytes -= len(group.popleft())
            self.lost[name] += 1
