"""The control nodes end while they start for the first time, and no mesh forms any more."""

from __future__ import annotations

import asyncio
import contextlib
import signal
from pathlib import Path

from mesh2 import (
    BROKEN,
    CONTROL,
    HELD,
    TROUBLE,
    ZONES,
    Backend,
    Machine,
    Mesh,
    NotRunError,
    Record,
    call,
    configuration,
    route,
    send_request,
)

SIGNAL_AFTER_S = 0.04  # after the start of the programs, whose imports take 0.08 s and more
RESTART_DELAY_S = 0.5  # "started again after a short delay with the settings of that moment"
ACK_TIMEOUT_S, CONTACT_S = 4.0, 3.0  # `ack-timeout` and `contact`
WATCH_S = 30.0


class Platform:
    """Starts each program again that has ended, and notes the ends."""

    def __init__(self, mesh: Mesh) -> None:
        self.mesh, self.ends = mesh, []
        self.tasks = [asyncio.create_task(self._keep(machine)) for machine in mesh.machines]

    async def _keep(self, machine: Machine) -> None:
        while True:
            status = await machine.wait_end(1.0)
            if status is None:
                continue
            self.ends.append((machine.name, status))
            self.mesh.record.write(f"{machine.name} {machine.ip} ended with status {status}")
            await asyncio.sleep(RESTART_DELAY_S)
            machine.write_settings(False, self.mesh.seeds)  # the very first start is over
            machine.start()
            self.mesh.record.write(f"{machine.name} {machine.ip} started again")

    def stop(self) -> None:
        """Stops starting programs."""
        for task in self.tasks:
            task.cancel()


async def first_configuration(mesh: Mesh, routes: list[dict[str, object]]) -> float | None:
    """Sends the first configuration until it is taken; returns when, None if it is not within `WATCH_S`."""
    body = configuration(1, routes, mesh.sidecars)
    for n in range(int(WATCH_S)):
        machine, what = mesh.control[n % len(mesh.control)], "no answer"
        with contextlib.suppress(OSError, EOFError, TimeoutError):
            answer = await call(machine.at(CONTROL), "POST", "/api/configuration/replace", body)
            what = f"{answer.status} {answer.body[:40]!r}"
            if answer.status == 200:
                mesh.record.write(f"configuration r1 at {machine.ip}: {what}")
                return mesh.record.now
        mesh.record.write(f"configuration r1 at {machine.ip}: {what}")
        await asyncio.sleep(1.0)
    return None


async def play_first_start(folder: Path, record: Record, number: int) -> int:
    """Starts a mesh for the first time, and sends a signal to each control node while they start."""
    mesh = Mesh(folder, record, [(zone, "tile-vault") for zone in ZONES])
    routes = [route("/tiles/", "read_only", "tile-vault")]
    platform = None
    try:
        for machine in mesh.machines:
            machine.write_settings(True, mesh.seeds)
            machine.start()
        await asyncio.sleep(SIGNAL_AFTER_S)
        platform = Platform(mesh)
        if TROUBLE:
            for machine in mesh.control:
                machine.send(number)
            record.write(f"{signal.Signals(number).name} to each control node")
        for machine in mesh.sidecars:
            machine.backend = Backend(machine)
            await machine.backend.start()
        taken_at = await first_configuration(mesh, routes)
        await asyncio.sleep(3.0)
        outcomes = [await send_request(machine, "GET", "/tiles/1") for machine in mesh.sidecars]
        served = sum(outcome.status == 200 for outcome in outcomes)
        record.write(f"requests at the end: {[outcome.status or outcome.why for outcome in outcomes]}")
        ends = len(platform.ends)
        record.write(f"{ends} processes have ended; {served} of {len(outcomes)} requests served")
        if not ends and not served:
            raise NotRunError("nothing is served although no process ended")
        late = taken_at is None or taken_at > ACK_TIMEOUT_S + 2 * RESTART_DELAY_S + CONTACT_S
        return BROKEN if ends and late and not served else HELD
    finally:
        if platform is not None:
            platform.stop()
        await mesh.end()
