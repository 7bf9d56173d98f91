"""Connections as sinks and sources of streamed bodies, with reads of a bounded size.

The event loop's own reads return up to 250 kB at once, which the buffer budget would have to count for each
body. A small receive buffer in the kernel is no alternative: with 64 kB, the sender waits for its persist
timer on loopback, whose segments are as long as that.
"""

from __future__ import annotations

import asyncio
from typing import Protocol

from honeywharf.flow.buffer_budget import MAX_READ
from honeywharf.flow.pipe import Sink, Source

_BUFFER = bytearray(MAX_READ)  # shared: the loop reads into it and delivers the bytes in the same turn
_VIEW = memoryview(_BUFFER)


class BoundedReads(asyncio.BufferedProtocol):
    """Wraps a connection's protocol and delivers at most `MAX_READ` bytes at a time."""

    __slots__ = ("inner",)

    def __init__(self, inner: asyncio.Protocol) -> None:
        self.inner = inner

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns the buffer that the event loop reads into."""
        return _VIEW

    def buffer_updated(self, nbytes: int) -> None:
        """Delivers the bytes that were read."""
        self.inner.data_received(bytes(_VIEW[:nbytes]))

    def eof_received(self) -> bool | None:
        """Forwards the call."""
        return self.inner.eof_received()

    def connection_lost(self, exc: Exception | None) -> None:
        """Forwards the call."""
        self.inner.connection_lost(exc)

    def pause_writing(self) -> None:
        """Forwards the call."""
        self.inner.pause_writing()

    def resume_writing(self) -> None:
        """Forwards the call."""
        self.inner.resume_writing()


def bound_reads(transport: asyncio.Transport, inner: asyncio.Protocol) -> None:
    """Limits the size of each read of this connection; calling it again has no effect."""
    if isinstance(transport.get_protocol(), BoundedReads):
        return
    reading = transport.is_reading()
    if reading:
        transport.pause_reading()  # the event loop chooses the way of reading when reading starts
    transport.set_protocol(BoundedReads(inner))
    if reading:
        transport.resume_reading()


class BodyWriter(Protocol):
    """A connection that a body is written to."""

    def write_body(self, data: bytes) -> None:
        """Writes a part of the body."""

    def body_completed(self) -> None:
        """Called when the body is complete."""

    def body_aborted(self) -> None:
        """Called when the rest of the body will not follow."""


class BodyReader(Protocol):
    """A connection that a body is read from."""

    def set_paused(self, paused: bool) -> None:
        """Stops or resumes reading."""

    def body_cancelled(self) -> None:
        """Called when the recipient needs no more of the body."""


class ConnectionSink(Sink):
    """A connection as the sink of a body."""

    __slots__ = ("connection",)

    def __init__(self, connection: BodyWriter) -> None:
        self.connection = connection

    def take(self, data: bytes) -> None:
        """Writes a part of the body."""
        self.connection.write_body(data)

    def completed(self) -> None:
        """Called when the body is complete."""
        self.connection.body_completed()

    def aborted(self) -> None:
        """Called when the rest of the body will not follow."""
        self.connection.body_aborted()


class ConnectionSource(Source):
    """A connection as the source of a body."""

    __slots__ = ("connection",)

    def __init__(self, connection: BodyReader) -> None:
        self.connection = connection

    def set_paused(self, paused: bool) -> None:
        """Stops or resumes reading."""
        self.connection.set_paused(paused)

    def body_cancelled(self) -> None:
        """Called when the recipient needs no more of the body."""
        self.connection.body_cancelled()
