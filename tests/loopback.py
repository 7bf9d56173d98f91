"""A proxy between scripted peers on loopback sockets, for tests."""

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

__all__ = ["Backend", "Message", "reply", "row"]  # Re-exported for the tests.

T = TypeVar("T")
TIMEOUT_S = 60.0  # A test that waits longer fails, also on a machine under heavy load.
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


def run(main: Coroutine[Any, Any, T], timeout_s: float = 3 * TIMEOUT_S) -> T:
    """Runs the coroutine of a test on uvloop, as the proxy does. TimeoutError after `timeout_s`."""
    return uvloop.run(asyncio.wait_for(main, timeout_s))


async def soon(awaitable: Awaitable[T]) -> T:
    """Awaits with a time-out of TIMEOUT_S."""
    return await asyncio.wait_for(awaitable, TIMEOUT_S)


async def until(condition: Callable[[], bool]) -> None:
    """Polls until the condition holds. TimeoutError after TIMEOUT_S."""
    async with asyncio.timeout(TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.005)


async def scripted_registry(port: int = 0) -> Registry:
    """Starts a registry with scripted answers."""
    return await Registry(scripted=True).start(port)


def make_config(port: int, rows: list[dict[str, Any]], **changes: Any) -> config.Config:
    """Returns a configuration. `changes` replaces settings, within a group key by key."""
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


class RunningProxy:
    """A proxy and its discovery, with the recorded events and actions of the decision module."""

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
        """Waits until `number` attempts have ended and returns the last of them."""
        await until(lambda: len(self.ended()) >= number)
        return self.ended()[number - 1]


@asynccontextmanager
async def running_proxy(
    rows: list[dict[str, Any]],
    features: Features | None = None,
    **changes: Any,
) -> AsyncIterator[RunningProxy]:
    """Runs a proxy that knows these backends and whose first watch has got an answer without changes."""
    discovery = await scripted_registry()
    discovery.script_answer(1)
    made = RunningProxy(make_config(discovery.port, rows, **changes), discovery, features)
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
    """A client with one connection to the proxy."""

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
        """Writes one request and returns its id. An order without `key` gets a key of its own."""
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

    async def send_raw(self, raw: bytes) -> int:
        self.writer.write(raw)
        return await self.status()

    async def closed(self) -> bool:
        """Whether the proxy closes the connection without further data."""
        return await soon(self.reader.read()) == b""
