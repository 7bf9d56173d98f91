"""Checks of daily operations on loopback, with the program as operators run it.

    python -m bench.operations evacuations [--number 100]
    python -m bench.operations bans [--number 1000]
    python -m bench.operations calls [--number 1000]
    python -m bench.operations bodies [--number 200] [--mb 32]

`evacuations` evacuates and activates a proxy under load. `bans` excludes backends under load and counts
requests that arrive more than 500 ms later. `calls` times operators' calls at a saturated proxy. `bodies`
checks the digests of concurrent uploads and downloads, and the proxy's peak memory. `--build` runs what
`deploy/build.sh` installed in `.venv`. Exit status 1 if a rule was broken.
"""

from __future__ import annotations

import argparse
import asyncio
import hashlib
import random
import sys
import tempfile
import time
from collections import Counter
from collections.abc import AsyncIterator, Callable, Coroutine
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

from bench.processes import HERE
from honeywharf.standins import node
from honeywharf.standins.backend import Backend, now_ms
from honeywharf.standins.messages import read_message, reply, row
from honeywharf.standins.platform import Load, Platform, send_command
from honeywharf.standins.registry import Registry

ORDER = {
    "name": "order",
    "aimMs": 1000.0,
    "deadlineMs": 2000.0,
    "idempotency": "by_key",
    "group": "cell",
    "windowMs": 7500.0,
}
GRACE_MS = 500.0
CHUNK = bytes(range(256)) * 256  # 64 KiB.


class CountingBackend(Backend):
    """A backend that counts requests, and those that arrive too long after its exclusion."""

    def __init__(self) -> None:
        super().__init__(max_recorded=0)
        self.default_reply = reply(200, b"tile")
        self.excluded_at_ms = float("inf")  # The time at which the exclusion was acknowledged.
        self.late_count = self.request_count = 0

    async def _scripted_reply(self, message: Any) -> bytes | str | None:
        self.request_count += 1
        self.late_count += now_ms() > self.excluded_at_ms + GRACE_MS
        return await super()._scripted_reply(message)


@asynccontextmanager
async def running_platform(
    rows: list[dict[str, Any]],
    built: bool,
    memory_mb: float = 80.0,
) -> AsyncIterator[Platform]:
    """Runs a proxy in service with these backends."""
    registry = await Registry().start()
    await registry.put(*rows)
    with tempfile.TemporaryDirectory() as folder:
        platform_configuration = node.configuration(node.settings([ORDER]), registry.port)
        platform_configuration["limits"]["memory_mb"] = memory_mb
        python = str(HERE / ".venv" / "bin" / "python") if built else sys.executable
        platform = Platform(Path(folder), platform_configuration, python=python)
        try:
            await platform.start()
            yield platform
        finally:
            platform.close()
            await registry.stop()


class HealthChecker:
    """Checks a proxy's health ten times per second, and stops new clients 0.2 s after a failed check."""

    def __init__(self, port: int) -> None:
        self.port, self.accepts_clients, self.last_status = port, True, 200
        self.task = asyncio.create_task(self._check_health())

    async def _check_health(self) -> None:
        while True:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                async with asyncio.timeout(1.0):
                    self.last_status = int((await read_message(reader))[0].split()[1])
                writer.close()
            except (OSError, TimeoutError, asyncio.IncompleteReadError):
                self.last_status = 0
            if self.last_status == 200:
                self.accepts_clients = True
            else:
                asyncio.get_running_loop().call_later(0.2, self._close)
            await asyncio.sleep(0.1)

    def _close(self) -> None:
        self.accepts_clients = self.last_status == 200


async def evacuations(number: int, built: bool) -> int:
    """Evacuates and activates the proxy repeatedly."""
    backends = [await CountingBackend().start() for _ in range(4)]
    async with running_platform([b.row(f"n{i}") for i, b in enumerate(backends)], built) as platform:
        health_checker = HealthChecker(platform.port)
        load = Load(platform.port, 500.0, 64, may_connect=lambda: health_checker.accepts_clients)
        load.begin()
        not_empty_in_time = not_ready_in_time = 0
        slowest = 0.0
        for _ in range(number):
            step_started_at = time.monotonic()
            assert (await send_command(platform.operator, "evacuate")).startswith("OK")
            while "empty" not in await send_command(platform.operator, "readyz"):
                await asyncio.sleep(0.02)
                if time.monotonic() - step_started_at > 4.0:
                    not_empty_in_time += 1
                    break
            slowest = max(slowest, time.monotonic() - step_started_at)
            step_started_at = time.monotonic()
            await send_command(platform.operator, "activate")
            while health_checker.last_status != 200 and time.monotonic() - step_started_at < 5.0:
                await asyncio.sleep(0.01)
            not_ready_in_time += time.monotonic() - step_started_at > 2.0
            health_checker.accepts_clients = True
            await asyncio.sleep(0.1)
        await load.end()
        health_checker.task.cancel()
    print(
        f"{number} evacuations and back: {dict(sorted(load.outcomes.items()))};"
        f" still open after 4 s {not_empty_in_time}"
        f" times (slowest empty after {slowest:.2f} s), not back within 2 s {not_ready_in_time} times"
    )
    return int(
        bool(not_empty_in_time or not_ready_in_time or load.outcomes["lost"] or load.outcomes["given up"])
    )


async def bans(number: int, built: bool) -> int:
    """Excludes and includes several backends concurrently."""
    backends = [await CountingBackend().start() for _ in range(12)]
    async with running_platform([b.row(f"n{i}") for i, b in enumerate(backends)], built) as platform:
        load = Load(platform.port, 1000.0, 64)
        load.begin()
        remaining, unused, rng = number, 0, random.Random(1)

        async def exclude_and_include(indexes: list[int]) -> None:
            nonlocal remaining, unused
            while remaining > 0:
                remaining -= 1
                index = rng.choice(indexes)
                assert (await send_command(platform.operator, f"exclude n{index}")).startswith("OK")
                backends[index].excluded_at_ms = now_ms()
                await asyncio.sleep((GRACE_MS + 100.0) / 1000.0)
                backends[index].excluded_at_ms, earlier_count = float("inf"), backends[index].request_count
                assert (await send_command(platform.operator, f"include n{index}")).startswith("OK")
                deadline = time.monotonic() + 5.0
                while backends[index].request_count == earlier_count and time.monotonic() < deadline:
                    await asyncio.sleep(0.01)
                unused += backends[index].request_count == earlier_count

        await asyncio.gather(*(exclude_and_include([i, i + 4]) for i in range(4)))
        await load.end()
    late_count = sum(b.late_count for b in backends)
    print(
        f"{number} bans under load: {late_count} late sends, {unused} not used again within 5 s;"
        f" clients met {dict(sorted(load.outcomes.items()))}"
    )
    return int(bool(late_count or unused or set(load.outcomes) != {"200"}))


async def calls(number: int, built: bool) -> int:
    """Makes operators' calls while the proxy's core is saturated."""
    backends = [await CountingBackend().start() for _ in range(4)]
    async with running_platform([b.row(f"n{i}") for i, b in enumerate(backends)], built) as platform:
        load = Load(platform.port, 1e9, 256)
        load.begin()
        idle_connections = [await asyncio.open_connection("127.0.0.1", platform.operator) for _ in range(8)]
        latencies, failed = [], 0
        stat = Path(f"/proc/{platform.processes[-1].pid}/stat")
        earlier_ticks = [int(x) for x in stat.read_text().rsplit(")", 1)[1].split()[11:13]]
        started_at = time.monotonic()
        for i in range(number):
            call_started_at = time.monotonic()
            try:
                line = ("readyz", "exclude n1", "include n1", "exclude nobody")[i % 4]
                response = await send_command(platform.operator, line)
                failed += response.startswith("OK") == (i % 4 == 3)
            except (OSError, TimeoutError):
                failed += 1
            latencies.append((time.monotonic() - call_started_at) * 1000.0)
        ticks = [int(x) for x in stat.read_text().rsplit(")", 1)[1].split()[11:13]]
        cpu_share = (sum(ticks) - sum(earlier_ticks)) / 100.0 / (time.monotonic() - started_at)
        for _, writer in idle_connections:
            writer.close()
        await load.end()
    latencies.sort()
    print(
        f"{number} calls with the proxy at {cpu_share:.0%} of a core:"
        f" p50 {latencies[len(latencies) // 2]:.1f} ms, p99 {latencies[int(0.99 * len(latencies))]:.1f} ms,"
        f" most {latencies[-1]:.1f} ms; {failed} wrong or unanswered"
    )
    return int(bool(failed or latencies[-1] > 1000.0))


async def _serve_bodies(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, size: int) -> None:
    """Serves as a backend: answers an upload with its digest, or sends `size` bytes."""
    try:
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            length = next(
                (
                    int(line.split(b":")[1])
                    for line in head.split(b"\r\n")
                    if line.lower().startswith(b"content-length")
                ),
                0,
            )
            received, digest = 0, hashlib.sha256()
            while received < length:
                chunk = await reader.read(min(262_144, length - received))
                if not chunk:
                    return
                received += len(chunk)
                digest.update(chunk)
            if length > 1:
                writer.write(reply(200, digest.hexdigest().encode()))
                continue
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size)
            for _ in range(size // len(CHUNK)):
                writer.write(CHUNK)
                await writer.drain()
    except (OSError, asyncio.IncompleteReadError):
        pass
    finally:
        writer.close()


MAX_ATTEMPTS = 5


async def bodies(number: int, built: bool, mb: int) -> int:
    """Runs uploads and downloads concurrently, each at its own speed."""
    size = mb * 1024 * 1024
    server = await asyncio.start_server(lambda r, w: _serve_bodies(r, w, size), "127.0.0.1", 0)
    rows = [row(f"n{i}", server.sockets[0].getsockname()[1]) for i in range(4)]
    expected_digest = hashlib.sha256(CHUNK * (size // len(CHUNK))).hexdigest()
    rng = random.Random(1)
    async with running_platform(rows, built) as platform:

        async def transfer(number: int, up: bool, per_s: float) -> str:
            reader, writer = await asyncio.open_connection("127.0.0.1", platform.port)
            writer.write(
                (
                    f"POST /api HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: b{number}\r\n"
                    f"X-Service-Class: order\r\n"
                    f"Idempotency-Key: k{number}\r\nX-Time-Left: 2000m\r\n"
                    f"Content-Length: {size if up else 1}\r\n\r\n"
                ).encode()
                + (b"" if up else b"x")
            )
            started_at, transferred, digest = time.monotonic(), 0, hashlib.sha256()
            try:
                head_task = asyncio.ensure_future(reader.readuntil(b"\r\n\r\n"))
                while up and transferred < size and not head_task.done():  # An early answer ends the upload.
                    writer.write(CHUNK)
                    await writer.drain()
                    transferred += len(CHUNK)
                    await asyncio.sleep(max(0.0, started_at + transferred / per_s - time.monotonic()))
                head = await head_task
                if not head.startswith(b"HTTP/1.1 200 "):
                    return head[9:12].decode()
                if up:
                    return (
                        "right"
                        if (await reader.readexactly(64)).decode() == expected_digest
                        else "wrong digest"
                    )
                while transferred < size:
                    chunk = await reader.read(65_536)
                    if not chunk:
                        return "broken off"
                    transferred += len(chunk)
                    digest.update(chunk)
                    await asyncio.sleep(max(0.0, started_at + transferred / per_s - time.monotonic()))
                return "right" if digest.hexdigest() == expected_digest else "wrong digest"
            except (OSError, asyncio.IncompleteReadError) as error:
                return f"{'upload' if up else 'download'} {type(error).__name__}"
            finally:
                writer.close()

        async def transfer_with_retries(number: int, up: bool, per_s: float) -> str:
            """Retries after a refusal, which guarantees that the request has not run."""
            for _ in range(MAX_ATTEMPTS):
                outcome = await transfer(number, up, per_s)
                if outcome != "503":
                    return outcome
                refusals[0] += 1
                await asyncio.sleep(0.5)
            return outcome

        started_at, refusals = time.monotonic(), [0]
        outcomes = await asyncio.gather(
            *(
                transfer_with_retries(i, i % 2 == 0, rng.uniform(1.0, 16.0) * 1024 * 1024)
                for i in range(number)
            )
        )
        duration_s = time.monotonic() - started_at
        status = Path(f"/proc/{platform.processes[-1].pid}/status").read_text()
        peak = next(int(line.split()[1]) for line in status.splitlines() if line.startswith("VmHWM"))
    server.close()
    print(
        f"{number} bodies of {mb} MB at 1 to 16 MB/s, half of them up: {dict(Counter(outcomes))},"
        f" {refusals[0]} refusals; peak memory of the proxy {peak / 1024:.1f} MB of 80; {duration_s:.0f} s"
    )
    return int(set(outcomes) != {"right"} or peak > 80 * 1024)


def main() -> int:
    """Runs one check; returns the exit status."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("what", choices=["evacuations", "bans", "calls", "bodies"])
    parser.add_argument("--number", type=int)
    parser.add_argument("--mb", type=int, default=32)
    parser.add_argument("--build", action="store_true")
    options = parser.parse_args()
    checks: dict[str, Callable[[], Coroutine[Any, Any, int]]] = {
        "evacuations": lambda: evacuations(options.number or 100, options.build),
        "bans": lambda: bans(options.number or 1000, options.build),
        "calls": lambda: calls(options.number or 1000, options.build),
        "bodies": lambda: bodies(options.number or 200, options.build, options.mb),
    }
    return asyncio.run(checks[options.what]())


if __name__ == "__main__":
    sys.exit(main())
