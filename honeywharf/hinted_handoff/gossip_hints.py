"""Which gossip entries the missing nodes that this node watches should have had. No I/O, no clock.

Theory of operation. A node that owes a heartbeat is missing from its last one on, so what has come since
then is kept too (`HEARD_LATE_S` more, for what was on its way). On the first datagram from it, the first of
its live watchers in its zone and the first elsewhere send what they keep for it; the other watchers keep
the same in case those two are missing themselves. A node that was restarted asks for the whole table by
itself.
"""

from __future__ import annotations

from honeywharf.hinted_handoff.hints import HINT_LIFETIME_S, HintStore

TYPE_CHECKING = False  # `typing` is 1.3 MB in each process
if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

HEARD_LATE_S = 0.5


class GossipHintStore:
    """Hints of one node's failure detector, with the revision that each missing node had."""

    __slots__ = ("hints", "revisions")

    def __init__(self, log: Callable[[str], None]) -> None:
        self.hints = HintStore(log)
        self.revisions: dict[str, int] = {}

    def __contains__(self, node: str) -> bool:
        """Whether hints are kept for a node."""
        return node in self.hints.by_machine

    def update(
        self, now: float, missing: Mapping[str, float], revision: int, known: Iterable[tuple[str, float, int]]
    ) -> None:
        """Take note of who is missing.

        `missing`: nodes, with when they were last heard; `revision`: of the mesh state known here; `known`:
        entries by name, with when they were received and their bytes.
        """
        self.hints.sweep(now)
        self.revisions = {node: known for node, known in self.revisions.items() if node in self}
        entries = list(known) if any(node not in self for node in missing) else []
        for node, since in missing.items():
            is_new = now - since < HINT_LIFETIME_S and node not in self
            if is_new and self.hints.begin(node, since):
                self.revisions[node] = revision
                for name, received_at, size in entries:
                    if received_at >= since - HEARD_LATE_S:
                        self.hints.add(name, size, [node])

    def entry_changed(self, name: str, size: int) -> None:
        """An entry of so many bytes came that every missing node should have had."""
        self.hints.add(name, size)

    def restarted(self, node: str) -> None:
        """A node was restarted: it asks for the whole table."""
        self.hints.drop(node)
        self.revisions.pop(node, None)

    def take(self, node: str, revision: int) -> tuple[list[str], bool]:
        """A node is back: the entries that it missed, and whether the mesh state has changed since."""
        known = self.revisions.pop(node, revision)
        return self.hints.take(node), known < revision
