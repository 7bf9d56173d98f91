"""What a sidecar takes for the mesh state at its start: a configuration that a majority has told."""

from __future__ import annotations

import json
import zlib
from typing import Any, cast

from honeywharf.sidecar.mesh_state import Word
from honeywharf.simulation.deployment import ROUTES
from tests.control.virtual_network import VirtualNetwork

CORES = [("10.0.0.1", 7620), ("10.0.0.2", 7620)]
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


class Asked:
    """A caller whose calls are kept, and answered by `answers` of each method."""

    def __init__(self, answers: dict[str, Any]) -> None:
        self.answers, self.methods = answers, list[str]()
        self.machine = VirtualNetwork(1).machine("10.0.0.9")

    def call(self, to: object, method: str, args: object, within: float, done: Any) -> None:
        self.methods.append(method)
        self.machine.after(within, lambda: done(self.answers.get(method)))


def started(answers: dict[str, Any], seconds: float) -> tuple[Word, Asked]:
    """A sidecar's state so long after its start."""
    asked = Asked(answers)
    asked.machine.start(lambda machine: None)
    word = Word(cast(Any, asked.machine), cast(Any, asked), lambda: CORES, lambda: None)
    word.start()
    asked.machine.network.run(asked.machine.network.time + seconds)
    return word, asked


def test_the_first_version_that_there_can_be_is_taken_over() -> None:
    told = {"word.read": state(1, 0, "zero"), "word.body": zlib.compress(configuration(0))}
    word, _ = started(told, 3.0)
    assert word.ready
    assert word.version == 0
    assert word.find(HOST.encode(), PREFIX.encode()) is not None


def test_a_state_without_a_configuration_makes_nobody_ready() -> None:
    word, asked = started({"word.read": state(7, -1, "")}, 20.0)
    assert not word.ready
    assert asked.methods.count("word.read") > 10


def test_without_a_majority_it_takes_nothing_however_long_it_waits() -> None:
    old = {"rev": 3, "version": 5, "digest": "five", "evac": {}}
    asked = Asked({"word.known": old, "word.body": b"text"})
    asked.machine.start(lambda machine: None)
    state = Word(cast(Any, asked.machine), cast(Any, asked), lambda: CORES, lambda: None)
    state.start()
    for _ in range(60):
        state.heard(4, CORES[0])
        asked.machine.network.run(asked.machine.network.time + 1.0)
    assert not state.ready
    assert len(asked.methods) > 50
    assert set(asked.methods) == {"word.read"}
