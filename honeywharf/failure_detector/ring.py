"""Rings of the live nodes by hash, one for each zone: who watches whom. No I/O, no clock.

All who know the same nodes come to the same watchers. A node's watchers are the two after its position on
the ring of its own zone, and two elsewhere, in two zones where there are so many. Two of one zone see a
node's end soon; when a whole zone ends, two others see it; and where two zones lose contact with each
other, only one watcher of each node is misled.
"""

from __future__ import annotations

from _bisect import bisect_left

from honeywharf.gossip.entry import hash32

NEAR_WATCHERS, FAR_WATCHERS = 2, 2  # in the own zone, and elsewhere
SINGLE_ZONE_WATCHERS = 3  # where there is but one zone
POSITIONS = 1 << 32  # of a ring


def position(node: str) -> int:
    """Where a node stands on a ring, below 2**32."""
    return hash32(node.encode())


class Ring:
    """Sorted positions. Adding and removing move at most the whole list once; looking up halves it."""

    __slots__ = ("_positions",)

    def __init__(self) -> None:
        self._positions: list[tuple[int, str]] = []

    def __len__(self) -> int:
        """Nodes on the ring."""
        return len(self._positions)

    def __contains__(self, node: str) -> bool:
        """Whether a node is on the ring."""
        index = self._index(node)
        return index < len(self._positions) and self._positions[index][1] == node

    def add(self, node: str) -> None:
        """Put a node on the ring; nothing if it is there."""
        if node not in self:
            self._positions.insert(self._index(node), (position(node), node))

    def remove(self, node: str) -> None:
        """Take a node off; nothing if it is not there."""
        if node in self:
            del self._positions[self._index(node)]

    def after(self, node: str, count: int) -> list[str]:
        """The next ones, fewer where there are fewer others. The node itself need not be on the ring."""
        first = self._index(node) + (node in self)
        last = first + self._count_others(node, count)
        return [self._positions[index % len(self._positions)][1] for index in range(first, last)]

    def before(self, node: str, count: int) -> list[str]:
        """Those for which a node is among the next `count`, the nearest first."""
        last = self._index(node) - 1
        return [self._positions[last - distance][1] for distance in range(self._count_others(node, count))]

    def _index(self, node: str) -> int:
        return bisect_left(self._positions, (position(node), node))

    def _count_others(self, node: str, count: int) -> int:
        return min(count, len(self._positions) - (node in self))


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
        near = (
            self._rings[zone].after(node, NEAR_WATCHERS if far else SINGLE_ZONE_WATCHERS)
            if zone in self._rings
            else []
        )
        return near, [name for other, count in far for name in self._rings[other].after(node, count)]

    def watched(self, node: str, zone: str) -> tuple[list[str], list[str]]:
        """Those whose watcher a node is, in its zone and elsewhere. The node must be on its ring."""
        near = self._rings[zone].before(node, NEAR_WATCHERS if len(self._rings) > 1 else SINGLE_ZONE_WATCHERS)
        far: list[str] = []
        for other in self._sorted_zones():
            if other != zone:
                some = self._candidates_between(node, zone, other)
                far += [name for name in some if node in self.watchers(name, other)[1]]
        return near, far

    def _candidates_between(self, node: str, zone: str, other: str) -> list[str]:
        """Those of another zone that may have the node as their next one, or next but one."""
        before = self._rings[zone].before(node, FAR_WATCHERS)
        ring = self._rings[other]
        if len(before) < FAR_WATCHERS:
            return ring.after(node, len(ring))
        span = (position(node) - position(before[-1])) % POSITIONS
        found: list[str] = []
        for name in ring.before(node, len(ring)):
            if (position(node) - position(name)) % POSITIONS > span:
                break
            found.append(name)
        return found

    def _far_zones(self, node: str, zone: str) -> list[tuple[str, int]]:
        """The zones of a node's far watchers, and how many of each."""
        others = [other for other in self._sorted_zones() if other != zone]
        if len(others) < FAR_WATCHERS:
            return [(other, FAR_WATCHERS) for other in others]
        first = position(node) % len(others)
        return [(others[(first + offset) % len(others)], 1) for offset in range(FAR_WATCHERS)]

    def _sorted_zones(self) -> list[str]:
        return sorted(self._rings)
