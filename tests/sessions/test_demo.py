"""A short run of the demo with real processes, and its count of violations."""

from __future__ import annotations

from collections import Counter
from types import SimpleNamespace
from typing import Any, cast

from honeywharf.standins import gatewaydemo
from honeywharf.standins.gatewaydemo import MUST_BE_ZERO, ORDER, READ, UPLOAD, GatewayDemo


def test_a_drain_and_a_kill_of_live_gateways_lose_nothing() -> None:
    lines: list[str] = []
    figures = gatewaydemo.run(1, 1, 40.0, 3, True, lines.append, 0.3)
    assert {name: figures[name] for name in MUST_BE_ZERO if figures.get(name)} == {}
    assert figures["uploads finished"] == figures["uploads begun"] > 0
    assert figures["orders finished"] == figures["orders begun"] > 0
    assert figures["moves"] > 0
    assert len(lines) == 2


def client(name: bytes, kind: int, outcome: str) -> Any:
    return SimpleNamespace(
        kind=kind, outcome=outcome, attempts=[name, name + b" again"], size=10, duration_s=0.1, name="tile"
    )


def test_the_figures_count_violations() -> None:
    clients = [
        client(b"twice", ORDER, "done"),
        client(b"ran", UPLOAD, "not run"),
        client(b"never", ORDER, "done"),
        client(b"read", READ, "done"),
    ]
    session_client = SimpleNamespace(retransmitted_bytes=5, moves=1)
    demo = cast(
        Any, SimpleNamespace(clients=clients, repeated_outcomes=0, warnings=0, session_client=session_client)
    )
    cut = b"ran again".hex()
    found = GatewayDemo._counted(demo, Counter({b"twice".hex(): 2, cut: 1}), {cut: 9})
    assert found["orders recorded twice"] == 1
    assert found["orders told done and never recorded"] == 1
    assert found["uploads told not run and recorded"] == 1
    assert found["bodies cut short"] == 1
    assert found["bytes sent twice"] == 45
