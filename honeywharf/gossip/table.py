"""The table of news, its rumours and its digests, without I/O.

Theory of operation. Each node owns one entry, what it says of itself, and is the only one to number it;
the highest (incarnation, number) wins everywhere. What is new is gathered for 20 ms and passed on to
three peers, and once more to two: that reaches most nodes in a few hops. What rumours miss, digests
mend: every half second a node sends a summary of its table (16 bytes) to one peer; where it differs the
peer answers with a digest, and both send each other what the other lacks. Tables of more than 120 nodes
compare 256 sums by bucket first.

Some of what a node says is quiet (the revision of the word): it has no part in the number, is not passed
on, and travels in the head of summaries and digests. A node that settles a new word shouts it: a rumour
of its own.

A node that left is a tombstone. Tombstones and nodes held down are no more offered after 15 s and
dropped after 30 s; for a minute more nothing as old is taken again, and a node that so offers itself is
told its tombstone, which it refutes. Who hears of itself what it has not said (it was restarted with a
clock that is behind) jumps above that number and tells again.
"""

from __future__ import annotations

import msgpack  # type: ignore[import-untyped]

from honeywharf.gossip.entry import (
    ASK,
    DIGEST,
    ENTRY_SIZE,
    HELLO,
    RUMOUR,
    SUMMARY,
    SUMS,
    WORD,
    Entry,
    bucket_of,
    datagrams,
    element,
    key_of,
    keys_of,
    node_of,
    number_in,
    pairs,
    pairs_of,
)

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence
    from typing import Any, Protocol

    class Rng(Protocol):
        """Where chance comes from."""

        def random(self) -> float:
            """Even in [0, 1)."""


Sent = list[tuple[str, bytes]]  # (node, datagram)

NODES = 4096  # entries held, at most
QUIET = ("rev",)  # keys that have no part in the number
FAR_ZONES = 4  # other zones that a node tells its own changes to, one peer each, at most
GATHER = 0.02  # seconds that rumours wait for one another
AGAIN = 0.15  # seconds until what is new is passed on a second time
PEERS, PEERS_AGAIN = 3, 2  # that a rumour is passed on to, and to the second time
FAR_HOPS = 2  # hops within which a rumour is passed on to another zone
MEND, LAST = 14, 15  # hops of what is passed on within a zone that learns it by a digest, and of what is not
FLUSH = 64  # entries passed on at once, at most
HELLO_EVERY, DIGEST_EVERY, SWEEP_EVERY = 0.2, 0.5, 1.0  # seconds
STRAY_EVERY = 4  # digests between two to a node that is missing
OFFERED, KEPT, BURIED = 15.0, 30.0, 60.0  # seconds that a gone node is offered, kept, remembered as dropped
SMALL = 120  # nodes whose digest fits one datagram
MENDED = 16  # datagrams of entries in answer to one datagram
FRESH = 2.0  # seconds within which the own entry is taken for the newer one of two


class News:
    """One node's table. Calls get the time, in seconds on the steady clock, and return what to send."""

    __slots__ = (
        "_again", "_again_at", "_buried", "_digest_at", "_far", "_flush_at", "_fresh", "_hello_at", "_left",
        "_near", "_peers_known", "_rng", "_rounds", "_sum", "_sweep_at", "_word", "_word_at",
        "_word_known",
        "ignored", "me", "on_change", "on_word", "refused", "revision", "seeds", "table", "zone",
    )  # fmt: skip

    def __init__(
        self, me: str, zone: str, rng: Rng, say: dict[str, Any], incarnation: int, seeds: Sequence[str] = ()
    ) -> None:
        """`me`: the IPv4 address in dots. `incarnation`: higher with each start, if clocks allow."""
        self.me = me
        self.zone = zone
        self.seeds = tuple(seed for seed in seeds if seed != me)
        self.table: dict[str, Entry] = {}
        self.ignored = 0  # datagrams that were none of ours
        self.refused = 0  # nodes for which the table had no room
        self.on_change: Callable[[str, Entry | None, Entry | None], None] | None = None
        self.on_word: Callable[[int, str], None] | None = None
        self._rng = rng
        self._sum = 0
        self.revision = 0  # of the word, as this node says
        self._word: tuple[int, str] | None = None
        self._word_known = 0
        self._left = False
        self._fresh: dict[str, int] = {}  # hops by node, to be passed on
        self._again: dict[str, int] = {}
        self._buried: dict[str, tuple[int, int, float]] = {}  # version and when dropped
        self._near: list[str] = []  # live peers in the own zone
        self._far: list[str] = []
        self._peers_known = False
        self._rounds = 0
        self._hello_at = self._digest_at = self._sweep_at = 0.0  # when each is due
        self._flush_at = self._again_at = self._word_at = 0.0
        self._own(0.0, incarnation, 1, say)

    # What the node itself says.

    def tell(self, now: float, **say: object) -> None:
        """Change what this node says. Quiet keys are not passed on. ValueError where it grows too large."""
        if self._left:
            return
        mine = self.table[self.me]
        whole = {**(mine.say or {}), **say}
        if all(key in QUIET for key in say):
            mine.say = whole
            self.revision = whole.get("rev", 0)
            return
        self._own(now, mine.incarnation, mine.number + 1, whole)

    def refute(self, now: float) -> None:
        """Say the same under a new number, as a sign of life."""
        mine = self.table[self.me]
        if not self._left:
            self._own(now, mine.incarnation, mine.number + 1, mine.say)

    def leave(self, now: float) -> None:
        """Say that this node is gone; nothing more is said after the rumour is passed on."""
        mine = self.table[self.me]
        if not self._left:
            self._own(now, mine.incarnation, mine.number + 1, None)
            self._left = True
            self._flush_at = now

    def shout(self, now: float, revision: int) -> None:
        """Tell of a word that this node is the first to hold. `revision`: above all earlier ones."""
        self.tell(now, rev=revision)
        if revision > self._word_known:
            self._word_known = revision
            self._word, self._word_at = (revision, self.me), 0.0

    def held_down(self, now: float, node: str, down: bool) -> None:
        """Take a node for silent, or for alive again. Who is silent is no peer and dropped in time."""
        entry = self.table.get(node)
        if entry is None or entry.say is None or down == (entry.gone_at is not None):
            return
        self._peers_known = False
        if down:
            entry.gone_at = now
            return
        if entry.hidden:
            entry.hidden = False
            self._sum ^= entry.stamp
        entry.gone_at = None

    def _own(self, now: float, incarnation: int, number: int, say: dict[str, Any] | None) -> None:
        say = msgpack.unpackb(msgpack.packb(say))  # as its echo will: a tuple comes back as a list
        entry = Entry(key_of(self.me), incarnation, number, self.zone, say)
        if len(entry.pack(0)) > ENTRY_SIZE:
            raise ValueError(f"what {self.me} says is over {ENTRY_SIZE} bytes")
        self.revision = (say or {}).get("rev", 0) or self.revision
        self._put(now, self.me, entry, 0)

    # Time.

    def next(self, now: float) -> float:
        """When `tick` is due at the latest."""
        due = min(self._digest_at, self._sweep_at)
        if self._word:
            due = min(due, self._word_at)
        if self._fresh:
            due = min(due, self._flush_at)
        if self._again:
            due = min(due, self._again_at)
        if not self._left and not self._peers():
            due = min(due, self._hello_at)
        return due

    def tick(self, now: float) -> Sent:
        """Everything that is due."""
        if now >= self._sweep_at:
            self._sweep_at = now + SWEEP_EVERY
            self._sweep(now)
        out: Sent = []
        if self._word and now >= self._word_at:
            out += self._pass_word(now, self._word)
        if self._fresh and now >= self._flush_at:
            out += self._flush(now)
        if self._again and now >= self._again_at:
            out += self._flush_again()
        if not self._left:
            out += self._greet(now)
        return out

    def _greet(self, now: float) -> Sent:
        out: Sent = []
        if not self._peers() and now >= self._hello_at:
            self._hello_at = now + HELLO_EVERY
            hello = datagrams(HELLO, [self.table[self.me].pack(0)], 1)[0]
            out += [(seed, hello) for seed in self.seeds]
        if now >= self._digest_at:
            self._digest_at = now + DIGEST_EVERY * (0.75 + 0.5 * self._rng.random())
            out += [(node, self._summary()) for node in self._partners()]
        return out

    def _partners(self) -> list[str]:
        self._rounds += 1
        near = self._near if self._rng.random() < 0.75 else self._far
        chosen = self._some(near or self._near or self._far, 1)
        if self._rounds % STRAY_EVERY == 0:
            chosen += self._some(self._strays(), 1)
        return chosen

    def _strays(self) -> list[str]:
        """Those that are missing: held down, dropped, or seeds that nothing was heard of."""
        held = [node for node, entry in self.table.items() if entry.gone_at is not None and entry.say]
        seeds = [seed for seed in self.seeds if seed not in self.table]
        return held + seeds + [node for node in self._buried if node not in self.table]

    def _pass_word(self, now: float, word: tuple[int, str]) -> Sent:
        again = word == self._word and self._word_at > 0
        self._word, self._word_at = None if again else word, now + AGAIN
        data = WORD + msgpack.packb((word[0], key_of(word[1])))
        self._peers()
        to = self._some(self._near, 2 if self._far else 3) + self._some(self._far, 1 if self._near else 3)
        return [(node, data) for node in to]

    def _flush(self, now: float) -> Sent:
        batch = list(self._fresh.items())[:FLUSH]
        if not self._again:
            self._again_at = now + AGAIN
        for node, hop in batch:
            del self._fresh[node]
            if not self._left and hop < MEND:
                self._again[node] = hop
        if self._fresh:
            self._flush_at = now + GATHER
        self._peers()
        out = self._told(batch, self._some(self._near, PEERS if self._far else PEERS + 1))
        far = [(node, hop) for node, hop in batch if hop < FAR_HOPS]
        mine = [(node, hop) for node, hop in far if hop == 0]
        others = [(node, hop) for node, hop in far if hop]
        out += self._told(mine, self._one_each())
        return out + self._told(others, self._some(self._far, 1 if self._near else PEERS))

    def _one_each(self) -> list[str]:
        """One node of each other zone, of four at most."""
        by_zone: dict[str, list[str]] = {}
        for node in self._far:
            by_zone.setdefault(self.table[node].zone, []).append(node)
        zones = self._some(list(by_zone), FAR_ZONES)
        return [self._some(by_zone[zone], 1)[0] for zone in zones]

    def _flush_again(self) -> Sent:
        batch = list(self._again.items())
        self._again = {}
        self._peers()
        return self._told(batch, self._some(self._near or self._far, PEERS_AGAIN))

    def _told(self, batch: list[tuple[str, int]], to: list[str]) -> Sent:
        packed = [self.table[node].pack(hop) for node, hop in batch if node in self.table]
        told = datagrams(RUMOUR, packed, NODES)
        return [(node, data) for node in to for data in told]

    def _sweep(self, now: float) -> None:
        for node, entry in list(self.table.items()):
            if entry.gone_at is None or node == self.me:
                continue
            gone = now - entry.gone_at
            if gone > KEPT:
                self._drop(now, node, entry)
            elif gone > OFFERED and not entry.hidden:
                entry.hidden = True
                self._sum ^= entry.stamp
        for node, (_, _, at) in list(self._buried.items()):
            if now - at > BURIED:
                del self._buried[node]

    def _drop(self, now: float, node: str, entry: Entry) -> None:
        if not entry.hidden:
            self._sum ^= entry.stamp
        del self.table[node]
        self._fresh.pop(node, None)
        self._again.pop(node, None)
        self._peers_known = False
        if len(self._buried) < NODES:
            self._buried[node] = (entry.incarnation, entry.number, now)
        if self.on_change:
            self.on_change(node, None, entry)

    # Datagrams.

    def received(self, now: float, sender: str, data: bytes) -> Sent:
        """Answers to one datagram. What is none of ours is counted and has no effect."""
        try:
            return self._received(now, sender, data[:1], data[1:])
        except (ValueError, TypeError, LookupError, ArithmeticError, RecursionError, msgpack.UnpackException):
            self.ignored += 1
            return []

    def _received(self, now: float, sender: str, kind: bytes, body: bytes) -> Sent:
        if kind == RUMOUR:
            return self._take_all(now, sender, body)
        if kind == HELLO:
            return self._hello(now, sender, body)
        if kind == ASK:
            entries = [self.table.get(node_of(key)) for key in keys_of(body)]
            return self._mend(sender, [entry for entry in entries if entry is not None])
        if kind == WORD:
            revision, key = msgpack.unpackb(body)
            if not number_in(revision) or not number_in(key):
                raise ValueError("not a word")
            return self._heard_word(now, revision, node_of(key))
        if kind == SUMMARY:
            revision, total = msgpack.unpackb(body)
            self.holds(sender, revision)
            return [] if total == self._sum else self._differ(sender)
        if kind == SUMS:
            revision, sums = msgpack.unpackb(body)
            self.holds(sender, revision)
            return self._compare_sums(sender, keys_of(sums))
        if kind == DIGEST:
            revision, buckets, packed = msgpack.unpackb(body)
            self.holds(sender, revision)
            return self._compare(now, sender, buckets, pairs(packed))
        raise ValueError("unknown kind")

    def _hello(self, now: float, sender: str, body: bytes) -> Sent:
        """Who asks from here is sent the table, another one as many of its zone as one datagram holds."""
        out = self._take_all(now, sender, body)
        asker = self.table.get(sender)
        if asker is None or self._left:
            return out
        zone = asker.zone
        shown = [entry for entry in self._offered() if entry is not asker]
        shown.sort(key=lambda entry: (entry.zone != zone, entry.key != key_of(self.me)))
        most = MENDED if zone == self.zone else 1
        packed = [entry.pack(LAST) for entry in shown]
        return out + [(sender, data) for data in datagrams(RUMOUR, packed, most)]

    def holds(self, sender: str, revision: object) -> None:
        """Take over which revision of the word the sender holds. ValueError where it is none."""
        if not number_in(revision):
            raise ValueError("not a revision")
        entry = self.table.get(sender)
        if entry and entry.say is not None and sender != self.me and revision:
            _keep_revision({"rev": revision}, entry.say)
        if revision > self.revision and self.on_word:
            self.on_word(revision, sender)

    def _heard_word(self, now: float, revision: int, holder: str) -> Sent:
        if revision <= max(self._word_known, self.revision):
            return []
        self._word_known = revision
        self._word_at = 0.0
        out = self._pass_word(now, (revision, holder))
        if self.on_word:
            self.on_word(revision, holder)
        return out

    def _take_all(self, now: float, sender: str, body: bytes) -> Sent:
        back: list[Entry] = []
        for value in msgpack.unpackb(body):
            entry, hop = element(value)
            newer = self._take(now, sender, entry, hop)
            if newer:
                back.append(newer)
        return self._mend(sender, back)

    def _take(self, now: float, sender: str, entry: Entry, hop: int) -> Entry | None:
        """Take an entry over if it is newer. Returns the newer one where the sender is behind."""
        node = node_of(entry.key)
        if node == self.me:
            return self._of_me(now, entry)
        old = self.table.get(node)
        if old is None:
            buried = self._buried.get(node)
            if buried and entry.version[:2] <= buried[:2]:
                return Entry(entry.key, buried[0], buried[1], entry.zone, None) if sender == node else None
            if len(self.table) >= NODES:
                self.refused += 1
                return None
        elif entry.version <= old.version:
            return old if entry.version < old.version else None
        self._put(now, node, entry, hop if hop >= MEND else min(hop + 1, MEND - 1))
        return None

    def _of_me(self, now: float, entry: Entry) -> Entry | None:
        mine = self.table[self.me]
        if entry.version < mine.version:
            return mine
        if self._left or (entry.version == mine.version and _same(entry.say, mine.say)):
            return None
        self._own(now, entry.incarnation, entry.number + 1, mine.say)
        return None

    def _put(self, now: float, node: str, entry: Entry, hop: int) -> None:
        old = self.table.get(node)
        if old is not None:
            entry.zone = old.zone if entry.zone == old.zone else entry.zone
            if not old.hidden:
                self._sum ^= old.stamp
            if old.say and entry.say and old.incarnation == entry.incarnation and node != self.me:
                _keep_revision(old.say, entry.say)
        entry.received_at = now
        entry.gone_at = now if entry.say is None else None
        self._sum ^= entry.stamp
        self.table[node] = entry
        self._buried.pop(node, None)
        if old is None or old.gone_at != entry.gone_at or old.zone != entry.zone:
            self._peers_known = False
        if hop < LAST:
            if not self._fresh:
                self._flush_at = now + GATHER
            self._fresh[node] = hop
        if self.on_change and node != self.me:
            self.on_change(node, entry, old)

    # Digests.

    def _summary(self) -> bytes:
        packed: bytes = msgpack.packb((self.revision, self._sum))
        return SUMMARY + packed

    def _offered(self) -> list[Entry]:
        return [entry for entry in self.table.values() if not entry.hidden]

    def _differ(self, sender: str) -> Sent:
        offered = self._offered()
        if len(offered) <= SMALL:
            return [(sender, DIGEST + msgpack.packb((self.revision, None, pairs_of(offered))))]
        sums = b"".join([total.to_bytes(4, "big") for total in _sums(offered)])
        return [(sender, SUMS + msgpack.packb((self.revision, sums)))]

    def _compare_sums(self, sender: str, theirs: list[int]) -> Sent:
        offered = self._offered()
        mine = _sums(offered)
        if len(theirs) != len(mine):
            raise ValueError("not sums")
        differ = {at for at, total in enumerate(mine) if total != theirs[at]}
        out: Sent = []
        while differ and len(out) < MENDED:
            some = sorted(differ)[:: 1 + len(differ) // 24][:24]
            held = [entry for entry in offered if bucket_of(entry.key) in some]
            while len(held) > SMALL and len(some) > 1:
                some = some[: len(some) // 2]
                held = [entry for entry in offered if bucket_of(entry.key) in some]
            differ -= set(some)
            out.append((sender, DIGEST + msgpack.packb((self.revision, bytes(some), pairs_of(held[:SMALL])))))
        return out

    def _compare(self, now: float, sender: str, buckets: bytes | None, theirs: dict[int, int]) -> Sent:
        give: list[Entry] = []
        ask: list[int] = []
        for entry in self.table.values():
            if buckets is not None and bucket_of(entry.key) not in buckets:
                continue
            stamp = theirs.pop(entry.key, None)
            if stamp is None:
                if not entry.hidden:
                    give.append(entry)
            elif stamp != entry.stamp:
                if now - entry.received_at < FRESH:
                    give.append(entry)
                else:
                    ask.append(entry.key)
        ask += theirs
        out = self._mend(sender, give)
        if ask:
            out.append((sender, ASK + b"".join([key.to_bytes(4, "big") for key in ask[:300]])))
        return out

    def _mend(self, to: str, entries: Iterable[Entry]) -> Sent:
        known = self.table.get(to)
        hop = LAST if known is None or known.zone == self.zone else MEND
        packed = [entry.pack(hop) for entry in entries]
        return [(to, data) for data in datagrams(RUMOUR, packed, MENDED)]

    def handed(self, node: str, names: Iterable[str], word: bool) -> Sent:
        """What a node that was missing should have had: entries by name, and that there is a newer word."""
        out = self._mend(node, [self.table[name] for name in names if name in self.table and name != node])
        if word:
            out.append((node, WORD + msgpack.packb((self.revision, key_of(self.me)))))
        return out

    # Peers.

    def _peers(self) -> bool:
        """Whether there is any live peer; sorts them by zone after a change."""
        if not self._peers_known:
            self._peers_known = True
            had = bool(self._near or self._far)
            live = [entry for entry in self.table.values() if entry.gone_at is None]
            self._near = [node_of(entry.key) for entry in live if entry.zone == self.zone]
            self._far = [node_of(entry.key) for entry in live if entry.zone != self.zone]
            if self.me in self._near:
                self._near.remove(self.me)
            if not had and (self._near or self._far):
                self._digest_at = 0.0
        return bool(self._near or self._far)

    def _some(self, of: list[str], count: int) -> list[str]:
        """Different ones at random."""
        if len(of) <= count:
            return list(of)
        chosen: list[str] = []
        while len(chosen) < count:
            node = of[int(self._rng.random() * len(of))]
            if node not in chosen:
                chosen.append(node)
        return chosen


def _keep_revision(old: dict[str, Any], new: dict[str, Any]) -> None:
    """What was told since in heads is newer than what came with the entry."""
    known = old.get("rev", 0)
    if number_in(known) and known and not (number_in(new.get("rev")) and new["rev"] >= known):
        new["rev"] = known


def _same(told: dict[str, Any] | None, mine: dict[str, Any] | None) -> bool:
    """Whether both would travel as the same bytes: a tuple comes back as a list, and is no news."""
    return bool(msgpack.packb(_loud(told)) == msgpack.packb(_loud(mine)))


def _loud(say: dict[str, Any] | None) -> dict[str, Any] | None:
    return None if say is None else {key: value for key, value in say.items() if key not in QUIET}


def _sums(entries: Iterable[Entry]) -> list[int]:
    """Sums of stamps by bucket."""
    sums = [0] * 256
    for entry in entries:
        sums[bucket_of(entry.key)] ^= entry.stamp
    return sums
