"""The current code reads the messages and files of the build of 3af6ad9, and writes the same bytes."""

from __future__ import annotations

import json
import os
import shutil
import subprocess
import sys
from functools import cache
from pathlib import Path
from typing import Any

import pytest

from honeywharf.control.mesh_state import MeshState
from honeywharf.lab.results import Results
from tests.compatibility import stored_disks
from tests.compatibility.golden_messages import GOLDEN
from tests.compatibility.message_shapes import shape
from tests.compatibility.write_golden import (
    LABORATORY,
    LABORATORY_CODE,
    LABORATORY_ROWS,
    MESSAGES,
    SHAPES,
    write_laboratory,
)
from tests.control.cluster import ControlCluster

ROOT = Path(__file__).parents[2]
OLD_MESSAGES: dict[str, str] = json.loads(MESSAGES.read_text())
OLD_SHAPES: dict[str, list[Any]] = json.loads(SHAPES.read_text())
#: Messages that the old build does not know; it answers that it does not, which their callers ignore.
ADDED_SHAPES: dict[str, list[Any]] = {
    "call register.precedence": [["int", "float"]],
    "answer register.precedence True": ["bool"],
}


@pytest.mark.parametrize("name", GOLDEN)
def test_the_same_object_is_written_as_the_same_bytes(name: str) -> None:
    assert GOLDEN[name].build().hex() == OLD_MESSAGES[name]


@pytest.mark.parametrize("name", GOLDEN)
def test_old_bytes_are_read_and_written_again_unchanged(name: str) -> None:
    old = bytes.fromhex(OLD_MESSAGES[name])
    assert GOLDEN[name].rewrite(old) == old


def test_no_golden_message_is_left_out() -> None:
    assert GOLDEN.keys() == OLD_MESSAGES.keys()


@cache
def current_shapes() -> dict[str, list[Any]]:
    """Records the shapes of the current code in a separate process, because they depend on the hash seed."""
    ran = subprocess.run(
        [sys.executable, "-m", "tests.compatibility.message_shapes"],
        cwd=ROOT,
        env={**os.environ, "PYTHONHASHSEED": "0"},
        capture_output=True,
        text=True,
        check=True,
    )
    shapes: dict[str, list[Any]] = json.loads(ran.stdout)
    return shapes


def test_every_message_of_the_recorded_simulations_has_its_old_name_and_fields() -> None:
    current = current_shapes()
    expected = {**OLD_SHAPES, **ADDED_SHAPES}
    assert current.keys() == expected.keys()
    assert current == expected


def test_a_field_by_another_name_has_another_shape() -> None:
    state = MeshState(1, 2, "d", {"a": True}, (), 1, 3).pack_public()
    renamed = {("revision" if key == "rev" else key): value for key, value in state.items()}
    assert shape(state) != shape(renamed)
    assert shape(state).keys() == OLD_SHAPES["call register.learn"][0].keys()


def cluster_on_old_disks() -> ControlCluster:
    """Returns three control nodes with the disks of the build of 3af6ad9."""
    cluster = ControlCluster(77)
    for ip, files in stored_disks.read().items():
        machine = cluster.network.machines[ip]
        machine.off(power=False)
        machine.disk.files = dict(files)
        cluster.start(ip)
    return cluster


def test_control_nodes_continue_from_old_disks() -> None:
    cluster, last = cluster_on_old_disks(), stored_disks.VERSIONS[-1]
    cluster.run(1.0)
    described = [cluster.describe(ip) for ip in cluster.ips]
    same = cluster.replace(cluster.ips[0], last, stored_disks.content(last))
    earlier = cluster.replace(cluster.ips[1], 3, stored_disks.content(3))
    other = cluster.replace(cluster.ips[2], last, "another content")
    earlier_other = cluster.replace(cluster.ips[0], 3, "another content")
    cluster.run(1.0)
    text = f"r{last} {stored_disks.content(last)}".encode()
    assert [call.answers for call in described] == [[(200, text, b"")]] * 3
    assert [call.status for call in (same, earlier, other, earlier_other)] == [200, 200, 409, 409]
    new = cluster.replace(cluster.ips[1], last + 1, stored_disks.content(last + 1))
    cluster.run(1.0)
    assert new.status == 200
    known = cluster.known(cluster.ips[2])
    assert (known.version, known.evacuations) == (last + 1, {stored_disks.EVACUATED: True})


def test_an_old_control_node_s_history_is_read() -> None:
    cluster = cluster_on_old_disks()
    cluster.run(1.0)
    for ip in cluster.ips:
        history = cluster.programs[ip].drift_aggregator.history
        versions = [row[2] for row in history.revisions]
        assert set(stored_disks.VERSIONS) <= set(versions)
        assert not [line for line in cluster.network.machines[ip].lines if line.startswith("history:")]


def test_a_file_of_the_laboratory_is_read_and_written_with_the_same_rows(tmp_path: Path) -> None:
    old, new = tmp_path / "old.sqlite", tmp_path / "new.sqlite"
    shutil.copy(LABORATORY, old)
    write_laboratory(new)
    for path in (old, new):
        results = Results(path, code=LABORATORY_CODE)
        assert results.keys() == {row[0] for row in LABORATORY_ROWS}
        assert [(*row,) for row in results.rows()] == [row[1:] for row in LABORATORY_ROWS]
        results.database.close()
    dumps = []
    for path in (old, new):
        results = Results(path)
        dumps.append(list(results.database.iterdump()))
        results.database.close()
    assert dumps[0] == dumps[1]
