"""Orders by both protocols over a bad network: each key is charged once, and not so without order keys."""

from __future__ import annotations

import asyncio
from pathlib import Path

from honeywharf.standins.coapday import day
from honeywharf.standins.keyday import PROCESS


def test_a_key_tried_by_coap_and_http_clients_is_charged_once(tmp_path: Path) -> None:
    found = {}
    for name, features in (("off", ""), ("on", PROCESS)):
        folder = tmp_path / name
        folder.mkdir()
        found[name] = asyncio.run(day(features, 150, 1, folder))
    assert found["off"]["twice"] > 0
    assert found["on"]["twice"] == 0
    assert not any(found["on"]["faults"].values())
    assert found["on"]["by CoAP"] > 100
    assert found["on"]["by CoAP nodes"] > 20
    assert found["on"]["duplicate"] > 0
    assert found["on"]["lost"] > 0
