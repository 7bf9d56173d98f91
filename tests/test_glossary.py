"""Every module that the glossary names exists and defines the names listed for it."""

from __future__ import annotations

import ast
import re
from functools import cache
from pathlib import Path
from typing import NamedTuple

import pytest

ROOT = Path(__file__).parent.parent
GLOSSARY = ROOT / "docs" / "glossary.md"
NOT_IN_THE_CODE = "not in this code"


class GlossaryRow(NamedTuple):
    """One row: the word on the left, the term or meaning, the cell with the names, and the module's path."""

    word: str
    term: str
    code: str
    module: str

    @property
    def names(self) -> tuple[str, ...]:
        """The names in the code."""
        return tuple(re.findall(r"`([^`]+)`", self.code))


def rows() -> list[GlossaryRow]:
    """The rows of all tables, without their heads."""
    found: list[GlossaryRow] = []
    for line in GLOSSARY.read_text("utf-8").splitlines():
        cells = [cell.strip() for cell in line.strip().strip("|").split("|")]
        if not line.startswith("|") or len(cells) != 4 or cells[0].startswith("---") or cells[3] == "module":
            continue
        found.append(GlossaryRow(cells[0], cells[1], cells[2], cells[3].strip("`")))
    return found


@cache
def defined_names(module: str) -> frozenset[str]:
    """Classes, functions, parameters, attributes and variables that a module defines."""
    found: set[str] = set()
    for node in ast.walk(ast.parse((ROOT / module).read_text("utf-8"))):
        if isinstance(node, ast.ClassDef | ast.FunctionDef):
            found.add(node.name)
        elif isinstance(node, ast.arg):
            found.add(node.arg)
        elif isinstance(node, ast.Attribute | ast.Name) and isinstance(node.ctx, ast.Store):
            found.add(node.attr if isinstance(node, ast.Attribute) else node.id)
    return frozenset(found)


ROWS = rows()


@pytest.mark.parametrize("row", ROWS, ids=[f"{row.word}: {','.join(row.names)}" for row in ROWS])
def test_each_name_is_defined_in_its_module(row: GlossaryRow) -> None:
    if not row.names:
        assert (row.code, row.module) == (NOT_IN_THE_CODE, "")
        return
    assert set(row.names) <= defined_names(row.module)


def test_an_undefined_name_is_detected() -> None:
    assert "ProposalNumber" in defined_names("honeywharf/control/messages.py")
    assert "Ballot" not in defined_names("honeywharf/control/messages.py")


def test_every_word_is_listed_once() -> None:
    assert len(ROWS) >= 100
    assert len({(row.word, row.names) for row in ROWS}) == len(ROWS)
