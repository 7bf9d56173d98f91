"""A reload applies a file's settings completely, or not at all."""

from __future__ import annotations

import asyncio
import copy
import json
from pathlib import Path
from typing import Any

import pytest
from hypothesis import HealthCheck, given, settings as hypothesis_settings, strategies as st

from honeywharf.config import node, reloading
from honeywharf.policy import interface as api
from tests.helpers import KEYED, REPEATABLE, Driver, endpoint, make_settings
from tests.loopback import SETTINGS, Backend, Client, reply, row, run, running_proxy, soon, until

VALID: dict[str, Any] = {
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


def paths(value: Any, path: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
    """Returns the path of every key and index of a JSON value."""
    found = [path] if path else []
    items = value.items() if isinstance(value, dict) else enumerate(value) if isinstance(value, list) else ()
    for key, child in items:
        found += paths(child, (*path, key))
    return found


def mutate(path: tuple[Any, ...], value: Any, drop: bool = False) -> dict[str, Any]:
    mutated = copy.deepcopy(VALID)
    container: Any = mutated
    for key in path[:-1]:
        container = container[key]
    if drop:
        del container[path[-1]]
    else:
        container[path[-1]] = value
    return mutated


@pytest.mark.parametrize(
    ("path", "value", "message"),
    [
        (("name",), "m", "name: expected 'n', got 'm'"),
        (("settings", "profiles", 0, "deadlineMs"), 0, "aim outside"),
        (("settings", "profiles", 0, "deadlineMs"), -5, "aim outside"),
        (("settings", "profiles", 0, "deadlineMs"), "soon", "deadlineMs: a number is wanted, not 'soon'"),
        (("settings", "profiles", 0, "deadlineMs"), True, "deadlineMs: a number is wanted"),
        (("settings", "profiles", 0, "deadlineMs"), [1], "deadlineMs: a number is wanted"),
        (("settings", "profiles", 0, "deadlineMs"), 1e300, "a number of at most 1e\\+18"),
        (("settings", "profiles", 0, "deadlineMs"), None, "deadlineMs"),
        (
            ("settings", "profiles", 1, "windowMs"),
            None,
            "settings.profiles.order.windowMs: expected a value, as the current classes have, got nothing",
        ),
        (("settings", "profiles"), {}, "profiles: a list of objects"),
        (("settings", "profiles"), [], "no request class"),
        (("settings", "bounds", "mostTries"), 0, "no attempt allowed"),
        (("settings", "bounds", "mostTries"), -1, "no attempt allowed"),
        (("settings", "bounds", "mostTries"), "3", "mostTries: a whole number is wanted, not '3'"),
        (("settings", "bounds", "mostTries"), 2.5, "mostTries: a whole number is wanted, not 2.5"),
        (
            ("settings", "bounds", "mostTries"),
            None,
            "settings.bounds.mostTries: expected a value, as in the current file, got nothing",
        ),
        (("settings", "bounds"), 7, "bounds: an object is wanted"),
        (("settings",), None, "settings: expected an object, got NoneType"),
        (("limits",), None, "limits: expected a value, as in the current file, got nothing"),
    ],
)
def test_a_rejected_file_is_reported_by_key(
    tmp_path: Path,
    path: tuple[Any, ...],
    value: Any,
    message: str,
) -> None:
    current = load(tmp_path, json.dumps(VALID))
    with pytest.raises((node.ConfigError, reloading.ReloadError), match=message):
        reloading.check(current, load(tmp_path, json.dumps(mutate(path, value))))


def test_a_file_truncated_at_any_byte_is_rejected(tmp_path: Path) -> None:
    current, text = load(tmp_path, json.dumps(VALID)), json.dumps(VALID)
    for end in range(len(text)):
        with pytest.raises(node.ConfigError):
            load(tmp_path, text[:end])
    with pytest.raises(node.ConfigError, match="expected at most"):
        load(tmp_path, text + " " * node.MAX_BYTES)
    with pytest.raises(node.ConfigError, match="expected JSON"):
        load(tmp_path, text.replace("5000.0", "NaN"))
    reloading.check(current, load(tmp_path, text))


def test_any_missing_key_is_reported_and_new_keys_are_accepted(tmp_path: Path) -> None:
    """Removes one key of the current file at a time. Lists may grow and shrink; new keys are accepted."""
    current = load(tmp_path, json.dumps(VALID))
    for path in paths(VALID):
        if isinstance(path[-1], int) or path[0] == "known":
            continue  # Lists may shrink, and the list of backends is used only at the start.
        with pytest.raises((node.ConfigError, reloading.ReloadError), match=str(path[-1])):
            reloading.check(current, load(tmp_path, json.dumps(mutate(path, None, drop=True))))
    extended = mutate(
        ("settings", "profiles"),
        [*SETTINGS["profiles"], {"name": "new", "aimMs": 1.0, "deadlineMs": 2.0, "idempotency": "once"}],
    )
    extended["settings"]["new"] = 1
    reloading.check(current, load(tmp_path, json.dumps(extended)))


VALUES = st.sampled_from([None, 0, -1, 1.5, 3, "x", "", True, [], {}, [1], {"a": 1}, 1e30])


@given(st.data())
@hypothesis_settings(
    suppress_health_check=[HealthCheck.function_scoped_fixture], deadline=None, max_examples=150
)
def test_any_mutation_is_applied_completely_or_rejected(tmp_path: Path, data: st.DataObject) -> None:
    """An accepted file can be applied to the decision module; a rejected one gives a message of one line."""
    current = load(tmp_path, json.dumps(VALID))
    path = data.draw(st.sampled_from(paths(VALID)))
    text = json.dumps(mutate(path, data.draw(VALUES), drop=data.draw(st.booleans())))
    try:
        wanted = load(tmp_path, text)
        reloading.check(current, wanted)
    except (node.ConfigError, reloading.ReloadError) as error:
        message = str(error)
    else:
        message = ""
    assert "\n" not in message
    if message:
        return
    assert all(0 < c.aim_ms <= c.deadline_ms < float("inf") for c in wanted.settings.classes)
    assert wanted.settings.limits.max_attempts >= 1
    driver = Driver(current.settings)
    driver.list([endpoint("b", "z")])
    driver.feed(api.SettingsChanged(reloading.transition_settings(current.settings, wanted.settings)))
    (action,) = driver.request(wanted.settings.classes[0].name)
    assert isinstance(action, api.Send | api.Refuse)


def test_pending_requests_keep_their_class_and_new_ones_use_the_new() -> None:
    driver = Driver(make_settings(classes=(REPEATABLE, KEYED)))
    driver.list([endpoint(n, started_ms=None) for n in ("a1", "a2", "a3")])
    (sent,) = driver.request("read")
    assert isinstance(sent, api.Send)
    once = api.RequestClass("keyed", aim_ms=1000, deadline_ms=2000, effect=api.Effect.ONCE)
    driver.feed(api.SettingsChanged(make_settings(classes=(once,), limits=api.Limits(max_attempts=2))))
    again = driver.end(api.Outcome.RESET)  # The request's class has been removed.
    assert [type(a) for a in again] == [api.Send]
    ended = driver.end(api.Outcome.RESET, attempt=1)  # The new settings allow fewer attempts.
    assert [type(a) for a in ended] == [api.Refuse]
    (sent,) = driver.request("keyed")
    assert isinstance(sent, api.Send)
    assert [type(a) for a in driver.end(api.Outcome.RESET)] == [
        api.Fail
    ]  # May have run, and the new effect is stricter.
    assert [type(a) for a in driver.request("read")] == [api.Fail]


def test_a_reload_by_a_running_proxy(tmp_path: Path) -> None:
    async def main() -> None:
        backend = await Backend().start()
        backend.default_reply = None
        async with running_proxy([backend.row("b")]) as w:
            file = tmp_path / "config.json"
            w.proxy.environ = {"NODE_CONFIG": str(file)}
            good = {**VALID, "discovery": f"127.0.0.1:{w.discovery.port}"}
            w.proxy.conf = load(tmp_path, json.dumps(good))  # The proxy behaves as if started with this file.

            def reload(**changes: Any) -> None:
                file.write_text(json.dumps({**good, "settings": {**SETTINGS, **changes}}))
                w.proxy.reload()

            client, other = await Client.to(w.port), await Client.to(w.port)
            client.send("read")
            await soon(backend.request_received.wait())
            read, order, pay = SETTINGS["profiles"]
            reload(profiles=[{**read, "deadlineMs": 0}, order, pay])
            assert w.proxy.driver.validator.classes["read"].deadline_ms == 5000.0  # Rejected completely.
            reload(
                profiles=[
                    order,
                    pay,
                    {"name": "new", "aimMs": 50.0, "deadlineMs": 80.0, "idempotency": "once"},
                ]
            )
            other.send("new", left="5000m")
            assert await other.status() == 502  # The new class's own deadline applies.
            for writer in list(backend.writers):
                writer.write(reply(200, b"tile"))
            assert (await client.answer())[2] == b"tile"  # A pending request keeps its class.
            reload(profiles=[{**read, "idempotency": "once"}, order, pay])
            backend.default_reply = reply(200, b"tile")
            client.send("read")  # The client's method is that of the former class.
            assert await client.status() == 200
            reload(
                profiles=[{**read, "idempotency": "once"}, order, pay],
                bounds={**SETTINGS["bounds"], "mostTries": 1},
            )
            assert w.proxy.driver.settings.limits.max_attempts == 1
            assert w.proxy.pool.connect_timeout_s > 0
        await backend.stop()

    run(main())


def test_former_and_removed_classes_end_after_the_longest_deadline(tmp_path: Path) -> None:
    """The end of an older reload's transition does not undo a newer reload."""

    async def main() -> None:
        short = [{**c, "aimMs": 20.0, "deadlineMs": 60.0} for c in SETTINGS["profiles"]]
        async with running_proxy([row("b", 1)], profiles=short) as w:
            file = tmp_path / "config.json"
            w.proxy.environ = {"NODE_CONFIG": str(file)}
            good = {
                **VALID,
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
