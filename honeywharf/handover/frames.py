"""Frames of the handover socket and of the operators' state file: versioned and checksummed. Without I/O.

    0      4  5  6       8         12        16
    | HWHO | v| k| flags | length  | CRC-32  | payload: JSON of that length

One frame is one SOCK_SEQPACKET message of at most `MAX_FRAME_BYTES`. A longer payload takes several frames;
all but the last have `FLAG_MORE`.
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
HEADER = struct.Struct("!4sBBHII")
MAX_FRAME_BYTES = 32 * 1024  # The header is included.
MAX_PAYLOAD_BYTES = 8 * 1024 * 1024  # The limit applies to all frames of one value together.
FLAG_MORE = 1


class Kind(IntEnum):
    """The type of a frame."""

    HELLO = 1  # The new process requests the state.
    STATE = 2
    READY = 3  # The new process accepts clients.
    WORDS = 4  # Either side sends the operator state.
    CALLS = 6  # Either side sends its calls in flight, by zone.
    CONNECTION = 5  # The message carries the descriptor of a client connection.


class FrameError(ValueError):
    """The data is not a valid frame."""


def encode(kind: Kind, value: Any) -> Iterator[bytes]:
    """Yields the frames of one value. Raises ValueError if it is too long."""
    payload = orjson.dumps(value, option=orjson.OPT_NON_STR_KEYS)
    if len(payload) > MAX_PAYLOAD_BYTES:
        raise ValueError(f"payload: expected at most {MAX_PAYLOAD_BYTES} bytes, got {len(payload)}")
    size = MAX_FRAME_BYTES - HEADER.size
    for offset in range(0, max(1, len(payload)), size):
        part = payload[offset : offset + size]
        flags = FLAG_MORE if offset + size < len(payload) else 0
        yield HEADER.pack(MAGIC, VERSION, kind, flags, len(part), zlib.crc32(part)) + part


class Reader:
    """Joins the frames of one peer to values, bounded by `MAX_PAYLOAD_BYTES`."""

    def __init__(self) -> None:
        self.kind: Kind | None = None
        self.parts = bytearray()

    def feed(self, data: bytes) -> tuple[Kind, Any] | None:
        """Returns the value that this frame completes; None if more frames follow. Raises FrameError."""
        if len(data) < HEADER.size:
            raise FrameError(f"header: expected {HEADER.size} bytes, got {len(data)}")
        magic, version, kind_number, flags, length, checksum = HEADER.unpack_from(data)
        if magic != MAGIC:
            raise FrameError(f"magic: expected {MAGIC!r}, got {magic!r}")
        if version != VERSION:
            raise FrameError(f"version: expected {VERSION}, got {version}")
        part = data[HEADER.size :]
        if len(part) != length:
            raise FrameError(f"payload: expected {length} bytes, got {len(part)}")
        if zlib.crc32(part) != checksum:
            raise FrameError("checksum: expected that of the payload, got another")
        try:
            kind = Kind(kind_number)
        except ValueError:
            raise FrameError(f"kind: expected one of {[int(k) for k in Kind]}, got {kind_number}") from None
        if self.kind is not None and kind is not self.kind:
            raise FrameError(f"kind: expected a further frame of {self.kind.name}, got {kind.name}")
        self.parts += part
        if len(self.parts) > MAX_PAYLOAD_BYTES:
            raise FrameError(f"payload: expected at most {MAX_PAYLOAD_BYTES} bytes, got more")
        self.kind = kind
        if flags & FLAG_MORE:
            return None
        payload, self.parts, self.kind = bytes(self.parts), bytearray(), None
        try:
            return kind, orjson.loads(payload)
        except orjson.JSONDecodeError as fault:
            raise FrameError(f"payload: expected JSON, got other data: {fault}") from None


def decode(data: bytes) -> tuple[Kind, Any]:
    """Returns the value of a file that contains exactly its frames. Raises FrameError."""
    reader, offset = Reader(), 0
    while True:
        if len(data) - offset < HEADER.size:
            raise FrameError(
                f"header: expected {HEADER.size} bytes at offset {offset}, got {len(data) - offset}"
            )
        end = offset + HEADER.size + HEADER.unpack_from(data, offset)[4]
        value = reader.feed(data[offset:end])
        offset = end
        if value is not None:
            if offset != len(data):
                raise FrameError(f"value: expected no data behind it, got {len(data) - offset} bytes")
            return value
