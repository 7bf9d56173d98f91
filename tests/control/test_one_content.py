"""Each version has one content: a confirmed content stays confirmed, and no other one takes its version."""

from __future__ import annotations

from tests.control.cluster import Call, ControlCluster


def replaced(cluster: ControlCluster, ip: str, version: int, content: str) -> Call:
    """Sends a configuration, and waits for the answer."""
    call = cluster.replace(ip, version, content)
    cluster.run(0.9)
    return call


def test_of_two_contents_under_one_version_one_is_confirmed_and_read_back() -> None:
    for seed in range(40):
        cluster = ControlCluster(seed)
        cluster.run(0.5)
        one, other = cluster.replace("10.0.0.1", 7, "one"), cluster.replace("10.0.0.2", 7, "other")
        cluster.run(1.0)
        assert sorted((one.status, other.status)) == [200, 409]
        confirmed = b"r7 one" if one.status == 200 else b"r7 other"
        reads = [cluster.describe(ip) for ip in cluster.ips]
        cluster.run(0.5)
        assert [call.answers for call in reads] == [[(200, confirmed, b"")]] * 3


def test_two_contents_that_come_to_one_machine_at_once() -> None:
    cluster = ControlCluster(1)
    cluster.run(0.5)
    calls = [cluster.replace("10.0.0.1", 7, content) for content in ("one", "other", "one")]
    cluster.run(1.0)
    first, other, again = (call.status for call in calls)
    assert {first, other} == {200, 409}
    assert again == first


def test_another_content_under_a_confirmed_version_is_refused_by_each_machine_with_both_digests() -> None:
    cluster = ControlCluster(2)
    cluster.run(0.5)
    assert replaced(cluster, "10.0.0.1", 7, "one").status == 200
    assert replaced(cluster, "10.0.0.2", 9, "nine").status == 200
    for version, content in ((7, "one"), (9, "nine")):
        for ip in cluster.ips:
            assert replaced(cluster, ip, version, content).status == 200, "sent again"
            refused = replaced(cluster, ip, version, "another")
            assert refused.status == 409
            assert b'"sent"' in refused.answers[0][1]
            assert b'"confirmed"' in refused.answers[0][1]


def test_a_version_that_was_overtaken_before_it_came_has_one_content_too() -> None:
    cluster = ControlCluster(3)
    cluster.run(0.5)
    assert replaced(cluster, "10.0.0.1", 9, "nine").status == 200
    assert replaced(cluster, "10.0.0.2", 5, "late").status == 200
    assert replaced(cluster, "10.0.0.3", 5, "another").status == 409
    assert replaced(cluster, "10.0.0.3", 5, "late").status == 200
    assert cluster.known("10.0.0.1").version == 9


def test_an_order_whose_answer_was_lost_is_confirmed_by_any_machine_after_losses_and_changes() -> None:
    cluster = ControlCluster(4)
    cluster.run(0.5)
    assert replaced(cluster, "10.0.0.1", 3, "three").status == 200
    for version in range(4, 40):
        assert replaced(cluster, cluster.ips[version % 3], version, f"content {version}").status == 200
    for ip in cluster.ips:
        cluster.network.machines[ip].off(power=True)
        cluster.run(0.3)
        cluster.start(ip)
        cluster.run(1.0)
    cluster.network.machines["10.0.0.3"].off(power=True)
    cluster.network.machines["10.0.0.3"].disk.files.clear()
    cluster.run(0.2)
    cluster.start("10.0.0.3")
    cluster.run(3.0)
    for ip in cluster.ips:
        assert replaced(cluster, ip, 3, "three").status == 200
        assert replaced(cluster, ip, 3, "another").status == 409


def test_a_machine_without_a_majority_neither_confirms_nor_refuses() -> None:
    cluster = ControlCluster(5)
    cluster.run(0.5)
    assert replaced(cluster, "10.0.0.2", 7, "one").status == 200
    cluster.split(["10.0.0.1"], ["10.0.0.2", "10.0.0.3"])
    cluster.run(9.0)
    calls = [
        replaced(cluster, "10.0.0.1", 7, "one"),
        replaced(cluster, "10.0.0.1", 7, "another"),
        replaced(cluster, "10.0.0.1", 6, "older"),
        replaced(cluster, "10.0.0.1", 8, "newer"),
        cluster.call("10.0.0.1", "POST", "/api/evacuations/a/start"),
        cluster.describe("10.0.0.1"),
        cluster.call("10.0.0.1", "GET", "/api/readiness"),
    ]
    cluster.run(0.9)
    assert [call.status for call in calls] == [503] * 7
