"""Helpers of the measurements: processes pinned to cores, checkouts, and servers that answer at once."""

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
    """Waits until something listens on a port. SystemExit after `most_s` seconds."""
    end = time.monotonic() + most_s
    while time.monotonic() < end:
        with contextlib.suppress(OSError), socket.create_connection(("127.0.0.1", port), 0.2):
            return
        time.sleep(0.02)
    raise SystemExit(f"nothing listens on port {port}")


@contextlib.contextmanager
def running_process(command: list[str], core: str, **options: Any) -> Iterator[subprocess.Popen[bytes]]:
    """Runs a process on these cores and terminates it at the end."""
    process = subprocess.Popen(["taskset", "-c", core, *command], stdout=subprocess.DEVNULL, **options)
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
    """Runs a registry in a separate thread; yields its port."""
    loop, server = asyncio.new_event_loop(), Registry()

    async def finish() -> None:
        await server.stop()
        open_watches = [t for t in asyncio.all_tasks() if t is not asyncio.current_task()]
        for task in open_watches:
            task.cancel()
        await asyncio.gather(*open_watches, return_exceptions=True)

    async def prepare() -> int:
        await server.start()
        await server.put(*rows)
        return server.port

    thread = threading.Thread(target=loop.run_forever, daemon=True)
    thread.start()
    try:
        yield asyncio.run_coroutine_threadsafe(prepare(), loop).result(10)
    finally:
        asyncio.run_coroutine_threadsafe(finish(), loop).result(10)
        loop.call_soon_threadsafe(loop.stop)
        thread.join(5)


def peer(kind: str, *options: str) -> list[str]:
    """Returns the command line of a program of bench.peers."""
    return [sys.executable, "-m", "bench.peers", kind, *options]


@contextlib.contextmanager
def backends(cores: list[str], number: int = 4) -> Iterator[list[int]]:
    """Runs servers that answer at once, on these cores in turn; yields their ports."""
    with contextlib.ExitStack() as stack:
        ports = node.free_ports(number)
        for i, port in enumerate(ports):
            stack.enter_context(
                running_process(peer("backend", "--port", str(port)), cores[i % len(cores)], cwd=HERE)
            )
        for port in ports:
            wait_for(port)
        yield ports


def command(checkout: Path, *, sources: bool = False) -> list[str]:
    """Returns the command of a checkout's proxy: the build by `deploy/build.sh`, or the sources."""
    virtual_environment = checkout / ".venv"
    python = virtual_environment / "bin" / "python"
    safe_path_option = ["-P"] if (virtual_environment / "honeywharf.sources").exists() and not sources else []
    return [str(python) if python.exists() else sys.executable, *safe_path_option, "-m", "honeywharf"]


def checkouts(also: list[Path], sources: bool = False) -> dict[str, Path]:
    """Returns this checkout and others, by name."""
    return {
        "honeywharf": HERE,
        **({"sources": HERE} if sources else {}),
        **{path.resolve().name: path.resolve() for path in also},
    }


def proxy(
    checkout: Path,
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
    """Runs a checkout's proxy on a core and port before these servers; `features` is its file's text."""
    rows = [row(f"n{i}", p, cell=i) for i, p in enumerate(servers)]
    configuration_file, features_file = folder / f"{port}.json", folder / f"{port}.toml"
    configuration_file.write_text(
        json.dumps(node.configuration(node.settings(classes), discovery, rows, port=port))
    )
    features_file.write_text(features)
    extra_environment = {"HONEYWHARF_FEATURES": str(features_file)} if features else {}
    return running_process(
        command(checkout, sources=sources),
        core,
        cwd=checkout,
        stderr=subprocess.DEVNULL,
        env={**os.environ, "NODE_CONFIG": str(configuration_file), **extra_environment},
    )
