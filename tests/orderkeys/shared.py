"""Proxies in this process that share their keys in a Redis, for the tests."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from functools import partial
from typing import Any

from honeywharf.config import features
from honeywharf.config.features import Features, OrderKeys
from honeywharf.orderkeys.edge import Edge
from honeywharf.orderkeys.redis import Store
from honeywharf.standins.redis import Redis
from honeywharf.standins.relay import Relay
from tests.loopback import Backend, World, until, world


def on(
    redis: Redis | Relay,
    empty: str = "trust",
    wait_ms: float = 2000.0,
    password_file: str = "",
    **changes: Any,
) -> Features:
    """The features of a proxy that shares its keys there."""
    told: dict[str, Any] = {
        "url": f"redis://127.0.0.1:{redis.port}",
        "empty": empty,
        "wait_ms": wait_ms,
        "password_file": password_file,
    }
    return Features(order_keys=OrderKeys(store="redis", redis=features.Redis(**told), **changes))


def edge_of(w: World) -> Edge:
    assert isinstance(w.proxy.driver.seams.joins, Edge)
    return w.proxy.driver.seams.joins


def store_of(w: World) -> Store:
    shared = edge_of(w).shared
    assert shared is not None
    assert isinstance(shared.link, Store)
    return shared.link


def up(w: World) -> bool:
    return store_of(w).shared.available()


def at_rest(w: World) -> bool:
    """Whether nothing is held, owed or waited for."""
    edge, driver = edge_of(w), w.proxy.driver
    return not (driver.requests or driver.open or edge.runs or edge.waiting)


@asynccontextmanager
async def sharing(
    proxies: int = 2,
    backends: int = 2,
    told: dict[str, Any] | None = None,
    **changes: Any,
) -> AsyncIterator[tuple[Redis, list[World], list[Backend]]]:
    """So many proxies before the same backends, each in a cell of its own; all must be over at the end."""
    redis = await Redis().start()
    made = [await Backend().start() for _ in range(backends)]
    try:
        async with AsyncExitStack() as stack:
            rows = [b.row(f"b{i}", cell=i) for i, b in enumerate(made)]
            worlds = [
                await stack.enter_async_context(world(rows, on(redis, **(told or {})), **changes))
                for _ in range(proxies)
            ]
            for w in worlds:
                await until(partial(up, w))
            yield redis, worlds, made
            for w in worlds:
                await until(partial(at_rest, w))
    finally:
        redis.kill()
        for backend in made:
            await backend.stop()
