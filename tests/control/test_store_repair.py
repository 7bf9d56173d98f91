"""Operators' commands for the disk: check, repair, backup and restore, and the version of the format."""

from __future__ import annotations

import zlib
from dataclasses import replace
from pathlib import Path

import pytest

from honeywharf.cli import store as command
from honeywharf.control import backup, repair
from honeywharf.control.store import (
    DAMAGED_SUFFIX,
    FORMAT_VERSION,
    REGISTER,
    REGISTER_NEW,
    FormatError,
    Store,
    decode_file,
    encode_file,
)
from honeywharf.transport.event_loop import EventLoop
from tests.control.cluster import ControlCluster
from tests.control.test_store import machine, state
from tests.control.virtual_network import Machine

TEXT = b"r5 the routes"


def used() -> tuple[ControlCluster, Machine]:
    """Returns a cluster with a configuration and an evacuated zone, and one of its machines."""
    cluster = ControlCluster(31)
    cluster.run(0.5)
    cluster.replace("10.0.0.1", 5, "the routes")
    cluster.run(0.5)
    cluster.call("10.0.0.2", "POST", "/api/evacuations/b/start")
    cluster.run(1.5)
    return cluster, cluster.network.machines["10.0.0.2"]


def damage(host: Machine, name: str) -> None:
    data = bytearray(host.disk.files[name])
    data[-1] ^= 1
    host.disk.files[name] = bytes(data)


def of_later_format(data: bytes) -> bytes:
    """Returns the same file with a later version of the format."""
    return data[:3] + b"%d" % (FORMAT_VERSION + 1) + data[4:]


@pytest.mark.parametrize("name", [REGISTER, "config"])
def test_a_later_format_is_never_taken_for_damage(name: str) -> None:
    cluster, host = used()
    name = next(each for each in host.disk.files if each.startswith(name))
    host.off(power=True)
    host.disk.files[name] = of_later_format(host.disk.files[name])
    before = dict(host.disk.files)
    with pytest.raises(FormatError, match=f"expected at most {FORMAT_VERSION}, got {FORMAT_VERSION + 1}"):
        Store(host).load()
    if name == REGISTER:
        with pytest.raises(FormatError):
            repair.repair(host)
    cluster.start("10.0.0.2")
    cluster.run(2.0)
    assert host.disk.files == before
    assert cluster.replace("10.0.0.1", 6).answers == []
    cluster.run(0.5)
    assert cluster.known("10.0.0.1").version == 6, "the other two continue"


def test_every_invalid_header_is_damage() -> None:
    valid = encode_file(b"body")
    assert decode_file(valid) == b"body"
    tail = valid[4:]
    for invalid in (b"", valid[:7], b"hwr0" + tail, b"hwrx" + tail, b"HWR1" + tail, valid + b"x"):
        assert decode_file(invalid) is None


def test_check_reports_the_contents_and_each_fault() -> None:
    _, host = used()
    report = repair.check(host)
    assert report.faults == []
    lines = "\n".join(report.lines)
    assert "configuration r5" in lines
    assert "evacuated b" in lines
    assert "membership 1: 10.0.0.1:7620/" in lines
    (text,) = [name for name in host.disk.files if name.startswith("config-")]
    damage(host, text)
    assert repair.check(host).faults == [f"{text}: damaged"]
    del host.disk.files[text]
    assert repair.check(host).faults == [f"{text}: missing, but the register names it"]
    damage(host, REGISTER)
    assert repair.check(host).faults == [f"{REGISTER}: damaged"]
    assert repair.check(machine()).lines == [f"{REGISTER}: missing, the disk has no vote"]


def test_repair_renames_damaged_files_and_restores_no_vote() -> None:
    cluster, host = used()
    host.off(power=False)
    (text,) = [name for name in host.disk.files if name.startswith("config-")]
    damage(host, text)
    damage(host, REGISTER)
    assert len(repair.repair(host)) == 2
    assert sorted(name for name in host.disk.files if "drift" not in name) == [
        text + DAMAGED_SUFFIX,
        REGISTER + DAMAGED_SUFFIX,
    ]
    assert repair.repair(host) == []
    cluster.start("10.0.0.2", first=True)
    replica = cluster.programs["10.0.0.2"].replica
    assert replica.state.disk != "first", "a lost disk has no vote, even at the first start"
    cluster.run(4.0)
    assert replica.is_member(), "it is admitted again"
    call = cluster.describe("10.0.0.2")
    cluster.run(1.0)
    assert call.answers[0][:2] == (200, TEXT)


def test_repair_finishes_an_interrupted_write() -> None:
    host = machine()
    store = Store(host)
    store.save(replace(state(1), value=None))
    host.disk.files[REGISTER_NEW] = encode_file(b"torn")[:9]
    assert repair.repair(host) == [f"{REGISTER_NEW}: removed"]
    store.save(replace(state(2), value=None))
    host.disk.files[REGISTER_NEW] = host.disk.files[REGISTER]
    damage(host, REGISTER)
    assert len(repair.repair(host)) == 2
    again = Store(host).load()
    assert again is not None
    assert again.promised[0] == 2


def test_a_backup_is_complete_or_rejected() -> None:
    _, host = used()
    packed = backup.backup(host)
    assert backup.Backup.unpack(packed).text == TEXT
    for cut in range(0, len(packed), 7):
        with pytest.raises(backup.BackupError):
            backup.Backup.unpack(packed[:cut])
    with pytest.raises(backup.BackupError, match="expected a backup, got"):
        backup.Backup.unpack(encode_file(b"\xc1"))
    with pytest.raises(backup.BackupError, match="expected an accepted state"):
        backup.backup(machine())
    (text,) = [name for name in host.disk.files if name.startswith("config-")]
    host.disk.files[text] = encode_file(zlib.compress(b"r5 others"))
    with pytest.raises(backup.BackupError, match="expected the text that the register names"):
        backup.backup(host)


@pytest.mark.parametrize("left", [0, 1])
def test_a_state_is_restored_without_a_majority(left: int) -> None:
    cluster, host = used()
    packed = backup.backup(host)
    before = cluster.known("10.0.0.1").revision
    members = [backup.RestoredMember(f"{ip}:7620", "z") for ip in cluster.ips]
    for n, ip in enumerate(cluster.ips):
        lost = cluster.network.machines[ip]
        lost.off(power=True)
        if n >= left:
            lost.disk.files.clear()
    for ip in cluster.ips[left:]:
        with pytest.raises(backup.BackupError, match="among them"):
            backup.restore(cluster.network.machines[ip], packed, members, "10.0.0.9:7620")
        backup.restore(cluster.network.machines[ip], packed, members, f"{ip}:7620")
        with pytest.raises(backup.BackupError, match="expected an empty one"):
            backup.restore(cluster.network.machines[ip], packed, members, f"{ip}:7620")
    for ip in cluster.ips:
        cluster.start(ip)
    cluster.run(6.0)
    for ip in cluster.ips:
        call = cluster.describe(ip)
        cluster.run(1.0)
        assert call.answers[0][:2] == (200, TEXT)
        assert cluster.known(ip).evacuations == {"b": True}
        assert cluster.known(ip).revision > before + backup.RESTORE_MARGIN - 1
        assert cluster.programs[ip].replica.is_member()
    cluster.replace(cluster.ips[0], 6)
    cluster.run(1.0)
    assert cluster.known("10.0.0.3").version == 6


def test_the_command_line_on_files(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    _, host = used()
    folder, other, file = tmp_path / "core", tmp_path / "new", tmp_path / "word.backup"
    folder.mkdir()
    other.mkdir()
    for name, data in host.disk.files.items():
        (folder / name).write_bytes(data)
    assert command.main(["check", str(folder)]) == 0
    assert command.main(["backup", str(folder), str(file)]) == 0
    assert command.main(["backup", str(folder), str(file)]) == 2, "a backup is never written over"
    here = ["--here", "10.0.0.1:7620", "--members"]
    assert command.main(["return", str(file), str(other), *here, "10.0.0.1:7620"]) == 1
    assert command.main(["return", str(file), str(other), *here, "10.0.0.1:7620/b"]) == 0
    found = Store(EventLoop(str(other))).load()
    assert found is not None
    assert found.value is not None
    assert found.value.version == 5
    assert command.main(["check", str(tmp_path / "none")]) == 2
    (folder / REGISTER).write_bytes(b"hwr1 garbage")
    assert command.main(["check", str(folder)]) == 1
    assert command.main(["repair", str(folder)]) == 0
    assert "FAULT register: damaged" in capsys.readouterr().out
