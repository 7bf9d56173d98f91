"""An evacuation that was acknowledged is withdrawn by an order that a frozen control node reads later.

The operator completes an evacuation, gets no answer from a frozen control node, repeats the order at another
one, which acknowledges it, and then starts the evacuation again. Broken (EVAC) if a request reaches a backend
of the zone more than `evacuation` and `outer-bound` after that acknowledgement: the latter is only owed while
the core is unsettled, which it is not any more by then, and is left to the program all the same.
"""

from __future__ import annotations

import asyncio
import secrets
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness import (
    CONTROL,
    OUTBOUND,
    Backend,
    CaseError,
    Incoming,
    Mesh,
    Program,
    Record,
    call,
    configuration,
    encode,
    main,
    request,
    route,
)

NEAR, FAR = "voru-saal", "tartu-saal"  # The clients' zone, which is evacuated, and the other one.
SERVICE = "tile-vault"
EVACUATION_S = 5.0  # The bound `evacuation`.
FREEZE_S = 3.5  # The largest `for_s` of `node_freeze` in the site file.
CALL_TIMEOUT_S = 1.0  # Callers of the control plane go on to another proxy after a second of silence.
FIRST_PAUSE_S = 0.1  # Before the next proxy; the pause grows.
REQUESTS_PER_S = 20
OUTER_S = 5.0  # The bound `outer-bound`.
WATCHED_S = 6.0  # How long requests are watched after both bounds.


async def work(backend: Backend, incoming: Incoming) -> None:
    """Answers after 20 ms."""
    await incoming.body()
    await asyncio.sleep(0.02)
    incoming.writer.write(incoming.answer_head(4) + b"tile")


class Operator:
    """Gives orders to control nodes, one after the other, until one acknowledges."""

    def __init__(self, mesh: Mesh, record: Record) -> None:
        self.mesh, self.record = mesh, record

    async def order(self, step: str, nodes: list[Program]) -> float:
        """Returns the time of the acknowledgement."""
        path = f"/api/evacuations/{NEAR}/{step}"
        for attempt in range(4):
            node = nodes[attempt % len(nodes)]
            self.record.write(f"operator: {step} {NEAR} to {node.ip}")
            data = encode(f"POST {path} HTTP/1.1", {"Host": "operator"})
            answer = await call(self.mesh.address(node.ip, CONTROL), data, CALL_TIMEOUT_S)
            self.record.write(f"operator: {node.ip} answers {answer[0] if answer else 'nothing in a second'}")
            if answer is not None and answer[0] == 200:
                return self.record.now()
            await asyncio.sleep(FIRST_PAUSE_S * 2**attempt)
        raise CaseError(f"{step} was not acknowledged")


async def send_forever(mesh: Mesh, sidecar: Program) -> None:
    """Sends requests to one sidecar, each on a connection of its own."""
    pending: set[asyncio.Task[object]] = set()
    while True:
        data = request("maps.example", "/tiles/1", secrets.token_hex(8), 4.0)
        task: asyncio.Task[object] = asyncio.create_task(call(mesh.address(sidecar.ip, OUTBOUND), data, 4.0))
        pending.add(task)
        task.add_done_callback(pending.discard)
        await asyncio.sleep(1 / REQUESTS_PER_S)


def arrivals(backends: list[Backend], start: float, end: float) -> int:
    """Counts the requests that reached the evacuated zone's backends between two times."""
    return sum(start < at < end for b in backends if b.zone == NEAR for at, _ in b.runs)


async def play(mesh: Mesh, record: Record, trouble: bool) -> bool:
    """Plays the case; returns whether the rule held."""
    operator = Operator(mesh, record)
    backends = [Backend(mesh, sidecar, SERVICE, record, work) for sidecar in mesh.sidecars]
    for backend in backends:
        await backend.start()
    await mesh.start(configuration(10, [route("/tiles/", "read_only", SERVICE, 4.0)], [SERVICE]))
    await asyncio.sleep(2.0)
    clients = asyncio.create_task(send_forever(mesh, mesh.sidecars[0]))
    await asyncio.sleep(3.0)
    before = arrivals(backends, 0.0, record.now())
    record.write(f"{before} requests reached the backends of {NEAR} before the evacuation")
    frozen, others = mesh.control[2], mesh.control[:2]
    first = await operator.order("start", others)
    await asyncio.sleep(EVACUATION_S + 1.0)
    late = arrivals(backends, first + EVACUATION_S, record.now())
    if not before or late:
        raise CaseError(f"no usual start: {before} requests before the evacuation, {late} after its bound")
    if trouble:
        frozen.send(signal.SIGSTOP)
        record.write(f"{frozen.ip} is frozen for {FREEZE_S} s")
    thaw_at = record.now() + FREEZE_S
    await operator.order("complete", [frozen, *others])
    await asyncio.sleep(0.5)
    acknowledged = await operator.order("start", others)
    await asyncio.sleep(max(0.0, thaw_at - record.now()))
    if trouble:
        frozen.send(signal.SIGCONT)
        record.write(f"{frozen.ip} wakes")
    outer = acknowledged + EVACUATION_S + OUTER_S
    await asyncio.sleep(outer + WATCHED_S - record.now())
    clients.cancel()
    late = arrivals(backends, acknowledged + EVACUATION_S, record.now())
    broken = arrivals(backends, outer, record.now())
    record.write(
        f"start acknowledged at {acknowledged:.3f}; {late} requests reached {NEAR} past `evacuation`"
    )
    record.write(f"{broken} of them past `evacuation` and `outer-bound`")
    for sidecar in mesh.sidecars[:1]:
        for line in sidecar.log.read_text().splitlines():
            if line.startswith("mesh state"):
                record.write(f"{sidecar.ip}: {line}")
    return not broken


async def case(record: Record, folder: Path, trouble: bool) -> bool:
    """Starts two sidecars in each of two zones, and plays the case."""
    mesh = Mesh(folder, [SERVICE] * 4, [NEAR, NEAR, FAR, FAR])
    try:
        return await play(mesh, record, trouble)
    finally:
        mesh.stop()


if __name__ == "__main__":
    sys.exit(main(case, __file__))
