"""A network between two sides on loopback that can be held up, or cut in the middle of what it carries."""

from __future__ import annotations

import asyncio
from contextlib import suppress

MAX_HELD = 16 * 1024 * 1024  # bytes that one connection holds up; beyond it the sender waits


class Relay:
    """Carries each connection to `port`; `hold_there` and `hold_back` hold bytes up in one direction."""

    def __init__(self, port: int) -> None:
        self.target, self.port = port, 0
        self.hold_there = self.hold_back = False
        self.cut_back_after: int | None = None  # bytes of replies from now on; then all connections are cut
        self.held_there = self.held_back = 0  # bytes held up now
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> Relay:
        """Listen."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            far_reader, far_writer = await asyncio.open_connection("127.0.0.1", self.target)
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, far_writer}
        for work in (self._carry(reader, far_writer, True), self._carry(far_reader, writer, False)):
            task = asyncio.create_task(work)
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _carry(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, there: bool) -> None:
        held = bytearray()
        with suppress(OSError):
            while True:
                data = b""
                with suppress(TimeoutError):
                    if len(held) < MAX_HELD:
                        data = await asyncio.wait_for(reader.read(65536), 0.01 if held else None)
                        if not data:
                            break  # what is held up is lost with the connection
                    else:
                        await asyncio.sleep(0.01)
                held += data
                if self.hold_there if there else self.hold_back:
                    self._note(there, len(data))
                    continue
                self._note(there, len(data) - len(held))
                if not there and self.cut_back_after is not None:
                    part = held[: self.cut_back_after]
                    self.cut_back_after -= len(part)
                    if len(part) < len(held):
                        writer.write(bytes(part))
                        await writer.drain()
                        self.cut_back_after = None
                        self.cut()
                        return
                writer.write(bytes(held))
                held.clear()
        self._note(there, -len(held))
        self.writers.discard(writer)
        writer.close()

    def _note(self, there: bool, more: int) -> None:
        if there:
            self.held_there += more
        else:
            self.held_back += more

    def cut(self) -> None:
        """Cut all connections."""
        for writer in list(self.writers):
            writer.transport.abort()
        self.writers.clear()

    async def stop(self) -> None:
        """Listen no more, and cut all."""
        if self.server is not None:
            self.server.close()
        self.cut()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
