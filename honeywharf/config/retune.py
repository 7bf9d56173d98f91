"""What a reload may take over: a new file's settings whole, or nothing of it. Without I/O.

A file is held against the one in force: a key that the other has must not be missing, whatever default would
stand in for it: a file that was cut and mended by hand, or written half, looks like that. Of a class the
keys are wanted that all held classes of the same effect have (of all effects, where none has it: then less
those that only some effects use). What is there has been typed and bounded (`config.node`, `wire`).

Requests under way keep their class: a class that vanishes is known for its deadline more, and one whose
effect becomes stricter is asked for in its former form for as long, under the new effect.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace
from typing import Any

from honeywharf.config.node import Config
from honeywharf.policy import interface as api

OF_SOME_EFFECTS = frozenset({"group", "windowMs", "fifoByKey", "stream", "aimStretch"})
STRICTER = {api.Effect.REPEATABLE: 0, api.Effect.KEYED: 1, api.Effect.ONCE: 2}


class RetuneError(ValueError):
    """Why a file is turned down: the key, what was found, and what is wanted."""


def missing(held: Any, wanted: Any, path: str = "") -> str | None:
    """The first key that an object of the held file has and the other lacks; None where there is none.

    Lists are not compared: they grow and shrink. A null in place of a value counts as missing.
    """
    if not isinstance(held, dict):
        return None
    if not isinstance(wanted, dict):
        return path
    for key, value in held.items():
        here = f"{path}.{key}" if path else key
        if value is None:
            continue
        if wanted.get(key) is None:
            return here
        deeper = missing(value, wanted[key], here)
        if deeper is not None:
            return deeper
    return None


def class_keys(held: Iterable[Any], effect: object) -> frozenset[str]:
    """The keys that a class of that effect has to have, by the classes held."""
    classes = [c for c in held if isinstance(c, dict)]
    like = [c for c in classes if c.get("idempotency") == effect]
    shared: frozenset[str] | None = None
    for one in like or classes:
        keys = frozenset(k for k, v in one.items() if v is not None)
        shared = keys if shared is None else shared & keys
    return (shared or frozenset()) - (frozenset() if like else OF_SOME_EFFECTS)


def check(held: Config, wanted: Config) -> None:
    """RetuneError where the file as a whole is not to be taken over."""
    if wanted.name != held.name:
        raise RetuneError(f"name: found {wanted.name!r}, wanted {held.name!r}: this is another proxy's file")
    lacks = missing(held.raw, wanted.raw)
    if lacks is not None:
        raise RetuneError(f"{lacks}: found nothing, wanted a value, as in the file in force")
    before = held.raw.get("settings", {}).get("profiles", ())
    for row in wanted.raw.get("settings", {}).get("profiles", ()):
        for key in sorted(class_keys(before, row.get("idempotency"))):
            if row.get(key) is None:
                raise RetuneError(
                    f"settings.profiles.{row.get('name')}.{key}: found nothing, wanted a value, as the"
                    " classes in force have one"
                )


def between(held: api.Settings, wanted: api.Settings) -> api.Settings:
    """The settings that hold until what is under way has ended: the new ones, and classes that vanish."""
    names = {c.name for c in wanted.classes}
    return replace(wanted, classes=(*wanted.classes, *(c for c in held.classes if c.name not in names)))


def former(held: api.Settings, wanted: api.Settings) -> dict[str, api.RequestClass]:
    """By name, the classes whose former form is still asked for: those whose effect became stricter."""
    now = {c.name: c for c in wanted.classes}
    return {
        c.name: c for c in held.classes if c.name in now and STRICTER[now[c.name].effect] > STRICTER[c.effect]
    }


def grace_ms(held: api.Settings, wanted: api.Settings) -> float:
    """For how long both are in force: the longest deadline of what was taken before."""
    return max(c.deadline_ms for c in (*held.classes, *wanted.classes))
