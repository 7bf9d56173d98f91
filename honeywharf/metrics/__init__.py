"""Metrics of one proxy: asked over the admin socket, or scraped at a loopback port. Off unless asked for.

    durations  answers' times in buckets, with traces as exemplars
    families   all that is counted, as Prometheus' families

Nothing is made up beside the proxy's own counts: what the line of every ten seconds tells and what is scraped
are the same figures.
"""

from __future__ import annotations

import asyncio
import ipaddress
from contextlib import suppress
from typing import TYPE_CHECKING, Any

from honeywharf.admin import views
from honeywharf.core.components import Component, OperatorCommand
from honeywharf.core.transport import Address, address
from honeywharf.metrics.durations import Answers

if TYPE_CHECKING:
    from honeywharf.config.features import Metrics as Features
    from honeywharf.core.components import ProxyContext

__all__ = ["MetricsPart", "attach"]

PATIENCE_S = 2.0  # for one scrape
MAX_AT_ONCE = 4
MAX_HEAD = 8 * 1024


class MetricsPart(Component):
    """The figures, and the port where they are scraped, if one is given."""

    def __init__(self, proxy: ProxyContext, at: Address | None) -> None:
        from honeywharf import VERSION
        from honeywharf.metrics.families import Families

        self.proxy, self.at, self.answers = proxy, at, Answers()
        self.families = Families(
            proxy.name, proxy.driver.settings.zone, VERSION, proxy.counts, self._status, self.answers
        )
        self.server: asyncio.Server | None = None
        self.open = self.scraped = self.cut = 0
        proxy.driver.hooks.answer_callbacks.append(self.answers.answered)

    def _status(self) -> dict[str, Any]:
        return {
            **views.status(self.proxy.balancer),
            "open": self.proxy.driver.open_requests,
            "ready": self.proxy.front.ready(),
        }

    def text(self, open_metrics: bool = True) -> bytes:
        """What is scraped."""
        from honeywharf.metrics.families import exposed

        return exposed(self.families, open_metrics)

    async def start(self) -> str:
        """Listen, where a port is asked for."""
        if self.at is None:
            return ""
        self.server = await asyncio.start_server(self._serve, *self.at, limit=MAX_HEAD)
        self.at = self.server.sockets[0].getsockname()[:2]
        return f"is scraped at {self.at[0]}:{self.at[1]}/metrics"

    def counts(self) -> dict[str, int]:
        """Scrapes, and those cut for want of room."""
        return {"metrics:scraped": self.scraped, "metrics:cut": self.cut} if self.at is not None else {}

    def operator_commands(self) -> dict[str, OperatorCommand]:
        """The text that is scraped, and a line for each exemplar."""
        return {"metrics": lambda _: {"text": self.text().decode()}}

    def close(self) -> None:
        """Listen no more."""
        if self.server is not None:
            self.server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.open >= MAX_AT_ONCE:
            self.cut += 1
            writer.close()
            return
        self.open += 1
        with suppress(TimeoutError, ConnectionError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            async with asyncio.timeout(PATIENCE_S):
                writer.write(self._answer(await reader.readuntil(b"\r\n\r\n")))
                await writer.drain()
        self.open -= 1
        writer.close()

    def _answer(self, head: bytes) -> bytes:
        from honeywharf.metrics.families import OPEN_METRICS, PLAIN

        first, _, rest = head.partition(b"\r\n")
        if first.split(b" ")[:2] != [b"GET", b"/metrics"]:
            return b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
        self.scraped += 1
        wants = b"application/openmetrics-text" in rest.lower()
        body = self.text(wants)
        return (
            f"HTTP/1.1 200 OK\r\nContent-Type: {OPEN_METRICS if wants else PLAIN}\r\n"
            f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        ).encode() + body


def attach(proxy: ProxyContext, features: Features) -> MetricsPart:
    """Count answers' times, and show all that is counted; ValueError where that can't be."""
    at = address(features.listen) if features.listen else None
    if at is not None and not _loopback(at[0]):
        raise ValueError(
            f"metrics.listen: found {features.listen!r}, wanted a loopback address, such as"
            " 127.0.0.1:9464: figures name tenants' classes and servers"
        )
    try:
        return MetricsPart(proxy, at)
    except ModuleNotFoundError as fault:
        raise ValueError(
            f"metrics: found no {fault.name}, wanted what requirements-export.txt names:"
            " pip install -r requirements-export.txt"
        ) from None


def _loopback(host: str) -> bool:
    with suppress(ValueError):
        return ipaddress.ip_address(host).is_loopback
    return False
