"""Late word between proxies that a trace is kept: trace-ids in UDP datagrams, batched, bounded, sent twice.

Theory of operation. A hop that keeps a trace for what it saw itself tells its peers, as some hop may hold a
part of it that ended before. A hop that keeps one for another's word tells nobody: each trouble is told of
once. Ids wait for a batch's time, then leave in as few datagrams as hold them, and once more with the next
batch: one lost datagram costs nothing. What comes from an address that is no peer's, or is no such
datagram, is counted and dropped.

    datagram    b"hwn1", then 1 to 64 trace-ids of 16 bytes

The rules are here, without I/O; `line` has the socket round them.
"""

from __future__ import annotations

from collections import deque

MAGIC = b"hwn1"
ID_BYTES = 16
MAX_IDS = 64  # of a datagram: 1,028 bytes, under what any path carries whole
BATCH_MS = 100.0
MAX_WAITING = 4096  # ids; beyond, the oldest go untold, counted
TIMES = 2  # that each id is sent
#: Reasons that a hop saw itself: only these are told of.
OWN = frozenset({"failed", "refused", "retried", "copied", "slow", "late attempt", "rule"})


class Notes:
    """Which ids leave, and when."""

    def __init__(self) -> None:
        self.waiting: deque[bytes] = deque()
        self.again: list[bytes] = []  # sent once
        self.due_ms = float("inf")
        self.counts = {"told": 0, "untold": 0, "heard": 0, "damaged": 0, "strange": 0}

    def add(self, now: float, trace_id: str) -> None:
        """This hop keeps the trace."""
        self.waiting.append(bytes.fromhex(trace_id))
        if len(self.waiting) > MAX_WAITING:
            self.waiting.popleft()
            self.counts["untold"] += 1
        self.due_ms = min(self.due_ms, now + BATCH_MS)

    def datagrams(self, now: float) -> list[bytes]:
        """What leaves now; `due_ms` says when to ask again, infinity where nothing waits."""
        if now < self.due_ms:
            return []
        first = list(self.waiting)
        self.waiting.clear()
        ids, self.again = [*first, *self.again], first
        self.counts["told"] += len(first)
        self.due_ms = now + BATCH_MS if self.again else float("inf")
        return [MAGIC + b"".join(ids[i : i + MAX_IDS]) for i in range(0, len(ids), MAX_IDS)]

    def heard(self, datagram: bytes) -> list[str]:
        """The trace-ids that a peer tells of; none where it is no such datagram."""
        ids = datagram[len(MAGIC) :]
        if not datagram.startswith(MAGIC) or not ids or len(ids) % ID_BYTES or len(ids) > MAX_IDS * ID_BYTES:
            self.counts["damaged"] += 1
            return []
        found = [ids[i : i + ID_BYTES].hex() for i in range(0, len(ids), ID_BYTES)]
        self.counts["heard"] += len(found)
        return found
