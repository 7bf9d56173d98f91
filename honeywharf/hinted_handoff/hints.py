"""What is kept for missing machines: bounded by entries, bytes and time, for each and in all. No I/O.

Only names are kept (which entry, that the word changed) with the bytes that they will take: the newest state
of each is handed over, so two changes of one thing take the room of one. What finds no room is counted and
told once for each filling, and left to the digests, which mend whatever is missing.
"""

from __future__ import annotations

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

MAX_MACHINES = 32
ENTRIES, ALL_ENTRIES = 256, 2048
BYTES, ALL_BYTES = 64 << 10, 256 << 10
KEPT = 30.0  # seconds; who is gone for longer asks for everything anyway


class Kept:
    """For one machine: names with bytes, since when it is missing, and whether some found no room."""

    __slots__ = ("bytes", "since", "spilled", "what")

    def __init__(self, since: float) -> None:
        self.since, self.bytes, self.spilled = since, 0, False
        self.what: dict[str, int] = {}


class HintStore:
    """See the module. `say(line)` is told when it fills; times are seconds on the steady clock."""

    __slots__ = ("_full", "all_bytes", "all_entries", "handed", "held", "say", "spilled", "stale")

    def __init__(self, say: Callable[[str], None] = lambda line: None) -> None:
        self.say = say
        self.held: dict[str, Kept] = {}
        self.all_entries = self.all_bytes = 0
        self.handed = 0  # names given to machines that came back
        self.spilled = 0  # names and machines that found no room
        self.stale = 0  # machines that stayed away for too long
        self._full = False

    def missing(self, machine: str, since: float) -> bool:
        """Keep for a machine from now on; False where there is no room for one more."""
        if machine in self.held:
            return True
        if len(self.held) >= MAX_MACHINES:
            self._spill(f"no room for {machine}: {MAX_MACHINES} machines are missing")
            return False
        self.held[machine] = Kept(since)
        return True

    def keep(self, what: str, size: int, machines: Iterable[str] | None = None) -> None:
        """Something changed that these machines (else all missing ones) should have had, of so many bytes."""
        for machine in list(self.held if machines is None else machines):
            kept = self.held.get(machine)
            if kept is not None and machine != what:
                self._put(machine, kept, what, size)

    def _put(self, machine: str, kept: Kept, what: str, size: int) -> None:
        old = kept.what.get(what)
        more, entry = size - (old or 0), old is None
        if (
            len(kept.what) + entry > ENTRIES
            or kept.bytes + more > BYTES
            or self.all_entries + entry > ALL_ENTRIES
            or self.all_bytes + more > ALL_BYTES
        ):
            kept.spilled = True
            self._spill(
                f"full: {self.all_entries} entries, {self.all_bytes} bytes in all; the digest mends {machine}"
            )
            return
        kept.what[what] = size
        kept.bytes += more
        self.all_bytes += more
        self.all_entries += entry

    def _spill(self, line: str) -> None:
        self.spilled += 1
        if not self._full:
            self._full = True
            self.say(f"hinted handoff: {line}")

    def returned(self, machine: str) -> list[str]:
        """A machine is heard again: what it should have had, oldest first; it is kept no more."""
        kept = self.drop(machine)
        if kept is None:
            return []
        self.handed += len(kept.what)
        return list(kept.what)

    def drop(self, machine: str) -> Kept | None:
        """Keep no more for a machine."""
        kept = self.held.pop(machine, None)
        if kept is not None:
            self.all_entries -= len(kept.what)
            self.all_bytes -= kept.bytes
            self._full = False
        return kept

    def sweep(self, now: float) -> None:
        """Drop what is kept for those who stay away."""
        for machine in [one for one, kept in self.held.items() if now - kept.since > KEPT]:
            self.drop(machine)
            self.stale += 1

    def counters(self) -> str:
        """For a log line."""
        return (
            f"hinted handoff missing={len(self.held)} entries={self.all_entries} bytes={self.all_bytes} "
            f"handed={self.handed} spilled={self.spilled} stale={self.stale}"
        )
