# ruff: noqa: D102  (a command's page describes it)
"""A small server that speaks the Redis protocol (RESP 2 and 3): what order keys use of it, and no more.

    python -m honeywharf.standins.redis_server [--port 0] [--data FILE]

Written from the published protocol and command pages. One thread, so each command and each script is one
atomic step. Strings, hashes, sets, sorted sets, expiry, publish and subscribe, scripts in Lua 5.1 (lupa),
users with passwords, `maxmemory` with `noeviction` or `allkeys-lru`. With --data each write is on file before
it is answered, and is carried out again at the next start. Not there: inline commands, RESP3 types that no
client here reads, transactions, replication.

STANDIN is the tests' own command: CLOCK SET ms | CLOCK SHIFT ms (its clock stands, or is off by so much),
SLOW ms (replies come that late), CUT n (after so many more bytes of replies all connections are cut).
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import fnmatch
import os
import re
import secrets
import sys
import time
from collections import OrderedDict
from collections.abc import Callable, Iterable
from hashlib import sha1
from pathlib import Path
from typing import Any, cast

import hiredis
import uvloop
from lupa import lua51
from sortedcontainers import SortedList

VERSION = "7.2.0"  # of the protocol's description that it follows
BASE_BYTES = 1_000_000  # that an empty server counts as used
EACH_BYTES = 64  # of book-keeping for a key, a field or a member
MAX_BYTES = 64 * 1024 * 1024  # that one connection may have unread; beyond it is closed
WRITES = frozenset(b"SET DEL HSET HDEL HINCRBY SADD ZADD ZREM ZINCRBY PEXPIRE FLUSHALL".split())
GROWS = frozenset(b"SET HSET HINCRBY SADD ZADD ZINCRBY".split())  # refused where memory is full
OOM = "OOM command not allowed when used memory > 'maxmemory'."
SHEBANG = re.compile(rb"#!lua([^\n]*)\n")


class Fault(Exception):  # noqa: N818  # what the protocol calls an error: the reply, not a failure of this program
    """An error reply."""


class Status(str):
    """A simple string."""

    __slots__ = ()


class Score(bytes):
    """A score: text, and a number of its own kind in RESP3."""

    __slots__ = ()


class Push(list[Any]):
    """What RESP3 sends unasked."""


class Zset:
    """A sorted set: members by score, and by score and name."""

    def __init__(self) -> None:
        self.scores: dict[bytes, float] = {}
        self.order = SortedList()

    def put(self, member: bytes, score: float) -> None:
        """Give a member that score."""
        self.drop(member)
        self.scores[member] = score
        self.order.add((score, member))

    def drop(self, member: bytes) -> bool:
        """Take a member out; False where it is none."""
        score = self.scores.pop(member, None)
        if score is not None:
            self.order.remove((score, member))
        return score is not None

    def __len__(self) -> int:  # noqa: D105
        return len(self.scores)


class Store:
    """The keys of all databases, the bytes that they count for, and the clock."""

    def __init__(self) -> None:
        self.databases: dict[int, OrderedDict[bytes, Any]] = {}
        self.ends: dict[tuple[int, bytes], float] = {}  # ms
        self.used = BASE_BYTES
        self.stands_ms: float | None = None
        self.shift_ms = 0.0
        self.config = {b"maxmemory": b"0", b"maxmemory-policy": b"noeviction", b"requirepass": b""}

    def now_ms(self) -> float:
        """Its clock."""
        return time.time() * 1000.0 + self.shift_ms if self.stands_ms is None else self.stands_ms

    def full(self) -> bool:
        """Whether memory is over its bound, after what may go has gone."""
        most = int(self.config[b"maxmemory"])
        while most and self.used > most:
            if self.config[b"maxmemory-policy"] != b"allkeys-lru" or not any(self.databases.values()):
                return True
            number, keys = next((n, keys) for n, keys in self.databases.items() if keys)
            self.remove(number, next(iter(keys)))
        return False

    def find(self, number: int, key: bytes, kind: type) -> Any:
        """The value of that kind at a key, or None."""
        keys = self.databases.get(number)
        if keys is None or key not in keys:
            return None
        if self.ends.get((number, key), float("inf")) <= self.now_ms():
            self.remove(number, key)
            return None
        keys.move_to_end(key)
        value = keys[key]
        if not isinstance(value, kind):
            raise Fault("WRONGTYPE Operation against a key holding the wrong kind of value")
        return value

    def have(self, number: int, key: bytes, kind: type) -> Any:
        """The value of that kind at a key, made where there is none."""
        value = self.find(number, key, kind)
        if value is None:
            value = kind()
            self.databases.setdefault(number, OrderedDict())[key] = value
            self.used += len(key) + EACH_BYTES
        return value

    def remove(self, number: int, key: bytes) -> bool:
        """Take a key out; False where there is none."""
        value = self.databases.get(number, OrderedDict()).pop(key, None)
        self.ends.pop((number, key), None)
        if value is None:
            return False
        parts: Iterable[bytes] = (value,)
        if isinstance(value, dict):
            parts = [k + v for k, v in value.items()]
        elif isinstance(value, set | Zset):
            parts = value if isinstance(value, set) else value.scores
        self.used -= len(key) + EACH_BYTES + sum(len(p) + EACH_BYTES for p in parts)
        return True

    def shrunk(self, number: int, key: bytes) -> None:
        """An empty collection is no key."""
        if not self.databases[number][key]:
            self.remove(number, key)


def number_of(text: bytes) -> float:
    """A score or a figure; Fault where it is none."""
    try:
        return float(text)
    except ValueError:
        raise Fault(f"ERR value is not a valid float, found {text!r}") from None


def whole(text: bytes) -> int:
    """A whole number; Fault where it is none."""
    try:
        return int(text)
    except ValueError:
        raise Fault(f"ERR value is not an integer or out of range, found {text!r}") from None


def written(score: float) -> Score:
    """A score as replies have it."""
    return Score(b"%.17g" % score)


class Commands:
    """The commands on keys, of one database."""

    def __init__(self, store: Store, publish: Callable[[bytes, bytes], int]) -> None:
        self.store, self.publish, self.number = store, publish, 0
        self.table: dict[bytes, Callable[..., Any]] = {
            name[4:].upper().encode(): getattr(self, name) for name in dir(self) if name.startswith("cmd_")
        }

    def run(self, words: list[bytes]) -> Any:
        """The reply to one command; Fault where it is refused."""
        command = self.table.get(words[0].upper())
        if command is None:
            raise Fault(f"ERR unknown command '{words[0].decode('latin-1')}'")
        try:
            return command(*words[1:])
        except TypeError:
            raise Fault(f"ERR wrong number of arguments for '{words[0].decode('latin-1')}'") from None

    def cmd_time(self) -> list[bytes]:
        now = self.store.now_ms()
        return [b"%d" % (now // 1000), b"%d" % (now % 1000 * 1000)]

    def cmd_publish(self, channel: bytes, message: bytes) -> int:
        return self.publish(channel, message)

    def cmd_info(self, section: bytes = b"all") -> bytes:
        config = self.store.config
        return (
            f"# Server\r\nredis_version:{VERSION}\r\nrun_id:{RUN_ID}\r\n\r\n"
            f"# Memory\r\nused_memory:{self.store.used}\r\nmaxmemory:{config[b'maxmemory'].decode()}\r\n"
            f"maxmemory_policy:{config[b'maxmemory-policy'].decode()}\r\n"
        ).encode()

    def cmd_get(self, key: bytes) -> bytes | None:
        return cast("bytes | None", self.store.find(self.number, key, bytes))

    def cmd_set(self, key: bytes, value: bytes) -> Status:
        self.store.remove(self.number, key)
        self.store.have(self.number, key, bytes)
        self.store.databases[self.number][key] = value
        self.store.used += len(value) + EACH_BYTES
        return Status("OK")

    def cmd_del(self, *keys: bytes) -> int:
        return sum(self.store.remove(self.number, key) for key in keys)

    def cmd_keys(self, pattern: bytes) -> list[bytes]:
        keys = list(self.store.databases.get(self.number, ()))
        return [
            k
            for k in keys
            if fnmatch.fnmatchcase(k.decode("latin-1"), pattern.decode("latin-1"))
            and self.store.find(self.number, k, object) is not None
        ]

    def cmd_flushall(self) -> Status:
        self.store.databases.clear()
        self.store.ends.clear()
        self.store.used = BASE_BYTES
        return Status("OK")

    def cmd_pexpire(self, key: bytes, ms: bytes) -> int:
        if self.store.find(self.number, key, object) is None:
            return 0
        self.store.ends[self.number, key] = self.store.now_ms() + whole(ms)
        return 1

    # Hashes.

    def cmd_hset(self, key: bytes, *pairs: bytes) -> int:
        if not pairs or len(pairs) % 2:
            raise TypeError
        found, made = self.store.have(self.number, key, dict), 0
        for field, value in zip(pairs[::2], pairs[1::2], strict=True):
            old = found.get(field)
            made += old is None
            self.store.used += len(value) - len(old) if old is not None else len(field + value) + EACH_BYTES
            found[field] = value
        return made

    def cmd_hget(self, key: bytes, field: bytes) -> bytes | None:
        return cast("bytes | None", (self.store.find(self.number, key, dict) or {}).get(field))

    def cmd_hmget(self, key: bytes, *fields: bytes) -> list[bytes | None]:
        found = self.store.find(self.number, key, dict) or {}
        return [found.get(field) for field in fields]

    def cmd_hgetall(self, key: bytes) -> list[bytes]:
        return [part for pair in (self.store.find(self.number, key, dict) or {}).items() for part in pair]

    def cmd_hdel(self, key: bytes, *fields: bytes) -> int:
        found, gone = self.store.find(self.number, key, dict), 0
        for field in fields if found is not None else ():
            old = found.pop(field, None)
            if old is not None:
                gone += 1
                self.store.used -= len(field + old) + EACH_BYTES
        if gone:
            self.store.shrunk(self.number, key)
        return gone

    def cmd_hincrby(self, key: bytes, field: bytes, by: bytes) -> int:
        value = whole(self.cmd_hget(key, field) or b"0") + whole(by)
        self.cmd_hset(key, field, b"%d" % value)
        return value

    # Sets.

    def cmd_sadd(self, key: bytes, *members: bytes) -> int:
        found = self.store.have(self.number, key, set)
        new = set(members) - found
        found |= new
        self.store.used += sum(len(m) + EACH_BYTES for m in new)
        return len(new)

    def cmd_scard(self, key: bytes) -> int:
        return len(self.store.find(self.number, key, set) or ())

    def cmd_smembers(self, key: bytes) -> list[bytes]:
        return sorted(self.store.find(self.number, key, set) or ())

    # Sorted sets.

    def cmd_zadd(self, key: bytes, *pairs: bytes) -> int:
        if not pairs or len(pairs) % 2:
            raise TypeError
        scores = [number_of(s) for s in pairs[::2]]
        found, before = self.store.have(self.number, key, Zset), self.cmd_zcard(key)
        for score, member in zip(scores, pairs[1::2], strict=True):
            self.store.used += 0 if member in found.scores else len(member) + EACH_BYTES
            found.put(member, score)
        return len(found) - before

    def cmd_zincrby(self, key: bytes, by: bytes, member: bytes) -> bytes:
        found = self.store.find(self.number, key, Zset)
        score = (found.scores.get(member, 0.0) if found is not None else 0.0) + number_of(by)
        self.cmd_zadd(key, written(score), member)
        return written(score)

    def cmd_zrem(self, key: bytes, *members: bytes) -> int:
        found, gone = self.store.find(self.number, key, Zset), 0
        for member in members if found is not None else ():
            if found.drop(member):
                gone += 1
                self.store.used -= len(member) + EACH_BYTES
        if gone:
            self.store.shrunk(self.number, key)
        return gone

    def cmd_zcard(self, key: bytes) -> int:
        return len(self.store.find(self.number, key, Zset) or ())

    def _slice(self, key: bytes, start: bytes, stop: bytes, backwards: bool, *options: bytes) -> list[bytes]:
        found = self.store.find(self.number, key, Zset)
        if found is None:
            return []
        size = len(found)
        first, last = (n + size if n < 0 else n for n in (whole(start), whole(stop)))
        first, last = max(0, first), min(size - 1, last)
        if first > last:
            return []
        rows = (
            found.order[size - 1 - last : size - first][::-1] if backwards else found.order[first : last + 1]
        )
        if [o.upper() for o in options] == [b"WITHSCORES"]:
            return [part for score, member in rows for part in (member, written(score))]
        if options:
            raise Fault("ERR syntax error")
        return [member for _, member in rows]

    def cmd_zrange(self, key: bytes, start: bytes, stop: bytes, *options: bytes) -> list[bytes]:
        return self._slice(key, start, stop, False, *options)

    def cmd_zrevrange(self, key: bytes, start: bytes, stop: bytes, *options: bytes) -> list[bytes]:
        return self._slice(key, start, stop, True, *options)

    def cmd_zrangebyscore(
        self,
        key: bytes,
        least: bytes,
        most: bytes,
        limit: bytes = b"LIMIT",
        skip: bytes = b"0",
        count: bytes = b"-1",
    ) -> list[bytes]:
        if limit.upper() != b"LIMIT":
            raise Fault("ERR syntax error")
        found, low, high = self.store.find(self.number, key, Zset), number_of(least), number_of(most)
        skipped, wanted, got = whole(skip), whole(count), list[bytes]()
        for score, member in found.order.irange((low,)) if found is not None else ():
            if score > high or 0 <= wanted <= len(got):
                break
            if skipped > 0:
                skipped -= 1
            else:
                got.append(member)
        return got


class Scripts:
    """Lua scripts, by their digest. Each runs from its begin to its end with nothing in between."""

    def __init__(self, commands: Commands) -> None:
        self.commands = commands
        self.lua = lua51.LuaRuntime(encoding=None, register_eval=False, register_builtins=False)
        self.lua.execute(b"redis = {}")
        self.lua.globals()[b"redis"][b"call"] = self._call
        self.known: dict[bytes, tuple[Any, bool]] = {}

    def load(self, text: bytes) -> bytes:
        """Its digest; Fault where it is no Lua."""
        digest = sha1(text, usedforsecurity=False).hexdigest().encode()
        if digest not in self.known:
            head = SHEBANG.match(text)
            body = text if head is None else text[head.end() :]
            try:
                made = self.lua.compile(body)
            except lua51.LuaError as fault:
                raise Fault(f"ERR Error compiling script (new function): {fault}") from None
            self.known[digest] = made, head is not None and b"allow-oom" in head[1]
        return digest

    def run(self, digest: bytes, keys: list[bytes], arguments: list[bytes]) -> Any:
        """What the script returns."""
        known = self.known.get(digest.lower())
        if known is None:
            raise Fault("NOSCRIPT No matching script. Please use EVAL.")
        made, allowed = known
        if self.commands.store.full() and not allowed:
            raise Fault(OOM)
        names = self.lua.globals()
        names[b"KEYS"], names[b"ARGV"] = self.lua.table_from(keys), self.lua.table_from(arguments)
        try:
            return self._reply(made())
        except lua51.LuaError as fault:
            raise Fault(f"ERR {' '.join(str(fault).split())} script: {digest.decode()}") from None

    def _call(self, *words: Any) -> Any:
        """`redis.call`: numbers become text, nil becomes false (the command pages on Lua conversions)."""
        told = [w if isinstance(w, bytes) else b"%d" % w if isinstance(w, int) else written(w) for w in words]
        return self._value(self.commands.run(told))

    def _value(self, reply: Any) -> Any:
        if reply is None:
            return False
        if isinstance(reply, list):
            return self.lua.table_from([self._value(part) for part in reply])
        if isinstance(reply, Status):
            return self.lua.table_from({b"ok": reply.encode()})
        return bytes(reply) if isinstance(reply, bytes) else reply

    def _reply(self, value: Any) -> Any:
        if value is None or value is False:
            return None
        if isinstance(value, bytes):
            return value
        if value is True:
            return 1
        if isinstance(value, int | float):
            return int(value)
        if value[b"err"] is not None:
            raise Fault(value[b"err"].decode("latin-1"))
        if value[b"ok"] is not None:
            return Status(value[b"ok"].decode("latin-1"))
        got: list[Any] = []
        while (part := value[len(got) + 1]) is not None:  # up to the first nil
            got.append(self._reply(part))
        return got


RUN_ID = secrets.token_hex(20)


def encode(reply: Any, resp3: bool) -> bytes:
    """A reply in bytes."""
    if reply is None:
        return b"_\r\n" if resp3 else b"$-1\r\n"
    if isinstance(reply, Fault):
        return b"-%b\r\n" % str(reply).encode("latin-1", "replace")
    if isinstance(reply, Status):
        return b"+%b\r\n" % reply.encode()
    if isinstance(reply, int):
        return b":%d\r\n" % reply
    if isinstance(reply, Score) and resp3:
        return b",%b\r\n" % reply
    if isinstance(reply, bytes):
        return b"$%d\r\n%b\r\n" % (len(reply), reply)
    if isinstance(reply, dict) and not resp3:
        reply = [part for pair in reply.items() for part in pair]
    if isinstance(reply, dict):
        parts = b"".join(encode(part, True) for pair in reply.items() for part in pair)
        return b"%%%d\r\n%b" % (len(reply), parts)
    mark = b">" if isinstance(reply, Push) and resp3 else b"*"
    return b"%b%d\r\n%b" % (mark, len(reply), b"".join(encode(part, resp3) for part in reply))


class Server:
    """The keys, the scripts, the users, and all connections."""

    def __init__(self, data: Path | None = None) -> None:
        self.store = Store()
        self.commands = Commands(self.store, self.publish)
        self.scripts = Scripts(self.commands)
        self.connections: set[Connection] = set()
        self.channels: dict[bytes, set[Connection]] = {}
        self.users: dict[bytes, bytes] = {}  # beside the default one, whose password is requirepass
        self.slow_s = 0.0
        self.cut_after: int | None = None
        self.file = -1
        if data is not None:
            self._carry_out_again(data)
            self.file = os.open(data, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o600)

    def _carry_out_again(self, data: Path) -> None:
        reader = hiredis.Reader()
        reader.feed(data.read_bytes() if data.exists() else b"")
        while (row := reader.gets()) is not False:
            self.store.stands_ms, self.commands.number = float(row[0]), int(row[1])
            with contextlib.suppress(Fault):  # it was refused then, too
                self.keyed(row[2:])
        self.store.stands_ms = None

    def publish(self, channel: bytes, message: bytes) -> int:
        """To all that have subscribed; how many those are."""
        heard = self.channels.get(channel, ())
        for connection in heard:
            connection.write(Push([b"message", channel, message]))
        return len(heard)

    def password_of(self, user: bytes) -> bytes | None:
        """A user's password, empty where none is needed; None where there is no such user."""
        return self.store.config[b"requirepass"] if user == b"default" else self.users.get(user)

    def keyed(self, words: list[bytes]) -> Any:
        """The reply to a command on keys, or to a script."""
        name = words[0].upper()
        if name in (b"EVAL", b"EVALSHA") and len(words) > 2:
            digest = self.scripts.load(words[1]) if name == b"EVAL" else words[1]
            split = 3 + whole(words[2])
            return self.scripts.run(digest, words[3:split], words[split:])
        if name == b"SCRIPT" and len(words) > 1:
            return self._script(words[1].upper(), words[2:])
        if name in GROWS and self.store.full():
            raise Fault(OOM)
        return self.commands.run(words)

    def _script(self, name: bytes, rest: list[bytes]) -> Any:
        if name == b"LOAD" and len(rest) == 1:
            return self.scripts.load(rest[0])
        if name == b"EXISTS":
            return [int(digest in self.scripts.known) for digest in rest]
        if name == b"FLUSH":
            self.scripts.known.clear()
            return Status("OK")
        raise Fault("ERR unknown subcommand of SCRIPT")

    def keep(self, number: int, words: list[bytes]) -> None:
        """On file before it is carried out, so that a kill at any time loses nothing that was answered."""
        if self.file >= 0 and words[0].upper() in WRITES | {b"EVAL", b"EVALSHA", b"SCRIPT"}:
            row = (b"%f" % self.store.now_ms(), b"%d" % number, *words)
            os.write(self.file, hiredis.pack_command(row))  # type: ignore[arg-type]


class Connection(asyncio.Protocol):
    """One client."""

    def __init__(self, server: Server) -> None:
        self.server, self.reader = server, hiredis.Reader()
        self.resp3 = False
        self.number = 0
        self.user: bytes | None = None
        self.subscribed: set[bytes] = set()
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """A client has connected."""
        self.transport = cast(asyncio.Transport, transport)
        self.server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """It has gone."""
        self.server.connections.discard(self)
        for channel in self.subscribed:
            self.server.channels[channel].discard(self)

    def data_received(self, data: bytes) -> None:
        """Carry out what has come whole."""
        try:
            self.reader.feed(data)
            while (words := self.reader.gets()) is not False:
                if not isinstance(words, list) or not words or not all(isinstance(w, bytes) for w in words):
                    raise hiredis.ProtocolError("expected an array of bulk strings")
                try:
                    reply = self._handle(words)
                except Fault as fault:
                    reply = fault
                for part in reply if isinstance(reply, tuple) else (reply,):
                    self.write(part)
        except hiredis.ProtocolError as fault:
            self.write(Fault(f"ERR Protocol error: {fault}"))
            self.transport.close()

    def write(self, reply: Any) -> None:
        """Send a reply, as late and as whole as was told."""
        data, server = encode(reply, self.resp3), self.server
        if server.slow_s:
            asyncio.get_running_loop().call_later(server.slow_s, self.transport.write, data)
            return
        if server.cut_after is not None:
            self.transport.write(data[: server.cut_after])
            server.cut_after -= len(data)
            if server.cut_after <= 0:
                server.cut_after = None
                for connection in list(server.connections):
                    connection.transport.close()
            return
        self.transport.write(data)
        if self.transport.get_write_buffer_size() > MAX_BYTES:
            self.transport.abort()

    def _handle(self, words: list[bytes]) -> Any:
        name, rest = words[0].upper(), words[1:]
        own = getattr(self, f"_{name.decode('latin-1').lower()}", None) if name in OWN else None
        if self.user is None and not self.server.store.config[b"requirepass"]:
            self.user = b"default"
        if self.user is None and name not in (b"HELLO", b"AUTH"):
            raise Fault("NOAUTH Authentication required.")
        if own is not None:
            try:
                return own(*rest)
            except TypeError:
                raise Fault(f"ERR wrong number of arguments for '{name.decode()}'") from None
        self.server.commands.number = self.number
        self.server.keep(self.number, words)
        return self.server.keyed(words)

    def _auth(self, *told: bytes) -> Status:
        user, password = told if len(told) == 2 else (b"default", *told)
        known = self.server.password_of(user)
        if known is None or (known and not secrets.compare_digest(known, password)):
            raise Fault("WRONGPASS invalid username-password pair or user is disabled.")
        self.user = user
        return Status("OK")

    def _hello(self, version: bytes = b"", *options: bytes) -> dict[bytes, Any]:
        if version not in (b"", b"2", b"3"):
            raise Fault("NOPROTO unsupported protocol version")
        if options and options[0].upper() == b"AUTH":
            self._auth(*options[1:3])
        elif self.user is None:
            raise Fault("NOAUTH HELLO must be called with the client already authenticated")
        self.resp3 = version == b"3" or (not version and self.resp3)
        return {
            b"server": b"redis",
            b"version": VERSION.encode(),
            b"proto": 3 if self.resp3 else 2,
            b"id": 1,
            b"mode": b"standalone",
            b"role": b"master",
            b"modules": [],
        }

    def _ping(self, *text: bytes) -> Any:
        return text[0] if text else Status("PONG")

    def _select(self, number: bytes) -> Status:
        self.number = whole(number)
        return Status("OK")

    def _client(self, name: bytes, *rest: bytes) -> Status:
        if name.upper() not in (b"SETINFO", b"SETNAME"):
            raise Fault("ERR unknown subcommand of CLIENT")
        return Status("OK")

    def _acl(self, name: bytes, user: bytes, *rules: bytes) -> Status:
        if name.upper() != b"SETUSER":
            raise Fault("ERR unknown subcommand of ACL")
        self.server.users[user] = next((r[1:] for r in rules if r.startswith(b">")), b"")
        return Status("OK")

    def _config(self, name: bytes, *told: bytes) -> Any:
        config = self.server.store.config
        if name.upper() == b"GET":
            return {key: config[key] for key in told if key in config}
        for key, value in zip(told[::2], told[1::2], strict=True):
            if name.upper() != b"SET" or key not in config:
                raise Fault(f"ERR Unknown option or number of arguments for CONFIG SET - {key!r}")
            size = re.fullmatch(rb"(\d+)(k|m|g)b", value.lower()) if key == b"maxmemory" else None
            if size is not None:
                value = b"%d" % (int(size[1]) << 10 * (1 + b"kmg".index(size[2])))
            config[key] = value
        return Status("OK")

    def _subscribe(self, *channels: bytes) -> tuple[Push, ...]:
        told = []
        for channel in channels:
            self.subscribed.add(channel)
            self.server.channels.setdefault(channel, set()).add(self)
            told.append(Push([b"subscribe", channel, len(self.subscribed)]))
        return tuple(told)

    def _unsubscribe(self, *channels: bytes) -> tuple[Push, ...]:
        told = []
        for channel in channels or sorted(self.subscribed):
            self.subscribed.discard(channel)
            self.server.channels.get(channel, set()).discard(self)
            told.append(Push([b"unsubscribe", channel, len(self.subscribed)]))
        return tuple(told) or (Push([b"unsubscribe", None, 0]),)

    def _standin(self, what: bytes, *told: bytes) -> Status:
        server, figure = self.server, float(told[-1])
        match (what.upper(), *(t.upper() for t in told[:-1])):
            case (b"CLOCK", b"SET"):
                server.store.stands_ms = figure
            case (b"CLOCK", b"SHIFT"):
                server.store.stands_ms, server.store.shift_ms = None, figure
            case (b"SLOW",):
                server.slow_s = figure / 1000.0
            case (b"CUT",):
                server.cut_after = int(figure) + len(encode(Status("OK"), self.resp3))
            case _:
                raise Fault("ERR STANDIN: wanted CLOCK SET ms, CLOCK SHIFT ms, SLOW ms or CUT bytes")
        return Status("OK")


#: Commands that concern a connection or the server, not keys.
OWN = frozenset(b"AUTH HELLO PING SELECT CLIENT ACL CONFIG SUBSCRIBE UNSUBSCRIBE STANDIN".split())


async def serve(port: int, data: Path | None) -> None:
    """Serve until the process is ended; the port is told on standard output."""
    server = Server(data)
    listener = await asyncio.get_running_loop().create_server(
        lambda: Connection(server), "127.0.0.1", port, backlog=512
    )
    print(listener.sockets[0].getsockname()[1], flush=True)
    await listener.serve_forever()


def main() -> int:
    """Status 1 where the port can't be had."""
    parser = argparse.ArgumentParser(description="a server that speaks the Redis protocol")
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--data", type=Path)
    args = parser.parse_args()
    try:
        uvloop.run(serve(args.port, args.data))
    except OSError as fault:
        print(f"port {args.port}: {fault.strerror}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
