"""A collector of traces: OTLP over HTTP, binary. It keeps the spans it took, and answers by a script."""

from __future__ import annotations

import asyncio
import socket
from contextlib import suppress

from opentelemetry.proto.collector.trace.v1.trace_service_pb2 import (
    ExportTraceServiceRequest,
    ExportTraceServiceResponse,
)
from opentelemetry.proto.trace.v1.trace_pb2 import ResourceSpans, Span

from honeywharf.standins.messages import read_message, reply

MAX_SPANS = 1_000_000


def bound(port: int) -> socket.socket:
    """A socket bound to a port of 127.0.0.1 (0: a free one) that others of this function's may share."""
    made = socket.socket()
    made.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    made.bind(("127.0.0.1", port))
    return made


class Collector:
    """`script` holds what the next batches get: a status, one with `Retry-After`, or spans rejected of 200.

    `silent` takes batches and says nothing. Without a script all is taken. From `start` to `close` its
    port is its own, away or not: a socket that only holds it guards against another process taking it.
    """

    def __init__(self) -> None:
        self.script: list[int | tuple[int, float] | tuple[str, int]] = []
        self.resources: list[ResourceSpans] = []
        self.batches = self.refused = 0
        self.silent = False
        self.headers: dict[bytes, bytes] = {}  # of the last batch
        self.port = 0
        self.server: asyncio.Server | None = None
        self.holder: socket.socket | None = None
        self.open: set[asyncio.StreamWriter] = set()

    async def start(self) -> Collector:
        """Listen on 127.0.0.1, on the same port again after `stop`; OSError where there is none."""
        if self.holder is None:
            self.holder = bound(0)
            self.port = self.holder.getsockname()[1]
        self.server = await asyncio.start_server(self._serve, sock=bound(self.port), limit=2**20)
        return self

    @property
    def endpoint(self) -> str:
        """Where it is, for `[traces.otlp]`."""
        return f"http://127.0.0.1:{self.port}/v1/traces"

    @property
    def spans(self) -> list[Span]:
        """All spans that it has taken."""
        return [span for r in self.resources for scope in r.scope_spans for span in scope.spans]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.open.add(writer)
        with suppress(asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            while True:
                first, self.headers, body = await read_message(reader)
                if not self.silent:
                    writer.write(self._answer(first, body))
        self.open.discard(writer)
        writer.close()

    def _answer(self, first: bytes, body: bytes) -> bytes:
        step = self.script.pop(0) if self.script else 200
        if first != b"POST /v1/traces HTTP/1.1":
            return reply(404, b"")
        if isinstance(step, tuple) and isinstance(step[0], int):
            self.refused += 1
            return reply(step[0], b"", b"Retry-After: %d" % step[1])
        if isinstance(step, int) and step != 200:
            self.refused += 1
            return reply(step, b"")
        told = ExportTraceServiceRequest.FromString(body)
        self.batches += 1
        if len(self.resources) < MAX_SPANS:
            self.resources.extend(told.resource_spans)
        answer = ExportTraceServiceResponse()
        if isinstance(step, tuple):
            answer.partial_success.rejected_spans = int(step[1])
            answer.partial_success.error_message = str(step[0])
        return reply(200, answer.SerializeToString(), b"Content-Type: application/x-protobuf")

    async def stop(self) -> None:
        """Go away: connections are cut, new ones refused."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.open):
            with suppress(OSError):
                writer.transport.abort()

    async def close(self) -> None:
        """Go away for good: the port is free."""
        await self.stop()
        if self.holder is not None:
            self.holder.close()
            self.holder = None
