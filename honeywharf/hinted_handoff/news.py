"""Which news the missing nodes that this one watches should have had. Time and facts come as arguments.

Theory of operation. A node that owes a sign is missing from its last one on, so what has come since then is
kept too (`HEARD_LATE` more, for what was on its way). On the first datagram from it, the first of its live
watchers in its zone and the first elsewhere send what they keep for it; the others keep in vain, and are
there in case those two are missing themselves. Who has been started anew asks for the whole table by itself.
"""

from __future__ import annotations

from honeywharf.hinted_handoff.hints import KEPT, HintStore

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

HEARD_LATE = 0.5  # seconds


class NewsHintStore:
    """The tank of one node's watch, with the revision of the word that each missing one last had."""

    __slots__ = ("tank", "words")

    def __init__(self, say: Callable[[str], None]) -> None:
        self.tank = HintStore(say)
        self.words: dict[str, int] = {}

    def __contains__(self, node: str) -> bool:
        """Whether something is kept for a node."""
        return node in self.tank.held

    def look(
        self, now: float, missing: Mapping[str, float], revision: int, held: Iterable[tuple[str, float, int]]
    ) -> None:
        """Who is missing now, since when; `held`: entries by name with when they came, and their bytes."""
        self.tank.sweep(now)
        self.words = {node: word for node, word in self.words.items() if node in self.tank.held}
        held = list(held) if any(node not in self.tank.held for node in missing) else []
        for node, since in missing.items():
            if now - since < KEPT and node not in self.tank.held and self.tank.missing(node, since):
                self.words[node] = revision
                for name, came, size in held:
                    if came >= since - HEARD_LATE:
                        self.tank.keep(name, size, [node])

    def changed(self, name: str, size: int) -> None:
        """An entry came that every missing node should have had."""
        self.tank.keep(name, size)

    def renewed(self, node: str) -> None:
        """A node lives anew: it asks for the whole table."""
        self.tank.drop(node)
        self.words.pop(node, None)

    def returned(self, node: str, revision: int) -> tuple[list[str], bool]:
        """A node is heard again: the entries it should have had, and whether the word has changed since."""
        word = self.words.pop(node, revision)
        return self.tank.returned(node), word < revision
