"""A sidecar is stopped as planned; it takes orders later than 3 s after SIGTERM and breaks them off."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from mesh2 import (
    BROKEN,
    HELD,
    TROUBLE,
    ZONES,
    Machine,
    Mesh,
    NotRunError,
    Outcome,
    Record,
    play,
    route,
    send_request,
)

GRACE_S = 6.0  # `grace-period`
WORK_S = 1.5  # within the site's work times: print-order has 290 ms on average and 2,100 ms at most
SEND_AT_S = [0.3 * n for n in range(1, 16)]  # after SIGTERM: 0.3 to 4.5 s


class Platform:
    """Asks a sidecar for readiness once a second, and decides whether its clients get new work."""

    def __init__(self, mesh: Mesh) -> None:
        self.mesh, self.missed = mesh, {machine.ip: 0 for machine in mesh.sidecars}
        self.task = asyncio.create_task(self._ask())

    async def _ask(self) -> None:
        while True:
            for machine in self.mesh.sidecars:
                self.missed[machine.ip] = 0 if await machine.is_ready() else self.missed[machine.ip] + 1
            await asyncio.sleep(1.0)

    def sends_work(self, machine: Machine) -> bool:
        """PROTOCOL, "How clients arrive"."""
        zone = [each for each in self.mesh.sidecars if each.zone == machine.zone]
        ready = sum(self.missed[each.ip] < 2 for each in zone)
        return self.missed[machine.ip] < 2 or 2 * ready < len(zone)


async def warm_up(mesh: Mesh, machine: Machine) -> None:
    """Sends orders until the backends are known and warm."""
    served = 0
    for _ in range(100):
        served += (await send_request(machine, "POST", "/orders/0", b"x" * 400)).status == 200
        if served >= 10:
            return
        await asyncio.sleep(0.2)
    raise NotRunError("orders are not served")


async def order(mesh: Mesh, platform: Platform, machine: Machine, wait_s: float) -> Outcome | None:
    """Sends one order if the platform sends work to the clients of this machine."""
    await asyncio.sleep(wait_s)
    if not platform.sends_work(machine):
        return None
    return await send_request(machine, "POST", "/orders/1", b"x" * 400, deadline_s=5.0)


def judge(record: Record, mesh: Mesh, outcomes: list[Outcome | None], since: float) -> int:
    """LOST of NEWS-22: counts the orders that were broken off although nothing excuses it."""
    runs = {run.attempt: run for machine in mesh.sidecars for run in machine.backend.runs}
    broken = 0
    for outcome in outcomes:
        if outcome is None or outcome.ended_at is None:
            continue
        run = runs.get(outcome.attempt)
        sent, ended = outcome.sent_at - since, outcome.ended_at - since
        sealed = outcome.message is not None and "x-honeywharf-server-seal" in outcome.message.headers
        at_work = run is not None and run.began_at is not None and not sealed
        in_time = ended - sent < 4.9  # neither the deadline nor the route's timeout (5 s) was reached
        is_lost = (
            at_work and in_time and sent > 3.0 and ended < GRACE_S + 1.0 and outcome.status not in (429, 503)
        )
        broken += is_lost
        what = outcome.status or outcome.why
        work = "never asked" if run is None else f"began, {run.outcome}"
        record.write(
            f"order {outcome.attempt}: sent {sent:.2f} s after SIGTERM, {what} at {ended:.2f} s;"
            f" backend: {work}{'   LOST' if is_lost else ''}"
        )
    record.write(f"{broken} orders broken off that were sent more than 3 s after SIGTERM")
    return BROKEN if broken else HELD


async def case(folder: Path, record: Record) -> int:
    """Plays the case."""
    sidecars = [
        (ZONES[0], "order-desk"),
        (ZONES[1], "order-desk"),
        (ZONES[1], "tile-vault"),
        (ZONES[2], "tile-vault"),
    ]
    mesh = Mesh(folder, record, sidecars)
    try:
        await mesh.begin(
            [route("/orders/", "mutating", "order-desk"), route("/tiles/", "read_only", "tile-vault")]
        )
        machine = mesh.sidecars[3]  # the only one of its zone
        await warm_up(mesh, machine)
        platform = Platform(mesh)
        await asyncio.sleep(3.5)  # `contact`: nothing else happens from here on
        for each in mesh.sidecars:
            each.backend.work_s = WORK_S
        since = record.now
        if TROUBLE:
            machine.send(signal.SIGTERM)
            record.write(f"SIGTERM to the sidecar {machine.ip}")
        orders = [asyncio.create_task(order(mesh, platform, machine, at)) for at in SEND_AT_S]
        if TROUBLE:
            status = await machine.wait_end(GRACE_S)
            record.write(f"the sidecar ended {record.now - since:.2f} s after SIGTERM with status {status}")
        outcomes = await asyncio.gather(*orders)
        platform.task.cancel()
        return judge(record, mesh, outcomes, since)
    finally:
        await mesh.end()


if __name__ == "__main__":
    play(__file__, case)
