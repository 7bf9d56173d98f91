"""Changes of the membership go before other changes, and hold them up for a bounded time only."""

from __future__ import annotations

from typing import Any

from honeywharf import rpc_methods
from honeywharf.control import mesh_state
from honeywharf.control.mesh_state import MemberId
from honeywharf.control.precedence import CLAIM_S, MAX_HOLD_S, MIN_PAUSE_S
from honeywharf.control.register import Phase, QuorumResult, QuorumWrite
from honeywharf.control.register_queues import ConfigurationText
from tests.control.cluster import ControlCluster

A, B, C = (f"10.0.0.{number}" for number in (1, 2, 3))


def ignore(result: QuorumResult, answer: Any) -> None:
    """Takes the result of a change."""


def claim(cluster: ControlCluster, ip: str, claimer: str, args: Any) -> None:
    """Lets a node receive a claim from another machine."""
    method = cluster.programs[ip].replica.methods[rpc_methods.CLAIM_PRECEDENCE]
    cluster.network.machines[ip].after(0.0, lambda: method(args, lambda answer: None, (claimer, 40000)))
    cluster.run(0.001)


def started(seed: int) -> ControlCluster:
    """Returns control nodes that are ready."""
    cluster = ControlCluster(seed)
    cluster.run(1.5)
    return cluster


def time_to_change(cluster: ControlCluster, ip: str) -> float:
    """Returns the seconds until a node has committed a change."""
    results: list[QuorumResult] = []
    began_at = cluster.network.time
    cluster.programs[ip].replica.submit(
        mesh_state.no_change, 3.9, lambda result, answer: results.append(result)
    )
    while not results:
        cluster.run(0.005)
    assert results == [QuorumResult.OK]
    return cluster.network.time - began_at


def test_a_claim_holds_changes_up_until_it_is_released_or_expires() -> None:
    cluster = started(1)
    claim(cluster, A, B, [1, CLAIM_S])
    assert CLAIM_S <= time_to_change(cluster, A) < MAX_HOLD_S
    cluster.run(MIN_PAUSE_S)
    claim(cluster, A, B, [1, CLAIM_S])
    claim(cluster, A, B, [1, 0.0])
    assert time_to_change(cluster, A) < CLAIM_S / 2


def test_claims_of_other_machines_and_of_other_memberships_hold_nothing_up() -> None:
    cluster = started(2)
    for claimer, epoch in (("10.0.0.99", 1), (B, 0), (B, 2)):
        claim(cluster, A, claimer, [epoch, CLAIM_S])
        assert not cluster.programs[A].replica.precedence.is_held()
    claim(cluster, A, B, [1, 1e9])
    precedence = cluster.programs[A].replica.precedence
    assert precedence.held_until <= cluster.network.time + CLAIM_S
    assert len(precedence.claims) <= len(cluster.ips)


def test_claims_without_a_pause_do_not_hold_changes_up_for_ever() -> None:
    cluster = started(3)

    def claim_again() -> None:
        claim_method([1, CLAIM_S], lambda answer: None, (B, 40000))
        cluster.network.machines[A].after(0.05, claim_again)

    claim_method = cluster.programs[A].replica.methods[rpc_methods.CLAIM_PRECEDENCE]
    claim_again()
    assert max(time_to_change(cluster, A) for _ in range(5)) < MAX_HOLD_S + MIN_PAUSE_S


def test_a_change_of_the_membership_is_not_held_up_by_a_claim() -> None:
    cluster = started(4)
    claim(cluster, A, B, [1, CLAIM_S])
    results: list[QuorumResult] = []
    cluster.programs[A].replica.changes.submit_with_precedence(
        mesh_state.no_change, 1.0, lambda result, answer: results.append(result)
    )
    cluster.run(0.2)
    assert results == [QuorumResult.OK]


def reject_current_write(cluster: ControlCluster, ip: str, held_s: float) -> QuorumWrite:
    """Lets both other members reject a node's write, which makes its next attempt `held_s` later only."""
    write = cluster.programs[ip].replica.changes.current
    assert write is not None
    now = cluster.network.time
    write.held_until = max(write.held_until, now + held_s)
    for other in (B, C):
        write._rejected(now, MemberId(f"{other}:7620", "first"), by_number=True)
    assert write.phase is Phase.BACKOFF
    return write


def test_a_write_yields_at_its_conflict_and_its_changes_are_written_afterwards() -> None:
    cluster = started(5)
    replica = cluster.programs[A].replica
    done: list[tuple[str, QuorumResult]] = []
    replica.submit(mesh_state.no_change, 3.0, lambda result, answer: done.append(("change", result)))
    cluster.run(0.001)
    reject_current_write(cluster, A, held_s=1.0)
    replica.changes.submit_with_precedence(
        mesh_state.no_change, 1.0, lambda result, answer: done.append(("first", result))
    )
    cluster.run(0.5)
    assert done == [("first", QuorumResult.OK), ("change", QuorumResult.OK)]


def test_a_write_in_progress_starts_no_further_attempt_while_another_member_has_precedence() -> None:
    cluster = started(8)
    cluster.programs[A].replica.submit(mesh_state.no_change, 3.0, ignore)
    cluster.run(0.001)
    method = cluster.programs[A].replica.methods[rpc_methods.CLAIM_PRECEDENCE]
    method([1, CLAIM_S], lambda answer: None, (B, 40000))
    write = reject_current_write(cluster, A, held_s=0.0)
    assert write.wake_at >= cluster.programs[A].replica.precedence.held_until > cluster.network.time


def test_a_change_that_went_first_gives_its_claim_back() -> None:
    cluster = started(9)
    results: list[QuorumResult] = []
    cluster.programs[A].replica.changes.submit_with_precedence(
        mesh_state.no_change, 1.0, lambda result, answer: results.append(result)
    )
    held = [cluster.programs[B].replica.precedence.is_held()]
    while not results:
        cluster.run(0.001)
        held.append(cluster.programs[B].replica.precedence.is_held())
    cluster.run(0.02)
    assert any(held)
    assert not cluster.programs[B].replica.precedence.is_held()


def test_the_text_of_a_change_that_expires_while_its_write_yields_is_forgotten() -> None:
    """Guards against texts that stay in memory: a change that is not submitted again needs none."""
    cluster = started(6)
    replica = cluster.programs[A].replica
    replica.submit(mesh_state.replace_configuration(7, "d"), 0.05, ignore, ConfigurationText("d", b"text"))
    replica.submit(mesh_state.no_change, 2.0, ignore)
    cluster.run(0.001)
    reject_current_write(cluster, A, held_s=1.0)
    cluster.run(0.2)
    replica.changes.submit_with_precedence(mesh_state.no_change, 1.0, ignore)
    cluster.run(2.0)
    assert replica.texts.proposed == {}


def test_a_late_heartbeat_of_a_disk_that_a_member_lost_does_not_disturb_that_member() -> None:
    cluster = started(7)
    manager = cluster.programs[A].replica.membership
    late = manager.own_heartbeat()._replace(disk="lost")
    cluster.network.machines[A].after(0.0, lambda: manager._record(late))
    cluster.run(2.0)
    assert cluster.programs[A].replica.is_member()
    assert time_to_change(cluster, A) < CLAIM_S
    assert not [line for line in cluster.network.machines[A].lines if line.startswith("fault")]
