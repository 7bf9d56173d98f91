"""What an attempt's end proves, and what the client may be told of it."""

from __future__ import annotations

import pytest

from honeywharf.verdict import (
    BROKEN_OFF,
    FULL,
    LOST,
    MAY_HAVE_RUN,
    NOT_RUN,
    RAN,
    TIMED_OUT,
    TURNED_AWAY,
    WORDS,
    Verdict,
)

PROMISES = (408, 421, 429, 503)  # RULES, REFUSED


@pytest.mark.parametrize(
    ("ran", "why", "again", "status"),
    [
        (NOT_RUN, FULL, True, 503),
        (NOT_RUN, TURNED_AWAY, True, 503),
        (NOT_RUN, TIMED_OUT, True, 503),
        (MAY_HAVE_RUN, LOST, False, 502),
        (MAY_HAVE_RUN, BROKEN_OFF, False, 502),
        (MAY_HAVE_RUN, TIMED_OUT, False, 504),
        (RAN, BROKEN_OFF, False, 502),
    ],
)
def test_what_must_not_run_twice(ran: int, why: int, again: bool, status: int) -> None:
    verdict = Verdict(ran, why)
    assert verdict.may_repeat(repeatable=False) is again
    assert verdict.status(repeatable=False) == status
    assert (status in PROMISES) == (ran == NOT_RUN)


@pytest.mark.parametrize("ran", [NOT_RUN, MAY_HAVE_RUN])
def test_what_may_run_twice_may_always_be_repeated(ran: int) -> None:
    verdict = Verdict(ran, LOST)
    assert verdict.may_repeat(repeatable=True)
    assert verdict.status(repeatable=True) == 503


@pytest.mark.parametrize(("ran", "why"), [(-1, FULL), (3, FULL), (NOT_RUN, -1), (NOT_RUN, len(WORDS))])
def test_what_makes_no_sense_is_refused(ran: int, why: int) -> None:
    with pytest.raises(ValueError, match=f"wanted 0 to 2 and 0 to {len(WORDS) - 1}"):
        Verdict(ran, why)


def test_it_names_itself() -> None:
    assert repr(Verdict(MAY_HAVE_RUN, TIMED_OUT, True)) == "Verdict(may have run, timed out, arrived)"
