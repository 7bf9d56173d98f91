"""Scripted neighbours on loopback sockets, and a proxy between them, for the tests of honeywharf.net."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable, Coroutine
from contextlib import asynccontextmanager, suppress
from typing import Any, TypeVar

import uvloop

from honeywharf import wire
from honeywharf.config import node as config
from honeywharf.config.features import Features
from honeywharf.policy import interface as api
from honeywharf.proxy import Proxy
from honeywharf.standins import node
from honeywharf.standins.backend import Backend
from honeywharf.standins.messages import Message, read_message, reply, row
from honeywharf.standins.registry import Registry

__all__ = ["Backend", "Message", "reply", "row"]  # stand-ins' own, which the tests take from here

T = TypeVar("T")
WAIT_S = 60.0  # for what must happen; a test that waits so long has failed, also on a machine in heavy use
SETTINGS = node.settings(
    [
        {"name": "read", "aimMs": 2000.0, "deadlineMs": 5000.0, "idempotency": "repeatable"},
        {
            "name": "order",
            "aimMs": 2000.0,
            "deadlineMs": 5000.0,
            "idempotency": "by_key",
            "group": "cell",
            "windowMs": 7500.0,
        },
        {"name": "pay", "aimMs": 2000.0, "deadlineMs": 5000.0, "idempotency": "once"},
    ],
    bounds={"openCap": 100},
    zones=["z", "y"],
    report={"fields": ["pending", "busy_reqs"], "how": "piggyback"},
)


def run(main: Coroutine[Any, Any, T], most_s: float = 3 * WAIT_S) -> T:
    """Run a test's coroutine in a loop of the real proxy's kind, for a bounded time."""
    return uvloop.run(asyncio.wait_for(main, most_s))


async def soon(what: Awaitable[T]) -> T:
    """Wait for what must come."""
    return await asyncio.wait_for(what, WAIT_S)


async def until(holds: Callable[[], bool]) -> None:
    """Wait for a state that must come."""
    async with asyncio.timeout(WAIT_S):
        while not holds():
            await asyncio.sleep(0.005)


async def scripted_registry(port: int = 0) -> Registry:
    """A registry that answers what it is told to, whatever was asked."""
    return await Registry(scripted=True).start(port)


def make_config(port: int, rows: list[dict[str, Any]], **changes: Any) -> config.Config:
    """A configuration, with whole groups of the settings replaced key by key."""
    sockets = changes.pop("sockets", 1024)
    settings = {
        k: {**v, **changes.get(k, {})} if isinstance(v, dict) else changes.get(k, v)
        for k, v in SETTINGS.items()
    }
    return config.Config(
        name="n",
        listen=("127.0.0.1", 0),
        discovery=("127.0.0.1", port),
        seed=7,
        sockets=sockets,
        memory_mb=changes.pop("memory_mb", 192.0),
        known={"generation": 1, "reset": True, "instances": rows},
        settings=wire.settings(settings),
        report_fields=tuple(settings["report"]["fields"]),
    )


class World:
    """A proxy, its discovery, and what the decision module was told and asked for."""

    def __init__(self, conf: config.Config, discovery: Registry, features: Features | None = None) -> None:
        self.proxy = Proxy(conf, asyncio.get_running_loop(), features)
        self.discovery = discovery
        self.events: list[api.Event] = []
        self.actions: list[api.Action] = []
        self.port = 0
        self.running: asyncio.Task[None] | None = None
        inner = self.proxy.driver.decide

        def handle(now_ms: float, event: api.Event) -> list[api.Action]:
            self.events.append(event)
            actions = inner(now_ms, event)
            self.actions += actions
            return actions

        self.proxy.driver.decide = handle

    async def start(self) -> None:
        self.running = asyncio.create_task(self.proxy.run())
        await until(lambda: self.proxy.front.server is not None)
        server = self.proxy.front.server
        assert server is not None
        self.port = server.sockets[0].getsockname()[1]

    def ended(self) -> list[api.AttemptEnded]:
        return [e for e in self.events if isinstance(e, api.AttemptEnded)]

    async def outcome(self, number: int = 1) -> api.AttemptEnded:
        """The last of so many ended attempts, once they have ended."""
        await until(lambda: len(self.ended()) >= number)
        return self.ended()[number - 1]


@asynccontextmanager
async def world(
    rows: list[dict[str, Any]],
    features: Features | None = None,
    **changes: Any,
) -> AsyncIterator[World]:
    """A running proxy that knows these backends and whose first watch has been answered with nothing new."""
    discovery = await scripted_registry()
    discovery.script_answer(1)
    made = World(make_config(discovery.port, rows, **changes), discovery, features)
    await made.start()
    await until(lambda: made.proxy.watch.up)
    try:
        yield made
    finally:
        assert made.running is not None
        made.running.cancel()
        made.proxy.front.stop_listening()
        for connection in list(made.proxy.front.connections):
            connection.transport.abort()
        await discovery.stop()
        with suppress(asyncio.CancelledError):
            await made.running


class Client:
    """A caller on one connection."""

    count = 0

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    @classmethod
    async def to(cls, port: int) -> Client:
        return cls(*await asyncio.open_connection("127.0.0.1", port))

    def send(
        self,
        class_name: str = "read",
        body: bytes = b"",
        left: str = "4000m",
        *headers: str,
        key: str = "",
    ) -> str:
        """Write one request; its id. `key`: of an order, its own where none is given."""
        Client.count += 1
        name = f"id{Client.count:08x}"
        method = "GET" if class_name == "read" else "POST"
        lines = [
            f"{method} /api?q=1 HTTP/1.1",
            "Host: app.svc",
            f"X-Correlation-Id: {name}",
            f"X-Service-Class: {class_name}",
            *([f"X-Time-Left: {left}"] if left else []),
            *headers,
        ]
        if class_name == "order":
            lines.append(f"Idempotency-Key: {key or 'key-' + name}")
        if method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        return name

    async def answer(self) -> Message:
        return await soon(read_message(self.reader))

    async def status(self) -> int:
        return int((await self.answer())[0].split()[1])

    async def ask(self, raw: bytes) -> int:
        self.writer.write(raw)
        return await self.status()

    async def closed(self) -> bool:
        """Whether the proxy closes the connection, with nothing more on it."""
        return await soon(self.reader.read()) == b""
