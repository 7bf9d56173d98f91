"""Frames between the mesh's processes: a length of four bytes, most significant first, and a msgpack body.

A reader copies each byte at most twice, however small the pieces are in which a frame arrives.
"""

from __future__ import annotations

import msgpack  # type: ignore[import-untyped]

TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Any

MAX_FRAME = 80 << 20  # bytes of one body
LENGTH_SIZE = 4  # bytes of the length


def encode_frame(obj: object) -> bytes:
    """One frame. TypeError or ValueError where msgpack can't hold the object, or it is 4 GiB or longer."""
    body: bytes = msgpack.packb(obj)
    return len(body).to_bytes(LENGTH_SIZE, "big") + body


def decode_body(body: bytes | bytearray | memoryview) -> Any:
    """The object of one body; ValueError names what was found."""
    try:
        return msgpack.unpackb(body, strict_map_key=False)
    except (ValueError, msgpack.exceptions.UnpackException) as error:
        raise ValueError(f"found {error or type(error).__name__}, wanted one msgpack object") from None


class FrameReader:
    """Bytes as they come to objects."""

    __slots__ = ("_buffer", "_wanted_size", "max_frame")

    def __init__(self, most: int = MAX_FRAME) -> None:
        self.max_frame = most
        self._buffer = bytearray()  # the beginning of a frame that is not whole
        self._wanted_size = LENGTH_SIZE  # bytes from which it makes sense to look again

    @property
    def buffered(self) -> int:
        """Bytes of the frame that is not whole yet."""
        return len(self._buffer)

    def feed(self, data: bytes) -> list[Any]:
        """The objects that are now whole, in order; ValueError ("found .., wanted ..") ends it."""
        held = self._buffer
        if not held:
            frames, at = self._split(data)
            if at < len(data):
                held += data[at:]
            return frames
        held += data
        if len(held) < self._wanted_size:
            return []
        frames, at = self._split(held)
        if at:
            del held[:at]
        return frames

    def _split(self, data: bytes | bytearray) -> tuple[list[Any], int]:
        """The whole frames in `data`, and where the first one that is not whole begins."""
        frames: list[Any] = []
        at, end, most = 0, len(data), self.max_frame
        self._wanted_size = LENGTH_SIZE
        with memoryview(data) as view:
            while end - at >= LENGTH_SIZE:
                size = int.from_bytes(data[at : at + LENGTH_SIZE], "big")
                if size > most:
                    raise ValueError(f"found a frame of {size} bytes, wanted at most {most}")
                if end - at - LENGTH_SIZE < size:
                    self._wanted_size = LENGTH_SIZE + size
                    break
                with view[at + LENGTH_SIZE : at + LENGTH_SIZE + size] as body:
                    frames.append(decode_body(body))
                at += LENGTH_SIZE + size
        return frames, at
