"""The content that was confirmed under each version: a bounded part of the mesh state. There is no I/O.

The history keeps the highest `MAX_VERSIONS` versions that were confirmed, each with the first digits of its
digest. The records have a fixed size and are stored in one byte string, because the history is copied with
every message of the register and searched without being unpacked. Versions up to the floor are
unknown, and none of them is confirmed again.
"""

from __future__ import annotations

from dataclasses import dataclass

MAX_VERSIONS = 2048  # The records take 48 KiB at 24 bytes each.
PREFIX_DIGITS = 16  # The first 16 hexadecimal digits of a digest are 64 bits.
VERSION_BYTES = 8  # A version is stored big-endian.
RECORD_SIZE = VERSION_BYTES + PREFIX_DIGITS


def digest_prefix(digest: str) -> bytes:
    """Returns the part of a digest that is stored."""
    return digest.encode()[:PREFIX_DIGITS].ljust(PREFIX_DIGITS, b"\0")


@dataclass(frozen=True, slots=True)
class VersionHistory:
    """An immutable map from versions to the content that they were confirmed with.

    `records` is sorted by version; nothing is known of versions up to `floor`.
    """

    records: bytes = b""
    floor: int = -1

    def __len__(self) -> int:
        """Returns the number of versions in the history."""
        return len(self.records) // RECORD_SIZE

    def _version_at(self, index: int) -> int:
        start = index * RECORD_SIZE
        return int.from_bytes(self.records[start : start + VERSION_BYTES], "big")

    def _index(self, version: int) -> int:
        """Returns the position of a version's record, or the position at which it would be inserted."""
        low, high = 0, len(self)
        while low < high:
            middle = (low + high) // 2
            if self._version_at(middle) < version:
                low = middle + 1
            else:
                high = middle
        return low

    def confirmed_prefix(self, version: int) -> str:
        """Returns the first digits of the digest that was confirmed under a version; empty if none was."""
        index = self._index(version)
        if index == len(self) or self._version_at(index) != version:
            return ""
        start = index * RECORD_SIZE + VERSION_BYTES
        return self.records[start : start + PREFIX_DIGITS].rstrip(b"\0").decode()

    def has(self, version: int, digest: str) -> bool:
        """Returns whether this content was confirmed under this version."""
        return self.confirmed_prefix(version) == digest_prefix(digest).rstrip(b"\0").decode()

    def is_forgotten(self, version: int) -> bool:
        """Returns whether a version is too old for this history: it can be neither looked up nor added."""
        full = len(self) >= MAX_VERSIONS
        return version <= self.floor or (full and version < self._version_at(0))

    def add(self, version: int, digest: str) -> VersionHistory:
        """Returns a copy with one more version, which must not be in the history yet.

        Above `MAX_VERSIONS` the lowest version is dropped.
        """
        start = self._index(version) * RECORD_SIZE
        record = version.to_bytes(VERSION_BYTES, "big") + digest_prefix(digest)
        extended = VersionHistory(self.records[:start] + record + self.records[start:], self.floor)
        if len(extended) <= MAX_VERSIONS:
            return extended
        return VersionHistory(extended.records[RECORD_SIZE:], extended._version_at(0))

    def pack(self) -> list[object]:
        """Returns the form that msgpack stores."""
        return [self.records, self.floor]

    @staticmethod
    def unpack(packed: object) -> VersionHistory:
        """Reads the result of `pack`. Raises ValueError or TypeError for anything else."""
        if not isinstance(packed, list | tuple) or len(packed) != 2:
            raise ValueError(f"version history: expected [records, floor], got {packed!r:.80}")
        records, floor = packed
        if not isinstance(records, bytes) or not isinstance(floor, int) or len(records) % RECORD_SIZE:
            raise ValueError(
                f"version history: expected records and a floor, got {records!r:.80}, {floor!r:.80}"
            )
        return VersionHistory(records, floor)
