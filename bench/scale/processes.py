"""Processes that the run starts: their logs, their processor time and memory, and their end."""

from __future__ import annotations

import os
import re
import subprocess
import sys
from contextlib import suppress
from pathlib import Path

from honeywharf.transport.host import Address

NANOSECONDS = 1e9  # in a second
KB_PER_MB = 1024.0
_IN_FORCE = re.compile(r"^([0-9.]+) .*configuration r([0-9]+), evacuated")


class Spawned:
    """A process that is asked at `address`. `arguments`: a module and what it is given."""

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
        """Begin a life."""
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", *self.arguments],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=self.environment,
            )

    def kill(self) -> None:
        """End at once; harmless where it does not run."""
        if self.process is not None:
            if self.process.poll() is None:
                self.process.kill()
            self.process.wait()

    @property
    def running(self) -> bool:
        """Whether it has been started and has not ended."""
        return self.process is not None and self.process.poll() is None

    def processor_s(self) -> float:
        """Seconds of processor time that this life has used."""
        if self.process is None:
            return 0.0
        threads = Path(f"/proc/{self.process.pid}/task").glob("*/schedstat")
        with suppress(OSError):
            return sum(int(thread.read_text("utf-8").split()[0]) for thread in threads) / NANOSECONDS
        return 0.0

    def memory_mb(self, field: str = "VmRSS") -> float:
        """Resident memory, or its peak (`VmHWM`), in megabytes."""
        if self.process is None:
            return 0.0
        with suppress(OSError):
            status = Path(f"/proc/{self.process.pid}/status").read_text("utf-8")
            for line in status.splitlines():
                if line.startswith(field + ":"):
                    return int(line.split()[1]) / KB_PER_MB
        return 0.0

    def in_force(self, version: int) -> float:
        """When its log says that a version or a newer one came into force (steady clock); 0 if it has not."""
        for line in self.log.read_text("utf-8", "replace").splitlines():
            found = _IN_FORCE.match(line)
            if found and int(found[2]) >= version:
                return float(found[1])
        return 0.0

    def faults(self) -> int:
        """Faults of the program that its log tells of."""
        return self.log.read_text("utf-8", "replace").count(" fault ")
