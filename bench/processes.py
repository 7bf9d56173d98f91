"""What the measurements have in common: processes on cores, checkouts, servers that answer at once."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from honeywharf.standins import node
from honeywharf.standins.messages import row
from honeywharf.standins.registry import Registry

HERE = Path(__file__).resolve().parent.parent
READ = {"name": "read", "aimMs": 2000.0, "deadlineMs": 5000.0, "idempotency": "repeatable"}


def wait_for(port: int, most_s: float = 20.0) -> None:
    """Wait until something listens there."""
    end = time.monotonic() + most_s
    while time.monotonic() < end:
        with contextlib.suppress(OSError), socket.create_connection(("127.0.0.1", port), 0.2):
            return
        time.sleep(0.02)
    raise SystemExit(f"nothing listens on port {port}")


@contextlib.contextmanager
def started(command: list[str], core: str, **more: Any) -> Iterator[subprocess.Popen[bytes]]:
    """A process on these cores, ended at the end."""
    process = subprocess.Popen(["taskset", "-c", core, *command], stdout=subprocess.DEVNULL, **more)
    try:
        yield process
    finally:
        process.terminate()
        with contextlib.suppress(subprocess.TimeoutExpired):
            process.wait(6)
        process.kill()
        process.wait()


@contextlib.contextmanager
def registry(rows: list[dict[str, Any]]) -> Iterator[int]:
    """A registry in a thread of its own; its port."""
    loop, made = asyncio.new_event_loop(), Registry()

    async def finish() -> None:
        await made.stop()
        open_watches = [t for t in asyncio.all_tasks() if t is not asyncio.current_task()]
        for task in open_watches:
            task.cancel()
        await asyncio.gather(*open_watches, return_exceptions=True)

    async def prepare() -> int:
        await made.start()
        await made.put(*rows)
        return made.port

    thread = threading.Thread(target=loop.run_forever, daemon=True)
    thread.start()
    try:
        yield asyncio.run_coroutine_threadsafe(prepare(), loop).result(10)
    finally:
        asyncio.run_coroutine_threadsafe(finish(), loop).result(10)
        loop.call_soon_threadsafe(loop.stop)
        thread.join(5)


def peer(kind: str, *options: str) -> list[str]:
    """How to start one of bench.peers."""
    return [sys.executable, "-m", "bench.peers", kind, *options]


@contextlib.contextmanager
def backends(cores: list[str], number: int = 4) -> Iterator[list[int]]:
    """Servers that answer at once, on these cores in turn; their ports."""
    with contextlib.ExitStack() as stack:
        ports = node.free_ports(number)
        for i, port in enumerate(ports):
            stack.enter_context(
                started(peer("backend", "--port", str(port)), cores[i % len(cores)], cwd=HERE)
            )
        for port in ports:
            wait_for(port)
        yield ports


def command(where: Path, *, sources: bool = False) -> list[str]:
    """How to start that checkout's proxy: what `deploy/build.sh` has installed there, or the sources."""
    environment = where / ".venv"
    python = environment / "bin" / "python"
    safe = ["-P"] if (environment / "honeywharf.sources").exists() and not sources else []
    return [str(python) if python.exists() else sys.executable, *safe, "-m", "honeywharf"]


def checkouts(also: list[Path], sources: bool = False) -> dict[str, Path]:
    """This checkout and others, by name."""
    return {
        "honeywharf": HERE,
        **({"sources": HERE} if sources else {}),
        **{p.resolve().name: p.resolve() for p in also},
    }


def proxy(
    where: Path,
    core: str,
    port: int,
    discovery: int,
    servers: list[int],
    folder: Path,
    *,
    features: str = "",
    classes: tuple[dict[str, Any], ...] = (READ,),
    sources: bool = False,
) -> contextlib.AbstractContextManager[subprocess.Popen[bytes]]:
    """A proxy of that checkout on that core and port, before these servers; `features` is its file's text."""
    rows = [row(f"n{i}", p, cell=i) for i, p in enumerate(servers)]
    conf, file = folder / f"{port}.json", folder / f"{port}.toml"
    conf.write_text(json.dumps(node.configuration(node.settings(classes), discovery, rows, port=port)))
    file.write_text(features)
    told = {"HONEYWHARF_FEATURES": str(file)} if features else {}
    return started(
        command(where, sources=sources),
        core,
        cwd=where,
        stderr=subprocess.DEVNULL,
        env={**os.environ, "NODE_CONFIG": str(conf), **told},
    )
