"""All that an old process gives, as one value of named sections, and its check when it is taken. Without I/O.

    words    what operators said last: who is out and back, and whether the proxy is evacuated, each with
    its time ever     ids that lists have named before list     discovery's list as it was held, in
    discovery's form, with its generation learned  what the decision module has learned (`knowledge`)

A section that makes no sense is left out, and the new process begins there as it would from nothing.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from honeywharf.service.bans import MAX_BANS, MAX_FORMERLY_LISTED, MAX_ID_CHARS


@dataclass(slots=True)
class Words:
    """What operators said last, each with its time in Unix ms. The later word on one thing holds."""

    excluded_ms: dict[str, float] = field(default_factory=dict)
    included_ms: dict[str, float] = field(default_factory=dict)
    evacuated: bool = False
    evacuated_ms: float = 0.0

    def plain(self) -> dict[str, Any]:
        """As JSON has it."""
        return {
            "out": self.excluded_ms,
            "back": self.included_ms,
            "evacuated": self.evacuated,
            "at": self.evacuated_ms,
        }


def _times(value: Any, most: int) -> dict[str, float]:
    if not isinstance(value, dict):
        return {}
    sound = (
        (k, float(v))
        for k, v in value.items()
        if isinstance(k, str)
        and 0 < len(k) <= MAX_ID_CHARS
        and not isinstance(v, bool)
        and isinstance(v, int | float)
        and 0 <= v < 1e15
    )
    return dict(sorted(sound, key=lambda item: item[1])[-most:])


def words(value: Any) -> Words | None:
    """Operators' words; None where these are none."""
    if not isinstance(value, dict) or not isinstance(value.get("evacuated"), bool):
        return None
    at = value.get("at")
    if isinstance(at, bool) or not isinstance(at, int | float) or not 0 <= at < 1e15:
        return None
    return Words(
        _times(value.get("out"), MAX_BANS), _times(value.get("back"), MAX_BANS), value["evacuated"], float(at)
    )


def calls(value: Any) -> dict[str, int]:
    """Calls by zone."""
    if not isinstance(value, dict):
        return {}
    return {
        k: v
        for k, v in list(value.items())[:MAX_BANS]
        if isinstance(k, str) and isinstance(v, int) and not isinstance(v, bool) and 0 < v < 100_000
    }


def names(value: Any) -> list[str]:
    """Ids, bounded."""
    if not isinstance(value, list):
        return []
    return [x for x in value if isinstance(x, str) and 0 < len(x) <= MAX_ID_CHARS][-MAX_FORMERLY_LISTED:]


def newer(value: Any, than: int) -> Mapping[str, Any] | None:
    """A list in discovery's form, where its generation is a later one; what is in it is for who reads it."""
    if not isinstance(value, dict) or not isinstance(value.get("instances"), list):
        return None
    generation = value.get("generation")
    if isinstance(generation, bool) or not isinstance(generation, int) or generation <= than:
        return None
    return value
