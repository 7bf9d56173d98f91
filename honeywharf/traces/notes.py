"""Notes between proxies that a trace is kept: trace-ids in UDP datagrams. Without I/O.

Theory of operation. A hop that keeps a trace for a reason of its own notifies its peers, as a part of the
trace that ended earlier may be pending there. A hop that keeps a trace because of a note sends none. Ids are
batched and sent a second time with the next batch, so one lost datagram does no harm. Datagrams that are
invalid or come from an address that is no peer's are counted and dropped. `notes_socket` has the socket.

    datagram    b"hwn1", then 1 to 64 trace-ids of 16 bytes
"""

from __future__ import annotations

from collections import deque

MAGIC = b"hwn1"
ID_BYTES = 16
MAX_IDS_PER_DATAGRAM = 64  # A datagram of 1,028 bytes fits the MTU of any path.
BATCH_INTERVAL_MS = 100.0
MAX_PENDING_IDS = 4096  # More ids push out the oldest, which are counted.
SENDS_PER_ID = 2
#: Reasons of this hop's own; only traces that are kept for one of these are announced.
LOCAL_REASONS = frozenset({"failed", "refused", "retried", "copied", "slow", "late attempt", "rule"})


class Notes:
    """Decides which ids are sent, and when."""

    def __init__(self) -> None:
        self.pending: deque[bytes] = deque()
        self.sent_once: list[bytes] = []  # Ids that are to be sent a second time.
        self.due_ms = float("inf")
        self.counts = {"told": 0, "untold": 0, "heard": 0, "damaged": 0, "strange": 0}

    def add(self, now: float, trace_id: str) -> None:
        """Queues the id of a trace that this hop keeps."""
        self.pending.append(bytes.fromhex(trace_id))
        if len(self.pending) > MAX_PENDING_IDS:
            self.pending.popleft()
            self.counts["untold"] += 1
        self.due_ms = min(self.due_ms, now + BATCH_INTERVAL_MS)

    def datagrams(self, now: float) -> list[bytes]:
        """Returns the datagrams to send now. `due_ms` is the next time to call, infinity if none is due."""
        if now < self.due_ms:
            return []
        first = list(self.pending)
        self.pending.clear()
        ids, self.sent_once = [*first, *self.sent_once], first
        self.counts["told"] += len(first)
        self.due_ms = now + BATCH_INTERVAL_MS if self.sent_once else float("inf")
        return [
            MAGIC + b"".join(ids[i : i + MAX_IDS_PER_DATAGRAM])
            for i in range(0, len(ids), MAX_IDS_PER_DATAGRAM)
        ]

    def received(self, datagram: bytes) -> list[str]:
        """Returns the trace-ids in a peer's datagram; an invalid datagram is counted and has none."""
        ids = datagram[len(MAGIC) :]
        if (
            not datagram.startswith(MAGIC)
            or not ids
            or len(ids) % ID_BYTES
            or len(ids) > MAX_IDS_PER_DATAGRAM * ID_BYTES
        ):
            self.counts["damaged"] += 1
            return []
        found = [ids[i : i + ID_BYTES].hex() for i in range(0, len(ids), ID_BYTES)]
        self.counts["heard"] += len(found)
        return found
