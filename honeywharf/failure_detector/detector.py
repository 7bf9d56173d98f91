"""Who is down: heartbeats to a few watchers, suspicions, and the verdict when two share one. Without I/O.

Theory of operation. Each node sends a heartbeat of a few bytes to its watchers on the rings of live nodes
(`ring`): two in its zone every 0.4 s, two elsewhere every 0.8 s. A watcher that has heard nothing from a
node for 1 s (1.5 s from elsewhere) probes it, and after 1.6 s (2.4 s) suspects it, under the version of the
entry that it knows. A watcher elsewhere also inquires of the node's other watcher elsewhere, and counts
what that one heard of the node itself as if it had heard it at that time: where two zones lose each other,
nobody is suspected whom a third zone hears. Its suspicions are an attribute of its own gossip entry, so
gossip carries and repairs them, and its end ends them. A node is down when two live nodes suspect its
present version, or one where all its other watchers are suspected too (their zones are unreachable); it
stays down until it is heard of under a newer version. Who is suspected refutes it by a new version of its
entry, which ends all suspicions of it.

A watcher that itself woke late or hears nobody suspects nobody until it has run well for 1.6 s. A watcher
whose suspicion was refuted although it still hears nothing (a link that is cut one way) waits twice as long
the next time, up to 25 s. Whoever follows a down node on the rings takes over the suspicion of it, so that
those who arrive later learn it too.
"""

from __future__ import annotations

from honeywharf.failure_detector.ring import Rings
from honeywharf.gossip.entry import KEY_SIZE, is_number, key_of, node_of

TYPE_CHECKING = False  # `typing` is 1.3 MB in each process
if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from honeywharf.gossip.entry import Entry

    Version = tuple[int, int]  # incarnation and sequence of an entry
    Datagrams = list[tuple[str, bytes]]

HEARTBEAT = b"t"  # and the revision that the sender holds, in as few bytes as it takes (none for 0)
PROBE = b"p"  # answered with a heartbeat
INQUIRY = b"q"  # and the key, 4 bytes, of a node that the sender does not hear: has the receiver heard it?
TESTIMONY = b"v"  # the key, and how many milliseconds ago the sender heard the node itself, 2 bytes
SUSPICIONS = "doubts"  # the attribute: a list of [key, incarnation, sequence]
HEARTBEAT_S = 0.4  # to watchers elsewhere every second time
PROBE_S, SUSPECT_S = 1.0, 1.6  # without a sign until a node is probed, and suspected
FAR_FACTOR = 1.5  # times as long for nodes of other zones, nearly
LATE_S = 0.3  # that a tick may come late
SUSPECTS_NEEDED = 2  # nodes that share a suspicion
MAX_FACTOR = 16  # times as long, after suspicions that were refuted
MAX_SUSPICIONS = 16  # published by one node
MAX_HEARTBEAT = 8  # bytes
AGE_SIZE = 2  # bytes in a testimony


class FailureDetector:
    """One node's part. `entries`: of the gossip table, by node. Times are seconds on the steady clock.

    `on_down(node)`, `on_up(node)`: a node is held down, or alive again; `on_suspected()`: somebody suspects
    this node; `on_suspicions(suspicions)`: what this node is to tell, as (key, incarnation, sequence).
    """

    __slots__ = (
        "_due_at", "_entries", "_heard_any_at", "_heard_at", "_is_odd_tick", "_local_node", "_signs_at",
        "_suspected_by", "_suspicions", "_timeout_factor", "_unwell_until", "_zone", "down", "missing",
        "on_down", "on_suspected", "on_suspicions", "on_up", "revision", "rings",
    )  # fmt: skip

    def __init__(self, local_node: str, zone: str, entries: Mapping[str, Entry]) -> None:
        self._local_node = local_node
        self._zone = zone
        self._entries = entries
        self.rings = Rings()
        self.rings.add(local_node, zone)
        self.down: dict[str, float] = {}  # since when
        self.missing: dict[str, float] = {}  # those watched that owe a sign, and when they last gave one
        self.on_down: Callable[[str], None] | None = None
        self.on_up: Callable[[str], None] | None = None
        self.on_suspected: Callable[[], None] | None = None
        self.on_suspicions: Callable[[list[tuple[int, int, int]]], None] | None = None
        self.revision = 0  # sent with each heartbeat
        self._suspected_by: dict[str, dict[str, Version]] = {}  # suspected: by whom: version
        self._suspicions: dict[str, Version] = {}  # the own ones
        # Of those watched only:
        self._heard_at: dict[str, float] = {}  # by a datagram or a testimony
        self._signs_at: dict[str, float] = {}  # by a datagram
        self._timeout_factor: dict[str, int] = {}  # after refuted suspicions
        self._heard_any_at = 0.0
        self._due_at = 0.0
        self._is_odd_tick = False
        self._unwell_until = 0.0

    def next(self, now: float) -> float:
        """When `tick` is due."""
        return self._due_at

    def record_contact(self, now: float, node: str) -> None:
        """A datagram came from a node."""
        self._heard_any_at = now
        if node in self._heard_at:
            self._heard_at[node] = self._signs_at[node] = now
            self._timeout_factor.pop(node, None)
            self.missing.pop(node, None)

    def answer_inquiry(self, now: float, asker: str, about: bytes) -> Datagrams:
        """The answer to an inquiry: none where this node has heard nothing lately either."""
        node = node_of(int.from_bytes(about, "big"))
        if len(about) != KEY_SIZE or node not in self._signs_at:
            return []
        age = now - self._signs_at[node]
        if age > PROBE_S * FAR_FACTOR:
            return []
        return [(asker, TESTIMONY + about + round(1000.0 * age).to_bytes(AGE_SIZE, "big"))]

    def receive_testimony(self, now: float, testimony: bytes) -> None:
        """Another watcher has heard a node: as good as a sign of that time. What is malformed is ignored."""
        if len(testimony) != KEY_SIZE + AGE_SIZE:
            return
        node = node_of(int.from_bytes(testimony[:KEY_SIZE], "big"))
        heard_at = now - int.from_bytes(testimony[KEY_SIZE:], "big") / 1000.0
        if node in self._heard_at and node not in self.down:
            self._heard_at[node] = max(self._heard_at[node], heard_at)

    def heartbeat(self) -> bytes:
        """What is sent to each watcher, and to who probes."""
        return HEARTBEAT + self.revision.to_bytes((self.revision.bit_length() + 7) // 8, "big")

    def tick(self, now: float) -> Datagrams:
        """Heartbeats, probes and inquiries that are due; suspicions are given to `on_suspicions`."""
        if now < self._due_at:
            return []
        if (self._due_at and now - self._due_at > LATE_S) or now - self._heard_any_at > SUSPECT_S:
            self._unwell_until = now + SUSPECT_S
        self._due_at = now + HEARTBEAT_S
        self._is_odd_tick = not self._is_odd_tick
        heartbeat = self.heartbeat()
        near, far = self.rings.watchers(self._local_node, self._zone)
        silent = self._check_watched(now)
        out = [(node, PROBE) for node in silent] + self._inquiries(silent)
        return out + [(node, heartbeat) for node in (near + far if self._is_odd_tick else near)]

    def _inquiries(self, silent: list[str]) -> Datagrams:
        """Inquiries of the other watchers elsewhere of nodes of other zones that are silent here."""
        out: Datagrams = []
        for node in silent:
            zone = self._entries[node].zone
            if zone != self._zone:
                inquiry = INQUIRY + key_of(node).to_bytes(KEY_SIZE, "big")
                witnesses = self.rings.watchers(node, zone)[1]
                out += [(witness, inquiry) for witness in witnesses if witness != self._local_node]
        return out

    def _check_watched(self, now: float) -> list[str]:
        """Judge those watched, the down ones that fall to this node included. Returns those to be probed."""
        near, far = self.rings.watched(self._local_node, self._zone)
        taken_over = [node for node in self.down if self._is_watcher_of(node)]
        self._forget_unwatched({*near, *far, *taken_over})
        suspicions: dict[str, Version] = {}
        silent: list[str] = []
        for node in near + far + taken_over:
            is_down = node in self.down
            silence = self._silence(now, node, is_down)
            factor = FAR_FACTOR if node in far else 1.0
            if silence > PROBE_S * factor:
                self.missing.setdefault(node, now - silence)
                if not is_down:
                    silent.append(node)
            timeout = SUSPECT_S * factor * self._timeout_factor.get(node, 1)
            if silence > timeout and len(suspicions) < MAX_SUSPICIONS:
                entry = self._entries[node]
                suspicions[node] = (entry.incarnation, entry.sequence)
        if suspicions != self._suspicions:
            self._set_own_suspicions(now, suspicions)
        for node in list(self._suspected_by):  # the rings may have changed
            self._judge(now, node)
        return silent

    def _silence(self, now: float, node: str, is_down: bool) -> float:
        """Seconds for which a watched node was not heard; 0 while this node is unwell itself."""
        if now < self._unwell_until and not is_down:
            self._heard_at[node] = now
        return now - self._heard_at.setdefault(node, now - PROBE_S if is_down else now)

    def _is_watcher_of(self, node: str) -> bool:
        near, far = self.rings.watchers(node, self._entries[node].zone)
        return self._local_node in near or self._local_node in far

    def _forget_unwatched(self, watched: set[str]) -> None:
        for node in [node for node in self._heard_at if node not in watched]:
            del self._heard_at[node]
            self._signs_at.pop(node, None)
            self._timeout_factor.pop(node, None)
            self.missing.pop(node, None)

    def is_first_watcher(self, node: str, zone: str) -> bool:
        """Whether this node is the first of a node's live watchers in its zone, or the first elsewhere."""
        near, far = self.rings.watchers(node, zone)
        return self._local_node in near[:1] + far[:1]

    def _set_own_suspicions(self, now: float, suspicions: dict[str, Version]) -> None:
        self._count(self._local_node, self._suspicions, suspicions)
        changed = {*self._suspicions, *suspicions}
        self._suspicions = suspicions
        if self.on_suspicions:
            self.on_suspicions([(key_of(node), *version) for node, version in suspicions.items()])
        for node in changed:
            self._judge(now, node)

    def entry_changed(self, now: float, node: str, entry: Entry | None, old: Entry | None) -> None:
        """The gossip entry of another node has changed; None: it was dropped."""
        before, after = _suspicions_in(old), _suspicions_in(entry)
        self._count(node, before, after)
        if entry is None or entry.attributes is None:
            self._forget(node)
        else:
            self._is_alive(now, node, entry)
        for suspected in {*before, *after}:
            self._judge(now, suspected)

    def _forget(self, node: str) -> None:
        self.rings.remove(node)
        self.missing.pop(node, None)
        self.down.pop(node, None)
        self._suspected_by.pop(node, None)

    def _is_alive(self, now: float, node: str, entry: Entry) -> None:
        if node in self._heard_at:
            if node in self._suspicions:
                factor = 2 * self._timeout_factor.get(node, 1)
                self._timeout_factor[node] = min(MAX_FACTOR, factor)
            self._heard_at[node] = now
        self.rings.add(node, entry.zone)
        if self.down.pop(node, None) is not None and self.on_up:
            self.on_up(node)
        self._judge(now, node)

    def _count(self, by: str, old: dict[str, Version], new: dict[str, Version]) -> None:
        """One node's suspicions have changed."""
        for node in old:
            suspects = self._suspected_by.get(node)
            if suspects and node not in new:
                suspects.pop(by, None)
                if not suspects:
                    del self._suspected_by[node]
        for node, version in new.items():
            if node in self._entries:
                self._suspected_by.setdefault(node, {})[by] = version

    def _judge(self, now: float, node: str) -> None:
        """Hold a node down where enough live nodes suspect it."""
        suspecting = self._who_suspects(node)
        if not suspecting or node in self.down:
            return
        if node == self._local_node:
            if self.on_suspected:
                self.on_suspected()
            return
        near, far = self.rings.watchers(node, self._entries[node].zone)
        able = [by for by in near + far if by not in suspecting and not self._who_suspects(by)]
        if len(suspecting) >= min(SUSPECTS_NEEDED, len(suspecting) + len(able)):
            self.rings.remove(node)
            self.down[node] = now
            if self.on_down:
                self.on_down(node)

    def _who_suspects(self, node: str) -> list[str]:
        """Which live nodes suspect the present version of a node."""
        suspected_by = self._suspected_by.get(node)
        entry = self._entries.get(node)
        if not suspected_by or entry is None or entry.attributes is None:
            return []
        version = (entry.incarnation, entry.sequence)
        return [by for by, suspected in suspected_by.items() if suspected >= version and by not in self.down]


def _suspicions_in(entry: Entry | None) -> dict[str, Version]:
    """Whom an entry suspects; what is not understood is left out."""
    told = entry.attributes.get(SUSPICIONS) if entry and entry.attributes else None
    suspicions: dict[str, Version] = {}
    if not isinstance(told, (list, tuple)):
        return suspicions
    for one in told[:MAX_SUSPICIONS]:
        if isinstance(one, (list, tuple)) and len(one) == 3 and all(is_number(value) for value in one):
            suspicions[node_of(one[0] & 0xFFFFFFFF)] = (one[1], one[2])
    return suspicions
