"""The gossip protocol of one node: publishing, rumours and anti-entropy. No I/O, no clock.

Theory of operation. Each node owns one entry in the `table` of every node. Rumours spread changes
(`dissemination`), and table comparisons repair what the rumours miss (`anti_entropy`). One attribute is
unsequenced, the revision of the mesh state: a change of it does not advance the sequence number and is not
forwarded as a rumour of the entry; summaries, digests and heartbeats carry it. A node that commits a new
state broadcasts the revision in a rumour of its own kind. A node without live peers sends HELLO to the
seeds, which answer with their tables.
"""

from __future__ import annotations

import msgpack  # type: ignore[import-untyped]

from honeywharf.gossip.anti_entropy import MAX_REPAIR_DATAGRAMS, AntiEntropy
from honeywharf.gossip.dissemination import EntryRumours, RevisionRumours
from honeywharf.gossip.entry import (
    BUCKET_SUMS,
    DIGEST,
    ENTRY_REQUEST,
    HELLO,
    REVISION_RUMOUR,
    RUMOUR,
    SUMMARY,
    Entry,
    is_number,
    key_of,
    node_of,
    pack_datagrams,
    unpack_entry,
    unpack_keys,
    unpack_stamps,
)
from honeywharf.gossip.peers import LivePeers
from honeywharf.gossip.table import NO_FORWARD_HOPS, REVISION, GossipTable, is_unsequenced, keep_revision

TYPE_CHECKING = False  # Importing `typing` costs 1.3 MB in each process.
if TYPE_CHECKING:
    from collections.abc import Callable, Sequence
    from typing import Any

    from honeywharf.gossip.dissemination import Datagrams
    from honeywharf.gossip.peers import RandomSource

HELLO_INTERVAL_S, SWEEP_INTERVAL_S = 0.2, 1.0


class Gossip:
    """One node's gossip. Methods take the time, in seconds on the steady clock, and return datagrams to send.

    `on_newer_revision(revision, holder)` is called on each message that reports a revision above the local
    one.
    """

    __slots__ = (
        "_anti_entropy", "_hello_at", "_peers", "_revision_rumours", "_rumours", "_seeds", "_sweep_at",
        "malformed_datagrams", "on_newer_revision", "table",
    )  # fmt: skip

    def __init__(
        self,
        local_node: str,
        zone: str,
        random_source: RandomSource,
        attributes: dict[str, Any],
        incarnation: int,
        seeds: Sequence[str] = (),
    ) -> None:
        """`local_node` is an IPv4 address. `incarnation` rises with each start unless the clock went back."""
        self.table = GossipTable(local_node, zone)
        self.malformed_datagrams = 0
        self.on_newer_revision: Callable[[int, str], None] | None = None
        self._seeds = tuple(seed for seed in seeds if seed != local_node)
        self._peers = LivePeers(self.table, random_source)
        self._rumours = EntryRumours(self.table, self._peers)
        self._revision_rumours = RevisionRumours(self._peers)
        self._anti_entropy = AntiEntropy(self.table, self._peers, random_source, self._seeds)
        self._hello_at = self._sweep_at = 0.0  # The times at which each is due.
        self.table.put_own(0.0, incarnation, 1, attributes)

    # Publishing.

    def publish(self, now: float, **attributes: object) -> None:
        """Updates some of this node's attributes. Raises ValueError if the entry becomes too large."""
        table = self.table
        if table.has_local_node_left:
            return
        own = table.own
        changed = {**(own.attributes or {}), **attributes}
        if all(is_unsequenced(name) for name in attributes):
            own.attributes = changed
            table.revision = changed.get(REVISION, 0)
            return
        table.put_own(now, own.incarnation, own.sequence + 1, changed)

    def refute(self, now: float) -> None:
        """Publishes the same attributes under a new sequence number, to refute suspicions of this node."""
        own = self.table.own
        if not self.table.has_local_node_left:
            self.table.put_own(now, own.incarnation, own.sequence + 1, own.attributes)

    def leave(self, now: float) -> None:
        """Publishes that this node leaves. Nothing more is published after that rumour."""
        own = self.table.own
        if not self.table.has_local_node_left:
            self.table.put_own(now, own.incarnation, own.sequence + 1, None)
            self.table.has_local_node_left = True
            self._rumours.flush_now(now)

    def broadcast_revision(self, now: float, revision: int) -> None:
        """Spreads a revision that this node is among the first to hold. It is above all earlier ones."""
        self.publish(now, **{REVISION: revision})
        self._revision_rumours.add(revision, self.table.local_node)

    # Timers.

    def next(self, now: float) -> float:
        """Returns the time at which `tick` is due at the latest."""
        due = min(
            self._anti_entropy.next(), self._sweep_at, self._revision_rumours.next(), self._rumours.next()
        )
        if not self.table.has_local_node_left and not self._peers.refresh():
            due = min(due, self._hello_at)
        return due

    def tick(self, now: float) -> Datagrams:
        """Returns all datagrams that are due."""
        if now >= self._sweep_at:
            self._sweep_at = now + SWEEP_INTERVAL_S
            self.table.sweep(now)
        out = self._revision_rumours.tick(now) + self._rumours.tick(now)
        if not self.table.has_local_node_left:
            out += self._send_hello(now)
            out += self._anti_entropy.tick(now)
        return out

    def _send_hello(self, now: float) -> Datagrams:
        """Sends HELLO to the seeds while there are no live peers."""
        if self._peers.refresh() or now < self._hello_at:
            return []
        self._hello_at = now + HELLO_INTERVAL_S
        hello = pack_datagrams(HELLO, [self.table.own.pack(0)], 1)[0]
        return [(seed, hello) for seed in self._seeds]

    # Datagrams.

    def received(self, now: float, sender: str, data: bytes) -> Datagrams:
        """Returns the answers to one datagram. A malformed datagram is counted and has no effect."""
        try:
            return self._received(now, sender, data[:1], data[1:])
        except (ValueError, TypeError, LookupError, ArithmeticError, RecursionError, msgpack.UnpackException):
            self.malformed_datagrams += 1
            return []

    def _received(self, now: float, sender: str, kind: bytes, body: bytes) -> Datagrams:
        if kind == RUMOUR:
            return self._receive_entries(now, sender, body)
        if kind == HELLO:
            return self._answer_hello(now, sender, body)
        if kind == ENTRY_REQUEST:
            entries = [self.table.entries.get(node_of(key)) for key in unpack_keys(body)]
            return self._anti_entropy.repair(sender, [entry for entry in entries if entry is not None])
        if kind == REVISION_RUMOUR:
            revision, key = msgpack.unpackb(body)
            if not is_number(revision) or not is_number(key):
                raise ValueError("revision rumour: expected a revision and a key, got another value")
            return self._receive_revision(now, revision, node_of(key))
        if kind == SUMMARY:
            revision, checksum = msgpack.unpackb(body)
            self.note_revision(sender, revision)
            return self._anti_entropy.answer_summary(sender, checksum)
        if kind == BUCKET_SUMS:
            revision, sums = msgpack.unpackb(body)
            self.note_revision(sender, revision)
            return self._anti_entropy.compare_sums(sender, unpack_keys(sums))
        if kind == DIGEST:
            revision, buckets, stamps = msgpack.unpackb(body)
            self.note_revision(sender, revision)
            return self._anti_entropy.compare(now, sender, buckets, unpack_stamps(stamps))
        raise ValueError(f"datagram kind: expected a known one, got {kind!r}")

    def _receive_entries(self, now: float, sender: str, body: bytes) -> Datagrams:
        newer_entries: list[Entry] = []
        for value in msgpack.unpackb(body):
            entry, hops = unpack_entry(value)
            newer = self.table.receive(now, sender, entry, hops)
            if newer:
                newer_entries.append(newer)
        return self._anti_entropy.repair(sender, newer_entries)

    def _answer_hello(self, now: float, sender: str, body: bytes) -> Datagrams:
        """Sends a node of the same zone the table, and another node as many entries as fit one datagram."""
        out = self._receive_entries(now, sender, body)
        table = self.table
        requester = table.entries.get(sender)
        if requester is None or table.has_local_node_left:
            return out
        zone = requester.zone
        reply_entries = [entry for entry in table.offered() if entry is not requester]
        reply_entries.sort(key=lambda entry: (entry.zone != zone, entry.key != key_of(table.local_node)))
        limit = MAX_REPAIR_DATAGRAMS if zone == table.zone else 1
        packed = [entry.pack(NO_FORWARD_HOPS) for entry in reply_entries]
        return out + [(sender, data) for data in pack_datagrams(RUMOUR, packed, limit)]

    def note_revision(self, sender: str, revision: object) -> None:
        """Records the revision that the sender holds. Raises ValueError if it is not a revision."""
        if not is_number(revision):
            raise ValueError(f"revision: expected a number, got {type(revision).__name__}")
        table = self.table
        entry = table.entries.get(sender)
        if entry and entry.attributes is not None and sender != table.local_node and revision:
            keep_revision({REVISION: revision}, entry.attributes)
        if revision > table.revision and self.on_newer_revision:
            self.on_newer_revision(revision, sender)

    def _receive_revision(self, now: float, revision: int, holder: str) -> Datagrams:
        if revision <= max(self._revision_rumours.highest_revision, self.table.revision):
            return []
        out = self._revision_rumours.receive_rumour(now, revision, holder)
        if self.on_newer_revision:
            self.on_newer_revision(revision, holder)
        return out

    def hand_over(self, node: str, names: Sequence[str], has_newer_revision: bool) -> Datagrams:
        """Sends a returning node what it missed, see `AntiEntropy.hand_over`."""
        return self._anti_entropy.hand_over(node, names, has_newer_revision)
