"""Limits on sockets: the real proxy before stand-in nodes."""

from __future__ import annotations

import asyncio

import pytest

from honeywharf.lab.model import Node, NodeSpec
from tests.loopback import Backend, Client, World, run, world

CONNECTIONS, EACH = 64, 6


async def statuses(w: World) -> list[int]:
    """What so many clients get that ask again as soon as they have an answer."""

    async def one() -> list[int]:
        client, got = await Client.to(w.port), []
        for _ in range(EACH):
            client.send()
            got.append(await client.status())
        client.writer.close()
        return got

    return [status for got in await asyncio.gather(*(one() for _ in range(CONNECTIONS))) for status in got]


@pytest.mark.parametrize("work_ms", [0.2, 2.0, 8.0])  # 20 ms and more: in virtual time
def test_a_burst_of_connections_to_idle_servers_is_served_whole(work_ms: float) -> None:
    """Guards against refusing what is only fast, at the first moment too, when nothing is known."""

    async def main() -> None:
        spec = NodeSpec(cores=64, warm_ms=0.0)
        backends = [await Backend(Node(spec), work_ms=work_ms, seed=i).start() for i in range(4)]
        async with world([b.row(f"b{i}") for i, b in enumerate(backends)]) as w:
            assert await statuses(w) == [200] * (CONNECTIONS * EACH)
            assert "refused" not in w.proxy.driver.counts
        for backend in backends:
            await backend.stop()

    run(main())


def test_servers_that_are_full_are_refused_for_with_a_reason_and_at_once() -> None:
    """The comparison: a crowd is turned away, and told why."""

    async def main() -> None:
        spec = NodeSpec(cores=1, queue=1, warm_ms=0.0)
        backend = await Backend(Node(spec), work_ms=400.0, spread=0.0).start()
        async with world([backend.row("b0")]) as w:
            got = await statuses(w)
            counts = w.proxy.driver.counts
            assert got.count(503) == counts["refused"] > CONNECTIONS
            assert got.count(200) == counts["served"] >= 1
            reasons = {name: n for name, n in counts.items() if name.startswith("refused:")}
            assert sum(reasons.values()) == counts["refused"]
            assert reasons.get("refused:crowded", 0) > 0
        await backend.stop()

    run(main())
