"""Membership: runs gossip and the failure detector on one host, and reports changes of other nodes."""

from __future__ import annotations

from honeywharf.failure_detector.detector import (
    CONTACT_QUERY,
    CONTACT_REPORT,
    HEARTBEAT,
    MAX_HEARTBEAT_BYTES,
    PROBE,
    SUSPICIONS,
    FailureDetector,
)
from honeywharf.gossip.gossip import Gossip

TYPE_CHECKING = False  # Importing `typing` costs 1.3 MB in each process.
if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from honeywharf.gossip.entry import Entry
    from honeywharf.hinted_handoff.gossip_hints import GossipHintStore
    from honeywharf.transport.host import Address, Host, Timer

# Timers and sums of times round differently, so a shorter delay could end before the tick is due.
MIN_DELAY_S = 0.001
SEED_BYTES = 8


class XorShift:
    """A small random generator (xorshift, 64 bits), which saves loading the standard library's."""

    __slots__ = ("_state",)

    def __init__(self, seed: bytes) -> None:
        self._state = int.from_bytes(seed[:SEED_BYTES], "big") | 1

    def random(self) -> float:
        """Returns a number uniform in [0, 1)."""
        state = self._state
        state ^= state << 13 & 0xFFFFFFFFFFFFFFFF
        state ^= state >> 7
        state ^= state << 17 & 0xFFFFFFFFFFFFFFFF
        self._state = state
        return (state >> 11) / (1 << 53)


class Membership:
    """One node's view of all nodes. Callbacks are attributes, to be set before the first datagram.

    `on_change(node, entry, old)`: another node's entry has changed; `entry` is None once it is dropped, and
    `entry.attributes` is None once the node has left. `on_newer_revision(revision, holder)`: a node holds a
    revision above the one that this node publishes; repeated until this node publishes it. `on_down(node)`,
    `on_up(node)`: another node is marked down, or alive again.
    """

    __slots__ = (
        "_host", "_is_stopped", "_port", "_timer", "_timer_at", "failure_detector", "gossip", "hints",
        "keeps_hints", "on_change", "on_down", "on_newer_revision", "on_up",
    )  # fmt: skip

    def __init__(
        self,
        host: Host,
        ip: str,
        port: int,
        zone: str,
        seeds: Sequence[str],
        attributes: dict[str, object],
        incarnation: int,
    ) -> None:
        """Listens on (ip, port) and sends HELLO to `seeds` (IPv4 addresses) at the next tick.

        `attributes` is the state that this node publishes. `incarnation` rises with each start unless the
        clock went back.
        """
        self._host = host
        self._port = port
        self._is_stopped = False
        # Hints for the missing nodes that this one watches; created when the first one is missing.
        self.hints: GossipHintStore | None = None
        self.keeps_hints = True  # If False, only anti-entropy repairs a returning node.
        self.on_change: Callable[[str, Entry | None, Entry | None], None] | None = None
        self.on_newer_revision: Callable[[int, str], None] | None = None
        self.on_down: Callable[[str], None] | None = None
        self.on_up: Callable[[str], None] | None = None
        self.gossip = Gossip(ip, zone, XorShift(host.random(SEED_BYTES)), attributes, incarnation, seeds)
        self.failure_detector = FailureDetector(ip, zone, self.gossip.table.entries)
        self.gossip.table.on_change = self._entry_changed
        self.gossip.on_newer_revision = self._newer_revision
        self.failure_detector.on_suspicions = self._publish_suspicions
        self.failure_detector.on_suspected = self._refute
        self.failure_detector.on_down = self._down
        self.failure_detector.on_up = self._up
        host.listen_datagrams((ip, port), self._received)
        self._timer_at = host.now()
        self._timer: Timer = host.after(0.0, self._tick)

    def publish(self, **attributes: object) -> None:
        """Updates some of this node's attributes.

        The name `doubts` is reserved. Raises ValueError above 1,200 bytes.
        """
        self.gossip.publish(self._host.now(), **attributes)
        self._rearm()

    def broadcast_revision(self, revision: int) -> None:
        """Spreads a revision of the mesh state that this node now holds, and sets `rev`."""
        self.gossip.broadcast_revision(self._host.now(), revision)
        self._rearm()

    @property
    def local_node(self) -> str:
        """Returns this node's IPv4 address."""
        return self.gossip.table.local_node

    def entries(self) -> dict[str, Entry]:
        """Returns all entries by node, including the local one and tombstones. Callers must not change it."""
        return self.gossip.table.entries

    def is_alive(self, node: str) -> bool:
        """Returns whether a node is known, has not left and is not marked down."""
        entry = self.gossip.table.entries.get(node)
        return entry is not None and entry.attributes is not None and node not in self.failure_detector.down

    def leave(self) -> None:
        """Publishes that this node leaves. It still answers datagrams until `stop`."""
        now = self._host.now()
        self.gossip.leave(now)
        self._send(self.gossip.tick(now))

    def stop(self) -> None:
        """Stops sending and ignores all further datagrams."""
        self._is_stopped = True
        self._timer.cancel()

    # Datagrams and timers.

    def _received(self, sender: Address, data: bytes) -> None:
        if self._is_stopped or sender[1] != self._port or not data:
            return
        now, node = self._host.now(), sender[0]
        detector = self.failure_detector
        detector.record_contact(now, node)
        if self.hints is not None and node in self.hints:
            self._send(self._hand_over(node))
        kind = data[:1]
        if kind == HEARTBEAT and len(data) <= MAX_HEARTBEAT_BYTES:
            self.gossip.note_revision(node, int.from_bytes(data[1:], "big"))
        elif kind == PROBE:
            self._send([(node, detector.heartbeat())])
        elif kind == CONTACT_QUERY:
            self._send(detector.answer_contact_query(now, node, data[1:]))
        elif kind == CONTACT_REPORT:
            detector.receive_contact_report(now, data[1:])
        else:
            self._send(self.gossip.received(now, node, data))
        self._rearm()

    def _tick(self) -> None:
        if self._is_stopped:
            return
        now = self._host.now()
        self.failure_detector.revision = self.gossip.table.revision
        self._send(self.failure_detector.tick(now))
        self._send(self.gossip.tick(now))
        if self.failure_detector.missing or self.hints is not None:
            self._keep_hints(now)
        self._timer_at = self._next(now)
        self._timer = self._host.after(max(MIN_DELAY_S, self._timer_at - now), self._tick)

    def _next(self, now: float) -> float:
        return min(self.gossip.next(now), self.failure_detector.next(now))

    def _rearm(self) -> None:
        now = self._host.now()
        due = self._next(now)
        if due < self._timer_at and not self._is_stopped:
            self._timer.cancel()
            self._timer_at = due
            self._timer = self._host.after(max(MIN_DELAY_S, due - now), self._tick)

    def _send(self, datagrams: list[tuple[str, bytes]]) -> None:
        for node, data in datagrams:
            self._host.send_datagram((node, self._port), data)

    # Hinted handoff.

    def _keep_hints(self, now: float) -> None:
        """Records which changes the missing nodes have not received."""
        if self.hints is None:
            if not self.keeps_hints:
                return
            # Imported here, because most nodes never need it.
            from honeywharf.hinted_handoff.gossip_hints import GossipHintStore

            self.hints = GossipHintStore(self._host.log)
        table = self.gossip.table
        self.hints.update(
            now,
            self.failure_detector.missing,
            table.revision,
            ((node, entry.received_at, len(entry.pack(0))) for node, entry in table.entries.items()),
        )

    def _hand_over(self, node: str) -> list[tuple[str, bytes]]:
        """Returns the entries that a returning node missed, so that it need not wait for its first digest.

        Only the first of its watchers sends them.
        """
        assert self.hints is not None
        table = self.gossip.table
        names, has_newer_revision = self.hints.take(node, table.revision)
        entry = table.entries.get(node)
        if entry is None or not self.failure_detector.is_first_watcher(node, entry.zone):
            return []
        return self.gossip.hand_over(node, names, has_newer_revision)

    # Callbacks of gossip and the failure detector.

    def _entry_changed(self, node: str, entry: Entry | None, old: Entry | None) -> None:
        self.failure_detector.entry_changed(self._host.now(), node, entry, old)
        if self.hints is not None and entry is not None:
            if old is None or old.incarnation != entry.incarnation:
                self.hints.restarted(node)
            self.hints.entry_changed(node, len(entry.pack(0)))
        if self.on_change:
            self.on_change(node, entry, old)

    def _newer_revision(self, revision: int, holder: str) -> None:
        if self.on_newer_revision:
            self.on_newer_revision(revision, holder)

    def _publish_suspicions(self, suspicions: list[tuple[int, int, int]]) -> None:
        self.gossip.publish(self._host.now(), **{SUSPICIONS: suspicions})

    def _refute(self) -> None:
        self.gossip.refute(self._host.now())

    def _down(self, node: str) -> None:
        self.gossip.table.set_down(self._host.now(), node, True)
        if self.on_down:
            self.on_down(node)

    def _up(self, node: str) -> None:
        self.gossip.table.set_down(self._host.now(), node, False)
        if self.on_up:
            self.on_up(node)
