"""The control plane's disk: the register, and configurations by digest.

The register is written to a new file that is renamed over the old one, so that a loss of power leaves one
of the two. Its checksum tells damage apart, and a damaged register is a lost disk: it is set aside as
`register.bad`, for people to look at. A configuration's text is written under its own name; torn, its
checksum fails and it counts as missing. A removed file may come back after a loss of power: that costs
space only.

Format. Every file begins with `hwr` and one digit, the version of the format, then a checksum (CRC-32 of the
body, big-endian), then the body: msgpack for the register, a compressed text for a configuration. A reader
takes versions up to its own `FORMAT_VERSION`; fields that it does not know are left out. A file of a later
version is never taken for damage, moved or removed: the control node does not start on it.
"""

from __future__ import annotations

import zlib
from typing import Protocol

import msgpack  # type: ignore[import-untyped]

from honeywharf.control.acceptor import AcceptorState

REGISTER, REGISTER_NEW, TEXT_PREFIX = "register", "register.new", "config-"
DAMAGED_SUFFIX = ".bad"  # ends the names of files that were set aside
MAGIC, FORMAT_VERSION = b"hwr", 1
HEADER_SIZE = 8  # bytes before the body
FORMAT_DIGITS = range(ord("1"), ord("9") + 1)  # how a format's version is written
MAX_DIGEST = 64  # digits
MAX_UNREFERENCED_TEXTS = 2  # the last configurations that nothing references any more


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


def encode_file(body: bytes) -> bytes:
    """A body with the format's version and its checksum."""
    return b"%b%d" % (MAGIC, FORMAT_VERSION) + zlib.crc32(body).to_bytes(4, "big") + body


def decode_file(data: bytes | None) -> bytes | None:
    """The body; None where it is missing, torn or something else. FormatError: of a later version."""
    if data is None or len(data) < HEADER_SIZE or data[:3] != MAGIC or data[3] not in FORMAT_DIGITS:
        return None
    body = data[HEADER_SIZE:]
    if zlib.crc32(body).to_bytes(4, "big") != data[4:HEADER_SIZE]:
        return None
    version = data[3] - ord("0")
    if version > FORMAT_VERSION:
        raise FormatError(f"found a file of format {version}, wanted at most {FORMAT_VERSION}")
    return body


def decode_register(data: bytes | None) -> AcceptorState | None:
    """The state in a register's bytes; None where it is missing or damaged.

    FormatError as in `decode_file`.
    """
    body = decode_file(data)
    if body is None:
        return None
    try:
        return AcceptorState.unpack(msgpack.unpackb(body, strict_map_key=False))
    except (ValueError, TypeError, KeyError, msgpack.UnpackException):
        return None


def encode_register(state: AcceptorState) -> bytes:
    """A register's bytes."""
    return encode_file(msgpack.packb(state.pack()))


class Store:
    """Files of one data directory. OSError is raised to the caller wherever the disk fails."""

    def __init__(self, host: Disk) -> None:
        self.host = host
        self.digests: list[str] = []  # of the texts that are complete on disk, oldest first

    def load(self) -> AcceptorState | None:
        """The register as it was last saved; None where the disk is empty or the register is damaged.

        Where the register is missing or damaged and `register.new` is complete, that is the last that was
        written: it was synced, its rename was lost or never made, and nothing was answered by it yet.
        """
        names = sorted(self.host.names())
        data = self.host.read(REGISTER)
        state = decode_register(data)
        for name in names:
            if name.startswith(TEXT_PREFIX) and not name.endswith(DAMAGED_SUFFIX):
                self._check_text(name)
        new = decode_register(self.host.read(REGISTER_NEW)) if state is None else None
        if new is not None:
            self.host.log(f"store: {REGISTER} is taken from {REGISTER_NEW}")
            self.host.rename(REGISTER_NEW, REGISTER)
            return new
        if state is None and data is not None:
            self.host.log(f"store: the register is damaged, and set aside as {REGISTER}{DAMAGED_SUFFIX}")
            self.host.rename(REGISTER, REGISTER + DAMAGED_SUFFIX)
        return state

    def _check_text(self, name: str) -> None:
        digest = name[len(TEXT_PREFIX) :]
        if decode_file(self.host.read(name)) is None:
            self.host.remove(name)
        elif digest not in self.digests:
            self.digests.append(digest)

    def is_unused(self) -> bool:
        """Whether the disk has never been used."""
        names = self.host.names()
        return REGISTER not in names and REGISTER + DAMAGED_SUFFIX not in names

    def save(self, state: AcceptorState) -> None:
        """Write the register; synced when this returns."""
        self.host.write(REGISTER_NEW, encode_register(state))
        self.host.rename(REGISTER_NEW, REGISTER)

    def has_text(self, digest: str) -> bool:
        """Whether a configuration's text is here, complete and synced."""
        return digest in self.digests

    def put_text(self, digest: str, compressed: bytes) -> None:
        """Write a configuration's compressed text, synced. ValueError: `digest` is none.

        Its name is safe with the next `save` or `sync_names`.
        """
        if not digest.isalnum() or len(digest) > MAX_DIGEST:
            raise ValueError(f"found {digest[:80]!r}, wanted a digest")
        if digest not in self.digests:
            self.host.write(TEXT_PREFIX + digest, encode_file(compressed))
            self.digests.append(digest)

    def sync_names(self) -> None:
        """Sync the folder, so that the names of all texts survive a loss of power."""
        self.host.sync_names()

    def read_text(self, digest: str) -> bytes | None:
        """A configuration's text, compressed; None where it is not here."""
        return decode_file(self.host.read(TEXT_PREFIX + digest)) if digest in self.digests else None

    def remove_unreferenced(self, referenced: set[str]) -> None:
        """Remove the texts that are not referenced, but for the last `MAX_UNREFERENCED_TEXTS`."""
        unreferenced = [digest for digest in self.digests if digest not in referenced]
        for digest in unreferenced[:-MAX_UNREFERENCED_TEXTS]:
            self.digests.remove(digest)
            self.host.remove(TEXT_PREFIX + digest)
