"""The operators' way into a running proxy: a Unix socket with rights 0600, off unless configured.

`protocol` has the frames, `views` what is shown, both without I/O; here is the socket and what may be done.
A change wants its confirmation, and is logged with who asked: the user of the process at the other end, as
the kernel tells it (SO_PEERCRED), and the name that it gave.
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

PATIENCE_S = 2.0  # for one question and its answer
MAX_AT_ONCE = 8  # operators; further ones are cut: each holds a descriptor


class AdminPart(Component):
    """The socket and what is asked on it."""

    def __init__(self, proxy: ProxyContext, path: Path) -> None:
        self.proxy, self.path = proxy, path
        self.server: asyncio.Server | None = None
        self.open = self.asked = self.cut = self.faults = 0
        self.answers: dict[str, OperatorCommand] = {
            **proxy.operations(),
            "status": lambda _: self._status(),
            "drain": MutatingCommand(lambda _: proxy.drain()),
            "endpoints": lambda _: views.endpoints(proxy.balancer),
            "config": lambda _: proxy.in_force(),
        }

    async def start(self) -> str:
        """Listen, in place of a socket that a proxy which is gone has left.

        OSError where that is not to be.
        """
        for part in self.proxy.components:
            self.answers.update(part.operator_commands())
        if self.path.exists():
            if not stat.S_ISSOCK(self.path.stat().st_mode):
                raise OSError(f"admin.socket: found {self.path}, which is no socket, wanted a free path")
            with socket.socket(socket.AF_UNIX) as other:
                if other.connect_ex(str(self.path)) == 0:
                    raise OSError(f"admin.socket: found {self.path} in use, wanted a free path")
            self.path.unlink()
        before = os.umask(0o177)  # guards against the moment between the making of it and a chmod
        try:
            self.server = await asyncio.start_unix_server(self._serve, str(self.path))
        finally:
            os.umask(before)
        return f"is asked at {self.path}"

    def counts(self) -> Mapping[str, int]:
        """What was asked, cut for want of room, and no sound question."""
        return {"admin:asked": self.asked, "admin:cut": self.cut, "admin:faults": self.faults}

    def close(self) -> None:
        """Take the socket away."""
        if self.server is not None:
            self.server.close()
            self.path.unlink(missing_ok=True)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.open >= MAX_AT_ONCE:
            self.cut += 1
            writer.close()
            return
        self.open += 1
        try:
            async with asyncio.timeout(PATIENCE_S):
                writer.write(protocol.frame(await self._answer(reader, writer)))
                await writer.drain()
        except (TimeoutError, ConnectionError, asyncio.IncompleteReadError):
            self.faults += 1
        finally:
            self.open -= 1
            writer.close()

    async def _answer(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> protocol.Answer:
        try:
            size = protocol.length(await reader.readexactly(protocol.HEAD), protocol.MAX_QUESTION)
            asked = protocol.question(await reader.readexactly(size))
        except protocol.ProtocolError as fault:
            self.faults += 1
            return protocol.Answer(str(fault))
        self.asked += 1
        do = self.answers.get(asked.do)
        if do is None:
            return protocol.Answer(f"found {asked.do!r}, wanted one of {', '.join(sorted(self.answers))}")
        if isinstance(do, MutatingCommand):
            if not asked.yes:
                return protocol.Answer(f"{asked.do} is a change: it wants its confirmation")
            user = struct.unpack(
                "3i",
                writer.get_extra_info("socket").getsockopt(
                    socket.SOL_SOCKET, socket.SO_PEERCRED, struct.calcsize("3i")
                ),
            )[1]
            log(
                f"admin: {asked.do}, asked for by user {user} as {asked.who[:64]!r}",
                "admin.change",
                fields={"do": asked.do, "user": user, "who": asked.who[:64], **asked.of},
            )
        try:
            found = do(asked.of)
            return protocol.Answer(data=await found if isinstance(found, asyncio.Future) else found)
        except OperatorCommandError as fault:
            return protocol.Answer(str(fault))

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
    """Let operators ask this proxy."""
    return AdminPart(proxy, Path(features.socket))
