"""The connection to the Redis that proxies share keys in: sockets and timers round `shared`.

Speaks RESP3 with hiredis, whose parser is the C one of Redis's own client; commands are written as they come
and never waited for one by one.
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
from honeywharf.orderkeys.edge import Edge, kept_ms, table_of
from honeywharf.orderkeys.shared import Rules, Shared

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
CONNECT_S = 1.0  # for a connection, and for the store to be opened on it
RETRY_S, RETRY_MOST_S = 0.05, 1.0


def address_of(url: str) -> tuple[str, str, int, bool, int]:
    """`redis[s]://[user@]host:port[/db]` or `unix://path`: path, host, port, whether TLS, database.

    ValueError names what is wrong.
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
            f"order_keys.redis.url: found {url!r}, wanted redis://[user@]host:port[/db], rediss://... or"
            " unix://path; the password goes into a file, password_file"
        )
    return "", parts.hostname, port, parts.scheme == "rediss", int(database)


class Connection(asyncio.Protocol):
    """One connection."""

    def __init__(self, store: Store) -> None:
        self.store = store
        self.reader = hiredis.Reader()
        self.transport: asyncio.WriteTransport | None = None
        self.expects = 0  # replies to what opens the store; the last is the script's
        self.open = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Greet, subscribe, load the scripts, open the store, in one write."""
        self.transport = made = cast("asyncio.WriteTransport", transport)
        store, shared = self.store, self.store.shared
        hello = ("HELLO", "3", *(("AUTH", store.user, store.password()) if store.password_file else ()))
        first: list[tuple[Any, ...]] = [hello]
        if store.database:
            first.append(("SELECT", str(store.database)))
        first += [("SCRIPT", "LOAD", text) for text in SCRIPTS.values()]
        rules = shared.rules
        first.append(
            (
                "EVALSHA",
                DIGESTS["open"],
                "1",
                store.prefix,
                "trust" if rules.trust_empty else "wait",
                "durable" if rules.durable else "",
            )
        )
        self.expects = len(first)
        subscribe = ("SUBSCRIBE", f"{store.prefix}:p:{shared.proxy}")  # told by a push, not by a reply
        made.write(b"".join(map(hiredis.pack_command, [*first, subscribe])))

    def data_received(self, data: bytes) -> None:
        """Take replies and pushes."""
        try:
            self.reader.feed(data)
            while (reply := self.reader.gets()) is not False:
                self._take(reply)
        except (hiredis.ProtocolError, ValueError, IndexError, TypeError, AssertionError) as fault:
            # Guards against a peer that is not Redis, or not one that this build knows.
            self.store.lost(self, f"strange reply: {type(fault).__name__}: {fault}")

    def _take(self, reply: Any) -> None:
        store = self.store
        if store.connection is not self:
            return
        if isinstance(reply, hiredis.PushNotification):
            if reply[0] == b"message":
                store.shared.pushed(reply[2])
            return
        fault = str(reply) if isinstance(reply, hiredis.ReplyError) else ""
        if self.open:
            store.shared.reply(fault or reply)
            if fault and not fault.startswith("OOM"):
                store.lost(self, fault)
            return
        self.expects -= 1
        if fault:
            store.lost(self, fault)
        elif not self.expects:
            self.open = True
            wrong = store.shared.opened(float(reply[1]), reply[2].decode())
            if wrong:
                store.lost(self, wrong)
            else:
                store.opened()

    def connection_lost(self, exc: Exception | None) -> None:
        """The other side has closed."""
        self.store.lost(self, str(exc) if exc else "the store closed the connection")


class Store:
    """The link to the store: there while it can be, made anew where it is lost."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        url: str,
        password_file: str,
        prefix: str,
        rules: Rules,
        clock: Callable[[], float],
        count: Callable[[str], None],
    ) -> None:
        self.path, self.host, self.port, self.tls, self.database = address_of(url)
        self.user, self.password_file = urlsplit(url).username or "default", password_file
        self.prefix = prefix
        self.loop, self.clock = loop, clock
        self.shared = Shared(rules, self, clock, self._notice, count)
        self.edge: Edge | None = None
        self.connection: Connection | None = None
        self.retry_s = RETRY_S
        self.timer: asyncio.TimerHandle | None = None
        self.task: asyncio.Task[None] | None = None
        self.told = ""  # the fault that the operator was told last

    def _notice(self, name: bytes) -> None:
        if self.edge is not None:
            self.edge.noticed(name)

    def password(self) -> str:
        """The password as the file has it now; empty where it can't be read."""
        try:
            return Path(self.password_file).read_text("utf-8").strip()
        except (OSError, UnicodeDecodeError) as fault:
            log(f"order keys: password_file: {fault}", "keys.password", "error")
            return ""

    def start(self) -> None:
        """Connect."""
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
        self.loop.call_later(CONNECT_S, self._silent, connection)

    def _silent(self, connection: Connection) -> None:
        if not connection.open:
            self.lost(connection, "no answer to the greeting")

    def opened(self) -> None:
        """The store can be asked."""
        self.retry_s = RETRY_S
        log(
            f"order keys: the shared store is there ({self.path or f'{self.host}:{self.port}'})",
            "keys.store_there",
        )
        self.told = ""

    def lost(self, connection: Connection, why: str) -> None:
        """Give the connection up, and try again in a while, longer each time."""
        if self.connection is not connection:
            return
        self.connection = None
        if connection.transport is not None:
            connection.transport.abort()
        if why != self.told:
            log(f"order keys: the shared store is away: {why}", "keys.store_away", "error")
            self.told = why
        self.shared.closed()
        self.loop.call_later(random.uniform(0.5, 1.0) * self.retry_s, self.start)
        self.retry_s = min(RETRY_MOST_S, 2.0 * self.retry_s)

    # What `shared` asks for.

    def send(self, script: str, arguments: tuple[object, ...]) -> None:
        """Write a call of a script."""
        connection = self.connection
        assert connection is not None
        assert connection.transport is not None
        command = ("EVALSHA", DIGESTS[script], 1, self.prefix, *arguments)
        connection.transport.write(hiredis.pack_command(command))  # type: ignore[arg-type]
        if script == "claim" and self.timer is None:
            self.timer = self.loop.call_later(self.shared.rules.wait_ms / 1000.0, self._woken)

    def _woken(self) -> None:
        """Look after claims that have waited too long."""
        self.timer = None
        self.shared.woken()
        due = self.shared.next_ms()
        if due < float("inf"):
            self.timer = self.loop.call_later(max(0.0, due - self.clock()) / 1000.0 + 0.001, self._woken)

    def reset(self) -> None:
        """The store has been silent for too long on this connection."""
        if self.connection is not None:
            self.lost(self.connection, "silent")


def make(driver: Driver, features: OrderKeys, loop: asyncio.AbstractEventLoop) -> Edge:
    """An edge whose keys all proxies with this store and prefix share; ValueError where it doesn't fit."""
    told = features.redis
    rules = Rules(
        features.entries,
        features.bytes,
        features.whole_answer_bytes,
        told.wait_ms,
        told.empty == "trust",
        told.durable,
    )
    store = Store(loop, told.url, told.password_file, told.prefix, rules, driver.clock.now, driver.count)
    store.edge = Edge(
        driver,
        table_of(features),
        kept_ms(driver.settings, features),
        store.shared,
        frozenset(features.alone),
    )
    loop.call_soon(store.start)
    return store.edge
