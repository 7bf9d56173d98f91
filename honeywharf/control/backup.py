"""Backups of the mesh state, and the restore of a register whose majority is lost.

`restore` begins a new membership, with new names for all disks, from one backup. It is the one exception to
the rule that a disk which has lost its promises has no vote, so it must be run on every member, with the
same backup and the same members, while all control nodes are stopped.
"""

from __future__ import annotations

import zlib
from collections.abc import Sequence
from dataclasses import dataclass, replace
from typing import Any, NamedTuple

import msgpack  # type: ignore[import-untyped]

from honeywharf.control import mesh_state
from honeywharf.control.acceptor import AcceptorState
from honeywharf.control.mesh_state import Member, MeshState
from honeywharf.control.messages import ProposalNumber
from honeywharf.control.store import (
    DAMAGED_SUFFIX,
    REGISTER,
    REGISTER_NEW,
    TEXT_PREFIX,
    Disk,
    decode_file,
    decode_register,
    encode_file,
    encode_register,
)
from honeywharf.mesh_config.configuration import digest as digest_of

#: Added to revision, epoch and proposal number by a restore: above all that any process has seen.
RESTORE_MARGIN = 1_000_000
RESTORE_PROPOSER = "return"
COMPRESSION_LEVEL = 6  # zlib's
MAX_TEXT_BYTES = 80 << 20  # of a configuration, uncompressed


class BackupError(ValueError):
    """What can't be backed up, or is no backup, or can't be restored here: what was found and wanted."""


class RestoredMember(NamedTuple):
    """A member of the membership that a restore begins. `address`: "ip:port", as `check` prints it."""

    address: str
    zone: str


@dataclass(frozen=True, slots=True)
class Backup:
    """One state with its configuration's text, and how far the register had come.

    `epoch`: of the decided membership; `counter`: of the accepted proposal number.
    """

    epoch: int
    counter: int
    value: MeshState
    text: bytes

    def pack(self) -> bytes:
        """As a file."""
        parts = {
            "epoch": self.epoch,
            "value": self.value.pack(),
            "counter": self.counter,
            "text": zlib.compress(self.text, COMPRESSION_LEVEL),
        }
        return encode_file(msgpack.packb(parts))

    @staticmethod
    def unpack(packed: bytes) -> Backup:
        """From a file. BackupError where it is none or damaged."""
        try:
            body = decode_file(packed)
            if body is None:
                raise BackupError("found a damaged file or another one, wanted a backup")
            parts: dict[str, Any] = msgpack.unpackb(body, strict_map_key=False)
            text = zlib.decompressobj().decompress(parts["text"], MAX_TEXT_BYTES)
            value = MeshState.unpack(parts["value"])
            if value.digest and digest_of(text) != value.digest:
                raise BackupError("found a text that is not the one named, wanted a backup")
            return Backup(int(parts["epoch"]), int(parts["counter"]), value, text)
        except BackupError:
            raise
        except (KeyError, TypeError, ValueError, zlib.error, msgpack.UnpackException) as error:
            raise BackupError(f"found no backup: {error!r}") from None


def read_text(disk: Disk, name: str) -> bytes | None:
    """A configuration's text, uncompressed; None where it is missing or damaged. `name`: of the file."""
    compressed = decode_file(disk.read(name))
    try:
        return None if compressed is None else zlib.decompressobj().decompress(compressed, MAX_TEXT_BYTES)
    except zlib.error:
        return None


def backup(disk: Disk) -> bytes:
    """The state that this disk accepted last, with its text, as a file. BackupError where there is none."""
    state = decode_register(disk.read(REGISTER))
    if state is None or state.value is None:
        raise BackupError("found no word on this disk, wanted one")
    digest, text = state.value.digest, b""
    if digest:
        found = read_text(disk, TEXT_PREFIX + digest)
        if found is None or digest_of(found) != digest:
            raise BackupError(
                f"found no whole {TEXT_PREFIX}{digest}, wanted the text that the register names"
            )
        text = found
    return Backup(state.epoch, state.accepted.counter, state.value, text).pack()


def restore(disk: Disk, packed: bytes, members: Sequence[RestoredMember], local_address: str) -> str:
    """Write a backup to an empty disk, as one of the members of a new membership; a line on what was written.

    `members`: all of them, in the same order on every machine; `local_address`: this one's. BackupError where
    the disk is in use, or `local_address` is no member.
    """
    found = Backup.unpack(packed)
    in_use = [name for name in disk.names() if not name.endswith(DAMAGED_SUFFIX)]
    if in_use:
        raise BackupError(f"found {in_use[0]} on the disk, wanted an empty one")
    addresses = [member.address for member in members]
    is_distinct = len(set(addresses)) == len(members)
    if local_address not in addresses or not is_distinct or len(members) > mesh_state.MAX_MEMBERS:
        raise BackupError(
            f"found {local_address} and members {' '.join(addresses)}, wanted it among them, each once"
        )
    state = _restored_state(found, members, f"r{zlib.crc32(packed):08x}")
    value = state.value
    assert value is not None
    if value.digest:
        compressed = zlib.compress(found.text, COMPRESSION_LEVEL)
        disk.write(TEXT_PREFIX + value.digest, encode_file(compressed))
    disk.write(REGISTER_NEW, encode_register(state))
    disk.rename(REGISTER_NEW, REGISTER)
    return (
        f"{REGISTER}: disk {state.disk}, roster {state.epoch}, word {value.revision}, "
        f"configuration r{value.version}"
    )


def _restored_state(found: Backup, restored: Sequence[RestoredMember], disk: str) -> AcceptorState:
    """The register of each member of a restore. `disk`: one name for all, drawn from the backup."""
    members = tuple(Member(member.address, disk, member.zone, True) for member in restored)
    epoch = max(found.epoch, found.value.epoch) + RESTORE_MARGIN
    value = replace(
        found.value,
        revision=found.value.revision + RESTORE_MARGIN,
        members=members,
        epoch=epoch,
        target_size=len(members),
    )
    number = ProposalNumber(found.counter + RESTORE_MARGIN, RESTORE_PROPOSER, 0)
    return AcceptorState(disk, epoch, members, number, number, value)
