"""Everything that waits or is remembered has a bound, and what is over it is refused at once."""

from __future__ import annotations

from typing import Any

from honeywharf.control import mesh_state, replica as module
from tests.control.town import Town


def test_changes_reads_and_fetches_that_wait_are_bounded() -> None:
    town = Town(31)
    town.run(1.0)
    replica = town.programs["10.0.0.1"].replica
    town.split(["10.0.0.1"], ["10.0.0.2", "10.0.0.3"])
    results: list[str] = []
    values: list[Any] = []
    bodies: list[bytes | None] = []
    for number in range(module.MOST_WAITING + 3):
        replica.submit(
            mesh_state.replace(number, "x"),
            0.5,
            lambda result, answer: results.append(result),
            (f"digest{number}", b"text"),
        )
    for _ in range(module.MOST_READERS + 3):
        replica.read(0.5, values.append)
    for number in range(module.MOST_FETCHES + 3):
        replica.body(f"missing{number}", bodies.append)
    assert results == []
    assert bodies == [None] * 3
    town.run(0.01)
    assert results == ["unreachable"] * 3
    assert values == [None] * 3
    town.run(0.6)
    assert results == ["unreachable"] * (module.MOST_WAITING + 3)
    assert values == [None] * (module.MOST_READERS + 3)
    town.run(8.0)
    assert bodies == [None] * (module.MOST_FETCHES + 3)
    assert replica.bodies == {}
    assert replica.fetches == {}


def test_who_was_heard_is_bounded() -> None:
    town = Town(32)
    town.run(1.0)
    replica = town.programs["10.0.0.1"].replica
    for number in range(module.MOST_HEARD + 20):
        replica._hear((f"10.1.0.{number}:1", "x"))
    assert len(replica.heard) == module.MOST_HEARD
    assert replica.silent(module.SILENT) == []


def test_one_that_was_frozen_blames_nobody() -> None:
    town = Town(33, 5)
    town.run(3.0)
    town.world.machines["10.0.0.4"].frozen = True
    town.run(3.0)
    assert [key[0] for key in town.programs["10.0.0.1"].replica.silent(module.SILENT)] == ["10.0.0.4:7620"]
    town.world.machines["10.0.0.4"].thaw()
    town.run(0.001)
    town.run(0.2)
    assert town.programs["10.0.0.4"].replica.silent(module.SILENT) == []
    town.run(2.0)
    assert town.programs["10.0.0.1"].replica.silent(module.SILENT) == []
    assert len(town.programs["10.0.0.1"].replica.state.roster) == 5
