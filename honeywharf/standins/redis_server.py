# ruff: noqa: D102  (The command pages of Redis describe the methods.)
"""A small server for the Redis protocol (RESP 2 and 3) with the commands that order keys need.

    python -m honeywharf.standins.redis_server [--port 0] [--data FILE]

Follows the protocol and command pages. A single thread makes each command and script atomic. It
has strings, hashes, sets, sorted sets, expiry, publish and subscribe, Lua 5.1 scripts (lupa), users with
passwords, and `maxmemory` with `noeviction` or `allkeys-lru`. With --data each write is in the file before
its reply and is replayed at the next start.

STANDIN is for tests: CLOCK SET ms fixes the clock, CLOCK SHIFT ms sets its offset, SLOW ms delays replies,
CUT n closes all connections after n more bytes of replies.
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

VERSION = "7.2.0"  # The Redis version that the server claims.
BASE_BYTES = 1_000_000  # Memory that an empty server reports.
ENTRY_OVERHEAD_BYTES = 64  # Per key, field or member.
MAX_UNSENT_BYTES = 64 * 1024 * 1024  # A connection with more unread replies is closed.
WRITE_COMMANDS = frozenset(b"SET DEL HSET HDEL HINCRBY SADD ZADD ZREM ZINCRBY PEXPIRE FLUSHALL".split())
DENY_OOM_COMMANDS = frozenset(b"SET HSET HINCRBY SADD ZADD ZINCRBY".split())  # Rejected if memory is full.
OUT_OF_MEMORY = "OOM command not allowed when used memory > 'maxmemory'."
SHEBANG = re.compile(rb"#!lua([^\n]*)\n")


class ErrorReply(Exception):  # noqa: N818  # An error of the protocol, not of this program.
    """An error reply."""


class Status(str):
    """A reply that is a simple string."""

    __slots__ = ()


class Score(bytes):
    """A score: a bulk string in RESP2, a double in RESP3."""

    __slots__ = ()


class Push(list[Any]):
    """An out-of-band push message of RESP3."""


class SortedSet:
    """A sorted set: scores by member, and members in order of score and name."""

    def __init__(self) -> None:
        self.scores: dict[bytes, float] = {}
        self.order = SortedList()

    def set_score(self, member: bytes, score: float) -> None:
        """Adds a member, or changes its score."""
        self.delete(member)
        self.scores[member] = score
        self.order.add((score, member))

    def delete(self, member: bytes) -> bool:
        """Removes a member. Returns False if it is absent."""
        score = self.scores.pop(member, None)
        if score is not None:
            self.order.remove((score, member))
        return score is not None

    def __len__(self) -> int:  # noqa: D105
        return len(self.scores)


class Store:
    """The keys of all databases, the memory that they count as, and the clock."""

    def __init__(self) -> None:
        self.databases: dict[int, OrderedDict[bytes, Any]] = {}
        self.expiry_ms: dict[tuple[int, bytes], float] = {}  # Milliseconds, by database and key.
        self.used_bytes = BASE_BYTES
        self.fixed_clock_ms: float | None = None
        self.clock_offset_ms = 0.0
        self.config = {b"maxmemory": b"0", b"maxmemory-policy": b"noeviction", b"requirepass": b""}

    def now_ms(self) -> float:
        """Returns the time of the server's clock."""
        return (
            time.time() * 1000.0 + self.clock_offset_ms
            if self.fixed_clock_ms is None
            else self.fixed_clock_ms
        )

    def is_out_of_memory(self) -> bool:
        """Evicts keys if the policy allows it. Returns whether memory still exceeds `maxmemory`."""
        maximum = int(self.config[b"maxmemory"])
        while maximum and self.used_bytes > maximum:
            if self.config[b"maxmemory-policy"] != b"allkeys-lru" or not any(self.databases.values()):
                return True
            database, keys = next((n, keys) for n, keys in self.databases.items() if keys)
            self.remove(database, next(iter(keys)))
        return False

    def find(self, database: int, key: bytes, kind: type) -> Any:
        """Returns the value at a key, or None. ErrorReply if it has another type."""
        keys = self.databases.get(database)
        if keys is None or key not in keys:
            return None
        if self.expiry_ms.get((database, key), float("inf")) <= self.now_ms():
            self.remove(database, key)
            return None
        keys.move_to_end(key)
        value = keys[key]
        if not isinstance(value, kind):
            raise ErrorReply("WRONGTYPE Operation against a key holding the wrong kind of value")
        return value

    def get_or_create(self, database: int, key: bytes, kind: type) -> Any:
        """Returns the value at a key, which is created if absent. ErrorReply if it has another type."""
        value = self.find(database, key, kind)
        if value is None:
            value = kind()
            self.databases.setdefault(database, OrderedDict())[key] = value
            self.used_bytes += len(key) + ENTRY_OVERHEAD_BYTES
        return value

    def remove(self, database: int, key: bytes) -> bool:
        """Removes a key. Returns False if it is absent."""
        value = self.databases.get(database, OrderedDict()).pop(key, None)
        self.expiry_ms.pop((database, key), None)
        if value is None:
            return False
        parts: Iterable[bytes] = (value,)
        if isinstance(value, dict):
            parts = [k + v for k, v in value.items()]
        elif isinstance(value, set | SortedSet):
            parts = value if isinstance(value, set) else value.scores
        self.used_bytes -= len(key) + ENTRY_OVERHEAD_BYTES + sum(len(p) + ENTRY_OVERHEAD_BYTES for p in parts)
        return True

    def remove_if_empty(self, database: int, key: bytes) -> None:
        """Removes the key of an empty collection."""
        if not self.databases[database][key]:
            self.remove(database, key)


def parse_float(text: bytes) -> float:
    """Parses a float. ErrorReply if the text is not one."""
    try:
        return float(text)
    except ValueError:
        raise ErrorReply(f"ERR value is not a valid float, found {text!r}") from None


def parse_int(text: bytes) -> int:
    """Parses an integer. ErrorReply if the text is not one."""
    try:
        return int(text)
    except ValueError:
        raise ErrorReply(f"ERR value is not an integer or out of range, found {text!r}") from None


def format_score(score: float) -> Score:
    """Formats a score as replies have it."""
    return Score(b"%.17g" % score)


class Commands:
    """The commands on keys of one database."""

    def __init__(self, store: Store, publish: Callable[[bytes, bytes], int]) -> None:
        self.store, self.publish, self.database = store, publish, 0
        self.table: dict[bytes, Callable[..., Any]] = {
            name[4:].upper().encode(): getattr(self, name) for name in dir(self) if name.startswith("cmd_")
        }

    def run(self, arguments: list[bytes]) -> Any:
        """Runs one command and returns the reply. ErrorReply if it is rejected."""
        command = self.table.get(arguments[0].upper())
        if command is None:
            raise ErrorReply(f"ERR unknown command '{arguments[0].decode('latin-1')}'")
        try:
            return command(*arguments[1:])
        except TypeError:
            raise ErrorReply(
                f"ERR wrong number of arguments for '{arguments[0].decode('latin-1')}'"
            ) from None

    def cmd_time(self) -> list[bytes]:
        now = self.store.now_ms()
        return [b"%d" % (now // 1000), b"%d" % (now % 1000 * 1000)]

    def cmd_publish(self, channel: bytes, message: bytes) -> int:
        return self.publish(channel, message)

    def cmd_info(self, section: bytes = b"all") -> bytes:
        config = self.store.config
        return (
            f"# Server\r\nredis_version:{VERSION}\r\nrun_id:{RUN_ID}\r\n\r\n"
            f"# Memory\r\nused_memory:{self.store.used_bytes}\r\n"
            f"maxmemory:{config[b'maxmemory'].decode()}\r\n"
            f"maxmemory_policy:{config[b'maxmemory-policy'].decode()}\r\n"
        ).encode()

    def cmd_get(self, key: bytes) -> bytes | None:
        return cast("bytes | None", self.store.find(self.database, key, bytes))

    def cmd_set(self, key: bytes, value: bytes) -> Status:
        self.store.remove(self.database, key)
        self.store.get_or_create(self.database, key, bytes)
        self.store.databases[self.database][key] = value
        self.store.used_bytes += len(value) + ENTRY_OVERHEAD_BYTES
        return Status("OK")

    def cmd_del(self, *keys: bytes) -> int:
        return sum(self.store.remove(self.database, key) for key in keys)

    def cmd_keys(self, pattern: bytes) -> list[bytes]:
        keys = list(self.store.databases.get(self.database, ()))
        return [
            k
            for k in keys
            if fnmatch.fnmatchcase(k.decode("latin-1"), pattern.decode("latin-1"))
            and self.store.find(self.database, k, object) is not None
        ]

    def cmd_flushall(self) -> Status:
        self.store.databases.clear()
        self.store.expiry_ms.clear()
        self.store.used_bytes = BASE_BYTES
        return Status("OK")

    def cmd_pexpire(self, key: bytes, ms: bytes) -> int:
        if self.store.find(self.database, key, object) is None:
            return 0
        self.store.expiry_ms[self.database, key] = self.store.now_ms() + parse_int(ms)
        return 1

    # Hashes.

    def cmd_hset(self, key: bytes, *pairs: bytes) -> int:
        if not pairs or len(pairs) % 2:
            raise TypeError
        found, added = self.store.get_or_create(self.database, key, dict), 0
        for field, value in zip(pairs[::2], pairs[1::2], strict=True):
            old = found.get(field)
            added += old is None
            self.store.used_bytes += (
                len(value) - len(old) if old is not None else len(field + value) + ENTRY_OVERHEAD_BYTES
            )
            found[field] = value
        return added

    def cmd_hget(self, key: bytes, field: bytes) -> bytes | None:
        return cast("bytes | None", (self.store.find(self.database, key, dict) or {}).get(field))

    def cmd_hmget(self, key: bytes, *fields: bytes) -> list[bytes | None]:
        found = self.store.find(self.database, key, dict) or {}
        return [found.get(field) for field in fields]

    def cmd_hgetall(self, key: bytes) -> list[bytes]:
        return [part for pair in (self.store.find(self.database, key, dict) or {}).items() for part in pair]

    def cmd_hdel(self, key: bytes, *fields: bytes) -> int:
        found, removed = self.store.find(self.database, key, dict), 0
        for field in fields if found is not None else ():
            old = found.pop(field, None)
            if old is not None:
                removed += 1
                self.store.used_bytes -= len(field + old) + ENTRY_OVERHEAD_BYTES
        if removed:
            self.store.remove_if_empty(self.database, key)
        return removed

    def cmd_hincrby(self, key: bytes, field: bytes, increment: bytes) -> int:
        value = parse_int(self.cmd_hget(key, field) or b"0") + parse_int(increment)
        self.cmd_hset(key, field, b"%d" % value)
        return value

    # Sets.

    def cmd_sadd(self, key: bytes, *members: bytes) -> int:
        found = self.store.get_or_create(self.database, key, set)
        new = set(members) - found
        found |= new
        self.store.used_bytes += sum(len(m) + ENTRY_OVERHEAD_BYTES for m in new)
        return len(new)

    def cmd_scard(self, key: bytes) -> int:
        return len(self.store.find(self.database, key, set) or ())

    def cmd_smembers(self, key: bytes) -> list[bytes]:
        return sorted(self.store.find(self.database, key, set) or ())

    # Sorted sets.

    def cmd_zadd(self, key: bytes, *pairs: bytes) -> int:
        if not pairs or len(pairs) % 2:
            raise TypeError
        scores = [parse_float(s) for s in pairs[::2]]
        found, before = self.store.get_or_create(self.database, key, SortedSet), self.cmd_zcard(key)
        for score, member in zip(scores, pairs[1::2], strict=True):
            self.store.used_bytes += 0 if member in found.scores else len(member) + ENTRY_OVERHEAD_BYTES
            found.set_score(member, score)
        return len(found) - before

    def cmd_zincrby(self, key: bytes, increment: bytes, member: bytes) -> bytes:
        found = self.store.find(self.database, key, SortedSet)
        score = (found.scores.get(member, 0.0) if found is not None else 0.0) + parse_float(increment)
        self.cmd_zadd(key, format_score(score), member)
        return format_score(score)

    def cmd_zrem(self, key: bytes, *members: bytes) -> int:
        found, removed = self.store.find(self.database, key, SortedSet), 0
        for member in members if found is not None else ():
            if found.delete(member):
                removed += 1
                self.store.used_bytes -= len(member) + ENTRY_OVERHEAD_BYTES
        if removed:
            self.store.remove_if_empty(self.database, key)
        return removed

    def cmd_zcard(self, key: bytes) -> int:
        return len(self.store.find(self.database, key, SortedSet) or ())

    def _slice(self, key: bytes, start: bytes, stop: bytes, backwards: bool, *options: bytes) -> list[bytes]:
        found = self.store.find(self.database, key, SortedSet)
        if found is None:
            return []
        size = len(found)
        first, last = (n + size if n < 0 else n for n in (parse_int(start), parse_int(stop)))
        first, last = max(0, first), min(size - 1, last)
        if first > last:
            return []
        rows = (
            found.order[size - 1 - last : size - first][::-1] if backwards else found.order[first : last + 1]
        )
        if [o.upper() for o in options] == [b"WITHSCORES"]:
            return [part for score, member in rows for part in (member, format_score(score))]
        if options:
            raise ErrorReply("ERR syntax error")
        return [member for _, member in rows]

    def cmd_zrange(self, key: bytes, start: bytes, stop: bytes, *options: bytes) -> list[bytes]:
        return self._slice(key, start, stop, False, *options)

    def cmd_zrevrange(self, key: bytes, start: bytes, stop: bytes, *options: bytes) -> list[bytes]:
        return self._slice(key, start, stop, True, *options)

    def cmd_zrangebyscore(
        self,
        key: bytes,
        minimum: bytes,
        maximum: bytes,
        limit: bytes = b"LIMIT",
        skip: bytes = b"0",
        count: bytes = b"-1",
    ) -> list[bytes]:
        if limit.upper() != b"LIMIT":
            raise ErrorReply("ERR syntax error")
        found, low, high = (
            self.store.find(self.database, key, SortedSet),
            parse_float(minimum),
            parse_float(maximum),
        )
        skipped, wanted, got = parse_int(skip), parse_int(count), list[bytes]()
        for score, member in found.order.irange((low,)) if found is not None else ():
            if score > high or 0 <= wanted <= len(got):
                break
            if skipped > 0:
                skipped -= 1
            else:
                got.append(member)
        return got


class Scripts:
    """Lua scripts by their SHA-1 digest. Each runs atomically."""

    def __init__(self, commands: Commands) -> None:
        self.commands = commands
        self.lua = lua51.LuaRuntime(encoding=None, register_eval=False, register_builtins=False)
        self.lua.execute(b"redis = {}")
        self.lua.globals()[b"redis"][b"call"] = self._call
        self.compiled: dict[bytes, tuple[Any, bool]] = {}

    def load(self, text: bytes) -> bytes:
        """Compiles a script and returns its digest. ErrorReply if that fails."""
        digest = sha1(text, usedforsecurity=False).hexdigest().encode()
        if digest not in self.compiled:
            head = SHEBANG.match(text)
            body = text if head is None else text[head.end() :]
            try:
                function = self.lua.compile(body)
            except lua51.LuaError as error:
                raise ErrorReply(f"ERR Error compiling script (new function): {error}") from None
            self.compiled[digest] = function, head is not None and b"allow-oom" in head[1]
        return digest

    def run(self, digest: bytes, keys: list[bytes], arguments: list[bytes]) -> Any:
        """Runs a script and returns its reply. ErrorReply if it is unknown, fails or needs memory."""
        compiled = self.compiled.get(digest.lower())
        if compiled is None:
            raise ErrorReply("NOSCRIPT No matching script. Please use EVAL.")
        function, allows_oom = compiled
        if self.commands.store.is_out_of_memory() and not allows_oom:
            raise ErrorReply(OUT_OF_MEMORY)
        names = self.lua.globals()
        names[b"KEYS"], names[b"ARGV"] = self.lua.table_from(keys), self.lua.table_from(arguments)
        try:
            return self._reply(function())
        except lua51.LuaError as error:
            raise ErrorReply(f"ERR {' '.join(str(error).split())} script: {digest.decode()}") from None

    def _call(self, *arguments: Any) -> Any:
        """Implements `redis.call`. Numbers become text and nil becomes false, as the page on Lua says."""
        encoded = [
            w if isinstance(w, bytes) else b"%d" % w if isinstance(w, int) else format_score(w)
            for w in arguments
        ]
        return self._value(self.commands.run(encoded))

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
            raise ErrorReply(value[b"err"].decode("latin-1"))
        if value[b"ok"] is not None:
            return Status(value[b"ok"].decode("latin-1"))
        got: list[Any] = []
        while (part := value[len(got) + 1]) is not None:  # Up to the first nil.
            got.append(self._reply(part))
        return got


RUN_ID = secrets.token_hex(20)


def encode(reply: Any, resp3: bool) -> bytes:
    """Encodes a reply."""
    if reply is None:
        return b"_\r\n" if resp3 else b"$-1\r\n"
    if isinstance(reply, ErrorReply):
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
    """The keys, scripts, users and connections."""

    def __init__(self, data: Path | None = None) -> None:
        self.store = Store()
        self.commands = Commands(self.store, self.publish)
        self.scripts = Scripts(self.commands)
        self.connections: set[Connection] = set()
        self.channels: dict[bytes, set[Connection]] = {}
        self.users: dict[bytes, bytes] = {}  # The password of the default user is requirepass.
        self.reply_delay_s = 0.0
        self.cut_after_bytes: int | None = None
        self.file = -1
        if data is not None:
            self._replay(data)
            self.file = os.open(data, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o600)

    def _replay(self, data: Path) -> None:
        reader = hiredis.Reader()
        reader.feed(data.read_bytes() if data.exists() else b"")
        while (row := reader.gets()) is not False:
            self.store.fixed_clock_ms, self.commands.database = float(row[0]), int(row[1])
            with contextlib.suppress(ErrorReply):  # Rejected commands are in the file, too.
                self.execute(row[2:])
        self.store.fixed_clock_ms = None

    def publish(self, channel: bytes, message: bytes) -> int:
        """Sends a message to all subscribers and returns their number."""
        subscribers = self.channels.get(channel, ())
        for connection in subscribers:
            connection.write(Push([b"message", channel, message]))
        return len(subscribers)

    def password_of(self, user: bytes) -> bytes | None:
        """Returns the password of a user, empty if none is needed, None if the user is unknown."""
        return self.store.config[b"requirepass"] if user == b"default" else self.users.get(user)

    def execute(self, arguments: list[bytes]) -> Any:
        """Runs a command on keys, or a script, and returns the reply."""
        name = arguments[0].upper()
        if name in (b"EVAL", b"EVALSHA") and len(arguments) > 2:
            digest = self.scripts.load(arguments[1]) if name == b"EVAL" else arguments[1]
            split = 3 + parse_int(arguments[2])
            return self.scripts.run(digest, arguments[3:split], arguments[split:])
        if name == b"SCRIPT" and len(arguments) > 1:
            return self._script(arguments[1].upper(), arguments[2:])
        if name in DENY_OOM_COMMANDS and self.store.is_out_of_memory():
            raise ErrorReply(OUT_OF_MEMORY)
        return self.commands.run(arguments)

    def _script(self, name: bytes, parameters: list[bytes]) -> Any:
        if name == b"LOAD" and len(parameters) == 1:
            return self.scripts.load(parameters[0])
        if name == b"EXISTS":
            return [int(digest in self.scripts.compiled) for digest in parameters]
        if name == b"FLUSH":
            self.scripts.compiled.clear()
            return Status("OK")
        raise ErrorReply("ERR unknown subcommand of SCRIPT")

    def append_to_file(self, database: int, arguments: list[bytes]) -> None:
        """Writes a command to the file before it runs, so that a kill loses nothing that was answered."""
        if self.file >= 0 and arguments[0].upper() in WRITE_COMMANDS | {b"EVAL", b"EVALSHA", b"SCRIPT"}:
            row = (b"%f" % self.store.now_ms(), b"%d" % database, *arguments)
            os.write(self.file, hiredis.pack_command(row))  # type: ignore[arg-type]


class Connection(asyncio.Protocol):
    """The connection of one client."""

    def __init__(self, server: Server) -> None:
        self.server, self.reader = server, hiredis.Reader()
        self.resp3 = False
        self.database = 0
        self.user: bytes | None = None
        self.subscribed: set[bytes] = set()
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Registers the connection."""
        self.transport = cast(asyncio.Transport, transport)
        self.server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Removes the connection and its subscriptions."""
        self.server.connections.discard(self)
        for channel in self.subscribed:
            self.server.channels[channel].discard(self)

    def data_received(self, data: bytes) -> None:
        """Handles all commands that are complete."""
        try:
            self.reader.feed(data)
            while (arguments := self.reader.gets()) is not False:
                if (
                    not isinstance(arguments, list)
                    or not arguments
                    or not all(isinstance(w, bytes) for w in arguments)
                ):
                    raise hiredis.ProtocolError("expected an array of bulk strings")
                try:
                    reply = self._handle(arguments)
                except ErrorReply as error:
                    reply = error
                for part in reply if isinstance(reply, tuple) else (reply,):
                    self.write(part)
        except hiredis.ProtocolError as error:
            self.write(ErrorReply(f"ERR Protocol error: {error}"))
            self.transport.close()

    def write(self, reply: Any) -> None:
        """Sends a reply, delayed or truncated where STANDIN says so."""
        data, server = encode(reply, self.resp3), self.server
        if server.reply_delay_s:
            asyncio.get_running_loop().call_later(server.reply_delay_s, self.transport.write, data)
            return
        if server.cut_after_bytes is not None:
            self.transport.write(data[: server.cut_after_bytes])
            server.cut_after_bytes -= len(data)
            if server.cut_after_bytes <= 0:
                server.cut_after_bytes = None
                for connection in list(server.connections):
                    connection.transport.close()
            return
        self.transport.write(data)
        if self.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self.transport.abort()

    def _handle(self, arguments: list[bytes]) -> Any:
        name, rest = arguments[0].upper(), arguments[1:]
        handler = (
            getattr(self, f"_{name.decode('latin-1').lower()}", None) if name in CONNECTION_COMMANDS else None
        )
        if self.user is None and not self.server.store.config[b"requirepass"]:
            self.user = b"default"
        if self.user is None and name not in (b"HELLO", b"AUTH"):
            raise ErrorReply("NOAUTH Authentication required.")
        if handler is not None:
            try:
                return handler(*rest)
            except TypeError:
                raise ErrorReply(f"ERR wrong number of arguments for '{name.decode()}'") from None
        self.server.commands.database = self.database
        self.server.append_to_file(self.database, arguments)
        return self.server.execute(arguments)

    def _auth(self, *credentials: bytes) -> Status:
        user, password = credentials if len(credentials) == 2 else (b"default", *credentials)
        expected = self.server.password_of(user)
        if expected is None or (expected and not secrets.compare_digest(expected, password)):
            raise ErrorReply("WRONGPASS invalid username-password pair or user is disabled.")
        self.user = user
        return Status("OK")

    def _hello(self, version: bytes = b"", *options: bytes) -> dict[bytes, Any]:
        if version not in (b"", b"2", b"3"):
            raise ErrorReply("NOPROTO unsupported protocol version")
        if options and options[0].upper() == b"AUTH":
            self._auth(*options[1:3])
        elif self.user is None:
            raise ErrorReply("NOAUTH HELLO must be called with the client already authenticated")
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

    def _select(self, database: bytes) -> Status:
        self.database = parse_int(database)
        return Status("OK")

    def _client(self, name: bytes, *rest: bytes) -> Status:
        if name.upper() not in (b"SETINFO", b"SETNAME"):
            raise ErrorReply("ERR unknown subcommand of CLIENT")
        return Status("OK")

    def _acl(self, name: bytes, user: bytes, *rules: bytes) -> Status:
        if name.upper() != b"SETUSER":
            raise ErrorReply("ERR unknown subcommand of ACL")
        self.server.users[user] = next((r[1:] for r in rules if r.startswith(b">")), b"")
        return Status("OK")

    def _config(self, name: bytes, *parameters: bytes) -> Any:
        config = self.server.store.config
        if name.upper() == b"GET":
            return {key: config[key] for key in parameters if key in config}
        for key, value in zip(parameters[::2], parameters[1::2], strict=True):
            if name.upper() != b"SET" or key not in config:
                raise ErrorReply(f"ERR Unknown option or number of arguments for CONFIG SET - {key!r}")
            size = re.fullmatch(rb"(\d+)(k|m|g)b", value.lower()) if key == b"maxmemory" else None
            if size is not None:
                value = b"%d" % (int(size[1]) << 10 * (1 + b"kmg".index(size[2])))
            config[key] = value
        return Status("OK")

    def _subscribe(self, *channels: bytes) -> tuple[Push, ...]:
        confirmations = []
        for channel in channels:
            self.subscribed.add(channel)
            self.server.channels.setdefault(channel, set()).add(self)
            confirmations.append(Push([b"subscribe", channel, len(self.subscribed)]))
        return tuple(confirmations)

    def _unsubscribe(self, *channels: bytes) -> tuple[Push, ...]:
        confirmations = []
        for channel in channels or sorted(self.subscribed):
            self.subscribed.discard(channel)
            self.server.channels.get(channel, set()).discard(self)
            confirmations.append(Push([b"unsubscribe", channel, len(self.subscribed)]))
        return tuple(confirmations) or (Push([b"unsubscribe", None, 0]),)

    def _standin(self, subcommand: bytes, *parameters: bytes) -> Status:
        server, value = self.server, float(parameters[-1])
        match (subcommand.upper(), *(p.upper() for p in parameters[:-1])):
            case (b"CLOCK", b"SET"):
                server.store.fixed_clock_ms = value
            case (b"CLOCK", b"SHIFT"):
                server.store.fixed_clock_ms, server.store.clock_offset_ms = None, value
            case (b"SLOW",):
                server.reply_delay_s = value / 1000.0
            case (b"CUT",):
                server.cut_after_bytes = int(value) + len(encode(Status("OK"), self.resp3))
            case _:
                raise ErrorReply("ERR STANDIN: wanted CLOCK SET ms, CLOCK SHIFT ms, SLOW ms or CUT bytes")
        return Status("OK")


#: Commands on a connection or the server. Methods of `Connection` handle them.
CONNECTION_COMMANDS = frozenset(
    b"AUTH HELLO PING SELECT CLIENT ACL CONFIG SUBSCRIBE UNSUBSCRIBE STANDIN".split()
)


async def serve(port: int, data: Path | None) -> None:
    """Serves until the process exits. Prints the port on standard output."""
    server = Server(data)
    listener = await asyncio.get_running_loop().create_server(
        lambda: Connection(server), "127.0.0.1", port, backlog=512
    )
    print(listener.sockets[0].getsockname()[1], flush=True)
    await listener.serve_forever()


def main() -> int:
    """Runs the server. Returns 1 if it cannot listen on the port."""
    parser = argparse.ArgumentParser(description="a small server for the Redis protocol")
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--data", type=Path)
    args = parser.parse_args()
    try:
        uvloop.run(serve(args.port, args.data))
    except OSError as error:
        print(f"port {args.port}: {error.strerror}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
