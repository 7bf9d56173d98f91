"""The deploy files name the system packages that a clean build of each needs."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any

import pytest

DEPLOY = Path(__file__).parent.parent / "deploy"
#: The Debian package that each call in a build needs.
NEEDS = {
    "python3": "python3",
    "python3 -m pip": "python3-pip",
    "python3 -m venv": "python3-venv",
    "requirements-build.txt": "python3-dev",  # mypyc compiles against Python's headers
}
DEPLOY_FILES = ("system.toml", "balancer.toml")


def read(name: str) -> dict[str, Any]:
    """Returns the contents of a deploy file."""
    return tomllib.loads((DEPLOY / name).read_text("utf-8"))


def build_text(name: str) -> str:
    """Returns the command of the build, or the text of the script that it runs."""
    command: str = read(name)["build"]
    script = command.removeprefix("sh ")
    return (DEPLOY.parent / script).read_text("utf-8") if script != command else command


@pytest.mark.parametrize("name", DEPLOY_FILES)
def test_packages_are_listed_once_in_order(name: str) -> None:
    packages = read(name)["packages"]
    assert packages == sorted(set(packages))
    assert "ca-certificates" in packages  # pip reaches its index over HTTPS


@pytest.mark.parametrize("name", DEPLOY_FILES)
def test_what_the_build_calls_is_in_its_packages(name: str) -> None:
    text, packages = build_text(name), read(name)["packages"]
    needed = {package for call, package in NEEDS.items() if call in text}
    assert "python3" in needed  # otherwise the build's text was not found
    assert needed <= set(packages)


def test_a_build_that_compiles_has_a_compiler_and_headers() -> None:
    assert {"gcc", "libc6-dev", "python3-dev"} <= set(read("balancer.toml")["packages"])
    assert "requirements-build.txt" not in build_text("system.toml")
