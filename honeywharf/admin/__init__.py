"""The admin socket of a running proxy: a Unix socket with mode 0600, off unless configured.

`protocol` has the frames and `views` the data for operators, both without I/O; `client` sends requests.
A command that changes something needs a confirmation. The log records the user of the peer process, from the
kernel (SO_PEERCRED), and the name in the request.
"""

from __future__ import annotations

import asyncio
import os
import socket
import stat
import struct
from collections.abc import Mapping
from pathlib import Path
from typing import TYPE_CHECKING, Any

from honeywharf.admin import protocol, views
from honeywharf.core.components import Component, MutatingCommand, OperatorCommand, OperatorCommandError
from honeywharf.core.transport import log

if TYPE_CHECKING:
    from honeywharf.config.features import Admin as Features
    from honeywharf.core.components import ProxyContext

__all__ = ["AdminPart", "attach"]

REQUEST_TIMEOUT_S = 2.0  # The limit applies to a request and its response together.
MAX_CONNECTIONS = 8  # Each holds a descriptor; further connections are closed.


class AdminPart(Component):
    """The admin socket and its commands."""

    def __init__(self, proxy: ProxyContext, path: Path) -> None:
        self.proxy, self.path = proxy, path
        self.server: asyncio.Server | None = None
        self.open_connections = self.requests = self.rejected = self.faults = 0
        self.commands: dict[str, OperatorCommand] = {
            **proxy.operations(),
            "status": lambda _: self._status(),
            "drain": MutatingCommand(lambda _: proxy.drain()),
            "endpoints": lambda _: views.endpoints(proxy.balancer),
            "config": lambda _: proxy.in_force(),
        }

    async def start(self) -> str:
        """Listens on the socket, and replaces one that a dead proxy has left.

        Raises OSError if the path is in use or is not a socket.
        """
        for component in self.proxy.components:
            self.commands.update(component.operator_commands())
        if self.path.exists():
            if not stat.S_ISSOCK(self.path.stat().st_mode):
                raise OSError(f"admin.socket: expected a free path, got {self.path}, which is not a socket")
            with socket.socket(socket.AF_UNIX) as probe:
                if probe.connect_ex(str(self.path)) == 0:
                    raise OSError(f"admin.socket: expected a free path, got {self.path}, which is in use")
            self.path.unlink()
        old_umask = os.umask(0o177)  # A later chmod would leave the socket open to others for a moment.
        try:
            self.server = await asyncio.start_unix_server(self._handle_connection, str(self.path))
        finally:
            os.umask(old_umask)
        return f"answers admin requests at {self.path}"

    def counts(self) -> Mapping[str, int]:
        """Returns the counts of requests, rejected connections and invalid requests."""
        return {"admin:asked": self.requests, "admin:cut": self.rejected, "admin:faults": self.faults}

    def close(self) -> None:
        """Closes and removes the socket."""
        if self.server is not None:
            self.server.close()
            self.path.unlink(missing_ok=True)

    async def _handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.open_connections >= MAX_CONNECTIONS:
            self.rejected += 1
            writer.close()
            return
        self.open_connections += 1
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_S):
                writer.write(protocol.encode_frame(await self._handle_request(reader, writer)))
                await writer.drain()
        except (TimeoutError, ConnectionError, asyncio.IncompleteReadError):
            self.faults += 1
        finally:
            self.open_connections -= 1
            writer.close()

    async def _handle_request(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> protocol.Response:
        try:
            size = protocol.decode_length(
                await reader.readexactly(protocol.LENGTH_BYTES), protocol.MAX_REQUEST_BYTES
            )
            request = protocol.decode_request(await reader.readexactly(size))
        except protocol.ProtocolError as fault:
            self.faults += 1
            return protocol.Response(str(fault))
        self.requests += 1
        command = self.commands.get(request.do)
        if command is None:
            return protocol.Response(
                f"found {request.do!r}, wanted one of {', '.join(sorted(self.commands))}"
            )
        if isinstance(command, MutatingCommand):
            if not request.yes:
                return protocol.Response(f"{request.do} is a change: it wants its confirmation")
            user = struct.unpack(
                "3i",
                writer.get_extra_info("socket").getsockopt(
                    socket.SOL_SOCKET, socket.SO_PEERCRED, struct.calcsize("3i")
                ),
            )[1]
            log(
                f"admin: {request.do}, requested by user {user} as {request.who[:64]!r}",
                "admin.change",
                fields={"do": request.do, "user": user, "who": request.who[:64], **request.of},
            )
        try:
            result = command(request.of)
            return protocol.Response(data=await result if isinstance(result, asyncio.Future) else result)
        except OperatorCommandError as fault:
            return protocol.Response(str(fault))

    def _status(self) -> dict[str, Any]:
        driver = self.proxy.driver
        return {
            "name": self.proxy.name,
            "zone": driver.settings.zone,
            "ready": self.proxy.front.ready(),
            "open": driver.open_requests,
            "counts": dict(driver.counts),
            **views.status(self.proxy.balancer),
        }


def attach(proxy: ProxyContext, features: Features) -> Component:
    """Creates the component of the admin socket."""
    return AdminPart(proxy, Path(features.socket))
