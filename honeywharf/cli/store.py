"""`honeywharf mesh-store`: checks, repairs, backs up and restores a control node's disk.

Exit status: 0 success; 1 faults on the disk, or the command was rejected; 2 the arguments are invalid, the
disk fails, or its format is newer than this program supports.
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

DirectoryArgument = Annotated[str, cappa.Arg(help="The data directory of a control node.")]
FileArgument = Annotated[str, cappa.Arg(help="The backup file.")]


@cappa.command(name="check", help="List the contents of a disk and its faults. Read-only.")
@dataclass
class Check:
    """`mesh-store check DIR`."""

    directory: DirectoryArgument

    def __call__(self) -> int:
        """Executes the command and returns its exit status."""
        report = repair.check(_open_disk(self.directory))
        for line in [*report.lines, *(f"FAULT {fault}" for fault in report.faults)]:
            print(line)
        return NEGATIVE if report.faults else SUCCESS


@cappa.command(name="repair", help="Set damaged files aside. Stop the control node first.")
@dataclass
class Repair:
    """`mesh-store repair DIR`."""

    directory: DirectoryArgument

    def __call__(self) -> int:
        """Executes the command and returns its exit status."""
        for line in repair.repair(_open_disk(self.directory)) or ["nothing to mend"]:
            print(line)
        return SUCCESS


@cappa.command(name="backup", help="Write the state of a disk, with its configuration text, to a new file.")
@dataclass
class Backup:
    """`mesh-store backup DIR FILE`."""

    directory: DirectoryArgument
    file: FileArgument

    def __call__(self) -> int:
        """Executes the command and returns its exit status."""
        packed = backup.backup(_open_disk(self.directory))
        handle = os.open(self.file, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600)
        with open(handle, "wb") as file_object:
            file_object.write(packed)
            file_object.flush()
            os.fsync(handle)
        value = backup.Backup.unpack(packed).value
        print(f"{self.file}: state {value.revision}, configuration r{value.version}, {len(packed)} bytes")
        return SUCCESS


@cappa.command(name="return", help="Restore a backup to an empty disk, as one member of a new membership.")
@dataclass
class Return:
    """`mesh-store return FILE DIR --here ADDRESS --members ADDRESS/ZONE,...`."""

    file: FileArgument
    directory: DirectoryArgument
    here: Annotated[str, cappa.Arg(long=True, help="This machine's address, as `check` prints it.")]
    members: Annotated[str, cappa.Arg(long=True, help="All new members: ADDRESS/ZONE,ADDRESS/ZONE,...")]

    def __call__(self) -> int:
        """Executes the command and returns its exit status."""
        members = []
        for entry in self.members.split(","):
            address, slash, zone = entry.partition("/")
            ip, _, port = address.rpartition(":")
            if not (slash and zone and ip and port.isdigit()):
                raise backup.BackupError(f"members: expected ADDRESS:PORT/ZONE, got {entry!r}")
            members.append(backup.RestoredMember(address, zone))
        with open(self.file, "rb") as file_object:
            packed = file_object.read()
        print(backup.restore(_open_disk(self.directory), packed, members, self.here))
        return SUCCESS


@cappa.command(name="honeywharf mesh-store", help="Check, repair, back up and restore a control node's disk.")
@dataclass
class MeshStore:
    """`honeywharf mesh-store ...`."""

    command: cappa.Subcommands[Check | Repair | Backup | Return]


def main(arguments: list[str]) -> int:
    """Executes `honeywharf mesh-store` and returns the exit status."""
    return exit_status.run_command(
        lambda: cappa.parse(MeshStore, argv=arguments, completion=False).command(),
        lambda error: print(error, file=sys.stderr),
        (),
        (backup.BackupError,),
    )  # FormatError is an OSError, so it gives UNKNOWN.


def _open_disk(directory: str) -> EventLoop:
    if not os.path.isdir(directory):
        raise NotADirectoryError(f"{directory}: expected a data directory, got no directory")
    return EventLoop(directory)
