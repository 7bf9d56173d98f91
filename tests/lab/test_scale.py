"""What grows with the number of proxies must not: the same fleet and clients behind few of them and many."""

from __future__ import annotations

import pytest

from honeywharf.lab import days
from honeywharf.lab.habits import MIXED
from honeywharf.lab.simulator import Day, Trouble, play
from honeywharf.policy import choice, endpoints


def outage(proxies: int) -> Day:
    """0.4 of 42 nodes that jam die at 8 s and are back, cold, at 14 s."""
    day = Day("scale", 1, 100.0, {"a": 14, "b": 14, "c": 14}, days.none, spec=days.TILE, retries=6,
              length_ms=34_000.0, habits=MIXED, marks=0.5, proxies=proxies,
              troubles=(Trouble(8000.0, "crash", part=0.4, for_ms=6000.0),))
    return days.load(day, 0.75)


@pytest.mark.pure
def test_behind_thirty_proxies_the_fleet_comes_back_and_as_it_was_it_did_not(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """As it was: a call over the limit for each proxy, and calls to servers that owe answers."""
    now = play(outage(31)).goodput(26_000.0)
    monkeypatch.setattr(endpoints, "SLIVERS", float("inf"))
    monkeypatch.setattr(choice, "OWING_SHARE", 1.0)
    before = play(outage(31)).goodput(26_000.0)
    assert now > 0.8
    assert before < now - 0.05
