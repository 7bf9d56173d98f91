"""Limits over sockets: the real proxy in front of stand-in nodes."""

from __future__ import annotations

import asyncio

import pytest

from honeywharf.lab.model import Node, NodeSpec
from tests.loopback import Backend, Client, RunningProxy, run, running_proxy

pytestmark = pytest.mark.exclusive
CONNECTIONS, REQUESTS_EACH = 64, 6


async def statuses(w: RunningProxy) -> list[int]:
    """Returns the statuses of all clients, which send the next request after each answer."""

    async def one() -> list[int]:
        client, got = await Client.to(w.port), []
        for _ in range(REQUESTS_EACH):
            client.send()
            got.append(await client.status())
        client.writer.close()
        return got

    return [status for got in await asyncio.gather(*(one() for _ in range(CONNECTIONS))) for status in got]


@pytest.mark.parametrize("work_ms", [0.2, 2.0, 8.0])  # `test_days.py` covers 20 ms and more
def test_a_burst_of_connections_to_idle_servers_is_served(work_ms: float) -> None:
    """Guards against refusals of a mere burst, also at the start, when nothing is known."""

    async def main() -> None:
        spec = NodeSpec(cores=64, warm_ms=0.0)
        backends = [await Backend(Node(spec), work_ms=work_ms, seed=i).start() for i in range(4)]
        async with running_proxy([b.row(f"b{i}") for i, b in enumerate(backends)]) as w:
            assert await statuses(w) == [200] * (CONNECTIONS * REQUESTS_EACH)
            assert "refused" not in w.proxy.driver.counts
        for backend in backends:
            await backend.stop()

    run(main())


def test_requests_to_full_servers_are_refused_at_once_with_a_reason() -> None:
    """Shows that the test above can fail: an overload is refused."""

    async def main() -> None:
        spec = NodeSpec(cores=1, queue=1, warm_ms=0.0)
        backend = await Backend(Node(spec), work_ms=400.0, spread=0.0).start()
        async with running_proxy([backend.row("b0")]) as w:
            got = await statuses(w)
            counts = w.proxy.driver.counts
            assert got.count(503) == counts["refused"] > CONNECTIONS
            assert got.count(200) == counts["served"] >= 1
            reasons = {name: n for name, n in counts.items() if name.startswith("refused:")}
            assert sum(reasons.values()) == counts["refused"]
            assert reasons.get("refused:crowded", 0) > 0
        await backend.stop()

    run(main())
