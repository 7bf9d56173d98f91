"""The history of a control node: its bounds, damage, and regressed acceptor states."""

from __future__ import annotations

import json
import zlib
from random import Random
from typing import Any, cast

import pytest

from honeywharf.control.mesh_state import MeshState
from honeywharf.drift import history
from honeywharf.drift.history import History
from honeywharf.mesh_config.configuration import digest
from honeywharf.simulation.slips import Trial
from honeywharf.transport.host import Host
from tests.mesh_config.examples import drawn, text


class MemoryHost:
    """The part of a host that a history needs."""

    def __init__(self) -> None:
        self.files: dict[str, bytes] = {}
        self.due: list[Any] = []
        self.lines: list[str] = []

    def read(self, name: str) -> bytes | None:
        return self.files.get(name)

    def write(self, name: str, data: bytes) -> None:
        self.files[name] = data

    def rename(self, name: str, to: str) -> None:
        self.files[to] = self.files.pop(name)

    def remove(self, name: str) -> None:
        self.files.pop(name, None)

    def wall_time(self) -> float:
        return 1.7e9

    def after(self, seconds: float, call: Any) -> None:
        self.due.append(call)

    def log(self, line: str) -> None:
        self.lines.append(line)


def loaded(host: MemoryHost) -> History:
    stored = History(cast(Host, host))
    stored.load()
    return stored


def state(revision: int, configuration: bytes) -> MeshState:
    return MeshState(revision, revision, digest(configuration), {"a": True, "b": False}, (), 1, 0)


def test_it_comes_back_whole_or_empty() -> None:
    host, configuration = MemoryHost(), text(drawn(1, 5))
    stored = loaded(host)
    stored.add_revision(state(3, configuration), zlib.compress(configuration))
    stored.add_drift_report("10.1.0.8", "scan", "x" * 9999, 3)
    stored.record_acceptor("first", (4, "n", 1), (3, "n", 1))
    assert len(host.due) == 1
    host.due.pop()()
    again = loaded(host)
    assert (again.revisions, again.acceptor_progress) == (stored.revisions, stored.acceptor_progress)
    assert len(again.drift_reports[0][3]) == history.MAX_CAUSE_LENGTH
    data = host.files[history.FILE]
    for at in Random(1).sample(range(4, len(data)), 20):
        host.files[history.FILE] = data[:at] + bytes([data[at] ^ 1]) + data[at + 1 :]
        assert loaded(host).revisions == []


def test_every_table_is_bounded() -> None:
    host = MemoryHost()
    stored = loaded(host)
    for revision in range(1, 400):
        configuration = json.dumps({**drawn(revision, 2), "config-version": f"r{revision}"}).encode()
        stored.add_revision(state(revision, configuration), zlib.compress(configuration))
        stored.add_drift_report("n", "scan", "what", revision)
        host.due.pop()()
    assert len(stored.revisions) == history.MAX_REVISIONS
    assert len(stored.drift_reports) == history.MAX_DRIFT_REPORTS
    assert len([name for name in host.files if name.startswith(history.TEXT_PREFIX)]) == history.MAX_TEXTS
    assert len(host.files[history.FILE]) < 64 << 10


def test_two_versions_are_compared_as_long_as_their_texts_are_kept() -> None:
    host = MemoryHost()
    stored, configuration = loaded(host), drawn(2, 6)
    one = text(configuration)
    configuration["routes"][0]["timeout"] = "777ms"
    two = text(configuration)
    stored.add_revision(state(7, one), zlib.compress(one))
    stored.add_revision(state(12, two), zlib.compress(two))
    host.due.pop()()
    lines = stored.differences(7, 12, lambda name: None)
    assert len(lines) == 1
    assert "777" in lines[0] or "0.777" in lines[0]
    with pytest.raises(LookupError, match="r8"):
        stored.differences(7, 8, lambda name: None)


def test_a_register_older_than_the_history_has_gone_back() -> None:
    stored = loaded(MemoryHost())
    stored.record_acceptor("first", (4, "n", 1), (3, "n", 1))
    assert not stored.has_regressed("first", (4, "n", 1), (3, "n", 1))
    assert not stored.has_regressed("other", (0, "", 0), (0, "", 0))  # A replaced disk has another id.
    assert stored.has_regressed("first", (4, "n", 1), (2, "n", 1))
    assert stored.has_regressed("first", (3, "n", 9), (3, "n", 1))


def test_a_control_node_whose_disk_gives_back_an_older_word_has_no_vote_until_admitted_anew() -> None:
    trial = Trial(3, "disk", 2).play()
    assert [slip.noticed_by for slip in trial.injected_drifts] == ["register", "register"]
    assert trial.wrong == []
    assert trial.invariant_checker.violations == []
    replicas = [cast(Any, core.program).replica for core in trial.deployment.cores]
    assert len({tuple(map(tuple, replica.state.members)) for replica in replicas}) == 1
    assert all(replica.is_member() for replica in replicas)
