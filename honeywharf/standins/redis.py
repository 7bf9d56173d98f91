"""A process that speaks the Redis protocol on loopback: started, paused, killed, started again.

The server is `redis_server`, our own; requirements-demo.txt names what it needs beside the proxy's own.
"""

from __future__ import annotations

import asyncio
import signal
import subprocess
import sys
from pathlib import Path

from honeywharf.standins.node import free_ports

MODULE = "honeywharf.standins.redis_server"
START_S = 20.0


class Redis:
    """One server process. With `data`, a file, a start finds what was there before; else it is empty."""

    def __init__(self, data: Path | None = None) -> None:
        self.data = data
        self.port = 0
        self.process: subprocess.Popen[bytes] | None = None

    @property
    def url(self) -> str:
        """Where it is, for the file of features."""
        return f"redis://127.0.0.1:{self.port}"

    async def start(self) -> Redis:
        """Listen on a free port, on the same one again after an end. RuntimeError where it does not start."""
        if not self.port:
            (self.port,) = free_ports(1)
        command = [sys.executable, "-m", MODULE, "--port", str(self.port)]
        if self.data is not None:
            command += ["--data", str(self.data)]
        self.process = process = subprocess.Popen(command, stdout=subprocess.PIPE)
        pipe = process.stdout
        assert pipe is not None
        try:
            told = await asyncio.wait_for(asyncio.to_thread(pipe.readline), START_S)
        except TimeoutError:
            told = b""
        if not told.strip().isdigit():
            self.kill()
            raise RuntimeError(f"{MODULE} does not start")
        return self

    async def ask(self, *words: str | bytes) -> object:
        """The reply to one command."""
        import hiredis

        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(hiredis.pack_command(words))  # type: ignore[arg-type]  # its stub names a single one
        parser = hiredis.Reader()
        while (reply := parser.gets()) is False:
            data = await reader.read(65536)
            if not data:
                raise ConnectionError("the server closed the connection")
            parser.feed(data)
        writer.close()
        return reply

    def pause(self) -> None:
        """Stop it from running: connections stand, nothing is answered."""
        assert self.process is not None
        self.process.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Let it run again."""
        assert self.process is not None
        self.process.send_signal(signal.SIGCONT)

    def kill(self) -> None:
        """End it at once; what it knew is lost, or is in its file."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()
            if self.process.stdout is not None:
                self.process.stdout.close()
            self.process = None
