"""Settings and configuration files of a proxy under test, and ports that stay reserved for this process."""

from __future__ import annotations

import random
import socket
from collections import deque
from collections.abc import Iterable, Mapping
from typing import Any

LOOPBACK = "127.0.0.1"
PORT_RANGE = (16384, 32768)  # Below the ephemeral ports of Linux.
MAX_RESERVED_PORTS = 512  # Each takes a descriptor; the oldest is released first.
MAX_PORT_ATTEMPTS = 1000
_reserved: deque[socket.socket] = deque()
_random = random.Random()  # Apart from the shared generator, which tests seed.

_DEFAULTS: dict[str, Any] = {
    "bounds": {
        "mostTries": 3,
        "cancel": True,
        "secondCopies": True,
        "probes": True,
        "retryAfter": True,
        "maxRetryAfterMs": 2000.0,
        "connIdleMs": 15000.0,
        "connectTimeoutMs": 200.0,
        "openCap": 20000,
    },
    "contract": {"coldShare": 0.3, "warmAfterMs": 8500.0, "graceToAnswerMs": 20.0},
    "discovery": "push",
    "me": 0,
    "nInstances": 1,
    "familyInfo": {"passesDeadline": True},
    "report": {"fields": [], "how": "silent"},
    "tier": 0,
    "tiers": ["t"],
    "zone": "z",
    "zones": ["z"],
}


def settings(profiles: Iterable[Mapping[str, Any]], **changes: Any) -> dict[str, Any]:
    """Returns settings for these request classes. `changes` replaces values, within a group key by key."""
    merged = {k: {**v, **changes.pop(k, {})} if isinstance(v, dict) else v for k, v in _DEFAULTS.items()}
    return {**merged, "profiles": list(profiles), **changes}


def configuration(
    proxy_settings: Mapping[str, Any],
    discovery: int,
    rows: Iterable[Mapping[str, Any]] = (),
    *,
    port: int = 0,
    name: str = "n",
    seed: str = "7",
) -> dict[str, Any]:
    """Returns the `NODE_CONFIG` of a proxy on 127.0.0.1 with these settings and these known backends.

    Without known backends it starts at generation 0 and requests the full list from discovery.
    """
    known = list(rows)
    return {
        "name": name,
        "listen": f"127.0.0.1:{port}",
        "discovery": f"127.0.0.1:{discovery}",
        "seed": seed,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"generation": int(bool(known)), "reset": True, "instances": known},
        "settings": dict(proxy_settings),
    }


def free_ports(number: int) -> list[int]:
    """Reserves ports of 127.0.0.1 for TCP and UDP; the last `MAX_RESERVED_PORTS` stay reserved until exit.

    A bound socket that does not listen reserves each port, which lies below the ephemeral range. This guards
    against another listener or an outgoing connection that takes the port while its server is not running.
    Connections to it are refused meanwhile. Listeners must set SO_REUSEADDR, as those of asyncio do. OSError
    if no port is free.
    """
    return [_reserve_port() for _ in range(number)]


def _reserve_port() -> int:
    for _ in range(MAX_PORT_ATTEMPTS):
        stream, port = socket.socket(), _random.randrange(*PORT_RANGE)
        try:
            stream.bind((LOOPBACK, port))  # SO_REUSEADDR only follows, so that no other search shares it.
            stream.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            with socket.socket(type=socket.SOCK_DGRAM) as datagram:
                datagram.bind((LOOPBACK, port))
        except OSError:
            stream.close()
            continue
        _reserved.append(stream)
        if len(_reserved) > MAX_RESERVED_PORTS:
            _reserved.popleft().close()
        return port
    raise OSError(
        f"expected a free port in {PORT_RANGE[0]}-{PORT_RANGE[1] - 1},"
        f" got none in {MAX_PORT_ATTEMPTS} attempts"
    )
