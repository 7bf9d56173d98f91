"""A control node without a majority neither confirms nor rejects nor serves anything: it answers 503."""

from __future__ import annotations

import pytest

from tests.control.cluster import Call, ControlCluster

A, B, C = "10.0.0.1", "10.0.0.2", "10.0.0.3"
AT_ONCE_S = 0.1
REPLACE, DESCRIBE = "/api/configuration/replace", "/api/configuration/describe"


def confirmed(cluster: ControlCluster, ip: str, version: int) -> None:
    """Sends an order that must be confirmed."""
    call = cluster.replace(ip, version, f"content {version}")
    cluster.run(0.9)
    assert call.status == 200


def every_call(cluster: ControlCluster, ip: str) -> list[Call]:
    """Makes each operator call that needs a majority, with all kinds of orders."""
    orders = [b"r5 content 5", b"r5 another", b"r4 content 4", b"r4 another", b"r9 newer"]
    return [
        *(cluster.call(ip, "POST", REPLACE, order) for order in orders),
        cluster.call(ip, "POST", "/api/evacuations/a/start"),
        cluster.call(ip, "POST", "/api/evacuations/a/complete"),
        cluster.describe(ip),
        cluster.call(ip, "GET", "/api/readiness"),
    ]


def describes_at_once(cluster: ControlCluster, ip: str) -> bool:
    """Returns whether a control node describes the configuration at once."""
    call = cluster.describe(ip)
    cluster.run(AT_ONCE_S)
    return call.status == 200


@pytest.mark.parametrize("way", ["both", "in", "out"])
def test_twenty_seconds_cut_off(way: str) -> None:
    cluster = ControlCluster(11)
    cluster.run(0.5)
    confirmed(cluster, A, 4)
    confirmed(cluster, B, 5)
    pairs = {"in": [(B, A), (C, A)], "out": [(A, B), (A, C)]}
    cluster.network.cuts = set(pairs["in"] + pairs["out"] if way == "both" else pairs[way])
    for second in range(20):
        calls = every_call(cluster, A)
        values: list[object] = []
        cluster.programs[A].replica.methods["word.read"](None, values.append, (B, 1))
        cluster.run(1.0)
        assert {call.status for call in calls} == {503}, f"after {second} s"
        assert values == [None]
        if second % 5 == 2:
            confirmed(cluster, B, 10 + second)
    late = every_call(cluster, A)
    cluster.run(AT_ONCE_S)
    assert {call.status for call in late} == {503}, "a node that knows of the partition answers at once"
    cluster.network.cuts.clear()
    cluster.run(1.5)
    assert describes_at_once(cluster, A)
    confirmed(cluster, A, 50)


def test_calls_in_flight_at_the_start_of_a_partition_are_never_answered_wrongly() -> None:
    for at in range(0, 60, 2):
        cluster = ControlCluster(at)
        cluster.run(1.0)
        confirmed(cluster, A, 5)
        calls = {content: cluster.replace(A, 6, content) for content in ("one", "another")}
        cluster.run(at / 1000)
        cluster.split([A], [B, C])
        cluster.run(3.0)
        other = cluster.replace(B, 6, "another")
        cluster.run(1.0)
        cluster.network.cuts.clear()
        cluster.run(3.0)
        read = cluster.describe(A)
        cluster.run(0.5)
        status, text, _ = read.answers[0]
        assert status == 200
        assert text in (b"r6 one", b"r6 another")
        statuses = {f"r6 {content}".encode(): call.status for content, call in calls.items()}
        assert statuses.pop(text) in (200, 503)
        assert set(statuses.values()) <= {409, 503}
        assert other.status == (200 if text == b"r6 another" else 409)


def test_a_read_that_a_freeze_delayed_past_its_deadline_is_not_answered() -> None:
    for at in range(0, 12):
        cluster = ControlCluster(at)
        cluster.run(1.0)
        confirmed(cluster, A, 5)
        read = cluster.describe(A)
        cluster.run(at / 1000)
        cluster.network.machines[A].frozen = True
        confirmed(cluster, B, 6)
        cluster.run(3.0)
        cluster.network.machines[A].unfreeze()
        cluster.run(0.5)
        assert read.answers[0][:2] in ((503, read.answers[0][1]), (200, b"r5 content 5"))
        assert read.status == 503 or at >= 4, "only a read that was answered before the freeze succeeds"


def test_the_time_of_day_decides_nothing() -> None:
    outcomes = []
    for step in (0.0, 7200.0, -7200.0):
        cluster = ControlCluster(12)
        cluster.run(1.0)
        confirmed(cluster, A, 5)
        for ip in (A, C):
            cluster.network.machines[ip].clock_step = step
        cluster.split([A], [B, C])
        cluster.run(2.0)
        alone, other = cluster.describe(A), cluster.replace(B, 6, "six")
        cluster.run(1.0)
        cluster.network.cuts.clear()
        cluster.network.machines[A].clock_step = -step
        cluster.run(1.5)
        read = cluster.describe(A)
        cluster.run(0.5)
        outcomes.append([alone.status, other.status, read.answers])
    assert outcomes == [[503, 200, [(200, b"r6 six", b"")]]] * 3
