"""Clients by the million: one row of arrays for each, and an object only for a request that is under way.

A client thinks, asks for something, tries again by its habit until its patience ends, and thinks again. It
keeps one connection, to a proxy drawn at random of its zone. What is kept for a client is 23 bytes.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np
from numpy.typing import NDArray

from honeywharf.lab.habits import NAMES, known

MOST = 2_000_000  # clients: 46 MB of rows
NEVER = np.inf
UNCONNECTED = -1
DRAWS = 8192  # thinking times drawn at once


@dataclass(slots=True)
class Turn:
    """What a client does next: when, which of its tries, for what, and whether as it was told."""

    client: int
    when_ms: float
    begun_ms: float
    tries: int
    serial: int
    told: bool


class Population:
    """So many clients. Shapes: every array has one figure a client; times in ms of the virtual clock.

    `think_ms`: the mean pause between what a client wants, drawn exponentially. ValueError for a size that
    is not from 1 to MOST, or a habit that there is not.
    """

    def __init__(
        self,
        size: int,
        think_ms: float,
        zones: int,
        habits: Sequence[tuple[str, float]],
        seed: int,
    ) -> None:
        if not 1 <= size <= MOST:
            raise ValueError(f"population: wanted 1 to {MOST} clients, found {size}")
        if think_ms <= 0.0 or zones < 1:
            raise ValueError(f"population: wanted a time over 0 and a zone, found {think_ms} and {zones}")
        self.size, self.think_ms = size, think_ms
        self.random = np.random.Generator(np.random.PCG64(seed))
        self.due: NDArray[np.float64] = self.random.uniform(0.0, think_ms, size)  # NEVER: under way
        self.begun: NDArray[np.float32] = np.zeros(size, np.float32)
        self.serial: NDArray[np.uint32] = np.zeros(size, np.uint32)  # of what it wants
        self.proxy: NDArray[np.int32] = np.full(size, UNCONNECTED, np.int32)
        self.tries: NDArray[np.uint8] = np.zeros(size, np.uint8)
        self.told: NDArray[np.bool_] = np.zeros(size, np.bool_)
        places = np.array([NAMES.index(known(name)) for name, _ in habits], np.uint8)
        weights = np.array([weight for _, weight in habits])
        self.habit: NDArray[np.uint8] = self.random.choice(places, size, p=weights / weights.sum())
        self.zones = zones
        self._draws: list[float] = []

    @property
    def size_bytes(self) -> int:
        """Bytes of all rows."""
        return sum(
            a.nbytes
            for a in (self.due, self.begun, self.serial, self.proxy, self.tries, self.told, self.habit)
        )

    def zone(self, client: int) -> int:
        """The number of its zone."""
        return client % self.zones

    def coming(self, until_ms: float) -> list[Turn]:
        """What is due before that time, in order; those clients wait from now on for what becomes of it."""
        found = np.flatnonzero(self.due < until_ms)
        if not found.size:
            return []
        found = found[np.argsort(self.due[found], kind="stable")]
        fresh = found[self.tries[found] == 0]
        self.begun[fresh] = self.due[fresh]
        self.serial[fresh] += 1
        self.tries[found] += 1
        turns = [
            Turn(*row)
            for row in zip(
                found.tolist(),
                self.due[found].tolist(),
                self.begun[found].tolist(),
                self.tries[found].tolist(),
                self.serial[found].tolist(),
                self.told[found].tolist(),
                strict=True,
            )
        ]
        self.due[found] = NEVER
        return turns

    def again(self, client: int, when_ms: float, told: bool) -> None:
        """It tries again then."""
        self.due[client], self.told[client] = when_ms, told

    def rest(self, client: int, now_ms: float) -> None:
        """It has what it wanted, or has given up: it thinks."""
        if not self._draws:
            self._draws = self.random.exponential(self.think_ms, DRAWS).tolist()
        self.due[client] = now_ms + self._draws.pop()
        self.tries[client], self.told[client] = 0, False

    def cut(self, proxy: int) -> NDArray[np.intp]:
        """The proxy is gone, and the connections to it: whose they were."""
        found = np.flatnonzero(self.proxy == proxy)
        self.proxy[found] = UNCONNECTED
        return found
