"""Closed-loop load on one proxy and on HAProxy, same core, same backends, in one run.

    python -m bench.beside_haproxy [--connections 1,16,64] [--seconds 4] [--rounds 3] [--sources]
        [--also PATH]

wants the Debian packages haproxy, nginx-light and wrk, and four free cores. Four servers of nginx answer
`return 200`; wrk opens so many connections with one thread and asks for `GET /api/tile`, each request with an
id of its own. A refusal (429, 503) is counted by wrk as an answer that is not 2xx. honeywharf is what
`deploy/build.sh` has installed in `.venv`; `--sources` plays the code as it lies here too, not compiled.
`--also` names another checkout, with an environment of its own in `.venv`, to be played in the same rounds.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import os
import re
import shutil
import socket
import statistics
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from honeywharf.standins import node
from honeywharf.standins.messages import row
from honeywharf.standins.registry import Registry

SETTINGS = node.settings([
    {"name": "read", "aimMs": 2000.0, "deadlineMs": 5000.0, "idempotency": "repeatable"}])
NGINX = """
worker_processes 2;
daemon off;
pid {dir}/nginx.pid;
error_log {dir}/error.log;
events {{ worker_connections 1024; }}
http {{
    access_log off;
    keepalive_requests 100000000;
    client_body_temp_path {dir}/a; proxy_temp_path {dir}/b; fastcgi_temp_path {dir}/c;
    uwsgi_temp_path {dir}/d; scgi_temp_path {dir}/e;
    {servers}
}}
"""
HAPROXY = """
global
    nbthread 1
    maxconn 4096
defaults
    mode http
    timeout connect 1s
    timeout client 30s
    timeout server 5s
    http-reuse always
frontend f
    bind 127.0.0.1:{port}
    default_backend b
backend b
    balance random
{servers}
"""
SCRIPT = """
local n, me = 0, %d
request = function()
  n = n + 1
  return "GET /api/tile HTTP/1.1\\r\\nHost: app.svc\\r\\nX-Correlation-Id: w" .. me .. "-" .. n ..
    "\\r\\nX-Service-Class: read\\r\\nX-Time-Left: 5000m\\r\\n\\r\\n"
end
"""


@dataclass(frozen=True)
class Result:
    """What one play of wrk printed."""

    per_s: float
    p50_ms: float
    p99_ms: float
    refused_share: float


def wait_for(port: int, most_s: float = 10.0) -> None:
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


def to_ms(text: str) -> float:
    """`1.25ms`, `980us` or `1.1s` in milliseconds."""
    match = re.fullmatch(r"([\d.]+)(us|ms|s|m)", text)
    if match is None:
        raise SystemExit(f"wrk printed {text!r} where a time was wanted")
    return float(match[1]) * {"us": 0.001, "ms": 1.0, "s": 1000.0, "m": 60000.0}[match[2]]


def play(port: int, connections: int, seconds: float, core: str, script: Path) -> Result:
    """One run of wrk."""
    done = subprocess.run(
        ["taskset", "-c", core, "wrk", "-t1", f"-c{connections}", f"-d{seconds:g}s", "--latency",
         "-s", str(script), f"http://127.0.0.1:{port}/api/tile"],
        capture_output=True, text=True, check=True).stdout
    total = int(re.search(r"(\d+) requests in", done)[1])  # type: ignore[index]
    odd = re.search(r"Non-2xx or 3xx responses: (\d+)", done)
    errors = re.search(r"Socket errors: (.*)", done)
    if errors:
        print(f"  socket errors: {errors[1]}", file=sys.stderr)
    return Result(
        float(re.search(r"Requests/sec:\s+([\d.]+)", done)[1]),  # type: ignore[index]
        to_ms(re.search(r"^\s+50%\s+(\S+)", done, re.M)[1]),  # type: ignore[index]
        to_ms(re.search(r"^\s+99%\s+(\S+)", done, re.M)[1]),  # type: ignore[index]
        int(odd[1]) / total if odd else 0.0)


def options() -> argparse.Namespace:
    """The command line."""
    parser = argparse.ArgumentParser(description="honeywharf beside HAProxy, under closed-loop load")
    parser.add_argument("--connections", default="1,16,64")
    parser.add_argument("--seconds", type=float, default=4.0)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--cores", default="0,1,2,3", help="of the proxy, of wrk, and two of nginx")
    parser.add_argument("--log", type=Path, default=Path(os.devnull), help="a file for what honeywharf logs")
    parser.add_argument("--sources", action="store_true", help="play the sources too, not compiled")
    parser.add_argument("--also", type=Path, action="append", default=[], help="another checkout")
    return parser.parse_args()


def command(where: Path, *, sources: bool = False) -> list[str]:
    """How to start that checkout's proxy: what `deploy/build.sh` has installed there, or the sources."""
    environment = where / ".venv"
    python = environment / "bin" / "python"
    safe = ["-P"] if (environment / "honeywharf.sources").exists() and not sources else []
    return [str(python) if python.exists() else sys.executable, *safe, "-m", "honeywharf"]


def launch(args: argparse.Namespace, folder: Path, stack: contextlib.ExitStack) -> dict[str, int]:
    """Start servers and proxies; the port of each proxy by its name."""
    proxy_core, _, *nginx_cores = args.cores.split(",")
    here = Path(__file__).resolve().parent.parent
    checkouts = {"honeywharf": here, **({"sources": here} if args.sources else {}),
                 **{p.resolve().name: p.resolve() for p in args.also}}
    haproxy_port, *ports = node.free_ports(5 + len(checkouts))
    backends, own_ports = ports[:4], ports[4:]
    (folder / "nginx.conf").write_text(NGINX.format(dir=folder, servers="\n    ".join(
        f"server {{ listen 127.0.0.1:{p} reuseport; location / {{ return 200 'tile'; }} }}"
        for p in backends)))
    (folder / "haproxy.cfg").write_text(HAPROXY.format(port=haproxy_port, servers="\n".join(
        f"    server s{p} 127.0.0.1:{p}" for p in backends)))
    stack.enter_context(started(
        ["nginx", "-c", str(folder / "nginx.conf")], ",".join(nginx_cores), stderr=subprocess.DEVNULL))
    stack.enter_context(started(["haproxy", "-f", str(folder / "haproxy.cfg")], proxy_core))
    rows = [row(f"n{p}", p) for p in backends]
    discovery = stack.enter_context(registry(rows))
    log = stack.enter_context(args.log.open("ab"))
    targets = {"haproxy": haproxy_port}
    for (name, where), port in zip(checkouts.items(), own_ports, strict=True):
        conf = folder / f"{port}.json"
        conf.write_text(json.dumps(node.configuration(SETTINGS, discovery, rows, port=port, name=name)))
        stack.enter_context(started(
            command(where, sources=name == "sources"), proxy_core, cwd=where, stderr=log,
            env={**os.environ, "NODE_CONFIG": str(conf)}))
        targets[name] = port
    for port in (*backends, *targets.values()):
        wait_for(port)
    time.sleep(0.5)
    return targets


def main() -> int:
    """Play and print; status 1 where honeywharf refused anything, for nothing here is crowded."""
    args = options()
    wanted = {"haproxy": "haproxy", "nginx": "nginx-light", "wrk": "wrk", "taskset": "util-linux"}
    missing = sorted(p for c, p in wanted.items() if shutil.which(c) is None)
    if missing:
        print(f"missing Debian packages: {' '.join(missing)}; apt-get install them", file=sys.stderr)
        return 2
    counts = [int(c) for c in args.connections.split(",")]
    wrk_core = args.cores.split(",")[1]
    results: dict[tuple[int, str], list[Result]] = {}
    with tempfile.TemporaryDirectory() as text, contextlib.ExitStack() as stack:
        targets = launch(args, Path(text), stack)
        serial = 0
        for _ in range(args.rounds):
            for count in counts:
                for name, port in targets.items():
                    serial += 1
                    script = Path(text) / f"{serial}.lua"
                    script.write_text(SCRIPT % serial)
                    results.setdefault((count, name), []).append(
                        play(port, count, args.seconds, wrk_core, script))
    print(f"medians of {args.rounds}, {args.seconds:g} s each; one core for the proxy, one for wrk")
    print(f"{'connections':>11}  {'proxy':<16}{'answers/s':>10}{'of haproxy':>11}"
          f"{'p50 ms':>9}{'p99 ms':>9}"
          f"{'refused %':>11}  (least to most answers/s)")
    for (count, name), plays in sorted(results.items(), key=lambda item: item[0][0]):
        per_s = [p.per_s for p in plays]
        middle, peer = statistics.median(per_s), statistics.median(p.per_s for p in results[count, "haproxy"])
        p50, p99, refused = (statistics.median(getattr(p, field) for p in plays)
                             for field in ("p50_ms", "p99_ms", "refused_share"))
        print(f"{count:>11}  {name:<16}{middle:>10.0f}{middle / peer:>11.2f}{p50:>9.2f}{p99:>9.2f}"
              f"{100 * refused:>11.2f}  ({min(per_s):.0f} to {max(per_s):.0f})")
    own = (p for (_, name), plays in results.items() for p in plays if name == "honeywharf")
    return 1 if any(p.refused_share for p in own) else 0


if __name__ == "__main__":
    sys.exit(main())
