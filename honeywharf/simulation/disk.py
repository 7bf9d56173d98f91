"""A disk that may lose, keep or tear what was not synced when the power went."""

from __future__ import annotations

import random

NAME_LOST = 0.5  # chance that a new file whose folder was not synced is gone with the power


class Operation:
    """One write, rename or removal: begun at `start`, safe from `done` on (seconds)."""

    __slots__ = ("data", "done", "kind", "name", "start", "to")

    def __init__(self, kind: str, name: str, data: bytes, to: str, start: float, done: float) -> None:
        self.kind, self.name, self.data, self.to, self.start, self.done = kind, name, data, to, start, done


def apply(files: dict[str, bytes], operation: Operation) -> None:
    """Do one operation whole."""
    if operation.kind == "write":
        files[operation.name] = operation.data
    elif operation.kind == "remove":
        files.pop(operation.name, None)
    elif operation.kind == "rename" and operation.name in files:
        files[operation.to] = files.pop(operation.name)


def torn(files: dict[str, bytes], operation: Operation, rng: random.Random) -> None:
    """Do a part of a write: the beginning is new, the rest is old or missing. A name is never half there."""
    if operation.kind != "write":
        return
    part = rng.randint(0, len(operation.data))
    rest = files.get(operation.name, b"")[part:] if rng.random() < 0.5 else b""
    files[operation.name] = operation.data[:part] + rest


class Disk:
    """Files as a process sees them, what of them is safe, and what is still under way."""

    def __init__(self, sync: float = 0.005, per_byte: float = 1 / 60e6, spread: float = 0.0) -> None:
        self.sync, self.per_byte = sync, per_byte  # seconds
        self.spread = spread  # a sync takes up to so many times longer, evenly
        self.files: dict[str, bytes] = {}
        self.safe: dict[str, bytes] = {}
        self.pending: list[Operation] = []
        self.stalled_until = 0.0  # nothing is begun before
        self.slowdown = 1.0  # how much longer everything takes
        self.full = False  # takes no more bytes
        self.names_safe_at: dict[str, float] = {}  # of new files: when the folder was synced after them
        self.operations = 0  # counted since the first start, for crashes at the n-th
        self.crash_at: tuple[int, str] | None = None  # n, "before" | "torn" | "after"

    def do(self, kind: str, name: str, now: float, data: bytes = b"", to: str = "") -> float:
        """Do one operation at `now`; when it is over. A removal is safe with a later sync only."""
        folder = kind in ("rename", "sync")  # these sync the folder
        slow = 1.0 + self.spread * (hash((self.operations, round(now * 1e6))) % 997) / 997
        begun = max(now, self.stalled_until)
        takes = 0.0 if kind == "remove" else (self.sync * slow + len(data) * self.per_byte) * self.slowdown
        over = begun + takes
        operation = Operation(kind, name, data, to, now, float("inf") if kind == "remove" else over)
        for earlier in self.pending:  # a rename syncs the folder; a write syncs the file and its own name
            synced = earlier.kind != "write" if folder else name in (earlier.name, earlier.to)
            if synced and kind != "remove":
                earlier.done = min(earlier.done, over)
        self._name(operation, folder)
        self.pending.append(operation)
        apply(self.files, operation)
        return over

    def _name(self, operation: Operation, syncs_folder: bool) -> None:
        """Note a file that is new, and which names a sync of the folder makes safe."""
        if operation.kind == "write" and operation.name not in self.files:
            self.names_safe_at[operation.name] = float("inf")
        if syncs_folder:
            for name, safe_at in self.names_safe_at.items():
                self.names_safe_at[name] = min(safe_at, operation.done)

    def settle(self, now: float) -> None:
        """Move what has been synced by `now` to what is safe."""
        for operation in self.pending:
            if operation.done <= now:
                apply(self.safe, operation)
        self.pending = [operation for operation in self.pending if operation.done > now]

    def stop(self, now: float, power: bool, rng: random.Random) -> None:
        """The process died at `now`; with the power gone too, what is not safe is there, missing or torn."""
        self.settle(now)
        self.files = dict(self.safe)
        none = power and rng.random() < 0.25  # at some losses all of it is gone
        kept = []
        for operation in self.pending:
            if operation.start > now or none:
                continue
            luck = rng.random()
            if not power and operation.done == float("inf"):
                luck = 0.0  # what was over for a process stays so while there is power
            if luck < 0.4:
                apply(self.files, operation)
                operation.done = float("inf")
                kept.append(operation)
            elif luck < 0.7:
                torn(self.files, operation, rng)
                operation.data, operation.done = self.files.get(operation.name, b""), float("inf")
                kept += [operation] * (operation.kind == "write")
        self.pending = [] if power else kept
        if power:
            self._lose_names(now, rng)
            self.safe = dict(self.files)

    def _lose_names(self, now: float, rng: random.Random) -> None:
        """Each file whose name was not synced yet is kept or lost by itself."""
        for name, safe_at in self.names_safe_at.items():
            if safe_at > now and rng.random() < NAME_LOST:
                self.files.pop(name, None)
        self.names_safe_at.clear()

    def wipe(self) -> None:
        """Another disk, empty."""
        self.files, self.safe, self.pending, self.names_safe_at = {}, {}, [], {}
