"""A short bad day of order keys over proxies that are killed, without the feature and with it."""

from __future__ import annotations

import re

from honeywharf.standins.demo import play_keys


def test_the_demo_of_keys_charges_some_twice_without_the_feature_and_none_with_it() -> None:
    said: list[str] = []
    assert play_keys(2.0, 1, said.append) == 0
    twice = [int(found[1]) for line in said if (found := re.search(r"(\d+) of them twice", line))]
    assert len(twice) == 2
    assert twice[0] > 0
    assert twice[1] == 0
    assert said[-1].endswith("rules broken: none")
