"""Which content was confirmed under which version: a bounded part of the mesh state. No I/O.

Kept are the highest `MAX_VERSIONS` versions that were confirmed, each with the first digits of its digest, as
records of fixed size in one byte string, because it is copied with every message of the register and searched
without being unpacked. Up to its floor nothing is known any more, and nothing is confirmed there.
"""

from __future__ import annotations

from dataclasses import dataclass

MAX_VERSIONS = 2048  # records of 24 bytes: 48 KiB
PREFIX_SIZE = 16  # digits of a digest that are kept: 64 bits
VERSION_SIZE = 8  # bytes, most significant first
RECORD_SIZE = VERSION_SIZE + PREFIX_SIZE


def digest_prefix(digest: str) -> bytes:
    """What is kept of a digest."""
    return digest.encode()[:PREFIX_SIZE].ljust(PREFIX_SIZE, b"\0")


@dataclass(frozen=True, slots=True)
class VersionHistory:
    """Versions and what they were confirmed with, never changed once made.

    `records`: sorted by version; `floor`: nothing is known up to this version.
    """

    records: bytes = b""
    floor: int = -1

    def __len__(self) -> int:
        """How many versions are remembered."""
        return len(self.records) // RECORD_SIZE

    def _version_at(self, index: int) -> int:
        start = index * RECORD_SIZE
        return int.from_bytes(self.records[start : start + VERSION_SIZE], "big")

    def _index(self, version: int) -> int:
        """The position of a version's record, or where it would be inserted."""
        low, high = 0, len(self)
        while low < high:
            middle = (low + high) // 2
            if self._version_at(middle) < version:
                low = middle + 1
            else:
                high = middle
        return low

    def confirmed_prefix(self, version: int) -> str:
        """The first digits of the digest that was confirmed under a version; empty where none was."""
        index = self._index(version)
        if index == len(self) or self._version_at(index) != version:
            return ""
        start = index * RECORD_SIZE + VERSION_SIZE
        return self.records[start : start + PREFIX_SIZE].rstrip(b"\0").decode()

    def has(self, version: int, digest: str) -> bool:
        """Whether this content was confirmed under this version."""
        return self.confirmed_prefix(version) == digest_prefix(digest).rstrip(b"\0").decode()

    def is_forgotten(self, version: int) -> bool:
        """Whether a version is too old for this memory: nothing can be said of it, or remembered."""
        full = len(self) >= MAX_VERSIONS
        return version <= self.floor or (full and version < self._version_at(0))

    def add(self, version: int, digest: str) -> VersionHistory:
        """A copy with one more version, which must be new here.

        The lowest is dropped above `MAX_VERSIONS`.
        """
        start = self._index(version) * RECORD_SIZE
        record = version.to_bytes(VERSION_SIZE, "big") + digest_prefix(digest)
        made = VersionHistory(self.records[:start] + record + self.records[start:], self.floor)
        if len(made) <= MAX_VERSIONS:
            return made
        return VersionHistory(made.records[RECORD_SIZE:], made._version_at(0))

    def pack(self) -> list[object]:
        """As msgpack holds it."""
        return [self.records, self.floor]

    @staticmethod
    def unpack(packed: object) -> VersionHistory:
        """From `pack`. ValueError or TypeError where it is something else."""
        if not isinstance(packed, list | tuple) or len(packed) != 2:
            raise ValueError("found something else, wanted a version history")
        records, floor = packed
        if not isinstance(records, bytes) or not isinstance(floor, int) or len(records) % RECORD_SIZE:
            raise ValueError("found something else, wanted a version history")
        return VersionHistory(records, floor)
