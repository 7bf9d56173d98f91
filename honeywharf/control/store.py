"""The files of the control plane: the register, and configurations by digest.

The register is written to a new file that is renamed over the old one, so that a power failure leaves one of
the two. A checksum detects damage, and a damaged register counts as a lost disk: it is renamed to
`register.bad`, for operators to inspect. A configuration's text is written directly under its final name; if
the write is torn, the checksum fails and the text counts as missing. A removed file may reappear after a
power failure, which costs only space. The departures of backends (`DepartureFile`) outlive a kill of all
processes at once; a missing or damaged file counts as empty, as they merge in any order and other processes
hold them too.

Format. Every file begins with `hwr` and one digit, the version of the format, then a checksum (CRC-32 of the
body, big-endian), then the body: msgpack for the register and the departures, a compressed text for a
configuration. A reader accepts versions up to its own `FORMAT_VERSION` and ignores unknown fields. A file of
a later version is never treated as damaged, moved or removed: the control node does not start on it.
"""

from __future__ import annotations

import zlib
from collections.abc import Sequence
from typing import Protocol

import msgpack  # type: ignore[import-untyped]

from honeywharf.control.acceptor import AcceptorState

REGISTER, REGISTER_NEW, TEXT_PREFIX = "register", "register.new", "config-"
DEPARTURES, DEPARTURES_NEW = "departures", "departures.new"
DAMAGED_SUFFIX = ".bad"  # Damaged files are renamed with this suffix.
MAGIC, FORMAT_VERSION = b"hwr", 1
HEADER_BYTES = 8  # The magic, the version's digit and the checksum take 8 bytes.
FORMAT_DIGITS = range(ord("1"), ord("9") + 1)  # The version of the format is one of these digits.
MAX_DIGEST_LENGTH = 64  # A digest has at most this many characters.
MAX_UNREFERENCED_TEXTS = 2  # The last unreferenced configurations are kept.


class Disk(Protocol):
    """The part of a `Host` that gives access to its disk and its log."""

    def read(self, name: str) -> bytes | None:
        """Returns the bytes of a file; None if it does not exist."""

    def write(self, name: str, data: bytes) -> None:
        """Writes a complete file and syncs it."""

    def sync_names(self) -> None:
        """Syncs the directory, so that the names of new files are durable."""

    def rename(self, name: str, to: str) -> None:
        """Renames a file, and syncs the directory."""

    def remove(self, name: str) -> None:
        """Removes a file if it exists."""

    def names(self) -> list[str]:
        """Returns the names of all files."""

    def log(self, line: str) -> None:
        """Writes one line to the operator's log."""


class FormatError(OSError):
    """A file has a later version of the format; this build must not change it."""


def encode_file(body: bytes) -> bytes:
    """Returns a body with its header: the format's version and the checksum."""
    return b"%b%d" % (MAGIC, FORMAT_VERSION) + zlib.crc32(body).to_bytes(4, "big") + body


def decode_file(data: bytes | None) -> bytes | None:
    """Returns the body; None if the file is missing, torn or of another kind.

    Raises FormatError for a file of a later version.
    """
    if data is None or len(data) < HEADER_BYTES or data[:3] != MAGIC or data[3] not in FORMAT_DIGITS:
        return None
    body = data[HEADER_BYTES:]
    if zlib.crc32(body).to_bytes(4, "big") != data[4:HEADER_BYTES]:
        return None
    version = data[3] - ord("0")
    if version > FORMAT_VERSION:
        raise FormatError(f"file format: expected at most {FORMAT_VERSION}, got {version}")
    return body


def decode_register(data: bytes | None) -> AcceptorState | None:
    """Returns the state in a register's bytes; None if it is missing or damaged.

    Raises FormatError like `decode_file`.
    """
    body = decode_file(data)
    if body is None:
        return None
    try:
        return AcceptorState.unpack(msgpack.unpackb(body, strict_map_key=False))
    except (ValueError, TypeError, KeyError, msgpack.UnpackException):
        return None


def encode_register(state: AcceptorState) -> bytes:
    """Returns the bytes of a register file."""
    return encode_file(msgpack.packb(state.pack()))


class Store:
    """The files of one data directory. Each method raises OSError if the disk fails."""

    def __init__(self, host: Disk) -> None:
        self.host = host
        self.digests: list[str] = []  # The digests of the texts that are complete on disk, oldest first.

    def load(self) -> AcceptorState | None:
        """Returns the register as it was last saved; None if the disk is empty or the register is damaged.

        If the register is missing or damaged and `register.new` is complete, the latter is the newest state:
        it was synced, but its rename was lost or never made, and no answer depends on it yet.
        """
        names = sorted(self.host.names())
        data = self.host.read(REGISTER)
        state = decode_register(data)
        for name in names:
            if name.startswith(TEXT_PREFIX) and not name.endswith(DAMAGED_SUFFIX):
                self._check_text(name)
        new = decode_register(self.host.read(REGISTER_NEW)) if state is None else None
        if new is not None:
            self.host.log(f"store: {REGISTER} is missing or damaged, recovered from {REGISTER_NEW}")
            self.host.rename(REGISTER_NEW, REGISTER)
            return new
        if state is None and data is not None:
            self.host.log(f"store: the register is damaged, renamed to {REGISTER}{DAMAGED_SUFFIX}")
            self.host.rename(REGISTER, REGISTER + DAMAGED_SUFFIX)
        return state

    def _check_text(self, name: str) -> None:
        digest = name[len(TEXT_PREFIX) :]
        if decode_file(self.host.read(name)) is None:
            self.host.remove(name)
        elif digest not in self.digests:
            self.digests.append(digest)

    def is_unused(self) -> bool:
        """Returns whether the disk has never been used."""
        names = self.host.names()
        return REGISTER not in names and REGISTER + DAMAGED_SUFFIX not in names

    def save(self, state: AcceptorState) -> None:
        """Writes the register; it is synced when this returns."""
        self.host.write(REGISTER_NEW, encode_register(state))
        self.host.rename(REGISTER_NEW, REGISTER)

    def has_text(self, digest: str) -> bool:
        """Returns whether a configuration's text is on disk, complete and synced."""
        return digest in self.digests

    def put_text(self, digest: str, compressed: bytes) -> None:
        """Writes a configuration's compressed text and syncs it. Raises ValueError for an invalid `digest`.

        The file's name is durable after the next `save` or `sync_names`.
        """
        if not digest.isalnum() or len(digest) > MAX_DIGEST_LENGTH:
            raise ValueError(
                f"digest: expected up to {MAX_DIGEST_LENGTH} letters and digits, got {digest[:80]!r}"
            )
        if digest not in self.digests:
            self.host.write(TEXT_PREFIX + digest, encode_file(compressed))
            self.digests.append(digest)

    def sync_names(self) -> None:
        """Syncs the directory, so that the names of all texts survive a power failure."""
        self.host.sync_names()

    def read_text(self, digest: str) -> bytes | None:
        """Returns a configuration's compressed text; None if it is not on disk."""
        return decode_file(self.host.read(TEXT_PREFIX + digest)) if digest in self.digests else None

    def remove_unreferenced(self, referenced: set[str]) -> None:
        """Removes the texts that are not referenced, except the last `MAX_UNREFERENCED_TEXTS`."""
        unreferenced = [digest for digest in self.digests if digest not in referenced]
        for digest in unreferenced[:-MAX_UNREFERENCED_TEXTS]:
            self.digests.remove(digest)
            self.host.remove(TEXT_PREFIX + digest)


class DepartureFile:
    """The departures that a control node knows. Each method raises OSError if the disk fails."""

    def __init__(self, disk: Disk) -> None:
        self.disk = disk

    def load(self) -> object:
        """Returns the rows as they were saved; None without an intact file."""
        body = decode_file(self.disk.read(DEPARTURES))
        try:
            return None if body is None else msgpack.unpackb(body)
        except (ValueError, msgpack.UnpackException):
            return None

    def save(self, rows: Sequence[object]) -> None:
        """Replaces the file; it is synced when this returns."""
        self.disk.write(DEPARTURES_NEW, encode_file(msgpack.packb(rows)))
        self.disk.rename(DEPARTURES_NEW, DEPARTURES)
