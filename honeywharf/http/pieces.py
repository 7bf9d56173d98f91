"""A connection at an end of a long body's pipe, and reads of a bounded size for it.

The event loop's own reads bring up to 250 kB at once, which the account would have to count for each body.
A small receive buffer in the kernel is no way out: it was tried, and 64 kB of it made the sender wait for
its persist timer (0.3 MB/s on loopback, whose segments are as long as that).
"""

from __future__ import annotations

import asyncio
from typing import Protocol

from honeywharf.flow.buffer_budget import MAX_READ
from honeywharf.flow.pipe import Sink, Source

_BUFFER = bytearray(MAX_READ)  # shared by all: the loop reads into it and hands it on in the same turn
_VIEW = memoryview(_BUFFER)


class InPieces(asyncio.BufferedProtocol):
    """Stands before a connection's protocol, and hands on what comes in pieces of `MAX_READ` bytes."""

    __slots__ = ("inner",)

    def __init__(self, inner: asyncio.Protocol) -> None:
        self.inner = inner

    def get_buffer(self, sizehint: int) -> memoryview:
        """Where the loop reads to."""
        return _VIEW

    def buffer_updated(self, nbytes: int) -> None:
        """So much has been read."""
        self.inner.data_received(bytes(_VIEW[:nbytes]))

    def eof_received(self) -> bool | None:
        """Hand it on."""
        return self.inner.eof_received()

    def connection_lost(self, exc: Exception | None) -> None:
        """Hand it on."""
        self.inner.connection_lost(exc)

    def pause_writing(self) -> None:
        """Hand it on."""
        self.inner.pause_writing()

    def resume_writing(self) -> None:
        """Hand it on."""
        self.inner.resume_writing()


def read_in_pieces(transport: asyncio.Transport, inner: asyncio.Protocol) -> None:
    """Bound what one read of this connection may bring; once is enough."""
    if isinstance(transport.get_protocol(), InPieces):
        return
    reading = transport.is_reading()
    if reading:
        transport.pause_reading()  # how it is read is settled when reading begins
    transport.set_protocol(InPieces(inner))
    if reading:
        transport.resume_reading()


class Writes(Protocol):
    """A connection that a body is written to."""

    def take(self, data: bytes) -> None:
        """Some more of it."""

    def sent(self) -> None:
        """That was all."""

    def cut(self) -> None:
        """The rest will not come."""


class Reads(Protocol):
    """A connection that a body is read from."""

    def set_paused(self, held: bool) -> None:
        """Stop reading, or go on."""

    def body_cancelled(self) -> None:
        """Nobody takes the rest."""


class Writing(Sink):
    """A connection as the sink of a body."""

    __slots__ = ("connection",)

    def __init__(self, connection: Writes) -> None:
        self.connection = connection

    def take(self, data: bytes) -> None:
        """Some more of it."""
        self.connection.take(data)

    def completed(self) -> None:
        """That was all."""
        self.connection.sent()

    def aborted(self) -> None:
        """The rest will not come."""
        self.connection.cut()


class Reading(Source):
    """A connection as the source of a body."""

    __slots__ = ("connection",)

    def __init__(self, connection: Reads) -> None:
        self.connection = connection

    def set_paused(self, held: bool) -> None:
        """Stop reading, or go on."""
        self.connection.set_paused(held)

    def body_cancelled(self) -> None:
        """Nobody takes the rest."""
        self.connection.body_cancelled()
