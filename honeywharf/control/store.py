"""The control plane's disk: the register, and configurations by digest.

`register` is written beside and renamed over, so that a loss of power leaves the old one or the new one; its
checksum tells damage apart, and a damaged register is a lost disk: it is set aside as `register.bad`, for
people to look at. A configuration is written under its own name; torn, its checksum fails and it counts as
missing. What was removed may come back: that costs room only.

Format. Every file begins with `hwr` and one digit, the version of the format, then a checksum (CRC-32 of the
body, big-endian), then the body: msgpack for the register, a compressed text for a configuration. A reader
takes versions up to its own `FORMAT`; fields that it does not know are left out. What is of a later version
is never taken for damage, moved or removed: the control node does not start on it.
"""

from __future__ import annotations

import zlib
from typing import Protocol

import msgpack  # type: ignore[import-untyped]

from honeywharf.control.acceptor import AcceptorState

REGISTER, BESIDE, CONFIG = "register", "register.new", "config-"
BAD = ".bad"  # ends the names of files that were set aside
MARK, FORMAT = b"hwr", 1
HEAD = 8  # bytes before the body
KEPT = 2  # configurations that nothing names any more


class Disk(Protocol):
    """The part of a `Host` that is its disk, and its log."""

    def read(self, name: str) -> bytes | None:
        """A file's bytes; None where there is none."""

    def write(self, name: str, data: bytes) -> None:
        """Write a file whole and sync it."""

    def sync_names(self) -> None:
        """Sync the folder, so that the names of new files are safe."""

    def rename(self, name: str, to: str) -> None:
        """Give a file another name, and sync the folder."""

    def remove(self, name: str) -> None:
        """Remove a file if it is there."""

    def names(self) -> list[str]:
        """All files."""

    def log(self, line: str) -> None:
        """One line for the operator."""


class FormatError(OSError):
    """A file of a later version of the format: nothing may be done with it here."""


def seal(body: bytes) -> bytes:
    """A body with the format's version and its checksum."""
    return b"%b%d" % (MARK, FORMAT) + zlib.crc32(body).to_bytes(4, "big") + body


def unseal(data: bytes | None) -> bytes | None:
    """The body; None where it is missing, torn or something else. FormatError: of a later version."""
    if data is None or len(data) < HEAD or data[:3] != MARK or not 0x31 <= data[3] <= 0x39:
        return None
    body = data[HEAD:]
    if zlib.crc32(body).to_bytes(4, "big") != data[4:HEAD]:
        return None
    if data[3] - 0x30 > FORMAT:
        raise FormatError(f"found a file of format {data[3] - 0x30}, wanted at most {FORMAT}")
    return body


def read_state(data: bytes | None) -> AcceptorState | None:
    """The state in a register's bytes; None where it is missing or damaged. FormatError as in `unseal`."""
    body = unseal(data)
    if body is None:
        return None
    try:
        return AcceptorState.unpack(msgpack.unpackb(body, strict_map_key=False))
    except (ValueError, TypeError, KeyError, msgpack.UnpackException):
        return None


def state_bytes(state: AcceptorState) -> bytes:
    """A register's bytes."""
    return seal(msgpack.packb(state.pack()))


class Store:
    """Files of one data directory. OSError goes through to the caller wherever the disk fails."""

    def __init__(self, host: Disk) -> None:
        self.host = host
        self.digests: list[str] = []  # configurations that are whole on disk, oldest first

    def load(self) -> AcceptorState | None:
        """The register as it was last kept; None where the disk is empty or the register is damaged.

        Where the register is missing or damaged and a whole one stands beside it, that is the last that was
        written: it was synced, its new name was lost or never made, and nothing was answered by it yet.
        """
        names = sorted(self.host.names())
        data = self.host.read(REGISTER)
        state = read_state(data)
        for name in names:
            if name.startswith(CONFIG) and not name.endswith(BAD):
                self._found(name)
        beside = read_state(self.host.read(BESIDE)) if state is None else None
        if beside is not None:
            self.host.log(f"store: {REGISTER} is taken from {BESIDE}")
            self.host.rename(BESIDE, REGISTER)
            return beside
        if state is None and data is not None:
            self.host.log(f"store: the register is damaged, and set aside as {REGISTER}{BAD}")
            self.host.rename(REGISTER, REGISTER + BAD)
        return state

    def _found(self, name: str) -> None:
        digest = name[len(CONFIG) :]
        if unseal(self.host.read(name)) is None:
            self.host.remove(name)
        elif digest not in self.digests:
            self.digests.append(digest)

    def empty(self) -> bool:
        """Whether the disk has never been used."""
        names = self.host.names()
        return REGISTER not in names and REGISTER + BAD not in names

    def save(self, state: AcceptorState) -> None:
        """Keep the register; synced when this returns."""
        self.host.write(BESIDE, state_bytes(state))
        self.host.rename(BESIDE, REGISTER)

    def has(self, digest: str) -> bool:
        """Whether a configuration is here, whole and synced."""
        return digest in self.digests

    def keep(self, digest: str, packed: bytes) -> None:
        """Keep a configuration's text (compressed), synced. ValueError: no digest.

        Its name is safe with the next `save` or `sync_names`.
        """
        if not digest.isalnum() or len(digest) > 64:
            raise ValueError(f"found {digest[:80]!r}, wanted a digest")
        if digest not in self.digests:
            self.host.write(CONFIG + digest, seal(packed))
            self.digests.append(digest)

    def sync_names(self) -> None:
        """Have the names of all texts survive a loss of power."""
        self.host.sync_names()

    def get(self, digest: str) -> bytes | None:
        """A configuration's text, compressed; None where it is not here."""
        return unseal(self.host.read(CONFIG + digest)) if digest in self.digests else None

    def sweep(self, named: set[str]) -> None:
        """Remove what neither the register nor the caller names, but for the last `KEPT`."""
        spare = [digest for digest in self.digests if digest not in named]
        for digest in spare[:-KEPT]:
            self.digests.remove(digest)
            self.host.remove(CONFIG + digest)
