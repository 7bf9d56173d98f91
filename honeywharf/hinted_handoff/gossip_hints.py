"""Hints of gossip entries for the missing nodes that this node watches. There is no I/O and no clock.

Theory of operation. A node whose heartbeat is overdue counts as missing since its last one, so the entries
that arrived since then are kept too, and those up to `IN_FLIGHT_MARGIN_S` earlier, which may have been in
flight. On the first datagram from the node, its first live watcher in its zone and its first one elsewhere
send the hints that they keep for it; the other watchers keep the same hints in case those two are missing
themselves. A node that was restarted requests the complete table by itself.
"""

from __future__ import annotations

from honeywharf.hinted_handoff.hints import HINT_LIFETIME_S, HintStore

TYPE_CHECKING = False  # Importing `typing` costs 1.3 MB in each process.
if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

IN_FLIGHT_MARGIN_S = 0.5


class GossipHintStore:
    """The hints for the missing nodes that one node watches.

    `revisions` holds the revision of the mesh state that was known when each node went missing.
    """

    __slots__ = ("hints", "revisions")

    def __init__(self, log: Callable[[str], None]) -> None:
        self.hints = HintStore(log)
        self.revisions: dict[str, int] = {}

    def __contains__(self, node: str) -> bool:
        """Returns whether hints are kept for a node."""
        return node in self.hints.by_machine

    def update(
        self, now: float, missing: Mapping[str, float], revision: int, known: Iterable[tuple[str, float, int]]
    ) -> None:
        """Updates the set of missing nodes.

        `missing` maps nodes to the times of their last heartbeats; `revision` is that of the mesh state known
        here; `known` are entries, each with its name, the time when it was received, and its size in bytes.
        """
        self.hints.sweep(now)
        self.revisions = {node: known for node, known in self.revisions.items() if node in self}
        entries = list(known) if any(node not in self for node in missing) else []
        for node, since in missing.items():
            is_new = now - since < HINT_LIFETIME_S and node not in self
            if is_new and self.hints.begin(node, since):
                self.revisions[node] = revision
                for name, received_at, size in entries:
                    if received_at >= since - IN_FLIGHT_MARGIN_S:
                        self.hints.add(name, size, [node])

    def entry_changed(self, name: str, size: int) -> None:
        """Adds an entry of `size` bytes to the hints of every missing node."""
        self.hints.add(name, size)

    def restarted(self, node: str) -> None:
        """Drops the hints for a node that was restarted, because it requests the complete table."""
        self.hints.drop(node)
        self.revisions.pop(node, None)

    def take(self, node: str, revision: int) -> tuple[list[str], bool]:
        """Removes the hints for a returned node; returns its entries and whether the state changed."""
        known = self.revisions.pop(node, revision)
        return self.hints.take(node), known < revision
