"""What a control node remembers: bounded, whole or empty, and a register that goes back is noticed."""

from __future__ import annotations

import json
import zlib
from random import Random
from typing import Any, cast

import pytest

from honeywharf.control.mesh_state import MeshState
from honeywharf.drift import history
from honeywharf.drift.history import History
from honeywharf.mesh_config.configuration import digest
from honeywharf.simulation.slips import Trial
from honeywharf.transport.host import Host
from tests.mesh_config.examples import drawn, text


class Shelf:
    """The part of a host that a history needs."""

    def __init__(self) -> None:
        self.files: dict[str, bytes] = {}
        self.due: list[Any] = []
        self.lines: list[str] = []

    def read(self, name: str) -> bytes | None:
        return self.files.get(name)

    def write(self, name: str, data: bytes) -> None:
        self.files[name] = data

    def rename(self, name: str, to: str) -> None:
        self.files[to] = self.files.pop(name)

    def remove(self, name: str) -> None:
        self.files.pop(name, None)

    def wall(self) -> float:
        return 1.7e9

    def after(self, seconds: float, call: Any) -> None:
        self.due.append(call)

    def log(self, line: str) -> None:
        self.lines.append(line)


def made(shelf: Shelf) -> History:
    kept = History(cast(Host, shelf))
    kept.load()
    return kept


def word(revision: int, whole: bytes) -> MeshState:
    return MeshState(revision, revision, digest(whole), {"a": True, "b": False}, (), 1, 0)


def test_it_comes_back_whole_or_empty() -> None:
    shelf, whole = Shelf(), text(drawn(1, 5))
    kept = made(shelf)
    kept.word(word(3, whole), zlib.compress(whole))
    kept.slip("10.1.0.8", "scan", "x" * 9999, 3)
    kept.register("first", (4, "n", 1), (3, "n", 1))
    assert len(shelf.due) == 1
    shelf.due.pop()()
    again = made(shelf)
    assert (again.words, again.own) == (kept.words, kept.own)
    assert len(again.slips[0][3]) == history.MAX_CAUSE
    data = shelf.files[history.FILE]
    for at in Random(1).sample(range(4, len(data)), 20):
        shelf.files[history.FILE] = data[:at] + bytes([data[at] ^ 1]) + data[at + 1 :]
        assert made(shelf).words == []


def test_every_table_is_bounded() -> None:
    shelf = Shelf()
    kept = made(shelf)
    for revision in range(1, 400):
        whole = json.dumps({**drawn(revision, 2), "config-version": f"r{revision}"}).encode()
        kept.word(word(revision, whole), zlib.compress(whole))
        kept.slip("n", "scan", "what", revision)
        shelf.due.pop()()
    assert len(kept.words) == history.MAX_WORDS
    assert len(kept.slips) == history.MAX_SLIPS
    assert len([name for name in shelf.files if name.startswith(history.TEXT)]) == history.MAX_TEXTS
    assert len(shelf.files[history.FILE]) < 64 << 10


def test_two_versions_are_compared_as_long_as_their_texts_are_kept() -> None:
    shelf = Shelf()
    kept, whole = made(shelf), drawn(2, 6)
    one = text(whole)
    whole["routes"][0]["timeout"] = "777ms"
    two = text(whole)
    kept.word(word(7, one), zlib.compress(one))
    kept.word(word(12, two), zlib.compress(two))
    shelf.due.pop()()
    lines = kept.between(7, 12, lambda name: None)
    assert len(lines) == 1
    assert "777" in lines[0] or "0.777" in lines[0]
    with pytest.raises(LookupError, match="r8"):
        kept.between(7, 8, lambda name: None)


def test_a_register_older_than_the_history_has_gone_back() -> None:
    kept = made(Shelf())
    kept.register("first", (4, "n", 1), (3, "n", 1))
    assert not kept.went_back("first", (4, "n", 1), (3, "n", 1))
    assert not kept.went_back("other", (0, "", 0), (0, "", 0))  # a disk that was lost is another one
    assert kept.went_back("first", (4, "n", 1), (2, "n", 1))
    assert kept.went_back("first", (3, "n", 9), (3, "n", 1))


def test_a_control_node_whose_disk_gives_back_an_older_word_has_no_vote_until_admitted_anew() -> None:
    trial = Trial(3, "disk", 2).play()
    assert [slip.noticed_by for slip in trial.injected_drifts] == ["register", "register"]
    assert trial.wrong == []
    assert trial.invariant_checker.violations == []
    replicas = [cast(Any, core.program).replica for core in trial.deployment.cores]
    assert len({tuple(map(tuple, replica.state.members)) for replica in replicas}) == 1
    assert all(replica.is_member() for replica in replicas)
