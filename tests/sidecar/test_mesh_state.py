"""What a sidecar takes for the mesh state at its start: only what a majority has told."""

from __future__ import annotations

from typing import Any, cast

from honeywharf.sidecar.mesh_state import Word
from tests.control.world import World

CORES = [("10.0.0.1", 7620), ("10.0.0.2", 7620)]


class Asked:
    """A caller whose calls are kept, and answered by `answers` of each method."""

    def __init__(self, answers: dict[str, Any]) -> None:
        self.answers, self.methods = answers, list[str]()
        self.machine = World(1).machine("10.0.0.9")

    def call(self, to: object, method: str, args: object, within: float, done: Any) -> None:
        self.methods.append(method)
        self.machine.after(within, lambda: done(self.answers.get(method)))


def test_without_a_majority_it_takes_nothing_however_long_it_waits() -> None:
    old = {"rev": 3, "version": 5, "digest": "five", "evac": {}}
    asked = Asked({"word.known": old, "word.body": b"text"})
    asked.machine.start(lambda machine: None)
    state = Word(cast(Any, asked.machine), cast(Any, asked), lambda: CORES, lambda: None)
    state.start()
    for _ in range(60):
        state.heard(4, CORES[0])
        asked.machine.world.run(asked.machine.world.time + 1.0)
    assert not state.ready
    assert len(asked.methods) > 50
    assert set(asked.methods) == {"word.read"}
