"""Losses that follow a repair or a planned replacement: a majority is left, and it holds the newest state.

Each scenario is played once for every step of the change of membership, and the next loss comes at that step.
"""

from __future__ import annotations

import pytest

from tests.control.town import Town

A, B, C, NEW, NEWER = (f"10.0.0.{number}" for number in (1, 2, 3, 18, 19))
CATCH_UP_S = 4.0
STEPS = [0.0, 0.002, 0.005, 0.01, 0.02, 0.03, 0.05, 0.08, 0.12, 0.2, 0.35, 0.6, 0.9, 1.3]
TEXT = b"r5 five"


def started(seed: int, count: int = 3) -> Town:
    """Control nodes that hold version 5."""
    town = Town(seed, count)
    town.run(2.5 if count > 3 else 1.0)
    call = town.replace(A, 5, "five")
    town.run(0.9)
    assert call.status == 200
    return town


def lost(town: Town, ip: str) -> None:
    """A machine is gone for good."""
    town.world.machines[ip].off(power=True)
    town.world.machines[ip].disk.files.clear()


def members(town: Town, ip: str) -> list[str]:
    """The membership that one knows."""
    return sorted(one.address.rpartition(":")[0] for one in town.programs[ip].replica.state.members)


def holds_on(town: Town, living: list[str], within: float = 2.5) -> None:
    """Soon each of the living describes version 5, and an order is confirmed by one of them."""
    town.run(within)
    told = [town.describe(ip) for ip in living]
    town.run(0.9)
    assert [call.answers for call in told] == [[(200, TEXT, b"")]] * len(living)
    order = town.replace(living[-1], 9, "nine")
    town.run(0.9)
    assert order.status == 200


@pytest.mark.parametrize("step", STEPS)
def test_a_loss_right_after_a_planned_replacement(step: float) -> None:
    town = started(31)
    town.add(NEW)
    town.run(CATCH_UP_S)
    assert members(town, B) == [A, B, C], "who is not needed yet has no vote"
    town.programs[A].stop()
    town.run(step)
    lost(town, B)
    town.run(3.0)
    assert town.world.machines[A].exited == 0
    assert members(town, C) == sorted([B, C, NEW])
    holds_on(town, [C, NEW])


@pytest.mark.parametrize("step", STEPS)
def test_a_leaver_that_is_killed_while_it_hands_over(step: float) -> None:
    town = started(32)
    town.add(NEW)
    town.run(CATCH_UP_S)
    town.programs[A].stop()
    town.run(step)
    lost(town, A)
    town.run(CATCH_UP_S)
    lost(town, C)
    holds_on(town, [B, NEW])


@pytest.mark.parametrize("step", STEPS)
def test_a_joiner_that_dies_half_way(step: float) -> None:
    town = started(33)
    lost(town, A)
    town.run(1.0)
    town.add(NEW)
    town.run(0.5 + step)
    lost(town, NEW)
    holds_on(town, [B, C])
    town.add(NEWER)
    town.run(2.0 + CATCH_UP_S)
    assert members(town, B) == sorted([B, C, NEWER])


@pytest.mark.parametrize("count", [3, 4, 5, 7])
@pytest.mark.parametrize("how", ["wiped", "replaced", "planned"])
def test_as_many_losses_as_are_borne_after_each_repair(how: str, count: int) -> None:
    town = started(34, count)
    borne = (count - 1) // 2
    for turn in range(2):
        ips = members(town, town.ips[-1])
        gone, new = ips[0], f"10.0.0.{30 + turn}"
        if how == "planned":
            town.add(new)
            town.run(CATCH_UP_S)
            town.programs[gone].stop()
            town.run(1.5)
            lost(town, gone)
        else:
            lost(town, gone)
            town.run(1.0)
            if how == "wiped":
                town.start(gone)
            else:
                town.add(new)
            town.run(CATCH_UP_S)
        assert len(members(town, town.ips[-1])) == count
    ips = members(town, town.ips[-1])
    for ip in ips[:borne]:
        lost(town, ip)
    holds_on(town, ips[borne:])


def test_two_replacements_at_once() -> None:
    town = started(35, 5)
    for new in (NEW, NEWER):
        town.add(new)
    town.run(CATCH_UP_S)
    town.programs[A].stop()
    town.programs[B].stop()
    town.run(2.0)
    left = town.ips[2:]
    assert members(town, C) == sorted([*left, NEW, NEWER])
    for ip in left[:2]:
        lost(town, ip)
    holds_on(town, [left[2], NEW, NEWER])


def test_a_member_that_comes_back_from_a_long_cut_after_it_was_replaced() -> None:
    town = started(36)
    town.split([A], [B, C, NEW])
    town.add(NEW)
    town.run(20.0)
    assert members(town, A) == [A, B, C], "it knows of nothing"
    assert members(town, B) == sorted([B, C, NEW])
    order = town.replace(B, 8, "eight")
    town.run(0.9)
    assert order.status == 200
    town.world.cuts.clear()
    town.run(CATCH_UP_S)
    assert members(town, A) == sorted([B, C, NEW])
    assert not town.programs[A].replica.member()
    told = town.describe(A)
    town.run(0.9)
    assert told.answers == [(200, b"r8 eight", b"")]


def test_a_joiner_has_no_vote_before_it_holds_the_text() -> None:
    town = started(37)
    methods = [town.programs[ip].replica.methods for ip in (B, C)]
    texts = [each["word.body"] for each in methods]
    for each in methods:
        each["word.body"] = lambda args, reply, peer: reply(None)
    lost(town, A)
    town.run(1.0)
    town.start(A)
    town.run(CATCH_UP_S)
    assert not town.programs[A].replica.member()
    for each, text in zip(methods, texts, strict=True):
        each["word.body"] = text
    town.run(CATCH_UP_S)
    assert town.programs[A].replica.member()
    lost(town, B)
    holds_on(town, [A, C])


def test_a_planned_end_without_a_standby_keeps_the_place() -> None:
    town = started(38)
    town.programs[A].stop()
    town.run(1.2)
    assert town.world.machines[A].exited == 0
    assert members(town, B) == [A, B, C]
    town.start(A)
    town.run(1.0)
    assert town.programs[A].replica.member()
    holds_on(town, [A, B, C])
