"""What the platform would tell a proxy that is played here: settings, and the configuration round them."""

from __future__ import annotations

import socket
from collections.abc import Iterable, Mapping
from typing import Any

_GROUPS: dict[str, Any] = {
    "bounds": {
        "mostTries": 3, "cancel": True, "secondCopies": True, "probes": True, "retryAfter": True,
        "maxRetryAfterMs": 2000.0, "connIdleMs": 15000.0, "connectTimeoutMs": 200.0, "openCap": 20000,
    },
    "contract": {"coldShare": 0.3, "warmAfterMs": 8500.0, "graceToAnswerMs": 20.0},
    "discovery": "push", "me": 0, "nInstances": 1, "familyInfo": {"passesDeadline": True},
    "report": {"fields": [], "how": "silent"}, "tier": 0, "tiers": ["t"], "zone": "z", "zones": ["z"],
}


def settings(profiles: Iterable[Mapping[str, Any]], **changes: Any) -> dict[str, Any]:
    """Settings for these classes; `changes` replaces values, within a group key by key."""
    merged = {k: {**v, **changes.pop(k, {})} if isinstance(v, dict) else v for k, v in _GROUPS.items()}
    return {**merged, "profiles": list(profiles), **changes}


def configuration(
    told: Mapping[str, Any], discovery: int, rows: Iterable[Mapping[str, Any]] = (), *, port: int = 0,
    name: str = "n", seed: str = "7",
) -> dict[str, Any]:
    """`NODE_CONFIG` of a proxy on 127.0.0.1 that is told these settings and knows these backends.

    Without any it knows no generation either, and asks discovery for all."""
    known = list(rows)
    return {
        "name": name, "listen": f"127.0.0.1:{port}", "discovery": f"127.0.0.1:{discovery}", "seed": seed,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"generation": int(bool(known)), "reset": True, "instances": known}, "settings": dict(told),
    }


def free_ports(number: int) -> list[int]:
    """Ports of 127.0.0.1 that were free a moment ago."""
    held = [socket.socket() for _ in range(number)]
    for one in held:
        one.bind(("127.0.0.1", 0))
    ports = [one.getsockname()[1] for one in held]
    for one in held:
        one.close()
    return ports
