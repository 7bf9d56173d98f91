"""Compiled and pure builds decide identically, and a build without a compiler changes nothing."""

from __future__ import annotations

import ast
import os
import re
import shutil
import subprocess
import sys
import tomllib
from collections.abc import Iterator
from pathlib import Path

import pytest

from honeywharf.policy import balancer

ROOT = Path(__file__).parent.parent
SIMULATION_PROGRAM = """
from honeywharf.policy import balancer
from honeywharf.lab import days
from honeywharf.lab.simulator import play
print(balancer.__file__)
for seed in (1, 2):
    for kind in (days.jam, days.crowd, days.outage):
        print(play(kind(seed)))
"""


def run_simulations(tree: Path) -> list[str]:
    result = subprocess.run(
        [sys.executable, "-c", SIMULATION_PROGRAM],
        cwd=tree,
        capture_output=True,
        text=True,
        timeout=300,
        check=True,
        env={k: v for k, v in os.environ.items() if k != "PYTHONPATH"},
    )
    return result.stdout.splitlines()


@pytest.mark.skipif(balancer.__file__.endswith(".py"), reason="needs a compiled copy: tests/compiled.sh")
def test_a_compiled_build_gives_the_results_of_the_sources_on_each_simulated_day() -> None:
    compiled, pure = run_simulations(ROOT), run_simulations(Path(os.environ["HONEYWHARF_PURE_TREE"]))
    assert compiled[0].endswith(".so")
    assert pure[0].endswith(".py")
    assert compiled[1:] == pure[1:]
    assert len(set(compiled[1:])) == 6


def loaded_files(name: str) -> Iterator[Path]:
    """Yields the files of the repository that an import of a name may load."""
    parts = name.split(".")
    for length in range(1, len(parts) + 1):
        path = ROOT.joinpath(*parts[:length])
        yield from (file for file in (path / "__init__.py", path.with_suffix(".py")) if file.exists())


def imported_names(path: Path) -> Iterator[str]:
    """Yields all imports of a module, including those for type checkers only: mypyc follows both."""
    for node in ast.walk(ast.parse(path.read_text("utf-8"))):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module is not None:
            yield from (f"{node.module}.{alias.name}" for alias in node.names)


def compiled_files() -> set[Path]:
    """Returns the files that `setup.py` compiles."""
    expression = next(
        node.value
        for node in ast.parse((ROOT / "setup.py").read_text()).body
        if isinstance(node, ast.Assign) and ast.unparse(node.targets[0]) == "COMPILED"
    )
    paths = eval(
        ast.unparse(expression), {"glob": lambda pattern: [str(path) for path in ROOT.glob(pattern)]}
    )
    return {ROOT / path for path in paths}


@pytest.mark.model  # reads sources; the compiled tree has no requirements files
def test_the_minimal_build_has_or_may_miss_every_library() -> None:
    """Guards the platform's build: mypyc follows imports, and compiles nothing if one is missing."""
    required = re.findall(
        r"^[\w-]+",
        (ROOT / "requirements.txt").read_text() + (ROOT / "requirements-build.txt").read_text(),
        re.M,
    )
    may_miss = {
        name.partition(".")[0]
        for override in tomllib.loads((ROOT / "pyproject.toml").read_text())["tool"]["mypy"]["overrides"]
        for name in override["module"]
    }
    known = {
        "honeywharf",
        *sys.stdlib_module_names,
        *(name.replace("-", "_") for name in required),
        *may_miss,
    }
    seen, pending = set[Path](), compiled_files()
    while pending:
        path = pending.pop()
        seen.add(path)
        pending |= {file for name in imported_names(path) for file in loaded_files(name)} - seen
    used = {name.partition(".")[0] for path in seen for name in imported_names(path)}
    assert used - known == set()
    assert {"lark", "httptools"} <= used
    assert not [path for path in seen if path.parent.name in ("sidecar", "control", "programs")]


def test_without_a_compiler_the_build_reports_it_and_compiles_nothing(tmp_path: Path) -> None:
    only_sources = shutil.ignore_patterns("*.so", "__pycache__")
    shutil.copytree(ROOT / "honeywharf", tmp_path / "honeywharf", ignore=only_sources)
    for name in ("setup.py", "pyproject.toml", "README.md", "LICENSE"):
        shutil.copy(ROOT / name, tmp_path)
    result = subprocess.run(
        [sys.executable, "setup.py", "build_ext", "--inplace"],
        cwd=tmp_path,
        capture_output=True,
        text=True,
        timeout=300,
        check=False,
        env={**os.environ, "CC": "/bin/false"},
    )
    assert result.returncode == 0, result.stderr
    assert 'extension "honeywharf.policy.balancer" failed' in result.stdout + result.stderr
    assert not list(tmp_path.rglob("*.so"))
