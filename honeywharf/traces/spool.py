"""Kept traces to a file: JSON lines, bounded in bytes, written by one thread beside the loop.

The queue to the thread is bounded too (`queue`). A file that is full becomes `NAME.1`, in place of the one
before it, so that both are within the bound together. A line is written whole or, at a kill, cut: readers
skip it.
"""

from __future__ import annotations

import os
import threading
from pathlib import Path

from honeywharf.traces.queue import Queue

BATCH_S = 0.2  # for which the thread gathers


class Spool:
    """The file and what waits for it. `put` never blocks on the disk."""

    def __init__(self, path: Path, most_bytes: int) -> None:
        self.path, self.most_bytes = path, most_bytes
        self.queue = Queue()
        self.written = self.faults = 0
        self.wake = threading.Event()
        self.closing = False
        self.thread: threading.Thread | None = None

    def start(self) -> str:
        """Begin to write; OSError where the file can't be had."""
        self._open().close()
        self.thread = threading.Thread(target=self._work, name="traces", daemon=True)
        self.thread.start()
        return f"writes traces to {self.path}"

    def put(self, line: bytes, bad: bool) -> None:
        """Take one trace, without its line end."""
        self.queue.put(line, bad)
        self.wake.set()

    def counts(self) -> dict[str, int]:
        """What was written and lost, by kind."""
        return {"written": self.written, **self.queue.lost, "faults": self.faults}

    def close(self) -> None:
        """Write what waits, for a second at most, and end the thread."""
        self.closing = True
        self.wake.set()
        if self.thread is not None:
            self.thread.join(1.0)

    def _open(self) -> _File:
        return _File(os.open(self.path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o600))

    def _work(self) -> None:
        while True:
            self.wake.wait()
            self.wake.clear()
            self.flush()
            if self.closing:
                self.flush()
                return
            threading.Event().wait(BATCH_S)

    def flush(self) -> None:
        """Write all that waits. A disk that refuses loses this batch, counted; the next is tried again."""
        lines = self.queue.take()
        if not lines:
            return
        try:
            file = self._open()
            try:
                for line, _ in lines:
                    data = line + b"\n"
                    if file.size and file.size + len(data) > self.most_bytes // 2:
                        file.close()
                        os.replace(self.path, self.path.with_name(self.path.name + ".1"))
                        file = self._open()
                    file.write(data)
            finally:
                file.close()
        except OSError:
            self.faults += 1
            self.queue.count_lost(lines)
        else:
            self.written += len(lines)


class _File:
    """An open file and its size; one line is one write, so that a kill cuts the last one at most."""

    def __init__(self, number: int) -> None:
        self.number, self.size = number, os.fstat(number).st_size

    def write(self, data: bytes) -> None:
        while data:
            done = os.write(self.number, data)
            self.size += done
            data = data[done:]

    def close(self) -> None:
        os.close(self.number)
