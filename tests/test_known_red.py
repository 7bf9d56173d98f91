"""The list of known failures names tests that exist, a cause and an issue, and is short."""

from __future__ import annotations

import shutil
import subprocess
import sys
from pathlib import Path

import pytest

from tests.known_red import MAX_KNOWN, ROOT, parse, read


def test_every_listed_test_exists_in_its_file() -> None:
    for failure in read():
        path, _, name = failure.test.partition("::")
        assert f"def {name.partition('[')[0]}(" in (ROOT / path).read_text("utf-8")


@pytest.mark.parametrize(
    "line", ["tests/a.py::test_b", "tests/a.py::test_b | cause", "tests/a.py::test_b | | issue 1"]
)
def test_a_line_that_lacks_a_field_is_rejected(line: str) -> None:
    with pytest.raises(
        ValueError, match=r"line: expected `test \| cause \| issue`, got 'tests/a\.py::test_b"
    ):
        parse(line)


def test_the_list_is_short() -> None:
    line = "tests/a.py::test_b | cause | issue 1\n"
    assert len(parse(line * MAX_KNOWN)) == MAX_KNOWN
    with pytest.raises(ValueError, match=f"at most {MAX_KNOWN}"):
        parse(line * (MAX_KNOWN + 1))


SAMPLE = """
import pytest

@pytest.fixture
def broken():
    raise RuntimeError("no fixture")

def test_red():
    assert 1 == 2

def test_green():
    assert True

def test_error():
    raise RuntimeError("not an assertion")

def test_setup(broken):
    assert 1 == 2
"""
PYTEST_OK, PYTEST_FAILED = 0, 1


@pytest.mark.parametrize("workers", ["0", "2"])
@pytest.mark.parametrize(
    ("listed", "selected", "status"),
    [
        (["test_red"], ["test_red", "test_green"], PYTEST_OK),
        ([], ["test_red", "test_green"], PYTEST_FAILED),
        (["test_red"], ["test_red", "test_error"], PYTEST_FAILED),
        (["test_red", "test_green"], ["test_red", "test_green"], PYTEST_FAILED),
        (["test_error"], ["test_error"], PYTEST_FAILED),
        (["test_setup"], ["test_setup"], PYTEST_FAILED),
        (["test_red"], ["test_green"], PYTEST_OK),
    ],
)
def test_a_run_ignores_listed_failures_and_no_others(
    tmp_path: Path, listed: list[str], selected: list[str], status: int, workers: str
) -> None:
    folder = tmp_path / "tests"
    folder.mkdir()
    (folder / "__init__.py").touch()
    for name in ("conftest.py", "known_red.py"):
        shutil.copy(ROOT / "tests" / name, folder)
    (folder / "test_sample.py").write_text(SAMPLE)
    lines = [f"tests/test_sample.py::{name} | a cause | issue 1\n" for name in listed]
    (tmp_path / "KNOWN-RED.txt").write_text("".join(lines))
    command = [sys.executable, "-m", "pytest", "-p", "no:cacheprovider", "-n", workers]
    result = subprocess.run(
        [*command, *(f"tests/test_sample.py::{name}" for name in selected)],
        cwd=tmp_path,
        capture_output=True,
        text=True,
        check=False,
    )
    assert result.returncode == status, result.stdout
    assert all(
        f"KNOWN-RED tests/test_sample.py::{name}: a cause (issue 1)" in result.stdout for name in listed
    )
    for name in listed:
        if name == "test_red" and name in selected:
            assert "1 failed" in result.stdout or "2 failed" in result.stdout, (
                "a known failure is shown as one"
            )
