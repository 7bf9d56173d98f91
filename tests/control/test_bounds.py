"""Everything that waits or is remembered has a bound, and what is over it is refused at once."""

from __future__ import annotations

from typing import Any

from honeywharf.control import membership, mesh_state, proposals, texts
from honeywharf.control.register import Result
from tests.control.town import Town


def test_changes_reads_and_fetches_that_wait_are_bounded() -> None:
    town = Town(31)
    town.run(1.0)
    replica = town.programs["10.0.0.1"].replica
    town.split(["10.0.0.1"], ["10.0.0.2", "10.0.0.3"])
    results: list[Result] = []
    values: list[Any] = []
    bodies: list[bytes | None] = []
    for number in range(proposals.MAX_WAITING + 3):
        replica.submit(
            mesh_state.replace(number, "x"),
            0.5,
            lambda result, answer: results.append(result),
            (f"digest{number}", b"text"),
        )
    for _ in range(proposals.MAX_READERS + 3):
        replica.read(0.5, values.append)
    for number in range(texts.MAX_FETCHES + 3):
        replica.text(f"missing{number}", bodies.append)
    assert results == []
    assert bodies == [None] * 3
    town.run(0.01)
    assert results == [Result.UNREACHABLE] * 3
    assert values == [None] * 3
    town.run(0.6)
    assert results == [Result.UNREACHABLE] * (proposals.MAX_WAITING + 3)
    assert values == [None] * (proposals.MAX_READERS + 3)
    town.run(8.0)
    assert bodies == [None] * (texts.MAX_FETCHES + 3)
    assert replica.texts.proposed == {}
    assert replica.texts.fetches == {}


def test_who_was_heard_is_bounded() -> None:
    town = Town(32)
    town.run(1.0)
    replica = town.programs["10.0.0.1"].replica
    for number in range(membership.MAX_HEARD + 20):
        replica.upkeep.hear((f"10.1.0.{number}:1", "x"))
    assert len(replica.upkeep.heard) == membership.MAX_HEARD
    assert replica.silent(membership.SILENT_S) == []


def test_one_that_was_frozen_blames_nobody() -> None:
    town = Town(33, 5)
    town.run(3.0)
    town.world.machines["10.0.0.4"].frozen = True
    town.run(3.0)
    assert [key[0] for key in town.programs["10.0.0.1"].replica.silent(membership.SILENT_S)] == [
        "10.0.0.4:7620"
    ]
    town.world.machines["10.0.0.4"].thaw()
    town.run(0.001)
    town.run(0.2)
    assert town.programs["10.0.0.4"].replica.silent(membership.SILENT_S) == []
    assert sum("stood still for 3." in line for line in town.world.machines["10.0.0.4"].lines) == 1
    town.run(2.0)
    assert town.programs["10.0.0.1"].replica.silent(membership.SILENT_S) == []
    assert len(town.programs["10.0.0.1"].replica.state.members) == 5
