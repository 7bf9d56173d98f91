"""What one node reports about itself, and how that is written in datagrams of at most 1,400 bytes.

A datagram is one byte for its kind, then a body in msgpack or in fixed records. Kinds and bodies are on the
wire between builds and never change.
"""

from __future__ import annotations

import struct
from zlib import crc32

import msgpack  # type: ignore[import-untyped]

TYPE_CHECKING = False  # `typing` is 1.3 MB in each process
if TYPE_CHECKING:
    from collections.abc import Iterable
    from typing import Any, TypeGuard

MAX_DATAGRAM = 1400  # bytes
MAX_ENTRY = 1200  # bytes that one entry may take
MAX_NUMBER = 1 << 62  # incarnations, sequence numbers and revisions lie below
KEY_SIZE = 4  # bytes
BUCKETS = 256

RUMOUR = b"r"  # array of entries
HELLO = b"h"  # array of one entry, the sender's
SUMMARY = b"s"  # [revision, checksum of the table]
DIGEST = b"d"  # [revision, buckets or nil for all, (key, stamp) of 8 bytes each]
BUCKET_SUMS = b"b"  # [revision, 4 bytes a bucket]
ENTRY_REQUEST = b"a"  # keys of 4 bytes each
REVISION_RUMOUR = b"w"  # [revision, key of a node that holds it]

ARRAY_HEADER = b"\xdc"  # msgpack's array of 16-bit length
ARRAY_HEADER_SIZE = 4  # bytes, the datagram's kind included
_stamp_record = struct.Struct(">II")


class Entry:
    """What one node told last. `attributes` is None once it has left (a tombstone).

    `key`: its IPv4 address as a number; the entry with the higher (`incarnation`, `sequence`) is the newer
    one.
    """

    __slots__ = (
        "attributes", "gone_at", "incarnation", "is_hidden", "key", "received_at", "sequence", "stamp",
        "zone",
    )  # fmt: skip

    def __init__(
        self, key: int, incarnation: int, sequence: int, zone: str, attributes: dict[str, Any] | None
    ) -> None:
        self.key = key
        self.incarnation = incarnation
        self.sequence = sequence
        self.zone = zone
        self.attributes = attributes
        self.received_at = 0.0  # seconds, steady clock
        self.gone_at: float | None = None  # since when it has left or is held down
        self.is_hidden = False  # gone for so long that it is no more offered
        self.stamp = hash32(b"%d %d %d" % (key, incarnation, sequence))

    @property
    def version(self) -> tuple[int, int, bool]:
        """The higher one is the newer one; of equals, the tombstone."""
        return self.incarnation, self.sequence, self.attributes is None

    def pack(self, hops: int) -> bytes:
        """As one element of a datagram. `hops`: times that it was passed on."""
        fields = (self.key, self.incarnation, self.sequence, self.zone, self.attributes, hops)
        packed: bytes = msgpack.packb(fields)
        return packed


def hash32(data: bytes) -> int:
    """A hash below 2**32. Not a bare checksum: that is linear, and like changes of two nodes would cancel."""
    value = crc32(data)
    for factor in (0x85EBCA6B, 0xC2B2AE35):  # the finalizer of MurmurHash3
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
    if len(parts) != KEY_SIZE:
        raise ValueError(f"not an IPv4 address: {node!r}")
    return key


def node_of(key: int) -> str:
    """The address in dots."""
    return f"{key >> 24}.{key >> 16 & 255}.{key >> 8 & 255}.{key & 255}"


def bucket_of(key: int) -> int:
    """Which of 256 buckets a node falls into."""
    return (key * 0x9E3779B1 & 0xFFFFFFFF) >> 24


def pack_datagrams(kind: bytes, elements: Iterable[bytes], limit: int) -> list[bytes]:
    """Arrays of packed elements, each in one datagram; what does not fit `limit` of them is left out."""
    datagrams: list[bytes] = []
    pending: list[bytes] = []
    size = ARRAY_HEADER_SIZE
    for element in elements:
        if size + len(element) > MAX_DATAGRAM:
            datagrams.append(_pack_array(kind, pending))
            if len(datagrams) == limit:
                return datagrams
            pending, size = [], ARRAY_HEADER_SIZE
        pending.append(element)
        size += len(element)
    if pending:
        datagrams.append(_pack_array(kind, pending))
    return datagrams


def _pack_array(kind: bytes, elements: list[bytes]) -> bytes:
    return kind + ARRAY_HEADER + len(elements).to_bytes(2, "big") + b"".join(elements)


def pack_stamps(entries: Iterable[Entry]) -> bytes:
    """(key, stamp) of each entry, 8 bytes each."""
    return b"".join([_stamp_record.pack(entry.key, entry.stamp) for entry in entries])


def unpack_stamps(data: bytes) -> dict[int, int]:
    """Stamps by key. ValueError where the size is wrong."""
    if len(data) % _stamp_record.size:
        raise ValueError("not pairs")
    return dict(_stamp_record.iter_unpack(data))


def pack_keys(keys: Iterable[int]) -> bytes:
    """Keys of 4 bytes each."""
    return b"".join([key.to_bytes(KEY_SIZE, "big") for key in keys])


def unpack_keys(data: bytes) -> list[int]:
    """Keys, or sums, of 4 bytes each. ValueError where the size is wrong."""
    if len(data) % KEY_SIZE:
        raise ValueError("not keys")
    return [int.from_bytes(data[at : at + KEY_SIZE], "big") for at in range(0, len(data), KEY_SIZE)]


def is_number(value: object) -> TypeGuard[int]:
    """Whether it is a whole number that may be an incarnation, a sequence number or a revision."""
    return type(value) is int and 0 <= value < MAX_NUMBER


def unpack_entry(value: object) -> tuple[Entry, int]:
    """An entry and its hops from one element of an array. ValueError where it is none."""
    if not isinstance(value, list) or len(value) != 6:
        raise ValueError("not an entry")
    key, incarnation, sequence, zone, attributes, hops = value
    if not (is_number(key) and is_number(incarnation) and is_number(sequence) and is_number(hops)):
        raise ValueError("not numbers")
    if key >> 32 or not isinstance(zone, str) or not (attributes is None or isinstance(attributes, dict)):
        raise ValueError("not an entry")
    return Entry(key, incarnation, sequence, zone, attributes), hops
