"""Anti-entropy: repairs changes that rumours missed, by comparing tables with one peer at a time.

Every `DIGEST_INTERVAL_S` a node sends a summary of its table (16 bytes) to one peer. If the summary differs
from the peer's own, the peer answers with a digest, and each side sends the other the entries that it lacks.
Tables of more than `MAX_DIGEST_NODES` nodes compare sums by bucket first. The module performs no I/O and
reads no clock.
"""

from __future__ import annotations

import msgpack  # type: ignore[import-untyped]

from honeywharf.gossip.entry import (
    BUCKET_SUMS,
    BUCKETS,
    DIGEST,
    ENTRY_REQUEST,
    KEY_BYTES,
    REVISION_RUMOUR,
    RUMOUR,
    SUMMARY,
    Entry,
    bucket_of,
    key_of,
    pack_datagrams,
    pack_keys,
    pack_stamps,
)
from honeywharf.gossip.table import NO_FORWARD_HOPS, REPAIR_HOPS

TYPE_CHECKING = False  # Importing `typing` costs 1.3 MB in each process.
if TYPE_CHECKING:
    from collections.abc import Iterable

    from honeywharf.gossip.dissemination import Datagrams
    from honeywharf.gossip.peers import LivePeers, RandomSource
    from honeywharf.gossip.table import GossipTable

DIGEST_INTERVAL_S = 0.5
SAME_ZONE_FRACTION = 0.75  # This fraction of the summaries goes to a peer in the same zone.
MISSING_PEER_INTERVAL = 4  # Every fourth summary also goes to a missing node.
MAX_DIGEST_NODES = 120  # A digest of this many nodes fits one datagram.
MAX_DIGEST_BUCKETS = 24  # One digest contains at most this many.
MAX_REPAIR_DATAGRAMS = 16  # This limits the answer to one datagram.
MAX_REQUESTED = 300  # One request names at most this many entries.
RECENT_ENTRY_S = 2.0  # An entry received within this time is taken for the newer of two that differ.


class AntiEntropy:
    """One node's table comparisons. `seeds` are contacted even if the table holds no entry for them."""

    __slots__ = ("_due_at", "_peers", "_random", "_rounds", "_seeds", "_table")

    def __init__(
        self, table: GossipTable, peers: LivePeers, random_source: RandomSource, seeds: tuple[str, ...]
    ) -> None:
        self._table, self._peers, self._random, self._seeds = table, peers, random_source, seeds
        self._rounds = 0
        self._due_at = 0.0
        peers.on_first_peer = self.compare_now

    def compare_now(self) -> None:
        """Makes the next summary due at the next tick."""
        self._due_at = 0.0

    def next(self) -> float:
        """Returns the time at which `tick` is due."""
        return self._due_at

    def tick(self, now: float) -> Datagrams:
        """Returns the summaries that are due."""
        if now < self._due_at:
            return []
        self._due_at = now + DIGEST_INTERVAL_S * (0.75 + 0.5 * self._random.random())
        return [(node, self.summary()) for node in self._partners()]

    def _partners(self) -> list[str]:
        self._rounds += 1
        peers = self._peers
        preferred = peers.near if self._random.random() < SAME_ZONE_FRACTION else peers.far
        chosen = peers.choose(preferred or peers.near or peers.far, 1)
        if self._rounds % MISSING_PEER_INTERVAL == 0:
            chosen += peers.choose(self._missing_nodes(), 1)
        return chosen

    def _missing_nodes(self) -> list[str]:
        """Returns the nodes that are down or dropped, and the seeds without an entry."""
        entries = self._table.entries
        down = [
            node for node, entry in entries.items() if entry.inactive_since is not None and entry.attributes
        ]
        seeds = [seed for seed in self._seeds if seed not in entries]
        return down + seeds + [node for node in self._table.dropped if node not in entries]

    def summary(self) -> bytes:
        """Returns the datagram that starts a comparison."""
        packed: bytes = msgpack.packb((self._table.revision, self._table.checksum))
        return SUMMARY + packed

    def answer_summary(self, sender: str, checksum: object) -> Datagrams:
        """Answers a peer's summary: with a digest, or with nothing if the tables are equal."""
        return [] if checksum == self._table.checksum else self.digest_for(sender)

    def digest_for(self, sender: str) -> Datagrams:
        """Returns a digest of all entries, or sums by bucket if the table is too large."""
        offered = self._table.offered()
        if len(offered) <= MAX_DIGEST_NODES:
            return [(sender, self._digest(None, offered))]
        sums = b"".join([total.to_bytes(KEY_BYTES, "big") for total in _bucket_sums(offered)])
        return [(sender, BUCKET_SUMS + msgpack.packb((self._table.revision, sums)))]

    def _digest(self, buckets: bytes | None, entries: list[Entry]) -> bytes:
        packed: bytes = msgpack.packb((self._table.revision, buckets, pack_stamps(entries)))
        return DIGEST + packed

    def compare_sums(self, sender: str, peer_stamps: list[int]) -> Datagrams:
        """Returns digests of the buckets in which two tables differ.

        Raises ValueError if the number of sums is not the number of buckets.
        """
        offered = self._table.offered()
        own = _bucket_sums(offered)
        if len(peer_stamps) != len(own):
            raise ValueError(f"bucket sums: expected {len(own)}, got {len(peer_stamps)}")
        differing = {bucket for bucket, total in enumerate(own) if total != peer_stamps[bucket]}
        out: Datagrams = []
        while differing and len(out) < MAX_REPAIR_DATAGRAMS:
            step = 1 + len(differing) // MAX_DIGEST_BUCKETS
            batch_buckets = sorted(differing)[::step][:MAX_DIGEST_BUCKETS]
            entries = [entry for entry in offered if bucket_of(entry.key) in batch_buckets]
            while len(entries) > MAX_DIGEST_NODES and len(batch_buckets) > 1:
                batch_buckets = batch_buckets[: len(batch_buckets) // 2]
                entries = [entry for entry in offered if bucket_of(entry.key) in batch_buckets]
            differing -= set(batch_buckets)
            out.append((sender, self._digest(bytes(batch_buckets), entries[:MAX_DIGEST_NODES])))
        return out

    def compare(
        self, now: float, sender: str, buckets: bytes | None, peer_stamps: dict[int, int]
    ) -> Datagrams:
        """Sends a peer the entries that it lacks and requests the newer ones. `peer_stamps` is by key."""
        newer_entries: list[Entry] = []
        requested_keys: list[int] = []
        for entry in self._table.entries.values():
            if buckets is not None and bucket_of(entry.key) not in buckets:
                continue
            stamp = peer_stamps.pop(entry.key, None)
            if stamp is None:
                if not entry.is_hidden:
                    newer_entries.append(entry)
            elif stamp != entry.stamp:
                if now - entry.received_at < RECENT_ENTRY_S:
                    newer_entries.append(entry)
                else:
                    requested_keys.append(entry.key)
        requested_keys += peer_stamps
        out = self.repair(sender, newer_entries)
        if requested_keys:
            out.append((sender, ENTRY_REQUEST + pack_keys(requested_keys[:MAX_REQUESTED])))
        return out

    def repair(self, node: str, entries: Iterable[Entry]) -> Datagrams:
        """Sends entries to a node that lacks them."""
        known = self._table.entries.get(node)
        hops = NO_FORWARD_HOPS if known is None or known.zone == self._table.zone else REPAIR_HOPS
        packed = [entry.pack(hops) for entry in entries]
        return [(node, data) for data in pack_datagrams(RUMOUR, packed, MAX_REPAIR_DATAGRAMS)]

    def hand_over(self, node: str, names: Iterable[str], has_newer_revision: bool) -> Datagrams:
        """Sends a returning node the entries that it missed, and the newer revision if there is one."""
        table = self._table
        missed = [table.entries[name] for name in names if name in table.entries and name != node]
        out = self.repair(node, missed)
        if has_newer_revision:
            rumour = msgpack.packb((table.revision, key_of(table.local_node)))
            out.append((node, REVISION_RUMOUR + rumour))
        return out


def _bucket_sums(entries: Iterable[Entry]) -> list[int]:
    """Returns the XOR of the stamps in each bucket."""
    sums = [0] * BUCKETS
    for entry in entries:
        sums[bucket_of(entry.key)] ^= entry.stamp
    return sums
