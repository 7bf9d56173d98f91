"""Verdicts determine whether a request may be retried, and the status that the client gets."""

from __future__ import annotations

import pytest

from honeywharf.verdict import (
    CONNECTION_BROKEN,
    FULL,
    LINK_LOST,
    MAY_HAVE_RUN,
    NOT_RUN,
    RAN,
    REJECTED_BY_BACKEND,
    TIMED_OUT,
    WORDS,
    Verdict,
)

PROMISES = (408, 421, 429, 503)  # statuses that promise that nothing has run (RULES, REFUSED)


@pytest.mark.parametrize(
    ("ran", "why", "retried", "status"),
    [
        (NOT_RUN, FULL, True, 503),
        (NOT_RUN, REJECTED_BY_BACKEND, True, 503),
        (NOT_RUN, TIMED_OUT, True, 503),
        (MAY_HAVE_RUN, LINK_LOST, False, 502),
        (MAY_HAVE_RUN, CONNECTION_BROKEN, False, 502),
        (MAY_HAVE_RUN, TIMED_OUT, False, 504),
        (RAN, CONNECTION_BROKEN, False, 502),
    ],
)
def test_a_request_that_must_not_run_twice(ran: int, why: int, retried: bool, status: int) -> None:
    verdict = Verdict(ran, why)
    assert verdict.may_retry(idempotent=False) is retried
    assert verdict.status(idempotent=False) == status
    assert (status in PROMISES) == (ran == NOT_RUN)


@pytest.mark.parametrize("ran", [NOT_RUN, MAY_HAVE_RUN])
def test_an_idempotent_request_may_always_be_retried(ran: int) -> None:
    verdict = Verdict(ran, LINK_LOST)
    assert verdict.may_retry(idempotent=True)
    assert verdict.status(idempotent=True) == 503


@pytest.mark.parametrize(("ran", "why"), [(-1, FULL), (3, FULL), (NOT_RUN, -1), (NOT_RUN, len(WORDS))])
def test_values_out_of_range_are_rejected(ran: int, why: int) -> None:
    with pytest.raises(ValueError, match=f"expected 0 to 2 and 0 to {len(WORDS) - 1}, got {ran} and {why}"):
        Verdict(ran, why)


def test_repr_describes_the_verdict_in_words() -> None:
    assert repr(Verdict(MAY_HAVE_RUN, TIMED_OUT, True)) == "Verdict(may have run, timed out, arrived)"
