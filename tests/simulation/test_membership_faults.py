"""Control nodes that are replaced in turn under storms have successors with a vote within the bound."""

from __future__ import annotations

import pytest

from honeywharf.control.replacement import MemberReplacement
from honeywharf.lease.grantor import Grantor
from honeywharf.programs.admission_bound import ADMISSION_BOUND_S
from honeywharf.simulation.deployment import BOUNDS
from honeywharf.simulation.fault_schedule import Fault
from honeywharf.simulation.invariants import Admission
from honeywharf.simulation.membership_faults import MEMBERSHIP_KINDS, TURNOVERS
from honeywharf.simulation.run import Report, run

AFTER_S = 14.0  # Of traffic after the period of faults: three replacements take 16 s.
SEEDS = (1, 2)


def play(seed: int, how: str) -> Report:
    """Plays a day with replacements in turn."""
    return run(seed, [Fault(10.0, "core_turnover", how, seed)], after=AFTER_S)


def test_the_bound_is_below_the_least_time_that_a_successor_has() -> None:
    assert BOUNDS["catch-up"] > ADMISSION_BOUND_S


@pytest.mark.parametrize("how", MEMBERSHIP_KINDS["core_turnover"])
def test_each_successor_has_its_vote_within_the_bound_under_a_storm(
    how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against CONFIG: successors got their votes later than `catch-up` (review/4)."""
    judged: list[bool] = []
    monkeypatch.setattr(
        Admission, "successor_judged", lambda self, machine, has_vote: judged.append(has_vote)
    )
    for seed in SEEDS:
        assert play(seed, how).broken == []
    assert judged == [True] * TURNOVERS * len(SEEDS)


def test_members_that_replace_nobody_are_found_out(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(MemberReplacement, "check", lambda self: None)
    assert play(1, "").broken[0][0] == "ADMISSION"


def test_grantors_that_wait_for_a_request_before_their_term_are_found_out(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(Grantor, "must_wait", lambda self, now, kind: True)
    assert play(1, "").broken[0][0] == "ADMISSION"
