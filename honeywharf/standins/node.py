"""What the platform would tell a proxy that is played here: settings, and the configuration round them."""

from __future__ import annotations

import random
import socket
from collections import deque
from collections.abc import Iterable, Mapping
from typing import Any

LOCAL = "127.0.0.1"
PORTS = (16384, 32768)  # under those that Linux gives to sockets that ask for no port
MAX_HELD = 512  # descriptors; the port held longest is let go
MAX_TRIED = 1000
_held: deque[socket.socket] = deque()
_draw = random.Random()  # not the shared one, which tests seed

_GROUPS: dict[str, Any] = {
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
    """Settings for these classes; `changes` replaces values, within a group key by key."""
    merged = {k: {**v, **changes.pop(k, {})} if isinstance(v, dict) else v for k, v in _GROUPS.items()}
    return {**merged, "profiles": list(profiles), **changes}


def configuration(
    told: Mapping[str, Any],
    discovery: int,
    rows: Iterable[Mapping[str, Any]] = (),
    *,
    port: int = 0,
    name: str = "n",
    seed: str = "7",
) -> dict[str, Any]:
    """`NODE_CONFIG` of a proxy on 127.0.0.1 that is told these settings and knows these backends.

    Without any it knows no generation either, and asks discovery for all.
    """
    known = list(rows)
    return {
        "name": name,
        "listen": f"127.0.0.1:{port}",
        "discovery": f"127.0.0.1:{discovery}",
        "seed": seed,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"generation": int(bool(known)), "reset": True, "instances": known},
        "settings": dict(told),
    }


def free_ports(number: int) -> list[int]:
    """Ports of 127.0.0.1, for TCP and UDP, that stay this process's: the last `MAX_HELD` until it ends.

    Each is held by a socket that is bound and does not listen, and lies under those that the system gives to
    who asks for none: guards against another process's listener, or a connection's own end, taking it while
    who is to listen there has not begun, or is away. A connection to it is refused meanwhile. Listeners have
    to set SO_REUSEADDR, as asyncio's do. OSError where none is found.
    """
    return [_held_port() for _ in range(number)]


def _held_port() -> int:
    for _ in range(MAX_TRIED):
        made, port = socket.socket(), _draw.randrange(*PORTS)
        try:
            made.bind((LOCAL, port))  # not to be shared with another that looks: that is allowed afterwards
            made.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            with socket.socket(type=socket.SOCK_DGRAM) as datagrams:
                datagrams.bind((LOCAL, port))
        except OSError:
            made.close()
            continue
        _held.append(made)
        if len(_held) > MAX_HELD:
            _held.popleft().close()
        return port
    raise OSError(f"found no free port of {MAX_TRIED} in {PORTS[0]}-{PORTS[1] - 1}, wanted one")
