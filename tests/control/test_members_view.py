"""What operators are shown of the membership, step by step through a loss and its repair."""

from __future__ import annotations

import json
from typing import Any

from honeywharf.cli.mesh import members as lines
from tests.control.town import Town

A, B, C, NEW = "10.0.0.1", "10.0.0.2", "10.0.0.3", "10.0.0.14"


def shown(town: Town, ip: str) -> dict[str, Any]:
    """The view of one; it answers without a majority, too."""
    call = town.call(ip, "GET", "/api/members")
    town.run(0.05)
    found: dict[str, Any] = json.loads(call.answers[0][1])
    return found


def faults(found: dict[str, Any]) -> dict[str, str]:
    return {one["address"].rpartition(":")[0]: one["fault"].partition(":")[0] for one in found["members"]}


def test_losses_and_repair_as_operators_see_them() -> None:
    town = Town(51)
    town.run(1.0)
    town.replace(A, 5, "five")
    town.run(2.0)
    found = shown(town, B)
    assert faults(found) == {A: "", B: "", C: ""}
    assert (found["bearable-losses"], found["standbys"]) == (1, [])
    town.world.machines[A].off(power=True)
    town.run(1.5)
    found = shown(town, B)
    assert faults(found) == {A: "silent", B: "", C: ""}
    assert found["bearable-losses"] == 0
    town.add(NEW)
    town.run(4.0)
    found = shown(town, B)
    assert faults(found) == {NEW: "", B: "", C: ""}
    assert found["bearable-losses"] == 1
    town.start(A)
    town.run(1.0)
    found = shown(town, B)
    assert [one["address"] for one in found["standbys"]] == [f"{A}:7620"]
    town.world.machines[B].off(power=True)
    town.world.machines[NEW].off(power=True)
    town.run(1.5)
    found = shown(town, C)
    assert found["bearable-losses"] == 0
    assert list(lines(found))[-2:] == ["losses that can be borne now: 0", "zones that can be lost now: none"]


def test_who_has_not_accepted_the_newest_state_is_behind() -> None:
    town = Town(52)
    town.run(2.0)
    town.split([C], [A, B])
    town.replace(A, 5, "five")
    town.run(0.5)
    town.world.cuts.clear()
    town.run(0.4)
    found = shown(town, A)
    assert faults(found)[C] == "behind"
    assert found["bearable-losses"] == 0
    town.run(4.0)
    assert faults(shown(town, A)) == {A: "", B: "", C: ""}
