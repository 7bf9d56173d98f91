"""Seeded runs: after each step a role has at most one holder, and each faulty lease is detected."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from honeywharf.lease.grantor import MEMBER_REMOVAL, TERMS, Grantor, Role, VoteAnswer
from honeywharf.lease.lease import CLOCK_RATE_ERROR, Lease
from tests.lease.cluster import Cluster

SECONDS, MAX_SEEDS = 25.0, 15  # The duration of a run, and the number of seeds for each mutant.


@pytest.mark.parametrize("seed", range(1, 9))
def test_no_two_hold_one_role_at_once(seed: int) -> None:
    cluster = Cluster(seed).run(SECONDS)
    assert cluster.violations == []
    assert len(cluster.granted) >= 5, "the role was granted often enough for the check to count"


@pytest.mark.parametrize("seed", [21, 22, 23])
def test_numbers_grow_where_the_time_of_day_is_not_set_back(seed: int) -> None:
    numbers = [number for _, _, number in Cluster(seed, steps=False).run(SECONDS).granted]
    assert len(numbers) >= 5
    assert numbers == sorted(set(numbers))


def from_the_answer(self: Lease, now: float, number: int, key: Any, answer: str, highest: int) -> bool:
    """A mutation of `Lease.received`: the lease counts from the last answer."""
    if number == self.round:
        self.answered.add(key)
        if answer == VoteAnswer.GRANTED:
            self.votes.add(key)
            if len(self.votes) >= self.majority():
                self.expires_at = now + self.duration()
    return self.holds(now)


def without_waiting(self: Grantor, now: float, epoch: int, accepted: int) -> None:
    """A mutation of `Grantor.adopt_epoch`: the grantor votes under a new membership at once."""
    self.epoch, self.is_epoch_pending = epoch, accepted > epoch


def without_accepted_epoch(self: Grantor, now: float, epoch: int, accepted: int) -> None:
    """A mutation of `Grantor.adopt_epoch`: the accepted epoch is ignored."""
    if epoch != self.epoch:
        self.waiting_since = now if self.epoch >= 0 else self.waiting_since
        self.epoch = epoch


#: The fault of each mutant, with the patched class, attribute and replacement.
MUTANTS: dict[str, tuple[type, str, Callable[..., object]]] = {
    "lease kept past its end": (Lease, "holds", lambda self, now: self.expires_at > 0),
    "grantor forgets and grants at once": (Grantor, "must_wait", lambda self, now, kind: False),
    "majority of the living": (Lease, "majority", lambda self: len(self.answered) // 2 + 1),
    "no margin": (Lease, "duration", lambda self: TERMS[self.role.kind]),
    "time counted from the answer": (Lease, "received", from_the_answer),
    "votes under a new membership at once": (Grantor, "adopt_epoch", without_waiting),
    "votes under a membership that is given up": (Grantor, "adopt_epoch", without_accepted_epoch),
    "votes for whoever asks": (
        Grantor,
        "_decide",
        lambda self, now, role, holder, number, epoch: (
            VoteAnswer.GRANTED
            if epoch == self.epoch and not self.must_wait(now, role.kind)
            else VoteAnswer.HELD
        ),
    ),
}


#: These mutants need more than a few seeds; each has one history that is played step by step.
DIRECTED = ("no margin", "time counted from the answer", "votes under a membership that is given up")


@pytest.mark.parametrize("name", [name for name in MUTANTS if name not in DIRECTED])
def test_a_faulty_lease_is_detected(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    target, attribute, replacement = MUTANTS[name]
    monkeypatch.setattr(target, attribute, replacement)
    assert any(Cluster(seed).run(SECONDS).violations for seed in range(1, MAX_SEEDS + 1))


REMOVAL, TERM = Role(MEMBER_REMOVAL, "", 0), TERMS[MEMBER_REMOVAL]
A, B, C, D = ((f"10.0.0.{at}:1", "disk") for at in range(1, 5))


def granted(lease: Lease, by: list[tuple[Any, Grantor]], asked: float, answered: float) -> bool:
    """Runs a round whose requests arrive at `asked` and whose answers arrive at `answered`."""
    for key, grantor in by:
        answer, highest = grantor.request(asked, REMOVAL, lease.holder, lease.number, lease.epoch)
        lease.received(answered, lease.round, key, answer, highest)
    return lease.holds(answered)


def grantors(*keys: Any) -> list[tuple[Any, Grantor]]:
    """Returns grantors that have waited their terms, with their keys; the time is 10."""
    pairs = [(key, Grantor(0.0, lambda kind, scope: 1)) for key in keys]
    for _, grantor in pairs:
        grantor.adopt_epoch(10.0, 1, 1)
    return pairs


def clocks_apart() -> bool:
    """Returns whether a holder with a slow clock continues after fast grantors granted its role again."""
    lease, by = Lease(REMOVAL, "one", 0), grantors(A, B)
    lease.begin(10.0, 1, [A, B, C], 1)
    assert granted(lease, by, 10.0, 10.0)
    term = TERM / (1 + CLOCK_RATE_ERROR)
    other = Lease(REMOVAL, "other", 1)
    other.begin(10.0 + term * (1 + CLOCK_RATE_ERROR), 1, [A, B, C], 2)
    assert granted(other, by, 10.0 + term * (1 + CLOCK_RATE_ERROR) + 1e-9, 11.0)
    return lease.holds(10.0 + term * (1 - CLOCK_RATE_ERROR))


def late_answers() -> bool:
    """Returns whether delayed answers make a lease longer than its votes."""
    lease, by = Lease(REMOVAL, "one", 0), grantors(A, B)
    lease.begin(10.0, 1, [A, B, C], 1)
    granted(lease, by, 10.0, 10.19)
    return lease.holds(10.0 + TERM)


def old_membership() -> bool:
    """Returns whether the old membership renews a lease after a majority of it has accepted {A, B, D}."""
    lease, by = Lease(REMOVAL, "one", 0), grantors(A, C)
    lease.begin(10.0, 1, [A, B, C], 1)
    assert granted(lease, by, 10.0, 10.0)
    by[0][1].adopt_epoch(10.1, 1, 2)  # A and B have accepted it; only B and D know that it is decided.
    lease.begin(10.3, 1, [A, B, C], 1)
    granted(lease, by, 10.3, 10.3)
    return lease.holds(10.1 + TERM)  # B and D may grant from this time on.


HISTORIES = dict(zip(DIRECTED, (clocks_apart, late_answers, old_membership), strict=True))


@pytest.mark.parametrize("name", DIRECTED)
def test_a_history_detects_a_faulty_lease(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    assert not HISTORIES[name]()
    target, attribute, replacement = MUTANTS[name]
    monkeypatch.setattr(target, attribute, replacement)
    assert HISTORIES[name]()
