"""Reads KNOWN-RED.txt, which lists tests that fail for a known open fault as `test | cause | issue`."""

from __future__ import annotations

from pathlib import Path
from typing import NamedTuple

ROOT = Path(__file__).parent.parent
LIST = ROOT / "KNOWN-RED.txt"
MAX_KNOWN = 3


class KnownFailure(NamedTuple):
    """One line of the list. `test` is its node id, as pytest prints it."""

    test: str
    cause: str
    issue: str


def parse(text: str) -> list[KnownFailure]:
    """Parses the lines of the list. ValueError for a line that lacks a field, or for too many lines."""
    known = []
    for line in text.splitlines():
        cells = [cell.strip() for cell in line.split("|")]
        if len(cells) != len(KnownFailure._fields) or not all(cells):
            raise ValueError(f"line: expected `test | cause | issue`, got {line!r}")
        known.append(KnownFailure(*cells))
    if len(known) > MAX_KNOWN:
        raise ValueError(f"known failures: expected at most {MAX_KNOWN}, got {len(known)}")
    return known


def read(path: Path = LIST) -> list[KnownFailure]:
    """Returns the list, which is empty if the file does not exist."""
    return parse(path.read_text("utf-8")) if path.exists() else []


class Verdicts:
    """Compares the outcomes of one test run with the list."""

    def __init__(self, known: list[KnownFailure]) -> None:
        self.known = {failure.test: failure for failure in known}
        self.failed_known: set[str] = set()
        self.passed_known: set[str] = set()
        self.failed_others: set[str] = set()

    def record(self, test: str, when: str | None, outcome: str, message: str) -> None:
        """Records one phase of one test: `setup`, `call` or `teardown`. `message` is that of a failure."""
        asserted = message.startswith(("AssertionError", "assert "))
        if outcome == "failed" and test in self.known and when == "call" and asserted:
            self.failed_known.add(test)
        elif outcome == "failed":
            self.failed_others.add(test)
        elif outcome == "passed" and when == "call" and test in self.known:
            self.passed_known.add(test)

    def listed_pass(self) -> bool:
        """Returns whether a listed test passed."""
        return bool(self.passed_known)

    def only_known_failed(self) -> bool:
        """Returns whether tests failed and all of them are listed."""
        return bool(self.failed_known) and not self.failed_others

    def lines(self) -> list[str]:
        """Returns the lines to print at the end of a run: each listed test, and whether it passed."""
        output = []
        for failure in self.known.values():
            passed = "; it PASSED, take it off the list" if failure.test in self.passed_known else ""
            output.append(f"KNOWN-RED {failure.test}: {failure.cause} ({failure.issue}){passed}")
        return output
