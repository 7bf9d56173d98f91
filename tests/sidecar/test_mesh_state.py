"""What a sidecar takes over of the mesh state at its start, and what it leaves until a majority has told."""

from __future__ import annotations

import json
import zlib
from collections.abc import Callable
from typing import Any, cast

from honeywharf.sidecar.mesh_state import Word
from honeywharf.simulation.field import ROUTES
from tests.sidecar.stage import Clock

CORES = [("10.1.0.9", 7620), ("10.2.0.9", 7620), ("10.3.0.9", 7620)]
HOST, PREFIX = ROUTES[0][:2]


def configuration(version: int) -> bytes:
    """The text of a configuration with one route."""
    route = {
        "name": "r-1",
        "hostname": HOST,
        "path-prefix": PREFIX,
        "route-kind": "read_only",
        "timeout": "3000ms",
        "target-latency": "600ms",
        "priority": 1,
        "max-attempts": 2,
        "target-service": "tile-vault",
    }
    limits = {
        "max-header-bytes": 16384,
        "max-body-bytes": 67108864,
        "header-timeout": "3000ms",
        "idle-timeout": "15000ms",
    }
    whole = {"config-version": f"r{version}", "routes": [route], "services": [], "limits": limits}
    return json.dumps(whole).encode()


def state(revision: int, version: int, digest: str) -> dict[str, Any]:
    """A mesh state as control nodes tell it."""
    return {"rev": revision, "version": version, "digest": digest, "evac": {}}


class Nodes:
    """Control nodes that answer what they are scripted to; a call without an answer is over in time."""

    def __init__(self, clock: Clock, answers: dict[str, Any]) -> None:
        self.clock, self.answers = clock, answers
        self.asked: list[str] = []

    def call(self, to: object, method: str, args: object, within: float, told: Callable[[Any], None]) -> None:
        """One call."""
        self.asked.append(method)
        answer = self.answers.get(method)
        self.clock.after(within if answer is None else 0.01, lambda: told(answer))


def started(answers: dict[str, Any], seconds: float) -> tuple[Word, Nodes]:
    """A sidecar's state so long after its start."""
    clock = Clock()
    nodes = Nodes(clock, answers)
    word = Word(cast("Any", clock), cast("Any", nodes), lambda: CORES, lambda: None)
    clock.log = lambda line: None  # type: ignore[attr-defined]
    word.start()
    clock.move(seconds)
    return word, nodes


def test_the_first_version_that_there_can_be_is_taken_over() -> None:
    told = {"word.read": state(1, 0, "zero"), "word.body": zlib.compress(configuration(0))}
    word, _ = started(told, 2.0)
    assert word.ready
    assert word.version == 0
    assert word.find(HOST.encode(), PREFIX.encode()) is not None


def test_a_state_without_a_configuration_makes_nobody_ready() -> None:
    word, nodes = started({"word.read": state(7, -1, "")}, 5.0)
    assert not word.ready
    assert nodes.asked.count("word.read") > 10


def test_without_a_majority_nothing_is_taken_over_however_long_it_lasts() -> None:
    known = state(9, 4, "old")
    word, nodes = started({"word.known": known, "word.body": zlib.compress(configuration(4))}, 60.0)
    assert not word.ready
    assert set(nodes.asked) == {"word.read"}
