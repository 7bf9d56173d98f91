"""The control plane's disk: the register, and configurations by digest.

`register` is written beside and renamed over, so that a loss of power leaves the old one or the new one; its
checksum tells damage apart, and a damaged register is a lost disk. A configuration is written under its own
name; torn, its checksum fails and it counts as missing. What was removed may come back: that costs room only.
"""

from __future__ import annotations

import zlib

import msgpack  # type: ignore[import-untyped]

from honeywharf.mains.host import Host
from honeywharf.reservoir.register import State

REGISTER, BESIDE, CONFIG = "register", "register.new", "config-"
MAGIC = b"hwr1"
KEPT = 2  # configurations that nothing names any more


def seal(body: bytes) -> bytes:
    """A body with its checksum."""
    return MAGIC + zlib.crc32(body).to_bytes(4, "big") + body


def unseal(data: bytes | None) -> bytes | None:
    """The body; None where it is missing, torn or something else."""
    if data is None or data[:4] != MAGIC or len(data) < 8:
        return None
    body = data[8:]
    return body if zlib.crc32(body).to_bytes(4, "big") == data[4:8] else None


class Store:
    """Files of one data directory. OSError goes through to the caller wherever the disk fails."""

    def __init__(self, host: Host) -> None:
        self.host = host
        self.digests: list[str] = []  # configurations that are whole on disk, oldest first

    def load(self) -> State | None:
        """The register as it was last kept; None where the disk is empty or the register is damaged."""
        for name in sorted(self.host.names()):
            if name.startswith(CONFIG):
                self._found(name)
        body = unseal(self.host.read(REGISTER))
        if body is None:
            return None
        try:
            return State.unpack(msgpack.unpackb(body, strict_map_key=False))
        except (ValueError, TypeError, KeyError) as fault:
            self.host.log(f"store: the register is damaged: {fault!r}")
            return None

    def _found(self, name: str) -> None:
        digest = name[len(CONFIG):]
        if unseal(self.host.read(name)) is None:
            self.host.remove(name)
        elif digest not in self.digests:
            self.digests.append(digest)

    def empty(self) -> bool:
        """Whether the disk has never been used."""
        return REGISTER not in self.host.names()

    def save(self, state: State) -> None:
        """Keep the register; synced when this returns."""
        self.host.write(BESIDE, seal(msgpack.packb(state.pack())))
        self.host.rename(BESIDE, REGISTER)

    def has(self, digest: str) -> bool:
        """Whether a configuration is here, whole and synced."""
        return digest in self.digests

    def keep(self, digest: str, packed: bytes) -> None:
        """Keep a configuration's text (compressed); synced when this returns. ValueError: no digest."""
        if not digest.isalnum() or len(digest) > 64:
            raise ValueError(f"found {digest[:80]!r}, wanted a digest")
        if digest not in self.digests:
            self.host.write(CONFIG + digest, seal(packed))
            self.digests.append(digest)

    def get(self, digest: str) -> bytes | None:
        """A configuration's text, compressed; None where it is not here."""
        return unseal(self.host.read(CONFIG + digest)) if digest in self.digests else None

    def sweep(self, named: set[str]) -> None:
        """Remove what neither the register nor the caller names, but for the last `KEPT`."""
        spare = [digest for digest in self.digests if digest not in named]
        for digest in spare[:-KEPT]:
            self.digests.remove(digest)
            self.host.remove(CONFIG + digest)
