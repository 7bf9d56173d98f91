"""A simulated disk, which may lose, keep or tear unsynced data at a power loss."""

from __future__ import annotations

import random

# The probability that a power loss removes a new file whose directory was not synced.
NAME_LOSS_PROBABILITY = 0.5


class Operation:
    """One write, rename or removal, begun at `start` and durable from `done` on (seconds)."""

    __slots__ = ("data", "done", "kind", "name", "start", "to")

    def __init__(self, kind: str, name: str, data: bytes, to: str, start: float, done: float) -> None:
        self.kind, self.name, self.data, self.to, self.start, self.done = kind, name, data, to, start, done


def apply(files: dict[str, bytes], operation: Operation) -> None:
    """Applies one operation completely."""
    if operation.kind == "write":
        files[operation.name] = operation.data
    elif operation.kind == "remove":
        files.pop(operation.name, None)
    elif operation.kind == "rename" and operation.name in files:
        files[operation.to] = files.pop(operation.name)


def apply_partly(files: dict[str, bytes], operation: Operation, rng: random.Random) -> None:
    """Applies a prefix of a write; the rest stays old or is missing. Renames and removals are atomic."""
    if operation.kind != "write":
        return
    length = rng.randint(0, len(operation.data))
    rest = files.get(operation.name, b"")[length:] if rng.random() < 0.5 else b""
    files[operation.name] = operation.data[:length] + rest


class Disk:
    """The files as a process sees them, the durable files, and the operations in flight."""

    def __init__(self, sync: float = 0.005, per_byte: float = 1 / 60e6, spread: float = 0.0) -> None:
        self.sync, self.per_byte = sync, per_byte  # The time of a sync and of each byte, in seconds.
        self.spread = spread  # A sync takes 1 to 1 + `spread` times as long.
        self.files: dict[str, bytes] = {}
        self.durable: dict[str, bytes] = {}
        self.pending: list[Operation] = []
        self.stalled_until = 0.0  # No operation begins before this time.
        self.slowdown = 1.0  # The factor by which all operations take longer.
        self.full = False  # Whether writes fail with ENOSPC.
        # The time of the next sync of the directory, for each new file.
        self.names_durable_at: dict[str, float] = {}
        self.operations = 0  # The number of operations so far, to crash at one of them.
        self.crash_at: tuple[int, str] | None = None  # The operation and "before", "torn" or "after".

    def run(self, kind: str, name: str, now: float, data: bytes = b"", to: str = "") -> float:
        """Begins an operation at `now` and returns its end. A removal is durable only after a later sync."""
        folder = kind in ("rename", "sync")  # These operations sync the directory.
        slow = 1.0 + self.spread * (hash((self.operations, round(now * 1e6))) % 997) / 997
        begun = max(now, self.stalled_until)
        elapsed_s = (
            0.0 if kind == "remove" else (self.sync * slow + len(data) * self.per_byte) * self.slowdown
        )
        done_at = begun + elapsed_s
        operation = Operation(kind, name, data, to, now, float("inf") if kind == "remove" else done_at)
        # A rename syncs the directory; a write syncs the file and its own name.
        for earlier in self.pending:
            synced = earlier.kind != "write" if folder else name in (earlier.name, earlier.to)
            if synced and kind != "remove":
                earlier.done = min(earlier.done, done_at)
        self._track_name(operation, folder)
        self.pending.append(operation)
        apply(self.files, operation)
        return done_at

    def _track_name(self, operation: Operation, syncs_folder: bool) -> None:
        """Tracks a new file, and the names that a sync of the directory makes durable."""
        if operation.kind == "write" and operation.name not in self.files:
            self.names_durable_at[operation.name] = float("inf")
        if syncs_folder:
            for name, durable_at in self.names_durable_at.items():
                self.names_durable_at[name] = min(durable_at, operation.done)

    def settle(self, now: float) -> None:
        """Makes the operations that were synced by `now` durable."""
        for operation in self.pending:
            if operation.done <= now:
                apply(self.durable, operation)
        self.pending = [operation for operation in self.pending if operation.done > now]

    def crash(self, now: float, power: bool, rng: random.Random) -> None:
        """Ends the operations at `now`; at a power loss, pending ones are kept, lost or torn."""
        self.settle(now)
        self.files = dict(self.durable)
        loses_all = power and rng.random() < 0.25  # Some power losses drop all pending operations.
        surviving = []
        for operation in self.pending:
            if operation.start > now or loses_all:
                continue
            draw = rng.random()
            if not power and operation.done == float("inf"):
                draw = 0.0  # A finished removal is lost only by a power loss.
            if draw < 0.4:
                apply(self.files, operation)
                operation.done = float("inf")
                surviving.append(operation)
            elif draw < 0.7:
                apply_partly(self.files, operation, rng)
                operation.data, operation.done = self.files.get(operation.name, b""), float("inf")
                surviving += [operation] * (operation.kind == "write")
        self.pending = [] if power else surviving
        if power:
            self._lose_names(now, rng)
            self.durable = dict(self.files)

    def _lose_names(self, now: float, rng: random.Random) -> None:
        """Keeps or loses each file whose name was not synced, independently of the others."""
        for name, durable_at in self.names_durable_at.items():
            if durable_at > now and rng.random() < NAME_LOSS_PROBABILITY:
                self.files.pop(name, None)
        self.names_durable_at.clear()

    def wipe(self) -> None:
        """Replaces the disk by an empty one."""
        self.files, self.durable, self.pending, self.names_durable_at = {}, {}, [], {}
