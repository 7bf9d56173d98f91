"""Answers over 64 KiB that the machine's own backend sends in parts stop half-way and never end.

Clients send orders and reads to a sidecar, which gets SIGTERM a second later; every backend has handed its
whole answer over long before the second half of `grace-period`. Broken (LOST) if a connection ends without a
complete answer to a request that was read and passed on. With TROUBLE=0 each answer is sent at once.
"""

from __future__ import annotations

import asyncio
import secrets
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness import (
    OUTBOUND,
    Backend,
    CaseError,
    Incoming,
    Mesh,
    Program,
    Record,
    configuration,
    main,
    read_message,
    request,
    route,
)

SERVICE, OTHER = "order-desk", "tile-vault"
ANSWER_BYTES, PART_BYTES, SILENCE_S = 200_000, 8_000, 0.01
REQUESTS = 6
DEADLINE_S, TIMEOUT_S = 20.0, 20.0  # Of the client and of the route: both end after `grace-period`.
GRACE_S = 6.0  # The bound `grace-period`; SIGKILL follows after it.


class Desk:
    """The work of the backends; notes when each answer was handed over whole."""

    def __init__(self, in_parts: bool) -> None:
        self.in_parts = in_parts
        self.handed_over: dict[str, float] = {}

    async def work(self, backend: Backend, incoming: Incoming) -> None:
        """Answers with 200 kB, at once or in parts with short silences between them."""
        await incoming.body()
        incoming.writer.write(incoming.answer_head(ANSWER_BYTES))
        part = PART_BYTES if self.in_parts else ANSWER_BYTES
        for _ in range(0, ANSWER_BYTES, part):
            incoming.writer.write(b"x" * part)
            await incoming.writer.drain()
            if self.in_parts:
                await asyncio.sleep(SILENCE_S)
        self.handed_over[incoming.id] = backend.record.now()


async def send(mesh: Mesh, record: Record, sidecar: Program, kind: str, attempt: str) -> bool:
    """Sends one request; returns whether a complete answer came."""
    body, method = (b"order " * 200, "POST") if kind == "mutating" else (b"", "GET")
    data = request("maps.example", f"/{kind}/1", attempt, DEADLINE_S, body, method)
    reader, writer = await asyncio.open_connection(*mesh.address(sidecar.ip, OUTBOUND), limit=1 << 20)
    try:
        async with asyncio.timeout(DEADLINE_S):
            writer.write(data)
            first, _, answer = await read_message(reader)
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as fault:
        got = len(fault.partial) if isinstance(fault, asyncio.IncompleteReadError) else 0
        record.write(
            f"client {attempt} ({kind}): {type(fault).__name__}, {got} of {ANSWER_BYTES} bytes of the answer"
        )
        return False
    finally:
        writer.close()
    record.write(f"client {attempt} ({kind}): {first}, {len(answer)} bytes")
    return True


async def play(mesh: Mesh, record: Record, trouble: bool) -> bool:
    """Plays the case; returns whether the rule held."""
    desk = Desk(trouble)
    backends = [
        Backend(mesh, sidecar, service, record, desk.work)
        for sidecar, service in zip(mesh.sidecars, (SERVICE, OTHER), strict=True)
    ]
    for backend in backends:
        await backend.start()
    routes = [route(f"/{kind}/", kind, SERVICE, TIMEOUT_S) for kind in ("read_only", "mutating")]
    await mesh.start(configuration(10, routes, [SERVICE, OTHER]))
    await asyncio.sleep(4.0)
    sidecar = mesh.sidecars[0]
    attempts = [(("read_only", "mutating")[n % 2], secrets.token_hex(8)) for n in range(REQUESTS)]
    sending = [asyncio.create_task(send(mesh, record, sidecar, *attempt)) for attempt in attempts]
    await asyncio.sleep(1.0)
    record.write(f"SIGTERM to {sidecar.ip}")
    terminated_at = record.now()
    sidecar.send(signal.SIGTERM)
    while sidecar.running() and record.now() < terminated_at + GRACE_S:
        await asyncio.sleep(0.05)
    ended = "ended" if not sidecar.running() else "gets SIGKILL"
    record.write(f"{sidecar.ip} {ended} {record.now() - terminated_at:.2f} s after SIGTERM")
    sidecar.send(signal.SIGKILL)
    complete = await asyncio.gather(*sending)
    ran = {attempt: at for at, attempt in backends[0].runs}
    for kind, attempt in attempts:
        record.write(
            f"backend {attempt} ({kind}): ran at {ran.get(attempt, 0.0):.3f}, "
            f"whole answer handed over at {desk.handed_over.get(attempt, 0.0):.3f}"
        )
    half = terminated_at + GRACE_S / 2
    if any(desk.handed_over.get(attempt, half) >= half for _, attempt in attempts):
        raise CaseError(
            "a backend was still at work in the second half of the grace period, which is excused"
        )
    record.write(f"{complete.count(False)} of {REQUESTS} requests ended without a complete answer")
    return all(complete)


async def case(record: Record, folder: Path, trouble: bool) -> bool:
    """Starts a sidecar with a backend of the service, and one with a backend of another."""
    mesh = Mesh(folder, [SERVICE, OTHER])
    try:
        return await play(mesh, record, trouble)
    finally:
        mesh.stop()


if __name__ == "__main__":
    sys.exit(main(case, __file__))
