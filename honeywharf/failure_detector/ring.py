"""Hash rings of the live nodes, one for each zone, which assign watchers to nodes. No I/O, no clock.

All nodes that know the same live nodes compute the same watchers. A node's watchers are the two that follow
it on the ring of its own zone, and two in other zones, in two different zones if there are that many. Two
watchers in the same zone detect a failed node quickly; when a whole zone fails, the two others detect it;
and when two zones lose contact with each other, only one watcher of each node is misled.
"""

from __future__ import annotations

from _bisect import bisect_left

from honeywharf.gossip.entry import hash32

NEAR_WATCHERS, FAR_WATCHERS = 2, 2  # Watchers in the own zone and in other zones.
SINGLE_ZONE_WATCHERS = 3  # Watchers of each node if there is only one zone.
POSITIONS = 1 << 32


def position(node: str) -> int:
    """Returns a node's position on a ring, below 2**32."""
    return hash32(node.encode())


class Ring:
    """A ring as a sorted list of positions: additions and removals take O(n), look-ups O(log n)."""

    __slots__ = ("_positions",)

    def __init__(self) -> None:
        self._positions: list[tuple[int, str]] = []

    def __len__(self) -> int:
        """Returns the number of nodes on the ring."""
        return len(self._positions)

    def __contains__(self, node: str) -> bool:
        """Returns whether a node is on the ring."""
        index = self._index(node)
        return index < len(self._positions) and self._positions[index][1] == node

    def add(self, node: str) -> None:
        """Adds a node unless it is on the ring."""
        if node not in self:
            self._positions.insert(self._index(node), (position(node), node))

    def remove(self, node: str) -> None:
        """Removes a node if it is on the ring."""
        if node in self:
            del self._positions[self._index(node)]

    def after(self, node: str, count: int) -> list[str]:
        """Returns up to `count` nodes that follow a node, which need not be on the ring itself."""
        first = self._index(node) + (node in self)
        last = first + self._available_count(node, count)
        return [self._positions[index % len(self._positions)][1] for index in range(first, last)]

    def before(self, node: str, count: int) -> list[str]:
        """Returns the nodes for which a node is among the next `count`, the nearest first."""
        last = self._index(node) - 1
        return [self._positions[last - distance][1] for distance in range(self._available_count(node, count))]

    def _index(self, node: str) -> int:
        return bisect_left(self._positions, (position(node), node))

    def _available_count(self, node: str, count: int) -> int:
        return min(count, len(self._positions) - (node in self))


class Rings:
    """The rings of all zones. A node is on at most one of them."""

    __slots__ = ("_rings", "_zones")

    def __init__(self) -> None:
        self._rings: dict[str, Ring] = {}  # Non-empty rings by zone.
        self._zones: dict[str, str] = {}  # Zones by node.

    def __len__(self) -> int:
        """Returns the number of nodes on all rings."""
        return len(self._zones)

    def __contains__(self, node: str) -> bool:
        """Returns whether a node is on a ring."""
        return node in self._zones

    def add(self, node: str, zone: str) -> None:
        """Adds a node to its zone's ring, and removes it from another one if its zone has changed."""
        if self._zones.get(node) != zone:
            self.remove(node)
            self._zones[node] = zone
            self._rings.setdefault(zone, Ring()).add(node)

    def remove(self, node: str) -> None:
        """Removes a node if it is on a ring."""
        zone = self._zones.pop(node, None)
        if zone is not None:
            self._rings[zone].remove(node)
            if not len(self._rings[zone]):
                del self._rings[zone]

    def watchers(self, node: str, zone: str) -> tuple[list[str], list[str]]:
        """Returns a node's watchers in its zone and in other zones. The node need not be on a ring."""
        far = self._far_zones(node, zone)
        near = (
            self._rings[zone].after(node, NEAR_WATCHERS if far else SINGLE_ZONE_WATCHERS)
            if zone in self._rings
            else []
        )
        return near, [name for other, count in far for name in self._rings[other].after(node, count)]

    def watched(self, node: str, zone: str) -> tuple[list[str], list[str]]:
        """Returns the nodes that a node watches, in its zone and in others. It must be on its ring."""
        near = self._rings[zone].before(node, NEAR_WATCHERS if len(self._rings) > 1 else SINGLE_ZONE_WATCHERS)
        far: list[str] = []
        for other in self._sorted_zones():
            if other != zone:
                candidates = self._candidates_between(node, zone, other)
                far += [name for name in candidates if node in self.watchers(name, other)[1]]
        return near, far

    def _candidates_between(self, node: str, zone: str, other: str) -> list[str]:
        """Returns the nodes of another zone that may have the node among their next two."""
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
        """Returns the zones of a node's watchers in other zones, with the number of watchers in each."""
        others = [other for other in self._sorted_zones() if other != zone]
        if len(others) < FAR_WATCHERS:
            return [(other, FAR_WATCHERS) for other in others]
        first = position(node) % len(others)
        return [(others[(first + offset) % len(others)], 1) for offset in range(FAR_WATCHERS)]

    def _sorted_zones(self) -> list[str]:
        return sorted(self._rings)
