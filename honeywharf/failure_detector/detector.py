"""The failure detector: heartbeats to watchers, suspicions, and the decision that a node is down.

The module performs no I/O and reads no clock.

Theory of operation. Each node sends a heartbeat of a few bytes to its watchers on the rings of live nodes
(`ring`): to two in its zone every 0.4 s and to two in other zones every 0.8 s. A watcher that has received
nothing from a node for 1 s (1.5 s across zones) probes it, and after 1.6 s (2.4 s) suspects it, under the
version of the entry that it knows. A watcher in another zone also queries the node's other watcher outside
the node's zone, and treats a contact which that watcher reports as its own contact at that time. When two
zones lose contact with each other, nodes that a third zone can reach are therefore not suspected.

A node publishes its suspicions as an attribute of its own gossip entry, so gossip spreads and repairs them,
and they end with the node. A node is down when two live nodes suspect its current version, or when one does
and all its other watchers are suspected too (their zones are unreachable). It stays down until a newer
version of its entry arrives. A suspected node refutes the suspicion by publishing a new version, which ends
all suspicions of it.

A watcher whose own tick was late, or that receives nothing from any node, suspects nobody until it has run
normally for 1.6 s. A watcher whose suspicion was refuted although it still receives nothing (a link broken
in one direction) doubles its time-out for that node, up to 25 s. The nodes that follow a down node on the
rings take over the suspicion of it, so that nodes that join later learn of it.
"""

from __future__ import annotations

from honeywharf.failure_detector.ring import Rings
from honeywharf.gossip.entry import KEY_BYTES, is_number, key_of, node_of

TYPE_CHECKING = False  # Importing `typing` costs 1.3 MB in each process.
if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from honeywharf.gossip.entry import Entry

    Version = tuple[int, int]  # The incarnation and sequence of an entry.
    Datagrams = list[tuple[str, bytes]]

HEARTBEAT = b"t"  # The body is the sender's revision, in as few bytes as possible (none for 0).
PROBE = b"p"  # A probe is answered with a heartbeat.
CONTACT_QUERY = b"q"  # The body is the key, 4 bytes, of a node that sends the sender nothing.
CONTACT_REPORT = b"v"  # The body is the key, and the age in ms of the last datagram from the node.
SUSPICIONS = "doubts"  # The attribute is a list of [key, incarnation, sequence].
HEARTBEAT_INTERVAL_S = 0.4  # Watchers in other zones get every second heartbeat.
PROBE_TIMEOUT_S, SUSPICION_TIMEOUT_S = 1.0, 1.6  # Both are times without contact.
CROSS_ZONE_TIMEOUT_FACTOR = 1.5  # Both times are this many times as long for nodes of other zones.
LATE_TICK_S = 0.3  # A tick later than this means that this node itself was stalled.
MIN_SUSPECTING_NODES = 2  # This many nodes share a suspicion before a node counts as down.
MAX_TIMEOUT_FACTOR = 16  # Refuted suspicions make the time-out up to this many times as long.
MAX_SUSPICIONS = 16  # One node publishes at most this many suspicions.
MAX_HEARTBEAT_BYTES = 8
AGE_BYTES = 2  # This is the size of the age in a contact report.


class FailureDetector:
    """One node's failure detector. `entries` are those of the gossip table, by node.

    `on_down(node)`, `on_up(node)`: a node is marked down, or alive again; `on_suspected()`: another node
    suspects this one; `on_suspicions(suspicions)`: the suspicions that this node has to publish, as (key,
    incarnation, sequence). Times are seconds on the steady clock.
    """

    __slots__ = (
        "_any_contact_at", "_direct_contact_at", "_due_at", "_entries", "_is_odd_tick", "_last_contact_at",
        "_local_node", "_suspected_by", "_suspicion_paused_until", "_suspicions", "_timeout_factor", "_zone",
        "down", "missing", "on_down", "on_suspected", "on_suspicions", "on_up", "revision", "rings",
    )  # fmt: skip

    def __init__(self, local_node: str, zone: str, entries: Mapping[str, Entry]) -> None:
        self._local_node = local_node
        self._zone = zone
        self._entries = entries
        self.rings = Rings()
        self.rings.add(local_node, zone)
        self.down: dict[str, float] = {}  # The time at which each was marked down.
        self.missing: dict[str, float] = {}  # Watched nodes that are overdue, and their last contact.
        self.on_down: Callable[[str], None] | None = None
        self.on_up: Callable[[str], None] | None = None
        self.on_suspected: Callable[[], None] | None = None
        self.on_suspicions: Callable[[list[tuple[int, int, int]]], None] | None = None
        self.revision = 0  # The revision is sent with each heartbeat.
        self._suspected_by: dict[str, dict[str, Version]] = {}  # Versions by suspected and suspecting node.
        self._suspicions: dict[str, Version] = {}  # Suspicions of this node.
        # The next three hold watched nodes only.
        self._last_contact_at: dict[str, float] = {}  # The source is a datagram or a contact report.
        self._direct_contact_at: dict[str, float] = {}  # The source is a datagram only.
        self._timeout_factor: dict[str, int] = {}  # The factor exceeds 1 after refuted suspicions.
        self._any_contact_at = 0.0
        self._due_at = 0.0
        self._is_odd_tick = False
        self._suspicion_paused_until = 0.0

    def next(self, now: float) -> float:
        """Returns the time at which `tick` is due."""
        return self._due_at

    def record_contact(self, now: float, node: str) -> None:
        """Records that a datagram from a node has arrived."""
        self._any_contact_at = now
        if node in self._last_contact_at:
            self._last_contact_at[node] = self._direct_contact_at[node] = now
            self._timeout_factor.pop(node, None)
            self.missing.pop(node, None)

    def answer_contact_query(self, now: float, requester: str, key: bytes) -> Datagrams:
        """Answers a contact query, unless this node has no recent contact either."""
        node = node_of(int.from_bytes(key, "big"))
        if len(key) != KEY_BYTES or node not in self._direct_contact_at:
            return []
        age = now - self._direct_contact_at[node]
        if age > PROBE_TIMEOUT_S * CROSS_ZONE_TIMEOUT_FACTOR:
            return []
        return [(requester, CONTACT_REPORT + key + round(1000.0 * age).to_bytes(AGE_BYTES, "big"))]

    def receive_contact_report(self, now: float, contact_report: bytes) -> None:
        """Counts another watcher's contact as a contact at that time. Ignores a malformed report."""
        if len(contact_report) != KEY_BYTES + AGE_BYTES:
            return
        node = node_of(int.from_bytes(contact_report[:KEY_BYTES], "big"))
        contact_at = now - int.from_bytes(contact_report[KEY_BYTES:], "big") / 1000.0
        if node in self._last_contact_at and node not in self.down:
            self._last_contact_at[node] = max(self._last_contact_at[node], contact_at)

    def heartbeat(self) -> bytes:
        """Returns the datagram that is sent to each watcher and in answer to a probe."""
        return HEARTBEAT + self.revision.to_bytes((self.revision.bit_length() + 7) // 8, "big")

    def tick(self, now: float) -> Datagrams:
        """Returns the heartbeats, probes and contact queries that are due; passes on changed suspicions."""
        if now < self._due_at:
            return []
        if (
            self._due_at and now - self._due_at > LATE_TICK_S
        ) or now - self._any_contact_at > SUSPICION_TIMEOUT_S:
            self._suspicion_paused_until = now + SUSPICION_TIMEOUT_S
        self._due_at = now + HEARTBEAT_INTERVAL_S
        self._is_odd_tick = not self._is_odd_tick
        heartbeat = self.heartbeat()
        near, far = self.rings.watchers(self._local_node, self._zone)
        overdue = self._check_watched(now)
        out = [(node, PROBE) for node in overdue] + self._contact_queries(overdue)
        return out + [(node, heartbeat) for node in (near + far if self._is_odd_tick else near)]

    def _contact_queries(self, overdue: list[str]) -> Datagrams:
        """Asks the other cross-zone watchers about the overdue nodes of other zones."""
        out: Datagrams = []
        for node in overdue:
            zone = self._entries[node].zone
            if zone != self._zone:
                contact_query = CONTACT_QUERY + key_of(node).to_bytes(KEY_BYTES, "big")
                other_watchers = self.rings.watchers(node, zone)[1]
                out += [(watcher, contact_query) for watcher in other_watchers if watcher != self._local_node]
        return out

    def _check_watched(self, now: float) -> list[str]:
        """Updates the suspicions of watched nodes, down ones included. Returns the nodes to probe."""
        near, far = self.rings.watched(self._local_node, self._zone)
        taken_over = [node for node in self.down if self._is_watcher_of(node)]
        self._forget_unwatched({*near, *far, *taken_over})
        suspicions: dict[str, Version] = {}
        overdue: list[str] = []
        for node in near + far + taken_over:
            is_down = node in self.down
            silent_s = self._time_since_contact_s(now, node, is_down)
            factor = CROSS_ZONE_TIMEOUT_FACTOR if node in far else 1.0
            if silent_s > PROBE_TIMEOUT_S * factor:
                self.missing.setdefault(node, now - silent_s)
                if not is_down:
                    overdue.append(node)
            timeout = SUSPICION_TIMEOUT_S * factor * self._timeout_factor.get(node, 1)
            if silent_s > timeout and len(suspicions) < MAX_SUSPICIONS:
                entry = self._entries[node]
                suspicions[node] = (entry.incarnation, entry.sequence)
        if suspicions != self._suspicions:
            self._set_own_suspicions(now, suspicions)
        for node in list(self._suspected_by):  # The rings may have changed.
            self._evaluate_suspicions(now, node)
        return overdue

    def _time_since_contact_s(self, now: float, node: str, is_down: bool) -> float:
        """Returns the seconds since the last contact with a node; 0 while suspicions are paused."""
        if now < self._suspicion_paused_until and not is_down:
            self._last_contact_at[node] = now
        return now - self._last_contact_at.setdefault(node, now - PROBE_TIMEOUT_S if is_down else now)

    def _is_watcher_of(self, node: str) -> bool:
        near, far = self.rings.watchers(node, self._entries[node].zone)
        return self._local_node in near or self._local_node in far

    def _forget_unwatched(self, watched: set[str]) -> None:
        for node in [node for node in self._last_contact_at if node not in watched]:
            del self._last_contact_at[node]
            self._direct_contact_at.pop(node, None)
            self._timeout_factor.pop(node, None)
            self.missing.pop(node, None)

    def is_first_watcher(self, node: str, zone: str) -> bool:
        """Returns whether this node is the first of a node's watchers in its zone or in other zones."""
        near, far = self.rings.watchers(node, zone)
        return self._local_node in near[:1] + far[:1]

    def _set_own_suspicions(self, now: float, suspicions: dict[str, Version]) -> None:
        self._update_suspected_by(self._local_node, self._suspicions, suspicions)
        changed = {*self._suspicions, *suspicions}
        self._suspicions = suspicions
        if self.on_suspicions:
            self.on_suspicions([(key_of(node), *version) for node, version in suspicions.items()])
        for node in changed:
            self._evaluate_suspicions(now, node)

    def entry_changed(self, now: float, node: str, entry: Entry | None, old: Entry | None) -> None:
        """Takes account of a changed gossip entry of another node; `entry` is None if it was dropped."""
        before, after = _suspicions_in(old), _suspicions_in(entry)
        self._update_suspected_by(node, before, after)
        if entry is None or entry.attributes is None:
            self._forget(node)
        else:
            self._mark_alive(now, node, entry)
        for suspected in {*before, *after}:
            self._evaluate_suspicions(now, suspected)

    def _forget(self, node: str) -> None:
        self.rings.remove(node)
        self.missing.pop(node, None)
        self.down.pop(node, None)
        self._suspected_by.pop(node, None)

    def _mark_alive(self, now: float, node: str, entry: Entry) -> None:
        if node in self._last_contact_at:
            if node in self._suspicions:
                factor = 2 * self._timeout_factor.get(node, 1)
                self._timeout_factor[node] = min(MAX_TIMEOUT_FACTOR, factor)
            self._last_contact_at[node] = now
        self.rings.add(node, entry.zone)
        if self.down.pop(node, None) is not None and self.on_up:
            self.on_up(node)
        self._evaluate_suspicions(now, node)

    def _update_suspected_by(self, by: str, old: dict[str, Version], new: dict[str, Version]) -> None:
        """Updates the index of suspicions after those of one node have changed."""
        for node in old:
            suspects = self._suspected_by.get(node)
            if suspects and node not in new:
                suspects.pop(by, None)
                if not suspects:
                    del self._suspected_by[node]
        for node, version in new.items():
            if node in self._entries:
                self._suspected_by.setdefault(node, {})[by] = version

    def _evaluate_suspicions(self, now: float, node: str) -> None:
        """Marks a node down if enough live nodes suspect it."""
        suspecting_nodes = self._suspecting_nodes(node)
        if not suspecting_nodes or node in self.down:
            return
        if node == self._local_node:
            if self.on_suspected:
                self.on_suspected()
            return
        near, far = self.rings.watchers(node, self._entries[node].zone)
        available_watchers = [
            by for by in near + far if by not in suspecting_nodes and not self._suspecting_nodes(by)
        ]
        if len(suspecting_nodes) >= min(
            MIN_SUSPECTING_NODES, len(suspecting_nodes) + len(available_watchers)
        ):
            self.rings.remove(node)
            self.down[node] = now
            if self.on_down:
                self.on_down(node)

    def _suspecting_nodes(self, node: str) -> list[str]:
        """Returns the live nodes that suspect the current version of a node."""
        suspected_by = self._suspected_by.get(node)
        entry = self._entries.get(node)
        if not suspected_by or entry is None or entry.attributes is None:
            return []
        version = (entry.incarnation, entry.sequence)
        return [by for by, suspected in suspected_by.items() if suspected >= version and by not in self.down]


def _suspicions_in(entry: Entry | None) -> dict[str, Version]:
    """Returns the suspicions in an entry, without malformed ones."""
    suspicion_list = entry.attributes.get(SUSPICIONS) if entry and entry.attributes else None
    suspicions: dict[str, Version] = {}
    if not isinstance(suspicion_list, (list, tuple)):
        return suspicions
    for one in suspicion_list[:MAX_SUSPICIONS]:
        if isinstance(one, (list, tuple)) and len(one) == 3 and all(is_number(value) for value in one):
            suspicions[node_of(one[0] & 0xFFFFFFFF)] = (one[1], one[2])
    return suspicions
