"""Complete control nodes: operators' calls, lost, wiped and replaced machines, and the shutdown."""

from __future__ import annotations

import pytest

from tests.control.cluster import ControlCluster


def member_ips(cluster: ControlCluster, ip: str) -> list[str]:
    return [member.address.rpartition(":")[0] for member in cluster.programs[ip].replica.state.members]


def test_a_configuration_is_described_by_another_node_as_it_was_sent() -> None:
    cluster = ControlCluster(1)
    cluster.run(0.3)
    assert cluster.describe("10.0.0.2").status == 0
    before = cluster.describe("10.0.0.2")
    call = cluster.replace("10.0.0.1", 7, "x" * 400_000)
    cluster.run(0.25)
    assert before.status in (200, 404)
    assert call.status == 200
    reads = cluster.describe("10.0.0.3")
    cluster.run(0.1)
    assert reads.answers == [(200, b"r7 " + b"x" * 400_000, b"")]
    late, old = cluster.replace("10.0.0.2", 6), cluster.replace("10.0.0.3", 7, "other")
    bad = cluster.call("10.0.0.2", "POST", "/api/configuration/replace", b"?")
    cluster.run(0.3)
    assert (late.status, bad.status, old.status) == (200, 400, 409)
    again = cluster.describe("10.0.0.1")
    cluster.run(0.2)
    assert again.answers[0][1] == reads.answers[0][1]


def test_evacuations_begin_and_end_and_unknown_places_are_refused() -> None:
    cluster = ControlCluster(2)
    cluster.run(0.3)
    calls = [
        cluster.call("10.0.0.1", "POST", "/api/evacuations/a/start"),
        cluster.call("10.0.0.2", "POST", "/api/evacuations/a/start"),
        cluster.call("10.0.0.2", "POST", "/api/evacuations/x/start"),
        cluster.call("10.0.0.3", "GET", "/api/evacuations/a/start"),
        cluster.call("10.0.0.3", "GET", "/api"),
        cluster.call("10.0.0.3", "POST", "/api/instances/i/heartbeat", b'{"address":"10.0.9.9:80"}'),
        cluster.call("10.0.0.3", "POST", "/api/instances/i/heartbeat", b'{"address":"no"}'),
    ]
    cluster.run(0.8)
    assert [call.status for call in calls] == [200, 200, 404, 405, 404, 307, 404]
    assert calls[5].answers[0][2] == b"Location: http://10.0.9.9:8306/api/instances/i/heartbeat\r\n"
    assert cluster.known("10.0.0.3").evacuations == {"a": True}
    end = cluster.call("10.0.0.3", "POST", "/api/evacuations/a/complete")
    cluster.run(0.5)
    assert end.status == 200
    assert cluster.known("10.0.0.1").evacuations == {"a": False}


def test_without_a_majority_nothing_is_acknowledged_or_read_and_both_return_with_it() -> None:
    cluster = ControlCluster(3)
    cluster.run(0.5)
    cluster.split(["10.0.0.1"], ["10.0.0.2", "10.0.0.3"])
    alone, other = cluster.replace("10.0.0.1", 3, "a"), cluster.replace("10.0.0.2", 2, "b")
    read = cluster.describe("10.0.0.1")
    cluster.run(0.95)
    assert (alone.status, read.status, other.status) == (503, 503, 200)
    cluster.network.cuts.clear()
    cluster.run(2.0)
    reads = cluster.describe("10.0.0.1")
    cluster.run(0.5)
    assert reads.answers[0][1] in (b"r2 b", b"r3 a")


def test_a_wiped_disk_and_a_new_machine_take_the_places_of_the_lost_ones() -> None:
    cluster = ControlCluster(4)
    cluster.run(0.3)
    taken = cluster.replace("10.0.0.1", 5, "five")
    cluster.run(0.3)
    assert taken.status == 200
    cluster.network.machines["10.0.0.3"].off(power=True)
    cluster.network.machines["10.0.0.3"].disk.files.clear()
    cluster.run(0.2)
    cluster.start("10.0.0.3")
    cluster.run(2.0)
    assert cluster.programs["10.0.0.3"].replica.is_member()
    assert cluster.programs["10.0.0.3"].replica.state.disk != "first"
    cluster.network.machines["10.0.0.1"].off(power=True)
    del cluster.network.machines["10.0.0.1"]
    cluster.add("10.0.0.9")
    cluster.run(4.0)
    assert sorted(member_ips(cluster, "10.0.0.2")) == ["10.0.0.2", "10.0.0.3", "10.0.0.9"]
    cluster.network.machines["10.0.0.2"].off(power=True)  # Only machines that joined with empty disks remain.
    reads = cluster.describe("10.0.0.9")
    cluster.run(0.9)
    assert reads.answers == [(200, b"r5 five", b"")]


@pytest.mark.parametrize("seed", [5, 6])
def test_five_at_the_first_start_are_five_members(seed: int) -> None:
    cluster = ControlCluster(seed, 5)
    cluster.run(2.5)
    for ip in cluster.ips:
        assert sorted(member_ips(cluster, ip)) == cluster.ips
        assert cluster.known(ip).target_size == 5
    for ip in cluster.ips[:2]:
        cluster.network.machines[ip].off(power=True)
    taken = cluster.replace("10.0.0.5", 5, "five")
    cluster.run(1.0)
    assert taken.status == 200


def test_power_lost_everywhere_right_after_an_acknowledgement() -> None:
    cluster = ControlCluster(7)
    cluster.run(0.5)
    call = cluster.replace("10.0.0.2", 9, "nine")
    while not call.status:
        cluster.run(0.001)
    assert call.status == 200
    for ip in cluster.ips:
        cluster.network.machines[ip].off(power=True)
    cluster.run(0.5)
    for ip in cluster.ips:
        cluster.start(ip)
    cluster.run(0.5)
    reads = [cluster.describe(ip) for ip in cluster.ips]
    cluster.run(0.9)
    assert [read.answers for read in reads] == [[(200, b"r9 nine", b"")]] * 3


def test_sigterm_ends_within_a_second_and_answers_pending_calls() -> None:
    cluster = ControlCluster(8)
    cluster.run(0.5)
    call = cluster.replace("10.0.0.1", 2)
    cluster.run(0.002)
    cluster.programs["10.0.0.1"].stop()
    late = cluster.describe("10.0.0.1")
    cluster.run(0.9)
    assert (call.status, late.status) == (200, 503)
    assert cluster.network.machines["10.0.0.1"].exited == 0


def test_a_member_that_missed_what_was_accepted_accepts_it_by_itself() -> None:
    cluster = ControlCluster(9)
    cluster.run(0.5)
    cluster.split(["10.0.0.3"], ["10.0.0.1", "10.0.0.2"])
    call = cluster.replace("10.0.0.1", 4, "four")
    cluster.run(1.0)
    assert call.status == 200
    cluster.network.cuts.clear()
    cluster.run(4.0)
    value = cluster.programs["10.0.0.3"].replica.state.value
    assert value is not None
    assert value.version == 4
    assert cluster.programs["10.0.0.3"].replica.store.has_text(value.digest)
