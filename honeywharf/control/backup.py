"""Backups of the mesh state, and the restore of a register whose majority is lost.

`restore` starts a new membership, with new names for all disks, from one backup. It is the only exception to
the rule that a disk which has lost its promises has no vote, so it must be run on every member, with the same
backup and the same members, while all control nodes are stopped.
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

#: A restore adds this to revision, epoch and proposal number, to exceed all that any process has seen.
RESTORE_MARGIN = 1_000_000
RESTORE_PROPOSER = "return"
COMPRESSION_LEVEL = 6
MAX_TEXT_BYTES = 80 << 20  # The size of an uncompressed configuration is bounded.


class BackupError(ValueError):
    """A backup cannot be made, read or restored; the text names what was expected and found."""


class RestoredMember(NamedTuple):
    """A member of the membership that a restore starts. `address` is "ip:port", as `check` prints it."""

    address: str
    zone: str


@dataclass(frozen=True, slots=True)
class Backup:
    """One state with its configuration's text, and the progress of the register.

    `epoch` is that of the decided membership; `counter` is that of the accepted proposal number.
    """

    epoch: int
    counter: int
    value: MeshState
    text: bytes

    def pack(self) -> bytes:
        """Returns the bytes of a backup file."""
        parts = {
            "epoch": self.epoch,
            "value": self.value.pack(),
            "counter": self.counter,
            "text": zlib.compress(self.text, COMPRESSION_LEVEL),
        }
        return encode_file(msgpack.packb(parts))

    @staticmethod
    def unpack(packed: bytes) -> Backup:
        """Reads a backup file. Raises BackupError if it is damaged or another kind of file."""
        try:
            body = decode_file(packed)
            if body is None:
                raise BackupError("backup file: expected a backup, got a damaged or different file")
            parts: dict[str, Any] = msgpack.unpackb(body, strict_map_key=False)
            text = zlib.decompressobj().decompress(parts["text"], MAX_TEXT_BYTES)
            value = MeshState.unpack(parts["value"])
            if value.digest and digest_of(text) != value.digest:
                raise BackupError(
                    "backup file: expected the text of the named configuration, got another one"
                )
            return Backup(int(parts["epoch"]), int(parts["counter"]), value, text)
        except BackupError:
            raise
        except (KeyError, TypeError, ValueError, zlib.error, msgpack.UnpackException) as error:
            raise BackupError(f"backup file: expected a backup, got {error!r}") from None


def read_text(disk: Disk, name: str) -> bytes | None:
    """Returns the uncompressed text of a configuration from the file `name`; None if missing or damaged."""
    compressed = decode_file(disk.read(name))
    try:
        return None if compressed is None else zlib.decompressobj().decompress(compressed, MAX_TEXT_BYTES)
    except zlib.error:
        return None


def backup(disk: Disk) -> bytes:
    """Returns a backup file of the state that this disk accepted last, with its text.

    Raises BackupError if the disk has no state, or not its text.
    """
    state = decode_register(disk.read(REGISTER))
    if state is None or state.value is None:
        raise BackupError(f"{REGISTER}: expected an accepted state, got none")
    digest, text = state.value.digest, b""
    if digest:
        stored = read_text(disk, TEXT_PREFIX + digest)
        if stored is None or digest_of(stored) != digest:
            raise BackupError(
                f"{TEXT_PREFIX}{digest}: expected the text that the register names, got none or a damaged one"
            )
        text = stored
    return Backup(state.epoch, state.accepted.counter, state.value, text).pack()


def restore(disk: Disk, packed: bytes, members: Sequence[RestoredMember], local_address: str) -> str:
    """Writes a backup to an empty disk, as one member of a new membership; returns a summary line.

    `members` are all members, in the same order on every machine; `local_address` is this machine's. Raises
    BackupError if the disk is in use, or `local_address` is not a member.
    """
    source = Backup.unpack(packed)
    in_use = [name for name in disk.names() if not name.endswith(DAMAGED_SUFFIX)]
    if in_use:
        raise BackupError(f"data directory: expected an empty one, got {in_use[0]}")
    addresses = [member.address for member in members]
    is_distinct = len(set(addresses)) == len(members)
    if local_address not in addresses or not is_distinct or len(members) > mesh_state.MAX_MEMBERS:
        raise BackupError(
            f"members: expected {local_address} among them, each once, got {' '.join(addresses)}"
        )
    state = _restored_state(source, members, f"r{zlib.crc32(packed):08x}")
    value = state.value
    assert value is not None
    if value.digest:
        compressed = zlib.compress(source.text, COMPRESSION_LEVEL)
        disk.write(TEXT_PREFIX + value.digest, encode_file(compressed))
    disk.write(REGISTER_NEW, encode_register(state))
    disk.rename(REGISTER_NEW, REGISTER)
    return (
        f"{REGISTER}: disk {state.disk}, membership {state.epoch}, state {value.revision}, "
        f"configuration r{value.version}"
    )


def _restored_state(source: Backup, restored: Sequence[RestoredMember], disk: str) -> AcceptorState:
    """Returns the register of each restored member. `disk` is one name for all, derived from the backup."""
    members = tuple(Member(member.address, disk, member.zone, True) for member in restored)
    epoch = max(source.epoch, source.value.epoch) + RESTORE_MARGIN
    value = replace(
        source.value,
        revision=source.value.revision + RESTORE_MARGIN,
        members=members,
        epoch=epoch,
        target_size=len(members),
    )
    number = ProposalNumber(source.counter + RESTORE_MARGIN, RESTORE_PROPOSER, 0)
    return AcceptorState(disk, epoch, members, number, number, value)
