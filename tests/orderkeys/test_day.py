"""The demo of order keys with proxies that are killed, without the feature and with it."""

from __future__ import annotations

import re

from honeywharf.standins.demo import play_keys


def test_the_demo_of_keys_charges_some_twice_without_the_feature_and_none_with_it() -> None:
    lines: list[str] = []
    assert play_keys(2.0, 1, lines.append) == 0
    charged_twice = [int(found[1]) for line in lines if (found := re.search(r"(\d+) of them twice", line))]
    assert len(charged_twice) == 2
    assert charged_twice[0] > 0
    assert charged_twice[1] == 0
    assert lines[-1].endswith("rules broken: none")
