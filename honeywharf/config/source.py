"""The effective configuration of a proxy, the source of each value, and the changes that files would make.

Values are flat: a JSON value for each dotted key. The platform's configuration has the prefix `node.`,
features have their section. The file of a password is named but not read, and a collector's header lines are
not shown.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterator, Mapping
from enum import Enum
from pathlib import Path
from typing import Any

import msgspec

from honeywharf.config import features as of_features, key_positions, node

#: The keys that SIGHUP reloads, with all keys below them. Changes of other keys need a restart.
RELOADED_KEYS = ("node.discovery", "node.settings", "node.report_fields")
SECRET_KEYS = ("traces.otlp.headers",)  # May contain credentials.
UNLISTED_KEYS = frozenset({"node.known", "node.seed", "node.raw"})  # Not set by operators.


class Value(msgspec.Struct, frozen=True):
    """The effective value of one key, and its source: a file with a line, or `default`."""

    key: str
    value: Any
    source: str


class Difference(msgspec.Struct, frozen=True):
    """One key that a file would change; `when` is "reload" or "start"."""

    key: str
    held: Any
    wanted: Any
    when: str


def to_json_types(value: Any) -> Any:
    """Converts a value to the types of JSON."""
    if isinstance(value, Enum):
        return value.value
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        return {f.name: to_json_types(getattr(value, f.name)) for f in dataclasses.fields(value)}
    if isinstance(value, msgspec.Struct):
        return {f: to_json_types(getattr(value, f)) for f in value.__struct_fields__}
    if isinstance(value, Mapping):
        return {str(k): to_json_types(v) for k, v in value.items()}
    if isinstance(value, list | tuple | set | frozenset):
        return [to_json_types(v) for v in value]
    return value


def flatten(value: Any, prefix: str = "") -> Iterator[tuple[str, Any]]:
    """Yields each value that is not a table, or is an empty table, with its dotted key."""
    if isinstance(value, dict) and value:
        for name, inner in value.items():
            yield from flatten(inner, f"{prefix}.{name}" if prefix else name)
    else:
        yield prefix, value


def values(conf: node.Config, features: of_features.Features | None) -> dict[str, Any]:
    """Returns the listed values of a configuration by key."""
    described = {"node": to_json_types(conf), **to_json_types(features or of_features.Features())}
    described["node"]["listen"] = "{}:{}".format(*conf.listen)
    described["node"]["discovery"] = "{}:{}".format(*conf.discovery)
    flat_values = {}
    for key, value in flatten(described):
        if key.rpartition(".")[0] in UNLISTED_KEYS or any(key.startswith(k) for k in UNLISTED_KEYS):
            continue
        is_secret = any(key.startswith(k) for k in SECRET_KEYS) and value
        flat_values[key] = "(not shown)" if is_secret else value
    return flat_values


def effective_configuration(
    conf: node.Config,
    features: of_features.Features | None,
    environ: Mapping[str, str],
) -> dict[str, object]:
    """Returns the answer of a running proxy about its configuration: values and file names."""
    return {
        "values": values(conf, features),
        "node_file": environ.get("NODE_CONFIG", ""),
        "features_file": environ.get(of_features.VARIABLE, ""),
    }


def with_sources(effective: Mapping[str, Any]) -> list[Value]:
    """Returns each key of `effective_configuration` with its source, as far as the files are readable."""
    file = str(effective["features_file"])
    positions_by_path: dict[tuple[str | int, ...], tuple[int, int]] = {}
    try:
        positions_by_path = key_positions.positions(Path(file).read_text("utf-8")) if file else {}
    except (OSError, UnicodeDecodeError):
        file = ""
    sourced_values = []
    for key, value in effective["values"].items():
        if key.startswith("node."):
            sourced_values.append(Value(key, value, str(effective["node_file"]) or "environment"))
            continue
        position = positions_by_path.get(tuple(key.split(".")))
        sourced_values.append(
            Value(key, value, f"{file}:{position[0]}" if position is not None else "default")
        )
    return sourced_values


def differences(held: Mapping[str, Any], wanted: Mapping[str, Any]) -> list[Difference]:
    """Returns the keys whose values differ, with what applies the change: a reload or a start."""
    keys = [*held, *(k for k in wanted if k not in held)]
    return [
        Difference(k, held.get(k), wanted.get(k), "reload" if k.startswith(RELOADED_KEYS) else "start")
        for k in keys
        if held.get(k) != wanted.get(k)
    ]
