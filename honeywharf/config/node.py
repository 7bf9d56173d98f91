"""The platform's configuration of a proxy (NODE_CONFIG), parsed into typed values."""

from __future__ import annotations

import os
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

import orjson

from honeywharf import wire
from honeywharf.core.transport import Address, address
from honeywharf.policy import interface as api

MAX_BYTES = 16 * 1024 * 1024  # Room for the `known` list of a large fleet.


class ConfigError(Exception):
    """An invalid configuration; the message is one line."""


@dataclass(slots=True, frozen=True)
class Config:
    """The configuration that a proxy starts with. `known` is the last list in discovery's format."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    sockets: int
    memory_mb: float
    known: dict[str, Any]
    settings: api.Settings
    report_fields: tuple[str, ...]  # Named as in the settings.
    operator: Address | None = None  # The listen address for operators' commands.
    inherited: int = -1  # Descriptor of a listening socket that the platform holds; negative for none.
    raw: dict[str, Any] = field(
        default_factory=dict, repr=False, compare=False
    )  # The parsed JSON without `known`.


def load(environ: Mapping[str, str] = os.environ) -> Config:
    """Reads the file that NODE_CONFIG names. Raises ConfigError if it is missing or invalid."""
    path = environ.get("NODE_CONFIG")
    if not path:
        raise ConfigError("NODE_CONFIG: expected the path of a file, got nothing")
    try:
        with open(path, "rb") as file:
            data = file.read(MAX_BYTES + 1)
        if len(data) > MAX_BYTES:
            raise ConfigError(f"NODE_CONFIG: expected at most {MAX_BYTES} bytes, got more")
        raw = orjson.loads(data)
    except OSError as error:
        raise ConfigError(f"NODE_CONFIG: {error.strerror or error}") from None
    except orjson.JSONDecodeError as error:
        raise ConfigError(f"NODE_CONFIG: expected JSON, got {error}") from None
    if not isinstance(raw, dict):
        raise ConfigError(f"NODE_CONFIG: expected an object, got {type(raw).__name__}")
    try:
        return _parse(raw, environ)
    except (wire.WireError, ValueError) as error:
        raise ConfigError(f"NODE_CONFIG: {error}") from None


def _parse(raw: dict[str, Any], environ: Mapping[str, str]) -> Config:
    settings = raw.get("settings")
    if not isinstance(settings, dict):
        raise ValueError(f"settings: expected an object, got {type(settings).__name__}")
    known = raw.get("known", {"generation": 0, "instances": []})
    if not isinstance(known, dict):
        raise ValueError(f"known: expected an object, got {type(known).__name__}")
    limits = raw.get("limits") or {}
    sockets = limits.get("sockets", 1024) if isinstance(limits, dict) else None
    if isinstance(sockets, bool) or not isinstance(sockets, int) or sockets < 32:
        raise ValueError(f"limits.sockets: expected an integer of at least 32, got {sockets!r}")
    report = settings.get("report")
    fields = report.get("fields") if isinstance(report, dict) else None
    parsed_settings, operator = wire.settings(settings), raw.get("operator") or environ.get("NODE_OPERATOR")
    return Config(
        name=str(raw.get("name") or environ.get("NODE_NAME") or "proxy"),
        listen=_address("listen", raw.get("listen") or environ.get("NODE_LISTEN")),
        discovery=_address("discovery", raw.get("discovery") or environ.get("NODE_DISCOVERY")),
        seed=_seed(raw.get("seed")),
        sockets=sockets,
        memory_mb=_memory(limits.get("memory_mb", 192)),
        known=known,
        settings=parsed_settings,
        report_fields=tuple(fields) if isinstance(fields, list) else (),
        operator=_address("operator", operator) if operator else None,
        inherited=_inherited(environ.get("NODE_INHERITED_FD")),
        raw={k: v for k, v in raw.items() if k != "known"},
    )


def _address(key: str, value: object) -> Address:
    try:
        return address(value)
    except ValueError as error:
        raise ValueError(f"{key}: {error}") from None


def _inherited(value: str | None) -> int:
    if not value:
        return -1
    if not value.isascii() or not value.isdigit() or len(value) > 6:
        raise ValueError(f"NODE_INHERITED_FD: expected a file descriptor, got {value!r}")
    return int(value)


def _memory(value: object) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or not 16 <= value <= 1e6:
        raise ValueError(f"limits.memory_mb: expected a number from 16 to 1000000, got {value!r}")
    return float(value)


def _seed(value: object) -> int:
    if isinstance(value, int):
        return value
    if not isinstance(value, str):
        raise ValueError(f"seed: expected hex digits, got {value!r}")
    try:
        return int(value, 16)
    except ValueError:
        raise ValueError(f"seed: expected hex digits, got {value!r}") from None
