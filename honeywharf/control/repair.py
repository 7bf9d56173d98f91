"""Inspection and repair of a control node's disk, for operators.

`check` only reads; it may run beside a control node, because every file is replaced atomically. `repair`
writes, and requires a stopped control node. Neither gives a vote to a disk that has lost its promises: a
damaged register is renamed, and the machine requests its admission again. Backups are in `backup`.
"""

from __future__ import annotations

from honeywharf.control.acceptor import AcceptorState
from honeywharf.control.backup import read_text
from honeywharf.control.store import (
    DAMAGED_SUFFIX,
    DEPARTURES,
    DEPARTURES_NEW,
    REGISTER,
    REGISTER_NEW,
    TEXT_PREFIX,
    Disk,
    decode_register,
)
from honeywharf.mesh_config.configuration import digest as digest_of

HISTORY_PREFIX = "drift-"


class Report:
    """The contents of a disk: `lines` and `faults` for operators, and the state if the register is intact."""

    def __init__(self) -> None:
        self.lines: list[str] = []
        self.faults: list[str] = []
        self.state: AcceptorState | None = None


def check(disk: Disk) -> Report:
    """Reports the contents of a disk. Raises FormatError for a file of a later version of the format."""
    report, names = Report(), sorted(disk.names())
    report.state = decode_register(disk.read(REGISTER))
    if report.state is not None:
        _describe_register(report, report.state)
    elif REGISTER in names:
        report.faults.append(f"{REGISTER}: damaged")
    else:
        report.lines.append(f"{REGISTER}: missing, the disk has no vote")
    for name in names:
        _describe_file(report, disk, name)
    value = report.state.value if report.state is not None else None
    if value is not None and value.digest and TEXT_PREFIX + value.digest not in names:
        report.faults.append(f"{TEXT_PREFIX}{value.digest}: missing, but the register names it")
    return report


def _describe_register(report: Report, state: AcceptorState) -> None:
    report.lines.append(
        f"{REGISTER}: disk {state.disk}, promised {state.promised.counter}, accepted {state.accepted.counter}"
    )
    members = " ".join(f"{m.address}/{m.zone or '?'}/{m.disk}" for m in state.members) or "unknown"
    report.lines.append(f"membership {state.epoch}: {members}")
    if state.value is None:
        report.lines.append("state: none yet")
        return
    value = state.value
    evacuated = ",".join(sorted(zone for zone, on in value.evacuations.items() if on)) or "none"
    report.lines.append(
        f"state {value.revision}: configuration r{value.version}, {value.digest or 'no text'},"
        f" evacuated {evacuated}"
    )


def _describe_file(report: Report, disk: Disk, name: str) -> None:
    if name.endswith(DAMAGED_SUFFIX):
        report.lines.append(f"{name}: damaged file, renamed earlier")
    elif name == REGISTER_NEW:
        is_complete = decode_register(disk.read(name)) is not None
        report.lines.append(f"{name}: left by an interrupted write, {'complete' if is_complete else 'torn'}")
    elif name.startswith(TEXT_PREFIX):
        text = read_text(disk, name)
        if text is None or digest_of(text) != name[len(TEXT_PREFIX) :]:
            report.faults.append(f"{name}: damaged")
        else:
            report.lines.append(f"{name}: {len(text)} bytes")
    elif name.startswith(HISTORY_PREFIX):
        report.lines.append(f"{name}: drift history, no vote depends on it")
    elif name in (DEPARTURES, DEPARTURES_NEW):
        report.lines.append(f"{name}: departed backends, no vote depends on it")
    elif name != REGISTER:
        report.lines.append(f"{name}: not a file of a control node")


def repair(disk: Disk) -> list[str]:
    """Renames damaged files, and finishes an interrupted write; returns a line for each action.

    An intact `register.new` was synced and no answer depends on it yet: it replaces a damaged or missing
    register, as if the write had ended. Without one the disk counts as lost.
    """
    actions, report = [], check(disk)
    new = decode_register(disk.read(REGISTER_NEW))
    if report.state is None and REGISTER in disk.names():
        disk.rename(REGISTER, REGISTER + DAMAGED_SUFFIX)
        actions.append(f"{REGISTER}: damaged, renamed to {REGISTER}{DAMAGED_SUFFIX}")
    if report.state is None and new is not None:
        disk.rename(REGISTER_NEW, REGISTER)
        actions.append(f"{REGISTER}: recovered from {REGISTER_NEW}")
    elif REGISTER_NEW in disk.names():
        disk.remove(REGISTER_NEW)
        actions.append(f"{REGISTER_NEW}: removed")
    for fault in report.faults:
        name = fault.partition(":")[0]
        if name.startswith(TEXT_PREFIX) and name in disk.names():
            disk.rename(name, name + DAMAGED_SUFFIX)
            actions.append(
                f"{name}: damaged, renamed to {name}{DAMAGED_SUFFIX}; other members or a backup have it"
            )
    return actions
