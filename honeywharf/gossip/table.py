"""The newest entry that is known of each node, and which nodes have gone. No I/O, no clock.

Each node owns one entry and is the only one to number it; the highest (incarnation, sequence) wins
everywhere. A node that left is a tombstone. Tombstones and nodes held down are no more offered to others
after `OFFERED_S` and dropped after `KEPT_S`; for `DROPPED_S` more nothing as old is accepted again, and a
node that so offers itself is sent its tombstone, which it refutes.
"""

from __future__ import annotations

import msgpack  # type: ignore[import-untyped]

from honeywharf.gossip.entry import MAX_ENTRY, Entry, is_number, key_of, node_of

TYPE_CHECKING = False  # `typing` is 1.3 MB in each process
if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any

MAX_NODES = 4096
REVISION = "rev"  # the attribute that has no part in the sequence number, see `is_quiet`
OFFERED_S = 15.0  # for which a node that has gone is offered to others
KEPT_S = 30.0  # for which it is kept
DROPPED_S = 60.0  # for which it is remembered as dropped
REPAIR_HOPS = 14  # of an entry that a zone learns late: it is passed on within the zone
FINAL_HOPS = 15  # of an entry that is not passed on


def is_quiet(name: str) -> bool:
    """Whether an attribute changes without a new sequence number: it travels in the heads of datagrams."""
    return name == REVISION


class GossipTable:
    """One node's table, at most `MAX_NODES` entries. Times are seconds on the steady clock.

    `on_accepted(now, node, hops)` is called with each entry that was taken over, `on_dropped(node)` with each
    that is forgotten, `on_change(node, entry, old)` with both for other nodes (`entry` is None once dropped).
    `on_peers_changed()` is called when the set of live nodes may have changed.
    """

    __slots__ = (
        "checksum", "dropped", "entries", "has_left", "local_node", "on_accepted", "on_change", "on_dropped",
        "on_peers_changed", "rejected", "revision", "zone",
    )  # fmt: skip

    def __init__(self, local_node: str, zone: str) -> None:
        """`local_node`: the own IPv4 address in dots."""
        self.local_node = local_node
        self.zone = zone
        self.entries: dict[str, Entry] = {}
        self.checksum = 0  # of the offered entries' stamps: equal tables have equal ones
        self.revision = 0  # of the mesh state that this node publishes
        self.rejected = 0  # nodes that the table was too full for
        self.has_left = False  # this node
        self.dropped: dict[str, tuple[int, int, float]] = {}  # incarnation and sequence, and when
        self.on_accepted: Callable[[float, str, int], None] = lambda now, node, hops: None
        self.on_dropped: Callable[[str], None] = lambda node: None
        self.on_peers_changed: Callable[[], None] = lambda: None
        self.on_change: Callable[[str, Entry | None, Entry | None], None] | None = None

    @property
    def own(self) -> Entry:
        """This node's own entry."""
        return self.entries[self.local_node]

    def put_own(self, now: float, incarnation: int, sequence: int, attributes: dict[str, Any] | None) -> None:
        """Replace the own entry. ValueError where it is too large for a datagram; nothing is changed then."""
        attributes = msgpack.unpackb(msgpack.packb(attributes))  # as it will come back: a tuple as a list
        entry = Entry(key_of(self.local_node), incarnation, sequence, self.zone, attributes)
        if len(entry.pack(0)) > MAX_ENTRY:
            raise ValueError(f"what {self.local_node} says is over {MAX_ENTRY} bytes")
        self.revision = (attributes or {}).get(REVISION, 0) or self.revision
        self._put(now, self.local_node, entry, 0)

    def receive(self, now: float, sender: str, entry: Entry, hops: int) -> Entry | None:
        """Take an entry over if it is newer. Returns the newer one where the sender is behind."""
        node = node_of(entry.key)
        if node == self.local_node:
            return self._receive_own(now, entry)
        old = self.entries.get(node)
        if old is None:
            dropped = self.dropped.get(node)
            if dropped and entry.version[:2] <= dropped[:2]:
                tombstone = Entry(entry.key, dropped[0], dropped[1], entry.zone, None)
                return tombstone if sender == node else None
            if len(self.entries) >= MAX_NODES:
                self.rejected += 1
                return None
        elif entry.version <= old.version:
            return old if entry.version < old.version else None
        next_hops = hops if hops >= REPAIR_HOPS else min(hops + 1, REPAIR_HOPS - 1)
        self._put(now, node, entry, next_hops)
        return None

    def _receive_own(self, now: float, entry: Entry) -> Entry | None:
        """Somebody tells what this node has told, or not: it was restarted with a clock that is behind.

        What it has not told it refutes, by a sequence number above that one.
        """
        own = self.own
        if entry.version < own.version:
            return own
        is_echo = entry.version == own.version and _travels_as(entry.attributes, own.attributes)
        if self.has_left or is_echo:
            return None
        self.put_own(now, entry.incarnation, entry.sequence + 1, own.attributes)
        return None

    def _put(self, now: float, node: str, entry: Entry, hops: int) -> None:
        old = self.entries.get(node)
        if old is not None:
            entry.zone = old.zone if entry.zone == old.zone else entry.zone  # one string for equal zones
            if not old.is_hidden:
                self.checksum ^= old.stamp
            is_same_start = old.incarnation == entry.incarnation and node != self.local_node
            if old.attributes and entry.attributes and is_same_start:
                keep_revision(old.attributes, entry.attributes)
        entry.received_at = now
        entry.gone_at = now if entry.attributes is None else None
        self.checksum ^= entry.stamp
        self.entries[node] = entry
        self.dropped.pop(node, None)
        if old is None or old.gone_at != entry.gone_at or old.zone != entry.zone:
            self.on_peers_changed()
        self.on_accepted(now, node, hops)
        if self.on_change and node != self.local_node:
            self.on_change(node, entry, old)

    def set_down(self, now: float, node: str, is_down: bool) -> None:
        """Hold a node down, or alive again. A node that is down is no peer, and is dropped in time."""
        entry = self.entries.get(node)
        if entry is None or entry.attributes is None or is_down == (entry.gone_at is not None):
            return
        self.on_peers_changed()
        if is_down:
            entry.gone_at = now
            return
        if entry.is_hidden:
            entry.is_hidden = False
            self.checksum ^= entry.stamp
        entry.gone_at = None

    def sweep(self, now: float) -> None:
        """Hide and drop what has gone for long."""
        for node, entry in list(self.entries.items()):
            if entry.gone_at is None or node == self.local_node:
                continue
            gone_for = now - entry.gone_at
            if gone_for > KEPT_S:
                self._drop(now, node, entry)
            elif gone_for > OFFERED_S and not entry.is_hidden:
                entry.is_hidden = True
                self.checksum ^= entry.stamp
        for node, (_, _, dropped_at) in list(self.dropped.items()):
            if now - dropped_at > DROPPED_S:
                del self.dropped[node]

    def _drop(self, now: float, node: str, entry: Entry) -> None:
        if not entry.is_hidden:
            self.checksum ^= entry.stamp
        del self.entries[node]
        self.on_dropped(node)
        self.on_peers_changed()
        if len(self.dropped) < MAX_NODES:
            self.dropped[node] = (entry.incarnation, entry.sequence, now)
        if self.on_change:
            self.on_change(node, None, entry)

    def offered(self) -> list[Entry]:
        """The entries that are sent to others."""
        return [entry for entry in self.entries.values() if not entry.is_hidden]


def keep_revision(old: dict[str, Any], new: dict[str, Any]) -> None:
    """What was told since in heads of datagrams is newer than what came with an entry."""
    known = old.get(REVISION, 0)
    if is_number(known) and known and not (is_number(new.get(REVISION)) and new[REVISION] >= known):
        new[REVISION] = known


def _travels_as(told: dict[str, Any] | None, own: dict[str, Any] | None) -> bool:
    """Whether both would travel as the same bytes: a tuple comes back as a list, and is no change."""
    return bool(msgpack.packb(_numbered(told)) == msgpack.packb(_numbered(own)))


def _numbered(attributes: dict[str, Any] | None) -> dict[str, Any] | None:
    """The attributes that change only with the sequence number."""
    if attributes is None:
        return None
    return {name: value for name, value in attributes.items() if not is_quiet(name)}
