"""Large texts of configurations are sent once to each member that lacks them, and read again if replaced."""

from __future__ import annotations

from random import Random
from typing import Any

from tests.control.cluster import ControlCluster

LARGE = Random(1).randbytes(100_000).hex()  # Random bytes do not compress below the bound.


def test_a_large_text_goes_to_each_member_once_however_often_it_is_tried() -> None:
    cluster = ControlCluster(61)
    cluster.run(1.0)
    sent: list[str] = []
    caller = cluster.programs["10.0.0.1"].caller
    call = caller.call

    def counted(to: Any, method: str, args: Any, *rest: Any) -> None:
        if method == "register.ask" and args[1] is not None:
            sent.append(to[0])
        call(to, method, args, *rest)

    class Counted:
        peers = caller.peers
        call = staticmethod(counted)

    cluster.programs["10.0.0.1"].replica.client.caller = Counted()  # type: ignore[assignment]
    first = cluster.replace("10.0.0.1", 5, LARGE)
    cluster.run(0.9)
    assert first.status == 200
    assert sorted(sent) == ["10.0.0.2", "10.0.0.3"]
    for _ in range(3):
        again = cluster.replace("10.0.0.1", 5, LARGE)
        cluster.run(0.9)
        assert again.status == 200
    assert sorted(sent) == ["10.0.0.2", "10.0.0.3"]


def test_a_slow_link_gives_a_large_text_its_time() -> None:
    cluster = ControlCluster(62)
    cluster.run(1.0)
    client = cluster.programs["10.0.0.1"].replica.client
    client.set_link_rate(1.0)
    slow = client._text_transfer_s(1_000_000)
    client.set_link_rate(100.0)
    assert slow == 100 * client._text_transfer_s(1_000_000)
    assert slow >= 2 * 1_000_000 / 125_000.0, "two copies at the full rate of the link"


def test_a_text_that_is_replaced_during_a_read_is_read_again() -> None:
    cluster = ControlCluster(63)
    cluster.run(1.0)
    assert cluster.replace("10.0.0.1", 5, "five") is not None
    cluster.run(0.9)
    replica = cluster.programs["10.0.0.2"].replica
    right = replica.get_text
    missed: list[str] = []

    def text(digest: str, done: Any) -> None:
        if not missed:
            missed.append(digest)
            done(None)
        else:
            right(digest, done)

    replica.get_text = text
    read = cluster.describe("10.0.0.2")
    cluster.run(0.5)
    assert missed
    assert read.answers == [(200, b"r5 five", b"")]
