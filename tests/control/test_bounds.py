"""All queues and caches of a control node are bounded, and requests above a bound are rejected at once."""

from __future__ import annotations

from functools import partial
from typing import Any

from honeywharf.control import contacts, mesh_state
from honeywharf.control.configuration_texts import MAX_FETCHES
from honeywharf.control.mesh_state import MemberId
from honeywharf.control.register import QuorumResult
from honeywharf.control.register_queues import (
    MAX_PENDING_CHANGES,
    MAX_PENDING_FIRST,
    MAX_PENDING_READS,
    ConfigurationText,
)
from tests.control.cluster import ControlCluster


def test_changes_reads_and_fetches_that_wait_are_bounded() -> None:
    cluster = ControlCluster(31)
    cluster.run(1.0)
    replica = cluster.programs["10.0.0.1"].replica
    cluster.split(["10.0.0.1"], ["10.0.0.2", "10.0.0.3"])
    results: list[QuorumResult] = []
    values: list[Any] = []
    bodies: list[bytes | None] = []
    for number in range(MAX_PENDING_CHANGES + 3):
        replica.submit(
            mesh_state.replace_configuration(number, "x"),
            0.5,
            lambda result, answer: results.append(result),
            ConfigurationText(f"digest{number}", b"text"),
        )
    for _ in range(MAX_PENDING_READS + 3):
        replica.read(0.5, values.append)
    for number in range(MAX_FETCHES + 3):
        replica.get_text(f"missing{number}", bodies.append)
    assert results == []
    assert bodies == [None] * 3
    cluster.run(0.01)
    assert results == [QuorumResult.UNREACHABLE] * 3
    assert values == [None] * 3
    cluster.run(0.6)
    assert results == [QuorumResult.UNREACHABLE] * (MAX_PENDING_CHANGES + 3)
    assert values == [None] * (MAX_PENDING_READS + 3)
    cluster.run(8.0)
    assert bodies == [None] * (MAX_FETCHES + 3)
    assert replica.texts.proposed == {}
    assert replica.texts.fetches == {}


def record(results: list[QuorumResult], done: list[str], result: QuorumResult, answer: Any) -> None:
    """Records the result of a change of the membership."""
    results.append(result)
    done.append("members")


def test_changes_of_the_membership_that_wait_are_bounded_and_go_first() -> None:
    """Guards against CONFIG: other changes filled the queue, or were written before an admission."""
    cluster = ControlCluster(34)
    cluster.run(1.0)
    replica = cluster.programs["10.0.0.1"].replica
    done: list[str] = []
    results: list[QuorumResult] = []
    for _ in range(MAX_PENDING_CHANGES):
        replica.submit(mesh_state.no_change, 0.9, lambda result, answer: done.append("change"))
    for _ in range(MAX_PENDING_FIRST + 2):
        replica.changes.submit_with_precedence(mesh_state.no_change, 0.9, partial(record, results, done))
    for _ in range(3):
        replica.submit(mesh_state.no_change, 0.9, lambda result, answer: done.append("refused"))
    cluster.run(0.9)
    assert results.count(QuorumResult.OK) == MAX_PENDING_FIRST
    assert results.count(QuorumResult.UNREACHABLE) == 2
    assert done.count("refused") == 3
    written = [name for name in done if name != "refused"][2:]
    assert written == ["members"] * MAX_PENDING_FIRST + ["change"] * MAX_PENDING_CHANGES


def test_remembered_contacts_are_bounded() -> None:
    cluster = ControlCluster(32)
    cluster.run(1.0)
    replica = cluster.programs["10.0.0.1"].replica
    for number in range(contacts.MAX_CONTACTS + 20):
        replica.membership.contacts.record(MemberId(f"10.1.0.{number}:1", "x"))
    assert len(replica.membership.contacts.last_contact_at) == contacts.MAX_CONTACTS
    assert replica.unreachable_members(contacts.UNREACHABLE_AFTER_S) == []


def test_a_stalled_member_treats_nobody_as_unreachable() -> None:
    cluster = ControlCluster(33, 5)
    cluster.run(3.0)
    cluster.network.machines["10.0.0.4"].frozen = True
    cluster.run(3.0)
    assert [
        member.address
        for member in cluster.programs["10.0.0.1"].replica.unreachable_members(contacts.UNREACHABLE_AFTER_S)
    ] == ["10.0.0.4:7620"]
    cluster.network.machines["10.0.0.4"].unfreeze()
    cluster.run(0.001)
    cluster.run(0.2)
    assert cluster.programs["10.0.0.4"].replica.unreachable_members(contacts.UNREACHABLE_AFTER_S) == []
    assert sum("was stalled for 3." in line for line in cluster.network.machines["10.0.0.4"].lines) == 1
    cluster.run(2.0)
    assert cluster.programs["10.0.0.1"].replica.unreachable_members(contacts.UNREACHABLE_AFTER_S) == []
    assert len(cluster.programs["10.0.0.1"].replica.state.members) == 5
