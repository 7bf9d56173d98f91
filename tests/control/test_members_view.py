"""The operators' view of the membership, step by step through a loss and its repair."""

from __future__ import annotations

import json
from typing import Any

from honeywharf.cli.mesh import format_members as lines
from tests.control.cluster import ControlCluster

A, B, C, NEW = "10.0.0.1", "10.0.0.2", "10.0.0.3", "10.0.0.14"


def members_view(cluster: ControlCluster, ip: str) -> dict[str, Any]:
    """Returns the view of a control node, which also answers without a majority."""
    call = cluster.call(ip, "GET", "/api/members")
    cluster.run(0.05)
    view: dict[str, Any] = json.loads(call.answers[0][1])
    return view


def faults(view: dict[str, Any]) -> dict[str, str]:
    return {
        member["address"].rpartition(":")[0]: member["fault"].partition(":")[0] for member in view["members"]
    }


def test_losses_and_repair_as_operators_see_them() -> None:
    cluster = ControlCluster(51)
    cluster.run(1.0)
    cluster.replace(A, 5, "five")
    cluster.run(2.0)
    view = members_view(cluster, B)
    assert faults(view) == {A: "", B: "", C: ""}
    assert (view["bearable-losses"], view["standbys"]) == (1, [])
    cluster.network.machines[A].off(power=True)
    cluster.run(1.5)
    view = members_view(cluster, B)
    assert faults(view) == {A: "silent", B: "", C: ""}
    assert view["bearable-losses"] == 0
    cluster.add(NEW)
    cluster.run(4.0)
    view = members_view(cluster, B)
    assert faults(view) == {NEW: "", B: "", C: ""}
    assert view["bearable-losses"] == 1
    cluster.start(A)
    cluster.run(1.0)
    view = members_view(cluster, B)
    assert [standby["address"] for standby in view["standbys"]] == [f"{A}:7620"]
    cluster.network.machines[B].off(power=True)
    cluster.network.machines[NEW].off(power=True)
    cluster.run(1.5)
    view = members_view(cluster, C)
    assert view["bearable-losses"] == 0
    assert list(lines(view))[-2:] == ["losses that can be borne now: 0", "zones that can be lost now: none"]


def test_who_has_not_accepted_the_newest_state_is_behind() -> None:
    cluster = ControlCluster(52)
    cluster.run(2.0)
    cluster.split([C], [A, B])
    cluster.replace(A, 5, "five")
    cluster.run(0.5)
    cluster.network.cuts.clear()
    cluster.run(0.4)
    view = members_view(cluster, A)
    assert faults(view)[C] == "behind"
    assert view["bearable-losses"] == 0
    cluster.run(4.0)
    assert faults(members_view(cluster, A)) == {A: "", B: "", C: ""}
