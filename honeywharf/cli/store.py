"""`honeywharf mesh-store`: look at a control node's disk, mend it, back its word up, and return one.

Exit status: 0 done, or good; 1 faults, or refused; 2 the call was wrong, the disk fails, or it is of a later
format than this program knows.
"""

from __future__ import annotations

import os
import sys
from dataclasses import dataclass
from typing import Annotated

import cappa

from honeywharf.cli import exit_status
from honeywharf.cli.exit_status import NEGATIVE, SUCCESS
from honeywharf.control import backup, repair
from honeywharf.transport.event_loop import EventLoop

Directory = Annotated[str, cappa.Arg(help="The data directory of a control node.")]
File = Annotated[str, cappa.Arg(help="The file of a backup.")]


@cappa.command(name="check", help="Tell what is on a disk, and what of it is damaged. Only reads.")
@dataclass
class Check:
    """`mesh-store check DIR`."""

    directory: Directory

    def __call__(self) -> int:
        """Executes the command and returns its exit status."""
        report = repair.check(_disk(self.directory))
        for line in [*report.lines, *(f"FAULT {fault}" for fault in report.faults)]:
            print(line)
        return NEGATIVE if report.faults else SUCCESS


@cappa.command(name="repair", help="Set aside what is damaged. Stop the control node first.")
@dataclass
class Repair:
    """`mesh-store repair DIR`."""

    directory: Directory

    def __call__(self) -> int:
        """Executes the command and returns its exit status."""
        for line in repair.repair(_disk(self.directory)) or ["nothing to mend"]:
            print(line)
        return SUCCESS


@cappa.command(name="backup", help="Write the word of a disk, with its text, to a new file.")
@dataclass
class Backup:
    """`mesh-store backup DIR FILE`."""

    directory: Directory
    file: File

    def __call__(self) -> int:
        """Executes the command and returns its exit status."""
        packed = backup.backup(_disk(self.directory))
        handle = os.open(self.file, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600)
        with open(handle, "wb") as opened:
            opened.write(packed)
            opened.flush()
            os.fsync(handle)
        value = backup.Backup.unpack(packed).value
        print(f"{self.file}: word {value.revision}, configuration r{value.version}, {len(packed)} bytes")
        return SUCCESS


@cappa.command(name="return", help="Write a backup to an empty disk, as one of a new roster.")
@dataclass
class Return:
    """`mesh-store return FILE DIR --here ADDRESS --members ADDRESS/ZONE,...`."""

    file: File
    directory: Directory
    here: Annotated[str, cappa.Arg(long=True, help="This machine's address, as `check` prints it.")]
    members: Annotated[str, cappa.Arg(long=True, help="All of the new roster: ADDRESS/ZONE,ADDRESS/ZONE,...")]

    def __call__(self) -> int:
        """Executes the command and returns its exit status."""
        members = []
        for one in self.members.split(","):
            address, slash, zone = one.partition("/")
            ip, _, port = address.rpartition(":")
            if not (slash and zone and ip and port.isdigit()):
                raise backup.BackupError(f"found member {one!r}, wanted ADDRESS:PORT/ZONE")
            members.append(backup.RestoredMember(address, zone))
        with open(self.file, "rb") as opened:
            packed = opened.read()
        print(backup.restore(_disk(self.directory), packed, members, self.here))
        return SUCCESS


@cappa.command(name="honeywharf mesh-store", help="Look at a control node's disk, mend it, back it up.")
@dataclass
class MeshStore:
    """`honeywharf mesh-store ...`."""

    command: cappa.Subcommands[Check | Repair | Backup | Return]


def main(arguments: list[str]) -> int:
    """The command line behind `honeywharf mesh-store`. Exit status."""
    return exit_status.run_command(
        lambda: cappa.parse(MeshStore, argv=arguments, completion=False).command(),
        lambda fault: print(fault, file=sys.stderr),
        (),
        (backup.BackupError,),
    )  # FormatError is an OSError


def _disk(directory: str) -> EventLoop:
    if not os.path.isdir(directory):
        raise NotADirectoryError(f"found no folder {directory}, wanted a data directory")
    return EventLoop(directory)
