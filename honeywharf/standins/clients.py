"""Clients of a zone behind a front that deals out connections among its proxies."""

from __future__ import annotations

import asyncio
import random
import time
from contextlib import suppress
from dataclasses import dataclass, field

from honeywharf.standins.messages import read_message

MAX_LATENCIES = 200_000


class Front:
    """Deals out connections among proxies, evenly at random; it notices a dead one after `notice_s`."""

    def __init__(self, ports: list[int], seed: int = 0, notice_s: float = 1.0) -> None:
        if not ports:
            raise ValueError("front: at least one port is wanted, not []")
        self.ports, self.random, self.notice_s = ports, random.Random(seed), notice_s
        self.dead_until: dict[int, float] = {}

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """A connection to one of them."""
        now = time.monotonic()
        live = [p for p in self.ports if self.dead_until.get(p, 0.0) <= now] or self.ports
        port = self.random.choice(live)
        try:
            return await asyncio.open_connection("127.0.0.1", port)
        except OSError:
            self.dead_until[port] = now + self.notice_s
            raise


@dataclass
class Tally:
    """What the clients of a zone have seen: final answers by what they mean, and what broke the rules."""

    asked: int = 0
    served: int = 0
    refused: int = 0
    failed: int = 0
    repeats: int = 0
    lost: int = 0  # no final answer before the time was up
    wrong: int = 0  # an answer made for another request
    latencies_ms: list[float] = field(default_factory=list)
    keys: set[str] = field(default_factory=set)  # of orders that were served

    def quantile(self, part: float) -> float:
        """Of the served answers' times in ms; 0 where there are none."""
        ordered = sorted(self.latencies_ms)
        return ordered[min(len(ordered) - 1, int(part * len(ordered)))] if ordered else 0.0


class Clients:
    """Open-loop clients: one request of the keyed class `order` after another, at random times.

    A refused one is tried again with the same key up to `retries` times, after the time that the refusal
    gives where the client obeys (`obedience`, a probability), else at once. A failed one is not tried again:
    a failure promises nothing.
    """

    def __init__(
        self,
        front: Front,
        name: str,
        rate_per_s: float,
        *,
        seed: int = 0,
        retries: int = 2,
        obedience: float = 0.8,
        deadline_ms: float = 5000.0,
        most_open: int = 256,
    ) -> None:
        self.front, self.name, self.rate_per_s = front, name, rate_per_s
        self.random = random.Random(seed)
        self.retries, self.obedience, self.deadline_ms = retries, obedience, deadline_ms
        self.tally = Tally()
        self.idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        self.places = asyncio.Semaphore(most_open)
        self.tasks: set[asyncio.Task[None]] = set()
        self.serial = 0

    async def run(self, seconds: float) -> None:
        """Ask for so long, and wait for the last answer."""
        end = time.monotonic() + seconds
        due = time.monotonic()
        while (due := due + self.random.expovariate(self.rate_per_s)) < end:
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            task = asyncio.create_task(self._order())
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        await asyncio.gather(*self.tasks)
        for _, writer in self.idle:
            writer.close()
        self.idle.clear()

    async def _order(self) -> None:
        async with self.places:
            self.serial += 1
            key = f"{self.name}-{self.serial:08x}"
            self.tally.asked += 1
            for attempt in range(self.retries + 1):
                status, wait_s = await self._try(key, f"{key}-{attempt}", repeat=attempt > 0)
                if status == 200:
                    self.tally.served += 1
                    self.tally.keys.add(key)
                    return
                if status not in (429, 503) or attempt == self.retries:
                    break
                self.tally.repeats += 1
                await asyncio.sleep(wait_s if self.random.random() < self.obedience else 0.0)
            if status in (429, 503):
                self.tally.refused += 1
            else:
                self.tally.failed += 1

    async def _try(self, key: str, name: str, *, repeat: bool) -> tuple[int, float]:
        """One request; its status (0 where the connection broke) and the time to stay away."""
        head = (
            f"POST /api/tile HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: {name}\r\n"
            f"X-Service-Class: order\r\nX-Account: acme\r\nX-Time-Left: {self.deadline_ms:.0f}m\r\n"
            f"Idempotency-Key: {key}\r\nContent-Length: 4\r\n"
        )
        if repeat:
            head += "X-Repeat: 1\r\n"
        begun = time.monotonic()
        try:
            async with asyncio.timeout(self.deadline_ms / 1000.0 + 0.05):
                for _ in range(2):  # the proxy may close one that is idle just as a request comes
                    fresh = not self.idle
                    pair = await self.front.connect() if fresh else self.idle.pop()
                    try:
                        pair[1].write(head.encode() + b"\r\ntile")
                        first, headers, body = await read_message(pair[0])
                        break
                    except (asyncio.IncompleteReadError, ConnectionError):
                        pair[1].close()
                        if fresh:
                            return 0, 0.0
                else:
                    return 0, 0.0
        except TimeoutError:
            self.tally.lost += 1
            return 0, 0.0
        except OSError:
            return 503, 0.1  # no proxy was reached: nothing has run
        status = int(first.split()[1])
        if status == 200:
            if len(self.tally.latencies_ms) < MAX_LATENCIES:
                self.tally.latencies_ms.append((time.monotonic() - begun) * 1000.0)
            self.tally.wrong += body != b"tile for " + name.encode()
        if headers.get(b"connection") == b"close":
            pair[1].close()
        else:
            self.idle.append(pair)
        wait = 0.0
        with suppress(ValueError):
            wait = float(headers.get(b"retry-after", b"0"))
        return status, wait
