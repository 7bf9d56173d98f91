"""Clients of a zone behind a front that balances connections between the proxies of the zone."""

from __future__ import annotations

import asyncio
import random
import time
from contextlib import suppress
from dataclasses import dataclass, field

from honeywharf.standins.messages import read_message

MAX_LATENCIES = 200_000


class Front:
    """Spreads connections over proxies at random and skips one that refused for `dead_interval_s`."""

    def __init__(self, ports: list[int], seed: int = 0, dead_interval_s: float = 1.0) -> None:
        if not ports:
            raise ValueError("front: expected at least one port, got []")
        self.ports, self.random, self.dead_interval_s = ports, random.Random(seed), dead_interval_s
        self.dead_until: dict[int, float] = {}

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Opens a connection to one of the proxies. OSError if that fails."""
        now = time.monotonic()
        candidates = [p for p in self.ports if self.dead_until.get(p, 0.0) <= now] or self.ports
        port = self.random.choice(candidates)
        try:
            return await asyncio.open_connection("127.0.0.1", port)
        except OSError:
            self.dead_until[port] = now + self.dead_interval_s
            raise


@dataclass
class Tally:
    """Counts of the clients of a zone: orders by final outcome, and violations of the rules."""

    orders: int = 0
    served: int = 0
    refused: int = 0
    failed: int = 0
    repeats: int = 0
    lost: int = 0  # Orders without a final answer before the deadline.
    mismatched: int = 0  # Answers to another request.
    latencies_ms: list[float] = field(default_factory=list)
    keys: set[str] = field(default_factory=set)  # Idempotency keys of the served orders.

    def quantile(self, share: float) -> float:
        """Returns a quantile of the latency of served orders in ms, 0 if there are none."""
        ordered = sorted(self.latencies_ms)
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else 0.0


class Clients:
    """Open-loop clients, which send requests of the keyed class `order` at random times.

    A rejected request is retried with the same key up to `retries` times. With probability `obedience` the
    client waits as long as the rejection says, else it retries at once. A failed request is not retried,
    because it may have run.
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
        max_in_flight: int = 256,
    ) -> None:
        self.front, self.name, self.rate_per_s = front, name, rate_per_s
        self.random = random.Random(seed)
        self.retries, self.obedience, self.deadline_ms = retries, obedience, deadline_ms
        self.tally = Tally()
        self.idle_connections: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        self.in_flight_slots = asyncio.Semaphore(max_in_flight)
        self.tasks: set[asyncio.Task[None]] = set()
        self.serial = 0

    async def run(self, seconds: float) -> None:
        """Sends requests for `seconds` and waits for the last answer."""
        end = time.monotonic() + seconds
        due = time.monotonic()
        while (due := due + self.random.expovariate(self.rate_per_s)) < end:
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            task = asyncio.create_task(self._order())
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        await asyncio.gather(*self.tasks)
        for _, writer in self.idle_connections:
            writer.close()
        self.idle_connections.clear()

    async def _order(self) -> None:
        async with self.in_flight_slots:
            self.serial += 1
            key = f"{self.name}-{self.serial:08x}"
            self.tally.orders += 1
            for attempt in range(self.retries + 1):
                status, wait_s = await self._request(key, f"{key}-{attempt}", repeat=attempt > 0)
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

    async def _request(self, key: str, name: str, *, repeat: bool) -> tuple[int, float]:
        """Sends one request. Returns its status, 0 if the connection broke, and Retry-After in seconds."""
        head = (
            f"POST /api/tile HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: {name}\r\n"
            f"X-Service-Class: order\r\nX-Account: acme\r\nX-Time-Left: {self.deadline_ms:.0f}m\r\n"
            f"Idempotency-Key: {key}\r\nContent-Length: 4\r\n"
        )
        if repeat:
            head += "X-Repeat: 1\r\n"
        started = time.monotonic()
        try:
            async with asyncio.timeout(self.deadline_ms / 1000.0 + 0.05):
                for _ in range(2):  # The proxy may close an idle connection at any time.
                    is_new = not self.idle_connections
                    connection = await self.front.connect() if is_new else self.idle_connections.pop()
                    try:
                        connection[1].write(head.encode() + b"\r\ntile")
                        status_line, headers, body = await read_message(connection[0])
                        break
                    except (asyncio.IncompleteReadError, ConnectionError):
                        connection[1].close()
                        if is_new:
                            return 0, 0.0
                else:
                    return 0, 0.0
        except TimeoutError:
            self.tally.lost += 1
            return 0, 0.0
        except OSError:
            return 503, 0.1  # No proxy was reached, so nothing has run.
        status = int(status_line.split()[1])
        if status == 200:
            if len(self.tally.latencies_ms) < MAX_LATENCIES:
                self.tally.latencies_ms.append((time.monotonic() - started) * 1000.0)
            self.tally.mismatched += body != b"tile for " + name.encode()
        if headers.get(b"connection") == b"close":
            connection[1].close()
        else:
            self.idle_connections.append(connection)
        wait = 0.0
        with suppress(ValueError):
            wait = float(headers.get(b"retry-after", b"0"))
        return status, wait
