"""Frames between two processes, and in the file beside them: versioned and checksummed. Without I/O.

    0      4  5  6       8         12        16
    | HWHO | v| k| flags | length  | CRC-32  | payload: JSON of that length

One frame is one message (SOCK_SEQPACKET keeps them apart), `MAX_FRAME` bytes at most; a longer payload
goes in several frames of which all but the last have `MORE`. What is no such frame raises, and says what
was found.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Iterator
from enum import IntEnum
from typing import Any

import orjson

VERSION = 1
MAGIC = b"HWHO"
HEAD = struct.Struct("!4sBBHII")
MAX_FRAME = 32 * 1024  # bytes, its head included: one message of a socket
MAX_PAYLOAD = 8 * 1024 * 1024  # bytes over all frames of one value
MORE = 1


class Kind(IntEnum):
    """What a frame says."""

    HELLO = 1  # the new process asks for the state
    STATE = 2  # all that is given
    READY = 3  # the new process takes clients
    WORDS = 4  # an operator's words, to either side
    CALLS = 6  # that are out, by zone, to either side
    CONNECTION = 5  # a client's connection, as a descriptor beside the frame


class FrameError(ValueError):
    """What was found in place of a frame."""


def encode(kind: Kind, value: Any) -> Iterator[bytes]:
    """The frames of one value; ValueError where it is too long."""
    payload = orjson.dumps(value, option=orjson.OPT_NON_STR_KEYS)
    if len(payload) > MAX_PAYLOAD:
        raise ValueError(f"found {len(payload)} bytes to give, wanted {MAX_PAYLOAD} at most")
    size = MAX_FRAME - HEAD.size
    for at in range(0, max(1, len(payload)), size):
        part = payload[at : at + size]
        flags = MORE if at + size < len(payload) else 0
        yield HEAD.pack(MAGIC, VERSION, kind, flags, len(part), zlib.crc32(part)) + part


class Reader:
    """Puts the frames of one side together. Bounded by `MAX_PAYLOAD`."""

    def __init__(self) -> None:
        self.kind: Kind | None = None
        self.parts = bytearray()

    def feed(self, data: bytes) -> tuple[Kind, Any] | None:
        """The value that is whole with this frame; None while more is to come. `FrameError`."""
        if len(data) < HEAD.size:
            raise FrameError(f"found {len(data)} bytes, wanted a head of {HEAD.size}")
        magic, version, number, flags, length, checksum = HEAD.unpack_from(data)
        if magic != MAGIC:
            raise FrameError(f"found {magic!r}, wanted {MAGIC!r}")
        if version != VERSION:
            raise FrameError(f"found version {version}, wanted {VERSION}")
        part = data[HEAD.size :]
        if len(part) != length:
            raise FrameError(f"found {len(part)} bytes of payload, wanted {length}")
        if zlib.crc32(part) != checksum:
            raise FrameError("found another checksum than the payload's")
        try:
            kind = Kind(number)
        except ValueError:
            raise FrameError(f"found kind {number}, wanted one of {[int(k) for k in Kind]}") from None
        if self.kind is not None and kind is not self.kind:
            raise FrameError(f"found {kind.name} within {self.kind.name}")
        self.parts += part
        if len(self.parts) > MAX_PAYLOAD:
            raise FrameError(f"found over {MAX_PAYLOAD} bytes of one value")
        self.kind = kind
        if flags & MORE:
            return None
        payload, self.parts, self.kind = bytes(self.parts), bytearray(), None
        try:
            return kind, orjson.loads(payload)
        except orjson.JSONDecodeError as fault:
            raise FrameError(f"found no JSON: {fault}") from None


def decode(data: bytes) -> tuple[Kind, Any]:
    """The one value of a file that holds its frames one behind the other. `FrameError`."""
    reader, at = Reader(), 0
    while True:
        if len(data) - at < HEAD.size:
            raise FrameError(f"found {len(data) - at} bytes at {at}, wanted a head of {HEAD.size}")
        end = at + HEAD.size + HEAD.unpack_from(data, at)[4]
        value = reader.feed(data[at:end])
        at = end
        if value is not None:
            if at != len(data):
                raise FrameError(f"found {len(data) - at} bytes behind the value, wanted none")
            return value
