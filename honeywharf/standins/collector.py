"""A trace collector for OTLP over HTTP with protobuf. Keeps the spans and answers by a script."""

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


def bind_shared(port: int) -> socket.socket:
    """Returns a socket bound to a port of 127.0.0.1 (0 for a free one), which later calls can share."""
    bound_socket = socket.socket()
    bound_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    bound_socket.bind(("127.0.0.1", port))
    return bound_socket


class Collector:
    """Accepts batches of spans, or answers as `script` says for the next ones.

    A scripted answer is a status, a status with `Retry-After` in seconds, or the message and the number of
    rejected spans of a partial success. `silent` sends no answers. From `start` to `close` a bound socket
    reserves the port, so that no other process takes it after `stop`.
    """

    def __init__(self) -> None:
        self.script: list[int | tuple[int, float] | tuple[str, int]] = []
        self.resources: list[ResourceSpans] = []
        self.batches = self.refused = 0
        self.silent = False
        self.headers: dict[bytes, bytes] = {}  # Headers of the last batch.
        self.port = 0
        self.server: asyncio.Server | None = None
        self.reserving_socket: socket.socket | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> Collector:
        """Listens on 127.0.0.1, on the same port again after `stop`. OSError if no port is free."""
        if self.reserving_socket is None:
            self.reserving_socket = bind_shared(0)
            self.port = self.reserving_socket.getsockname()[1]
        self.server = await asyncio.start_server(self._serve, sock=bind_shared(self.port), limit=2**20)
        return self

    @property
    def endpoint(self) -> str:
        """The URL for `[traces.otlp]`."""
        return f"http://127.0.0.1:{self.port}/v1/traces"

    @property
    def spans(self) -> list[Span]:
        """All accepted spans."""
        return [span for r in self.resources for scope in r.scope_spans for span in scope.spans]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        with suppress(asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            while True:
                request_line, self.headers, body = await read_message(reader)
                if not self.silent:
                    writer.write(self._answer(request_line, body))
        self.writers.discard(writer)
        writer.close()

    def _answer(self, request_line: bytes, body: bytes) -> bytes:
        scripted = self.script.pop(0) if self.script else 200
        if request_line != b"POST /v1/traces HTTP/1.1":
            return reply(404, b"")
        if isinstance(scripted, tuple) and isinstance(scripted[0], int):
            self.refused += 1
            return reply(scripted[0], b"", b"Retry-After: %d" % scripted[1])
        if isinstance(scripted, int) and scripted != 200:
            self.refused += 1
            return reply(scripted, b"")
        request = ExportTraceServiceRequest.FromString(body)
        self.batches += 1
        if len(self.resources) < MAX_SPANS:
            self.resources.extend(request.resource_spans)
        answer = ExportTraceServiceResponse()
        if isinstance(scripted, tuple):
            answer.partial_success.rejected_spans = int(scripted[1])
            answer.partial_success.error_message = str(scripted[0])
        return reply(200, answer.SerializeToString(), b"Content-Type: application/x-protobuf")

    async def stop(self) -> None:
        """Stops listening and resets connections."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            with suppress(OSError):
                writer.transport.abort()

    async def close(self) -> None:
        """Stops and releases the port."""
        await self.stop()
        if self.reserving_socket is not None:
            self.reserving_socket.close()
            self.reserving_socket = None
