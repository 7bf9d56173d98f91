"""Rings of the live nodes by hash, one for each zone: who watches whom.

All who know the same nodes come to the same watchers. A node's watchers are the two after its place on
the ring of its own zone, and two elsewhere, in two zones where there are so many. Two of one zone see a
node's end soon; when a whole zone ends, two others see it; and where two zones lose sight of each other,
only one watcher of each node is misled.
"""

from __future__ import annotations

from _bisect import bisect_left
from zlib import crc32

NEAR, FAR = 2, 2  # watchers in the own zone, and elsewhere
ALONE = 3  # watchers where there is but one zone


def place(node: str) -> int:
    """Where a node stands on a ring, below 2**32."""
    value = crc32(node.encode())
    for factor in (0x85EBCA6B, 0xC2B2AE35):  # a checksum alone puts neighbouring addresses side by side
        value = (value ^ value >> 15) * factor & 0xFFFFFFFF
    return value ^ value >> 16


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
        at = self._at(node)
        return at < len(self._places) and self._places[at][1] == node

    def add(self, node: str) -> None:
        """Put a node on the ring; nothing if it is there."""
        if node not in self:
            self._places.insert(self._at(node), (place(node), node))

    def remove(self, node: str) -> None:
        """Take a node off; nothing if it is not there."""
        if node in self:
            del self._places[self._at(node)]

    def after(self, node: str, count: int) -> list[str]:
        """The next ones, fewer where there are fewer others. The node itself need not be on the ring."""
        first = self._at(node) + (node in self)
        last = first + self._others(node, count)
        return [self._places[at % len(self._places)][1] for at in range(first, last)]

    def before(self, node: str, count: int) -> list[str]:
        """Those for which a node is among the next `count`, the nearest first."""
        last = self._at(node) - 1
        return [self._places[last - away][1] for away in range(self._others(node, count))]

    def _at(self, node: str) -> int:
        return bisect_left(self._places, (place(node), node))

    def _others(self, node: str, count: int) -> int:
        return min(count, len(self._places) - (node in self))


class Rings:
    """The rings of all zones. A node is on one of them at most."""

    __slots__ = ("_rings", "_zones")

    def __init__(self) -> None:
        self._rings: dict[str, Ring] = {}  # those that are not empty
        self._zones: dict[str, str] = {}  # by node

    def __len__(self) -> int:
        """Nodes on all rings."""
        return len(self._zones)

    def __contains__(self, node: str) -> bool:
        """Whether a node is on a ring."""
        return node in self._zones

    def add(self, node: str, zone: str) -> None:
        """Put a node on its zone's ring; off another one, if it changed its zone."""
        if self._zones.get(node) != zone:
            self.remove(node)
            self._zones[node] = zone
            self._rings.setdefault(zone, Ring()).add(node)

    def remove(self, node: str) -> None:
        """Take a node off its ring; nothing if it is on none."""
        zone = self._zones.pop(node, None)
        if zone is not None:
            self._rings[zone].remove(node)
            if not len(self._rings[zone]):
                del self._rings[zone]

    def watchers(self, node: str, zone: str) -> tuple[list[str], list[str]]:
        """Of a node in a zone, on a ring or not: those in its zone, and those elsewhere."""
        far = self._far_zones(node, zone)
        near = self._rings[zone].after(node, NEAR if far else ALONE) if zone in self._rings else []
        return near, [name for other, count in far for name in self._rings[other].after(node, count)]

    def watched(self, node: str, zone: str) -> tuple[list[str], list[str]]:
        """Those whose watcher a node is, in its zone and elsewhere. The node must be on its ring."""
        near = self._rings[zone].before(node, NEAR if len(self._rings) > 1 else ALONE)
        far: list[str] = []
        for other in self._zones_sorted():
            if other != zone:
                some = self._between(node, zone, other)
                far += [name for name in some if node in self.watchers(name, other)[1]]
        return near, far

    def _between(self, node: str, zone: str, other: str) -> list[str]:
        """Those of another zone that may have the node as their next one, or next but one."""
        before = self._rings[zone].before(node, FAR)
        ring = self._rings[other]
        if len(before) < FAR:
            return ring.after(node, len(ring))
        span = (place(node) - place(before[-1])) % (1 << 32)
        found: list[str] = []
        for name in ring.before(node, len(ring)):
            if (place(node) - place(name)) % (1 << 32) > span:
                break
            found.append(name)
        return found

    def _far_zones(self, node: str, zone: str) -> list[tuple[str, int]]:
        """The zones of a node's far watchers, and how many of each."""
        others = [other for other in self._zones_sorted() if other != zone]
        if len(others) < FAR:
            return [(other, FAR) for other in others]
        first = place(node) % len(others)
        return [(others[(first + at) % len(others)], 1) for at in range(FAR)]

    def _zones_sorted(self) -> list[str]:
        return sorted(self._rings)
