"""Who is silent: beats to a few watchers, doubts, and the verdict when two share one. Without I/O.

Theory of operation. Each node sends a beat of a few bytes to its watchers on the rings of live nodes:
two in its zone every 0.4 s, two elsewhere every 0.8 s. A watcher that has heard nothing from one for 1 s
(1.6 s from elsewhere) asks it for a beat, and after 1.6 s (2.4 s) doubts it, under the version of the
entry that it knows. A watcher elsewhere also asks the node's other watcher elsewhere, and counts what that
one heard of the node itself as if it had heard it at that time: where two zones lose each other, nobody is
doubted whom a third zone hears. Its doubts stand in what it says of itself, so news carries and mends them,
and a doubter's end ends them. A node is down when two live nodes doubt its present version, or one where all
its other watchers are doubted too (their zones are out of sight); it stays down until it is heard of
under a newer version. Who is doubted tells itself anew, which ends all doubts of it.

A watcher that itself woke late or hears nobody blames nobody until it has been well for 1.6 s. A watcher
whose doubt was refuted although it still hears nothing (a link that is cut one way) waits twice as long
the next time, up to 25 s. Whoever follows a down node on the rings takes over the doubt of it, so that
those who arrive later learn it too.
"""

from __future__ import annotations

from honeywharf.failure_detector.ring import Rings
from honeywharf.gossip.entry import key_of, node_of, number_in

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from honeywharf.gossip.entry import Entry

BEAT = b"t"  # and the revision that the sender holds, in as few bytes as it takes (none for 0)
PROBE = b"p"  # answered with a beat
INQUIRY = b"q"  # and the key, 4 bytes, of a node that the sender does not hear: has the receiver heard it?
TESTIMONY = b"v"  # the key, and how many milliseconds ago the sender heard the node itself, 2 bytes
BEAT_EVERY = 0.4  # seconds; to watchers elsewhere every second time
ASKED, SILENT = 1.0, 1.6  # seconds without a sign until it is asked for one, and doubted
ELSEWHERE = 1.5  # times as long for nodes of other zones, nearly
LATE = 0.3  # seconds that a call may come late
NEEDED = 2  # doubts
PATIENCE = 16  # times as long, at most
DOUBTS = 16  # told by one node, at most
KEY_SIZE, AGE_SIZE = 4, 2  # bytes in an inquiry and a testimony


class Watch:
    """One node's part. `entries`: the table of news; `tell` is called with the doubts that it is to tell."""

    __slots__ = (
        "_against", "_doubts", "_due", "_entries", "_heard", "_heard_any", "_me", "_odd", "_patience",
        "_signs", "_unwell_until", "_zone", "down", "missing", "on_down", "on_refute", "on_up", "revision",
        "rings", "tell",
    )  # fmt: skip

    def __init__(self, me: str, zone: str, entries: Mapping[str, Entry]) -> None:
        self._me = me
        self._zone = zone
        self._entries = entries
        self.rings = Rings()
        self.rings.add(me, zone)
        self.down: dict[str, float] = {}  # since when
        self.missing: dict[str, float] = {}  # those watched that owe a sign, and when they last gave one
        self.on_down: Callable[[str], None] | None = None
        self.on_up: Callable[[str], None] | None = None
        self.on_refute: Callable[[], None] | None = None  # somebody doubts this node
        self.tell: Callable[[list[tuple[int, int, int]]], None] | None = None  # (key, incarnation, number)
        self.revision = 0  # told with each beat
        self._against: dict[str, dict[str, tuple[int, int]]] = {}  # doubted: doubter: version
        self._doubts: dict[str, tuple[int, int]] = {}  # the own ones
        self._heard: dict[str, float] = {}  # those watched only
        self._signs: dict[str, float] = {}  # those watched only: when a datagram of their own came
        self._heard_any = 0.0
        self._patience: dict[str, int] = {}  # those watched only, times as long
        self._due = 0.0
        self._odd = False
        self._unwell_until = 0.0

    def next(self, now: float) -> float:
        """When `tick` is due."""
        return self._due

    def heard(self, now: float, node: str) -> None:
        """A datagram came from a node."""
        self._heard_any = now
        if node in self._heard:
            self._heard[node] = self._signs[node] = now
            self._patience.pop(node, None)
            self.missing.pop(node, None)

    def inquired(self, now: float, asker: str, about: bytes) -> list[tuple[str, bytes]]:
        """The answer to an inquiry: none where this node has heard nothing lately either."""
        node = node_of(int.from_bytes(about, "big"))
        if len(about) != KEY_SIZE or node not in self._signs:
            return []
        age = now - self._signs[node]
        if age > ASKED * ELSEWHERE:
            return []
        return [(asker, TESTIMONY + about + round(1000.0 * age).to_bytes(AGE_SIZE, "big"))]

    def testified(self, now: float, testimony: bytes) -> None:
        """Another watcher has heard a node: as good as a sign of that time. What is malformed is ignored."""
        if len(testimony) != KEY_SIZE + AGE_SIZE:
            return
        node = node_of(int.from_bytes(testimony[:KEY_SIZE], "big"))
        heard_at = now - int.from_bytes(testimony[KEY_SIZE:], "big") / 1000.0
        if node in self._heard and node not in self.down:
            self._heard[node] = max(self._heard[node], heard_at)

    def _inquiries(self, silent: list[str]) -> list[tuple[str, bytes]]:
        """Questions to the other watchers elsewhere of nodes of other zones that are silent here."""
        out: list[tuple[str, bytes]] = []
        for node in silent:
            zone = self._entries[node].zone
            if zone != self._zone:
                question = INQUIRY + key_of(node).to_bytes(KEY_SIZE, "big")
                witnesses = self.rings.watchers(node, zone)[1]
                out += [(by, question) for by in witnesses if by != self._me]
        return out

    def beat(self) -> bytes:
        """What is sent to each watcher, and to who asks."""
        return BEAT + self.revision.to_bytes((self.revision.bit_length() + 7) // 8, "big")

    def tick(self, now: float) -> list[tuple[str, bytes]]:
        """Beats, questions, and the doubts of those that are silent."""
        if now < self._due:
            return []
        if (self._due and now - self._due > LATE) or now - self._heard_any > SILENT:
            self._unwell_until = now + SILENT
        self._due = now + BEAT_EVERY
        self._odd = not self._odd
        beat = self.beat()
        near, far = self.rings.watchers(self._me, self._zone)
        silent = self._look(now)
        out = [(node, PROBE) for node in silent] + self._inquiries(silent)
        return out + [(node, beat) for node in (near + far if self._odd else near)]

    def _look(self, now: float) -> list[str]:
        """Judge those watched. Returns those to be asked for a beat."""
        near, far = self.rings.watched(self._me, self._zone)
        taken = [node for node in self.down if self._takes(node)]
        self._forget({*near, *far, *taken})
        doubts: dict[str, tuple[int, int]] = {}
        asked: list[str] = []
        for node in near + far + taken:
            if now < self._unwell_until and node not in self.down:
                self._heard[node] = now
            silent = now - self._heard.setdefault(node, now - ASKED if node in self.down else now)
            times = ELSEWHERE if node in far else 1.0
            if silent > ASKED * times:
                self.missing.setdefault(node, now - silent)
                if node not in self.down:
                    asked.append(node)
            if silent > SILENT * times * self._patience.get(node, 1) and len(doubts) < DOUBTS:
                entry = self._entries[node]
                doubts[node] = (entry.incarnation, entry.number)
        if doubts != self._doubts:
            self._own(now, doubts)
        for node in list(self._against):  # the rings may have changed
            self._judge(now, node)
        return asked

    def _takes(self, node: str) -> bool:
        near, far = self.rings.watchers(node, self._entries[node].zone)
        return self._me in near or self._me in far

    def _forget(self, kept: set[str]) -> None:
        for node in [node for node in self._heard if node not in kept]:
            del self._heard[node]
            self._signs.pop(node, None)
            self._patience.pop(node, None)
            self.missing.pop(node, None)

    def first(self, node: str, zone: str) -> bool:
        """Whether this one is the first of a node's live watchers in its own zone, or the first elsewhere."""
        near, far = self.rings.watchers(node, zone)
        return self._me in near[:1] + far[:1]

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
        before, after = _doubts_in(old), _doubts_in(entry)
        self._count(node, before, after)
        if entry is None or entry.say is None:
            self._gone(node)
        else:
            self._alive(now, node, entry)
        for doubted in {*before, *after}:
            self._judge(now, doubted)

    def _gone(self, node: str) -> None:
        self.rings.remove(node)
        self.missing.pop(node, None)
        self.down.pop(node, None)
        self._against.pop(node, None)

    def _alive(self, now: float, node: str, entry: Entry) -> None:
        if node in self._heard:
            if node in self._doubts:
                self._patience[node] = min(PATIENCE, 2 * self._patience.get(node, 1))
            self._heard[node] = now
        self.rings.add(node, entry.zone)
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
        doubters = self._doubters(node)
        if not doubters or node in self.down:
            return
        if node == self._me:
            if self.on_refute:
                self.on_refute()
            return
        near, far = self.rings.watchers(node, self._entries[node].zone)
        able = [by for by in near + far if by not in doubters and not self._doubters(by)]
        if len(doubters) >= min(NEEDED, len(doubters) + len(able)):
            self.rings.remove(node)
            self.down[node] = now
            if self.on_down:
                self.on_down(node)

    def _doubters(self, node: str) -> list[str]:
        """Who doubts the present version of a node."""
        against = self._against.get(node)
        entry = self._entries.get(node)
        if not against or entry is None or entry.say is None:
            return []
        version = (entry.incarnation, entry.number)
        return [by for by, doubted in against.items() if doubted >= version and by not in self.down]


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
