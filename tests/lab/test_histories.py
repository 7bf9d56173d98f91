"""The checker of histories detects a violation of each rule."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from honeywharf.lab.histories import LOST, History
from honeywharf.standins.units import GIVEN_UP

KEPT = 1000.0


def good() -> History:
    h = History()
    h.requested("a", "k", 0.0, False)
    h.charged("k", "a", 1.0)
    h.answered("a", 2.0, 200, b"tile")
    h.requested("b", "k", 3.0, True)
    h.answered("b", 4.0, 200, b"tile")
    h.requested("c", "other", 5.0, False)
    h.answered("c", 6.0, 503)
    return h


def charged_again(h: History) -> None:
    h.charged("k", "b", 3.5)


def unanswered(h: History) -> None:
    h.requested("d", "k", 7.0, False)


def answered_twice(h: History) -> None:
    h.answered("c", 7.0, 502)


def lost_without_a_killed_proxy(h: History) -> None:
    h.outage(100.0, 200.0)
    h.requested("d", "k", 7.0, False)
    h.answered("d", 8.0, LOST)


def answered_differently(h: History) -> None:
    h.requested("d", "k", 7.0, True)
    h.answered("d", 8.0, 200, b"another")


def served_without_a_charge(h: History) -> None:
    h.requested("d", "none", 7.0, False)
    h.answered("d", 8.0, 200, b"tile")


def refused_and_charged_later(h: History) -> None:
    h.charged("other", "c", 9.0)


def refused_after_an_earlier_charge(h: History) -> None:
    h.requested("d", "k", 7.0, False)
    h.answered("d", 8.0, 503)


def test_a_valid_history_breaks_no_rule() -> None:
    assert not any(good().violations(KEPT).values())


@pytest.mark.parametrize(
    ("rule", "break_rule"),
    [
        ("one charge", charged_again),
        ("one answer", unanswered),
        ("one answer", answered_twice),
        ("one answer", lost_without_a_killed_proxy),
        ("same answer", answered_differently),
        ("served means charged", served_without_a_charge),
        ("refused means no charge", refused_and_charged_later),
        ("refused means no charge", refused_after_an_earlier_charge),
    ],
)
def test_each_violation_is_found_under_its_rule(rule: str, break_rule: Callable[[History], None]) -> None:
    h = good()
    break_rule(h)
    assert [name for name, found in h.violations(KEPT).items() if found] == [rule]


def test_a_charge_after_the_key_was_forgotten_breaks_no_rule() -> None:
    h = good()
    h.charged("k", "e", 1.0 + KEPT)
    h.requested("e", "k", KEPT, False)
    h.answered("e", 5.0 + KEPT, 200, b"another")
    assert not any(h.violations(KEPT).values())


def test_a_connection_lost_with_its_proxy_breaks_no_rule() -> None:
    h = good()
    h.outage(7.5, 9.0)
    h.requested("d", "k", 7.0, False)
    h.answered("d", 8.0, LOST)
    assert not any(h.violations(KEPT).values())


def test_a_refusal_says_nothing_about_a_concurrent_request() -> None:
    h = good()
    h.requested("d", "two", 7.0, False)
    h.requested("e", "two", 7.1, False)
    h.charged("two", "d", 7.5)
    h.answered("e", 8.0, 503)
    h.answered("d", 9.0, 200, b"tile")
    assert not any(h.violations(KEPT).values())


def test_a_history_beyond_its_bound_raises() -> None:
    h = History(max_events=2)
    h.requested("a", "k", 0.0, False)
    h.answered("a", 1.0, 200)
    with pytest.raises(MemoryError, match="2 events"):
        h.charged("k", "a", 1.0)


@pytest.mark.parametrize(("late_ms", "violations"), [(0.0, 1), (200.0, 0)])
def test_a_request_given_up_is_concurrent_while_its_datagrams_may_arrive(
    late_ms: float,
    violations: int,
) -> None:
    h = good()
    h.requested("d", "two", 7.0, False)
    h.answered("d", 100.0, GIVEN_UP, late_ms=late_ms)
    h.requested("e", "two", 150.0, True)
    h.charged("two", "d", 160.0)
    h.answered("e", 170.0, 503)
    h.requested("f", "two", 400.0, True)  # no datagram of "d" can arrive any more: the refusal is false
    h.answered("f", 410.0, 503)
    assert len(h.violations(KEPT)["refused means no charge"]) == violations + 1
    assert [row.split(" ", 1)[1] for row in h.events_of("two")] == [
        "d asks",
        "d ends with 408",
        "e asks again",
        "charged for d",
        "e ends with 503",
        "f asks again",
        "f ends with 503",
    ]
