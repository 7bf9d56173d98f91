"""What clients do after a refusal or a failure: one table, for clients on loopback and in virtual time."""

from __future__ import annotations

import random
from collections.abc import Callable

BASE_MS, MOST_MS = 100.0, 3200.0

#: By name: the pause in ms before try number `tries + 1`, of the time told and a random source.
HABITS: dict[str, Callable[[int, float, random.Random], float]] = {
    "obedient": lambda tries, told, draw: told or draw.uniform(0.0, min(MOST_MS, BASE_MS * 2 ** tries)),
    "half": lambda tries, told, draw: told if told and draw.random() < 0.5 else BASE_MS,
    "deaf": lambda tries, told, draw: BASE_MS,
    "at once": lambda tries, told, draw: draw.uniform(0.0, 10.0),
    "exponential": lambda tries, told, draw: min(MOST_MS, BASE_MS * 2 ** tries),
    "jitter": lambda tries, told, draw: draw.uniform(0.0, min(MOST_MS, BASE_MS * 2 ** tries)),
}

#: Clients of every habit, and their weights.
MIXED = (
    ("obedient", 0.3), ("half", 0.2), ("deaf", 0.2), ("at once", 0.1), ("exponential", 0.1), ("jitter", 0.1))


def pause_ms(habit: str, tries: int, told_ms: float, draw: random.Random) -> tuple[float, bool]:
    """The pause after so many tries, and whether the client comes as it was told. ValueError for no habit."""
    if habit not in HABITS:
        raise ValueError(f"habit: wanted one of {', '.join(HABITS)}, found {habit!r}")
    pause = HABITS[habit](tries, told_ms, draw)
    return pause, told_ms > 0 and pause >= told_ms and habit in ("obedient", "half")
