"""Hung calls at servers that answer others, over loopback sockets."""

from __future__ import annotations

from honeywharf.policy import interface as api
from tests.loopback import Backend, Client, run, running_proxy, until

O = api.Outcome  # noqa: E741


def test_a_hung_call_is_hedged_and_uses_no_capacity() -> None:
    """Guards against limits used up, and requests lost, by calls that are never answered."""

    async def main() -> None:
        backend = await Backend().start()
        backend.reply_delay_s = 0.02
        async with running_proxy([backend.row("b")], bounds={"mostTries": 3}) as w:
            balancer = w.proxy.balancer
            client, other = await Client.to(w.port), await Client.to(w.port)
            for _ in range(30):
                client.send("order", b"x")
                assert await client.status() == 200
            backend.script = [None]
            backend.request_received.clear()
            name = other.send("order", b"hangs")
            await until(lambda: backend.request_received.is_set())
            while not any(a.hung for r in balancer.requests.values() for a in r.attempts):
                client.send("order", b"x")
                assert await client.status() == 200
            assert await other.status() == 200  # long before its deadline
            sent = [m for m in backend.requests if m[2] == b"hangs"]
            assert len(sent) == 2
            assert len({m[1][b"idempotency-key"] for m in sent}) == 1
            assert [len(r.attempts) for r in balancer.requests.values() if r.id == name] == [2]
            assert balancer.endpoints.zones["z"].in_flight == 0
            assert balancer.endpoints.servers["b"].ejections == 0
        await backend.stop()

    run(main())


def test_a_hung_call_of_an_unsafe_class_is_not_hedged() -> None:
    async def main() -> None:
        backend = await Backend().start()
        backend.reply_delay_s = 0.02
        async with running_proxy([backend.row("b")], bounds={"mostTries": 3}) as w:
            balancer = w.proxy.balancer
            client, other = await Client.to(w.port), await Client.to(w.port)
            for _ in range(30):
                client.send("pay", b"x")
                assert await client.status() == 200
            backend.script = [None]
            backend.request_received.clear()
            other.send("pay", b"hangs", "1500m")
            await until(lambda: backend.request_received.is_set())
            while not any(a.hung for r in balancer.requests.values() for a in r.attempts):
                client.send("pay", b"x")
                assert await client.status() == 200
            assert await other.status() == 502
            assert len([m for m in backend.requests if m[2] == b"hangs"]) == 1
            assert [e.outcome for e in w.ended() if e.outcome is not O.OK] == [O.TIMEOUT]
        await backend.stop()

    run(main())
