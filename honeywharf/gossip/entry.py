"""What one node says of itself, and how that is written in datagrams of at most 1,400 bytes."""

from __future__ import annotations

import struct
from zlib import crc32

import msgpack  # type: ignore[import-untyped]

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Iterable
    from typing import Any, TypeGuard

SIZE = 1400  # bytes in a datagram, at most
ENTRY_SIZE = 1200  # bytes that one entry may take
NUMBERS = 1 << 62  # incarnations, numbers and revisions lie below

RUMOUR = b"r"  # array of entries
HELLO = b"h"  # array of one entry, the sender's
SUMMARY = b"s"  # [revision, sum of all stamps]
DIGEST = b"d"  # [revision, buckets or nil for all, (key, stamp) of 8 bytes each]
SUMS = b"b"  # [revision, 4 bytes a bucket]
ASK = b"a"  # keys of 4 bytes each
WORD = b"w"  # [revision, key of the holder]

_pair = struct.Struct(">II")


class Entry:
    """What one node said last. `say` is None once it has left (a tombstone)."""

    __slots__ = ("gone_at", "hidden", "incarnation", "key", "number", "received_at", "say", "stamp", "zone")

    def __init__(
        self, key: int, incarnation: int, number: int, zone: str, say: dict[str, Any] | None
    ) -> None:
        self.key = key
        self.incarnation = incarnation
        self.number = number
        self.zone = zone
        self.say = say
        self.received_at = 0.0  # seconds, steady clock
        self.gone_at: float | None = None  # since when it has left or is held down
        self.hidden = False  # gone for so long that it is no more offered
        self.stamp = mixed(b"%d %d %d" % (key, incarnation, number))

    @property
    def version(self) -> tuple[int, int, bool]:
        """The higher one is the newer one; of equals, the tombstone."""
        return self.incarnation, self.number, self.say is None

    def pack(self, hop: int) -> bytes:
        """As one element of a datagram. `hop`: times that it was passed on."""
        whole = (self.key, self.incarnation, self.number, self.zone, self.say, hop)
        packed: bytes = msgpack.packb(whole)
        return packed


def mixed(data: bytes) -> int:
    """A hash below 2**32. Not a bare checksum: that is linear, and like changes of two nodes would cancel."""
    value = crc32(data)
    for factor in (0x85EBCA6B, 0xC2B2AE35):
        value = (value ^ value >> 15) * factor & 0xFFFFFFFF
    return value ^ value >> 16


def key_of(node: str) -> int:
    """A node's IPv4 address as a number. ValueError where it is none."""
    parts = node.split(".")
    key = 0
    for part in parts:
        if not part.isdecimal() or int(part) > 255:
            raise ValueError(f"not an IPv4 address: {node!r}")
        key = key << 8 | int(part)
    if len(parts) != 4:
        raise ValueError(f"not an IPv4 address: {node!r}")
    return key


def node_of(key: int) -> str:
    """The address in dots."""
    return f"{key >> 24}.{key >> 16 & 255}.{key >> 8 & 255}.{key & 255}"


def bucket_of(key: int) -> int:
    """Which of 256 buckets a node falls into."""
    return (key * 0x9E3779B1 & 0xFFFFFFFF) >> 24


def datagrams(kind: bytes, packed: Iterable[bytes], most: int) -> list[bytes]:
    """Arrays of packed elements, each in one datagram; what does not fit `most` of them is left out."""
    out: list[bytes] = []
    held: list[bytes] = []
    size = 4
    for element in packed:
        if size + len(element) > SIZE:
            out.append(_array(kind, held))
            if len(out) == most:
                return out
            held, size = [], 4
        held.append(element)
        size += len(element)
    if held:
        out.append(_array(kind, held))
    return out


def _array(kind: bytes, elements: list[bytes]) -> bytes:
    return kind + b"\xdc" + len(elements).to_bytes(2, "big") + b"".join(elements)


def pairs_of(entries: Iterable[Entry]) -> bytes:
    """(key, stamp) of each entry, 8 bytes each."""
    return b"".join([_pair.pack(entry.key, entry.stamp) for entry in entries])


def pairs(data: bytes) -> dict[int, int]:
    """Stamps by key. ValueError where the size is wrong."""
    if len(data) % 8:
        raise ValueError("not pairs")
    return dict(_pair.iter_unpack(data))


def keys_of(data: bytes) -> list[int]:
    """Keys of 4 bytes each. ValueError where the size is wrong."""
    if len(data) % 4:
        raise ValueError("not keys")
    return [int.from_bytes(data[at : at + 4], "big") for at in range(0, len(data), 4)]


def number_in(value: object) -> TypeGuard[int]:
    """Whether it is a whole number that may stand for an incarnation, a number or a revision."""
    return type(value) is int and 0 <= value < NUMBERS


def element(value: object) -> tuple[Entry, int]:
    """An entry and its hops from one element of an array. ValueError where it is none."""
    if not isinstance(value, list) or len(value) != 6:
        raise ValueError("not an entry")
    key, incarnation, number, zone, say, hop = value
    if not (number_in(key) and number_in(incarnation) and number_in(number) and number_in(hop)):
        raise ValueError("not numbers")
    if key >> 32 or not isinstance(zone, str) or not (say is None or isinstance(say, dict)):
        raise ValueError("not an entry")
    return Entry(key, incarnation, number, zone, say), hop
