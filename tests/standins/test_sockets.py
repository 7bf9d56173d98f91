"""Registry, backend, clients and front on sockets, and the demo."""

from __future__ import annotations

import asyncio
import json
import os
import subprocess
import sys
from contextlib import suppress
from pathlib import Path
from typing import Any

import pytest

from honeywharf.lab.model import Node, NodeSpec, Rack
from honeywharf.standins import demo
from honeywharf.standins.backend import Backend
from honeywharf.standins.clients import Clients, Front
from honeywharf.standins.messages import read_message, reply, row
from honeywharf.standins.registry import MAX_CHANGES, Registry
from tests.loopback import run, soon, until

ROOT = Path(__file__).parent.parent.parent


async def fetch(port: int, target: str, *headers: str) -> tuple[int, bytes]:
    """Sends one request on a new connection."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write("\r\n".join([f"GET {target} HTTP/1.1", "Host: x", *headers]).encode() + b"\r\n\r\n")
    first, _, body = await soon(read_message(reader))
    writer.close()
    return int(first.split()[1]), body


async def listed(port: int, query: str = "") -> dict[str, Any]:
    status, body = await fetch(port, f"/registry/instances{query}")
    assert status == 200
    listing: dict[str, Any] = json.loads(body)
    return listing


def test_a_watch_waits_for_changes_and_returns_only_those() -> None:
    async def main() -> None:
        registry = await Registry().start()
        await registry.put(row("a", 1), row("b", 2))
        full = await listed(registry.port)
        assert full["reset"]
        assert [r["instanceId"] for r in full["instances"]] == ["a", "b"]
        watch = asyncio.create_task(listed(registry.port, f"?after={full['generation']}&wait_ms=20000"))
        await until(lambda: len(registry.connections) > 0)
        await registry.put(row("b", 2, lifecycle="removed"))
        change = await soon(watch)
        assert not change["reset"]
        assert [(r["instanceId"], r["lifecycle"]) for r in change["instances"]] == [("b", "removed")]
        assert change["generation"] > full["generation"]
        empty = await listed(registry.port, f"?after={change['generation']}&wait_ms=1")
        assert empty["instances"] == []
        await registry.stop()

    run(main())


def test_a_watch_from_before_the_oldest_change_gets_the_full_list() -> None:
    async def main() -> None:
        registry = await Registry().start()
        for i in range(MAX_CHANGES + 5):
            await registry.put(row("a", i))
        assert len(registry.changes) == MAX_CHANGES
        assert (await listed(registry.port, "?after=1&wait_ms=10"))["reset"]
        await registry.stop()

    run(main())


def test_a_backend_with_a_node_works_charges_reports_and_rejects() -> None:
    async def main() -> None:
        rack = Rack()
        node = Node(NodeSpec(cores=1, queue=0, warm_ms=0.0))
        backend = await Backend(node, rack, work_ms=200.0, spread=0.0).start()
        head = ("X-Correlation-Id: one", "Idempotency-Key: k")
        first = asyncio.create_task(fetch(backend.port, "/api/tile", *head))
        await until(lambda: node.in_flight == 1)
        assert (await fetch(backend.port, "/api/tile", "X-Correlation-Id: two"))[0] == 503
        assert await soon(first) == (200, b"tile for one")
        assert rack.charges == {"k": 1}
        assert (await fetch(backend.port, "/api/tile"))[0] == 404
        assert await fetch(backend.port, "/stats") == (200, b"queue=0")
        await backend.stop()

    run(main())


def test_a_crashed_backend_resets_requests_and_restarts_cold_at_its_address() -> None:
    async def main() -> None:
        node = Node(NodeSpec(cores=1, warm_ms=60000.0))
        backend = await Backend(node, work_ms=5000.0).start()
        port = backend.port
        call = asyncio.create_task(fetch(port, "/api/tile", "X-Correlation-Id: one"))
        await until(lambda: node.in_flight == 1)
        await backend.crash()
        with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
            await soon(call)
        with pytest.raises(ConnectionRefusedError):
            await fetch(port, "/health/live")
        await backend.restart()
        assert backend.port == port
        assert (await fetch(port, "/health/live"))[0] == 200
        assert node.current_speed(node.started_ms) == pytest.approx(0.25)
        await backend.stop()

    run(main())


def test_clients_retry_rejections_with_the_same_key_and_never_failures() -> None:
    async def main() -> None:
        backend = await Backend().start()
        refusal = reply(503, b"", b"Retry-After: 0.010")
        backend.script = [refusal, refusal, refusal]
        backend.default_reply = reply(502, b"")
        clients = Clients(Front([backend.port]), "z", 200.0, seed=3)
        await clients.run(0.05)
        tally = clients.tally
        assert tally.orders == tally.refused + tally.failed > 0
        assert tally.repeats >= 2 or tally.orders == 1
        keys = [headers[b"idempotency-key"] for _, headers, _ in backend.requests]
        marked = [headers.get(b"x-repeat") for _, headers, _ in backend.requests]
        assert all((marked[i] == b"1") == (key in keys[:i]) for i, key in enumerate(keys))
        await backend.stop()

    run(main())


def test_malformed_replies_and_errors_have_their_shares_and_reports_are_delayed() -> None:
    async def main() -> None:
        node = Node(NodeSpec(cores=64, warm_ms=0.0))
        backend = await Backend(
            node, work_ms=0.1, malformed=0.3, errors=0.3, report_delay_ms=60000.0, seed=5
        ).start()
        counts = {"spoilt": 0, 200: 0, 500: 0}
        for i in range(60):
            reader, writer = await asyncio.open_connection("127.0.0.1", backend.port)
            writer.write(f"GET /api/tile HTTP/1.1\r\nX-Correlation-Id: r{i}\r\n\r\n".encode())
            writer.write_eof()
            raw = await soon(reader.read())
            head, _, body = raw.partition(b"\r\n\r\n")
            is_valid = (
                head.startswith(b"HTTP/1.1 ") and b"Content-Length: %d\r\n" % len(body) in head + b"\r\n"
            )
            counts[int(head.split()[1]) if is_valid else "spoilt"] += 1
            writer.close()
        assert all(8 <= n <= 34 for n in counts.values()), counts
        node.waiting.extend([("x", 1.0)] * 5)
        assert await fetch(backend.port, "/stats") == (200, b"queue=0")  # The state of a minute ago.
        backend.report_delay_ms = 0.0
        assert await fetch(backend.port, "/stats") == (200, b"queue=5")
        await backend.stop()

    run(main())


def test_a_front_skips_a_dead_proxy() -> None:
    async def main() -> None:
        live = await Backend().start()
        dead = await Backend().start()
        await dead.stop()
        front = Front([dead.port, live.port], seed=1, dead_interval_s=60.0)
        for _ in range(20):
            with suppress(OSError):
                _, writer = await front.connect()
                writer.close()
        assert list(front.dead_until) == [dead.port]
        await live.stop()

    run(main())


@pytest.mark.exclusive
def test_the_demo_prints_each_rule_and_exits_with_0() -> None:
    done = subprocess.run(
        [sys.executable, "-m", "honeywharf", "demo", "--seconds", "4", "--rate", "60"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=120,
        check=False,
    )
    assert done.returncode == 0, done.stdout + done.stderr
    assert done.stdout.count("held: ") == 4
    assert "tallinn-1 dies" in done.stdout
    assert "keys 1 times" in done.stdout


def test_the_demo_detects_each_violated_rule(tmp_path: Path) -> None:
    """Guards against a check that cannot fail: every rule is violated here."""
    fleet = demo.Fleet(1, tmp_path)
    fleet.racks[0] = Rack(window_ms=0.0)
    fleet.backends["a"] = Backend(Node(NodeSpec()))
    fleet.clients["a"] = Clients(Front([1]), "a", 1.0)
    assert all(demo.verdicts(fleet).values())
    fleet.racks[0].charge("k", 0.0)
    fleet.racks[0].charge("k", 1.0)
    fleet.backends["a"].requests_after_drain = 1
    node = fleet.backends["a"].node
    assert node is not None
    node.fallen = True
    fleet.clients["a"].tally.lost = 1
    assert not any(demo.verdicts(fleet).values())


def test_the_environment_of_the_tests_names_no_features() -> None:
    assert "HONEYWHARF_FEATURES" not in os.environ
