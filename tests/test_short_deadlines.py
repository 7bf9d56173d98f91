"""Callers with short deadlines, over loopback sockets: their time-outs are not the servers' fault."""

from __future__ import annotations

import pytest

from honeywharf.policy import interface as api
from tests.loopback import Backend, Client, reply, run, running_proxy

ANSWER_S = 0.25  # the backends' answer time, which is far longer than the short deadline
SHORT_DEADLINE = "70m"


@pytest.mark.parametrize("fails", [False, True], ids=["time-outs", "errors of the next tier"])
def test_callers_with_short_deadlines_eject_no_server(fails: bool) -> None:
    """Guards against ejecting healthy servers, tier by tier, for calls that none could answer in time."""

    async def main() -> None:
        backends = [await Backend().start() for _ in range(3)]
        async with running_proxy(
            [b.row(f"b{i}") for i, b in enumerate(backends)], bounds={"mostTries": 1}
        ) as w:
            balancer = w.proxy.balancer
            client = await Client.to(w.port)
            for backend in backends:
                backend.reply_delay_s = ANSWER_S
            for _ in range(4):
                client.send()
                assert await client.status() == 200
            for backend in backends:
                backend.reply_delay_s = 0.01 if fails else ANSWER_S
                backend.default_reply = reply(500)
            before = {name: zone.limiter.limit for name, zone in balancer.endpoints.zones.items()}
            for _ in range(12):
                client.send("read", b"", SHORT_DEADLINE)
                assert await client.status() != 200
            outcomes = [e.outcome for e in w.ended()[4:]]
            assert len(outcomes) == 12
            assert set(outcomes) == {api.Outcome.ERROR if fails else api.Outcome.TIMEOUT}
            servers = balancer.endpoints.servers.values()
            assert [s.ejections for s in servers] == [0, 0, 0]
            assert not any(s.unresponsive_until or s.failures or s.suspicion for s in servers)
            assert {name: zone.limiter.limit for name, zone in balancer.endpoints.zones.items()} == before
        for backend in backends:
            await backend.stop()

    run(main())


def test_servers_that_fail_callers_with_enough_time_are_ejected() -> None:
    async def main() -> None:
        backends = [await Backend().start() for _ in range(3)]
        backends[0].default_reply = reply(500)
        async with running_proxy(
            [b.row(f"b{i}") for i, b in enumerate(backends)], bounds={"mostTries": 1}
        ) as w:
            client = await Client.to(w.port)
            for _ in range(60):
                client.send()
                await client.status()
            assert w.proxy.balancer.endpoints.servers["b0"].ejections > 0
        for backend in backends:
            await backend.stop()

    run(main())
