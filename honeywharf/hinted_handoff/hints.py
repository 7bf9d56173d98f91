"""Hints kept for machines that are missing: bounded by entries, bytes and time, for each and in all. No I/O.

Only names are kept (which entry, that the state has changed) with the bytes that they will take: the newest
state of each is handed over, so two changes of one thing cost as much as one. What finds no space is counted,
and logged once for each time that the store fills; anti-entropy repairs whatever is missing.
"""

from __future__ import annotations

TYPE_CHECKING = False  # `typing` is 1.3 MB in each process
if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

MAX_MACHINES = 32
MAX_ENTRIES_PER_MACHINE, MAX_ENTRIES = 256, 2048
MAX_BYTES_PER_MACHINE, MAX_BYTES = 64 << 10, 256 << 10
HINT_LIFETIME_S = 30.0  # who is gone for longer asks for everything anyway


class MachineHints:
    """For one machine: names with bytes, since when it is missing (s), and whether some found no space."""

    __slots__ = ("bytes", "since", "sizes", "spilled")

    def __init__(self, since: float) -> None:
        self.since, self.bytes, self.spilled = since, 0, False
        self.sizes: dict[str, int] = {}


class HintStore:
    """See the module. `log(line)` is called when it fills; times are seconds on the steady clock."""

    __slots__ = (
        "_is_full", "by_machine", "expired", "handed_over", "log", "spilled", "total_bytes", "total_entries",
    )  # fmt: skip

    def __init__(self, log: Callable[[str], None] = lambda line: None) -> None:
        self.log = log
        self.by_machine: dict[str, MachineHints] = {}
        self.total_entries = self.total_bytes = 0
        self.handed_over = 0  # names given to machines that came back
        self.spilled = 0  # names and machines that found no space
        self.expired = 0  # machines that stayed away for too long
        self._is_full = False

    def begin(self, machine: str, since: float) -> bool:
        """Keep hints for a machine from now on; False where there are too many machines."""
        if machine in self.by_machine:
            return True
        if len(self.by_machine) >= MAX_MACHINES:
            self._spill(f"no room for {machine}: {MAX_MACHINES} machines are missing")
            return False
        self.by_machine[machine] = MachineHints(since)
        return True

    def add(self, name: str, size: int, machines: Iterable[str] | None = None) -> None:
        """Something of so many bytes changed that these machines, else all missing ones, should have had."""
        for machine in list(self.by_machine if machines is None else machines):
            hints = self.by_machine.get(machine)
            if hints is not None and machine != name:
                self._put(machine, hints, name, size)

    def _put(self, machine: str, hints: MachineHints, name: str, size: int) -> None:
        old_size = hints.sizes.get(name)
        more_bytes, more_entries = size - (old_size or 0), old_size is None
        if (
            len(hints.sizes) + more_entries > MAX_ENTRIES_PER_MACHINE
            or hints.bytes + more_bytes > MAX_BYTES_PER_MACHINE
            or self.total_entries + more_entries > MAX_ENTRIES
            or self.total_bytes + more_bytes > MAX_BYTES
        ):
            hints.spilled = True
            total = f"{self.total_entries} entries, {self.total_bytes} bytes in all"
            self._spill(f"full: {total}; the digest mends {machine}")
            return
        hints.sizes[name] = size
        hints.bytes += more_bytes
        self.total_bytes += more_bytes
        self.total_entries += more_entries

    def _spill(self, reason: str) -> None:
        self.spilled += 1
        if not self._is_full:
            self._is_full = True
            self.log(f"hinted handoff: {reason}")

    def take(self, machine: str) -> list[str]:
        """A machine is back: the names that it should have had, oldest first; they are kept no more."""
        hints = self.drop(machine)
        if hints is None:
            return []
        self.handed_over += len(hints.sizes)
        return list(hints.sizes)

    def drop(self, machine: str) -> MachineHints | None:
        """Keep no more hints for a machine."""
        hints = self.by_machine.pop(machine, None)
        if hints is not None:
            self.total_entries -= len(hints.sizes)
            self.total_bytes -= hints.bytes
            self._is_full = False
        return hints

    def sweep(self, now: float) -> None:
        """Drop the hints for those who stay away."""
        expired = [
            machine for machine, hints in self.by_machine.items() if now - hints.since > HINT_LIFETIME_S
        ]
        for machine in expired:
            self.drop(machine)
            self.expired += 1

    def counters(self) -> str:
        """For a log line."""
        return (
            f"hinted handoff missing={len(self.by_machine)} entries={self.total_entries} "
            f"bytes={self.total_bytes} handed={self.handed_over} spilled={self.spilled} stale={self.expired}"
        )
