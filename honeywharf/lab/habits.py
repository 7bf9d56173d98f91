"""What clients do after a refusal or a failure: one table, for clients on loopback and in virtual time."""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping, Sequence

BASE_MS, MAX_MS = 100.0, 3200.0

#: By name: the pause in ms before try number `tries + 1`, of the time told and a random source.
HABITS: dict[str, Callable[[int, float, random.Random], float]] = {
    "obedient": lambda tries, told, draw: told or draw.uniform(0.0, min(MAX_MS, BASE_MS * 2**tries)),
    "half": lambda tries, told, draw: told if told and draw.random() < 0.5 else BASE_MS,
    "deaf": lambda tries, told, draw: BASE_MS,
    "at once": lambda tries, told, draw: draw.uniform(0.0, 10.0),
    "exponential": lambda tries, told, draw: min(MAX_MS, BASE_MS * 2**tries),
    "jitter": lambda tries, told, draw: draw.uniform(0.0, min(MAX_MS, BASE_MS * 2**tries)),
    "several": lambda tries, told, draw: BASE_MS,
}
NAMES: tuple[str, ...] = tuple(HABITS)  # a client's habit as a number is its place here

#: Tries that a repeat is made of, side by side, where that is more than one.
AT_ONCE: Mapping[str, int] = {"several": 3}
#: Those that connect again as soon as a connection is cut, whether they want something or not.
EAGER = frozenset({"at once", "several"})

#: Clients of every habit, and their weights.
MIXED = (
    ("obedient", 0.3),
    ("half", 0.2),
    ("deaf", 0.2),
    ("at once", 0.1),
    ("exponential", 0.1),
    ("jitter", 0.1),
)


def known(habit: str) -> str:
    """The name of a habit; ValueError for another."""
    if habit not in HABITS:
        raise ValueError(f"habit: wanted one of {', '.join(HABITS)}, found {habit!r}")
    return habit


def pause_ms(habit: str, tries: int, told_ms: float, draw: random.Random) -> tuple[float, bool]:
    """The pause after so many tries, and whether the client comes as it was told. ValueError for no habit."""
    pause = HABITS[known(habit)](tries, told_ms, draw)
    return pause, told_ms > 0 and pause >= told_ms and habit in ("obedient", "half")


def draw_one(weights: Sequence[tuple[str, float]], draw: random.Random) -> str:
    """A habit, drawn by weight."""
    names, parts = zip(*weights, strict=True)
    return known(draw.choices(names, parts)[0])
