"""The newest known entry of each node, and the nodes that have left or are down. No I/O, no clock.

Each node owns one entry and is the only one to number it; the highest (incarnation, sequence) wins
everywhere. The entry of a node that left is a tombstone. Tombstones and nodes that are down are no longer
sent to others after `INACTIVE_OFFER_S` and are dropped after `INACTIVE_RETENTION_S`. For a further
`DROPPED_RETENTION_S` no entry that is as old as the dropped one is accepted again. A node that sends such an
entry of its own is sent its tombstone, which it refutes.
"""

from __future__ import annotations

import msgpack  # type: ignore[import-untyped]

from honeywharf.gossip.entry import MAX_ENTRY_BYTES, Entry, is_number, key_of, node_of

TYPE_CHECKING = False  # Importing `typing` costs 1.3 MB in each process.
if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any

MAX_NODES = 4096
REVISION = "rev"  # Changes of this attribute keep the sequence number; see `is_unsequenced`.
INACTIVE_OFFER_S = 15.0  # A node that has gone is offered to others for this time.
INACTIVE_RETENTION_S = 30.0  # It is kept for this time.
DROPPED_RETENTION_S = 60.0  # It is remembered as dropped for this time.
REPAIR_HOPS = 14  # A repaired entry from another zone gets these hops and is forwarded within the zone.
NO_FORWARD_HOPS = 15  # An entry with these hops is not forwarded.


def is_unsequenced(name: str) -> bool:
    """Returns whether an attribute changes without a new sequence number. Other datagrams carry it."""
    return name == REVISION


class GossipTable:
    """One node's table, at most `MAX_NODES` entries. Times are seconds on the steady clock.

    `on_accepted(now, node, hops)` is called for each accepted entry and `on_dropped(node)` for each dropped
    one; `on_change(node, entry, old)` is called for both, for other nodes only (`entry` is None if dropped).
    `on_peers_changed()` is called when the set of live nodes may have changed.
    """

    __slots__ = (
        "checksum", "dropped", "entries", "has_local_node_left", "local_node", "on_accepted", "on_change",
        "on_dropped", "on_peers_changed", "rejected", "revision", "zone",
    )  # fmt: skip

    def __init__(self, local_node: str, zone: str) -> None:
        """`local_node` is this node's IPv4 address."""
        self.local_node = local_node
        self.zone = zone
        self.entries: dict[str, Entry] = {}
        self.checksum = 0  # XOR of the offered entries' stamps; equal tables have equal checksums.
        self.revision = 0  # Revision of the mesh state that this node publishes.
        self.rejected = 0  # Entries of new nodes rejected by a full table.
        self.has_local_node_left = False
        self.dropped: dict[str, tuple[int, int, float]] = {}  # The values are incarnation, sequence and time.
        self.on_accepted: Callable[[float, str, int], None] = lambda now, node, hops: None
        self.on_dropped: Callable[[str], None] = lambda node: None
        self.on_peers_changed: Callable[[], None] = lambda: None
        self.on_change: Callable[[str, Entry | None, Entry | None], None] | None = None

    @property
    def own(self) -> Entry:
        """Returns this node's own entry."""
        return self.entries[self.local_node]

    def put_own(self, now: float, incarnation: int, sequence: int, attributes: dict[str, Any] | None) -> None:
        """Replaces the own entry. Raises ValueError, without a change, if it is too large for a datagram."""
        attributes = msgpack.unpackb(msgpack.packb(attributes))  # Peers return a tuple as a list.
        entry = Entry(key_of(self.local_node), incarnation, sequence, self.zone, attributes)
        if len(entry.pack(0)) > MAX_ENTRY_BYTES:
            raise ValueError(
                f"entry of {self.local_node}: expected at most {MAX_ENTRY_BYTES} bytes, got more"
            )
        self.revision = (attributes or {}).get(REVISION, 0) or self.revision
        self._put(now, self.local_node, entry, 0)

    def receive(self, now: float, sender: str, entry: Entry, hops: int) -> Entry | None:
        """Accepts an entry if it is newer. Returns the local entry if the sender's is older."""
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
        """Handles a received entry of this node itself.

        An entry that this node has not published is from before a restart, after which the clock was behind.
        This node refutes it by publishing its own attributes under a higher sequence number.
        """
        own = self.own
        if entry.version < own.version:
            return own
        is_echo = entry.version == own.version and _has_same_encoding(entry.attributes, own.attributes)
        if self.has_local_node_left or is_echo:
            return None
        self.put_own(now, entry.incarnation, entry.sequence + 1, own.attributes)
        return None

    def _put(self, now: float, node: str, entry: Entry, hops: int) -> None:
        old = self.entries.get(node)
        if old is not None:
            # Entries of one zone share one string object.
            entry.zone = old.zone if entry.zone == old.zone else entry.zone
            if not old.is_hidden:
                self.checksum ^= old.stamp
            is_same_start = old.incarnation == entry.incarnation and node != self.local_node
            if old.attributes and entry.attributes and is_same_start:
                keep_revision(old.attributes, entry.attributes)
        entry.received_at = now
        entry.inactive_since = now if entry.attributes is None else None
        self.checksum ^= entry.stamp
        self.entries[node] = entry
        self.dropped.pop(node, None)
        if old is None or old.inactive_since != entry.inactive_since or old.zone != entry.zone:
            self.on_peers_changed()
        self.on_accepted(now, node, hops)
        if self.on_change and node != self.local_node:
            self.on_change(node, entry, old)

    def set_down(self, now: float, node: str, is_down: bool) -> None:
        """Marks a node down, or alive again. A node that is down is not a peer, and is dropped later."""
        entry = self.entries.get(node)
        if entry is None or entry.attributes is None or is_down == (entry.inactive_since is not None):
            return
        self.on_peers_changed()
        if is_down:
            entry.inactive_since = now
            return
        if entry.is_hidden:
            entry.is_hidden = False
            self.checksum ^= entry.stamp
        entry.inactive_since = None

    def sweep(self, now: float) -> None:
        """Hides and drops entries that have been inactive for long."""
        for node, entry in list(self.entries.items()):
            if entry.inactive_since is None or node == self.local_node:
                continue
            inactive_s = now - entry.inactive_since
            if inactive_s > INACTIVE_RETENTION_S:
                self._drop(now, node, entry)
            elif inactive_s > INACTIVE_OFFER_S and not entry.is_hidden:
                entry.is_hidden = True
                self.checksum ^= entry.stamp
        for node, (_, _, dropped_at) in list(self.dropped.items()):
            if now - dropped_at > DROPPED_RETENTION_S:
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
        """Returns the entries that are sent to others."""
        return [entry for entry in self.entries.values() if not entry.is_hidden]


def keep_revision(old: dict[str, Any], new: dict[str, Any]) -> None:
    """Keeps the revision of `old` if it is higher: other datagrams may have carried a newer one since."""
    known = old.get(REVISION, 0)
    if is_number(known) and known and not (is_number(new.get(REVISION)) and new[REVISION] >= known):
        new[REVISION] = known


def _has_same_encoding(received_attributes: dict[str, Any] | None, own: dict[str, Any] | None) -> bool:
    """Returns whether both have the same encoding. A tuple that comes back as a list is not a change."""
    return bool(
        msgpack.packb(_sequenced_attributes(received_attributes)) == msgpack.packb(_sequenced_attributes(own))
    )


def _sequenced_attributes(attributes: dict[str, Any] | None) -> dict[str, Any] | None:
    """Returns the attributes whose changes advance the sequence number."""
    if attributes is None:
        return None
    return {name: value for name, value in attributes.items() if not is_unsequenced(name)}
