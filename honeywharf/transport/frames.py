"""Frames between the mesh's processes: a length of four bytes, most significant first, and a msgpack body.

A reader copies each byte at most twice, however small the pieces are in which a frame arrives.
"""

from __future__ import annotations

import msgpack  # type: ignore[import-untyped]

TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Any

MOST = 80 << 20  # bytes of one body
HEAD = 4  # bytes of the length


def encode(obj: object) -> bytes:
    """One frame. TypeError or ValueError where msgpack can't hold the object, or it is 4 GiB or longer."""
    body: bytes = msgpack.packb(obj)
    return len(body).to_bytes(HEAD, "big") + body


def decode(body: bytes | bytearray | memoryview) -> Any:
    """The object of one body; ValueError names what was found."""
    try:
        return msgpack.unpackb(body, strict_map_key=False)
    except (ValueError, msgpack.exceptions.UnpackException) as fault:
        raise ValueError(f"found {fault or type(fault).__name__}, wanted one msgpack object") from None


class FrameReader:
    """Bytes as they come to objects."""

    __slots__ = ("_held", "_want", "most")

    def __init__(self, most: int = MOST) -> None:
        self.most = most
        self._held = bytearray()  # the beginning of a frame that is not whole
        self._want = HEAD  # bytes from which it makes sense to look again

    @property
    def held(self) -> int:
        """Bytes of the frame that is not whole yet."""
        return len(self._held)

    def feed(self, data: bytes) -> list[Any]:
        """The objects that are now whole, in order; ValueError ("found .., wanted ..") ends it."""
        held = self._held
        if not held:
            frames, at = self._read(data)
            if at < len(data):
                held += data[at:]
            return frames
        held += data
        if len(held) < self._want:
            return []
        frames, at = self._read(held)
        if at:
            del held[:at]
        return frames

    def _read(self, data: bytes | bytearray) -> tuple[list[Any], int]:
        """The whole frames in `data`, and where the first one that is not whole begins."""
        frames: list[Any] = []
        at, end, most = 0, len(data), self.most
        self._want = HEAD
        with memoryview(data) as view:
            while end - at >= HEAD:
                size = int.from_bytes(data[at : at + HEAD], "big")
                if size > most:
                    raise ValueError(f"found a frame of {size} bytes, wanted at most {most}")
                if end - at - HEAD < size:
                    self._want = HEAD + size
                    break
                with view[at + HEAD : at + HEAD + size] as body:
                    frames.append(decode(body))
                at += HEAD + size
        return frames, at
