"""What operators ask beyond the state: configuration in force, order keys, figures, and lines in JSON."""

from __future__ import annotations

import ast
import asyncio
import json
import re
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec
import orjson
import pytest
from prometheus_client.openmetrics.parser import text_string_to_metric_families

from honeywharf import logs
from honeywharf.config import features as of_features, node as of_node, source
from honeywharf.config.features import Admin, Features, Log, Metrics, OrderKeys, Traces
from honeywharf.core.transport import log, set_log_sink
from honeywharf.metrics import MetricsPart
from honeywharf.metrics.durations import BOUNDS_S, MAX_SERIES, Answers
from honeywharf.metrics.families import Families, exposed
from honeywharf.orderkeys import OrderKeysComponent
from tests.admin.test_admin import called
from tests.loopback import SETTINGS, Backend, Client, make_config, reply, run, running_proxy, until
from tests.orderkeys.shared import sharing

ROOT = Path(__file__).parent.parent.parent


def on(path: Path, **more: Any) -> Features:
    return Features(admin=Admin(socket=str(path)), **more)


def test_what_is_in_force_has_its_source_and_what_files_would_change_its_time(tmp_path: Path) -> None:
    async def main() -> None:
        file, at = tmp_path / "f.toml", str(tmp_path / "s")
        file.write_text(f'# mine\n[admin]\nsocket = "{at}"\n[storms]\nratio = 0.25\n')
        node = {
            "name": "n3",
            "listen": "127.0.0.1:0",
            "discovery": "127.0.0.1:1",
            "seed": "7",
            "settings": SETTINGS,
        }
        conf = tmp_path / "node.json"
        conf.write_text(json.dumps(node))
        made = of_features.load(file)
        async with running_proxy([], made) as w:
            w.proxy.environ = {"NODE_CONFIG": str(conf), "HONEYWHARF_FEATURES": str(file)}
            w.proxy.conf = of_node.load(w.proxy.environ)
            status, words = await called("config", "show", "--socket", at, "--json")
            rows = {r["key"]: r for r in orjson.loads(words)}
            assert status == 0
            assert rows["storms.ratio"] == {"key": "storms.ratio", "value": 0.25, "source": f"{file}:5"}
            assert rows["node.name"] == {"key": "node.name", "value": "n3", "source": str(conf)}
            assert "storms.on" not in rows  # it is as it is by default
            assert not any(k.startswith(("node.known", "node.seed")) for k in rows)
            status, words = await called("config", "show", "--socket", at, "storms")
            assert (status, "default" in words, "node.name" in words) == (0, True, False)
            assert (await called("config", "diff", "--socket", at)) == (0, "nothing would change\n")
            conf.write_text(json.dumps({**node, "discovery": "127.0.0.1:2", "limits": {"sockets": 99}}))
            file.write_text(f'[admin]\nsocket = "{at}"\n[storms]\nratio = 0.5\n')
            status, words = await called("config", "diff", "--socket", at, "--json")
            assert status == 1
            assert {(d["key"], d["held"], d["wanted"], d["when"]) for d in orjson.loads(words)} == {
                ("node.discovery", "127.0.0.1:1", "127.0.0.1:2", "reload"),
                ("node.sockets", 1024, 99, "start"),
                ("storms.ratio", 0.25, 0.5, "start"),
            }
            w.proxy.reload()
            status, words = await called("config", "diff", "--socket", at, "--json")
            assert {d["key"] for d in orjson.loads(words)} == {"node.sockets", "storms.ratio"}
            file.write_text("[storms]\nratio = 7\n")
            status, words = await called("config", "diff", "--socket", at)
            assert (status, f"{file}:2:1: storms.ratio: found 7, wanted a number" in words) == (2, True)

    run(main())


def test_credentials_are_not_among_what_is_shown() -> None:
    made = Features(
        traces=msgspec.structs.replace(
            Traces(), otlp=msgspec.structs.replace(Traces().otlp, headers={"Authorization": "Bearer secret"})
        )
    )
    shown = {k: v for k, v in source.flat(source.plain(made)) if "Authorization" in k}
    assert list(shown.values()) == ["Bearer secret"]  # it is there to be hidden
    assert "secret" not in str(source.values(make_config(1, []), made))


def test_files_that_do_not_fit_each_other_are_told(tmp_path: Path) -> None:
    conf, file = tmp_path / "node.json", tmp_path / "f.toml"
    conf.write_text(
        json.dumps({"listen": "127.0.0.1:1", "discovery": "127.0.0.1:1", "seed": "7", "settings": SETTINGS})
    )
    for text, told in (
        ("keep_ms = { order = 100.0 }", ":3:13: order_keys.keep_ms.order: found 100, wanted 7500 at"),
        ("alone = ['read']", ":3:1: order_keys.alone: found class 'read', wanted one of order"),
    ):
        file.write_text(f"[order_keys]\nstore = 'process'\n{text}\n")
        status, words = run(called("config", "check", str(conf), str(file)))
        assert (status, f"{file}{told}" in words) == (2, True), words
        assert run(called("check-config", str(file)))[0] == 0  # by itself it is good


def test_a_key_s_state_is_shown_and_a_settled_one_is_forgotten_and_logged(tmp_path: Path) -> None:
    async def main() -> None:
        backend, at = await Backend().start(), str(tmp_path / "s")
        features = on(tmp_path / "s", order_keys=OrderKeys(store="process"))
        async with running_proxy([backend.row("b")], features) as w:
            client = await Client.to(w.port)
            backend.default_reply = None
            client.send("order", b"x", "4000m", "X-Account: acme", key="k1")
            await until(lambda: bool(backend.requests))
            ask = ("--socket", at, "--tenant", "acme")
            status, words = await called("keys", "show", "k1", *ask, "--json")
            assert (status, orjson.loads(words)["state"]) == (0, "running")
            status, words = await called("keys", "forget", "k1", *ask, "--yes")
            assert (status, "found that it runs" in words) == (1, True)
            for writer in list(backend.writers):
                writer.write(b"HTTP/1.1 200 X\r\nContent-Length: 3\r\n\r\none")
            assert (await client.answer())[2] == b"one"
            status, words = await called("keys", "show", "k1", *ask, "--json")
            found = orjson.loads(words)
            assert (found["state"], found["answer_kept"], found["zone"]) == ("done", True, "z")
            status, words = await called("keys", "show", "--socket", at)
            assert (status, "1 keys of 20000" in words, "acme" in words) == (0, True, True)
            assert (await called("keys", "forget", "k1", *ask))[0] == 1  # not confirmed
            status, words = await called("keys", "forget", "k1", *ask, "--yes")
            assert (status, "admin: keys forget, asked for by user" in words) == (0, True)
            words = (await called("keys", "show", "k1", *ask, "--json"))[1]
            assert orjson.loads(words) == {"state": "not known"}
            assert (await called("keys", "forget", "k1", *ask, "--yes"))[0] == 1
            status, words = await called("keys", "show", "k1", "--socket", at, "--class", "read")
            assert (status, "found class 'read', wanted one of order" in words) == (1, True)
            backend.default_reply = b"HTTP/1.1 200 X\r\nContent-Length: 3\r\n\r\ntwo"
            client.send("order", b"x", "4000m", "X-Account: acme", key="k1")
            assert (await client.answer())[2] == b"two"  # it ran again, as its operator was told
        await backend.stop()

    run(main())


def test_shared_keys_are_shown_and_forgotten_for_all_proxies(tmp_path: Path) -> None:
    async def main() -> None:
        async with sharing(2, 1) as (redis, worlds, _):
            one, other = (
                next(p for p in w.proxy.components if isinstance(p, OrderKeysComponent)).key_commands
                for w in worlds
            )
            client = await Client.to(worlds[0].port)
            client.send("order", b"x", "4000m", "X-Account: acme", key="k1")
            assert await client.status() == 200
            of = {"key": "k1", "tenant": "acme"}
            await until(lambda: not worlds[0].proxy.driver.requests)
            found = await other.show(of)
            assert (found["state"], found["tenant"], found["answer_kept"], found["zone"]) == (
                "done",
                "acme",
                True,
                "z",
            )
            assert (await one.show({}))["tenants"] == {"acme": 1}
            assert await other.forget(of) == {"forgotten": True}
            assert await one.show(of) == {"state": "not known"}
            redis.kill()
            shared = one.deduplicator.shared
            assert shared is not None
            await until(lambda: not shared.connected)
            with pytest.raises(ValueError, match="found the shared store away"):
                one.show(of)

    run(main())


def families(text: str) -> dict[str, Any]:
    return {f.name: f for f in text_string_to_metric_families(text)}


def test_figures_are_those_of_the_proxy_and_exemplars_name_traces_that_are_kept(tmp_path: Path) -> None:
    async def main() -> None:
        backend, at = await Backend().start(), str(tmp_path / "s")
        features = on(
            tmp_path / "s",
            metrics=Metrics(listen="127.0.0.1:0"),
            traces=Traces(file=str(tmp_path / "t"), rate=1e-9),
        )
        async with running_proxy([backend.row("b")], features) as w:
            client = await Client.to(w.port)
            backend.script += [reply()] * 5 + [reply(500)]
            for _ in range(6):
                client.send("pay", b"x")
                await client.answer()
            status, text = await called("metrics", "--socket", at)
            assert status == 0
            found = families(text)
            ends = {
                (s.labels["class"], s.labels["end"]): s.value
                for s in found["honeywharf_request_duration_seconds"].samples
                if s.name.endswith("_count")
            }
            assert ends == {("pay", "served"): 5.0, ("pay", "failed"): 1.0}
            named = {s.exemplar.labels["trace_id"] for f in found.values() for s in f.samples if s.exemplar}
            await until(lambda: (tmp_path / "t").exists() and (tmp_path / "t").stat().st_size > 0)
            kept = {orjson.loads(line)["trace_id"] for line in (tmp_path / "t").read_bytes().splitlines()}
            assert named == kept
            assert len(kept) == 1
            assert [s.value for s in found["honeywharf_failures"].samples] == [1.0]
            assert {s.labels["zone"] for s in found["honeywharf_zone_limit"].samples} == {"z"}
            (at_port,) = [p.at for p in w.proxy.components if isinstance(p, MetricsPart)]
            assert at_port is not None
            port = at_port[1]
            for wants, exemplars in (("application/openmetrics-text", True), ("*/*", False)):
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.write(f"GET /metrics HTTP/1.1\r\nAccept: {wants}\r\n\r\n".encode())
                scraped = await asyncio.wait_for(reader.read(), 20.0)
                assert scraped.startswith(b"HTTP/1.1 200 OK")
                assert (b"trace_id" in scraped) is exemplars
                writer.close()
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(b"GET /secrets HTTP/1.1\r\n\r\n")
            assert (await asyncio.wait_for(reader.read(), 20.0)).startswith(b"HTTP/1.1 404")
            writer.close()
        await backend.stop()

    run(main())


def test_figures_are_not_shown_to_the_network(tmp_path: Path) -> None:
    async def main() -> None:
        with pytest.raises(ValueError, match=r"metrics\.listen: found '0\.0\.0\.0:1', wanted a loopback"):
            async with running_proxy([], Features(metrics=Metrics(listen="0.0.0.0:1"))):
                pass

    run(main())


def test_series_are_bounded_and_buckets_add_up() -> None:
    made = Answers()
    for i in range(MAX_SERIES + 50):
        made.answered(f"class-{i}", "served", 10.0, 0.0, None)
    assert (len(made.series), made.left_out) == (MAX_SERIES, 50)
    made = Answers()
    for ms in (0.0, 5.0, 5.1, 4999.0, 10_000.0, 1e9, -3.0):
        made.answered("read", "served", ms, 0.0, None)
    text = exposed(
        Families(
            "n",
            "z",
            "1",
            dict,
            lambda: {"zones": [], "endpoints": {}, "open": 0, "retry_budget": 0.0, "ready": True},
            made,
        ),
        True,
    ).decode()
    samples = families(text)["honeywharf_request_duration_seconds"].samples
    counted = {s.labels["le"]: s.value for s in samples if s.name.endswith("_bucket")}
    assert [counted[le] for le in ("0.005", "0.01", "5.0", "10.0", "+Inf")] == [3, 4, 5, 6, 7]
    assert len(counted) == len(BOUNDS_S) + 1


def calls_of_log() -> Iterator[tuple[str, int, list[str]]]:
    for path in sorted((ROOT / "honeywharf").rglob("*.py")):
        for node in ast.walk(ast.parse(path.read_text("utf-8"))):
            if isinstance(node, ast.Call) and isinstance(node.func, ast.Name) and node.func.id == "log":
                words = [a.value for a in node.args[1:] if isinstance(a, ast.Constant)]
                yield path.name, node.lineno, [str(w) for w in words]


def test_every_line_has_an_event_of_the_vocabulary_and_the_page_lists_them_all() -> None:
    used = set()
    for name, line, words in calls_of_log():
        assert words, f"{name}:{line} logs without an event"
        assert words[0] in logs.EVENTS, f"{name}:{line} logs {words[0]!r}"
        assert all(w in logs.LEVELS for w in words[1:])
        used.add(words[0])
    assert used == set(logs.EVENTS)  # none that nothing logs
    page = (ROOT / "docs" / "operators" / "metrics.md").read_text("utf-8")
    assert set(re.findall(r"^\| `([a-z_.]+)` \|", page, re.M)) >= used


@pytest.mark.parametrize(("level", "lines"), [("info", 2), ("warning", 1), ("error", 1)])
def test_lines_in_json_have_level_event_words_and_fields(
    level: Any,
    lines: int,
    capsys: pytest.CaptureFixture[str],
) -> None:
    try:
        logs.attach("n3", Log(format="json", level=level))
        log("n3 listens on x", "listening", fields={"port": 7, "event": "mine"})
        log("it broke\nin two", "loop.fault", "error")
    finally:
        set_log_sink(None)
    told = [json.loads(line) for line in capsys.readouterr().err.splitlines()]
    assert len(told) == lines
    last = told[-1]
    assert (last["level"], last["event"], last["message"]) == ("error", "loop.fault", "it broke\nin two")
    if lines == 2:
        assert (told[0]["proxy"], told[0]["port"], told[0]["event"], told[0]["field.event"]) == (
            "n3",
            7,
            "listening",
            "mine",
        )
    log("plain again", "stats")
    assert capsys.readouterr().err == "plain again\n"


def test_none_of_it_is_imported_where_it_is_off() -> None:
    said = subprocess.run(
        [
            sys.executable,
            "-c",
            "import sys, honeywharf.proxy; print([m for m in sys.modules if m.startswith("
            "('prometheus_client', 'structlog', 'google', 'opentelemetry', 'honeywharf.metrics',"
            " 'honeywharf.logs', 'lark', 'msgspec'))])",
        ],
        capture_output=True,
        text=True,
        check=True,
        cwd=ROOT,
    )
    assert said.stdout.strip() == "[]"
