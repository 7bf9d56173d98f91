"""The live nodes that a node may send to, in its own zone and in other zones, and random selection."""

from __future__ import annotations

from honeywharf.gossip.entry import node_of

TYPE_CHECKING = False  # Importing `typing` costs 1.3 MB in each process.
if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Protocol

    from honeywharf.gossip.table import GossipTable

    class RandomSource(Protocol):
        """A source of random numbers."""

        def random(self) -> float:
            """Returns a number uniform in [0, 1)."""


MAX_FAR_ZONES = 4  # A node sends its own changes to one peer in each of at most four other zones.


class LivePeers:
    """Live peers by zone. `on_first_peer()` is called when peers appear where there were none."""

    __slots__ = ("_is_current", "_random", "_table", "far", "near", "on_first_peer")

    def __init__(self, table: GossipTable, random_source: RandomSource) -> None:
        self._table, self._random = table, random_source
        self._is_current = False
        self.near: list[str] = []  # Peers in the own zone.
        self.far: list[str] = []  # Peers in other zones.
        self.on_first_peer: Callable[[], None] = lambda: None
        table.on_peers_changed = self.invalidate

    def invalidate(self) -> None:
        """Notes that the set of live nodes may have changed."""
        self._is_current = False

    def refresh(self) -> bool:
        """Updates the lists after a change. Returns whether there is a live peer."""
        if not self._is_current:
            self._is_current = True
            had_peers = bool(self.near or self.far)
            table = self._table
            live = [entry for entry in table.entries.values() if entry.inactive_since is None]
            self.near = [node_of(entry.key) for entry in live if entry.zone == table.zone]
            self.far = [node_of(entry.key) for entry in live if entry.zone != table.zone]
            if table.local_node in self.near:
                self.near.remove(table.local_node)
            if not had_peers and (self.near or self.far):
                self.on_first_peer()
        return bool(self.near or self.far)

    def choose(self, nodes: list[str], count: int) -> list[str]:
        """Returns up to `count` different nodes at random."""
        if len(nodes) <= count:
            return list(nodes)
        chosen: list[str] = []
        while len(chosen) < count:
            node = nodes[int(self._random.random() * len(nodes))]
            if node not in chosen:
                chosen.append(node)
        return chosen

    def one_of_each_far_zone(self) -> list[str]:
        """Returns one node from each of at most `MAX_FAR_ZONES` other zones."""
        by_zone: dict[str, list[str]] = {}
        for node in self.far:
            by_zone.setdefault(self._table.entries[node].zone, []).append(node)
        zones = self.choose(list(by_zone), MAX_FAR_ZONES)
        return [self.choose(by_zone[zone], 1)[0] for zone in zones]
