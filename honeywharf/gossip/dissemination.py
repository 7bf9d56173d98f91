"""Spreads what is new: rumours of entries, and of a newer revision of the mesh state. No I/O, no clock.

What is new is gathered for `GATHER_S` and passed on to three peers, and once more to two after `REPEAT_S`:
that reaches most nodes in a few hops. What rumours miss, anti-entropy repairs.
"""

from __future__ import annotations

import msgpack  # type: ignore[import-untyped]

from honeywharf.gossip.entry import REVISION_RUMOUR, RUMOUR, key_of, pack_datagrams
from honeywharf.gossip.table import FINAL_HOPS, MAX_NODES, REPAIR_HOPS

TYPE_CHECKING = False  # `typing` is 1.3 MB in each process
if TYPE_CHECKING:
    from honeywharf.gossip.peers import LivePeers
    from honeywharf.gossip.table import GossipTable

Datagrams = list[tuple[str, bytes]]  # to which node, and what

GATHER_S = 0.02  # that rumours wait for one another
REPEAT_S = 0.15  # until what is new is passed on a second time
PEERS, REPEAT_PEERS = 3, 2  # that a rumour is passed on to, and to the second time
FAR_HOPS = 2  # hops within which a rumour is passed on to another zone
MAX_BATCH = 64  # entries passed on at once
NEVER = float("inf")


class EntryRumours:
    """Entries that this node passes on, once and again."""

    __slots__ = ("_fresh", "_fresh_at", "_peers", "_repeat_at", "_repeated", "_table")

    def __init__(self, table: GossipTable, peers: LivePeers) -> None:
        self._table, self._peers = table, peers
        self._fresh: dict[str, int] = {}  # hops by node, to be passed on
        self._repeated: dict[str, int] = {}  # to be passed on again
        self._fresh_at = self._repeat_at = 0.0
        table.on_accepted = self.accept
        table.on_dropped = self.forget

    def accept(self, now: float, node: str, hops: int) -> None:
        """An entry was taken over; pass it on if it may still travel."""
        if hops < FINAL_HOPS:
            if not self._fresh:
                self._fresh_at = now + GATHER_S
            self._fresh[node] = hops

    def forget(self, node: str) -> None:
        """An entry was dropped."""
        self._fresh.pop(node, None)
        self._repeated.pop(node, None)

    def flush_now(self, now: float) -> None:
        """Pass on what is new without waiting for more."""
        self._fresh_at = now

    def next(self) -> float:
        """When something is to be passed on; `NEVER` for nothing."""
        fresh_at = self._fresh_at if self._fresh else NEVER
        return min(fresh_at, self._repeat_at) if self._repeated else fresh_at

    def tick(self, now: float) -> Datagrams:
        """What is due."""
        out: Datagrams = []
        if self._fresh and now >= self._fresh_at:
            out += self._pass_on(now)
        if self._repeated and now >= self._repeat_at:
            out += self._pass_on_again()
        return out

    def _pass_on(self, now: float) -> Datagrams:
        batch = list(self._fresh.items())[:MAX_BATCH]
        if not self._repeated:
            self._repeat_at = now + REPEAT_S
        for node, hops in batch:
            del self._fresh[node]
            if not self._table.has_left and hops < REPAIR_HOPS:
                self._repeated[node] = hops
        if self._fresh:
            self._fresh_at = now + GATHER_S
        peers = self._peers
        peers.refresh()
        out = self._rumours(batch, peers.choose(peers.near, PEERS if peers.far else PEERS + 1))
        travelling = [(node, hops) for node, hops in batch if hops < FAR_HOPS]
        own = [(node, hops) for node, hops in travelling if hops == 0]
        others = [(node, hops) for node, hops in travelling if hops]
        out += self._rumours(own, peers.one_of_each_far_zone())
        return out + self._rumours(others, peers.choose(peers.far, 1 if peers.near else PEERS))

    def _pass_on_again(self) -> Datagrams:
        batch = list(self._repeated.items())
        self._repeated = {}
        peers = self._peers
        peers.refresh()
        return self._rumours(batch, peers.choose(peers.near or peers.far, REPEAT_PEERS))

    def _rumours(self, batch: list[tuple[str, int]], nodes: list[str]) -> Datagrams:
        entries = self._table.entries
        packed = [entries[node].pack(hops) for node, hops in batch if node in entries]
        datagrams = pack_datagrams(RUMOUR, packed, MAX_NODES)
        return [(node, data) for node in nodes for data in datagrams]


class RevisionRumours:
    """The newest revision of the mesh state that is known, passed on twice with a node that holds it."""

    __slots__ = ("_at", "_peers", "_rumour", "highest")

    def __init__(self, peers: LivePeers) -> None:
        self._peers = peers
        self._rumour: tuple[int, str] | None = None  # revision, and who holds it
        self._at = 0.0  # when it is due; 0 for the first time
        self.highest = 0  # revision passed on so far

    def add(self, revision: int, holder: str) -> bool:
        """Pass a revision on, from the next tick; False where it is no newer one."""
        if revision <= self.highest:
            return False
        self.highest = revision
        self._rumour, self._at = (revision, holder), 0.0
        return True

    def next(self) -> float:
        """When something is to be passed on; `NEVER` for nothing."""
        return self._at if self._rumour else NEVER

    def tick(self, now: float) -> Datagrams:
        """What is due."""
        return self.pass_on(now, self._rumour) if self._rumour and now >= self._at else []

    def pass_on(self, now: float, rumour: tuple[int, str]) -> Datagrams:
        """Send a revision to a few peers now; the first time, again after `REPEAT_S`."""
        is_repeat = rumour == self._rumour and self._at > 0
        self._rumour, self._at = None if is_repeat else rumour, now + REPEAT_S
        data = REVISION_RUMOUR + msgpack.packb((rumour[0], key_of(rumour[1])))
        peers = self._peers
        peers.refresh()
        nodes = peers.choose(peers.near, 2 if peers.far else 3)
        nodes += peers.choose(peers.far, 1 if peers.near else 3)
        return [(node, data) for node in nodes]

    def hear(self, now: float, revision: int, holder: str) -> Datagrams:
        """A rumour of a newer revision came: pass it on at once."""
        self.highest = revision
        self._at = 0.0
        return self.pass_on(now, (revision, holder))
