"""After a repair or a planned replacement, a further loss leaves a majority that has the newest state.

Each scenario is played with the next loss at each step of the change of the membership.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import pytest

from honeywharf import rpc_methods
from honeywharf.control import mesh_state
from tests.control.cluster import ControlCluster

if TYPE_CHECKING:
    from honeywharf.transport.host import Address
    from honeywharf.transport.rpc_server import Reply

A, B, C, NEW, NEWER = (f"10.0.0.{number}" for number in (1, 2, 3, 18, 19))
CATCH_UP_S = 4.0
STEPS = [0.0, 0.002, 0.005, 0.01, 0.02, 0.03, 0.05, 0.08, 0.12, 0.2, 0.35, 0.6, 0.9, 1.3]
TEXT = b"r5 five"


def started(seed: int, count: int = 3) -> ControlCluster:
    """Returns control nodes with version 5 in force."""
    cluster = ControlCluster(seed, count)
    cluster.run(2.5 if count > 3 else 1.0)
    call = cluster.replace(A, 5, "five")
    cluster.run(0.9)
    assert call.status == 200
    return cluster


def members(cluster: ControlCluster, ip: str) -> list[str]:
    """Returns the membership that a control node knows."""
    return sorted(each.address.rpartition(":")[0] for each in cluster.programs[ip].replica.state.members)


def check_available(cluster: ControlCluster, living: list[str], within: float = 2.5) -> None:
    """Checks that each living node describes version 5 soon, and that one of them confirms an order."""
    cluster.run(within)
    reads = [cluster.describe(ip) for ip in living]
    cluster.run(0.9)
    assert [call.answers for call in reads] == [[(200, TEXT, b"")]] * len(living)
    order = cluster.replace(living[-1], 9, "nine")
    cluster.run(0.9)
    assert order.status == 200


@pytest.mark.parametrize("step", STEPS)
def test_a_loss_right_after_a_planned_replacement(step: float) -> None:
    cluster = started(31)
    cluster.add(NEW)
    cluster.run(CATCH_UP_S)
    assert members(cluster, B) == [A, B, C], "a machine that is not needed yet has no vote"
    cluster.programs[A].stop()
    cluster.run(step)
    cluster.lose(B)
    cluster.run(3.0)
    assert cluster.network.machines[A].exited == 0
    assert members(cluster, C) == sorted([B, C, NEW])
    check_available(cluster, [C, NEW])


@pytest.mark.parametrize("step", STEPS)
def test_a_leaver_that_is_killed_while_it_hands_over(step: float) -> None:
    cluster = started(32)
    cluster.add(NEW)
    cluster.run(CATCH_UP_S)
    cluster.programs[A].stop()
    cluster.run(step)
    cluster.lose(A)
    cluster.run(CATCH_UP_S)
    cluster.lose(C)
    check_available(cluster, [B, NEW])


@pytest.mark.parametrize("step", STEPS)
def test_a_joiner_that_dies_half_way(step: float) -> None:
    cluster = started(33)
    cluster.lose(A)
    cluster.run(1.0)
    cluster.add(NEW)
    cluster.run(0.5 + step)
    cluster.lose(NEW)
    check_available(cluster, [B, C])
    cluster.add(NEWER)
    cluster.run(2.0 + CATCH_UP_S)
    assert members(cluster, B) == sorted([B, C, NEWER])


@pytest.mark.parametrize("count", [3, 4, 5, 7])
@pytest.mark.parametrize("how", ["wiped", "replaced", "planned"])
def test_as_many_losses_as_are_tolerated_after_each_repair(how: str, count: int) -> None:
    cluster = started(34, count)
    tolerated = (count - 1) // 2
    for turn in range(2):
        ips = members(cluster, cluster.ips[-1])
        gone, new = ips[0], f"10.0.0.{30 + turn}"
        if how == "planned":
            cluster.add(new)
            cluster.run(CATCH_UP_S)
            cluster.programs[gone].stop()
            cluster.run(1.5)
            cluster.lose(gone)
        else:
            cluster.lose(gone)
            cluster.run(1.0)
            if how == "wiped":
                cluster.start(gone)
            else:
                cluster.add(new)
            cluster.run(CATCH_UP_S)
        assert len(members(cluster, cluster.ips[-1])) == count
    ips = members(cluster, cluster.ips[-1])
    for ip in ips[:tolerated]:
        cluster.lose(ip)
    check_available(cluster, ips[tolerated:])


def test_two_replacements_at_once() -> None:
    cluster = started(35, 5)
    for new in (NEW, NEWER):
        cluster.add(new)
    cluster.run(CATCH_UP_S)
    cluster.programs[A].stop()
    cluster.programs[B].stop()
    cluster.run(2.0)
    remaining = cluster.ips[2:]
    assert members(cluster, C) == sorted([*remaining, NEW, NEWER])
    for ip in remaining[:2]:
        cluster.lose(ip)
    check_available(cluster, [remaining[2], NEW, NEWER])


def test_a_member_that_comes_back_from_a_long_cut_after_it_was_replaced() -> None:
    cluster = started(36)
    cluster.split([A], [B, C, NEW])
    cluster.add(NEW)
    cluster.run(20.0)
    assert members(cluster, A) == [A, B, C], "it does not know of the change"
    assert members(cluster, B) == sorted([B, C, NEW])
    order = cluster.replace(B, 8, "eight")
    cluster.run(0.9)
    assert order.status == 200
    cluster.network.cuts.clear()
    cluster.run(CATCH_UP_S)
    assert members(cluster, A) == sorted([B, C, NEW])
    assert not cluster.programs[A].replica.is_member()
    read = cluster.describe(A)
    cluster.run(0.9)
    assert read.answers == [(200, b"r8 eight", b"")]


def drop_texts(cluster: ControlCluster, ip: str, dropped: list[bytes]) -> Callable[[], None]:
    """Drops requests of the register that bring a machine a text; returns a function that ends this."""
    methods = cluster.programs[ip].replica.methods
    answer = methods[rpc_methods.REGISTER_REQUEST]

    def answer_without_text(args: Any, reply: Reply, peer: Address) -> None:
        if args[1] is None:
            answer(args, reply, peer)
        else:
            dropped.append(args[1])

    methods[rpc_methods.REGISTER_REQUEST] = answer_without_text
    return lambda: methods.update({rpc_methods.REGISTER_REQUEST: answer})


def test_a_joiner_has_no_vote_before_it_holds_the_text() -> None:
    """Neither where it can't fetch the text itself, nor where the text that it is sent gets lost."""
    cluster = started(37)
    methods = [cluster.programs[ip].replica.methods for ip in (B, C)]
    texts = [each["word.body"] for each in methods]
    for each in methods:
        each["word.body"] = lambda args, reply, peer: reply(None)
    cluster.lose(A)
    cluster.run(1.0)
    cluster.start(A)
    dropped: list[bytes] = []
    restore = drop_texts(cluster, A, dropped)
    cluster.run(CATCH_UP_S)
    assert not cluster.programs[A].replica.is_member()
    assert dropped, "it was offered the text, so only the text was missing"
    for each, text in zip(methods, texts, strict=True):
        each["word.body"] = text
    restore()
    cluster.run(CATCH_UP_S)
    assert cluster.programs[A].replica.is_member()
    cluster.lose(B)
    check_available(cluster, [A, C])


@pytest.mark.parametrize("seed", range(12))
@pytest.mark.parametrize("how", ["replaced", "planned", "wiped"])
def test_a_successor_is_admitted_while_the_configuration_changes_all_the_time(how: str, seed: int) -> None:
    """Guards against CONFIG: each change made a successor's report of its text too old for its admission."""
    cluster = started(40 + seed)
    lost, new = (A, A) if how == "wiped" else (A, NEW)
    if how == "planned":
        cluster.add(new)
        cluster.run(CATCH_UP_S)
        cluster.programs[lost].stop()
    else:
        cluster.lose(lost)
        cluster.start(new) if how == "wiped" else cluster.add(new)
    ends_at = cluster.network.time + CATCH_UP_S
    version = 100
    while cluster.network.time < ends_at:
        version += 1
        cluster.replace((B, C)[version % 2], version, "changed")
        cluster.run(0.02)
    assert cluster.programs[new].replica.is_member()
    assert members(cluster, B) == sorted([B, C, new])


def test_a_planned_end_without_a_standby_keeps_the_place() -> None:
    cluster = started(38)
    cluster.programs[A].stop()
    cluster.run(1.2)
    assert cluster.network.machines[A].exited == 0
    assert members(cluster, B) == [A, B, C]
    cluster.start(A)
    cluster.run(1.0)
    assert cluster.programs[A].replica.is_member()
    check_available(cluster, [A, B, C])


def test_a_surplus_member_is_removed_while_its_remover_changes_the_configuration_all_the_time() -> None:
    """Guards against a removal that waits for a moment in which the remover writes nothing else."""
    cluster = started(60, 4)
    cluster.programs[A].replica.submit(
        lambda state: (
            (None, None) if state.target_size == 3 else (state.with_members(state.members, 3), None)
        ),
        1.0,
        lambda result, answer: None,
    )
    cluster.run(1.5)

    def write_again(result: object = None, answer: object = None) -> None:
        cluster.programs[A].replica.submit(mesh_state.no_change, 3.0, write_again)

    for _ in range(2):
        write_again()
    cluster.lose(cluster.ips[3])
    cluster.run(CATCH_UP_S)
    assert members(cluster, B) == [A, B, C]
