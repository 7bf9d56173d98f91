"""The retry habits of clients after a refusal or a failure, for clients on loopback and in virtual time."""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping, Sequence

BACKOFF_BASE_MS, MAX_BACKOFF_MS = 100.0, 3200.0

#: Functions by habit. Each returns the backoff in ms after a number of attempts; `advised` is the backoff
#: that the refusal advised, or 0.
HABITS: dict[str, Callable[[int, float, random.Random], float]] = {
    "obedient": lambda attempts, advised, rng: (
        advised or rng.uniform(0.0, min(MAX_BACKOFF_MS, BACKOFF_BASE_MS * 2**attempts))
    ),
    "half": lambda attempts, advised, rng: advised if advised and rng.random() < 0.5 else BACKOFF_BASE_MS,
    "deaf": lambda attempts, advised, rng: BACKOFF_BASE_MS,
    "at once": lambda attempts, advised, rng: rng.uniform(0.0, 10.0),
    "exponential": lambda attempts, advised, rng: min(MAX_BACKOFF_MS, BACKOFF_BASE_MS * 2**attempts),
    "jitter": lambda attempts, advised, rng: rng.uniform(
        0.0, min(MAX_BACKOFF_MS, BACKOFF_BASE_MS * 2**attempts)
    ),
    "several": lambda attempts, advised, rng: BACKOFF_BASE_MS,
}
NAMES: tuple[str, ...] = tuple(HABITS)  # `Population` stores a habit as its index in this tuple.

#: Copies of a repeat that a client sends in parallel, for habits that send more than one.
PARALLEL_COPIES: Mapping[str, int] = {"several": 3}
#: Habits of clients that reconnect as soon as a connection is cut, even without a request to send.
EAGER = frozenset({"at once", "several"})

#: Habits and weights of a mixed population.
MIXED = (
    ("obedient", 0.3),
    ("half", 0.2),
    ("deaf", 0.2),
    ("at once", 0.1),
    ("exponential", 0.1),
    ("jitter", 0.1),
)


def checked_habit(habit: str) -> str:
    """Returns the name of a habit. Raises ValueError for an unknown one."""
    if habit not in HABITS:
        raise ValueError(f"habit: expected one of {', '.join(HABITS)}, got {habit!r}")
    return habit


def backoff_ms(habit: str, attempts: int, advised_ms: float, rng: random.Random) -> tuple[float, bool]:
    """Returns the backoff after that many attempts, and whether the client follows the advised time.

    Raises:
        ValueError: if the habit is unknown.
    """
    backoff = HABITS[checked_habit(habit)](attempts, advised_ms, rng)
    return backoff, advised_ms > 0 and backoff >= advised_ms and habit in ("obedient", "half")


def choose_habit(weights: Sequence[tuple[str, float]], rng: random.Random) -> str:
    """Returns a habit drawn by weight. Raises ValueError for an unknown one."""
    names, parts = zip(*weights, strict=True)
    return checked_habit(rng.choices(names, parts)[0])
