"""A backend on a loopback socket: a model node with a rack, or one that answers by a script."""

from __future__ import annotations

import asyncio
import random
import time
from collections import deque
from contextlib import suppress
from typing import Any, Self

from honeywharf.lab.histories import History
from honeywharf.lab.model import INFINITY, Node, Rack
from honeywharf.standins.messages import Message, read_message, reply, row
from honeywharf.standins.node import free_ports


def now_ms() -> float:
    """Milliseconds of the monotonic clock, which all stand-ins of a process share."""
    return time.monotonic() * 1000.0


SPOILT = (  # of a request that has run: noise, an answer said to have 3 GB, one cut short, a head without end
    b"\x00\xff\x17 not http\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\n" + b"x" * 512,
    b"HTTP/1.1 200 OK\r\nContent-Length: 64\r\n\r\nhalf",
    b"HTTP/1.1 200 OK\r\nX-Noise: " + b"n" * 32768,
)


class Backend:
    """Answers each request with what `script` says, then with `then`, or as its `node` does the work.

    What the script holds beyond bytes to write: None says nothing, "close" ends the connection unanswered.
    Before each: `pause_s`. `spoilt` and `errors` are the parts of a node's answers that are noise, or 500;
    its load reports are `report_late_ms` old. `work_ms` is the mean of a node's works, which `seed` draws;
    each key that runs is charged to `rack`.
    """

    pause_s = 0.0

    def __init__(
        self,
        node: Node | None = None,
        rack: Rack | None = None,
        *,
        work_ms: float = 10.0,
        spread: float = 0.3,
        spoilt: float = 0.0,
        errors: float = 0.0,
        report_late_ms: float = 0.0,
        seed: int = 0,
        most_noted: int = 100_000,
    ) -> None:
        self.node, self.rack, self.work_ms, self.spread = node, rack, work_ms, spread
        self.spoilt, self.errors, self.report_late_ms = spoilt, errors, report_late_ms
        self.reports: deque[tuple[float, int]] = deque([(-INFINITY, 0)], maxlen=4096)  # when, calls waiting
        self.random = random.Random(seed)
        self.most_noted = most_noted
        self.requests: list[Message] = []  # without a node; the first `most_noted`
        self.script: list[bytes | str | None] = []
        self.then: bytes | str | None = reply()
        self.ended: dict[str, asyncio.Future[None]] = {}
        self.timer: asyncio.TimerHandle | None = None
        self.serial = self.taken = self.turned_away = self.connections = self.closed = 0
        self.last_taken_ms = -INFINITY
        self.told_drain_ms = INFINITY  # when the registry has told that it drains
        self.after_drain = 0  # requests that came later than the grace after that
        self.grace_ms = 550.0
        self.writers: set[asyncio.StreamWriter] = set()
        self.came = asyncio.Event()
        self.history: History | None = None  # told of each charge
        self.port = 0
        self.server: asyncio.Server | None = None

    async def start(self) -> Self:
        """Listen on 127.0.0.1, on the same port again after a crash."""
        if not self.port:
            (self.port,) = free_ports(1)
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                self.came.set()
                if self.node is None:
                    answer = await self._scripted(message)
                else:
                    answer = await self._worked(self.node, message)
                if answer == "close":
                    break
                if isinstance(answer, bytes):
                    writer.write(answer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.closed += 1
            self.writers.discard(writer)
            writer.close()

    async def _scripted(self, message: Message) -> bytes | str | None:
        if len(self.requests) < self.most_noted:
            self.requests.append(message)
        step = self.script.pop(0) if self.script else self.then
        if self.pause_s:
            await asyncio.sleep(self.pause_s)
        return step

    async def _worked(self, node: Node, message: Message) -> bytes | None:
        first, headers, _ = message
        path = first.split()[1].partition(b"?")[0]
        report = b"X-Backend-Load: queue=%d" % self._report(node)
        if path == b"/health/live":
            return reply(503 if node.draining else 200, b"")
        if path == b"/stats":
            return reply(200, report.partition(b" ")[2])
        name = headers.get(b"x-correlation-id")
        if name is None:
            return reply(404, b"")
        now = now_ms()
        self.after_drain += now > self.told_drain_ms + self.grace_ms
        self.serial += 1
        call, work = f"c{self.serial}", self.work_ms * self.random.lognormvariate(0.0, self.spread)
        if not node.offer(now, call, work):
            self.turned_away += 1
            return reply(503, b"", b"X-Unprocessed: 1", report)
        self.taken += 1
        self.last_taken_ms = now
        key = headers.get(b"idempotency-key")
        if (
            key is not None
            and self.rack is not None
            and self.rack.charge(key.decode("latin-1"), now)
            and self.history is not None
        ):
            self.history.charged(key.decode("latin-1"), name.decode("latin-1"), now)
        done = self.ended[call] = asyncio.get_running_loop().create_future()
        self._arm(node)
        await done
        while node.unresponsive:  # a machine that is cut off says nothing
            await asyncio.sleep(0.05)
        fate = self.random.random()
        if fate < self.spoilt:
            return self.random.choice(SPOILT)
        if fate < self.spoilt + self.errors:
            return reply(500, b"")
        return reply(200, b"tile for " + name, b"X-Backend-Load: queue=%d" % self._report(node))

    def _report(self, node: Node) -> int:
        """The calls that waited so long ago."""
        now = now_ms()
        self.reports.append((now, len(node.waiting)))
        while len(self.reports) > 1 and self.reports[1][0] <= now - self.report_late_ms:
            self.reports.popleft()
        return self.reports[0][1]

    def _arm(self, node: Node) -> None:
        if self.timer is not None:
            self.timer.cancel()
        if node.due() < INFINITY:
            delay = max(0.0, node.due() - now_ms()) / 1000.0
            self.timer = asyncio.get_running_loop().call_later(delay, self._finish, node)

    def _finish(self, node: Node) -> None:
        self.timer = None
        for call in node.finish(now_ms()):
            done = self.ended.pop(call, None)
            if done is not None and not done.done():
                done.set_result(None)
        self._arm(node)

    def row(self, name: str, zone: str = "z", lifecycle: str = "up", **more: Any) -> dict[str, Any]:
        """How the registry lists it."""
        return row(name, self.port, zone, lifecycle, **more)

    async def crash(self) -> None:
        """Die: connections are reset, new ones refused, and what it held is lost."""
        if self.node is not None:
            for call in self.node.crash():
                self.ended.pop(call, asyncio.get_running_loop().create_future()).cancel()
        await self.stop()

    async def restart(self) -> None:
        """Come back at the same address, cold."""
        if self.node is not None:
            self.node.restart(now_ms())
        await self.start()

    async def stop(self) -> None:
        """Listen no more and reset what is open."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            with suppress(OSError):
                writer.transport.abort()
