"""What has been played: one SQLite file, a row a cell, each written whole or not at all.

A run that is killed leaves what was done before; the next one goes on from there. The file is bounded: a
cell that does not fit is an error, and what is in it stays.
"""

from __future__ import annotations

import hashlib
import json
import sqlite3
from collections.abc import Iterator
from contextlib import closing
from pathlib import Path
from typing import Any

VERSION = 1
MAX_BYTES = 256 * 1024 * 1024
PAGE = 4096


def fingerprint() -> str:
    """Of all sources whose change may change a day's figures."""
    root, told = Path(__file__).parents[1], hashlib.blake2b(digest_size=6)
    for package in ("lab", "limits", "policy", "storms"):
        for path in sorted((root / package).glob("*.py")):
            told.update(path.name.encode() + path.read_bytes())
    return told.hexdigest()


WAIT_S = 30.0  # for another process that has the file


class ResultsError(ValueError):
    """A file that holds no results, or no more of them."""


class Results:
    """A file of results, created where there is none. `most_bytes` bounds it.

    `code`: the fingerprint of what plays; a file of another one's is refused, as its days would be taken for
    this one's. Empty for who only reads.
    """

    def __init__(self, path: Path, most_bytes: int = MAX_BYTES, code: str = "") -> None:
        self.path, self.most_bytes = path, most_bytes
        fresh = not path.exists()
        try:
            self.file = sqlite3.connect(path, timeout=WAIT_S)
            self.file.execute(f"pragma max_page_count = {max(8, most_bytes // PAGE)}")
            if fresh:
                self.file.execute("begin immediate")  # whole or not at all, for who opens it meanwhile
                self.file.execute(f"pragma user_version = {VERSION}")
                self.file.execute(
                    "create table cells (key text primary key, experiment text, labels text, seed integer,"
                    " result text) without rowid"
                )
                self.file.execute("create table code (fingerprint text)")
                self.file.execute("insert into code values (?)", (code,))
                self.file.commit()
            found = self.file.execute("pragma user_version").fetchone()[0]
            self.file.execute("select key from cells limit 1")
            (self.code,) = self.file.execute("select fingerprint from code").fetchone()
        except sqlite3.Error as fault:
            raise ResultsError(f"{path}: wanted a file of results, found {fault}") from None
        if found != VERSION:
            raise ResultsError(f"{path}: wanted results of version {VERSION}, found {found}")
        if code and code != self.code:
            raise ResultsError(
                f"{path}: wanted days that this code ({code}) has played, found {self.code}'s:"
                " name another file"
            )

    def add(
        self,
        key: str,
        experiment: str,
        labels: dict[str, str],
        seed: int,
        result: dict[str, Any],
    ) -> None:
        """Keep a cell; one that is there already is replaced."""
        row = (key, experiment, json.dumps(labels), seed, json.dumps(result, sort_keys=True))
        try:
            with self.file:
                self.file.execute("insert or replace into cells values (?, ?, ?, ?, ?)", row)
        except sqlite3.Error as fault:
            raise ResultsError(
                f"{self.path}: wanted room for a cell in {self.most_bytes} bytes, found {fault}"
            ) from None

    def keys(self) -> set[str]:
        """The cells that are done."""
        try:
            return {row[0] for row in self.file.execute("select key from cells")}
        except sqlite3.Error as fault:  # who writes has it for longer than is waited
            raise ResultsError(f"{self.path}: wanted its cells, found {fault}") from None

    def rows(self, experiment: str = "") -> Iterator[tuple[str, dict[str, str], int, dict[str, Any]]]:
        """Experiment, labels, seed and result of each cell, in a fixed order."""
        with closing(
            self.file.execute(
                "select experiment, labels, seed, result from cells order by experiment, labels, seed"
            )
        ) as rows:
            for name, labels, seed, result in rows:
                if not experiment or name == experiment:
                    yield name, json.loads(labels), seed, json.loads(result)

    def close(self) -> None:
        """Nothing more is kept."""
        self.file.close()
