"""Each row of the table in docs/design/answers-and-retries.md names a test, and each of these exists."""

from __future__ import annotations

import ast
import re
from pathlib import Path

ROOT = Path(__file__).parents[2]
PAGE = ROOT / "docs" / "design" / "answers-and-retries.md"
NAMED = re.compile(r"`(tests/\S+\.py)::(test_\w+)`")
MIN_ROWS = 40


def rows() -> list[str]:
    """The rows of the table, without its head and the names of its parts."""
    lines = PAGE.read_text("utf-8").splitlines()
    heads = ("| **", "| where", "| ---")
    return [line for line in lines if line.startswith("| ") and not line.startswith(heads)]


def test_each_row_names_a_test_or_the_one_above() -> None:
    found = rows()
    assert len(found) >= MIN_ROWS
    for row in found:
        assert NAMED.search(row) or row.endswith("| the same |"), row


def test_each_test_that_is_named_exists() -> None:
    for path, name in NAMED.findall(PAGE.read_text("utf-8")):
        tree = ast.parse((ROOT / path).read_text("utf-8"))
        assert name in {node.name for node in tree.body if isinstance(node, ast.FunctionDef)}, (
            f"{path}::{name}"
        )
