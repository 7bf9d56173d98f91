"""`honeywharf demo --upgrade`: upgrades, an exclusion and an evacuation under load; counts violations."""

from __future__ import annotations

import asyncio
import signal
import tempfile
import time
from collections.abc import Callable
from pathlib import Path

from honeywharf.lab.model import Node, NodeSpec, Rack
from honeywharf.standins import node
from honeywharf.standins.backend import Backend
from honeywharf.standins.platform import Load, Platform, send_command
from honeywharf.standins.registry import Registry

ORDER_CLASS = {
    "name": "order",
    "aimMs": 1000.0,
    "deadlineMs": 2000.0,
    "idempotency": "by_key",
    "group": "cell",
    "windowMs": 7500.0,
}
NODES = 4
UPGRADES = 3
EXCLUSION_GRACE_S = 0.55  # After the reply to `exclude`.


async def _run(rate: float, seed: int, echo: Callable[[str], None]) -> int:
    rack = Rack(7500.0)
    backends = [
        await Backend(Node(NodeSpec(cores=8)), rack, work_ms=10.0, seed=seed + i).start()
        for i in range(NODES)
    ]
    registry = await Registry().start()
    await registry.put(*(backend.row(f"n{i}") for i, backend in enumerate(backends)))
    late_requests = 0
    with tempfile.TemporaryDirectory() as folder:
        platform = Platform(Path(folder), node.configuration(node.settings([ORDER_CLASS]), registry.port))
        try:
            await platform.start()
            load = Load(platform.port, rate, 32)
            load.begin()
            await asyncio.sleep(0.5)
            for number in range(UPGRADES):
                duration_s = await platform.replace(2.0)
                echo(
                    f"upgrade {number + 1}: the old process ended {duration_s * 1000.0:.0f} ms after SIGTERM"
                )
            echo("exclude n0: " + await send_command(platform.operator, "exclude n0"))
            await asyncio.sleep(EXCLUSION_GRACE_S)
            accepted_before = backends[0].accepted
            duration_s = await platform.replace(2.0)
            echo(f"an upgrade meanwhile: {duration_s * 1000.0:.0f} ms")
            await asyncio.sleep(1.0)
            late_requests = backends[0].accepted - accepted_before
            echo(f"new requests to n0 while it was out: {late_requests}")
            echo("include n0: " + await send_command(platform.operator, "include n0"))
            await asyncio.sleep(0.5)
            await load.end()
            evacuated = await _evacuate(platform, echo)
        finally:
            platform.close()
            for backend in backends:
                await backend.stop()
            await registry.stop()
    return _print_verdict(
        load,
        late_requests,
        evacuated,
        sum(backend.node.fallen for backend in backends if backend.node is not None),
        echo,
    )


async def _evacuate(platform: Platform, echo: Callable[[str], None]) -> bool:
    """Evacuates the proxy under load and activates it again. Returns whether both were done in time."""
    load = Load(platform.port, 100.0, 16)
    load.begin()
    await asyncio.sleep(0.3)
    started = time.monotonic()
    echo("evacuate: " + await send_command(platform.operator, "evacuate"))
    load.ending = True  # The front opens no connections now; open ones finish.
    while "empty" not in await send_command(platform.operator, "readyz") and time.monotonic() - started < 5.0:
        await asyncio.sleep(0.05)
    empty_s = time.monotonic() - started
    await load.end()
    started = time.monotonic()
    echo("activate: " + await send_command(platform.operator, "activate"))
    while (
        not (await send_command(platform.operator, "readyz")).startswith("OK")
        and time.monotonic() - started < 5.0
    ):
        await asyncio.sleep(0.02)
    back_s = time.monotonic() - started
    echo(f"empty after {empty_s:.2f} s (4 allowed), back after {back_s:.2f} s (2 allowed)")
    return empty_s < 4.0 and back_s < 2.0 and not load.outcomes["lost"]


def _print_verdict(
    load: Load,
    late_requests: int,
    evacuated: bool,
    overloaded: int,
    echo: Callable[[str], None],
) -> int:
    outcomes = load.outcomes
    echo("clients met: " + ", ".join(f"{n} {outcome}" for outcome, n in sorted(outcomes.items())))
    violations = {
        "no request lost": outcomes["lost"] + outcomes["given up"] + (0 if evacuated else 1),
        "no connection closed under a request": outcomes["reset"] + outcomes["refused"],
        "drains kept": late_requests,
        "cold backends not pushed over": overloaded,
    }
    for rule, count in violations.items():
        echo(f"{rule}: " + ("held" if count == 0 else f"BROKEN {count} times"))
    return 1 if any(violations.values()) else 0


def show(rate: float, seed: int, echo: Callable[[str], None]) -> int:
    """Runs the demo. Returns 1 if a rule was violated, else 0."""
    signal.signal(signal.SIGPIPE, signal.SIG_IGN)
    return asyncio.run(_run(rate, seed, echo))
