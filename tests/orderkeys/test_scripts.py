"""The scripts in a Redis server compared with the model of one key, and their limits; a manual clock."""

from __future__ import annotations

import asyncio
import random
import socket
from collections.abc import Iterator
from typing import Any

import hiredis
import pytest

from honeywharf.orderkeys import scripts
from honeywharf.orderkeys.table import ENTRY_BYTES
from honeywharf.standins.redis import Redis
from tests.orderkeys import model

pytestmark = pytest.mark.model
LEASE, KEEP = 50, 200


class ScriptClient:
    """The scripts on a connection to a server whose clock only moves when it is set."""

    def __init__(self, port: int) -> None:
        self.socket = socket.create_connection(("127.0.0.1", port), 10.0)
        self.reader = hiredis.Reader()
        self.now = 1_000_000
        self.digests = {
            name: self.ask("SCRIPT", "LOAD", text)
            for name, text in (("claim", scripts.CLAIM), ("note", scripts.NOTE), ("end", scripts.END))
        }

    def ask(self, *words: Any) -> Any:
        self.socket.sendall(hiredis.pack_command(words))
        while (reply := self.reader.gets()) is False:
            self.reader.feed(self.socket.recv(65536))
        if isinstance(reply, Exception):
            raise reply
        return reply

    def run(self, script: str, *arguments: Any) -> list[Any]:
        self.ask("STANDIN", "CLOCK", "SET", str(self.now))
        reply = self.ask("EVALSHA", self.digests[script], "1", "p", *map(str, arguments))
        assert isinstance(reply, list)
        return [part.decode() if isinstance(part, bytes) else part for part in reply]

    def claim(
        self,
        name: str,
        holder: str,
        payload: str = "P",
        tenant: str = "t",
        entries: int = 100,
        max_bytes: int = 10**9,
        empty_ms: int = 0,
    ) -> list[Any]:
        got = self.run(
            "claim",
            name,
            tenant,
            payload,
            holder,
            LEASE,
            KEEP,
            empty_ms,
            "proxy",
            entries,
            max_bytes,
            ENTRY_BYTES,
            self.now + 1,
            16,
        )
        return [got[0], *(int(part) if i == 4 else part for i, part in enumerate(got) if i > 1)]

    def end(
        self,
        name: str,
        holder: str,
        how: str = "none",
        kept: str = "",
        place: model.Place | None = None,
        payload: str = "P",
        tenant: str = "t",
        entries: int = 100,
    ) -> Any:
        return self.run(
            "end",
            name,
            holder,
            how,
            kept,
            *(place or ("", 0, 0)),
            KEEP,
            tenant,
            payload,
            ENTRY_BYTES,
            entries,
        )[0]


@pytest.fixture
def redis() -> Iterator[ScriptClient]:
    server = asyncio.run(Redis().start())
    made = ScriptClient(server.port)
    yield made
    made.socket.close()
    server.kill()


def check_counts(s: ScriptClient, max_entries: int) -> None:
    """Check that the counters equal the stored entries and stay within the limits."""
    names = s.ask("ZRANGE", "p:x", "0", "-1")
    assert len(names) <= max_entries
    size, unsettled, done = 0, dict[bytes, int](), dict[bytes, int]()
    for name in names:
        state, tenant, own = s.ask("HMGET", b"p:k:" + name, "s", "t", "b")
        size += int(own)
        group = done if state == b"D" else unsettled
        group[tenant] = group.get(tenant, 0) + 1
    kept = s.ask("KEYS", "p:k:*")
    assert sorted(kept) == sorted(b"p:k:" + n for n in names)
    assert int(s.ask("HGET", "p:meta", "bytes") or 0) == size
    flat = s.ask("HGETALL", "p:n")
    assert {k: int(v) for k, v in zip(flat[::2], flat[1::2], strict=True)} == unsettled
    flat = s.ask("ZRANGE", "p:t", "0", "-1", "WITHSCORES")
    assert {k: int(v) for k, v in zip(flat[::2], flat[1::2], strict=True)} == done
    for tenant, number in done.items():
        assert s.ask("ZCARD", b"p:d:" + tenant) == number


@pytest.mark.parametrize("seed", range(4))
def test_the_scripts_do_what_the_model_says(redis: ScriptClient, seed: int) -> None:
    draw, entries = random.Random(seed), dict[str, model.Entry]()
    outcomes = set()
    for step in range(3000):
        redis.now += draw.choice((0, 1, 3, 10, 60 if draw.random() < 0.2 else 0, 0))
        redis.now += 3 * KEEP if step % 25 == 0 else 0  # every entry expires: keys begin anew
        name, holder = draw.choice("ab"), f"h{step - draw.randrange(6)}"
        now, payload = redis.now, "P" if draw.random() < 0.9 else "Q"
        place = (draw.choice("xy"), draw.randrange(3), now - draw.randrange(20))
        # A claim also removes expired entries of other keys.
        before = entries.get(name)
        if before is not None and draw.random() < 0.3:
            holder = before.holder
        kind = draw.choice(("claim", "claim", "note", "end", "end"))
        wanted: Any
        if kind == "claim":
            for key, other in list(entries.items()):
                if key != name and other.until <= now:
                    swept = model.lease_expired(other) if other.state == "R" else None
                    entries.update({key: swept} if swept else {})
                    if swept is None:
                        del entries[key]
            holder = f"h{step}"
            after, verdict = model.claim(before, now, payload, holder, LEASE, KEEP)
            wanted, got = list(verdict), redis.claim(name, holder, payload)
            outcomes.add((verdict[0], len(verdict)))
        elif kind == "note":
            after, wanted = model.note(before, holder, place)
            got = redis.run("note", name, holder, *place)[0]
            outcomes.add((kind, wanted))
        else:
            how, kept = draw.choice((("none", ""), ("none", ""), ("answer", "tile"), ("digest", "0123")))
            where = place if how != "none" or draw.random() < 0.6 else None
            after, wanted = model.end(before, now, holder, how, kept, where, KEEP, payload)
            got = redis.end(name, holder, how, kept, where, payload)
            outcomes.add((how, wanted))
        assert got == wanted, (step, kind, before)
        entries.pop(name, None)
        if after is not None:
            entries[name] = after
    check_counts(redis, 100)
    assert outcomes >= {
        ("run", 1),
        ("run", 2),
        ("run", 5),
        ("join", 2),
        ("answer", 2),
        ("payload", 1),
        ("note", 0),
        ("note", 1),
        ("none", 0),
        ("none", 1),
        ("answer", 1),
        ("digest", 1),
    }


@pytest.mark.parametrize("seed", range(2))
def test_the_limits_hold_and_the_counters_are_right_under_a_flood(redis: ScriptClient, seed: int) -> None:
    draw, max_entries, verdicts = random.Random(seed), 12, set()
    for step in range(2500):
        redis.now += draw.choice((0, 0, 1, 30 if draw.random() < 0.02 else 0))
        tenant = draw.choice(("a", "a", "a", "b", "c"))
        got = redis.claim(f"k{step}", f"h{step}", tenant=tenant, entries=max_entries, max_bytes=9000)
        verdicts.add(got[0])
        if got[0] == "run" and draw.random() < 0.8:
            how, kept = draw.choice((("none", ""), ("answer", "x" * draw.randrange(300)), ("digest", "d")))
            where = ("z", 1, redis.now) if how != "none" or draw.random() < 0.1 else None
            redis.end(f"k{step}", f"h{step}", how, kept, where, tenant=tenant, entries=max_entries)
        if step % 100 == 0:
            check_counts(redis, max_entries)
    check_counts(redis, max_entries)
    assert verdicts == {"run", "full"}
    redis.now += 10 * KEEP
    while redis.ask("ZCARD", "p:x") > 1:
        redis.claim("one", "h", entries=max_entries)
    check_counts(redis, max_entries)


def test_running_keys_are_never_dropped_and_a_tenant_gets_half_of_the_entries_at_most(
    redis: ScriptClient,
) -> None:
    got = [redis.claim(f"k{i}", f"h{i}", tenant="a", entries=4)[0] for i in range(3)]
    assert got == ["run", "run", "full"]
    assert [redis.claim(f"m{i}", f"n{i}", tenant="b", entries=4)[0] for i in range(2)] == ["run", "run"]
    assert redis.claim("c", "c", tenant="c", entries=4) == ["full"]
    assert redis.end("k0", "h0", "answer", "tile") == 1
    assert redis.claim("c", "c", tenant="c", entries=4) == ["run"]  # the done key was dropped
    assert redis.claim("k1", "x", entries=4)[0] == "join"


def test_a_claim_that_arrives_too_late_is_not_granted(redis: ScriptClient) -> None:
    reply = redis.run(
        "claim", "k", "t", "P", "h", LEASE, KEEP, 0, "proxy", 10, 10**6, ENTRY_BYTES, redis.now - 1, 16
    )
    assert reply[0] == "late"
    assert redis.claim("k", "other") == ["run"]


def test_the_number_of_proxies_that_wait_for_a_key_is_limited(redis: ScriptClient) -> None:
    redis.claim("k", "h")
    got = [
        redis.run(
            "claim",
            "k",
            "t",
            "P",
            "h2",
            LEASE,
            KEEP,
            0,
            f"proxy{i}",
            10,
            10**6,
            ENTRY_BYTES,
            redis.now + 1,
            2,
        )[0]
        for i in range(4)
    ]
    assert got == ["join", "join", "busy", "busy"]


def test_a_store_that_has_lost_its_keys_grants_no_claim_for_a_while(redis: ScriptClient) -> None:
    assert redis.claim("k", "h", empty_ms=500) == ["young", 500]
    redis.now += 499
    assert redis.claim("k", "h", empty_ms=500) == ["young", 1]
    redis.now += 1
    assert redis.claim("k", "h", empty_ms=500) == ["run"]
    redis.ask("DEL", "p:meta")
    assert redis.claim("m", "h", empty_ms=500) == ["young", 500]
