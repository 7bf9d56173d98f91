"""Rules for a reload: a new file's settings are applied completely or not at all. Does no I/O.

Each key of the current file must be present in the new one, even if it has a default, because a truncated
file lacks keys. A request class must have the keys that all current classes with the same effect have; if no
class has this effect, those that all current classes have, except the keys that are specific to some effects.
Types and ranges are checked by `config.node` and `wire`.

Pending requests keep their class: a removed class stays known until the longest deadline has passed, and a
class whose effect becomes stricter keeps its former form for as long, under the new effect.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace
from typing import Any

from honeywharf.config.node import Config
from honeywharf.policy import interface as api

EFFECT_SPECIFIC_KEYS = frozenset({"group", "windowMs", "fifoByKey", "stream", "aimStretch"})
STRICTNESS = {api.Effect.REPEATABLE: 0, api.Effect.KEYED: 1, api.Effect.ONCE: 2}


class ReloadError(ValueError):
    """A rejected file: names the key, the expected value and the actual one."""


def first_missing_key(current: Any, new: Any, path: str = "") -> str | None:
    """Returns the path of the first key that the current file has and the new one lacks, or None.

    Lists are not compared, because they may grow and shrink. A null counts as missing.
    """
    if not isinstance(current, dict):
        return None
    if not isinstance(new, dict):
        return path
    for key, value in current.items():
        key_path = f"{path}.{key}" if path else key
        if value is None:
            continue
        if new.get(key) is None:
            return key_path
        missing = first_missing_key(value, new[key], key_path)
        if missing is not None:
            return missing
    return None


def required_class_keys(current: Iterable[Any], effect: object) -> frozenset[str]:
    """Returns the keys that a class with this effect must have, given the current classes."""
    classes = [c for c in current if isinstance(c, dict)]
    same_effect = [c for c in classes if c.get("idempotency") == effect]
    common_keys: frozenset[str] | None = None
    for request_class in same_effect or classes:
        keys = frozenset(k for k, v in request_class.items() if v is not None)
        common_keys = keys if common_keys is None else common_keys & keys
    return (common_keys or frozenset()) - (frozenset() if same_effect else EFFECT_SPECIFIC_KEYS)


def check(current: Config, new: Config) -> None:
    """Raises ReloadError if the new file must not be applied."""
    if new.name != current.name:
        raise ReloadError(f"name: expected {current.name!r}, got {new.name!r}: this is another proxy's file")
    missing_key = first_missing_key(current.raw, new.raw)
    if missing_key is not None:
        raise ReloadError(f"{missing_key}: expected a value, as in the current file, got nothing")
    current_classes = current.raw.get("settings", {}).get("profiles", ())
    for new_class in new.raw.get("settings", {}).get("profiles", ()):
        for key in sorted(required_class_keys(current_classes, new_class.get("idempotency"))):
            if new_class.get(key) is None:
                raise ReloadError(
                    f"settings.profiles.{new_class.get('name')}.{key}: expected a value, as the"
                    " current classes have, got nothing"
                )


def transition_settings(current: api.Settings, new: api.Settings) -> api.Settings:
    """Returns the settings for the transition: the new ones, with the removed classes added."""
    names = {c.name for c in new.classes}
    return replace(new, classes=(*new.classes, *(c for c in current.classes if c.name not in names)))


def former_classes(current: api.Settings, new: api.Settings) -> dict[str, api.RequestClass]:
    """Returns the current form, by name, of the classes whose effect becomes stricter."""
    new_classes = {c.name: c for c in new.classes}
    return {
        c.name: c
        for c in current.classes
        if c.name in new_classes and STRICTNESS[new_classes[c.name].effect] > STRICTNESS[c.effect]
    }


def transition_ms(current: api.Settings, new: api.Settings) -> float:
    """Returns the length of the transition: the longest deadline of all current and new classes."""
    return max(c.deadline_ms for c in (*current.classes, *new.classes))
