"""Metrics of one proxy for Prometheus, over the admin socket or a loopback port. Off by default.

    durations  histograms of request durations, with traces as exemplars
    families   the proxy's counters and gauges as Prometheus' families

The counters are those that the proxy logs every ten seconds.
"""

from __future__ import annotations

import asyncio
import ipaddress
from contextlib import suppress
from typing import TYPE_CHECKING, Any

from honeywharf.admin import views
from honeywharf.core.components import Component, OperatorCommand
from honeywharf.core.transport import Address, address
from honeywharf.metrics.durations import DurationHistograms

if TYPE_CHECKING:
    from honeywharf.config.features import Metrics as Features
    from honeywharf.core.components import ProxyContext

__all__ = ["MetricsComponent", "attach"]

SCRAPE_TIMEOUT_S = 2.0
MAX_CONCURRENT_SCRAPES = 4
MAX_HEAD_BYTES = 8 * 1024


class MetricsComponent(Component):
    """The component that collects the metrics, and serves them at a port if one is configured."""

    def __init__(self, proxy: ProxyContext, listen_address: Address | None) -> None:
        from honeywharf import VERSION
        from honeywharf.metrics.families import Families

        self.proxy, self.listen_address, self.durations = proxy, listen_address, DurationHistograms()
        self.families = Families(
            proxy.name, proxy.driver.settings.zone, VERSION, proxy.counts, self._status, self.durations
        )
        self.server: asyncio.Server | None = None
        self.open_connections = self.scraped = self.rejected = 0
        proxy.driver.hooks.answer_callbacks.append(self.durations.answered)

    def _status(self) -> dict[str, Any]:
        return {
            **views.status(self.proxy.balancer),
            "open": self.proxy.driver.open_requests,
            "ready": self.proxy.front.ready(),
        }

    def text(self, open_metrics: bool = True) -> bytes:
        """Returns the text of all metrics."""
        from honeywharf.metrics.families import exposition_text

        return exposition_text(self.families, open_metrics)

    async def start(self) -> str:
        """Listens if a port is configured. Returns a message for the operator."""
        if self.listen_address is None:
            return ""
        self.server = await asyncio.start_server(self._serve, *self.listen_address, limit=MAX_HEAD_BYTES)
        self.listen_address = self.server.sockets[0].getsockname()[:2]
        return f"serves metrics at {self.listen_address[0]}:{self.listen_address[1]}/metrics"

    def counts(self) -> dict[str, int]:
        """Returns the numbers of scrapes and of rejected connections."""
        return (
            {"metrics:scraped": self.scraped, "metrics:cut": self.rejected}
            if self.listen_address is not None
            else {}
        )

    def operator_commands(self) -> dict[str, OperatorCommand]:
        """Returns the command that shows the text of all metrics."""
        return {"metrics": lambda _: {"text": self.text().decode()}}

    def close(self) -> None:
        """Stops listening."""
        if self.server is not None:
            self.server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.open_connections >= MAX_CONCURRENT_SCRAPES:
            self.rejected += 1
            writer.close()
            return
        self.open_connections += 1
        with suppress(TimeoutError, ConnectionError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            async with asyncio.timeout(SCRAPE_TIMEOUT_S):
                writer.write(self._answer(await reader.readuntil(b"\r\n\r\n")))
                await writer.drain()
        self.open_connections -= 1
        writer.close()

    def _answer(self, head: bytes) -> bytes:
        from honeywharf.metrics.families import OPEN_METRICS_TYPE, PLAIN_TEXT_TYPE

        first, _, rest = head.partition(b"\r\n")
        if first.split(b" ")[:2] != [b"GET", b"/metrics"]:
            return b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
        self.scraped += 1
        open_metrics = b"application/openmetrics-text" in rest.lower()
        body = self.text(open_metrics)
        return (
            f"HTTP/1.1 200 OK\r\nContent-Type: {OPEN_METRICS_TYPE if open_metrics else PLAIN_TEXT_TYPE}\r\n"
            f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        ).encode() + body


def attach(proxy: ProxyContext, features: Features) -> MetricsComponent:
    """Attaches the metrics to a proxy.

    ValueError if the address is no loopback address, or a package is not installed.
    """
    listen_address = address(features.listen) if features.listen else None
    if listen_address is not None and not _loopback(listen_address[0]):
        raise ValueError(
            "metrics.listen: expected a loopback address, such as 127.0.0.1:9464, as the metrics name"
            f" tenants' classes and servers, got {features.listen!r}"
        )
    try:
        return MetricsComponent(proxy, listen_address)
    except ModuleNotFoundError as fault:
        raise ValueError(
            f"metrics: expected the packages of requirements-export.txt, got no {fault.name}:"
            " run pip install -r requirements-export.txt"
        ) from None


def _loopback(host: str) -> bool:
    with suppress(ValueError):
        return ipaddress.ip_address(host).is_loopback
    return False
