"""Exports kept traces to a file of JSON lines, limited in bytes and written by a thread of its own.

A full file is renamed to `NAME.1` and replaces the previous one; both together are within the limit. The last
line may be truncated if the process is killed; readers skip it.
"""

from __future__ import annotations

import os
import threading
from pathlib import Path

from honeywharf.traces.queue import Queue

WRITE_INTERVAL_S = 0.2  # The thread gathers lines for this time.


class Spool:
    """Writes queued traces to a file. `put` never blocks on the disk."""

    def __init__(self, path: Path, max_bytes: int) -> None:
        self.path, self.max_bytes = path, max_bytes
        self.queue = Queue()
        self.written = self.faults = 0
        self.wake = threading.Event()
        self.closing = False
        self.thread: threading.Thread | None = None

    def start(self) -> str:
        """Starts the thread; OSError if the file can't be opened."""
        self._open().close()
        self.thread = threading.Thread(target=self._run, name="traces", daemon=True)
        self.thread.start()
        return f"writes traces to {self.path}"

    def put(self, line: bytes, bad: bool) -> None:
        """Queues one trace, without its line end."""
        self.queue.put(line, bad)
        self.wake.set()

    def counts(self) -> dict[str, int]:
        """Returns the numbers of written and lost traces and of disk faults, by kind."""
        return {"written": self.written, **self.queue.lost, "faults": self.faults}

    def close(self) -> None:
        """Writes queued traces for one second at most, and stops the thread."""
        self.closing = True
        self.wake.set()
        if self.thread is not None:
            self.thread.join(1.0)

    def _open(self) -> _File:
        return _File(os.open(self.path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o600))

    def _run(self) -> None:
        while True:
            self.wake.wait()
            self.wake.clear()
            self.flush()
            if self.closing:
                self.flush()
                return
            threading.Event().wait(WRITE_INTERVAL_S)

    def flush(self) -> None:
        """Writes all queued traces. They are lost and counted if the disk fails."""
        lines = self.queue.take()
        if not lines:
            return
        try:
            file = self._open()
            try:
                for line, _ in lines:
                    data = line + b"\n"
                    if file.size and file.size + len(data) > self.max_bytes // 2:
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
    """An open file and its size; each line is one write, so a kill truncates at most the last line."""

    def __init__(self, descriptor: int) -> None:
        self.descriptor, self.size = descriptor, os.fstat(descriptor).st_size

    def write(self, data: bytes) -> None:
        while data:
            written = os.write(self.descriptor, data)
            self.size += written
            data = data[written:]

    def close(self) -> None:
        os.close(self.descriptor)
