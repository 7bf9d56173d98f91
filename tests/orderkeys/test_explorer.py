"""All interleavings of three proxies, two kills and one lease that ends; and each rule is needed."""

from __future__ import annotations

import os
from typing import Any

import pytest

from tests.orderkeys import model
from tests.orderkeys.explorer import Explorer, Rules

pytestmark = pytest.mark.model


def test_no_interleaving_charges_a_key_twice_or_loses_it() -> None:
    explorer = Explorer(Rules(), proxies=3, crashes=2, expiries=1)
    assert explorer.run() is None
    assert explorer.states > 60_000
    assert explorer.phases == {
        "new",
        "asked",
        "claimed",
        "noting",
        "ready",
        "sent",
        "served",
        "failed",
        "refused",
        "dead",
    }


@pytest.mark.skipif(not os.environ.get("HONEYWHARF_LONG"), reason="HONEYWHARF_LONG=1 explores four proxies")
def test_nor_does_one_of_four_proxies_and_two_leases() -> None:
    assert Explorer(Rules(), proxies=4, crashes=2, expiries=2).run(20_000_000) is None


Verdict = tuple[model.Entry | None, tuple[object, ...]]


def frees_at_the_lease(e: model.Entry | None, now: int, *rest: Any) -> Verdict:
    return model.claim(None if e is not None and e.state == "R" and e.until <= now else e, now, *rest)


def gives_to_all(e: model.Entry | None, now: int, *rest: Any) -> Verdict:
    return model.claim(None if e is not None and e.state == "R" else e, now, *rest)


def forgets_the_uncertain(e: model.Entry | None, now: int, *rest: Any) -> Verdict:
    return model.claim(None if e is not None and e.state == "U" else e, now, *rest)


def notes_for_anyone(e: model.Entry | None, _: str, place: model.Place) -> tuple[model.Entry | None, int]:
    return model.note(e, e.holder if e is not None else "", place)


def ends_for_anyone(
    e: model.Entry | None,
    now: int,
    holder: str,
    *rest: Any,
) -> tuple[model.Entry | None, int]:
    return model.end(e, now, e.holder if e is not None else holder, *rest)


@pytest.mark.parametrize(
    "spoilt",
    [
        Rules(claims=False),
        Rules(sure=False),
        Rules(unknown_fails=False),
        Rules(first_cell_only=False),
        Rules(claim=frees_at_the_lease),
        Rules(claim=gives_to_all),
        Rules(claim=forgets_the_uncertain),
        Rules(note=notes_for_anyone),
        Rules(end=ends_for_anyone),
    ],
    ids=[
        "no claims",
        "a note not waited for",
        "unknown is free",
        "any cell",
        "the lease frees",
        "no lease",
        "uncertain is free",
        "notes for anyone",
        "ends for anyone",
    ],
)
def test_without_any_one_of_the_rules_there_is_one_that_does(spoilt: Rules) -> None:
    found = Explorer(spoilt).run()
    assert found is not None
    assert found[0] in ("charged twice", "the key is lost", "two answers, or one from nothing")
