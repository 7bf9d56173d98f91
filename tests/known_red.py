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


class Verdicts:
    """How the tests of one run ended, against the list."""

    def __init__(self, known: list[KnownFailure]) -> None:
        self.known = {failure.test: failure for failure in known}
        self.failed_known: set[str] = set()
        self.passed_known: set[str] = set()
        self.failed_others: set[str] = set()

    def note(self, test: str, when: str | None, outcome: str, message: str) -> None:
        """One phase of one test: `setup`, `call` or `teardown`; `message` is what it failed with."""
        asserted = message.startswith(("AssertionError", "assert "))
        if outcome == "failed" and test in self.known and when == "call" and asserted:
            self.failed_known.add(test)
        elif outcome == "failed":
            self.failed_others.add(test)
        elif outcome == "passed" and when == "call" and test in self.known:
            self.passed_known.add(test)

    def listed_pass(self) -> bool:
        """Whether a listed test passed."""
        return bool(self.passed_known)

    def only_known_failed(self) -> bool:
        """Whether tests failed, all of them listed."""
        return bool(self.failed_known) and not self.failed_others

    def lines(self) -> list[str]:
        """The list for the end of a run, and which of it passed."""
        told = []
        for failure in self.known.values():
            passed = "; it PASSED, take it off the list" if failure.test in self.passed_known else ""
            told.append(f"KNOWN-RED {failure.test}: {failure.cause} ({failure.issue}){passed}")
        return told
