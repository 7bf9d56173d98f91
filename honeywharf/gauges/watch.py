"""Who is silent: beats to three watchers, doubts, and the verdict when two share one. Without I/O.

Theory of operation. Each node sends a beat of one byte to the three nodes after it on the ring of live
nodes, every 0.4 s. A watcher that has heard nothing from one for 1.6 s doubts it, under the version of
the entry that it knows; its doubts stand in what it says of itself, so news carries and mends them, and
a doubter's end ends them. A node is down when two live nodes doubt its present version, or all its
watchers where there are fewer; it stays down until it is heard of under a newer version. Who is doubted
tells itself anew, which ends all doubts of it. A watcher that itself woke late or hears nobody blames
nobody until it has been well for 1.6 s. A watcher whose doubt was refuted although it still hears
nothing (a link that is cut one way) waits twice as long the next time, up to 25 s. Whoever follows a
down node on the ring takes over the doubt of it, so that those who arrive later learn it too.
"""

from __future__ import annotations

from honeywharf.gauges.ring import Ring
from honeywharf.runnel.entry import key_of, node_of, number_in

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from honeywharf.runnel.entry import Entry

BEAT = b"t"  # first byte of a beat, and all of it
BEAT_EVERY = 0.4  # seconds
SILENT = 1.6  # seconds without a sign
LATE = 0.3  # seconds that a call may come late
WATCHERS = 3
NEEDED = 2  # doubts
PATIENCE = 16  # times SILENT, at most
DOUBTS = 16  # told by one node, at most


class Watch:
    """One node's part. `entries`: the table of news; `tell` is called with the doubts that it is to tell."""

    __slots__ = (
        "_against", "_doubts", "_due", "_entries", "_heard", "_heard_any", "_me", "_patience",
        "_unwell_until", "down", "on_down", "on_refute", "on_up", "ring", "tell",
    )  # fmt: skip

    def __init__(self, me: str, entries: Mapping[str, Entry]) -> None:
        self._me = me
        self._entries = entries
        self.ring = Ring()
        self.ring.add(me)
        self.down: dict[str, float] = {}  # since when
        self.on_down: Callable[[str], None] | None = None
        self.on_up: Callable[[str], None] | None = None
        self.on_refute: Callable[[], None] | None = None  # somebody doubts this node
        self.tell: Callable[[list[tuple[int, int, int]]], None] | None = None  # (key, incarnation, number)
        self._against: dict[str, dict[str, tuple[int, int]]] = {}  # doubted: doubter: version
        self._doubts: dict[str, tuple[int, int]] = {}  # the own ones
        self._heard: dict[str, float] = {}  # those watched only
        self._heard_any = 0.0
        self._patience: dict[str, int] = {}  # those watched only, times SILENT
        self._due = 0.0
        self._unwell_until = 0.0

    def next(self, now: float) -> float:
        """When `tick` is due."""
        return self._due

    def heard(self, now: float, node: str) -> None:
        """A datagram came from a node."""
        self._heard_any = now
        if node in self._heard:
            self._heard[node] = now
            self._patience.pop(node, None)

    def tick(self, now: float) -> list[tuple[str, bytes]]:
        """Beats, and the doubts of those that are silent."""
        if now < self._due:
            return []
        if (self._due and now - self._due > LATE) or now - self._heard_any > SILENT:
            self._unwell_until = now + SILENT
        self._due = now + BEAT_EVERY
        self._look(now)
        return [(node, BEAT) for node in self.ring.watchers(self._me, WATCHERS)]

    def _look(self, now: float) -> None:
        watched = self.ring.watched(self._me, WATCHERS)
        taken = [node for node in self.down if self._me in self.ring.watchers(node, WATCHERS)]
        kept = {*watched, *taken}
        for node in [node for node in self._heard if node not in kept]:
            del self._heard[node]
            self._patience.pop(node, None)
        if now < self._unwell_until:
            for node in watched:
                self._heard[node] = now
        doubts: dict[str, tuple[int, int]] = {}
        for node in watched + taken:
            since = self._heard.setdefault(node, 0.0 if node in self.down else now)
            entry = self._entries.get(node)
            if entry and now - since > SILENT * self._patience.get(node, 1) and len(doubts) < DOUBTS:
                doubts[node] = (entry.incarnation, entry.number)
        if doubts != self._doubts:
            self._own(now, doubts)

    def _own(self, now: float, doubts: dict[str, tuple[int, int]]) -> None:
        self._count(self._me, self._doubts, doubts)
        changed = {*self._doubts, *doubts}
        self._doubts = doubts
        if self.tell:
            self.tell([(key_of(node), *version) for node, version in doubts.items()])
        for node in changed:
            self._judge(now, node)

    def changed(self, now: float, node: str, entry: Entry | None, old: Entry | None) -> None:
        """News of another node were taken over; None: it was dropped."""
        self._count(node, _doubts_in(old), _doubts_in(entry))
        if entry is None or entry.say is None:
            self._gone(node)
        else:
            self._alive(now, node, new=old is None or old.version != entry.version)
        for doubted in {*_doubts_in(old), *_doubts_in(entry)}:
            self._judge(now, doubted)

    def _gone(self, node: str) -> None:
        self.ring.remove(node)
        self.down.pop(node, None)
        self._against.pop(node, None)

    def _alive(self, now: float, node: str, new: bool) -> None:
        if new and node in self._heard:
            if self._doubts.get(node):
                self._patience[node] = min(PATIENCE, 2 * self._patience.get(node, 1))
            self._heard[node] = now
        self.ring.add(node)
        if self.down.pop(node, None) is not None and self.on_up:
            self.on_up(node)
        self._judge(now, node)

    def _count(self, doubter: str, old: dict[str, tuple[int, int]], new: dict[str, tuple[int, int]]) -> None:
        for node in old:
            held = self._against.get(node)
            if held and node not in new:
                held.pop(doubter, None)
                if not held:
                    del self._against[node]
        for node, version in new.items():
            if node in self._entries:
                self._against.setdefault(node, {})[doubter] = version

    def _judge(self, now: float, node: str) -> None:
        entry = self._entries.get(node)
        against = self._against.get(node)
        if entry is None or entry.say is None or not against or node in self.down:
            return
        version = (entry.incarnation, entry.number)
        doubters = [by for by, doubted in against.items() if doubted >= version and by not in self.down]
        if node == self._me:
            if doubters and self.on_refute:
                self.on_refute()
            return
        if len(doubters) >= min(NEEDED, len(self.ring.watchers(node, WATCHERS))):
            self.ring.remove(node)
            self.down[node] = now
            if self.on_down:
                self.on_down(node)


def _doubts_in(entry: Entry | None) -> dict[str, tuple[int, int]]:
    """What an entry doubts; what is not understood is left out."""
    told = entry.say.get("doubts") if entry and entry.say else None
    doubts: dict[str, tuple[int, int]] = {}
    if not isinstance(told, (list, tuple)):
        return doubts
    for one in told[:DOUBTS]:
        if isinstance(one, (list, tuple)) and len(one) == 3 and all(number_in(value) for value in one):
            doubts[node_of(one[0] & 0xFFFFFFFF)] = (one[1], one[2])
    return doubts
