"""What operators are shown of the membership, step by step through a loss and its repair."""

from __future__ import annotations

import json
from typing import Any

from honeywharf.cli.mesh import members as lines
from tests.control.cluster import ControlCluster

A, B, C, NEW = "10.0.0.1", "10.0.0.2", "10.0.0.3", "10.0.0.14"


def shown(cluster: ControlCluster, ip: str) -> dict[str, Any]:
    """The view of one; it answers without a majority, too."""
    call = cluster.call(ip, "GET", "/api/members")
    cluster.run(0.05)
    found: dict[str, Any] = json.loads(call.answers[0][1])
    return found


def faults(found: dict[str, Any]) -> dict[str, str]:
    return {one["address"].rpartition(":")[0]: one["fault"].partition(":")[0] for one in found["members"]}


def test_losses_and_repair_as_operators_see_them() -> None:
    cluster = ControlCluster(51)
    cluster.run(1.0)
    cluster.replace(A, 5, "five")
    cluster.run(2.0)
    found = shown(cluster, B)
    assert faults(found) == {A: "", B: "", C: ""}
    assert (found["bearable-losses"], found["standbys"]) == (1, [])
    cluster.network.machines[A].off(power=True)
    cluster.run(1.5)
    found = shown(cluster, B)
    assert faults(found) == {A: "silent", B: "", C: ""}
    assert found["bearable-losses"] == 0
    cluster.add(NEW)
    cluster.run(4.0)
    found = shown(cluster, B)
    assert faults(found) == {NEW: "", B: "", C: ""}
    assert found["bearable-losses"] == 1
    cluster.start(A)
    cluster.run(1.0)
    found = shown(cluster, B)
    assert [one["address"] for one in found["standbys"]] == [f"{A}:7620"]
    cluster.network.machines[B].off(power=True)
    cluster.network.machines[NEW].off(power=True)
    cluster.run(1.5)
    found = shown(cluster, C)
    assert found["bearable-losses"] == 0
    assert list(lines(found))[-2:] == ["losses that can be borne now: 0", "zones that can be lost now: none"]


def test_who_has_not_accepted_the_newest_state_is_behind() -> None:
    cluster = ControlCluster(52)
    cluster.run(2.0)
    cluster.split([C], [A, B])
    cluster.replace(A, 5, "five")
    cluster.run(0.5)
    cluster.network.cuts.clear()
    cluster.run(0.4)
    found = shown(cluster, A)
    assert faults(found)[C] == "behind"
    assert found["bearable-losses"] == 0
    cluster.run(4.0)
    assert faults(shown(cluster, A)) == {A: "", B: "", C: ""}
