"""Helpers: proxies in this process that share their keys in a Redis server."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from functools import partial
from typing import Any

from honeywharf.config import features
from honeywharf.config.features import Features, OrderKeys
from honeywharf.orderkeys.deduplicator import KeyDeduplicator
from honeywharf.orderkeys.redis import RedisLink
from honeywharf.standins.redis import Redis
from honeywharf.standins.relay import Relay
from tests.loopback import Backend, RunningProxy, running_proxy, until


def features_on(
    redis: Redis | Relay,
    empty: str = "trust",
    wait_ms: float = 2000.0,
    password_file: str = "",
    **changes: Any,
) -> Features:
    """The features of a proxy that shares its keys in that server."""
    told: dict[str, Any] = {
        "url": f"redis://127.0.0.1:{redis.port}",
        "empty": empty,
        "wait_ms": wait_ms,
        "password_file": password_file,
    }
    return Features(order_keys=OrderKeys(store="redis", redis=features.Redis(**told), **changes))


def deduplicator_of(w: RunningProxy) -> KeyDeduplicator:
    assert isinstance(w.proxy.driver.hooks.request_deduplicator, KeyDeduplicator)
    return w.proxy.driver.hooks.request_deduplicator


def store_of(w: RunningProxy) -> RedisLink:
    shared = deduplicator_of(w).shared
    assert shared is not None
    assert isinstance(shared.link, RedisLink)
    return shared.link


def store_available(w: RunningProxy) -> bool:
    return store_of(w).shared.available()


def is_idle(w: RunningProxy) -> bool:
    """Whether no request is in progress or waiting."""
    deduplicator, driver = deduplicator_of(w), w.proxy.driver
    return not (driver.requests or driver.open_requests or deduplicator.runs or deduplicator.waiting)


@asynccontextmanager
async def sharing(
    proxies: int = 2,
    backends: int = 2,
    told: dict[str, Any] | None = None,
    **changes: Any,
) -> AsyncIterator[tuple[Redis, list[RunningProxy], list[Backend]]]:
    """Proxies before the same backends, each in its own cell. All requests must have ended on exit."""
    redis = await Redis().start()
    made = [await Backend().start() for _ in range(backends)]
    try:
        async with AsyncExitStack() as stack:
            rows = [b.row(f"b{i}", cell=i) for i, b in enumerate(made)]
            worlds = [
                await stack.enter_async_context(
                    running_proxy(rows, features_on(redis, **(told or {})), **changes)
                )
                for _ in range(proxies)
            ]
            for w in worlds:
                await until(partial(store_available, w))
            yield redis, worlds, made
            for w in worlds:
                await until(partial(is_idle, w))
    finally:
        redis.kill()
        for backend in made:
            await backend.stop()
