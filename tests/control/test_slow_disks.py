"""Control nodes whose disks take long to sync: operators repeat what was not answered in time."""

from __future__ import annotations

from tests.control.cluster import ControlCluster

SYNC_S = 0.2  # A register that is saved waits for two syncs.
OPERATOR_TIMEOUT_S = 1.0
RETRY_INTERVAL_S = 0.1
MAX_ATTEMPTS = 50


def acknowledged_attempt(cluster: ControlCluster, version: int) -> int:
    """Repeats a configuration at each control node in turn; returns the number of the answered attempt."""
    for attempt in range(1, MAX_ATTEMPTS + 1):
        call = cluster.replace(cluster.ips[attempt % len(cluster.ips)], version)
        cluster.run(OPERATOR_TIMEOUT_S)
        if call.status == 200:
            return attempt
        cluster.run(RETRY_INTERVAL_S)
    raise AssertionError(f"r{version}: not acknowledged in {MAX_ATTEMPTS} attempts")


def test_a_change_in_force_is_acknowledged_although_each_sync_takes_long() -> None:
    """Guards against an operator that is never answered, because each repetition costs a write."""
    for seed in range(10):
        cluster = ControlCluster(seed)
        cluster.run(1.0)
        for ip in cluster.ips:
            cluster.network.machines[ip].sync_s = SYNC_S
        for version in (1, 2, 3):
            acknowledged_attempt(cluster, version)


def test_a_repeated_change_in_force_writes_nothing_to_any_disk() -> None:
    """Guards against an operator that is never answered, because each repetition costs a write."""
    cluster = ControlCluster(1)
    cluster.run(0.5)
    first = cluster.replace("10.0.0.1", 7)
    cluster.run(2.0)
    assert first.status == 200
    disks = [cluster.network.machines[ip].disk for ip in cluster.ips]
    counts = [disk.count for disk in disks]
    repeated = [cluster.replace(ip, 7) for ip in cluster.ips]
    cluster.run(0.2)
    assert [call.answers for call in repeated] == [first.answers] * 3
    assert [disk.count for disk in disks] == counts


def test_a_repeated_change_that_a_newer_one_has_replaced_is_confirmed_by_a_node_that_missed_it() -> None:
    cluster = ControlCluster(2)
    cluster.run(0.5)
    for version, ip in ((7, "10.0.0.1"), (9, "10.0.0.2")):
        if version == 9:
            cluster.split(["10.0.0.3"], ["10.0.0.1", "10.0.0.2"])
        assert cluster.replace(ip, version).status == 0
        cluster.run(0.3)
    assert cluster.known("10.0.0.3").version == 7
    cluster.split()
    repeated = cluster.replace("10.0.0.3", 7)
    cluster.run(0.9)
    assert repeated.status == 200
    assert cluster.known("10.0.0.3").version == 9


def test_a_repeated_change_in_force_is_not_confirmed_without_a_majority() -> None:
    cluster = ControlCluster(3)
    cluster.run(0.5)
    assert cluster.replace("10.0.0.1", 7).status == 0
    cluster.run(1.0)
    cluster.split(["10.0.0.1"], ["10.0.0.2", "10.0.0.3"])
    repeated = cluster.replace("10.0.0.1", 7)
    cluster.run(0.9)
    assert repeated.status == 503
