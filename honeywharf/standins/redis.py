"""Starts, pauses, kills and restarts a process of `redis_server` on loopback.

requirements-demo.txt lists the packages that the server needs in addition to those of the proxy.
"""

from __future__ import annotations

import asyncio
import signal
import subprocess
import sys
from pathlib import Path

from honeywharf.standins.node import free_ports

MODULE = "honeywharf.standins.redis_server"
START_TIMEOUT_S = 20.0


class Redis:
    """One server process. With the file `data` it keeps its data over restarts, else it starts empty."""

    def __init__(self, data: Path | None = None) -> None:
        self.data = data
        self.port = 0
        self.process: subprocess.Popen[bytes] | None = None

    @property
    def url(self) -> str:
        """The URL of the server, for the features file."""
        return f"redis://127.0.0.1:{self.port}"

    async def start(self) -> Redis:
        """Starts on a free port, or again on the same port. RuntimeError if the server does not start."""
        if not self.port:
            (self.port,) = free_ports(1)
        command = [sys.executable, "-m", MODULE, "--port", str(self.port)]
        if self.data is not None:
            command += ["--data", str(self.data)]
        self.process = process = subprocess.Popen(command, stdout=subprocess.PIPE)
        pipe = process.stdout
        assert pipe is not None
        try:
            port_line = await asyncio.wait_for(asyncio.to_thread(pipe.readline), START_TIMEOUT_S)
        except TimeoutError:
            port_line = b""
        if not port_line.strip().isdigit():
            self.kill()
            raise RuntimeError(f"{MODULE}: expected its port within {START_TIMEOUT_S} s, got {port_line!r}")
        return self

    async def execute(self, *arguments: str | bytes) -> object:
        """Runs one command on a new connection and returns the reply. ConnectionError if it is closed."""
        import hiredis

        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(hiredis.pack_command(arguments))  # type: ignore[arg-type]  # Its stub has one argument.
        parser = hiredis.Reader()
        while (reply := parser.gets()) is False:
            data = await reader.read(65536)
            if not data:
                raise ConnectionError("the server closed the connection")
            parser.feed(data)
        writer.close()
        return reply

    def pause(self) -> None:
        """Stops the process by SIGSTOP: connections stay open without replies."""
        assert self.process is not None
        self.process.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resumes the process."""
        assert self.process is not None
        self.process.send_signal(signal.SIGCONT)

    def kill(self) -> None:
        """Kills the process. Data without a file is lost."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()
            if self.process.stdout is not None:
                self.process.stdout.close()
            self.process = None
