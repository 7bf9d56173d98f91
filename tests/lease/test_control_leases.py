"""Leases in complete control nodes and sidecars: removal of members, and quarantine."""

from __future__ import annotations

import json
from typing import Any, cast

from honeywharf.drift import states
from honeywharf.lease.grantor import MEMBER_REMOVAL, QUARANTINE, TERMS
from honeywharf.simulation.slips import Trial
from tests.control.cluster import ControlCluster


def test_members_are_removed_under_a_lease_that_is_released() -> None:
    cluster = ControlCluster(4)
    cluster.run(1.5)
    cluster.network.machines["10.0.0.1"].off(power=True)
    del cluster.network.machines["10.0.0.1"]
    cluster.add("10.0.0.9")
    cluster.run(4.0)
    leases = [cluster.programs[ip].leases for ip in ("10.0.0.2", "10.0.0.3")]
    assert cluster.programs["10.0.0.9"].replica.is_member()
    assert sum(each.outcomes["granted"] for each in leases) >= 1
    assert [each.holds() for each in leases] == [False, False]
    assert [each.grantor.view(cluster.network.time) for each in leases] == [[], []]


def test_without_a_majority_nobody_is_removed_and_nobody_waits_for_it() -> None:
    cluster = ControlCluster(5)
    cluster.run(1.5)
    for ip in ("10.0.0.1", "10.0.0.2"):
        cluster.network.machines[ip].off(power=True)
    cluster.add("10.0.0.9")
    cluster.run(4.0)
    leases = cluster.programs["10.0.0.3"].leases
    assert leases.outcomes["refused"] >= 1
    assert leases.outcomes["granted"] == 0
    assert not leases.holds()
    assert not cluster.programs["10.0.0.9"].replica.is_member()
    cluster.network.machines["10.0.0.1"].on = False
    cluster.start("10.0.0.1")
    cluster.run(2.0 + TERMS[MEMBER_REMOVAL])
    taken = cluster.replace("10.0.0.3", 5, "five")
    cluster.run(1.0)
    assert taken.status == 200


def test_an_operator_reads_the_leases_of_a_control_node() -> None:
    cluster = ControlCluster(6)
    cluster.run(0.2)
    program = cluster.programs["10.0.0.1"]
    view = program.leases.view()
    assert view["waits"] == ["upkeep", "aside"]
    assert view["upkeep"] == {"granted": 0, "refused": 0, "lost": 0, "held": False}
    assert json.loads(json.dumps(view)) == view
    cluster.run(TERMS[QUARANTINE])
    assert program.leases.view()["waits"] == []


def test_invalid_calls_get_no_vote() -> None:
    cluster = ControlCluster(7)
    cluster.run(1.5)
    program = cluster.programs["10.0.0.1"]
    for args in (
        [1, "", 0, "a", 5, 1, "first"],
        ["upkeep", "", "0", "a", 5, 1, "first"],
        ["upkeep", "", 0, "a" * 201, 5, 1, "first"],
        ["upkeep", "", 0, "a", True, 1, "first"],
    ):
        try:
            program.replica.methods["lease.ask"](args, lambda answer: None, ("", 0))
        except ValueError:
            continue
        raise AssertionError(f"{args} was accepted")
    answers: list[Any] = []
    program.replica.methods["lease.ask"](
        ["upkeep", "", 0, "a", 5, 1, "another disk"], answers.append, ("", 0)
    )
    assert answers == [["roster", 0]]


def quarantined(trial: Trial) -> list[str]:
    """Returns the sidecars that are in quarantine under a lease now."""
    drift_monitors = [cast(Any, side.proxy.program).drift_monitor for side in trial.deployment.sidecar_nodes]
    return [
        one.sidecar.settings.ip
        for one in drift_monitors
        if one.quarantine_lease is not None and one.quarantine_lease.holds()
    ]


def play(trial: Trial, until: float) -> int:
    """Lets three of six sidecars drift permanently at once; returns the maximum in quarantine at once."""
    trial.deployment.until = until
    trial.world.run(9.0)
    for side in trial.deployment.sidecar_nodes[:3]:
        drift_monitor = cast(Any, side.proxy.program).drift_monitor
        drift_monitor.rebuild = lambda: False
        drift_monitor.report_drift("scan", "a build that cannot heal")
    most = 0
    while trial.world.now < until:
        trial.world.run(trial.world.now + 0.01)
        most = max(most, len(quarantined(trial)))
    return most


def test_three_that_drift_at_once_are_not_all_in_quarantine() -> None:
    trial = Trial(11, "none", 0)
    most = play(trial, 13.0)
    assert 1 <= most <= states.total_quarantine_limit(len(trial.deployment.sidecar_nodes)) == 2


def test_without_a_majority_nobody_is_in_quarantine_for_longer_than_its_request() -> None:
    trial = Trial(12, "none", 0)
    trial.world.run(8.5)
    for core in trial.deployment.cores[:2]:
        core.is_restarted = False
        core.machine.power_off()
    assert play(trial, 13.0) == 0
    drift_monitors = [
        cast(Any, side.proxy.program).drift_monitor for side in trial.deployment.sidecar_nodes[:3]
    ]
    assert sum(one.lease_denials for one in drift_monitors) >= 1
    assert [one.quarantine_active for one in drift_monitors] == [False] * 3
    assert not any(one.is_quarantined for one in drift_monitors)


def test_an_expired_lease_ends_the_quarantine() -> None:
    trial = Trial(13, "none", 0)
    trial.deployment.until = 20.0
    trial.world.run(9.0)
    side = trial.deployment.sidecar_nodes[0]
    drift_monitor = cast(Any, side.proxy.program).drift_monitor
    drift_monitor.rebuild = lambda: False
    drift_monitor.report_drift("scan", "a build that cannot heal")
    trial.world.run(9.2)
    assert drift_monitor.quarantine_active
    assert drift_monitor.quarantine_lease.holds()
    for core in trial.deployment.cores:
        core.freeze()
    trial.world.run(9.2 + TERMS[QUARANTINE] + 0.4)
    assert not drift_monitor.quarantine_active
    assert not drift_monitor.quarantine_lease.holds()
    assert drift_monitor.state.is_suspect, "the drift is still reported"


def vote_requested(cluster: ControlCluster, ip: str) -> str:
    """Returns a control node's answer to a request for the lease to remove members, under its own epoch."""
    state = cluster.programs[ip].replica.state
    answers: list[Any] = []
    request = [MEMBER_REMOVAL, "", 0, "holder", 1 + state.epoch, state.epoch, state.disk]
    cluster.programs[ip].replica.methods["lease.ask"](request, answers.append, ("", 0))
    return str(answers[0][0])


def replaced_disk(seed: int, was_asked: bool) -> ControlCluster:
    """Returns a cluster right after a member with a new disk has replaced the one with the lost disk.

    With `was_asked` the grantors have granted the lease before, under the old membership.
    """
    cluster = ControlCluster(seed)
    cluster.run(1.5)
    if was_asked:
        assert [vote_requested(cluster, ip) for ip in cluster.ips] == ["granted"] * 3
        cluster.run(TERMS[MEMBER_REMOVAL])
    cluster.lose("10.0.0.3")
    cluster.start("10.0.0.3")
    while cluster.programs["10.0.0.1"].replica.state.epoch == 1:
        cluster.run(0.01)
    return cluster


def test_the_term_after_a_change_of_the_membership_begins_with_the_change() -> None:
    """Guards against CONFIG: each replacement waited a term that its own first request began."""
    cluster = replaced_disk(8, was_asked=True)
    cluster.run(TERMS[MEMBER_REMOVAL] + 0.1)
    assert [vote_requested(cluster, ip) for ip in cluster.ips[:2]] == ["granted"] * 2


def test_a_grantor_that_was_never_asked_waits_a_term_after_a_change_of_the_membership() -> None:
    """Guards against two holders: votes of the old membership count for a term, whoever gave them."""
    cluster = replaced_disk(9, was_asked=False)
    assert vote_requested(cluster, "10.0.0.1") == "waits"
