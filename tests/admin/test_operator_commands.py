"""Operators' commands on configuration, order keys and metrics, and log lines in JSON."""

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
from honeywharf.metrics import MetricsComponent
from honeywharf.metrics.durations import BOUNDS_S, MAX_SERIES, DurationHistograms
from honeywharf.metrics.families import Families, exposition_text
from honeywharf.orderkeys import OrderKeysComponent
from tests.admin.test_admin import run_command
from tests.loopback import SETTINGS, Backend, Client, make_config, reply, run, running_proxy, until
from tests.orderkeys.shared import sharing

ROOT = Path(__file__).parent.parent.parent


def admin_features(path: Path, **more: Any) -> Features:
    return Features(admin=Admin(socket=str(path)), **more)


def test_settings_in_force_have_a_source_and_changed_ones_the_time_they_apply(tmp_path: Path) -> None:
    async def main() -> None:
        file, socket_path = tmp_path / "f.toml", str(tmp_path / "s")
        file.write_text(f'# mine\n[admin]\nsocket = "{socket_path}"\n[storms]\nratio = 0.25\n')
        node = {
            "name": "n3",
            "listen": "127.0.0.1:0",
            "discovery": "127.0.0.1:1",
            "seed": "7",
            "settings": SETTINGS,
        }
        conf = tmp_path / "node.json"
        conf.write_text(json.dumps(node))
        features = of_features.load(file)
        async with running_proxy([], features) as w:
            w.proxy.environ = {"NODE_CONFIG": str(conf), "HONEYWHARF_FEATURES": str(file)}
            w.proxy.conf = of_node.load(w.proxy.environ)
            status, output = await run_command("config", "show", "--socket", socket_path, "--json")
            rows = {r["key"]: r for r in orjson.loads(output)}
            assert status == 0
            assert rows["storms.ratio"] == {"key": "storms.ratio", "value": 0.25, "source": f"{file}:5"}
            assert rows["node.name"] == {"key": "node.name", "value": "n3", "source": str(conf)}
            assert "storms.on" not in rows  # Defaults are not shown.
            assert not any(k.startswith(("node.known", "node.seed")) for k in rows)
            status, output = await run_command("config", "show", "--socket", socket_path, "storms")
            assert (status, "default" in output, "node.name" in output) == (0, True, False)
            assert (await run_command("config", "diff", "--socket", socket_path)) == (
                0,
                "nothing would change\n",
            )
            conf.write_text(json.dumps({**node, "discovery": "127.0.0.1:2", "limits": {"sockets": 99}}))
            file.write_text(f'[admin]\nsocket = "{socket_path}"\n[storms]\nratio = 0.5\n')
            status, output = await run_command("config", "diff", "--socket", socket_path, "--json")
            assert status == 1
            assert {(d["key"], d["held"], d["wanted"], d["when"]) for d in orjson.loads(output)} == {
                ("node.discovery", "127.0.0.1:1", "127.0.0.1:2", "reload"),
                ("node.sockets", 1024, 99, "start"),
                ("storms.ratio", 0.25, 0.5, "start"),
            }
            w.proxy.reload()
            status, output = await run_command("config", "diff", "--socket", socket_path, "--json")
            assert {d["key"] for d in orjson.loads(output)} == {"node.sockets", "storms.ratio"}
            file.write_text("[storms]\nratio = 7\n")
            status, output = await run_command("config", "diff", "--socket", socket_path)
            assert (
                status,
                f"{file}:2:1: storms.ratio: expected a number over 0 and at most 1, got 7" in output,
            ) == (2, True)

    run(main())


def test_credentials_are_not_shown() -> None:
    features = Features(
        traces=msgspec.structs.replace(
            Traces(), otlp=msgspec.structs.replace(Traces().otlp, headers={"Authorization": "Bearer secret"})
        )
    )
    shown = {k: v for k, v in source.flatten(source.to_json_types(features)) if "Authorization" in k}
    assert list(shown.values()) == ["Bearer secret"]  # The value must be hidden below.
    assert "secret" not in str(source.values(make_config(1, []), features))


def test_files_that_contradict_each_other_are_reported(tmp_path: Path) -> None:
    conf, file = tmp_path / "node.json", tmp_path / "f.toml"
    conf.write_text(
        json.dumps({"listen": "127.0.0.1:1", "discovery": "127.0.0.1:1", "seed": "7", "settings": SETTINGS})
    )
    for text, expected_message in (
        ("keep_ms = { order = 100.0 }", ":3:13: order_keys.keep_ms.order: found 100, wanted 7500 at"),
        ("alone = ['read']", ":3:1: order_keys.alone: found class 'read', wanted one of order"),
    ):
        file.write_text(f"[order_keys]\nstore = 'process'\n{text}\n")
        status, output = run(run_command("config", "check", str(conf), str(file)))
        assert (status, f"{file}{expected_message}" in output) == (2, True), output
        assert run(run_command("check-config", str(file)))[0] == 0  # The file alone is valid.


def test_a_key_is_shown_and_a_finished_one_is_forgotten_and_logged(tmp_path: Path) -> None:
    async def main() -> None:
        backend, socket_path = await Backend().start(), str(tmp_path / "s")
        features = admin_features(tmp_path / "s", order_keys=OrderKeys(store="process"))
        async with running_proxy([backend.row("b")], features) as w:
            client = await Client.to(w.port)
            backend.default_reply = None
            client.send("order", b"x", "4000m", "X-Account: acme", key="k1")
            await until(lambda: bool(backend.requests))
            key_arguments = ("--socket", socket_path, "--tenant", "acme")
            status, output = await run_command("keys", "show", "k1", *key_arguments, "--json")
            assert (status, orjson.loads(output)["state"]) == (0, "running")
            status, output = await run_command("keys", "forget", "k1", *key_arguments, "--yes")
            assert (status, "found that it runs" in output) == (1, True)
            for writer in list(backend.writers):
                writer.write(b"HTTP/1.1 200 X\r\nContent-Length: 3\r\n\r\none")
            assert (await client.answer())[2] == b"one"
            status, output = await run_command("keys", "show", "k1", *key_arguments, "--json")
            found = orjson.loads(output)
            assert (found["state"], found["answer_kept"], found["zone"]) == ("done", True, "z")
            status, output = await run_command("keys", "show", "--socket", socket_path)
            assert (status, "1 keys of 20000" in output, "acme" in output) == (0, True, True)
            # An unconfirmed command fails.
            assert (await run_command("keys", "forget", "k1", *key_arguments))[0] == 1
            status, output = await run_command("keys", "forget", "k1", *key_arguments, "--yes")
            assert (status, "admin: keys forget, requested by user" in output) == (0, True)
            output = (await run_command("keys", "show", "k1", *key_arguments, "--json"))[1]
            assert orjson.loads(output) == {"state": "not known"}
            assert (await run_command("keys", "forget", "k1", *key_arguments, "--yes"))[0] == 1
            status, output = await run_command(
                "keys", "show", "k1", "--socket", socket_path, "--class", "read"
            )
            assert (status, "found class 'read', wanted one of order" in output) == (1, True)
            backend.default_reply = b"HTTP/1.1 200 X\r\nContent-Length: 3\r\n\r\ntwo"
            client.send("order", b"x", "4000m", "X-Account: acme", key="k1")
            assert (await client.answer())[2] == b"two"  # The request was executed again.
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


def test_metrics_match_the_proxy_and_exemplars_name_recorded_traces(tmp_path: Path) -> None:
    async def main() -> None:
        backend, socket_path = await Backend().start(), str(tmp_path / "s")
        features = admin_features(
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
            status, text = await run_command("metrics", "--socket", socket_path)
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
            recorded = {orjson.loads(line)["trace_id"] for line in (tmp_path / "t").read_bytes().splitlines()}
            assert named == recorded
            assert len(recorded) == 1
            assert [s.value for s in found["honeywharf_failures"].samples] == [1.0]
            assert {s.labels["zone"] for s in found["honeywharf_zone_limit"].samples} == {"z"}
            (at_port,) = [p.listen_address for p in w.proxy.components if isinstance(p, MetricsComponent)]
            assert at_port is not None
            port = at_port[1]
            for accepted_type, exemplars in (("application/openmetrics-text", True), ("*/*", False)):
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.write(f"GET /metrics HTTP/1.1\r\nAccept: {accepted_type}\r\n\r\n".encode())
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


def test_metrics_are_not_served_to_the_network(tmp_path: Path) -> None:
    async def main() -> None:
        with pytest.raises(ValueError, match=r"metrics\.listen: expected a loopback .*, got '0\.0\.0\.0:1'"):
            async with running_proxy([], Features(metrics=Metrics(listen="0.0.0.0:1"))):
                pass

    run(main())


def test_series_are_bounded_and_buckets_add_up() -> None:
    durations = DurationHistograms()
    for i in range(MAX_SERIES + 50):
        durations.answered(f"class-{i}", "served", 10.0, 0.0, None)
    assert (len(durations.series), durations.dropped) == (MAX_SERIES, 50)
    durations = DurationHistograms()
    for ms in (0.0, 5.0, 5.1, 4999.0, 10_000.0, 1e9, -3.0):
        durations.answered("read", "served", ms, 0.0, None)
    text = exposition_text(
        Families(
            "n",
            "z",
            "1",
            dict,
            lambda: {"zones": [], "endpoints": {}, "open": 0, "retry_budget": 0.0, "ready": True},
            durations,
        ),
        True,
    ).decode()
    samples = families(text)["honeywharf_request_duration_seconds"].samples
    counted = {s.labels["le"]: s.value for s in samples if s.name.endswith("_bucket")}
    assert [counted[le] for le in ("0.005", "0.01", "5.0", "10.0", "+Inf")] == [3, 4, 5, 6, 7]
    assert len(counted) == len(BOUNDS_S) + 1


def log_calls() -> Iterator[tuple[str, int, list[str]]]:
    for path in sorted((ROOT / "honeywharf").rglob("*.py")):
        for node in ast.walk(ast.parse(path.read_text("utf-8"))):
            if isinstance(node, ast.Call) and isinstance(node.func, ast.Name) and node.func.id == "log":
                arguments = [a.value for a in node.args[1:] if isinstance(a, ast.Constant)]
                yield path.name, node.lineno, [str(w) for w in arguments]


def test_every_log_line_has_a_known_event_and_the_page_lists_them_all() -> None:
    used = set()
    for name, line, arguments in log_calls():
        assert arguments, f"{name}:{line} logs without an event"
        assert arguments[0] in logs.EVENTS, f"{name}:{line} logs {arguments[0]!r}"
        assert all(w in logs.LEVELS for w in arguments[1:])
        used.add(arguments[0])
    assert used == set(logs.EVENTS)  # Each event is in use.
    page = (ROOT / "docs" / "operators" / "metrics.md").read_text("utf-8")
    assert set(re.findall(r"^\| `([a-z_.]+)` \|", page, re.M)) >= used


@pytest.mark.parametrize(("level", "lines"), [("info", 2), ("warning", 1), ("error", 1)])
def test_lines_in_json_have_level_event_message_and_fields(
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
    messages = [json.loads(line) for line in capsys.readouterr().err.splitlines()]
    assert len(messages) == lines
    last = messages[-1]
    assert (last["level"], last["event"], last["message"]) == ("error", "loop.fault", "it broke\nin two")
    if lines == 2:
        assert (
            messages[0]["proxy"],
            messages[0]["port"],
            messages[0]["event"],
            messages[0]["field.event"],
        ) == (
            "n3",
            7,
            "listening",
            "mine",
        )
    log("plain again", "stats")
    assert capsys.readouterr().err == "plain again\n"


def test_disabled_features_are_not_imported() -> None:
    result = subprocess.run(
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
    assert result.stdout.strip() == "[]"
