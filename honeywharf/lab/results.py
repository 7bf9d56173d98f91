"""Stores the results of an experiment in one SQLite file, with a row for each cell.

A killed run leaves the cells that it had written, and the next run continues with the others. The file is
bounded: adding a cell that does not fit raises an error, and the stored cells stay.
"""

from __future__ import annotations

import hashlib
import json
import sqlite3
from collections.abc import Iterator
from contextlib import closing
from pathlib import Path
from typing import Any

SCHEMA_VERSION = 1
MAX_BYTES = 256 * 1024 * 1024
PAGE_BYTES = 4096


def fingerprint() -> str:
    """Returns a digest of all sources that affect the figures of a day."""
    root, digest = Path(__file__).parents[1], hashlib.blake2b(digest_size=6)
    for package in ("lab", "limits", "policy", "storms"):
        for path in sorted((root / package).glob("*.py")):
            digest.update(path.name.encode() + path.read_bytes())
    return digest.hexdigest()


LOCK_TIMEOUT_S = 30.0  # Another process may hold the file's lock.


class ResultsError(ValueError):
    """A file of results is invalid, full, or written by other code."""


class Results:
    """A file of results of up to `max_bytes`, which is created if it does not exist.

    `code`: the fingerprint of the code that writes, or an empty string to read only. A file of other code is
    refused, as its results differ.

    Raises:
        ResultsError: if the file cannot be opened, or holds no results of this version and code.
    """

    def __init__(self, path: Path, max_bytes: int = MAX_BYTES, code: str = "") -> None:
        self.path, self.max_bytes = path, max_bytes
        is_new = not path.exists()
        try:
            self.database = sqlite3.connect(path, timeout=LOCK_TIMEOUT_S)
            self.database.execute(f"pragma max_page_count = {max(8, max_bytes // PAGE_BYTES)}")
            if is_new:
                self.database.execute("begin immediate")  # Other processes see all tables or none.
                self.database.execute(f"pragma user_version = {SCHEMA_VERSION}")
                self.database.execute(
                    "create table cells (key text primary key, experiment text, labels text, seed integer,"
                    " result text) without rowid"
                )
                self.database.execute("create table code (fingerprint text)")
                self.database.execute("insert into code values (?)", (code,))
                self.database.commit()
            version = self.database.execute("pragma user_version").fetchone()[0]
            self.database.execute("select key from cells limit 1")
            (self.code,) = self.database.execute("select fingerprint from code").fetchone()
        except sqlite3.Error as fault:
            raise ResultsError(f"{path}: expected a file of results, got {fault}") from None
        if version != SCHEMA_VERSION:
            raise ResultsError(f"{path}: expected results of version {SCHEMA_VERSION}, got {version}")
        if code and code != self.code:
            raise ResultsError(
                f"{path}: expected results of this code ({code}), got those of {self.code}: name another file"
            )

    def add(
        self,
        key: str,
        experiment: str,
        labels: dict[str, str],
        seed: int,
        result: dict[str, Any],
    ) -> None:
        """Stores a cell, and replaces an earlier result of it. Raises ResultsError if the file is full."""
        row = (key, experiment, json.dumps(labels), seed, json.dumps(result, sort_keys=True))
        try:
            with self.database:
                self.database.execute("insert or replace into cells values (?, ?, ?, ?, ?)", row)
        except sqlite3.Error as fault:
            raise ResultsError(
                f"{self.path}: expected space for a cell within {self.max_bytes} bytes, got {fault}"
            ) from None

    def keys(self) -> set[str]:
        """Returns the keys of the stored cells."""
        try:
            return {row[0] for row in self.database.execute("select key from cells")}
        except sqlite3.Error as fault:  # A writer may hold the lock beyond the time-out.
            raise ResultsError(f"{self.path}: expected a table of cells, got {fault}") from None

    def rows(self, experiment: str = "") -> Iterator[tuple[str, dict[str, str], int, dict[str, Any]]]:
        """Yields the experiment, labels, seed and result of each cell, in a fixed order."""
        with closing(
            self.database.execute(
                "select experiment, labels, seed, result from cells order by experiment, labels, seed"
            )
        ) as rows:
            for name, labels, seed, result in rows:
                if not experiment or name == experiment:
                    yield name, json.loads(labels), seed, json.loads(result)

    def close(self) -> None:
        """Closes the file."""
        self.database.close()
