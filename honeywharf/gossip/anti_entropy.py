"""Finds and repairs what rumours missed, by comparing tables with one peer at a time. No I/O, no clock.

Every `DIGEST_INTERVAL_S` a node sends a summary of its table (16 bytes) to one peer. Where that differs
from the peer's own, the peer answers with a digest, and both send each other what the other lacks. Tables
of more than `MAX_DIGEST_NODES` compare sums by bucket first.
"""

from __future__ import annotations

import msgpack  # type: ignore[import-untyped]

from honeywharf.gossip.entry import (
    BUCKET_SUMS,
    BUCKETS,
    DIGEST,
    ENTRY_REQUEST,
    KEY_SIZE,
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
from honeywharf.gossip.table import FINAL_HOPS, REPAIR_HOPS

TYPE_CHECKING = False  # `typing` is 1.3 MB in each process
if TYPE_CHECKING:
    from collections.abc import Iterable

    from honeywharf.gossip.dissemination import Datagrams
    from honeywharf.gossip.peers import LivePeers, RandomSource
    from honeywharf.gossip.table import GossipTable

DIGEST_INTERVAL_S = 0.5
NEAR_SHARE = 0.75  # of the digests that go to a peer of the own zone
STRAY_INTERVAL = 4  # digests between two to a node that is missing
MAX_DIGEST_NODES = 120  # whose digest fits one datagram
MAX_DIGEST_BUCKETS = 24  # in one digest
MAX_REPAIR_DATAGRAMS = 16  # of entries in answer to one datagram
MAX_REQUESTED = 300  # entries in one request
FRESH_S = 2.0  # within which the own entry is taken for the newer one of two


class AntiEntropy:
    """One node's comparisons. `seeds`: nodes to look for though nothing is known of them."""

    __slots__ = ("_due_at", "_peers", "_random", "_rounds", "_seeds", "_table")

    def __init__(
        self, table: GossipTable, peers: LivePeers, random_source: RandomSource, seeds: tuple[str, ...]
    ) -> None:
        self._table, self._peers, self._random, self._seeds = table, peers, random_source, seeds
        self._rounds = 0
        self._due_at = 0.0
        peers.on_first_peer = self.compare_now

    def compare_now(self) -> None:
        """Send the next summary at the next tick."""
        self._due_at = 0.0

    def next(self) -> float:
        """When `tick` is due."""
        return self._due_at

    def tick(self, now: float) -> Datagrams:
        """The summaries that are due."""
        if now < self._due_at:
            return []
        self._due_at = now + DIGEST_INTERVAL_S * (0.75 + 0.5 * self._random.random())
        return [(node, self.summary()) for node in self._partners()]

    def _partners(self) -> list[str]:
        self._rounds += 1
        peers = self._peers
        preferred = peers.near if self._random.random() < NEAR_SHARE else peers.far
        chosen = peers.choose(preferred or peers.near or peers.far, 1)
        if self._rounds % STRAY_INTERVAL == 0:
            chosen += peers.choose(self._strays(), 1)
        return chosen

    def _strays(self) -> list[str]:
        """Those that are missing: held down, dropped, or seeds that nothing is known of."""
        entries = self._table.entries
        down = [node for node, entry in entries.items() if entry.gone_at is not None and entry.attributes]
        seeds = [seed for seed in self._seeds if seed not in entries]
        return down + seeds + [node for node in self._table.dropped if node not in entries]

    def summary(self) -> bytes:
        """The datagram that begins a comparison."""
        packed: bytes = msgpack.packb((self._table.revision, self._table.checksum))
        return SUMMARY + packed

    def answer_summary(self, sender: str, checksum: object) -> Datagrams:
        """What a peer's summary is answered with: nothing where the tables are equal."""
        return [] if checksum == self._table.checksum else self.digest_for(sender)

    def digest_for(self, sender: str) -> Datagrams:
        """A digest of the whole table, or sums by bucket where that is too large."""
        offered = self._table.offered()
        if len(offered) <= MAX_DIGEST_NODES:
            return [(sender, self._digest(None, offered))]
        sums = b"".join([total.to_bytes(KEY_SIZE, "big") for total in _bucket_sums(offered)])
        return [(sender, BUCKET_SUMS + msgpack.packb((self._table.revision, sums)))]

    def _digest(self, buckets: bytes | None, entries: list[Entry]) -> bytes:
        packed: bytes = msgpack.packb((self._table.revision, buckets, pack_stamps(entries)))
        return DIGEST + packed

    def compare_sums(self, sender: str, theirs: list[int]) -> Datagrams:
        """Digests of the buckets in which two tables differ. ValueError where these are no sums."""
        offered = self._table.offered()
        own = _bucket_sums(offered)
        if len(theirs) != len(own):
            raise ValueError("not sums")
        differing = {bucket for bucket, total in enumerate(own) if total != theirs[bucket]}
        out: Datagrams = []
        while differing and len(out) < MAX_REPAIR_DATAGRAMS:
            step = 1 + len(differing) // MAX_DIGEST_BUCKETS
            some = sorted(differing)[::step][:MAX_DIGEST_BUCKETS]
            entries = [entry for entry in offered if bucket_of(entry.key) in some]
            while len(entries) > MAX_DIGEST_NODES and len(some) > 1:
                some = some[: len(some) // 2]
                entries = [entry for entry in offered if bucket_of(entry.key) in some]
            differing -= set(some)
            out.append((sender, self._digest(bytes(some), entries[:MAX_DIGEST_NODES])))
        return out

    def compare(self, now: float, sender: str, buckets: bytes | None, theirs: dict[int, int]) -> Datagrams:
        """Send a peer what it lacks, and ask for what it has newer. `theirs`: its stamps by key."""
        newer_here: list[Entry] = []
        wanted: list[int] = []
        for entry in self._table.entries.values():
            if buckets is not None and bucket_of(entry.key) not in buckets:
                continue
            stamp = theirs.pop(entry.key, None)
            if stamp is None:
                if not entry.is_hidden:
                    newer_here.append(entry)
            elif stamp != entry.stamp:
                if now - entry.received_at < FRESH_S:
                    newer_here.append(entry)
                else:
                    wanted.append(entry.key)
        wanted += theirs
        out = self.repair(sender, newer_here)
        if wanted:
            out.append((sender, ENTRY_REQUEST + pack_keys(wanted[:MAX_REQUESTED])))
        return out

    def repair(self, node: str, entries: Iterable[Entry]) -> Datagrams:
        """Send entries to a node that lacks them."""
        known = self._table.entries.get(node)
        hops = FINAL_HOPS if known is None or known.zone == self._table.zone else REPAIR_HOPS
        packed = [entry.pack(hops) for entry in entries]
        return [(node, data) for data in pack_datagrams(RUMOUR, packed, MAX_REPAIR_DATAGRAMS)]

    def hand_over(self, node: str, names: Iterable[str], has_newer_revision: bool) -> Datagrams:
        """What a node that was missing should have had.

        Entries by name, and that there is a newer revision.
        """
        table = self._table
        missed = [table.entries[name] for name in names if name in table.entries and name != node]
        out = self.repair(node, missed)
        if has_newer_revision:
            rumour = msgpack.packb((table.revision, key_of(table.local_node)))
            out.append((node, REVISION_RUMOUR + rumour))
        return out


def _bucket_sums(entries: Iterable[Entry]) -> list[int]:
    """Sums of stamps by bucket."""
    sums = [0] * BUCKETS
    for entry in entries:
        sums[bucket_of(entry.key)] ^= entry.stamp
    return sums
