"""Hints for missing machines, bounded by entries, bytes and time, per machine and in total. There is no I/O.

A hint is only the name of what has changed (an entry, the mesh state) with its size in bytes: the newest
value is handed over, so two changes of one value cost as much as one. Hints beyond the bounds are rejected
and counted, and logged once each time that the store fills; anti-entropy repairs what is missing.
"""

from __future__ import annotations

TYPE_CHECKING = False  # Importing `typing` costs 1.3 MB in each process.
if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

MAX_MACHINES = 32
MAX_ENTRIES_PER_MACHINE, MAX_ENTRIES = 256, 2048
MAX_BYTES_PER_MACHINE, MAX_BYTES = 64 << 10, 256 << 10
HINT_LIFETIME_S = 30.0  # A machine that is missing for longer requests the complete state anyway.


class MachineHints:
    """The hints for one machine: names with sizes in bytes.

    `since` is the time since which the machine is missing; `rejected` is set after a hint was rejected.
    """

    __slots__ = ("bytes", "rejected", "since", "sizes")

    def __init__(self, since: float) -> None:
        self.since, self.bytes, self.rejected = since, 0, False
        self.sizes: dict[str, int] = {}


class HintStore:
    """The hints for all missing machines. `log(line)` is called when the store fills.

    Times are seconds on the steady clock.
    """

    __slots__ = (
        "_is_full", "by_machine", "expired", "handed_over", "log", "rejected", "total_bytes", "total_entries",
    )  # fmt: skip

    def __init__(self, log: Callable[[str], None] = lambda line: None) -> None:
        self.log = log
        self.by_machine: dict[str, MachineHints] = {}
        self.total_entries = self.total_bytes = 0
        self.handed_over = 0  # The number of hints that were handed to returned machines.
        self.rejected = 0  # The number of hints and machines that were rejected because the store was full.
        self.expired = 0  # The number of machines that were missing for longer than `HINT_LIFETIME_S`.
        self._is_full = False

    def begin(self, machine: str, since: float) -> bool:
        """Starts to keep hints for a machine; returns False if there are too many machines."""
        if machine in self.by_machine:
            return True
        if len(self.by_machine) >= MAX_MACHINES:
            self._reject(f"no hints kept for {machine}: {MAX_MACHINES} machines are missing already")
            return False
        self.by_machine[machine] = MachineHints(since)
        return True

    def add(self, name: str, size: int, machines: Iterable[str] | None = None) -> None:
        """Adds a hint of `size` bytes for these machines, by default for all missing ones."""
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
            hints.rejected = True
            total = f"{self.total_entries} entries, {self.total_bytes} bytes in all"
            self._reject(f"full: {total}; anti-entropy repairs {machine}")
            return
        hints.sizes[name] = size
        hints.bytes += more_bytes
        self.total_bytes += more_bytes
        self.total_entries += more_entries

    def _reject(self, reason: str) -> None:
        self.rejected += 1
        if not self._is_full:
            self._is_full = True
            self.log(f"hinted handoff: {reason}")

    def take(self, machine: str) -> list[str]:
        """Removes the hints for a returned machine; returns their names, oldest first."""
        hints = self.drop(machine)
        if hints is None:
            return []
        self.handed_over += len(hints.sizes)
        return list(hints.sizes)

    def drop(self, machine: str) -> MachineHints | None:
        """Stops keeping hints for a machine; returns those that were kept."""
        hints = self.by_machine.pop(machine, None)
        if hints is not None:
            self.total_entries -= len(hints.sizes)
            self.total_bytes -= hints.bytes
            self._is_full = False
        return hints

    def sweep(self, now: float) -> None:
        """Drops the hints that are older than `HINT_LIFETIME_S`."""
        expired = [
            machine for machine, hints in self.by_machine.items() if now - hints.since > HINT_LIFETIME_S
        ]
        for machine in expired:
            self.drop(machine)
            self.expired += 1

    def counters(self) -> str:
        """Returns the counters for a log line."""
        return (
            f"hinted handoff missing={len(self.by_machine)} entries={self.total_entries} "
            f"bytes={self.total_bytes} handed={self.handed_over} spilled={self.rejected} stale={self.expired}"
        )
