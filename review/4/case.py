"""Core machines are replaced in turn while configurations change; in the end nothing can be read back.

The same as day.toml, on loopback, with `catch-up` taken at its word: the next machine goes as soon as the
last successor has had that time.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from mesh2 import (
    BROKEN,
    CONTROL,
    HELD,
    TROUBLE,
    ZONES,
    Machine,
    Mesh,
    Record,
    call,
    configuration,
    play,
    route,
)

CATCH_UP_S, MARGIN_S = 4.0, 0.2
REPLACEMENTS = 5
STORM_S, STORM_PAUSE_S, GAP_S = 2.0, 0.1, 0.08  # as on the site's day trouble-1
READ_FOR_S = 25.0  # `recovery` is 15 s


class Changes:
    """An operator who changes the configuration in storms; each change is repeated until it is taken."""

    def __init__(self, mesh: Mesh) -> None:
        self.mesh, self.acked, self.sent, self.acked_at = mesh, mesh.version, mesh.version, mesh.record.now
        self.task = asyncio.create_task(self._run())

    async def _run(self) -> None:
        storm_ends_at = self.mesh.record.now + STORM_S
        while True:
            began_at = self.mesh.record.now
            await self._change()
            if self.mesh.record.now >= storm_ends_at:
                await asyncio.sleep(STORM_PAUSE_S)
                storm_ends_at = self.mesh.record.now + STORM_S
            await asyncio.sleep(max(0.0, began_at + GAP_S - self.mesh.record.now))

    async def _change(self) -> None:
        self.sent += 1
        routes = [route("/tiles/", "read_only", "tile-vault", timeout=f"{4000 + self.sent % 900}ms")]
        body, turn = configuration(self.sent, routes, self.mesh.sidecars), self.sent
        while True:
            machine = self.mesh.control[turn % len(self.mesh.control)]
            turn += 1
            with contextlib.suppress(OSError, EOFError, TimeoutError):
                answer = await call(machine.at(CONTROL), "POST", "/api/configuration/replace", body)
                if answer.status == 200:
                    self.acked, self.acked_at = self.sent, self.mesh.record.now
                    return
            await asyncio.sleep(0.1)


async def replace(mesh: Mesh, changes: Changes, number: int) -> None:
    """Takes the oldest core machine away for good; an empty one comes at another address at once."""
    old, seeds = mesh.control[0], [machine.ip for machine in mesh.control]
    old.send(signal.SIGKILL)
    await old.wait_end(2.0)
    new = Machine(mesh, "control", 40 + number, old.zone)
    new.write_settings(False, seeds)
    mesh.machines.append(new)
    new.start()
    mesh.control = [*mesh.control[1:], new]
    mesh.record.write(
        f"{old.ip} is gone for good, {new.ip} starts empty; newest acknowledged: r{changes.acked}"
    )
    await asyncio.sleep(CATCH_UP_S + MARGIN_S)


async def read_back(mesh: Mesh, changes: Changes) -> int:
    """Reads the configuration at all control nodes, again and again."""
    acked, until, seen = changes.acked, mesh.record.now + READ_FOR_S, 0
    while mesh.record.now < until:
        for machine in mesh.control:
            with contextlib.suppress(OSError, EOFError, TimeoutError):
                answer = await call(machine.at(CONTROL), "GET", "/api/configuration/describe")
                seen += 1
                if answer.status == 200:
                    version = json.loads(answer.body)["config-version"]
                    mesh.record.write(f"read back at {machine.ip}: {version}; acknowledged: r{acked}")
                    return HELD if int(version[1:]) >= acked else BROKEN
        await asyncio.sleep(0.5)
    what = f"r{acked}, acknowledged at {changes.acked_at:.1f} s"
    mesh.record.write(f"{what}, is not read back in {READ_FOR_S} s: {seen} answers, none of them 200")
    return BROKEN


async def case(folder: Path, record: Record) -> int:
    """Plays the case."""
    mesh = Mesh(folder, record, [(zone, "tile-vault") for zone in ZONES])
    try:
        await mesh.begin([route("/tiles/", "read_only", "tile-vault")])
        await asyncio.sleep(CATCH_UP_S + 1.0)
        changes = Changes(mesh)
        for number in range(REPLACEMENTS):
            if TROUBLE:
                await replace(mesh, changes, number)
            else:
                await asyncio.sleep(CATCH_UP_S + MARGIN_S)
        changes.task.cancel()
        record.write(f"no more changes and no more trouble; newest acknowledged: r{changes.acked}")
        return await read_back(mesh, changes)
    finally:
        await mesh.end()


if __name__ == "__main__":
    play(__file__, case)
