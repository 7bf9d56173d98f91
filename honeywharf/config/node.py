"""The deployment's configuration, read once into typed values."""

from __future__ import annotations

import os
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

import orjson

from honeywharf import wire
from honeywharf.core.transport import Address, address
from honeywharf.policy import interface as api

MAX_BYTES = 16 * 1024 * 1024  # of the file, with the known list of a large fleet


class ConfigError(Exception):
    """What is wrong with the configuration, in one plain line."""


@dataclass(slots=True, frozen=True)
class Config:
    """All that a proxy is told at its start. `known` is the last list, in discovery's form."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    sockets: int
    memory_mb: float
    known: dict[str, Any]
    settings: api.Settings
    report_fields: tuple[str, ...]  # as the settings name them
    operator: Address | None = None  # where operators' calls come, if they do
    inherited: int = -1  # the descriptor of a listening socket that the platform holds; under 0 for none
    raw: dict[str, Any] = field(default_factory=dict, repr=False, compare=False)  # as it was read


def load(environ: Mapping[str, str] = os.environ) -> Config:
    """The configuration that the environment names."""
    path = environ.get("NODE_CONFIG")
    if not path:
        raise ConfigError("NODE_CONFIG is not set")
    try:
        with open(path, "rb") as file:
            data = file.read(MAX_BYTES + 1)
        if len(data) > MAX_BYTES:
            raise ConfigError(f"NODE_CONFIG: found over {MAX_BYTES} bytes, wanted less")
        raw = orjson.loads(data)
    except OSError as fault:
        raise ConfigError(f"NODE_CONFIG: {fault.strerror or fault}") from None
    except orjson.JSONDecodeError as fault:
        raise ConfigError(f"NODE_CONFIG is not JSON: {fault}") from None
    if not isinstance(raw, dict):
        raise ConfigError("NODE_CONFIG: an object is wanted")
    try:
        return _typed(raw, environ)
    except (wire.WireError, ValueError) as fault:
        raise ConfigError(f"NODE_CONFIG: {fault}") from None


def _typed(raw: dict[str, Any], environ: Mapping[str, str]) -> Config:
    settings = raw.get("settings")
    if not isinstance(settings, dict):
        raise ValueError("settings: an object is wanted")
    known = raw.get("known", {"generation": 0, "instances": []})
    if not isinstance(known, dict):
        raise ValueError("known: an object is wanted")
    limits = raw.get("limits") or {}
    sockets = limits.get("sockets", 1024) if isinstance(limits, dict) else None
    if isinstance(sockets, bool) or not isinstance(sockets, int) or sockets < 32:
        raise ValueError("limits.sockets: a whole number of at least 32 is wanted")
    report = settings.get("report")
    fields = report.get("fields") if isinstance(report, dict) else None
    typed, operator = wire.settings(settings), raw.get("operator") or environ.get("NODE_OPERATOR")
    return Config(
        name=str(raw.get("name") or environ.get("NODE_NAME") or "proxy"),
        listen=_address("listen", raw.get("listen") or environ.get("NODE_LISTEN")),
        discovery=_address("discovery", raw.get("discovery") or environ.get("NODE_DISCOVERY")),
        seed=_seed(raw.get("seed")),
        sockets=sockets,
        memory_mb=_memory(limits.get("memory_mb", 192)),
        known=known,
        settings=typed,
        report_fields=tuple(fields) if isinstance(fields, list) else (),
        operator=_address("operator", operator) if operator else None,
        inherited=_inherited(environ.get("NODE_INHERITED_FD")),
        raw={k: v for k, v in raw.items() if k != "known"},
    )


def _address(key: str, value: object) -> Address:
    try:
        return address(value)
    except ValueError as fault:
        raise ValueError(f"{key}: {fault}") from None


def _inherited(value: str | None) -> int:
    if not value:
        return -1
    if not value.isascii() or not value.isdigit() or len(value) > 6:
        raise ValueError(f"NODE_INHERITED_FD: the number of a descriptor is wanted, not {value!r}")
    return int(value)


def _memory(value: object) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or not 16 <= value <= 1e6:
        raise ValueError(f"limits.memory_mb: a number of at least 16 is wanted, not {value!r}")
    return float(value)


def _seed(value: object) -> int:
    if isinstance(value, int):
        return value
    if not isinstance(value, str):
        raise ValueError("seed: hex digits are wanted")
    try:
        return int(value, 16)
    except ValueError:
        raise ValueError(f"seed: hex digits are wanted, not {value!r}") from None
