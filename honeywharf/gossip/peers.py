"""The live nodes that a node may send to, near ones and far ones, and random choices among them."""

from __future__ import annotations

from honeywharf.gossip.entry import node_of

TYPE_CHECKING = False  # `typing` is 1.3 MB in each process
if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Protocol

    from honeywharf.gossip.table import GossipTable

    class RandomSource(Protocol):
        """Where randomness comes from."""

        def random(self) -> float:
            """Uniform in [0, 1)."""


MAX_FAR_ZONES = 4  # other zones that a node tells its own changes to, one peer each


class LivePeers:
    """Peers by zone, sorted anew after a change. `on_first_peer()` is called when there were none before."""

    __slots__ = ("_is_current", "_random", "_table", "far", "near", "on_first_peer")

    def __init__(self, table: GossipTable, random_source: RandomSource) -> None:
        self._table, self._random = table, random_source
        self._is_current = False
        self.near: list[str] = []  # in the own zone
        self.far: list[str] = []
        self.on_first_peer: Callable[[], None] = lambda: None
        table.on_peers_changed = self.invalidate

    def invalidate(self) -> None:
        """The set of live nodes may have changed."""
        self._is_current = False

    def refresh(self) -> bool:
        """Whether there is any live peer; sorts them by zone after a change."""
        if not self._is_current:
            self._is_current = True
            had_peers = bool(self.near or self.far)
            table = self._table
            live = [entry for entry in table.entries.values() if entry.gone_at is None]
            self.near = [node_of(entry.key) for entry in live if entry.zone == table.zone]
            self.far = [node_of(entry.key) for entry in live if entry.zone != table.zone]
            if table.local_node in self.near:
                self.near.remove(table.local_node)
            if not had_peers and (self.near or self.far):
                self.on_first_peer()
        return bool(self.near or self.far)

    def choose(self, nodes: list[str], count: int) -> list[str]:
        """Different ones at random."""
        if len(nodes) <= count:
            return list(nodes)
        chosen: list[str] = []
        while len(chosen) < count:
            node = nodes[int(self._random.random() * len(nodes))]
            if node not in chosen:
                chosen.append(node)
        return chosen

    def one_of_each_far_zone(self) -> list[str]:
        """One node of each other zone, of `MAX_FAR_ZONES` at most."""
        by_zone: dict[str, list[str]] = {}
        for node in self.far:
            by_zone.setdefault(self._table.entries[node].zone, []).append(node)
        zones = self.choose(list(by_zone), MAX_FAR_ZONES)
        return [self.choose(by_zone[zone], 1)[0] for zone in zones]
