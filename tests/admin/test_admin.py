"""The operators' socket: what is shown, who may ask, what is refused, and the commands."""

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

from honeywharf.admin import MAX_AT_ONCE, AdminPart, protocol, views
from honeywharf.admin.client import AdminError
from honeywharf.cli import main as command
from honeywharf.cli.screen import Top
from honeywharf.config.features import Admin, Features
from honeywharf.policy import interface as api
from tests.helpers import Driver, endpoint, make_settings
from tests.loopback import Backend, Client, run, running_proxy, soon, until


def test_what_is_shown_of_each_server_says_why_it_is_out_and_until_when() -> None:
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
    assert [e["endpoint"] for e in shown["endpoints"]][:2] == ["a0", "a1"]  # those that are out come first
    assert (rows["a0"]["state"], rows["a0"]["why"]) == ("ejected", "failures in a row")
    assert (rows["a1"]["state"], rows["a1"]["why"]) == ("ejected", "turned a call away")
    assert rows["a0"]["out_for_ms"] == pytest.approx(servers["a0"].ejected_until - driver.now)
    assert (rows["a2"]["state"], rows["b0"]["state"]) == ("usable", "draining")
    assert "why" not in rows["a2"]
    status = views.status(driver.balancer)
    assert status["endpoints"] == {"ejected": 2, "usable": 4, "draining": 1}
    own = next(z for z in status["zones"] if z["own"])
    assert "open" not in own  # no load reports are read
    driver.balancer.endpoints.zones["a"].local_factor = 0.5
    assert views.status(driver.balancer)["zones"][0]["open"] == 0.5
    assert (own["ready"], own["ejected"], own["in_flight"]) == (6, 2, 0)
    assert own["limit"] > 0


@given(st.binary(max_size=200))
def test_what_is_no_question_is_told_and_nothing_else_happens(data: bytes) -> None:
    with pytest.raises(protocol.ProtocolError, match=r"^found "):
        protocol.question(data)


@pytest.mark.parametrize(
    ("sent", "words"),
    [
        (b"\x00\x00\x00\x00", "found a frame of 0 bytes"),
        (b"\xff\xff\xff\xff", "found a frame of 4294967295 bytes, wanted 1 to 4096"),
        (b"\x00\x00\x00\x01\xc1", "found no question"),
        (b"\x00\x00\x00\x01\x01", "found version None, wanted 1"),
        (protocol.frame(protocol.Question("status", v=2)), "found version 2, wanted 1"),
        (
            protocol.frame(protocol.Question("reboot")),
            "found 'reboot', wanted one of activate, config, drain, endpoints, evacuate, exclude, include,"
            " readyz, status",
        ),
        (protocol.frame(protocol.Question("drain")), "drain is a change: it wants its confirmation"),
    ],
)
def test_what_can_not_be_done_is_answered_with_what_was_wanted(
    tmp_path: Path,
    sent: bytes,
    words: str,
) -> None:
    async def main() -> None:
        backend = await Backend().start()
        async with running_proxy([backend.row("b")], on(tmp_path / "s")) as w:
            answer = await said(tmp_path / "s", sent)
            assert words in answer.fault
            assert w.proxy.front.ready()
        await backend.stop()

    run(main())


def test_an_answer_over_its_bound_becomes_one_that_says_so() -> None:
    data = protocol.frame(protocol.Answer(data="x" * protocol.MAX_ANSWER))
    assert "wanted 4194304 at most" in protocol.answer(data[protocol.HEAD :]).fault


def on(path: Path) -> Features:
    return Features(admin=Admin(socket=str(path)))


async def said(path: Path, sent: bytes) -> protocol.Answer:
    reader, writer = await asyncio.open_unix_connection(str(path))
    writer.write(sent)
    size = protocol.length(await soon(reader.readexactly(protocol.HEAD)), protocol.MAX_ANSWER)
    answer = protocol.answer(await soon(reader.readexactly(size)))
    writer.close()
    return answer


async def called(*words: str) -> tuple[int, str]:
    done = await asyncio.to_thread(CliRunner().invoke, command, [*words])
    return done.exit_code, done.output


def test_the_commands_show_a_running_proxy_and_drain_it(tmp_path: Path) -> None:
    async def main() -> None:
        backend, at = await Backend().start(), str(tmp_path / "s")
        async with running_proxy([backend.row("b1"), backend.row("b2", "y")], on(tmp_path / "s")) as w:
            assert os.stat(at).st_mode & 0o777 == 0o600
            client = await Client.to(w.port)
            client.send()
            assert await client.status() == 200
            status, words = await called("status", "--socket", at)
            assert status == 0
            assert "n in z: ready, 0 requests open" in words
            assert "2 usable" in words
            status, words = await called("status", "--socket", at, "--json")
            data: dict[str, Any] = orjson.loads(words)
            assert (data["counts"]["served"], data["ready"]) == (1, True)
            status, words = await called("endpoints", "--socket", at, "--zone", "y", "--json")
            assert [e["endpoint"] for e in orjson.loads(words)["endpoints"]] == ["b2"]
            assert (await called("endpoints", "--socket", at, "--out"))[0] == 0
            assert (await called("drain", "--socket", at))[0] == 1  # not confirmed
            assert w.proxy.front.ready()
            status, words = await called("drain", "--socket", at, "--yes")
            assert status == 0
            assert f"admin: drain, asked for by user {os.getuid()} as '" in words
            assert not w.proxy.front.ready()
            assert w.running is not None
            await soon(w.running)
            assert not os.path.exists(at)
            assert (await called("status", "--socket", at))[0] == 3
        await backend.stop()

    run(main())


def test_operators_beyond_the_bound_are_cut_and_silent_ones_cost_no_request(tmp_path: Path) -> None:
    async def main() -> None:
        backend = await Backend().start()
        async with running_proxy([backend.row("b")], on(tmp_path / "s")) as w:
            (part,) = [p for p in w.proxy.components if isinstance(p, AdminPart)]
            silent = [await asyncio.open_unix_connection(str(tmp_path / "s")) for _ in range(MAX_AT_ONCE)]
            await until(lambda: part.open == MAX_AT_ONCE)
            reader, writer = await asyncio.open_unix_connection(str(tmp_path / "s"))
            assert await soon(reader.read()) == b""
            assert part.cut == 1
            client = await Client.to(w.port)
            client.send()
            assert await client.status() == 200
            for _, one in [*silent, (reader, writer)]:
                one.close()
            await until(lambda: part.open == 0)
        await backend.stop()

    run(main())


def test_a_socket_left_by_a_dead_proxy_is_replaced_and_nothing_else_is(tmp_path: Path) -> None:
    async def main() -> None:
        path = tmp_path / "s"
        with socket.socket(socket.AF_UNIX) as left:
            left.bind(str(path))
        backend = await Backend().start()
        async with running_proxy([backend.row("b")], on(path)) as w:
            answer = await said(path, protocol.frame(protocol.Question("endpoints")))
            assert msgspec.to_builtins(answer.data)["number"] == 1
            (first,) = w.proxy.components
            assert isinstance(first, AdminPart)
            with pytest.raises(OSError, match="in use, wanted a free path"):
                await AdminPart(w.proxy, path).start()
        path.unlink()
        path.write_text("somebody's")
        with pytest.raises(OSError, match="which is no socket"):
            await AdminPart(w.proxy, path).start()
        assert path.read_text() == "somebody's"
        await backend.stop()

    run(main())


def test_the_terminal_shows_what_changes_and_says_when_nobody_answers(tmp_path: Path) -> None:
    """Asked three times: two answers of a proxy, then none."""
    asked: list[str] = []

    def answers(path: Path, do: str) -> Any:
        asked.append(do)
        if len(asked) > 4:
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
            "counts": {"served": 10 * len(asked)},
        }

    async def main() -> None:
        app = Top(tmp_path / "s", answers, each_s=1000.0)
        async with app.run_test() as pilot:
            app.look()
            await pilot.pause()
            assert "n3 in a: ready, 2 open" in str(app.query_one("#line", Static).content)
            assert app.table("zones").get_row_at(0) == ["*a", "4.5", "2", "3", "1", "yes"]
            assert app.table("out").get_row_at(0) == ["s1", "a", "failures in a row", "1.5"]
            assert app.table("counts").get_row_at(0) == ["served", "0", "30"]
            await pilot.press("p")
            app.look()
            assert len(asked) == 4
            await pilot.press("p")
            app.look()
            assert "nobody answers: refused" in str(app.query_one("#line", Static).content)
            assert app.table("zones").row_count == 1  # what was seen last stays

    asyncio.run(asyncio.wait_for(main(), 60.0))
