"""Rumours: spread changed entries and newer revisions of the mesh state.

Changes are batched for `BATCH_DELAY_S` and forwarded to three peers, and again to two peers after
`REPEAT_DELAY_S`, which reaches most nodes in a few hops. Anti-entropy repairs what the rumours miss. The
module performs no I/O and reads no clock.
"""

from __future__ import annotations

import msgpack  # type: ignore[import-untyped]

from honeywharf.gossip.entry import REVISION_RUMOUR, RUMOUR, key_of, pack_datagrams
from honeywharf.gossip.table import MAX_NODES, NO_FORWARD_HOPS, REPAIR_HOPS

TYPE_CHECKING = False  # Importing `typing` costs 1.3 MB in each process.
if TYPE_CHECKING:
    from honeywharf.gossip.peers import LivePeers
    from honeywharf.gossip.table import GossipTable

Datagrams = list[tuple[str, bytes]]  # Destination node and payload.

BATCH_DELAY_S = 0.02  # Rumours wait this long for one another.
REPEAT_DELAY_S = 0.15  # After this time a rumour is forwarded a second time.
FANOUT, REPEAT_FANOUT = 3, 2  # Peers that a rumour is forwarded to, the first and the second time.
MAX_CROSS_ZONE_HOPS = 2  # A rumour with fewer hops is also forwarded to other zones.
MAX_BATCH_ENTRIES = 64
NEVER = float("inf")


class EntryRumours:
    """Changed entries that this node forwards twice."""

    __slots__ = ("_peers", "_pending", "_pending_due_at", "_pending_repeats", "_repeat_due_at", "_table")

    def __init__(self, table: GossipTable, peers: LivePeers) -> None:
        self._table, self._peers = table, peers
        self._pending: dict[str, int] = {}  # Hops by node.
        self._pending_repeats: dict[str, int] = {}  # Hops by node.
        self._pending_due_at = self._repeat_due_at = 0.0
        table.on_accepted = self.accept
        table.on_dropped = self.forget

    def accept(self, now: float, node: str, hops: int) -> None:
        """Queues an accepted entry for forwarding, unless its hops mark it as final."""
        if hops < NO_FORWARD_HOPS:
            if not self._pending:
                self._pending_due_at = now + BATCH_DELAY_S
            self._pending[node] = hops

    def forget(self, node: str) -> None:
        """Removes a dropped node's entry from the queues."""
        self._pending.pop(node, None)
        self._pending_repeats.pop(node, None)

    def flush_now(self, now: float) -> None:
        """Makes the pending entries due now."""
        self._pending_due_at = now

    def next(self) -> float:
        """Returns the time at which an entry is due to be forwarded; `NEVER` if none is pending."""
        pending_due_at = self._pending_due_at if self._pending else NEVER
        return min(pending_due_at, self._repeat_due_at) if self._pending_repeats else pending_due_at

    def tick(self, now: float) -> Datagrams:
        """Forwards the entries that are due."""
        out: Datagrams = []
        if self._pending and now >= self._pending_due_at:
            out += self._forward(now)
        if self._pending_repeats and now >= self._repeat_due_at:
            out += self._forward_repeats()
        return out

    def _forward(self, now: float) -> Datagrams:
        batch = list(self._pending.items())[:MAX_BATCH_ENTRIES]
        if not self._pending_repeats:
            self._repeat_due_at = now + REPEAT_DELAY_S
        for node, hops in batch:
            del self._pending[node]
            if not self._table.has_local_node_left and hops < REPAIR_HOPS:
                self._pending_repeats[node] = hops
        if self._pending:
            self._pending_due_at = now + BATCH_DELAY_S
        peers = self._peers
        peers.refresh()
        out = self._rumours(batch, peers.choose(peers.near, FANOUT if peers.far else FANOUT + 1))
        forwardable = [(node, hops) for node, hops in batch if hops < MAX_CROSS_ZONE_HOPS]
        own = [(node, hops) for node, hops in forwardable if hops == 0]
        others = [(node, hops) for node, hops in forwardable if hops]
        out += self._rumours(own, peers.one_of_each_far_zone())
        return out + self._rumours(others, peers.choose(peers.far, 1 if peers.near else FANOUT))

    def _forward_repeats(self) -> Datagrams:
        batch = list(self._pending_repeats.items())
        self._pending_repeats = {}
        peers = self._peers
        peers.refresh()
        return self._rumours(batch, peers.choose(peers.near or peers.far, REPEAT_FANOUT))

    def _rumours(self, batch: list[tuple[str, int]], nodes: list[str]) -> Datagrams:
        entries = self._table.entries
        packed = [entries[node].pack(hops) for node, hops in batch if node in entries]
        datagrams = pack_datagrams(RUMOUR, packed, MAX_NODES)
        return [(node, data) for node in nodes for data in datagrams]


class RevisionRumours:
    """Forwards the newest known revision of the mesh state twice, with a node that holds it."""

    __slots__ = ("_at", "_peers", "_rumour", "highest_revision")

    def __init__(self, peers: LivePeers) -> None:
        self._peers = peers
        self._rumour: tuple[int, str] | None = None  # Revision and a node that holds it.
        self._at = 0.0  # The time at which it is due; 0 for the first time.
        self.highest_revision = 0

    def add(self, revision: int, holder: str) -> bool:
        """Queues a revision for the next tick. Returns False if it is not newer."""
        if revision <= self.highest_revision:
            return False
        self.highest_revision = revision
        self._rumour, self._at = (revision, holder), 0.0
        return True

    def next(self) -> float:
        """Returns the time at which the revision is due to be forwarded; `NEVER` if none is pending."""
        return self._at if self._rumour else NEVER

    def tick(self, now: float) -> Datagrams:
        """Forwards the revision if it is due."""
        return self.forward(now, self._rumour) if self._rumour and now >= self._at else []

    def forward(self, now: float, rumour: tuple[int, str]) -> Datagrams:
        """Sends a revision to a few peers now. The first time, it is repeated after `REPEAT_DELAY_S`."""
        is_repeat = rumour == self._rumour and self._at > 0
        self._rumour, self._at = None if is_repeat else rumour, now + REPEAT_DELAY_S
        data = REVISION_RUMOUR + msgpack.packb((rumour[0], key_of(rumour[1])))
        peers = self._peers
        peers.refresh()
        nodes = peers.choose(peers.near, 2 if peers.far else 3)
        nodes += peers.choose(peers.far, 1 if peers.near else 3)
        return [(node, data) for node in nodes]

    def receive_rumour(self, now: float, revision: int, holder: str) -> Datagrams:
        """Forwards a received newer revision at once."""
        self.highest_revision = revision
        self._at = 0.0
        return self.forward(now, (revision, holder))
