"""The sections of the state that a process hands over, and their validation. Without I/O.

    words    the operator state: banned and included endpoints, and whether the proxy is evacuated, with times
    ever     ids that discovery has listed before
    list     the endpoint list, in discovery's form, with its generation
    learned  the learned state of the balancer (`learned_state`)

An invalid section is skipped, and the new process starts without it.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from honeywharf.service.bans import MAX_BANS, MAX_FORMERLY_LISTED, MAX_ID_CHARS


@dataclass(slots=True)
class OperatorState:
    """The result of operators' commands, each with its time in Unix ms. The later command applies."""

    excluded_ms: dict[str, float] = field(default_factory=dict)
    included_ms: dict[str, float] = field(default_factory=dict)
    evacuated: bool = False
    evacuated_ms: float = 0.0

    def plain(self) -> dict[str, Any]:
        """Returns the value that is encoded as JSON."""
        return {
            "out": self.excluded_ms,
            "back": self.included_ms,
            "evacuated": self.evacuated,
            "at": self.evacuated_ms,
        }


def _parse_times(value: Any, maximum: int) -> dict[str, float]:
    if not isinstance(value, dict):
        return {}
    valid = (
        (k, float(v))
        for k, v in value.items()
        if isinstance(k, str)
        and 0 < len(k) <= MAX_ID_CHARS
        and not isinstance(v, bool)
        and isinstance(v, int | float)
        and 0 <= v < 1e15
    )
    return dict(sorted(valid, key=lambda item: item[1])[-maximum:])


def parse_operator_state(value: Any) -> OperatorState | None:
    """Parses an operator state; None if it is invalid."""
    if not isinstance(value, dict) or not isinstance(value.get("evacuated"), bool):
        return None
    evacuated_at_ms = value.get("at")
    if (
        isinstance(evacuated_at_ms, bool)
        or not isinstance(evacuated_at_ms, int | float)
        or not 0 <= evacuated_at_ms < 1e15
    ):
        return None
    return OperatorState(
        _parse_times(value.get("out"), MAX_BANS),
        _parse_times(value.get("back"), MAX_BANS),
        value["evacuated"],
        float(evacuated_at_ms),
    )


def parse_calls(value: Any) -> dict[str, int]:
    """Parses the calls in flight by zone; invalid entries are skipped."""
    if not isinstance(value, dict):
        return {}
    return {
        k: v
        for k, v in list(value.items())[:MAX_BANS]
        if isinstance(k, str) and isinstance(v, int) and not isinstance(v, bool) and 0 < v < 100_000
    }


def parse_ids(value: Any) -> list[str]:
    """Parses a bounded list of endpoint ids; invalid entries are skipped."""
    if not isinstance(value, list):
        return []
    return [x for x in value if isinstance(x, str) and 0 < len(x) <= MAX_ID_CHARS][-MAX_FORMERLY_LISTED:]


def parse_newer_list(value: Any, known_generation: int) -> Mapping[str, Any] | None:
    """Returns a list in discovery's form if its generation is newer; the entries are not validated."""
    if not isinstance(value, dict) or not isinstance(value.get("instances"), list):
        return None
    generation = value.get("generation")
    if isinstance(generation, bool) or not isinstance(generation, int) or generation <= known_generation:
        return None
    return value
