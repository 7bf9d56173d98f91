"""The connection to the Redis server in which proxies share keys: sockets and timers for `shared_store`.

Speaks RESP3 with hiredis, the C parser of Redis's own client. Commands are pipelined.
"""

from __future__ import annotations

import asyncio
import random
import ssl
from collections.abc import Callable
from hashlib import sha1
from pathlib import Path
from typing import TYPE_CHECKING, Any, cast
from urllib.parse import unquote, urlsplit

import hiredis

from honeywharf.core.driver import Driver
from honeywharf.core.transport import log
from honeywharf.orderkeys import scripts
from honeywharf.orderkeys.deduplicator import KeyDeduplicator, keep_times_ms, make_table
from honeywharf.orderkeys.shared_store import SharedStore, StoreRules

if TYPE_CHECKING:
    from honeywharf.config.features import OrderKeys

SCRIPTS = {
    "open": scripts.OPEN,
    "claim": scripts.CLAIM,
    "note": scripts.NOTE,
    "end": scripts.END,
    "show": scripts.SHOW,
    "forget": scripts.FORGET,
}
DIGESTS = {name: sha1(text.encode(), usedforsecurity=False).hexdigest() for name, text in SCRIPTS.items()}
CONNECT_S = 1.0  # time limit for the connection, and for opening the store on it
MIN_RETRY_DELAY_S, MAX_RETRY_DELAY_S = 0.05, 1.0


def address_of(url: str) -> tuple[str, str, int, bool, int]:
    """Parses `redis[s]://[user@]host:port[/db]` or `unix://path`.

    Returns path, host, port, whether to use TLS, and the database. ValueError describes what is wrong.
    """
    parts = urlsplit(url)
    try:
        port = parts.port or 6379
    except ValueError:
        port = -1
    if parts.scheme == "unix" and parts.path:
        return unquote(parts.path), "", 0, False, 0
    database = parts.path.strip("/") or "0"
    if (
        parts.scheme not in ("redis", "rediss")
        or not parts.hostname
        or port < 0
        or not database.isdigit()
        or parts.password is not None
    ):
        raise ValueError(
            "order_keys.redis.url: expected redis://[user@]host:port[/db], rediss://... or unix://path with"
            f" the password in password_file, got {url!r}"
        )
    return "", parts.hostname, port, parts.scheme == "rediss", int(database)


class Connection(asyncio.Protocol):
    """One connection to the Redis server."""

    def __init__(self, store: RedisLink) -> None:
        self.store = store
        self.reader = hiredis.Reader()
        self.transport: asyncio.WriteTransport | None = None
        self.pending_replies = 0  # replies until the store is open; the last one is the script's
        self.open = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Authenticates, loads the scripts, opens the store and subscribes, in one write."""
        self.transport = writer = cast("asyncio.WriteTransport", transport)
        store, shared = self.store, self.store.shared
        hello = ("HELLO", "3", *(("AUTH", store.user, store.password()) if store.password_file else ()))
        commands: list[tuple[Any, ...]] = [hello]
        if store.database:
            commands.append(("SELECT", str(store.database)))
        commands += [("SCRIPT", "LOAD", text) for text in SCRIPTS.values()]
        rules = shared.rules
        commands.append(
            (
                "EVALSHA",
                DIGESTS["open"],
                "1",
                store.prefix,
                "trust" if rules.trust_empty else "wait",
                "durable" if rules.durable else "",
            )
        )
        self.pending_replies = len(commands)
        subscribe = ("SUBSCRIBE", f"{store.prefix}:p:{shared.proxy}")  # confirmed by a push, not by a reply
        writer.write(b"".join(map(hiredis.pack_command, [*commands, subscribe])))

    def data_received(self, data: bytes) -> None:
        """Parses replies and pushed messages."""
        try:
            self.reader.feed(data)
            while (reply := self.reader.gets()) is not False:
                self._handle_reply(reply)
        except (hiredis.ProtocolError, ValueError, IndexError, TypeError, AssertionError) as fault:
            # Guards against a peer that is not Redis, or an incompatible version.
            self.store.lost(self, f"unexpected reply: {type(fault).__name__}: {fault}")

    def _handle_reply(self, reply: Any) -> None:
        store = self.store
        if store.connection is not self:
            return
        if isinstance(reply, hiredis.PushNotification):
            if reply[0] == b"message":
                store.shared.key_settled(reply[2])
            return
        fault = str(reply) if isinstance(reply, hiredis.ReplyError) else ""
        if self.open:
            store.shared.reply(fault or reply)
            if fault and not fault.startswith("OOM"):
                store.lost(self, fault)
            return
        self.pending_replies -= 1
        if fault:
            store.lost(self, fault)
        elif not self.pending_replies:
            self.open = True
            error = store.shared.opened(float(reply[1]), reply[2].decode())
            if error:
                store.lost(self, error)
            else:
                store.opened()

    def connection_lost(self, exc: Exception | None) -> None:
        """Handles a connection that the peer closed."""
        self.store.lost(self, str(exc) if exc else "the store closed the connection")


class RedisLink:
    """The link to the store, which reconnects when the connection is lost."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        url: str,
        password_file: str,
        prefix: str,
        rules: StoreRules,
        clock: Callable[[], float],
        count: Callable[[str], None],
    ) -> None:
        self.path, self.host, self.port, self.tls, self.database = address_of(url)
        self.user, self.password_file = urlsplit(url).username or "default", password_file
        self.prefix = prefix
        self.loop, self.clock = loop, clock
        self.shared = SharedStore(rules, self, clock, self._retry_key, count)
        self.deduplicator: KeyDeduplicator | None = None
        self.connection: Connection | None = None
        self.retry_delay_s = MIN_RETRY_DELAY_S
        self.timer: asyncio.TimerHandle | None = None
        self.task: asyncio.Task[None] | None = None
        self.last_fault = ""  # the last fault that was logged

    def _retry_key(self, name: bytes) -> None:
        if self.deduplicator is not None:
            self.deduplicator.retry_key(name)

    def password(self) -> str:
        """Reads the password from its file; empty if the file can't be read."""
        try:
            return Path(self.password_file).read_text("utf-8").strip()
        except (OSError, UnicodeDecodeError) as fault:
            log(f"order_keys.redis.password_file: {fault}", "keys.password", "error")
            return ""

    def start(self) -> None:
        """Connects to the store."""
        self.task = self.loop.create_task(self._connect())

    async def _connect(self) -> None:
        connection = Connection(self)
        self.connection = connection
        try:
            async with asyncio.timeout(CONNECT_S):
                if self.path:
                    await self.loop.create_unix_connection(lambda: connection, self.path)
                else:
                    await self.loop.create_connection(
                        lambda: connection,
                        self.host,
                        self.port,
                        ssl=ssl.create_default_context() if self.tls else None,
                    )
        except (OSError, TimeoutError) as fault:
            self.lost(connection, f"no connection: {fault or type(fault).__name__}")
            return
        self.loop.call_later(CONNECT_S, self._check_opened, connection)

    def _check_opened(self, connection: Connection) -> None:
        if not connection.open:
            self.lost(connection, "no reply to HELLO in time")

    def opened(self) -> None:
        """Logs that the store is available."""
        self.retry_delay_s = MIN_RETRY_DELAY_S
        log(
            f"order_keys: connected to the shared store ({self.path or f'{self.host}:{self.port}'})",
            "keys.store_there",
        )
        self.last_fault = ""

    def lost(self, connection: Connection, why: str) -> None:
        """Gives the connection up and reconnects after a delay with exponential backoff."""
        if self.connection is not connection:
            return
        self.connection = None
        if connection.transport is not None:
            connection.transport.abort()
        if why != self.last_fault:
            log(f"order_keys: the shared store is unavailable: {why}", "keys.store_away", "error")
            self.last_fault = why
        self.shared.closed()
        self.loop.call_later(random.uniform(0.5, 1.0) * self.retry_delay_s, self.start)
        self.retry_delay_s = min(MAX_RETRY_DELAY_S, 2.0 * self.retry_delay_s)

    # Calls of the shared store.

    def send(self, script: str, arguments: tuple[object, ...]) -> None:
        """Writes a call of a script."""
        connection = self.connection
        assert connection is not None
        assert connection.transport is not None
        command = ("EVALSHA", DIGESTS[script], 1, self.prefix, *arguments)
        connection.transport.write(hiredis.pack_command(command))  # type: ignore[arg-type]
        if script == "claim" and self.timer is None:
            self.timer = self.loop.call_later(self.shared.rules.wait_ms / 1000.0, self._check_timeouts)

    def _check_timeouts(self) -> None:
        """Lets claims time out that have waited too long."""
        self.timer = None
        self.shared.check_timeouts()
        due = self.shared.next_check_ms()
        if due < float("inf"):
            self.timer = self.loop.call_later(
                max(0.0, due - self.clock()) / 1000.0 + 0.001, self._check_timeouts
            )

    def reset(self) -> None:
        """Replaces a connection on which the store has been silent too long."""
        if self.connection is not None:
            self.lost(self.connection, "no reply in time")


def make(driver: Driver, features: OrderKeys, loop: asyncio.AbstractEventLoop) -> KeyDeduplicator:
    """Returns a deduplicator whose keys are shared by all proxies with this store and prefix.

    ValueError if its times do not fit the classes.
    """
    redis_settings = features.redis
    rules = StoreRules(
        features.entries,
        features.bytes,
        features.whole_answer_bytes,
        redis_settings.wait_ms,
        redis_settings.empty == "trust",
        redis_settings.durable,
    )
    store = RedisLink(
        loop,
        redis_settings.url,
        redis_settings.password_file,
        redis_settings.prefix,
        rules,
        driver.clock.now,
        driver.count,
    )
    store.deduplicator = KeyDeduplicator(
        driver,
        make_table(features),
        keep_times_ms(driver.settings, features),
        store.shared,
        frozenset(features.alone),
    )
    loop.call_soon(store.start)
    return store.deduplicator
