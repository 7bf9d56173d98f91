"""News and watch joined on one host: what a program uses to know the others."""

from __future__ import annotations

from honeywharf.failure_detector.watch import BEAT, INQUIRY, PROBE, TESTIMONY, Watch
from honeywharf.gossip.table import News

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from honeywharf.gossip.entry import Entry
    from honeywharf.hinted_handoff.gossip_hints import GossipHintStore
    from honeywharf.transport.host import Address, Host, Timer


SOONEST = 0.001  # seconds to the next turn, at least: timers and sums of times round differently


class Draws:
    """A small generator of chance (xorshift, 64 bits), so that the library's need not be loaded."""

    __slots__ = ("_state",)

    def __init__(self, seed: bytes) -> None:
        self._state = int.from_bytes(seed[:8], "big") | 1

    def random(self) -> float:
        """Even in [0, 1)."""
        state = self._state
        state ^= state << 13 & 0xFFFFFFFFFFFFFFFF
        state ^= state >> 7
        state ^= state << 17 & 0xFFFFFFFFFFFFFFFF
        self._state = state
        return (state >> 11) / (1 << 53)


class Membership:
    """All nodes, as one of them knows them. Callbacks are attributes, to be set before the first news come.

    on_change(node, entry, old): news of another node; entry None: dropped; entry.say None: it has left.
    on_word(revision, holder): there is a word above the `rev` that this node tells; called until it tells it.
    on_down(node), on_up(node): another node is held silent, or alive again.
    """

    __slots__ = (
        "_host", "_port", "_stopped", "_timer", "_timer_at", "hinted_handoff", "keeps", "news", "on_change",
        "on_down", "on_up", "on_word", "watch",
    )  # fmt: skip

    def __init__(
        self,
        host: Host,
        ip: str,
        port: int,
        zone: str,
        seeds: Sequence[str],
        say: dict[str, object],
        incarnation: int,
    ) -> None:
        """Listen on (ip, port) and say hello to `seeds` (IPv4 addresses in dots) at the next turn."""
        self._host = host
        self._port = port
        self._stopped = False
        self.hinted_handoff: GossipHintStore | None = (
            None  # for the missing ones that this node watches, once one was
        )
        self.keeps = True  # False: leave it to the digests
        self.on_change: Callable[[str, Entry | None, Entry | None], None] | None = None
        self.on_word: Callable[[int, str], None] | None = None
        self.on_down: Callable[[str], None] | None = None
        self.on_up: Callable[[str], None] | None = None
        self.news = News(ip, zone, Draws(host.random(8)), say, incarnation, seeds)
        self.watch = Watch(ip, zone, self.news.table)
        self.news.on_change = self._changed
        self.news.on_word = self._word
        self.watch.tell = self._doubts
        self.watch.on_refute = self._refute
        self.watch.on_down = self._down
        self.watch.on_up = self._up
        host.datagrams((ip, port), self._received)
        self._timer_at = host.now()
        self._timer: Timer = host.after(0.0, self._tick)

    def tell(self, **say: object) -> None:
        """Change what this node says; other keys stay. `doubts` is taken. ValueError above 1,200 bytes."""
        self.news.tell(self._host.now(), **say)
        self._rearm()

    def shout_word(self, revision: int) -> None:
        """Tell all of a word that was settled here; sets `rev` too."""
        self.news.shout(self._host.now(), revision)
        self._rearm()

    def entries(self) -> dict[str, Entry]:
        """All entries by node, with the own one and tombstones. Not to be changed."""
        return self.news.table

    def alive(self, node: str) -> bool:
        """Known, not gone and not held silent."""
        entry = self.news.table.get(node)
        return entry is not None and entry.say is not None and node not in self.watch.down

    def leave(self) -> None:
        """Tell all that this node goes. It goes on answering until `stop`."""
        now = self._host.now()
        self.news.leave(now)
        self._send(self.news.tick(now))

    def stop(self) -> None:
        """Do nothing more."""
        self._stopped = True
        self._timer.cancel()

    # From the host.

    def _received(self, sender: Address, data: bytes) -> None:
        if self._stopped or sender[1] != self._port or not data:
            return
        now = self._host.now()
        self.watch.heard(now, sender[0])
        if self.hinted_handoff is not None and sender[0] in self.hinted_handoff:
            self._send(self._hand_over(sender[0]))
        kind = data[:1]
        if kind == BEAT and len(data) <= 8:
            self.news.holds(sender[0], int.from_bytes(data[1:], "big"))
        elif kind == PROBE:
            self._send([(sender[0], self.watch.beat())])
        elif kind == INQUIRY:
            self._send(self.watch.inquired(now, sender[0], data[1:]))
        elif kind == TESTIMONY:
            self.watch.testified(now, data[1:])
        else:
            self._send(self.news.received(now, sender[0], data))
        self._rearm()

    def _tick(self) -> None:
        if self._stopped:
            return
        now = self._host.now()
        self.watch.revision = self.news.revision
        self._send(self.watch.tick(now))
        self._send(self.news.tick(now))
        if self.watch.missing or self.hinted_handoff is not None:
            self._keep(now)
        self._timer_at = self._next(now)
        self._timer = self._host.after(max(SOONEST, self._timer_at - now), self._tick)

    def _next(self, now: float) -> float:
        return min(self.news.next(now), self.watch.next(now))

    def _rearm(self) -> None:
        now = self._host.now()
        due = self._next(now)
        if due < self._timer_at and not self._stopped:
            self._timer.cancel()
            self._timer_at = due
            self._timer = self._host.after(max(SOONEST, due - now), self._tick)

    def _send(self, sent: list[tuple[str, bytes]]) -> None:
        for node, data in sent:
            self._host.send_datagram((node, self._port), data)

    # For those who are missing.

    def _keep(self, now: float) -> None:
        """Keep what the missing ones should have."""
        if self.hinted_handoff is None:
            if not self.keeps:
                return
            from honeywharf.hinted_handoff.gossip_hints import (
                GossipHintStore,  # most nodes are never missed by this one
            )

            self.hinted_handoff = GossipHintStore(self._host.log)
        table = self.news.table
        self.hinted_handoff.update(
            now,
            self.watch.missing,
            self.news.revision,
            ((node, entry.received_at, len(entry.pack(0))) for node, entry in table.items()),
        )

    def _hand_over(self, node: str) -> list[tuple[str, bytes]]:
        """It is heard again: what it should have had, if this one is to tell; before its first digest."""
        assert self.hinted_handoff is not None
        names, word = self.hinted_handoff.take(node, self.news.revision)
        entry = self.news.table.get(node)
        if entry is None or not self.watch.first(node, entry.zone):
            return []
        return self.news.handed(node, names, word)

    # From the rules.

    def _changed(self, node: str, entry: Entry | None, old: Entry | None) -> None:
        self.watch.changed(self._host.now(), node, entry, old)
        if self.hinted_handoff is not None and entry is not None:
            if old is None or old.incarnation != entry.incarnation:
                self.hinted_handoff.restarted(node)
            self.hinted_handoff.entry_changed(node, len(entry.pack(0)))
        if self.on_change:
            self.on_change(node, entry, old)

    def _word(self, revision: int, holder: str) -> None:
        if self.on_word:
            self.on_word(revision, holder)

    def _doubts(self, doubts: list[tuple[int, int, int]]) -> None:
        self.news.tell(self._host.now(), doubts=doubts)

    def _refute(self) -> None:
        self.news.refute(self._host.now())

    def _down(self, node: str) -> None:
        self.news.held_down(self._host.now(), node, True)
        if self.on_down:
            self.on_down(node)

    def _up(self, node: str) -> None:
        self.news.held_down(self._host.now(), node, False)
        if self.on_up:
            self.on_up(node)
