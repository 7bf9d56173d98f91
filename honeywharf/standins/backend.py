"""A backend on a loopback socket that serves as a modelled node with a rack, or replies by a script."""

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
    """Returns the milliseconds of the monotonic clock, which all stand-ins of a process share."""
    return time.monotonic() * 1000.0


# Replies after a request has run: noise, a declared length of 3 GB, a truncated body, an endless head.
MALFORMED_REPLIES = (
    b"\x00\xff\x17 not http\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\n" + b"x" * 512,
    b"HTTP/1.1 200 OK\r\nContent-Length: 64\r\n\r\nhalf",
    b"HTTP/1.1 200 OK\r\nX-Noise: " + b"n" * 32768,
)


class Backend:
    """Replies to each request from `script`, then with `default_reply`, or after the work of its `node`.

    A scripted reply is bytes to write, None to send nothing, or "close" to close the connection without a
    reply; `reply_delay_s` precedes each. `malformed` and `errors` are the shares of a node's replies that are
    malformed, or have status 500. Load reports are `report_delay_ms` old. `work_ms` is the mean work of a
    request, which is drawn by `seed`. Each key that runs is charged to `rack`.
    """

    reply_delay_s = 0.0

    def __init__(
        self,
        node: Node | None = None,
        rack: Rack | None = None,
        *,
        work_ms: float = 10.0,
        spread: float = 0.3,
        malformed: float = 0.0,
        errors: float = 0.0,
        report_delay_ms: float = 0.0,
        seed: int = 0,
        max_recorded: int = 100_000,
    ) -> None:
        self.node, self.rack, self.work_ms, self.spread = node, rack, work_ms, spread
        self.malformed, self.errors, self.report_delay_ms = malformed, errors, report_delay_ms
        self.reports: deque[tuple[float, int]] = deque(
            [(-INFINITY, 0)], maxlen=4096
        )  # Time in ms and calls in the queue.
        self.random = random.Random(seed)
        self.max_recorded = max_recorded
        self.requests: list[Message] = []  # Recorded without a node only.
        self.script: list[bytes | str | None] = []
        self.default_reply: bytes | str | None = reply()
        self.pending: dict[str, asyncio.Future[None]] = {}
        self.timer: asyncio.TimerHandle | None = None
        self.serial = self.accepted = self.rejected = self.connections = self.closed = 0
        self.last_accepted_ms = -INFINITY
        self.drain_announced_ms = INFINITY  # When the registry lists it as draining.
        self.requests_after_drain = 0  # Received after `drain_grace_ms` has passed.
        self.drain_grace_ms = 550.0
        self.writers: set[asyncio.StreamWriter] = set()
        self.request_received = asyncio.Event()
        self.history: History | None = None
        self.port = 0
        self.server: asyncio.Server | None = None

    async def start(self) -> Self:
        """Listens on 127.0.0.1, on the same port again after a crash."""
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
                self.request_received.set()
                if self.node is None:
                    answer = await self._scripted_reply(message)
                else:
                    answer = await self._node_reply(self.node, message)
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

    async def _scripted_reply(self, message: Message) -> bytes | str | None:
        if len(self.requests) < self.max_recorded:
            self.requests.append(message)
        scripted_reply = self.script.pop(0) if self.script else self.default_reply
        if self.reply_delay_s:
            await asyncio.sleep(self.reply_delay_s)
        return scripted_reply

    async def _node_reply(self, node: Node, message: Message) -> bytes | None:
        request_line, headers, _ = message
        path = request_line.split()[1].partition(b"?")[0]
        report = b"X-Backend-Load: queue=%d" % self._report(node)
        if path == b"/health/live":
            return reply(503 if node.draining else 200, b"")
        if path == b"/stats":
            return reply(200, report.partition(b" ")[2])
        correlation_id = headers.get(b"x-correlation-id")
        if correlation_id is None:
            return reply(404, b"")
        now = now_ms()
        self.requests_after_drain += now > self.drain_announced_ms + self.drain_grace_ms
        self.serial += 1
        call, work = f"c{self.serial}", self.work_ms * self.random.lognormvariate(0.0, self.spread)
        if not node.offer(now, call, work):
            self.rejected += 1
            return reply(503, b"", b"X-Unprocessed: 1", report)
        self.accepted += 1
        self.last_accepted_ms = now
        key = headers.get(b"idempotency-key")
        if (
            key is not None
            and self.rack is not None
            and self.rack.charge(key.decode("latin-1"), now)
            and self.history is not None
        ):
            self.history.charged(key.decode("latin-1"), correlation_id.decode("latin-1"), now)
        completed = self.pending[call] = asyncio.get_running_loop().create_future()
        self._schedule_finish(node)
        await completed
        while node.unresponsive:  # A partitioned machine sends no reply.
            await asyncio.sleep(0.05)
        draw = self.random.random()
        if draw < self.malformed:
            return self.random.choice(MALFORMED_REPLIES)
        if draw < self.malformed + self.errors:
            return reply(500, b"")
        return reply(200, b"tile for " + correlation_id, b"X-Backend-Load: queue=%d" % self._report(node))

    def _report(self, node: Node) -> int:
        """Returns the queue length as it was `report_delay_ms` ago."""
        now = now_ms()
        self.reports.append((now, len(node.waiting)))
        while len(self.reports) > 1 and self.reports[1][0] <= now - self.report_delay_ms:
            self.reports.popleft()
        return self.reports[0][1]

    def _schedule_finish(self, node: Node) -> None:
        if self.timer is not None:
            self.timer.cancel()
        if node.due() < INFINITY:
            delay = max(0.0, node.due() - now_ms()) / 1000.0
            self.timer = asyncio.get_running_loop().call_later(delay, self._finish, node)

    def _finish(self, node: Node) -> None:
        self.timer = None
        for call in node.finish(now_ms()):
            completed = self.pending.pop(call, None)
            if completed is not None and not completed.done():
                completed.set_result(None)
        self._schedule_finish(node)

    def row(self, name: str, zone: str = "z", lifecycle: str = "up", **more: Any) -> dict[str, Any]:
        """Returns the entry of this backend in the registry."""
        return row(name, self.port, zone, lifecycle, **more)

    async def crash(self) -> None:
        """Resets connections, refuses new ones and loses the requests in flight."""
        if self.node is not None:
            for call in self.node.crash():
                self.pending.pop(call, asyncio.get_running_loop().create_future()).cancel()
        await self.stop()

    async def restart(self) -> None:
        """Listens at the same address again, as a cold node."""
        if self.node is not None:
            self.node.restart(now_ms())
        await self.start()

    async def stop(self) -> None:
        """Stops listening and resets open connections."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            with suppress(OSError):
                writer.transport.abort()
