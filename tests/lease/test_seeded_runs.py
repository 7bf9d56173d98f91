"""Seeded runs: after each step no two hold one role; and leases that are wrong, each found out."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from honeywharf.lease.grantor import MEMBER_REMOVAL, TERMS, Grantor, Role, VoteAnswer
from honeywharf.lease.lease import CLOCK_RATE_ERROR, Lease
from tests.lease.cluster import Cluster

SECONDS, MAX_SEEDS = 25.0, 15  # of a run, and seeds that a mutant has


@pytest.mark.parametrize("seed", range(1, 9))
def test_no_two_hold_one_role_at_once(seed: int) -> None:
    cluster = Cluster(seed).run(SECONDS)
    assert cluster.found == []
    assert len(cluster.granted) >= 5, "a role that nobody ever has is held by no two"


@pytest.mark.parametrize("seed", [21, 22, 23])
def test_numbers_grow_where_the_time_of_day_is_not_set_back(seed: int) -> None:
    numbers = [number for _, _, number in Cluster(seed, steps=False).run(SECONDS).granted]
    assert len(numbers) >= 5
    assert numbers == sorted(set(numbers))


def from_the_answer(self: Lease, now: float, number: int, key: Any, answer: str, highest: int) -> bool:
    """`Lease.received`, but counted from the last answer."""
    if number == self.round:
        self.answered.add(key)
        if answer == VoteAnswer.GRANTED:
            self.votes.add(key)
            if len(self.votes) >= self.majority():
                self.until = now + self.duration()
    return self.holds(now)


def no_wait(self: Grantor, now: float, epoch: int, accepted: int) -> None:
    """`Grantor.adopt_epoch`, but it votes under a new membership at once."""
    self.epoch, self.is_epoch_pending = epoch, accepted > epoch


def blind(self: Grantor, now: float, epoch: int, accepted: int) -> None:
    """`Grantor.adopt_epoch`, but without regard to what was accepted."""
    if epoch != self.epoch:
        self.waiting_since = now if self.epoch >= 0 else self.waiting_since
        self.epoch = epoch


#: What is wrong -> what is put in place of what.
MUTANTS: dict[str, tuple[type, str, Callable[..., object]]] = {
    "lease kept past its end": (Lease, "holds", lambda self, now: self.until > 0),
    "grantor forgets and grants at once": (Grantor, "must_wait", lambda self, now, kind: False),
    "majority of the living": (Lease, "majority", lambda self: len(self.answered) // 2 + 1),
    "no margin": (Lease, "duration", lambda self: TERMS[self.role.kind]),
    "time counted from the answer": (Lease, "received", from_the_answer),
    "votes under a new membership at once": (Grantor, "adopt_epoch", no_wait),
    "votes under a membership that is given up": (Grantor, "adopt_epoch", blind),
    "votes for whoever asks": (
        Grantor,
        "_judge",
        lambda self, now, role, holder, number, epoch: (
            VoteAnswer.GRANTED
            if epoch == self.epoch and not self.must_wait(now, role.kind)
            else VoteAnswer.HELD
        ),
    ),
}


#: Those for which a few seeds are too few: one history each, played step by step.
DIRECTED = ("no margin", "time counted from the answer", "votes under a membership that is given up")


@pytest.mark.parametrize("name", [name for name in MUTANTS if name not in DIRECTED])
def test_a_wrong_lease_is_found_out(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    where, what, wrong = MUTANTS[name]
    monkeypatch.setattr(where, what, wrong)
    assert any(Cluster(seed).run(SECONDS).found for seed in range(1, MAX_SEEDS + 1))


REMOVAL, TERM = Role(MEMBER_REMOVAL, "", 0), TERMS[MEMBER_REMOVAL]
A, B, C, D = ((f"10.0.0.{at}:1", "disk") for at in range(1, 5))


def granted(lease: Lease, by: list[tuple[Any, Grantor]], asked: float, answered: float) -> bool:
    """One round of a lease whose asks arrive, and whose answers come, at such times; whether it is held."""
    for key, grantor in by:
        answer, highest = grantor.request(asked, REMOVAL, lease.holder, lease.number, lease.epoch)
        lease.received(answered, lease.round, key, answer, highest)
    return lease.holds(answered)


def grantors(*keys: Any) -> list[tuple[Any, Grantor]]:
    """Grantors that have waited, by key; the time is 10."""
    made = [(key, Grantor(0.0, lambda kind, scope: 1)) for key in keys]
    for _, grantor in made:
        grantor.adopt_epoch(10.0, 1, 1)
    return made


def clocks_apart() -> bool:
    """Whether a slow holder goes on when fast grantors have given its role to another one."""
    lease, by = Lease(REMOVAL, "one", 0), grantors(A, B)
    lease.begin(10.0, 1, [A, B, C], 1)
    assert granted(lease, by, 10.0, 10.0)
    true = TERM / (1 + CLOCK_RATE_ERROR)
    other = Lease(REMOVAL, "other", 1)
    other.begin(10.0 + true * (1 + CLOCK_RATE_ERROR), 1, [A, B, C], 2)
    assert granted(other, by, 10.0 + true * (1 + CLOCK_RATE_ERROR) + 1e-9, 11.0)
    return lease.holds(10.0 + true * (1 - CLOCK_RATE_ERROR))


def late_answers() -> bool:
    """Whether answers that were long on their way make a lease longer than the votes."""
    lease, by = Lease(REMOVAL, "one", 0), grantors(A, B)
    lease.begin(10.0, 1, [A, B, C], 1)
    granted(lease, by, 10.0, 10.19)
    return lease.holds(10.0 + TERM)


def old_membership() -> bool:
    """Whether a lease is renewed by the old membership after a majority of it has accepted {A, B, D}."""
    lease, by = Lease(REMOVAL, "one", 0), grantors(A, C)
    lease.begin(10.0, 1, [A, B, C], 1)
    assert granted(lease, by, 10.0, 10.0)
    by[0][1].adopt_epoch(10.1, 1, 2)  # accepted by A and B, told to B and D only
    lease.begin(10.3, 1, [A, B, C], 1)
    granted(lease, by, 10.3, 10.3)
    return lease.holds(10.1 + TERM)  # when B and D may grant


HISTORIES = dict(zip(DIRECTED, (clocks_apart, late_answers, old_membership), strict=True))


@pytest.mark.parametrize("name", DIRECTED)
def test_a_history_that_a_wrong_lease_does_not_stand(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    assert not HISTORIES[name]()
    where, what, wrong = MUTANTS[name]
    monkeypatch.setattr(where, what, wrong)
    assert HISTORIES[name]()
