"""A ring of the live nodes by hash: who watches whom, the same for all who know the same nodes."""

from __future__ import annotations

from _bisect import bisect_left
from zlib import crc32


def place(node: str) -> int:
    """Where a node stands on the ring."""
    mixed = crc32(node.encode()) * 0x9E3779B1 & 0xFFFFFFFF
    return mixed ^ mixed >> 15


class Ring:
    """Sorted places. Adding and removing move at most the whole list once; looking up halves it."""

    __slots__ = ("_places",)

    def __init__(self) -> None:
        self._places: list[tuple[int, str]] = []

    def __len__(self) -> int:
        """Nodes on the ring."""
        return len(self._places)

    def __contains__(self, node: str) -> bool:
        """Whether a node is on the ring."""
        at = bisect_left(self._places, (place(node), node))
        return at < len(self._places) and self._places[at][1] == node

    def add(self, node: str) -> None:
        """Put a node on the ring; nothing if it is there."""
        put = (place(node), node)
        at = bisect_left(self._places, put)
        if at == len(self._places) or self._places[at] != put:
            self._places.insert(at, put)

    def remove(self, node: str) -> None:
        """Take a node off; nothing if it is not there."""
        put = (place(node), node)
        at = bisect_left(self._places, put)
        if at < len(self._places) and self._places[at] == put:
            del self._places[at]

    def watchers(self, node: str, count: int = 3) -> list[str]:
        """The next ones on the ring, fewer where there are fewer. The node itself need not be on it."""
        return self._beside(node, count, 1)

    def watched(self, node: str, count: int = 3) -> list[str]:
        """Those whose watcher a node on the ring is."""
        return self._beside(node, count, -1)

    def _beside(self, node: str, count: int, step: int) -> list[str]:
        size = len(self._places)
        at = bisect_left(self._places, (place(node), node))
        there = at < size and self._places[at][1] == node
        if step > 0 and not there:
            at -= 1
        count = min(count, size - there)
        return [self._places[(at + step * away) % size][1] for away in range(1, count + 1)]
