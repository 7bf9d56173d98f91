"""The entry that a node publishes about itself, and its encoding in datagrams of at most 1,400 bytes.

A datagram is one byte for its kind, then a body in msgpack or in fixed records. Kinds and bodies are on the
wire between nodes of different builds and never change.
"""

from __future__ import annotations

import struct
from zlib import crc32

import msgpack  # type: ignore[import-untyped]

TYPE_CHECKING = False  # Importing `typing` costs 1.3 MB in each process.
if TYPE_CHECKING:
    from collections.abc import Iterable
    from typing import Any, TypeGuard

MAX_DATAGRAM_BYTES = 1400
MAX_ENTRY_BYTES = 1200  # The limit applies to one packed entry.
MAX_NUMBER = 1 << 62  # Exclusive bound of incarnations, sequence numbers and revisions.
KEY_BYTES = 4
BUCKETS = 256

# Each kind is shown with its body.
RUMOUR = b"r"  # Array of entries.
HELLO = b"h"  # Array of one entry, the sender's.
SUMMARY = b"s"  # [revision, checksum of the table]
DIGEST = b"d"  # [revision, buckets or nil for all, (key, stamp) of 8 bytes each]
BUCKET_SUMS = b"b"  # [revision, 4 bytes a bucket]
ENTRY_REQUEST = b"a"  # Keys of 4 bytes each.
REVISION_RUMOUR = b"w"  # [revision, key of a node that holds it]

ARRAY_HEADER = b"\xdc"  # The msgpack header of an array with a 16-bit length.
ARRAY_HEADER_BYTES = 4  # The size includes the datagram's kind.
_stamp_record = struct.Struct(">II")


class Entry:
    """The state that a node published last. `attributes` is None once the node has left (a tombstone).

    `key` is the node's IPv4 address as a number. The entry with the higher (`incarnation`, `sequence`) is
    the newer one.
    """

    __slots__ = (
        "attributes", "inactive_since", "incarnation", "is_hidden", "key", "received_at", "sequence", "stamp",
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
        self.received_at = 0.0  # The time of receipt on the steady clock, in seconds.
        self.inactive_since: float | None = None  # The time at which the node left or was marked down.
        self.is_hidden = False  # The entry is inactive and not sent to others.
        self.stamp = hash32(b"%d %d %d" % (key, incarnation, sequence))

    @property
    def version(self) -> tuple[int, int, bool]:
        """Orders entries by age: the highest is the newest; a tombstone wins over an equal entry."""
        return self.incarnation, self.sequence, self.attributes is None

    def pack(self, hops: int) -> bytes:
        """Encodes the entry as one element of a datagram. `hops` counts how often it was forwarded."""
        fields = (self.key, self.incarnation, self.sequence, self.zone, self.attributes, hops)
        packed: bytes = msgpack.packb(fields)
        return packed


def hash32(data: bytes) -> int:
    """Returns a hash below 2**32.

    A bare CRC is linear, so the same change of two nodes would cancel out in the table's checksum.
    """
    value = crc32(data)
    for factor in (0x85EBCA6B, 0xC2B2AE35):  # The finalizer of MurmurHash3.
        value = (value ^ value >> 15) * factor & 0xFFFFFFFF
    return value ^ value >> 16


def key_of(node: str) -> int:
    """Returns a node's IPv4 address as a number. Raises ValueError if it is not an address."""
    parts = node.split(".")
    key = 0
    for part in parts:
        if not part.isdecimal() or int(part) > 255:
            raise ValueError(f"node: expected an IPv4 address, got {node!r}")
        key = key << 8 | int(part)
    if len(parts) != KEY_BYTES:
        raise ValueError(f"node: expected an IPv4 address, got {node!r}")
    return key


def node_of(key: int) -> str:
    """Returns the address in dotted notation."""
    return f"{key >> 24}.{key >> 16 & 255}.{key >> 8 & 255}.{key & 255}"


def bucket_of(key: int) -> int:
    """Returns the node's bucket, 0 to 255."""
    return (key * 0x9E3779B1 & 0xFFFFFFFF) >> 24


def pack_datagrams(kind: bytes, elements: Iterable[bytes], limit: int) -> list[bytes]:
    """Packs elements into arrays of one datagram each. Elements beyond `limit` datagrams are left out."""
    datagrams: list[bytes] = []
    pending: list[bytes] = []
    size = ARRAY_HEADER_BYTES
    for element in elements:
        if size + len(element) > MAX_DATAGRAM_BYTES:
            datagrams.append(_pack_array(kind, pending))
            if len(datagrams) == limit:
                return datagrams
            pending, size = [], ARRAY_HEADER_BYTES
        pending.append(element)
        size += len(element)
    if pending:
        datagrams.append(_pack_array(kind, pending))
    return datagrams


def _pack_array(kind: bytes, elements: list[bytes]) -> bytes:
    return kind + ARRAY_HEADER + len(elements).to_bytes(2, "big") + b"".join(elements)


def pack_stamps(entries: Iterable[Entry]) -> bytes:
    """Encodes the (key, stamp) of each entry in 8 bytes."""
    return b"".join([_stamp_record.pack(entry.key, entry.stamp) for entry in entries])


def unpack_stamps(data: bytes) -> dict[int, int]:
    """Returns stamps by key. Raises ValueError if the size is not a multiple of 8."""
    if len(data) % _stamp_record.size:
        raise ValueError(f"stamps: expected a multiple of {_stamp_record.size} bytes, got {len(data)}")
    return dict(_stamp_record.iter_unpack(data))


def pack_keys(keys: Iterable[int]) -> bytes:
    """Encodes each key in 4 bytes."""
    return b"".join([key.to_bytes(KEY_BYTES, "big") for key in keys])


def unpack_keys(data: bytes) -> list[int]:
    """Decodes keys or sums of 4 bytes each. Raises ValueError if the size is not a multiple of 4."""
    if len(data) % KEY_BYTES:
        raise ValueError(f"keys: expected a multiple of {KEY_BYTES} bytes, got {len(data)}")
    return [int.from_bytes(data[at : at + KEY_BYTES], "big") for at in range(0, len(data), KEY_BYTES)]


def is_number(value: object) -> TypeGuard[int]:
    """Returns whether the value is a valid incarnation, sequence number or revision."""
    return type(value) is int and 0 <= value < MAX_NUMBER


def unpack_entry(value: object) -> tuple[Entry, int]:
    """Decodes an entry and its hops. Raises ValueError if the element is not an entry."""
    if not isinstance(value, list) or len(value) != 6:
        raise ValueError(f"entry: expected an array of 6, got {type(value).__name__}")
    key, incarnation, sequence, zone, attributes, hops = value
    if not (is_number(key) and is_number(incarnation) and is_number(sequence) and is_number(hops)):
        raise ValueError("entry: expected numbers for key, incarnation, sequence and hops")
    if key >> 32 or not isinstance(zone, str) or not (attributes is None or isinstance(attributes, dict)):
        raise ValueError("entry: expected a 32-bit key, a zone name, and a map of attributes or nil")
    return Entry(key, incarnation, sequence, zone, attributes), hops
