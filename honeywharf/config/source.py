"""What configuration is in force, where each value comes from, and what a reload or a start would change.

Values are flat, by dotted key, as plain as JSON: the platform's configuration under `node.`, features under
their sections. A password's file is named, never read; header lines for a collector are not shown.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterator, Mapping
from enum import Enum
from pathlib import Path
from typing import Any

import msgspec

from honeywharf.config import features as of_features, node, places

#: What SIGHUP takes over, with all below it; all else waits for a start.
RELOADED = ("node.discovery", "node.settings", "node.report_fields")
HIDDEN = ("traces.otlp.headers",)  # values that may be credentials
UNSHOWN = frozenset({"node.known", "node.seed", "node.raw"})  # a list of nodes, and what nobody sets


class Value(msgspec.Struct, frozen=True):
    """One key: what is in force, and the file and line that say so, or `default`."""

    key: str
    value: Any
    source: str


class Difference(msgspec.Struct, frozen=True):
    """One key that a file would change; `when`: "reload" or "start"."""

    key: str
    held: Any
    wanted: Any
    when: str


def plain(value: Any) -> Any:
    """As JSON has it."""
    if isinstance(value, Enum):
        return value.value
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        return {f.name: plain(getattr(value, f.name)) for f in dataclasses.fields(value)}
    if isinstance(value, msgspec.Struct):
        return {f: plain(getattr(value, f)) for f in value.__struct_fields__}
    if isinstance(value, Mapping):
        return {str(k): plain(v) for k, v in value.items()}
    if isinstance(value, list | tuple | set | frozenset):
        return [plain(v) for v in value]
    return value


def flat(value: Any, above: str = "") -> Iterator[tuple[str, Any]]:
    """Each value that is no table, by its dotted key; an empty table is one."""
    if isinstance(value, dict) and value:
        for name, inner in value.items():
            yield from flat(inner, f"{above}.{name}" if above else name)
    else:
        yield above, value


def values(conf: node.Config, features: of_features.Features | None) -> dict[str, Any]:
    """All that is in force, by key."""
    told = {"node": plain(conf), **plain(features or of_features.Features())}
    told["node"]["listen"] = "{}:{}".format(*conf.listen)
    told["node"]["discovery"] = "{}:{}".format(*conf.discovery)
    found = {}
    for key, value in flat(told):
        if key.rpartition(".")[0] in UNSHOWN or any(key.startswith(k) for k in UNSHOWN):
            continue
        hidden = any(key.startswith(k) for k in HIDDEN) and value
        found[key] = "(not shown)" if hidden else value
    return found


def in_force(
    conf: node.Config,
    features: of_features.Features | None,
    environ: Mapping[str, str],
) -> dict[str, object]:
    """What a running proxy tells of its configuration."""
    return {
        "values": values(conf, features),
        "node_file": environ.get("NODE_CONFIG", ""),
        "features_file": environ.get(of_features.VARIABLE, ""),
    }


def sourced(told: Mapping[str, Any]) -> list[Value]:
    """Each key of `in_force` with its source, as far as the files can still be read."""
    file = str(told["features_file"])
    found: dict[tuple[str | int, ...], tuple[int, int]] = {}
    try:
        found = places.places(Path(file).read_text("utf-8")) if file else {}
    except (OSError, UnicodeDecodeError):
        file = ""
    made = []
    for key, value in told["values"].items():
        if key.startswith("node."):
            made.append(Value(key, value, str(told["node_file"]) or "environment"))
            continue
        place = found.get(tuple(key.split(".")))
        made.append(Value(key, value, f"{file}:{place[0]}" if place is not None else "default"))
    return made


def differences(held: Mapping[str, Any], wanted: Mapping[str, Any]) -> list[Difference]:
    """The keys whose values differ, and when what the files say would be taken over."""
    keys = [*held, *(k for k in wanted if k not in held)]
    return [
        Difference(k, held.get(k), wanted.get(k), "reload" if k.startswith(RELOADED) else "start")
        for k in keys
        if held.get(k) != wanted.get(k)
    ]
