"""Exceptions to the linter and the type checker may only become fewer.

A number here that is higher than the count found has to be lowered; none is ever raised.
"""

from __future__ import annotations

import re
import tomllib
from pathlib import Path
from typing import Any

import pytest

from tests.test_layers import KNOWN_IMPORT_CYCLE

ROOT = Path(__file__).parent.parent
FINISHED = (
    "control",
    "failure_detector",
    "gossip",
    "hinted_handoff",
    "lease",
    "mesh_config",
    "programs",
    "transport",
)
MAX_FILE_LINES = 400


def settings() -> dict[str, Any]:
    """The project's settings."""
    return tomllib.loads((ROOT / "pyproject.toml").read_text("utf-8"))


def sources(*folders: str) -> list[Path]:
    """Python files of folders of the root."""
    return [path for folder in folders for path in sorted((ROOT / folder).rglob("*.py"))]


def occurrences(pattern: str, *folders: str) -> int:
    """Counts the matches of a pattern in files of folders of the root."""
    return sum(len(re.findall(pattern, path.read_text("utf-8"))) for path in sources(*folders))


def ignored_files() -> dict[str, list[str]]:
    """Rules that are switched off, by file."""
    found: dict[str, list[str]] = settings()["tool"]["ruff"]["lint"]["per-file-ignores"]
    return found


@pytest.mark.parametrize(
    ("label", "found", "known"),
    [
        ("files with rules switched off", len(ignored_files()), 67),
        ("rules switched off, over files", sum(map(len, ignored_files().values())), 77),
        ("noqa in honeywharf", occurrences(r"# noqa", "honeywharf"), 7),
        ("type: ignore in honeywharf", occurrences(r"# type: ignore", "honeywharf"), 18),
        (
            "noqa and type: ignore in tests and bench",
            occurrences(r"# noqa|# type: ignore", "tests", "bench"),
            72,
        ),
        ("modules in the circle of imports", len(KNOWN_IMPORT_CYCLE), 11),
    ],
)
def test_exceptions_become_fewer(label: str, found: int, known: int) -> None:
    assert found <= known, f"{label}: expected at most {known}, got {found}"
    assert found == known, f"{label}: expected {known}, got {found}: lower the number in this test"


def test_finished_packages_have_no_rule_switched_off() -> None:
    for path in ignored_files():
        assert not path.startswith(tuple(f"honeywharf/{package}/" for package in FINISHED)), path


@pytest.mark.parametrize("package", FINISHED)
def test_files_of_finished_packages_are_short(package: str) -> None:
    for path in sources(f"honeywharf/{package}"):
        assert len(path.read_text("utf-8").splitlines()) <= MAX_FILE_LINES, path.name
