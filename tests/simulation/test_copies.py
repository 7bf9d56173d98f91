"""Copies of a deployment's file: numbers change only before the first day."""

from __future__ import annotations

import tomllib
from typing import Any

import pytest

from bench.mesh_copies import COPIES, copy_text, scale_number

SITE = """name = "harbour"
machines = [
  { class = "side", zone = "a", count = 2, app = "x" },
  { class = "side", zone = "b", count = 1, app = "y" },
  { class = "core", zone = "a", count = 1, spare = 1 },
  { class = "core", zone = "b", count = 1, spare = 1 },
  { class = "core", zone = "c", count = 1, spare = 1 },
]
services = [
  { name = "x", slots = 9, queue = 36, conn_cap = 110, idle_close_ms = 10000 },
]
cold = { cold_s = 3.0, cold_per_s = 9.0 }
net = { in_zone_ms = 0.2, cross_zone_ms = 1.4, client_ms = 8.0 }
discovery = { beat_ms = 1300, lag_ms = 800 }
bounds = { drain_ms = 2000, config_ms = 2000, budget_slack = 56.0, cold_slack = 5.0 }
more = { touch_ms = 3000, ack_ms = 4000, outer_ms = 5000, grace_s = 6.0 }

[[day]]
name = "quiet-1"
faults = [{ kind = "node_kill", count = 1, beat_ms = 1300 }]
"""


@pytest.mark.parametrize("name", COPIES)
def test_a_copy_is_another_deployment_with_the_same_days(name: str) -> None:
    before, after = tomllib.loads(SITE), tomllib.loads(copy_text(SITE, name))
    assert after["name"] == f"harbour-{name}"
    assert after["day"] == before["day"]
    changed_keys = {key for key in before if before[key] != after[key]}
    assert len(changed_keys) > 3, changed_keys


def counts(site: dict[str, Any], kind: str) -> list[int]:
    return [machine["count"] for machine in site["machines"] if machine["class"] == kind]


def test_a_wide_copy_has_five_core_machines() -> None:
    wide = tomllib.loads(copy_text(SITE, "wide"))
    assert counts(wide, "core") == [2, 2, 1]
    assert counts(wide, "side") == [2, 2]


def test_numbers_keep_their_type_and_missing_ones_are_reported() -> None:
    assert scale_number("a_ms", 0.5)("xa_ms = 3, a_ms = 7, b = 1") == "xa_ms = 3, a_ms = 4, b = 1"
    assert scale_number("a", 0.5)("a = 3.0") == "a = 1.5"
    assert scale_number("slots", 0.1, 2.0)("slots = 9") == "slots = 2"
    with pytest.raises(ValueError, match="beat_ms: expected a number"):
        scale_number("beat_ms", 2.0)("a = 1")
