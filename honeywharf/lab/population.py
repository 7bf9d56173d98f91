"""Simulates up to MAX_CLIENTS clients as rows of arrays, with an object only for an attempt under way.

A client thinks, sends a request, retries by its habit until its deadline, and thinks again. It keeps one
connection, to a random proxy of its zone. A client takes 23 bytes.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np
from numpy.typing import NDArray

from honeywharf.lab.habits import NAMES, checked_habit

MAX_CLIENTS = 2_000_000  # They take 46 MB.
NEVER = np.inf
UNCONNECTED = -1
DRAW_BATCH = 8192  # Think times that are drawn together.


@dataclass(slots=True)
class ClientAttempt:
    """A client's attempt that is due.

    `begun_ms` is the time of the first attempt at the same request, `attempts` counts this one too, `serial`
    numbers the client's requests, and `as_advised` says whether the client comes back at the advised time.
    """

    client: int
    when_ms: float
    begun_ms: float
    attempts: int
    serial: int
    as_advised: bool


class Population:
    """The state of all clients. Every array has one element for each client; times are in ms of virtual time.

    Think times have an exponential distribution with a mean of `think_ms`.

    Raises:
        ValueError: if the size is not from 1 to MAX_CLIENTS, `think_ms` or `zones` is not positive, or a
            habit is unknown.
    """

    def __init__(
        self,
        size: int,
        think_ms: float,
        zones: int,
        habits: Sequence[tuple[str, float]],
        seed: int,
    ) -> None:
        if not 1 <= size <= MAX_CLIENTS:
            raise ValueError(f"population.size: expected 1 to {MAX_CLIENTS}, got {size}")
        if think_ms <= 0.0 or zones < 1:
            raise ValueError(f"population: expected think_ms above 0 and a zone, got {think_ms} and {zones}")
        self.size, self.think_ms = size, think_ms
        self.random = np.random.Generator(np.random.PCG64(seed))
        self.due: NDArray[np.float64] = self.random.uniform(
            0.0, think_ms, size
        )  # NEVER while a request is under way.
        self.begun: NDArray[np.float32] = np.zeros(size, np.float32)
        self.serial: NDArray[np.uint32] = np.zeros(size, np.uint32)  # Numbers the requests of each client.
        self.proxy: NDArray[np.int32] = np.full(size, UNCONNECTED, np.int32)
        self.attempts: NDArray[np.uint8] = np.zeros(size, np.uint8)
        self.as_advised: NDArray[np.bool_] = np.zeros(size, np.bool_)
        habit_indexes = np.array([NAMES.index(checked_habit(name)) for name, _ in habits], np.uint8)
        weights = np.array([weight for _, weight in habits])
        self.habit: NDArray[np.uint8] = self.random.choice(habit_indexes, size, p=weights / weights.sum())
        self.zones = zones
        self._think_times_ms: list[float] = []

    @property
    def size_bytes(self) -> int:
        """The size of all arrays."""
        return sum(
            a.nbytes
            for a in (
                self.due,
                self.begun,
                self.serial,
                self.proxy,
                self.attempts,
                self.as_advised,
                self.habit,
            )
        )

    def zone(self, client: int) -> int:
        """Returns the index of a client's zone."""
        return client % self.zones

    def take_due(self, until_ms: float) -> list[ClientAttempt]:
        """Returns the attempts due before a time, in order. Each client then waits for its answer."""
        found = np.flatnonzero(self.due < until_ms)
        if not found.size:
            return []
        found = found[np.argsort(self.due[found], kind="stable")]
        first_attempts = found[self.attempts[found] == 0]
        self.begun[first_attempts] = self.due[first_attempts]
        self.serial[first_attempts] += 1
        self.attempts[found] += 1
        due_attempts = [
            ClientAttempt(*row)
            for row in zip(
                found.tolist(),
                self.due[found].tolist(),
                self.begun[found].tolist(),
                self.attempts[found].tolist(),
                self.serial[found].tolist(),
                self.as_advised[found].tolist(),
                strict=True,
            )
        ]
        self.due[found] = NEVER
        return due_attempts

    def retry_at(self, client: int, when_ms: float, as_advised: bool) -> None:
        """Schedules the next attempt of a client at the same request."""
        self.due[client], self.as_advised[client] = when_ms, as_advised

    def think(self, client: int, now_ms: float) -> None:
        """Ends a client's request, and schedules its next one after a think time."""
        if not self._think_times_ms:
            self._think_times_ms = self.random.exponential(self.think_ms, DRAW_BATCH).tolist()
        self.due[client] = now_ms + self._think_times_ms.pop()
        self.attempts[client], self.as_advised[client] = 0, False

    def disconnect(self, proxy: int) -> NDArray[np.intp]:
        """Cuts the connections to a proxy, and returns their clients."""
        found = np.flatnonzero(self.proxy == proxy)
        self.proxy[found] = UNCONNECTED
        return found
