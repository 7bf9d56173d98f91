"""The page for engineers on call names existing log lines, commands and modules."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

from honeywharf.cli import drift, mesh, store

ROOT = Path(__file__).parent.parent
PAGE = (ROOT / "docs" / "on-call.md").read_text("utf-8")
SOURCES = "\n".join(path.read_text("utf-8") for path in sorted((ROOT / "honeywharf").rglob("*.py")))
COMMANDS = {"mesh": mesh.main, "mesh-store": store.main, "drift": drift.main}


def section(title: str) -> str:
    """The text under a heading."""
    return PAGE.split(f"\n## {title}\n", 1)[1].split("\n## ", 1)[0]


LOG_LINES = re.findall(r"^\| `([^`]+)` \|", section("Log lines"), re.MULTILINE)
MODULES = sorted(set(re.findall(r"`([a-z_]+/[a-z_0-9]+\.py)`", PAGE)))


@pytest.mark.parametrize("line", LOG_LINES)
def test_each_log_line_is_written_somewhere(line: str) -> None:
    assert f'"{line.rstrip()}' in SOURCES


@pytest.mark.parametrize("module", MODULES)
def test_each_module_exists(module: str) -> None:
    assert (ROOT / "honeywharf" / module).exists() or (ROOT / module).exists()


@pytest.mark.parametrize(
    ("command", "subcommand"),
    [
        ("mesh", name)
        for name in ("members", "describe", "duties", "replace", "check", "diff", "route", "settings")
    ]
    + [("mesh", "evacuate"), ("mesh", "activate"), ("drift", "show"), ("drift", "explain")]
    + [("drift", "between"), ("mesh-store", "check"), ("mesh-store", "repair"), ("mesh-store", "backup")],
)
def test_each_subcommand_has_help_and_is_on_the_page(command: str, subcommand: str) -> None:
    assert re.search(rf"\b{command} {subcommand}\b", PAGE)
    with pytest.raises(SystemExit) as ended:
        raise SystemExit(COMMANDS[command]([subcommand, "--help"]))
    assert ended.value.code == 0


def test_the_page_lists_enough_log_lines_and_modules() -> None:
    assert len(LOG_LINES) >= 15
    assert len(MODULES) >= 15
