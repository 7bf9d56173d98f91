"""A control node's disk as people see it: what is on it, what of it is damaged, a backup, and its return.

Theory of operation. `check` and `backup` only read; every file is replaced whole, so both may be run beside a
control node. `repair` and `restore` write, and want the control node stopped. Nothing here gives a vote to a
disk that has lost what it promised: a damaged register is set aside, and the machine asks to be admitted
anew. The one exception is `restore`, for when no majority of the roster is left: it begins a new roster, with
new names for all disks, from one backup, and must be run on every member with the same backup and the same
members.
"""

from __future__ import annotations

import zlib
from dataclasses import dataclass, replace
from typing import Any

import msgpack  # type: ignore[import-untyped]

from honeywharf.control import mesh_state
from honeywharf.control.acceptor import AcceptorState
from honeywharf.control.mesh_state import Member, MeshState
from honeywharf.control.messages import Ballot
from honeywharf.control.store import (
    BAD,
    BESIDE,
    CONFIG,
    REGISTER,
    Disk,
    FormatError,
    read_state,
    seal,
    state_bytes,
    unseal,
)
from honeywharf.mesh_config.configuration import digest as named

RAISED = 1_000_000  # revisions, epochs and ballots that a return goes ahead: above all that anybody has seen
PRESSED = 6  # zlib's level
MAX_TEXT = 80 << 20  # bytes of a configuration, unpacked


class Report:
    """What a disk holds: `lines` for people, `faults` of it, and the state where the register is whole."""

    def __init__(self) -> None:
        self.lines: list[str] = []
        self.faults: list[str] = []
        self.state: AcceptorState | None = None


class BackupError(ValueError):
    """What can't be backed up, or is no backup, or can't be returned here."""


def check(disk: Disk) -> Report:
    """What is on a disk. FormatError: of a later version than this program knows."""
    report, names = Report(), sorted(disk.names())
    report.state = read_state(disk.read(REGISTER))
    if report.state is not None:
        _tell_state(report, report.state)
    elif REGISTER in names:
        report.faults.append(f"{REGISTER}: damaged")
    else:
        report.lines.append(f"{REGISTER}: none: the disk has no vote")
    for name in names:
        _tell_file(report, disk, name)
    value = report.state.value if report.state is not None else None
    if value is not None and value.digest and CONFIG + value.digest not in names:
        report.faults.append(f"{CONFIG}{value.digest}: missing, and the register names it")
    return report


def _tell_state(report: Report, state: AcceptorState) -> None:
    say = report.lines.append
    say(
        f"{REGISTER}: disk {state.disk}, promised {state.promised.counter}, accepted {state.accepted.counter}"
    )
    members = " ".join(f"{one.address}/{one.zone or '?'}/{one.disk}" for one in state.members) or "unknown"
    say(f"roster {state.epoch}: {members}")
    if state.value is None:
        say("word: none yet")
        return
    value = state.value
    gone = ",".join(sorted(zone for zone, on in value.evacuations.items() if on)) or "none"
    say(
        f"word {value.revision}: configuration r{value.version}, {value.digest or 'no text'},"
        f" evacuated {gone}"
    )


def _tell_file(report: Report, disk: Disk, name: str) -> None:
    if name.endswith(BAD):
        report.lines.append(f"{name}: set aside")
    elif name == BESIDE:
        whole = read_state(disk.read(name)) is not None
        report.lines.append(f"{name}: left by a write that was cut off, {'whole' if whole else 'torn'}")
    elif name.startswith(CONFIG):
        text = _text(disk, name)
        if text is None or named(text) != name[len(CONFIG) :]:
            report.faults.append(f"{name}: damaged")
        else:
            report.lines.append(f"{name}: {len(text)} bytes")
    elif name.startswith("drift-"):
        report.lines.append(f"{name}: history, on which no vote depends")
    elif name != REGISTER:
        report.lines.append(f"{name}: not of a control node")


def _text(disk: Disk, name: str) -> bytes | None:
    """A configuration's text; None where it is damaged."""
    packed = unseal(disk.read(name))
    try:
        return None if packed is None else zlib.decompressobj().decompress(packed, MAX_TEXT)
    except zlib.error:
        return None


def repair(disk: Disk) -> list[str]:
    """Set aside what is damaged, and finish a write that was cut off; what was done, a line each.

    A whole `register.new` was synced and never answered for: it takes the place of a damaged or missing
    register, as if the write had ended. Without one the disk counts as lost.
    """
    done, report = [], check(disk)
    new = read_state(disk.read(BESIDE))
    if report.state is None and REGISTER in disk.names():
        disk.rename(REGISTER, REGISTER + BAD)
        done.append(f"{REGISTER}: damaged, set aside as {REGISTER}{BAD}")
    if report.state is None and new is not None:
        disk.rename(BESIDE, REGISTER)
        done.append(f"{REGISTER}: taken from {BESIDE}")
    elif BESIDE in disk.names():
        disk.remove(BESIDE)
        done.append(f"{BESIDE}: removed")
    for fault in report.faults:
        name = fault.partition(":")[0]
        if name.startswith(CONFIG) and name in disk.names():
            disk.rename(name, name + BAD)
            done.append(f"{name}: damaged, set aside as {name}{BAD}; the others have it, or a backup")
    return done


def backup(disk: Disk) -> bytes:
    """The word that this disk accepted last, with its text, in one piece. BackupError where there is none."""
    state = read_state(disk.read(REGISTER))
    if state is None or state.value is None:
        raise BackupError("found no word on this disk, wanted one")
    name, text = state.value.digest, b""
    if name:
        found = _text(disk, CONFIG + name)
        if found is None or named(found) != name:
            raise BackupError(f"found no whole {CONFIG}{name}, wanted the text that the register names")
        text = found
    return Backup(state.epoch, state.accepted.counter, state.value, text).pack()


@dataclass(frozen=True, slots=True)
class Backup:
    """One state with its configuration's text, and how far the register had come: epoch, ballots' counter."""

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
            "text": zlib.compress(self.text, PRESSED),
        }
        return seal(msgpack.packb(parts))


def opened(packed: bytes) -> Backup:
    """A backup from its file. BackupError where it is none or damaged."""
    try:
        body = unseal(packed)
        if body is None:
            raise BackupError("found a damaged file or another one, wanted a backup")
        parts: dict[str, Any] = msgpack.unpackb(body, strict_map_key=False)
        text = zlib.decompressobj().decompress(parts["text"], MAX_TEXT)
        value = MeshState.unpack(parts["value"])
        if value.digest and named(text) != value.digest:
            raise BackupError("found a text that is not the one named, wanted a backup")
        return Backup(int(parts["epoch"]), int(parts["counter"]), value, text)
    except (KeyError, TypeError, ValueError, zlib.error, msgpack.UnpackException) as fault:
        if isinstance(fault, BackupError):
            raise
        raise BackupError(f"found no backup: {fault!r}") from None


def restore(disk: Disk, packed: bytes, members: list[tuple[str, str]], here: str) -> str:
    """Write a backup to an empty disk, as one of the members of a new roster; a line on what was written.

    `members`: (address as `check` prints it, zone) of all, in the same order everywhere; `here`: this one's.
    BackupError where the disk is in use, or `here` is no member.
    """
    backup = opened(packed)
    in_use = [name for name in disk.names() if not name.endswith(BAD)]
    if in_use:
        raise BackupError(f"found {in_use[0]} on the disk, wanted an empty one")
    addresses = [one for one, _ in members]
    if here not in addresses or len(set(addresses)) != len(members) or len(members) > mesh_state.MAX_MEMBERS:
        raise BackupError(f"found {here} and members {' '.join(addresses)}, wanted it among them, each once")
    name = f"r{zlib.crc32(packed):08x}"  # the same for all: who takes part in this return
    roster = tuple(Member(address, name, zone, True) for address, zone in members)
    before = backup.value
    epoch = max(backup.epoch, before.epoch) + RAISED
    value = replace(
        before,
        revision=before.revision + RAISED,
        members=roster,
        epoch=epoch,
        wanted=len(roster),
    )
    ballot = Ballot(backup.counter + RAISED, "return", 0)
    if value.digest:
        disk.write(CONFIG + value.digest, seal(zlib.compress(backup.text, PRESSED)))
    disk.write(BESIDE, state_bytes(AcceptorState(name, epoch, roster, ballot, ballot, value)))
    disk.rename(BESIDE, REGISTER)
    return f"{REGISTER}: disk {name}, roster {epoch}, word {value.revision}, configuration r{value.version}"


__all__ = ["RAISED", "BackupError", "FormatError", "Report", "backup", "check", "opened", "repair", "restore"]
