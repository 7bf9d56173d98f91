"""The Redis stand-in, tested through the redis-py client."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
import redis

from honeywharf.orderkeys import scripts
from honeywharf.standins.redis import Redis

pytestmark = pytest.mark.model


@pytest.fixture
def server() -> Iterator[Redis]:
    made = asyncio.run(Redis().start())
    yield made
    made.kill()


def client(server: Redis, protocol: int = 3, **options: Any) -> Any:
    return redis.Redis(port=server.port, protocol=protocol, socket_timeout=10.0, **options)


@pytest.mark.parametrize("protocol", [2, 3])
def test_commands_reply_as_their_pages_say(server: Redis, protocol: int) -> None:
    c = client(server, protocol)
    assert c.ping() is True
    assert c.set("s", "1")
    assert (c.get("s"), c.get("none"), c.delete("s", "none"), c.get("s")) == (b"1", None, 1, None)
    assert c.hset("h", mapping={"a": "1", "b": "2"}) == 2
    assert c.hset("h", "a", "3") == 0
    assert (c.hget("h", "a"), c.hmget("h", "a", "x"), c.hincrby("h", "n", -4)) == (b"3", [b"3", None], -4)
    assert (c.hdel("h", "a", "b", "x"), c.hdel("h", "n"), c.keys("*")) == (2, 1, [])
    assert (c.sadd("m", "x", "y"), c.sadd("m", "x"), c.scard("m")) == (2, 0, 2)
    assert set(c.smembers("m")) == {b"x", b"y"}
    assert c.zadd("z", {"a": 1, "b": 2.5, "c": 2.5, "d": 9}) == 4
    assert (c.zrange("z", 0, -1), c.zrevrange("z", 0, 0), c.zrange("z", 3, 1)) == (
        [b"a", b"b", b"c", b"d"],
        [b"d"],
        [],
    )
    assert c.zrangebyscore("z", "-inf", 2.5, start=1, num=2) == [b"b", b"c"]
    assert (c.zincrby("z", 0.5, "a"), c.zrem("z", "d", "x"), c.zcard("z")) == (1.5, 1, 3)
    assert c.pexpire("z", 30000) == 1
    assert c.pexpire("none", 1) == 0
    with pytest.raises(redis.ResponseError, match="wrong kind"):
        c.get("z")
    with pytest.raises(redis.ResponseError, match="unknown command 'LPUSH'"):
        c.lpush("l", "x")
    with pytest.raises(redis.ResponseError, match="wrong number of arguments for 'HSET'"):
        c.execute_command("HSET", "h", "a")
    other = client(server, protocol, db=3)
    assert other.keys("*") == []
    assert c.flushall()
    assert c.keys("*") == []


@pytest.mark.parametrize("protocol", [2, 3])
def test_messages_reach_subscribers(server: Redis, protocol: int) -> None:
    subscriber: Any = client(server, protocol).pubsub()
    subscriber.subscribe("there", "elsewhere")
    confirmations = [subscriber.get_message(timeout=10.0) for _ in range(2)]
    assert [t["type"] for t in confirmations] == ["subscribe", "subscribe"]
    assert client(server, protocol).publish("there", "word") == 1
    assert subscriber.get_message(timeout=10.0)["data"] == b"word"
    subscriber.unsubscribe("there")
    subscriber.get_message(timeout=10.0)
    assert client(server, protocol).publish("there", "word") == 0


def test_values_are_converted_between_scripts_and_commands(server: Redis) -> None:
    c = client(server)
    for text, wanted in (
        ("return 3.9", 3),
        ("return '3.9'", b"3.9"),
        ("return {1, 'a', nil, 2}", [1, b"a"]),
        ("return false", None),
        ("return true", 1),
        ("return redis.call('GET', 'none') == false", 1),
        ("return redis.call('SET', KEYS[1], ARGV[1] + 1).ok", b"OK"),
        ("return redis.call('GET', 'k')", b"8"),
        ("return {ok = 'fine'}", b"fine"),
        ("return redis.call('HMGET', 'none', 'a', 'b')", [None, None]),
        ("return 2 ^ 53", 2**53),
    ):
        assert c.eval(text, 1, "k", "7") == wanted, text
    with pytest.raises(redis.ResponseError, match="gone wrong"):
        c.eval("return {err = 'ERR gone wrong'}", 0)
    with pytest.raises(redis.ResponseError, match="Error compiling"):
        c.eval("return return", 0)
    with pytest.raises(redis.ResponseError, match="script: "):
        c.eval("return nil + 1", 0)
    with pytest.raises(redis.ResponseError, match="wrong kind"):
        c.eval("redis.call('HSET', 'h', 'a', '1') return redis.call('GET', 'h')", 0)


def test_a_flush_and_a_restart_remove_all_scripts(server: Redis) -> None:
    c = client(server)
    digest = c.script_load("return 7")
    assert c.script_exists(digest, "0" * 40) == [1, 0]
    assert c.evalsha(digest, 0) == 7
    c.script_flush()
    with pytest.raises(redis.exceptions.NoScriptError):
        c.evalsha(digest, 0)
    digest = c.script_load("return 7")
    run = c.info("server")["run_id"]
    server.kill()
    asyncio.run(server.start())
    with pytest.raises(redis.exceptions.NoScriptError):
        c.evalsha(digest, 0)
    assert c.info("server")["run_id"] != run


def test_users_are_authenticated(server: Redis) -> None:
    unauthenticated = client(server)
    unauthenticated.execute_command("ACL", "SETUSER", "wharf", "on", ">secret", "~*", "+@all")
    unauthenticated.config_set("requirepass", "right")
    wrong: list[dict[str, Any]] = [
        {"password": "wrong"},
        {"username": "wharf", "password": "right"},
        {"username": "nobody", "password": "right"},
    ]
    for options in wrong:
        with pytest.raises(redis.exceptions.AuthenticationError):
            client(server, **options).ping()
    with pytest.raises(redis.exceptions.AuthenticationError):
        client(server, protocol=2).get("k")
    assert client(server, password="right").ping()
    assert client(server, username="wharf", password="secret").ping()


def test_full_memory_rejects_growing_commands_or_evicts_keys(server: Redis) -> None:
    c, value = client(server), "x" * 10_000
    writes = c.register_script("return redis.call('SET', KEYS[1], ARGV[1])")
    allowed = c.register_script("#!lua flags=allow-oom\nreturn redis.call('SET', KEYS[1], ARGV[1])")
    empty = c.info("memory")["used_memory"]
    c.config_set("maxmemory", str(empty + 25_000))
    for i in range(3):
        c.set(f"k{i}", value)
    with pytest.raises(redis.exceptions.OutOfMemoryError):
        c.set("k3", value)
    with pytest.raises(redis.exceptions.OutOfMemoryError):
        writes(keys=["k3"], args=[value])
    assert c.get("k3") is None
    assert allowed(keys=["k3"], args=["y"]) == b"OK"
    c.delete("k0", "k1", "k2", "k3")
    assert c.info("memory")["used_memory"] == empty  # Deleted keys free their memory.
    c.config_set("maxmemory-policy", "allkeys-lru")
    for i in range(3):
        c.set(f"k{i}", value)
    c.get("k0")
    c.set("k3", value)
    assert [c.get(f"k{i}") is not None for i in range(4)] == [True, False, True, True]


def test_the_clock_can_be_set_and_keys_expire(server: Redis) -> None:
    c = client(server)
    c.execute_command("STANDIN", "CLOCK", "SET", "5000")
    c.set("k", "v")
    c.pexpire("k", 100)
    assert c.time() == (5, 0)
    c.execute_command("STANDIN", "CLOCK", "SET", "5099")
    assert c.get("k") == b"v"
    c.execute_command("STANDIN", "CLOCK", "SET", "5100")
    assert c.get("k") is None
    c.execute_command("STANDIN", "CLOCK", "SHIFT", "-7200000")
    assert 7190 < time.time() - c.time()[0] < 7260


def test_replies_can_be_delayed_or_truncated(server: Redis) -> None:
    c = client(server)
    c.execute_command("STANDIN", "SLOW", "60")
    started = time.monotonic()
    assert c.ping()
    assert time.monotonic() - started >= 0.055
    c.execute_command("STANDIN", "SLOW", "0")
    c.set("k", "a long value")
    no_retry = client(server, retry=None)
    no_retry.ping()
    c.execute_command("STANDIN", "CUT", "7")
    with pytest.raises(redis.exceptions.ConnectionError):
        no_retry.get("k")
    assert c.get("k") == b"a long value"  # The client has reconnected.


def test_a_server_with_a_file_keeps_its_data_over_a_kill(tmp_path: Path) -> None:
    server = asyncio.run(Redis(tmp_path / "data").start())
    try:
        c = client(server)
        writes = c.register_script("return redis.call('HINCRBY', KEYS[1], 'n', redis.call('TIME')[1])")
        sums = [writes(keys=["h"]) for _ in range(50)][-1]
        c.set("gone", "x")
        c.pexpire("gone", 1)
        c.set("stays", "x")
        server.kill()
        asyncio.run(server.start())
        assert (c.hget("h", "n"), c.get("stays"), c.get("gone")) == (b"%d" % sums, b"x", None)
    finally:
        server.kill()


def test_the_scripts_of_order_keys_are_accepted(server: Redis) -> None:
    c = client(server)
    opened = c.eval(scripts.OPEN, 1, "p", "wait", "")
    assert opened[::2] == [b"open", b"noeviction"]
    for text in (scripts.CLAIM, scripts.NOTE, scripts.END):
        assert len(c.script_load(text)) == 40
