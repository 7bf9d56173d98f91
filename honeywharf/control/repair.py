"""A control node's disk as people see it: what is on it, what of it is damaged, and its repair.

`check` only reads; every file is replaced as a whole, so it may be run beside a control node. `repair`
writes, and wants the control node stopped. Neither gives a vote to a disk that has lost what it promised: a
damaged register is set aside, and the machine asks to be admitted anew. Backups are in `backup`.
"""

from __future__ import annotations

from honeywharf.control.acceptor import AcceptorState
from honeywharf.control.backup import read_text
from honeywharf.control.store import (
    DAMAGED_SUFFIX,
    REGISTER,
    REGISTER_NEW,
    TEXT_PREFIX,
    Disk,
    decode_register,
)
from honeywharf.mesh_config.configuration import digest as digest_of

HISTORY_PREFIX = "drift-"


class Report:
    """What a disk holds: `lines` and `faults` for people, and the state where the register is intact."""

    def __init__(self) -> None:
        self.lines: list[str] = []
        self.faults: list[str] = []
        self.state: AcceptorState | None = None


def check(disk: Disk) -> Report:
    """What is on a disk. FormatError: a file is of a later version than this program knows."""
    report, names = Report(), sorted(disk.names())
    report.state = decode_register(disk.read(REGISTER))
    if report.state is not None:
        _describe_register(report, report.state)
    elif REGISTER in names:
        report.faults.append(f"{REGISTER}: damaged")
    else:
        report.lines.append(f"{REGISTER}: none: the disk has no vote")
    for name in names:
        _describe_file(report, disk, name)
    value = report.state.value if report.state is not None else None
    if value is not None and value.digest and TEXT_PREFIX + value.digest not in names:
        report.faults.append(f"{TEXT_PREFIX}{value.digest}: missing, and the register names it")
    return report


def _describe_register(report: Report, state: AcceptorState) -> None:
    report.lines.append(
        f"{REGISTER}: disk {state.disk}, promised {state.promised.counter}, accepted {state.accepted.counter}"
    )
    members = " ".join(f"{one.address}/{one.zone or '?'}/{one.disk}" for one in state.members) or "unknown"
    report.lines.append(f"roster {state.epoch}: {members}")
    if state.value is None:
        report.lines.append("word: none yet")
        return
    value = state.value
    gone = ",".join(sorted(zone for zone, on in value.evacuations.items() if on)) or "none"
    report.lines.append(
        f"word {value.revision}: configuration r{value.version}, {value.digest or 'no text'},"
        f" evacuated {gone}"
    )


def _describe_file(report: Report, disk: Disk, name: str) -> None:
    if name.endswith(DAMAGED_SUFFIX):
        report.lines.append(f"{name}: set aside")
    elif name == REGISTER_NEW:
        whole = decode_register(disk.read(name)) is not None
        report.lines.append(f"{name}: left by a write that was cut off, {'whole' if whole else 'torn'}")
    elif name.startswith(TEXT_PREFIX):
        text = read_text(disk, name)
        if text is None or digest_of(text) != name[len(TEXT_PREFIX) :]:
            report.faults.append(f"{name}: damaged")
        else:
            report.lines.append(f"{name}: {len(text)} bytes")
    elif name.startswith(HISTORY_PREFIX):
        report.lines.append(f"{name}: history, on which no vote depends")
    elif name != REGISTER:
        report.lines.append(f"{name}: not of a control node")


def repair(disk: Disk) -> list[str]:
    """Set aside what is damaged, and finish a write that was cut off; what was done, a line each.

    An intact `register.new` was synced and nothing was answered by it: it takes the place of a damaged or
    missing register, as if the write had ended. Without one the disk counts as lost.
    """
    done, report = [], check(disk)
    new = decode_register(disk.read(REGISTER_NEW))
    if report.state is None and REGISTER in disk.names():
        disk.rename(REGISTER, REGISTER + DAMAGED_SUFFIX)
        done.append(f"{REGISTER}: damaged, set aside as {REGISTER}{DAMAGED_SUFFIX}")
    if report.state is None and new is not None:
        disk.rename(REGISTER_NEW, REGISTER)
        done.append(f"{REGISTER}: taken from {REGISTER_NEW}")
    elif REGISTER_NEW in disk.names():
        disk.remove(REGISTER_NEW)
        done.append(f"{REGISTER_NEW}: removed")
    for fault in report.faults:
        name = fault.partition(":")[0]
        if name.startswith(TEXT_PREFIX) and name in disk.names():
            disk.rename(name, name + DAMAGED_SUFFIX)
            done.append(
                f"{name}: damaged, set aside as {name}{DAMAGED_SUFFIX}; the others have it, or a backup"
            )
    return done
