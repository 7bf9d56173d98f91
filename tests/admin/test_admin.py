"""The admin socket: its views, its limits, invalid requests, and the commands that use it."""

from __future__ import annotations

import asyncio
import os
import socket
from pathlib import Path
from typing import Any

import msgspec
import orjson
import pytest
from click.testing import CliRunner
from hypothesis import given, strategies as st
from textual.widgets import Static

from honeywharf.admin import MAX_CONNECTIONS, AdminPart, protocol, views
from honeywharf.admin.client import AdminError
from honeywharf.cli import main as command
from honeywharf.cli.screen import Top
from honeywharf.config.features import Admin, Features
from honeywharf.policy import interface as api
from tests.helpers import Driver, endpoint, make_settings
from tests.loopback import Backend, Client, run, running_proxy, soon, until


def test_each_server_is_shown_with_the_reason_and_end_of_its_ejection() -> None:
    driver = Driver(make_settings(limits=api.Limits(max_attempts=1)))
    drains = endpoint("b0", "b", state=api.EndpointState.DRAINING)
    driver.list([*(endpoint(f"a{i}") for i in range(6)), drains])
    for _ in range(100):
        driver.request()
        driver.end(api.Outcome.OK, after_ms=100.0)
    servers = driver.balancer.endpoints.servers
    for name, outcome in (("a0", api.Outcome.CONNECT_FAILED), ("a1", api.Outcome.REJECTED)):
        while not servers[name].ejections:
            (sent, *_) = driver.request()
            assert isinstance(sent, api.Send)
            driver.end(outcome if sent.endpoint == name else api.Outcome.OK, after_ms=1.0)
    shown = views.endpoints(driver.balancer)
    assert shown["number"] == 7
    rows = {e["endpoint"]: e for e in shown["endpoints"]}
    assert [e["endpoint"] for e in shown["endpoints"]][:2] == ["a0", "a1"]  # Ejected endpoints come first.
    assert (rows["a0"]["state"], rows["a0"]["why"]) == ("ejected", "failures in a row")
    assert (rows["a1"]["state"], rows["a1"]["why"]) == ("ejected", "turned a call away")
    assert rows["a0"]["out_for_ms"] == pytest.approx(servers["a0"].ejected_until - driver.now)
    assert (rows["a2"]["state"], rows["b0"]["state"]) == ("usable", "draining")
    assert "why" not in rows["a2"]
    status = views.status(driver.balancer)
    assert status["endpoints"] == {"ejected": 2, "usable": 4, "draining": 1}
    own = next(z for z in status["zones"] if z["own"])
    assert "open" not in own  # The factors are shown only with load reports.
    driver.balancer.endpoints.zones["a"].local_factor = 0.5
    assert views.status(driver.balancer)["zones"][0]["open"] == 0.5
    assert (own["ready"], own["ejected"], own["in_flight"]) == (6, 2, 0)
    assert own["limit"] > 0


@given(st.binary(max_size=200))
def test_an_invalid_request_is_reported(data: bytes) -> None:
    with pytest.raises(protocol.ProtocolError, match=r"^found "):
        protocol.decode_request(data)


@pytest.mark.parametrize(
    ("sent", "message"),
    [
        (b"\x00\x00\x00\x00", "found a frame of 0 bytes"),
        (b"\xff\xff\xff\xff", "found a frame of 4294967295 bytes, wanted 1 to 4096"),
        (b"\x00\x00\x00\x01\xc1", "found no question"),
        (b"\x00\x00\x00\x01\x01", "found version None, wanted 1"),
        (protocol.encode_frame(protocol.Request("status", v=2)), "found version 2, wanted 1"),
        (
            protocol.encode_frame(protocol.Request("reboot")),
            "found 'reboot', wanted one of activate, config, drain, endpoints, evacuate, exclude, include,"
            " readyz, status",
        ),
        (protocol.encode_frame(protocol.Request("drain")), "drain is a change: it wants its confirmation"),
    ],
)
def test_a_request_that_cannot_be_executed_is_answered_with_what_is_expected(
    tmp_path: Path,
    sent: bytes,
    message: str,
) -> None:
    async def main() -> None:
        backend = await Backend().start()
        async with running_proxy([backend.row("b")], admin_features(tmp_path / "s")) as w:
            answer = await send_frame(tmp_path / "s", sent)
            assert message in answer.fault
            assert w.proxy.front.ready()
        await backend.stop()

    run(main())


def test_a_response_over_the_limit_is_replaced_by_a_fault() -> None:
    data = protocol.encode_frame(protocol.Response(data="x" * protocol.MAX_RESPONSE_BYTES))
    assert "wanted 4194304 at most" in protocol.decode_response(data[protocol.LENGTH_BYTES :]).fault


def admin_features(path: Path) -> Features:
    return Features(admin=Admin(socket=str(path)))


async def send_frame(path: Path, sent: bytes) -> protocol.Response:
    reader, writer = await asyncio.open_unix_connection(str(path))
    writer.write(sent)
    size = protocol.decode_length(
        await soon(reader.readexactly(protocol.LENGTH_BYTES)), protocol.MAX_RESPONSE_BYTES
    )
    answer = protocol.decode_response(await soon(reader.readexactly(size)))
    writer.close()
    return answer


async def run_command(*arguments: str) -> tuple[int, str]:
    result = await asyncio.to_thread(CliRunner().invoke, command, [*arguments])
    return result.exit_code, result.output


def test_the_commands_show_a_running_proxy_and_drain_it(tmp_path: Path) -> None:
    async def main() -> None:
        backend, socket_path = await Backend().start(), str(tmp_path / "s")
        async with running_proxy(
            [backend.row("b1"), backend.row("b2", "y")], admin_features(tmp_path / "s")
        ) as w:
            assert os.stat(socket_path).st_mode & 0o777 == 0o600
            client = await Client.to(w.port)
            client.send()
            assert await client.status() == 200
            status, output = await run_command("status", "--socket", socket_path)
            assert status == 0
            assert "n in z: ready, 0 requests open" in output
            assert "2 usable" in output
            status, output = await run_command("status", "--socket", socket_path, "--json")
            data: dict[str, Any] = orjson.loads(output)
            assert (data["counts"]["served"], data["ready"]) == (1, True)
            status, output = await run_command("endpoints", "--socket", socket_path, "--zone", "y", "--json")
            assert [e["endpoint"] for e in orjson.loads(output)["endpoints"]] == ["b2"]
            assert (await run_command("endpoints", "--socket", socket_path, "--out"))[0] == 0
            # An unconfirmed command fails.
            assert (await run_command("drain", "--socket", socket_path))[0] == 1
            assert w.proxy.front.ready()
            status, output = await run_command("drain", "--socket", socket_path, "--yes")
            assert status == 0
            assert f"admin: drain, requested by user {os.getuid()} as '" in output
            assert not w.proxy.front.ready()
            assert w.running is not None
            await soon(w.running)
            assert not os.path.exists(socket_path)
            assert (await run_command("status", "--socket", socket_path))[0] == 3
        await backend.stop()

    run(main())


def test_connections_over_the_limit_are_closed_and_idle_ones_cost_no_request(tmp_path: Path) -> None:
    async def main() -> None:
        backend = await Backend().start()
        async with running_proxy([backend.row("b")], admin_features(tmp_path / "s")) as w:
            (part,) = [p for p in w.proxy.components if isinstance(p, AdminPart)]
            silent = [await asyncio.open_unix_connection(str(tmp_path / "s")) for _ in range(MAX_CONNECTIONS)]
            await until(lambda: part.open_connections == MAX_CONNECTIONS)
            reader, writer = await asyncio.open_unix_connection(str(tmp_path / "s"))
            assert await soon(reader.read()) == b""
            assert part.rejected == 1
            client = await Client.to(w.port)
            client.send()
            assert await client.status() == 200
            for _, one in [*silent, (reader, writer)]:
                one.close()
            await until(lambda: part.open_connections == 0)
        await backend.stop()

    run(main())


def test_a_socket_left_by_a_dead_proxy_is_replaced_and_nothing_else_is(tmp_path: Path) -> None:
    async def main() -> None:
        path = tmp_path / "s"
        with socket.socket(socket.AF_UNIX) as left:
            left.bind(str(path))
        backend = await Backend().start()
        async with running_proxy([backend.row("b")], admin_features(path)) as w:
            answer = await send_frame(path, protocol.encode_frame(protocol.Request("endpoints")))
            assert msgspec.to_builtins(answer.data)["number"] == 1
            (first,) = w.proxy.components
            assert isinstance(first, AdminPart)
            with pytest.raises(OSError, match=r"expected a free path, got .*, which is in use"):
                await AdminPart(w.proxy, path).start()
        path.unlink()
        path.write_text("somebody's")
        with pytest.raises(OSError, match=r"expected a free path, got .*, which is not a socket"):
            await AdminPart(w.proxy, path).start()
        assert path.read_text() == "somebody's"
        await backend.stop()

    run(main())


def test_the_terminal_shows_changes_and_a_proxy_that_does_not_answer(tmp_path: Path) -> None:
    """The proxy answers two queries, and the third one fails."""
    calls: list[str] = []

    def answers(path: Path, do: str) -> Any:
        calls.append(do)
        if len(calls) > 4:
            raise AdminError("refused", answered=False)
        if do == "endpoints":
            return {
                "number": 1,
                "endpoints": [
                    {"endpoint": "s1", "zone": "a", "why": "failures in a row", "out_for_ms": 1500.0}
                ],
            }
        zone = {
            "zone": "a",
            "own": True,
            "limit": 4.5,
            "in_flight": 2,
            "ready": 3,
            "ejected": 1,
            "crowded": True,
        }
        return {
            "name": "n3",
            "zone": "a",
            "ready": True,
            "open": 2,
            "retry_budget": 5.0,
            "storms": "",
            "endpoints": {"usable": 2},
            "zones": [zone],
            "counts": {"served": 10 * len(calls)},
        }

    async def main() -> None:
        app = Top(tmp_path / "s", answers, interval_s=1000.0)
        async with app.run_test() as pilot:
            app.poll()
            await pilot.pause()
            assert "n3 in a: ready, 2 open" in str(app.query_one("#line", Static).content)
            assert app.table("zones").get_row_at(0) == ["*a", "4.5", "2", "3", "1", "yes"]
            assert app.table("out").get_row_at(0) == ["s1", "a", "failures in a row", "1.5"]
            assert app.table("counts").get_row_at(0) == ["served", "0", "30"]
            await pilot.press("p")
            app.poll()
            assert len(calls) == 4
            await pilot.press("p")
            app.poll()
            assert "nobody answers: refused" in str(app.query_one("#line", Static).content)
            assert app.table("zones").row_count == 1  # The last known rows stay.

    asyncio.run(asyncio.wait_for(main(), 60.0))
