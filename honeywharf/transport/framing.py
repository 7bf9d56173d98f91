"""Frames between the mesh's processes: a length of four bytes, most significant first, and a msgpack body.

A reader copies each byte at most twice, even if a frame arrives in many small pieces.
"""

from __future__ import annotations

import msgpack  # type: ignore[import-untyped]

TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Any

MAX_FRAME = 80 << 20  # The limit of one body in bytes.
LENGTH_BYTES = 4


def encode_frame(obj: object) -> bytes:
    """Encodes an object as one frame.

    Raises TypeError or ValueError if msgpack cannot encode the object, OverflowError from 4 GiB on.
    """
    body: bytes = msgpack.packb(obj)
    return len(body).to_bytes(LENGTH_BYTES, "big") + body


def decode_body(body: bytes | bytearray | memoryview) -> Any:
    """Decodes one body. Raises ValueError if it is not exactly one msgpack object."""
    try:
        return msgpack.unpackb(body, strict_map_key=False)
    except (ValueError, msgpack.exceptions.UnpackException) as error:
        raise ValueError(
            f"frame body: expected one msgpack object, got {error or type(error).__name__}"
        ) from None


class FrameReader:
    """Decodes frames from a stream of bytes."""

    __slots__ = ("_buffer", "_next_parse_size", "max_frame")

    def __init__(self, max_size: int = MAX_FRAME) -> None:
        self.max_frame = max_size
        self._buffer = bytearray()  # The buffer holds the start of an incomplete frame.
        self._next_parse_size = LENGTH_BYTES  # Buffered bytes at which the next frame may be complete.

    @property
    def buffered(self) -> int:
        """Returns the number of bytes of the incomplete frame."""
        return len(self._buffer)

    def feed(self, data: bytes) -> list[Any]:
        """Returns the objects that are complete, in order. The reader is unusable after a ValueError."""
        buffer = self._buffer
        if not buffer:
            frames, offset = self._split(data)
            if offset < len(data):
                buffer += data[offset:]
            return frames
        buffer += data
        if len(buffer) < self._next_parse_size:
            return []
        frames, offset = self._split(buffer)
        if offset:
            del buffer[:offset]
        return frames

    def _split(self, data: bytes | bytearray) -> tuple[list[Any], int]:
        """Returns the complete frames in `data` and the offset of the first incomplete one."""
        frames: list[Any] = []
        offset, end, limit = 0, len(data), self.max_frame
        self._next_parse_size = LENGTH_BYTES
        with memoryview(data) as view:
            while end - offset >= LENGTH_BYTES:
                size = int.from_bytes(data[offset : offset + LENGTH_BYTES], "big")
                if size > limit:
                    raise ValueError(f"frame: expected at most {limit} bytes, got {size}")
                if end - offset - LENGTH_BYTES < size:
                    self._next_parse_size = LENGTH_BYTES + size
                    break
                with view[offset + LENGTH_BYTES : offset + LENGTH_BYTES + size] as body:
                    frames.append(decode_body(body))
                offset += LENGTH_BYTES + size
        return frames, offset
