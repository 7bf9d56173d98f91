"""The demonstration with real processes, short, and its count of what went wrong."""

from __future__ import annotations

from collections import Counter
from types import SimpleNamespace
from typing import Any, cast

from honeywharf.standins import gatewaydemo
from honeywharf.standins.gatewaydemo import ORDER, READ, UPLOAD, ZEROS, Day


def test_a_drain_and_a_kill_of_live_gateways_lose_nothing() -> None:
    lines: list[str] = []
    figures = gatewaydemo.run(1, 1, 40.0, 3, True, lines.append, 0.3)
    assert {name: figures[name] for name in ZEROS if figures.get(name)} == {}
    assert figures["uploads finished"] == figures["uploads begun"] > 0
    assert figures["orders finished"] == figures["orders begun"] > 0
    assert figures["moves"] > 0
    assert len(lines) == 2


def client(name: bytes, kind: int, end: str) -> Any:
    return SimpleNamespace(
        kind=kind, end=end, attempts=[name, name + b" again"], size=10, took=0.1, name="tile"
    )


def test_the_figures_see_what_went_wrong() -> None:
    clients = [
        client(b"twice", ORDER, "done"),
        client(b"ran", UPLOAD, "not run"),
        client(b"never", ORDER, "done"),
        client(b"read", READ, "done"),
    ]
    session_client = SimpleNamespace(retransmitted_bytes=5, moves=1)
    day = cast(Any, SimpleNamespace(clients=clients, twice_told=0, warned=0, session_client=session_client))
    cut = b"ran again".hex()
    found = Day._counted(day, Counter({b"twice".hex(): 2, cut: 1}), {cut: 9})
    assert found["orders recorded twice"] == 1
    assert found["orders told done and never recorded"] == 1
    assert found["uploads told not run and recorded"] == 1
    assert found["bodies cut short"] == 1
    assert found["bytes sent twice"] == 45
