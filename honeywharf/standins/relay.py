"""A TCP relay on loopback that can hold data back, or cut connections within the data."""

from __future__ import annotations

import asyncio
from contextlib import suppress

MAX_PENDING_BYTES = 16 * 1024 * 1024  # Per connection and direction; beyond it the sender waits.


class Relay:
    """Relays connections to `port`. `hold_requests` and `hold_replies` hold back data of one direction."""

    def __init__(self, port: int) -> None:
        self.target, self.port = port, 0
        self.hold_requests = self.hold_replies = False
        # After this many bytes of replies all connections are cut.
        self.cut_after_reply_bytes: int | None = None
        self.pending_request_bytes = self.pending_reply_bytes = 0
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> Relay:
        """Listens on a free port of 127.0.0.1."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            target_reader, target_writer = await asyncio.open_connection("127.0.0.1", self.target)
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, target_writer}
        for copy in (self._copy(reader, target_writer, True), self._copy(target_reader, writer, False)):
            task = asyncio.create_task(copy)
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, is_request: bool
    ) -> None:
        pending = bytearray()
        with suppress(OSError):
            while True:
                data = b""
                with suppress(TimeoutError):
                    if len(pending) < MAX_PENDING_BYTES:
                        data = await asyncio.wait_for(reader.read(65536), 0.01 if pending else None)
                        if not data:
                            break  # Held data is lost with the connection.
                    else:
                        await asyncio.sleep(0.01)
                pending += data
                if self.hold_requests if is_request else self.hold_replies:
                    self._add_pending(is_request, len(data))
                    continue
                self._add_pending(is_request, len(data) - len(pending))
                if not is_request and self.cut_after_reply_bytes is not None:
                    partial = pending[: self.cut_after_reply_bytes]
                    self.cut_after_reply_bytes -= len(partial)
                    if len(partial) < len(pending):
                        writer.write(bytes(partial))
                        await writer.drain()
                        self.cut_after_reply_bytes = None
                        self.cut()
                        return
                writer.write(bytes(pending))
                pending.clear()
        self._add_pending(is_request, -len(pending))
        self.writers.discard(writer)
        writer.close()

    def _add_pending(self, is_request: bool, size: int) -> None:
        if is_request:
            self.pending_request_bytes += size
        else:
            self.pending_reply_bytes += size

    def cut(self) -> None:
        """Resets all connections."""
        for writer in list(self.writers):
            writer.transport.abort()
        self.writers.clear()

    async def stop(self) -> None:
        """Stops listening and resets all connections."""
        if self.server is not None:
            self.server.close()
        self.cut()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
