"""All interleavings of three proxies, two kills and one lease that ends; each rule is necessary."""

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
def test_no_interleaving_of_four_proxies_and_two_leases_does() -> None:
    assert Explorer(Rules(), proxies=4, crashes=2, expiries=2).run(20_000_000) is None


Verdict = tuple[model.Entry | None, tuple[object, ...]]


def claim_frees_key_after_lease(e: model.Entry | None, now: int, *rest: Any) -> Verdict:
    return model.claim(None if e is not None and e.state == "R" and e.until <= now else e, now, *rest)


def claim_ignores_lease(e: model.Entry | None, now: int, *rest: Any) -> Verdict:
    return model.claim(None if e is not None and e.state == "R" else e, now, *rest)


def claim_forgets_uncertain_key(e: model.Entry | None, now: int, *rest: Any) -> Verdict:
    return model.claim(None if e is not None and e.state == "U" else e, now, *rest)


def note_from_anyone(e: model.Entry | None, _: str, place: model.Place) -> tuple[model.Entry | None, int]:
    return model.note(e, e.holder if e is not None else "", place)


def end_from_anyone(
    e: model.Entry | None,
    now: int,
    holder: str,
    *rest: Any,
) -> tuple[model.Entry | None, int]:
    return model.end(e, now, e.holder if e is not None else holder, *rest)


@pytest.mark.parametrize(
    "broken_rules",
    [
        Rules(use_claims=False),
        Rules(wait_for_note=False),
        Rules(unknown_place_fails=False),
        Rules(first_cell_only=False),
        Rules(claim=claim_frees_key_after_lease),
        Rules(claim=claim_ignores_lease),
        Rules(claim=claim_forgets_uncertain_key),
        Rules(note=note_from_anyone),
        Rules(end=end_from_anyone),
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
def test_without_any_one_rule_some_interleaving_breaks_the_key(broken_rules: Rules) -> None:
    found = Explorer(broken_rules).run()
    assert found is not None
    assert found[0] in ("charged twice", "the key is lost", "two answers, or one from nothing")
