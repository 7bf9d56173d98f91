"""The registry (discovery): serves the full list of nodes, and watches that wait for newer changes."""

from __future__ import annotations

import asyncio
import json
from collections import deque
from contextlib import suppress
from typing import Any
from urllib.parse import parse_qs, urlsplit

from honeywharf.standins.messages import read_message, reply
from honeywharf.standins.node import free_ports

MAX_CHANGES = 4096  # A watch from before the oldest one gets the full list.
MAX_WAIT_MS = 60000.0


class Registry:
    """Lists nodes at `GET /registry/instances`.

    With `scripted`, each call gets the next answer from `script_answer` or `answers`, whatever its query.
    `silent` withholds all answers, as an agent does while discovery is down.
    """

    def __init__(self, *, scripted: bool = False, delay_s: float = 0.0) -> None:
        self.scripted, self.delay_s, self.silent = scripted, delay_s, False
        self.rows: dict[str, dict[str, Any]] = {}
        self.generation = 1
        self.changes: deque[tuple[int, dict[str, Any]]] = deque(maxlen=MAX_CHANGES)
        self.oldest_generation = 1  # Changes since an older generation are not available.
        self.calls: list[bytes] = []
        self.called = asyncio.Event()
        self.changed = asyncio.Condition()
        self.answers: asyncio.Queue[bytes] = asyncio.Queue()
        self.connections: set[asyncio.StreamWriter] = set()
        self.port = 0
        self.server: asyncio.Server | None = None

    async def start(self, port: int = 0) -> Registry:
        """Listens on 127.0.0.1. Port 0 reserves a free port, which a later start can use again."""
        self.port = port or free_ports(1)[0]
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        return self

    def script_answer(self, generation: int, *rows: dict[str, Any], reset: bool = False) -> None:
        """Queues the answer to one call."""
        self.answers.put_nowait(self._body(generation, rows, reset=reset))

    async def put(self, *rows: dict[str, Any]) -> None:
        """Adds or updates nodes. An entry with `lifecycle` `removed` deletes its node."""
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        async with self.changed:
            for entry in rows:
                self.generation += 1
                if len(self.changes) == MAX_CHANGES:
                    self.oldest_generation = self.changes[0][0]
                self.changes.append((self.generation, entry))
                if entry["lifecycle"] == "removed":
                    self.rows.pop(entry["instanceId"], None)
                else:
                    self.rows[entry["instanceId"]] = entry
            self.changed.notify_all()

    def _body(self, generation: int, rows: Any, *, reset: bool) -> bytes:
        body = json.dumps({"generation": generation, "reset": reset, "instances": list(rows)}).encode()
        return reply(200, body, b"Content-Type: application/json")

    def _newer(self, after: int) -> bytes:
        if after < self.oldest_generation or after > self.generation:
            return self._body(self.generation, self.rows.values(), reset=True)
        latest = {entry["instanceId"]: entry for changed, entry in self.changes if changed > after}
        return self._body(self.generation, latest.values(), reset=False)

    async def _answer(self, target: str) -> bytes:
        if self.scripted:
            return await self.answers.get()
        while self.silent:
            await asyncio.sleep(0.05)
        url = urlsplit(target)
        if url.path != "/registry/instances":
            return reply(404, b"")
        query = parse_qs(url.query)
        if "after" not in query:
            return self._body(self.generation, self.rows.values(), reset=True)
        after = int(query["after"][0])
        wait_s = min(MAX_WAIT_MS, float(query.get("wait_ms", ["0"])[0])) / 1000.0
        with suppress(TimeoutError):
            async with asyncio.timeout(wait_s), self.changed:
                await self.changed.wait_for(lambda: self.generation != after and not self.silent)
        return self._newer(after)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections.add(writer)
        with suppress(asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            while True:
                request_line, _, _ = await read_message(reader)
                if self.scripted:
                    self.calls.append(request_line)
                self.called.set()
                answer = await self._answer(request_line.split()[1].decode())
                if writer.transport.is_closing():
                    break  # The caller has closed the connection.
                writer.write(answer)
        self.connections.discard(writer)
        writer.close()

    async def stop(self) -> None:
        """Stops listening and resets open connections."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()
