"""Processes that the bench starts: their logs, processor time and memory."""

from __future__ import annotations

import os
import re
import subprocess
import sys
from contextlib import suppress
from pathlib import Path

from honeywharf.transport.host import Address

NANOSECONDS_PER_SECOND = 1e9
KB_PER_MB = 1024.0
_APPLIED_LINE = re.compile(r"^([0-9.]+) .*configuration r([0-9]+), evacuated")


class Spawned:
    """A process that answers calls at `address`. `arguments` are a module and its command line."""

    def __init__(
        self,
        folder: Path,
        name: str,
        address: Address,
        arguments: list[str],
        environment: dict[str, str] | None = None,
    ) -> None:
        self.name, self.address, self.arguments = name, address, arguments
        self.environment = {**os.environ, **(environment or {})}
        self.log = folder / f"{name}.log"
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Starts the process."""
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", *self.arguments],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=self.environment,
            )

    def kill(self) -> None:
        """Kills the process, if it runs."""
        if self.process is not None:
            if self.process.poll() is None:
                self.process.kill()
            self.process.wait()

    @property
    def running(self) -> bool:
        """Whether the process has been started and has not ended."""
        return self.process is not None and self.process.poll() is None

    def processor_s(self) -> float:
        """Returns the processor time in seconds since the last start."""
        if self.process is None:
            return 0.0
        threads = Path(f"/proc/{self.process.pid}/task").glob("*/schedstat")
        with suppress(OSError):
            return (
                sum(int(thread.read_text("utf-8").split()[0]) for thread in threads) / NANOSECONDS_PER_SECOND
            )
        return 0.0

    def memory_mb(self, field: str = "VmRSS") -> float:
        """Returns resident memory, or its peak (`VmHWM`), in megabytes."""
        if self.process is None:
            return 0.0
        with suppress(OSError):
            status = Path(f"/proc/{self.process.pid}/status").read_text("utf-8")
            for line in status.splitlines():
                if line.startswith(field + ":"):
                    return int(line.split()[1]) / KB_PER_MB
        return 0.0

    def applied_at(self, version: int) -> float:
        """Returns when the log reports a version or a newer one as applied (monotonic clock); 0 if never."""
        for line in self.log.read_text("utf-8", "replace").splitlines():
            matched = _APPLIED_LINE.match(line)
            if matched and int(matched[2]) >= version:
                return float(matched[1])
        return 0.0

    def report(self, max_lines: int) -> str:
        """Returns whether the process runs or how it ended, and the last lines of its log."""
        ended = None if self.process is None else self.process.poll()
        state = "running" if self.running else f"not running, exit status {ended}"
        lines = self.log.read_text("utf-8", "replace").splitlines() if self.log.exists() else []
        return "\n".join([f"{self.name}: {state}", *lines[-max_lines:]])

    def faults(self) -> int:
        """Returns the number of faults in the program's log."""
        return self.log.read_text("utf-8", "replace").count(" fault ")
