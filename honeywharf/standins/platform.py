"""The platform around one proxy, and the clients that send load to it.

The platform owns the listening socket for clients, starts and replaces the processes and sends operators'
commands. The clients keep connections open and count each request that meets a closed one.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
import time
from collections import Counter
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

from honeywharf.standins import node
from honeywharf.standins.messages import read_message

READY_TIMEOUT_S = 6.0  # The old process gets SIGTERM after this time at the latest.
KILL_GRACE_S = 0.7  # Added to the longest deadline or 3 s, whichever is less.


async def send_command(port: int, line: str, timeout_s: float = 20.0) -> str:
    """Sends one operator's command and returns the reply. TimeoutError if none arrives in time."""
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            writer.write(line.encode() + b"\n")
            return (await reader.read()).decode().strip()
        finally:
            writer.close()


class Platform:
    """The listening socket of one proxy, its folder, and the processes that serve on it."""

    def __init__(
        self,
        folder: Path,
        configuration: dict[str, Any],
        environ: dict[str, str] | None = None,
        *,
        python: str = sys.executable,
        extra_time_s: float = 0.0,
    ) -> None:
        """`extra_time_s` is added to each of the platform's time-outs, for a machine under heavy load."""
        self.folder, self.configuration, self.python, self.extra_time_s = (
            folder,
            configuration,
            python,
            extra_time_s,
        )
        self.environ = {**os.environ, **(environ or {})}
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind(("127.0.0.1", 0))
        self.socket.listen(1024)
        self.port = self.socket.getsockname()[1]
        self.processes: list[asyncio.subprocess.Process] = []
        self.operator = 0  # The operators' port of the process in service.
        self.previous_operator = 0  # The operators' port of the process before it.
        self.log = (folder / "log").open("ab")
        (folder / "tmp").mkdir(exist_ok=True)

    async def start(self, ready_prefix: str = "OK") -> asyncio.subprocess.Process:
        """Starts a process beside the others and waits for `readyz`. RuntimeError if the process exits."""
        (operator,) = node.free_ports(1)
        file = self.folder / f"config-{operator}.json"
        file.write_text(
            json.dumps(
                {
                    **self.configuration,
                    "listen": f"127.0.0.1:{self.port}",
                    "operator": f"127.0.0.1:{operator}",
                }
            )
        )
        process = await asyncio.create_subprocess_exec(
            self.python,
            *(() if self.python == sys.executable else ("-P",)),
            "-m",
            "honeywharf",
            stderr=self.log,
            stdout=self.log,
            pass_fds=[self.socket.fileno()],
            env={
                **self.environ,
                "NODE_CONFIG": str(file),
                "TMPDIR": str(self.folder / "tmp"),
                "NODE_INHERITED_FD": str(self.socket.fileno()),
            },
        )
        self.processes.append(process)
        self.previous_operator, self.operator = self.operator, operator
        until = time.monotonic() + READY_TIMEOUT_S + self.extra_time_s
        while time.monotonic() < until:
            with suppress(OSError, TimeoutError):
                if (await send_command(operator, "readyz", 1.0)).startswith(ready_prefix):
                    return process
            if process.returncode is not None:
                raise RuntimeError(
                    f"new process: expected it to be ready, but it ended with {process.returncode}"
                )
            await asyncio.sleep(0.02)
        return process

    async def replace(self, longest_s: float = 3.0) -> float:
        """Replaces the process. Returns the seconds from SIGTERM to the exit of the old one."""
        old = self.processes[-1]
        await self.start()
        started = time.monotonic()
        old.send_signal(signal.SIGTERM)
        with suppress(TimeoutError):
            await asyncio.wait_for(old.wait(), min(3.0, longest_s) + KILL_GRACE_S + self.extra_time_s)
        duration_s = time.monotonic() - started
        if old.returncode is None:
            old.kill()
            await old.wait()
        self.processes.remove(old)
        return duration_s

    def close(self) -> None:
        """Kills all processes that were started here."""
        for process in self.processes:
            with suppress(ProcessLookupError):
                process.kill()
        self.socket.close()
        self.log.close()

    def log_text(self) -> str:
        """Returns the log of all processes."""
        return (self.folder / "log").read_text("utf-8", errors="replace")


class Load:
    """Closed-loop clients on persistent connections, which send `per_s` requests a second together.

    `outcomes` counts requests by status, or as `reset` (the connection closed during a request, which is sent
    again on a new one), `refused` (no connection), `lost` (no reply in time) and `given up`.
    """

    def __init__(
        self,
        port: int,
        per_s: float,
        connections: int,
        *,
        deadline_s: float = 5.0,
        body: bytes = b"",
        may_connect: Callable[[], bool] = lambda: True,
    ) -> None:
        self.port, self.interval_s = port, connections / per_s
        self.connections, self.deadline_s, self.body, self.may_connect = (
            connections,
            deadline_s,
            body,
            may_connect,
        )
        self.outcomes: Counter[str] = Counter()
        self.latencies_ms: list[float] = []
        self.serial = 0
        self.tasks: list[asyncio.Task[None]] = []
        self.ending = False

    def begin(self) -> None:
        """Starts the clients."""
        self.tasks = [asyncio.create_task(self._client(i)) for i in range(self.connections)]

    async def end(self) -> None:
        """Waits until the clients have finished their requests."""
        self.ending = True
        await asyncio.gather(*self.tasks)

    async def _client(self, number: int) -> None:
        connection: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        await asyncio.sleep(self.interval_s * number / self.connections)
        due = time.monotonic()
        while not self.ending:
            due += self.interval_s
            connection = await self._request(connection)
            await asyncio.sleep(max(0.0, due - time.monotonic()))
        if connection is not None:
            connection[1].close()

    async def _request(
        self,
        connection: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter] | None:
        self.serial += 1
        head = (
            f"POST /api HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: p{self.port}-{self.serial}\r\n"
            f"X-Service-Class: order\r\nIdempotency-Key: k{self.port}-{self.serial}\r\n"
            f"X-Time-Left: {self.deadline_s * 1000.0:.0f}m\r\nContent-Length: {len(self.body)}\r\n\r\n"
        ).encode()
        started = time.monotonic()
        for _ in range(3):
            while connection is None and not self.may_connect():
                await asyncio.sleep(0.01)
            try:
                connection = connection or await asyncio.open_connection("127.0.0.1", self.port)
            except OSError:
                self.outcomes["refused"] += 1
                await asyncio.sleep(0.01)
                continue
            reader, writer = connection
            try:
                writer.write(head + self.body)
                async with asyncio.timeout(self.deadline_s + 0.5):
                    first, headers, _ = await read_message(reader)
            except (OSError, asyncio.IncompleteReadError, ValueError, IndexError):
                self.outcomes["reset"] += 1
                connection = None
                writer.close()
                continue
            except TimeoutError:
                self.outcomes["lost"] += 1
                writer.close()
                return None
            self.outcomes[first.split()[1].decode()] += 1
            self.latencies_ms.append((time.monotonic() - started) * 1000.0)
            if headers.get(b"connection") == b"close":
                writer.close()
                return None
            return connection
        self.outcomes["given up"] += 1
        return None
