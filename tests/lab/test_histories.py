"""The checker of histories finds what is broken, each rule by itself."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from honeywharf.lab.histories import LOST, History
from honeywharf.standins.units import GIVEN_UP

KEPT = 1000.0


def good() -> History:
    h = History()
    h.asked("a", "k", 0.0, False)
    h.charged("k", "a", 1.0)
    h.answered("a", 2.0, 200, b"tile")
    h.asked("b", "k", 3.0, True)
    h.answered("b", 4.0, 200, b"tile")
    h.asked("c", "other", 5.0, False)
    h.answered("c", 6.0, 503)
    return h


def charged_again(h: History) -> None:
    h.charged("k", "b", 3.5)


def unanswered(h: History) -> None:
    h.asked("d", "k", 7.0, False)


def answered_twice(h: History) -> None:
    h.answered("c", 7.0, 502)


def lost_though_no_proxy_fell(h: History) -> None:
    h.outage(100.0, 200.0)
    h.asked("d", "k", 7.0, False)
    h.answered("d", 8.0, LOST)


def another_answer(h: History) -> None:
    h.asked("d", "k", 7.0, True)
    h.answered("d", 8.0, 200, b"another")


def served_from_nothing(h: History) -> None:
    h.asked("d", "none", 7.0, False)
    h.answered("d", 8.0, 200, b"tile")


def refused_and_charged_later(h: History) -> None:
    h.charged("other", "c", 9.0)


def refused_though_an_earlier_one_was_charged(h: History) -> None:
    h.asked("d", "k", 7.0, False)
    h.answered("d", 8.0, 503)


def test_a_good_history_has_no_fault() -> None:
    assert not any(good().faults(KEPT).values())


@pytest.mark.parametrize(
    ("rule", "spoil"),
    [
        ("one charge", charged_again),
        ("one answer", unanswered),
        ("one answer", answered_twice),
        ("one answer", lost_though_no_proxy_fell),
        ("same answer", another_answer),
        ("served means charged", served_from_nothing),
        ("refused means no charge", refused_and_charged_later),
        ("refused means no charge", refused_though_an_earlier_one_was_charged),
    ],
)
def test_each_fault_is_found_under_its_rule(rule: str, spoil: Callable[[History], None]) -> None:
    h = good()
    spoil(h)
    assert [name for name, found in h.faults(KEPT).items() if found] == [rule]


def test_what_came_after_the_key_was_forgotten_is_no_fault() -> None:
    h = good()
    h.charged("k", "e", 1.0 + KEPT)
    h.asked("e", "k", KEPT, False)
    h.answered("e", 5.0 + KEPT, 200, b"another")
    assert not any(h.faults(KEPT).values())


def test_a_connection_lost_with_its_proxy_is_accounted_for() -> None:
    h = good()
    h.outage(7.5, 9.0)
    h.asked("d", "k", 7.0, False)
    h.answered("d", 8.0, LOST)
    assert not any(h.faults(KEPT).values())


def test_a_refusal_says_nothing_of_one_that_runs_beside_it() -> None:
    h = good()
    h.asked("d", "two", 7.0, False)
    h.asked("e", "two", 7.1, False)
    h.charged("two", "d", 7.5)
    h.answered("e", 8.0, 503)
    h.answered("d", 9.0, 200, b"tile")
    assert not any(h.faults(KEPT).values())


def test_its_bound_is_told() -> None:
    h = History(most=2)
    h.asked("a", "k", 0.0, False)
    h.answered("a", 1.0, 200)
    with pytest.raises(MemoryError, match="2 events"):
        h.charged("k", "a", 1.0)


@pytest.mark.parametrize(("late_ms", "faults"), [(0.0, 1), (200.0, 0)])
def test_a_client_that_gave_up_runs_beside_a_refusal_as_long_as_its_datagrams_may_arrive(
    late_ms: float,
    faults: int,
) -> None:
    h = good()
    h.asked("d", "two", 7.0, False)
    h.answered("d", 100.0, GIVEN_UP, late_ms=late_ms)
    h.asked("e", "two", 150.0, True)
    h.charged("two", "d", 160.0)
    h.answered("e", 170.0, 503)
    h.asked("f", "two", 400.0, True)  # when nothing of it can arrive any more, the refusal is untrue
    h.answered("f", 410.0, 503)
    assert len(h.faults(KEPT)["refused means no charge"]) == faults + 1
    assert [row.split(" ", 1)[1] for row in h.told("two")] == [
        "d asks",
        "d ends with 408",
        "e asks again",
        "charged for d",
        "e ends with 503",
        "f asks again",
        "f ends with 503",
    ]
