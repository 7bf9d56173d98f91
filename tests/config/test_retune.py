"""A reload takes a file's settings whole, or nothing of it."""

from __future__ import annotations

import asyncio
import copy
import json
from pathlib import Path
from typing import Any

import pytest
from hypothesis import HealthCheck, given, settings as of_test, strategies as st

from honeywharf.config import node, retune
from honeywharf.policy import interface as api
from tests.helpers import KEYED, REPEATABLE, Driver, endpoint, make_settings
from tests.loopback import SETTINGS, Backend, Client, reply, row, run, running_proxy, soon, until

GOOD: dict[str, Any] = {
    "name": "n",
    "listen": "127.0.0.1:0",
    "discovery": "127.0.0.1:1",
    "seed": "8c1f30d27a5be964",
    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
    "settings": SETTINGS,
    "known": {"generation": 1, "reset": True, "instances": [row("b", 1)]},
}


def load(path: Path, text: str | bytes) -> node.Config:
    file = path / "config.json"
    file.write_bytes(text.encode() if isinstance(text, str) else text)
    return node.load({"NODE_CONFIG": str(file)})


def places(value: Any, path: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
    """Every key and place of a JSON value."""
    found = [path] if path else []
    items = value.items() if isinstance(value, dict) else enumerate(value) if isinstance(value, list) else ()
    for key, inner in items:
        found += places(inner, (*path, key))
    return found


def changed(path: tuple[Any, ...], value: Any, drop: bool = False) -> dict[str, Any]:
    made = copy.deepcopy(GOOD)
    inner: Any = made
    for key in path[:-1]:
        inner = inner[key]
    if drop:
        del inner[path[-1]]
    else:
        inner[path[-1]] = value
    return made


@pytest.mark.parametrize(
    ("path", "value", "words"),
    [
        (("name",), "m", "name: found 'm', wanted 'n'"),
        (("settings", "profiles", 0, "deadlineMs"), 0, "aim outside"),
        (("settings", "profiles", 0, "deadlineMs"), -5, "aim outside"),
        (("settings", "profiles", 0, "deadlineMs"), "soon", "deadlineMs: a number is wanted, not 'soon'"),
        (("settings", "profiles", 0, "deadlineMs"), True, "deadlineMs: a number is wanted"),
        (("settings", "profiles", 0, "deadlineMs"), [1], "deadlineMs: a number is wanted"),
        (("settings", "profiles", 0, "deadlineMs"), 1e300, "a number of at most 1e\\+18"),
        (("settings", "profiles", 0, "deadlineMs"), None, "deadlineMs"),
        (("settings", "profiles", 1, "windowMs"), None, "settings.profiles.order.windowMs: found nothing"),
        (("settings", "profiles"), {}, "profiles: a list of objects"),
        (("settings", "profiles"), [], "no request class"),
        (("settings", "bounds", "mostTries"), 0, "no attempt allowed"),
        (("settings", "bounds", "mostTries"), -1, "no attempt allowed"),
        (("settings", "bounds", "mostTries"), "3", "mostTries: a whole number is wanted, not '3'"),
        (("settings", "bounds", "mostTries"), 2.5, "mostTries: a whole number is wanted, not 2.5"),
        (("settings", "bounds", "mostTries"), None, "settings.bounds.mostTries: found nothing"),
        (("settings", "bounds"), 7, "bounds: an object is wanted"),
        (("settings",), None, "settings: an object is wanted"),
        (("limits",), None, "limits: found nothing, wanted a value"),
    ],
)
def test_what_is_turned_down_is_told_by_key(
    tmp_path: Path,
    path: tuple[Any, ...],
    value: Any,
    words: str,
) -> None:
    held = load(tmp_path, json.dumps(GOOD))
    with pytest.raises((node.ConfigError, retune.RetuneError), match=words):
        retune.check(held, load(tmp_path, json.dumps(changed(path, value))))


def test_a_file_cut_at_any_byte_is_turned_down(tmp_path: Path) -> None:
    held, text = load(tmp_path, json.dumps(GOOD)), json.dumps(GOOD)
    for end in range(len(text)):
        with pytest.raises(node.ConfigError):
            load(tmp_path, text[:end])
    with pytest.raises(node.ConfigError, match="found over"):
        load(tmp_path, text + " " * node.MAX_BYTES)
    with pytest.raises(node.ConfigError, match="not JSON"):
        load(tmp_path, text.replace("5000.0", "NaN"))
    retune.check(held, load(tmp_path, text))


def test_any_key_that_is_gone_is_told_and_nothing_else_is_asked_for(tmp_path: Path) -> None:
    """Each key of the file in force, one at a time; lists may grow and shrink, and what is new is welcome."""
    held = load(tmp_path, json.dumps(GOOD))
    for path in places(GOOD):
        if isinstance(path[-1], int) or path[0] == "known":
            continue  # an entry of a list, or the list of backends, which is the start's alone
        with pytest.raises((node.ConfigError, retune.RetuneError), match=str(path[-1])):
            retune.check(held, load(tmp_path, json.dumps(changed(path, None, drop=True))))
    more = changed(
        ("settings", "profiles"),
        [*SETTINGS["profiles"], {"name": "new", "aimMs": 1.0, "deadlineMs": 2.0, "idempotency": "once"}],
    )
    more["settings"]["new"] = 1
    retune.check(held, load(tmp_path, json.dumps(more)))


SOME = st.sampled_from([None, 0, -1, 1.5, 3, "x", "", True, [], {}, [1], {"a": 1}, 1e30])


@given(st.data())
@of_test(suppress_health_check=[HealthCheck.function_scoped_fixture], deadline=None, max_examples=150)
def test_any_mutation_is_taken_over_whole_or_refused_whole(tmp_path: Path, data: st.DataObject) -> None:
    """What passes is a configuration that the module can be told; what does not has one plain line."""
    held = load(tmp_path, json.dumps(GOOD))
    path = data.draw(st.sampled_from(places(GOOD)))
    text = json.dumps(changed(path, data.draw(SOME), drop=data.draw(st.booleans())))
    try:
        wanted = load(tmp_path, text)
        retune.check(held, wanted)
    except (node.ConfigError, retune.RetuneError) as fault:
        words = str(fault)
    else:
        words = ""
    assert "\n" not in words
    if words:
        return
    assert all(0 < c.aim_ms <= c.deadline_ms < float("inf") for c in wanted.settings.classes)
    assert wanted.settings.limits.max_attempts >= 1
    driver = Driver(held.settings)
    driver.list([endpoint("b", "z")])
    driver.feed(api.SettingsChanged(retune.between(held.settings, wanted.settings)))
    (action,) = driver.request(wanted.settings.classes[0].name)
    assert isinstance(action, api.Send | api.Refuse)


def test_requests_under_way_keep_their_class_and_new_ones_have_the_new() -> None:
    driver = Driver(make_settings(classes=(REPEATABLE, KEYED)))
    driver.list([endpoint(n, started_ms=None) for n in ("a1", "a2", "a3")])
    (sent,) = driver.request("read")
    assert isinstance(sent, api.Send)
    once = api.RequestClass("keyed", aim_ms=1000, deadline_ms=2000, effect=api.Effect.ONCE)
    driver.feed(api.SettingsChanged(make_settings(classes=(once,), limits=api.Limits(max_attempts=2))))
    again = driver.end(api.Outcome.RESET)  # its class has vanished while its retry waits
    assert [type(a) for a in again] == [api.Send]
    ended = driver.end(api.Outcome.RESET, attempt=1)  # and fewer attempts are allowed
    assert [type(a) for a in ended] == [api.Refuse]
    (sent,) = driver.request("keyed")
    assert isinstance(sent, api.Send)
    assert [type(a) for a in driver.end(api.Outcome.RESET)] == [api.Fail]  # it may have run: stricter now
    assert [type(a) for a in driver.request("read")] == [api.Fail]


def test_a_reload_by_a_running_proxy(tmp_path: Path) -> None:
    async def main() -> None:
        backend = await Backend().start()
        backend.default_reply = None
        async with running_proxy([backend.row("b")]) as w:
            file = tmp_path / "config.json"
            w.proxy.environ = {"NODE_CONFIG": str(file)}
            good = {**GOOD, "discovery": f"127.0.0.1:{w.discovery.port}"}
            w.proxy.conf = load(tmp_path, json.dumps(good))  # as if it had been started by this file

            def reload(**changes: Any) -> None:
                file.write_text(json.dumps({**good, "settings": {**SETTINGS, **changes}}))
                w.proxy.reload()

            client, other = await Client.to(w.port), await Client.to(w.port)
            client.send("read")
            await soon(backend.request_received.wait())
            read, order, pay = SETTINGS["profiles"]
            reload(profiles=[{**read, "deadlineMs": 0}, order, pay])
            assert w.proxy.driver.validator.classes["read"].deadline_ms == 5000.0  # refused whole
            reload(
                profiles=[
                    order,
                    pay,
                    {"name": "new", "aimMs": 50.0, "deadlineMs": 80.0, "idempotency": "once"},
                ]
            )
            other.send("new", left="5000m")
            assert await other.status() == 502  # its own deadline, in time
            for writer in list(backend.writers):
                writer.write(reply(200, b"tile"))
            assert (await client.answer())[2] == b"tile"  # under way: it keeps its class
            reload(profiles=[{**read, "idempotency": "once"}, order, pay])
            backend.default_reply = reply(200, b"tile")
            client.send("read")  # written before: its method is the former class's
            assert await client.status() == 200
            reload(
                profiles=[{**read, "idempotency": "once"}, order, pay],
                bounds={**SETTINGS["bounds"], "mostTries": 1},
            )
            assert w.proxy.driver.settings.limits.max_attempts == 1
            assert w.proxy.pool.connect_timeout_s > 0
        await backend.stop()

    run(main())


def test_the_former_form_and_vanished_classes_end_with_the_longest_deadline(tmp_path: Path) -> None:
    """And a newer reload is not taken back by the end of an older one."""

    async def main() -> None:
        short = [{**c, "aimMs": 20.0, "deadlineMs": 60.0} for c in SETTINGS["profiles"]]
        async with running_proxy([row("b", 1)], profiles=short) as w:
            file = tmp_path / "config.json"
            w.proxy.environ = {"NODE_CONFIG": str(file)}
            good = {
                **GOOD,
                "discovery": f"127.0.0.1:{w.discovery.port}",
                "settings": {**SETTINGS, "profiles": short},
            }
            w.proxy.conf = load(tmp_path, json.dumps(good))
            for classes in (short[1:], short[2:]):
                file.write_text(json.dumps({**good, "settings": {**SETTINGS, "profiles": classes}}))
                w.proxy.reload()
            assert set(w.proxy.driver.validator.classes) == {"read", "order", "pay"}
            await until(lambda: set(w.proxy.driver.validator.classes) == {"pay"})
            await asyncio.sleep(0)
            assert [c.name for c in w.proxy.balancer.settings.classes] == ["pay"]

    run(main())
