"""KNOWN-RED.txt: tests that fail for a real fault not mended yet, a line each: `test | cause | issue`."""

from __future__ import annotations

from pathlib import Path
from typing import NamedTuple

ROOT = Path(__file__).parent.parent
LIST = ROOT / "KNOWN-RED.txt"
MAX_KNOWN = 3


class KnownFailure(NamedTuple):
    """One line of the list. `test`: its node id, as pytest prints it."""

    test: str
    cause: str
    issue: str


def parse(text: str) -> list[KnownFailure]:
    """The list's lines. ValueError for a line that lacks a part, or for too many lines."""
    known = []
    for line in text.splitlines():
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != len(KnownFailure._fields) or not all(parts):
            raise ValueError(f"found {line!r}, wanted `test | cause | issue`")
        known.append(KnownFailure(*parts))
    if len(known) > MAX_KNOWN:
        raise ValueError(f"found {len(known)} known failures, wanted at most {MAX_KNOWN}")
    return known


def read(path: Path = LIST) -> list[KnownFailure]:
    """What stands in the list; nothing where there is no such file."""
    return parse(path.read_text("utf-8")) if path.exists() else []
