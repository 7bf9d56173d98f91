"""A late heartbeat, after a restart of the sidecar, puts a backend that has left in service again."""

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
    Backend,
    Machine,
    Mesh,
    NotRunError,
    Outcome,
    Record,
    play,
    route,
    send_request,
)

CONTACT_S, DRAIN_S = 3.0, 2.0  # `contact`, `drain-timeout`
KILL_AT_S, DOWN_S = 0.2, 0.3  # after the acknowledgement of the deregistration
LATE_BEAT_AT_S = 4.0  # "A beat may come seconds late"
ENDS_AT_S = 9.0  # "serve on as long, and end", "(at times many seconds)"
WORK_S = 0.3


async def warm_up(machine: Machine) -> None:
    """Sends orders until the backends are known and warm."""
    served = 0
    for _ in range(100):
        served += (await send_request(machine, "POST", "/orders/0", b"x" * 400)).status == 200
        if served >= 10:
            return
        await asyncio.sleep(0.2)
    raise NotRunError("orders are not served")


async def send_orders(machine: Machine, until: float) -> list[Outcome]:
    """Sends ten orders a second from the clients of a machine that is never disturbed."""
    tasks = []
    while machine.mesh.record.now < until:
        tasks.append(asyncio.create_task(send_request(machine, "POST", "/orders/1", b"x" * 400)))
        await asyncio.sleep(0.1)
    return list(await asyncio.gather(*tasks))


async def leave(machine: Machine, backend: Backend) -> float:
    """The backend leaves without `draining`, as NEWS-22 says; returns when that was acknowledged."""
    record = machine.mesh.record
    late_beat = backend.next_beat()  # on its way from here on
    backend.state = "gone"  # no further beats, and its health answer is 503
    if not await backend.deregister():
        raise NotRunError("the deregistration was not acknowledged")
    acked_at = record.now
    record.write(f"backend {backend.id} at {machine.ip}: deregistration acknowledged")
    await asyncio.sleep(KILL_AT_S)
    if TROUBLE:
        machine.send(signal.SIGKILL)
        await machine.wait_end(2.0)
        record.write(f"sidecar {machine.ip}: killed")
        await asyncio.sleep(DOWN_S)
        machine.start()
        record.write(f"sidecar {machine.ip}: started again")
    await asyncio.sleep(max(0.0, acked_at + LATE_BEAT_AT_S - record.now))
    acked = await backend.beat(late_beat)
    record.write(f"the beat that was sent before the deregistration arrives: {'200' if acked else 'no'}")
    await asyncio.sleep(max(0.0, acked_at + ENDS_AT_S - record.now))
    await backend.stop()
    record.write(f"backend {backend.id} ends")
    return acked_at


def judge(record: Record, backend: Backend, outcomes: list[Outcome], acked_at: float) -> int:
    """DRAIN: counts the orders that reach the backend too late; all machines are in touch by then."""
    from_s = max(DRAIN_S, KILL_AT_S + DOWN_S + CONTACT_S)
    statuses = {outcome.attempt: outcome.status or outcome.why for outcome in outcomes}
    late = [run for run in backend.runs if run.at - acked_at > from_s and run.outcome != "421"]
    for run in late:
        record.write(
            f"order {run.attempt} reached the backend {run.at - acked_at:.2f} s after the acknowledgement:"
            f" {run.outcome}, its client got {statuses.get(run.attempt, 'no answer')}"
        )
    lost = sum(statuses.get(run.attempt) != 200 for run in late)
    record.write(f"{len(late)} orders reached it too late; {lost} of them were lost with its end")
    return BROKEN if late else HELD


async def case(folder: Path, record: Record) -> int:
    """Plays the case."""
    sidecars = [(ZONES[0], "order-desk"), (ZONES[1], "order-desk"), (ZONES[0], "tile-vault")]
    mesh = Mesh(folder, record, sidecars)
    try:
        await mesh.begin(
            [route("/orders/", "mutating", "order-desk"), route("/tiles/", "read_only", "tile-vault")]
        )
        leaving, clients = mesh.sidecars[0], mesh.sidecars[2]
        await warm_up(clients)
        await asyncio.sleep(CONTACT_S + 0.5)
        for machine in mesh.sidecars:
            machine.backend.work_s = WORK_S
        orders = asyncio.create_task(send_orders(clients, record.now + ENDS_AT_S + 1.0))
        acked_at = await leave(leaving, leaving.backend)
        return judge(record, leaving.backend, await orders, acked_at)
    finally:
        await mesh.end()


if __name__ == "__main__":
    play(__file__, case)
